/*
 * Tests of the memory of answers that callers have not taken: when servers of
 * streams are no longer read, and who gives way.
 */
#include <glib.h>
#include <stdlib.h>

#include <kcc.h>

#include "../../programs/process/memory.h"
#include "../steps.h"

#define KIB 1024
#define SHARES_MAX 8

struct Fixture {
    KcOutputPool pool;
    KcOutputShare shares[SHARES_MAX];
};

/* The pool may hold 1024 KiB; sizes are in KiB. */
static const struct {
    const char *name;
    const char *steps;
} cases[] = {
    {"empty", "pause 64;excess -;holds 0"},
    {"a stream is held back the sooner the more is held",
     "hold 0 512;pause 32;hold 1 500;pause 16;hold 2 400;pause 16"},
    {"nothing gives way at the limit", "hold 0 1000;hold 1 24;excess -"},
    {"the one that took nothing for longest gives way",
     "hold 0 400;hold 1 400;hold 2 400;excess 0"},
    {"one that takes bytes is not it",
     "hold 0 400;hold 1 400;hold 2 400;take 0 390;excess 1"},
    {"one that is given more is still it",
     "hold 0 100;hold 1 400;hold 0 400;hold 2 400;excess 0"},
    {"a small one gives way last", "hold 0 10;hold 1 500;hold 2 600;excess 1"},
    {"small ones alone", "hold 0 16;hold 1 16;fill 1000;excess 7"},
    {"enough gave way", "hold 0 400;hold 1 400;hold 2 400;hold 0 0;excess -"},
    {"all is taken",
     "hold 0 400;hold 1 400;take 0 0;take 1 0;holds 0;excess -;pause 64"},
    {"it comes back", "hold 0 400;take 0 0;hold 1 400;hold 0 700;excess 1"},
};

static void
step_hold(struct Fixture *fixture, char **words)
{
    KcOutputPool_Update(&fixture->pool, &fixture->shares[atoi(words[1])],
                        (size_t)atoi(words[2]) * KIB, false);
}

/* take SHARE KIB: so much is left. */
static void
step_take(struct Fixture *fixture, char **words)
{
    KcOutputPool_Update(&fixture->pool, &fixture->shares[atoi(words[1])],
                        (size_t)atoi(words[2]) * KIB, true);
}

/* fill KIB: the last share, which took bytes just now. */
static void
step_fill(struct Fixture *fixture, char **words)
{
    KcOutputPool_Update(&fixture->pool, &fixture->shares[SHARES_MAX - 1],
                        (size_t)atoi(words[1]) * KIB, true);
}

static void
step_pause(struct Fixture *fixture, char **words)
{
    g_assert_cmpuint(KcOutputPool_PauseBytes(&fixture->pool), ==,
                     (size_t)atoi(words[1]) * KIB);
}

static void
step_excess(struct Fixture *fixture, char **words)
{
    const KcOutputShare *share = KcOutputPool_FindExcess(&fixture->pool);
    char *name = share != NULL
                     ? g_strdup_printf("%d", (int)(share - fixture->shares))
                     : g_strdup("-");

    g_assert_cmpstr(name, ==, words[1]);
    g_free(name);
}

static void
step_holds(struct Fixture *fixture, char **words)
{
    g_assert_cmpuint(fixture->pool.bytes, ==, (size_t)atoi(words[1]) * KIB);
}

static const StepHandler handlers[] = {
    {"hold", step_hold},   {"take", step_take},     {"fill", step_fill},
    {"pause", step_pause}, {"excess", step_excess}, {"holds", step_holds},
};

static void
test_pool(gconstpointer data)
{
    struct Fixture fixture = {.shares = {{.bytes = 0}}};

    KcOutputPool_Init(&fixture.pool, 1024 * KIB);
    Steps_Run(&fixture, handlers, G_N_ELEMENTS(handlers),
              cases[GPOINTER_TO_SIZE(data)].steps);
}

/* A pool without a limit, as of a front end that has none. */
static void
test_unlimited(void)
{
    KcOutputPool pool;
    KcOutputShare share = {.bytes = 0};

    KcOutputPool_Init(&pool, 0);
    KcOutputPool_Update(&pool, &share, (size_t)1 << 40, false);
    g_assert_null(KcOutputPool_FindExcess(&pool));
    g_assert_cmpuint(KcOutputPool_PauseBytes(&pool), ==, 256 * KIB);
}

static void
test_limit(void)
{
    static const struct {
        double memory_megabytes;
        int64_t machine_bytes;
        size_t answer_bytes;
    } rows[] = {
        {120, 0, 12000000},        {120, 8000000000, 12000000},
        {1000, 0, 100000000},      {0, 120000000, 12000000},
        {0, 8000000000, 32000000}, {0, 0, 32000000},
        {0, -1, 32000000},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_assert_cmpuint(KcMemory_AnswerBytesMax(rows[i].memory_megabytes,
                                                 rows[i].machine_bytes),
                         ==, rows[i].answer_bytes);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/output pool", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_pool);
    g_test_add_func("/output pool/unlimited", test_unlimited);
    g_test_add_func("/output pool/limit", test_limit);
    return g_test_run();
}
