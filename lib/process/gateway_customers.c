/*
 * In whose name a request is: its key, and the quota of its customer.
 *
 * A configuration decides only while it is certain to be the newest: about a
 * key that it has until the key might have been taken away for too long, about
 * one that it lacks until a newer one should have been in force.  After that
 * the caller is asked to come back, as another gateway may be able to decide.
 */
#include <string.h>

#include "gateway_internal.h"

/* Was the configuration in force certain to be the newest less than this time
 * ago? */
static bool
is_certain_within(const KcGateway *gateway, KcTime timeout)
{
    const KcGatewayOptions *options = &gateway->options;

    return options->ops->configuration_age == NULL ||
           options->ops->configuration_age(options->context) < timeout;
}

/* May the configuration in force decide about a key? */
static bool
is_confirmed(const KcGateway *gateway)
{
    KcTime timeout = gateway->options.revoke_timeout;

    return timeout == 0 || is_certain_within(gateway, timeout);
}

/* May a request be in the name of the holder by the configuration in force?
 * holder: NULL if there is none; names_one: the request names one.  Returns 0,
 * KC_ERR_UNCONFIRMED, or KC_ERR_UNKNOWN_KEY if no newer configuration can know
 * one. */
static int
check_holder(const KcGateway *gateway, bool names_one,
             const KcRoutedCustomer *holder)
{
    bool has_customers = gateway->routing->has_customers;

    /* A key may have come and gone in configurations that aren't known here.
     */
    if ((has_customers || names_one) && !is_confirmed(gateway)) {
        return KC_ERR_UNCONFIRMED;
    }
    if (!has_customers || holder != NULL) {
        return 0;
    }
    return is_certain_within(gateway, gateway->options.config_timeout)
               ? KC_ERR_UNKNOWN_KEY
               : KC_ERR_UNCONFIRMED;
}

/* Finds the holder of a key.  Returns as check_holder(); *holder is NULL on
 * errors. */
static int
find_holder(const KcGateway *gateway, bool has_key, const KcKeyDigest *digest,
            const KcRoutedCustomer **holder)
{
    int code;

    *holder =
        has_key ? KcRouting_FindCustomer(gateway->routing, digest) : NULL;
    code = check_holder(gateway, has_key, *holder);
    if (code != 0) {
        *holder = NULL;
    }
    return code;
}

static void
count_refusal(const KcGateway *gateway, int code)
{
    KcCounters_Add(gateway->options.counters,
                   code == KC_ERR_UNKNOWN_KEY ? KC_COUNT_UNKNOWN_KEYS
                                              : KC_COUNT_UNCONFIRMED_KEYS,
                   1);
}

int
KcGateway_ForeseeAdmission(const KcGateway *gateway, const KcForwardCall *call,
                           const char *customer, KcAdmission *admission,
                           KcExplanation *explanation, KcTime now)
{
    const KcRoutedCustomer *holder;
    int code;

    *admission = (KcAdmission){.step = "key"};
    if (explanation->rule->keyless) {
        return 0;
    }
    if (customer[0] != '\0') {
        holder = KcRouting_FindCustomerByName(gateway->routing, customer);
        admission->step = holder != NULL ? "key" : "customer";
        code = check_holder(gateway, true, holder);
    }
    else {
        code = find_holder(gateway, call->has_key, &call->key_digest, &holder);
    }
    if (code != 0 || holder == NULL) {
        return code;
    }
    admission->customer = holder;
    admission->step = "quota";
    admission->cost =
        KcQuota_Cost(holder, call->states_tokens, call->quota_tokens);
    explanation->customer = holder;
    explanation->quota_cost = admission->cost;
    if (gateway->quotas_version != gateway->routing->version) {
        explanation->is_quota_unknown = holder->rate_per_s > 0;
        return 0;
    }
    return KcQuotas_Foresee(gateway->quotas, holder, admission->cost,
                            &admission->retry_after, &explanation->quota, now);
}

uint32_t
KcAdmission_Priority(const KcAdmission *admission, const KcRouteRule *rule)
{
    return admission->customer != NULL && admission->customer->has_priority
               ? admission->customer->priority
               : rule->priority;
}

int
KcGateway_Admit(KcGateway *gateway, const KcForwardCall *call,
                const KcRouteRule *rule, KcAdmission *admission, KcTime now)
{
    int code;

    *admission = (KcAdmission){.step = "key"};
    if (rule->keyless) {
        return 0;
    }
    code = find_holder(gateway, call->has_key, &call->key_digest,
                       &admission->customer);
    if (code != 0) {
        count_refusal(gateway, code);
        return code;
    }
    if (admission->customer == NULL) {
        return 0;
    }
    admission->step = "quota";
    admission->cost = KcQuota_Cost(admission->customer, call->states_tokens,
                                   call->quota_tokens);
    return KcQuotas_Take(KcGateway_GetQuotas(gateway, now),
                         admission->customer, admission->cost,
                         &admission->retry_after, now);
}

int
KcForward_CheckKey(const KcForward *forward)
{
    const KcGateway *gateway = forward->gateway;
    const KcRoutedCustomer *holder;
    int code;

    if (forward->answer_begun || !gateway->routing->has_customers) {
        return 0;
    }
    if (!forward->routing->has_customers) {
        /* It is in no one's name, which the newest no longer allows. */
        return KC_ERR_UNCONFIRMED;
    }
    if (forward->customer == NULL) {
        return 0;
    }
    code = find_holder(gateway, true, &forward->key_digest, &holder);
    if (code == 0 && strcmp(holder->name, forward->customer->name) != 0) {
        return KC_ERR_UNCONFIRMED;
    }
    return code;
}

bool
KcForward_RefuseForKey(KcForward *forward, KcTime now)
{
    int code = KcForward_CheckKey(forward);

    if (code == 0) {
        return false;
    }
    count_refusal(forward->gateway, code);
    KcError_Set(&forward->error, code, "key", "");
    KcForward_FinishFailed(forward, now);
    return true;
}

bool
KcForward_HidesKey(const KcForward *forward)
{
    return forward->routing->has_customers ||
           forward->gateway->routing->has_customers;
}

bool
KcForward_TakeQuota(KcForward *forward, KcTime now)
{
    KcTime unused;

    return forward->customer == NULL ||
           KcQuotas_Take(KcGateway_GetQuotas(forward->gateway, now),
                         forward->customer, forward->quota_cost, &unused,
                         now) == 0;
}

void
KcForward_GiveBackQuota(KcForward *forward, KcTime now)
{
    if (forward->customer != NULL) {
        KcQuotas_GiveBack(KcGateway_GetQuotas(forward->gateway, now),
                          forward->customer, forward->quota_cost, now);
    }
}
