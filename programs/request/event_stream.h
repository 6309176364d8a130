/*
 * Splits a text/event-stream into complete events.
 */
#ifndef KCC_EVENT_STREAM_H
#define KCC_EVENT_STREAM_H

#include <kcc.h>

/* Largest incomplete event that is buffered; a longer one is an error. */
#define KC_STREAM_EVENT_BYTES_MAX (1024 * 1024)

typedef struct KcEventStream {
    KcBuffer buffer; /* received bytes not yet taken as events */
} KcEventStream;

/* One complete event, including the empty line that ends it. */
typedef struct KcStreamEvent {
    KcBytes bytes;
    bool has_id;
    uint64_t id;
} KcStreamEvent;

/* Appends received bytes. */
void KcEventStream_Append(KcEventStream *stream, KcBytes bytes);

/*
 * Takes the next complete event. Returns 1 with *event set, whose bytes are
 * valid until the next call; 0 when no event is complete; KC_ERR_TOO_LARGE
 * when an incomplete event exceeds KC_STREAM_EVENT_BYTES_MAX; KC_ERR_PARSE
 * when an id is not a number.
 */
int KcEventStream_TakeEvent(KcEventStream *stream, KcStreamEvent *event);

/* Returns the number of buffered bytes not taken as events. */
size_t KcEventStream_IncompleteBytes(const KcEventStream *stream);
void KcEventStream_Clear(KcEventStream *stream);

#endif
