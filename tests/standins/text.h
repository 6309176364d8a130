/*
 * The text that the engine stand-in generates.  It depends on adapter, version
 * and prompt only, so that a test can compute the whole answer to expect.
 */
#ifndef KCC_STANDIN_TEXT_H
#define KCC_STANDIN_TEXT_H

#include <stddef.h>
#include <stdint.h>

/* Size of a buffer for the text of a token, with its NUL. */
#define STANDIN_TOKEN_MAX 128

/* Writes token number index (from 0) of an answer.  Returns its length in
 * bytes. */
size_t StandinText_WriteToken(const char *model, const char *prompt,
                              uint32_t index, char text[STANDIN_TOKEN_MAX]);

/* Writes an answer of count tokens, fewer when the buffer is too small.
 * Returns its length in bytes. */
size_t StandinText_Answer(const char *model, const char *prompt,
                          uint32_t count, char *text, size_t size);

#endif
