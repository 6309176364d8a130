/*
 * Callers: what they ask and what they see.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world_internal.h"

/* A slow reader takes its answer this late. */
#define READER_DELAY (400 * KC_MS)

size_t
WorldCaller_Token(const char *model, uint32_t number, uint32_t index,
                  char *text, size_t size)
{
    return (size_t)snprintf(text, size, " %s/%u.%u", model, number, index);
}

size_t
WorldCaller_Piece(uint32_t number, uint32_t index, char *text, size_t size)
{
    return (size_t)snprintf(text, size, "done %u, piece %u %-30s", number,
                            index, ".");
}

void
WorldCaller_Expected(const WorldCaller *caller, KcBuffer *text)
{
    char model[KC_ADAPTER_REF_TEXT_SIZE];
    char token[160];

    if (caller->plain) {
        for (uint32_t i = 0; i < WORLD_PLAIN_PIECES; i++) {
            size_t length =
                WorldCaller_Piece(caller->number, i, token, sizeof(token));

            KcBuffer_Append(text, token, length);
        }
        return;
    }
    KcAdapterRef_Format(&caller->model, model);
    for (uint32_t i = 0; i < caller->world->options.tokens; i++) {
        size_t length =
            WorldCaller_Token(model, caller->number, i, token, sizeof(token));

        KcBuffer_Append(text, token, length);
    }
}

WorldCaller *
WorldCaller_Find(World *world, uint32_t number)
{
    assert(number < world->caller_count);
    return world->caller_index[number];
}

/* ---- what a caller sees ------------------------------------------------- */

static void
on_started(void *context, KcRequest *request, const KcMsgStarted *head)
{
    WorldCaller *caller = context;
    KcAdapterRef model;

    caller->request = request;
    caller->started = true;
    caller->first_byte = caller->world->now;
    KcText_Copy(model.adapter, head->adapter, KC_NAME_MAX);
    model.version = head->version;
    KcAdapterRef_Format(&model, caller->answered_by);
}

static void
take(void *context)
{
    WorldCaller *caller = context;

    if (caller->request != NULL && !caller->abandoned) {
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
    KcBuffer_Append(&caller->received, bytes.data, bytes.size);
    if (caller->slow) {
        WorldSchedule_Add(world, world->now + READER_DELAY, caller->entry,
                          take, NULL, caller);
        return;
    }
    KcEntry_AcknowledgeConsumed(request, request->delivered_bytes, world->now);
}

static void
on_finished(void *context, const KcResult *result)
{
    WorldCaller *caller = context;

    caller->request = NULL;
    if (caller->lost) {
        return;
    }
    assert(!caller->finished);
    caller->finished = true;
    caller->outcome = result->outcome;
    caller->code = result->error.code;
    caller->duplicate = result->is_duplicate;
    caller->earlier = result->earlier_mark;
    caller->ended = caller->world->now;
}

static const KcCallerOps caller_ops = {on_started, on_data, on_finished};

/* ---- calling ------------------------------------------------------------ */

static WorldCaller *
new_caller(WorldNode *entry)
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

/* A frozen or dead entry takes no calls: the caller sees no connection. */
static bool
reachable(WorldNode *entry)
{
    return entry->alive && !entry->paused;
}

static void
submit(WorldCaller *caller, const KcCall *call)
{
    WorldNode *entry = caller->entry;
    KcRequest *request;

    if (!reachable(entry)) {
        caller->lost = true;
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
    WorldCaller *caller = new_caller(entry);
    char model[KC_ADAPTER_REF_TEXT_SIZE];
    char body[32];
    char customer[32];
    KcCall call = {.model = model,
                   .customer = customer,
                   .priority = priority,
                   .method = "POST",
                   .path = "/v1/completions",
                   .content_type = "text/plain"};

    snprintf(caller->model.adapter, KC_NAME_MAX, "a%u", adapter);
    caller->model.version = version;
    KcAdapterRef_Format(&caller->model, model);
    snprintf(customer, sizeof(customer), "c%u", adapter);
    call.body.data = body;
    call.body.size =
        (size_t)snprintf(body, sizeof(body), "%u", caller->number);
    submit(caller, &call);
    return caller;
}

WorldCaller *
World_CallPlain(WorldNode *entry, uint32_t key)
{
    WorldCaller *caller = new_caller(entry);
    char body[32];
    char text[32];
    KcCall call = {.plain = true,
                   .customer = "c0",
                   .priority = KC_PRIORITY_DEFAULT,
                   .method = "POST",
                   .path = "/plain/do",
                   .content_type = "text/plain"};

    caller->plain = true;
    caller->key = key;
    if (key != 0) {
        snprintf(text, sizeof(text), "key-%u", key);
        call.idempotency_key = text;
    }
    call.body.data = body;
    call.body.size =
        (size_t)snprintf(body, sizeof(body), "%u", caller->number);
    submit(caller, &call);
    return caller;
}

void
World_Abandon(WorldCaller *caller)
{
    KcRequest *request = caller->request;

    if (request == NULL || !reachable(caller->entry) || caller->abandoned) {
        return;
    }
    caller->abandoned = true;
    caller->request = NULL;
    KcEntry_Abandon(request, caller->world->now);
}

void
World_SetSlowReader(WorldCaller *caller, bool slow)
{
    caller->slow = slow;
}
