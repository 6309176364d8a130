/*
 * A stand-in for the platform's store: objects by kind and name, one counter
 * of revisions, lists in pages, watches, and the ways in which it fails.
 *
 *   standin-store ADDRESS [SEED]
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "raw.h"

#define KIND_MAX 32
#define HISTORY 4096 /* events kept */

typedef struct Object {
    TAILQ_ENTRY(Object) link;
    char kind[KIND_MAX];
    char name[KC_OBJECT_NAME_MAX];
    int64_t revision;
    json_t *spec;
} Object;

typedef struct Event {
    TAILQ_ENTRY(Event) link;
    char kind[KIND_MAX];
    int64_t revision;
    json_t *event;
} Event;

static TAILQ_HEAD(, Object) objects = TAILQ_HEAD_INITIALIZER(objects);
static TAILQ_HEAD(EventList, Event) events = TAILQ_HEAD_INITIALIZER(events);
static int64_t revision = 1;
static int64_t forgotten; /* history up to here is gone */
static int64_t event_count;
static int64_t calls;
static Raw raw;

static RawKnob knobs[] = {
    {"page", 50},   /* objects on a page */
    {"busy", 0},    /* percent of calls answered 503 */
    {"many", 0},    /* percent answered 429 */
    {"silent", 0},  /* percent never answered */
    {"drop", 0},    /* so many of the next calls are never answered */
    {"reset", 0},   /* percent reset */
    {"lost", 0},    /* percent of writes done and not answered */
    {"slow_ms", 0}, /* delay of every answer */
    {"forget", 0},  /* set to 1: the history is dropped */
    {NULL, 0},
};

/* ---- objects ------------------------------------------------------------- */

static Object *
find(const char *kind, const char *name)
{
    Object *object;

    assert(name != NULL);
    TAILQ_FOREACH (object, &objects, link) {
        if (strcmp(object->kind, kind) == 0 &&
            strcmp(object->name, name) == 0) {
            return object;
        }
    }
    return NULL;
}

static json_t *
encode(const Object *object)
{
    return json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "meta",
                     "name", object->name, "revision",
                     (json_int_t)object->revision, "created", (json_int_t)1,
                     "finalizers", "deleting", 0, "spec", object->spec,
                     "status");
}

static void
add_event(const Object *object, bool deleted)
{
    Event *event = KcMem_New(sizeof(*event));

    KcText_Copy(event->kind, object->kind, KIND_MAX);
    event->revision = revision;
    event->event = json_pack("{s:b, s:o}", "deleted", (int)deleted, "object",
                             encode(object));
    TAILQ_INSERT_TAIL(&events, event, link);
    if (++event_count > HISTORY) {
        event = TAILQ_FIRST(&events);
        forgotten = event->revision;
        TAILQ_REMOVE(&events, event, link);
        json_decref(event->event);
        free(event);
        event_count--;
    }
}

/* Kept in the order of names, as pages are. */
static Object *
insert(const char *kind, const char *name)
{
    Object *object = KcMem_New(sizeof(*object));
    Object *at;

    KcText_Copy(object->kind, kind, KIND_MAX);
    KcText_Copy(object->name, name, sizeof(object->name));
    TAILQ_FOREACH (at, &objects, link) {
        if (strcmp(at->name, name) > 0) {
            TAILQ_INSERT_BEFORE(at, object, link);
            return object;
        }
    }
    TAILQ_INSERT_TAIL(&objects, object, link);
    return object;
}

/* ---- watches ------------------------------------------------------------- */

/* A connection whose watch waits. */
typedef struct Watch {
    char kind[KIND_MAX];
    int64_t revision;
} Watch;

static void
reply_json(RawConnection *connection, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    Raw_Reply(connection, status, "Content-Type: application/json\r\n", text);
    free(text);
    json_decref(json);
}

static json_t *
events_since(const Watch *watch)
{
    json_t *list = json_array();
    const Event *event;

    TAILQ_FOREACH (event, &events, link) {
        if (event->revision > watch->revision &&
            strcmp(event->kind, watch->kind) == 0) {
            json_array_append(list, event->event);
        }
    }
    return list;
}

static void
end_watch(RawConnection *connection)
{
    Watch *watch = connection->owner;
    json_t *list = events_since(watch);

    KcTimers_Clear(raw.loop->timers, &connection->timer);
    connection->owner = NULL;
    free(watch);
    reply_json(
        connection, 200,
        json_pack("{s:o, s:I}", "events", list, "at", (json_int_t)revision));
}

static void
wake_watches(const char *kind)
{
    RawConnection *connection;
    RawConnection *next;

    TAILQ_FOREACH_SAFE (connection, &raw.connections, link, next) {
        const Watch *watch = connection->owner;

        if (watch != NULL && strcmp(watch->kind, kind) == 0) {
            end_watch(connection);
        }
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    end_watch(timer->owner);
}

static void
gone(RawConnection *connection)
{
    free(connection->owner);
    connection->owner = NULL;
}

static void
begin_watch(RawConnection *connection, const char *kind, int64_t since)
{
    Watch *watch = KcMem_New(sizeof(*watch));
    json_t *list;

    KcText_Copy(watch->kind, kind, KIND_MAX);
    watch->revision = since;
    connection->owner = watch;
    list = events_since(watch);
    if (json_array_size(list) > 0) {
        end_watch(connection);
    }
    else {
        KcTimers_Set(raw.loop->timers, &connection->timer,
                     KcLoop_Now() +
                         Raw_Query(connection, "wait_ms", 0) * KC_MS);
    }
    json_decref(list);
}

/* ---- calls --------------------------------------------------------------- */

static void
list(RawConnection *connection, const char *kind)
{
    json_t *items = json_array();
    char after[KC_OBJECT_NAME_MAX];
    const Object *object;
    bool more = false;

    Raw_QueryText(connection, "after", after, sizeof(after));
    TAILQ_FOREACH (object, &objects, link) {
        if (strcmp(object->kind, kind) != 0 ||
            strcmp(object->name, after) <= 0) {
            continue;
        }
        if ((int64_t)json_array_size(items) == Raw_Knob(&raw, "page")) {
            more = true;
            break;
        }
        json_array_append_new(items, encode(object));
    }
    reply_json(connection, 200,
               json_pack("{s:o, s:b, s:I}", "items", items, "has_more",
                         (int)more, "at", (json_int_t)revision));
}

static void
read_kind(RawConnection *connection, const char *kind)
{
    int64_t since = Raw_Query(connection, "watch", -1);

    if (Raw_Knob(&raw, "forget") != 0) {
        forgotten = revision;
        Raw_SetKnob(&raw, "forget", 0);
    }
    if (since < 0) {
        list(connection, kind);
    }
    else if (since < forgotten) {
        Raw_Reply(connection, 410, "", "{\"error\":\"history is gone\"}");
    }
    else {
        begin_watch(connection, kind, since);
    }
}

/* Replaces or creates an object.  lost: it is done and not answered. */
static void
write_object(RawConnection *connection, const char *kind, const char *name)
{
    json_t *body = json_loads(KcBuffer_Data(&connection->body), 0, NULL);
    json_t *meta = json_object_get(body, "meta");
    bool create = strcmp(connection->message->method, "POST") == 0;
    const char *own =
        create ? json_string_value(json_object_get(meta, "name")) : name;
    json_t *expected = json_object_get(meta, "revision");
    Object *object;
    bool lost = Raw_Chance(&raw, "lost");

    if (own == NULL || json_object_get(body, "spec") == NULL) {
        Raw_Reply(connection, 400, "", "{\"error\":\"meta or spec\"}");
        json_decref(body);
        return;
    }
    object = find(kind, own);
    if ((create && object != NULL) ||
        (object != NULL && json_is_integer(expected) &&
         json_integer_value(expected) != object->revision)) {
        reply_json(connection, 409, encode(object));
        json_decref(body);
        return;
    }
    if (!create && object == NULL) {
        Raw_Reply(connection, 404, "", "{}");
        json_decref(body);
        return;
    }
    if (object == NULL) {
        object = insert(kind, own);
    }
    if (object->spec == NULL ||
        !json_equal(object->spec, json_object_get(body, "spec"))) {
        json_decref(object->spec);
        object->spec = json_incref(json_object_get(body, "spec"));
        object->revision = ++revision;
        add_event(object, false);
    }
    json_decref(body);
    if (!lost) {
        reply_json(connection, 200, encode(object));
    }
    wake_watches(kind);
}

static void
delete_object(RawConnection *connection, const char *kind, const char *name)
{
    Object *object = find(kind, name);

    if (object == NULL) {
        Raw_Reply(connection, 404, "", "{}");
        return;
    }
    object->revision = ++revision;
    add_event(object, true);
    TAILQ_REMOVE(&objects, object, link);
    json_decref(object->spec);
    free(object);
    Raw_Reply(connection, 200, "", "{}");
    wake_watches(kind);
}

static void
read_object(RawConnection *connection, const char *kind, const char *name)
{
    const Object *object = find(kind, name);

    if (object == NULL) {
        Raw_Reply(connection, 404, "", "{}");
        return;
    }
    reply_json(connection, 200, encode(object));
}

/* Faults before the call is looked at.  True when it is dealt with. */
static bool
fail(RawConnection *connection)
{
    if (Raw_Chance(&raw, "silent")) {
        return true;
    }
    if (Raw_Knob(&raw, "drop") > 0) {
        Raw_SetKnob(&raw, "drop", Raw_Knob(&raw, "drop") - 1);
        return true;
    }
    if (Raw_Chance(&raw, "reset")) {
        Raw_Reset(connection);
        return true;
    }
    if (Raw_Chance(&raw, "busy")) {
        Raw_Reply(connection, 503, "", "{}");
        return true;
    }
    if (Raw_Chance(&raw, "many")) {
        Raw_Reply(connection, 429, "", "{}");
        return true;
    }
    return false;
}

static void
on_request(RawConnection *connection)
{
    const char *method = connection->message->method;
    char path[KC_OBJECT_NAME_MAX + KIND_MAX];
    char *kind = path + strlen("/objects/");
    char *name;

    calls++;
    KcText_Copy(path, connection->message->target, sizeof(path));
    path[strcspn(path, "?")] = '\0';
    if (strncmp(path, "/objects/", strlen("/objects/")) != 0) {
        Raw_Reply(connection, 404, "", "{}");
        return;
    }
    if (strcmp(Raw_Header(connection, "X-Standin"), "") == 0 &&
        fail(connection)) {
        return;
    }
    name = strchr(kind, '/');
    if (name != NULL) {
        *name++ = '\0';
    }
    if (strcmp(method, "GET") == 0 && name == NULL) {
        read_kind(connection, kind);
    }
    else if (strcmp(method, "GET") == 0) {
        read_object(connection, kind, name);
    }
    else if (strcmp(method, "DELETE") == 0 && name != NULL) {
        delete_object(connection, kind, name);
    }
    else {
        write_object(connection, kind, name);
    }
}

static void
add_state(json_t *state)
{
    json_object_set_new(state, "calls", json_integer(calls));
    json_object_set_new(state, "revision", json_integer(revision));
}

static const RawOptions options = {knobs, on_request, gone, add_state,
                                   on_timer};

int
main(int argc, char **argv)
{
    if (argc < 2) {
        fprintf(stderr, "standin-store ADDRESS [SEED]\n");
        return 2;
    }
    Raw_Init(&raw, &options, argv[1],
             argc > 2 ? strtoull(argv[2], NULL, 10) : 1);
    Raw_Run(&raw);
    return 0;
}
