/*
 * The works of an agent: admission, answers, resumption, and the record
 * that lets an entry learn what became of an attempt.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "agent_internal.h"

/* Entry processes whose horizon is kept. */
#define HORIZON_MAX 4096
/* A work is tried again this often after the engine turned it away. */
#define REQUEUE_MAX 3
#define RETRY_AFTER_MIN_MS 100

static void on_timer(KcTimer *timer, KcTime now);

/* ---- shares and horizons ------------------------------------------------ */

static KcCustomerShare *
take_share(KcAgent *agent, const char *customer)
{
    KcCustomerShare *share;

    HASH_FIND_STR(agent->shares, customer, share);
    if (share == NULL) {
        share = KcMem_New(sizeof(*share));
        KcText_Copy(share->customer, customer, KC_NAME_MAX);
        HASH_ADD_STR(agent->shares, customer, share);
    }
    share->work_count++;
    return share;
}

static void
drop_share(KcAgent *agent, KcCustomerShare *share)
{
    assert(share->work_count > 0);
    if (--share->work_count == 0) {
        HASH_DEL(agent->shares, share);
        free(share);
    }
}

/* Notes that the record of a work that ran is being dropped. */
static void
raise_horizon(KcAgent *agent, const KcWork *work)
{
    const KcRequestId *id = &work->key.request;
    KcHorizon *horizon;

    HASH_FIND(hh, agent->horizons, &id->nonce, sizeof(id->nonce), horizon);
    if (horizon == NULL) {
        if (agent->horizon_count == HORIZON_MAX) {
            agent->horizon_lost = true;
            return;
        }
        horizon = KcMem_New(sizeof(*horizon));
        horizon->nonce = id->nonce;
        KcText_Copy(horizon->entry, work->entry, KC_NAME_MAX);
        HASH_ADD(hh, agent->horizons, nonce, sizeof(horizon->nonce), horizon);
        agent->horizon_count++;
    }
    if (id->sequence > horizon->sequence) {
        horizon->sequence = id->sequence;
    }
}

/* Could an attempt without a record have run here? */
static bool
may_have_run(const KcAgent *agent, const KcRequestId *id)
{
    KcHorizon *horizon;

    if (agent->horizon_lost) {
        return true;
    }
    HASH_FIND(hh, agent->horizons, &id->nonce, sizeof(id->nonce), horizon);
    return horizon != NULL && id->sequence <= horizon->sequence;
}

/* ---- forgetting --------------------------------------------------------- */

static void
leave_list(KcAgent *agent, KcWork *work)
{
    switch (work->state) {
    case KC_WORK_AWAITING_DOCUMENT:
        TAILQ_REMOVE(&agent->held, work, link);
        break;
    case KC_WORK_QUEUED:
        KcAgentSchedule_Dequeue(agent, work);
        break;
    case KC_WORK_RUNNING:
        TAILQ_REMOVE(&agent->running, work, link);
        agent->running_count--;
        work->share->running--;
        if (work->slot != NULL) {
            KcResidency_Unpin(work->slot);
            work->slot = NULL;
        }
        break;
    case KC_WORK_ENDED:
        TAILQ_REMOVE(&agent->ended, work, link);
        break;
    }
}

void
KcAgentWork_Forget(KcAgent *agent, KcWork *work, KcTime now)
{
    if (work->state == KC_WORK_RUNNING) {
        agent->options.ops->cancel(agent->options.backend, work);
    }
    if (work->has_run) {
        raise_horizon(agent, work);
    }
    leave_list(agent, work);
    KcTimers_Clear(agent->options.member.timers, &work->timer);
    if (work->stream != NULL) {
        work->stream->owner = NULL;
        KcLink_CloseStream(work->stream, now);
        work->stream = NULL;
    }
    drop_share(agent, work->share);
    HASH_DEL(agent->works, work);
    KcWork_Free(work);
}

static uint64_t
retry_after_ms(const KcAgent *agent)
{
    KcTime wait = 0;

    if (agent->service != NULL) {
        wait = KcAgentSchedule_Wait(agent) / KC_MS;
    }
    return (uint64_t)(wait > RETRY_AFTER_MIN_MS ? wait : RETRY_AFTER_MIN_MS);
}

void
KcAgentWork_Refuse(KcAgent *agent, KcWork *work, int code, KcTime now)
{
    KcMsg msg = {.type = KC_MSG_REFUSE};

    assert(!work->has_run);
    KcAgent_Event(agent, KC_EVENT_REFUSE, work, NULL, code, now);
    if (work->stream != NULL) {
        msg.u.refuse.code = code;
        msg.u.refuse.retry_after_ms = retry_after_ms(agent);
        KcAgentSchedule_Load(agent, work, &msg.u.refuse.load);
        KcAgentAnswer_Send(work, &msg);
    }
    KcAgentWork_Forget(agent, work, now);
}

/* ---- admission ---------------------------------------------------------- */

/* Finds the model in the document in force. */
static int
check_model(const KcAgent *agent, const KcWork *work)
{
    char text[KC_ADAPTER_REF_TEXT_SIZE];
    KcAdapterRef ref;
    KcService *service = NULL;
    int code;

    KcAdapterRef_Format(&work->model, text);
    code = KcDocument_ResolveModel(agent->document, text, &ref, &service);
    if (code == 0 && service != agent->service) {
        return KC_ERR_UNKNOWN_MODEL;
    }
    return code;
}

/* Is the adapter loaded, or can it be loaded? */
static int
check_adapter(KcAgent *agent, const KcWork *work, KcTime now)
{
    KcModelState *model =
        KcResidency_FindOrAddModel(&agent->residency, &work->model, now);

    if (model->slot != NULL) {
        return 0;
    }
    if (model->load_failures >= agent->options.load_failures_max &&
        model->retry_at > now) {
        return KC_ERR_LOAD_FAILED;
    }
    if (!agent->inspected || !KcLease_MayOrder(agent->lease, now)) {
        return KC_ERR_NO_LEASE;
    }
    return 0;
}

/* Returns 0 when the work can be queued. */
static int
check_admission(KcAgent *agent, const KcWork *work, KcTime now)
{
    int code = KcAgent_CheckReady(agent, now);

    if (code != 0) {
        return code;
    }
    if (strcmp(work->service, agent->options.service_name) != 0) {
        return KC_ERR_NOT_FOUND;
    }
    if (work->deadline <= now) {
        return KC_ERR_DEADLINE_EXCEEDED;
    }
    if (agent->queued_count >= agent->service->queue_max ||
        now + KcAgentSchedule_Wait(agent) > work->deadline) {
        return KC_ERR_BUSY;
    }
    if (agent->service->kind == KC_SERVICE_PLAIN) {
        return work->model.adapter[0] == '\0' ? 0 : KC_ERR_UNKNOWN_MODEL;
    }
    code = check_model(agent, work);
    return code != 0 ? code : check_adapter(agent, work, now);
}

/* Decides on a held work: it is queued, or refused and forgotten. */
static void
admit(KcAgent *agent, KcWork *work, KcTime now)
{
    int code = check_admission(agent, work, now);

    if (code != 0) {
        KcAgentWork_Refuse(agent, work, code, now);
        return;
    }
    TAILQ_REMOVE(&agent->held, work, link);
    KcAgentSchedule_Enqueue(agent, work, now);
    KcTimers_Set(agent->options.member.timers, &work->timer, work->deadline);
    KcAgent_Event(agent, KC_EVENT_ADMIT, work, NULL,
                  (int64_t)agent->queued_count, now);
    if (work->stream != NULL) {
        KcAgentAnswer_Admit(agent, work);
    }
    KcAgentSchedule_Pump(agent, now);
}

static KcWork *
find_work(const KcAgent *agent, const KcRequestId *id, uint32_t attempt)
{
    KcWorkKey key;
    KcWork *work;

    memset(&key, 0, sizeof(key));
    key.request = *id;
    key.attempt = attempt;
    HASH_FIND(hh, agent->works, &key, sizeof(key), work);
    return work;
}

/* Answers an open stream that has no work, and closes it. */
static void
answer_without_work(KcAgent *agent, KcStream *stream, int code, bool ran,
                    KcTime now)
{
    KcMsg msg = {.type = ran ? KC_MSG_END : KC_MSG_REFUSE,
                 .stream_id = stream->id};

    if (ran) {
        msg.u.end.code = code;
        msg.u.end.reached_backend = true;
        KcAgentSchedule_Load(agent, NULL, &msg.u.end.load);
    }
    else {
        msg.u.refuse.code = code;
        msg.u.refuse.retry_after_ms = RETRY_AFTER_MIN_MS;
        KcAgentSchedule_Load(agent, NULL, &msg.u.refuse.load);
    }
    KcLink_Send(stream->parent, &msg);
    KcLink_CloseStream(stream, now);
}

static void
attach(KcWork *work, KcStream *stream)
{
    work->stream = stream;
    stream->owner = work;
    KcText_Copy(work->entry, stream->parent->peer_name, KC_NAME_MAX);
}

void
KcAgentWork_Propose(KcAgent *agent, KcStream *stream, const KcMsg *msg,
                    KcTime now)
{
    const KcMsgPropose *propose = &msg->u.propose;
    KcWork *work;

    KcCounters_Add(agent->options.member.counters, KC_COUNT_WORKS, 1);
    if (find_work(agent, &propose->request, propose->attempt) != NULL) {
        answer_without_work(agent, stream, KC_ERR_DUPLICATE, true, now);
        return;
    }
    work = KcWork_Create(propose, msg->generation, now);
    work->agent = agent;
    work->share = take_share(agent, propose->customer);
    KcTimer_Init(&work->timer, on_timer, work);
    HASH_ADD(hh, agent->works, key, sizeof(work->key), work);
    attach(work, stream);
    work->state = KC_WORK_AWAITING_DOCUMENT;
    TAILQ_INSERT_TAIL(&agent->held, work, link);
    if (KcSync_IsBehind(agent->sync, msg->generation) && !agent->draining) {
        /* Decide with a document at least as new as the entry's. */
        KcTimers_Set(agent->options.member.timers, &work->timer,
                     now + agent->options.hold_timeout);
        return;
    }
    admit(agent, work, now);
}

void
KcAgentWork_RetryHeld(KcAgent *agent, KcTime now)
{
    KcWork *work;
    KcWork *next;

    TAILQ_FOREACH_SAFE (work, &agent->held, link, next) {
        if (!KcSync_IsBehind(agent->sync, work->generation)) {
            KcTimers_Clear(agent->options.member.timers, &work->timer);
            admit(agent, work, now);
        }
    }
}

/* ---- the course of a work ----------------------------------------------- */

void
KcAgentWork_End(KcAgent *agent, KcWork *work, int code, bool ran,
                const char *finish, KcTime now)
{
    assert(work->state == KC_WORK_RUNNING);
    leave_list(agent, work);
    work->state = KC_WORK_ENDED;
    work->end_code = code;
    work->has_run = ran;
    KcText_Copy(work->finish_reason, finish != NULL ? finish : "",
                sizeof(work->finish_reason));
    TAILQ_INSERT_TAIL(&agent->ended, work, link);
    KcTimers_Set(agent->options.member.timers, &work->timer,
                 now + agent->options.retain_timeout);
    KcAgent_Event(agent, KC_EVENT_END, work, NULL, code, now);
    if (work->orphan) {
        KcAgentWork_Forget(agent, work, now);
    }
    else {
        KcAgentAnswer_Flush(agent, work, now);
    }
    KcAgentSchedule_Pump(agent, now);
}

/* Takes a work that did not run back from the backend server. */
static void
take_back(KcAgent *agent, KcWork *work)
{
    assert(work->state == KC_WORK_RUNNING && !work->answer_started);
    leave_list(agent, work);
    work->has_run = false;
    work->state = KC_WORK_AWAITING_DOCUMENT;
    TAILQ_INSERT_TAIL(&agent->held, work, link);
}

void
KcAgentWork_Reject(KcAgent *agent, KcWork *work, int code, KcTime now)
{
    take_back(agent, work);
    KcAgentWork_Refuse(agent, work, code, now);
    KcAgentSchedule_Pump(agent, now);
}

void
KcAgentWork_Requeue(KcAgent *agent, KcWork *work, KcTime now)
{
    take_back(agent, work);
    if (++work->requeue_count > REQUEUE_MAX || agent->draining) {
        KcAgentWork_Refuse(agent, work,
                           agent->draining ? KC_ERR_LEAVING : KC_ERR_BACKEND,
                           now);
        return;
    }
    TAILQ_REMOVE(&agent->held, work, link);
    KcAgentSchedule_Enqueue(agent, work, now);
    KcTimers_Set(agent->options.member.timers, &work->timer, work->deadline);
    KcAgentSchedule_Pump(agent, now);
}

/* Ends a running work at its entry's wish; nothing of it is kept. */
static void
answer_cancelled(KcAgent *agent, KcWork *work, KcTime now)
{
    if (work->stream != NULL) {
        work->end_code = KC_ERR_CANCELLED;
        KcAgentAnswer_End(agent, work);
    }
    KcAgentWork_Forget(agent, work, now);
    KcAgentSchedule_Pump(agent, now);
}

void
KcAgentWork_Cancel(KcAgent *agent, KcWork *work, KcTime now)
{
    if (work == NULL) {
        return;
    }
    switch (work->state) {
    case KC_WORK_AWAITING_DOCUMENT:
    case KC_WORK_QUEUED:
        KcAgentWork_Refuse(agent, work, KC_ERR_CANCELLED, now);
        break;
    case KC_WORK_RUNNING:
        /* A call not to be repeated runs on, so that its fate is known. */
        if (work->repeatable) {
            answer_cancelled(agent, work, now);
        }
        break;
    case KC_WORK_ENDED:
        if (work->repeatable) {
            KcAgentWork_Forget(agent, work, now);
        }
        break;
    }
}

void
KcAgentWork_Credit(KcAgent *agent, KcWork *work, const KcMsg *msg, KcTime now)
{
    if (work == NULL) {
        return;
    }
    KcWork_Acknowledge(work, msg->u.credit.offset);
    if (msg->u.credit.end_received && work->end_sent) {
        KcAgentWork_Forget(agent, work, now);
        return;
    }
    KcAgentAnswer_Flush(agent, work, now);
}

void
KcAgentWork_Detach(KcAgent *agent, KcWork *work, KcTime now)
{
    KcTime until = now + agent->options.detach_timeout;

    assert(work->stream == NULL);
    if (work->state == KC_WORK_RUNNING && !work->repeatable) {
        KcAgentAnswer_Throttle(agent, work);
        return; /* runs to its end */
    }
    if (work->state == KC_WORK_ENDED && !work->repeatable) {
        until = now + agent->options.retain_timeout;
    }
    KcTimers_Set(agent->options.member.timers, &work->timer, until);
}

/* Nobody will ask for this work again. */
static void
abandon(KcAgent *agent, KcWork *work, KcTime now)
{
    work->orphan = true;
    switch (work->state) {
    case KC_WORK_AWAITING_DOCUMENT:
    case KC_WORK_QUEUED:
        KcAgentWork_Refuse(agent, work, KC_ERR_PEER_LOST, now);
        break;
    case KC_WORK_RUNNING:
        if (work->repeatable) {
            KcAgentWork_Forget(agent, work, now);
        }
        break;
    case KC_WORK_ENDED:
        KcAgentWork_Forget(agent, work, now);
        break;
    }
}

/* Of an earlier process of an entry nothing will be asked again. */
static void
drop_horizons_of(KcAgent *agent, const char *entry, uint64_t incarnation)
{
    KcHorizon *horizon;
    KcHorizon *next;

    HASH_ITER(hh, agent->horizons, horizon, next)
    {
        if (horizon->nonce != incarnation &&
            strcmp(horizon->entry, entry) == 0) {
            HASH_DEL(agent->horizons, horizon);
            agent->horizon_count--;
            free(horizon);
        }
    }
}

void
KcAgentWork_AbandonOf(KcAgent *agent, const char *entry, uint64_t incarnation,
                      KcTime now)
{
    KcWork *work;
    KcWork *next;

    HASH_ITER(hh, agent->works, work, next)
    {
        if (work->key.request.nonce != incarnation &&
            strcmp(work->entry, entry) == 0) {
            abandon(agent, work, now);
        }
    }
    drop_horizons_of(agent, entry, incarnation);
    KcAgentSchedule_Pump(agent, now);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcWork *work = timer->owner;
    KcAgent *agent = work->agent;
    bool detached = work->stream == NULL;

    switch (work->state) {
    case KC_WORK_AWAITING_DOCUMENT:
        KcAgentWork_Refuse(
            agent, work, detached ? KC_ERR_PEER_LOST : KC_ERR_DOCUMENT_BEHIND,
            now);
        break;
    case KC_WORK_QUEUED:
        KcAgentWork_Refuse(
            agent, work,
            detached ? KC_ERR_PEER_LOST : KC_ERR_DEADLINE_EXCEEDED, now);
        break;
    case KC_WORK_RUNNING:
    case KC_WORK_ENDED:
        KcAgentWork_Forget(agent, work, now);
        KcAgentSchedule_Pump(agent, now);
        break;
    }
}

/* A work comes back to life on a new stream: restore its timer. */
static void
reset_timer(KcAgent *agent, KcWork *work, KcTime now)
{
    KcTime due = KC_NEVER;

    if (work->state == KC_WORK_QUEUED) {
        due = work->deadline;
    }
    else if (work->state == KC_WORK_AWAITING_DOCUMENT) {
        due = now + agent->options.hold_timeout;
    }
    else if (work->state == KC_WORK_ENDED) {
        due = now + agent->options.retain_timeout;
    }
    KcTimers_Clear(agent->options.member.timers, &work->timer);
    KcTimers_Set(agent->options.member.timers, &work->timer, due);
}

void
KcAgentWork_Resume(KcAgent *agent, KcStream *stream, const KcMsg *msg,
                   KcTime now)
{
    const KcMsgResume *resume = &msg->u.resume;
    KcWork *work = find_work(agent, &resume->request, resume->attempt);

    if (work == NULL) {
        bool ran = may_have_run(agent, &resume->request);

        answer_without_work(agent, stream,
                            ran ? KC_ERR_PEER_LOST : KC_ERR_UNKNOWN_WORK, ran,
                            now);
        return;
    }
    if (work->stream != NULL || resume->offset < work->acked_offset ||
        resume->offset > KcWork_EndOffset(work)) {
        answer_without_work(agent, stream, KC_ERR_PEER_LOST, true, now);
        return;
    }
    attach(work, stream);
    work->sent_offset = resume->offset;
    work->started_sent = false;
    work->end_sent = false;
    reset_timer(agent, work, now);
    KcAgent_Event(agent, KC_EVENT_RESUME, work, NULL, (int64_t)resume->offset,
                  now);
    KcAgentAnswer_Admit(agent, work);
    KcAgentAnswer_Flush(agent, work, now);
}
