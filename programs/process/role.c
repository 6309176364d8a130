/*
 * Parts that all roles have, and the planned stop.
 */
#include "role.h"

#include <event2/event.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "log.h"
#include "objects_http.h"

/* While draining, completion is looked for this often. */
#define DRAIN_INTERVAL (50 * KC_MS)
/* The settings file is looked at this often: it may change unannounced. */
#define RELOAD_INTERVAL (2 * KC_SECOND)

int
KcParts_Init(KcParts *parts, const KcSettings *settings)
{
    KcObjectsOptions objects;

    memset(parts, 0, sizeof(*parts));
    parts->settings = settings;
    parts->drain_time = settings->drain_ms * KC_MS;
    parts->loop = KcLoop_Create();
    if (parts->loop == NULL) {
        return KC_ERR_INVALID;
    }
    parts->loop->after_round = KcLog_Flush;
    parts->events =
        KcEvents_Create((size_t)settings->events, parts->loop->wall_offset);
    objects =
        (KcObjectsOptions){.loop = parts->loop,
                           .address = settings->objects,
                           .timeout = settings->object_timeout_ms * KC_MS,
                           .watch = settings->watch_ms * KC_MS,
                           .counters = &parts->counters};
    parts->objects = KcObjects_Create(&objects);
    return 0;
}

static KcTime
loop_clock(void *context)
{
    (void)context;
    return KcLoop_Now();
}

void
KcParts_FillMember(KcParts *parts, KcMemberOptions *member)
{
    const KcSettings *settings = parts->settings;

    member->name = settings->name;
    member->datacentre = settings->datacentre;
    member->admin_address = settings->admin;
    member->incarnation = KcLoop_Random();
    member->object_ops = &KcObjects_Http;
    member->objects = parts->objects;
    member->timers = parts->loop->timers;
    member->events = parts->events;
    member->counters = &parts->counters;
    member->clock = loop_clock;
    member->wall_offset = parts->loop->wall_offset;
    member->lease_ttl = settings->lease_ttl_ms * KC_MS;
    member->lease_renew_interval = settings->lease_renew_ms * KC_MS;
    member->confirm_delay_max = settings->confirm_spread_ms * KC_MS;
}

int
KcParts_OpenAdmin(KcParts *parts, const KcAdminOps *ops, void *role)
{
    KcAdminOptions options = {.loop = parts->loop,
                              .settings = parts->settings,
                              .address = parts->settings->admin,
                              .counters = &parts->counters,
                              .events = parts->events,
                              .ops = ops,
                              .context = role};
    KcLogFields fields = {.step = "listen", .code = KC_ERR_INVALID};

    parts->admin = KcAdmin_Create(&options);
    if (parts->admin == NULL) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "cannot listen on [listen] admin = %s",
                    parts->settings->admin);
        return KC_ERR_INVALID;
    }
    return 0;
}

KcTcpListener *
KcParts_ListenLinks(KcParts *parts, const KcTcpOps *ops, void *role,
                    void (*accepted)(void *context, KcLink *link))
{
    KcTcpOptions options = {.loop = parts->loop,
                            .counters = &parts->counters,
                            .ops = ops,
                            .context = role};
    KcLogFields fields = {.step = "listen", .code = KC_ERR_INVALID};
    KcTcpListener *listener =
        KcTcpListener_Create(&options, parts->settings->links, accepted);

    if (listener == NULL) {
        KcLog_Write(KC_LOG_ERROR, &fields,
                    "cannot listen on [listen] links = %s: is another %s in "
                    "this slot?",
                    parts->settings->links,
                    KcSettings_RoleName(parts->settings));
    }
    return listener;
}

void
KcParts_Clear(KcParts *parts)
{
    KcTimers_Clear(parts->loop->timers, &parts->drain_timer);
    KcTimers_Clear(parts->loop->timers, &parts->reload_timer);
    if (parts->reload != NULL) {
        event_free(parts->reload);
    }
    if (parts->admin != NULL) {
        KcAdmin_Free(parts->admin);
    }
    for (int i = 0; i < 2; i++) {
        if (parts->signals[i] != NULL) {
            event_free(parts->signals[i]);
        }
    }
    KcObjects_Free(parts->objects);
    KcEvents_Free(parts->events);
    KcLoop_Free(parts->loop);
}

static void
check_drained(KcTimer *timer, KcTime now)
{
    KcParts *parts = timer->owner;

    if (parts->ops->drained(parts->role)) {
        KcLog_Write(KC_LOG_INFO, NULL, "drained; stopping");
        KcLoop_Stop(parts->loop);
    }
    else if (now >= parts->drain_until) {
        KcLog_Write(KC_LOG_WARN, NULL,
                    "stopping with requests in progress: drain_ms is over");
        KcLoop_Stop(parts->loop);
    }
    else {
        KcTimers_Set(parts->loop->timers, timer, now + DRAIN_INTERVAL);
    }
}

void
KcParts_Drain(KcParts *parts)
{
    KcTime now = KcLoop_Now();

    if (parts->draining) {
        return;
    }
    parts->draining = true;
    parts->drain_until = now + parts->drain_time;
    KcLog_Write(KC_LOG_INFO, NULL, "planned stop begins");
    parts->ops->drain(parts->role);
    KcTimers_Set(parts->loop->timers, &parts->drain_timer,
                 now + DRAIN_INTERVAL);
}

static void
on_signal(evutil_socket_t number, short what, void *context)
{
    (void)number;
    (void)what;
    KcParts_Drain(context);
}

/* ---- changed settings ---------------------------------------------------- */

static time_t
time_stamp(const char *path)
{
    struct stat status;

    return stat(path, &status) == 0 ? status.st_mtime : 0;
}

static void
reload(KcParts *parts)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcSettings changed;
    KcProblem *problem;

    parts->settings_time = time_stamp(parts->settings->path);
    if (KcSettings_Read(parts->settings->path, &changed, &problems) == 0) {
        KcLog_Write(KC_LOG_INFO, NULL, "settings read again");
        parts->ops->reload(parts->role, &changed);
    }
    TAILQ_FOREACH (problem, &problems, link) {
        KcLog_Write(KC_LOG_ERROR, NULL,
                    "settings kept as they were: line %d %s %s", problem->line,
                    problem->key, problem->message);
    }
    KcProblemList_Clear(&problems);
    KcSettings_Clear(&changed);
}

static void
on_reload_signal(evutil_socket_t number, short what, void *context)
{
    (void)number;
    (void)what;
    reload(context);
}

static void
on_reload_timer(KcTimer *timer, KcTime now)
{
    KcParts *parts = timer->owner;

    if (time_stamp(parts->settings->path) != parts->settings_time) {
        reload(parts);
    }
    KcTimers_Set(parts->loop->timers, timer, now + RELOAD_INTERVAL);
}

static void
handle_reload(KcParts *parts)
{
    KcTimer_Init(&parts->reload_timer, on_reload_timer, parts);
    if (parts->ops->reload == NULL) {
        return;
    }
    parts->settings_time = time_stamp(parts->settings->path);
    parts->reload =
        evsignal_new(parts->loop->base, SIGHUP, on_reload_signal, parts);
    evsignal_add(parts->reload, NULL);
    KcTimers_Set(parts->loop->timers, &parts->reload_timer,
                 KcLoop_Now() + RELOAD_INTERVAL);
}

void
KcParts_HandleSignals(KcParts *parts, const KcRoleOps *ops, void *role)
{
    static const int numbers[2] = {SIGTERM, SIGINT};

    parts->ops = ops;
    parts->role = role;
    KcTimer_Init(&parts->drain_timer, check_drained, parts);
    signal(SIGPIPE, SIG_IGN);
    handle_reload(parts);
    for (int i = 0; i < 2; i++) {
        parts->signals[i] =
            evsignal_new(parts->loop->base, numbers[i], on_signal, parts);
        evsignal_add(parts->signals[i], NULL);
    }
}
