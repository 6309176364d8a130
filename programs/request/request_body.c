/*
 * The body of a caller's request, with a count of references.
 */
#include "request_body.h"

#include <stdlib.h>

struct KcRequestBody {
    uint32_t reference_count;
    KcIntake intake;
    size_t head_bytes;
    KcBuffer buffer;
};

KcRequestBody *
KcRequestBody_Create(KcIntakePool *pool, size_t head_bytes,
                     size_t expected_bytes)
{
    KcRequestBody *body = KcMem_New(sizeof(*body));
    KcIntakeLimits limits = {.pool = pool};

    body->reference_count = 1;
    body->head_bytes = head_bytes;
    KcIntake_Begin(&body->intake, &limits, 0);
    if (KcIntake_Keep(&body->intake, head_bytes + expected_bytes) != 0) {
        KcRequestBody_Release(body);
        return NULL;
    }
    KcBuffer_Reserve(&body->buffer, expected_bytes);
    return body;
}

void
KcRequestBody_Release(KcRequestBody *body)
{
    if (body == NULL || --body->reference_count > 0) {
        return;
    }
    KcBuffer_Clear(&body->buffer);
    KcIntake_End(&body->intake);
    free(body);
}

int
KcRequestBody_Append(KcRequestBody *body, KcBytes bytes)
{
    size_t kept_bytes =
        body->head_bytes + KcBuffer_Size(&body->buffer) + bytes.size;

    if (kept_bytes > body->intake.kept_bytes &&
        KcIntake_Keep(&body->intake, kept_bytes) != 0) {
        return KC_ERR_BUSY;
    }
    KcBuffer_Append(&body->buffer, bytes.data, bytes.size);
    return 0;
}

size_t
KcRequestBody_Size(const KcRequestBody *body)
{
    return body != NULL ? KcBuffer_Size(&body->buffer) : 0;
}

static void
on_output_dropped(const void *data, size_t size, void *context)
{
    (void)data;
    (void)size;
    KcRequestBody_Release(context);
}

void
KcRequestBody_AddTo(KcRequestBody *body, struct evbuffer *out)
{
    size_t size = KcRequestBody_Size(body);

    if (size > 0 &&
        evbuffer_add_reference(out, KcBuffer_Data(&body->buffer), size,
                               on_output_dropped, body) == 0) {
        body->reference_count++;
    }
}
