/*
 * In whose name a request is: its key, and the quota of its customer.
 */
#include "gateway_internal.h"

/* May the configuration in force decide about a key? */
static bool
is_confirmed(const KcGateway *gateway)
{
    const KcGatewayOptions *options = &gateway->options;

    return options->revoke_timeout == 0 ||
           options->ops->configuration_age(options->context) <
               options->revoke_timeout;
}

int
KcGateway_Admit(KcGateway *gateway, const KcForwardCall *call,
                const KcRouteRule *rule, KcAdmission *admission, KcTime now)
{
    const KcRouting *routing = gateway->routing;

    *admission = (KcAdmission){.step = "key"};
    if (!routing->has_customers || rule->keyless) {
        return 0;
    }
    if (!is_confirmed(gateway)) {
        return KC_ERR_UNCONFIRMED;
    }
    admission->customer =
        call->has_key ? KcRouting_FindCustomer(routing, &call->key_digest)
                      : NULL;
    if (admission->customer == NULL) {
        return KC_ERR_UNKNOWN_KEY;
    }
    admission->step = "quota";
    admission->cost = KcQuota_Cost(admission->customer, call->states_tokens,
                                   call->quota_tokens);
    return KcQuotas_Take(KcGateway_GetQuotas(gateway, now),
                         admission->customer, admission->cost,
                         &admission->retry_after, now);
}

void
KcForward_GiveBackQuota(KcForward *forward, KcTime now)
{
    if (forward->customer != NULL) {
        KcQuotas_GiveBack(KcGateway_GetQuotas(forward->gateway, now),
                          forward->customer, forward->quota_cost, now);
    }
}
