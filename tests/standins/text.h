/*
 * The text that the engine stand-in generates: a function of adapter,
 * version and prompt alone, so that any test can say what a whole answer is.
 */
#ifndef KCC_STANDIN_TEXT_H
#define KCC_STANDIN_TEXT_H

#include <stddef.h>
#include <stdint.h>

/* Longest token in bytes, with its NUL. */
#define STANDIN_TOKEN_MAX 128

/* Writes token number index of an answer; returns its length. */
size_t StandinText_Token(const char *model, const char *prompt, uint32_t index,
                         char text[STANDIN_TOKEN_MAX]);

/* Writes a whole answer of count tokens; returns its length. */
size_t StandinText_Answer(const char *model, const char *prompt,
                          uint32_t count, char *text, size_t size);

#endif
