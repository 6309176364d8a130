/*
 * Counts the elements of a frame before it is decoded: the decoder reserves
 * memory for as many as an array or a map claims to have.
 */
#include "message_table_internal.h"

/* More than the fields of any message, also of later versions. */
#define ELEMENTS_MAX 256

/* Elements of msgpack by their first byte.  An element has fixed_bytes behind
 * it, then a length, which is in the bits of mask or in length_bytes more; of
 * that length are as many bytes, or items elements for each. */
static const struct {
    unsigned char first;
    unsigned char last;
    unsigned char mask;
    unsigned char length_bytes;
    unsigned char fixed_bytes;
    unsigned char items; /* 0: the length is one of bytes */
} elements[] = {
    {0x00, 0x7f, 0, 0, 0, 0},    /* small number */
    {0x80, 0x8f, 0x0f, 0, 0, 2}, /* map */
    {0x90, 0x9f, 0x0f, 0, 0, 1}, /* array */
    {0xa0, 0xbf, 0x1f, 0, 0, 0}, /* text */
    {0xc0, 0xc3, 0, 0, 0, 0},    /* nil, false, true */
    {0xc4, 0xc4, 0, 1, 0, 0},    /* bytes */
    {0xc5, 0xc5, 0, 2, 0, 0},    {0xc6, 0xc6, 0, 4, 0, 0},
    {0xc7, 0xc7, 0, 1, 1, 0}, /* bytes of a type */
    {0xc8, 0xc8, 0, 2, 1, 0},    {0xc9, 0xc9, 0, 4, 1, 0},
    {0xca, 0xca, 0, 0, 4, 0}, /* numbers */
    {0xcb, 0xcb, 0, 0, 8, 0},    {0xcc, 0xcc, 0, 0, 1, 0},
    {0xcd, 0xcd, 0, 0, 2, 0},    {0xce, 0xce, 0, 0, 4, 0},
    {0xcf, 0xcf, 0, 0, 8, 0},    {0xd0, 0xd0, 0, 0, 1, 0},
    {0xd1, 0xd1, 0, 0, 2, 0},    {0xd2, 0xd2, 0, 0, 4, 0},
    {0xd3, 0xd3, 0, 0, 8, 0},    {0xd4, 0xd4, 0, 0, 2, 0}, /* of a type */
    {0xd5, 0xd5, 0, 0, 3, 0},    {0xd6, 0xd6, 0, 0, 5, 0},
    {0xd7, 0xd7, 0, 0, 9, 0},    {0xd8, 0xd8, 0, 0, 17, 0},
    {0xd9, 0xd9, 0, 1, 0, 0}, /* text */
    {0xda, 0xda, 0, 2, 0, 0},    {0xdb, 0xdb, 0, 4, 0, 0},
    {0xdc, 0xdc, 0, 2, 0, 1},                              /* array */
    {0xdd, 0xdd, 0, 4, 0, 1},    {0xde, 0xde, 0, 2, 0, 2}, /* map */
    {0xdf, 0xdf, 0, 4, 0, 2},    {0xe0, 0xff, 0, 0, 0, 0}, /* small number */
};

/* Returns the place of an element in the table, by its first byte; the number
 * of places: there is no such element. */
static size_t
find_element(unsigned char byte)
{
    size_t place = 0;

    while (place < sizeof(elements) / sizeof(elements[0]) &&
           (byte < elements[place].first || byte > elements[place].last)) {
        place++;
    }
    return place;
}

bool
KcFrame_HasFewElements(const unsigned char *frame, size_t size)
{
    uint64_t expected = 1; /* elements */
    uint64_t count = 0;

    while (expected > 0) {
        size_t place = size > 0 ? find_element(frame[0]) : SIZE_MAX;
        uint64_t length;
        uint64_t skipped;

        if (place >= sizeof(elements) / sizeof(elements[0]) ||
            size - 1 < elements[place].length_bytes) {
            return false;
        }
        length = frame[0] & elements[place].mask;
        for (size_t i = 1; i <= elements[place].length_bytes; i++) {
            length = length << 8 | frame[i];
        }
        skipped = 1u + elements[place].length_bytes +
                  elements[place].fixed_bytes +
                  (elements[place].items == 0 ? length : 0);
        expected += length * elements[place].items - 1;
        if (skipped > size || ++count + expected > ELEMENTS_MAX) {
            return false;
        }
        frame += skipped;
        size -= skipped;
    }
    return size == 0;
}
