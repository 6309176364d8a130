/*
 * The deadly part: its calls, and its rules.
 */
#include "deadly.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "faults.h"
#include "history.h"
#include "keys.h"

/* Ends that a part may cost, and the time after them from which on it may
 * cost no more; after twice this time other requests must be served again. */
#define ENDS_MAX 5
#define STABLE_WINDOW (4 * KC_SECOND)
/* Requests with the part that may still reach workers then. */
#define LATE_REQUESTS_MAX 3
/* Calls that say how often requests are served. */
#define CALLS_MIN 20
#define DEADLY_SHARE_PERCENT 25
#define WATCH_INTERVAL (20 * KC_MS)

/* How many of some calls were answered. */
typedef struct Served {
    int calls;
    int answered;
} Served;

static struct {
    KcTime begin_at; /* of the calls with the part; 0: no call has parts */
    KcTimer watch_timer;
    KcTime ends[ENDS_MAX]; /* the first ones, in order */
    int end_count;         /* all */
    int late_requests;     /* with the part, that reached a worker */
    Served before;         /* sound calls before begin_at */
    Served after;          /* and two windows after the ends */
} deadly;

/* ---- calls --------------------------------------------------------------- */

static void
on_watch(KcTimer *timer, KcTime now)
{
    KcLoop *loop = timer->owner;

    Faults_RestartEnded();
    KcTimers_Set(loop->timers, timer, now + WATCH_INTERVAL);
}

void
Deadly_Start(KcLoop *loop, KcTime begin_at)
{
    deadly.begin_at = begin_at;
    KcTimer_Init(&deadly.watch_timer, on_watch, loop);
    KcTimers_Set(loop->timers, &deadly.watch_timer, begin_at);
}

void
Deadly_WritePrompt(Call *call, char line[DEADLY_PROMPT_SIZE])
{
    line[0] = '\0';
    if (deadly.begin_at == 0 || !call->is_stream) {
        return;
    }
    call->has_parts = true;
    call->is_deadly = call->began_at >= deadly.begin_at &&
                      Soak_DrawBelow(100) < DEADLY_SHARE_PERCENT;
    snprintf(
        line, DEADLY_PROMPT_SIZE, "Prompt-Prefix: a:5,%s%" PRIx64 ":5\r\n",
        call->is_deadly ? DEADLY_PART ":5," : "", (uint64_t)call->began_at);
}

/* ---- logs ---------------------------------------------------------------- */

/* Adds the end of a worker to the first ones, if it is one of them. */
static void
on_end(int worker, const char *event, Call *call, KcTime at)
{
    int place = deadly.end_count < ENDS_MAX ? deadly.end_count : ENDS_MAX;

    (void)call;
    if (strcmp(event, "deadly") != 0) {
        return;
    }
    History_Begin(DISTURBANCE_RESTART, GATEWAY_CLUSTER_LLM_WORKER, worker, at)
        ->ends_at = at;
    deadly.end_count++;
    while (place > 0 && deadly.ends[place - 1] > at) {
        if (place < ENDS_MAX) {
            deadly.ends[place] = deadly.ends[place - 1];
        }
        place--;
    }
    if (place < ENDS_MAX) {
        deadly.ends[place] = at;
    }
}

static void
on_arrival(int worker, const char *event, Call *call, KcTime at)
{
    (void)worker;
    if (call != NULL && call->is_deadly && !call->has_arrived_late &&
        strcmp(event, "arrival") == 0 && deadly.end_count >= ENDS_MAX &&
        at > deadly.ends[ENDS_MAX - 1] + STABLE_WINDOW) {
        call->has_arrived_late = true;
        deadly.late_requests++;
    }
}

static void
read_log(const GatewayCluster *cluster, int worker,
         void (*on_line)(int worker, const char *event, Call *call, KcTime at))
{
    char path[256];
    char line[256];
    FILE *file;

    snprintf(path, sizeof(path), "%s/%d-%d.log",
             GatewayCluster_GetDirectory(cluster),
             (int)GATEWAY_CLUSTER_LLM_WORKER, worker);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        char event[16] = "";
        char id[32] = "";
        KcTime at = 0;

        sscanf(line, "%15s %31s %" SCNd64, event, id, &at);
        on_line(worker, event, Soak_FindCall(id), at);
    }
    if (file != NULL) {
        fclose(file);
    }
}

void
Deadly_ReadLogs(const GatewayCluster *cluster)
{
    int workers = Soak_CountProcesses(GATEWAY_CLUSTER_LLM_WORKER);

    for (int i = 0; i < workers; i++) {
        read_log(cluster, i, on_end);
    }
    for (int i = 0; i < workers; i++) {
        read_log(cluster, i, on_arrival);
    }
}

/* ---- rules --------------------------------------------------------------- */

/* The fifth end, or the last of fewer. */
static KcTime
find_last_allowed_end(void)
{
    int count = deadly.end_count < ENDS_MAX ? deadly.end_count : ENDS_MAX;

    return count > 0 ? deadly.ends[count - 1] : deadly.begin_at;
}

void
Deadly_CountCall(const Call *call)
{
    Served *served = NULL;

    if (!call->has_parts || call->is_deadly || call->is_excessive ||
        call->ended_at == KC_NEVER || Keys_IsHot(call->customer)) {
        return;
    }
    if (call->ended_at < deadly.begin_at) {
        served = &deadly.before;
    }
    else if (call->began_at >= find_last_allowed_end() + 2 * STABLE_WINDOW) {
        served = &deadly.after;
    }
    if (served != NULL) {
        served->calls++;
        served->answered += call->status == 200 ? 1 : 0;
    }
}

static bool
is_served_half_as_often(const Served *after, const Served *before)
{
    return 2 * after->answered * before->calls >=
           before->answered * after->calls;
}

void
Deadly_Check(void)
{
    const Served *before = &deadly.before;
    const Served *after = &deadly.after;

    printf("deadly part: %d workers ended, %d late requests; sound ones "
           "answered: %d of %d before, %d of %d after\n",
           deadly.end_count, deadly.late_requests, before->answered,
           before->calls, after->answered, after->calls);
    if (deadly.late_requests > LATE_REQUESTS_MAX) {
        Soak_ReportViolation("deadly part, budget", NULL);
    }
    if (before->calls >= CALLS_MIN && after->calls >= CALLS_MIN &&
        !is_served_half_as_often(after, before)) {
        Soak_ReportViolation("deadly part, sound requests lost", NULL);
    }
}
