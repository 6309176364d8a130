/*
 * Tests that streams are served again after processes were killed and started
 * again at once, while callers go on sending, with real processes.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "../steps.h"
#include "gateway_cluster.h"

#define ANSWER_SIZE 8192
#define RECOVERY_TIMEOUT                                                      \
    (12 * G_USEC_PER_SEC) /* recover_s of the platform                        \
                           */

/* What is killed, by the roles; they are started again in this order. */
static const struct {
    const char *name;
    int role_count;
    GatewayClusterRole roles[3];
} cases[] = {
    {"a worker", 1, {GATEWAY_CLUSTER_LLM_WORKER}},
    {"a worker and a gateway",
     2,
     {GATEWAY_CLUSTER_LLM_WORKER, GATEWAY_CLUSTER_GATEWAY}},
    {"a keeper and a gateway",
     2,
     {GATEWAY_CLUSTER_KEEPER, GATEWAY_CLUSTER_GATEWAY}},
    {"a worker, a keeper and a gateway",
     3,
     {GATEWAY_CLUSTER_LLM_WORKER, GATEWAY_CLUSTER_KEEPER,
      GATEWAY_CLUSTER_GATEWAY}},
};

static GatewayCluster *cluster;

/* Sends streams one after the other until one is complete; false after
 * RECOVERY_TIMEOUT. */
static bool
wait_until_served(void)
{
    gint64 give_up_at = g_get_monotonic_time() + RECOVERY_TIMEOUT;
    static int count;
    char answer[ANSWER_SIZE] = "";

    while (g_get_monotonic_time() < give_up_at) {
        char request[512];
        int size = snprintf(request, sizeof(request),
                            "POST /stream/x HTTP/1.1\r\nHost: h\r\n"
                            "Model: m/a1\r\nAttempt-Id: %d\r\n"
                            "Token-Count: 10,10\r\nContent-Length: 0\r\n"
                            "Connection: close\r\n\r\n",
                            count++);

        GatewayCluster_Exchange(
            GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0),
            request, (size_t)size, answer, sizeof(answer), 3000);
        if (g_str_has_suffix(answer, "0\r\n\r\n")) {
            return true;
        }
        g_usleep(1000);
    }
    g_test_message("%s", answer);
    return false;
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);

    g_assert_true(wait_until_served());
    for (int i = 0; i < cases[index].role_count; i++) {
        GatewayCluster_SendSignal(cluster, cases[index].roles[i], 0, SIGKILL);
        GatewayCluster_WaitForExit(cluster, cases[index].roles[i], 0);
    }
    for (int i = 0; i < cases[index].role_count; i++) {
        GatewayCluster_RestartProcess(cluster, cases[index].roles[i], 0);
    }
    g_assert_true(wait_until_served());
}

int
main(int argc, char **argv)
{
    GatewayClusterOptions options = {
        .network_octet = GatewayCluster_ReserveNetwork(128, 227),
        .llm_workers = 1,
        .gateways = 1,
        .seed = 7};
    int status;

    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/restarts", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    cluster = GatewayCluster_Start(&options);
    status = g_test_run();
    GatewayCluster_Stop(cluster);
    return status;
}
