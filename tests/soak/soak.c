/*
 * The fault soak: injects random faults into gateways, keepers and stand-ins
 * that run as processes, and checks every call by its answer and by the
 * workers' logs of what they ran.
 *
 *   soak SEED [SECONDS [MODEL_WORKERS [PLAIN_WORKERS [GATEWAYS [CALLERS]]]]]
 *
 * Prints the seed, each fault, each violation and the verdict.  Exit status: 0
 * without violations, 1 with some, 2 when a proxy cannot listen.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../daemons/gateway_cluster.h"
#include "callers.h"
#include "deadly.h"
#include "faults.h"
#include "history.h"
#include "keys.h"
#include "quotas.h"
#include "rules.h"
#include "soak.h"

#define EVENTS_PER_STREAM 10  /* as the workers send them */
#define PRINTED_BYTES_MAX 400 /* of an answer with wrong bytes */
/* Of the part of the soak with the deadly part: its calls begin, faults begin
 * no more, and its end. */
#define DEADLY_CALLS_AFTER (2 * KC_SECOND)
#define DEADLY_FAULTS_UNTIL (7 * KC_SECOND)
#define DEADLY_TIME (18 * KC_SECOND)
/* Of requests that run at most once. */
#define UNSAFE_ATTEMPTS_MAX 3
#define RECOVERY_PAUSE_US 20000           /* between two questions */
#define RECOVERY_TIMEOUT (12 * KC_SECOND) /* recover_s of the platform */

/* ---- random numbers ------------------------------------------------------ */

static uint64_t random_state;

uint64_t
Soak_DrawBelow(uint64_t limit)
{
    random_state =
        random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (random_state >> 33) % limit;
}

static void
seed_random(uint64_t seed)
{
    random_state = seed * 2654435761u + 1;
}

/* ---- the run ------------------------------------------------------------- */

typedef struct Soak {
    KcLoop *loop;
    GatewayCluster *cluster;
    GatewayClusterOptions options;
    Call *calls;
    KcTimer end_timer; /* stops the loop */
    int violation_count;
} Soak;

static Soak soak;

void
Soak_AddCall(Call *call)
{
    HASH_ADD_STR(soak.calls, id, call);
}

Call *
Soak_FindCall(const char *id)
{
    Call *call;

    HASH_FIND_STR(soak.calls, id, call);
    return call;
}

/* Time from the beginning of a call; -1 before KC_NEVER. */
static double
get_seconds_after(const Call *call, KcTime at)
{
    return at == KC_NEVER ? -1 : (double)(at - call->began_at) / KC_SECOND;
}

void
Soak_ReportViolation(const char *violation, const Call *call)
{
    soak.violation_count++;
    printf("BROKEN %s: request %s status %d runs %d whole %d", violation,
           call != NULL ? call->id : "", call != NULL ? call->status : 0,
           call != NULL ? call->run_count : 0,
           call != NULL ? call->is_complete : 0);
    if (call != NULL) {
        printf(
            " gateway %d at %.3f, connected %.3f sent %.3f ended %.3f after "
            "it, code %d, %s",
            call->gateway,
            (double)(call->began_at % (1000 * KC_SECOND)) / KC_SECOND,
            get_seconds_after(call, call->connected_at),
            get_seconds_after(call, call->sent_at),
            get_seconds_after(call, call->ended_at), call->failure,
            Callers_GetHabitName(call->habit));
    }
    printf("\n");
}

/* ---- checks -------------------------------------------------------------- */

int
Soak_CountProcesses(GatewayClusterRole role)
{
    switch (role) {
    case GATEWAY_CLUSTER_LLM_WORKER:
    case GATEWAY_CLUSTER_KEEPER:
        return soak.options.llm_workers;
    case GATEWAY_CLUSTER_PLAIN_WORKER:
        return soak.options.plain_workers;
    case GATEWAY_CLUSTER_GATEWAY:
        return soak.options.gateways;
    default:
        return 1;
    }
}

/* Checks the logs of the workers of a role, which also counts their runs. */
static void
check_workers(GatewayClusterRole role, RuleCounts *counts)
{
    for (int i = 0; i < Soak_CountProcesses(role); i++) {
        char path[256];

        snprintf(path, sizeof(path), "%s/%d-%d.log",
                 GatewayCluster_GetDirectory(soak.cluster), (int)role, i);
        Rules_CheckWorker(path, role, i, counts);
    }
}

/* Comments of a stream belong to no event, and may be passed on. */
static const char *
skip_comments(const char *unread)
{
    while (unread != NULL && *unread == ':') {
        unread = strchr(unread, '\n');
        unread = unread != NULL ? unread + strspn(unread, "\n") : NULL;
    }
    return unread;
}

/* Skips the filling that a call asked its worker for. */
static const char *
skip_padding(const char *unread)
{
    return unread + strspn(unread, ".");
}

/* A complete stream has each event once and in order. */
static bool
is_stream_correct(const Call *call)
{
    const char *unread = KcBuffer_Data(&call->body);

    for (int i = 0; i < EVENTS_PER_STREAM; i++) {
        char event[64];

        unread = skip_comments(unread);
        snprintf(event, sizeof(event), "id: %d\ndata: piece %d", i, i);
        if (unread == NULL || strncmp(unread, event, strlen(event)) != 0) {
            return false;
        }
        unread = skip_padding(unread + strlen(event));
        if (strncmp(unread, "\n\n", 2) != 0) {
            return false;
        }
        unread += 2;
    }
    return *skip_comments(unread) == '\0';
}

static bool
is_plain_answer_correct(const Call *call)
{
    const char *bytes = KcBuffer_Data(&call->body);
    char body[128];
    int size = snprintf(body, sizeof(body), "answer %s of %s", call->id,
                        call->server_seal);

    return call->server_seal[0] != '\0' &&
           strncmp(bytes, body, (size_t)size) == 0 &&
           *skip_padding(bytes + size) == '\0';
}

void
Soak_CheckBody(Call *call)
{
    KcBuffer_Append(&call->body, "", 1);
    if (call->status == 200 && call->is_complete &&
        !(call->is_stream ? is_stream_correct(call)
                          : is_plain_answer_correct(call))) {
        Soak_ReportViolation("wrong bytes", call);
        printf("%zu bytes: %.*s\n", KcBuffer_Size(&call->body) - 1,
               PRINTED_BYTES_MAX, KcBuffer_Data(&call->body));
    }
    KcBuffer_Clear(&call->body);
}

bool
Soak_PromisesNotRun(const Call *call)
{
    return call->status == 408 || call->status == 421 || call->status == 429 ||
           call->status == 503;
}

static void
check_call(Call *call, RuleCounts *counts)
{
    if (!call->is_repeatable && call->run_count > 1) {
        Soak_ReportViolation("at most once", call);
    }
    if (call->is_repeatable && call->run_count > 2) {
        Soak_ReportViolation("more workers than allowed", call);
    }
    if (Soak_PromisesNotRun(call) && !call->is_repeatable &&
        call->run_count > 0) {
        Soak_ReportViolation("said not to run", call);
    }
    if (call->is_misattributed) {
        Soak_ReportViolation("another request's answer", call);
    }
    if (call->status == 404 || call->status == 400) {
        Soak_ReportViolation("denied", call);
    }
    Keys_CheckCall(call);
    Rules_CheckEnd(call, counts);
}

static void
check_calls(void)
{
    Call *call;
    Call *next;
    int outcome_counts[3] = {0, 0, 0};
    RuleCounts rule_counts = {0};

    for (int i = 0; i < soak.options.llm_workers; i++) {
        json_t *state = GatewayCluster_ReadState(
            soak.cluster, GATEWAY_CLUSTER_LLM_WORKER, i);

        if (json_integer_value(json_object_get(state, "overloads")) > 0) {
            Soak_ReportViolation("ordered beyond its places", NULL);
        }
        json_decref(state);
    }
    Deadly_ReadLogs(soak.cluster);
    check_workers(GATEWAY_CLUSTER_LLM_WORKER, &rule_counts);
    check_workers(GATEWAY_CLUSTER_PLAIN_WORKER, &rule_counts);
    Quotas_CheckCalls(soak.calls);
    HASH_ITER(hh, soak.calls, call, next)
    {
        check_call(call, &rule_counts);
        Deadly_CountCall(call);
        outcome_counts[call->status == 200 && call->is_complete ? 0
                       : call->status == 0                      ? 2
                                                                : 1]++;
        HASH_DEL(soak.calls, call);
        free(call);
    }
    printf(
        "%d answered, %d other answers, %d without (%d by a kill, %d crossed "
        "a close, %d outlasted a stop, %d too slow); "
        "%d workers left, %d waits, %d held by a pause\n",
        outcome_counts[0], outcome_counts[1], outcome_counts[2],
        rule_counts.killed, rule_counts.crossed, rule_counts.outlasted,
        rule_counts.slow, rule_counts.leavings, rule_counts.waits,
        rule_counts.pauses);
    Deadly_Check();
}

/* Waits until a gateway serves every route of the newest configuration; false
 * after RECOVERY_TIMEOUT.  Runs in a child process, as it blocks and the
 * parent must run the proxies. */
static bool
has_recovered(int gateway)
{
    static const char *const paths[] = {"/safe/x", "/unsafe/x", "/stream/x",
                                        "/resume/x", "/extra/x"};
    KcTime give_up_at = KcLoop_Now() + RECOVERY_TIMEOUT;
    int served_paths = 0;

    while (served_paths < 5 && KcLoop_Now() < give_up_at) {
        char request[512];
        char answer[8192];
        int expected = served_paths < 4 || Faults_HasExtraRoute() ? 200 : 404;
        int size =
            snprintf(request, sizeof(request),
                     "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r%d-%" PRId64
                     "\r\nModel: m/a1\r\nContent-Length: 0\r\n"
                     "Credential: " KEYS_LASTING "\r\n"
                     "Connection: close\r\n\r\n",
                     paths[served_paths], gateway, KcLoop_Now());

        GatewayCluster_Exchange(
            GatewayCluster_GetAddress(soak.cluster, GATEWAY_CLUSTER_GATEWAY,
                                      gateway),
            request, (size_t)size, answer, sizeof(answer), 1000);
        if (GatewayCluster_ReadStatus(answer) == expected) {
            served_paths++;
        }
        else {
            printf("gateway %d, %s: %.12s\n", gateway, paths[served_paths],
                   answer);
            usleep(RECOVERY_PAUSE_US);
        }
    }
    return served_paths == 5;
}

/* Runs has_recovered() in a child process, and meanwhile the proxies and what
 * is left of the callers' calls. */
static void
check_recovery(void)
{
    pid_t child;
    int status = 0;

    fflush(stdout);
    child = fork();
    if (child == 0) {
        bool all_recovered = true;

        GatewayCluster_CloseInherited();
        for (int gateway = 0; gateway < soak.options.gateways; gateway++) {
            all_recovered = has_recovered(gateway) && all_recovered;
        }
        fflush(stdout);
        _exit(all_recovered ? 0 : 1);
    }
    while (waitpid(child, &status, WNOHANG) == 0 || Callers_HaveCalls()) {
        KcTimers_Run(soak.loop->timers, KcLoop_Now());
        event_base_loop(soak.loop->base, EVLOOP_NONBLOCK);
        usleep(2000);
    }
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        Soak_ReportViolation("not recovered", NULL);
    }
}

/* ---- phases -------------------------------------------------------------- */

static void
on_phase_end(KcTimer *timer, KcTime now)
{
    (void)timer;
    (void)now;
    KcLoop_Stop(soak.loop);
}

/* Runs calls and faults until then, ends them, and checks the recovery. */
static void
run_phase(KcTime end_at)
{
    KcTimers_Set(soak.loop->timers, &soak.end_timer, end_at);
    soak.loop->stop_requested = false;
    KcLoop_Run(soak.loop);
    Callers_EndCalls();
    Faults_EndAll();
    check_recovery();
}

static void
run_deadly_phase(void)
{
    KcTime now = KcLoop_Now();

    printf("%7.3f deadly part\n",
           (double)(now % (1000 * KC_SECOND)) / KC_SECOND);
    Deadly_Start(soak.loop, now + DEADLY_CALLS_AFTER);
    Callers_Resume(now);
    Faults_Inject(now + DEADLY_CALLS_AFTER, now + DEADLY_FAULTS_UNTIL);
    run_phase(now + DEADLY_TIME);
}

/* ---- set-up -------------------------------------------------------------- */

/* A number of the command line; 0 or an absent one: the default. */
static int
read_number(int argc, char **argv, int index, int default_value)
{
    int value = argc > index ? atoi(argv[index]) : 0;

    return value > 0 ? value : default_value;
}

static void
set_up(uint64_t seed, int argc, char **argv)
{
    int workers = read_number(argc, argv, 3, 2);
    int callers = read_number(argc, argv, 6, 24);

    soak.options = (GatewayClusterOptions){
        .network_octet = GatewayCluster_ReserveNetwork(60, 119),
        .llm_workers = workers,
        .plain_workers = read_number(argc, argv, 4, workers),
        .gateways = read_number(argc, argv, 5, workers > 4 ? workers / 2 : 2),
        .unsafe_attempts_max = UNSAFE_ATTEMPTS_MAX,
        .seed = seed,
        .customers = Keys_GetCustomers(1),
        .deadly_part = DEADLY_PART,
        .has_proxies = true};
    printf("%d model workers, %d plain workers, %d gateways, %d callers\n",
           soak.options.llm_workers, soak.options.plain_workers,
           soak.options.gateways, callers);
    soak.loop = KcLoop_Create();
    soak.cluster = GatewayCluster_Start(&soak.options);
    KcTimer_Init(&soak.end_timer, on_phase_end, NULL);
    Faults_Start(&(FaultsOptions){.loop = soak.loop,
                                  .cluster = soak.cluster,
                                  .cluster_options = &soak.options});
    Callers_Start(&(CallersOptions){.loop = soak.loop,
                                    .cluster = soak.cluster,
                                    .gateways = soak.options.gateways,
                                    .callers = callers,
                                    .begin_at = KcLoop_Now() + KC_SECOND});
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    int seconds = read_number(argc, argv, 2, 10);
    KcTime begin_at;

    printf("seed %" PRIu64 ", %d s\n", seed, seconds);
    seed_random(seed);
    set_up(seed, argc, argv);
    begin_at = KcLoop_Now() + 2 * KC_SECOND;
    Faults_Inject(begin_at, begin_at + seconds * KC_SECOND);
    run_phase(begin_at + seconds * KC_SECOND);
    /* Whatever was drawn before, which depends on the timing. */
    seed_random(~seed);
    run_deadly_phase();
    Callers_Close();
    check_calls();
    Faults_FreeProxies();
    History_Clear();
    if (soak.violation_count > 0) {
        printf("the processes' output: %s\n",
               GatewayCluster_GetDirectory(soak.cluster));
    }
    printf("seed %" PRIu64 ": %s\n", seed,
           soak.violation_count > 0 ? "BROKEN" : "clean");
    if (soak.violation_count == 0) {
        GatewayCluster_Stop(soak.cluster);
    }
    KcLoop_Free(soak.loop);
    return soak.violation_count > 0 ? 1 : 0;
}
