/*
 * Tests what callers of a gateway that is stopped by SIGTERM receive, with
 * real processes: each caller is answered or refused before the process ends.
 *
 * The grace period is 5 s: late requests are refused from 2.8 s on, and those
 * in progress are answered at 4.4 s.  The routes' timeout is 4 s.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway_cluster.h"

#define ANSWER_SIZE 1024

#define HEAD(id) "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " id "\r\n"

/* Callers of one stop, by the time at which they send. */
static const struct {
    const char *name;
    int sent_ms;      /* after the SIGTERM */
    const char *knob; /* of the worker, set before */
    const char *bytes;
    const char *answer_prefix;
} callers[] = {
    {"a request that is done in time", 500, "work_ms=1000", HEAD("1") "\r\n",
     "HTTP/1.1 200"},
    {"a request that runs when the stop ends", 1800, "work_ms=4000",
     HEAD("2") "\r\n", "HTTP/1.1 502"},
    {"a body that is not complete when the stop ends", 2700, "work_ms=5",
     HEAD("3") "Content-Length: 3\r\n\r\nab", "HTTP/1.1 503"},
    {"a late request whose time ends before the stop", 3300, "work_ms=5",
     HEAD("4") "Deadline-Ms: 400\r\n\r\n", "HTTP/1.1 200"},
    {"a late request whose time may outlast the stop", 3400, "work_ms=5",
     HEAD("5") "Deadline-Ms: 2000\r\n\r\n", "HTTP/1.1 503"},
    {"a head that is not complete when the stop ends", 4000, "work_ms=5",
     "POST /unsafe/x HT", "HTTP/1.1 503"},
};

static GatewayCluster *cluster;

/* Sends the bytes of a caller on a connection of its own; returns that. */
static int
send_bytes(size_t index)
{
    size_t size = strlen(callers[index].bytes);
    int fd = GatewayCluster_Connect(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0));

    g_assert_cmpint(fd, >=, 0);
    g_assert_cmpint(send(fd, callers[index].bytes, size, MSG_NOSIGNAL), ==,
                    size);
    return fd;
}

/* Checks what a caller has received, after the end of the process. */
static bool
check_answer(size_t index, int fd)
{
    char answer[ANSWER_SIZE] = "";
    const char *prefix = callers[index].answer_prefix;
    ssize_t size = recv(fd, answer, sizeof(answer) - 1, 0);

    close(fd);
    if (size > 0 && strncmp(answer, prefix, strlen(prefix)) == 0) {
        return true;
    }
    g_test_message("%s: %zd bytes: %.200s", callers[index].name, size, answer);
    return false;
}

static void
wait_until_served(void)
{
    static const char request[] = HEAD("0") "Connection: close\r\n\r\n";
    char answer[ANSWER_SIZE] = "";

    for (int i = 0; i < 100 && strncmp(answer, "HTTP/1.1 200", 12) != 0; i++) {
        g_usleep(50000);
        GatewayCluster_Exchange(
            GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0),
            request, sizeof(request) - 1, answer, sizeof(answer), 1000);
    }
}

static void
test_stop(void)
{
    int fds[G_N_ELEMENTS(callers)];
    gint64 started_at;
    bool are_answered = true;

    wait_until_served();
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 0, SIGTERM);
    started_at = g_get_monotonic_time();
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        gint64 sent_at = started_at + callers[i].sent_ms * 1000;

        if (sent_at > g_get_monotonic_time()) {
            g_usleep((gulong)(sent_at - g_get_monotonic_time()));
        }
        GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_PLAIN_WORKER, 0,
                               callers[i].knob);
        fds[i] = send_bytes(i);
    }
    g_assert_cmpint(
        GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_GATEWAY, 0), ==,
        0);
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        are_answered = check_answer(i, fds[i]) && are_answered;
    }
    g_assert_true(are_answered);
}

int
main(int argc, char **argv)
{
    GatewayClusterOptions options = {
        .network_octet = GatewayCluster_ReserveNetwork(128, 227),
        .plain_workers = 1,
        .gateways = 1,
        .seed = 7};
    int status;

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stops/gateway with callers until its end", test_stop);
    cluster = GatewayCluster_Start(&options);
    status = g_test_run();
    GatewayCluster_Stop(cluster);
    return status;
}
