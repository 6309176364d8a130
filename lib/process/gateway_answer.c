/*
 * What the sending side reports of a request, and what follows.
 */
#include <assert.h>

#include "gateway_internal.h"

void
KcForward_GoOn(KcForward *forward, KcAttemptEnd end, int code,
               const char *step, KcTime now)
{
    KcServer *server = forward->server;
    KcRetryInput input = {.end = end,
                          .repeatable = forward->repeatable,
                          .may_have_run = forward->may_have_run,
                          .cancelled = now >= forward->deadline,
                          .can_continue = forward->rule->resumable,
                          .part_delivered = forward->begun,
                          .refusals_count = true,
                          .attempts_max = forward->rule->attempts_max};
    bool ran = end == KC_ATTEMPT_FAILED || end == KC_ATTEMPT_LOST;

    KcError_Set(&forward->error, code, step, server->id);
    KcServer_NoteFailure(server, end, now);
    KcForward_Release(forward);
    KcForward_NoteTried(forward, server);
    forward->possible_runs += ran ? 1 : 0;
    input.attempt_count = forward->possible_runs;
    switch (KcRetry_Decide(&input, &forward->pool->budget)) {
    case KC_RETRY_NEXT:
        forward->may_have_run = forward->may_have_run || ran;
        KcCounters_Add(forward->gateway->options.counters, KC_COUNT_RETRIES,
                       1);
        KcForward_Dispatch(forward, now);
        break;
    case KC_RETRY_NOT_RUN:
        KcForward_FinishFailed(forward, false, now);
        break;
    case KC_RETRY_UNKNOWN:
        KcForward_FinishFailed(forward, true, now);
        break;
    }
}

void
KcForward_OnAttemptFailed(KcForward *forward, KcAttemptEnd end, int code,
                          KcTime now)
{
    assert(forward->attempt != NULL);
    KcForward_GoOn(forward, end, code,
                   forward->state == KC_FORWARD_STREAMING ? "stream" : "send",
                   now);
}

/* The server did not run the request. */
static void
on_not_run(KcForward *forward, const KcReply *reply, KcTime now)
{
    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_REFUSALS, 1);
    if (reply->is_misdirected && forward->holding != NULL) {
        KcHolding_Drop(forward->gateway, forward->holding);
    }
    KcForward_GoOn(forward, KC_ATTEMPT_REFUSED,
                   reply->is_misdirected ? KC_ERR_WRONG_MODEL : KC_ERR_BUSY,
                   "refused", now);
}

/* May an answer that says failure be replaced by another server's? */
static bool
worth_retry(const KcForward *forward, const KcReply *reply, KcTime now)
{
    return reply->status >= 500 &&
           forward->rule->kind == KC_REQUEST_KIND_SAFE &&
           forward->possible_runs + 1 < forward->rule->attempts_max &&
           now < forward->deadline &&
           KcRetryBudget_Has(&forward->pool->budget);
}

void
KcForward_OnReply(KcForward *forward, const KcReply *reply, KcTime now)
{
    const KcForwardOps *ops = forward->ops;

    assert(forward->attempt != NULL);
    forward->server->heard_at = now;
    if (reply->not_run) {
        on_not_run(forward, reply, now);
        return;
    }
    if (worth_retry(forward, reply, now)) {
        KcForward_GoOn(forward, KC_ATTEMPT_FAILED, KC_ERR_BACKEND, "answer",
                       now);
        return;
    }
    if (forward->begun) {
        /* A stream cannot go on as an answer of another kind. */
        KcForward_GoOn(forward, KC_ATTEMPT_FAILED, KC_ERR_BACKEND, "resume",
                       now);
        return;
    }
    KcServer_NoteFirst(forward->server, now - forward->sent_at, now);
    if (reply->status >= 500) {
        KcServer_NoteFailure(forward->server, KC_ATTEMPT_FAILED, now);
    }
    else {
        KcServer_NoteSuccess(forward->server);
    }
    KcForward_Release(forward);
    forward->begun = true;
    ops->begin(forward->caller, reply->head, false);
    ops->data(forward->caller, reply->body);
    KcForward_FinishEnd(forward, reply->status, now);
}

void
KcForward_OnStreamBegin(KcForward *forward, const KcReply *reply, KcTime now)
{
    assert(forward->attempt != NULL && !reply->not_run);
    forward->server->heard_at = now;
    forward->state = KC_FORWARD_STREAMING;
    forward->head = reply->head;
}

/* The head is passed on with the first event: until then another server's
 * answer can take its place. */
static void
begin_stream(KcForward *forward, KcTime now)
{
    if (!forward->heard) {
        forward->heard = true;
        KcServer_NoteFirst(forward->server, now - forward->sent_at, now);
    }
    if (forward->begun) {
        return;
    }
    forward->begun = true;
    forward->first_event_at = now;
    forward->ops->begin(forward->caller, forward->head, true);
}

void
KcForward_OnStreamEvent(KcForward *forward, bool has_id, uint64_t id,
                        KcBytes bytes, KcTime now)
{
    assert(forward->attempt != NULL);
    forward->server->heard_at = now;
    if (has_id && forward->has_event && id != forward->last_event + 1) {
        KcForward_Withdraw(forward);
        KcForward_GoOn(forward, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL, "event id",
                       now);
        return;
    }
    begin_stream(forward, now);
    forward->told_at = now;
    if (has_id) {
        forward->has_event = true;
        forward->last_event = id;
    }
    forward->ops->data(forward->caller, bytes);
}

void
KcForward_OnStreamEnd(KcForward *forward, KcTime now)
{
    assert(forward->attempt != NULL);
    begin_stream(forward, now);
    KcServer_NoteSuccess(forward->server);
    KcForward_Release(forward);
    KcForward_FinishEnd(forward, 200, now);
}
