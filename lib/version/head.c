/*
 * Content hashes, and dividing the text of a section into parts.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "kcc_version.h"

/* Mean number of lines of a part beyond KC_PART_BYTES_MIN. */
#define PART_LINES_MEAN 1024

void
KcHash_Compute(const void *data, size_t size, char text[KC_HASH_TEXT_SIZE])
{
    XXH128_hash_t hash = XXH3_128bits(data, size);

    snprintf(text, KC_HASH_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
             (uint64_t)hash.high64, (uint64_t)hash.low64);
}

/* Size of the line that begins at text, including its newline. */
static size_t
line_size(const char *text, size_t size)
{
    const char *newline = memchr(text, '\n', size);

    return newline != NULL ? (size_t)(newline - text) + 1 : size;
}

/* Returns true if a part may end after this line.  Depends on the line only,
 * so that edits of other lines don't move the end. */
static bool
ends_part(const char *line, size_t size)
{
    return XXH3_64bits(line, size) % PART_LINES_MEAN == 0;
}

size_t
KcHead_PartSize(const char *text, size_t size)
{
    size_t length = 0;

    while (length < size) {
        size_t line_bytes = line_size(text + length, size - length);

        if (length + line_bytes > KC_PART_BYTES_MAX) {
            return length;
        }
        length += line_bytes;
        if (length >= KC_PART_BYTES_MIN &&
            ends_part(text + length - line_bytes, line_bytes)) {
            return length;
        }
    }
    return length;
}
