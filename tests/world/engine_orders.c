/*
 * Adapters of a fake engine, and the orders that load and evict them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine_internal.h"

#define EVICT_TIME (1 * KC_MS)
#define INSPECT_TIME (2 * KC_MS)
/* A delayed order takes effect after this, and its answer is lost. */
#define ORDER_DELAY (8 * KC_SECOND)
#define ORDER_TIMEOUT (3 * KC_SECOND)

/* An order, inspection or stray eviction on its way. */
typedef struct Order {
    WorldEngine *engine;
    WorldNode *node;
    uint64_t incarnation;
    KcSlot *slot;
    char name[KC_ENGINE_NAME_MAX];
    uint64_t fence;
    int code;
    KcTime asked;
    bool answered;
} Order;

static bool
agent_present(const WorldNode *node, uint64_t incarnation)
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
adapter_count(const WorldEngine *engine)
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

static bool
stale(WorldEngine *engine, uint64_t fence)
{
    if (engine->world->options.fencing && fence < engine->fence) {
        return true;
    }
    if (fence > engine->fence) {
        engine->fence = fence;
    }
    return false;
}

/* ---- orders ------------------------------------------------------------- */

static Order *
new_order(WorldEngine *engine, KcSlot *slot, const char *name, uint64_t fence)
{
    Order *order = KcMem_New(sizeof(*order));

    order->engine = engine;
    order->node = engine->node;
    order->incarnation = engine->node->incarnation;
    order->slot = slot;
    order->fence = fence;
    KcText_Copy(order->name, name, sizeof(order->name));
    return order;
}

static void
give_loaded(void *context)
{
    Order *order = context;
    WorldNode *node = order->node;

    KcAgent_OnAdapterLoaded(node->agent, order->slot, order->code,
                            node->world->now);
    free(order);
}

static void
give_evicted(void *context)
{
    Order *order = context;
    WorldNode *node = order->node;

    KcAgent_OnAdapterEvicted(node->agent, order->slot, order->code,
                             node->world->now);
    free(order);
}

static void
answer_order(Order *order, void (*give)(void *context), KcTime delay)
{
    World *world = order->engine->world;

    if (!agent_present(order->node, order->incarnation)) {
        free(order);
        return;
    }
    WorldSchedule_Add(world, world->now + delay, order->node, give, free,
                      order);
}

/* A load has read its weights. */
static void
end_load(void *context)
{
    Order *order = context;
    WorldEngine *engine = order->engine;
    WorldAdapter *adapter = WorldEngine_FindAdapter(engine, order->name);

    engine->world->loads_in_flight--;
    order->code = adapter != NULL ? 0 : KC_ERR_BACKEND;
    if (adapter != NULL && engine->fail_loads > 0) {
        engine->fail_loads--;
        WorldEngine_RemoveAdapter(engine, adapter);
        order->code = KC_ERR_BACKEND;
    }
    else if (adapter != NULL) {
        adapter->ready = true;
    }
    if (order->answered) {
        free(order);
        return;
    }
    answer_order(order, give_loaded, LATENCY);
}

/* Time until the weight store begins another load. */
static KcTime
store_wait(World *world)
{
    const WorldOptions *options = &world->options;
    KcTime spacing;
    KcTime earliest;

    if (options->store_per_minute == 0) {
        return 0;
    }
    spacing = 60 * KC_SECOND / options->store_per_minute;
    earliest = world->now - spacing * options->store_burst;
    if (world->store_next < earliest) {
        world->store_next = earliest;
    }
    world->store_next += spacing;
    return world->store_next > world->now ? world->store_next - world->now : 0;
}

/* Loads take proportionally longer beyond what the store serves at once. */
static KcTime
load_time(World *world)
{
    uint32_t free = world->options.store_free;
    KcTime time = world->options.load_time;

    if (free > 0 && world->loads_in_flight > free) {
        time = time * world->loads_in_flight / free;
    }
    return time + store_wait(world);
}

static void
begin_load(void *context)
{
    Order *order = context;
    WorldEngine *engine = order->engine;
    World *world = engine->world;
    WorldAdapter *adapter;

    order->code = 0;
    if (stale(engine, order->fence)) {
        order->code = KC_ERR_STALE_FENCE;
    }
    else if (adapter_count(engine) >= world->options.slots ||
             WorldEngine_FindAdapter(engine, order->name) != NULL) {
        order->code = KC_ERR_BACKEND;
    }
    if (order->code != 0) {
        if (order->answered) {
            free(order);
            return;
        }
        answer_order(order, give_loaded, LATENCY);
        return;
    }
    engine->loads++;
    world->loads_in_flight++;
    adapter = KcMem_New(sizeof(*adapter));
    KcText_Copy(adapter->name, order->name, sizeof(adapter->name));
    TAILQ_INSERT_TAIL(&engine->adapters, adapter, link);
    WorldSchedule_Add(world, world->now + load_time(world), NULL, end_load,
                      free, order);
}

static void
do_evict(void *context)
{
    Order *order = context;
    WorldEngine *engine = order->engine;
    WorldAdapter *adapter = WorldEngine_FindAdapter(engine, order->name);

    order->code = 0;
    if (stale(engine, order->fence)) {
        order->code = KC_ERR_STALE_FENCE;
    }
    else if (adapter == NULL || !adapter->ready) {
        order->code = KC_ERR_NOT_FOUND;
    }
    else {
        engine->evicted_active += adapter->active > 0;
        WorldEngine_RemoveAdapter(engine, adapter);
    }
    if (order->answered || order->slot == NULL) {
        free(order);
        return;
    }
    answer_order(order, give_evicted, LATENCY);
}

/* Sends an order on its way; a delayed one is answered as lost first. */
static void
send_order(WorldEngine *engine, Order *order, void (*act)(void *context),
           void (*give)(void *context), KcTime delay)
{
    World *world = engine->world;
    Order *lost;

    if (engine->delay_orders > 0 && order->slot != NULL) {
        engine->delay_orders--;
        lost = new_order(engine, order->slot, order->name, order->fence);
        lost->code = KC_ERR_PEER_LOST;
        answer_order(lost, give, ORDER_TIMEOUT);
        order->answered = true;
        delay = ORDER_DELAY;
    }
    WorldSchedule_Add(world, world->now + delay, NULL, act, free, order);
}

void
WorldEngine_Load(void *backend, KcSlot *slot)
{
    WorldEngine *engine = backend;

    send_order(engine,
               new_order(engine, slot, slot->engine_name, slot->load_fence),
               begin_load, give_loaded, LATENCY);
}

void
WorldEngine_Evict(void *backend, KcSlot *slot, uint64_t fence)
{
    WorldEngine *engine = backend;

    send_order(engine, new_order(engine, slot, slot->engine_name, fence),
               do_evict, give_evicted, EVICT_TIME);
}

void
WorldEngine_EvictStray(void *backend, const char *name, uint64_t fence)
{
    WorldEngine *engine = backend;

    send_order(engine, new_order(engine, NULL, name, fence), do_evict, NULL,
               EVICT_TIME);
}

static void
give_announced(void *context)
{
    Order *order = context;
    WorldNode *node = order->node;

    KcAgent_OnFenceAnnounced(node->agent, order->fence, order->code,
                             node->world->now);
    free(order);
}

static void
do_announce(void *context)
{
    Order *order = context;

    order->code = stale(order->engine, order->fence) ? KC_ERR_STALE_FENCE : 0;
    answer_order(order, give_announced, LATENCY);
}

void
WorldEngine_Announce(void *backend, uint64_t fence)
{
    WorldEngine *engine = backend;
    World *world = engine->world;

    WorldSchedule_Add(world, world->now + LATENCY, NULL, do_announce, free,
                      new_order(engine, NULL, "", fence));
}

static void
give_inspection(void *context)
{
    Order *order = context;
    WorldEngine *engine = order->engine;
    WorldNode *node = order->node;
    KcEngineAdapter *list = KcMem_New(adapter_count(engine) * sizeof(*list));
    WorldAdapter *adapter;
    size_t count = 0;
    char epoch[32];

    TAILQ_FOREACH (adapter, &engine->adapters, link) {
        if (adapter->ready) {
            KcText_Copy(list[count].name, adapter->name,
                        sizeof(list[count].name));
            list[count++].active_calls = adapter->active;
        }
    }
    snprintf(epoch, sizeof(epoch), "%llu", (unsigned long long)engine->epoch);
    KcAgent_OnEngineInspected(node->agent, 0, epoch, list, count, order->asked,
                              node->world->now);
    free(list);
    free(order);
}

void
WorldEngine_Inspect(void *backend)
{
    WorldEngine *engine = backend;
    World *world = engine->world;
    Order *order = new_order(engine, NULL, "", 0);

    order->asked = world->now;
    WorldSchedule_Add(world, world->now + INSPECT_TIME, engine->node,
                      give_inspection, free, order);
}
