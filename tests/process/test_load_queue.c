/*
 * A play of the queue of one service, without network: what callers get by
 * kind, size and customer, beside other policies and, on small cases, the best
 * that is possible.
 *
 * The service has SLOTS places; a request holds one for its work, and its
 * answer begins at the end.  An answer is worth 1 within the objective,
 * counted from the caller's first attempt, and LATE_WORTH up to its deadline.
 * A caller that is refused comes back once, after the time that it was told,
 * but after a third of its time left at the most.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"

#define SLOTS 10
#define LATE_WORTH 0.3
#define REQUESTS_MAX 8192
#define CUSTOMERS 16
#define URGENCIES 2
#define TICK (1 * KC_MS)
#define PLAY_TIME (20 * KC_SECOND)
#define FIXED_LENGTH 20

typedef enum State {
    STATE_AWAY = 0, /* not arrived yet, or coming back */
    STATE_QUEUED,
    STATE_RUNNING,
    STATE_ENDED
} State;

typedef struct Request {
    TAILQ_ENTRY(Request) link; /* Play.queue */
    State state;
    KcQueued queued;
    KcTime objective;
    KcTime first_at; /* of its first attempt */
    KcTime due_at;   /* arrives, decides again, or ends its run */
    KcTime work;
    int customer;
    int attempts;
    double worth;
} Request;

TAILQ_HEAD(RequestList, Request);

typedef struct Play {
    const struct Policy *policy;
    KcTime now;
    struct RequestList queue;
    uint32_t length;
    uint32_t running;
    uint32_t slots;
    bool is_down; /* no place can be used */
    KcQueuePace pace;
    KcTurns turns;
    Request requests[REQUESTS_MAX];
    uint32_t request_count;
    uint64_t random;
} Play;

/* ---- policies ------------------------------------------------------------ */

typedef struct Policy {
    const char *name;
    bool (*is_before)(const Play *play, const Request *a, const Request *b);
    /* False if the request is refused; sets due_at otherwise. */
    bool (*may_wait)(Play *play, Request *request, uint32_t place);
    KcTime (*retry_after)(Play *play, const Request *request);
    bool has_customers; /* are there any in the configuration? */
} Policy;

static bool
is_before_fcfs(const Play *play, const Request *a, const Request *b)
{
    (void)play;
    return a->queued.arrived_at < b->queued.arrived_at;
}

static bool
is_before_priority(const Play *play, const Request *a, const Request *b)
{
    return a->queued.urgency != b->queued.urgency
               ? a->queued.urgency < b->queued.urgency
               : is_before_fcfs(play, a, b);
}

static bool
is_before_kcc(const Play *play, const Request *a, const Request *b)
{
    return KcQueued_IsBefore(&a->queued, &b->queued, play->pace.first_byte,
                             play->now);
}

static bool
is_before_lateness(const Play *play, const Request *a, const Request *b)
{
    KcTime first_byte = play->pace.first_byte;
    bool is_in_time = KcQueued_IsInTime(&a->queued, first_byte, play->now);

    return is_in_time != KcQueued_IsInTime(&b->queued, first_byte, play->now)
               ? is_in_time
               : is_before_kcc(play, a, b);
}

/* The least work first. */
static bool
is_before_shortest(const Play *play, const Request *a, const Request *b)
{
    return a->work != b->work ? a->work < b->work : is_before_kcc(play, a, b);
}

static bool
may_wait_for_ever(Play *play, Request *request, uint32_t place)
{
    (void)place;
    request->due_at = request->queued.deadline;
    return play->now < request->queued.deadline;
}

static bool
may_wait_in_short_queue(Play *play, Request *request, uint32_t place)
{
    return play->length < FIXED_LENGTH &&
           may_wait_for_ever(play, request, place);
}

static bool
may_wait_an_eighth(Play *play, Request *request, uint32_t place)
{
    (void)place;
    request->due_at =
        request->queued.arrived_at + KcWait_Min(request->objective);
    return play->now < request->due_at;
}

static bool
may_wait_kcc(Play *play, Request *request, uint32_t place)
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
retry_after_constant(Play *play, const Request *request)
{
    (void)play;
    (void)request;
    return KC_RETRY_AFTER_DEFAULT;
}

static KcTime
retry_after_kcc(Play *play, const Request *request)
{
    return KcQueuePace_RetryAfter(&play->pace, play->length,
                                  request->queued.deadline - play->now,
                                  play->now);
}

static const Policy policies[] = {
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

#define POLICY_COUNT G_N_ELEMENTS(policies)
enum { FCFS = 0, FIXED, EIGHTH, CONSTANT, KCC, LATENESS, SHORTEST, PLAIN };

/* ---- loads --------------------------------------------------------------- */

/* Requests of one kind and customer: COUNT at each INTERVAL. */
typedef struct Stream {
    int customer; /* -1: each of the customers by turns */
    uint32_t urgency;
    KcTime from;
    KcTime until;
    KcTime interval;
    int count;
    KcTime work;
    KcTime objective;
    KcTime deadline;
    int large_every; /* each so many has LARGE_FACTOR times the work; 0: none
                      */
} Stream;

#define LARGE_FACTOR 6
/* Requests at so long an interval come together. */
#define CLUMP_INTERVAL (500 * KC_MS)

typedef struct Load {
    const char *name;
    uint32_t slots;
    KcTime down_from; /* no place can be used meanwhile */
    KcTime down_until;
    Stream streams[6];
} Load;

#define MS KC_MS
/* 10 places and 50 ms of work: 200 requests a second are as many as can be. */
#define KIND(CUSTOMER, URGENCY, FROM, UNTIL, INTERVAL, COUNT)                 \
    {                                                                         \
        (CUSTOMER), (URGENCY), (FROM)*MS, (UNTIL)*MS, (INTERVAL)*MS, (COUNT), \
            50 * MS, 400 * MS, 2500 * MS, 0                                   \
    }

static const Load loads[] = {
    {"light", SLOTS, 0, 0, {KIND(-1, 0, 0, 10000, 10, 1)}},
    {"burst",
     SLOTS,
     0,
     0,
     {KIND(-1, 0, 0, 10000, 10, 1), KIND(-1, 0, 3000, 5000, 10, 2)}},
    {"wave",
     SLOTS,
     0,
     0,
     {KIND(-1, 0, 0, 10000, 10, 1), KIND(-1, 0, 1000, 3000, 20, 3),
      KIND(-1, 0, 6000, 8000, 20, 3)}},
    {"clumps", SLOTS, 0, 0, {KIND(-1, 0, 0, 10000, 500, 80)}},
    {"outage", SLOTS, 3000 * MS, 4300 * MS, {KIND(-1, 0, 0, 10000, 6, 1)}},
    {"usual", SLOTS, 0, 0, {KIND(-1, 0, 0, 10000, 6, 1)}},
    {"hot customer",
     SLOTS,
     0,
     0,
     {KIND(-1, 0, 0, 10000, 6, 1), KIND(0, 0, 2000, 8000, 16, 1)}},
    {"two urgencies",
     SLOTS,
     0,
     0,
     {KIND(-1, 0, 0, 10000, 10, 1), KIND(-1, 1, 2000, 8000, 10, 2)}},
    {"mixed sizes",
     SLOTS,
     0,
     0,
     {{-1, 0, 0, 10000 * MS, 10 * MS, 1, 50 * MS, 400 * MS, 2500 * MS, 10},
      KIND(-1, 0, 2000, 8000, 10, 1)}},
};

enum { LIGHT = 0, BURST, WAVE, CLUMPS, OUTAGE, USUAL, HOT, URGENT, MIXED };

static void
add_request(Play *play, const Stream *stream, KcTime at)
{
    Request *request = &play->requests[play->request_count];
    uint32_t number = play->request_count++;

    g_assert_cmpuint(play->request_count, <=, REQUESTS_MAX);
    *request = (Request){.objective = stream->objective,
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
draw(Play *play, KcTime limit)
{
    play->random = play->random * 6364136223846793005ULL + 1;
    return limit < CLUMP_INTERVAL ? (KcTime)(play->random >> 33) % limit : 0;
}

static void
add_load(Play *play, const Load *load)
{
    for (size_t i = 0; i < G_N_ELEMENTS(load->streams); i++) {
        const Stream *stream = &load->streams[i];

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
customer_name(const Request *request, char *name, size_t size)
{
    g_snprintf(name, size, "c%d", request->customer);
}

static void
take_turn(Play *play, Request *request)
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
start(Play *play, Request *request)
{
    request->state = STATE_RUNNING;
    request->due_at = play->now + request->work;
    play->running++;
    KcQueuePace_NoteServed(&play->pace, play->now);
    KcTurns_NoteServed(&play->turns, request->queued.turn);
}

static void
refuse(Play *play, Request *request)
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
enqueue(Play *play, Request *request)
{
    Request *earlier;
    uint32_t place = play->length;

    TAILQ_FOREACH_REVERSE(earlier, &play->queue, RequestList, link)
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
leave_queue(Play *play, Request *request)
{
    TAILQ_REMOVE(&play->queue, request, link);
    play->length--;
}

static bool
has_room(const Play *play)
{
    return !play->is_down && play->running < play->slots;
}

static void
end_run(Play *play, Request *request)
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
handle_due(Play *play, Request *request)
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
dispatch(Play *play)
{
    Request *request;

    while (has_room(play) && (request = TAILQ_FIRST(&play->queue)) != NULL) {
        leave_queue(play, request);
        start(play, request);
    }
    if (TAILQ_EMPTY(&play->queue)) {
        KcQueuePace_End(&play->pace);
        KcTurns_Clear(&play->turns);
    }
}

static Play *
play_load(const Policy *policy, const Load *load)
{
    Play *play = g_new0(Play, 1);

    play->policy = policy;
    play->slots = load->slots;
    TAILQ_INIT(&play->queue);
    add_load(play, load);
    for (play->now = KC_SECOND; play->now < PLAY_TIME; play->now += TICK) {
        play->is_down = play->now >= load->down_from + KC_SECOND &&
                        play->now < load->down_until + KC_SECOND;
        for (uint32_t i = 0; i < play->request_count; i++) {
            Request *request = &play->requests[i];

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

/* ---- what callers get ---------------------------------------------------- */

/* Mean worth of the requests that match; customer, urgency and size: -1 for
 * any. */
static double
mean_worth(const Play *play, int customer, int urgency, int is_large)
{
    double worth = 0;
    int count = 0;

    for (uint32_t i = 0; i < play->request_count; i++) {
        const Request *request = &play->requests[i];

        if ((customer >= 0 && request->customer != customer) ||
            (urgency >= 0 && (int)request->queued.urgency != urgency) ||
            (is_large >= 0 && (request->work > 50 * MS) != (is_large == 1))) {
            continue;
        }
        worth += request->worth;
        count++;
    }
    return count > 0 ? worth / count : 0;
}

static double
worth_of_all(const Play *play)
{
    return mean_worth(play, -1, -1, -1);
}

static double
worth_of_urgent(const Play *play)
{
    return mean_worth(play, -1, 0, -1);
}

static double
worth_of_large(const Play *play)
{
    return mean_worth(play, -1, -1, 1);
}

/* The worst of the customers that send their usual. */
static double
worth_of_neighbours(const Play *play)
{
    double worst = 1;

    for (int i = 1; i < CUSTOMERS; i++) {
        double worth = mean_worth(play, i, -1, -1);

        worst = worth < worst ? worth : worst;
    }
    return worst;
}

static double
worth_of_hot(const Play *play)
{
    return mean_worth(play, 0, -1, -1);
}

/* ---- claims -------------------------------------------------------------- */

/* What callers get by the policy of the product is at least what another
 * policy gives them, and at least a share of what the same callers get there.
 */
typedef struct Claim {
    const char *name;
    int load;
    double (*measure)(const Play *play);
    int other_policy;
    int other_load;
    double (*other_measure)(const Play *play);
    double factor;
} Claim;

static const Claim claims[] = {
    {"light load: nothing is lost", LIGHT, worth_of_all, EIGHTH, LIGHT,
     worth_of_all, 1},
    {"burst: more than first come first served", BURST, worth_of_all, FCFS,
     BURST, worth_of_all, 1.1},
    {"burst: as much as a fixed length", BURST, worth_of_all, FIXED, BURST,
     worth_of_all, 1},
    {"burst: as much as an eighth", BURST, worth_of_all, EIGHTH, BURST,
     worth_of_all, 1},
    {"wave: as much as an eighth", WAVE, worth_of_all, EIGHTH, WAVE,
     worth_of_all, 1},
    {"clumps: more than an eighth", CLUMPS, worth_of_all, EIGHTH, CLUMPS,
     worth_of_all, 1.1},
    {"outage: more than first come first served", OUTAGE, worth_of_all, FCFS,
     OUTAGE, worth_of_all, 1.1},
    {"outage: as much as an eighth", OUTAGE, worth_of_all, EIGHTH, OUTAGE,
     worth_of_all, 1},
    {"outage: as much as with a constant Retry-After", OUTAGE, worth_of_all,
     CONSTANT, OUTAGE, worth_of_all, 1},
    {"hot customer: its neighbours get what they get without it", HOT,
     worth_of_neighbours, KCC, USUAL, worth_of_neighbours, 0.95},
    {"hot customer: its neighbours get more than by an eighth", HOT,
     worth_of_neighbours, EIGHTH, HOT, worth_of_neighbours, 1.1},
    {"hot customer: it gets over a quarter of what all get", HOT, worth_of_hot,
     KCC, HOT, worth_of_all, 0.25},
    {"two urgencies: the urgent ones get what they get alone", URGENT,
     worth_of_urgent, KCC, LIGHT, worth_of_all, 0.95},
    {"mixed sizes: the large ones get over half of what all get", MIXED,
     worth_of_large, KCC, MIXED, worth_of_all, 0.5},
};

static void
test_claim(gconstpointer data)
{
    const Claim *claim = &claims[GPOINTER_TO_SIZE(data)];
    Play *play = play_load(&policies[KCC], &loads[claim->load]);
    Play *other =
        play_load(&policies[claim->other_policy], &loads[claim->other_load]);
    double worth = claim->measure(play);
    double other_worth = claim->other_measure(other);

    g_test_message("%.3f against %.3f by %s", worth, other_worth,
                   policies[claim->other_policy].name);
    g_assert_cmpfloat(worth, >=, other_worth * claim->factor);
    g_free(play);
    g_free(other);
}

/* Prints the table for docs/MEASUREMENTS.md. */
static void
print_table(void)
{
    for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
        for (size_t i = 0; i < POLICY_COUNT; i++) {
            Play *play = play_load(&policies[i], &loads[k]);

            g_print("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f |\n",
                    loads[k].name, policies[i].name, worth_of_all(play),
                    worth_of_urgent(play), worth_of_large(play),
                    worth_of_neighbours(play), worth_of_hot(play));
            g_free(play);
        }
    }
}

/* ---- the best that is possible ------------------------------------------- */

#define ONE(AT, WORK, OBJECTIVE, DEADLINE)                                    \
    {                                                                         \
        0, 0, (AT)*MS, (AT + 1) * MS, CLUMP_INTERVAL, 1, (WORK)*MS,           \
            (OBJECTIVE)*MS, (DEADLINE)*MS, 0                                  \
    }

/* Few requests at one place. */
static const Load small_loads[] = {
    {"all can be in time",
     1,
     0,
     0,
     {ONE(0, 50, 400, 2500), ONE(0, 50, 400, 2500), ONE(0, 50, 400, 2500),
      ONE(0, 50, 400, 2500), ONE(0, 50, 400, 2500), ONE(0, 50, 400, 2500)}},
    {"the short objective goes first",
     1,
     0,
     0,
     {ONE(0, 20, 800, 2500), ONE(1, 50, 800, 2500), ONE(2, 50, 800, 2500),
      ONE(3, 20, 400, 2500), ONE(4, 50, 800, 2500), ONE(5, 20, 400, 2500)}},
    {"not all can be in time",
     1,
     0,
     0,
     {ONE(0, 60, 240, 2500), ONE(0, 60, 240, 2500), ONE(0, 60, 240, 2500),
      ONE(10, 60, 240, 2500), ONE(20, 60, 240, 2500), ONE(30, 60, 240, 2500)}},
    {"after an outage not all can be in time",
     1,
     60 * MS,
     85 * MS,
     {ONE(0, 50, 240, 2500), ONE(60, 50, 240, 2500), ONE(62, 50, 240, 2500),
      ONE(70, 50, 240, 2500), ONE(75, 50, 240, 2500), ONE(80, 50, 240, 2500)}},
};

/* When a run can start at the place, which is free from then on. */
static KcTime
start_at(const Request *request, const Load *load, KcTime free_at)
{
    KcTime at = free_at > request->first_at ? free_at : request->first_at;

    return at >= load->down_from + KC_SECOND &&
                   at < load->down_until + KC_SECOND
               ? load->down_until + KC_SECOND
               : at;
}

/* The most worth that the requests which have not been served can get. */
static double
search_best(Play *play, const Load *load, KcTime free_at)
{
    double best = 0;

    for (uint32_t i = 0; i < play->request_count; i++) {
        Request *request = &play->requests[i];
        KcTime end_at = start_at(request, load, free_at) + request->work;
        double worth = end_at <= request->queued.in_time_until ? 1
                       : end_at <= request->queued.deadline    ? LATE_WORTH
                                                               : 0;

        if (request->state == STATE_ENDED || worth == 0) {
            continue;
        }
        request->state = STATE_ENDED;
        worth += search_best(play, load, end_at);
        request->state = STATE_AWAY;
        best = worth > best ? worth : best;
    }
    return best;
}

static void
test_best(gconstpointer data)
{
    const Load *load = &small_loads[GPOINTER_TO_SIZE(data)];
    Play *play = play_load(&policies[KCC], load);
    Play *best = g_new0(Play, 1);
    double worth = worth_of_all(play) * play->request_count;
    double best_worth;

    add_load(best, load);
    best_worth = search_best(best, load, 0);
    g_test_message("%.1f of %.1f", worth, best_worth);
    g_assert_cmpfloat(worth, >=, 0.9 * best_worth);
    g_free(play);
    g_free(best);
}

/* ---- single decisions ---------------------------------------------------- */

/* A request that arrived at 0 in a queue where so many were sent, one at each
 * interval, by now. */
typedef struct WaitCase {
    const char *name;
    KcTime now;
    int served;
    KcTime interval;
    KcTime first_byte;
    uint32_t place;
    KcTime deadline;
    KcWaitVerdict verdict;
    KcTime until_min;
    KcTime until_max;
} WaitCase;

/* The objective is 400 ms: a request waits 50 ms whatever is known. */
static const WaitCase wait_cases[] = {
    {"nothing is known", 0, 0, 0, 0, 5, 2500 * MS, KC_WAIT_ON, 50 * MS,
     50 * MS},
    {"nothing was sent in time", 50 * MS, 0, 0, 0, 5, 2500 * MS, KC_WAIT_ENDED,
     0, KC_NEVER},
    {"its turn comes", 100 * MS, 5, 20 * MS, 0, 4, 2500 * MS, KC_WAIT_ON,
     200 * MS, 400 * MS},
    {"its turn may still come", 100 * MS, 5, 20 * MS, 0, 200, 2500 * MS,
     KC_WAIT_ON, 400 * MS, 401 * MS},
    {"it waits on when it is late, but not for over half of its time",
     900 * MS, 40, 20 * MS, 0, 50, 2500 * MS, KC_WAIT_ON, 1250 * MS,
     1250 * MS},
    {"its turn comes after its deadline", 100 * MS, 5, 20 * MS, 0, 300,
     2500 * MS, KC_WAIT_TOO_LONG, 0, KC_NEVER},
    {"its answer would begin after its deadline", 100 * MS, 5, 20 * MS,
     300 * MS, 15, 500 * MS, KC_WAIT_TOO_LONG, 0, KC_NEVER},
    {"few tell too little to refuse it", 100 * MS, 2, 20 * MS, 0, 300,
     2500 * MS, KC_WAIT_ON, 400 * MS, 401 * MS},
    {"half of its time is over", 1250 * MS, 40, 20 * MS, 0, 50, 2500 * MS,
     KC_WAIT_ENDED, 0, KC_NEVER},
};

/* The pace of a queue that began at 1 s. */
static KcQueuePace
make_pace(int served, KcTime interval, KcTime first_byte)
{
    KcQueuePace pace = {.first_byte = first_byte};

    KcQueuePace_Begin(&pace, KC_SECOND);
    for (int i = 1; i <= served; i++) {
        KcQueuePace_NoteServed(&pace, KC_SECOND + i * interval);
    }
    return pace;
}

static void
test_wait(gconstpointer data)
{
    const WaitCase *wait_case = &wait_cases[GPOINTER_TO_SIZE(data)];
    KcQueuePace pace = make_pace(wait_case->served, wait_case->interval,
                                 wait_case->first_byte);
    KcQueued queued = {.arrived_at = KC_SECOND,
                       .in_time_until = KC_SECOND + 400 * MS,
                       .deadline = KC_SECOND + wait_case->deadline};
    KcWaitInput input = {.queued = &queued,
                         .objective = 400 * MS,
                         .place = wait_case->place,
                         .pace = &pace};
    KcWaitDecision decision;

    KcWait_Decide(&input, KC_SECOND + wait_case->now, &decision);
    g_assert_cmpstr(KcWaitVerdict_Name(decision.verdict), ==,
                    KcWaitVerdict_Name(wait_case->verdict));
    if (decision.verdict == KC_WAIT_ON) {
        g_assert_cmpint(decision.until - KC_SECOND, >=, wait_case->until_min);
        g_assert_cmpint(decision.until - KC_SECOND, <=, wait_case->until_max);
    }
}

/* When callers come back that are refused one after the other at one moment.
 */
typedef struct ReturnCase {
    const char *name;
    int served; /* one each 20 ms */
    uint32_t waiting;
    KcTime time_left;
    int refused;       /* before this one */
    KcTime return_min; /* after the refusal */
    KcTime return_max;
} ReturnCase;

static const ReturnCase return_cases[] = {
    {"nothing is known", 0, 20, 3000 * MS, 0, 400 * MS, 400 * MS},
    {"nothing is known, and little time is left", 0, 20, 600 * MS, 0, 200 * MS,
     200 * MS},
    {"behind those that wait", 10, 20, 3000 * MS, 0, 380 * MS, 440 * MS},
    {"behind those that were refused", 10, 20, 3000 * MS, 10, 560 * MS,
     640 * MS},
    {"at most a third of the time left", 10, 20, 900 * MS, 10, 300 * MS,
     300 * MS},
};

static void
test_return(gconstpointer data)
{
    const ReturnCase *return_case = &return_cases[GPOINTER_TO_SIZE(data)];
    KcQueuePace pace = make_pace(return_case->served, 20 * MS, 0);
    KcTime delay = 0;

    for (int i = 0; i <= return_case->refused; i++) {
        delay = KcQueuePace_RetryAfter(&pace, return_case->waiting,
                                       return_case->time_left,
                                       KC_SECOND + 200 * MS);
    }
    g_assert_cmpint(delay, >=, return_case->return_min);
    g_assert_cmpint(delay, <=, return_case->return_max);
}

/* ---- turns --------------------------------------------------------------- */

/* Steps: take CUSTOMER WORK COUNT, give CUSTOMER WORK COUNT (back), served
 * TURN. Trace: the turn of the last request taken. */
struct Fixture {
    KcTurns turns;
    GString *trace;
};

typedef struct TurnCase {
    const char *name;
    const char *steps;
    const char *trace;
} TurnCase;

/* A turn is told apart by four requests' work. */
static const TurnCase turn_cases[] = {
    {"like customers have like turns", "take a 100 1;take b 100 1", "0 0 "},
    {"a customer's turns follow one another", "take a 100 17;take b 100 1",
     "1600 0 "},
    {"the work counts", "take a 100 1;take b 800 1;take b 100 1;take a 100 1",
     "0 0 533 0 "},
    {"what is refused is not paid for",
     "take a 100 40;give a 100 40;take a 100 1", "3600 0 "},
    {"what was not used is not saved",
     "take a 100 40;served 3600;take b 100 1", "3600 3600 "},
    {"a request that states no work counts as the mean",
     "take a 100 1;take a 0 16;take a 100 1", "0 1600 1600 "},
};

static void
step_take(struct Fixture *fixture, char **words)
{
    double turn = 0;

    for (int i = 0; i < atoi(words[3]); i++) {
        turn =
            KcTurns_Take(&fixture->turns, words[1], (uint64_t)atoi(words[2]));
    }
    g_string_append_printf(fixture->trace, "%.0f ", turn);
}

static void
step_give(struct Fixture *fixture, char **words)
{
    for (int i = 0; i < atoi(words[3]); i++) {
        KcTurns_GiveBack(&fixture->turns, words[1], (uint64_t)atoi(words[2]));
    }
}

static void
step_served(struct Fixture *fixture, char **words)
{
    KcTurns_NoteServed(&fixture->turns, atoi(words[1]));
}

static const StepHandler turn_steps[] = {
    {"take", step_take}, {"give", step_give}, {"served", step_served}};

static void
test_turns(gconstpointer data)
{
    const TurnCase *turn_case = &turn_cases[GPOINTER_TO_SIZE(data)];
    struct Fixture fixture = {.trace = g_string_new("")};

    Steps_Run(&fixture, turn_steps, G_N_ELEMENTS(turn_steps),
              turn_case->steps);
    g_assert_cmpstr(fixture.trace->str, ==, turn_case->trace);
    KcTurns_Clear(&fixture.turns);
    g_string_free(fixture.trace, TRUE);
}

int
main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "table") == 0) {
        print_table();
        return 0;
    }
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/load queue", claims, G_N_ELEMENTS(claims),
                   sizeof(claims[0]), test_claim);
    Steps_AddCases("/turns", turn_cases, G_N_ELEMENTS(turn_cases),
                   sizeof(turn_cases[0]), test_turns);
    Steps_AddCases("/wait", wait_cases, G_N_ELEMENTS(wait_cases),
                   sizeof(wait_cases[0]), test_wait);
    Steps_AddCases("/return", return_cases, G_N_ELEMENTS(return_cases),
                   sizeof(return_cases[0]), test_return);
    Steps_AddCases("/best possible", small_loads, G_N_ELEMENTS(small_loads),
                   sizeof(small_loads[0]), test_best);
    return g_test_run();
}
