/*
 * Adapters of a fake engine: orders that load and evict them, announcements of
 * fencing numbers, and inspections.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine_internal.h"

#define EVICTION_TIME (1 * KC_MS)
#define INSPECTION_TIME (2 * KC_MS)
/* A delayed order takes effect after the first delay; the agent gets a timeout
 * after the second. */
#define LATE_ORDER_DELAY (8 * KC_SECOND)
#define ORDER_TIMEOUT (3 * KC_SECOND)

/* A message to the engine, then its reply to the agent. */
typedef struct EngineOrder {
    WorldEngine *engine;
    WorldNode *node;
    uint64_t incarnation; /* of the agent, which alone gets the reply */
    KcSlot *slot;         /* NULL if the order is for no slot */
    char name[KC_ENGINE_NAME_MAX];
    uint64_t fence;
    int code;           /* of the reply */
    KcTime sent_at;     /* of an inspection */
    bool is_reply_lost; /* the agent has had a timeout instead */
} EngineOrder;

static bool
is_agent_running(const WorldNode *node, uint64_t incarnation)
{
    return node->alive && node->incarnation == incarnation;
}

/* ---- adapters ----------------------------------------------------------- */

WorldAdapter *
WorldEngine_FindAdapter(WorldEngine *engine, const char *name)
{
    WorldAdapter *adapter;

    TAILQ_FOREACH (adapter, &engine->adapters, link) {
        if (strcmp(adapter->name, name) == 0) {
            return adapter;
        }
    }
    return NULL;
}

static uint32_t
count_adapters(const WorldEngine *engine)
{
    const WorldAdapter *adapter;
    uint32_t count = 0;

    TAILQ_FOREACH (adapter, &engine->adapters, link) {
        count++;
    }
    return count;
}

void
WorldEngine_RemoveAdapter(WorldEngine *engine, WorldAdapter *adapter)
{
    WorldEngineCall *call;

    TAILQ_FOREACH (call, &engine->calls, link) {
        if (call->adapter == adapter) {
            call->adapter = NULL;
        }
    }
    TAILQ_REMOVE(&engine->adapters, adapter, link);
    free(adapter);
}

/* Whether an order has an old fence; else remembers the highest fence. */
static bool
reject_stale_fence(WorldEngine *engine, uint64_t fence)
{
    if (engine->world->options.engine_checks_fence &&
        fence < engine->highest_fence) {
        return true;
    }
    if (fence > engine->highest_fence) {
        engine->highest_fence = fence;
    }
    return false;
}

/* ---- orders ------------------------------------------------------------- */

static EngineOrder *
new_order(WorldEngine *engine, KcSlot *slot, const char *name, uint64_t fence)
{
    EngineOrder *order = KcMem_New(sizeof(*order));

    order->engine = engine;
    order->node = engine->node;
    order->incarnation = engine->node->incarnation;
    order->slot = slot;
    order->fence = fence;
    KcText_Copy(order->name, name, sizeof(order->name));
    return order;
}

static void
report_loaded(void *context)
{
    EngineOrder *order = context;
    WorldNode *node = order->node;

    KcAgent_OnAdapterLoaded(node->agent, order->slot, order->code,
                            node->world->now);
    free(order);
}

static void
report_evicted(void *context)
{
    EngineOrder *order = context;
    WorldNode *node = order->node;

    KcAgent_OnAdapterEvicted(node->agent, order->slot, order->code,
                             node->world->now);
    free(order);
}

/* Delivers the reply after a delay, unless the agent has ended. */
static void
schedule_reply(EngineOrder *order, void (*on_reply)(void *context),
               KcTime delay)
{
    World *world = order->engine->world;

    if (!is_agent_running(order->node, order->incarnation)) {
        free(order);
        return;
    }
    WorldSchedule_Add(world, world->now + delay, order->node, on_reply, free,
                      order);
}

/* The weights of a load have been read. */
static void
finish_load(void *context)
{
    EngineOrder *order = context;
    WorldEngine *engine = order->engine;
    WorldAdapter *adapter = WorldEngine_FindAdapter(engine, order->name);

    engine->world->weight_loads_in_flight--;
    order->code = adapter != NULL ? 0 : KC_ERR_BACKEND;
    if (adapter != NULL && engine->loads_to_fail > 0) {
        engine->loads_to_fail--;
        WorldEngine_RemoveAdapter(engine, adapter);
        order->code = KC_ERR_BACKEND;
    }
    else if (adapter != NULL) {
        adapter->is_loaded = true;
    }
    if (order->is_reply_lost) {
        free(order);
        return;
    }
    schedule_reply(order, report_loaded, ENGINE_LATENCY);
}

/* Reserves the next load start at the weight store.  Returns the wait for it;
 * the store's rate is limited by a token bucket. */
static KcTime
reserve_load_start(World *world)
{
    const WorldOptions *options = &world->options;
    KcTime spacing;
    KcTime earliest;

    if (options->store_per_minute == 0) {
        return 0;
    }
    spacing = 60 * KC_SECOND / options->store_per_minute;
    earliest = world->now - spacing * options->store_burst;
    if (world->next_weight_load_at < earliest) {
        world->next_weight_load_at = earliest;
    }
    world->next_weight_load_at += spacing;
    return world->next_weight_load_at > world->now
               ? world->next_weight_load_at - world->now
               : 0;
}

/* Duration of a load, with the wait for its start.  A load that begins
 * above the store's number of full-speed loads takes proportionally longer. */
static KcTime
load_duration(World *world)
{
    uint32_t full_speed_max = world->options.store_free;
    KcTime duration = world->options.load_time;

    if (full_speed_max > 0 && world->weight_loads_in_flight > full_speed_max) {
        duration = duration * world->weight_loads_in_flight / full_speed_max;
    }
    return duration + reserve_load_start(world);
}

static void
begin_load(void *context)
{
    EngineOrder *order = context;
    WorldEngine *engine = order->engine;
    World *world = engine->world;
    WorldAdapter *adapter;

    order->code = 0;
    if (reject_stale_fence(engine, order->fence)) {
        order->code = KC_ERR_STALE_FENCE;
    }
    else if (count_adapters(engine) >= world->options.slots ||
             WorldEngine_FindAdapter(engine, order->name) != NULL) {
        order->code = KC_ERR_BACKEND;
    }
    if (order->code != 0) {
        if (order->is_reply_lost) {
            free(order);
            return;
        }
        schedule_reply(order, report_loaded, ENGINE_LATENCY);
        return;
    }
    engine->loads++;
    world->weight_loads_in_flight++;
    adapter = KcMem_New(sizeof(*adapter));
    KcText_Copy(adapter->name, order->name, sizeof(adapter->name));
    TAILQ_INSERT_TAIL(&engine->adapters, adapter, link);
    WorldSchedule_Add(world, world->now + load_duration(world), NULL,
                      finish_load, free, order);
}

static void
evict_adapter(void *context)
{
    EngineOrder *order = context;
    WorldEngine *engine = order->engine;
    WorldAdapter *adapter = WorldEngine_FindAdapter(engine, order->name);

    order->code = 0;
    if (reject_stale_fence(engine, order->fence)) {
        order->code = KC_ERR_STALE_FENCE;
    }
    else if (adapter == NULL || !adapter->is_loaded) {
        order->code = KC_ERR_NOT_FOUND;
    }
    else {
        engine->evictions_in_use += adapter->active_calls > 0;
        WorldEngine_RemoveAdapter(engine, adapter);
    }
    if (order->is_reply_lost || order->slot == NULL) {
        free(order);
        return;
    }
    schedule_reply(order, report_evicted, ENGINE_LATENCY);
}

/* Sends an order.  If it is to be delayed, the agent gets a timeout before the
 * order takes effect, and no other reply. */
static void
send_order(WorldEngine *engine, EngineOrder *order,
           void (*on_arrival)(void *context), void (*on_reply)(void *context),
           KcTime delay)
{
    World *world = engine->world;
    EngineOrder *lost_reply;

    if (engine->orders_to_delay > 0 && order->slot != NULL) {
        engine->orders_to_delay--;
        lost_reply = new_order(engine, order->slot, order->name, order->fence);
        lost_reply->code = KC_ERR_PEER_LOST;
        schedule_reply(lost_reply, on_reply, ORDER_TIMEOUT);
        order->is_reply_lost = true;
        delay = LATE_ORDER_DELAY;
    }
    WorldSchedule_Add(world, world->now + delay, NULL, on_arrival, free,
                      order);
}

void
WorldEngine_Load(void *backend, KcSlot *slot)
{
    WorldEngine *engine = backend;

    send_order(engine,
               new_order(engine, slot, slot->engine_name, slot->load_fence),
               begin_load, report_loaded, ENGINE_LATENCY);
}

void
WorldEngine_Evict(void *backend, KcSlot *slot, uint64_t fence)
{
    WorldEngine *engine = backend;

    send_order(engine, new_order(engine, slot, slot->engine_name, fence),
               evict_adapter, report_evicted, EVICTION_TIME);
}

void
WorldEngine_EvictUntracked(void *backend, const char *name, uint64_t fence)
{
    WorldEngine *engine = backend;

    send_order(engine, new_order(engine, NULL, name, fence), evict_adapter,
               NULL, EVICTION_TIME);
}

static void
report_fence_announced(void *context)
{
    EngineOrder *order = context;
    WorldNode *node = order->node;

    KcAgent_OnFenceAnnounced(node->agent, order->fence, order->code,
                             node->world->now);
    free(order);
}

static void
announce_fence(void *context)
{
    EngineOrder *order = context;

    order->code = reject_stale_fence(order->engine, order->fence)
                      ? KC_ERR_STALE_FENCE
                      : 0;
    schedule_reply(order, report_fence_announced, ENGINE_LATENCY);
}

void
WorldEngine_AnnounceFence(void *backend, uint64_t fence)
{
    WorldEngine *engine = backend;
    World *world = engine->world;

    WorldSchedule_Add(world, world->now + ENGINE_LATENCY, NULL, announce_fence,
                      free, new_order(engine, NULL, "", fence));
}

static void
report_inspection(void *context)
{
    EngineOrder *order = context;
    WorldEngine *engine = order->engine;
    WorldNode *node = order->node;
    KcEngineAdapter *list = KcMem_New(count_adapters(engine) * sizeof(*list));
    WorldAdapter *adapter;
    size_t count = 0;
    char epoch[32];

    TAILQ_FOREACH (adapter, &engine->adapters, link) {
        if (adapter->is_loaded) {
            KcText_Copy(list[count].name, adapter->name,
                        sizeof(list[count].name));
            list[count++].active_calls = adapter->active_calls;
        }
    }
    snprintf(epoch, sizeof(epoch), "%llu", (unsigned long long)engine->epoch);
    KcAgent_OnEngineInspected(node->agent, 0, epoch, list, count,
                              order->sent_at, node->world->now);
    free(list);
    free(order);
}

void
WorldEngine_Inspect(void *backend)
{
    WorldEngine *engine = backend;
    World *world = engine->world;
    EngineOrder *order = new_order(engine, NULL, "", 0);

    order->sent_at = world->now;
    WorldSchedule_Add(world, world->now + INSPECTION_TIME, engine->node,
                      report_inspection, free, order);
}
