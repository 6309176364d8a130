/*
 * Customers and keys of the soak.
 */
#include "keys.h"

/* Of so many calls one has a key that is taken away at times, and one an
 * unknown key. */
#define CALLS_PER_ODD_KEY 8

#define CUSTOMERS(keys)                                                       \
    "[{\"name\":\"one\",\"keys\":[\"" KEYS_LASTING "\"" keys "]},"            \
    "{\"name\":\"two\",\"keys\":[\"lasting-key-2\"]}]"

const char *
Keys_GetCustomers(int version)
{
    return version % 2 != 0 ? CUSTOMERS(",\"key-at-times\"") : CUSTOMERS("");
}

void
Keys_Choose(Call *call, int caller_number, int call_number)
{
    switch (call_number % CALLS_PER_ODD_KEY) {
    case 0:
        call->key = "key-at-times";
        call->customer = "one";
        break;
    case 1:
        call->key = "unknown-key";
        break;
    default:
        call->key = caller_number % 2 != 0 ? KEYS_LASTING : "lasting-key-2";
        call->customer = caller_number % 2 != 0 ? "one" : "two";
        call->is_key_lasting = true;
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
