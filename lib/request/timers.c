/*
 * A timer wheel of intrusive lists.
 *
 * Each list holds the timers of one tick, modulo the size of the wheel; a
 * timer that is not due when its list is run is put back.  A bit per list lets
 * KcTimers_NextDue() find the next wake-up without visiting timers.
 */
#include <assert.h>
#include <stdlib.h>

#include "kcc_request.h"

#define TICK_DURATION (1 * KC_MS)
#define WHEEL_LIST_COUNT 2048
#define WORD_BITS 64
#define WORD_COUNT (WHEEL_LIST_COUNT / WORD_BITS)

LIST_HEAD(KcTimerList, KcTimer);

struct KcTimers {
    int64_t last_tick; /* last tick whose list was run */
    struct KcTimerList lists[WHEEL_LIST_COUNT];
    uint64_t
        occupied[WORD_COUNT]; /* bit per list: set if it may have timers */
};

KcTimers *
KcTimers_Create(KcTime now)
{
    KcTimers *timers = KcMem_New(sizeof(*timers));

    timers->last_tick = now / TICK_DURATION;
    return timers;
}

void
KcTimers_Free(KcTimers *timers)
{
    free(timers);
}

void
KcTimer_Init(KcTimer *timer, void (*on_due)(KcTimer *, KcTime), void *owner)
{
    timer->is_set = false;
    timer->on_due = on_due;
    timer->owner = owner;
}

void
KcTimers_Set(KcTimers *timers, KcTimer *timer, KcTime due_at)
{
    int64_t tick;
    int64_t index;

    KcTimers_Clear(timers, timer);
    if (due_at == KC_NEVER) {
        return;
    }
    /* Rounded up, so that a timer is never run before it is due. */
    tick = (due_at + TICK_DURATION - 1) / TICK_DURATION;
    if (tick <= timers->last_tick) {
        tick = timers->last_tick + 1;
    }
    index = tick & (WHEEL_LIST_COUNT - 1);
    timer->due_at = due_at;
    timer->is_set = true;
    LIST_INSERT_HEAD(&timers->lists[index], timer, link);
    timers->occupied[index / WORD_BITS] |= 1ULL << (index % WORD_BITS);
}

void
KcTimers_Clear(KcTimers *timers, KcTimer *timer)
{
    (void)timers;
    if (timer->is_set) {
        LIST_REMOVE(timer, link);
        timer->is_set = false;
    }
}

/* Moves the timers of a list to detached, as callbacks may change the list. */
static void
detach_list(KcTimers *timers, int64_t index, struct KcTimerList *detached)
{
    KcTimer *timer;

    LIST_INIT(detached);
    while ((timer = LIST_FIRST(&timers->lists[index])) != NULL) {
        LIST_REMOVE(timer, link);
        LIST_INSERT_HEAD(detached, timer, link);
    }
    timers->occupied[index / WORD_BITS] &= ~(1ULL << (index % WORD_BITS));
}

/* Fires the timers of one list that are due and puts the others back. */
static void
run_list(KcTimers *timers, int64_t index, KcTime now)
{
    struct KcTimerList detached;
    KcTimer *timer;

    detach_list(timers, index, &detached);
    while ((timer = LIST_FIRST(&detached)) != NULL) {
        KcTime due = timer->due_at;

        KcTimers_Clear(timers, timer);
        if (due <= now) {
            timer->on_due(timer, now);
        }
        else {
            KcTimers_Set(timers, timer, due);
        }
    }
}

void
KcTimers_Run(KcTimers *timers, KcTime now)
{
    int64_t until_tick = now / TICK_DURATION;

    /* After a long pause each list needs one visit, not one per tick. */
    if (until_tick - timers->last_tick > WHEEL_LIST_COUNT) {
        timers->last_tick = until_tick - WHEEL_LIST_COUNT;
    }
    while (timers->last_tick < until_tick) {
        int64_t index = ++timers->last_tick & (WHEEL_LIST_COUNT - 1);

        if ((timers->occupied[index / WORD_BITS] >> (index % WORD_BITS)) & 1) {
            run_list(timers, index, now);
        }
    }
}

KcTime
KcTimers_NextDue(const KcTimers *timers)
{
    for (int64_t i = 1; i <= WHEEL_LIST_COUNT; i++) {
        int64_t tick = timers->last_tick + i;
        int64_t index = tick & (WHEEL_LIST_COUNT - 1);
        uint64_t word = timers->occupied[index / WORD_BITS];

        if (index % WORD_BITS == 0 && word == 0) {
            i += WORD_BITS - 1; /* none of the word's lists has timers */
        }
        else if ((word >> (index % WORD_BITS)) & 1) {
            return tick * TICK_DURATION;
        }
    }
    return KC_NEVER;
}
