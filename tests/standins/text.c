/*
 * Generates the text of the engine stand-in from model, prompt and position.
 */
#include "text.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

size_t
StandinText_WriteToken(const char *model, const char *prompt, uint32_t index,
                       char text[STANDIN_TOKEN_MAX])
{
    uint64_t hash = XXH3_64bits(prompt, strlen(prompt)) + index;

    return (size_t)snprintf(text, STANDIN_TOKEN_MAX, " %s/%04x", model,
                            (unsigned)(hash & 0xffff));
}

size_t
StandinText_Answer(const char *model, const char *prompt, uint32_t count,
                   char *text, size_t size)
{
    char token[STANDIN_TOKEN_MAX];
    size_t used = 0;

    for (uint32_t i = 0; i < count; i++) {
        size_t length = StandinText_WriteToken(model, prompt, i, token);

        if (used + length >= size) {
            break;
        }
        memcpy(text + used, token, length);
        used += length;
    }
    text[used] = '\0';
    return used;
}
