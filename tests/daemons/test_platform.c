/*
 * Tests gateways and keepers as processes: what callers receive for valid and
 * invalid requests, and while workers, the store or the processes themselves
 * fail.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "kcc.h"
#include "../steps.h"
#include "gateway_cluster.h"

#define ANSWER_SIZE 65536
#define ANSWER_TIMEOUT_MS 3000

static GatewayCluster *cluster;
static char answer[ANSWER_SIZE];

/* Sends text to a gateway and reads its answer into `answer`. */
static void
send_text(int gateway, const char *text, size_t size)
{
    GatewayCluster_Exchange(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, gateway),
        text, size, answer, sizeof(answer), ANSWER_TIMEOUT_MS);
}

static int
count_occurrences(const char *text, const char *part)
{
    int occurrences = 0;

    for (const char *match = strstr(text, part); match != NULL;
         match = strstr(match + 1, part)) {
        occurrences++;
    }
    return occurrences;
}

/* ---- valid and invalid requests ------------------------------------------ */

/* GET_HEAD and POST_HEAD begin the head of a request, CLOSE_FIELD ends it. */
#define GET_HEAD "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
#define POST_HEAD "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
#define CLOSE_FIELD "Connection: close\r\n\r\n"

/* Bytes of a request, where %s stands for an id unique to the case. */
static const struct {
    const char *name;
    const char *request;
    const char *answer_prefix;
    int answer_count;            /* heads of answers */
    const char *answer_contains; /* NULL: not checked */
} raw_cases[] = {
    {"get", GET_HEAD CLOSE_FIELD, "HTTP/1.1 200", 1, "Server-Seal: plain-"},
    {"post with a length", POST_HEAD "Content-Length: 3\r\n" CLOSE_FIELD "abc",
     "HTTP/1.1 200", 1, NULL},
    {"post in chunks",
     POST_HEAD "Transfer-Encoding: chunked\r\n" CLOSE_FIELD
               "3\r\nabc\r\n0\r\n\r\n",
     "HTTP/1.1 200", 1, NULL},
    {"chunk extensions and trailers",
     POST_HEAD "Transfer-Encoding: chunked\r\n" CLOSE_FIELD
               "3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n",
     "HTTP/1.1 200", 1, NULL},
    {"two pipelined requests", GET_HEAD "\r\n" GET_HEAD CLOSE_FIELD,
     "HTTP/1.1 200", 2, NULL},
    {"an answer says how long its connection may stay idle",
     GET_HEAD "\r\n" GET_HEAD CLOSE_FIELD, "HTTP/1.1 200", 2,
     "Keep-Alive: timeout=2\r\n"},
    {"a refusal says how long its connection may stay idle",
     "GET /none/x HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n" GET_HEAD CLOSE_FIELD,
     "HTTP/1.1 404", 2, "Keep-Alive: timeout=2\r\n"},
    {"request as a body",
     POST_HEAD "Content-Length: 33\r\n" CLOSE_FIELD
               "GET /safe/y HTTP/1.1\r\nHost: h\r\n\r\n",
     "HTTP/1.1 200", 1, NULL},
    {"length and chunks",
     POST_HEAD
     "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" CLOSE_FIELD
     "3\r\nabc\r\n0\r\n\r\n",
     "HTTP/1.1 400", 1, NULL},
    {"two lengths",
     POST_HEAD "Content-Length: 3\r\nContent-Length: 4\r\n" CLOSE_FIELD "abcd",
     "HTTP/1.1 400", 1, NULL},
    {"the same length twice",
     POST_HEAD "Content-Length: 3\r\nContent-Length: 3\r\n" CLOSE_FIELD "abc",
     "HTTP/1.1 400", 1, NULL},
    {"a negative length", POST_HEAD "Content-Length: -3\r\n" CLOSE_FIELD "abc",
     "HTTP/1.1 400", 1, NULL},
    {"a length with a sign",
     POST_HEAD "Content-Length: +3\r\n" CLOSE_FIELD "abc", "HTTP/1.1 400", 1,
     NULL},
    {"chunk size that is not hexadecimal",
     POST_HEAD "Transfer-Encoding: chunked\r\n" CLOSE_FIELD
               "g\r\nabc\r\n0\r\n\r\n",
     "HTTP/1.1 400", 1, NULL},
    {"transfer encoding gzip",
     POST_HEAD "Transfer-Encoding: gzip, chunked\r\n" CLOSE_FIELD,
     "HTTP/1.1 400", 1, NULL},
    {"an encoding that ends in chunked",
     POST_HEAD "Transfer-Encoding: xchunked\r\n" CLOSE_FIELD, "HTTP/1.1 400",
     1, NULL},
    {"no host", "GET /safe/x HTTP/1.1\r\nA: %s\r\n" CLOSE_FIELD,
     "HTTP/1.1 400", 1, NULL},
    {"two hosts", GET_HEAD "Host: i\r\n" CLOSE_FIELD, "HTTP/1.1 400", 1, NULL},
    {"a space before the colon", GET_HEAD "Content-Length : 3\r\n" CLOSE_FIELD,
     "HTTP/1.1 400", 1, NULL},
    {"a control character in a value", GET_HEAD "A: b\001c\r\n" CLOSE_FIELD,
     "HTTP/1.1 400", 1, NULL},
    {"an unknown method",
     "FROB /safe/x HTTP/1.1\r\nHost: h\r\nA: %s\r\n" CLOSE_FIELD,
     "HTTP/1.1 400", 1, NULL},
    {"not HTTP", "hello %s\r\n\r\n", "HTTP/1.1 400", 1, NULL},
    {"HTTP/1.0", "GET /safe/x HTTP/1.0\r\nHost: h\r\nA: %s\r\n\r\n",
     "HTTP/1.1 400", 1, NULL},
    {"no such route",
     "GET /none/x HTTP/1.1\r\nHost: h\r\nA: %s\r\n" CLOSE_FIELD,
     "HTTP/1.1 404", 1, NULL},
    {"no such host",
     "GET /safe/x HTTP/1.1\r\nHost: g\r\nA: %s\r\n" CLOSE_FIELD,
     "HTTP/1.1 404", 1, NULL},
    {"a body above the limit",
     POST_HEAD "Content-Length: 70000\r\n" CLOSE_FIELD, "HTTP/1.1 413", 1,
     NULL},
    {"a bad token count", GET_HEAD "Token-Count: 5;6\r\n" CLOSE_FIELD,
     "HTTP/1.1 400", 1, "Token-Count"},
    {"a bad deadline", GET_HEAD "Deadline-Ms: soon\r\n" CLOSE_FIELD,
     "HTTP/1.1 400", 1, "Deadline-Ms"},
    {"incomplete head", "GET /safe/x HTTP/1.1\r\nHost: %s", "HTTP/1.1 503", 1,
     NULL},
    {"internal headers of a caller are not forwarded",
     GET_HEAD
     "Expect-Instance: nobody\r\nHold: 5\r\nKv-From: x\r\n" CLOSE_FIELD,
     "HTTP/1.1 200", 1, NULL},
    {"a host with a port",
     "GET /safe/x HTTP/1.1\r\nHost: H:80\r\nAttempt-Id: %s\r\n" CLOSE_FIELD,
     "HTTP/1.1 200", 1, NULL},
};

static void
test_raw_request(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char id[32];
    char request[4096];
    int size;

    snprintf(id, sizeof(id), "raw%zu", index);
    size =
        snprintf(request, sizeof(request), raw_cases[index].request, id, id);
    send_text(0, request, (size_t)size);
    g_test_message("%s", answer);
    g_assert_true(strncmp(answer, raw_cases[index].answer_prefix,
                          strlen(raw_cases[index].answer_prefix)) == 0);
    g_assert_cmpint(count_occurrences(answer, "HTTP/1.1 "), ==,
                    raw_cases[index].answer_count);
    if (raw_cases[index].answer_contains != NULL) {
        g_assert_nonnull(strstr(answer, raw_cases[index].answer_contains));
    }
}

static void
test_large_head(void)
{
    GString *request = g_string_new("GET /safe/x HTTP/1.1\r\nHost: h\r\n");

    for (int i = 0; i < 40; i++) {
        g_string_append_printf(request, "X-%d: %0200d\r\n", i, i);
    }
    g_string_append(request, "\r\n");
    send_text(0, request->str, request->len);
    g_assert_true(strncmp(answer, "HTTP/1.1 431", 12) == 0);
    g_string_free(request, TRUE);
}

/* The refusal reaches a caller that sends the rest of its request first. */
static void
test_large_body(void)
{
    GString *request = g_string_new(
        "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: large\r\n"
        "Content-Length: 4000000\r\n\r\n");
    gsize head_size = request->len;

    g_string_set_size(request, head_size + 4000000);
    memset(request->str + head_size, 'x', 4000000);
    for (int i = 0; i < 5; i++) {
        send_text(0, request->str, request->len);
        g_assert_true(strncmp(answer, "HTTP/1.1 413", 12) == 0);
    }
    g_string_free(request, TRUE);
}

static void
test_nul_in_head(void)
{
    static const char request[] =
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nA: b\0c\r\n" CLOSE_FIELD;

    send_text(0, request, sizeof(request) - 1);
    g_assert_true(strncmp(answer, "HTTP/1.1 400", 12) == 0);
}

/* ---- faults of workers --------------------------------------------------- */

#define STREAM_REQUEST                                                        \
    "POST /stream/x HTTP/1.1\r\nHost: h\r\nModel: m/a1\r\nAttempt-Id: %s\r\n" \
    "Token-Count: 10,10\r\nContent-Length: 0\r\n" CLOSE_FIELD
#define RESUME_REQUEST                                                        \
    "POST /resume/x HTTP/1.1\r\nHost: h\r\nModel: m/a1\r\nAttempt-Id: %s\r\n" \
    "Token-Count: 10,10\r\nContent-Length: 0\r\n" CLOSE_FIELD

/* The answer to one request and how often it runs while every worker of a role
 * has the same fault. */
static const struct {
    const char *name;
    GatewayClusterRole role;
    const char *fault_on; /* knob */
    const char *fault_off;
    const char *request;
    const char *answer_prefix;
    const char *answer_suffix; /* NULL: not checked */
    int runs_max;              /* of the request, over all workers */
    int runs_min;
} fault_cases[] = {
    {"stream without a fault", GATEWAY_CLUSTER_LLM_WORKER, "work_ms=2",
     "work_ms=5", STREAM_REQUEST, "HTTP/1.1 200", "0\r\n\r\n", 1, 1},
    {"request refused and not run", GATEWAY_CLUSTER_PLAIN_WORKER, "refuse=100",
     "refuse=0", POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 503",
     NULL, 0, 0},
    {"unsafe request reset", GATEWAY_CLUSTER_PLAIN_WORKER, "reset=100",
     "reset=0", POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 502",
     NULL, 1, 1},
    /* The first attempt may meet a kept connection that was just closed. */
    {"safe request reset", GATEWAY_CLUSTER_PLAIN_WORKER, "reset=100",
     "reset=0", GET_HEAD CLOSE_FIELD, "HTTP/1.1 502", NULL, 2, 1},
    {"unsafe answer truncated", GATEWAY_CLUSTER_PLAIN_WORKER, "truncate=100",
     "truncate=0", POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD,
     "HTTP/1.1 502", NULL, 1, 1},
    {"unsafe answer is not HTTP", GATEWAY_CLUSTER_PLAIN_WORKER, "garbage=100",
     "garbage=0", POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD,
     "HTTP/1.1 502", NULL, 1, 1},
    {"status 500 passed on", GATEWAY_CLUSTER_PLAIN_WORKER, "error=100",
     "error=0", POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 500",
     NULL, 1, 1},
    {"answer sent twice", GATEWAY_CLUSTER_PLAIN_WORKER, "extra=100", "extra=0",
     POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 200", NULL, 1,
     1},
    {"unsafe request never answered", GATEWAY_CLUSTER_PLAIN_WORKER, "mute=100",
     "mute=0",
     POST_HEAD "Deadline-Ms: 500\r\nContent-Length: 0\r\n" CLOSE_FIELD,
     "HTTP/1.1 504", NULL, 1, 1},
    {"stream truncated", GATEWAY_CLUSTER_LLM_WORKER, "truncate=30",
     "truncate=0", STREAM_REQUEST, "HTTP/1.1 200", "\n\n\r\n", 1, 1},
    {"orders carried out but not answered", GATEWAY_CLUSTER_LLM_WORKER,
     "late_orders=60", "late_orders=0",
     "POST /stream/x HTTP/1.1\r\nHost: h\r\nModel: m/a7\r\nAttempt-Id: %s\r\n"
     "Content-Length: 0\r\n" CLOSE_FIELD,
     "HTTP/1.1 200", "0\r\n\r\n", 1, 1},
    /* Numbers of patterns in ../standins/endless.c. */
    {"unsafe request, head without end", GATEWAY_CLUSTER_PLAIN_WORKER,
     "endless_kind=1&endless=100", "endless=0",
     POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 502", NULL, 1,
     1},
    {"unsafe request, interim answers without end",
     GATEWAY_CLUSTER_PLAIN_WORKER, "endless_kind=6&endless=100", "endless=0",
     POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 502", NULL, 1,
     1},
    {"unsafe request, length without end", GATEWAY_CLUSTER_PLAIN_WORKER,
     "endless_kind=8&endless=100", "endless=0",
     POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 502", NULL, 1,
     1},
    {"unsafe request, chunks without end", GATEWAY_CLUSTER_PLAIN_WORKER,
     "endless_kind=10&endless=100", "endless=0",
     POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 502", NULL, 1,
     1},
    {"unsafe request, bytes that come slowly without end",
     GATEWAY_CLUSTER_PLAIN_WORKER, "endless_kind=16&endless=100", "endless=0",
     POST_HEAD "Deadline-Ms: 1000\r\nContent-Length: 0\r\n" CLOSE_FIELD,
     "HTTP/1.1 504", NULL, 1, 1},
    {"unsafe request, late answer without end", GATEWAY_CLUSTER_PLAIN_WORKER,
     "endless_kind=18&endless=100", "endless=0",
     POST_HEAD "Content-Length: 0\r\n" CLOSE_FIELD, "HTTP/1.1 502", NULL, 1,
     1},
    {"stream, one event without end", GATEWAY_CLUSTER_LLM_WORKER,
     "endless_kind=21&endless=100", "endless=0", STREAM_REQUEST,
     "HTTP/1.1 502", NULL, 1, 1},
    {"stream, events without end", GATEWAY_CLUSTER_LLM_WORKER,
     "endless_kind=23&endless=100", "endless=0", STREAM_REQUEST,
     "HTTP/1.1 200", "id: 000025\ndata: 0123456\n\n\r\n", 1, 1},
    {"reports without end", GATEWAY_CLUSTER_LLM_WORKER,
     "endless_kind=9&endless_report=100", "endless_report=0", STREAM_REQUEST,
     "HTTP/1.1 200", "0\r\n\r\n", 1, 1},
    {"stream after reports without end", GATEWAY_CLUSTER_LLM_WORKER,
     "work_ms=2", "work_ms=5",
     "POST /stream/x HTTP/1.1\r\nHost: h\r\nModel: m/a9\r\nAttempt-Id: %s\r\n"
     "Content-Length: 0\r\n" CLOSE_FIELD,
     "HTTP/1.1 200", "0\r\n\r\n", 1, 1},
};

static void
set_knob_of_all(GatewayClusterRole role, const char *knob)
{
    for (int i = 0; i < 2; i++) {
        GatewayCluster_SetKnob(cluster, role, i, knob);
    }
}

/* Number of times that the workers of a role ran a request. */
static int
count_runs(GatewayClusterRole role, const char *id)
{
    int total = 0;

    for (int i = 0; i < 2; i++) {
        json_t *state = GatewayCluster_ReadState(cluster, role, i);

        total += (int)json_integer_value(
            json_object_get(json_object_get(state, "ran"), id));
        json_decref(state);
    }
    return total;
}

static void
test_fault(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterRole role = fault_cases[index].role;
    char id[32];
    char request[1024];
    int size;

    snprintf(id, sizeof(id), "fault%zu", index);
    size = snprintf(request, sizeof(request), fault_cases[index].request, id);
    set_knob_of_all(role, fault_cases[index].fault_on);
    send_text(0, request, (size_t)size);
    set_knob_of_all(role, fault_cases[index].fault_off);
    g_test_message("%s", answer);
    g_assert_true(strncmp(answer, fault_cases[index].answer_prefix,
                          strlen(fault_cases[index].answer_prefix)) == 0);
    if (fault_cases[index].answer_suffix != NULL) {
        g_assert_true(
            g_str_has_suffix(answer, fault_cases[index].answer_suffix));
    }
    g_assert_cmpint(count_runs(role, id), <=, fault_cases[index].runs_max);
    g_assert_cmpint(count_runs(role, id), >=, fault_cases[index].runs_min);
}

/* Memory that a process has needed at the most, in kB. */
static int64_t
read_peak_memory(pid_t pid)
{
    char path[64];
    char *text = NULL;
    const char *line;
    int64_t peak = 0;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        line = strstr(text, "VmHWM:");
        peak = line != NULL ? strtoll(line + 6, NULL, 10) : 0;
    }
    g_free(text);
    return peak;
}

#define ENDLESS_ANSWERS 48
/* Memory that so many endless answers may take at once. */
#define ENDLESS_MEMORY_KB_MAX (10 * 1024)

/*
 * Dozens of answers without end at once: each is cut off, together they take
 * little memory, and callers of other workers are served meanwhile.
 */
static void
test_many_endless(void)
{
    static const char request[] =
        "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: many\r\n"
        "Content-Length: 0\r\n" CLOSE_FIELD;
    char stream_request[1024];
    int size = snprintf(stream_request, sizeof(stream_request), STREAM_REQUEST,
                        "beside");
    pid_t pid = GatewayCluster_GetPid(cluster, GATEWAY_CLUSTER_GATEWAY, 0);
    int64_t peak_before = read_peak_memory(pid);
    int64_t growth;
    int fds[ENDLESS_ANSWERS];

    set_knob_of_all(GATEWAY_CLUSTER_PLAIN_WORKER,
                    "places=100&endless_kind=9&endless=100");
    for (int i = 0; i < ENDLESS_ANSWERS; i++) {
        fds[i] = GatewayCluster_Connect(
            GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0));
        g_assert_cmpint(send(fds[i], request, sizeof(request) - 1, 0), ==,
                        sizeof(request) - 1);
    }
    send_text(0, stream_request, (size_t)size);
    g_assert_true(strncmp(answer, "HTTP/1.1 200", 12) == 0);
    g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
    for (int i = 0; i < ENDLESS_ANSWERS; i++) {
        char status[16] = "";

        g_assert_cmpint(recv(fds[i], status, 12, MSG_WAITALL), ==, 12);
        g_assert_true(strcmp(status, "HTTP/1.1 502") == 0 ||
                      strcmp(status, "HTTP/1.1 503") == 0);
        close(fds[i]);
    }
    set_knob_of_all(GATEWAY_CLUSTER_PLAIN_WORKER, "endless=0&places=8");
    growth = read_peak_memory(pid) - peak_before;
    g_test_message("%d kB", (int)growth);
#ifndef __SANITIZE_ADDRESS__
    g_assert_cmpint(growth, <=, ENDLESS_MEMORY_KB_MAX);
#endif
}

/*
 * A resumable stream that one worker truncates continues at the other.  Guards
 * against events that are repeated or lost across the two attempts.
 */
static void
test_resume(void)
{
    char request[1024];
    int size = snprintf(request, sizeof(request), RESUME_REQUEST, "resume1");

    /* Earlier cases are expected to have loaded a1 at both workers. */
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_LLM_WORKER, 0,
                           "truncate=25");
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_LLM_WORKER, 1,
                           "truncate=0");
    for (int i = 0; i < 5; i++) {
        send_text(0, request, (size_t)size);
        g_assert_true(strncmp(answer, "HTTP/1.1 200", 12) == 0 ||
                      strncmp(answer, "HTTP/1.1 502", 12) == 0);
        for (int event = 0; event < 9; event++) {
            char piece[32];

            snprintf(piece, sizeof(piece), "data: piece %d\n", event);
            g_assert_cmpint(count_occurrences(answer, piece), <=, 1);
        }
        if (g_str_has_suffix(answer, "0\r\n\r\n")) {
            g_assert_cmpint(count_occurrences(answer, "data: piece "), ==, 10);
        }
    }
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_LLM_WORKER, 0,
                           "truncate=0");
}

/* ---- faults of the store ------------------------------------------------- */

#define EXTRA_ROUTE_REQUEST                                                   \
    "GET /extra/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: e\r\n" CLOSE_FIELD

/* A new routing configuration comes into force while the store has a fault. */
static const struct {
    const char *name;
    const char *fault_on;
    const char *fault_off;
} store_cases[] = {
    {"no fault", "busy=0", "busy=0"},
    {"status 503", "busy=70", "busy=0"},
    {"status 429", "many=70", "many=0"},
    {"connections reset", "reset=70", "reset=0"},
    {"calls never answered", "drop=40", "drop=0"},
    {"change history dropped", "forget=1", "forget=0"},
    {"pages of two objects", "page=2", "page=50"},
};

/* Random faults end after so many calls of all processes: else the calls of
 * one gateway could by chance fail for longer than 16 s. */
#define FAULTY_CALLS "faulty_calls=100"

/* Polls /extra/ every 50 ms for 16 s, in which a configuration must come into
 * force, until the answer has the prefix. */
static bool
wait_for_extra_route(const char *answer_prefix)
{
    for (int i = 0; i < 320; i++) {
        send_text(0, EXTRA_ROUTE_REQUEST, strlen(EXTRA_ROUTE_REQUEST));
        if (strncmp(answer, answer_prefix, strlen(answer_prefix)) == 0) {
            return true;
        }
        g_usleep(50000);
    }
    return false;
}

static void
test_store(gconstpointer data)
{
    static int version = 10;
    size_t index = GPOINTER_TO_SIZE(data);

    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0,
                           store_cases[index].fault_on);
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0, FAULTY_CALLS);
    GatewayCluster_WriteConfig(cluster, version++, true);
    g_assert_true(wait_for_extra_route("HTTP/1.1 200"));
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0, FAULTY_CALLS);
    GatewayCluster_WriteConfig(cluster, version++, false);
    g_assert_true(wait_for_extra_route("HTTP/1.1 404"));
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0,
                           store_cases[index].fault_off);
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0,
                           "faulty_calls=0");
}

/* An announced version is loaded while requests go on to be answered. */
static void
test_version(void)
{
    static const char request[] =
        "POST /stream/x HTTP/1.1\r\nHost: h\r\nModel: m/a1\r\n"
        "Attempt-Id: v\r\nContent-Length: 0\r\n" CLOSE_FIELD;
    bool has_new_version = false;

    GatewayCluster_AnnounceVersion(cluster, "a1", 2);
    for (int i = 0; i < 100 && !has_new_version; i++) {
        json_t *state;
        char *text;

        send_text(0, request, sizeof(request) - 1);
        g_assert_true(strncmp(answer, "HTTP/1.1 200", 12) == 0);
        state =
            GatewayCluster_ReadState(cluster, GATEWAY_CLUSTER_LLM_WORKER, 0);
        text = json_dumps(state, 0);
        free(text);
        json_decref(state);
        for (int worker = 0; worker < 2; worker++) {
            char report[8192];
            static const char report_request[] =
                "GET /report HTTP/1.1\r\nHost: w\r\n\r\n";

            GatewayCluster_Exchange(
                GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_LLM_WORKER,
                                          worker),
                report_request, sizeof(report_request) - 1, report,
                sizeof(report), 1000);
            has_new_version =
                has_new_version || strstr(report, "a1@2") != NULL;
        }
        g_usleep(50000);
    }
    g_assert_true(has_new_version);
}

/* ---- processes ----------------------------------------------------------- */

static void
wait_until_served(int gateway)
{
    static const char request[] = GET_HEAD CLOSE_FIELD;

    for (int i = 0; i < 100; i++) {
        send_text(gateway, request, sizeof(request) - 1);
        if (strncmp(answer, "HTTP/1.1 200", 12) == 0) {
            return;
        }
        g_usleep(50000);
    }
    g_error("not served: %s", answer);
}

/* After SIGTERM, also when it comes twice, a gateway serves new callers with
 * "Connection: close" until it exits with status 0. */
static void
test_gateway_stop(void)
{
    wait_until_served(1);
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 1, SIGTERM);
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 1, SIGTERM);
    g_usleep(200000);
    wait_until_served(1);
    g_assert_nonnull(strstr(answer, "Connection: close"));
    g_assert_cmpint(
        GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_GATEWAY, 1), ==,
        0);
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_GATEWAY, 1);
    g_assert_true(GatewayCluster_WaitUntilReady(cluster, 1));
    wait_until_served(1);
}

/* A request whose body is still being received when a stopping gateway has
 * nothing else to do is answered before the process ends; here with a refusal,
 * as the grace period is about to end. */
static void
test_body_during_stop(void)
{
    static const char head[] = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
                               "Attempt-Id: slow\r\nContent-Length: 3\r\n\r\n";
    int fd = GatewayCluster_Connect(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 1));
    char bytes[64] = "";

    g_assert_cmpint(fd, >=, 0);
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 1, SIGTERM);
    g_assert_cmpint(send(fd, head, sizeof(head) - 1, MSG_NOSIGNAL), >, 0);
    for (int i = 0; i < 3; i++) {
        /* 1.8 s later each, within the idle timeout; 3.6 s in all, while a
         * stop without requests lasts 3.2 s. */
        g_usleep(i > 0 ? 1800000 : 0);
        g_assert_cmpint(send(fd, "b", 1, MSG_NOSIGNAL), ==, 1);
    }
    g_assert_cmpint(recv(fd, bytes, sizeof(bytes) - 1, 0), >, 0);
    g_assert_true(strncmp(bytes, "HTTP/1.1 503", 12) == 0);
    close(fd);
    g_assert_cmpint(
        GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_GATEWAY, 1), ==,
        0);
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_GATEWAY, 1);
    g_assert_true(GatewayCluster_WaitUntilReady(cluster, 1));
    wait_until_served(1);
}

/* SIGHUP makes a process read its settings again; it must go on serving. */
static void
test_sighup(void)
{
    for (int i = 0; i < 2; i++) {
        GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, i, SIGHUP);
        GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_KEEPER, i, SIGHUP);
    }
    g_usleep(200000);
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(
            kill(GatewayCluster_GetPid(cluster, GATEWAY_CLUSTER_KEEPER, i), 0),
            ==, 0);
        g_assert_cmpint(
            waitpid(GatewayCluster_GetPid(cluster, GATEWAY_CLUSTER_KEEPER, i),
                    NULL, WNOHANG),
            ==, 0);
        wait_until_served(i);
    }
}

static void
send_message(int fd, KcEncoder *encoder, const KcMsg *msg)
{
    KcBytes bytes;

    g_assert_cmpint(KcEncoder_Encode(encoder, msg, &bytes), ==, 0);
    g_assert_cmpint(send(fd, bytes.data, bytes.size, MSG_NOSIGNAL), ==,
                    (ssize_t)bytes.size);
}

/* Sends a load request for adapter gNUMBER, then a report that one request
 * uses it. */
static void
send_load_request_and_usage(int fd, KcEncoder *encoder, int number)
{
    KcMsg load_request = {.type = KC_MSG_WANT, .u.want = {.model = "m"}};
    KcMsg usage = {.type = KC_MSG_USED,
                   .u.used = {.model = "m", .uses = 1, .in_flight = 1}};

    snprintf(load_request.u.want.adapter, KC_NAME_MAX, "g%d", number);
    snprintf(usage.u.used.adapter, KC_NAME_MAX, "g%d", number);
    send_message(fd, encoder, &load_request);
    g_usleep(100000);
    send_message(fd, encoder, &usage);
}

/*
 * A gateway whose requests use every adapter slot disconnects while its load
 * request for one more adapter waits.  The keeper may then evict its adapters
 * and notifies the remaining gateways.  Guards against a crash of the keeper.
 */
static void
test_gateway_lost(void)
{
    KcEncoder *encoder = KcEncoder_Create();
    KcMsg hello = {.type = KC_MSG_HELLO,
                   .u.hello = {.name = "lost",
                               .incarnation = 1,
                               .protocol_version = KC_PROTOCOL_VERSION}};
    char address[64];
    int fd;

    snprintf(
        address, sizeof(address), "%s",
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_LLM_WORKER, 0));
    sprintf(strrchr(address, ':'), ":%d", GATEWAY_CLUSTER_KEEPER_PORT);
    fd = GatewayCluster_Connect(address);
    g_assert_cmpint(fd, >=, 0);
    send_message(fd, encoder, &hello);
    for (int i = 0; i < 16; i++) {
        send_load_request_and_usage(fd, encoder, i);
    }
    g_usleep(600000);
    close(fd);
    g_usleep(300000);
    g_assert_cmpint(
        waitpid(GatewayCluster_GetPid(cluster, GATEWAY_CLUSTER_KEEPER, 0),
                NULL, WNOHANG),
        ==, 0);
    KcEncoder_Free(encoder);
}

/* The latest fencing number in the log of keeper 0, 0 when there is none. */
static long
read_last_fence(void)
{
    static const char fence_log_text[] = "fencing number ";
    char *text = GatewayCluster_ReadLog(cluster, GATEWAY_CLUSTER_KEEPER, 0);
    const char *match;
    long fence = 0;

    g_assert_nonnull(text);
    match = g_strrstr(text, fence_log_text);
    if (match != NULL) {
        fence = strtol(match + strlen(fence_log_text), NULL, 10);
    }
    free(text);
    return fence;
}

/* Streams are served while the keeper is down; after its restart it takes a
 * higher fencing number. */
static void
test_keeper_killed(void)
{
    long fence = read_last_fence();
    char request[1024];
    int size;

    g_assert_cmpint(fence, >, 0);

    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_KEEPER, 0, SIGKILL);
    GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_KEEPER, 0);
    size = snprintf(request, sizeof(request), STREAM_REQUEST, "kk1");
    send_text(0, request, (size_t)size);
    g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_KEEPER, 0);
    for (int i = 0; i < 100 && read_last_fence() == fence; i++) {
        g_usleep(50000);
    }
    g_assert_cmpint(read_last_fence(), >, fence);
}

/* Streams are served again after both model workers were killed and restarted
 * without adapters. */
static void
test_worker_restart(void)
{
    char request[1024];
    int size;
    bool is_complete = false;

    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_LLM_WORKER, 0, SIGKILL);
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_LLM_WORKER, 1, SIGKILL);
    GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_LLM_WORKER, 0);
    GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_LLM_WORKER, 1);
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_LLM_WORKER, 0);
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_LLM_WORKER, 1);
    for (int i = 0; i < 100 && !is_complete; i++) {
        char id[32];

        snprintf(id, sizeof(id), "wr%d", i);
        size = snprintf(request, sizeof(request), STREAM_REQUEST, id);
        send_text(0, request, (size_t)size);
        is_complete = g_str_has_suffix(answer, "0\r\n\r\n");
        g_usleep(50000);
    }
    g_assert_true(is_complete);
}

/* Checks after all other tests that no worker received an order to load beyond
 * its adapter slots. */
static void
test_no_overload(void)
{
    for (int i = 0; i < 2; i++) {
        json_t *state =
            GatewayCluster_ReadState(cluster, GATEWAY_CLUSTER_LLM_WORKER, i);

        g_assert_cmpint(
            json_integer_value(json_object_get(state, "overloads")), ==, 0);
        json_decref(state);
    }
}

/* Waits until each gateway serves requests and streams, so that it knows
 * workers of both services. */
static void
wait_for_workers(void)
{
    for (int gateway = 0; gateway < 2; gateway++) {
        bool is_complete = false;

        wait_until_served(gateway);
        for (int i = 0; i < 100 && !is_complete; i++) {
            char request[1024];
            char id[32];
            int size;

            snprintf(id, sizeof(id), "warm%d-%d", gateway, i);
            size = snprintf(request, sizeof(request), STREAM_REQUEST, id);
            send_text(gateway, request, (size_t)size);
            is_complete = g_str_has_suffix(answer, "0\r\n\r\n");
            g_usleep(20000);
        }
        g_assert_true(is_complete);
    }
}

int
main(int argc, char **argv)
{
    GatewayClusterOptions options = {
        .network_octet = GatewayCluster_ReserveNetwork(128, 227),
        .llm_workers = 2,
        .plain_workers = 2,
        .gateways = 2,
        .seed = 7};
    int status;

    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/platform/raw", raw_cases, G_N_ELEMENTS(raw_cases),
                   sizeof(raw_cases[0]), test_raw_request);
    g_test_add_func("/platform/raw/a large head", test_large_head);
    g_test_add_func("/platform/raw/a body above the limit sent whole",
                    test_large_body);
    g_test_add_func("/platform/raw/NUL in a head", test_nul_in_head);
    Steps_AddCases("/platform/fault", fault_cases, G_N_ELEMENTS(fault_cases),
                   sizeof(fault_cases[0]), test_fault);
    g_test_add_func("/platform/resume", test_resume);
    g_test_add_func("/platform/many_endless", test_many_endless);
    Steps_AddCases("/platform/store", store_cases, G_N_ELEMENTS(store_cases),
                   sizeof(store_cases[0]), test_store);
    g_test_add_func("/platform/version", test_version);
    g_test_add_func("/platform/gateway stopped by SIGTERM", test_gateway_stop);
    g_test_add_func("/platform/body received during a stop",
                    test_body_during_stop);
    g_test_add_func("/platform/SIGHUP", test_sighup);
    g_test_add_func("/platform/gateway lost", test_gateway_lost);
    g_test_add_func("/platform/keeper killed", test_keeper_killed);
    g_test_add_func("/platform/workers restarted", test_worker_restart);
    g_test_add_func("/platform/no overload", test_no_overload);
    cluster = GatewayCluster_Start(&options);
    wait_for_workers();
    status = g_test_run();
    GatewayCluster_Stop(cluster);
    return status;
}
