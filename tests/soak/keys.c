/*
 * Customers and keys of the soak.
 */
#include "keys.h"

#include <stdio.h>

/* Of so many calls one has a key that is taken away at times, and one an
 * unknown key. */
#define CALLS_PER_ODD_KEY 8
#define CUSTOMERS_TEXT_SIZE 1024

enum { ONE, TWO, THREE, FOUR };

static const Customer customers[] = {
    /* Far more than all callers send, also at one of many gateways. */
    [ONE] = {"one", KEYS_LASTING, 10000000, 10000000, "requests", 1},
    [TWO] = {"two", "lasting-key-2", 0, 0, "requests", 1},
    /* Hot ones. */
    [THREE] = {"three", "lasting-key-3", 20, 20, "requests", 1},
    [FOUR] = {"four", "lasting-key-4", 800, 800, "tokens", KEYS_CALL_TOKENS},
};

#define CUSTOMER_COUNT (sizeof(customers) / sizeof(customers[0]))

static struct {
    const Customer *customer;
    KcTime until;
} hot;

const Customer *
Keys_GetCustomer(size_t index)
{
    return index < CUSTOMER_COUNT ? &customers[index] : NULL;
}

const Customer *
Keys_GetHotCustomer(size_t index)
{
    return Keys_GetCustomer(THREE + index);
}

bool
Keys_IsHot(const Customer *customer)
{
    return customer != NULL && customer >= &customers[THREE];
}

const char *
Keys_GetCustomers(int version)
{
    static char text[CUSTOMERS_TEXT_SIZE];
    size_t size = 0;

    for (size_t i = 0; i < CUSTOMER_COUNT; i++) {
        const Customer *customer = &customers[i];

        size += (size_t)snprintf(
            text + size, sizeof(text) - size,
            "%s{\"name\":\"%s\",\"keys\":[\"%s\"%s],\"rate_per_s\":%d,"
            "\"burst\":%d,\"unit\":\"%s\"}",
            i == 0 ? "[" : ",", customer->name, customer->key,
            i == ONE && version % 2 != 0 ? ",\"key-at-times\"" : "",
            customer->rate_per_s, customer->burst, customer->unit);
    }
    snprintf(text + size, sizeof(text) - size, "]");
    return text;
}

void
Keys_Heat(const Customer *customer, KcTime until)
{
    hot.customer = customer;
    hot.until = until;
}

static void
choose_lasting(Call *call, const Customer *customer)
{
    call->key = customer->key;
    call->customer = customer;
    call->is_key_lasting = true;
}

void
Keys_Choose(Call *call, int caller_number, int call_number, KcTime now)
{
    /* Callers 0 and 1 of four: some of each of the first two customers. */
    if (now < hot.until && caller_number % 4 < 2) {
        choose_lasting(call, hot.customer);
        return;
    }
    switch (call_number % CALLS_PER_ODD_KEY) {
    case 0:
        call->key = "key-at-times";
        call->customer = &customers[ONE];
        break;
    case 1:
        call->key = "unknown-key";
        break;
    default:
        choose_lasting(call, &customers[caller_number % 2 != 0 ? ONE : TWO]);
        break;
    }
}

void
Keys_CheckCall(const Call *call)
{
    if (call->customer == NULL &&
        (call->run_count > 0 || call->status == 200)) {
        Soak_ReportViolation("served with an unknown key", call);
    }
    if (call->customer != NULL && call->run_count > 0 && !call->is_named) {
        Soak_ReportViolation("in no one's name", call);
    }
    if (call->is_key_lasting && call->status == 401) {
        Soak_ReportViolation("a known key denied", call);
    }
    if (call->status == 401 && call->run_count > 0) {
        Soak_ReportViolation("denied, though it has run", call);
    }
}
