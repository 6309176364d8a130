/*
 * A call to a model engine. The engine always gets a streaming request; its
 * server-sent events are decoded into text and a finish reason.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "backend_call_internal.h"
#include "intake_log.h"

#define EVENT_PREFIX "data:"
#define EVENT_STREAM_END "[DONE]"
/* Largest answer of an engine, with the JSON around each token. */
#define ANSWER_BYTES_MAX ((size_t)32 * 1024 * 1024)
/* Largest line of an answer. */
#define LINE_BYTES_MAX ((size_t)1024 * 1024)

/* ---- the request -------------------------------------------------------- */

/*
 * Returns the body for the engine: the caller's JSON with the engine's name of
 * the adapter, streaming, the priority and, for a continuation, the text
 * already delivered. The caller frees it. NULL when the body is not a JSON
 * object.
 */
static char *
build_engine_body(const KcWork *work)
{
    json_t *body = json_loadb(KcBuffer_Data(&work->body),
                              KcBuffer_Size(&work->body), 0, NULL);
    size_t delivered_bytes = KcBuffer_Size(&work->delivered_text);
    char *text;

    if (!json_is_object(body)) {
        json_decref(body);
        return NULL;
    }
    json_object_set_new(body, "model", json_string(work->slot->engine_name));
    json_object_set_new(body, "stream", json_true());
    json_object_set_new(body, "priority",
                        json_integer((json_int_t)work->priority));
    if (delivered_bytes > 0) {
        json_object_set_new(body, "continue_from",
                            json_stringn(KcBuffer_Data(&work->delivered_text),
                                         delivered_bytes));
    }
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

/* ---- the answer --------------------------------------------------------- */

/*
 * Returns the text in one element of "choices", of a chat completion or of a
 * completion; NULL when it has none.
 */
static json_t *
choice_text(json_t *choice)
{
    json_t *delta = json_object_get(choice, "delta");

    if (delta != NULL) {
        return json_object_get(delta, "content");
    }
    return json_object_get(choice, "text");
}

/*
 * Reports the start of the answer and its model to the agent, once. Returns
 * false when the agent has ended the call.
 */
static bool
report_start(KcBackendCall *call, json_t *event)
{
    KcWork *work = call->work;
    const char *model = json_string_value(json_object_get(event, "model"));

    if (work->answer_started) {
        return true;
    }
    KcAgent_OnWorkStarted(call->client->agent, work,
                          model != NULL ? model : "", 200, "", KcLoop_Now());
    /* The agent cancels a call whose answer names another model. */
    return work->backend_call == call;
}

/* Handles one decoded event. Returns false when the call was ended. */
static bool
handle_event(KcBackendCall *call, json_t *event)
{
    KcWork *work = call->work;
    json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
    json_t *text = choice_text(choice);
    json_t *finish = json_object_get(choice, "finish_reason");

    if (!report_start(call, event)) {
        return false;
    }
    if (json_is_string(finish)) {
        KcText_Copy(call->finish_reason, json_string_value(finish),
                    sizeof(call->finish_reason));
    }
    if (json_is_string(text) && json_string_length(text) > 0) {
        KcBytes bytes = {json_string_value(text), json_string_length(text)};

        call->token_count++;
        KcAgent_OnWorkData(call->client->agent, work, bytes, call->token_count,
                           KcLoop_Now());
    }
    return true;
}

/* Ends a call whose answer can't be read further. */
static void
cut_off(KcBackendCall *call, int code)
{
    KcHttpCall *http_call = call->http_call;

    call->http_call = NULL;
    KcHttpCall_Cancel(http_call);
    KcBackendCall_End(call, code, true, "");
}

/* Handles one line of the stream. Returns false when the call was ended. */
static bool
handle_line(KcBackendCall *call, const char *line, size_t size)
{
    const size_t prefix_length = strlen(EVENT_PREFIX);
    json_t *event;
    bool call_continues;

    if (size < prefix_length ||
        memcmp(line, EVENT_PREFIX, prefix_length) != 0) {
        return true;
    }
    line += prefix_length;
    size -= prefix_length;
    while (size > 0 && *line == ' ') {
        line++;
        size--;
    }
    if (size == strlen(EVENT_STREAM_END) &&
        memcmp(line, EVENT_STREAM_END, size) == 0) {
        call->stream_ended = true;
        return true;
    }
    event = json_loadb(line, size, 0, NULL);
    if (event == NULL) {
        cut_off(call, KC_ERR_PARSE); /* its text would be missing */
        return false;
    }
    call_continues = handle_event(call, event);
    json_decref(event);
    return call_continues;
}

static void
on_head(void *context, const KcHttpResponseHead *head)
{
    KcBackendCall *call = context;

    call->http_status = head->status;
}

static void
on_data(void *context, KcBytes bytes)
{
    KcBackendCall *call = context;
    KcWork *work = call->work;
    const char *newline;

    if (call->http_status != 200) {
        return;
    }
    KcBuffer_Append(&call->partial_line, bytes.data, bytes.size);
    if (KcBuffer_Size(&call->partial_line) > LINE_BYTES_MAX) {
        KcIntakeLog_WriteBytes(
            "answer line", KcBuffer_Size(&call->partial_line), LINE_BYTES_MAX,
            call->client->settings->backend_address);
        cut_off(call, KC_ERR_TOO_LARGE);
        return;
    }
    while ((newline = memchr(KcBuffer_Data(&call->partial_line), '\n',
                             KcBuffer_Size(&call->partial_line))) != NULL) {
        size_t size = (size_t)(newline - KcBuffer_Data(&call->partial_line));
        size_t line_length = size;

        if (line_length > 0 && newline[-1] == '\r') {
            line_length--;
        }
        if (!handle_line(call, KcBuffer_Data(&call->partial_line),
                         line_length)) {
            return; /* the call was freed */
        }
        if (work->backend_call != call) {
            return;
        }
        KcBuffer_DropFront(&call->partial_line, size + 1);
    }
}

/*
 * Returns the KcErrorCode for a status other than 200, and in *ran whether the
 * engine may have run the request.
 */
static int
status_to_error(int status, bool *ran)
{
    *ran = false;
    switch (status) {
    case 404:
        return KC_ERR_NOT_FOUND;
    case 429:
    case 503:
        return KC_ERR_BUSY;
    case 400:
    case 422:
        return KC_ERR_INVALID;
    default:
        *ran = true;
        return KC_ERR_BACKEND;
    }
}

static void
on_done(void *context, int code, bool sent)
{
    KcBackendCall *call = context;
    bool ran = sent;

    call->http_call = NULL;
    if (code == 0 && call->http_status != 200) {
        code = status_to_error(call->http_status, &ran);
    }
    else if (code == 0 &&
             (!call->stream_ended || !call->work->answer_started)) {
        /* The stream ended without [DONE] or before its first event. */
        code = KC_ERR_PEER_LOST;
    }
    KcBackendCall_End(call, code, ran, call->finish_reason);
}

static const KcHttpCallOps engine_call_ops = {on_head, on_data, on_done, NULL,
                                              NULL};

static void
on_bad_body_timer(KcTimer *timer, KcTime now)
{
    KcBackendCall *call = timer->owner;

    (void)now;
    KcBackendCall_End(call, KC_ERR_PARSE, true, "");
}

void
KcEngineCall_Start(KcBackendHttpClient *client, KcWork *work)
{
    KcBackendCall *call = KcBackendCall_Create(client, work);
    char *text = build_engine_body(work);
    char id[KC_REQUEST_ID_TEXT_SIZE];
    KcHttpCallOptions options = {
        .loop = client->loop,
        .address = client->settings->backend_address,
        .method = "POST",
        .path = work->path,
        .headers = {{"Content-Type", "application/json"},
                    {"X-Kcc-Request-Id", id}},
        .progress_timeout =
            client->settings->backend_silence_timeout_ms * KC_MS,
        .limits = {.body_bytes_max = ANSWER_BYTES_MAX,
                   .timeout =
                       client->settings->backend_answer_timeout_ms * KC_MS},
        .ops = &engine_call_ops,
        .context = call};

    KcRequestId_Format(&work->key.request, id);
    if (text == NULL) {
        /*
         * The entry accepts only JSON objects, so only a faulty entry sends
         * such a body.
         */
        call->bad_body_timer.on_due = on_bad_body_timer;
        KcTimers_Set(client->loop->timers, &call->bad_body_timer,
                     KcLoop_Now());
        return;
    }
    options.body = (KcBytes){text, strlen(text)};
    call->http_call = KcHttpCall_Start(&options);
    free(text);
}
