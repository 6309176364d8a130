/*
 * Settings of one process: reads an INI file and checks it against a table,
 * from which the reference page is printed too.
 */
#ifndef KCC_SETTINGS_H
#define KCC_SETTINGS_H

#include <stdio.h>

#include <kcc.h>

typedef enum KcRole {
    KC_ROLE_ENTRY = 0, /* takes callers' requests */
    KC_ROLE_AGENT,     /* runs beside one backend server */
    KC_ROLE_GATEWAY,   /* forwards requests unchanged, by routes */
    KC_ROLE_KEEPER,    /* decides which adapters one engine holds */
    KC_ROLE_COUNT
} KcRole;

/* The region of one data centre: a line of section [regions]. */
typedef struct KcRegionSetting {
    TAILQ_ENTRY(KcRegionSetting) link;
    char datacentre[KC_NAME_MAX];
    char region[KC_NAME_MAX];
} KcRegionSetting;

TAILQ_HEAD(KcRegionSettingList, KcRegionSetting);

/*
 * Settings with the defaults filled in. The help texts in settings.c say what
 * each one means. Addresses are "address:port"; fields of another role hold
 * their default, or are empty.
 */
typedef struct KcSettings {
    char path[256]; /* of the settings file; set by KcSettings_Read() */
    int64_t role;   /* KcRole */
    char name[KC_NAME_MAX];
    char datacentre[KC_NAME_MAX];
    char log_level[KC_NAME_MAX];
    int64_t event_capacity; /* of the event ring */
    char callers_address[KC_ADDRESS_MAX];
    char links_address[KC_ADDRESS_MAX];
    char admin_address[KC_ADDRESS_MAX];
    char object_api_address[KC_ADDRESS_MAX];
    char instances_address[KC_ADDRESS_MAX];
    int64_t object_timeout_ms;
    int64_t watch_timeout_ms;
    double server_leave_timeout_ms;
    double config_timeout_ms;
    double version_timeout_ms;
    double revoke_timeout_ms; /* 0: no promise about keys taken away */
    int64_t instances_poll_interval_ms;
    int64_t lease_ttl_ms;
    int64_t lease_renew_interval_ms;
    int64_t confirm_delay_max_ms;
    int64_t drain_timeout_ms;
    /* entry */
    char route_policy[KC_NAME_MAX];
    int64_t attempts_max;
    int64_t requests_max;
    int64_t connections_max; /* 0: as many as the descriptors allow */
    int64_t descriptors_max; /* 0: RLIMIT_NOFILE */
    double memory_megabytes; /* 0: unknown */
    int64_t header_bytes_max;
    int64_t body_bytes_max;
    int64_t read_timeout_ms;
    int64_t write_timeout_ms;
    int64_t reply_timeout_ms;
    int64_t resume_timeout_ms;
    int64_t connect_timeout_ms;
    int64_t link_idle_timeout_ms;
    int64_t remote_cost_ms;
    int64_t retry_percent;
    int64_t window_bytes;
    /* agent */
    char backend_address[KC_ADDRESS_MAX];
    char service_name[KC_NAME_MAX];
    bool engine_checks_fence;
    char victim_policy[KC_NAME_MAX];
    int64_t agents_per_store;
    int64_t inspect_interval_ms;
    int64_t order_timeout_ms;
    int64_t backend_silence_timeout_ms;
    int64_t backend_answer_timeout_ms;
    int64_t detach_timeout_ms;
    int64_t retain_timeout_ms;
    /* gateway and keeper */
    char ready_address[KC_ADDRESS_MAX];
    char ready_path[KC_NAME_MAX];
    struct KcRegionSettingList regions;
    double grace_period_s; /* longest duration of a planned stop */
    double retry_fraction; /* retries allowed per request */
    double retry_burst;    /* additional retries, shared by all gateways */
    int64_t keeper_port;
    int64_t connection_silence_timeout_ms;
    double extra_percent;       /* second attempts against slow answers */
    int64_t part_ends_to_block; /* see KcSuspectOptions */
    int64_t part_answers_min;
    int64_t part_evidence_timeout_s;
    int64_t part_trial_delay_s;
    int64_t parts_max;
    double quota_window_s; /* see KcQuotaOptions */
    double quota_excess;
    double quota_slack;
} KcSettings;

/*
 * Reads and checks a settings file. Appends each mistake to problems, with
 * file, line and key. Returns 0, KC_ERR_NOT_FOUND when the file cannot be
 * read, or KC_ERR_INVALID. The caller calls KcSettings_Clear() in any case.
 */
int KcSettings_Read(const char *path, KcSettings *settings,
                    KcProblemList *problems);

/* Like KcSettings_Read(), but from text; file is the name in problems. */
int KcSettings_Parse(const char *file, const char *text, size_t size,
                     KcSettings *settings, KcProblemList *problems);

/* Returns "entry", "agent", "gateway" or "keeper". */
const char *KcSettings_RoleName(const KcSettings *settings);

/* Frees the regions; settings itself belongs to the caller. */
void KcSettings_Clear(KcSettings *settings);

/* Returns the region of a data centre, "" when the settings name none. */
const char *KcSettings_FindRegion(const KcSettings *settings,
                                  const char *datacentre);

/* Prints the reference of all settings as a Markdown table. */
void KcSettings_PrintReference(FILE *out);

/* Prints one line per problem: "file:line: [section] key: message". */
void KcProblemList_Print(FILE *out, const KcProblemList *problems);

/*
 * Reads a whole file into memory that the caller frees, terminated by a null
 * byte that *size does not count. Returns NULL when it cannot be read.
 */
char *KcFile_Read(const char *path, size_t *size);

#endif
