/*
 * Processes of a simulation: starting, ending and listing them; and creating,
 * freeing and tracing the simulation as a whole.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world_internal.h"

/* Events that a process keeps for World_PrintEvents(). */
#define EVENTS_MAX 256
/* Smaller than an answer, so that slow readers make the engines pause. */
#define WINDOW_BYTES 32
/* Wall-clock time minus virtual time; arbitrary. */
#define WALL_CLOCK_OFFSET ((int64_t)1700000000 * KC_SECOND)
/* Virtual time when a simulation starts. */
#define INITIAL_TIME (1000 * KC_SECOND)
/* Time until a change of the instance list reaches the entries. */
#define INSTANCE_LIST_DELAY (500 * KC_MS)

void
WorldOptions_Init(WorldOptions *options)
{
    memset(options, 0, sizeof(*options));
    options->seed = 1;
    options->entries = 2;
    options->model_agents = 3;
    options->plain_agents = 2;
    options->regions = 2;
    options->adapters = 6;
    options->slots = 2;
    options->batch = 4;
    options->queue_max = 32;
    options->tokens = 6;
    options->token_time = 20 * KC_MS;
    options->load_time = 250 * KC_MS;
    options->service_time = 120 * KC_MS;
    options->plain_execution_time = 20 * KC_MS;
    options->deadline = 20 * KC_SECOND;
    options->region_latency = 1 * KC_MS;
    options->cross_region_latency = 30 * KC_MS;
    options->loads_per_minute = 600;
    options->stall_weight = 50;
    options->batch_weight = 50;
    options->rare_stall = 4 * KC_SECOND;
    options->engine_checks_fence = true;
    options->route = "kcc";
    options->victim = "kcc";
}

uint64_t
World_DrawRandom(World *world, uint64_t limit)
{
    world->random_state ^= world->random_state << 13;
    world->random_state ^= world->random_state >> 7;
    world->random_state ^= world->random_state << 17;
    return world->random_state % limit;
}

KcTime
World_Now(const World *world)
{
    return world->now;
}

KcTime
World_Latency(const WorldNode *a, const WorldNode *b)
{
    const WorldOptions *options = &a->world->options;

    return a->region == b->region ? options->region_latency
                                  : options->cross_region_latency;
}

static KcTime
read_clock(void *context)
{
    return ((WorldNode *)context)->world->now;
}

/* ---- starting ----------------------------------------------------------- */

static void
fill_member_options(WorldNode *node, KcMemberOptions *member)
{
    member->name = node->name;
    member->datacentre = node->datacentre;
    member->incarnation = World_DrawRandom(node->world, UINT64_MAX) | 1;
    member->object_ops = &WorldStore_Ops;
    member->objects = node;
    member->timers = node->timers;
    member->events = node->events;
    member->counters = &node->counters;
    member->clock = read_clock;
    member->clock_context = node;
    member->wall_offset = WALL_CLOCK_OFFSET;
}

static void
connect_backend(void *context, KcBackend *backend)
{
    WorldPipe_Connect(context, backend);
}

static const KcEntryOps entry_ops = {connect_backend};

static void
start_entry(WorldNode *node)
{
    World *world = node->world;
    KcEntryOptions options;

    KcEntryOptions_Init(&options);
    fill_member_options(node, &options.member);
    options.ops = &entry_ops;
    options.ops_context = node;
    options.route_policy = KcRoute_FindPolicy(world->options.route);
    options.remote_cost = 2 * world->options.cross_region_latency;
    options.window_bytes = WINDOW_BYTES;
    node->entry = KcEntry_Create(&options);
    KcEntry_Start(node->entry, world->now);
    WorldNode_SendInstances(node);
}

static void
start_agent(WorldNode *node)
{
    World *world = node->world;
    KcAgentOptions options;

    KcAgentOptions_Init(&options);
    fill_member_options(node, &options.member);
    options.service_name = node->role == WORLD_PLAIN_AGENT ? "plain" : "model";
    options.ops = &WorldEngine_Ops;
    options.backend = node->engine;
    options.victim_policy = KcVictim_FindPolicy(world->options.victim);
    options.engine_checks_fence = world->options.engine_checks_fence;
    options.agents_per_store = world->options.model_agents;
    options.window_bytes = WINDOW_BYTES;
    node->agent = KcAgent_Create(&options);
    KcAgent_Start(node->agent, world->now);
}

void
WorldNode_Start(WorldNode *node)
{
    assert(!node->alive);
    node->alive = true;
    node->paused = false;
    node->leaving = false;
    node->incarnation++;
    node->highest_generation = 0;
    node->timers = KcTimers_Create(node->world->now);
    node->events = KcEvents_Create(EVENTS_MAX, WALL_CLOCK_OFFSET);
    if (node->role == WORLD_ENTRY) {
        start_entry(node);
    }
    else {
        start_agent(node);
    }
}

void
World_Restart(WorldNode *node)
{
    if (!node->alive) {
        WorldNode_Start(node);
    }
}

/* ---- the instance list -------------------------------------------------- */

void
WorldNode_SendInstances(WorldNode *node)
{
    World *world = node->world;
    KcInstance *instances = KcMem_New(world->node_count * sizeof(*instances));
    size_t count = 0;
    uint32_t entries = 0;

    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *other = &world->nodes[i];
        KcInstance *instance = &instances[count];

        if (other->role == WORLD_ENTRY) {
            entries++;
            continue;
        }
        KcText_Copy(instance->name, other->name, KC_NAME_MAX);
        KcText_Copy(instance->service,
                    other->role == WORLD_PLAIN_AGENT ? "plain" : "model",
                    KC_NAME_MAX);
        KcText_Copy(instance->datacentre, other->datacentre, KC_NAME_MAX);
        KcText_Copy(instance->address, other->address, KC_ADDRESS_MAX);
        instance->leaving = other->alive && other->leaving;
        count++;
    }
    KcEntry_OnInstances(node->entry, instances, count, entries, world->now);
    free(instances);
}

static void
send_instances(void *context)
{
    WorldNode_SendInstances(context);
}

/* Sends every entry the changed instance list after its delay. */
static void
schedule_instance_lists(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        WorldNode *node = &world->nodes[i];

        if (node->role == WORLD_ENTRY && node->alive) {
            WorldSchedule_Add(world, world->now + INSTANCE_LIST_DELAY, node,
                              send_instances, NULL, node);
        }
    }
}

/* ---- ending ------------------------------------------------------------- */

static void
mark_callers_lost(WorldNode *node)
{
    WorldCaller *caller;

    TAILQ_FOREACH (caller, &node->world->callers, link) {
        if (caller->entry == node && caller->request != NULL) {
            caller->entry_lost = true;
        }
    }
}

static void
kill_entry(WorldNode *node)
{
    mark_callers_lost(node);
    KcEntry_AbortRequests(node->entry, node->world->now);
    KcEntry_Free(node->entry);
    node->entry = NULL;
}

static void
kill_agent(WorldNode *node)
{
    WorldEngine_OnAgentEnded(node->engine);
    KcAgent_Free(node->agent);
    node->agent = NULL;
}

void
World_Kill(WorldNode *node)
{
    if (!node->alive) {
        return;
    }
    WorldSchedule_DropBacklog(node);
    /* Close its connections first, so that what it sends while it is freed is
     * not delivered. */
    WorldPipe_OnNodeEnded(node);
    if (node->entry != NULL) {
        kill_entry(node);
    }
    else {
        kill_agent(node);
    }
    WorldStore_NodeGone(node);
    node->alive = false;
    node->paused = false;
    KcTimers_Free(node->timers);
    KcEvents_Free(node->events);
}

void
World_Pause(WorldNode *node)
{
    if (node->alive) {
        node->paused = true;
    }
}

void
World_Drain(WorldNode *node)
{
    World *world = node->world;

    if (!node->alive || node->paused) {
        return;
    }
    if (!node->leaving) {
        node->leaving = true;
        node->leaving_started_at = world->now;
    }
    if (node->entry != NULL) {
        KcEntry_Drain(node->entry, world->now);
    }
    else {
        KcAgent_Drain(node->agent, world->now);
    }
    schedule_instance_lists(world);
}

/* ---- the world ---------------------------------------------------------- */

static void
add_node(World *world, WorldRole role, const char *prefix, uint32_t index)
{
    WorldNode *node = &world->nodes[world->node_count];

    node->world = world;
    node->role = role;
    node->index = index;
    node->region = index % world->options.regions;
    TAILQ_INIT(&node->backlog);
    snprintf(node->name, sizeof(node->name), "%s-%u", prefix, index);
    snprintf(node->address, sizeof(node->address), "127.0.0.1:%u",
             1000 + world->node_count);
    snprintf(node->datacentre, sizeof(node->datacentre), "dc-%u",
             node->region);
    world->node_count++;
    if (role != WORLD_ENTRY) {
        node->engine = WorldEngine_Create(node);
    }
}

World *
World_Create(const WorldOptions *options)
{
    World *world = KcMem_New(sizeof(*world));
    uint32_t count =
        options->entries + options->model_agents + options->plain_agents;

    world->options = *options;
    world->now = INITIAL_TIME;
    world->random_state = options->seed * 0x9e3779b97f4a7c15ULL | 1;
    TAILQ_INIT(&world->pipes);
    TAILQ_INIT(&world->store.calls);
    TAILQ_INIT(&world->callers);
    world->nodes = KcMem_New(count * sizeof(world->nodes[0]));
    world->retired_adapters = KcMem_New(options->adapters * sizeof(bool));
    for (uint32_t i = 0; i < options->entries; i++) {
        add_node(world, WORLD_ENTRY, "entry", i);
    }
    for (uint32_t i = 0; i < options->model_agents; i++) {
        add_node(world, WORLD_MODEL_AGENT, "model", i);
    }
    for (uint32_t i = 0; i < options->plain_agents; i++) {
        add_node(world, WORLD_PLAIN_AGENT, "plain", i);
    }
    WorldDocument_Write(world, KC_OBJECT_ABSENT);
    for (uint32_t i = 0; i < world->node_count; i++) {
        WorldNode_Start(&world->nodes[i]);
    }
    return world;
}

void
World_Free(World *world)
{
    WorldCaller *caller;

    for (uint32_t i = 0; i < world->node_count; i++) {
        World_Kill(&world->nodes[i]);
    }
    WorldSchedule_Clear(world);
    for (uint32_t i = 0; i < world->node_count; i++) {
        if (world->nodes[i].engine != NULL) {
            WorldEngine_Free(world->nodes[i].engine);
        }
    }
    WorldPipe_FreeAll(world);
    WorldStore_Free(world);
    while ((caller = TAILQ_FIRST(&world->callers)) != NULL) {
        TAILQ_REMOVE(&world->callers, caller, link);
        KcBuffer_Clear(&caller->received_text);
        free(caller);
    }
    free(world->caller_index);
    free(world->nodes);
    free(world->retired_adapters);
    free(world);
}

uint32_t
World_EntryCount(const World *world)
{
    return world->options.entries;
}

uint32_t
World_AgentCount(const World *world)
{
    return world->options.model_agents + world->options.plain_agents;
}

WorldNode *
World_Entry(World *world, uint32_t index)
{
    assert(index < world->options.entries);
    return &world->nodes[index];
}

WorldNode *
World_Agent(World *world, uint32_t index)
{
    assert(index < World_AgentCount(world));
    return &world->nodes[world->options.entries + index];
}

/* ---- tracing ------------------------------------------------------------ */

/* The number of a request's caller, or -1. */
static int
find_caller_number(const World *world, const KcRequestId *id)
{
    const WorldCaller *caller;

    if (id->nonce == 0) {
        return -1;
    }
    TAILQ_FOREACH (caller, &world->callers, link) {
        if (KcRequestId_Equal(&caller->id, id)) {
            return (int)caller->number;
        }
    }
    return -1;
}

/* The earliest event after a clock value in all processes, or NULL. */
static const KcEvent *
find_next_event(const World *world, uint64_t clock,
                const WorldNode **event_node)
{
    const KcEvent *earliest = NULL;

    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *node = &world->nodes[i];

        if (!node->alive) {
            continue;
        }
        for (size_t j = 0; j < KcEvents_Count(node->events); j++) {
            const KcEvent *event = KcEvents_At(node->events, j);

            if (event->clock > clock &&
                (earliest == NULL || event->clock < earliest->clock)) {
                earliest = event;
                *event_node = node;
            }
        }
    }
    return earliest;
}

static void
print_slots(const WorldNode *node)
{
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &KcAgent_Residency(node->agent)->slots, link) {
        printf("%s slot %u: state %d, %s, %u pins, %u external requests\n",
               node->name, slot->slot_number, (int)slot->state,
               slot->engine_name, slot->pins, slot->external_requests);
    }
}

void
World_PrintEvents(const World *world)
{
    const WorldNode *node = NULL;
    const KcEvent *event;
    uint64_t clock = 0;

    while ((event = find_next_event(world, clock, &node)) != NULL) {
        int64_t wall = (int64_t)(event->clock >> KC_CLOCK_SHIFT);

        clock = event->clock;
        printf("%8.3f %-8s %-12s request %3d peer %-8s subject %-6s "
               "generation %d detail %d\n",
               (double)(wall - WALL_CLOCK_OFFSET) / (double)KC_SECOND,
               node->name, KcEventType_Name(event->type),
               find_caller_number(world, &event->request), event->peer,
               event->subject, (int)event->generation, (int)event->detail);
    }
    for (uint32_t i = 0; i < world->node_count; i++) {
        if (world->nodes[i].alive && world->nodes[i].agent != NULL &&
            world->nodes[i].role == WORLD_MODEL_AGENT) {
            print_slots(&world->nodes[i]);
        }
    }
}
