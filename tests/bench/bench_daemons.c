/*
 * Benchmarks of real daemons against stand-ins; prints one JSON object a line.
 *
 *   bench-daemons              all of these:
 *   bench-daemons relay        latency and processor time of relaying
 *   bench-daemons streams      memory of many streams through one entry
 *   bench-daemons slow_reader  memory and other calls while one reader pauses
 *   bench-daemons control      bytes, calls and processor time when idle
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../../programs/kcc/blocking_http.h"
#include "../daemons/entry_cluster.h"

/* Service settings with limits high enough for all benchmarks here. */
#define UNLIMITED_SERVICE                                                     \
    "[service llm]\nslots = 16\nbatch = 4096\nqueue_max = 65536\n"            \
    "load_ms = 50\nservice_ms = 1000\nloads_per_minute = 60000\n"             \
    "deadline_ms = 300000\n"

/* ---- processor time and memory of a process ------------------------------ */

/* Returns the processor time of a process in microseconds, 0 on failure. */
static int64_t
read_cpu_us(pid_t pid)
{
    char path[64];
    char *text = NULL;
    char *field;
    unsigned long long user = 0;
    unsigned long long system = 0;

    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    field = strrchr(text, ')');
    sscanf(field + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %llu %llu",
           &user, &system);
    g_free(text);
    return (int64_t)((user + system) * 1000000 /
                     (unsigned long long)sysconf(_SC_CLK_TCK));
}

/* Returns the resident memory of a process in bytes, 0 on failure. */
static int64_t
read_resident_bytes(pid_t pid)
{
    char path[64];
    char *text = NULL;
    char *field;
    long long kilobytes = 0;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    field = strstr(text, "VmRSS:");
    if (field != NULL) {
        kilobytes = strtoll(field + 6, NULL, 10);
    }
    g_free(text);
    return kilobytes * 1024;
}

/* ---- calls that are timed ---------------------------------------------------- */

typedef struct TimedCall {
    TAILQ_ENTRY(TimedCall) link;
    struct CallGroup *group;
    KcTime sent_at;
    KcTime ended_at;
    uint64_t byte_count;
    uint64_t newline_count; /* two for each server-sent event */
    bool is_complete;
    KcHttpCall *http_call; /* NULL once it has ended */
} TimedCall;

/* Calls whose figures are evaluated together. */
typedef struct CallGroup {
    KcLoop *loop;
    TAILQ_HEAD(, TimedCall) calls;
    uint32_t calls_in_progress;
    uint32_t call_count;
    uint32_t first_byte_count; /* calls that have received a byte */
} CallGroup;

static void
on_data(void *context, KcBytes bytes)
{
    TimedCall *call = context;

    call->group->first_byte_count += call->byte_count == 0;
    call->byte_count += bytes.size;
    for (const char *newline = bytes.data;
         (newline = memchr(newline, '\n',
                           bytes.size - (size_t)(newline - bytes.data))) !=
         NULL;
         newline++) {
        call->newline_count++;
    }
}

static void
on_done(void *context, int code, bool sent)
{
    TimedCall *call = context;

    (void)sent;
    call->http_call = NULL;
    call->is_complete = code == 0;
    call->ended_at = KcLoop_Now();
    call->group->calls_in_progress--;
}

static const KcHttpCallOps http_call_ops = {NULL, on_data, on_done, NULL,
                                            NULL};

/* Starts a streaming completion; the returned call belongs to the group. */
static TimedCall *
start_call(CallGroup *group, const char *address, const char *model,
           int tokens)
{
    TimedCall *call = KcMem_New(sizeof(*call));
    char body[256];
    KcHttpCallOptions options = {
        .loop = group->loop,
        .address = address,
        .method = "POST",
        .path = "/v1/completions",
        .headers = {{"Content-Type", "application/json"}},
        .progress_timeout = 300 * KC_SECOND,
        .ops = &http_call_ops,
        .context = call};

    snprintf(body, sizeof(body),
             "{\"model\":\"%s\",\"prompt\":\"p%u\",\"max_tokens\":%d,"
             "\"stream\":true}",
             model, group->call_count++, tokens);
    options.body = (KcBytes){body, strlen(body)};
    call->group = group;
    call->sent_at = KcLoop_Now();
    group->calls_in_progress++;
    TAILQ_INSERT_TAIL(&group->calls, call, link);
    call->http_call = KcHttpCall_Start(&options);
    return call;
}

static void
init_group(CallGroup *group)
{
    memset(group, 0, sizeof(*group));
    group->loop = KcLoop_Create();
    TAILQ_INIT(&group->calls);
}

static void
clear_group(CallGroup *group)
{
    TimedCall *call;

    while ((call = TAILQ_FIRST(&group->calls)) != NULL) {
        TAILQ_REMOVE(&group->calls, call, link);
        free(call);
    }
    KcLoop_Free(group->loop);
}

/* Waits until all calls have ended, for about this many seconds at most. */
static void
wait_for_calls(CallGroup *group, int seconds)
{
    for (int i = 0; i < seconds * 100 && group->calls_in_progress > 0; i++) {
        EntryCluster_RunLoop(group->loop, 10);
    }
}

static int
compare_times(const void *a, const void *b)
{
    KcTime left = *(const KcTime *)a;
    KcTime right = *(const KcTime *)b;

    return (left > right) - (left < right);
}

/* Returns a percentile of the durations of the complete calls in microseconds,
 * 0 when there are none. */
static KcTime
percentile(CallGroup *group, int percent)
{
    KcTime *times = KcMem_New(group->call_count * sizeof(*times));
    uint32_t count = 0;
    TimedCall *call;
    KcTime result;

    TAILQ_FOREACH (call, &group->calls, link) {
        if (call->is_complete) {
            times[count++] = call->ended_at - call->sent_at;
        }
    }
    qsort(times, count, sizeof(*times), compare_times);
    result = count > 0 ? times[count * (uint32_t)percent / 100] : 0;
    free(times);
    return result;
}

/* ---- relay ------------------------------------------------------------------------ */

#define LATENCY_CALLS 2000
#define THROUGHPUT_STREAMS 16
#define THROUGHPUT_TOKENS 20000

/* Makes calls one after the other. */
static void
make_calls(CallGroup *group, const char *address, const char *model)
{
    for (int i = 0; i < LATENCY_CALLS; i++) {
        start_call(group, address, model, 1);
        while (group->calls_in_progress > 0) {
            event_base_loop(group->loop->base, EVLOOP_ONCE);
        }
    }
}

/* Copies the name that the engine has for its first loaded adapter. */
static void
read_engine_name(EntryCluster *cluster, char *name, size_t size)
{
    KcHttpResponse answer;
    json_t *root;
    const char *text;

    KcBlockingHttp_Get(
        EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENGINE, 0),
        "/v1/adapters", &answer);
    root = json_loads(KcBuffer_Data(&answer.body), 0, NULL);
    text = json_string_value(json_object_get(
        json_array_get(json_object_get(root, "adapters"), 0), "name"));
    g_assert_nonnull(text);
    KcText_Copy(name, text, size);
    json_decref(root);
    KcHttpResponse_Clear(&answer);
}

static void
bench_latency(EntryCluster *cluster)
{
    char name[KC_ENGINE_NAME_MAX];
    CallGroup relayed_calls;
    CallGroup direct_calls;

    init_group(&relayed_calls);
    init_group(&direct_calls);
    make_calls(&relayed_calls,
               EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENTRY, 0),
               "a0@2");
    read_engine_name(cluster, name, sizeof(name));
    make_calls(&direct_calls,
               EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENGINE, 0),
               name);
    printf("{\"bench\":\"relay\",\"scenario\":\"latency\",\"policy\":\"kcc\","
           "\"seed\":1,\"calls\":%u,\"direct_p50_us\":%lld,"
           "\"direct_p99_us\":%lld,\"relayed_p50_us\":%lld,"
           "\"relayed_p99_us\":%lld,\"added_p50_us\":%lld,"
           "\"added_p99_us\":%lld}\n",
           relayed_calls.call_count, (long long)percentile(&direct_calls, 50),
           (long long)percentile(&direct_calls, 99),
           (long long)percentile(&relayed_calls, 50),
           (long long)percentile(&relayed_calls, 99),
           (long long)(percentile(&relayed_calls, 50) -
                       percentile(&direct_calls, 50)),
           (long long)(percentile(&relayed_calls, 99) -
                       percentile(&direct_calls, 99)));
    clear_group(&relayed_calls);
    clear_group(&direct_calls);
}

static void
bench_throughput(EntryCluster *cluster)
{
    pid_t entry = EntryCluster_GetPid(cluster, ENTRY_CLUSTER_ENTRY, 0);
    pid_t agent = EntryCluster_GetPid(cluster, ENTRY_CLUSTER_AGENT, 0);
    int64_t entry_cpu_us = read_cpu_us(entry);
    int64_t agent_cpu_us = read_cpu_us(agent);
    KcTime started_at = KcLoop_Now();
    int64_t tokens = (int64_t)THROUGHPUT_STREAMS * THROUGHPUT_TOKENS;
    TimedCall *call;
    uint32_t complete_count = 0;
    CallGroup group;

    init_group(&group);
    for (int i = 0; i < THROUGHPUT_STREAMS; i++) {
        start_call(&group,
                   EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENTRY, 0),
                   "a0@2", THROUGHPUT_TOKENS);
    }
    wait_for_calls(&group, 300);
    TAILQ_FOREACH (call, &group.calls, link) {
        complete_count += call->is_complete;
    }
    entry_cpu_us = read_cpu_us(entry) - entry_cpu_us;
    agent_cpu_us = read_cpu_us(agent) - agent_cpu_us;
    printf("{\"bench\":\"relay\",\"scenario\":\"throughput\",\"policy\":"
           "\"kcc\",\"seed\":1,\"streams\":%d,\"whole\":%u,\"tokens\":%lld,"
           "\"seconds\":%.2f,\"entry_tokens_per_core_s\":%.0f,"
           "\"agent_tokens_per_core_s\":%.0f}\n",
           THROUGHPUT_STREAMS, complete_count, (long long)tokens,
           (double)(KcLoop_Now() - started_at) / (double)KC_SECOND,
           (double)tokens * 1e6 / (double)entry_cpu_us,
           (double)tokens * 1e6 / (double)agent_cpu_us);
    clear_group(&group);
}

/* One entry and one engine without a delay between tokens. */
static const EntryClusterOptions fast_fleet = {.entries = 1,
                                               .model_agents = 1,
                                               .capacity_section =
                                                   UNLIMITED_SERVICE,
                                               .engine_knobs = "token_ms=0"};

static void
bench_relay(void)
{
    EntryCluster *cluster = EntryCluster_Start(&fast_fleet);

    EntryCluster_SetKnob(cluster, ENTRY_CLUSTER_ENGINE, 0, "batch=4096");
    bench_latency(cluster);
    bench_throughput(cluster);
    EntryCluster_Stop(cluster);
}

/* ---- streams ------------------------------------------------------------------------- */

#define STREAMS 10000
#define STREAM_TOKENS 12
#define STREAM_AGENTS 4

static void
bench_streams(void)
{
    EntryClusterOptions options = {.entries = 1,
                                   .model_agents = STREAM_AGENTS,
                                   .capacity_section = UNLIMITED_SERVICE,
                                   .engine_knobs = "token_ms=2500",
                                   .entry_settings =
                                       "[timeouts]\nreply_ms = 60000\n"};
    EntryCluster *cluster = EntryCluster_Start(&options);
    pid_t entry = EntryCluster_GetPid(cluster, ENTRY_CLUSTER_ENTRY, 0);
    int64_t memory_bytes_before;
    int64_t memory_bytes_peak = 0;
    int64_t cpu_us;
    uint32_t complete_count = 0;
    TimedCall *call;
    CallGroup group;

    for (uint32_t i = 0; i < STREAM_AGENTS; i++) {
        EntryCluster_SetKnob(cluster, ENTRY_CLUSTER_ENGINE, i, "batch=4096");
        EntryCluster_SetKnob(cluster, ENTRY_CLUSTER_ENGINE, i, "slots=16");
    }
    init_group(&group);
    memory_bytes_before = read_resident_bytes(entry);
    cpu_us = read_cpu_us(entry);
    for (int i = 0; i < STREAMS; i++) {
        char model[32];

        snprintf(model, sizeof(model), "a%d@2", i % 32);
        start_call(&group,
                   EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENTRY, 0),
                   model, STREAM_TOKENS);
        if (i % 100 == 0) {
            EntryCluster_RunLoop(group.loop, 20);
        }
    }
    for (int i = 0; i < 300 && group.calls_in_progress > 0; i++) {
        int64_t memory_bytes = read_resident_bytes(entry);

        memory_bytes_peak = memory_bytes > memory_bytes_peak
                                ? memory_bytes
                                : memory_bytes_peak;
        EntryCluster_RunLoop(group.loop, 500);
    }
    TAILQ_FOREACH (call, &group.calls, link) {
        complete_count +=
            call->is_complete && call->newline_count >= 2 * STREAM_TOKENS;
    }
    cpu_us = read_cpu_us(entry) - cpu_us;
    printf("{\"bench\":\"streams\",\"scenario\":\"many\",\"policy\":\"kcc\","
           "\"seed\":1,\"streams\":%d,\"whole\":%u,"
           "\"entry_bytes_per_stream\":%lld,\"entry_cpu_us_per_stream\":%lld}"
           "\n",
           STREAMS, complete_count,
           (long long)((memory_bytes_peak - memory_bytes_before) / STREAMS),
           (long long)(cpu_us / STREAMS));
    clear_group(&group);
    EntryCluster_Stop(cluster);
}

/* ---- a slow reader --------------------------------------------------------------------- */

#define SLOW_READER_TOKENS 100000

static void
bench_slow_reader(void)
{
    EntryCluster *cluster = EntryCluster_Start(&fast_fleet);
    const char *address =
        EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENTRY, 0);
    pid_t entry = EntryCluster_GetPid(cluster, ENTRY_CLUSTER_ENTRY, 0);
    int64_t memory_bytes_before;
    uint64_t bytes_at_pause;
    TimedCall *slow_call;
    TimedCall *call;
    uint32_t complete_count = 0;
    CallGroup group;

    EntryCluster_SetKnob(cluster, ENTRY_CLUSTER_ENGINE, 0, "batch=64");
    init_group(&group);
    slow_call = start_call(&group, address, "a0@2", SLOW_READER_TOKENS);
    while (slow_call->byte_count == 0) {
        event_base_loop(group.loop->base, EVLOOP_ONCE);
    }
    KcHttpCall_SetReadPaused(slow_call->http_call, true);
    EntryCluster_RunLoop(group.loop, 3000);
    memory_bytes_before = read_resident_bytes(entry);
    bytes_at_pause = slow_call->byte_count;
    for (int i = 0; i < 200; i++) {
        start_call(&group, address, "a0@2", 20);
        EntryCluster_RunLoop(group.loop, 5);
    }
    for (int i = 0; i < 1000 && group.calls_in_progress > 1; i++) {
        EntryCluster_RunLoop(group.loop, 10);
    }
    TAILQ_FOREACH (call, &group.calls, link) {
        complete_count += call != slow_call && call->is_complete;
    }
    printf("{\"bench\":\"streams\",\"scenario\":\"slow_reader\",\"policy\":"
           "\"kcc\",\"seed\":1,\"others\":200,\"others_whole\":%u,"
           "\"others_p99_us\":%lld,\"slow_bytes_while_stopped\":%llu,"
           "\"entry_memory_growth\":%lld",
           complete_count, (long long)percentile(&group, 99),
           (unsigned long long)(slow_call->byte_count - bytes_at_pause),
           (long long)(read_resident_bytes(entry) - memory_bytes_before));
    KcHttpCall_SetReadPaused(slow_call->http_call, false);
    wait_for_calls(&group, 30);
    printf(",\"slow_whole\":%d}\n", slow_call->is_complete);
    clear_group(&group);
    EntryCluster_Stop(cluster);
}

/* ---- control --------------------------------------------------------------------------------- */

#define IDLE_MEASURE_SECONDS 20
/* The default values of the settings. */
#define DEFAULT_LEASE                                                         \
    "ttl_ms = 30000\nrenew_ms = 10000\nconfirm_spread_ms = 6000\n"

/* Bytes that the stand-ins of object API and instance list have received and
 * sent so far. */
static int64_t
count_platform_bytes(EntryCluster *cluster)
{
    int64_t total = 0;

    for (int role = ENTRY_CLUSTER_OBJECT_API;
         role <= ENTRY_CLUSTER_INSTANCE_LIST; role++) {
        json_t *state =
            EntryCluster_ReadState(cluster, (EntryClusterRole)role, 0);

        total += json_integer_value(json_object_get(state, "bytes_in")) +
                 json_integer_value(json_object_get(state, "bytes_out"));
        json_decref(state);
    }
    return total;
}

/* Reads and writes of the object API so far. */
static int64_t
count_store_calls(EntryCluster *cluster)
{
    json_t *state =
        EntryCluster_ReadState(cluster, ENTRY_CLUSTER_OBJECT_API, 0);
    int64_t calls = json_integer_value(json_object_get(state, "reads")) +
                    json_integer_value(json_object_get(state, "writes"));

    json_decref(state);
    return calls;
}

/* Load and memory of an idle cluster. */
typedef struct IdleFigures {
    double store_calls_per_s; /* of all processes together */
    double platform_bytes_per_s;
    double entry_core_fraction; /* of one process */
    double agent_core_fraction;
    int64_t entry_memory_bytes;
    int64_t agent_memory_bytes;
} IdleFigures;

static void
measure_idle(EntryCluster *cluster, uint32_t agents, IdleFigures *figures)
{
    pid_t entry = EntryCluster_GetPid(cluster, ENTRY_CLUSTER_ENTRY, 0);
    int64_t bytes_before = count_platform_bytes(cluster);
    int64_t calls_before = count_store_calls(cluster);
    int64_t entry_cpu_us = read_cpu_us(entry);
    int64_t agent_cpu_us = 0;

    for (uint32_t i = 0; i < agents; i++) {
        agent_cpu_us -=
            read_cpu_us(EntryCluster_GetPid(cluster, ENTRY_CLUSTER_AGENT, i));
    }
    g_usleep(IDLE_MEASURE_SECONDS * 1000000);
    for (uint32_t i = 0; i < agents; i++) {
        agent_cpu_us +=
            read_cpu_us(EntryCluster_GetPid(cluster, ENTRY_CLUSTER_AGENT, i));
    }
    figures->store_calls_per_s =
        (double)(count_store_calls(cluster) - calls_before) /
        IDLE_MEASURE_SECONDS;
    figures->platform_bytes_per_s =
        (double)(count_platform_bytes(cluster) - bytes_before) /
        IDLE_MEASURE_SECONDS;
    figures->entry_core_fraction =
        (double)(read_cpu_us(entry) - entry_cpu_us) / 1e6 /
        IDLE_MEASURE_SECONDS;
    figures->agent_core_fraction =
        (double)agent_cpu_us / 1e6 / IDLE_MEASURE_SECONDS / agents;
    figures->entry_memory_bytes = read_resident_bytes(entry);
    figures->agent_memory_bytes = read_resident_bytes(
        EntryCluster_GetPid(cluster, ENTRY_CLUSTER_AGENT, 0));
}

/* Returns the seconds until every process has confirmed a changed document, 60
 * when it takes longer. */
static double
measure_change_seconds(EntryCluster *cluster)
{
    static const char *const status[] = {"status", NULL};
    const char *apply[] = {"apply", "limits", NULL, "--author", "bench", NULL};
    char *path = g_strdup_printf("%s/limits-%lld.ini", g_get_tmp_dir(),
                                 (long long)KcLoop_Now());
    char text[128];
    KcTime started_at;

    snprintf(text, sizeof(text), "[customer c%lld]\nburst = 5\n",
             (long long)KcLoop_Now());
    g_file_set_contents(path, text, -1, NULL);
    apply[2] = path;
    started_at = KcLoop_Now();
    g_assert_cmpint(EntryCluster_RunKcc(cluster, apply, NULL, 0), ==, 0);
    while (EntryCluster_RunKcc(cluster, status, NULL, 0) != 0 &&
           KcLoop_Now() - started_at < 60 * KC_SECOND) {
        g_usleep(20000);
    }
    unlink(path);
    g_free(path);
    return (double)(KcLoop_Now() - started_at) / (double)KC_SECOND;
}

static void
bench_control_at(uint32_t agents)
{
    EntryClusterOptions options = {.entries = 2,
                                   .model_agents = agents,
                                   .adapter_count = 3000,
                                   .lease_settings = DEFAULT_LEASE};
    EntryCluster *cluster = EntryCluster_Start(&options);
    double change_seconds;
    IdleFigures figures;

    measure_idle(cluster, agents, &figures);
    change_seconds = measure_change_seconds(cluster);
    printf("{\"bench\":\"control\",\"scenario\":\"idle\",\"policy\":\"kcc\","
           "\"seed\":1,\"agents\":%u,\"processes\":%u,"
           "\"store_calls_per_s\":%.2f,\"platform_bytes_per_s\":%.0f,"
           "\"entry_core_share\":%.5f,\"agent_core_share\":%.5f,"
           "\"entry_memory\":%lld,\"agent_memory\":%lld,"
           "\"change_confirmed_s\":%.2f}\n",
           agents, agents + 2, figures.store_calls_per_s,
           figures.platform_bytes_per_s, figures.entry_core_fraction,
           figures.agent_core_fraction, (long long)figures.entry_memory_bytes,
           (long long)figures.agent_memory_bytes, change_seconds);
    fflush(stdout);
    EntryCluster_Stop(cluster);
}

static void
bench_control(void)
{
    static const uint32_t agent_counts[] = {2, 10, 30, 60};

    for (size_t i = 0; i < G_N_ELEMENTS(agent_counts); i++) {
        bench_control_at(agent_counts[i]);
    }
}

static const struct {
    const char *name;
    void (*run)(void);
} benchmarks[] = {
    {"relay", bench_relay},
    {"streams", bench_streams},
    {"slow_reader", bench_slow_reader},
    {"control", bench_control},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; i < G_N_ELEMENTS(benchmarks); i++) {
        if (argc < 2 || strcmp(argv[1], benchmarks[i].name) == 0) {
            benchmarks[i].run();
            fflush(stdout);
        }
    }
    return 0;
}
