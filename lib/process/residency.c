/*
 * The adapters of one engine: states and pins of its slots, choice of the
 * slot to evict, and use of each model.
 */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_residency.h"

/* The aged count of uses halves in this time. */
#define FREQUENCY_HALF_LIFE (60 * KC_SECOND)
/* Models known at once; beyond this idle ones are removed. */
#define MODELS_MAX 4096
/* Delay after failed loads in a row: doubles from the first to the last. */
#define LOAD_RETRY_DELAY_MIN (500 * KC_MS)
#define LOAD_RETRY_DELAY_MAX (60 * KC_SECOND)

void
KcResidency_Init(KcResidency *residency, uint32_t slots,
                 const KcVictimPolicy *policy)
{
    memset(residency, 0, sizeof(*residency));
    TAILQ_INIT(&residency->slots);
    TAILQ_INIT(&residency->model_list);
    residency->policy = policy;
    residency->model_max = MODELS_MAX;
    KcResidency_Resize(residency, slots);
}

void
KcResidency_Resize(KcResidency *residency, uint32_t slots)
{
    residency->slot_target = slots;
    while (residency->slot_count < slots) {
        KcSlot *slot = KcMem_New(sizeof(*slot));

        slot->number = residency->slot_count++;
        TAILQ_INSERT_TAIL(&residency->slots, slot, link);
    }
}

/* Removes one empty slot; false when there is none. */
static bool
remove_empty_slot(KcResidency *residency)
{
    KcSlot *slot;

    TAILQ_FOREACH (slot, &residency->slots, link) {
        if (slot->state == KC_SLOT_EMPTY) {
            TAILQ_REMOVE(&residency->slots, slot, link);
            residency->slot_count--;
            free(slot);
            return true;
        }
    }
    return false;
}

/* Is a slot being evicted, or closed and waiting for its requests to end? */
static bool
is_any_slot_emptying(const KcResidency *residency)
{
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &residency->slots, link) {
        if (slot->state == KC_SLOT_EVICTING ||
            (slot->state == KC_SLOT_CLOSING &&
             slot->pins + slot->foreign > 0)) {
            return true;
        }
    }
    return false;
}

KcSlot *
KcResidency_Trim(KcResidency *residency, KcTime now)
{
    KcSlot *slot;

    while (residency->slot_count > residency->slot_target) {
        if (!remove_empty_slot(residency)) {
            break;
        }
    }
    if (residency->slot_count <= residency->slot_target ||
        is_any_slot_emptying(residency)) {
        return NULL;
    }
    slot = KcResidency_Victim(residency, false, now);
    if (slot == NULL) {
        KcResidency_CloseOne(residency, now);
    }
    return slot;
}

static void
free_model(KcResidency *residency, KcModelState *model)
{
    HASH_DEL(residency->models, model);
    TAILQ_REMOVE(&residency->model_list, model, link);
    residency->model_count--;
    free(model);
}

void
KcResidency_Clear(KcResidency *residency)
{
    KcSlot *slot;
    KcModelState *model;

    while ((slot = TAILQ_FIRST(&residency->slots)) != NULL) {
        TAILQ_REMOVE(&residency->slots, slot, link);
        free(slot);
    }
    while ((model = TAILQ_FIRST(&residency->model_list)) != NULL) {
        free_model(residency, model);
    }
}

/* If there are too many models, removes the least recently used one that has
 * no slot and no work waiting for it. */
static void
forget_idle_model(KcResidency *residency)
{
    KcModelState *model;

    if (residency->model_count < residency->model_max) {
        return;
    }
    TAILQ_FOREACH (model, &residency->model_list, link) {
        if (model->slot == NULL && model->waiting == 0) {
            free_model(residency, model);
            return;
        }
    }
}

KcModelState *
KcResidency_Model(KcResidency *residency, const KcModelRef *ref, KcTime now)
{
    KcModelState *model;
    char key[sizeof(model->key)];

    KcModelRef_Format(ref, key);
    HASH_FIND_STR(residency->models, key, model);
    if (model != NULL) {
        TAILQ_REMOVE(&residency->model_list, model, link);
        TAILQ_INSERT_TAIL(&residency->model_list, model, link);
        return model;
    }
    forget_idle_model(residency);
    model = KcMem_New(sizeof(*model));
    KcName_Copy(model->key, key, sizeof(model->key));
    model->ref = *ref;
    model->frequency_updated_at = now;
    HASH_ADD_STR(residency->models, key, model);
    TAILQ_INSERT_TAIL(&residency->model_list, model, link);
    residency->model_count++;
    return model;
}

double
KcResidency_Frequency(const KcModelState *model, KcTime now)
{
    double age = (double)(now - model->frequency_updated_at) /
                 (double)FREQUENCY_HALF_LIFE;

    return model->frequency * exp2(-age);
}

void
KcResidency_Use(KcModelState *model, KcTime now)
{
    model->frequency = KcResidency_Frequency(model, now) + 1.0;
    model->frequency_updated_at = now;
}

bool
KcResidency_Ready(const KcModelState *model)
{
    return model->slot != NULL && model->slot->state == KC_SLOT_READY;
}

void
KcResidency_Pin(KcResidency *residency, KcSlot *slot, KcTime now)
{
    assert(slot->state == KC_SLOT_READY && !slot->gone);
    slot->inflation = residency->inflation;
    slot->pins++;
    slot->used = now;
}

void
KcResidency_Unpin(KcSlot *slot)
{
    assert(slot->pins > 0);
    slot->pins--;
    if (slot->pins == 0 && slot->gone) {
        KcResidency_Forget(slot);
    }
}

static double
keep_value(const KcResidency *residency, const KcSlot *slot, KcTime now)
{
    return residency->policy->value(slot, now);
}

KcSlot *
KcResidency_Victim(KcResidency *residency, bool keep_needed, KcTime now)
{
    KcSlot *slot;
    KcSlot *victim = NULL;
    double lowest_value = 0;

    TAILQ_FOREACH (slot, &residency->slots, link) {
        bool is_evictable =
            slot->state == KC_SLOT_READY || slot->state == KC_SLOT_CLOSING;
        double value;

        if (slot->state == KC_SLOT_EMPTY) {
            return slot;
        }
        if (!is_evictable || slot->pins > 0 || slot->foreign > 0) {
            continue;
        }
        if (keep_needed && slot->model->needed == residency->pass &&
            residency->pass > 0 && slot->state == KC_SLOT_READY) {
            continue;
        }
        value = keep_value(residency, slot, now);
        if (victim == NULL || value < lowest_value) {
            victim = slot;
            lowest_value = value;
        }
    }
    return victim;
}

KcSlot *
KcResidency_CloseOne(KcResidency *residency, KcTime now)
{
    KcSlot *slot;
    KcSlot *chosen = NULL;
    double lowest_value = 0;

    TAILQ_FOREACH (slot, &residency->slots, link) {
        double value;

        if (slot->state != KC_SLOT_READY) {
            continue;
        }
        value = keep_value(residency, slot, now);
        if (chosen == NULL || value < lowest_value) {
            chosen = slot;
            lowest_value = value;
        }
    }
    if (chosen != NULL) {
        chosen->state = KC_SLOT_CLOSING;
    }
    return chosen;
}

void
KcResidency_BeginLoad(KcResidency *residency, KcSlot *slot,
                      KcModelState *model, uint64_t fence, KcTime now)
{
    assert(slot->state == KC_SLOT_EMPTY && slot->pins == 0);
    assert(model->slot == NULL);
    slot->state = KC_SLOT_LOADING;
    slot->model = model;
    slot->fence = fence;
    slot->ordered = now;
    slot->used = now;
    slot->inflation = residency->inflation;
    model->slot = slot;
}

static void
clear_slot(KcSlot *slot)
{
    assert(slot->pins == 0);
    slot->model->slot = NULL;
    slot->model = NULL;
    slot->state = KC_SLOT_EMPTY;
    slot->gone = false;
    slot->foreign = 0;
    slot->name[0] = '\0';
}

void
KcResidency_EndLoad(KcSlot *slot, int code, KcTime now)
{
    KcModelState *model = slot->model;
    KcTime retry_delay = LOAD_RETRY_DELAY_MIN;

    assert(slot->state == KC_SLOT_LOADING);
    if (code == 0) {
        slot->state = KC_SLOT_READY;
        slot->ordered = now;
        model->failures = 0;
        model->ready_at = now;
        return;
    }
    for (uint32_t i = 0;
         i < model->failures && retry_delay < LOAD_RETRY_DELAY_MAX; i++) {
        retry_delay *= 2;
    }
    model->failures++;
    model->retry_at =
        now + (retry_delay < LOAD_RETRY_DELAY_MAX ? retry_delay
                                                  : LOAD_RETRY_DELAY_MAX);
    clear_slot(slot);
}

void
KcResidency_BeginEvict(KcResidency *residency, KcSlot *slot, KcTime now)
{
    assert(slot->state == KC_SLOT_READY || slot->state == KC_SLOT_CLOSING);
    assert(slot->pins == 0 && slot->foreign == 0);
    residency->inflation = keep_value(residency, slot, now);
    slot->state = KC_SLOT_EVICTING;
    slot->ordered = now;
}

void
KcResidency_EndEvict(KcSlot *slot)
{
    assert(slot->state == KC_SLOT_EVICTING);
    clear_slot(slot);
}

void
KcResidency_Forget(KcSlot *slot)
{
    if (slot->state == KC_SLOT_EMPTY) {
        return;
    }
    if (slot->pins > 0) {
        slot->state = KC_SLOT_CLOSING;
        slot->gone = true;
        return;
    }
    clear_slot(slot);
}
