/*
 * The gateway: passes callers' requests on unchanged to backend servers, by
 * the routes of a routing configuration.
 *
 * Part 1 is the backend servers, part 2 the adapters and their replicas at
 * servers, part 3 the gateway itself.
 */
#ifndef KCC_GATEWAY_H
#define KCC_GATEWAY_H

#include <uthash.h>

#include "kcc_forward.h"
#include "kcc_load.h"
#include "kcc_process.h"
#include "kcc_queue.h"
#include "kcc_quota.h"
#include "kcc_revision.h"
#include "kcc_routing.h"
#include "kcc_second_attempts.h"
#include "kcc_suspects.h"

/* ---- Part 1: backend servers --------------------------------------------- */

/* Size of "model/adapter" as text, with its NUL. */
#define KC_ADAPTER_KEY_MAX (2 * KC_NAME_MAX)

/* An adapter or base model that a server's record lists; also used for an
 * announced version of an adapter. */
typedef struct KcReplicaInfo {
    TAILQ_ENTRY(KcReplicaInfo) link;
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX]; /* "" for the base model */
    uint32_t version;
    bool loading; /* being loaded, not usable yet */
} KcReplicaInfo;

TAILQ_HEAD(KcReplicaInfoList, KcReplicaInfo);

/* Most requests that a server can run or keep waiting, by what it states. */
#define KC_SERVER_REQUESTS_MAX 65535

/* A backend server's own record, decoded. */
typedef struct KcServerInfo {
    char id[KC_NAME_MAX];
    char service[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    char datacentre[KC_NAME_MAX];
    uint32_t concurrency_max; /* requests run at once; 0 is taken as 1 */
    bool leaving;             /* takes no new requests */
    int64_t started_at_ms;    /* wall clock of its start, ms; 0: unknown */
    struct KcReplicaInfoList replicas;
} KcServerInfo;

/* Sets all fields to zero and the list of replicas to empty. */
void KcServerInfo_Init(KcServerInfo *info);
/* Adds an adapter, or a base model with adapter ""; copies the strings. */
void KcServerInfo_AddReplica(KcServerInfo *info, const char *model,
                             const char *adapter, uint32_t version,
                             bool loading);
/* Frees the list of replicas, which is empty afterwards. */
void KcServerInfo_Clear(KcServerInfo *info);

/* How far a backend server is from a gateway. */
typedef enum KcDistance {
    KC_DISTANCE_DATACENTRE = 0, /* in the same data centre */
    KC_DISTANCE_REGION,         /* in another data centre of the region */
    KC_DISTANCE_REMOTE,         /* in another region */
    KC_DISTANCE_COUNT
} KcDistance;

/* A count that fades linearly to 0 within 10 s of the last addition. */
typedef struct KcUseCount {
    double value; /* as of updated_at */
    KcTime updated_at;
} KcUseCount;

/*
 * What a server says of itself in the head of an answer.  An answer that says
 * nothing has all fields zero.
 */
typedef struct KcServerNotice {
    bool is_leaving;       /* it will end, and takes no new requests */
    KcTime retry_after;    /* takes no requests of this process for this long;
                            * 0: not said */
    int64_t started_at_ms; /* KcServer.started_at_ms when the request was sent;
                            * 0: unknown */
    /* A statement that could not be read and is ignored: its name, static
     * text, and its value, borrowed; NULL: none. */
    const char *unread_name;
    const char *unread_value;
} KcServerNotice;

/* A backend server as one gateway knows it: from its record, from its keeper,
 * and from its answers to this gateway's requests. */
typedef struct KcServer {
    UT_hash_handle hh;          /* KcGateway.servers, by id */
    UT_hash_handle hh_address;  /* KcGateway.servers_by_address */
    bool has_address;           /* it is in that table: no later server has
                                 * taken over its address */
    TAILQ_ENTRY(KcServer) link; /* KcServerPool.servers */
    struct KcServerPool *pool;
    char id[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    char datacentre[KC_NAME_MAX];
    uint64_t id_hash;           /* for rendezvous hashing */
    KcRevision record_revision; /* of its record in the store */
    KcRevision held_revision;   /* of the record that its replicas were last
                                 * taken from; number 0: none since they were
                                 * dropped */
    int64_t started_at_ms;      /* as in KcServerInfo */
    KcDistance distance;
    uint32_t concurrency_max; /* requests that it runs at once */
    bool leaving;             /* takes no new requests, by its record */
    bool has_announced_end;   /* a record of this instance said so, rather than
                               * being deleted or missing */
    bool leaving_by_keeper;   /* takes no new requests, by its keeper */
    bool leaving_by_answer;   /* takes no new requests, by an answer to this
                               * gateway; ends only with a later instance */
    int64_t noticed_started_at_ms; /* latest start time that is known of the
                                    * instance whose notice this is */
    int64_t noticed_at_ms; /* wall clock of its notice, ms: of the first that
                            * it leaves, else of the last to wait */
    KcTime closed_until;   /* takes nothing from this gateway until then,
                            * by its answer; afterwards one request at a
                            * time until one is answered; 0: open */
    const struct KcForward *trial; /* the one request that tries the server
                                    * after closed_until; NULL: none */
    KcTimer opening_timer;         /* dispatches queued requests again */
    KcTime unread_logged_at;       /* last line about an unread notice */
    KcTime missing_at;         /* when its record went missing; 0: present */
    uint32_t list_epoch;       /* number of the last list that contained it */
    uint32_t in_flight;        /* attempts of this gateway in progress */
    uint32_t paused_count;     /* of these attempts, whose answer is not read
                                * at present, see KcForward_SetReadPaused() */
    uint32_t answering_count;  /* of these attempts, whose answer is a stream
                                * that has begun */
    uint64_t in_flight_tokens; /* their tokens, see KcForward.tokens_max */
    uint32_t others_in_flight; /* other gateways' requests, as last reported */
    KcTime load_reported_at;   /* when it last reported its load; 0: never */
    KcTime last_activity_at;   /* last byte of an answer; or the start of the
                                * first attempt since none was in flight */
    KcTime alive_at; /* last answer to a check, see KcGateway_OnServerAlive();
                      * 0: none */
    uint32_t consecutive_failures; /* not connected or lost, in a row */
    double failure_ewma;           /* fraction of attempts that failed */
    KcTime last_failure_at;        /* failure_ewma fades from then on */
    KcTime first_byte_ewma;        /* time from an attempt to its first byte */
    KcTime first_byte_ewma_at;     /* its last update; fades from then on */
    KcTime suspect_until;          /* avoided until then, as it failed */
    KcTime no_loads_until;         /* gets no load requests until then, as its
                                    * keeper did not load an adapter */
    bool has_keeper_reports;       /* its keeper reports adapters, which takes
                                    * precedence over the record */
    void *connections; /* the program's connections to it; NULL: none */
    KcSpeed speed;     /* how long work takes there */
    TAILQ_HEAD(, KcReplica) replicas;
} KcServer;

TAILQ_HEAD(KcServerList, KcServer);

/* An attempt with parts that this gateway ended before an answer.  Its server
 * may still end by it. */
typedef struct KcWithdrawnAttempt {
    TAILQ_ENTRY(KcWithdrawnAttempt) link; /* KcServerPool.withdrawn */
    uint64_t instance; /* of its server, see KcSuspects_HashInstance() */
    KcTime started_at;
    KcTime withdrawn_at;
    uint64_t parts[KC_PROMPT_PARTS_MAX];
    uint32_t part_count;
} KcWithdrawnAttempt;

TAILQ_HEAD(KcWithdrawnAttemptList, KcWithdrawnAttempt);

/* The backend servers of one service. */
typedef struct KcServerPool {
    UT_hash_handle hh; /* KcGateway.pools, by service */
    struct KcGateway *gateway;
    char service[KC_NAME_MAX];
    struct KcServerList servers;
    struct KcForwardList queue;     /* waiting requests, most urgent first */
    bool is_dispatching;            /* the queue is being walked */
    KcRetryBudget retry_budget;     /* for attempts beyond the first */
    KcTime means_computed_at;       /* 0: never */
    uint64_t mean_others_in_flight; /* other gateways' requests per server */
    uint64_t mean_load;             /* all gateways' requests per server */
    uint32_t mean_server_count;     /* servers that the means include */
    KcTime work_ewma; /* of requests without a model at servers that tell their
                       * speed, from attempt to answer, at the usual speed */
    KcUseCount adapter_uses; /* this gateway's, of all adapters and models */
    KcSecondAttempts second_attempts; /* against slow answers */
    KcSuspects suspects; /* parts of prompts that end servers of the service */
    KcTimer review_timer;
    /* Attempts that were withdrawn before an answer, the oldest first. */
    struct KcWithdrawnAttemptList withdrawn;
    uint32_t withdrawn_count;
    uint32_t queue_length;  /* requests in queue */
    uint32_t waiting_count; /* requests with KcForward.is_waiting */
    KcQueuePace pace;       /* of the queue */
    KcTurns turns;          /* of the customers in the queue */
} KcServerPool;

/* ---- Part 2: adapters ----------------------------------------------------- */

/* A replica: an adapter, or a base model, at one backend server. */
typedef struct KcReplica {
    TAILQ_ENTRY(KcReplica) server_link;     /* KcServer.replicas */
    TAILQ_ENTRY(KcReplica) adapter_link;    /* KcAdapterState.replicas */
    TAILQ_ENTRY(KcReplica) unreported_link; /* KcGateway.unreported */
    bool is_unreported; /* its use changed since KcGateway_ReportUses() */
    KcServer *server;
    struct KcAdapterState *adapter;
    uint32_t version;
    bool loading;     /* requested or being loaded, not usable yet */
    bool keeper_lost; /* its keeper was lost while it was loading */
    bool dropped;     /* no longer at the server; freed when in_flight is 0 */
    uint32_t in_flight;       /* attempts of this gateway that use it */
    uint32_t unreported_uses; /* begun since KcGateway_ReportUses() */
} KcReplica;

/* Servers that an adapter was loaded at last, which are remembered. */
#define KC_HOLDERS_MAX 2

/* An adapter, or a base model, with its replicas and versions. */
typedef struct KcAdapterState {
    UT_hash_handle hh;                /* KcGateway.adapters, by key */
    TAILQ_ENTRY(KcAdapterState) link; /* KcGateway.adapter_list */
    char key[KC_ADAPTER_KEY_MAX];     /* "model/adapter", or "model/" */
    char model[KC_NAME_MAX];
    char name[KC_NAME_MAX];  /* "" for the base model */
    uint64_t hash;           /* of key, for rendezvous hashing */
    uint32_t newest_version; /* highest announced; 0: none */
    KcTime older_until;      /* older versions may serve until then */
    /* The same of the version before, for as long as it is not past. */
    uint32_t previous_version;
    KcTime older_than_previous_until;
    uint32_t version_min;     /* older versions serve no requests any more */
    KcUseCount uses;          /* this gateway's requests for it */
    KcTime load_requested_at; /* last request to load a replica */
    TAILQ_HEAD(, KcReplica) replicas;
    struct KcForwardList waiting_requests; /* until it is loaded */
    /* KcServer.id_hash of the servers that its newest version was loaded at
     * last, the latest first; 0: none.  They may have it at hand. */
    uint64_t holders[KC_HOLDERS_MAX];
} KcAdapterState;

/* Least recently used first. */
TAILQ_HEAD(KcAdapterStateList, KcAdapterState);

/* ---- Part 3: the gateway -------------------------------------------------- */

typedef struct KcGateway KcGateway;

/* A request to a server's keeper to load an adapter. */
typedef struct KcLoadRequest {
    KcServer *server;
    const KcAdapterState *adapter;
    uint32_t version_min; /* lowest that is sufficient; 0: any, and the
                           * newest is loaded */
    uint32_t priority;    /* 0 is the most urgent */
} KcLoadRequest;

/* A request that has ended, for the log; valid during the call. */
typedef struct KcForwardRecord {
    const KcForward *forward;
    const char *outcome;  /* "answered", "broken", "not run", "abandoned" or
                           * "failed, may have run" */
    int status;           /* of the backend server's answer; 0: none */
    const KcError *error; /* NULL when answered or abandoned */
    KcTime ended_at;
} KcForwardRecord;

/* What a gateway learned from a server's notice. */
typedef enum KcNoticeKind {
    KC_NOTICE_LEAVING = 0, /* the server takes no new requests */
    KC_NOTICE_CLOSED,      /* it takes none until closed_until */
    KC_NOTICE_OPEN,        /* it takes requests again, by its answer */
    KC_NOTICE_UNREAD       /* a statement could not be read */
} KcNoticeKind;

/* The same for the log; valid during the call. */
typedef struct KcNoticeRecord {
    KcNoticeKind kind;
    const KcServer *server;
    const char *request_id;       /* of the request that was answered */
    KcTime duration;              /* for which CLOSED holds */
    const KcServerNotice *notice; /* NULL for OPEN */
} KcNoticeRecord;

/* An attempt that its server lost before it began to answer; valid during the
 * call. */
typedef struct KcLossRecord {
    const KcForwardAttempt *attempt;
    int code;        /* KcErrorCode */
    KcServerEnd end; /* if the server has ended with it */
} KcLossRecord;

/* Calls of a gateway to its program. */
typedef struct KcGatewayOps {
    /* Starts an attempt and returns its handle, NULL when it cannot be
     * started; reports nothing before it returns. */
    void *(*start_attempt)(void *context, KcForwardAttempt *attempt,
                           const KcAttemptParams *params);
    /* Ends an attempt, which reports nothing afterwards. */
    void (*cancel_attempt)(void *context, void *handle);
    /* Sends a load request; false when the keeper cannot be reached. */
    bool (*request_load)(void *context, const KcLoadRequest *request);
    /* Asks a silent server for a sign of life; nothing happens while an
     * earlier check is unanswered.  Its answer goes to
     * KcGateway_OnServerAlive(). */
    void (*check_server)(void *context, KcServer *server);
    /* A server did not know the request's model or itself: the records of the
     * servers may be out of date, and are to be read soon. */
    void (*refresh_servers)(void *context);
    /* Closes the connections to a server that was removed or replaced. */
    void (*close_connections)(void *context, KcServer *server);
    /* Called once for each request when it ends. */
    void (*record_request)(void *context, const KcForwardRecord *record);
    /* Called when an attempt was lost without the beginning of an answer, for
     * the log. */
    void (*record_loss)(void *context, const KcLossRecord *record);
    /* Asks the server's keeper whether the instance of such an attempt has
     * ended; if it has, that goes to KcGateway_OnServerEnded(). */
    void (*ask_end)(void *context, KcServer *server,
                    const KcLossRecord *record);
    /* Tells the service's hubs of news; see KcServerPool_ListHubs(). */
    void (*publish_suspect)(void *context, KcServerPool *pool,
                            const KcSuspectNews *news);
    /* Called for each step of a part of prompts, see KcSuspectOps. */
    void (*record_suspect)(void *context, const KcServerPool *pool,
                           KcSuspectStep step, const KcSuspect *suspect,
                           bool is_own);
    /* Called when the gateway learned something from a notice. */
    void (*record_notice)(void *context, const KcNoticeRecord *record);
    /* How long ago the configuration in force was certain to be the newest,
     * by a clock that also counts while the machine is suspended; KC_NEVER:
     * it never was.  NULL: it is always taken to be the newest. */
    KcTime (*configuration_age)(void *context);
} KcGatewayOps;

typedef struct KcGatewayOptions {
    const KcGatewayOps *ops;
    void *context; /* first argument of ops and region_of */
    KcTimers *timers;
    KcCounters *counters;
    const char *datacentre; /* of this gateway */
    /* The region of a data centre, "" when it is unknown. */
    const char *(*region_of)(void *context, const char *datacentre);
    KcTime wall_offset;     /* wall clock minus the time passed to functions */
    uint64_t seed;          /* of the random choice among a route's targets */
    int64_t retry_percent;  /* retries allowed per 100 requests */
    int64_t retry_burst;    /* retries of a service that may be saved up, by
                             * all gateways together */
    KcTime missing_timeout; /* a server whose record is missing for so long
                             * takes no new requests and is removed */
    KcTime version_timeout; /* so long after the announcement of a newer
                             * version no request may begin on an older one */
    KcTime config_timeout;  /* a new configuration is in force so long after;
                             * one that was not certain to be the newest within
                             * that time can't say that no customer has a key
                             */
    KcTime revoke_timeout;  /* a key that was taken away runs no request that
                             * comes so long after; 0: no such promise */
    double extra_fraction;  /* second attempts against slow answers, of all
                             * requests of a service; 0: none */
    KcSuspectOptions suspects; /* ops, context and counters are not used */
    KcQuotaOptions quotas;
} KcGatewayOptions;

/* Sets the defaults; the fields from ops to seed must be filled in. */
void KcGatewayOptions_Init(KcGatewayOptions *options);

/* Creates a gateway; the caller frees it by KcGateway_Free(). */
KcGateway *KcGateway_Create(const KcGatewayOptions *options);
/* Frees the gateway; every request must have ended, see KcGateway_Abort(). */
void KcGateway_Free(KcGateway *gateway);

/*
 * Puts a routing configuration in force and takes over its reference; one
 * that is not newer than the present one is released instead.
 */
void KcGateway_SetRouting(KcGateway *gateway, KcRouting *routing);
/* Returns the configuration in force, owned by the gateway; may be NULL. */
const KcRouting *KcGateway_GetRouting(const KcGateway *gateway);

/* Changes retry_percent and retry_burst, see KcGatewayOptions. */
void KcGateway_SetRetryBudget(KcGateway *gateway, int64_t percent,
                              int64_t burst, KcTime now);

/* Changes extra_fraction, see KcGatewayOptions. */
void KcGateway_SetExtraFraction(KcGateway *gateway, double extra_fraction);

/* Returns the customers' quotas by the configuration in force. */
KcQuotas *KcGateway_GetQuotas(KcGateway *gateway, KcTime now);

/* Sets how many gateways share retry_burst and the quotas; 0 is ignored. */
void KcGateway_SetGatewayCount(KcGateway *gateway, uint32_t gateway_count,
                               KcTime now);

/*
 * Frame the records of a complete list of servers.  The record of a server
 * that is not in the list is taken to be missing.
 */
void KcGateway_BeginServerList(KcGateway *gateway);
void KcGateway_EndServerList(KcGateway *gateway, KcTime now);
/*
 * Adds a server or updates it; a revision older than the known one is ignored.
 * A later start time is another instance, to which no earlier notice applies.
 * Of two servers with one address that of the older revision has ended: a
 * server registers after its predecessor at the address has gone.
 *
 * The first record of a server in a later era may be of the copy that the
 * store was restored from, and older than the known one.  It shows that the
 * server is registered, but takes nothing back: an instance that has announced
 * its end leaves, one that began earlier than another of its id or address has
 * ended, and replicas stay.  The next record of that era holds as it is, so
 * the caller lists the servers once more when they have registered again.
 */
void KcGateway_OnServerRecord(KcGateway *gateway, const KcServerInfo *info,
                              KcRevision revision, KcTime now);
/*
 * A server's record is missing or invalid.  is_deleted: it was deleted; the
 * server gets no new requests.  Otherwise it may be back soon, as after an
 * outage of the store, and the server is avoided meanwhile.
 */
void KcGateway_OnServerRecordMissing(KcGateway *gateway, const char *id,
                                     bool is_deleted, KcTime now);

/* A new version of an adapter was announced, at some time after the given
 * one, 0 if that is not known; older versions are ignored. */
void KcGateway_OnVersionAnnounced(KcGateway *gateway, const char *model,
                                  const char *adapter, uint32_t version,
                                  KcTime announced_after, KcTime now);

/* ---- reports of servers and their keepers -------------------------------- */

/* KcMsgHeld.state: what a keeper reports of an adapter or of its server. */
typedef enum KcHeldState {
    KC_HELD_NOT_LOADED = 0, /* the adapter is not loaded or failed to load */
    KC_HELD_LOADING,        /* the adapter is being loaded */
    KC_HELD_LOADED,
    /* All earlier reports are void: the server's engine restarted, or the
     * gateway has just connected to the keeper. */
    KC_HELD_SERVER_RESTARTED,
    KC_HELD_SERVER_LEAVING, /* the server takes no new requests */
    KC_HELD_STATE_COUNT
} KcHeldState;

/* Takes a keeper's report; KC_HELD_SERVER_RESTARTED and KC_HELD_SERVER_LEAVING
 * concern the whole server. */
void KcGateway_OnKeeperReport(KcGateway *gateway, KcServer *server,
                              const char *model, const char *adapter,
                              uint32_t version, KcHeldState state, KcTime now);
/* The connection to a server's keeper was lost or could not be made. */
void KcGateway_OnKeeperLost(KcGateway *gateway, KcServer *server, KcTime now);

/* A server has answered a check: it lives, whatever became of its requests. */
void KcGateway_OnServerAlive(KcServer *server, KcTime now);

/*
 * Takes the load that a server reported with an answer, counted in requests of
 * all gateways; concurrency_max is 0 when it did not report that.  A load or a
 * limit above KC_SERVER_REQUESTS_MAX is not believed, and changes nothing.
 */
void KcGateway_OnLoadReport(KcServer *server, uint32_t running,
                            uint32_t waiting, uint32_t concurrency_max,
                            KcTime now);

/*
 * Takes a server's notice from the head of any answer to this gateway, also of
 * one that is not passed on.  A server that leaves gets no new request from
 * then on; only a later instance of it ends that, see
 * KcGateway_OnServerRecord().  One that asks to wait gets none for that long,
 * and then one at a time until it has answered one; the longest wait counts.
 * Requests that wait for the server are dispatched again.  request_id is the
 * id of the request that was answered, for the log; "": none.
 */
void KcGateway_OnServerNotice(KcGateway *gateway, KcServer *server,
                              const KcServerNotice *notice,
                              const char *request_id, KcTime now);

/*
 * A server's keeper reports that this instance of the server has ended on its
 * own, with an attempt that was not answered: the answer to
 * KcGatewayOps.ask_end.
 */
void KcGateway_OnServerEnded(KcServer *server, const KcServerEnd *end,
                             KcTime now);
/* Takes news of a part from a hub of the service. */
void KcGateway_OnSuspectNews(KcServerPool *pool, const KcSuspectNews *news,
                             KcTime now);

/* Hubs of a service. */
#define KC_HUBS_MAX 3

/*
 * The servers of a service whose keepers pass news of parts on to all
 * gateways, the first choice first; returns their number.  All gateways choose
 * the same ones, as far as they know the same servers.
 */
uint32_t KcServerPool_ListHubs(const KcServerPool *pool,
                               KcServer *hubs[KC_HUBS_MAX]);
/* Visits the pool of each service whose servers have keepers. */
void KcGateway_VisitEnginePools(KcGateway *gateway,
                                void (*visit)(void *context,
                                              KcServerPool *pool),
                                void *context);

/* True when the server takes no new requests until it is replaced. */
bool KcServer_IsLeaving(const KcServer *server);
/* How many idle connections to the server may be kept beside those of the
 * requests there, so that all gateways together don't exceed what it accepts.
 */
uint32_t KcServer_IdleConnectionsMax(const KcServer *server);
/* True when requests may be sent to the server now, as far as it has said. */
bool KcServer_TakesRequests(const KcServer *server, KcTime now);

/* ---- requests -------------------------------------------------------------- */

/*
 * Submits a request.  *forward_out is set before any call of ops, which may
 * happen before the return: to the request, which the gateway owns, or to NULL
 * when it is refused at once.
 */
void KcGateway_Submit(KcGateway *gateway, const KcForwardCall *call,
                      const KcForwardOps *ops, void *caller,
                      KcForward **forward_out, KcTime now);

/*
 * Begins a planned stop.  From refuse_at on, streams are refused, and requests
 * whose deadline lies after end_at.  At end_at the requests in progress are
 * ended with an answer, as the process will end; all later ones are refused.
 * Nothing is sent to a server from end_at on, also when the end is late.
 */
void KcGateway_Drain(KcGateway *gateway, KcTime refuse_at, KcTime end_at);
/* Ends the requests in progress; the planned stop ends now, if it has not. */
void KcGateway_EndRequests(KcGateway *gateway, KcTime now);

/* Ends every request without an answer, as when the process stops. */
void KcGateway_Abort(KcGateway *gateway, KcTime now);

/* Returns 0 when requests can be served; KC_ERR_NO_DOCUMENT without a routing
 * configuration, KC_ERR_NO_BACKEND before the first list of servers. */
int KcGateway_CheckReady(const KcGateway *gateway);
/*
 * When a process that started at a time accepts callers' connections: now if
 * requests can be served.  Otherwise soon, though they can't: each caller that
 * is refused then has used up a try, and one that waits has not.  Until then
 * it is to be asked again when a configuration or a list of servers is known.
 */
KcTime KcGateway_OpensAt(const KcGateway *gateway, KcTime started_at,
                         KcTime now);
/* Returns the number of requests that have not ended. */
uint32_t KcGateway_CountInFlight(const KcGateway *gateway);

/* Finds a server by id; owned by the gateway, NULL when it is unknown. */
KcServer *KcGateway_FindServer(const KcGateway *gateway, const char *id);

/* Calls report for every replica whose use changed since its last report, and
 * marks it as reported. */
void KcGateway_ReportUses(KcGateway *gateway,
                          void (*report)(void *context, KcReplica *replica),
                          void *context);

/* Parts of the cost of a server, see gateway_cost.c. */
#define KC_COST_TERM_COUNT 8

/* Returns the name of a part of the cost, static text. */
const char *KcCostTerm_Name(size_t term);

/* Visits every server. */
void KcGateway_VisitServers(KcGateway *gateway,
                            void (*visit)(void *context, KcServer *server),
                            void *context);

#endif
