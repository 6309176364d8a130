/*
 * The keeper of one engine's adapters.
 *
 * One call to the engine is outstanding at a time, an order or a question,
 * so that each answer tells of a known state.
 */
#include "kcc_keeper.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Adapters on their way to the engine at once. */
#define COMING_MAX 3
/* An accepted load that the engine does not tell of has failed by then. */
#define LOAD_GRACE (400 * KC_MS)
/* An adapter is not evicted so soon after it was loaded: the gateway that
 * asked for it has not told of its use yet. */
#define FRESH (400 * KC_MS)
/* Delay before the engine is asked again after a call without an answer, and
 * before another order after one that was refused. */
#define RETRY (100 * KC_MS)
#define REFUSED_DELAY (50 * KC_MS)
/* Requests for adapters that are remembered; more are refused. */
#define WANTS_MAX 256
/* A request for an adapter is given up when it could not be begun for so
 * long: those that waited for it look elsewhere by then. */
#define WANT_LIFE (1 * KC_SECOND)
/* Time of an undisturbed load, for the pace; the platform's sheet. */
#define NOMINAL_LOAD (250 * KC_MS)

#define KEY_MAX KC_NAME_MAX

/* A gateway's request for an adapter. */
typedef struct Want {
    TAILQ_ENTRY(Want) link;
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
    uint32_t version;
    uint32_t priority;
    KcTime since;
} Want;

TAILQ_HEAD(WantList, Want);

/* A base model at the engine. */
typedef struct Base {
    TAILQ_ENTRY(Base) link;
    char name[KC_NAME_MAX];
    uint32_t version;
    bool loading;
    KcTime ordered; /* time of the order, valid while loading */
    bool seen;      /* in the report being read */
} Base;

TAILQ_HEAD(BaseList, Base);

/* Requests in flight by one gateway for one adapter. */
typedef struct UseKey {
    KcLink *link;
    char key[KEY_MAX];
} UseKey;

typedef struct Use {
    UT_hash_handle hh;
    TAILQ_ENTRY(Use) link;
    UseKey key;
    uint32_t in_flight;
} Use;

TAILQ_HEAD(UseList, Use);

struct KcKeeper {
    KcKeeperOptions options;
    KcEngineCapacity capacity;
    KcResidency residency;
    KcPace pace;
    struct BaseList bases;
    char last_base[KC_NAME_MAX]; /* loaded again after a restart */
    bool leaving;                /* the engine takes no new requests */
    bool busy;                   /* the engine works on a base model */
    struct WantList wants;
    uint32_t want_count;
    Use *uses;
    struct UseList use_list;
    uint64_t fence; /* 0: no right to order */
    uint64_t sequence;
    int64_t born;
    bool known;        /* the engine has told its state */
    KcTime not_before; /* no order before this time */
    bool asking;       /* a report is outstanding */
    bool ordering;     /* an order is outstanding */
    KcOrder order;     /* the outstanding one */
    KcSlot *slot;      /* that it concerns; NULL for a base model */
    KcSlot *unsure;    /* its order had no answer; looked at with the next
                        * report */
    KcTimer timer;     /* the next report */
};

static void pump(KcKeeper *keeper, KcTime now);

void
KcKeeperOptions_Init(KcKeeperOptions *options)
{
    *options = (KcKeeperOptions){.inspect = 500 * KC_MS, .watch = 40 * KC_MS};
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcKeeper *keeper = timer->owner;

    (void)now;
    if (keeper->asking || keeper->ordering) {
        return;
    }
    keeper->asking = true;
    keeper->options.ops->report(keeper->options.context);
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
    KcResidency_Init(&keeper->residency, 0, KcVictim_Policy("kcc"));
    KcPace_Init(&keeper->pace, NOMINAL_LOAD, NOMINAL_LOAD);
    keeper->pace.in_flight_max = COMING_MAX;
    KcTimer_Init(&keeper->timer, on_timer, keeper);
    return keeper;
}

static void
free_want(KcKeeper *keeper, Want *want)
{
    TAILQ_REMOVE(&keeper->wants, want, link);
    keeper->want_count--;
    free(want);
}

static void
free_use(KcKeeper *keeper, Use *use)
{
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(keeper->uses, use);
    TAILQ_REMOVE(&keeper->use_list, use, link);
    free(use);
}

static void
free_base(KcKeeper *keeper, Base *base)
{
    TAILQ_REMOVE(&keeper->bases, base, link);
    free(base);
}

void
KcKeeper_Free(KcKeeper *keeper)
{
    Want *want;
    Use *use;
    Base *base;

    KcTimers_Clear(keeper->options.timers, &keeper->timer);
    while ((want = TAILQ_FIRST(&keeper->wants)) != NULL) {
        free_want(keeper, want);
    }
    while ((use = TAILQ_FIRST(&keeper->use_list)) != NULL) {
        free_use(keeper, use);
    }
    while ((base = TAILQ_FIRST(&keeper->bases)) != NULL) {
        free_base(keeper, base);
    }
    KcEngineCapacity_Clear(&keeper->capacity);
    KcResidency_Clear(&keeper->residency);
    free(keeper);
}

void
KcKeeper_Start(KcKeeper *keeper, KcTime now)
{
    on_timer(&keeper->timer, now);
}

void
KcKeeper_SetFence(KcKeeper *keeper, uint64_t fence, KcTime now)
{
    if (fence > keeper->fence) {
        keeper->fence = fence;
    }
    pump(keeper, now);
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
    /* What the engine holds is matched with the new places first. */
    keeper->known = false;
    on_timer(&keeper->timer, now);
}

int
KcKeeper_Ready(const KcKeeper *keeper)
{
    if (keeper->fence == 0) {
        return KC_ERR_NO_LEASE;
    }
    return keeper->known ? 0 : KC_ERR_NO_BACKEND;
}

/* ---- names --------------------------------------------------------------- */

/* Names an adapter in the residency: model/adapter.  False: too long. */
static bool
make_key(const char *model, const char *adapter, char key[KEY_MAX])
{
    size_t length = strlen(model);

    if (length + 1 + strlen(adapter) >= KEY_MAX) {
        return false;
    }
    KcName_Copy(key, model, KEY_MAX);
    key[length] = '/';
    KcName_Copy(key + length + 1, adapter, KEY_MAX - length - 1);
    return true;
}

static KcModelState *
model_state(KcKeeper *keeper, const char *key, KcTime now)
{
    KcModelRef ref = {.version = 0};

    KcName_Copy(ref.adapter, key, KC_NAME_MAX);
    return KcResidency_Model(&keeper->residency, &ref, now);
}

/* Splits the key of a slot's adapter. */
static void
split_key(const KcSlot *slot, char model[KC_NAME_MAX],
          char adapter[KC_NAME_MAX])
{
    const char *key = slot->model->ref.adapter;
    const char *slash = strchr(key, '/');

    assert(slash != NULL);
    KcName_Copy(model, key, (size_t)(slash - key) + 1);
    KcName_Copy(adapter, slash + 1, KC_NAME_MAX);
}

/* The version of a slot's adapter stands in its name at the engine. */
static uint32_t
slot_version(const KcSlot *slot)
{
    const char *at = strrchr(slot->name, '@');

    return at != NULL ? (uint32_t)strtoul(at + 1, NULL, 10) : 0;
}

static void
set_version(KcSlot *slot, uint32_t version)
{
    snprintf(slot->name, sizeof(slot->name), "%s@%" PRIu32,
             slot->model->ref.adapter, version);
}

static void
tell(KcKeeper *keeper, KcLink *link, const KcSlot *slot, KcHeldState state)
{
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];

    split_key(slot, model, adapter);
    keeper->options.ops->tell(keeper->options.context, link, model, adapter,
                              slot_version(slot), state);
}

static void
record_order(KcKeeper *keeper, const char *decision, const KcOrder *request,
             int code)
{
    KcKeeperRecord entry = {.decision = decision,
                            .order = request,
                            .code = code,
                            .places = keeper->residency.slot_target,
                            .coming = keeper->pace.in_flight,
                            .wants = keeper->want_count};
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        entry.in_use += slot->foreign > 0 ? 1 : 0;
    }
    keeper->options.ops->record(keeper->options.context, &entry);
}

static void
record(KcKeeper *keeper, const char *decision, int code)
{
    record_order(keeper, decision, &keeper->order, code);
}

/* ---- orders -------------------------------------------------------------- */

static void
order(KcKeeper *keeper, KcSlot *slot, bool unload, uint32_t version)
{
    keeper->order = (KcOrder){.unload = unload,
                              .version = version,
                              .fence = keeper->fence,
                              .sequence = keeper->sequence};
    split_key(slot, keeper->order.model, keeper->order.adapter);
    keeper->ordering = true;
    keeper->slot = slot;
    record(keeper, unload ? "unload" : "load", 0);
    keeper->options.ops->order(keeper->options.context, &keeper->order);
}

static void
order_load(KcKeeper *keeper, KcSlot *slot, const Want *want, KcTime now)
{
    char key[KEY_MAX];

    make_key(want->model, want->adapter, key);
    KcResidency_BeginLoad(&keeper->residency, slot,
                          model_state(keeper, key, now), keeper->fence, now);
    set_version(slot, want->version);
    KcPace_Begin(&keeper->pace, now);
    KcCounters_Add(keeper->options.counters, KC_COUNT_LOADS, 1);
    tell(keeper, NULL, slot, KC_HELD_COMING);
    order(keeper, slot, false, want->version);
}

static void
end_load(KcKeeper *keeper, KcSlot *slot, int code, KcTime now)
{
    /* Loads only fail for reasons that a slower pace would not mend. */
    KcPace_End(&keeper->pace, 0, now);
    if (code != 0) {
        KcCounters_Add(keeper->options.counters, KC_COUNT_LOAD_FAILURES, 1);
        tell(keeper, NULL, slot, KC_HELD_GONE);
    }
    else {
        KcCounters_Time(keeper->options.counters, KC_TIME_LOAD,
                        now - slot->ordered);
        tell(keeper, NULL, slot, KC_HELD_LOADED);
    }
    KcResidency_EndLoad(slot, code, now);
}

static void
order_base(KcKeeper *keeper, const char *name, KcTime now)
{
    Base *base = KcMem_New(sizeof(*base));

    KcName_Copy(base->name, name, KC_NAME_MAX);
    base->loading = true;
    base->ordered = now;
    TAILQ_INSERT_TAIL(&keeper->bases, base, link);
    keeper->order =
        (KcOrder){.fence = keeper->fence, .sequence = keeper->sequence};
    KcName_Copy(keeper->order.model, name, KC_NAME_MAX);
    keeper->ordering = true;
    keeper->slot = NULL;
    record(keeper, "load", 0);
    keeper->options.ops->order(keeper->options.context, &keeper->order);
}

static Base *
find_base(const KcKeeper *keeper, const char *name)
{
    Base *base;

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
    const Base *base;
    const KcSlot *slot;
    double used = 0;

    TAILQ_FOREACH (base, &keeper->bases, link) {
        const KcEngineModel *model =
            KcEngineCapacity_Model(&keeper->capacity, base->name);

        used += model != NULL ? model->megabytes : 0;
    }
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        char name[KC_NAME_MAX];
        char adapter[KC_NAME_MAX];
        const KcEngineModel *model;

        if (slot->state == KC_SLOT_EMPTY) {
            continue;
        }
        split_key(slot, name, adapter);
        model = KcEngineCapacity_Model(&keeper->capacity, name);
        used += model != NULL ? model->adapter_megabytes : 0;
    }
    return used;
}

static bool
fits(const KcKeeper *keeper, double megabytes)
{
    return used_megabytes(keeper) + megabytes <= keeper->capacity.megabytes;
}

/* The base model that an engine without any is to load; NULL: unknown. */
static const char *
missing_base(const KcKeeper *keeper)
{
    const KcEngineModel *first = TAILQ_FIRST(&keeper->capacity.models);
    const Want *wanted = TAILQ_FIRST(&keeper->wants);

    if (!TAILQ_EMPTY(&keeper->bases)) {
        return NULL;
    }
    if (KcEngineCapacity_Model(&keeper->capacity, keeper->last_base) != NULL) {
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

    residency->pass++;
    TAILQ_FOREACH (slot, &residency->slots, link) {
        if (slot->state == KC_SLOT_READY && now - slot->ordered < FRESH) {
            slot->model->needed = residency->pass;
        }
    }
    slot = KcResidency_Victim(residency, true, now);
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
    tell(keeper, NULL, slot, KC_HELD_GONE);
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

static void
tell_want(KcKeeper *keeper, const Want *want, KcHeldState state)
{
    keeper->options.ops->tell(keeper->options.context, NULL, want->model,
                              want->adapter, want->version, state);
}

static void
record_want(KcKeeper *keeper, const char *decision, const Want *want)
{
    KcOrder request = {.version = want->version,
                       .fence = keeper->fence,
                       .sequence = keeper->sequence};

    KcName_Copy(request.model, want->model, KC_NAME_MAX);
    KcName_Copy(request.adapter, want->adapter, KC_NAME_MAX);
    record_order(keeper, decision, &request, KC_ERR_BUSY);
}

/*
 * Serves one want; true when it is done with.  *stuck is set when every place
 * is in use, and no place is looked for when it is set already.
 */
static bool
serve(KcKeeper *keeper, Want *want, bool *stuck, KcTime now)
{
    char key[KEY_MAX];
    KcModelState *model;
    KcSlot *slot;
    const Base *base = find_base(keeper, want->model);
    const KcEngineModel *kind =
        KcEngineCapacity_Model(&keeper->capacity, want->model);

    if (kind == NULL || (base == NULL && !fits(keeper, kind->megabytes))) {
        tell_want(keeper, want, KC_HELD_GONE);
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
    make_key(want->model, want->adapter, key);
    model = model_state(keeper, key, now);
    slot = model->slot;
    if (slot != NULL && slot->state == KC_SLOT_LOADING) {
        return true; /* everyone is told when it is there */
    }
    if (slot != NULL && slot->state == KC_SLOT_EVICTING) {
        return false; /* it must go before it can come back */
    }
    if (slot != NULL && slot_version(slot) >= want->version) {
        tell(keeper, NULL, slot, KC_HELD_LOADED);
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
        slot->foreign = 0;
        KcResidency_BeginEvict(&keeper->residency, slot, now);
        KcResidency_EndEvict(slot);
        order_load(keeper, slot, want, now);
        return true;
    }
    slot = make_place(keeper, stuck, now);
    if (slot != NULL && !fits(keeper, kind->adapter_megabytes)) {
        record_want(keeper, "no memory", want);
        tell_want(keeper, want, KC_HELD_GONE);
        return true;
    }
    if (slot != NULL) {
        order_load(keeper, slot, want, now);
    }
    return slot != NULL;
}

static void
pump(KcKeeper *keeper, KcTime now)
{
    Want *want;
    Want *next;
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
            tell_want(keeper, want, KC_HELD_GONE);
            free_want(keeper, want);
            continue;
        }
        if (keeper->ordering || keeper->asking || any_evicting(keeper)) {
            break;
        }
        if (serve(keeper, want, &stuck, now)) {
            free_want(keeper, want);
        }
    }
}

static bool
any_base_loading(const KcKeeper *keeper)
{
    const Base *base;

    TAILQ_FOREACH (base, &keeper->bases, link) {
        if (base->loading) {
            return true;
        }
    }
    return false;
}

/* Plans the next report. */
static void
plan(KcKeeper *keeper, KcTime now)
{
    bool moving = keeper->pace.in_flight > 0 || any_evicting(keeper) ||
                  any_base_loading(keeper) || !TAILQ_EMPTY(&keeper->wants);

    if (!keeper->ordering && !keeper->asking) {
        KcTimers_Set(keeper->options.timers, &keeper->timer,
                     now + (!keeper->known ? RETRY
                            : moving       ? keeper->options.watch
                                           : keeper->options.inspect));
    }
}

void
KcKeeper_OnOrder(KcKeeper *keeper, KcOrderEnd end, KcTime now)
{
    KcSlot *slot = keeper->slot;

    assert(keeper->ordering);
    keeper->ordering = false;
    keeper->slot = NULL;
    switch (end) {
    case KC_ORDER_ACCEPTED:
        keeper->sequence++;
        break;
    case KC_ORDER_HOLDS:
        keeper->sequence++;
        if (keeper->order.unload && slot != NULL) {
            KcResidency_EndEvict(slot);
        }
        break;
    case KC_ORDER_REFUSED:
    case KC_ORDER_UNKNOWN:
        /* What holds is read from the engine before anything else. */
        record(keeper, end == KC_ORDER_REFUSED ? "refused" : "no answer",
               end == KC_ORDER_REFUSED ? KC_ERR_CONFLICT : KC_ERR_LOST);
        if (end == KC_ORDER_REFUSED && slot == NULL) {
            free_base(keeper, find_base(keeper, keeper->order.model));
        }
        else if (end == KC_ORDER_REFUSED && !keeper->order.unload) {
            end_load(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        if (end == KC_ORDER_UNKNOWN) {
            keeper->unsure = slot;
        }
        else {
            keeper->not_before = now + REFUSED_DELAY;
        }
        keeper->known = false;
        on_timer(&keeper->timer, now);
        return;
    }
    pump(keeper, now);
    plan(keeper, now);
}

/* ---- reports ------------------------------------------------------------- */

static const KcHeldInfo *
find_held(const KcEngineReport *report, const KcSlot *slot)
{
    const KcHeldInfo *held;
    char key[KEY_MAX];

    TAILQ_FOREACH (held, &report->info.held, link) {
        if (held->adapter[0] != '\0' &&
            make_key(held->model, held->adapter, key) &&
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
    const KcHeldInfo *held;

    if (slot->state == KC_SLOT_EMPTY) {
        return;
    }
    held = find_held(report, slot);
    switch (slot->state) {
    case KC_SLOT_LOADING:
        if (held != NULL && !held->coming &&
            held->version >= slot_version(slot)) {
            set_version(slot, held->version);
            end_load(keeper, slot, 0, now);
        }
        else if (held == NULL && now - slot->ordered > LOAD_GRACE) {
            end_load(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        break;
    case KC_SLOT_EVICTING:
        if (held == NULL) {
            KcResidency_EndEvict(slot);
        }
        else if (now - slot->ordered > LOAD_GRACE) {
            /* The order was lost or still waits for requests: the adapter
             * is there, whoever uses it. */
            slot->state = KC_SLOT_READY;
            tell(keeper, NULL, slot, KC_HELD_LOADED);
        }
        break;
    case KC_SLOT_READY:
    case KC_SLOT_CLOSING:
        if (held == NULL) {
            tell(keeper, NULL, slot, KC_HELD_GONE);
            slot->foreign = 0;
            KcResidency_Forget(slot);
        }
        else if (held->version != slot_version(slot)) {
            set_version(slot, held->version);
            tell(keeper, NULL, slot, KC_HELD_LOADED);
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
adopt(KcKeeper *keeper, const KcHeldInfo *held, KcTime now)
{
    char key[KEY_MAX];
    KcModelState *model;
    KcSlot *slot;

    if (held->adapter[0] == '\0' ||
        !make_key(held->model, held->adapter, key)) {
        return;
    }
    model = model_state(keeper, key, now);
    if (model->slot != NULL) {
        return;
    }
    slot = empty_slot(keeper);
    KcResidency_BeginLoad(&keeper->residency, slot, model, 0, now);
    set_version(slot, held->version);
    if (held->coming) {
        /* An order that had no answer is being carried out after all. */
        KcPace_Begin(&keeper->pace, now);
        tell(keeper, NULL, slot, KC_HELD_COMING);
        return;
    }
    KcResidency_EndLoad(slot, 0, now);
    slot->ordered = now - FRESH;
    tell(keeper, NULL, slot, KC_HELD_LOADED);
}

/* Brings the base models in line with what the engine says. */
static void
compare_bases(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    const KcHeldInfo *held;
    Base *base;
    Base *next;

    TAILQ_FOREACH (base, &keeper->bases, link) {
        base->seen = false;
    }
    TAILQ_FOREACH (held, &report->info.held, link) {
        bool told;

        if (held->adapter[0] != '\0') {
            continue;
        }
        base = find_base(keeper, held->model);
        told =
            base != NULL && !base->loading && base->version == held->version;
        if (base == NULL) {
            base = KcMem_New(sizeof(*base));
            KcName_Copy(base->name, held->model, KC_NAME_MAX);
            TAILQ_INSERT_TAIL(&keeper->bases, base, link);
        }
        base->seen = true;
        base->loading = false;
        base->version = held->version;
        KcName_Copy(keeper->last_base, base->name, KC_NAME_MAX);
        if (!told) {
            keeper->options.ops->tell(keeper->options.context, NULL,
                                      base->name, "", base->version,
                                      KC_HELD_LOADED);
        }
    }
    TAILQ_FOREACH_SAFE (base, &keeper->bases, link, next) {
        bool begun = base->loading &&
                     (report->busy || now - base->ordered < LOAD_GRACE);

        if (!base->seen && !begun) {
            keeper->options.ops->tell(keeper->options.context, NULL,
                                      base->name, "", 0, KC_HELD_GONE);
            free_base(keeper, base);
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
    keeper->born = report->info.born;
    keeper->options.ops->tell(keeper->options.context, NULL, "", "", 0,
                              KC_HELD_NOTHING);
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        if (slot->state == KC_SLOT_LOADING) {
            end_load(keeper, slot, KC_ERR_LOAD_FAILED, now);
        }
        else {
            slot->foreign = 0;
            KcResidency_Forget(slot);
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
        keeper->ordering = true;
        keeper->slot = slot;
        keeper->options.ops->order(keeper->options.context, &keeper->order);
    }
}

void
KcKeeper_OnReport(KcKeeper *keeper, const KcEngineReport *report, KcTime now)
{
    const KcHeldInfo *held;
    KcSlot *slot;

    assert(keeper->asking);
    keeper->asking = false;
    if (report == NULL) {
        keeper->known = false;
        plan(keeper, now);
        return;
    }
    keeper->sequence = report->sequence;
    if (report->info.born != keeper->born) {
        start_anew(keeper, report, now);
    }
    keeper->busy = report->busy;
    if (report->leaving && !keeper->leaving) {
        keeper->options.ops->tell(keeper->options.context, NULL, "", "", 0,
                                  KC_HELD_LEAVING);
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
    pump(keeper, now);
    plan(keeper, now);
}

/* ---- gateways ------------------------------------------------------------ */

/* The most urgent first, then the oldest. */
static void
insert_want(KcKeeper *keeper, Want *want)
{
    Want *at;

    TAILQ_FOREACH (at, &keeper->wants, link) {
        if (at->priority > want->priority) {
            TAILQ_INSERT_BEFORE(at, want, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&keeper->wants, want, link);
}

void
KcKeeper_OnWant(KcKeeper *keeper, const char *model, const char *adapter,
                uint32_t version, uint32_t priority, KcTime now)
{
    char key[KEY_MAX];
    Want *want;

    TAILQ_FOREACH (want, &keeper->wants, link) {
        if (strcmp(want->model, model) == 0 &&
            strcmp(want->adapter, adapter) == 0) {
            want->version = version > want->version ? version : want->version;
            return;
        }
    }
    if (adapter[0] == '\0' && find_base(keeper, model) == NULL) {
        keeper->options.ops->tell(keeper->options.context, NULL, model, "", 0,
                                  KC_HELD_COMING);
    }
    if (!make_key(model, adapter, key) || keeper->want_count >= WANTS_MAX) {
        keeper->options.ops->tell(keeper->options.context, NULL, model,
                                  adapter, version, KC_HELD_GONE);
        return;
    }
    want = KcMem_New(sizeof(*want));
    KcName_Copy(want->model, model, KC_NAME_MAX);
    KcName_Copy(want->adapter, adapter, KC_NAME_MAX);
    want->version = version;
    want->priority = priority;
    want->since = now;
    insert_want(keeper, want);
    keeper->want_count++;
    pump(keeper, now);
    plan(keeper, now);
}

static Use *
find_use(KcKeeper *keeper, KcLink *link, const char *key)
{
    UseKey wanted;
    Use *use;

    memset(&wanted, 0, sizeof(wanted));
    wanted.link = link;
    KcName_Copy(wanted.key, key, KEY_MAX);
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
set_in_flight(KcKeeper *keeper, Use *use, uint32_t in_flight, KcTime now)
{
    KcSlot *slot = model_state(keeper, use->key.key, now)->slot;

    if (slot != NULL) {
        slot->foreign += in_flight;
        slot->foreign -=
            use->in_flight < slot->foreign ? use->in_flight : slot->foreign;
        slot->used = now;
    }
    use->in_flight = in_flight;
    if (in_flight == 0) {
        free_use(keeper, use);
    }
}

void
KcKeeper_OnUsed(KcKeeper *keeper, KcLink *link, const char *model,
                const char *adapter, uint32_t uses, uint32_t in_flight,
                KcTime now)
{
    char key[KEY_MAX];

    if (adapter[0] == '\0' || !make_key(model, adapter, key)) {
        return;
    }
    for (uint32_t i = 0; i < uses; i++) {
        KcResidency_Use(model_state(keeper, key, now), now);
    }
    set_in_flight(keeper, find_use(keeper, link, key), in_flight, now);
}

void
KcKeeper_OnGateway(KcKeeper *keeper, KcLink *link, KcTime now)
{
    KcSlot *slot;

    const Base *base;

    (void)now;
    keeper->options.ops->tell(keeper->options.context, link, "", "", 0,
                              KC_HELD_NOTHING);
    if (keeper->leaving) {
        keeper->options.ops->tell(keeper->options.context, link, "", "", 0,
                                  KC_HELD_LEAVING);
    }
    TAILQ_FOREACH (base, &keeper->bases, link) {
        keeper->options.ops->tell(
            keeper->options.context, link, base->name, "", base->version,
            base->loading ? KC_HELD_COMING : KC_HELD_LOADED);
    }
    TAILQ_FOREACH (slot, &keeper->residency.slots, link) {
        if (slot->state == KC_SLOT_READY) {
            tell(keeper, link, slot, KC_HELD_LOADED);
        }
        else if (slot->state == KC_SLOT_LOADING) {
            tell(keeper, link, slot, KC_HELD_COMING);
        }
    }
}

void
KcKeeper_OnGatewayLost(KcKeeper *keeper, KcLink *link, KcTime now)
{
    Use *use;
    Use *next;

    TAILQ_FOREACH_SAFE (use, &keeper->use_list, link, next) {
        if (use->key.link == link) {
            set_in_flight(keeper, use, 0, now);
        }
    }
    pump(keeper, now);
}
