/*
 * Fake of the object API.
 */
#include <stdlib.h>
#include <string.h>

#include "world_internal.h"

#define LATENCY (2 * KC_MS)
#define TIMEOUT (2 * KC_SECOND)
#define WATCH_WAIT (30 * KC_SECOND)
/* A delayed write takes effect this long after its caller gave up. */
#define LATE_EFFECT (3 * KC_SECOND)

typedef enum CallKind { CALL_GET, CALL_PUT, CALL_WATCH } CallKind;

struct WorldObjectCall {
    TAILQ_ENTRY(WorldObjectCall) link;
    World *world;
    WorldNode *node;
    uint64_t incarnation;
    CallKind kind;
    char name[KC_OBJECT_NAME_MAX];
    KcBuffer value;
    uint64_t expected;     /* of a put; version seen of a watch */
    KcObjectCallback done; /* NULL once answered */
    void *context;
    int code; /* of the answer */
    uint64_t version;
    bool arrived; /* it has reached the store */
    int events;   /* scheduled for it */
};

WorldObject *
WorldStore_Find(World *world, const char *name)
{
    WorldObject *object;

    HASH_FIND_STR(world->store.objects, name, object);
    return object;
}

/* ---- the life of a call ------------------------------------------------- */

static void
free_if_over(WorldObjectCall *call)
{
    if (call->done == NULL && call->events == 0) {
        TAILQ_REMOVE(&call->world->store.calls, call, link);
        KcBuffer_Clear(&call->value);
        free(call);
    }
}

static void
schedule(WorldObjectCall *call, KcTime delay, WorldNode *node,
         void (*run)(void *context), void (*drop)(void *context))
{
    World *world = call->world;

    call->events++;
    WorldSchedule_Add(world, world->now + delay, node, run, drop, call);
}

static void
drop_call_event(void *context)
{
    WorldObjectCall *call = context;

    call->events--;
    free_if_over(call);
}

/* The answer reaches the process. */
static void
give_answer(void *context)
{
    WorldObjectCall *call = context;
    KcObjectCallback done = call->done;
    KcObjectReply reply = {
        .code = call->code,
        .version = call->version,
        .value = {KcBuffer_Data(&call->value), KcBuffer_Size(&call->value)}};

    call->events--;
    call->done = NULL;
    if (done != NULL) {
        done(call->context, &reply);
    }
    free_if_over(call);
}

static void
answer(WorldObjectCall *call, int code, KcTime delay)
{
    call->code = code;
    schedule(call, delay, call->node, give_answer, drop_call_event);
}

static void
answer_with_object(WorldObjectCall *call)
{
    WorldObject *object = WorldStore_Find(call->world, call->name);

    if (object == NULL) {
        answer(call, KC_ERR_NOT_FOUND, LATENCY);
        return;
    }
    call->version = object->version;
    KcBuffer_DropFront(&call->value, KcBuffer_Size(&call->value));
    KcBuffer_Append(&call->value, KcBuffer_Data(&object->value),
                    KcBuffer_Size(&object->value));
    answer(call, 0, LATENCY);
}

/* ---- the store ---------------------------------------------------------- */

/* Answers watches that waited for a newer version. */
static void
wake_watches(World *world, const WorldObject *object)
{
    WorldObjectCall *call;
    WorldObjectCall *next;

    TAILQ_FOREACH_SAFE (call, &world->store.calls, link, next) {
        if (call->kind == CALL_WATCH && call->arrived && call->done != NULL &&
            call->code == KC_ERR_BUSY &&
            strcmp(call->name, object->name) == 0 &&
            object->version > call->expected) {
            answer_with_object(call);
        }
    }
}

int
WorldStore_Put(World *world, const char *name, KcBytes value,
               uint64_t expected)
{
    WorldObject *object = WorldStore_Find(world, name);
    uint64_t version = object != NULL ? object->version : KC_OBJECT_ABSENT;

    if (expected != KC_OBJECT_ANY && expected != version) {
        return KC_ERR_CONFLICT;
    }
    if (object == NULL) {
        object = KcMem_New(sizeof(*object));
        KcText_Copy(object->name, name, sizeof(object->name));
        HASH_ADD_STR(world->store.objects, name, object);
    }
    KcBuffer_DropFront(&object->value, KcBuffer_Size(&object->value));
    KcBuffer_Append(&object->value, value.data, value.size);
    object->version = ++world->store.versions;
    wake_watches(world, object);
    return 0;
}

static void
apply_put(WorldObjectCall *call)
{
    KcBytes value = {KcBuffer_Data(&call->value), KcBuffer_Size(&call->value)};

    call->code =
        WorldStore_Put(call->world, call->name, value, call->expected);
    if (call->code == 0) {
        call->version = WorldStore_Find(call->world, call->name)->version;
    }
}

static void
apply_late(void *context)
{
    WorldObjectCall *call = context;

    apply_put(call);
    call->events--;
    free_if_over(call);
}

static void
handle_put(WorldObjectCall *call)
{
    WorldStore *store = &call->world->store;

    store->writes++;
    if (store->delay_writes > 0) {
        store->delay_writes--;
        schedule(call, TIMEOUT + LATE_EFFECT, NULL, apply_late, NULL);
        answer(call, KC_ERR_OBJECT_API_UNAVAILABLE, TIMEOUT);
        return;
    }
    apply_put(call);
    if (store->lose_replies > 0) {
        store->lose_replies--;
        answer(call, KC_ERR_OBJECT_API_UNAVAILABLE, TIMEOUT);
        return;
    }
    answer(call, call->code, LATENCY);
}

static void
end_watch(void *context)
{
    WorldObjectCall *call = context;

    call->events--;
    if (call->done != NULL && call->code == KC_ERR_BUSY) {
        answer_with_object(call);
    }
    else {
        free_if_over(call);
    }
}

static void
handle_watch(WorldObjectCall *call)
{
    WorldObject *object = WorldStore_Find(call->world, call->name);

    if (object != NULL && object->version > call->expected) {
        answer_with_object(call);
        return;
    }
    call->code = KC_ERR_BUSY; /* waits */
    schedule(call, WATCH_WAIT, NULL, end_watch, NULL);
}

/* The call reaches the store. */
static void
arrive(void *context)
{
    WorldObjectCall *call = context;
    WorldStore *store = &call->world->store;

    call->events--;
    call->arrived = true;
    if (store->outage) {
        answer(call, KC_ERR_OBJECT_API_UNAVAILABLE, TIMEOUT);
        return;
    }
    switch (call->kind) {
    case CALL_GET:
        store->reads++;
        answer_with_object(call);
        break;
    case CALL_PUT:
        handle_put(call);
        break;
    case CALL_WATCH:
        store->reads++;
        handle_watch(call);
        break;
    }
}

/* ---- the seam ----------------------------------------------------------- */

static WorldObjectCall *
begin(void *objects, CallKind kind, const char *name, KcObjectCallback done,
      void *context)
{
    WorldNode *node = objects;
    World *world = node->world;
    WorldObjectCall *call = KcMem_New(sizeof(*call));

    call->world = world;
    call->node = node;
    call->incarnation = node->incarnation;
    call->kind = kind;
    KcText_Copy(call->name, name, sizeof(call->name));
    call->done = done;
    call->context = context;
    TAILQ_INSERT_TAIL(&world->store.calls, call, link);
    schedule(call, LATENCY + world->store.slow, NULL, arrive, NULL);
    return call;
}

static void
get(void *objects, const char *name, KcObjectCallback done, void *context)
{
    begin(objects, CALL_GET, name, done, context);
}

static void
put(void *objects, const char *name, KcBytes value, uint64_t expected,
    KcObjectCallback done, void *context)
{
    WorldObjectCall *call = begin(objects, CALL_PUT, name, done, context);

    KcBuffer_Append(&call->value, value.data, value.size);
    call->expected = expected;
}

static void
watch(void *objects, const char *name, uint64_t seen, KcObjectCallback done,
      void *context)
{
    WorldObjectCall *call = begin(objects, CALL_WATCH, name, done, context);

    call->expected = seen;
}

const KcObjectOps WorldStore_Ops = {get, put, watch};

/* ---- faults and endings ------------------------------------------------- */

void
World_SetOutage(World *world, bool outage)
{
    WorldObjectCall *call;
    WorldObjectCall *next;

    world->store.outage = outage;
    if (!outage) {
        return;
    }
    /* Watches that wait are broken off. */
    TAILQ_FOREACH_SAFE (call, &world->store.calls, link, next) {
        if (call->kind == CALL_WATCH && call->arrived && call->done != NULL &&
            call->code == KC_ERR_BUSY) {
            answer(call, KC_ERR_OBJECT_API_UNAVAILABLE, LATENCY);
        }
    }
}

void
World_LoseReplies(World *world, uint32_t count)
{
    world->store.lose_replies = count;
}

void
World_DelayWrites(World *world, uint32_t count)
{
    world->store.delay_writes = count;
}

void
World_SetSlow(World *world, KcTime delay)
{
    world->store.slow = delay;
}

void
WorldStore_NodeGone(WorldNode *node)
{
    World *world = node->world;
    KcObjectReply reply = {.code = KC_ERR_OBJECT_API_UNAVAILABLE};
    WorldObjectCall *call;
    WorldObjectCall *next;

    TAILQ_FOREACH_SAFE (call, &world->store.calls, link, next) {
        KcObjectCallback done = call->done;

        if (call->node != node || done == NULL) {
            continue;
        }
        /* The write itself is on its way; only its caller is gone. */
        call->done = NULL;
        done(call->context, &reply);
        free_if_over(call);
    }
}

void
WorldStore_Free(World *world)
{
    WorldObjectCall *call;
    WorldObject *object;
    WorldObject *next;

    while ((call = TAILQ_FIRST(&world->store.calls)) != NULL) {
        TAILQ_REMOVE(&world->store.calls, call, link);
        KcBuffer_Clear(&call->value);
        free(call);
    }
    HASH_ITER(hh, world->store.objects, object, next)
    {
        HASH_DEL(world->store.objects, object);
        KcBuffer_Clear(&object->value);
        free(object);
    }
}
