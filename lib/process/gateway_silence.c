/*
 * Requests whose server says nothing.
 *
 * What may be repeated goes elsewhere.  A stream that may not is ended before
 * its caller leaves by itself: a server that is frozen would otherwise keep
 * the work of callers that have gone.
 */
#include "gateway_internal.h"

/* A request that may be repeated waits this part of its objective for the
 * first byte of an answer from one server. */
#define PATIENCE_PERCENT 75
/* A stream that may be resumed waits for its next event this many of the
 * longest pauses that are on time. */
#define PATIENCE_PAUSES 2
/* A stream ends so long before its caller would leave: the way to the caller
 * and back, across regions, and a busy gateway. */
#define LEAVE_MARGIN (250 * KC_MS)
/* A server whose record is missing has lost its streams after so long a
 * silence: longer than an engine takes to read the longest prompt. */
#define LOST_SILENCE (2 * KC_SECOND)
/* Time between two looks at a request that is overdue. */
#define LOOK_INTERVAL (100 * KC_MS)

static bool
is_stream(const KcForward *forward)
{
    return forward->rule->kind == KC_REQUEST_KIND_STREAM;
}

/* When the request would better go elsewhere. */
static KcTime
move_at(const KcForward *forward)
{
    const KcRouteRule *rule = forward->rule;

    if (!forward->repeatable) {
        return forward->deadline;
    }
    if (forward->begun && rule->event_interval_max > 0) {
        KcTime since = forward->told_at > forward->sent_at ? forward->told_at
                                                           : forward->sent_at;

        return since + PATIENCE_PAUSES * rule->event_interval_max;
    }
    return forward->sent_at + rule->latency_objective * PATIENCE_PERCENT / 100;
}

/* When the caller must have an end, as it would leave soon after. */
static KcTime
end_at(const KcForward *forward)
{
    if (!is_stream(forward) ||
        forward->rule->caller_silence_timeout <= LEAVE_MARGIN) {
        return forward->deadline;
    }
    return forward->told_at + forward->rule->caller_silence_timeout -
           LEAVE_MARGIN;
}

static void
await_until(KcForward *forward, KcTime least)
{
    KcTime move = move_at(forward);
    KcTime end = end_at(forward);
    KcTime due = move < end ? move : end;

    KcForward_SetTimer(forward, due > least ? due : least);
}

void
KcForward_AwaitWord(KcForward *forward)
{
    await_until(forward, 0);
}

/* Takes the request off its server, which may have run it. */
static void
leave(KcForward *forward, KcTime now)
{
    const char *step =
        forward->state == KC_FORWARD_STREAMING ? "next event" : "first byte";

    KcForward_Withdraw(forward);
    KcForward_GoOn(forward, KC_ATTEMPT_LOST, KC_ERR_DEADLINE_EXCEEDED, step,
                   now);
}

static bool
can_move(const KcForward *forward)
{
    return forward->repeatable &&
           forward->possible_runs + 1 < forward->rule->attempts_max &&
           KcRetryBudget_Has(&forward->pool->budget);
}

void
KcForward_OnSilence(KcForward *forward, KcTime now)
{
    /* Streams of a server that serves others wait for their turn there. */
    bool silent = !is_stream(forward) || KcServer_IsMute(forward->server, now);

    if (silent && ((now >= move_at(forward) && can_move(forward)) ||
                   now >= end_at(forward))) {
        leave(forward, now);
        return;
    }
    await_until(forward, now + LOOK_INTERVAL);
}

/* A stream at the server; NULL when there is none. */
static KcForward *
stream_at(const KcGateway *gateway, const KcServer *server)
{
    KcForward *forward;

    TAILQ_FOREACH (forward, &gateway->forwards, link) {
        if (forward->attempt != NULL && forward->server == server &&
            is_stream(forward)) {
            return forward;
        }
    }
    return NULL;
}

void
KcGateway_EndLost(KcGateway *gateway, const KcServer *server, KcTime now)
{
    KcForward *forward;

    if (KcServer_Silence(server, now) < LOST_SILENCE) {
        return;
    }
    /* An end may end other requests too: each look begins anew. */
    while ((forward = stream_at(gateway, server)) != NULL) {
        leave(forward, now);
    }
}
