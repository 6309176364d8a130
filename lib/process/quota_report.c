/*
 * What gateways tell one another of their customers' use, by a hub.
 */
#include <math.h>

#include "quota_internal.h"

/* Interval of reports, by the number of gateways. */
#define INTERVAL_PER_GATEWAY (10 * KC_MS)
#define INTERVAL_MIN (250 * KC_MS)
#define INTERVAL_MAX (1500 * KC_MS)

/* Of a bucket under pressure this part is shared evenly, so that a gateway
 * that was asked for nothing can begin; without pressure what is shared by
 * requests is shared evenly, too, to this part. */
#define EVEN_FRACTION 0.1
#define EVEN_FRACTION_CALM 1.0
/* A customer presses when it asks for more than this part of its rate. */
#define PRESSURE_FRACTION 0.9

/* Time constant of asked rates: the longer of this and two intervals. */
#define RATE_TIME_MIN (700 * KC_MS)
/* A customer is no longer limited so long after its last refused request. */
#define LIMITED_TIMEOUT (5 * KC_SECOND)
/* A hub that left a report unanswered is asked again after this. */
#define AVOID_TIMEOUT (5 * KC_SECOND)

/* ---- reports and answers -------------------------------------------------- */

KcTime
KcQuotas_Interval(const KcQuotas *quotas)
{
    KcTime interval = KcQuotas_CountGateways(quotas) * INTERVAL_PER_GATEWAY;

    if (quotas->gateway_count == 0 && !quotas->is_hearing) {
        return INTERVAL_MIN;
    }
    if (interval > INTERVAL_MAX) {
        return INTERVAL_MAX;
    }
    return interval < INTERVAL_MIN ? INTERVAL_MIN : interval;
}

KcTime
KcQuotas_EarlyInterval(const KcQuotas *quotas)
{
    return KcQuotas_Interval(quotas) / 4;
}

static void
update_rate(KcQuota *quota, KcTime time_constant, KcTime now)
{
    double elapsed = KcQuota_ToSeconds(now - quota->rated_at);

    if (elapsed <= 0) {
        return;
    }
    quota->asked_rate +=
        (quota->asked / elapsed - quota->asked_rate) *
        (1 - exp(-elapsed / KcQuota_ToSeconds(time_constant)));
    quota->asked = 0;
    quota->rated_at = now;
}

void
KcQuotas_Review(KcQuotas *quotas, KcTime now)
{
    KcTime rate_time = 2 * KcQuotas_Interval(quotas);
    KcQuota *quota;

    if (rate_time < RATE_TIME_MIN) {
        rate_time = RATE_TIME_MIN;
    }
    KcQuotas_CheckLease(quotas, now);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        update_rate(quota, rate_time, now);
        if (quota->is_limited && now - quota->refused_at >= LIMITED_TIMEOUT) {
            KcQuota_SetLimited(quotas, quota, false, now);
        }
    }
}

bool
KcQuotas_WriteReport(KcQuotas *quotas, uint64_t hub, KcMsg *msg, KcTime now)
{
    bool is_same = quotas->asked_hub == hub;
    KcQuota *quota;

    KcQuotas_CheckLease(quotas, now);
    if (!quotas->options.policy->uses_hub || !KcQuotas_HasLimits(quotas) ||
        quotas->sent_at != KC_NEVER) {
        return false;
    }
    quotas->asked_hub = hub;
    quotas->sent_at = now;
    quotas->sequence += quotas->sequence == UINT32_MAX ? 2 : 1;
    *msg = (KcMsg){
        .type = KC_MSG_USAGE,
        .u.usage = {
            .sequence = quotas->sequence,
            .joined = is_same && quotas->hub == hub ? quotas->joined : 0,
            .gateway_count = quotas->gateway_count,
            .lease_ms = (uint32_t)(KcQuotas_LeaseTime(quotas) / KC_MS)}};
    KcBuffer_Clear(&quotas->rows);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        KcQuotaRow row = {.customer = quota->id,
                          .used = quota->used - quota->used_joined,
                          .asked_rate = quota->asked_rate};

        quota->used_sent = quota->used;
        quota->asked_rate_before = quota->asked_rate_sent;
        quota->asked_rate_sent = 0;
        if (quota->rate > 0 &&
            now - quota->asked_at < KC_QUOTA_REPORT_TIMEOUT) {
            quota->asked_rate_sent = quota->asked_rate;
            KcQuotaRow_Append(&row, &quotas->rows);
        }
    }
    msg->u.usage.rows = (KcBytes){.data = KcBuffer_Data(&quotas->rows),
                                  .size = KcBuffer_Size(&quotas->rows)};
    return true;
}

static void
avoid_hub(KcQuotas *quotas, uint64_t hub, KcTime now)
{
    uint32_t place = 0;

    for (uint32_t i = 0; i < KC_QUOTA_HUBS_MAX; i++) {
        if (quotas->avoided[i].hub == hub) {
            place = i;
            break;
        }
        if (quotas->avoided[i].until < quotas->avoided[place].until) {
            place = i;
        }
    }
    quotas->avoided[place].hub = hub;
    quotas->avoided[place].until = now + AVOID_TIMEOUT;
}

static bool
is_avoided(const KcQuotas *quotas, uint64_t hub, KcTime now)
{
    for (uint32_t i = 0; i < KC_QUOTA_HUBS_MAX; i++) {
        if (quotas->avoided[i].hub == hub && quotas->avoided[i].until > now) {
            return true;
        }
    }
    return false;
}

static bool
is_among(uint64_t hub, const uint64_t *hubs, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (hubs[i] == hub) {
            return true;
        }
    }
    return false;
}

uint64_t
KcQuotas_ChooseHub(KcQuotas *quotas, const uint64_t *hubs, uint32_t count,
                   KcTime now)
{
    if (quotas->sent_at != KC_NEVER &&
        now - quotas->sent_at >= KcQuotas_Interval(quotas) * 3 / 2) {
        avoid_hub(quotas, quotas->asked_hub, now);
        quotas->sent_at = KC_NEVER;
    }
    if (quotas->sent_at != KC_NEVER &&
        !is_among(quotas->asked_hub, hubs, count)) {
        quotas->sent_at = KC_NEVER; /* the link is lost */
    }
    for (uint32_t i = 0; i < count; i++) {
        if (!is_avoided(quotas, hubs[i], now)) {
            return hubs[i];
        }
    }
    return 0;
}

void
KcQuotas_WriteLeave(KcMsg *msg)
{
    *msg = (KcMsg){.type = KC_MSG_USAGE, .u.usage = {.is_leaving = true}};
}

/* The level as an answer comes, before the use of the others since the last
 * one is taken off.  Of a time in which that was not counted, they are taken
 * to have used what was theirs. */
static double
level_heard(const KcQuotas *quotas, const KcQuota *quota, bool is_joining,
            KcTime now)
{
    double fraction = KcQuota_GroupFraction(quotas, quota);

    if (!quotas->is_hearing) {
        return quota->room;
    }
    return KcQuota_EndlessLevelAt(quota, fraction,
                                  is_joining ? quota->share : 1, now);
}

static void
set_share(const KcQuotas *quotas, KcQuota *quota)
{
    double even = 1.0 / quotas->group_size;
    double all = fmax(quota->all_rate, quota->asked_rate_sent);
    /* While all ask for more, few of the others' reports say so yet. */
    double own = fmin(quota->asked_rate_sent, quota->asked_rate_before);
    double asked = all > 0 ? own / all : even;

    quota->is_pressed =
        quota->granted < 0 || all > PRESSURE_FRACTION *
                                        KcQuota_GroupFraction(quotas, quota) *
                                        quota->rate;
    quota->share = quota->is_pressed
                       ? (1 - EVEN_FRACTION) * asked + EVEN_FRACTION * even
                       : fmin(1, asked + EVEN_FRACTION_CALM * even);
}

/* Takes what the others have used off a grant. */
static void
take_others(KcQuota *quota, int64_t used, bool is_joining)
{
    if (!is_joining && quota->is_told) {
        quota->granted -=
            (double)(int64_t)((uint64_t)used - (uint64_t)quota->others_used);
    }
    else if (!is_joining && used != 0) {
        /* Others knew the customer before this gateway. */
        quota->granted = fmin(quota->granted, 0);
    }
    quota->others_used = used;
}

static void
read_rows(KcQuotas *quotas, KcBytes rows, bool is_joining)
{
    int64_t count = KcQuotaRow_Count(rows);
    KcQuotaRow row;
    KcQuota *quota;

    for (int64_t i = 0; i < count; i++) {
        KcQuotaRow_Read(rows, i, &row);
        quota = KcQuotas_Find(quotas, row.customer);
        if (quota == NULL || quota->is_heard) {
            continue;
        }
        quota->is_heard = true;
        quota->all_rate = row.asked_rate;
        take_others(quota, row.used, is_joining);
    }
}

int
KcQuotas_OnTotals(KcQuotas *quotas, uint64_t hub, uint64_t incarnation,
                  const KcMsg *msg, KcTime now)
{
    const KcMsgTotals *totals = &msg->u.totals;
    bool is_joining;
    KcQuota *quota;

    if (KcQuotaRow_Count(totals->rows) < 0 || totals->group_size == 0) {
        return KC_ERR_PROTOCOL;
    }
    KcQuotas_CheckLease(quotas, now);
    if (quotas->sent_at == KC_NEVER || totals->sequence != quotas->sequence ||
        hub != quotas->asked_hub) {
        return 0;
    }
    if (now >= quotas->sent_at + KcQuotas_LeaseTime(quotas)) {
        /* The lease that it would begin has ended: it is as if it were lost.
         */
        quotas->sent_at = KC_NEVER;
        return 0;
    }
    is_joining = !quotas->is_hearing || quotas->hub != hub ||
                 quotas->hub_incarnation != incarnation ||
                 quotas->joined != totals->joined;
    TAILQ_FOREACH (quota, &quotas->list, link) {
        KcQuota_Settle(quotas, quota, now);
        KcQuota_Grant(quotas, quota,
                      level_heard(quotas, quota, is_joining, now), now);
        quota->is_heard = false;
        quota->all_rate = 0;
        if (is_joining) {
            quota->others_used = 0;
            quota->used_joined = quota->used_sent;
        }
    }
    read_rows(quotas, totals->rows, is_joining);
    quotas->is_hearing = true;
    quotas->hub = hub;
    quotas->hub_incarnation = incarnation;
    quotas->joined = totals->joined;
    quotas->group_size = totals->group_size;
    quotas->is_count_heard = totals->gateway_count > 0;
    KcQuotas_LearnCount(quotas,
                        totals->gateway_count > totals->group_size
                            ? totals->gateway_count
                            : totals->group_size,
                        now);
    quotas->heard_at = quotas->sent_at;
    quotas->sent_at = KC_NEVER;
    TAILQ_FOREACH (quota, &quotas->list, link) {
        quota->is_told = true;
        quota->granted = fmin(
            quota->granted,
            KcQuota_LevelMax(quota, KcQuota_GroupFraction(quotas, quota)));
        set_share(quotas, quota);
        quota->room = quota->share * quota->granted;
        quota->room_granted = quota->room;
        quota->is_report_requested = false;
    }
    return 0;
}

void
KcQuotas_Visit(KcQuotas *quotas,
               void (*visit)(void *context, const KcQuotaState *state),
               void *context, KcTime now)
{
    KcQuotaState state;
    KcQuota *quota;

    KcQuotas_CheckLease(quotas, now);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        if (quota->removed_at == KC_NEVER) {
            KcQuota_Settle(quotas, quota, now);
            KcQuota_Describe(quotas, quota, &state, now);
            visit(context, &state);
        }
    }
}
