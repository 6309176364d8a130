/*
 * A call to a plain service. Method, path, content type and body of the
 * request are passed on unchanged, and so are status, content type and body of
 * the answer; other headers are not.
 */
#include <string.h>

#include "backend_call_internal.h"

/* Largest answer of a plain service; the entry collects it. */
#define ANSWER_BYTES_MAX ((size_t)16 * 1024 * 1024)

static void
on_head(void *context, const KcHttpResponseHead *head)
{
    KcBackendCall *call = context;

    call->http_status = head->status;
    KcAgent_OnWorkStarted(call->client->agent, call->work, "",
                          (uint32_t)head->status, head->content_type,
                          KcLoop_Now());
}

static void
on_data(void *context, KcBytes bytes)
{
    KcBackendCall *call = context;

    if (call->work->answer_started) {
        KcAgent_OnWorkData(call->client->agent, call->work, bytes, 0,
                           KcLoop_Now());
    }
}

static void
on_done(void *context, int code, bool sent)
{
    KcBackendCall *call = context;

    if (code == 0 && call->http_status == 0) {
        /* Without its head an answer is not an answer. */
        code = KC_ERR_PEER_LOST;
    }
    call->http_call = NULL;
    KcBackendCall_End(call, code, sent, "");
}

static const KcHttpCallOps service_call_ops = {on_head, on_data, on_done, NULL,
                                               NULL};

void
KcServiceCall_Start(KcBackendHttpClient *client, KcWork *work)
{
    KcBackendCall *call = KcBackendCall_Create(client, work);
    char id[KC_REQUEST_ID_TEXT_SIZE];
    KcHttpCallOptions options = {
        .loop = client->loop,
        .address = client->settings->backend_address,
        .method = work->method,
        .path = work->path,
        .headers = {{"Content-Type", work->content_type},
                    {"X-Kcc-Request-Id", id},
                    {"X-Kcc-Customer", work->share->customer}},
        .body = {KcBuffer_Data(&work->body), KcBuffer_Size(&work->body)},
        .progress_timeout =
            client->settings->backend_silence_timeout_ms * KC_MS,
        .limits = {.body_bytes_max = ANSWER_BYTES_MAX,
                   .timeout =
                       client->settings->backend_answer_timeout_ms * KC_MS},
        .ops = &service_call_ops,
        .context = call};

    KcRequestId_Format(&work->key.request, id);
    call->http_call = KcHttpCall_Start(&options);
}
