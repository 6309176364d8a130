/*
 * The gateway's connections to backend servers and to their keepers, and what
 * is sent over them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_role_internal.h"

/* Keepers are told of uses at most this often. */
#define TELL_INTERVAL (200 * KC_MS)
/* A keeper that could not be reached is left alone for so long. */
#define KEEPER_RETRY (500 * KC_MS)
/* Bytes of a server's answer that is no stream. */
#define REPLY_MAX (4 * 1024 * 1024)
#define REPLY_HEADER_MAX 65536

/* A request for an adapter that waits for the keeper's connection. */
typedef struct PendingWant {
    TAILQ_ENTRY(PendingWant) link;
    KcMsg msg;
} PendingWant;

/* What the process has of one backend server. */
typedef struct ServerPeer {
    struct GatewayRole *role;
    KcServer *server;
    KcHttpConnectionPool *pool;
    KcTcpConnection *tcp; /* while connecting */
    KcLink *link;         /* to the keeper; NULL when there is none */
    KcTime retry_at;
    TAILQ_HEAD(, PendingWant) pending;
} ServerPeer;

/* ---- connections to keepers ---------------------------------------------- */

static ServerPeer *
peer_of(GatewayRole *role, KcServer *server)
{
    ServerPeer *peer = server->connections;

    if (peer == NULL) {
        peer = KcMem_New(sizeof(*peer));
        peer->role = role;
        peer->server = server;
        peer->pool = KcHttpConnectionPool_Create(role->parts.loop);
        TAILQ_INIT(&peer->pending);
        server->connections = peer;
    }
    return peer;
}

static void
drop_pending(ServerPeer *peer)
{
    PendingWant *pending;

    while ((pending = TAILQ_FIRST(&peer->pending)) != NULL) {
        TAILQ_REMOVE(&peer->pending, pending, link);
        free(pending);
    }
}

static void
forget(void *context, KcServer *server)
{
    ServerPeer *peer = server->connections;

    (void)context;
    if (peer == NULL) {
        return;
    }
    drop_pending(peer);
    if (peer->tcp != NULL) {
        KcTcpConnection_Close(peer->tcp);
    }
    if (peer->link != NULL) {
        peer->link->ops->close(peer->link->transport);
        KcLink_Free(peer->link);
    }
    peer->tcp = NULL;
    peer->link = NULL;
    if (server->in_flight > 0) {
        /* Sendings in progress give their connections back to the pool. */
        KcHttpConnectionPool_CloseAll(peer->pool);
        return;
    }
    KcHttpConnectionPool_Free(peer->pool);
    free(peer);
    server->connections = NULL;
}

static void
on_ready(void *context, void *owner, KcLink *link)
{
    ServerPeer *peer = owner;
    PendingWant *pending;

    (void)context;
    peer->tcp = NULL;
    peer->link = link;
    link->owner = peer;
    TAILQ_FOREACH (pending, &peer->pending, link) {
        KcLink_Send(link, &pending->msg);
    }
    drop_pending(peer);
}

static void
on_message(void *context, KcLink *link, const KcMsg *msg)
{
    GatewayRole *role = context;
    ServerPeer *peer = link->owner;
    const KcMsgHeld *held = &msg->u.held;
    KcLogFields fields = {.peer = peer->server->id, .step = "keeper"};
    KcStream *stream;
    KcError error;

    if (KcLink_Receive(link, msg, &stream, KcLoop_Now(), &error) != 0 ||
        msg->type != KC_MSG_HELD || held->state >= KC_HELD_STATE_COUNT) {
        fields.code = KC_ERR_PROTOCOL;
        KcLog_Write(KC_LOG_WARN, &fields, "unexpected message");
        return;
    }
    KcGateway_OnKeeperReport(role->gateway, peer->server, held->model,
                             held->adapter, held->version,
                             (KcHeldState)held->state, KcLoop_Now());
}

static void
on_closed(void *context, void *owner, KcLink *link, int code)
{
    GatewayRole *role = context;
    ServerPeer *peer = link != NULL ? link->owner : owner;
    KcLogFields fields = {
        .peer = peer->server->id, .step = "keeper", .code = code};

    KcLog_Write(KC_LOG_INFO, &fields,
                link != NULL ? "connection to the keeper lost"
                             : "no connection to the keeper");
    if (link != NULL) {
        KcLink_Free(link);
    }
    else {
        peer->retry_at = KcLoop_Now() + KEEPER_RETRY;
    }
    peer->tcp = NULL;
    peer->link = NULL;
    drop_pending(peer);
    KcGateway_OnKeeperLost(role->gateway, peer->server, KcLoop_Now());
}

static const KcTcpOps tcp_ops = {on_ready, on_message, on_closed};

static void
connect_keeper(GatewayRole *role, ServerPeer *peer)
{
    const KcSettings *settings = role->parts.settings;
    KcTcpOptions options = {.loop = role->parts.loop,
                            .counters = &role->parts.counters,
                            .ops = &tcp_ops,
                            .context = role};
    KcMsg hello;
    char host[KC_ADDRESS_MAX];
    char address[KC_ADDRESS_MAX + 8];
    uint16_t port;

    KcMsg_InitHello(&hello, settings->name, role->incarnation);
    KcAddress_Parse(peer->server->address, host, &port);
    snprintf(address, sizeof(address), "%s:%d", host,
             (int)settings->keeper_port);
    peer->tcp = KcTcpConnection_Connect(&options, peer, address, &hello,
                                        settings->connect_timeout_ms * KC_MS);
}

static bool
want(void *context, const KcLoadRequest *request)
{
    GatewayRole *role = context;
    ServerPeer *peer = peer_of(role, request->server);
    PendingWant *pending;
    KcMsg msg = {.type = KC_MSG_WANT,
                 .u.want = {.version_min = request->version,
                            .priority = request->priority}};

    KcText_Copy(msg.u.want.model, request->adapter->model, KC_NAME_MAX);
    KcText_Copy(msg.u.want.adapter, request->adapter->name, KC_NAME_MAX);
    if (peer->link != NULL) {
        KcLink_Send(peer->link, &msg);
        return true;
    }
    if (peer->tcp == NULL) {
        if (KcLoop_Now() < peer->retry_at) {
            return false;
        }
        connect_keeper(role, peer);
    }
    pending = KcMem_New(sizeof(*pending));
    pending->msg = msg;
    TAILQ_INSERT_TAIL(&peer->pending, pending, link);
    return true;
}

static void
tell_use(void *context, KcReplica *holding)
{
    ServerPeer *peer = holding->server->connections;
    KcMsg msg = {.type = KC_MSG_USED,
                 .u.used = {.uses = holding->unreported_uses,
                            .in_flight = holding->in_flight}};

    (void)context;
    if (peer == NULL || peer->link == NULL ||
        holding->adapter->name[0] == '\0') {
        return;
    }
    KcText_Copy(msg.u.used.model, holding->adapter->model, KC_NAME_MAX);
    KcText_Copy(msg.u.used.adapter, holding->adapter->name, KC_NAME_MAX);
    KcLink_Send(peer->link, &msg);
}

void
KcGatewayRole_OnTell(KcTimer *timer, KcTime now)
{
    GatewayRole *role = timer->owner;

    (void)now;
    KcGateway_ReportUses(role->gateway, tell_use, role);
}

/* ---- sendings ------------------------------------------------------------ */

static void *
start_sending(void *context, KcForward *forward,
              const KcAttemptParams *sending)
{
    GatewayRole *role = context;
    const KcSettings *settings = role->parts.settings;
    KcHttpAttemptOptions options = {
        .loop = role->parts.loop,
        .dialect = role->platform->dialect,
        .pool = peer_of(role, sending->server)->pool,
        .connect_timeout = settings->connect_timeout_ms * KC_MS,
        .silence_timeout = settings->silence_ms * KC_MS,
        .head_bytes_max = REPLY_HEADER_MAX,
        .reply_body_bytes_max = REPLY_MAX,
        .request_head = KcGatewayFrontEnd_RequestHead(forward->caller),
        .request_body = KcGatewayFrontEnd_RequestBody(forward->caller)};

    if (!role->tell_timer.is_set) {
        KcTimers_Set(role->parts.loop->timers, &role->tell_timer,
                     KcLoop_Now() + TELL_INTERVAL);
    }
    return KcHttpAttempt_Start(&options, forward, sending);
}

static void
withdraw(void *context, void *sending)
{
    (void)context;
    KcHttpAttempt_Cancel(sending);
}

/* One line for every request, with what decided it. */
static void
record(void *context, const KcForwardRecord *record)
{
    const KcForward *forward = record->forward;
    const KcServer *server = forward->server;
    KcLogFields fields = {.caller_request_id = forward->id,
                          .generation = forward->routing->version,
                          .peer = server != NULL ? server->id : ""};
    KcTime load_age =
        server != NULL && server->load_reported_at != 0
            ? (record->ended_at - server->load_reported_at) / KC_MS
            : -1;

    (void)context;
    if (record->error != NULL) {
        fields.step = record->error->step;
        fields.code = record->error->code;
    }
    KcLog_Write(
        KC_LOG_INFO, &fields,
        "%s route=%s kind=%s status=%d sends=%u runs=%u total_ms=%d "
        "sent_ms=%d first_ms=%d adapter=%s server_load=%u load_age_ms=%d",
        record->outcome, forward->rule->name,
        KcRequestKind_Name(forward->rule->kind), record->status,
        forward->attempt_count, forward->possible_runs,
        (int)((record->ended_at - forward->arrived_at) / KC_MS),
        forward->sent_at != 0
            ? (int)((forward->sent_at - forward->arrived_at) / KC_MS)
            : -1,
        forward->first_event_at != 0
            ? (int)((forward->first_event_at - forward->arrived_at) / KC_MS)
            : -1,
        forward->adapter != NULL ? forward->adapter->key : "",
        server != NULL ? server->in_flight + server->others_in_flight : 0,
        (int)load_age);
}

const KcGatewayOps KcGatewayRole_Ops = {start_sending, withdraw, want, forget,
                                        record};
