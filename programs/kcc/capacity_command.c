/*
 * kcc capacity: computes the table of docs/CAPACITY.md from a file with the
 * size of a fleet, its settings, measured costs per unit (slopes) and budgets.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../process/settings.h"
#include "command.h"

/* Numbers of the file, grouped by its sections. */
typedef enum Input {
    /* [size] */
    ENTRIES,
    WORKERS,
    REQUESTS_PER_S,
    TOKENS_PER_S,
    ADAPTERS,
    DATACENTRES,
    CHANGES_PER_DAY,
    RESTARTS_PER_DAY,
    WAKING_PERCENT_PER_HOUR,
    STREAM_SECONDS,
    REMOTE_PERCENT,
    BYTES_PER_TOKEN,
    /* [settings] */
    RENEW_MS,
    WATCH_MS,
    CONFIRM_SPREAD_MS,
    INSTANCES_POLL_MS,
    /* [slope] */
    ENTRY_NS_PER_TOKEN,
    AGENT_NS_PER_TOKEN,
    ENTRY_US_PER_REQUEST,
    ENTRY_IDLE_CORE_PPM,
    AGENT_IDLE_CORE_PPM,
    AGENT_BASE_BYTES,
    ENTRY_BASE_BYTES,
    BYTES_PER_ADAPTER,
    BYTES_PER_WORKER,
    FLEET_BASE_BYTES,
    BYTES_PER_STREAM,
    BYTES_PER_OBJECT_CALL,
    BYTES_PER_CHANGE,
    PARSE_NS_PER_ADAPTER,
    BYTES_PER_INSTANCE,
    /* [budget] */
    CONTROL_CORE_PPM,
    NODE_BYTES,
    CONTROL_BYTES_PER_S,
    STORE_WRITES_PER_S,
    STORE_READS_PER_S,
    IN_FORCE_MS,
    LINK_BYTES_PER_S,
    INPUT_COUNT
} Input;

static const struct {
    const char *section;
    const char *key;
} input_keys[INPUT_COUNT] = {
    [ENTRIES] = {"size", "entries"},
    [WORKERS] = {"size", "workers"},
    [REQUESTS_PER_S] = {"size", "requests_per_s"},
    [TOKENS_PER_S] = {"size", "tokens_per_s"},
    [ADAPTERS] = {"size", "adapters"},
    [DATACENTRES] = {"size", "datacentres"},
    [CHANGES_PER_DAY] = {"size", "changes_per_day"},
    [RESTARTS_PER_DAY] = {"size", "restarts_per_day"},
    [WAKING_PERCENT_PER_HOUR] = {"size", "waking_percent_per_hour"},
    [STREAM_SECONDS] = {"size", "stream_seconds"},
    [REMOTE_PERCENT] = {"size", "remote_percent"},
    [BYTES_PER_TOKEN] = {"size", "bytes_per_token"},
    [RENEW_MS] = {"settings", "renew_ms"},
    [WATCH_MS] = {"settings", "watch_ms"},
    [CONFIRM_SPREAD_MS] = {"settings", "confirm_spread_ms"},
    [INSTANCES_POLL_MS] = {"settings", "instances_poll_ms"},
    [ENTRY_NS_PER_TOKEN] = {"slope", "entry_ns_per_token"},
    [AGENT_NS_PER_TOKEN] = {"slope", "agent_ns_per_token"},
    [ENTRY_US_PER_REQUEST] = {"slope", "entry_us_per_request"},
    [ENTRY_IDLE_CORE_PPM] = {"slope", "entry_idle_core_ppm"},
    [AGENT_IDLE_CORE_PPM] = {"slope", "agent_idle_core_ppm"},
    [AGENT_BASE_BYTES] = {"slope", "agent_base_bytes"},
    [ENTRY_BASE_BYTES] = {"slope", "entry_base_bytes"},
    [BYTES_PER_ADAPTER] = {"slope", "bytes_per_adapter"},
    [BYTES_PER_WORKER] = {"slope", "bytes_per_worker"},
    [FLEET_BASE_BYTES] = {"slope", "fleet_base_bytes"},
    [BYTES_PER_STREAM] = {"slope", "bytes_per_stream"},
    [BYTES_PER_OBJECT_CALL] = {"slope", "bytes_per_object_call"},
    [BYTES_PER_CHANGE] = {"slope", "bytes_per_change"},
    [PARSE_NS_PER_ADAPTER] = {"slope", "parse_ns_per_adapter"},
    [BYTES_PER_INSTANCE] = {"slope", "bytes_per_instance"},
    [CONTROL_CORE_PPM] = {"budget", "control_core_ppm"},
    [NODE_BYTES] = {"budget", "node_bytes"},
    [CONTROL_BYTES_PER_S] = {"budget", "control_bytes_per_s"},
    [STORE_WRITES_PER_S] = {"budget", "store_writes_per_s"},
    [STORE_READS_PER_S] = {"budget", "store_reads_per_s"},
    [IN_FORCE_MS] = {"budget", "in_force_ms"},
    [LINK_BYTES_PER_S] = {"budget", "link_bytes_per_s"},
};

#define SECONDS_PER_DAY 86400.0
/* Reads of the head and of the other sections' parts by a process that starts,
 * in addition to the parts of the adapters section. */
#define OTHER_PART_READS 6
/* Size of an adapter's line in the adapters section. */
#define ADAPTER_LINE_BYTES 27

typedef struct InputSet {
    double values[INPUT_COUNT];
    bool is_given[INPUT_COUNT];
} InputSet;

static double
process_count(const double *inputs)
{
    return inputs[ENTRIES] + inputs[WORKERS];
}

/* ---- the rows ------------------------------------------------------------ */

static double
entry_control_core_ppm(const double *inputs)
{
    return inputs[ENTRY_IDLE_CORE_PPM] +
           inputs[CHANGES_PER_DAY] / SECONDS_PER_DAY *
               inputs[PARSE_NS_PER_ADAPTER] * inputs[ADAPTERS] / 1e3;
}

static double
agent_control_core_ppm(const double *inputs)
{
    return inputs[AGENT_IDLE_CORE_PPM] +
           inputs[CHANGES_PER_DAY] / SECONDS_PER_DAY *
               inputs[PARSE_NS_PER_ADAPTER] * inputs[ADAPTERS] / 1e3;
}

static double
entry_relay_core_ppm(const double *inputs)
{
    return (inputs[TOKENS_PER_S] * inputs[ENTRY_NS_PER_TOKEN] / 1e3 +
            inputs[REQUESTS_PER_S] * inputs[ENTRY_US_PER_REQUEST]) /
           inputs[ENTRIES];
}

static double
agent_relay_core_ppm(const double *inputs)
{
    return inputs[TOKENS_PER_S] * inputs[AGENT_NS_PER_TOKEN] / 1e3 /
           inputs[WORKERS];
}

/* Two documents are in memory while a process adopts a change. */
static double
entry_memory_bytes(const double *inputs)
{
    return inputs[ENTRY_BASE_BYTES] +
           2 * inputs[ADAPTERS] * inputs[BYTES_PER_ADAPTER] +
           inputs[FLEET_BASE_BYTES] +
           inputs[WORKERS] * inputs[BYTES_PER_WORKER] +
           inputs[REQUESTS_PER_S] * inputs[STREAM_SECONDS] / inputs[ENTRIES] *
               inputs[BYTES_PER_STREAM];
}

static double
agent_memory_bytes(const double *inputs)
{
    return inputs[AGENT_BASE_BYTES] +
           2 * inputs[ADAPTERS] * inputs[BYTES_PER_ADAPTER] +
           inputs[REQUESTS_PER_S] * inputs[STREAM_SECONDS] / inputs[WORKERS] *
               inputs[BYTES_PER_STREAM];
}

/*
 * Renewals and watches of one process.  A lease shortens each renewal interval
 * at random by up to a quarter, so that it is 7/8 of renew_ms on average.
 */
static double
calls_per_s_per_process(const double *inputs)
{
    return 1e3 / inputs[RENEW_MS] * 8 / 7 + 1e3 / inputs[WATCH_MS];
}

static double
change_bytes_per_s(const double *inputs)
{
    return inputs[CHANGES_PER_DAY] / SECONDS_PER_DAY *
           (inputs[BYTES_PER_CHANGE] + 3 * inputs[BYTES_PER_OBJECT_CALL]);
}

static double
agent_control_bytes_per_s(const double *inputs)
{
    return calls_per_s_per_process(inputs) * inputs[BYTES_PER_OBJECT_CALL] +
           change_bytes_per_s(inputs);
}

/* A restart or failure changes the list of instances, which every entry
 * fetches. */
static double
entry_control_bytes_per_s(const double *inputs)
{
    return agent_control_bytes_per_s(inputs) +
           1e3 / inputs[INSTANCES_POLL_MS] * inputs[BYTES_PER_OBJECT_CALL] /
               2 +
           2 * inputs[RESTARTS_PER_DAY] / SECONDS_PER_DAY * inputs[WORKERS] *
               inputs[BYTES_PER_INSTANCE];
}

static double
store_writes_per_s(const double *inputs)
{
    return process_count(inputs) * 1e3 / inputs[RENEW_MS] * 8 / 7;
}

static double
store_reads_per_s(const double *inputs)
{
    return process_count(inputs) * 1e3 / inputs[WATCH_MS];
}

static double
store_change_writes_per_s(const double *inputs)
{
    return store_writes_per_s(inputs) +
           process_count(inputs) * 1e3 / inputs[CONFIRM_SPREAD_MS];
}

/* Within a second, every process fetches the changed part and starts a new
 * watch. */
static double
store_change_reads_per_s(const double *inputs)
{
    return store_reads_per_s(inputs) + 2 * process_count(inputs);
}

static double
startup_part_reads(const double *inputs)
{
    return inputs[ADAPTERS] * ADAPTER_LINE_BYTES / inputs[BYTES_PER_CHANGE] +
           OTHER_PART_READS;
}

/* All processes of one data centre start together and read the document,
 * spread over ten seconds. */
static double
store_restart_reads_per_s(const double *inputs)
{
    return store_reads_per_s(inputs) +
           process_count(inputs) / inputs[DATACENTRES] *
               (startup_part_reads(inputs) + 2) / 10;
}

static double
change_in_force_ms(const double *inputs)
{
    return inputs[CONFIRM_SPREAD_MS] +
           inputs[PARSE_NS_PER_ADAPTER] * inputs[ADAPTERS] / 1e6 + 2e3;
}

static double
link_bytes_per_s(const double *inputs)
{
    return inputs[TOKENS_PER_S] * inputs[REMOTE_PERCENT] / 100 *
           inputs[BYTES_PER_TOKEN] / 3;
}

static double
waking_loads_per_s(const double *inputs)
{
    return inputs[ADAPTERS] * inputs[WAKING_PERCENT_PER_HOUR] / 100 / 3600;
}

static const struct {
    const char *role;
    const char *quantity;
    const char *unit;
    double (*compute)(const double *inputs);
    int budget_input; /* Input that holds the budget, -1: no budget */
} rows[] = {
    {"entry", "control, processor", "ppm of a core", entry_control_core_ppm,
     CONTROL_CORE_PPM},
    {"entry", "relay, processor", "ppm of a core", entry_relay_core_ppm, -1},
    {"entry", "memory", "bytes", entry_memory_bytes, NODE_BYTES},
    {"entry", "control, bytes", "bytes/s", entry_control_bytes_per_s,
     CONTROL_BYTES_PER_S},
    {"agent", "control, processor", "ppm of a core", agent_control_core_ppm,
     CONTROL_CORE_PPM},
    {"agent", "relay, processor", "ppm of a core", agent_relay_core_ppm, -1},
    {"agent", "memory", "bytes", agent_memory_bytes, NODE_BYTES},
    {"agent", "control, bytes", "bytes/s", agent_control_bytes_per_s,
     CONTROL_BYTES_PER_S},
    {"object API", "writes, ordinary", "calls/s", store_writes_per_s,
     STORE_WRITES_PER_S},
    {"object API", "reads, ordinary", "calls/s", store_reads_per_s,
     STORE_READS_PER_S},
    {"object API", "watches waiting", "calls", process_count,
     STORE_READS_PER_S},
    {"object API", "writes, while a change is confirmed", "calls/s",
     store_change_writes_per_s, STORE_WRITES_PER_S},
    {"object API", "reads, in the second of a change", "calls/s",
     store_change_reads_per_s, STORE_READS_PER_S},
    {"object API", "reads, a data centre starting", "calls/s",
     store_restart_reads_per_s, STORE_READS_PER_S},
    {"all", "change confirmed by every process", "ms", change_in_force_ms,
     IN_FORCE_MS},
    {"link", "bytes between two regions", "bytes/s", link_bytes_per_s,
     LINK_BYTES_PER_S},
    {"weight store", "loads of waking adapters", "loads/s", waking_loads_per_s,
     -1},
};

/* ---- reading and printing ------------------------------------------------ */

static void
store_input(void *context, const KcIniItem *item, KcProblemList *problems)
{
    InputSet *input_set = context;
    char key[KC_NAME_MAX * 2];
    int64_t value;

    snprintf(key, sizeof(key), "[%.60s] %.60s", item->section, item->key);
    for (int i = 0; i < INPUT_COUNT; i++) {
        if (strcmp(input_keys[i].section, item->section) != 0 ||
            strcmp(input_keys[i].key, item->key) != 0) {
            continue;
        }
        if (KcIni_ParseNumber(item->value, 0, INT64_MAX, &value) != 0) {
            KcProblemList_Add(problems, item->file, item->line, key,
                              "expected a whole number");
        }
        input_set->values[i] = (double)value;
        input_set->is_given[i] = true;
        return;
    }
    KcProblemList_Add(problems, item->file, item->line, key, "unknown key");
}

static void
check_inputs(const char *file, const InputSet *input_set,
             KcProblemList *problems)
{
    char key[KC_NAME_MAX];

    for (int i = 0; i < INPUT_COUNT; i++) {
        bool is_divisor = strcmp(input_keys[i].section, "size") == 0 ||
                          strcmp(input_keys[i].section, "settings") == 0;

        snprintf(key, sizeof(key), "[%s] %s", input_keys[i].section,
                 input_keys[i].key);
        if (!input_set->is_given[i]) {
            KcProblemList_Add(problems, file, 0, key, "must be given");
        }
        else if (is_divisor && input_set->values[i] <= 0) {
            KcProblemList_Add(problems, file, 0, key, "must be above zero");
        }
    }
}

static void
print_table(const InputSet *input_set)
{
    printf("| role | quantity | value | budget | unit |\n");
    printf("| --- | --- | ---: | ---: | --- |\n");
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        double value = rows[i].compute(input_set->values);
        bool is_over_budget = rows[i].budget_input >= 0 &&
                              value > input_set->values[rows[i].budget_input];
        const char *emphasis = is_over_budget ? "**" : "";

        printf("| %s%s%s | %s | %s%.1f%s | ", emphasis, rows[i].role, emphasis,
               rows[i].quantity, emphasis, value, emphasis);
        if (rows[i].budget_input >= 0) {
            printf("%.0f", input_set->values[rows[i].budget_input]);
        }
        else {
            printf("-");
        }
        printf(" | %s |\n", rows[i].unit);
    }
}

int
KcCommand_Capacity(const KcArguments *arguments)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    const char *file = arguments->operands[0];
    InputSet input_set;
    size_t size = 0;
    char *text = KcFile_Read(file, &size);
    int status = KC_EXIT_OK;

    if (text == NULL) {
        fprintf(stderr, "kcc: cannot read %s\n", file);
        return KC_EXIT_FAILED;
    }
    memset(&input_set, 0, sizeof(input_set));
    KcIni_Read(file, text, size, store_input, &input_set, &problems);
    check_inputs(file, &input_set, &problems);
    if (!TAILQ_EMPTY(&problems)) {
        KcProblem_Print(stderr, &problems);
        status = KC_EXIT_FAILED;
    }
    else {
        print_table(&input_set);
    }
    KcProblemList_Clear(&problems);
    free(text);
    return status;
}
