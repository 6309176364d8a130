/*
 * The agent's work: one attempt with the buffer of its answer, and the urgency
 * that orders waiting works.
 */
#include <assert.h>
#include <stdlib.h>

#include "kcc_request.h"

KcWork *
KcWork_Create(const KcMsgPropose *propose, uint64_t generation, KcTime now)
{
    KcWork *work = KcMem_New(sizeof(*work));

    work->key.request = propose->request;
    work->key.attempt = propose->attempt;
    work->generation = generation;
    KcText_Copy(work->service, propose->service, KC_NAME_MAX);
    KcText_Copy(work->model.adapter, propose->adapter, KC_NAME_MAX);
    work->model.version = propose->version;
    work->priority = propose->priority;
    work->repeatable = propose->repeatable;
    work->arrived_at = now;
    work->deadline = now + (KcTime)propose->time_left_us;
    KcText_Copy(work->method, propose->method, sizeof(work->method));
    KcText_Copy(work->path, propose->path, sizeof(work->path));
    KcText_Copy(work->content_type, propose->content_type, KC_NAME_MAX);
    KcBuffer_Append(&work->body, propose->body.data, propose->body.size);
    KcBuffer_Append(&work->delivered_text, propose->delivered_text.data,
                    propose->delivered_text.size);
    work->acked_offset = propose->offset;
    work->sent_offset = propose->offset;
    work->tokens = propose->tokens;
    return work;
}

void
KcWork_Free(KcWork *work)
{
    assert(work->slot == NULL && work->stream == NULL);
    KcBuffer_Clear(&work->body);
    KcBuffer_Clear(&work->delivered_text);
    KcBuffer_Clear(&work->answer);
    free(work);
}

uint64_t
KcWork_EndOffset(const KcWork *work)
{
    return work->acked_offset + KcBuffer_Size(&work->answer);
}

uint64_t
KcWork_UnackedBytes(const KcWork *work)
{
    assert(work->sent_offset >= work->acked_offset);
    return work->sent_offset - work->acked_offset;
}

void
KcWork_Acknowledge(KcWork *work, uint64_t offset)
{
    if (offset <= work->acked_offset || offset > work->sent_offset) {
        return;
    }
    KcBuffer_DropFront(&work->answer, (size_t)(offset - work->acked_offset));
    work->acked_offset = offset;
}

int64_t
KcWork_Urgency(const KcWork *work, const KcUrgencyOptions *options, KcTime now)
{
    int64_t urgency = (now - work->arrived_at) / KC_MS;

    urgency += (int64_t)work->priority * options->priority_step_ms;
    if (work->share != NULL) {
        urgency -= (int64_t)work->share->running * options->share_step_ms;
    }
    return urgency;
}
