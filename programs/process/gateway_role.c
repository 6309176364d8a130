/*
 * Process of a gateway: start, planned stop, changed settings and state for
 * administrators.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "descriptors.h"
#include "explain_json.h"
#include "gateway_role_internal.h"
#include "memory.h"
#include "suspects_json.h"

/* A stop ends this long before the platform kills the process. */
#define GRACE_PERIOD_MARGIN (300 * KC_MS)

/*
 * Memory of servers' replies that are not complete, beyond a small part for
 * each.
 */
#define KEPT_REPLY_BYTES_MAX ((size_t)4 * 1024 * 1024)

/* Longest time in which a caller takes nothing of an answer. */
#define CALLER_STALL_TIMEOUT (15 * KC_SECOND)

/* Limits on callers until a routing configuration is in force. */
static const KcCallerLimits initial_caller_limits = {
    .header_bytes_max = 16384,
    .body_bytes_max = 1048576,
    .header_timeout = 10 * KC_SECOND,
    .idle_timeout = 60 * KC_SECOND};

/* ---- administration ------------------------------------------------------ */

static int
check_ready(void *context)
{
    GatewayRole *role = context;

    return role->common.draining ? KC_ERR_LEAVING
                                 : KcGateway_CheckReady(role->gateway);
}

static uint64_t
get_generation(void *context)
{
    return KcGatewayRole_GetGeneration(context);
}

static void
add_server_state(void *context, KcServer *server)
{
    KcTime now = KcLoop_Now();

    json_array_append_new(
        context,
        json_pack(
            "{s:s, s:s, s:s, s:I, s:b, s:b, s:b, s:I, s:b, s:b, s:i, s:i, "
            "s:I}",
            "id", server->id, "service", server->pool->service, "address",
            server->address, "started_at_ms",
            (json_int_t)server->started_at_ms, "leaving", (int)server->leaving,
            "leaving_by_keeper", (int)server->leaving_by_keeper,
            "leaving_by_answer", (int)server->leaving_by_answer, "closed_ms",
            (json_int_t)(server->closed_until > now
                             ? (server->closed_until - now) / KC_MS
                             : 0),
            "opening", (int)(server->closed_until != 0), "missing",
            (int)(server->missing_at != 0), "in_flight",
            (int)server->in_flight, "others", (int)server->others_in_flight,
            "load_age_ms",
            (json_int_t)((now - server->load_reported_at) / KC_MS)));
}

static void
add_parts(void *context, KcServerPool *pool)
{
    KcSuspects_AddJson(&pool->suspects, pool->service, context, KcLoop_Now());
}

/* The part that an administrator clears. */
typedef struct ClearedPart {
    uint64_t part;
    bool was_held;
} ClearedPart;

static void
clear_in_pool(void *context, KcServerPool *pool)
{
    ClearedPart *cleared = context;

    cleared->was_held =
        KcSuspects_ClearPart(&pool->suspects, cleared->part, KcLoop_Now()) ||
        cleared->was_held;
}

static bool
clear_part(void *context, uint64_t part)
{
    ClearedPart cleared = {.part = part};

    KcGateway_VisitEnginePools(((GatewayRole *)context)->gateway,
                               clear_in_pool, &cleared);
    return cleared.was_held;
}

/* Adds how old the certainty of the configuration is: null, it never was. */
static void
add_certainty(const GatewayRole *role, json_t *state)
{
    KcTime age =
        KcFeed_CertainAge(role->feeds[KC_COLLECTION_ROUTING], KcLoop_Now());

    json_object_set_new(state, "configuration_age_ms",
                        age != KC_NEVER
                            ? json_integer((json_int_t)(age / KC_MS))
                            : json_null());
    json_object_set_new(
        state, "revoke_ms",
        json_integer((json_int_t)(role->revoke_timeout / KC_MS)));
}

static void
add_state(void *context, json_t *state)
{
    GatewayRole *role = context;
    json_t *list = json_array();
    json_t *parts = json_array();

    KcGateway_VisitServers(role->gateway, add_server_state, list);
    json_object_set_new(state, "in_flight",
                        json_integer(KcGateway_CountInFlight(role->gateway)));
    json_object_set_new(
        state, "request_bytes",
        json_integer((json_int_t)role->request_pool.kept_bytes));
    json_object_set_new(state, "unsent_bytes",
                        json_integer((json_int_t)KcGatewayFrontEnd_UnsentBytes(
                            role->front_end)));
    json_object_set_new(state, "servers", list);
    KcGateway_VisitEnginePools(role->gateway, add_parts, parts);
    json_object_set_new(state, "parts", parts);
    add_certainty(role, state);
    KcGatewayRole_AddCustomers(role, state);
}

/* Puts the question in the name of the key's holder.  Returns NULL or what is
 * wrong. */
static const char *
take_key(const GatewayRole *role, KcExplainQuestion *question, const char *key)
{
    KcForwardCall *call = &question->call;

    if (key == NULL) {
        return NULL;
    }
    if (question->customer[0] != '\0') {
        return "a request has a customer or a key, not both";
    }
    call->has_key = role->platform->read_key(key, &call->key_digest);
    return call->has_key ? NULL : "the key is empty or too long";
}

static json_t *
explain(void *context, const json_t *fields, const char *key,
        const char **problem)
{
    GatewayRole *role = context;
    KcExplainQuestion question;
    KcExplanation explanation;
    json_t *json;

    *problem = KcExplainQuestion_Read(&question, fields);
    if (*problem == NULL) {
        *problem = take_key(role, &question, key);
    }
    if (*problem != NULL) {
        return NULL;
    }
    KcGateway_Explain(role->gateway, &question.call, question.customer,
                      &explanation, KcLoop_Now());
    json = KcExplanation_ToJson(&explanation);
    json_object_set_new(json, "gateway",
                        json_string(role->common.settings->name));
    json_object_set_new(json, "generation",
                        json_integer((json_int_t)get_generation(role)));
    KcExplanation_Clear(&explanation);
    return json;
}

static void
admin_begin_drain(void *context)
{
    KcRoleCommon_BeginDrain(&((GatewayRole *)context)->common);
}

static const KcAdminServerOps admin_ops = {.check_ready = check_ready,
                                           .get_generation = get_generation,
                                           .add_state = add_state,
                                           .begin_drain = admin_begin_drain,
                                           .clear_part = clear_part,
                                           .format_metrics =
                                               KcGatewayRole_FormatMetrics,
                                           .explain = explain};

/* ---- callers -------------------------------------------------------------- */

static void
open_for_callers(GatewayRole *role)
{
    KcTimers_Clear(role->common.loop->timers, &role->open_timer);
    KcGatewayFrontEnd_SetOpen(role->front_end, true);
}

static void
on_open_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    open_for_callers(timer->owner);
}

void
KcGatewayRole_ReviewOpening(GatewayRole *role)
{
    KcTime now = KcLoop_Now();

    if (role->open_timer.is_set &&
        KcGateway_OpensAt(role->gateway, role->started_at, now) <= now) {
        open_for_callers(role);
    }
}

static void
await_readiness(GatewayRole *role)
{
    role->started_at = KcLoop_Now();
    KcGatewayFrontEnd_SetOpen(role->front_end, false);
    KcTimer_Init(&role->open_timer, on_open_timer, role);
    KcTimers_Set(
        role->common.loop->timers, &role->open_timer,
        KcGateway_OpensAt(role->gateway, role->started_at, role->started_at));
}

/* ---- planned stops and changed settings ---------------------------------- */

static void
begin_drain(void *context)
{
    GatewayRole *role = context;
    KcGatewayStopOptions options;

    KcGatewayStopOptions_Init(&options);
    options.gateway = role->gateway;
    options.front_end = role->front_end;
    role->common.answer_time = options.answer_time;
    open_for_callers(role);
    KcGatewayStop_Begin(&role->stop, &options, role->common.drain_timeout,
                        KcLoop_Now());
}

static bool
is_drained(void *context)
{
    return KcGatewayStop_IsDone(&((GatewayRole *)context)->stop, KcLoop_Now());
}

static void
end_intake(void *context)
{
    KcGatewayStop_EndIntake(&((GatewayRole *)context)->stop, KcLoop_Now());
}

/* The percentage of retries, rounded down; 0.29 has no exact binary form. */
static int64_t
retry_percent(const KcSettings *settings)
{
    return (int64_t)(settings->retry_fraction * 100 + 1e-6);
}

static void
apply_settings(void *context, const KcSettings *settings)
{
    GatewayRole *role = context;

    KcGateway_SetRetryBudget(role->gateway, retry_percent(settings),
                             (int64_t)settings->retry_burst, KcLoop_Now());
    KcGateway_SetExtraFraction(role->gateway, settings->extra_percent / 100);
}

static const KcRoleOps role_ops = {begin_drain, is_drained, end_intake,
                                   apply_settings};

/* ---- set-up -------------------------------------------------------------- */

static const char *
find_region(void *context, const char *datacentre)
{
    return KcSettings_FindRegion(((GatewayRole *)context)->common.settings,
                                 datacentre);
}

static void
create_gateway(GatewayRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcGatewayOptions options;

    KcGatewayOptions_Init(&options);
    options.ops = &KcGatewayRole_Ops;
    options.context = role;
    options.timers = role->common.loop->timers;
    options.counters = &role->common.counters;
    options.datacentre = settings->datacentre;
    options.region_of = find_region;
    options.wall_offset = role->common.loop->wall_offset;
    options.seed = KcLoop_GetRandomBits();
    options.retry_percent = retry_percent(settings);
    options.retry_burst = (int64_t)settings->retry_burst;
    options.extra_fraction = settings->extra_percent / 100;
    options.version_timeout = (KcTime)(settings->version_timeout_ms * KC_MS);
    options.config_timeout = (KcTime)(settings->config_timeout_ms * KC_MS);
    options.revoke_timeout = role->revoke_timeout;
    options.suspects = KcRoleCommon_GetSuspectOptions(settings);
    options.quotas.ops = &KcGatewayRole_QuotaOps;
    options.quotas.context = role;
    options.quotas.window = (KcTime)(settings->quota_window_s * KC_SECOND);
    options.quotas.excess = settings->quota_excess;
    options.quotas.slack = settings->quota_slack;
    options.quotas.seed = options.seed;
    role->gateway = KcGateway_Create(&options);
}

/* Opens all addresses. Returns 0, or KC_ERR_INVALID after logging it. */
static int
listen_all(GatewayRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcGatewayFrontEndOptions front_end_options = {
        .loop = role->common.loop,
        .address = settings->callers_address,
        .gateway = role->gateway,
        .dialect = role->platform->dialect,
        .counters = &role->common.counters,
        .connections_max = (uint32_t)KcDescriptors_LimitConnections(settings),
        .request_pool = &role->request_pool,
        .initial_limits = initial_caller_limits,
        .silence_timeout = settings->connection_silence_timeout_ms * KC_MS,
        .stall_timeout = CALLER_STALL_TIMEOUT,
        .unsent_bytes_max = KcMemory_LimitAnswers(settings)};
    KcAdminServerOptions readiness_options = {
        .loop = role->common.loop,
        .settings = settings,
        .address = settings->ready_address,
        .ready_path = settings->ready_path,
        .counters = &role->common.counters,
        .events = role->common.events,
        .ops = &admin_ops,
        .context = role};
    KcLogFields fields = {.step = "listen", .code = KC_ERR_INVALID};

    KcLog_Write(KC_LOG_INFO, NULL,
                "up to %u connections of callers, %zu bytes of requests, %zu "
                "bytes of answers",
                front_end_options.connections_max,
                role->request_pool.kept_bytes_max,
                front_end_options.unsent_bytes_max);
    role->front_end = KcGatewayFrontEnd_Create(&front_end_options);
    role->readiness_server = KcAdminServer_Create(&readiness_options);
    if (role->front_end == NULL || role->readiness_server == NULL) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "cannot listen on [listen] callers = %s or ready = %s",
                    settings->callers_address, settings->ready_address);
        return KC_ERR_INVALID;
    }
    return KcRoleCommon_OpenAdmin(&role->common, &admin_ops, role);
}

static void
start_all(GatewayRole *role)
{
    KcStoreOptions store_options = KcRoleCommon_GetStoreOptions(&role->common);

    await_readiness(role);
    role->store = role->platform->open_store(&store_options);
    KcGatewayRole_StartKeepers(role);
    KcGatewayRole_StartQuotas(role);
    KcGatewayRole_StartFeeds(role);
    KcGatewayRole_WriteOwnRecord(role);
}

static void
free_all(GatewayRole *role)
{
    if (role->store != NULL) {
        KcGatewayRole_StopQuotas(role);
        KcGatewayRole_StopKeepers(role);
        KcTimers_Clear(role->common.loop->timers, &role->open_timer);
        KcOwnRecord_Clear(&role->own_record);
        KcGatewayRole_FreeFeeds(role);
        role->platform->close_store(role->store);
    }
    KcGateway_Abort(role->gateway, KcLoop_Now());
    KcGatewayRole_FreeStartReads(role);
    if (role->front_end != NULL) {
        KcGatewayFrontEnd_Free(role->front_end);
    }
    if (role->readiness_server != NULL) {
        KcAdminServer_Free(role->readiness_server);
    }
    KcGateway_Free(role->gateway);
    KcRoleCommon_Clear(&role->common);
}

int
KcGatewayRole_Run(const KcSettings *settings)
{
    GatewayRole role;
    int status = 1;

    memset(&role, 0, sizeof(role));
    TAILQ_INIT(&role.start_reads);
    role.intake_pool.kept_bytes_max = KEPT_REPLY_BYTES_MAX;
    role.request_pool.kept_bytes_max = KcMemory_LimitRequests(settings);
    role.platform = &KcPlatform_Current;
    if (KcRoleCommon_Init(&role.common, settings, &role_ops, &role) != 0) {
        return 1;
    }
    role.incarnation = KcLoop_GetRandomBits();
    role.revoke_timeout = (KcTime)(settings->revoke_timeout_ms * KC_MS);
    role.is_certain = true;
    role.common.drain_timeout =
        (KcTime)(settings->grace_period_s * KC_SECOND) - GRACE_PERIOD_MARGIN;
    if (role.common.drain_timeout < 0) {
        role.common.drain_timeout = 0;
    }
    create_gateway(&role);
    if (listen_all(&role) == 0) {
        start_all(&role);
        KcLog_Write(KC_LOG_INFO, NULL, "gateway serves callers on %s",
                    settings->callers_address);
        KcLoop_Run(role.common.loop);
        KcLog_Write(KC_LOG_INFO, NULL,
                    "gateway stops with %u requests in progress",
                    KcGateway_CountInFlight(role.gateway));
        status = 0;
    }
    free_all(&role);
    return status;
}
