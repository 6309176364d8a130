/*
 * Loopback proxies that misbehave.  What was held back by silence is dropped:
 * the connection stays as it is until an end closes it.
 */
#include "proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "../../programs/connection/socket.h"

#define DELAY (150 * KC_MS)

typedef struct Pair {
    TAILQ_ENTRY(Pair) link;
    Proxy *proxy;
    struct bufferevent *front; /* of whoever connected */
    struct bufferevent *back;  /* to the target */
    KcTimer timer;             /* moves delayed bytes */
    bool silent;               /* for good */
} Pair;

struct Proxy {
    KcLoop *loop;
    struct sockaddr_storage target;
    int target_size;
    struct evconnlistener *listener;
    ProxyMode mode;
    TAILQ_HEAD(, Pair) pairs;
};

const char *
ProxyMode_Name(ProxyMode mode)
{
    static const char *const names[PROXY_MODE_COUNT] = {
        "pass", "delay", "reset", "silent", "silent back"};

    return names[mode];
}

static void
reset_end(struct bufferevent *end)
{
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};

    setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &at_once,
               sizeof(at_once));
    bufferevent_free(end);
}

static void
dispose(Pair *pair, bool reset)
{
    KcTimers_Clear(pair->proxy->loop->timers, &pair->timer);
    TAILQ_REMOVE(&pair->proxy->pairs, pair, link);
    if (reset) {
        reset_end(pair->front);
        reset_end(pair->back);
    }
    else {
        bufferevent_free(pair->front);
        bufferevent_free(pair->back);
    }
    free(pair);
}

static void
move(Pair *pair)
{
    bufferevent_write_buffer(pair->back, bufferevent_get_input(pair->front));
    bufferevent_write_buffer(pair->front, bufferevent_get_input(pair->back));
}

static void
on_read(struct bufferevent *end, void *context)
{
    Pair *pair = context;
    ProxyMode mode = pair->proxy->mode;

    if (pair->silent || mode == PROXY_SILENT ||
        (mode == PROXY_SILENT_BACK && end == pair->back)) {
        struct evbuffer *input = bufferevent_get_input(end);

        pair->silent = true;
        evbuffer_drain(input, evbuffer_get_length(input));
    }
    else if (mode == PROXY_DELAY) {
        if (!pair->timer.is_set) {
            KcTimers_Set(pair->proxy->loop->timers, &pair->timer,
                         KcLoop_Now() + DELAY);
        }
    }
    else {
        move(pair);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    move(timer->owner);
}

static void
on_event(struct bufferevent *end, short events, void *context)
{
    Pair *pair = context;

    (void)end;
    if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        move(pair);
        bufferevent_flush(pair->front, EV_WRITE, BEV_FINISHED);
        dispose(pair, (events & BEV_EVENT_ERROR) != 0);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    Proxy *proxy = context;
    struct event_base *base = proxy->loop->base;
    Pair *pair = KcMem_New(sizeof(*pair));

    (void)listener;
    (void)address;
    (void)size;
    pair->proxy = proxy;
    pair->front = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    pair->back = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    KcTimer_Init(&pair->timer, on_timer, pair);
    bufferevent_setcb(pair->front, on_read, NULL, on_event, pair);
    bufferevent_setcb(pair->back, on_read, NULL, on_event, pair);
    TAILQ_INSERT_TAIL(&proxy->pairs, pair, link);
    if (proxy->mode == PROXY_RESET ||
        bufferevent_socket_connect(pair->back,
                                   (struct sockaddr *)&proxy->target,
                                   proxy->target_size) != 0) {
        dispose(pair, true);
        return;
    }
    bufferevent_enable(pair->front, EV_READ | EV_WRITE);
    bufferevent_enable(pair->back, EV_READ | EV_WRITE);
}

Proxy *
Proxy_Create(KcLoop *loop, const char *listen, const char *target)
{
    Proxy *proxy = KcMem_New(sizeof(*proxy));

    proxy->loop = loop;
    proxy->target_size = sizeof(proxy->target);
    TAILQ_INIT(&proxy->pairs);
    if (evutil_parse_sockaddr_port(target, (struct sockaddr *)&proxy->target,
                                   &proxy->target_size) == 0) {
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
    Pair *pair;
    Pair *next;

    proxy->mode = mode;
    if (mode == PROXY_RESET) {
        TAILQ_FOREACH_SAFE (pair, &proxy->pairs, link, next) {
            dispose(pair, true);
        }
    }
}

void
Proxy_Free(Proxy *proxy)
{
    Pair *pair;

    while ((pair = TAILQ_FIRST(&proxy->pairs)) != NULL) {
        dispose(pair, false);
    }
    evconnlistener_free(proxy->listener);
    free(proxy);
}
