/*
 * What a keeper orders: base models, loads, evictions.
 */
#include <assert.h>
#include <string.h>

#include "keeper_internal.h"

/* Delay before the engine is asked again after a call without an answer, and
 * before another order after one that was refused. */
#define RETRY (100 * KC_MS)
#define REFUSED_DELAY (50 * KC_MS)
/* A request for an adapter is given up when it could not be begun for so
 * long: those that waited for it look elsewhere by then. */
#define WANT_LIFE (1 * KC_SECOND)

void
KcKeeper_GiveOrder(KcKeeper *keeper, KcSlot *slot)
{
    keeper->ordering = true;
    keeper->slot = slot;
    keeper->options.ops->send_order(keeper->options.context, &keeper->order);
}

static void
order(KcKeeper *keeper, KcSlot *slot, bool unload, uint32_t version)
{
    keeper->order = (KcOrder){.unload = unload,
                              .version = version,
                              .fence = keeper->fence,
                              .sequence = keeper->sequence};
    KcKeeper_SplitKey(slot, keeper->order.model, keeper->order.adapter);
    KcKeeper_Record(keeper, unload ? "unload" : "load", 0);
    KcKeeper_GiveOrder(keeper, slot);
}

static void
order_load(KcKeeper *keeper, KcSlot *slot, const KcKeeperWant *want,
           KcTime now)
{
    char key[KEY_MAX];

    KcKeeper_MakeKey(want->model, want->adapter, key);
    KcResidency_BeginLoad(&keeper->residency, slot,
                          KcKeeper_Model(keeper, key, now), keeper->fence,
                          now);
    KcKeeper_SetVersion(slot, want->version);
    KcPace_Begin(&keeper->pace, now);
    KcCounters_Add(keeper->options.counters, KC_COUNT_LOADS, 1);
    KcKeeper_Tell(keeper, NULL, slot, KC_HELD_LOADING);
    order(keeper, slot, false, want->version);
}

void
KcKeeper_EndLoad(KcKeeper *keeper, KcSlot *slot, int code, KcTime now)
{
    /* Loads only fail for reasons that a slower pace would not mend. */
    KcPace_End(&keeper->pace, 0, now);
    if (code != 0) {
        KcCounters_Add(keeper->options.counters, KC_COUNT_LOAD_FAILURES, 1);
        KcKeeper_Tell(keeper, NULL, slot, KC_HELD_NOT_LOADED);
    }
    else {
        KcCounters_RecordTime(keeper->options.counters, KC_TIME_LOAD,
                              now - slot->state_changed_at);
        KcKeeper_Tell(keeper, NULL, slot, KC_HELD_LOADED);
    }
    KcResidency_EndLoad(slot, code, now);
}

static void
order_base(KcKeeper *keeper, const char *name, KcTime now)
{
    KcKeeperBase *base = KcMem_New(sizeof(*base));

    KcText_Copy(base->name, name, KC_NAME_MAX);
    base->loading = true;
    base->ordered = now;
    TAILQ_INSERT_TAIL(&keeper->bases, base, link);
    keeper->order =
        (KcOrder){.fence = keeper->fence, .sequence = keeper->sequence};
    KcText_Copy(keeper->order.model, name, KC_NAME_MAX);
    KcKeeper_Record(keeper, "load", 0);
    KcKeeper_GiveOrder(keeper, NULL);
}

KcKeeperBase *
KcKeeper_FindBase(const KcKeeper *keeper, const char *name)
{
    KcKeeperBase *base;

    TAILQ_FOREACH (base, &keeper->bases, link) {
        if (strcmp(base->name, name) == 0) {
            return base;
        }
    }
    return NULL;
}

/* Megabytes of everything that the engine holds or is loading. */
static double
used_megabytes(const KcKeeper *keeper)
{
    const KcKeeperBase *base;
    const KcSlot *slot;
    double used = 0;

    TAILQ_FOREACH (base, &keeper->bases, link) {
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
fits(const KcKeeper *keeper, double megabytes)
{
    return used_megabytes(keeper) + megabytes <=
           keeper->capacity.memory_megabytes;
}

/* The base model that an engine without any is to load; NULL: unknown. */
static const char *
missing_base(const KcKeeper *keeper)
{
    const KcEngineModel *first = TAILQ_FIRST(&keeper->capacity.models);
    const KcKeeperWant *wanted = TAILQ_FIRST(&keeper->wants);

    if (!TAILQ_EMPTY(&keeper->bases)) {
        return NULL;
    }
    if (KcEngineCapacity_FindModel(&keeper->capacity, keeper->last_base) !=
        NULL) {
        return keeper->last_base;
    }
    if (wanted != NULL) {
        return wanted->model;
    }
    return first != NULL && TAILQ_NEXT(first, link) == NULL ? first->name
                                                            : NULL;
}

/* The slot to load into; NULL when an eviction must come first, or when
 * nothing can be evicted (then *stuck is set). */
static KcSlot *
make_place(KcKeeper *keeper, bool *stuck, KcTime now)
{
    KcResidency *residency = &keeper->residency;
    KcSlot *slot;

    residency->needed_pass++;
    TAILQ_FOREACH (slot, &residency->slots, link) {
        if (slot->state == KC_SLOT_LOADED &&
            now - slot->state_changed_at < FRESH) {
            slot->model->needed_pass = residency->needed_pass;
        }
    }
    slot = KcResidency_ChooseVictim(residency, true, now);
    if (slot == NULL) {
        *stuck = true;
        return NULL;
    }
    if (slot->state == KC_SLOT_EMPTY &&
        residency->slot_count <= residency->slot_target) {
        return slot;
    }
    if (slot->state == KC_SLOT_EMPTY) {
        /* A surplus slot: it goes, and nothing is loaded this time. */
        KcResidency_Trim(residency, now);
        return NULL;
    }
    KcResidency_BeginEvict(residency, slot, now);
    KcCounters_Add(keeper->options.counters, KC_COUNT_EVICTIONS, 1);
    KcKeeper_Tell(keeper, NULL, slot, KC_HELD_NOT_LOADED);
    order(keeper, slot, true, 0);
    return NULL;
}

static bool
has_empty(const KcKeeper *keeper)
{
    const KcSlot *slot;
    uint32_t used = 0;

    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        used += slot->state != KC_SLOT_EMPTY ? 1 : 0;
    }
    return used < keeper->residency.slot_target;
}

static bool
any_evicting(const KcKeeper *keeper)
{
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        if (slot->state == KC_SLOT_EVICTING) {
            return true;
        }
    }
    return false;
}

/* Tells every gateway of what was asked for. */
static void
tell_want(KcKeeper *keeper, const KcKeeperWant *want, KcHeldState state)
{
    keeper->options.ops->notify_gateways(keeper->options.context, NULL,
                                         want->model, want->adapter,
                                         want->version, state);
}

static void
record_want(KcKeeper *keeper, const char *decision, const KcKeeperWant *want)
{
    KcOrder request = {.version = want->version,
                       .fence = keeper->fence,
                       .sequence = keeper->sequence};

    KcText_Copy(request.model, want->model, KC_NAME_MAX);
    KcText_Copy(request.adapter, want->adapter, KC_NAME_MAX);
    KcKeeper_RecordOrder(keeper, decision, &request, KC_ERR_BUSY);
}

/*
 * Serves one want; true when it is done with.  *stuck is set when every place
 * is in use, and no place is looked for when it is set already.
 */
static bool
serve(KcKeeper *keeper, KcKeeperWant *want, bool *stuck, KcTime now)
{
    char key[KEY_MAX];
    KcModelState *model;
    KcSlot *slot;
    const KcKeeperBase *base = KcKeeper_FindBase(keeper, want->model);
    const KcEngineModel *kind =
        KcEngineCapacity_FindModel(&keeper->capacity, want->model);

    if (kind == NULL ||
        (base == NULL && !fits(keeper, kind->weights_megabytes))) {
        tell_want(keeper, want, KC_HELD_NOT_LOADED);
        return true;
    }
    if (base == NULL && !keeper->busy) {
        order_base(keeper, want->model, now);
    }
    if (base == NULL || base->loading) {
        return false;
    }
    if (want->adapter[0] == '\0') {
        tell_want(keeper, want, KC_HELD_LOADED);
        return true;
    }
    KcKeeper_MakeKey(want->model, want->adapter, key);
    model = KcKeeper_Model(keeper, key, now);
    slot = model->slot;
    if (slot != NULL && slot->state == KC_SLOT_LOADING) {
        return true; /* everyone is told when it is there */
    }
    if (slot != NULL && slot->state == KC_SLOT_EVICTING) {
        return false; /* it must go before it can come back */
    }
    if (slot != NULL && KcKeeper_SlotVersion(slot) >= want->version) {
        KcKeeper_Tell(keeper, NULL, slot, KC_HELD_LOADED);
        return true;
    }
    if (*stuck || !KcPace_Allows(&keeper->pace, now)) {
        return false;
    }
    if (slot != NULL && !has_empty(keeper)) {
        /* Until the old version has gone, both take a place. */
        make_place(keeper, stuck, now);
        return false;
    }
    if (slot != NULL) {
        /* A newer version takes the place of the old one in one order; the
         * engine lets requests on the old one finish first. */
        slot->external_requests = 0;
        KcResidency_BeginEvict(&keeper->residency, slot, now);
        KcResidency_EndEvict(slot);
        order_load(keeper, slot, want, now);
        return true;
    }
    slot = make_place(keeper, stuck, now);
    if (slot != NULL && !fits(keeper, kind->adapter_megabytes)) {
        record_want(keeper, "no memory", want);
        tell_want(keeper, want, KC_HELD_NOT_LOADED);
        return true;
    }
    if (slot != NULL) {
        order_load(keeper, slot, want, now);
    }
    return slot != NULL;
}

void
KcKeeper_Pump(KcKeeper *keeper, KcTime now)
{
    KcKeeperWant *want;
    KcKeeperWant *next;
    const char *base;
    bool stuck = false;

    if (!keeper->known || keeper->fence == 0 ||
        keeper->residency.slot_target == 0 || keeper->ordering ||
        keeper->asking || now < keeper->not_before) {
        return;
    }
    base = missing_base(keeper);
    if (base != NULL && !keeper->busy) {
        order_base(keeper, base, now);
    }
    TAILQ_FOREACH_SAFE (want, &keeper->wants, link, next) {
        if (now - want->since > WANT_LIFE) {
            record_want(keeper, "expired", want);
            tell_want(keeper, want, KC_HELD_NOT_LOADED);
            KcKeeper_FreeWant(keeper, want);
            continue;
        }
        if (keeper->ordering || keeper->asking || any_evicting(keeper)) {
            break;
        }
        if (serve(keeper, want, &stuck, now)) {
            KcKeeper_FreeWant(keeper, want);
        }
    }
}

static bool
any_base_loading(const KcKeeper *keeper)
{
    const KcKeeperBase *base;

    TAILQ_FOREACH (base, &keeper->bases, link) {
        if (base->loading) {
            return true;
        }
    }
    return false;
}

/* Plans the next report. */
void
KcKeeper_Plan(KcKeeper *keeper, KcTime now)
{
    bool moving = keeper->pace.in_flight > 0 || any_evicting(keeper) ||
                  any_base_loading(keeper) || !TAILQ_EMPTY(&keeper->wants);

    if (!keeper->ordering && !keeper->asking) {
        KcTimers_Set(keeper->options.timers, &keeper->timer,
                     now + (!keeper->known ? RETRY
                            : moving ? keeper->options.loading_report_interval
                                     : keeper->options.idle_report_interval));
    }
}

void
KcKeeper_OnOrderResult(KcKeeper *keeper, KcOrderResult end, KcTime now)
{
    KcSlot *slot = keeper->slot;

    assert(keeper->ordering);
    keeper->ordering = false;
    keeper->slot = NULL;
    switch (end) {
    case KC_ORDER_ACCEPTED:
        keeper->sequence++;
        break;
    case KC_ORDER_DONE:
        keeper->sequence++;
        if (keeper->order.unload && slot != NULL) {
            KcResidency_EndEvict(slot);
        }
        break;
    case KC_ORDER_REFUSED:
    case KC_ORDER_UNKNOWN:
        /* What holds is read from the engine before anything else. */
        KcKeeper_Record(
            keeper, end == KC_ORDER_REFUSED ? "refused" : "no answer",
            end == KC_ORDER_REFUSED ? KC_ERR_CONFLICT : KC_ERR_PEER_LOST);
        if (end == KC_ORDER_REFUSED && slot == NULL) {
            KcKeeper_FreeBase(keeper,
                              KcKeeper_FindBase(keeper, keeper->order.model));
        }
        else if (end == KC_ORDER_REFUSED && !keeper->order.unload) {
            KcKeeper_EndLoad(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        if (end == KC_ORDER_UNKNOWN) {
            keeper->unsure = slot;
        }
        else {
            keeper->not_before = now + REFUSED_DELAY;
        }
        keeper->known = false;
        KcKeeper_Ask(keeper);
        return;
    }
    KcKeeper_Pump(keeper, now);
    KcKeeper_Plan(keeper, now);
}
