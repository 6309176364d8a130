/*
 * Fake of the object API: versioned objects with conditional writes and
 * watches.
 */
#include <stdlib.h>
#include <string.h>

#include "world_internal.h"

#define STORE_LATENCY (2 * KC_MS)
#define CALL_TIMEOUT (2 * KC_SECOND)
#define WATCH_TIMEOUT (30 * KC_SECOND)
/* A delayed write takes effect this long after its caller's timeout. */
#define LATE_WRITE_DELAY (3 * KC_SECOND)

typedef enum CallKind { CALL_GET, CALL_PUT, CALL_WATCH } CallKind;

/* A call to the object API, from its submission to its last event. */
struct WorldObjectCall {
    TAILQ_ENTRY(WorldObjectCall) link;
    World *world;
    WorldNode *node;
    uint64_t incarnation;
    CallKind kind;
    char name[KC_OBJECT_NAME_MAX];
    KcBuffer value;
    uint64_t expected_version; /* of a put; known version of a watch */
    KcObjectCallback on_reply; /* NULL once called */
    void *context;
    int reply_code; /* KC_ERR_BUSY while a watch waits */
    uint64_t reply_version;
    bool has_arrived;   /* at the store */
    int pending_events; /* the call is freed after the last one */
};

WorldObject *
WorldStore_Find(World *world, const char *name)
{
    WorldObject *object;

    HASH_FIND_STR(world->store.objects, name, object);
    return object;
}

/* ---- calls and their replies -------------------------------------------- */

static void
free_if_ended(WorldObjectCall *call)
{
    if (call->on_reply == NULL && call->pending_events == 0) {
        TAILQ_REMOVE(&call->world->store.calls, call, link);
        KcBuffer_Clear(&call->value);
        free(call);
    }
}

static void
schedule_call_event(WorldObjectCall *call, KcTime delay, WorldNode *node,
                    void (*on_due)(void *context),
                    void (*on_drop)(void *context))
{
    World *world = call->world;

    call->pending_events++;
    WorldSchedule_Add(world, world->now + delay, node, on_due, on_drop, call);
}

static void
discard_call_event(void *context)
{
    WorldObjectCall *call = context;

    call->pending_events--;
    free_if_ended(call);
}

/* The reply reaches the process. */
static void
deliver_reply(void *context)
{
    WorldObjectCall *call = context;
    KcObjectCallback on_reply = call->on_reply;
    KcObjectReply reply = {
        .code = call->reply_code,
        .version = call->reply_version,
        .value = {KcBuffer_Data(&call->value), KcBuffer_Size(&call->value)}};

    call->pending_events--;
    call->on_reply = NULL;
    if (on_reply != NULL) {
        on_reply(call->context, &reply);
    }
    free_if_ended(call);
}

static void
schedule_reply(WorldObjectCall *call, int code, KcTime delay)
{
    call->reply_code = code;
    schedule_call_event(call, delay, call->node, deliver_reply,
                        discard_call_event);
}

static void
reply_with_object(WorldObjectCall *call)
{
    WorldObject *object = WorldStore_Find(call->world, call->name);

    if (object == NULL) {
        schedule_reply(call, KC_ERR_NOT_FOUND, STORE_LATENCY);
        return;
    }
    call->reply_version = object->version;
    KcBuffer_DropFront(&call->value, KcBuffer_Size(&call->value));
    KcBuffer_Append(&call->value, KcBuffer_Data(&object->value),
                    KcBuffer_Size(&object->value));
    schedule_reply(call, 0, STORE_LATENCY);
}

/* ---- the store ---------------------------------------------------------- */

/* Replies to the watches that wait for a newer version of the object. */
static void
reply_to_watches(World *world, const WorldObject *object)
{
    WorldObjectCall *call;
    WorldObjectCall *next;

    TAILQ_FOREACH_SAFE (call, &world->store.calls, link, next) {
        if (call->kind == CALL_WATCH && call->has_arrived &&
            call->on_reply != NULL && call->reply_code == KC_ERR_BUSY &&
            strcmp(call->name, object->name) == 0 &&
            object->version > call->expected_version) {
            reply_with_object(call);
        }
    }
}

int
WorldStore_Put(World *world, const char *name, KcBytes value,
               uint64_t expected_version)
{
    WorldObject *object = WorldStore_Find(world, name);
    uint64_t version = object != NULL ? object->version : KC_OBJECT_ABSENT;

    if (expected_version != KC_OBJECT_ANY && expected_version != version) {
        return KC_ERR_CONFLICT;
    }
    if (object == NULL) {
        object = KcMem_New(sizeof(*object));
        KcText_Copy(object->name, name, sizeof(object->name));
        HASH_ADD_STR(world->store.objects, name, object);
    }
    KcBuffer_DropFront(&object->value, KcBuffer_Size(&object->value));
    KcBuffer_Append(&object->value, value.data, value.size);
    object->version = ++world->store.last_version;
    reply_to_watches(world, object);
    return 0;
}

static void
apply_put(WorldObjectCall *call)
{
    KcBytes value = {KcBuffer_Data(&call->value), KcBuffer_Size(&call->value)};

    call->reply_code =
        WorldStore_Put(call->world, call->name, value, call->expected_version);
    if (call->reply_code == 0) {
        call->reply_version =
            WorldStore_Find(call->world, call->name)->version;
    }
}

static void
apply_late_put(void *context)
{
    WorldObjectCall *call = context;

    apply_put(call);
    call->pending_events--;
    free_if_ended(call);
}

static void
handle_put(WorldObjectCall *call)
{
    WorldStore *store = &call->world->store;

    store->writes++;
    if (store->writes_to_delay > 0) {
        store->writes_to_delay--;
        schedule_call_event(call, CALL_TIMEOUT + LATE_WRITE_DELAY, NULL,
                            apply_late_put, NULL);
        schedule_reply(call, KC_ERR_OBJECT_API_UNAVAILABLE, CALL_TIMEOUT);
        return;
    }
    apply_put(call);
    if (store->replies_to_lose > 0) {
        store->replies_to_lose--;
        schedule_reply(call, KC_ERR_OBJECT_API_UNAVAILABLE, CALL_TIMEOUT);
        return;
    }
    schedule_reply(call, call->reply_code, STORE_LATENCY);
}

static void
on_watch_timeout(void *context)
{
    WorldObjectCall *call = context;

    call->pending_events--;
    if (call->on_reply != NULL && call->reply_code == KC_ERR_BUSY) {
        reply_with_object(call);
    }
    else {
        free_if_ended(call);
    }
}

static void
handle_watch(WorldObjectCall *call)
{
    WorldObject *object = WorldStore_Find(call->world, call->name);

    if (object != NULL && object->version > call->expected_version) {
        reply_with_object(call);
        return;
    }
    call->reply_code = KC_ERR_BUSY; /* waits for a newer version */
    schedule_call_event(call, WATCH_TIMEOUT, NULL, on_watch_timeout, NULL);
}

/* The call reaches the store. */
static void
on_call_arrived(void *context)
{
    WorldObjectCall *call = context;
    WorldStore *store = &call->world->store;

    call->pending_events--;
    call->has_arrived = true;
    if (store->outage) {
        schedule_reply(call, KC_ERR_OBJECT_API_UNAVAILABLE, CALL_TIMEOUT);
        return;
    }
    switch (call->kind) {
    case CALL_GET:
        store->reads++;
        reply_with_object(call);
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

/* ---- functions of KcObjectOps ------------------------------------------- */

static WorldObjectCall *
begin_call(void *objects, CallKind kind, const char *name,
           KcObjectCallback on_reply, void *context)
{
    WorldNode *node = objects;
    World *world = node->world;
    WorldObjectCall *call = KcMem_New(sizeof(*call));

    call->world = world;
    call->node = node;
    call->incarnation = node->incarnation;
    call->kind = kind;
    KcText_Copy(call->name, name, sizeof(call->name));
    call->on_reply = on_reply;
    call->context = context;
    TAILQ_INSERT_TAIL(&world->store.calls, call, link);
    schedule_call_event(call, STORE_LATENCY + world->store.delay, NULL,
                        on_call_arrived, NULL);
    return call;
}

static void
get_object(void *objects, const char *name, KcObjectCallback on_reply,
           void *context)
{
    begin_call(objects, CALL_GET, name, on_reply, context);
}

static void
put_object(void *objects, const char *name, KcBytes value,
           uint64_t expected_version, KcObjectCallback on_reply, void *context)
{
    WorldObjectCall *call =
        begin_call(objects, CALL_PUT, name, on_reply, context);

    KcBuffer_Append(&call->value, value.data, value.size);
    call->expected_version = expected_version;
}

static void
watch_object(void *objects, const char *name, uint64_t known_version,
             KcObjectCallback on_reply, void *context)
{
    WorldObjectCall *call =
        begin_call(objects, CALL_WATCH, name, on_reply, context);

    call->expected_version = known_version;
}

const KcObjectOps WorldStore_Ops = {get_object, put_object, watch_object};

/* ---- faults and freeing ------------------------------------------------- */

void
World_SetStoreOutage(World *world, bool outage)
{
    WorldObjectCall *call;
    WorldObjectCall *next;

    world->store.outage = outage;
    if (!outage) {
        return;
    }
    /* Waiting watches fail. */
    TAILQ_FOREACH_SAFE (call, &world->store.calls, link, next) {
        if (call->kind == CALL_WATCH && call->has_arrived &&
            call->on_reply != NULL && call->reply_code == KC_ERR_BUSY) {
            schedule_reply(call, KC_ERR_OBJECT_API_UNAVAILABLE, STORE_LATENCY);
        }
    }
}

void
World_LoseStoreReplies(World *world, uint32_t count)
{
    world->store.replies_to_lose = count;
}

void
World_DelayStoreWrites(World *world, uint32_t count)
{
    world->store.writes_to_delay = count;
}

void
World_SetStoreDelay(World *world, KcTime delay)
{
    world->store.delay = delay;
}

void
WorldStore_NodeGone(WorldNode *node)
{
    World *world = node->world;
    KcObjectReply reply = {.code = KC_ERR_OBJECT_API_UNAVAILABLE};
    WorldObjectCall *call;
    WorldObjectCall *next;

    TAILQ_FOREACH_SAFE (call, &world->store.calls, link, next) {
        KcObjectCallback on_reply = call->on_reply;

        if (call->node != node || on_reply == NULL) {
            continue;
        }
        /* A write that was sent still takes effect. */
        call->on_reply = NULL;
        on_reply(call->context, &reply);
        free_if_ended(call);
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
