/*
 * Blocking calls for the command line, each run on an event loop of its own
 * until it is answered.
 */
#ifndef KCC_CLIENT_H
#define KCC_CLIENT_H

#include "../process/loop.h"
#include "../request/http_call.h"

/* A whole answer; body is freed by KcAnswerText_Clear(). */
typedef struct KcAnswerText {
    int status; /* 0: no answer */
    char etag[64];
    KcBuffer body; /* ends with a NUL that is not counted */
} KcAnswerText;

void KcAnswerText_Clear(KcAnswerText *answer);

/* Sends a request and waits for its answer. */
void KcClient_Call(const KcHttpCallOptions *options, KcAnswerText *answer);

/* GET of a path. */
void KcClient_Get(const char *address, const char *path, KcAnswerText *answer);

#endif
