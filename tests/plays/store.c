/*
 * What gateways hear from the store and from keepers.  The store's news may be
 * late, held up for as long as the store is away, or old.
 */
#include <string.h>

#include "play.h"

#define NEWS_DELAY_MAX (200 * KC_MS)

/* ---- records ------------------------------------------------------------- */

static void
give_record(KcGateway *gateway, const PlayServer *server, uint64_t revision,
            uint32_t held, KcTime now)
{
    char name[8];
    KcServerInfo info;

    KcServerInfo_Init(&info);
    KcText_Copy(info.id, server->id, KC_NAME_MAX);
    KcText_Copy(info.service, server->service, KC_NAME_MAX);
    KcText_Copy(info.address, server->address, KC_ADDRESS_MAX);
    KcText_Copy(info.datacentre, server->datacentre, KC_NAME_MAX);
    info.concurrency_max = server->slots;
    info.started_at_ms = server->started_at_ms;
    if (server->is_engine) {
        KcServerInfo_AddReplica(&info, "m", "", 1, false);
    }
    for (unsigned i = 0; i < PLAY_ADAPTER_COUNT; i++) {
        if ((held >> i) & 1) {
            snprintf(name, sizeof(name), "a%u", i);
            KcServerInfo_AddReplica(&info, "m", name, 1, false);
        }
    }
    KcGateway_OnServerRecord(gateway, &info, (KcRevision){0, revision}, now);
    KcServerInfo_Clear(&info);
}

static void
on_record(PlayMessage *message, KcTime now)
{
    KcGateway *gateway = message->gateway->gateway;

    if (message->number != 0) {
        give_record(gateway, message->server, message->number, message->held,
                    now);
    }
    else {
        KcGateway_OnServerRecordMissing(gateway, message->server->id,
                                        message->is_deleted, now);
    }
}

static void
send_record(PlayServer *server, PlayGateway *gateway, uint64_t revision,
            KcTime delay)
{
    PlayMessage message = {.deliver = on_record,
                           .gateway = gateway,
                           .server = server,
                           .number = revision,
                           .held = server->held,
                           .is_deleted = server->is_deleted};

    PlayPipe_Send(&gateway->news, &message, delay);
}

void
PlayStore_SendRecord(PlayServer *server)
{
    Play *play = server->play;

    for (unsigned i = 0; i < play->plan->gateway_count; i++) {
        send_record(server, &play->gateways[i],
                    server->has_record ? server->revision : 0,
                    Play_RandomTime(play, 0, NEWS_DELAY_MAX));
    }
}

void
PlayStore_SendOldRecord(PlayServer *server)
{
    Play *play = server->play;

    for (unsigned i = 0; i < play->plan->gateway_count; i++) {
        send_record(server, &play->gateways[i],
                    server->revision - Play_Random(play, 3),
                    Play_RandomTime(play, 0, NEWS_DELAY_MAX));
    }
}

static void
on_list(PlayMessage *message, KcTime now)
{
    Play *play = message->gateway->play;
    KcGateway *gateway = message->gateway->gateway;

    KcGateway_BeginServerList(gateway);
    for (unsigned i = 0; i < play->server_count; i++) {
        const PlayServer *server = &play->servers[i];

        if (server->has_record) {
            give_record(gateway, server, server->revision, server->held, now);
        }
    }
    KcGateway_EndServerList(gateway, now);
}

void
PlayStore_SendList(PlayGateway *gateway, KcTime delay)
{
    PlayMessage message = {.deliver = on_list, .gateway = gateway};

    PlayPipe_Send(&gateway->news, &message, delay);
}

static void
on_routing(PlayMessage *message, KcTime now)
{
    (void)now;
    Play_Trace(message->gateway->play, "g%u takes configuration %d",
               message->gateway->number, (int)message->routing->version);
    KcGateway_SetRouting(message->gateway->gateway,
                         KcRouting_Retain(message->routing));
}

void
PlayStore_SendRouting(PlayGateway *gateway, KcTime delay)
{
    PlayMessage message = {.deliver = on_routing,
                           .gateway = gateway,
                           .routing =
                               KcRouting_Retain(gateway->play->routing)};

    PlayPipe_Send(&gateway->news, &message, delay);
}

/* ---- keepers ------------------------------------------------------------- */

static void
on_report(PlayMessage *message, KcTime now)
{
    KcGateway *gateway = message->gateway->gateway;
    KcServer *server = KcGateway_FindServer(gateway, message->server->id);
    char name[8];

    snprintf(name, sizeof(name), "a%d", (int)message->number);
    if (server != NULL) {
        KcGateway_OnKeeperReport(gateway, server, "m", name, 1, message->state,
                                 now);
    }
}

void
PlayStore_SendReport(PlayServer *server, unsigned adapter, KcHeldState state)
{
    Play *play = server->play;
    PlayMessage message = {.deliver = on_report,
                           .server = server,
                           .number = adapter,
                           .state = state};

    for (unsigned i = 0; i < play->plan->gateway_count; i++) {
        message.gateway = &play->gateways[i];
        PlayPipe_Send(&message.gateway->reports, &message,
                      Play_Latency(message.gateway, server));
    }
}

void
PlayStore_SendAllReports(PlayServer *server)
{
    PlayStore_SendReport(server, 0, KC_HELD_SERVER_RESTARTED);
    for (unsigned i = 0; i < PLAY_ADAPTER_COUNT; i++) {
        if ((server->held >> i) & 1) {
            PlayStore_SendReport(server, i, KC_HELD_LOADED);
        }
    }
}
