/*
 * The oracle: the brief's eight promises, one function each.  It reads only
 * what callers, engines and operators can see.
 *
 * Each function returns NULL when the promise holds, else a text that says
 * what broke it, valid until the next call.
 */
#ifndef KCC_ORACLE_H
#define KCC_ORACLE_H

#include "world.h"

/* Every answer is produced by the adapter and version it asked for. */
const char *Oracle_CheckRightModel(World *world);

/* An adapter that is serving a request is never evicted. */
const char *Oracle_CheckNoEvictionInUse(World *world);

/* Each caller receives the whole answer to its own request. */
const char *Oracle_CheckWholeAnswers(World *world);

/* What was told "not run" did not run. */
const char *Oracle_CheckNotRun(World *world);

/* A call that may not be repeated is executed at most once per key. */
const char *Oracle_CheckAtMostOnce(World *world);

/* A leaving backend server receives no new work after a few seconds. */
const char *Oracle_CheckNoWorkWhenLeaving(World *world);

/* A planned stop cuts off no request.  Only for worlds without faults. */
const char *Oracle_CheckPlannedStops(World *world);

/* Generations never go back; at rest, the last accepted is in force and
 * status says so of no process that has not got it. */
const char *Oracle_CheckConfiguration(World *world);

/* At rest: every request has ended. */
const char *Oracle_CheckRequestsEnded(World *world);

/* Our own processes never break a rule of their links. */
const char *Oracle_CheckNoProtocolErrors(World *world);

/* The promises that hold at every moment; NULL when all do. */
const char *Oracle_CheckNow(World *world);

/* All of them, after the world has come to rest.  faultless: only planned
 * stops and edits happened. */
const char *Oracle_CheckRecovered(World *world, bool faultless);

#endif
