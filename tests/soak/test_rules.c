/*
 * Tests which ends of a call and which sums of calls the soak takes for a
 * violation.
 */
#include <glib.h>
#include <string.h>

#include "../steps.h"
#include "history.h"
#include "keys.h"
#include "quotas.h"
#include "rules.h"

/* When the call begins. */
#define BEGAN_AT (100 * KC_SECOND)
#define REFUSED "refused by limits that came later"
#define TOO_MUCH "more than its quota"
#define TOO_EARLY "refused below its quota"

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

/* Calls of one customer to gateway 0, the only one. */
static const struct {
    const char *name;
    size_t customer; /* see Keys_GetCustomer() */
    int count;
    int interval_ms;
    int run_ms;      /* from a call's beginning to its run; -1: it didn't */
    int last_status; /* of the last call */
    const char *violation;
    int restart_ms; /* of a gateway, before the last call; 0: none */
    int restarted_gateway;
    bool is_answered_by_worker; /* the last call */
    bool is_slow; /* the first call has last_status, after the last one */
} quota_cases[] = {
    {"all of a quota", 2, 198, 20, 5, 200, NULL, 0, 0, false, false},
    {"more than a quota", 2, 199, 20, 5, 200, TOO_MUCH, 0, 0, false, false},
    {"a restart excuses no use", 2, 199, 20, 5, 200, TOO_MUCH, 100, 0, false,
     false},
    {"more in longer than a window", 2, 300, 41, 5, 200, NULL, 0, 0, false,
     false},
    {"more that runs after the window", 2, 199, 20, 4500, 200, NULL, 0, 0,
     false, false},
    {"more that doesn't run", 2, 199, 20, -1, 200, NULL, 0, 0, false, false},
    {"all of a quota in tokens", 3, 198, 20, 5, 200, NULL, 0, 0, false, false},
    {"more than a quota in tokens", 3, 199, 20, 5, 200, TOO_MUCH, 0, 0, false,
     false},
    {"no quota", 1, 400, 1, 5, 200, NULL, 0, 0, false, false},
    {"far below a large quota", 0, 400, 1, 5, 200, NULL, 0, 0, false, false},
    {"refused far below a quota", 0, 400, 1, 5, 429, TOO_EARLY, 0, 0, false,
     false},
    {"refused after a little", 2, 2, 100, -1, 429, TOO_EARLY, 0, 0, false,
     false},
    {"refused after more", 2, 3, 100, -1, 429, NULL, 0, 0, false, false},
    {"refused after more that came as it was sent", 2, 3, 100, -1, 429, NULL,
     0, 0, false, true},
    {"refused after a little that came as it was sent", 2, 2, 100, -1, 429,
     TOO_EARLY, 0, 0, false, true},
    {"refused long after more", 2, 3, 8100, -1, 429, TOO_EARLY, 0, 0, false,
     false},
    {"refused after a restart", 2, 1, 100, -1, 429, NULL, 500, 0, false,
     false},
    {"refused long after a restart", 2, 1, 100, -1, 429, TOO_EARLY, 3500, 0,
     false, false},
    {"refused after another gateway's restart", 2, 1, 100, -1, 429, TOO_EARLY,
     500, 1, false, false},
    {"refused without a quota", 1, 1, 100, -1, 429, "refused without a quota",
     500, 0, false, false},
    {"refused by a worker", 1, 1, 100, -1, 429, NULL, 0, 0, true, false},
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

static Call *
add_call(Call **calls, size_t index, int number)
{
    Call *call = KcMem_New(sizeof(*call));
    int run_ms = quota_cases[index].run_ms;

    snprintf(call->id, sizeof(call->id), "c%d", number);
    call->customer = Keys_GetCustomer(quota_cases[index].customer);
    call->began_at =
        BEGAN_AT + number * quota_cases[index].interval_ms * KC_MS;
    call->ended_at = call->began_at + KC_MS;
    call->status = 200;
    call->run_count = run_ms >= 0 ? 1 : 0;
    call->ran_at = call->began_at + run_ms * KC_MS;
    HASH_ADD_STR(*calls, id, call);
    return call;
}

static void
test_quota_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Call *calls = NULL;
    Call *call = add_call(&calls, index, 0);
    Call *next;

    for (int i = 1; i < quota_cases[index].count; i++) {
        call = add_call(&calls, index, i);
    }
    if (quota_cases[index].is_slow) {
        calls->ended_at = call->ended_at;
        call = calls;
    }
    call->status = quota_cases[index].last_status;
    if (quota_cases[index].is_answered_by_worker) {
        strcpy(call->server_seal, "plain-0");
    }
    if (quota_cases[index].restart_ms != 0) {
        KcTime restart_at =
            call->began_at - quota_cases[index].restart_ms * KC_MS;

        History_Begin(DISTURBANCE_RESTART, GATEWAY_CLUSTER_GATEWAY,
                      quota_cases[index].restarted_gateway, restart_at)
            ->ends_at = restart_at;
    }
    reported = NULL;
    Quotas_CheckCalls(calls);
    g_assert_cmpstr(reported, ==, quota_cases[index].violation);
    HASH_ITER(hh, calls, call, next)
    {
        HASH_DEL(calls, call);
        free(call);
    }
    History_Clear();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/quotas", quota_cases, G_N_ELEMENTS(quota_cases),
                   sizeof(quota_cases[0]), test_quota_case);
    Steps_AddCases("/rules", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
