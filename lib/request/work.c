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
    KcName_Copy(work->service, propose->service, KC_NAME_MAX);
    KcName_Copy(work->model.adapter, propose->adapter, KC_NAME_MAX);
    work->model.version = propose->version;
    work->priority = propose->priority;
    work->repeatable = propose->repeatable;
    work->arrived = now;
    work->deadline = now + (KcTime)propose->deadline_us;
    KcName_Copy(work->method, propose->method, sizeof(work->method));
    KcName_Copy(work->path, propose->path, sizeof(work->path));
    KcName_Copy(work->content_type, propose->content_type, KC_NAME_MAX);
    KcBuffer_Append(&work->body, propose->body.data, propose->body.size);
    KcBuffer_Append(&work->delivered, propose->delivered.data,
                    propose->delivered.size);
    work->acked = propose->offset;
    work->sent = propose->offset;
    work->tokens = propose->tokens;
    return work;
}

void
KcWork_Free(KcWork *work)
{
    assert(work->slot == NULL && work->stream == NULL);
    KcBuffer_Clear(&work->body);
    KcBuffer_Clear(&work->delivered);
    KcBuffer_Clear(&work->out);
    free(work);
}

uint64_t
KcWork_Total(const KcWork *work)
{
    return work->acked + KcBuffer_Size(&work->out);
}

uint64_t
KcWork_Unacked(const KcWork *work)
{
    assert(work->sent >= work->acked);
    return work->sent - work->acked;
}

void
KcWork_Acknowledge(KcWork *work, uint64_t offset)
{
    if (offset <= work->acked || offset > work->sent) {
        return;
    }
    KcBuffer_Drop(&work->out, (size_t)(offset - work->acked));
    work->acked = offset;
}

int64_t
KcOrder_Urgency(const KcWork *work, const KcOrderOptions *options, KcTime now)
{
    int64_t urgency = (now - work->arrived) / KC_MS;

    urgency += (int64_t)work->priority * options->priority_step_ms;
    if (work->share != NULL) {
        urgency -= (int64_t)work->share->running * options->share_step_ms;
    }
    return urgency;
}
