/*
 * Attempts whose server is silent.
 *
 * A request that may be repeated is tried at another server too: the silent
 * one may still answer, and the other one refuse, so the attempt there is
 * given up only when the other one's answer begins.  An answer that has begun
 * goes on elsewhere only once its server is taken to be lost, which ends the
 * attempt there first: no two servers work on the same rest.  A stream is
 * ended shortly before its caller would time out, if its server is taken to be
 * lost: otherwise a frozen server would keep the work of callers that have
 * disconnected.
 *
 * A request whose server is not silent but slower than usual gets a second
 * attempt in the same way, within the operator's limit (second_attempts.c).
 */
#include "gateway_internal.h"

/* A repeatable request waits this percentage of its route's objective for the
 * first byte of an answer from one server. */
#define FIRST_BYTE_TIMEOUT_PERCENT 75
/* A resumable stream waits for its next event this many times the longest
 * interval between events that is on time (event_interval_max). */
#define EVENT_TIMEOUT_INTERVALS 2
/* A stream is ended this long before its caller would time out: covers the
 * round trip to the caller across regions, and delays in a busy gateway. */
#define CALLER_TIMEOUT_MARGIN (250 * KC_MS)
/* A server is taken to be lost when it has given no sign of life for this
 * long: longer than an engine takes to read the longest prompt, and than a
 * sound server pauses. */
#define LOST_SILENCE_MIN (2 * KC_SECOND)
/* A server that has given no sign of life for this long is asked for one, from
 * LOST_SILENCE_MIN before a stream there must be ended: one that has only
 * waiting streams of this gateway is silent, however sound it is.  With a
 * pause of a sound server (1.5 s) that begins just then, and
 * SILENCE_CHECK_INTERVAL, it is less than LOST_SILENCE_MIN. */
#define CHECK_SILENCE_MIN (300 * KC_MS)
/* An overdue attempt is checked again at this interval. */
#define SILENCE_CHECK_INTERVAL (100 * KC_MS)

static bool
is_stream(const KcForward *forward)
{
    return forward->rule->kind == KC_REQUEST_KIND_STREAM;
}

static const KcForwardAttempt *
newest_attempt(const KcForward *forward)
{
    return TAILQ_LAST(&forward->attempts, KcForwardAttemptList);
}

/* Does the answer go on after an event?  No two servers may work on the same
 * rest. */
static bool
goes_on(const KcForward *forward)
{
    return forward->answer_begun || forward->has_last_event;
}

/* When the request counts as slow; KC_NEVER if that changes nothing. */
static KcTime
slow_at(const KcForward *forward)
{
    KcTime delay;

    if (!forward->repeatable || forward->slowness_judged ||
        forward->was_moved || goes_on(forward)) {
        return KC_NEVER;
    }
    delay = KcSecondAttempts_Delay(&forward->pool->second_attempts,
                                   forward->tokens_max);
    return delay != KC_NEVER ? newest_attempt(forward)->started_at + delay
                             : KC_NEVER;
}

/* When the request should be tried at another server, as its own is silent. */
static KcTime
retry_at(const KcForward *forward)
{
    const KcRouteRule *rule = forward->rule;
    const KcForwardAttempt *newest = newest_attempt(forward);

    if (!forward->repeatable) {
        return forward->deadline;
    }
    if (forward->answer_begun && rule->event_interval_max > 0) {
        KcTime since = forward->last_event_at > newest->started_at
                           ? forward->last_event_at
                           : newest->started_at;
        KcTime timeout = EVENT_TIMEOUT_INTERVALS * rule->event_interval_max;

        /* It is late by then, so that nothing is won by less. */
        return since +
               (timeout > LOST_SILENCE_MIN ? timeout : LOST_SILENCE_MIN);
    }
    return newest->started_at +
           rule->latency_objective * FIRST_BYTE_TIMEOUT_PERCENT / 100;
}

KcTime
KcForward_EndStreamAt(const KcForward *forward)
{
    if (!is_stream(forward) ||
        forward->rule->caller_silence_timeout <= CALLER_TIMEOUT_MARGIN) {
        return forward->deadline;
    }
    return forward->last_event_at + forward->rule->caller_silence_timeout -
           CALLER_TIMEOUT_MARGIN;
}

/* When it begins to matter whether the server lives. */
static KcTime
check_server_at(const KcForward *forward)
{
    return KcForward_EndStreamAt(forward) -
           (is_stream(forward) ? LOST_SILENCE_MIN : 0);
}

/* Sets the timer to the next of these times, but not before earliest. */
static void
set_timer(KcForward *forward, KcTime earliest)
{
    KcTime retry = retry_at(forward);
    KcTime check = check_server_at(forward);
    KcTime slow = slow_at(forward);
    KcTime due = retry < check ? retry : check;

    due = slow < due ? slow : due;
    KcForward_SetTimer(forward, due > earliest ? due : earliest);
}

void
KcForward_SetSilenceTimer(KcForward *forward)
{
    set_timer(forward, 0);
}

static bool
may_run_again(const KcForward *forward)
{
    const KcForwardAttempt *attempt;
    uint32_t runs = forward->possible_runs;

    TAILQ_FOREACH (attempt, &forward->attempts, link) {
        runs++;
    }
    return forward->repeatable &&
           (!forward->answer_begun || KcForward_CanContinue(forward)) &&
           runs < forward->rule->attempts_max &&
           KcRetryBudget_CanTake(&forward->pool->retry_budget);
}

/* Time since the server's last byte or its last answer to a check; negative
 * while it may not be checked, as it has asked to wait. */
static KcTime
time_without_sign(const KcServer *server, KcTime now)
{
    KcTime since = now - KcServer_Silence(server, now);

    since = server->alive_at > since ? server->alive_at : since;
    return now - (server->closed_until > since ? server->closed_until : since);
}

static bool
should_try_elsewhere(const KcForward *forward, KcTime now)
{
    /* A stream may wait for its turn at a server that serves others. */
    bool is_silent = !is_stream(forward) ||
                     KcServer_IsSilent(newest_attempt(forward)->server, now);

    return is_silent && now >= retry_at(forward) && may_run_again(forward);
}

/* Tries another server too, once there is one that may take the request. */
static void
try_elsewhere(KcForward *forward, KcTime now)
{
    KcServer *server = forward->server;

    if (!should_try_elsewhere(forward, now) ||
        !KcForward_TryElsewhere(forward, now)) {
        return;
    }
    forward->server_silence = KcServer_Silence(server, now);
    forward->was_moved = true;
}

/* Counters of the verdicts. */
static const KcCounter verdict_counters[KC_SECOND_VERDICT_COUNT] = {
    [KC_SECOND_MADE] = KC_COUNT_SECOND_ATTEMPTS,
    [KC_SECOND_LIMITED] = KC_COUNT_SECOND_LIMITED,
    [KC_SECOND_LOADED] = KC_COUNT_SECOND_LOADED,
    [KC_SECOND_NOT_SOONER] = KC_COUNT_SECOND_NOT_SOONER,
    [KC_SECOND_NO_BUDGET] = KC_COUNT_SECOND_NO_BUDGET,
    [KC_SECOND_OVER_QUOTA] = KC_COUNT_SECOND_OVER_QUOTA,
};

static KcSecondVerdict
try_second(KcForward *forward, KcTime now)
{
    KcServerPool *pool = forward->pool;
    KcSecondInput input = {
        .concurrency_max = newest_attempt(forward)->server->concurrency_max,
        .has_queue = !TAILQ_EMPTY(&pool->queue),
        .has_budget = may_run_again(forward)};
    KcSecondVerdict verdict;

    KcServerPool_RefreshMeans(pool, now);
    input.mean_load = pool->mean_load;
    verdict = KcSecondAttempts_Decide(&pool->second_attempts, &input);
    if (verdict != KC_SECOND_MADE) {
        return verdict;
    }
    if (!KcForward_TakeQuota(forward, now)) {
        return KC_SECOND_OVER_QUOTA;
    }
    if (!KcForward_TrySooner(forward, now)) {
        KcForward_GiveBackQuota(forward, now);
        return KC_SECOND_NOT_SOONER;
    }
    KcSecondAttempts_Take(&pool->second_attempts, forward->tokens_max);
    forward->was_moved = true;
    forward->is_doubled = true;
    return KC_SECOND_MADE;
}

/* Decides once whether a slow request gets a second attempt. */
static void
judge_slowness(KcForward *forward, KcTime now)
{
    if (now < slow_at(forward)) {
        return;
    }
    forward->slowness_judged = true;
    KcCounters_Add(forward->gateway->options.counters,
                   verdict_counters[try_second(forward, now)], 1);
}

/* Is every server with an attempt of the request taken to be lost? */
static bool
are_servers_lost(const KcForward *forward, KcTime now)
{
    const KcForwardAttempt *attempt;

    TAILQ_FOREACH (attempt, &forward->attempts, link) {
        if (time_without_sign(attempt->server, now) < LOST_SILENCE_MIN) {
            return false;
        }
    }
    return true;
}

/* Must the attempts be given up, at the end or to go on elsewhere? */
static bool
should_leave(KcForward *forward, KcTime now)
{
    if (now >= KcForward_EndStreamAt(forward) &&
        are_servers_lost(forward, now)) {
        return true;
    }
    return goes_on(forward) && should_try_elsewhere(forward, now) &&
           KcForward_CanMove(forward, now);
}

/* Gives up all attempts; retries or fails the request. */
static void
leave_servers(KcForward *forward, KcTime now)
{
    bool is_last = false;

    forward->was_moved = true;
    while (!is_last) {
        KcForwardAttempt *attempt = TAILQ_FIRST(&forward->attempts);

        is_last = TAILQ_NEXT(attempt, link) == NULL;
        KcForwardAttempt_GiveUpSilent(attempt, now);
    }
}

/* Asks the silent servers for a sign of life. */
static void
check_servers(const KcForward *forward, KcTime now)
{
    const KcGatewayOptions *options = &forward->gateway->options;
    const KcForwardAttempt *attempt;

    TAILQ_FOREACH (attempt, &forward->attempts, link) {
        if (time_without_sign(attempt->server, now) >= CHECK_SILENCE_MIN) {
            options->ops->check_server(options->context, attempt->server);
        }
    }
}

void
KcForward_OnSilenceTimer(KcForward *forward, KcTime now)
{
    if (forward->read_paused) {
        KcForward_SetTimer(forward, forward->deadline);
        return;
    }
    if (KcGateway_HasPaused(forward->gateway, now)) {
        set_timer(forward, now + SILENCE_CHECK_INTERVAL);
        return;
    }
    if (should_leave(forward, now)) {
        leave_servers(forward, now);
        return;
    }
    if (!goes_on(forward)) {
        judge_slowness(forward, now);
        try_elsewhere(forward, now);
    }
    if (is_stream(forward) && now >= check_server_at(forward)) {
        check_servers(forward, now);
    }
    set_timer(forward, now + SILENCE_CHECK_INTERVAL);
}

void
KcForward_SetReadPaused(KcForward *forward, bool paused, KcTime now)
{
    if (TAILQ_EMPTY(&forward->attempts) || forward->read_paused == paused) {
        return;
    }
    forward->read_paused = paused;
    if (paused) {
        forward->server->paused_count++;
        return;
    }
    forward->server->paused_count--;
    forward->server->last_activity_at = now;
    forward->last_event_at = now; /* the caller has it only by now */
    KcForward_SetSilenceTimer(forward);
}
