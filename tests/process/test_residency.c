/*
 * Tests of residency: choice of victims, delay after failed loads, number of
 * slots, lost adapters, and the pace of loads.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

/* ---- residency ---------------------------------------------------------- */

static KcSlot *
load_adapter(KcResidency *residency, const char *name, KcTime now)
{
    KcAdapterRef ref = {.version = 1};
    KcModelState *model;
    KcSlot *slot = KcResidency_ChooseVictim(residency, false, now);

    KcText_Copy(ref.adapter, name, KC_NAME_MAX);
    model = KcResidency_FindOrAddModel(residency, &ref, now);
    if (slot->state != KC_SLOT_EMPTY) {
        KcResidency_BeginEvict(residency, slot, now);
        KcResidency_EndEvict(slot);
    }
    KcResidency_BeginLoad(residency, slot, model, 1, now);
    KcResidency_EndLoad(slot, 0, now);
    return slot;
}

/* Uses of three loaded adapters a, b, c, and which one each policy evicts. */
static const struct {
    const char *policy;
    const char *uses;   /* adapters, one use a second */
    const char *pinned; /* adapters in use */
    char victim;        /* '-': none */
} victim_cases[] = {
    {"lru", "abc", "", 'a'},    {"lru", "abca", "", 'b'},
    {"lfu", "aabbc", "", 'c'},  {"lfu", "aaabccc", "", 'b'},
    {"gdsf", "aabbc", "", 'c'}, {"kcc", "aaaabbbbc", "", 'c'},
    {"kcc", "abc", "a", 'b'},   {"kcc", "abc", "ab", 'c'},
    {"kcc", "abc", "abc", '-'}, {"lru", "abc", "abc", '-'},
};

static void
test_victims(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(victim_cases); i++) {
        KcResidency residency;
        KcSlot *slots[3];
        KcSlot *victim;
        KcTime now = KC_SECOND;

        KcResidency_Init(&residency, 3,
                         KcVictim_FindPolicy(victim_cases[i].policy));
        for (int j = 0; j < 3; j++) {
            char name[2] = {(char)('a' + j), '\0'};

            slots[j] = load_adapter(&residency, name, now);
        }
        for (const char *use = victim_cases[i].uses; *use != '\0'; use++) {
            KcSlot *slot = slots[*use - 'a'];

            now += KC_SECOND;
            KcResidency_CountUse(slot->model, now);
            KcResidency_Pin(&residency, slot, now);
            KcResidency_Unpin(slot);
        }
        for (const char *pin = victim_cases[i].pinned; *pin != '\0'; pin++) {
            KcResidency_Pin(&residency, slots[*pin - 'a'], now);
        }
        victim = KcResidency_ChooseVictim(&residency, false, now + KC_SECOND);
        g_test_message("%s after %s", victim_cases[i].policy,
                       victim_cases[i].uses);
        g_assert_cmpint(victim != NULL ? victim->model->key[0] : '-', ==,
                        victim_cases[i].victim);
        KcResidency_Clear(&residency);
    }
}

/* Failed loads in a row, and the delay before the next attempt. */
static const struct {
    int failures;
    KcTime delay;
} failure_cases[] = {
    {1, 500 * KC_MS},
    {2, KC_SECOND},
    {3, 2 * KC_SECOND},
    {30, 60 * KC_SECOND},
};

static void
test_failed_loads(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(failure_cases); i++) {
        KcResidency residency;
        KcAdapterRef ref = {"a", 1};
        KcModelState *model;

        KcResidency_Init(&residency, 1, KcVictim_FindPolicy("kcc"));
        model = KcResidency_FindOrAddModel(&residency, &ref, 0);
        for (int j = 0; j < failure_cases[i].failures; j++) {
            KcSlot *slot = KcResidency_ChooseVictim(&residency, false, 0);

            KcResidency_BeginLoad(&residency, slot, model, 1, 0);
            KcResidency_EndLoad(slot, KC_ERR_BACKEND, 0);
        }
        g_assert_cmpint(model->retry_at, ==, failure_cases[i].delay);
        KcResidency_Clear(&residency);
    }
}

/* The number of slots follows the document; a slot in use is not taken. */
static void
test_resize(void)
{
    KcResidency residency;
    KcSlot *slot;

    KcResidency_Init(&residency, 2, KcVictim_FindPolicy("kcc"));
    slot = load_adapter(&residency, "a", KC_SECOND);
    KcResidency_Pin(&residency, slot, KC_SECOND);
    KcResidency_Resize(&residency, 3);
    g_assert_cmpuint(residency.slot_count, ==, 3);
    KcResidency_Resize(&residency, 1);
    g_assert_null(KcResidency_Trim(&residency, KC_SECOND));
    g_assert_cmpuint(residency.slot_count, ==, 1);
    g_assert_cmpint(slot->state, ==, KC_SLOT_LOADED);
    KcResidency_Unpin(slot);
    KcResidency_Clear(&residency);
}

/* The slot of an adapter that the engine lost is not reused until its calls
 * have ended. */
static void
test_lost_in_use(void)
{
    KcResidency residency;
    KcSlot *slot;

    KcResidency_Init(&residency, 1, KcVictim_FindPolicy("kcc"));
    slot = load_adapter(&residency, "a", KC_SECOND);
    KcResidency_Pin(&residency, slot, KC_SECOND);
    KcResidency_MarkLost(slot);
    g_assert_false(KcResidency_IsLoaded(slot->model));
    g_assert_null(KcResidency_ChooseVictim(&residency, false, KC_SECOND));
    KcResidency_Unpin(slot);
    g_assert_cmpint(slot->state, ==, KC_SLOT_EMPTY);
    KcResidency_Clear(&residency);
}

/* Results of loads in a row, and the interval between loads that follows. */
static const struct {
    const char *results; /* s: succeeded, f: failed */
    KcTime interval;
} pace_cases[] = {
    {"", 0},
    {"s", 0},
    {"f", 250 * KC_MS},
    {"ff", 500 * KC_MS},
    {"ffs", 250 * KC_MS},
    {"ffssss", 0},
    {"ffffffffffff", 8 * KC_SECOND},
};

static void
test_pace(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pace_cases); i++) {
        KcTime now = KC_SECOND;
        KcPace pace;

        KcPace_Init(&pace, 250 * KC_MS, 2 * KC_SECOND);
        for (const char *result = pace_cases[i].results; *result != '\0';
             result++) {
            now = pace.next_load_at > now ? pace.next_load_at : now;
            g_assert_true(KcPace_Allows(&pace, now));
            KcPace_Begin(&pace, now);
            KcPace_End(&pace, *result == 'f' ? KC_ERR_BACKEND : 0, now);
        }
        g_assert_cmpint(pace.interval, ==, pace_cases[i].interval);
        if (pace.interval > 0) {
            g_assert_false(KcPace_Allows(&pace, now));
        }
    }
}

/* At most two loads run at once. */
static void
test_concurrent_loads(void)
{
    KcPace pace;

    KcPace_Init(&pace, 250 * KC_MS, 2 * KC_SECOND);
    KcPace_Begin(&pace, 0);
    g_assert_true(KcPace_Allows(&pace, 0));
    KcPace_Begin(&pace, 0);
    g_assert_false(KcPace_Allows(&pace, 60 * KC_SECOND));
    KcPace_End(&pace, 0, KC_SECOND);
    g_assert_true(KcPace_Allows(&pace, KC_SECOND));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/victims", test_victims);
    g_test_add_func("/process/failed_loads", test_failed_loads);
    g_test_add_func("/process/resize", test_resize);
    g_test_add_func("/process/lost_in_use", test_lost_in_use);
    g_test_add_func("/process/pace", test_pace);
    g_test_add_func("/process/concurrent_loads", test_concurrent_loads);
    return g_test_run();
}
