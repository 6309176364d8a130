/*
 * The life of a work at the agent: admission, end, cancellation, loss of its
 * connection, resumption, and the records that tell an entry whether an
 * attempt ran.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "agent_internal.h"

/* Most entry processes whose watermark is kept. */
#define WATERMARKS_MAX 4096
/* Times that a work is queued again after the backend server didn't run it. */
#define REQUEUES_MAX 3
/* Shortest Retry-After hint sent with a refusal. */
#define RETRY_AFTER_MIN_MS 100

static void on_work_timer(KcTimer *timer, KcTime now);

/* ---- shares and watermarks ---------------------------------------------- */

/* Finds or adds a customer's share and counts one more work of it. */
static KcShare *
acquire_share(KcAgent *agent, const char *customer)
{
    KcShare *share;

    HASH_FIND_STR(agent->shares, customer, share);
    if (share == NULL) {
        share = KcMem_New(sizeof(*share));
        KcName_Copy(share->customer, customer, KC_NAME_MAX);
        HASH_ADD_STR(agent->shares, customer, share);
    }
    share->works++;
    return share;
}

static void
release_share(KcAgent *agent, KcShare *share)
{
    assert(share->works > 0);
    if (--share->works == 0) {
        HASH_DEL(agent->shares, share);
        free(share);
    }
}

/* Raises the watermark to a work that ran and whose record is dropped. */
static void
raise_watermark(KcAgent *agent, const KcWork *work)
{
    const KcRequestId *id = &work->key.request;
    KcWatermark *watermark;

    HASH_FIND(hh, agent->watermarks, &id->nonce, sizeof(id->nonce), watermark);
    if (watermark == NULL) {
        if (agent->watermark_count == WATERMARKS_MAX) {
            agent->watermarks_incomplete = true;
            return;
        }
        watermark = KcMem_New(sizeof(*watermark));
        watermark->nonce = id->nonce;
        KcName_Copy(watermark->entry_name, work->entry, KC_NAME_MAX);
        HASH_ADD(hh, agent->watermarks, nonce, sizeof(watermark->nonce),
                 watermark);
        agent->watermark_count++;
    }
    if (id->sequence > watermark->sequence) {
        watermark->sequence = id->sequence;
    }
}

/* True when an attempt that has no record here may have run. */
static bool
may_have_run(const KcAgent *agent, const KcRequestId *id)
{
    KcWatermark *watermark;

    if (agent->watermarks_incomplete) {
        return true;
    }
    HASH_FIND(hh, agent->watermarks, &id->nonce, sizeof(id->nonce), watermark);
    return watermark != NULL && id->sequence <= watermark->sequence;
}

/* ---- forgetting --------------------------------------------------------- */

/* Removes a work from the list of its state; a running one is unpinned. */
static void
remove_from_list(KcAgent *agent, KcWork *work)
{
    switch (work->state) {
    case KC_WORK_HELD:
        TAILQ_REMOVE(&agent->held_works, work, link);
        break;
    case KC_WORK_QUEUED:
        KcAgentSchedule_Dequeue(agent, work);
        break;
    case KC_WORK_RUNNING:
        TAILQ_REMOVE(&agent->running_works, work, link);
        agent->running_count--;
        work->share->running--;
        if (work->slot != NULL) {
            KcResidency_Unpin(work->slot);
            work->slot = NULL;
        }
        break;
    case KC_WORK_ENDED:
        TAILQ_REMOVE(&agent->ended_works, work, link);
        break;
    }
}

void
KcAgentWork_Forget(KcAgent *agent, KcWork *work, KcTime now)
{
    if (work->state == KC_WORK_RUNNING) {
        agent->options.ops->cancel(agent->options.backend, work);
    }
    if (work->ran) {
        raise_watermark(agent, work);
    }
    remove_from_list(agent, work);
    KcTimers_Clear(agent->options.member.timers, &work->timer);
    if (work->stream != NULL) {
        work->stream->owner = NULL;
        KcLink_CloseStream(work->stream, now);
        work->stream = NULL;
    }
    release_share(agent, work->share);
    HASH_DEL(agent->works, work);
    KcWork_Free(work);
}

/* Hint for a refusal: the expected wait in the queue. */
static uint64_t
retry_after_ms(const KcAgent *agent)
{
    KcTime wait = 0;

    if (agent->service != NULL) {
        wait = KcAgentSchedule_ExpectedWait(agent) / KC_MS;
    }
    return (uint64_t)(wait > RETRY_AFTER_MIN_MS ? wait : RETRY_AFTER_MIN_MS);
}

void
KcAgentWork_Refuse(KcAgent *agent, KcWork *work, int code, KcTime now)
{
    KcMsg msg = {.type = KC_MSG_REFUSE};

    assert(!work->ran);
    KcAgent_RecordEvent(agent, KC_EVENT_REFUSE, work, NULL, code, now);
    if (work->stream != NULL) {
        msg.u.refuse.code = code;
        msg.u.refuse.retry_after_ms = retry_after_ms(agent);
        KcAgentSchedule_FillLoad(agent, work, &msg.u.refuse.load);
        KcAgentAnswer_Send(work, &msg);
    }
    KcAgentWork_Forget(agent, work, now);
}

/* ---- admission ---------------------------------------------------------- */

/* Returns 0 when the document in force has the model at this service. */
static int
check_model(const KcAgent *agent, const KcWork *work)
{
    char text[KC_MODEL_TEXT];
    KcModelRef ref;
    KcService *service = NULL;
    int code;

    KcModelRef_Format(&work->model, text);
    code = KcDocument_Resolve(agent->document, text, &ref, &service);
    if (code == 0 && service != agent->service) {
        return KC_ERR_UNKNOWN_MODEL;
    }
    return code;
}

/* Returns 0 when the adapter is loaded or can be loaded. */
static int
check_adapter(KcAgent *agent, const KcWork *work, KcTime now)
{
    KcModelState *model =
        KcResidency_Model(&agent->residency, &work->model, now);

    if (model->slot != NULL) {
        return 0;
    }
    if (model->failures >= agent->options.load_failures_max &&
        model->retry_at > now) {
        return KC_ERR_LOAD_FAILED;
    }
    if (!agent->engine_inspected || !KcLease_MayOrder(agent->lease, now)) {
        return KC_ERR_NO_LEASE;
    }
    return 0;
}

/* Returns 0 when the work can be queued, else the code of the refusal. */
static int
check_admission(KcAgent *agent, const KcWork *work, KcTime now)
{
    int code = KcAgent_Ready(agent, now);

    if (code != 0) {
        return code;
    }
    if (strcmp(work->service, agent->options.service) != 0) {
        return KC_ERR_NOT_FOUND;
    }
    if (work->deadline <= now) {
        return KC_ERR_DEADLINE;
    }
    if (agent->queued_count >= agent->service->queue_max ||
        now + KcAgentSchedule_ExpectedWait(agent) > work->deadline) {
        return KC_ERR_BUSY;
    }
    if (agent->service->kind == KC_SERVICE_PLAIN) {
        return work->model.adapter[0] == '\0' ? 0 : KC_ERR_UNKNOWN_MODEL;
    }
    code = check_model(agent, work);
    return code != 0 ? code : check_adapter(agent, work, now);
}

/* Queues a held work, or refuses and forgets it. */
static void
admit_or_refuse(KcAgent *agent, KcWork *work, KcTime now)
{
    int code = check_admission(agent, work, now);

    if (code != 0) {
        KcAgentWork_Refuse(agent, work, code, now);
        return;
    }
    TAILQ_REMOVE(&agent->held_works, work, link);
    KcAgentSchedule_Enqueue(agent, work, now);
    KcTimers_Set(agent->options.member.timers, &work->timer, work->deadline);
    KcAgent_RecordEvent(agent, KC_EVENT_ADMIT, work, NULL,
                        (int64_t)agent->queued_count, now);
    if (work->stream != NULL) {
        KcAgentAnswer_SendAdmit(agent, work);
    }
    KcAgentSchedule_Run(agent, now);
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

/* Sends END (ran) or REFUSE on a stream that has no work, and closes it. */
static void
answer_without_work(KcAgent *agent, KcStream *stream, int code, bool ran,
                    KcTime now)
{
    KcMsg msg = {.type = ran ? KC_MSG_END : KC_MSG_REFUSE,
                 .stream = stream->id};

    if (ran) {
        msg.u.end.code = code;
        msg.u.end.ran = true;
        KcAgentSchedule_FillLoad(agent, NULL, &msg.u.end.load);
    }
    else {
        msg.u.refuse.code = code;
        msg.u.refuse.retry_after_ms = RETRY_AFTER_MIN_MS;
        KcAgentSchedule_FillLoad(agent, NULL, &msg.u.refuse.load);
    }
    KcLink_Send(stream->parent, &msg);
    KcLink_CloseStream(stream, now);
}

static void
attach_stream(KcWork *work, KcStream *stream)
{
    work->stream = stream;
    stream->owner = work;
    KcName_Copy(work->entry, stream->parent->peer, KC_NAME_MAX);
}

void
KcAgentWork_OnPropose(KcAgent *agent, KcStream *stream, const KcMsg *msg,
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
    work->share = acquire_share(agent, propose->customer);
    KcTimer_Init(&work->timer, on_work_timer, work);
    HASH_ADD(hh, agent->works, key, sizeof(work->key), work);
    attach_stream(work, stream);
    work->state = KC_WORK_HELD;
    TAILQ_INSERT_TAIL(&agent->held_works, work, link);
    if (KcSync_Behind(agent->sync, msg->generation) && !agent->leaving) {
        /* The work waits for a document at least as new as the entry's. */
        KcTimers_Set(agent->options.member.timers, &work->timer,
                     now + agent->options.hold);
        return;
    }
    admit_or_refuse(agent, work, now);
}

void
KcAgentWork_DecideHeld(KcAgent *agent, KcTime now)
{
    KcWork *work;
    KcWork *next;

    TAILQ_FOREACH_SAFE (work, &agent->held_works, link, next) {
        if (!KcSync_Behind(agent->sync, work->generation)) {
            KcTimers_Clear(agent->options.member.timers, &work->timer);
            admit_or_refuse(agent, work, now);
        }
    }
}

/* ---- end, cancellation, loss of the connection -------------------------- */

void
KcAgentWork_End(KcAgent *agent, KcWork *work, int code, bool ran,
                const char *finish, KcTime now)
{
    assert(work->state == KC_WORK_RUNNING);
    remove_from_list(agent, work);
    work->state = KC_WORK_ENDED;
    work->end_code = code;
    work->ran = ran;
    KcName_Copy(work->finish, finish != NULL ? finish : "",
                sizeof(work->finish));
    TAILQ_INSERT_TAIL(&agent->ended_works, work, link);
    KcTimers_Set(agent->options.member.timers, &work->timer,
                 now + agent->options.retain);
    KcAgent_RecordEvent(agent, KC_EVENT_END, work, NULL, code, now);
    if (work->orphan) {
        KcAgentWork_Forget(agent, work, now);
    }
    else {
        KcAgentAnswer_SendPending(agent, work, now);
    }
    KcAgentSchedule_Run(agent, now);
}

/* Moves a started work that did not run from the running to the held list. */
static void
return_to_held(KcAgent *agent, KcWork *work)
{
    assert(work->state == KC_WORK_RUNNING && !work->started);
    remove_from_list(agent, work);
    work->ran = false;
    work->state = KC_WORK_HELD;
    TAILQ_INSERT_TAIL(&agent->held_works, work, link);
}

void
KcAgentWork_OnBackendRefused(KcAgent *agent, KcWork *work, int code,
                             KcTime now)
{
    return_to_held(agent, work);
    KcAgentWork_Refuse(agent, work, code, now);
    KcAgentSchedule_Run(agent, now);
}

void
KcAgentWork_Requeue(KcAgent *agent, KcWork *work, KcTime now)
{
    return_to_held(agent, work);
    if (++work->requeued > REQUEUES_MAX || agent->leaving) {
        KcAgentWork_Refuse(agent, work,
                           agent->leaving ? KC_ERR_LEAVING : KC_ERR_BACKEND,
                           now);
        return;
    }
    TAILQ_REMOVE(&agent->held_works, work, link);
    KcAgentSchedule_Enqueue(agent, work, now);
    KcTimers_Set(agent->options.member.timers, &work->timer, work->deadline);
    KcAgentSchedule_Run(agent, now);
}

/* Ends a running work that its entry has cancelled; keeps no record. */
static void
end_cancelled(KcAgent *agent, KcWork *work, KcTime now)
{
    if (work->stream != NULL) {
        work->end_code = KC_ERR_CANCELLED;
        KcAgentAnswer_SendEnd(agent, work);
    }
    KcAgentWork_Forget(agent, work, now);
    KcAgentSchedule_Run(agent, now);
}

void
KcAgentWork_OnCancel(KcAgent *agent, KcWork *work, KcTime now)
{
    if (work == NULL) {
        return;
    }
    switch (work->state) {
    case KC_WORK_HELD:
    case KC_WORK_QUEUED:
        KcAgentWork_Refuse(agent, work, KC_ERR_CANCELLED, now);
        break;
    case KC_WORK_RUNNING:
        /* A call that may not be repeated runs on, to learn its outcome. */
        if (work->repeatable) {
            end_cancelled(agent, work, now);
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
KcAgentWork_OnCredit(KcAgent *agent, KcWork *work, const KcMsg *msg,
                     KcTime now)
{
    if (work == NULL) {
        return;
    }
    KcWork_Acknowledge(work, msg->u.credit.offset);
    if (msg->u.credit.done && work->end_sent) {
        KcAgentWork_Forget(agent, work, now);
        return;
    }
    KcAgentAnswer_SendPending(agent, work, now);
}

void
KcAgentWork_Detach(KcAgent *agent, KcWork *work, KcTime now)
{
    KcTime forget_at = now + agent->options.detach;

    assert(work->stream == NULL);
    if (work->state == KC_WORK_RUNNING && !work->repeatable) {
        KcAgentAnswer_UpdateThrottle(agent, work);
        return; /* runs to its end */
    }
    if (work->state == KC_WORK_ENDED && !work->repeatable) {
        forget_at = now + agent->options.retain;
    }
    KcTimers_Set(agent->options.member.timers, &work->timer, forget_at);
}

/*
 * Drops a work that its entry's new process will not resume; one that is
 * running and may not be repeated is dropped at its end.
 */
static void
abandon_work(KcAgent *agent, KcWork *work, KcTime now)
{
    work->orphan = true;
    switch (work->state) {
    case KC_WORK_HELD:
    case KC_WORK_QUEUED:
        KcAgentWork_Refuse(agent, work, KC_ERR_LOST, now);
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

/* Drops the watermarks of an entry's earlier processes. */
static void
drop_earlier_watermarks(KcAgent *agent, const char *entry_name,
                        uint64_t incarnation)
{
    KcWatermark *watermark;
    KcWatermark *next;

    HASH_ITER(hh, agent->watermarks, watermark, next)
    {
        if (watermark->nonce != incarnation &&
            strcmp(watermark->entry_name, entry_name) == 0) {
            HASH_DEL(agent->watermarks, watermark);
            agent->watermark_count--;
            free(watermark);
        }
    }
}

void
KcAgentWork_AbandonEarlier(KcAgent *agent, const char *entry_name,
                           uint64_t incarnation, KcTime now)
{
    KcWork *work;
    KcWork *next;

    HASH_ITER(hh, agent->works, work, next)
    {
        if (work->key.request.nonce != incarnation &&
            strcmp(work->entry, entry_name) == 0) {
            abandon_work(agent, work, now);
        }
    }
    drop_earlier_watermarks(agent, entry_name, incarnation);
    KcAgentSchedule_Run(agent, now);
}

static void
on_work_timer(KcTimer *timer, KcTime now)
{
    KcWork *work = timer->owner;
    KcAgent *agent = work->agent;
    bool detached = work->stream == NULL;

    switch (work->state) {
    case KC_WORK_HELD:
        KcAgentWork_Refuse(agent, work, detached ? KC_ERR_LOST : KC_ERR_BEHIND,
                           now);
        break;
    case KC_WORK_QUEUED:
        KcAgentWork_Refuse(agent, work,
                           detached ? KC_ERR_LOST : KC_ERR_DEADLINE, now);
        break;
    case KC_WORK_RUNNING:
    case KC_WORK_ENDED:
        KcAgentWork_Forget(agent, work, now);
        KcAgentSchedule_Run(agent, now);
        break;
    }
}

/* Sets a resumed work's timer by its state, as before the detachment. */
static void
restore_timer(KcAgent *agent, KcWork *work, KcTime now)
{
    KcTime due = KC_NEVER;

    if (work->state == KC_WORK_QUEUED) {
        due = work->deadline;
    }
    else if (work->state == KC_WORK_HELD) {
        due = now + agent->options.hold;
    }
    else if (work->state == KC_WORK_ENDED) {
        due = now + agent->options.retain;
    }
    KcTimers_Clear(agent->options.member.timers, &work->timer);
    KcTimers_Set(agent->options.member.timers, &work->timer, due);
}

void
KcAgentWork_OnResume(KcAgent *agent, KcStream *stream, const KcMsg *msg,
                     KcTime now)
{
    const KcMsgResume *resume = &msg->u.resume;
    KcWork *work = find_work(agent, &resume->request, resume->attempt);

    if (work == NULL) {
        bool ran = may_have_run(agent, &resume->request);

        answer_without_work(agent, stream,
                            ran ? KC_ERR_LOST : KC_ERR_UNKNOWN_WORK, ran, now);
        return;
    }
    if (work->stream != NULL || resume->offset < work->acked ||
        resume->offset > KcWork_Total(work)) {
        answer_without_work(agent, stream, KC_ERR_LOST, true, now);
        return;
    }
    attach_stream(work, stream);
    work->sent = resume->offset;
    work->started_sent = false;
    work->end_sent = false;
    restore_timer(agent, work, now);
    KcAgent_RecordEvent(agent, KC_EVENT_RESUME, work, NULL,
                        (int64_t)resume->offset, now);
    KcAgentAnswer_SendAdmit(agent, work);
    KcAgentAnswer_SendPending(agent, work, now);
}
