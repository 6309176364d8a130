/*
 * Sharing the weight store's rate without a coordinator.
 *
 * The store serves loads in turn, so an agent that begins a load only when
 * an earlier one of its own has ended takes the pace from the store itself:
 * nothing is left unused, and no agent can crowd out the others.  Only a
 * load that fails, as a store that sheds load makes it, lengthens the
 * interval; loads that end well shorten it again.
 */
#include <assert.h>

#include "kcc_residency.h"

/* The interval never exceeds this many times the static share. */
#define HIGH_FACTOR 4
#define IN_FLIGHT_MAX 2

void
KcPace_Init(KcPace *pace, KcTime nominal, KcTime share)
{
    pace->next = 0;
    pace->interval = 0;
    pace->in_flight = 0;
    pace->in_flight_max = IN_FLIGHT_MAX;
    KcPace_Configure(pace, nominal, share);
}

void
KcPace_Configure(KcPace *pace, KcTime nominal, KcTime share)
{
    pace->nominal = nominal;
    pace->high = share * HIGH_FACTOR;
    if (pace->high < nominal) {
        pace->high = nominal;
    }
    if (pace->interval > pace->high) {
        pace->interval = pace->high;
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
KcPace_End(KcPace *pace, int code, KcTime now)
{
    assert(pace->in_flight > 0);
    pace->in_flight--;
    if (code == 0) {
        pace->interval /= 2;
        if (pace->interval < pace->nominal / 4) {
            pace->interval = 0;
        }
        return;
    }
    pace->interval = pace->interval * 2;
    if (pace->interval < pace->nominal) {
        pace->interval = pace->nominal;
    }
    if (pace->interval > pace->high) {
        pace->interval = pace->high;
    }
    pace->next = now + pace->interval;
}
