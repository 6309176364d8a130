/*
 * Tests of second attempts against slow answers without a gateway: the
 * quantile, and plays of requests whose durations are drawn from a
 * distribution, with the limit of the operator at 0, 2 and 5 percent.
 */
#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include <kcc.h>

#include "../steps.h"

/* ---- quantiles ------------------------------------------------------------- */

typedef struct QuantileCase {
    const char *name;
    int durations_ms[8]; /* each as often as count; ends with 0 */
    unsigned count;
    double fraction;
    KcTime quantile; /* KC_NEVER: not known */
} QuantileCase;

static const QuantileCase quantile_cases[] = {
    {"nothing seen", {0}, 0, 0.95, KC_NEVER},
    {"too few", {10}, 39, 0.95, KC_NEVER},
    {"one duration, to the end of its bucket", {50}, 40, 0.95, 56 * KC_MS},
    {"the slower of two, when it is common", {20, 200}, 40, 0.95, 224 * KC_MS},
    {"the faster of two, when the other is rare enough",
     {20, 20, 20, 20, 20, 20, 20, 200},
     40,
     0.8,
     20 * KC_MS},
    {"shorter than all buckets", {1}, 40, 0.95, 1250},
    {"longer than all buckets",
     {10000000},
     40,
     0.95,
     ((KcTime)65536 << 0) * KC_MS},
};

static void
test_quantile(gconstpointer data)
{
    const QuantileCase *test = &quantile_cases[GPOINTER_TO_SIZE(data)];
    KcDurations durations = {.total = 0};

    for (unsigned i = 0; i < test->count; i++) {
        for (unsigned j = 0; j < 8 && test->durations_ms[j] != 0; j++) {
            KcDurations_Add(&durations, test->durations_ms[j] * KC_MS);
        }
    }
    g_assert_cmpint(KcDurations_Quantile(&durations, test->fraction, 40), ==,
                    test->quantile);
}

/* Later durations replace earlier ones. */
static void
test_recent(void)
{
    KcDurations durations = {.total = 0};

    for (unsigned i = 0; i < 4000; i++) {
        KcDurations_Add(&durations, 400 * KC_MS);
    }
    for (unsigned i = 0; i < 8000; i++) {
        KcDurations_Add(&durations, 50 * KC_MS);
    }
    g_assert_cmpint(KcDurations_Quantile(&durations, 0.95, 40), ==,
                    56 * KC_MS);
}

/* ---- plays ----------------------------------------------------------------- */

/* Milliseconds until an answer begins, by a number from 0 to 1, and by the
 * slowness of the server, from 0 to 1. */
typedef double (*Distribution)(double draw, double server);

static double
steady(double draw, double server)
{
    (void)server;
    return 40 + 20 * draw;
}

/* Most take 40 ms, one in 50 a second, by chance. */
static double
rarely_stuck(double draw, double server)
{
    (void)server;
    return draw > 0.98 ? 1000 : 40 + 20 * draw;
}

static double
long_tail(double draw, double server)
{
    (void)server;
    return 30 * pow(1 - draw, -0.6);
}

/* Three servers in a hundred are ten times as slow. */
static double
slow_servers(double draw, double server)
{
    return (40 + 20 * draw) * (server > 0.97 ? 10 : 1);
}

/* All servers have become ten times as slow as they were. */
static double
all_slow(double draw, double server)
{
    (void)server;
    return 400 + 200 * draw;
}

typedef struct PlayCase {
    const char *name;
    Distribution before; /* of the first answers */
    Distribution after;
    double percent;   /* limit of second attempts */
    unsigned load;    /* requests per server, of 64 */
    double p99_max;   /* of the 99th percentile without second attempts */
    double extra_min; /* second attempts, of all requests */
} PlayCase;

static const PlayCase play_cases[] = {
    {"steady, 5", steady, steady, 5, 10, 1, 0},
    {"rarely stuck, 0", rarely_stuck, rarely_stuck, 0, 10, 1, 0},
    {"rarely stuck, 2", rarely_stuck, rarely_stuck, 2, 10, 0.2, 0.01},
    {"rarely stuck, 5", rarely_stuck, rarely_stuck, 5, 10, 0.2, 0.01},
    {"rarely stuck, 5, loaded", rarely_stuck, rarely_stuck, 5, 40, 1, 0},
    {"long tail, 2", long_tail, long_tail, 2, 10, 0.9, 0.01},
    {"long tail, 5", long_tail, long_tail, 5, 10, 0.7, 0.03},
    {"slow servers, 2", slow_servers, slow_servers, 2, 10, 1, 0.01},
    {"slow servers, 5", slow_servers, slow_servers, 5, 10, 0.5, 0.02},
    {"all become slow, 5", steady, all_slow, 5, 10, 1, 0},
    {"all become slow, 20", steady, all_slow, 20, 10, 1, 0},
};

#define PLAY_REQUESTS 20000
#define PLAY_TOKENS 700

static int
compare_doubles(const void *a, const void *b)
{
    double difference = *(const double *)a - *(const double *)b;

    return (difference > 0) - (difference < 0);
}

/* Plays the requests one after the other; returns the 99th percentile. */
static double
play(const PlayCase *test, double percent, unsigned *made_count)
{
    static double durations[PLAY_REQUESTS];
    KcSecondAttempts second = {.extra_fraction = 0};
    KcSecondInput input = {
        .mean_load = test->load, .concurrency_max = 64, .has_budget = true};
    GRand *random = g_rand_new_with_seed(1);

    *made_count = 0;
    KcSecondAttempts_SetLimit(&second, percent / 100);
    for (unsigned i = 0; i < PLAY_REQUESTS; i++) {
        Distribution distribution =
            i < PLAY_REQUESTS / 2 ? test->before : test->after;
        double first =
            distribution(g_rand_double(random), g_rand_double(random));
        double other =
            distribution(g_rand_double(random), g_rand_double(random));
        KcTime delay = KcSecondAttempts_Delay(&second, PLAY_TOKENS);

        KcSecondAttempts_NoteRequest(&second, PLAY_TOKENS);
        durations[i] = first;
        if (first * KC_MS > (double)delay &&
            KcSecondAttempts_Decide(&second, &input) == KC_SECOND_MADE) {
            KcSecondAttempts_Take(&second, PLAY_TOKENS);
            (*made_count)++;
            durations[i] = MIN(first, (double)delay / KC_MS + other);
        }
        KcSecondAttempts_NoteAnswer(&second, PLAY_TOKENS,
                                    (KcTime)(durations[i] * KC_MS));
    }
    g_rand_free(random);
    qsort(durations, PLAY_REQUESTS, sizeof(durations[0]), compare_doubles);
    return durations[PLAY_REQUESTS * 99 / 100];
}

static void
test_play(gconstpointer data)
{
    const PlayCase *test = &play_cases[GPOINTER_TO_SIZE(data)];
    unsigned made_count;
    double p99_before = play(test, 0, &made_count);
    double p99;

    g_assert_cmpint(made_count, ==, 0);
    p99 = play(test, test->percent, &made_count);
    g_test_message("p99 %.0f ms, was %.0f ms, %.2f%% extra", p99, p99_before,
                   100.0 * made_count / PLAY_REQUESTS);
    g_assert_cmpfloat(p99, <=, p99_before * test->p99_max);
    /* What may be saved up beforehand comes on top. */
    g_assert_cmpfloat(made_count, <=,
                      test->percent / 100 * (PLAY_REQUESTS + 200));
    g_assert_cmpfloat(made_count, >=, test->extra_min * PLAY_REQUESTS);
}

/* ---- the work of large requests ------------------------------------------- */

/* One request in ten is a hundred times as large, and only these are slow:
 * the limit holds for the tokens, too. */
static void
test_tokens(void)
{
    KcSecondAttempts second = {.extra_fraction = 0};
    KcSecondInput input = {.concurrency_max = 64, .has_budget = true};
    double tokens = 0;
    double extra_tokens = 0;

    KcSecondAttempts_SetLimit(&second, 0.05);
    for (unsigned i = 0; i < PLAY_REQUESTS; i++) {
        uint64_t size = i % 10 == 0 ? 10000 : 100;

        KcSecondAttempts_NoteRequest(&second, size);
        tokens += (double)size;
        if (size == 10000 &&
            KcSecondAttempts_Decide(&second, &input) == KC_SECOND_MADE) {
            KcSecondAttempts_Take(&second, size);
            extra_tokens += (double)size;
        }
    }
    g_assert_cmpfloat(extra_tokens, >, 0.04 * tokens);
    g_assert_cmpfloat(extra_tokens, <, 0.05 * tokens + 20000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/second_attempts/quantile", quantile_cases,
                   G_N_ELEMENTS(quantile_cases), sizeof(quantile_cases[0]),
                   test_quantile);
    Steps_AddCases("/second_attempts/play", play_cases,
                   G_N_ELEMENTS(play_cases), sizeof(play_cases[0]), test_play);
    g_test_add_func("/second_attempts/recent", test_recent);
    g_test_add_func("/second_attempts/tokens", test_tokens);
    return g_test_run();
}
