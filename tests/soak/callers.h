/*
 * Callers of the gateways: each has a connection at a time and sends one call
 * after another, with habits drawn from a table.
 */
#ifndef KCC_CALLERS_H
#define KCC_CALLERS_H

#include "../../programs/process/loop.h"
#include "../daemons/gateway_cluster.h"

struct CallHabit;

/* What the options point to must outlive the callers. */
typedef struct CallersOptions {
    KcLoop *loop;
    GatewayCluster *cluster;
    int gateways;
    int callers;
    KcTime begin_at;
} CallersOptions;

void Callers_Start(const CallersOptions *options);
/* Begins calls again after Callers_EndCalls(). */
void Callers_Resume(KcTime begin_at);
/* Begins no more calls; those in progress go on. */
void Callers_EndCalls(void);
/* Are calls in progress? */
bool Callers_HaveCalls(void);
/* Name of a habit, for messages. */
const char *Callers_GetHabitName(const struct CallHabit *habit);
/* Closes the connections. */
void Callers_Close(void);

#endif
