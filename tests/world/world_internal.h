/*
 * The world's state, shared by its files and read by the oracle.
 */
#ifndef KCC_WORLD_INTERNAL_H
#define KCC_WORLD_INTERNAL_H

#include "world.h"

/* ---- scheduling --------------------------------------------------------- */

/* Something that happens at a time. */
typedef struct WorldEvent {
    KcTime due_at;
    uint64_t sequence;    /* among events of the same time */
    WorldNode *node;      /* NULL: happens to no process */
    uint64_t incarnation; /* of the node; dropped when it has changed */
    void (*on_due)(void *context);
    void (*on_drop)(void *context);
    void *context;
} WorldEvent;

typedef struct WorldBacklogEvent {
    TAILQ_ENTRY(WorldBacklogEvent) link;
    WorldEvent event;
} WorldBacklogEvent;

/* Schedules an event.  drop frees the context of one that never runs. */
void WorldSchedule_Add(World *world, KcTime at, WorldNode *node,
                       void (*on_due)(void *context),
                       void (*on_drop)(void *context), void *context);

/* Drops what waits for a frozen process. */
void WorldSchedule_DropBacklog(WorldNode *node);

/* Drops every event. */
void WorldSchedule_Clear(World *world);

/* ---- processes ---------------------------------------------------------- */

typedef enum WorldRole {
    WORLD_ENTRY,
    WORLD_MODEL_AGENT,
    WORLD_PLAIN_AGENT
} WorldRole;

struct WorldNode {
    World *world;
    WorldRole role;
    uint32_t index;
    char name[KC_NAME_MAX];
    char address[KC_ADDRESS_MAX];
    char datacentre[KC_NAME_MAX];
    uint32_t region;
    bool alive;
    bool paused;
    bool leaving;
    KcTime leaving_started_at;
    uint64_t incarnation; /* grows with every start */
    uint64_t
        highest_generation; /* highest seen by the oracle, this incarnation */
    KcTimers *timers;
    KcEvents *events;
    KcCounters counters;
    KcEntry *entry;
    KcAgent *agent;
    WorldEngine *engine;
    TAILQ_HEAD(, WorldBacklogEvent) backlog;
};

/* ---- links -------------------------------------------------------------- */

/* One side of a connection, the transport of its link. */
typedef struct WorldPipeSide {
    struct WorldPipe *pipe;
    int index; /* 0: the entry's, 1: the agent's */
} WorldPipeSide;

/* Something on its way to one side of a pipe. */
typedef struct WorldPacket WorldPacket;
TAILQ_HEAD(WorldPacketList, WorldPacket);

/* One connection. */
typedef struct WorldPipe {
    TAILQ_ENTRY(WorldPipe) link;
    World *world;
    WorldNode *nodes[2];
    uint64_t incarnation[2];
    char backend_name[KC_NAME_MAX]; /* by name: the entry may forget it */
    WorldPipeSide sides[2];
    struct WorldPacketList
        stalled_packets[2]; /* arrived while it was stalled */
    KcLink *links[2];       /* NULL once that side has closed */
    bool is_open[2];
    bool hello_received; /* the entry knows the link */
    bool is_cut;         /* nothing more arrives */
    bool pair_stalled;
    bool connection_stalled; /* stalled by itself: new connections are not */
    KcTime last_delivery_at[2]; /* time of the last delivery to each side */
    KcEncoder *encoder;
    KcDecoder *decoder;
} WorldPipe;

TAILQ_HEAD(WorldPipeList, WorldPipe);

void WorldPipe_Connect(WorldNode *entry, KcBackend *backend);

/* A process has ended: its ends are gone. */
void WorldPipe_OnNodeEnded(WorldNode *node);
void WorldPipe_FreeAll(World *world);

/* ---- object API --------------------------------------------------------- */

typedef struct WorldObject {
    UT_hash_handle hh;
    char name[KC_OBJECT_NAME_MAX];
    uint64_t version;
    KcBuffer value;
} WorldObject;

typedef struct WorldObjectCall WorldObjectCall;
TAILQ_HEAD(WorldObjectCallList, WorldObjectCall);

typedef struct WorldStore {
    WorldObject *objects;
    uint64_t last_version;
    struct WorldObjectCallList calls;
    bool outage;
    KcTime delay;
    uint32_t replies_to_lose;
    uint32_t writes_to_delay;
    uint64_t reads;
    uint64_t writes;
} WorldStore;

extern const KcObjectOps WorldStore_Ops; /* context: a WorldNode */

WorldObject *WorldStore_Find(World *world, const char *name);

/* Writes at once.  Returns 0 or KC_ERR_CONFLICT. */
int WorldStore_Put(World *world, const char *name, KcBytes value,
                   uint64_t expected);
void WorldStore_NodeGone(WorldNode *node);
void WorldStore_Free(World *world);

/* ---- engines and services ----------------------------------------------- */

typedef struct WorldAdapter {
    TAILQ_ENTRY(WorldAdapter) link;
    char name[KC_ENGINE_NAME_MAX];
    bool is_loaded;
    uint32_t active_calls;
} WorldAdapter;

/* One call at an engine or service. */
typedef struct WorldEngineCall {
    TAILQ_ENTRY(WorldEngineCall) link;
    uint64_t id;
    WorldEngine *engine;
    WorldNode *node;
    KcWork *work;          /* NULL once cancelled or its agent is gone */
    WorldAdapter *adapter; /* NULL for a plain call */
    WorldCaller *caller;   /* whose call it is, by prompt */
    char model[KC_ADAPTER_REF_TEXT_SIZE];
    uint32_t next_token;
    size_t skip_bytes;
    bool is_paused;
    bool token_pending; /* a step is due while throttled */
    bool wrong_model;
} WorldEngineCall;

struct WorldEngine {
    World *world;
    WorldNode *node;
    bool is_plain;
    uint64_t epoch;
    uint64_t highest_fence;
    uint64_t last_call_id;
    uint32_t running_calls;
    TAILQ_HEAD(, WorldAdapter) adapters;
    TAILQ_HEAD(, WorldEngineCall) calls;
    uint32_t loads_to_fail;
    uint32_t answers_to_cut;
    uint32_t wrong_models_to_report;
    uint32_t orders_to_delay;
    /* What the oracle reads. */
    uint64_t evictions_in_use;
    uint64_t started_calls;
    KcTime last_started_at;
    /* What the benchmarks read: integrals over time. */
    KcTime busy_since;
    double busy_time;    /* seconds with a call running */
    double running_time; /* seconds times calls running */
    KcTime usage_updated_at;
    uint64_t loads;
};

extern const KcBackendOps WorldEngine_Ops; /* context: a WorldEngine */

WorldEngine *WorldEngine_Create(WorldNode *node);
void WorldEngine_Free(WorldEngine *engine);
void WorldEngine_OnAgentEnded(WorldEngine *engine);
void WorldEngine_Integrate(WorldEngine *engine);

/* ---- callers ------------------------------------------------------------ */

/* What one caller asked and saw. */
struct WorldCaller {
    TAILQ_ENTRY(WorldCaller) link;
    World *world;
    WorldNode *entry;
    uint64_t incarnation;
    uint32_t number; /* names the prompt or body */
    bool is_plain;
    uint32_t key;
    KcAdapterRef requested_model;
    KcRequest *request; /* NULL before and after */
    KcRequestId id;     /* zero when it ended at once */
    bool answer_started;
    bool finished;
    bool entry_lost; /* its entry died: told nothing */
    bool abandoned;
    bool is_slow_reader;
    KcOutcome outcome;
    int code;
    bool is_duplicate;
    KcClaimMark earlier_mark;
    char answered_by[KC_ADAPTER_REF_TEXT_SIZE];
    KcBuffer received_text;
    uint32_t executions; /* counted by the engines and services */
    KcTime submitted;
    KcTime stall; /* waited for its adapter to be loaded */
    KcTime first_byte_at;
    KcTime ended_at;
};

TAILQ_HEAD(WorldCallerList, WorldCaller);

/* The whole text that a model call must bring. */
void WorldCaller_AppendExpectedAnswer(const WorldCaller *caller,
                                      KcBuffer *text);

/* Pieces of a plain answer; each is larger than the window. */
#define WORLD_PLAIN_PIECES 2
size_t WorldCaller_FormatPiece(uint32_t number, uint32_t index, char *text,
                               size_t size);

/* Token number index of a model's answer to a caller. */
size_t WorldCaller_FormatToken(const char *model, uint32_t number,
                               uint32_t index, char *text, size_t size);

WorldCaller *WorldCaller_Find(World *world, uint32_t number);

/* ---- the world ---------------------------------------------------------- */

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
    WorldCaller **caller_index;
    uint32_t caller_count;
    uint32_t caller_capacity;
    uint32_t store_loads_in_flight; /* from the weight store */
    KcTime next_store_load_at;      /* the store begins no load before this */
    bool *retired_adapters;         /* version 1 of each adapter */
    uint64_t accepted_generation;   /* generation of the head */
    uint64_t previous_head_version; /* object version before the last edit */
};

/* Starts a process in a fresh incarnation. */
void WorldNode_Start(WorldNode *node);

/* Gives an entry the instance list as the world stands. */
void WorldNode_SendInstances(WorldNode *node);

KcTime World_Latency(const WorldNode *a, const WorldNode *b);

/* Writes the document and its head.  Returns as World_EditRetirement(). */
int WorldDocument_Write(World *world, uint64_t expected);

#endif
