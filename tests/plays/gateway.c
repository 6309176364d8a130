/*
 * The program around a gateway: it sends attempts, delivers answers, and asks
 * keepers to load adapters.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "../gateway_stubs.h"
#include "play.h"

#define LATENCY_NEAR (1 * KC_MS)
#define LATENCY_REGION (5 * KC_MS)
/* One attempt in this number needs a new connection. */
#define NEW_CONNECTIONS 3
#define CONNECT_TIME_MAX (100 * KC_MS)

static const KcTime never_stopped;

KcTime
Play_Latency(const PlayGateway *gateway, const PlayServer *server)
{
    return strcmp(gateway->datacentre, server->datacentre) == 0
               ? LATENCY_NEAR
               : LATENCY_REGION;
}

static PlayServer *
find_server(Play *play, const KcServer *server)
{
    return &play->servers[atoi(server->id + 1)];
}

/* ---- calls made by the gateway ------------------------------------------ */

static void
write_request(PlayAttempt *attempt)
{
    PlayGateway *gateway = attempt->caller->gateway;
    PlayMessage message = {.deliver = PlayServer_OnRequest,
                           .attempt = attempt};

    KcForwardAttempt_OnSent(attempt->forwarded);
    attempt->state = PLAY_ATTEMPT_ON_ITS_WAY;
    attempt->sent_at = gateway->play->now;
    Play_Trace(gateway->play, "g%u sends %u to %s from event %d",
               gateway->number, attempt->caller->number, attempt->server->id,
               (int)attempt->next_event_id);
    Oracle_OnSend(attempt);
    PlayPipe_Send(&attempt->requests, &message,
                  Play_Latency(gateway, attempt->server));
}

static void
on_connected(KcTimer *timer, KcTime now)
{
    PlayAttempt *attempt = timer->owner;
    int code = PlayServer_IsGone(attempt->server, now)
                   ? KC_ERR_PEER_LOST
                   : KcForwardAttempt_CheckSend(attempt->forwarded, now);

    if (code == 0) {
        write_request(attempt);
        return;
    }
    attempt->is_ended = true;
    attempt->ended_at = now;
    attempt->state = PLAY_ATTEMPT_OVER;
    KcForwardAttempt_OnFailed(attempt->forwarded, KC_ATTEMPT_NEVER_SENT, code,
                              now);
}

static void *
start_attempt(void *context, KcForwardAttempt *forwarded,
              const KcAttemptParams *params)
{
    PlayGateway *gateway = context;
    Play *play = gateway->play;
    PlayCaller *caller = forwarded->forward->caller;
    PlayAttempt *attempt = KcMem_New(sizeof(*attempt));

    attempt->caller = caller;
    attempt->server = find_server(play, params->server);
    attempt->forwarded = forwarded;
    attempt->next_event_id =
        params->has_last_event ? params->last_event_id + 1 : 1;
    PlayPipe_Init(&attempt->requests, play, &attempt->server->paused_until);
    PlayPipe_Init(&attempt->answers, play, &attempt->unread_until);
    KcTimer_Init(&attempt->connect_timer, on_connected, attempt);
    TAILQ_INSERT_TAIL(&caller->attempts, attempt, link);
    Oracle_OnStart(attempt);
    if (Play_Random(play, NEW_CONNECTIONS) == 0) {
        KcTimers_Set(play->timers, &attempt->connect_timer,
                     play->now +
                         Play_RandomTime(play, KC_MS, CONNECT_TIME_MAX));
    }
    else {
        write_request(attempt);
    }
    return attempt;
}

/* How long the gateway has heard nothing of the attempt's server. */
static KcTime
silence_of(const PlayGateway *gateway, const PlayAttempt *attempt)
{
    KcTime since = attempt->server->links[gateway->number].last_byte_at;

    return gateway->play->now -
           (since > attempt->sent_at ? since : attempt->sent_at);
}

static void
cancel_attempt(void *context, void *handle)
{
    PlayGateway *gateway = context;
    PlayAttempt *attempt = handle;
    PlayMessage message = {.deliver = PlayServer_OnCancel, .attempt = attempt};

    attempt->cancelled_at = gateway->play->now;
    attempt->silence = silence_of(gateway, attempt);
    Play_Trace(gateway->play, "g%u cancels %u at %s, silent for %d ms",
               gateway->number, attempt->caller->number, attempt->server->id,
               (int)(attempt->silence / KC_MS));
    PlayPipe_Clear(&attempt->answers);
    if (attempt->state == PLAY_ATTEMPT_CONNECTING) {
        KcTimers_Clear(gateway->play->timers, &attempt->connect_timer);
        attempt->state = PLAY_ATTEMPT_OVER;
        return;
    }
    PlayPipe_Send(&attempt->requests, &message,
                  Play_Latency(gateway, attempt->server));
}

static bool
request_load(void *context, const KcLoadRequest *load_request)
{
    PlayGateway *gateway = context;
    PlayServer *server = find_server(gateway->play, load_request->server);
    unsigned adapter = (unsigned)atoi(load_request->adapter->name + 1);

    Play_Trace(gateway->play, "g%u requests a%u at %s", gateway->number,
               adapter, server->id);
    PlayServer_Load(server, adapter, gateway->play->now);
    return true;
}

/* The answer to a check arrives; it waits for the end of a pause. */
static void
on_check_timer(KcTimer *timer, KcTime now)
{
    PlayLink *link = timer->owner;
    KcServer *server =
        KcGateway_FindServer(link->gateway->gateway, link->server->id);

    if (now < link->server->paused_until) {
        KcTimers_Set(link->gateway->play->timers, timer,
                     link->server->paused_until +
                         Play_Latency(link->gateway, link->server));
        return;
    }
    if (server != NULL && !PlayServer_IsGone(link->server, now)) {
        KcGateway_OnServerAlive(server, now);
    }
}

static void
check_server(void *context, KcServer *server)
{
    PlayGateway *gateway = context;
    Play *play = gateway->play;
    PlayServer *checked = find_server(play, server);
    PlayLink *link = &checked->links[gateway->number];

    if (!link->check_timer.is_set) {
        link->gateway = gateway;
        link->server = checked;
        KcTimer_Init(&link->check_timer, on_check_timer, link);
        KcTimers_Set(play->timers, &link->check_timer,
                     play->now + 2 * Play_Latency(gateway, checked));
    }
}

static void
refresh_servers(void *context)
{
    PlayStore_SendList(context, 100 * KC_MS);
}

static void
close_connections(void *context, KcServer *server)
{
    PlayGateway *gateway = context;
    PlayLink *link =
        &find_server(gateway->play, server)->links[gateway->number];

    /* The server is removed: if it comes back, it is a new one. */
    if (gateway->play->now >= link->closed_until) {
        link->closed_until = 0;
    }
}

static void
record_request(void *context, const KcForwardRecord *record)
{
    PlayGateway *gateway = context;
    PlayCaller *caller = record->forward->caller;

    caller->error_step = record->error != NULL ? record->error->step : "";
    Play_Trace(gateway->play, "g%u ends %u: %s%s%s", gateway->number,
               caller->number, record->outcome,
               record->error != NULL ? ", " : "", caller->error_step);
}

static void
record_notice(void *context, const KcNoticeRecord *record)
{
    static const char *const kind_names[] = {"leaves", "is closed", "is open",
                                             "is not understood"};
    PlayGateway *gateway = context;

    Play_Trace(gateway->play, "g%u learns from %s that %s %s", gateway->number,
               record->request_id, record->server->id,
               kind_names[record->kind]);
}

static void
record_suspect(void *context, const KcServerPool *pool, KcSuspectStep step,
               const KcSuspect *suspect, bool is_own)
{
    PlayGateway *gateway = context;
    char companions[KC_PARTS_TEXT_SIZE];

    KcParts_Format(suspect->companions, suspect->companion_count, companions);
    Play_Trace(
        gateway->play, "g%u: part %" PRIx64 " of %s is %s%s, %u ends%s%s",
        gateway->number, suspect->part, pool->service,
        KcSuspectStep_Name(step), is_own ? "" : " elsewhere",
        suspect->end_count,
        suspect->companion_count > 0 ? ", companions " : "", companions);
}

static const KcGatewayOps gateway_ops = {
    .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .request_load = request_load,
    .check_server = check_server,
    .refresh_servers = refresh_servers,
    .close_connections = close_connections,
    .record_request = record_request,
    .record_loss = GatewayStubs_RecordLoss,
    .ask_end = PlayGateway_AskEnd,
    .publish_suspect = PlayGateway_PublishSuspect,
    .record_suspect = record_suspect,
    .record_notice = record_notice,
};

/* ---- answers ------------------------------------------------------------- */

void
PlayGateway_OnAnswer(PlayMessage *message, KcTime now)
{
    PlayAttempt *attempt = message->attempt;
    PlayGateway *gateway = attempt->caller->gateway;
    KcForwardAttempt *forwarded = attempt->forwarded;
    char text[24];
    KcReply reply = {.status = (int)message->number, .head = attempt};

    if (attempt->cancelled_at != 0) {
        return; /* its connection was closed */
    }
    snprintf(text, sizeof(text), "%d", (int)message->number);
    reply.body = (KcBytes){text, strlen(text)};
    attempt->server->links[gateway->number].last_byte_at = now;
    if (message->is_head) {
        Oracle_OnHead(attempt, &message->notice);
        KcGateway_OnServerNotice(gateway->gateway, forwarded->server,
                                 &message->notice, attempt->caller->id, now);
        Oracle_CheckWaiting(gateway);
        KcGateway_OnLoadReport(forwarded->server, message->running,
                               message->waiting, attempt->server->slots, now);
    }
    attempt->is_ended = message->is_last;
    attempt->ended_at = now;
    if (message->is_last && message->number == 0) {
        KcForwardAttempt_OnStreamEnd(forwarded, now);
    }
    else if (message->is_last) {
        reply.not_run = reply.status != 200;
        reply.is_misdirected = reply.status == 421;
        KcForwardAttempt_OnReply(forwarded, &reply, now);
    }
    else if (message->is_head) {
        reply.status = 200;
        KcForwardAttempt_OnStreamBegin(forwarded, &reply, now);
        Oracle_OnBegin(attempt);
    }
    else {
        attempt->has_answered = true;
        KcForwardAttempt_OnStreamEvent(forwarded, true, message->number,
                                       reply.body, now);
    }
}

/* ---- set-up and end ------------------------------------------------------ */

static const char *
region_of(void *context, const char *datacentre)
{
    (void)context;
    (void)datacentre;
    return "north";
}

void
PlayGateway_Init(Play *play, unsigned number)
{
    PlayGateway *gateway = &play->gateways[number];
    KcGatewayOptions options;

    gateway->play = play;
    gateway->number = number;
    gateway->datacentre = number % 2 == 0 ? "here" : "near";
    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = gateway;
    options.timers = play->timers;
    options.counters = &gateway->counters;
    options.datacentre = gateway->datacentre;
    options.region_of = region_of;
    options.seed = Play_Random(play, UINT32_MAX);
    gateway->gateway = KcGateway_Create(&options);
    KcGateway_SetGatewayCount(gateway->gateway, play->plan->gateway_count,
                              play->now);
    PlayPipe_Init(&gateway->news, play, &gateway->store_away_until);
    PlayPipe_Init(&gateway->reports, play, &never_stopped);
    PlayStore_SendRouting(gateway, 0);
    PlayStore_SendList(gateway, 0);
}

void
PlayGateway_Free(PlayGateway *gateway)
{
    KcGateway_Abort(gateway->gateway, gateway->play->now);
    KcGateway_Free(gateway->gateway);
    PlayPipe_Clear(&gateway->news);
    PlayPipe_Clear(&gateway->reports);
}
