/*
 * Tests which ends of a call the soak takes for a violation.
 */
#include <glib.h>
#include <string.h>

#include "../steps.h"
#include "history.h"
#include "rules.h"

/* When the call begins. */
#define BEGAN_AT (100 * KC_SECOND)
#define REFUSED "refused by limits that came later"

/* Times in ms from the beginning of the call; the call is to gateway 0. */
static const struct {
    const char *name;
    int status;
    int ended_ms;
    int run_count;
    int stop_ms; /* a planned stop of stopped_gateway begins; 0: none */
    int stopped_gateway;
    bool limits_change; /* at the beginning of the call */
    const char *violation;
    bool stops_reading; /* the caller */
} cases[] = {
    {"an answer", 200, 900, 1, 0, 0, false, NULL, false},
    {"a request that crosses the last close of a stop", 408, 1, 0, -4700, 0,
     false, NULL, false},
    {"one that crosses the first close of a stop", 408, 1, 0, -2500, 0, false,
     NULL, false},
    {"a 408 without a stop", 408, 1, 0, 0, 0, false, REFUSED, false},
    {"a 408 beside the stop of another gateway", 408, 1, 0, -4700, 1, false,
     REFUSED, false},
    {"a 408 to a request that has run", 408, 1, 1, -4700, 0, false, REFUSED,
     false},
    {"a 408 that comes later than the crossing of a close", 408, 500, 0, -4700,
     0, false, REFUSED, false},
    {"a 408 that a caller which stops reading sees later", 408, 500, 0, -4700,
     0, false, NULL, true},
    {"a 408 before a stop closes connections", 408, 1, 0, -1000, 0, false,
     REFUSED, false},
    {"a 413 in a stop", 413, 1, 0, -4700, 0, false, REFUSED, false},
    {"a 431 in a stop", 431, 1, 0, -4700, 0, false, REFUSED, false},
    {"a 413 beside lower limits", 413, 1, 0, 0, 0, true, NULL, false},
};

static const char *reported;

void
Soak_ReportViolation(const char *violation, const Call *call)
{
    g_assert_nonnull(call);
    reported = violation;
}

Call *
Soak_FindCall(const char *id)
{
    (void)id;
    return NULL;
}

int
Soak_CountProcesses(GatewayClusterRole role)
{
    (void)role;
    return 1;
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    RuleCounts counts;
    Call call;

    memset(&counts, 0, sizeof(counts));
    memset(&call, 0, sizeof(call));
    call.connected_at = BEGAN_AT;
    call.began_at = BEGAN_AT;
    call.sent_at = BEGAN_AT;
    call.ended_at = BEGAN_AT + cases[index].ended_ms * KC_MS;
    call.status = cases[index].status;
    call.run_count = cases[index].run_count;
    call.is_complete = true;
    call.stops_reading = cases[index].stops_reading;
    if (cases[index].stop_ms != 0) {
        History_Begin(DISTURBANCE_STOP, GATEWAY_CLUSTER_GATEWAY,
                      cases[index].stopped_gateway,
                      BEGAN_AT + cases[index].stop_ms * KC_MS);
    }
    if (cases[index].limits_change) {
        History_Begin(DISTURBANCE_LIMITS, GATEWAY_CLUSTER_STORE, 0, BEGAN_AT);
    }
    reported = NULL;
    Rules_CheckEnd(&call, &counts);
    g_assert_cmpstr(reported, ==, cases[index].violation);
    History_Clear();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/rules", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
