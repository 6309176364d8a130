/*
 * Callers: they submit a request each, take its answer, and leave when their
 * patience ends.
 */
#include <stdlib.h>
#include <string.h>

#include "../foresight.h"
#include "play.h"

#define CALLER_SILENCE_TIMEOUT (3 * KC_SECOND)
/* A request must have ended this long after its deadline. */
#define END_DELAY_MAX (100 * KC_MS)
/* One caller in this number leaves early. */
#define IMPATIENT_CALLERS 5
#define EVENTS_MAX 150

static const PlayRoute routes[] = {
    {"/s/", KC_REQUEST_KIND_SAFE, false},
    {"/u/", KC_REQUEST_KIND_UNSAFE, false},
    {"/t/", KC_REQUEST_KIND_STREAM, false},
    {"/r/", KC_REQUEST_KIND_STREAM, true},
    {"/r/", KC_REQUEST_KIND_STREAM, true},
};
#define ROUTE_COUNT (sizeof(routes) / sizeof(routes[0]))

/* ---- routing ------------------------------------------------------------- */

static void
add_rule(Play *play, KcRouting *routing, const PlayRoute *route)
{
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", route->path);
    bool is_stream = route->kind == KC_REQUEST_KIND_STREAM;

    KcText_Copy(rule->name, route->path, KC_NAME_MAX);
    rule->kind = route->kind;
    rule->resumable = route->resumable;
    rule->request_timeout =
        Play_RandomTime(play, 4 * KC_SECOND, 12 * KC_SECOND);
    rule->latency_objective = Play_RandomTime(play, 800 * KC_MS, 1500 * KC_MS);
    rule->event_interval_max = Play_RandomTime(play, 200 * KC_MS, 400 * KC_MS);
    rule->caller_silence_timeout = is_stream ? CALLER_SILENCE_TIMEOUT : 0;
    rule->attempts_max = 2 + (uint32_t)Play_Random(play, 2);
    KcRouting_AddTarget(rule, is_stream ? "llm" : "plain", 4);
    if (is_stream && Play_Random(play, 2) == 0) {
        KcRouting_AddTarget(rule, "alt", 1);
    }
}

KcRouting *
Play_CreateRouting(Play *play)
{
    KcRouting *routing = KcRouting_Create(++play->routing_version);
    KcError error;

    KcRouting_AddService(routing, "llm")->engine.is_configured = true;
    KcRouting_AddService(routing, "alt")->engine.is_configured = true;
    KcRouting_AddService(routing, "plain");
    for (size_t i = 0; i < ROUTE_COUNT; i++) {
        if (i == 0 || strcmp(routes[i].path, routes[i - 1].path) != 0) {
            add_rule(play, routing, &routes[i]);
        }
    }
    if (KcRouting_Validate(routing, &error) != 0) {
        abort();
    }
    return routing;
}

bool
PlayCaller_IsStream(const PlayCaller *caller)
{
    return caller->route->kind == KC_REQUEST_KIND_STREAM;
}

/* ---- patience ------------------------------------------------------------ */

static void
set_leave_timer(PlayCaller *caller, KcTime now)
{
    KcTime due_at = caller->deadline + END_DELAY_MAX;

    if (PlayCaller_IsStream(caller) && now + CALLER_SILENCE_TIMEOUT < due_at) {
        due_at = now + CALLER_SILENCE_TIMEOUT;
    }
    if (caller->patience_until < due_at) {
        due_at = caller->patience_until;
    }
    KcTimers_Set(caller->gateway->play->timers, &caller->leave_timer, due_at);
}

static void
on_leave_timer(KcTimer *timer, KcTime now)
{
    PlayCaller *caller = timer->owner;
    Play *play = caller->gateway->play;
    KcForward *forward = caller->forward;

    if (now >= caller->deadline + END_DELAY_MAX) {
        Oracle_Break(play, PLAY_ENDS, caller, "has not ended at its deadline");
        return;
    }
    Play_Trace(play, "caller %u leaves", caller->number);
    caller->has_left = true;
    caller->forward = NULL;
    KcForward_Abandon(forward, now);
    Oracle_OnClosed(caller);
}

static void
on_read_timer(KcTimer *timer, KcTime now)
{
    PlayCaller *caller = timer->owner;

    if (caller->forward != NULL) {
        KcForward_SetReadPaused(caller->forward, false, now);
        set_leave_timer(caller, now);
    }
}

void
PlayCaller_StopReading(PlayCaller *caller, KcTime duration, KcTime now)
{
    Play *play = caller->gateway->play;
    PlayAttempt *attempt = TAILQ_LAST(&caller->attempts, PlayAttemptList);

    if (caller->forward == NULL || attempt == NULL || !attempt->has_answered ||
        attempt->is_ended || attempt->cancelled_at != 0) {
        return;
    }
    Play_Trace(play, "caller %u reads nothing for %d ms", caller->number,
               (int)(duration / KC_MS));
    KcForward_SetReadPaused(caller->forward, true, now);
    set_leave_timer(caller, now + duration);
    KcTimers_Set(play->timers, &caller->read_timer, now + duration);
    attempt->unread_until = now + duration + KC_MS;
}

/* ---- answers ------------------------------------------------------------- */

static void
end_caller(PlayCaller *caller)
{
    caller->end_count++;
    caller->forward = NULL;
    KcTimers_Clear(caller->gateway->play->timers, &caller->leave_timer);
    KcTimers_Clear(caller->gateway->play->timers, &caller->read_timer);
}

static void
on_begin(void *context, const void *head, bool stream)
{
    PlayCaller *caller = context;

    (void)head;
    if (caller->has_begun || stream != PlayCaller_IsStream(caller)) {
        Oracle_Break(caller->gateway->play, PLAY_ORDER, caller,
                     "has a second beginning");
    }
    caller->has_begun = true;
}

static void
on_data(void *context, KcBytes bytes)
{
    PlayCaller *caller = context;
    char text[24] = "";

    memcpy(text, bytes.data, bytes.size);
    Oracle_OnData(caller, (uint64_t)atoi(text));
    set_leave_timer(caller, caller->gateway->play->now);
}

static void
on_end(void *context)
{
    end_caller(context);
    Oracle_OnAnswered(context);
}

static void
on_broken(void *context, const KcError *error)
{
    end_caller(context);
    Oracle_OnFailed(context, error->code, true, 0);
}

static void
on_refusal(void *context, const KcForwardRefusal *refusal)
{
    end_caller(context);
    Oracle_OnFailed(context, refusal->error.code, refusal->may_have_run,
                    refusal->retry_after);
}

static const KcForwardOps caller_ops = {on_begin, on_data, on_end, on_broken,
                                        on_refusal};

/* ---- requests ------------------------------------------------------------ */

static PlayCaller *
create_caller(Play *play, KcTime now)
{
    PlayCaller *caller = KcMem_New(sizeof(*caller));

    caller->number = ++play->caller_count;
    snprintf(caller->id, sizeof(caller->id), "r%u", caller->number);
    caller->gateway =
        &play->gateways[Play_Random(play, play->plan->gateway_count)];
    caller->route = &routes[Play_Random(play, ROUTE_COUNT)];
    caller->adapter = (unsigned)Play_Random(play, PLAY_ADAPTER_COUNT);
    caller->event_count = 5 + Play_Random(play, EVENTS_MAX);
    caller->service_time = Play_RandomTime(play, 20 * KC_MS, 700 * KC_MS);
    caller->patience_until = KC_NEVER;
    PlayCaller_SetParts(caller);
    if (Play_Random(play, IMPATIENT_CALLERS) == 0) {
        caller->patience_until =
            now + Play_RandomTime(play, 50 * KC_MS, 4 * KC_SECOND);
    }
    TAILQ_INIT(&caller->attempts);
    KcTimer_Init(&caller->leave_timer, on_leave_timer, caller);
    KcTimer_Init(&caller->read_timer, on_read_timer, caller);
    TAILQ_INSERT_TAIL(&play->callers, caller, link);
    return caller;
}

void
Play_SubmitRequest(Play *play, KcTime now)
{
    PlayCaller *caller = create_caller(play, now);
    KcGateway *gateway = caller->gateway->gateway;
    const KcRouteRule *rule = KcRouting_FindRule(KcGateway_GetRouting(gateway),
                                                 "h", caller->route->path);
    bool is_stream = PlayCaller_IsStream(caller);
    char adapter[8] = "";
    KcForwardCall call = {.id = caller->id,
                          .host = "h",
                          .path = caller->route->path,
                          .model = is_stream ? "m" : "",
                          .adapter = adapter,
                          .prompt_tokens = 100,
                          .parts = caller->parts,
                          .part_count = caller->part_count,
                          .answer_events_max =
                              is_stream ? caller->event_count : 0};
    Foresight foresight;

    if (is_stream) {
        snprintf(adapter, sizeof(adapter), "a%u", caller->adapter);
    }
    caller->deadline = now + rule->request_timeout;
    caller->attempts_max = rule->attempts_max;
    Play_Trace(play, "caller %u comes to g%u: %s %s, %d events, timeout %d ms",
               caller->number, caller->gateway->number, caller->route->path,
               adapter, is_stream ? (int)caller->event_count : 0,
               (int)(rule->request_timeout / KC_MS));
    set_leave_timer(caller, now);
    Foresight_Begin(&foresight, gateway, &call, now);
    KcGateway_Submit(gateway, &call, &caller_ops, caller, &caller->forward,
                     now);
    Foresight_Check(&foresight, caller->forward, NULL, now);
    Foresight_Clear(&foresight);
    Oracle_CheckWaiting(caller->gateway);
}

void
PlayCaller_Free(PlayCaller *caller)
{
    Play *play = caller->gateway->play;
    PlayAttempt *attempt;

    while ((attempt = TAILQ_FIRST(&caller->attempts)) != NULL) {
        TAILQ_REMOVE(&caller->attempts, attempt, link);
        KcTimers_Clear(play->timers, &attempt->connect_timer);
        PlayPipe_Clear(&attempt->requests);
        PlayPipe_Clear(&attempt->answers);
        if (attempt->state == PLAY_ATTEMPT_RUNNING) {
            KcTimers_Clear(play->timers, &attempt->step_timer);
        }
        free(attempt);
    }
    KcTimers_Clear(play->timers, &caller->leave_timer);
    KcTimers_Clear(play->timers, &caller->read_timer);
    free(caller);
}
