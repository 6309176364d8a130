/*
 * kcc call: one request to an entry, as any caller could send it.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../request/entry_front_end.h"
#include "client.h"
#include "command.h"

#define CALL_TIMEOUT (120 * KC_SECOND)

/* The answer as it arrives. */
typedef struct Printing {
    KcLoop *loop;
    int status;
    int code;
} Printing;

static void
on_head(void *context, const KcHttpResponseHead *head)
{
    ((Printing *)context)->status = head->status;
}

static void
on_data(void *context, KcBytes bytes)
{
    (void)context;
    fwrite(bytes.data, 1, bytes.size, stdout);
    fflush(stdout);
}

static void
on_done(void *context, int code, bool sent)
{
    Printing *printing = context;

    (void)sent;
    printing->code = code;
    KcLoop_Stop(printing->loop);
}

static const KcHttpCallOps ops = {on_head, on_data, on_done, NULL};

static char *
model_body(const KcArguments *arguments, const char *text)
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
    const char *text = arguments->word_count > 0 ? arguments->words[0] : "";
    Printing printing = {.code = KC_ERR_PEER_LOST};
    char *body;
    KcHttpCallOptions options = {
        .address = arguments->entry,
        .method = "POST",
        .path = arguments->path != NULL ? arguments->path : "/v1/completions",
        .headers = {{"Content-Type", "application/json"},
                    {KC_HEADER_CUSTOMER, arguments->customer},
                    {KC_HEADER_PRIORITY, arguments->priority},
                    {KC_HEADER_IDEMPOTENCY_KEY, arguments->key}},
        .progress_timeout = CALL_TIMEOUT,
        .ops = &ops,
        .context = &printing};

    if (arguments->entry == NULL ||
        (arguments->model == NULL) == (arguments->path == NULL)) {
        fprintf(stderr, "usage: kcc call --entry ADDRESS "
                        "(--model NAME | --path PATH) [TEXT]\n");
        return KC_EXIT_USAGE;
    }
    body =
        arguments->model != NULL ? model_body(arguments, text) : strdup(text);
    options.body = (KcBytes){body, strlen(body)};
    printing.loop = KcLoop_Create();
    options.loop = printing.loop;
    if (KcHttpCall_Start(&options) != NULL) {
        KcLoop_Run(printing.loop);
    }
    KcLoop_Free(printing.loop);
    free(body);
    printf("\n");
    if (printing.code != 0) {
        fprintf(stderr, "kcc: the entry did not answer\n");
    }
    return printing.code == 0 && printing.status < 400 ? KC_EXIT_OK
                                                       : KC_EXIT_FAILED;
}
