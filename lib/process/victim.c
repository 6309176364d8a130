/*
 * Policies for choosing which adapter an engine gives up.
 */
#include <string.h>

#include "kcc_residency.h"

/* Least recently used. */
static double
value_lru(const KcSlot *slot, KcTime now)
{
    (void)now;
    return (double)slot->used_at;
}

/* Least frequently used, with aging. */
static double
value_lfu(const KcSlot *slot, KcTime now)
{
    return KcResidency_Frequency(slot->model, now);
}

/* Greedy dual size frequency; all adapters cost one load and one slot. */
static double
value_gdsf(const KcSlot *slot, KcTime now)
{
    return slot->inflation + KcResidency_Frequency(slot->model, now);
}

/*
 * Aged frequency, with a bonus for recent use that fades: an adapter just
 * used is likely to be used again at once by the same customer.
 */
static double
value_kcc(const KcSlot *slot, KcTime now)
{
    double idle = (double)(now - slot->used_at) / (double)KC_SECOND;

    return KcResidency_Frequency(slot->model, now) + 1.0 / (1.0 + idle);
}

static const KcVictimPolicy policies[] = {
    {"kcc", value_kcc},
    {"lru", value_lru},
    {"lfu", value_lfu},
    {"gdsf", value_gdsf},
};

#define POLICY_COUNT (sizeof(policies) / sizeof(policies[0]))

const KcVictimPolicy *
KcVictim_FindPolicy(const char *name)
{
    for (size_t i = 0; i < POLICY_COUNT; i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}
