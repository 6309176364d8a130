/*
 * Closes a connection in stages.
 */
#include "lingering_close.h"

#include <event2/buffer.h>
#include <sys/socket.h>

static bool
is_output_sent(const KcLingeringClose *closing)
{
    return evbuffer_get_length(bufferevent_get_output(closing->bev)) == 0;
}

void
KcLingeringClose_DropInput(KcLingeringClose *closing)
{
    struct evbuffer *input = bufferevent_get_input(closing->bev);
    size_t size = evbuffer_get_length(input);

    closing->dropped_bytes += size;
    evbuffer_drain(input, size);
}

static void
on_read(struct bufferevent *bev, void *context)
{
    KcLingeringClose *closing = context;

    KcLingeringClose_DropInput(closing);
    if (closing->dropped_bytes <= KC_LINGERING_BYTES_MAX) {
        return;
    }
    if (is_output_sent(closing)) {
        closing->on_end(closing->owner);
    }
    else {
        /* The peer may still read the output. */
        bufferevent_disable(bev, EV_READ);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcLingeringClose *closing = timer->owner;

    (void)now;
    closing->on_end(closing->owner);
}

/* Begins the second stage, in which only the end of the input is awaited. */
static void
shut_down_sending(KcLingeringClose *closing)
{
    shutdown(bufferevent_getfd(closing->bev), SHUT_WR);
    KcTimers_Set(closing->loop->timers, &closing->timer,
                 KcLoop_Now() + KC_LINGERING_TIMEOUT);
}

static void
on_write(struct bufferevent *bev, void *context)
{
    KcLingeringClose *closing = context;

    if (!(bufferevent_get_enabled(bev) & EV_READ)) {
        /* The input has ended, or has more bytes than are dropped. */
        closing->on_end(closing->owner);
        return;
    }
    shut_down_sending(closing);
}

static void
on_event(struct bufferevent *bev, short events, void *context)
{
    KcLingeringClose *closing = context;

    (void)bev;
    if (events & BEV_EVENT_CONNECTED) {
        return;
    }
    if ((events & BEV_EVENT_EOF) && !(events & BEV_EVENT_ERROR) &&
        !is_output_sent(closing)) {
        return; /* libevent has stopped reading */
    }
    closing->on_end(closing->owner);
}

void
KcLingeringClose_Begin(KcLingeringClose *closing, KcLoop *loop,
                       struct bufferevent *bev, void (*on_end)(void *owner),
                       void *owner)
{
    *closing = (KcLingeringClose){
        .loop = loop, .bev = bev, .on_end = on_end, .owner = owner};
    KcTimer_Init(&closing->timer, on_timer, closing);
    bufferevent_setcb(bev, on_read, on_write, on_event, closing);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    if (is_output_sent(closing)) {
        shut_down_sending(closing);
    }
}

void
KcLingeringClose_Clear(KcLingeringClose *closing)
{
    if (closing->loop != NULL) {
        KcTimers_Clear(closing->loop->timers, &closing->timer);
    }
}
