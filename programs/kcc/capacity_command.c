/*
 * kcc capacity: the arithmetic of docs/CAPACITY.md for any size, from a file
 * of sizes, measured slopes and budgets.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../process/settings.h"
#include "command.h"

/* Numbers of the file, by section. */
typedef enum Number {
    /* [size] */
    ENTRIES,
    WORKERS,
    REQUESTS_S,
    TOKENS_S,
    ADAPTERS,
    DATACENTRES,
    CHANGES_DAY,
    RESTARTS_DAY,
    WAKING_PERCENT_H,
    STREAM_SECONDS,
    REMOTE_PERCENT,
    BYTES_TOKEN,
    /* [settings] */
    RENEW_MS,
    WATCH_MS,
    CONFIRM_SPREAD_MS,
    POLL_MS,
    /* [slope] */
    ENTRY_NS_TOKEN,
    AGENT_NS_TOKEN,
    ENTRY_US_REQUEST,
    ENTRY_IDLE_PPM,
    AGENT_IDLE_PPM,
    AGENT_BASE_BYTES,
    ENTRY_BASE_BYTES,
    BYTES_ADAPTER,
    BYTES_WORKER,
    BYTES_FLEET,
    BYTES_STREAM,
    CALL_BYTES,
    PART_BYTES,
    PARSE_NS_ADAPTER,
    INSTANCE_BYTES,
    /* [budget] */
    CONTROL_CORE_PPM,
    NODE_BYTES,
    CONTROL_BYTES_S,
    STORE_WRITES_S,
    STORE_READS_S,
    IN_FORCE_MS,
    LINK_BYTES_S,
    NUMBER_COUNT
} Number;

static const struct {
    const char *section;
    const char *key;
} keys[NUMBER_COUNT] = {
    [ENTRIES] = {"size", "entries"},
    [WORKERS] = {"size", "workers"},
    [REQUESTS_S] = {"size", "requests_per_s"},
    [TOKENS_S] = {"size", "tokens_per_s"},
    [ADAPTERS] = {"size", "adapters"},
    [DATACENTRES] = {"size", "datacentres"},
    [CHANGES_DAY] = {"size", "changes_per_day"},
    [RESTARTS_DAY] = {"size", "restarts_per_day"},
    [WAKING_PERCENT_H] = {"size", "waking_percent_per_hour"},
    [STREAM_SECONDS] = {"size", "stream_seconds"},
    [REMOTE_PERCENT] = {"size", "remote_percent"},
    [BYTES_TOKEN] = {"size", "bytes_per_token"},
    [RENEW_MS] = {"settings", "renew_ms"},
    [WATCH_MS] = {"settings", "watch_ms"},
    [CONFIRM_SPREAD_MS] = {"settings", "confirm_spread_ms"},
    [POLL_MS] = {"settings", "instances_poll_ms"},
    [ENTRY_NS_TOKEN] = {"slope", "entry_ns_per_token"},
    [AGENT_NS_TOKEN] = {"slope", "agent_ns_per_token"},
    [ENTRY_US_REQUEST] = {"slope", "entry_us_per_request"},
    [ENTRY_IDLE_PPM] = {"slope", "entry_idle_core_ppm"},
    [AGENT_IDLE_PPM] = {"slope", "agent_idle_core_ppm"},
    [AGENT_BASE_BYTES] = {"slope", "agent_base_bytes"},
    [ENTRY_BASE_BYTES] = {"slope", "entry_base_bytes"},
    [BYTES_ADAPTER] = {"slope", "bytes_per_adapter"},
    [BYTES_WORKER] = {"slope", "bytes_per_worker"},
    [BYTES_FLEET] = {"slope", "fleet_base_bytes"},
    [BYTES_STREAM] = {"slope", "bytes_per_stream"},
    [CALL_BYTES] = {"slope", "bytes_per_object_call"},
    [PART_BYTES] = {"slope", "bytes_per_change"},
    [PARSE_NS_ADAPTER] = {"slope", "parse_ns_per_adapter"},
    [INSTANCE_BYTES] = {"slope", "bytes_per_instance"},
    [CONTROL_CORE_PPM] = {"budget", "control_core_ppm"},
    [NODE_BYTES] = {"budget", "node_bytes"},
    [CONTROL_BYTES_S] = {"budget", "control_bytes_per_s"},
    [STORE_WRITES_S] = {"budget", "store_writes_per_s"},
    [STORE_READS_S] = {"budget", "store_reads_per_s"},
    [IN_FORCE_MS] = {"budget", "in_force_ms"},
    [LINK_BYTES_S] = {"budget", "link_bytes_per_s"},
};

#define DAY_S 86400.0
/* Parts of the other sections and the head, fetched by a process that
 * starts, beside those of the adapters section. */
#define SMALL_PARTS 6

typedef struct Numbers {
    double value[NUMBER_COUNT];
    bool given[NUMBER_COUNT];
} Numbers;

static double
processes(const double *n)
{
    return n[ENTRIES] + n[WORKERS];
}

/* ---- the rows ------------------------------------------------------------ */

static double
entry_control_core(const double *n)
{
    return n[ENTRY_IDLE_PPM] +
           n[CHANGES_DAY] / DAY_S * n[PARSE_NS_ADAPTER] * n[ADAPTERS] / 1e3;
}

static double
agent_control_core(const double *n)
{
    return n[AGENT_IDLE_PPM] +
           n[CHANGES_DAY] / DAY_S * n[PARSE_NS_ADAPTER] * n[ADAPTERS] / 1e3;
}

static double
entry_relay_core(const double *n)
{
    return (n[TOKENS_S] * n[ENTRY_NS_TOKEN] / 1e3 +
            n[REQUESTS_S] * n[ENTRY_US_REQUEST]) /
           n[ENTRIES];
}

static double
agent_relay_core(const double *n)
{
    return n[TOKENS_S] * n[AGENT_NS_TOKEN] / 1e3 / n[WORKERS];
}

/* While a change comes into force two documents are held. */
static double
entry_memory(const double *n)
{
    return n[ENTRY_BASE_BYTES] + 2 * n[ADAPTERS] * n[BYTES_ADAPTER] +
           n[BYTES_FLEET] + n[WORKERS] * n[BYTES_WORKER] +
           n[REQUESTS_S] * n[STREAM_SECONDS] / n[ENTRIES] * n[BYTES_STREAM];
}

static double
agent_memory(const double *n)
{
    return n[AGENT_BASE_BYTES] + 2 * n[ADAPTERS] * n[BYTES_ADAPTER] +
           n[REQUESTS_S] * n[STREAM_SECONDS] / n[WORKERS] * n[BYTES_STREAM];
}

/* Renewals and watches of one process. */
static double
calls_per_process(const double *n)
{
    return 1e3 / n[RENEW_MS] * 8 / 7 + 1e3 / n[WATCH_MS];
}

static double
change_bytes(const double *n)
{
    return n[CHANGES_DAY] / DAY_S * (n[PART_BYTES] + 3 * n[CALL_BYTES]);
}

static double
agent_bytes(const double *n)
{
    return calls_per_process(n) * n[CALL_BYTES] + change_bytes(n);
}

/* A restart or failure changes the list for every entry. */
static double
entry_bytes(const double *n)
{
    return agent_bytes(n) + 1e3 / n[POLL_MS] * n[CALL_BYTES] / 2 +
           2 * n[RESTARTS_DAY] / DAY_S * n[WORKERS] * n[INSTANCE_BYTES];
}

static double
store_writes(const double *n)
{
    return processes(n) * 1e3 / n[RENEW_MS] * 8 / 7;
}

static double
store_reads(const double *n)
{
    return processes(n) * 1e3 / n[WATCH_MS];
}

static double
store_change_writes(const double *n)
{
    return store_writes(n) + processes(n) * 1e3 / n[CONFIRM_SPREAD_MS];
}

/* Every process fetches the changed part and watches anew within a second. */
static double
store_change_reads(const double *n)
{
    return store_reads(n) + 2 * processes(n);
}

static double
section_parts(const double *n)
{
    return n[ADAPTERS] * 27 / n[PART_BYTES] + SMALL_PARTS;
}

/* The processes of a data centre that start together, over ten seconds. */
static double
store_restart_reads(const double *n)
{
    return store_reads(n) +
           processes(n) / n[DATACENTRES] * (section_parts(n) + 2) / 10;
}

static double
change_time(const double *n)
{
    return n[CONFIRM_SPREAD_MS] + n[PARSE_NS_ADAPTER] * n[ADAPTERS] / 1e6 +
           2e3;
}

static double
link_bytes(const double *n)
{
    return n[TOKENS_S] * n[REMOTE_PERCENT] / 100 * n[BYTES_TOKEN] / 3;
}

static double
waking_loads(const double *n)
{
    return n[ADAPTERS] * n[WAKING_PERCENT_H] / 100 / 3600;
}

static const struct {
    const char *role;
    const char *quantity;
    const char *unit;
    double (*value)(const double *n);
    int budget; /* Number, -1: none */
} rows[] = {
    {"entry", "control, processor", "ppm of a core", entry_control_core,
     CONTROL_CORE_PPM},
    {"entry", "relay, processor", "ppm of a core", entry_relay_core, -1},
    {"entry", "memory", "bytes", entry_memory, NODE_BYTES},
    {"entry", "control, bytes", "bytes/s", entry_bytes, CONTROL_BYTES_S},
    {"agent", "control, processor", "ppm of a core", agent_control_core,
     CONTROL_CORE_PPM},
    {"agent", "relay, processor", "ppm of a core", agent_relay_core, -1},
    {"agent", "memory", "bytes", agent_memory, NODE_BYTES},
    {"agent", "control, bytes", "bytes/s", agent_bytes, CONTROL_BYTES_S},
    {"object API", "writes, ordinary", "calls/s", store_writes,
     STORE_WRITES_S},
    {"object API", "reads, ordinary", "calls/s", store_reads, STORE_READS_S},
    {"object API", "watches waiting", "calls", processes, STORE_READS_S},
    {"object API", "writes, while a change is confirmed", "calls/s",
     store_change_writes, STORE_WRITES_S},
    {"object API", "reads, in the second of a change", "calls/s",
     store_change_reads, STORE_READS_S},
    {"object API", "reads, a data centre starting", "calls/s",
     store_restart_reads, STORE_READS_S},
    {"all", "change confirmed by every process", "ms", change_time,
     IN_FORCE_MS},
    {"link", "bytes between two regions", "bytes/s", link_bytes, LINK_BYTES_S},
    {"weight store", "loads of waking adapters", "loads/s", waking_loads, -1},
};

/* ---- reading and printing ------------------------------------------------ */

static void
visit(void *context, const KcIniItem *item, KcProblemList *problems)
{
    Numbers *numbers = context;
    char key[KC_NAME_MAX * 2];
    int64_t value;

    snprintf(key, sizeof(key), "[%.60s] %.60s", item->section, item->key);
    for (int i = 0; i < NUMBER_COUNT; i++) {
        if (strcmp(keys[i].section, item->section) != 0 ||
            strcmp(keys[i].key, item->key) != 0) {
            continue;
        }
        if (KcIni_ParseNumber(item->value, 0, INT64_MAX, &value) != 0) {
            KcProblemList_Add(problems, item->file, item->line, key,
                              "expected a whole number");
        }
        numbers->value[i] = (double)value;
        numbers->given[i] = true;
        return;
    }
    KcProblemList_Add(problems, item->file, item->line, key, "unknown key");
}

static void
check_given(const char *file, const Numbers *numbers, KcProblemList *problems)
{
    char key[KC_NAME_MAX];

    for (int i = 0; i < NUMBER_COUNT; i++) {
        bool divisor = strcmp(keys[i].section, "size") == 0 ||
                       strcmp(keys[i].section, "settings") == 0;

        snprintf(key, sizeof(key), "[%s] %s", keys[i].section, keys[i].key);
        if (!numbers->given[i]) {
            KcProblemList_Add(problems, file, 0, key, "must be given");
        }
        else if (divisor && numbers->value[i] <= 0) {
            KcProblemList_Add(problems, file, 0, key, "must be above zero");
        }
    }
}

static void
print_table(const Numbers *numbers)
{
    printf("| role | quantity | value | budget | unit |\n");
    printf("| --- | --- | ---: | ---: | --- |\n");
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        double value = rows[i].value(numbers->value);
        bool over =
            rows[i].budget >= 0 && value > numbers->value[rows[i].budget];
        const char *mark = over ? "**" : "";

        printf("| %s%s%s | %s | %s%.1f%s | ", mark, rows[i].role, mark,
               rows[i].quantity, mark, value, mark);
        if (rows[i].budget >= 0) {
            printf("%.0f", numbers->value[rows[i].budget]);
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
    const char *file = arguments->words[0];
    Numbers numbers;
    size_t size = 0;
    char *text = KcFile_Read(file, &size);
    int status = KC_EXIT_OK;

    if (text == NULL) {
        fprintf(stderr, "kcc: cannot read %s\n", file);
        return KC_EXIT_FAILED;
    }
    memset(&numbers, 0, sizeof(numbers));
    KcIni_Read(file, text, size, visit, &numbers, &problems);
    check_given(file, &numbers, &problems);
    if (!TAILQ_EMPTY(&problems)) {
        KcProblemList_Print(stderr, &problems);
        status = KC_EXIT_FAILED;
    }
    else {
        print_table(&numbers);
    }
    KcProblemList_Clear(&problems);
    free(text);
    return status;
}
