/*
 * The gateway's connections to backend servers: HTTP attempts and checks, and
 * what is logged of requests.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../request/http_call.h"
#include "gateway_role_internal.h"

/* Largest body of a server's reply that is not a stream. */
#define REPLY_BODY_BYTES_MAX ((size_t)2 * 1024 * 1024)
/* Largest head of a server's reply, with all else that is not its body. */
#define REPLY_HEAD_BYTES_MAX 65536
/*
 * Replies that one attempt skips, interim or to earlier requests, and the
 * bytes of their bodies.
 */
#define SKIPPED_REPLIES_MAX 4
#define SKIPPED_BYTES_MAX ((size_t)256 * 1024)
/* Comments and events without an id that one attempt passes on. */
#define UNNUMBERED_EVENTS_MAX 1024

/*
 * How long a server may take to answer a check. It may be late, as a pause of
 * a sound server lasts at most about this long.
 */
#define CHECK_TIMEOUT (2 * KC_SECOND)
/* Largest answer to a check. */
#define CHECK_ANSWER_BYTES_MAX ((size_t)64 * 1024)

/* Least interval between reads of the servers that requests cause. */
#define SERVERS_REFRESH_INTERVAL (300 * KC_MS)

/* Takes the notice of a reply that no caller's request waits for. */
static void
on_unexpected_head(void *context, const KcHttpMessage *message)
{
    ServerConnections *connections = context;
    GatewayRole *role = connections->role;
    KcReplyHead head;

    role->platform->dialect->parse_reply_head(message, NULL, &head);
    KcGateway_OnServerNotice(role->gateway, connections->server, &head.notice,
                             "", KcLoop_Now());
}

/* Handles a reply on a connection without a request. */
static void
on_stray_head(void *context, const KcHttpMessage *message)
{
    const ServerConnections *connections = context;

    KcCounters_Add(&connections->role->common.counters, KC_COUNT_STRAY_REPLIES,
                   1);
    on_unexpected_head(context, message);
}

ServerConnections *
KcGatewayRole_GetConnections(GatewayRole *role, KcServer *server)
{
    ServerConnections *connections = server->connections;

    if (connections == NULL) {
        connections = KcMem_New(sizeof(*connections));
        connections->role = role;
        connections->server = server;
        connections->http_pool =
            KcHttpConnectionPool_Create(role->common.loop);
        KcHttpConnectionPool_SetHeadCallback(connections->http_pool,
                                             on_stray_head, connections);
        TAILQ_INIT(&connections->pending_messages);
        server->connections = connections;
    }
    return connections;
}

static void
forget_server(void *context, KcServer *server)
{
    ServerConnections *connections = server->connections;

    (void)context;
    if (connections == NULL) {
        return;
    }
    KcGatewayRole_DisconnectKeeper(connections);
    if (connections->check != NULL) {
        KcHttpCall_Cancel(connections->check);
        connections->check = NULL;
    }
    if (server->in_flight > 0) {
        /* Attempts in progress return their connections to the pool. */
        KcHttpConnectionPool_CloseAll(connections->http_pool);
        return;
    }
    KcHttpConnectionPool_Free(connections->http_pool);
    free(connections);
    server->connections = NULL;
}

/* ---- attempts ------------------------------------------------------------ */

/* A model server tells its start without a place; any other one its id only,
 * like a request. */
static const char *
identity_path(const GatewayRole *role, const KcForwardAttempt *attempt)
{
    const KcForward *forward = attempt->forward;
    const KcRoutedService *service =
        KcRouting_FindService(forward->routing, forward->pool->service);

    if (service == NULL) {
        return "";
    }
    return service->engine.is_configured && attempt->server_started_at_ms != 0
               ? role->platform->status_path
               : service->health_path;
}

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    GatewayRole *role = context;
    const KcSettings *settings = role->common.settings;
    KcHttpAttemptOptions options = {
        .loop = role->common.loop,
        .dialect = role->platform->dialect,
        .pool = KcGatewayRole_GetConnections(role, params->server)->http_pool,
        .connect_timeout = settings->connect_timeout_ms * KC_MS,
        .silence_timeout = settings->connection_silence_timeout_ms * KC_MS,
        .head_bytes_max = REPLY_HEAD_BYTES_MAX,
        .identity_path = identity_path(role, attempt),
        .start_reader_ops = &KcGatewayRole_StartReaderOps,
        .start_reader = role,
        .limits = {.body_bytes_max = REPLY_BODY_BYTES_MAX,
                   .skipped_bytes_max = SKIPPED_BYTES_MAX,
                   .skipped_max = SKIPPED_REPLIES_MAX,
                   .unnumbered_events_max = UNNUMBERED_EVENTS_MAX,
                   .pool = &role->intake_pool},
        .request_head =
            KcGatewayFrontEnd_RequestHead(attempt->forward->caller),
        .request_body =
            KcGatewayFrontEnd_RequestBody(attempt->forward->caller)};

    KcHttpConnectionPool_SetIdleMax(
        options.pool, KcServer_IdleConnectionsMax(params->server));
    KcGatewayRole_ScheduleUseReport(role);
    return KcHttpAttempt_Start(&options, attempt, params);
}

static void
refresh_servers(void *context)
{
    GatewayRole *role = context;

    KcFeed_Hurry(role->feeds[KC_COLLECTION_SERVERS], SERVERS_REFRESH_INTERVAL,
                 KcLoop_Now());
}

static void
on_check_head(void *context, const KcHttpResponseHead *head)
{
    ServerConnections *connections = context;

    KcGateway_OnServerAlive(connections->server, KcLoop_Now());
    on_unexpected_head(connections, head->message);
}

static void
on_check_done(void *context, int code, bool sent)
{
    (void)code;
    (void)sent;
    ((ServerConnections *)context)->check = NULL;
}

static const KcHttpCallOps check_ops = {.on_head = on_check_head,
                                        .on_done = on_check_done};

static void
check_server(void *context, KcServer *server)
{
    GatewayRole *role = context;
    ServerConnections *connections =
        KcGatewayRole_GetConnections(role, server);
    KcHttpCallOptions options = {
        .loop = role->common.loop,
        .address = server->address,
        .method = "GET",
        .path = role->platform->status_path,
        .progress_timeout = CHECK_TIMEOUT,
        .limits = {.body_bytes_max = CHECK_ANSWER_BYTES_MAX},
        .ops = &check_ops,
        .context = connections};

    if (connections->check == NULL) {
        KcCounters_Add(&role->common.counters, KC_COUNT_CHECKS, 1);
        connections->check = KcHttpCall_Start(&options);
    }
}

static void
cancel_attempt(void *context, void *handle)
{
    (void)context;
    KcHttpAttempt_Cancel(handle);
}

/* Logs one line per request, with its outcome and the reasons for it. */
static void
log_request(void *context, const KcForwardRecord *record)
{
    const KcForward *forward = record->forward;
    const KcServer *server = forward->server;
    KcLogFields fields = {.caller_request_id = forward->id,
                          .generation = forward->routing->version,
                          .peer = server != NULL ? server->id : ""};
    KcTime load_age_ms =
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
        "sent_ms=%d first_ms=%d silent_ms=%d server_silent_ms=%d doubled=%d "
        "adapter=%s server_load=%u load_age_ms=%d work_percent=%u wait=%s "
        "place=%u expected_ms=%d%s%s",
        record->outcome, forward->rule->name,
        KcRequestKind_Name(forward->rule->kind), record->status,
        forward->attempt_count, forward->possible_runs,
        (int)((record->ended_at - forward->arrived_at) / KC_MS),
        forward->attempt_started_at != 0
            ? (int)((forward->attempt_started_at - forward->arrived_at) /
                    KC_MS)
            : -1,
        forward->first_event_at != 0
            ? (int)((forward->first_event_at - forward->arrived_at) / KC_MS)
            : -1,
        (int)((record->ended_at - forward->last_event_at) / KC_MS),
        (int)(forward->server_silence / KC_MS), (int)forward->is_doubled,
        forward->adapter != NULL ? forward->adapter->key : "",
        server != NULL ? server->in_flight + server->others_in_flight : 0,
        (int)load_age_ms, server != NULL ? server->speed.told_percent : 0,
        KcWaitVerdict_Name(forward->wait_verdict), forward->queue_place,
        forward->expected_wait != KC_NEVER
            ? (int)(forward->expected_wait / KC_MS)
            : -1,
        forward->customer != NULL ? " customer=" : "",
        forward->customer != NULL ? forward->customer->name : "");
}

/* Logs an attempt that may have ended its server. */
static void
log_loss(void *context, const KcLossRecord *record)
{
    const KcForwardAttempt *attempt = record->attempt;
    const KcForward *forward = attempt->forward;
    KcLogFields fields = {.caller_request_id = forward->id,
                          .peer = attempt->server->id,
                          .step = "send",
                          .code = record->code};
    char parts[KC_PARTS_TEXT_SIZE];

    (void)context;
    KcParts_Format(record->end.parts, record->end.part_count, parts);
    KcLog_Write(KC_LOG_INFO, &fields,
                "attempt lost before an answer, attempt=%u "
                "started_at_ms=%" PRId64
                " after_ms=%d leaving=%d unanswered_parts=%s",
                forward->attempt_count, record->end.started_at_ms,
                (int)(record->end.age / KC_MS),
                (int)KcServer_IsLeaving(attempt->server), parts);
}

/* Longest part of a value from a server that is logged. */
#define LOGGED_VALUE_MAX 40

/* Logs what a server said of itself, and until when it holds. */
static void
log_notice(void *context, const KcNoticeRecord *record)
{
    const KcLoop *loop = ((GatewayRole *)context)->common.loop;
    const KcServer *server = record->server;
    KcLogFields fields = {.caller_request_id = record->request_id,
                          .peer = server->id,
                          .step = "notice"};

    switch (record->kind) {
    case KC_NOTICE_LEAVING:
        KcLog_Write(KC_LOG_INFO, &fields,
                    "server says that it leaves, started_at_ms=%" PRId64
                    " until=replaced",
                    server->started_at_ms);
        break;
    case KC_NOTICE_CLOSED:
        KcLog_Write(KC_LOG_INFO, &fields,
                    "server asks to wait, started_at_ms=%" PRId64
                    " wait_ms=%" PRId64 " until_ms=%" PRId64,
                    server->started_at_ms, record->duration / KC_MS,
                    (server->closed_until + loop->wall_offset) / KC_MS);
        break;
    case KC_NOTICE_OPEN:
        KcLog_Write(KC_LOG_INFO, &fields,
                    "server takes requests again, started_at_ms=%" PRId64,
                    server->started_at_ms);
        break;
    case KC_NOTICE_UNREAD:
        KcLog_Write(KC_LOG_WARN, &fields,
                    "header of an answer ignored, header=%s value='%.*s'",
                    record->notice->unread_name, LOGGED_VALUE_MAX,
                    record->notice->unread_value);
        break;
    }
}

const KcGatewayOps KcGatewayRole_Ops = {
    .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .request_load = KcGatewayRole_RequestLoad,
    .check_server = check_server,
    .refresh_servers = refresh_servers,
    .close_connections = forget_server,
    .record_request = log_request,
    .record_loss = log_loss,
    .ask_end = KcGatewayRole_AskEnd,
    .publish_suspect = KcGatewayRole_PublishSuspect,
    .record_suspect = KcGatewayRole_LogSuspect,
    .record_notice = log_notice,
    .configuration_age = KcGatewayRole_GetConfigurationAge};
