/*
 * Closes a connection in stages, as RFC 9112, 9.6, asks: sends the output,
 * shuts down the sending side, reads and drops until the peer closes, closes.
 * A connection that is closed while its peer still sends would be reset, and
 * the peer could lose an answer that it has not read.
 */
#ifndef KCC_LINGERING_CLOSE_H
#define KCC_LINGERING_CLOSE_H

#include <event2/bufferevent.h>

#include "../process/loop.h"

/* Bytes that are dropped at most; a peer that sends more is reset. */
#define KC_LINGERING_BYTES_MAX ((size_t)8 * 1024 * 1024)
/* Longest time from the end of the output until the connection is closed. */
#define KC_LINGERING_TIMEOUT (2 * KC_SECOND)

/* Part of a connection, which owns the bufferevent. */
typedef struct KcLingeringClose {
    KcLoop *loop;
    struct bufferevent *bev;
    /* The connection is to be closed now. */
    void (*on_end)(void *owner);
    void *owner;
    KcTimer timer; /* runs once the output is sent */
    size_t dropped_bytes;
} KcLingeringClose;

/*
 * Takes over the callbacks of bev. on_end is called from the loop, not before
 * this function returns; the owner then frees bev.
 */
void KcLingeringClose_Begin(KcLingeringClose *closing, KcLoop *loop,
                            struct bufferevent *bev,
                            void (*on_end)(void *owner), void *owner);
/*
 * Drops input that is buffered, for an owner that was reading it when the
 * close began.
 */
void KcLingeringClose_DropInput(KcLingeringClose *closing);
/* Ends a close that may have begun; to be called before bev is freed. */
void KcLingeringClose_Clear(KcLingeringClose *closing);

#endif
