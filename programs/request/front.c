/*
 * Callers' connections to a gateway.
 */
#include "front.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../connection/socket.h"

/* A caller that reads slowly holds its backend server back above this many
 * bytes, until half of them have left. */
#define LAG_MAX (256 * 1024)
/* Wait for a request on a connection accepted during a planned stop. */
#define DRAIN_ACCEPT (1 * KC_SECOND)

struct KcGatewayFront {
    KcGatewayFrontOptions options;
    struct evconnlistener *listener;
    uint32_t count;
    bool draining;
    KcTime idle_until; /* valid while draining */
    TAILQ_HEAD(, Connection) connections;
};

typedef enum ConnectionState {
    CONNECTION_IDLE = 0, /* waits for a request */
    CONNECTION_HEAD,     /* a head has begun */
    CONNECTION_BODY,     /* its body is being read */
    CONNECTION_WAITING,  /* the request has been submitted */
    CONNECTION_CLOSING   /* the last answer is being written */
} ConnectionState;

/* One connection and the request on it. */
typedef struct Connection {
    TAILQ_ENTRY(Connection) link;
    KcGatewayFront *front;
    KcHttpPeer *peer;
    ConnectionState state;
    KcTimer timer;
    const KcHttpMessage *message;
    KcBuffer body;
    KcForward *forward;
    bool stream;    /* the answer is being sent in chunks */
    bool close;     /* after this answer */
    bool throttled; /* the backend server is held back */
} Connection;

static const KcCallerLimits *
limits_of(const KcGatewayFront *front)
{
    const KcRouting *routing = KcGateway_Routing(front->options.gateway);

    return routing != NULL ? &routing->limits : &front->options.limits;
}

const KcHttpMessage *
KcGatewayFront_Message(const void *caller)
{
    return ((const Connection *)caller)->message;
}

KcBytes
KcGatewayFront_Body(const void *caller)
{
    const Connection *connection = caller;

    return (KcBytes){KcBuffer_Data(&connection->body),
                     KcBuffer_Size(&connection->body)};
}

/* ---- life of a connection ------------------------------------------------ */

static void
dispose(Connection *connection)
{
    KcGatewayFront *front = connection->front;

    KcTimers_Clear(front->options.loop->timers, &connection->timer);
    TAILQ_REMOVE(&front->connections, connection, link);
    front->count--;
    KcBuffer_Clear(&connection->body);
    KcHttpPeer_Close(connection->peer);
    free(connection);
}

static void
set_timer(Connection *connection, KcTime delay)
{
    KcTimers_Set(connection->front->options.loop->timers, &connection->timer,
                 KcLoop_Now() + delay);
}

/* Answers for ourselves before the request is whole, and closes. */
static void
refuse_early(Connection *connection, int code, const char *step)
{
    KcForwardRefusal refusal = {.error = {.code = code, .step = step}};

    connection->state = CONNECTION_CLOSING;
    set_timer(connection, limits_of(connection->front)->header_timeout);
    connection->front->options.dialect->write_refusal(
        KcHttpPeer_Output(connection->peer), &refusal, true);
    KcHttpPeer_CloseWhenSent(connection->peer);
}

/* The caller is gone: so is its request. */
static void
on_failed(void *owner, int code)
{
    Connection *connection = owner;
    KcForward *forward = connection->forward;

    if (forward != NULL) {
        connection->forward = NULL;
        KcForward_Abandon(forward, KcLoop_Now());
    }
    if ((code == KC_ERR_PARSE || code == KC_ERR_TOO_LARGE) &&
        connection->state < CONNECTION_WAITING) {
        refuse_early(connection, code, "read");
        return;
    }
    dispose(connection);
}

/* Closes once what was written has left. */
static void
close_when_sent(Connection *connection)
{
    connection->state = CONNECTION_CLOSING;
    set_timer(connection, limits_of(connection->front)->idle_timeout);
    KcHttpPeer_CloseWhenSent(connection->peer);
}

static void
wait_for_request(Connection *connection)
{
    KcGatewayFront *front = connection->front;
    KcTime due = KcLoop_Now() + limits_of(front)->idle_timeout;

    if (front->draining) {
        /* Who connects to a stopping process has nowhere else to go. */
        due = KcLoop_Now() + DRAIN_ACCEPT;
        due = due > front->idle_until ? due : front->idle_until;
    }
    connection->state = CONNECTION_IDLE;
    KcTimers_Set(front->options.loop->timers, &connection->timer, due);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    Connection *connection = timer->owner;

    (void)now;
    switch (connection->state) {
    case CONNECTION_HEAD:
    case CONNECTION_BODY:
        refuse_early(connection, KC_ERR_DEADLINE, "read request");
        break;
    case CONNECTION_IDLE:
        /* The end of the last answer may still be on its way. */
        close_when_sent(connection);
        break;
    case CONNECTION_WAITING:
    case CONNECTION_CLOSING:
        dispose(connection);
        break;
    }
}

/* ---- the answer ---------------------------------------------------------- */

/* The connection goes on to its next request, or ends. */
static void
finish_answer(Connection *connection)
{
    KcBuffer_Drop(&connection->body, KcBuffer_Size(&connection->body));
    connection->message = NULL;
    connection->throttled = false;
    if (connection->close) {
        close_when_sent(connection);
        return;
    }
    wait_for_request(connection);
    KcHttpPeer_Next(connection->peer);
}

static void
decide_close(Connection *connection)
{
    connection->close =
        connection->front->draining || !connection->message->keep_alive;
}

static void
on_begin(void *caller, const void *head, bool stream)
{
    Connection *connection = caller;
    struct evbuffer *out = KcHttpPeer_Output(connection->peer);

    decide_close(connection);
    connection->stream = stream;
    connection->front->options.dialect->write_answer(out, head,
                                                     connection->close);
    if (stream) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
    }
}

static void
on_data(void *caller, KcBytes bytes)
{
    Connection *connection = caller;
    struct evbuffer *out = KcHttpPeer_Output(connection->peer);

    if (!connection->stream) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", bytes.size);
        evbuffer_add(out, bytes.data, bytes.size);
        return;
    }
    if (bytes.size == 0) {
        return; /* an empty chunk would end the answer */
    }
    evbuffer_add_printf(out, "%zx\r\n", bytes.size);
    evbuffer_add(out, bytes.data, bytes.size);
    evbuffer_add(out, "\r\n", 2);
    if (!connection->throttled && connection->forward->sending != NULL &&
        KcHttpPeer_Pending(connection->peer) > LAG_MAX) {
        connection->throttled = true;
        KcSending_Throttle(connection->forward->sending, true);
    }
}

static void
on_drained(void *owner)
{
    Connection *connection = owner;

    if (connection->throttled && connection->forward != NULL &&
        connection->forward->sending != NULL) {
        connection->throttled = false;
        KcSending_Throttle(connection->forward->sending, false);
    }
}

static void
on_answer_end(void *caller)
{
    Connection *connection = caller;

    connection->forward = NULL;
    if (connection->stream) {
        evbuffer_add(KcHttpPeer_Output(connection->peer), "0\r\n\r\n", 5);
    }
    finish_answer(connection);
}

/* The last chunk is left out, so that the answer does not look whole. */
static void
on_broken(void *caller, const KcError *error)
{
    Connection *connection = caller;

    (void)error;
    connection->forward = NULL;
    connection->close = true;
    finish_answer(connection);
}

static void
on_refuse(void *caller, const KcForwardRefusal *refusal)
{
    Connection *connection = caller;

    connection->forward = NULL;
    decide_close(connection);
    connection->front->options.dialect->write_refusal(
        KcHttpPeer_Output(connection->peer), refusal, connection->close);
    finish_answer(connection);
}

static const KcForwardOps forward_ops = {on_begin, on_data, on_answer_end,
                                         on_broken, on_refuse};

/* ---- the request --------------------------------------------------------- */

static void
on_begins(void *owner)
{
    Connection *connection = owner;

    connection->state = CONNECTION_HEAD;
    set_timer(connection, limits_of(connection->front)->header_timeout);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    Connection *connection = owner;
    const KcCallerLimits *limits = limits_of(connection->front);
    const char *host = KcHttpMessage_Find(message, "Host");

    connection->message = message;
    if (message->old || host == NULL || host[0] == '\0') {
        refuse_early(connection, KC_ERR_PARSE, "Host");
        return;
    }
    if (message->has_length && message->length > limits->body_max) {
        refuse_early(connection, KC_ERR_TOO_LARGE, "body");
        return;
    }
    if (KcHttpMessage_Lists(message, "Expect", "100-continue")) {
        evbuffer_add_printf(KcHttpPeer_Output(connection->peer),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    connection->state = CONNECTION_BODY;
    set_timer(connection, limits->idle_timeout);
}

static void
on_body(void *owner, KcBytes bytes)
{
    Connection *connection = owner;

    if (connection->state == CONNECTION_CLOSING) {
        return;
    }
    if (KcBuffer_Size(&connection->body) + bytes.size >
        limits_of(connection->front)->body_max) {
        refuse_early(connection, KC_ERR_TOO_LARGE, "body");
        return;
    }
    KcBuffer_Append(&connection->body, bytes.data, bytes.size);
    set_timer(connection, limits_of(connection->front)->idle_timeout);
}

static void
on_end(void *owner)
{
    Connection *connection = owner;
    KcGatewayFront *front = connection->front;
    KcForwardCall call;
    KcCallText text;
    KcForwardRefusal refusal = {.retry_after = 0};

    if (connection->state == CONNECTION_CLOSING) {
        return;
    }
    connection->state = CONNECTION_WAITING;
    KcTimers_Clear(front->options.loop->timers, &connection->timer);
    memset(&call, 0, sizeof(call));
    if (front->options.dialect->read_call(connection->message, &call, &text,
                                          &refusal.error) != 0) {
        on_refuse(connection, &refusal);
        return;
    }
    KcGateway_Submit(front->options.gateway, &call, &forward_ops, connection,
                     &connection->forward, KcLoop_Now());
}

static const KcHttpPeerOps peer_ops = {.begins = on_begins,
                                       .head = on_head,
                                       .body = on_body,
                                       .end = on_end,
                                       .failed = on_failed,
                                       .drained = on_drained};

/* ---- listening ----------------------------------------------------------- */

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    KcGatewayFront *front = context;
    KcHttpPeerOptions options = {.loop = front->options.loop,
                                 .ops = &peer_ops,
                                 .header_max = limits_of(front)->header_max,
                                 .silence = front->options.silence};
    Connection *connection;

    (void)listener;
    (void)address;
    (void)size;
    if (front->count >= front->options.connections_max) {
        evutil_closesocket(fd);
        return;
    }
    connection = KcMem_New(sizeof(*connection));
    options.owner = connection;
    connection->front = front;
    connection->peer = KcHttpPeer_Accept(&options, fd);
    if (connection->peer == NULL) {
        free(connection);
        return;
    }
    KcTimer_Init(&connection->timer, on_timer, connection);
    TAILQ_INSERT_TAIL(&front->connections, connection, link);
    front->count++;
    wait_for_request(connection);
}

KcGatewayFront *
KcGatewayFront_Create(const KcGatewayFrontOptions *options)
{
    KcGatewayFront *front = KcMem_New(sizeof(*front));

    front->options = *options;
    TAILQ_INIT(&front->connections);
    front->listener = KcSocket_Listen(options->loop->base, options->address,
                                      on_accept, front);
    if (front->listener == NULL) {
        free(front);
        return NULL;
    }
    return front;
}

void
KcGatewayFront_Free(KcGatewayFront *front)
{
    Connection *connection;

    while ((connection = TAILQ_FIRST(&front->connections)) != NULL) {
        dispose(connection);
    }
    evconnlistener_free(front->listener);
    free(front);
}

void
KcGatewayFront_Drain(KcGatewayFront *front, KcTime idle_until)
{
    Connection *connection;

    front->draining = true;
    front->idle_until = idle_until;
    TAILQ_FOREACH (connection, &front->connections, link) {
        if (connection->state == CONNECTION_IDLE) {
            wait_for_request(connection);
        }
    }
}
