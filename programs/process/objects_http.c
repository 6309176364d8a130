/*
 * Client of the object API over HTTP.
 */
#include "objects_http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE (KC_OBJECT_NAME_MAX + 64)

/* One outstanding call. */
typedef struct ObjectCall {
    TAILQ_ENTRY(ObjectCall) link;
    struct KcObjectClient *client;
    KcHttpCall *http_call;
    KcObjectCallback on_done;
    void *on_done_context;
} ObjectCall;

TAILQ_HEAD(ObjectCallList, ObjectCall);

struct KcObjectClient {
    KcObjectClientOptions options;
    char address[KC_ADDRESS_MAX];
    struct ObjectCallList calls;
};

KcObjectClient *
KcObjectClient_Create(const KcObjectClientOptions *options)
{
    KcObjectClient *client = KcMem_New(sizeof(*client));

    client->options = *options;
    KcText_Copy(client->address, options->address, KC_ADDRESS_MAX);
    TAILQ_INIT(&client->calls);
    return client;
}

void
KcObjectClient_Free(KcObjectClient *client)
{
    KcObjectReply reply = {.code = KC_ERR_OBJECT_API_UNAVAILABLE};
    ObjectCall *call;

    while ((call = TAILQ_FIRST(&client->calls)) != NULL) {
        TAILQ_REMOVE(&client->calls, call, link);
        KcHttpCall_Cancel(call->http_call);
        call->on_done(call->on_done_context, &reply);
        free(call);
    }
    free(client);
}

int
KcObjectClient_StatusToError(int status)
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
KcObjectClient_ParseVersion(const char *etag)
{
    return strtoull(etag[0] == '"' ? etag + 1 : etag, NULL, 10);
}

static void
on_response(void *context, int status, const char *etag, KcBytes body)
{
    ObjectCall *call = context;
    KcObjectClient *client = call->client;
    KcObjectReply reply = {.code = KcObjectClient_StatusToError(status),
                           .version = KcObjectClient_ParseVersion(etag),
                           .value = body};

    TAILQ_REMOVE(&client->calls, call, link);
    if (reply.code == KC_ERR_OBJECT_API_UNAVAILABLE) {
        KcCounters_Add(client->options.counters, KC_COUNT_OBJECT_FAILURES, 1);
    }
    call->on_done(call->on_done_context, &reply);
    free(call);
}

static void
start_call(KcObjectClient *client, KcHttpCallOptions *options,
           KcObjectCallback on_done, void *on_done_context)
{
    ObjectCall *call = KcMem_New(sizeof(*call));

    options->loop = client->options.loop;
    options->address = client->address;
    call->client = client;
    call->on_done = on_done;
    call->on_done_context = on_done_context;
    KcCounters_Add(client->options.counters, KC_COUNT_OBJECT_CALLS, 1);
    TAILQ_INSERT_TAIL(&client->calls, call, link);
    call->http_call = KcHttpCall_Fetch(options, on_response, call);
}

static void
get_object(void *context, const char *name, KcObjectCallback on_done,
           void *on_done_context)
{
    KcObjectClient *client = context;
    char path[PATH_SIZE];
    KcHttpCallOptions options = {.method = "GET",
                                 .path = path,
                                 .progress_timeout =
                                     client->options.call_timeout};

    snprintf(path, sizeof(path), "/v1/objects/%s", name);
    start_call(client, &options, on_done, on_done_context);
}

static void
put_object(void *context, const char *name, KcBytes value,
           uint64_t expected_version, KcObjectCallback on_done,
           void *on_done_context)
{
    KcObjectClient *client = context;
    char path[PATH_SIZE];
    char match[32];
    KcHttpCallOptions options = {.method = "PUT",
                                 .path = path,
                                 .body = value,
                                 .progress_timeout =
                                     client->options.call_timeout};

    snprintf(path, sizeof(path), "/v1/objects/%s", name);
    snprintf(match, sizeof(match), "\"%" PRIu64 "\"", expected_version);
    if (expected_version == KC_OBJECT_ABSENT) {
        options.headers[0] = (KcHttpRequestHeader){"If-None-Match", "*"};
    }
    else if (expected_version != KC_OBJECT_ANY) {
        options.headers[0] = (KcHttpRequestHeader){"If-Match", match};
    }
    start_call(client, &options, on_done, on_done_context);
}

static void
watch_object(void *context, const char *name, uint64_t seen_version,
             KcObjectCallback on_done, void *on_done_context)
{
    KcObjectClient *client = context;
    char path[PATH_SIZE];
    KcHttpCallOptions options = {
        .method = "GET",
        .path = path,
        .progress_timeout =
            client->options.watch_timeout + KC_OBJECT_WATCH_MARGIN,
        .limits.timeout =
            client->options.watch_timeout + KC_OBJECT_WATCH_MARGIN +
            KC_HTTP_CALL_TIMEOUT_FACTOR * client->options.call_timeout};

    snprintf(path, sizeof(path),
             "/v1/objects/%s?above=%" PRIu64 "&wait_ms=%" PRId64, name,
             seen_version, client->options.watch_timeout / KC_MS);
    start_call(client, &options, on_done, on_done_context);
}

const KcObjectOps KcObjectClient_Ops = {get_object, put_object, watch_object};
