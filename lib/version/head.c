/*
 * Content hashes, and dividing the text of a section into parts.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "kcc_version.h"

/* Mean number of lines of a part beyond KC_PART_MIN. */
#define PART_LINES_MEAN 1024

void
KcHead_Hash(const void *data, size_t size, char text[KC_HASH_TEXT])
{
    XXH128_hash_t hash = XXH3_128bits(data, size);

    snprintf(text, KC_HASH_TEXT, "%016" PRIx64 "%016" PRIx64,
             (uint64_t)hash.high64, (uint64_t)hash.low64);
}

/* Size of the line that begins at text, including its newline. */
static size_t
line_size(const char *text, size_t size)
{
    const char *newline = memchr(text, '\n', size);

    return newline != NULL ? (size_t)(newline - text) + 1 : size;
}

/* Returns true if a part may end after this line; depends on the line only,
 * so that edits elsewhere don't move the end. */
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
        size_t line = line_size(text + length, size - length);

        if (length + line > KC_PART_MAX) {
            return length;
        }
        length += line;
        if (length >= KC_PART_MIN && ends_part(text + length - line, line)) {
            return length;
        }
    }
    return length;
}
