/*
 * A growing queue of bytes.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_request.h"

#define CAPACITY_BYTES_MIN 256

/* Makes room for size more bytes: moves the bytes to the front, and grows the
 * buffer when that is not enough. */
static void
make_room(KcBuffer *buffer, size_t size)
{
    size_t used = KcBuffer_Size(buffer);

    if (buffer->start > 0) {
        memmove(buffer->data, buffer->data + buffer->start, used);
        buffer->start = 0;
        buffer->end = used;
    }
    if (buffer->capacity - used < size) {
        size_t capacity = buffer->capacity * 2;

        if (capacity < used + size) {
            capacity = used + size;
        }
        if (capacity < CAPACITY_BYTES_MIN) {
            capacity = CAPACITY_BYTES_MIN;
        }
        buffer->data = KcMem_Realloc(buffer->data, capacity);
        buffer->capacity = capacity;
    }
}

void
KcBuffer_Reserve(KcBuffer *buffer, size_t size)
{
    if (buffer->capacity - buffer->end < size) {
        make_room(buffer, size);
    }
}

void
KcBuffer_Append(KcBuffer *buffer, const void *data, size_t size)
{
    if (size == 0) {
        return;
    }
    KcBuffer_Reserve(buffer, size);
    memcpy(buffer->data + buffer->end, data, size);
    buffer->end += size;
}

void
KcBuffer_DropFront(KcBuffer *buffer, size_t size)
{
    assert(size <= KcBuffer_Size(buffer));
    buffer->start += size;
    if (buffer->start == buffer->end) {
        buffer->start = 0;
        buffer->end = 0;
    }
}

void
KcBuffer_Clear(KcBuffer *buffer)
{
    free(buffer->data);
    memset(buffer, 0, sizeof(*buffer));
}
