/*
 * The adapters of one engine as its agent or keeper knows them: slots, pins,
 * models, eviction policies, and the rate of loads.
 */
#ifndef KCC_RESIDENCY_H
#define KCC_RESIDENCY_H

#include <uthash.h>

#include "kcc_types.h"

/*
 * Longest name of an adapter at an engine, with its NUL:
 * adapter@version#fence.sequence.  The part after # is new with every load,
 * so an order that arrives late names no loaded adapter.
 */
#define KC_ENGINE_NAME_MAX (KC_NAME_MAX + 64)

/* What is known of one adapter version, loaded or not.  A keeper has one for
 * all versions of an adapter: ref.adapter is model/adapter, ref.version 0. */
typedef struct KcModelState {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcModelState) link;     /* least recently used first */
    char key[KC_ADAPTER_REF_TEXT_SIZE]; /* adapter@version */
    KcAdapterRef ref;
    struct KcSlot *slot;    /* NULL unless loading, loaded or evicting */
    uint32_t waiting_works; /* works that wait for it */
    uint64_t needed_pass;   /* KcResidency.needed_pass that last marked it as
                               needed */
    uint32_t load_failures; /* loads failed in a row */
    KcTime retry_at;        /* no load before this time */
    KcTime loaded_at;       /* end of the last successful load */
    double frequency;       /* exponentially aged count of uses */
    KcTime frequency_updated_at; /* time to which frequency is aged */
} KcModelState;

TAILQ_HEAD(KcModelStateList, KcModelState);

/* States of a slot.  A slot without requests in flight is evicted without
 * KC_SLOT_CLOSING. */
typedef enum KcSlotState {
    KC_SLOT_EMPTY = 0,
    KC_SLOT_LOADING,
    KC_SLOT_LOADED,
    KC_SLOT_CLOSING, /* takes no new pins; evicted after the last unpin */
    KC_SLOT_EVICTING
} KcSlotState;

/* Capacity for one adapter at an engine, and the adapter that takes it. */
typedef struct KcSlot {
    TAILQ_ENTRY(KcSlot) link;
    uint32_t slot_number; /* number of slots before it was added */
    KcSlotState state;
    KcModelState *model; /* NULL when empty */
    uint32_t pins;       /* requests of this process in flight; the slot is
                          * not evicted while there are any */
    /* Requests in flight that other processes sent, as the engine or gateways
     * report; the slot is not evicted while there are any. */
    uint32_t external_requests;
    KcTime state_changed_at; /* time of the last order, or when a load ended */
    KcTime used_at;          /* time of the last use */
    uint64_t load_fence;     /* fencing number of its load order, if any */
    double inflation;        /* KcResidency.inflation at the last use */
    bool lost;               /* the engine lost the adapter; pins remain */
    char engine_name[KC_ENGINE_NAME_MAX]; /* of the adapter at the engine */
} KcSlot;

TAILQ_HEAD(KcSlotList, KcSlot);

/* An eviction policy; policies are rows of a table. */
typedef struct KcVictimPolicy {
    const char *name;
    /* Value of keeping a slot; the lowest is evicted. */
    double (*value)(const KcSlot *slot, KcTime now);
} KcVictimPolicy;

/*
 * Finds a policy by name; NULL when there is none.  "kcc" is the project's
 * own policy, the others are baselines for comparison.
 */
const KcVictimPolicy *KcVictim_FindPolicy(const char *name);

/* The slots of one engine, and the models known there. */
typedef struct KcResidency {
    struct KcSlotList slots;
    uint32_t slot_count;
    uint32_t slot_target; /* as configured; surplus slots are removed */
    KcModelState *models; /* by key */
    struct KcModelStateList model_list;
    uint32_t model_count;
    uint32_t model_max; /* beyond this idle models are removed */
    const KcVictimPolicy *policy;
    double inflation;     /* value of the last victim (aging of GDSF) */
    uint64_t needed_pass; /* number of the last marking of the models that are
                           * needed soon, see KcModelState.needed_pass */
} KcResidency;

/* Initialises empty slots; KcResidency_Clear() frees slots and models. */
void KcResidency_Init(KcResidency *residency, uint32_t slots,
                      const KcVictimPolicy *policy);
void KcResidency_Clear(KcResidency *residency);

/*
 * Changes the number of slots.  New ones are added at once; KcResidency_Trim()
 * removes surplus ones as they become empty.
 */
void KcResidency_Resize(KcResidency *residency, uint32_t slots);

/*
 * Removes empty surplus slots.  If surplus ones are left and none is being
 * evicted or waits for its last unpin, returns a slot to evict; when all are
 * pinned, closes one to new pins and returns NULL.
 */
KcSlot *KcResidency_Trim(KcResidency *residency, KcTime now);

/* Finds a model or adds it, and makes it the most recently used. */
KcModelState *KcResidency_FindOrAddModel(KcResidency *residency,
                                         const KcAdapterRef *ref, KcTime now);

/* Counts one use in the model's aged frequency. */
void KcResidency_CountUse(KcModelState *model, KcTime now);

/* The model's aged frequency at this time. */
double KcResidency_Frequency(const KcModelState *model, KcTime now);

/* True when the model is loaded and its slot takes new pins. */
bool KcResidency_IsLoaded(const KcModelState *model);

/* Pins the slot of a loaded adapter for one request. */
void KcResidency_Pin(KcResidency *residency, KcSlot *slot, KcTime now);
/* Removes one pin; the last one removed empties a slot that was lost. */
void KcResidency_Unpin(KcSlot *slot);

/*
 * Chooses the slot for a load: an empty one, else the one of lowest value
 * without requests in flight, which must be evicted first.  With keep_needed,
 * loaded models that are needed soon are skipped.  NULL when there is none.
 */
KcSlot *KcResidency_ChooseVictim(KcResidency *residency, bool keep_needed,
                                 KcTime now);

/*
 * Closes the loaded slot of lowest value to new pins, to make room for a
 * model that has waited too long.  Returns the slot, NULL when every slot is
 * already closing, loading or evicting.
 */
KcSlot *KcResidency_CloseSlot(KcResidency *residency, KcTime now);

/*
 * State changes of a slot: an order to load or to evict was given, or has
 * ended.  A load that ends with a code other than 0 empties the slot and
 * delays the model's next load.
 */
void KcResidency_BeginLoad(KcResidency *residency, KcSlot *slot,
                           KcModelState *model, uint64_t fence, KcTime now);
void KcResidency_EndLoad(KcSlot *slot, int code, KcTime now);
void KcResidency_BeginEvict(KcResidency *residency, KcSlot *slot, KcTime now);
void KcResidency_EndEvict(KcSlot *slot);

/*
 * The engine lost this slot's adapter without an order.  A pinned slot takes
 * no new pins and becomes empty with the last unpin, others at once.
 */
void KcResidency_MarkLost(KcSlot *slot);

/* Limits the rate of loads, so that agents share the weight store's rate
 * without a coordinator.  Durations in microseconds. */
typedef struct KcPace {
    KcTime nominal_load_time; /* of a load that nothing delays */
    KcTime interval;          /* between the starts of two loads; 0: none */
    KcTime interval_max;
    KcTime next_load_at; /* earliest time of the next load */
    uint32_t loads_in_flight;
    uint32_t loads_in_flight_max;
} KcPace;

/* Starts without an interval.  share_interval is the one at which all agents
 * together load as fast as the weight store allows.  interval_max is 4 times
 * that, at least nominal_load_time. */
void KcPace_Init(KcPace *pace, KcTime nominal_load_time,
                 KcTime share_interval);

/* Applies changed values; loads in flight stay counted. */
void KcPace_Configure(KcPace *pace, KcTime nominal_load_time,
                      KcTime share_interval);

/* True when a load may start now. */
bool KcPace_Allows(const KcPace *pace, KcTime now);

/* Counts a load that starts now. */
void KcPace_Begin(KcPace *pace, KcTime now);

/* Counts a load that ended.  Success halves the interval, or sets it to 0 when
 * that is below a quarter of nominal_load_time.  Failure (code other than 0)
 * doubles it, to at least nominal_load_time and at most interval_max. */
void KcPace_End(KcPace *pace, int code, KcTime now);

#endif
