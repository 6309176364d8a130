/*
 * One accepted version of the routing configuration: the services that serve
 * a host and path prefix, with timeouts, priorities and limits.
 *
 * A decoder builds it (KcRouting_Create(), the KcRouting_Add functions,
 * KcRouting_Validate()); it doesn't change afterwards.  A request holds a
 * reference to the version it was routed with.
 */
#ifndef KCC_ROUTING_H
#define KCC_ROUTING_H

#include <uthash.h>

#include "kcc_types.h"

/* Sizes of the longest host of a route, and of the longest path prefix or
 * health path, including the NUL. */
#define KC_HOST_MAX 128
#define KC_ROUTE_PATH_MAX 256

/* ---- Part 1: contents --------------------------------------------------- */

/* Whether a request may run more than once. */
typedef enum KcRequestKind {
    KC_REQUEST_KIND_SAFE = 0, /* may run more than once */
    KC_REQUEST_KIND_UNSAFE,   /* runs at most once */
    KC_REQUEST_KIND_STREAM, /* answered by events; runs at most once unless the
                             * route is resumable */
    KC_REQUEST_KIND_COUNT
} KcRequestKind;

/* One of the services among which a route's requests are divided. */
typedef struct KcRouteTarget {
    TAILQ_ENTRY(KcRouteTarget) link;
    char service[KC_NAME_MAX];
    uint32_t weight; /* share relative to the other targets */
} KcRouteTarget;

TAILQ_HEAD(KcRouteTargetList, KcRouteTarget);

/* How requests for one host and path prefix are served. */
typedef struct KcRouteRule {
    TAILQ_ENTRY(KcRouteRule) link; /* KcRouteHost, longest prefix first */
    char name[KC_NAME_MAX];
    char host[KC_HOST_MAX];
    char prefix[KC_ROUTE_PATH_MAX]; /* begins and ends with a slash */
    KcRequestKind kind;
    KcTime request_timeout;    /* of a request, until its final answer */
    KcTime latency_objective;  /* latency up to which an answer is in time */
    KcTime event_interval_max; /* between events of a stream; 0: not given */
    KcTime caller_silence_timeout; /* callers give up a stream that is silent
                                    * for this time; 0: not known */
    uint32_t priority;             /* 0 is the most urgent */
    uint32_t attempts_max; /* attempts of one request that may have run */
    bool resumable;        /* a stream may continue at another server */
    bool keyless;          /* needs no key, where there are customers */
    struct KcRouteTargetList targets;
    uint64_t weight_sum; /* of the targets */
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
    double weights_megabytes; /* memory of its weights */
    double adapter_megabytes; /* memory of one of its adapters */
} KcEngineModel;

TAILQ_HEAD(KcEngineModelList, KcEngineModel);

/* What an engine of a service can hold. */
typedef struct KcEngineCapacity {
    bool is_configured; /* false for a plain service: the rest is 0 */
    struct KcEngineModelList models;
    double memory_megabytes;  /* memory for weights and adapters together */
    uint32_t adapter_slots;   /* adapters loaded or loading */
    uint32_t concurrency_max; /* requests that run at once */
    uint64_t kv_cache_tokens; /* KV cache: running requests, cached prompts */
} KcEngineCapacity;

/* A service, which routes may have as a target. */
typedef struct KcRoutedService {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcRoutedService) link;
    char name[KC_NAME_MAX];
    char health_path[KC_ROUTE_PATH_MAX]; /* of its backend servers */
    KcEngineCapacity engine;             /* of each of its engines */
    uint32_t connections_max; /* that each of its servers accepts from all
                               * gateways together; 0: unknown */
} KcRoutedService;

TAILQ_HEAD(KcRoutedServiceList, KcRoutedService);

/* What a customer's quota counts. */
typedef enum KcQuotaUnit {
    KC_QUOTA_REQUESTS = 0,
    KC_QUOTA_TOKENS, /* of prompt and answer, as the request states them */
    KC_QUOTA_UNIT_COUNT
} KcQuotaUnit;

/* A customer: whoever holds one of its keys sends requests in its name. */
typedef struct KcRoutedCustomer {
    UT_hash_handle hh; /* KcRouting.customers, by name */
    TAILQ_ENTRY(KcRoutedCustomer) link;
    char name[KC_NAME_MAX];
    bool has_priority;
    uint32_t priority; /* 0 is the most urgent; goes before the route's */
    KcQuotaUnit unit;
    double rate_per_s;   /* of its quota; 0: no limit */
    double burst;        /* units beyond the rate that may be saved up */
    uint64_t plain_cost; /* tokens of a request that states none */
    uint32_t key_count;  /* keys that can be read */
} KcRoutedCustomer;

TAILQ_HEAD(KcRoutedCustomerList, KcRoutedCustomer);

/* SHA-256 of a customer's key.  The key itself is kept nowhere. */
#define KC_KEY_DIGEST_BYTES 32

typedef struct KcKeyDigest {
    uint8_t bytes[KC_KEY_DIGEST_BYTES];
} KcKeyDigest;

/* A key of a customer. */
typedef struct KcCustomerKey {
    UT_hash_handle hh; /* KcRouting.keys, by digest */
    KcKeyDigest digest;
    const KcRoutedCustomer *customer;
} KcCustomerKey;

/* Limits on the requests of callers. */
typedef struct KcCallerLimits {
    size_t header_bytes_max; /* of target and headers of a request */
    size_t body_bytes_max;   /* of the body of a request */
    KcTime header_timeout;   /* to receive all headers */
    KcTime idle_timeout;     /* of a connection on which nothing arrives */
} KcCallerLimits;

/* One version of the routing configuration. */
typedef struct KcRouting {
    uint32_t references;
    uint64_t version; /* given by the operator's configuration */
    KcCallerLimits limits;
    KcRouteHost *hosts;        /* uthash by name */
    KcRoutedService *services; /* uthash by name */
    struct KcRoutedServiceList service_list;
    uint32_t rule_count; /* of all hosts */
    /* Are there customers?  If not, requests need no key. */
    bool has_customers;
    KcRoutedCustomer *customers; /* uthash by name */
    struct KcRoutedCustomerList customer_list;
    KcCustomerKey *keys; /* uthash by digest */
    /* Customers and keys that can't be read, and keys that two customers
     * have: requests in their name are refused. */
    uint32_t unread_customers;
    uint32_t unread_keys;
} KcRouting;

/* ---- Part 2: building --------------------------------------------------- */

/* Creates an empty configuration with one reference. */
KcRouting *KcRouting_Create(uint64_t version);

/* Adds a rule, which the routing owns; the caller sets its fields and adds
 * its targets.  host is stored in lower case. */
KcRouteRule *KcRouting_AddRule(KcRouting *routing, const char *host,
                               const char *prefix);
void KcRouting_AddTarget(KcRouteRule *rule, const char *service,
                         uint32_t weight);

/* Returns the customer of that name, which is added when there is none; the
 * caller sets its fields. */
KcRoutedCustomer *KcRouting_AddCustomer(KcRouting *routing, const char *name);
/* Adds a key of a customer.  Returns 0, or KC_ERR_CONFLICT when another
 * customer has it: then it is no one's. */
int KcRouting_AddKey(KcRouting *routing, KcRoutedCustomer *customer,
                     const KcKeyDigest *digest);

/* Initialises a capacity that is not configured and has no models. */
void KcEngineCapacity_Init(KcEngineCapacity *capacity);
/* Adds a model; copies the name. */
void KcEngineCapacity_AddModel(KcEngineCapacity *capacity, const char *name,
                               double weights_megabytes,
                               double adapter_megabytes);
/* Copies a capacity with its models; to must be empty. */
void KcEngineCapacity_Copy(KcEngineCapacity *to, const KcEngineCapacity *from);
/* Frees the models. */
void KcEngineCapacity_Clear(KcEngineCapacity *capacity);
/* Finds a model by name; NULL when there is none. */
const KcEngineModel *
KcEngineCapacity_FindModel(const KcEngineCapacity *capacity, const char *name);

/* Returns the service of that name, which is added when there is none. */
KcRoutedService *KcRouting_AddService(KcRouting *routing, const char *name);

/*
 * Checks a complete configuration: every route has a target, a timeout and
 * at least one attempt, and its prefix begins and ends with a slash.
 * Returns 0, or KC_ERR_INVALID with the name of the route as the peer of
 * err.
 */
int KcRouting_Validate(KcRouting *routing, KcError *err);

/* Adds a reference and returns routing. */
KcRouting *KcRouting_Retain(KcRouting *routing);
/* Drops a reference; the last one frees the routing.  NULL is allowed. */
void KcRouting_Release(KcRouting *routing);

/* ---- Part 3: use -------------------------------------------------------- */

/*
 * Finds the rule of a host whose prefix is the longest that path begins
 * with; a port in host and a query in path are ignored.  NULL when there is
 * none.
 */
const KcRouteRule *KcRouting_FindRule(const KcRouting *routing,
                                      const char *host, const char *path);

/* Chooses a target of a valid rule by weight; draw is a random number. */
const KcRouteTarget *KcRouting_ChooseTarget(const KcRouteRule *rule,
                                            uint64_t draw);

/* Finds a service by name; NULL when there is none. */
const KcRoutedService *KcRouting_FindService(const KcRouting *routing,
                                             const char *name);

/* Finds a customer by name; NULL when there is none. */
const KcRoutedCustomer *KcRouting_FindCustomerByName(const KcRouting *routing,
                                                     const char *name);
/* Finds the customer that holds a key; NULL when there is none.  The digests
 * are compared in a time that does not depend on their bytes. */
const KcRoutedCustomer *KcRouting_FindCustomer(const KcRouting *routing,
                                               const KcKeyDigest *digest);

/* Returns "safe", "unsafe" or "stream". */
const char *KcRequestKind_Name(KcRequestKind kind);
/* Returns "requests" or "tokens". */
const char *KcQuotaUnit_Name(KcQuotaUnit unit);

#endif
