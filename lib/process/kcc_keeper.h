/*
 * The keeper: an agent that keeps the adapters of one engine, while requests
 * reach the engine straight from gateways.
 *
 * It alone orders its engine.  Gateways ask it for adapters and tell it what
 * they use; it tells them what the engine holds.
 */
#ifndef KCC_KEEPER_H
#define KCC_KEEPER_H

#include "kcc_gateway.h"
#include "kcc_process.h"
#include "kcc_residency.h"

typedef struct KcKeeper KcKeeper;

/* One order to the engine. */
typedef struct KcOrder {
    bool unload;
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX]; /* "" for the base model itself */
    uint32_t version;          /* of a load; 0: the newest */
    uint64_t fence;            /* of the holder */
    uint64_t sequence;         /* number of orders the engine has accepted */
} KcOrder;

/* What an engine answers to an order. */
typedef enum KcOrderResult {
    KC_ORDER_ACCEPTED = 0, /* it is being carried out */
    KC_ORDER_DONE,         /* it held already, or is done */
    KC_ORDER_REFUSED,      /* not carried out: state was another */
    KC_ORDER_UNKNOWN       /* no answer: it may be carried out, also later */
} KcOrderResult;

/* What an engine says of itself; see KcServerInfo.held for its adapters. */
typedef struct KcEngineReport {
    uint64_t sequence;
    bool leaving;         /* it takes no new requests */
    bool base_model_busy; /* it is loading or unloading a base model */
    KcServerInfo info;    /* born and held */
} KcEngineReport;

/* One decision, for the log, with what decided it. */
typedef struct KcKeeperLogEntry {
    const char *decision; /* static text, e.g. "load" */
    const KcOrder *order;
    int code;
    uint32_t slot_count;         /* for adapters */
    uint32_t slots_in_use;       /* of these, by requests in flight */
    uint32_t loading_count;      /* adapters on their way */
    uint32_t load_request_count; /* requests for adapters that wait */
} KcKeeperLogEntry;

typedef struct KcKeeperOps {
    /* Orders the engine; answered by KcKeeper_OnOrderResult(), later. */
    void (*send_order)(void *context, const KcOrder *order);
    /* Asks the engine; answered by KcKeeper_OnReport(), later. */
    void (*request_report)(void *context);
    /* Tells every gateway, or one link when it is given. */
    void (*notify_gateways)(void *context, KcLink *link, const char *model,
                            const char *adapter, uint32_t version,
                            KcHeldState state);
    void (*log_decision)(void *context, const KcKeeperLogEntry *record);
} KcKeeperOps;

typedef struct KcKeeperOptions {
    const KcKeeperOps *ops;
    void *context;
    KcTimers *timers;
    KcCounters *counters;
    KcTime idle_report_interval; /* between reports while nothing is loading */
    KcTime loading_report_interval; /* between reports while something is */
} KcKeeperOptions;

void KcKeeperOptions_Init(KcKeeperOptions *options);
KcKeeper *KcKeeper_Create(const KcKeeperOptions *options);
void KcKeeper_Free(KcKeeper *keeper);

/* Begins to ask the engine. */
void KcKeeper_Start(KcKeeper *keeper, KcTime now);

/* The right to order: a fencing number above any earlier holder's. */
void KcKeeper_SetFence(KcKeeper *keeper, uint64_t fence, KcTime now);
uint64_t KcKeeper_Fence(const KcKeeper *keeper);

/* What the engine can hold; copied. */
void KcKeeper_SetCapacity(KcKeeper *keeper, const KcEngineCapacity *capacity,
                          KcTime now);

/* report NULL: no answer. */
void KcKeeper_OnReport(KcKeeper *keeper, const KcEngineReport *report,
                       KcTime now);
void KcKeeper_OnOrderResult(KcKeeper *keeper, KcOrderResult end, KcTime now);

/* A gateway asks for an adapter; version 0: any. */
void KcKeeper_OnLoadRequest(KcKeeper *keeper, const char *model,
                            const char *adapter, uint32_t version,
                            uint32_t priority, KcTime now);
/* A gateway tells of uses since it last did, and requests in flight. */
void KcKeeper_OnUsage(KcKeeper *keeper, KcLink *link, const char *model,
                      const char *adapter, uint32_t uses, uint32_t in_flight,
                      KcTime now);
/* A gateway connected: it is told everything. */
void KcKeeper_OnGatewayConnected(KcKeeper *keeper, KcLink *link, KcTime now);
/* A gateway's link ended: what it said is in flight no longer counts. */
void KcKeeper_OnGatewayLost(KcKeeper *keeper, KcLink *link, KcTime now);

/* 0 when it can order its engine, else why not. */
int KcKeeper_CheckReady(const KcKeeper *keeper);

#endif
