/*
 * What a server says of itself with its answers: that it leaves, or that it
 * wants no requests for a while.
 *
 * A server that asked to wait is closed until that time.  Then it is tried
 * with one request; others follow once that one is answered, as many that
 * waited would else arrive together.
 */
#include "gateway_internal.h"

/* Least interval between lines about unreadable notices of one server. */
#define UNREAD_LOG_INTERVAL (60 * KC_SECOND)

bool
KcServer_IsLeaving(const KcServer *server)
{
    return server->leaving || server->leaving_by_keeper ||
           server->leaving_by_answer;
}

bool
KcServer_TakesRequests(const KcServer *server, KcTime now)
{
    return !KcServer_IsLeaving(server) && server->closed_until <= now;
}

int
KcForwardAttempt_CheckSend(const KcForwardAttempt *attempt, KcTime now)
{
    const KcServer *server = attempt->server;
    int code;

    if (KcGateway_HasEnded(attempt->forward->gateway, now) ||
        KcServer_IsLeaving(server)) {
        return KC_ERR_LEAVING;
    }
    if (now >= attempt->forward->deadline) {
        return KC_ERR_DEADLINE_EXCEEDED;
    }
    if (attempt->replica != NULL &&
        KcReplica_IsOutdated(attempt->replica, now)) {
        return KC_ERR_VERSION_RETIRED;
    }
    code = KcForward_CheckKey(attempt->forward);
    if (code != 0) {
        return code;
    }
    return server->closed_until > now || (server->closed_until != 0 &&
                                          server->trial != attempt->forward)
               ? KC_ERR_BUSY
               : 0;
}

/* ---- one by one after a wait --------------------------------------------- */

/* The server may take requests that wait. */
static void
on_opening_timer(KcTimer *timer, KcTime now)
{
    KcServer *server = timer->owner;

    KcGateway_DispatchWholeQueue(server->pool, now);
}

void
KcServer_InitNotices(KcServer *server)
{
    KcTimer_Init(&server->opening_timer, on_opening_timer, server);
}

void
KcServer_ClearNotices(KcServer *server)
{
    KcTimers_Clear(server->pool->gateway->options.timers,
                   &server->opening_timer);
}

void
KcServer_ReviewNotices(KcServer *server, int64_t started_at_ms)
{
    if (server->noticed_started_at_ms == 0 ||
        started_at_ms <= server->noticed_started_at_ms) {
        return;
    }
    if (started_at_ms <= server->noticed_at_ms) {
        /* It may be the later instance's, which answered before its record
         * was read. */
        server->noticed_started_at_ms = started_at_ms;
        return;
    }
    server->noticed_started_at_ms = 0;
    server->leaving_by_answer = false;
    server->closed_until = 0;
    server->trial = NULL;
    server->unread_logged_at = 0;
}

void
KcServer_BeginTrial(KcServer *server, const KcForward *forward)
{
    if (server->closed_until != 0) {
        server->trial = forward;
    }
}

/* Dispatches the queue when the wait is over; by a timer also if it is, as
 * this may be within a report of an attempt. */
static void
dispatch_when_open(KcServer *server)
{
    KcTimers_Set(server->pool->gateway->options.timers, &server->opening_timer,
                 server->closed_until);
}

void
KcServer_NoteAnswer(KcServer *server, const KcForward *forward, KcTime now)
{
    KcGateway *gateway = server->pool->gateway;
    KcNoticeRecord record = {
        .kind = KC_NOTICE_OPEN, .server = server, .request_id = forward->id};

    if (server->trial != forward || server->closed_until > now) {
        return;
    }
    server->trial = NULL;
    dispatch_when_open(server);
    server->closed_until = 0;
    gateway->options.ops->record_notice(gateway->options.context, &record);
}

void
KcServer_EndTrial(KcServer *server, const KcForward *forward)
{
    if (server->trial == forward) {
        server->trial = NULL;
        dispatch_when_open(server);
    }
}

/* ---- taking a notice ----------------------------------------------------- */

static void
record_notice(KcGateway *gateway, const KcNoticeRecord *record)
{
    gateway->options.ops->record_notice(gateway->options.context, record);
}

static void
note_unread(KcGateway *gateway, KcServer *server, const KcNoticeRecord *record,
            KcTime now)
{
    KcCounters_Add(gateway->options.counters, KC_COUNT_UNREAD_NOTICES, 1);
    if (server->unread_logged_at != 0 &&
        now - server->unread_logged_at < UNREAD_LOG_INTERVAL) {
        return;
    }
    server->unread_logged_at = now;
    record_notice(gateway, record);
}

static void
note_leaving(KcGateway *gateway, KcServer *server,
             const KcNoticeRecord *record)
{
    server->leaving_by_answer = true;
    KcCounters_Add(gateway->options.counters, KC_COUNT_LEAVING_NOTICES, 1);
    record_notice(gateway, record);
}

/* Notes the instance that gave a notice, and when. */
static void
note_instance(KcServer *server, const KcServerNotice *notice,
              int64_t noticed_at_ms)
{
    int64_t started_at_ms = notice->started_at_ms > server->started_at_ms
                                ? notice->started_at_ms
                                : server->started_at_ms;

    if ((notice->is_leaving || notice->retry_after > 0) &&
        started_at_ms > server->noticed_started_at_ms) {
        server->noticed_started_at_ms = started_at_ms;
    }
    if ((notice->is_leaving || notice->retry_after > 0) &&
        !server->leaving_by_answer) {
        server->noticed_at_ms = noticed_at_ms;
    }
}

/* Closes the server; false when a longer wait is known. */
static bool
note_closed(KcGateway *gateway, KcServer *server, const KcNoticeRecord *record,
            KcTime now)
{
    KcCounters_Add(gateway->options.counters, KC_COUNT_WAIT_NOTICES, 1);
    if (now + record->duration <= server->closed_until) {
        return false;
    }
    server->closed_until = now + record->duration;
    server->trial = NULL;
    dispatch_when_open(server);
    record_notice(gateway, record);
    return true;
}

void
KcGateway_OnServerNotice(KcGateway *gateway, KcServer *server,
                         const KcServerNotice *notice, const char *request_id,
                         KcTime now)
{
    KcNoticeRecord record = {.server = server,
                             .request_id = request_id,
                             .duration = notice->retry_after,
                             .notice = notice};
    bool is_changed = false;

    if (notice->unread_name != NULL) {
        record.kind = KC_NOTICE_UNREAD;
        note_unread(gateway, server, &record, now);
    }
    if (notice->started_at_ms != 0 &&
        notice->started_at_ms < server->started_at_ms) {
        return; /* of an earlier instance */
    }
    note_instance(server, notice,
                  (now + gateway->options.wall_offset) / KC_MS);
    if (notice->is_leaving && !server->leaving_by_answer) {
        record.kind = KC_NOTICE_LEAVING;
        note_leaving(gateway, server, &record);
        is_changed = true;
    }
    if (notice->retry_after > 0) {
        record.kind = KC_NOTICE_CLOSED;
        is_changed = note_closed(gateway, server, &record, now) || is_changed;
    }
    if (is_changed) {
        KcGateway_MoveWaiting(server, now);
    }
}
