/*
 * HTTP front end of a gateway: callers' connections, requests received
 * completely, answers passed on.
 */
#ifndef KCC_FRONT_H
#define KCC_FRONT_H

#include "dialect.h"
#include "sending.h"

typedef struct KcGatewayFront KcGatewayFront;

typedef struct KcGatewayFrontOptions {
    KcLoop *loop;
    const char *address;
    KcGateway *gateway;
    const KcDialect *dialect;
    uint32_t connections_max;
    KcCallerLimits limits; /* while no configuration is in force */
    KcTime silence;        /* see KcSocket_SetConnectionOptions() */
} KcGatewayFrontOptions;

/*
 * Listens at options->address. Returns NULL when it is invalid or cannot be
 * bound.
 */
KcGatewayFront *KcGatewayFront_Create(const KcGatewayFrontOptions *options);
/* Closes all connections. Every request must have ended. */
void KcGatewayFront_Free(KcGatewayFront *front_end);

/*
 * Starts a planned stop: each connection is closed after its next answer, idle
 * connections at idle_until.
 */
void KcGatewayFront_Drain(KcGatewayFront *front_end, KcTime idle_until);
/*
 * Return head and body of the request of a caller, as given to KcForwardOps;
 * valid until its answer has ended.
 */
const KcHttpMessage *KcGatewayFront_Message(const void *caller);
KcBytes KcGatewayFront_Body(const void *caller);

#endif
