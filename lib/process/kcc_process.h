/*
 * Data that lives as long as a process: counters and events (part 1), the
 * document in force (part 2), the lease (part 3), what entries and agents
 * have in common (part 4), routing at an entry (part 5) and the limits of
 * customers (part 6).
 *
 * The adapters loaded at an engine are in kcc_residency.h, the contexts of
 * the daemons in kcc_entry.h, kcc_agent.h, kcc_gateway.h and kcc_keeper.h.
 */
#ifndef KCC_PROCESS_H
#define KCC_PROCESS_H

#include <uthash.h>

#include "kcc_connection.h"
#include "kcc_request.h"
#include "kcc_types.h"
#include "kcc_version.h"

/* ---- Part 1: counters and events ---------------------------------------- */

/* Counters of a process; see also KcCounter_Help(). */
typedef enum KcCounter {
    KC_COUNT_REQUESTS = 0,      /* requests received from callers */
    KC_COUNT_ANSWERED,          /* requests answered completely */
    KC_COUNT_NOT_RUN,           /* requests that ended as not_run */
    KC_COUNT_UNKNOWN,           /* requests that ended as unknown */
    KC_COUNT_ABANDONED,         /* requests whose caller disconnected */
    KC_COUNT_ATTEMPTS,          /* attempts sent */
    KC_COUNT_REFUSALS,          /* attempts refused before they ran */
    KC_COUNT_RETRIES,           /* attempts after the first of a request */
    KC_COUNT_RESUMES,           /* attempts resumed on a new connection */
    KC_COUNT_CONTINUATIONS,     /* answers continued by another engine */
    KC_COUNT_REMOTE_ATTEMPTS,   /* attempts in another region */
    KC_COUNT_REMOTE_BYTES,      /* bytes to and from other regions */
    KC_COUNT_CLAIMS,            /* at-most-once claims */
    KC_COUNT_DUPLICATES,        /* requests whose key was used before */
    KC_COUNT_LIMITED,           /* requests above a customer's limits */
    KC_COUNT_WORKS,             /* works received by the agent */
    KC_COUNT_WORKS_STARTED,     /* works sent to the backend server */
    KC_COUNT_LOADS,             /* adapter loads ordered */
    KC_COUNT_LOAD_FAILURES,     /* adapter loads that failed */
    KC_COUNT_EVICTIONS,         /* adapter evictions ordered */
    KC_COUNT_STALL_US,          /* microseconds that works waited for loads */
    KC_COUNT_ENGINE_RESTARTS,   /* cold restarts of the engine */
    KC_COUNT_MESSAGES_SENT,     /* messages sent on links */
    KC_COUNT_MESSAGES_RECEIVED, /* messages received on links */
    KC_COUNT_BYTES_SENT,        /* bytes sent on links */
    KC_COUNT_BYTES_RECEIVED,    /* bytes received on links */
    KC_COUNT_MESSAGES_SKIPPED,  /* received messages of unknown types */
    KC_COUNT_PROTOCOL_ERRORS,   /* links closed for a protocol error */
    KC_COUNT_OBJECT_CALLS,      /* calls of the object API */
    KC_COUNT_OBJECT_FAILURES,   /* calls of the object API without an answer */
    KC_COUNT_ADOPTIONS,         /* documents that came into force */
    KC_COUNT_TOKENS,            /* tokens delivered */
    KC_COUNT_WRONG_MODEL,       /* answers that named another model */
    KC_COUNT_SILENT_ATTEMPTS,   /* attempts cancelled, the server was silent */
    KC_COUNT_CHECKS,            /* silent servers asked for a sign of life */
    KC_COUNT_EARLY_REFUSALS,    /* requests refused before they were read */
    KC_COUNT_IDLE_CLOSES,       /* callers' connections closed while idle */
    KC_COUNT_EXCESS_CALLERS,    /* requests on connections too many */
    KC_COUNT_MEMORY_REFUSALS,   /* requests without memory to hold them */
    KC_COUNT_ACCEPT_ERRORS,     /* connections that were not accepted */
    KC_COUNT_UNREAD_CLOSES,     /* callers' connections with unread bytes */
    KC_COUNT_UNSENT_CLOSES,     /* callers' connections with unsent bytes */
    KC_COUNT_LEAVING_NOTICES,   /* servers that said that they leave */
    KC_COUNT_WAIT_NOTICES,      /* answers that asked to wait */
    KC_COUNT_UNREAD_NOTICES,    /* answers whose notice was not readable */
    KC_COUNT_STRAY_REPLIES,     /* replies that belong to no request */
    KC_COUNT_ENGINE_ENDS,       /* engines that ended on their own */
    KC_COUNT_PARTS_SUSPECTED,   /* prompt parts that came under suspicion */
    KC_COUNT_PARTS_BLOCKED,     /* prompt parts that were blocked */
    KC_COUNT_PARTS_TRIED,       /* trials of blocked parts that were granted */
    KC_COUNT_PARTS_CLEARED,     /* prompt parts cleared of evidence */
    KC_COUNT_BLOCKED_REQUESTS,  /* requests refused for a blocked part */
    KC_COUNT_UNKNOWN_KEYS,      /* requests refused, as no customer has their
                                 * key */
    KC_COUNT_UNCONFIRMED_KEYS,  /* requests refused, as the configuration may
                                 * be out of date */
    KC_COUNT_UNCERTAIN,         /* times the configuration became uncertain */
    KC_COUNT_STORE_RESTORED,    /* times the store came back from a copy */
    KC_COUNT_WAITS_TOO_LONG,    /* requests refused as their turn in a queue
                                 * comes after their deadline */
    KC_COUNT_WAITS_ENDED,       /* requests refused after a wait in a queue */
    KC_COUNT_BUDGET_REFUSALS,   /* requests refused for want of retry budget */
    KC_COUNT_SECOND_ATTEMPTS,   /* second attempts for slow answers */
    KC_COUNT_SECOND_WON,        /* whose answer began first */
    KC_COUNT_SECOND_LOST,       /* whose first attempt began sooner */
    KC_COUNT_SECOND_LIMITED,    /* not made: beyond the operator's limit */
    KC_COUNT_SECOND_LOADED,     /* not made: the servers were loaded */
    KC_COUNT_SECOND_NOT_SOONER, /* not made: no server would begin sooner */
    KC_COUNT_SECOND_NO_BUDGET,  /* not made: no retry budget, or attempts */
    KC_COUNT_SECOND_OVER_QUOTA, /* not made: the customer had no room */
    KC_COUNT_SLOW_CALLERS,      /* callers' connections ended for memory */
    KC_COUNTER_COUNT
} KcCounter;

/* Durations of which a histogram is kept; see KcCounters_RecordTime().  The
 * first three begin when a request arrives. */
typedef enum KcTimeKind {
    KC_TIME_FIRST_BYTE = 0, /* until the first byte of its answer */
    KC_TIME_TOTAL,          /* until its end */
    KC_TIME_FIRST_ATTEMPT,  /* until its first attempt starts */
    KC_TIME_LOAD,           /* from the order to load an adapter until it
                             * is loaded; failed loads are left out */
    KC_TIME_KIND_COUNT
} KcTimeKind;

/* Buckets of a histogram; the last has no upper bound. */
#define KC_TIME_BUCKET_COUNT 12

/* A histogram of durations. */
typedef struct KcTimeHistogram {
    uint64_t bucket_counts[KC_TIME_BUCKET_COUNT];
    uint64_t count; /* over all buckets */
    KcTime sum;     /* microseconds */
} KcTimeHistogram;

/* All counters and histograms of a process; zeroed at its start. */
typedef struct KcCounters {
    uint64_t values[KC_COUNTER_COUNT];              /* by KcCounter */
    KcTimeHistogram histograms[KC_TIME_KIND_COUNT]; /* by KcTimeKind */
} KcCounters;

/* Adds one duration in microseconds to the histogram of its kind. */
void KcCounters_RecordTime(KcCounters *counters, KcTimeKind kind,
                           KcTime duration);

/* Name in the Prometheus output, e.g. "kcc_requests_total"; static text. */
const char *KcCounter_Name(KcCounter counter);

/* Help line in the Prometheus output; static text. */
const char *KcCounter_Help(KcCounter counter);

static inline void
KcCounters_Add(KcCounters *counters, KcCounter counter, uint64_t amount)
{
    counters->values[counter] += amount;
}

/*
 * Formats all counters and histograms as Prometheus text.  Returns a string
 * that the caller frees.
 */
char *KcCounters_Format(const KcCounters *counters);

/* Types of events in the event ring, and what their detail holds. */
typedef enum KcEventType {
    KC_EVENT_REQUEST = 0, /* a caller's request arrived */
    KC_EVENT_CLAIM,       /* a claim was decided; detail: error number */
    KC_EVENT_PICK,        /* a backend server was chosen; detail: cost, ms */
    KC_EVENT_PROPOSE,     /* an attempt was sent; detail: attempt */
    KC_EVENT_RESUME,      /* an attempt was resumed; detail: offset */
    KC_EVENT_ADMIT,       /* queued at the agent; detail: queue length */
    KC_EVENT_REFUSE,      /* did not run; detail: error number */
    KC_EVENT_LOAD,        /* order to load an adapter; detail: fence */
    KC_EVENT_LOADED,      /* a load ended; detail: error number */
    KC_EVENT_EVICT,       /* order to evict an adapter; detail: fence */
    KC_EVENT_START,       /* a request was sent to the backend server */
    KC_EVENT_FIRST_BYTE,  /* the answer began */
    KC_EVENT_END,         /* the attempt ended; detail: error number */
    KC_EVENT_FINISH,      /* the request ended; detail: outcome */
    KC_EVENT_LINK_UP,     /* connection ready */
    KC_EVENT_LINK_LOST,   /* connection lost; detail: error number */
    KC_EVENT_ADOPT,       /* a document came into force */
    KC_EVENT_REJECT,      /* a document was rejected; detail: generation */
    KC_EVENT_LEASE,       /* lease taken or lost; detail: fence, 0 when lost */
    KC_EVENT_LEAVING,     /* a planned stop began */
    KC_EVENT_ENGINE_RESTARTED, /* the engine restarted cold */
    KC_EVENT_TYPE_COUNT
} KcEventType;

/* Name in the output of /debug/events, e.g. "request"; static text. */
const char *KcEventType_Name(KcEventType type);

/* One recorded event. */
typedef struct KcEvent {
    uint64_t clock; /* hybrid logical clock: orders events of all processes */
    KcEventType type;
    KcRequestId request;    /* zero when the event concerns no request */
    uint64_t generation;    /* of the document in force at the event */
    int64_t detail;         /* by type, see KcEventType */
    char peer[KC_NAME_MAX]; /* name of the other instance, or "" */
    /* What it concerns, e.g. adapter@version or a service; or "". */
    char subject[KC_ADAPTER_REF_TEXT_SIZE];
} KcEvent;

/* A ring buffer of events; a new event overwrites the oldest. */
typedef struct KcEvents KcEvents;

/*
 * Creates a ring of the given capacity, freed by KcEvents_Free().
 * wall_offset is the wall-clock time in microseconds since 1970 minus the
 * monotonic time.
 */
KcEvents *KcEvents_Create(size_t capacity, int64_t wall_offset);
void KcEvents_Free(KcEvents *events);

/*
 * Advances the hybrid logical clock for an event now and returns it: the
 * wall clock in microseconds shifted left by KC_CLOCK_SHIFT; the low bits
 * count events within one microsecond.
 */
uint64_t KcEvents_AdvanceClock(KcEvents *events, KcTime now);

/*
 * Advances the clock to that of a received message, so that later events
 * here order after the peer's.
 */
void KcEvents_ObserveClock(KcEvents *events, uint64_t clock, KcTime now);

/* Bits of the clock below its wall-clock microseconds. */
#define KC_CLOCK_SHIFT 12

/* Fields of an event besides its type; NULL and 0 mean empty. */
typedef struct KcEventInfo {
    const KcRequestId *request;
    const char *peer;
    const char *subject;
    uint64_t generation;
    int64_t detail;
} KcEventInfo;

/* Records an event; the texts of info are copied. */
void KcEvents_Add(KcEvents *events, KcEventType type, KcTime now,
                  const KcEventInfo *info);

/* Number of events held. */
size_t KcEvents_Count(const KcEvents *events);

/* The index-th oldest event held; valid until the next KcEvents_Add(). */
const KcEvent *KcEvents_At(const KcEvents *events, size_t index);

/* ---- Part 2: the document in force -------------------------------------- */

/* Names in the object API: the head, and the prefix of the parts. */
#define KC_OBJECT_HEAD "kcc/head"
#define KC_OBJECT_PARTS "kcc/parts/"

/* The document watch: keeps the document in force up to date, from the object
 * API and from peers. */
typedef struct KcSync KcSync;

typedef struct KcSyncOptions {
    const KcObjectOps *object_ops;
    void *objects; /* first argument of object_ops */
    KcTimers *timers;
    KcEvents *events;
    KcCounters *counters;
    KcTime retry_delay; /* after a failed call of the object API */
    KcTime (*clock)(void *clock_context); /* monotonic time */
    void *clock_context;
    /* A document came into force; the callee takes the reference. */
    void (*on_adopt)(void *context, KcDocument *document, KcTime now);
    /* Finds a link to a peer of at least this generation; NULL: none. */
    KcLink *(*find_peer)(void *context, uint64_t generation);
    void *context; /* first argument of the two callbacks above */
} KcSyncOptions;

/* Creates a document watch; KcSync_Free() frees it, even while calls are
 * outstanding. */
KcSync *KcSync_Create(const KcSyncOptions *options);
void KcSync_Free(KcSync *sync);

/* Begins to watch the head; called once. */
void KcSync_Start(KcSync *sync, KcTime now);

/* Generation of the document in force, 0 when there is none. */
uint64_t KcSync_Generation(const KcSync *sync);

/* True when the given generation is newer than the one in force. */
bool KcSync_IsBehind(const KcSync *sync, uint64_t generation);

/*
 * Handles the part of a message that concerns documents: the sender's
 * generation in every message, and messages that request or carry the head
 * or a part.  Returns true when the message was one of the latter.
 */
bool KcSync_OnMessage(KcSync *sync, KcLink *link, const KcMsg *msg,
                      KcTime now);

/* ---- Part 3: the lease -------------------------------------------------- */

/* Prefix of the names of lease objects in the object API. */
#define KC_OBJECT_LEASES "kcc/leases/"

/* A decoded lease object. */
typedef struct KcLeaseValue {
    char holder[KC_NAME_MAX];                    /* instance name */
    char process_token[KC_REQUEST_ID_TEXT_SIZE]; /* identifies the holder's
                                                    process start */
    uint64_t fence;          /* fencing number, grows with each new holder */
    uint64_t generation;     /* of the document in force at the holder */
    int64_t confirmed_at_us; /* when it came into force there, us since 1970 */
    int64_t renewed_at_us;   /* when the lease was written, us since 1970 */
    int64_t ttl_us;          /* the lease lapses so long after its renewal */
    char role[16];
    char datacentre[KC_NAME_MAX];
    char admin_address[KC_ADDRESS_MAX]; /* address of the admin interface, or
                                           "" */
    bool leaving;
} KcLeaseValue;

/* Writes JSON without a NUL.  Returns its length, 0 when it does not fit. */
size_t KcLeaseValue_Encode(const KcLeaseValue *value, char *text, size_t size);

/* Returns 0, or KC_ERR_PARSE when the holder or the fence is missing. */
int KcLeaseValue_Decode(KcBytes bytes, KcLeaseValue *value);

/* A lease on one object of the object API, taken and renewed by itself. */
typedef struct KcLease KcLease;

/* Durations in microseconds. */
typedef struct KcLeaseOptions {
    const KcObjectOps *object_ops;
    void *objects; /* first argument of object_ops */
    KcTimers *timers;
    KcEvents *events;
    const char *name;   /* of the object, without KC_OBJECT_LEASES */
    const char *holder; /* name of this instance */
    const char *role;   /* written into the lease object */
    const char *datacentre;
    const char *admin_address; /* address of the admin interface, or "" */
    const KcRequestId *process_token; /* random per process start; copied */
    KcTime ttl; /* the lease lapses so long after a renewal */
    /* From this long before its end the lease alone allows no orders, see
     * KcLease_MayOrder(); another holder's lease is taken over this long after
     * its end. */
    KcTime expiry_margin;
    /* Between renewals; shortened at random by up to a quarter. */
    KcTime renew_interval;
    /* A new generation is written after a random delay up to this. */
    KcTime confirm_delay_max;
    int64_t wall_offset;  /* wall clock minus monotonic clock */
    uint64_t jitter_seed; /* of the random delays */
    KcTime (*clock)(void *clock_context); /* monotonic time */
    void *clock_context;
    /* The lease was taken (fence > 0) or lost to another holder (0). */
    void (*on_changed)(void *context, uint64_t fence, KcTime now);
    void *context; /* first argument of on_changed */
} KcLeaseOptions;

/*
 * Creates a lease with a fencing number, renewed by conditional updates of
 * its object.  A lease of another holder is taken over only when it has not
 * been renewed for its ttl plus margin, measured here on the monotonic clock;
 * one held by an earlier process of the same instance is taken over at once
 * when this process starts.
 */
KcLease *KcLease_Create(const KcLeaseOptions *options);

/* Stops the renewals; memory is freed when no call is outstanding. */
void KcLease_Free(KcLease *lease);

/* Begins to take the lease; called once. */
void KcLease_Start(KcLease *lease, KcTime now);

/* Sets the generation in force, which is written into the lease object within
 * confirm_delay_max. */
void KcLease_ConfirmGeneration(KcLease *lease, uint64_t generation,
                               KcTime now);

/* Writes into the lease object that the instance is leaving. */
void KcLease_AnnounceLeaving(KcLease *lease, KcTime now);

/* The fencing number, 0 while no lease is held. */
uint64_t KcLease_Fence(const KcLease *lease);

/*
 * True when orders may be given to the engine now: while the lease runs, and
 * after it lapsed (the object API does not answer) as long as this process
 * was not paused since the last renewal.  If another process took the lease
 * meanwhile, the lower fencing number makes the order harmless: it is in the
 * order, and in the adapter's name for engines that ignore it.
 */
bool KcLease_MayOrder(const KcLease *lease, KcTime now);

/* ---- Part 4: what entries and agents have in common --------------------- */

/*
 * Options of a member, i.e. an entry or an agent: its name and location, the
 * interfaces it calls, its lease and document watch; see KcSyncOptions and
 * KcLeaseOptions.  Durations in microseconds.
 */
typedef struct KcMemberOptions {
    const char *name; /* instance name, as in the instance list */
    const char *datacentre;
    const char *admin_address; /* address of the admin interface, or NULL */
    uint64_t incarnation;      /* random per process start */
    const KcObjectOps *object_ops;
    void *objects; /* first argument of object_ops */
    KcTimers *timers;
    KcEvents *events;
    KcCounters *counters;
    KcTime (*clock)(void *clock_context); /* monotonic time */
    void *clock_context;
    int64_t wall_offset; /* wall clock minus monotonic clock */
    KcTime lease_ttl;
    KcTime lease_expiry_margin;
    KcTime lease_renew_interval;
    KcTime confirm_delay_max;
    KcTime sync_retry_delay; /* after a failed call of the object API */
} KcMemberOptions;

/* Callbacks by role; see KcSyncOptions and KcLeaseOptions. */
typedef struct KcMemberOps {
    const char *role; /* as in the lease object */
    void (*on_adopt)(void *context, KcDocument *document, KcTime now);
    KcLink *(*find_peer)(void *context, uint64_t generation);
    void (*on_lease_changed)(void *context, uint64_t fence, KcTime now);
} KcMemberOps;

/* Sets all durations to their defaults and the rest to zero. */
void KcMemberOptions_Init(KcMemberOptions *options);

/* The present time of the member's clock. */
KcTime KcMember_Now(const KcMemberOptions *options);

/* Creates the member's document watch; context is passed to ops. */
KcSync *KcMember_CreateSync(const KcMemberOptions *options,
                            const KcMemberOps *ops, void *context);

/* Creates the member's lease; context is passed to ops. */
KcLease *KcMember_CreateLease(const KcMemberOptions *options,
                              const KcMemberOps *ops, void *context);

/* ---- Part 5: routing ---------------------------------------------------- */

/* Candidates kept per bucket, in the entry's region and in the others. */
#define KC_ROUTE_LOCAL_MAX 8
#define KC_ROUTE_REMOTE_MAX 4

/* One backend server as an entry knows it. */
typedef struct KcBackend {
    UT_hash_handle hh;           /* KcFleet, by name */
    TAILQ_ENTRY(KcBackend) link; /* KcFleet, in the order they were added */
    char name[KC_NAME_MAX];
    char service[KC_NAME_MAX];
    char datacentre[KC_NAME_MAX];
    char region[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    uint64_t name_hash; /* of the name, for rendezvous hashing */
    struct KcPool *pool;
    uint32_t pool_index;       /* in pool->backends */
    bool listed;               /* in the last instance list */
    bool leaving;              /* by the last instance list */
    KcTime suspect_until;      /* gets no attempts before this time */
    uint32_t connect_failures; /* connection failures in a row */
    uint64_t incarnation;      /* of the agent last connected to */
    KcTimer check_timer;       /* checks for silence while it has attempts */
    KcAgentLoad load;          /* as last reported */
    KcTime load_reported_at;   /* time of that report */
    uint32_t attempts_since_report; /* attempts sent since that report */
    uint32_t attempt_count;         /* attempts of this entry in progress */
    KcLink *connection;             /* NULL when there is none */
    bool connecting;                /* a connection is being opened */
    TAILQ_HEAD(, KcAttempt) attempt_list; /* those in progress */
} KcBackend;

TAILQ_HEAD(KcBackendList, KcBackend);

/*
 * The candidates of one bucket of adapters, as indexes into the backends of
 * the pool, in descending order of their rendezvous weight.
 */
typedef struct KcRouteBucket {
    uint32_t pool_epoch; /* of the pool when it was filled; 0: never */
    uint16_t local_indexes[KC_ROUTE_LOCAL_MAX];
    uint16_t remote_indexes[KC_ROUTE_REMOTE_MAX];
    uint8_t local_count;
    uint8_t remote_count;
    bool home_is_remote; /* the highest weight is in another region */
} KcRouteBucket;

/* The backend servers of one service. */
typedef struct KcPool {
    TAILQ_ENTRY(KcPool) link;
    char service[KC_NAME_MAX];
    uint32_t epoch;            /* grows with every change of the backends */
    uint32_t backend_count;    /* of backends */
    uint32_t backend_capacity; /* allocated elements of backends */
    KcBackend **backends;
    KcRouteBucket *buckets; /* allocated at the first choice */
} KcPool;

TAILQ_HEAD(KcPoolList, KcPool);

/* The backend servers that last reported to hold an adapter. */
typedef struct KcAdapterHint {
    UT_hash_handle hh;               /* KcFleet, by key */
    TAILQ_ENTRY(KcAdapterHint) link; /* least recently used first */
    uint64_t key;                    /* KcRoute_MakeKey() */
    KcBackend *holders[4];           /* NULL when unused */
    KcTime reported_at[4];           /* by index of holders */
} KcAdapterHint;

TAILQ_HEAD(KcAdapterHintList, KcAdapterHint);

/* The backend servers known to an entry. */
typedef struct KcFleet {
    KcBackend *by_name; /* hash table of backends */
    struct KcBackendList backends;
    struct KcPoolList pools;
    KcAdapterHint *hints; /* hash table by key */
    struct KcAdapterHintList hint_list;
    uint32_t hint_count;
    uint32_t hint_max;              /* the least recently used is dropped */
    char entry_region[KC_NAME_MAX]; /* set by the entry */
} KcFleet;

/* Initialises an empty fleet; KcFleet_Clear() frees what it holds. */
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
 * Updates the fleet from an instance list, which may lag.  A backend server
 * that is not in it is removed once it has no attempt and no connection is
 * being opened to it; on_remove is called before it is freed and must have
 * set its connection to NULL.  The document gives the regions; it may be
 * NULL.
 */
void KcFleet_Update(KcFleet *fleet, const KcInstance *instances, size_t count,
                    const KcDocument *document,
                    void (*on_remove)(void *context, KcBackend *backend),
                    void *context);

/* Find a backend server by name, or the pool of a service; owned by the fleet,
 * NULL when there is none. */
KcBackend *KcFleet_FindBackend(const KcFleet *fleet, const char *name);
KcPool *KcFleet_FindPool(const KcFleet *fleet, const char *service);

/* Records whether the adapter of this key is loaded or being loaded at a
 * backend server. */
void KcFleet_RecordHolder(KcFleet *fleet, uint64_t key, KcBackend *backend,
                          bool is_loaded, KcTime now);

/* Key of a model for routing: a hash of adapter and version. */
uint64_t KcRoute_MakeKey(const KcAdapterRef *model);

/*
 * Costs and weights of a choice; durations in microseconds.  A weight is from
 * 0 to 100 and multiplies a wait by weight / 50: 0 ignores the wait, 50 counts
 * it once, 100 twice.
 */
typedef struct KcRouteOptions {
    KcTime load_time;           /* time to load an adapter */
    KcTime service_time;        /* time to serve one request */
    uint32_t concurrency_max;   /* concurrency limit of a backend server */
    KcTime remote_cost;         /* of the round trip to another region */
    KcTime load_report_age_max; /* reports of this age count for nothing */
    int64_t stall_weight;       /* of the wait for the adapter */
    int64_t batch_weight;       /* of the wait for capacity */
    KcTime rank_cost; /* per rank after the home, to keep an adapter there */
} KcRouteOptions;

/* Input of a routing policy. */
typedef struct KcRouteQuery {
    KcFleet *fleet;
    KcPool *pool;
    uint64_t key;            /* KcRequest.route_key */
    bool needs_adapter;      /* false for a service without adapters */
    bool remote_allowed;     /* the byte budget allows another region */
    KcBackend *const *tried; /* of earlier attempts, not chosen again */
    uint32_t tried_count;
    uint64_t random; /* for policies with random choices */
    const KcRouteOptions *options;
} KcRouteQuery;

/* Output of a routing policy. */
typedef struct KcRouteChoice {
    KcBackend *backend; /* NULL when none is available */
    KcTime cost;        /* weighted cost in microseconds */
    bool remote;        /* backend is in another region */
} KcRouteChoice;

/* A routing policy; policies are rows of a table. */
typedef struct KcRoutePolicy {
    const char *name;
    void (*pick)(const KcRouteQuery *query, KcTime now, KcRouteChoice *choice);
} KcRoutePolicy;

/*
 * Finds a policy by name; NULL when there is none.  "kcc" is the project's
 * own policy, the others are baselines for comparison.
 */
const KcRoutePolicy *KcRoute_FindPolicy(const char *name);

/* Returns the index-th policy, NULL past the last. */
const KcRoutePolicy *KcRoute_PolicyAt(size_t index);

/* ---- Part 6: limits ----------------------------------------------------- */

/* A customer's use of its limits at one entry. */
typedef struct KcCustomer {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcCustomer) link; /* least recently seen first */
    char name[KC_NAME_MAX];
    int64_t allowance_millionths; /* token bucket, in 1/1000000 request */
    KcTime refilled_at;           /* time of the bucket's last refill */
    uint32_t in_flight;           /* admitted requests not yet ended */
} KcCustomer;

TAILQ_HEAD(KcCustomerList, KcCustomer);

typedef struct KcCustomers {
    KcCustomer *by_name;
    struct KcCustomerList list;
    uint32_t count;
    uint32_t count_max; /* beyond this idle customers are removed */
} KcCustomers;

/* Initialises an empty table; KcCustomers_Clear() frees its customers. */
void KcCustomers_Init(KcCustomers *customers, uint32_t count_max);
void KcCustomers_Clear(KcCustomers *customers);

/*
 * Admits one request of a customer.  Returns 0 with *customer set, to be
 * released with KcCustomers_Release(), or KC_ERR_LIMIT_EXCEEDED with
 * *retry_after set to a delay in microseconds.  The customer's rate and burst
 * are divided by entry_count, the number of live entries.
 */
int KcCustomers_Admit(KcCustomers *customers, const char *name,
                      const KcCustomerLimit *limit, uint32_t entry_count,
                      KcTime now, KcCustomer **customer, KcTime *retry_after);

/* Records the end of an admitted request. */
void KcCustomers_Release(KcCustomer *customer);

/* A limit of bytes per second: a token bucket of one second's bytes. */
typedef struct KcByteBudget {
    int64_t bytes_per_s;     /* 0: nothing is allowed */
    int64_t available_bytes; /* negative while overdrawn */
    KcTime refilled_at;
} KcByteBudget;

/* True when bytes are available now. */
bool KcByteBudget_Allows(KcByteBudget *budget, KcTime now);

/* Charges bytes; the budget may be overdrawn, later refills make up for it. */
void KcByteBudget_Charge(KcByteBudget *budget, uint64_t bytes, KcTime now);

#endif
