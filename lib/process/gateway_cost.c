/*
 * Load and cost of backend servers: the expected latency that sending a
 * request there adds, and whether a server is full, crowded, slow or silent.
 */
#include "gateway_internal.h"

/* Cost by distance; the platform prices traffic between data centres. */
static const KcTime distance_cost[KC_DISTANCE_COUNT] = {
    [KC_DISTANCE_DATACENTRE] = 0,
    [KC_DISTANCE_REGION] = 10 * KC_MS,
    [KC_DISTANCE_REMOTE] = 80 * KC_MS,
};

/* Cost of a load equal to the concurrency limit. */
#define LOAD_COST (150 * KC_MS)
/* Cost of each further load equal to the concurrency limit: about the time
 * that a request occupies the server. */
#define OVERLOAD_COST (800 * KC_MS)
/* Cost of a server where all attempts fail. */
#define FAILURE_COST (1 * KC_SECOND)
/* The cost of failures fades to 0 within this time since the last one. */
#define FAILURE_FADE_TIME (4 * KC_SECOND)
/* A server with requests in flight is avoided after a silence longer than
 * this. */
#define SILENCE_MAX (400 * KC_MS)
/* SILENCE_MAX of a server with at least SILENCE_BUSY_REQUESTS_MIN requests in
 * flight: with several streams, events come every few tens of milliseconds. */
#define SILENCE_MAX_BUSY (200 * KC_MS)
#define SILENCE_BUSY_REQUESTS_MIN 3
/* Cost of a silent server. */
#define SILENCE_COST (2 * KC_SECOND)
/* Cost of a server whose record is missing. */
#define MISSING_COST (500 * KC_MS)
/* A reported load counts in full up to this age. */
#define LOAD_FRESH_AGE (500 * KC_MS)
/* From LOAD_FRESH_AGE to this age a reported load fades to the mean of the
 * service's servers. */
#define LOAD_STALE_AGE (3 * KC_SECOND)
/* The means over a service's servers are recomputed at this age. */
#define MEANS_MAX_AGE (100 * KC_MS)
/* An engine delays the first token of a request by CONTENTION_DELAY times the
 * square of its load (docs/PLATFORM.md), and by as much again for each
 * CONTENTION_TOKENS tokens of the request. */
#define CONTENTION_DELAY (KC_MS * 15 / 100)
#define CONTENTION_TOKENS 2500
/* Longest expected delay; a longer one makes no difference to the choice. */
#define CONTENTION_DELAY_MAX (3600 * KC_SECOND)
/* Usual time to read a token of a prompt, us. */
#define PROMPT_TOKEN_TIME 30
/* A server is crowded when its load is above CROWDED_PERCENT of the mean plus
 * CROWDED_MARGIN requests. */
#define CROWDED_PERCENT 150
#define CROWDED_MARGIN 6
/* A server is full, and gets no further requests, when its load is at least
 * this percentage of its concurrency limit. */
#define FULL_LOAD_PERCENT 125
/* A server is full when its requests need more than this percentage of its
 * memory. */
#define MEMORY_MAX_PERCENT 90
/* A server is slow when its time to the first byte is above this percentage
 * of the route's objective. */
#define SLOW_PERCENT 60
/* The measured time to the first byte fades to 0 within this time. */
#define FIRST_BYTE_FADE_TIME (2 * KC_SECOND)

/* ---- load ---------------------------------------------------------------- */

/* Requests of other gateways by the server's last report, as far as it still
 * counts. */
static uint64_t
reported_others_in_flight(const KcServer *server, KcTime now)
{
    KcTime age = now - server->load_reported_at;

    if (server->load_reported_at == 0 || age >= LOAD_STALE_AGE) {
        return 0;
    }
    if (age <= LOAD_FRESH_AGE) {
        return server->others_in_flight;
    }
    return server->others_in_flight * (uint64_t)(LOAD_STALE_AGE - age) /
           (uint64_t)(LOAD_STALE_AGE - LOAD_FRESH_AGE);
}

void
KcServerPool_RefreshMeans(KcServerPool *pool, KcTime now)
{
    const KcServer *server;
    uint64_t others_sum = 0;
    uint64_t count = 0;

    if (pool->means_computed_at != 0 &&
        now - pool->means_computed_at < MEANS_MAX_AGE) {
        return;
    }
    pool->means_computed_at = now;
    pool->mean_load = 0;
    TAILQ_FOREACH (server, &pool->servers, link) {
        if (!KcServer_IsLeaving(server) && server->missing_at == 0) {
            others_sum += reported_others_in_flight(server, now);
            pool->mean_load += server->in_flight;
            count++;
        }
    }
    pool->mean_load = count > 0 ? (pool->mean_load + others_sum) / count : 0;
    pool->mean_others_in_flight = count > 0 ? others_sum / count : 0;
    pool->mean_server_count = (uint32_t)count;
}

uint32_t
KcServer_Load(const KcServer *server, KcTime now)
{
    KcTime age = now - server->load_reported_at;
    uint64_t others_in_flight = reported_others_in_flight(server, now);

    if (server->load_reported_at == 0 || age > LOAD_STALE_AGE) {
        age = LOAD_STALE_AGE;
    }
    if (age > LOAD_FRESH_AGE) {
        KcServerPool_RefreshMeans(server->pool, now);
        others_in_flight += server->pool->mean_others_in_flight *
                            (uint64_t)(age - LOAD_FRESH_AGE) /
                            (uint64_t)(LOAD_STALE_AGE - LOAD_FRESH_AGE);
    }
    return server->in_flight + (uint32_t)others_in_flight;
}

bool
KcServer_IsCrowded(const KcServer *server, KcTime now)
{
    uint32_t load = KcServer_Load(server, now);

    KcServerPool_RefreshMeans(server->pool, now);
    return load >
           CROWDED_MARGIN + server->pool->mean_load * CROWDED_PERCENT / 100;
}

KcTime
KcServer_Silence(const KcServer *server, KcTime now)
{
    KcTime silent_since = server->last_activity_at;

    if (silent_since < server->pool->gateway->last_pause_at) {
        silent_since = server->pool->gateway->last_pause_at;
    }
    return server->in_flight > 0 ? now - silent_since : 0;
}

/*
 * An answer that is not read does not show whether its server lives, nor does
 * a request that may wait there for its turn.
 */
static bool
would_be_heard(const KcServer *server)
{
    return server->paused_count == 0 ||
           server->answering_count > server->paused_count;
}

bool
KcServer_IsSilent(const KcServer *server, KcTime now)
{
    return would_be_heard(server) &&
           KcServer_Silence(server, now) >
               (server->in_flight >= SILENCE_BUSY_REQUESTS_MIN
                    ? SILENCE_MAX_BUSY
                    : SILENCE_MAX);
}

bool
KcServer_IsFailing(const KcServer *server, KcTime now)
{
    return server->suspect_until > now || server->missing_at != 0 ||
           KcServer_IsSilent(server, now);
}

/* ---- a server beside a request -------------------------------------------- */

/* A server that is weighed for a request. */
typedef struct Weighing {
    const KcServer *server;
    const KcForward *forward;
    uint32_t load;     /* of the server */
    KcTime load_delay; /* by its other requests at its usual speed; of terms
                        * of the cost only */
    KcTime now;
} Weighing;

static Weighing
begin_weighing(const KcServer *server, const KcForward *forward, KcTime now)
{
    return (Weighing){.server = server,
                      .forward = forward,
                      .load = KcServer_Load(server, now),
                      .now = now};
}

/* ---- full servers --------------------------------------------------------- */

/* Tokens of the requests at the server, with this one, as a percentage of its
 * memory; 0 when that is unknown. */
static uint64_t
memory_use_percent(const Weighing *weighing)
{
    const KcServer *server = weighing->server;
    uint32_t load = weighing->load;
    const KcRoutedService *service = KcRouting_FindService(
        weighing->forward->routing, server->pool->service);
    uint64_t tokens = server->in_flight_tokens + weighing->forward->tokens_max;

    if (service == NULL || service->engine.kv_cache_tokens == 0) {
        return 0;
    }
    /* Assume that the requests of other gateways have as many tokens. */
    if (server->in_flight > 0 && load > server->in_flight) {
        tokens += server->in_flight_tokens * (load - server->in_flight) /
                  server->in_flight;
    }
    return tokens * 100 / service->engine.kv_cache_tokens;
}

/* Connections that the server accepts from all gateways; 0: unknown. */
static uint32_t
connections_max(const KcServer *server)
{
    const KcRouting *routing = server->pool->gateway->routing;
    const KcRoutedService *service =
        routing != NULL ? KcRouting_FindService(routing, server->pool->service)
                        : NULL;

    return service != NULL ? service->connections_max : 0;
}

static uint32_t
connections_part(const KcServer *server)
{
    return KcConnections_Part(connections_max(server),
                              server->pool->gateway->gateway_count);
}

uint32_t
KcServer_IdleConnectionsMax(const KcServer *server)
{
    return KcConnections_IdleMax(connections_part(server), server->in_flight);
}

/* Would one more connection be beyond what the server accepts?  While it does
 * not tell how many requests the other gateways have there, they may use all
 * but this one's part. */
static bool
lacks_connections(const Weighing *weighing)
{
    const KcServer *server = weighing->server;

    if (server->load_reported_at != 0 &&
        weighing->now - server->load_reported_at < LOAD_STALE_AGE) {
        return weighing->load >=
               KcConnections_Part(connections_max(server), 1);
    }
    return server->in_flight >= connections_part(server);
}

/* Would a request without a model be late at a server that is slow now, though
 * its work is short enough for its objective? */
static bool
would_be_late(const Weighing *weighing)
{
    const KcServer *server = weighing->server;
    uint32_t load = weighing->load;
    uint32_t percent = KcSpeed_Percent(&server->speed, weighing->now);
    KcTime objective = weighing->forward->rule->latency_objective;
    KcTime usual = server->pool->work_ewma;
    KcTime work = usual * (KcTime)percent / KC_SPEED_USUAL_PERCENT;

    if (load >= server->concurrency_max) {
        work += work * (load + 1 - server->concurrency_max) /
                server->concurrency_max;
    }
    return weighing->forward->adapter == NULL &&
           percent > KC_SPEED_USUAL_PERCENT && usual <= objective &&
           work > objective;
}

static bool
has_full_load(const Weighing *weighing)
{
    return weighing->load * 100 >=
           weighing->server->concurrency_max * FULL_LOAD_PERCENT;
}

static bool
lacks_memory(const Weighing *weighing)
{
    return memory_use_percent(weighing) > MEMORY_MAX_PERCENT;
}

/* Why a server with requests has no capacity for a further one. */
static const struct {
    const char *name;
    bool (*is_met)(const Weighing *weighing);
} full_reasons[] = {
    {"full: requests", has_full_load},
    {"full: slow", would_be_late},
    {"full: connections", lacks_connections},
    {"full: memory", lacks_memory},
};

const char *
KcServer_WhyFull(const KcServer *server, const KcForward *forward, KcTime now)
{
    Weighing weighing = begin_weighing(server, forward, now);

    if (server->trial != NULL) {
        return "full: on trial"; /* see KcServer.closed_until */
    }
    if (weighing.load == 0) {
        return NULL; /* a request that is too large here fits no server */
    }
    for (size_t i = 0; i < sizeof(full_reasons) / sizeof(full_reasons[0]);
         i++) {
        if (full_reasons[i].is_met(&weighing)) {
            return full_reasons[i].name;
        }
    }
    return NULL;
}

bool
KcServer_IsFull(const KcServer *server, const KcForward *forward, KcTime now)
{
    return KcServer_WhyFull(server, forward, now) != NULL;
}

/* ---- terms of the cost ---------------------------------------------------- */

static KcTime
load_cost(uint32_t load, uint32_t concurrency_max)
{
    if (load <= concurrency_max) {
        return LOAD_COST * load / concurrency_max * load / concurrency_max;
    }
    return LOAD_COST +
           OVERLOAD_COST * (load - concurrency_max) / concurrency_max;
}

/* Fades with time, so that a server that failed is tried again. */
static KcTime
failure_cost(const Weighing *weighing)
{
    const KcServer *server = weighing->server;
    KcTime age = weighing->now - server->last_failure_at;

    if (server->failure_ewma == 0 || age >= FAILURE_FADE_TIME) {
        return 0;
    }
    return (KcTime)(server->failure_ewma * FAILURE_COST) *
           (FAILURE_FADE_TIME - age) / FAILURE_FADE_TIME;
}

/* Expected time to the first byte of an answer; 0 when none was measured
 * lately. */
static KcTime
expected_first_byte(const KcServer *server, KcTime now)
{
    KcTime age = now - server->first_byte_ewma_at;

    if (server->first_byte_ewma == 0 || age >= FIRST_BYTE_FADE_TIME) {
        return 0;
    }
    return server->first_byte_ewma * (FIRST_BYTE_FADE_TIME - age) /
           FIRST_BYTE_FADE_TIME;
}

bool
KcServer_IsSlow(const KcServer *server, const KcForward *forward, KcTime now)
{
    return expected_first_byte(server, now) * 100 >
           forward->rule->latency_objective * SLOW_PERCENT;
}

/* Expected delay of the first token by the other requests at the engine. */
static KcTime
contention_cost(const KcForward *forward, uint32_t load)
{
    KcTime delay = (KcTime)load * load * CONTENTION_DELAY;

    if (delay < CONTENTION_DELAY_MAX) {
        delay += delay * (KcTime)forward->tokens_max / CONTENTION_TOKENS;
    }
    return delay < CONTENTION_DELAY_MAX ? delay : CONTENTION_DELAY_MAX;
}

static KcTime
load_delay(const Weighing *weighing)
{
    return load_cost(weighing->load, weighing->server->concurrency_max) +
           (weighing->forward->adapter != NULL
                ? contention_cost(weighing->forward, weighing->load)
                : 0);
}

static KcTime
distance_term(const Weighing *weighing)
{
    return distance_cost[weighing->server->distance];
}

static KcTime
first_byte_term(const Weighing *weighing)
{
    const KcServer *server = weighing->server;

    return weighing->forward->adapter != NULL ||
                   !KcSpeed_IsTold(&server->speed)
               ? expected_first_byte(server, weighing->now)
               : 0;
}

static KcTime
load_term(const Weighing *weighing)
{
    return weighing->load_delay;
}

static KcTime
speed_term(const Weighing *weighing)
{
    const KcForward *forward = weighing->forward;
    const KcServer *server = weighing->server;
    KcPlacingWork work = {.own = forward->adapter != NULL
                                     ? (KcTime)forward->tokens_max *
                                           PROMPT_TOKEN_TIME
                                     : server->pool->work_ewma,
                          .others = weighing->load_delay};

    return KcPlacing_SpeedCost(&server->speed, &work, weighing->now);
}

static KcTime
suspect_term(const Weighing *weighing)
{
    KcTime left = weighing->server->suspect_until - weighing->now;

    return left > 0 ? FAILURE_COST + left : 0;
}

static KcTime
missing_term(const Weighing *weighing)
{
    return weighing->server->missing_at != 0 ? MISSING_COST : 0;
}

static KcTime
silence_term(const Weighing *weighing)
{
    return KcServer_IsSilent(weighing->server, weighing->now) ? SILENCE_COST
                                                              : 0;
}

static const struct {
    const char *name;
    KcTime (*cost)(const Weighing *weighing);
} terms[KC_COST_TERM_COUNT] = {
    {"distance", distance_term},
    {"failures", failure_cost},
    {"first byte", first_byte_term},
    {"load", load_term},
    {"speed", speed_term},
    {"avoided", suspect_term},
    {"record missing", missing_term},
    {"silence", silence_term},
};

const char *
KcCostTerm_Name(size_t term)
{
    return terms[term].name;
}

void
KcServer_ListCosts(const KcServer *server, const KcForward *forward,
                   KcTime costs[KC_COST_TERM_COUNT], KcTime now)
{
    Weighing weighing = begin_weighing(server, forward, now);

    weighing.load_delay = load_delay(&weighing);
    for (size_t i = 0; i < KC_COST_TERM_COUNT; i++) {
        costs[i] = terms[i].cost(&weighing);
    }
}

KcTime
KcServer_Cost(const KcServer *server, const KcForward *forward, KcTime now)
{
    KcTime costs[KC_COST_TERM_COUNT];
    KcTime sum = 0;

    KcServer_ListCosts(server, forward, costs, now);
    for (size_t i = 0; i < KC_COST_TERM_COUNT; i++) {
        sum += costs[i];
    }
    return sum;
}
