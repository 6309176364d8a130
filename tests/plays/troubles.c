/*
 * Troubles, which strike at servers, at the store or at the configuration.
 */
#include "play.h"

static PlayServer *
pick_server(Play *play, unsigned count)
{
    return &play->servers[Play_Random(play, count)];
}

/* A sound server pauses; between two pauses it goes on for half a second. */
void
Trouble_Pause(Play *play, KcTime now)
{
    PlayServer *server = pick_server(play, play->server_count);

    if (now >= server->paused_until + 500 * KC_MS) {
        PlayServer_Pause(
            server, Play_RandomTime(play, 200 * KC_MS, PLAY_SOUND_PAUSE_MAX),
            now);
    }
}

/* A server's slots are taken by others. */
void
Trouble_Fill(Play *play, KcTime now)
{
    PlayServer_Fill(pick_server(play, play->server_count),
                    Play_RandomTime(play, 300 * KC_MS, 2 * KC_SECOND), now);
}

void
Trouble_Unload(Play *play, KcTime now)
{
    (void)now;
    PlayServer_Unload(pick_server(play, play->plan->model_server_count),
                      (unsigned)Play_Random(play, PLAY_ADAPTER_COUNT));
}

void
Trouble_Configure(Play *play, KcTime now)
{
    (void)now;
    KcRouting_Release(play->routing);
    play->routing = Play_CreateRouting(play);
    for (unsigned i = 0; i < play->plan->gateway_count; i++) {
        PlayStore_SendRouting(&play->gateways[i],
                              Play_RandomTime(play, 0, KC_SECOND));
    }
}

/* A record is missing for a while, or taken for deleted. */
void
Trouble_LoseRecord(Play *play, KcTime now)
{
    PlayServer *server = pick_server(play, play->server_count);

    server->has_record = false;
    server->is_deleted = Play_Random(play, 2) == 0;
    server->record_back_at =
        now + Play_RandomTime(play, 200 * KC_MS, 5 * KC_SECOND);
    Play_Trace(play, "the record of %s is missing", server->id);
    PlayStore_SendRecord(server);
}

/* A gateway, or each of them, hears nothing from the store for a while. */
void
Trouble_StopStore(Play *play, KcTime now)
{
    bool is_all = Play_Random(play, 2) == 0;
    unsigned one = (unsigned)Play_Random(play, play->plan->gateway_count);
    KcTime until = now + Play_RandomTime(play, KC_SECOND, 5 * KC_SECOND);

    for (unsigned i = 0; i < play->plan->gateway_count; i++) {
        if (is_all || i == one) {
            Play_Trace(play, "the store is away for g%u", i);
            play->gateways[i].store_away_until = until;
            PlayStore_SendList(&play->gateways[i], 0);
        }
    }
}

void
Trouble_OldNews(Play *play, KcTime now)
{
    (void)now;
    PlayStore_SendOldRecord(pick_server(play, play->server_count));
}
