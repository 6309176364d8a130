/*
 * The clock, the pipes and the course of a play.
 */
#include "play.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Requests and troubles end this long before the play, which is longer than
 * any request may take. */
#define REST_TIME (20 * KC_SECOND)
#define BEAT_INTERVAL (1 * KC_SECOND)

/* ---- chance and trace ---------------------------------------------------- */

uint64_t
Play_Random(Play *play, uint64_t limit)
{
    uint64_t value = play->random_state += 0x9e3779b97f4a7c15ULL;

    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return (value ^ (value >> 31)) % limit;
}

KcTime
Play_RandomTime(Play *play, KcTime low, KcTime high)
{
    return low + (KcTime)Play_Random(play, (uint64_t)(high - low) + 1);
}

void
Play_Trace(Play *play, const char *format, ...)
{
    va_list arguments;

    if (play->trace == NULL) {
        return;
    }
    fprintf(play->trace, "%8.3f  ",
            (double)(play->now - play->started_at) / KC_SECOND);
    va_start(arguments, format);
    vfprintf(play->trace, format, arguments);
    va_end(arguments);
    fputc('\n', play->trace);
}

/* ---- pipes --------------------------------------------------------------- */

static void
set_pipe_timer(PlayPipe *pipe)
{
    const PlayMessage *first = TAILQ_FIRST(&pipe->messages);

    if (first != NULL) {
        KcTimers_Set(pipe->play->timers, &pipe->timer,
                     first->due_at > *pipe->stopped_until
                         ? first->due_at
                         : *pipe->stopped_until);
    }
}

static void
on_pipe_timer(KcTimer *timer, KcTime now)
{
    PlayPipe *pipe = timer->owner;
    PlayMessage *message;

    while ((message = TAILQ_FIRST(&pipe->messages)) != NULL &&
           message->due_at <= now && *pipe->stopped_until <= now) {
        TAILQ_REMOVE(&pipe->messages, message, link);
        message->deliver(message, now);
        KcRouting_Release(message->routing);
        free(message);
    }
    set_pipe_timer(pipe);
}

void
PlayPipe_Init(PlayPipe *pipe, Play *play, const KcTime *stopped_until)
{
    pipe->play = play;
    pipe->stopped_until = stopped_until;
    TAILQ_INIT(&pipe->messages);
    KcTimer_Init(&pipe->timer, on_pipe_timer, pipe);
}

void
PlayPipe_Send(PlayPipe *pipe, const PlayMessage *message, KcTime delay)
{
    PlayMessage *copy = KcMem_New(sizeof(*copy));

    *copy = *message;
    copy->due_at = pipe->play->now + delay;
    TAILQ_INSERT_TAIL(&pipe->messages, copy, link);
    set_pipe_timer(pipe);
}

void
PlayPipe_Clear(PlayPipe *pipe)
{
    PlayMessage *message;

    KcTimers_Clear(pipe->play->timers, &pipe->timer);
    while ((message = TAILQ_FIRST(&pipe->messages)) != NULL) {
        TAILQ_REMOVE(&pipe->messages, message, link);
        KcRouting_Release(message->routing);
        free(message);
    }
}

/* ---- the course of a play ------------------------------------------------ */

static bool
is_open(const Play *play, KcTime now)
{
    return now < play->started_at + play->plan->duration;
}

static void
on_request_timer(KcTimer *timer, KcTime now)
{
    Play *play = timer->owner;

    if (is_open(play, now)) {
        Play_SubmitRequest(play, now);
        KcTimers_Set(
            play->timers, timer,
            now + Play_RandomTime(play, 0, 2 * play->plan->request_interval));
    }
}

static void
on_beat_timer(KcTimer *timer, KcTime now)
{
    Play *play = timer->owner;

    for (unsigned i = 0; i < play->server_count; i++) {
        PlayServer *server = &play->servers[i];

        if (now >= server->record_back_at && now >= server->paused_until) {
            server->has_record = true;
            server->revision++;
            PlayStore_SendRecord(server);
        }
    }
    if (is_open(play, now)) {
        KcTimers_Set(play->timers, timer, now + BEAT_INTERVAL);
    }
}

static void
on_trouble_timer(KcTimer *timer, KcTime now)
{
    PlayTroubleTimer *trouble_timer = timer->owner;
    Play *play = trouble_timer->play;
    KcTime interval = trouble_timer->trouble->interval;

    if (is_open(play, now)) {
        trouble_timer->trouble->strike(play, now);
        if (interval > 0) {
            KcTimers_Set(play->timers, timer,
                         now + Play_RandomTime(play, 0, 2 * interval));
        }
    }
}

static void
start_troubles(Play *play)
{
    const PlayTrouble *trouble = play->plan->troubles;

    for (unsigned i = 0; trouble[i].strike != NULL; i++) {
        PlayTroubleTimer *timer = &play->trouble_timers[i];
        KcTime first_at = trouble[i].first_at;

        timer->play = play;
        timer->trouble = &trouble[i];
        KcTimer_Init(&timer->timer, on_trouble_timer, timer);
        if (first_at == 0) {
            first_at = Play_RandomTime(play, 0, trouble[i].interval);
        }
        KcTimers_Set(play->timers, &timer->timer, play->now + first_at);
    }
}

static void
start_play(Play *play, const PlayPlan *plan, uint64_t seed, FILE *trace)
{
    play->plan = plan;
    play->trace = trace;
    play->random_state = seed;
    play->now = 100 * KC_SECOND;
    play->started_at = play->now;
    play->timers = KcTimers_Create(play->now);
    play->server_count = plan->model_server_count + plan->plain_server_count;
    TAILQ_INIT(&play->callers);
    for (unsigned i = 0; i < play->server_count; i++) {
        PlayServer_Init(play, i);
    }
    play->routing = Play_CreateRouting(play);
    for (unsigned i = 0; i < plan->gateway_count; i++) {
        PlayGateway_Init(play, i);
    }
    for (unsigned i = 0; i < play->server_count; i++) {
        PlayStore_SendAllReports(&play->servers[i]);
    }
    KcTimer_Init(&play->request_timer, on_request_timer, play);
    KcTimers_Set(play->timers, &play->request_timer, play->now + KC_SECOND);
    KcTimer_Init(&play->beat_timer, on_beat_timer, play);
    KcTimers_Set(play->timers, &play->beat_timer, play->now + BEAT_INTERVAL);
    start_troubles(play);
}

static void
end_play(Play *play)
{
    PlayCaller *caller;

    for (unsigned i = 0; i < play->plan->gateway_count; i++) {
        PlayGateway_Free(&play->gateways[i]);
    }
    while ((caller = TAILQ_FIRST(&play->callers)) != NULL) {
        TAILQ_REMOVE(&play->callers, caller, link);
        PlayCaller_Free(caller);
    }
    KcRouting_Release(play->routing);
    KcTimers_Free(play->timers);
}

void
Play_Run(const PlayPlan *plan, uint64_t seed, FILE *trace,
         PlayFindings *findings)
{
    static Play play;
    KcTime until;

    memset(&play, 0, sizeof(play));
    memset(findings, 0, sizeof(*findings));
    play.findings = findings;
    start_play(&play, plan, seed, trace);
    until = play.started_at + plan->duration + REST_TIME;
    while (play.now < until) {
        KcTime next = KcTimers_NextDue(play.timers);

        play.now = next < until ? next : until;
        KcTimers_Run(play.timers, play.now);
    }
    Oracle_CheckEnd(&play);
    end_play(&play);
}
