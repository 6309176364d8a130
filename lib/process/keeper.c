/*
 * The keeper of one engine's adapters: creation, keys of adapters, and
 * messages of gateways.
 *
 * One call to the engine is outstanding at a time, an order or a request for
 * a report, so that each answer refers to a known state.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "keeper_internal.h"

/* Adapters that the engine may load at once. */
#define LOADS_IN_FLIGHT_MAX 3
/* Load requests that wait; further ones are refused. */
#define LOAD_REQUESTS_MAX 256
/* Largest number of uses, or of requests in flight, that a gateway's report
 * counts for. */
#define REPORTED_USES_MAX 65535
/* Time of a load that nothing delays, as the platform states it. */
#define NOMINAL_LOAD_TIME (250 * KC_MS)

void
KcKeeperOptions_Init(KcKeeperOptions *options)
{
    *options = (KcKeeperOptions){.idle_report_interval = 500 * KC_MS,
                                 .loading_report_interval = 40 * KC_MS};
    KcSuspectOptions_Init(&options->suspects);
}

void
KcKeeper_RequestReport(KcKeeper *keeper, KcTime now)
{
    if (keeper->report_pending || keeper->order_pending) {
        return;
    }
    KcTimers_Clear(keeper->options.timers, &keeper->report_timer);
    keeper->report_pending = true;
    keeper->report_requested_at = now;
    keeper->options.ops->request_report(keeper->options.context);
}

static void
on_report_timer(KcTimer *timer, KcTime now)
{
    KcKeeper_RequestReport(timer->owner, now);
}

KcKeeper *
KcKeeper_Create(const KcKeeperOptions *options)
{
    KcKeeper *keeper = KcMem_New(sizeof(*keeper));

    keeper->options = *options;
    TAILQ_INIT(&keeper->load_requests);
    TAILQ_INIT(&keeper->adapter_use_list);
    TAILQ_INIT(&keeper->base_models);
    TAILQ_INIT(&keeper->lost_attempts);
    KcKeeper_InitSuspects(keeper);
    KcEngineCapacity_Init(&keeper->capacity);
    KcResidency_Init(&keeper->residency, 0, KcVictim_FindPolicy("kcc"));
    KcPace_Init(&keeper->pace, NOMINAL_LOAD_TIME, NOMINAL_LOAD_TIME);
    keeper->pace.loads_in_flight_max = LOADS_IN_FLIGHT_MAX;
    KcTimer_Init(&keeper->report_timer, on_report_timer, keeper);
    return keeper;
}

void
KcKeeper_FreeLoadRequest(KcKeeper *keeper, KcPendingLoadRequest *load_request)
{
    TAILQ_REMOVE(&keeper->load_requests, load_request, link);
    keeper->load_request_count--;
    free(load_request);
}

static void
free_adapter_use(KcKeeper *keeper, KcAdapterUse *use)
{
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(keeper->adapter_uses, use);
    TAILQ_REMOVE(&keeper->adapter_use_list, use, link);
    free(use);
}

void
KcKeeper_FreeBaseModel(KcKeeper *keeper, KcBaseModel *base)
{
    TAILQ_REMOVE(&keeper->base_models, base, link);
    free(base);
}

void
KcKeeper_Free(KcKeeper *keeper)
{
    KcPendingLoadRequest *load_request;
    KcAdapterUse *use;
    KcBaseModel *base;

    KcTimers_Clear(keeper->options.timers, &keeper->report_timer);
    while ((load_request = TAILQ_FIRST(&keeper->load_requests)) != NULL) {
        KcKeeper_FreeLoadRequest(keeper, load_request);
    }
    while ((use = TAILQ_FIRST(&keeper->adapter_use_list)) != NULL) {
        free_adapter_use(keeper, use);
    }
    while ((base = TAILQ_FIRST(&keeper->base_models)) != NULL) {
        KcKeeper_FreeBaseModel(keeper, base);
    }
    KcKeeper_DropLostAttempts(keeper, NULL);
    KcSuspects_Clear(&keeper->suspects);
    KcEngineCapacity_Clear(&keeper->capacity);
    KcResidency_Clear(&keeper->residency);
    free(keeper);
}

void
KcKeeper_Start(KcKeeper *keeper, KcTime now)
{
    KcKeeper_RequestReport(keeper, now);
}

void
KcKeeper_SetFence(KcKeeper *keeper, uint64_t fence, KcTime now)
{
    if (fence > keeper->fence) {
        keeper->fence = fence;
    }
    KcKeeper_GiveNextOrder(keeper, now);
}

uint64_t
KcKeeper_Fence(const KcKeeper *keeper)
{
    return keeper->fence;
}

void
KcKeeper_SetCapacity(KcKeeper *keeper, const KcEngineCapacity *capacity,
                     KcTime now)
{
    KcEngineCapacity_Clear(&keeper->capacity);
    KcEngineCapacity_Copy(&keeper->capacity, capacity);
    KcResidency_Resize(&keeper->residency, capacity->adapter_slots);
    /* No orders before a report has been compared with the new slots. */
    keeper->engine_state_known = false;
    KcKeeper_RequestReport(keeper, now);
}

int
KcKeeper_CheckReady(const KcKeeper *keeper)
{
    if (keeper->fence == 0) {
        return KC_ERR_NO_LEASE;
    }
    return keeper->engine_state_known ? 0 : KC_ERR_NO_BACKEND;
}

/* ---- keys ---------------------------------------------------------------- */

/* The key is model/adapter. */
bool
KcKeeper_MakeKey(const char *model, const char *adapter,
                 char key[ADAPTER_KEY_MAX])
{
    size_t length = strlen(model);

    if (length + 1 + strlen(adapter) >= ADAPTER_KEY_MAX) {
        return false;
    }
    KcText_Copy(key, model, ADAPTER_KEY_MAX);
    key[length] = '/';
    KcText_Copy(key + length + 1, adapter, ADAPTER_KEY_MAX - length - 1);
    return true;
}

KcModelState *
KcKeeper_FindOrAddModel(KcKeeper *keeper, const char *key, KcTime now)
{
    KcAdapterRef ref = {.version = 0};

    KcText_Copy(ref.adapter, key, KC_NAME_MAX);
    return KcResidency_FindOrAddModel(&keeper->residency, &ref, now);
}

void
KcKeeper_SplitKey(const KcSlot *slot, char model[KC_NAME_MAX],
                  char adapter[KC_NAME_MAX])
{
    const char *key = slot->model->ref.adapter;
    const char *slash = strchr(key, '/');

    assert(slash != NULL);
    KcText_Copy(model, key, (size_t)(slash - key) + 1);
    KcText_Copy(adapter, slash + 1, KC_NAME_MAX);
}

/* Parses slot->engine_name, "model/adapter@version". */
uint32_t
KcKeeper_SlotVersion(const KcSlot *slot)
{
    const char *separator = strrchr(slot->engine_name, '@');

    return separator != NULL ? (uint32_t)strtoul(separator + 1, NULL, 10) : 0;
}

void
KcKeeper_SetSlotVersion(KcSlot *slot, uint32_t version)
{
    snprintf(slot->engine_name, sizeof(slot->engine_name), "%s@%" PRIu32,
             slot->model->ref.adapter, version);
}

void
KcKeeper_NotifySlot(KcKeeper *keeper, KcLink *link, const KcSlot *slot,
                    KcHeldState state)
{
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];

    KcKeeper_SplitKey(slot, model, adapter);
    keeper->options.ops->notify_gateways(keeper->options.context, link, model,
                                         adapter, KcKeeper_SlotVersion(slot),
                                         state);
}

void
KcKeeper_LogOrder(KcKeeper *keeper, const char *decision, const KcOrder *order,
                  int code)
{
    KcKeeperLogEntry entry = {.decision = decision,
                              .order = order,
                              .code = code,
                              .slot_count = keeper->residency.slot_target,
                              .loading_count = keeper->pace.loads_in_flight,
                              .load_request_count =
                                  keeper->load_request_count};
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        entry.slots_in_use += slot->external_requests > 0 ? 1 : 0;
    }
    keeper->options.ops->log_decision(keeper->options.context, &entry);
}

void
KcKeeper_LogPendingOrder(KcKeeper *keeper, const char *decision, int code)
{
    KcKeeper_LogOrder(keeper, decision, &keeper->pending_order, code);
}

/* ---- gateways ------------------------------------------------------------ */

/* Inserts by priority, the lowest number first, then by age. */
static void
insert_load_request(KcKeeper *keeper, KcPendingLoadRequest *load_request)
{
    KcPendingLoadRequest *next;

    TAILQ_FOREACH (next, &keeper->load_requests, link) {
        if (next->priority > load_request->priority) {
            TAILQ_INSERT_BEFORE(next, load_request, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&keeper->load_requests, load_request, link);
}

/* Tells all gateways of an adapter that waits for its load, so that they wait
 * for it too, and see how many loads wait here.  Not of one that is loaded:
 * requests go to it until it is replaced or found missing. */
static void
tell_waiting(KcKeeper *keeper, KcPendingLoadRequest *load_request, KcTime now)
{
    char key[ADAPTER_KEY_MAX];
    const KcSlot *slot;

    KcKeeper_MakeKey(load_request->model, load_request->adapter, key);
    slot = KcKeeper_FindOrAddModel(keeper, key, now)->slot;
    if (slot != NULL && slot->state != KC_SLOT_EVICTING) {
        return;
    }
    load_request->is_told = true;
    keeper->options.ops->notify_gateways(
        keeper->options.context, NULL, load_request->model,
        load_request->adapter, load_request->version_min, KC_HELD_LOADING);
}

/* Tells of those that wait though orders may be given. */
static void
tell_all_waiting(KcKeeper *keeper, KcTime now)
{
    KcPendingLoadRequest *load_request;

    if (!keeper->engine_state_known || keeper->fence == 0 ||
        keeper->residency.slot_target == 0) {
        return;
    }
    TAILQ_FOREACH (load_request, &keeper->load_requests, link) {
        if (!load_request->is_told && load_request->adapter[0] != '\0') {
            tell_waiting(keeper, load_request, now);
        }
    }
}

void
KcKeeper_OnLoadRequest(KcKeeper *keeper, const char *model,
                       const char *adapter, uint32_t version_min,
                       uint32_t priority, KcTime now)
{
    char key[ADAPTER_KEY_MAX];
    KcPendingLoadRequest *load_request;

    TAILQ_FOREACH (load_request, &keeper->load_requests, link) {
        if (strcmp(load_request->model, model) == 0 &&
            strcmp(load_request->adapter, adapter) == 0) {
            load_request->version_min = version_min > load_request->version_min
                                            ? version_min
                                            : load_request->version_min;
            return;
        }
    }
    if (adapter[0] == '\0' && KcKeeper_FindBaseModel(keeper, model) == NULL) {
        keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                             model, "", 0, KC_HELD_LOADING);
    }
    if (!KcKeeper_MakeKey(model, adapter, key) ||
        keeper->load_request_count >= LOAD_REQUESTS_MAX) {
        keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                             model, adapter, version_min,
                                             KC_HELD_NOT_LOADED);
        return;
    }
    load_request = KcMem_New(sizeof(*load_request));
    KcText_Copy(load_request->model, model, KC_NAME_MAX);
    KcText_Copy(load_request->adapter, adapter, KC_NAME_MAX);
    load_request->version_min = version_min;
    load_request->priority = priority;
    load_request->requested_at = now;
    insert_load_request(keeper, load_request);
    keeper->load_request_count++;
    KcKeeper_GiveNextOrder(keeper, now);
    tell_all_waiting(keeper, now);
    KcKeeper_ScheduleReport(keeper, now);
}

static KcAdapterUse *
find_or_add_adapter_use(KcKeeper *keeper, KcLink *link, const char *key)
{
    KcAdapterUseKey use_key;
    KcAdapterUse *use;

    memset(&use_key, 0, sizeof(use_key));
    use_key.link = link;
    KcText_Copy(use_key.key, key, ADAPTER_KEY_MAX);
    HASH_FIND(hh, keeper->adapter_uses, &use_key, sizeof(use_key), use);
    if (use == NULL) {
        use = KcMem_New(sizeof(*use));
        use->key = use_key;
        HASH_ADD(hh, keeper->adapter_uses, key, sizeof(use->key), use);
        TAILQ_INSERT_TAIL(&keeper->adapter_use_list, use, link);
    }
    return use;
}

/* Updates the slot's requests in flight, which prevent its eviction. */
static void
set_in_flight(KcKeeper *keeper, KcAdapterUse *use, uint32_t in_flight,
              KcTime now)
{
    KcSlot *slot = KcKeeper_FindOrAddModel(keeper, use->key.key, now)->slot;

    if (slot != NULL) {
        slot->external_requests += in_flight;
        slot->external_requests -= use->in_flight < slot->external_requests
                                       ? use->in_flight
                                       : slot->external_requests;
        slot->used_at = now;
    }
    use->in_flight = in_flight;
    if (in_flight == 0) {
        free_adapter_use(keeper, use);
    }
}

void
KcKeeper_OnUsage(KcKeeper *keeper, KcLink *link, const char *model,
                 const char *adapter, uint32_t uses, uint32_t in_flight,
                 KcTime now)
{
    char key[ADAPTER_KEY_MAX];

    if (adapter[0] == '\0' || !KcKeeper_MakeKey(model, adapter, key)) {
        return;
    }
    uses = uses < REPORTED_USES_MAX ? uses : REPORTED_USES_MAX;
    in_flight = in_flight < REPORTED_USES_MAX ? in_flight : REPORTED_USES_MAX;
    for (uint32_t i = 0; i < uses; i++) {
        KcResidency_CountUse(KcKeeper_FindOrAddModel(keeper, key, now), now);
    }
    set_in_flight(keeper, find_or_add_adapter_use(keeper, link, key),
                  in_flight, now);
}

/* A gateway to which everything is told. */
typedef struct Listener {
    KcKeeper *keeper;
    KcLink *link;
} Listener;

static void
tell_suspect(void *context, const KcSuspectNews *news)
{
    const Listener *listener = context;
    const KcKeeperOptions *options = &listener->keeper->options;

    options->ops->send_suspect(options->context, listener->link, NULL, news);
}

void
KcKeeper_OnGatewayConnected(KcKeeper *keeper, KcLink *link, KcTime now)
{
    Listener listener = {keeper, link};
    KcSlot *slot;
    const KcBaseModel *base;

    keeper->options.ops->notify_gateways(keeper->options.context, link, "", "",
                                         0, KC_HELD_SERVER_RESTARTED);
    if (keeper->leaving) {
        keeper->options.ops->notify_gateways(keeper->options.context, link, "",
                                             "", 0, KC_HELD_SERVER_LEAVING);
    }
    TAILQ_FOREACH (base, &keeper->base_models, link) {
        keeper->options.ops->notify_gateways(
            keeper->options.context, link, base->name, "", base->version,
            base->loading ? KC_HELD_LOADING : KC_HELD_LOADED);
    }
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        if (slot->state == KC_SLOT_LOADED) {
            KcKeeper_NotifySlot(keeper, link, slot, KC_HELD_LOADED);
        }
        else if (slot->state == KC_SLOT_LOADING) {
            KcKeeper_NotifySlot(keeper, link, slot, KC_HELD_LOADING);
        }
    }
    KcSuspects_TellAll(&keeper->suspects, tell_suspect, &listener, now);
}

void
KcKeeper_OnGatewayLost(KcKeeper *keeper, KcLink *link, KcTime now)
{
    KcAdapterUse *use;
    KcAdapterUse *next;

    KcKeeper_DropLostAttempts(keeper, link);
    TAILQ_FOREACH_SAFE (use, &keeper->adapter_use_list, link, next) {
        if (use->key.link == link) {
            set_in_flight(keeper, use, 0, now);
        }
    }
    KcKeeper_GiveNextOrder(keeper, now);
}
