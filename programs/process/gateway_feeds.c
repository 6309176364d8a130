/*
 * What the gateway hears from the store, and the record that it keeps there of
 * itself.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_role_internal.h"

/* Changes of servers are taken together for this part of the time within
 * which a leaving server must get no more requests, and for so long at the
 * most: each call of the store is priced, and keepers tell first of servers
 * that leave. */
#define GATHER_PART 2
#define GATHER_MAX (2 * KC_SECOND)
/* The same of announced versions. */
#define GATHER_VERSIONS (500 * KC_MS)
/* Watches of what seldom changes wait so long; the watch of servers, which
 * is answered all the time, is the one that notices a lost store. */
#define WAIT_SELDOM (10 * KC_SECOND)
/* The records of gateways are only listed, this often. */
#define GATHER_GATEWAYS (20 * KC_SECOND)
/* Records that go so soon after the store was away may come back: it brings
 * them within about two seconds. */
#define STORE_SETTLES (3 * KC_SECOND)

/* ---- feeds --------------------------------------------------------------- */

/* The store was lost or regained: what still waits for an answer of before is
 * asked again. */
static void
on_contact(void *context, int code, KcTime now)
{
    GatewayRole *role = context;

    KcLog_Contact(code);
    role->store_back_at = now;
    for (int i = 0; i < KC_COLLECTION_COUNT; i++) {
        if (role->feeds[i] != NULL) {
            KcFeed_Relist(role->feeds[i], now);
        }
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
    if (item->deleted) {
        return; /* the last one stays in force */
    }
    routing = role->platform->read_routing(item->body, &error);
    if (routing == NULL) {
        KcLog_Invalid(item->name, &error);
        return;
    }
    fields.generation = routing->version;
    KcLog_Write(KC_LOG_INFO, &fields, "configuration read, %u routes",
                routing->rule_count);
    KcCounters_Add(&role->parts.counters, KC_COUNT_ADOPTIONS, 1);
    KcGateway_SetRouting(role->gateway, routing);
}

static void
on_server(void *context, const KcFeedItem *item, KcTime now)
{
    GatewayRole *role = context;
    KcLogFields fields = {.peer = item->name, .step = "servers"};
    KcServerInfo info;
    KcServer *known = KcGateway_FindServer(role->gateway, item->name);
    bool was_leaving = known != NULL && known->leaving;
    KcError error = {0};

    if (item->deleted) {
        bool sure = now - role->store_back_at > STORE_SETTLES;

        KcLog_Write(KC_LOG_INFO, &fields, "record of the server is gone%s",
                    sure ? "" : ", perhaps with the store's outage");
        KcGateway_OnServerRecordMissing(role->gateway, item->name, sure, now);
        return;
    }
    KcServerInfo_Init(&info);
    if (role->platform->read_server(item, &info, &error) != 0) {
        KcLog_Invalid(item->name, &error);
        KcGateway_OnServerRecordMissing(role->gateway, item->name, false, now);
    }
    else {
        if (known == NULL || info.leaving != was_leaving ||
            info.started_at_ms != known->started_at_ms) {
            KcLog_Write(KC_LOG_INFO, &fields, "server is %s, service %s at %s",
                        info.leaving ? "leaving" : "ready", info.service,
                        info.address);
        }
        KcGateway_OnServerRecord(role->gateway, &info, item->revision, now);
    }
    KcServerInfo_Clear(&info);
}

static void
servers_begin(void *context)
{
    KcGateway_BeginServerList(((GatewayRole *)context)->gateway);
}

static void
servers_listed(void *context, KcTime now)
{
    KcGateway_EndServerList(((GatewayRole *)context)->gateway, now);
}

static void
on_version(void *context, const KcFeedItem *item, KcTime now)
{
    GatewayRole *role = context;
    KcLogFields fields = {.step = "versions", .peer = item->name};
    KcReplicaInfo version;
    KcError error = {0};

    if (item->deleted) {
        return;
    }
    if (role->platform->read_version(item->body, &version, &error) != 0) {
        KcLog_Invalid(item->name, &error);
        return;
    }
    KcLog_Write(KC_LOG_INFO, &fields, "version %u is announced",
                version.version);
    KcGateway_OnVersionAnnounced(role->gateway, version.model, version.adapter,
                                 version.version, now);
}

static void
gateways_begin(void *context)
{
    ((GatewayRole *)context)->gateways = 0;
}

static void
on_gateway(void *context, const KcFeedItem *item, KcTime now)
{
    GatewayRole *role = context;

    (void)now;
    role->gateways += item->deleted ? 0 : 1;
}

static void
gateways_listed(void *context, KcTime now)
{
    GatewayRole *role = context;

    KcGateway_SetGatewayCount(role->gateway, role->gateways, now);
}

/* In the table: a part of the setting. */
#define GATHER_SERVERS (-1)

/* How each collection is followed. */
static const struct {
    KcTime wait; /* of a watch; 0: the setting */
    KcTime gather;
    KcTime relist;
    void (*begins)(void *context);
    void (*item)(void *context, const KcFeedItem *item, KcTime now);
    void (*listed)(void *context, KcTime now);
} feed_rows[KC_COLLECTION_COUNT] = {
    [KC_COLLECTION_ROUTING] = {WAIT_SELDOM, 0, 0, NULL, on_routing, NULL},
    [KC_COLLECTION_SERVERS] = {0, GATHER_SERVERS, 0, servers_begin, on_server,
                               servers_listed},
    [KC_COLLECTION_VERSIONS] = {WAIT_SELDOM, GATHER_VERSIONS, 0, NULL,
                                on_version, NULL},
    [KC_COLLECTION_GATEWAYS] = {WAIT_SELDOM, GATHER_GATEWAYS, GATHER_GATEWAYS,
                                gateways_begin, on_gateway, gateways_listed},
};

static KcTime
gather_servers(const KcSettings *settings)
{
    KcTime gather = settings->leave_ms * KC_MS / GATHER_PART;

    return gather < GATHER_MAX ? gather : GATHER_MAX;
}

void
KcGatewayRole_StartFeeds(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;

    for (int i = 0; i < KC_COLLECTION_COUNT; i++) {
        KcFeedOptions options = {
            .ops = role->platform->feed_ops,
            .store = role->store,
            .timers = role->parts.loop->timers,
            .collection = role->platform->collection_names[i],
            .retry_delay = KC_STORE_RETRY,
            .retry_delay_max = KC_STORE_RETRY_MAX,
            .watch_timeout = feed_rows[i].wait != 0
                                 ? feed_rows[i].wait
                                 : settings->watch_ms * KC_MS,
            .watch_delay = feed_rows[i].gather == GATHER_SERVERS
                               ? gather_servers(settings)
                               : feed_rows[i].gather,
            .relist_interval = feed_rows[i].relist,
            .on_list_begin = feed_rows[i].begins,
            .on_item = feed_rows[i].item,
            .on_list_end = feed_rows[i].listed,
            .on_store_status = on_contact,
            .context = role};

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
KcGatewayRole_WriteMember(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcOwnRecordOptions options = {
        .ops = role->platform->object_ops,
        .objects = role->store,
        .timers = role->parts.loop->timers,
        .collection = role->platform->collection_names[KC_COLLECTION_GATEWAYS],
        .name = settings->name};
    char value[KC_NAME_MAX * 2];

    snprintf(value, sizeof(value), "{\"datacentre\":\"%s\"}",
             settings->datacentre);
    KcOwnRecord_Write(&role->member, &options, value);
}
