/*
 * HTTP front end of a gateway: callers' connections, requests received
 * completely, answers passed on.
 */
#ifndef KCC_GATEWAY_FRONT_END_H
#define KCC_GATEWAY_FRONT_END_H

#include "dialect.h"
#include "http_attempt.h"

typedef struct KcGatewayFrontEnd KcGatewayFrontEnd;

typedef struct KcGatewayFrontEndOptions {
    KcLoop *loop;
    const char *address;
    KcGateway *gateway;
    const KcHttpDialect *dialect;
    KcCounters *counters;
    uint32_t connections_max;      /* requests on others are refused */
    KcIntakePool *request_pool;    /* of requests' heads and bodies; must
                                      outlive the loop; NULL: no limit */
    KcCallerLimits initial_limits; /* while no configuration is in force */
    KcTime silence_timeout;        /* see KcSocket_SetConnectionOptions() */
    KcTime stall_timeout; /* longest time in which a caller takes nothing of an
                             answer */
    size_t unsent_bytes_max; /* of answers of all callers, see KcOutputPool;
                                0: no limit */
} KcGatewayFrontEndOptions;

/*
 * Listens at options->address. Returns NULL when it is invalid or cannot be
 * bound.
 */
KcGatewayFrontEnd *
KcGatewayFrontEnd_Create(const KcGatewayFrontEndOptions *options);
/* Accepts connections from now on, or not: then callers can connect, and
 * nothing is read of them. */
void KcGatewayFrontEnd_SetOpen(KcGatewayFrontEnd *front_end, bool is_open);
/* Closes all connections. Every request must have ended. */
void KcGatewayFrontEnd_Free(KcGatewayFrontEnd *front_end);

/*
 * Starts a planned stop: answers that begin from now on close their
 * connection. Idle connections are closed at idle_until, or a second after
 * they became idle or this call if that is later; a request that crosses the
 * close is refused. Requests that have not been received completely by
 * receive_until, or a second after they began if that is later, are refused.
 */
void KcGatewayFrontEnd_Drain(KcGatewayFrontEnd *front_end, KcTime idle_until,
                             KcTime receive_until);
/*
 * Ends the intake, as the process ends: accepts the connections that are
 * established, closes the listening socket, and refuses what is not received
 * completely or not begun. What has arrived is still read; the gateway must
 * refuse it.
 */
void KcGatewayFrontEnd_EndIntake(KcGatewayFrontEnd *front_end);
/*
 * Returns whether no request is being received, no answer being sent and no
 * connection being closed in stages; after the intake has ended, whether there
 * is no connection.
 */
bool KcGatewayFrontEnd_IsQuiet(const KcGatewayFrontEnd *front_end);
/* Returns the bytes of answers that callers have not taken yet. */
size_t KcGatewayFrontEnd_UnsentBytes(const KcGatewayFrontEnd *front_end);
/*
 * Return head and body of the request of a caller, as given to KcForwardOps;
 * the head is valid until its answer has ended, the body while another server
 * may get the request. The body may be NULL.
 */
const KcHttpMessage *KcGatewayFrontEnd_RequestHead(const void *caller);
KcRequestBody *KcGatewayFrontEnd_RequestBody(const void *caller);

#endif
