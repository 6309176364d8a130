/*
 * One HTTP request as a client, over evhttp.
 *
 * Each call has a connection of its own.  Both are taken down after the round
 * of the loop in which the call ended or was cancelled, since evhttp still
 * uses them until its callback returns.
 */
#include "http_call.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

struct KcHttpCall {
    KcHttpOps ops;
    void *context;
    KcLoop *loop;
    KcRetired retired;
    struct evhttp_connection *connection;
    struct evhttp_request *request;
    bool sent;       /* a byte of the request has left */
    bool cancelled;  /* nothing more is reported */
    bool failed;     /* evhttp reported an error */
    bool starting;   /* within KcHttpCall_Start() */
    bool over;       /* evhttp is done with the request */
    bool unreported; /* it failed while it was being started */
};

/* A call whose answer is collected. */
typedef struct Collected {
    KcHttpWhole whole;
    void *context;
    int status;
    char etag[64];
    KcBuffer body;
} Collected;

static const struct {
    const char *name;
    enum evhttp_cmd_type type;
} methods[] = {
    {"GET", EVHTTP_REQ_GET},         {"POST", EVHTTP_REQ_POST},
    {"PUT", EVHTTP_REQ_PUT},         {"DELETE", EVHTTP_REQ_DELETE},
    {"PATCH", EVHTTP_REQ_PATCH},     {"HEAD", EVHTTP_REQ_HEAD},
    {"OPTIONS", EVHTTP_REQ_OPTIONS},
};

static int
find_method(const char *name, enum evhttp_cmd_type *type)
{
    for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
        if (strcmp(methods[i].name, name) == 0) {
            *type = methods[i].type;
            return 0;
        }
    }
    return KC_ERR_INVALID;
}

static const char *
header_of(struct evhttp_request *request, const char *name)
{
    const char *value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);

    return value != NULL ? value : "";
}

static int
on_head(struct evhttp_request *request, void *context)
{
    KcHttpCall *call = context;
    KcHttpHead head = {.status = evhttp_request_get_response_code(request),
                       .content_type = header_of(request, "Content-Type"),
                       .etag = header_of(request, "ETag")};

    if (!call->cancelled && call->ops.head != NULL) {
        call->ops.head(call->context, &head);
    }
    return 0;
}

static void
on_chunk(struct evhttp_request *request, void *context)
{
    KcHttpCall *call = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    KcBytes bytes = {(const char *)evbuffer_pullup(input, -1), size};

    if (!call->cancelled && call->ops.data != NULL && size > 0) {
        call->ops.data(call->context, bytes);
    }
    evbuffer_drain(input, size);
}

static void
on_error(enum evhttp_request_error error, void *context)
{
    KcHttpCall *call = context;

    (void)error;
    call->failed = true;
}

static void
on_done(struct evhttp_request *request, void *context)
{
    KcHttpCall *call = context;
    bool whole = request != NULL && !call->failed &&
                 evhttp_request_get_response_code(request) != 0;

    if (whole) {
        on_chunk(request, call);
    }
    call->over = true;
    if (call->cancelled || call->starting) {
        return; /* it is retired already, or about to be */
    }
    call->ops.done(call->context, whole ? 0 : KC_ERR_LOST, call->sent);
    KcLoop_Retire(call->loop, &call->retired);
}

/* Bytes have left the connection's buffer for the socket. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *context)
{
    KcHttpCall *call = context;

    (void)buffer;
    if (info->n_deleted > 0) {
        call->sent = true;
    }
}

static void
set_headers(struct evhttp_request *request, const KcHttpOptions *options)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);

    evhttp_add_header(headers, "Host", options->address);
    evhttp_add_header(headers, "Connection", "close");
    for (int i = 0; i < KC_HTTP_HEADERS_MAX; i++) {
        const KcHttpHeader *header = &options->headers[i];

        if (header->name != NULL && header->value != NULL) {
            evhttp_add_header(headers, header->name, header->value);
        }
    }
    if (options->body.size > 0) {
        evbuffer_add(evhttp_request_get_output_buffer(request),
                     options->body.data, options->body.size);
    }
}

static void
set_up_connection(KcHttpCall *call, KcTime timeout)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(call->connection);
    struct timeval wait = {timeout / KC_SECOND, timeout % KC_SECOND};

    evhttp_connection_set_timeout_tv(call->connection, &wait);
    evbuffer_add_cb(bufferevent_get_output(bev), on_output, call);
}

static struct evhttp_request *
new_request(KcHttpCall *call)
{
    struct evhttp_request *request = evhttp_request_new(on_done, call);

    evhttp_request_set_header_cb(request, on_head);
    evhttp_request_set_chunked_cb(request, on_chunk);
    evhttp_request_set_error_cb(request, on_error);
    return request;
}

/* Frees a call; one that failed while it was being started is reported. */
static void
take_down(KcRetired *retired)
{
    KcHttpCall *call =
        (KcHttpCall *)((char *)retired - offsetof(KcHttpCall, retired));

    if (call->unreported && !call->cancelled) {
        call->ops.done(call->context, KC_ERR_LOST, false);
    }
    if (!call->over) {
        evhttp_cancel_request(call->request);
    }
    evhttp_connection_free(call->connection);
    if (call->cancelled && call->ops.dropped != NULL) {
        call->ops.dropped(call->context);
    }
    free(call);
}

KcHttpCall *
KcHttpCall_Start(const KcHttpOptions *options)
{
    enum evhttp_cmd_type method;
    char host[KC_ADDRESS_MAX];
    uint16_t port;
    KcHttpCall *call;

    if (find_method(options->method, &method) != 0 ||
        KcAddress_Parse(options->address, host, &port) != 0) {
        return NULL;
    }
    call = KcMem_New(sizeof(*call));
    call->ops = *options->ops;
    call->context = options->context;
    call->loop = options->loop;
    call->retired.take_down = take_down;
    call->connection = evhttp_connection_base_bufferevent_new(
        options->loop->base, NULL, NULL, host, port);
    set_up_connection(call, options->timeout);
    call->request = new_request(call);
    set_headers(call->request, options);
    call->starting = true;
    if (evhttp_make_request(call->connection, call->request, method,
                            options->path) != 0) {
        call->over = true;
    }
    call->starting = false;
    if (call->over) {
        call->unreported = true;
        KcLoop_Retire(call->loop, &call->retired);
    }
    return call;
}

void
KcHttpCall_Cancel(KcHttpCall *call)
{
    call->cancelled = true;
    if (!call->unreported) {
        KcLoop_Retire(call->loop, &call->retired);
    }
}

void
KcHttpCall_Throttle(KcHttpCall *call, bool paused)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(call->connection);

    if (paused) {
        bufferevent_disable(bev, EV_READ);
    }
    else {
        bufferevent_enable(bev, EV_READ);
    }
}

/* ---- collected answers -------------------------------------------------- */

static void
collect_head(void *context, const KcHttpHead *head)
{
    Collected *collected = context;

    collected->status = head->status;
    KcName_Copy(collected->etag, head->etag, sizeof(collected->etag));
}

static void
collect_data(void *context, KcBytes bytes)
{
    Collected *collected = context;

    KcBuffer_Append(&collected->body, bytes.data, bytes.size);
}

static void
collect_done(void *context, int code, bool sent)
{
    Collected *collected = context;
    KcBytes body = {KcBuffer_Data(&collected->body),
                    KcBuffer_Size(&collected->body)};

    (void)sent;
    collected->whole(collected->context, code == 0 ? collected->status : 0,
                     collected->etag, body);
    KcBuffer_Clear(&collected->body);
    free(collected);
}

static void
collect_dropped(void *context)
{
    Collected *collected = context;

    KcBuffer_Clear(&collected->body);
    free(collected);
}

static const KcHttpOps collect_ops = {collect_head, collect_data, collect_done,
                                      collect_dropped};

KcHttpCall *
KcHttpCall_Fetch(const KcHttpOptions *options, KcHttpWhole whole,
                 void *context)
{
    KcHttpOptions copy = *options;
    Collected *collected = KcMem_New(sizeof(*collected));
    KcHttpCall *call;

    collected->whole = whole;
    collected->context = context;
    copy.ops = &collect_ops;
    copy.context = collected;
    call = KcHttpCall_Start(&copy);
    if (call == NULL) {
        free(collected);
    }
    return call;
}
