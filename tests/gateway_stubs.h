/*
 * Functions of a gateway's program that do nothing or the least, for tests
 * that look at something else.
 */
#ifndef KCC_GATEWAY_STUBS_H
#define KCC_GATEWAY_STUBS_H

#include <kcc.h>

#include "../programs/request/gateway_front_end.h"

/* Requests no load: the keeper can't be reached. */
bool GatewayStubs_RequestLoad(void *context, const KcLoadRequest *request);
void GatewayStubs_IgnoreServer(void *context, KcServer *server);
void GatewayStubs_RefreshServers(void *context);
void GatewayStubs_RecordRequest(void *context, const KcForwardRecord *record);
void GatewayStubs_RecordLoss(void *context, const KcLossRecord *record);
void GatewayStubs_AskEnd(void *context, KcServer *server,
                         const KcLossRecord *record);
void GatewayStubs_PublishSuspect(void *context, KcServerPool *pool,
                                 const KcSuspectNews *news);
void GatewayStubs_RecordSuspect(void *context, const KcServerPool *pool,
                                KcSuspectStep step, const KcSuspect *suspect,
                                bool is_own);
void GatewayStubs_RecordNotice(void *context, const KcNoticeRecord *record);

/* The fields of a KcGatewayOps that these functions fill; the record of a
 * notice is left to the test. */
#define GATEWAY_STUBS_OPS                                                     \
    .request_load = GatewayStubs_RequestLoad,                                 \
    .check_server = GatewayStubs_IgnoreServer,                                \
    .refresh_servers = GatewayStubs_RefreshServers,                           \
    .close_connections = GatewayStubs_IgnoreServer,                           \
    .record_request = GatewayStubs_RecordRequest,                             \
    .record_loss = GatewayStubs_RecordLoss, .ask_end = GatewayStubs_AskEnd,   \
    .publish_suspect = GatewayStubs_PublishSuspect,                           \
    .record_suspect = GatewayStubs_RecordSuspect

/* Cancels an attempt that KcHttpAttempt_Start() began. */
void GatewayStubs_CancelHttp(void *context, void *handle);

/* Of a caller that doesn't look at its answer. */
void GatewayStubs_IgnoreBegin(void *caller, const void *head, bool stream);
void GatewayStubs_IgnoreData(void *caller, KcBytes bytes);

/* Each data centre is a region of its own. */
const char *GatewayStubs_FindRegion(void *context, const char *datacentre);

/* Creates a gateway without a configuration, which refuses every request. */
KcGateway *GatewayStubs_CreateGateway(KcLoop *loop, KcCounters *counters);
/* Creates a front end for one caller at the address: heads and bodies of up to
 * 1,000 bytes, times of 60 s. */
KcGatewayFrontEnd *GatewayStubs_CreateFrontEnd(KcLoop *loop,
                                               KcGateway *gateway,
                                               KcCounters *counters,
                                               const char *address);

#endif
