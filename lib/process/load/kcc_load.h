/*
 * Decisions under load: how fast servers are.  State in, decision out; nothing
 * here calls the gateway, knows a socket or reads a clock.
 */
#ifndef KCC_LOAD_H
#define KCC_LOAD_H

#include "kcc_types.h"

/* ---- speed ---------------------------------------------------------------- */

/* How long work takes when a server says nothing of it, in percent. */
#define KC_SPEED_USUAL_PERCENT 100

/* What is known of how long work takes at a server; zeroed: nothing. */
typedef struct KcSpeed {
    uint32_t told_percent; /* the last that the server told */
    KcTime told_at;        /* 0: it never told */
} KcSpeed;

/* The server told how long work takes there now, in percent of what is usual;
 * 0 is ignored. */
void KcSpeed_NoteTold(KcSpeed *speed, uint32_t percent, KcTime now);
/* True once the server has told it. */
bool KcSpeed_IsTold(const KcSpeed *speed);

/* ---- connections ---------------------------------------------------------- */

/*
 * How many connections one gateway keeps to a server that accepts
 * connections_max from all gateways together; UINT32_MAX when connections_max
 * is 0, as it is unknown then.  At least 1.
 */
uint32_t KcConnections_Part(uint32_t connections_max, uint32_t gateway_count);
/* How many idle connections a gateway keeps of its part, while it has this
 * many requests at the server. */
uint32_t KcConnections_IdleMax(uint32_t part, uint32_t in_flight);

#endif
