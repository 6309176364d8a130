/*
 * One HTTP request of our own as a client.
 *
 * Without a pool each call has a connection of its own.  A kept connection
 * may have been closed meanwhile: a call that may be repeated is then made
 * once more on a new one.
 */
#include "http_call.h"

#include <stdlib.h>
#include <string.h>

/* Bytes of the head of an answer. */
#define HEAD_MAX 65536
/* A connection is kept this long for the next call. */
#define KEEP (4 * KC_SECOND)
/* A connection that falls silent is noticed after this. */
#define SILENCE (3 * KC_SECOND)

struct KcHttpCall {
    KcRetired retired;
    KcHttpOps ops;
    void *context;
    KcLoop *loop;
    KcHttpPool *pool;
    char address[KC_ADDRESS_MAX];
    const char *report; /* static text */
    KcTime timeout;
    KcTime connect;
    KcTimer timer;
    KcHttpPeer *peer;
    struct evbuffer *request; /* kept while it may be sent once more */
    bool may_repeat;
    bool reused;   /* the connection had been kept */
    bool answered; /* bytes of an answer have arrived */
    bool interim;  /* the present answer is only a first word */
    bool sent;     /* a byte of the request has left */
    bool keep_alive;
    bool head_only; /* the answer has no body */
    bool cancelled; /* nothing more is reported */
    bool over;
};

/* A call whose answer is collected. */
typedef struct Collected {
    KcHttpWhole whole;
    void *context;
    int status;
    char etag[64];
    KcBuffer body;
} Collected;

static void
take_down(KcRetired *retired)
{
    KcHttpCall *call = (KcHttpCall *)retired;

    if (call->cancelled && call->ops.dropped != NULL) {
        call->ops.dropped(call->context);
    }
    evbuffer_free(call->request);
    free(call);
}

/* The call is over, and its connection, unless that was pooled. */
static void
finish(KcHttpCall *call)
{
    call->over = true;
    if (call->peer != NULL) {
        KcHttpPeer_Close(call->peer);
        call->peer = NULL;
    }
    KcTimers_Clear(call->loop->timers, &call->timer);
    KcLoop_Retire(call->loop, &call->retired);
}

static void
set_timer(KcHttpCall *call)
{
    KcTimers_Set(call->loop->timers, &call->timer,
                 KcLoop_Now() + call->timeout);
}

static void
report(KcHttpCall *call, int code)
{
    bool sent = call->sent;

    finish(call);
    call->ops.done(call->context, code, sent);
}

static void
write_request(KcHttpCall *call)
{
    struct evbuffer *out = KcHttpPeer_Output(call->peer);

    call->sent = true;
    if (call->head_only) {
        KcHttpPeer_ExpectNoBody(call->peer);
    }
    evbuffer_add_buffer_reference(out, call->request);
}

static void
on_connected(void *owner)
{
    KcHttpCall *call = owner;

    set_timer(call);
    write_request(call);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    KcHttpCall *call = owner;
    const char *type = KcHttpMessage_Find(message, "Content-Type");
    const char *etag = KcHttpMessage_Find(message, call->report);
    KcHttpHead head = {.status = message->status,
                       .content_type = type != NULL ? type : "",
                       .etag = etag != NULL ? etag : ""};

    set_timer(call);
    call->answered = true;
    call->interim = message->status < 200;
    call->keep_alive = message->keep_alive;
    if (!call->interim && call->ops.head != NULL) {
        call->ops.head(call->context, &head);
    }
}

static void
on_body(void *owner, KcBytes bytes)
{
    KcHttpCall *call = owner;

    set_timer(call);
    if (!call->interim && call->ops.data != NULL) {
        call->ops.data(call->context, bytes);
    }
}

static void
on_end(void *owner)
{
    KcHttpCall *call = owner;
    KcHttpPeer *peer = call->peer;

    if (call->interim) {
        KcHttpPeer_Next(peer);
        return;
    }
    if (call->pool != NULL && call->keep_alive) {
        call->peer = NULL;
        KcHttpPool_Put(call->pool, peer, KEEP);
    }
    report(call, 0);
}

static void on_failed(void *owner, int code);

static const KcHttpPeerOps peer_ops = {.connected = on_connected,
                                       .head = on_head,
                                       .body = on_body,
                                       .end = on_end,
                                       .failed = on_failed};

/* Opens a new connection.  Returns 0 or KC_ERR_INVALID. */
static int
connect_peer(KcHttpCall *call)
{
    KcHttpPeerOptions options = {.loop = call->loop,
                                 .ops = &peer_ops,
                                 .owner = call,
                                 .header_max = HEAD_MAX,
                                 .silence = SILENCE};

    KcTimers_Set(call->loop->timers, &call->timer,
                 KcLoop_Now() + call->connect);
    call->peer = KcHttpPeer_Connect(&options, call->address);
    return call->peer != NULL ? 0 : KC_ERR_INVALID;
}

static void
on_failed(void *owner, int code)
{
    KcHttpCall *call = owner;

    KcHttpPeer_Close(call->peer);
    if (call->reused && !call->answered && call->may_repeat) {
        call->reused = false;
        if (connect_peer(call) == 0) {
            return;
        }
    }
    report(call, code == KC_ERR_PARSE ? code : KC_ERR_LOST);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcHttpCall *call = timer->owner;

    (void)now;
    report(call, KC_ERR_LOST);
}

static bool
is_method(const char *name)
{
    size_t length = strspn(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ");

    return length > 0 && name[length] == '\0';
}

static void
compose(KcHttpCall *call, const KcHttpOptions *options)
{
    struct evbuffer *out = call->request;

    evbuffer_add_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", options->method,
                        options->path, options->address);
    if (call->pool == NULL) {
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    for (int i = 0; i < KC_HTTP_HEADERS_MAX; i++) {
        const KcHttpHeader *header = &options->headers[i];

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

static KcHttpCall *
create(const KcHttpOptions *options)
{
    KcHttpCall *call = KcMem_New(sizeof(*call));

    call->ops = *options->ops;
    call->context = options->context;
    call->loop = options->loop;
    call->pool = options->pool;
    call->report = options->report != NULL ? options->report : "ETag";
    call->timeout = options->timeout;
    call->connect = options->connect > 0 ? options->connect : options->timeout;
    call->retired.take_down = take_down;
    call->may_repeat = strcmp(options->method, "GET") == 0;
    call->head_only = strcmp(options->method, "HEAD") == 0;
    KcName_Copy(call->address, options->address, KC_ADDRESS_MAX);
    KcTimer_Init(&call->timer, on_timer, call);
    call->request = evbuffer_new();
    return call;
}

/* Finds a connection.  Returns 0 or KC_ERR_INVALID. */
static int
begin(KcHttpCall *call, const KcHttpOptions *options)
{
    char host[KC_ADDRESS_MAX];
    uint16_t port;

    if (!is_method(options->method) ||
        KcAddress_Parse(options->address, host, &port) != 0) {
        return KC_ERR_INVALID;
    }
    compose(call, options);
    if (call->pool != NULL) {
        call->peer = KcHttpPool_Take(call->pool, KC_NEVER);
    }
    if (call->peer == NULL) {
        return connect_peer(call);
    }
    call->reused = true;
    KcHttpPeer_SetOwner(call->peer, &peer_ops, call);
    set_timer(call);
    write_request(call);
    return 0;
}

KcHttpCall *
KcHttpCall_Start(const KcHttpOptions *options)
{
    KcHttpCall *call = create(options);

    if (begin(call, options) != 0) {
        KcTimers_Clear(call->loop->timers, &call->timer);
        evbuffer_free(call->request);
        free(call);
        return NULL;
    }
    return call;
}

void
KcHttpCall_Cancel(KcHttpCall *call)
{
    if (call->over) {
        return;
    }
    call->cancelled = true;
    finish(call);
}

void
KcHttpCall_Throttle(KcHttpCall *call, bool paused)
{
    if (!call->over) {
        KcHttpPeer_Pause(call->peer, paused);
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
    call = create(&copy);
    if (begin(call, &copy) != 0) {
        /* Reported from the loop, like any call that is lost. */
        KcTimers_Set(call->loop->timers, &call->timer, KcLoop_Now());
    }
    return call;
}
