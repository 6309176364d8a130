/*
 * HTTP front end of an entry: reads callers' requests, submits them and writes
 * answers, whole or as server-sent events.
 */
#include "entry_front_end.h"

#include <evhtp.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../process/log.h"
#include "answer.h"
#include "entry_connection.h"

#define LISTEN_BACKLOG 1024
#define DEFAULT_CUSTOMER "anonymous"
/* Longest deadline that a caller may request. */
#define DEADLINE_MS_MAX 3600000
/* Callers whose connection is refused are asked to come back after this. */
#define EXCESS_RETRY_AFTER (1 * KC_SECOND)

struct KcEntryFrontEnd {
    KcEntryFrontEndOptions options;
    evhtp_t *http;
    KcAcceptPause accept_pause;
    KcEntryConnections connections;
};

/* A caller's request and its answer. Freed with the evhtp request. */
typedef struct Caller {
    KcEntryFrontEnd *front_end;
    evhtp_request_t *http_request;
    KcRequest *entry_request; /* NULL before submission and after its end */
    const KcAnswerFormat *format; /* NULL for a plain service */
    bool stream_requested;
    bool stream_started; /* the response head of a stream was sent */
    bool is_finished;
    KcAnswerInfo info;
    KcBuffer collected_body; /* body of an answer that is not streamed */
    uint32_t http_status;
    char content_type[KC_NAME_MAX];
} Caller;

static void
add_header(evhtp_request_t *http, const char *name, const char *value)
{
    evhtp_headers_add_header(http->headers_out,
                             evhtp_header_new(name, value, 1, 1));
}

static void
add_common_headers(Caller *caller, const char *type, const char *outcome)
{
    add_header(caller->http_request, "Content-Type", type);
    if (caller->info.request_id[0] != '\0') {
        add_header(caller->http_request, KC_HEADER_REQUEST_ID,
                   caller->info.request_id);
    }
    if (outcome != NULL) {
        add_header(caller->http_request, KC_HEADER_OUTCOME, outcome);
    }
    if (caller->info.model[0] != '\0') {
        add_header(caller->http_request, KC_HEADER_MODEL, caller->info.model);
    }
}

/* ---- answers ------------------------------------------------------------ */

static void
send_error(Caller *caller, const KcResult *result)
{
    char retry_after_s[24];

    if (result->retry_after > 0) {
        snprintf(retry_after_s, sizeof(retry_after_s), "%" PRId64,
                 (result->retry_after + KC_SECOND - 1) / KC_SECOND);
        add_header(caller->http_request, "Retry-After", retry_after_s);
    }
    add_common_headers(caller, "application/json",
                       KcOutcome_Name(result->outcome));
    KcAnswer_WriteError(result, caller->http_request->buffer_out);
    evhtp_send_reply(caller->http_request,
                     (evhtp_res)KcAnswer_HttpStatus(result));
}

static void
send_collected_answer(Caller *caller, const KcResult *result)
{
    KcBytes text = {KcBuffer_Data(&caller->collected_body),
                    KcBuffer_Size(&caller->collected_body)};
    struct evbuffer *out = caller->http_request->buffer_out;

    if (caller->format == NULL) {
        add_common_headers(caller, caller->content_type, "answered");
        evbuffer_add(out, text.data, text.size);
        evhtp_send_reply(caller->http_request, (evhtp_res)caller->http_status);
        return;
    }
    add_common_headers(caller, "application/json", "answered");
    caller->format->write_whole(&caller->info, text, result, out);
    evhtp_send_reply(caller->http_request, EVHTP_RES_OK);
}

/* Ends a stream, with an error event when the answer is incomplete. */
static void
end_stream(Caller *caller, const KcResult *result)
{
    struct evbuffer *out = evbuffer_new();

    if (result->outcome == KC_OUTCOME_ANSWERED) {
        caller->format->write_stream_end(&caller->info, result, out);
    }
    else {
        evbuffer_add_printf(out, "event: error\ndata: ");
        KcAnswer_WriteError(result, out);
        evbuffer_add_printf(out, "\n\n");
    }
    evhtp_send_reply_chunk(caller->http_request, out);
    evbuffer_free(out);
    evhtp_send_reply_chunk_end(caller->http_request);
}

static void
begin_stream(Caller *caller)
{
    caller->stream_started = true;
    add_common_headers(caller, "text/event-stream", NULL);
    add_header(caller->http_request, "Cache-Control", "no-cache");
    evhtp_send_reply_chunk_start(caller->http_request, EVHTP_RES_OK);
}

static void
on_started(void *context, KcRequest *request, const KcMsgStarted *head)
{
    Caller *caller = context;
    KcAdapterRef model;

    caller->entry_request = request;
    caller->http_status = head->http_status;
    KcText_Copy(caller->content_type, head->content_type,
                sizeof(caller->content_type));
    if (head->adapter[0] != '\0') {
        KcText_Copy(model.adapter, head->adapter, KC_NAME_MAX);
        model.version = head->version;
        KcAdapterRef_Format(&model, caller->info.model);
    }
    KcRequestId_Format(&request->id, caller->info.request_id);
    if (caller->stream_requested) {
        begin_stream(caller);
    }
}

/*
 * Returns whether the unsent output is small enough to grant credit for more:
 * less than half the window.
 */
static bool
may_send_more(const Caller *caller)
{
    struct bufferevent *bev = evhtp_request_get_bev(caller->http_request);
    size_t unsent_bytes = evbuffer_get_length(bufferevent_get_output(bev));

    return unsent_bytes <
           (size_t)caller->front_end->options.settings->window_bytes / 2;
}

static void
on_data(void *context, KcRequest *request, KcBytes bytes, uint64_t tokens)
{
    Caller *caller = context;
    struct evbuffer *out;

    (void)tokens;
    if (!caller->stream_requested) {
        KcBuffer_Append(&caller->collected_body, bytes.data, bytes.size);
        KcEntry_AcknowledgeConsumed(request, request->delivered_bytes,
                                    KcLoop_Now());
        return;
    }
    out = evbuffer_new();
    caller->format->write_chunk(&caller->info, bytes, out);
    evhtp_send_reply_chunk(caller->http_request, out);
    evbuffer_free(out);
    if (may_send_more(caller)) {
        KcEntry_AcknowledgeConsumed(request, request->delivered_bytes,
                                    KcLoop_Now());
    }
}

static void
log_finish(const Caller *caller, const KcResult *result)
{
    KcLogFields fields = {
        .request_id = &result->id,
        .generation = KcEntry_Generation(caller->front_end->options.entry),
        .peer = result->error.peer,
        .step = result->error.step,
        .code = result->error.code};
    KcLogLevel level =
        result->outcome == KC_OUTCOME_ANSWERED ? KC_LOG_DEBUG : KC_LOG_INFO;

    KcLog_Write(level, &fields, "request %s", KcOutcome_Name(result->outcome));
}

static void
on_finished(void *context, const KcResult *result)
{
    Caller *caller = context;

    caller->entry_request = NULL;
    caller->is_finished = true;
    KcRequestId_Format(&result->id, caller->info.request_id);
    log_finish(caller, result);
    if (caller->stream_started) {
        end_stream(caller, result);
    }
    else if (result->outcome == KC_OUTCOME_ANSWERED) {
        send_collected_answer(caller, result);
    }
    else {
        send_error(caller, result);
    }
}

static const KcCallerOps caller_ops = {on_started, on_data, on_finished};

static struct timeval
timeval_of_ms(int64_t timeout_ms)
{
    struct timeval timeout = {timeout_ms / 1000, timeout_ms % 1000 * 1000};

    return timeout;
}

/* ---- hooks of one request ----------------------------------------------- */

/*
 * Sets the timeouts of a connection. While a request is being answered there
 * is no read timeout, as its caller need not send anything.
 */
static void
set_timeouts(KcEntryFrontEnd *front_end, evhtp_request_t *http,
             bool with_read_timeout)
{
    const KcSettings *settings = front_end->options.settings;
    struct timeval read_timeout = timeval_of_ms(settings->read_timeout_ms);
    struct timeval write_timeout = timeval_of_ms(settings->write_timeout_ms);

    bufferevent_set_timeouts(evhtp_request_get_bev(http),
                             with_read_timeout ? &read_timeout : NULL,
                             &write_timeout);
}

/*
 * Called when evhtp frees a request, which was answered or whose connection
 * ended. Abandons it at the entry if it still runs there.
 */
static evhtp_res
on_request_end(evhtp_request_t *http, void *context)
{
    Caller *caller = context;

    evhtp_connection_unset_hook(http->conn, evhtp_hook_on_write);
    if (evhtp_request_get_bev(http) != NULL) {
        set_timeouts(caller->front_end, http, true);
    }
    if (caller->entry_request != NULL) {
        KcEntry_Abandon(caller->entry_request, KcLoop_Now());
    }
    KcBuffer_Clear(&caller->collected_body);
    free(caller);
    return EVHTP_RES_OK;
}

/*
 * All output of the connection has been passed to the kernel: grants credit
 * for everything received.
 */
static evhtp_res
on_output_sent(evhtp_connection_t *connection, void *context)
{
    Caller *caller = context;

    (void)connection;
    if (caller->entry_request != NULL) {
        KcEntry_AcknowledgeConsumed(caller->entry_request,
                                    caller->entry_request->delivered_bytes,
                                    KcLoop_Now());
    }
    return EVHTP_RES_OK;
}

static Caller *
create_caller(KcEntryFrontEnd *front_end, evhtp_request_t *http)
{
    Caller *caller = KcMem_New(sizeof(*caller));

    caller->front_end = front_end;
    caller->http_request = http;
    caller->info.created_at_s = (int64_t)time(NULL);
    set_timeouts(front_end, http, false);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_request_end, caller);
    evhtp_connection_set_hook(http->conn, evhtp_hook_on_write,
                              (evhtp_hook)on_output_sent, caller);
    return caller;
}

/* ---- reading a request -------------------------------------------------- */

/* Answers a request with an error without submitting it to the entry. */
static void
refuse_request(Caller *caller, int code, const char *step)
{
    KcResult result = {.outcome = KC_OUTCOME_NOT_RUN,
                       .finish_reason = "",
                       .error = {.code = code, .step = step}};

    caller->is_finished = true;
    send_error(caller, &result);
}

static const char *
find_header(const Caller *caller, const char *name)
{
    return evhtp_header_find(caller->http_request->headers_in, name);
}

static int
read_number_header(const Caller *caller, const char *name, int64_t min,
                   int64_t max, int64_t default_value, int64_t *value)
{
    const char *text = find_header(caller, name);

    *value = default_value;
    return text != NULL ? KcIni_ParseNumber(text, min, max, value) : 0;
}

/*
 * Reads the request headers into call. Returns 0, or KC_ERR_INVALID with *step
 * set to the name of the header.
 */
static int
read_request_headers(const Caller *caller, KcCall *call, const char **step)
{
    const char *customer = find_header(caller, KC_HEADER_CUSTOMER);
    int64_t priority;
    int64_t deadline_ms;

    *step = KC_HEADER_CUSTOMER;
    call->customer = customer != NULL ? customer : DEFAULT_CUSTOMER;
    if (KcName_Check(call->customer) != 0) {
        return KC_ERR_INVALID;
    }
    *step = KC_HEADER_PRIORITY;
    if (read_number_header(caller, KC_HEADER_PRIORITY, 0, KC_PRIORITY_MAX,
                           KC_PRIORITY_DEFAULT, &priority) != 0) {
        return KC_ERR_INVALID;
    }
    *step = KC_HEADER_DEADLINE_MS;
    if (read_number_header(caller, KC_HEADER_DEADLINE_MS, 1, DEADLINE_MS_MAX,
                           0, &deadline_ms) != 0) {
        return KC_ERR_INVALID;
    }
    *step = KC_HEADER_IDEMPOTENCY_KEY;
    call->idempotency_key = find_header(caller, KC_HEADER_IDEMPOTENCY_KEY);
    if (call->idempotency_key != NULL &&
        (call->idempotency_key[0] == '\0' ||
         strlen(call->idempotency_key) > KC_IDEMPOTENCY_KEY_BYTES_MAX)) {
        return KC_ERR_INVALID;
    }
    call->priority = (uint32_t)priority;
    call->timeout = deadline_ms * KC_MS;
    return 0;
}

/*
 * Checks the JSON members that the entry uses itself: model, stream and n.
 * Returns 0, or an error with *step set to the member.
 */
static int
read_model_body(Caller *caller, json_t *body, KcCall *call, const char **step)
{
    json_t *model = json_object_get(body, "model");
    json_t *stream = json_object_get(body, "stream");
    json_t *count = json_object_get(body, "n");

    *step = "body";
    if (!json_is_object(body)) {
        return KC_ERR_PARSE;
    }
    *step = "model";
    if (!json_is_string(model)) {
        return KC_ERR_INVALID;
    }
    *step = "stream";
    if (stream != NULL && !json_is_boolean(stream)) {
        return KC_ERR_INVALID;
    }
    *step = "n";
    if (count != NULL && json_integer_value(count) != 1) {
        return KC_ERR_INVALID;
    }
    call->model = json_string_value(model);
    caller->stream_requested = json_is_true(stream);
    return 0;
}

static const char *
method_name(evhtp_request_t *http)
{
    switch (evhtp_request_get_method(http)) {
    case htp_method_GET:
        return "GET";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    case htp_method_PATCH:
        return "PATCH";
    default:
        return NULL;
    }
}

static void
submit_call(Caller *caller, const KcCall *call)
{
    KcRequest *request = KcEntry_Submit(caller->front_end->options.entry, call,
                                        &caller_ops, caller, KcLoop_Now());

    /* NULL when the request has ended already; caller is still valid then. */
    caller->entry_request = request;
}

static void
read_request(const Caller *caller, KcCall *call)
{
    struct evbuffer *in = caller->http_request->buffer_in;
    const char *type = find_header(caller, "Content-Type");
    size_t size = evbuffer_get_length(in);

    call->method = method_name(caller->http_request);
    call->path = caller->http_request->uri->path->full;
    call->content_type = type != NULL ? type : "application/json";
    call->body = (KcBytes){(const char *)evbuffer_pullup(in, -1), size};
}

/* ---- request handlers --------------------------------------------------- */

static void
on_model_request(evhtp_request_t *http, void *context)
{
    Caller *caller = create_caller(context, http);
    KcCall call = {.plain = false};
    const char *step = "method";
    json_t *body = NULL;
    int code;

    read_request(caller, &call);
    caller->format = KcAnswer_FindFormat(call.path);
    code = call.method != NULL && strcmp(call.method, "POST") == 0
               ? read_request_headers(caller, &call, &step)
               : KC_ERR_INVALID;
    if (code == 0) {
        body = json_loadb(call.body.data, call.body.size, 0, NULL);
        code = read_model_body(caller, body, &call, &step);
    }
    if (code != 0) {
        refuse_request(caller, code, step);
    }
    else {
        submit_call(caller, &call);
    }
    json_decref(body);
}

static void
on_plain_request(evhtp_request_t *http, void *context)
{
    Caller *caller = create_caller(context, http);
    KcCall call = {.plain = true};
    const char *step = "method";
    int code;

    read_request(caller, &call);
    code = call.method != NULL ? read_request_headers(caller, &call, &step)
                               : KC_ERR_INVALID;
    if (code != 0) {
        refuse_request(caller, code, step);
    }
    else {
        submit_call(caller, &call);
    }
}

/* Refuses a request on a connection above the limit. */
static void
on_excess_request(evhtp_request_t *http, void *context)
{
    KcEntryFrontEnd *front_end = context;
    KcResult result = {.outcome = KC_OUTCOME_NOT_RUN,
                       .finish_reason = "",
                       .error = {.code = KC_ERR_BUSY, .step = "connections"},
                       .retry_after = EXCESS_RETRY_AFTER};
    Caller *caller = create_caller(front_end, http);

    KcCounters_Add(front_end->options.counters, KC_COUNT_EXCESS_CALLERS, 1);
    caller->is_finished = true;
    /* evhtp_request_set_keepalive() can only set the flag. */
    http->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
    send_error(caller, &result);
}

static void
add_adapter_versions(struct evbuffer *out, const KcAdapter *adapter,
                     bool *is_first)
{
    for (int i = 0; i < adapter->version_count; i++) {
        if (adapter->retired[i]) {
            continue;
        }
        evbuffer_add_printf(out,
                            "%s{\"id\":\"%s@%u\",\"object\":\"model\","
                            "\"owned_by\":\"%s\"}",
                            *is_first ? "" : ",", adapter->name,
                            adapter->versions[i], adapter->service->name);
        *is_first = false;
    }
}

static void
on_models(evhtp_request_t *http, void *context)
{
    KcEntryFrontEnd *front_end = context;
    const KcDocument *document = KcEntry_Document(front_end->options.entry);
    struct evbuffer *out = http->buffer_out;
    const KcAdapter *adapter;
    bool is_first = true;

    add_header(http, "Content-Type", "application/json");
    evbuffer_add_printf(out, "{\"object\":\"list\",\"data\":[");
    if (document != NULL) {
        for (adapter = document->adapters; adapter != NULL;
             adapter = adapter->hh.next) {
            add_adapter_versions(out, adapter, &is_first);
        }
    }
    evbuffer_add_printf(out, "]}");
    evhtp_send_reply(http, EVHTP_RES_OK);
}

/* ---- connections -------------------------------------------------------- */

static void
on_accept_error(struct evconnlistener *listener, void *context)
{
    (void)listener;
    KcAcceptPause_OnError(((evhtp_t *)context)->arg);
}

static void
configure_http(KcEntryFrontEnd *front_end)
{
    const KcSettings *settings = front_end->options.settings;
    struct timeval read_timeout = timeval_of_ms(settings->read_timeout_ms);
    struct timeval write_timeout = timeval_of_ms(settings->write_timeout_ms);

    evhtp_set_timeouts(front_end->http, &read_timeout, &write_timeout);
    evhtp_set_max_body_size(front_end->http,
                            (uint64_t)settings->body_bytes_max);
    evhtp_set_post_accept_cb(front_end->http, KcEntryConnections_OnAccept,
                             &front_end->connections);
    evhtp_set_cb(front_end->http, "/v1/completions", on_model_request,
                 front_end);
    evhtp_set_cb(front_end->http, "/v1/chat/completions", on_model_request,
                 front_end);
    evhtp_set_cb(front_end->http, "/v1/models", on_models, front_end);
    evhtp_set_gencb(front_end->http, on_plain_request, front_end);
}

KcEntryFrontEnd *
KcEntryFrontEnd_Create(const KcEntryFrontEndOptions *options)
{
    KcEntryFrontEnd *front_end = KcMem_New(sizeof(*front_end));
    char host[KC_ADDRESS_MAX];
    uint16_t port;

    front_end->options = *options;
    front_end->connections = (KcEntryConnections){
        .limit = {.accept_pause = &front_end->accept_pause,
                  .connections_max = options->connections_max},
        .header_bytes_max = (size_t)options->settings->header_bytes_max,
        .read_timeout = timeval_of_ms(options->settings->read_timeout_ms),
        .write_timeout = timeval_of_ms(options->settings->write_timeout_ms),
        .refuse = on_excess_request,
        .context = front_end};
    front_end->http = evhtp_new(options->loop->base, &front_end->accept_pause);
    configure_http(front_end);
    if (KcAddress_Parse(options->settings->callers_address, host, &port) !=
            0 ||
        evhtp_bind_socket(front_end->http, host, port, LISTEN_BACKLOG) != 0) {
        KcEntryFrontEnd_Free(front_end);
        return NULL;
    }
    KcAcceptPause_Init(&front_end->accept_pause, options->loop,
                       front_end->http->server, options->counters);
    evconnlistener_set_error_cb(front_end->http->server, on_accept_error);
    return front_end;
}

void
KcEntryFrontEnd_Free(KcEntryFrontEnd *front_end)
{
    KcAcceptPause_Clear(&front_end->accept_pause);
    evhtp_unbind_socket(front_end->http);
    evhtp_free(front_end->http);
    free(front_end);
}
