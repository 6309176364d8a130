/*
 * Content hashes and the division of a section into parts.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "kcc_version.h"

void
KcHead_Hash(const void *data, size_t size, char text[KC_HASH_TEXT])
{
    XXH128_hash_t hash = XXH3_128bits(data, size);

    snprintf(text, KC_HASH_TEXT, "%016" PRIx64 "%016" PRIx64,
             (uint64_t)hash.high64, (uint64_t)hash.low64);
}

size_t
KcHead_PartSize(const char *text, size_t size)
{
    size_t length = KC_PART_MAX;

    if (size <= KC_PART_MAX) {
        return size;
    }
    while (length > 0 && text[length - 1] != '\n') {
        length--;
    }
    return length;
}
