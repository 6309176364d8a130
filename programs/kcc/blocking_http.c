/*
 * Blocking HTTP calls, each on an event loop of its own.
 */
#include "blocking_http.h"

#include <string.h>

#define DEFAULT_PROGRESS_TIMEOUT (10 * KC_SECOND)

typedef struct PendingCall {
    KcLoop *loop;
    KcHttpResponse *response;
} PendingCall;

void
KcHttpResponse_Clear(KcHttpResponse *response)
{
    KcBuffer_Clear(&response->body);
    response->status = 0;
}

static void
on_response(void *context, int status, const char *etag, KcBytes body)
{
    PendingCall *pending = context;

    pending->response->status = status > 0 ? status : 0;
    KcText_Copy(pending->response->etag, etag,
                sizeof(pending->response->etag));
    KcBuffer_Append(&pending->response->body, body.data, body.size);
    /* The terminating NUL is not counted in the size. */
    KcBuffer_Append(&pending->response->body, "", 1);
    pending->response->body.end--;
    KcLoop_Stop(pending->loop);
}

void
KcBlockingHttp_Call(const KcHttpCallOptions *options, KcHttpResponse *response)
{
    KcHttpCallOptions call_options = *options;
    PendingCall pending = {KcLoop_Create(), response};

    memset(response, 0, sizeof(*response));
    call_options.loop = pending.loop;
    if (call_options.progress_timeout == 0) {
        call_options.progress_timeout = DEFAULT_PROGRESS_TIMEOUT;
    }
    KcHttpCall_Fetch(&call_options, on_response, &pending);
    KcLoop_Run(pending.loop);
    KcLoop_Free(pending.loop);
}

void
KcBlockingHttp_Get(const char *address, const char *path,
                   KcHttpResponse *response)
{
    KcHttpCallOptions options = {
        .address = address, .method = "GET", .path = path};

    KcBlockingHttp_Call(&options, response);
}
