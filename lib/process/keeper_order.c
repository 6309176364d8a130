/*
 * Orders of a keeper to its engine: which base models and adapters to load,
 * and which adapters to evict for them.
 */
#include <assert.h>
#include <string.h>

#include "keeper_internal.h"

/* Delay of the next report while the engine's state is not known. */
#define REPORT_RETRY_DELAY (100 * KC_MS)
/* Delay of the next order after the engine refused one. */
#define ORDER_REFUSED_DELAY (50 * KC_MS)
/* A load request is dropped when no load was ordered in this time: the
 * gateways' requests that need it have gone to other engines by then. */
#define LOAD_REQUEST_AGE_MAX (1 * KC_SECOND)

void
KcKeeper_SendPendingOrder(KcKeeper *keeper, KcSlot *slot)
{
    keeper->order_pending = true;
    keeper->pending_slot = slot;
    keeper->options.ops->send_order(keeper->options.context,
                                    &keeper->pending_order);
}

/* Orders to unload a slot's adapter, or to load a version of it. */
static void
send_slot_order(KcKeeper *keeper, KcSlot *slot, bool unload, uint32_t version)
{
    keeper->pending_order = (KcOrder){.unload = unload,
                                      .version = version,
                                      .fence = keeper->fence,
                                      .sequence = keeper->sequence};
    KcKeeper_SplitKey(slot, keeper->pending_order.model,
                      keeper->pending_order.adapter);
    KcKeeper_LogPendingOrder(keeper, unload ? "unload" : "load", 0);
    KcKeeper_SendPendingOrder(keeper, slot);
}

static void
order_load(KcKeeper *keeper, KcSlot *slot,
           const KcPendingLoadRequest *load_request, KcTime now)
{
    char key[ADAPTER_KEY_MAX];

    KcKeeper_MakeKey(load_request->model, load_request->adapter, key);
    KcResidency_BeginLoad(&keeper->residency, slot,
                          KcKeeper_FindOrAddModel(keeper, key, now),
                          keeper->fence, now);
    KcKeeper_SetSlotVersion(slot, load_request->version_min);
    KcPace_Begin(&keeper->pace, now);
    KcCounters_Add(keeper->options.counters, KC_COUNT_LOADS, 1);
    if (!load_request->is_told) {
        KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADING);
    }
    send_slot_order(keeper, slot, false, load_request->version_min);
}

void
KcKeeper_EndLoad(KcKeeper *keeper, KcSlot *slot, int code, KcTime now)
{
    /* A failed load counts as a success here: it fails for reasons that a
     * slower rate of loads would not remedy. */
    KcPace_End(&keeper->pace, 0, now);
    if (code != 0) {
        KcCounters_Add(keeper->options.counters, KC_COUNT_LOAD_FAILURES, 1);
        KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_NOT_LOADED);
    }
    else {
        KcCounters_RecordTime(keeper->options.counters, KC_TIME_LOAD,
                              now - slot->state_changed_at);
        KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADED);
    }
    KcResidency_EndLoad(slot, code, now);
}

static void
order_base_load(KcKeeper *keeper, const char *name, KcTime now)
{
    KcBaseModel *base = KcMem_New(sizeof(*base));

    KcText_Copy(base->name, name, KC_NAME_MAX);
    base->loading = true;
    base->ordered_at = now;
    TAILQ_INSERT_TAIL(&keeper->base_models, base, link);
    keeper->pending_order =
        (KcOrder){.fence = keeper->fence, .sequence = keeper->sequence};
    KcText_Copy(keeper->pending_order.model, name, KC_NAME_MAX);
    KcKeeper_LogPendingOrder(keeper, "load", 0);
    KcKeeper_SendPendingOrder(keeper, NULL);
}

KcBaseModel *
KcKeeper_FindBaseModel(const KcKeeper *keeper, const char *name)
{
    KcBaseModel *base;

    TAILQ_FOREACH (base, &keeper->base_models, link) {
        if (strcmp(base->name, name) == 0) {
            return base;
        }
    }
    return NULL;
}

/* Megabytes of the models and adapters that the engine holds or loads. */
static double
used_megabytes(const KcKeeper *keeper)
{
    const KcBaseModel *base;
    const KcSlot *slot;
    double used = 0;

    TAILQ_FOREACH (base, &keeper->base_models, link) {
        const KcEngineModel *model =
            KcEngineCapacity_FindModel(&keeper->capacity, base->name);

        used += model != NULL ? model->weights_megabytes : 0;
    }
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        char name[KC_NAME_MAX];
        char adapter[KC_NAME_MAX];
        const KcEngineModel *model;

        if (slot->state == KC_SLOT_EMPTY) {
            continue;
        }
        KcKeeper_SplitKey(slot, name, adapter);
        model = KcEngineCapacity_FindModel(&keeper->capacity, name);
        used += model != NULL ? model->adapter_megabytes : 0;
    }
    return used;
}

static bool
has_memory_for(const KcKeeper *keeper, double megabytes)
{
    return used_megabytes(keeper) + megabytes <=
           keeper->capacity.memory_megabytes;
}

/* Name of the base model to load into an engine that has none: the last one,
 * else that of the first load request, else the only one it can hold.  NULL:
 * the engine has a base model, or there is nothing to choose by. */
static const char *
choose_base_model_to_load(const KcKeeper *keeper)
{
    const KcEngineModel *first = TAILQ_FIRST(&keeper->capacity.models);
    const KcPendingLoadRequest *load_request =
        TAILQ_FIRST(&keeper->load_requests);

    if (!TAILQ_EMPTY(&keeper->base_models)) {
        return NULL;
    }
    if (KcEngineCapacity_FindModel(&keeper->capacity,
                                   keeper->last_base_model) != NULL) {
        return keeper->last_base_model;
    }
    if (load_request != NULL) {
        return load_request->model;
    }
    return first != NULL && TAILQ_NEXT(first, link) == NULL ? first->name
                                                            : NULL;
}

/* Returns an empty slot to load into.  NULL: an eviction was ordered first,
 * a surplus slot was removed, or nothing can be evicted (sets *no_victim). */
static KcSlot *
acquire_slot(KcKeeper *keeper, bool *no_victim, KcTime now)
{
    KcResidency *residency = &keeper->residency;
    KcSlot *slot;

    residency->needed_pass++;
    TAILQ_FOREACH (slot, &residency->slots, link) {
        if (slot->state == KC_SLOT_LOADED &&
            now - slot->state_changed_at < EVICTION_AGE_MIN) {
            slot->model->needed_pass = residency->needed_pass;
        }
    }
    slot = KcResidency_ChooseVictim(residency, true, now);
    if (slot == NULL) {
        *no_victim = true;
        return NULL;
    }
    if (slot->state == KC_SLOT_EMPTY &&
        residency->slot_count <= residency->slot_target) {
        return slot;
    }
    if (slot->state == KC_SLOT_EMPTY) {
        /* Remove the surplus slot instead of loading into it. */
        KcResidency_Trim(residency, now);
        return NULL;
    }
    KcResidency_BeginEvict(residency, slot, now);
    KcCounters_Add(keeper->options.counters, KC_COUNT_EVICTIONS, 1);
    KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_NOT_LOADED);
    send_slot_order(keeper, slot, true, 0);
    return NULL;
}

static bool
has_empty_slot(const KcKeeper *keeper)
{
    const KcSlot *slot;
    uint32_t used_slots = 0;

    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        used_slots += slot->state != KC_SLOT_EMPTY ? 1 : 0;
    }
    return used_slots < keeper->residency.slot_target;
}

static bool
is_any_slot_evicting(const KcKeeper *keeper)
{
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        if (slot->state == KC_SLOT_EVICTING) {
            return true;
        }
    }
    return false;
}

/* Reports the state of the requested adapter to every gateway. */
static void
notify_requested_adapter(KcKeeper *keeper,
                         const KcPendingLoadRequest *load_request,
                         KcHeldState state)
{
    keeper->options.ops->notify_gateways(
        keeper->options.context, NULL, load_request->model,
        load_request->adapter, load_request->version_min, state);
}

static void
log_load_request(KcKeeper *keeper, const char *decision,
                 const KcPendingLoadRequest *load_request)
{
    KcOrder order = {.version = load_request->version_min,
                     .fence = keeper->fence,
                     .sequence = keeper->sequence};

    KcText_Copy(order.model, load_request->model, KC_NAME_MAX);
    KcText_Copy(order.adapter, load_request->adapter, KC_NAME_MAX);
    KcKeeper_LogOrder(keeper, decision, &order, KC_ERR_BUSY);
}

/*
 * Returns true while a load request for what is loaded, by the last report,
 * must wait for a newer report, and requests that: its gateway may have been
 * refused by the engine.
 */
static bool
await_newer_report(KcKeeper *keeper, const KcPendingLoadRequest *load_request,
                   KcTime now)
{
    if (keeper->report_requested_at >= load_request->requested_at) {
        return false;
    }
    /* Until then the timer is set: see KcKeeper_ScheduleReport(). */
    if (now - keeper->report_requested_at >=
        keeper->options.loading_report_interval) {
        KcKeeper_RequestReport(keeper, now);
    }
    return true;
}

/*
 * Serves one load request; returns true when it can be freed.  Sets *no_victim
 * when every slot is in use; when it is set already, looks for no slot.
 */
static bool
serve_load_request(KcKeeper *keeper, KcPendingLoadRequest *load_request,
                   bool *no_victim, KcTime now)
{
    char key[ADAPTER_KEY_MAX];
    KcModelState *model;
    KcSlot *slot;
    const KcBaseModel *base =
        KcKeeper_FindBaseModel(keeper, load_request->model);
    const KcEngineModel *engine_model =
        KcEngineCapacity_FindModel(&keeper->capacity, load_request->model);

    if (engine_model == NULL ||
        (base == NULL &&
         !has_memory_for(keeper, engine_model->weights_megabytes))) {
        notify_requested_adapter(keeper, load_request, KC_HELD_NOT_LOADED);
        return true;
    }
    if (base == NULL && !keeper->base_model_busy) {
        order_base_load(keeper, load_request->model, now);
    }
    if (base == NULL || base->loading) {
        return false;
    }
    if (load_request->adapter[0] == '\0') {
        if (await_newer_report(keeper, load_request, now)) {
            return false;
        }
        notify_requested_adapter(keeper, load_request, KC_HELD_LOADED);
        return true;
    }
    KcKeeper_MakeKey(load_request->model, load_request->adapter, key);
    model = KcKeeper_FindOrAddModel(keeper, key, now);
    slot = model->slot;
    if (slot != NULL && slot->state == KC_SLOT_LOADING) {
        return true; /* every gateway is notified when it is loaded */
    }
    if (slot != NULL && slot->state == KC_SLOT_EVICTING) {
        return false; /* the eviction must end before the next load */
    }
    if (slot != NULL &&
        KcKeeper_SlotVersion(slot) >= load_request->version_min) {
        if (await_newer_report(keeper, load_request, now)) {
            return false;
        }
        KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADED);
        return true;
    }
    if (*no_victim || !KcPace_Allows(&keeper->pace, now)) {
        return false;
    }
    if (slot != NULL && !has_empty_slot(keeper)) {
        /* Both versions take a slot until the old one is unloaded. */
        acquire_slot(keeper, no_victim, now);
        return false;
    }
    if (slot != NULL) {
        /* One order replaces the old version; the engine lets requests on the
         * old one finish first. */
        slot->external_requests = 0;
        KcResidency_BeginEvict(&keeper->residency, slot, now);
        KcResidency_EndEvict(slot);
        order_load(keeper, slot, load_request, now);
        return true;
    }
    slot = acquire_slot(keeper, no_victim, now);
    if (slot != NULL &&
        !has_memory_for(keeper, engine_model->adapter_megabytes)) {
        log_load_request(keeper, "no memory", load_request);
        notify_requested_adapter(keeper, load_request, KC_HELD_NOT_LOADED);
        return true;
    }
    if (slot != NULL) {
        order_load(keeper, slot, load_request, now);
    }
    return slot != NULL;
}

void
KcKeeper_GiveNextOrder(KcKeeper *keeper, KcTime now)
{
    KcPendingLoadRequest *load_request;
    KcPendingLoadRequest *next;
    const char *base_model;
    bool no_victim = false;

    if (!keeper->engine_state_known || keeper->fence == 0 ||
        keeper->residency.slot_target == 0 || keeper->order_pending ||
        keeper->report_pending || now < keeper->next_order_at) {
        return;
    }
    base_model = choose_base_model_to_load(keeper);
    if (base_model != NULL && !keeper->base_model_busy) {
        order_base_load(keeper, base_model, now);
    }
    TAILQ_FOREACH_SAFE (load_request, &keeper->load_requests, link, next) {
        if (now - load_request->requested_at > LOAD_REQUEST_AGE_MAX) {
            log_load_request(keeper, "expired", load_request);
            notify_requested_adapter(keeper, load_request, KC_HELD_NOT_LOADED);
            KcKeeper_FreeLoadRequest(keeper, load_request);
            continue;
        }
        if (keeper->order_pending || keeper->report_pending ||
            is_any_slot_evicting(keeper)) {
            break;
        }
        if (serve_load_request(keeper, load_request, &no_victim, now)) {
            KcKeeper_FreeLoadRequest(keeper, load_request);
        }
    }
}

static bool
is_base_model_loading(const KcKeeper *keeper)
{
    const KcBaseModel *base;

    TAILQ_FOREACH (base, &keeper->base_models, link) {
        if (base->loading) {
            return true;
        }
    }
    return false;
}

void
KcKeeper_ScheduleReport(KcKeeper *keeper, KcTime now)
{
    bool is_changing =
        keeper->pace.loads_in_flight > 0 || is_any_slot_evicting(keeper) ||
        is_base_model_loading(keeper) || !TAILQ_EMPTY(&keeper->load_requests);

    KcTime due_at =
        now + (!keeper->engine_state_known ? REPORT_RETRY_DELAY
               : is_changing ? keeper->options.loading_report_interval
                             : keeper->options.idle_report_interval);

    /* Events between two reports bring the next one forward, and never put it
     * off. */
    if (!keeper->order_pending && !keeper->report_pending &&
        (!keeper->report_timer.is_set ||
         due_at < keeper->report_timer.due_at)) {
        KcTimers_Set(keeper->options.timers, &keeper->report_timer, due_at);
    }
}

void
KcKeeper_OnOrderResult(KcKeeper *keeper, KcOrderResult result, KcTime now)
{
    KcSlot *slot = keeper->pending_slot;

    assert(keeper->order_pending);
    keeper->order_pending = false;
    keeper->pending_slot = NULL;
    switch (result) {
    case KC_ORDER_ACCEPTED:
        keeper->sequence++;
        break;
    case KC_ORDER_DONE:
        keeper->sequence++;
        if (keeper->pending_order.unload && slot != NULL) {
            KcResidency_EndEvict(slot);
        }
        break;
    case KC_ORDER_REFUSED:
    case KC_ORDER_UNKNOWN:
        /* No further order before a report shows the engine's state. */
        KcKeeper_LogPendingOrder(
            keeper, result == KC_ORDER_REFUSED ? "refused" : "no answer",
            result == KC_ORDER_REFUSED ? KC_ERR_CONFLICT : KC_ERR_PEER_LOST);
        if (result == KC_ORDER_REFUSED && slot == NULL) {
            KcKeeper_FreeBaseModel(
                keeper,
                KcKeeper_FindBaseModel(keeper, keeper->pending_order.model));
        }
        else if (result == KC_ORDER_REFUSED && !keeper->pending_order.unload) {
            KcKeeper_EndLoad(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        if (result == KC_ORDER_UNKNOWN) {
            keeper->unconfirmed_slot = slot;
        }
        else {
            keeper->next_order_at = now + ORDER_REFUSED_DELAY;
        }
        keeper->engine_state_known = false;
        KcKeeper_RequestReport(keeper, now);
        return;
    }
    KcKeeper_GiveNextOrder(keeper, now);
    KcKeeper_ScheduleReport(keeper, now);
}
