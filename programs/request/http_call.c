/*
 * HTTP client for one request of our own.
 *
 * Without a pool each call has its own connection. The server may have closed
 * a pooled connection in the meantime: a GET whose pooled connection ends
 * before a response is sent again, once, on a new connection. After a timeout
 * it is not.
 */
#include "http_call.h"

#include <stdlib.h>
#include <string.h>

#include "intake_log.h"

/* Largest head of a response, with all else that is not its body. */
#define RESPONSE_HEAD_BYTES_MAX 65536
/* Defaults of the limits of a response. */
#define RESPONSE_BODY_BYTES_MAX ((size_t)16 * 1024 * 1024)
#define SKIPPED_BYTES_MAX 65536
#define SKIPPED_RESPONSES_MAX 8
/* Default of KcHttpCallOptions.pooled_idle_timeout. */
#define POOLED_IDLE_TIMEOUT (4 * KC_SECOND)
/* The kernel ends a connection whose peer has not answered for this long. */
#define SILENCE_TIMEOUT (3 * KC_SECOND)

struct KcHttpCall {
    KcDeferredFree deferred_free;
    KcHttpCallOps ops;
    void *context;
    KcLoop *loop;
    KcHttpConnectionPool *pool;
    KcTime pooled_idle_timeout;
    char address[KC_ADDRESS_MAX];
    const char *reported_field; /* static string */
    KcTime progress_timeout;
    KcTime connect_timeout;
    KcIntake intake; /* of the response */
    KcTimer timer;   /* for connecting, then for progress; due at the end of
                        the whole call at the latest */
    KcHttpConnection *connection;
    struct evbuffer *request_bytes; /* kept, as it may be sent again */
    bool may_repeat;
    bool read_paused;         /* meanwhile the server can make no progress */
    bool connection_reused;   /* the connection came from the pool */
    bool response_started;    /* the head of a response has arrived */
    bool response_is_interim; /* the current response has a 1xx status */
    bool request_sent;        /* the request was given to a connection */
    bool keep_alive;          /* the server keeps the connection open */
    bool is_head_request;     /* the response has no body */
    bool cancelled;           /* only on_cancelled is still to be called */
    bool is_finished;
};

/* State of a call that collects its response. */
typedef struct Fetch {
    KcHttpFetchCallback on_done;
    void *context;
    int status;
    char reported_value[64];
    KcBuffer body;
    bool was_refused;
} Fetch;

static void
free_call(KcDeferredFree *deferred_free)
{
    KcHttpCall *call = (KcHttpCall *)deferred_free;

    if (call->cancelled && call->ops.on_cancelled != NULL) {
        call->ops.on_cancelled(call->context);
    }
    evbuffer_free(call->request_bytes);
    free(call);
}

/*
 * Ends the call and closes its connection, unless that went to the pool. The
 * loop frees the call.
 */
static void
finish_call(KcHttpCall *call)
{
    call->is_finished = true;
    KcIntake_End(&call->intake);
    if (call->connection != NULL) {
        KcHttpConnection_Close(call->connection);
        call->connection = NULL;
    }
    KcTimers_Clear(call->loop->timers, &call->timer);
    KcLoop_DeferFree(call->loop, &call->deferred_free);
}

/* Sets the timer; progress never moves it past the end of the whole call. */
static void
set_timer(KcHttpCall *call, KcTime timeout)
{
    KcTime due_at = KcLoop_Now() + timeout;

    KcTimers_Set(call->loop->timers, &call->timer,
                 due_at < call->intake.ends_at ? due_at
                                               : call->intake.ends_at);
}

static void
restart_progress_timer(KcHttpCall *call)
{
    if (call->read_paused) {
        KcTimers_Set(call->loop->timers, &call->timer, call->intake.ends_at);
    }
    else {
        set_timer(call, call->progress_timeout);
    }
}

static void
report_done(KcHttpCall *call, int code)
{
    bool sent = call->request_sent;

    finish_call(call);
    call->ops.on_done(call->context, code, sent);
}

/* Ends the call, as its response exceeds a limit. */
static void
cut_off(KcHttpCall *call, int code)
{
    KcIntakeLog_Write(&call->intake, call->address, code);
    report_done(call, code);
}

static void
write_request(KcHttpCall *call)
{
    struct evbuffer *out = KcHttpConnection_Output(call->connection);

    call->request_sent = true;
    if (call->is_head_request) {
        KcHttpConnection_ExpectNoBody(call->connection);
    }
    evbuffer_add_buffer_reference(out, call->request_bytes);
}

static void
on_connected(void *owner)
{
    KcHttpCall *call = owner;

    restart_progress_timer(call);
    write_request(call);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    KcHttpCall *call = owner;
    const char *type = KcHttpMessage_FindField(message, "Content-Type");
    const char *value = KcHttpMessage_FindField(message, call->reported_field);
    KcHttpResponseHead head = {.status = message->status,
                               .content_type = type != NULL ? type : "",
                               .reported_value = value != NULL ? value : "",
                               .message = message};
    int code;

    restart_progress_timer(call);
    call->response_started = true;
    call->response_is_interim = message->status < 200;
    call->keep_alive = message->keep_alive;
    code = KcIntake_AddHead(
        &call->intake, call->is_head_request ? 0 : message->content_length,
        call->response_is_interim);
    if (code != 0) {
        cut_off(call, code);
        return;
    }
    if (!call->response_is_interim && call->ops.on_head != NULL) {
        call->ops.on_head(call->context, &head);
    }
}

static void
on_body(void *owner, KcBytes bytes)
{
    KcHttpCall *call = owner;
    int code =
        KcIntake_AddBody(&call->intake, bytes.size, call->response_is_interim);

    restart_progress_timer(call);
    if (code != 0) {
        cut_off(call, code);
        return;
    }
    if (!call->response_is_interim && call->ops.on_data != NULL) {
        call->ops.on_data(call->context, bytes);
    }
}

static void
on_end(void *owner)
{
    KcHttpCall *call = owner;
    KcHttpConnection *connection = call->connection;

    if (call->response_is_interim) {
        KcHttpConnection_ReadNextMessage(connection);
        return;
    }
    if (call->pool != NULL && call->keep_alive) {
        call->connection = NULL;
        KcHttpConnectionPool_Put(call->pool, connection,
                                 call->pooled_idle_timeout);
    }
    report_done(call, 0);
}

static void on_failed(void *owner, int code);

static const KcHttpConnectionOps connection_ops = {.on_connected =
                                                       on_connected,
                                                   .on_head = on_head,
                                                   .on_body = on_body,
                                                   .on_message_end = on_end,
                                                   .on_failed = on_failed};

/* Opens a new connection. Returns 0 or KC_ERR_INVALID. */
static int
open_connection(KcHttpCall *call)
{
    KcHttpConnectionOptions options = {.loop = call->loop,
                                       .ops = &connection_ops,
                                       .owner = call,
                                       .head_bytes_max =
                                           RESPONSE_HEAD_BYTES_MAX,
                                       .silence_timeout = SILENCE_TIMEOUT};

    set_timer(call, call->connect_timeout);
    call->connection = KcHttpConnection_Connect(&options, call->address);
    return call->connection != NULL ? 0 : KC_ERR_INVALID;
}

static void
on_failed(void *owner, int code)
{
    KcHttpCall *call = owner;

    if (code == KC_ERR_TOO_LARGE) {
        KcIntakeLog_WriteBytes("answer head",
                               KcHttpConnection_FramingBytes(call->connection),
                               RESPONSE_HEAD_BYTES_MAX, call->address);
        report_done(call, code);
        return;
    }
    if (KcHttpConnection_WasRefused(call->connection) &&
        call->ops.on_refused != NULL) {
        call->ops.on_refused(call->context);
    }
    KcHttpConnection_Close(call->connection);
    if (call->connection_reused && !call->response_started &&
        call->may_repeat) {
        call->connection_reused = false;
        if (open_connection(call) == 0) {
            return;
        }
    }
    report_done(call, code == KC_ERR_PARSE ? code : KC_ERR_PEER_LOST);
}

static void
on_timeout(KcTimer *timer, KcTime now)
{
    KcHttpCall *call = timer->owner;
    int code = KcIntake_CheckTime(&call->intake, now);

    if (code != 0) {
        cut_off(call, code);
        return;
    }
    report_done(call, KC_ERR_PEER_LOST);
}

static bool
is_valid_method(const char *name)
{
    size_t length = strspn(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ");

    return length > 0 && name[length] == '\0';
}

static void
build_request(KcHttpCall *call, const KcHttpCallOptions *options)
{
    struct evbuffer *out = call->request_bytes;

    evbuffer_add_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", options->method,
                        options->path, options->address);
    if (call->pool == NULL) {
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    for (int i = 0; i < KC_HTTP_CALL_HEADERS_MAX; i++) {
        const KcHttpRequestHeader *header = &options->headers[i];

        if (header->name != NULL && header->value != NULL) {
            evbuffer_add_printf(out, "%s: %s\r\n", header->name,
                                header->value);
        }
    }
    if (options->body.size > 0 || strcmp(options->method, "GET") != 0) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n",
                            options->body.size);
    }
    evbuffer_add(out, "\r\n", 2);
    evbuffer_add(out, options->body.data, options->body.size);
}

/* Returns the limits of a call, with defaults for those that are zero. */
static KcIntakeLimits
effective_limits(const KcHttpCallOptions *options)
{
    KcIntakeLimits limits = options->limits;

    if (limits.body_bytes_max == 0) {
        limits.body_bytes_max = RESPONSE_BODY_BYTES_MAX;
    }
    if (limits.skipped_bytes_max == 0) {
        limits.skipped_bytes_max = SKIPPED_BYTES_MAX;
    }
    if (limits.skipped_max == 0) {
        limits.skipped_max = SKIPPED_RESPONSES_MAX;
    }
    if (limits.timeout == 0) {
        limits.timeout =
            KC_HTTP_CALL_TIMEOUT_FACTOR * options->progress_timeout;
    }
    return limits;
}

static KcHttpCall *
create_call(const KcHttpCallOptions *options)
{
    KcHttpCall *call = KcMem_New(sizeof(*call));
    KcIntakeLimits limits = effective_limits(options);

    KcIntake_Begin(&call->intake, &limits, KcLoop_Now());
    call->ops = *options->ops;
    call->context = options->context;
    call->loop = options->loop;
    call->pool = options->pool;
    call->pooled_idle_timeout = options->pooled_idle_timeout > 0
                                    ? options->pooled_idle_timeout
                                    : POOLED_IDLE_TIMEOUT;
    call->reported_field =
        options->reported_field != NULL ? options->reported_field : "ETag";
    call->progress_timeout = options->progress_timeout;
    call->connect_timeout = options->connect_timeout > 0
                                ? options->connect_timeout
                                : options->progress_timeout;
    call->deferred_free.free_owner = free_call;
    call->may_repeat = strcmp(options->method, "GET") == 0;
    call->is_head_request = strcmp(options->method, "HEAD") == 0;
    KcText_Copy(call->address, options->address, KC_ADDRESS_MAX);
    KcTimer_Init(&call->timer, on_timeout, call);
    call->request_bytes = evbuffer_new();
    return call;
}

/*
 * Writes the request and gets a connection for it. Returns 0 or
 * KC_ERR_INVALID.
 */
static int
start_call(KcHttpCall *call, const KcHttpCallOptions *options)
{
    char host[KC_ADDRESS_MAX];
    uint16_t port;

    if (!is_valid_method(options->method) ||
        KcAddress_Parse(options->address, host, &port) != 0) {
        return KC_ERR_INVALID;
    }
    build_request(call, options);
    if (call->pool != NULL && !options->needs_new_connection) {
        call->connection = KcHttpConnectionPool_Take(call->pool, KC_NEVER);
    }
    if (call->connection == NULL) {
        return open_connection(call);
    }
    call->connection_reused = true;
    KcHttpConnection_SetOwner(call->connection, &connection_ops, call);
    restart_progress_timer(call);
    write_request(call);
    return 0;
}

KcHttpCall *
KcHttpCall_Start(const KcHttpCallOptions *options)
{
    KcHttpCall *call = create_call(options);

    if (start_call(call, options) != 0) {
        KcTimers_Clear(call->loop->timers, &call->timer);
        evbuffer_free(call->request_bytes);
        free(call);
        return NULL;
    }
    return call;
}

void
KcHttpCall_Cancel(KcHttpCall *call)
{
    if (call->is_finished) {
        return;
    }
    call->cancelled = true;
    finish_call(call);
}

void
KcHttpCall_SetReadPaused(KcHttpCall *call, bool paused)
{
    if (!call->is_finished && call->read_paused != paused) {
        call->read_paused = paused;
        KcHttpConnection_SetReadPaused(call->connection, paused);
        restart_progress_timer(call);
    }
}

/* ---- collected responses ------------------------------------------------ */

static void
on_fetch_head(void *context, const KcHttpResponseHead *head)
{
    Fetch *fetch = context;

    fetch->status = head->status;
    KcText_Copy(fetch->reported_value, head->reported_value,
                sizeof(fetch->reported_value));
}

static void
on_fetch_data(void *context, KcBytes bytes)
{
    Fetch *fetch = context;

    KcBuffer_Append(&fetch->body, bytes.data, bytes.size);
}

static void
on_fetch_done(void *context, int code, bool sent)
{
    Fetch *fetch = context;
    KcBytes body = {KcBuffer_Data(&fetch->body), KcBuffer_Size(&fetch->body)};

    (void)sent;
    if (code != 0) {
        fetch->status = fetch->was_refused ? KC_FETCH_REFUSED : 0;
    }
    fetch->on_done(fetch->context, fetch->status, fetch->reported_value, body);
    KcBuffer_Clear(&fetch->body);
    free(fetch);
}

static void
on_fetch_cancelled(void *context)
{
    Fetch *fetch = context;

    KcBuffer_Clear(&fetch->body);
    free(fetch);
}

static void
on_fetch_refused(void *context)
{
    ((Fetch *)context)->was_refused = true;
}

static const KcHttpCallOps fetch_ops = {on_fetch_head, on_fetch_data,
                                        on_fetch_done, on_fetch_cancelled,
                                        on_fetch_refused};

KcHttpCall *
KcHttpCall_Fetch(const KcHttpCallOptions *options, KcHttpFetchCallback on_done,
                 void *context)
{
    KcHttpCallOptions fetch_options = *options;
    Fetch *fetch = KcMem_New(sizeof(*fetch));
    KcHttpCall *call;

    fetch->on_done = on_done;
    fetch->context = context;
    fetch_options.ops = &fetch_ops;
    fetch_options.context = fetch;
    call = create_call(&fetch_options);
    if (start_call(call, &fetch_options) != 0) {
        /* Reported from the loop, like a lost connection. */
        KcTimers_Set(call->loop->timers, &call->timer, KcLoop_Now());
    }
    return call;
}
