/*
 * The table of settings, and reading a file against it.
 */
#include "settings.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "loop.h"

typedef enum SettingKind {
    KIND_NUMBER,
    KIND_DECIMAL,
    KIND_BOOL,
    KIND_NAME,    /* as KcName_Check() */
    KIND_ADDRESS, /* "address:port" */
    KIND_PATH,    /* begins with a slash */
    KIND_CHOICE   /* one of a list; stored as text, role as number */
} SettingKind;

/* Roles to which a setting applies. */
#define FOR_ENTRY (1 << KC_ROLE_ENTRY)
#define FOR_AGENT (1 << KC_ROLE_AGENT)
#define FOR_GATEWAY (1 << KC_ROLE_GATEWAY)
#define FOR_KEEPER (1 << KC_ROLE_KEEPER)
/* Roles that serve the /v1 front end by the document. */
#define FOR_BOTH (FOR_ENTRY | FOR_AGENT)
/* Roles that stand on the users' platform. */
#define FOR_PLATFORM (FOR_GATEWAY | FOR_KEEPER)
#define FOR_ALL (FOR_BOTH | FOR_PLATFORM)

typedef struct Setting {
    const char *section;
    const char *key;
    SettingKind kind;
    int roles;
    size_t offset;
    const char *initial; /* NULL: must be given */
    int64_t low;
    int64_t high;
    const char *choices; /* separated by blanks */
    const char *help;
} Setting;

#define AT(field) offsetof(KcSettings, field)
#define DAY_MS 86400000
#define TEXT(section, key, kind, roles, field, initial, help)                 \
    {                                                                         \
        section, key, kind, roles, AT(field), initial, 0, 0, NULL, help       \
    }
#define NUMBER(section, key, roles, field, initial, low, high, help)          \
    {                                                                         \
        section, key, KIND_NUMBER, roles, AT(field), initial, low, high,      \
            NULL, help                                                        \
    }
#define DECIMAL(section, key, roles, field, initial, low, high, help)         \
    {                                                                         \
        section, key, KIND_DECIMAL, roles, AT(field), initial, low, high,     \
            NULL, help                                                        \
    }
#define CHOICE(section, key, roles, field, initial, choices, help)            \
    {                                                                         \
        section, key, KIND_CHOICE, roles, AT(field), initial, 0, 0, choices,  \
            help                                                              \
    }

static const Setting settings_table[] = {
    CHOICE("process", "role", FOR_ALL, role, NULL,
           "entry agent gateway keeper", "What this process is."),
    TEXT("process", "name", KIND_NAME, FOR_ALL, name, NULL,
         "Name of the instance, as in the instance list."),
    TEXT("process", "datacentre", KIND_NAME, FOR_ALL, datacentre, NULL,
         "Data centre in which the instance stands."),
    CHOICE("process", "log_level", FOR_ALL, log_level, "info",
           "error warn info debug", "Lowest level that is logged."),
    NUMBER("process", "events", FOR_ALL, events, "8192", 16, 1048576,
           "Events kept for the time line."),
    NUMBER("process", "drain_ms", FOR_BOTH, drain_ms, "600000", 0, DAY_MS,
           "Longest time a planned stop waits for running requests."),
    TEXT("listen", "callers", KIND_ADDRESS, FOR_ENTRY | FOR_GATEWAY,
         callers_address, NULL, "Address for callers (HTTP)."),
    TEXT("listen", "links", KIND_ADDRESS, FOR_AGENT | FOR_KEEPER, links, NULL,
         "Address for connections from entries."),
    TEXT("listen", "admin", KIND_ADDRESS, FOR_ALL, admin, NULL,
         "Address for metrics, health and events (HTTP)."),
    TEXT("platform", "objects", KIND_ADDRESS, FOR_ALL, objects, NULL,
         "Address of the object API."),
    TEXT("platform", "instances", KIND_ADDRESS, FOR_ENTRY, instances, NULL,
         "Address of the instance list."),
    NUMBER("platform", "object_timeout_ms", FOR_ALL, object_timeout_ms, "2000",
           10, 60000, "Wait for an answer of the object API."),
    NUMBER("platform", "watch_ms", FOR_ALL, watch_ms, "30000", 100, 600000,
           "Longest wait of one watch."),
    NUMBER("platform", "leave_ms", FOR_GATEWAY, leave_ms, "3000", 100, 60000,
           "A leaving server gets no new request after this time."),
    NUMBER("platform", "instances_poll_ms", FOR_ENTRY, instances_poll_ms,
           "2000", 50, 60000, "Interval of asking for the instance list."),
    NUMBER("lease", "ttl_ms", FOR_BOTH, lease_ttl_ms, "30000", 1000, 600000,
           "Life of a lease without renewal."),
    NUMBER("lease", "renew_ms", FOR_BOTH, lease_renew_ms, "10000", 100, 300000,
           "Interval of renewal; at most a third of ttl_ms."),
    NUMBER("lease", "confirm_spread_ms", FOR_BOTH, confirm_spread_ms, "6000",
           0, 14000, "A new generation is confirmed within this time."),
    CHOICE("route", "policy", FOR_ENTRY, policy, "kcc",
           "kcc random least_loaded hash bounded_hash",
           "How a backend server is chosen."),
    NUMBER("route", "attempts_max", FOR_ENTRY, attempts_max, "4", 1,
           KC_ATTEMPTS_MAX, "Attempts for one request."),
    NUMBER("route", "remote_cost_ms", FOR_ENTRY, remote_cost_ms, "60", 0,
           60000, "Cost of the way to another region and back."),
    NUMBER("route", "retry_percent", FOR_ENTRY, retry_percent, "20", 0, 100,
           "Share of requests that may be sent again after they ran."),
    NUMBER("limits", "requests_max", FOR_ENTRY, requests_max, "20000", 1,
           1000000, "Requests in progress at once."),
    NUMBER("limits", "connections_max", FOR_ENTRY | FOR_GATEWAY,
           connections_max, "24000", 1, 1000000,
           "Callers' connections at once."),
    NUMBER("limits", "header_max", FOR_ENTRY, header_bytes_max, "16384", 256,
           1048576, "Bytes of all headers of a request."),
    NUMBER("limits", "body_max", FOR_ENTRY, body_bytes_max, "1048576", 1024,
           3145728, "Bytes of the body of a request."),
    NUMBER("limits", "window", FOR_BOTH, window_bytes, "65536", 4096, 16777216,
           "Bytes of an answer that a reader may lag behind."),
    NUMBER("timeouts", "read_ms", FOR_ENTRY, read_timeout_ms, "30000", 10,
           DAY_MS, "Wait for a caller to send its request."),
    NUMBER("timeouts", "write_ms", FOR_ENTRY, write_timeout_ms, "60000", 10,
           DAY_MS, "Wait for a caller to take any of its answer."),
    NUMBER("timeouts", "reply_ms", FOR_ENTRY, reply_timeout_ms, "1000", 10,
           60000, "Wait for an agent's reply to a proposal."),
    NUMBER("timeouts", "resume_ms", FOR_ENTRY, resume_timeout_ms, "3000", 10,
           600000, "Time to bring a lost connection back."),
    NUMBER("timeouts", "connect_ms", FOR_ENTRY, connect_timeout_ms, "1000", 10,
           60000, "Wait for a connection to an agent."),
    NUMBER("timeouts", "link_idle_ms", FOR_ENTRY, link_idle_ms, "60000", 100,
           DAY_MS, "Idle connections to agents are closed after this."),
    TEXT("backend", "address", KIND_ADDRESS, FOR_AGENT | FOR_KEEPER,
         backend_address, NULL, "Address of the backend server."),
    TEXT("backend", "service", KIND_NAME, FOR_AGENT | FOR_KEEPER, service_name,
         NULL, "Service of the backend server."),
    TEXT("backend", "fencing", KIND_BOOL, FOR_AGENT, engine_checks_fence,
         "yes", "Whether the engine refuses old fencing numbers."),
    CHOICE("backend", "victim", FOR_AGENT, victim, "kcc", "kcc lru lfu gdsf",
           "How the adapter to evict is chosen."),
    NUMBER("backend", "store_share", FOR_AGENT, store_share, "1", 1, 100000,
           "Agents that share the weight store's rate."),
    NUMBER("backend", "inspect_ms", FOR_AGENT, inspect_ms, "1000", 20, 60000,
           "Interval of asking the engine for its adapters."),
    NUMBER("backend", "order_timeout_ms", FOR_AGENT, order_timeout_ms, "30000",
           100, 600000, "Wait for an order to be carried out."),
    NUMBER("backend", "silence_timeout_ms", FOR_AGENT,
           backend_silence_timeout_ms, "60000", 100, DAY_MS,
           "Wait for the next piece of an answer."),
    NUMBER("backend", "detach_ms", FOR_AGENT, detach_ms, "5000", 10, 600000,
           "Work is kept this long for a lost connection."),
    NUMBER("backend", "retain_ms", FOR_AGENT, retain_ms, "60000", 10, DAY_MS,
           "The record of an ended call is kept this long."),
    TEXT("listen", "ready", KIND_ADDRESS, FOR_GATEWAY, ready, NULL,
         "Address at which the balancer asks whether requests are served."),
    TEXT("listen", "ready_path", KIND_PATH, FOR_PLATFORM, ready_path,
         "/readyz", "Path of that question."),
    DECIMAL("process", "grace_s", FOR_PLATFORM, grace_s, "8", 0, 86400,
            "A planned stop ends by then, in seconds."),
    DECIMAL("retry", "share", FOR_GATEWAY, retry_share, "0.2", 0, 1,
            "Sendings beyond the first, as a share of requests."),
    NUMBER("retry", "burst", FOR_GATEWAY, retry_burst, "10", 0, 1000000,
           "The same, fixed part, for all gateways together."),
    NUMBER("keeper", "port", FOR_GATEWAY, keeper_port, NULL, 1, 65535,
           "Port of the keepers, on the address of their engines."),
    NUMBER("timeouts", "silence_ms", FOR_PLATFORM, silence_ms, "3000", 1000,
           60000, "A connection that falls silent is given up after this."),
};

/* Section whose keys are data centres, and whose values are regions. */
#define REGIONS "regions"

#define SETTING_COUNT (sizeof(settings_table) / sizeof(settings_table[0]))

static const char *const role_names[KC_ROLE_COUNT] = {"entry", "agent",
                                                      "gateway", "keeper"};

/* State of one read. */
typedef struct Reader {
    KcSettings *settings;
    const char *file;
    int line[SETTING_COUNT]; /* 0: not given */
} Reader;

static void *
field_of(const Setting *setting, KcSettings *settings)
{
    return (char *)settings + setting->offset;
}

static bool
is_choice(const Setting *setting, const char *value)
{
    size_t length = strlen(value);
    const char *at = setting->choices;

    while (length > 0 && (at = strstr(at, value)) != NULL) {
        bool begins = at == setting->choices || at[-1] == ' ';
        bool ends = at[length] == '\0' || at[length] == ' ';

        if (begins && ends) {
            return true;
        }
        at += length;
    }
    return false;
}

static int
store_choice(const Setting *setting, KcSettings *settings, const char *value)
{
    if (!is_choice(setting, value)) {
        return KC_ERR_INVALID;
    }
    if (setting->offset == AT(role)) {
        settings->role = 0;
        while (strcmp(value, role_names[settings->role]) != 0) {
            settings->role++;
        }
        return 0;
    }
    KcText_Copy(field_of(setting, settings), value, KC_NAME_MAX);
    return 0;
}

static int
store_decimal(const Setting *setting, KcSettings *settings, const char *value)
{
    char *end;
    double number = strtod(value, &end);

    if (end == value || *end != '\0' || !isfinite(number) ||
        number < (double)setting->low || number > (double)setting->high) {
        return KC_ERR_INVALID;
    }
    *(double *)field_of(setting, settings) = number;
    return 0;
}

/* Stores a value.  Returns 0 or a negative error number. */
static int
store(const Setting *setting, KcSettings *settings, const char *value)
{
    char host[KC_ADDRESS_MAX];
    uint16_t port;
    int code;

    switch (setting->kind) {
    case KIND_NUMBER:
        return KcIni_ParseNumber(value, setting->low, setting->high,
                                 field_of(setting, settings));
    case KIND_DECIMAL:
        return store_decimal(setting, settings, value);
    case KIND_PATH:
        if (value[0] != '/' || strlen(value) >= KC_NAME_MAX) {
            return KC_ERR_INVALID;
        }
        KcText_Copy(field_of(setting, settings), value, KC_NAME_MAX);
        return 0;
    case KIND_BOOL:
        return KcIni_ParseBool(value, field_of(setting, settings));
    case KIND_NAME:
        code = KcName_Check(value);
        if (code == 0) {
            KcText_Copy(field_of(setting, settings), value, KC_NAME_MAX);
        }
        return code;
    case KIND_ADDRESS:
        code = KcAddress_Parse(value, host, &port);
        if (code == 0) {
            KcText_Copy(field_of(setting, settings), value, KC_ADDRESS_MAX);
        }
        return code;
    case KIND_CHOICE:
        return store_choice(setting, settings, value);
    }
    return KC_ERR_INVALID;
}

static void
expectation(const Setting *setting, char *text, size_t size)
{
    switch (setting->kind) {
    case KIND_NUMBER:
        snprintf(text, size,
                 "expected a whole number from %" PRId64 " to %" PRId64,
                 setting->low, setting->high);
        break;
    case KIND_DECIMAL:
        snprintf(text, size, "expected a number from %" PRId64 " to %" PRId64,
                 setting->low, setting->high);
        break;
    case KIND_PATH:
        snprintf(text, size, "expected a path, /...");
        break;
    case KIND_BOOL:
        snprintf(text, size, "expected yes or no");
        break;
    case KIND_NAME:
        snprintf(text, size, "expected a name of letters, digits, . _ -");
        break;
    case KIND_ADDRESS:
        snprintf(text, size, "expected address:port");
        break;
    case KIND_CHOICE:
        snprintf(text, size, "expected one of: %s", setting->choices);
        break;
    }
}

/* Adds a line of [regions]. */
static void
add_region(Reader *reader, const KcIniItem *item, const char *key,
           KcProblemList *problems)
{
    KcRegionSetting *region;

    if (KcName_Check(item->key) != 0 || KcName_Check(item->value) != 0) {
        KcProblemList_Add(problems, item->file, item->line, key,
                          "expected DATACENTRE = REGION");
        return;
    }
    region = KcMem_New(sizeof(*region));
    KcText_Copy(region->datacentre, item->key, KC_NAME_MAX);
    KcText_Copy(region->region, item->value, KC_NAME_MAX);
    TAILQ_INSERT_TAIL(&reader->settings->regions, region, link);
}

static void
visit(void *context, const KcIniItem *item, KcProblemList *problems)
{
    Reader *reader = context;
    char key[KC_NAME_MAX * 2];
    char text[160];

    snprintf(key, sizeof(key), "[%.60s] %.60s", item->section, item->key);
    if (strcmp(item->section, REGIONS) == 0) {
        add_region(reader, item, key, problems);
        return;
    }
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const Setting *setting = &settings_table[i];

        if (strcmp(setting->section, item->section) != 0 ||
            strcmp(setting->key, item->key) != 0) {
            continue;
        }
        reader->line[i] = item->line;
        if (store(setting, reader->settings, item->value) != 0) {
            expectation(setting, text, sizeof(text));
            KcProblemList_Add(problems, item->file, item->line, key, "%s",
                              text);
        }
        return;
    }
    KcProblemList_Add(problems, item->file, item->line, key, "unknown key");
}

/* Settings that must be given, and those of the other role. */
static void
check_presence(const Reader *reader, KcProblemList *problems)
{
    int role = 1 << reader->settings->role;
    char key[KC_NAME_MAX * 2];

    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const Setting *setting = &settings_table[i];

        snprintf(key, sizeof(key), "[%s] %s", setting->section, setting->key);
        if ((setting->roles & role) == 0 && reader->line[i] != 0) {
            KcProblemList_Add(problems, reader->file, reader->line[i], key,
                              "does not apply to role %s",
                              role_names[reader->settings->role]);
        }
        if ((setting->roles & role) != 0 && setting->initial == NULL &&
            reader->line[i] == 0) {
            KcProblemList_Add(problems, reader->file, 0, key, "must be given");
        }
    }
}

/* Rules that concern more than one setting. */
static void
check_combination(const Reader *reader, KcProblemList *problems)
{
    const KcSettings *settings = reader->settings;

    if (settings->lease_renew_ms * 3 > settings->lease_ttl_ms) {
        KcProblemList_Add(problems, reader->file, 0, "[lease] renew_ms",
                          "must be at most a third of ttl_ms");
    }
    if (settings->requests_max > settings->connections_max) {
        KcProblemList_Add(problems, reader->file, 0, "[limits] requests_max",
                          "must not exceed connections_max");
    }
}

int
KcSettings_Parse(const char *file, const char *text, size_t size,
                 KcSettings *settings, KcProblemList *problems)
{
    Reader reader = {.settings = settings, .file = file};
    KcProblem *last = TAILQ_LAST(problems, KcProblemList);

    memset(settings, 0, sizeof(*settings));
    TAILQ_INIT(&settings->regions);
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        if (settings_table[i].initial != NULL) {
            store(&settings_table[i], settings, settings_table[i].initial);
        }
    }
    KcIni_Read(file, text, size, visit, &reader, problems);
    check_presence(&reader, problems);
    check_combination(&reader, problems);
    return TAILQ_LAST(problems, KcProblemList) == last ? 0 : KC_ERR_INVALID;
}

const char *
KcSettings_RoleName(const KcSettings *settings)
{
    return role_names[settings->role];
}

void
KcSettings_Clear(KcSettings *settings)
{
    KcRegionSetting *region;

    while ((region = TAILQ_FIRST(&settings->regions)) != NULL) {
        TAILQ_REMOVE(&settings->regions, region, link);
        free(region);
    }
}

const char *
KcSettings_Region(const KcSettings *settings, const char *datacentre)
{
    const KcRegionSetting *region;

    TAILQ_FOREACH (region, &settings->regions, link) {
        if (strcmp(region->datacentre, datacentre) == 0) {
            return region->region;
        }
    }
    return "";
}

char *
KcFile_Read(const char *path, size_t *size)
{
    FILE *file = fopen(path, "rb");
    char *text = NULL;
    size_t used = 0;
    size_t capacity = 0;
    size_t got;

    if (file == NULL) {
        return NULL;
    }
    do {
        capacity += 65536;
        text = KcMem_Realloc(text, capacity + 1);
        got = fread(text + used, 1, capacity - used, file);
        used += got;
    } while (got > 0 && used == capacity);
    if (ferror(file)) {
        free(text);
        text = NULL;
    }
    else {
        text[used] = '\0';
        *size = used;
    }
    fclose(file);
    return text;
}

int
KcSettings_Read(const char *path, KcSettings *settings,
                KcProblemList *problems)
{
    size_t size = 0;
    char *text = KcFile_Read(path, &size);
    int code;

    if (text == NULL) {
        memset(settings, 0, sizeof(*settings));
        TAILQ_INIT(&settings->regions);
        KcProblemList_Add(problems, path, 0, "", "cannot be read");
        return KC_ERR_NOT_FOUND;
    }
    code = KcSettings_Parse(path, text, size, settings, problems);
    KcText_Copy(settings->path, path, sizeof(settings->path));
    free(text);
    return code;
}

/* Names the roles of a setting in a buffer of the caller's. */
static const char *
roles_text(const Setting *setting, char *text, size_t size)
{
    size_t used = 0;

    if (setting->roles == FOR_ALL) {
        return "all";
    }
    for (int i = 0; i < KC_ROLE_COUNT; i++) {
        if ((setting->roles & (1 << i)) != 0) {
            used += (size_t)snprintf(text + used, size - used, "%s%s",
                                     used > 0 ? " " : "", role_names[i]);
        }
    }
    return text;
}

void
KcSettings_PrintReference(FILE *out)
{
    char text[160];
    char roles[64];

    fprintf(out, "| section | key | role | default | value | meaning |\n");
    fprintf(out, "| --- | --- | --- | --- | --- | --- |\n");
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const Setting *setting = &settings_table[i];

        expectation(setting, text, sizeof(text));
        fprintf(out, "| %s | %s | %s | %s | %s | %s |\n", setting->section,
                setting->key, roles_text(setting, roles, sizeof(roles)),
                setting->initial != NULL ? setting->initial : "(required)",
                text + strlen("expected "), setting->help);
    }
    fprintf(out,
            "| " REGIONS " | (data centre) | gateway keeper | (none) | a name "
            "| Region of the data centre; one line for each. |\n");
}

void
KcProblem_Print(FILE *out, const KcProblemList *problems)
{
    const KcProblem *problem;

    TAILQ_FOREACH (problem, problems, link) {
        fprintf(out, "%s:", problem->file);
        if (problem->line > 0) {
            fprintf(out, "%d:", problem->line);
        }
        if (problem->key[0] != '\0') {
            fprintf(out, " %s:", problem->key);
        }
        fprintf(out, " %s\n", problem->message);
    }
}
