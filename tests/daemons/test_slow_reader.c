/*
 * Tests callers of a gateway that do not read a long stream for a while, with
 * real processes: each gets all of it, from one run.
 *
 * The routes' timeout is 4 s; a stream may leave a silent worker after 0.75 s.
 */
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <kcc.h>

#include "../steps.h"
#include "gateway_cluster.h"

#define STREAM_EVENTS 10
/* The events do not fit into the buffers of the sockets on the way. */
#define EVENT_BYTES "900000"
#define READ_SIZE 65536
#define ANSWER_TIMEOUT_S 3

/* A caller, and what becomes of its stream. */
static const struct {
    const char *name;
    const char *path;
    int unread_ms; /* from the request on */
    int count;     /* streams, one after the other */
} cases[] = {
    {"a stream read at once", "/resume/x", 0, 1},
    {"streams that may be resumed", "/resume/x", 2500, 2},
    {"streams that may not be resumed", "/stream/x", 2500, 2},
};

static GatewayCluster *cluster;

/* Reads until the gateway closes the connection. */
static GString *
read_all(int fd)
{
    struct timeval timeout = {.tv_sec = ANSWER_TIMEOUT_S};
    GString *answer = g_string_new("");
    char *bytes = g_malloc(READ_SIZE);
    ssize_t size;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    while ((size = recv(fd, bytes, READ_SIZE, 0)) > 0) {
        g_string_append_len(answer, bytes, size);
    }
    g_free(bytes);
    return answer;
}

static int
count_runs(const char *id)
{
    int total = 0;

    for (int i = 0; i < 2; i++) {
        json_t *state =
            GatewayCluster_ReadState(cluster, GATEWAY_CLUSTER_LLM_WORKER, i);

        total += (int)json_integer_value(
            json_object_get(json_object_get(state, "ran"), id));
        json_decref(state);
    }
    return total;
}

static GString *
call(const char *path, const char *id, int unread_ms)
{
    char *request =
        g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\n"
                        "Answer-Bytes: " EVENT_BYTES "\r\n"
                        "Attempt-Id: %s\r\nToken-Count: 10,10\r\n"
                        "Content-Length: 0\r\nConnection: close\r\n\r\n",
                        path, id);
    int fd = GatewayCluster_Connect(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0));
    GString *answer;

    g_assert_cmpint(fd, >=, 0);
    send(fd, request, strlen(request), MSG_NOSIGNAL);
    g_usleep((gulong)unread_ms * 1000);
    answer = read_all(fd);
    close(fd);
    g_free(request);
    return answer;
}

static void
test_stream(size_t index, int number)
{
    char *id = g_strdup_printf("slow%zu-%d", index, number);
    GString *answer = call(cases[index].path, id, cases[index].unread_ms);
    const char *event = answer->str;

    g_test_message("%zu bytes: %.200s", answer->len, answer->str);
    for (int i = 0; i < STREAM_EVENTS; i++) {
        char *start = g_strdup_printf("id: %d\ndata: piece %d.", i, i);

        event = strstr(event, start);
        g_assert_nonnull(event);
        g_free(start);
    }
    g_assert_true(g_str_has_suffix(answer->str, "\r\n0\r\n\r\n"));
    g_assert_cmpint(count_runs(id), ==, 1);
    g_string_free(answer, TRUE);
    g_free(id);
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);

    for (int i = 0; i < cases[index].count; i++) {
        test_stream(index, i);
    }
}

/* Waits until a stream is served, and makes the workers slower. */
static void
prepare_workers(void)
{
    bool is_served = false;

    for (int i = 0; i < 100 && !is_served; i++) {
        GString *answer = call("/stream/x", "warm", 0);

        is_served = g_str_has_suffix(answer->str, "\r\n0\r\n\r\n");
        g_string_free(answer, TRUE);
        g_usleep(50000);
    }
    for (int i = 0; i < 2; i++) {
        GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_LLM_WORKER, i,
                               "work_ms=50");
    }
}

int
main(int argc, char **argv)
{
    GatewayClusterOptions options = {
        .network_octet = GatewayCluster_ReserveNetwork(128, 227),
        .llm_workers = 2,
        .gateways = 1,
        .seed = 7};
    int status;

    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/slow reader", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    cluster = GatewayCluster_Start(&options);
    prepare_workers();
    status = g_test_run();
    GatewayCluster_Stop(cluster);
    return status;
}
