/*
 * A request at the entry from submission to outcome: limits, claim, deadline,
 * and the report to the caller.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_internal.h"

/* Longest wait for a claim; the request's deadline may shorten it. */
#define CLAIM_TIMEOUT (3 * KC_SECOND)
/* Between two tries to write a claim. */
#define CLAIM_RETRY_DELAY (100 * KC_MS)
/* Recording the outcome of a claimed call is tried this long. */
#define CLAIM_SETTLE_TIMEOUT (60 * KC_SECOND)

static const KcCounter outcome_counters[] = {
    [KC_OUTCOME_NONE] = KC_COUNT_UNKNOWN,
    [KC_OUTCOME_ANSWERED] = KC_COUNT_ANSWERED,
    [KC_OUTCOME_NOT_RUN] = KC_COUNT_NOT_RUN,
    [KC_OUTCOME_UNKNOWN] = KC_COUNT_UNKNOWN,
};

static void
free_request(KcRequest *request)
{
    assert(request->attempt.state == KC_ATTEMPT_IDLE);
    KcBuffer_Clear(&request->body);
    KcBuffer_Clear(&request->delivered);
    KcDocument_Release(request->document);
    free(request);
}

static void
retain_request(KcRequest *request)
{
    request->held++;
}

static void
release_request(KcRequest *request)
{
    assert(request->held > 0);
    request->held--;
    if (request->held == 0 && request->finished) {
        free_request(request);
    }
}

static KcClaimMark
claim_mark_of(KcOutcome outcome)
{
    switch (outcome) {
    case KC_OUTCOME_ANSWERED:
        return KC_CLAIM_DONE;
    case KC_OUTCOME_NOT_RUN:
        return KC_CLAIM_RELEASED;
    default:
        return KC_CLAIM_UNKNOWN;
    }
}

static void
report_to_caller(KcRequest *request, KcOutcome outcome, KcClaimMark earlier)
{
    KcResult result = {.id = request->id,
                       .outcome = outcome,
                       .error = request->error,
                       .retry_after = request->retry_after,
                       .duplicate = request->error.code == KC_ERR_DUPLICATE,
                       .earlier = earlier,
                       .finish = request->finish,
                       .tokens = request->tokens,
                       .model = &request->model};

    if (request->caller != NULL) {
        request->caller_ops->finished(request->caller, &result);
        request->caller = NULL;
    }
}

/*
 * Ends a request; earlier is the mark of the earlier call with the same key,
 * for a duplicate.
 */
static void
finish_request(KcRequest *request, KcOutcome outcome, KcClaimMark earlier,
               KcTime now)
{
    KcEntry *entry = request->entry;

    assert(!request->finished);
    assert(request->attempt.state == KC_ATTEMPT_IDLE);
    request->finished = true;
    KcTimers_Clear(entry->options.member.timers, &request->timer);
    if (request->claim != NULL) {
        KcClaim_End(request->claim, claim_mark_of(outcome), now);
        request->claim = NULL;
    }
    if (request->customer != NULL) {
        KcCustomers_Leave(request->customer);
    }
    KcCounters_Add(entry->options.member.counters, outcome_counters[outcome],
                   1);
    KcEntry_RecordEvent(entry, KC_EVENT_FINISH, request, request->error.peer,
                        outcome, now);
    TAILQ_REMOVE(&entry->requests, request, link);
    entry->request_count--;
    report_to_caller(request, outcome, earlier);
    if (request->held == 0) {
        free_request(request);
    }
}

void
KcEntryRequest_Finish(KcRequest *request, KcOutcome outcome, int code,
                      const char *step, const char *peer, KcTime now)
{
    KcError_Set(&request->error, code, step, peer);
    finish_request(request, outcome, KC_CLAIM_UNKNOWN, now);
}

static void
finish_not_run(KcRequest *request, int code, const char *step, KcTime now)
{
    KcEntryRequest_Finish(request, KC_OUTCOME_NOT_RUN, code, step, NULL, now);
}

/*
 * Finishes a request whose key was used before; earlier is the mark of the
 * earlier call.
 */
static void
finish_duplicate(KcRequest *request, KcClaimMark earlier, KcTime now)
{
    KcCounters_Add(request->entry->options.member.counters,
                   KC_COUNT_DUPLICATES, 1);
    KcError_Set(&request->error, KC_ERR_DUPLICATE, "claim", NULL);
    finish_request(request, KC_OUTCOME_UNKNOWN, earlier, now);
}

static void
on_claim_verdict(void *context, const KcClaimVerdict *verdict, KcTime now)
{
    KcRequest *request = context;

    KcEntry_RecordEvent(request->entry, KC_EVENT_CLAIM, request, NULL,
                        verdict->code, now);
    if (verdict->code == KC_ERR_DUPLICATE) {
        finish_duplicate(request, verdict->mark, now);
    }
    else if (verdict->code != 0) {
        request->retry_after = KC_SECOND;
        finish_not_run(request, verdict->code, "claim", now);
    }
    else {
        KcEntryAttempt_StartNext(request, now);
    }
}

static void
start_claim(KcRequest *request, const char *key, KcTime now)
{
    KcEntry *entry = request->entry;
    KcClaimOptions options = {.ops = entry->options.member.object_ops,
                              .objects = entry->options.member.objects,
                              .timers = entry->options.member.timers,
                              .service = request->service->name,
                              .customer = request->customer_name,
                              .key = key,
                              .token = &request->id,
                              .give_up = now + CLAIM_TIMEOUT,
                              .retry = CLAIM_RETRY_DELAY,
                              .settle = CLAIM_SETTLE_TIMEOUT,
                              .clock = entry->options.member.clock,
                              .clock_context =
                                  entry->options.member.clock_context,
                              .verdict = on_claim_verdict,
                              .context = request,
                              .list = &entry->claims};

    if (options.give_up > request->deadline) {
        options.give_up = request->deadline;
    }
    KcCounters_Add(entry->options.member.counters, KC_COUNT_CLAIMS, 1);
    request->claim = KcClaim_Start(&options, now);
}

/* The deadline has passed before the answer began. */
static void
on_deadline(KcTimer *timer, KcTime now)
{
    KcRequest *request = timer->owner;
    KcAttemptState state = request->attempt.state;

    assert(!request->started);
    request->cancelled = true;
    if (state == KC_ATTEMPT_IDLE || state == KC_ATTEMPT_CONNECTING) {
        KcOutcome outcome =
            request->may_have_run ? KC_OUTCOME_UNKNOWN : KC_OUTCOME_NOT_RUN;

        KcEntryAttempt_Detach(request, now);
        KcEntryRequest_Finish(request, outcome, KC_ERR_DEADLINE, "deadline",
                              NULL, now);
        return;
    }
    KcEntryAttempt_Cancel(request, now);
}

static KcRequest *
create_request(KcEntry *entry, const KcCall *call, KcTime now)
{
    KcRequest *request = KcMem_New(sizeof(*request));

    request->entry = entry;
    request->id.nonce = entry->options.member.incarnation;
    request->id.sequence = ++entry->sequence;
    request->arrived = now;
    request->priority = call->priority;
    request->attempt.request = request;
    KcName_Copy(request->customer_name, call->customer, KC_NAME_MAX);
    KcName_Copy(request->method, call->method, sizeof(request->method));
    KcName_Copy(request->path, call->path, sizeof(request->path));
    KcName_Copy(request->content_type, call->content_type, KC_NAME_MAX);
    KcBuffer_Append(&request->body, call->body.data, call->body.size);
    KcTimer_Init(&request->timer, on_deadline, request);
    KcTimer_Init(&request->attempt.timer, NULL, &request->attempt);
    TAILQ_INSERT_TAIL(&entry->requests, request, link);
    entry->request_count++;
    return request;
}

/* Calls that only read may be repeated even if the service's may not. */
static bool
is_read_only(const char *method)
{
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
}

/*
 * Finds the service, and for a model call the adapter and version.  Returns 0
 * or a KcErrorCode.
 */
static int
resolve_call(KcRequest *request, const KcCall *call)
{
    KcDocument *document = request->entry->document;
    KcService *service = NULL;
    int code = 0;

    request->document = KcDocument_Retain(document);
    if (call->plain) {
        service = KcDocument_ServiceByPath(document, call->path);
        code = service != NULL ? 0 : KC_ERR_NOT_FOUND;
        request->route_key = request->id.nonce ^ request->id.sequence;
    }
    else {
        code = KcDocument_Resolve(document, call->model, &request->model,
                                  &service);
        request->route_key = KcRoute_Key(&request->model);
    }
    if (code != 0) {
        return code;
    }
    request->service = service;
    request->repeatable = service->repeatable || is_read_only(call->method);
    return 0;
}

static int
check_limits(KcRequest *request, KcTime now)
{
    KcEntry *entry = request->entry;
    KcLimit *limit =
        KcDocument_Limit(request->document, request->customer_name);
    int code;

    if (entry->request_count > entry->options.requests_max) {
        request->retry_after = KC_SECOND;
        return KC_ERR_BUSY;
    }
    if (limit == NULL) {
        return 0;
    }
    code = KcCustomers_Admit(&entry->customers, request->customer_name, limit,
                             entry->entry_count, now, &request->customer,
                             &request->retry_after);
    if (code != 0) {
        KcCounters_Add(entry->options.member.counters, KC_COUNT_LIMITED, 1);
    }
    return code;
}

/*
 * Checks what can be checked within the entry.  Returns 0 or a KcErrorCode
 * with the failed check in *step.
 */
static int
check_call(KcRequest *request, const KcCall *call, KcTime now,
           const char **step)
{
    KcEntry *entry = request->entry;
    int code = KcEntry_Ready(entry);

    *step = "ready";
    if (code != 0) {
        return code;
    }
    *step = "resolve";
    code = resolve_call(request, call);
    if (code != 0) {
        return code;
    }
    *step = "limits";
    code = check_limits(request, now);
    if (code != 0) {
        return code;
    }
    *step = "key";
    if (request->service->require_key && !request->repeatable &&
        call->key == NULL) {
        return KC_ERR_KEY_REQUIRED;
    }
    return 0;
}

static void
begin_request(KcRequest *request, const KcCall *call, KcTime now)
{
    KcEntry *entry = request->entry;
    const char *step;
    KcTime time_to_deadline;
    int code = check_call(request, call, now, &step);

    KcEntry_RecordEvent(entry, KC_EVENT_REQUEST, request, NULL,
                        (int64_t)request->priority, now);
    if (code != 0) {
        finish_not_run(request, code, step, now);
        return;
    }
    time_to_deadline = request->service->deadline_ms * KC_MS;
    if (call->deadline > 0 && call->deadline < time_to_deadline) {
        time_to_deadline = call->deadline;
    }
    request->deadline = now + time_to_deadline;
    KcTimers_Set(entry->options.member.timers, &request->timer,
                 request->deadline);
    KcRetryBudget_Deposit(&entry->retry_budget);
    if (!request->repeatable && call->key != NULL) {
        start_claim(request, call->key, now);
    }
    else {
        KcEntryAttempt_StartNext(request, now);
    }
}

KcRequest *
KcEntry_Submit(KcEntry *entry, const KcCall *call,
               const KcCallerOps *caller_ops, void *caller, KcTime now)
{
    KcRequest *request = create_request(entry, call, now);
    bool finished;

    request->caller_ops = caller_ops;
    request->caller = caller;
    KcCounters_Add(entry->options.member.counters, KC_COUNT_REQUESTS, 1);
    retain_request(request);
    begin_request(request, call, now);
    finished = request->finished;
    release_request(request);
    return finished ? NULL : request;
}

void
KcEntry_Abandon(KcRequest *request, KcTime now)
{
    KcEntry *entry = request->entry;

    assert(!request->finished);
    KcCounters_Add(entry->options.member.counters, KC_COUNT_ABANDONED, 1);
    request->caller = NULL;
    if (!request->repeatable) {
        KcEntry_Consumed(request, request->offset, now);
        return;
    }
    request->cancelled = true;
    if (request->attempt.state == KC_ATTEMPT_PROPOSED ||
        request->attempt.state == KC_ATTEMPT_ADMITTED) {
        KcEntryAttempt_Cancel(request, now);
        return;
    }
    KcEntryAttempt_Detach(request, now);
    KcEntryRequest_Finish(request, KC_OUTCOME_UNKNOWN, KC_ERR_CANCELLED,
                          "caller", NULL, now);
}

/* True when an attempt was sent that may have run. */
static bool
may_have_run(const KcRequest *request)
{
    return request->may_have_run || request->started ||
           request->attempt.state >= KC_ATTEMPT_PROPOSED;
}

void
KcEntry_Abort(KcEntry *entry, KcTime now)
{
    KcRequest *request;

    while ((request = TAILQ_FIRST(&entry->requests)) != NULL) {
        KcOutcome outcome =
            may_have_run(request) ? KC_OUTCOME_UNKNOWN : KC_OUTCOME_NOT_RUN;

        request->cancelled = true;
        KcEntryAttempt_Detach(request, now);
        KcEntryRequest_Finish(request, outcome, KC_ERR_LEAVING, "stop", NULL,
                              now);
    }
}

void
KcEntry_Consumed(KcRequest *request, uint64_t offset, KcTime now)
{
    uint64_t credit_step = request->entry->options.window / 4;

    (void)now;
    assert(offset <= request->offset);
    request->consumed = offset;
    /* A continuation may have set credited above consumed: no credit then. */
    if (request->consumed >= request->credited + credit_step) {
        KcEntryAttempt_SendCredit(request, false);
    }
}
