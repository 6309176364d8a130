/*
 * The entry's state, shared by the files that implement it.
 */
#ifndef KCC_ENTRY_INTERNAL_H
#define KCC_ENTRY_INTERNAL_H

#include "kcc_entry.h"

struct KcEntry {
    KcEntryOptions options;
    KcSync *sync;
    KcLease *lease;
    KcDocument *document; /* NULL until one is in force */
    KcFleet fleet;
    KcCustomers customers;
    KcRetryBudget budget;
    KcByteBudget remote;
    struct KcRequestList requests;
    uint32_t request_count;
    KcClaimList claims; /* not settled yet */
    uint32_t entries;   /* live entries, over which limits are divided */
    uint64_t sequence;
    uint64_t random;
    bool draining;
    KcInstance *instances; /* the last instance list */
    size_t instance_count;
};

/* entry_request.c: ends a request and tells its caller. */
void KcEntryRequest_Finish(KcRequest *request, KcOutcome outcome, int code,
                           const char *step, const char *peer, KcTime now);

/* entry_choose.c: asks the policy; choice->backend NULL: none is usable. */
void KcEntryChoose_Backend(KcRequest *request, KcTime now,
                           KcRouteChoice *choice);

/* entry_attempt.c: chooses a backend server and proposes to it. */
void KcEntryAttempt_Next(KcRequest *request, KcTime now);

/* Ends the attempt in progress and decides what follows. */
void KcEntryAttempt_End(KcRequest *request, KcAttemptEnd end, int code,
                        const char *step, KcTime now);

/* Takes the attempt off its backend server without deciding anything. */
void KcEntryAttempt_Detach(KcRequest *request, KcTime now);

/* Withdraws the attempt in progress at its agent. */
void KcEntryAttempt_Cancel(KcRequest *request, KcTime now);

/* Tells the agent how far the caller has taken the answer. */
void KcEntryAttempt_Credit(KcRequest *request, bool done);

/* Sends or resumes an attempt on the connection of its backend server. */
void KcEntryAttempt_OnConnected(KcAttempt *attempt, KcTime now);
void KcEntryAttempt_OnConnectFailed(KcAttempt *attempt, KcTime now);
void KcEntryAttempt_OnLinkLost(KcAttempt *attempt, KcTime now);

/* Handles a message on the stream of an attempt. */
void KcEntryAttempt_OnMessage(KcAttempt *attempt, const KcMsg *msg,
                              KcTime now);

/* Asks for a connection unless there is one or one is being made. */
void KcEntryLink_Connect(KcEntry *entry, KcBackend *backend);

/* Starts to check the connection while attempts wait on it. */
void KcEntryLink_Watch(KcEntry *entry, KcBackend *backend, KcTime now);

/* Avoids a backend server for a while, longer with each failure. */
void KcEntryLink_Suspect(KcEntry *entry, KcBackend *backend, KcTime now);

/* Records an event that concerns a request. */
void KcEntry_Event(KcEntry *entry, KcEventType type, const KcRequest *request,
                   const char *peer, int64_t detail, KcTime now);

#endif
