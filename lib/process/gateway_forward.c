/*
 * The life of a request that a gateway passes on.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"

/* A request waits for a place this part of its objective, then is refused:
 * the platform prices refusals that come later. */
#define QUEUE_PART 8
#define QUEUE_LEAST (20 * KC_MS)
/* Longest wait for one server to load an adapter. */
#define LOAD_WAIT (1500 * KC_MS)
/* A server whose keeper could not load an adapter is not asked for so long. */
#define CROWDED (200 * KC_MS)
/* Hint to a caller that was refused for lack of places. */
#define RETRY_AFTER (400 * KC_MS)
/* Requests tried for each place that becomes free. */
#define QUEUE_LOOK 16

static void on_timer(KcTimer *timer, KcTime now);

/* ---- lists --------------------------------------------------------------- */

static void
leave_list(KcForward *forward)
{
    if (!forward->in_list) {
        return;
    }
    forward->in_list = false;
    if (forward->state == KC_FORWARD_LOADING) {
        TAILQ_REMOVE(&forward->adapter->waiting, forward, waiting);
    }
    else {
        TAILQ_REMOVE(&forward->pool->queue, forward, waiting);
    }
}

/* Queues by urgency, then by arrival. */
static void
join_queue(KcForward *forward)
{
    KcForward *at;

    TAILQ_FOREACH (at, &forward->pool->queue, waiting) {
        if (at->rule->priority > forward->rule->priority ||
            (at->rule->priority == forward->rule->priority &&
             at->arrived_at > forward->arrived_at)) {
            break;
        }
    }
    if (at != NULL) {
        TAILQ_INSERT_BEFORE(at, forward, waiting);
    }
    else {
        TAILQ_INSERT_TAIL(&forward->pool->queue, forward, waiting);
    }
    forward->state = KC_FORWARD_QUEUED;
    forward->in_list = true;
}

void
KcForward_SetTimer(KcForward *forward, KcTime due)
{
    if (due > forward->deadline) {
        due = forward->deadline;
    }
    KcTimers_Set(forward->gateway->options.timers, &forward->timer, due);
}

/* ---- ends ---------------------------------------------------------------- */

void
KcForward_Release(KcForward *forward)
{
    KcServer *server = forward->server;

    if (forward->attempt == NULL) {
        return;
    }
    forward->attempt = NULL;
    assert(server->in_flight > 0 && server->tokens >= forward->tokens);
    server->in_flight--;
    server->tokens -= forward->tokens;
    if (forward->holding != NULL) {
        KcHolding_End(forward->gateway, forward->holding);
        forward->holding = NULL;
    }
}

void
KcForward_Withdraw(KcForward *forward)
{
    KcGateway *gateway = forward->gateway;

    if (forward->attempt != NULL) {
        gateway->options.ops->withdraw(gateway->options.context,
                                       forward->attempt);
        KcForward_Release(forward);
    }
}

/* Adds the request's times to the distributions. */
static void
count_times(const KcForward *forward, KcTime now)
{
    KcCounters *counters = forward->gateway->options.counters;
    KcTime first =
        forward->first_event_at != 0 ? forward->first_event_at : now;

    KcCounters_RecordTime(counters, KC_TIME_TOTAL, now - forward->arrived_at);
    if (forward->first_sent_at != 0) {
        KcCounters_RecordTime(counters, KC_TIME_FIRST_ATTEMPT,
                              forward->first_sent_at - forward->arrived_at);
    }
    if (forward->begun) {
        KcCounters_RecordTime(counters, KC_TIME_FIRST_BYTE,
                              first - forward->arrived_at);
    }
}

/* Takes the request out of everything and frees it. */
static void
dispose(KcForward *forward, const char *outcome, int status,
        const KcError *error, KcTime now)
{
    KcGateway *gateway = forward->gateway;
    KcServerPool *pool = forward->pool;
    KcForwardRecord record = {.forward = forward,
                              .outcome = outcome,
                              .status = status,
                              .error = error,
                              .ended_at = now};

    gateway->options.ops->record(gateway->options.context, &record);
    count_times(forward, now);
    leave_list(forward);
    KcForward_Withdraw(forward);
    KcTimers_Clear(gateway->options.timers, &forward->timer);
    TAILQ_REMOVE(&gateway->forwards, forward, link);
    gateway->in_flight--;
    KcRouting_Release(forward->routing);
    free(forward);
    KcGateway_DispatchQueue(pool, now);
}

void
KcForward_FinishEnd(KcForward *forward, int status, KcTime now)
{
    const KcForwardOps *ops = forward->ops;
    void *caller = forward->caller;

    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_ANSWERED, 1);
    dispose(forward, "answered", status, NULL, now);
    ops->end(caller);
}

void
KcForward_FinishFailed(KcForward *forward, bool may_have_run, KcTime now)
{
    const KcForwardOps *ops = forward->ops;
    void *caller = forward->caller;
    bool begun = forward->begun;
    KcForwardRefusal refusal = {.error = forward->error,
                                .may_have_run = may_have_run};

    if (!may_have_run) {
        refusal.retry_after = RETRY_AFTER;
    }
    KcCounters_Add(forward->gateway->options.counters,
                   may_have_run ? KC_COUNT_UNKNOWN : KC_COUNT_NOT_RUN, 1);
    dispose(forward,
            begun ? "broken"
                  : (may_have_run ? "failed, may have run" : "not run"),
            0, &refusal.error, now);
    if (begun) {
        ops->broken(caller, &refusal.error);
    }
    else {
        ops->refuse(caller, &refusal);
    }
}

static void
fail(KcForward *forward, int code, const char *step, KcTime now)
{
    KcError_Set(&forward->error, code, step,
                forward->server != NULL ? forward->server->id : "");
    KcForward_FinishFailed(
        forward, forward->may_have_run || forward->attempt != NULL, now);
}

/* ---- sending ------------------------------------------------------------- */

void
KcForward_NoteTried(KcForward *forward, KcServer *server)
{
    if (forward->tried_count < KC_FORWARD_TRIED_MAX) {
        forward->tried[forward->tried_count++] = server;
    }
}

bool
KcForward_HasTried(const KcForward *forward, const KcServer *server)
{
    for (uint32_t i = 0; i < forward->tried_count; i++) {
        if (forward->tried[i] == server) {
            return true;
        }
    }
    return false;
}

/* Sends to the chosen server.  False when it could not even be begun. */
static bool
send(KcForward *forward, const KcChoice *choice, KcTime now)
{
    KcGateway *gateway = forward->gateway;
    const KcGatewayOptions *options = &gateway->options;
    KcServer *server = choice->server;
    KcAttemptParams sending = {.server = server,
                               .time_left = forward->deadline - now,
                               .priority = forward->rule->priority,
                               .has_last_event = forward->has_event,
                               .last_event_id = forward->last_event,
                               .needs_fresh_connection =
                                   forward->rule->kind ==
                                   KC_REQUEST_KIND_UNSAFE};

    if (choice->holding != NULL && forward->adapter->newest > 0) {
        sending.version = choice->holding->version;
    }
    leave_list(forward);
    forward->heard = false;
    forward->state = KC_FORWARD_SENT;
    forward->server = server;
    forward->sent_at = now;
    forward->first_sent_at =
        forward->attempt_count == 0 ? now : forward->first_sent_at;
    forward->attempt_count++;
    if (server->in_flight == 0) {
        server->heard_at = now;
    }
    server->in_flight++;
    server->tokens += forward->tokens;
    forward->holding = choice->holding;
    if (choice->holding != NULL) {
        KcHolding_Begin(gateway, choice->holding);
    }
    KcCounters_Add(options->counters, KC_COUNT_ATTEMPTS, 1);
    if (server->distance == KC_DISTANCE_REMOTE) {
        KcCounters_Add(options->counters, KC_COUNT_REMOTE_ATTEMPTS, 1);
    }
    KcForward_AwaitWord(forward);
    forward->attempt = options->ops->send(options->context, forward, &sending);
    if (forward->attempt == NULL) {
        forward->attempt = forward; /* released like one that was begun */
        KcForward_Release(forward);
        return false;
    }
    return true;
}

/* Asks a server's keeper to load the request's adapter.  False when it
 * cannot be asked. */
static bool
want(KcForward *forward, KcServer *server, KcTime now)
{
    KcGateway *gateway = forward->gateway;
    const KcGatewayOptions *options = &gateway->options;
    KcLoadRequest request = {.server = server,
                             .adapter = forward->adapter,
                             .version = forward->adapter->newest,
                             .priority = forward->rule->priority};

    forward->adapter->wanted_at = now;
    if (!options->ops->want(options->context, &request)) {
        return false;
    }
    KcHolding_Expect(server, forward->adapter);
    return true;
}

static void
await_adapter(KcForward *forward, KcServer *server, KcTime now)
{
    forward->state = KC_FORWARD_LOADING;
    forward->server = server;
    forward->in_list = true;
    TAILQ_INSERT_TAIL(&forward->adapter->waiting, forward, waiting);
    KcForward_SetTimer(forward, now + LOAD_WAIT);
}

static void
enqueue(KcForward *forward, int code, KcTime now)
{
    if (now >= forward->choose_until ||
        forward->tried_count == KC_FORWARD_TRIED_MAX) {
        if (forward->error.code == 0) {
            KcError_Set(&forward->error, code, "choose", "");
        }
        KcForward_FinishFailed(forward, forward->may_have_run, now);
        return;
    }
    if (forward->error.code == 0) {
        KcError_Set(&forward->error, code, "queue", "");
    }
    join_queue(forward);
    KcForward_SetTimer(forward, forward->choose_until);
}

/* Carries out a choice.  False when its server cannot be reached. */
static bool
take(KcForward *forward, const KcChoice *choice, KcTime now)
{
    switch (choice->action) {
    case KC_CHOICE_SEND:
        return send(forward, choice, now);
    case KC_CHOICE_LOAD:
        if (!want(forward, choice->server, now)) {
            return false;
        }
        await_adapter(forward, choice->server, now);
        return true;
    case KC_CHOICE_AWAIT:
        await_adapter(forward, choice->server, now);
        return true;
    case KC_CHOICE_QUEUE:
        enqueue(forward, KC_ERR_BUSY, now);
        return true;
    case KC_CHOICE_NONE:
        break;
    }
    enqueue(forward, KC_ERR_NO_BACKEND, now);
    return true;
}

void
KcForward_Dispatch(KcForward *forward, KcTime now)
{
    KcChoice choice;

    leave_list(forward);
    if (now >= forward->deadline) {
        fail(forward, KC_ERR_DEADLINE_EXCEEDED, "choose", now);
        return;
    }
    for (;;) {
        KcGateway_Choose(forward, now, &choice);
        if (choice.copy_at != NULL) {
            want(forward, choice.copy_at, now);
        }
        if (take(forward, &choice, now)) {
            return;
        }
        /* The server could not even be asked: the next one is. */
        KcForward_NoteTried(forward, choice.server);
        if (forward->tried_count == KC_FORWARD_TRIED_MAX) {
            enqueue(forward, KC_ERR_NO_BACKEND, now);
            return;
        }
    }
}

void
KcGateway_DispatchQueue(KcServerPool *pool, KcTime now)
{
    KcForward *forward;
    KcForward *next;
    int looked = 0;

    if (pool->dispatching) {
        return;
    }
    pool->dispatching = true;
    TAILQ_FOREACH_SAFE (forward, &pool->queue, waiting, next) {
        KcChoice choice;

        if (++looked > QUEUE_LOOK) {
            break;
        }
        KcGateway_Choose(forward, now, &choice);
        if (choice.action == KC_CHOICE_QUEUE ||
            choice.action == KC_CHOICE_NONE) {
            continue;
        }
        KcForward_Dispatch(forward, now);
    }
    pool->dispatching = false;
}

void
KcGateway_DispatchWaiting(KcAdapterState *adapter, KcServer *refused,
                          KcTime now)
{
    KcForward *forward;
    KcForward *last = TAILQ_LAST(&adapter->waiting, KcForwardList);
    bool is_last = last == NULL;

    if (refused != NULL && !is_last) {
        refused->crowded_until = now + CROWDED;
    }
    while (!is_last) {
        forward = TAILQ_FIRST(&adapter->waiting);
        is_last = forward == last;
        if (refused != NULL && forward->server == refused) {
            KcError_Set(&forward->error, KC_ERR_LOAD_FAILED, "load",
                        refused->id);
            KcForward_NoteTried(forward, refused);
        }
        KcForward_Dispatch(forward, now);
    }
}

/* ---- a request arrives --------------------------------------------------- */

static KcForward *
create(KcGateway *gateway, const KcForwardCall *call, const KcRouteRule *rule,
       KcTime now)
{
    KcForward *forward = KcMem_New(sizeof(*forward));
    const KcRoutedService *service;
    const KcRouteTarget *target;
    KcTime wait = rule->latency_objective / QUEUE_PART;

    gateway->draws = gateway->draws * 6364136223846793005ULL + 1;
    target = KcRouting_ChooseTarget(rule, gateway->draws >> 33);
    forward->gateway = gateway;
    forward->routing = KcRouting_Retain(gateway->routing);
    forward->rule = rule;
    forward->pool = KcGateway_Pool(gateway, target->service);
    service = KcRouting_FindService(gateway->routing, target->service);
    if (call->model[0] != '\0' && service != NULL &&
        service->engine.is_configured) {
        forward->adapter =
            KcGateway_Adapter(gateway, call->model, call->adapter);
        KcUseCount_Add(&forward->adapter->uses, now);
        KcUseCount_Add(&forward->pool->uses, now);
    }
    KcText_Copy(forward->id, call->id, sizeof(forward->id));
    forward->arrived_at = now;
    forward->told_at = now;
    forward->deadline = now + rule->request_timeout;
    if (call->timeout > 0 && call->timeout < rule->request_timeout) {
        forward->deadline = now + call->timeout;
    }
    forward->choose_until = now + (wait > QUEUE_LEAST ? wait : QUEUE_LEAST);
    forward->tokens = call->prompt_tokens + call->answer_tokens_max;
    forward->repeatable =
        rule->kind == KC_REQUEST_KIND_SAFE ||
        (rule->kind == KC_REQUEST_KIND_STREAM && rule->resumable);
    forward->has_event = call->has_last_event;
    forward->last_event = call->last_event_id;
    KcTimer_Init(&forward->timer, on_timer, forward);
    return forward;
}

static void
refuse_at_once(KcGateway *gateway, const KcForwardOps *ops, void *caller,
               int code, const char *step)
{
    KcForwardRefusal refusal = {.retry_after = RETRY_AFTER};

    KcError_Set(&refusal.error, code, step, "");
    KcCounters_Add(gateway->options.counters, KC_COUNT_NOT_RUN, 1);
    ops->refuse(caller, &refusal);
}

void
KcGateway_Submit(KcGateway *gateway, const KcForwardCall *call,
                 const KcForwardOps *ops, void *caller, KcForward **slot,
                 KcTime now)
{
    const KcRouteRule *rule;
    KcForward *forward;

    *slot = NULL;
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
    if (now >= gateway->refuse_all || (rule->kind == KC_REQUEST_KIND_STREAM &&
                                       now >= gateway->refuse_streams)) {
        refuse_at_once(gateway, ops, caller, KC_ERR_LEAVING, "route");
        return;
    }
    forward = create(gateway, call, rule, now);
    forward->ops = ops;
    forward->caller = caller;
    KcRetryBudget_Deposit(&forward->pool->budget);
    TAILQ_INSERT_TAIL(&gateway->forwards, forward, link);
    gateway->in_flight++;
    KcGateway_Watch(gateway, now);
    *slot = forward;
    KcForward_Dispatch(forward, now);
}

void
KcForward_Abandon(KcForward *forward, KcTime now)
{
    KcCounters_Add(forward->gateway->options.counters, KC_COUNT_ABANDONED, 1);
    dispose(forward, "abandoned", 0, NULL, now);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcForward *forward = timer->owner;

    if (now >= forward->deadline) {
        fail(forward, KC_ERR_DEADLINE_EXCEEDED,
             forward->attempt != NULL ? "await answer" : "await place", now);
        return;
    }
    switch (forward->state) {
    case KC_FORWARD_QUEUED:
        KcForward_FinishFailed(forward, forward->may_have_run, now);
        break;
    case KC_FORWARD_LOADING:
        /* Another server is asked; this one may be cut off or crowded. */
        leave_list(forward);
        KcError_Set(&forward->error, KC_ERR_LOAD_FAILED, "load",
                    forward->server->id);
        KcForward_NoteTried(forward, forward->server);
        KcForward_Dispatch(forward, now);
        break;
    case KC_FORWARD_SENT:
    case KC_FORWARD_STREAMING:
        KcForward_OnSilence(forward, now);
        break;
    }
}
