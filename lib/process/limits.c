/*
 * Limits of customers and the byte budget of the link between regions.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_process.h"

#define REQUEST_COST 1000000 /* millionths of a request */

void
KcCustomers_Init(KcCustomers *customers, uint32_t max)
{
    memset(customers, 0, sizeof(*customers));
    TAILQ_INIT(&customers->list);
    customers->max = max;
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

/* Forgets the idle customer that was seen least recently. */
static void
make_room(KcCustomers *customers)
{
    KcCustomer *customer;

    if (customers->count < customers->max) {
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
find_or_add(KcCustomers *customers, const char *name, int64_t burst,
            KcTime now)
{
    KcCustomer *customer;

    HASH_FIND_STR(customers->by_name, name, customer);
    if (customer == NULL) {
        make_room(customers);
        customer = KcMem_New(sizeof(*customer));
        KcText_Copy(customer->name, name, KC_NAME_MAX);
        customer->tokens = burst * REQUEST_COST;
        customer->filled = now;
        HASH_ADD_STR(customers->by_name, name, customer);
        customers->count++;
    }
    else {
        TAILQ_REMOVE(&customers->list, customer, link);
    }
    TAILQ_INSERT_TAIL(&customers->list, customer, link);
    return customer;
}

/* Adds what has accrued since the last time, at rate requests a second. */
static void
refill(KcCustomer *customer, int64_t rate, int64_t burst, KcTime now)
{
    KcTime elapsed = now - customer->filled;

    /* Longer than a minute fills any bucket and would only overflow. */
    if (elapsed > 60 * KC_SECOND) {
        elapsed = 60 * KC_SECOND;
    }
    customer->tokens += elapsed * rate; /* 1 us x 1/s = one millionth */
    if (customer->tokens > burst * REQUEST_COST) {
        customer->tokens = burst * REQUEST_COST;
    }
    customer->filled = now;
}

static int64_t
share_of(int64_t whole, uint32_t entries)
{
    int64_t share = whole / (entries > 0 ? entries : 1);

    return share > 0 ? share : 1;
}

int
KcCustomers_Admit(KcCustomers *customers, const char *name,
                  const KcCustomerLimit *limit, uint32_t entries, KcTime now,
                  KcCustomer **customer, KcTime *retry_after)
{
    int64_t rate = share_of(limit->rate_per_s, entries);
    int64_t burst = share_of(limit->burst, entries);
    KcCustomer *found = find_or_add(customers, name, burst, now);

    refill(found, rate, burst, now);
    if (found->in_flight >= limit->in_flight_max) {
        *retry_after = KC_SECOND;
        return KC_ERR_LIMIT_EXCEEDED;
    }
    if (found->tokens < REQUEST_COST) {
        *retry_after = (REQUEST_COST - found->tokens) / rate + 1;
        return KC_ERR_LIMIT_EXCEEDED;
    }
    found->tokens -= REQUEST_COST;
    found->in_flight++;
    *customer = found;
    return 0;
}

void
KcCustomers_Release(KcCustomer *customer)
{
    assert(customer->in_flight > 0);
    customer->in_flight--;
}

static void
refill_bytes(KcByteBudget *budget, KcTime now)
{
    KcTime elapsed = now - budget->filled;

    if (elapsed > KC_SECOND) {
        elapsed = KC_SECOND;
    }
    budget->bytes += elapsed * budget->bytes_per_s / KC_SECOND;
    if (budget->bytes > budget->bytes_per_s) {
        budget->bytes = budget->bytes_per_s;
    }
    budget->filled = now;
}

bool
KcByteBudget_Allows(KcByteBudget *budget, KcTime now)
{
    refill_bytes(budget, now);
    return budget->bytes_per_s > 0 && budget->bytes > 0;
}

void
KcByteBudget_Charge(KcByteBudget *budget, uint64_t bytes, KcTime now)
{
    refill_bytes(budget, now);
    budget->bytes -= (int64_t)bytes;
}
