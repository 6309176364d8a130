/*
 * Planned stop of a gateway.
 */
#include "gateway_stop.h"

#include "../connection/lingering_close.h"

/*
 * Idle connections of callers are closed this long after a planned stop began.
 * By then the load balancer has made two readiness checks, a second apart, and
 * opens no new connections.
 */
#define IDLE_CLOSE_DELAY (2500 * KC_MS)
/*
 * Requests that might outlast a planned stop are refused from this long after
 * it began: the platform accepts that a stop cuts one off only if it was sent
 * earlier.
 */
#define REFUSAL_DELAY (2800 * KC_MS)
/*
 * Shortest planned stop, also without requests: until then the load balancer
 * may open new connections, later it chooses another gateway.
 */
#define DURATION_MIN (3200 * KC_MS)
#define ANSWER_TIME (300 * KC_MS)
/* Part of a short stop that is kept for closes in stages. */
#define CLOSING_PERCENT_MAX 25

void
KcGatewayStopOptions_Init(KcGatewayStopOptions *options)
{
    *options = (KcGatewayStopOptions){.idle_close_delay = IDLE_CLOSE_DELAY,
                                      .refusal_delay = REFUSAL_DELAY,
                                      .duration_min = DURATION_MIN,
                                      .answer_time = ANSWER_TIME};
}

/* Returns the time that refused callers have to read their refusals. */
static KcTime
get_closing_time(KcTime duration)
{
    KcTime closing_time_max = duration * CLOSING_PERCENT_MAX / 100;

    return closing_time_max < KC_LINGERING_TIMEOUT ? closing_time_max
                                                   : KC_LINGERING_TIMEOUT;
}

void
KcGatewayStop_Begin(KcGatewayStop *stop, const KcGatewayStopOptions *options,
                    KcTime duration_max, KcTime now)
{
    KcTime duration = duration_max - options->answer_time;

    stop->options = *options;
    stop->started_at = now;
    KcGateway_Drain(options->gateway, now + options->refusal_delay,
                    now + duration);
    KcGatewayFrontEnd_Drain(options->front_end,
                            now + options->idle_close_delay,
                            now + duration - get_closing_time(duration));
}

bool
KcGatewayStop_IsDone(const KcGatewayStop *stop, KcTime now)
{
    return KcGateway_CountInFlight(stop->options.gateway) == 0 &&
           KcGatewayFrontEnd_IsQuiet(stop->options.front_end) &&
           now >= stop->started_at + stop->options.duration_min;
}

void
KcGatewayStop_EndIntake(KcGatewayStop *stop, KcTime now)
{
    KcGatewayFrontEnd_EndIntake(stop->options.front_end);
    KcGateway_EndRequests(stop->options.gateway, now);
}
