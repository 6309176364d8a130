/*
 * Creation and options of the gateway, its routing, retry budget and planned
 * stop.
 */
#include <assert.h>
#include <stdlib.h>

#include "gateway_internal.h"

/* Gateways that share the retry budget, until their number is known. */
#define GATEWAY_COUNT_DEFAULT 8
/* Default of missing_timeout: the platform brings records back within two
 * seconds of an outage of its store. */
#define MISSING_TIMEOUT_DEFAULT (2200 * KC_MS)
#define VERSION_TIMEOUT_DEFAULT (5 * KC_SECOND)
#define CONFIG_TIMEOUT_DEFAULT (3 * KC_SECOND)

/* A new process lets callers wait for this long, less than a third of the
 * shortest deadline: after that they take what was not read as lost. */
#define OPEN_TIMEOUT (600 * KC_MS)

/* While requests are in flight a timer fires at this interval.  When it is
 * late by more than PAUSE_MIN, the process was paused, and the time does not
 * count as silence of its servers. */
#define PAUSE_CHECK_INTERVAL (100 * KC_MS)
#define PAUSE_MIN (60 * KC_MS)

static void
on_pause_timer(KcTimer *timer, KcTime now)
{
    KcGateway *gateway = timer->owner;

    if (now - timer->due_at > PAUSE_MIN) {
        gateway->last_pause_at = now;
        gateway->last_pause_length = now - timer->due_at;
    }
    if (gateway->in_flight > 0) {
        KcTimers_Set(gateway->options.timers, timer,
                     now + PAUSE_CHECK_INTERVAL);
    }
}

void
KcGateway_DetectPauses(KcGateway *gateway, KcTime now)
{
    if (!gateway->pause_timer.is_set) {
        KcTimers_Set(gateway->options.timers, &gateway->pause_timer,
                     now + PAUSE_CHECK_INTERVAL);
    }
}

KcTime
KcGateway_PauseLength(const KcGateway *gateway, KcTime now)
{
    const KcTimer *timer = &gateway->pause_timer;

    if (timer->is_set && now - timer->due_at > PAUSE_MIN) {
        return now - timer->due_at;
    }
    return gateway->last_pause_at != 0 &&
                   now - gateway->last_pause_at < PAUSE_CHECK_INTERVAL
               ? gateway->last_pause_length
               : 0;
}

bool
KcGateway_HasPaused(const KcGateway *gateway, KcTime now)
{
    return KcGateway_PauseLength(gateway, now) > 0;
}

static void
on_end_timer(KcTimer *timer, KcTime now)
{
    KcGateway_EndRequests(timer->owner, now);
}

void
KcGatewayOptions_Init(KcGatewayOptions *options)
{
    *options = (KcGatewayOptions){.retry_percent = 20,
                                  .retry_burst = 10,
                                  .missing_timeout = MISSING_TIMEOUT_DEFAULT,
                                  .version_timeout = VERSION_TIMEOUT_DEFAULT,
                                  .config_timeout = CONFIG_TIMEOUT_DEFAULT};
    KcSuspectOptions_Init(&options->suspects);
    KcQuotaOptions_Init(&options->quotas);
}

KcGateway *
KcGateway_Create(const KcGatewayOptions *options)
{
    KcGateway *gateway = KcMem_New(sizeof(*gateway));

    gateway->options = *options;
    gateway->gateway_count = GATEWAY_COUNT_DEFAULT;
    gateway->random_state = options->seed;
    gateway->refuse_at = KC_NEVER;
    gateway->end_at = KC_NEVER;
    KcText_Copy(gateway->datacentre, options->datacentre, KC_NAME_MAX);
    KcText_Copy(gateway->region,
                options->region_of(options->context, options->datacentre),
                KC_NAME_MAX);
    TAILQ_INIT(&gateway->forwards);
    KcTimer_Init(&gateway->pause_timer, on_pause_timer, gateway);
    KcTimer_Init(&gateway->end_timer, on_end_timer, gateway);
    gateway->quotas = KcQuotas_Create(&options->quotas);
    KcGateway_InitServers(gateway);
    return gateway;
}

void
KcGateway_Free(KcGateway *gateway)
{
    assert(TAILQ_EMPTY(&gateway->forwards));
    KcTimers_Clear(gateway->options.timers, &gateway->pause_timer);
    KcTimers_Clear(gateway->options.timers, &gateway->end_timer);
    KcGateway_ClearServers(gateway);
    KcRouting_Release(gateway->routing);
    KcQuotas_Free(gateway->quotas);
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

KcQuotas *
KcGateway_GetQuotas(KcGateway *gateway, KcTime now)
{
    if (gateway->routing != NULL &&
        gateway->routing->version != gateway->quotas_version) {
        gateway->quotas_version = gateway->routing->version;
        KcQuotas_SetCustomers(gateway->quotas, gateway->routing, now);
    }
    return gateway->quotas;
}

static void
set_retry_budgets(KcGateway *gateway)
{
    KcServerPool *pool;
    KcServerPool *next;

    HASH_ITER(hh, gateway->pools, pool, next)
    {
        int64_t millitokens = pool->retry_budget.millitokens;

        KcRetryBudget_Init(&pool->retry_budget, gateway->options.retry_percent,
                           gateway->options.retry_burst /
                               gateway->gateway_count);
        if (pool->retry_budget.millitokens > millitokens) {
            pool->retry_budget.millitokens = millitokens;
        }
    }
}

void
KcGateway_SetGatewayCount(KcGateway *gateway, uint32_t gateway_count,
                          KcTime now)
{
    if (gateway_count == 0) {
        return;
    }
    gateway->gateway_count = gateway_count;
    KcQuotas_SetGatewayCount(gateway->quotas, gateway_count, now);
    set_retry_budgets(gateway);
}

void
KcGateway_SetRetryBudget(KcGateway *gateway, int64_t percent, int64_t burst,
                         KcTime now)
{
    (void)now;
    gateway->options.retry_percent = percent;
    gateway->options.retry_burst = burst;
    set_retry_budgets(gateway);
}

void
KcGateway_SetExtraFraction(KcGateway *gateway, double extra_fraction)
{
    KcServerPool *pool;
    KcServerPool *next;

    gateway->options.extra_fraction = extra_fraction;
    HASH_ITER(hh, gateway->pools, pool, next)
    {
        KcSecondAttempts_SetLimit(&pool->second_attempts, extra_fraction);
    }
}

void
KcGateway_Drain(KcGateway *gateway, KcTime refuse_at, KcTime end_at)
{
    gateway->refuse_at = refuse_at;
    gateway->end_at = end_at;
    KcTimers_Set(gateway->options.timers, &gateway->end_timer, end_at);
}

bool
KcGateway_HasEnded(const KcGateway *gateway, KcTime now)
{
    return now >= gateway->end_at;
}

void
KcGateway_EndRequests(KcGateway *gateway, KcTime now)
{
    KcForward *forward;

    KcTimers_Clear(gateway->options.timers, &gateway->end_timer);
    if (!KcGateway_HasEnded(gateway, now)) {
        gateway->refuse_at = now;
        gateway->end_at = now;
    }
    while ((forward = TAILQ_FIRST(&gateway->forwards)) != NULL) {
        KcForward_FailLeaving(forward, now);
    }
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
    return gateway->server_list_known ? 0 : KC_ERR_NO_BACKEND;
}

KcTime
KcGateway_OpensAt(const KcGateway *gateway, KcTime started_at, KcTime now)
{
    KcTime latest = started_at + OPEN_TIMEOUT;

    return KcGateway_CheckReady(gateway) == 0 || latest < now ? now : latest;
}

uint32_t
KcGateway_CountInFlight(const KcGateway *gateway)
{
    return gateway->in_flight;
}
