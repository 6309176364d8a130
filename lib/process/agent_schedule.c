/*
 * The agent's scheduler: decides which works start and which adapters are
 * loaded and evicted.
 *
 * Works whose adapter is loaded start at once, up to the concurrency limit.
 * Loads go to the waiting model of highest urgency.  When no slot can be
 * reused for a work that has waited for half the time that a rare adapter may
 * wait, one slot is closed to new works and then reused.
 */
#include <assert.h>
#include <string.h>

#include "agent_internal.h"

/* Works beyond those that the concurrency limit lets start now whose adapters
 * are loaded ahead. */
#define LOOKAHEAD_WORKS 4
/* Most works considered for loads in one run of the scheduler. */
#define NEXT_WORKS_MAX 32
/*
 * Interval of runs while works wait for a model that is not loaded, as the
 * pace may allow its load only later.
 */
#define SCHEDULE_INTERVAL (20 * KC_MS)

static void
on_schedule_timer(KcTimer *timer, KcTime now)
{
    KcAgentSchedule_Run(timer->owner, now);
}

void
KcAgentSchedule_Init(KcAgent *agent)
{
    KcTimer_Init(&agent->schedule_timer, on_schedule_timer, agent);
}

static bool
needs_adapter(const KcAgent *agent)
{
    return agent->service != NULL && agent->service->kind == KC_SERVICE_MODEL;
}

void
KcAgentSchedule_Enqueue(KcAgent *agent, KcWork *work, KcTime now)
{
    KcModelState *model = NULL;

    work->state = KC_WORK_QUEUED;
    TAILQ_INSERT_TAIL(&agent->queued_works, work, link);
    agent->queued_count++;
    if (work->model.adapter[0] == '\0') {
        return;
    }
    model = KcResidency_FindOrAddModel(&agent->residency, &work->model, now);
    work->awaited_model = model;
    if (model->waiting_works++ == 0 && !KcResidency_IsLoaded(model)) {
        agent->awaited_model_count++;
    }
    work->adapter_missed =
        work->adapter_missed || !KcResidency_IsLoaded(model);
}

void
KcAgentSchedule_Dequeue(KcAgent *agent, KcWork *work)
{
    assert(work->state == KC_WORK_QUEUED);
    TAILQ_REMOVE(&agent->queued_works, work, link);
    agent->queued_count--;
    if (work->awaited_model != NULL) {
        work->awaited_model->waiting_works--;
        work->awaited_model = NULL;
    }
}

void
KcAgentSchedule_FillLoad(const KcAgent *agent, const KcWork *work,
                         KcAgentLoad *load)
{
    const KcModelState *model = NULL;
    char key[sizeof(model->key)];

    load->queued = agent->queued_count;
    load->running = agent->running_count;
    load->pending_loads = agent->awaited_model_count;
    load->is_adapter_resident = false;
    if (work == NULL || !agent->has_residency) {
        return;
    }
    if (work->slot != NULL) {
        model = work->slot->model;
    }
    else if (work->awaited_model != NULL) {
        model = work->awaited_model;
    }
    else {
        KcAdapterRef_Format(&work->model, key);
        HASH_FIND_STR(agent->residency.models, key, model);
    }
    load->is_adapter_resident = model != NULL && model->slot != NULL &&
                                (model->slot->state == KC_SLOT_LOADED ||
                                 model->slot->state == KC_SLOT_LOADING);
}

KcTime
KcAgentSchedule_ExpectedWait(const KcAgent *agent)
{
    int64_t concurrency_max = agent->service->concurrency_max;
    int64_t excess_works = (int64_t)agent->queued_count +
                           (int64_t)agent->running_count - concurrency_max + 1;

    if (excess_works <= 0) {
        return 0;
    }
    return excess_works * agent->service->service_ms * KC_MS / concurrency_max;
}

/* ---- starting ----------------------------------------------------------- */

static bool
can_start(const KcAgent *agent, const KcWork *work)
{
    if (!needs_adapter(agent)) {
        return true;
    }
    return KcResidency_IsLoaded(work->awaited_model);
}

static KcWork *
find_most_urgent_startable(KcAgent *agent, KcTime now)
{
    KcWork *work;
    KcWork *best = NULL;
    int64_t highest_urgency = 0;

    TAILQ_FOREACH (work, &agent->queued_works, link) {
        int64_t urgency;

        if (!can_start(agent, work)) {
            continue;
        }
        urgency = KcWork_Urgency(work, &agent->options.queue_order, now);
        if (best == NULL || urgency > highest_urgency) {
            best = work;
            highest_urgency = urgency;
        }
    }
    return best;
}

/* Records how long a work waited because its adapter was not loaded. */
static void
record_stall(KcAgent *agent, KcWork *work, const KcModelState *model)
{
    KcTime stall = model->loaded_at - work->arrived_at;

    if (work->adapter_missed && stall > 0) {
        work->stall = stall;
        KcCounters_Add(agent->options.member.counters, KC_COUNT_STALL_US,
                       (uint64_t)stall);
    }
}

static void
start_work(KcAgent *agent, KcWork *work, KcTime now)
{
    KcModelState *model = work->awaited_model;

    KcAgentSchedule_Dequeue(agent, work);
    if (model != NULL) {
        KcResidency_CountUse(model, now);
        KcResidency_Pin(&agent->residency, model->slot, now);
        work->slot = model->slot;
        record_stall(agent, work, model);
    }
    work->state = KC_WORK_RUNNING;
    work->has_run = true;
    work->share->running++;
    TAILQ_INSERT_TAIL(&agent->running_works, work, link);
    agent->running_count++;
    /* A repeatable work without a connection keeps its detach timeout. */
    if (work->stream != NULL || !work->repeatable) {
        KcTimers_Clear(agent->options.member.timers, &work->timer);
    }
    KcCounters_Add(agent->options.member.counters, KC_COUNT_WORKS_STARTED, 1);
    KcAgent_RecordEvent(agent, KC_EVENT_START, work, NULL,
                        (now - work->arrived_at) / KC_MS, now);
    agent->options.ops->start(agent->options.backend, work);
}

static void
start_works(KcAgent *agent, KcTime now)
{
    KcWork *work;

    while (agent->running_count < agent->service->concurrency_max) {
        work = find_most_urgent_startable(agent, now);
        if (work == NULL) {
            return;
        }
        start_work(agent, work, now);
    }
}

/* ---- loading ------------------------------------------------------------ */

/* The works that would be started next, most urgent first. */
typedef struct NextWorks {
    KcWork *work[NEXT_WORKS_MAX];
    int64_t urgency[NEXT_WORKS_MAX];
    uint32_t count;
    uint32_t max;
} NextWorks;

/* Inserts a work in order of urgency; drops the least urgent above max. */
static void
insert_next_work(NextWorks *next, KcWork *work, int64_t urgency)
{
    uint32_t index = next->count;

    assert(next->max > 0 && next->max <= NEXT_WORKS_MAX);
    assert(next->count <= next->max);

    if (next->count == next->max) {
        if (urgency <= next->urgency[next->max - 1]) {
            return;
        }
        index = next->max - 1;
    }
    else {
        next->count++;
    }
    while (index > 0 && next->urgency[index - 1] < urgency) {
        next->work[index] = next->work[index - 1];
        next->urgency[index] = next->urgency[index - 1];
        index--;
    }
    next->work[index] = work;
    next->urgency[index] = urgency;
}

/*
 * Finds the works whose adapters are kept and loaded: one for each that
 * the concurrency limit lets start now, and LOOKAHEAD_WORKS more, so that a
 * load is complete when the next work may start.  Loading for works further
 * back would only evict adapters that those in front of them need.
 */
static void
find_next_works(KcAgent *agent, NextWorks *next, KcTime now)
{
    int64_t startable_count =
        agent->service->concurrency_max - agent->running_count;
    KcWork *work;

    next->count = 0;
    next->max = LOOKAHEAD_WORKS;
    if (startable_count > 0) {
        next->max += (uint32_t)startable_count;
    }
    if (next->max > NEXT_WORKS_MAX) {
        next->max = NEXT_WORKS_MAX;
    }
    TAILQ_FOREACH (work, &agent->queued_works, link) {
        insert_next_work(
            next, work,
            KcWork_Urgency(work, &agent->options.queue_order, now));
    }
    agent->residency.needed_pass++;
    for (uint32_t i = 0; i < next->count; i++) {
        next->work[i]->awaited_model->needed_pass =
            agent->residency.needed_pass;
    }
}

static bool
needs_load(const KcModelState *model, KcTime now)
{
    return model->slot == NULL && model->retry_at <= now;
}

/*
 * True when a work has waited for half the longest stall that the service
 * allows a rare adapter: a slot must be freed for it.
 */
static bool
is_overdue(const KcAgent *agent, const KcWork *work, KcTime now)
{
    KcTime stall_max = agent->service->rare_stall_max_ms * KC_MS;

    return now - work->arrived_at >= stall_max / 2;
}

/* True while a closing slot still serves calls. */
static bool
has_closing_slot(const KcAgent *agent)
{
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &agent->residency.slots, link) {
        if (slot->state == KC_SLOT_CLOSING &&
            slot->pins + slot->external_requests > 0) {
            return true;
        }
    }
    return false;
}

/*
 * Returns an empty or evictable slot for the work's adapter, or NULL; closes
 * a slot when there is none and the work is overdue.
 */
static KcSlot *
find_slot_for_load(KcAgent *agent, const KcWork *work, KcTime now)
{
    KcSlot *slot = KcResidency_ChooseVictim(&agent->residency, true, now);

    if (slot == NULL && is_overdue(agent, work, now) &&
        !has_closing_slot(agent)) {
        KcResidency_CloseSlot(&agent->residency, now);
    }
    return slot;
}

/*
 * Orders the load for a work, or the eviction that must come first.  Returns
 * false when nothing more can be ordered now.
 */
static bool
order_load(KcAgent *agent, KcWork *work, KcTime now)
{
    KcSlot *slot;

    if (!needs_load(work->awaited_model, now)) {
        return true;
    }
    if (!KcPace_Allows(&agent->load_pace, now)) {
        return false;
    }
    slot = find_slot_for_load(agent, work, now);
    if (slot == NULL) {
        return false;
    }
    if (slot->state == KC_SLOT_EMPTY) {
        KcAgentEngine_LoadAdapter(agent, slot, work->awaited_model, now);
        return true;
    }
    KcAgentEngine_EvictAdapter(agent, slot, now);
    return false; /* the load follows when the eviction has ended */
}

static bool
has_evicting_slot(const KcAgent *agent)
{
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &agent->residency.slots, link) {
        if (slot->state == KC_SLOT_EVICTING) {
            return true;
        }
    }
    return false;
}

/* Orders evictions of surplus slots and loads for the most urgent works. */
static void
order_loads(KcAgent *agent, KcTime now)
{
    NextWorks next;
    KcSlot *slot;

    if (!agent->engine_inspected || !KcLease_MayOrder(agent->lease, now)) {
        return;
    }
    slot = KcResidency_Trim(&agent->residency, now);
    if (slot != NULL) {
        KcAgentEngine_EvictAdapter(agent, slot, now);
    }
    /* An eviction in progress already frees a slot for the most urgent. */
    if (has_evicting_slot(agent) || TAILQ_EMPTY(&agent->queued_works)) {
        return;
    }
    find_next_works(agent, &next, now);
    for (uint32_t i = 0; i < next.count; i++) {
        if (!order_load(agent, next.work[i], now)) {
            return;
        }
    }
}

/* Refuses works whose adapter has failed to load too often in a row. */
static void
refuse_failed_loads(KcAgent *agent, KcTime now)
{
    KcWork *work;
    KcWork *next;

    TAILQ_FOREACH_SAFE (work, &agent->queued_works, link, next) {
        KcModelState *model = work->awaited_model;

        if (model != NULL && model->slot == NULL && model->retry_at > now &&
            model->load_failures >= agent->options.load_failures_max) {
            KcAgentWork_Refuse(agent, work, KC_ERR_LOAD_FAILED, now);
        }
    }
}

/* Counts the models that works wait for and that are not loaded. */
static void
count_awaited_models(KcAgent *agent)
{
    KcModelState *model;

    agent->awaited_model_count = 0;
    TAILQ_FOREACH (model, &agent->residency.model_list, link) {
        if (model->waiting_works > 0 && !KcResidency_IsLoaded(model)) {
            agent->awaited_model_count++;
        }
    }
}

void
KcAgentSchedule_Run(KcAgent *agent, KcTime now)
{
    if (agent->service == NULL) {
        return;
    }
    if (needs_adapter(agent)) {
        refuse_failed_loads(agent, now);
        order_loads(agent, now);
        count_awaited_models(agent);
    }
    start_works(agent, now);
    if (agent->awaited_model_count > 0) {
        KcTimers_Set(agent->options.member.timers, &agent->schedule_timer,
                     now + SCHEDULE_INTERVAL);
    }
}
