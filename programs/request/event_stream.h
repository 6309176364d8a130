/*
 * Cuts a text/event-stream into whole events.
 */
#ifndef KCC_EVENT_STREAM_H
#define KCC_EVENT_STREAM_H

#include <kcc.h>

/* Longest event in bytes; a longer one is an error. */
#define KC_STREAM_EVENT_BYTES_MAX (1024 * 1024)

typedef struct KcEventStream {
    KcBuffer buffer; /* the beginning of an event */
} KcEventStream;

/* One whole event with the blank line that ends it. */
typedef struct KcStreamEvent {
    KcBytes bytes;
    bool has_id;
    uint64_t id;
} KcStreamEvent;

/* Adds bytes as they were received. */
void KcEventStream_Append(KcEventStream *stream, KcBytes bytes);

/*
 * Takes the next whole event.  Returns 1 with *event set, valid until the
 * next call; 0 when none is whole; KC_ERR_TOO_LARGE for an event without
 * end; KC_ERR_PARSE for an id that is no number.
 */
int KcEventStream_TakeEvent(KcEventStream *stream, KcStreamEvent *event);

/* Bytes of an event that is not whole. */
size_t KcEventStream_IncompleteBytes(const KcEventStream *stream);
void KcEventStream_Clear(KcEventStream *stream);

#endif
