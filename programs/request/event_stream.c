/*
 * Splits a text/event-stream into complete events.
 */
#include "event_stream.h"

#include <string.h>

void
KcEventStream_Append(KcEventStream *stream, KcBytes bytes)
{
    KcBuffer_Append(&stream->buffer, bytes.data, bytes.size);
}

/*
 * Returns the size of the first event with its empty line, or 0 when it is not
 * complete.
 */
static size_t
complete_event_size(const char *data, size_t size)
{
    size_t offset = 0;

    while (offset < size) {
        const char *end = memchr(data + offset, '\n', size - offset);
        size_t length;

        if (end == NULL) {
            return 0;
        }
        length = (size_t)(end - data) - offset;
        if (length == 0 || (length == 1 && data[offset] == '\r')) {
            return (size_t)(end - data) + 1;
        }
        offset = (size_t)(end - data) + 1;
    }
    return 0;
}

/* Parses the number of an "id:" line. Returns 0 or KC_ERR_PARSE. */
static int
parse_id(const char *text, size_t size, KcStreamEvent *event)
{
    uint64_t id = 0;

    while (size > 0 && *text == ' ') {
        text++;
        size--;
    }
    if (size > 0 && text[size - 1] == '\r') {
        size--;
    }
    if (size == 0 || size > 18) {
        return KC_ERR_PARSE;
    }
    for (size_t i = 0; i < size; i++) {
        if (text[i] < '0' || text[i] > '9') {
            return KC_ERR_PARSE;
        }
        id = id * 10 + (uint64_t)(text[i] - '0');
    }
    event->has_id = true;
    event->id = id;
    return 0;
}

static int
find_id(KcStreamEvent *event)
{
    const char *data = event->bytes.data;
    size_t size = event->bytes.size;
    size_t offset = 0;

    while (offset < size) {
        const char *end = memchr(data + offset, '\n', size - offset);
        size_t length = (size_t)(end - data) - offset;

        if (length >= 3 && memcmp(data + offset, "id:", 3) == 0) {
            return parse_id(data + offset + 3, length - 3, event);
        }
        offset += length + 1;
    }
    return 0;
}

int
KcEventStream_TakeEvent(KcEventStream *stream, KcStreamEvent *event)
{
    const char *data = KcBuffer_Data(&stream->buffer);
    size_t size = complete_event_size(data, KcBuffer_Size(&stream->buffer));
    int code;

    if (size == 0) {
        return KcBuffer_Size(&stream->buffer) > KC_STREAM_EVENT_BYTES_MAX
                   ? KC_ERR_TOO_LARGE
                   : 0;
    }
    *event = (KcStreamEvent){.bytes = {data, size}};
    code = find_id(event);
    /* Dropping leaves the bytes in memory until the next append. */
    KcBuffer_Drop(&stream->buffer, size);
    return code != 0 ? code : 1;
}

size_t
KcEventStream_IncompleteBytes(const KcEventStream *stream)
{
    return KcBuffer_Size(&stream->buffer);
}

void
KcEventStream_Clear(KcEventStream *stream)
{
    KcBuffer_Clear(&stream->buffer);
}
