/*
 * The backend servers that a gateway knows: their records, their load and
 * their failures.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway_internal.h"

/* Servers whose record is missing are checked at this interval. */
#define MISSING_CHECK_INTERVAL (250 * KC_MS)
/* Time for which a server is avoided after a failure: doubles with each
 * further one in a row, from the minimum to the maximum. */
#define SUSPECT_DURATION_MIN (100 * KC_MS)
#define SUSPECT_DURATION_MAX (2 * KC_SECOND)
/* Weight of the latest attempt in failure_ewma. */
#define FAILURE_EWMA_WEIGHT 0.1
/* Weight of the latest attempt in first_byte_ewma; higher, as the time to the
 * first byte follows the server's load. */
#define FIRST_BYTE_EWMA_WEIGHT 0.2
/* Weight of one answer in the mean work of a service. */
#define WORK_EWMA_WEIGHT 0.02
/* A server that said that it leaves is remembered for this long without a
 * record: a store that comes back may still have an old one.  Longer than
 * regions lose each other. */
#define LEFT_SERVER_KEPT_TIME (2 * 3600 * KC_SECOND)

/* ---- decoded records ----------------------------------------------------- */

void
KcServerInfo_Init(KcServerInfo *info)
{
    memset(info, 0, sizeof(*info));
    TAILQ_INIT(&info->replicas);
}

void
KcServerInfo_AddReplica(KcServerInfo *info, const char *model,
                        const char *adapter, uint32_t version, bool loading)
{
    KcReplicaInfo *replica_info = KcMem_New(sizeof(*replica_info));

    KcText_Copy(replica_info->model, model, KC_NAME_MAX);
    KcText_Copy(replica_info->adapter, adapter, KC_NAME_MAX);
    replica_info->version = version;
    replica_info->loading = loading;
    TAILQ_INSERT_TAIL(&info->replicas, replica_info, link);
}

void
KcServerInfo_Clear(KcServerInfo *info)
{
    KcReplicaInfo *replica_info;

    while ((replica_info = TAILQ_FIRST(&info->replicas)) != NULL) {
        TAILQ_REMOVE(&info->replicas, replica_info, link);
        free(replica_info);
    }
}

/* ---- servers ------------------------------------------------------------- */

void
KcServerPool_Init(KcServerPool *pool, KcGateway *gateway, const char *service)
{
    *pool = (KcServerPool){.gateway = gateway};
    KcText_Copy(pool->service, service, KC_NAME_MAX);
    TAILQ_INIT(&pool->servers);
    TAILQ_INIT(&pool->queue);
    KcRetryBudget_Init(
        &pool->retry_budget, gateway->options.retry_percent,
        gateway->options.retry_burst /
            (gateway->gateway_count > 0 ? gateway->gateway_count : 1));
    /* Starts half full: an earlier process may have spent its budget. */
    pool->retry_budget.millitokens /= 2;
    KcSecondAttempts_SetLimit(&pool->second_attempts,
                              gateway->options.extra_fraction);
    KcServerPool_InitSuspects(pool);
}

KcServerPool *
KcGateway_FindPool(const KcGateway *gateway, const char *service)
{
    KcServerPool *pool;

    HASH_FIND_STR(gateway->pools, service, pool);
    return pool;
}

KcServerPool *
KcGateway_GetPool(KcGateway *gateway, const char *service)
{
    KcServerPool *pool = KcGateway_FindPool(gateway, service);

    if (pool == NULL) {
        pool = KcMem_New(sizeof(*pool));
        KcServerPool_Init(pool, gateway, service);
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
    server->id_hash = XXH3_64bits(info->id, strlen(info->id));
    server->pool = KcGateway_GetPool(gateway, info->service);
    TAILQ_INIT(&server->replicas);
    KcServer_InitNotices(server);
    HASH_ADD_STR(gateway->servers, id, server);
    TAILQ_INSERT_TAIL(&server->pool->servers, server, link);
    return server;
}

static void
release_address(KcGateway *gateway, KcServer *server)
{
    if (server->has_address) {
        server->has_address = false;
        HASH_DELETE(hh_address, gateway->servers_by_address, server);
    }
}

/* Handles the end of a server whose address belongs to a later one, although
 * its record may stay for seconds. */
static void
end_superseded_server(KcGateway *gateway, KcServer *server, KcTime now)
{
    KcGateway_OnServerRecordMissing(gateway, server->id, true, now);
    gateway->options.ops->close_connections(gateway->options.context, server);
    KcGateway_OnKeeperLost(gateway, server, now);
    KcServer_DropReplicas(gateway, server, true);
}

/* Is it the later one of two servers with one address? */
static bool
is_later_server(const KcServer *server, const KcServer *other)
{
    /* A record that returns from a copy is of the later era, but its server
     * may have ended long ago. */
    if (server->record_revision.era != other->record_revision.era &&
        server->started_at_ms != other->started_at_ms &&
        server->started_at_ms != 0 && other->started_at_ms != 0) {
        return server->started_at_ms > other->started_at_ms;
    }
    return KcRevision_Compare(server->record_revision,
                              other->record_revision) > 0;
}

/* Gives the server its address, unless a later server has that.  Returns
 * whether it has it. */
static bool
claim_address(KcGateway *gateway, KcServer *server, KcTime now)
{
    KcServer *other;

    HASH_FIND(hh_address, gateway->servers_by_address, server->address,
              strlen(server->address), other);
    if (other == server) {
        return true;
    }
    if (other != NULL && is_later_server(other, server)) {
        end_superseded_server(gateway, server, now);
        return false;
    }
    if (other != NULL) {
        release_address(gateway, other);
        end_superseded_server(gateway, other, now);
    }
    HASH_ADD(hh_address, gateway->servers_by_address, address[0],
             strlen(server->address), server);
    server->has_address = true;
    return true;
}

/* Forgets what belongs to an earlier server of the same id: the server has
 * restarted or has another address. */
static void
reset_server(KcGateway *gateway, KcServer *server)
{
    KcServer_DropReplicas(gateway, server, true);
    server->has_keeper_reports = false;
    server->leaving_by_keeper = false;
    server->others_in_flight = 0;
    server->load_reported_at = 0;
    server->consecutive_failures = 0;
    server->failure_ewma = 0;
    server->first_byte_ewma = 0;
    server->suspect_until = 0;
    server->alive_at = 0;
    gateway->options.ops->close_connections(gateway->options.context, server);
}

/* Is the record, which may be of the copy that the store was restored from, of
 * an earlier instance than the known one, which registers again soon? */
static bool
is_predecessor(const KcGateway *gateway, const KcServer *server,
               const KcServerInfo *info, KcTime now)
{
    bool is_overdue =
        server->missing_at != 0 &&
        now - server->missing_at >= gateway->options.missing_timeout;

    return !is_overdue && info->started_at_ms != 0 &&
           info->started_at_ms < server->started_at_ms;
}

void
KcGateway_OnServerRecord(KcGateway *gateway, const KcServerInfo *info,
                         KcRevision revision, KcTime now)
{
    KcServer *server = KcGateway_FindServer(gateway, info->id);
    bool may_be_restored =
        server != NULL && revision.era != server->record_revision.era;

    if (server != NULL) {
        server->list_epoch = gateway->current_list_epoch;
    }
    if (server != NULL &&
        KcRevision_Compare(revision, server->record_revision) < 0) {
        return;
    }
    if (may_be_restored && is_predecessor(gateway, server, info, now)) {
        KcGateway_OnServerRecordMissing(gateway, info->id, false, now);
        return;
    }
    if (server == NULL) {
        server = add_server(gateway, info);
        server->list_epoch = gateway->current_list_epoch;
    }
    else if (strcmp(server->address, info->address) != 0 ||
             server->started_at_ms != info->started_at_ms) {
        may_be_restored = false;
        reset_server(gateway, server);
        KcServer_ReviewNotices(server, info->started_at_ms);
    }
    if (strcmp(server->pool->service, info->service) != 0) {
        TAILQ_REMOVE(&server->pool->servers, server, link);
        server->pool = KcGateway_GetPool(gateway, info->service);
        TAILQ_INSERT_TAIL(&server->pool->servers, server, link);
    }
    server->has_announced_end =
        info->leaving || (may_be_restored && server->has_announced_end);
    server->leaving = server->has_announced_end;
    server->record_revision = revision;
    server->started_at_ms = info->started_at_ms;
    if (strcmp(server->address, info->address) != 0) {
        release_address(gateway, server);
        KcText_Copy(server->address, info->address, KC_ADDRESS_MAX);
    }
    KcText_Copy(server->datacentre, info->datacentre, KC_NAME_MAX);
    server->distance = distance_to(gateway, info->datacentre);
    server->concurrency_max =
        info->concurrency_max > 0 ? info->concurrency_max : 1;
    if (!claim_address(gateway, server, now)) {
        return;
    }
    server->missing_at = 0;
    if (!may_be_restored || server->held_revision.number == 0) {
        KcServer_SetReplicas(gateway, server, info, now);
    }
    KcGateway_DispatchQueue(server->pool, now);
}

/* Makes the timer of missing records fire at due_at or before. */
static void
check_missing_at(KcGateway *gateway, KcTime due_at)
{
    KcTimer *timer = &gateway->missing_timer;

    if (!timer->is_set || timer->due_at > due_at) {
        KcTimers_Set(gateway->options.timers, timer, due_at);
    }
}

void
KcGateway_OnServerRecordMissing(KcGateway *gateway, const char *id,
                                bool is_deleted, KcTime now)
{
    KcServer *server = KcGateway_FindServer(gateway, id);

    if (server == NULL) {
        return;
    }
    server->leaving = server->leaving || is_deleted;
    if (server->missing_at != 0) {
        return;
    }
    server->missing_at = now;
    check_missing_at(gateway, now + MISSING_CHECK_INTERVAL);
}

/* Frees what belongs to a server that has ended. */
static void
retire_server(KcGateway *gateway, KcServer *server)
{
    release_address(gateway, server);
    KcServer_DropReplicas(gateway, server, true);
    gateway->options.ops->close_connections(gateway->options.context, server);
}

static void
free_server(KcGateway *gateway, KcServer *server)
{
    retire_server(gateway, server);
    KcServer_ClearNotices(server);
    assert(TAILQ_EMPTY(&server->replicas));
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(gateway->servers, server);
    TAILQ_REMOVE(&server->pool->servers, server, link);
    free(server);
}

/* Does a request refer to the server? */
static bool
is_referenced(const KcGateway *gateway, const KcServer *server)
{
    const KcForward *forward;

    TAILQ_FOREACH (forward, &gateway->forwards, link) {
        if (forward->server == server || KcForward_HasTried(forward, server)) {
            return true;
        }
    }
    return false;
}

/* Until when the server must not be forgotten, as its notices would be too. */
static KcTime
remembered_until(const KcServer *server)
{
    return server->leaving_by_answer
               ? server->missing_at + LEFT_SERVER_KEPT_TIME
               : server->closed_until;
}

static void
on_missing_timer(KcTimer *timer, KcTime now)
{
    KcGateway *gateway = timer->owner;
    KcServer *server;
    KcServer *next;

    HASH_ITER(hh, gateway->servers, server, next)
    {
        if (server->missing_at == 0) {
            continue;
        }
        if (now - server->missing_at < gateway->options.missing_timeout) {
            check_missing_at(gateway, now + MISSING_CHECK_INTERVAL);
            continue;
        }
        server->leaving = true;
        if (is_referenced(gateway, server)) {
            check_missing_at(gateway, now + MISSING_CHECK_INTERVAL);
        }
        else if (now < remembered_until(server)) {
            retire_server(gateway, server);
            check_missing_at(gateway, remembered_until(server));
        }
        else {
            free_server(gateway, server);
        }
    }
}

void
KcGateway_BeginServerList(KcGateway *gateway)
{
    gateway->current_list_epoch++;
}

void
KcGateway_EndServerList(KcGateway *gateway, KcTime now)
{
    KcServer *server;
    KcServer *next;

    gateway->server_list_known = true;
    HASH_ITER(hh, gateway->servers, server, next)
    {
        if (server->list_epoch != gateway->current_list_epoch) {
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

/* ---- load and failures --------------------------------------------------- */

void
KcGateway_OnLoadReport(KcServer *server, uint32_t running, uint32_t waiting,
                       uint32_t concurrency_max, KcTime now)
{
    uint64_t total = (uint64_t)running + waiting;

    if (total > KC_SERVER_REQUESTS_MAX ||
        concurrency_max > KC_SERVER_REQUESTS_MAX) {
        return;
    }
    server->others_in_flight =
        total > server->in_flight ? (uint32_t)total - server->in_flight : 0;
    server->load_reported_at = now;
    if (concurrency_max > 0) {
        server->concurrency_max = concurrency_max;
    }
}

void
KcGateway_OnServerAlive(KcServer *server, KcTime now)
{
    server->alive_at = now;
}

void
KcServer_NoteSuccess(KcServer *server)
{
    server->consecutive_failures = 0;
    server->suspect_until = 0;
    server->failure_ewma *= 1.0 - FAILURE_EWMA_WEIGHT;
}

void
KcServer_NoteFirstByte(KcServer *server, KcTime duration, KcTime now)
{
    server->first_byte_ewma +=
        (KcTime)((double)(duration - server->first_byte_ewma) *
                 FIRST_BYTE_EWMA_WEIGHT);
    server->first_byte_ewma_at = now;
    KcQueuePace_NoteFirstByte(&server->pool->pace, duration);
}

void
KcServer_NoteWork(KcServer *server, KcTime duration, KcTime now)
{
    KcTime *work = &server->pool->work_ewma;
    KcTime usual;

    if (KcSpeed_IsTold(&server->speed)) {
        usual = duration * KC_SPEED_USUAL_PERCENT /
                (KcTime)KcSpeed_Percent(&server->speed, now);
        *work += (KcTime)((double)(usual - *work) * WORK_EWMA_WEIGHT);
    }
}

void
KcServer_NoteFailure(KcServer *server, KcAttemptEnd end, KcTime now)
{
    KcTime duration = SUSPECT_DURATION_MIN;

    if (end == KC_ATTEMPT_REFUSED) {
        return;
    }
    server->failure_ewma += (1.0 - server->failure_ewma) * FAILURE_EWMA_WEIGHT;
    server->last_failure_at = now;
    if (end == KC_ATTEMPT_FAILED) {
        return; /* the server answers, so it is not suspect */
    }
    for (uint32_t i = 0;
         i < server->consecutive_failures && duration < SUSPECT_DURATION_MAX;
         i++) {
        duration *= 2;
    }
    server->consecutive_failures++;
    server->suspect_until =
        now +
        (duration < SUSPECT_DURATION_MAX ? duration : SUSPECT_DURATION_MAX);
}

/* ---- set-up and end ------------------------------------------------------ */

void
KcGateway_InitServers(KcGateway *gateway)
{
    TAILQ_INIT(&gateway->adapter_list);
    TAILQ_INIT(&gateway->unreported);
    KcTimer_Init(&gateway->missing_timer, on_missing_timer, gateway);
}

void
KcGateway_ClearServers(KcGateway *gateway)
{
    KcServer *server;
    KcServer *next_server;
    KcServerPool *pool;
    KcServerPool *next_pool;

    KcTimers_Clear(gateway->options.timers, &gateway->missing_timer);
    HASH_ITER(hh, gateway->servers, server, next_server)
    {
        free_server(gateway, server);
    }
    HASH_ITER(hh, gateway->pools, pool, next_pool)
    {
        HASH_DEL(gateway->pools, pool);
        KcTurns_Clear(&pool->turns);
        KcServerPool_ClearSuspects(pool);
        free(pool);
    }
    KcGateway_ClearAdapters(gateway);
}
