/*
 * Benchmarks of the policies in virtual time; one JSON object per line.
 *
 *   bench-policy [policy | shift | cold | all]
 *
 * Each line compares, on the same arrivals, a choice of routing and victim
 * policies with two bounds: the stall bound is clairvoyant (all slots pooled,
 * the farthest next use evicted), the batch bound packs the calls into as
 * few engines as can hold them.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../world/world_internal.h"

#define ADAPTERS 3000
#define BATCH 8
#define WARM_TIME (120 * KC_SECOND)
#define MEASURE_TIME (240 * KC_SECOND)
/* An adapter asked for at most this often in a trace is rare. */
#define RARE_USES 2

/* A deployment of the brief: its sizes and the weights of its option struct.
 */
typedef struct Deployment {
    const char *name;
    uint32_t workers;
    uint32_t stall_weight;
    uint32_t batch_weight;
    KcTime rare_stall;
    uint32_t loads_per_minute;
    uint32_t store_free;
    uint32_t store_burst;
    KcTime call_time;
    double load; /* share of all places that the arrivals fill */
} Deployment;

static const Deployment deployments[] = {
    {"association", 18, 40, 60, 8 * KC_SECOND, 420, 24, 3, 8 * KC_SECOND, 0.5},
    {"bombalerta", 9, 80, 20, 2 * KC_SECOND, 180, 8, 1, 6 * KC_SECOND, 0.4},
};

/* A pair of policies. */
typedef struct Policy {
    const char *name;
    const char *route;
    const char *victim;
} Policy;

static const Policy policies[] = {
    {"kcc", "kcc", "kcc"},
    {"kcc_lru", "kcc", "lru"},
    {"kcc_gdsf", "kcc", "gdsf"},
    {"random", "random", "lru"},
    {"least_loaded", "least_loaded", "lru"},
    {"hash", "hash", "lru"},
    {"bounded_hash", "bounded_hash", "lru"},
};

#define POLICY_COUNT (sizeof(policies) / sizeof(policies[0]))

/* ---- arrivals -------------------------------------------------------------- */

typedef struct Arrival {
    KcTime at;
    uint32_t adapter;
} Arrival;

typedef struct Trace {
    Arrival *arrivals;
    uint32_t count;
    uint32_t uses[ADAPTERS];
} Trace;

static double
draw_unit(uint64_t *state)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return (double)(*state >> 11) / 9007199254740992.0;
}

/* Cumulative shares of adapters by rank. */
static void
fill_zipf(double exponent, double *cumulative)
{
    double total = 0;

    for (int i = 0; i < ADAPTERS; i++) {
        total += pow(i + 1, -exponent);
        cumulative[i] = total;
    }
    for (int i = 0; i < ADAPTERS; i++) {
        cumulative[i] /= total;
    }
}

static uint32_t
draw_rank(const double *cumulative, uint64_t *state)
{
    double at = draw_unit(state);
    int low = 0;
    int high = ADAPTERS - 1;

    while (low < high) {
        int middle = (low + high) / 2;

        if (cumulative[middle] < at) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return (uint32_t)low;
}

/* Poisson arrivals; after shift_at, ranks belong to other adapters. */
static void
make_trace(Trace *trace, double per_second, double exponent, KcTime duration,
           KcTime shift_at, uint64_t seed)
{
    uint32_t capacity =
        (uint32_t)(per_second * 2 * ((double)duration / (double)KC_SECOND)) +
        1000;
    double *cumulative = KcMem_New(ADAPTERS * sizeof(*cumulative));
    uint64_t state = seed * 0x9e3779b97f4a7c15ULL | 1;
    double now = 0;

    memset(trace, 0, sizeof(*trace));
    trace->arrivals = KcMem_New(capacity * sizeof(*trace->arrivals));
    fill_zipf(exponent, cumulative);
    for (;;) {
        Arrival *arrival = &trace->arrivals[trace->count];
        uint32_t rank;

        now += -log(1 - draw_unit(&state)) / per_second * KC_SECOND;
        if ((KcTime)now >= duration || trace->count + 1 == capacity) {
            break;
        }
        rank = draw_rank(cumulative, &state);
        arrival->at = (KcTime)now;
        /* Spread ranks over names, so that names say nothing. */
        arrival->adapter =
            (rank * 1237 + ((KcTime)now >= shift_at ? ADAPTERS / 2 : 0)) %
            ADAPTERS;
        trace->uses[arrival->adapter]++;
        trace->count++;
    }
    free(cumulative);
}

/* ---- bounds ----------------------------------------------------------------- */

/* Index of the next use of each arrival's adapter. */
static uint32_t *
next_uses(const Trace *trace)
{
    uint32_t *next = KcMem_New(trace->count * sizeof(*next));
    uint32_t *latest = KcMem_New(ADAPTERS * sizeof(*latest));

    memset(latest, 0xff, ADAPTERS * sizeof(*latest));
    for (uint32_t i = trace->count; i-- > 0;) {
        uint32_t adapter = trace->arrivals[i].adapter;

        next[i] = latest[adapter];
        latest[adapter] = i;
    }
    free(latest);
    return next;
}

/* The held adapter whose next use is farthest away. */
static uint32_t
farthest(const uint32_t *next_of, const bool *held)
{
    uint32_t best = ADAPTERS;

    for (uint32_t i = 0; i < ADAPTERS; i++) {
        if (held[i] && (best == ADAPTERS || next_of[i] > next_of[best])) {
            best = i;
        }
    }
    return best;
}

/* Mean stall in microseconds of the clairvoyant bound after from. */
static double
stall_bound(const Trace *trace, uint32_t slots, KcTime load, KcTime from)
{
    uint32_t *next = next_uses(trace);
    uint32_t *next_of = KcMem_New(ADAPTERS * sizeof(*next_of));
    KcTime *ready = KcMem_New(ADAPTERS * sizeof(*ready));
    bool *held = KcMem_New(ADAPTERS * sizeof(*held));
    uint32_t used = 0;
    uint32_t counted = 0;
    double total = 0;

    for (uint32_t i = 0; i < trace->count; i++) {
        const Arrival *arrival = &trace->arrivals[i];
        uint32_t adapter = arrival->adapter;

        if (!held[adapter]) {
            if (used == slots) {
                held[farthest(next_of, held)] = false;
                used--;
            }
            held[adapter] = true;
            used++;
            ready[adapter] = arrival->at + load;
        }
        next_of[adapter] = next[i];
        if (arrival->at < from) {
            continue;
        }
        counted++;
        if (ready[adapter] > arrival->at) {
            total += (double)(ready[adapter] - arrival->at);
        }
    }
    free(next);
    free(next_of);
    free(ready);
    free(held);
    return counted > 0 ? total / counted : 0;
}

/* Share of places filled when calls are packed into the fewest engines. */
static double
batch_bound(const Trace *trace, uint32_t batch, uint32_t workers,
            KcTime call_time, KcTime from)
{
    double running = 0;
    double places = 0;
    uint32_t first = 0;

    /* Sampled each tenth of a second. */
    for (KcTime at = from; at < trace->arrivals[trace->count - 1].at;
         at += 100 * KC_MS) {
        uint32_t calls = 0;
        uint32_t engines;

        while (trace->arrivals[first].at + call_time < at) {
            first++;
        }
        while (first + calls < trace->count &&
               trace->arrivals[first + calls].at <= at) {
            calls++;
        }
        engines = (calls + batch - 1) / batch;
        if (engines > workers) {
            engines = workers;
            calls = workers * batch;
        }
        running += calls;
        places += (double)engines * batch;
    }
    return places > 0 ? running / places : 0;
}

/* ---- a run ------------------------------------------------------------------- */

typedef struct Figures {
    double stall_mean; /* milliseconds */
    double stall_p99;
    double rare_p99;
    double batch;  /* share of places filled in busy engines */
    double remote; /* share of attempts in another region */
    uint32_t answered;
    uint32_t requests;
    uint32_t loads;
} Figures;

static void
set_options(WorldOptions *options, const Deployment *deployment,
            const Policy *policy, uint32_t slots, uint64_t seed)
{
    WorldOptions_Init(options);
    options->seed = seed;
    options->entry_count = 3;
    options->model_agent_count = deployment->workers;
    options->plain_agent_count = 0;
    options->region_count = 2;
    options->adapter_count = ADAPTERS;
    options->adapter_slots = slots;
    options->concurrency_max = BATCH;
    options->queue_max = 1000;
    options->answer_tokens = 5;
    options->token_interval = deployment->call_time / 6;
    options->service_time = deployment->call_time;
    options->default_deadline = 600 * KC_SECOND;
    options->loads_per_minute = deployment->loads_per_minute;
    options->stall_weight = deployment->stall_weight;
    options->batch_weight = deployment->batch_weight;
    options->rare_stall_max = deployment->rare_stall;
    options->weight_store_full_speed_max = deployment->store_free;
    options->weight_store_loads_per_minute = deployment->loads_per_minute;
    options->weight_store_load_burst = deployment->store_burst;
    options->route_policy = policy->route;
    options->victim_policy = policy->victim;
}

/* Sends the arrivals up to a time into the world. */
static void
play(World *world, const Trace *trace, uint32_t *next, KcTime base,
     KcTime until)
{
    while (*next < trace->count && trace->arrivals[*next].at < until) {
        const Arrival *arrival = &trace->arrivals[*next];
        KcTime wait = base + arrival->at - World_Now(world);

        if (wait > 0) {
            World_Advance(world, wait);
        }
        World_CallModel(World_GetEntry(world, *next % 3), arrival->adapter, 2,
                        KC_PRIORITY_DEFAULT);
        (*next)++;
    }
    if (base + until > World_Now(world)) {
        World_Advance(world, base + until - World_Now(world));
    }
}

static int
by_value(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return (left > right) - (left < right);
}

static double
percentile(double *values, uint32_t count, int percent)
{
    qsort(values, count, sizeof(*values), by_value);
    return count > 0 ? values[(uint64_t)count * (uint32_t)percent / 100] : 0;
}

/* Busy and running time of all engines so far. */
static void
engine_times(World *world, double *busy, double *running, uint32_t *loads)
{
    *busy = 0;
    *running = 0;
    *loads = 0;
    for (uint32_t i = 0; i < World_AgentCount(world); i++) {
        WorldEngine *engine = World_GetAgent(world, i)->engine;

        WorldEngine_UpdateUsage(engine);
        *busy += engine->busy_seconds;
        *running += engine->call_seconds;
        *loads += (uint32_t)engine->load_count;
    }
}

static double
remote_share(World *world)
{
    uint64_t remote = 0;
    uint64_t attempts = 0;

    for (uint32_t i = 0; i < World_EntryCount(world); i++) {
        const WorldNode *entry = World_GetEntry(world, i);

        remote += entry->counters.values[KC_COUNT_REMOTE_ATTEMPTS];
        attempts += entry->counters.values[KC_COUNT_ATTEMPTS];
    }
    return attempts > 0 ? (double)remote / (double)attempts : 0;
}

/* Stalls of the callers that came within a window. */
static void
collect_stalls(World *world, const Trace *trace, KcTime from, KcTime to,
               Figures *figures)
{
    double *all = KcMem_New(world->caller_count * sizeof(*all));
    double *rare = KcMem_New(world->caller_count * sizeof(*rare));
    uint32_t rare_count = 0;
    uint32_t count = 0;
    double total = 0;

    figures->answered = 0;
    figures->requests = 0;
    for (uint32_t i = 0; i < world->caller_count; i++) {
        const WorldCaller *caller = world->callers_by_number[i];
        double stall = (double)caller->load_stall / (double)KC_MS;

        if (caller->submitted_at < from || caller->submitted_at >= to) {
            continue;
        }
        figures->requests++;
        figures->answered +=
            caller->is_finished && caller->outcome == KC_OUTCOME_ANSWERED;
        total += stall;
        all[count++] = stall;
        if (trace->uses[trace->arrivals[i].adapter] <= RARE_USES) {
            rare[rare_count++] = stall;
        }
    }
    figures->stall_mean = count > 0 ? total / count : 0;
    figures->stall_p99 = percentile(all, count, 99);
    figures->rare_p99 = percentile(rare, rare_count, 99);
    free(all);
    free(rare);
}

static void
run_steady(const Deployment *deployment, const Policy *policy, uint32_t slots,
           const Trace *trace, uint64_t seed, Figures *figures)
{
    double busy[2];
    double running[2];
    uint32_t loads[2];
    WorldOptions options;
    uint32_t next = 0;
    World *world;
    KcTime base;

    set_options(&options, deployment, policy, slots, seed);
    world = World_Create(&options);
    World_Advance(world, 2 * KC_SECOND);
    base = World_Now(world);
    play(world, trace, &next, base, WARM_TIME);
    engine_times(world, &busy[0], &running[0], &loads[0]);
    play(world, trace, &next, base, WARM_TIME + MEASURE_TIME);
    engine_times(world, &busy[1], &running[1], &loads[1]);
    World_Advance(world, 120 * KC_SECOND);
    collect_stalls(world, trace, base + WARM_TIME,
                   base + WARM_TIME + MEASURE_TIME, figures);
    figures->batch = (running[1] - running[0]) / (busy[1] - busy[0]) /
                     options.concurrency_max;
    figures->remote = remote_share(world);
    figures->loads = loads[1] - loads[0];
    World_Free(world);
}

static double
arrivals_per_second(const Deployment *deployment)
{
    return deployment->load * deployment->workers * BATCH * (double)KC_SECOND /
           (double)deployment->call_time;
}

/* ---- benches ------------------------------------------------------------------ */

static void
bench_policy_at(const Deployment *deployment, double exponent, uint32_t slots,
                uint64_t seed)
{
    Trace trace;
    double bound;
    double packed;

    make_trace(&trace, arrivals_per_second(deployment), exponent,
               WARM_TIME + MEASURE_TIME, KC_NEVER, seed);
    bound = stall_bound(&trace, slots * deployment->workers, 250 * KC_MS,
                        WARM_TIME) /
            (double)KC_MS;
    packed = batch_bound(&trace, BATCH, deployment->workers,
                         deployment->call_time, WARM_TIME);
    for (size_t i = 0; i < POLICY_COUNT; i++) {
        Figures figures;

        run_steady(deployment, &policies[i], slots, &trace, seed, &figures);
        printf("{\"bench\":\"policy\",\"deployment\":\"%s\",\"scenario\":"
               "\"zipf%.1f_slots%u\",\"policy\":\"%s\",\"seed\":%llu,"
               "\"requests\":%u,\"answered\":%u,\"loads\":%u,"
               "\"load_stall_ms_mean\":%.1f,\"load_stall_ms_p99\":%.0f,"
               "\"rare_stall_ms_p99\":%.0f,\"batch_efficiency\":%.3f,"
               "\"remote_share\":%.3f,\"bound_stall_ms_mean\":%.1f,"
               "\"bound_batch_efficiency\":%.3f}\n",
               deployment->name, exponent, slots, policies[i].name,
               (unsigned long long)seed, figures.requests, figures.answered,
               figures.loads, figures.stall_mean, figures.stall_p99,
               figures.rare_p99, figures.batch, figures.remote, bound, packed);
        fflush(stdout);
    }
    free(trace.arrivals);
}

static void
bench_policy(void)
{
    static const double exponents[] = {0.9, 1.1};
    static const uint32_t slots[] = {4, 8, 16};

    for (size_t d = 0; d < 2; d++) {
        for (size_t e = 0; e < 2; e++) {
            for (size_t s = 0; s < 3; s++) {
                bench_policy_at(&deployments[d], exponents[e], slots[s], 1);
            }
        }
    }
}

/* Seconds after an event until the mean stall of ten seconds is back within
 * 1.5 times what it was before; -1: not within the trace. */
static int
recovery_seconds(World *world, const Trace *trace, KcTime base, KcTime event)
{
    Figures before;

    collect_stalls(world, trace, base + event - 60 * KC_SECOND, base + event,
                   &before);
    for (int second = 0; second < 200; second += 5) {
        KcTime from = base + event + second * KC_SECOND;
        Figures after;

        collect_stalls(world, trace, from, from + 10 * KC_SECOND, &after);
        if (after.stall_mean <= 1.5 * before.stall_mean) {
            return second;
        }
    }
    return -1;
}

#define EVENT_AT (180 * KC_SECOND)
#define EVENT_TRACE (420 * KC_SECOND)

static void
bench_event(const char *bench, bool shift)
{
    for (size_t d = 0; d < 2; d++) {
        WorldOptions options;
        Figures worst;
        Trace trace;
        uint32_t next = 0;
        World *world;
        KcTime base;

        make_trace(&trace, arrivals_per_second(&deployments[d]), 1.1,
                   EVENT_TRACE, shift ? EVENT_AT : KC_NEVER, 1);
        set_options(&options, &deployments[d], &policies[0], 8, 1);
        world = World_Create(&options);
        World_Advance(world, 2 * KC_SECOND);
        base = World_Now(world);
        play(world, &trace, &next, base, EVENT_AT);
        for (uint32_t i = 0; !shift && i < World_AgentCount(world); i += 2) {
            World_RestartEngine(World_GetAgent(world, i)); /* one region */
        }
        play(world, &trace, &next, base, EVENT_TRACE);
        World_Advance(world, 120 * KC_SECOND);
        collect_stalls(world, &trace, base + EVENT_AT,
                       base + EVENT_AT + 60 * KC_SECOND, &worst);
        printf("{\"bench\":\"%s\",\"deployment\":\"%s\",\"scenario\":"
               "\"zipf1.1_slots8\",\"policy\":\"kcc\",\"seed\":1,"
               "\"recovery_s\":%d,\"requests\":%u,\"answered\":%u,"
               "\"stall_ms_p99_in_first_minute\":%.0f}\n",
               bench, deployments[d].name,
               recovery_seconds(world, &trace, base, EVENT_AT), worst.requests,
               worst.answered, worst.stall_p99);
        fflush(stdout);
        World_Free(world);
        free(trace.arrivals);
    }
}

int
main(int argc, char **argv)
{
    const char *which = argc > 1 ? argv[1] : "all";
    bool all = strcmp(which, "all") == 0;

    if (all || strcmp(which, "policy") == 0) {
        bench_policy();
    }
    if (strcmp(which, "quick") == 0) {
        bench_policy_at(&deployments[0], 0.9, 8, 1);
        bench_policy_at(&deployments[1], 1.1, 8, 1);
        bench_policy_at(&deployments[1], 0.9, 8, 1);
        bench_policy_at(&deployments[0], 0.9, 4, 1);
    }
    if (all || strcmp(which, "shift") == 0) {
        bench_event("shift", true);
    }
    if (all || strcmp(which, "cold") == 0) {
        bench_event("cold", false);
    }
    return 0;
}
