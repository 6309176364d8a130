/*
 * The gateway as a process: its life, and the pages for administrators.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_role_internal.h"

/* Idle callers' connections stay open so long after a stop began: the
 * balancer sends no new ones after two questions, a second apart. */
#define DRAIN_IDLE (2500 * KC_MS)
/* Streams are refused so long after a stop began: the platform excuses what
 * a stop cuts only for requests that were sent before. */
#define DRAIN_REFUSE (2800 * KC_MS)
/* Everything is refused so long before the end of a stop. */
#define DRAIN_LAST (1500 * KC_MS)
/* A process without requests ends so long after a stop began: until then the
 * balancer may send new connections, and afterwards whoever still connects
 * finds another. */
#define DRAIN_END (3200 * KC_MS)
/* A stop is over this long before the platform ends the process. */
#define DRAIN_MARGIN (300 * KC_MS)
/* Limits on callers until a configuration is in force. */
static const KcCallerLimits first_limits = {16384, 1048576, 10 * KC_SECOND,
                                            60 * KC_SECOND};

/* ---- administration ------------------------------------------------------ */

static int
ready(void *context)
{
    GatewayRole *role = context;

    return role->parts.draining ? KC_ERR_LEAVING
                                : KcGateway_CheckReady(role->gateway);
}

static uint64_t
generation(void *context)
{
    const KcRouting *routing =
        KcGateway_GetRouting(((GatewayRole *)context)->gateway);

    return routing != NULL ? routing->version : 0;
}

static void
add_server_state(void *context, KcServer *server)
{
    json_array_append_new(
        context,
        json_pack(
            "{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:I}", "id", server->id,
            "service", server->pool->service, "address", server->address,
            "leaving", (int)server->leaving, "missing",
            (int)(server->missing_at != 0), "in_flight",
            (int)server->in_flight, "others", (int)server->others_in_flight,
            "load_age_ms",
            (json_int_t)((KcLoop_Now() - server->load_reported_at) / KC_MS)));
}

static void
add_state(void *context, json_t *state)
{
    GatewayRole *role = context;
    json_t *list = json_array();

    KcGateway_VisitServers(role->gateway, add_server_state, list);
    json_object_set_new(state, "in_flight",
                        json_integer(KcGateway_CountInFlight(role->gateway)));
    json_object_set_new(state, "servers", list);
}

static void
admin_drain(void *context)
{
    KcParts_Drain(&((GatewayRole *)context)->parts);
}

static const KcAdminOps admin_ops = {ready, generation, add_state,
                                     admin_drain};

/* ---- planned stops and changed settings ---------------------------------- */

static void
drain(void *context)
{
    GatewayRole *role = context;

    role->drain_began = KcLoop_Now();
    KcGateway_Drain(role->gateway, role->drain_began + DRAIN_REFUSE,
                    role->drain_began + role->parts.drain_time - DRAIN_LAST);
    KcGatewayFrontEnd_Drain(role->front, role->drain_began + DRAIN_IDLE);
}

static bool
drained(void *context)
{
    GatewayRole *role = context;

    return KcGateway_CountInFlight(role->gateway) == 0 &&
           KcLoop_Now() >= role->drain_began + DRAIN_END;
}

static void
reload(void *context, const KcSettings *settings)
{
    GatewayRole *role = context;

    KcGateway_SetRetryBudget(role->gateway,
                             (int64_t)(settings->retry_share * 100),
                             settings->retry_burst, KcLoop_Now());
}

static const KcRoleOps role_ops = {drain, drained, reload};

/* ---- set-up -------------------------------------------------------------- */

static const char *
region_of(void *context, const char *datacentre)
{
    return KcSettings_Region(((GatewayRole *)context)->parts.settings,
                             datacentre);
}

static void
create_gateway(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcGatewayOptions options;

    KcGatewayOptions_Init(&options);
    options.ops = &KcGatewayRole_Ops;
    options.context = role;
    options.timers = role->parts.loop->timers;
    options.counters = &role->parts.counters;
    options.datacentre = settings->datacentre;
    options.region_of = region_of;
    options.seed = KcLoop_Random();
    options.retry_percent = (int64_t)(settings->retry_share * 100);
    options.retry_burst = settings->retry_burst;
    role->gateway = KcGateway_Create(&options);
}

/* Opens the addresses.  Returns 0 or KC_ERR_INVALID. */
static int
listen_all(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcGatewayFrontEndOptions front = {
        .loop = role->parts.loop,
        .address = settings->callers_address,
        .gateway = role->gateway,
        .dialect = role->platform->dialect,
        .connections_max = (uint32_t)settings->connections_max,
        .initial_limits = first_limits,
        .silence_timeout = settings->silence_ms * KC_MS};
    KcAdminOptions balancer = {.loop = role->parts.loop,
                               .settings = settings,
                               .address = settings->ready,
                               .ready_path = settings->ready_path,
                               .counters = &role->parts.counters,
                               .events = role->parts.events,
                               .ops = &admin_ops,
                               .context = role};
    KcLogFields fields = {.step = "listen", .code = KC_ERR_INVALID};

    role->front = KcGatewayFrontEnd_Create(&front);
    role->balancer = KcAdmin_Create(&balancer);
    if (role->front == NULL || role->balancer == NULL) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "cannot listen on [listen] callers = %s or ready = %s",
                    settings->callers_address, settings->ready);
        return KC_ERR_INVALID;
    }
    return KcParts_OpenAdmin(&role->parts, &admin_ops, role);
}

static void
start_all(GatewayRole *role)
{
    const KcSettings *settings = role->parts.settings;
    KcStoreOptions store = {.loop = role->parts.loop,
                            .address = settings->objects,
                            .call_timeout =
                                settings->object_timeout_ms * KC_MS,
                            .counters = &role->parts.counters};

    role->store = role->platform->open_store(&store);
    KcTimer_Init(&role->tell_timer, KcGatewayRole_OnTell, role);
    KcGatewayRole_StartFeeds(role);
    KcGatewayRole_WriteMember(role);
    KcParts_HandleSignals(&role->parts, &role_ops, role);
}

static void
free_all(GatewayRole *role)
{
    KcTimers *timers = role->parts.loop->timers;

    if (role->store != NULL) {
        KcTimers_Clear(timers, &role->tell_timer);
        KcOwnRecord_Clear(&role->member);
        KcGatewayRole_FreeFeeds(role);
        role->platform->close_store(role->store);
    }
    KcGateway_Abort(role->gateway, KcLoop_Now());
    if (role->front != NULL) {
        KcGatewayFrontEnd_Free(role->front);
    }
    if (role->balancer != NULL) {
        KcAdmin_Free(role->balancer);
    }
    KcGateway_Free(role->gateway);
    KcParts_Clear(&role->parts);
}

int
KcGatewayRole_Run(const KcSettings *settings)
{
    GatewayRole role;
    int status = 1;

    memset(&role, 0, sizeof(role));
    role.platform = &KcPlatform_Here;
    if (KcParts_Init(&role.parts, settings) != 0) {
        return 1;
    }
    role.incarnation = KcLoop_Random();
    role.parts.drain_time =
        (KcTime)(settings->grace_s * KC_SECOND) - DRAIN_MARGIN;
    create_gateway(&role);
    if (listen_all(&role) == 0) {
        start_all(&role);
        KcLog_Write(KC_LOG_INFO, NULL, "gateway serves callers on %s",
                    settings->callers_address);
        KcLoop_Run(role.parts.loop);
        KcLog_Write(KC_LOG_INFO, NULL, "gateway stops, %u requests left",
                    KcGateway_CountInFlight(role.gateway));
        status = 0;
    }
    free_all(&role);
    return status;
}
