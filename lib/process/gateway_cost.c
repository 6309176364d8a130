/*
 * What the way to a backend server costs a request, in expected time, and
 * whether the server is full, crowded, slow or mute.
 */
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
/* A server is slow when it takes more than this part of the objective to the
 * first byte. */
#define SLOW_PERCENT 60
/* What is known of a server's time to the first byte fades in this time. */
#define SLOW_FADE (2 * KC_SECOND)

/* ---- load ---------------------------------------------------------------- */

/* Requests of other gateways at the server, as it said last. */
static uint64_t
others_told(const KcServer *server, KcTime now)
{
    KcTime age = now - server->load_reported_at;

    if (server->load_reported_at == 0 || age >= LOAD_STALE) {
        return 0;
    }
    if (age <= LOAD_FRESH) {
        return server->others_in_flight;
    }
    return server->others_in_flight * (uint64_t)(LOAD_STALE - age) /
           (uint64_t)(LOAD_STALE - LOAD_FRESH);
}

void
KcServerPool_RefreshMeans(KcServerPool *pool, KcTime now)
{
    const KcServer *server;
    uint64_t sum = 0;
    uint64_t count = 0;

    if (pool->mean_at != 0 && now - pool->mean_at < MEAN_AGE) {
        return;
    }
    pool->mean_at = now;
    pool->mean_load = 0;
    TAILQ_FOREACH (server, &pool->servers, link) {
        if (!server->leaving && server->missing_at == 0) {
            sum += others_told(server, now);
            pool->mean_load += server->in_flight;
            count++;
        }
    }
    pool->mean_load = count > 0 ? (pool->mean_load + sum) / count : 0;
    pool->mean_others = count > 0 ? sum / count : 0;
    pool->mean_of = (uint32_t)count;
}

uint32_t
KcServer_Load(const KcServer *server, KcTime now)
{
    KcTime age = now - server->load_reported_at;
    uint64_t others = others_told(server, now);

    if (server->load_reported_at == 0 || age > LOAD_STALE) {
        age = LOAD_STALE;
    }
    if (age > LOAD_FRESH) {
        KcServerPool_RefreshMeans(server->pool, now);
        others += server->pool->mean_others * (uint64_t)(age - LOAD_FRESH) /
                  (uint64_t)(LOAD_STALE - LOAD_FRESH);
    }
    return server->in_flight + (uint32_t)others;
}

bool
KcServer_IsCrowded(const KcServer *server, KcTime now)
{
    uint32_t load = KcServer_Load(server, now);

    KcServerPool_RefreshMeans(server->pool, now);
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

/* ---- cost ---------------------------------------------------------------- */

/* Prompts and answers at the server against its memory, in percent. */
static uint64_t
memory_percent(const KcForward *forward, const KcServer *server, uint32_t load)
{
    const KcRoutedService *service =
        KcRouting_FindService(forward->routing, server->pool->service);
    uint64_t tokens = server->tokens + forward->tokens;

    if (service == NULL || service->engine.kv_cache_tokens == 0) {
        return 0;
    }
    /* Requests of other gateways are taken to be like those of this one. */
    if (server->in_flight > 0 && load > server->in_flight) {
        tokens +=
            server->tokens * (load - server->in_flight) / server->in_flight;
    }
    return tokens * 100 / service->engine.kv_cache_tokens;
}

bool
KcServer_IsFull(const KcServer *server, const KcForward *forward, KcTime now)
{
    uint32_t load = KcServer_Load(server, now);

    if (load == 0) {
        return false; /* what does not fit there fits nowhere */
    }
    return load * 100 >= server->concurrency_max * FILL_PERCENT ||
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

bool
KcServer_IsSlow(const KcServer *server, const KcForward *forward, KcTime now)
{
    return first_byte(server, now) * 100 >
           forward->rule->latency_objective * SLOW_PERCENT;
}

/* Expected delay of the first token by the other requests at an engine. */
static KcTime
contention(const KcForward *forward, uint32_t load)
{
    KcTime delay = (KcTime)load * load * CONTENTION;

    return delay + delay * (KcTime)forward->tokens / CONTENTION_TOKENS;
}

KcTime
KcServer_Cost(const KcServer *server, const KcForward *forward, KcTime now)
{
    uint32_t load = KcServer_Load(server, now);
    KcTime cost = distance_cost[server->distance] +
                  load_cost(load, server->concurrency_max) +
                  failure_cost(server, now) + first_byte(server, now);

    if (forward->adapter != NULL) {
        cost += contention(forward, load);
    }
    if (server->suspect_until > now) {
        cost += FAILURE_COST + (server->suspect_until - now);
    }
    if (server->missing_at != 0) {
        cost += GONE_COST;
    }
    if (KcServer_IsMute(server, now)) {
        cost += MUTE_COST;
    }
    return cost;
}
