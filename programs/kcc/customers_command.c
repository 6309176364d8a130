/*
 * kcc customers: the customers of a gateway, their use and what the gateway
 * may spend of their quotas.
 */
#include <jansson.h>
#include <stdio.h>

#include "command.h"

static double
get_number(const json_t *customer, const char *key)
{
    return json_number_value(json_object_get(customer, key));
}

static void
print_customer(const json_t *customer)
{
    int heard_ms = (int)get_number(customer, "heard_ms_ago");
    char heard[32] = "alone";

    if (heard_ms >= 0) {
        snprintf(heard, sizeof(heard), "heard %d ms ago", heard_ms);
    }
    printf(
        "%-24s %-8s limit %.0f/s burst %.0f asked %.0f/s here %.0f/s in "
        "all used %.0f here level %.0f may spend %.0f at once %.0f/s "
        "admitted %.0f refused %.0f%s, %s, %d of %d gateways\n",
        json_string_value(json_object_get(customer, "customer")),
        json_string_value(json_object_get(customer, "unit")),
        get_number(customer, "rate_per_s"), get_number(customer, "burst"),
        get_number(customer, "asked_per_s"),
        get_number(customer, "all_asked_per_s"), get_number(customer, "used"),
        get_number(customer, "level"), get_number(customer, "may_spend"),
        get_number(customer, "may_per_s"), get_number(customer, "admitted"),
        get_number(customer, "refused"),
        json_is_true(json_object_get(customer, "limited")) ? " LIMITED" : "",
        heard, (int)get_number(customer, "gateways"),
        (int)get_number(customer, "of"));
}

int
KcCommand_Customers(const KcArguments *arguments)
{
    return KcCommand_PrintStateList(arguments->operands[0], "customers",
                                    "gateway", print_customer);
}
