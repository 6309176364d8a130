/*
 * A play of the queue of one service: its policies, and callers and places in
 * steps of 1 ms.
 */
#include "queue_play.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define TICK (1 * KC_MS)
#define PLAY_TIME (20 * KC_SECOND)
#define FIXED_LENGTH 20
#define LARGE_FACTOR 6

/* ---- policies ------------------------------------------------------------ */

static bool
is_before_fcfs(const QueuePlay *play, const QueueRequest *a,
               const QueueRequest *b)
{
    (void)play;
    return a->queued.arrived_at < b->queued.arrived_at;
}

static bool
is_before_priority(const QueuePlay *play, const QueueRequest *a,
                   const QueueRequest *b)
{
    return a->queued.urgency != b->queued.urgency
               ? a->queued.urgency < b->queued.urgency
               : is_before_fcfs(play, a, b);
}

static bool
is_before_kcc(const QueuePlay *play, const QueueRequest *a,
              const QueueRequest *b)
{
    return KcQueued_IsBefore(&a->queued, &b->queued, play->pace.first_byte,
                             play->now);
}

static bool
is_before_lateness(const QueuePlay *play, const QueueRequest *a,
                   const QueueRequest *b)
{
    KcTime first_byte = play->pace.first_byte;
    bool is_in_time = KcQueued_IsInTime(&a->queued, first_byte, play->now);

    return is_in_time != KcQueued_IsInTime(&b->queued, first_byte, play->now)
               ? is_in_time
               : is_before_kcc(play, a, b);
}

/* The least work first. */
static bool
is_before_shortest(const QueuePlay *play, const QueueRequest *a,
                   const QueueRequest *b)
{
    return a->work != b->work ? a->work < b->work : is_before_kcc(play, a, b);
}

static bool
may_wait_for_ever(QueuePlay *play, QueueRequest *request, uint32_t place)
{
    (void)place;
    request->due_at = request->queued.deadline;
    return play->now < request->queued.deadline;
}

static bool
may_wait_in_short_queue(QueuePlay *play, QueueRequest *request, uint32_t place)
{
    return play->length < FIXED_LENGTH &&
           may_wait_for_ever(play, request, place);
}

static bool
may_wait_an_eighth(QueuePlay *play, QueueRequest *request, uint32_t place)
{
    (void)place;
    request->due_at =
        request->queued.arrived_at + KcWait_Min(request->objective);
    return play->now < request->due_at;
}

static bool
may_wait_kcc(QueuePlay *play, QueueRequest *request, uint32_t place)
{
    KcWaitInput input = {.queued = &request->queued,
                         .objective = request->objective,
                         .place = place,
                         .pace = &play->pace};
    KcWaitDecision decision;

    KcWait_Decide(&input, play->now, &decision);
    request->due_at = decision.until;
    return decision.verdict == KC_WAIT_ON;
}

static KcTime
retry_after_constant(QueuePlay *play, const QueueRequest *request)
{
    (void)play;
    (void)request;
    return KC_RETRY_AFTER_DEFAULT;
}

static KcTime
retry_after_kcc(QueuePlay *play, const QueueRequest *request)
{
    return KcQueuePace_RetryAfter(&play->pace, play->length,
                                  request->queued.deadline - play->now,
                                  play->now);
}

const QueuePolicy QueuePlay_Policies[] = {
    {"first come first served", is_before_fcfs, may_wait_for_ever,
     retry_after_constant, false},
    {"fixed length", is_before_priority, may_wait_in_short_queue,
     retry_after_constant, false},
    {"an eighth of the objective", is_before_priority, may_wait_an_eighth,
     retry_after_constant, false},
    {"constant Retry-After", is_before_kcc, may_wait_kcc, retry_after_constant,
     true},
    {"kcc", is_before_kcc, may_wait_kcc, retry_after_kcc, true},
    {"in time before urgent", is_before_lateness, may_wait_kcc,
     retry_after_kcc, true},
    {"least work first", is_before_shortest, may_wait_kcc, retry_after_kcc,
     true},
    {"kcc without customers", is_before_kcc, may_wait_kcc, retry_after_kcc,
     false},
};

/* ---- requests ------------------------------------------------------------ */

static void
add_request(QueuePlay *play, const QueueStream *stream, KcTime at)
{
    QueueRequest *request = &play->requests[play->request_count];
    uint32_t number = play->request_count++;

    g_assert_cmpuint(play->request_count, <=, REQUESTS_MAX);
    *request = (QueueRequest){.objective = stream->objective,
                              .first_at = at,
                              .due_at = at,
                              .work = stream->work,
                              .customer = stream->customer >= 0
                                              ? stream->customer
                                              : (int)(number % CUSTOMERS)};
    if (stream->large_every > 0 &&
        number % (uint32_t)stream->large_every == 0) {
        request->work *= LARGE_FACTOR;
    }
    request->queued.urgency = stream->urgency;
    request->queued.in_time_until = at + stream->objective;
    request->queued.deadline = at + stream->deadline;
}

/* A time below the limit; not of a clump. */
static KcTime
draw(QueuePlay *play, KcTime limit)
{
    play->random = play->random * 6364136223846793005ULL + 1;
    return limit < CLUMP_INTERVAL ? (KcTime)(play->random >> 33) % limit : 0;
}

void
QueuePlay_AddLoad(QueuePlay *play, const QueueLoad *load)
{
    for (size_t i = 0; i < G_N_ELEMENTS(load->streams); i++) {
        const QueueStream *stream = &load->streams[i];

        for (KcTime at = stream->from; at < stream->until;
             at += stream->interval) {
            for (int k = 0; k < stream->count; k++) {
                add_request(play, stream,
                            at + KC_SECOND + draw(play, stream->interval));
            }
        }
    }
}

/* ---- the play ------------------------------------------------------------ */

static void
customer_name(const QueueRequest *request, char *name, size_t size)
{
    g_snprintf(name, size, "c%d", request->customer);
}

static void
take_turn(QueuePlay *play, QueueRequest *request)
{
    char name[8];

    customer_name(request, name, sizeof(name));
    KcQueuePace_Begin(&play->pace, play->now);
    if (play->policy->has_customers) {
        request->queued.turn = KcTurns_Take(&play->turns, name,
                                            (uint64_t)(request->work / KC_MS));
    }
}

static void
start(QueuePlay *play, QueueRequest *request)
{
    request->state = STATE_RUNNING;
    request->due_at = play->now + request->work;
    play->running++;
    KcQueuePace_NoteServed(&play->pace, play->now);
    KcTurns_NoteServed(&play->turns, request->queued.turn);
}

static void
refuse(QueuePlay *play, QueueRequest *request)
{
    char name[8];
    KcTime left = request->queued.deadline - play->now;
    KcTime delay;

    customer_name(request, name, sizeof(name));
    KcTurns_GiveBack(&play->turns, name, (uint64_t)(request->work / KC_MS));
    request->state = STATE_ENDED;
    if (request->attempts < 2 && left > 0) {
        delay = play->policy->retry_after(play, request);
        request->state = STATE_AWAY;
        request->due_at = play->now + (delay < left / 3 ? delay : left / 3);
    }
}

/* Queues the request, or refuses it. */
static void
enqueue(QueuePlay *play, QueueRequest *request)
{
    QueueRequest *earlier;
    uint32_t place = play->length;

    TAILQ_FOREACH_REVERSE(earlier, &play->queue, QueueRequestList, link)
    {
        if (!play->policy->is_before(play, request, earlier)) {
            break;
        }
        place--;
    }
    if (!play->policy->may_wait(play, request, place)) {
        refuse(play, request);
        return;
    }
    request->state = STATE_QUEUED;
    play->length++;
    if (earlier != NULL) {
        TAILQ_INSERT_AFTER(&play->queue, earlier, request, link);
    }
    else {
        TAILQ_INSERT_HEAD(&play->queue, request, link);
    }
}

static void
leave_queue(QueuePlay *play, QueueRequest *request)
{
    TAILQ_REMOVE(&play->queue, request, link);
    play->length--;
}

static bool
has_room(const QueuePlay *play)
{
    return !play->is_down && play->running < play->slots;
}

static void
end_run(QueuePlay *play, QueueRequest *request)
{
    request->state = STATE_ENDED;
    play->running--;
    KcQueuePace_NoteFirstByte(&play->pace, request->work);
    if (play->now <= request->queued.in_time_until) {
        request->worth = 1;
    }
    else if (play->now <= request->queued.deadline) {
        request->worth = LATE_WORTH;
    }
}

/* Handles what is due at the request. */
static void
handle_due(QueuePlay *play, QueueRequest *request)
{
    switch (request->state) {
    case STATE_RUNNING:
        end_run(play, request);
        break;
    case STATE_AWAY:
        request->attempts++;
        request->queued.arrived_at = play->now;
        take_turn(play, request);
        enqueue(play, request);
        break;
    case STATE_QUEUED:
        leave_queue(play, request);
        enqueue(play, request);
        break;
    case STATE_ENDED:
        break;
    }
}

static void
dispatch(QueuePlay *play)
{
    QueueRequest *request;

    while (has_room(play) && (request = TAILQ_FIRST(&play->queue)) != NULL) {
        leave_queue(play, request);
        start(play, request);
    }
    if (TAILQ_EMPTY(&play->queue)) {
        KcQueuePace_End(&play->pace);
        KcTurns_Clear(&play->turns);
    }
}

QueuePlay *
QueuePlay_Run(const QueuePolicy *policy, const QueueLoad *load)
{
    QueuePlay *play = g_new0(QueuePlay, 1);

    play->policy = policy;
    play->slots = load->slots;
    TAILQ_INIT(&play->queue);
    QueuePlay_AddLoad(play, load);
    for (play->now = KC_SECOND; play->now < PLAY_TIME; play->now += TICK) {
        play->is_down = play->now >= load->down_from + KC_SECOND &&
                        play->now < load->down_until + KC_SECOND;
        for (uint32_t i = 0; i < play->request_count; i++) {
            QueueRequest *request = &play->requests[i];

            if (request->state != STATE_ENDED &&
                request->due_at <= play->now) {
                handle_due(play, request);
            }
        }
        dispatch(play);
    }
    KcTurns_Clear(&play->turns);
    return play;
}
