/*
 * Stand-in for a model engine: adapter slots, loads that take time, a limit on
 * concurrent calls (continuous batch), a fixed interval between tokens, cold
 * restarts, failed loads, an outdated list of adapters, and optional checks of
 * fencing numbers.
 */
#include <inttypes.h>
#include <string.h>

#include "standin.h"
#include "text.h"

static StandinKnob knobs[] = {
    {"slots", 8, "most adapters loaded or loading at once"},
    {"batch", 16, "most calls that run at once; more are queued"},
    {"load_ms", 50, "time to load an adapter"},
    {"token_ms", 2, "time between the tokens of one call"},
    {"tokens", 8, "tokens of an answer without max_tokens"},
    {"fencing", 1, "1: orders with old fencing numbers are refused"},
    {"fail_loads", 0, "this many loads fail"},
    {"wrong_model", 0, "this many answers name another model"},
    {"cut", 0, "this many answers are cut off after the first token"},
    {"odd_event", 0,
     "this many answers have an event that is no JSON in place "
     "of the second token"},
    {"list_lag_ms", 0, "greatest age of the list of adapters that is shown"},
    {"restart", 0,
     "setting it to non-zero restarts the engine without adapters"},
    {NULL, 0, NULL},
};

typedef struct Adapter {
    TAILQ_ENTRY(Adapter) link;
    char name[KC_ENGINE_NAME_MAX];
    bool is_loaded;
    uint32_t active_calls;
    evhtp_request_t *load_request; /* not answered yet; NULL if none */
    KcTimer timer;
} Adapter;

/* A completion call, running or queued. */
typedef struct Completion {
    TAILQ_ENTRY(Completion) link;
    evhtp_request_t *http;
    Adapter *adapter;
    char model[KC_ENGINE_NAME_MAX];       /* as named in the answer's events */
    char adapter_ref[KC_ENGINE_NAME_MAX]; /* engine name up to the # */
    char *prompt;
    bool is_chat;
    bool is_running;
    uint32_t next_token;
    uint32_t token_count;
    size_t skip_bytes; /* of the text, as an earlier answer delivered them */
    KcTimer timer;
} Completion;

static Standin standin;
static TAILQ_HEAD(AdapterHead,
                  Adapter) adapters = TAILQ_HEAD_INITIALIZER(adapters);
static TAILQ_HEAD(CompletionHead, Completion)
    completions = TAILQ_HEAD_INITIALIZER(completions);
static uint64_t highest_fence; /* of the orders since the last restart */
static uint64_t epoch;         /* changes with each restart */
static uint32_t running_count;
static json_t *outdated_list; /* shown when list_lag_ms is set */
static KcTimer refresh_timer;
static struct {
    int64_t loads;
    int64_t evictions;
    int64_t stale_orders;
    int64_t completions;
    int64_t evicted_active; /* evicted while calls used it; must stay 0 */
    int64_t tokens;
} counters;

/* ---- the list of adapters ----------------------------------------------- */

static json_t *
encode_adapters(void)
{
    json_t *list = json_array();
    Adapter *adapter;
    char text[32];

    TAILQ_FOREACH (adapter, &adapters, link) {
        if (adapter->is_loaded) {
            json_array_append_new(list, json_pack("{s:s, s:i}", "name",
                                                  adapter->name, "active",
                                                  (int)adapter->active_calls));
        }
    }
    snprintf(text, sizeof(text), "%" PRIu64, epoch);
    return json_pack("{s:s, s:o}", "epoch", text, "adapters", list);
}

static void
refresh_outdated_list(KcTimer *timer, KcTime now)
{
    int64_t lag_ms = Standin_GetKnob(&standin, "list_lag_ms");

    json_decref(outdated_list);
    outdated_list = encode_adapters();
    KcTimers_Set(standin.loop->timers, timer,
                 now + (lag_ms > 0 ? lag_ms : 1000) * KC_MS);
}

static void
on_list_request(evhtp_request_t *http, void *context)
{
    (void)context;
    if (Standin_GetKnob(&standin, "list_lag_ms") > 0) {
        Standin_ReplyJson(http, EVHTP_RES_OK, json_incref(outdated_list));
    }
    else {
        Standin_ReplyJson(http, EVHTP_RES_OK, encode_adapters());
    }
}

/* ---- orders ------------------------------------------------------------- */

static Adapter *
find_adapter(const char *name)
{
    Adapter *adapter;

    TAILQ_FOREACH (adapter, &adapters, link) {
        if (strcmp(adapter->name, name) == 0) {
            return adapter;
        }
    }
    return NULL;
}

static int64_t
count_adapters(void)
{
    Adapter *adapter;
    int64_t count = 0;

    TAILQ_FOREACH (adapter, &adapters, link) {
        count++;
    }
    return count;
}

static void
remove_adapter(Adapter *adapter)
{
    Completion *completion;

    TAILQ_FOREACH (completion, &completions, link) {
        if (completion->adapter == adapter) {
            completion->adapter = NULL;
        }
    }
    TAILQ_REMOVE(&adapters, adapter, link);
    KcTimers_Clear(standin.loop->timers, &adapter->timer);
    free(adapter);
}

/* Refuses an order with an old fencing number.  Returns false, without an
 * answer, when the number isn't old. */
static bool
refuse_stale_order(evhtp_request_t *http, json_t *body)
{
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(body, "fence"));

    if (Standin_GetKnob(&standin, "fencing") != 0 && fence < highest_fence) {
        counters.stale_orders++;
        Standin_ReplyText(http, EVHTP_RES_CONFLICT, "old fencing number\n");
        return true;
    }
    if (fence > highest_fence) {
        highest_fence = fence;
    }
    return false;
}

static void
on_load_done(KcTimer *timer, KcTime now)
{
    Adapter *adapter = timer->owner;
    evhtp_request_t *http = adapter->load_request;

    (void)now;
    adapter->load_request = NULL;
    if (Standin_TakeFault(&standin, "fail_loads")) {
        remove_adapter(adapter);
        Standin_ReplyText(http, EVHTP_RES_SERVERR, "load failed\n");
        return;
    }
    adapter->is_loaded = true;
    Standin_ReplyText(http, EVHTP_RES_OK, "loaded\n");
}

/* A load order was answered, or its caller disconnected during the load. */
static evhtp_res
on_load_order_end(evhtp_request_t *http, void *context)
{
    Adapter *adapter;

    (void)context;
    TAILQ_FOREACH (adapter, &adapters, link) {
        if (adapter->load_request == http) {
            remove_adapter(adapter); /* cancels the load */
            break;
        }
    }
    return EVHTP_RES_OK;
}

static void
start_load(evhtp_request_t *http, const char *name)
{
    Adapter *adapter = KcMem_New(sizeof(*adapter));

    counters.loads++;
    KcText_Copy(adapter->name, name, sizeof(adapter->name));
    adapter->load_request = http;
    KcTimer_Init(&adapter->timer, on_load_done, adapter);
    KcTimers_Set(standin.loop->timers, &adapter->timer,
                 KcLoop_Now() + Standin_GetKnob(&standin, "load_ms") * KC_MS);
    TAILQ_INSERT_TAIL(&adapters, adapter, link);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_load_order_end, NULL);
}

static void
on_load_order(evhtp_request_t *http, void *context)
{
    json_t *body = Standin_ParseBody(http);
    const char *name = json_string_value(json_object_get(body, "lora_name"));

    (void)context;
    if (name == NULL || strlen(name) >= KC_ENGINE_NAME_MAX) {
        Standin_ReplyText(http, EVHTP_RES_BADREQ,
                          "lora_name is missing or too long\n");
    }
    else if (refuse_stale_order(http, body)) {
        /* The refusal was the answer. */
    }
    else if (find_adapter(name) != NULL) {
        Standin_ReplyText(http, EVHTP_RES_BADREQ,
                          "already loaded or loading\n");
    }
    else if (count_adapters() >= Standin_GetKnob(&standin, "slots")) {
        Standin_ReplyText(http, EVHTP_RES_SERVUNAVAIL, "no free slot\n");
    }
    else {
        start_load(http, name);
    }
    json_decref(body);
}

static void
on_unload_order(evhtp_request_t *http, void *context)
{
    json_t *body = Standin_ParseBody(http);
    const char *name = json_string_value(json_object_get(body, "lora_name"));
    Adapter *adapter = name != NULL ? find_adapter(name) : NULL;

    (void)context;
    if (refuse_stale_order(http, body)) {
        /* The refusal was the answer. */
    }
    else if (adapter == NULL || !adapter->is_loaded) {
        Standin_ReplyText(http, EVHTP_RES_NOTFOUND, "not loaded\n");
    }
    else {
        counters.evictions++;
        counters.evicted_active += adapter->active_calls > 0;
        remove_adapter(adapter);
        Standin_ReplyText(http, EVHTP_RES_OK, "unloaded\n");
    }
    json_decref(body);
}

/* ---- completions -------------------------------------------------------- */

static void start_queued_completions(void);

static void
free_completion(Completion *completion)
{
    TAILQ_REMOVE(&completions, completion, link);
    KcTimers_Clear(standin.loop->timers, &completion->timer);
    if (completion->adapter != NULL) {
        completion->adapter->active_calls--;
    }
    if (completion->is_running) {
        running_count--;
    }
    free(completion->prompt);
    free(completion);
}

static evhtp_res
on_caller_disconnected(evhtp_request_t *http, void *context)
{
    (void)http;
    free_completion(context);
    start_queued_completions();
    return EVHTP_RES_OK;
}

static void
send_event(Completion *completion, const char *text, const char *finish_reason)
{
    json_t *choice;
    json_t *event;
    char *encoded;
    struct evbuffer *out = evbuffer_new();

    if (completion->is_chat) {
        choice = json_pack("{s:i, s:{s:s}, s:s?}", "index", 0, "delta",
                           "content", text, "finish_reason", finish_reason);
    }
    else {
        choice = json_pack("{s:i, s:s, s:s?}", "index", 0, "text", text,
                           "finish_reason", finish_reason);
    }
    event = json_pack("{s:s, s:[o]}", "model", completion->model, "choices",
                      choice);
    encoded = json_dumps(event, JSON_COMPACT);
    evbuffer_add_printf(out, "data: %s\n\n%s", encoded,
                        finish_reason != NULL ? "data: [DONE]\n\n" : "");
    evhtp_send_reply_chunk(completion->http, out);
    evbuffer_free(out);
    free(encoded);
    json_decref(event);
}

static void
send_odd_event(Completion *completion)
{
    struct evbuffer *chunk = evbuffer_new();

    evbuffer_add_printf(chunk, "data: {\"choices\":[{\"text\":\n\n");
    evhtp_send_reply_chunk(completion->http, chunk);
    evbuffer_free(chunk);
}

static void
finish_completion(Completion *completion)
{
    evhtp_request_t *http = completion->http;

    send_event(completion, "", "stop");
    evhtp_request_unset_hook(http, evhtp_hook_on_request_fini);
    free_completion(completion);
    evhtp_send_reply_chunk_end(http);
    start_queued_completions();
}

/* Ends a completion by closing its connection. */
static void
drop_completion(Completion *completion)
{
    evhtp_request_t *http = completion->http;

    evhtp_request_unset_hook(http, evhtp_hook_on_request_fini);
    free_completion(completion);
    Standin_DropConnection(http);
    start_queued_completions();
}

/* Sends the next token that wasn't delivered earlier.  Returns false when the
 * completion has ended and is freed. */
static bool
send_token(Completion *completion)
{
    char token[STANDIN_TOKEN_TEXT_SIZE];
    size_t length;

    do {
        if (completion->next_token >= completion->token_count) {
            finish_completion(completion);
            return false;
        }
        length =
            StandinText_WriteToken(completion->adapter_ref, completion->prompt,
                                   completion->next_token++, token);
        if (completion->skip_bytes >= length) {
            /* The next token follows without the token interval. */
            completion->skip_bytes -= length;
            length = 0;
        }
    } while (length == 0);
    counters.tokens++;
    if (completion->next_token == 2 &&
        Standin_TakeFault(&standin, "odd_event")) {
        send_odd_event(completion);
    }
    else {
        send_event(completion, token + completion->skip_bytes, NULL);
    }
    completion->skip_bytes = 0;
    if (completion->next_token == 1 && Standin_TakeFault(&standin, "cut")) {
        drop_completion(completion);
        return false;
    }
    return true;
}

static void
on_token_due(KcTimer *timer, KcTime now)
{
    Completion *completion = timer->owner;
    int64_t interval_ms = Standin_GetKnob(&standin, "token_ms");

    while (send_token(completion)) {
        if (interval_ms > 0) {
            KcTimers_Set(standin.loop->timers, timer,
                         now + interval_ms * KC_MS);
            return;
        }
    }
}

static void
start_completion(Completion *completion)
{
    evhtp_header_t *type =
        evhtp_header_new("Content-Type", "text/event-stream", 0, 0);

    completion->is_running = true;
    running_count++;
    evhtp_headers_add_header(completion->http->headers_out, type);
    evhtp_send_reply_chunk_start(completion->http, EVHTP_RES_OK);
    KcTimers_Set(standin.loop->timers, &completion->timer,
                 KcLoop_Now() + Standin_GetKnob(&standin, "token_ms") * KC_MS);
}

/* Starts queued completions while the batch has room. */
static void
start_queued_completions(void)
{
    Completion *completion;

    TAILQ_FOREACH (completion, &completions, link) {
        if (running_count >= Standin_GetKnob(&standin, "batch")) {
            return;
        }
        if (!completion->is_running) {
            start_completion(completion);
        }
    }
}

/* Returns a copy of the prompt or of the last chat message, NULL if none. */
static char *
copy_prompt(json_t *body, bool chat)
{
    json_t *messages = json_object_get(body, "messages");
    json_t *last_message;
    const char *text;

    if (!chat) {
        text = json_string_value(json_object_get(body, "prompt"));
    }
    else {
        last_message = json_array_get(messages, json_array_size(messages) - 1);
        text = json_string_value(json_object_get(last_message, "content"));
    }
    return text != NULL ? strdup(text) : NULL;
}

static void
queue_completion(evhtp_request_t *http, json_t *body, Adapter *adapter,
                 char *prompt, bool chat)
{
    Completion *completion = KcMem_New(sizeof(*completion));
    json_t *max_tokens = json_object_get(body, "max_tokens");
    const char *delivered_text =
        json_string_value(json_object_get(body, "continue_from"));
    char *suffix;

    counters.completions++;
    completion->http = http;
    completion->adapter = adapter;
    adapter->active_calls++;
    KcText_Copy(completion->model, adapter->name, sizeof(completion->model));
    KcText_Copy(completion->adapter_ref, adapter->name,
                sizeof(completion->adapter_ref));
    suffix = strchr(completion->adapter_ref, '#');
    if (suffix != NULL) {
        *suffix = '\0';
    }
    if (Standin_TakeFault(&standin, "wrong_model")) {
        KcText_Copy(completion->model, "another@1#1.1",
                    sizeof(completion->model));
    }
    completion->prompt = prompt;
    completion->is_chat = chat;
    completion->token_count =
        max_tokens != NULL ? (uint32_t)json_integer_value(max_tokens)
                           : (uint32_t)Standin_GetKnob(&standin, "tokens");
    completion->skip_bytes =
        delivered_text != NULL ? strlen(delivered_text) : 0;
    KcTimer_Init(&completion->timer, on_token_due, completion);
    TAILQ_INSERT_TAIL(&completions, completion, link);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_caller_disconnected, completion);
    start_queued_completions();
}

static void
on_completion_request(evhtp_request_t *http, void *context)
{
    json_t *body = Standin_ParseBody(http);
    bool chat = strcmp(http->uri->path->full, "/v1/chat/completions") == 0;
    const char *name = json_string_value(json_object_get(body, "model"));
    Adapter *adapter = name != NULL ? find_adapter(name) : NULL;
    char *prompt = copy_prompt(body, chat);

    (void)context;
    if (prompt == NULL) {
        Standin_ReplyText(http, EVHTP_RES_BADREQ, "prompt is missing\n");
    }
    else if (adapter == NULL || !adapter->is_loaded) {
        free(prompt);
        Standin_ReplyText(http, EVHTP_RES_NOTFOUND, "not loaded\n");
    }
    else {
        queue_completion(http, body, adapter, prompt, chat);
    }
    json_decref(body);
}

/* ---- faults and counters ------------------------------------------------ */

/* Drops all calls and adapters, as an engine whose process restarts. */
static void
restart_cold(void)
{
    Completion *completion;
    Completion *next;
    Adapter *adapter;

    epoch++;
    highest_fence = 0;
    TAILQ_FOREACH_SAFE (completion, &completions, link, next) {
        evhtp_request_t *http = completion->http;

        evhtp_request_unset_hook(http, evhtp_hook_on_request_fini);
        free_completion(completion);
        Standin_DropConnection(http);
    }
    while ((adapter = TAILQ_FIRST(&adapters)) != NULL) {
        evhtp_request_t *http = adapter->load_request;

        remove_adapter(adapter);
        if (http != NULL) {
            evhtp_request_unset_hook(http, evhtp_hook_on_request_fini);
            Standin_DropConnection(http);
        }
    }
}

static void
on_knob_set(const StandinKnob *knob)
{
    if (strcmp(knob->name, "restart") == 0 && knob->value != 0) {
        restart_cold();
    }
}

static void
add_state(json_t *state)
{
    json_object_set_new(state, "loads", json_integer(counters.loads));
    json_object_set_new(state, "evictions", json_integer(counters.evictions));
    json_object_set_new(state, "evicted_active",
                        json_integer(counters.evicted_active));
    json_object_set_new(state, "stale_orders",
                        json_integer(counters.stale_orders));
    json_object_set_new(state, "completions",
                        json_integer(counters.completions));
    json_object_set_new(state, "tokens", json_integer(counters.tokens));
    json_object_set_new(state, "adapters", json_integer(count_adapters()));
}

static const StandinOptions standin_options = {"standin-engine", knobs,
                                               add_state, on_knob_set};

int
main(int argc, char **argv)
{
    int status;

    Standin_Init(&standin, &standin_options, argc, argv);
    epoch = KcLoop_GetRandomBits() >> 16;
    outdated_list = encode_adapters();
    KcTimer_Init(&refresh_timer, refresh_outdated_list, NULL);
    refresh_outdated_list(&refresh_timer, KcLoop_Now());
    evhtp_set_cb(standin.http, "/v1/load_lora_adapter", on_load_order, NULL);
    evhtp_set_cb(standin.http, "/v1/unload_lora_adapter", on_unload_order,
                 NULL);
    evhtp_set_cb(standin.http, "/v1/adapters", on_list_request, NULL);
    evhtp_set_cb(standin.http, "/v1/completions", on_completion_request, NULL);
    evhtp_set_cb(standin.http, "/v1/chat/completions", on_completion_request,
                 NULL);
    status = Standin_Run(&standin);
    json_decref(outdated_list);
    return status;
}
