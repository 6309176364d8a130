/*
 * A small world in virtual time: real entries and agents joined by links in
 * memory, with fakes of the object API, the engines and the plain services.
 *
 * Every message passes through the real encoding.  Nothing happens but by
 * World_Advance(), and everything drawn at random comes from the seed.
 */
#ifndef KCC_WORLD_H
#define KCC_WORLD_H

#include <kcc.h>

typedef struct World World;
typedef struct WorldNode WorldNode;
typedef struct WorldEngine WorldEngine;
typedef struct WorldCaller WorldCaller;

/* ---- set-up ------------------------------------------------------------- */

typedef struct WorldOptions {
    uint64_t seed;
    uint32_t entries; /* spread over the regions in turn */
    uint32_t model_agents;
    uint32_t plain_agents;
    uint32_t regions;
    uint32_t adapters; /* named a0, a1, ... with versions 1 and 2 */
    uint32_t slots;
    uint32_t batch;
    uint32_t queue_max;
    uint32_t tokens; /* of an answer */
    KcTime token_time;
    KcTime load_time;
    KcTime service_time;         /* nominal, as the document says */
    KcTime plain_execution_time; /* of a plain call */
    KcTime deadline;
    KcTime region_latency;       /* one-way latency within a region */
    KcTime cross_region_latency; /* between regions */
    uint32_t loads_per_minute;
    uint32_t stall_weight;
    uint32_t batch_weight;
    KcTime rare_stall;
    uint32_t store_free;       /* loads in flight at full speed; 0: no limit */
    uint32_t store_per_minute; /* loads begun at the most; 0: no limit */
    uint32_t store_burst;      /* loads begun at once after a pause */
    bool engine_checks_fence;  /* engines refuse old fencing numbers */
    const char *route;         /* policy names */
    const char *victim;
} WorldOptions;

void WorldOptions_Init(WorldOptions *options);

/* Creates the world, with its first document accepted and every process
 * started. */
World *World_Create(const WorldOptions *options);
void World_Free(World *world);

KcTime World_Now(const World *world);

/* Lets virtual time pass. */
void World_Advance(World *world, KcTime duration);

/* A number below limit from the world's seed. */
uint64_t World_DrawRandom(World *world, uint64_t limit);

/* ---- processes ---------------------------------------------------------- */

uint32_t World_EntryCount(const World *world);
uint32_t World_AgentCount(const World *world);
WorldNode *World_Entry(World *world, uint32_t index);
WorldNode *World_Agent(World *world, uint32_t index);

/* Ends a process at once, as a kill does, or starts it again. */
void World_Kill(WorldNode *node);
void World_Restart(WorldNode *node);

/* Freezes and thaws a process, as SIGSTOP and SIGCONT do. */
void World_Pause(WorldNode *node);
void World_Resume(WorldNode *node);

/* Begins a planned stop; the process ends by itself once drained. */
void World_Drain(WorldNode *node);

/*
 * Prints the events that the living processes still hold, in causal order,
 * with the callers' numbers.
 */
void World_PrintEvents(const World *world);

/* ---- faults ------------------------------------------------------------- */

/* Breaks every connection between an entry and an agent. */
void World_CutConnections(WorldNode *entry, WorldNode *agent);

/* Holds up everything between them, until released. */
void World_SetStalled(WorldNode *entry, WorldNode *agent, bool stalled);

/* As World_SetStalled(), but for the present connections alone. */
void World_StallOpenConnections(WorldNode *entry, WorldNode *agent);

/* The object API: no answer, no answer but an effect, an effect that comes
 * after the caller has given up, and a delay. */
void World_SetStoreOutage(World *world, bool outage);
void World_LoseStoreReplies(World *world, uint32_t count);
void World_DelayStoreWrites(World *world, uint32_t count);
void World_SetStoreDelay(World *world, KcTime delay);

/* Engines: cold restart; faults to come. */
void World_RestartEngine(WorldNode *agent);
void World_FailLoads(WorldNode *agent, uint32_t count);
void World_CutAnswers(WorldNode *agent, uint32_t count);
void World_AnswerWithWrongModel(WorldNode *agent, uint32_t count);
void World_DelayOrders(WorldNode *agent, uint32_t count);

/* ---- callers ------------------------------------------------------------ */

/* A model call; the prompt is unique to it. */
WorldCaller *World_CallModel(WorldNode *entry, uint32_t adapter,
                             uint32_t version, uint32_t priority);

/* A plain call that may not be repeated, under a key; key 0: none. */
WorldCaller *World_CallPlainService(WorldNode *entry, uint32_t key);

/* The caller goes away, stops reading, or reads on. */
void World_AbandonCall(WorldCaller *caller);
void World_SetSlowReader(WorldCaller *caller, bool slow);

/* ---- operators ---------------------------------------------------------- */

/*
 * Retires version 1 of an adapter, or brings it back, by one conditional
 * update.  With stale, the update is based on an older head and must fail.
 * Returns 0, KC_ERR_CONFLICT or KC_ERR_OBJECT_API_UNAVAILABLE.
 */
int World_EditRetirement(World *world, uint32_t adapter, bool retired,
                         bool stale);

#endif
