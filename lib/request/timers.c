/*
 * A timer wheel of intrusive lists.
 *
 * Each list holds the timers of one tick, modulo the size of the wheel; a
 * timer further away stays in its list until its own time has come.  A bit
 * per list lets the next wake-up be found without looking at any timer.
 */
#include <assert.h>
#include <stdlib.h>

#include "kcc_request.h"

#define TICK (1 * KC_MS)
#define LIST_COUNT 2048
#define WORD_BITS 64
#define WORD_COUNT (LIST_COUNT / WORD_BITS)

LIST_HEAD(KcTimerList, KcTimer);

struct KcTimers {
    int64_t tick; /* every list up to this tick has been run */
    struct KcTimerList lists[LIST_COUNT];
    uint64_t used[WORD_COUNT]; /* bit set: the list may hold timers */
};

KcTimers *
KcTimers_Create(KcTime now)
{
    KcTimers *timers = KcMem_New(sizeof(*timers));

    timers->tick = now / TICK;
    return timers;
}

void
KcTimers_Free(KcTimers *timers)
{
    free(timers);
}

void
KcTimer_Init(KcTimer *timer, void (*fire)(KcTimer *, KcTime), void *owner)
{
    timer->is_set = false;
    timer->on_due = fire;
    timer->owner = owner;
}

void
KcTimers_Set(KcTimers *timers, KcTimer *timer, KcTime due)
{
    int64_t tick;
    int64_t index;

    KcTimers_Clear(timers, timer);
    if (due == KC_NEVER) {
        return;
    }
    /* Rounded up, so that a timer is never run before it is due. */
    tick = (due + TICK - 1) / TICK;
    if (tick <= timers->tick) {
        tick = timers->tick + 1;
    }
    index = tick & (LIST_COUNT - 1);
    timer->due_at = due;
    timer->is_set = true;
    LIST_INSERT_HEAD(&timers->lists[index], timer, link);
    timers->used[index / WORD_BITS] |= 1ULL << (index % WORD_BITS);
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

/* Takes the timers of one list out, so that firing may change the list. */
static void
take_list(KcTimers *timers, int64_t index, struct KcTimerList *taken)
{
    KcTimer *timer;

    LIST_INIT(taken);
    while ((timer = LIST_FIRST(&timers->lists[index])) != NULL) {
        LIST_REMOVE(timer, link);
        LIST_INSERT_HEAD(taken, timer, link);
    }
    timers->used[index / WORD_BITS] &= ~(1ULL << (index % WORD_BITS));
}

/* Fires the due timers of one list and puts the others back. */
static void
run_list(KcTimers *timers, int64_t index, KcTime now)
{
    struct KcTimerList taken;
    KcTimer *timer;

    take_list(timers, index, &taken);
    while ((timer = LIST_FIRST(&taken)) != NULL) {
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
    int64_t last = now / TICK;

    /* After a long pause each list needs one visit, not one per tick. */
    if (last - timers->tick > LIST_COUNT) {
        timers->tick = last - LIST_COUNT;
    }
    while (timers->tick < last) {
        int64_t index = ++timers->tick & (LIST_COUNT - 1);

        if ((timers->used[index / WORD_BITS] >> (index % WORD_BITS)) & 1) {
            run_list(timers, index, now);
        }
    }
}

KcTime
KcTimers_NextDue(const KcTimers *timers)
{
    for (int64_t i = 1; i <= LIST_COUNT; i++) {
        int64_t tick = timers->tick + i;
        int64_t index = tick & (LIST_COUNT - 1);
        uint64_t word = timers->used[index / WORD_BITS];

        if (index % WORD_BITS == 0 && word == 0) {
            i += WORD_BITS - 1;
        }
        else if ((word >> (index % WORD_BITS)) & 1) {
            return tick * TICK;
        }
    }
    return KC_NEVER;
}
