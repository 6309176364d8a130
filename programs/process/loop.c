/*
 * Event loop of a process, over libevent.
 */
#include "loop.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

/*
 * libevent's poll returns all sockets that are ready, or at least so many. It
 * returns twice as many the next time.
 */
#define SOCKETS_PER_POLL_MIN 32

/* What is ready when the loop stops is sent within this time. */
#define LAST_SEND_TIMEOUT (100 * KC_MS)

static KcTime
read_clock(clockid_t id)
{
    struct timespec time;

    clock_gettime(id, &time);
    return (KcTime)time.tv_sec * KC_SECOND + time.tv_nsec / 1000;
}

KcTime
KcLoop_Now(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

static void
on_wake_timer(evutil_socket_t fd, short what, void *context)
{
    /*
     * libevent's loop would otherwise go on for as long as callbacks ask to be
     * called again. This event is the last one of a poll.
     */
    (void)fd;
    (void)what;
    event_base_loopbreak(((KcLoop *)context)->base);
}

KcLoop *
KcLoop_Create(void)
{
    KcLoop *loop = KcMem_New(sizeof(*loop));

    loop->base = event_base_new();
    if (loop->base == NULL) {
        free(loop);
        return NULL;
    }
    TAILQ_INIT(&loop->deferred_frees);
    loop->timers = KcTimers_Create(KcLoop_Now());
    loop->wake_timer = evtimer_new(loop->base, on_wake_timer, loop);
    loop->wall_offset = read_clock(CLOCK_REALTIME) - KcLoop_Now();
    return loop;
}

void
KcLoop_DeferFree(KcLoop *loop, KcDeferredFree *deferred)
{
    TAILQ_INSERT_TAIL(&loop->deferred_frees, deferred, link);
}

static void
run_deferred_frees(KcLoop *loop)
{
    KcDeferredFree *deferred;

    while ((deferred = TAILQ_FIRST(&loop->deferred_frees)) != NULL) {
        TAILQ_REMOVE(&loop->deferred_frees, deferred, link);
        deferred->free_owner(deferred);
    }
}

void
KcLoop_Free(KcLoop *loop)
{
    run_deferred_frees(loop);
    event_free(loop->wake_timer);
    KcTimers_Free(loop->timers);
    /* A bufferevent with a deferred callback is freed by the loop only. */
    event_base_loop(loop->base, EVLOOP_NONBLOCK);
    event_base_free(loop->base);
    free(loop);
}

/* Makes libevent's loop return after delay, at the latest. */
static void
set_wake_timer(KcLoop *loop, KcTime delay)
{
    struct timeval delay_timeval = {.tv_sec = delay / KC_SECOND,
                                    .tv_usec = delay % KC_SECOND};

    evtimer_add(loop->wake_timer, &delay_timeval);
}

/* Sets wake_timer to the time at which the next timer is due. */
static void
arm_wake_timer(KcLoop *loop)
{
    KcTime next = KcTimers_NextDue(loop->timers);
    KcTime delay = next - KcLoop_Now();

    if (next == KC_NEVER) {
        evtimer_del(loop->wake_timer);
        return;
    }
    set_wake_timer(loop, delay > 0 ? delay : 0);
}

/* Waits for a timer or a socket and handles the sockets that are ready. */
static void
run_sockets(KcLoop *loop)
{
    arm_wake_timer(loop);
    event_base_loop(loop->base, EVLOOP_ONCE);
    run_deferred_frees(loop);
}

/* Returns the most events that were active at once since the last call. */
static int
take_most_active(KcLoop *loop)
{
    return event_base_get_max_events(loop->base, EVENT_BASE_COUNT_ACTIVE,
                                     true);
}

/*
 * Handles what else had arrived when the poll of the last run_sockets() began:
 * one poll doesn't return all sockets if there are many. The number of polls
 * is limited, as some sockets may always be ready. Called when timers are due,
 * so that it doesn't wait.
 */
static void
run_remaining_sockets(KcLoop *loop)
{
    int events = event_base_get_num_events(loop->base, EVENT_BASE_COUNT_ADDED);

    for (int polled = SOCKETS_PER_POLL_MIN;
         polled < events && !loop->stop_requested &&
         take_most_active(loop) >= SOCKETS_PER_POLL_MIN;
         polled += polled + SOCKETS_PER_POLL_MIN) {
        run_sockets(loop);
    }
}

static void
run_timers(KcLoop *loop, KcTime now)
{
    KcTimers_Run(loop->timers, now);
    if (loop->stop_requested) {
        /* Sends what is ready to be sent; other sockets may be ready always.
         */
        set_wake_timer(loop, LAST_SEND_TIMEOUT);
        event_base_loop(loop->base, EVLOOP_NONBLOCK);
        run_deferred_frees(loop);
    }
}

/*
 * What had arrived by some time is read before a timer that was due then is
 * run, as it may be what the timer waits for. This matters when other work has
 * kept the loop from both. That time is also the present one for the timers,
 * which compare it with times other than their own.
 */
void
KcLoop_Run(KcLoop *loop)
{
    while (!loop->stop_requested) {
        KcTime polled_at = KcLoop_Now();

        take_most_active(loop);
        run_sockets(loop);
        if (KcTimers_NextDue(loop->timers) <= polled_at) {
            run_remaining_sockets(loop);
        }
        if (!loop->stop_requested) {
            run_timers(loop, polled_at);
        }
        if (loop->on_iteration_end != NULL) {
            loop->on_iteration_end();
        }
    }
}

void
KcLoop_Stop(KcLoop *loop)
{
    loop->stop_requested = true;
    event_base_loopbreak(loop->base);
}

uint64_t
KcLoop_GetRandomBits(void)
{
    uint64_t bits = 0;

    if (getrandom(&bits, sizeof(bits), 0) != (ssize_t)sizeof(bits)) {
        abort();
    }
    return bits;
}

int
KcAddress_Parse(const char *text, char *host, uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    int64_t number;

    if (colon == NULL || colon == text ||
        (size_t)(colon - text) >= KC_ADDRESS_MAX ||
        KcIni_ParseNumber(colon + 1, 1, 65535, &number) != 0) {
        return KC_ERR_PARSE;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    *port = (uint16_t)number;
    return 0;
}
