/*
 * What must hold in every play.
 *
 * All servers are sound, see PLAY_SOUND_PAUSE_MAX, so a gateway has no reason
 * of its own to end an answer.
 */
#include "play.h"

void
Oracle_Break(Play *play, PlayPromise promise, const PlayCaller *caller,
             const char *problem)
{
    char text[sizeof(play->findings[0])];

    snprintf(text, sizeof(text), "%.3f s: request %u on %s at g%u %s",
             (double)(play->now - play->started_at) / KC_SECOND,
             caller->number, caller->route->path, caller->gateway->number,
             problem);
    Play_Trace(play, "broken promise: %s", text);
    if (play->findings[promise][0] == '\0') {
        KcText_Copy(play->findings[promise], text, sizeof(text));
    }
}

static void
break_at(const PlayAttempt *attempt, PlayPromise promise, const char *problem)
{
    Oracle_Break(attempt->server->play, promise, attempt->caller, problem);
}

static bool
is_open(const PlayAttempt *attempt)
{
    return !attempt->is_ended && attempt->cancelled_at == 0;
}

static bool
is_repeatable(const PlayCaller *caller)
{
    return caller->route->kind == KC_REQUEST_KIND_SAFE ||
           caller->route->resumable;
}

void
Oracle_OnStart(const PlayAttempt *attempt)
{
    const PlayCaller *caller = attempt->caller;
    const PlayAttempt *other;

    if (caller->has_left || caller->end_count > 0) {
        break_at(attempt, PLAY_ENDS, "was sent after its end");
    }
    if (attempt->next_event_id != caller->last_event_id + 1) {
        break_at(attempt, PLAY_ORDER, "goes on at the wrong event");
    }
    TAILQ_FOREACH (other, &caller->attempts, link) {
        if (other != attempt && is_open(other)) {
            break_at(attempt, PLAY_RUNS, "was sent twice at a time");
        }
    }
}

void
Oracle_OnRun(const PlayAttempt *attempt)
{
    const PlayCaller *caller = attempt->caller;
    const PlayAttempt *other;

    if (caller->is_not_run) {
        break_at(attempt, PLAY_RUNS, "runs after it was refused as not run");
    }
    TAILQ_FOREACH (other, &caller->attempts, link) {
        if (other != attempt && other->has_run && !is_repeatable(caller)) {
            break_at(attempt, PLAY_RUNS, "runs twice");
        }
    }
}

void
Oracle_OnData(PlayCaller *caller, uint64_t event_id)
{
    Play *play = caller->gateway->play;

    if (caller->has_left || caller->end_count > 0) {
        Oracle_Break(play, PLAY_ENDS, caller, "has data after its end");
    }
    if (caller->route->kind == KC_REQUEST_KIND_STREAM &&
        event_id != caller->last_event_id + 1) {
        Oracle_Break(play, PLAY_ORDER, caller, "has an event out of order");
    }
    caller->last_event_id = event_id;
}

void
Oracle_OnClosed(const PlayCaller *caller)
{
    const PlayAttempt *attempt;

    if (caller->end_count + caller->has_left != 1) {
        Oracle_Break(caller->gateway->play, PLAY_ENDS, caller, "ended twice");
    }
    TAILQ_FOREACH (attempt, &caller->attempts, link) {
        if (is_open(attempt)) {
            break_at(attempt, PLAY_ENDS, "has ended, but its attempt has not");
        }
    }
}

void
Oracle_OnAnswered(const PlayCaller *caller)
{
    Oracle_OnClosed(caller);
    if (caller->route->kind == KC_REQUEST_KIND_STREAM &&
        caller->last_event_id != caller->event_count) {
        Oracle_Break(caller->gateway->play, PLAY_ORDER, caller,
                     "has ended before its last event");
    }
}

/* Reports an answer that a gateway has ended of its own accord. */
static void
break_ended(const PlayAttempt *attempt)
{
    const PlayCaller *caller = attempt->caller;
    Play *play = attempt->server->play;
    char problem[200];

    snprintf(problem, sizeof(problem),
             "was ended (%s) while %s is sound, where it %s and was cancelled "
             "%d ms before, after a silence of the server of %d ms; the "
             "caller has had %d events",
             caller->error_step, attempt->server->id,
             attempt->has_run ? "had run" : "had waited",
             (int)((play->now - attempt->cancelled_at) / KC_MS),
             (int)(attempt->silence / KC_MS), (int)caller->last_event_id);
    break_at(attempt, PLAY_KEPT, problem);
}

void
Oracle_OnFailed(PlayCaller *caller, bool may_have_run)
{
    Play *play = caller->gateway->play;
    const PlayAttempt *attempt;

    Oracle_OnClosed(caller);
    caller->is_not_run = !may_have_run;
    TAILQ_FOREACH_REVERSE(attempt, &caller->attempts, PlayAttemptList, link)
    {
        if (attempt->has_run && !may_have_run) {
            break_at(attempt, PLAY_RUNS,
                     "was refused as not run, but has run");
        }
        if (attempt->cancelled_at != 0 && play->now < caller->deadline) {
            break_ended(attempt);
            return;
        }
    }
}

void
Oracle_CheckEnd(Play *play)
{
    const PlayCaller *caller;
    const PlayAttempt *attempt;

    TAILQ_FOREACH (caller, &play->callers, link) {
        Oracle_OnClosed(caller);
        TAILQ_FOREACH (attempt, &caller->attempts, link) {
            if (attempt->state != PLAY_ATTEMPT_OVER) {
                break_at(attempt, PLAY_ENDS, "is still at its server");
            }
        }
    }
}
