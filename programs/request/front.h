/*
 * The front end of a gateway: callers' connections, requests read whole,
 * answers passed on.
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
    KcCallerLimits limits; /* until a configuration is in force */
    KcTime silence;        /* a silent connection is noticed after it */
} KcGatewayFrontOptions;

/* Listens.  Returns NULL when the address cannot be bound. */
KcGatewayFront *KcGatewayFront_Create(const KcGatewayFrontOptions *options);
/* Every request must have been ended. */
void KcGatewayFront_Free(KcGatewayFront *front_end);

/*
 * A planned stop: answers from now on close their connection.  Idle
 * connections are closed after the given time.
 */
void KcGatewayFront_Drain(KcGatewayFront *front_end, KcTime idle_until);
/* The request of a caller, as given to KcForwardOps. */
const KcHttpMessage *KcGatewayFront_Message(const void *caller);
KcBytes KcGatewayFront_Body(const void *caller);

#endif
