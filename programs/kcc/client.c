/*
 * Blocking HTTP calls, each on an event loop of its own.
 */
#include "client.h"

#include <string.h>

#define DEFAULT_PROGRESS_TIMEOUT (10 * KC_SECOND)

typedef struct PendingCall {
    KcLoop *loop;
    KcAnswerText *response;
} PendingCall;

void
KcAnswerText_Clear(KcAnswerText *response)
{
    KcBuffer_Clear(&response->body);
    response->status = 0;
}

static void
on_response(void *context, int status, const char *etag, KcBytes body)
{
    PendingCall *pending = context;

    pending->response->status = status;
    KcText_Copy(pending->response->etag, etag,
                sizeof(pending->response->etag));
    KcBuffer_Append(&pending->response->body, body.data, body.size);
    KcBuffer_Append(&pending->response->body, "", 1);
    pending->response->body.end--;
    KcLoop_Stop(pending->loop);
}

void
KcClient_Call(const KcHttpCallOptions *options, KcAnswerText *response)
{
    KcHttpCallOptions copy = *options;
    PendingCall pending = {KcLoop_Create(), response};

    memset(response, 0, sizeof(*response));
    copy.loop = pending.loop;
    if (copy.progress_timeout == 0) {
        copy.progress_timeout = DEFAULT_PROGRESS_TIMEOUT;
    }
    KcHttpCall_Fetch(&copy, on_response, &pending);
    KcLoop_Run(pending.loop);
    KcLoop_Free(pending.loop);
}

void
KcClient_Get(const char *address, const char *path, KcAnswerText *response)
{
    KcHttpCallOptions options = {
        .address = address, .method = "GET", .path = path};

    KcClient_Call(&options, response);
}
