/*
 * Handling of an engine's reports by its keeper: brings slots and base models
 * in line with what the engine holds.
 */
#include <assert.h>
#include <string.h>

#include "keeper_internal.h"

/* The report on the slot's adapter; NULL: the engine does not list it. */
static const KcReplicaInfo *
find_replica_info(const KcEngineReport *report, const KcSlot *slot)
{
    const KcReplicaInfo *replica_info;
    char key[ADAPTER_KEY_MAX];

    TAILQ_FOREACH (replica_info, &report->info.replicas, link) {
        if (replica_info->adapter[0] != '\0' &&
            KcKeeper_MakeKey(replica_info->model, replica_info->adapter,
                             key) &&
            strcmp(key, slot->model->ref.adapter) == 0) {
            return replica_info;
        }
    }
    return NULL;
}

/* Updates one slot to what the engine reports of its adapter. */
static void
reconcile_slot(KcKeeper *keeper, KcSlot *slot, const KcEngineReport *report,
               KcTime now)
{
    const KcReplicaInfo *replica_info;

    if (slot->state == KC_SLOT_EMPTY) {
        return;
    }
    replica_info = find_replica_info(report, slot);
    switch (slot->state) {
    case KC_SLOT_LOADING:
        if (replica_info != NULL && !replica_info->loading &&
            replica_info->version >= KcKeeper_SlotVersion(slot)) {
            KcKeeper_SetSlotVersion(slot, replica_info->version);
            KcKeeper_EndLoad(keeper, slot, 0, now);
        }
        else if (replica_info == NULL &&
                 now - slot->state_changed_at > ORDER_EFFECT_TIMEOUT) {
            KcKeeper_EndLoad(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        break;
    case KC_SLOT_EVICTING:
        if (replica_info == NULL) {
            KcResidency_EndEvict(slot);
        }
        else if (now - slot->state_changed_at > ORDER_EFFECT_TIMEOUT) {
            /* The order was lost, or the engine still waits for requests to
             * end: the adapter is loaded and can be used. */
            slot->state = KC_SLOT_LOADED;
            KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADED);
        }
        break;
    case KC_SLOT_LOADED:
    case KC_SLOT_CLOSING:
        if (replica_info == NULL) {
            KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_NOT_LOADED);
            slot->external_requests = 0;
            KcResidency_MarkLost(slot);
        }
        else if (replica_info->version != KcKeeper_SlotVersion(slot)) {
            KcKeeper_SetSlotVersion(slot, replica_info->version);
            KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADED);
        }
        break;
    case KC_SLOT_EMPTY:
        break;
    }
}

/* Finds an empty slot.  For an engine that holds more than its slots, adds a
 * surplus one: nothing is loaded while there are any. */
static KcSlot *
find_or_add_empty_slot(KcKeeper *keeper)
{
    KcResidency *residency = &keeper->residency;
    uint32_t target = residency->slot_target;
    KcSlot *slot;

    TAILQ_FOREACH (slot, &residency->slots, link) {
        if (slot->state == KC_SLOT_EMPTY) {
            return slot;
        }
    }
    KcResidency_Resize(residency, residency->slot_count + 1);
    residency->slot_target = target;
    return TAILQ_LAST(&residency->slots, KcSlotList);
}

/* Adds an adapter that the engine holds or loads and no slot has, as after an
 * order of an earlier keeper. */
static void
adopt_adapter(KcKeeper *keeper, const KcReplicaInfo *replica_info, KcTime now)
{
    char key[ADAPTER_KEY_MAX];
    KcModelState *model;
    KcSlot *slot;

    if (replica_info->adapter[0] == '\0' ||
        !KcKeeper_MakeKey(replica_info->model, replica_info->adapter, key)) {
        return;
    }
    model = KcKeeper_FindOrAddModel(keeper, key, now);
    if (model->slot != NULL) {
        return;
    }
    slot = find_or_add_empty_slot(keeper);
    KcResidency_BeginLoad(&keeper->residency, slot, model, 0, now);
    KcKeeper_SetSlotVersion(slot, replica_info->version);
    if (replica_info->loading) {
        /* An order that was not answered is being carried out. */
        KcPace_Begin(&keeper->pace, now);
        KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADING);
        return;
    }
    KcResidency_EndLoad(slot, 0, now);
    /* It may be evicted at once, as it was loaded some time ago. */
    slot->state_changed_at = now - EVICTION_AGE_MIN;
    KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADED);
}

/* Updates the base models to those that the engine reports. */
static void
reconcile_base_models(KcKeeper *keeper, const KcEngineReport *report,
                      KcTime now)
{
    const KcReplicaInfo *replica_info;
    KcBaseModel *base;
    KcBaseModel *next;

    TAILQ_FOREACH (base, &keeper->base_models, link) {
        base->in_report = false;
    }
    TAILQ_FOREACH (replica_info, &report->info.replicas, link) {
        bool is_unchanged;

        if (replica_info->adapter[0] != '\0') {
            continue;
        }
        base = KcKeeper_FindBaseModel(keeper, replica_info->model);
        is_unchanged = base != NULL && !base->loading &&
                       base->version == replica_info->version;
        if (base == NULL) {
            base = KcMem_New(sizeof(*base));
            KcText_Copy(base->name, replica_info->model, KC_NAME_MAX);
            TAILQ_INSERT_TAIL(&keeper->base_models, base, link);
        }
        base->in_report = true;
        base->loading = false;
        base->version = replica_info->version;
        KcText_Copy(keeper->last_base_model, base->name, KC_NAME_MAX);
        if (!is_unchanged) {
            keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                                 base->name, "", base->version,
                                                 KC_HELD_LOADED);
        }
    }
    TAILQ_FOREACH_SAFE (base, &keeper->base_models, link, next) {
        bool is_load_pending =
            base->loading && (report->base_model_busy ||
                              now - base->ordered_at < ORDER_EFFECT_TIMEOUT);

        if (!base->in_report && !is_load_pending) {
            keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                                 base->name, "", 0,
                                                 KC_HELD_NOT_LOADED);
            KcKeeper_FreeBaseModel(keeper, base);
        }
    }
}

static void
log_engine(KcKeeper *keeper, KcEngineNews news)
{
    keeper->options.ops->log_engine(keeper->options.context, news,
                                    keeper->engine_started_at_ms);
}

/* The engine restarted and has lost all models and adapters. */
static void
reset_after_restart(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    KcSlot *slot;

    keeper->unconfirmed_slot = NULL;
    if (keeper->engine_started_at_ms != 0) {
        KcCounters_Add(keeper->options.counters, KC_COUNT_ENGINE_RESTARTS, 1);
    }
    keeper->engine_started_at_ms = report->info.started_at_ms;
    log_engine(keeper, KC_ENGINE_STARTED);
    keeper->options.ops->notify_gateways(keeper->options.context, NULL, "", "",
                                         0, KC_HELD_SERVER_RESTARTED);
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        if (slot->state == KC_SLOT_LOADING) {
            KcKeeper_EndLoad(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        else {
            slot->external_requests = 0;
            KcResidency_MarkLost(slot);
        }
    }
}

/*
 * Repeats an order that was not answered and, by the report, has not been
 * carried out.  Should the first one arrive late, the engine refuses it: its
 * sequence number is then out of date.
 */
static void
repeat_unconfirmed_order(KcKeeper *keeper, const KcEngineReport *report)
{
    KcSlot *slot = keeper->unconfirmed_slot;
    bool is_in_report;

    keeper->unconfirmed_slot = NULL;
    if (slot == NULL || keeper->fence == 0 || slot->state == KC_SLOT_EMPTY) {
        return;
    }
    is_in_report = find_replica_info(report, slot) != NULL;
    if ((slot->state == KC_SLOT_LOADING && !is_in_report) ||
        (slot->state == KC_SLOT_EVICTING && is_in_report)) {
        keeper->pending_order.sequence = keeper->sequence;
        keeper->pending_order.fence = keeper->fence;
        KcKeeper_SendPendingOrder(keeper, slot);
    }
}

void
KcKeeper_OnReport(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    const KcReplicaInfo *replica_info;
    KcSlot *slot;

    assert(keeper->report_pending);
    keeper->report_pending = false;
    if (report == NULL) {
        if (keeper->engine_state_known) {
            log_engine(keeper, KC_ENGINE_SILENT);
        }
        keeper->engine_state_known = false;
        KcKeeper_AnswerLostAttempts(keeper, false, now);
        KcKeeper_ScheduleReport(keeper, now);
        return;
    }
    keeper->sequence = report->sequence;
    if (report->info.started_at_ms != keeper->engine_started_at_ms) {
        reset_after_restart(keeper, report, now);
    }
    keeper->base_model_busy = report->base_model_busy;
    if (report->leaving && !keeper->leaving) {
        log_engine(keeper, KC_ENGINE_LEAVING);
        keeper->options.ops->notify_gateways(keeper->options.context, NULL, "",
                                             "", 0, KC_HELD_SERVER_LEAVING);
    }
    keeper->leaving = report->leaving;
    if (keeper->leaving) {
        keeper->left_started_at_ms = keeper->engine_started_at_ms;
    }
    reconcile_base_models(keeper, report, now);
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        reconcile_slot(keeper, slot, report, now);
    }
    TAILQ_FOREACH (replica_info, &report->info.replicas, link) {
        adopt_adapter(keeper, replica_info, now);
    }
    keeper->engine_state_known = true;
    KcKeeper_AnswerLostAttempts(keeper, false, now);
    keeper->gone_at = 0;
    repeat_unconfirmed_order(keeper, report);
    KcKeeper_GiveNextOrder(keeper, now);
    KcKeeper_ScheduleReport(keeper, now);
}
