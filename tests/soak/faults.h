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
} FaultsOptions;

/* Starts the proxies; exits with status 2 when one cannot listen. */
void Faults_Start(const FaultsOptions *options);
/* Begins faults from begin_at to end_at. */
void Faults_Inject(KcTime begin_at, KcTime end_at);
/* Restarts the model workers that have ended on their own, after a while. */
void Faults_RestartEnded(void);
/* Ends every fault at once. */
void Faults_EndAll(void);
void Faults_FreeProxies(void);

/* Does the newest configuration have the extra route? */
bool Faults_HasExtraRoute(void);
/* Limits of the newest configuration; no older one has lower limits. */
const GatewayClusterLimits *Faults_GetLimits(void);

#endif
