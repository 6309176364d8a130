/*
 * Plays with several gateways; see play.h.
 *
 * Each row is played with the seeds 1 to SEED_COUNT for each promise.
 * PLAYS_SEED plays from another seed on, PLAYS_SEEDS another number of them,
 * and PLAYS_TRACE prints their steps.
 */
#include <glib.h>
#include <stdlib.h>

#include "play.h"

#define SEED_COUNT 10

/* Three gateways and busy servers. */
#define BUSY                                                                  \
    .gateway_count = 3, .model_server_count = 5, .plain_server_count = 3,     \
    .slots = 4, .queue_max = 6, .request_interval = 100 * KC_MS,              \
    .duration = 20 * KC_SECOND

static const PlayPlan plans[] = {
    {"no trouble", BUSY, .troubles = {{NULL, 0, 0}}},
    {"servers pause", BUSY, .troubles = {{Trouble_Pause, 0, 400 * KC_MS}}},
    {"servers pause while configurations change", BUSY,
     .troubles = {{Trouble_Pause, 0, 400 * KC_MS},
                  {Trouble_Configure, 0, 500 * KC_MS}}},
    {"servers pause while others are full or lack the adapter", BUSY,
     .troubles = {{Trouble_Pause, 0, 400 * KC_MS},
                  {Trouble_Fill, 0, 500 * KC_MS},
                  {Trouble_Unload, 0, 100 * KC_MS}}},
    {"servers pause while records are missing", BUSY,
     .troubles = {{Trouble_Pause, 0, 400 * KC_MS},
                  {Trouble_LoseRecord, 0, 700 * KC_MS},
                  {Trouble_StopStore, 0, 4 * KC_SECOND},
                  {Trouble_OldNews, 0, 500 * KC_MS}}},
    {"everything together", BUSY,
     .troubles = {{Trouble_Pause, 0, 400 * KC_MS},
                  {Trouble_Configure, 0, 500 * KC_MS},
                  {Trouble_Fill, 0, 500 * KC_MS},
                  {Trouble_Unload, 0, 100 * KC_MS},
                  {Trouble_LoseRecord, 0, 700 * KC_MS},
                  {Trouble_StopStore, 0, 4 * KC_SECOND},
                  {Trouble_OldNews, 0, 500 * KC_MS}}},
};

#define PLAN_COUNT (sizeof(plans) / sizeof(plans[0]))

static uint64_t
get_number(const char *name, uint64_t otherwise)
{
    const char *text = g_getenv(name);

    return text != NULL ? g_ascii_strtoull(text, NULL, 10) : otherwise;
}

static const char *const promise_names[PLAY_PROMISE_COUNT] = {
    [PLAY_ENDS] = "requests end once",
    [PLAY_ORDER] = "events come in order",
    [PLAY_RUNS] = "requests run once",
    [PLAY_KEPT] = "answers are kept",
};

static void
test_promise(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    const PlayPlan *plan = &plans[index / PLAY_PROMISE_COUNT];
    PlayPromise promise = (PlayPromise)(index % PLAY_PROMISE_COUNT);
    uint64_t first_seed = get_number("PLAYS_SEED", 1);
    uint64_t seed_count = get_number("PLAYS_SEEDS", SEED_COUNT);
    FILE *trace = g_getenv("PLAYS_TRACE") != NULL ? stdout : NULL;
    unsigned failure_count = 0;

    for (uint64_t i = 0; i < seed_count; i++) {
        const char *finding = Play_Run(plan, promise, first_seed + i, trace);

        if (finding != NULL) {
            failure_count++;
            g_test_message("seed %d: %s", (int)(first_seed + i), finding);
        }
    }
    if (failure_count > 0) {
        g_test_message("broken with %u of %d seeds", failure_count,
                       (int)seed_count);
        g_test_fail();
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < PLAN_COUNT * PLAY_PROMISE_COUNT; i++) {
        char *path =
            g_strdup_printf("/plays/%s/%s", plans[i / PLAY_PROMISE_COUNT].name,
                            promise_names[i % PLAY_PROMISE_COUNT]);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_promise);
        g_free(path);
    }
    return g_test_run();
}
