/*
 * A keeper and the store: the record whose revision gives its fencing number,
 * and what its engine can hold, by that record or the routing configuration.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "keeper_role_internal.h"
#include "log.h"

/*
 * Interval of reads of the routing configuration. It is not watched, as a
 * keeper needs only the engine's capacity, which hardly ever changes.
 */
#define ROUTING_POLL_INTERVAL (60 * KC_SECOND)
/* Interval of these reads until the engine's capacity is known. */
#define ROUTING_POLL_INTERVAL_INITIAL (500 * KC_MS)
/*
 * Delay of the first read if the capacity is known from the record that an
 * earlier process has left: when many processes start at once, the gateways,
 * which can't serve without the configuration, get it first.
 */
#define ROUTING_READ_DELAY (5 * KC_SECOND)
/* These reads may lag, unless the store failed. */
#define ROUTING_LAG_TIMEOUT (3600 * KC_SECOND)
/* Collection of the keepers' own records. */
#define KEEPERS_COLLECTION "kcc-keepers"

/* Acts by the record, which has changed, and writes it. */
static void
use_record(KeeperRole *role, KcTime now)
{
    KcLogFields fields = {.step = "routing", .generation = role->generation};
    char *text = KcKeeperRecord_Encode(&role->record, role->incarnation);

    KcOwnRecord_Change(&role->fence_record, text);
    free(text);
    KcLog_Write(KC_LOG_INFO, &fields, "engine has %u adapter slots%s",
                role->record.engine.adapter_slots,
                role->generation == 0 ? ", as an earlier keeper wrote" : "");
    role->platform->set_health_path(role->engine, role->record.health_path);
    KcKeeper_SetCapacity(role->keeper, &role->record.engine, now);
}

/* Takes what an earlier keeper of the same engine has written, and decides
 * when the configuration is read. */
static void
on_record_found(void *context, KcBytes value)
{
    KeeperRole *role = context;
    KcTime now = KcLoop_Now();
    KcTime delay = 0;
    KcKeeperRecord found;

    if (KcKeeperRecord_Decode(value, &found) == 0 &&
        strcmp(found.service, role->record.service) == 0 &&
        strcmp(found.address, role->record.address) == 0) {
        KcKeeperRecord_Set(&role->record, found.health_path, &found.engine);
        use_record(role, now);
        delay = ROUTING_READ_DELAY;
    }
    KcKeeperRecord_Clear(&found);
    KcTimers_Set(role->common.loop->timers, &role->routing_timer, now + delay);
}

static void
on_routing_timer(KcTimer *timer, KcTime now)
{
    KcFeed_Start(((KeeperRole *)timer->owner)->routing_feed, now);
}

/* Reads the engine's capacity from the routing configuration. */
static void
on_routing(void *context, const KcFeedItem *item, KcTime now)
{
    KeeperRole *role = context;
    const KcRoutedService *service;
    KcRouting *routing;
    KcError error = {0};

    if (item->deleted ||
        strcmp(item->name, role->platform->routing_name) != 0) {
        return;
    }
    routing = role->platform->read_routing(item->body, &error);
    if (routing == NULL) {
        KcLog_RecordInvalid(item->name, &error);
        return;
    }
    service =
        KcRouting_FindService(routing, role->common.settings->service_name);
    if (routing->version > role->generation && service != NULL) {
        role->generation = routing->version;
        KcKeeperRole_LearnGeneration(role, routing->version, NULL);
        KcFeed_SetIntervals(role->routing_feed, ROUTING_POLL_INTERVAL,
                            ROUTING_POLL_INTERVAL);
        if (!KcKeeperRecord_Tells(&role->record, service->health_path,
                                  &service->engine)) {
            KcKeeperRecord_Set(&role->record, service->health_path,
                               &service->engine);
            use_record(role, now);
        }
    }
    KcRouting_Release(routing);
}

static void
on_store_status(void *context, int code, KcTime now)
{
    (void)context;
    (void)now;
    KcLog_StoreStatus(code);
}

/* Each write of the record is later than all earlier ones, in a store that was
 * restored from a copy by its era. */
static void
on_fence_written(void *context, KcRevision revision)
{
    KeeperRole *role = context;
    KcLogFields fields = {.step = "fence"};
    uint64_t fence = KcRevision_ToNumber(revision);

    KcLog_Write(KC_LOG_INFO, &fields,
                "fencing number %" PRIu64 ", era %" PRIu64
                ", revision %" PRIu64,
                fence, revision.era, revision.number);
    KcKeeper_SetFence(role->keeper, fence, KcLoop_Now());
}

static void
acquire_fence(KeeperRole *role)
{
    KcOwnRecordOptions options = {.object_ops = role->platform->object_ops,
                                  .object_context = role->store,
                                  .timers = role->common.loop->timers,
                                  .collection = KEEPERS_COLLECTION,
                                  .name = role->common.settings->name,
                                  .on_found = on_record_found,
                                  .on_written = on_fence_written,
                                  .context = role};
    char *value = KcKeeperRecord_Encode(&role->record, role->incarnation);

    KcOwnRecord_Write(&role->fence_record, &options, value);
    free(value);
}

void
KcKeeperRole_StartStore(KeeperRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcStoreOptions store_options = KcRoleCommon_GetStoreOptions(&role->common);
    KcFeedOptions feed_options = {
        .ops = role->platform->feed_ops,
        .timers = role->common.loop->timers,
        .collection = role->platform->collection_names[KC_COLLECTION_ROUTING],
        .retry_delay = KC_STORE_RETRY_DELAY,
        .retry_delay_max = KC_STORE_RETRY_DELAY_MAX,
        .watch_timeout = settings->watch_timeout_ms * KC_MS,
        .watch_delay = ROUTING_POLL_INTERVAL_INITIAL,
        .lag_timeout = ROUTING_LAG_TIMEOUT,
        .relist_interval = ROUTING_POLL_INTERVAL_INITIAL,
        .on_item = on_routing,
        .on_store_status = on_store_status,
        .context = role};

    role->store = role->platform->open_store(&store_options);
    feed_options.store = role->store;
    role->routing_feed = KcFeed_Create(&feed_options);
    KcTimer_Init(&role->routing_timer, on_routing_timer, role);
    KcKeeperRecord_Init(&role->record, settings->service_name,
                        settings->backend_address);
    acquire_fence(role);
}

void
KcKeeperRole_StopStore(KeeperRole *role)
{
    KcOwnRecord_Clear(&role->fence_record);
    KcKeeperRecord_Clear(&role->record);
    KcTimers_Clear(role->common.loop->timers, &role->routing_timer);
    KcFeed_Free(role->routing_feed);
    role->platform->close_store(role->store);
}
