/*
 * The keeper's state, and functions shared by its files: keeper.c (creation
 * and messages of gateways), keeper_order.c (orders to the engine),
 * keeper_report.c (reports of the engine) and keeper_ends.c (its ends, and
 * prompts that may be their cause).
 */
#ifndef KCC_KEEPER_INTERNAL_H
#define KCC_KEEPER_INTERNAL_H

#include "kcc_keeper.h"

/* An adapter loaded more recently is not evicted: the gateway that requested
 * it has not reported its use yet. */
#define EVICTION_AGE_MIN (400 * KC_MS)
/* A load that the engine's reports do not show after this time has failed; an
 * adapter that they still list so long after its unload order can be used. */
#define ORDER_EFFECT_TIMEOUT (400 * KC_MS)

/* Size of an adapter's key in the residency: model/adapter, with its NUL. */
#define ADAPTER_KEY_MAX KC_NAME_MAX

/* A load request of a gateway that is not served yet. */
typedef struct KcPendingLoadRequest {
    TAILQ_ENTRY(KcPendingLoadRequest) link;
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX]; /* "" for the base model itself */
    uint32_t version_min;      /* lowest that is sufficient; 0: any */
    uint32_t priority;         /* 0 is the most urgent */
    KcTime requested_at;
    bool is_told; /* gateways know that the adapter is on its way */
} KcPendingLoadRequest;

TAILQ_HEAD(KcPendingLoadRequestList, KcPendingLoadRequest);

/* A base model that the engine holds or loads. */
typedef struct KcBaseModel {
    TAILQ_ENTRY(KcBaseModel) link;
    char name[KC_NAME_MAX];
    uint32_t version;
    bool loading;
    KcTime ordered_at; /* time of the load order, valid while loading */
    bool in_report;    /* the engine's present report lists it */
} KcBaseModel;

TAILQ_HEAD(KcBaseModelList, KcBaseModel);

/* A gateway, by its link, and an adapter. */
typedef struct KcAdapterUseKey {
    KcLink *link;
    char key[ADAPTER_KEY_MAX];
} KcAdapterUseKey;

/* Requests in flight of one gateway to one adapter. */
typedef struct KcAdapterUse {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcAdapterUse) link;
    KcAdapterUseKey key;
    uint32_t in_flight;
} KcAdapterUse;

TAILQ_HEAD(KcAdapterUseList, KcAdapterUse);

/* A gateway's question whether an instance of the engine has ended. */
typedef struct KcLostAttempt {
    TAILQ_ENTRY(KcLostAttempt) link;
    KcLink *gateway;
    int64_t started_at_ms; /* of the instance, as far as the gateway knew */
    int64_t reported_started_at_ms; /* of the one that had reported last */
    KcTime asked_at;
    KcTime attempt_began_at;
    uint32_t part_count;
    uint64_t parts[KC_PROMPT_PARTS_MAX];
} KcLostAttempt;

TAILQ_HEAD(KcLostAttemptList, KcLostAttempt);

struct KcKeeper {
    KcKeeperOptions options;
    KcEngineCapacity capacity;
    KcResidency residency;
    KcPace pace;
    struct KcBaseModelList base_models;
    char last_base_model[KC_NAME_MAX]; /* loaded again after a restart */
    bool leaving;                      /* the engine takes no new requests */
    bool base_model_busy; /* the engine is loading or unloading a base model */
    /* In the order in which they are served. */
    struct KcPendingLoadRequestList load_requests;
    uint32_t load_request_count;
    KcAdapterUse *adapter_uses; /* by key */
    struct KcAdapterUseList adapter_use_list;
    uint64_t fence;    /* 0: no orders may be given */
    uint64_t sequence; /* number of orders that the engine has accepted */
    int64_t engine_started_at_ms; /* wall clock; 0: no report yet */
    int64_t left_started_at_ms;   /* of the last instance that was leaving */
    int64_t ended_started_at_ms;  /* of the last one that ended on its own */
    KcTime gone_at; /* when it was first seen that nothing accepts connections
                     * at the engine's address; 0: not since its last report */
    struct KcLostAttemptList lost_attempts;
    uint32_t lost_attempt_count;
    KcSuspects suspects; /* parts of prompts that end engines like this one */
    bool engine_state_known;    /* false: a report must come before orders */
    KcTime next_order_at;       /* no order before this time */
    bool report_pending;        /* a report was requested and not received */
    KcTime report_requested_at; /* of the last one */
    bool order_pending;         /* an order was sent and not answered */
    KcOrder pending_order;      /* the last order sent */
    KcSlot *pending_slot;       /* of the pending order; NULL: a base model */
    KcSlot *unconfirmed_slot;   /* its order was not answered; the next report
                                 * shows whether it was carried out */
    KcTimer report_timer;       /* requests the next report */
};

/* ---- state and names (keeper.c) ------------------------------------------ */

/* Requests a report of the engine, unless one or an order is pending. */
void KcKeeper_RequestReport(KcKeeper *keeper, KcTime now);
/* Remove it from the keeper's list and free it. */
void KcKeeper_FreeLoadRequest(KcKeeper *keeper,
                              KcPendingLoadRequest *load_request);
void KcKeeper_FreeBaseModel(KcKeeper *keeper, KcBaseModel *base);
/* Makes an adapter's key in the residency.  False: too long. */
bool KcKeeper_MakeKey(const char *model, const char *adapter,
                      char key[ADAPTER_KEY_MAX]);
/* Finds a model of the residency by its key, or adds it. */
KcModelState *KcKeeper_FindOrAddModel(KcKeeper *keeper, const char *key,
                                      KcTime now);
/* Splits the key of a slot's adapter into its two names. */
void KcKeeper_SplitKey(const KcSlot *slot, char model[KC_NAME_MAX],
                       char adapter[KC_NAME_MAX]);
/* The version of a slot's adapter. */
uint32_t KcKeeper_SlotVersion(const KcSlot *slot);
void KcKeeper_SetSlotVersion(KcSlot *slot, uint32_t version);
/* Reports a slot's adapter to one gateway, or to all when link is NULL. */
void KcKeeper_NotifySlot(KcKeeper *keeper, KcLink *link, const KcSlot *slot,
                         KcHeldState state);
/* Logs a decision on the pending order, or on the given one. */
void KcKeeper_LogPendingOrder(KcKeeper *keeper, const char *decision,
                              int code);
void KcKeeper_LogOrder(KcKeeper *keeper, const char *decision,
                       const KcOrder *order, int code);

/* ---- ends (keeper_ends.c) ------------------------------------------------ */

void KcKeeper_InitSuspects(KcKeeper *keeper);
/* Answers the questions whose answer is certain by now; is_gone: the instance
 * that reported last has ended. */
void KcKeeper_AnswerLostAttempts(KcKeeper *keeper, bool is_gone, KcTime now);
/* Drops the questions of a gateway, or all when it is NULL. */
void KcKeeper_DropLostAttempts(KcKeeper *keeper, const KcLink *gateway);

/* ---- orders (keeper_order.c) --------------------------------------------- */

/* Drops expired load requests and gives the next order, if one may be given
 * now. */
void KcKeeper_GiveNextOrder(KcKeeper *keeper, KcTime now);
/* Sends keeper->pending_order, which concerns the slot; NULL: a base model. */
void KcKeeper_SendPendingOrder(KcKeeper *keeper, KcSlot *slot);
/* Sets the timer of the next report. */
void KcKeeper_ScheduleReport(KcKeeper *keeper, KcTime now);
/* Ends a slot's load with an error number or 0, and reports it to gateways. */
void KcKeeper_EndLoad(KcKeeper *keeper, KcSlot *slot, int code, KcTime now);
/* Finds a base model that the engine holds or loads; NULL: it has none of this
 * name. */
KcBaseModel *KcKeeper_FindBaseModel(const KcKeeper *keeper, const char *name);

#endif
