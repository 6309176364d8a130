/*
 * What all roles share: set-up, planned stop and settings reload.
 */
#include "role.h"

#include <event2/event.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "log.h"
#include "objects_http.h"

/* Interval at which a planned stop checks whether the role is drained. */
#define DRAIN_CHECK_INTERVAL (50 * KC_MS)
/* Interval of checks of the settings file, which may change without SIGHUP. */
#define SETTINGS_CHECK_INTERVAL (2 * KC_SECOND)

static KcTime
read_clock(void *context)
{
    (void)context;
    return KcLoop_Now();
}

void
KcRoleCommon_FillMemberOptions(KcRoleCommon *common, KcMemberOptions *member)
{
    const KcSettings *settings = common->settings;

    member->name = settings->name;
    member->datacentre = settings->datacentre;
    member->admin_address = settings->admin_address;
    member->incarnation = KcLoop_GetRandomBits();
    member->object_ops = &KcObjectClient_Ops;
    member->objects = common->object_client;
    member->timers = common->loop->timers;
    member->events = common->events;
    member->counters = &common->counters;
    member->clock = read_clock;
    member->wall_offset = common->loop->wall_offset;
    member->lease_ttl = settings->lease_ttl_ms * KC_MS;
    member->lease_renew_interval = settings->lease_renew_interval_ms * KC_MS;
    member->confirm_delay_max = settings->confirm_delay_max_ms * KC_MS;
}

int
KcRoleCommon_OpenAdmin(KcRoleCommon *common, const KcAdminServerOps *ops,
                       void *role)
{
    KcAdminServerOptions options = {.loop = common->loop,
                                    .settings = common->settings,
                                    .address = common->settings->admin_address,
                                    .counters = &common->counters,
                                    .events = common->events,
                                    .ops = ops,
                                    .context = role};
    KcLogFields fields = {.step = "listen", .code = KC_ERR_INVALID};

    common->admin_server = KcAdminServer_Create(&options);
    if (common->admin_server == NULL) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "cannot listen on [listen] admin = %s",
                    common->settings->admin_address);
        return KC_ERR_INVALID;
    }
    return 0;
}

KcTcpListener *
KcRoleCommon_ListenLinks(KcRoleCommon *common, const KcTcpOps *ops, void *role,
                         void (*on_accepted)(void *context, KcLink *link))
{
    KcTcpOptions options = {.loop = common->loop,
                            .counters = &common->counters,
                            .ops = ops,
                            .context = role};
    KcLogFields fields = {.step = "listen", .code = KC_ERR_INVALID};
    KcTcpListener *listener = KcTcpListener_Create(
        &options, common->settings->links_address, on_accepted);

    if (listener == NULL) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "cannot listen on [listen] links = %s: is another %s "
                    "running here?",
                    common->settings->links_address,
                    KcSettings_RoleName(common->settings));
    }
    return listener;
}

void
KcRoleCommon_Clear(KcRoleCommon *common)
{
    KcTimers_Clear(common->loop->timers, &common->drain_timer);
    KcTimers_Clear(common->loop->timers, &common->reload_timer);
    if (common->reload_signal != NULL) {
        event_free(common->reload_signal);
    }
    if (common->admin_server != NULL) {
        KcAdminServer_Free(common->admin_server);
    }
    for (int i = 0; i < 2; i++) {
        if (common->stop_signals[i] != NULL) {
            event_free(common->stop_signals[i]);
        }
    }
    KcObjectClient_Free(common->object_client);
    KcEvents_Free(common->events);
    KcLoop_Free(common->loop);
}

static void
end_intake(KcRoleCommon *common)
{
    common->intake_ended = true;
    if (common->ops->end_intake != NULL) {
        common->ops->end_intake(common->role);
    }
}

/* When the intake ends, also while requests are in progress. */
static KcTime
get_intake_end(const KcRoleCommon *common)
{
    return common->drain_until - common->answer_time;
}

static void
set_drain_timer(KcRoleCommon *common, KcTime now)
{
    KcTime check_at = now + DRAIN_CHECK_INTERVAL;
    KcTime end_at =
        common->intake_ended ? common->drain_until : get_intake_end(common);

    KcTimers_Set(common->loop->timers, &common->drain_timer,
                 check_at < end_at ? check_at : end_at);
}

/*
 * The end of the intake may bring what has to be answered, so the role is
 * asked again after it. The answers have their time also if the process is
 * late.
 */
static void
on_drain_timer(KcTimer *timer, KcTime now)
{
    KcRoleCommon *common = timer->owner;
    bool is_drained = common->ops->is_drained(common->role);

    if (!common->intake_ended &&
        (is_drained || now >= get_intake_end(common))) {
        end_intake(common);
        if (common->drain_until < now + common->answer_time) {
            common->drain_until = now + common->answer_time;
        }
        is_drained = common->ops->is_drained(common->role);
    }
    if (is_drained) {
        KcLog_Write(KC_LOG_INFO, NULL, "drained, stopping");
        KcLoop_Stop(common->loop);
    }
    else if (now >= common->drain_until) {
        KcLog_Write(KC_LOG_WARN, NULL,
                    "planned stop timed out, requests are still in progress");
        end_intake(common);        /* refuses what is still incomplete */
        KcLoop_Stop(common->loop); /* handles sockets that are ready */
    }
    else {
        set_drain_timer(common, now);
    }
}

void
KcRoleCommon_BeginDrain(KcRoleCommon *common)
{
    KcTime now = KcLoop_Now();

    if (common->draining) {
        return;
    }
    common->draining = true;
    common->drain_until = now + common->drain_timeout;
    KcLog_Write(KC_LOG_INFO, NULL, "planned stop begins");
    common->ops->begin_drain(common->role);
    set_drain_timer(common, now);
}

static void
on_stop_signal(evutil_socket_t signal_number, short what, void *context)
{
    (void)signal_number;
    (void)what;
    KcRoleCommon_BeginDrain(context);
}

/* ---- changed settings ---------------------------------------------------- */

static time_t
get_modification_time(const char *path)
{
    struct stat file_status;

    return stat(path, &file_status) == 0 ? file_status.st_mtime : 0;
}

static void
reload_settings(KcRoleCommon *common)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcSettings new_settings;
    KcProblem *problem;

    common->settings_modified_at =
        get_modification_time(common->settings->path);
    if (KcSettings_Read(common->settings->path, &new_settings, &problems) ==
        0) {
        KcLog_Write(KC_LOG_INFO, NULL, "settings reloaded");
        common->ops->apply_settings(common->role, &new_settings);
    }
    TAILQ_FOREACH (problem, &problems, link) {
        KcLog_Write(KC_LOG_ERROR, NULL,
                    "settings not reloaded: line %d, %s: %s", problem->line,
                    problem->key, problem->message);
    }
    KcProblemList_Clear(&problems);
    KcSettings_Clear(&new_settings);
}

static void
on_reload_signal(evutil_socket_t signal_number, short what, void *context)
{
    (void)signal_number;
    (void)what;
    reload_settings(context);
}

static void
on_reload_timer(KcTimer *timer, KcTime now)
{
    KcRoleCommon *common = timer->owner;

    if (get_modification_time(common->settings->path) !=
        common->settings_modified_at) {
        reload_settings(common);
    }
    KcTimers_Set(common->loop->timers, timer, now + SETTINGS_CHECK_INTERVAL);
}

static void
watch_settings(KcRoleCommon *common)
{
    KcTimer_Init(&common->reload_timer, on_reload_timer, common);
    if (common->ops->apply_settings == NULL) {
        return;
    }
    common->settings_modified_at =
        get_modification_time(common->settings->path);
    common->reload_signal =
        evsignal_new(common->loop->base, SIGHUP, on_reload_signal, common);
    evsignal_add(common->reload_signal, NULL);
    KcTimers_Set(common->loop->timers, &common->reload_timer,
                 KcLoop_Now() + SETTINGS_CHECK_INTERVAL);
}

void
KcRoleCommon_HandleSignals(KcRoleCommon *common, const KcRoleOps *ops,
                           void *role)
{
    static const int signal_numbers[2] = {SIGTERM, SIGINT};

    common->ops = ops;
    common->role = role;
    KcTimer_Init(&common->drain_timer, on_drain_timer, common);
    signal(SIGPIPE, SIG_IGN);
    watch_settings(common);
    for (int i = 0; i < 2; i++) {
        common->stop_signals[i] = evsignal_new(
            common->loop->base, signal_numbers[i], on_stop_signal, common);
        evsignal_add(common->stop_signals[i], NULL);
    }
}

/* ---- set-up -------------------------------------------------------------- */

int
KcRoleCommon_Init(KcRoleCommon *common, const KcSettings *settings,
                  const KcRoleOps *ops, void *role)
{
    KcObjectClientOptions options;

    memset(common, 0, sizeof(*common));
    common->settings = settings;
    common->drain_timeout = settings->drain_timeout_ms * KC_MS;
    common->loop = KcLoop_Create();
    if (common->loop == NULL) {
        return KC_ERR_INVALID;
    }
    common->loop->on_iteration_end = KcLog_Flush;
    KcRoleCommon_HandleSignals(common, ops, role);
    common->events = KcEvents_Create((size_t)settings->event_capacity,
                                     common->loop->wall_offset);
    options = (KcObjectClientOptions){
        .loop = common->loop,
        .address = settings->object_api_address,
        .call_timeout = settings->object_timeout_ms * KC_MS,
        .watch_timeout = settings->watch_timeout_ms * KC_MS,
        .counters = &common->counters};
    common->object_client = KcObjectClient_Create(&options);
    return 0;
}

KcStoreOptions
KcRoleCommon_GetStoreOptions(KcRoleCommon *common)
{
    const KcSettings *settings = common->settings;

    return (KcStoreOptions){.loop = common->loop,
                            .address = settings->object_api_address,
                            .call_timeout =
                                settings->object_timeout_ms * KC_MS,
                            .counters = &common->counters};
}

KcSuspectOptions
KcRoleCommon_GetSuspectOptions(const KcSettings *settings)
{
    KcSuspectOptions options;

    KcSuspectOptions_Init(&options);
    options.ends_to_block = (uint32_t)settings->part_ends_to_block;
    options.answers_min = (uint32_t)settings->part_answers_min;
    options.evidence_timeout = settings->part_evidence_timeout_s * KC_SECOND;
    options.trial_delay = settings->part_trial_delay_s * KC_SECOND;
    options.parts_max = (uint32_t)settings->parts_max;
    return options;
}
