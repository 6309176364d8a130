/*
 * Single decisions on a queue: how long a request waits, when a refused caller
 * comes back, the turns of customers.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"

#define MS KC_MS

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
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/turns", turn_cases, G_N_ELEMENTS(turn_cases),
                   sizeof(turn_cases[0]), test_turns);
    Steps_AddCases("/wait", wait_cases, G_N_ELEMENTS(wait_cases),
                   sizeof(wait_cases[0]), test_wait);
    Steps_AddCases("/return", return_cases, G_N_ELEMENTS(return_cases),
                   sizeof(return_cases[0]), test_return);
    return g_test_run();
}
