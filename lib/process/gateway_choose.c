/*
 * Which backend server a gateway sends a request to.
 *
 * Every way has an expected cost in time; the cheapest is taken.  Work per
 * decision grows with the servers of one service only where an adapter must
 * be loaded, else with the servers that hold it.
 */
#include <xxhash.h>

#include "gateway_internal.h"

/* Cost of a holder that is full: that of one with twice its places taken. */
#define FULL_COST (800 * KC_MS)
/* An adapter's home is not at a server that is filled above this. */
#define HOME_PERCENT 70
/* A further copy is loaded when the best holder is filled above this. */
#define COPY_PERCENT 60
/* A copy is loaded nearer to this gateway above this aged count of uses. */
#define COPY_RATE 20.0
/* Time between two requests for a further copy of one adapter, */
#define COPY_INTERVAL (500 * KC_MS)
/* and when its requests are more than its copies' part of all. */
#define SPREAD_INTERVAL (50 * KC_MS)
/* Its part of all requests is taken to be less by so many uses, of so many
 * more: few requests tell little. */
#define SPREAD_DOUBT 2.0
#define SPREAD_PRIOR 8.0

static bool
may_use(const KcForward *forward, const KcServer *server)
{
    return !server->leaving && !server->told_leaving &&
           !KcForward_HasTried(forward, server);
}

/* ---- requests without a model -------------------------------------------- */

static void
choose_plain(const KcForward *forward, KcTime now, KcChoice *choice)
{
    KcServer *server;
    KcTime lowest = 0;
    bool any = false;

    TAILQ_FOREACH (server, &forward->pool->servers, link) {
        KcTime cost;

        if (!may_use(forward, server)) {
            continue;
        }
        any = true;
        cost = KcServer_Cost(server, forward, now);
        if (KcServer_IsFull(server, forward, now) ||
            (choice->server != NULL && cost >= lowest)) {
            continue;
        }
        choice->server = server;
        lowest = cost;
    }
    if (choice->server != NULL) {
        choice->action = KC_CHOICE_SEND;
    }
    else if (any) {
        choice->action = KC_CHOICE_QUEUE;
    }
}

/* ---- requests for a model ------------------------------------------------ */

/* The cheapest server that has the adapter; any of them full or not. */
static KcReplica *
best_holding(const KcForward *forward, KcTime now)
{
    KcReplica *holding;
    KcReplica *best = NULL;
    KcTime lowest = 0;

    TAILQ_FOREACH (holding, &forward->adapter->holdings, of_adapter) {
        KcTime cost;

        if (holding->server->pool != forward->pool ||
            !KcHolding_Usable(holding, now) ||
            !may_use(forward, holding->server)) {
            continue;
        }
        cost = KcServer_Cost(holding->server, forward, now);
        if (KcServer_IsFull(holding->server, forward, now)) {
            cost += FULL_COST;
        }
        if (best == NULL || cost < lowest) {
            best = holding;
            lowest = cost;
        }
    }
    return best;
}

static KcReplica *
coming_holding(const KcForward *forward)
{
    KcReplica *holding;

    TAILQ_FOREACH (holding, &forward->adapter->holdings, of_adapter) {
        if (holding->coming && holding->server->pool == forward->pool &&
            may_use(forward, holding->server)) {
            return holding;
        }
    }
    return NULL;
}

/* Does the holding serve, or will it? */
static bool
is_current(const KcReplica *holding, KcTime now)
{
    return holding->coming || KcHolding_Usable(holding, now);
}

static bool
has_current(const KcForward *forward, const KcServer *server, KcTime now)
{
    const KcReplica *holding;

    TAILQ_FOREACH (holding, &forward->adapter->holdings, of_adapter) {
        if (holding->server == server && is_current(holding, now)) {
            return true;
        }
    }
    return false;
}

/* Does the server hold the adapter's base model? */
static bool
has_model(const KcServer *server, const char *model)
{
    const KcReplica *holding;

    TAILQ_FOREACH (holding, &server->holdings, of_server) {
        if (holding->adapter->name[0] == '\0' && !holding->gone &&
            !holding->coming && strcmp(holding->adapter->model, model) == 0) {
            return true;
        }
    }
    return false;
}

/* Is the model at any server that may be used? */
static bool
model_is_held(const KcForward *forward)
{
    const KcServer *server;

    TAILQ_FOREACH (server, &forward->pool->servers, link) {
        if (!server->leaving && has_model(server, forward->adapter->model)) {
            return true;
        }
    }
    return false;
}

/* Rendezvous hashing: all gateways rank the homes of an adapter alike. */
static uint64_t
rank_at(const KcForward *forward, const KcServer *server)
{
    return XXH3_64bits_withSeed(&server->hash, sizeof(server->hash),
                                forward->adapter->hash);
}

/*
 * Where the adapter is best loaded, at most as far as given; NULL when
 * nowhere.  An engine that had an adapter before loads it from its own memory,
 * so an adapter keeps its home wherever that has room.  A model that no server
 * holds is loaded with it, at any of them.
 */
static KcServer *
home_of(const KcForward *forward, KcDistance farthest, KcTime now)
{
    bool held = model_is_held(forward);
    KcServer *server;
    KcServer *home = NULL;
    uint64_t highest = 0;
    bool crowded = true; /* the best one so far is */

    TAILQ_FOREACH (server, &forward->pool->servers, link) {
        uint64_t rank = rank_at(forward, server);
        bool crowd;

        if (server->distance > farthest || (!crowded && rank <= highest) ||
            !may_use(forward, server) || server->missing_at != 0 ||
            server->suspect_until > now || server->crowded_until > now ||
            KcServer_IsMute(server, now) ||
            KcServer_Load(server, now) * 100 >=
                server->concurrency_max * HOME_PERCENT ||
            KcServer_IsSlow(server, forward, now) ||
            KcServer_IsFull(server, forward, now) ||
            has_current(forward, server, now) ||
            (held && !has_model(server, forward->adapter->model))) {
            continue;
        }
        crowd = KcServer_IsCrowded(server, now);
        if (home != NULL &&
            (crowd > crowded || (crowd == crowded && rank <= highest))) {
            continue;
        }
        home = server;
        highest = rank;
        crowded = crowd;
    }
    return home;
}

/* Would requests better go elsewhere, if they could? */
static bool
in_trouble(const KcServer *server, KcTime now)
{
    return server->suspect_until > now || server->missing_at != 0 ||
           KcServer_IsMute(server, now);
}

/* Is a copy elsewhere to take requests off this holder? */
static bool
needs_relief(const KcForward *forward, const KcReplica *holding, KcTime now)
{
    const KcServer *holder = holding->server;

    return holding->version < holding->adapter->newest ||
           KcServer_Load(holder, now) * 100 >
               holder->concurrency_max * COPY_PERCENT ||
           KcServer_IsSlow(holder, forward, now) || in_trouble(holder, now);
}

/* Copies among which the adapter's requests are no more to a server than
 * those of all adapters to the mean one. */
static uint32_t
copies_due(const KcForward *forward, KcTime now)
{
    KcServerPool *pool = forward->pool;
    double uses = KcUseCount_Value(&forward->adapter->uses, now);
    double all = KcUseCount_Value(&pool->uses, now);

    KcServerPool_RefreshMeans(pool, now);
    if (uses <= SPREAD_DOUBT) {
        return 1;
    }
    return 1 + (uint32_t)((uses - SPREAD_DOUBT) / (all + SPREAD_PRIOR) *
                          pool->mean_of);
}

/* Copies of the adapter that serve, or will. */
static uint32_t
copies_of(const KcForward *forward, KcTime now)
{
    const KcReplica *holding;
    uint32_t count = 0;

    TAILQ_FOREACH (holding, &forward->adapter->holdings, of_adapter) {
        if (holding->server->pool == forward->pool &&
            is_current(holding, now) && may_use(forward, holding->server)) {
            count++;
        }
    }
    return count;
}

/* Does the adapter get more requests than its copies' part? */
static bool
spread_wanted(const KcForward *forward, KcTime now)
{
    const KcAdapterState *adapter = forward->adapter;

    return now - adapter->wanted_at >= SPREAD_INTERVAL &&
           copies_of(forward, now) < copies_due(forward, now);
}

/*
 * Where a further copy is worth while; NULL when it is not, or nowhere.  One
 * for being near is nearer than the best holder; others are anywhere.
 */
static KcServer *
copy_home(const KcForward *forward, const KcReplica *best, KcTime now)
{
    const KcAdapterState *adapter = forward->adapter;

    if (adapter->name[0] == '\0' || TAILQ_EMPTY(&adapter->holdings)) {
        return NULL;
    }
    if (spread_wanted(forward, now)) {
        return home_of(forward, KC_DISTANCE_REMOTE, now);
    }
    if (best == NULL || coming_holding(forward) != NULL ||
        now - adapter->wanted_at < COPY_INTERVAL) {
        return NULL;
    }
    if (needs_relief(forward, best, now)) {
        return home_of(forward, KC_DISTANCE_REMOTE, now);
    }
    if (best->server->distance != KC_DISTANCE_DATACENTRE &&
        KcUseCount_Value(&adapter->uses, now) > COPY_RATE) {
        return home_of(forward, (KcDistance)(best->server->distance - 1), now);
    }
    return NULL;
}

static void
choose_model(const KcForward *forward, KcTime now, KcChoice *choice)
{
    KcReplica *best = best_holding(forward, now);
    KcReplica *coming;

    choice->copy_at = copy_home(forward, best, now);
    if (best != NULL && !KcServer_IsFull(best->server, forward, now) &&
        !(in_trouble(best->server, now) && choice->copy_at != NULL)) {
        choice->action = KC_CHOICE_SEND;
        choice->server = best->server;
        choice->holding = best;
        return;
    }
    coming = coming_holding(forward);
    if (coming != NULL) {
        choice->action = KC_CHOICE_AWAIT;
        choice->server = coming->server;
        return;
    }
    choice->server = choice->copy_at != NULL
                         ? choice->copy_at
                         : home_of(forward, KC_DISTANCE_REMOTE, now);
    choice->copy_at = NULL;
    if (choice->server != NULL &&
        (forward->adapter->name[0] != '\0' || !model_is_held(forward))) {
        choice->action = KC_CHOICE_LOAD;
    }
    else if (!TAILQ_EMPTY(&forward->pool->servers)) {
        choice->server = NULL;
        choice->action = KC_CHOICE_QUEUE;
    }
}

void
KcGateway_Choose(const KcForward *forward, KcTime now, KcChoice *choice)
{
    *choice = (KcChoice){.action = KC_CHOICE_NONE};
    if (forward->adapter != NULL) {
        choose_model(forward, now, choice);
    }
    else {
        choose_plain(forward, now, choice);
    }
}
