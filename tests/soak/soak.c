/*
 * The fault soak: injects random faults into gateways, keepers and stand-ins
 * that run as processes, and checks every call by its answer and by the
 * workers' logs of what they ran.
 *
 *   soak SEED [SECONDS [WORKERS]]
 *
 * Prints the seed, each fault, each violation and the verdict.  Exit status: 0
 * without violations, 1 with some, 2 when a proxy cannot listen.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../programs/connection/http_connection.h"
#include "../daemons/gateway_cluster.h"
#include "history.h"
#include "proxy.h"
#include "rules.h"
#include "soak.h"

#define CLIENT_COUNT 24
#define EVENTS_PER_STREAM 10 /* as the workers send them */
#define PROXIES_MAX 64
#define RECOVERY_TIMEOUT (12 * KC_SECOND) /* recover_s of the platform */
#define CALL_TIMEOUT (6 * KC_SECOND)

/* ---- random numbers ------------------------------------------------------ */

static uint64_t random_state;

/* The next number of the seeded sequence, from 0 to limit - 1.  A seed replays
 * the same faults only while the order of draws stays the same. */
static uint64_t
draw_below(uint64_t limit)
{
    random_state =
        random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (random_state >> 33) % limit;
}

/* ---- the run ------------------------------------------------------------- */

typedef struct Client {
    int number;
    KcHttpConnection *connection; /* NULL between connections */
    KcTimer timer;                /* ends the call or begins the next one */
    KcTime deadline;
    struct Call *call; /* in progress, or NULL */
    int gateway;
} Client;

/* A proxy and the process before which it stands. */
typedef struct ProxiedProcess {
    Proxy *proxy;
    GatewayClusterRole role;
    int number;
} ProxiedProcess;

typedef struct Soak {
    KcLoop *loop;
    GatewayCluster *cluster;
    GatewayClusterOptions options;
    Client clients[CLIENT_COUNT];
    ProxiedProcess proxies[PROXIES_MAX];
    int proxy_count;
    Call *calls;
    int call_count;
    bool faults_ended; /* clients begin no more calls */
    KcTime faults_end_at;
    KcTimer fault_timer;
    int config_version; /* latest version written */
    bool has_extra_route;
    int adapter_version; /* latest version announced */
    int violation_count;
} Soak;

static Soak soak;

Call *
Soak_FindCall(const char *id)
{
    Call *call;

    HASH_FIND_STR(soak.calls, id, call);
    return call;
}

void
Soak_ReportViolation(const char *violation, const Call *call)
{
    soak.violation_count++;
    printf("BROKEN %s: request %s status %d runs %d whole %d\n", violation,
           call != NULL ? call->id : "", call != NULL ? call->status : 0,
           call != NULL ? call->run_count : 0,
           call != NULL ? call->is_complete : 0);
}

/* ---- callers ------------------------------------------------------------- */

static const struct {
    const char *path;
    const char *method;
    bool is_repeatable;
    bool is_stream;
} call_kinds[] = {
    {"/safe/x", "GET", true, false},
    {"/unsafe/x", "POST", false, false},
    {"/stream/x", "POST", false, true},
    {"/resume/x", "POST", true, true},
};

static void begin_call(Client *client);

static void
end_call(Client *client, bool keep_connection)
{
    KcTime pause = (KcTime)draw_below(60) * KC_MS;

    if (client->call != NULL) {
        client->call->ended_at = KcLoop_Now();
        client->call = NULL;
    }
    if (!keep_connection && client->connection != NULL) {
        KcHttpConnection_Close(client->connection);
        client->connection = NULL;
    }
    KcTimers_Set(soak.loop->timers, &client->timer, KcLoop_Now() + pause);
}

static void
on_connected(void *owner)
{
    begin_call(owner);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    Client *client = owner;
    const char *id = KcHttpMessage_FindField(message, "Attempt-Id");
    const char *server_seal = KcHttpMessage_FindField(message, "Server-Seal");

    if (client->call == NULL) {
        Soak_ReportViolation("an answer that nobody asked for", NULL);
        return;
    }
    client->call->answered_at = KcLoop_Now();
    client->call->status = message->status;
    client->call->is_misattributed =
        id != NULL && strcmp(id, client->call->id) != 0;
    KcText_Copy(client->call->server_seal,
                server_seal != NULL ? server_seal : "",
                sizeof(client->call->server_seal));
}

static void
on_body(void *owner, KcBytes bytes)
{
    Client *client = owner;

    if (client->call != NULL) {
        KcBuffer_Append(&client->call->body, bytes.data, bytes.size);
    }
}

static void
on_end(void *owner)
{
    Client *client = owner;

    if (client->call != NULL) {
        client->call->is_complete = true;
    }
    /* Kept until the gateway closes it or the client's timer does. */
    KcHttpConnection_ReadNextMessage(client->connection);
    end_call(client, true);
}

static void
on_failed(void *owner, int code)
{
    (void)code;
    end_call(owner, false);
}

static const KcHttpConnectionOps client_ops = {.on_connected = on_connected,
                                               .on_head = on_head,
                                               .on_body = on_body,
                                               .on_message_end = on_end,
                                               .on_failed = on_failed};

static void
connect_client(Client *client)
{
    KcHttpConnectionOptions options = {.loop = soak.loop,
                                       .ops = &client_ops,
                                       .owner = client,
                                       .head_bytes_max = 16384,
                                       .silence_timeout = CALL_TIMEOUT};

    client->gateway = (int)draw_below((uint64_t)soak.options.gateways);
    client->connection = KcHttpConnection_Connect(
        &options, GatewayCluster_GetAddress(
                      soak.cluster, GATEWAY_CLUSTER_GATEWAY, client->gateway));
    client->deadline = KcLoop_Now() + CALL_TIMEOUT;
    KcTimers_Set(soak.loop->timers, &client->timer, client->deadline);
}

static void
begin_call(Client *client)
{
    size_t kind_index = draw_below(sizeof(call_kinds) / sizeof(call_kinds[0]));
    Call *call = KcMem_New(sizeof(*call));

    snprintf(call->id, sizeof(call->id), "c%d-%d", client->number,
             soak.call_count++);
    call->gateway = client->gateway;
    call->sent_at = KcLoop_Now();
    call->ended_at = KC_NEVER;
    call->is_repeatable = call_kinds[kind_index].is_repeatable;
    call->is_stream = call_kinds[kind_index].is_stream;
    HASH_ADD_STR(soak.calls, id, call);
    client->call = call;
    client->deadline = KcLoop_Now() + CALL_TIMEOUT;
    KcTimers_Set(soak.loop->timers, &client->timer, client->deadline);
    evbuffer_add_printf(
        KcHttpConnection_Output(client->connection),
        "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\n"
        "Token-Count: 20,20\r\n%s%d%sContent-Length: 0\r\n\r\n",
        call_kinds[kind_index].method, call_kinds[kind_index].path, call->id,
        call->is_stream ? "Model: m/a" : "X: ", (int)draw_below(40), "\r\n");
}

static void
on_client_timer(KcTimer *timer, KcTime now)
{
    Client *client = timer->owner;

    (void)now;
    if (client->call != NULL ||
        (client->connection != NULL && draw_below(8) == 0)) {
        if (client->call != NULL) {
            client->call->is_abandoned = true;
        }
        end_call(client, false); /* the caller disconnects */
    }
    else if (soak.faults_ended) {
        return;
    }
    else if (client->connection == NULL) {
        connect_client(client);
    }
    else {
        begin_call(client);
    }
}

/* ---- faults -------------------------------------------------------------- */

/* What ends a fault, and when. */
typedef struct FaultEnd {
    TAILQ_ENTRY(FaultEnd) link;
    KcTimer timer;
    GatewayClusterRole role;
    int number;
    const char *knob; /* to set, or NULL */
    Proxy *proxy;     /* to set to PROXY_PASS, or NULL */
    int signal;       /* to send, or 0 */
    bool restart;     /* kills the process, if it runs, and starts it */
    Disturbance *disturbance;
} FaultEnd;

static TAILQ_HEAD(FaultEndList, FaultEnd)
    pending_fault_ends = TAILQ_HEAD_INITIALIZER(pending_fault_ends);

static void end_fault(FaultEnd *fault_end);

/* Sets a knob of a stand-in.  A paused one goes on first, as it could not set
 * its knobs. */
static void
set_knob(GatewayClusterRole role, int number, const char *knob)
{
    FaultEnd *fault_end;
    FaultEnd *next;

    TAILQ_FOREACH_SAFE (fault_end, &pending_fault_ends, link, next) {
        if (fault_end->role == role && fault_end->number == number &&
            fault_end->signal == SIGCONT) {
            end_fault(fault_end);
        }
    }
    GatewayCluster_SetKnob(soak.cluster, role, number, knob);
}

/* Ends a fault and frees its entry. */
static void
end_fault(FaultEnd *fault_end)
{
    KcTime now = KcLoop_Now();

    TAILQ_REMOVE(&pending_fault_ends, fault_end, link);
    KcTimers_Clear(soak.loop->timers, &fault_end->timer);
    if (fault_end->signal != 0) {
        GatewayCluster_SendSignal(soak.cluster, fault_end->role,
                                  fault_end->number, fault_end->signal);
    }
    if (fault_end->knob != NULL) {
        set_knob(fault_end->role, fault_end->number, fault_end->knob);
    }
    if (fault_end->proxy != NULL) {
        Proxy_SetMode(fault_end->proxy, PROXY_PASS);
    }
    if (fault_end->restart) {
        GatewayCluster_SendSignal(soak.cluster, fault_end->role,
                                  fault_end->number, SIGKILL);
        GatewayCluster_WaitForExit(soak.cluster, fault_end->role,
                                   fault_end->number);
        GatewayCluster_RestartProcess(soak.cluster, fault_end->role,
                                      fault_end->number);
        History_Begin(DISTURBANCE_RESTART, fault_end->role, fault_end->number,
                      now)
            ->ends_at = KcLoop_Now();
    }
    fault_end->disturbance->ends_at = KcLoop_Now();
    free(fault_end);
}

static void
on_fault_end_due(KcTimer *timer, KcTime now)
{
    (void)now;
    end_fault(timer->owner);
}

/* Notes that a fault begins, and schedules its end; the caller sets what ends
 * it. */
static FaultEnd *
schedule_fault_end(DisturbanceKind kind, GatewayClusterRole role, int number,
                   KcTime delay)
{
    FaultEnd *fault_end = KcMem_New(sizeof(*fault_end));

    fault_end->disturbance = History_Begin(kind, role, number, KcLoop_Now());

    fault_end->role = role;
    fault_end->number = number;
    KcTimer_Init(&fault_end->timer, on_fault_end_due, fault_end);
    TAILQ_INSERT_TAIL(&pending_fault_ends, fault_end, link);
    KcTimers_Set(soak.loop->timers, &fault_end->timer, KcLoop_Now() + delay);
    return fault_end;
}

static int
count_processes(GatewayClusterRole role)
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

static const char *const role_names[GATEWAY_CLUSTER_ROLE_COUNT] = {
    "store", "model worker", "keeper", "plain worker", "gateway"};

static KcTime
draw_fault_duration(void)
{
    return (KcTime)(200 + draw_below(2000)) * KC_MS;
}

static void
print_fault(const char *fault, GatewayClusterRole role, int number)
{
    printf("%7.3f %s: %s %d\n",
           (double)(KcLoop_Now() % (1000 * KC_SECOND)) / KC_SECOND, fault,
           role_names[role], number);
}

static GatewayClusterRole
draw_role(void)
{
    static const GatewayClusterRole roles[] = {
        GATEWAY_CLUSTER_LLM_WORKER, GATEWAY_CLUSTER_KEEPER,
        GATEWAY_CLUSTER_PLAIN_WORKER, GATEWAY_CLUSTER_GATEWAY};

    return roles[draw_below(4)];
}

static void
kill_process(void)
{
    GatewayClusterRole role = draw_role();
    int number = (int)draw_below((uint64_t)count_processes(role));

    print_fault("kill", role, number);
    GatewayCluster_SendSignal(soak.cluster, role, number, SIGKILL);
    schedule_fault_end(DISTURBANCE_RESTART, role, number,
                       draw_fault_duration())
        ->restart = true;
}

/* A planned stop has 5.5 s, longer than grace_s, before the restart kills it.
 */
static void
stop_gateway(void)
{
    int number = (int)draw_below((uint64_t)soak.options.gateways);

    print_fault("stop", GATEWAY_CLUSTER_GATEWAY, number);
    GatewayCluster_SendSignal(soak.cluster, GATEWAY_CLUSTER_GATEWAY, number,
                              SIGTERM);
    schedule_fault_end(DISTURBANCE_STOP, GATEWAY_CLUSTER_GATEWAY, number,
                       5500 * KC_MS)
        ->restart = true;
}

/* Only keepers and gateways; workers pause, see pause_worker(). */
static void
freeze_process(void)
{
    GatewayClusterRole role =
        draw_below(2) == 0 ? GATEWAY_CLUSTER_KEEPER : GATEWAY_CLUSTER_GATEWAY;
    int number = (int)draw_below((uint64_t)count_processes(role));

    print_fault("freeze", role, number);
    GatewayCluster_SendSignal(soak.cluster, role, number, SIGSTOP);
    schedule_fault_end(DISTURBANCE_FREEZE, role, number, draw_fault_duration())
        ->signal = SIGCONT;
}

static void
send_hangup(void)
{
    GatewayClusterRole role =
        draw_below(2) == 0 ? GATEWAY_CLUSTER_KEEPER : GATEWAY_CLUSTER_GATEWAY;
    int number = (int)draw_below((uint64_t)count_processes(role));

    print_fault("hang up", role, number);
    GatewayCluster_SendSignal(soak.cluster, role, number, SIGHUP);
}

/* Knobs that start and end a fault of a stand-in. */
static const struct {
    GatewayClusterRole role;
    const char *fault_on;
    const char *fault_off;
} knob_faults[] = {
    {GATEWAY_CLUSTER_STORE, "busy=80", "busy=0"},
    {GATEWAY_CLUSTER_STORE, "many=80", "many=0"},
    {GATEWAY_CLUSTER_STORE, "silent=100", "silent=0"},
    {GATEWAY_CLUSTER_STORE, "reset=80", "reset=0"},
    {GATEWAY_CLUSTER_STORE, "lost=60", "lost=0"},
    {GATEWAY_CLUSTER_STORE, "forget=1", "forget=0"},
    {GATEWAY_CLUSTER_STORE, "endless=80", "endless=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "refuse=60", "refuse=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "reset=20", "reset=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "truncate=20", "truncate=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "garbage=20", "garbage=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "mute=30", "mute=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "late_orders=50", "late_orders=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "load_ms=400", "load_ms=30"},
    {GATEWAY_CLUSTER_LLM_WORKER, "draining=1", "draining=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "endless=30", "endless=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "endless_report=60", "endless_report=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "endless=50", "endless=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "refuse=60", "refuse=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "error=50", "error=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "reset=50", "reset=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "truncate=50", "truncate=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "garbage=50", "garbage=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "extra=60", "extra=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "mute=50", "mute=0"},
};

static void
set_fault_knob(void)
{
    size_t index = draw_below(sizeof(knob_faults) / sizeof(knob_faults[0]));
    GatewayClusterRole role = knob_faults[index].role;
    int number = (int)draw_below((uint64_t)count_processes(role));

    print_fault(knob_faults[index].fault_on, role, number);
    set_knob(role, number, knob_faults[index].fault_on);
    schedule_fault_end(DISTURBANCE_KNOB, role, number, draw_fault_duration())
        ->knob = knob_faults[index].fault_off;
}

static void
set_proxy_fault(void)
{
    const ProxiedProcess *proxied =
        &soak.proxies[draw_below((uint64_t)soak.proxy_count)];
    ProxyMode mode = (ProxyMode)(1 + draw_below(PROXY_MODE_COUNT - 1));

    print_fault(ProxyMode_GetName(mode), proxied->role, proxied->number);
    Proxy_SetMode(proxied->proxy, mode);
    schedule_fault_end(DISTURBANCE_CUT, proxied->role, proxied->number,
                       draw_fault_duration())
        ->proxy = proxied->proxy;
}

static void
change_config(void)
{
    soak.has_extra_route = !soak.has_extra_route;
    printf("        configuration %d\n", ++soak.config_version);
    GatewayCluster_WriteConfig(soak.cluster, soak.config_version,
                               soak.has_extra_route);
}

static void
announce_version(void)
{
    char adapter[16];

    snprintf(adapter, sizeof(adapter), "a%d", (int)draw_below(40));
    GatewayCluster_AnnounceVersion(soak.cluster, adapter,
                                   ++soak.adapter_version);
}

static GatewayClusterRole
draw_worker_role(void)
{
    return draw_below(2) == 0 ? GATEWAY_CLUSTER_LLM_WORKER
                              : GATEWAY_CLUSTER_PLAIN_WORKER;
}

/* A worker says in its answers that it leaves, in one of two cases also in its
 * record, and goes on serving; another instance takes its place. */
static void
leave_worker(void)
{
    GatewayClusterRole role = draw_worker_role();
    int number = (int)draw_below((uint64_t)count_processes(role));
    const char *knob =
        draw_below(2) == 0 ? "leaving=1" : "leaving=1&draining=1";
    KcTime delay =
        (KcTime)(GATEWAY_CLUSTER_LEAVE_MS + 1000 + draw_below(3000)) * KC_MS;

    print_fault(knob, role, number);
    set_knob(role, number, knob);
    schedule_fault_end(DISTURBANCE_NOTICE, role, number, delay)->restart =
        true;
}

/* A worker turns requests away for one to three seconds, which ends by
 * itself. */
static void
close_worker(void)
{
    GatewayClusterRole role = draw_worker_role();
    int number = (int)draw_below((uint64_t)count_processes(role));
    int seconds = 1 + (int)draw_below(3);
    char knob[32];

    snprintf(knob, sizeof(knob), "retry_after=%d", seconds);
    print_fault(knob, role, number);
    set_knob(role, number, knob);
    schedule_fault_end(DISTURBANCE_NOTICE, role, number, seconds * KC_SECOND);
}

static void
pause_worker(void)
{
    GatewayClusterRole role = draw_worker_role();
    int number = (int)draw_below((uint64_t)count_processes(role));

    print_fault("pause", role, number);
    GatewayCluster_SendSignal(soak.cluster, role, number, SIGSTOP);
    schedule_fault_end(DISTURBANCE_FREEZE, role, number,
                       (KcTime)(800 + draw_below(400)) * KC_MS)
        ->signal = SIGCONT;
}

static void (*const fault_functions[])(void) = {
    kill_process,     kill_process,    stop_gateway,   freeze_process,
    send_hangup,      set_fault_knob,  set_fault_knob, set_fault_knob,
    set_fault_knob,   set_proxy_fault, change_config,  set_proxy_fault,
    announce_version, leave_worker,    close_worker,   pause_worker,
    pause_worker,
};

static void
on_fault(KcTimer *timer, KcTime now)
{
    if (now >= soak.faults_end_at) {
        KcLoop_Stop(soak.loop);
        return;
    }
    fault_functions[draw_below(sizeof(fault_functions) /
                               sizeof(fault_functions[0]))]();
    /* One in three follows within 20 ms, so that faults overlap. */
    KcTimers_Set(
        soak.loop->timers, timer,
        now +
            (KcTime)(draw_below(3) == 0 ? 20 : 100 + draw_below(700)) * KC_MS);
}

/* ---- checks -------------------------------------------------------------- */

/* Checks the logs of the workers of a role, which also counts their runs. */
static void
check_workers(GatewayClusterRole role, RuleCounts *counts)
{
    for (int i = 0; i < count_processes(role); i++) {
        char path[256];

        snprintf(path, sizeof(path), "%s/%d-%d.log",
                 GatewayCluster_GetDirectory(soak.cluster), (int)role, i);
        Rules_CheckWorker(path, role, i, counts);
    }
}

/* A complete stream has each event once and in order. */
static bool
is_stream_correct(const Call *call)
{
    const char *unread = KcBuffer_Data(&call->body);

    for (int i = 0; i < EVENTS_PER_STREAM; i++) {
        char event[64];

        snprintf(event, sizeof(event), "id: %d\ndata: piece %d\n\n", i, i);
        if (unread == NULL || strncmp(unread, event, strlen(event)) != 0) {
            return false;
        }
        unread += strlen(event);
    }
    return *unread == '\0';
}

static bool
is_plain_answer_correct(const Call *call)
{
    char body[128];

    snprintf(body, sizeof(body), "answer %s of %s", call->id,
             call->server_seal);
    return call->server_seal[0] != '\0' &&
           strcmp(KcBuffer_Data(&call->body), body) == 0;
}

static void
check_call(Call *call)
{
    bool claims_not_run = call->status == 408 || call->status == 421 ||
                          call->status == 429 || call->status == 503;

    KcBuffer_Append(&call->body, "", 1);
    if (!call->is_repeatable && call->run_count > 1) {
        Soak_ReportViolation("at most once", call);
    }
    if (call->is_repeatable && call->run_count > 2) {
        Soak_ReportViolation("more workers than allowed", call);
    }
    if (claims_not_run && !call->is_repeatable && call->run_count > 0) {
        Soak_ReportViolation("said not to run", call);
    }
    if (call->is_misattributed) {
        Soak_ReportViolation("another request's answer", call);
    }
    if (call->status == 404 || call->status == 400) {
        Soak_ReportViolation("denied", call);
    }
    if (call->status == 200 && call->is_complete &&
        !(call->is_stream ? is_stream_correct(call)
                          : is_plain_answer_correct(call))) {
        Soak_ReportViolation("wrong bytes", call);
    }
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
    check_workers(GATEWAY_CLUSTER_LLM_WORKER, &rule_counts);
    check_workers(GATEWAY_CLUSTER_PLAIN_WORKER, &rule_counts);
    HASH_ITER(hh, soak.calls, call, next)
    {
        check_call(call);
        outcome_counts[call->status == 200 && call->is_complete ? 0
                       : call->status == 0                      ? 2
                                                                : 1]++;
        HASH_DEL(soak.calls, call);
        KcBuffer_Clear(&call->body);
        free(call);
    }
    printf("%d answered, %d other answers, %d without; "
           "%d workers left, %d waits, %d held by a pause\n",
           outcome_counts[0], outcome_counts[1], outcome_counts[2],
           rule_counts.leavings, rule_counts.waits, rule_counts.pauses);
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
        int expected = served_paths < 4 || soak.has_extra_route ? 200 : 404;
        int size =
            snprintf(request, sizeof(request),
                     "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r%d-%" PRId64
                     "\r\nModel: m/a1\r\nContent-Length: 0\r\n"
                     "Connection: close\r\n\r\n",
                     paths[served_paths], gateway, KcLoop_Now());

        GatewayCluster_Exchange(
            GatewayCluster_GetAddress(soak.cluster, GATEWAY_CLUSTER_GATEWAY,
                                      gateway),
            request, (size_t)size, answer, sizeof(answer), 1000);
        if (strlen(answer) > 12 && atoi(answer + 9) == expected) {
            served_paths++;
        }
        else {
            printf("gateway %d, %s: %.12s\n", gateway, paths[served_paths],
                   answer);
        }
    }
    return served_paths == 5;
}

/* Runs has_recovered() in a child process, and the proxies meanwhile. */
static void
check_recovery(void)
{
    pid_t child;
    int status = 0;

    fflush(stdout);
    child = fork();
    if (child == 0) {
        bool all_recovered = true;

        for (int gateway = 0; gateway < soak.options.gateways; gateway++) {
            all_recovered = has_recovered(gateway) && all_recovered;
        }
        fflush(stdout);
        _exit(all_recovered ? 0 : 1);
    }
    while (waitpid(child, &status, WNOHANG) == 0) {
        KcTimers_Run(soak.loop->timers, KcLoop_Now());
        event_base_loop(soak.loop->base, EVLOOP_NONBLOCK);
        usleep(2000);
    }
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        Soak_ReportViolation("not recovered", NULL);
    }
}

/* ---- set-up -------------------------------------------------------------- */

static void
add_proxy(GatewayClusterRole role, int number)
{
    const char *target = GatewayCluster_GetAddress(soak.cluster, role, number);
    char listen[128];
    const char *colon = strrchr(target, ':');

    snprintf(listen, sizeof(listen), "%.*s:%d", (int)(colon - target), target,
             GATEWAY_CLUSTER_PROXY_PORT);
    soak.proxies[soak.proxy_count] = (ProxiedProcess){
        Proxy_Create(soak.loop, listen, target), role, number};
    if (soak.proxies[soak.proxy_count].proxy == NULL) {
        fprintf(stderr, "cannot listen on %s\n", listen);
        exit(2);
    }
    soak.proxy_count++;
}

static void
set_up(uint64_t seed, int workers)
{
    soak.options =
        (GatewayClusterOptions){.network_octet = (uint8_t)(60 + seed % 60),
                                .llm_workers = workers,
                                .plain_workers = workers,
                                .gateways = workers > 4 ? workers / 2 : 2,
                                .seed = seed,
                                .has_proxies = true};
    soak.loop = KcLoop_Create();
    soak.cluster = GatewayCluster_Start(&soak.options);
    soak.config_version = 1;
    soak.adapter_version = 1;
    add_proxy(GATEWAY_CLUSTER_STORE, 0);
    for (int i = 0; i < workers && i < 20; i++) {
        add_proxy(GATEWAY_CLUSTER_LLM_WORKER, i);
        add_proxy(GATEWAY_CLUSTER_PLAIN_WORKER, i);
    }
    for (int i = 0; i < CLIENT_COUNT; i++) {
        Client *client = &soak.clients[i];

        client->number = i;
        KcTimer_Init(&client->timer, on_client_timer, client);
        KcTimers_Set(soak.loop->timers, &client->timer,
                     KcLoop_Now() + KC_SECOND + i * 10 * KC_MS);
    }
    KcTimer_Init(&soak.fault_timer, on_fault, NULL);
    KcTimers_Set(soak.loop->timers, &soak.fault_timer,
                 KcLoop_Now() + 2 * KC_SECOND);
}

/* Ends every fault at once and stops new calls. */
static void
end_all_faults(void)
{
    FaultEnd *fault_end;

    soak.faults_ended = true;
    while ((fault_end = TAILQ_FIRST(&pending_fault_ends)) != NULL) {
        end_fault(fault_end);
    }
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    int seconds = argc > 2 ? atoi(argv[2]) : 10;
    int workers = argc > 3 ? atoi(argv[3]) : 2;

    printf("seed %" PRIu64 ", %d s, %d workers of a kind\n", seed, seconds,
           workers);
    random_state = seed * 2654435761u + 1;
    set_up(seed, workers);
    soak.faults_end_at = KcLoop_Now() + (seconds + 2) * KC_SECOND;
    KcLoop_Run(soak.loop);
    end_all_faults();
    check_recovery();
    for (int i = 0; i < CLIENT_COUNT; i++) {
        KcTimers_Clear(soak.loop->timers, &soak.clients[i].timer);
        if (soak.clients[i].connection != NULL) {
            KcHttpConnection_Close(soak.clients[i].connection);
        }
    }
    check_calls();
    for (int i = 0; i < soak.proxy_count; i++) {
        Proxy_Free(soak.proxies[i].proxy);
    }
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
