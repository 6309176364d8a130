/*
 * The keeper: decides which adapters one engine holds, while gateways send
 * their requests to the engine directly.
 *
 * Only the keeper gives orders to its engine.  Gateways send it load requests
 * and report their use of adapters; it reports to them what the engine holds.
 */
#ifndef KCC_KEEPER_H
#define KCC_KEEPER_H

#include "kcc_gateway.h"
#include "kcc_process.h"
#include "kcc_residency.h"
#include "kcc_suspects.h"

typedef struct KcKeeper KcKeeper;

/* An order to the engine to load or unload a model or an adapter. */
typedef struct KcOrder {
    bool unload;
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX]; /* "" for the base model itself */
    uint32_t version;          /* of a load; 0: the newest */
    uint64_t fence;            /* fencing number of the keeper */
    uint64_t sequence; /* number of orders that the engine accepted before; it
                        * refuses an order with another number */
} KcOrder;

/* An engine's answer to an order. */
typedef enum KcOrderResult {
    KC_ORDER_ACCEPTED = 0, /* it is being carried out */
    KC_ORDER_DONE,         /* the ordered state is reached, or was before */
    KC_ORDER_REFUSED,      /* not carried out: the engine's state differs */
    KC_ORDER_UNKNOWN       /* no answer: it may be carried out, even later */
} KcOrderResult;

/* An engine's report of its state. */
typedef struct KcEngineReport {
    uint64_t sequence;    /* number of orders that the engine has accepted */
    bool leaving;         /* it takes no new requests */
    bool base_model_busy; /* it is loading or unloading a base model */
    KcServerInfo info; /* only its start time, and the models that it holds */
} KcEngineReport;

/* A decision for the log, and the state in which it was taken. */
typedef struct KcKeeperLogEntry {
    const char *decision; /* static text, e.g. "load" */
    const KcOrder *order;
    int code;                    /* error number, 0 when the order is sent */
    uint32_t slot_count;         /* slots for adapters */
    uint32_t slots_in_use;       /* slots with requests in flight */
    uint32_t loading_count;      /* adapters being loaded */
    uint32_t load_request_count; /* load requests that wait */
} KcKeeperLogEntry;

/* What a keeper learned of its engine as a whole. */
typedef enum KcEngineNews {
    KC_ENGINE_SILENT = 0, /* it gave no report, for the first time in a row */
    KC_ENGINE_STARTED,    /* another instance of it reports */
    KC_ENGINE_LEAVING,    /* it takes no new requests, and will end */
    KC_ENGINE_ENDED       /* it has ended on its own; a gateway has asked */
} KcEngineNews;

/* Calls of a keeper to its program. */
typedef struct KcKeeperOps {
    /* Sends an order to the engine; answered by KcKeeper_OnOrderResult(),
     * later. */
    void (*send_order)(void *context, const KcOrder *order);
    /* Requests the engine's report; answered by KcKeeper_OnReport(), later. */
    void (*request_report)(void *context);
    /* Reports the state of an adapter, of a base model when adapter is "", or
     * of the whole engine when model is "" too, to the gateway of the link, or
     * to all gateways when link is NULL. */
    void (*notify_gateways)(void *context, KcLink *link, const char *model,
                            const char *adapter, uint32_t version,
                            KcHeldState state);
    /* Logs a decision. */
    void (*log_decision)(void *context, const KcKeeperLogEntry *log_entry);
    /* Logs news of the engine; started_at_ms is the start time of the instance
     * that reported last, 0: none. */
    void (*log_engine)(void *context, KcEngineNews news,
                       int64_t started_at_ms);
    /* Answers KcKeeper_OnLostAttempt(): the instance that started then has
     * ended on its own. */
    void (*confirm_end)(void *context, KcLink *link, const KcServerEnd *end);
    /* Sends news of a part to the gateway of the link, or when link is NULL to
     * all gateways except that of the link except, which may be NULL. */
    void (*send_suspect)(void *context, KcLink *link, const KcLink *except,
                         const KcSuspectNews *news);
    /* Logs a step of a part, see KcSuspectOps. */
    void (*log_suspect)(void *context, KcSuspectStep step,
                        const KcSuspect *suspect, bool is_own);
} KcKeeperOps;

/* Durations in microseconds. */
typedef struct KcKeeperOptions {
    const KcKeeperOps *ops;
    void *context; /* first argument of ops */
    KcTimers *timers;
    KcCounters *counters;
    /* Between reports while a load, an eviction or a load request is pending
     * (loading) and while none is (idle). */
    KcTime idle_report_interval;
    KcTime loading_report_interval;
    KcSuspectOptions suspects; /* ops, context and counters are not used */
} KcKeeperOptions;

/* Sets the intervals to their defaults and the rest to zero. */
void KcKeeperOptions_Init(KcKeeperOptions *options);

/* Creates a keeper, freed by KcKeeper_Free(); the options are copied. */
KcKeeper *KcKeeper_Create(const KcKeeperOptions *options);
void KcKeeper_Free(KcKeeper *keeper);

/* Requests the first report of the engine. */
void KcKeeper_Start(KcKeeper *keeper, KcTime now);

/* Sets the fencing number: without one no order is given.  A number that is
 * not above the present one is ignored. */
void KcKeeper_SetFence(KcKeeper *keeper, uint64_t fence, KcTime now);

/* The fencing number, 0 when there is none. */
uint64_t KcKeeper_Fence(const KcKeeper *keeper);

/* Sets what the engine can hold; copied. */
void KcKeeper_SetCapacity(KcKeeper *keeper, const KcEngineCapacity *capacity,
                          KcTime now);

/* In place of KcKeeper_OnReport(): nothing accepts connections at the engine's
 * address. */
void KcKeeper_OnEngineGone(KcKeeper *keeper, KcTime now);
/* The engine answered a request for its report; NULL: it did not answer. */
void KcKeeper_OnReport(KcKeeper *keeper, const KcEngineReport *report,
                       KcTime now);

/* The engine answered an order, or did not (KC_ORDER_UNKNOWN). */
void KcKeeper_OnOrderResult(KcKeeper *keeper, KcOrderResult result,
                            KcTime now);

/* A gateway sent a load request, for a base model when adapter is ""; fields
 * as in KcMsgWant. */
void KcKeeper_OnLoadRequest(KcKeeper *keeper, const char *model,
                            const char *adapter, uint32_t version_min,
                            uint32_t priority, KcTime now);

/* A gateway reports its requests to an adapter: those begun since its last
 * report (uses) and those in flight now. */
void KcKeeper_OnUsage(KcKeeper *keeper, KcLink *link, const char *model,
                      const char *adapter, uint32_t uses, uint32_t in_flight,
                      KcTime now);

/* A gateway connected: everything that the engine holds is reported to it. */
void KcKeeper_OnGatewayConnected(KcKeeper *keeper, KcLink *link, KcTime now);

/*
 * A gateway lost an attempt at an instance of the engine before it was
 * answered, and asks whether the engine has ended.  It gets an answer only if
 * it has, on its own.
 */
void KcKeeper_OnLostAttempt(KcKeeper *keeper, KcLink *link,
                            const KcServerEnd *end, KcTime now);

/* Takes news of a part from a gateway, and passes them on to the others. */
void KcKeeper_OnSuspectNews(KcKeeper *keeper, KcLink *link,
                            const KcSuspectNews *news, KcTime now);

/* The parts that this keeper knows of. */
KcSuspects *KcKeeper_GetSuspects(KcKeeper *keeper);

/* A gateway's link ended: its requests in flight no longer count. */
void KcKeeper_OnGatewayLost(KcKeeper *keeper, KcLink *link, KcTime now);

/*
 * Returns 0 when orders can be given, KC_ERR_NO_LEASE without a fencing
 * number, KC_ERR_NO_BACKEND while the engine's state is not known.
 */
int KcKeeper_CheckReady(const KcKeeper *keeper);

#endif
