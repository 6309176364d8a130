/*
 * kcc call: sends one request to an entry over HTTP and prints the answer.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../request/entry_front_end.h"
#include "blocking_http.h"
#include "command.h"

#define CALL_PROGRESS_TIMEOUT (120 * KC_SECOND)

/* State of the call; the body is printed as it arrives. */
typedef struct CallState {
    KcLoop *loop;
    int http_status;
    int error_code;
} CallState;

static void
on_head(void *context, const KcHttpResponseHead *head)
{
    ((CallState *)context)->http_status = head->status;
}

static void
on_data(void *context, KcBytes bytes)
{
    (void)context;
    fwrite(bytes.data, 1, bytes.size, stdout);
    fflush(stdout);
}

static void
on_done(void *context, int error_code, bool sent)
{
    CallState *call = context;

    (void)sent;
    call->error_code = error_code;
    KcLoop_Stop(call->loop);
}

static const KcHttpCallOps call_ops = {on_head, on_data, on_done, NULL, NULL};

static char *
make_model_request(const KcArguments *arguments, const char *text)
{
    json_t *body = json_pack("{s:s, s:s, s:b}", "model", arguments->model,
                             "prompt", text, "stream", (int)arguments->stream);
    char *encoded = json_dumps(body, JSON_COMPACT);

    json_decref(body);
    return encoded;
}

int
KcCommand_Call(const KcArguments *arguments)
{
    const char *text =
        arguments->operand_count > 0 ? arguments->operands[0] : "";
    CallState call = {.error_code = KC_ERR_PEER_LOST};
    char *body;
    KcHttpCallOptions options = {
        .address = arguments->entry_address,
        .method = "POST",
        .path = arguments->path != NULL ? arguments->path : "/v1/completions",
        .headers = {{"Content-Type", "application/json"},
                    {KC_HEADER_CUSTOMER, arguments->customer},
                    {KC_HEADER_PRIORITY, arguments->priority},
                    {KC_HEADER_IDEMPOTENCY_KEY, arguments->idempotency_key}},
        .progress_timeout = CALL_PROGRESS_TIMEOUT,
        .ops = &call_ops,
        .context = &call};

    if (arguments->entry_address == NULL ||
        (arguments->model == NULL) == (arguments->path == NULL)) {
        fprintf(stderr, "usage: kcc call --entry ADDRESS "
                        "(--model NAME | --path PATH) [TEXT]\n");
        return KC_EXIT_USAGE;
    }
    body = arguments->model != NULL ? make_model_request(arguments, text)
                                    : strdup(text);
    options.body = (KcBytes){body, strlen(body)};
    call.loop = KcLoop_Create();
    options.loop = call.loop;
    if (KcHttpCall_Start(&options) != NULL) {
        KcLoop_Run(call.loop);
    }
    KcLoop_Free(call.loop);
    free(body);
    printf("\n");
    if (call.error_code != 0) {
        fprintf(stderr, "kcc: the entry did not answer\n");
    }
    return call.error_code == 0 && call.http_status < 400 ? KC_EXIT_OK
                                                          : KC_EXIT_FAILED;
}
