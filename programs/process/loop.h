/*
 * Event loop of a process: one libevent base on one thread, which also runs
 * the library's timers.
 */
#ifndef KCC_LOOP_H
#define KCC_LOOP_H

#include <event2/event.h>

#include <kcc.h>

/*
 * Member of an object that must not be freed within one of its own callbacks.
 * KcLoop_DeferFree() queues the object, and free_owner, which frees it, is
 * called outside all callbacks.
 */
typedef struct KcDeferredFree {
    TAILQ_ENTRY(KcDeferredFree) link;
    void (*free_owner)(struct KcDeferredFree *deferred);
} KcDeferredFree;

TAILQ_HEAD(KcDeferredFreeList, KcDeferredFree);

typedef struct KcLoop {
    struct event_base *base;
    KcTimers *timers;
    struct event *wake_timer; /* runs when the next of timers is due */
    int64_t wall_offset; /* wall clock minus monotonic clock, microseconds */
    struct KcDeferredFreeList deferred_frees;
    void (*on_iteration_end)(void); /* may be NULL */
    bool stop_requested;
} KcLoop;

/*
 * Creates a loop, to be freed with KcLoop_Free(). Returns NULL when libevent
 * cannot create its base.
 */
KcLoop *KcLoop_Create(void);
void KcLoop_Free(KcLoop *loop);

/* Monotonic clock, in microseconds, that also counts while the machine is
 * suspended: what lapses meanwhile has lapsed when it resumes. */
KcTime KcLoop_Now(void);

/* Runs the loop until KcLoop_Stop() is called. */
void KcLoop_Run(KcLoop *loop);
void KcLoop_Stop(KcLoop *loop);

/*
 * Calls deferred->free_owner at the end of the current loop iteration, at the
 * latest in KcLoop_Free().
 */
void KcLoop_DeferFree(KcLoop *loop, KcDeferredFree *deferred);

/*
 * Returns 64 random bits from the operating system, for names that must not
 * repeat. Aborts when there are none.
 */
uint64_t KcLoop_GetRandomBits(void);

/*
 * Splits "address:port" into host, a buffer of KC_ADDRESS_MAX bytes, and port.
 * Returns 0 or KC_ERR_PARSE.
 */
int KcAddress_Parse(const char *text, char *host, uint16_t *port);

#endif
