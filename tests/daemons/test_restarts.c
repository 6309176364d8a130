/*
 * Tests that streams are served again after processes were killed and started
 * again at once, while callers go on sending, and that an answer is not taken
 * as whole as its worker is back, with real processes.
 */
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

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
    bool is_config_odd; /* the configuration can't be read meanwhile */
} cases[] = {
    {"a worker", 1, {GATEWAY_CLUSTER_LLM_WORKER}, false},
    {"a worker and a gateway",
     2,
     {GATEWAY_CLUSTER_LLM_WORKER, GATEWAY_CLUSTER_GATEWAY},
     false},
    {"a keeper and a gateway",
     2,
     {GATEWAY_CLUSTER_KEEPER, GATEWAY_CLUSTER_GATEWAY},
     false},
    {"a worker, a keeper and a gateway",
     3,
     {GATEWAY_CLUSTER_LLM_WORKER, GATEWAY_CLUSTER_KEEPER,
      GATEWAY_CLUSTER_GATEWAY},
     false},
    {"a worker and a keeper that can't read the configuration",
     2,
     {GATEWAY_CLUSTER_LLM_WORKER, GATEWAY_CLUSTER_KEEPER},
     true},
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
    if (cases[index].is_config_odd) {
        GatewayCluster_WriteRawObject(cluster, "config", "main", "[]");
    }
    for (int i = 0; i < cases[index].role_count; i++) {
        GatewayCluster_SendSignal(cluster, cases[index].roles[i], 0, SIGKILL);
        GatewayCluster_WaitForExit(cluster, cases[index].roles[i], 0);
    }
    for (int i = 0; i < cases[index].role_count; i++) {
        GatewayCluster_RestartProcess(cluster, cases[index].roles[i], 0);
    }
    g_assert_true(wait_until_served());
    if (cases[index].is_config_odd) {
        GatewayCluster_WriteConfig(cluster, 2, false);
    }
}

/* ---- workers that are back before their answer is read ------------------- */

/* How long the gateway stands still. */
#define FREEZE (1500 * 1000)

/* Answers without framing, whose worker is lost or not; the caller gets the
 * end of a whole answer, or none. */
static const struct {
    const char *name;
    GatewayClusterRole role;
    const char *path;
    const char *work_ms;
    const char *wait_for; /* in the answer, before the freeze; "": nothing */
    bool is_lost;         /* during the freeze, and back with its id */
    bool is_whole;
} frozen_cases[] = {
    {"stream", GATEWAY_CLUSTER_LLM_WORKER, "/stream/x", "work_ms=50", "id: 2",
     false, true},
    {"stream of a lost worker", GATEWAY_CLUSTER_LLM_WORKER, "/stream/x",
     "work_ms=200", "id: 2", true, false},
    {"answer", GATEWAY_CLUSTER_PLAIN_WORKER, "/unsafe/x", "work_ms=2600", "",
     false, true},
    {"answer of a lost worker", GATEWAY_CLUSTER_PLAIN_WORKER, "/unsafe/x",
     "work_ms=400", "", true, false},
};

/* Reads until the text has arrived, or the end when it is NULL. */
static void
read_answer(int fd, const char *text, char *answer, size_t *size)
{
    struct pollfd readable = {.fd = fd, .events = POLLIN};

    while (text == NULL || strstr(answer, text) == NULL) {
        ssize_t count;

        g_assert_cmpint(poll(&readable, 1, 5000), ==, 1);
        count = read(fd, answer + *size, ANSWER_SIZE - 1 - *size);
        if (count <= 0) {
            g_assert_null(text);
            return;
        }
        *size += (size_t)count;
        answer[*size] = '\0';
    }
}

static void
restart_worker(GatewayClusterRole role)
{
    json_t *state = NULL;

    GatewayCluster_SendSignal(cluster, role, 0, SIGKILL);
    GatewayCluster_WaitForExit(cluster, role, 0);
    GatewayCluster_RestartProcess(cluster, role, 0);
    while (state == NULL) {
        g_usleep(10000);
        state = GatewayCluster_ReadState(cluster, role, 0);
    }
    json_decref(state);
}

static void
test_frozen(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterRole role = frozen_cases[index].role;
    char answer[ANSWER_SIZE] = "";
    size_t size = 0;
    char *request = g_strdup_printf(
        "POST %s HTTP/1.1\r\nHost: h\r\n%sAttempt-Id: frozen-%zu\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n",
        frozen_cases[index].path,
        role == GATEWAY_CLUSTER_LLM_WORKER
            ? "Model: m/a1\r\nToken-Count: 10,10\r\n"
            : "",
        index);
    int fd;

    GatewayCluster_SetKnob(cluster, role, 0, "unframed=100");
    /* Not before the gateway knows the start of the worker. */
    g_assert_true(wait_until_served());
    GatewayCluster_SetKnob(cluster, role, 0, frozen_cases[index].work_ms);
    fd = GatewayCluster_Connect(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0));
    g_assert_cmpint(write(fd, request, strlen(request)), ==, strlen(request));
    read_answer(fd, frozen_cases[index].wait_for, answer, &size);
    g_usleep(100000);
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 0, SIGSTOP);
    g_usleep(FREEZE / 2);
    if (frozen_cases[index].is_lost) {
        restart_worker(role);
    }
    g_usleep(FREEZE / 2);
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 0, SIGCONT);
    read_answer(fd, NULL, answer, &size);
    close(fd);
    g_test_message("%s", answer);
    g_assert_cmpint(strstr(answer, "answer frozen") != NULL ||
                        g_str_has_suffix(answer, "\r\n0\r\n\r\n"),
                    ==, frozen_cases[index].is_whole);
    GatewayCluster_SetKnob(cluster, role, 0, "unframed=0");
    GatewayCluster_SetKnob(cluster, role, 0, "work_ms=5");
    g_free(request);
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
    Steps_AddCases("/restarts", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    Steps_AddCases("/restarts/frozen", frozen_cases,
                   G_N_ELEMENTS(frozen_cases), sizeof(frozen_cases[0]),
                   test_frozen);
    cluster = GatewayCluster_Start(&options);
    status = g_test_run();
    GatewayCluster_Stop(cluster);
    return status;
}
