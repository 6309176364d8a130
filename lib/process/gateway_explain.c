/*
 * Foresees what would become of a request: it takes the steps of
 * KcGateway_Submit() and KcForward_Dispatch() with a request that exists only
 * here, by the functions that decide and without those that act.
 */
#include <assert.h>
#include <stdlib.h>

#include "gateway_internal.h"

/* What a request is foreseen with. */
typedef struct Foresight {
    KcForward forward;
    /* In place of what the gateway doesn't know yet. */
    KcServerPool new_pool;
    KcAdapterState new_adapter;
    KcQueuePace pace; /* a copy, which the wait may change */
    KcExplanation *explanation;
} Foresight;

const char *
KcForesight_Name(KcForesight foresight)
{
    static const char *const names[KC_FORESEE_COUNT] = {
        "refuse", "send", "load", "await_load", "queue"};

    assert(foresight < KC_FORESEE_COUNT);
    return names[foresight];
}

const char *
KcHolding_Name(KcHolding holding)
{
    static const char *const names[KC_HOLDING_COUNT] = {
        "none", "absent", "loading", "outdated", "loaded"};

    assert(holding < KC_HOLDING_COUNT);
    return names[holding];
}

static void
refuse(KcExplanation *explanation, int code, const char *step,
       KcTime retry_after)
{
    explanation->foresight = KC_FORESEE_REFUSAL;
    explanation->code = code;
    explanation->step = step;
    explanation->retry_after = retry_after;
}

static void
refuse_choice(Foresight *foresight, int code, KcTime now)
{
    refuse(foresight->explanation, code, "choose",
           KcForward_RetryAfter(&foresight->forward, &foresight->pace, now));
}

/* ---- what is done with a choice ------------------------------------------- */

static void
foresee_send(Foresight *foresight, const KcChoice *choice, KcTime now)
{
    KcExplanation *explanation = foresight->explanation;

    (void)now;
    explanation->foresight = KC_FORESEE_SEND;
    if (choice->replica != NULL &&
        foresight->forward.adapter->newest_version > 0) {
        explanation->version = choice->replica->version;
    }
}

static void
foresee_load(Foresight *foresight, const KcChoice *choice, KcTime now)
{
    (void)choice;
    (void)now;
    foresight->explanation->foresight = KC_FORESEE_LOAD;
}

static void
foresee_await_load(Foresight *foresight, const KcChoice *choice, KcTime now)
{
    (void)choice;
    (void)now;
    foresight->explanation->foresight = KC_FORESEE_AWAIT_LOAD;
}

static void
foresee_wait(Foresight *foresight, const KcChoice *choice, KcTime now)
{
    KcForward *forward = &foresight->forward;
    KcExplanation *explanation = foresight->explanation;
    int code = KcChoice_Error(choice);
    KcWaitDecision decision;

    if (!KcForward_ProlongWait(forward, choice)) {
        refuse_choice(foresight, code, now);
        return;
    }
    KcForward_ForeseeWait(forward, &foresight->pace, now, &decision);
    explanation->queue_place = forward->queue_place;
    explanation->expected_wait = decision.expected_wait;
    if (decision.verdict != KC_WAIT_ON) {
        refuse_choice(foresight, code, now);
        return;
    }
    explanation->foresight = KC_FORESEE_QUEUE;
    explanation->wait_max =
        (decision.until < forward->deadline ? decision.until
                                            : forward->deadline) -
        now;
}

static void (*const foresee[])(Foresight *foresight, const KcChoice *choice,
                               KcTime now) = {
    [KC_CHOICE_NONE] = foresee_wait,
    [KC_CHOICE_REFUSE] = foresee_wait,
    [KC_CHOICE_AWAIT_OPENING] = foresee_wait,
    [KC_CHOICE_QUEUE] = foresee_wait,
    [KC_CHOICE_SEND] = foresee_send,
    [KC_CHOICE_LOAD] = foresee_load,
    [KC_CHOICE_AWAIT_LOAD] = foresee_await_load,
};

/* ---- candidates ----------------------------------------------------------- */

/* The adapter at the server; NULL: it has none. */
static const KcReplica *
find_replica(const KcForward *forward, const KcServer *server)
{
    const KcReplica *replica;
    const KcReplica *newest = NULL;

    TAILQ_FOREACH (replica, &forward->adapter->replicas, adapter_link) {
        if (replica->server == server && !replica->dropped &&
            (newest == NULL || replica->version >= newest->version)) {
            newest = replica;
        }
    }
    return newest;
}

static void
describe_adapter(const KcForward *forward, KcCandidate *candidate, KcTime now)
{
    const KcReplica *replica = find_replica(forward, candidate->server);

    candidate->version = replica != NULL ? replica->version : 0;
    if (replica == NULL) {
        candidate->holding = KC_HOLDING_ABSENT;
    }
    else if (replica->loading) {
        candidate->holding = KC_HOLDING_LOADING;
    }
    else {
        candidate->holding = KcReplica_IsUsable(replica, now)
                                 ? KC_HOLDING_LOADED
                                 : KC_HOLDING_OUTDATED;
    }
    if (forward->adapter->name[0] != '\0') {
        candidate->no_load =
            KcForward_WhyNoHome(forward, candidate->server, now);
    }
}

/* Why a server is not chosen, or is. */
static const char *
find_reason(const KcForward *forward, const KcExplanation *explanation,
            const KcCandidate *candidate, KcTime now)
{
    static const char *const chosen[KC_FORESEE_COUNT] = {
        [KC_FORESEE_SEND] = "chosen",
        [KC_FORESEE_LOAD] = "chosen: loads the adapter",
        [KC_FORESEE_AWAIT_LOAD] = "chosen: is loading the adapter"};
    const KcServer *server = candidate->server;
    const char *why_full;

    if (explanation->part != 0) {
        return "not asked";
    }
    if (server == explanation->server) {
        return chosen[explanation->foresight];
    }
    if (KcServer_IsLeaving(server)) {
        return "leaving";
    }
    if (!KcForward_MayUse(forward, server, now)) {
        return "closed";
    }
    if (server == explanation->new_replica_server) {
        return "gets a further replica";
    }
    if (candidate->holding == KC_HOLDING_LOADING) {
        return "not loaded there yet";
    }
    if (candidate->holding == KC_HOLDING_ABSENT ||
        candidate->holding == KC_HOLDING_OUTDATED) {
        return candidate->no_load != NULL ? candidate->no_load
                                          : "not loaded there";
    }
    why_full = KcServer_WhyFull(server, forward, now);
    return why_full != NULL ? why_full : "costs more";
}

static void
add_candidate(const KcForward *forward, KcExplanation *explanation,
              const KcServer *server, KcTime now)
{
    KcCandidate *candidate = KcMem_New(sizeof(*candidate));

    candidate->server = server;
    candidate->load = KcServer_Load(server, now);
    candidate->load_age = server->load_reported_at != 0
                              ? now - server->load_reported_at
                              : KC_NEVER;
    candidate->closed_for =
        server->closed_until > now ? server->closed_until - now : 0;
    KcServer_ListCosts(server, forward, candidate->costs, now);
    for (size_t i = 0; i < KC_COST_TERM_COUNT; i++) {
        candidate->cost += candidate->costs[i];
    }
    if (forward->adapter != NULL) {
        describe_adapter(forward, candidate, now);
    }
    candidate->reason = find_reason(forward, explanation, candidate, now);
    TAILQ_INSERT_TAIL(&explanation->candidates, candidate, link);
}

/* ---- steps ---------------------------------------------------------------- */

/* Finds the request's service and its adapter. */
static void
find_target(Foresight *foresight, const KcForwardCall *call)
{
    KcForward *forward = &foresight->forward;
    KcGateway *gateway = forward->gateway;
    KcExplanation *explanation = foresight->explanation;
    uint64_t random_state;

    explanation->target =
        KcGateway_DrawTarget(gateway, forward->rule, &random_state);
    KcForward_SetTokens(forward, call, explanation->target);
    forward->pool = KcGateway_FindPool(gateway, explanation->target->service);
    if (forward->pool == NULL) {
        forward->pool = &foresight->new_pool;
        KcServerPool_Init(forward->pool, gateway,
                          explanation->target->service);
    }
    if (KcGateway_NeedsAdapter(gateway, call, explanation->target)) {
        forward->adapter =
            KcGateway_FindAdapter(gateway, call->model, call->adapter);
        if (forward->adapter == NULL) {
            forward->adapter = &foresight->new_adapter;
            KcAdapterState_Init(forward->adapter, call->model, call->adapter);
        }
    }
    foresight->pace = forward->pool->pace;
    explanation->queue_length = forward->pool->queue_length;
}

/* What a service and an adapter are changed in while a choice is made. */
typedef struct Borrowed {
    KcUseCount uses;
    KcUseCount adapter_uses;
    KcTime means_computed_at;
    uint64_t mean_others_in_flight;
    uint64_t mean_load;
    uint32_t mean_server_count;
} Borrowed;

/* Counts the request as a use, as KcGateway_Submit() does. */
static Borrowed
borrow(const KcForward *forward, KcTime now)
{
    KcServerPool *pool = forward->pool;
    Borrowed borrowed = {.adapter_uses = pool->adapter_uses,
                         .means_computed_at = pool->means_computed_at,
                         .mean_others_in_flight = pool->mean_others_in_flight,
                         .mean_load = pool->mean_load,
                         .mean_server_count = pool->mean_server_count};

    if (forward->adapter != NULL) {
        borrowed.uses = forward->adapter->uses;
        KcUseCount_Add(&forward->adapter->uses, now);
        KcUseCount_Add(&pool->adapter_uses, now);
    }
    return borrowed;
}

static void
give_back(const KcForward *forward, const Borrowed *borrowed)
{
    KcServerPool *pool = forward->pool;

    if (forward->adapter != NULL) {
        forward->adapter->uses = borrowed->uses;
    }
    pool->adapter_uses = borrowed->adapter_uses;
    pool->means_computed_at = borrowed->means_computed_at;
    pool->mean_others_in_flight = borrowed->mean_others_in_flight;
    pool->mean_load = borrowed->mean_load;
    pool->mean_server_count = borrowed->mean_server_count;
}

/* As KcForward_Dispatch(). */
static void
foresee_dispatch(Foresight *foresight, KcTime now)
{
    KcForward *forward = &foresight->forward;
    KcExplanation *explanation = foresight->explanation;
    const KcSuspect *suspect = KcForward_FindRefusedPart(forward);
    const KcServer *server;
    KcChoice choice;

    if (suspect != NULL) {
        explanation->part = suspect->part;
        refuse(explanation, KC_ERR_BLOCKED, "prompt part", 0);
    }
    else {
        KcGateway_Choose(forward, now, &choice);
        explanation->server = choice.server;
        explanation->new_replica_server = choice.new_replica_server;
        foresee[choice.action](foresight, &choice, now);
    }
    TAILQ_FOREACH (server, &forward->pool->servers, link) {
        add_candidate(forward, explanation, server, now);
    }
}

void
KcGateway_Explain(KcGateway *gateway, const KcForwardCall *call,
                  const char *customer, KcExplanation *explanation, KcTime now)
{
    Foresight foresight = {.explanation = explanation};
    KcAdmission admission;
    Borrowed borrowed;
    int code;

    *explanation = (KcExplanation){.expected_wait = KC_NEVER};
    TAILQ_INIT(&explanation->candidates);
    code = KcGateway_Route(gateway, call, &explanation->rule, now);
    if (code != 0) {
        refuse(explanation, code, "route", KC_RETRY_AFTER_DEFAULT);
        return;
    }
    code = KcGateway_ForeseeAdmission(gateway, call, customer, &admission,
                                      explanation, now);
    explanation->priority =
        KcAdmission_Priority(&admission, explanation->rule);
    if (code != 0) {
        refuse(explanation, code, admission.step,
               admission.retry_after != 0 ? admission.retry_after
                                          : KC_RETRY_AFTER_DEFAULT);
        return;
    }
    KcForward_Init(&foresight.forward, gateway, call, explanation->rule,
                   &admission, now);
    explanation->time_left = foresight.forward.deadline - now;
    find_target(&foresight, call);
    borrowed = borrow(&foresight.forward, now);
    foresee_dispatch(&foresight, now);
    give_back(&foresight.forward, &borrowed);
}

void
KcExplanation_Clear(KcExplanation *explanation)
{
    KcCandidate *candidate;
    KcCandidate *next;

    TAILQ_FOREACH_SAFE (candidate, &explanation->candidates, link, next) {
        free(candidate);
    }
    TAILQ_INIT(&explanation->candidates);
}
