/*
 * TCP transport of links: frames messages, exchanges HELLO on connecting, and
 * reports messages and the end of a connection.
 */
#include "tcp.h"

#include <arpa/inet.h>
#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "accept_pause.h"
#include "socket.h"

#define FRAME_PREFIX_BYTES 4
/* The kernel ends a connection whose peer has not answered for this long. */
#define SILENCE_TIMEOUT (3 * KC_SECOND)

struct KcTcpConnection {
    KcTcpOptions options;
    void *peer_context; /* for callbacks; NULL on the accepting side */
    struct bufferevent *bev;
    KcLink *link;
    KcEncoder *encoder;
    KcDecoder *decoder;
    bool is_initiator;
    bool link_reported; /* the link was reported to the owner, who frees it */
    bool is_reading;    /* on_read() is on the stack */
    bool is_closed;     /* freed at once, or when on_read() returns */
    KcMsg hello;
    KcTimer setup_timer; /* for connecting and the peer's HELLO */
};

struct KcTcpListener {
    KcTcpOptions options;
    struct evconnlistener *evlistener;
    KcAcceptPause accept_pause;
    void (*on_accepted)(void *context, KcLink *link);
};

static void on_read(struct bufferevent *bev, void *context);
static void on_connection_event(struct bufferevent *bev, short events,
                                void *context);

static void
send_message(void *connection, const KcMsg *msg)
{
    KcTcpConnection *tcp = connection;
    KcBytes bytes;

    if (tcp->is_closed || KcEncoder_Encode(tcp->encoder, msg, &bytes) != 0) {
        return;
    }
    KcCounters_Add(tcp->options.counters, KC_COUNT_MESSAGES_SENT, 1);
    KcCounters_Add(tcp->options.counters, KC_COUNT_BYTES_SENT, bytes.size);
    bufferevent_write(tcp->bev, bytes.data, bytes.size);
}

static void
close_connection(void *connection)
{
    KcTcpConnection_Close(connection);
}

static const KcLinkOps link_ops = {send_message, close_connection};

static KcTcpConnection *
create_connection(const KcTcpOptions *options, evutil_socket_t fd,
                  bool is_initiator)
{
    KcTcpConnection *tcp = KcMem_New(sizeof(*tcp));

    tcp->options = *options;
    tcp->is_initiator = is_initiator;
    tcp->bev =
        bufferevent_socket_new(options->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);
    tcp->encoder = KcEncoder_Create();
    tcp->decoder = KcDecoder_Create();
    tcp->link = KcLink_Create(&link_ops, tcp, is_initiator, KcLoop_Now());
    KcTimer_Init(&tcp->setup_timer, NULL, tcp);
    bufferevent_setcb(tcp->bev, on_read, NULL, on_connection_event, tcp);
    return tcp;
}

static void
free_connection(KcTcpConnection *tcp)
{
    KcTimers_Clear(tcp->options.loop->timers, &tcp->setup_timer);
    bufferevent_free(tcp->bev);
    KcEncoder_Free(tcp->encoder);
    KcDecoder_Free(tcp->decoder);
    free(tcp);
}

void
KcTcpConnection_Close(KcTcpConnection *tcp)
{
    if (!tcp->link_reported) {
        KcLink_Free(tcp->link);
        tcp->link = NULL;
    }
    tcp->is_closed = true;
    if (!tcp->is_reading) {
        free_connection(tcp);
    }
}

/* Closes a connection that has ended or failed and reports it to the owner. */
static void
report_closed(KcTcpConnection *tcp, int code)
{
    KcLink *link = tcp->link_reported ? tcp->link : NULL;
    KcTcpOptions options = tcp->options;
    void *peer_context = tcp->peer_context;

    if (tcp->is_closed) {
        return;
    }
    KcTcpConnection_Close(tcp);
    options.ops->on_closed(options.context, peer_context, link, code);
}

static void
report_protocol_error(KcTcpConnection *tcp, int code)
{
    KcCounters_Add(tcp->options.counters, KC_COUNT_PROTOCOL_ERRORS, 1);
    report_closed(tcp, code);
}

/* Handles the first message on the connecting side, which must be HELLO. */
static void
receive_hello(KcTcpConnection *tcp, const KcMsg *msg)
{
    KcStream *stream;
    KcError error;

    if (msg->type != KC_MSG_HELLO ||
        KcLink_Receive(tcp->link, msg, &stream, KcLoop_Now(), &error) != 0) {
        report_protocol_error(tcp, KC_ERR_PROTOCOL);
        return;
    }
    KcTimers_Clear(tcp->options.loop->timers, &tcp->setup_timer);
    tcp->link_reported = true;
    tcp->options.ops->on_ready(tcp->options.context, tcp->peer_context,
                               tcp->link);
}

static void
skip_message(KcTcpConnection *tcp, const KcMsg *msg)
{
    bool is_first = false;
    KcError error;
    int code = KcLink_Skip(tcp->link, msg, &is_first, KcLoop_Now(), &error);

    if (code != 0) {
        report_protocol_error(tcp, code);
        return;
    }
    KcCounters_Add(tcp->options.counters, KC_COUNT_MESSAGES_SKIPPED, 1);
    if (is_first) {
        tcp->options.ops->on_skipped(tcp->options.context, tcp->link,
                                     (int)msg->type);
    }
}

/* Decodes a frame without its prefix and hands its message on. */
static void
handle_frame(KcTcpConnection *tcp, const unsigned char *frame, size_t size)
{
    KcMsg msg;

    switch (KcDecoder_Decode(tcp->decoder, frame, size, &msg)) {
    case 0:
        if (tcp->link_reported) {
            tcp->options.ops->on_message(tcp->options.context, tcp->link,
                                         &msg);
        }
        else {
            receive_hello(tcp, &msg);
        }
        break;
    case KC_ERR_UNKNOWN_MESSAGE:
        skip_message(tcp, &msg);
        break;
    default:
        report_protocol_error(tcp, KC_ERR_PARSE);
        break;
    }
}

/*
 * Reads one frame from the input and handles its message. Returns false when
 * no frame is complete or the connection was closed.
 */
static bool
read_frame(KcTcpConnection *tcp, struct evbuffer *input)
{
    unsigned char prefix[FRAME_PREFIX_BYTES];
    size_t size;
    const unsigned char *frame;

    if (evbuffer_copyout(input, prefix, FRAME_PREFIX_BYTES) !=
        FRAME_PREFIX_BYTES) {
        return false;
    }
    if (KcDecoder_ReadFrameSize(prefix, &size) != 0) {
        report_protocol_error(tcp, KC_ERR_TOO_LARGE);
        return false;
    }
    if (evbuffer_get_length(input) < FRAME_PREFIX_BYTES + size) {
        return false;
    }
    frame = evbuffer_pullup(input, (ev_ssize_t)(FRAME_PREFIX_BYTES + size));
    KcCounters_Add(tcp->options.counters, KC_COUNT_MESSAGES_RECEIVED, 1);
    KcCounters_Add(tcp->options.counters, KC_COUNT_BYTES_RECEIVED,
                   FRAME_PREFIX_BYTES + size);
    handle_frame(tcp, frame + FRAME_PREFIX_BYTES, size);
    if (!tcp->is_closed) {
        evbuffer_drain(input, FRAME_PREFIX_BYTES + size);
    }
    return !tcp->is_closed;
}

static void
on_read(struct bufferevent *bev, void *context)
{
    KcTcpConnection *tcp = context;
    struct evbuffer *input = bufferevent_get_input(bev);

    tcp->is_reading = true;
    while (read_frame(tcp, input)) {
        continue;
    }
    tcp->is_reading = false;
    if (tcp->is_closed) {
        free_connection(tcp);
    }
}

static void
on_connection_event(struct bufferevent *bev, short events, void *context)
{
    KcTcpConnection *tcp = context;

    if (events & BEV_EVENT_CONNECTED) {
        KcSocket_SetConnectionOptions(bufferevent_getfd(bev), SILENCE_TIMEOUT);
        send_message(tcp, &tcp->hello);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }
    else if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) {
        report_closed(tcp, KC_ERR_PEER_LOST);
    }
}

static void
on_setup_timeout(KcTimer *timer, KcTime now)
{
    (void)now;
    report_closed(timer->owner, KC_ERR_PEER_LOST);
}

KcTcpConnection *
KcTcpConnection_Connect(const KcTcpOptions *options, void *peer_context,
                        const char *address, const KcMsg *hello,
                        KcTime setup_timeout)
{
    KcTcpConnection *tcp = create_connection(options, -1, true);
    struct sockaddr_storage remote;
    int size = sizeof(remote);

    tcp->peer_context = peer_context;
    tcp->hello = *hello;
    tcp->setup_timer.on_due = on_setup_timeout;
    KcTimers_Set(options->loop->timers, &tcp->setup_timer,
                 KcLoop_Now() + setup_timeout);
    /*
     * A failure is reported by on_connection_event() or, also for an invalid
     * address, by the timeout.
     */
    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&remote,
                                   &size) == 0) {
        bufferevent_socket_connect(tcp->bev, (struct sockaddr *)&remote, size);
    }
    return tcp;
}

static void
on_accept(struct evconnlistener *evlistener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    KcTcpListener *listener = context;
    KcTcpConnection *tcp = create_connection(&listener->options, fd, false);

    (void)evlistener;
    (void)address;
    (void)size;
    KcSocket_SetConnectionOptions(fd, SILENCE_TIMEOUT);
    tcp->link_reported = true;
    bufferevent_enable(tcp->bev, EV_READ | EV_WRITE);
    listener->on_accepted(listener->options.context, tcp->link);
}

static void
on_accept_error(struct evconnlistener *evlistener, void *context)
{
    (void)evlistener;
    KcAcceptPause_OnError(&((KcTcpListener *)context)->accept_pause);
}

KcTcpListener *
KcTcpListener_Create(const KcTcpOptions *options, const char *address,
                     void (*on_accepted)(void *context, KcLink *link))
{
    KcTcpListener *listener = KcMem_New(sizeof(*listener));

    listener->options = *options;
    listener->on_accepted = on_accepted;
    listener->evlistener =
        KcSocket_Listen(options->loop->base, address, on_accept, listener);
    if (listener->evlistener == NULL) {
        free(listener);
        return NULL;
    }
    KcAcceptPause_Init(&listener->accept_pause, options->loop,
                       listener->evlistener, options->counters);
    evconnlistener_set_error_cb(listener->evlistener, on_accept_error);
    return listener;
}

void
KcTcpListener_Free(KcTcpListener *listener)
{
    KcAcceptPause_Clear(&listener->accept_pause);
    evconnlistener_free(listener->evlistener);
    free(listener);
}
