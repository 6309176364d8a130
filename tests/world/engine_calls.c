/*
 * Calls at a fake engine or plain service, which produce their answers over
 * virtual time.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "engine_internal.h"

/* A call runs on for this long after its agent has ended. */
#define ORPHANED_CALL_TIMEOUT (1500 * KC_MS)

void
WorldEngine_FreeCall(WorldEngineCall *call)
{
    WorldEngine *engine = call->engine;

    WorldEngine_Integrate(engine);
    TAILQ_REMOVE(&engine->calls, call, link);
    engine->running_calls--;
    if (call->adapter != NULL) {
        call->adapter->active_calls--;
    }
    if (call->work != NULL) {
        call->work->backend_call = NULL;
    }
    free(call);
}

/* Context of a call's scheduled event; the call may be freed before it is
 * due. */
typedef struct CallEvent {
    WorldEngine *engine;
    WorldEngineCall *call;
    uint64_t id; /* of the call, as its memory may be used again */
} CallEvent;

static bool
call_exists(const CallEvent *event)
{
    const WorldEngineCall *call;

    TAILQ_FOREACH (call, &event->engine->calls, link) {
        if (call == event->call && call->id == event->id) {
            return true;
        }
    }
    return false;
}

static void generate_token(void *context);
static void complete_plain_call(void *context);

static void
schedule_call_event(WorldEngineCall *call, KcTime delay,
                    void (*on_due)(void *context))
{
    World *world = call->engine->world;
    CallEvent *event = KcMem_New(sizeof(*event));

    event->engine = call->engine;
    event->call = call;
    event->id = call->id;
    /* For the agent's node, as a paused agent reads nothing. */
    WorldSchedule_Add(world, world->now + delay, call->node, on_due, free,
                      event);
}

static void
end_call(WorldEngineCall *call, int code, bool ran, const char *finish)
{
    WorldNode *node = call->node;
    KcWork *work = call->work;

    call->work = NULL;
    work->backend_call = NULL;
    WorldEngine_FreeCall(call);
    KcAgent_OnWorkEnded(node->agent, work, code, ran, finish,
                        node->world->now);
}

/* Reports to the agent which model answers; the agent may cancel the call. */
static void
report_call_started(WorldEngineCall *call)
{
    WorldNode *node = call->node;
    const char *name =
        call->wrong_model ? "another@1#1.1" : call->adapter->name;

    if (!call->work->answer_started) {
        KcAgent_OnWorkStarted(node->agent, call->work, name, 200, "",
                              node->world->now);
    }
}

/* Sends the agent the next token. */
static void
report_token(WorldEngineCall *call)
{
    WorldNode *node = call->node;
    char token[160];
    size_t length =
        WorldCaller_FormatToken(call->model, call->caller->number,
                                call->next_token, token, sizeof(token));
    KcBytes bytes = {token + call->skip_bytes, length - call->skip_bytes};

    call->next_token++;
    call->skip_bytes = 0;
    KcAgent_OnWorkData(node->agent, call->work, bytes, call->work->tokens + 1,
                       node->world->now);
}

/* Skips the tokens that the caller already has; the last may be partial. */
static void
skip_delivered_tokens(WorldEngineCall *call)
{
    char token[160];

    while (call->skip_bytes > 0) {
        size_t length =
            WorldCaller_FormatToken(call->model, call->caller->number,
                                    call->next_token, token, sizeof(token));

        if (call->skip_bytes < length) {
            return;
        }
        call->skip_bytes -= length;
        call->next_token++;
    }
}

static void
generate_token(void *context)
{
    CallEvent event = *(CallEvent *)context;
    WorldEngineCall *call = event.call;
    WorldEngine *engine = event.engine;
    World *world = engine->world;

    free(context);
    if (!call_exists(&event)) {
        return;
    }
    if (call->is_paused) {
        call->token_pending = true;
        return;
    }
    if (call->adapter == NULL) {
        end_call(call, KC_ERR_PEER_LOST, true, ""); /* unloaded by a restart */
        return;
    }
    report_call_started(call);
    if (!call_exists(&event)) {
        return; /* the agent has cancelled it */
    }
    if (call->next_token >= world->options.tokens) {
        end_call(call, 0, true, "stop");
        return;
    }
    report_token(call);
    if (!call_exists(&event)) {
        return;
    }
    if (engine->answers_to_cut > 0) {
        engine->answers_to_cut--;
        end_call(call, KC_ERR_PEER_LOST, true, "");
        return;
    }
    schedule_call_event(call, world->options.token_time, generate_token);
}

static void
complete_plain_call(void *context)
{
    CallEvent event = *(CallEvent *)context;
    WorldEngineCall *call = event.call;
    WorldNode *node;
    char text[128];
    KcBytes bytes = {text, 0};

    free(context);
    if (!call_exists(&event)) {
        return;
    }
    node = call->node;
    if (event.engine->answers_to_cut > 0) {
        event.engine->answers_to_cut--;
        end_call(call, KC_ERR_PEER_LOST, true, "");
        return;
    }

    KcAgent_OnWorkStarted(node->agent, call->work, "", 200, "text/plain",
                          node->world->now);
    /* All at once, beyond the window. */
    for (uint32_t i = 0; i < WORLD_PLAIN_PIECES; i++) {
        bytes.size = WorldCaller_FormatPiece(call->caller->number, i, text,
                                             sizeof(text));
        KcAgent_OnWorkData(node->agent, call->work, bytes, 0,
                           node->world->now);
    }
    end_call(call, 0, true, "");
}

static void
refuse_unloaded_adapter(void *context)
{
    CallEvent event = *(CallEvent *)context;

    free(context);
    if (call_exists(&event)) {
        end_call(event.call, KC_ERR_NOT_FOUND, false, "");
    }
}

static WorldEngineCall *
add_call(WorldEngine *engine, KcWork *work)
{
    WorldEngineCall *call = KcMem_New(sizeof(*call));
    char body[32];

    WorldEngine_Integrate(engine);
    engine->running_calls++;
    call->id = ++engine->last_call_id;
    call->engine = engine;
    call->node = engine->node;
    call->work = work;
    work->backend_call = call;
    assert(KcBuffer_Size(&work->body) < sizeof(body));
    memcpy(body, KcBuffer_Data(&work->body), KcBuffer_Size(&work->body));
    body[KcBuffer_Size(&work->body)] = '\0';
    call->caller =
        WorldCaller_Find(engine->world, (uint32_t)strtoul(body, NULL, 10));
    TAILQ_INSERT_TAIL(&engine->calls, call, link);
    return call;
}

static void
start_model_call(WorldEngine *engine, WorldEngineCall *call)
{
    World *world = engine->world;
    KcWork *work = call->work;
    WorldAdapter *adapter =
        WorldEngine_FindAdapter(engine, work->slot->engine_name);

    if (adapter == NULL || !adapter->is_loaded) {
        schedule_call_event(call, ENGINE_LATENCY, refuse_unloaded_adapter);
        return;
    }
    call->adapter = adapter;
    adapter->active_calls++;
    KcAdapterRef_Format(&work->model, call->model);
    call->skip_bytes = KcBuffer_Size(&work->delivered_text);
    skip_delivered_tokens(call);
    if (engine->wrong_models_to_report > 0) {
        engine->wrong_models_to_report--;
        call->wrong_model = true;
    }
    call->caller->execution_count++;
    schedule_call_event(call, world->options.token_time, generate_token);
}

void
WorldEngine_Start(void *backend, KcWork *work)
{
    WorldEngine *engine = backend;
    WorldEngineCall *call = add_call(engine, work);

    call->caller->stall = work->stall;
    engine->started_calls++;
    engine->last_started_at = engine->world->now;
    if (!engine->is_plain) {
        start_model_call(engine, call);
        return;
    }
    call->caller->execution_count++;
    schedule_call_event(call, engine->world->options.plain_execution_time,
                        complete_plain_call);
}

void
WorldEngine_Cancel(void *backend, KcWork *work)
{
    (void)backend;
    if (work->backend_call != NULL) {
        WorldEngineCall *call = work->backend_call;

        WorldEngine_FreeCall(call);
    }
}

void
WorldEngine_SetPaused(void *backend, KcWork *work, bool paused)
{
    WorldEngineCall *call = work->backend_call;

    (void)backend;
    if (call == NULL) {
        return;
    }
    call->is_paused = paused;
    if (!paused && call->token_pending) {
        call->token_pending = false;
        schedule_call_event(call, 0, generate_token);
    }
}

static void
end_orphaned_call(void *context)
{
    CallEvent event = *(CallEvent *)context;

    free(context);
    if (call_exists(&event)) {
        WorldEngine_FreeCall(event.call);
    }
}

/* An engine notices the loss of its reader only after a while. */
void
WorldEngine_OnAgentEnded(WorldEngine *engine)
{
    World *world = engine->world;
    WorldEngineCall *call;

    TAILQ_FOREACH (call, &engine->calls, link) {
        CallEvent *event;

        if (call->work == NULL) {
            continue;
        }
        call->work->backend_call = NULL;
        call->work = NULL;
        event = KcMem_New(sizeof(*event));
        *event = (CallEvent){engine, call, call->id};
        WorldSchedule_Add(world, world->now + ORPHANED_CALL_TIMEOUT, NULL,
                          end_orphaned_call, free, event);
    }
}
