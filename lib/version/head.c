/*
 * Content hashes and the division of a section into parts.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "kcc_version.h"

/* Lines of a part on average, beyond KC_PART_BYTES_MIN. */
#define PART_LINES 1024

void
KcHash_Compute(const void *data, size_t size, char text[KC_HASH_TEXT_SIZE])
{
    XXH128_hash_t hash = XXH3_128bits(data, size);

    snprintf(text, KC_HASH_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
             (uint64_t)hash.high64, (uint64_t)hash.low64);
}

/* Size of the line that begins at text, with its end. */
static size_t
line_size(const char *text, size_t size)
{
    const char *newline = memchr(text, '\n', size);

    return newline != NULL ? (size_t)(newline - text) + 1 : size;
}

/* Does a part end with this line?  Only the line itself decides. */
static bool
ends_part(const char *line, size_t size)
{
    return XXH3_64bits(line, size) % PART_LINES == 0;
}

size_t
KcHead_PartSize(const char *text, size_t size)
{
    size_t length = 0;

    while (length < size) {
        size_t line = line_size(text + length, size - length);

        if (length + line > KC_PART_BYTES_MAX) {
            return length;
        }
        length += line;
        if (length >= KC_PART_BYTES_MIN &&
            ends_part(text + length - line, line)) {
            return length;
        }
    }
    return length;
}
