/*
 * One accepted version of the routing configuration: which request goes to
 * which service, within which bounds.
 *
 * It is built by whoever decodes it (KcRouting_Create(), the KcRouting_Add
 * functions, KcRouting_Validate()) and not changed afterwards; requests keep
 * the version that they were decided with by a reference.
 */
#ifndef KCC_ROUTING_H
#define KCC_ROUTING_H

#include <uthash.h>

#include "kcc_types.h"

/* Longest host and path prefix of a route, with their NUL. */
#define KC_HOST_MAX 128
#define KC_ROUTE_PATH_MAX 256

/* ---- Part 1: contents --------------------------------------------------- */

/* What may be repeated. */
typedef enum KcRequestKind {
    KC_REQUEST_KIND_SAFE = 0, /* may run more than once */
    KC_REQUEST_KIND_UNSAFE,   /* runs at most once */
    KC_REQUEST_KIND_STREAM,   /* events; runs at most once unless it may be
                                 resumed */
    KC_REQUEST_KIND_COUNT
} KcRequestKind;

/* One of the services among which a route's requests are divided. */
typedef struct KcRouteTarget {
    TAILQ_ENTRY(KcRouteTarget) link;
    char service[KC_NAME_MAX];
    uint32_t weight; /* share relative to the other targets */
} KcRouteTarget;

TAILQ_HEAD(KcRouteTargetList, KcRouteTarget);

typedef struct KcRouteRule {
    TAILQ_ENTRY(KcRouteRule) link; /* KcRouteHost, longest prefix first */
    char name[KC_NAME_MAX];
    char host[KC_HOST_MAX];
    char prefix[KC_ROUTE_PATH_MAX]; /* begins and ends with a slash */
    KcRequestKind kind;
    KcTime request_timeout;    /* longest time without a final answer */
    KcTime latency_objective;  /* an answer within it earns its full worth */
    KcTime event_interval_max; /* between events of a stream; 0: not given */
    KcTime caller_silence_timeout; /* its callers leave when a stream is silent
                                    * for so long; 0: not known */
    uint32_t priority;             /* 0 is the most urgent */
    uint32_t attempts_max; /* backend servers a request may be sent to */
    bool resumable;        /* a stream may go on at another server */
    struct KcRouteTargetList targets;
    uint32_t weight_sum;
} KcRouteRule;

TAILQ_HEAD(KcRouteRuleList, KcRouteRule);

/* The routes of one host. */
typedef struct KcRouteHost {
    UT_hash_handle hh;
    char name[KC_HOST_MAX];
    struct KcRouteRuleList rules;
} KcRouteHost;

/* A base model that the engines of a service can load. */
typedef struct KcEngineModel {
    TAILQ_ENTRY(KcEngineModel) link;
    char name[KC_NAME_MAX];
    double weights_megabytes; /* of its weights */
    double adapter_megabytes; /* of one adapter of it */
} KcEngineModel;

TAILQ_HEAD(KcEngineModelList, KcEngineModel);

/* What an engine can hold; zero and empty for a plain service. */
typedef struct KcEngineCapacity {
    bool is_configured;
    struct KcEngineModelList models;
    double memory_megabytes;  /* of weights and adapters together */
    uint32_t adapter_slots;   /* adapters loaded or on their way */
    uint32_t concurrency_max; /* requests that run at once */
    uint64_t kv_cache_tokens; /* of running requests and cached prompts */
} KcEngineCapacity;

typedef struct KcRoutedService {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcRoutedService) link;
    char name[KC_NAME_MAX];
    char health_path[KC_ROUTE_PATH_MAX];
    KcEngineCapacity engine;
} KcRoutedService;

TAILQ_HEAD(KcRoutedServiceList, KcRoutedService);

/* What callers may send, and how long they may take. */
typedef struct KcCallerLimits {
    size_t header_bytes_max; /* bytes */
    size_t body_bytes_max;   /* bytes */
    KcTime header_timeout;
    KcTime idle_timeout;
} KcCallerLimits;

typedef struct KcRouting {
    uint32_t references;
    uint64_t version;
    KcCallerLimits limits;
    KcRouteHost *hosts;
    KcRoutedService *services;
    struct KcRoutedServiceList service_list;
    uint32_t rule_count;
} KcRouting;

/* ---- Part 2: building --------------------------------------------------- */

/* Creates an empty configuration with one reference. */
KcRouting *KcRouting_Create(uint64_t version);

/* Adds a rule; the caller fills it in, then adds its targets. */
KcRouteRule *KcRouting_AddRule(KcRouting *routing, const char *host,
                               const char *prefix);
void KcRouting_AddTarget(KcRouteRule *rule, const char *service,
                         uint32_t weight);

void KcEngineCapacity_Init(KcEngineCapacity *capacity);
void KcEngineCapacity_AddModel(KcEngineCapacity *capacity, const char *name,
                               double megabytes, double adapter_megabytes);
void KcEngineCapacity_Copy(KcEngineCapacity *to, const KcEngineCapacity *from);
void KcEngineCapacity_Clear(KcEngineCapacity *capacity);
/* Finds a model by name; NULL when there is none. */
const KcEngineModel *
KcEngineCapacity_FindModel(const KcEngineCapacity *capacity, const char *name);

/* Adds a service, or returns the one of that name. */
KcRoutedService *KcRouting_AddService(KcRouting *routing, const char *name);

/*
 * Checks what was built: every route has a target and a time-out, and its
 * prefix begins and ends with a slash.  Returns 0, or KC_ERR_INVALID with
 * the peer of err naming the route.
 */
int KcRouting_Validate(KcRouting *routing, KcError *err);

KcRouting *KcRouting_Retain(KcRouting *routing);
void KcRouting_Release(KcRouting *routing); /* NULL is left alone */

/* ---- Part 3: use -------------------------------------------------------- */

/*
 * Finds the rule of a host with the longest prefix that begins path; a port
 * in host and a query in path are left out.  NULL when there is none.
 */
const KcRouteRule *KcRouting_FindRule(const KcRouting *routing,
                                      const char *host, const char *path);

/* Chooses a target by weight; draw is a random number. */
const KcRouteTarget *KcRouting_ChooseTarget(const KcRouteRule *rule,
                                            uint64_t draw);

/* Finds a service by name; NULL when there is none. */
const KcRoutedService *KcRouting_FindService(const KcRouting *routing,
                                             const char *name);

/* Names a kind: "safe", "unsafe" or "stream". */
const char *KcRequestKind_Name(KcRequestKind kind);

#endif
