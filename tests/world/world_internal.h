/*
 * The state of a simulation, shared by the files of tests/world and read by
 * the oracle, the fuzzer, the tests and the benchmarks.
 */
#ifndef KCC_WORLD_INTERNAL_H
#define KCC_WORLD_INTERNAL_H

#include "world.h"

/* ---- scheduling --------------------------------------------------------- */

/* A callback scheduled for a point in virtual time. */
typedef struct WorldEvent {
    KcTime due_at;
    uint64_t sequence;    /* order among events due at the same time */
    WorldNode *node;      /* process that it runs in; NULL: none */
    uint64_t incarnation; /* of the node; the event is dropped if it
                           * has changed when it is due */
    void (*on_due)(void *context);
    void (*on_drop)(void *context); /* frees the context; may be NULL */
    void *context;
} WorldEvent;

/* An event that was due while its process was paused. */
typedef struct WorldBacklogEvent {
    TAILQ_ENTRY(WorldBacklogEvent) link;
    WorldEvent event;
} WorldBacklogEvent;

/*
 * Schedules an event at due_at, or now if that is past.  on_drop, if any, is
 * called in place of on_due if the node has ended or restarted by then, or
 * when the events are discarded.
 */
void WorldSchedule_Add(World *world, KcTime due_at, WorldNode *node,
                       void (*on_due)(void *context),
                       void (*on_drop)(void *context), void *context);

/* Discards the events that wait for a paused process. */
void WorldSchedule_DropBacklog(WorldNode *node);

/* Discards every scheduled event and frees the heap. */
void WorldSchedule_Clear(World *world);

/* ---- processes ---------------------------------------------------------- */

typedef enum WorldRole {
    WORLD_ENTRY,
    WORLD_MODEL_AGENT,
    WORLD_PLAIN_AGENT
} WorldRole;

/* A process: an entry, or an agent with its backend server. */
struct WorldNode {
    World *world;
    WorldRole role;
    uint32_t index;
    char name[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    char datacentre[KC_NAME_MAX];
    uint32_t region;
    bool alive;
    bool paused;  /* as by SIGSTOP */
    bool leaving; /* a planned stop has begun */
    KcTime leaving_started_at;
    uint64_t incarnation;        /* grows with every start */
    uint64_t highest_generation; /* of the document, as seen by the
                                  * oracle in this incarnation */
    KcTimers *timers;
    KcEvents *events;
    KcCounters counters;
    KcEntry *entry;      /* NULL for an agent and while not alive */
    KcAgent *agent;      /* NULL for an entry and while not alive */
    WorldEngine *engine; /* NULL for an entry; outlives the agent process */
    TAILQ_HEAD(, WorldBacklogEvent) backlog;
};

/* ---- links -------------------------------------------------------------- */

/* One side of a pipe: the transport of that side's link. */
typedef struct WorldPipeSide {
    struct WorldPipe *pipe;
    int index; /* 0: the entry's, 1: the agent's */
} WorldPipeSide;

/* A message, or a change of the connection, on its way to one side. */
typedef struct WorldPacket WorldPacket;
TAILQ_HEAD(WorldPacketList, WorldPacket);

/* An in-memory connection; index 0 is the entry's side, 1 the agent's. */
typedef struct WorldPipe {
    TAILQ_ENTRY(WorldPipe) link;
    World *world;
    WorldNode *nodes[2];
    uint64_t incarnation[2];
    char backend_name[KC_NAME_MAX]; /* not a pointer, as the entry may
                                     * remove the backend server */
    WorldPipeSide sides[2];
    struct WorldPacketList
        stalled_packets[2]; /* arrived during a stall, by receiving side */
    KcLink *links[2];       /* NULL once that side has closed */
    bool is_open[2];
    bool hello_received;        /* by the entry: the link is in use */
    bool is_cut;                /* broken: no further packet is delivered */
    bool pair_stalled;          /* with all connections of the two processes */
    bool connection_stalled;    /* this connection only */
    KcTime last_delivery_at[2]; /* latest scheduled arrival at each side */
    KcEncoder *encoder;
    KcDecoder *decoder;
} WorldPipe;

TAILQ_HEAD(WorldPipeList, WorldPipe);

/* Opens a connection from an entry to the agent at the backend's address. */
void WorldPipe_Connect(WorldNode *entry, KcBackend *backend);

/* Closes a process's side of its connections without notifying the process. */
void WorldPipe_OnNodeEnded(WorldNode *node);

/* Frees all connections; every process must have ended. */
void WorldPipe_FreeAll(World *world);

/* ---- object API --------------------------------------------------------- */

/* A stored object. */
typedef struct WorldObject {
    UT_hash_handle hh;
    char name[KC_OBJECT_NAME_MAX];
    uint64_t version;
    KcBuffer value;
} WorldObject;

typedef struct WorldObjectCall WorldObjectCall;
TAILQ_HEAD(WorldObjectCallList, WorldObjectCall);

/* The fake object API. */
typedef struct WorldStore {
    WorldObject *objects;
    uint64_t last_version; /* given to the latest write */
    struct WorldObjectCallList calls;
    bool outage;
    KcTime delay; /* added to the latency of every call */
    uint32_t replies_to_lose;
    uint32_t writes_to_delay;
    uint64_t reads;
    uint64_t writes;
} WorldStore;

extern const KcObjectOps WorldStore_Ops; /* context: a WorldNode */

/* NULL when there is no such object. */
WorldObject *WorldStore_Find(World *world, const char *name);

/*
 * Writes without latency, if the object has the expected version; this may be
 * KC_OBJECT_ANY or KC_OBJECT_ABSENT.  Returns 0 or KC_ERR_CONFLICT.
 */
int WorldStore_Put(World *world, const char *name, KcBytes value,
                   uint64_t expected_version);

/* Fails the outstanding calls of a process; sent writes still take effect. */
void WorldStore_NodeGone(WorldNode *node);
void WorldStore_Free(World *world);

/* ---- engines and services ----------------------------------------------- */

/* An adapter at a fake engine. */
typedef struct WorldAdapter {
    TAILQ_ENTRY(WorldAdapter) link;
    char name[KC_ENGINE_NAME_MAX];
    bool is_loaded; /* false while loading */
    uint32_t active_calls;
} WorldAdapter;

/* A call that runs at an engine or plain service. */
typedef struct WorldEngineCall {
    TAILQ_ENTRY(WorldEngineCall) link;
    uint64_t id;
    WorldEngine *engine;
    WorldNode *node;
    KcWork *work;          /* NULL once its agent has ended */
    WorldAdapter *adapter; /* NULL for a plain call or once unloaded */
    WorldCaller *caller;   /* found by the prompt */
    char model[KC_ADAPTER_REF_TEXT_SIZE]; /* requested adapter, version */
    uint32_t next_token;                  /* index in the answer */
    size_t skip_bytes; /* of the answer, as the caller has them already */
    bool is_paused;
    bool token_pending; /* a token was due while paused */
    bool wrong_model;   /* reports another model than it was asked for */
} WorldEngineCall;

/* A fake model engine or plain service, at which one agent's works run. */
struct WorldEngine {
    World *world;
    WorldNode *node;
    bool is_plain;
    uint64_t epoch;         /* changes with every restart of the engine */
    uint64_t highest_fence; /* received since then */
    uint64_t last_call_id;
    uint32_t running_calls;
    TAILQ_HEAD(, WorldAdapter) adapters;
    TAILQ_HEAD(, WorldEngineCall) calls;
    /* Remaining planned faults. */
    uint32_t loads_to_fail;
    uint32_t answers_to_cut;
    uint32_t wrong_models_to_report;
    uint32_t orders_to_delay;
    /* For the oracle. */
    uint64_t evictions_in_use; /* evictions of adapters with active calls */
    uint64_t started_calls;
    KcTime last_started_at; /* of the latest call */
    /* For the benchmarks. */
    KcTime busy_since;
    double busy_time;    /* seconds with at least one running call */
    double running_time; /* running calls integrated over seconds */
    KcTime usage_updated_at;
    uint64_t loads; /* loads begun */
};

extern const KcBackendOps WorldEngine_Ops; /* context: a WorldEngine */

WorldEngine *WorldEngine_Create(WorldNode *node);
void WorldEngine_Free(WorldEngine *engine);

/* Detaches the calls from their works; they run on for a while. */
void WorldEngine_OnAgentEnded(WorldEngine *engine);

/* Brings the integrals for the benchmarks up to now. */
void WorldEngine_Integrate(WorldEngine *engine);

/* ---- callers ------------------------------------------------------------ */

/* A caller with its request and what it received. */
struct WorldCaller {
    TAILQ_ENTRY(WorldCaller) link;
    World *world;
    WorldNode *entry;
    uint64_t incarnation; /* of the entry at submission */
    uint32_t number;      /* index in order of submission; the request body */
    bool is_plain;
    uint32_t key_number; /* 0: no idempotency key */
    KcAdapterRef requested_model;
    KcRequest *request; /* NULL unless in progress */
    KcRequestId id;     /* zero if it ended within the submission */
    bool answer_started;
    bool finished;
    bool entry_lost; /* the entry was unreachable or has ended:
                      * the caller gets no outcome */
    bool is_abandoned;
    bool is_slow_reader;
    KcOutcome outcome;
    int error_code;
    bool is_duplicate;
    KcClaimMark earlier_mark;
    /* Adapter and version that the answer names. */
    char answered_by[KC_ADAPTER_REF_TEXT_SIZE];
    KcBuffer received_text;
    uint32_t execution_count; /* at all engines and services */
    KcTime submitted;
    KcTime stall; /* time that the work waited for its adapter */
    KcTime first_byte_at;
    KcTime ended_at;
};

TAILQ_HEAD(WorldCallerList, WorldCaller);

/* Appends the complete answer that the caller must receive. */
void WorldCaller_AppendExpectedAnswer(const WorldCaller *caller,
                                      KcBuffer *text);

/* Number of pieces of a plain answer; each is larger than the flow-control
 * window. */
#define WORLD_PLAIN_PIECES 2

/* Writes a piece of the plain answer to a caller.  Returns its length. */
size_t WorldCaller_FormatPiece(uint32_t number, uint32_t index, char *text,
                               size_t size);

/* Writes the token at index of a model's answer to a caller.  Returns its
 * length. */
size_t WorldCaller_FormatToken(const char *model, uint32_t number,
                               uint32_t index, char *text, size_t size);

/* The caller of this number, which must exist. */
WorldCaller *WorldCaller_Find(World *world, uint32_t number);

/* ---- the simulation ----------------------------------------------------- */

struct World {
    WorldOptions options;
    KcTime now;
    uint64_t random_state;
    WorldEvent *event_heap;
    size_t event_count;
    size_t event_capacity;
    uint64_t next_event_sequence;
    WorldNode *nodes;
    uint32_t node_count;
    struct WorldPipeList pipes;
    WorldStore store;
    struct WorldCallerList callers;
    WorldCaller **caller_index; /* by number */
    uint32_t caller_count;
    uint32_t caller_capacity;
    uint32_t
        weight_loads_in_flight;     /* loads that read from the weight store */
    KcTime next_weight_load_at;     /* earliest start of the weight store's
                                     * next load, by its rate limit */
    bool *retired_adapters;         /* by adapter: version 1 is retired */
    uint64_t accepted_generation;   /* generation of the stored head */
    uint64_t previous_head_version; /* object version before the last
                                     * edit */
};

/* Starts a process in a new incarnation; it must not be alive. */
void WorldNode_Start(WorldNode *node);

/* Gives an entry the current list of instances. */
void WorldNode_SendInstances(WorldNode *node);

/* One-way latency between two processes. */
KcTime World_Latency(const WorldNode *a, const WorldNode *b);

/* Stores the parts of the document, and the head if its object version is the
 * expected one.  Returns 0 or KC_ERR_CONFLICT. */
int WorldDocument_Write(World *world, uint64_t expected_version);

#endif
