/*
 * TCP transport of links.
 */
#include "tcp.h"

#include <arpa/inet.h>
#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "socket.h"

#define PREFIX_SIZE 4
/* A connection that falls silent is noticed after this. */
#define SILENCE (3 * KC_SECOND)

struct KcTcp {
    KcTcpOptions options;
    void *peer; /* as given to KcTcp_Connect() */
    struct bufferevent *bev;
    KcLink *link;
    KcEncoder *encoder;
    KcDecoder *decoder;
    bool initiator;
    bool ready;   /* the owner knows the link */
    bool reading; /* within on_read() */
    bool closed;  /* freed when on_read() returns */
    KcMsg hello;
    KcTimer timeout; /* for connecting and the peer's HELLO */
};

struct KcTcpListener {
    KcTcpOptions options;
    struct evconnlistener *listener;
    void (*accepted)(void *context, KcLink *link);
};

static void on_read(struct bufferevent *bev, void *context);
static void on_event(struct bufferevent *bev, short events, void *context);

static void
send_message(void *transport, const KcMsg *msg)
{
    KcTcp *tcp = transport;
    KcBytes bytes;

    if (tcp->closed || KcEncoder_Pack(tcp->encoder, msg, &bytes) != 0) {
        return;
    }
    KcCounters_Add(tcp->options.counters, KC_COUNT_MESSAGES_SENT, 1);
    KcCounters_Add(tcp->options.counters, KC_COUNT_BYTES_SENT, bytes.size);
    bufferevent_write(tcp->bev, bytes.data, bytes.size);
}

static void
close_transport(void *transport)
{
    KcTcp_Close(transport);
}

static const KcLinkOps link_ops = {send_message, close_transport};

static KcTcp *
create(const KcTcpOptions *options, evutil_socket_t fd, bool initiator)
{
    KcTcp *tcp = KcMem_New(sizeof(*tcp));

    tcp->options = *options;
    tcp->initiator = initiator;
    tcp->bev =
        bufferevent_socket_new(options->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);
    tcp->encoder = KcEncoder_Create();
    tcp->decoder = KcDecoder_Create();
    tcp->link = KcLink_Create(&link_ops, tcp, initiator, KcLoop_Now());
    KcTimer_Init(&tcp->timeout, NULL, tcp);
    bufferevent_setcb(tcp->bev, on_read, NULL, on_event, tcp);
    return tcp;
}

static void
destroy(KcTcp *tcp)
{
    KcTimers_Clear(tcp->options.loop->timers, &tcp->timeout);
    bufferevent_free(tcp->bev);
    KcEncoder_Free(tcp->encoder);
    KcDecoder_Free(tcp->decoder);
    free(tcp);
}

void
KcTcp_Close(KcTcp *tcp)
{
    if (!tcp->ready) {
        KcLink_Free(tcp->link);
        tcp->link = NULL;
    }
    tcp->closed = true;
    if (!tcp->reading) {
        destroy(tcp);
    }
}

/* The connection ended by itself: tell the owner. */
static void
report_closed(KcTcp *tcp, int code)
{
    KcLink *link = tcp->ready ? tcp->link : NULL;
    KcTcpOptions options = tcp->options;
    void *peer = tcp->peer;

    if (tcp->closed) {
        return;
    }
    KcTcp_Close(tcp);
    options.ops->closed(options.context, peer, link, code);
}

/* The peer's HELLO on the connecting side. */
static void
receive_hello(KcTcp *tcp, const KcMsg *msg)
{
    KcStream *stream;
    KcError error;

    if (msg->type != KC_MSG_HELLO ||
        KcLink_Receive(tcp->link, msg, &stream, KcLoop_Now(), &error) != 0) {
        report_closed(tcp, KC_ERR_PROTOCOL);
        return;
    }
    KcTimers_Clear(tcp->options.loop->timers, &tcp->timeout);
    tcp->ready = true;
    tcp->options.ops->ready(tcp->options.context, tcp->peer, tcp->link);
}

/* Takes one frame from the input.  False when none is complete. */
static bool
read_frame(KcTcp *tcp, struct evbuffer *input)
{
    unsigned char prefix[PREFIX_SIZE];
    size_t size;
    const unsigned char *frame;
    KcMsg msg;

    if (evbuffer_copyout(input, prefix, PREFIX_SIZE) != PREFIX_SIZE) {
        return false;
    }
    if (KcDecoder_FrameSize(prefix, &size) != 0) {
        KcCounters_Add(tcp->options.counters, KC_COUNT_PROTOCOL_ERRORS, 1);
        report_closed(tcp, KC_ERR_TOO_LARGE);
        return false;
    }
    if (evbuffer_get_length(input) < PREFIX_SIZE + size) {
        return false;
    }
    frame = evbuffer_pullup(input, (ev_ssize_t)(PREFIX_SIZE + size));
    KcCounters_Add(tcp->options.counters, KC_COUNT_MESSAGES_RECEIVED, 1);
    KcCounters_Add(tcp->options.counters, KC_COUNT_BYTES_RECEIVED,
                   PREFIX_SIZE + size);
    if (KcDecoder_Unpack(tcp->decoder, frame + PREFIX_SIZE, size, &msg) != 0) {
        KcCounters_Add(tcp->options.counters, KC_COUNT_PROTOCOL_ERRORS, 1);
        report_closed(tcp, KC_ERR_PARSE);
        return false;
    }
    if (tcp->ready) {
        tcp->options.ops->message(tcp->options.context, tcp->link, &msg);
    }
    else {
        receive_hello(tcp, &msg);
    }
    if (!tcp->closed) {
        evbuffer_drain(input, PREFIX_SIZE + size);
    }
    return !tcp->closed;
}

static void
on_read(struct bufferevent *bev, void *context)
{
    KcTcp *tcp = context;
    struct evbuffer *input = bufferevent_get_input(bev);

    tcp->reading = true;
    while (read_frame(tcp, input)) {
        continue;
    }
    tcp->reading = false;
    if (tcp->closed) {
        destroy(tcp);
    }
}

static void
on_event(struct bufferevent *bev, short events, void *context)
{
    KcTcp *tcp = context;

    if (events & BEV_EVENT_CONNECTED) {
        KcSocket_Prepare(bufferevent_getfd(bev), SILENCE);
        send_message(tcp, &tcp->hello);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }
    else if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) {
        report_closed(tcp, KC_ERR_LOST);
    }
}

static void
on_timeout(KcTimer *timer, KcTime now)
{
    (void)now;
    report_closed(timer->owner, KC_ERR_LOST);
}

KcTcp *
KcTcp_Connect(const KcTcpOptions *options, void *peer, const char *address,
              const KcMsg *hello, KcTime timeout)
{
    KcTcp *tcp = create(options, -1, true);
    struct sockaddr_storage to;
    int size = sizeof(to);

    tcp->peer = peer;
    tcp->hello = *hello;
    tcp->timeout.fire = on_timeout;
    KcTimers_Set(options->loop->timers, &tcp->timeout, KcLoop_Now() + timeout);
    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&to, &size) ==
        0) {
        /* A failure is reported by on_event() or by the timeout. */
        bufferevent_socket_connect(tcp->bev, (struct sockaddr *)&to, size);
    }
    return tcp;
}

static void
on_accept(struct evconnlistener *evlistener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    KcTcpListener *listener = context;
    KcTcp *tcp = create(&listener->options, fd, false);

    (void)evlistener;
    (void)address;
    (void)size;
    KcSocket_Prepare(fd, SILENCE);
    tcp->ready = true;
    bufferevent_enable(tcp->bev, EV_READ | EV_WRITE);
    listener->accepted(listener->options.context, tcp->link);
}

KcTcpListener *
KcTcp_Listen(const KcTcpOptions *options, const char *address,
             void (*accepted)(void *context, KcLink *link))
{
    KcTcpListener *listener = KcMem_New(sizeof(*listener));

    listener->options = *options;
    listener->accepted = accepted;
    listener->listener =
        KcSocket_Listen(options->loop->base, address, on_accept, listener);
    if (listener->listener == NULL) {
        free(listener);
        return NULL;
    }
    return listener;
}

void
KcTcpListener_Free(KcTcpListener *listener)
{
    evconnlistener_free(listener->listener);
    free(listener);
}
