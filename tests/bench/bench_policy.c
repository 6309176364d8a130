/*
 * Benchmarks of routing and eviction policies in virtual time; prints one JSON
 * object a line.
 *
 *   bench-policy [policy | quick | shift | cold | all]
 *
 * policy (quick: four cases of it) compares, on the same arrivals, pairs of
 * policies with two bounds.  The stall bound knows all arrivals: it pools all
 * slots and evicts the adapter whose next use is farthest away.  The batch
 * bound packs the calls into as few engines as can run them.  shift and cold
 * measure the recovery after a change of popularity and after the engines of
 * one region restart without adapters.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../world/world_internal.h"

#define ADAPTER_COUNT 3000
#define ENGINE_CONCURRENCY_MAX 8
#define WARM_UP_DURATION (120 * KC_SECOND)
#define MEASURE_DURATION (240 * KC_SECOND)
/* An adapter with at most this many uses in a trace counts as rarely used. */
#define RARE_USES_MAX 2

/* A deployment to simulate: its size, load and settings. */
typedef struct Deployment {
    const char *name;
    uint32_t workers; /* engines, each with an agent */
    uint32_t stall_weight;
    uint32_t batch_weight;
    KcTime rare_stall_max;
    uint32_t loads_per_minute;
    uint32_t full_speed_loads_max; /* loads in flight at full speed */
    uint32_t load_burst_max;       /* loads begun at once after a pause */
    KcTime call_duration;
    double load_fraction; /* of the concurrency limits of all engines */
} Deployment;

static const Deployment deployments[] = {
    {"association", 18, 40, 60, 8 * KC_SECOND, 420, 24, 3, 8 * KC_SECOND, 0.5},
    {"bombalerta", 9, 80, 20, 2 * KC_SECOND, 180, 8, 1, 6 * KC_SECOND, 0.4},
};

/* A pair of policies by name, and the name that the output gives to it. */
typedef struct PolicyPair {
    const char *name;
    const char *route_policy;
    const char *victim_policy;
} PolicyPair;

static const PolicyPair policy_pairs[] = {
    {"kcc", "kcc", "kcc"},
    {"kcc_lru", "kcc", "lru"},
    {"kcc_gdsf", "kcc", "gdsf"},
    {"random", "random", "lru"},
    {"least_loaded", "least_loaded", "lru"},
    {"hash", "hash", "lru"},
    {"bounded_hash", "bounded_hash", "lru"},
};

#define POLICY_PAIR_COUNT (sizeof(policy_pairs) / sizeof(policy_pairs[0]))

/* ---- arrivals -------------------------------------------------------------- */

/* A call for an adapter; arrives_at counts from the start of the trace. */
typedef struct Arrival {
    KcTime arrives_at;
    uint32_t adapter;
} Arrival;

typedef struct Trace {
    Arrival *arrivals;
    uint32_t count;
    uint32_t use_counts[ADAPTER_COUNT]; /* by adapter */
} Trace;

/* Returns a random number from 0 to 1, 1 excluded (xorshift). */
static double
draw_unit(uint64_t *state)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return (double)(*state >> 11) / 9007199254740992.0;
}

/* Fills in the cumulative Zipf distribution of adapters by rank. */
static void
fill_zipf(double exponent, double *cumulative)
{
    double total = 0;

    for (int i = 0; i < ADAPTER_COUNT; i++) {
        total += pow(i + 1, -exponent);
        cumulative[i] = total;
    }
    for (int i = 0; i < ADAPTER_COUNT; i++) {
        cumulative[i] /= total;
    }
}

/* Returns a random rank of the given cumulative distribution. */
static uint32_t
draw_rank(const double *cumulative, uint64_t *state)
{
    double target = draw_unit(state);
    int low = 0;
    int high = ADAPTER_COUNT - 1;

    while (low < high) {
        int middle = (low + high) / 2;

        if (cumulative[middle] < target) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return (uint32_t)low;
}

/* Makes Poisson arrivals.  From shift_at on, each popularity rank belongs to
 * another adapter.  The caller frees trace->arrivals. */
static void
make_trace(Trace *trace, double per_second, double exponent, KcTime duration,
           KcTime shift_at, uint64_t seed)
{
    uint32_t capacity =
        (uint32_t)(per_second * 2 * ((double)duration / (double)KC_SECOND)) +
        1000;
    double *cumulative = KcMem_New(ADAPTER_COUNT * sizeof(*cumulative));
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
        arrival->arrives_at = (KcTime)now;
        /* Scatters ranks over numbers, so that names don't show popularity. */
        arrival->adapter =
            (rank * 1237 + ((KcTime)now >= shift_at ? ADAPTER_COUNT / 2 : 0)) %
            ADAPTER_COUNT;
        trace->use_counts[arrival->adapter]++;
        trace->count++;
    }
    free(cumulative);
}

/* ---- bounds ----------------------------------------------------------------- */

/* Returns, for each arrival, the index of its adapter's next arrival,
 * UINT32_MAX if none; the caller frees the array. */
static uint32_t *
find_next_uses(const Trace *trace)
{
    uint32_t *next_by_arrival =
        KcMem_New(trace->count * sizeof(*next_by_arrival));
    uint32_t *next_by_adapter =
        KcMem_New(ADAPTER_COUNT * sizeof(*next_by_adapter));

    memset(next_by_adapter, 0xff, ADAPTER_COUNT * sizeof(*next_by_adapter));
    for (uint32_t i = trace->count; i-- > 0;) {
        uint32_t adapter = trace->arrivals[i].adapter;

        next_by_arrival[i] = next_by_adapter[adapter];
        next_by_adapter[adapter] = i;
    }
    free(next_by_adapter);
    return next_by_arrival;
}

/* Returns the loaded adapter whose next use is farthest away, ADAPTER_COUNT if
 * none is loaded. */
static uint32_t
find_farthest_adapter(const uint32_t *next_by_adapter, const bool *is_loaded)
{
    uint32_t best = ADAPTER_COUNT;

    for (uint32_t i = 0; i < ADAPTER_COUNT; i++) {
        if (is_loaded[i] && (best == ADAPTER_COUNT ||
                             next_by_adapter[i] > next_by_adapter[best])) {
            best = i;
        }
    }
    return best;
}

/* Returns the mean stall in microseconds of arrivals since measure_from, when
 * all slots are pooled and all arrivals are known. */
static double
compute_stall_bound(const Trace *trace, uint32_t slots, KcTime load_time,
                    KcTime measure_from)
{
    uint32_t *next_by_arrival = find_next_uses(trace);
    uint32_t *next_by_adapter =
        KcMem_New(ADAPTER_COUNT * sizeof(*next_by_adapter));
    KcTime *loaded_at = KcMem_New(ADAPTER_COUNT * sizeof(*loaded_at));
    bool *is_loaded = KcMem_New(ADAPTER_COUNT * sizeof(*is_loaded));
    uint32_t loaded_count = 0;
    uint32_t measured_count = 0;
    double total = 0;

    for (uint32_t i = 0; i < trace->count; i++) {
        const Arrival *arrival = &trace->arrivals[i];
        uint32_t adapter = arrival->adapter;

        if (!is_loaded[adapter]) {
            if (loaded_count == slots) {
                is_loaded[find_farthest_adapter(next_by_adapter, is_loaded)] =
                    false;
                loaded_count--;
            }
            is_loaded[adapter] = true;
            loaded_count++;
            loaded_at[adapter] = arrival->arrives_at + load_time;
        }
        next_by_adapter[adapter] = next_by_arrival[i];
        if (arrival->arrives_at < measure_from) {
            continue;
        }
        measured_count++;
        if (loaded_at[adapter] > arrival->arrives_at) {
            total += (double)(loaded_at[adapter] - arrival->arrives_at);
        }
    }
    free(next_by_arrival);
    free(next_by_adapter);
    free(loaded_at);
    free(is_loaded);
    return measured_count > 0 ? total / measured_count : 0;
}

/* Returns the filled fraction of the concurrency limits of busy engines, when
 * calls are packed into the fewest engines. */
static double
compute_batch_bound(const Trace *trace, uint32_t concurrency_max,
                    uint32_t workers, KcTime call_duration,
                    KcTime measure_from)
{
    double running_sum = 0;
    double limit_sum = 0;
    uint32_t first_running = 0;

    /* Sampled every 100 ms. */
    for (KcTime sampled_at = measure_from;
         sampled_at < trace->arrivals[trace->count - 1].arrives_at;
         sampled_at += 100 * KC_MS) {
        uint32_t calls = 0;
        uint32_t engines;

        while (trace->arrivals[first_running].arrives_at + call_duration <
               sampled_at) {
            first_running++;
        }
        while (first_running + calls < trace->count &&
               trace->arrivals[first_running + calls].arrives_at <=
                   sampled_at) {
            calls++;
        }
        engines = (calls + concurrency_max - 1) / concurrency_max;
        if (engines > workers) {
            engines = workers;
            calls = workers * concurrency_max;
        }
        running_sum += calls;
        limit_sum += (double)engines * concurrency_max;
    }
    return limit_sum > 0 ? running_sum / limit_sum : 0;
}

/* ---- a run ------------------------------------------------------------------- */

/* What one run of a pair of policies on a trace gave. */
typedef struct RunFigures {
    double stall_ms_mean;
    double stall_ms_p99;
    double rare_stall_ms_p99; /* of rarely used adapters */
    double batch_fraction;    /* of concurrency limits of busy engines */
    double remote_fraction;   /* of attempts, in another region */
    uint32_t answered;
    uint32_t requests;
    uint32_t loads;
} RunFigures;

/* Fills in the options of a simulated world. */
static void
set_options(WorldOptions *options, const Deployment *deployment,
            const PolicyPair *policy, uint32_t slots, uint64_t seed)
{
    WorldOptions_Init(options);
    options->seed = seed;
    options->entries = 3;
    options->model_agents = deployment->workers;
    options->plain_agents = 0;
    options->regions = 2;
    options->adapters = ADAPTER_COUNT;
    options->slots = slots;
    options->batch = ENGINE_CONCURRENCY_MAX;
    options->queue_max = 1000;
    options->tokens = 5;
    options->token_time = deployment->call_duration / 6;
    options->service_time = deployment->call_duration;
    options->deadline = 600 * KC_SECOND;
    options->loads_per_minute = deployment->loads_per_minute;
    options->stall_weight = deployment->stall_weight;
    options->batch_weight = deployment->batch_weight;
    options->rare_stall = deployment->rare_stall_max;
    options->store_free = deployment->full_speed_loads_max;
    options->store_per_minute = deployment->loads_per_minute;
    options->store_burst = deployment->load_burst_max;
    options->route = policy->route_policy;
    options->victim = policy->victim_policy;
}

/* Starts the calls of a trace from *next_index on that arrive before until,
 * counted from the start of the trace, and advances virtual time to it. */
static void
replay_arrivals(World *world, const Trace *trace, uint32_t *next_index,
                KcTime trace_started_at, KcTime until)
{
    while (*next_index < trace->count &&
           trace->arrivals[*next_index].arrives_at < until) {
        const Arrival *arrival = &trace->arrivals[*next_index];
        KcTime wait =
            trace_started_at + arrival->arrives_at - World_Now(world);

        if (wait > 0) {
            World_Advance(world, wait);
        }
        World_CallModel(World_Entry(world, *next_index % 3), arrival->adapter,
                        2, KC_PRIORITY_DEFAULT);
        (*next_index)++;
    }
    if (trace_started_at + until > World_Now(world)) {
        World_Advance(world, trace_started_at + until - World_Now(world));
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return (left > right) - (left < right);
}

/* Returns a percentile, 0 when there are no values; sorts the values. */
static double
percentile(double *values, uint32_t count, int percent)
{
    qsort(values, count, sizeof(*values), compare_doubles);
    return count > 0 ? values[(uint64_t)count * (uint32_t)percent / 100] : 0;
}

/* Sums up over all engines so far: the time with a running call, that time
 * multiplied by the number of running calls, and the loads. */
static void
sum_engine_figures(World *world, double *busy_time, double *running_time,
                   uint32_t *loads)
{
    *busy_time = 0;
    *running_time = 0;
    *loads = 0;
    for (uint32_t i = 0; i < World_AgentCount(world); i++) {
        WorldEngine *engine = World_Agent(world, i)->engine;

        WorldEngine_Integrate(engine);
        *busy_time += engine->busy_time;
        *running_time += engine->running_time;
        *loads += (uint32_t)engine->loads;
    }
}

/* Returns the fraction of attempts that went to another region. */
static double
compute_remote_fraction(World *world)
{
    uint64_t remote = 0;
    uint64_t attempts = 0;

    for (uint32_t i = 0; i < World_EntryCount(world); i++) {
        const WorldNode *entry = World_Entry(world, i);

        remote += entry->counters.values[KC_COUNT_REMOTE_ATTEMPTS];
        attempts += entry->counters.values[KC_COUNT_ATTEMPTS];
    }
    return attempts > 0 ? (double)remote / (double)attempts : 0;
}

/* Fills in requests, answers and stalls of the calls submitted in a period. */
static void
measure_stalls(World *world, const Trace *trace, KcTime from, KcTime to,
               RunFigures *figures)
{
    double *all_stalls = KcMem_New(world->caller_count * sizeof(*all_stalls));
    double *rare_stalls =
        KcMem_New(world->caller_count * sizeof(*rare_stalls));
    uint32_t rare_count = 0;
    uint32_t count = 0;
    double total = 0;

    figures->answered = 0;
    figures->requests = 0;
    for (uint32_t i = 0; i < world->caller_count; i++) {
        const WorldCaller *caller = world->caller_index[i];
        double stall = (double)caller->stall / (double)KC_MS;

        if (caller->submitted < from || caller->submitted >= to) {
            continue;
        }
        figures->requests++;
        figures->answered +=
            caller->finished && caller->outcome == KC_OUTCOME_ANSWERED;
        total += stall;
        all_stalls[count++] = stall;
        if (trace->use_counts[trace->arrivals[i].adapter] <= RARE_USES_MAX) {
            rare_stalls[rare_count++] = stall;
        }
    }
    figures->stall_ms_mean = count > 0 ? total / count : 0;
    figures->stall_ms_p99 = percentile(all_stalls, count, 99);
    figures->rare_stall_ms_p99 = percentile(rare_stalls, rare_count, 99);
    free(all_stalls);
    free(rare_stalls);
}

/* Replays a trace with one pair of policies and measures it after warm-up. */
static void
measure_policies(const Deployment *deployment, const PolicyPair *policy,
                 uint32_t slots, const Trace *trace, uint64_t seed,
                 RunFigures *figures)
{
    double busy_time[2];
    double running_time[2];
    uint32_t loads[2];
    WorldOptions options;
    uint32_t next_index = 0;
    World *world;
    KcTime trace_started_at;

    set_options(&options, deployment, policy, slots, seed);
    world = World_Create(&options);
    World_Advance(world, 2 * KC_SECOND);
    trace_started_at = World_Now(world);
    replay_arrivals(world, trace, &next_index, trace_started_at,
                    WARM_UP_DURATION);
    sum_engine_figures(world, &busy_time[0], &running_time[0], &loads[0]);
    replay_arrivals(world, trace, &next_index, trace_started_at,
                    WARM_UP_DURATION + MEASURE_DURATION);
    sum_engine_figures(world, &busy_time[1], &running_time[1], &loads[1]);
    World_Advance(world, 120 * KC_SECOND);
    measure_stalls(world, trace, trace_started_at + WARM_UP_DURATION,
                   trace_started_at + WARM_UP_DURATION + MEASURE_DURATION,
                   figures);
    figures->batch_fraction = (running_time[1] - running_time[0]) /
                              (busy_time[1] - busy_time[0]) / options.batch;
    figures->remote_fraction = compute_remote_fraction(world);
    figures->loads = loads[1] - loads[0];
    World_Free(world);
}

/* Returns the rate of arrivals that makes up the deployment's load. */
static double
arrivals_per_second(const Deployment *deployment)
{
    return deployment->load_fraction * deployment->workers *
           ENGINE_CONCURRENCY_MAX * (double)KC_SECOND /
           (double)deployment->call_duration;
}

/* ---- benchmarks --------------------------------------------------------------- */

static void
bench_policy_at(const Deployment *deployment, double exponent, uint32_t slots,
                uint64_t seed)
{
    Trace trace;
    double stall_bound_ms;
    double batch_bound_fraction;

    make_trace(&trace, arrivals_per_second(deployment), exponent,
               WARM_UP_DURATION + MEASURE_DURATION, KC_NEVER, seed);
    stall_bound_ms = compute_stall_bound(&trace, slots * deployment->workers,
                                         250 * KC_MS, WARM_UP_DURATION) /
                     (double)KC_MS;
    batch_bound_fraction = compute_batch_bound(
        &trace, ENGINE_CONCURRENCY_MAX, deployment->workers,
        deployment->call_duration, WARM_UP_DURATION);
    for (size_t i = 0; i < POLICY_PAIR_COUNT; i++) {
        RunFigures figures;

        measure_policies(deployment, &policy_pairs[i], slots, &trace, seed,
                         &figures);
        printf("{\"bench\":\"policy\",\"deployment\":\"%s\",\"scenario\":"
               "\"zipf%.1f_slots%u\",\"policy\":\"%s\",\"seed\":%llu,"
               "\"requests\":%u,\"answered\":%u,\"loads\":%u,"
               "\"load_stall_ms_mean\":%.1f,\"load_stall_ms_p99\":%.0f,"
               "\"rare_stall_ms_p99\":%.0f,\"batch_efficiency\":%.3f,"
               "\"remote_share\":%.3f,\"bound_stall_ms_mean\":%.1f,"
               "\"bound_batch_efficiency\":%.3f}\n",
               deployment->name, exponent, slots, policy_pairs[i].name,
               (unsigned long long)seed, figures.requests, figures.answered,
               figures.loads, figures.stall_ms_mean, figures.stall_ms_p99,
               figures.rare_stall_ms_p99, figures.batch_fraction,
               figures.remote_fraction, stall_bound_ms, batch_bound_fraction);
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

/* Returns the seconds from an event until the mean stall over ten seconds is
 * at most 1.5 times the mean of the minute before it, in steps of 5; -1 when
 * that isn't reached within 200 s. */
static int
measure_recovery_seconds(World *world, const Trace *trace,
                         KcTime trace_started_at, KcTime event_at)
{
    RunFigures before;

    measure_stalls(world, trace, trace_started_at + event_at - 60 * KC_SECOND,
                   trace_started_at + event_at, &before);
    for (int second = 0; second < 200; second += 5) {
        KcTime from = trace_started_at + event_at + second * KC_SECOND;
        RunFigures after;

        measure_stalls(world, trace, from, from + 10 * KC_SECOND, &after);
        if (after.stall_ms_mean <= 1.5 * before.stall_ms_mean) {
            return second;
        }
    }
    return -1;
}

#define EVENT_AT (180 * KC_SECOND)
#define EVENT_TRACE_DURATION (420 * KC_SECOND)

/* Measures the recovery from a shift of popularity, or else from the restart
 * of one region's engines. */
static void
bench_event(const char *bench, bool shift)
{
    for (size_t d = 0; d < 2; d++) {
        WorldOptions options;
        RunFigures figures;
        Trace trace;
        uint32_t next_index = 0;
        World *world;
        KcTime trace_started_at;

        make_trace(&trace, arrivals_per_second(&deployments[d]), 1.1,
                   EVENT_TRACE_DURATION, shift ? EVENT_AT : KC_NEVER, 1);
        set_options(&options, &deployments[d], &policy_pairs[0], 8, 1);
        world = World_Create(&options);
        World_Advance(world, 2 * KC_SECOND);
        trace_started_at = World_Now(world);
        replay_arrivals(world, &trace, &next_index, trace_started_at,
                        EVENT_AT);
        for (uint32_t i = 0; !shift && i < World_AgentCount(world); i += 2) {
            World_RestartEngine(World_Agent(world, i)); /* all in one region */
        }
        replay_arrivals(world, &trace, &next_index, trace_started_at,
                        EVENT_TRACE_DURATION);
        World_Advance(world, 120 * KC_SECOND);
        measure_stalls(world, &trace, trace_started_at + EVENT_AT,
                       trace_started_at + EVENT_AT + 60 * KC_SECOND, &figures);
        printf("{\"bench\":\"%s\",\"deployment\":\"%s\",\"scenario\":"
               "\"zipf1.1_slots8\",\"policy\":\"kcc\",\"seed\":1,"
               "\"recovery_s\":%d,\"requests\":%u,\"answered\":%u,"
               "\"stall_ms_p99_in_first_minute\":%.0f}\n",
               bench, deployments[d].name,
               measure_recovery_seconds(world, &trace, trace_started_at,
                                        EVENT_AT),
               figures.requests, figures.answered, figures.stall_ms_p99);
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
