/*
 * Fakes of model engines and plain services: their whole, and their faults.
 */
#include <stdlib.h>

#include "engine_internal.h"

WorldEngine *
WorldEngine_Create(WorldNode *node)
{
    WorldEngine *engine = KcMem_New(sizeof(*engine));

    engine->world = node->world;
    engine->node = node;
    engine->plain = node->role == WORLD_PLAIN_AGENT;
    engine->epoch = 1;
    TAILQ_INIT(&engine->adapters);
    TAILQ_INIT(&engine->calls);
    return engine;
}

/* Brings the integrals for the benchmarks up to now. */
void
WorldEngine_Integrate(WorldEngine *engine)
{
    KcTime now = engine->world->now;
    double seconds = (double)(now - engine->integrated_to) / (double)KC_SECOND;

    if (engine->running > 0) {
        engine->busy_time += seconds;
        engine->running_time += seconds * engine->running;
    }
    engine->integrated_to = now;
}

const KcBackendOps WorldEngine_Ops = {
    WorldEngine_Start,    WorldEngine_Cancel, WorldEngine_Throttle,
    WorldEngine_Load,     WorldEngine_Evict,  WorldEngine_EvictStray,
    WorldEngine_Announce, WorldEngine_Inspect};

/* ---- faults and endings ------------------------------------------------- */

void
World_RestartEngine(WorldNode *agent)
{
    WorldEngine *engine = agent->engine;
    WorldAdapter *adapter;

    if (engine->plain) {
        return;
    }
    engine->epoch++;
    engine->fence = 0;
    while ((adapter = TAILQ_FIRST(&engine->adapters)) != NULL) {
        WorldEngine_RemoveAdapter(engine, adapter);
    }
}

void
World_FailLoads(WorldNode *agent, uint32_t count)
{
    agent->engine->fail_loads = count;
}

void
World_CutAnswers(WorldNode *agent, uint32_t count)
{
    agent->engine->cut_answers = count;
}

void
World_WrongModels(WorldNode *agent, uint32_t count)
{
    agent->engine->wrong_models = count;
}

void
World_DelayOrders(WorldNode *agent, uint32_t count)
{
    agent->engine->delay_orders = count;
}

void
WorldEngine_Free(WorldEngine *engine)
{
    WorldAdapter *adapter;
    WorldEngineCall *call;

    while ((call = TAILQ_FIRST(&engine->calls)) != NULL) {
        WorldEngine_FreeCall(call);
    }
    while ((adapter = TAILQ_FIRST(&engine->adapters)) != NULL) {
        WorldEngine_RemoveAdapter(engine, adapter);
    }
    free(engine);
}
