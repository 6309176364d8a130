/*
 * Tests gateways as processes while the store holds an entry that can't be
 * decoded, or a configuration under a name that is not its own: such an entry
 * stands for nothing, and all others hold.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../json_cases.h"
#include "../steps.h"
#include "gateway_cluster.h"

/* Longer than any change may take to be in force, for a busy machine. */
#define KNOWN_TIMEOUT (10 * G_USEC_PER_SEC)
#define REQUESTS 20
#define NAME "odd"
#define WORKER_LOG "peer=plain-%d step=\"servers\" msg=\"server is ready"

static GatewayCluster *cluster;
static uint8_t network_octet;

/* Names of entries, as they stand in a path, which in a list come before those
 * of sound workers and fill more than one page. */
#define NAME_COUNT 120
#define ODD_NAME "a%%26b%%3Dc%%20d%%2Be%%23f%%25g%%2F%d"

/* Without the routes of the one in force. */
#define OTHER_CONFIG                                                          \
    "{'version':9,'routes':[{'name':'odd','host':'odd','path_prefix':'/odd/'" \
    ",'kind':'safe','timeout_ms':1000,'goal_ms':500,'priority':1,"            \
    "'service':'plain','max_attempts':1}],'services':[{'name':'plain',"       \
    "'health_path':'/health','conn_limit':100}],'limits':{"                   \
    "'max_header_bytes':4096,'max_body_bytes':4096,"                          \
    "'header_timeout_ms':2000,'idle_timeout_ms':2000}}"

static const struct {
    const char *name;
    const char *collection;
    const char *value; /* see json_cases.h */
    bool is_restart;   /* of the gateway, when the entry has been written */
    bool has_names;    /* NAME_COUNT entries in place of one */
} cases[] = {
    {"nested worker, restart", "servers", "DEEP", true, false},
    {"nested worker, running", "servers", "DEEP", false, false},
    {"nested field, restart", "servers",
     "{'service':'plain','address':'127.0.0.1:1','x':DEEP}", true, false},
    {"nested field, running", "servers",
     "{'service':'plain','address':'127.0.0.1:1','x':DEEP}", false, false},
    {"number beyond 64 bits, restart", "servers",
     "{'slots':123456789012345678901234567890}", true, false},
    {"number beyond 64 bits, running", "servers",
     "{'slots':123456789012345678901234567890}", false, false},
    {"number of another type, restart", "servers",
     "{'service':'plain','address':'127.0.0.1:1','zone':'a',"
     "'slots':'1','state':'ready'}",
     true, false},
    {"number of another type, running", "servers",
     "{'service':'plain','address':'127.0.0.1:1','zone':'a',"
     "'slots':'1','state':'ready'}",
     false, false},
    {"bytes that are no UTF-8, restart", "servers", "{'service':'\xff'}", true,
     false},
    {"bytes that are no UTF-8, running", "servers", "{'service':'\xff'}",
     false, false},
    {"nested version, restart", "versions", "DEEP", true, false},
    {"nested version, running", "versions", "DEEP", false, false},
    {"nested configuration, restart", "config", "DEEP", true, false},
    {"nested configuration, running", "config", "DEEP", false, false},
    {"a later configuration under another name, restart", "config",
     OTHER_CONFIG, true, false},
    {"a later configuration under another name, running", "config",
     OTHER_CONFIG, false, false},
    {"nested record of a gateway, restart", "gateways", "DEEP", true, false},
    {"names with delimiters, restart", "servers",
     "{'service':'other','address':'127.0.0.1:1','zone':'a',"
     "'slots':1,'state':'ready'}",
     true, true},
    {"names with delimiters, running", "servers",
     "{'service':'other','address':'127.0.0.1:1','zone':'a',"
     "'slots':1,'state':'ready'}",
     false, true},
    {"names with delimiters, nested, restart", "servers", "DEEP", true, true},
    {"names with delimiters, nested, running", "servers", "DEEP", false, true},
};

static int
send_request(int number)
{
    char request[256];
    char answer[4096];
    int size = snprintf(request, sizeof(request),
                        "GET /safe/x HTTP/1.1\r\nHost: h\r\n"
                        "Attempt-Id: r%d\r\nConnection: close\r\n\r\n",
                        number);

    GatewayCluster_Exchange(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0),
        request, (size_t)size, answer, sizeof(answer), 3000);
    return GatewayCluster_ReadStatus(answer);
}

/* Waits until the gateway's log, which may hold it already, has a line with a
 * number. */
static void
wait_for_log(const char *format, int number)
{
    char *line = g_strdup_printf(format, number);
    gint64 started_at = g_get_monotonic_time();
    bool is_found = false;

    while (!is_found && g_get_monotonic_time() < started_at + KNOWN_TIMEOUT) {
        char *log;

        g_usleep(10000);
        log = GatewayCluster_ReadLog(cluster, GATEWAY_CLUSTER_GATEWAY, 0);
        g_assert_nonnull(log);
        is_found = strstr(log, line) != NULL;
        free(log);
    }
    g_test_message("%s: %d ms", line,
                   (int)((g_get_monotonic_time() - started_at) / 1000));
    g_assert_true(is_found);
    g_free(line);
}

static void
restart_gateway(void)
{
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 0, SIGKILL);
    GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_GATEWAY, 0);
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_GATEWAY, 0);
}

/* Checks that the gateway learns of changes to all collections. */
static void
check_changes(void)
{
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_PLAIN_WORKER, 1);
    wait_for_log(WORKER_LOG, 1);
    GatewayCluster_AnnounceVersion(cluster, "a1", 2);
    wait_for_log("msg=\"version %d is announced", 2);
    GatewayCluster_WriteConfig(cluster, 2, true);
    wait_for_log("generation=%d step=\"routing\" msg=\"configuration read", 2);
}

static void
write_entries(size_t index)
{
    char *value = JsonCases_Expand(cases[index].value);
    int count = cases[index].has_names ? NAME_COUNT : 1;

    for (int i = 0; i < count; i++) {
        char *name = cases[index].has_names ? g_strdup_printf(ODD_NAME, i)
                                            : g_strdup(NAME);

        GatewayCluster_WriteRawObject(cluster, cases[index].collection, name,
                                      value);
        g_free(name);
    }
    g_free(value);
}

static void
test_odd_entry(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .plain_workers = 1,
                                     .gateways = 1,
                                     .seed = 7};

    cluster = GatewayCluster_Start(&options);
    wait_for_log(WORKER_LOG, 0);
    write_entries(index);
    if (cases[index].is_restart) {
        restart_gateway();
    }
    g_assert_true(GatewayCluster_WaitUntilReady(cluster, 0));
    for (int i = 0; i < REQUESTS; i++) {
        g_assert_cmpint(send_request(i), ==, 200);
    }
    check_changes();
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/odd_entries", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_odd_entry);
    return g_test_run();
}
