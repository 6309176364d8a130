/*
 * Handles the reports of attempts: passes answers on to callers, retries or
 * fails requests without an answer.
 */
#include <assert.h>

#include "gateway_internal.h"

bool
KcForward_CanContinue(const KcForward *forward)
{
    return forward->rule->resumable &&
           (forward->events_max == 0 ||
            forward->event_count < forward->events_max);
}

/* May a refused request wait for the retry budget? */
static bool
may_await_budget(const KcForward *forward, KcAttemptEnd end, KcTime now)
{
    return end == KC_ATTEMPT_REFUSED && KcForward_IsKept(forward) &&
           (!forward->answer_begun || KcForward_CanContinue(forward)) &&
           forward->possible_runs < forward->rule->attempts_max &&
           now < forward->deadline;
}

void
KcForward_RetryOrFinish(KcForward *forward, KcAttemptEnd end, int code,
                        const char *step, KcTime now)
{
    KcServer *server = forward->server;
    KcRetryInput input = {.end = end,
                          .repeatable = forward->repeatable,
                          .may_have_run = forward->may_have_run,
                          .cancelled = now >= forward->deadline,
                          .can_continue = KcForward_CanContinue(forward),
                          .part_delivered = forward->answer_begun,
                          .charge_refusals = true,
                          .attempts_max = forward->rule->attempts_max};
    bool ran = end == KC_ATTEMPT_FAILED || end == KC_ATTEMPT_LOST;
    bool is_withdrawn = end == KC_ATTEMPT_NEVER_SENT &&
                        (code == KC_ERR_LEAVING || code == KC_ERR_BUSY);

    KcError_Set(&forward->error, code, step, server->id);
    if (!is_withdrawn) {
        KcServer_NoteFailure(server, end, now);
    }
    KcForward_ReleaseServer(forward, now);
    /* Of a server that is closed it is known when to try it again. */
    if (!is_withdrawn &&
        (end != KC_ATTEMPT_REFUSED || KcServer_TakesRequests(server, now))) {
        KcForward_NoteTried(forward, server);
    }
    forward->possible_runs += ran ? 1 : 0;
    input.attempt_count = forward->possible_runs;
    switch (KcRetry_Decide(&input, &forward->pool->retry_budget)) {
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
        if (may_await_budget(forward, end, now)) {
            forward->owes_retry = true;
            KcForward_AwaitPlace(forward, now);
            break;
        }
        KcForward_FinishFailed(forward, true, now);
        break;
    }
}

void
KcForward_OnAttemptFailed(KcForward *forward, KcAttemptEnd end, int code,
                          KcTime now)
{
    assert(forward->attempt != NULL);
    KcForward_RetryOrFinish(
        forward, end, code,
        forward->state == KC_FORWARD_STREAMING ? "stream" : "send", now);
}

/* Handles a server's report that it did not run the request. */
static void
on_not_run(KcForward *forward, const KcReply *reply, KcTime now)
{
    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_REFUSALS, 1);
    if (reply->is_misdirected) {
        const KcGatewayOptions *options = &forward->gateway->options;

        options->ops->refresh_servers(options->context);
        if (forward->replica != NULL) {
            KcReplica_Drop(forward->gateway, forward->replica);
        }
    }
    KcForward_RetryOrFinish(forward, KC_ATTEMPT_REFUSED,
                            reply->is_misdirected ? KC_ERR_WRONG_MODEL
                                                  : KC_ERR_BUSY,
                            "refused", now);
}

/* May the request be retried instead of passing on a server error? */
static bool
may_retry_error(const KcForward *forward, const KcReply *reply, KcTime now)
{
    return reply->status >= 500 &&
           forward->rule->kind == KC_REQUEST_KIND_SAFE &&
           forward->possible_runs + 1 < forward->rule->attempts_max &&
           now < forward->deadline &&
           KcRetryBudget_CanTake(&forward->pool->retry_budget);
}

void
KcForward_OnReply(KcForward *forward, const KcReply *reply, KcTime now)
{
    const KcForwardOps *ops = forward->ops;

    assert(forward->attempt != NULL);
    forward->server->last_activity_at = now;
    KcServer_NoteAnswer(forward->server, forward, now);
    if (reply->not_run) {
        on_not_run(forward, reply, now);
        return;
    }
    if (may_retry_error(forward, reply, now)) {
        KcForward_RetryOrFinish(forward, KC_ATTEMPT_FAILED, KC_ERR_BACKEND,
                                "answer", now);
        return;
    }
    if (forward->answer_begun) {
        /* A stream cannot go on as an answer of another kind. */
        KcForward_RetryOrFinish(forward, KC_ATTEMPT_FAILED, KC_ERR_BACKEND,
                                "resume", now);
        return;
    }
    KcServer_NoteFirstByte(forward->server, now - forward->attempt_started_at,
                           now);
    if (reply->status >= 500) {
        KcServer_NoteFailure(forward->server, KC_ATTEMPT_FAILED, now);
    }
    else {
        KcServer_NoteSuccess(forward->server);
    }
    KcForward_ReleaseServer(forward, now);
    forward->answer_begun = true;
    ops->on_begin(forward->caller, reply->head, false);
    ops->on_data(forward->caller, reply->body);
    KcForward_FinishAnswered(forward, reply->status, now);
}

void
KcForward_OnStreamBegin(KcForward *forward, const KcReply *reply, KcTime now)
{
    assert(forward->attempt != NULL && !reply->not_run);
    forward->server->last_activity_at = now;
    KcServer_NoteAnswer(forward->server, forward, now);
    forward->state = KC_FORWARD_STREAMING;
    forward->stream_head = reply->head;
}

/* Passes the head on to the caller.  Called at the first event and not before,
 * as until then another server's answer can take its place. */
static void
start_caller_stream(KcForward *forward, KcTime now)
{
    if (!forward->has_first_event) {
        forward->has_first_event = true;
        KcServer_NoteFirstByte(forward->server,
                               now - forward->attempt_started_at, now);
    }
    if (forward->answer_begun) {
        return;
    }
    forward->answer_begun = true;
    forward->first_event_at = now;
    forward->ops->on_begin(forward->caller, forward->stream_head, true);
}

void
KcForward_OnStreamEvent(KcForward *forward, bool has_id, uint64_t id,
                        KcBytes bytes, KcTime now)
{
    assert(forward->attempt != NULL);
    forward->server->last_activity_at = now;
    if (has_id && forward->has_last_event &&
        id != forward->last_event_id + 1) {
        KcForward_CancelAttempt(forward, now);
        KcForward_RetryOrFinish(forward, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL,
                                "event id", now);
        return;
    }
    start_caller_stream(forward, now);
    forward->last_event_at = now;
    if (has_id) {
        forward->has_last_event = true;
        forward->last_event_id = id;
        forward->event_count++;
    }
    forward->ops->on_data(forward->caller, bytes);
}

void
KcForward_OnStreamEnd(KcForward *forward, KcTime now)
{
    assert(forward->attempt != NULL);
    forward->server->last_activity_at = now;
    start_caller_stream(forward, now);
    KcServer_NoteSuccess(forward->server);
    KcForward_ReleaseServer(forward, now);
    KcForward_FinishAnswered(forward, 200, now);
}
