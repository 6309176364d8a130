/*
 * Planned stop of a gateway: until when it takes requests, when it answers
 * those that still run, and when it has ended.
 */
#ifndef KCC_GATEWAY_STOP_H
#define KCC_GATEWAY_STOP_H

#include "../request/gateway_front_end.h"

typedef struct KcGatewayStopOptions {
    KcTimers *timers;
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
    KcTimer end_timer; /* ends the intake */
} KcGatewayStop;

/* Sets the defaults; timers, gateway and front_end are left NULL. */
void KcGatewayStopOptions_Init(KcGatewayStopOptions *options);
/*
 * Begins a stop that lasts duration_max at most. What is refused in it has
 * answer_time at least to arrive, and a request that is not received
 * completely as long as its connection may be closed in stages.
 */
void KcGatewayStop_Begin(KcGatewayStop *stop,
                         const KcGatewayStopOptions *options,
                         KcTime duration_max, KcTime now);
/*
 * Returns whether the process may end: nothing is in progress, and each close
 * in stages has come to its end.
 */
bool KcGatewayStop_IsDone(const KcGatewayStop *stop, KcTime now);
/* Takes nothing more, as the process ends. */
void KcGatewayStop_EndIntake(KcGatewayStop *stop, KcTime now);
/* Ends a stop that may have begun; stop may be zeroed. */
void KcGatewayStop_Clear(KcGatewayStop *stop);

#endif
