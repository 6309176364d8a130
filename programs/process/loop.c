/*
 * The event loop of a process.
 */
#include "loop.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

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
    return read_clock(CLOCK_MONOTONIC);
}

static void
on_wake(evutil_socket_t fd, short what, void *context)
{
    /* Timers are run after every round of the loop. */
    (void)fd;
    (void)what;
    (void)context;
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
    TAILQ_INIT(&loop->retired);
    loop->timers = KcTimers_Create(KcLoop_Now());
    loop->wake = evtimer_new(loop->base, on_wake, loop);
    loop->wall_offset = read_clock(CLOCK_REALTIME) - KcLoop_Now();
    return loop;
}

void
KcLoop_Retire(KcLoop *loop, KcRetired *retired)
{
    TAILQ_INSERT_TAIL(&loop->retired, retired, link);
}

static void
take_down_retired(KcLoop *loop)
{
    KcRetired *retired;

    while ((retired = TAILQ_FIRST(&loop->retired)) != NULL) {
        TAILQ_REMOVE(&loop->retired, retired, link);
        retired->take_down(retired);
    }
}

void
KcLoop_Free(KcLoop *loop)
{
    take_down_retired(loop);
    event_free(loop->wake);
    KcTimers_Free(loop->timers);
    event_base_free(loop->base);
    free(loop);
}

/* Arms the wake-up for the next timer. */
static void
arm_wake(KcLoop *loop)
{
    KcTime next = KcTimers_NextDue(loop->timers);
    KcTime delay = next - KcLoop_Now();
    struct timeval wait;

    if (next == KC_NEVER) {
        evtimer_del(loop->wake);
        return;
    }
    if (delay < 0) {
        delay = 0;
    }
    wait.tv_sec = delay / KC_SECOND;
    wait.tv_usec = delay % KC_SECOND;
    evtimer_add(loop->wake, &wait);
}

void
KcLoop_Run(KcLoop *loop)
{
    while (!loop->stop_requested) {
        KcTimers_Run(loop->timers, KcLoop_Now());
        arm_wake(loop);
        event_base_loop(loop->base, EVLOOP_ONCE);
        take_down_retired(loop);
        if (loop->after_round != NULL) {
            loop->after_round();
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
KcLoop_Random(void)
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
