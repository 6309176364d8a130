/*
 * Watches whether the peer of a connection takes its output. Slow progress is
 * progress; a peer that takes nothing for a time is given up, so that the
 * memory of its output is bounded.
 */
#ifndef KCC_OUTPUT_WATCH_H
#define KCC_OUTPUT_WATCH_H

#include <event2/bufferevent.h>

#include "../process/loop.h"

typedef struct KcOutputWatchOptions {
    KcLoop *loop;
    struct bufferevent *bev;
    KcTime stall_timeout; /* longest time in which no output is taken */
    /* The peer has taken nothing for this time. */
    void (*on_stalled)(void *owner);
    void *owner;
} KcOutputWatchOptions;

/* Part of a connection, which owns the bufferevent. */
typedef struct KcOutputWatch {
    KcOutputWatchOptions options;
    KcTimer timer;         /* next look; set while output may be untaken */
    size_t handed_over;    /* bytes passed to the kernel since the last look */
    uint64_t acknowledged; /* bytes at the last look */
    KcTime stalled_for;    /* time between looks without progress */
} KcOutputWatch;

/* Begins to watch a connected socket. */
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
