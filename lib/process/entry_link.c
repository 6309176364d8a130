/*
 * The entry's connections to agents: connecting, silence checks, losses, and
 * dispatch of messages.
 */
#include <assert.h>
#include <string.h>

#include "entry_internal.h"

/* Failures in a row after which the time of avoidance doubles no more. */
#define SUSPECT_DOUBLINGS_MAX 6
/* A backend server whose agent is leaving is avoided this long. */
#define LEAVING_AVOID_TIMEOUT (30 * KC_SECOND)

void
KcEntryLink_Connect(KcEntry *entry, KcBackend *backend)
{
    if (backend->connection != NULL || backend->connecting) {
        return;
    }
    backend->connecting = true;
    entry->options.ops->connect(entry->options.ops_context, backend);
}

void
KcEntryLink_MarkSuspect(KcEntry *entry, KcBackend *backend, KcTime now)
{
    uint32_t doublings = backend->connect_failures;

    if (doublings > SUSPECT_DOUBLINGS_MAX) {
        doublings = SUSPECT_DOUBLINGS_MAX;
    }
    backend->connect_failures++;
    backend->suspect_until =
        now + (entry->options.suspect_duration_min << doublings);
}

static KcEntry *
entry_of(const KcBackend *backend)
{
    return TAILQ_FIRST(&backend->attempt_list)->request->entry;
}

/*
 * Sends PING to an agent that is silent while attempts wait for it, and closes
 * the connection when it stays silent.
 */
static void
on_silence_check(KcTimer *timer, KcTime now)
{
    KcBackend *backend = timer->owner;
    KcLink *link = backend->connection;
    KcMsg msg = {.type = KC_MSG_PING};
    KcEntry *entry;
    KcTime silence;

    if (TAILQ_EMPTY(&backend->attempt_list)) {
        return; /* the next attempt sets the timer again */
    }
    entry = entry_of(backend);
    KcTimers_Set(entry->options.member.timers, timer,
                 now + entry->options.ping_interval);
    if (link == NULL) {
        return;
    }
    silence = now - link->last_received_at;
    if (silence >= entry->options.silence_timeout) {
        link->ops->close(link->transport);
        KcEntry_OnLinkLost(entry, backend, KC_ERR_PEER_LOST, now);
    }
    else if (silence >= entry->options.ping_interval) {
        KcLink_Send(link, &msg);
    }
}

void
KcEntryLink_StartSilenceCheck(KcEntry *entry, KcBackend *backend, KcTime now)
{
    if (backend->check_timer.on_due == NULL) {
        KcTimer_Init(&backend->check_timer, on_silence_check, backend);
    }
    if (backend->check_timer.is_set) {
        return;
    }
    /* Silence counts from now on: before, no reply was expected. */
    if (backend->connection != NULL) {
        backend->connection->last_received_at = now;
    }
    KcTimers_Set(entry->options.member.timers, &backend->check_timer,
                 now + entry->options.ping_interval);
}

static void
record_link_event(KcEntry *entry, KcEventType type, const KcBackend *backend,
                  int code, KcTime now)
{
    KcEventInfo info = {.peer = backend->name,
                        .generation = KcSync_Generation(entry->sync),
                        .detail = code};

    KcEvents_Add(entry->options.member.events, type, now, &info);
}

static void
stamp_message(void *context, KcMsg *msg)
{
    KcEntry *entry = context;
    KcTime now = KcMember_Now(&entry->options.member);

    msg->generation = KcSync_Generation(entry->sync);
    msg->clock = KcEvents_AdvanceClock(entry->options.member.events, now);
}

void
KcEntry_OnConnected(KcEntry *entry, KcBackend *backend, KcLink *link,
                    KcTime now)
{
    KcAttempt *attempt;
    KcAttempt *next;

    assert(backend->connection == NULL && link->hello_received);
    backend->connecting = false;
    backend->connection = link;
    backend->connect_failures = 0;
    backend->suspect_until = 0;
    backend->incarnation = link->peer_incarnation;
    link->owner = backend;
    link->stamp = stamp_message;
    link->stamp_context = entry;
    record_link_event(entry, KC_EVENT_LINK_UP, backend, 0, now);
    TAILQ_FOREACH_SAFE (attempt, &backend->attempt_list, link, next) {
        KcEntryAttempt_OnConnected(attempt, now);
    }
}

void
KcEntry_OnConnectFailed(KcEntry *entry, KcBackend *backend, KcTime now)
{
    KcAttempt *attempt;
    KcAttempt *next;

    backend->connecting = false;
    KcEntryLink_MarkSuspect(entry, backend, now);
    TAILQ_FOREACH_SAFE (attempt, &backend->attempt_list, link, next) {
        KcEntryAttempt_OnConnectFailed(attempt, now);
    }
}

/* Detaches the streams of a lost link from their attempts and closes them. */
static void
detach_streams(KcLink *link, KcTime now)
{
    KcStream *stream;

    while ((stream = TAILQ_FIRST(&link->stream_list)) != NULL) {
        KcAttempt *attempt = stream->owner;

        if (attempt != NULL) {
            attempt->stream = NULL;
        }
        stream->owner = NULL;
        KcLink_CloseStream(stream, now);
    }
}

void
KcEntry_OnLinkLost(KcEntry *entry, KcBackend *backend, int code, KcTime now)
{
    KcLink *link = backend->connection;
    KcAttempt *attempt;
    KcAttempt *next;

    assert(link != NULL);
    backend->connection = NULL;
    detach_streams(link, now);
    KcLink_Free(link);
    record_link_event(entry, KC_EVENT_LINK_LOST, backend, code, now);
    KcEntryLink_MarkSuspect(entry, backend, now);
    TAILQ_FOREACH_SAFE (attempt, &backend->attempt_list, link, next) {
        KcEntryAttempt_OnLinkLost(attempt, now);
    }
}

/* Sends LEAVING back, which tells the agent that no proposal is on its way. */
static void
on_leaving(KcBackend *backend, KcTime now)
{
    KcMsg msg = {.type = KC_MSG_LEAVING};

    backend->suspect_until = now + LEAVING_AVOID_TIMEOUT;
    KcLink_Send(backend->connection, &msg);
}

void
KcEntry_OnMessage(KcEntry *entry, KcBackend *backend, const KcMsg *msg,
                  KcTime now)
{
    KcLink *link = backend->connection;
    KcStream *stream;
    KcError error;

    assert(link != NULL);
    KcEvents_ObserveClock(entry->options.member.events, msg->clock, now);
    if (KcLink_Receive(link, msg, &stream, now, &error) != 0) {
        KcCounters_Add(entry->options.member.counters,
                       KC_COUNT_PROTOCOL_ERRORS, 1);
        link->ops->close(link->transport);
        KcEntry_OnLinkLost(entry, backend, error.code, now);
        return;
    }
    if (KcSync_OnMessage(entry->sync, link, msg, now)) {
        return;
    }
    if (msg->type == KC_MSG_LEAVING) {
        on_leaving(backend, now);
    }
    else if (stream != NULL && stream->owner != NULL) {
        KcEntryAttempt_OnMessage(stream->owner, msg, now);
    }
}
