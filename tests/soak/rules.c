/*
 * Reads the log of a worker line by line, see ../standins/worker.c.
 */
#include "rules.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history.h"
#include "keys.h"
#include "soak.h"

#define GATEWAYS_MAX 64
#define DRAIN_TIME (GATEWAY_CLUSTER_LEAVE_MS * KC_MS)
/* Requests that are on their way when a worker asks to wait may arrive for so
 * long, and so many later. */
#define WAIT_BEGINS_AFTER (500 * KC_MS)
#define WAIT_ARRIVALS_MAX 2
/* A proxy's fault can hold back an answer for as long as a call lasts. */
#define CUT_EFFECT_MAX (3 * KC_SECOND)
/* Gateways end streams shortly before their deadline. */
#define DEADLINE_MARGIN (500 * KC_MS)
/* A longer pause may be taken for the loss of the worker. */
#define PAUSE_MAX (1500 * KC_MS)

/* Requests that cross the close of an idle connection end so soon. */
#define CROSSING_TIME_MAX (100 * KC_MS)
/* A planned stop closes no idle connection earlier. */
#define STOP_CLOSE_MIN (2400 * KC_MS)
/* Five sixths of the 5 s that a planned stop has. */
#define STOP_TIME_MIN (4160 * KC_MS)
/* For which a caller may go on sending after it was refused. */
#define EXCESS_TIME_MAX (1900 * KC_MS)
/* After its start a gateway may have no configuration, and so limits of its
 * own, for so long. */
#define CONFIG_TIME_MAX (12 * KC_SECOND)
/* A head, which comes in two pieces, has been read after it at the latest. */
#define HEAD_TIME_MAX (700 * KC_MS)

/* An answer that asked a gateway to wait. */
typedef struct Wait {
    TAILQ_ENTRY(Wait) link;
    int gateway;
    KcTime answered_at;
    KcTime ends_at;
    int arrivals;
} Wait;

/* What one worker process has said and received so far. */
typedef struct Worker {
    GatewayClusterRole role;
    int number;
    /* When a gateway passed on that the worker leaves; 0: not yet. */
    KcTime leaving_known_at[GATEWAYS_MAX];
    TAILQ_HEAD(, Wait) waits;
    KcTime arrived_at; /* the latest request */
    RuleCounts *counts;
} Worker;

/* Was the call still in progress shortly before its deadline? */
static bool
has_neared_deadline(const Call *call)
{
    return call->ended_at - call->sent_at > call->time_limit - DEADLINE_MARGIN;
}

static void
clear_waits(Worker *worker)
{
    Wait *wait;

    while ((wait = TAILQ_FIRST(&worker->waits)) != NULL) {
        TAILQ_REMOVE(&worker->waits, wait, link);
        free(wait);
    }
}

/* Has the gateway been restarted or frozen? */
static bool
has_forgotten(int gateway, KcTime from, KcTime until)
{
    return History_Find(DISTURBANCE_RESTART | DISTURBANCE_FREEZE,
                        GATEWAY_CLUSTER_GATEWAY, gateway, from, until) != NULL;
}

/* ---- lines --------------------------------------------------------------- */

static void
on_start(Worker *worker)
{
    memset(worker->leaving_known_at, 0, sizeof(worker->leaving_known_at));
    clear_waits(worker);
}

/* Does an arrival count against the wait?  Not if the gateway may not have the
 * answer, or if the worker paused and read late what had reached it before. */
static bool
is_within_wait(const Worker *worker, const Wait *wait, const Call *call,
               KcTime at)
{
    return wait->gateway == call->gateway &&
           at > wait->answered_at + WAIT_BEGINS_AFTER && at < wait->ends_at &&
           !has_forgotten(call->gateway, wait->answered_at, at) &&
           History_Find(DISTURBANCE_CUT, worker->role, worker->number,
                        wait->answered_at - CUT_EFFECT_MAX, at) == NULL &&
           History_Find(DISTURBANCE_FREEZE, worker->role, worker->number,
                        wait->answered_at, at) == NULL;
}

static void
on_arrival(Worker *worker, const Call *call, KcTime at)
{
    KcTime known_at = worker->leaving_known_at[call->gateway];
    Wait *wait;

    worker->arrived_at = at;
    if (known_at != 0 && call->sent_at > known_at + DRAIN_TIME &&
        !has_forgotten(call->gateway, known_at, at)) {
        Soak_ReportViolation("sent to a worker that said it leaves", call);
    }
    TAILQ_FOREACH (wait, &worker->waits, link) {
        if (is_within_wait(worker, wait, call, at) &&
            ++wait->arrivals == WAIT_ARRIVALS_MAX + 1) {
            Soak_ReportViolation("sent to a worker that asked to wait", call);
        }
    }
}

/* The worker got the call in a customer's name. */
static void
on_customer(Call *call, const char *line)
{
    char name[32] = "";

    sscanf(line, "%*s %*s %31s", name);
    call->is_named = true;
    if (call->customer == NULL || strcmp(call->customer->name, name) != 0) {
        Soak_ReportViolation("in another customer's name", call);
    }
}

static void
on_run(const Worker *worker, Call *call)
{
    if (call->run_count++ == 0 || worker->arrived_at < call->ran_at) {
        call->ran_at = worker->arrived_at;
    }
}

/* The answer counts as passed on when the client has received its head. */
static void
on_leaving(Worker *worker, const Call *call, const char *worker_id)
{
    KcTime *known_at = &worker->leaving_known_at[call->gateway];

    if (call->answered_at == 0 || strcmp(call->server_seal, worker_id) != 0) {
        return;
    }
    if (*known_at == 0 ||
        has_forgotten(call->gateway, *known_at, call->answered_at)) {
        *known_at = call->answered_at;
        worker->counts->leavings++;
    }
}

static void
on_wait(Worker *worker, const Call *call, KcTime at, int64_t seconds)
{
    Wait *wait = KcMem_New(sizeof(*wait));

    wait->gateway = call->gateway;
    wait->answered_at = at;
    wait->ends_at = at + seconds * KC_SECOND;
    TAILQ_INSERT_TAIL(&worker->waits, wait, link);
    worker->counts->waits++;
}

/* Could anything but the pause have ended the call? */
static bool
is_disturbed(const Worker *worker, const Call *call)
{
    return History_Find(DISTURBANCE_RESTART | DISTURBANCE_KNOB, worker->role,
                        worker->number, call->sent_at,
                        call->ended_at) != NULL ||
           History_Find(DISTURBANCE_CUT, worker->role, worker->number,
                        call->sent_at - CUT_EFFECT_MAX,
                        call->ended_at) != NULL ||
           History_Find(DISTURBANCE_RESTART | DISTURBANCE_STOP |
                            DISTURBANCE_FREEZE,
                        GATEWAY_CLUSTER_GATEWAY, call->gateway, call->sent_at,
                        call->ended_at) != NULL;
}

/* A call that may not be repeated has begun to run: a pause of the worker
 * alone must not break off its answer. */
static void
check_pause(const Worker *worker, const Call *call)
{
    KcTime began_at = worker->arrived_at;
    const Disturbance *pause =
        History_Find(DISTURBANCE_FREEZE, worker->role, worker->number,
                     began_at, call->ended_at);

    if (call->is_repeatable || pause == NULL || pause->begins_at < began_at ||
        pause->ends_at - pause->begins_at > PAUSE_MAX ||
        has_neared_deadline(call) || is_disturbed(worker, call)) {
        return;
    }
    worker->counts->pauses++;
    if (!call->is_abandoned && (!call->is_complete || call->status != 200)) {
        Soak_ReportViolation("broken off while its worker paused", call);
    }
}

/* ---- the log ------------------------------------------------------------- */

void
Rules_CheckWorker(const char *log_path, GatewayClusterRole role, int number,
                  RuleCounts *counts)
{
    Worker worker = {.role = role, .number = number, .counts = counts};
    char worker_id[64];
    char line[256];
    FILE *file = fopen(log_path, "r");

    snprintf(worker_id, sizeof(worker_id), "%s-%d",
             role == GATEWAY_CLUSTER_LLM_WORKER ? "llm" : "plain", number);
    TAILQ_INIT(&worker.waits);
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        char event[16] = "";
        char id[32] = "";
        KcTime at = 0;
        int64_t seconds = 0;
        Call *call;

        sscanf(line, "%15s %31s %" SCNd64 " %" SCNd64, event, id, &at,
               &seconds);
        call = Soak_FindCall(id);
        if (strcmp(event, "start") == 0) {
            on_start(&worker);
        }
        else if (call == NULL) {
            continue;
        }
        else if (strcmp(event, "arrival") == 0) {
            on_arrival(&worker, call, at);
        }
        else if (strcmp(event, "customer") == 0) {
            on_customer(call, line);
        }
        else if (strcmp(event, "key") == 0) {
            Soak_ReportViolation("key passed on to a worker", call);
        }
        else if (strcmp(event, "run") == 0) {
            on_run(&worker, call);
            check_pause(&worker, call);
        }
        else if (strcmp(event, "leaving") == 0) {
            on_leaving(&worker, call, worker_id);
        }
        else if (strcmp(event, "wait") == 0) {
            on_wait(&worker, call, at, seconds);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    clear_waits(&worker);
}

/* ---- the end of a call --------------------------------------------------- */

/* Was its gateway killed since its connection was begun? */
static bool
has_lost_gateway(const Call *call)
{
    return History_Find(DISTURBANCE_RESTART, GATEWAY_CLUSTER_GATEWAY,
                        call->gateway, call->connected_at,
                        call->ended_at) != NULL;
}

static bool
was_frozen(const Call *call)
{
    return History_Find(DISTURBANCE_FREEZE, GATEWAY_CLUSTER_GATEWAY,
                        call->gateway, call->began_at - CUT_EFFECT_MAX,
                        call->ended_at) != NULL;
}

static bool
was_any_worker_disturbed(const Call *call, GatewayClusterRole role, int kinds)
{
    for (int i = 0; i < Soak_CountProcesses(role); i++) {
        if (History_Find(kinds, role, i, call->began_at - CUT_EFFECT_MAX,
                         call->ended_at) != NULL) {
            return true;
        }
    }
    return false;
}

/* Could anything have ended its answer?  A plain one is passed on when it is
 * complete, unless a worker with a fault answers by a stream. */
static bool
may_be_broken_off(const Call *call)
{
    if (!call->is_stream) {
        return was_any_worker_disturbed(call, GATEWAY_CLUSTER_PLAIN_WORKER,
                                        DISTURBANCE_KNOB);
    }
    return has_neared_deadline(call) || was_frozen(call) ||
           was_any_worker_disturbed(call, GATEWAY_CLUSTER_LLM_WORKER,
                                    DISTURBANCE_RESTART | DISTURBANCE_KNOB |
                                        DISTURBANCE_FREEZE | DISTURBANCE_CUT |
                                        DISTURBANCE_NOTICE);
}

/* Was its gateway stopping, and no worker had it yet? */
static bool
has_crossed_close(const Call *call)
{
    return call->run_count == 0 &&
           call->ended_at - call->began_at < CROSSING_TIME_MAX &&
           History_Find(DISTURBANCE_STOP, GATEWAY_CLUSTER_GATEWAY,
                        call->gateway, call->began_at, call->ended_at) != NULL;
}

/* Was its connection closed by a planned stop as it was sent, so that it got
 * the refusal in advance (RFC 9110, 15.5.9)? */
static bool
is_refused_in_advance(const Call *call)
{
    const Disturbance *stop =
        History_Find(DISTURBANCE_STOP, GATEWAY_CLUSTER_GATEWAY, call->gateway,
                     call->began_at, call->ended_at);
    KcTime crossed_at = call->stops_reading && call->sent_at < call->ended_at
                            ? call->sent_at
                            : call->ended_at;

    return call->status == 408 && call->run_count == 0 && stop != NULL &&
           crossed_at - call->began_at < CROSSING_TIME_MAX &&
           call->ended_at - stop->begins_at > STOP_CLOSE_MIN;
}

/* Did its gateway's planned stop end before the caller had sent all of it? */
static bool
has_outlasted_stop(const Call *call)
{
    const Disturbance *stop =
        History_Find(DISTURBANCE_STOP, GATEWAY_CLUSTER_GATEWAY, call->gateway,
                     call->began_at, call->ended_at);

    return stop != NULL && call->ended_at - stop->begins_at > STOP_TIME_MIN &&
           call->sent_at == KC_NEVER;
}

/* Has the caller sent for so long that the gateway, which has refused it long
 * ago, need not wait any more? */
static bool
is_refused_too_long(const Call *call)
{
    return call->is_excessive && call->sent_at == KC_NEVER &&
           call->ended_at - call->began_at > EXCESS_TIME_MAX;
}

/* The limits at its beginning allowed the call. */
static bool
is_refused_by_limits(const Call *call)
{
    return (call->status == 413 || call->status == 408 ||
            call->status == 431) &&
           !call->is_excessive;
}

/* When its head had been read at the latest; a frozen gateway may read it any
 * time before it answers. */
static KcTime
find_head_time(const Call *call)
{
    KcTime until = call->began_at + HEAD_TIME_MAX;

    return History_Find(DISTURBANCE_FREEZE, GATEWAY_CLUSTER_GATEWAY,
                        call->gateway, call->began_at, until) != NULL
               ? call->ended_at
               : until;
}

/* Reports a call without an answer, or counts what excuses it. */
static void
check_unanswered(const Call *call, RuleCounts *counts)
{
    if (has_lost_gateway(call)) {
        counts->killed++;
    }
    else if (has_crossed_close(call)) {
        counts->crossed++;
    }
    else if (is_refused_too_long(call)) {
        counts->slow++;
    }
    else if (has_outlasted_stop(call)) {
        counts->outlasted++;
    }
    else {
        Soak_ReportViolation(
            call->is_abandoned ? "no answer in time" : "no answer", call);
    }
}

void
Rules_CheckEnd(const Call *call, RuleCounts *counts)
{
    if (call->ended_at == KC_NEVER) {
        return;
    }
    if (call->status == 0) {
        check_unanswered(call, counts);
    }
    if (call->status != 0 && !call->is_complete && !has_lost_gateway(call) &&
        !may_be_broken_off(call)) {
        Soak_ReportViolation("broken off", call);
    }
    if (is_refused_by_limits(call) && !is_refused_in_advance(call) &&
        History_Find(DISTURBANCE_LIMITS, GATEWAY_CLUSTER_STORE, 0,
                     call->began_at, find_head_time(call)) == NULL) {
        Soak_ReportViolation("refused by limits that came later", call);
    }
    if (call->is_excessive && call->status == 200 &&
        History_Find(DISTURBANCE_RESTART, GATEWAY_CLUSTER_GATEWAY,
                     call->gateway, call->began_at - CONFIG_TIME_MAX,
                     call->began_at) == NULL) {
        Soak_ReportViolation("above the limits", call);
    }
}
