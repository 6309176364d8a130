/*
 * The keeper's context, and what its files use of each other.
 *
 * keeper.c is its life and the gateways' side, keeper_order.c what it orders,
 * keeper_report.c what the engine says; the first two are called by the last.
 */
#ifndef KCC_KEEPER_INTERNAL_H
#define KCC_KEEPER_INTERNAL_H

#include "kcc_keeper.h"

/* An adapter is not evicted so soon after it was loaded: the gateway that
 * asked for it has not told of its use yet. */
#define FRESH (400 * KC_MS)
/* An accepted load that the engine does not tell of has failed by then. */
#define LOAD_GRACE (400 * KC_MS)

/* Longest name of an adapter in the residency: model/adapter. */
#define KEY_MAX KC_NAME_MAX

/* A gateway's request for an adapter. */
typedef struct KcKeeperWant {
    TAILQ_ENTRY(KcKeeperWant) link;
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
    uint32_t version;
    uint32_t priority;
    KcTime since;
} KcKeeperWant;

TAILQ_HEAD(KcKeeperWantList, KcKeeperWant);

/* A base model at the engine. */
typedef struct KcKeeperBase {
    TAILQ_ENTRY(KcKeeperBase) link;
    char name[KC_NAME_MAX];
    uint32_t version;
    bool loading;
    KcTime ordered; /* time of the order, valid while loading */
    bool seen;      /* in the report being read */
} KcKeeperBase;

TAILQ_HEAD(KcKeeperBaseList, KcKeeperBase);

/* Requests in flight by one gateway for one adapter. */
typedef struct KcKeeperUseKey {
    KcLink *link;
    char key[KEY_MAX];
} KcKeeperUseKey;

typedef struct KcKeeperUse {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcKeeperUse) link;
    KcKeeperUseKey key;
    uint32_t in_flight;
} KcKeeperUse;

TAILQ_HEAD(KcKeeperUseList, KcKeeperUse);

struct KcKeeper {
    KcKeeperOptions options;
    KcEngineCapacity capacity;
    KcResidency residency;
    KcPace pace;
    struct KcKeeperBaseList bases;
    char last_base[KC_NAME_MAX]; /* loaded again after a restart */
    bool leaving;                /* the engine takes no new requests */
    bool busy;                   /* the engine works on a base model */
    struct KcKeeperWantList wants;
    uint32_t want_count;
    KcKeeperUse *uses;
    struct KcKeeperUseList use_list;
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

/* ---- life and names (keeper.c) ------------------------------------------- */

/* Asks the engine for a report, unless a call is outstanding. */
void KcKeeper_Ask(KcKeeper *keeper);
void KcKeeper_FreeWant(KcKeeper *keeper, KcKeeperWant *want);
void KcKeeper_FreeBase(KcKeeper *keeper, KcKeeperBase *base);
/* Names an adapter in the residency.  False: too long. */
bool KcKeeper_MakeKey(const char *model, const char *adapter,
                      char key[KEY_MAX]);
KcModelState *KcKeeper_Model(KcKeeper *keeper, const char *key, KcTime now);
/* Splits the key of a slot's adapter. */
void KcKeeper_SplitKey(const KcSlot *slot, char model[KC_NAME_MAX],
                       char adapter[KC_NAME_MAX]);
/* The version of a slot's adapter. */
uint32_t KcKeeper_SlotVersion(const KcSlot *slot);
void KcKeeper_SetVersion(KcSlot *slot, uint32_t version);
/* Tells one gateway, or all when link is NULL, of a slot. */
void KcKeeper_Tell(KcKeeper *keeper, KcLink *link, const KcSlot *slot,
                   KcHeldState state);
/* Logs a decision on the outstanding order, or on another one. */
void KcKeeper_Record(KcKeeper *keeper, const char *decision, int code);
void KcKeeper_RecordOrder(KcKeeper *keeper, const char *decision,
                          const KcOrder *request, int code);

/* ---- orders (keeper_order.c) --------------------------------------------- */

/* Gives the next order, if one may be given. */
void KcKeeper_Pump(KcKeeper *keeper, KcTime now);
/* Gives keeper->order, which concerns the slot; NULL for a base model. */
void KcKeeper_GiveOrder(KcKeeper *keeper, KcSlot *slot);
/* Plans the next report. */
void KcKeeper_Plan(KcKeeper *keeper, KcTime now);
void KcKeeper_EndLoad(KcKeeper *keeper, KcSlot *slot, int code, KcTime now);
KcKeeperBase *KcKeeper_FindBase(const KcKeeper *keeper, const char *name);

#endif
