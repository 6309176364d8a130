/*
 * What would become of a request now, and why, without sending it: by the
 * functions that decide about a real one.  Nothing is changed, counted,
 * reserved or sent.
 */
#ifndef KCC_EXPLAIN_H
#define KCC_EXPLAIN_H

#include "kcc_gateway.h"

typedef enum KcForesight {
    KC_FORESEE_REFUSAL = 0,
    KC_FORESEE_SEND, /* an attempt begins at once */
    KC_FORESEE_LOAD, /* a load of its adapter is requested, and awaited */
    KC_FORESEE_AWAIT_LOAD, /* its adapter is being loaded, which it awaits */
    KC_FORESEE_QUEUE,      /* it waits for a server */
    KC_FORESEE_COUNT
} KcForesight;

/* Returns "refuse", "send", "load", "await_load" or "queue". */
const char *KcForesight_Name(KcForesight foresight);

/* What a server has of the request's adapter. */
typedef enum KcHolding {
    KC_HOLDING_NONE = 0, /* the request needs no adapter */
    KC_HOLDING_ABSENT,
    KC_HOLDING_LOADING,
    KC_HOLDING_OUTDATED, /* a version that must not be used any more */
    KC_HOLDING_LOADED,
    KC_HOLDING_COUNT
} KcHolding;

/* Returns "none", "absent", "loading", "outdated" or "loaded". */
const char *KcHolding_Name(KcHolding holding);

/* A server of the request's service. */
typedef struct KcCandidate {
    TAILQ_ENTRY(KcCandidate) link; /* KcExplanation.candidates */
    const KcServer *server;
    const char *reason; /* why it is chosen, or not; static text */
    KcHolding holding;
    uint32_t version;    /* of the adapter there; 0: none */
    const char *no_load; /* why the adapter is not loaded there, static text;
                          * NULL: it may be, or there is none to load */
    uint32_t load;       /* requests there, of all gateways, as estimated */
    KcTime load_age;     /* of the last report of its load; KC_NEVER: none */
    KcTime closed_for;   /* it takes nothing for so long, by its answer; 0 */
    KcTime costs[KC_COST_TERM_COUNT];
    KcTime cost; /* their sum */
} KcCandidate;

TAILQ_HEAD(KcCandidateList, KcCandidate);

/* What is foreseen.  Its pointers are valid until the gateway changes. */
typedef struct KcExplanation {
    KcForesight foresight;
    int code;           /* KcErrorCode of a refusal; else 0 */
    const char *step;   /* of a refusal, static text */
    KcTime retry_after; /* of a refusal; 0: no hint */
    uint64_t part;      /* of the prompt, that is blocked; 0: none */

    const KcRouteRule *rule;          /* NULL: none */
    const KcRouteTarget *target;      /* whose turn it is; NULL: not chosen */
    const KcRoutedCustomer *customer; /* NULL: no one's */
    uint64_t quota_cost;              /* in the unit of the customer */
    KcQuotaState quota;               /* of the customer, before that */
    bool is_quota_unknown; /* it is not in force yet: taken to have room */
    uint32_t priority;
    KcTime time_left; /* until its deadline */

    const KcServer *server;             /* that is chosen; NULL: none */
    uint32_t version;                   /* of the adapter there; 0: any */
    const KcServer *new_replica_server; /* where a further replica is loaded
                                         * besides; NULL: nowhere */
    uint32_t queue_length;              /* of the service */
    uint32_t queue_place;               /* requests before it; in the queue */
    KcTime expected_wait;               /* there; KC_NEVER: unknown */
    KcTime wait_max; /* it waits so long, until that is decided again */
    struct KcCandidateList candidates; /* in the order of the service */
} KcExplanation;

/*
 * Foresees what KcGateway_Submit() would do with the call now.  It is in the
 * name of the customer, whatever key the call has; "": of the holder of its
 * key, if it has one.  A name that is not known is refused as
 * KC_ERR_UNKNOWN_KEY with the step "customer".  Nothing of the key is kept.
 * Servers and keepers that turn out to be unreachable are not foreseen.  To be
 * cleared by KcExplanation_Clear().
 */
void KcGateway_Explain(KcGateway *gateway, const KcForwardCall *call,
                       const char *customer, KcExplanation *explanation,
                       KcTime now);
void KcExplanation_Clear(KcExplanation *explanation);

#endif
