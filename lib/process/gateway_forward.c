/*
 * Forwarded requests: their arrival, their timer and their end.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"

static void on_timer(KcTimer *timer, KcTime now);

/* ---- ends ---------------------------------------------------------------- */

void
KcForwardAttempt_Release(KcForwardAttempt *attempt, KcTime now)
{
    KcForward *forward = attempt->forward;
    KcServer *server = attempt->server;

    KcForward_SetReadPaused(forward, false, now);
    TAILQ_REMOVE(&forward->attempts, attempt, link);
    if (!TAILQ_EMPTY(&forward->attempts)) {
        forward->server =
            TAILQ_LAST(&forward->attempts, KcForwardAttemptList)->server;
    }
    KcServer_EndTrial(server, forward);
    assert(server->in_flight > 0 &&
           server->in_flight_tokens >= forward->tokens_max);
    server->in_flight--;
    server->answering_count -= attempt->has_first_event ? 1 : 0;
    server->in_flight_tokens -= forward->tokens_max;
    if (attempt->replica != NULL) {
        KcReplica_EndUse(forward->gateway, attempt->replica);
    }
    free(attempt);
}

void
KcForwardAttempt_Withdraw(KcForwardAttempt *attempt, KcTime now)
{
    const KcGatewayOptions *options = &attempt->forward->gateway->options;

    KcForwardAttempt_NoteWithdrawal(attempt, now);
    options->ops->cancel_attempt(options->context, attempt->handle);
}

void
KcForwardAttempt_Cancel(KcForwardAttempt *attempt, KcTime now)
{
    KcForwardAttempt_Withdraw(attempt, now);
    KcForwardAttempt_Release(attempt, now);
}

/* Adds the request's times to the histograms of the metrics. */
static void
record_times(const KcForward *forward, KcTime now)
{
    KcCounters *counters = forward->gateway->options.counters;
    KcTime first_byte_at =
        forward->first_event_at != 0 ? forward->first_event_at : now;

    KcCounters_RecordTime(counters, KC_TIME_TOTAL, now - forward->arrived_at);
    if (forward->first_attempt_at != 0) {
        KcCounters_RecordTime(counters, KC_TIME_FIRST_ATTEMPT,
                              forward->first_attempt_at - forward->arrived_at);
    }
    if (forward->answer_begun) {
        KcCounters_RecordTime(counters, KC_TIME_FIRST_BYTE,
                              first_byte_at - forward->arrived_at);
    }
}

/* Records the end of the request, frees it, and dispatches queued requests. */
static void
end_request(KcForward *forward, const char *outcome, int status,
            const KcError *error, KcTime now)
{
    KcGateway *gateway = forward->gateway;
    KcServerPool *pool = forward->pool;
    KcForwardRecord record = {.forward = forward,
                              .outcome = outcome,
                              .status = status,
                              .error = error,
                              .ended_at = now};
    KcForwardAttempt *attempt;

    gateway->options.ops->record_request(gateway->options.context, &record);
    record_times(forward, now);
    KcForward_LeaveWaitList(forward);
    KcForward_EndWait(forward, false, now);
    while ((attempt = TAILQ_FIRST(&forward->attempts)) != NULL) {
        KcForwardAttempt_Cancel(attempt, now);
    }
    KcTimers_Clear(gateway->options.timers, &forward->timer);
    TAILQ_REMOVE(&gateway->forwards, forward, link);
    gateway->in_flight--;
    KcRouting_Release(forward->routing);
    free(forward);
    KcGateway_DispatchQueue(pool, now);
}

void
KcForward_FinishAnswered(KcForward *forward, int status, KcTime now)
{
    const KcForwardOps *ops = forward->ops;
    void *caller = forward->caller;

    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_ANSWERED, 1);
    end_request(forward, "answered", status, NULL, now);
    ops->on_end(caller);
}

KcTime
KcForward_RetryAfter(const KcForward *forward, KcQueuePace *pace, KcTime now)
{
    KcTime opens_at = KcGateway_FirstOpening(forward, now);

    if (opens_at != 0) {
        return opens_at - now;
    }
    if (now >= forward->deadline) {
        return KC_RETRY_AFTER_DEFAULT;
    }
    if (forward->is_load_ordered) {
        return KcQueuePace_RetryAfterLoad(pace, forward->deadline - now);
    }
    return KcQueuePace_RetryAfter(pace, forward->pool->queue_length,
                                  forward->deadline - now, now);
}

/*
 * May an attempt of the request have run, or still run?  False is what a
 * caller is promised with a refusal: those that have ended were refused or
 * never sent, and those in progress, which end with the request, were not sent
 * yet.
 */
static bool
may_have_run(const KcForward *forward)
{
    const KcForwardAttempt *attempt;

    TAILQ_FOREACH (attempt, &forward->attempts, link) {
        if (attempt->is_sent) {
            return true;
        }
    }
    return forward->possible_runs > 0 || forward->answer_begun;
}

void
KcForward_FinishFailed(KcForward *forward, KcTime now)
{
    const KcForwardOps *ops = forward->ops;
    void *caller = forward->caller;
    bool answer_begun = forward->answer_begun;
    KcForwardRefusal refusal = {.error = forward->error,
                                .may_have_run = may_have_run(forward)};

    if (!refusal.may_have_run && forward->error.code != KC_ERR_BLOCKED) {
        refusal.retry_after =
            KcForward_RetryAfter(forward, &forward->pool->pace, now);
    }
    if (!refusal.may_have_run) {
        KcForward_GiveBackQuota(forward, now);
    }
    KcCounters_Add(forward->gateway->options.counters,
                   refusal.may_have_run ? KC_COUNT_UNKNOWN : KC_COUNT_NOT_RUN,
                   1);
    end_request(forward,
                answer_begun ? "broken"
                             : (refusal.may_have_run ? "failed, may have run"
                                                     : "not run"),
                0, &refusal.error, now);
    if (answer_begun) {
        ops->on_broken(caller, &refusal.error);
    }
    else {
        ops->on_refusal(caller, &refusal);
    }
}

void
KcForward_Fail(KcForward *forward, int code, const char *step, KcTime now)
{
    KcError_Set(&forward->error, code, step,
                forward->server != NULL ? forward->server->id : "");
    KcForward_FinishFailed(forward, now);
}

void
KcForward_FailLeaving(KcForward *forward, KcTime now)
{
    KcForward_Fail(forward, KC_ERR_LEAVING, "planned stop", now);
}

/* ---- arrival ------------------------------------------------------------- */

/* Adds up tokens; more than the maximum count as the maximum. */
static uint64_t
add_tokens(uint64_t tokens, uint64_t more, uint64_t maximum)
{
    if (tokens >= maximum || more >= maximum - tokens) {
        return maximum;
    }
    return tokens + more;
}

void
KcForwardCall_SetTokens(KcForwardCall *call, uint64_t prompt_tokens,
                        uint64_t answer_tokens_max, uint64_t hint_tokens)
{
    call->states_tokens = true;
    call->quota_tokens =
        add_tokens(prompt_tokens, answer_tokens_max, UINT64_MAX);
    call->prompt_tokens = prompt_tokens;
    call->answer_tokens_max =
        hint_tokens < answer_tokens_max ? hint_tokens : answer_tokens_max;
}

static KcTime
find_deadline(const KcForwardCall *call, const KcRouteRule *rule, KcTime now)
{
    return now + (call->timeout > 0 && call->timeout < rule->request_timeout
                      ? call->timeout
                      : rule->request_timeout);
}

/* Might the request outlast a planned stop? */
static bool
comes_too_late(const KcGateway *gateway, const KcForwardCall *call,
               const KcRouteRule *rule, KcTime now)
{
    return KcGateway_HasEnded(gateway, now) ||
           (now >= gateway->refuse_at &&
            (rule->kind == KC_REQUEST_KIND_STREAM ||
             find_deadline(call, rule, now) > gateway->end_at));
}

int
KcGateway_Route(const KcGateway *gateway, const KcForwardCall *call,
                const KcRouteRule **rule, KcTime now)
{
    *rule = NULL;
    if (gateway->routing == NULL) {
        return KC_ERR_NO_DOCUMENT;
    }
    *rule = KcRouting_FindRule(gateway->routing, call->host, call->path);
    if (*rule == NULL) {
        return KC_ERR_NOT_FOUND;
    }
    return comes_too_late(gateway, call, *rule, now) ? KC_ERR_LEAVING : 0;
}

const KcRouteTarget *
KcGateway_DrawTarget(const KcGateway *gateway, const KcRouteRule *rule,
                     uint64_t *random_state)
{
    *random_state = gateway->random_state * 6364136223846793005ULL + 1;
    return KcRouting_ChooseTarget(rule, *random_state >> 33);
}

bool
KcGateway_NeedsAdapter(const KcGateway *gateway, const KcForwardCall *call,
                       const KcRouteTarget *target)
{
    const KcRoutedService *service =
        KcRouting_FindService(gateway->routing, target->service);

    return call->model[0] != '\0' && service != NULL &&
           service->engine.is_configured;
}

void
KcForward_Init(KcForward *forward, KcGateway *gateway,
               const KcForwardCall *call, const KcRouteRule *rule,
               const KcAdmission *admission, KcTime now)
{
    *forward = (KcForward){.gateway = gateway, .routing = gateway->routing};
    forward->rule = rule;
    forward->customer = admission->customer;
    forward->key_digest = call->key_digest;
    forward->quota_cost = admission->cost;
    forward->priority = KcAdmission_Priority(admission, rule);
    KcText_Copy(forward->id, call->id, sizeof(forward->id));
    forward->arrived_at = now;
    forward->last_event_at = now;
    forward->deadline = find_deadline(call, rule, now);
    forward->dispatch_until = now + KcWait_Min(rule->latency_objective);
    forward->events_max = call->answer_events_max;
    forward->part_count = call->part_count;
    if (call->part_count > 0) {
        memcpy(forward->parts, call->parts,
               call->part_count * sizeof(call->parts[0]));
    }
    forward->repeatable =
        rule->kind == KC_REQUEST_KIND_SAFE ||
        (rule->kind == KC_REQUEST_KIND_STREAM && rule->resumable);
    forward->has_last_event = call->has_last_event;
    forward->last_event_id = call->last_event_id;
    TAILQ_INIT(&forward->attempts);
    KcTimer_Init(&forward->timer, on_timer, forward);
}

void
KcForward_SetTokens(KcForward *forward, const KcForwardCall *call,
                    const KcRouteTarget *target)
{
    const KcRoutedService *service =
        KcRouting_FindService(forward->routing, target->service);
    uint64_t maximum = KC_TOKENS_MAX;

    if (service != NULL && service->engine.kv_cache_tokens > 0 &&
        service->engine.kv_cache_tokens < maximum) {
        maximum = service->engine.kv_cache_tokens;
    }
    forward->tokens_max =
        add_tokens(call->prompt_tokens, call->answer_tokens_max, maximum);
}

static KcForward *
create_forward(KcGateway *gateway, const KcForwardCall *call,
               const KcRouteRule *rule, const KcAdmission *admission,
               KcTime now)
{
    KcForward *forward = KcMem_New(sizeof(*forward));
    const KcRouteTarget *target =
        KcGateway_DrawTarget(gateway, rule, &gateway->random_state);

    KcForward_Init(forward, gateway, call, rule, admission, now);
    KcForward_SetTokens(forward, call, target);
    KcRouting_Retain(forward->routing);
    forward->pool = KcGateway_GetPool(gateway, target->service);
    if (KcGateway_NeedsAdapter(gateway, call, target)) {
        forward->adapter =
            KcGateway_GetAdapter(gateway, call->model, call->adapter);
        KcUseCount_Add(&forward->adapter->uses, now);
        KcUseCount_Add(&forward->pool->adapter_uses, now);
    }
    return forward;
}

/* Refuses a request for which no KcForward is created; customer is in whose
 * name it was, "" for no one's. */
static void
refuse_at_once(KcGateway *gateway, const KcForwardOps *ops, void *caller,
               int code, const char *step, const char *customer,
               KcTime retry_after)
{
    KcForwardRefusal refusal = {.retry_after = retry_after};

    KcError_Set(&refusal.error, code, step, customer);
    KcCounters_Add(gateway->options.counters, KC_COUNT_NOT_RUN, 1);
    ops->on_refusal(caller, &refusal);
}

void
KcGateway_Submit(KcGateway *gateway, const KcForwardCall *call,
                 const KcForwardOps *ops, void *caller,
                 KcForward **forward_out, KcTime now)
{
    const KcRouteRule *rule;
    KcAdmission admission;
    KcForward *forward;
    int code;

    *forward_out = NULL;
    KcCounters_Add(gateway->options.counters, KC_COUNT_REQUESTS, 1);
    code = KcGateway_Route(gateway, call, &rule, now);
    if (code != 0) {
        refuse_at_once(gateway, ops, caller, code, "route", "",
                       KC_RETRY_AFTER_DEFAULT);
        return;
    }
    code = KcGateway_Admit(gateway, call, rule, &admission, now);
    if (code != 0) {
        refuse_at_once(gateway, ops, caller, code, admission.step,
                       admission.customer != NULL ? admission.customer->name
                                                  : "",
                       admission.retry_after != 0 ? admission.retry_after
                                                  : KC_RETRY_AFTER_DEFAULT);
        return;
    }
    forward = create_forward(gateway, call, rule, &admission, now);
    forward->ops = ops;
    forward->caller = caller;
    KcRetryBudget_Deposit(&forward->pool->retry_budget);
    KcSecondAttempts_NoteRequest(&forward->pool->second_attempts,
                                 forward->tokens_max);
    TAILQ_INSERT_TAIL(&gateway->forwards, forward, link);
    gateway->in_flight++;
    KcGateway_DetectPauses(gateway, now);
    *forward_out = forward;
    KcForward_Dispatch(forward, now);
}

void
KcForward_SetTimer(KcForward *forward, KcTime due_at)
{
    if (due_at > forward->deadline) {
        due_at = forward->deadline;
    }
    KcTimers_Set(forward->gateway->options.timers, &forward->timer, due_at);
}

void
KcForward_Abandon(KcForward *forward, KcTime now)
{
    if (!may_have_run(forward)) {
        KcForward_GiveBackQuota(forward, now);
    }
    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_ABANDONED, 1);
    end_request(forward, "abandoned", 0, NULL, now);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcForward *forward = timer->owner;

    if (KcGateway_HasEnded(forward->gateway, now)) {
        KcForward_FailLeaving(forward, now);
        return;
    }
    if (now >= forward->deadline) {
        KcForward_Fail(forward, KC_ERR_DEADLINE_EXCEEDED,
                       TAILQ_EMPTY(&forward->attempts) ? "await place"
                                                       : "await answer",
                       now);
        return;
    }
    switch (forward->state) {
    case KC_FORWARD_QUEUED:
        KcForward_OnQueueTimer(forward, now);
        break;
    case KC_FORWARD_LOADING:
        KcForward_OnLoadTimer(forward, now);
        break;
    case KC_FORWARD_SENT:
        KcForward_OnSilenceTimer(forward, now);
        break;
    }
}
