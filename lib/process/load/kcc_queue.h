/*
 * Decisions about requests that wait for a server of one service: their order,
 * until when they wait, and when a caller that is refused comes back.
 *
 * State in, decision out: nothing here calls the gateway, knows a socket or
 * reads a clock.
 */
#ifndef KCC_QUEUE_H
#define KCC_QUEUE_H

#include "kcc_types.h"

/* ---- Part 1: order (queue_order.c) --------------------------------------- */

/* A request that waits, as the order sees it. */
typedef struct KcQueued {
    uint32_t urgency; /* 0 is the most urgent */
    KcTime arrived_at;
} KcQueued;

/* Is the request served before the other one? */
bool KcQueued_IsBefore(const KcQueued *queued, const KcQueued *other);

/* ---- Part 2: refusal (refusal.c) ----------------------------------------- */

/* How long a request with that objective waits whatever is known. */
KcTime KcRefusal_WaitMin(KcTime objective);

/* When a caller that is refused is told to come back. */
KcTime KcRefusal_RetryAfter(void);

#endif
