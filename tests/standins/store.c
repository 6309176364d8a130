/*
 * Stand-in for the users' platform's store: collections of objects by name,
 * one revision counter for all, lists in pages, watches, and injected faults.
 *
 *   standin-store ADDRESS [SEED]
 *
 *   PUT /raw/COLLECTION/NAME   creates or replaces an object whose value is
 * the body as it is, also if that is not valid JSON
 *   PUT /copy                  makes a copy of the store
 *   PUT /restore?away_ms=T     the store is away for so long, if not 0, and
 * comes back from the copy, in a later era
 */
#include <assert.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "raw_server.h"
#include "store_objects.h"

#define COLLECTION_MAX STORE_COLLECTION_MAX
#define OBJECTS_PREFIX "/objects/"
#define RAW_PREFIX "/raw/"
#define HISTORY_EVENTS_MAX 4096

/* The text of a value that is sent as it is. */
typedef struct RawValue {
    TAILQ_ENTRY(RawValue) link;
    int number; /* in the text that stands for it, see RAW_VALUE_FORMAT */
    char *text;
} RawValue;

/* Stands for a raw value in the JSON of an object. */
#define RAW_VALUE_FORMAT "@raw%d@"

/* A change of an object, as watches report it. */
typedef struct Event {
    TAILQ_ENTRY(Event) link;
    char collection[COLLECTION_MAX];
    int64_t revision;
    json_t *json;
} Event;

static struct StoreObjectList objects = TAILQ_HEAD_INITIALIZER(objects);
static struct StoreObjectList copied_objects =
    TAILQ_HEAD_INITIALIZER(copied_objects);
static TAILQ_HEAD(EventList, Event) events = TAILQ_HEAD_INITIALIZER(events);
static TAILQ_HEAD(, RawValue) raw_values = TAILQ_HEAD_INITIALIZER(raw_values);
static int raw_value_count;
static int64_t last_revision = 1;
static int64_t copied_revision = 1;
static int64_t era = 1;   /* rises when the store is restored from the copy */
static KcTime away_until; /* no call is answered until then */
static int64_t trimmed_revision; /* events up to it are no longer kept */
static int64_t event_count;
static int64_t call_count;
static RawServer server;

static RawKnob knobs[] = {
    {"page", 50},        /* objects on a page */
    {"busy", 0},         /* percent of calls answered 503 */
    {"many", 0},         /* percent of calls answered 429 */
    {"faulty_calls", 0}, /* number of the next calls that busy, many and reset
                          * may hit; 0: any number, -1: no further call */
    {"silent", 0},       /* percent of calls never answered */
    {"dead_watch", 0},   /* number in watched_collections, from 1, of the one
                          * whose next watch is never answered; then 0 */
    {"drop", 0},         /* number of the next calls that are never answered */
    {"reset", 0},        /* percent of calls whose connection is reset */
    {"lost", 0},         /* percent of writes that take effect unanswered */
    {"slow_ms", 0},      /* not used */
    {"endless", 0},      /* percent of calls answered by bytes without end */
    {"endless_kind", 0}, /* pattern of endless.c; 0: any */
    {"forget", 0}, /* 1: the next list or watch drops the history first */
    {NULL, 0},
};

/* ---- objects ------------------------------------------------------------- */

/* Encodes an object as the store's JSON; the caller drops the reference. */
static json_t *
encode_object(const StoreObject *object)
{
    return json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "meta",
                     "name", object->name, "revision",
                     (json_int_t)object->revision, "created", (json_int_t)1,
                     "finalizers", "deleting", 0, "spec", object->spec,
                     "status");
}

/* Adds an event to the history; the oldest goes when it is full. */
static void
add_event(const StoreObject *object, bool deleted)
{
    Event *event = KcMem_New(sizeof(*event));

    KcText_Copy(event->collection, object->collection, COLLECTION_MAX);
    event->revision = last_revision;
    event->json = json_pack("{s:b, s:o}", "deleted", (int)deleted, "object",
                            encode_object(object));
    TAILQ_INSERT_TAIL(&events, event, link);
    if (++event_count > HISTORY_EVENTS_MAX) {
        event = TAILQ_FIRST(&events);
        trimmed_revision = event->revision;
        TAILQ_REMOVE(&events, event, link);
        json_decref(event->json);
        free(event);
        event_count--;
    }
}

/* ---- watches ------------------------------------------------------------- */

/* The request state of a connection whose watch isn't answered yet. */
typedef struct Watch {
    char collection[COLLECTION_MAX];
    int64_t since_revision; /* later events are reported */
} Watch;

/* Replaces what stands for a raw value by its text; frees the old text. */
static char *
insert_raw_value(char *text, const RawValue *value)
{
    char placeholder[32];
    char *at;

    snprintf(placeholder, sizeof(placeholder), "\"" RAW_VALUE_FORMAT "\"",
             value->number);
    while ((at = strstr(text, placeholder)) != NULL) {
        size_t size = strlen(text) + strlen(value->text) + 1;
        char *longer = KcMem_New(size);

        snprintf(longer, size, "%.*s%s%s", (int)(at - text), text, value->text,
                 at + strlen(placeholder));
        free(text);
        text = longer;
    }
    return text;
}

static void
reply_text(RawConnection *connection, int status, const char *text)
{
    char headers[128];

    snprintf(headers, sizeof(headers),
             "Content-Type: application/json\r\nStore-Era: %" PRId64 "\r\n",
             era);
    RawConnection_Reply(connection, status, headers, text);
}

static void
reply_json(RawConnection *connection, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    const RawValue *value;

    TAILQ_FOREACH (value, &raw_values, link) {
        text = insert_raw_value(text, value);
    }
    reply_text(connection, status, text);
    free(text);
    json_decref(json);
}

/* Returns the events of a watch's collection so far; the caller drops the
 * reference. */
static json_t *
encode_events_since(const Watch *watch)
{
    json_t *events_json = json_array();
    const Event *event;

    TAILQ_FOREACH (event, &events, link) {
        if (event->revision > watch->since_revision &&
            strcmp(event->collection, watch->collection) == 0) {
            json_array_append(events_json, event->json);
        }
    }
    return events_json;
}

/* Answers a watch with its events, which may be none. */
static void
answer_watch(RawConnection *connection)
{
    Watch *watch = connection->request_state;
    json_t *events_json = encode_events_since(watch);

    KcTimers_Clear(server.loop->timers, &connection->timer);
    connection->request_state = NULL;
    free(watch);
    reply_json(connection, 200,
               json_pack("{s:o, s:I}", "events", events_json, "at",
                         (json_int_t)last_revision));
}

static void
answer_watches(const char *collection)
{
    RawConnection *connection;
    RawConnection *next;

    TAILQ_FOREACH_SAFE (connection, &server.connections, link, next) {
        const Watch *watch = connection->request_state;

        if (watch != NULL && strcmp(watch->collection, collection) == 0) {
            answer_watch(connection);
        }
    }
}

static void
on_watch_timeout(KcTimer *timer, KcTime now)
{
    (void)now;
    answer_watch(timer->owner);
}

static void
on_connection_lost(RawConnection *connection)
{
    free(connection->request_state);
    connection->request_state = NULL;
}

static const char *const watched_collections[] = {"config", "versions",
                                                  "servers"};

/* Whether this is the watch that the knob dead_watch names. */
static bool
is_dead_watch(const char *collection)
{
    int64_t number = RawServer_GetKnob(&server, "dead_watch");

    if (number == 0 ||
        strcmp(collection, watched_collections[number - 1]) != 0) {
        return false;
    }
    RawServer_SetKnob(&server, "dead_watch", 0);
    return true;
}

static void
start_watch(RawConnection *connection, const char *collection,
            int64_t since_revision)
{
    Watch *watch;
    json_t *events_json;

    if (is_dead_watch(collection)) {
        return;
    }
    watch = KcMem_New(sizeof(*watch));
    KcText_Copy(watch->collection, collection, COLLECTION_MAX);
    watch->since_revision = since_revision;
    connection->request_state = watch;
    events_json = encode_events_since(watch);
    if (json_array_size(events_json) > 0) {
        answer_watch(connection);
    }
    else {
        KcTimers_Set(server.loop->timers, &connection->timer,
                     KcLoop_Now() + RawConnection_FindQueryNumber(
                                        connection, "wait_ms", 0) *
                                        KC_MS);
    }
    json_decref(events_json);
}

/* ---- calls --------------------------------------------------------------- */

/* Replies with one page of a collection. */
static void
reply_list(RawConnection *connection, const char *collection)
{
    json_t *items = json_array();
    char after[KC_OBJECT_NAME_MAX];
    const StoreObject *object;
    bool has_more = false;

    RawConnection_CopyQueryText(connection, "after", after, sizeof(after));
    TAILQ_FOREACH (object, &objects, link) {
        if (strcmp(object->collection, collection) != 0 ||
            strcmp(object->name, after) <= 0) {
            continue;
        }
        if ((int64_t)json_array_size(items) ==
            RawServer_GetKnob(&server, "page")) {
            has_more = true;
            break;
        }
        json_array_append_new(items, encode_object(object));
    }
    reply_json(connection, 200,
               json_pack("{s:o, s:b, s:I}", "items", items, "has_more",
                         (int)has_more, "at", (json_int_t)last_revision));
}

/* Lists a collection, or watches it when the query has the argument watch. */
static void
read_collection(RawConnection *connection, const char *collection)
{
    int64_t since_revision =
        RawConnection_FindQueryNumber(connection, "watch", -1);

    if (RawServer_GetKnob(&server, "forget") != 0) {
        trimmed_revision = last_revision;
        RawServer_SetKnob(&server, "forget", 0);
    }
    if (since_revision < 0) {
        reply_list(connection, collection);
    }
    else if (since_revision < trimmed_revision ||
             since_revision > last_revision) {
        reply_text(connection, 410,
                   "{\"error\":\"revision is not in the history\"}");
    }
    else {
        start_watch(connection, collection, since_revision);
    }
}

/* Decodes a part of a path in place. */
static void
decode_in_place(char *text)
{
    char *decoded = evhttp_uridecode(text, 0, NULL);

    KcText_Copy(text, decoded, strlen(text) + 1);
    free(decoded);
}

/* Calls of other stand-ins and of tests have no faults. */
static bool
is_subject_to_faults(const RawConnection *connection)
{
    return RawConnection_FindHeader(connection, "X-Standin")[0] == '\0';
}

/* Replaces (PUT) or creates (POST) an object. */
static void
write_object(RawConnection *connection, const char *collection,
             const char *name)
{
    json_t *body = json_loads(KcBuffer_Data(&connection->body), 0, NULL);
    json_t *meta = json_object_get(body, "meta");
    bool create = strcmp(connection->message->method, "POST") == 0;
    const char *object_name =
        create ? json_string_value(json_object_get(meta, "name")) : name;
    json_t *expected_revision = json_object_get(meta, "revision");
    StoreObject *object;
    bool reply_lost = is_subject_to_faults(connection) &&
                      RawServer_DrawFault(&server, "lost");

    if (object_name == NULL || json_object_get(body, "spec") == NULL) {
        reply_text(connection, 400,
                   "{\"error\":\"meta.name or spec is missing\"}");
        json_decref(body);
        return;
    }
    object = StoreObjects_Find(&objects, collection, object_name);
    if ((create && object != NULL) ||
        (object != NULL && json_is_integer(expected_revision) &&
         json_integer_value(expected_revision) != object->revision)) {
        reply_json(connection, 409, encode_object(object));
        json_decref(body);
        return;
    }
    if (!create && object == NULL) {
        reply_text(connection, 404, "{}");
        json_decref(body);
        return;
    }
    if (object == NULL) {
        object = StoreObjects_Insert(&objects, collection, object_name);
    }
    if (object->spec == NULL ||
        !json_equal(object->spec, json_object_get(body, "spec"))) {
        json_decref(object->spec);
        object->spec = json_incref(json_object_get(body, "spec"));
        object->revision = ++last_revision;
        add_event(object, false);
    }
    json_decref(body);
    if (!reply_lost) {
        reply_json(connection, 200, encode_object(object));
    }
    answer_watches(collection);
}

/* Creates or replaces an object whose value is the body of the request. */
static void
write_raw_object(RawConnection *connection, const char *collection,
                 const char *name)
{
    StoreObject *object = StoreObjects_Find(&objects, collection, name);
    RawValue *value = KcMem_New(sizeof(*value));

    value->number = raw_value_count++;
    value->text = strdup(KcBuffer_Data(&connection->body));
    TAILQ_INSERT_TAIL(&raw_values, value, link);
    if (object == NULL) {
        object = StoreObjects_Insert(&objects, collection, name);
    }
    json_decref(object->spec);
    object->spec = json_sprintf(RAW_VALUE_FORMAT, value->number);
    object->revision = ++last_revision;
    add_event(object, false);
    reply_text(connection, 200, "{}");
    answer_watches(collection);
}

static void
delete_object(RawConnection *connection, const char *collection,
              const char *name)
{
    StoreObject *object = StoreObjects_Find(&objects, collection, name);

    if (object == NULL) {
        reply_text(connection, 404, "{}");
        return;
    }
    object->revision = ++last_revision;
    add_event(object, true);
    StoreObjects_Remove(&objects, object);
    reply_text(connection, 200, "{}");
    answer_watches(collection);
}

static void
read_object(RawConnection *connection, const char *collection,
            const char *name)
{
    const StoreObject *object = StoreObjects_Find(&objects, collection, name);

    if (object == NULL) {
        reply_text(connection, 404, "{}");
        return;
    }
    reply_json(connection, 200, encode_object(object));
}

/* ---- restoring from a copy ----------------------------------------------- */

static void
make_copy(RawConnection *connection)
{
    StoreObjects_Copy(&copied_objects, &objects);
    copied_revision = last_revision;
    reply_text(connection, 200, "{}");
}

/* Drops the history that the copy does not have. */
static void
drop_later_events(void)
{
    Event *event;

    while ((event = TAILQ_LAST(&events, EventList)) != NULL &&
           event->revision > copied_revision) {
        TAILQ_REMOVE(&events, event, link);
        json_decref(event->json);
        free(event);
        event_count--;
    }
}

static void
reset_watches(void)
{
    RawConnection *connection;
    RawConnection *next;

    TAILQ_FOREACH_SAFE (connection, &server.connections, link, next) {
        if (connection->request_state != NULL) {
            RawConnection_Reset(connection);
        }
    }
}

/* Watches that wait go on if the store is not away: no call shows them the
 * new era. */
static void
restore_copy(RawConnection *connection)
{
    KcTime away =
        RawConnection_FindQueryNumber(connection, "away_ms", 0) * KC_MS;

    StoreObjects_Copy(&objects, &copied_objects);
    last_revision = copied_revision;
    drop_later_events();
    era++;
    reply_text(connection, 200, "{}");
    if (away > 0) {
        away_until = KcLoop_Now() + away;
        reset_watches();
    }
}

static const struct {
    const char *path;
    void (*handle)(RawConnection *connection);
} operations[] = {{"/copy", make_copy}, {"/restore", restore_copy}};

/* Handles a call of a test that concerns the whole store. */
static bool
run_operation(RawConnection *connection, const char *path)
{
    for (size_t i = 0; i < sizeof(operations) / sizeof(operations[0]); i++) {
        if (strcmp(path, operations[i].path) == 0) {
            operations[i].handle(connection);
            return true;
        }
    }
    return false;
}

/* ---- faults -------------------------------------------------------------- */

/* Counts a call against the number that random faults may hit. */
static bool
may_fail_call(void)
{
    int64_t left = RawServer_GetKnob(&server, "faulty_calls");

    if (left > 0) {
        RawServer_SetKnob(&server, "faulty_calls", left > 1 ? left - 1 : -1);
    }
    return left >= 0;
}

/* Injects a random fault in place of a call.  Returns false when none is
 * drawn. */
static bool
inject_random_fault(RawConnection *connection)
{
    if (RawServer_DrawFault(&server, "reset")) {
        RawConnection_Reset(connection);
        return true;
    }
    if (RawServer_DrawFault(&server, "busy")) {
        reply_text(connection, 503, "{}");
        return true;
    }
    if (RawServer_DrawFault(&server, "many")) {
        reply_text(connection, 429, "{}");
        return true;
    }
    return false;
}

/* Injects a fault in place of a call.  Returns false when none is due. */
static bool
inject_fault(RawConnection *connection)
{
    if (RawServer_DrawFault(&server, "silent")) {
        return true;
    }
    if (RawServer_GetKnob(&server, "drop") > 0) {
        RawServer_SetKnob(&server, "drop",
                          RawServer_GetKnob(&server, "drop") - 1);
        return true;
    }
    if (may_fail_call() && inject_random_fault(connection)) {
        return true;
    }
    if (RawServer_GetKnob(&server, "endless") > 0 &&
        RawConnection_DrawEndless(connection, "endless")) {
        return true;
    }
    return false;
}

static void
on_request(RawConnection *connection)
{
    const char *method = connection->message->method;
    char path[KC_OBJECT_NAME_MAX + COLLECTION_MAX];
    bool is_raw = strncmp(connection->message->target, RAW_PREFIX,
                          strlen(RAW_PREFIX)) == 0;
    const char *prefix = is_raw ? RAW_PREFIX : OBJECTS_PREFIX;
    char *collection = path + strlen(prefix);
    char *name;

    call_count++;
    KcText_Copy(path, connection->message->target, sizeof(path));
    path[strcspn(path, "?")] = '\0';
    if (KcLoop_Now() < away_until) {
        RawConnection_Reset(connection);
        return;
    }
    if (run_operation(connection, path)) {
        return;
    }
    if (strncmp(path, prefix, strlen(prefix)) != 0) {
        reply_text(connection, 404, "{}");
        return;
    }
    if (is_subject_to_faults(connection) && inject_fault(connection)) {
        return;
    }
    name = strchr(collection, '/');
    if (name != NULL) {
        *name++ = '\0';
        decode_in_place(name);
    }
    if (is_raw && name != NULL) {
        write_raw_object(connection, collection, name);
    }
    else if (strcmp(method, "GET") == 0 && name == NULL) {
        read_collection(connection, collection);
    }
    else if (strcmp(method, "GET") == 0) {
        read_object(connection, collection, name);
    }
    else if (strcmp(method, "DELETE") == 0 && name != NULL) {
        delete_object(connection, collection, name);
    }
    else {
        write_object(connection, collection, name);
    }
}

static void
add_state(json_t *state)
{
    json_object_set_new(state, "calls", json_integer(call_count));
    json_object_set_new(state, "revision", json_integer(last_revision));
    json_object_set_new(state, "era", json_integer(era));
}

static const RawServerOptions server_options = {.knobs = knobs,
                                                .on_request = on_request,
                                                .on_connection_lost =
                                                    on_connection_lost,
                                                .add_state = add_state,
                                                .on_timer = on_watch_timeout};

int
main(int argc, char **argv)
{
    if (argc < 2) {
        fprintf(stderr, "standin-store ADDRESS [SEED]\n");
        return 2;
    }
    RawServer_Init(&server, &server_options, argv[1],
                   argc > 2 ? strtoull(argv[2], NULL, 10) : 1);
    RawServer_Run(&server);
    return 0;
}
