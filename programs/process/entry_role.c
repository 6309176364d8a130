/*
 * Process of an entry: settings, connections to agents, instance list, state
 * and stop.
 */
#include <string.h>

#include "../connection/tcp.h"
#include "../request/entry_front_end.h"
#include "admin_http.h"
#include "descriptors.h"
#include "instances_http.h"
#include "log.h"
#include "objects_http.h"
#include "role.h"

#define IDLE_LINK_CHECK_INTERVAL (1 * KC_SECOND)

typedef struct EntryRole {
    KcRoleCommon common;
    KcEntry *entry;
    KcEntryFrontEnd *front_end;
    KcInstancePoller *instance_poller;
    KcTimer idle_link_timer;
} EntryRole;

/* ---- connections to agents ---------------------------------------------- */

static void
on_ready(void *context, void *peer_context, KcLink *link)
{
    EntryRole *role = context;

    KcEntry_OnConnected(role->entry, peer_context, link, KcLoop_Now());
}

static void
on_message(void *context, KcLink *link, const KcMsg *msg)
{
    EntryRole *role = context;

    KcEntry_OnMessage(role->entry, link->owner, msg, KcLoop_Now());
}

static void
on_closed(void *context, void *peer_context, KcLink *link, int code)
{
    EntryRole *role = context;
    KcBackend *backend = peer_context;
    KcLogFields fields = {.peer = backend->name, .step = "link", .code = code};

    if (link == NULL) {
        KcLog_Write(KC_LOG_INFO, &fields, "no connection to the agent");
        KcEntry_OnConnectFailed(role->entry, backend, KcLoop_Now());
    }
    else {
        KcLog_Write(KC_LOG_INFO, &fields, "connection to the agent lost");
        KcEntry_OnLinkLost(role->entry, backend, code, KcLoop_Now());
    }
}

static const KcTcpOps tcp_ops = {on_ready, on_message, KcLog_SkippedMessage,
                                 on_closed};

static void
connect_backend(void *context, KcBackend *backend)
{
    EntryRole *role = context;
    KcTcpOptions options = {.loop = role->common.loop,
                            .counters = &role->common.counters,
                            .ops = &tcp_ops,
                            .context = role};
    KcMsg hello;

    KcEntry_FillHello(role->entry, &hello);
    KcTcpConnection_Connect(&options, backend, backend->address, &hello,
                            role->common.settings->connect_timeout_ms * KC_MS);
}

static const KcEntryOps entry_ops = {connect_backend};

static void
on_instances(void *context, const KcInstance *instances, size_t instance_count,
             uint32_t entry_count)
{
    EntryRole *role = context;

    KcLog_Write(KC_LOG_INFO, NULL,
                "instance list: %zu backend servers, %u entries",
                instance_count, entry_count);
    KcEntry_OnInstances(role->entry, instances, instance_count, entry_count,
                        KcLoop_Now());
}

static void
on_idle_link_timer(KcTimer *timer, KcTime now)
{
    EntryRole *role = timer->owner;

    KcEntry_CloseIdleLinks(
        role->entry, role->common.settings->link_idle_timeout_ms * KC_MS, now);
    KcTimers_Set(role->common.loop->timers, timer,
                 now + IDLE_LINK_CHECK_INTERVAL);
}

/* ---- administration ----------------------------------------------------- */

static int
check_ready(void *context)
{
    return KcEntry_CheckReady(((EntryRole *)context)->entry);
}

static uint64_t
get_generation(void *context)
{
    return KcEntry_Generation(((EntryRole *)context)->entry);
}

static json_t *
encode_backend(const KcBackend *backend, KcTime now)
{
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:b, s:b, s:b, s:i, s:i, s:i, s:I}", "name",
        backend->name, "service", backend->service, "datacentre",
        backend->datacentre, "region", backend->region, "address",
        backend->address, "leaving", (int)backend->leaving, "suspect",
        (int)(backend->suspect_until > now), "connected",
        (int)(backend->connection != NULL), "queued",
        (int)backend->load.queued, "running", (int)backend->load.running,
        "attempts", (int)backend->attempt_count, "load_age_ms",
        (json_int_t)((now - backend->load_reported_at) / KC_MS));
}

static void
add_state(void *context, json_t *state)
{
    EntryRole *role = context;
    const KcFleet *fleet = KcEntry_Fleet(role->entry);
    const KcBackend *backend;
    json_t *list = json_array();

    TAILQ_FOREACH (backend, &fleet->backends, link) {
        json_array_append_new(list, encode_backend(backend, KcLoop_Now()));
    }
    json_object_set_new(state, "region", json_string(fleet->entry_region));
    json_object_set_new(state, "requests",
                        json_integer(KcEntry_RequestCount(role->entry)));
    json_object_set_new(state, "backends", list);
}

static void
admin_begin_drain(void *context)
{
    KcRoleCommon_BeginDrain(&((EntryRole *)context)->common);
}

static const KcAdminServerOps admin_ops = {.check_ready = check_ready,
                                           .get_generation = get_generation,
                                           .add_state = add_state,
                                           .begin_drain = admin_begin_drain};

static void
begin_drain(void *context)
{
    KcEntry_Drain(((EntryRole *)context)->entry, KcLoop_Now());
}

static bool
is_drained(void *context)
{
    return KcEntry_IsDrained(((EntryRole *)context)->entry);
}

static const KcRoleOps role_ops = {.begin_drain = begin_drain,
                                   .is_drained = is_drained};

/* ---- set-up ------------------------------------------------------------- */

static void
create_entry(EntryRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcEntryOptions options;

    KcEntryOptions_Init(&options);
    KcRoleCommon_FillMemberOptions(&role->common, &options.member);
    options.ops = &entry_ops;
    options.ops_context = role;
    options.route_policy = KcRoute_FindPolicy(settings->route_policy);
    options.attempts_max = (uint32_t)settings->attempts_max;
    options.requests_max = (uint32_t)settings->requests_max;
    options.reply_timeout = settings->reply_timeout_ms * KC_MS;
    options.resume_timeout = settings->resume_timeout_ms * KC_MS;
    options.remote_cost = settings->remote_cost_ms * KC_MS;
    options.window_bytes = (uint64_t)settings->window_bytes;
    options.retry_percent = settings->retry_percent;
    role->entry = KcEntry_Create(&options);
}

/* Opens all addresses. Returns 0, or KC_ERR_INVALID after logging it. */
static int
listen_all(EntryRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcEntryFrontEndOptions front_end_options = {
        .loop = role->common.loop,
        .settings = settings,
        .entry = role->entry,
        .counters = &role->common.counters,
        .connections_max = KcDescriptors_LimitConnections(settings)};
    KcLogFields fields = {.step = "listen", .code = KC_ERR_INVALID};

    role->front_end = KcEntryFrontEnd_Create(&front_end_options);
    if (role->front_end == NULL) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "cannot listen on [listen] callers = %s",
                    settings->callers_address);
        return KC_ERR_INVALID;
    }
    return KcRoleCommon_OpenAdmin(&role->common, &admin_ops, role);
}

static void
start_all(EntryRole *role)
{
    const KcSettings *settings = role->common.settings;
    KcInstancePollerOptions poller_options = {
        .loop = role->common.loop,
        .address = settings->instances_address,
        .poll_interval = settings->instances_poll_interval_ms * KC_MS,
        .call_timeout = settings->object_timeout_ms * KC_MS,
        .on_changed = on_instances,
        .context = role};

    KcEntry_Start(role->entry, KcLoop_Now());
    role->instance_poller = KcInstancePoller_Create(&poller_options);
    KcTimer_Init(&role->idle_link_timer, on_idle_link_timer, role);
    KcTimers_Set(role->common.loop->timers, &role->idle_link_timer,
                 KcLoop_Now() + IDLE_LINK_CHECK_INTERVAL);
}

static void
free_all(EntryRole *role)
{
    if (role->instance_poller != NULL) {
        KcInstancePoller_Free(role->instance_poller);
        KcTimers_Clear(role->common.loop->timers, &role->idle_link_timer);
    }
    if (role->front_end != NULL) {
        KcEntryFrontEnd_Free(role->front_end);
    }
    KcEntry_AbortRequests(role->entry, KcLoop_Now());
    KcEntry_Free(role->entry);
    KcRoleCommon_Clear(&role->common);
}

int
KcEntryRole_Run(const KcSettings *settings)
{
    EntryRole role;
    int status = 1;

    memset(&role, 0, sizeof(role));
    if (KcRoleCommon_Init(&role.common, settings, &role_ops, &role) != 0) {
        return 1;
    }
    create_entry(&role);
    if (listen_all(&role) == 0) {
        start_all(&role);
        KcLog_Write(KC_LOG_INFO, NULL, "entry serves callers on %s",
                    settings->callers_address);
        KcLoop_Run(role.common.loop);
        status = KcEntry_IsDrained(role.entry) ? 0 : 1;
    }
    free_all(&role);
    return status;
}
