/*
 * Tests of what a gateway may say of its configuration: that it was the newest
 * one some time ago.  That is never said wrongly, whatever happens to the
 * process, its connections and the store, and soon said again when it is over.
 *
 * The steady time that passes while the process does not run counts like any
 * other: the loop's clock goes on while the machine is suspended.  The time of
 * day is no argument of any function here, so that its steps have no effect.
 */
#include <glib.h>

#include "../steps.h"
#include "feed_sim.h"

#define REVOKE_TIMEOUT (5 * KC_SECOND)
/* A way to the store that is lost for six tenths of the timeout, at any
 * moment, leaves this. */
#define SOUND_AGE_MAX (REVOKE_TIMEOUT * 4 / 10)
#define CERTAIN_TIMEOUT (REVOKE_TIMEOUT * 35 / 100)
#define STARTED_BY (2 * KC_SECOND)
#define RUN_END (35 * KC_SECOND)
/* The configuration changes twice within this time. */
#define CHANGE_INTERVAL (5300 * KC_MS)
#define SECOND_CHANGE (400 * KC_MS)
/* What a restored store has lost is written again. */
#define REWRITE_DELAY (100 * KC_MS)
/* Moments at which the trouble begins, one after the other. */
#define PHASE_COUNT 24
#define PHASE_INTERVAL (131 * KC_MS)

#define BUSY .write_interval = 130 * KC_MS
#define NEAR .latency = 6 * KC_MS, .answer_delay = 3 * KC_MS
#define FAR .latency = 64 * KC_MS, .answer_delay = 32 * KC_MS
#define LASTS(ms) .begins_at = 15 * KC_SECOND, .ends_at = (15000 + (ms)) * KC_MS
#define ALL_WATCHES ((1u << COLLECTION_COUNT) - 1)

static const struct {
    const char *name;
    KcTime sound_age_max; /* without trouble */
    KcTime age_max;       /* in the trouble, until it is certain again */
    KcTime certain_within; /* of the trouble's end */
    FeedTrouble trouble;
} cases[] = {
    {"nothing", SOUND_AGE_MAX, SOUND_AGE_MAX, 0, {NEAR, BUSY}},
    {"no other changes", SOUND_AGE_MAX, SOUND_AGE_MAX, 0, {NEAR}},
    {"the copy lags", SOUND_AGE_MAX, SOUND_AGE_MAX, 0,
     {NEAR, BUSY, .lag = 4 * KC_SECOND}},
    {"the copy lags for ever", SOUND_AGE_MAX, SOUND_AGE_MAX, 0,
     {NEAR, BUSY, .lag = 60 * KC_SECOND}},
    {"the store in another region", SOUND_AGE_MAX, SOUND_AGE_MAX, 0,
     {FAR, BUSY}},
    {"slow, answers made at once and long on their way", REVOKE_TIMEOUT,
     REVOKE_TIMEOUT, 0,
     {.latency = 900 * KC_MS, .answer_delay = 890 * KC_MS, BUSY}},
    {"slow for a time", SOUND_AGE_MAX, REVOKE_TIMEOUT, KC_SECOND,
     {NEAR, BUSY, LASTS(6000), .slow_latency = 900 * KC_MS}},
    {"a dead watch of the configuration", SOUND_AGE_MAX, SOUND_AGE_MAX, 0,
     {NEAR, BUSY, LASTS(0), .dead_watches = 1 << ROUTING}},
    {"all watches dead", SOUND_AGE_MAX, SOUND_AGE_MAX, 0,
     {NEAR, BUSY, LASTS(0), .dead_watches = ALL_WATCHES}},
    {"all watches dead, no other changes", SOUND_AGE_MAX, SOUND_AGE_MAX, 0,
     {NEAR, LASTS(0), .dead_watches = ALL_WATCHES}},
    {"away for 2.5 s", SOUND_AGE_MAX, REVOKE_TIMEOUT, 350 * KC_MS,
     {NEAR, BUSY, LASTS(2500), .is_away = true}},
    {"away for 8 s, or this machine turned away", SOUND_AGE_MAX, KC_NEVER,
     350 * KC_MS,
     {NEAR, BUSY, LASTS(8000), .is_away = true}},
    {"silent for 8 s", SOUND_AGE_MAX, KC_NEVER, 2100 * KC_MS,
     {NEAR, BUSY, LASTS(8000), .is_silent = true,
      .dead_watches = ALL_WATCHES}},
    {"silent for 1 s", SOUND_AGE_MAX, REVOKE_TIMEOUT, 2100 * KC_MS,
     {NEAR, BUSY, LASTS(1000), .is_silent = true,
      .dead_watches = ALL_WATCHES}},
    {"each second answer is lost", SOUND_AGE_MAX, KC_NEVER, 4200 * KC_MS,
     {NEAR, BUSY, LASTS(8000), .lost_every = 2}},
    {"each fifth answer is lost", SOUND_AGE_MAX, REVOKE_TIMEOUT, 2100 * KC_MS,
     {NEAR, BUSY, LASTS(8000), .lost_every = 5}},
    {"frozen or suspended for 3 s", SOUND_AGE_MAX, REVOKE_TIMEOUT, 50 * KC_MS,
     {NEAR, BUSY, LASTS(3000), .is_frozen = true}},
    {"frozen or suspended for 9 s", SOUND_AGE_MAX, KC_NEVER, 50 * KC_MS,
     {NEAR, BUSY, LASTS(9000), .is_frozen = true}},
    {"frozen for 9 s, the store in another region", SOUND_AGE_MAX, KC_NEVER,
     250 * KC_MS,
     {FAR, BUSY, LASTS(9000), .is_frozen = true}},
    {"back from a copy of 2 s before", SOUND_AGE_MAX, REVOKE_TIMEOUT,
     350 * KC_MS,
     {NEAR, BUSY, LASTS(500), .is_away = true, .copy_age = 2 * KC_SECOND}},
    {"back from a copy, the other copy lags", SOUND_AGE_MAX, REVOKE_TIMEOUT,
     350 * KC_MS,
     {NEAR, BUSY, LASTS(500), .is_away = true, .copy_age = 2 * KC_SECOND,
      .lag = 4 * KC_SECOND}},
    {"back from a copy, no call has failed", SOUND_AGE_MAX, REVOKE_TIMEOUT,
     SOUND_AGE_MAX,
     {NEAR, BUSY, LASTS(0), .copy_age = 2 * KC_SECOND}},
    {"back from a copy while frozen", SOUND_AGE_MAX, KC_NEVER, 50 * KC_MS,
     {NEAR, BUSY, LASTS(6000), .is_frozen = true, .copy_age = 2 * KC_SECOND}},
};

/* Each change of the configuration in the store that was acknowledged by then
 * is known. */
static void
check_knows(const FeedSim *sim, KcTime certain_at)
{
    for (uint64_t i = sim->revision; i > 0; i--) {
        if (sim->writes[i].collection == ROUTING &&
            sim->writes[i].at < certain_at) {
            g_assert_cmpint(sim->known_serial[ROUTING], >=,
                            sim->writes[i].serial);
            return;
        }
    }
}

/* Ages seen in a run. */
typedef struct Ages {
    KcTime sound_max;
    KcTime trouble_max;
    KcTime recovery_max; /* from the end of the trouble */
} Ages;

static void
note_age(Ages *ages, const FeedSim *sim, KcTime within)
{
    const FeedTrouble *trouble = sim->trouble;
    KcTime age = KcFeed_CertainAge(sim->feeds[ROUTING].feed, sim->now);
    bool is_sound =
        sim->now < trouble->begins_at || sim->now >= trouble->ends_at + within;

    if (sim->now < KC_SECOND + STARTED_BY) {
        return;
    }
    g_assert_cmpint(age, !=, KC_NEVER);
    if (is_sound) {
        ages->sound_max = MAX(ages->sound_max, age);
    }
    else {
        ages->trouble_max = MAX(ages->trouble_max, age);
    }
    if (sim->now >= trouble->ends_at && age > sim->now - trouble->ends_at) {
        /* No call since the end of the trouble was answered. */
        ages->recovery_max =
            MAX(ages->recovery_max, sim->now - trouble->ends_at);
    }
}

static void
test_certainty(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    FeedSimOptions options = {.has_checks = true,
                              .certain_timeout = CERTAIN_TIMEOUT};
    Ages ages = {0};
    FeedSim *sim = g_new(FeedSim, 1);

    for (int phase = 0; phase < PHASE_COUNT; phase++) {
        FeedTrouble trouble = cases[index].trouble;
        bool is_killed = false;

        trouble.begins_at += phase * PHASE_INTERVAL;
        trouble.ends_at += phase * PHASE_INTERVAL;
        FeedSim_Begin(sim, &trouble, &options);
        while (sim->now < RUN_END) {
            KcTime age;

            if (sim->now % CHANGE_INTERVAL == 0 ||
                sim->now % CHANGE_INTERVAL == SECOND_CHANGE ||
                (trouble.copy_age != 0 &&
                 sim->now == trouble.ends_at + REWRITE_DELAY)) {
                FeedSim_Write(sim, ROUTING);
            }
            if (sim->now >= trouble.begins_at && !is_killed) {
                is_killed = FeedSim_KillWatches(sim);
            }
            FeedSim_Step(sim);
            age = KcFeed_CertainAge(sim->feeds[ROUTING].feed, sim->now);
            check_knows(sim, age != KC_NEVER ? sim->now - age : 0);
            note_age(&ages, sim, cases[index].certain_within);
        }
        FeedSim_End(sim);
    }
    g_free(sim);
    g_test_message("ages: sound %d ms, in trouble %d ms, certain after %d ms",
                   (int)(ages.sound_max / KC_MS),
                   (int)(ages.trouble_max / KC_MS),
                   (int)(ages.recovery_max / KC_MS));
    g_assert_cmpint(ages.sound_max, <=, cases[index].sound_age_max);
    if (cases[index].age_max != KC_NEVER) {
        g_assert_cmpint(ages.trouble_max, <, cases[index].age_max);
    }
    else {
        g_assert_cmpint(ages.trouble_max, >, REVOKE_TIMEOUT);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/certainty", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_certainty);
    return g_test_run();
}
