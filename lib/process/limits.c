/*
 * Limits of customers' requests, and the limit of bytes between regions.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_process.h"

#define MILLIONTHS_PER_REQUEST 1000000

void
KcCustomers_Init(KcCustomers *customers, uint32_t max)
{
    memset(customers, 0, sizeof(*customers));
    TAILQ_INIT(&customers->list);
    customers->count_max = max;
}

static void
forget_customer(KcCustomers *customers, KcCustomer *customer)
{
    TAILQ_REMOVE(&customers->list, customer, link);
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(customers->by_name, customer);
    customers->count--;
    free(customer);
}

void
KcCustomers_Clear(KcCustomers *customers)
{
    KcCustomer *customer;

    while ((customer = TAILQ_FIRST(&customers->list)) != NULL) {
        forget_customer(customers, customer);
    }
}

/* If the table is full, removes the least recently seen idle customer. */
static void
forget_idle_customer(KcCustomers *customers)
{
    KcCustomer *customer;

    if (customers->count < customers->count_max) {
        return;
    }
    TAILQ_FOREACH (customer, &customers->list, link) {
        if (customer->in_flight == 0) {
            forget_customer(customers, customer);
            return;
        }
    }
}

static KcCustomer *
find_or_add_customer(KcCustomers *customers, const char *name, int64_t burst,
                     KcTime now)
{
    KcCustomer *customer;

    HASH_FIND_STR(customers->by_name, name, customer);
    if (customer == NULL) {
        forget_idle_customer(customers);
        customer = KcMem_New(sizeof(*customer));
        KcName_Copy(customer->name, name, KC_NAME_MAX);
        customer->allowance_millionths = burst * MILLIONTHS_PER_REQUEST;
        customer->refilled_at = now;
        HASH_ADD_STR(customers->by_name, name, customer);
        customers->count++;
    }
    else {
        TAILQ_REMOVE(&customers->list, customer, link);
    }
    TAILQ_INSERT_TAIL(&customers->list, customer, link);
    return customer;
}

/* Refills the token bucket since its last refill, at rate requests/s. */
static void
refill_requests(KcCustomer *customer, int64_t rate, int64_t burst, KcTime now)
{
    KcTime time_since_refill = now - customer->refilled_at;

    /* A minute fills any bucket; the bound prevents an overflow. */
    if (time_since_refill > 60 * KC_SECOND) {
        time_since_refill = 60 * KC_SECOND;
    }
    customer->allowance_millionths +=
        time_since_refill * rate; /* 1 us at 1 request/s is one millionth */
    if (customer->allowance_millionths > burst * MILLIONTHS_PER_REQUEST) {
        customer->allowance_millionths = burst * MILLIONTHS_PER_REQUEST;
    }
    customer->refilled_at = now;
}

/* One entry's share of a limit, at least 1. */
static int64_t
entry_share(int64_t limit, uint32_t entries)
{
    int64_t share = limit / (entries > 0 ? entries : 1);

    return share > 0 ? share : 1;
}

int
KcCustomers_Admit(KcCustomers *customers, const char *name,
                  const KcLimit *limit, uint32_t entries, KcTime now,
                  KcCustomer **customer, KcTime *retry_after)
{
    int64_t rate = entry_share(limit->rate_per_s, entries);
    int64_t burst = entry_share(limit->burst, entries);
    KcCustomer *requester = find_or_add_customer(customers, name, burst, now);

    refill_requests(requester, rate, burst, now);
    if (requester->in_flight >= limit->in_flight) {
        *retry_after = KC_SECOND;
        return KC_ERR_LIMIT;
    }
    if (requester->allowance_millionths < MILLIONTHS_PER_REQUEST) {
        *retry_after =
            (MILLIONTHS_PER_REQUEST - requester->allowance_millionths) / rate +
            1;
        return KC_ERR_LIMIT;
    }
    requester->allowance_millionths -= MILLIONTHS_PER_REQUEST;
    requester->in_flight++;
    *customer = requester;
    return 0;
}

void
KcCustomers_Leave(KcCustomer *customer)
{
    assert(customer->in_flight > 0);
    customer->in_flight--;
}

static void
refill_bytes(KcByteBudget *budget, KcTime now)
{
    KcTime time_since_refill = now - budget->refilled_at;

    if (time_since_refill > KC_SECOND) {
        time_since_refill = KC_SECOND;
    }
    budget->available_bytes += time_since_refill * budget->per_s / KC_SECOND;
    if (budget->available_bytes > budget->per_s) {
        budget->available_bytes = budget->per_s;
    }
    budget->refilled_at = now;
}

bool
KcByteBudget_Allows(KcByteBudget *budget, KcTime now)
{
    refill_bytes(budget, now);
    return budget->per_s > 0 && budget->available_bytes > 0;
}

void
KcByteBudget_Charge(KcByteBudget *budget, uint64_t bytes, KcTime now)
{
    refill_bytes(budget, now);
    budget->available_bytes -= (int64_t)bytes;
}
