/*
 * Random faults: their table, and what ends each of them.
 */
#include "faults.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history.h"
#include "keys.h"
#include "proxy.h"
#include "soak.h"

#define PROCESSES_MAX 64 /* in a role */
#define FLAPS 3          /* in a row */
/* Of a gateway that is slow. */
#define SLOW_PAUSES 20
#define SLOW_PERIOD (100 * KC_MS)
#define PROXIES_MAX (2 * PROCESSES_MAX + 1)

/* A proxy and the process before which it stands. */
typedef struct ProxiedProcess {
    Proxy *proxy;
    GatewayClusterRole role;
    int number;
} ProxiedProcess;

typedef struct Faults {
    FaultsOptions options;
    ProxiedProcess proxies[PROXIES_MAX];
    int proxy_count;
    KcTimer fault_timer;
    KcTime end_at;                   /* no fault begins later */
    pid_t ended_pids[PROCESSES_MAX]; /* of model workers that ended */
    int config_version;              /* latest version written */
    bool has_extra_route;
    GatewayClusterLimits limits; /* of the latest version */
    int adapter_version;         /* latest version announced */
    int next_stopped_gateway;    /* of gateways that are stopped in turn */
    int gateways_to_stop;
} Faults;

static Faults faults;

/* ---- the end of a fault -------------------------------------------------- */

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
    GatewayCluster_SetKnob(faults.options.cluster, role, number, knob);
}

/* Ends a fault and frees its entry. */
static void
end_fault(FaultEnd *fault_end)
{
    KcTime now = KcLoop_Now();

    TAILQ_REMOVE(&pending_fault_ends, fault_end, link);
    KcTimers_Clear(faults.options.loop->timers, &fault_end->timer);
    if (fault_end->signal != 0) {
        GatewayCluster_SendSignal(faults.options.cluster, fault_end->role,
                                  fault_end->number, fault_end->signal);
    }
    if (fault_end->knob != NULL) {
        set_knob(fault_end->role, fault_end->number, fault_end->knob);
    }
    if (fault_end->proxy != NULL) {
        Proxy_SetMode(fault_end->proxy, PROXY_PASS);
    }
    if (fault_end->restart) {
        GatewayCluster_SendSignal(faults.options.cluster, fault_end->role,
                                  fault_end->number, SIGKILL);
        GatewayCluster_WaitForExit(faults.options.cluster, fault_end->role,
                                   fault_end->number);
        GatewayCluster_RestartProcess(faults.options.cluster, fault_end->role,
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
    KcTimers_Set(faults.options.loop->timers, &fault_end->timer,
                 KcLoop_Now() + delay);
    return fault_end;
}

static const char *const role_names[GATEWAY_CLUSTER_ROLE_COUNT] = {
    "store", "model worker", "keeper", "plain worker", "gateway"};

static KcTime
draw_fault_duration(void)
{
    return (KcTime)(200 + Soak_DrawBelow(2000)) * KC_MS;
}

/* Larger clusters get more faults at a time, and longer ones of workers, as
 * each worker has fewer requests. */
static int
get_pace(void)
{
    return 1 + Soak_CountProcesses(GATEWAY_CLUSTER_GATEWAY) / 8;
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

    return roles[Soak_DrawBelow(4)];
}

static GatewayClusterRole
draw_worker_role(void)
{
    return Soak_DrawBelow(2) == 0 ? GATEWAY_CLUSTER_LLM_WORKER
                                  : GATEWAY_CLUSTER_PLAIN_WORKER;
}

static void
kill_process(void)
{
    GatewayClusterRole role = draw_role();
    int number = (int)Soak_DrawBelow((uint64_t)Soak_CountProcesses(role));

    print_fault("kill", role, number);
    GatewayCluster_SendSignal(faults.options.cluster, role, number, SIGKILL);
    schedule_fault_end(DISTURBANCE_RESTART, role, number,
                       draw_fault_duration())
        ->restart = true;
}

/* A planned stop has 5.5 s, longer than grace_s, before the restart kills it.
 */
static void
stop_gateway_number(int number)
{
    print_fault("stop", GATEWAY_CLUSTER_GATEWAY, number);
    GatewayCluster_SendSignal(faults.options.cluster, GATEWAY_CLUSTER_GATEWAY,
                              number, SIGTERM);
    schedule_fault_end(DISTURBANCE_STOP, GATEWAY_CLUSTER_GATEWAY, number,
                       5500 * KC_MS)
        ->restart = true;
}

static int
draw_gateway(void)
{
    return (int)Soak_DrawBelow(
        (uint64_t)Soak_CountProcesses(GATEWAY_CLUSTER_GATEWAY));
}

static void
stop_gateway(void)
{
    stop_gateway_number(draw_gateway());
}

/* Up to a quarter of the gateways, one with each of the next faults. */
static void
stop_gateways_in_turn(void)
{
    faults.next_stopped_gateway = draw_gateway();
    faults.gateways_to_stop = Soak_CountProcesses(GATEWAY_CLUSTER_GATEWAY) / 4;
}

static void
stop_next_gateway(void)
{
    if (faults.gateways_to_stop > 0) {
        faults.gateways_to_stop--;
        stop_gateway_number(faults.next_stopped_gateway++ %
                            Soak_CountProcesses(GATEWAY_CLUSTER_GATEWAY));
    }
}

/* Schedules a signal, which is sent earlier if all faults end. */
static void
schedule_signal(DisturbanceKind kind, GatewayClusterRole role, int number,
                KcTime delay, int signal)
{
    schedule_fault_end(kind, role, number, delay)->signal = signal;
}

/* A worker goes down and up by turns. */
static void
flap_worker(void)
{
    GatewayClusterRole role = draw_worker_role();
    int number = (int)Soak_DrawBelow((uint64_t)Soak_CountProcesses(role));
    KcTime period = (KcTime)(300 + Soak_DrawBelow(700)) * KC_MS;

    print_fault("flap", role, number);
    for (int i = 0; i < FLAPS; i++) {
        schedule_signal(DISTURBANCE_RESTART, role, number, i * period,
                        SIGKILL);
        schedule_fault_end(DISTURBANCE_RESTART, role, number,
                           i * period + period / 2)
            ->restart = true;
    }
}

/* A gateway has a tenth to a half of its time. */
static void
slow_gateway(void)
{
    int number = draw_gateway();
    KcTime pause = (KcTime)(50 + Soak_DrawBelow(40)) * KC_MS;

    print_fault("slow", GATEWAY_CLUSTER_GATEWAY, number);
    for (int i = 0; i < SLOW_PAUSES; i++) {
        schedule_signal(DISTURBANCE_FREEZE, GATEWAY_CLUSTER_GATEWAY, number,
                        i * SLOW_PERIOD, SIGSTOP);
        schedule_signal(DISTURBANCE_FREEZE, GATEWAY_CLUSTER_GATEWAY, number,
                        i * SLOW_PERIOD + pause, SIGCONT);
    }
}

/* Beyond the deadline of most requests that it has. */
static void
freeze_gateway_long(void)
{
    int number = draw_gateway();

    print_fault("long freeze", GATEWAY_CLUSTER_GATEWAY, number);
    GatewayCluster_SendSignal(faults.options.cluster, GATEWAY_CLUSTER_GATEWAY,
                              number, SIGSTOP);
    schedule_signal(DISTURBANCE_FREEZE, GATEWAY_CLUSTER_GATEWAY, number,
                    (KcTime)(2300 + Soak_DrawBelow(500)) * KC_MS, SIGCONT);
}

/* Only keepers and gateways; workers pause, see pause_worker(). */
static void
freeze_process(void)
{
    GatewayClusterRole role = Soak_DrawBelow(2) == 0 ? GATEWAY_CLUSTER_KEEPER
                                                     : GATEWAY_CLUSTER_GATEWAY;
    int number = (int)Soak_DrawBelow((uint64_t)Soak_CountProcesses(role));

    print_fault("freeze", role, number);
    GatewayCluster_SendSignal(faults.options.cluster, role, number, SIGSTOP);
    schedule_fault_end(DISTURBANCE_FREEZE, role, number, draw_fault_duration())
        ->signal = SIGCONT;
}

static void
send_hangup(void)
{
    GatewayClusterRole role = Soak_DrawBelow(2) == 0 ? GATEWAY_CLUSTER_KEEPER
                                                     : GATEWAY_CLUSTER_GATEWAY;
    int number = (int)Soak_DrawBelow((uint64_t)Soak_CountProcesses(role));

    print_fault("hang up", role, number);
    GatewayCluster_SendSignal(faults.options.cluster, role, number, SIGHUP);
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
    {GATEWAY_CLUSTER_PLAIN_WORKER, "error=50&error_status=503",
     "error=0&error_status=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "error=50&error_status=429",
     "error=0&error_status=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "error=30&error_status=503",
     "error=0&error_status=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "reset=50", "reset=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "truncate=50", "truncate=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "garbage=50", "garbage=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "extra=60", "extra=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "stray=30", "stray=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "stray=30&refuse=60", "stray=0&refuse=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "stray=30", "stray=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "stray=30&refuse=60", "stray=0&refuse=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "mute=50", "mute=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "mute=20&refuse=60", "mute=0&refuse=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "idle_race=60", "idle_race=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "idle_race=60", "idle_race=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "early=60", "early=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "early=60", "early=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "early=60&stray=30", "early=0&stray=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "work_ms=300", "work_ms=5"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "work_ms=60&places=1",
     "work_ms=5&places=8"},
    {GATEWAY_CLUSTER_LLM_WORKER, "work_ms=100&places=2", "work_ms=5&places=8"},
    {GATEWAY_CLUSTER_LLM_WORKER, "unframed=40", "unframed=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "unframed=40", "unframed=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "unframed=40&unframed_end=1",
     "unframed=0&unframed_end=0"},
    {GATEWAY_CLUSTER_PLAIN_WORKER, "unframed=40&unframed_end=1",
     "unframed=0&unframed_end=0"},
    {GATEWAY_CLUSTER_LLM_WORKER, "unframed=40&unframed_end=2",
     "unframed=0&unframed_end=0"},
};

static void
set_fault_knob(void)
{
    size_t index =
        Soak_DrawBelow(sizeof(knob_faults) / sizeof(knob_faults[0]));
    GatewayClusterRole role = knob_faults[index].role;
    int number = (int)Soak_DrawBelow((uint64_t)Soak_CountProcesses(role));

    print_fault(knob_faults[index].fault_on, role, number);
    set_knob(role, number, knob_faults[index].fault_on);
    schedule_fault_end(DISTURBANCE_KNOB, role, number,
                       draw_fault_duration() * get_pace())
        ->knob = knob_faults[index].fault_off;
}

static void
set_proxy_fault(void)
{
    const ProxiedProcess *proxied =
        &faults.proxies[Soak_DrawBelow((uint64_t)faults.proxy_count)];
    ProxyMode mode = (ProxyMode)(1 + Soak_DrawBelow(PROXY_MODE_COUNT - 1));

    print_fault(ProxyMode_GetName(mode), proxied->role, proxied->number);
    Proxy_SetMode(proxied->proxy, mode);
    schedule_fault_end(DISTURBANCE_CUT, proxied->role, proxied->number,
                       draw_fault_duration())
        ->proxy = proxied->proxy;
}

static int
lower_limit(int limit, int step, int min)
{
    return limit - step > min ? limit - step : min;
}

/* The limits only fall: what the latest version allows was allowed by every
 * one that a gateway may still use. */
static void
change_config(void)
{
    faults.has_extra_route = !faults.has_extra_route;
    faults.limits = (GatewayClusterLimits){
        lower_limit(faults.limits.body_bytes_max, 4096, 4096),
        lower_limit(faults.limits.header_timeout_ms, 50, 500),
        lower_limit(faults.limits.idle_timeout_ms, 200, 1000)};
    History_Begin(DISTURBANCE_LIMITS, GATEWAY_CLUSTER_STORE, 0, KcLoop_Now())
        ->ends_at = KcLoop_Now();
    printf("        configuration %d\n", ++faults.config_version);
    GatewayCluster_SetCustomers(faults.options.cluster,
                                Keys_GetCustomers(faults.config_version));
    GatewayCluster_WriteLimits(faults.options.cluster, faults.config_version,
                               faults.has_extra_route, &faults.limits);
}

static void
announce_version(void)
{
    char adapter[16];

    snprintf(adapter, sizeof(adapter), "a%d", (int)Soak_DrawBelow(40));
    GatewayCluster_AnnounceVersion(faults.options.cluster, adapter,
                                   ++faults.adapter_version);
}

/* A worker says in its answers that it leaves, in one of two cases also in its
 * record, and goes on serving; another instance takes its place. */
static void
leave_worker(void)
{
    GatewayClusterRole role = draw_worker_role();
    int number = (int)Soak_DrawBelow((uint64_t)Soak_CountProcesses(role));
    const char *knob =
        Soak_DrawBelow(2) == 0 ? "leaving=1" : "leaving=1&draining=1";
    KcTime delay =
        (KcTime)(GATEWAY_CLUSTER_LEAVE_MS + 1000 + Soak_DrawBelow(3000)) *
        KC_MS;

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
    int number = (int)Soak_DrawBelow((uint64_t)Soak_CountProcesses(role));
    int seconds = 1 + (int)Soak_DrawBelow(3);
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
    int number = (int)Soak_DrawBelow((uint64_t)Soak_CountProcesses(role));

    print_fault("pause", role, number);
    GatewayCluster_SendSignal(faults.options.cluster, role, number, SIGSTOP);
    schedule_fault_end(DISTURBANCE_FREEZE, role, number,
                       (KcTime)(800 + Soak_DrawBelow(400)) * KC_MS)
        ->signal = SIGCONT;
}

/* Half of the callers ask in the name of one customer for many times its
 * quota, for longer than a window of quotas. */
static void
heat_customer(void)
{
    const Customer *customer = Keys_GetHotCustomer(Soak_DrawBelow(2));
    KcTime duration = (KcTime)(4000 + Soak_DrawBelow(8000)) * KC_MS;

    printf("%7.3f hot for %d ms: customer %s\n",
           (double)(KcLoop_Now() % (1000 * KC_SECOND)) / KC_SECOND,
           (int)(duration / KC_MS), customer->name);
    Keys_Heat(customer, KcLoop_Now() + duration);
}

static void (*const fault_functions[])(void) = {
    kill_process,     kill_process,          stop_gateway,
    freeze_process,   send_hangup,           set_fault_knob,
    set_fault_knob,   set_fault_knob,        set_fault_knob,
    set_proxy_fault,  change_config,         set_proxy_fault,
    announce_version, leave_worker,          close_worker,
    pause_worker,     pause_worker,          flap_worker,
    slow_gateway,     freeze_gateway_long,   set_fault_knob,
    set_fault_knob,   stop_gateways_in_turn, heat_customer,
};

static void
on_fault(KcTimer *timer, KcTime now)
{
    if (now >= faults.end_at) {
        return;
    }
    fault_functions[Soak_DrawBelow(sizeof(fault_functions) /
                                   sizeof(fault_functions[0]))]();
    stop_next_gateway();
    /* One in three follows within 20 ms, so that faults overlap. */
    KcTimers_Set(faults.options.loop->timers, timer,
                 now + (KcTime)(Soak_DrawBelow(3) == 0
                                    ? 20
                                    : 100 + Soak_DrawBelow(700)) *
                           KC_MS / get_pace());
}

/* ---- start and end ------------------------------------------------------- */

static void
add_proxy(GatewayClusterRole role, int number)
{
    const char *target =
        GatewayCluster_GetAddress(faults.options.cluster, role, number);
    char listen[128];
    const char *colon = strrchr(target, ':');

    snprintf(listen, sizeof(listen), "%.*s:%d", (int)(colon - target), target,
             GATEWAY_CLUSTER_PROXY_PORT);
    faults.proxies[faults.proxy_count] = (ProxiedProcess){
        Proxy_Create(faults.options.loop, listen, target), role, number};
    if (faults.proxies[faults.proxy_count].proxy == NULL) {
        fprintf(stderr, "cannot listen on %s\n", listen);
        exit(2);
    }
    faults.proxy_count++;
}

void
Faults_Start(const FaultsOptions *options)
{
    faults.options = *options;
    faults.config_version = 1;
    faults.limits = GatewayCluster_UsualLimits;
    faults.adapter_version = 1;
    add_proxy(GATEWAY_CLUSTER_STORE, 0);
    for (int i = 0; i < options->cluster_options->llm_workers; i++) {
        add_proxy(GATEWAY_CLUSTER_LLM_WORKER, i);
    }
    for (int i = 0; i < options->cluster_options->plain_workers; i++) {
        add_proxy(GATEWAY_CLUSTER_PLAIN_WORKER, i);
    }
    KcTimer_Init(&faults.fault_timer, on_fault, NULL);
}

void
Faults_Inject(KcTime begin_at, KcTime end_at)
{
    faults.end_at = end_at;
    KcTimers_Set(faults.options.loop->timers, &faults.fault_timer, begin_at);
}

void
Faults_RestartEnded(void)
{
    GatewayClusterRole role = GATEWAY_CLUSTER_LLM_WORKER;

    for (int i = 0; i < Soak_CountProcesses(role); i++) {
        pid_t pid = GatewayCluster_GetPid(faults.options.cluster, role, i);

        if (pid != faults.ended_pids[i] &&
            GatewayCluster_HasExited(faults.options.cluster, role, i)) {
            faults.ended_pids[i] = pid;
            print_fault("ended", role, i);
            schedule_fault_end(DISTURBANCE_RESTART, role, i,
                               draw_fault_duration())
                ->restart = true;
        }
    }
}

bool
Faults_HasExtraRoute(void)
{
    return faults.has_extra_route;
}

const GatewayClusterLimits *
Faults_GetLimits(void)
{
    return &faults.limits;
}

void
Faults_EndAll(void)
{
    FaultEnd *fault_end;

    while ((fault_end = TAILQ_FIRST(&pending_fault_ends)) != NULL) {
        end_fault(fault_end);
    }
}

void
Faults_FreeProxies(void)
{
    for (int i = 0; i < faults.proxy_count; i++) {
        Proxy_Free(faults.proxies[i].proxy);
    }
}
