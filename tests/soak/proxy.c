/*
 * A TCP proxy with faults.  A connection that has dropped bytes drops all
 * later ones too, in any mode: the stream has a gap.  When one end closes it
 * the other is reset, as TCP delivers no end behind a gap.
 */
#include "proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "../../programs/connection/socket.h"

#define FORWARD_DELAY (150 * KC_MS)

typedef struct ProxyConnection {
    TAILQ_ENTRY(ProxyConnection) link;
    Proxy *proxy;
    struct bufferevent *client_end; /* accepted */
    struct bufferevent *target_end; /* connected to the target */
    KcTimer delay_timer;            /* forwards delayed bytes */
    bool is_silenced;               /* drops all bytes until it ends */
    bool is_ending;                 /* one end has closed */
} ProxyConnection;

struct Proxy {
    KcLoop *loop;
    struct sockaddr_storage target_address;
    int target_address_size;
    struct evconnlistener *listener;
    ProxyMode mode;
    TAILQ_HEAD(, ProxyConnection) connections;
};

const char *
ProxyMode_GetName(ProxyMode mode)
{
    static const char *const names[PROXY_MODE_COUNT] = {
        "pass", "delay", "reset", "silent", "silent back"};

    return names[mode];
}

/* Frees one end so that its peer receives a TCP reset. */
static void
abort_end(struct bufferevent *end)
{
    struct linger abort_on_close = {.l_onoff = 1, .l_linger = 0};

    setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &abort_on_close,
               sizeof(abort_on_close));
    bufferevent_free(end);
}

static void
close_connection(ProxyConnection *connection, bool reset)
{
    KcTimers_Clear(connection->proxy->loop->timers, &connection->delay_timer);
    TAILQ_REMOVE(&connection->proxy->connections, connection, link);
    if (reset) {
        abort_end(connection->client_end);
        abort_end(connection->target_end);
    }
    else {
        bufferevent_free(connection->client_end);
        bufferevent_free(connection->target_end);
    }
    free(connection);
}

/* Forwards in both directions what has been received. */
static void
forward_bytes(ProxyConnection *connection)
{
    bufferevent_write_buffer(connection->target_end,
                             bufferevent_get_input(connection->client_end));
    bufferevent_write_buffer(connection->client_end,
                             bufferevent_get_input(connection->target_end));
}

static void
on_read(struct bufferevent *end, void *context)
{
    ProxyConnection *connection = context;
    ProxyMode mode = connection->proxy->mode;

    if (connection->is_silenced || mode == PROXY_SILENT ||
        (mode == PROXY_SILENT_FROM_TARGET && end == connection->target_end)) {
        struct evbuffer *input = bufferevent_get_input(end);

        connection->is_silenced = true;
        evbuffer_drain(input, evbuffer_get_length(input));
    }
    else if (mode == PROXY_DELAY) {
        if (!connection->delay_timer.is_set) {
            KcTimers_Set(connection->proxy->loop->timers,
                         &connection->delay_timer,
                         KcLoop_Now() + FORWARD_DELAY);
        }
    }
    else {
        forward_bytes(connection);
    }
}

static void
on_delay_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    forward_bytes(timer->owner);
}

static void
on_last_sent(struct bufferevent *end, void *context)
{
    (void)end;
    close_connection(context, false);
}

/* An end has closed or failed.  What it sent before it closed is passed on
 * first. */
static void
on_end_event(struct bufferevent *end, short events, void *context)
{
    ProxyConnection *connection = context;
    struct bufferevent *other = end == connection->client_end
                                    ? connection->target_end
                                    : connection->client_end;

    if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))) {
        return;
    }
    forward_bytes(connection);
    if ((events & BEV_EVENT_ERROR) || connection->is_silenced ||
        connection->is_ending ||
        evbuffer_get_length(bufferevent_get_output(other)) == 0) {
        close_connection(connection, (events & BEV_EVENT_ERROR) != 0 ||
                                         connection->is_silenced);
        return;
    }
    connection->is_ending = true;
    bufferevent_disable(end, EV_READ | EV_WRITE);
    bufferevent_setcb(other, on_read, on_last_sent, on_end_event, connection);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    Proxy *proxy = context;
    struct event_base *base = proxy->loop->base;
    ProxyConnection *connection = KcMem_New(sizeof(*connection));

    (void)listener;
    (void)address;
    (void)size;
    connection->proxy = proxy;
    connection->client_end =
        bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    connection->target_end =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    KcTimer_Init(&connection->delay_timer, on_delay_timer, connection);
    bufferevent_setcb(connection->client_end, on_read, NULL, on_end_event,
                      connection);
    bufferevent_setcb(connection->target_end, on_read, NULL, on_end_event,
                      connection);
    TAILQ_INSERT_TAIL(&proxy->connections, connection, link);
    if (proxy->mode == PROXY_RESET ||
        bufferevent_socket_connect(connection->target_end,
                                   (struct sockaddr *)&proxy->target_address,
                                   proxy->target_address_size) != 0) {
        close_connection(connection, true);
        return;
    }
    bufferevent_enable(connection->client_end, EV_READ | EV_WRITE);
    bufferevent_enable(connection->target_end, EV_READ | EV_WRITE);
}

Proxy *
Proxy_Create(KcLoop *loop, const char *listen, const char *target_address)
{
    Proxy *proxy = KcMem_New(sizeof(*proxy));

    proxy->loop = loop;
    proxy->target_address_size = sizeof(proxy->target_address);
    TAILQ_INIT(&proxy->connections);
    if (evutil_parse_sockaddr_port(target_address,
                                   (struct sockaddr *)&proxy->target_address,
                                   &proxy->target_address_size) == 0) {
        proxy->listener =
            KcSocket_Listen(loop->base, listen, on_accept, proxy);
    }
    if (proxy->listener == NULL) {
        free(proxy);
        return NULL;
    }
    return proxy;
}

void
Proxy_SetMode(Proxy *proxy, ProxyMode mode)
{
    ProxyConnection *connection;
    ProxyConnection *next_connection;

    proxy->mode = mode;
    if (mode == PROXY_RESET) {
        TAILQ_FOREACH_SAFE (connection, &proxy->connections, link,
                            next_connection) {
            close_connection(connection, true);
        }
    }
}

void
Proxy_Free(Proxy *proxy)
{
    ProxyConnection *connection;

    while ((connection = TAILQ_FIRST(&proxy->connections)) != NULL) {
        close_connection(connection, false);
    }
    evconnlistener_free(proxy->listener);
    free(proxy);
}
