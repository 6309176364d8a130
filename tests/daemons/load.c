/*
 * A running load of callers.
 */
#include "load.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../standins/text.h"

#define CALL_TIMEOUT (60 * KC_SECOND)
#define CALL_INTERVAL_MS 20
#define FINISH_MS 70000

void
Load_Init(Load *load, Fleet *fleet, uint32_t tokens)
{
    memset(load, 0, sizeof(*load));
    load->loop = KcLoop_Create();
    load->fleet = fleet;
    load->tokens = tokens;
    TAILQ_INIT(&load->calls);
}

void
Load_Clear(Load *load)
{
    LoadCall *call;

    while ((call = TAILQ_FIRST(&load->calls)) != NULL) {
        TAILQ_REMOVE(&load->calls, call, link);
        KcBuffer_Clear(&call->body);
        free(call);
    }
    KcLoop_Free(load->loop);
}

/* ---- calling ------------------------------------------------------------ */

static void
on_head(void *context, const KcHttpResponseHead *head)
{
    ((LoadCall *)context)->status = head->status;
}

static void
on_data(void *context, KcBytes bytes)
{
    KcBuffer_Append(&((LoadCall *)context)->body, bytes.data, bytes.size);
}

static void
on_done(void *context, int code, bool sent)
{
    LoadCall *call = context;

    (void)sent;
    call->whole = code == 0;
    call->ended = true;
    call->http = NULL;
    call->load->in_progress--;
    KcBuffer_Append(&call->body, "", 1);
}

static const KcHttpCallOps ops = {on_head, on_data, on_done, NULL};

static LoadCall *
new_call(Load *load)
{
    LoadCall *call = KcMem_New(sizeof(*call));

    call->load = load;
    snprintf(call->text, sizeof(call->text), "text-%u", load->count++);
    TAILQ_INSERT_TAIL(&load->calls, call, link);
    load->in_progress++;
    return call;
}

static void
send_call(Load *load, LoadCall *call, uint32_t entry, const char *path,
          const char *body)
{
    KcHttpCallOptions options = {
        .loop = load->loop,
        .address = Fleet_Address(load->fleet, FLEET_ENTRY, entry),
        .method = "POST",
        .path = path,
        .headers = {{"Content-Type", "application/json"},
                    {"X-Kcc-Customer", "load"},
                    {"Idempotency-Key",
                     call->key[0] != '\0' ? call->key : NULL}},
        .body = {body, strlen(body)},
        .progress_timeout = CALL_TIMEOUT,
        .ops = &ops,
        .context = call};

    call->http = KcHttpCall_Start(&options);
    g_assert_nonnull(call->http);
}

LoadCall *
Load_CallModel(Load *load, uint32_t entry, uint32_t adapter, uint32_t version,
               bool stream)
{
    LoadCall *call = new_call(load);
    char body[256];

    call->stream = stream;
    snprintf(call->model, sizeof(call->model), "a%u@%u", adapter, version);
    snprintf(body, sizeof(body),
             "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%u,"
             "\"stream\":%s}",
             call->model, call->text, load->tokens, stream ? "true" : "false");
    send_call(load, call, entry, "/v1/completions", body);
    return call;
}

void
Load_CallPlain(Load *load, uint32_t entry, const char *key)
{
    LoadCall *call = new_call(load);

    call->plain = true;
    if (key != NULL) {
        KcText_Copy(call->key, key, sizeof(call->key));
    }
    send_call(load, call, entry, "/print/jobs", call->text);
}

void
Load_Run(Load *load, int milliseconds)
{
    for (int passed = 0; passed < milliseconds; passed += CALL_INTERVAL_MS) {
        uint32_t n = load->rounds++;
        char key[64];

        Load_CallModel(load, n % 2, n * 7 % 12, n % 5 == 0 ? 1 : 2,
                       n % 2 == 0);
        snprintf(key, sizeof(key), "key-%u", n);
        Load_CallPlain(load, (n + 1) % 2, key);
        if (n % 4 == 0) {
            Load_CallPlain(load, n % 2, key); /* the same key elsewhere */
        }
        Fleet_Run(load->loop, CALL_INTERVAL_MS);
    }
}

void
Load_Finish(Load *load)
{
    for (int passed = 0; passed < FINISH_MS && load->in_progress > 0;
         passed += 50) {
        Fleet_Run(load->loop, 50);
    }
    g_assert_cmpuint(load->in_progress, ==, 0);
}

/* ---- judging ------------------------------------------------------------ */

static void
blame(LoadResult *result, const LoadCall *call, const char *what)
{
    result->wrong++;
    g_test_message("%s %s: %s: status %d, %s", call->text, call->model, what,
                   call->status, KcBuffer_Data(&call->body));
}

/* Text of a whole answer; NULL when there is none. */
static char *
whole_text(const LoadCall *call)
{
    json_t *root = json_loads(KcBuffer_Data(&call->body), 0, NULL);
    json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
    const char *text = json_string_value(json_object_get(choice, "text"));
    char *copy = g_strdup(text);

    json_decref(root);
    return copy;
}

/* Text of a streamed answer; *done is set when its end was seen. */
static char *
streamed_text(const LoadCall *call, bool *done)
{
    char *copy = g_strdup(KcBuffer_Data(&call->body));
    GString *text = g_string_new("");
    char *rest = copy;
    char *line;

    *done = false;
    while ((line = strsep(&rest, "\n")) != NULL) {
        json_t *root;
        json_t *choice;
        const char *piece;

        *done = *done || strcmp(line, "data: [DONE]") == 0;
        if (!g_str_has_prefix(line, "data: {")) {
            continue;
        }
        root = json_loads(line + strlen("data: "), 0, NULL);
        choice = json_array_get(json_object_get(root, "choices"), 0);
        piece = json_string_value(json_object_get(choice, "text"));
        g_string_append(text, piece != NULL ? piece : "");
        json_decref(root);
    }
    g_free(copy);
    return g_string_free(text, FALSE);
}

/* Outcome that an error names; NULL when the answer is no error. */
static char *
outcome_of(const LoadCall *call)
{
    const char *at = strstr(KcBuffer_Data(&call->body), "\"outcome\":\"");

    return at != NULL ? g_strndup(at + 11, strcspn(at + 11, "\"")) : NULL;
}

static void
judge_model(const LoadCall *call, LoadResult *result)
{
    size_t size = (size_t)call->load->tokens * STANDIN_TOKEN_TEXT_SIZE + 1;
    char *expected = g_malloc(size);
    bool done = true;
    char *text;

    StandinText_WriteAnswer(call->model, call->text, call->load->tokens,
                            expected, size);
    text = call->stream ? streamed_text(call, &done) : whole_text(call);
    if (text == NULL || !done || strcmp(text, expected) != 0) {
        blame(result, call, "not the whole answer");
    }
    else {
        result->answered++;
    }
    g_free(text);
    g_free(expected);
}

/* Executions of a body, over all services. */
static json_int_t
executions_of(json_t *const *states, uint32_t count, const char *body)
{
    json_int_t total = 0;

    for (uint32_t i = 0; i < count; i++) {
        json_t *by_body = json_object_get(states[i], "by_body");

        total += json_integer_value(json_object_get(by_body, body));
    }
    return total;
}

static void
judge_error(const LoadCall *call, LoadResult *result, json_int_t executions)
{
    char *outcome = outcome_of(call);

    if (outcome != NULL && strcmp(outcome, "not_run") == 0) {
        result->not_run++;
        if (executions > 0) {
            blame(result, call, "told not_run and executed");
        }
    }
    else if (outcome != NULL && strcmp(outcome, "unknown") == 0) {
        result->unknown++;
    }
    else {
        blame(result, call, "an error without an outcome");
    }
    g_free(outcome);
}

static void
judge_plain(const LoadCall *call, LoadResult *result, json_int_t executions)
{
    if (executions != 1 ||
        strstr(KcBuffer_Data(&call->body), call->text) == NULL) {
        blame(result, call, "answered and not executed once");
    }
    result->answered++;
}

static void
judge(const LoadCall *call, LoadResult *result, json_int_t executions)
{
    if (executions > 1) {
        blame(result, call, "executed more than once");
    }
    if (!call->whole || call->status == 0) {
        result->lost++;
    }
    else if (strstr(KcBuffer_Data(&call->body), "\"error\":{") != NULL) {
        judge_error(call, result, executions);
    }
    else if (call->plain) {
        judge_plain(call, result, executions);
    }
    else {
        judge_model(call, result);
    }
}

/* Of the calls under one key at most one may have been executed. */
static void
judge_keys(const Load *load, json_t *const *states, uint32_t count,
           LoadResult *result)
{
    GHashTable *executed = g_hash_table_new(g_str_hash, g_str_equal);
    LoadCall *call;

    TAILQ_FOREACH (call, &load->calls, link) {
        if (call->key[0] == '\0' ||
            executions_of(states, count, call->text) == 0) {
            continue;
        }
        if (!g_hash_table_add(executed, call->key)) {
            blame(result, call, "a second execution of its key");
        }
    }
    g_hash_table_destroy(executed);
}

static void
judge_engines(Load *load, uint32_t engines, LoadResult *result)
{
    for (uint32_t i = 0; i < engines; i++) {
        json_t *state = Fleet_State(load->fleet, FLEET_ENGINE, i);

        if (json_integer_value(json_object_get(state, "evicted_active")) !=
            0) {
            g_test_message("engine %u evicted an adapter in use", i);
            result->wrong++;
        }
        json_decref(state);
    }
}

LoadResult
Load_Judge(Load *load)
{
    LoadResult result = {0};
    json_t *states[2];
    LoadCall *call;

    for (uint32_t i = 0; i < 2; i++) {
        states[i] = Fleet_State(load->fleet, FLEET_SERVICE, i);
    }
    TAILQ_FOREACH (call, &load->calls, link) {
        judge(call, &result,
              call->plain ? executions_of(states, 2, call->text) : 0);
    }
    judge_keys(load, states, 2, &result);
    judge_engines(load, 2, &result);
    for (uint32_t i = 0; i < 2; i++) {
        json_decref(states[i]);
    }
    return result;
}
