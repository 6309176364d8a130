/*
 * Process of an agent: settings, connections from entries, state and stop.
 */
#include <string.h>

#include "../connection/tcp.h"
#include "../request/backend_call.h"
#include "admin_http.h"
#include "log.h"
#include "objects_http.h"
#include "role.h"

typedef struct AgentRole {
    KcRoleCommon common;
    KcAgent *agent;
    KcBackendHttpClient *backend;
    KcTcpListener *listener;
} AgentRole;

/* ---- connections from entries ------------------------------------------- */

static void
on_accepted(void *context, KcLink *link)
{
    AgentRole *role = context;

    KcAgent_OnConnected(role->agent, link, KcLoop_Now());
}

static void
on_message(void *context, KcLink *link, const KcMsg *msg)
{
    AgentRole *role = context;

    KcAgent_OnMessage(role->agent, link, msg, KcLoop_Now());
}

static void
on_closed(void *context, void *peer_context, KcLink *link, int code)
{
    AgentRole *role = context;
    KcLogFields fields = {
        .peer = link->peer_name, .step = "link", .code = code};

    (void)peer_context;
    KcLog_Write(KC_LOG_INFO, &fields, "connection from an entry closed");
    KcAgent_OnLinkLost(role->agent, link, code, KcLoop_Now());
}

static const KcTcpOps tcp_ops = {NULL, on_message, KcLog_SkippedMessage,
                                 on_closed};

/* ---- administration ----------------------------------------------------- */

static int
check_ready(void *context)
{
    return KcAgent_CheckReady(((AgentRole *)context)->agent, KcLoop_Now());
}

static uint64_t
get_generation(void *context)
{
    return KcAgent_Generation(((AgentRole *)context)->agent);
}

static const char *
slot_state_name(KcSlotState state)
{
    static const char *const names[] = {"empty", "loading", "ready", "closing",
                                        "evicting"};

    return names[state];
}

static json_t *
encode_slot(const KcSlot *slot, KcTime now)
{
    return json_pack(
        "{s:i, s:s, s:s, s:s, s:i, s:I, s:f}", "number",
        (int)slot->slot_number, "state", slot_state_name(slot->state), "model",
        slot->model != NULL ? slot->model->key : "", "name", slot->engine_name,
        "pins", (int)slot->pins, "idle_ms",
        (json_int_t)((now - slot->used_at) / KC_MS), "frequency",
        slot->model != NULL ? KcResidency_Frequency(slot->model, now) : 0.0);
}

static void
add_state(void *context, json_t *state)
{
    AgentRole *role = context;
    const KcResidency *residency = KcAgent_Residency(role->agent);
    const KcSlot *slot;
    json_t *list = json_array();

    for (slot = TAILQ_FIRST(&residency->slots); slot != NULL;
         slot = TAILQ_NEXT(slot, link)) {
        json_array_append_new(list, encode_slot(slot, KcLoop_Now()));
    }
    json_object_set_new(state, "service",
                        json_string(role->common.settings->service_name));
    json_object_set_new(state, "fence",
                        json_integer((json_int_t)KcAgent_Fence(role->agent)));
    json_object_set_new(state, "queued",
                        json_integer(KcAgent_QueuedCount(role->agent)));
    json_object_set_new(state, "running",
                        json_integer(KcAgent_RunningCount(role->agent)));
    json_object_set_new(state, "slots", list);
}

static void
admin_begin_drain(void *context)
{
    KcRoleCommon_BeginDrain(&((AgentRole *)context)->common);
}

static const KcAdminServerOps admin_ops = {.check_ready = check_ready,
                                           .get_generation = get_generation,
                                           .add_state = add_state,
                                           .begin_drain = admin_begin_drain};

static void
begin_drain(void *context)
{
    KcAgent_Drain(((AgentRole *)context)->agent, KcLoop_Now());
}

static bool
is_drained(void *context)
{
    return KcAgent_IsDrained(((AgentRole *)context)->agent);
}

static const KcRoleOps role_ops = {.begin_drain = begin_drain,
                                   .is_drained = is_drained};

/* ---- set-up ------------------------------------------------------------- */

static void
create_agent(AgentRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcAgentOptions options;

    role->backend = KcBackendHttpClient_Create(role->common.loop, settings);
    KcAgentOptions_Init(&options);
    KcRoleCommon_FillMemberOptions(&role->common, &options.member);
    options.service_name = settings->service_name;
    options.ops = &KcBackendHttpClient_Ops;
    options.backend = role->backend;
    options.victim_policy = KcVictim_FindPolicy(settings->victim_policy);
    options.engine_checks_fence = settings->engine_checks_fence;
    options.agents_per_store = (uint32_t)settings->agents_per_store;
    options.detach_timeout = settings->detach_timeout_ms * KC_MS;
    options.retain_timeout = settings->retain_timeout_ms * KC_MS;
    options.inspect_interval = settings->inspect_interval_ms * KC_MS;
    options.window_bytes = (uint64_t)settings->window_bytes;
    role->agent = KcAgent_Create(&options);
    KcBackendHttpClient_SetAgent(role->backend, role->agent);
}

static int
listen_all(AgentRole *role)
{
    /* Binding the address fails if another agent runs for this server. */
    role->listener =
        KcRoleCommon_ListenLinks(&role->common, &tcp_ops, role, on_accepted);
    if (role->listener == NULL) {
        return KC_ERR_INVALID;
    }
    return KcRoleCommon_OpenAdmin(&role->common, &admin_ops, role);
}

static void
free_all(AgentRole *role)
{
    if (role->listener != NULL) {
        KcTcpListener_Free(role->listener);
    }
    KcAgent_Free(role->agent);
    KcBackendHttpClient_Free(role->backend);
    KcRoleCommon_Clear(&role->common);
}

int
KcAgentRole_Run(const KcSettings *settings)
{
    AgentRole role;
    int status = 1;

    memset(&role, 0, sizeof(role));
    if (KcRoleCommon_Init(&role.common, settings, &role_ops, &role) != 0) {
        return 1;
    }
    create_agent(&role);
    if (listen_all(&role) == 0) {
        KcAgent_Start(role.agent, KcLoop_Now());
        KcLog_Write(KC_LOG_INFO, NULL, "agent for %s listens on %s",
                    settings->backend_address, settings->links_address);
        KcLoop_Run(role.common.loop);
        status = KcAgent_IsDrained(role.agent) ? 0 : 1;
    }
    free_all(&role);
    return status;
}
