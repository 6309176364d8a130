/*
 * Random faults of the processes of a cluster and of the proxies between them.
 */
#ifndef KCC_FAULTS_H
#define KCC_FAULTS_H

#include "../../programs/process/loop.h"
#include "../daemons/gateway_cluster.h"

/* What the options point to must outlive the faults. */
typedef struct FaultsOptions {
    KcLoop *loop;
    GatewayCluster *cluster; /* has configuration version 1 */
    const GatewayClusterOptions *cluster_options;
    KcTime begin_at;
    KcTime end_at; /* then the loop is stopped */
} FaultsOptions;

/* Starts the proxies, and the faults at their time; exits with status 2 when a
 * proxy cannot listen. */
void Faults_Start(const FaultsOptions *options);
/* Ends every fault at once. */
void Faults_EndAll(void);
void Faults_FreeProxies(void);

/* Does the newest configuration have the extra route? */
bool Faults_HasExtraRoute(void);
/* Limits of the newest configuration; no older one has lower limits. */
const GatewayClusterLimits *Faults_GetLimits(void);

#endif
