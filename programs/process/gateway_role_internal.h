/*
 * State of a gateway process, and functions shared by its files.
 *
 * gateway_role.c starts and stops it and answers administrators,
 * gateway_links.c holds the connections to servers, gateway_starts.c reads
 * when they have started, gateway_keepers.c holds the connections to their
 * keepers, gateway_quotas.c shares the customers' quotas over them,
 * gateway_feeds.c reads the store and writes the gateway's own record.
 */
#ifndef KCC_GATEWAY_ROLE_INTERNAL_H
#define KCC_GATEWAY_ROLE_INTERNAL_H

#include "../connection/tcp.h"
#include "../request/http_call.h"
#include "../request/gateway_front_end.h"
#include "admin_http.h"
#include "gateway_stop.h"
#include "log.h"
#include "own_record.h"
#include "platform.h"
#include "role.h"

typedef struct GatewayRole {
    KcRoleCommon common;
    const KcPlatform *platform;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    KcAdminServer *readiness_server; /* health checks of the load balancer */
    KcStore *store;
    KcFeedGroup feed_group;
    KcFeed *feeds[KC_COLLECTION_COUNT];
    uint64_t named_generation;     /* highest that a keeper named */
    uint32_t listed_gateway_count; /* in the list being read */
    KcIntakePool intake_pool;      /* of replies that are not complete */
    KcIntakePool request_pool;     /* of callers' requests */
    KcTime started_at;
    KcTimer open_timer; /* set until callers' connections are accepted */
    KcTimer use_report_timer;
    KcTimer hub_timer;   /* connects to the hubs */
    KcTimer quota_timer; /* reports customers' use to a hub */
    KcTime quota_reviewed_at;
    uint64_t quota_hub;                  /* that answered last; 0: none */
    KcOwnRecord own_record;              /* of this gateway, in the store */
    TAILQ_HEAD(, StartRead) start_reads; /* unanswered */
    uint64_t incarnation;
    KcGatewayStop stop;             /* while a planned stop runs */
    KcTime store_status_changed_at; /* lost or regained; 0: never */
    KcTime revoke_timeout;          /* see KcGatewayOptions */
    bool is_certain; /* the configuration, when it was last asked for */
} GatewayRole;

/* A message that waits for the connection to the keeper. */
typedef struct PendingMessage {
    TAILQ_ENTRY(PendingMessage) link;
    KcMsg msg;
    char parts[KC_PROMPT_PARTS_MAX * KC_PART_BYTES]; /* of a LOST */
} PendingMessage;

/* Connections to one backend server and its keeper. */
typedef struct ServerConnections {
    GatewayRole *role;
    KcServer *server;
    KcHttpConnectionPool *http_pool;
    KcHttpCall *check;                  /* unanswered; NULL: none */
    KcTcpConnection *keeper_connecting; /* until on_ready(), else NULL */
    KcLink *keeper_link;                /* NULL when not connected */
    KcTime keeper_retry_at;
    TAILQ_HEAD(, PendingMessage) pending_messages;
} ServerConnections;

/* ---- servers (gateway_links.c) ------------------------------------------- */

/* Functions that the gateway calls; their context is the GatewayRole. */
extern const KcGatewayOps KcGatewayRole_Ops;

/* Returns the connections of a server, which it owns until it is removed. */
ServerConnections *KcGatewayRole_GetConnections(GatewayRole *role,
                                                KcServer *server);

/* ---- starts of servers (gateway_starts.c) -------------------------------- */

/* Reads servers' records; the reader is the GatewayRole. */
extern const KcStartReaderOps KcGatewayRole_StartReaderOps;

/* Frees the reads that the store has not answered, when it is closed. */
void KcGatewayRole_FreeStartReads(GatewayRole *role);

/* ---- keepers (gateway_keepers.c) ----------------------------------------- */

/* Starts to keep connections to the hubs, and ends it. */
void KcGatewayRole_StartKeepers(GatewayRole *role);
void KcGatewayRole_StopKeepers(GatewayRole *role);
/* Makes the connections to hubs that are missing. */
void KcGatewayRole_ConnectHubs(GatewayRole *role);
void KcGatewayRole_DisconnectKeeper(ServerConnections *connections);
/* Reports the uses of adapters to their keepers, a little later. */
void KcGatewayRole_ScheduleUseReport(GatewayRole *role);
/* Tells the hubs of the generation in force. */
void KcGatewayRole_PublishGeneration(GatewayRole *role);
/* Members of KcGatewayOps. */
bool KcGatewayRole_RequestLoad(void *context, const KcLoadRequest *request);
void KcGatewayRole_AskEnd(void *context, KcServer *server,
                          const KcLossRecord *record);
void KcGatewayRole_PublishSuspect(void *context, KcServerPool *pool,
                                  const KcSuspectNews *news);
void KcGatewayRole_LogSuspect(void *context, const KcServerPool *pool,
                              KcSuspectStep step, const KcSuspect *suspect,
                              bool is_own);

/* ---- quotas (gateway_quotas.c) ------------------------------------------- */

/* Prepares reports of the customers' use, and ends them. */
void KcGatewayRole_StartQuotas(GatewayRole *role);
void KcGatewayRole_StopQuotas(GatewayRole *role);
/* Begins to report, as the configuration or a hub's connection is new: at
 * once, unless a hub has answered before. */
void KcGatewayRole_JoinHub(GatewayRole *role);
/* Takes the answer of a hub.  Returns 0 or KC_ERR_PROTOCOL. */
int KcGatewayRole_TakeTotals(GatewayRole *role, KcServer *server,
                             const KcMsg *msg);
/* Adds the customers to the JSON of /debug/state. */
void KcGatewayRole_AddCustomers(GatewayRole *role, json_t *state);
/* Member of KcAdminServerOps. */
void KcGatewayRole_FormatMetrics(void *context, KcBuffer *text);
/* Log of the quotas. */
extern const KcQuotaOps KcGatewayRole_QuotaOps;

/* ---- callers (gateway_role.c) --------------------------------------------- */

/* Decides again whether callers' connections are accepted. */
void KcGatewayRole_ReviewOpening(GatewayRole *role);

/* ---- the store (gateway_feeds.c) ----------------------------------------- */

/* Starts a feed for each collection of the store. */
void KcGatewayRole_StartFeeds(GatewayRole *role);
void KcGatewayRole_FreeFeeds(GatewayRole *role);
/* Version of the routing configuration in force, 0 when there is none. */
uint64_t KcGatewayRole_GetGeneration(const GatewayRole *role);
/* Member of KcGatewayOps; logs when keys begin and cease to be refused. */
KcTime KcGatewayRole_GetConfigurationAge(void *context);
/* Reads the configuration when a keeper names a later one than that in force.
 */
void KcGatewayRole_OnGenerationNamed(GatewayRole *role, uint64_t generation,
                                     KcTime now);
/* Starts writing this gateway's own record; retried until it is written. */
void KcGatewayRole_WriteOwnRecord(GatewayRole *role);

#endif
