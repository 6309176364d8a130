/*
 * Blocking calls for the command line.
 */
#include "client.h"

#include <string.h>

#define TIMEOUT (10 * KC_SECOND)

typedef struct Waiting {
    KcLoop *loop;
    KcHttpResponse *answer;
} Waiting;

void
KcHttpResponse_Clear(KcHttpResponse *answer)
{
    KcBuffer_Clear(&answer->body);
    answer->status = 0;
}

static void
on_answer(void *context, int status, const char *etag, KcBytes body)
{
    Waiting *waiting = context;

    waiting->answer->status = status;
    KcText_Copy(waiting->answer->etag, etag, sizeof(waiting->answer->etag));
    KcBuffer_Append(&waiting->answer->body, body.data, body.size);
    KcBuffer_Append(&waiting->answer->body, "", 1);
    waiting->answer->body.end--;
    KcLoop_Stop(waiting->loop);
}

void
KcBlockingHttp_Call(const KcHttpCallOptions *options, KcHttpResponse *answer)
{
    KcHttpCallOptions copy = *options;
    Waiting waiting = {KcLoop_Create(), answer};

    memset(answer, 0, sizeof(*answer));
    copy.loop = waiting.loop;
    if (copy.progress_timeout == 0) {
        copy.progress_timeout = TIMEOUT;
    }
    KcHttpCall_Fetch(&copy, on_answer, &waiting);
    KcLoop_Run(waiting.loop);
    KcLoop_Free(waiting.loop);
}

void
KcBlockingHttp_Get(const char *address, const char *path,
                   KcHttpResponse *answer)
{
    KcHttpCallOptions options = {
        .address = address, .method = "GET", .path = path};

    KcBlockingHttp_Call(&options, answer);
}
