/*
 * Quotas of customers over all gateways: the bucket of each customer at one
 * gateway.
 *
 * A grant is the level of the bucket when the gateway last heard of the use of
 * the others.  Until it hears again it may spend its share of the grant and of
 * what accrues, so that what all gateways spend together stays below the
 * level, however late they hear.  A gateway that hears nobody for the time of
 * its lease goes on with the part of one gateway.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "hash_internal.h"
#include "kcc_quota.h"

#define WINDOW_DEFAULT (8 * KC_SECOND)
#define EXCESS_DEFAULT 0.1

/* Gateways that share the quotas while their number is not known. */
#define GATEWAY_COUNT_UNKNOWN 64

/* Interval of reports, by the number of gateways. */
#define INTERVAL_PER_GATEWAY (10 * KC_MS)
#define INTERVAL_MIN (250 * KC_MS)
#define INTERVAL_MAX (1500 * KC_MS)

/* Parts of what the promise allows beyond the quota: to make up for gateways
 * that have ended, and to be spent in advance.  The rest is for what is
 * learned late. */
#define MAKEUP_FRACTION 0.4
#define ADVANCE_FRACTION 0.3
/* A cost above this part of it has to be in the bucket. */
#define DEBT_FRACTION 0.25

/* Of the part of a quota that is theirs by their number, gateways that are
 * apart from most others may spend this fraction: most of those that aren't
 * heard of serve no one. */
#define MINORITY_FRACTION 0.5

/* Of a bucket under pressure this part is shared evenly, so that a gateway
 * that was asked for nothing can begin; without pressure what is shared by
 * requests is shared evenly, too, to this part. */
#define EVEN_FRACTION 0.1
#define EVEN_FRACTION_CALM 1.0
/* A customer presses when it asks for more than this part of its rate. */
#define PRESSURE_FRACTION 0.9

/* Time constant of asked rates: the longer of this and two intervals. */
#define RATE_TIME_MIN (700 * KC_MS)
/* Weight of a request in the mean cost. */
#define COST_WEIGHT 0.05

/* A customer is no longer limited so long after its last refused request. */
#define LIMITED_TIMEOUT (5 * KC_SECOND)
/* Longest time after which refused requests are to come back. */
#define RETRY_AFTER_MAX (10 * KC_SECOND)
/* What a removed customer has used is remembered for so long. */
#define REMOVED_TIMEOUT (60 * KC_SECOND)
/* A customer without requests is reported for so long after the last one. */
#define REPORT_TIMEOUT (10 * KC_SECOND)
/* A hub that left a report unanswered is asked again after this. */
#define AVOID_TIMEOUT (5 * KC_SECOND)
/* A number of gateways that was heard of holds for so long without a higher
 * one; gateways are listed more often. */
#define KNOWN_COUNT_TIMEOUT (60 * KC_SECOND)
/* A report is requested when less than this part of a grant is left. */
#define EARLY_FRACTION 0.5
/* Costs are counted up to this. */
#define COST_MAX ((uint64_t)1 << 40)

/* One customer. */
typedef struct Quota {
    UT_hash_handle hh;       /* KcQuotas.table, by id */
    TAILQ_ENTRY(Quota) link; /* KcQuotas.list */
    uint64_t id;             /* see KcQuota_HashCustomer() */
    char name[KC_NAME_MAX];
    KcTime removed_at; /* from the configuration; KC_NEVER: it is there */
    KcQuotaUnit unit;
    double rate; /* units a second; 0: no limit */
    double burst;

    /* own use */
    int64_t used;      /* units taken and not given back */
    int64_t used_sent; /* the same in the last report */
    int64_t
        used_joined; /* in the report by which the gateway joined its hub */
    double asked;    /* units asked for since rated_at */
    double asked_rate;
    double asked_rate_sent;   /* in the last report, */
    double asked_rate_before; /* and in the one before it */
    KcTime rated_at;
    KcTime asked_at;
    double mean_cost;
    uint64_t asked_units;
    uint64_t admitted;
    uint64_t refused;

    /* as heard */
    int64_t others_used;
    double all_rate;
    bool is_heard; /* in the answer that is being read */
    bool is_told;  /* others_used is known since the hub was joined */

    /* the grant */
    double granted; /* level at granted_at */
    double spent;   /* since then, by this gateway */
    KcTime granted_at;
    double share; /* of this gateway */
    double room;  /* units that it may spend, as of settled_at */
    double room_granted;
    bool is_report_requested; /* since the grant */
    KcTime settled_at;
    bool is_pressed; /* then a request passes by chance when less than its
                      * cost is left */
    double draw;     /* 0 to 1, of that chance */

    bool is_limited;
    KcTime refused_at;
    double awaited; /* units of refused requests told to come back */
    KcTime awaited_at;
} Quota;

struct KcQuotas {
    KcQuotaOptions options;
    Quota *table;
    TAILQ_HEAD(, Quota) list;
    bool has_customers;     /* a configuration was set before */
    bool has_hub;           /* see KcQuotaGroup */
    uint32_t gateway_count; /* as listed; 0: not known */
    uint64_t random_state;

    bool is_hearing;
    uint64_t hub;
    uint64_t hub_incarnation;
    uint32_t joined;
    uint32_t group_size;
    uint32_t known_count; /* most gateways that were heard of, */
    KcTime known_at;      /* when that was last */
    bool is_count_heard;  /* a gateway of the group has listed them */
    KcTime heard_at;      /* when the report was sent that was answered */

    struct {
        uint64_t hub;
        KcTime until;
    } avoided[KC_QUOTA_HUBS_MAX]; /* hubs that left a report unanswered */
    uint32_t sequence;
    uint64_t asked_hub;
    KcTime sent_at; /* of a report that is unanswered; KC_NEVER: none is */
    KcBuffer rows;
};

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

static double
to_seconds(KcTime time)
{
    return (double)time / (double)KC_SECOND;
}

/* What the quota allows in a window. */
static double
window_units(const KcQuotas *quotas, const Quota *quota)
{
    return quota->rate * to_seconds(quotas->options.window) + quota->burst;
}

/* What the promise allows beyond it. */
static double
excess_units(const KcQuotas *quotas, const Quota *quota)
{
    return window_units(quotas, quota) * quotas->options.excess +
           quotas->options.slack;
}

/* Is it known how many gateways there are? */
static bool
is_listed(const KcQuotas *quotas)
{
    return quotas->gateway_count > 0 || quotas->is_count_heard;
}

static uint32_t
count_all(const KcQuotas *quotas)
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
                          .count = count_all(quotas),
                          .has_hub = quotas->has_hub && is_listed(quotas)};
}

/* The fraction of a quota that the gateways that hear each other may spend. */
static double
group_fraction(const KcQuotas *quotas, const Quota *quota)
{
    KcQuotaGroup group = KcQuotas_Group(quotas);
    double units = quota->rate * to_seconds(quotas->options.window);

    return quotas->options.policy->fraction(
        &group,
        units > 0 ? MAKEUP_FRACTION * excess_units(quotas, quota) / units : 0);
}

/* Units beyond the level that this group may spend. */
static double
advance_units(const KcQuotas *quotas, const Quota *quota, double fraction)
{
    return fmin(fraction, 1) * ADVANCE_FRACTION * excess_units(quotas, quota);
}

/* What this group may save up. */
static double
level_max(const Quota *quota, double fraction)
{
    return fmin(fraction, 1) * quota->burst;
}

/* The level by now, if it had no end; accrued_part: of what accrues. */
static double
endless_level_at(const Quota *quota, double fraction, double accrued_part,
                 KcTime now)
{
    return quota->granted - quota->spent +
           accrued_part * fraction * quota->rate *
               to_seconds(now - quota->granted_at);
}

/* The level by now.  The use since the grant is taken to be spread evenly, as
 * is what accrues. */
static double
level_at(const Quota *quota, double fraction, KcTime now)
{
    return fmin(endless_level_at(quota, fraction, 1, now),
                level_max(quota, fraction));
}

static double
draw_number(KcQuotas *quotas)
{
    quotas->random_state += 0x9e3779b97f4a7c15ULL;
    return (double)(mix64(quotas->random_state) >> 11) /
           (double)((uint64_t)1 << 53);
}

static void
grant(KcQuotas *quotas, Quota *quota, double level, KcTime now)
{
    quota->granted = fmax(level, -window_units(quotas, quota));
    quota->granted_at = now;
    quota->spent = 0;
    quota->draw = draw_number(quotas);
}

/* Brings the room up to date. */
static void
settle(const KcQuotas *quotas, Quota *quota, KcTime now)
{
    double fraction = group_fraction(quotas, quota);
    double accrued = quota->share * fraction * quota->rate *
                     to_seconds(now - quota->settled_at);

    quota->room =
        fmin(quota->room + accrued, quota->share * level_max(quota, fraction));
    quota->settled_at = now;
}

/* What this gateway may spend at once; the quota is settled. */
static double
room_of(const KcQuotas *quotas, const Quota *quota)
{
    return quota->room +
           quota->share *
               advance_units(quotas, quota, group_fraction(quotas, quota));
}

/* Units a second that this gateway may spend. */
static double
rate_here(const KcQuotas *quotas, const Quota *quota)
{
    return quota->share * group_fraction(quotas, quota) * quota->rate;
}

/* The gateway hears nobody any more: it keeps its room. */
static void
go_alone(KcQuotas *quotas, KcTime now)
{
    Quota *quota;

    TAILQ_FOREACH (quota, &quotas->list, link) {
        settle(quotas, quota, now);
        grant(quotas, quota, quota->room, now);
        quota->share = 1;
        quota->is_pressed = true;
        quota->all_rate = 0;
    }
    quotas->is_hearing = false;
    quotas->joined = 0;
}

/* How long the others keep this gateway's share after a report. */
static KcTime
lease_time(const KcQuotas *quotas)
{
    return KcQuotas_Interval(quotas) * 5 / 2 + KC_SECOND / 2;
}

static void
check_lease(KcQuotas *quotas, KcTime now)
{
    KcTime lease_until = quotas->heard_at + lease_time(quotas);

    if (quotas->is_hearing && now >= lease_until) {
        go_alone(quotas, lease_until);
    }
}

/* Begins a new grant for each customer, as what it depends on changes. */
static void
settle_all(KcQuotas *quotas, KcTime now)
{
    Quota *quota;

    check_lease(quotas, now);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        settle(quotas, quota, now);
        grant(quotas, quota,
              level_at(quota, group_fraction(quotas, quota), now), now);
    }
}

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
remove_quota(KcQuotas *quotas, Quota *quota)
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

static Quota *
find_quota(const KcQuotas *quotas, uint64_t id)
{
    Quota *quota;

    HASH_FIND(hh, quotas->table, &id, sizeof(id), quota);
    return quota;
}

static Quota *
add_quota(KcQuotas *quotas, const char *name, KcTime now)
{
    Quota *quota = KcMem_New(sizeof(*quota));

    KcText_Copy(quota->name, name, KC_NAME_MAX);
    quota->id = KcQuota_HashCustomer(name);
    quota->share = quotas->is_hearing ? 1.0 / quotas->group_size : 1;
    quota->is_pressed = true;
    quota->draw = draw_number(quotas);
    quota->granted_at = now;
    quota->settled_at = now;
    quota->rated_at = now;
    quota->asked_at = -REPORT_TIMEOUT;
    HASH_ADD(hh, quotas->table, id, sizeof(quota->id), quota);
    TAILQ_INSERT_TAIL(&quotas->list, quota, link);
    return quota;
}

/* Takes over a customer's quota, which is settled; its level stays, within the
 * new burst. */
static void
set_limits(KcQuotas *quotas, Quota *quota, const KcRoutedCustomer *customer,
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
        quota->granted = group_fraction(quotas, quota) * quota->burst;
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
    Quota *quota;
    Quota *next;

    settle_all(quotas, now);
    quotas->has_hub = has_engines(routing);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        if (quota->removed_at == KC_NEVER) {
            quota->removed_at = now;
        }
    }
    TAILQ_FOREACH (customer, &routing->customer_list, link) {
        quota = find_quota(quotas, KcQuota_HashCustomer(customer->name));
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

/* Remembers how many gateways were heard of, for longer than a list may lag:
 * one that hears nobody any more must not take itself for the only one. */
static void
learn_count(KcQuotas *quotas, uint32_t count, KcTime now)
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
        settle_all(quotas, now);
        quotas->known_count = quotas->is_hearing ? quotas->group_size : 0;
    }
    if (gateway_count != quotas->gateway_count) {
        settle_all(quotas, now);
        quotas->gateway_count = gateway_count;
    }
}

bool
KcQuotas_HasLimits(const KcQuotas *quotas)
{
    const Quota *quota;

    TAILQ_FOREACH (quota, &quotas->list, link) {
        if (quota->rate > 0) {
            return true;
        }
    }
    return false;
}

/* ---- requests ------------------------------------------------------------- */

static Quota *
find_customer(const KcQuotas *quotas, const KcRoutedCustomer *customer)
{
    return find_quota(quotas, KcQuota_HashCustomer(customer->name));
}

static void
count_asked(const KcQuotas *quotas, Quota *quota, uint64_t cost, KcTime now)
{
    quota->asked_units += cost;
    quota->asked_at = now;
    if (quota->rate > 0 && (double)cost > window_units(quotas, quota)) {
        return; /* it never passes */
    }
    quota->asked += (double)cost;
    quota->mean_cost += ((double)cost - quota->mean_cost) *
                        (quota->mean_cost > 0 ? COST_WEIGHT : 1);
}

/* Units that must be left for a request to pass.  Each request passes by the
 * same chance whatever its cost, or large ones would hardly ever. */
static double
room_needed(const KcQuotas *quotas, const Quota *quota)
{
    double fraction = group_fraction(quotas, quota);
    double room_max;

    if (!quota->is_pressed) {
        return 0;
    }
    if (quotas->is_hearing) {
        return quota->draw * quota->mean_cost;
    }
    room_max = fmin(fraction, 1) * quota->burst +
               advance_units(quotas, quota, fraction);
    return quota->draw * fmin(quota->mean_cost, room_max);
}

/* A request with a cost that is large beside the promise's excess must not be
 * spent in advance by several gateways at once. */
static bool
is_too_large(const KcQuotas *quotas, const Quota *quota, uint64_t cost,
             KcTime now)
{
    double fraction = group_fraction(quotas, quota);
    double debt_max = DEBT_FRACTION * excess_units(quotas, quota);

    return (double)cost > debt_max &&
           level_at(quota, fraction, now) +
                   advance_units(quotas, quota, fraction) <
               (double)cost - debt_max;
}

static void
describe(const KcQuotas *quotas, const Quota *quota, KcQuotaState *state,
         KcTime now)
{
    double fraction = group_fraction(quotas, quota);

    *state = (KcQuotaState){
        .name = quota->name,
        .unit = quota->unit,
        .rate_per_s = quota->rate,
        .burst = quota->burst,
        .level = level_at(quota, fraction, now),
        .may_spend = fmax(0, room_of(quotas, quota)),
        .may_rate = rate_here(quotas, quota),
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

static void
set_limited(KcQuotas *quotas, Quota *quota, bool is_limited, KcTime now)
{
    KcQuotaState state;

    if (quota->is_limited == is_limited) {
        return;
    }
    quota->is_limited = is_limited;
    if (quotas->options.ops != NULL) {
        describe(quotas, quota, &state, now);
        quotas->options.ops->record_limit(quotas->options.context, &state);
    }
}

/* When a refused request may come back: after what is missing and the refused
 * requests before it. */
static KcTime
retry_after(KcQuotas *quotas, Quota *quota, double missing, uint64_t cost,
            KcTime now)
{
    double rate = rate_here(quotas, quota);
    double seconds;

    if (rate <= 0) {
        return RETRY_AFTER_MAX;
    }
    quota->awaited =
        fmax(0, quota->awaited - rate * to_seconds(now - quota->awaited_at));
    quota->awaited_at = now;
    seconds = (missing + quota->awaited) / rate;
    if (seconds >= to_seconds(RETRY_AFTER_MAX)) {
        return RETRY_AFTER_MAX;
    }
    quota->awaited += (double)cost;
    return (KcTime)(seconds * (double)KC_SECOND) + KcQuotas_Interval(quotas);
}

/* Asks for a report once a grant is half spent, unless nothing is left. */
static void
request_report(const KcQuotas *quotas, Quota *quota, KcTime now)
{
    if (quotas->is_hearing && !quota->is_report_requested &&
        quotas->options.ops != NULL &&
        quota->room < quota->room_granted * EARLY_FRACTION &&
        level_at(quota, group_fraction(quotas, quota), now) > 0) {
        quota->is_report_requested = true;
        quotas->options.ops->request_report(quotas->options.context);
    }
}

int
KcQuotas_Take(KcQuotas *quotas, const KcRoutedCustomer *customer,
              uint64_t cost, KcTime *retry, KcTime now)
{
    Quota *quota = find_customer(quotas, customer);
    double missing;

    *retry = 0;
    if (quota == NULL) {
        return 0;
    }
    cost = cost < COST_MAX ? cost : COST_MAX;
    check_lease(quotas, now);
    settle(quotas, quota, now);
    count_asked(quotas, quota, cost, now);
    if (quota->rate <= 0 || cost == 0) {
        quota->admitted++;
        quota->used += (int64_t)cost;
        return 0;
    }
    missing = room_needed(quotas, quota) - room_of(quotas, quota);
    if (missing < 0 && !is_too_large(quotas, quota, cost, now)) {
        quota->admitted++;
        quota->used += (int64_t)cost;
        quota->spent += (double)cost;
        quota->room -= (double)cost;
        quota->draw = draw_number(quotas);
        request_report(quotas, quota, now);
        return 0;
    }
    quota->refused++;
    quota->refused_at = now;
    set_limited(quotas, quota, true, now);
    if ((double)cost < window_units(quotas, quota)) {
        *retry = retry_after(quotas, quota, fmax(0, missing), cost, now);
    }
    return KC_ERR_LIMIT_EXCEEDED;
}

void
KcQuotas_GiveBack(KcQuotas *quotas, const KcRoutedCustomer *customer,
                  uint64_t cost, KcTime now)
{
    Quota *quota = find_customer(quotas, customer);

    if (quota == NULL || quota->unit != customer->unit) {
        return;
    }
    cost = cost < COST_MAX ? cost : COST_MAX;
    check_lease(quotas, now);
    settle(quotas, quota, now);
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

/* ---- reports and answers -------------------------------------------------- */

KcTime
KcQuotas_Interval(const KcQuotas *quotas)
{
    KcTime interval = count_all(quotas) * INTERVAL_PER_GATEWAY;

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
update_rate(Quota *quota, KcTime time_constant, KcTime now)
{
    double elapsed = to_seconds(now - quota->rated_at);

    if (elapsed <= 0) {
        return;
    }
    quota->asked_rate += (quota->asked / elapsed - quota->asked_rate) *
                         (1 - exp(-elapsed / to_seconds(time_constant)));
    quota->asked = 0;
    quota->rated_at = now;
}

void
KcQuotas_Review(KcQuotas *quotas, KcTime now)
{
    KcTime rate_time = 2 * KcQuotas_Interval(quotas);
    Quota *quota;

    if (rate_time < RATE_TIME_MIN) {
        rate_time = RATE_TIME_MIN;
    }
    check_lease(quotas, now);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        update_rate(quota, rate_time, now);
        if (quota->is_limited && now - quota->refused_at >= LIMITED_TIMEOUT) {
            set_limited(quotas, quota, false, now);
        }
    }
}

bool
KcQuotas_WriteReport(KcQuotas *quotas, uint64_t hub, KcMsg *msg, KcTime now)
{
    bool is_same = quotas->asked_hub == hub;
    Quota *quota;

    check_lease(quotas, now);
    if (!quotas->options.policy->uses_hub || !KcQuotas_HasLimits(quotas) ||
        quotas->sent_at != KC_NEVER) {
        return false;
    }
    quotas->asked_hub = hub;
    quotas->sent_at = now;
    quotas->sequence += quotas->sequence == UINT32_MAX ? 2 : 1;
    *msg = (KcMsg){
        .type = KC_MSG_USAGE,
        .u.usage = {.sequence = quotas->sequence,
                    .joined =
                        is_same && quotas->hub == hub ? quotas->joined : 0,
                    .gateway_count = quotas->gateway_count,
                    .lease_ms = (uint32_t)(lease_time(quotas) / KC_MS)}};
    KcBuffer_Clear(&quotas->rows);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        KcQuotaRow row = {.customer = quota->id,
                          .used = quota->used - quota->used_joined,
                          .asked_rate = quota->asked_rate};

        quota->used_sent = quota->used;
        quota->asked_rate_before = quota->asked_rate_sent;
        quota->asked_rate_sent = quota->asked_rate;
        if (quota->rate > 0 && now - quota->asked_at < REPORT_TIMEOUT) {
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
level_heard(const KcQuotas *quotas, const Quota *quota, bool is_joining,
            KcTime now)
{
    double fraction = group_fraction(quotas, quota);

    if (!quotas->is_hearing) {
        return quota->room;
    }
    return endless_level_at(quota, fraction, is_joining ? quota->share : 1,
                            now);
}

static void
set_share(const KcQuotas *quotas, Quota *quota)
{
    double even = 1.0 / quotas->group_size;
    double all = fmax(quota->all_rate, quota->asked_rate_sent);
    /* While all ask for more, few of the others' reports say so yet. */
    double own = fmin(quota->asked_rate_sent, quota->asked_rate_before);
    double asked = all > 0 ? own / all : even;

    quota->is_pressed =
        quota->granted < 0 ||
        all > PRESSURE_FRACTION * group_fraction(quotas, quota) * quota->rate;
    quota->share = quota->is_pressed
                       ? (1 - EVEN_FRACTION) * asked + EVEN_FRACTION * even
                       : fmin(1, asked + EVEN_FRACTION_CALM * even);
}

/* Takes what the others have used off a grant. */
static void
take_others(Quota *quota, int64_t used, bool is_joining)
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
    Quota *quota;

    for (int64_t i = 0; i < count; i++) {
        KcQuotaRow_Read(rows, i, &row);
        quota = find_quota(quotas, row.customer);
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
    Quota *quota;

    if (KcQuotaRow_Count(totals->rows) < 0 || totals->group_size == 0) {
        return KC_ERR_PROTOCOL;
    }
    check_lease(quotas, now);
    if (quotas->sent_at == KC_NEVER || totals->sequence != quotas->sequence ||
        hub != quotas->asked_hub) {
        return 0;
    }
    is_joining = !quotas->is_hearing || quotas->hub != hub ||
                 quotas->hub_incarnation != incarnation ||
                 quotas->joined != totals->joined;
    TAILQ_FOREACH (quota, &quotas->list, link) {
        settle(quotas, quota, now);
        grant(quotas, quota, level_heard(quotas, quota, is_joining, now), now);
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
    learn_count(quotas,
                totals->gateway_count > totals->group_size
                    ? totals->gateway_count
                    : totals->group_size,
                now);
    quotas->heard_at = quotas->sent_at;
    quotas->sent_at = KC_NEVER;
    TAILQ_FOREACH (quota, &quotas->list, link) {
        quota->is_told = true;
        quota->granted = fmin(quota->granted,
                              level_max(quota, group_fraction(quotas, quota)));
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
    Quota *quota;

    check_lease(quotas, now);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        if (quota->removed_at == KC_NEVER) {
            settle(quotas, quota, now);
            describe(quotas, quota, &state, now);
            visit(context, &state);
        }
    }
}
