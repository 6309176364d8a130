/*
 * Tests that a process which is told to stop as it starts, as soon as one of
 * its sockets accepts, makes a planned stop, with real processes.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../steps.h"
#include "gateway_cluster.h"

#define TRIES 40
#define ACCEPT_TIMEOUT (10 * G_USEC_PER_SEC)
#define CONNECT_PAUSE_US 20
#define ANSWER_SIZE 1024

/* The socket that a process opens first. */
static const struct {
    const char *name;
    GatewayClusterRole role;
    int port;
} cases[] = {
    {"gateway", GATEWAY_CLUSTER_GATEWAY, GATEWAY_CLUSTER_HTTP_PORT},
    {"keeper", GATEWAY_CLUSTER_KEEPER, GATEWAY_CLUSTER_KEEPER_PORT},
};

static GatewayCluster *cluster;

/* Starts a process again; returns a connection to it that is as old as its
 * socket, but for CONNECT_PAUSE_US. */
static int
restart(GatewayClusterRole role, int port)
{
    gint64 give_up_at = g_get_monotonic_time() + ACCEPT_TIMEOUT;
    char address[GATEWAY_CLUSTER_ADDRESS_SIZE];
    int fd = -1;

    GatewayCluster_SendSignal(cluster, role, 0, SIGKILL);
    GatewayCluster_WaitForExit(cluster, role, 0);
    GatewayCluster_RestartProcess(cluster, role, 0);
    GatewayCluster_FormatAddress(cluster, role, 0, port, address);
    while (fd < 0) {
        g_assert_cmpint(g_get_monotonic_time(), <, give_up_at);
        g_usleep(CONNECT_PAUSE_US);
        fd = GatewayCluster_Connect(address);
    }
    return fd;
}

/* A signal that has no handler ends the process at once, so that the SIGKILL
 * which follows comes too late to be what ended it. */
static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterRole role = cases[index].role;

    for (int i = 0; i < TRIES; i++) {
        int fd = restart(role, cases[index].port);
        pid_t pid = GatewayCluster_GetPid(cluster, role, 0);
        siginfo_t end = {.si_pid = 0};

        GatewayCluster_SendSignal(cluster, role, 0, SIGTERM);
        GatewayCluster_SendSignal(cluster, role, 0, SIGKILL);
        g_assert_cmpint(waitid(P_PID, (id_t)pid, &end, WEXITED | WNOWAIT), ==,
                        0);
        g_assert_cmpint(end.si_code, ==, CLD_KILLED);
        g_assert_cmpint(end.si_status, ==, SIGKILL);
        close(fd);
    }
}

/* The caller that came before the signal gets an answer. */
static void
test_caller(void)
{
    static const char request[] =
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
        "Connection: close\r\n\r\n";
    char answer[ANSWER_SIZE] = "";
    int fd = restart(GATEWAY_CLUSTER_GATEWAY, GATEWAY_CLUSTER_HTTP_PORT);

    g_assert_cmpint(send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL), ==,
                    sizeof(request) - 1);
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 0, SIGTERM);
    g_assert_cmpint(
        GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_GATEWAY, 0), ==,
        0);
    g_assert_cmpint(recv(fd, answer, sizeof(answer) - 1, 0), >, 0);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 "));
    close(fd);
}

int
main(int argc, char **argv)
{
    GatewayClusterOptions options = {
        .network_octet = GatewayCluster_ReserveNetwork(128, 227),
        .llm_workers = 1,
        .plain_workers = 1,
        .gateways = 1,
        .seed = 7};
    int status;

    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/stop at start", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    g_test_add_func("/stop at start/caller", test_caller);
    cluster = GatewayCluster_Start(&options);
    status = g_test_run();
    GatewayCluster_Stop(cluster);
    return status;
}
