/*
 * Injects faults into entries, agents and stand-ins while calls run, and
 * checks every answer against the executions that the stand-ins counted.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "traffic.h"

#define TOKENS_PER_ANSWER 10

/* Longer than a lease (6 s) with its expiry margin. */
#define LEASE_EXPIRY_WAIT_MS 11000

static void
kill_model_agent(Traffic *traffic)
{
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_AGENT, 0, SIGKILL);
    EntryCluster_WaitForExit(traffic->cluster, ENTRY_CLUSTER_AGENT, 0);
    Traffic_Run(traffic, 500);
    EntryCluster_RestartProcess(traffic->cluster, ENTRY_CLUSTER_AGENT, 0);
}

static void
kill_plain_agent(Traffic *traffic)
{
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_AGENT, 2, SIGKILL);
    EntryCluster_WaitForExit(traffic->cluster, ENTRY_CLUSTER_AGENT, 2);
    Traffic_Run(traffic, 500);
    EntryCluster_RestartProcess(traffic->cluster, ENTRY_CLUSTER_AGENT, 2);
}

static void
kill_entry(Traffic *traffic)
{
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_ENTRY, 0, SIGKILL);
    EntryCluster_WaitForExit(traffic->cluster, ENTRY_CLUSTER_ENTRY, 0);
    Traffic_Run(traffic, 300);
    EntryCluster_RestartProcess(traffic->cluster, ENTRY_CLUSTER_ENTRY, 0);
    EntryCluster_WaitUntilReady(traffic->cluster, ENTRY_CLUSTER_ENTRY, 0);
}

static void
freeze_model_agent(Traffic *traffic)
{
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_AGENT, 1, SIGSTOP);
    Traffic_Run(traffic, 1000);
    EntryCluster_RunLoop(traffic->loop, LEASE_EXPIRY_WAIT_MS);
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_AGENT, 1, SIGCONT);
}

static void
freeze_plain_agent(Traffic *traffic)
{
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_AGENT, 3, SIGSTOP);
    Traffic_Run(traffic, 500);
    EntryCluster_RunLoop(traffic->loop, 4000);
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_AGENT, 3, SIGCONT);
}

static void
restart_engine(Traffic *traffic)
{
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_ENGINE, 0,
                         "restart=1");
}

static void
truncate_answers(Traffic *traffic)
{
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_ENGINE, 0, "cut=3");
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_ENGINE, 1, "cut=3");
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_PLAIN_SERVICE, 0,
                         "cut=2");
}

static void
send_odd_events(Traffic *traffic)
{
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_ENGINE, 0,
                         "odd_event=3");
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_ENGINE, 1,
                         "odd_event=3");
}

static void
answer_from_wrong_model(Traffic *traffic)
{
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_ENGINE, 0,
                         "wrong_model=3");
}

static void
fail_loads(Traffic *traffic)
{
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_ENGINE, 0,
                         "fail_loads=4");
}

static void
stop_object_api(Traffic *traffic)
{
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_OBJECT_API, 0,
                         "outage=1");
    Traffic_Run(traffic, 1500);
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_OBJECT_API, 0,
                         "outage=0");
}

static void
lose_object_api_replies(Traffic *traffic)
{
    EntryCluster_SetKnob(traffic->cluster, ENTRY_CLUSTER_OBJECT_API, 0,
                         "lose_replies=5");
}

/* An agent that is stopped by SIGTERM finishes its requests and exits with
 * status 0. */
static void
stop_model_agent(Traffic *traffic)
{
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_AGENT, 0, SIGTERM);
    /* A repeated SIGTERM is ignored. */
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_AGENT, 0, SIGTERM);
    Traffic_Run(traffic, 600);
    g_assert_cmpint(
        EntryCluster_WaitForExit(traffic->cluster, ENTRY_CLUSTER_AGENT, 0), ==,
        0);
    EntryCluster_RestartProcess(traffic->cluster, ENTRY_CLUSTER_AGENT, 0);
}

/* An entry does the same; new calls to it may not run. */
static void
stop_entry(Traffic *traffic)
{
    EntryCluster_SendSignal(traffic->cluster, ENTRY_CLUSTER_ENTRY, 1, SIGTERM);
    Traffic_WaitUntilDone(traffic);
    g_assert_cmpint(
        EntryCluster_WaitForExit(traffic->cluster, ENTRY_CLUSTER_ENTRY, 1), ==,
        0);
    EntryCluster_RestartProcess(traffic->cluster, ENTRY_CLUSTER_ENTRY, 1);
    EntryCluster_WaitUntilReady(traffic->cluster, ENTRY_CLUSTER_ENTRY, 1);
}

/* How calls may end while a fault lasts.  A violation is never allowed. */
static const struct {
    const char *name;
    void (*inject_fault)(Traffic *traffic);
    bool may_be_unknown;       /* beside duplicates, which always are */
    bool may_lose_connections; /* of callers to the entry */
    bool may_be_not_run;
} fault_cases[] = {
    {"model agent killed", kill_model_agent, false, false, true},
    {"plain agent killed", kill_plain_agent, true, false, true},
    {"entry killed", kill_entry, true, true, true},
    {"model agent frozen until its lease expires", freeze_model_agent, false,
     false, true},
    {"plain agent frozen", freeze_plain_agent, true, false, true},
    {"engine restarted", restart_engine, false, false, false},
    {"answers truncated", truncate_answers, true, false, false},
    {"events that are no JSON", send_odd_events, true, false, false},
    {"answers from a wrong model", answer_from_wrong_model, false, false,
     false},
    {"loads fail", fail_loads, false, false, true},
    {"object API unavailable", stop_object_api, false, false, true},
    {"replies of the object API lost", lose_object_api_replies, false, false,
     false},
    {"model agent stopped by SIGTERM", stop_model_agent, false, false, false},
    {"entry stopped by SIGTERM", stop_entry, false, false, true},
};

/* Number of answers that report a duplicate, whose outcome is unknown. */
static uint32_t
count_duplicates(const Traffic *traffic)
{
    const TrafficCall *call;
    uint32_t count = 0;

    TAILQ_FOREACH (call, &traffic->calls, link) {
        count += strstr(KcBuffer_Data(&call->body), "\"duplicate\"") != NULL;
    }
    return count;
}

static void
run_case(EntryCluster *cluster, size_t i)
{
    TrafficResult result;
    Traffic traffic;

    Traffic_Init(&traffic, cluster, TOKENS_PER_ANSWER);
    Traffic_Run(&traffic, 400);
    fault_cases[i].inject_fault(&traffic);
    Traffic_Run(&traffic, 400);
    Traffic_WaitUntilDone(&traffic);
    result = Traffic_CheckCalls(&traffic);
    g_test_message("%s: %u calls, %u answered, %u not run, %u unknown "
                   "(%u duplicates), %u lost, %u wrong",
                   fault_cases[i].name, traffic.call_count, result.answered,
                   result.not_run, result.unknown, count_duplicates(&traffic),
                   result.lost_connections, result.violations);
    g_assert_cmpuint(result.violations, ==, 0);
    g_assert_cmpuint(result.answered, >, 0);
    if (!fault_cases[i].may_be_unknown) {
        g_assert_cmpuint(result.unknown, ==, count_duplicates(&traffic));
    }
    if (!fault_cases[i].may_lose_connections) {
        g_assert_cmpuint(result.lost_connections, ==, 0);
    }
    if (!fault_cases[i].may_be_not_run) {
        g_assert_cmpuint(result.not_run, ==, 0);
    }
    Traffic_Clear(&traffic);
}

static void
test_faults(void)
{
    EntryClusterOptions options = {
        .entries = 2,
        .model_agents = 2,
        .plain_agents = 2,
        /* Slow enough that a fault meets running calls. */
        .engine_knobs = "token_ms=10",
        .service_knobs = "delay_ms=60"};

    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        EntryCluster *cluster = EntryCluster_Start(&options);

        run_case(cluster, i);
        EntryCluster_Stop(cluster);
    }
}

/* Guards against one caller that stops reading its stream holding up the
 * other streams of its entry, or losing part of its answer. */
static void
test_slow_reader(void)
{
    EntryClusterOptions options = {.entries = 2,
                                   .model_agents = 2,
                                   .plain_agents = 2,
                                   .engine_knobs = "token_ms=0"};
    EntryCluster *cluster = EntryCluster_Start(&options);
    TrafficResult result;
    TrafficCall *slow_call;
    Traffic traffic;

    Traffic_Init(&traffic, cluster, 20000);
    slow_call = Traffic_CallModel(&traffic, 0, 1, 2, true);
    while (slow_call->status == 0) {
        EntryCluster_RunLoop(traffic.loop, 1);
    }
    KcHttpCall_SetReadPaused(slow_call->http_call, true);
    for (int i = 0; i < 8; i++) {
        Traffic_CallModel(&traffic, 0, 1, 2, true);
        EntryCluster_RunLoop(traffic.loop, 20);
    }
    while (traffic.calls_in_progress > 1) {
        EntryCluster_RunLoop(traffic.loop, 10);
    }
    g_assert_false(slow_call->has_ended);
    KcHttpCall_SetReadPaused(slow_call->http_call, false);
    Traffic_WaitUntilDone(&traffic);
    result = Traffic_CheckCalls(&traffic);
    g_assert_cmpuint(result.violations, ==, 0);
    g_assert_cmpuint(result.answered, ==, 9);
    Traffic_Clear(&traffic);
    EntryCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/daemons/slow_reader", test_slow_reader);
    g_test_add_func("/daemons/faults", test_faults);
    return g_test_run();
}
