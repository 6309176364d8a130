/*
 * Chooses the backend server for a request.
 *
 * The server of the lowest cost is taken, see gateway_cost.c.  A request for a
 * loaded adapter is decided in time linear in the adapter's replicas; one that
 * needs a load, or names no model, in time linear in the service's servers.
 */
#include "gateway_internal.h"

/* Added cost of a full server: OVERLOAD_COST in gateway_cost.c, as for a load
 * of twice its concurrency limit. */
#define FULL_COST (800 * KC_MS)
/* A further replica is loaded when the load of the best one's server is above
 * this percentage of its concurrency limit. */
#define REPLICA_LOAD_MAX_PERCENT 60
/* A replica is loaded nearer to this gateway when the adapter's use count is
 * above this. */
#define NEARER_REPLICA_USES 20.0
/* Least time between load requests for further replicas of an adapter. */
#define REPLICA_LOAD_INTERVAL (500 * KC_MS)
/* Least time between load requests for an adapter that has fewer replicas than
 * due_replica_count(). */
#define SPREAD_LOAD_INTERVAL (50 * KC_MS)
/* Subtracted from an adapter's use count when its share of all requests is
 * estimated: few requests say little. */
#define SPREAD_USES_DISCOUNT 2.0
/* Added to the use count of all adapters in that estimate, so that a few
 * requests are no large share. */
#define SPREAD_TOTAL_PRIOR 8.0

bool
KcForward_MayUse(const KcForward *forward, const KcServer *server, KcTime now)
{
    return KcServer_TakesRequests(server, now) &&
           !KcForward_HasTried(forward, server);
}

/* ---- when no server takes the request now -------------------------------- */

/* Is some server of the service closed and not leaving?  Seldom, so that the
 * servers are seldom surveyed. */
static bool
any_closed(const KcServerPool *pool, KcTime now)
{
    const KcServer *server;

    TAILQ_FOREACH (server, &pool->servers, link) {
        if (server->closed_until > now && !KcServer_IsLeaving(server)) {
            return true;
        }
    }
    return false;
}

/* Could the server take the request, or one like it, if it were open? */
static bool
is_candidate(const KcForward *forward, const KcServer *server,
             bool needs_base_model)
{
    return !KcServer_IsLeaving(server) &&
           (!needs_base_model ||
            KcServer_HasBaseModel(server, forward->adapter->model));
}

/* When the first server opens that could take the request; 0 if none is closed
 * or another one is open.  with_tried: as if it had not been tried anywhere.
 */
static KcTime
first_opening(const KcForward *forward, bool with_tried, KcTime now)
{
    const KcServer *server;
    bool needs_base_model;
    KcTime first = KC_NEVER;

    if (!any_closed(forward->pool, now)) {
        return 0;
    }
    needs_base_model =
        forward->adapter != NULL && KcForward_IsBaseModelHeld(forward);
    TAILQ_FOREACH (server, &forward->pool->servers, link) {
        if (!is_candidate(forward, server, needs_base_model) ||
            (!with_tried && KcForward_HasTried(forward, server))) {
            continue;
        }
        if (server->closed_until <= now) {
            return 0;
        }
        first = server->closed_until < first ? server->closed_until : first;
    }
    return first != KC_NEVER ? first : 0;
}

KcTime
KcGateway_FirstOpening(const KcForward *forward, KcTime now)
{
    return first_opening(forward, true, now);
}

static bool
are_all_leaving(const KcServerPool *pool)
{
    const KcServer *server;

    TAILQ_FOREACH (server, &pool->servers, link) {
        if (!KcServer_IsLeaving(server)) {
            return false;
        }
    }
    return !TAILQ_EMPTY(&pool->servers);
}

/* Chooses how to wait; otherwise is the action if no server is closed. */
static void
choose_wait(const KcForward *forward, KcChoiceAction otherwise, KcTime now,
            KcChoice *choice)
{
    choice->server = NULL;
    choice->action = otherwise;
    choice->opens_at = first_opening(forward, false, now);
    if (are_all_leaving(forward->pool)) {
        choice->action = KC_CHOICE_REFUSE;
    }
    else if (choice->opens_at != 0) {
        choice->action = KC_CHOICE_AWAIT_OPENING;
    }
}

/* ---- requests without a model -------------------------------------------- */

static void
choose_server(const KcForward *forward, KcTime now, KcChoice *choice)
{
    KcServer *server;
    KcTime lowest_cost = 0;
    bool any_eligible = false;

    TAILQ_FOREACH (server, &forward->pool->servers, link) {
        KcTime cost;

        if (!KcForward_MayUse(forward, server, now)) {
            continue;
        }
        any_eligible = true;
        cost = KcServer_Cost(server, forward, now);
        if (KcServer_IsFull(server, forward, now) ||
            (choice->server != NULL && cost >= lowest_cost)) {
            continue;
        }
        choice->server = server;
        lowest_cost = cost;
    }
    if (choice->server != NULL) {
        choice->action = KC_CHOICE_SEND;
    }
    else {
        choose_wait(forward, any_eligible ? KC_CHOICE_QUEUE : KC_CHOICE_NONE,
                    now, choice);
    }
}

/* ---- requests for a model ------------------------------------------------ */

/* The usable replica at the server of the lowest cost, which may be full. */
static KcReplica *
find_best_replica(const KcForward *forward, KcTime now)
{
    KcReplica *replica;
    KcReplica *best = NULL;
    KcTime lowest_cost = 0;

    TAILQ_FOREACH (replica, &forward->adapter->replicas, adapter_link) {
        KcTime cost;

        if (replica->server->pool != forward->pool ||
            !KcReplica_IsUsable(replica, now) ||
            !KcForward_MayUse(forward, replica->server, now)) {
            continue;
        }
        cost = KcServer_Cost(replica->server, forward, now);
        if (KcServer_IsFull(replica->server, forward, now)) {
            cost += FULL_COST;
        }
        if (best == NULL || cost < lowest_cost) {
            best = replica;
            lowest_cost = cost;
        }
    }
    return best;
}

static KcReplica *
find_loading_replica(const KcForward *forward, KcTime now)
{
    KcReplica *replica;

    TAILQ_FOREACH (replica, &forward->adapter->replicas, adapter_link) {
        if (replica->loading && replica->server->pool == forward->pool &&
            KcForward_MayUse(forward, replica->server, now)) {
            return replica;
        }
    }
    return NULL;
}

/* Is the best replica of an older version than the newest?  NULL: there is
 * none. */
static bool
serves_older_version(const KcReplica *best)
{
    return best != NULL && best->version < best->adapter->newest_version;
}

/* Should another server take over some of this replica's requests?  Not of an
 * adapter that is seldom asked for, if its server is only slow or has much to
 * do: this request goes there anyhow, and the next one comes later. */
static bool
needs_further_replica(const KcForward *forward, const KcReplica *replica,
                      KcTime now)
{
    const KcServer *server = replica->server;

    return serves_older_version(replica) || KcServer_IsFailing(server, now) ||
           (KcUseCount_Value(&forward->adapter->uses, now) >
                SPREAD_USES_DISCOUNT &&
            (KcServer_Load(server, now) * 100 >
                 server->concurrency_max * REPLICA_LOAD_MAX_PERCENT ||
             KcServer_IsSlow(server, forward, now)));
}

/* Number of replicas with which a server gets no more requests for this
 * adapter than the mean server gets for all adapters. */
static uint32_t
due_replica_count(const KcForward *forward, KcTime now)
{
    KcServerPool *pool = forward->pool;
    double uses = KcUseCount_Value(&forward->adapter->uses, now);
    double total = KcUseCount_Value(&pool->adapter_uses, now);

    KcServerPool_RefreshMeans(pool, now);
    if (uses <= SPREAD_USES_DISCOUNT) {
        return 1;
    }
    return 1 +
           (uint32_t)((uses - SPREAD_USES_DISCOUNT) /
                      (total + SPREAD_TOTAL_PRIOR) * pool->mean_server_count);
}

/* Number of the adapter's replicas that are usable or will be. */
static uint32_t
count_replicas(const KcForward *forward, KcTime now)
{
    const KcReplica *replica;
    uint32_t count = 0;

    TAILQ_FOREACH (replica, &forward->adapter->replicas, adapter_link) {
        if (replica->server->pool == forward->pool &&
            KcReplica_IsCurrent(replica, now) &&
            KcForward_MayUse(forward, replica->server, now)) {
            count++;
        }
    }
    return count;
}

/* Has the adapter fewer replicas than its share of all requests calls for? */
static bool
should_spread(const KcForward *forward, KcTime now)
{
    const KcAdapterState *adapter = forward->adapter;

    return now - adapter->load_requested_at >= SPREAD_LOAD_INTERVAL &&
           count_replicas(forward, now) < due_replica_count(forward, now);
}

/*
 * The server to load a further replica at; NULL when none is needed or none
 * has capacity.  It may be at any distance, except when only a nearer replica
 * is needed.
 */
static KcServer *
find_new_replica_server(const KcForward *forward, const KcReplica *best,
                        KcTime now)
{
    const KcAdapterState *adapter = forward->adapter;
    KcServer *server;

    if (adapter->name[0] == '\0' || TAILQ_EMPTY(&adapter->replicas)) {
        return NULL;
    }
    if (should_spread(forward, now)) {
        server = KcForward_FindHome(forward, KC_DISTANCE_REMOTE, NULL, now);
        if (server != NULL || !serves_older_version(best)) {
            return server;
        }
    }
    if (best == NULL || find_loading_replica(forward, now) != NULL ||
        now - adapter->load_requested_at < REPLICA_LOAD_INTERVAL) {
        return NULL;
    }
    if (needs_further_replica(forward, best, now)) {
        server = KcForward_FindHome(forward, KC_DISTANCE_REMOTE, NULL, now);
        return server != NULL || !serves_older_version(best)
                   ? server
                   : KcForward_FindHome(forward, KC_DISTANCE_REMOTE, best,
                                        now);
    }
    if (best->server->distance != KC_DISTANCE_DATACENTRE &&
        KcUseCount_Value(&adapter->uses, now) > NEARER_REPLICA_USES) {
        return KcForward_FindHome(
            forward, (KcDistance)(best->server->distance - 1), NULL, now);
    }
    return NULL;
}

static void
choose_replica(const KcForward *forward, KcTime now, KcChoice *choice)
{
    KcReplica *best = find_best_replica(forward, now);
    KcReplica *loading_replica;

    choice->new_replica_server = find_new_replica_server(forward, best, now);
    if (best != NULL && !KcServer_IsFull(best->server, forward, now) &&
        !(KcServer_IsFailing(best->server, now) &&
          choice->new_replica_server != NULL)) {
        choice->action = KC_CHOICE_SEND;
        choice->server = best->server;
        choice->replica = best;
        return;
    }
    loading_replica = find_loading_replica(forward, now);
    if (loading_replica != NULL) {
        choice->action = KC_CHOICE_AWAIT_LOAD;
        choice->server = loading_replica->server;
        return;
    }
    choice->server =
        choice->new_replica_server != NULL
            ? choice->new_replica_server
            : KcForward_FindHome(forward, KC_DISTANCE_REMOTE, NULL, now);
    choice->new_replica_server = NULL;
    if (choice->server != NULL && (forward->adapter->name[0] != '\0' ||
                                   !KcForward_IsBaseModelHeld(forward))) {
        choice->action = KC_CHOICE_LOAD;
    }
    else {
        choose_wait(forward,
                    TAILQ_EMPTY(&forward->pool->servers) ? KC_CHOICE_NONE
                                                         : KC_CHOICE_QUEUE,
                    now, choice);
    }
}

void
KcGateway_Choose(const KcForward *forward, KcTime now, KcChoice *choice)
{
    *choice = (KcChoice){.action = KC_CHOICE_NONE};
    if (forward->adapter != NULL) {
        choose_replica(forward, now, choice);
    }
    else {
        choose_server(forward, now, choice);
    }
}
