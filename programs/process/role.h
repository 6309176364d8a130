/*
 * The roles of a process, and what they have alike.
 */
#ifndef KCC_ROLE_H
#define KCC_ROLE_H

#include "../connection/tcp.h"
#include "admin_http.h"
#include "loop.h"
#include "settings.h"

/* What a planned stop needs to know of a role. */
typedef struct KcRoleOps {
    void (*drain)(void *role);
    bool (*drained)(void *role);
    /* The settings file has changed and is valid; NULL: it is not read
     * again while the process runs. */
    void (*reload)(void *role, const KcSettings *settings);
} KcRoleOps;

/* Parts that all roles have. */
typedef struct KcParts {
    KcLoop *loop;
    const KcSettings *settings;
    KcCounters counters;
    KcEvents *events;
    struct KcObjects *objects;
    struct KcAdmin *admin;
    const KcRoleOps *ops;
    void *role;
    struct event *signals[2];
    struct event *reload; /* SIGHUP; NULL where the role cannot reload */
    KcTimer reload_timer; /* looks at the time stamp of the settings */
    time_t settings_time;
    KcTimer drain_timer;
    KcTime drain_time; /* a planned stop ends after it */
    KcTime drain_until;
    bool draining;
} KcParts;

/*
 * Runs the process until it has been stopped and drained.  Returns the exit
 * status: 0 after a clean stop.
 */
int KcEntryRole_Run(const KcSettings *settings);
int KcAgentRole_Run(const KcSettings *settings);
int KcGatewayRole_Run(const KcSettings *settings);
int KcKeeperRole_Run(const KcSettings *settings);

/* Sets up loop, events and object API.  Returns 0 or KC_ERR_INVALID. */
int KcParts_Init(KcParts *parts, const KcSettings *settings);
void KcParts_Clear(KcParts *parts);

/* Opens the administrators' address.  Returns 0 or KC_ERR_INVALID, logged. */
int KcParts_OpenAdmin(KcParts *parts, const KcAdminOps *ops, void *role);

/*
 * Listens for the connections of entries or gateways.  Returns NULL when the
 * address cannot be bound, logged.
 */
KcTcpListener *
KcParts_ListenLinks(KcParts *parts, const KcTcpOps *ops, void *role,
                    void (*accepted)(void *context, KcLink *link));

/* Sets what the roles of /v1 give the library; the rest keeps its defaults. */
void KcParts_FillMember(KcParts *parts, KcMemberOptions *member);

/* Handles SIGTERM and SIGINT by a planned stop of the role. */
void KcParts_HandleSignals(KcParts *parts, const KcRoleOps *ops, void *role);

/* Begins a planned stop; asking twice changes nothing. */
void KcParts_Drain(KcParts *parts);

#endif
