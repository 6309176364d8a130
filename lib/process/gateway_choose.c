/*
 * Which backend server a gateway sends a request to.
 *
 * Every way has an expected cost in time; the cheapest is taken.  Work per
 * decision grows with the servers of one service only where an adapter must
 * be loaded, else with the servers that hold it.
 */
#include <xxhash.h>

#include "gateway_internal.h"

/* Cost of the way to a server, by distance; traffic across is priced. */
static const KcTime distance_cost[KC_DISTANCE_COUNT] = {
    [KC_DISTANCE_DATACENTRE] = 0,
    [KC_DISTANCE_REGION] = 10 * KC_MS,
    [KC_DISTANCE_REMOTE] = 80 * KC_MS,
};

/* Cost of a server all of whose places are taken, and of each such load
 * beyond: about the time a place is held. */
#define LOAD_COST (150 * KC_MS)
#define OVERLOAD_COST (800 * KC_MS)
/* Cost of a server whose sendings all fail. */
#define FAILURE_COST (1 * KC_SECOND)
/* Its failures are forgotten after this. */
#define FAILURE_FADE (4 * KC_SECOND)
/* A server that has requests and says nothing for so long is avoided; with
 * several streams, events come every few tens of milliseconds. */
#define MUTE_AFTER (400 * KC_MS)
#define MUTE_AFTER_BUSY (200 * KC_MS)
#define MUTE_BUSY 3
#define MUTE_COST (2 * KC_SECOND)
/* Cost of a server whose record is missing. */
#define GONE_COST (500 * KC_MS)
/* An adapter's home is not at a server that is filled above this. */
#define HOME_PERCENT 70
/* Reported load counts in full for so long, then fades to that of the mean
 * server of the service. */
#define LOAD_FRESH (500 * KC_MS)
#define LOAD_STALE (3 * KC_SECOND)
/* The mean is as of so long ago at the most. */
#define MEAN_AGE (100 * KC_MS)
/* An engine delays the first token of a request by this times the square of
 * its load (measured, docs/PLATFORM.md), */
#define CONTENTION (KC_MS * 15 / 100)
/* and once more for each so many tokens of the request. */
#define CONTENTION_TOKENS 2500
/* An engine is crowded when its load is above this part of the mean, */
#define CROWD_PERCENT 150
/* and so many requests above that. */
#define CROWD_LEAST 6
/* A server takes this many requests for a place before a gateway queues. */
#define FILL_PERCENT 125
/* Share of an engine's memory that is given out, in percent. */
#define MEMORY_PERCENT 90
/* A further copy is loaded when the best holder is filled above this, */
#define COPY_PERCENT 60
/* or takes more than this part of the objective to the first byte. */
#define SLOW_PERCENT 60
/* What is known of a server's time to the first byte fades in this time. */
#define SLOW_FADE (2 * KC_SECOND)
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

/* Requests of other gateways at the server, as it said last. */
static uint64_t
others_told(const KcServer *server, KcTime now)
{
    KcTime age = now - server->load_at;

    if (server->load_at == 0 || age >= LOAD_STALE) {
        return 0;
    }
    if (age <= LOAD_FRESH) {
        return server->others;
    }
    return server->others * (uint64_t)(LOAD_STALE - age) /
           (uint64_t)(LOAD_STALE - LOAD_FRESH);
}

/* Requests of other gateways at the mean server of the service. */
static uint64_t
mean_others(KcServerPool *pool, KcTime now)
{
    const KcServer *server;
    uint64_t sum = 0;
    uint64_t count = 0;

    if (pool->mean_at != 0 && now - pool->mean_at < MEAN_AGE) {
        return pool->mean_others;
    }
    pool->mean_at = now;
    pool->mean_load = 0;
    TAILQ_FOREACH (server, &pool->servers, link) {
        if (!server->leaving && server->gone_at == 0) {
            sum += others_told(server, now);
            pool->mean_load += server->in_flight;
            count++;
        }
    }
    pool->mean_load = count > 0 ? (pool->mean_load + sum) / count : 0;
    pool->mean_others = count > 0 ? sum / count : 0;
    pool->mean_of = (uint32_t)count;
    return pool->mean_others;
}

uint32_t
KcServer_Load(const KcServer *server, KcTime now)
{
    KcTime age = now - server->load_at;
    uint64_t others = others_told(server, now);
    uint64_t mean;

    if (server->load_at == 0 || age > LOAD_STALE) {
        age = LOAD_STALE;
    }
    if (age > LOAD_FRESH) {
        mean = mean_others(server->pool, now);
        others += mean * (uint64_t)(age - LOAD_FRESH) /
                  (uint64_t)(LOAD_STALE - LOAD_FRESH);
    }
    return server->in_flight + (uint32_t)others;
}

/* Has the engine far more requests than the others of its service? */
static bool
is_crowded(const KcServer *server, KcTime now)
{
    uint32_t load = KcServer_Load(server, now);

    mean_others(server->pool, now);
    return load > CROWD_LEAST + server->pool->mean_load * CROWD_PERCENT / 100;
}

KcTime
KcServer_Silence(const KcServer *server, KcTime now)
{
    KcTime since = server->heard_at;

    if (since < server->pool->gateway->awake_at) {
        since = server->pool->gateway->awake_at;
    }
    return server->in_flight > 0 ? now - since : 0;
}

bool
KcServer_IsMute(const KcServer *server, KcTime now)
{
    return KcServer_Silence(server, now) >
           (server->in_flight >= MUTE_BUSY ? MUTE_AFTER_BUSY : MUTE_AFTER);
}

static bool
was_tried(const KcForward *forward, const KcServer *server)
{
    for (uint32_t i = 0; i < forward->tried_count; i++) {
        if (forward->tried[i] == server) {
            return true;
        }
    }
    return false;
}

static bool
may_use(const KcForward *forward, const KcServer *server)
{
    return !server->leaving && !server->told_leaving &&
           !was_tried(forward, server);
}

/* Prompts and answers at the server against its memory, in percent. */
static uint64_t
memory_percent(const KcForward *forward, const KcServer *server, uint32_t load)
{
    const KcRoutedService *service =
        KcRouting_Service(forward->routing, server->pool->service);
    uint64_t tokens = server->tokens + forward->tokens;

    if (service == NULL || service->engine.memory_tokens == 0) {
        return 0;
    }
    /* Requests of other gateways are taken to be like those of this one. */
    if (server->in_flight > 0 && load > server->in_flight) {
        tokens +=
            server->tokens * (load - server->in_flight) / server->in_flight;
    }
    return tokens * 100 / service->engine.memory_tokens;
}

/* True when a further request would only wait there. */
static bool
is_full(const KcForward *forward, const KcServer *server, KcTime now)
{
    uint32_t load = KcServer_Load(server, now);

    if (load == 0) {
        return false; /* what does not fit there fits nowhere */
    }
    return load * 100 >= server->places * FILL_PERCENT ||
           memory_percent(forward, server, load) > MEMORY_PERCENT;
}

static KcTime
load_cost(uint32_t load, uint32_t places)
{
    if (load <= places) {
        return LOAD_COST * load / places * load / places;
    }
    return LOAD_COST + OVERLOAD_COST * (load - places) / places;
}

/* Failures count less with time, so that a server is tried again. */
static KcTime
failure_cost(const KcServer *server, KcTime now)
{
    KcTime age = now - server->failed_at;

    if (server->failure_share == 0 || age >= FAILURE_FADE) {
        return 0;
    }
    return (KcTime)(server->failure_share * FAILURE_COST) *
           (FAILURE_FADE - age) / FAILURE_FADE;
}

/* Expected time to the first byte of an answer, as far as is known. */
static KcTime
first_byte(const KcServer *server, KcTime now)
{
    KcTime age = now - server->slow_at;

    if (server->slow == 0 || age >= SLOW_FADE) {
        return 0;
    }
    return server->slow * (SLOW_FADE - age) / SLOW_FADE;
}

/* Does the server answer so late that objectives are in danger? */
static bool
is_slow(const KcForward *forward, const KcServer *server, KcTime now)
{
    return first_byte(server, now) * 100 >
           forward->rule->objective * SLOW_PERCENT;
}

/* Expected delay of the first token by the other requests at an engine. */
static KcTime
contention(const KcForward *forward, uint32_t load)
{
    KcTime delay = (KcTime)load * load * CONTENTION;

    return delay + delay * (KcTime)forward->tokens / CONTENTION_TOKENS;
}

static KcTime
cost_of(const KcForward *forward, const KcServer *server, KcTime now)
{
    uint32_t load = KcServer_Load(server, now);
    KcTime cost = distance_cost[server->distance] +
                  load_cost(load, server->places) + failure_cost(server, now) +
                  first_byte(server, now);

    if (forward->adapter != NULL) {
        cost += contention(forward, load);
    }

    if (server->suspect_until > now) {
        cost += FAILURE_COST + (server->suspect_until - now);
    }
    if (server->gone_at != 0) {
        cost += GONE_COST;
    }
    if (KcServer_IsMute(server, now)) {
        cost += MUTE_COST;
    }
    return cost;
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
        cost = cost_of(forward, server, now);
        if (is_full(forward, server, now) ||
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
static KcHolding *
best_holding(const KcForward *forward, KcTime now, KcTime *lowest)
{
    KcHolding *holding;
    KcHolding *best = NULL;

    TAILQ_FOREACH (holding, &forward->adapter->holdings, of_adapter) {
        KcTime cost;

        if (holding->server->pool != forward->pool ||
            !KcHolding_Usable(holding, now) ||
            !may_use(forward, holding->server)) {
            continue;
        }
        cost = cost_of(forward, holding->server, now);
        if (is_full(forward, holding->server, now)) {
            cost += OVERLOAD_COST;
        }
        if (best == NULL || cost < *lowest) {
            best = holding;
            *lowest = cost;
        }
    }
    return best;
}

static KcHolding *
coming_holding(const KcForward *forward)
{
    KcHolding *holding;

    TAILQ_FOREACH (holding, &forward->adapter->holdings, of_adapter) {
        if (holding->coming && holding->server->pool == forward->pool &&
            may_use(forward, holding->server)) {
            return holding;
        }
    }
    return NULL;
}

static bool
has_current(const KcForward *forward, const KcServer *server, KcTime now)
{
    const KcHolding *holding;

    TAILQ_FOREACH (holding, &forward->adapter->holdings, of_adapter) {
        if (holding->server == server &&
            (holding->coming || KcHolding_Usable(holding, now))) {
            return true;
        }
    }
    return false;
}

/* Does the server hold the adapter's base model? */
static bool
has_model(const KcServer *server, const char *model)
{
    const KcHolding *holding;

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
            !may_use(forward, server) || server->gone_at != 0 ||
            server->suspect_until > now || server->crowded_until > now ||
            KcServer_IsMute(server, now) ||
            KcServer_Load(server, now) * 100 >=
                server->places * HOME_PERCENT ||
            is_slow(forward, server, now) || is_full(forward, server, now) ||
            has_current(forward, server, now) ||
            (held && !has_model(server, forward->adapter->model))) {
            continue;
        }
        crowd = is_crowded(server, now);
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
    return server->suspect_until > now || server->gone_at != 0 ||
           KcServer_IsMute(server, now);
}

/* Is a copy elsewhere to take requests off this holder? */
static bool
needs_relief(const KcForward *forward, const KcHolding *holding, KcTime now)
{
    const KcServer *holder = holding->server;

    return holding->version < holding->adapter->newest ||
           KcServer_Load(holder, now) * 100 > holder->places * COPY_PERCENT ||
           is_slow(forward, holder, now) || in_trouble(holder, now);
}

/* Copies among which the adapter's requests are no more to a server than
 * those of all adapters to the mean one. */
static uint32_t
copies_due(const KcForward *forward, KcTime now)
{
    KcServerPool *pool = forward->pool;
    double uses = KcUseCount_Value(&forward->adapter->uses, now);
    double all = KcUseCount_Value(&pool->uses, now);

    mean_others(pool, now);
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
    const KcHolding *holding;
    uint32_t count = 0;

    TAILQ_FOREACH (holding, &forward->adapter->holdings, of_adapter) {
        if (holding->server->pool == forward->pool &&
            (holding->coming || KcHolding_Usable(holding, now)) &&
            may_use(forward, holding->server)) {
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

    return adapter->name[0] != '\0' &&
           now - adapter->wanted_at >= SPREAD_INTERVAL &&
           copies_of(forward, now) < copies_due(forward, now);
}

/* Is a further copy worth while beside this holder? */
static bool
copy_wanted(const KcForward *forward, const KcHolding *best, KcTime now)
{
    const KcAdapterState *adapter = forward->adapter;
    const KcServer *holder = best->server;

    if (adapter->name[0] == '\0' || coming_holding(forward) != NULL ||
        now - adapter->wanted_at < COPY_INTERVAL) {
        return false;
    }
    return needs_relief(forward, best, now) ||
           (holder->distance != KC_DISTANCE_DATACENTRE &&
            KcUseCount_Value(&adapter->uses, now) > COPY_RATE);
}

/* A copy for being near is nearer than the holder; one for its load is
 * anywhere. */
static KcDistance
copy_distance(const KcForward *forward, const KcHolding *best, KcTime now)
{
    KcDistance distance = best->server->distance;

    if (needs_relief(forward, best, now) ||
        distance == KC_DISTANCE_DATACENTRE) {
        return KC_DISTANCE_REMOTE;
    }
    return (KcDistance)(distance - 1);
}

static void
choose_model(const KcForward *forward, KcTime now, KcChoice *choice)
{
    KcTime lowest = 0;
    KcHolding *best = best_holding(forward, now, &lowest);
    KcHolding *coming;

    if ((best != NULL || !TAILQ_EMPTY(&forward->adapter->holdings)) &&
        spread_wanted(forward, now)) {
        choice->copy_at = home_of(forward, KC_DISTANCE_REMOTE, now);
    }
    else if (best != NULL && copy_wanted(forward, best, now)) {
        choice->copy_at =
            home_of(forward, copy_distance(forward, best, now), now);
    }
    if (best != NULL && !is_full(forward, best->server, now) &&
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
