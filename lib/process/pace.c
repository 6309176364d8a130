/*
 * Sharing the weight store's rate without a coordinator.
 *
 * Each agent starts from its static share of the rate.  A load that took
 * much longer than an undisturbed one shows that the store is overcommitted
 * and lengthens the interval at once; loads at full speed shorten it by a
 * fixed step, so that agents with work use what idle ones leave.
 */
#include <assert.h>

#include "kcc_process.h"

/* A load that takes this many times the nominal was disturbed. */
#define SLOW_NUMERATOR 3
#define SLOW_DENOMINATOR 2
/* Steps of the interval that full speed takes back, per load. */
#define RECOVERY_STEPS 8
/* The interval never exceeds this many times the static share. */
#define HIGH_FACTOR 4
#define IN_FLIGHT_MAX 2

void
KcPace_Init(KcPace *pace, KcTime nominal, KcTime share)
{
    pace->next = 0;
    pace->in_flight = 0;
    pace->in_flight_max = IN_FLIGHT_MAX;
    KcPace_Configure(pace, nominal, share);
}

void
KcPace_Configure(KcPace *pace, KcTime nominal, KcTime share)
{
    pace->nominal = nominal;
    pace->interval = share;
    pace->low = nominal / IN_FLIGHT_MAX;
    pace->high = share * HIGH_FACTOR;
    if (pace->low > share) {
        pace->low = share;
    }
}

bool
KcPace_Allows(const KcPace *pace, KcTime now)
{
    return pace->in_flight < pace->in_flight_max && now >= pace->next;
}

void
KcPace_Begin(KcPace *pace, KcTime now)
{
    pace->in_flight++;
    pace->next = now + pace->interval;
}

void
KcPace_End(KcPace *pace, KcTime took, int code, KcTime now)
{
    bool slow = took * SLOW_DENOMINATOR > pace->nominal * SLOW_NUMERATOR;

    (void)now;
    assert(pace->in_flight > 0);
    pace->in_flight--;
    if (slow || code != 0) {
        pace->interval *= 2;
    }
    else {
        pace->interval -= pace->interval / RECOVERY_STEPS;
    }
    if (pace->interval < pace->low) {
        pace->interval = pace->low;
    }
    if (pace->interval > pace->high) {
        pace->interval = pace->high;
    }
}
