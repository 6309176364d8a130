/*
 * Process of a keeper; shared by the sources keeper_*.c only.
 */
#ifndef KCC_KEEPER_ROLE_INTERNAL_H
#define KCC_KEEPER_ROLE_INTERNAL_H

#include "../connection/tcp.h"
#include "keeper_record.h"
#include "own_record.h"
#include "platform.h"
#include "role.h"

typedef struct KeeperRole {
    KcRoleCommon common;
    const KcPlatform *platform;
    KcKeeper *keeper;
    KcEngineClient *engine;
    KcStore *store;
    KcFeed *routing_feed;
    KcTimer routing_timer; /* starts the feed */
    KcTcpListener *listener;
    struct KcLinkList links;
    KcOwnRecord fence_record; /* its revision is the fencing number */
    KcKeeperRecord record;    /* what it tells */
    KcQuotaHub *quota_hub;    /* customers' use at the gateways */
    uint64_t incarnation;
    uint64_t generation;       /* of the routing configuration in force */
    uint64_t named_generation; /* highest that a gateway or the store named */
} KeeperRole;

/* ---- gateways (keeper_role.c) --------------------------------------------- */

/* Passes a generation on to the gateways that may not know it; from is the
 * link by which it came, NULL: none. */
void KcKeeperRole_LearnGeneration(KeeperRole *role, uint64_t generation,
                                  const KcLink *from);

/* ---- the store (keeper_store.c) ------------------------------------------- */

/* Starts to write the record of this keeper and to read the configuration. */
void KcKeeperRole_StartStore(KeeperRole *role);
/* Ends it; also closes the store. */
void KcKeeperRole_StopStore(KeeperRole *role);

#endif
