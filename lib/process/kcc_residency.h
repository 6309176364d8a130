/*
 * The adapters of one engine as its agent knows them: slots, pins, models,
 * policies for the victim, and the pace of loads.
 */
#ifndef KCC_RESIDENCY_H
#define KCC_RESIDENCY_H

#include <uthash.h>

#include "kcc_types.h"

/*
 * Longest name of an adapter at an engine, with its NUL:
 * adapter@version#fence.sequence.  The part after # is new with every load,
 * so an order that arrives late matches nothing.
 */
#define KC_ENGINE_NAME_MAX (KC_NAME_MAX + 64)

/* What an agent knows of one model, loaded or not. */
typedef struct KcModelState {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcModelState) link;     /* least recently used first */
    char key[KC_ADAPTER_REF_TEXT_SIZE]; /* adapter@version */
    KcAdapterRef ref;
    struct KcSlot *slot;    /* NULL unless loading, loaded or evicting */
    uint32_t waiting_works; /* works that wait for it */
    uint64_t needed_pass;   /* KcResidency.needed_pass in which it was last
                               needed soon */
    uint32_t load_failures; /* loads failed in a row */
    KcTime retry_at;        /* no load before this time */
    KcTime loaded_at;       /* time of the last load that ended well */
    double frequency;       /* aged count of uses */
    KcTime aged_at;         /* time to which frequency is aged */
} KcModelState;

TAILQ_HEAD(KcModelStateList, KcModelState);

typedef enum KcSlotState {
    KC_SLOT_EMPTY = 0,
    KC_SLOT_LOADING,
    KC_SLOT_LOADED,
    KC_SLOT_CLOSING, /* takes no new pin; evicted when the last one goes */
    KC_SLOT_EVICTING
} KcSlotState;

/* A place for one adapter in an engine. */
typedef struct KcSlot {
    TAILQ_ENTRY(KcSlot) link;
    uint32_t number;
    KcSlotState state;
    KcModelState *model; /* NULL when empty */
    uint32_t pins;       /* requests in service; never evicted above zero */
    uint32_t external_requests; /* calls of an earlier holder, by the engine's
                                 * word; likewise never evicted above zero */
    KcTime state_changed_at;    /* time of the last order */
    KcTime used_at;             /* time of the last pin */
    uint64_t load_fence;        /* under which it was loaded */
    double inflation;           /* of the policy at its last use */
    bool lost; /* the engine no longer has it; only pins remain */
    char engine_name[KC_ENGINE_NAME_MAX]; /* of the adapter at the engine */
} KcSlot;

TAILQ_HEAD(KcSlotList, KcSlot);

/* One way of choosing a victim; policies are rows of a table. */
typedef struct KcVictimPolicy {
    const char *name;
    /* Value of keeping a slot; the lowest is evicted. */
    double (*value)(const KcSlot *slot, KcTime now);
} KcVictimPolicy;

/* Finds a policy by name; "kcc" is ours.  NULL when there is none. */
const KcVictimPolicy *KcVictim_FindPolicy(const char *name);

typedef struct KcResidency {
    struct KcSlotList slots;
    uint32_t slot_count;
    uint32_t slot_target; /* by the document; surplus slots are removed */
    KcModelState *models;
    struct KcModelStateList model_list;
    uint32_t model_count;
    uint32_t model_max; /* idle models beyond this are forgotten */
    const KcVictimPolicy *policy;
    double inflation;     /* value of the last victim (aging of GDSF) */
    uint64_t needed_pass; /* counts the looks at what is needed soon */
} KcResidency;

void KcResidency_Init(KcResidency *residency, uint32_t slots,
                      const KcVictimPolicy *policy);
void KcResidency_Clear(KcResidency *residency);

/*
 * Changes the number of slots.  New ones are added at once; KcResidency_Trim()
 * removes surplus ones as they become empty.
 */
void KcResidency_Resize(KcResidency *residency, uint32_t slots);

/*
 * Removes empty surplus slots.  Returns a slot to be evicted when surplus
 * ones are left and none is being evicted or closed yet, else NULL.
 */
KcSlot *KcResidency_Trim(KcResidency *residency, KcTime now);

/* Finds or adds the record of a model. */
KcModelState *KcResidency_FindOrAddModel(KcResidency *residency,
                                         const KcAdapterRef *ref, KcTime now);

/* Counts one use for the model's aged frequency. */
void KcResidency_CountUse(KcModelState *model, KcTime now);

/* The model's aged frequency at this time. */
double KcResidency_Frequency(const KcModelState *model, KcTime now);

/* True when works for the model may start now. */
bool KcResidency_IsLoaded(const KcModelState *model);

/* Pins a ready slot for one request. */
void KcResidency_Pin(KcResidency *residency, KcSlot *slot, KcTime now);
void KcResidency_Unpin(KcSlot *slot);

/*
 * The slot to use for a load: an empty one, else the unpinned one of lowest
 * value.  With spare_needed, slots whose model is needed soon are passed
 * over.  NULL when there is none.
 */
KcSlot *KcResidency_ChooseVictim(KcResidency *residency, bool spare_needed,
                                 KcTime now);

/*
 * Closes the pinned slot of lowest value to new pins, to make room for a
 * model that has waited too long.  NULL when every slot is already closing,
 * loading or evicting.
 */
KcSlot *KcResidency_CloseSlot(KcResidency *residency, KcTime now);

/* Changes of a slot's state. */
void KcResidency_BeginLoad(KcResidency *residency, KcSlot *slot,
                           KcModelState *model, uint64_t fence, KcTime now);
void KcResidency_EndLoad(KcSlot *slot, int code, KcTime now);
void KcResidency_BeginEvict(KcResidency *residency, KcSlot *slot, KcTime now);
void KcResidency_EndEvict(KcSlot *slot);

/*
 * The engine lost this slot's adapter without an order.  A pinned slot
 * takes no new pin and becomes empty when the last pin goes.
 */
void KcResidency_MarkLost(KcSlot *slot);

/* Shares the weight store's rate without a coordinator. */
typedef struct KcPace {
    KcTime nominal;  /* time of an undisturbed load */
    KcTime interval; /* time between the starts of two loads */
    KcTime high;     /* bound of the interval */
    KcTime next;     /* the next load may start then */
    uint32_t in_flight;
    uint32_t in_flight_max;
} KcPace;

void KcPace_Init(KcPace *pace, KcTime nominal, KcTime share);

/* Takes over a changed rate; loads in flight stay counted. */
void KcPace_Configure(KcPace *pace, KcTime nominal, KcTime share);

/* True when a load may start now. */
bool KcPace_Allows(const KcPace *pace, KcTime now);
void KcPace_Begin(KcPace *pace, KcTime now);

/* Adapts the interval to how a load ended. */
void KcPace_End(KcPace *pace, int code, KcTime now);

#endif
