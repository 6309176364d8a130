/*
 * Requests that seek a server: what is done with a choice, the start of
 * attempts, the waiting lists and their queues.
 */
#include <assert.h>

#include "gateway_internal.h"

/* A request waits at most this long for one server to load its adapter. */
#define LOAD_TIMEOUT (1500 * KC_MS)
/* After it did not load an adapter a server gets no load requests for this
 * long. */
#define LOAD_REFUSED_DELAY (200 * KC_MS)
/* Least time between load requests for an adapter whose requests are to leave
 * their server. */
#define MOVE_LOAD_INTERVAL (500 * KC_MS)
/* Interval at which servers that refused a request that is kept, or one that
 * another server may still answer, are asked again. */
#define RESUME_RETRY_INTERVAL (400 * KC_MS)
/* Queued requests for which a server is sought when capacity may be free,
 * besides those that are kept, which the retry budget limits. */
#define QUEUE_SCAN_MAX 16

/* ---- attempts ------------------------------------------------------------ */

void
KcForward_NoteTried(KcForward *forward, KcServer *server)
{
    if (forward->tried_count < KC_FORWARD_TRIED_MAX) {
        forward->tried_servers[forward->tried_count++] = server;
    }
}

bool
KcForward_HasTried(const KcForward *forward, const KcServer *server)
{
    const KcForwardAttempt *attempt;

    TAILQ_FOREACH (attempt, &forward->attempts, link) {
        if (attempt->server == server) {
            return true;
        }
    }
    for (uint32_t i = 0; i < forward->tried_count; i++) {
        if (forward->tried_servers[i] == server) {
            return true;
        }
    }
    return false;
}

/* May an attempt of the request have been sent to the server? */
static bool
may_have_been_sent_to(const KcForward *forward, const KcServer *server)
{
    if (forward->attempt_count > KC_FORWARD_TRIED_MAX) {
        return true;
    }
    for (uint32_t i = 0; i < forward->attempt_count; i++) {
        if (forward->sent_servers[i] == server) {
            return true;
        }
    }
    return false;
}

/* Starts an attempt at the chosen server; false when that is impossible. */
static bool
begin_attempt(KcForward *forward, const KcChoice *choice, KcTime now)
{
    KcGateway *gateway = forward->gateway;
    const KcGatewayOptions *options = &gateway->options;
    KcServer *server = choice->server;
    KcForwardAttempt *attempt = KcMem_New(sizeof(*attempt));
    KcAttemptParams params = {
        .server = server,
        .time_left = forward->deadline - now,
        .priority = forward->priority,
        .has_last_event = forward->has_last_event,
        .last_event_id = forward->last_event_id,
        .events_max = forward->events_max,
        .has_customers = KcForward_HidesKey(forward),
        .customer = forward->customer != NULL ? forward->customer->name : NULL,
        .needs_fresh_connection =
            forward->rule->kind == KC_REQUEST_KIND_UNSAFE,
        .needs_new_connection = may_have_been_sent_to(forward, server)};

    if (choice->replica != NULL && forward->adapter->newest_version > 0) {
        params.version = choice->replica->version;
    }
    KcForward_LeaveWaitList(forward);
    KcForward_EndWait(forward, true, now);
    attempt->forward = forward;
    attempt->server = server;
    attempt->replica = choice->replica;
    attempt->started_at = now;
    attempt->server_started_at_ms = server->started_at_ms;
    if (TAILQ_EMPTY(&forward->attempts)) {
        forward->awaited_since = now;
    }
    TAILQ_INSERT_TAIL(&forward->attempts, attempt, link);
    forward->state = KC_FORWARD_SENT;
    forward->server = server;
    forward->attempt_started_at = now;
    forward->first_attempt_at =
        forward->attempt_count == 0 ? now : forward->first_attempt_at;
    if (forward->attempt_count < KC_FORWARD_TRIED_MAX) {
        forward->sent_servers[forward->attempt_count] = server;
    }
    forward->attempt_count++;
    if (server->in_flight == 0) {
        server->last_activity_at = now;
    }
    server->in_flight++;
    server->in_flight_tokens += forward->tokens_max;
    KcServer_BeginTrial(server, forward);
    if (choice->replica != NULL) {
        KcReplica_BeginUse(gateway, choice->replica);
    }
    KcCounters_Add(options->counters, KC_COUNT_ATTEMPTS, 1);
    if (server->distance == KC_DISTANCE_REMOTE) {
        KcCounters_Add(options->counters, KC_COUNT_REMOTE_ATTEMPTS, 1);
    }
    KcForward_SetSilenceTimer(forward);
    attempt->handle =
        options->ops->start_attempt(options->context, attempt, &params);
    if (attempt->handle == NULL) {
        KcForwardAttempt_Release(attempt, now);
        return false;
    }
    return true;
}

/* Requests a server's keeper to load the request's adapter; false when the
 * keeper cannot be reached. */
static bool
send_load_request(KcForward *forward, KcServer *server, KcTime now)
{
    KcGateway *gateway = forward->gateway;
    const KcGatewayOptions *options = &gateway->options;
    KcLoadRequest load_request = {.server = server,
                                  .adapter = forward->adapter,
                                  .version_min =
                                      forward->adapter->newest_version,
                                  .priority = forward->priority};

    forward->adapter->load_requested_at = now;
    if (!options->ops->request_load(options->context, &load_request)) {
        return false;
    }
    KcReplica_AddLoading(server, forward->adapter);
    return true;
}

static void
await_adapter(KcForward *forward, KcServer *server, KcTime now)
{
    KcForward_EndWait(forward, true, now);
    forward->state = KC_FORWARD_LOADING;
    forward->server = server;
    forward->in_wait_list = true;
    TAILQ_INSERT_TAIL(&forward->adapter->waiting_requests, forward, wait_link);
    KcForward_SetTimer(forward, now + LOAD_TIMEOUT);
}

bool
KcForward_IsKept(const KcForward *forward)
{
    return forward->answer_begun || forward->was_moved;
}

/* When the timer of a request that is kept is due: servers that refused it are
 * asked again. */
static KcTime
next_kept_check(const KcForward *forward, KcTime now)
{
    KcTime end = KcForward_EndStreamAt(forward);

    return now + RESUME_RETRY_INTERVAL < end ? now + RESUME_RETRY_INTERVAL
                                             : end;
}

/* Fails a request that did not find a server; code is the error if no attempt
 * has failed before. */
static void
refuse(KcForward *forward, int code, KcTime now)
{
    if (forward->error.code == 0) {
        KcError_Set(&forward->error, code, "choose", "");
    }
    KcForward_FinishFailed(forward, now);
}

bool
KcForward_ProlongWait(KcForward *forward, const KcChoice *choice)
{
    /* The one request that tries the server is answered by then. */
    KcTime until = choice->opens_at + forward->rule->latency_objective;

    if (forward->answer_begun) {
        return true;
    }
    if (choice->action == KC_CHOICE_REFUSE ||
        choice->opens_at >= forward->deadline) {
        return false;
    }
    if (choice->action == KC_CHOICE_AWAIT_OPENING &&
        forward->dispatch_until < until) {
        forward->dispatch_until = until;
    }
    return true;
}

/* Decides whether the request waits, and until when; false if not. */
static bool
may_wait(KcForward *forward, KcTime now, KcTime *until)
{
    KcWaitDecision decision;

    if (KcForward_IsKept(forward)) {
        *until = next_kept_check(forward, now);
        return now < KcForward_EndStreamAt(forward);
    }
    if (forward->tried_count == KC_FORWARD_TRIED_MAX) {
        return false;
    }
    KcForward_DecideWait(forward, now, &decision);
    *until = decision.until;
    if (decision.verdict != KC_WAIT_ON) {
        KcCounters_Add(forward->gateway->options.counters,
                       decision.verdict == KC_WAIT_TOO_LONG
                           ? KC_COUNT_WAITS_TOO_LONG
                           : KC_COUNT_WAITS_ENDED,
                       1);
    }
    return decision.verdict == KC_WAIT_ON;
}

/* Queues the request, or fails it when it is of no use or has tried too much;
 * code is the error if no attempt has failed before. */
static void
enqueue_or_refuse(KcForward *forward, int code, KcTime now)
{
    KcTime until;

    if (!may_wait(forward, now, &until)) {
        refuse(forward, code, now);
        return;
    }
    if (forward->error.code == 0) {
        KcError_Set(&forward->error, code, "queue", "");
    }
    KcForward_JoinQueue(forward, now);
    KcForward_SetTimer(forward, until);
}

void
KcForward_AwaitPlace(KcForward *forward, KcTime now)
{
    enqueue_or_refuse(forward, KC_ERR_BUSY, now);
}

int
KcChoice_Error(const KcChoice *choice)
{
    return choice->action == KC_CHOICE_QUEUE ||
                   choice->action == KC_CHOICE_AWAIT_OPENING
               ? KC_ERR_BUSY
               : KC_ERR_NO_BACKEND;
}

/* Carries out a choice; false when its server cannot be reached. */
static bool
execute_choice(KcForward *forward, const KcChoice *choice, KcTime now)
{
    int code = KcChoice_Error(choice);

    switch (choice->action) {
    case KC_CHOICE_SEND:
        if (forward->owes_retry &&
            !KcRetryBudget_Take(&forward->pool->retry_budget)) {
            enqueue_or_refuse(forward, KC_ERR_BUSY, now);
            return true;
        }
        forward->owes_retry = false;
        return begin_attempt(forward, choice, now);
    case KC_CHOICE_LOAD:
        if (!send_load_request(forward, choice->server, now)) {
            return false;
        }
        await_adapter(forward, choice->server, now);
        return true;
    case KC_CHOICE_AWAIT_LOAD:
        await_adapter(forward, choice->server, now);
        return true;
    case KC_CHOICE_QUEUE:
    case KC_CHOICE_AWAIT_OPENING:
    case KC_CHOICE_REFUSE:
    case KC_CHOICE_NONE:
        break;
    }
    if (KcForward_ProlongWait(forward, choice)) {
        enqueue_or_refuse(forward, code, now);
    }
    else {
        refuse(forward, code, now);
    }
    return true;
}

void
KcForward_Dispatch(KcForward *forward, KcTime now)
{
    KcChoice choice;

    KcForward_LeaveWaitList(forward);
    if (KcGateway_HasEnded(forward->gateway, now)) {
        KcForward_FailLeaving(forward, now);
        return;
    }
    if (now >= forward->deadline) {
        KcForward_Fail(forward, KC_ERR_DEADLINE_EXCEEDED, "choose", now);
        return;
    }
    if (KcForward_RefuseForKey(forward, now) ||
        KcForward_RefuseIfBlocked(forward, now)) {
        return;
    }
    for (;;) {
        KcGateway_Choose(forward, now, &choice);
        if (choice.new_replica_server != NULL) {
            send_load_request(forward, choice.new_replica_server, now);
        }
        if (execute_choice(forward, &choice, now)) {
            return;
        }
        /* The server cannot be reached: choose another one. */
        KcForward_NoteTried(forward, choice.server);
        if (forward->tried_count == KC_FORWARD_TRIED_MAX) {
            enqueue_or_refuse(forward, KC_ERR_NO_BACKEND, now);
            return;
        }
    }
}

/* A server that asked to wait may refuse its first request after that. */
static bool
takes_at_once(const KcChoice *choice, KcTime now)
{
    return choice->action == KC_CHOICE_SEND &&
           choice->server->closed_until == 0 &&
           !KcServer_IsFailing(choice->server, now);
}

/* Chooses a server besides those of the attempts in progress; false when none
 * is likely to take the request at once. */
static bool
choose_other(KcForward *forward, KcTime now, KcChoice *choice)
{
    KcServer *load_server;

    if (forward->refused_at != 0 &&
        now >= forward->refused_at + RESUME_RETRY_INTERVAL) {
        forward->refused_at = 0;
        forward->tried_count = 0;
    }
    if (forward->tried_count == KC_FORWARD_TRIED_MAX) {
        return false;
    }
    KcGateway_Choose(forward, now, choice);
    load_server = choice->action == KC_CHOICE_LOAD
                      ? choice->server
                      : choice->new_replica_server;
    if (load_server != NULL &&
        now - forward->adapter->load_requested_at >= MOVE_LOAD_INTERVAL) {
        send_load_request(forward, load_server, now);
    }
    return takes_at_once(choice, now);
}

/* May an attempt begin beside those in progress, as far as its key, its parts
 * and the retry budget tell? */
static bool
may_begin_another(const KcForward *forward)
{
    return KcForward_CheckKey(forward) == 0 && !KcForward_IsBlocked(forward) &&
           KcRetryBudget_CanTake(&forward->pool->retry_budget);
}

/* Starts an attempt beside those in progress; false when the server cannot be
 * reached. */
static bool
begin_another(KcForward *forward, const KcChoice *choice, KcTime now)
{
    if (!begin_attempt(forward, choice, now)) {
        KcForward_NoteTried(forward, choice->server);
        return false;
    }
    return KcRetryBudget_Take(&forward->pool->retry_budget);
}

/* Would another server begin sooner than that of the attempt in progress began
 * its own?  It has waited there already. */
static bool
begins_sooner(const KcForward *forward, const KcServer *other, KcTime now)
{
    return KcServer_Cost(other, forward, now) <=
               KcServer_Cost(forward->server, forward, now) &&
           !KcServer_IsCrowded(other, now);
}

bool
KcForward_TrySooner(KcForward *forward, KcTime now)
{
    KcChoice choice;

    if (!may_begin_another(forward) ||
        forward->tried_count == KC_FORWARD_TRIED_MAX) {
        return false;
    }
    KcGateway_Choose(forward, now, &choice);
    return takes_at_once(&choice, now) &&
           begins_sooner(forward, choice.server, now) &&
           begin_another(forward, &choice, now);
}

bool
KcForward_CanMove(KcForward *forward, KcTime now)
{
    KcChoice choice;

    return choose_other(forward, now, &choice);
}

bool
KcForward_TryElsewhere(KcForward *forward, KcTime now)
{
    KcChoice choice;

    return may_begin_another(forward) && choose_other(forward, now, &choice) &&
           begin_another(forward, &choice, now);
}

void
KcForward_RefuseForBudget(KcForward *forward, KcTime now)
{
    KcChoice choice = {.action = KC_CHOICE_NONE};

    if (forward->adapter != NULL &&
        !KcGateway_HasEnded(forward->gateway, now) &&
        !KcForward_IsBlocked(forward)) {
        KcGateway_Choose(forward, now, &choice);
    }
    if (choice.action == KC_CHOICE_AWAIT_LOAD) {
        forward->is_load_ordered = true;
    }
    else if (choice.action == KC_CHOICE_LOAD) {
        forward->is_load_ordered =
            send_load_request(forward, choice.server, now);
    }
    KcCounters_Add(forward->gateway->options.counters,
                   KC_COUNT_BUDGET_REFUSALS, 1);
    KcForward_FinishFailed(forward, now);
}

/* Dispatches a queued request, or decides again how long it waits. */
static void
dispatch_queued(KcForward *forward, KcTime now)
{
    KcChoice choice;

    KcGateway_Choose(forward, now, &choice);
    switch (choice.action) {
    case KC_CHOICE_NONE:
    case KC_CHOICE_QUEUE:
        break;
    case KC_CHOICE_REFUSE:
    case KC_CHOICE_AWAIT_OPENING:
        if (KcForward_ProlongWait(forward, &choice)) {
            KcForward_SetTimer(forward, KcForward_IsKept(forward)
                                            ? next_kept_check(forward, now)
                                            : forward->dispatch_until);
        }
        else {
            refuse(forward, KC_ERR_NO_BACKEND, now);
        }
        break;
    case KC_CHOICE_SEND:
    case KC_CHOICE_AWAIT_LOAD:
    case KC_CHOICE_LOAD:
        KcForward_Dispatch(forward, now);
        break;
    }
}

static void
dispatch_queue(KcServerPool *pool, uint32_t scan_max, KcTime now)
{
    KcForward *forward;
    KcForward *next;
    uint32_t visited = 0;

    if (pool->is_dispatching || KcGateway_HasEnded(pool->gateway, now)) {
        return;
    }
    pool->is_dispatching = true;
    TAILQ_FOREACH_SAFE (forward, &pool->queue, wait_link, next) {
        /* Those that are kept may all wait for one server. */
        if (!KcForward_IsKept(forward) && ++visited > scan_max) {
            break;
        }
        dispatch_queued(forward, now);
    }
    pool->is_dispatching = false;
}

void
KcGateway_DispatchQueue(KcServerPool *pool, KcTime now)
{
    dispatch_queue(pool, QUEUE_SCAN_MAX, now);
}

void
KcGateway_DispatchWholeQueue(KcServerPool *pool, KcTime now)
{
    dispatch_queue(pool, UINT32_MAX, now);
}

void
KcGateway_MoveWaiting(KcServer *server, KcTime now)
{
    KcServerPool *pool = server->pool;
    bool was_dispatching = pool->is_dispatching;
    KcForward *forward;
    KcForward *next;

    pool->is_dispatching = true; /* ends no other request meanwhile */
    TAILQ_FOREACH_SAFE (forward, &pool->gateway->forwards, link, next) {
        if (forward->state == KC_FORWARD_LOADING &&
            forward->server == server && forward->pool == pool) {
            KcForward_Dispatch(forward, now);
        }
    }
    pool->is_dispatching = was_dispatching;
    KcGateway_DispatchWholeQueue(pool, now);
}

void
KcGateway_DispatchForAdapter(KcAdapterState *adapter, KcServer *refused,
                             KcTime now)
{
    KcForward *forward;
    KcForward *last = TAILQ_LAST(&adapter->waiting_requests, KcForwardList);
    bool is_last = last == NULL;

    if (refused != NULL && !is_last) {
        refused->no_loads_until = now + LOAD_REFUSED_DELAY;
    }
    while (!is_last) {
        forward = TAILQ_FIRST(&adapter->waiting_requests);
        is_last = forward == last;
        if (refused != NULL && forward->server == refused) {
            KcError_Set(&forward->error, KC_ERR_LOAD_FAILED, "load",
                        refused->id);
            KcForward_NoteTried(forward, refused);
        }
        KcForward_Dispatch(forward, now);
    }
}

/* ---- timers -------------------------------------------------------------- */

void
KcForward_OnQueueTimer(KcForward *forward, KcTime now)
{
    if (KcForward_IsKept(forward) && now >= KcForward_EndStreamAt(forward)) {
        KcForward_FinishFailed(forward, now);
        return;
    }
    /* A server that refused may have capacity by now, if that was not lately.
     */
    if (KcForward_IsKept(forward) ||
        now - forward->attempt_started_at >= RESUME_RETRY_INTERVAL) {
        forward->tried_count = 0;
    }
    KcForward_Dispatch(forward, now);
}

void
KcForward_OnLoadTimer(KcForward *forward, KcTime now)
{
    /* Try another server; this one may be unreachable or overloaded. */
    KcForward_LeaveWaitList(forward);
    KcError_Set(&forward->error, KC_ERR_LOAD_FAILED, "load",
                forward->server->id);
    KcForward_NoteTried(forward, forward->server);
    KcForward_Dispatch(forward, now);
}
