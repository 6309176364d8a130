/*
 * One attempt of a request: proposes it to a backend server's agent, resumes
 * it after a lost connection, and handles the agent's replies.
 */
#include <assert.h>
#include <string.h>

#include "entry_internal.h"

/* A backend server whose agent is leaving is avoided this long. */
#define LEAVING_AVOID_TIMEOUT (30 * KC_SECOND)

static void
set_state(KcAttempt *attempt, KcAttemptState state)
{
    attempt->state = state;
}

static void
set_timer(KcAttempt *attempt, void (*on_due)(KcTimer *, KcTime), KcTime due_at)
{
    KcTimers *timers = attempt->request->entry->options.member.timers;

    KcTimers_Clear(timers, &attempt->timer);
    attempt->timer.on_due = on_due;
    KcTimers_Set(timers, &attempt->timer, due_at);
}

static KcEntry *
entry_of(const KcAttempt *attempt)
{
    return attempt->request->entry;
}

/* ---- sending ------------------------------------------------------------ */

static void
send_on_stream(KcAttempt *attempt, KcMsg *msg)
{
    msg->stream_id = attempt->stream->id;
    KcLink_Send(attempt->stream->parent, msg);
}

static void
charge_remote_budget(KcAttempt *attempt, uint64_t bytes, KcTime now)
{
    KcEntry *entry = entry_of(attempt);

    if (attempt->remote) {
        KcByteBudget_Charge(&entry->remote_budget, bytes, now);
        KcCounters_Add(entry->options.member.counters, KC_COUNT_REMOTE_BYTES,
                       bytes);
    }
}

/*
 * The agent has not replied yet. It may be sound and go on, so the attempt
 * ends only if another backend server can take the request.
 */
static void
on_reply_overdue(KcTimer *timer, KcTime now)
{
    KcAttempt *attempt = timer->owner;
    KcRequest *request = attempt->request;

    if (KcEntryRetry_CanLeave(request, now)) {
        KcEntryAttempt_End(request, KC_ATTEMPT_LOST, KC_ERR_PEER_LOST,
                           "propose", now);
        return;
    }
    set_timer(attempt, on_reply_overdue,
              now + request->entry->options.ping_interval);
}

static void
on_reply_timeout(KcTimer *timer, KcTime now)
{
    KcAttempt *attempt = timer->owner;

    KcEntryLink_MarkSuspect(attempt->request->entry, attempt->backend, now);
    on_reply_overdue(timer, now);
}

/*
 * Time until the answer must begin.  The continuation of an answer that has
 * begun gets the service's whole deadline.
 */
static KcTime
remaining_time(const KcRequest *request, KcTime now)
{
    if (request->answer_started) {
        return request->service->default_deadline_ms * KC_MS;
    }
    return request->deadline > now ? request->deadline - now : 0;
}

static void
send_propose(KcAttempt *attempt, KcTime now)
{
    KcRequest *request = attempt->request;
    KcEntry *entry = request->entry;
    KcLink *link = attempt->backend->connection;
    KcMsg msg = {.type = KC_MSG_PROPOSE};
    KcMsgPropose *propose = &msg.u.propose;

    propose->request = request->id;
    propose->attempt = attempt->number;
    KcText_Copy(propose->service, request->service->name, KC_NAME_MAX);
    KcText_Copy(propose->adapter, request->model.adapter, KC_NAME_MAX);
    propose->version = request->model.version;
    KcText_Copy(propose->customer, request->customer_name, KC_NAME_MAX);
    propose->priority = request->priority;
    propose->time_left_us = (uint64_t)remaining_time(request, now);
    propose->repeatable = request->repeatable;
    propose->offset = request->delivered_bytes;
    propose->tokens = request->tokens;
    KcText_Copy(propose->method, request->method, sizeof(propose->method));
    KcText_Copy(propose->path, request->path, sizeof(propose->path));
    KcText_Copy(propose->content_type, request->content_type, KC_NAME_MAX);
    propose->body = (KcBytes){KcBuffer_Data(&request->body),
                              KcBuffer_Size(&request->body)};
    propose->delivered_text =
        (KcBytes){KcBuffer_Data(&request->delivered_text),
                  KcBuffer_Size(&request->delivered_text)};
    attempt->incarnation = link->peer_incarnation;
    attempt->stream =
        KcLink_OpenStream(link, attempt, request->delivered_bytes);
    request->credited_bytes = request->delivered_bytes;
    set_state(attempt, KC_ATTEMPT_PROPOSED);
    set_timer(attempt, on_reply_timeout, now + entry->options.reply_timeout);
    charge_remote_budget(
        attempt, propose->body.size + propose->delivered_text.size, now);
    KcEntry_RecordEvent(entry, KC_EVENT_PROPOSE, request,
                        attempt->backend->name, attempt->number, now);
    send_on_stream(attempt, &msg);
}

static void
send_resume(KcAttempt *attempt, KcTime now)
{
    KcRequest *request = attempt->request;
    KcMsg msg = {.type = KC_MSG_RESUME};

    msg.u.resume.request = request->id;
    msg.u.resume.attempt = attempt->number;
    msg.u.resume.offset = request->delivered_bytes;
    attempt->stream = KcLink_OpenStream(attempt->backend->connection, attempt,
                                        request->delivered_bytes);
    set_state(attempt, KC_ATTEMPT_PROPOSED);
    set_timer(attempt, on_reply_timeout,
              now + request->entry->options.reply_timeout);
    KcCounters_Add(request->entry->options.member.counters, KC_COUNT_RESUMES,
                   1);
    KcEntry_RecordEvent(request->entry, KC_EVENT_RESUME, request,
                        attempt->backend->name,
                        (int64_t)request->delivered_bytes, now);
    send_on_stream(attempt, &msg);
    /* Credits what was consumed while there was no connection. */
    KcEntryAttempt_SendCredit(request, false);
    if (request->cancelled) {
        KcEntryAttempt_Cancel(request, now);
    }
}

void
KcEntryAttempt_SendCredit(KcRequest *request, bool end_received)
{
    KcAttempt *attempt = &request->attempt;
    KcMsg msg = {.type = KC_MSG_CREDIT};

    if (attempt->stream == NULL) {
        return; /* sent when the attempt is resumed */
    }
    request->credited_bytes = request->consumed_bytes;
    msg.u.credit.offset =
        end_received ? request->delivered_bytes : request->consumed_bytes;
    msg.u.credit.end_received = end_received;
    send_on_stream(attempt, &msg);
}

static void
on_cancel_timeout(KcTimer *timer, KcTime now)
{
    KcAttempt *attempt = timer->owner;

    KcEntryAttempt_End(attempt->request, KC_ATTEMPT_LOST,
                       KC_ERR_DEADLINE_EXCEEDED, "cancel", now);
}

void
KcEntryAttempt_Cancel(KcRequest *request, KcTime now)
{
    KcAttempt *attempt = &request->attempt;
    KcMsg msg = {.type = KC_MSG_CANCEL};

    assert(attempt->state != KC_ATTEMPT_IDLE);
    if (attempt->stream != NULL) {
        send_on_stream(attempt, &msg);
    }
    set_timer(attempt, on_cancel_timeout,
              now + request->entry->options.cancel_timeout);
}

/* ---- start and end ------------------------------------------------------ */

static void
begin_attempt(KcRequest *request, const KcRouteChoice *choice, KcTime now)
{
    KcEntry *entry = request->entry;
    KcAttempt *attempt = &request->attempt;
    KcBackend *backend = choice->backend;

    assert(attempt->state == KC_ATTEMPT_IDLE);
    attempt->backend = backend;
    attempt->number = ++request->attempt_count;
    attempt->remote = choice->remote;
    attempt->answer_started = false;
    attempt->stream = NULL;
    request->tried_backends[request->tried_count++] = backend;
    set_state(attempt, KC_ATTEMPT_CONNECTING);
    TAILQ_INSERT_TAIL(&backend->attempt_list, attempt, link);
    backend->attempt_count++;
    backend->attempts_since_report++;
    KcCounters_Add(entry->options.member.counters, KC_COUNT_ATTEMPTS, 1);
    KcCounters_Add(entry->options.member.counters, KC_COUNT_RETRIES,
                   request->attempt_count > 1);
    KcCounters_Add(entry->options.member.counters, KC_COUNT_REMOTE_ATTEMPTS,
                   choice->remote);
    KcCounters_Add(entry->options.member.counters, KC_COUNT_CONTINUATIONS,
                   request->delivered_bytes > 0);
    KcEntry_RecordEvent(entry, KC_EVENT_PICK, request, backend->name,
                        choice->cost / KC_MS, now);
    KcEntryLink_StartSilenceCheck(entry, backend, now);
    if (backend->connection != NULL) {
        send_propose(attempt, now);
    }
    else {
        KcEntryLink_Connect(entry, backend);
    }
}

/*
 * Finishes a request for which no backend server is left, with the error of
 * the last attempt.
 */
static void
finish_without_candidate(KcRequest *request, KcTime now)
{
    KcOutcome outcome = request->may_have_run ||
                                request->delivered_bytes > 0 ||
                                request->answer_started
                            ? KC_OUTCOME_UNKNOWN
                            : KC_OUTCOME_NOT_RUN;

    if (request->error.code == 0) {
        KcError_Set(&request->error, KC_ERR_NO_BACKEND, "pick", NULL);
    }
    if (request->retry_after == 0) {
        request->retry_after = KC_SECOND;
    }
    KcEntryRequest_Finish(request, outcome, request->error.code,
                          request->error.step, request->error.peer, now);
}

void
KcEntryAttempt_StartNext(KcRequest *request, KcTime now)
{
    KcRouteChoice choice;

    KcEntryChoose_Backend(request, now, &choice);
    if (choice.backend == NULL || request->tried_count == KC_ATTEMPTS_MAX) {
        finish_without_candidate(request, now);
        return;
    }
    begin_attempt(request, &choice, now);
}

void
KcEntryAttempt_Detach(KcRequest *request, KcTime now)
{
    KcAttempt *attempt = &request->attempt;

    if (attempt->state == KC_ATTEMPT_IDLE) {
        return;
    }
    KcTimers_Clear(request->entry->options.member.timers, &attempt->timer);
    if (attempt->stream != NULL) {
        attempt->stream->owner = NULL;
        KcLink_CloseStream(attempt->stream, now);
        attempt->stream = NULL;
    }
    TAILQ_REMOVE(&attempt->backend->attempt_list, attempt, link);
    attempt->backend->attempt_count--;
    attempt->backend = NULL;
    set_state(attempt, KC_ATTEMPT_IDLE);
}

/* Sends CANCEL on a stream that has not ended, so that the agent stops the
 * work. */
static void
cancel_open_stream(KcAttempt *attempt)
{
    KcMsg msg = {.type = KC_MSG_CANCEL};

    if (attempt->stream != NULL && !attempt->stream->ended) {
        send_on_stream(attempt, &msg);
    }
}

void
KcEntryAttempt_End(KcRequest *request, KcAttemptEnd end, int code,
                   const char *step, KcTime now)
{
    KcEntry *entry = request->entry;
    KcAttempt *attempt = &request->attempt;
    KcRetryInput input = KcEntryRetry_DescribeEnd(request, end, code);
    KcRetryDecision decision;

    KcError_Set(&request->error, code, step, attempt->backend->name);
    if (end == KC_ATTEMPT_LOST || end == KC_ATTEMPT_FAILED) {
        cancel_open_stream(attempt);
    }
    KcEntryAttempt_Detach(request, now);
    decision = KcRetry_Decide(&input, &entry->retry_budget);
    if (end == KC_ATTEMPT_FAILED || end == KC_ATTEMPT_LOST) {
        request->may_have_run = true;
    }
    switch (decision) {
    case KC_RETRY_NEXT:
        KcEntryAttempt_StartNext(request, now);
        break;
    case KC_RETRY_NOT_RUN:
        KcEntryRequest_Finish(request, KC_OUTCOME_NOT_RUN, code, step,
                              request->error.peer, now);
        break;
    case KC_RETRY_UNKNOWN:
        KcEntryRequest_Finish(request, KC_OUTCOME_UNKNOWN, code, step,
                              request->error.peer, now);
        break;
    }
}

/* ---- connections -------------------------------------------------------- */

void
KcEntryAttempt_OnConnected(KcAttempt *attempt, KcTime now)
{
    uint64_t incarnation = attempt->backend->connection->peer_incarnation;

    if (attempt->state == KC_ATTEMPT_CONNECTING) {
        send_propose(attempt, now);
    }
    else if (attempt->state == KC_ATTEMPT_RESUMING) {
        if (incarnation == attempt->incarnation) {
            send_resume(attempt, now);
        }
        else {
            KcEntryAttempt_End(attempt->request, KC_ATTEMPT_LOST,
                               KC_ERR_PEER_LOST, "resume", now);
        }
    }
}

static void
on_resume_retry(KcTimer *timer, KcTime now)
{
    KcAttempt *attempt = timer->owner;

    if (now >= attempt->resume_until) {
        KcEntryAttempt_End(attempt->request, KC_ATTEMPT_LOST, KC_ERR_PEER_LOST,
                           "resume", now);
        return;
    }
    set_timer(attempt, on_resume_retry,
              now + entry_of(attempt)->options.resume_retry_interval);
    KcEntryLink_Connect(entry_of(attempt), attempt->backend);
}

void
KcEntryAttempt_OnConnectFailed(KcAttempt *attempt, KcTime now)
{
    (void)now;
    if (attempt->state == KC_ATTEMPT_CONNECTING) {
        KcEntryAttempt_End(attempt->request, KC_ATTEMPT_NEVER_SENT,
                           KC_ERR_NO_BACKEND, "connect", now);
    }
    /* A resuming attempt connects again when its timer fires. */
}

void
KcEntryAttempt_OnLinkLost(KcAttempt *attempt, KcTime now)
{
    KcRequest *request = attempt->request;
    KcTime resume_until = now + entry_of(attempt)->options.resume_timeout;

    if (attempt->state == KC_ATTEMPT_CONNECTING) {
        KcEntryLink_Connect(entry_of(attempt), attempt->backend);
        return;
    }
    if (attempt->state != KC_ATTEMPT_RESUMING) {
        /* The outcome of a call that may not be repeated can still be learnt
         * until its deadline. */
        if (!request->repeatable && request->deadline > resume_until) {
            resume_until = request->deadline;
        }
        attempt->resume_until = resume_until;
    }
    attempt->stream = NULL;
    set_state(attempt, KC_ATTEMPT_RESUMING);
    set_timer(attempt, on_resume_retry,
              now + entry_of(attempt)->options.resume_retry_interval);
    KcEntryLink_Connect(entry_of(attempt), attempt->backend);
}

/* ---- replies ------------------------------------------------------------ */

/* Records the load report in a reply, and whether the adapter is loaded or
 * being loaded. */
static void
record_load(KcAttempt *attempt, const KcAgentLoad *load, KcTime now)
{
    KcBackend *backend = attempt->backend;
    KcRequest *request = attempt->request;

    backend->load = *load;
    backend->load_reported_at = now;
    backend->attempts_since_report = 0;
    if (request->service->kind == KC_SERVICE_MODEL) {
        KcFleet_RecordHolder(&request->entry->fleet, request->route_key,
                             backend, load->is_adapter_resident, now);
    }
}

static void
on_admit(KcAttempt *attempt, const KcMsg *msg, KcTime now)
{
    KcRequest *request = attempt->request;

    record_load(attempt, &msg->u.admit.load, now);
    set_state(attempt, KC_ATTEMPT_ADMITTED);
    if (!request->cancelled) {
        KcTimers_Clear(request->entry->options.member.timers, &attempt->timer);
    }
}

/*
 * True when the attempt was cancelled before its answer began.  What is still
 * received is then not passed on, as the cancellation would truncate it.
 */
static bool
is_cancelled_before_answer(const KcRequest *request)
{
    return request->cancelled && !request->answer_started;
}

/*
 * Returns the error code of an ended attempt.  KC_ERR_CANCELLED becomes
 * KC_ERR_DEADLINE_EXCEEDED: while a caller waits, only its deadline cancels an
 * attempt.
 */
static int
error_code_of_end(const KcRequest *request, int code)
{
    return is_cancelled_before_answer(request) && code == KC_ERR_CANCELLED
               ? KC_ERR_DEADLINE_EXCEEDED
               : code;
}

static void
on_refuse(KcAttempt *attempt, const KcMsg *msg, KcTime now)
{
    KcRequest *request = attempt->request;
    const KcMsgRefuse *refuse = &msg->u.refuse;

    record_load(attempt, &refuse->load, now);
    KcCounters_Add(request->entry->options.member.counters, KC_COUNT_REFUSALS,
                   1);
    request->retry_after = (KcTime)refuse->retry_after_ms * KC_MS;
    if (refuse->code == KC_ERR_LEAVING) {
        attempt->backend->suspect_until = now + LEAVING_AVOID_TIMEOUT;
    }
    KcEntryAttempt_SendCredit(request, true);
    KcEntryAttempt_End(request, KC_ATTEMPT_REFUSED,
                       error_code_of_end(request, refuse->code), "refused",
                       now);
}

/* True when the answer comes from the requested adapter and version. */
static bool
is_requested_model(const KcRequest *request, const KcMsgStarted *started)
{
    return strcmp(started->adapter, request->model.adapter) == 0 &&
           started->version == request->model.version;
}

static void
on_started(KcAttempt *attempt, const KcMsg *msg, KcTime now)
{
    KcRequest *request = attempt->request;
    KcEntry *entry = request->entry;

    if (!is_requested_model(request, &msg->u.started)) {
        KcCounters_Add(entry->options.member.counters, KC_COUNT_WRONG_MODEL,
                       1);
        KcEntryAttempt_End(request, KC_ATTEMPT_FAILED, KC_ERR_WRONG_MODEL,
                           "started", now);
        return;
    }
    attempt->answer_started = true;
    if (is_cancelled_before_answer(request)) {
        return;
    }
    KcTimers_Clear(entry->options.member.timers, &request->deadline_timer);
    if (request->answer_started) {
        return;
    }
    request->answer_started = true;
    KcEntry_RecordEvent(entry, KC_EVENT_FIRST_BYTE, request,
                        attempt->backend->name,
                        (now - request->arrived_at) / KC_MS, now);
    if (request->caller != NULL) {
        request->caller_ops->on_started(request->caller, request,
                                        &msg->u.started);
    }
}

static void
on_data(KcAttempt *attempt, const KcMsg *msg, KcTime now)
{
    KcRequest *request = attempt->request;
    const KcMsgData *data = &msg->u.data;

    if (!attempt->answer_started) {
        KcEntryAttempt_End(request, KC_ATTEMPT_FAILED, KC_ERR_PROTOCOL,
                           "data before started", now);
        return;
    }
    if (is_cancelled_before_answer(request)) {
        return;
    }
    assert(data->offset == request->delivered_bytes);
    if (request->service->kind == KC_SERVICE_MODEL) {
        KcBuffer_Append(&request->delivered_text, data->bytes.data,
                        data->bytes.size);
    }
    request->delivered_bytes += data->bytes.size;
    KcCounters_Add(request->entry->options.member.counters, KC_COUNT_TOKENS,
                   data->tokens - request->tokens);
    request->tokens = data->tokens;
    charge_remote_budget(attempt, data->bytes.size, now);
    if (request->caller != NULL) {
        request->caller_ops->on_data(request->caller, request, data->bytes,
                                     data->tokens);
    }
    else {
        KcEntry_AcknowledgeConsumed(request, request->delivered_bytes, now);
    }
}

static void
on_end(KcAttempt *attempt, const KcMsg *msg, KcTime now)
{
    KcRequest *request = attempt->request;
    const KcMsgEnd *end = &msg->u.end;

    record_load(attempt, &end->load, now);
    KcEntryAttempt_SendCredit(request, true);
    if (end->code != 0) {
        KcEntryAttempt_End(
            request,
            end->reached_backend ? KC_ATTEMPT_FAILED : KC_ATTEMPT_REFUSED,
            error_code_of_end(request, end->code), "answer", now);
        return;
    }
    if (!attempt->answer_started) {
        KcEntryAttempt_End(request, KC_ATTEMPT_FAILED, KC_ERR_PROTOCOL,
                           "end before started", now);
        return;
    }
    if (is_cancelled_before_answer(request)) {
        KcEntryAttempt_End(request, KC_ATTEMPT_FAILED,
                           KC_ERR_DEADLINE_EXCEEDED, "deadline", now);
        return;
    }
    KcText_Copy(request->finish_reason, end->finish_reason,
                sizeof(request->finish_reason));
    KcEntryAttempt_Detach(request, now);
    KcEntryRequest_Finish(request, KC_OUTCOME_ANSWERED, 0, "", NULL, now);
}

/* Handlers of the agent's replies on a stream, by message type. */
static void (*const reply_handlers[KC_MSG_COUNT])(KcAttempt *attempt,
                                                  const KcMsg *msg,
                                                  KcTime now) = {
    [KC_MSG_ADMIT] = on_admit,     [KC_MSG_REFUSE] = on_refuse,
    [KC_MSG_STARTED] = on_started, [KC_MSG_DATA] = on_data,
    [KC_MSG_END] = on_end,
};

void
KcEntryAttempt_OnMessage(KcAttempt *attempt, const KcMsg *msg, KcTime now)
{
    assert(reply_handlers[msg->type] != NULL);
    reply_handlers[msg->type](attempt, msg, now);
}
