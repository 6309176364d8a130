/*
 * The agent as a process.
 */
#include <string.h>

#include "../connection/tcp.h"
#include "../request/backend_call.h"
#include "admin_http.h"
#include "log.h"
#include "objects_http.h"
#include "role.h"

typedef struct AgentRole {
    KcParts parts;
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
on_closed(void *context, void *peer, KcLink *link, int code)
{
    AgentRole *role = context;
    KcLogFields fields = {
        .peer = link->peer_name, .step = "link", .code = code};

    (void)peer;
    KcLog_Write(KC_LOG_INFO, &fields, "connection of an entry ended");
    KcAgent_OnLinkLost(role->agent, link, code, KcLoop_Now());
}

static const KcTcpOps tcp_ops = {NULL, on_message, on_closed};

/* ---- administration ----------------------------------------------------- */

static int
ready(void *context)
{
    return KcAgent_CheckReady(((AgentRole *)context)->agent, KcLoop_Now());
}

static uint64_t
generation(void *context)
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
                        json_string(role->parts.settings->service_name));
    json_object_set_new(state, "fence",
                        json_integer((json_int_t)KcAgent_Fence(role->agent)));
    json_object_set_new(state, "queued",
                        json_integer(KcAgent_QueuedCount(role->agent)));
    json_object_set_new(state, "running",
                        json_integer(KcAgent_RunningCount(role->agent)));
    json_object_set_new(state, "slots", list);
}

static void
admin_drain(void *context)
{
    KcParts_Drain(&((AgentRole *)context)->parts);
}

static const KcAdminOps admin_ops = {ready, generation, add_state,
                                     admin_drain};

static void
drain(void *context)
{
    KcAgent_Drain(((AgentRole *)context)->agent, KcLoop_Now());
}

static bool
drained(void *context)
{
    return KcAgent_IsDrained(((AgentRole *)context)->agent);
}

static const KcRoleOps role_ops = {drain, drained, NULL};

/* ---- set-up ------------------------------------------------------------- */

static void
create_agent(AgentRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcAgentOptions options;

    role->backend = KcBackendHttpClient_Create(role->parts.loop, settings);
    KcAgentOptions_Init(&options);
    KcParts_FillMember(&role->parts, &options.member);
    options.service_name = settings->service_name;
    options.ops = &KcBackendHttpClient_Ops;
    options.backend = role->backend;
    options.victim_policy = KcVictim_FindPolicy(settings->victim);
    options.engine_checks_fence = settings->engine_checks_fence;
    options.agents_per_store = (uint32_t)settings->store_share;
    options.detach_timeout = settings->detach_ms * KC_MS;
    options.retain_timeout = settings->retain_ms * KC_MS;
    options.inspect_interval = settings->inspect_ms * KC_MS;
    options.window_bytes = (uint64_t)settings->window_bytes;
    role->agent = KcAgent_Create(&options);
    KcBackendHttpClient_SetAgent(role->backend, role->agent);
}

static int
listen_all(AgentRole *role)
{
    /* The slot's own address is the lock against a second agent. */
    role->listener =
        KcParts_ListenLinks(&role->parts, &tcp_ops, role, on_accepted);
    if (role->listener == NULL) {
        return KC_ERR_INVALID;
    }
    return KcParts_OpenAdmin(&role->parts, &admin_ops, role);
}

static void
free_all(AgentRole *role)
{
    if (role->listener != NULL) {
        KcTcpListener_Free(role->listener);
    }
    KcAgent_Free(role->agent);
    KcBackendHttpClient_Free(role->backend);
    KcParts_Clear(&role->parts);
}

int
KcAgentRole_Run(const KcSettings *settings)
{
    AgentRole role;
    int status = 1;

    memset(&role, 0, sizeof(role));
    if (KcParts_Init(&role.parts, settings) != 0) {
        return 1;
    }
    create_agent(&role);
    if (listen_all(&role) == 0) {
        KcAgent_Start(role.agent, KcLoop_Now());
        KcParts_HandleSignals(&role.parts, &role_ops, &role);
        KcLog_Write(KC_LOG_INFO, NULL, "agent of %s listens on %s",
                    settings->backend_address, settings->links);
        KcLoop_Run(role.parts.loop);
        status = KcAgent_IsDrained(role.agent) ? 0 : 1;
    }
    free_all(&role);
    return status;
}
