/*
 * The keeper as a process: its engine, the gateways' connections, and the
 * record that gives it its fencing number.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "../connection/tcp.h"
#include "admin_http.h"
#include "log.h"
#include "own_record.h"
#include "platform.h"
#include "role.h"

/* The configuration is only listed: of it a keeper needs the capacity of the
 * engine, which hardly changes.  Until it is known, and afterwards. */
#define RELIST_UNKNOWN (500 * KC_MS)
#define RELIST_KNOWN (60 * KC_SECOND)
/* Wait for an answer of the engine, on the same machine: it answers within
 * a few milliseconds or not at all. */
#define ENGINE_TIMEOUT (100 * KC_MS)
/* Collection of the keepers' records. */
#define KEEPERS "kcc-keepers"

typedef struct KeeperRole {
    KcParts parts;
    const KcPlatform *platform;
    KcKeeper *keeper;
    KcEngineClient *engine;
    KcStore *store;
    KcFeed *routing;
    KcTcpListener *listener;
    struct KcLinkList links;
    KcOwnRecord fence; /* in the store; its revision is the number */
    uint64_t incarnation;
    uint64_t generation; /* of the configuration last read */
} KeeperRole;

/* ---- gateways ------------------------------------------------------------ */

static void
on_accepted(void *context, KcLink *link)
{
    KeeperRole *role = context;

    link->owner = role;
    TAILQ_INSERT_TAIL(&role->links, link, link);
}

/* The transport is gone already: what the keeper tells now must not reach it.
 */
static void
close_link(KeeperRole *role, KcLink *link)
{
    TAILQ_REMOVE(&role->links, link, link);
    KcKeeper_OnGatewayLost(role->keeper, link, KcLoop_Now());
    KcLink_Free(link);
}

static void
greet(KeeperRole *role, KcLink *link)
{
    KcMsg hello;

    KcMsg_InitHello(&hello, role->parts.settings->name, role->incarnation);
    KcLink_Send(link, &hello);
    KcKeeper_OnGatewayConnected(role->keeper, link, KcLoop_Now());
}

static void
on_message(void *context, KcLink *link, const KcMsg *msg)
{
    KeeperRole *role = context;
    KcTime now = KcLoop_Now();
    KcStream *stream;
    KcError error;
    KcLogFields fields = {.peer = link->peer_name, .step = "link"};

    if (KcLink_Receive(link, msg, &stream, now, &error) != 0) {
        fields.step = error.step;
        fields.code = error.code;
        KcLog_Write(KC_LOG_WARN, &fields, "gateway broke the link's rules");
        link->ops->close(link->transport);
        close_link(role, link);
        return;
    }
    switch (msg->type) {
    case KC_MSG_HELLO:
        greet(role, link);
        break;
    case KC_MSG_WANT:
        KcKeeper_OnLoadRequest(role->keeper, msg->u.want.model,
                               msg->u.want.adapter, msg->u.want.version_min,
                               msg->u.want.priority, now);
        break;
    case KC_MSG_USED:
        KcKeeper_OnUsage(role->keeper, link, msg->u.used.model,
                         msg->u.used.adapter, msg->u.used.uses,
                         msg->u.used.in_flight, now);
        break;
    default:
        KcLog_Write(KC_LOG_WARN, &fields, "unexpected message");
        break;
    }
}

static void
on_closed(void *context, void *peer, KcLink *link, int code)
{
    KcLogFields fields = {
        .peer = link->peer_name, .step = "link", .code = code};

    (void)peer;
    KcLog_Write(KC_LOG_INFO, &fields, "connection of the gateway ended");
    close_link(context, link);
}

static const KcTcpOps tcp_ops = {NULL, on_message, on_closed};

static void
tell(void *context, KcLink *link, const char *model, const char *adapter,
     uint32_t version, KcHeldState state)
{
    KeeperRole *role = context;
    KcMsg msg = {.type = KC_MSG_HELD,
                 .u.held = {.version = version, .state = (uint32_t)state}};
    KcLink *at;

    KcText_Copy(msg.u.held.model, model, KC_NAME_MAX);
    KcText_Copy(msg.u.held.adapter, adapter, KC_NAME_MAX);
    if (link != NULL) {
        KcLink_Send(link, &msg);
        return;
    }
    TAILQ_FOREACH (at, &role->links, link) {
        if (at->hello_received) {
            KcLink_Send(at, &msg);
        }
    }
}

/* ---- the engine ---------------------------------------------------------- */

static void
order(void *context, const KcOrder *request)
{
    KeeperRole *role = context;

    role->platform->send_order(role->engine, request);
}

static void
report(void *context)
{
    KeeperRole *role = context;

    role->platform->request_report(role->engine);
}

static void
on_ordered(void *context, KcOrderResult end)
{
    KcKeeper_OnOrderResult(((KeeperRole *)context)->keeper, end, KcLoop_Now());
}

static void
on_reported(void *context, const KcEngineReport *engine_report)
{
    KcKeeper_OnReport(((KeeperRole *)context)->keeper, engine_report,
                      KcLoop_Now());
}

/* One line for every order, its end, and what could not be served. */
static void
record(void *context, const KcKeeperLogEntry *entry)
{
    KcLogFields fields = {.step = entry->decision, .code = entry->code};
    const KcOrder *request = entry->order;

    (void)context;
    KcLog_Write(KC_LOG_INFO, &fields,
                "model=%s adapter=%s version=%u fence=%" PRIu64
                " sequence=%" PRIu64 " places=%u in_use=%u coming=%u wants=%u",
                request->model, request->adapter, request->version,
                request->fence, request->sequence, entry->slot_count,
                entry->slots_in_use, entry->loading_count,
                entry->load_request_count);
}

static const KcKeeperOps keeper_ops = {order, report, tell, record};

/* ---- the store ----------------------------------------------------------- */

/* The configuration says how many adapters the engine takes. */
static void
on_routing(void *context, const KcFeedItem *item, KcTime now)
{
    KeeperRole *role = context;
    KcLogFields fields = {.step = "routing"};
    const KcRoutedService *service;
    KcRouting *routing;
    KcError error = {0};

    if (item->deleted) {
        return;
    }
    routing = role->platform->read_routing(item->body, &error);
    if (routing == NULL) {
        KcLog_Invalid(item->name, &error);
        return;
    }
    service =
        KcRouting_FindService(routing, role->parts.settings->service_name);
    if (routing->version > role->generation && service != NULL) {
        role->generation = routing->version;
        fields.generation = routing->version;
        KcLog_Write(KC_LOG_INFO, &fields, "engine takes %u adapters",
                    service->engine.adapter_slots);
        role->platform->set_health_path(role->engine, service->health_path);
        KcFeed_SetIntervals(role->routing, RELIST_KNOWN, RELIST_KNOWN);
        KcKeeper_SetCapacity(role->keeper, &service->engine, now);
    }
    KcRouting_Release(routing);
}

static void
on_contact(void *context, int code, KcTime now)
{
    (void)context;
    (void)now;
    KcLog_Contact(code);
}

/* The revision of the record just written is above any earlier one. */
static void
on_fence(void *context, uint64_t revision)
{
    KeeperRole *role = context;
    KcLogFields fields = {.step = "fence"};

    KcLog_Write(KC_LOG_INFO, &fields, "fencing number %" PRIu64, revision);
    KcKeeper_SetFence(role->keeper, revision, KcLoop_Now());
}

static void
take_fence(KeeperRole *role)
{
    KcOwnRecordOptions options = {.ops = role->platform->object_ops,
                                  .objects = role->store,
                                  .timers = role->parts.loop->timers,
                                  .collection = KEEPERS,
                                  .name = role->parts.settings->name,
                                  .written = on_fence,
                                  .context = role};
    char value[64];

    snprintf(value, sizeof(value), "{\"incarnation\":\"%016" PRIx64 "\"}",
             role->incarnation);
    KcOwnRecord_Write(&role->fence, &options, value);
}

/* ---- administration ------------------------------------------------------ */

static int
ready(void *context)
{
    return KcKeeper_CheckReady(((KeeperRole *)context)->keeper);
}

static uint64_t
generation(void *context)
{
    return ((KeeperRole *)context)->generation;
}

static void
add_state(void *context, json_t *state)
{
    KeeperRole *role = context;

    json_object_set_new(state, "service",
                        json_string(role->parts.settings->service_name));
    json_object_set_new(
        state, "fence",
        json_integer((json_int_t)KcKeeper_Fence(role->keeper)));
}

static void
admin_drain(void *context)
{
    KcParts_Drain(&((KeeperRole *)context)->parts);
}

static const KcAdminOps admin_ops = {ready, generation, add_state,
                                     admin_drain};

static void
drain(void *context)
{
    (void)context;
}

/* No request passes through a keeper: it may stop at any time. */
static bool
drained(void *context)
{
    (void)context;
    return true;
}

/* Nothing that a keeper was started with may change while it runs. */
static void
reload(void *context, const KcSettings *settings)
{
    (void)context;
    (void)settings;
}

static const KcRoleOps role_ops = {drain, drained, reload};

/* ---- set-up -------------------------------------------------------------- */

static void
create_keeper(KeeperRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcKeeperOptions options;
    KcEngineOptions engine = {.loop = role->parts.loop,
                              .address = settings->backend_address,
                              .holder = settings->name,
                              .call_timeout = ENGINE_TIMEOUT,
                              .counters = &role->parts.counters,
                              .on_order_result = on_ordered,
                              .on_report = on_reported,
                              .context = role};

    role->engine = role->platform->open_engine(&engine);
    KcKeeperOptions_Init(&options);
    options.ops = &keeper_ops;
    options.context = role;
    options.timers = role->parts.loop->timers;
    options.counters = &role->parts.counters;
    role->keeper = KcKeeper_Create(&options);
}

static int
listen_all(KeeperRole *role)
{
    role->listener =
        KcParts_ListenLinks(&role->parts, &tcp_ops, role, on_accepted);
    if (role->listener == NULL) {
        return KC_ERR_INVALID;
    }
    return KcParts_OpenAdmin(&role->parts, &admin_ops, role);
}

static void
start_all(KeeperRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcStoreOptions store = {.loop = role->parts.loop,
                            .address = settings->objects,
                            .call_timeout =
                                settings->object_timeout_ms * KC_MS,
                            .counters = &role->parts.counters};
    KcFeedOptions feed = {
        .ops = role->platform->feed_ops,
        .timers = role->parts.loop->timers,
        .collection = role->platform->collection_names[KC_COLLECTION_ROUTING],
        .retry_delay = KC_STORE_RETRY,
        .retry_delay_max = KC_STORE_RETRY_MAX,
        .watch_timeout = settings->watch_ms * KC_MS,
        .watch_delay = RELIST_UNKNOWN,
        .relist_interval = RELIST_UNKNOWN,
        .on_item = on_routing,
        .on_store_status = on_contact,
        .context = role};

    role->store = role->platform->open_store(&store);
    feed.store = role->store;
    role->routing = KcFeed_Create(&feed);
    KcFeed_Start(role->routing, KcLoop_Now());
    take_fence(role);
    KcKeeper_Start(role->keeper, KcLoop_Now());
    KcParts_HandleSignals(&role->parts, &role_ops, role);
}

static void
free_all(KeeperRole *role)
{
    KcLink *link;

    if (role->store != NULL) {
        KcOwnRecord_Clear(&role->fence);
        KcFeed_Free(role->routing);
        role->platform->close_store(role->store);
    }
    while ((link = TAILQ_FIRST(&role->links)) != NULL) {
        link->ops->close(link->transport);
        close_link(role, link);
    }
    if (role->listener != NULL) {
        KcTcpListener_Free(role->listener);
    }
    KcKeeper_Free(role->keeper);
    role->platform->close_engine(role->engine);
    KcParts_Clear(&role->parts);
}

int
KcKeeperRole_Run(const KcSettings *settings)
{
    KeeperRole role;
    int status = 1;

    memset(&role, 0, sizeof(role));
    role.platform = &KcPlatform_Here;
    TAILQ_INIT(&role.links);
    if (KcParts_Init(&role.parts, settings) != 0) {
        return 1;
    }
    role.incarnation = KcLoop_Random();
    role.parts.drain_time = (KcTime)(settings->grace_s * KC_SECOND);
    create_keeper(&role);
    if (listen_all(&role) == 0) {
        start_all(&role);
        KcLog_Write(KC_LOG_INFO, NULL, "keeper of %s listens on %s",
                    settings->backend_address, settings->links);
        KcLoop_Run(role.parts.loop);
        KcLog_Write(KC_LOG_INFO, NULL, "keeper stops");
        status = 0;
    }
    free_all(&role);
    return status;
}
