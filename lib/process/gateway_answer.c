/*
 * Handles the reports of attempts: passes answers on to callers, retries or
 * fails requests without an answer.
 */
#include <assert.h>
#include <string.h>

#include "gateway_internal.h"

/* A server that has ended is not back under its id in a shorter time. */
#define RESTART_MIN (500 * KC_MS)

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

static bool
is_only_attempt(const KcForwardAttempt *attempt)
{
    return TAILQ_NEXT(attempt, link) == NULL &&
           TAILQ_FIRST(&attempt->forward->attempts) == attempt;
}

void
KcForwardAttempt_RetryOrFinish(KcForwardAttempt *attempt, KcAttemptEnd end,
                               int code, const char *step, KcTime now)
{
    KcForward *forward = attempt->forward;
    KcServer *server = attempt->server;
    KcRetryInput input = {.end = end,
                          .repeatable = forward->repeatable,
                          .may_have_run = forward->possible_runs > 0,
                          .cancelled = now >= forward->deadline,
                          .can_continue = KcForward_CanContinue(forward),
                          .part_delivered = forward->answer_begun,
                          .charge_refusals = true,
                          .attempts_max = forward->rule->attempts_max};
    bool is_declined =
        end == KC_ATTEMPT_NEVER_SENT &&
        (code == KC_ERR_LEAVING || code == KC_ERR_BUSY ||
         code == KC_ERR_VERSION_RETIRED || code == KC_ERR_UNKNOWN_KEY ||
         code == KC_ERR_UNCONFIRMED || now >= forward->deadline);

    KcError_Set(&forward->error, code, step, server->id);
    if (!is_declined) {
        KcServer_NoteFailure(server, end, now);
    }
    KcForwardAttempt_Release(attempt, now);
    /* Of a server that is closed it is known when to try it again. */
    if (!is_declined &&
        (end != KC_ATTEMPT_REFUSED || KcServer_TakesRequests(server, now))) {
        KcForward_NoteTried(forward, server);
    }
    forward->possible_runs += KcAttemptEnd_MayHaveRun(end) ? 1 : 0;
    if (!TAILQ_EMPTY(&forward->attempts)) {
        forward->refused_at = now;
        KcForward_SetSilenceTimer(forward);
        return;
    }
    input.attempt_count = forward->possible_runs;
    switch (KcRetry_Decide(&input, &forward->pool->retry_budget)) {
    case KC_RETRY_NEXT:
        KcCounters_Add(forward->gateway->options.counters, KC_COUNT_RETRIES,
                       1);
        KcForward_Dispatch(forward, now);
        break;
    case KC_RETRY_NOT_RUN:
        if (end == KC_ATTEMPT_REFUSED && now < forward->deadline &&
            forward->possible_runs < forward->rule->attempts_max) {
            KcForward_RefuseForBudget(forward, now);
            break;
        }
        KcForward_FinishFailed(forward, now);
        break;
    case KC_RETRY_UNKNOWN:
        if (may_await_budget(forward, end, now)) {
            forward->owes_retry = true;
            KcForward_AwaitPlace(forward, now);
            break;
        }
        KcForward_FinishFailed(forward, now);
        break;
    }
}

void
KcForwardAttempt_GiveUp(KcForwardAttempt *attempt, int code, const char *step,
                        KcTime now)
{
    KcForwardAttempt_Withdraw(attempt, now);
    KcForwardAttempt_RetryOrFinish(
        attempt, attempt->is_sent ? KC_ATTEMPT_LOST : KC_ATTEMPT_NEVER_SENT,
        code, step, now);
}

void
KcForwardAttempt_GiveUpSilent(KcForwardAttempt *attempt, KcTime now)
{
    KcForward *forward = attempt->forward;

    forward->server_silence = KcServer_Silence(attempt->server, now);
    KcCounters_Add(forward->gateway->options.counters,
                   KC_COUNT_SILENT_ATTEMPTS, 1);
    KcForwardAttempt_GiveUp(
        attempt, KC_ERR_DEADLINE_EXCEEDED,
        attempt->stream_head != NULL ? "next event" : "first byte", now);
}

/* Notes how long the answer took to begin, without attempts that had ended
 * before.  Of attempts side by side the first counts: without the others the
 * answer would have taken longer. */
static void
note_beginning(const KcForward *forward, KcTime now)
{
    KcSecondAttempts_NoteAnswer(&forward->pool->second_attempts,
                                forward->tokens_max,
                                now - forward->awaited_since);
}

/* Cancels an attempt whose server has done nothing wrong. */
static void
cancel_other(KcForwardAttempt *other, KcTime now)
{
    other->forward->possible_runs += other->is_sent ? 1 : 0;
    KcForwardAttempt_Cancel(other, now);
}

/* Ends the request's other attempts: this one's answer has begun.  Those
 * before it were at silent servers, or at a slow one. */
static void
keep_only(KcForwardAttempt *attempt, KcTime now)
{
    KcForward *forward = attempt->forward;
    KcCounters *counters = forward->gateway->options.counters;
    KcForwardAttempt *other;

    if (is_only_attempt(attempt)) {
        return;
    }
    if (forward->is_doubled) {
        KcCounters_Add(counters,
                       TAILQ_FIRST(&forward->attempts) == attempt
                           ? KC_COUNT_SECOND_LOST
                           : KC_COUNT_SECOND_WON,
                       1);
    }
    while ((other = TAILQ_FIRST(&forward->attempts)) != attempt) {
        if (forward->is_doubled) {
            cancel_other(other, now);
        }
        else {
            KcForwardAttempt_GiveUpSilent(other, now);
        }
    }
    while ((other = TAILQ_NEXT(attempt, link)) != NULL) {
        cancel_other(other, now);
    }
    KcForward_SetSilenceTimer(forward);
    KcGateway_DispatchQueue(forward->pool, now);
}

void
KcForwardAttempt_OnSent(KcForwardAttempt *attempt)
{
    attempt->is_sent = true;
}

void
KcForwardAttempt_OnFailed(KcForwardAttempt *attempt, KcAttemptEnd end,
                          int code, KcTime now)
{
    if (end == KC_ATTEMPT_LOST && !attempt->has_first_event) {
        KcForwardAttempt_NoteLoss(attempt, code, now);
    }
    KcForwardAttempt_RetryOrFinish(
        attempt, end, code, attempt->stream_head != NULL ? "stream" : "send",
        now);
}

/* Handles a server's report that it did not run the request. */
static void
on_not_run(KcForwardAttempt *attempt, const KcReply *reply, KcTime now)
{
    KcForward *forward = attempt->forward;

    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_REFUSALS, 1);
    if (reply->is_misdirected) {
        const KcGatewayOptions *options = &forward->gateway->options;

        options->ops->refresh_servers(options->context);
        if (attempt->replica != NULL) {
            KcReplica_Drop(forward->gateway, attempt->replica);
        }
    }
    KcForwardAttempt_RetryOrFinish(attempt, KC_ATTEMPT_REFUSED,
                                   reply->is_misdirected ? KC_ERR_WRONG_MODEL
                                                         : KC_ERR_BUSY,
                                   "refused", now);
}

/* May another attempt's answer take the place of a server error? */
static bool
may_retry_error(const KcForwardAttempt *attempt, const KcReply *reply,
                KcTime now)
{
    const KcForward *forward = attempt->forward;

    return reply->status >= 500 &&
           forward->rule->kind == KC_REQUEST_KIND_SAFE &&
           now < forward->deadline &&
           !KcGateway_HasEnded(forward->gateway, now) &&
           (!is_only_attempt(attempt) ||
            (forward->possible_runs + 1 < forward->rule->attempts_max &&
             KcRetryBudget_CanTake(&forward->pool->retry_budget)));
}

void
KcForwardAttempt_OnReply(KcForwardAttempt *attempt, const KcReply *reply,
                         KcTime now)
{
    KcForward *forward = attempt->forward;
    const KcForwardOps *ops = forward->ops;
    KcServer *server = attempt->server;

    server->last_activity_at = now;
    KcServer_NoteAnswer(server, forward, now);
    if (reply->not_run) {
        on_not_run(attempt, reply, now);
        return;
    }
    if (may_retry_error(attempt, reply, now)) {
        KcForwardAttempt_RetryOrFinish(attempt, KC_ATTEMPT_FAILED,
                                       KC_ERR_BACKEND, "answer", now);
        return;
    }
    if (forward->answer_begun) {
        /* A stream cannot go on as an answer of another kind. */
        KcForwardAttempt_RetryOrFinish(attempt, KC_ATTEMPT_FAILED,
                                       KC_ERR_BACKEND, "resume", now);
        return;
    }
    keep_only(attempt, now);
    KcServer_NoteFirstByte(server, now - attempt->started_at, now);
    KcServer_NoteWork(server, now - attempt->started_at, now);
    note_beginning(forward, now);
    if (reply->status < 300) {
        KcForward_NoteAnswer(forward, now);
    }
    if (reply->status >= 500) {
        KcServer_NoteFailure(server, KC_ATTEMPT_FAILED, now);
    }
    else {
        KcServer_NoteSuccess(server);
    }
    KcForwardAttempt_Release(attempt, now);
    forward->answer_begun = true;
    ops->on_begin(forward->caller, reply->head, false);
    ops->on_data(forward->caller, reply->body);
    KcForward_FinishAnswered(forward, reply->status, now);
}

void
KcForwardAttempt_OnStrayReply(KcForwardAttempt *attempt)
{
    KcCounters_Add(attempt->forward->gateway->options.counters,
                   KC_COUNT_STRAY_REPLIES, 1);
}

void
KcForwardAttempt_OnStreamBegin(KcForwardAttempt *attempt, const KcReply *reply,
                               KcTime now)
{
    assert(!reply->not_run);
    attempt->server->last_activity_at = now;
    KcServer_NoteAnswer(attempt->server, attempt->forward, now);
    attempt->stream_head = reply->head;
    keep_only(attempt, now);
}

/* Passes the head on to the caller.  Called at the first event and not before,
 * as until then another server's answer can take its place. */
static void
start_caller_stream(KcForwardAttempt *attempt, KcTime now)
{
    KcForward *forward = attempt->forward;

    if (!attempt->has_first_event) {
        attempt->has_first_event = true;
        attempt->server->answering_count++;
        KcForward_NoteAnswer(forward, now);
        KcServer_NoteFirstByte(attempt->server, now - attempt->started_at,
                               now);
    }
    if (forward->answer_begun) {
        return;
    }
    note_beginning(forward, now);
    forward->answer_begun = true;
    forward->first_event_at = now;
    forward->ops->on_begin(forward->caller, attempt->stream_head, true);
}

void
KcForwardAttempt_OnStreamEvent(KcForwardAttempt *attempt, bool has_id,
                               uint64_t id, KcBytes bytes, KcTime now)
{
    KcForward *forward = attempt->forward;

    attempt->server->last_activity_at = now;
    if (has_id && forward->has_last_event &&
        id != forward->last_event_id + 1) {
        KcForwardAttempt_GiveUp(attempt, KC_ERR_PROTOCOL, "event id", now);
        return;
    }
    keep_only(attempt, now);
    start_caller_stream(attempt, now);
    forward->last_event_at = now;
    if (has_id) {
        forward->has_last_event = true;
        forward->last_event_id = id;
        forward->event_count++;
    }
    forward->ops->on_data(forward->caller, bytes);
}

void
KcForwardAttempt_OnStreamEnd(KcForwardAttempt *attempt, KcTime now)
{
    KcForward *forward = attempt->forward;

    attempt->server->last_activity_at = now;
    keep_only(attempt, now);
    start_caller_stream(attempt, now);
    KcServer_NoteSuccess(attempt->server);
    KcForwardAttempt_Release(attempt, now);
    KcForward_FinishAnswered(forward, 200, now);
}

/* ---- answers that end with their connection ------------------------------ */

void
KcForwardAttempt_OnUnframedEnd(KcForwardAttempt *attempt, KcTime now)
{
    attempt->ended_in_pause =
        KcGateway_PauseLength(attempt->forward->gateway, now) >= RESTART_MIN;
}

bool
KcForwardAttempt_NeedsStart(const KcForwardAttempt *attempt,
                            const KcServerIdentity *identity)
{
    return strcmp(identity->id, attempt->server->id) == 0 &&
           identity->started_at_ms == 0 && attempt->server_started_at_ms != 0;
}

bool
KcForwardAttempt_IsFrom(const KcForwardAttempt *attempt,
                        const KcServerIdentity *identity)
{
    const KcServer *server = attempt->server;
    int64_t started_at_ms = attempt->server_started_at_ms;
    bool has_id = identity->id[0] != '\0';

    if (has_id && strcmp(identity->id, server->id) != 0) {
        return false;
    }
    if (started_at_ms != 0) {
        return identity->started_at_ms == started_at_ms;
    }
    /* Its record tells no start, so that nothing better is known. */
    return has_id && !attempt->ended_in_pause && server->started_at_ms == 0;
}
