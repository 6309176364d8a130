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
/* Begins a stop that lasts duration_max at most. */
void KcGatewayStop_Begin(KcGatewayStop *stop,
                         const KcGatewayStopOptions *options,
                         KcTime duration_max, KcTime now);
/* Returns whether the process may end. */
bool KcGatewayStop_IsDone(const KcGatewayStop *stop, KcTime now);
/* Takes nothing more, as the process ends. */
void KcGatewayStop_EndIntake(KcGatewayStop *stop, KcTime now);

#endif
