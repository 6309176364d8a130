/*
 * Checks of what a worker logged against the calls and the history: how often
 * each call ran, that no request follows an answer by which the worker said
 * that it leaves, that few follow one that asked to wait, and that no answer
 * is broken off because its worker paused.
 */
#ifndef KCC_RULES_H
#define KCC_RULES_H

#include "../daemons/gateway_cluster.h"
#include "soak.h"

/* How often the rules applied, over all workers. */
typedef struct RuleCounts {
    int leavings; /* gateways that passed on that a worker leaves */
    int waits;    /* answers that asked to wait */
    int pauses;   /* calls that ran at a worker when it paused, and whose end
                   * nothing else disturbed */
    /* Calls without an answer: */
    int killed;  /* their gateway was killed */
    int crossed; /* they crossed the close of a connection in a planned stop */
    int outlasted; /* not over in the time of a planned stop */
    int slow;      /* refused, and still sending 1.9 s later */
} RuleCounts;

/* Reads the log of a worker, adds to the run counts of the calls, and reports
 * violations. */
void Rules_CheckWorker(const char *log_path, GatewayClusterRole role,
                       int number, RuleCounts *counts);
/*
 * Reports a call that ended without an answer or a refusal, or by a part of
 * one, or refused under limits that came after its head. A 408 is allowed to a
 * call that crossed the close of a planned stop and has not run. The logs of
 * the workers must have been read.
 */
void Rules_CheckEnd(const Call *call, RuleCounts *counts);

#endif
