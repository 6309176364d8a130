/*
 * The object API over HTTP.
 */
#include "objects_http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A watch's answer may arrive this long after its wait. */
#define WATCH_MARGIN (2 * KC_SECOND)
#define PATH_SIZE (KC_OBJECT_NAME_MAX + 64)

/* One outstanding call. */
typedef struct ObjectCall {
    TAILQ_ENTRY(ObjectCall) link;
    struct KcObjects *objects;
    KcHttpCall *http;
    KcObjectCallback done;
    void *context;
} ObjectCall;

TAILQ_HEAD(ObjectCallList, ObjectCall);

struct KcObjects {
    KcObjectsOptions options;
    char address[KC_ADDRESS_MAX];
    struct ObjectCallList calls;
};

KcObjects *
KcObjects_Create(const KcObjectsOptions *options)
{
    KcObjects *objects = KcMem_New(sizeof(*objects));

    objects->options = *options;
    KcText_Copy(objects->address, options->address, KC_ADDRESS_MAX);
    TAILQ_INIT(&objects->calls);
    return objects;
}

void
KcObjects_Free(KcObjects *objects)
{
    KcObjectReply reply = {.code = KC_ERR_OBJECT_API_UNAVAILABLE};
    ObjectCall *call;

    while ((call = TAILQ_FIRST(&objects->calls)) != NULL) {
        TAILQ_REMOVE(&objects->calls, call, link);
        KcHttpCall_Cancel(call->http);
        call->done(call->context, &reply);
        free(call);
    }
    free(objects);
}

int
KcObjects_Code(int status)
{
    switch (status) {
    case 200:
    case 201:
        return 0;
    case 404:
        return KC_ERR_NOT_FOUND;
    case 409:
    case 412:
        return KC_ERR_CONFLICT;
    default:
        return KC_ERR_OBJECT_API_UNAVAILABLE;
    }
}

uint64_t
KcObjects_Version(const char *etag)
{
    return strtoull(etag[0] == '"' ? etag + 1 : etag, NULL, 10);
}

static void
on_answer(void *context, int status, const char *etag, KcBytes body)
{
    ObjectCall *call = context;
    KcObjects *objects = call->objects;
    KcObjectReply reply = {.code = KcObjects_Code(status),
                           .version = KcObjects_Version(etag),
                           .value = body};

    TAILQ_REMOVE(&objects->calls, call, link);
    if (reply.code == KC_ERR_OBJECT_API_UNAVAILABLE) {
        KcCounters_Add(objects->options.counters, KC_COUNT_OBJECT_FAILURES, 1);
    }
    call->done(call->context, &reply);
    free(call);
}

static void
start(KcObjects *objects, KcHttpCallOptions *options, KcObjectCallback done,
      void *context)
{
    ObjectCall *call = KcMem_New(sizeof(*call));

    options->loop = objects->options.loop;
    options->address = objects->address;
    call->objects = objects;
    call->done = done;
    call->context = context;
    KcCounters_Add(objects->options.counters, KC_COUNT_OBJECT_CALLS, 1);
    TAILQ_INSERT_TAIL(&objects->calls, call, link);
    call->http = KcHttpCall_Fetch(options, on_answer, call);
}

static void
get(void *context, const char *name, KcObjectCallback done, void *done_context)
{
    KcObjects *objects = context;
    char path[PATH_SIZE];
    KcHttpCallOptions options = {.method = "GET",
                                 .path = path,
                                 .progress_timeout = objects->options.timeout};

    snprintf(path, sizeof(path), "/v1/objects/%s", name);
    start(objects, &options, done, done_context);
}

static void
put(void *context, const char *name, KcBytes value, uint64_t expected,
    KcObjectCallback done, void *done_context)
{
    KcObjects *objects = context;
    char path[PATH_SIZE];
    char match[32];
    KcHttpCallOptions options = {.method = "PUT",
                                 .path = path,
                                 .body = value,
                                 .progress_timeout = objects->options.timeout};

    snprintf(path, sizeof(path), "/v1/objects/%s", name);
    snprintf(match, sizeof(match), "\"%" PRIu64 "\"", expected);
    if (expected == KC_OBJECT_ABSENT) {
        options.headers[0] = (KcHttpRequestHeader){"If-None-Match", "*"};
    }
    else if (expected != KC_OBJECT_ANY) {
        options.headers[0] = (KcHttpRequestHeader){"If-Match", match};
    }
    start(objects, &options, done, done_context);
}

static void
watch(void *context, const char *name, uint64_t seen, KcObjectCallback done,
      void *done_context)
{
    KcObjects *objects = context;
    char path[PATH_SIZE];
    KcHttpCallOptions options = {.method = "GET",
                                 .path = path,
                                 .progress_timeout =
                                     objects->options.watch + WATCH_MARGIN};

    snprintf(path, sizeof(path),
             "/v1/objects/%s?above=%" PRIu64 "&wait_ms=%" PRId64, name, seen,
             objects->options.watch / KC_MS);
    start(objects, &options, done, done_context);
}

const KcObjectOps KcObjects_Http = {get, put, watch};
