/*
 * The entry accepts callers' requests, chooses a backend server for each
 * attempt, and retries until the request has an outcome.
 */
#ifndef KCC_ENTRY_H
#define KCC_ENTRY_H

#include "kcc_process.h"

typedef struct KcEntry KcEntry;

/* Calls from the entry to the program around it. */
typedef struct KcEntryOps {
    /*
     * Connects to a backend server's agent.  KcEntry_OnConnected() or
     * KcEntry_OnConnectFailed() reports the result, never before this call
     * has returned.
     */
    void (*connect)(void *context, KcBackend *backend);
} KcEntryOps;

/* Options of an entry; durations in microseconds. */
typedef struct KcEntryOptions {
    KcMemberOptions member;
    const KcEntryOps *ops;
    void *context; /* first argument of the ops */
    const KcRoutePolicy *policy;
    uint32_t attempts_max; /* per request, at most KC_ATTEMPTS_MAX */
    uint32_t requests_max; /* in progress at once */
    KcTime reply_timeout;  /* from a proposal to the agent's first reply */
    KcTime resume_timeout; /* a repeatable call's attempt is given up when its
                            * connection is lost for this long */
    KcTime resume_retry;   /* interval of tries to restore a connection */
    KcTime cancel_grace;   /* from CANCEL to the agent's reply */
    KcTime ping_after;     /* silence after which a PING is sent; also the
                            * interval of the checks */
    KcTime lost_after;     /* silence after which the connection is closed */
    KcTime suspect;        /* a backend server is avoided this long after a
                            * failure; doubles with each one in a row */
    KcTime remote_cost;    /* round trip to another region */
    uint64_t window;       /* bytes; a credit is sent for each quarter that the
                            * caller has consumed */
    int64_t retry_percent; /* retries allowed per 100 requests */
    int64_t retry_burst;   /* retries that may be saved up */
} KcEntryOptions;

/* Fills in the defaults of durations and limits; the rest is zero. */
void KcEntryOptions_Init(KcEntryOptions *options);

/* Creates an entry, to be freed by KcEntry_Free(); options are copied. */
KcEntry *KcEntry_Create(const KcEntryOptions *options);

/*
 * Frees an entry that has no request in progress.  Closes its connections
 * and drops claims that are not settled.
 */
void KcEntry_Free(KcEntry *entry);

/* Starts to watch the document and to keep the entry's lease. */
void KcEntry_Start(KcEntry *entry, KcTime now);

/*
 * Accepts a caller's request.  Returns it, owned by the entry and valid
 * until caller_ops->finished, or NULL when it has already finished within
 * this call, after caller_ops->finished.
 */
KcRequest *KcEntry_Submit(KcEntry *entry, const KcCall *call,
                          const KcCallerOps *caller_ops, void *caller,
                          KcTime now);

/*
 * The caller has disconnected.  A repeatable call is cancelled; one that may
 * not be repeated runs to its end, so that its claim records the outcome.
 */
void KcEntry_Abandon(KcRequest *request, KcTime now);

/* The caller has consumed the answer up to this offset in bytes. */
void KcEntry_Consumed(KcRequest *request, uint64_t offset, KcTime now);

/*
 * A connection requested by KcEntryOps is ready: both HELLO messages were
 * exchanged.  The entry owns the link from now on.
 */
void KcEntry_OnConnected(KcEntry *entry, KcBackend *backend, KcLink *link,
                         KcTime now);

/* A connection requested by KcEntryOps could not be made. */
void KcEntry_OnConnectFailed(KcEntry *entry, KcBackend *backend, KcTime now);

/*
 * Handles a lost connection to a backend server and frees its link; the
 * transport must already be closed.  code is a KcErrorCode.
 */
void KcEntry_OnLinkLost(KcEntry *entry, KcBackend *backend, int code,
                        KcTime now);

/* Handles a message received from a backend server; may close its link. */
void KcEntry_OnMessage(KcEntry *entry, KcBackend *backend, const KcMsg *msg,
                       KcTime now);

/*
 * Takes over a new instance list, which is copied; NULL keeps the last one.
 * entry_count is the number of live entries, over which limits are divided; 0
 * counts as 1.
 */
void KcEntry_OnInstances(KcEntry *entry, const KcInstance *instances,
                         size_t count, uint32_t entry_count, KcTime now);

/* Closes connections that have had no stream for at least idle_age. */
void KcEntry_CloseIdle(KcEntry *entry, KcTime idle_age, KcTime now);

/* Starts a planned stop: new requests finish with KC_ERR_LEAVING. */
void KcEntry_Drain(KcEntry *entry, KcTime now);

/*
 * Ends every request at once.  Callers whose request may have run get
 * KC_OUTCOME_UNKNOWN, the others KC_OUTCOME_NOT_RUN.
 */
void KcEntry_Abort(KcEntry *entry, KcTime now);

/* True when no request is in progress and no claim is left to settle. */
bool KcEntry_Drained(const KcEntry *entry);

/* Returns 0 when requests are served, else the KcErrorCode of the reason. */
int KcEntry_Ready(const KcEntry *entry);

/* Generation of the document in force, 0 when there is none. */
uint64_t KcEntry_Generation(const KcEntry *entry);

/* The document in force, NULL when there is none; owned by the entry. */
const KcDocument *KcEntry_Document(const KcEntry *entry);

/* The backend servers that the entry knows; owned by the entry. */
const KcFleet *KcEntry_Fleet(const KcEntry *entry);

/* Number of requests in progress. */
uint32_t KcEntry_RequestCount(const KcEntry *entry);

/* Fills in the HELLO that an entry sends first on each connection. */
void KcEntry_Hello(const KcEntry *entry, KcMsg *msg);

#endif
