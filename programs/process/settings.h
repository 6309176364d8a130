/*
 * The settings of one process: an INI file, checked as a whole against one
 * table that also prints the reference.
 */
#ifndef KCC_SETTINGS_H
#define KCC_SETTINGS_H

#include <stdio.h>

#include <kcc.h>

typedef enum KcRole {
    KC_ROLE_ENTRY = 0, /* takes callers' requests */
    KC_ROLE_AGENT,     /* stands beside one backend server */
    KC_ROLE_GATEWAY,   /* passes requests on unchanged, by routes */
    KC_ROLE_KEEPER,    /* keeps the adapters of one engine */
    KC_ROLE_COUNT
} KcRole;

/* The region of one data centre. */
typedef struct KcRegionSetting {
    TAILQ_ENTRY(KcRegionSetting) link;
    char datacentre[KC_NAME_MAX];
    char region[KC_NAME_MAX];
} KcRegionSetting;

TAILQ_HEAD(KcRegionSettingList, KcRegionSetting);

/* Settings with every default filled in.  Durations in milliseconds. */
typedef struct KcSettings {
    char path[256]; /* of the file that was read */
    int64_t role;   /* KcRole */
    char name[KC_NAME_MAX];
    char datacentre[KC_NAME_MAX];
    char log_level[KC_NAME_MAX];
    int64_t events;
    char callers_address[KC_ADDRESS_MAX];
    char links[KC_ADDRESS_MAX];
    char admin[KC_ADDRESS_MAX];
    char objects[KC_ADDRESS_MAX];
    char instances[KC_ADDRESS_MAX];
    int64_t object_timeout_ms;
    int64_t watch_ms;
    int64_t leave_ms;
    int64_t instances_poll_ms;
    int64_t lease_ttl_ms;
    int64_t lease_renew_ms;
    int64_t confirm_spread_ms;
    int64_t drain_ms;
    /* entry */
    char policy[KC_NAME_MAX];
    int64_t attempts_max;
    int64_t requests_max;
    int64_t connections_max;
    int64_t header_bytes_max;
    int64_t body_bytes_max;
    int64_t read_timeout_ms;
    int64_t write_timeout_ms;
    int64_t reply_timeout_ms;
    int64_t resume_timeout_ms;
    int64_t connect_timeout_ms;
    int64_t link_idle_ms;
    int64_t remote_cost_ms;
    int64_t retry_percent;
    int64_t window_bytes;
    /* agent */
    char backend_address[KC_ADDRESS_MAX];
    char service_name[KC_NAME_MAX];
    bool engine_checks_fence;
    char victim[KC_NAME_MAX];
    int64_t store_share;
    int64_t inspect_ms;
    int64_t order_timeout_ms;
    int64_t backend_silence_timeout_ms;
    int64_t detach_ms;
    int64_t retain_ms;
    /* gateway and keeper */
    char ready[KC_ADDRESS_MAX];
    char ready_path[KC_NAME_MAX];
    struct KcRegionSettingList regions;
    double grace_s;     /* a planned stop ends by then */
    double retry_share; /* sendings beyond the first, of requests */
    int64_t retry_burst;
    int64_t keeper_port;
    int64_t silence_ms;
} KcSettings;

/*
 * Reads and checks a settings file.  Every mistake is appended to problems
 * with file, line and key.  Returns 0, KC_ERR_NOT_FOUND when the file cannot
 * be read, or KC_ERR_INVALID.
 */
int KcSettings_Read(const char *path, KcSettings *settings,
                    KcProblemList *problems);

/* As KcSettings_Read(), from text. */
int KcSettings_Parse(const char *file, const char *text, size_t size,
                     KcSettings *settings, KcProblemList *problems);

/* "entry", "agent", "gateway" or "keeper". */
const char *KcSettings_RoleName(const KcSettings *settings);

/* Frees what settings hold. */
void KcSettings_Clear(KcSettings *settings);

/* The region of a data centre, "" when it is not known. */
const char *KcSettings_Region(const KcSettings *settings,
                              const char *datacentre);

/* Prints the reference of all settings as a table in Markdown. */
void KcSettings_PrintReference(FILE *out);

/* Prints problems, one per line: file:line: [section] key: text. */
void KcProblem_Print(FILE *out, const KcProblemList *problems);

/* Reads a whole file; the caller frees it.  NULL when it cannot be read. */
char *KcFile_Read(const char *path, size_t *size);

#endif
