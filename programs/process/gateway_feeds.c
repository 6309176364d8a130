/*
 * The gateway's feeds of the store's collections, and its own record in the
 * store.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_role_internal.h"

/*
 * The delay between two watches of the servers, and the time after which a
 * watch may not lag, in percent of leave_ms: a leaving server must get no new
 * request after leave_ms. Both save calls, as each one is charged.
 */
#define SERVERS_WATCH_DELAY_PERCENT 30
#define SERVERS_LAG_PERCENT 75
/* Longest wait of a watch of the servers that may not lag, in percent of
 * leave_ms: its answer saves checks of the other watches. */
#define SERVERS_CURRENT_WATCH_PERCENT 5
/* Limits of both. */
#define SERVERS_WATCH_DELAY_MAX (2 * KC_SECOND)
#define SERVERS_LAG_MAX (10 * KC_SECOND)
/* Delay between two watches of the announced versions. */
#define VERSIONS_WATCH_DELAY (500 * KC_MS)
/*
 * When a watch is checked, in percent of the time after which a change must be
 * in force: a call to the store follows.
 */
#define CHECK_TIMEOUT_PERCENT 90
/* The same of the versions if the copy is known to lag: until the older ones
 * are replaced more has to follow than for other changes. */
#define VERSIONS_BEHIND_PERCENT 60
/*
 * In percent of the time after which a key that was taken away must not work:
 * when the configuration is to be certain again, and the longest delay of
 * calls for it while the store fails. What is left bridges a short loss of the
 * store.
 */
#define CERTAIN_PERCENT 35
#define CERTAIN_RETRY_PERCENT 6
/* Interval of checks that may lag, in percent of that time. */
#define CHECK_INTERVAL_PERCENT 50
/*
 * Longest wait of watches of collections that rarely change. They are checked,
 * so that they need not notice an unavailable store.
 */
#define RARE_CHANGE_WATCH_TIMEOUT (30 * KC_SECOND)
/* Gateways' records are only listed, never watched, at this interval. */
#define GATEWAYS_LIST_INTERVAL (20 * KC_SECOND)
/* Lists of the gateways' records may lag, unless the store failed. */
#define GATEWAYS_LAG_TIMEOUT (3600 * KC_SECOND)
/*
 * A record that is missing this soon after the store was unavailable may
 * reappear: the store restores records within about two seconds.
 */
#define STORE_RECOVERY_PERIOD (3 * KC_SECOND)

/* ---- feeds --------------------------------------------------------------- */

/*
 * The store became unavailable or available. A collection whose watch is
 * outstanding is listed again, as that watch may stay unanswered.
 */
static void
on_store_status(void *context, int code, KcTime now)
{
    GatewayRole *role = context;

    KcLog_StoreStatus(code);
    role->store_status_changed_at = now;
    for (int i = 0; i < KC_COLLECTION_COUNT; i++) {
        if (role->feeds[i] != NULL) {
            KcFeed_Relist(role->feeds[i], now);
        }
    }
}

/* The feeds list again by themselves.  Without this gateway's record the
 * others would share budgets and connections without it. */
static void
on_store_restored(void *context, uint64_t era, uint64_t previous_era,
                  KcTime now)
{
    GatewayRole *role = context;

    KcLog_StoreRestored(era, previous_era);
    KcCounters_Add(&role->common.counters, KC_COUNT_STORE_RESTORED, 1);
    role->store_status_changed_at = now;
    KcOwnRecord_Renew(&role->own_record);
}

static void
on_watch_dead(void *context, const char *collection)
{
    KcLogFields fields = {.peer = collection, .step = "store"};

    (void)context;
    KcLog_Write(KC_LOG_WARN, &fields,
                "a check found changes that the watch did not report");
}

uint64_t
KcGatewayRole_GetGeneration(const GatewayRole *role)
{
    const KcRouting *routing = KcGateway_GetRouting(role->gateway);

    return routing != NULL ? routing->version : 0;
}

void
KcGatewayRole_OnGenerationNamed(GatewayRole *role, uint64_t generation,
                                KcTime now)
{
    if (generation > role->named_generation &&
        generation > KcGatewayRole_GetGeneration(role)) {
        role->named_generation = generation;
        KcFeed_OnNews(role->feeds[KC_COLLECTION_ROUTING], now);
    }
}

static void
on_routing(void *context, const KcFeedItem *item, KcTime now)
{
    GatewayRole *role = context;
    KcLogFields fields = {.step = "routing"};
    KcRouting *routing;
    KcError error = {0};

    (void)now;
    if (item->deleted ||
        strcmp(item->name, role->platform->routing_name) != 0) {
        return; /* the previous configuration stays in force */
    }
    routing = role->platform->read_routing(item->body, &error);
    if (routing == NULL) {
        KcLog_RecordInvalid(item->name, &error);
        return;
    }
    fields.generation = routing->version;
    KcLog_Write(KC_LOG_INFO, &fields, "configuration read, %u routes",
                routing->rule_count);
    if (routing->unread_customers > 0 || routing->unread_keys > 0) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "%u customers and %u keys can't be read, or name more "
                    "than one customer: their requests are refused",
                    routing->unread_customers, routing->unread_keys);
    }
    KcCounters_Add(&role->common.counters, KC_COUNT_ADOPTIONS, 1);
    KcGateway_SetRouting(role->gateway, routing);
    KcGatewayRole_PublishGeneration(role);
    KcGatewayRole_JoinHub(role);
    KcGatewayRole_ReviewOpening(role);
}

static void
on_server(void *context, const KcFeedItem *item, KcTime now)
{
    GatewayRole *role = context;
    KcLogFields fields = {.peer = item->name, .step = "servers"};
    KcServerInfo info;
    KcServer *known_server = KcGateway_FindServer(role->gateway, item->name);
    bool was_leaving = known_server != NULL && known_server->leaving;
    KcError error = {0};

    if (item->deleted) {
        bool is_definite =
            now - role->store_status_changed_at > STORE_RECOVERY_PERIOD;

        KcLog_Write(KC_LOG_INFO, &fields, "record of the server is missing%s",
                    is_definite ? ""
                                : ", possibly after an outage of the store");
        KcGateway_OnServerRecordMissing(role->gateway, item->name, is_definite,
                                        now);
        return;
    }
    KcServerInfo_Init(&info);
    if (role->platform->read_server(item, &info, &error) != 0) {
        KcLog_RecordInvalid(item->name, &error);
        KcGateway_OnServerRecordMissing(role->gateway, item->name, false, now);
    }
    else {
        if (known_server == NULL || info.leaving != was_leaving ||
            info.started_at_ms != known_server->started_at_ms) {
            KcLog_Write(KC_LOG_INFO, &fields, "server is %s, service %s at %s",
                        info.leaving ? "leaving" : "ready", info.service,
                        info.address);
        }
        KcGateway_OnServerRecord(role->gateway, &info, item->revision, now);
    }
    KcServerInfo_Clear(&info);
}

static void
on_servers_list_begin(void *context)
{
    KcGateway_BeginServerList(((GatewayRole *)context)->gateway);
}

static void
on_servers_list_end(void *context, KcTime now)
{
    KcGateway_EndServerList(((GatewayRole *)context)->gateway, now);
    KcGatewayRole_ConnectHubs(context);
    KcGatewayRole_ReviewOpening(context);
}

static void
on_version(void *context, const KcFeedItem *item, KcTime now)
{
    GatewayRole *role = context;
    KcLogFields fields = {.step = "versions", .peer = item->name};
    KcReplicaInfo announced;
    KcError error = {0};

    if (item->deleted) {
        return;
    }
    if (role->platform->read_version(item->body, &announced, &error) != 0) {
        KcLog_RecordInvalid(item->name, &error);
        return;
    }
    KcLog_Write(KC_LOG_INFO, &fields, "version %u is announced",
                announced.version);
    KcGateway_OnVersionAnnounced(role->gateway, announced.model,
                                 announced.adapter, announced.version,
                                 item->changed_after, now);
}

static void
on_gateways_list_begin(void *context)
{
    ((GatewayRole *)context)->listed_gateway_count = 0;
}

static void
on_gateway(void *context, const KcFeedItem *item, KcTime now)
{
    GatewayRole *role = context;

    (void)now;
    role->listed_gateway_count += item->deleted || item->body == NULL ? 0 : 1;
}

static void
on_gateways_list_end(void *context, KcTime now)
{
    GatewayRole *role = context;

    KcGateway_SetGatewayCount(role->gateway, role->listed_gateway_count, now);
}

/* Marks a time below that time_or_part() computes. */
#define FROM_SETTINGS (-1)

/* Feed options of each collection. */
static const struct {
    KcTime watch_timeout;         /* 0: the watch_ms setting */
    KcTime current_watch_timeout; /* 0: the same */
    KcTime watch_delay;
    KcTime lag_timeout;     /* 0: no call may lag */
    KcTime relist_interval; /* 0: none */
    int64_t behind_percent; /* of the promised time, see
                             * KcFeedOptions.behind_timeout */
    void (*on_list_begin)(void *context);
    void (*on_item)(void *context, const KcFeedItem *item, KcTime now);
    void (*on_list_end)(void *context, KcTime now);
} collection_feeds[KC_COLLECTION_COUNT] = {
    [KC_COLLECTION_ROUTING] = {RARE_CHANGE_WATCH_TIMEOUT, 0, 0, 0, 0, 0, NULL,
                               on_routing, NULL},
    [KC_COLLECTION_SERVERS] = {0, FROM_SETTINGS, FROM_SETTINGS, FROM_SETTINGS,
                               0, 0, on_servers_list_begin, on_server,
                               on_servers_list_end},
    [KC_COLLECTION_VERSIONS] = {RARE_CHANGE_WATCH_TIMEOUT, 0,
                                VERSIONS_WATCH_DELAY, 0, 0,
                                VERSIONS_BEHIND_PERCENT, NULL, on_version,
                                NULL},
    [KC_COLLECTION_GATEWAYS] = {RARE_CHANGE_WATCH_TIMEOUT, 0,
                                GATEWAYS_LIST_INTERVAL, GATEWAYS_LAG_TIMEOUT,
                                GATEWAYS_LIST_INTERVAL, 0,
                                on_gateways_list_begin, on_gateway,
                                on_gateways_list_end},
};

/* The time after which a change of a collection must be in force; 0: any. */
static KcTime
promised_time(const KcSettings *settings, int collection)
{
    switch (collection) {
    case KC_COLLECTION_ROUTING:
        return (KcTime)(settings->config_timeout_ms * KC_MS);
    case KC_COLLECTION_SERVERS:
        return (KcTime)(settings->server_leave_timeout_ms * KC_MS);
    case KC_COLLECTION_VERSIONS:
        return (KcTime)(settings->version_timeout_ms * KC_MS);
    default:
        return 0;
    }
}

/* A time of the table above, or if that is FROM_SETTINGS a part of the time in
 * which a leaving server must be known. */
static KcTime
time_or_part(const KcSettings *settings, KcTime time, int64_t percent,
             KcTime maximum)
{
    KcTime part =
        promised_time(settings, KC_COLLECTION_SERVERS) * percent / 100;

    if (time != FROM_SETTINGS) {
        return time;
    }
    return part < maximum ? part : maximum;
}

/* The feed of the configuration decides for how long keys may be accepted. */
static void
set_certainty(KcFeedOptions *options, KcTime revoke_timeout)
{
    KcTime retry_delay_max = revoke_timeout * CERTAIN_RETRY_PERCENT / 100;

    if (revoke_timeout == 0) {
        return;
    }
    options->certain_timeout = revoke_timeout * CERTAIN_PERCENT / 100;
    if (options->retry_delay_max > retry_delay_max) {
        options->retry_delay_max = retry_delay_max;
    }
    if (options->retry_delay > retry_delay_max) {
        options->retry_delay = retry_delay_max;
    }
}

KcTime
KcGatewayRole_GetConfigurationAge(void *context)
{
    GatewayRole *role = context;
    KcTime age =
        KcFeed_CertainAge(role->feeds[KC_COLLECTION_ROUTING], KcLoop_Now());
    bool is_certain = age < role->revoke_timeout;
    KcLogFields fields = {.step = "certainty",
                          .generation = KcGatewayRole_GetGeneration(role)};

    if (role->revoke_timeout > 0 && is_certain != role->is_certain) {
        role->is_certain = is_certain;
        if (is_certain) {
            KcLog_Write(KC_LOG_INFO, &fields,
                        "configuration is certain again, keys are accepted");
        }
        else {
            KcCounters_Add(&role->common.counters, KC_COUNT_UNCERTAIN, 1);
            KcLog_Write(KC_LOG_WARN, &fields,
                        "configuration may be out of date, certain %" PRId64
                        " ms ago: requests with keys are refused",
                        age != KC_NEVER ? age / KC_MS : -1);
        }
    }
    return age;
}

void
KcGatewayRole_StartFeeds(GatewayRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcFeedGroupOptions group_options = {.on_restored = on_store_restored,
                                        .context = role,
                                        .restored_relist_delay =
                                            STORE_RECOVERY_PERIOD};

    KcFeedGroup_Init(&role->feed_group, &group_options);
    for (int i = 0; i < KC_COLLECTION_COUNT; i++) {
        KcFeedOptions options = {
            .ops = role->platform->feed_ops,
            .store = role->store,
            .timers = role->common.loop->timers,
            .collection = role->platform->collection_names[i],
            .retry_delay = KC_STORE_RETRY_DELAY,
            .retry_delay_max = KC_STORE_RETRY_DELAY_MAX,
            .watch_timeout = collection_feeds[i].watch_timeout != 0
                                 ? collection_feeds[i].watch_timeout
                                 : settings->watch_timeout_ms * KC_MS,
            .current_watch_timeout = time_or_part(
                settings, collection_feeds[i].current_watch_timeout,
                SERVERS_CURRENT_WATCH_PERCENT, SERVERS_LAG_MAX),
            .watch_delay = time_or_part(
                settings, collection_feeds[i].watch_delay,
                SERVERS_WATCH_DELAY_PERCENT, SERVERS_WATCH_DELAY_MAX),
            .lag_timeout =
                time_or_part(settings, collection_feeds[i].lag_timeout,
                             SERVERS_LAG_PERCENT, SERVERS_LAG_MAX),
            .relist_interval = collection_feeds[i].relist_interval,
            .group = &role->feed_group,
            .check_timeout =
                promised_time(settings, i) * CHECK_TIMEOUT_PERCENT / 100,
            .behind_timeout = promised_time(settings, i) *
                              collection_feeds[i].behind_percent / 100,
            .check_interval =
                promised_time(settings, i) * CHECK_INTERVAL_PERCENT / 100,
            .on_list_begin = collection_feeds[i].on_list_begin,
            .on_item = collection_feeds[i].on_item,
            .on_list_end = collection_feeds[i].on_list_end,
            .on_store_status = on_store_status,
            .on_watch_dead = on_watch_dead,
            .context = role};

        if (i == KC_COLLECTION_ROUTING) {
            set_certainty(&options, role->revoke_timeout);
        }
        role->feeds[i] = KcFeed_Create(&options);
        KcFeed_Start(role->feeds[i], KcLoop_Now());
    }
}

void
KcGatewayRole_FreeFeeds(GatewayRole *role)
{
    for (int i = 0; i < KC_COLLECTION_COUNT; i++) {
        KcFeed_Free(role->feeds[i]);
    }
}

/* ---- this gateway's own record ------------------------------------------- */

void
KcGatewayRole_WriteOwnRecord(GatewayRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcOwnRecordOptions options = {
        .object_ops = role->platform->object_ops,
        .object_context = role->store,
        .timers = role->common.loop->timers,
        .collection = role->platform->collection_names[KC_COLLECTION_GATEWAYS],
        .name = settings->name};
    char value[KC_NAME_MAX * 2];

    snprintf(value, sizeof(value), "{\"datacentre\":\"%s\"}",
             settings->datacentre);
    KcOwnRecord_Write(&role->own_record, &options, value);
}
