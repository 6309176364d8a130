/*
 * What a gateway may spend of a customer's quota.
 *
 * A grant is the level of the bucket when the gateway last heard of the use of
 * the others.  Until it hears again it may spend its share of the grant and of
 * what accrues, so that what all gateways spend together stays below the
 * level, however late they hear.  A gateway that hears nobody for the time of
 * its lease goes on with the part of one gateway.
 */
#include <math.h>
#include <string.h>

#include "hash_internal.h"
#include "quota_internal.h"

#define WINDOW_DEFAULT (8 * KC_SECOND)
#define EXCESS_DEFAULT 0.1

/* Gateways that share the quotas while their number is not known. */
#define GATEWAY_COUNT_UNKNOWN 64

/* Parts of what the promise allows beyond the quota: to make up for gateways
 * that have ended, and to be spent in advance.  The rest is for what is
 * learned late. */
#define MAKEUP_FRACTION 0.4
#define ADVANCE_FRACTION 0.3

/* Of the part of a quota that is theirs by their number, gateways that are
 * apart from most others may spend this fraction: most of those that aren't
 * heard of serve no one. */
#define MINORITY_FRACTION 0.5

/* ---- policies ------------------------------------------------------------- */

static double
share_counted(const KcQuotaGroup *group, double makeup)
{
    double part = (double)group->size / (double)group->count;

    if (!group->has_hub) {
        return part;
    }
    /* At most one group has most gateways.  It has what the others leave. */
    return part > 0.5 ? fmin(1, 1 - MINORITY_FRACTION * (1 - part) + makeup)
                      : MINORITY_FRACTION * part;
}

static double
share_fixed(const KcQuotaGroup *group, double makeup)
{
    (void)makeup;
    return 1.0 / (double)group->count;
}

static double
share_lent(const KcQuotaGroup *group, double makeup)
{
    (void)makeup;
    return group->is_hearing ? 1 : 0;
}

static const KcQuotaPolicy policies[] = {
    {"counts", true, share_counted},
    {"fixed", false, share_fixed},
    {"lent", true, share_lent},
};

const KcQuotaPolicy *
KcQuotaPolicy_At(size_t index)
{
    return index < sizeof(policies) / sizeof(policies[0]) ? &policies[index]
                                                          : NULL;
}

/* ---- the grant ------------------------------------------------------------ */

void
KcQuotaOptions_Init(KcQuotaOptions *options)
{
    *options = (KcQuotaOptions){.policy = &policies[0],
                                .window = WINDOW_DEFAULT,
                                .excess = EXCESS_DEFAULT};
}

double
KcQuota_ToSeconds(KcTime time)
{
    return (double)time / (double)KC_SECOND;
}

double
KcQuota_WindowUnits(const KcQuotas *quotas, const KcQuota *quota)
{
    return quota->rate * KcQuota_ToSeconds(quotas->options.window) +
           quota->burst;
}

double
KcQuota_ExcessUnits(const KcQuotas *quotas, const KcQuota *quota)
{
    return KcQuota_WindowUnits(quotas, quota) * quotas->options.excess +
           quotas->options.slack;
}

/* Is it known how many gateways there are? */
static bool
is_listed(const KcQuotas *quotas)
{
    return quotas->gateway_count > 0 || quotas->is_count_heard;
}

uint32_t
KcQuotas_CountGateways(const KcQuotas *quotas)
{
    uint32_t count = quotas->gateway_count > quotas->known_count
                         ? quotas->gateway_count
                         : quotas->known_count;

    return is_listed(quotas) || count > GATEWAY_COUNT_UNKNOWN
               ? count
               : GATEWAY_COUNT_UNKNOWN;
}

KcQuotaGroup
KcQuotas_Group(const KcQuotas *quotas)
{
    return (KcQuotaGroup){.is_hearing = quotas->is_hearing,
                          .size = quotas->is_hearing ? quotas->group_size : 1,
                          .count = KcQuotas_CountGateways(quotas),
                          .has_hub = quotas->has_hub && is_listed(quotas)};
}

double
KcQuota_GroupFraction(const KcQuotas *quotas, const KcQuota *quota)
{
    KcQuotaGroup group = KcQuotas_Group(quotas);
    double units = quota->rate * KcQuota_ToSeconds(quotas->options.window);

    return quotas->options.policy->fraction(
        &group, units > 0 ? MAKEUP_FRACTION *
                                KcQuota_ExcessUnits(quotas, quota) / units
                          : 0);
}

double
KcQuota_AdvanceUnits(const KcQuotas *quotas, const KcQuota *quota,
                     double fraction)
{
    return fmin(fraction, 1) * ADVANCE_FRACTION *
           KcQuota_ExcessUnits(quotas, quota);
}

double
KcQuota_LevelMax(const KcQuota *quota, double fraction)
{
    return fmin(fraction, 1) * quota->burst;
}

double
KcQuota_EndlessLevelAt(const KcQuota *quota, double fraction,
                       double accrued_part, KcTime now)
{
    return quota->granted - quota->spent +
           accrued_part * fraction * quota->rate *
               KcQuota_ToSeconds(now - quota->granted_at);
}

double
KcQuota_LevelAt(const KcQuota *quota, double fraction, KcTime now)
{
    return fmin(KcQuota_EndlessLevelAt(quota, fraction, 1, now),
                KcQuota_LevelMax(quota, fraction));
}

double
KcQuotas_DrawNumber(KcQuotas *quotas)
{
    quotas->random_state += 0x9e3779b97f4a7c15ULL;
    return (double)(mix64(quotas->random_state) >> 11) /
           (double)((uint64_t)1 << 53);
}

void
KcQuota_Grant(KcQuotas *quotas, KcQuota *quota, double level, KcTime now)
{
    quota->granted = fmax(level, -KcQuota_WindowUnits(quotas, quota));
    quota->granted_at = now;
    quota->spent = 0;
    quota->draw = KcQuotas_DrawNumber(quotas);
}

void
KcQuota_Settle(const KcQuotas *quotas, KcQuota *quota, KcTime now)
{
    double fraction = KcQuota_GroupFraction(quotas, quota);
    double accrued = quota->share * fraction * quota->rate *
                     KcQuota_ToSeconds(now - quota->settled_at);

    quota->room = fmin(quota->room + accrued,
                       quota->share * KcQuota_LevelMax(quota, fraction));
    quota->settled_at = now;
}

double
KcQuota_Room(const KcQuotas *quotas, const KcQuota *quota)
{
    return quota->room +
           quota->share *
               KcQuota_AdvanceUnits(quotas, quota,
                                    KcQuota_GroupFraction(quotas, quota));
}

double
KcQuota_RateHere(const KcQuotas *quotas, const KcQuota *quota)
{
    return quota->share * KcQuota_GroupFraction(quotas, quota) * quota->rate;
}

/* The gateway hears nobody any more, since the end of its lease: it keeps its
 * room.  A quota may be settled after that, as the interval, and with it the
 * lease, has become shorter. */
static void
go_alone(KcQuotas *quotas, KcTime lease_until)
{
    KcQuota *quota;

    TAILQ_FOREACH (quota, &quotas->list, link) {
        KcTime now =
            quota->settled_at > lease_until ? quota->settled_at : lease_until;

        KcQuota_Settle(quotas, quota, now);
        KcQuota_Grant(quotas, quota, quota->room, now);
        quota->share = 1;
        quota->is_pressed = true;
        quota->all_rate = 0;
    }
    quotas->is_hearing = false;
    quotas->joined = 0;
}

KcTime
KcQuotas_LeaseTime(const KcQuotas *quotas)
{
    return KcQuotas_Interval(quotas) * 5 / 2 + KC_SECOND / 2;
}

void
KcQuotas_CheckLease(KcQuotas *quotas, KcTime now)
{
    KcTime lease_until = quotas->heard_at + KcQuotas_LeaseTime(quotas);

    if (quotas->is_hearing && now >= lease_until) {
        go_alone(quotas, lease_until);
    }
}

void
KcQuotas_SettleAll(KcQuotas *quotas, KcTime now)
{
    KcQuota *quota;

    KcQuotas_CheckLease(quotas, now);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        KcQuota_Settle(quotas, quota, now);
        KcQuota_Grant(
            quotas, quota,
            KcQuota_LevelAt(quota, KcQuota_GroupFraction(quotas, quota), now),
            now);
    }
}
