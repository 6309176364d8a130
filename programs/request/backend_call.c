/*
 * Sends load and unload orders to a model engine, asks it which adapters it
 * holds, and dispatches works to engine or service calls.
 */
#include "backend_call_internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of inspections and of announcements of a fencing number. */
#define INSPECTION_TIMEOUT (2 * KC_SECOND)

/* An outstanding order to the engine to load or unload an adapter. */
typedef struct Order {
    TAILQ_ENTRY(Order) link;
    KcBackendHttp *client;
    KcHttpCall *http_call;
    KcSlot *slot; /* NULL when the result is ignored */
    void (*on_done)(KcAgent *agent, KcSlot *slot, int code, KcTime now);
} Order;

KcBackendHttp *
KcBackendHttp_Create(KcLoop *loop, const KcSettings *settings)
{
    KcBackendHttp *client = KcMem_New(sizeof(*client));

    client->loop = loop;
    client->settings = settings;
    TAILQ_INIT(&client->orders);
    return client;
}

void
KcBackendHttp_Free(KcBackendHttp *client)
{
    Order *order;

    while ((order = TAILQ_FIRST(&client->orders)) != NULL) {
        TAILQ_REMOVE(&client->orders, order, link);
        KcHttpCall_Cancel(order->http_call);
        free(order);
    }
    if (client->announcement != NULL) {
        KcHttpCall_Cancel(client->announcement);
    }
    if (client->inspection != NULL) {
        KcHttpCall_Cancel(client->inspection);
    }
    free(client);
}

void
KcBackendHttp_SetAgent(KcBackendHttp *client, KcAgent *agent)
{
    client->agent = agent;
}

/* ---- orders ------------------------------------------------------------- */

static int
order_error_of_status(int status)
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
on_order_response(void *context, int status, const char *reported_value,
                  KcBytes body)
{
    Order *order = context;
    KcBackendHttp *client = order->client;

    (void)reported_value;
    (void)body;
    TAILQ_REMOVE(&client->orders, order, link);
    if (order->slot != NULL) {
        order->on_done(client->agent, order->slot,
                       order_error_of_status(status), KcLoop_Now());
    }
    free(order);
}

static void
send_order(KcBackendHttp *client, const char *path, json_t *json, KcSlot *slot,
           void (*on_done)(KcAgent *agent, KcSlot *slot, int code, KcTime now))
{
    Order *order = KcMem_New(sizeof(*order));
    char *text = json_dumps(json, JSON_COMPACT);
    KcHttpOptions options = {.loop = client->loop,
                             .address = client->settings->backend,
                             .method = "POST",
                             .path = path,
                             .headers = {{"Content-Type", "application/json"}},
                             .body = {text, strlen(text)},
                             .timeout =
                                 client->settings->order_timeout_ms * KC_MS};

    order->client = client;
    order->slot = slot;
    order->on_done = on_done;
    TAILQ_INSERT_TAIL(&client->orders, order, link);
    order->http_call = KcHttpCall_Fetch(&options, on_order_response, order);
    free(text);
    json_decref(json);
}

static void
order_load(void *context, KcSlot *slot)
{
    char path[KC_MODEL_TEXT];

    KcModelRef_Format(&slot->model->ref, path);
    send_order(context, "/v1/load_lora_adapter",
               json_pack("{s:s, s:s, s:I}", "lora_name", slot->name,
                         "lora_path", path, "fence", (json_int_t)slot->fence),
               slot, KcAgent_OnLoaded);
}

static json_t *
unload_body(const char *name, uint64_t fence)
{
    return json_pack("{s:s, s:I}", "lora_name", name, "fence",
                     (json_int_t)fence);
}

static void
order_eviction(void *context, KcSlot *slot, uint64_t fence)
{
    send_order(context, "/v1/unload_lora_adapter",
               unload_body(slot->name, fence), slot, KcAgent_OnEvicted);
}

static void
order_stray_eviction(void *context, const char *name, uint64_t fence)
{
    send_order(context, "/v1/unload_lora_adapter", unload_body(name, fence),
               NULL, NULL);
}

/*
 * Handles the answer to an unload without an adapter name. Status 200 or 404
 * shows that the engine has taken note of the fencing number.
 */
static void
on_announcement_response(void *context, int status, const char *reported_value,
                         KcBytes body)
{
    KcBackendHttp *client = context;
    bool reached_engine = status == 404 || status == 200;

    (void)reported_value;
    (void)body;
    client->announcement = NULL;
    KcAgent_OnAnnounced(client->agent, client->announced_fence,
                        reached_engine ? 0 : order_error_of_status(status),
                        KcLoop_Now());
}

static void
announce_fence(void *context, uint64_t fence)
{
    KcBackendHttp *client = context;
    json_t *json = unload_body("", fence);
    char *text = json_dumps(json, JSON_COMPACT);
    KcHttpOptions options = {.loop = client->loop,
                             .address = client->settings->backend,
                             .method = "POST",
                             .path = "/v1/unload_lora_adapter",
                             .headers = {{"Content-Type", "application/json"}},
                             .body = {text, strlen(text)},
                             .timeout = INSPECTION_TIMEOUT};

    if (client->announcement != NULL) {
        KcHttpCall_Cancel(client->announcement);
    }
    client->announced_fence = fence;
    client->announcement =
        KcHttpCall_Fetch(&options, on_announcement_response, client);
    free(text);
    json_decref(json);
}

/* ---- inspection --------------------------------------------------------- */

static size_t
decode_adapter_list(json_t *list, KcEngineAdapter *adapters)
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
on_inspection_response(void *context, int status, const char *reported_value,
                       KcBytes body)
{
    KcBackendHttp *client = context;
    json_t *root = NULL;
    json_t *list;
    const char *epoch;
    KcEngineAdapter *adapters;
    size_t count;

    (void)reported_value;
    client->inspection = NULL;
    if (status == 200) {
        root = json_loadb(body.data, body.size, 0, NULL);
    }
    list = json_object_get(root, "adapters");
    epoch = json_string_value(json_object_get(root, "epoch"));
    if (!json_is_array(list) || epoch == NULL) {
        KcAgent_OnInspected(client->agent, KC_ERR_BACKEND, "", NULL, 0,
                            client->inspection_started_at, KcLoop_Now());
        json_decref(root);
        return;
    }
    adapters = KcMem_New(json_array_size(list) * sizeof(*adapters));
    count = decode_adapter_list(list, adapters);
    KcAgent_OnInspected(client->agent, 0, epoch, adapters, count,
                        client->inspection_started_at, KcLoop_Now());
    free(adapters);
    json_decref(root);
}

static void
start_inspection(void *context)
{
    KcBackendHttp *client = context;
    KcHttpOptions options = {.loop = client->loop,
                             .address = client->settings->backend,
                             .method = "GET",
                             .path = "/v1/adapters",
                             .timeout = INSPECTION_TIMEOUT};

    client->inspection_started_at = KcLoop_Now();
    client->inspection =
        KcHttpCall_Fetch(&options, on_inspection_response, client);
}

/* ---- works -------------------------------------------------------------- */

static void
start_work(void *context, KcWork *work)
{
    KcBackendHttp *client = context;

    if (work->model.adapter[0] != '\0') {
        KcEngineCall_Start(client, work);
    }
    else {
        KcServiceCall_Start(client, work);
    }
}

static void
cancel_work(void *context, KcWork *work)
{
    KcBackendCall *call = work->call;

    (void)context;
    if (call != NULL) {
        work->call = NULL;
        if (call->http_call != NULL) {
            KcHttpCall_Cancel(call->http_call);
        }
        KcBackendCall_Free(call);
    }
}

static void
set_read_paused(void *context, KcWork *work, bool paused)
{
    KcBackendCall *call = work->call;

    (void)context;
    if (call != NULL && call->http_call != NULL) {
        KcHttpCall_Throttle(call->http_call, paused);
    }
}

const KcBackendOps KcBackend_Http = {
    start_work,     cancel_work,          set_read_paused, order_load,
    order_eviction, order_stray_eviction, announce_fence,  start_inspection};

KcBackendCall *
KcBackendCall_Create(KcBackendHttp *client, KcWork *work)
{
    KcBackendCall *call = KcMem_New(sizeof(*call));

    call->client = client;
    call->work = work;
    call->token_count = work->tokens;
    KcTimer_Init(&call->bad_body_timer, NULL, call);
    work->call = call;
    return call;
}

void
KcBackendCall_Free(KcBackendCall *call)
{
    KcTimers_Clear(call->client->loop->timers, &call->bad_body_timer);
    KcBuffer_Clear(&call->partial_line);
    free(call);
}

void
KcBackendCall_End(KcBackendCall *call, int code, bool ran,
                  const char *finish_reason)
{
    KcWork *work = call->work;
    KcAgent *agent = call->client->agent;
    char text[32];

    KcName_Copy(text, finish_reason, sizeof(text));
    work->call = NULL;
    KcBackendCall_Free(call);
    KcAgent_OnEnd(agent, work, code, ran, text, KcLoop_Now());
}
