/*
 * Limits the rate of loads, so that agents share the weight store's rate
 * without a coordinator.
 *
 * The store serves loads in turn.  An agent that starts a load only when one
 * of its earlier loads has ended therefore follows the store's rate: the store
 * is fully used, and no agent can crowd out the others.  Only a failed load,
 * as from a store that sheds load, lengthens the interval between loads;
 * successful ones shorten it again.
 */
#include <assert.h>

#include "kcc_residency.h"

/* Bound of the interval, in multiples of share_interval. */
#define INTERVAL_MAX_FACTOR 4
/* Loads at once, unless the owner sets another limit. */
#define DEFAULT_LOADS_IN_FLIGHT_MAX 2

void
KcPace_Init(KcPace *pace, KcTime nominal_load_time, KcTime share_interval)
{
    pace->next = 0;
    pace->interval = 0;
    pace->loads_in_flight = 0;
    pace->loads_in_flight_max = DEFAULT_LOADS_IN_FLIGHT_MAX;
    KcPace_Configure(pace, nominal_load_time, share_interval);
}

void
KcPace_Configure(KcPace *pace, KcTime nominal_load_time, KcTime share_interval)
{
    pace->nominal_load_time = nominal_load_time;
    pace->interval_max = share_interval * INTERVAL_MAX_FACTOR;
    if (pace->interval_max < nominal_load_time) {
        pace->interval_max = nominal_load_time;
    }
    if (pace->interval > pace->interval_max) {
        pace->interval = pace->interval_max;
    }
}

bool
KcPace_Allows(const KcPace *pace, KcTime now)
{
    return pace->loads_in_flight < pace->loads_in_flight_max &&
           now >= pace->next;
}

void
KcPace_Begin(KcPace *pace, KcTime now)
{
    pace->loads_in_flight++;
    pace->next = now + pace->interval;
}

void
KcPace_End(KcPace *pace, int code, KcTime now)
{
    assert(pace->loads_in_flight > 0);
    pace->loads_in_flight--;
    if (code == 0) {
        pace->interval /= 2;
        if (pace->interval < pace->nominal_load_time / 4) {
            pace->interval = 0;
        }
        return;
    }
    pace->interval = pace->interval * 2;
    if (pace->interval < pace->nominal_load_time) {
        pace->interval = pace->nominal_load_time;
    }
    if (pace->interval > pace->interval_max) {
        pace->interval = pace->interval_max;
    }
    pace->next = now + pace->interval;
}
