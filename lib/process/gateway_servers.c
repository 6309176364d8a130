/*
 * What a gateway knows of backend servers.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway_internal.h"

/* Servers that stay missing are looked for this often. */
#define SWEEP_INTERVAL (250 * KC_MS)
/* A server is left alone after a failure: doubles from first to last. */
#define SUSPECT_FIRST (100 * KC_MS)
#define SUSPECT_LAST (2 * KC_SECOND)
/* Weight of the newest sending in aged shares and times. */
#define AGING 0.1
/* The same for times to the first byte, which tell of load. */
#define FIRST_AGING 0.2

/* ---- what a server says -------------------------------------------------- */

void
KcServerInfo_Init(KcServerInfo *info)
{
    memset(info, 0, sizeof(*info));
    TAILQ_INIT(&info->replicas);
}

void
KcServerInfo_AddReplica(KcServerInfo *info, const char *model,
                        const char *adapter, uint32_t version, bool coming)
{
    KcReplicaInfo *held = KcMem_New(sizeof(*held));

    KcText_Copy(held->model, model, KC_NAME_MAX);
    KcText_Copy(held->adapter, adapter, KC_NAME_MAX);
    held->version = version;
    held->loading = coming;
    TAILQ_INSERT_TAIL(&info->replicas, held, link);
}

void
KcServerInfo_Clear(KcServerInfo *info)
{
    KcReplicaInfo *held;

    while ((held = TAILQ_FIRST(&info->replicas)) != NULL) {
        TAILQ_REMOVE(&info->replicas, held, link);
        free(held);
    }
}

/* ---- servers ------------------------------------------------------------- */

KcServerPool *
KcGateway_Pool(KcGateway *gateway, const char *service)
{
    KcServerPool *pool;

    HASH_FIND_STR(gateway->pools, service, pool);
    if (pool == NULL) {
        pool = KcMem_New(sizeof(*pool));
        KcText_Copy(pool->service, service, KC_NAME_MAX);
        pool->gateway = gateway;
        TAILQ_INIT(&pool->servers);
        TAILQ_INIT(&pool->queue);
        KcRetryBudget_Init(
            &pool->budget, gateway->options.retry_percent,
            gateway->options.retry_burst /
                (gateway->gateways > 0 ? gateway->gateways : 1));
        /* An earlier process of this gateway may have spent its part. */
        pool->budget.millitokens /= 2;
        HASH_ADD_STR(gateway->pools, service, pool);
    }
    return pool;
}

KcServer *
KcGateway_FindServer(const KcGateway *gateway, const char *id)
{
    KcServer *server;

    HASH_FIND_STR(gateway->servers, id, server);
    return server;
}

static KcDistance
distance_to(const KcGateway *gateway, const char *datacentre)
{
    const KcGatewayOptions *options = &gateway->options;

    if (strcmp(datacentre, gateway->datacentre) == 0) {
        return KC_DISTANCE_DATACENTRE;
    }
    if (strcmp(options->region_of(options->context, datacentre),
               gateway->region) == 0) {
        return KC_DISTANCE_REGION;
    }
    return KC_DISTANCE_REMOTE;
}

static KcServer *
add_server(KcGateway *gateway, const KcServerInfo *info)
{
    KcServer *server = KcMem_New(sizeof(*server));

    KcText_Copy(server->id, info->id, KC_NAME_MAX);
    server->hash = XXH3_64bits(info->id, strlen(info->id));
    server->pool = KcGateway_Pool(gateway, info->service);
    TAILQ_INIT(&server->holdings);
    HASH_ADD_STR(gateway->servers, id, server);
    TAILQ_INSERT_TAIL(&server->pool->servers, server, link);
    return server;
}

/* The server is another one than before under the same id. */
static void
renew_server(KcGateway *gateway, KcServer *server)
{
    KcServer_DropHeld(gateway, server, true);
    server->keeper = false;
    server->told_leaving = false;
    server->others_in_flight = 0;
    server->load_reported_at = 0;
    server->failures = 0;
    server->failure_share = 0;
    server->slow = 0;
    server->suspect_until = 0;
    gateway->options.ops->forget(gateway->options.context, server);
}

void
KcGateway_OnServerRecord(KcGateway *gateway, const KcServerInfo *info,
                         uint64_t revision, KcTime now)
{
    KcServer *server = KcGateway_FindServer(gateway, info->id);

    if (server != NULL) {
        server->epoch = gateway->list_epoch;
    }
    if (server != NULL && revision < server->record_revision) {
        return;
    }
    if (server == NULL) {
        server = add_server(gateway, info);
        server->epoch = gateway->list_epoch;
    }
    else if (strcmp(server->address, info->address) != 0 ||
             server->started_at_ms != info->started_at_ms) {
        renew_server(gateway, server);
    }
    if (strcmp(server->pool->service, info->service) != 0) {
        TAILQ_REMOVE(&server->pool->servers, server, link);
        server->pool = KcGateway_Pool(gateway, info->service);
        TAILQ_INSERT_TAIL(&server->pool->servers, server, link);
    }
    server->record_revision = revision;
    server->started_at_ms = info->started_at_ms;
    KcText_Copy(server->address, info->address, KC_ADDRESS_MAX);
    KcText_Copy(server->datacentre, info->datacentre, KC_NAME_MAX);
    server->distance = distance_to(gateway, info->datacentre);
    server->concurrency_max =
        info->concurrency_max > 0 ? info->concurrency_max : 1;
    server->leaving = info->leaving;
    server->missing_at = 0;
    KcServer_SetHeld(gateway, server, info, now);
    KcGateway_DispatchQueue(server->pool, now);
}

void
KcGateway_OnServerRecordMissing(KcGateway *gateway, const char *id, bool sure,
                                KcTime now)
{
    KcServer *server = KcGateway_FindServer(gateway, id);

    if (server == NULL) {
        return;
    }
    server->leaving = server->leaving || sure;
    if (server->missing_at != 0) {
        return;
    }
    server->missing_at = now;
    if (!gateway->sweep.is_set) {
        KcTimers_Set(gateway->options.timers, &gateway->sweep,
                     now + SWEEP_INTERVAL);
    }
}

static void
free_server(KcGateway *gateway, KcServer *server)
{
    KcServer_DropHeld(gateway, server, true);
    gateway->options.ops->forget(gateway->options.context, server);
    assert(TAILQ_EMPTY(&server->holdings));
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(gateway->servers, server);
    TAILQ_REMOVE(&server->pool->servers, server, link);
    free(server);
}

/* Does a request still refer to the server? */
static bool
referred_to(const KcGateway *gateway, const KcServer *server)
{
    const KcForward *forward;

    TAILQ_FOREACH (forward, &gateway->forwards, link) {
        if (forward->server == server || KcForward_HasTried(forward, server)) {
            return true;
        }
    }
    return false;
}

static void
on_sweep(KcTimer *timer, KcTime now)
{
    KcGateway *gateway = timer->owner;
    KcServer *server;
    KcServer *next;
    bool again = false;

    HASH_ITER(hh, gateway->servers, server, next)
    {
        if (server->missing_at == 0) {
            continue;
        }
        again = true;
        KcGateway_EndLost(gateway, server, now);
        if (now - server->missing_at < gateway->options.missing) {
            continue;
        }
        server->leaving = true;
        if (!referred_to(gateway, server)) {
            free_server(gateway, server);
        }
    }
    if (again) {
        KcTimers_Set(gateway->options.timers, timer, now + SWEEP_INTERVAL);
    }
}

void
KcGateway_BeginServerList(KcGateway *gateway)
{
    gateway->list_epoch++;
}

void
KcGateway_EndServerList(KcGateway *gateway, KcTime now)
{
    KcServer *server;
    KcServer *next;

    gateway->listed = true;
    HASH_ITER(hh, gateway->servers, server, next)
    {
        if (server->epoch != gateway->list_epoch) {
            KcGateway_OnServerRecordMissing(gateway, server->id, false, now);
        }
    }
}

void
KcGateway_VisitServers(KcGateway *gateway,
                       void (*visit)(void *context, KcServer *server),
                       void *context)
{
    KcServer *server;
    KcServer *next;

    HASH_ITER(hh, gateway->servers, server, next)
    {
        visit(context, server);
    }
}

/* ---- how servers do ------------------------------------------------------ */

void
KcGateway_OnLoadReport(KcServer *server, uint32_t running, uint32_t waiting,
                       uint32_t places, KcTime now)
{
    uint32_t total = running + waiting;

    server->others_in_flight =
        total > server->in_flight ? total - server->in_flight : 0;
    server->load_reported_at = now;
    if (places > 0) {
        server->concurrency_max = places;
    }
}

void
KcServer_NoteSuccess(KcServer *server)
{
    server->failures = 0;
    server->suspect_until = 0;
    server->failure_share *= 1.0 - AGING;
}

void
KcServer_NoteFirst(KcServer *server, KcTime took, KcTime now)
{
    server->slow += (KcTime)((double)(took - server->slow) * FIRST_AGING);
    server->slow_at = now;
}

void
KcServer_NoteFailure(KcServer *server, KcAttemptEnd end, KcTime now)
{
    KcTime delay = SUSPECT_FIRST;

    if (end == KC_ATTEMPT_REFUSED) {
        return;
    }
    server->failure_share += (1.0 - server->failure_share) * AGING;
    server->failed_at = now;
    if (end == KC_ATTEMPT_FAILED) {
        return; /* it answers, if not well */
    }
    for (uint32_t i = 0; i < server->failures && delay < SUSPECT_LAST; i++) {
        delay *= 2;
    }
    server->failures++;
    server->suspect_until =
        now + (delay < SUSPECT_LAST ? delay : SUSPECT_LAST);
}

/* ---- life ---------------------------------------------------------------- */

void
KcGateway_InitServers(KcGateway *gateway)
{
    TAILQ_INIT(&gateway->adapter_list);
    TAILQ_INIT(&gateway->untold);
    KcTimer_Init(&gateway->sweep, on_sweep, gateway);
}

void
KcGateway_ClearServers(KcGateway *gateway)
{
    KcServer *server;
    KcServer *next_server;
    KcServerPool *pool;
    KcServerPool *next_pool;

    KcTimers_Clear(gateway->options.timers, &gateway->sweep);
    HASH_ITER(hh, gateway->servers, server, next_server)
    {
        free_server(gateway, server);
    }
    HASH_ITER(hh, gateway->pools, pool, next_pool)
    {
        HASH_DEL(gateway->pools, pool);
        free(pool);
    }
    KcGateway_ClearAdapters(gateway);
}
