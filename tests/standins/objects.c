/*
 * Stand-in for the platform's object API: versions, conditional updates,
 * watches, limits, outages, and replies that are lost after the write.
 */
#include <inttypes.h>
#include <string.h>

#include "standin.h"

static StandinKnob knobs[] = {
    {"outage", 0, "1: every call is dropped without an effect"},
    {"hang", 0, "1: calls are never answered"},
    {"slow_ms", 0, "delay of every answer"},
    {"lose_replies", 0, "this many writes take effect without an answer"},
    {"writes_per_s", 400, "writes beyond this are answered 429"},
    {"reads_per_s", 2000, "reads beyond this are answered 429"},
    {NULL, 0, NULL},
};

/* One object. */
typedef struct Object {
    UT_hash_handle hh;
    char name[KC_OBJECT_NAME_MAX];
    uint64_t version;
    KcBuffer value;
} Object;

/* A watch, or an answer that is delayed. */
typedef struct Waiting {
    TAILQ_ENTRY(Waiting) link;
    evhtp_request_t *http;
    char name[KC_OBJECT_NAME_MAX];
    uint64_t above;
    KcTimer timer;
} Waiting;

static Standin standin;
static Object *objects;
static uint64_t version_counter;
static TAILQ_HEAD(WaitingHead,
                  Waiting) watches = TAILQ_HEAD_INITIALIZER(watches);
static struct {
    int64_t reads;
    int64_t writes;
    int64_t watches;
    int64_t conflicts;
    int64_t refused;
    int64_t most_writes; /* within one second */
    int64_t most_reads;
} counts;
static struct {
    KcTime second;
    int64_t reads;
    int64_t writes;
} window;

static Object *
find_object(const char *name)
{
    Object *object;

    HASH_FIND_STR(objects, name, object);
    return object;
}

/* Counts a call; false when it is beyond the limit. */
static bool
within_limit(bool write)
{
    KcTime second = KcLoop_Now() / KC_SECOND;
    int64_t *used = write ? &window.writes : &window.reads;
    int64_t *most = write ? &counts.most_writes : &counts.most_reads;
    int64_t limit =
        Standin_Knob(&standin, write ? "writes_per_s" : "reads_per_s");

    if (window.second != second) {
        window.second = second;
        window.reads = 0;
        window.writes = 0;
    }
    (*used)++;
    if (*used > *most) {
        *most = *used;
    }
    if (*used > limit) {
        counts.refused++;
        return false;
    }
    return true;
}

static void
add_version(evhtp_request_t *http, uint64_t version)
{
    char text[32];

    snprintf(text, sizeof(text), "\"%" PRIu64 "\"", version);
    evhtp_headers_add_header(http->headers_out,
                             evhtp_header_new("ETag", text, 0, 1));
}

static void
reply_object(evhtp_request_t *http, const char *name)
{
    Object *object = find_object(name);

    if (object == NULL) {
        evhtp_send_reply(http, EVHTP_RES_NOTFOUND);
        return;
    }
    add_version(http, object->version);
    evbuffer_add(http->buffer_out, KcBuffer_Data(&object->value),
                 KcBuffer_Size(&object->value));
    evhtp_send_reply(http, EVHTP_RES_OK);
}

/* ---- watches ------------------------------------------------------------ */

static void
end_watch(Waiting *waiting)
{
    TAILQ_REMOVE(&watches, waiting, link);
    KcTimers_Clear(standin.loop->timers, &waiting->timer);
    evhtp_request_unset_hook(waiting->http, evhtp_hook_on_request_fini);
    free(waiting);
}

static void
answer_watch(Waiting *waiting)
{
    evhtp_request_t *http = waiting->http;
    char name[KC_OBJECT_NAME_MAX];

    KcText_Copy(name, waiting->name, sizeof(name));
    end_watch(waiting);
    reply_object(http, name);
}

static void
on_watch_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    answer_watch(timer->owner);
}

static evhtp_res
on_watch_gone(evhtp_request_t *http, void *context)
{
    Waiting *waiting = context;

    (void)http;
    TAILQ_REMOVE(&watches, waiting, link);
    KcTimers_Clear(standin.loop->timers, &waiting->timer);
    free(waiting);
    return EVHTP_RES_OK;
}

static void
begin_watch(evhtp_request_t *http, const char *name, uint64_t above,
            KcTime wait)
{
    Waiting *waiting = KcMem_New(sizeof(*waiting));

    counts.watches++;
    waiting->http = http;
    waiting->above = above;
    KcText_Copy(waiting->name, name, sizeof(waiting->name));
    KcTimer_Init(&waiting->timer, on_watch_timer, waiting);
    KcTimers_Set(standin.loop->timers, &waiting->timer, KcLoop_Now() + wait);
    TAILQ_INSERT_TAIL(&watches, waiting, link);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_watch_gone, waiting);
}

static void
wake_watches(const Object *object)
{
    Waiting *waiting;
    Waiting *next;

    TAILQ_FOREACH_SAFE (waiting, &watches, link, next) {
        if (strcmp(waiting->name, object->name) == 0 &&
            object->version > waiting->above) {
            answer_watch(waiting);
        }
    }
}

/* ---- reads and writes --------------------------------------------------- */

static void
read_object(evhtp_request_t *http, const char *name)
{
    const char *above = Standin_Query(http, "above");
    const char *wait = Standin_Query(http, "wait_ms");
    Object *object = find_object(name);
    uint64_t seen = above != NULL ? strtoull(above, NULL, 10) : 0;

    counts.reads++;
    if (!within_limit(false)) {
        Standin_ReplyText(http, 429, "too many reads\n");
    }
    else if (above != NULL && (object == NULL || object->version <= seen)) {
        begin_watch(http, name, seen,
                    wait != NULL ? strtoll(wait, NULL, 10) * KC_MS
                                 : KC_SECOND);
    }
    else {
        reply_object(http, name);
    }
}

/* Does the condition of a write hold? */
static bool
condition_holds(evhtp_request_t *http, const Object *object)
{
    const char *match = evhtp_header_find(http->headers_in, "If-Match");
    const char *none = evhtp_header_find(http->headers_in, "If-None-Match");

    if (none != NULL) {
        return object == NULL;
    }
    if (match != NULL) {
        return object != NULL && strtoull(match + (match[0] == '"'), NULL,
                                          10) == object->version;
    }
    return true;
}

static Object *
store_object(evhtp_request_t *http, const char *name)
{
    Object *object = find_object(name);
    size_t size = evbuffer_get_length(http->buffer_in);

    if (object == NULL) {
        object = KcMem_New(sizeof(*object));
        KcText_Copy(object->name, name, sizeof(object->name));
        HASH_ADD_STR(objects, name, object);
    }
    KcBuffer_DropFront(&object->value, KcBuffer_Size(&object->value));
    KcBuffer_Append(&object->value, evbuffer_pullup(http->buffer_in, -1),
                    size);
    object->version = ++version_counter;
    return object;
}

static void
write_object(evhtp_request_t *http, const char *name)
{
    Object *object = find_object(name);

    counts.writes++;
    if (!within_limit(true)) {
        Standin_ReplyText(http, 429, "too many writes\n");
        return;
    }
    if (!condition_holds(http, object)) {
        counts.conflicts++;
        evhtp_send_reply(http, EVHTP_RES_PRECONDFAIL);
        return;
    }
    object = store_object(http, name);
    if (Standin_TakeFault(&standin, "lose_replies")) {
        Standin_Drop(http);
    }
    else {
        add_version(http, object->version);
        evhtp_send_reply(http, EVHTP_RES_OK);
    }
    wake_watches(object);
}

static void
handle_object(evhtp_request_t *http)
{
    const char *name = http->uri->path->full + strlen("/v1/objects/");

    if (evhtp_request_get_method(http) == htp_method_PUT) {
        write_object(http, name);
    }
    else {
        read_object(http, name);
    }
}

static void
on_delayed(KcTimer *timer, KcTime now)
{
    Waiting *waiting = timer->owner;
    evhtp_request_t *http = waiting->http;

    (void)now;
    end_watch(waiting);
    handle_object(http);
}

/* Delays a call by the knob slow_ms. */
static void
delay_call(evhtp_request_t *http, KcTime delay)
{
    begin_watch(http, "", UINT64_MAX, delay);
    TAILQ_LAST(&watches, WaitingHead)->timer.on_due = on_delayed;
}

static void
on_object(evhtp_request_t *http, void *context)
{
    int64_t slow = Standin_Knob(&standin, "slow_ms");

    (void)context;
    if (Standin_Knob(&standin, "outage") != 0) {
        Standin_Drop(http);
    }
    else if (Standin_Knob(&standin, "hang") != 0) {
        return;
    }
    else if (slow > 0) {
        delay_call(http, slow * KC_MS);
    }
    else {
        handle_object(http);
    }
}

static void
on_list(evhtp_request_t *http, void *context)
{
    const char *prefix = Standin_Query(http, "prefix");
    json_t *list = json_array();
    Object *object;

    (void)context;
    if (Standin_Knob(&standin, "outage") != 0) {
        json_decref(list);
        Standin_Drop(http);
        return;
    }
    counts.reads++;
    for (object = objects; object != NULL; object = object->hh.next) {
        if (prefix != NULL &&
            strncmp(object->name, prefix, strlen(prefix)) != 0) {
            continue;
        }
        json_array_append_new(
            list, json_pack("{s:s, s:I, s:s%}", "name", object->name,
                            "version", (json_int_t)object->version, "value",
                            KcBuffer_Data(&object->value),
                            KcBuffer_Size(&object->value)));
    }
    Standin_ReplyJson(http, EVHTP_RES_OK, json_pack("{s:o}", "objects", list));
}

static void
add_state(json_t *state)
{
    json_object_set_new(state, "reads", json_integer(counts.reads));
    json_object_set_new(state, "writes", json_integer(counts.writes));
    json_object_set_new(state, "watches", json_integer(counts.watches));
    json_object_set_new(state, "conflicts", json_integer(counts.conflicts));
    json_object_set_new(state, "refused", json_integer(counts.refused));
    json_object_set_new(state, "most_writes",
                        json_integer(counts.most_writes));
    json_object_set_new(state, "most_reads", json_integer(counts.most_reads));
    json_object_set_new(state, "objects",
                        json_integer((json_int_t)HASH_COUNT(objects)));
}

static const StandinOptions options = {"standin-objects", knobs, add_state,
                                       NULL};

int
main(int argc, char **argv)
{
    Standin_Init(&standin, &options, argc, argv);
    evhtp_set_glob_cb(standin.http, "/v1/objects/*", on_object, NULL);
    evhtp_set_cb(standin.http, "/v1/list", on_list, NULL);
    return Standin_Run(&standin);
}
