/*
 * State of a gateway process, and functions shared by its files.
 *
 * gateway_role.c starts and stops it and answers administrators,
 * gateway_links.c holds the connections to servers and keepers,
 * gateway_feeds.c reads the store and writes the gateway's own record.
 */
#ifndef KCC_GATEWAY_ROLE_INTERNAL_H
#define KCC_GATEWAY_ROLE_INTERNAL_H

#include "../connection/tcp.h"
#include "../request/gateway_front_end.h"
#include "admin_http.h"
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
    KcFeed *feeds[KC_COLLECTION_COUNT];
    uint32_t listed_gateway_count; /* in the list being read */
    KcIntakePool intake_pool;      /* of replies that are not complete */
    KcTimer use_report_timer;
    KcOwnRecord own_record; /* of this gateway, in the store */
    uint64_t incarnation;
    KcTime drain_started_at;
    KcTime store_status_changed_at; /* lost or regained; 0: never */
} GatewayRole;

/* ---- servers and keepers (gateway_links.c) ------------------------------- */

/* Functions that the gateway calls; their context is the GatewayRole. */
extern const KcGatewayOps KcGatewayRole_Ops;

/* Reports the uses of adapters to their keepers. */
void KcGatewayRole_OnUseReportTimer(KcTimer *timer, KcTime now);

/* ---- the store (gateway_feeds.c) ----------------------------------------- */

/* Starts a feed for each collection of the store. */
void KcGatewayRole_StartFeeds(GatewayRole *role);
void KcGatewayRole_FreeFeeds(GatewayRole *role);
/* Starts writing this gateway's own record; retried until it is written. */
void KcGatewayRole_WriteOwnRecord(GatewayRole *role);

#endif
