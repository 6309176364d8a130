/*
 * Pauses a listening socket that connections cannot be accepted from.
 */
#include "accept_pause.h"

/* Time after a failed accept until the next one. */
#define RETRY_DELAY (50 * KC_MS)

static void
update_listener(KcAcceptPause *pause)
{
    if (pause->is_held || pause->timer.is_set) {
        evconnlistener_disable(pause->listener);
    }
    else {
        evconnlistener_enable(pause->listener);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    update_listener(timer->owner);
}

void
KcAcceptPause_Init(KcAcceptPause *pause, KcLoop *loop,
                   struct evconnlistener *listener, KcCounters *counters)
{
    *pause = (KcAcceptPause){
        .loop = loop, .listener = listener, .counters = counters};
    KcTimer_Init(&pause->timer, on_timer, pause);
}

void
KcAcceptPause_OnError(KcAcceptPause *pause)
{
    KcCounters_Add(pause->counters, KC_COUNT_ACCEPT_ERRORS, 1);
    KcTimers_Set(pause->loop->timers, &pause->timer,
                 KcLoop_Now() + RETRY_DELAY);
    update_listener(pause);
}

void
KcAcceptPause_SetHeld(KcAcceptPause *pause, bool held)
{
    if (pause->loop != NULL && pause->is_held != held) {
        pause->is_held = held;
        update_listener(pause);
    }
}

void
KcAcceptPause_Clear(KcAcceptPause *pause)
{
    if (pause->loop != NULL) {
        KcTimers_Clear(pause->loop->timers, &pause->timer);
        pause->loop = NULL;
    }
}
