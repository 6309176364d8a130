/*
 * The rules of quotas, over the calls in the order in which they began.
 */
#include "quotas.h"

#include <stdio.h>

#include "history.h"
#include "keys.h"

/* The promise of the gateways' settings. */
#define WINDOW (8 * KC_SECOND)
#define EXCESS_PERCENT 10
#define SLACK 0
/* Of the burst that a gateway has which hears of no other one: half of its
 * part by their number. */
#define LONE_BURST_DIVISOR 2
/* A customer that asks all gateways for no more than this part of that within
 * a window is well below its quota, also at a single one. */
#define LOW_USE_DIVISOR 4
/* Buckets are empty at first, and no configuration may be there before. */
#define START_TIME_MAX (3 * KC_SECOND)

/* Units of a customer that may run in a window. */
static int64_t
get_units_max(const Customer *customer)
{
    int64_t units =
        (int64_t)customer->rate_per_s * (WINDOW / KC_SECOND) + customer->burst;

    return units * (100 + EXCESS_PERCENT) / 100 + SLACK;
}

/* Units of the customer of a call that were sent and arrived where they ran
 * within the window that begins with it. */
static int64_t
count_run_units(const Call *first)
{
    KcTime until = first->began_at + WINDOW;
    int64_t units = 0;

    for (const Call *call = first; call != NULL && call->began_at <= until;
         call = call->hh.next) {
        if (call->customer == first->customer && call->run_count > 0 &&
            call->ran_at <= until) {
            units += call->customer->call_units;
        }
    }
    return units;
}

static int64_t
count_if_same(const Call *call, const Customer *customer)
{
    return call->customer == customer ? customer->call_units : 0;
}

/* Units that the customer of a call asked for, at any gateway, from a window
 * before it until it was refused. */
static int64_t
count_asked_units(const Call *refused)
{
    int64_t units = 0;

    for (const Call *call = refused;
         call != NULL && call->began_at >= refused->began_at - WINDOW;
         call = call->hh.prev) {
        units += count_if_same(call, refused->customer);
    }
    for (const Call *call = refused->hh.next;
         call != NULL && call->began_at <= refused->ended_at;
         call = call->hh.next) {
        units += count_if_same(call, refused->customer);
    }
    return units;
}

/* Was it refused by its gateway's quotas?  An answer of a worker names it. */
static bool
is_refused(const Call *call)
{
    return call->status == 429 && call->server_seal[0] == '\0';
}

static bool
was_started_lately(const Call *call)
{
    return History_Find(DISTURBANCE_RESTART, GATEWAY_CLUSTER_GATEWAY,
                        call->gateway, call->began_at - START_TIME_MAX,
                        call->ended_at) != NULL;
}

static void
check_refusal(const Call *call)
{
    const Customer *customer = call->customer;
    int64_t divisor = LONE_BURST_DIVISOR * LOW_USE_DIVISOR *
                      Soak_CountProcesses(GATEWAY_CLUSTER_GATEWAY);

    if (customer == NULL || customer->rate_per_s == 0) {
        Soak_ReportViolation("refused without a quota", call);
    }
    else if (count_asked_units(call) * divisor <= customer->burst &&
             !was_started_lately(call)) {
        Soak_ReportViolation("refused below its quota", call);
    }
}

/* Checks the windows of a customer, and prints the fullest one. */
static void
check_windows(const Call *calls, const Customer *customer)
{
    const Call *fullest = NULL;
    int64_t units_max = 0;
    int refused = 0;

    for (const Call *call = calls; call != NULL; call = call->hh.next) {
        int64_t units = call->customer == customer ? count_run_units(call) : 0;

        refused += call->customer == customer && is_refused(call) ? 1 : 0;
        if (units > units_max) {
            units_max = units;
            fullest = call;
        }
    }
    printf("customer %s: %d refused, %d of %d %s in its fullest window\n",
           customer->name, refused, (int)units_max,
           (int)get_units_max(customer), customer->unit);
    if (units_max > get_units_max(customer)) {
        Soak_ReportViolation("more than its quota", fullest);
    }
}

void
Quotas_CheckCalls(const Call *calls)
{
    const Customer *customer;

    for (size_t i = 0; (customer = Keys_GetCustomer(i)) != NULL; i++) {
        if (customer->rate_per_s != 0) {
            check_windows(calls, customer);
        }
    }
    for (const Call *call = calls; call != NULL; call = call->hh.next) {
        if (is_refused(call)) {
            check_refusal(call);
        }
    }
}
