/*
 * Tests with real processes that many callers which do not read their answers
 * take no more memory than a gateway of a small machine has, and that the
 * other callers are served meanwhile.
 */
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../steps.h"
#include "gateway_cluster.h"

#define MEMORY_MB 120
/* ASan keeps what the gateway has freed, up to 256 MB unless told otherwise;
 * that is no memory that the gateway holds. */
#define ASAN_FREED_MB 16
#define SLOW_CALLERS 150
/* What the kernel holds for a slow caller is no memory of the process. */
#define RECEIVE_BUFFER_BYTES 4096
#define NEIGHBOUR_REQUESTS 50
/* The objective of the callers that read, for a busy machine. */
#define OBJECTIVE (1 * G_USEC_PER_SEC)

static GatewayCluster *cluster;
static uint8_t network_octet;

/* What the slow callers ask for. */
static const struct {
    const char *name;
    const char *path;
    int answer_bytes; /* of the answer, or of each of its ten events */
    bool ends_some;   /* more is ready than may be held */
} cases[] = {
    {"whole answers", "/safe/x", 1900000, true},
    {"streams", "/stream/x", 900000, false},
    {"streams that may be resumed", "/resume/x", 900000, false},
    {"small answers", "/safe/x", 1000, false},
};

/* Resident memory of the gateway, in kB. */
static long
read_memory(void)
{
    char path[64];
    char line[256];
    long size = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status",
             (int)GatewayCluster_GetPid(cluster, GATEWAY_CLUSTER_GATEWAY, 0));
    file = fopen(path, "r");
    g_assert_nonnull(file);
    while (fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmHWM:", 6) == 0) {
            size = strtol(line + 6, NULL, 10);
        }
    }
    fclose(file);
    return size;
}

/* A value of the gateway's metrics. */
static long
read_metric(const char *name)
{
    static char page[1024 * 1024];
    char *line = g_strdup_printf("\n%s ", name);
    const char *found;
    long value;

    GatewayCluster_ReadPage(cluster, GATEWAY_CLUSTER_GATEWAY, 0, "/metrics",
                            "", page, sizeof(page));
    found = strstr(page, line);
    g_assert_nonnull(found);
    value = strtol(found + strlen(line), NULL, 10);
    g_free(line);
    return value;
}

static char *
make_request(const char *path, int number, int answer_bytes)
{
    return g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\n"
                           "Answer-Bytes: %d\r\nAttempt-Id: %s-%d\r\n"
                           "Token-Count: 10,10\r\nContent-Length: 0\r\n"
                           "Connection: close\r\n\r\n",
                           path, answer_bytes,
                           answer_bytes > 1 ? "slow" : "quick", number);
}

/* Returns the status of a small request. */
static int
call_as_neighbour(int number)
{
    char *request = make_request("/safe/x", number, 1);
    char answer[8192];

    GatewayCluster_Exchange(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0),
        request, strlen(request), answer, sizeof(answer), 5000);
    g_free(request);
    return GatewayCluster_ReadStatus(answer);
}

/* Limits what ASan keeps in the processes that are started, for a sanitized
 * build. */
static void
limit_asan(void)
{
    const char *given = g_getenv("ASAN_OPTIONS");
    char *options = g_strdup_printf("%s:quarantine_size_mb=%d",
                                    given != NULL ? given : "", ASAN_FREED_MB);

    g_setenv("ASAN_OPTIONS", options, TRUE);
    g_free(options);
}

static void
start_cluster(void)
{
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = 1,
                                     .plain_workers = 2,
                                     .gateways = 1,
                                     .memory_mb = MEMORY_MB,
                                     .seed = 7};
    int status = 0;

    cluster = GatewayCluster_Start(&options);
    for (int i = 0; i < 200 && status != 200; i++) {
        status = call_as_neighbour(i);
        g_usleep(50000);
    }
    g_assert_cmpint(status, ==, 200);
}

/* Sends a request whose answer nobody reads; returns its socket. */
static int
call_slowly(size_t index, int number)
{
    char *request =
        make_request(cases[index].path, number, cases[index].answer_bytes);
    int fd = GatewayCluster_Connect(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0));
    int buffer_bytes = RECEIVE_BUFFER_BYTES;

    g_assert_cmpint(fd, >=, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    send(fd, request, strlen(request), MSG_NOSIGNAL);
    g_free(request);
    return fd;
}

static void
test_readers(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    int sockets[SLOW_CALLERS];
    gint64 longest = 0;
    long ended;

    start_cluster();
    for (int i = 0; i < SLOW_CALLERS; i++) {
        sockets[i] = call_slowly(index, i);
        g_usleep(10000);
    }
    for (int i = 0; i < NEIGHBOUR_REQUESTS; i++) {
        gint64 sent_at = g_get_monotonic_time();

        g_assert_cmpint(call_as_neighbour(i), ==, 200);
        longest = MAX(longest, g_get_monotonic_time() - sent_at);
        g_usleep(20000);
    }
    ended = read_metric("kcc_slow_callers_total");
    g_test_message("%ld kB at most, others answered within %d ms, %ld ended",
                   read_memory(), (int)(longest / 1000), ended);
    g_assert_cmpint(read_memory(), <, MEMORY_MB * 1000);
    g_assert_cmpint(longest, <, OBJECTIVE);
    g_assert_cmpint(ended > 0, ==, cases[index].ends_some);
    for (int i = 0; i < SLOW_CALLERS; i++) {
        close(sockets[i]);
    }
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    limit_asan();
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/slow readers", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_readers);
    return g_test_run();
}
