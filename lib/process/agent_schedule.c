/*
 * The order in which works are started and adapters are loaded.
 *
 * A free place in the batch is never left empty while a waiting work's
 * adapter is loaded.  Loads go to the waiting model of highest urgency;
 * when every slot is pinned for longer than a rare adapter may wait, one
 * slot is closed to new work and becomes its place.
 */
#include <assert.h>
#include <string.h>

#include "agent_internal.h"

/* Works beyond the free places whose adapters are loaded ahead. */
#define LOOKAHEAD 4
/* Works that are looked at for loads, at the most. */
#define NEXT_MAX 32
/* While a load is held back by the pace, it is looked at this often. */
#define PUMP_INTERVAL (20 * KC_MS)

static void
on_pump(KcTimer *timer, KcTime now)
{
    KcAgentSchedule_Pump(timer->owner, now);
}

void
KcAgentSchedule_Init(KcAgent *agent)
{
    KcTimer_Init(&agent->pump_timer, on_pump, agent);
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
    TAILQ_INSERT_TAIL(&agent->queue, work, link);
    agent->queued_count++;
    if (work->model.adapter[0] == '\0') {
        return;
    }
    model = KcResidency_FindOrAddModel(&agent->residency, &work->model, now);
    work->awaited_model = model;
    if (model->waiting_works++ == 0 && !KcResidency_IsLoaded(model)) {
        agent->wanted_count++;
    }
    work->adapter_missed =
        work->adapter_missed || !KcResidency_IsLoaded(model);
}

void
KcAgentSchedule_Dequeue(KcAgent *agent, KcWork *work)
{
    assert(work->state == KC_WORK_QUEUED);
    TAILQ_REMOVE(&agent->queue, work, link);
    agent->queued_count--;
    if (work->awaited_model != NULL) {
        work->awaited_model->waiting_works--;
        work->awaited_model = NULL;
    }
}

void
KcAgentSchedule_Load(const KcAgent *agent, const KcWork *work,
                     KcAgentLoad *load)
{
    const KcModelState *model = NULL;
    char key[sizeof(model->key)];

    load->queued = agent->queued_count;
    load->running = agent->running_count;
    load->pending_loads = agent->wanted_count;
    load->is_adapter_loaded = false;
    if (work == NULL || !agent->resident_ready) {
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
    load->is_adapter_loaded = model != NULL && model->slot != NULL &&
                              (model->slot->state == KC_SLOT_LOADED ||
                               model->slot->state == KC_SLOT_LOADING);
}

KcTime
KcAgentSchedule_Wait(const KcAgent *agent)
{
    int64_t batch = agent->service->concurrency_max;
    int64_t excess = (int64_t)agent->queued_count +
                     (int64_t)agent->running_count - batch + 1;

    if (excess <= 0) {
        return 0;
    }
    return excess * agent->service->service_ms * KC_MS / batch;
}

/* ---- starting ----------------------------------------------------------- */

static bool
startable(const KcAgent *agent, const KcWork *work)
{
    if (!needs_adapter(agent)) {
        return true;
    }
    return KcResidency_IsLoaded(work->awaited_model);
}

static KcWork *
most_urgent_startable(KcAgent *agent, KcTime now)
{
    KcWork *work;
    KcWork *best = NULL;
    int64_t highest = 0;

    TAILQ_FOREACH (work, &agent->queue, link) {
        int64_t urgency;

        if (!startable(agent, work)) {
            continue;
        }
        urgency = KcWork_Urgency(work, &agent->options.queue_order, now);
        if (best == NULL || urgency > highest) {
            best = work;
            highest = urgency;
        }
    }
    return best;
}

/* Time that a work waited because its adapter was not loaded. */
static void
count_stall(KcAgent *agent, KcWork *work, const KcModelState *model)
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
        count_stall(agent, work, model);
    }
    work->state = KC_WORK_RUNNING;
    work->has_run = true;
    work->share->running++;
    TAILQ_INSERT_TAIL(&agent->running, work, link);
    agent->running_count++;
    /* One whose connection is lost is still given up if it stays away. */
    if (work->stream != NULL || !work->repeatable) {
        KcTimers_Clear(agent->options.member.timers, &work->timer);
    }
    KcCounters_Add(agent->options.member.counters, KC_COUNT_WORKS_STARTED, 1);
    KcAgent_Event(agent, KC_EVENT_START, work, NULL,
                  (now - work->arrived_at) / KC_MS, now);
    agent->options.ops->start(agent->options.backend, work);
}

static void
start_works(KcAgent *agent, KcTime now)
{
    KcWork *work;

    while (agent->running_count < agent->service->concurrency_max) {
        work = most_urgent_startable(agent, now);
        if (work == NULL) {
            return;
        }
        start_work(agent, work, now);
    }
}

/* ---- loading ------------------------------------------------------------ */

/* The works that would be started next, most urgent first. */
typedef struct NextWorks {
    KcWork *work[NEXT_MAX];
    int64_t urgency[NEXT_MAX];
    uint32_t count;
    uint32_t max;
} NextWorks;

static void
insert_next(NextWorks *next, KcWork *work, int64_t urgency)
{
    uint32_t at = next->count;

    assert(next->max > 0 && next->max <= NEXT_MAX);
    assert(next->count <= next->max);

    if (next->count == next->max) {
        if (urgency <= next->urgency[next->max - 1]) {
            return;
        }
        at = next->max - 1;
    }
    else {
        next->count++;
    }
    while (at > 0 && next->urgency[at - 1] < urgency) {
        next->work[at] = next->work[at - 1];
        next->urgency[at] = next->urgency[at - 1];
        at--;
    }
    next->work[at] = work;
    next->urgency[at] = urgency;
}

/*
 * Finds the works for which adapters are held and loaded: as many as there
 * are free places, and a few more, so that a load is over when the next
 * place becomes free.  Loading for works further back would only push out
 * what those in front of them need.
 */
static void
find_next(KcAgent *agent, NextWorks *next, KcTime now)
{
    int64_t free_places =
        agent->service->concurrency_max - agent->running_count;
    KcWork *work;

    next->count = 0;
    next->max = LOOKAHEAD;
    if (free_places > 0) {
        next->max += (uint32_t)free_places;
    }
    if (next->max > NEXT_MAX) {
        next->max = NEXT_MAX;
    }
    TAILQ_FOREACH (work, &agent->queue, link) {
        insert_next(next, work,
                    KcWork_Urgency(work, &agent->options.queue_order, now));
    }
    agent->residency.needed_pass++;
    for (uint32_t i = 0; i < next->count; i++) {
        next->work[i]->awaited_model->needed_pass =
            agent->residency.needed_pass;
    }
}

static bool
wants_load(const KcModelState *model, KcTime now)
{
    return model->slot == NULL && model->retry_at <= now;
}

/* Has the work waited so long that a slot must be made free for it? */
static bool
overdue(const KcAgent *agent, const KcWork *work, KcTime now)
{
    KcTime bound = agent->service->rare_stall_max_ms * KC_MS;

    return now - work->arrived_at >= bound / 2;
}

static bool
any_closing(const KcAgent *agent)
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

/* The slot for the work's adapter, made free if need be; NULL: not yet. */
static KcSlot *
slot_for(KcAgent *agent, const KcWork *work, KcTime now)
{
    KcSlot *slot = KcResidency_ChooseVictim(&agent->residency, true, now);

    if (slot == NULL && overdue(agent, work, now) && !any_closing(agent)) {
        KcResidency_CloseSlot(&agent->residency, now);
    }
    return slot;
}

/* Orders the load for a work, or the eviction before it.  False: nothing
 * more can be ordered now. */
static bool
load_for(KcAgent *agent, KcWork *work, KcTime now)
{
    KcSlot *slot;

    if (!wants_load(work->awaited_model, now)) {
        return true;
    }
    if (!KcPace_Allows(&agent->pace, now)) {
        return false;
    }
    slot = slot_for(agent, work, now);
    if (slot == NULL) {
        return false;
    }
    if (slot->state == KC_SLOT_EMPTY) {
        KcAgentEngine_Load(agent, slot, work->awaited_model, now);
        return true;
    }
    KcAgentEngine_Evict(agent, slot, now);
    return false; /* the load follows when the eviction has ended */
}

static bool
evicting(const KcAgent *agent)
{
    const KcSlot *slot;

    TAILQ_FOREACH (slot, &agent->residency.slots, link) {
        if (slot->state == KC_SLOT_EVICTING) {
            return true;
        }
    }
    return false;
}

static void
load_models(KcAgent *agent, KcTime now)
{
    NextWorks next;
    KcSlot *slot;

    if (!agent->inspected || !KcLease_MayOrder(agent->lease, now)) {
        return;
    }
    slot = KcResidency_Trim(&agent->residency, now);
    if (slot != NULL) {
        KcAgentEngine_Evict(agent, slot, now);
    }
    /* An eviction under way already makes room for the most urgent. */
    if (evicting(agent) || TAILQ_EMPTY(&agent->queue)) {
        return;
    }
    find_next(agent, &next, now);
    for (uint32_t i = 0; i < next.count; i++) {
        if (!load_for(agent, next.work[i], now)) {
            return;
        }
    }
}

/* Refuses works whose adapter has failed to load too often. */
static void
refuse_failing(KcAgent *agent, KcTime now)
{
    KcWork *work;
    KcWork *next;

    TAILQ_FOREACH_SAFE (work, &agent->queue, link, next) {
        KcModelState *model = work->awaited_model;

        if (model != NULL && model->slot == NULL && model->retry_at > now &&
            model->load_failures >= agent->options.load_failures_max) {
            KcAgentWork_Refuse(agent, work, KC_ERR_LOAD_FAILED, now);
        }
    }
}

/* Counts the models that are waited for and not ready. */
static void
count_wanted(KcAgent *agent)
{
    KcModelState *model;

    agent->wanted_count = 0;
    TAILQ_FOREACH (model, &agent->residency.model_list, link) {
        if (model->waiting_works > 0 && !KcResidency_IsLoaded(model)) {
            agent->wanted_count++;
        }
    }
}

void
KcAgentSchedule_Pump(KcAgent *agent, KcTime now)
{
    if (agent->service == NULL) {
        return;
    }
    if (needs_adapter(agent)) {
        refuse_failing(agent, now);
        load_models(agent, now);
        count_wanted(agent);
    }
    start_works(agent, now);
    if (agent->wanted_count > 0) {
        KcTimers_Set(agent->options.member.timers, &agent->pump_timer,
                     now + PUMP_INTERVAL);
    }
}
