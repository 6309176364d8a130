/*
 * Functions of a gateway's program that do nothing.
 */
#include "gateway_stubs.h"

#include "../programs/process/platform.h"
#include "../programs/request/http_attempt.h"

bool
GatewayStubs_RequestLoad(void *context, const KcLoadRequest *request)
{
    (void)context;
    (void)request;
    return false;
}

void
GatewayStubs_IgnoreServer(void *context, KcServer *server)
{
    (void)context;
    (void)server;
}

void
GatewayStubs_RefreshServers(void *context)
{
    (void)context;
}

void
GatewayStubs_RecordRequest(void *context, const KcForwardRecord *record)
{
    (void)context;
    (void)record;
}

void
GatewayStubs_RecordLoss(void *context, const KcLossRecord *record)
{
    (void)context;
    (void)record;
}

void
GatewayStubs_AskEnd(void *context, KcServer *server,
                    const KcLossRecord *record)
{
    (void)context;
    (void)server;
    (void)record;
}

void
GatewayStubs_PublishSuspect(void *context, KcServerPool *pool,
                            const KcSuspectNews *news)
{
    (void)context;
    (void)pool;
    (void)news;
}

void
GatewayStubs_RecordSuspect(void *context, const KcServerPool *pool,
                           KcSuspectStep step, const KcSuspect *suspect,
                           bool is_own)
{
    (void)context;
    (void)pool;
    (void)step;
    (void)suspect;
    (void)is_own;
}

void
GatewayStubs_RecordNotice(void *context, const KcNoticeRecord *record)
{
    (void)context;
    (void)record;
}

void
GatewayStubs_CancelHttp(void *context, void *handle)
{
    (void)context;
    KcHttpAttempt_Cancel(handle);
}

void
GatewayStubs_IgnoreBegin(void *caller, const void *head, bool stream)
{
    (void)caller;
    (void)head;
    (void)stream;
}

void
GatewayStubs_IgnoreData(void *caller, KcBytes bytes)
{
    (void)caller;
    (void)bytes;
}

const char *
GatewayStubs_FindRegion(void *context, const char *datacentre)
{
    (void)context;
    return datacentre;
}

KcGateway *
GatewayStubs_CreateGateway(KcLoop *loop, KcCounters *counters)
{
    KcGatewayOptions options;

    KcGatewayOptions_Init(&options);
    options.timers = loop->timers;
    options.counters = counters;
    options.datacentre = "here";
    options.region_of = GatewayStubs_FindRegion;
    return KcGateway_Create(&options);
}

KcGatewayFrontEnd *
GatewayStubs_CreateFrontEnd(KcLoop *loop, KcGateway *gateway,
                            KcCounters *counters, const char *address)
{
    KcGatewayFrontEndOptions options = {
        .loop = loop,
        .address = address,
        .dialect = KcPlatform_Current.dialect,
        .counters = counters,
        .gateway = gateway,
        .connections_max = 1,
        .initial_limits = {.header_bytes_max = 1000,
                           .body_bytes_max = 1000,
                           .header_timeout = KC_SECOND * 60,
                           .idle_timeout = KC_SECOND * 60},
        .silence_timeout = KC_SECOND * 60,
        .stall_timeout = KC_SECOND * 60};

    return KcGatewayFrontEnd_Create(&options);
}
