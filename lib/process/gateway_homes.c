/*
 * Homes: where an adapter is loaded.  One is a server that had the adapter
 * before, as an engine reloads it from its own memory, else the one of the
 * highest rank that has capacity.
 */
#include <xxhash.h>

#include "gateway_internal.h"

/* No adapter is loaded at a server whose load is at least this percentage of
 * its concurrency limit. */
#define HOME_LOAD_MAX_PERCENT 70

/* ---- replicas and base models --------------------------------------------- */

bool
KcServer_HasBaseModel(const KcServer *server, const char *model)
{
    const KcReplica *replica;

    TAILQ_FOREACH (replica, &server->replicas, server_link) {
        if (replica->adapter->name[0] == '\0' && !replica->dropped &&
            !replica->loading && strcmp(replica->adapter->model, model) == 0) {
            return true;
        }
    }
    return false;
}

bool
KcForward_IsBaseModelHeld(const KcForward *forward)
{
    const KcServer *server;

    TAILQ_FOREACH (server, &forward->pool->servers, link) {
        if (!KcServer_IsLeaving(server) &&
            KcServer_HasBaseModel(server, forward->adapter->model)) {
            return true;
        }
    }
    return false;
}

bool
KcReplica_IsCurrent(const KcReplica *replica, KcTime now)
{
    return replica->loading || KcReplica_IsUsable(replica, now);
}

/* May an older version that still serves give way to the newest one?  Not the
 * one that goes on meanwhile; that is NULL if none may. */
static bool
may_replace(const KcReplica *replica, const KcReplica *serving)
{
    return serving != NULL && replica != serving && !replica->loading &&
           replica->version < replica->adapter->newest_version;
}

static bool
has_current_replica(const KcForward *forward, const KcServer *server,
                    const KcReplica *serving, KcTime now)
{
    const KcReplica *replica;

    TAILQ_FOREACH (replica, &forward->adapter->replicas, adapter_link) {
        if (replica->server == server && KcReplica_IsCurrent(replica, now) &&
            !may_replace(replica, serving)) {
            return true;
        }
    }
    return false;
}

/* Rendezvous hashing: an adapter's home, the preferred server to load it, is
 * the one of the highest rank, the same for all gateways. */
static uint64_t
home_rank(const KcForward *forward, const KcServer *server)
{
    return XXH3_64bits_withSeed(&server->id_hash, sizeof(server->id_hash),
                                forward->adapter->hash);
}

/* An engine loads so many adapters at once; further ones wait. */
#define LOADS_AT_ONCE 3

/* Adapters on their way to the server, or waiting for that. */
static uint32_t
count_loading(const KcServer *server)
{
    const KcReplica *replica;
    uint32_t count = 0;

    TAILQ_FOREACH (replica, &server->replicas, server_link) {
        count += replica->loading && !replica->dropped ? 1 : 0;
    }
    return count;
}

/* May every place for adapters be in use? */
static bool
lacks_places(const KcForward *forward, const KcServer *server, KcTime now)
{
    const KcRoutedService *service =
        KcRouting_FindService(forward->routing, server->pool->service);

    return service != NULL && service->engine.adapter_slots > 0 &&
           KcServer_Load(server, now) >= service->engine.adapter_slots;
}

/* How much a server is preferred as a home, the least preferred first. */
typedef enum HomeClass {
    HOME_BUSY = 0, /* crowded, or a load waits there */
    HOME_FREE,
    HOME_WARM /* it had the adapter lately, and has it at hand */
} HomeClass;

/* A server as a home. */
typedef struct Home {
    KcServer *server; /* NULL: none */
    HomeClass class;
    uint32_t loading_count;
    uint64_t rank;
} Home;

static HomeClass
classify_home(const KcForward *forward, const KcServer *server,
              uint32_t loading_count, KcTime now)
{
    if (KcAdapter_WasHeldBy(forward->adapter, server)) {
        return HOME_WARM;
    }
    return loading_count >= LOADS_AT_ONCE || KcServer_IsCrowded(server, now) ||
                   lacks_places(forward, server, now)
               ? HOME_BUSY
               : HOME_FREE;
}

static bool
is_better_home(const Home *home, const Home *best)
{
    if (best->server == NULL || home->class != best->class) {
        return best->server == NULL || home->class > best->class;
    }
    if (home->class == HOME_BUSY &&
        home->loading_count != best->loading_count) {
        return home->loading_count < best->loading_count;
    }
    return home->rank > best->rank;
}

/* ---- the search ----------------------------------------------------------- */

/* What is asked of a home. */
typedef struct HomeSearch {
    const KcForward *forward;
    KcDistance farthest;
    const KcReplica *serving; /* see may_replace() */
    bool needs_base_model;
    KcTime now;
} HomeSearch;

static bool
takes_no_requests(const HomeSearch *search, const KcServer *server)
{
    return !KcForward_MayUse(search->forward, server, search->now);
}

static bool
is_too_far(const HomeSearch *search, const KcServer *server)
{
    return server->distance > search->farthest;
}

static bool
has_failed(const HomeSearch *search, const KcServer *server)
{
    return server->suspect_until > search->now;
}

static bool
is_missing(const HomeSearch *search, const KcServer *server)
{
    (void)search;
    return server->missing_at != 0;
}

static bool
is_silent(const HomeSearch *search, const KcServer *server)
{
    return KcServer_IsSilent(server, search->now);
}

static bool
refuses_loads(const HomeSearch *search, const KcServer *server)
{
    return server->no_loads_until > search->now;
}

static bool
is_busy(const HomeSearch *search, const KcServer *server)
{
    return KcServer_Load(server, search->now) * 100 >=
           server->concurrency_max * HOME_LOAD_MAX_PERCENT;
}

static bool
is_slow(const HomeSearch *search, const KcServer *server)
{
    return KcServer_IsSlow(server, search->forward, search->now);
}

static bool
is_full(const HomeSearch *search, const KcServer *server)
{
    return KcServer_IsFull(server, search->forward, search->now);
}

static bool
holds_it(const HomeSearch *search, const KcServer *server)
{
    return has_current_replica(search->forward, server, search->serving,
                               search->now);
}

static bool
lacks_base_model(const HomeSearch *search, const KcServer *server)
{
    return search->needs_base_model &&
           !KcServer_HasBaseModel(server, search->forward->adapter->model);
}

/* What keeps a server from being a home. */
static const struct {
    const char *name;
    bool (*is_met)(const HomeSearch *search, const KcServer *server);
} obstacles[] = {
    {"takes no requests", takes_no_requests},
    {"too far", is_too_far},
    {"record missing", is_missing},
    {"failed lately", has_failed},
    {"refused a load", refuses_loads},
    {"silent", is_silent},
    {"busy", is_busy},
    {"slow", is_slow},
    {"full", is_full},
    {"has it", holds_it},
    {"no base model", lacks_base_model},
};

static const char *
find_obstacle(const HomeSearch *search, const KcServer *server)
{
    for (size_t i = 0; i < sizeof(obstacles) / sizeof(obstacles[0]); i++) {
        if (obstacles[i].is_met(search, server)) {
            return obstacles[i].name;
        }
    }
    return NULL;
}

const char *
KcForward_WhyNoHome(const KcForward *forward, const KcServer *server,
                    KcTime now)
{
    HomeSearch search = {.forward = forward,
                         .farthest = KC_DISTANCE_REMOTE,
                         .needs_base_model =
                             KcForward_IsBaseModelHeld(forward),
                         .now = now};

    return find_obstacle(&search, server);
}

KcServer *
KcForward_FindHome(const KcForward *forward, KcDistance farthest,
                   const KcReplica *serving, KcTime now)
{
    HomeSearch search = {.forward = forward,
                         .farthest = farthest,
                         .serving = serving,
                         .needs_base_model =
                             KcForward_IsBaseModelHeld(forward),
                         .now = now};
    KcServer *server;
    Home best = {.server = NULL};

    TAILQ_FOREACH (server, &forward->pool->servers, link) {
        Home home = {.server = server};

        if (find_obstacle(&search, server) != NULL) {
            continue;
        }
        home.rank = home_rank(forward, server);
        home.loading_count = count_loading(server);
        home.class = classify_home(forward, server, home.loading_count, now);
        if (is_better_home(&home, &best)) {
            best = home;
        }
    }
    return best.server;
}
