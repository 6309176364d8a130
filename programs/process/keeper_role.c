/*
 * Process of a keeper: its engine and connections from gateways.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "admin_http.h"
#include "keeper_role_internal.h"
#include "log.h"
#include "suspects_json.h"

/*
 * The engine runs on the same machine: it answers within a few milliseconds or
 * not at all.
 */
#define ENGINE_CALL_TIMEOUT (100 * KC_MS)
/*
 * All other orders wait for the answer to one. An order that was carried out
 * after all is in the report that follows, and one that is repeated has the
 * same sequence number.
 */
#define ENGINE_ORDER_TIMEOUT (30 * KC_MS)
/* ---- gateways ------------------------------------------------------------ */

/* Each message names the generation, so that a gateway that has missed one
 * learns of it. */
static void
stamp_message(void *context, KcMsg *msg)
{
    msg->generation = ((const KeeperRole *)context)->named_generation;
}

void
KcKeeperRole_LearnGeneration(KeeperRole *role, uint64_t generation,
                             const KcLink *from)
{
    KcMsg msg = {.type = KC_MSG_PING};
    KcLink *link;

    if (generation <= role->named_generation) {
        return;
    }
    role->named_generation = generation;
    TAILQ_FOREACH (link, &role->links, link) {
        if (link->hello_received && link != from) {
            KcLink_Send(link, &msg);
        }
    }
}

static void
on_accepted(void *context, KcLink *link)
{
    KeeperRole *role = context;

    link->owner = role;
    link->stamp = stamp_message;
    link->stamp_context = role;
    TAILQ_INSERT_TAIL(&role->links, link, link);
}

/*
 * Frees a link whose transport is closed. It leaves the list first, so that
 * messages sent by KcKeeper_OnGatewayLost() do not reach it.
 */
static void
close_link(KeeperRole *role, KcLink *link)
{
    TAILQ_REMOVE(&role->links, link, link);
    KcKeeper_OnGatewayLost(role->keeper, link, KcLoop_Now());
    KcLink_Free(link);
}

/* ---- prompts that end engines -------------------------------------------- */

static void
confirm_end(void *context, KcLink *link, const KcServerEnd *end)
{
    char parts[KC_PROMPT_PARTS_MAX * KC_PART_BYTES];
    KcMsg msg;

    (void)context;
    KcServerEnd_ToMsg(end, KC_MSG_ENDED, &msg, parts);
    KcLink_Send(link, &msg);
}

static void
send_suspect(void *context, KcLink *link, const KcLink *except,
             const KcSuspectNews *news)
{
    KeeperRole *role = context;
    char companions[KC_PROMPT_PARTS_MAX * KC_PART_BYTES];
    KcLink *gateway_link;
    KcMsg msg;

    KcSuspectNews_ToMsg(news, &msg, companions);
    if (link != NULL) {
        KcLink_Send(link, &msg);
        return;
    }
    TAILQ_FOREACH (gateway_link, &role->links, link) {
        if (gateway_link->hello_received && gateway_link != except) {
            KcLink_Send(gateway_link, &msg);
        }
    }
}

static void
log_suspect(void *context, KcSuspectStep step, const KcSuspect *suspect,
            bool is_own)
{
    const KeeperRole *role = context;

    KcLog_Suspect(role->common.settings->service_name, step, suspect, is_own);
}

/* Returns 0 or KC_ERR_PROTOCOL. */
static int
take_suspect(KeeperRole *role, KcLink *link, const KcMsg *msg, KcTime now)
{
    uint64_t companions[KC_PROMPT_PARTS_MAX];
    KcSuspectNews news;
    int code = KcSuspectNews_FromMsg(msg, &news, companions);

    if (code == 0) {
        KcKeeper_OnSuspectNews(role->keeper, link, &news, now);
    }
    return code;
}

static int
take_lost(KeeperRole *role, KcLink *link, const KcMsg *msg, KcTime now)
{
    uint64_t parts[KC_PROMPT_PARTS_MAX];
    KcServerEnd end;
    int code = KcServerEnd_FromMsg(msg, &end, parts);

    if (code == 0) {
        KcKeeper_OnLostAttempt(role->keeper, link, &end, now);
    }
    return code;
}

/* Returns 0 or an error code; what a gateway uses is answered by the sums. */
static int
take_usage(KeeperRole *role, KcLink *link, const KcMsg *msg, KcTime now)
{
    KcMsg answer;
    int code = KcQuotaHub_OnReport(role->quota_hub, link->peer_name,
                                   link->peer_incarnation, msg, &answer, now);

    if (code == 0 && answer.type == KC_MSG_TOTALS) {
        KcLink_Send(link, &answer);
    }
    return code;
}

static void
accept_hello(KeeperRole *role, KcLink *link)
{
    KcMsg hello;

    KcMsg_InitHello(&hello, role->common.settings->name, role->incarnation);
    KcLink_Send(link, &hello);
    KcKeeper_OnGatewayConnected(role->keeper, link, KcLoop_Now());
}

static void
on_message(void *context, KcLink *link, const KcMsg *msg)
{
    KeeperRole *role = context;
    KcTime now = KcLoop_Now();
    KcStream *stream;
    KcError error;
    KcLogFields fields = {.peer = link->peer_name, .step = "link"};
    int code = 0;

    if (KcLink_Receive(link, msg, &stream, now, &error) != 0) {
        fields.step = error.step;
        fields.code = error.code;
        KcLog_Write(KC_LOG_WARN, &fields,
                    "protocol error of a gateway, connection closed");
        link->ops->close(link->transport);
        close_link(role, link);
        return;
    }
    KcKeeperRole_LearnGeneration(role, link->peer_generation, link);
    switch (msg->type) {
    case KC_MSG_HELLO:
        accept_hello(role, link);
        break;
    case KC_MSG_WANT:
        KcKeeper_OnLoadRequest(role->keeper, msg->u.want.model,
                               msg->u.want.adapter, msg->u.want.version_min,
                               msg->u.want.priority, now);
        break;
    case KC_MSG_USED:
        KcKeeper_OnUsage(role->keeper, link, msg->u.used.model,
                         msg->u.used.adapter, msg->u.used.uses,
                         msg->u.used.in_flight, now);
        break;
    case KC_MSG_LOST:
        code = take_lost(role, link, msg, now);
        break;
    case KC_MSG_SUSPECT:
        code = take_suspect(role, link, msg, now);
        break;
    case KC_MSG_USAGE:
        code = take_usage(role, link, msg, now);
        break;
    case KC_MSG_PING: /* names a generation */
        break;
    default:
        code = KC_ERR_PROTOCOL;
        break;
    }
    if (code != 0) {
        fields.code = code;
        KcLog_Write(KC_LOG_WARN, &fields,
                    "unexpected message from the gateway");
    }
}

static void
on_closed(void *context, void *peer_context, KcLink *link, int code)
{
    KcLogFields fields = {
        .peer = link->peer_name, .step = "link", .code = code};

    (void)peer_context;
    KcLog_Write(KC_LOG_INFO, &fields, "connection from the gateway closed");
    close_link(context, link);
}

static const KcTcpOps tcp_ops = {NULL, on_message, KcLog_SkippedMessage,
                                 on_closed};

static void
notify_gateways(void *context, KcLink *link, const char *model,
                const char *adapter, uint32_t version, KcHeldState state)
{
    KeeperRole *role = context;
    KcMsg msg = {.type = KC_MSG_HELD,
                 .u.held = {.version = version, .state = (uint32_t)state}};
    KcLink *gateway_link;

    KcText_Copy(msg.u.held.model, model, KC_NAME_MAX);
    KcText_Copy(msg.u.held.adapter, adapter, KC_NAME_MAX);
    if (link != NULL) {
        KcLink_Send(link, &msg);
        return;
    }
    TAILQ_FOREACH (gateway_link, &role->links, link) {
        if (gateway_link->hello_received) {
            KcLink_Send(gateway_link, &msg);
        }
    }
}

/* ---- the engine ---------------------------------------------------------- */

static void
send_order(void *context, const KcOrder *order)
{
    KeeperRole *role = context;

    role->platform->send_order(role->engine, order);
}

static void
request_report(void *context)
{
    KeeperRole *role = context;

    role->platform->request_report(role->engine);
}

static void
on_order_result(void *context, KcOrderResult result)
{
    KcKeeper_OnOrderResult(((KeeperRole *)context)->keeper, result,
                           KcLoop_Now());
}

static void
on_report(void *context, const KcEngineReport *report)
{
    KcKeeper_OnReport(((KeeperRole *)context)->keeper, report, KcLoop_Now());
}

static void
on_gone(void *context)
{
    KcKeeper_OnEngineGone(((KeeperRole *)context)->keeper, KcLoop_Now());
}

/* Logs one line per order, result and load request that was not served. */
static void
log_decision(void *context, const KcKeeperLogEntry *entry)
{
    KcLogFields fields = {.step = entry->decision, .code = entry->code};
    const KcOrder *order = entry->order;

    (void)context;
    KcLog_Write(KC_LOG_INFO, &fields,
                "model=%s adapter=%s version=%u fence=%" PRIu64
                " sequence=%" PRIu64 " places=%u in_use=%u coming=%u wants=%u",
                order->model, order->adapter, order->version, order->fence,
                order->sequence, entry->slot_count, entry->slots_in_use,
                entry->loading_count, entry->load_request_count);
}

static void
log_engine(void *context, KcEngineNews news, int64_t started_at_ms)
{
    static const char *const texts[] = {
        [KC_ENGINE_SILENT] = "engine gives no report",
        [KC_ENGINE_STARTED] = "engine started",
        [KC_ENGINE_LEAVING] = "engine is leaving",
        [KC_ENGINE_ENDED] = "engine ended on its own"};
    KcLogFields fields = {.step = "engine"};

    (void)context;
    KcLog_Write(KC_LOG_INFO, &fields, "%s, started_at_ms=%" PRId64,
                texts[news], started_at_ms);
}

static const KcKeeperOps keeper_ops = {.send_order = send_order,
                                       .request_report = request_report,
                                       .notify_gateways = notify_gateways,
                                       .log_decision = log_decision,
                                       .log_engine = log_engine,
                                       .confirm_end = confirm_end,
                                       .send_suspect = send_suspect,
                                       .log_suspect = log_suspect};

/* ---- administration ------------------------------------------------------ */

static int
check_ready(void *context)
{
    return KcKeeper_CheckReady(((KeeperRole *)context)->keeper);
}

static uint64_t
get_generation(void *context)
{
    return ((KeeperRole *)context)->generation;
}

static void
add_state(void *context, json_t *state)
{
    KeeperRole *role = context;
    json_t *parts = json_array();

    json_object_set_new(state, "service",
                        json_string(role->common.settings->service_name));
    KcSuspects_AddJson(KcKeeper_GetSuspects(role->keeper),
                       role->common.settings->service_name, parts,
                       KcLoop_Now());
    json_object_set_new(state, "parts", parts);
    json_object_set_new(
        state, "fence",
        json_integer((json_int_t)KcKeeper_Fence(role->keeper)));
}

static void
admin_begin_drain(void *context)
{
    KcRoleCommon_BeginDrain(&((KeeperRole *)context)->common);
}

static bool
clear_part(void *context, uint64_t part)
{
    KcKeeper *keeper = ((KeeperRole *)context)->keeper;

    return KcSuspects_ClearPart(KcKeeper_GetSuspects(keeper), part,
                                KcLoop_Now());
}

static const KcAdminServerOps admin_ops = {.check_ready = check_ready,
                                           .get_generation = get_generation,
                                           .add_state = add_state,
                                           .begin_drain = admin_begin_drain,
                                           .clear_part = clear_part};

static void
begin_drain(void *context)
{
    (void)context;
}

/* No request passes through a keeper, so it may stop at any time. */
static bool
is_drained(void *context)
{
    (void)context;
    return true;
}

/* A keeper keeps its initial settings; a changed file is only checked. */
static void
apply_settings(void *context, const KcSettings *settings)
{
    (void)context;
    (void)settings;
}

static const KcRoleOps role_ops = {.begin_drain = begin_drain,
                                   .is_drained = is_drained,
                                   .apply_settings = apply_settings};

/* ---- set-up -------------------------------------------------------------- */

static void
create_keeper(KeeperRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcKeeperOptions options;
    KcEngineOptions engine_options = {.loop = role->common.loop,
                                      .address = settings->backend_address,
                                      .keeper_name = settings->name,
                                      .call_timeout = ENGINE_CALL_TIMEOUT,
                                      .order_timeout = ENGINE_ORDER_TIMEOUT,
                                      .counters = &role->common.counters,
                                      .on_order_result = on_order_result,
                                      .on_report = on_report,
                                      .on_gone = on_gone,
                                      .context = role};

    role->engine = role->platform->open_engine(&engine_options);
    KcKeeperOptions_Init(&options);
    options.ops = &keeper_ops;
    options.context = role;
    options.timers = role->common.loop->timers;
    options.counters = &role->common.counters;
    options.suspects = KcRoleCommon_GetSuspectOptions(settings);
    role->keeper = KcKeeper_Create(&options);
    role->quota_hub = KcQuotaHub_Create();
}

static int
listen_all(KeeperRole *role)
{
    role->listener =
        KcRoleCommon_ListenLinks(&role->common, &tcp_ops, role, on_accepted);
    if (role->listener == NULL) {
        return KC_ERR_INVALID;
    }
    return KcRoleCommon_OpenAdmin(&role->common, &admin_ops, role);
}

static void
start_all(KeeperRole *role)
{
    KcKeeperRole_StartStore(role);
    KcKeeper_Start(role->keeper, KcLoop_Now());
}

static void
free_all(KeeperRole *role)
{
    KcLink *link;

    if (role->store != NULL) {
        KcKeeperRole_StopStore(role);
    }
    while ((link = TAILQ_FIRST(&role->links)) != NULL) {
        link->ops->close(link->transport);
        close_link(role, link);
    }
    if (role->listener != NULL) {
        KcTcpListener_Free(role->listener);
    }
    KcKeeper_Free(role->keeper);
    KcQuotaHub_Free(role->quota_hub);
    role->platform->close_engine(role->engine);
    KcRoleCommon_Clear(&role->common);
}

int
KcKeeperRole_Run(const KcSettings *settings)
{
    KeeperRole role;
    int status = 1;

    memset(&role, 0, sizeof(role));
    role.platform = &KcPlatform_Current;
    TAILQ_INIT(&role.links);
    if (KcRoleCommon_Init(&role.common, settings, &role_ops, &role) != 0) {
        return 1;
    }
    role.incarnation = KcLoop_GetRandomBits();
    role.common.drain_timeout = (KcTime)(settings->grace_period_s * KC_SECOND);
    create_keeper(&role);
    if (listen_all(&role) == 0) {
        start_all(&role);
        KcLog_Write(KC_LOG_INFO, NULL, "keeper for %s listens on %s",
                    settings->backend_address, settings->links_address);
        KcLoop_Run(role.common.loop);
        KcLog_Write(KC_LOG_INFO, NULL, "keeper stops");
        status = 0;
    }
    free_all(&role);
    return status;
}
