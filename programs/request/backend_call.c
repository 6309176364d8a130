/*
 * Orders and reports of a backend server over HTTP.
 */
#include "backend_call_internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define INSPECT_TIMEOUT (2 * KC_SECOND)

/* One order to an engine. */
typedef struct Order {
    TAILQ_ENTRY(Order) link;
    KcBackendHttp *backend;
    KcHttpCall *http;
    KcSlot *slot; /* NULL for a stray adapter */
    void (*done)(KcAgent *agent, KcSlot *slot, int code, KcTime now);
} Order;

KcBackendHttp *
KcBackendHttp_Create(KcLoop *loop, const KcSettings *settings)
{
    KcBackendHttp *backend = KcMem_New(sizeof(*backend));

    backend->loop = loop;
    backend->settings = settings;
    TAILQ_INIT(&backend->orders);
    return backend;
}

void
KcBackendHttp_Free(KcBackendHttp *backend)
{
    Order *order;

    while ((order = TAILQ_FIRST(&backend->orders)) != NULL) {
        TAILQ_REMOVE(&backend->orders, order, link);
        KcHttpCall_Cancel(order->http);
        free(order);
    }
    if (backend->announcement != NULL) {
        KcHttpCall_Cancel(backend->announcement);
    }
    if (backend->inspection != NULL) {
        KcHttpCall_Cancel(backend->inspection);
    }
    free(backend);
}

void
KcBackendHttp_SetAgent(KcBackendHttp *backend, KcAgent *agent)
{
    backend->agent = agent;
}

/* ---- orders ------------------------------------------------------------- */

static int
order_code(int status)
{
    switch (status) {
    case 200:
        return 0;
    case 0:
        return KC_ERR_LOST;
    case 404:
        return KC_ERR_NOT_FOUND;
    case 409:
        return KC_ERR_STALE_FENCE;
    default:
        return KC_ERR_BACKEND;
    }
}

static void
on_order_answer(void *context, int status, const char *etag, KcBytes body)
{
    Order *order = context;
    KcBackendHttp *backend = order->backend;

    (void)etag;
    (void)body;
    TAILQ_REMOVE(&backend->orders, order, link);
    if (order->slot != NULL) {
        order->done(backend->agent, order->slot, order_code(status),
                    KcLoop_Now());
    }
    free(order);
}

static void
send_order(KcBackendHttp *backend, const char *path, json_t *json,
           KcSlot *slot,
           void (*done)(KcAgent *agent, KcSlot *slot, int code, KcTime now))
{
    Order *order = KcMem_New(sizeof(*order));
    char *text = json_dumps(json, JSON_COMPACT);
    KcHttpOptions options = {.loop = backend->loop,
                             .address = backend->settings->backend,
                             .method = "POST",
                             .path = path,
                             .headers = {{"Content-Type", "application/json"}},
                             .body = {text, strlen(text)},
                             .timeout =
                                 backend->settings->order_timeout_ms * KC_MS};

    order->backend = backend;
    order->slot = slot;
    order->done = done;
    TAILQ_INSERT_TAIL(&backend->orders, order, link);
    order->http = KcHttpCall_Fetch(&options, on_order_answer, order);
    free(text);
    json_decref(json);
}

static void
load(void *context, KcSlot *slot)
{
    char path[KC_MODEL_TEXT];

    KcModelRef_Format(&slot->model->ref, path);
    send_order(context, "/v1/load_lora_adapter",
               json_pack("{s:s, s:s, s:I}", "lora_name", slot->name,
                         "lora_path", path, "fence", (json_int_t)slot->fence),
               slot, KcAgent_OnLoaded);
}

static json_t *
eviction(const char *name, uint64_t fence)
{
    return json_pack("{s:s, s:I}", "lora_name", name, "fence",
                     (json_int_t)fence);
}

static void
evict(void *context, KcSlot *slot, uint64_t fence)
{
    send_order(context, "/v1/unload_lora_adapter", eviction(slot->name, fence),
               slot, KcAgent_OnEvicted);
}

static void
evict_stray(void *context, const char *name, uint64_t fence)
{
    send_order(context, "/v1/unload_lora_adapter", eviction(name, fence), NULL,
               NULL);
}

/* The engine answered an order for no adapter: it has seen its number. */
static void
on_announced(void *context, int status, const char *etag, KcBytes body)
{
    KcBackendHttp *backend = context;
    bool seen = status == 404 || status == 200;

    (void)etag;
    (void)body;
    backend->announcement = NULL;
    KcAgent_OnAnnounced(backend->agent, backend->announced,
                        seen ? 0 : order_code(status), KcLoop_Now());
}

static void
announce(void *context, uint64_t fence)
{
    KcBackendHttp *backend = context;
    json_t *json = eviction("", fence);
    char *text = json_dumps(json, JSON_COMPACT);
    KcHttpOptions options = {.loop = backend->loop,
                             .address = backend->settings->backend,
                             .method = "POST",
                             .path = "/v1/unload_lora_adapter",
                             .headers = {{"Content-Type", "application/json"}},
                             .body = {text, strlen(text)},
                             .timeout = INSPECT_TIMEOUT};

    if (backend->announcement != NULL) {
        KcHttpCall_Cancel(backend->announcement);
    }
    backend->announced = fence;
    backend->announcement = KcHttpCall_Fetch(&options, on_announced, backend);
    free(text);
    json_decref(json);
}

/* ---- inspection --------------------------------------------------------- */

static size_t
decode_adapters(json_t *list, KcEngineAdapter *adapters)
{
    json_t *object;
    size_t index;
    size_t count = 0;

    json_array_foreach (list, index, object) {
        const char *name = json_string_value(json_object_get(object, "name"));
        json_t *active = json_object_get(object, "active");

        if (name == NULL || strlen(name) >= sizeof(adapters->name)) {
            continue;
        }
        KcName_Copy(adapters[count].name, name, sizeof(adapters->name));
        adapters[count].active = (uint32_t)json_integer_value(active);
        count++;
    }
    return count;
}

static void
on_inspected(void *context, int status, const char *etag, KcBytes body)
{
    KcBackendHttp *backend = context;
    json_t *root = NULL;
    json_t *list;
    const char *epoch;
    KcEngineAdapter *adapters;
    size_t count;

    (void)etag;
    backend->inspection = NULL;
    if (status == 200) {
        root = json_loadb(body.data, body.size, 0, NULL);
    }
    list = json_object_get(root, "adapters");
    epoch = json_string_value(json_object_get(root, "epoch"));
    if (!json_is_array(list) || epoch == NULL) {
        KcAgent_OnInspected(backend->agent, KC_ERR_BACKEND, "", NULL, 0,
                            backend->asked, KcLoop_Now());
        json_decref(root);
        return;
    }
    adapters = KcMem_New(json_array_size(list) * sizeof(*adapters));
    count = decode_adapters(list, adapters);
    KcAgent_OnInspected(backend->agent, 0, epoch, adapters, count,
                        backend->asked, KcLoop_Now());
    free(adapters);
    json_decref(root);
}

static void
inspect(void *context)
{
    KcBackendHttp *backend = context;
    KcHttpOptions options = {.loop = backend->loop,
                             .address = backend->settings->backend,
                             .method = "GET",
                             .path = "/v1/adapters",
                             .timeout = INSPECT_TIMEOUT};

    backend->asked = KcLoop_Now();
    backend->inspection = KcHttpCall_Fetch(&options, on_inspected, backend);
}

/* ---- calls -------------------------------------------------------------- */

static void
start(void *context, KcWork *work)
{
    KcBackendHttp *backend = context;

    if (work->model.adapter[0] != '\0') {
        KcEngineCall_Start(backend, work);
    }
    else {
        KcServiceCall_Start(backend, work);
    }
}

static void
cancel(void *context, KcWork *work)
{
    KcBackendCall *call = work->call;

    (void)context;
    if (call != NULL) {
        work->call = NULL;
        if (call->http != NULL) {
            KcHttpCall_Cancel(call->http);
        }
        KcBackendCall_Free(call);
    }
}

static void
throttle(void *context, KcWork *work, bool paused)
{
    KcBackendCall *call = work->call;

    (void)context;
    if (call != NULL && call->http != NULL) {
        KcHttpCall_Throttle(call->http, paused);
    }
}

const KcBackendOps KcBackend_Http = {start, cancel,      throttle, load,
                                     evict, evict_stray, announce, inspect};

KcBackendCall *
KcBackendCall_Create(KcBackendHttp *backend, KcWork *work)
{
    KcBackendCall *call = KcMem_New(sizeof(*call));

    call->backend = backend;
    call->work = work;
    call->tokens = work->tokens;
    KcTimer_Init(&call->bad_body, NULL, call);
    work->call = call;
    return call;
}

void
KcBackendCall_Free(KcBackendCall *call)
{
    KcTimers_Clear(call->backend->loop->timers, &call->bad_body);
    KcBuffer_Clear(&call->line);
    free(call);
}

void
KcBackendCall_End(KcBackendCall *call, int code, bool ran, const char *finish)
{
    KcWork *work = call->work;
    KcAgent *agent = call->backend->agent;
    char text[32];

    KcName_Copy(text, finish, sizeof(text));
    work->call = NULL;
    KcBackendCall_Free(call);
    KcAgent_OnEnd(agent, work, code, ran, text, KcLoop_Now());
}
