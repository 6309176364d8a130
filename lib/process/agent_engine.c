/*
 * The agent's side of the backend server: load and eviction orders,
 * inspections, engine restarts, and the check that an answer comes from the
 * requested adapter.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent_internal.h"

#define MINUTE (60 * KC_SECOND)

/* ---- set-up ------------------------------------------------------------- */

void
KcAgentEngine_ConfigureSlots(KcAgent *agent, KcTime now)
{
    const KcService *service = agent->service;
    KcTime load_interval; /* of this agent, at its share of the store's rate */

    (void)now;
    if (service == NULL || service->kind != KC_SERVICE_MODEL) {
        return;
    }
    load_interval =
        MINUTE * agent->options.agents_per_store / service->loads_per_minute;
    if (agent->has_residency) {
        KcResidency_Resize(&agent->residency,
                           (uint32_t)service->adapter_slots);
        KcPace_Configure(&agent->load_pace, service->load_ms * KC_MS,
                         load_interval);
        return;
    }
    KcResidency_Init(&agent->residency, (uint32_t)service->adapter_slots,
                     agent->options.victim_policy);
    KcPace_Init(&agent->load_pace, service->load_ms * KC_MS, load_interval);
    agent->has_residency = true;
    if (KcLease_Fence(agent->lease) != 0) {
        KcAgentEngine_AnnounceFence(agent);
        KcAgentEngine_Inspect(agent, now);
    }
}

static void
on_inspect_timer(KcTimer *timer, KcTime now)
{
    KcAgent *agent = timer->owner;

    KcAgentEngine_Inspect(agent, now);
    KcTimers_Set(agent->options.member.timers, timer,
                 now + agent->options.inspect_interval);
}

void
KcAgentEngine_StartInspections(KcAgent *agent, KcTime now)
{
    KcTimer_Init(&agent->inspection_timer, on_inspect_timer, agent);
    KcTimers_Set(agent->options.member.timers, &agent->inspection_timer,
                 now + agent->options.inspect_interval);
}

void
KcAgentEngine_AnnounceFence(KcAgent *agent)
{
    if (agent->options.engine_checks_fence && agent->has_residency) {
        agent->options.ops->announce_fence(agent->options.backend,
                                           KcLease_Fence(agent->lease));
    }
}

void
KcAgent_OnFenceAnnounced(KcAgent *agent, uint64_t fence, int code, KcTime now)
{
    if (code == 0 && fence == KcLease_Fence(agent->lease)) {
        agent->announced_fence = fence;
        agent->fence_announced_at = now;
    }
}

void
KcAgentEngine_Inspect(KcAgent *agent, KcTime now)
{
    if (agent->inspection_pending || !agent->has_residency) {
        return;
    }
    agent->inspection_pending = true;
    agent->inspection_sent_at = now;
    agent->options.ops->inspect_engine(agent->options.backend);
}

/* ---- orders ------------------------------------------------------------- */

/*
 * Gives each load a name of its own at the engine, so that a late order for an
 * earlier load of the same adapter, by this agent or by an earlier holder of
 * the lease, matches nothing.
 */
static void
name_slot(KcAgent *agent, KcSlot *slot, const KcModelState *model)
{
    snprintf(slot->engine_name, sizeof(slot->engine_name), "%s@%u#%llu.%llu",
             model->ref.adapter, model->ref.version,
             (unsigned long long)slot->load_fence,
             (unsigned long long)++agent->load_sequence);
}

void
KcAgentEngine_LoadAdapter(KcAgent *agent, KcSlot *slot, KcModelState *model,
                          KcTime now)
{
    uint64_t fence = KcLease_Fence(agent->lease);

    assert(KcLease_MayOrder(agent->lease, now));
    KcResidency_BeginLoad(&agent->residency, slot, model, fence, now);
    name_slot(agent, slot, model);
    KcPace_Begin(&agent->load_pace, now);
    KcCounters_Add(agent->options.member.counters, KC_COUNT_LOADS, 1);
    KcAgent_RecordEvent(agent, KC_EVENT_LOAD, NULL, model->key, (int64_t)fence,
                        now);
    agent->options.ops->load(agent->options.backend, slot);
}

void
KcAgentEngine_EvictAdapter(KcAgent *agent, KcSlot *slot, KcTime now)
{
    uint64_t fence = KcLease_Fence(agent->lease);

    assert(KcLease_MayOrder(agent->lease, now));
    KcAgent_RecordEvent(agent, KC_EVENT_EVICT, NULL, slot->model->key,
                        (int64_t)fence, now);
    KcResidency_BeginEvict(&agent->residency, slot, now);
    KcCounters_Add(agent->options.member.counters, KC_COUNT_EVICTIONS, 1);
    agent->options.ops->evict(agent->options.backend, slot, fence);
}

void
KcAgent_OnAdapterLoaded(KcAgent *agent, KcSlot *slot, int code, KcTime now)
{
    KcModelState *model = slot->model;

    agent->order_ended_at = now;
    KcPace_End(&agent->load_pace, code, now);
    if (slot->state != KC_SLOT_LOADING) {
        return; /* the engine has restarted since the order */
    }
    KcAgent_RecordEvent(agent, KC_EVENT_LOADED, NULL, model->key, code, now);
    KcCounters_Add(agent->options.member.counters, KC_COUNT_LOAD_FAILURES,
                   code != 0);
    KcResidency_EndLoad(slot, code, now);
    KcAgentSchedule_Run(agent, now);
}

void
KcAgent_OnAdapterEvicted(KcAgent *agent, KcSlot *slot, int code, KcTime now)
{
    (void)code; /* the next inspection finds an adapter that is still loaded */
    agent->order_ended_at = now;
    if (slot->state != KC_SLOT_EVICTING) {
        return;
    }
    KcResidency_EndEvict(slot);
    KcAgentSchedule_Run(agent, now);
}

/* ---- inspections -------------------------------------------------------- */

/* Returns the slot whose adapter has this name at the engine, or NULL. */
static KcSlot *
find_slot_by_name(KcAgent *agent, const char *name)
{
    KcSlot *slot;

    TAILQ_FOREACH (slot, &agent->residency.slots, link) {
        if (slot->state != KC_SLOT_EMPTY &&
            strcmp(slot->engine_name, name) == 0) {
            return slot;
        }
    }
    return NULL;
}

static bool
is_listed(const KcSlot *slot, const KcEngineAdapter *adapters, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(slot->engine_name, adapters[i].name) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Forgets slots whose adapter the engine no longer lists.  sent_at is the time
 * at which the inspection was sent.
 */
static void
forget_unlisted_slots(KcAgent *agent, const KcEngineAdapter *adapters,
                      size_t count, KcTime sent_at)
{
    KcSlot *slot;

    TAILQ_FOREACH (slot, &agent->residency.slots, link) {
        bool loaded =
            slot->state == KC_SLOT_LOADED || slot->state == KC_SLOT_CLOSING;

        /* A load that ended after sent_at may be missing in the list. */
        if (loaded && slot->state_changed_at < sent_at &&
            !is_listed(slot, adapters, count)) {
            KcResidency_MarkLost(slot);
        }
    }
}

/* Parses an engine's "adapter@version#..."; returns 0 or KC_ERR_PARSE. */
static int
parse_engine_name(const char *name, KcAdapterRef *ref)
{
    char text[KC_ENGINE_NAME_MAX];
    char *hash_sign;
    char *at_sign;
    int64_t version;

    KcText_Copy(text, name, sizeof(text));
    hash_sign = strchr(text, '#');
    if (hash_sign != NULL) {
        *hash_sign = '\0';
    }
    at_sign = strrchr(text, '@');
    if (at_sign == NULL || at_sign - text >= KC_NAME_MAX || at_sign == text ||
        KcIni_ParseNumber(at_sign + 1, 1, UINT32_MAX, &version) != 0) {
        return KC_ERR_PARSE;
    }
    *at_sign = '\0';
    KcText_Copy(ref->adapter, text, KC_NAME_MAX);
    ref->version = (uint32_t)version;
    return 0;
}

/* Fencing number in an engine's "adapter@version#fence.sequence", or 0. */
static uint64_t
parse_engine_name_fence(const char *name)
{
    const char *hash_sign = strchr(name, '#');

    return hash_sign != NULL ? strtoull(hash_sign + 1, NULL, 10) : 0;
}

/*
 * True when an adapter that no slot tracks can be used, which needs that no
 * order to evict it can still arrive.  An earlier holder's order is refused
 * once the engine has accepted our fencing number.  For an adapter with our
 * own fencing number, this agent may have sent an eviction itself.
 */
static bool
may_adopt(const KcAgent *agent, const KcEngineAdapter *adapter, KcTime sent_at)
{
    uint64_t fence = KcLease_Fence(agent->lease);

    return agent->options.engine_checks_fence &&
           agent->announced_fence == fence &&
           agent->fence_announced_at < sent_at &&
           parse_engine_name_fence(adapter->name) < fence;
}

/*
 * Takes over an adapter that an earlier holder of the lease loaded, if an
 * empty slot is available.  Returns false when it is not taken over.
 */
static bool
adopt_untracked(KcAgent *agent, const KcEngineAdapter *adapter, KcTime sent_at,
                KcTime now)
{
    KcSlot *slot = KcResidency_ChooseVictim(&agent->residency, true, now);
    KcModelState *model;
    KcAdapterRef ref;

    if (!may_adopt(agent, adapter, sent_at) || slot == NULL ||
        slot->state != KC_SLOT_EMPTY ||
        parse_engine_name(adapter->name, &ref) != 0) {
        return false;
    }
    model = KcResidency_FindOrAddModel(&agent->residency, &ref, now);
    if (model->slot != NULL) {
        return false;
    }
    KcResidency_BeginLoad(&agent->residency, slot, model,
                          KcLease_Fence(agent->lease), now);
    KcText_Copy(slot->engine_name, adapter->name, sizeof(slot->engine_name));
    KcResidency_EndLoad(slot, 0, now);
    slot->external_requests = adapter->active_calls;
    return true;
}

/* Lowers the count of an earlier holder's calls, which never grows. */
static void
lower_external_requests(KcSlot *slot, const KcEngineAdapter *adapter)
{
    if (adapter->active_calls < slot->external_requests) {
        slot->external_requests = adapter->active_calls;
    }
}

/* Takes over or evicts an adapter that the engine holds and no slot tracks. */
static void
adopt_or_evict_untracked(KcAgent *agent, const KcEngineAdapter *adapter,
                         KcTime sent_at, KcTime now)
{
    if (adopt_untracked(agent, adapter, sent_at, now)) {
        return;
    }
    /* An adapter still serving a call of an earlier holder is kept. */
    if (adapter->active_calls == 0 && KcLease_MayOrder(agent->lease, now)) {
        agent->options.ops->evict_untracked(agent->options.backend,
                                            adapter->name,
                                            KcLease_Fence(agent->lease));
    }
}

static void
on_engine_restart(KcAgent *agent, const char *epoch, KcTime now)
{
    KcSlot *slot;

    if (agent->engine_epoch[0] != '\0') {
        KcCounters_Add(agent->options.member.counters,
                       KC_COUNT_ENGINE_RESTARTS, 1);
        KcAgent_RecordEvent(agent, KC_EVENT_ENGINE_RESTARTED, NULL, NULL, 0,
                            now);
        TAILQ_FOREACH (slot, &agent->residency.slots, link) {
            if (slot->state == KC_SLOT_LOADED ||
                slot->state == KC_SLOT_CLOSING) {
                KcResidency_MarkLost(slot);
            }
        }
    }
    KcText_Copy(agent->engine_epoch, epoch, sizeof(agent->engine_epoch));
}

void
KcAgent_OnEngineInspected(KcAgent *agent, int code, const char *epoch,
                          const KcEngineAdapter *adapters, size_t count,
                          KcTime sent_at, KcTime now)
{
    agent->inspection_pending = false;
    if (code != 0) {
        return;
    }
    if (strcmp(agent->engine_epoch, epoch) != 0) {
        on_engine_restart(agent, epoch, now);
    }
    forget_unlisted_slots(agent, adapters, count, sent_at);
    for (size_t i = 0; i < count; i++) {
        KcSlot *slot = find_slot_by_name(agent, adapters[i].name);

        if (slot != NULL) {
            lower_external_requests(slot, &adapters[i]);
        }
        /* An order that ended after sent_at may be missing in the list. */
        if (slot == NULL && KcLease_Fence(agent->lease) != 0 &&
            agent->order_ended_at < sent_at) {
            adopt_or_evict_untracked(agent, &adapters[i], sent_at, now);
        }
    }
    if (KcLease_Fence(agent->lease) != 0) {
        agent->engine_inspected = true;
    }
    KcAgentSchedule_Run(agent, now);
}

/* ---- answers ------------------------------------------------------------ */

void
KcAgent_OnWorkStarted(KcAgent *agent, KcWork *work, const char *model,
                      uint32_t status, const char *content_type, KcTime now)
{
    KcAdapterRef ref = {.adapter = ""};

    assert(work->state == KC_WORK_RUNNING && !work->answer_started);
    if (work->slot != NULL && (strcmp(model, work->slot->engine_name) != 0 ||
                               parse_engine_name(model, &ref) != 0)) {
        KcCounters_Add(agent->options.member.counters, KC_COUNT_WRONG_MODEL,
                       1);
        agent->options.ops->cancel(agent->options.backend, work);
        KcAgentWork_End(agent, work, KC_ERR_WRONG_MODEL, true, "", now);
        return;
    }
    work->answer_started = true;
    KcText_Copy(work->started_msg.adapter, ref.adapter, KC_NAME_MAX);
    work->started_msg.version = ref.version;
    work->started_msg.http_status = status;
    KcText_Copy(work->started_msg.content_type, content_type, KC_NAME_MAX);
    KcAgent_RecordEvent(agent, KC_EVENT_FIRST_BYTE, work, NULL,
                        (now - work->arrived_at) / KC_MS, now);
    KcAgentAnswer_SendPending(agent, work, now);
}

void
KcAgent_OnWorkData(KcAgent *agent, KcWork *work, KcBytes bytes,
                   uint64_t tokens, KcTime now)
{
    assert(work->state == KC_WORK_RUNNING && work->answer_started);
    KcBuffer_Append(&work->answer, bytes.data, bytes.size);
    work->tokens = tokens;
    KcAgentAnswer_SendPending(agent, work, now);
}

void
KcAgent_OnWorkEnded(KcAgent *agent, KcWork *work, int code, bool has_run,
                    const char *finish_reason, KcTime now)
{
    assert(work->state == KC_WORK_RUNNING);
    if (code == KC_ERR_NOT_FOUND && !has_run && work->slot != NULL) {
        /* The engine lacks the adapter: it is loaded again. */
        KcResidency_MarkLost(work->slot);
    }
    if (!has_run && !work->answer_started && code == KC_ERR_INVALID) {
        KcAgentWork_OnBackendRefused(agent, work, code, now);
        return;
    }
    if (!has_run && !work->answer_started) {
        KcAgentWork_Requeue(agent, work, now);
        return;
    }
    KcAgentWork_End(agent, work, code, has_run, finish_reason, now);
}
