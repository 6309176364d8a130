/*
 * The gateway's state, and the functions that its source files share.
 *
 * gateway_forward.c (requests) calls gateway_dispatch.c (seeking a server),
 * which calls gateway_queue.c (the queue of a service, by the decisions of
 * lib/process/load) and gateway_choose.c (decisions), which calls
 * gateway_homes.c (where adapters are loaded), gateway_cost.c (costs of
 * servers), gateway_servers.c (servers) and gateway_adapters.c (adapters and
 * their replicas).  gateway_explain.c calls all of them for a request that is
 * only foreseen.  gateway_answer.c handles
 * the reports of attempts, gateway_silence.c attempts whose server reports
 * nothing, gateway_notice.c what servers say of themselves, gateway_suspects.c
 * prompts that end servers.
 */
#ifndef KCC_GATEWAY_INTERNAL_H
#define KCC_GATEWAY_INTERNAL_H

#include "kcc_explain.h"

struct KcGateway {
    KcGatewayOptions options;
    char datacentre[KC_NAME_MAX];
    char region[KC_NAME_MAX];
    KcRouting *routing;      /* in force; NULL: none yet */
    KcQuotas *quotas;        /* of the customers; see KcGateway_GetQuotas() */
    uint64_t quotas_version; /* of the routing that they were taken from */
    KcServer *servers;       /* hash table by id */
    KcServer *servers_by_address;
    KcServerPool *pools;
    KcAdapterState *adapters;
    struct KcAdapterStateList adapter_list;
    uint32_t adapter_count;
    TAILQ_HEAD(, KcReplica) unreported; /* uses to report to keepers */
    struct KcForwardList forwards;      /* requests that have not ended */
    uint32_t in_flight;                 /* number of forwards */
    uint32_t current_list_epoch; /* of the list of servers being received */
    bool server_list_known;      /* a complete list was received */
    uint32_t gateway_count;      /* gateways that share the retry budget */
    uint64_t random_state;
    KcTime refuse_at; /* of a planned stop, see KcGateway_Drain() */
    KcTime end_at;
    KcTimer end_timer;    /* ends the requests in progress at end_at */
    KcTime last_pause_at; /* when this process last went on after a pause */
    KcTime last_pause_length;
    KcTimer pause_timer;   /* detects pauses while requests are in flight */
    KcTimer missing_timer; /* checks servers whose record is missing */
};

/* Is the planned stop at its end?  Asked by whatever could send, as other
 * timers and events may be handled before end_timer. */
bool KcGateway_HasEnded(const KcGateway *gateway, KcTime now);
/* Starts to detect pauses of this process, until no request is in flight. */
void KcGateway_DetectPauses(KcGateway *gateway, KcTime now);
/* True just after a pause of this process, in whatever order timers are run:
 * what its servers sent meanwhile may not have been read yet. */
bool KcGateway_HasPaused(const KcGateway *gateway, KcTime now);
/* How long that pause was; 0: there was none. */
KcTime KcGateway_PauseLength(const KcGateway *gateway, KcTime now);

/* ---- customers (gateway_customers.c) ------------------------------------- */

/* In whose name a request is taken, and what that costs. */
typedef struct KcAdmission {
    const KcRoutedCustomer *customer; /* NULL: it needs no key */
    uint64_t cost;                    /* taken from the customer's quota */
    KcTime retry_after;               /* of a refusal; 0: no hint */
    const char *step;                 /* of a refusal, static text */
} KcAdmission;

/* Decides in whose name a request is, and takes it from the customer's quota.
 * Returns 0, KC_ERR_UNKNOWN_KEY, KC_ERR_UNCONFIRMED or KC_ERR_LIMIT_EXCEEDED.
 */
int KcGateway_Admit(KcGateway *gateway, const KcForwardCall *call,
                    const KcRouteRule *rule, KcAdmission *admission,
                    KcTime now);
/* What KcGateway_Admit() would do with a request on explanation->rule in the
 * name of that customer, "" for the holder of the call's key; explains it. */
int KcGateway_ForeseeAdmission(const KcGateway *gateway,
                               const KcForwardCall *call, const char *customer,
                               KcAdmission *admission,
                               KcExplanation *explanation, KcTime now);
/* The priority of the customer, or else of the route. */
uint32_t KcAdmission_Priority(const KcAdmission *admission,
                              const KcRouteRule *rule);
/*
 * May a request that was taken still be sent, by the newest configuration?
 * Returns 0, KC_ERR_UNKNOWN_KEY when its key was taken away meanwhile, or
 * KC_ERR_UNCONFIRMED when that is not certain, or it would have to be taken in
 * another name now.  An answer that has begun goes on.
 */
int KcForward_CheckKey(const KcForward *forward);
/* Refuses the request, if KcForward_CheckKey() says that it may not be sent;
 * returns whether it did. */
bool KcForward_RefuseForKey(KcForward *forward, KcTime now);
/* Is every key to be kept from the servers? */
bool KcForward_HidesKey(const KcForward *forward);
/* Takes the request's cost once more, as a second server is to run it, too;
 * false if its customer has no room. */
bool KcForward_TakeQuota(KcForward *forward, KcTime now);
/* The request has not run and will not run: gives its cost back. */
void KcForward_GiveBackQuota(KcForward *forward, KcTime now);

/* ---- adapters (gateway_adapters.c) --------------------------------------- */

/* Returns the count as faded by now. */
double KcUseCount_Value(const KcUseCount *count, KcTime now);
/* Adds one use. */
void KcUseCount_Add(KcUseCount *count, KcTime now);

/* Initialises an adapter of which nothing is known. */
void KcAdapterState_Init(KcAdapterState *adapter, const char *model,
                         const char *name);
/* Finds an adapter; NULL when it is not known. */
KcAdapterState *KcGateway_FindAdapter(const KcGateway *gateway,
                                      const char *model, const char *name);
/* Finds or creates an adapter and marks it as the most recently used. */
KcAdapterState *KcGateway_GetAdapter(KcGateway *gateway, const char *model,
                                     const char *name);
/* Frees all adapters. */
void KcGateway_ClearAdapters(KcGateway *gateway);

/*
 * Sets a server's replicas from its record, unless they were set from the same
 * revision before.  Records lag, so adapters are taken from it only while the
 * keeper sends no reports.
 */
void KcServer_SetReplicas(KcGateway *gateway, KcServer *server,
                          const KcServerInfo *info, KcTime now);
/* Drops a server's adapters; with_models also its base models. */
void KcServer_DropReplicas(KcGateway *gateway, KcServer *server,
                           bool with_models);

/* True when the server is one of the last that had the adapter loaded. */
bool KcAdapter_WasHeldBy(const KcAdapterState *adapter,
                         const KcServer *server);
/* True when requests may no longer begin on its version. */
bool KcReplica_IsOutdated(const KcReplica *replica, KcTime now);
/* True when the replica is loaded and its version may still serve. */
bool KcReplica_IsUsable(const KcReplica *replica, KcTime now);
/* Count an attempt that uses the replica, at its start and at its end. */
void KcReplica_BeginUse(KcGateway *gateway, KcReplica *replica);
void KcReplica_EndUse(KcGateway *gateway, KcReplica *replica);
/* Adds a loading replica after a load request to the server's keeper. */
void KcReplica_AddLoading(KcServer *server, KcAdapterState *adapter);
/* Drops a replica; it is freed once no attempt uses it. */
void KcReplica_Drop(KcGateway *gateway, KcReplica *replica);

/* ---- servers (gateway_servers.c) ----------------------------------------- */

/* Initialises a pool without servers. */
void KcServerPool_Init(KcServerPool *pool, KcGateway *gateway,
                       const char *service);
/* Finds the pool of a service; NULL when there is none yet. */
KcServerPool *KcGateway_FindPool(const KcGateway *gateway,
                                 const char *service);
/* Finds or creates the pool of a service. */
KcServerPool *KcGateway_GetPool(KcGateway *gateway, const char *service);

/* Records an attempt that was answered completely, with a status below 500. */
void KcServer_NoteSuccess(KcServer *server);
/* Records the time from an attempt's start to the first byte of its answer. */
void KcServer_NoteFirstByte(KcServer *server, KcTime duration, KcTime now);
/* Records the time from an attempt's start to its answer, which is not a
 * stream. */
void KcServer_NoteWork(KcServer *server, KcTime duration, KcTime now);
/* Records an attempt that failed, also by an answer with a status of 500 or
 * more; refusals are no failures. */
void KcServer_NoteFailure(KcServer *server, KcAttemptEnd end, KcTime now);

/* Initialises the lists of adapters and the timer of missing records. */
void KcGateway_InitServers(KcGateway *gateway);
/* Frees all servers, pools and adapters. */
void KcGateway_ClearServers(KcGateway *gateway);

/* ---- notices (gateway_notice.c) ------------------------------------------ */

/* Starts to handle a server's notices; ends it, before the server is freed. */
void KcServer_InitNotices(KcServer *server);
void KcServer_ClearNotices(KcServer *server);
/* Forgets the notices if a record with this start time is of a later instance
 * than the one that gave them. */
void KcServer_ReviewNotices(KcServer *server, int64_t started_at_ms);
/* Note an attempt that starts, the head of an answer to it that is passed on
 * or handled, and its end. */
void KcServer_BeginTrial(KcServer *server, const KcForward *forward);
void KcServer_NoteAnswer(KcServer *server, const KcForward *forward,
                         KcTime now);
void KcServer_EndTrial(KcServer *server, const KcForward *forward);

/* ---- prompts that end servers (gateway_suspects.c) ----------------------- */

void KcServerPool_InitSuspects(KcServerPool *pool);
void KcServerPool_ClearSuspects(KcServerPool *pool);
/* Notes that this gateway ends an attempt, before it is released. */
void KcForwardAttempt_NoteWithdrawal(const KcForwardAttempt *attempt,
                                     KcTime now);
/* Notes that an attempt was lost, before it is released. */
void KcForwardAttempt_NoteLoss(const KcForwardAttempt *attempt, int code,
                               KcTime now);
/* Notes that an answer to the request has begun. */
void KcForward_NoteAnswer(KcForward *forward, KcTime now);
/* Refuses the request, if it has a part that must not be sent; returns whether
 * it did. */
bool KcForward_RefuseIfBlocked(KcForward *forward, KcTime now);
/* The part for which the request is refused; NULL: none.  A request that may
 * try its part becomes the one that does. */
const KcSuspect *KcForward_FindRefusedPart(KcForward *forward);
/* May the request not be sent? */
bool KcForward_IsBlocked(const KcForward *forward);

/* ---- costs (gateway_cost.c) ---------------------------------------------- */

/* Recomputes the means over a pool's servers when they are out of date. */
void KcServerPool_RefreshMeans(KcServerPool *pool, KcTime now);
/* Estimated requests at the server, of all gateways. */
uint32_t KcServer_Load(const KcServer *server, KcTime now);
/* The parts of the cost of an attempt at the server, as listed in
 * gateway_cost.c; see KcCostTerm_Name(). */
void KcServer_ListCosts(const KcServer *server, const KcForward *forward,
                        KcTime costs[KC_COST_TERM_COUNT], KcTime now);
/* Cost of an attempt at the server, as expected added latency: their sum. */
KcTime KcServer_Cost(const KcServer *server, const KcForward *forward,
                     KcTime now);
/* Why the server has no capacity for the request at present, static text; NULL
 * when it has. */
const char *KcServer_WhyFull(const KcServer *server, const KcForward *forward,
                             KcTime now);
/* True when the server has no capacity for the request at present. */
bool KcServer_IsFull(const KcServer *server, const KcForward *forward,
                     KcTime now);
/* True when its load is far above the mean of its pool. */
bool KcServer_IsCrowded(const KcServer *server, KcTime now);
/* True when its time to the first byte endangers the route's objective. */
bool KcServer_IsSlow(const KcServer *server, const KcForward *forward,
                     KcTime now);
/* Time since last_activity_at, or since the end of this process's last pause
 * if that is later; 0 when no request is in flight. */
KcTime KcServer_Silence(const KcServer *server, KcTime now);
/* True when requests are in flight and the silence is too long; not while the
 * answer to one of them is not read, as its bytes would be the sign of life.
 */
bool KcServer_IsSilent(const KcServer *server, KcTime now);
/* True when requests should rather go to another server, if there is one. */
bool KcServer_IsFailing(const KcServer *server, KcTime now);

/* ---- decisions (gateway_choose.c) ---------------------------------------- */

typedef enum KcChoiceAction {
    KC_CHOICE_NONE = 0,      /* no server can be used */
    KC_CHOICE_REFUSE,        /* every server is leaving: waiting is in vain */
    KC_CHOICE_AWAIT_OPENING, /* every server that could take it is closed */
    KC_CHOICE_SEND,          /* start an attempt at the server */
    KC_CHOICE_AWAIT_LOAD,    /* the adapter is being loaded at the server */
    KC_CHOICE_LOAD, /* request the server's keeper to load the adapter */
    KC_CHOICE_QUEUE /* wait: no server can take it at present */
} KcChoiceAction;

typedef struct KcChoice {
    KcChoiceAction action;
    KcServer *server;             /* NULL for NONE and QUEUE */
    KcReplica *replica;           /* to use for SEND; NULL without a model */
    KcServer *new_replica_server; /* where to load a further replica of the
                                   * adapter besides; NULL: nowhere */
    KcTime opens_at; /* of AWAIT_OPENING: the first end of a wait */
} KcChoice;

/* Chooses what to do with a request now. */
void KcGateway_Choose(const KcForward *forward, KcTime now, KcChoice *choice);
/* May the request be sent to the server, or wait for a load there? */
bool KcForward_MayUse(const KcForward *forward, const KcServer *server,
                      KcTime now);
/* When the first server opens that could take a request like this one, if all
 * are closed; 0 otherwise. */
KcTime KcGateway_FirstOpening(const KcForward *forward, KcTime now);

/* ---- where adapters are loaded (gateway_homes.c) ------------------------- */

/*
 * The best server, at most at the given distance, to load the adapter at; NULL
 * when there is none.  The server must have the base model, unless no server
 * has it; then the model is loaded with the adapter.  serving: a replica that
 * goes on while older versions at other servers give way; NULL: none gives
 * way.
 */
KcServer *KcForward_FindHome(const KcForward *forward, KcDistance farthest,
                             const KcReplica *serving, KcTime now);
/* Why the adapter is not loaded at the server, static text; NULL: it may be.
 */
const char *KcForward_WhyNoHome(const KcForward *forward,
                                const KcServer *server, KcTime now);
/* Is the replica usable, or will it be? */
bool KcReplica_IsCurrent(const KcReplica *replica, KcTime now);
/* Does the server hold the base model? */
bool KcServer_HasBaseModel(const KcServer *server, const char *model);
/* Is the adapter's base model at any server that is not leaving? */
bool KcForward_IsBaseModelHeld(const KcForward *forward);

/* ---- seeking a server (gateway_dispatch.c) ------------------------------- */

/* Chooses a server for a request that has none, and carries that out. */
void KcForward_Dispatch(KcForward *forward, KcTime now);
/* True when a request that has an attempt could be sent to another server at
 * once.  If it needs its adapter there, a load is requested. */
bool KcForward_CanMove(KcForward *forward, KcTime now);
/* Starts a further attempt at that server, and takes it from the retry budget;
 * false when that is impossible. */
bool KcForward_TryElsewhere(KcForward *forward, KcTime now);
/* The same at a server that is expected to begin sooner than the present one.
 * No adapter is loaded for it. */
bool KcForward_TrySooner(KcForward *forward, KcTime now);
/* Is the request kept for as long as its caller waits, also without a server?
 * So is an answer that has begun, as only this gateway can resume it, and a
 * request that was tried elsewhere for its server's silence, as that server
 * could still have answered. */
bool KcForward_IsKept(const KcForward *forward);
/*
 * For a request that waits, or is about to: false if that is in vain, as every
 * server leaves, or none opens before its deadline.  Otherwise prolongs the
 * time until which it waits for a server that opens, and for its turn there.
 * A caller that has the beginning of an answer gains nothing by an earlier
 * end.
 */
bool KcForward_ProlongWait(KcForward *forward, const KcChoice *choice);
/* The error of a request that is refused by such a choice. */
int KcChoice_Error(const KcChoice *choice);
/* Queues a request whose attempt was refused, or fails it when it has waited
 * too long. */
void KcForward_AwaitPlace(KcForward *forward, KcTime now);
/*
 * Refuses a request that its server turned away and that is not sent again for
 * want of retry budget.  If it needs its adapter elsewhere, a load is
 * requested, and its caller is told to come back when that is done.
 */
void KcForward_RefuseForBudget(KcForward *forward, KcTime now);
/* Dispatches requests of the pool's queue, the most urgent first; ends those
 * for which waiting is in vain. */
void KcGateway_DispatchQueue(KcServerPool *pool, KcTime now);
/* The same for the whole queue. */
void KcGateway_DispatchWholeQueue(KcServerPool *pool, KcTime now);
/* Dispatches the requests that wait for the server, and its pool's queue. */
void KcGateway_MoveWaiting(KcServer *server, KcTime now);
/*
 * Dispatches the requests that wait for an adapter.  refused, when not NULL,
 * is a server that will not load it, and is not tried again for those that
 * waited for it there.
 */
void KcGateway_DispatchForAdapter(KcAdapterState *adapter, KcServer *refused,
                                  KcTime now);
/* Handle the timer of a request in the queue, or one that waits for its
 * adapter. */
void KcForward_OnQueueTimer(KcForward *forward, KcTime now);
void KcForward_OnLoadTimer(KcForward *forward, KcTime now);
/* Excludes the server from further attempts for this request, as are those of
 * the attempts in progress. */
void KcForward_NoteTried(KcForward *forward, KcServer *server);
bool KcForward_HasTried(const KcForward *forward, const KcServer *server);

/* ---- the queue of a service (gateway_queue.c) ---------------------------- */

/* Decides whether a request that found no server waits for one; for those that
 * are not kept. */
void KcForward_DecideWait(KcForward *forward, KcTime now,
                          KcWaitDecision *decision);
/* The same for a request that is only foreseen; pace is a copy of that of its
 * service. */
void KcForward_ForeseeWait(KcForward *forward, KcQueuePace *pace, KcTime now,
                           KcWaitDecision *decision);
/* Inserts the request into the queue of its service. */
void KcForward_JoinQueue(KcForward *forward, KcTime now);
/* Removes the request from the list that it waits in, if any. */
void KcForward_LeaveWaitList(KcForward *forward);
/* The request waits for no server any more: it found one, or it ends. */
void KcForward_EndWait(KcForward *forward, bool found_server, KcTime now);

/* ---- requests (gateway_forward.c) ---------------------------------------- */

/* Ends the attempt's use of its server and its replica, and frees it. */
void KcForwardAttempt_Release(KcForwardAttempt *attempt, KcTime now);
/* Cancels the attempt, which is to be released then. */
void KcForwardAttempt_Withdraw(KcForwardAttempt *attempt, KcTime now);
/* Cancels the attempt and frees it. */
void KcForwardAttempt_Cancel(KcForwardAttempt *attempt, KcTime now);
/* End the request and free it: with a complete answer, with forward->error, or
 * with this error; step is where it failed, static text. */
void KcForward_FinishAnswered(KcForward *forward, int status, KcTime now);
void KcForward_FinishFailed(KcForward *forward, KcTime now);
void KcForward_Fail(KcForward *forward, int code, const char *step,
                    KcTime now);
/* End the request and free it, as the planned stop is at its end. */
void KcForward_FailLeaving(KcForward *forward, KcTime now);

/* Finds the route.  Returns 0, or KC_ERR_NO_DOCUMENT, KC_ERR_NOT_FOUND or
 * KC_ERR_LEAVING. */
int KcGateway_Route(const KcGateway *gateway, const KcForwardCall *call,
                    const KcRouteRule **rule, KcTime now);
/* Draws the target of the next request; *random_state is the gateway's from
 * then on. */
const KcRouteTarget *KcGateway_DrawTarget(const KcGateway *gateway,
                                          const KcRouteRule *rule,
                                          uint64_t *random_state);
/* Does the request need an adapter, or a base model, of the target's engines?
 */
bool KcGateway_NeedsAdapter(const KcGateway *gateway,
                            const KcForwardCall *call,
                            const KcRouteTarget *target);
/* Fills in an admitted request but for its service, its adapter and its
 * tokens.  It holds no reference to the routing yet. */
void KcForward_Init(KcForward *forward, KcGateway *gateway,
                    const KcForwardCall *call, const KcRouteRule *rule,
                    const KcAdmission *admission, KcTime now);
/* Sets the tokens that the request counts for at its target's servers: at most
 * what one of them can hold, and KC_TOKENS_MAX. */
void KcForward_SetTokens(KcForward *forward, const KcForwardCall *call,
                         const KcRouteTarget *target);
/* When it is of use that the caller of a request that did not run tries again;
 * pace: of the service, which counts the return. */
KcTime KcForward_RetryAfter(const KcForward *forward, KcQueuePace *pace,
                            KcTime now);

/* Sets the request's timer to due_at, at the latest to its deadline. */
void KcForward_SetTimer(KcForward *forward, KcTime due_at);

/* ---- silence (gateway_silence.c) ----------------------------------------- */

/* Sets the timer that checks the attempt's server for silence. */
void KcForward_SetSilenceTimer(KcForward *forward);
/* When a stream must be ended, as its caller would time out soon after; of
 * other requests the deadline. */
KcTime KcForward_EndStreamAt(const KcForward *forward);
/* Handles that timer: retries, ends a stream, or sets it again. */
void KcForward_OnSilenceTimer(KcForward *forward, KcTime now);

/* ---- answers (gateway_answer.c) ------------------------------------------ */

/* May the stream be continued at another server?  One that has had all the
 * events it may have should have ended: its server sent wrong ones. */
bool KcForward_CanContinue(const KcForward *forward);

/* Ends an attempt without a complete answer: goes on with the others, retries,
 * or fails the request.  step is where it failed, static text. */
void KcForwardAttempt_RetryOrFinish(KcForwardAttempt *attempt,
                                    KcAttemptEnd end, int code,
                                    const char *step, KcTime now);
/* Cancels an attempt, which may have run, and does the same. */
void KcForwardAttempt_GiveUp(KcForwardAttempt *attempt, int code,
                             const char *step, KcTime now);
/* Gives an attempt up for the silence of its server. */
void KcForwardAttempt_GiveUpSilent(KcForwardAttempt *attempt, KcTime now);

#endif
