/*
 * The gateway's connections to keepers: load requests, usage reports, and news
 * of prompts that end servers.
 *
 * A connection is made when there is something to send; those to the hubs, by
 * which such news come, are kept.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_role_internal.h"

/* Shortest interval between reports of uses to the keepers. */
#define USE_REPORT_INTERVAL (200 * KC_MS)
/* Delay before a new connection to a keeper that could not be reached. */
#define KEEPER_RETRY_DELAY (500 * KC_MS)
/* Interval at which missing connections to hubs are made. */
#define HUB_CHECK_INTERVAL (500 * KC_MS)

static void
drop_pending_messages(ServerConnections *connections)
{
    PendingMessage *pending;

    while ((pending = TAILQ_FIRST(&connections->pending_messages)) != NULL) {
        TAILQ_REMOVE(&connections->pending_messages, pending, link);
        free(pending);
    }
}

void
KcGatewayRole_DisconnectKeeper(ServerConnections *connections)
{
    drop_pending_messages(connections);
    if (connections->keeper_connecting != NULL) {
        KcTcpConnection_Close(connections->keeper_connecting);
    }
    if (connections->keeper_link != NULL) {
        connections->keeper_link->ops->close(
            connections->keeper_link->transport);
        KcLink_Free(connections->keeper_link);
    }
    connections->keeper_connecting = NULL;
    connections->keeper_link = NULL;
}

/* ---- links --------------------------------------------------------------- */

static void
tell_suspect(void *context, const KcSuspectNews *news)
{
    char companions[KC_PROMPT_PARTS_MAX * KC_PART_BYTES];
    KcMsg msg;

    KcSuspectNews_ToMsg(news, &msg, companions);
    KcLink_Send(context, &msg);
}

static void
stamp_message(void *context, KcMsg *msg)
{
    msg->generation = KcGatewayRole_GetGeneration(context);
}

static void
on_ready(void *context, void *peer_context, KcLink *link)
{
    GatewayRole *role = context;
    ServerConnections *connections = peer_context;
    PendingMessage *pending;

    connections->keeper_connecting = NULL;
    connections->keeper_link = link;
    link->owner = connections;
    link->stamp = stamp_message;
    link->stamp_context = role;
    KcGatewayRole_OnGenerationNamed(role, link->peer_generation, KcLoop_Now());
    TAILQ_FOREACH (pending, &connections->pending_messages, link) {
        KcLink_Send(link, &pending->msg);
    }
    drop_pending_messages(connections);
    KcSuspects_TellAll(&connections->server->pool->suspects, tell_suspect,
                       link, KcLoop_Now());
    KcGatewayRole_JoinHub(role);
}

static int
take_held(GatewayRole *role, KcServer *server, const KcMsg *msg)
{
    const KcMsgHeld *held = &msg->u.held;

    if (held->state >= KC_HELD_STATE_COUNT) {
        return KC_ERR_PROTOCOL;
    }
    KcGateway_OnKeeperReport(role->gateway, server, held->model, held->adapter,
                             held->version, (KcHeldState)held->state,
                             KcLoop_Now());
    return 0;
}

static int
take_ended(GatewayRole *role, KcServer *server, const KcMsg *msg)
{
    uint64_t parts[KC_PROMPT_PARTS_MAX];
    KcServerEnd end;
    int code = KcServerEnd_FromMsg(msg, &end, parts);

    (void)role;
    if (code == 0) {
        KcGateway_OnServerEnded(server, &end, KcLoop_Now());
    }
    return code;
}

static int
take_suspect(GatewayRole *role, KcServer *server, const KcMsg *msg)
{
    uint64_t companions[KC_PROMPT_PARTS_MAX];
    KcSuspectNews news;
    int code = KcSuspectNews_FromMsg(msg, &news, companions);

    (void)role;
    if (code == 0) {
        KcGateway_OnSuspectNews(server->pool, &news, KcLoop_Now());
    }
    return code;
}

/* It names a generation, as each message does. */
static int
take_ping(GatewayRole *role, KcServer *server, const KcMsg *msg)
{
    (void)role;
    (void)server;
    (void)msg;
    return 0;
}

/* What is done with each message of a keeper; NULL: none is expected. */
static int (*const message_takers[KC_MSG_COUNT])(GatewayRole *role,
                                                 KcServer *server,
                                                 const KcMsg *msg) = {
    [KC_MSG_HELD] = take_held,
    [KC_MSG_ENDED] = take_ended,
    [KC_MSG_SUSPECT] = take_suspect,
    [KC_MSG_TOTALS] = KcGatewayRole_TakeTotals,
    [KC_MSG_PING] = take_ping,
};

static void
on_message(void *context, KcLink *link, const KcMsg *msg)
{
    ServerConnections *connections = link->owner;
    KcLogFields fields = {.peer = connections->server->id, .step = "keeper"};
    KcStream *stream;
    KcError error;

    if (KcLink_Receive(link, msg, &stream, KcLoop_Now(), &error) != 0 ||
        message_takers[msg->type] == NULL ||
        message_takers[msg->type](context, connections->server, msg) != 0) {
        fields.code = KC_ERR_PROTOCOL;
        KcLog_Write(KC_LOG_WARN, &fields,
                    "unexpected message from the keeper");
        return;
    }
    KcGatewayRole_OnGenerationNamed(context, link->peer_generation,
                                    KcLoop_Now());
}

static void
on_closed(void *context, void *peer_context, KcLink *link, int code)
{
    GatewayRole *role = context;
    ServerConnections *connections = link != NULL ? link->owner : peer_context;
    KcLogFields fields = {
        .peer = connections->server->id, .step = "keeper", .code = code};

    KcLog_Write(KC_LOG_INFO, &fields,
                link != NULL ? "connection to the keeper lost"
                             : "no connection to the keeper");
    if (link != NULL) {
        KcLink_Free(link);
    }
    else {
        connections->keeper_retry_at = KcLoop_Now() + KEEPER_RETRY_DELAY;
    }
    connections->keeper_connecting = NULL;
    connections->keeper_link = NULL;
    drop_pending_messages(connections);
    KcGateway_OnKeeperLost(role->gateway, connections->server, KcLoop_Now());
}

static const KcTcpOps tcp_ops = {on_ready, on_message, KcLog_SkippedMessage,
                                 on_closed};

/* Connects to the keeper, unless that is being done; false when it could not
 * be reached shortly before. */
static bool
connect_keeper(GatewayRole *role, ServerConnections *connections)
{
    const KcSettings *settings = role->common.settings;
    KcTcpOptions options = {.loop = role->common.loop,
                            .counters = &role->common.counters,
                            .ops = &tcp_ops,
                            .context = role};
    KcMsg hello;
    char host[KC_ADDRESS_MAX];
    char address[KC_ADDRESS_MAX + 8];
    uint16_t port;

    if (connections->keeper_connecting != NULL) {
        return true;
    }
    if (KcLoop_Now() < connections->keeper_retry_at) {
        return false;
    }
    KcMsg_InitHello(&hello, settings->name, role->incarnation);
    stamp_message(role, &hello);
    KcAddress_Parse(connections->server->address, host, &port);
    snprintf(address, sizeof(address), "%s:%d", host,
             (int)settings->keeper_port);
    connections->keeper_connecting =
        KcTcpConnection_Connect(&options, connections, address, &hello,
                                settings->connect_timeout_ms * KC_MS);
    return true;
}

/* Sends a message to a server's keeper, once the connection is made; false
 * when the keeper cannot be reached.  Of what the message borrows only the
 * parts of a LOST are copied. */
static bool
send_to_keeper(GatewayRole *role, KcServer *server, const KcMsg *msg)
{
    ServerConnections *connections =
        KcGatewayRole_GetConnections(role, server);
    PendingMessage *pending;

    if (connections->keeper_link == NULL &&
        !connect_keeper(role, connections)) {
        return false;
    }
    pending = KcMem_New(sizeof(*pending));
    pending->msg = *msg;
    if (msg->type == KC_MSG_LOST) {
        KcBytes *parts = &pending->msg.u.ended.parts;

        memcpy(pending->parts, parts->data, parts->size);
        parts->data = pending->parts;
    }
    if (connections->keeper_link != NULL) {
        KcLink_Send(connections->keeper_link, &pending->msg);
        free(pending);
        return true;
    }
    TAILQ_INSERT_TAIL(&connections->pending_messages, pending, link);
    return true;
}

/* ---- adapters ------------------------------------------------------------ */

bool
KcGatewayRole_RequestLoad(void *context, const KcLoadRequest *request)
{
    KcMsg msg = {.type = KC_MSG_WANT,
                 .u.want = {.version_min = request->version_min,
                            .priority = request->priority}};

    KcText_Copy(msg.u.want.model, request->adapter->model, KC_NAME_MAX);
    KcText_Copy(msg.u.want.adapter, request->adapter->name, KC_NAME_MAX);
    return send_to_keeper(context, request->server, &msg);
}

static void
report_uses(void *context, KcReplica *replica)
{
    ServerConnections *connections = replica->server->connections;
    KcMsg msg = {.type = KC_MSG_USED,
                 .u.used = {.uses = replica->unreported_uses,
                            .in_flight = replica->in_flight}};

    (void)context;
    if (connections == NULL || connections->keeper_link == NULL ||
        replica->adapter->name[0] == '\0') {
        return;
    }
    KcText_Copy(msg.u.used.model, replica->adapter->model, KC_NAME_MAX);
    KcText_Copy(msg.u.used.adapter, replica->adapter->name, KC_NAME_MAX);
    KcLink_Send(connections->keeper_link, &msg);
}

static void
on_use_report_timer(KcTimer *timer, KcTime now)
{
    GatewayRole *role = timer->owner;

    (void)now;
    KcGateway_ReportUses(role->gateway, report_uses, role);
}

void
KcGatewayRole_ScheduleUseReport(GatewayRole *role)
{
    if (!role->use_report_timer.is_set) {
        KcTimers_Set(role->common.loop->timers, &role->use_report_timer,
                     KcLoop_Now() + USE_REPORT_INTERVAL);
    }
}

/* ---- prompts that end servers -------------------------------------------- */

void
KcGatewayRole_AskEnd(void *context, KcServer *server,
                     const KcLossRecord *record)
{
    char parts[KC_PROMPT_PARTS_MAX * KC_PART_BYTES];
    KcMsg msg;

    KcServerEnd_ToMsg(&record->end, KC_MSG_LOST, &msg, parts);
    send_to_keeper(context, server, &msg);
}

void
KcGatewayRole_PublishSuspect(void *context, KcServerPool *pool,
                             const KcSuspectNews *news)
{
    KcServer *hubs[KC_HUBS_MAX];
    uint32_t count = KcServerPool_ListHubs(pool, hubs);

    (void)context;
    for (uint32_t i = 0; i < count; i++) {
        const ServerConnections *connections = hubs[i]->connections;

        if (connections == NULL || connections->keeper_link == NULL) {
            continue; /* it is told when it is connected */
        }
        tell_suspect(connections->keeper_link, news);
        if (news->kind == KC_SUSPECT_NEWS_ASK) {
            break;
        }
    }
}

static void
tell_generation(void *context, KcServerPool *pool)
{
    KcServer *hubs[KC_HUBS_MAX];
    uint32_t count = KcServerPool_ListHubs(pool, hubs);
    KcMsg msg = {.type = KC_MSG_PING};

    (void)context;
    for (uint32_t i = 0; i < count; i++) {
        const ServerConnections *connections = hubs[i]->connections;

        if (connections != NULL && connections->keeper_link != NULL) {
            KcLink_Send(connections->keeper_link, &msg);
        }
    }
}

void
KcGatewayRole_PublishGeneration(GatewayRole *role)
{
    KcGateway_VisitEnginePools(role->gateway, tell_generation, role);
}

void
KcGatewayRole_LogSuspect(void *context, const KcServerPool *pool,
                         KcSuspectStep step, const KcSuspect *suspect,
                         bool is_own)
{
    (void)context;
    KcLog_Suspect(pool->service, step, suspect, is_own);
}

static void
connect_hubs(void *context, KcServerPool *pool)
{
    GatewayRole *role = context;
    KcServer *hubs[KC_HUBS_MAX];
    uint32_t count = KcServerPool_ListHubs(pool, hubs);

    for (uint32_t i = 0; i < count; i++) {
        ServerConnections *connections =
            KcGatewayRole_GetConnections(role, hubs[i]);

        if (connections->keeper_link == NULL) {
            connect_keeper(role, connections);
        }
    }
}

void
KcGatewayRole_ConnectHubs(GatewayRole *role)
{
    KcGateway_VisitEnginePools(role->gateway, connect_hubs, role);
}

static void
on_hub_timer(KcTimer *timer, KcTime now)
{
    GatewayRole *role = timer->owner;

    KcGatewayRole_ConnectHubs(role);
    KcTimers_Set(role->common.loop->timers, timer, now + HUB_CHECK_INTERVAL);
}

/* ---- start and end ------------------------------------------------------- */

void
KcGatewayRole_StartKeepers(GatewayRole *role)
{
    KcTimer_Init(&role->use_report_timer, on_use_report_timer, role);
    KcTimer_Init(&role->hub_timer, on_hub_timer, role);
    KcTimers_Set(role->common.loop->timers, &role->hub_timer,
                 KcLoop_Now() + HUB_CHECK_INTERVAL);
}

void
KcGatewayRole_StopKeepers(GatewayRole *role)
{
    KcTimers_Clear(role->common.loop->timers, &role->use_report_timer);
    KcTimers_Clear(role->common.loop->timers, &role->hub_timer);
}
