/*
 * Forwarded requests: their arrival, their waiting lists, the start of
 * attempts, and their end.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"

/* A request waits in the queue for its route's objective divided by this, but
 * at least QUEUE_TIMEOUT_MIN, and is then refused: the platform prices later
 * refusals. */
#define QUEUE_TIMEOUT_DIVISOR 8
#define QUEUE_TIMEOUT_MIN (20 * KC_MS)
/* A request waits at most this long for one server to load its adapter. */
#define LOAD_TIMEOUT (1500 * KC_MS)
/* After it did not load an adapter a server gets no load requests for this
 * long. */
#define LOAD_REFUSED_DELAY (200 * KC_MS)
/* Least time between load requests for an adapter whose requests are to leave
 * their server. */
#define MOVE_LOAD_INTERVAL (500 * KC_MS)
/* Retry hint to a caller whose request did not run. */
#define RETRY_AFTER (400 * KC_MS)
/* Queued requests for which a server is sought when capacity may be free. */
#define QUEUE_SCAN_MAX 16

static void on_timer(KcTimer *timer, KcTime now);

static KcTime
queue_timeout(const KcRouteRule *rule)
{
    KcTime timeout = rule->latency_objective / QUEUE_TIMEOUT_DIVISOR;

    return timeout > QUEUE_TIMEOUT_MIN ? timeout : QUEUE_TIMEOUT_MIN;
}

/* ---- waiting ------------------------------------------------------------- */

static void
leave_wait_list(KcForward *forward)
{
    if (!forward->in_wait_list) {
        return;
    }
    forward->in_wait_list = false;
    if (forward->state == KC_FORWARD_LOADING) {
        TAILQ_REMOVE(&forward->adapter->waiting_requests, forward, wait_link);
    }
    else {
        TAILQ_REMOVE(&forward->pool->queue, forward, wait_link);
    }
}

/* Inserts the request into the queue by priority, then by arrival. */
static void
join_queue(KcForward *forward)
{
    KcForward *later;

    TAILQ_FOREACH (later, &forward->pool->queue, wait_link) {
        if (later->rule->priority > forward->rule->priority ||
            (later->rule->priority == forward->rule->priority &&
             later->arrived_at > forward->arrived_at)) {
            break;
        }
    }
    if (later != NULL) {
        TAILQ_INSERT_BEFORE(later, forward, wait_link);
    }
    else {
        TAILQ_INSERT_TAIL(&forward->pool->queue, forward, wait_link);
    }
    forward->state = KC_FORWARD_QUEUED;
    forward->in_wait_list = true;
}

void
KcForward_SetTimer(KcForward *forward, KcTime due_at)
{
    if (due_at > forward->deadline) {
        due_at = forward->deadline;
    }
    KcTimers_Set(forward->gateway->options.timers, &forward->timer, due_at);
}

/* ---- ends ---------------------------------------------------------------- */

void
KcForward_ReleaseServer(KcForward *forward)
{
    KcServer *server = forward->server;

    if (forward->attempt == NULL) {
        return;
    }
    forward->attempt = NULL;
    KcServer_EndTrial(server, forward);
    assert(server->in_flight > 0 &&
           server->in_flight_tokens >= forward->tokens_max);
    server->in_flight--;
    server->in_flight_tokens -= forward->tokens_max;
    if (forward->replica != NULL) {
        KcReplica_EndUse(forward->gateway, forward->replica);
        forward->replica = NULL;
    }
}

void
KcForward_CancelAttempt(KcForward *forward)
{
    KcGateway *gateway = forward->gateway;

    if (forward->attempt != NULL) {
        gateway->options.ops->cancel_attempt(gateway->options.context,
                                             forward->attempt);
        KcForward_ReleaseServer(forward);
    }
}

/* Adds the request's times to the histograms of the metrics. */
static void
record_times(const KcForward *forward, KcTime now)
{
    KcCounters *counters = forward->gateway->options.counters;
    KcTime first_byte_at =
        forward->first_event_at != 0 ? forward->first_event_at : now;

    KcCounters_RecordTime(counters, KC_TIME_TOTAL, now - forward->arrived_at);
    if (forward->first_attempt_at != 0) {
        KcCounters_RecordTime(counters, KC_TIME_FIRST_ATTEMPT,
                              forward->first_attempt_at - forward->arrived_at);
    }
    if (forward->answer_begun) {
        KcCounters_RecordTime(counters, KC_TIME_FIRST_BYTE,
                              first_byte_at - forward->arrived_at);
    }
}

/* Records the end of the request, frees it, and dispatches queued requests. */
static void
end_request(KcForward *forward, const char *outcome, int status,
            const KcError *error, KcTime now)
{
    KcGateway *gateway = forward->gateway;
    KcServerPool *pool = forward->pool;
    KcForwardRecord record = {.forward = forward,
                              .outcome = outcome,
                              .status = status,
                              .error = error,
                              .ended_at = now};

    gateway->options.ops->record_request(gateway->options.context, &record);
    record_times(forward, now);
    leave_wait_list(forward);
    KcForward_CancelAttempt(forward);
    KcTimers_Clear(gateway->options.timers, &forward->timer);
    TAILQ_REMOVE(&gateway->forwards, forward, link);
    gateway->in_flight--;
    KcRouting_Release(forward->routing);
    free(forward);
    KcGateway_DispatchQueue(pool, now);
}

void
KcForward_FinishAnswered(KcForward *forward, int status, KcTime now)
{
    const KcForwardOps *ops = forward->ops;
    void *caller = forward->caller;

    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_ANSWERED, 1);
    end_request(forward, "answered", status, NULL, now);
    ops->on_end(caller);
}

/* When it is of use that the caller tries again. */
static KcTime
retry_after(const KcForward *forward, KcTime now)
{
    KcTime opens_at = KcGateway_FirstOpening(forward, now);

    return opens_at != 0 ? opens_at - now : RETRY_AFTER;
}

void
KcForward_FinishFailed(KcForward *forward, bool may_have_run, KcTime now)
{
    const KcForwardOps *ops = forward->ops;
    void *caller = forward->caller;
    bool answer_begun = forward->answer_begun;
    KcForwardRefusal refusal = {.error = forward->error,
                                .may_have_run = may_have_run};

    if (!may_have_run) {
        refusal.retry_after = retry_after(forward, now);
    }
    KcCounters_Add(forward->gateway->options.counters,
                   may_have_run ? KC_COUNT_UNKNOWN : KC_COUNT_NOT_RUN, 1);
    end_request(forward,
                answer_begun
                    ? "broken"
                    : (may_have_run ? "failed, may have run" : "not run"),
                0, &refusal.error, now);
    if (answer_begun) {
        ops->on_broken(caller, &refusal.error);
    }
    else {
        ops->on_refusal(caller, &refusal);
    }
}

static void
fail_request(KcForward *forward, int code, const char *step, KcTime now)
{
    KcError_Set(&forward->error, code, step,
                forward->server != NULL ? forward->server->id : "");
    KcForward_FinishFailed(
        forward, forward->may_have_run || forward->attempt != NULL, now);
}

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
    for (uint32_t i = 0; i < forward->tried_count; i++) {
        if (forward->tried_servers[i] == server) {
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
    KcAttemptParams params = {.server = server,
                              .time_left = forward->deadline - now,
                              .priority = forward->rule->priority,
                              .has_last_event = forward->has_last_event,
                              .last_event_id = forward->last_event_id,
                              .events_max = forward->events_max,
                              .needs_fresh_connection =
                                  forward->rule->kind ==
                                  KC_REQUEST_KIND_UNSAFE};

    if (choice->replica != NULL && forward->adapter->newest_version > 0) {
        params.version = choice->replica->version;
    }
    leave_wait_list(forward);
    forward->has_first_event = false;
    forward->state = KC_FORWARD_SENT;
    forward->server = server;
    forward->attempt_started_at = now;
    forward->first_attempt_at =
        forward->attempt_count == 0 ? now : forward->first_attempt_at;
    forward->attempt_count++;
    if (server->in_flight == 0) {
        server->last_activity_at = now;
    }
    server->in_flight++;
    server->in_flight_tokens += forward->tokens_max;
    KcServer_BeginTrial(server, forward);
    forward->replica = choice->replica;
    if (choice->replica != NULL) {
        KcReplica_BeginUse(gateway, choice->replica);
    }
    KcCounters_Add(options->counters, KC_COUNT_ATTEMPTS, 1);
    if (server->distance == KC_DISTANCE_REMOTE) {
        KcCounters_Add(options->counters, KC_COUNT_REMOTE_ATTEMPTS, 1);
    }
    KcForward_SetSilenceTimer(forward);
    forward->attempt =
        options->ops->start_attempt(options->context, forward, &params);
    if (forward->attempt == NULL) {
        forward->attempt = forward; /* else it would not be released */
        KcForward_ReleaseServer(forward);
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
                                  .priority = forward->rule->priority};

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
    forward->state = KC_FORWARD_LOADING;
    forward->server = server;
    forward->in_wait_list = true;
    TAILQ_INSERT_TAIL(&forward->adapter->waiting_requests, forward, wait_link);
    KcForward_SetTimer(forward, now + LOAD_TIMEOUT);
}

/* When a queued request is refused.  An answer that has begun is resumed as
 * long as its caller waits for it. */
static KcTime
wait_until(const KcForward *forward)
{
    return forward->answer_begun ? KcForward_EndStreamAt(forward)
                                 : forward->dispatch_until;
}

/* Fails a request that did not find a server; code is the error if no attempt
 * has failed before. */
static void
refuse(KcForward *forward, int code, KcTime now)
{
    if (forward->error.code == 0) {
        KcError_Set(&forward->error, code, "choose", "");
    }
    KcForward_FinishFailed(forward, forward->may_have_run, now);
}

/*
 * For a request that waits, or is about to: false if that is in vain, as every
 * server leaves, or none opens before its deadline.  Otherwise prolongs the
 * time until which it waits for a server that opens, and for its turn there.
 * A caller that has the beginning of an answer gains nothing by an earlier
 * end.
 */
static bool
prolong_wait(KcForward *forward, const KcChoice *choice)
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

/* Queues the request, or fails it when it has waited or tried too long; code
 * is the error if no attempt has failed before. */
static void
enqueue_or_refuse(KcForward *forward, int code, KcTime now)
{
    if (now >= wait_until(forward) ||
        forward->tried_count == KC_FORWARD_TRIED_MAX) {
        refuse(forward, code, now);
        return;
    }
    if (forward->error.code == 0) {
        KcError_Set(&forward->error, code, "queue", "");
    }
    join_queue(forward);
    KcForward_SetTimer(forward, wait_until(forward));
}

/* Carries out a choice; false when its server cannot be reached. */
static bool
execute_choice(KcForward *forward, const KcChoice *choice, KcTime now)
{
    int code = KC_ERR_NO_BACKEND;

    switch (choice->action) {
    case KC_CHOICE_SEND:
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
        code = KC_ERR_BUSY;
        break;
    case KC_CHOICE_REFUSE:
    case KC_CHOICE_NONE:
        break;
    }
    if (prolong_wait(forward, choice)) {
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

    leave_wait_list(forward);
    if (now >= forward->deadline) {
        fail_request(forward, KC_ERR_DEADLINE_EXCEEDED, "choose", now);
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

bool
KcForward_CanMove(KcForward *forward, KcTime now)
{
    uint32_t tried_count = forward->tried_count;
    KcServer *load_server;
    KcChoice choice;

    if (tried_count == KC_FORWARD_TRIED_MAX) {
        return false;
    }
    KcForward_NoteTried(forward, forward->server);
    KcGateway_Choose(forward, now, &choice);
    forward->tried_count = tried_count;
    load_server = choice.action == KC_CHOICE_LOAD ? choice.server
                                                  : choice.new_replica_server;
    if (load_server != NULL &&
        now - forward->adapter->load_requested_at >= MOVE_LOAD_INTERVAL) {
        send_load_request(forward, load_server, now);
    }
    return choice.action == KC_CHOICE_SEND &&
           !KcServer_IsFailing(choice.server, now);
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
        if (prolong_wait(forward, &choice)) {
            KcForward_SetTimer(forward, wait_until(forward));
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

    if (pool->is_dispatching) {
        return;
    }
    pool->is_dispatching = true;
    TAILQ_FOREACH_SAFE (forward, &pool->queue, wait_link, next) {
        if (++visited > scan_max) {
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

/* ---- arrival ------------------------------------------------------------- */

static KcForward *
create_forward(KcGateway *gateway, const KcForwardCall *call,
               const KcRouteRule *rule, KcTime now)
{
    KcForward *forward = KcMem_New(sizeof(*forward));
    const KcRoutedService *service;
    const KcRouteTarget *target;

    gateway->random_state = gateway->random_state * 6364136223846793005ULL + 1;
    target = KcRouting_ChooseTarget(rule, gateway->random_state >> 33);
    forward->gateway = gateway;
    forward->routing = KcRouting_Retain(gateway->routing);
    forward->rule = rule;
    forward->pool = KcGateway_GetPool(gateway, target->service);
    service = KcRouting_FindService(gateway->routing, target->service);
    if (call->model[0] != '\0' && service != NULL &&
        service->engine.is_configured) {
        forward->adapter =
            KcGateway_GetAdapter(gateway, call->model, call->adapter);
        KcUseCount_Add(&forward->adapter->uses, now);
        KcUseCount_Add(&forward->pool->adapter_uses, now);
    }
    KcText_Copy(forward->id, call->id, sizeof(forward->id));
    forward->arrived_at = now;
    forward->last_event_at = now;
    forward->deadline = now + rule->request_timeout;
    if (call->timeout > 0 && call->timeout < rule->request_timeout) {
        forward->deadline = now + call->timeout;
    }
    forward->dispatch_until = now + queue_timeout(rule);
    forward->tokens_max = call->prompt_tokens + call->answer_tokens_max;
    forward->events_max = call->answer_events_max;
    forward->repeatable =
        rule->kind == KC_REQUEST_KIND_SAFE ||
        (rule->kind == KC_REQUEST_KIND_STREAM && rule->resumable);
    forward->has_last_event = call->has_last_event;
    forward->last_event_id = call->last_event_id;
    KcTimer_Init(&forward->timer, on_timer, forward);
    return forward;
}

/* Refuses a request for which no KcForward is created. */
static void
refuse_at_once(KcGateway *gateway, const KcForwardOps *ops, void *caller,
               int code, const char *step)
{
    KcForwardRefusal refusal = {.retry_after = RETRY_AFTER};

    KcError_Set(&refusal.error, code, step, "");
    KcCounters_Add(gateway->options.counters, KC_COUNT_NOT_RUN, 1);
    ops->on_refusal(caller, &refusal);
}

void
KcGateway_Submit(KcGateway *gateway, const KcForwardCall *call,
                 const KcForwardOps *ops, void *caller,
                 KcForward **forward_out, KcTime now)
{
    const KcRouteRule *rule;
    KcForward *forward;

    *forward_out = NULL;
    KcCounters_Add(gateway->options.counters, KC_COUNT_REQUESTS, 1);
    if (gateway->routing == NULL) {
        refuse_at_once(gateway, ops, caller, KC_ERR_NO_DOCUMENT, "route");
        return;
    }
    rule = KcRouting_FindRule(gateway->routing, call->host, call->path);
    if (rule == NULL) {
        refuse_at_once(gateway, ops, caller, KC_ERR_NOT_FOUND, "route");
        return;
    }
    if (now >= gateway->refuse_all_at ||
        (rule->kind == KC_REQUEST_KIND_STREAM &&
         now >= gateway->refuse_streams_at)) {
        refuse_at_once(gateway, ops, caller, KC_ERR_LEAVING, "route");
        return;
    }
    forward = create_forward(gateway, call, rule, now);
    forward->ops = ops;
    forward->caller = caller;
    KcRetryBudget_Deposit(&forward->pool->retry_budget);
    TAILQ_INSERT_TAIL(&gateway->forwards, forward, link);
    gateway->in_flight++;
    KcGateway_DetectPauses(gateway, now);
    *forward_out = forward;
    KcForward_Dispatch(forward, now);
}

void
KcForward_Abandon(KcForward *forward, KcTime now)
{
    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_ABANDONED, 1);
    end_request(forward, "abandoned", 0, NULL, now);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcForward *forward = timer->owner;

    if (now >= forward->deadline) {
        fail_request(forward, KC_ERR_DEADLINE_EXCEEDED,
                     forward->attempt != NULL ? "await answer" : "await place",
                     now);
        return;
    }
    switch (forward->state) {
    case KC_FORWARD_QUEUED:
        KcForward_FinishFailed(forward, forward->may_have_run, now);
        break;
    case KC_FORWARD_LOADING:
        /* Try another server; this one may be unreachable or overloaded. */
        leave_wait_list(forward);
        KcError_Set(&forward->error, KC_ERR_LOAD_FAILED, "load",
                    forward->server->id);
        KcForward_NoteTried(forward, forward->server);
        KcForward_Dispatch(forward, now);
        break;
    case KC_FORWARD_SENT:
    case KC_FORWARD_STREAMING:
        KcForward_OnSilenceTimer(forward, now);
        break;
    }
}
