/*
 * The entry: takes callers' requests, chooses backend servers and sees each
 * request to its outcome.
 */
#ifndef KCC_ENTRY_H
#define KCC_ENTRY_H

#include "kcc_process.h"

typedef struct KcEntry KcEntry;

/* Outward calls of an entry. */
typedef struct KcEntryOps {
    /*
     * Connects to a backend server's agent.  Answered by
     * KcEntry_OnConnected() or KcEntry_OnConnectFailed(), never before
     * returning.
     */
    void (*connect)(void *context, KcBackend *backend);
} KcEntryOps;

/* Options of an entry; durations in microseconds. */
typedef struct KcEntryOptions {
    KcMemberOptions member;
    const KcEntryOps *ops;
    void *ops_context;
    const KcRoutePolicy *route_policy;
    uint32_t attempts_max;
    uint32_t requests_max;        /* in progress at once */
    KcTime reply_timeout;         /* proposal without a reply */
    KcTime resume_timeout;        /* repeatable call without its connection */
    KcTime resume_retry_interval; /* delay between connection tries */
    KcTime cancel_timeout;        /* wait for the reply to a withdrawal */
    KcTime ping_interval;         /* silence after which the agent is asked */
    KcTime silence_timeout;       /* silence after which it is given up */
    KcTime suspect_duration_min;  /* first time it is avoided; doubles */
    KcTime remote_cost;           /* way to another region and back */
    uint64_t window_bytes;        /* bytes a caller may lag behind */
    int64_t retry_percent;        /* of requests that may be retried */
    int64_t retry_burst;
} KcEntryOptions;

/* Fills in the defaults of every duration and limit. */
void KcEntryOptions_Init(KcEntryOptions *options);

KcEntry *KcEntry_Create(const KcEntryOptions *options);

/* Frees an entry whose requests and connections have ended. */
void KcEntry_Free(KcEntry *entry);

/* Begins to watch the document. */
void KcEntry_Start(KcEntry *entry, KcTime now);

/*
 * Takes a caller's request.  Returns it, or NULL when it was finished at
 * once; caller_ops->finished has been called then.
 */
KcRequest *KcEntry_Submit(KcEntry *entry, const KcCall *call,
                          const KcCallerOps *caller_ops, void *caller,
                          KcTime now);

/*
 * The caller has gone.  A repeatable call is withdrawn; one that may not be
 * repeated runs to its end, so that its claim can record what became of it.
 */
void KcEntry_Abandon(KcRequest *request, KcTime now);

/* The caller has taken the answer up to an offset. */
void KcEntry_AcknowledgeConsumed(KcRequest *request, uint64_t offset,
                                 KcTime now);

/* The connection asked for is ready: both HELLO messages were exchanged. */
void KcEntry_OnConnected(KcEntry *entry, KcBackend *backend, KcLink *link,
                         KcTime now);
void KcEntry_OnConnectFailed(KcEntry *entry, KcBackend *backend, KcTime now);

/*
 * The connection of a backend server was lost.  The link is freed here; the
 * transport must already be closed.
 */
void KcEntry_OnLinkLost(KcEntry *entry, KcBackend *backend, int code,
                        KcTime now);

/* A message arrived on a connected link; it may lose the link. */
void KcEntry_OnMessage(KcEntry *entry, KcBackend *backend, const KcMsg *msg,
                       KcTime now);

/* A new instance list; entries is the number of live entries in it. */
void KcEntry_OnInstances(KcEntry *entry, const KcInstance *instances,
                         size_t count, uint32_t entries, KcTime now);

/* Closes connections that have been idle for the given time. */
void KcEntry_CloseIdleLinks(KcEntry *entry, KcTime idle, KcTime now);

/* Begins a planned stop: no new request is taken. */
void KcEntry_Drain(KcEntry *entry, KcTime now);

/* Ends every request at once; what may have run is told as unknown. */
void KcEntry_AbortRequests(KcEntry *entry, KcTime now);

/* True when no request is in progress and every claim is settled. */
bool KcEntry_IsDrained(const KcEntry *entry);

/* Why no request can be served now, 0 when requests are served. */
int KcEntry_CheckReady(const KcEntry *entry);

uint64_t KcEntry_Generation(const KcEntry *entry);
const KcDocument *KcEntry_Document(const KcEntry *entry);
const KcFleet *KcEntry_Fleet(const KcEntry *entry);
uint32_t KcEntry_RequestCount(const KcEntry *entry);

/* Fills the HELLO that an entry sends first on each connection. */
void KcEntry_FillHello(const KcEntry *entry, KcMsg *msg);

#endif
