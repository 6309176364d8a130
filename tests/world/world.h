/*
 * World, a deterministic simulation of a deployment: real entries and agents
 * run in virtual time over in-memory links and fakes of the object API, the
 * engines and the plain services.
 *
 * Messages pass through the real encoding.  Virtual time advances only in
 * World_Advance(); all randomness comes from the seed.
 */
#ifndef KCC_WORLD_H
#define KCC_WORLD_H

#include <kcc.h>

typedef struct World World;
typedef struct WorldNode WorldNode;
typedef struct WorldEngine WorldEngine;
typedef struct WorldCaller WorldCaller;

/* ---- the simulation ----------------------------------------------------- */

/* Options of a simulation; durations in microseconds. */
typedef struct WorldOptions {
    uint64_t seed;
    /* Processes; each kind is assigned to the regions round-robin. */
    uint32_t entries;
    uint32_t model_agents; /* one backend server each */
    uint32_t plain_agents; /* likewise */
    uint32_t regions;
    uint32_t adapters;   /* named a0, a1, ... with versions 1 and 2 */
    uint32_t slots;      /* adapters that an engine holds at once */
    uint32_t batch;      /* concurrency limit of a model backend server */
    uint32_t queue_max;  /* works that wait at a model agent */
    uint32_t tokens;     /* tokens of each answer */
    KcTime token_time;   /* interval between tokens */
    KcTime load_time;    /* duration of an adapter load */
    KcTime service_time; /* of a model call, in the document */
    KcTime plain_execution_time; /* duration of a plain call */
    KcTime deadline;             /* of model calls; in the document */
    KcTime region_latency;       /* one-way, within a region */
    KcTime cross_region_latency; /* one-way, between regions */
    /* Values of the document's capacity section. */
    uint32_t loads_per_minute;
    uint32_t stall_weight;
    uint32_t batch_weight;
    KcTime rare_stall;
    /* Limits of the weight store that all engines load from. */
    uint32_t store_free;       /* loads in flight at full speed; one that
                                * begins above it is slower; 0: no limit */
    uint32_t store_per_minute; /* rate limit of load starts; 0: no limit */
    uint32_t store_burst;      /* load starts above the rate after a pause */
    bool engine_checks_fence;  /* engines refuse orders with an old fence */
    const char *route;         /* name of the entries' routing policy */
    const char *victim;        /* name of the agents' eviction policy */
} WorldOptions;

/* Fills in the defaults. */
void WorldOptions_Init(WorldOptions *options);

/*
 * Creates a simulation with a first document stored and every process
 * started; to be freed by World_Free().  The options are copied, but not the
 * strings that they point to.
 */
World *World_Create(const WorldOptions *options);
void World_Free(World *world);

/* The virtual time. */
KcTime World_Now(const World *world);

/* Runs everything that is due until this much virtual time has passed. */
void World_Advance(World *world, KcTime duration);

/* Draws a pseudo-random number from 0 to limit - 1; reproducible by seed. */
uint64_t World_DrawRandom(World *world, uint64_t limit);

/* ---- processes ---------------------------------------------------------- */

/* Agents are numbered with those of model services first. */
uint32_t World_EntryCount(const World *world);
uint32_t World_AgentCount(const World *world);
WorldNode *World_Entry(World *world, uint32_t index);
WorldNode *World_Agent(World *world, uint32_t index);

/* Ends a process at once, as SIGKILL does; does nothing if it has ended. */
void World_Kill(WorldNode *node);

/* Starts a process that has ended; does nothing if it is alive. */
void World_Restart(WorldNode *node);

/* Pauses and resumes a process, as SIGSTOP and SIGCONT do; what arrives during
 * the pause is handled when it resumes. */
void World_Pause(WorldNode *node);
void World_Resume(WorldNode *node);

/* Begins a planned stop; the process ends once it has drained.  Does nothing
 * if the process is paused or has ended. */
void World_Drain(WorldNode *node);

/*
 * Prints the events still in the buffers of the running processes in causal
 * order, with the callers' numbers, and the slots of the model agents.
 */
void World_PrintEvents(const World *world);

/* ---- faults ------------------------------------------------------------- */

/* Breaks every connection between an entry and an agent. */
void World_CutConnections(WorldNode *entry, WorldNode *agent);

/* Holds up all messages between an entry and an agent, also on connections
 * opened later, until stalled is false. */
void World_SetStalled(WorldNode *entry, WorldNode *agent, bool stalled);

/* Holds up the messages of the open connections between an entry and an agent;
 * new connections work.  World_SetStalled() with false ends it. */
void World_StallOpenConnections(WorldNode *entry, WorldNode *agent);

/* Makes the object API unavailable, or available again: calls have no effect
 * and time out, and waiting watches fail. */
void World_SetStoreOutage(World *world, bool outage);

/* The next count writes take effect, but their replies are lost. */
void World_LoseStoreReplies(World *world, uint32_t count);

/* The next count writes take effect only after their caller's timeout. */
void World_DelayStoreWrites(World *world, uint32_t count);

/* Delays every call of the object API by this much. */
void World_SetStoreDelay(World *world, KcTime delay);

/* Restarts a model engine: its adapters are lost, its epoch changes.  Does
 * nothing at a plain service. */
void World_RestartEngine(WorldNode *agent);

/*
 * Plan faults for an agent's backend server: its next count loads fail,
 * answers break off, answers name another model, or orders take effect only
 * after the agent's timeout.  Count 0 cancels them.
 */
void World_FailLoads(WorldNode *agent, uint32_t count);
void World_CutAnswers(WorldNode *agent, uint32_t count);
void World_AnswerWithWrongModel(WorldNode *agent, uint32_t count);
void World_DelayOrders(WorldNode *agent, uint32_t count);

/* ---- callers ------------------------------------------------------------ */

/* Submits a model call with a unique prompt; the world owns the caller. */
WorldCaller *World_CallModel(WorldNode *entry, uint32_t adapter,
                             uint32_t version, uint32_t priority);

/* Submits a plain call that may not be repeated, with the idempotency key of
 * this number, or none if 0; the world owns the caller. */
WorldCaller *World_CallPlainService(WorldNode *entry, uint32_t key);

/* The caller disconnects; its answer is no longer read. */
void World_AbandonCall(WorldCaller *caller);

/* Makes the caller consume its answer with a delay, or at once again. */
void World_SetSlowReader(WorldCaller *caller, bool slow);

/* ---- operators ---------------------------------------------------------- */

/*
 * Retires version 1 of an adapter, or reverts that, by one conditional update
 * of the document.  With stale, the update is based on the head before the
 * last edit and must fail.  Returns 0, KC_ERR_CONFLICT or
 * KC_ERR_OBJECT_API_UNAVAILABLE.
 */
int World_EditRetirement(World *world, uint32_t adapter, bool retired,
                         bool stale);

#endif
