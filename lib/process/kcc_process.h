/*
 * What lives as long as a process: counters, the event ring, the document
 * in force, the lease, the fleet as an entry knows it, and an engine's
 * adapters as an agent knows them.
 *
 * Part 1 is counters and events, part 2 the document in force, part 3 the
 * lease, part 4 a member, part 5 routing, part 6 limits.  Residency is in
 * kcc_residency.h, the two daemons' contexts are in kcc_entry.h and
 * kcc_agent.h.
 */
#ifndef KCC_PROCESS_H
#define KCC_PROCESS_H

#include <uthash.h>

#include "kcc_connection.h"
#include "kcc_request.h"
#include "kcc_types.h"
#include "kcc_version.h"

/* ---- Part 1: counters and events ---------------------------------------- */

/* Every counter of a process; see KcCounter_Name() and KcCounter_Help(). */
typedef enum KcCounter {
    KC_COUNT_REQUESTS = 0,
    KC_COUNT_ANSWERED,
    KC_COUNT_NOT_RUN,
    KC_COUNT_UNKNOWN,
    KC_COUNT_ABANDONED,
    KC_COUNT_ATTEMPTS,
    KC_COUNT_REFUSALS,
    KC_COUNT_RETRIES,
    KC_COUNT_RESUMES,
    KC_COUNT_CONTINUATIONS,
    KC_COUNT_REMOTE_ATTEMPTS,
    KC_COUNT_REMOTE_BYTES,
    KC_COUNT_CLAIMS,
    KC_COUNT_DUPLICATES,
    KC_COUNT_LIMITED,
    KC_COUNT_WORKS,
    KC_COUNT_WORKS_STARTED,
    KC_COUNT_LOADS,
    KC_COUNT_LOAD_FAILURES,
    KC_COUNT_EVICTIONS,
    KC_COUNT_STALL_US,
    KC_COUNT_ENGINE_RESTARTS,
    KC_COUNT_MESSAGES_SENT,
    KC_COUNT_MESSAGES_RECEIVED,
    KC_COUNT_BYTES_SENT,
    KC_COUNT_BYTES_RECEIVED,
    KC_COUNT_PROTOCOL_ERRORS,
    KC_COUNT_OBJECT_CALLS,
    KC_COUNT_OBJECT_FAILURES,
    KC_COUNT_ADOPTIONS,
    KC_COUNT_TOKENS,
    KC_COUNT_WRONG_MODEL,
    KC_COUNT_MAX
} KcCounter;

/* Times whose distribution is kept; see KcCounters_RecordTime(). */
typedef enum KcTimeKind {
    KC_TIME_FIRST_BYTE =
        0,         /* of a request, until the first byte of its answer */
    KC_TIME_TOTAL, /* of a request, until its end */
    KC_TIME_FIRST_ATTEMPT, /* of a request, until it was first sent */
    KC_TIME_LOAD, /* of an adapter, from the order until it was there */
    KC_TIME_MAX
} KcTimeKind;

/* Buckets of a distribution; the last has no bound. */
#define KC_TIME_BUCKETS 12

typedef struct KcTimes {
    uint64_t bucket[KC_TIME_BUCKETS];
    uint64_t count;
    KcTime sum;
} KcTimes;

typedef struct KcCounters {
    uint64_t values[KC_COUNT_MAX];
    KcTimes times[KC_TIME_MAX];
} KcCounters;

/* Adds a time to a distribution. */
void KcCounters_RecordTime(KcCounters *counters, KcTimeKind kind, KcTime time);

/* Name for scrapers, e.g. "kcc_requests_total". */
const char *KcCounter_Name(KcCounter counter);

/* One line of help. */
const char *KcCounter_Help(KcCounter counter);

static inline void
KcCounters_Add(KcCounters *counters, KcCounter counter, uint64_t amount)
{
    counters->values[counter] += amount;
}

/*
 * Writes all counters and distributions in the text form of scrapers; the
 * caller frees it.
 */
char *KcCounters_Format(const KcCounters *counters);

/* Kinds of events on the time line. */
typedef enum KcEventType {
    KC_EVENT_REQUEST = 0, /* a caller's request arrived */
    KC_EVENT_CLAIM,       /* verdict of a claim; detail: error number */
    KC_EVENT_PICK,        /* a backend server was chosen; detail: cost, ms */
    KC_EVENT_PROPOSE,     /* an attempt was sent; detail: attempt */
    KC_EVENT_RESUME,      /* an attempt was resumed; detail: offset */
    KC_EVENT_ADMIT,       /* queued at the agent; detail: queue length */
    KC_EVENT_REFUSE,      /* did not run; detail: error number */
    KC_EVENT_LOAD,        /* order to load an adapter; detail: fence */
    KC_EVENT_LOADED,      /* detail: error number */
    KC_EVENT_EVICT,       /* order to evict an adapter; detail: fence */
    KC_EVENT_START,       /* sent to the backend server */
    KC_EVENT_FIRST_BYTE,  /* the answer began */
    KC_EVENT_END,         /* the attempt ended; detail: error number */
    KC_EVENT_FINISH,      /* the request ended; detail: outcome */
    KC_EVENT_LINK_UP,     /* connection ready */
    KC_EVENT_LINK_LOST,   /* connection lost; detail: error number */
    KC_EVENT_ADOPT,       /* a document came into force */
    KC_EVENT_REJECT,      /* a document was rejected; detail: generation */
    KC_EVENT_LEASE,       /* lease taken or lost; detail: fence or error */
    KC_EVENT_LEAVING,     /* a planned stop began */
    KC_EVENT_ENGINE_RESTARTED, /* the engine restarted cold */
    KC_EVENT_MAX
} KcEventType;

const char *KcEventType_Name(KcEventType type);

/* One event.  Its clock orders it among the events of all processes. */
typedef struct KcEvent {
    uint64_t clock;
    KcEventType type;
    KcRequestId request; /* zero when it concerns none */
    uint64_t generation;
    int64_t detail;
    char peer[KC_NAME_MAX];                 /* instance, "" when none */
    char subject[KC_ADAPTER_REF_TEXT_SIZE]; /* adapter@version or service */
} KcEvent;

typedef struct KcEvents KcEvents;

/*
 * Creates a ring of the given capacity.  wall_offset is the wall-clock time
 * in microseconds since 1970 minus the monotonic time.
 */
KcEvents *KcEvents_Create(size_t capacity, int64_t wall_offset);
void KcEvents_Free(KcEvents *events);

/*
 * Advances the hybrid logical clock for an event now and returns it: the
 * wall-clock microseconds, shifted by KC_CLOCK_SHIFT, with a count below.
 */
uint64_t KcEvents_AdvanceClock(KcEvents *events, KcTime now);

/* Takes a peer's clock into account, so that what follows comes later. */
void KcEvents_ObserveClock(KcEvents *events, uint64_t clock, KcTime now);

#define KC_CLOCK_SHIFT 12

/* What an event says besides its type; unset fields are empty. */
typedef struct KcEventInfo {
    const KcRequestId *request;
    const char *peer;
    const char *subject;
    uint64_t generation;
    int64_t detail;
} KcEventInfo;

/* Records an event. */
void KcEvents_Add(KcEvents *events, KcEventType type, KcTime now,
                  const KcEventInfo *info);

/* Number of events held. */
size_t KcEvents_Count(const KcEvents *events);

/* The index-th oldest event held. */
const KcEvent *KcEvents_At(const KcEvents *events, size_t index);

/* ---- Part 2: the document in force -------------------------------------- */

#define KC_OBJECT_HEAD "kcc/head"
#define KC_OBJECT_PARTS "kcc/parts/"

typedef struct KcSync KcSync;

typedef struct KcSyncOptions {
    const KcObjectOps *object_ops;
    void *objects;
    KcTimers *timers;
    KcEvents *events;
    KcCounters *counters;
    KcTime retry; /* delay after a failed call of the object API */
    KcTime (*clock)(void *context);
    void *clock_context;
    /* A document came into force; the callee takes the reference. */
    void (*adopt)(void *context, KcDocument *document, KcTime now);
    /* A link to a peer of at least this generation, or NULL. */
    KcLink *(*peer)(void *context, uint64_t generation);
    void *context;
} KcSyncOptions;

/* Creates it; KcSync_Start() begins to watch the head. */
KcSync *KcSync_Create(const KcSyncOptions *options);
void KcSync_Free(KcSync *sync);
void KcSync_Start(KcSync *sync, KcTime now);

/* Generation in force, 0 when none. */
uint64_t KcSync_Generation(const KcSync *sync);

/* True while a newer generation is known and not yet in force. */
bool KcSync_IsBehind(const KcSync *sync, uint64_t generation);

/*
 * Handles what a message says about documents: the sender's generation, and
 * the messages that ask for or carry heads and parts.  Returns true when
 * the message was of that kind.
 */
bool KcSync_OnMessage(KcSync *sync, KcLink *link, const KcMsg *msg,
                      KcTime now);

/* ---- Part 3: the lease -------------------------------------------------- */

#define KC_OBJECT_LEASES "kcc/leases/"

/* A decoded lease object. */
typedef struct KcLeaseValue {
    char holder[KC_NAME_MAX];                    /* instance name */
    char process_token[KC_REQUEST_ID_TEXT_SIZE]; /* of the process start */
    uint64_t fence;
    uint64_t generation;     /* in force at the holder */
    int64_t confirmed_at_us; /* wall clock at which it came into force */
    int64_t renewed_at_us;   /* wall clock of this write */
    int64_t ttl_us;
    char role[16];
    char datacentre[KC_NAME_MAX];
    char admin_address[KC_ADDRESS_MAX]; /* where administrators reach the
                                           process */
    bool leaving;
} KcLeaseValue;

size_t KcLeaseValue_Encode(const KcLeaseValue *value, char *text, size_t size);
int KcLeaseValue_Decode(KcBytes bytes, KcLeaseValue *value);

typedef struct KcLease KcLease;

typedef struct KcLeaseOptions {
    const KcObjectOps *object_ops;
    void *objects;
    KcTimers *timers;
    KcEvents *events;
    const char *name;   /* of the object below KC_OBJECT_LEASES */
    const char *holder; /* this instance */
    const char *role;
    const char *datacentre;
    const char
        *admin_address; /* administrators' address, "" when there is none */
    const KcRequestId *process_token;
    KcTime ttl;
    KcTime expiry_margin;  /* orders stop this long before the lease lapses */
    KcTime renew_interval; /* interval of renewals */
    KcTime confirm_delay_max; /* a new generation is confirmed within this */
    int64_t wall_offset;
    uint64_t jitter_seed; /* of the jitter */
    KcTime (*clock)(void *context);
    void *clock_context;
    /* The lease was taken (fence > 0) or lost to another (fence 0). */
    void (*on_changed)(void *context, uint64_t fence, KcTime now);
    void *context;
} KcLeaseOptions;

/*
 * A lease object with a fencing number, renewed by conditional updates.
 * A lease held by another is taken over only when it has not been renewed
 * for its ttl plus margin as measured here, on the monotonic clock; one held
 * by an earlier process of the same instance is taken over at once when a
 * process starts.
 */
KcLease *KcLease_Create(const KcLeaseOptions *options);
void KcLease_Free(KcLease *lease);
void KcLease_Start(KcLease *lease, KcTime now);

/* Notes the generation in force; it is confirmed with the next renewal. */
void KcLease_ConfirmGeneration(KcLease *lease, uint64_t generation,
                               KcTime now);

/* Says in the lease object that the instance is leaving. */
void KcLease_AnnounceLeaving(KcLease *lease, KcTime now);

/* Fencing number, 0 while no lease is held. */
uint64_t KcLease_Fence(const KcLease *lease);

/*
 * May orders be given at this time?  True while the lease runs.  After it
 * lapsed because the object API does not answer, orders go on as long as
 * this process was awake throughout.  Should another process have taken the
 * lease meanwhile, the fencing number in the order, or in the name of the
 * adapter for an engine that ignores it, makes the order harmless.
 */
bool KcLease_MayOrder(const KcLease *lease, KcTime now);

/* ---- Part 4: a member --------------------------------------------------- */

/*
 * What entries and agents have alike: a name and a place, the seams, a
 * lease and the document in force.  Durations in microseconds.
 */
typedef struct KcMemberOptions {
    const char *name; /* instance name, as in the instance list */
    const char *datacentre;
    const char *admin_address; /* administrators' address, NULL when none */
    uint64_t incarnation;      /* random per process start */
    const KcObjectOps *object_ops;
    void *objects;
    KcTimers *timers;
    KcEvents *events;
    KcCounters *counters;
    KcTime (*clock)(void *context);
    void *clock_context;
    int64_t wall_offset; /* wall clock minus monotonic clock */
    KcTime lease_ttl;
    KcTime lease_margin;
    KcTime lease_renew_interval;
    KcTime confirm_delay_max;
    KcTime sync_retry; /* delay after a failed object call */
} KcMemberOptions;

/* How the two roles differ as members; see KcSyncOptions, KcLeaseOptions. */
typedef struct KcMemberOps {
    const char *role; /* as in the lease object */
    void (*on_adopt)(void *context, KcDocument *document, KcTime now);
    KcLink *(*find_peer)(void *context, uint64_t generation);
    void (*on_lease_changed)(void *context, uint64_t fence, KcTime now);
} KcMemberOps;

/* Fills in the defaults of the durations; the rest is zero. */
void KcMemberOptions_Init(KcMemberOptions *options);

/* The present time by the member's clock. */
KcTime KcMember_Now(const KcMemberOptions *options);

/* Creates the member's document watch; ops get the context. */
KcSync *KcMember_CreateSync(const KcMemberOptions *options,
                            const KcMemberOps *ops, void *context);

/* Creates the member's lease; ops get the context. */
KcLease *KcMember_CreateLease(const KcMemberOptions *options,
                              const KcMemberOps *ops, void *context);

/* ---- Part 5: routing ---------------------------------------------------- */

/* Candidates kept per bucket, in this region and in the others. */
#define KC_ROUTE_LOCAL 8
#define KC_ROUTE_REMOTE 4

/* One backend server as an entry knows it. */
typedef struct KcBackend {
    UT_hash_handle hh;           /* KcFleet, by name */
    TAILQ_ENTRY(KcBackend) link; /* KcFleet, in order of arrival */
    char name[KC_NAME_MAX];
    char service[KC_NAME_MAX];
    char datacentre[KC_NAME_MAX];
    char region[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    uint64_t name_hash;
    struct KcPool *pool;
    uint32_t index; /* in the pool */
    bool listed;    /* in the last instance list */
    bool leaving;
    KcTime suspect_until;      /* not proposed to before this time */
    uint32_t connect_failures; /* connection failures in a row */
    uint64_t incarnation;      /* of the agent as last connected */
    KcTimer check_timer;       /* checks the connection while attempts wait */
    KcAgentLoad load;          /* as last reported */
    KcTime load_reported_at;
    uint32_t attempts_since_report; /* attempts proposed since that report */
    uint32_t attempt_count;         /* attempts of this entry in progress */
    KcLink *connection;             /* NULL when there is none */
    bool connecting;
    TAILQ_HEAD(, KcAttempt) attempt_list;
} KcBackend;

TAILQ_HEAD(KcBackendList, KcBackend);

/* The candidates of one bucket of adapters, best first. */
typedef struct KcBucket {
    uint32_t epoch; /* of the pool when it was filled; 0: never */
    uint16_t local[KC_ROUTE_LOCAL];
    uint16_t remote[KC_ROUTE_REMOTE];
    uint8_t local_count;
    uint8_t remote_count;
    bool home_is_remote; /* the best of all is in another region */
} KcBucket;

/* The backend servers of one service. */
typedef struct KcPool {
    TAILQ_ENTRY(KcPool) link;
    char service[KC_NAME_MAX];
    uint32_t epoch; /* grows with every change of the members */
    uint32_t count;
    uint32_t capacity;
    KcBackend **members;
    KcBucket *buckets;
} KcPool;

TAILQ_HEAD(KcPoolList, KcPool);

/* An adapter known to be loaded at some backend servers. */
typedef struct KcHint {
    UT_hash_handle hh;        /* KcFleet, by key */
    TAILQ_ENTRY(KcHint) link; /* least recently used first */
    uint64_t key;
    KcBackend *holders[4]; /* NULL when unused */
    KcTime at[4];
} KcHint;

TAILQ_HEAD(KcHintList, KcHint);

/* The backend servers known to an entry. */
typedef struct KcFleet {
    KcBackend *by_name;
    struct KcBackendList backends;
    struct KcPoolList pools;
    KcHint *hints;
    struct KcHintList hint_list;
    uint32_t hint_count;
    uint32_t hint_max;
    char entry_region[KC_NAME_MAX]; /* of this entry */
} KcFleet;

void KcFleet_Init(KcFleet *fleet, uint32_t hint_max);
void KcFleet_Clear(KcFleet *fleet);

/* One line of the instance list. */
typedef struct KcInstance {
    char name[KC_NAME_MAX];
    char service[KC_NAME_MAX];
    char datacentre[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    bool leaving;
} KcInstance;

/*
 * Takes over an instance list, which may lag.  An instance that is missing
 * from it is forgotten once it has no attempt; returns nothing, but calls
 * forget for each before freeing it.
 */
void KcFleet_Update(KcFleet *fleet, const KcInstance *instances, size_t count,
                    const KcDocument *document,
                    void (*forget)(void *context, KcBackend *backend),
                    void *context);

KcBackend *KcFleet_FindBackend(const KcFleet *fleet, const char *name);
KcPool *KcFleet_FindPool(const KcFleet *fleet, const char *service);

/* Records whether an adapter is loaded at a backend server. */
void KcFleet_RecordHolder(KcFleet *fleet, uint64_t key, KcBackend *backend,
                          bool resident, KcTime now);

/* Key of a model for routing: a hash of adapter and version. */
uint64_t KcRoute_MakeKey(const KcAdapterRef *model);

/* Weights and delays of a choice; durations in microseconds. */
typedef struct KcRouteOptions {
    KcTime load_time;         /* time to load an adapter */
    KcTime service_time;      /* time of one call */
    uint32_t concurrency_max; /* calls run at once by a backend server */
    KcTime remote_cost;       /* cost of the way to another region and back */
    KcTime
        load_report_age_max; /* a load report counts for nothing after this */
    int64_t stall_weight;    /* 0-100 */
    int64_t batch_weight;    /* 0-100 */
    KcTime rank_cost; /* cost per rank: keeps an adapter near its home */
} KcRouteOptions;

/* A choice to be made. */
typedef struct KcRouteQuery {
    KcFleet *fleet;
    KcPool *pool;
    uint64_t key;            /* KcRoute_MakeKey(), or a request's own number */
    bool needs_adapter;      /* false for a plain service */
    bool remote_allowed;     /* the byte budget allows another region */
    KcBackend *const *tried; /* not to be chosen again */
    uint32_t tried_count;
    uint64_t random; /* for policies that draw */
    const KcRouteOptions *options;
} KcRouteQuery;

/* A choice. */
typedef struct KcRouteChoice {
    KcBackend *backend; /* NULL when none is available */
    KcTime cost;        /* expected wait */
    bool remote;
} KcRouteChoice;

/* One way of choosing; policies are rows of a table. */
typedef struct KcRoutePolicy {
    const char *name;
    void (*pick)(const KcRouteQuery *query, KcTime now, KcRouteChoice *choice);
} KcRoutePolicy;

/* Finds a policy by name; "kcc" is ours.  NULL when there is none. */
const KcRoutePolicy *KcRoute_FindPolicy(const char *name);

/* The index-th policy, NULL past the last. */
const KcRoutePolicy *KcRoute_PolicyAt(size_t index);

/* ---- Part 6: limits ----------------------------------------------------- */

/* What one customer uses at an entry. */
typedef struct KcCustomer {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcCustomer) link; /* least recently seen first */
    char name[KC_NAME_MAX];
    int64_t tokens; /* millionths of a request */
    KcTime filled;
    uint32_t in_flight;
} KcCustomer;

TAILQ_HEAD(KcCustomerList, KcCustomer);

typedef struct KcCustomers {
    KcCustomer *by_name;
    struct KcCustomerList list;
    uint32_t count;
    uint32_t max; /* idle customers beyond this are forgotten */
} KcCustomers;

void KcCustomers_Init(KcCustomers *customers, uint32_t max);
void KcCustomers_Clear(KcCustomers *customers);

/*
 * Admits one request of a customer.  Returns 0 with *customer set, or
 * KC_ERR_LIMIT_EXCEEDED with *retry_after set.  entries is the number of live
 * entries, over which the customer's rate is divided.
 */
int KcCustomers_Admit(KcCustomers *customers, const char *name,
                      const KcCustomerLimit *limit, uint32_t entries,
                      KcTime now, KcCustomer **customer, KcTime *retry_after);

/* Ends one admitted request. */
void KcCustomers_Release(KcCustomer *customer);

/* A budget of bytes a second, as a token bucket of one second. */
typedef struct KcByteBudget {
    int64_t bytes_per_s; /* 0: nothing is allowed */
    int64_t bytes;
    KcTime filled;
} KcByteBudget;

/* True when the budget is not overdrawn now. */
bool KcByteBudget_Allows(KcByteBudget *budget, KcTime now);

/* Charges bytes; the budget may be overdrawn and is paid back in time. */
void KcByteBudget_Charge(KcByteBudget *budget, uint64_t bytes, KcTime now);

#endif
