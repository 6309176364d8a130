/*
 * A forwarded request: a caller's request that a gateway passes on unchanged
 * to a backend server.
 *
 * Part 1 is what the front end submits, part 2 what it gets back, part 3 an
 * attempt at a backend server and its reports, part 4 the request's state.
 *
 * A request that may be repeated may have further attempts in progress while
 * its server is silent.  The first answer to begin is the request's, and ends
 * the others.
 */
#ifndef KCC_FORWARD_H
#define KCC_FORWARD_H

#include "kcc_request.h"
#include "kcc_routing.h"
#include "kcc_types.h"

struct KcGateway;
struct KcServer;
struct KcAdapterState;
typedef struct KcForward KcForward;
typedef struct KcForwardAttempt KcForwardAttempt;

/* Size of the id that a caller gives its request, with its NUL. */
#define KC_CALLER_ID_MAX 72

/* ---- Part 1: a caller's request ------------------------------------------ */

/* Shared parts of a prompt that are looked at; further ones are not. */
#define KC_PROMPT_PARTS_MAX 32

/* Most tokens that a request counts for at a server, however many it states:
 * sums over the requests of a gateway fit into 64 bits. */
#define KC_TOKENS_MAX 100000000

/* A request as submitted; text and parts are borrowed for KcGateway_Submit().
 */
typedef struct KcForwardCall {
    const char *id; /* the caller's id for this request, for logs */
    const char *host;
    const char *path;
    const char *model;          /* "" when none is named */
    const char *adapter;        /* "" when none is named */
    uint64_t prompt_tokens;     /* 0: unknown */
    uint64_t answer_tokens_max; /* expected at the most; 0: unknown */
    uint64_t answer_events_max; /* a stream has no more; 0: unknown */
    const uint64_t *parts;      /* ids of the parts of its prompt that other
                                 * requests may share, in order */
    uint32_t part_count;        /* KC_PROMPT_PARTS_MAX at the most */
    KcTime timeout;             /* can only shorten the route's; 0: none */
    bool has_key;               /* the caller names itself by a key */
    KcKeyDigest key_digest;     /* of the key; valid with has_key */
    bool states_tokens;         /* the request says how many tokens it has */
    uint64_t quota_tokens;      /* of prompt and answer, as it says */
    bool has_last_event;        /* the stream goes on after an earlier event */
    uint64_t last_event_id;     /* valid with has_last_event */
} KcForwardCall;

/* Takes the tokens that a request states.  A smaller hint of the answer's
 * takes the place of their maximum, but limits nothing, and quotas count
 * without it; UINT64_MAX: there is none. */
void KcForwardCall_SetTokens(KcForwardCall *call, uint64_t prompt_tokens,
                             uint64_t answer_tokens_max, uint64_t hint_tokens);

/* ---- Part 2: results for the caller -------------------------------------- */

/* An error of the gateway's own in place of a backend server's answer. */
typedef struct KcForwardRefusal {
    KcError error;
    bool may_have_run;  /* false guarantees that it has not and will not run */
    KcTime retry_after; /* 0: no hint */
} KcForwardRefusal;

/*
 * Reports to the front end.  Each request gets one of on_end, on_broken and
 * on_refusal, unless it is abandoned; its pointer is not valid from then on.
 */
typedef struct KcForwardOps {
    /* The answer begins; head is the server's, borrowed for the call. */
    void (*on_begin)(void *caller, const void *head, bool stream);
    /* Bytes of the answer's body; of a stream, whole events. */
    void (*on_data)(void *caller, KcBytes bytes);
    /* The answer is complete. */
    void (*on_end)(void *caller);
    /* The answer has begun and will not be completed. */
    void (*on_broken)(void *caller, const KcError *error);
    /* No server's answer is passed on. */
    void (*on_refusal)(void *caller, const KcForwardRefusal *refusal);
} KcForwardOps;

/* ---- Part 3: an attempt at a backend server ------------------------------ */

/* Parameters of one attempt; borrowed for KcGatewayOps.start_attempt. */
typedef struct KcAttemptParams {
    struct KcServer *server;
    KcTime time_left;    /* until the request's deadline */
    uint32_t priority;   /* 0 is the most urgent */
    bool has_last_event; /* the stream goes on after an earlier event */
    uint64_t last_event_id;
    uint32_t version;     /* of the adapter that the server must use; 0: any */
    uint64_t events_max;  /* the stream has no more; 0: unknown */
    bool has_customers;   /* no key goes to a server, and only the gateway says
                           * in whose name the request is */
    const char *customer; /* in whose name, with has_customers; NULL: no one's
                           */
    bool needs_fresh_connection; /* not on a connection that has been idle for
                                  * long: the server may have closed it, and
                                  * the request may not be repeated */
    bool needs_new_connection;   /* not on a connection that an earlier attempt
                                  * of the request may have used, as a late
                                  * answer to that bears the same id */
} KcAttemptParams;

/* A backend server's answer: its head, and its body unless it is a stream. */
typedef struct KcReply {
    int status;   /* HTTP status */
    bool not_run; /* the server reports that it did not run the request */
    bool is_misdirected; /* not run: server, model or version differs */
    const void *head;    /* for KcForwardOps.on_begin; borrowed */
    KcBytes body;        /* the whole body; empty for a stream */
} KcReply;

/* An attempt in progress; the gateway owns it, and frees it when it ends. */
struct KcForwardAttempt {
    TAILQ_ENTRY(KcForwardAttempt) link; /* KcForward.attempts */
    KcForward *forward;
    struct KcServer *server;
    struct KcReplica *replica; /* that it uses; NULL without a model */
    void *handle; /* of KcGatewayOps.start_attempt; NULL: not started yet */
    KcTime started_at;
    int64_t server_started_at_ms; /* KcServer.started_at_ms at its start */
    bool is_sent;            /* given to its connection, so that it may run */
    const void *stream_head; /* KcReply.head of its stream; NULL: not begun */
    bool has_first_event;    /* an event of its stream has arrived */
    bool ended_in_pause;     /* see KcForwardAttempt_OnUnframedEnd() */
};

/* In the order of their start. */
TAILQ_HEAD(KcForwardAttemptList, KcForwardAttempt);

/* The complete answer, not a stream, has arrived; ends the attempt. */
void KcForwardAttempt_OnReply(KcForwardAttempt *attempt, const KcReply *reply,
                              KcTime now);

/* The head of a reply that belongs to no request in progress has arrived on
 * the attempt's connection. */
void KcForwardAttempt_OnStrayReply(KcForwardAttempt *attempt);

/* The head of a stream has arrived; reply->head must stay valid until the
 * attempt ends. */
void KcForwardAttempt_OnStreamBegin(KcForwardAttempt *attempt,
                                    const KcReply *reply, KcTime now);

/* One whole event of the stream has arrived; comments have no id. */
void KcForwardAttempt_OnStreamEvent(KcForwardAttempt *attempt, bool has_id,
                                    uint64_t id, KcBytes bytes, KcTime now);

/* The stream is complete; ends the attempt. */
void KcForwardAttempt_OnStreamEnd(KcForwardAttempt *attempt, KcTime now);

/*
 * To be called before the request is written to a connection that was not yet
 * open when the attempt started.  Returns 0, or KC_ERR_LEAVING or KC_ERR_BUSY
 * when the server has said meanwhile that it takes no requests, or the planned
 * stop of the gateway has ended, KC_ERR_VERSION_RETIRED or
 * KC_ERR_DEADLINE_EXCEEDED when the time of the version or of the request is
 * over, KC_ERR_UNKNOWN_KEY or KC_ERR_UNCONFIRMED when its key may no longer be
 * used or that is not certain: the attempt must then be ended as
 * KC_ATTEMPT_NEVER_SENT with that code.
 */
int KcForwardAttempt_CheckSend(const KcForwardAttempt *attempt, KcTime now);

/* The request is written to the attempt's connection: from now on it may run,
 * unless KcForwardAttempt_OnFailed() says otherwise. */
void KcForwardAttempt_OnSent(KcForwardAttempt *attempt);

/* What a server says of itself. */
typedef struct KcServerIdentity {
    const char *id;        /* "": not said */
    int64_t started_at_ms; /* wall clock of its start; 0: not said */
} KcServerIdentity;

/*
 * The connection of an answer that has no other framing has ended.  That of a
 * server that crashes ends in the same way: the answer is complete only if
 * the server is asked from now on who it is, and KcForwardAttempt_IsFrom().
 */
void KcForwardAttempt_OnUnframedEnd(KcForwardAttempt *attempt, KcTime now);

/* Does the identity leave it open which instance of the server it is of?  A
 * later one may have the same id; its record in the store tells its start. */
bool KcForwardAttempt_NeedsStart(const KcForwardAttempt *attempt,
                                 const KcServerIdentity *identity);

/* Is it the instance of the server that the attempt was sent to? */
bool KcForwardAttempt_IsFrom(const KcForwardAttempt *attempt,
                             const KcServerIdentity *identity);

/* The attempt failed: how far it came, and a KcErrorCode.  Ends it. */
void KcForwardAttempt_OnFailed(KcForwardAttempt *attempt, KcAttemptEnd end,
                               int code, KcTime now);

/*
 * Reading the answer of the attempt in progress is paused, as the caller does
 * not read it, or goes on.  Meanwhile nothing is known of the server by it,
 * and the stream ends at the request's deadline only.
 */
void KcForward_SetReadPaused(KcForward *forward, bool paused, KcTime now);

/* The caller has gone: ends the request without any report; the pointer is
 * not valid afterwards. */
void KcForward_Abandon(KcForward *forward, KcTime now);

/* ---- Part 4: the request ------------------------------------------------- */

typedef enum KcForwardState {
    KC_FORWARD_QUEUED = 0, /* waits for a server with free capacity */
    KC_FORWARD_LOADING,    /* waits for its adapter to be loaded */
    KC_FORWARD_SENT        /* attempts are in progress */
} KcForwardState;

/* Most backend servers that are tried for one request. */
#define KC_FORWARD_TRIED_MAX 6

/* One forwarded request; the gateway owns and frees it. */
struct KcForward {
    TAILQ_ENTRY(KcForward) link; /* KcGateway.forwards */
    /* KcServerPool.queue, or KcAdapterState.waiting_requests while LOADING */
    TAILQ_ENTRY(KcForward) wait_link;
    struct KcGateway *gateway;
    const KcForwardOps *ops;
    void *caller;
    KcForwardState state;
    KcRouting *routing; /* the version it was routed by; holds a reference */
    const KcRouteRule *rule;
    struct KcServerPool *pool;
    struct KcAdapterState *adapter; /* NULL when the request names no model
                                     * or the service has no engine */
    /* In whose name the request is; of routing; NULL: no one's. */
    const KcRoutedCustomer *customer;
    KcKeyDigest key_digest; /* of its key; valid with customer */
    uint32_t priority;      /* of the customer or else of the route, 0 is the
                             * most urgent */
    uint64_t quota_cost; /* units taken from the customer's quota; 0: none */
    char id[KC_CALLER_ID_MAX];
    KcTime arrived_at;
    KcTime deadline;     /* the request has ended by then */
    uint64_t tokens_max; /* of the prompt and the longest answer, as far as
                          * they count, see KcForward_SetTokens() */
    uint64_t events_max; /* as KcForwardCall.answer_events_max */
    uint32_t part_count; /* of parts */
    uint64_t parts[KC_PROMPT_PARTS_MAX]; /* as KcForwardCall.parts */
    uint64_t event_count;    /* numbered events passed on to the caller */
    bool repeatable;         /* may run more than once */
    bool in_wait_list;       /* linked by wait_link */
    struct KcServer *server; /* of the last attempt; while LOADING, the one
                              * that loads the adapter */
    struct KcForwardAttemptList attempts; /* in progress */
    KcTime attempt_started_at; /* start of the last attempt; 0: none */
    KcTime first_attempt_at;   /* start of the first attempt; 0: none */
    KcTime awaited_since;      /* start of the last attempt with none beside
                                * it */
    uint32_t attempt_count;    /* attempts started so far */
    uint32_t possible_runs;    /* ended attempts that may have run */
    struct KcServer *tried_servers[KC_FORWARD_TRIED_MAX];
    uint32_t tried_count;
    /* Of the first attempts; only compared, as they may have been freed. */
    struct KcServer *sent_servers[KC_FORWARD_TRIED_MAX];
    KcTime refused_at;    /* when one of them last ended an attempt while
                           * another was in progress; 0: none */
    bool was_moved;       /* another server was tried, as one was silent or
                           * slow */
    bool is_doubled;      /* the second of its attempts was made because the
                           * first one was slow */
    bool slowness_judged; /* whether to make one was decided */
    bool is_trial;        /* the one request that tries a blocked part */
    uint64_t trial_part;  /* that part; valid with is_trial */
    bool owes_retry;      /* the next attempt takes from the retry budget */
    bool read_paused;     /* see KcForward_SetReadPaused() */
    bool answer_begun;    /* the caller has the head of an answer */
    bool has_last_event;
    uint64_t last_event_id; /* passed on to the caller, or that it had before;
                             * valid with has_last_event */
    KcTime first_event_at;  /* first event of a stream; 0: none */
    KcTime last_event_at;   /* last event passed on; at first the arrival */
    KcTime dispatch_until;  /* refused when it has no server by then */
    KcTime server_silence;  /* of the last server that was left, or another
                             * one tried, for its silence; 0: none */
    KcError error;          /* of the last attempt that failed */
    KcTimer timer; /* next check: of the queue, the load, the server's silence
                    * or the deadline */
    bool is_waiting;      /* it joined the queue and has found no server yet */
    double queue_turn;    /* of its customer there, see KcTurns_Take() */
    uint32_t queue_place; /* requests before it, when that was last decided */
    KcTime expected_wait; /* KcWaitDecision.expected_wait of that decision */
    uint32_t wait_verdict; /* KcWaitVerdict of that decision */
    bool is_load_ordered;  /* its adapter is loaded for its caller's return */
};

TAILQ_HEAD(KcForwardList, KcForward);

#endif
