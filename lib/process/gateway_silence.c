/*
 * Attempts whose server is silent.
 *
 * A request that may be repeated is retried at another server, once there is
 * one that takes it: the silent one may still answer.  A stream is
 * ended shortly before its caller would time out, if its server is taken to be
 * lost: otherwise a frozen server would keep the work of callers that have
 * disconnected.
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
/* A server is taken to be lost after this silence: longer than an engine takes
 * to read the longest prompt, and than a sound server pauses. */
#define LOST_SILENCE_MIN (2 * KC_SECOND)
/* An overdue attempt is checked again at this interval. */
#define SILENCE_CHECK_INTERVAL (100 * KC_MS)

static bool
is_stream(const KcForward *forward)
{
    return forward->rule->kind == KC_REQUEST_KIND_STREAM;
}

/* When the request should be retried at another server. */
static KcTime
retry_at(const KcForward *forward)
{
    const KcRouteRule *rule = forward->rule;

    if (!forward->repeatable) {
        return forward->deadline;
    }
    if (forward->answer_begun && rule->event_interval_max > 0) {
        KcTime since = forward->last_event_at > forward->attempt_started_at
                           ? forward->last_event_at
                           : forward->attempt_started_at;

        return since + EVENT_TIMEOUT_INTERVALS * rule->event_interval_max;
    }
    return forward->attempt_started_at +
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

/* Sets the timer to the next of these times, but not before earliest. */
static void
set_timer(KcForward *forward, KcTime earliest)
{
    KcTime retry = retry_at(forward);
    KcTime end = KcForward_EndStreamAt(forward);
    KcTime due = retry < end ? retry : end;

    KcForward_SetTimer(forward, due > earliest ? due : earliest);
}

void
KcForward_SetSilenceTimer(KcForward *forward)
{
    set_timer(forward, 0);
}

/* Cancels the attempt, which may have run; retries or fails the request. */
static void
cancel_silent_attempt(KcForward *forward, KcTime now)
{
    const char *step =
        forward->state == KC_FORWARD_STREAMING ? "next event" : "first byte";

    forward->server_silence = KcServer_Silence(forward->server, now);
    KcCounters_Add(forward->gateway->options.counters,
                   KC_COUNT_SILENT_ATTEMPTS, 1);
    KcForward_CancelAttempt(forward);
    KcForward_RetryOrFinish(forward, KC_ATTEMPT_LOST, KC_ERR_DEADLINE_EXCEEDED,
                            step, now);
}

static bool
can_retry(KcForward *forward, KcTime now)
{
    return forward->repeatable &&
           (!forward->answer_begun || KcForward_CanContinue(forward)) &&
           forward->possible_runs + 1 < forward->rule->attempts_max &&
           KcRetryBudget_CanTake(&forward->pool->retry_budget) &&
           KcForward_CanMove(forward, now);
}

void
KcForward_OnSilenceTimer(KcForward *forward, KcTime now)
{
    /* A stream may wait for its turn at a server that serves others. */
    bool is_silent =
        !is_stream(forward) || KcServer_IsSilent(forward->server, now);
    bool is_lost = KcServer_Silence(forward->server, now) >= LOST_SILENCE_MIN;

    if (KcGateway_HasPaused(forward->gateway, now)) {
        set_timer(forward, now + SILENCE_CHECK_INTERVAL);
        return;
    }
    if ((is_silent && now >= retry_at(forward) && can_retry(forward, now)) ||
        (is_lost && now >= KcForward_EndStreamAt(forward))) {
        cancel_silent_attempt(forward, now);
        return;
    }
    set_timer(forward, now + SILENCE_CHECK_INTERVAL);
}
