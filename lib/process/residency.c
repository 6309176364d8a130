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
/* Models whose use is tracked; above this number idle ones are removed. */
#define MODELS_MAX 4096
/* Delay of the next load after a failed one; doubles with each further failure
 * in a row. */
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

        slot->slot_number = residency->slot_count++;
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
             slot->pins + slot->external_requests > 0)) {
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
    slot = KcResidency_ChooseVictim(residency, false, now);
    if (slot == NULL) {
        KcResidency_CloseSlot(residency, now);
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
        if (model->slot == NULL && model->waiting_works == 0) {
            free_model(residency, model);
            return;
        }
    }
}

KcModelState *
KcResidency_FindOrAddModel(KcResidency *residency, const KcAdapterRef *ref,
                           KcTime now)
{
    KcModelState *model;
    char key[sizeof(model->key)];

    KcAdapterRef_Format(ref, key);
    HASH_FIND_STR(residency->models, key, model);
    if (model != NULL) {
        TAILQ_REMOVE(&residency->model_list, model, link);
        TAILQ_INSERT_TAIL(&residency->model_list, model, link);
        return model;
    }
    forget_idle_model(residency);
    model = KcMem_New(sizeof(*model));
    KcText_Copy(model->key, key, sizeof(model->key));
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
KcResidency_CountUse(KcModelState *model, KcTime now)
{
    model->frequency = KcResidency_Frequency(model, now) + 1.0;
    model->frequency_updated_at = now;
}

bool
KcResidency_IsLoaded(const KcModelState *model)
{
    return model->slot != NULL && model->slot->state == KC_SLOT_LOADED;
}

void
KcResidency_Pin(KcResidency *residency, KcSlot *slot, KcTime now)
{
    assert(slot->state == KC_SLOT_LOADED && !slot->lost);
    slot->inflation = residency->inflation;
    slot->pins++;
    slot->used_at = now;
}

void
KcResidency_Unpin(KcSlot *slot)
{
    assert(slot->pins > 0);
    slot->pins--;
    if (slot->pins == 0 && slot->lost) {
        KcResidency_MarkLost(slot);
    }
}

static double
keep_value(const KcResidency *residency, const KcSlot *slot, KcTime now)
{
    return residency->policy->value(slot, now);
}

KcSlot *
KcResidency_ChooseVictim(KcResidency *residency, bool keep_needed, KcTime now)
{
    KcSlot *slot;
    KcSlot *victim = NULL;
    double lowest_value = 0;

    TAILQ_FOREACH (slot, &residency->slots, link) {
        bool is_evictable =
            slot->state == KC_SLOT_LOADED || slot->state == KC_SLOT_CLOSING;
        double value;

        if (slot->state == KC_SLOT_EMPTY) {
            return slot;
        }
        if (!is_evictable || slot->pins > 0 || slot->external_requests > 0) {
            continue;
        }
        if (keep_needed &&
            slot->model->needed_pass == residency->needed_pass &&
            residency->needed_pass > 0 && slot->state == KC_SLOT_LOADED) {
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
KcResidency_CloseSlot(KcResidency *residency, KcTime now)
{
    KcSlot *slot;
    KcSlot *chosen = NULL;
    double lowest_value = 0;

    TAILQ_FOREACH (slot, &residency->slots, link) {
        double value;

        if (slot->state != KC_SLOT_LOADED) {
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
    slot->load_fence = fence;
    slot->state_changed_at = now;
    slot->used_at = now;
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
    slot->lost = false;
    slot->external_requests = 0;
    slot->engine_name[0] = '\0';
}

void
KcResidency_EndLoad(KcSlot *slot, int code, KcTime now)
{
    KcModelState *model = slot->model;
    KcTime retry_delay = LOAD_RETRY_DELAY_MIN;

    assert(slot->state == KC_SLOT_LOADING);
    if (code == 0) {
        slot->state = KC_SLOT_LOADED;
        slot->state_changed_at = now;
        model->load_failures = 0;
        model->loaded_at = now;
        return;
    }
    for (uint32_t i = 0;
         i < model->load_failures && retry_delay < LOAD_RETRY_DELAY_MAX; i++) {
        retry_delay *= 2;
    }
    model->load_failures++;
    model->retry_at =
        now + (retry_delay < LOAD_RETRY_DELAY_MAX ? retry_delay
                                                  : LOAD_RETRY_DELAY_MAX);
    clear_slot(slot);
}

void
KcResidency_BeginEvict(KcResidency *residency, KcSlot *slot, KcTime now)
{
    assert(slot->state == KC_SLOT_LOADED || slot->state == KC_SLOT_CLOSING);
    assert(slot->pins == 0 && slot->external_requests == 0);
    residency->inflation = keep_value(residency, slot, now);
    slot->state = KC_SLOT_EVICTING;
    slot->state_changed_at = now;
}

void
KcResidency_EndEvict(KcSlot *slot)
{
    assert(slot->state == KC_SLOT_EVICTING);
    clear_slot(slot);
}

void
KcResidency_MarkLost(KcSlot *slot)
{
    if (slot->state == KC_SLOT_EMPTY) {
        return;
    }
    if (slot->pins > 0) {
        slot->state = KC_SLOT_CLOSING;
        slot->lost = true;
        return;
    }
    clear_slot(slot);
}
