/*
 * Benchmarks of the daemons themselves; one JSON object per line.
 *
 *   bench-daemons relay     latency and processor time of relaying
 *   bench-daemons streams   many streams through one entry, a slow reader
 *   bench-daemons control   bytes, calls and processor time when idle
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../../programs/kcc/client.h"
#include "../daemons/entry_cluster.h"

#define PORT 23000
#define WIDE                                                                  \
    "[service llm]\nslots = 16\nbatch = 4096\nqueue_max = 65536\n"            \
    "load_ms = 50\nservice_ms = 1000\nloads_per_minute = 60000\n"             \
    "deadline_ms = 300000\n"

/* ---- what the operating system says of a process ------------------------- */

/* Processor time in microseconds. */
static int64_t
processor_time(pid_t pid)
{
    char path[64];
    char *text = NULL;
    char *at;
    unsigned long long user = 0;
    unsigned long long system = 0;

    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    at = strrchr(text, ')');
    sscanf(at + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %llu %llu",
           &user, &system);
    g_free(text);
    return (int64_t)((user + system) * 1000000 /
                     (unsigned long long)sysconf(_SC_CLK_TCK));
}

/* Resident memory in bytes. */
static int64_t
resident_memory(pid_t pid)
{
    char path[64];
    char *text = NULL;
    char *at;
    long long kilobytes = 0;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    at = strstr(text, "VmRSS:");
    if (at != NULL) {
        kilobytes = strtoll(at + 6, NULL, 10);
    }
    g_free(text);
    return kilobytes * 1024;
}

/* ---- calls that are timed ---------------------------------------------------- */

typedef struct Timing {
    TAILQ_ENTRY(Timing) link;
    struct Batch *batch;
    KcTime sent;
    KcTime ended;
    uint64_t bytes;
    uint64_t events; /* server-sent events */
    bool whole;
    KcHttpCall *http;
} Timing;

typedef struct Batch {
    KcLoop *loop;
    TAILQ_HEAD(, Timing) timings;
    uint32_t in_progress;
    uint32_t count;
    uint32_t begun; /* had their first byte */
} Batch;

static void
on_data(void *context, KcBytes bytes)
{
    Timing *timing = context;

    timing->batch->begun += timing->bytes == 0;
    timing->bytes += bytes.size;
    for (const char *at = bytes.data;
         (at = memchr(at, '\n', bytes.size - (size_t)(at - bytes.data))) !=
         NULL;
         at++) {
        timing->events++;
    }
}

static void
on_done(void *context, int code, bool sent)
{
    Timing *timing = context;

    (void)sent;
    timing->http = NULL;
    timing->whole = code == 0;
    timing->ended = KcLoop_Now();
    timing->batch->in_progress--;
}

static const KcHttpCallOps ops = {NULL, on_data, on_done, NULL};

static Timing *
call(Batch *batch, const char *address, const char *model, int tokens)
{
    Timing *timing = KcMem_New(sizeof(*timing));
    char body[256];
    KcHttpCallOptions options = {
        .loop = batch->loop,
        .address = address,
        .method = "POST",
        .path = "/v1/completions",
        .headers = {{"Content-Type", "application/json"}},
        .progress_timeout = 300 * KC_SECOND,
        .ops = &ops,
        .context = timing};

    snprintf(body, sizeof(body),
             "{\"model\":\"%s\",\"prompt\":\"p%u\",\"max_tokens\":%d,"
             "\"stream\":true}",
             model, batch->count++, tokens);
    options.body = (KcBytes){body, strlen(body)};
    timing->batch = batch;
    timing->sent = KcLoop_Now();
    batch->in_progress++;
    TAILQ_INSERT_TAIL(&batch->timings, timing, link);
    timing->http = KcHttpCall_Start(&options);
    return timing;
}

static void
batch_init(Batch *batch)
{
    memset(batch, 0, sizeof(*batch));
    batch->loop = KcLoop_Create();
    TAILQ_INIT(&batch->timings);
}

static void
batch_clear(Batch *batch)
{
    Timing *timing;

    while ((timing = TAILQ_FIRST(&batch->timings)) != NULL) {
        TAILQ_REMOVE(&batch->timings, timing, link);
        free(timing);
    }
    KcLoop_Free(batch->loop);
}

static void
finish(Batch *batch, int seconds)
{
    for (int i = 0; i < seconds * 100 && batch->in_progress > 0; i++) {
        Fleet_Run(batch->loop, 10);
    }
}

static int
by_time(const void *a, const void *b)
{
    KcTime left = *(const KcTime *)a;
    KcTime right = *(const KcTime *)b;

    return (left > right) - (left < right);
}

/* The given share of the durations is at most this long, in microseconds. */
static KcTime
percentile(Batch *batch, int percent)
{
    KcTime *times = KcMem_New(batch->count * sizeof(*times));
    uint32_t count = 0;
    Timing *timing;
    KcTime result;

    TAILQ_FOREACH (timing, &batch->timings, link) {
        if (timing->whole) {
            times[count++] = timing->ended - timing->sent;
        }
    }
    qsort(times, count, sizeof(*times), by_time);
    result = count > 0 ? times[count * (uint32_t)percent / 100] : 0;
    free(times);
    return result;
}

/* ---- relay ------------------------------------------------------------------------ */

#define LATENCY_CALLS 2000
#define THROUGHPUT_STREAMS 16
#define THROUGHPUT_TOKENS 20000

/* Times calls one after the other. */
static void
time_calls(Batch *batch, const char *address, const char *model)
{
    for (int i = 0; i < LATENCY_CALLS; i++) {
        call(batch, address, model, 1);
        while (batch->in_progress > 0) {
            event_base_loop(batch->loop->base, EVLOOP_ONCE);
        }
    }
}

/* Name under which the engine holds its first adapter. */
static void
engine_name(Fleet *fleet, char *name, size_t size)
{
    KcAnswerText answer;
    json_t *root;
    const char *text;

    KcClient_Get(Fleet_Address(fleet, FLEET_ENGINE, 0), "/v1/adapters",
                 &answer);
    root = json_loads(KcBuffer_Data(&answer.body), 0, NULL);
    text = json_string_value(json_object_get(
        json_array_get(json_object_get(root, "adapters"), 0), "name"));
    g_assert_nonnull(text);
    KcText_Copy(name, text, size);
    json_decref(root);
    KcAnswerText_Clear(&answer);
}

static void
bench_latency(Fleet *fleet)
{
    char name[KC_ENGINE_NAME_MAX];
    Batch relayed;
    Batch direct;

    batch_init(&relayed);
    batch_init(&direct);
    time_calls(&relayed, Fleet_Address(fleet, FLEET_ENTRY, 0), "a0@2");
    engine_name(fleet, name, sizeof(name));
    time_calls(&direct, Fleet_Address(fleet, FLEET_ENGINE, 0), name);
    printf("{\"bench\":\"relay\",\"scenario\":\"latency\",\"policy\":\"kcc\","
           "\"seed\":1,\"calls\":%u,\"direct_p50_us\":%lld,"
           "\"direct_p99_us\":%lld,\"relayed_p50_us\":%lld,"
           "\"relayed_p99_us\":%lld,\"added_p50_us\":%lld,"
           "\"added_p99_us\":%lld}\n",
           relayed.count, (long long)percentile(&direct, 50),
           (long long)percentile(&direct, 99),
           (long long)percentile(&relayed, 50),
           (long long)percentile(&relayed, 99),
           (long long)(percentile(&relayed, 50) - percentile(&direct, 50)),
           (long long)(percentile(&relayed, 99) - percentile(&direct, 99)));
    batch_clear(&relayed);
    batch_clear(&direct);
}

static void
bench_throughput(Fleet *fleet)
{
    pid_t entry = Fleet_Pid(fleet, FLEET_ENTRY, 0);
    pid_t agent = Fleet_Pid(fleet, FLEET_AGENT, 0);
    int64_t entry_time = processor_time(entry);
    int64_t agent_time = processor_time(agent);
    KcTime began = KcLoop_Now();
    int64_t tokens = (int64_t)THROUGHPUT_STREAMS * THROUGHPUT_TOKENS;
    Timing *timing;
    uint32_t whole = 0;
    Batch batch;

    batch_init(&batch);
    for (int i = 0; i < THROUGHPUT_STREAMS; i++) {
        call(&batch, Fleet_Address(fleet, FLEET_ENTRY, 0), "a0@2",
             THROUGHPUT_TOKENS);
    }
    finish(&batch, 300);
    TAILQ_FOREACH (timing, &batch.timings, link) {
        whole += timing->whole;
    }
    entry_time = processor_time(entry) - entry_time;
    agent_time = processor_time(agent) - agent_time;
    printf("{\"bench\":\"relay\",\"scenario\":\"throughput\",\"policy\":"
           "\"kcc\",\"seed\":1,\"streams\":%d,\"whole\":%u,\"tokens\":%lld,"
           "\"seconds\":%.2f,\"entry_tokens_per_core_s\":%.0f,"
           "\"agent_tokens_per_core_s\":%.0f}\n",
           THROUGHPUT_STREAMS, whole, (long long)tokens,
           (double)(KcLoop_Now() - began) / (double)KC_SECOND,
           (double)tokens * 1e6 / (double)entry_time,
           (double)tokens * 1e6 / (double)agent_time);
    batch_clear(&batch);
}

/* One entry and one engine that gives tokens as fast as it can. */
static const FleetOptions fast_fleet = {.port = PORT,
                                        .entries = 1,
                                        .model_agents = 1,
                                        .capacity = WIDE,
                                        .engine_knobs = "token_ms=0"};

static void
bench_relay(void)
{
    Fleet *fleet = Fleet_Start(&fast_fleet);

    Fleet_Set(fleet, FLEET_ENGINE, 0, "batch=4096");
    bench_latency(fleet);
    bench_throughput(fleet);
    Fleet_Stop(fleet);
}

/* ---- streams ------------------------------------------------------------------------- */

#define STREAMS 10000
#define STREAM_TOKENS 12
#define STREAM_AGENTS 4

static void
bench_streams(void)
{
    FleetOptions options = {.port = PORT,
                            .entries = 1,
                            .model_agents = STREAM_AGENTS,
                            .capacity = WIDE,
                            .engine_knobs = "token_ms=2500",
                            .entry_settings =
                                "[timeouts]\nreply_ms = 60000\n"};
    Fleet *fleet = Fleet_Start(&options);
    pid_t entry = Fleet_Pid(fleet, FLEET_ENTRY, 0);
    int64_t memory;
    int64_t peak = 0;
    int64_t time;
    uint32_t whole = 0;
    Timing *timing;
    Batch batch;

    for (uint32_t i = 0; i < STREAM_AGENTS; i++) {
        Fleet_Set(fleet, FLEET_ENGINE, i, "batch=4096");
        Fleet_Set(fleet, FLEET_ENGINE, i, "slots=16");
    }
    batch_init(&batch);
    memory = resident_memory(entry);
    time = processor_time(entry);
    for (int i = 0; i < STREAMS; i++) {
        char model[32];

        snprintf(model, sizeof(model), "a%d@2", i % 32);
        call(&batch, Fleet_Address(fleet, FLEET_ENTRY, 0), model,
             STREAM_TOKENS);
        if (i % 100 == 0) {
            Fleet_Run(batch.loop, 20);
        }
    }
    for (int i = 0; i < 300 && batch.in_progress > 0; i++) {
        int64_t now = resident_memory(entry);

        peak = now > peak ? now : peak;
        Fleet_Run(batch.loop, 500);
    }
    TAILQ_FOREACH (timing, &batch.timings, link) {
        whole += timing->whole && timing->events >= 2 * STREAM_TOKENS;
    }
    time = processor_time(entry) - time;
    printf("{\"bench\":\"streams\",\"scenario\":\"many\",\"policy\":\"kcc\","
           "\"seed\":1,\"streams\":%d,\"whole\":%u,"
           "\"entry_bytes_per_stream\":%lld,\"entry_cpu_us_per_stream\":%lld}"
           "\n",
           STREAMS, whole, (long long)((peak - memory) / STREAMS),
           (long long)(time / STREAMS));
    batch_clear(&batch);
    Fleet_Stop(fleet);
}

/* ---- a slow reader --------------------------------------------------------------------- */

#define SLOW_TOKENS 100000

static void
bench_slow_reader(void)
{
    Fleet *fleet = Fleet_Start(&fast_fleet);
    const char *address = Fleet_Address(fleet, FLEET_ENTRY, 0);
    pid_t entry = Fleet_Pid(fleet, FLEET_ENTRY, 0);
    int64_t memory;
    uint64_t at_stop;
    Timing *slow;
    Timing *timing;
    uint32_t whole = 0;
    Batch batch;

    Fleet_Set(fleet, FLEET_ENGINE, 0, "batch=64");
    batch_init(&batch);
    slow = call(&batch, address, "a0@2", SLOW_TOKENS);
    while (slow->bytes == 0) {
        event_base_loop(batch.loop->base, EVLOOP_ONCE);
    }
    KcHttpCall_SetReadPaused(slow->http, true);
    Fleet_Run(batch.loop, 3000);
    memory = resident_memory(entry);
    at_stop = slow->bytes;
    for (int i = 0; i < 200; i++) {
        call(&batch, address, "a0@2", 20);
        Fleet_Run(batch.loop, 5);
    }
    for (int i = 0; i < 1000 && batch.in_progress > 1; i++) {
        Fleet_Run(batch.loop, 10);
    }
    TAILQ_FOREACH (timing, &batch.timings, link) {
        whole += timing != slow && timing->whole;
    }
    printf("{\"bench\":\"streams\",\"scenario\":\"slow_reader\",\"policy\":"
           "\"kcc\",\"seed\":1,\"others\":200,\"others_whole\":%u,"
           "\"others_p99_us\":%lld,\"slow_bytes_while_stopped\":%llu,"
           "\"entry_memory_growth\":%lld",
           whole, (long long)percentile(&batch, 99),
           (unsigned long long)(slow->bytes - at_stop),
           (long long)(resident_memory(entry) - memory));
    KcHttpCall_SetReadPaused(slow->http, false);
    finish(&batch, 30);
    printf(",\"slow_whole\":%d}\n", slow->whole);
    batch_clear(&batch);
    Fleet_Stop(fleet);
}

/* ---- control --------------------------------------------------------------------------------- */

#define IDLE_SECONDS 20
/* The defaults of the settings. */
#define LEASE "ttl_ms = 30000\nrenew_ms = 10000\nconfirm_spread_ms = 6000\n"

/* What all processes cost the platform, as its stand-ins count it. */
static int64_t
platform_bytes(Fleet *fleet)
{
    int64_t total = 0;

    for (int role = FLEET_OBJECTS; role <= FLEET_INSTANCES; role++) {
        json_t *state = Fleet_State(fleet, (FleetRole)role, 0);

        total += json_integer_value(json_object_get(state, "bytes_in")) +
                 json_integer_value(json_object_get(state, "bytes_out"));
        json_decref(state);
    }
    return total;
}

static int64_t
store_calls(Fleet *fleet)
{
    json_t *state = Fleet_State(fleet, FLEET_OBJECTS, 0);
    int64_t calls = json_integer_value(json_object_get(state, "reads")) +
                    json_integer_value(json_object_get(state, "writes"));

    json_decref(state);
    return calls;
}

typedef struct Idle {
    double store_calls_s; /* of all processes */
    double platform_bytes_s;
    double entry_cpu; /* share of a core, one process */
    double agent_cpu;
    int64_t entry_memory;
    int64_t agent_memory;
} Idle;

static void
measure_idle(Fleet *fleet, uint32_t agents, Idle *idle)
{
    pid_t entry = Fleet_Pid(fleet, FLEET_ENTRY, 0);
    int64_t bytes = platform_bytes(fleet);
    int64_t calls = store_calls(fleet);
    int64_t entry_time = processor_time(entry);
    int64_t agent_time = 0;

    for (uint32_t i = 0; i < agents; i++) {
        agent_time -= processor_time(Fleet_Pid(fleet, FLEET_AGENT, i));
    }
    g_usleep(IDLE_SECONDS * 1000000);
    for (uint32_t i = 0; i < agents; i++) {
        agent_time += processor_time(Fleet_Pid(fleet, FLEET_AGENT, i));
    }
    idle->store_calls_s = (double)(store_calls(fleet) - calls) / IDLE_SECONDS;
    idle->platform_bytes_s =
        (double)(platform_bytes(fleet) - bytes) / IDLE_SECONDS;
    idle->entry_cpu =
        (double)(processor_time(entry) - entry_time) / 1e6 / IDLE_SECONDS;
    idle->agent_cpu = (double)agent_time / 1e6 / IDLE_SECONDS / agents;
    idle->entry_memory = resident_memory(entry);
    idle->agent_memory = resident_memory(Fleet_Pid(fleet, FLEET_AGENT, 0));
}

/* Time in which a changed document is confirmed by every process. */
static double
measure_change(Fleet *fleet)
{
    static const char *const status[] = {"status", NULL};
    const char *apply[] = {"apply", "limits", NULL, "--author", "bench", NULL};
    char *file = g_strdup_printf("%s/limits-%lld.ini", g_get_tmp_dir(),
                                 (long long)KcLoop_Now());
    char text[128];
    KcTime began;

    snprintf(text, sizeof(text), "[customer c%lld]\nburst = 5\n",
             (long long)KcLoop_Now());
    g_file_set_contents(file, text, -1, NULL);
    apply[2] = file;
    began = KcLoop_Now();
    g_assert_cmpint(Fleet_Kcc(fleet, apply, NULL, 0), ==, 0);
    while (Fleet_Kcc(fleet, status, NULL, 0) != 0 &&
           KcLoop_Now() - began < 60 * KC_SECOND) {
        g_usleep(20000);
    }
    unlink(file);
    g_free(file);
    return (double)(KcLoop_Now() - began) / (double)KC_SECOND;
}

static void
bench_control_at(uint32_t agents)
{
    FleetOptions options = {.port = PORT,
                            .entries = 2,
                            .model_agents = agents,
                            .adapters = 3000,
                            .lease = LEASE};
    Fleet *fleet = Fleet_Start(&options);
    double change;
    Idle idle;

    measure_idle(fleet, agents, &idle);
    change = measure_change(fleet);
    printf("{\"bench\":\"control\",\"scenario\":\"idle\",\"policy\":\"kcc\","
           "\"seed\":1,\"agents\":%u,\"processes\":%u,"
           "\"store_calls_per_s\":%.2f,\"platform_bytes_per_s\":%.0f,"
           "\"entry_core_share\":%.5f,\"agent_core_share\":%.5f,"
           "\"entry_memory\":%lld,\"agent_memory\":%lld,"
           "\"change_confirmed_s\":%.2f}\n",
           agents, agents + 2, idle.store_calls_s, idle.platform_bytes_s,
           idle.entry_cpu, idle.agent_cpu, (long long)idle.entry_memory,
           (long long)idle.agent_memory, change);
    fflush(stdout);
    Fleet_Stop(fleet);
}

static void
bench_control(void)
{
    static const uint32_t sizes[] = {2, 10, 30, 60};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        bench_control_at(sizes[i]);
    }
}

static const struct {
    const char *name;
    void (*run)(void);
} benches[] = {
    {"relay", bench_relay},
    {"streams", bench_streams},
    {"slow_reader", bench_slow_reader},
    {"control", bench_control},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; i < G_N_ELEMENTS(benches); i++) {
        if (argc < 2 || strcmp(argv[1], benches[i].name) == 0) {
            benches[i].run();
            fflush(stdout);
        }
    }
    return 0;
}
