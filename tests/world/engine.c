/*
 * Fakes of model engines and plain services: creation, planned faults and
 * restarts.
 */
#include <stdlib.h>

#include "engine_internal.h"

WorldEngine *
WorldEngine_Create(WorldNode *node)
{
    WorldEngine *engine = KcMem_New(sizeof(*engine));

    engine->world = node->world;
    engine->node = node;
    engine->is_plain = node->role == WORLD_PLAIN_AGENT;
    engine->epoch = 1;
    TAILQ_INIT(&engine->adapters);
    TAILQ_INIT(&engine->calls);
    return engine;
}

void
WorldEngine_Integrate(WorldEngine *engine)
{
    KcTime now = engine->world->now;
    double seconds =
        (double)(now - engine->usage_updated_at) / (double)KC_SECOND;

    if (engine->running_calls > 0) {
        engine->busy_time += seconds;
        engine->running_time += seconds * engine->running_calls;
    }
    engine->usage_updated_at = now;
}

const KcBackendOps WorldEngine_Ops = {
    WorldEngine_Start,         WorldEngine_Cancel, WorldEngine_SetPaused,
    WorldEngine_Load,          WorldEngine_Evict,  WorldEngine_EvictUntracked,
    WorldEngine_AnnounceFence, WorldEngine_Inspect};

/* ---- faults and freeing ------------------------------------------------- */

void
World_RestartEngine(WorldNode *agent)
{
    WorldEngine *engine = agent->engine;
    WorldAdapter *adapter;

    if (engine->is_plain) {
        return;
    }
    engine->epoch++;
    engine->highest_fence = 0;
    while ((adapter = TAILQ_FIRST(&engine->adapters)) != NULL) {
        WorldEngine_RemoveAdapter(engine, adapter);
    }
}

void
World_FailLoads(WorldNode *agent, uint32_t count)
{
    agent->engine->loads_to_fail = count;
}

void
World_CutAnswers(WorldNode *agent, uint32_t count)
{
    agent->engine->answers_to_cut = count;
}

void
World_AnswerWithWrongModel(WorldNode *agent, uint32_t count)
{
    agent->engine->wrong_models_to_report = count;
}

void
World_DelayOrders(WorldNode *agent, uint32_t count)
{
    agent->engine->orders_to_delay = count;
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
