/*
 * Bytes without end that a server in trouble sends as an answer.
 */
#include "endless.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define TEXT_16 "0123456789abcdef"
#define TEXT_128                                                              \
    TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16
#define OK "HTTP/1.1 200 -\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define STREAM                                                                \
    OK "Content-Type: text/event-stream\r\nTransfer-Encoding: "               \
       "chunked\r\n\r\n"
#define ID "Attempt-Id: "
#define LATE OK ID "an-earlier-request\r\n"
#define CHUNK_128 "80\r\n" TEXT_128 "\r\n"

static const EndlessPattern patterns[] = {
    {"head", OK "A: ", TEXT_128, 8, 0},
    {"reason", "HTTP/1.1 200 ", TEXT_128, 8, 0},
    {"nothing", "", "", 0, 0},
    {"blank lines", "", "\r\n", 512, 0},
    {"fields", OK, "A: b\r\n", 64, 0},
    {"interim", "", "HTTP/1.1 102 -\r\n\r\n", 64, 0},
    {"interim with fields", "", "HTTP/1.1 102 -\r\nA: " TEXT_128 "\r\n\r\n", 8,
     0},
    {"length", OK "Content-Length: 1000000000000\r\n\r\n", TEXT_128, 64, 0},
    {"none", OK "\r\n", TEXT_128, 64, 0},
    {"chunks", CHUNKED, CHUNK_128, 64, 0},
    {"one chunk", CHUNKED "ffffffffff\r\n", TEXT_128, 64, 0},
    {"extension", CHUNKED "1;a=", TEXT_128, 8, 0},
    {"extensions", CHUNKED, "1;a=" TEXT_128 "\r\nx\r\n", 16, 0},
    {"trailer", CHUNKED "0\r\nA: ", TEXT_128, 8, 0},
    {"trailers", CHUNKED "0\r\n", "A: b\r\n", 64, 0},
    {"slow length", OK "Content-Length: 90000\r\n\r\n", "x", 1, 20 * KC_MS},
    {"slow head", OK "A: ", "x", 1, 20 * KC_MS},
    {"late answer", LATE "Transfer-Encoding: chunked\r\n\r\n", CHUNK_128, 64,
     0},
    {"late length", LATE "Content-Length: 1000000000000\r\n\r\n", TEXT_128, 64,
     0},
    {"late answers", "", LATE "Content-Length: 2\r\n\r\nok", 16, 0},
    {"event", STREAM, CHUNK_128, 64, 0},
    {"comments", STREAM, "3\r\n:\n\n\r\n", 64, 0},
    {"events", STREAM, "1a\r\nid: %\ndata: 0123456\n\n\r\n", 16, 0},
};

#define PATTERN_COUNT (sizeof(patterns) / sizeof(patterns[0]))

const EndlessPattern *
Endless_Pattern(size_t number)
{
    return &patterns[number - 1];
}

size_t
Endless_PatternCount(void)
{
    return PATTERN_COUNT;
}

size_t
Endless_FindPattern(const char *name)
{
    for (size_t i = 0; i < PATTERN_COUNT; i++) {
        if (strcmp(patterns[i].name, name) == 0) {
            return i + 1;
        }
    }
    return 0;
}

void
Endless_AppendStart(const EndlessPattern *pattern, const char *request_id,
                    KcBuffer *out)
{
    const char *rest = pattern->start;

    if (request_id[0] != '\0' && strncmp(rest, OK, strlen(OK)) == 0 &&
        strncmp(rest, LATE, strlen(LATE)) != 0) {
        KcBuffer_Append(out, OK ID, strlen(OK ID));
        KcBuffer_Append(out, request_id, strlen(request_id));
        KcBuffer_Append(out, "\r\n", 2);
        rest += strlen(OK);
    }
    KcBuffer_Append(out, rest, strlen(rest));
}

void
Endless_AppendFiller(const EndlessPattern *pattern, uint64_t *counter,
                     KcBuffer *out)
{
    const char *number = strchr(pattern->filler, '%');
    /* As many digits as fill the chunk of the pattern "events". */
    char digits[16];

    for (size_t i = 0; i < pattern->filler_count; i++) {
        if (number == NULL) {
            KcBuffer_Append(out, pattern->filler, strlen(pattern->filler));
            continue;
        }
        snprintf(digits, sizeof(digits), "%06" PRIu64, (*counter)++ % 1000000);
        KcBuffer_Append(out, pattern->filler,
                        (size_t)(number - pattern->filler));
        KcBuffer_Append(out, digits, strlen(digits));
        KcBuffer_Append(out, number + 1, strlen(number + 1));
    }
}
