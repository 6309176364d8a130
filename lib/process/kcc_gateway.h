/*
 * The gateway: an entry that passes callers' requests on unchanged, straight
 * to backend servers, by the routes of a routing configuration.
 *
 * Part 1 is the backend servers it knows, part 2 the adapters they hold,
 * part 3 the gateway itself.
 */
#ifndef KCC_GATEWAY_H
#define KCC_GATEWAY_H

#include <uthash.h>

#include "kcc_forward.h"
#include "kcc_process.h"
#include "kcc_routing.h"

/* ---- Part 1: backend servers --------------------------------------------- */

/* Longest name of a model with its adapter, with its NUL. */
#define KC_ADAPTER_KEY_MAX (2 * KC_NAME_MAX)

/* Something that a backend server says it holds. */
typedef struct KcReplicaInfo {
    TAILQ_ENTRY(KcReplicaInfo) link;
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX]; /* "" for the base model */
    uint32_t version;
    bool loading; /* being loaded */
} KcReplicaInfo;

TAILQ_HEAD(KcHeldInfoList, KcReplicaInfo);

/* What a backend server says of itself. */
typedef struct KcServerInfo {
    char id[KC_NAME_MAX];
    char service[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    char datacentre[KC_NAME_MAX];
    uint32_t concurrency_max; /* requests it runs at once */
    bool leaving;
    int64_t started_at_ms; /* wall clock of its start, ms; 0: not given */
    struct KcHeldInfoList replicas;
} KcServerInfo;

void KcServerInfo_Init(KcServerInfo *info);
/* Adds what it holds; the strings are copied. */
void KcServerInfo_AddReplica(KcServerInfo *info, const char *model,
                             const char *adapter, uint32_t version,
                             bool coming);
void KcServerInfo_Clear(KcServerInfo *info);

/* How far a backend server is from a gateway. */
typedef enum KcDistance {
    KC_DISTANCE_DATACENTRE = 0, /* in the same one */
    KC_DISTANCE_REGION,         /* in another one of the region */
    KC_DISTANCE_REMOTE,         /* in another region */
    KC_DISTANCE_COUNT
} KcDistance;

/* A count that ages: of the last 10 s, in effect. */
typedef struct KcUseCount {
    double value;
    KcTime at; /* last addition */
} KcUseCount;

typedef struct KcServer {
    UT_hash_handle hh;          /* KcGateway, by id */
    TAILQ_ENTRY(KcServer) link; /* KcServerPool */
    struct KcServerPool *pool;
    char id[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    char datacentre[KC_NAME_MAX];
    uint64_t hash;
    uint64_t record_revision; /* of its record */
    int64_t started_at_ms;
    KcDistance distance;
    uint32_t concurrency_max;
    bool leaving;       /* takes no new request, by its record */
    bool told_leaving;  /* the same, by its keeper */
    KcTime missing_at;  /* its record has been missing since; 0: it is there */
    uint32_t epoch;     /* of the list that it was in */
    uint32_t in_flight; /* requests of this gateway */
    uint64_t tokens;    /* of these */
    uint32_t others_in_flight; /* requests of other gateways, as reported */
    KcTime load_reported_at;   /* time of that report; 0: none */
    KcTime heard_at;      /* last byte of an answer, or first request since
                           * there was none in flight */
    uint32_t failures;    /* in a row */
    double failure_share; /* aged share of sendings that failed */
    KcTime failed_at;     /* time of the last one; the share fades */
    KcTime slow;          /* aged time to the first byte of an answer */
    KcTime slow_at;       /* time of the last one; it fades */
    KcTime suspect_until; /* not chosen before this time */
    KcTime crowded_until; /* its keeper has no place for an adapter */
    bool keeper;          /* its keeper's word is known and counts */
    void *connections;    /* the program's: connections to it */
    TAILQ_HEAD(, KcReplica) holdings;
} KcServer;

TAILQ_HEAD(KcServerList, KcServer);

/* The backend servers of one service. */
typedef struct KcServerPool {
    UT_hash_handle hh; /* KcGateway, by service */
    struct KcGateway *gateway;
    char service[KC_NAME_MAX];
    struct KcServerList servers;
    struct KcForwardList queue; /* the most urgent first */
    bool dispatching;           /* the queue is being looked through */
    KcRetryBudget budget;       /* of sendings beyond the first */
    KcTime mean_at;             /* time of the means; 0: none yet */
    uint64_t mean_others;       /* requests of other gateways at a server */
    uint64_t mean_load;         /* of all gateways */
    uint32_t mean_of;           /* servers that the means are of */
    KcUseCount uses;            /* requests for adapters */
} KcServerPool;

/* ---- Part 2: adapters ----------------------------------------------------- */

/* An adapter, or a base model, at a backend server. */
typedef struct KcReplica {
    TAILQ_ENTRY(KcReplica) of_server;
    TAILQ_ENTRY(KcReplica) of_adapter;
    TAILQ_ENTRY(KcReplica) untold; /* KcGateway, while is_untold */
    bool is_untold;                /* its keeper does not know of a use */
    KcServer *server;
    struct KcAdapterState *adapter;
    uint32_t version;
    bool coming;              /* on its way, not usable yet */
    bool lost;                /* its keeper was lost while it was on its way */
    bool gone;                /* kept for the requests that still use it */
    uint32_t in_flight;       /* requests of this gateway that use it */
    uint32_t unreported_uses; /* since the keeper was last told */
} KcReplica;

typedef struct KcAdapterState {
    UT_hash_handle hh;                /* KcGateway, by key */
    TAILQ_ENTRY(KcAdapterState) link; /* least recently used first */
    char key[KC_ADAPTER_KEY_MAX];     /* model/adapter; model/ for a base */
    char model[KC_NAME_MAX];
    char name[KC_NAME_MAX]; /* "" for the base model */
    uint64_t hash;
    uint32_t newest;   /* version announced; 0: none */
    KcTime newest_at;  /* when it was */
    uint32_t required; /* older versions serve no more */
    KcUseCount uses;   /* requests of this gateway */
    KcTime wanted_at;  /* a further copy was last asked for */
    TAILQ_HEAD(, KcReplica) holdings;
    struct KcForwardList waiting; /* until it is loaded */
} KcAdapterState;

TAILQ_HEAD(KcAdapterStateList, KcAdapterState);

/* ---- Part 3: the gateway -------------------------------------------------- */

typedef struct KcGateway KcGateway;

/* A request to a server's keeper to load an adapter. */
typedef struct KcLoadRequest {
    KcServer *server;
    const KcAdapterState *adapter;
    uint32_t version;  /* at least; 0: the newest */
    uint32_t priority; /* 0 is the most urgent */
} KcLoadRequest;

/* One finished request, for the log. */
typedef struct KcForwardRecord {
    const KcForward *forward;
    const char *outcome; /* "answered", "refused", "broken", "abandoned" */
    int status;          /* of the backend server's answer; 0: none */
    const KcError *error;
    KcTime ended_at;
} KcForwardRecord;

/* Outward calls. */
typedef struct KcGatewayOps {
    /* Starts a sending; nothing is reported before it returns. */
    void *(*send)(void *context, KcForward *forward,
                  const KcAttemptParams *send);
    /* Ends a sending: nothing is reported for it afterwards. */
    void (*withdraw)(void *context, void *sending);
    /* Asks a keeper; false when it cannot be asked now. */
    bool (*want)(void *context, const KcLoadRequest *want);
    /* A server is forgotten: its connections are to be closed. */
    void (*forget)(void *context, KcServer *server);
    void (*record)(void *context, const KcForwardRecord *record);
} KcGatewayOps;

typedef struct KcGatewayOptions {
    const KcGatewayOps *ops;
    void *context;
    KcTimers *timers;
    KcCounters *counters;
    const char *datacentre; /* of this gateway */
    /* The region of a data centre, "" when it is not known. */
    const char *(*region_of)(void *context, const char *datacentre);
    uint64_t seed;         /* of the draws among targets */
    int64_t retry_percent; /* sendings beyond the first, of requests */
    int64_t retry_burst;   /* the same, fixed part for all gateways */
    KcTime missing;        /* a record that is missing counts this long */
} KcGatewayOptions;

void KcGatewayOptions_Init(KcGatewayOptions *options);

KcGateway *KcGateway_Create(const KcGatewayOptions *options);
/* Every request must have been ended, see KcGateway_Abort(). */
void KcGateway_Free(KcGateway *gateway);

/* Takes over a routing configuration and its reference; older is dropped. */
void KcGateway_SetRouting(KcGateway *gateway, KcRouting *routing);
const KcRouting *KcGateway_GetRouting(const KcGateway *gateway);

/* Changes the bounds of the retry budget, as in KcGatewayOptions. */
void KcGateway_SetRetryBudget(KcGateway *gateway, int64_t percent,
                              int64_t burst, KcTime now);

/* How many gateways share the fixed part of the retry budget. */
void KcGateway_SetGatewayCount(KcGateway *gateway, uint32_t gateways,
                               KcTime now);

/* A whole list of servers begins, and has ended. */
void KcGateway_BeginServerList(KcGateway *gateway);
void KcGateway_EndServerList(KcGateway *gateway, KcTime now);
/* The record of a server as of a revision. */
void KcGateway_OnServerRecord(KcGateway *gateway, const KcServerInfo *info,
                              uint64_t revision, KcTime now);
/*
 * A record is gone, or names no server that could be used.  sure: it was
 * taken away; otherwise it may be back soon, as after an outage of the store,
 * and the server is the last choice meanwhile.
 */
void KcGateway_OnServerRecordMissing(KcGateway *gateway, const char *id,
                                     bool sure, KcTime now);

/* A new version of an adapter was announced. */
void KcGateway_OnVersionAnnounced(KcGateway *gateway, const char *model,
                                  const char *adapter, uint32_t version,
                                  KcTime now);

/* ---- what a server's keeper says ------------------------------------------ */

typedef enum KcHeldState {
    KC_HELD_NOT_LOADED = 0,
    KC_HELD_LOADING,
    KC_HELD_LOADED,
    KC_HELD_SERVER_RESTARTED, /* forget all: the server started anew */
    KC_HELD_SERVER_LEAVING,   /* the server itself takes no new requests */
    KC_HELD_STATE_COUNT
} KcHeldState;

void KcGateway_OnKeeperReport(KcGateway *gateway, KcServer *server,
                              const char *model, const char *adapter,
                              uint32_t version, KcHeldState state, KcTime now);
/* The keeper can no longer be heard. */
void KcGateway_OnKeeperLost(KcGateway *gateway, KcServer *server, KcTime now);

/* A server told its load along with an answer. */
void KcGateway_OnLoadReport(KcServer *server, uint32_t running,
                            uint32_t waiting, uint32_t places, KcTime now);

/* ---- requests -------------------------------------------------------------- */

/*
 * Takes a request.  *slot is set before any call of ops, which may come
 * before the return: to the request, or to NULL for one that is refused
 * without having become one.
 */
void KcGateway_Submit(KcGateway *gateway, const KcForwardCall *call,
                      const KcForwardOps *ops, void *caller, KcForward **slot,
                      KcTime now);

/*
 * A planned stop: streams, and later all requests, that arrive from the given
 * times on are refused, as they might last longer than the process.
 */
void KcGateway_Drain(KcGateway *gateway, KcTime refuse_streams,
                     KcTime refuse_all);

/* Ends every request, as when the process stops. */
void KcGateway_Abort(KcGateway *gateway, KcTime now);

/* 0 when requests can be served, else why not. */
int KcGateway_CheckReady(const KcGateway *gateway);
uint32_t KcGateway_CountInFlight(const KcGateway *gateway);

/* Finds a server by id; NULL when it is not known. */
KcServer *KcGateway_FindServer(const KcGateway *gateway, const char *id);

/*
 * Visits every holding whose use its keeper has not been told yet; they
 * count as told afterwards.
 */
void KcGateway_ReportUses(KcGateway *gateway,
                          void (*tell)(void *context, KcReplica *holding),
                          void *context);

/* Visits every server. */
void KcGateway_VisitServers(KcGateway *gateway,
                            void (*visit)(void *context, KcServer *server),
                            void *context);

#endif
