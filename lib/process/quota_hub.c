/*
 * The hub of quotas: adds up what gateways report of their customers.
 */
#include <stdlib.h>

#include "kcc_quota.h"

/* A customer without requests is told of for this long after the last one. */
#define TELL_TIMEOUT (10 * KC_SECOND)
/* Longest time for which a gateway may ask to be counted. */
#define LEASE_MAX (60 * KC_SECOND)
/* Weight of the latest report in a gateway's rate of use. */
#define USED_RATE_WEIGHT 0.5

/* No gateway can use as much in the time of its lease. */
#define USED_MAX 1e15

/* The sums of one customer. */
typedef struct Total {
    UT_hash_handle hh;
    TAILQ_ENTRY(Total) link;
    uint64_t customer;
    int64_t used; /* since this hub began */
    double asked_rate;
    KcTime changed_at;
} Total;

/* What one gateway reported of one customer. */
typedef struct Row {
    UT_hash_handle hh;
    TAILQ_ENTRY(Row) link;
    uint64_t customer;
    Total *total;
    int64_t used;      /* since the gateway joined */
    double used_rate;  /* units a second, lately */
    double asked_rate; /* units a second */
    KcTime heard_at;
} Row;

typedef struct Gateway {
    UT_hash_handle hh;
    TAILQ_ENTRY(Gateway) link; /* KcQuotaHub.gateways */
    char name[KC_NAME_MAX];
    uint64_t incarnation;
    uint32_t joined;
    uint32_t count_named; /* of all gateways */
    KcTime heard_at;
    KcTime lease;
    Row *rows; /* uthash by customer */
    TAILQ_HEAD(, Row) row_list;
} Gateway;

struct KcQuotaHub {
    Gateway *gateways_by_name; /* uthash */
    TAILQ_HEAD(, Gateway) gateways;
    Total *totals_by_customer; /* uthash */
    TAILQ_HEAD(, Total) totals;
    uint32_t last_joined;
    KcBuffer rows; /* of the last answer */
};

KcQuotaHub *
KcQuotaHub_Create(void)
{
    KcQuotaHub *hub = KcMem_New(sizeof(*hub));

    TAILQ_INIT(&hub->gateways);
    TAILQ_INIT(&hub->totals);
    return hub;
}

/* Removes a gateway.  For its time without a report it is taken to have used
 * as much as before, as that is no longer told. */
static void
remove_gateway(KcQuotaHub *hub, Gateway *gateway, KcTime unheard, KcTime now)
{
    Row *row;

    while ((row = TAILQ_FIRST(&gateway->row_list)) != NULL) {
        double used = row->used_rate * (double)unheard / (double)KC_SECOND;

        row->total->asked_rate -= row->asked_rate;
        if (used >= 1 && used < USED_MAX) {
            row->total->used =
                (int64_t)((uint64_t)row->total->used + (uint64_t)used);
            row->total->changed_at = now;
        }
        TAILQ_REMOVE(&gateway->row_list, row, link);
        /* NOLINTNEXTLINE: within the macro of the hash */
        HASH_DEL(gateway->rows, row);
        free(row);
    }
    TAILQ_REMOVE(&hub->gateways, gateway, link);
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(hub->gateways_by_name, gateway);
    free(gateway);
}

void
KcQuotaHub_Free(KcQuotaHub *hub)
{
    Gateway *gateway;
    Total *total;

    while ((gateway = TAILQ_FIRST(&hub->gateways)) != NULL) {
        remove_gateway(hub, gateway, 0, 0);
    }
    while ((total = TAILQ_FIRST(&hub->totals)) != NULL) {
        TAILQ_REMOVE(&hub->totals, total, link);
        /* NOLINTNEXTLINE: within the macro of the hash */
        HASH_DEL(hub->totals_by_customer, total);
        free(total);
    }
    KcBuffer_Clear(&hub->rows);
    free(hub);
}

static void
remove_silent(KcQuotaHub *hub, KcTime now)
{
    Gateway *gateway;
    Gateway *next;

    TAILQ_FOREACH_SAFE (gateway, &hub->gateways, link, next) {
        if (now - gateway->heard_at >= gateway->lease) {
            remove_gateway(hub, gateway, gateway->lease, now);
        }
    }
}

/* Returns the sums of a customer; NULL: there are too many. */
static Total *
get_total(KcQuotaHub *hub, uint64_t customer)
{
    Total *total;

    HASH_FIND(hh, hub->totals_by_customer, &customer, sizeof(customer), total);
    if (total == NULL &&
        HASH_COUNT(hub->totals_by_customer) < KC_QUOTA_HUB_CUSTOMERS_MAX) {
        total = KcMem_New(sizeof(*total));
        total->customer = customer;
        HASH_ADD(hh, hub->totals_by_customer, customer, sizeof(customer),
                 total);
        TAILQ_INSERT_TAIL(&hub->totals, total, link);
    }
    return total;
}

static Row *
find_row(const Gateway *gateway, uint64_t customer)
{
    Row *row;

    HASH_FIND(hh, gateway->rows, &customer, sizeof(customer), row);
    return row;
}

/* Returns a gateway's row; NULL: there are too many customers. */
static Row *
get_row(KcQuotaHub *hub, Gateway *gateway, uint64_t customer)
{
    Row *row = find_row(gateway, customer);
    Total *total = row == NULL ? get_total(hub, customer) : NULL;

    if (total != NULL) {
        row = KcMem_New(sizeof(*row));
        row->customer = customer;
        row->total = total;
        HASH_ADD(hh, gateway->rows, customer, sizeof(customer), row);
        TAILQ_INSERT_TAIL(&gateway->row_list, row, link);
    }
    return row;
}

static void
set_asked_rate(Row *row, double asked_rate)
{
    row->total->asked_rate += asked_rate - row->asked_rate;
    row->asked_rate = asked_rate;
}

/* counts: the gateway's counts have begun before this report. */
static void
take_row(Row *row, const KcQuotaRow *told, bool counts, KcTime elapsed,
         KcTime now)
{
    int64_t used =
        counts ? (int64_t)((uint64_t)told->used - (uint64_t)row->used) : 0;

    row->heard_at = now;
    set_asked_rate(row, told->asked_rate);
    if (used != 0) {
        row->used = told->used;
        row->total->used =
            (int64_t)((uint64_t)row->total->used + (uint64_t)used);
        row->total->changed_at = now;
    }
    if (elapsed > 0) {
        double rate = (double)used * (double)KC_SECOND / (double)elapsed;

        row->used_rate += (rate - row->used_rate) * USED_RATE_WEIGHT;
    }
}

static void
take_rows(KcQuotaHub *hub, Gateway *gateway, KcBytes rows, bool counts,
          KcTime now)
{
    int64_t count = KcQuotaRow_Count(rows);
    KcTime elapsed = counts ? now - gateway->heard_at : 0;
    KcQuotaRow told;
    Row *row;

    for (int64_t i = 0; i < count; i++) {
        KcQuotaRow_Read(rows, i, &told);
        row = get_row(hub, gateway, told.customer);
        if (row != NULL) {
            take_row(row, &told, counts, elapsed, now);
        }
    }
    TAILQ_FOREACH (row, &gateway->row_list, link) {
        if (row->heard_at != now) {
            set_asked_rate(row, 0);
            row->used_rate *= 1 - USED_RATE_WEIGHT;
        }
    }
}

static Gateway *
add_gateway(KcQuotaHub *hub, const char *name, uint64_t incarnation)
{
    Gateway *gateway = KcMem_New(sizeof(*gateway));

    KcText_Copy(gateway->name, name, KC_NAME_MAX);
    gateway->incarnation = incarnation;
    hub->last_joined += hub->last_joined == UINT32_MAX ? 2 : 1;
    gateway->joined = hub->last_joined;
    TAILQ_INIT(&gateway->row_list);
    HASH_ADD_STR(hub->gateways_by_name, name, gateway);
    TAILQ_INSERT_TAIL(&hub->gateways, gateway, link);
    return gateway;
}

/* all: also of customers without requests lately. */
static void
write_answer(KcQuotaHub *hub, const Gateway *gateway, uint32_t sequence,
             bool all, KcMsg *answer, KcTime now)
{
    const Gateway *other;
    const Total *total;

    *answer = (KcMsg){.type = KC_MSG_TOTALS,
                      .u.totals = {.sequence = sequence,
                                   .joined = gateway->joined,
                                   .group_size = KcQuotaHub_Size(hub)}};
    TAILQ_FOREACH (other, &hub->gateways, link) {
        if (other->count_named > answer->u.totals.gateway_count) {
            answer->u.totals.gateway_count = other->count_named;
        }
    }
    KcBuffer_Clear(&hub->rows);
    TAILQ_FOREACH (total, &hub->totals, link) {
        if (all || total->asked_rate > 0 ||
            now - total->changed_at < TELL_TIMEOUT) {
            const Row *row = find_row(gateway, total->customer);
            KcQuotaRow told = {
                .customer = total->customer,
                .used = (int64_t)((uint64_t)total->used -
                                  (row != NULL ? (uint64_t)row->used : 0)),
                .asked_rate = total->asked_rate};

            KcQuotaRow_Append(&told, &hub->rows);
        }
    }
    answer->u.totals.rows = (KcBytes){.data = KcBuffer_Data(&hub->rows),
                                      .size = KcBuffer_Size(&hub->rows)};
}

int
KcQuotaHub_OnReport(KcQuotaHub *hub, const char *name, uint64_t incarnation,
                    const KcMsg *msg, KcMsg *answer, KcTime now)
{
    const KcMsgUsage *usage = &msg->u.usage;
    Gateway *gateway;
    bool counts;

    answer->type = KC_MSG_COUNT;
    if (KcQuotaRow_Count(usage->rows) < 0) {
        return KC_ERR_PROTOCOL;
    }
    remove_silent(hub, now);
    HASH_FIND_STR(hub->gateways_by_name, name, gateway);
    counts = gateway != NULL && gateway->incarnation == incarnation &&
             gateway->joined == usage->joined;
    if (gateway != NULL && (!counts || usage->is_leaving)) {
        remove_gateway(hub, gateway,
                       usage->is_leaving ? 0 : now - gateway->heard_at, now);
        gateway = NULL;
    }
    if (usage->is_leaving) {
        return 0;
    }
    if (gateway == NULL) {
        if (KcQuotaHub_Size(hub) >= KC_QUOTA_HUB_GATEWAYS_MAX) {
            return KC_ERR_LIMIT_EXCEEDED;
        }
        gateway = add_gateway(hub, name, incarnation);
    }
    take_rows(hub, gateway, usage->rows, counts, now);
    gateway->heard_at = now;
    gateway->count_named = usage->gateway_count;
    gateway->lease = usage->lease_ms * KC_MS;
    if (gateway->lease > LEASE_MAX) {
        gateway->lease = LEASE_MAX;
    }
    write_answer(hub, gateway, usage->sequence, !counts, answer, now);
    return 0;
}

uint32_t
KcQuotaHub_Size(const KcQuotaHub *hub)
{
    return HASH_COUNT(hub->gateways_by_name);
}
