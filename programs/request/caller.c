/*
 * The callers' side of an entry.
 */
#include "caller.h"

#include <evhtp.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../process/log.h"
#include "answer.h"

#define BACKLOG 1024
#define CUSTOMER_DEFAULT "anonymous"
/* Largest answer of a plain service, which is passed on as a whole. */
#define PLAIN_ANSWER_MAX ((size_t)16 * 1024 * 1024)

struct KcFront {
    KcFrontOptions options;
    evhtp_t *http;
    int64_t connections;
};

/* One caller's request. */
typedef struct Caller {
    KcFront *front;
    evhtp_request_t *http;
    KcRequest *request;       /* NULL before submission and after its end */
    const KcAnswerForm *form; /* NULL for a plain service */
    bool stream;
    bool streaming; /* the head of a streamed answer was sent */
    bool finished;
    KcAnswerInfo info;
    KcBuffer text; /* of an answer that is given as a whole */
    uint32_t status;
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
    add_header(caller->http, "Content-Type", type);
    if (caller->info.id[0] != '\0') {
        add_header(caller->http, KC_HEADER_REQUEST, caller->info.id);
    }
    if (outcome != NULL) {
        add_header(caller->http, KC_HEADER_OUTCOME, outcome);
    }
    if (caller->info.model[0] != '\0') {
        add_header(caller->http, KC_HEADER_MODEL, caller->info.model);
    }
}

/* ---- answers ------------------------------------------------------------ */

static void
send_error(Caller *caller, const KcResult *result)
{
    char seconds[24];

    if (result->retry_after > 0) {
        snprintf(seconds, sizeof(seconds), "%" PRId64,
                 (result->retry_after + KC_SECOND - 1) / KC_SECOND);
        add_header(caller->http, "Retry-After", seconds);
    }
    add_common_headers(caller, "application/json",
                       KcOutcome_Name(result->outcome));
    KcAnswer_Error(result, caller->http->buffer_out);
    evhtp_send_reply(caller->http,
                     (evhtp_res)KcAnswer_Status(result->error.code));
}

static void
send_whole(Caller *caller, const KcResult *result)
{
    KcBytes text = {KcBuffer_Data(&caller->text),
                    KcBuffer_Size(&caller->text)};
    struct evbuffer *out = caller->http->buffer_out;

    if (caller->form == NULL) {
        add_common_headers(caller, caller->content_type, "answered");
        evbuffer_add(out, text.data, text.size);
        evhtp_send_reply(caller->http, (evhtp_res)caller->status);
        return;
    }
    add_common_headers(caller, "application/json", "answered");
    caller->form->whole(&caller->info, text, result, out);
    evhtp_send_reply(caller->http, EVHTP_RES_OK);
}

/* Ends a stream.  Without a whole answer it ends in an error event. */
static void
end_stream(Caller *caller, const KcResult *result)
{
    struct evbuffer *out = evbuffer_new();

    if (result->outcome == KC_OUTCOME_ANSWERED) {
        caller->form->last(&caller->info, result, out);
    }
    else {
        evbuffer_add_printf(out, "event: error\ndata: ");
        KcAnswer_Error(result, out);
        evbuffer_add_printf(out, "\n\n");
    }
    evhtp_send_reply_chunk(caller->http, out);
    evbuffer_free(out);
    evhtp_send_reply_chunk_end(caller->http);
}

static void
begin_stream(Caller *caller)
{
    caller->streaming = true;
    add_common_headers(caller, "text/event-stream", NULL);
    add_header(caller->http, "Cache-Control", "no-cache");
    evhtp_send_reply_chunk_start(caller->http, EVHTP_RES_OK);
}

static void
on_started(void *context, KcRequest *request, const KcMsgStarted *head)
{
    Caller *caller = context;
    KcModelRef model;

    caller->request = request;
    caller->status = head->status;
    KcName_Copy(caller->content_type, head->content_type,
                sizeof(caller->content_type));
    if (head->adapter[0] != '\0') {
        KcName_Copy(model.adapter, head->adapter, KC_NAME_MAX);
        model.version = head->version;
        KcModelRef_Format(&model, caller->info.model);
    }
    KcRequestId_Format(&request->id, caller->info.id);
    if (caller->stream) {
        begin_stream(caller);
    }
}

/* Has the caller taken what was written so far? */
static bool
keeps_up(const Caller *caller)
{
    struct bufferevent *bev = evhtp_request_get_bev(caller->http);
    size_t waiting = evbuffer_get_length(bufferevent_get_output(bev));

    return waiting < (size_t)caller->front->options.settings->window / 2;
}

static void
on_data(void *context, KcRequest *request, KcBytes bytes, uint64_t tokens)
{
    Caller *caller = context;
    struct evbuffer *out;

    (void)tokens;
    if (!caller->stream) {
        KcBuffer_Append(&caller->text, bytes.data, bytes.size);
        KcEntry_Consumed(request, request->offset, KcLoop_Now());
        return;
    }
    out = evbuffer_new();
    caller->form->piece(&caller->info, bytes, out);
    evhtp_send_reply_chunk(caller->http, out);
    evbuffer_free(out);
    if (keeps_up(caller)) {
        KcEntry_Consumed(request, request->offset, KcLoop_Now());
    }
}

static void
log_finish(const Caller *caller, const KcResult *result)
{
    KcLogFields fields = {.request = &result->id,
                          .generation =
                              KcEntry_Generation(caller->front->options.entry),
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

    caller->request = NULL;
    caller->finished = true;
    KcRequestId_Format(&result->id, caller->info.id);
    log_finish(caller, result);
    if (caller->streaming) {
        end_stream(caller, result);
    }
    else if (result->outcome == KC_OUTCOME_ANSWERED) {
        send_whole(caller, result);
    }
    else {
        send_error(caller, result);
    }
}

static const KcCallerOps caller_ops = {on_started, on_data, on_finished};

static struct timeval
wait_of(int64_t milliseconds)
{
    struct timeval wait = {milliseconds / 1000, milliseconds % 1000 * 1000};

    return wait;
}

/* ---- hooks of one request ----------------------------------------------- */

/*
 * Sets the waits of a connection.  While a request is answered its caller
 * need not send anything.
 */
static void
set_waits(KcFront *front, evhtp_request_t *http, bool reading)
{
    const KcSettings *settings = front->options.settings;
    struct timeval read_wait = wait_of(settings->read_timeout_ms);
    struct timeval write_wait = wait_of(settings->write_timeout_ms);

    bufferevent_set_timeouts(evhtp_request_get_bev(http),
                             reading ? &read_wait : NULL, &write_wait);
}

/* The request is being freed: answered, or its connection is gone. */
static evhtp_res
on_request_end(evhtp_request_t *http, void *context)
{
    Caller *caller = context;

    evhtp_connection_unset_hook(http->conn, evhtp_hook_on_write);
    if (evhtp_request_get_bev(http) != NULL) {
        set_waits(caller->front, http, true);
    }
    if (caller->request != NULL) {
        KcEntry_Abandon(caller->request, KcLoop_Now());
    }
    KcBuffer_Clear(&caller->text);
    free(caller);
    return EVHTP_RES_OK;
}

/* The connection's output has been written. */
static evhtp_res
on_written(evhtp_connection_t *connection, void *context)
{
    Caller *caller = context;

    (void)connection;
    if (caller->request != NULL) {
        KcEntry_Consumed(caller->request, caller->request->offset,
                         KcLoop_Now());
    }
    return EVHTP_RES_OK;
}

static Caller *
create_caller(KcFront *front, evhtp_request_t *http)
{
    Caller *caller = KcMem_New(sizeof(*caller));

    caller->front = front;
    caller->http = http;
    caller->info.created = (int64_t)time(NULL);
    set_waits(front, http, false);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_request_end, caller);
    evhtp_connection_set_hook(http->conn, evhtp_hook_on_write,
                              (evhtp_hook)on_written, caller);
    return caller;
}

/* ---- reading a request -------------------------------------------------- */

/* Refuses a request that never became one of the entry's. */
static void
refuse(Caller *caller, int code, const char *step)
{
    KcResult result = {.outcome = KC_OUTCOME_NOT_RUN,
                       .finish = "",
                       .error = {.code = code, .step = step}};

    caller->finished = true;
    send_error(caller, &result);
}

static const char *
header_of(const Caller *caller, const char *name)
{
    return evhtp_header_find(caller->http->headers_in, name);
}

static int
read_number(const Caller *caller, const char *name, int64_t low, int64_t high,
            int64_t initial, int64_t *value)
{
    const char *text = header_of(caller, name);

    *value = initial;
    return text != NULL ? KcIni_Number(text, low, high, value) : 0;
}

/* Fills in what the headers say.  Returns 0, or an error with *step set. */
static int
read_headers(const Caller *caller, KcCall *call, const char **step)
{
    const char *customer = header_of(caller, KC_HEADER_CUSTOMER);
    int64_t priority;
    int64_t deadline;

    *step = KC_HEADER_CUSTOMER;
    call->customer = customer != NULL ? customer : CUSTOMER_DEFAULT;
    if (KcName_Check(call->customer) != 0) {
        return KC_ERR_INVALID;
    }
    *step = KC_HEADER_PRIORITY;
    if (read_number(caller, KC_HEADER_PRIORITY, 0, KC_PRIORITY_MAX,
                    KC_PRIORITY_DEFAULT, &priority) != 0) {
        return KC_ERR_INVALID;
    }
    *step = KC_HEADER_DEADLINE;
    if (read_number(caller, KC_HEADER_DEADLINE, 1, 3600000, 0, &deadline) !=
        0) {
        return KC_ERR_INVALID;
    }
    *step = KC_HEADER_KEY;
    call->key = header_of(caller, KC_HEADER_KEY);
    if (call->key != NULL &&
        (call->key[0] == '\0' || strlen(call->key) > KC_KEY_MAX)) {
        return KC_ERR_INVALID;
    }
    call->priority = (uint32_t)priority;
    call->deadline = deadline * KC_MS;
    return 0;
}

/* Checks the members of a model call that the entry itself heeds. */
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
    caller->stream = json_is_true(stream);
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
submit(Caller *caller, const KcCall *call)
{
    KcRequest *request = KcEntry_Submit(caller->front->options.entry, call,
                                        &caller_ops, caller, KcLoop_Now());

    /* NULL when it was finished at once; the caller is still valid then. */
    caller->request = request;
}

static void
fill_call(const Caller *caller, KcCall *call)
{
    struct evbuffer *in = caller->http->buffer_in;
    const char *type = header_of(caller, "Content-Type");
    size_t size = evbuffer_get_length(in);

    call->method = method_name(caller->http);
    call->path = caller->http->uri->path->full;
    call->content_type = type != NULL ? type : "application/json";
    call->body = (KcBytes){(const char *)evbuffer_pullup(in, -1), size};
}

/* ---- paths -------------------------------------------------------------- */

static void
on_model_call(evhtp_request_t *http, void *context)
{
    Caller *caller = create_caller(context, http);
    KcCall call = {.plain = false};
    const char *step = "method";
    json_t *body = NULL;
    int code;

    fill_call(caller, &call);
    caller->form = KcAnswer_Form(call.path);
    code = call.method != NULL && strcmp(call.method, "POST") == 0
               ? read_headers(caller, &call, &step)
               : KC_ERR_INVALID;
    if (code == 0) {
        body = json_loadb(call.body.data, call.body.size, 0, NULL);
        code = read_model_body(caller, body, &call, &step);
    }
    if (code != 0) {
        refuse(caller, code, step);
    }
    else {
        submit(caller, &call);
    }
    json_decref(body);
}

static void
on_plain_call(evhtp_request_t *http, void *context)
{
    Caller *caller = create_caller(context, http);
    KcCall call = {.plain = true};
    const char *step = "method";
    int code;

    fill_call(caller, &call);
    code = call.method != NULL ? read_headers(caller, &call, &step)
                               : KC_ERR_INVALID;
    if (code != 0) {
        refuse(caller, code, step);
    }
    else {
        submit(caller, &call);
    }
}

static void
add_adapter(struct evbuffer *out, const KcAdapter *adapter, bool *first)
{
    for (int i = 0; i < adapter->version_count; i++) {
        if (adapter->retired[i]) {
            continue;
        }
        evbuffer_add_printf(out,
                            "%s{\"id\":\"%s@%u\",\"object\":\"model\","
                            "\"owned_by\":\"%s\"}",
                            *first ? "" : ",", adapter->name,
                            adapter->versions[i], adapter->service->name);
        *first = false;
    }
}

static void
on_models(evhtp_request_t *http, void *context)
{
    KcFront *front = context;
    const KcDocument *document = KcEntry_Document(front->options.entry);
    struct evbuffer *out = http->buffer_out;
    const KcAdapter *adapter;
    bool first = true;

    add_header(http, "Content-Type", "application/json");
    evbuffer_add_printf(out, "{\"object\":\"list\",\"data\":[");
    if (document != NULL) {
        for (adapter = document->adapters; adapter != NULL;
             adapter = adapter->hh.next) {
            add_adapter(out, adapter, &first);
        }
    }
    evbuffer_add_printf(out, "]}");
    evhtp_send_reply(http, EVHTP_RES_OK);
}

/* ---- connections -------------------------------------------------------- */

/* Bytes of headers seen on a connection's current request. */
static evhtp_res
on_header(evhtp_request_t *http, evhtp_header_t *header, void *context)
{
    KcFront *front = context;
    size_t total = 0;
    evhtp_header_t *each;

    (void)header;
    TAILQ_FOREACH (each, http->headers_in, next) {
        total += each->klen + each->vlen;
    }
    if (total > (size_t)front->options.settings->header_max) {
        return EVHTP_RES_ENTOOLARGE;
    }
    return EVHTP_RES_OK;
}

static evhtp_res
on_connection_end(evhtp_connection_t *connection, void *context)
{
    KcFront *front = context;

    (void)connection;
    front->connections--;
    return EVHTP_RES_OK;
}

static evhtp_res
on_accept(evhtp_connection_t *connection, void *context)
{
    KcFront *front = context;

    if (front->connections >= front->options.settings->connections_max) {
        return EVHTP_RES_ERROR;
    }
    front->connections++;
    evhtp_connection_set_hook(connection, evhtp_hook_on_header,
                              (evhtp_hook)on_header, front);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              (evhtp_hook)on_connection_end, front);
    return EVHTP_RES_OK;
}

static void
set_up_http(KcFront *front)
{
    const KcSettings *settings = front->options.settings;
    struct timeval read_wait = wait_of(settings->read_timeout_ms);
    struct timeval write_wait = wait_of(settings->write_timeout_ms);

    evhtp_set_timeouts(front->http, &read_wait, &write_wait);
    evhtp_set_max_body_size(front->http, (uint64_t)settings->body_max);
    evhtp_set_post_accept_cb(front->http, on_accept, front);
    evhtp_set_cb(front->http, "/v1/completions", on_model_call, front);
    evhtp_set_cb(front->http, "/v1/chat/completions", on_model_call, front);
    evhtp_set_cb(front->http, "/v1/models", on_models, front);
    evhtp_set_gencb(front->http, on_plain_call, front);
}

KcFront *
KcFront_Create(const KcFrontOptions *options)
{
    KcFront *front = KcMem_New(sizeof(*front));
    char host[KC_ADDRESS_MAX];
    uint16_t port;

    front->options = *options;
    front->http = evhtp_new(options->loop->base, NULL);
    set_up_http(front);
    if (KcAddress_Parse(options->settings->callers, host, &port) != 0 ||
        evhtp_bind_socket(front->http, host, port, BACKLOG) != 0) {
        KcFront_Free(front);
        return NULL;
    }
    return front;
}

void
KcFront_Free(KcFront *front)
{
    evhtp_unbind_socket(front->http);
    evhtp_free(front->http);
    free(front);
}
