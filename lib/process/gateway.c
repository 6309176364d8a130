/*
 * The gateway's context: the routing in force, and the bounds that the
 * gateways share.
 */
#include <assert.h>
#include <stdlib.h>

#include "gateway_internal.h"

/* Gateways are taken to be so many until it is known. */
#define GATEWAYS_UNKNOWN 8
/* Default time for which a server's missing record counts as present; the
 * platform brings records back within two seconds of an outage. */
#define MISSING (2200 * KC_MS)

/* While requests are in flight a timer fires this often; when it is late by
 * more than the second, the process was not run for a while, and knows
 * nothing of what its servers did meanwhile. */
#define TICK (100 * KC_MS)
#define TICK_LATE (60 * KC_MS)

static void
on_tick(KcTimer *timer, KcTime now)
{
    KcGateway *gateway = timer->owner;

    if (now - timer->due_at > TICK_LATE) {
        gateway->awake_at = now;
    }
    if (gateway->in_flight > 0) {
        KcTimers_Set(gateway->options.timers, timer, now + TICK);
    }
}

void
KcGateway_Watch(KcGateway *gateway, KcTime now)
{
    if (!gateway->tick.is_set) {
        KcTimers_Set(gateway->options.timers, &gateway->tick, now + TICK);
    }
}

void
KcGatewayOptions_Init(KcGatewayOptions *options)
{
    *options = (KcGatewayOptions){
        .retry_percent = 20, .retry_burst = 10, .missing = MISSING};
}

KcGateway *
KcGateway_Create(const KcGatewayOptions *options)
{
    KcGateway *gateway = KcMem_New(sizeof(*gateway));

    gateway->options = *options;
    gateway->gateways = GATEWAYS_UNKNOWN;
    gateway->draws = options->seed;
    gateway->refuse_streams = KC_NEVER;
    gateway->refuse_all = KC_NEVER;
    KcText_Copy(gateway->datacentre, options->datacentre, KC_NAME_MAX);
    KcText_Copy(gateway->region,
                options->region_of(options->context, options->datacentre),
                KC_NAME_MAX);
    TAILQ_INIT(&gateway->forwards);
    KcTimer_Init(&gateway->tick, on_tick, gateway);
    KcGateway_InitServers(gateway);
    return gateway;
}

void
KcGateway_Free(KcGateway *gateway)
{
    assert(TAILQ_EMPTY(&gateway->forwards));
    KcTimers_Clear(gateway->options.timers, &gateway->tick);
    KcGateway_ClearServers(gateway);
    KcRouting_Release(gateway->routing);
    free(gateway);
}

void
KcGateway_SetRouting(KcGateway *gateway, KcRouting *routing)
{
    if (gateway->routing != NULL &&
        gateway->routing->version >= routing->version) {
        KcRouting_Release(routing);
        return;
    }
    KcRouting_Release(gateway->routing);
    gateway->routing = routing;
}

const KcRouting *
KcGateway_GetRouting(const KcGateway *gateway)
{
    return gateway->routing;
}

void
KcGateway_SetGatewayCount(KcGateway *gateway, uint32_t gateways, KcTime now)
{
    KcServerPool *pool;
    KcServerPool *next;

    (void)now;
    if (gateways == 0) {
        return;
    }
    gateway->gateways = gateways;
    HASH_ITER(hh, gateway->pools, pool, next)
    {
        int64_t tokens = pool->budget.millitokens;

        KcRetryBudget_Init(&pool->budget, gateway->options.retry_percent,
                           gateway->options.retry_burst / gateways);
        if (pool->budget.millitokens > tokens) {
            pool->budget.millitokens = tokens;
        }
    }
}

void
KcGateway_SetRetryBudget(KcGateway *gateway, int64_t percent, int64_t burst,
                         KcTime now)
{
    gateway->options.retry_percent = percent;
    gateway->options.retry_burst = burst;
    KcGateway_SetGatewayCount(gateway, gateway->gateways, now);
}

void
KcGateway_Drain(KcGateway *gateway, KcTime refuse_streams, KcTime refuse_all)
{
    gateway->refuse_streams = refuse_streams;
    gateway->refuse_all = refuse_all;
}

void
KcGateway_Abort(KcGateway *gateway, KcTime now)
{
    KcForward *forward;

    while ((forward = TAILQ_FIRST(&gateway->forwards)) != NULL) {
        KcForward_Abandon(forward, now);
    }
}

int
KcGateway_CheckReady(const KcGateway *gateway)
{
    if (gateway->routing == NULL) {
        return KC_ERR_NO_DOCUMENT;
    }
    return gateway->listed ? 0 : KC_ERR_NO_BACKEND;
}

uint32_t
KcGateway_CountInFlight(const KcGateway *gateway)
{
    return gateway->in_flight;
}
