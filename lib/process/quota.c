/*
 * Quotas of customers over all gateways.
 */
#include <stdlib.h>

#include "kcc_quota.h"

struct KcQuotas {
    uint32_t gateway_count;
};

KcQuotas *
KcQuotas_Create(void)
{
    return KcMem_New(sizeof(KcQuotas));
}

void
KcQuotas_Free(KcQuotas *quotas)
{
    free(quotas);
}

void
KcQuotas_SetCustomers(KcQuotas *quotas, const KcRouting *routing, KcTime now)
{
    (void)quotas;
    (void)routing;
    (void)now;
}

void
KcQuotas_SetGatewayCount(KcQuotas *quotas, uint32_t gateway_count, KcTime now)
{
    (void)now;
    quotas->gateway_count = gateway_count;
}

int
KcQuotas_Take(KcQuotas *quotas, const KcRoutedCustomer *customer,
              uint64_t cost, KcTime *retry_after, KcTime now)
{
    (void)quotas;
    (void)customer;
    (void)cost;
    (void)now;
    *retry_after = 0;
    return 0;
}

void
KcQuotas_GiveBack(KcQuotas *quotas, const KcRoutedCustomer *customer,
                  uint64_t cost, KcTime now)
{
    (void)quotas;
    (void)customer;
    (void)cost;
    (void)now;
}

uint64_t
KcQuota_Cost(const KcRoutedCustomer *customer, bool states_tokens,
             uint64_t tokens)
{
    if (customer->unit == KC_QUOTA_REQUESTS) {
        return 1;
    }
    return states_tokens ? tokens : customer->plain_cost;
}
