/*
 * The roles in which kccd runs, and what all of them share: loop, object API
 * client, administrators' server, settings reload and planned stop.
 */
#ifndef KCC_ROLE_H
#define KCC_ROLE_H

#include "../connection/tcp.h"
#include "admin_http.h"
#include "loop.h"
#include "platform.h"
#include "settings.h"

/* Functions of a role for a planned stop and for changed settings. */
typedef struct KcRoleOps {
    /* Starts a planned stop; called once. */
    void (*begin_drain)(void *role);
    /* Whether the process may end; asked again after end_intake. */
    bool (*is_drained)(void *role);
    /*
     * Takes nothing more that would have to be answered, and answers what is
     * in progress, as the process ends. Called again at the very end if the
     * role is not drained by then. NULL: there is nothing of that kind.
     */
    void (*end_intake)(void *role);
    /*
     * Applies the valid settings of a changed file; they are freed after the
     * call. NULL: the file is read only at the start.
     */
    void (*apply_settings)(void *role, const KcSettings *settings);
} KcRoleOps;

/* State that every role has. */
typedef struct KcRoleCommon {
    KcLoop *loop;
    const KcSettings *settings;
    KcCounters counters;
    KcEvents *events;
    struct KcObjectClient *object_client;
    struct KcAdminServer *admin_server;
    const KcRoleOps *ops;
    void *role; /* context of ops */
    struct event *stop_signals[2];
    struct event *reload_signal; /* SIGHUP; NULL without apply_settings */
    KcTimer reload_timer; /* checks the settings file's modification time */
    time_t settings_modified_at;
    KcTimer drain_timer;  /* checks whether the role is drained */
    KcTime drain_timeout; /* longest duration of a planned stop */
    KcTime drain_until;
    KcTime answer_time; /* least time between the end of the intake and that of
                           the process, unless the role is drained */
    bool draining;      /* a planned stop has begun */
    bool intake_ended;  /* the role was told so */
} KcRoleCommon;

/*
 * Run a process in this role until a planned stop is over. Return its exit
 * status: 0 after a clean stop, 1 when it could not start, and for an entry or
 * an agent also when requests were still in progress at the end.
 */
int KcEntryRole_Run(const KcSettings *settings);
int KcAgentRole_Run(const KcSettings *settings);
int KcGatewayRole_Run(const KcSettings *settings);
int KcKeeperRole_Run(const KcSettings *settings);

/*
 * Creates the loop, the events and the object API client, and handles signals.
 * The role opens its addresses after it. settings must outlive common, role is
 * the context of ops. Returns 0, or KC_ERR_INVALID when the loop cannot be
 * created.
 */
int KcRoleCommon_Init(KcRoleCommon *common, const KcSettings *settings,
                      const KcRoleOps *ops, void *role);
void KcRoleCommon_Clear(KcRoleCommon *common);

/*
 * Opens the administrators' address, with role as the context of ops. Returns
 * 0, or KC_ERR_INVALID after logging an error.
 */
int KcRoleCommon_OpenAdmin(KcRoleCommon *common, const KcAdminServerOps *ops,
                           void *role);

/*
 * Listens for connections from entries or gateways, with role as the context
 * of ops and on_accepted. Returns a listener that the caller frees, or NULL
 * after logging an error when the address cannot be bound.
 */
KcTcpListener *
KcRoleCommon_ListenLinks(KcRoleCommon *common, const KcTcpOps *ops, void *role,
                         void (*on_accepted)(void *context, KcLink *link));

/* Sets the member options that an entry and an agent take from common and its
 * settings, and a random incarnation; the others are left as they are. */
void KcRoleCommon_FillMemberOptions(KcRoleCommon *common,
                                    KcMemberOptions *member);

/*
 * Begins a planned stop on SIGTERM or SIGINT, in the loop; also for a signal
 * that comes before that runs. If the role has apply_settings, reads the
 * settings file again on SIGHUP and when it has changed. Called by
 * KcRoleCommon_Init().
 */
void KcRoleCommon_HandleSignals(KcRoleCommon *common, const KcRoleOps *ops,
                                void *role);

/* Begins a planned stop; no effect when one has begun. */
void KcRoleCommon_BeginDrain(KcRoleCommon *common);

/* Returns the options of a platform's store. */
KcStoreOptions KcRoleCommon_GetStoreOptions(KcRoleCommon *common);
/* Returns the options for parts of prompts that the settings give; the rest
 * has its defaults. */
KcSuspectOptions KcRoleCommon_GetSuspectOptions(const KcSettings *settings);

#endif
