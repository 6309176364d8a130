/*
 * The gateway's reports of its customers' use to a hub, and what it tells
 * administrators and the log of their quotas.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_role_internal.h"

/* Customers of which the metrics tell by name. */
#define METRIC_CUSTOMERS_MAX 8
/* Size of one line of the metrics. */
#define METRIC_LINE_SIZE 256

/* ---- reports -------------------------------------------------------------- */

static uint64_t
hub_id(const KcServer *hub)
{
    return hub->id_hash != 0 ? hub->id_hash : 1;
}

static KcLink *
hub_link(const KcServer *hub)
{
    return hub->connections != NULL
               ? ((const ServerConnections *)hub->connections)->keeper_link
               : NULL;
}

/* All gateways choose the pool whose service's name is the first. */
static void
choose_pool(void *context, KcServerPool *pool)
{
    KcServerPool **chosen = context;
    KcServer *hubs[KC_HUBS_MAX];

    if (KcServerPool_ListHubs(pool, hubs) > 0 &&
        (*chosen == NULL || strcmp(pool->service, (*chosen)->service) < 0)) {
        *chosen = pool;
    }
}

/* Lists the hubs with a connection, in the order in which all choose them. */
static uint32_t
list_hubs(GatewayRole *role, KcServer *hubs[KC_HUBS_MAX],
          uint64_t ids[KC_HUBS_MAX])
{
    KcServerPool *pool = NULL;
    uint32_t count;
    uint32_t linked = 0;

    KcGateway_VisitEnginePools(role->gateway, choose_pool, &pool);
    count = pool != NULL ? KcServerPool_ListHubs(pool, hubs) : 0;
    for (uint32_t i = 0; i < count; i++) {
        const KcLink *link = hub_link(hubs[i]);

        if (link != NULL && link->hello_received) {
            ids[linked] = hub_id(hubs[i]);
            hubs[linked++] = hubs[i];
        }
    }
    return linked;
}

static void
send_report(GatewayRole *role, KcQuotas *quotas, KcTime now)
{
    KcServer *hubs[KC_HUBS_MAX];
    uint64_t ids[KC_HUBS_MAX];
    uint32_t count = list_hubs(role, hubs, ids);
    uint64_t chosen = KcQuotas_ChooseHub(quotas, ids, count, now);
    KcMsg msg;

    for (uint32_t i = 0; i < count; i++) {
        if (ids[i] == chosen &&
            KcQuotas_WriteReport(quotas, chosen, &msg, now)) {
            KcLink_Send(hub_link(hubs[i]), &msg);
            return;
        }
    }
}

static void
on_quota_timer(KcTimer *timer, KcTime now)
{
    GatewayRole *role = timer->owner;
    KcQuotas *quotas = KcGateway_GetQuotas(role->gateway, now);

    role->quota_reviewed_at = now;
    if (KcQuotas_HasLimits(quotas)) {
        KcQuotas_Review(quotas, now);
        send_report(role, quotas, now);
        KcTimers_Set(role->common.loop->timers, timer,
                     now + KcQuotas_Interval(quotas));
    }
}

/* Tells the hub before that this gateway is not to be counted there. */
static void
leave_hub(GatewayRole *role, uint64_t hub)
{
    KcServer *hubs[KC_HUBS_MAX];
    uint64_t ids[KC_HUBS_MAX];
    uint32_t count = list_hubs(role, hubs, ids);
    KcMsg msg;

    for (uint32_t i = 0; i < count; i++) {
        if (ids[i] == hub) {
            KcQuotas_WriteLeave(&msg);
            KcLink_Send(hub_link(hubs[i]), &msg);
        }
    }
}

int
KcGatewayRole_TakeTotals(GatewayRole *role, KcServer *server, const KcMsg *msg)
{
    KcTime now = KcLoop_Now();
    KcQuotas *quotas = KcGateway_GetQuotas(role->gateway, now);
    int code = KcQuotas_OnTotals(quotas, hub_id(server),
                                 hub_link(server)->peer_incarnation, msg, now);

    if (code == 0 && role->quota_hub != hub_id(server)) {
        KcLogFields fields = {.step = "quota", .peer = server->id};
        KcQuotaGroup group = KcQuotas_Group(quotas);

        KcLog_Write(KC_LOG_INFO, &fields,
                    "quotas are shared over this hub, gateways=%u of=%u",
                    group.size, group.count);
        leave_hub(role, role->quota_hub);
        role->quota_hub = hub_id(server);
    }
    return code;
}

void
KcGatewayRole_StartQuotas(GatewayRole *role)
{
    KcTimer_Init(&role->quota_timer, on_quota_timer, role);
}

void
KcGatewayRole_JoinHub(GatewayRole *role)
{
    if (role->quota_hub == 0 || !role->quota_timer.is_set) {
        KcTimers_Set(role->common.loop->timers, &role->quota_timer,
                     KcLoop_Now());
    }
}

void
KcGatewayRole_StopQuotas(GatewayRole *role)
{
    KcTimers_Clear(role->common.loop->timers, &role->quota_timer);
}

/* ---- administration ------------------------------------------------------- */

static int64_t
age_ms(const KcQuotaState *state)
{
    return state->heard_age != KC_NEVER ? state->heard_age / KC_MS : -1;
}

static void
record_limit(void *context, const KcQuotaState *state)
{
    KcLogFields fields = {.step = "quota", .peer = state->name};

    (void)context;
    KcLog_Write(
        KC_LOG_INFO, &fields,
        "customer %s: unit=%s rate_per_s=%.0f burst=%.0f "
        "asked_per_s=%.0f all_asked_per_s=%.0f level=%.0f "
        "may_per_s=%.0f heard_ms_ago=%" PRId64 " gateways=%u of=%u",
        state->is_limited ? "begins to be limited" : "is no longer limited",
        KcQuotaUnit_Name(state->unit), state->rate_per_s, state->burst,
        state->asked_rate, state->all_rate, state->level, state->may_rate,
        age_ms(state), state->group.size, state->group.count);
}

/* Brings the next report forward. */
static void
request_report(void *context)
{
    GatewayRole *role = context;
    KcTime now = KcLoop_Now();
    KcTime due_at =
        role->quota_reviewed_at +
        KcQuotas_EarlyInterval(KcGateway_GetQuotas(role->gateway, now));

    if (role->quota_timer.is_set && due_at < role->quota_timer.due_at) {
        KcTimers_Set(role->common.loop->timers, &role->quota_timer,
                     due_at > now ? due_at : now);
    }
}

const KcQuotaOps KcGatewayRole_QuotaOps = {record_limit, request_report};

static void
add_customer(void *context, const KcQuotaState *state)
{
    json_array_append_new(
        context,
        json_pack(
            "{s:s, s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:I, s:I, "
            "s:I, s:b, s:I, s:i, s:i}",
            "customer", state->name, "unit", KcQuotaUnit_Name(state->unit),
            "rate_per_s", state->rate_per_s, "burst", state->burst, "level",
            state->level, "may_spend", state->may_spend, "may_per_s",
            state->may_rate, "asked_per_s", state->asked_rate,
            "all_asked_per_s", state->all_rate, "used",
            (json_int_t)state->used, "admitted", (json_int_t)state->admitted,
            "refused", (json_int_t)state->refused, "limited",
            (int)state->is_limited, "heard_ms_ago", (json_int_t)age_ms(state),
            "gateways", (int)state->group.size, "of",
            (int)state->group.count));
}

void
KcGatewayRole_AddCustomers(GatewayRole *role, json_t *state)
{
    KcTime now = KcLoop_Now();
    json_t *customers = json_array();

    KcQuotas_Visit(KcGateway_GetQuotas(role->gateway, now), add_customer,
                   customers, now);
    json_object_set_new(state, "customers", customers);
}

/* ---- metrics -------------------------------------------------------------- */

/* What the metrics tell of a customer. */
typedef struct MetricRow {
    char name[KC_NAME_MAX];
    uint64_t used;
    uint64_t admitted;
    uint64_t refused;
} MetricRow;

/* The customers with the largest use, the largest first, and all others as
 * the last row. */
typedef struct MetricTable {
    MetricRow rows[METRIC_CUSTOMERS_MAX + 1];
    uint32_t count; /* of rows by name */
    bool has_rest;
} MetricTable;

static void
add_to_rest(MetricTable *table, const MetricRow *row)
{
    MetricRow *rest = &table->rows[METRIC_CUSTOMERS_MAX];

    rest->used += row->used;
    rest->admitted += row->admitted;
    rest->refused += row->refused;
    table->has_rest = true;
}

static void
add_metric_row(void *context, const KcQuotaState *state)
{
    MetricTable *table = context;
    MetricRow row = {.used = state->used,
                     .admitted = state->admitted,
                     .refused = state->refused};
    uint32_t place = table->count;

    KcText_Copy(row.name, state->name, KC_NAME_MAX);
    for (char *c = row.name; *c != '\0'; c++) {
        *c = *c == '"' || *c == '\\' || *c == '\n' ? '_' : *c;
    }
    while (place > 0 && table->rows[place - 1].used < row.used) {
        place--;
    }
    if (place >= METRIC_CUSTOMERS_MAX) {
        add_to_rest(table, &row);
        return;
    }
    if (table->count == METRIC_CUSTOMERS_MAX) {
        add_to_rest(table, &table->rows[METRIC_CUSTOMERS_MAX - 1]);
        table->count--;
    }
    memmove(&table->rows[place + 1], &table->rows[place],
            (table->count - place) * sizeof(row));
    table->rows[place] = row;
    table->count++;
}

static uint64_t
metric_used(const MetricRow *row)
{
    return row->used;
}

static uint64_t
metric_admitted(const MetricRow *row)
{
    return row->admitted;
}

static uint64_t
metric_refused(const MetricRow *row)
{
    return row->refused;
}

static const struct {
    const char *name;
    const char *help;
    uint64_t (*value)(const MetricRow *row);
} metrics[] = {
    {"kcc_customer_used_units",
     "Units of a customer's quota that were used here.", metric_used},
    {"kcc_customer_admitted_total", "Requests within a customer's quota.",
     metric_admitted},
    {"kcc_customer_refused_total", "Requests above a customer's quota.",
     metric_refused},
};

static void
format_metric(KcBuffer *text, const char *name, const char *customer,
              uint64_t value)
{
    char line[METRIC_LINE_SIZE];
    int size =
        snprintf(line, sizeof(line), "%s{customer=\"%s\"} %" PRIu64 "\n", name,
                 customer, value);

    KcBuffer_Append(text, line, (size_t)size);
}

void
KcGatewayRole_FormatMetrics(void *context, KcBuffer *text)
{
    GatewayRole *role = context;
    KcTime now = KcLoop_Now();
    MetricTable table = {.count = 0};

    KcQuotas_Visit(KcGateway_GetQuotas(role->gateway, now), add_metric_row,
                   &table, now);
    for (size_t i = 0;
         table.count > 0 && i < sizeof(metrics) / sizeof(metrics[0]); i++) {
        char line[METRIC_LINE_SIZE];
        int size = snprintf(line, sizeof(line), "# HELP %s %s\n# TYPE %s %s\n",
                            metrics[i].name, metrics[i].help, metrics[i].name,
                            i == 0 ? "gauge" : "counter");

        KcBuffer_Append(text, line, (size_t)size);
        for (uint32_t j = 0; j < table.count; j++) {
            format_metric(text, metrics[i].name, table.rows[j].name,
                          metrics[i].value(&table.rows[j]));
        }
        if (table.has_rest) {
            format_metric(text, metrics[i].name, "",
                          metrics[i].value(&table.rows[METRIC_CUSTOMERS_MAX]));
        }
    }
}
