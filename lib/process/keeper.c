/*
 * The keeper of one engine's adapters: its life, names, and the gateways'
 * side.
 *
 * One call to the engine is outstanding at a time, an order or a question,
 * so that each answer tells of a known state.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "keeper_internal.h"

/* Adapters on their way to the engine at once. */
#define COMING_MAX 3
/* Requests for adapters that are remembered; more are refused. */
#define WANTS_MAX 256
/* Time of an undisturbed load, for the pace; the platform's sheet. */
#define NOMINAL_LOAD (250 * KC_MS)

void
KcKeeperOptions_Init(KcKeeperOptions *options)
{
    *options = (KcKeeperOptions){.idle_report_interval = 500 * KC_MS,
                                 .loading_report_interval = 40 * KC_MS};
}

void
KcKeeper_Ask(KcKeeper *keeper)
{
    if (keeper->asking || keeper->ordering) {
        return;
    }
    keeper->asking = true;
    keeper->options.ops->request_report(keeper->options.context);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    KcKeeper_Ask(timer->owner);
}

KcKeeper *
KcKeeper_Create(const KcKeeperOptions *options)
{
    KcKeeper *keeper = KcMem_New(sizeof(*keeper));

    keeper->options = *options;
    TAILQ_INIT(&keeper->wants);
    TAILQ_INIT(&keeper->use_list);
    TAILQ_INIT(&keeper->bases);
    KcEngineCapacity_Init(&keeper->capacity);
    KcResidency_Init(&keeper->residency, 0, KcVictim_FindPolicy("kcc"));
    KcPace_Init(&keeper->pace, NOMINAL_LOAD, NOMINAL_LOAD);
    keeper->pace.in_flight_max = COMING_MAX;
    KcTimer_Init(&keeper->timer, on_timer, keeper);
    return keeper;
}

void
KcKeeper_FreeWant(KcKeeper *keeper, KcKeeperWant *want)
{
    TAILQ_REMOVE(&keeper->wants, want, link);
    keeper->want_count--;
    free(want);
}

static void
free_use(KcKeeper *keeper, KcKeeperUse *use)
{
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(keeper->uses, use);
    TAILQ_REMOVE(&keeper->use_list, use, link);
    free(use);
}

void
KcKeeper_FreeBase(KcKeeper *keeper, KcKeeperBase *base)
{
    TAILQ_REMOVE(&keeper->bases, base, link);
    free(base);
}

void
KcKeeper_Free(KcKeeper *keeper)
{
    KcKeeperWant *want;
    KcKeeperUse *use;
    KcKeeperBase *base;

    KcTimers_Clear(keeper->options.timers, &keeper->timer);
    while ((want = TAILQ_FIRST(&keeper->wants)) != NULL) {
        KcKeeper_FreeWant(keeper, want);
    }
    while ((use = TAILQ_FIRST(&keeper->use_list)) != NULL) {
        free_use(keeper, use);
    }
    while ((base = TAILQ_FIRST(&keeper->bases)) != NULL) {
        KcKeeper_FreeBase(keeper, base);
    }
    KcEngineCapacity_Clear(&keeper->capacity);
    KcResidency_Clear(&keeper->residency);
    free(keeper);
}

void
KcKeeper_Start(KcKeeper *keeper, KcTime now)
{
    (void)now;
    KcKeeper_Ask(keeper);
}

void
KcKeeper_SetFence(KcKeeper *keeper, uint64_t fence, KcTime now)
{
    if (fence > keeper->fence) {
        keeper->fence = fence;
    }
    KcKeeper_Pump(keeper, now);
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
    (void)now;
    KcEngineCapacity_Clear(&keeper->capacity);
    KcEngineCapacity_Copy(&keeper->capacity, capacity);
    KcResidency_Resize(&keeper->residency, capacity->adapter_slots);
    /* What the engine holds is matched with the new places first. */
    keeper->known = false;
    KcKeeper_Ask(keeper);
}

int
KcKeeper_CheckReady(const KcKeeper *keeper)
{
    if (keeper->fence == 0) {
        return KC_ERR_NO_LEASE;
    }
    return keeper->known ? 0 : KC_ERR_NO_BACKEND;
}

/* ---- names --------------------------------------------------------------- */

/* Names an adapter in the residency: model/adapter.  False: too long. */
bool
KcKeeper_MakeKey(const char *model, const char *adapter, char key[KEY_MAX])
{
    size_t length = strlen(model);

    if (length + 1 + strlen(adapter) >= KEY_MAX) {
        return false;
    }
    KcText_Copy(key, model, KEY_MAX);
    key[length] = '/';
    KcText_Copy(key + length + 1, adapter, KEY_MAX - length - 1);
    return true;
}

KcModelState *
KcKeeper_Model(KcKeeper *keeper, const char *key, KcTime now)
{
    KcAdapterRef ref = {.version = 0};

    KcText_Copy(ref.adapter, key, KC_NAME_MAX);
    return KcResidency_FindOrAddModel(&keeper->residency, &ref, now);
}

/* Splits the key of a slot's adapter. */
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

/* The version of a slot's adapter stands in its name at the engine. */
uint32_t
KcKeeper_SlotVersion(const KcSlot *slot)
{
    const char *at = strrchr(slot->engine_name, '@');

    return at != NULL ? (uint32_t)strtoul(at + 1, NULL, 10) : 0;
}

void
KcKeeper_SetVersion(KcSlot *slot, uint32_t version)
{
    snprintf(slot->engine_name, sizeof(slot->engine_name), "%s@%" PRIu32,
             slot->model->ref.adapter, version);
}

void
KcKeeper_Tell(KcKeeper *keeper, KcLink *link, const KcSlot *slot,
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
KcKeeper_RecordOrder(KcKeeper *keeper, const char *decision,
                     const KcOrder *request, int code)
{
    KcKeeperLogEntry entry = {.decision = decision,
                              .order = request,
                              .code = code,
                              .slot_count = keeper->residency.slot_target,
                              .loading_count = keeper->pace.in_flight,
                              .load_request_count = keeper->want_count};
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        entry.slots_in_use += slot->external_requests > 0 ? 1 : 0;
    }
    keeper->options.ops->log_decision(keeper->options.context, &entry);
}

void
KcKeeper_Record(KcKeeper *keeper, const char *decision, int code)
{
    KcKeeper_RecordOrder(keeper, decision, &keeper->order, code);
}

/* ---- gateways ------------------------------------------------------------ */

/* The most urgent first, then the oldest. */
static void
insert_want(KcKeeper *keeper, KcKeeperWant *want)
{
    KcKeeperWant *at;

    TAILQ_FOREACH (at, &keeper->wants, link) {
        if (at->priority > want->priority) {
            TAILQ_INSERT_BEFORE(at, want, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&keeper->wants, want, link);
}

void
KcKeeper_OnLoadRequest(KcKeeper *keeper, const char *model,
                       const char *adapter, uint32_t version,
                       uint32_t priority, KcTime now)
{
    char key[KEY_MAX];
    KcKeeperWant *want;

    TAILQ_FOREACH (want, &keeper->wants, link) {
        if (strcmp(want->model, model) == 0 &&
            strcmp(want->adapter, adapter) == 0) {
            want->version = version > want->version ? version : want->version;
            return;
        }
    }
    if (adapter[0] == '\0' && KcKeeper_FindBase(keeper, model) == NULL) {
        keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                             model, "", 0, KC_HELD_LOADING);
    }
    if (!KcKeeper_MakeKey(model, adapter, key) ||
        keeper->want_count >= WANTS_MAX) {
        keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                             model, adapter, version,
                                             KC_HELD_NOT_LOADED);
        return;
    }
    want = KcMem_New(sizeof(*want));
    KcText_Copy(want->model, model, KC_NAME_MAX);
    KcText_Copy(want->adapter, adapter, KC_NAME_MAX);
    want->version = version;
    want->priority = priority;
    want->since = now;
    insert_want(keeper, want);
    keeper->want_count++;
    KcKeeper_Pump(keeper, now);
    KcKeeper_Plan(keeper, now);
}

static KcKeeperUse *
find_use(KcKeeper *keeper, KcLink *link, const char *key)
{
    KcKeeperUseKey wanted;
    KcKeeperUse *use;

    memset(&wanted, 0, sizeof(wanted));
    wanted.link = link;
    KcText_Copy(wanted.key, key, KEY_MAX);
    HASH_FIND(hh, keeper->uses, &wanted, sizeof(wanted), use);
    if (use == NULL) {
        use = KcMem_New(sizeof(*use));
        use->key = wanted;
        HASH_ADD(hh, keeper->uses, key, sizeof(use->key), use);
        TAILQ_INSERT_TAIL(&keeper->use_list, use, link);
    }
    return use;
}

/* Requests in flight keep a slot from being evicted. */
static void
set_in_flight(KcKeeper *keeper, KcKeeperUse *use, uint32_t in_flight,
              KcTime now)
{
    KcSlot *slot = KcKeeper_Model(keeper, use->key.key, now)->slot;

    if (slot != NULL) {
        slot->external_requests += in_flight;
        slot->external_requests -= use->in_flight < slot->external_requests
                                       ? use->in_flight
                                       : slot->external_requests;
        slot->used_at = now;
    }
    use->in_flight = in_flight;
    if (in_flight == 0) {
        free_use(keeper, use);
    }
}

void
KcKeeper_OnUsage(KcKeeper *keeper, KcLink *link, const char *model,
                 const char *adapter, uint32_t uses, uint32_t in_flight,
                 KcTime now)
{
    char key[KEY_MAX];

    if (adapter[0] == '\0' || !KcKeeper_MakeKey(model, adapter, key)) {
        return;
    }
    for (uint32_t i = 0; i < uses; i++) {
        KcResidency_CountUse(KcKeeper_Model(keeper, key, now), now);
    }
    set_in_flight(keeper, find_use(keeper, link, key), in_flight, now);
}

void
KcKeeper_OnGatewayConnected(KcKeeper *keeper, KcLink *link, KcTime now)
{
    KcSlot *slot;

    const KcKeeperBase *base;

    (void)now;
    keeper->options.ops->notify_gateways(keeper->options.context, link, "", "",
                                         0, KC_HELD_SERVER_RESTARTED);
    if (keeper->leaving) {
        keeper->options.ops->notify_gateways(keeper->options.context, link, "",
                                             "", 0, KC_HELD_SERVER_LEAVING);
    }
    TAILQ_FOREACH (base, &keeper->bases, link) {
        keeper->options.ops->notify_gateways(
            keeper->options.context, link, base->name, "", base->version,
            base->loading ? KC_HELD_LOADING : KC_HELD_LOADED);
    }
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        if (slot->state == KC_SLOT_LOADED) {
            KcKeeper_Tell(keeper, link, slot, KC_HELD_LOADED);
        }
        else if (slot->state == KC_SLOT_LOADING) {
            KcKeeper_Tell(keeper, link, slot, KC_HELD_LOADING);
        }
    }
}

void
KcKeeper_OnGatewayLost(KcKeeper *keeper, KcLink *link, KcTime now)
{
    KcKeeperUse *use;
    KcKeeperUse *next;

    TAILQ_FOREACH_SAFE (use, &keeper->use_list, link, next) {
        if (use->key.link == link) {
            set_in_flight(keeper, use, 0, now);
        }
    }
    KcKeeper_Pump(keeper, now);
}
