/*
 * Blocking HTTP calls: each call runs its own event loop until the response is
 * complete or the call has failed.
 */
#ifndef KCC_BLOCKING_HTTP_H
#define KCC_BLOCKING_HTTP_H

#include "../process/loop.h"
#include "../request/http_call.h"

/* A complete response; KcHttpResponse_Clear() frees the body. */
typedef struct KcHttpResponse {
    int status; /* HTTP status, 0 when there was no response */
    char etag[64];
    KcBuffer body; /* followed by a NUL that its size does not count */
} KcHttpResponse;

/* Frees the body and sets the status to 0. */
void KcHttpResponse_Clear(KcHttpResponse *response);

/*
 * Sends a request and waits for its response, which the caller clears.
 * options->loop is ignored; a progress_timeout of 0 means 10 seconds.
 */
void KcBlockingHttp_Call(const KcHttpCallOptions *options,
                         KcHttpResponse *response);

/* As KcBlockingHttp_Call(), for a GET without headers or body. */
void KcBlockingHttp_Get(const char *address, const char *path,
                        KcHttpResponse *response);

#endif
