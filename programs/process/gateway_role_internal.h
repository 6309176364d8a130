/*
 * The gateway's process context, and what its files use of each other.
 *
 * gateway_role.c is its life and administration, gateway_links.c the
 * connections to servers and keepers, gateway_feeds.c what it hears from the
 * store and says there.
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
    KcParts parts;
    const KcPlatform *platform;
    KcGateway *gateway;
    KcGatewayFrontEnd *front;
    KcAdmin *balancer; /* answers the balancer's question */
    KcStore *store;
    KcFeed *feeds[KC_COLLECTION_COUNT];
    uint32_t gateways; /* told by the list being read */
    KcTimer tell_timer;
    KcOwnRecord member; /* in the store */
    uint64_t incarnation;
    KcTime drain_began;
    KcTime store_back_at; /* it was last lost or regained */
} GatewayRole;

/* ---- servers and keepers (gateway_links.c) ------------------------------- */

/* What the gateway asks of its surroundings; the context is the role. */
extern const KcGatewayOps KcGatewayRole_Ops;

/* Keepers are told of uses. */
void KcGatewayRole_OnTell(KcTimer *timer, KcTime now);

/* ---- the store (gateway_feeds.c) ----------------------------------------- */

void KcGatewayRole_StartFeeds(GatewayRole *role);
void KcGatewayRole_FreeFeeds(GatewayRole *role);
/* Writes this gateway's own record, and again until the store has it. */
void KcGatewayRole_WriteMember(GatewayRole *role);

#endif
