/*
 * Blocking calls for the command line, each run on an event loop of its own
 * until it is answered.
 */
#ifndef KCC_CLIENT_H
#define KCC_CLIENT_H

#include "../process/loop.h"
#include "../request/http_call.h"

/* A whole answer; body is freed by KcHttpResponse_Clear(). */
typedef struct KcHttpResponse {
    int status; /* 0: no answer */
    char etag[64];
    KcBuffer body; /* ends with a NUL that is not counted */
} KcHttpResponse;

void KcHttpResponse_Clear(KcHttpResponse *answer);

/* Sends a request and waits for its answer. */
void KcBlockingHttp_Call(const KcHttpCallOptions *options,
                         KcHttpResponse *answer);

/* GET of a path. */
void KcBlockingHttp_Get(const char *address, const char *path,
                        KcHttpResponse *answer);

#endif
