/*
 * Planned stop of a gateway: until when it takes requests, when it answers
 * those that still run, and when it has ended.
 */
#ifndef KCC_GATEWAY_STOP_H
#define KCC_GATEWAY_STOP_H

#include "../request/gateway_front_end.h"

typedef struct KcGatewayStopOptions {
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    /* Delays are counted from the beginning of the stop. */
    KcTime idle_close_delay; /* idle connections of callers are closed */
    KcTime refusal_delay;    /* requests that might outlast it are refused */
    KcTime duration_min;     /* also without requests */
    KcTime answer_time; /* requests that still run are answered so long before
                           the end, so that the answers can be sent */
} KcGatewayStopOptions;

typedef struct KcGatewayStop {
    KcGatewayStopOptions options;
    KcTime started_at;
} KcGatewayStop;

/* Sets the defaults; gateway and front_end are left NULL. */
void KcGatewayStopOptions_Init(KcGatewayStopOptions *options);
/*
 * Begins a stop that lasts duration_max at most. Its intake is to be ended
 * answer_time before that, so that what is answered then can arrive. A request
 * that is not received completely is refused so long before that as its
 * connection may take to be closed in stages.
 */
void KcGatewayStop_Begin(KcGatewayStop *stop,
                         const KcGatewayStopOptions *options,
                         KcTime duration_max, KcTime now);
/*
 * Returns whether the process may end: nothing is in progress, and each close
 * in stages has come to its end.
 */
bool KcGatewayStop_IsDone(const KcGatewayStop *stop, KcTime now);
/* Takes nothing more, as the process ends, and ends the requests in progress.
 */
void KcGatewayStop_EndIntake(KcGatewayStop *stop, KcTime now);

#endif
