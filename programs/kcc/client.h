/*
 * Blocking HTTP calls: each call runs its own event loop until the response is
 * complete or the call has failed.
 */
#ifndef KCC_CLIENT_H
#define KCC_CLIENT_H

#include "../process/loop.h"
#include "../request/http_call.h"

/* A complete response; KcAnswerText_Clear() frees the body. */
typedef struct KcAnswerText {
    int status; /* HTTP status, 0 when there was no response */
    char etag[64];
    KcBuffer body; /* followed by a NUL that its size does not count */
} KcAnswerText;

/* Frees the body and sets the status to 0. */
void KcAnswerText_Clear(KcAnswerText *response);

/*
 * Sends a request and waits for its response, which the caller clears.
 * options->loop is ignored; a progress_timeout of 0 means 10 seconds.
 */
void KcClient_Call(const KcHttpCallOptions *options, KcAnswerText *response);

/* As KcClient_Call(), for a GET without headers or body. */
void KcClient_Get(const char *address, const char *path,
                  KcAnswerText *response);

#endif
