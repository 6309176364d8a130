/*
 * Stand-in for a model engine: slots, loads that take time, a continuous
 * batch, a pace of tokens, cold restarts, failed loads, late listings, and
 * fencing numbers honoured or ignored.
 */
#include <inttypes.h>
#include <string.h>

#include "standin.h"
#include "text.h"

static StandinKnob knobs[] = {
    {"slots", 8, "adapters held at once"},
    {"batch", 16, "calls run at once; more wait"},
    {"load_ms", 50, "time to load an adapter"},
    {"token_ms", 2, "time between the tokens of one call"},
    {"tokens", 8, "tokens of an answer without max_tokens"},
    {"fencing", 1, "1: old fencing numbers are refused"},
    {"fail_loads", 0, "this many loads fail"},
    {"wrong_model", 0, "this many answers name another model"},
    {"cut", 0, "this many answers are cut after the first token"},
    {"list_lag_ms", 0, "the list of adapters is this old"},
    {"restart", 0, "setting it restarts the engine cold"},
    {NULL, 0, NULL},
};

typedef struct Adapter {
    TAILQ_ENTRY(Adapter) link;
    char name[KC_ENGINE_NAME_MAX];
    bool ready;
    uint32_t active;
    evhtp_request_t *http; /* the load order that waits, or NULL */
    KcTimer timer;
} Adapter;

/* One completion. */
typedef struct Completion {
    TAILQ_ENTRY(Completion) link;
    evhtp_request_t *http;
    Adapter *adapter;
    char name[KC_ENGINE_NAME_MAX];  /* as asked for */
    char model[KC_ENGINE_NAME_MAX]; /* without what follows # */
    char *prompt;
    bool chat;
    bool running;
    uint32_t next; /* token */
    uint32_t count;
    size_t skip; /* bytes that were delivered before */
    KcTimer timer;
} Completion;

static Standin standin;
static TAILQ_HEAD(AdapterHead,
                  Adapter) adapters = TAILQ_HEAD_INITIALIZER(adapters);
static TAILQ_HEAD(CompletionHead, Completion)
    completions = TAILQ_HEAD_INITIALIZER(completions);
static uint64_t highest_fence;
static uint64_t epoch;
static uint32_t running;
static json_t *listed; /* the list as shown */
static KcTimer list_timer;
static struct {
    int64_t loads;
    int64_t evictions;
    int64_t stale_orders;
    int64_t completions;
    int64_t evicted_active; /* must stay zero */
    int64_t tokens;
} counts;

/* ---- the list of adapters ----------------------------------------------- */

static json_t *
make_list(void)
{
    json_t *list = json_array();
    Adapter *adapter;
    char text[32];

    TAILQ_FOREACH (adapter, &adapters, link) {
        if (adapter->ready) {
            json_array_append_new(list, json_pack("{s:s, s:i}", "name",
                                                  adapter->name, "active",
                                                  (int)adapter->active));
        }
    }
    snprintf(text, sizeof(text), "%" PRIu64, epoch);
    return json_pack("{s:s, s:o}", "epoch", text, "adapters", list);
}

static void
refresh_list(KcTimer *timer, KcTime now)
{
    int64_t lag = Standin_Knob(&standin, "list_lag_ms");

    json_decref(listed);
    listed = make_list();
    KcTimers_Set(standin.loop->timers, timer,
                 now + (lag > 0 ? lag : 1000) * KC_MS);
}

static void
on_adapters(evhtp_request_t *http, void *context)
{
    (void)context;
    if (Standin_Knob(&standin, "list_lag_ms") > 0) {
        Standin_ReplyJson(http, EVHTP_RES_OK, json_incref(listed));
    }
    else {
        Standin_ReplyJson(http, EVHTP_RES_OK, make_list());
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
adapter_count(void)
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

/* Refuses an order with an old fencing number. */
static bool
refuse_stale(evhtp_request_t *http, json_t *body)
{
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(body, "fence"));

    if (Standin_Knob(&standin, "fencing") != 0 && fence < highest_fence) {
        counts.stale_orders++;
        Standin_ReplyText(http, EVHTP_RES_CONFLICT, "old fencing number\n");
        return true;
    }
    if (fence > highest_fence) {
        highest_fence = fence;
    }
    return false;
}

static void
on_loaded(KcTimer *timer, KcTime now)
{
    Adapter *adapter = timer->owner;
    evhtp_request_t *http = adapter->http;

    (void)now;
    adapter->http = NULL;
    if (Standin_TakeFault(&standin, "fail_loads")) {
        remove_adapter(adapter);
        Standin_ReplyText(http, EVHTP_RES_SERVERR, "load failed\n");
        return;
    }
    adapter->ready = true;
    Standin_ReplyText(http, EVHTP_RES_OK, "loaded\n");
}

static evhtp_res
on_order_gone(evhtp_request_t *http, void *context)
{
    Adapter *adapter;

    (void)context;
    TAILQ_FOREACH (adapter, &adapters, link) {
        if (adapter->http == http) {
            remove_adapter(adapter); /* the order was given up */
            break;
        }
    }
    return EVHTP_RES_OK;
}

static void
begin_load(evhtp_request_t *http, const char *name)
{
    Adapter *adapter = KcMem_New(sizeof(*adapter));

    counts.loads++;
    KcText_Copy(adapter->name, name, sizeof(adapter->name));
    adapter->http = http;
    KcTimer_Init(&adapter->timer, on_loaded, adapter);
    KcTimers_Set(standin.loop->timers, &adapter->timer,
                 KcLoop_Now() + Standin_Knob(&standin, "load_ms") * KC_MS);
    TAILQ_INSERT_TAIL(&adapters, adapter, link);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_order_gone, NULL);
}

static void
on_load(evhtp_request_t *http, void *context)
{
    json_t *body = Standin_Body(http);
    const char *name = json_string_value(json_object_get(body, "lora_name"));

    (void)context;
    if (name == NULL || strlen(name) >= KC_ENGINE_NAME_MAX) {
        Standin_ReplyText(http, EVHTP_RES_BADREQ, "lora_name\n");
    }
    else if (refuse_stale(http, body)) {
        /* answered */
    }
    else if (find_adapter(name) != NULL) {
        Standin_ReplyText(http, EVHTP_RES_BADREQ, "already there\n");
    }
    else if (adapter_count() >= Standin_Knob(&standin, "slots")) {
        Standin_ReplyText(http, EVHTP_RES_SERVUNAVAIL, "no slot\n");
    }
    else {
        begin_load(http, name);
    }
    json_decref(body);
}

static void
on_unload(evhtp_request_t *http, void *context)
{
    json_t *body = Standin_Body(http);
    const char *name = json_string_value(json_object_get(body, "lora_name"));
    Adapter *adapter = name != NULL ? find_adapter(name) : NULL;

    (void)context;
    if (refuse_stale(http, body)) {
        /* answered */
    }
    else if (adapter == NULL || !adapter->ready) {
        Standin_ReplyText(http, EVHTP_RES_NOTFOUND, "not loaded\n");
    }
    else {
        counts.evictions++;
        counts.evicted_active += adapter->active > 0;
        remove_adapter(adapter);
        Standin_ReplyText(http, EVHTP_RES_OK, "unloaded\n");
    }
    json_decref(body);
}

/* ---- completions -------------------------------------------------------- */

static void start_waiting(void);

static void
free_completion(Completion *completion)
{
    TAILQ_REMOVE(&completions, completion, link);
    KcTimers_Clear(standin.loop->timers, &completion->timer);
    if (completion->adapter != NULL) {
        completion->adapter->active--;
    }
    if (completion->running) {
        running--;
    }
    free(completion->prompt);
    free(completion);
}

static evhtp_res
on_completion_gone(evhtp_request_t *http, void *context)
{
    (void)http;
    free_completion(context);
    start_waiting();
    return EVHTP_RES_OK;
}

static void
send_event(Completion *completion, const char *text, const char *finish)
{
    json_t *choice;
    json_t *event;
    char *encoded;
    struct evbuffer *out = evbuffer_new();

    if (completion->chat) {
        choice = json_pack("{s:i, s:{s:s}, s:s?}", "index", 0, "delta",
                           "content", text, "finish_reason", finish);
    }
    else {
        choice = json_pack("{s:i, s:s, s:s?}", "index", 0, "text", text,
                           "finish_reason", finish);
    }
    event = json_pack("{s:s, s:[o]}", "model", completion->name, "choices",
                      choice);
    encoded = json_dumps(event, JSON_COMPACT);
    evbuffer_add_printf(out, "data: %s\n\n%s", encoded,
                        finish != NULL ? "data: [DONE]\n\n" : "");
    evhtp_send_reply_chunk(completion->http, out);
    evbuffer_free(out);
    free(encoded);
    json_decref(event);
}

static void
finish_completion(Completion *completion)
{
    evhtp_request_t *http = completion->http;

    send_event(completion, "", "stop");
    evhtp_request_unset_hook(http, evhtp_hook_on_request_fini);
    free_completion(completion);
    evhtp_send_reply_chunk_end(http);
    start_waiting();
}

static void
cut_completion(Completion *completion)
{
    evhtp_request_t *http = completion->http;

    evhtp_request_unset_hook(http, evhtp_hook_on_request_fini);
    free_completion(completion);
    Standin_Drop(http);
    start_waiting();
}

/* Sends the next token.  False when the completion is over. */
static bool
send_token(Completion *completion)
{
    char token[STANDIN_TOKEN_MAX];
    size_t length;

    do {
        if (completion->next >= completion->count) {
            finish_completion(completion);
            return false;
        }
        length = StandinText_Token(completion->model, completion->prompt,
                                   completion->next++, token);
        if (completion->skip >= length) {
            completion->skip -= length; /* delivered before: costs no time */
            length = 0;
        }
    } while (length == 0);
    counts.tokens++;
    send_event(completion, token + completion->skip, NULL);
    completion->skip = 0;
    if (completion->next == 1 && Standin_TakeFault(&standin, "cut")) {
        cut_completion(completion);
        return false;
    }
    return true;
}

static void
on_token(KcTimer *timer, KcTime now)
{
    Completion *completion = timer->owner;
    int64_t pace = Standin_Knob(&standin, "token_ms");

    while (send_token(completion)) {
        if (pace > 0) {
            KcTimers_Set(standin.loop->timers, timer, now + pace * KC_MS);
            return;
        }
    }
}

static void
start_completion(Completion *completion)
{
    evhtp_header_t *type =
        evhtp_header_new("Content-Type", "text/event-stream", 0, 0);

    completion->running = true;
    running++;
    evhtp_headers_add_header(completion->http->headers_out, type);
    evhtp_send_reply_chunk_start(completion->http, EVHTP_RES_OK);
    KcTimers_Set(standin.loop->timers, &completion->timer,
                 KcLoop_Now() + Standin_Knob(&standin, "token_ms") * KC_MS);
}

/* Fills free places in the batch. */
static void
start_waiting(void)
{
    Completion *completion;

    TAILQ_FOREACH (completion, &completions, link) {
        if (running >= Standin_Knob(&standin, "batch")) {
            return;
        }
        if (!completion->running) {
            start_completion(completion);
        }
    }
}

static char *
prompt_of(json_t *body, bool chat)
{
    json_t *messages = json_object_get(body, "messages");
    json_t *last;
    const char *text;

    if (!chat) {
        text = json_string_value(json_object_get(body, "prompt"));
    }
    else {
        last = json_array_get(messages, json_array_size(messages) - 1);
        text = json_string_value(json_object_get(last, "content"));
    }
    return text != NULL ? strdup(text) : NULL;
}

static void
begin_completion(evhtp_request_t *http, json_t *body, Adapter *adapter,
                 char *prompt, bool chat)
{
    Completion *completion = KcMem_New(sizeof(*completion));
    json_t *count = json_object_get(body, "max_tokens");
    const char *before =
        json_string_value(json_object_get(body, "continue_from"));
    char *hash;

    counts.completions++;
    completion->http = http;
    completion->adapter = adapter;
    adapter->active++;
    KcText_Copy(completion->name, adapter->name, sizeof(completion->name));
    KcText_Copy(completion->model, adapter->name, sizeof(completion->model));
    hash = strchr(completion->model, '#');
    if (hash != NULL) {
        *hash = '\0';
    }
    if (Standin_TakeFault(&standin, "wrong_model")) {
        KcText_Copy(completion->name, "another@1#1.1",
                    sizeof(completion->name));
    }
    completion->prompt = prompt;
    completion->chat = chat;
    completion->count = count != NULL
                            ? (uint32_t)json_integer_value(count)
                            : (uint32_t)Standin_Knob(&standin, "tokens");
    completion->skip = before != NULL ? strlen(before) : 0;
    KcTimer_Init(&completion->timer, on_token, completion);
    TAILQ_INSERT_TAIL(&completions, completion, link);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_completion_gone, completion);
    start_waiting();
}

static void
on_completion(evhtp_request_t *http, void *context)
{
    json_t *body = Standin_Body(http);
    bool chat = strcmp(http->uri->path->full, "/v1/chat/completions") == 0;
    const char *name = json_string_value(json_object_get(body, "model"));
    Adapter *adapter = name != NULL ? find_adapter(name) : NULL;
    char *prompt = prompt_of(body, chat);

    (void)context;
    if (prompt == NULL) {
        Standin_ReplyText(http, EVHTP_RES_BADREQ, "no prompt\n");
    }
    else if (adapter == NULL || !adapter->ready) {
        free(prompt);
        Standin_ReplyText(http, EVHTP_RES_NOTFOUND, "not loaded\n");
    }
    else {
        begin_completion(http, body, adapter, prompt, chat);
    }
    json_decref(body);
}

/* ---- faults and counters ------------------------------------------------ */

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
        Standin_Drop(http);
    }
    while ((adapter = TAILQ_FIRST(&adapters)) != NULL) {
        evhtp_request_t *http = adapter->http;

        remove_adapter(adapter);
        if (http != NULL) {
            evhtp_request_unset_hook(http, evhtp_hook_on_request_fini);
            Standin_Drop(http);
        }
    }
}

static void
on_knob(const StandinKnob *knob)
{
    if (strcmp(knob->name, "restart") == 0 && knob->value != 0) {
        restart_cold();
    }
}

static void
add_state(json_t *state)
{
    json_object_set_new(state, "loads", json_integer(counts.loads));
    json_object_set_new(state, "evictions", json_integer(counts.evictions));
    json_object_set_new(state, "evicted_active",
                        json_integer(counts.evicted_active));
    json_object_set_new(state, "stale_orders",
                        json_integer(counts.stale_orders));
    json_object_set_new(state, "completions",
                        json_integer(counts.completions));
    json_object_set_new(state, "tokens", json_integer(counts.tokens));
    json_object_set_new(state, "adapters", json_integer(adapter_count()));
}

static const StandinOptions options = {"standin-engine", knobs, add_state,
                                       on_knob};

int
main(int argc, char **argv)
{
    int status;

    Standin_Init(&standin, &options, argc, argv);
    epoch = KcLoop_GetRandomBits() >> 16;
    listed = make_list();
    KcTimer_Init(&list_timer, refresh_list, NULL);
    refresh_list(&list_timer, KcLoop_Now());
    evhtp_set_cb(standin.http, "/v1/load_lora_adapter", on_load, NULL);
    evhtp_set_cb(standin.http, "/v1/unload_lora_adapter", on_unload, NULL);
    evhtp_set_cb(standin.http, "/v1/adapters", on_adapters, NULL);
    evhtp_set_cb(standin.http, "/v1/completions", on_completion, NULL);
    evhtp_set_cb(standin.http, "/v1/chat/completions", on_completion, NULL);
    status = Standin_Run(&standin);
    json_decref(listed);
    return status;
}
