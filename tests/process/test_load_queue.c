/*
 * What callers get of the queue of a service by kind, size and customer,
 * beside other policies and, on small cases, the best that is possible.
 */
#include <glib.h>
#include <string.h>

#include "../steps.h"
#include "queue_play.h"

/* ---- loads --------------------------------------------------------------- */

/* 10 places and 50 ms of work: 200 requests a second are as many as can be. */
#define KIND(CUSTOMER, URGENCY, FROM, UNTIL, INTERVAL, COUNT)                 \
    {                                                                         \
        (CUSTOMER), (URGENCY), (FROM)*MS, (UNTIL)*MS, (INTERVAL)*MS, (COUNT), \
            50 * MS, 400 * MS, 2500 * MS, 0                                   \
    }

static const QueueLoad loads[] = {
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

/* ---- what callers get ---------------------------------------------------- */

/* Mean worth of the requests that match; customer, urgency and size: -1 for
 * any. */
static double
mean_worth(const QueuePlay *play, int customer, int urgency, int is_large)
{
    double worth = 0;
    int count = 0;

    for (uint32_t i = 0; i < play->request_count; i++) {
        const QueueRequest *request = &play->requests[i];

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
worth_of_all(const QueuePlay *play)
{
    return mean_worth(play, -1, -1, -1);
}

static double
worth_of_urgent(const QueuePlay *play)
{
    return mean_worth(play, -1, 0, -1);
}

static double
worth_of_large(const QueuePlay *play)
{
    return mean_worth(play, -1, -1, 1);
}

/* The worst of the customers that send their usual. */
static double
worth_of_neighbours(const QueuePlay *play)
{
    double worst = 1;

    for (int i = 1; i < CUSTOMERS; i++) {
        double worth = mean_worth(play, i, -1, -1);

        worst = worth < worst ? worth : worst;
    }
    return worst;
}

static double
worth_of_hot(const QueuePlay *play)
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
    double (*measure)(const QueuePlay *play);
    int other_policy;
    int other_load;
    double (*other_measure)(const QueuePlay *play);
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
    QueuePlay *play =
        QueuePlay_Run(&QueuePlay_Policies[KCC], &loads[claim->load]);
    QueuePlay *other = QueuePlay_Run(&QueuePlay_Policies[claim->other_policy],
                                     &loads[claim->other_load]);
    double worth = claim->measure(play);
    double other_worth = claim->other_measure(other);

    g_test_message("%.3f against %.3f by %s", worth, other_worth,
                   QueuePlay_Policies[claim->other_policy].name);
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
            QueuePlay *play = QueuePlay_Run(&QueuePlay_Policies[i], &loads[k]);

            g_print("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f |\n",
                    loads[k].name, QueuePlay_Policies[i].name,
                    worth_of_all(play), worth_of_urgent(play),
                    worth_of_large(play), worth_of_neighbours(play),
                    worth_of_hot(play));
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
static const QueueLoad small_loads[] = {
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
start_at(const QueueRequest *request, const QueueLoad *load, KcTime free_at)
{
    KcTime at = free_at > request->first_at ? free_at : request->first_at;

    return at >= load->down_from + KC_SECOND &&
                   at < load->down_until + KC_SECOND
               ? load->down_until + KC_SECOND
               : at;
}

/* The most worth that the requests which have not been served can get. */
static double
search_best(QueuePlay *play, const QueueLoad *load, KcTime free_at)
{
    double best = 0;

    for (uint32_t i = 0; i < play->request_count; i++) {
        QueueRequest *request = &play->requests[i];
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
    const QueueLoad *load = &small_loads[GPOINTER_TO_SIZE(data)];
    QueuePlay *play = QueuePlay_Run(&QueuePlay_Policies[KCC], load);
    QueuePlay *best = g_new0(QueuePlay, 1);
    double worth = worth_of_all(play) * play->request_count;
    double best_worth;

    QueuePlay_AddLoad(best, load);
    best_worth = search_best(best, load, 0);
    g_test_message("%.1f of %.1f", worth, best_worth);
    g_assert_cmpfloat(worth, >=, 0.9 * best_worth);
    g_free(play);
    g_free(best);
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
    Steps_AddCases("/best possible", small_loads, G_N_ELEMENTS(small_loads),
                   sizeof(small_loads[0]), test_best);
    return g_test_run();
}
