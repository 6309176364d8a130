/*
 * The body of a caller's request, with a count of references.
 */
#include "request_body.h"

#include <stdlib.h>

struct KcRequestBody {
    uint32_t reference_count;
    KcBuffer buffer;
};

KcRequestBody *
KcRequestBody_Create(size_t expected_bytes)
{
    KcRequestBody *body = KcMem_New(sizeof(*body));

    body->reference_count = 1;
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
    free(body);
}

void
KcRequestBody_Append(KcRequestBody *body, KcBytes bytes)
{
    KcBuffer_Append(&body->buffer, bytes.data, bytes.size);
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
