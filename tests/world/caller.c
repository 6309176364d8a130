/*
 * Simulated callers: they submit requests to entries and record the answers.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world_internal.h"

/* Delay after which a slow reader consumes received data. */
#define SLOW_READ_DELAY (400 * KC_MS)

size_t
WorldCaller_FormatToken(const char *model, uint32_t number, uint32_t index,
                        char *text, size_t size)
{
    return (size_t)snprintf(text, size, " %s/%u.%u", model, number, index);
}

size_t
WorldCaller_FormatPiece(uint32_t number, uint32_t index, char *text,
                        size_t size)
{
    return (size_t)snprintf(text, size, "done %u, piece %u %-30s", number,
                            index, ".");
}

void
WorldCaller_AppendExpectedAnswer(const WorldCaller *caller, KcBuffer *text)
{
    char model[KC_ADAPTER_REF_TEXT_SIZE];
    char token[160];

    if (caller->is_plain) {
        for (uint32_t i = 0; i < WORLD_PLAIN_PIECES; i++) {
            size_t length = WorldCaller_FormatPiece(caller->number, i, token,
                                                    sizeof(token));

            KcBuffer_Append(text, token, length);
        }
        return;
    }
    KcAdapterRef_Format(&caller->requested_model, model);
    for (uint32_t i = 0; i < caller->world->options.tokens; i++) {
        size_t length = WorldCaller_FormatToken(model, caller->number, i,
                                                token, sizeof(token));

        KcBuffer_Append(text, token, length);
    }
}

WorldCaller *
WorldCaller_Find(World *world, uint32_t number)
{
    assert(number < world->caller_count);
    return world->caller_index[number];
}

/* ---- receiving an answer ------------------------------------------------ */

static void
on_started(void *context, KcRequest *request, const KcMsgStarted *head)
{
    WorldCaller *caller = context;
    KcAdapterRef model;

    caller->request = request;
    caller->answer_started = true;
    caller->first_byte_at = caller->world->now;
    KcText_Copy(model.adapter, head->adapter, KC_NAME_MAX);
    model.version = head->version;
    KcAdapterRef_Format(&model, caller->answered_by);
}

static void
consume_received(void *context)
{
    WorldCaller *caller = context;

    if (caller->request != NULL && !caller->is_abandoned) {
        KcEntry_AcknowledgeConsumed(caller->request,
                                    caller->request->delivered_bytes,
                                    caller->world->now);
    }
}

static void
on_data(void *context, KcRequest *request, KcBytes bytes, uint64_t tokens)
{
    WorldCaller *caller = context;
    World *world = caller->world;

    (void)tokens;
    KcBuffer_Append(&caller->received_text, bytes.data, bytes.size);
    if (caller->is_slow_reader) {
        WorldSchedule_Add(world, world->now + SLOW_READ_DELAY, caller->entry,
                          consume_received, NULL, caller);
        return;
    }
    KcEntry_AcknowledgeConsumed(request, request->delivered_bytes, world->now);
}

static void
on_finished(void *context, const KcResult *result)
{
    WorldCaller *caller = context;

    caller->request = NULL;
    if (caller->entry_lost) {
        return;
    }
    assert(!caller->finished);
    caller->finished = true;
    caller->outcome = result->outcome;
    caller->error_code = result->error.code;
    caller->is_duplicate = result->is_duplicate;
    caller->earlier_mark = result->earlier_mark;
    caller->ended_at = caller->world->now;
}

static const KcCallerOps caller_ops = {on_started, on_data, on_finished};

/* ---- submitting --------------------------------------------------------- */

static WorldCaller *
add_caller(WorldNode *entry)
{
    World *world = entry->world;
    WorldCaller *caller = KcMem_New(sizeof(*caller));

    if (world->caller_count == world->caller_capacity) {
        world->caller_capacity = world->caller_capacity * 2 + 64;
        world->caller_index =
            KcMem_Realloc(world->caller_index,
                          world->caller_capacity * sizeof(WorldCaller *));
    }
    caller->number = world->caller_count;
    world->caller_index[world->caller_count++] = caller;
    caller->world = world;
    caller->entry = entry;
    caller->incarnation = entry->incarnation;
    caller->submitted = world->now;
    TAILQ_INSERT_TAIL(&world->callers, caller, link);
    return caller;
}

/* A paused or ended entry accepts no connections. */
static bool
is_reachable(WorldNode *entry)
{
    return entry->alive && !entry->paused;
}

static void
submit_call(WorldCaller *caller, const KcCall *call)
{
    WorldNode *entry = caller->entry;
    KcRequest *request;

    if (!is_reachable(entry)) {
        caller->entry_lost = true;
        return;
    }
    request = KcEntry_Submit(entry->entry, call, &caller_ops, caller,
                             entry->world->now);
    if (!caller->finished) {
        caller->request = request;
        caller->id = request->id;
    }
}

WorldCaller *
World_CallModel(WorldNode *entry, uint32_t adapter, uint32_t version,
                uint32_t priority)
{
    WorldCaller *caller = add_caller(entry);
    char model[KC_ADAPTER_REF_TEXT_SIZE];
    char body[32];
    char customer[32];
    KcCall call = {.model = model,
                   .customer = customer,
                   .priority = priority,
                   .method = "POST",
                   .path = "/v1/completions",
                   .content_type = "text/plain"};

    snprintf(caller->requested_model.adapter, KC_NAME_MAX, "a%u", adapter);
    caller->requested_model.version = version;
    KcAdapterRef_Format(&caller->requested_model, model);
    snprintf(customer, sizeof(customer), "c%u", adapter);
    call.body.data = body;
    call.body.size =
        (size_t)snprintf(body, sizeof(body), "%u", caller->number);
    submit_call(caller, &call);
    return caller;
}

WorldCaller *
World_CallPlainService(WorldNode *entry, uint32_t key)
{
    WorldCaller *caller = add_caller(entry);
    char body[32];
    char text[32];
    KcCall call = {.plain = true,
                   .customer = "c0",
                   .priority = KC_PRIORITY_DEFAULT,
                   .method = "POST",
                   .path = "/plain/do",
                   .content_type = "text/plain"};

    caller->is_plain = true;
    caller->key_number = key;
    if (key != 0) {
        snprintf(text, sizeof(text), "key-%u", key);
        call.idempotency_key = text;
    }
    call.body.data = body;
    call.body.size =
        (size_t)snprintf(body, sizeof(body), "%u", caller->number);
    submit_call(caller, &call);
    return caller;
}

void
World_AbandonCall(WorldCaller *caller)
{
    KcRequest *request = caller->request;

    if (request == NULL || !is_reachable(caller->entry) ||
        caller->is_abandoned) {
        return;
    }
    caller->is_abandoned = true;
    caller->request = NULL;
    KcEntry_Abandon(request, caller->world->now);
}

void
World_SetSlowReader(WorldCaller *caller, bool slow)
{
    caller->is_slow_reader = slow;
}
