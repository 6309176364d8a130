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
/* A server is taken to be lost when it has given no sign of life for this
 * long: longer than an engine takes to read the longest prompt, and than a
 * sound server pauses. */
#define LOST_SILENCE_MIN (2 * KC_SECOND)
/* A server that has given no sign of life for this long is asked for one, from
 * LOST_SILENCE_MIN before a stream there must be ended: one that has only
 * waiting streams of this gateway is silent, however sound it is. */
#define CHECK_SILENCE_MIN (500 * KC_MS)
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
        KcTime timeout = EVENT_TIMEOUT_INTERVALS * rule->event_interval_max;

        /* It is late by then, so that nothing is won by less. */
        return since +
               (timeout > LOST_SILENCE_MIN ? timeout : LOST_SILENCE_MIN);
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
    KcTime due = retry < check ? retry : check;

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
    KcForward_CancelAttempt(forward, now);
    forward->was_moved = true;
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
should_move(KcForward *forward, KcTime now)
{
    /* A stream may wait for its turn at a server that serves others. */
    bool is_silent =
        !is_stream(forward) || KcServer_IsSilent(forward->server, now);

    return is_silent && now >= retry_at(forward) && can_retry(forward, now);
}

void
KcForward_OnSilenceTimer(KcForward *forward, KcTime now)
{
    const KcGatewayOptions *options = &forward->gateway->options;
    KcServer *server = forward->server;
    KcTime silence = time_without_sign(server, now);

    if (forward->read_paused) {
        KcForward_SetTimer(forward, forward->deadline);
        return;
    }
    if (KcGateway_HasPaused(forward->gateway, now)) {
        set_timer(forward, now + SILENCE_CHECK_INTERVAL);
        return;
    }
    if (should_move(forward, now) || (silence >= LOST_SILENCE_MIN &&
                                      now >= KcForward_EndStreamAt(forward))) {
        cancel_silent_attempt(forward, now);
        return;
    }
    if (is_stream(forward) && silence >= CHECK_SILENCE_MIN &&
        now >= check_server_at(forward)) {
        options->ops->check_server(options->context, server);
    }
    set_timer(forward, now + SILENCE_CHECK_INTERVAL);
}

void
KcForward_SetReadPaused(KcForward *forward, bool paused, KcTime now)
{
    if (forward->attempt == NULL || forward->read_paused == paused) {
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
