/*
 * Notices that the peer of a connection has left while its input is not read,
 * as the buffer is full. An end of the stream behind unread bytes is otherwise
 * seen only when they are read.
 */
#ifndef KCC_LEAVE_WATCH_H
#define KCC_LEAVE_WATCH_H

#include <event2/bufferevent.h>

#include "../process/loop.h"

typedef struct KcLeaveWatchOptions {
    KcLoop *loop;
    struct bufferevent *bev;
    size_t input_bytes_max; /* bytes from which bev does not read on */
    /* The peer has ended the stream or reset the connection. */
    void (*on_left)(void *owner);
    void *owner;
} KcLeaveWatchOptions;

/* Part of a connection, which owns the bufferevent. */
typedef struct KcLeaveWatch {
    KcLeaveWatchOptions options;
    KcTimer timer; /* next look; set while the input may be full */
} KcLeaveWatch;

void KcLeaveWatch_Init(KcLeaveWatch *watch,
                       const KcLeaveWatchOptions *options);
/* Looks for as long as the input is full. To be called when it was read. */
void KcLeaveWatch_OnRead(KcLeaveWatch *watch);
/* Ends a watch; to be called before bev is freed, also for one never begun. */
void KcLeaveWatch_Clear(KcLeaveWatch *watch);

#endif
