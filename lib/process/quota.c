/*
 * Quotas of customers over all gateways: the customers at one gateway, and the
 * requests that take from their quotas.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "quota_internal.h"

/* A cost above this part of what the promise allows beyond the quota has to be
 * in the bucket. */
#define DEBT_FRACTION 0.25
/* Weight of a request in the mean cost. */
#define COST_WEIGHT 0.05
/* Longest time after which refused requests are to come back. */
#define RETRY_AFTER_MAX (10 * KC_SECOND)
/* What a removed customer has used is remembered for so long. */
#define REMOVED_TIMEOUT (60 * KC_SECOND)
/* A number of gateways that was heard of holds for so long without a higher
 * one; gateways are listed more often. */
#define KNOWN_COUNT_TIMEOUT (60 * KC_SECOND)
/* A report is requested when less than this part of a grant is left. */
#define EARLY_FRACTION 0.5
/* Costs are counted up to this. */
#define COST_MAX ((uint64_t)1 << 40)

/* ---- customers ------------------------------------------------------------ */

KcQuotas *
KcQuotas_Create(const KcQuotaOptions *options)
{
    KcQuotas *quotas = KcMem_New(sizeof(*quotas));

    quotas->options = *options;
    quotas->random_state = options->seed;
    quotas->sent_at = KC_NEVER;
    TAILQ_INIT(&quotas->list);
    return quotas;
}

static void
remove_quota(KcQuotas *quotas, KcQuota *quota)
{
    TAILQ_REMOVE(&quotas->list, quota, link);
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(quotas->table, quota);
    free(quota);
}

void
KcQuotas_Free(KcQuotas *quotas)
{
    while (!TAILQ_EMPTY(&quotas->list)) {
        remove_quota(quotas, TAILQ_FIRST(&quotas->list));
    }
    KcBuffer_Clear(&quotas->rows);
    free(quotas);
}

KcQuota *
KcQuotas_Find(const KcQuotas *quotas, uint64_t id)
{
    KcQuota *quota;

    HASH_FIND(hh, quotas->table, &id, sizeof(id), quota);
    return quota;
}

static KcQuota *
add_quota(KcQuotas *quotas, const char *name, KcTime now)
{
    KcQuota *quota = KcMem_New(sizeof(*quota));

    KcText_Copy(quota->name, name, KC_NAME_MAX);
    quota->id = KcQuota_HashCustomer(name);
    quota->share = quotas->is_hearing ? 1.0 / quotas->group_size : 1;
    quota->is_pressed = true;
    quota->draw = KcQuotas_DrawNumber(quotas);
    quota->granted_at = now;
    quota->settled_at = now;
    quota->rated_at = now;
    quota->asked_at = -KC_QUOTA_REPORT_TIMEOUT;
    HASH_ADD(hh, quotas->table, id, sizeof(quota->id), quota);
    TAILQ_INSERT_TAIL(&quotas->list, quota, link);
    return quota;
}

/* Takes over a customer's quota, which is settled; its level stays, within the
 * new burst. */
static void
set_limits(KcQuotas *quotas, KcQuota *quota, const KcRoutedCustomer *customer,
           bool is_new)
{
    if (!is_new && (quota->unit != customer->unit || quota->rate <= 0)) {
        quota->granted = 0;
        quota->room = 0;
        quota->mean_cost = 0;
        quota->asked_rate = 0;
        quota->asked = 0;
        quota->awaited = 0;
    }
    quota->unit = customer->unit;
    quota->rate = customer->rate_per_s > 0 ? customer->rate_per_s : 0;
    quota->burst = customer->burst > 0 ? customer->burst : 0;
    quota->removed_at = KC_NEVER;
    if (is_new && quotas->has_customers) {
        /* No gateway can have spent of it before. */
        quota->granted = KcQuota_GroupFraction(quotas, quota) * quota->burst;
        quota->room = quota->share * quota->granted;
    }
}

static bool
has_engines(const KcRouting *routing)
{
    const KcRoutedService *service;

    TAILQ_FOREACH (service, &routing->service_list, link) {
        if (service->engine.is_configured) {
            return true;
        }
    }
    return false;
}

void
KcQuotas_SetCustomers(KcQuotas *quotas, const KcRouting *routing, KcTime now)
{
    const KcRoutedCustomer *customer;
    KcQuota *quota;
    KcQuota *next;

    KcQuotas_SettleAll(quotas, now);
    quotas->has_hub = has_engines(routing);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        if (quota->removed_at == KC_NEVER) {
            quota->removed_at = now;
        }
    }
    TAILQ_FOREACH (customer, &routing->customer_list, link) {
        quota = KcQuotas_Find(quotas, KcQuota_HashCustomer(customer->name));
        if (quota != NULL) {
            set_limits(quotas, quota, customer, false);
        }
        else {
            quota = add_quota(quotas, customer->name, now);
            set_limits(quotas, quota, customer, true);
        }
    }
    TAILQ_FOREACH_SAFE (quota, &quotas->list, link, next) {
        if (quota->removed_at != KC_NEVER &&
            now - quota->removed_at >= REMOVED_TIMEOUT) {
            remove_quota(quotas, quota);
        }
    }
    quotas->has_customers = true;
}

void
KcQuotas_LearnCount(KcQuotas *quotas, uint32_t count, KcTime now)
{
    if (count >= quotas->known_count ||
        now - quotas->known_at >= KNOWN_COUNT_TIMEOUT) {
        quotas->known_count = count;
        quotas->known_at = now;
    }
}

void
KcQuotas_SetGatewayCount(KcQuotas *quotas, uint32_t gateway_count, KcTime now)
{
    if (now - quotas->known_at >= KNOWN_COUNT_TIMEOUT) {
        KcQuotas_SettleAll(quotas, now);
        quotas->known_count = quotas->is_hearing ? quotas->group_size : 0;
    }
    if (gateway_count != quotas->gateway_count) {
        KcQuotas_SettleAll(quotas, now);
        quotas->gateway_count = gateway_count;
    }
}

bool
KcQuotas_HasLimits(const KcQuotas *quotas)
{
    const KcQuota *quota;

    TAILQ_FOREACH (quota, &quotas->list, link) {
        if (quota->rate > 0) {
            return true;
        }
    }
    return false;
}

/* ---- requests ------------------------------------------------------------- */

static KcQuota *
find_customer(const KcQuotas *quotas, const KcRoutedCustomer *customer)
{
    return KcQuotas_Find(quotas, KcQuota_HashCustomer(customer->name));
}

static void
count_asked(const KcQuotas *quotas, KcQuota *quota, uint64_t cost, KcTime now)
{
    quota->asked_units += cost;
    quota->asked_at = now;
    if (quota->rate > 0 && (double)cost > KcQuota_WindowUnits(quotas, quota)) {
        return; /* it never passes */
    }
    quota->asked += (double)cost;
    quota->mean_cost += ((double)cost - quota->mean_cost) *
                        (quota->mean_cost > 0 ? COST_WEIGHT : 1);
}

/* Units that must be left for a request to pass.  Each request passes by the
 * same chance whatever its cost, or large ones would hardly ever. */
static double
room_needed(const KcQuotas *quotas, const KcQuota *quota)
{
    double fraction = KcQuota_GroupFraction(quotas, quota);
    double room_max;

    if (!quota->is_pressed) {
        return 0;
    }
    if (quotas->is_hearing) {
        return quota->draw * quota->mean_cost;
    }
    room_max = KcQuota_LevelMax(quota, fraction) +
               KcQuota_AdvanceUnits(quotas, quota, fraction);
    return quota->draw * fmin(quota->mean_cost, room_max);
}

/* A request with a cost that is large beside the promise's excess must not be
 * spent in advance by several gateways at once. */
static bool
is_too_large(const KcQuotas *quotas, const KcQuota *quota, uint64_t cost,
             KcTime now)
{
    double fraction = KcQuota_GroupFraction(quotas, quota);
    double debt_max = DEBT_FRACTION * KcQuota_ExcessUnits(quotas, quota);

    return (double)cost > debt_max &&
           KcQuota_LevelAt(quota, fraction, now) +
                   KcQuota_AdvanceUnits(quotas, quota, fraction) <
               (double)cost - debt_max;
}

void
KcQuota_Describe(const KcQuotas *quotas, const KcQuota *quota,
                 KcQuotaState *state, KcTime now)
{
    double fraction = KcQuota_GroupFraction(quotas, quota);

    *state = (KcQuotaState){
        .name = quota->name,
        .unit = quota->unit,
        .rate_per_s = quota->rate,
        .burst = quota->burst,
        .level = KcQuota_LevelAt(quota, fraction, now),
        .may_spend = fmax(0, KcQuota_Room(quotas, quota)),
        .may_rate = KcQuota_RateHere(quotas, quota),
        .asked_rate = quota->asked_rate,
        .all_rate = fmax(quota->all_rate, quota->asked_rate),
        .used = quota->used > 0 ? (uint64_t)quota->used : 0,
        .asked = quota->asked_units,
        .refused = quota->refused,
        .admitted = quota->admitted,
        .is_limited = quota->is_limited,
        .heard_age = quotas->is_hearing ? now - quotas->heard_at : KC_NEVER,
        .group = KcQuotas_Group(quotas)};
}

void
KcQuota_SetLimited(KcQuotas *quotas, KcQuota *quota, bool is_limited,
                   KcTime now)
{
    KcQuotaState state;

    if (quota->is_limited == is_limited) {
        return;
    }
    quota->is_limited = is_limited;
    if (quotas->options.ops != NULL) {
        KcQuota_Describe(quotas, quota, &state, now);
        quotas->options.ops->record_limit(quotas->options.context, &state);
    }
}

/* When a refused request may come back: after what is missing and the refused
 * requests before it. */
static KcTime
retry_after(KcQuotas *quotas, KcQuota *quota, double missing, uint64_t cost,
            KcTime now)
{
    double rate = KcQuota_RateHere(quotas, quota);
    double seconds;

    if (rate <= 0) {
        return RETRY_AFTER_MAX;
    }
    quota->awaited = fmax(
        0, quota->awaited - rate * KcQuota_ToSeconds(now - quota->awaited_at));
    quota->awaited_at = now;
    seconds = (missing + quota->awaited) / rate;
    if (seconds >= KcQuota_ToSeconds(RETRY_AFTER_MAX)) {
        return RETRY_AFTER_MAX;
    }
    quota->awaited += (double)cost;
    return (KcTime)(seconds * (double)KC_SECOND) + KcQuotas_Interval(quotas);
}

/* Asks for a report once a grant is half spent, unless nothing is left. */
static void
request_report(const KcQuotas *quotas, KcQuota *quota, KcTime now)
{
    if (quotas->is_hearing && !quota->is_report_requested &&
        quotas->options.ops != NULL &&
        quota->room < quota->room_granted * EARLY_FRACTION &&
        KcQuota_LevelAt(quota, KcQuota_GroupFraction(quotas, quota), now) >
            0) {
        quota->is_report_requested = true;
        quotas->options.ops->request_report(quotas->options.context);
    }
}

/* KcQuotas_Take() from this quota. */
static int
take(KcQuotas *quotas, KcQuota *quota, uint64_t cost, KcTime *retry,
     KcTime now)
{
    double missing;

    cost = cost < COST_MAX ? cost : COST_MAX;
    KcQuotas_CheckLease(quotas, now);
    KcQuota_Settle(quotas, quota, now);
    count_asked(quotas, quota, cost, now);
    if (quota->rate <= 0 || cost == 0) {
        quota->admitted++;
        quota->used += (int64_t)cost;
        return 0;
    }
    missing = room_needed(quotas, quota) - KcQuota_Room(quotas, quota);
    if (missing < 0 && !is_too_large(quotas, quota, cost, now)) {
        quota->admitted++;
        quota->used += (int64_t)cost;
        quota->spent += (double)cost;
        quota->room -= (double)cost;
        quota->draw = KcQuotas_DrawNumber(quotas);
        request_report(quotas, quota, now);
        return 0;
    }
    quota->refused++;
    quota->refused_at = now;
    KcQuota_SetLimited(quotas, quota, true, now);
    if ((double)cost < KcQuota_WindowUnits(quotas, quota)) {
        *retry = retry_after(quotas, quota, fmax(0, missing), cost, now);
    }
    return KC_ERR_LIMIT_EXCEEDED;
}

int
KcQuotas_Take(KcQuotas *quotas, const KcRoutedCustomer *customer,
              uint64_t cost, KcTime *retry, KcTime now)
{
    KcQuota *quota = find_customer(quotas, customer);

    *retry = 0;
    return quota != NULL ? take(quotas, quota, cost, retry, now) : 0;
}

int
KcQuotas_Foresee(const KcQuotas *quotas, const KcRoutedCustomer *customer,
                 uint64_t cost, KcTime *retry, KcQuotaState *state, KcTime now)
{
    const KcQuota *quota = find_customer(quotas, customer);
    KcQuotas copied_quotas = *quotas;
    KcQuota copied;

    *retry = 0;
    *state = (KcQuotaState){.name = customer->name};
    if (quota == NULL) {
        return 0;
    }
    copied = *quota;
    copied_quotas.options.ops = NULL;
    TAILQ_INIT(&copied_quotas.list);
    TAILQ_INSERT_TAIL(&copied_quotas.list, &copied, link);
    KcQuotas_CheckLease(&copied_quotas, now);
    KcQuota_Settle(&copied_quotas, &copied, now);
    KcQuota_Describe(&copied_quotas, &copied, state, now);
    state->name = customer->name;
    return take(&copied_quotas, &copied, cost, retry, now);
}

void
KcQuotas_GiveBack(KcQuotas *quotas, const KcRoutedCustomer *customer,
                  uint64_t cost, KcTime now)
{
    KcQuota *quota = find_customer(quotas, customer);

    if (quota == NULL || quota->unit != customer->unit) {
        return;
    }
    cost = cost < COST_MAX ? cost : COST_MAX;
    KcQuotas_CheckLease(quotas, now);
    KcQuota_Settle(quotas, quota, now);
    quota->used -= (int64_t)cost;
    quota->asked_at = now;
    if (quota->rate > 0) {
        quota->spent -= (double)cost;
        quota->room += (double)cost;
    }
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
