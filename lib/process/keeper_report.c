/*
 * What a keeper makes of its engine's reports.
 */
#include <assert.h>
#include <string.h>

#include "keeper_internal.h"

static const KcReplicaInfo *
find_held(const KcEngineReport *report, const KcSlot *slot)
{
    const KcReplicaInfo *held;
    char key[KEY_MAX];

    TAILQ_FOREACH (held, &report->info.held, link) {
        if (held->adapter[0] != '\0' &&
            KcKeeper_MakeKey(held->model, held->adapter, key) &&
            strcmp(key, slot->model->ref.adapter) == 0) {
            return held;
        }
    }
    return NULL;
}

/* Brings one slot in line with what the engine says. */
static void
compare_slot(KcKeeper *keeper, KcSlot *slot, const KcEngineReport *report,
             KcTime now)
{
    const KcReplicaInfo *held;

    if (slot->state == KC_SLOT_EMPTY) {
        return;
    }
    held = find_held(report, slot);
    switch (slot->state) {
    case KC_SLOT_LOADING:
        if (held != NULL && !held->loading &&
            held->version >= KcKeeper_SlotVersion(slot)) {
            KcKeeper_SetVersion(slot, held->version);
            KcKeeper_EndLoad(keeper, slot, 0, now);
        }
        else if (held == NULL && now - slot->state_changed_at > LOAD_GRACE) {
            KcKeeper_EndLoad(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        break;
    case KC_SLOT_EVICTING:
        if (held == NULL) {
            KcResidency_EndEvict(slot);
        }
        else if (now - slot->state_changed_at > LOAD_GRACE) {
            /* The order was lost or still waits for requests: the adapter
             * is there, whoever uses it. */
            slot->state = KC_SLOT_LOADED;
            KcKeeper_Tell(keeper, NULL, slot, KC_HELD_LOADED);
        }
        break;
    case KC_SLOT_LOADED:
    case KC_SLOT_CLOSING:
        if (held == NULL) {
            KcKeeper_Tell(keeper, NULL, slot, KC_HELD_NOT_LOADED);
            slot->external_requests = 0;
            KcResidency_MarkLost(slot);
        }
        else if (held->version != KcKeeper_SlotVersion(slot)) {
            KcKeeper_SetVersion(slot, held->version);
            KcKeeper_Tell(keeper, NULL, slot, KC_HELD_LOADED);
        }
        break;
    case KC_SLOT_EMPTY:
        break;
    }
}

/* An empty slot.  An engine that holds more than it should gets a surplus
 * one, so that nothing is loaded until there is room. */
static KcSlot *
empty_slot(KcKeeper *keeper)
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

/* Takes over an adapter that the engine holds without an order of ours. */
static void
adopt(KcKeeper *keeper, const KcReplicaInfo *held, KcTime now)
{
    char key[KEY_MAX];
    KcModelState *model;
    KcSlot *slot;

    if (held->adapter[0] == '\0' ||
        !KcKeeper_MakeKey(held->model, held->adapter, key)) {
        return;
    }
    model = KcKeeper_Model(keeper, key, now);
    if (model->slot != NULL) {
        return;
    }
    slot = empty_slot(keeper);
    KcResidency_BeginLoad(&keeper->residency, slot, model, 0, now);
    KcKeeper_SetVersion(slot, held->version);
    if (held->loading) {
        /* An order that had no answer is being carried out after all. */
        KcPace_Begin(&keeper->pace, now);
        KcKeeper_Tell(keeper, NULL, slot, KC_HELD_LOADING);
        return;
    }
    KcResidency_EndLoad(slot, 0, now);
    slot->state_changed_at = now - FRESH;
    KcKeeper_Tell(keeper, NULL, slot, KC_HELD_LOADED);
}

/* Brings the base models in line with what the engine says. */
static void
compare_bases(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    const KcReplicaInfo *held;
    KcKeeperBase *base;
    KcKeeperBase *next;

    TAILQ_FOREACH (base, &keeper->bases, link) {
        base->seen = false;
    }
    TAILQ_FOREACH (held, &report->info.held, link) {
        bool told;

        if (held->adapter[0] != '\0') {
            continue;
        }
        base = KcKeeper_FindBase(keeper, held->model);
        told =
            base != NULL && !base->loading && base->version == held->version;
        if (base == NULL) {
            base = KcMem_New(sizeof(*base));
            KcText_Copy(base->name, held->model, KC_NAME_MAX);
            TAILQ_INSERT_TAIL(&keeper->bases, base, link);
        }
        base->seen = true;
        base->loading = false;
        base->version = held->version;
        KcText_Copy(keeper->last_base, base->name, KC_NAME_MAX);
        if (!told) {
            keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                                 base->name, "", base->version,
                                                 KC_HELD_LOADED);
        }
    }
    TAILQ_FOREACH_SAFE (base, &keeper->bases, link, next) {
        bool begun = base->loading && (report->base_model_busy ||
                                       now - base->ordered < LOAD_GRACE);

        if (!base->seen && !begun) {
            keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                                 base->name, "", 0,
                                                 KC_HELD_NOT_LOADED);
            KcKeeper_FreeBase(keeper, base);
        }
    }
}

/* The engine started anew: it holds nothing of before. */
static void
start_anew(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    KcSlot *slot;

    keeper->unsure = NULL;
    if (keeper->born != 0) {
        KcCounters_Add(keeper->options.counters, KC_COUNT_ENGINE_RESTARTS, 1);
    }
    keeper->born = report->info.started_at_ms;
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
 * An order that had no answer and, by the report, has not been carried out is
 * given again.  Should the first one be carried out late, the number of orders
 * that it expects is no longer right.
 */
static void
order_again(KcKeeper *keeper, const KcEngineReport *report)
{
    KcSlot *slot = keeper->unsure;
    bool held;

    keeper->unsure = NULL;
    if (slot == NULL || keeper->fence == 0 || slot->state == KC_SLOT_EMPTY) {
        return;
    }
    held = find_held(report, slot) != NULL;
    if ((slot->state == KC_SLOT_LOADING && !held) ||
        (slot->state == KC_SLOT_EVICTING && held)) {
        keeper->order.sequence = keeper->sequence;
        keeper->order.fence = keeper->fence;
        KcKeeper_GiveOrder(keeper, slot);
    }
}

void
KcKeeper_OnReport(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    const KcReplicaInfo *held;
    KcSlot *slot;

    assert(keeper->asking);
    keeper->asking = false;
    if (report == NULL) {
        keeper->known = false;
        KcKeeper_Plan(keeper, now);
        return;
    }
    keeper->sequence = report->sequence;
    if (report->info.started_at_ms != keeper->born) {
        start_anew(keeper, report, now);
    }
    keeper->busy = report->base_model_busy;
    if (report->leaving && !keeper->leaving) {
        keeper->options.ops->notify_gateways(keeper->options.context, NULL, "",
                                             "", 0, KC_HELD_SERVER_LEAVING);
    }
    keeper->leaving = report->leaving;
    compare_bases(keeper, report, now);
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        compare_slot(keeper, slot, report, now);
    }
    TAILQ_FOREACH (held, &report->info.held, link) {
        adopt(keeper, held, now);
    }
    keeper->known = true;
    order_again(keeper, report);
    KcKeeper_Pump(keeper, now);
    KcKeeper_Plan(keeper, now);
}
