/*
 * Writes answers and errors as JSON.
 */
#include "answer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/*
 * Appends text as a JSON string; an empty string when it is not valid UTF-8.
 */
static void
add_json_string(struct evbuffer *out, const char *text, size_t size)
{
    json_t *string = json_stringn(text, size);
    char *encoded = NULL;

    if (string != NULL) {
        encoded = json_dumps(string, JSON_ENCODE_ANY);
        json_decref(string);
    }
    if (encoded != NULL) {
        evbuffer_add(out, encoded, strlen(encoded));
        free(encoded);
    }
    else {
        evbuffer_add(out, "\"\"", 2);
    }
}

static void
add_answer_start(struct evbuffer *out, const KcAnswerInfo *info,
                 const char *id_prefix, const char *object)
{
    evbuffer_add_printf(out,
                        "{\"id\":\"%s-%s\",\"object\":\"%s\","
                        "\"created\":%" PRId64 ",\"model\":\"%s\","
                        "\"choices\":[{\"index\":0,",
                        id_prefix, info->request_id, object,
                        info->created_at_s, info->model);
}

static void
add_finish_reason(struct evbuffer *out, const char *finish_reason)
{
    evbuffer_add_printf(out, ",\"finish_reason\":");
    add_json_string(out, finish_reason, strlen(finish_reason));
    evbuffer_add_printf(out, "}]");
}

static void
add_usage(struct evbuffer *out, const KcResult *result)
{
    evbuffer_add_printf(out, ",\"usage\":{\"completion_tokens\":%" PRIu64 "}}",
                        result->tokens);
}

/* ---- /v1/completions ---------------------------------------------------- */

static void
write_completion(const KcAnswerInfo *info, KcBytes text,
                 const KcResult *result, struct evbuffer *out)
{
    add_answer_start(out, info, "cmpl", "text_completion");
    evbuffer_add_printf(out, "\"text\":");
    add_json_string(out, text.data, text.size);
    add_finish_reason(out, result->finish_reason);
    add_usage(out, result);
}

static void
write_completion_chunk(const KcAnswerInfo *info, KcBytes text,
                       struct evbuffer *out)
{
    evbuffer_add_printf(out, "data: ");
    add_answer_start(out, info, "cmpl", "text_completion");
    evbuffer_add_printf(out, "\"text\":");
    add_json_string(out, text.data, text.size);
    evbuffer_add_printf(out, ",\"finish_reason\":null}]}\n\n");
}

static void
write_completion_end(const KcAnswerInfo *info, const KcResult *result,
                     struct evbuffer *out)
{
    evbuffer_add_printf(out, "data: ");
    add_answer_start(out, info, "cmpl", "text_completion");
    evbuffer_add_printf(out, "\"text\":\"\"");
    add_finish_reason(out, result->finish_reason);
    evbuffer_add_printf(out, "}\n\ndata: [DONE]\n\n");
}

/* ---- /v1/chat/completions ----------------------------------------------- */

static void
write_chat(const KcAnswerInfo *info, KcBytes text, const KcResult *result,
           struct evbuffer *out)
{
    add_answer_start(out, info, "chatcmpl", "chat.completion");
    evbuffer_add_printf(out,
                        "\"message\":{\"role\":\"assistant\",\"content\":");
    add_json_string(out, text.data, text.size);
    evbuffer_add_printf(out, "}");
    add_finish_reason(out, result->finish_reason);
    add_usage(out, result);
}

static void
write_chat_chunk(const KcAnswerInfo *info, KcBytes text, struct evbuffer *out)
{
    evbuffer_add_printf(out, "data: ");
    add_answer_start(out, info, "chatcmpl", "chat.completion.chunk");
    evbuffer_add_printf(out, "\"delta\":{\"role\":\"assistant\",\"content\":");
    add_json_string(out, text.data, text.size);
    evbuffer_add_printf(out, "},\"finish_reason\":null}]}\n\n");
}

static void
write_chat_end(const KcAnswerInfo *info, const KcResult *result,
               struct evbuffer *out)
{
    evbuffer_add_printf(out, "data: ");
    add_answer_start(out, info, "chatcmpl", "chat.completion.chunk");
    evbuffer_add_printf(out, "\"delta\":{}");
    add_finish_reason(out, result->finish_reason);
    evbuffer_add_printf(out, "}\n\ndata: [DONE]\n\n");
}

static const KcAnswerFormat formats[] = {
    {"/v1/completions", write_completion, write_completion_chunk,
     write_completion_end},
    {"/v1/chat/completions", write_chat, write_chat_chunk, write_chat_end},
};

const KcAnswerFormat *
KcAnswer_FindFormat(const char *path)
{
    for (size_t i = 0; i < sizeof(formats) / sizeof(formats[0]); i++) {
        if (strcmp(formats[i].path, path) == 0) {
            return &formats[i];
        }
    }
    return NULL;
}

/* ---- errors ------------------------------------------------------------- */

static const struct {
    int code;
    int status;
} error_statuses[] = {
    {KC_ERR_INVALID, 400},
    {KC_ERR_PARSE, 400},
    {KC_ERR_IDEMPOTENCY_KEY_REQUIRED, 400},
    {KC_ERR_UNKNOWN_MODEL, 404},
    {KC_ERR_NOT_FOUND, 404},
    {KC_ERR_DUPLICATE, 409},
    {KC_ERR_VERSION_RETIRED, 410},
    {KC_ERR_TOO_LARGE, 413},
    {KC_ERR_LIMIT_EXCEEDED, 429},
    {KC_ERR_BUSY, 503},
    {KC_ERR_NO_BACKEND, 503},
    {KC_ERR_NO_DOCUMENT, 503},
    {KC_ERR_LEAVING, 503},
    {KC_ERR_OBJECT_API_UNAVAILABLE, 503},
    {KC_ERR_NO_LEASE, 503},
    {KC_ERR_LOAD_FAILED, 503},
    {KC_ERR_DEADLINE_EXCEEDED, 504},
    {KC_ERR_DOCUMENT_BEHIND, 503},
};

#define STATUS_UNKNOWN 502

int
KcAnswer_HttpStatus(const KcResult *result)
{
    for (size_t i = 0; i < sizeof(error_statuses) / sizeof(error_statuses[0]);
         i++) {
        int status = error_statuses[i].status;
        bool promises_not_run = status == 429 || status == 503;

        if (error_statuses[i].code == result->error.code) {
            return promises_not_run && result->outcome == KC_OUTCOME_UNKNOWN
                       ? STATUS_UNKNOWN
                       : status;
        }
    }
    return STATUS_UNKNOWN;
}

static const char *
earlier_call_state(const KcResult *result)
{
    switch (result->earlier_mark) {
    case KC_CLAIM_DONE:
        return "answered";
    case KC_CLAIM_CLAIMED:
        return "running";
    default:
        return "unknown";
    }
}

void
KcAnswer_WriteError(const KcResult *result, struct evbuffer *out)
{
    char id[KC_REQUEST_ID_TEXT_SIZE];
    json_t *error;
    json_t *root;
    char *text;

    KcRequestId_Format(&result->id, id);
    error = json_pack("{s:s, s:s, s:s, s:s, s:s}", "code",
                      KcError_Name(result->error.code), "outcome",
                      KcOutcome_Name(result->outcome), "step",
                      result->error.step != NULL ? result->error.step : "",
                      "peer", result->error.peer, "request_id", id);
    if (result->is_duplicate) {
        json_object_set_new(error, "earlier_call",
                            json_string(earlier_call_state(result)));
    }
    root = json_pack("{s:o}", "error", error);
    text = json_dumps(root, JSON_COMPACT);
    evbuffer_add(out, text, strlen(text));
    free(text);
    json_decref(root);
}
