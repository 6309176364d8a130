/*
 * Notices that the peer of a connection has left while its input is not read.
 */
#include "leave_watch.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define LOOK_INTERVAL (100 * KC_MS)

static bool
is_input_full(const KcLeaveWatch *watch)
{
    return evbuffer_get_length(bufferevent_get_input(watch->options.bev)) >=
           watch->options.input_bytes_max;
}

static bool
has_left(const KcLeaveWatch *watch)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);

    return getsockopt(bufferevent_getfd(watch->options.bev), IPPROTO_TCP,
                      TCP_INFO, &info, &size) == 0 &&
           (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcLeaveWatch *watch = timer->owner;

    if (!is_input_full(watch)) {
        return;
    }
    if (has_left(watch)) {
        watch->options.on_left(watch->options.owner);
        return;
    }
    KcTimers_Set(watch->options.loop->timers, timer, now + LOOK_INTERVAL);
}

void
KcLeaveWatch_Init(KcLeaveWatch *watch, const KcLeaveWatchOptions *options)
{
    *watch = (KcLeaveWatch){.options = *options};
    KcTimer_Init(&watch->timer, on_timer, watch);
}

void
KcLeaveWatch_OnRead(KcLeaveWatch *watch)
{
    if (watch->options.loop != NULL && is_input_full(watch) &&
        !watch->timer.is_set) {
        KcTimers_Set(watch->options.loop->timers, &watch->timer,
                     KcLoop_Now() + LOOK_INTERVAL);
    }
}

void
KcLeaveWatch_Clear(KcLeaveWatch *watch)
{
    if (watch->options.loop != NULL) {
        KcTimers_Clear(watch->options.loop->timers, &watch->timer);
    }
}
