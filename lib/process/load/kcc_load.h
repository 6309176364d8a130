/*
 * Decisions under load: how fast servers are, what that adds to the cost of a
 * server, and how many connections are kept to it.  State in, decision out;
 * nothing here calls the gateway, knows a socket or reads a clock.
 */
#ifndef KCC_LOAD_H
#define KCC_LOAD_H

#include "kcc_types.h"

/* ---- speed ---------------------------------------------------------------- */

/* How long work usually takes, in percent. */
#define KC_SPEED_USUAL_PERCENT 100

/* What is known of how long work takes at a server; zeroed: nothing. */
typedef struct KcSpeed {
    uint32_t told_percent; /* the last that the server told */
    KcTime told_at;        /* 0: it never told */
    double steady_percent; /* mean of what it told over some seconds */
} KcSpeed;

/* The server told how long work takes there now, in percent of what is usual;
 * 0: it told nothing, which changes nothing. */
void KcSpeed_NoteTold(KcSpeed *speed, uint32_t percent, KcTime now);
/* True once the server has told it. */
bool KcSpeed_IsTold(const KcSpeed *speed);
/* How long work is expected to take at the server now, in percent of what is
 * usual: what it told last, which fades to what it told over some seconds.
 * KC_SPEED_USUAL_PERCENT if it never told. */
uint32_t KcSpeed_Percent(const KcSpeed *speed, KcTime now);

/* ---- placing -------------------------------------------------------------- */

/* A request's work at a server that is as fast as usual. */
typedef struct KcPlacingWork {
    KcTime own;    /* time of the request itself */
    KcTime others; /* delay by the requests that are there */
} KcPlacingWork;

/* What the speed of a server adds to the time until the request is answered
 * there, compared with the usual speed; negative at a faster one, 0 if the
 * server never told its speed. */
KcTime KcPlacing_SpeedCost(const KcSpeed *speed, const KcPlacingWork *work,
                           KcTime now);

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
