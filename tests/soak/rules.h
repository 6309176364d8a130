/*
 * Checks of what a worker logged against the calls and the history: how often
 * each call ran, that no request follows an answer by which the worker said
 * that it leaves, that few follow one that asked to wait, and that no answer
 * is broken off because its worker paused.
 */
#ifndef KCC_RULES_H
#define KCC_RULES_H

#include "../daemons/gateway_cluster.h"

/* How often the rules applied, over all workers. */
typedef struct RuleCounts {
    int leavings; /* gateways that passed on that a worker leaves */
    int waits;    /* answers that asked to wait */
    int pauses;   /* calls that ran at a worker when it paused, and whose end
                   * nothing else disturbed */
} RuleCounts;

/* Reads the log of a worker, adds to the run counts of the calls, and reports
 * violations. */
void Rules_CheckWorker(const char *log_path, GatewayClusterRole role,
                       int number, RuleCounts *counts);

#endif
