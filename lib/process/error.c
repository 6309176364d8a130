/*
 * Names of error numbers and outcomes, text forms of request ids and adapter
 * references, checks of names, and allocation that aborts the process when out
 * of memory.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_types.h"

/* Indexed by the negated error number. */
static const char *const error_names[] = {
    "ok",
    "no_memory",
    "invalid_value",
    "parse_error",
    "protocol_error",
    "too_large",
    "unknown_model",
    "version_retired",
    "no_document",
    "behind",
    "busy",
    "leaving",
    "no_backend",
    "limit_exceeded",
    "deadline_exceeded",
    "cancelled",
    "peer_lost",
    "load_failed",
    "wrong_model",
    "duplicate",
    "conflict",
    "object_api_unavailable",
    "not_found",
    "no_lease",
    "stale_fence",
    "backend_error",
    "idempotency_key_required",
    "unknown_work",
    "blocked",
    "unknown_message",
    "unknown_key",
    "unconfirmed",
};

_Static_assert(sizeof(error_names) / sizeof(error_names[0]) ==
                   -KC_ERR_RANGE_END,
               "every error number has a name");

const char *
KcError_Name(int code)
{
    if (code > 0 || code <= KC_ERR_RANGE_END) {
        return "unknown_error";
    }
    return error_names[-code];
}

int
KcError_Set(KcError *err, int code, const char *step, const char *peer)
{
    if (err != NULL) {
        err->code = code;
        err->step = step;
        KcText_Copy(err->peer, peer != NULL ? peer : "", sizeof(err->peer));
    }
    return code;
}

const char *
KcOutcome_Name(KcOutcome outcome)
{
    switch (outcome) {
    case KC_OUTCOME_ANSWERED:
        return "answered";
    case KC_OUTCOME_NOT_RUN:
        return "not_run";
    case KC_OUTCOME_UNKNOWN:
        return "unknown";
    case KC_OUTCOME_NONE:
        break;
    }
    return "none";
}

void
KcRequestId_Format(const KcRequestId *id, char text[KC_REQUEST_ID_TEXT_SIZE])
{
    snprintf(text, KC_REQUEST_ID_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
             id->nonce, id->sequence);
}

bool
KcRequestId_Equal(const KcRequestId *a, const KcRequestId *b)
{
    return a->nonce == b->nonce && a->sequence == b->sequence;
}

void
KcAdapterRef_Format(const KcAdapterRef *ref,
                    char text[KC_ADAPTER_REF_TEXT_SIZE])
{
    snprintf(text, KC_ADAPTER_REF_TEXT_SIZE, "%s@%u", ref->adapter,
             ref->version);
}

void
KcText_Copy(char *to, const char *from, size_t size)
{
    size_t length = strnlen(from, size - 1);

    memmove(to, from, length);
    to[length] = '\0';
}

int
KcName_Check(const char *name)
{
    size_t length = strlen(name);
    size_t valid_length = strspn(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "abcdefghijklmnopqrstuvwxyz"
                                       "0123456789._-");

    if (length == 0 || length >= KC_NAME_MAX || valid_length != length) {
        return KC_ERR_INVALID;
    }
    return 0;
}

void *
KcMem_New(size_t size)
{
    void *memory = calloc(1, size > 0 ? size : 1);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

void *
KcMem_Realloc(void *old, size_t size)
{
    void *memory = realloc(old, size > 0 ? size : 1);

    if (memory == NULL) {
        abort();
    }
    return memory;
}
