/*
 * Stand-in for the platform's object API: versions, conditional updates,
 * watches, rate limits, outages, and replies that are lost after the write.
 */
#include <inttypes.h>
#include <string.h>

#include "standin.h"

static StandinKnob knobs[] = {
    {"outage", 0, "1: the connection of every call is closed, without effect"},
    {"hang", 0, "1: calls are never answered"},
    {"slow_ms", 0, "delay of every answer"},
    {"lose_replies", 0, "this many writes take effect but are not answered"},
    {"writes_per_s", 400, "writes beyond this are answered 429"},
    {"reads_per_s", 2000, "reads beyond this are answered 429"},
    {NULL, 0, NULL},
};

/* An object that was written at least once. */
typedef struct Object {
    UT_hash_handle hh;
    char name[KC_OBJECT_NAME_MAX];
    uint64_t version;
    KcBuffer value;
} Object;

/* A call that isn't answered yet: a watch, or a call delayed by slow_ms. */
typedef struct PendingCall {
    TAILQ_ENTRY(PendingCall) link;
    evhtp_request_t *http;
    char name[KC_OBJECT_NAME_MAX];
    uint64_t above_version; /* a watch ends at a version above this */
    KcTimer timer;
} PendingCall;

static Standin standin;
static Object *objects;
static uint64_t last_version;
static TAILQ_HEAD(PendingCallList, PendingCall)
    pending_calls = TAILQ_HEAD_INITIALIZER(pending_calls);
static struct {
    int64_t reads;
    int64_t writes;
    int64_t watches;
    int64_t conflicts;
    int64_t refused;
    int64_t writes_per_s_peak;
    int64_t reads_per_s_peak;
} counters;
/* Calls within the current second. */
static struct {
    KcTime second;
    int64_t reads;
    int64_t writes;
} rate_window;

static Object *
find_object(const char *name)
{
    Object *object;

    HASH_FIND_STR(objects, name, object);
    return object;
}

/* Counts a call; false when it exceeds the limit of the current second. */
static bool
admit_call(bool write)
{
    KcTime second = KcLoop_Now() / KC_SECOND;
    int64_t *calls = write ? &rate_window.writes : &rate_window.reads;
    int64_t *peak =
        write ? &counters.writes_per_s_peak : &counters.reads_per_s_peak;
    int64_t limit =
        Standin_GetKnob(&standin, write ? "writes_per_s" : "reads_per_s");

    if (rate_window.second != second) {
        rate_window.second = second;
        rate_window.reads = 0;
        rate_window.writes = 0;
    }
    (*calls)++;
    if (*calls > *peak) {
        *peak = *calls;
    }
    if (*calls > limit) {
        counters.refused++;
        return false;
    }
    return true;
}

static void
add_etag(evhtp_request_t *http, uint64_t version)
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
    add_etag(http, object->version);
    evbuffer_add(http->buffer_out, KcBuffer_Data(&object->value),
                 KcBuffer_Size(&object->value));
    evhtp_send_reply(http, EVHTP_RES_OK);
}

/* ---- watches ------------------------------------------------------------ */

/* Forgets a pending call; its request stays open. */
static void
remove_pending_call(PendingCall *pending)
{
    TAILQ_REMOVE(&pending_calls, pending, link);
    KcTimers_Clear(standin.loop->timers, &pending->timer);
    evhtp_request_unset_hook(pending->http, evhtp_hook_on_request_fini);
    free(pending);
}

/* Answers a watch with the object as it is now. */
static void
answer_watch(PendingCall *pending)
{
    evhtp_request_t *http = pending->http;
    char name[KC_OBJECT_NAME_MAX];

    KcText_Copy(name, pending->name, sizeof(name));
    remove_pending_call(pending);
    reply_object(http, name);
}

static void
on_watch_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    answer_watch(timer->owner);
}

static evhtp_res
on_caller_disconnected(evhtp_request_t *http, void *context)
{
    PendingCall *pending = context;

    (void)http;
    TAILQ_REMOVE(&pending_calls, pending, link);
    KcTimers_Clear(standin.loop->timers, &pending->timer);
    free(pending);
    return EVHTP_RES_OK;
}

/* Keeps a call open until a newer version is written or a time has passed. */
static void
add_pending_call(evhtp_request_t *http, const char *name,
                 uint64_t above_version, KcTime timeout)
{
    PendingCall *pending = KcMem_New(sizeof(*pending));

    counters.watches++;
    pending->http = http;
    pending->above_version = above_version;
    KcText_Copy(pending->name, name, sizeof(pending->name));
    KcTimer_Init(&pending->timer, on_watch_timer, pending);
    KcTimers_Set(standin.loop->timers, &pending->timer,
                 KcLoop_Now() + timeout);
    TAILQ_INSERT_TAIL(&pending_calls, pending, link);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_caller_disconnected, pending);
}

static void
answer_watches(const Object *object)
{
    PendingCall *pending;
    PendingCall *next;

    TAILQ_FOREACH_SAFE (pending, &pending_calls, link, next) {
        if (strcmp(pending->name, object->name) == 0 &&
            object->version > pending->above_version) {
            answer_watch(pending);
        }
    }
}

/* ---- reads and writes --------------------------------------------------- */

static void
read_object(evhtp_request_t *http, const char *name)
{
    const char *above_text = Standin_FindQueryValue(http, "above");
    const char *wait_ms = Standin_FindQueryValue(http, "wait_ms");
    Object *object = find_object(name);
    uint64_t above_version =
        above_text != NULL ? strtoull(above_text, NULL, 10) : 0;

    counters.reads++;
    if (!admit_call(false)) {
        Standin_ReplyText(http, 429, "too many reads\n");
    }
    else if (above_text != NULL &&
             (object == NULL || object->version <= above_version)) {
        add_pending_call(http, name, above_version,
                         wait_ms != NULL ? strtoll(wait_ms, NULL, 10) * KC_MS
                                         : KC_SECOND);
    }
    else {
        reply_object(http, name);
    }
}

/* True when If-None-Match or If-Match of a write holds, or neither is set. */
static bool
is_condition_met(evhtp_request_t *http, const Object *object)
{
    const char *if_match = evhtp_header_find(http->headers_in, "If-Match");
    const char *if_none_match =
        evhtp_header_find(http->headers_in, "If-None-Match");

    if (if_none_match != NULL) {
        return object == NULL;
    }
    if (if_match != NULL) {
        return object != NULL && strtoull(if_match + (if_match[0] == '"'),
                                          NULL, 10) == object->version;
    }
    return true;
}

/* Creates or replaces an object with the body of a request. */
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
    object->version = ++last_version;
    return object;
}

static void
write_object(evhtp_request_t *http, const char *name)
{
    Object *object = find_object(name);

    counters.writes++;
    if (!admit_call(true)) {
        Standin_ReplyText(http, 429, "too many writes\n");
        return;
    }
    if (!is_condition_met(http, object)) {
        counters.conflicts++;
        evhtp_send_reply(http, EVHTP_RES_PRECONDFAIL);
        return;
    }
    object = store_object(http, name);
    if (Standin_TakeFault(&standin, "lose_replies")) {
        Standin_DropConnection(http);
    }
    else {
        add_etag(http, object->version);
        evhtp_send_reply(http, EVHTP_RES_OK);
    }
    answer_watches(object);
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
on_delay_over(KcTimer *timer, KcTime now)
{
    PendingCall *pending = timer->owner;
    evhtp_request_t *http = pending->http;

    (void)now;
    remove_pending_call(pending);
    handle_object(http);
}

/* Handles a call after a delay: a pending call that no write answers. */
static void
delay_call(evhtp_request_t *http, KcTime delay)
{
    add_pending_call(http, "", UINT64_MAX, delay);
    TAILQ_LAST(&pending_calls, PendingCallList)->timer.on_due = on_delay_over;
}

static void
on_object(evhtp_request_t *http, void *context)
{
    int64_t delay_ms = Standin_GetKnob(&standin, "slow_ms");

    (void)context;
    if (Standin_GetKnob(&standin, "outage") != 0) {
        Standin_DropConnection(http);
    }
    else if (Standin_GetKnob(&standin, "hang") != 0) {
        return;
    }
    else if (delay_ms > 0) {
        delay_call(http, delay_ms * KC_MS);
    }
    else {
        handle_object(http);
    }
}

static void
on_list(evhtp_request_t *http, void *context)
{
    const char *prefix = Standin_FindQueryValue(http, "prefix");
    json_t *list = json_array();
    Object *object;

    (void)context;
    if (Standin_GetKnob(&standin, "outage") != 0) {
        json_decref(list);
        Standin_DropConnection(http);
        return;
    }
    counters.reads++;
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
    json_object_set_new(state, "reads", json_integer(counters.reads));
    json_object_set_new(state, "writes", json_integer(counters.writes));
    json_object_set_new(state, "watches", json_integer(counters.watches));
    json_object_set_new(state, "conflicts", json_integer(counters.conflicts));
    json_object_set_new(state, "refused", json_integer(counters.refused));
    json_object_set_new(state, "most_writes",
                        json_integer(counters.writes_per_s_peak));
    json_object_set_new(state, "most_reads",
                        json_integer(counters.reads_per_s_peak));
    json_object_set_new(state, "objects",
                        json_integer((json_int_t)HASH_COUNT(objects)));
}

static const StandinOptions standin_options = {"standin-objects", knobs,
                                               add_state, NULL};

int
main(int argc, char **argv)
{
    Standin_Init(&standin, &standin_options, argc, argv);
    evhtp_set_glob_cb(standin.http, "/v1/objects/*", on_object, NULL);
    evhtp_set_cb(standin.http, "/v1/list", on_list, NULL);
    return Standin_Run(&standin);
}
