/*
 * The gateway as a process: the front end, the feeds of the store, and the
 * connections to backend servers and their keepers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../connection/tcp.h"
#include "../request/front.h"
#include "admin_http.h"
#include "log.h"
#include "platform.h"
#include "role.h"

/* Delay after a failed call of the store. */
#define STORE_RETRY (200 * KC_MS)
/* Changes of servers are taken together for this long: each call of the
 * store is priced, and keepers tell first of servers that leave. */
#define GATHER_SERVERS (800 * KC_MS)
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
/* Keepers are told of uses at most this often. */
#define TELL_INTERVAL (200 * KC_MS)
/* A keeper that could not be reached is left alone for so long. */
#define KEEPER_RETRY (500 * KC_MS)
/* Idle callers' connections stay open so long after a stop began: the
 * balancer sends no new ones after two questions, a second apart. */
#define DRAIN_IDLE (2500 * KC_MS)
/* Streams are refused so long after a stop began: the platform excuses what
 * a stop cuts only for requests that were sent before. */
#define DRAIN_REFUSE (2800 * KC_MS)
/* Everything is refused so long before the end of a stop. */
#define DRAIN_LAST (1500 * KC_MS)
/* A process without requests ends so long after a stop began: until then the
 * balancer may send new connections, and afterwards whoever still connects
 * finds another. */
#define DRAIN_END (3200 * KC_MS)
/* A stop is over this long before the platform ends the process. */
#define DRAIN_MARGIN (300 * KC_MS)
/* Limits on callers until a configuration is in force. */
static const KcCallerLimits first_limits = {16384, 1048576, 10 * KC_SECOND,
                                            60 * KC_SECOND};
/* Bytes of a server's answer that is no stream. */
#define REPLY_MAX (4 * 1024 * 1024)
#define REPLY_HEADER_MAX 65536

/* A request for an adapter that waits for the keeper's connection. */
typedef struct PendingWant {
    TAILQ_ENTRY(PendingWant) link;
    KcMsg msg;
} PendingWant;

struct GatewayRole;

/* What the process has of one backend server. */
typedef struct ServerPeer {
    struct GatewayRole *role;
    KcServer *server;
    KcHttpPool *pool;
    KcTcp *tcp;   /* while connecting */
    KcLink *link; /* to the keeper; NULL when there is none */
    KcTime retry_at;
    TAILQ_HEAD(, PendingWant) pending;
} ServerPeer;

typedef struct GatewayRole {
    KcParts parts;
    const KcPlatform *platform;
    KcGateway *gateway;
    KcGatewayFront *front;
    KcAdmin *balancer; /* answers the balancer's question */
    KcStore *store;
    KcFeed *feeds[KC_COLLECTION_COUNT];
    uint32_t gateways; /* told by the list being read */
    KcTimer tell_timer;
    KcTimer member_timer;
    uint64_t incarnation;
    KcTime drain_began;
    KcTime store_back_at; /* it was last lost or regained */
} GatewayRole;

/* ---- connections to keepers ---------------------------------------------- */

static ServerPeer *
peer_of(GatewayRole *role, KcServer *server)
{
    ServerPeer *peer = server->peer;

    if (peer == NULL) {
        peer = KcMem_New(sizeof(*peer));
        peer->role = role;
        peer->server = server;
        peer->pool = KcHttpPool_Create(role->parts.loop);
        TAILQ_INIT(&peer->pending);
        server->peer = peer;
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
    ServerPeer *peer = server->peer;

    (void)context;
    if (peer == NULL) {
        return;
    }
    drop_pending(peer);
    if (peer->tcp != NULL) {
        KcTcp_Close(peer->tcp);
    }
    if (peer->link != NULL) {
        peer->link->ops->close(peer->link->transport);
        KcLink_Free(peer->link);
    }
    peer->tcp = NULL;
    peer->link = NULL;
    if (server->in_flight > 0) {
        /* Sendings in progress give their connections back to the pool. */
        KcHttpPool_CloseAll(peer->pool);
        return;
    }
    KcHttpPool_Free(peer->pool);
    free(peer);
    server->peer = NULL;
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
    KcGateway_OnHeld(role->gateway, peer->server, held->model, held->adapter,
                     held->version, (KcHeldState)held->state, KcLoop_Now());
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
    KcMsg hello = {.type = KC_MSG_HELLO,
                   .u.hello = {.incarnation = role->incarnation,
                               .protocol = KC_PROTOCOL_VERSION}};
    char host[KC_ADDRESS_MAX];
    char address[KC_ADDRESS_MAX + 8];
    uint16_t port;

    KcName_Copy(hello.u.hello.name, settings->name, KC_NAME_MAX);
    KcAddress_Parse(peer->server->address, host, &port);
    snprintf(address, sizeof(address), "%s:%d", host,
             (int)settings->keeper_port);
    peer->tcp = KcTcp_Connect(&options, peer, address, &hello,
                              settings->connect_timeout_ms * KC_MS);
}

static bool
want(void *context, const KcWant *request)
{
    GatewayRole *role = context;
    ServerPeer *peer = peer_of(role, request->server);
    PendingWant *pending;
    KcMsg msg = {.type = KC_MSG_WANT,
                 .u.want = {.version = request->version,
                            .priority = request->priority}};

    KcName_Copy(msg.u.want.model, request->adapter->model, KC_NAME_MAX);
    KcName_Copy(msg.u.want.adapter, request->adapter->name, KC_NAME_MAX);
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
tell_use(void *context, KcHolding *holding)
{
    ServerPeer *peer = holding->server->peer;
    KcMsg msg = {
        .type = KC_MSG_USED,
        .u.used = {.uses = holding->uses, .in_flight = holding->in_flight}};

    (void)context;
    if (peer == NULL || peer->link == NULL ||
        holding->adapter->name[0] == '\0') {
        return;
    }
    KcName_Copy(msg.u.used.model, holding->adapter->model, KC_NAME_MAX);
    KcName_Copy(msg.u.used.adapter, holding->adapter->name, KC_NAME_MAX);
    KcLink_Send(peer->link, &msg);
}

static void
on_tell(KcTimer *timer, KcTime now)
{
    GatewayRole *role = timer->owner;

    (void)now;
    KcGateway_TellUses(role->gateway, tell_use, role);
}

/* ---- sendings ------------------------------------------------------------ */

static void *
start_sending(void *context, KcForward *forward, const KcSend *sending)
{
    GatewayRole *role = context;
    const KcSettings *settings = role->parts.settings;
    KcSendingOptions options = {
        .loop = role->parts.loop,
        .dialect = role->platform->dialect,
        .pool = peer_of(role, sending->server)->pool,
        .connect_timeout = settings->connect_timeout_ms * KC_MS,
        .silence = settings->silence_ms * KC_MS,
        .header_max = REPLY_HEADER_MAX,
        .reply_max = REPLY_MAX,
        .message = KcGatewayFront_Message(forward->caller),
        .body = KcGatewayFront_Body(forward->caller)};

    if (!role->tell_timer.set) {
        KcTimers_Set(role->parts.loop->timers, &role->tell_timer,
                     KcLoop_Now() + TELL_INTERVAL);
    }
    return KcSending_Start(&options, forward, sending);
}

static void
withdraw(void *context, void *sending)
{
    (void)context;
    KcSending_Cancel(sending);
}

/* One line for every request, with what decided it. */
static void
record(void *context, const KcForwardRecord *record)
{
    const KcForward *forward = record->forward;
    const KcServer *server = forward->server;
    KcLogFields fields = {.id = forward->id,
                          .generation = forward->routing->version,
                          .peer = server != NULL ? server->id : ""};
    KcTime load_age = server != NULL && server->load_at != 0
                          ? (record->now - server->load_at) / KC_MS
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
        forward->sends, forward->runs,
        (int)((record->now - forward->arrived) / KC_MS),
        forward->sent_at != 0
            ? (int)((forward->sent_at - forward->arrived) / KC_MS)
            : -1,
        forward->first_event_at != 0
            ? (int)((forward->first_event_at - forward->arrived) / KC_MS)
            : -1,
        forward->adapter != NULL ? forward->adapter->key : "",
        server != NULL ? server->in_flight + server->others : 0,
        (int)load_age);
}

static const KcGatewayOps gateway_ops = {start_sending, withdraw, want, forget,
                                         record};

/* ---- feeds --------------------------------------------------------------- */

static void
log_invalid(const KcFeedItem *item, const KcError *error)
{
    KcLogFields fields = {
        .peer = item->name, .step = error->step, .code = error->code};

    KcLog_Write(KC_LOG_WARN, &fields, "record cannot be used");
}

/* The store was lost or regained: what still waits for an answer of before is
 * asked again. */
static void
on_contact(void *context, int code, KcTime now)
{
    GatewayRole *role = context;
    KcLogFields fields = {.step = "store", .code = code};

    KcLog_Write(code == 0 ? KC_LOG_INFO : KC_LOG_WARN, &fields,
                code == 0 ? "store answers again" : "store does not answer");
    role->store_back_at = now;
    for (int i = 0; i < KC_COLLECTION_COUNT; i++) {
        if (role->feeds[i] != NULL) {
            KcFeed_Poke(role->feeds[i], now);
        }
    }
}

static void
begins_nothing(void *context)
{
    (void)context;
}

static void
listed_nothing(void *context, KcTime now)
{
    (void)context;
    (void)now;
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
        log_invalid(item, &error);
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
    KcServer *known = KcGateway_Server(role->gateway, item->name);
    bool was_leaving = known != NULL && known->leaving;
    KcError error = {0};

    if (item->deleted) {
        bool sure = now - role->store_back_at > STORE_SETTLES;

        KcLog_Write(KC_LOG_INFO, &fields, "record of the server is gone%s",
                    sure ? "" : ", perhaps with the store's outage");
        KcGateway_OnServerGone(role->gateway, item->name, sure, now);
        return;
    }
    KcServerInfo_Init(&info);
    if (role->platform->read_server(item, &info, &error) != 0) {
        log_invalid(item, &error);
        KcGateway_OnServerGone(role->gateway, item->name, false, now);
    }
    else {
        if (known == NULL || info.leaving != was_leaving ||
            info.born != known->born) {
            KcLog_Write(KC_LOG_INFO, &fields, "server is %s, service %s at %s",
                        info.leaving ? "leaving" : "ready", info.service,
                        info.address);
        }
        KcGateway_OnServer(role->gateway, &info, item->revision, now);
    }
    KcServerInfo_Clear(&info);
}

static void
servers_begin(void *context)
{
    KcGateway_ServersBegin(((GatewayRole *)context)->gateway);
}

static void
servers_listed(void *context, KcTime now)
{
    KcGateway_ServersEnd(((GatewayRole *)context)->gateway, now);
}

static void
on_version(void *context, const KcFeedItem *item, KcTime now)
{
    GatewayRole *role = context;
    KcLogFields fields = {.step = "versions", .peer = item->name};
    KcHeldInfo version;
    KcError error = {0};

    if (item->deleted) {
        return;
    }
    if (role->platform->read_version(item->body, &version, &error) != 0) {
        log_invalid(item, &error);
        return;
    }
    KcLog_Write(KC_LOG_INFO, &fields, "version %u is announced",
                version.version);
    KcGateway_OnVersion(role->gateway, version.model, version.adapter,
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

    KcGateway_SetPeers(role->gateway, role->gateways, now);
}

/* How each collection is followed. */
static const struct {
    KcTime gather;
    KcTime relist;
    void (*begins)(void *context);
    void (*item)(void *context, const KcFeedItem *item, KcTime now);
    void (*listed)(void *context, KcTime now);
} feed_rows[KC_COLLECTION_COUNT] = {
    [KC_COLLECTION_ROUTING] = {0, 0, begins_nothing, on_routing,
                               listed_nothing},
    [KC_COLLECTION_SERVERS] = {GATHER_SERVERS, 0, servers_begin, on_server,
                               servers_listed},
    [KC_COLLECTION_VERSIONS] = {GATHER_VERSIONS, 0, begins_nothing, on_version,
                                listed_nothing},
    [KC_COLLECTION_GATEWAYS] = {GATHER_GATEWAYS, GATHER_GATEWAYS,
                                gateways_begin, on_gateway, gateways_listed},
};

static void
start_feeds(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;

    for (int i = 0; i < KC_COLLECTION_COUNT; i++) {
        KcFeedOptions options = {.ops = role->platform->feed,
                                 .store = role->store,
                                 .timers = role->parts.loop->timers,
                                 .kind = role->platform->collections[i],
                                 .retry = STORE_RETRY,
                                 .wait = i == KC_COLLECTION_SERVERS
                                             ? settings->watch_ms * KC_MS
                                             : WAIT_SELDOM,
                                 .gather = feed_rows[i].gather,
                                 .relist = feed_rows[i].relist,
                                 .begins = feed_rows[i].begins,
                                 .item = feed_rows[i].item,
                                 .listed = feed_rows[i].listed,
                                 .contact = on_contact,
                                 .context = role};

        role->feeds[i] = KcFeed_Create(&options);
        KcFeed_Start(role->feeds[i], KcLoop_Now());
    }
}

/* ---- this gateway's own record ------------------------------------------- */

static void write_member(GatewayRole *role, uint64_t expected);

static void
on_member_written(void *context, const KcObjectReply *reply)
{
    GatewayRole *role = context;

    if (reply->code == KC_ERR_NOT_FOUND) {
        write_member(role, KC_OBJECT_ABSENT);
    }
    else if (reply->code != 0 && reply->code != KC_ERR_CONFLICT) {
        KcTimers_Set(role->parts.loop->timers, &role->member_timer,
                     KcLoop_Now() + STORE_RETRY);
    }
}

static void
write_member(GatewayRole *role, uint64_t expected)
{
    const KcSettings *settings = role->parts.settings;
    char name[KC_OBJECT_NAME_MAX];
    char value[KC_NAME_MAX * 2];

    snprintf(name, sizeof(name), "%s/%s",
             role->platform->collections[KC_COLLECTION_GATEWAYS],
             settings->name);
    snprintf(value, sizeof(value), "{\"datacentre\":\"%s\"}",
             settings->datacentre);
    role->platform->objects->put(role->store, name,
                                 (KcBytes){value, strlen(value)}, expected,
                                 on_member_written, role);
}

static void
on_member_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    write_member(timer->owner, KC_OBJECT_ANY);
}

/* ---- administration ------------------------------------------------------ */

static int
ready(void *context)
{
    GatewayRole *role = context;

    return role->parts.draining ? KC_ERR_LEAVING
                                : KcGateway_Ready(role->gateway);
}

static uint64_t
generation(void *context)
{
    const KcRouting *routing =
        KcGateway_Routing(((GatewayRole *)context)->gateway);

    return routing != NULL ? routing->version : 0;
}

static void
add_server_state(void *context, KcServer *server)
{
    json_array_append_new(
        context,
        json_pack("{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:I}", "id", server->id,
                  "service", server->pool->service, "address", server->address,
                  "leaving", (int)server->leaving, "missing",
                  (int)(server->gone_at != 0), "in_flight",
                  (int)server->in_flight, "others", (int)server->others,
                  "load_age_ms",
                  (json_int_t)((KcLoop_Now() - server->load_at) / KC_MS)));
}

static void
add_state(void *context, json_t *state)
{
    GatewayRole *role = context;
    json_t *list = json_array();

    KcGateway_EachServer(role->gateway, add_server_state, list);
    json_object_set_new(state, "in_flight",
                        json_integer(KcGateway_InFlight(role->gateway)));
    json_object_set_new(state, "servers", list);
}

static void
admin_drain(void *context)
{
    KcParts_Drain(&((GatewayRole *)context)->parts);
}

static const KcAdminOps admin_ops = {ready, generation, add_state,
                                     admin_drain};

/* ---- planned stops and changed settings ---------------------------------- */

static void
drain(void *context)
{
    GatewayRole *role = context;

    role->drain_began = KcLoop_Now();
    KcGateway_Drain(role->gateway, role->drain_began + DRAIN_REFUSE,
                    role->drain_began + role->parts.drain_time - DRAIN_LAST);
    KcGatewayFront_Drain(role->front, role->drain_began + DRAIN_IDLE);
}

static bool
drained(void *context)
{
    GatewayRole *role = context;

    return KcGateway_InFlight(role->gateway) == 0 &&
           KcLoop_Now() >= role->drain_began + DRAIN_END;
}

static void
reload(void *context, const KcSettings *settings)
{
    GatewayRole *role = context;

    KcGateway_SetRetry(role->gateway, (int64_t)(settings->retry_share * 100),
                       settings->retry_burst, KcLoop_Now());
}

static const KcRoleOps role_ops = {drain, drained, reload};

/* ---- set-up -------------------------------------------------------------- */

static const char *
region_of(void *context, const char *datacentre)
{
    return KcSettings_Region(((GatewayRole *)context)->parts.settings,
                             datacentre);
}

static void
create_gateway(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcGatewayOptions options;

    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = role;
    options.timers = role->parts.loop->timers;
    options.counters = &role->parts.counters;
    options.datacentre = settings->datacentre;
    options.region_of = region_of;
    options.seed = KcLoop_Random();
    options.retry_percent = (int64_t)(settings->retry_share * 100);
    options.retry_burst = settings->retry_burst;
    role->gateway = KcGateway_Create(&options);
}

/* Opens the addresses.  Returns 0 or KC_ERR_INVALID. */
static int
listen_all(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcGatewayFrontOptions front = {.loop = role->parts.loop,
                                   .address = settings->callers,
                                   .gateway = role->gateway,
                                   .dialect = role->platform->dialect,
                                   .connections_max =
                                       (uint32_t)settings->connections_max,
                                   .limits = first_limits,
                                   .silence = settings->silence_ms * KC_MS};
    KcAdminOptions balancer = {.loop = role->parts.loop,
                               .settings = settings,
                               .address = settings->ready,
                               .ready_path = settings->ready_path,
                               .counters = &role->parts.counters,
                               .events = role->parts.events,
                               .ops = &admin_ops,
                               .context = role};
    KcLogFields fields = {.step = "listen", .code = KC_ERR_INVALID};

    role->front = KcGatewayFront_Create(&front);
    role->balancer = KcAdmin_Create(&balancer);
    if (role->front == NULL || role->balancer == NULL) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "cannot listen on [listen] callers = %s or ready = %s",
                    settings->callers, settings->ready);
        return KC_ERR_INVALID;
    }
    return KcParts_OpenAdmin(&role->parts, &admin_ops, role);
}

static void
start_all(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcStoreOptions store = {.loop = role->parts.loop,
                            .address = settings->objects,
                            .timeout = settings->object_timeout_ms * KC_MS,
                            .counters = &role->parts.counters};

    role->store = role->platform->open_store(&store);
    KcTimer_Init(&role->tell_timer, on_tell, role);
    KcTimer_Init(&role->member_timer, on_member_timer, role);
    start_feeds(role);
    write_member(role, KC_OBJECT_ANY);
    KcParts_HandleSignals(&role->parts, &role_ops, role);
}

static void
free_all(GatewayRole *role)
{
    KcTimers *timers = role->parts.loop->timers;

    if (role->store != NULL) {
        KcTimers_Clear(timers, &role->tell_timer);
        KcTimers_Clear(timers, &role->member_timer);
        for (int i = 0; i < KC_COLLECTION_COUNT; i++) {
            KcFeed_Free(role->feeds[i]);
        }
        role->platform->close_store(role->store);
    }
    KcGateway_Abort(role->gateway, KcLoop_Now());
    if (role->front != NULL) {
        KcGatewayFront_Free(role->front);
    }
    if (role->balancer != NULL) {
        KcAdmin_Free(role->balancer);
    }
    KcGateway_Free(role->gateway);
    KcParts_Clear(&role->parts);
}

int
KcGatewayRole_Run(const KcSettings *settings)
{
    GatewayRole role;
    int status = 1;

    memset(&role, 0, sizeof(role));
    role.platform = &KcPlatform_Here;
    if (KcParts_Init(&role.parts, settings) != 0) {
        return 1;
    }
    role.incarnation = KcLoop_Random();
    role.parts.drain_time =
        (KcTime)(settings->grace_s * KC_SECOND) - DRAIN_MARGIN;
    create_gateway(&role);
    if (listen_all(&role) == 0) {
        start_all(&role);
        KcLog_Write(KC_LOG_INFO, NULL, "gateway serves callers on %s",
                    settings->callers);
        KcLoop_Run(role.parts.loop);
        KcLog_Write(KC_LOG_INFO, NULL, "gateway stops, %u requests left",
                    KcGateway_InFlight(role.gateway));
        status = 0;
    }
    free_all(&role);
    return status;
}
