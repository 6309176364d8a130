/*
 * The platform's store: objects with one revision counter, lists, watches and
 * conditional writes; it can come back from a copy in a new era.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lab.h"
#include "net.h"

#define OBJECTS_MAX 256
#define EVENTS_MAX 4096
#define NAME_SIZE 64

typedef struct Object {
    char kind[NAME_SIZE];
    char name[NAME_SIZE];
    int64_t revision;
    json_t *spec;
} Object;

typedef struct Event {
    char kind[NAME_SIZE];
    int64_t revision;
    int64_t at; /* when it was acknowledged */
    json_t *json;
} Event;

typedef struct State {
    Object objects[OBJECTS_MAX];
    int object_count;
    int64_t revision;
    int event_count;
} State;

static State state = {.revision = 100};
static State copy;
static Event events[EVENTS_MAX];
static int64_t era = 1;
static bool is_away;
static int64_t lag_ms;
static int64_t current_watch_at;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

/* ---- objects ------------------------------------------------------------- */

static Object *
find_object(const char *kind, const char *name)
{
    for (int i = 0; i < state.object_count; i++) {
        Object *object = &state.objects[i];

        if (strcmp(object->kind, kind) == 0 &&
            strcmp(object->name, name) == 0) {
            return object;
        }
    }
    return NULL;
}

static json_t *
encode_object(const Object *object)
{
    return json_pack("{s:{s:s, s:I, s:i, s:[], s:b}, s:O, s:n}", "meta",
                     "name", object->name, "revision",
                     (json_int_t)object->revision, "created", 1, "finalizers",
                     "deleting", 0, "spec", object->spec, "status");
}

/* Creates or replaces an object; the mutex is held. */
static Object *
write_object(const char *kind, const char *name, json_t *spec)
{
    Object *object = find_object(kind, name);
    Event *event;

    if (object != NULL && json_equal(object->spec, spec)) {
        return object;
    }
    if (object == NULL) {
        if (state.object_count == OBJECTS_MAX) {
            abort();
        }
        object = &state.objects[state.object_count++];
        snprintf(object->kind, NAME_SIZE, "%s", kind);
        snprintf(object->name, NAME_SIZE, "%s", name);
    }
    if (state.event_count == EVENTS_MAX) {
        abort();
    }
    object->spec = json_deep_copy(spec);
    object->revision = ++state.revision;
    event = &events[state.event_count++];
    snprintf(event->kind, NAME_SIZE, "%s", kind);
    event->revision = object->revision;
    event->at = Lab_Now();
    event->json =
        json_pack("{s:b, s:o}", "deleted", 0, "object", encode_object(object));
    Lab_Record("store: %s/%s has revision %lld", kind, name,
               (long long)object->revision);
    pthread_cond_broadcast(&changed);
    return object;
}

void
Store_Write(const char *kind, const char *name, json_t *spec)
{
    pthread_mutex_lock(&mutex);
    write_object(kind, name, spec);
    pthread_mutex_unlock(&mutex);
    json_decref(spec);
}

int64_t
Store_Revision(void)
{
    int64_t revision;

    pthread_mutex_lock(&mutex);
    revision = state.revision;
    pthread_mutex_unlock(&mutex);
    return revision;
}

int64_t
Store_CurrentWatchAt(void)
{
    int64_t at;

    pthread_mutex_lock(&mutex);
    at = current_watch_at;
    pthread_mutex_unlock(&mutex);
    return at;
}

void
Store_SetLag(int64_t lag)
{
    lag_ms = lag;
}

void
Store_Copy(void)
{
    pthread_mutex_lock(&mutex);
    copy = state;
    Lab_Record("store: a copy is made at revision %lld",
               (long long)copy.revision);
    pthread_mutex_unlock(&mutex);
}

void
Store_Restore(int64_t away_ms)
{
    pthread_mutex_lock(&mutex);
    is_away = true;
    Lab_Record("store: away, revision %lld", (long long)state.revision);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&mutex);
    Lab_Sleep(away_ms);
    pthread_mutex_lock(&mutex);
    state = copy;
    era++;
    is_away = false;
    Lab_Record("store: back from the copy, revision %lld, era %lld",
               (long long)state.revision, (long long)era);
    pthread_mutex_unlock(&mutex);
}

/* ---- calls --------------------------------------------------------------- */

static bool
reply_json(int fd, int status, json_t *json)
{
    char lines[128];
    char *text = json_dumps(json, JSON_COMPACT);
    bool is_sent;

    snprintf(lines, sizeof(lines),
             "Content-Type: application/json\r\nStore-Era: %lld\r\n",
             (long long)era);
    is_sent = Net_Reply(fd, status, lines, text);
    free(text);
    json_decref(json);
    return is_sent;
}

static int64_t
find_number(const char *query, const char *name, int64_t default_value)
{
    char key[64];
    const char *at;

    snprintf(key, sizeof(key), "%s=", name);
    at = query != NULL ? strstr(query, key) : NULL;
    return at != NULL ? strtoll(at + strlen(key), NULL, 10) : default_value;
}

static json_t *
list_objects(const char *kind)
{
    json_t *items = json_array();

    for (int i = 0; i < state.object_count; i++) {
        if (strcmp(state.objects[i].kind, kind) == 0) {
            json_array_append_new(items, encode_object(&state.objects[i]));
        }
    }
    return json_pack("{s:o, s:b, s:I}", "items", items, "has_more", 0, "at",
                     (json_int_t)state.revision);
}

/* Collects the events of a watch. A lagging copy does not have the latest. */
static json_t *
collect_events(const char *kind, int64_t since, bool is_stale, int64_t *at)
{
    json_t *list = json_array();

    *at = since;
    for (int i = 0; i < state.event_count; i++) {
        if (is_stale && events[i].at > Lab_Now() - lag_ms) {
            break;
        }
        if (events[i].revision <= since) {
            continue;
        }
        *at = events[i].revision;
        if (strcmp(events[i].kind, kind) == 0) {
            json_array_append(list, events[i].json);
        }
    }
    return list;
}

/* Waits for a change, 20 ms at the most; the mutex is held. */
static void
await_change(void)
{
    struct timespec until;

    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_nsec += 20000000;
    until.tv_sec += until.tv_nsec / 1000000000;
    until.tv_nsec %= 1000000000;
    pthread_cond_timedwait(&changed, &mutex, &until);
}

/* Answers a watch; returns NULL when the store goes away meanwhile. */
static json_t *
watch(const char *kind, const char *query, int *status)
{
    int64_t since = find_number(query, "watch", 0);
    bool is_stale = find_number(query, "is_stale", 0) != 0;
    int64_t ends_at = Lab_Now() + find_number(query, "wait_ms", 0);
    int64_t first_era = era;
    int64_t at;
    json_t *list;

    if (since > state.revision) {
        *status = 410;
        return json_pack("{s:s}", "error", "no such revision");
    }
    for (;;) {
        list = collect_events(kind, since, is_stale, &at);
        if (json_array_size(list) > 0 || Lab_Now() >= ends_at) {
            break;
        }
        json_decref(list);
        await_change();
        if (is_away || era != first_era) {
            return NULL;
        }
    }
    if (!is_stale && strcmp(kind, "servers") == 0) {
        current_watch_at = Lab_Now();
    }
    return json_pack("{s:o, s:I}", "events", list, "at", (json_int_t)at);
}

/* Creates (POST) or replaces (PUT) an object. */
static json_t *
write_call(const NetRequest *request, const char *kind, const char *path_name,
           int *status)
{
    json_t *body = json_loads(request->body, 0, NULL);
    json_t *meta = json_object_get(body, "meta");
    const json_t *expected = json_object_get(meta, "revision");
    bool is_new = strcmp(request->method, "POST") == 0;
    const char *name =
        is_new ? json_string_value(json_object_get(meta, "name")) : path_name;
    const Object *object = name != NULL ? find_object(kind, name) : NULL;
    json_t *answer;

    if (name == NULL || json_object_get(body, "spec") == NULL) {
        *status = 400;
        answer = json_object();
    }
    else if (is_new ? object != NULL
                    : object != NULL && json_is_integer(expected) &&
                          json_integer_value(expected) != object->revision) {
        *status = 409;
        answer = encode_object(object);
    }
    else if (!is_new && object == NULL) {
        *status = 404;
        answer = json_object();
    }
    else {
        answer = encode_object(
            write_object(kind, name, json_object_get(body, "spec")));
    }
    json_decref(body);
    return answer;
}

/* Answers a call; the mutex is held. NULL: the store is away. */
static json_t *
answer_call(NetRequest *request, int *status)
{
    char *kind = request->path + strlen("/objects/");
    char *query = strchr(request->path, '?');
    char *name;
    const Object *object;

    if (strncmp(request->path, "/objects/", strlen("/objects/")) != 0) {
        *status = 404;
        return json_object();
    }
    if (query != NULL) {
        *query++ = '\0';
    }
    name = strchr(kind, '/');
    if (name != NULL) {
        *name++ = '\0';
    }
    if (strcmp(request->method, "GET") != 0) {
        return write_call(request, kind, name, status);
    }
    if (name != NULL) {
        object = find_object(kind, name);
        *status = object != NULL ? 200 : 404;
        return object != NULL ? encode_object(object) : json_object();
    }
    return find_number(query, "watch", -1) >= 0 ? watch(kind, query, status)
                                                : list_objects(kind);
}

static void
serve(int fd)
{
    NetRequest *request = malloc(sizeof(*request));

    while (Net_ReadRequest(fd, request)) {
        int status = 200;
        json_t *answer = NULL;

        pthread_mutex_lock(&mutex);
        if (!is_away) {
            answer = answer_call(request, &status);
        }
        pthread_mutex_unlock(&mutex);
        if (answer == NULL || !reply_json(fd, status, answer)) {
            break;
        }
    }
    free(request);
    close(fd);
}

void
Store_Start(char address[LAB_ADDRESS_SIZE])
{
    Lab_TakeAddress("127.0.0.1", address);
    Net_Serve(address, serve);
}
