/*
 * Handling of an engine's reports by its keeper: brings slots and base models
 * in line with what the engine holds.
 */
#include <assert.h>
#include <string.h>

#include "keeper_internal.h"

static const KcHeldInfo *
find_held(const KcEngineReport *report, const KcSlot *slot)
{
    const KcHeldInfo *held;
    char key[ADAPTER_KEY_MAX];

    TAILQ_FOREACH (held, &report->info.held, link) {
        if (held->adapter[0] != '\0' &&
            KcKeeper_MakeKey(held->model, held->adapter, key) &&
            strcmp(key, slot->model->ref.adapter) == 0) {
            return held;
        }
    }
    return NULL;
}

/* Updates one slot to what the engine reports of its adapter. */
static void
reconcile_slot(KcKeeper *keeper, KcSlot *slot, const KcEngineReport *report,
               KcTime now)
{
    const KcHeldInfo *held;

    if (slot->state == KC_SLOT_EMPTY) {
        return;
    }
    held = find_held(report, slot);
    switch (slot->state) {
    case KC_SLOT_LOADING:
        if (held != NULL && !held->coming &&
            held->version >= KcKeeper_SlotVersion(slot)) {
            KcKeeper_SetSlotVersion(slot, held->version);
            KcKeeper_EndLoad(keeper, slot, 0, now);
        }
        else if (held == NULL && now - slot->ordered > ORDER_EFFECT_TIMEOUT) {
            KcKeeper_EndLoad(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        break;
    case KC_SLOT_EVICTING:
        if (held == NULL) {
            KcResidency_EndEvict(slot);
        }
        else if (now - slot->ordered > ORDER_EFFECT_TIMEOUT) {
            /* The order was lost, or the engine still waits for requests to
             * end: the adapter is loaded and can be used. */
            slot->state = KC_SLOT_READY;
            KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADED);
        }
        break;
    case KC_SLOT_READY:
    case KC_SLOT_CLOSING:
        if (held == NULL) {
            KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_GONE);
            slot->foreign = 0;
            KcResidency_Forget(slot);
        }
        else if (held->version != KcKeeper_SlotVersion(slot)) {
            KcKeeper_SetSlotVersion(slot, held->version);
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
adopt_adapter(KcKeeper *keeper, const KcHeldInfo *held, KcTime now)
{
    char key[ADAPTER_KEY_MAX];
    KcModelState *model;
    KcSlot *slot;

    if (held->adapter[0] == '\0' ||
        !KcKeeper_MakeKey(held->model, held->adapter, key)) {
        return;
    }
    model = KcKeeper_FindOrAddModel(keeper, key, now);
    if (model->slot != NULL) {
        return;
    }
    slot = find_or_add_empty_slot(keeper);
    KcResidency_BeginLoad(&keeper->residency, slot, model, 0, now);
    KcKeeper_SetSlotVersion(slot, held->version);
    if (held->coming) {
        /* An order that was not answered is being carried out. */
        KcPace_Begin(&keeper->pace, now);
        KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_COMING);
        return;
    }
    KcResidency_EndLoad(slot, 0, now);
    slot->ordered = now - EVICTION_AGE_MIN;
    KcKeeper_NotifySlot(keeper, NULL, slot, KC_HELD_LOADED);
}

/* Updates the base models to those that the engine reports. */
static void
reconcile_base_models(KcKeeper *keeper, const KcEngineReport *report,
                      KcTime now)
{
    const KcHeldInfo *held;
    KcBaseModel *base;
    KcBaseModel *next;

    TAILQ_FOREACH (base, &keeper->base_models, link) {
        base->in_report = false;
    }
    TAILQ_FOREACH (held, &report->info.held, link) {
        bool unchanged;

        if (held->adapter[0] != '\0') {
            continue;
        }
        base = KcKeeper_FindBaseModel(keeper, held->model);
        unchanged =
            base != NULL && !base->loading && base->version == held->version;
        if (base == NULL) {
            base = KcMem_New(sizeof(*base));
            KcName_Copy(base->name, held->model, KC_NAME_MAX);
            TAILQ_INSERT_TAIL(&keeper->base_models, base, link);
        }
        base->in_report = true;
        base->loading = false;
        base->version = held->version;
        KcName_Copy(keeper->last_base_model, base->name, KC_NAME_MAX);
        if (!unchanged) {
            keeper->options.ops->tell(keeper->options.context, NULL,
                                      base->name, "", base->version,
                                      KC_HELD_LOADED);
        }
    }
    TAILQ_FOREACH_SAFE (base, &keeper->base_models, link, next) {
        bool load_pending =
            base->loading &&
            (report->busy || now - base->ordered_at < ORDER_EFFECT_TIMEOUT);

        if (!base->in_report && !load_pending) {
            keeper->options.ops->tell(keeper->options.context, NULL,
                                      base->name, "", 0, KC_HELD_GONE);
            KcKeeper_FreeBaseModel(keeper, base);
        }
    }
}

/* The engine restarted and has lost all models and adapters. */
static void
reset_after_restart(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    KcSlot *slot;

    keeper->unconfirmed_slot = NULL;
    if (keeper->engine_started_at != 0) {
        KcCounters_Add(keeper->options.counters, KC_COUNT_ENGINE_RESTARTS, 1);
    }
    keeper->engine_started_at = report->info.born;
    keeper->options.ops->tell(keeper->options.context, NULL, "", "", 0,
                              KC_HELD_NOTHING);
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        if (slot->state == KC_SLOT_LOADING) {
            KcKeeper_EndLoad(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        else {
            slot->foreign = 0;
            KcResidency_Forget(slot);
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
    bool held;

    keeper->unconfirmed_slot = NULL;
    if (slot == NULL || keeper->fence == 0 || slot->state == KC_SLOT_EMPTY) {
        return;
    }
    held = find_held(report, slot) != NULL;
    if ((slot->state == KC_SLOT_LOADING && !held) ||
        (slot->state == KC_SLOT_EVICTING && held)) {
        keeper->pending_order.sequence = keeper->sequence;
        keeper->pending_order.fence = keeper->fence;
        KcKeeper_SendPendingOrder(keeper, slot);
    }
}

void
KcKeeper_OnReport(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    const KcHeldInfo *held;
    KcSlot *slot;

    assert(keeper->report_pending);
    keeper->report_pending = false;
    if (report == NULL) {
        keeper->engine_state_known = false;
        KcKeeper_ScheduleReport(keeper, now);
        return;
    }
    keeper->sequence = report->sequence;
    if (report->info.born != keeper->engine_started_at) {
        reset_after_restart(keeper, report, now);
    }
    keeper->base_model_busy = report->busy;
    if (report->leaving && !keeper->leaving) {
        keeper->options.ops->tell(keeper->options.context, NULL, "", "", 0,
                                  KC_HELD_LEAVING);
    }
    keeper->leaving = report->leaving;
    reconcile_base_models(keeper, report, now);
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        reconcile_slot(keeper, slot, report, now);
    }
    TAILQ_FOREACH (held, &report->info.held, link) {
        adopt_adapter(keeper, held, now);
    }
    keeper->engine_state_known = true;
    repeat_unconfirmed_order(keeper, report);
    KcKeeper_GiveNextOrder(keeper, now);
    KcKeeper_ScheduleReport(keeper, now);
}
