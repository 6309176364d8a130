/*
 * What the soak did to each process, and when.
 */
#ifndef KCC_HISTORY_H
#define KCC_HISTORY_H

#include <kcc.h>

#include "../daemons/gateway_cluster.h"

/* Kinds of disturbances, to be combined in a mask. */
typedef enum DisturbanceKind {
    DISTURBANCE_RESTART = 1, /* killed, until it was started again */
    DISTURBANCE_STOP = 2,    /* asked to end, until it was started again */
    DISTURBANCE_FREEZE = 4,  /* SIGSTOP, until SIGCONT */
    DISTURBANCE_KNOB = 8,    /* a stand-in had a fault */
    DISTURBANCE_CUT = 16,    /* the proxy before the process had a fault */
    DISTURBANCE_NOTICE = 32, /* a stand-in said that it leaves or asked to
                              * wait; what runs there goes on */
    DISTURBANCE_LIMITS = 64  /* a configuration with lower limits was written
                              * to the store */
} DisturbanceKind;

typedef struct Disturbance {
    TAILQ_ENTRY(Disturbance) link;
    DisturbanceKind kind;
    GatewayClusterRole role;
    int number;
    KcTime begins_at;
    KcTime ends_at; /* KC_NEVER until it has ended */
} Disturbance;

/* Notes that a disturbance begins; it belongs to the history. */
Disturbance *History_Begin(DisturbanceKind kind, GatewayClusterRole role,
                           int number, KcTime now);
/* Returns the first disturbance of a process of one of the kinds that overlaps
 * the time from from to until, both included, or NULL. */
const Disturbance *History_Find(int kinds, GatewayClusterRole role, int number,
                                KcTime from, KcTime until);
void History_Clear(void);

#endif
