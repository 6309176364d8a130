/*
 * Table of all settings, and the parser that checks a file against it.
 */
#include "settings.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "descriptors.h"
#include "log.h"
#include "loop.h"

typedef enum SettingKind {
    KIND_NUMBER,
    KIND_DECIMAL,
    KIND_BOOL,
    KIND_NAME,    /* valid by KcName_Check() */
    KIND_ADDRESS, /* "address:port" */
    KIND_PATH,    /* begins with a slash */
    KIND_CHOICE   /* one of choices; stored as text, but role as KcRole */
} SettingKind;

/* Roles to which a setting applies, as bits. */
#define ROLES_ENTRY (1 << KC_ROLE_ENTRY)
#define ROLES_AGENT (1 << KC_ROLE_AGENT)
#define ROLES_GATEWAY (1 << KC_ROLE_GATEWAY)
#define ROLES_KEEPER (1 << KC_ROLE_KEEPER)
/* Roles that serve requests under /v1, configured by the document. */
#define ROLES_V1 (ROLES_ENTRY | ROLES_AGENT)
/* Roles that run on the users' platform. */
#define ROLES_PLATFORM (ROLES_GATEWAY | ROLES_KEEPER)
#define ROLES_ALL (ROLES_V1 | ROLES_PLATFORM)

typedef struct Setting {
    const char *section;
    const char *key;
    SettingKind kind;
    int roles;
    size_t offset;             /* of the field in KcSettings */
    const char *default_value; /* NULL: required */
    int64_t minimum;           /* of a number or decimal */
    int64_t maximum;
    const char *choices; /* separated by spaces */
    const char *help;    /* for the reference */
} Setting;

#define FIELD_OFFSET(field) offsetof(KcSettings, field)
#define DAY_MS 86400000
#define TEXT_SETTING(section, key, kind, roles, field, default_value, help)   \
    {                                                                         \
        section, key, kind, roles, FIELD_OFFSET(field), default_value, 0, 0,  \
            NULL, help                                                        \
    }
#define NUMBER_SETTING(section, key, roles, field, default_value, minimum,    \
                       maximum, help)                                         \
    {                                                                         \
        section, key, KIND_NUMBER, roles, FIELD_OFFSET(field), default_value, \
            minimum, maximum, NULL, help                                      \
    }
#define DECIMAL_SETTING(section, key, roles, field, default_value, minimum,   \
                        maximum, help)                                        \
    {                                                                         \
        section, key, KIND_DECIMAL, roles, FIELD_OFFSET(field),               \
            default_value, minimum, maximum, NULL, help                       \
    }
#define CHOICE_SETTING(section, key, roles, field, default_value, choices,    \
                       help)                                                  \
    {                                                                         \
        section, key, KIND_CHOICE, roles, FIELD_OFFSET(field), default_value, \
            0, 0, choices, help                                               \
    }

static const Setting settings_table[] = {
    CHOICE_SETTING("process", "role", ROLES_ALL, role, NULL,
                   "entry agent gateway keeper", "What this process is."),
    TEXT_SETTING("process", "name", KIND_NAME, ROLES_ALL, name, NULL,
                 "Name of the instance, as in the instance list."),
    TEXT_SETTING("process", "datacentre", KIND_NAME, ROLES_ALL, datacentre,
                 NULL, "Data centre in which the instance stands."),
    CHOICE_SETTING("process", "log_level", ROLES_ALL, log_level, "info",
                   "error warn info debug", "Lowest level that is logged."),
    NUMBER_SETTING("process", "events", ROLES_ALL, event_capacity, "8192", 16,
                   1048576, "Events kept for the time line."),
    NUMBER_SETTING("process", "drain_ms", ROLES_V1, drain_timeout_ms, "600000",
                   0, DAY_MS,
                   "Longest time a planned stop waits for running requests."),
    TEXT_SETTING("listen", "callers", KIND_ADDRESS,
                 ROLES_ENTRY | ROLES_GATEWAY, callers_address, NULL,
                 "Address for callers (HTTP)."),
    TEXT_SETTING("listen", "links", KIND_ADDRESS, ROLES_AGENT | ROLES_KEEPER,
                 links_address, NULL,
                 "Address for connections from entries or gateways."),
    TEXT_SETTING("listen", "admin", KIND_ADDRESS, ROLES_ALL, admin_address,
                 NULL, "Address for metrics, health and events (HTTP)."),
    TEXT_SETTING("platform", "objects", KIND_ADDRESS, ROLES_ALL,
                 object_api_address, NULL, "Address of the object API."),
    TEXT_SETTING("platform", "instances", KIND_ADDRESS, ROLES_ENTRY,
                 instances_address, NULL, "Address of the instance list."),
    NUMBER_SETTING("platform", "object_timeout_ms", ROLES_ALL,
                   object_timeout_ms, "2000", 10, 60000,
                   "Wait for an answer of the object API."),
    NUMBER_SETTING("platform", "watch_ms", ROLES_ALL, watch_timeout_ms,
                   "10000", 100, 600000, "Longest wait of one watch."),
    DECIMAL_SETTING("platform", "leave_ms", ROLES_GATEWAY,
                    server_leave_timeout_ms, "3000", 100, 60000,
                    "A leaving server gets no new request after this time."),
    DECIMAL_SETTING("platform", "config_ms", ROLES_GATEWAY, config_timeout_ms,
                    "3000", 100, 60000,
                    "A new configuration is in force after this time."),
    DECIMAL_SETTING("platform", "version_ms", ROLES_GATEWAY,
                    version_timeout_ms, "5000", 100, 60000,
                    "An announced version is required after this time."),
    DECIMAL_SETTING("customers", "revoke_ms", ROLES_GATEWAY,
                    revoke_timeout_ms, "0", 0, 60000,
                    "A customer's key that was taken away runs no request "
                    "that comes so long after, even when the store is out of "
                    "reach: requests with keys are refused when the "
                    "configuration was not certain within this time; 0: no "
                    "such promise."),
    NUMBER_SETTING("platform", "instances_poll_ms", ROLES_ENTRY,
                   instances_poll_interval_ms, "2000", 50, 60000,
                   "Interval of asking for the instance list."),
    NUMBER_SETTING("lease", "ttl_ms", ROLES_V1, lease_ttl_ms, "30000", 1000,
                   600000, "Life of a lease without renewal."),
    NUMBER_SETTING("lease", "renew_ms", ROLES_V1, lease_renew_interval_ms,
                   "10000", 100, 300000,
                   "Interval of renewal; at most a third of ttl_ms."),
    NUMBER_SETTING("lease", "confirm_spread_ms", ROLES_V1,
                   confirm_delay_max_ms, "6000", 0, 14000,
                   "A new generation is confirmed within this time."),
    CHOICE_SETTING("route", "policy", ROLES_ENTRY, route_policy, "kcc",
                   "kcc random least_loaded hash bounded_hash",
                   "How a backend server is chosen."),
    NUMBER_SETTING("route", "attempts_max", ROLES_ENTRY, attempts_max, "4", 1,
                   KC_ATTEMPTS_MAX, "Attempts for one request."),
    NUMBER_SETTING("route", "remote_cost_ms", ROLES_ENTRY, remote_cost_ms,
                   "60", 0, 60000,
                   "Cost added for a backend server in another region."),
    NUMBER_SETTING(
        "route", "retry_percent", ROLES_ENTRY, retry_percent, "20", 0, 100,
        "Retries of requests that may have run, in percent of requests."),
    NUMBER_SETTING("limits", "requests_max", ROLES_ENTRY, requests_max,
                   "20000", 1, 1000000, "Requests in progress at once."),
    NUMBER_SETTING("limits", "connections_max", ROLES_ENTRY | ROLES_GATEWAY,
                   connections_max, "0", 0, 1000000,
                   "Callers' connections at once; 0: as many as the "
                   "descriptors allow."),
    NUMBER_SETTING("limits", "descriptors_max", ROLES_ENTRY | ROLES_GATEWAY,
                   descriptors_max, "0", 0, 10000000,
                   "Descriptors that the process may open; 0: its own limit, "
                   "RLIMIT_NOFILE, which is never exceeded."),
    DECIMAL_SETTING("limits", "memory_mb", ROLES_GATEWAY, memory_megabytes,
                    "0", 0, 1000000,
                    "Memory that the process may use, of which callers' "
                    "requests may take 75%; 0: unknown, requests may take 192 "
                    "MB, and at most 75% of the machine's memory."),
    NUMBER_SETTING("limits", "header_max", ROLES_ENTRY, header_bytes_max,
                   "16384", 256, 1048576,
                   "Bytes of all headers of a request."),
    NUMBER_SETTING("limits", "body_max", ROLES_ENTRY, body_bytes_max,
                   "1048576", 1024, 3145728,
                   "Bytes of the body of a request."),
    NUMBER_SETTING(
        "limits", "window", ROLES_V1, window_bytes, "65536", 4096, 16777216,
        "Bytes of an answer that may be sent but not yet acknowledged."),
    NUMBER_SETTING("timeouts", "read_ms", ROLES_ENTRY, read_timeout_ms,
                   "30000", 10, DAY_MS,
                   "Wait for a caller to send its request."),
    NUMBER_SETTING("timeouts", "write_ms", ROLES_ENTRY, write_timeout_ms,
                   "60000", 10, DAY_MS,
                   "Wait for a caller to take any of its answer."),
    NUMBER_SETTING("timeouts", "reply_ms", ROLES_ENTRY, reply_timeout_ms,
                   "1000", 10, 60000,
                   "Wait for an agent's reply to a proposal."),
    NUMBER_SETTING("timeouts", "resume_ms", ROLES_ENTRY, resume_timeout_ms,
                   "3000", 10, 600000,
                   "Time within which a lost connection must be restored."),
    NUMBER_SETTING("timeouts", "connect_ms", ROLES_ENTRY, connect_timeout_ms,
                   "1000", 10, 60000, "Wait for a connection to an agent."),
    NUMBER_SETTING("timeouts", "link_idle_ms", ROLES_ENTRY,
                   link_idle_timeout_ms, "60000", 100, DAY_MS,
                   "Idle connections to agents are closed after this."),
    TEXT_SETTING("backend", "address", KIND_ADDRESS,
                 ROLES_AGENT | ROLES_KEEPER, backend_address, NULL,
                 "Address of the backend server."),
    TEXT_SETTING("backend", "service", KIND_NAME, ROLES_AGENT | ROLES_KEEPER,
                 service_name, NULL, "Service of the backend server."),
    TEXT_SETTING("backend", "fencing", KIND_BOOL, ROLES_AGENT,
                 engine_checks_fence, "yes",
                 "Whether the engine refuses old fencing numbers."),
    CHOICE_SETTING("backend", "victim", ROLES_AGENT, victim_policy, "kcc",
                   "kcc lru lfu gdsf", "How the adapter to evict is chosen."),
    NUMBER_SETTING("backend", "store_share", ROLES_AGENT, agents_per_store,
                   "1", 1, 100000,
                   "Agents that share the weight store's rate."),
    NUMBER_SETTING("backend", "inspect_ms", ROLES_AGENT, inspect_interval_ms,
                   "1000", 20, 60000,
                   "Interval of asking the engine for its adapters."),
    NUMBER_SETTING("backend", "order_timeout_ms", ROLES_AGENT,
                   order_timeout_ms, "30000", 100, 600000,
                   "Wait for an order to be carried out."),
    NUMBER_SETTING("backend", "silence_timeout_ms", ROLES_AGENT,
                   backend_silence_timeout_ms, "60000", 100, DAY_MS,
                   "Wait for the next piece of an answer."),
    NUMBER_SETTING("backend", "answer_timeout_ms", ROLES_AGENT,
                   backend_answer_timeout_ms, "3600000", 100, DAY_MS,
                   "Longest time of a whole answer."),
    NUMBER_SETTING("backend", "detach_ms", ROLES_AGENT, detach_timeout_ms,
                   "5000", 10, 600000,
                   "Work is kept this long after its connection was lost."),
    NUMBER_SETTING("backend", "retain_ms", ROLES_AGENT, retain_timeout_ms,
                   "60000", 10, DAY_MS,
                   "The record of an ended call is kept this long."),
    TEXT_SETTING("listen", "ready", KIND_ADDRESS, ROLES_GATEWAY, ready_address,
                 NULL,
                 "Address for readiness checks of the load balancer (HTTP)."),
    TEXT_SETTING("listen", "ready_path", KIND_PATH, ROLES_PLATFORM, ready_path,
                 "/readyz", "Path of the load balancer's readiness checks."),
    DECIMAL_SETTING("process", "grace_s", ROLES_PLATFORM, grace_period_s, "8",
                    0, 86400,
                    "Longest duration of a planned stop, in seconds."),
    DECIMAL_SETTING("retry", "share", ROLES_GATEWAY, retry_fraction, "0.2", 0,
                    1, "Retries allowed, as a fraction of the requests."),
    DECIMAL_SETTING("retry", "burst", ROLES_GATEWAY, retry_burst, "10", 0,
                    1000000, "Additional retries, shared by all gateways."),
    NUMBER_SETTING("keeper", "port", ROLES_GATEWAY, keeper_port, NULL, 1,
                   65535,
                   "Port of the keepers, on the address of their engines."),
    NUMBER_SETTING(
        "timeouts", "silence_ms", ROLES_PLATFORM,
        connection_silence_timeout_ms, "3000", 1000, 60000,
        "A connection whose peer stops responding is closed after this."),
    NUMBER_SETTING("parts", "ends_to_block", ROLES_PLATFORM,
                   part_ends_to_block, "3", 1, KC_SUSPECT_ENDS_MAX,
                   "Ends of backend servers that block a part of prompts."),
    NUMBER_SETTING(
        "parts", "answers_min", ROLES_PLATFORM, part_answers_min, "2", 0, 1000,
        "Answers to other prompts that must be seen since the first "
        "end."),
    NUMBER_SETTING("parts", "evidence_s", ROLES_PLATFORM,
                   part_evidence_timeout_s, "600", 1, 86400,
                   "An end counts as evidence for this long, in seconds."),
    NUMBER_SETTING(
        "parts", "trial_s", ROLES_PLATFORM, part_trial_delay_s, "60", 1, 86400,
        "A blocked part is tried after this, in seconds; the second "
        "and third trial wait 5 and 25 times as long."),
    DECIMAL_SETTING("slow_answers", "extra_percent", ROLES_GATEWAY,
                    extra_percent, "0", 0, 20,
                    "Second attempts against slow answers, in percent of a "
                    "service's requests and of their tokens; 0: none."),
    NUMBER_SETTING("parts", "remembered_max", ROLES_PLATFORM, parts_max,
                   "10000", 16, 1000000,
                   "Parts of prompts that are remembered for each service."),
    DECIMAL_SETTING("customers", "quota_window_s", ROLES_GATEWAY,
                    quota_window_s, "8", 1, 3600,
                    "Quotas are kept in any span of this length, in seconds."),
    DECIMAL_SETTING("customers", "quota_excess", ROLES_GATEWAY, quota_excess,
                    "0.1", 0, 10,
                    "More than its quota that a customer may use in such a "
                    "span, as a fraction."),
    DECIMAL_SETTING("customers", "quota_slack", ROLES_GATEWAY, quota_slack,
                    "0", 0, 1000000000,
                    "More beside that, in units of the quota."),
};

/* Section with lines DATACENTRE = REGION. */
#define REGIONS_SECTION "regions"

#define SETTING_COUNT (sizeof(settings_table) / sizeof(settings_table[0]))

static const char *const role_names[KC_ROLE_COUNT] = {"entry", "agent",
                                                      "gateway", "keeper"};

/* State while a file is read. */
typedef struct SettingsReader {
    KcSettings *settings;
    const char *file;
    int line_numbers[SETTING_COUNT]; /* of each setting; 0: not given */
} SettingsReader;

static void *
get_field(const Setting *setting, KcSettings *settings)
{
    return (char *)settings + setting->offset;
}

static bool
is_choice(const Setting *setting, const char *value)
{
    size_t length = strlen(value);
    const char *match = setting->choices;

    if (strchr(value, ' ') != NULL) {
        return false; /* two choices in a row */
    }
    while (length > 0 && (match = strstr(match, value)) != NULL) {
        bool starts_word = match == setting->choices || match[-1] == ' ';
        bool ends_word = match[length] == '\0' || match[length] == ' ';

        if (starts_word && ends_word) {
            return true;
        }
        match += length;
    }
    return false;
}

static int
parse_choice(const Setting *setting, KcSettings *settings, const char *value)
{
    if (!is_choice(setting, value)) {
        return KC_ERR_INVALID;
    }
    if (setting->offset == FIELD_OFFSET(role)) {
        settings->role = 0;
        while (strcmp(value, role_names[settings->role]) != 0) {
            settings->role++;
        }
        return 0;
    }
    KcText_Copy(get_field(setting, settings), value, KC_NAME_MAX);
    return 0;
}

static int
parse_decimal(const Setting *setting, KcSettings *settings, const char *value)
{
    char *end;
    double number = strtod(value, &end);

    if (end == value || *end != '\0' || !isfinite(number) ||
        number < (double)setting->minimum ||
        number > (double)setting->maximum) {
        return KC_ERR_INVALID;
    }
    *(double *)get_field(setting, settings) = number;
    return 0;
}

/* Stores a value in its field. Returns 0 or a negative error number. */
static int
parse_value(const Setting *setting, KcSettings *settings, const char *value)
{
    char host[KC_ADDRESS_MAX];
    uint16_t port;
    int code;

    switch (setting->kind) {
    case KIND_NUMBER:
        return KcIni_ParseNumber(value, setting->minimum, setting->maximum,
                                 get_field(setting, settings));
    case KIND_DECIMAL:
        return parse_decimal(setting, settings, value);
    case KIND_PATH:
        if (value[0] != '/' || strlen(value) >= KC_NAME_MAX) {
            return KC_ERR_INVALID;
        }
        KcText_Copy(get_field(setting, settings), value, KC_NAME_MAX);
        return 0;
    case KIND_BOOL:
        return KcIni_ParseBool(value, get_field(setting, settings));
    case KIND_NAME:
        code = KcName_Check(value);
        if (code == 0) {
            KcText_Copy(get_field(setting, settings), value, KC_NAME_MAX);
        }
        return code;
    case KIND_ADDRESS:
        code = KcAddress_Parse(value, host, &port);
        if (code == 0) {
            KcText_Copy(get_field(setting, settings), value, KC_ADDRESS_MAX);
        }
        return code;
    case KIND_CHOICE:
        return parse_choice(setting, settings, value);
    }
    return KC_ERR_INVALID;
}

static void
describe_expected_value(const Setting *setting, char *text, size_t size)
{
    switch (setting->kind) {
    case KIND_NUMBER:
        snprintf(text, size,
                 "expected a whole number from %" PRId64 " to %" PRId64,
                 setting->minimum, setting->maximum);
        break;
    case KIND_DECIMAL:
        snprintf(text, size, "expected a number from %" PRId64 " to %" PRId64,
                 setting->minimum, setting->maximum);
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

/* Adds a line of section [regions]. */
static void
add_region(SettingsReader *reader, const KcIniItem *item, const char *key,
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
on_ini_item(void *context, const KcIniItem *item, KcProblemList *problems)
{
    SettingsReader *reader = context;
    char key[KC_NAME_MAX * 2];
    char text[160];

    snprintf(key, sizeof(key), "[%.60s] %.60s", item->section, item->key);
    if (strcmp(item->section, REGIONS_SECTION) == 0) {
        add_region(reader, item, key, problems);
        return;
    }
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const Setting *setting = &settings_table[i];

        if (strcmp(setting->section, item->section) != 0 ||
            strcmp(setting->key, item->key) != 0) {
            continue;
        }
        reader->line_numbers[i] = item->line;
        if (parse_value(setting, reader->settings, item->value) != 0) {
            describe_expected_value(setting, text, sizeof(text));
            KcProblemList_Add(problems, item->file, item->line, key, "%s",
                              text);
        }
        return;
    }
    KcProblemList_Add(problems, item->file, item->line, key, "unknown key");
}

/* Reports required settings that are missing and settings of other roles. */
static void
check_presence(const SettingsReader *reader, KcProblemList *problems)
{
    int role = 1 << reader->settings->role;
    char key[KC_NAME_MAX * 2];

    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const Setting *setting = &settings_table[i];

        snprintf(key, sizeof(key), "[%s] %s", setting->section, setting->key);
        if ((setting->roles & role) == 0 && reader->line_numbers[i] != 0) {
            KcProblemList_Add(problems, reader->file, reader->line_numbers[i],
                              key, "does not apply to role %s",
                              role_names[reader->settings->role]);
        }
        if ((setting->roles & role) != 0 && setting->default_value == NULL &&
            reader->line_numbers[i] == 0) {
            KcProblemList_Add(problems, reader->file, 0, key, "must be given");
        }
    }
}

/* Checks rules that concern more than one setting. */
static void
check_combination(const SettingsReader *reader, KcProblemList *problems)
{
    const KcSettings *settings = reader->settings;

    if (settings->lease_renew_interval_ms * 3 > settings->lease_ttl_ms) {
        KcProblemList_Add(problems, reader->file, 0, "[lease] renew_ms",
                          "must be at most a third of ttl_ms");
    }
    if (settings->role == KC_ROLE_ENTRY && settings->connections_max > 0 &&
        settings->requests_max > settings->connections_max) {
        KcProblemList_Add(problems, reader->file, 0, "[limits] requests_max",
                          "must not exceed connections_max");
    }
    if (settings->descriptors_max > 0 &&
        settings->connections_max >
            KcDescriptors_ConnectionsMax(settings->descriptors_max)) {
        KcProblemList_Add(
            problems, reader->file, 0, "[limits] connections_max",
            "must not exceed %" PRId64 ", which descriptors_max allows",
            KcDescriptors_ConnectionsMax(settings->descriptors_max));
    }
}

int
KcSettings_Parse(const char *file, const char *text, size_t size,
                 KcSettings *settings, KcProblemList *problems)
{
    SettingsReader reader = {.settings = settings, .file = file};
    KcProblem *last_problem = TAILQ_LAST(problems, KcProblemList);

    memset(settings, 0, sizeof(*settings));
    TAILQ_INIT(&settings->regions);
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        if (settings_table[i].default_value != NULL) {
            parse_value(&settings_table[i], settings,
                        settings_table[i].default_value);
        }
    }
    KcIni_Read(file, text, size, on_ini_item, &reader, problems);
    check_presence(&reader, problems);
    check_combination(&reader, problems);
    return TAILQ_LAST(problems, KcProblemList) == last_problem
               ? 0
               : KC_ERR_INVALID;
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
KcSettings_FindRegion(const KcSettings *settings, const char *datacentre)
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
    size_t read_bytes;

    if (file == NULL) {
        return NULL;
    }
    do {
        capacity += 65536;
        text = KcMem_Realloc(text, capacity + 1);
        read_bytes = fread(text + used, 1, capacity - used, file);
        used += read_bytes;
    } while (read_bytes > 0 && used == capacity);
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

/* Returns the role names, separated by spaces, in text or a static string. */
static const char *
format_roles(const Setting *setting, char *text, size_t size)
{
    size_t used = 0;

    if (setting->roles == ROLES_ALL) {
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

        describe_expected_value(setting, text, sizeof(text));
        fprintf(out, "| %s | %s | %s | %s | %s | %s |\n", setting->section,
                setting->key, format_roles(setting, roles, sizeof(roles)),
                setting->default_value != NULL ? setting->default_value
                                               : "(required)",
                text + strlen("expected "), setting->help);
    }
    fprintf(out, "| " REGIONS_SECTION
                 " | (data centre) | gateway keeper | (none) | a name "
                 "| Region of the data centre; one line for each. |\n");
}

void
KcProblemList_Print(FILE *out, const KcProblemList *problems)
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
