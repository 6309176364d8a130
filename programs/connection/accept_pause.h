/*
 * Pauses a listening socket that connections cannot be accepted from. The
 * socket would be ready all the while; the connections wait in the kernel.
 */
#ifndef KCC_ACCEPT_PAUSE_H
#define KCC_ACCEPT_PAUSE_H

#include <event2/listener.h>

#include "../process/loop.h"

/* Part of the owner of a listener. */
typedef struct KcAcceptPause {
    KcLoop *loop;
    struct evconnlistener *listener;
    KcCounters *counters;
    KcTimer timer; /* set after an error; accepts again */
    bool is_held;  /* by the owner */
} KcAcceptPause;

/* Begins with a listener that accepts, and outlives the pause. */
void KcAcceptPause_Init(KcAcceptPause *pause, KcLoop *loop,
                        struct evconnlistener *listener, KcCounters *counters);
/*
 * Handles a failed accept, as when no descriptor is left: accepts again after
 * a short time. To be called from the listener's error callback.
 */
void KcAcceptPause_OnError(KcAcceptPause *pause);
/*
 * Accepts nothing until the owner no longer holds the listener; no effect
 * after KcAcceptPause_Clear().
 */
void KcAcceptPause_SetHeld(KcAcceptPause *pause, bool held);
/* To be called before the listener is freed; also for one never begun. */
void KcAcceptPause_Clear(KcAcceptPause *pause);

#endif
