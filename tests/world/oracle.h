/*
 * The oracle: checks the promises of the service against what callers, engines
 * and operators can observe in a simulation.
 *
 * Each function returns NULL when its promise holds, else a text that says
 * what broke it, valid until the next call.  The text is static, not to be
 * freed.
 */
#ifndef KCC_ORACLE_H
#define KCC_ORACLE_H

#include "world.h"

/* Every answer comes from the requested adapter and version. */
const char *Oracle_CheckRightModel(World *world);

/* An adapter that is serving a request is never evicted. */
const char *Oracle_CheckNoEvictionInUse(World *world);

/* What a caller receives is a prefix of the answer to its own request, and the
 * whole answer if the outcome is answered. */
const char *Oracle_CheckWholeAnswers(World *world);

/* A request with outcome not_run was not executed. */
const char *Oracle_CheckNotRun(World *world);

/* A call that may not be repeated is executed at most once, and its key at
 * most once over all calls. */
const char *Oracle_CheckAtMostOnce(World *world);

/* A leaving backend server receives no new work after three seconds. */
const char *Oracle_CheckNoWorkWhenLeaving(World *world);

/* Planned stops interrupt no request.  Only for simulations without faults. */
const char *Oracle_CheckPlannedStops(World *world);

/* No process goes back to an older generation.  After recovery, every process
 * has the last accepted generation in force and in its lease object. */
const char *Oracle_CheckConfiguration(World *world);

/* After recovery: every request has ended. */
const char *Oracle_CheckRequestsEnded(World *world);

/* No process counted a protocol error of a peer. */
const char *Oracle_CheckNoProtocolErrors(World *world);

/* The promises that hold at all times; the first that is broken, if any. */
const char *Oracle_CheckNow(World *world);

/* All promises, after the faults have ended and there was time to recover.
 * faultless: only planned stops and edits happened. */
const char *Oracle_CheckRecovered(World *world, bool faultless);

#endif
