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
    KcRetryBudget retry_budget;
    KcByteBudget remote_budget; /* bytes to and from other regions */
    struct KcRequestList requests;
    uint32_t request_count;
    KcClaimList claims;    /* whose mark is not yet recorded */
    uint32_t entry_count;  /* live entries, over which limits are divided */
    uint64_t sequence;     /* of the last request, see KcRequestId */
    uint64_t random_state; /* of the xorshift generator, never 0 */
    bool leaving;
    KcInstance *instances; /* the last instance list */
    size_t instance_count;
};

/* entry_request.c: ends a request and reports the outcome to its caller. */
void KcEntryRequest_Finish(KcRequest *request, KcOutcome outcome, int code,
                           const char *step, const char *peer, KcTime now);

/*
 * entry_choose.c: chooses a backend server by the routing policy;
 * choice->backend is NULL when none is available.
 */
void KcEntryChoose_Backend(KcRequest *request, KcTime now,
                           KcRouteChoice *choice);

/* entry_retry.c: describes an attempt that ends so for KcRetry_Decide(). */
KcRetryInput KcEntryRetry_DescribeEnd(const KcRequest *request,
                                      KcAttemptEnd end, int code);

/*
 * Returns whether a connected backend server can take the request from one
 * that is silent; connects to one if none is.
 */
bool KcEntryRetry_CanLeave(KcRequest *request, KcTime now);

/*
 * entry_attempt.c: starts an attempt at the next backend server, or finishes
 * the request when none is left.
 */
void KcEntryAttempt_StartNext(KcRequest *request, KcTime now);

/* Ends the attempt in progress, and retries or finishes the request. */
void KcEntryAttempt_End(KcRequest *request, KcAttemptEnd end, int code,
                        const char *step, KcTime now);

/* Removes the attempt from its backend server and closes its stream. */
void KcEntryAttempt_Detach(KcRequest *request, KcTime now);

/* Sends CANCEL for the attempt and limits the wait for the reply. */
void KcEntryAttempt_Cancel(KcRequest *request, KcTime now);

/*
 * Sends CREDIT with the offset that the caller has consumed.  With
 * end_received, the offset is that of all delivered bytes, and the agent may
 * free the attempt.
 */
void KcEntryAttempt_SendCredit(KcRequest *request, bool end_received);

/* Proposes or resumes an attempt on the new connection. */
void KcEntryAttempt_OnConnected(KcAttempt *attempt, KcTime now);

/* Ends the attempt if it was never sent; else its timer tries again. */
void KcEntryAttempt_OnConnectFailed(KcAttempt *attempt, KcTime now);

/* Waits for a new connection, on which the attempt is resumed. */
void KcEntryAttempt_OnLinkLost(KcAttempt *attempt, KcTime now);

/* Handles a message on the stream of an attempt. */
void KcEntryAttempt_OnMessage(KcAttempt *attempt, const KcMsg *msg,
                              KcTime now);

/* entry_link.c: connects unless connected or connecting. */
void KcEntryLink_Connect(KcEntry *entry, KcBackend *backend);

/* Starts the checks for silence, which run while there are attempts. */
void KcEntryLink_StartSilenceCheck(KcEntry *entry, KcBackend *backend,
                                   KcTime now);

/* Avoids a backend server for a time that doubles with each failure. */
void KcEntryLink_MarkSuspect(KcEntry *entry, KcBackend *backend, KcTime now);

/* entry.c: records an event of a request; peer may be NULL. */
void KcEntry_RecordEvent(KcEntry *entry, KcEventType type,
                         const KcRequest *request, const char *peer,
                         int64_t detail, KcTime now);

#endif
