/*
 * Eviction policies: the value of keeping an adapter at an engine.
 */
#include <string.h>

#include "kcc_residency.h"

/* Least recently used. */
static double
value_lru(const KcSlot *slot, KcTime now)
{
    (void)now;
    return (double)slot->used;
}

/* Least frequently used, with aging. */
static double
value_lfu(const KcSlot *slot, KcTime now)
{
    return KcResidency_Frequency(slot->model, now);
}

/* Greedy dual size frequency, with equal cost and size of all adapters. */
static double
value_gdsf(const KcSlot *slot, KcTime now)
{
    return slot->inflation + KcResidency_Frequency(slot->model, now);
}

/*
 * Aged frequency plus a bonus that decays with the time since the last use:
 * the same customer is likely to use an adapter again at once.
 */
static double
value_kcc(const KcSlot *slot, KcTime now)
{
    double idle_seconds = (double)(now - slot->used) / (double)KC_SECOND;

    return KcResidency_Frequency(slot->model, now) +
           1.0 / (1.0 + idle_seconds);
}

static const KcVictimPolicy policies[] = {
    {"kcc", value_kcc},
    {"lru", value_lru},
    {"lfu", value_lfu},
    {"gdsf", value_gdsf},
};

#define POLICY_COUNT (sizeof(policies) / sizeof(policies[0]))

const KcVictimPolicy *
KcVictim_Policy(const char *name)
{
    for (size_t i = 0; i < POLICY_COUNT; i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}
