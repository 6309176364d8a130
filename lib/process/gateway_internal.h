/*
 * The gateway's context, and what its files use of each other.
 *
 * The calls go one way: gateway_forward.c (requests) uses gateway_choose.c
 * (decisions), which uses gateway_cost.c (what a server costs) and
 * gateway_servers.c and gateway_adapters.c (what is known of servers, and of
 * adapters and who holds them).  gateway_answer.c
 * takes what the sending side reports to requests, gateway_silence.c acts
 * where it reports nothing.
 */
#ifndef KCC_GATEWAY_INTERNAL_H
#define KCC_GATEWAY_INTERNAL_H

#include "kcc_gateway.h"

struct KcGateway {
    KcGatewayOptions options;
    char datacentre[KC_NAME_MAX];
    char region[KC_NAME_MAX];
    KcRouting *routing;
    KcServer *servers;
    KcServerPool *pools;
    KcAdapterState *adapters;
    struct KcAdapterStateList adapter_list;
    uint32_t adapter_count;
    TAILQ_HEAD(, KcReplica) untold;
    struct KcForwardList forwards;
    uint32_t in_flight;
    uint32_t list_epoch;   /* of the list of servers being told */
    bool listed;           /* a whole list was told */
    uint32_t gateways;     /* that share the retry budget */
    uint64_t draws;        /* state of the random numbers */
    KcTime refuse_streams; /* no stream is accepted from this time */
    KcTime refuse_all;     /* nor anything else from this one */
    KcTime awake_at;       /* this process was awake ever since */
    KcTimer tick;          /* notices pauses while requests are in flight */
    KcTimer sweep;         /* forgets servers that stay missing */
};

/* Makes sure that pauses of this process are noticed. */
void KcGateway_Watch(KcGateway *gateway, KcTime now);

/* ---- adapters (gateway_adapters.c) --------------------------------------- */

double KcUseCount_Value(const KcUseCount *count, KcTime now);
void KcUseCount_Add(KcUseCount *count, KcTime now);

KcAdapterState *KcGateway_Adapter(KcGateway *gateway, const char *model,
                                  const char *name);
void KcGateway_ClearAdapters(KcGateway *gateway);

/*
 * Takes over what a record says that its server holds.  Records lag: where
 * the keeper is heard, its word on adapters goes first.
 */
void KcServer_SetHeld(KcGateway *gateway, KcServer *server,
                      const KcServerInfo *info, KcTime now);
/* The server holds no adapter any more, or with_models nothing at all. */
void KcServer_DropHeld(KcGateway *gateway, KcServer *server, bool with_models);

/* True when the holding can serve a request now. */
bool KcHolding_Usable(const KcReplica *holding, KcTime now);
/* Counts a request in and out. */
void KcHolding_Begin(KcGateway *gateway, KcReplica *holding);
void KcHolding_End(KcGateway *gateway, KcReplica *holding);
/* The server's keeper was asked for the adapter. */
void KcHolding_Expect(KcServer *server, KcAdapterState *adapter);
/* The server said that it does not have it. */
void KcHolding_Drop(KcGateway *gateway, KcReplica *holding);

/* ---- servers (gateway_servers.c) ----------------------------------------- */

KcServerPool *KcGateway_Pool(KcGateway *gateway, const char *service);

/* Notes how a sending to the server ended. */
void KcServer_NoteSuccess(KcServer *server);
/* Notes the time from a sending to the first byte of its answer. */
void KcServer_NoteFirst(KcServer *server, KcTime took, KcTime now);
void KcServer_NoteFailure(KcServer *server, KcAttemptEnd end, KcTime now);

void KcGateway_ClearServers(KcGateway *gateway);
void KcGateway_InitServers(KcGateway *gateway);

/* ---- costs (gateway_cost.c) ---------------------------------------------- */

/* Brings the means of a service's servers up to date. */
void KcServerPool_RefreshMeans(KcServerPool *pool, KcTime now);
/* Requests at the server, of all gateways, as far as is known. */
uint32_t KcServer_Load(const KcServer *server, KcTime now);
/* Expected time that the way to the server adds to the request. */
KcTime KcServer_Cost(const KcServer *server, const KcForward *forward,
                     KcTime now);
/* True when a further request would only wait there. */
bool KcServer_IsFull(const KcServer *server, const KcForward *forward,
                     KcTime now);
/* True when it has far more requests than the others of its service. */
bool KcServer_IsCrowded(const KcServer *server, KcTime now);
/* True when it answers so late that objectives are in danger. */
bool KcServer_IsSlow(const KcServer *server, const KcForward *forward,
                     KcTime now);
/* How long nothing was heard of the server; 0 when no request is there. */
KcTime KcServer_Silence(const KcServer *server, KcTime now);
/* True when requests are at the server and nothing was heard for too long. */
bool KcServer_IsMute(const KcServer *server, KcTime now);

/* ---- decisions (gateway_choose.c) ---------------------------------------- */

typedef enum KcChoiceAction {
    KC_CHOICE_NONE = 0, /* no server is known that could be used */
    KC_CHOICE_SEND,
    KC_CHOICE_AWAIT, /* the adapter is on its way to the server */
    KC_CHOICE_LOAD,  /* the server's keeper must load the adapter */
    KC_CHOICE_QUEUE  /* every place is taken */
} KcChoiceAction;

typedef struct KcChoice {
    KcChoiceAction action;
    KcServer *server;
    KcReplica *holding; /* NULL when the request names no model */
    KcServer *copy_at;  /* a further copy is worth while here; may be NULL */
} KcChoice;

/* Decides what becomes of a request now. */
void KcGateway_Choose(const KcForward *forward, KcTime now, KcChoice *choice);

/* ---- requests (gateway_forward.c) ---------------------------------------- */

/* Finds a way for a request that has none. */
void KcForward_Dispatch(KcForward *forward, KcTime now);
/* Tries those that wait for a place, the most urgent first. */
void KcGateway_DispatchQueue(KcServerPool *pool, KcTime now);
/*
 * Tries those that wait for an adapter.  refused, when not NULL, is a server
 * that will not load it: those that wait for it look elsewhere.
 */
void KcGateway_DispatchWaiting(KcAdapterState *adapter, KcServer *refused,
                               KcTime now);
/* Lets go of the server and the adapter that a sending used. */
void KcForward_Release(KcForward *forward);
/* Takes the request back from the server that it is at. */
void KcForward_Withdraw(KcForward *forward);
/* The server is not tried for this request again while there are others. */
void KcForward_NoteTried(KcForward *forward, KcServer *server);
bool KcForward_HasTried(const KcForward *forward, const KcServer *server);
/* Ends: whole, and with an error; may_have_run tells the caller so. */
void KcForward_FinishEnd(KcForward *forward, int status, KcTime now);
void KcForward_FinishFailed(KcForward *forward, bool may_have_run, KcTime now);

/* The timer is set, at the latest to when the request is given up. */
void KcForward_SetTimer(KcForward *forward, KcTime due);

/* ---- silence (gateway_silence.c) ----------------------------------------- */

/* The request is at a server: when it is looked at for silence. */
void KcForward_AwaitWord(KcForward *forward);
/* That time has come. */
void KcForward_OnSilence(KcForward *forward, KcTime now);
/* The record of the server is missing: its streams may be lost. */
void KcGateway_EndLost(KcGateway *gateway, const KcServer *server, KcTime now);

/* ---- answers (gateway_answer.c) ------------------------------------------ */

/* Decides what follows a sending without a whole answer. */
void KcForward_GoOn(KcForward *forward, KcAttemptEnd end, int code,
                    const char *step, KcTime now);

#endif
