/*
 * The agent's dealings with its backend server: orders, reports, cold
 * restarts, and the check that an answer comes from the right adapter.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent_internal.h"

#define MINUTE (60 * KC_SECOND)

/* ---- set-up ------------------------------------------------------------- */

void
KcAgentEngine_Configure(KcAgent *agent, KcTime now)
{
    const KcService *service = agent->service;
    KcTime share;

    (void)now;
    if (service == NULL || service->kind != KC_SERVICE_MODEL) {
        return;
    }
    share =
        MINUTE * agent->options.agents_per_store / service->loads_per_minute;
    if (agent->resident_ready) {
        KcResidency_Resize(&agent->residency,
                           (uint32_t)service->adapter_slots);
        KcPace_Configure(&agent->pace, service->load_ms * KC_MS, share);
        return;
    }
    KcResidency_Init(&agent->residency, (uint32_t)service->adapter_slots,
                     agent->options.victim_policy);
    KcPace_Init(&agent->pace, service->load_ms * KC_MS, share);
    agent->resident_ready = true;
    if (KcLease_Fence(agent->lease) != 0) {
        KcAgentEngine_Announce(agent);
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
KcAgentEngine_Start(KcAgent *agent, KcTime now)
{
    KcTimer_Init(&agent->inspect_timer, on_inspect_timer, agent);
    KcTimers_Set(agent->options.member.timers, &agent->inspect_timer,
                 now + agent->options.inspect_interval);
}

void
KcAgentEngine_Announce(KcAgent *agent)
{
    if (agent->options.engine_checks_fence && agent->resident_ready) {
        agent->options.ops->announce_fence(agent->options.backend,
                                           KcLease_Fence(agent->lease));
    }
}

void
KcAgent_OnFenceAnnounced(KcAgent *agent, uint64_t fence, int code, KcTime now)
{
    if (code == 0 && fence == KcLease_Fence(agent->lease)) {
        agent->announced = fence;
        agent->announced_at = now;
    }
}

void
KcAgentEngine_Inspect(KcAgent *agent, KcTime now)
{
    if (agent->inspecting || !agent->resident_ready) {
        return;
    }
    agent->inspecting = true;
    agent->inspect_asked = now;
    agent->options.ops->inspect_engine(agent->options.backend);
}

/* ---- orders ------------------------------------------------------------- */

/* Each load has a name of its own: a late order for an earlier one of the
 * same adapter, ours or a former holder's, matches nothing. */
static void
name_slot(KcAgent *agent, KcSlot *slot, const KcModelState *model)
{
    snprintf(slot->engine_name, sizeof(slot->engine_name), "%s@%u#%llu.%llu",
             model->ref.adapter, model->ref.version,
             (unsigned long long)slot->load_fence,
             (unsigned long long)++agent->load_sequence);
}

void
KcAgentEngine_Load(KcAgent *agent, KcSlot *slot, KcModelState *model,
                   KcTime now)
{
    uint64_t fence = KcLease_Fence(agent->lease);

    assert(KcLease_MayOrder(agent->lease, now));
    KcResidency_BeginLoad(&agent->residency, slot, model, fence, now);
    name_slot(agent, slot, model);
    KcPace_Begin(&agent->pace, now);
    KcCounters_Add(agent->options.member.counters, KC_COUNT_LOADS, 1);
    KcAgent_Event(agent, KC_EVENT_LOAD, NULL, model->key, (int64_t)fence, now);
    agent->options.ops->load(agent->options.backend, slot);
}

void
KcAgentEngine_Evict(KcAgent *agent, KcSlot *slot, KcTime now)
{
    uint64_t fence = KcLease_Fence(agent->lease);

    assert(KcLease_MayOrder(agent->lease, now));
    KcAgent_Event(agent, KC_EVENT_EVICT, NULL, slot->model->key,
                  (int64_t)fence, now);
    KcResidency_BeginEvict(&agent->residency, slot, now);
    KcCounters_Add(agent->options.member.counters, KC_COUNT_EVICTIONS, 1);
    agent->options.ops->evict(agent->options.backend, slot, fence);
}

void
KcAgent_OnAdapterLoaded(KcAgent *agent, KcSlot *slot, int code, KcTime now)
{
    KcModelState *model = slot->model;

    agent->order_ended = now;
    KcPace_End(&agent->pace, code, now);
    if (slot->state != KC_SLOT_LOADING) {
        return; /* the engine restarted meanwhile */
    }
    KcAgent_Event(agent, KC_EVENT_LOADED, NULL, model->key, code, now);
    KcCounters_Add(agent->options.member.counters, KC_COUNT_LOAD_FAILURES,
                   code != 0);
    KcResidency_EndLoad(slot, code, now);
    KcAgentSchedule_Pump(agent, now);
}

void
KcAgent_OnAdapterEvicted(KcAgent *agent, KcSlot *slot, int code, KcTime now)
{
    (void)code; /* an adapter still there is found by the next inspection */
    agent->order_ended = now;
    if (slot->state != KC_SLOT_EVICTING) {
        return;
    }
    KcResidency_EndEvict(slot);
    KcAgentSchedule_Pump(agent, now);
}

/* ---- reports ------------------------------------------------------------ */

static KcSlot *
slot_by_name(KcAgent *agent, const char *name)
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
listed(const KcSlot *slot, const KcEngineAdapter *adapters, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(slot->engine_name, adapters[i].name) == 0) {
            return true;
        }
    }
    return false;
}

/* Forgets slots whose adapter the engine no longer lists. */
static void
forget_missing(KcAgent *agent, const KcEngineAdapter *adapters, size_t count,
               KcTime asked)
{
    KcSlot *slot;

    TAILQ_FOREACH (slot, &agent->residency.slots, link) {
        bool held =
            slot->state == KC_SLOT_LOADED || slot->state == KC_SLOT_CLOSING;

        /* A change after the question was sent is not in the answer. */
        if (held && slot->state_changed_at < asked &&
            !listed(slot, adapters, count)) {
            KcResidency_MarkLost(slot);
        }
    }
}

/* Splits an engine's "adapter@version#..." into a reference. */
static int
parse_engine_name(const char *name, KcAdapterRef *ref)
{
    char text[KC_ENGINE_NAME_MAX];
    char *hash;
    char *at;
    int64_t version;

    KcText_Copy(text, name, sizeof(text));
    hash = strchr(text, '#');
    if (hash != NULL) {
        *hash = '\0';
    }
    at = strrchr(text, '@');
    if (at == NULL || at - text >= KC_NAME_MAX || at == text ||
        KcIni_ParseNumber(at + 1, 1, UINT32_MAX, &version) != 0) {
        return KC_ERR_PARSE;
    }
    *at = '\0';
    KcText_Copy(ref->adapter, text, KC_NAME_MAX);
    ref->version = (uint32_t)version;
    return 0;
}

/* Fencing number in an engine's "adapter@version#fence.sequence". */
static uint64_t
fence_of_name(const char *name)
{
    const char *hash = strchr(name, '#');

    return hash != NULL ? strtoull(hash + 1, NULL, 10) : 0;
}

/*
 * May a stray adapter be used?  Only when no order to evict it can still
 * arrive: an earlier holder's is refused once the engine has seen our
 * number, and one of our own number we may have ordered away ourselves.
 */
static bool
safe_to_adopt(const KcAgent *agent, const KcEngineAdapter *adapter,
              KcTime asked)
{
    uint64_t fence = KcLease_Fence(agent->lease);

    return agent->options.engine_checks_fence && agent->announced == fence &&
           agent->announced_at < asked && fence_of_name(adapter->name) < fence;
}

/* Takes over an adapter that an earlier holder of the lease had loaded. */
static bool
adopt_stray(KcAgent *agent, const KcEngineAdapter *adapter, KcTime asked,
            KcTime now)
{
    KcSlot *slot = KcResidency_ChooseVictim(&agent->residency, true, now);
    KcModelState *model;
    KcAdapterRef ref;

    if (!safe_to_adopt(agent, adapter, asked) || slot == NULL ||
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

/* An earlier holder's calls only ever become fewer. */
static void
recount_foreign(KcSlot *slot, const KcEngineAdapter *adapter)
{
    if (adapter->active_calls < slot->external_requests) {
        slot->external_requests = adapter->active_calls;
    }
}

/* Deals with an adapter that the engine holds and no slot knows. */
static void
settle_stray(KcAgent *agent, const KcEngineAdapter *adapter, KcTime asked,
             KcTime now)
{
    if (adopt_stray(agent, adapter, asked, now)) {
        return;
    }
    /* It may still serve a call of an earlier holder: then it stays. */
    if (adapter->active_calls == 0 && KcLease_MayOrder(agent->lease, now)) {
        agent->options.ops->evict_untracked(agent->options.backend,
                                            adapter->name,
                                            KcLease_Fence(agent->lease));
    }
}

static void
on_restart(KcAgent *agent, const char *epoch, KcTime now)
{
    KcSlot *slot;

    if (agent->epoch[0] != '\0') {
        KcCounters_Add(agent->options.member.counters,
                       KC_COUNT_ENGINE_RESTARTS, 1);
        KcAgent_Event(agent, KC_EVENT_ENGINE_RESTARTED, NULL, NULL, 0, now);
        TAILQ_FOREACH (slot, &agent->residency.slots, link) {
            if (slot->state == KC_SLOT_LOADED ||
                slot->state == KC_SLOT_CLOSING) {
                KcResidency_MarkLost(slot);
            }
        }
    }
    KcText_Copy(agent->epoch, epoch, sizeof(agent->epoch));
}

void
KcAgent_OnEngineInspected(KcAgent *agent, int code, const char *epoch,
                          const KcEngineAdapter *adapters, size_t count,
                          KcTime asked, KcTime now)
{
    agent->inspecting = false;
    if (code != 0) {
        return;
    }
    if (strcmp(agent->epoch, epoch) != 0) {
        on_restart(agent, epoch, now);
    }
    forget_missing(agent, adapters, count, asked);
    for (size_t i = 0; i < count; i++) {
        KcSlot *slot = slot_by_name(agent, adapters[i].name);

        if (slot != NULL) {
            recount_foreign(slot, &adapters[i]);
        }
        /* An order that ended since the question is not in the answer. */
        if (slot == NULL && KcLease_Fence(agent->lease) != 0 &&
            agent->order_ended < asked) {
            settle_stray(agent, &adapters[i], asked, now);
        }
    }
    if (KcLease_Fence(agent->lease) != 0) {
        agent->inspected = true;
    }
    KcAgentSchedule_Pump(agent, now);
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
    KcAgent_Event(agent, KC_EVENT_FIRST_BYTE, work, NULL,
                  (now - work->arrived_at) / KC_MS, now);
    KcAgentAnswer_Flush(agent, work, now);
}

void
KcAgent_OnWorkData(KcAgent *agent, KcWork *work, KcBytes bytes,
                   uint64_t tokens, KcTime now)
{
    assert(work->state == KC_WORK_RUNNING && work->answer_started);
    KcBuffer_Append(&work->answer, bytes.data, bytes.size);
    work->tokens = tokens;
    KcAgentAnswer_Flush(agent, work, now);
}

void
KcAgent_OnWorkEnded(KcAgent *agent, KcWork *work, int code, bool ran,
                    const char *finish, KcTime now)
{
    assert(work->state == KC_WORK_RUNNING);
    if (code == KC_ERR_NOT_FOUND && !ran && work->slot != NULL) {
        /* The engine does not have the adapter: load it again. */
        KcResidency_MarkLost(work->slot);
    }
    if (!ran && !work->answer_started && code == KC_ERR_INVALID) {
        KcAgentWork_Reject(agent, work, code, now);
        return;
    }
    if (!ran && !work->answer_started) {
        KcAgentWork_Requeue(agent, work, now);
        return;
    }
    KcAgentWork_End(agent, work, code, ran, finish, now);
}
