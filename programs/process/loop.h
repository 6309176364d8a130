/*
 * The event loop of a process: one libevent base on one thread, and the
 * library's timers driven from it.
 */
#ifndef KCC_LOOP_H
#define KCC_LOOP_H

#include <event2/event.h>

#include <kcc.h>

/* Something to be taken down when no callback of it can be running. */
typedef struct KcRetired {
    TAILQ_ENTRY(KcRetired) link;
    void (*take_down)(struct KcRetired *retired);
} KcRetired;

TAILQ_HEAD(KcRetiredList, KcRetired);

typedef struct KcLoop {
    struct event_base *base;
    KcTimers *timers;
    struct event *wake;  /* due when the next timer is */
    int64_t wall_offset; /* wall clock minus monotonic clock */
    struct KcRetiredList retired;
    void (*after_round)(void); /* called after every round; may be NULL */
    bool stop_requested;
} KcLoop;

/* Creates the loop.  Returns NULL when libevent cannot start. */
KcLoop *KcLoop_Create(void);
void KcLoop_Free(KcLoop *loop);

/* Microseconds on the monotonic clock. */
KcTime KcLoop_Now(void);

/* Runs until KcLoop_Stop(). */
void KcLoop_Run(KcLoop *loop);
void KcLoop_Stop(KcLoop *loop);

/* Takes something down after the present round of the loop, at the latest
 * by KcLoop_Free(). */
void KcLoop_Retire(KcLoop *loop, KcRetired *retired);

/* Random bits for names that must not repeat, from the operating system. */
uint64_t KcLoop_Random(void);

/*
 * Splits "address:port".  Returns 0 or KC_ERR_PARSE.  host must hold
 * KC_ADDRESS_MAX bytes.
 */
int KcAddress_Parse(const char *text, char *host, uint16_t *port);

#endif
