/*
 * Watches whether the peer of a connection takes its output. Slow progress is
 * progress; a peer that takes nothing for a time is given up, so that the
 * memory of its output is bounded, and one that does not respond sooner. A
 * peer that reads nothing still responds: its kernel does.
 */
#ifndef KCC_OUTPUT_WATCH_H
#define KCC_OUTPUT_WATCH_H

#include <event2/bufferevent.h>

#include "../process/loop.h"

typedef struct KcOutputWatchOptions {
    KcLoop *loop;
    struct bufferevent *bev;
    KcTime silence_timeout; /* longest time in which the peer's kernel does not
                               respond to what it was sent */
    KcTime stall_timeout;   /* longest time in which no output is taken */
    /* One of these times has passed. */
    void (*on_lost)(void *owner);
    void *owner;
} KcOutputWatchOptions;

/* Part of a connection, which owns the bufferevent. */
typedef struct KcOutputWatch {
    KcOutputWatchOptions options;
    KcTimer timer;         /* next look; set while output may be untaken */
    size_t handed_over;    /* bytes passed to the kernel since the last look */
    uint64_t acknowledged; /* bytes at the last look */
    KcTime stalled_for;    /* time between looks without progress */
    KcTime silent_for;     /* time between looks without a response */
} KcOutputWatch;

/*
 * Begins to watch a connected socket. Takes over from TCP_USER_TIMEOUT, which
 * also ends the connection of a peer that only does not read, unless the
 * kernel does not tell what the peer responds to.
 */
void KcOutputWatch_Begin(KcOutputWatch *watch,
                         const KcOutputWatchOptions *options);
/*
 * Returns whether the peer has acknowledged all output, as far as the kernel
 * tells.
 */
bool KcOutputWatch_IsTaken(const KcOutputWatch *watch);
/* Ends a watch that may have begun; to be called before bev is freed. */
void KcOutputWatch_Clear(KcOutputWatch *watch);

#endif
