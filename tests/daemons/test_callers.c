/*
 * Tests what an entry answers to valid, invalid and slow callers, what an
 * agent does with invalid frames, and the commands of kcc.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "entry_cluster.h"

#define SOCKET_TIMEOUT_S 10
#define JSON_TYPE_FIELD "Content-Type: application/json\r\n"
#define VALID_BODY "{\"model\":\"a0@2\",\"prompt\":\"hello\",\"max_tokens\":3}"
#define VALID_LENGTH_FIELD "Content-Length: 48\r\n"
#define VALID_REQUEST                                                         \
    "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON_TYPE_FIELD            \
        VALID_LENGTH_FIELD "\r\n" VALID_BODY

_Static_assert(sizeof(VALID_BODY) - 1 == 48,
               "VALID_LENGTH_FIELD is the length of VALID_BODY");

/* Bytes that a caller sends and what the answer contains.  The entry must
 * still serve a valid request after each case. */
static const struct {
    const char *name;
    const char *bytes;
    size_t padding_bytes; /* number of 'x' sent after them */
    const char *expected; /* in the answer; NULL: anything or nothing */
    int expected_count;   /* least number of occurrences */
} request_cases[] = {
    {"completion", VALID_REQUEST, 0, "\"text_completion\"", 1},
    {"two pipelined requests", VALID_REQUEST VALID_REQUEST, 0,
     "\"text_completion\"", 1},
    {"HTTP/1.0",
     "POST /v1/completions HTTP/1.0\r\n" JSON_TYPE_FIELD VALID_LENGTH_FIELD
     "\r\n" VALID_BODY,
     0, "\"text_completion\"", 1},
    {"chat, streamed",
     "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n" JSON_TYPE_FIELD
     "Content-Length: 98\r\n\r\n"
     "{\"model\":\"a1\",\"stream\":true,\"max_tokens\":3,"
     "\"messages\":[{\"role\":\"user\",\"content\":\"hello there\"}]}  ",
     0, "data: [DONE]", 1},
    {"models", "GET /v1/models HTTP/1.1\r\nHost: e\r\n\r\n", 0, "\"a0@2\"", 1},
    {"unknown model",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON_TYPE_FIELD
     "Content-Length: 31\r\n\r\n{\"model\":\"zz\",\"prompt\":\"hello\"}",
     0, "\"unknown_model\"", 1},
    {"not JSON",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON_TYPE_FIELD
     "Content-Length: 5\r\n\r\n{{{{{",
     0, "\"parse_error\"", 1},
    {"no model",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON_TYPE_FIELD
     "Content-Length: 2\r\n\r\n{}",
     0, "\"step\":\"model\"", 1},
    {"n above 1",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON_TYPE_FIELD
     "Content-Length: 28\r\n\r\n{\"model\":\"a0\",\"n\":2,\"x\":123}",
     0, "\"step\":\"n\"", 1},
    {"wrong method", "GET /v1/completions HTTP/1.1\r\nHost: e\r\n\r\n", 0,
     "\"step\":\"method\"", 1},
    {"priority out of range",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\nX-Kcc-Priority: "
     "11\r\n" JSON_TYPE_FIELD VALID_LENGTH_FIELD "\r\n" VALID_BODY,
     0, "\"X-Kcc-Priority\"", 1},
    {"customer with a space",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\nX-Kcc-Customer: a "
     "b\r\n" JSON_TYPE_FIELD VALID_LENGTH_FIELD "\r\n" VALID_BODY,
     0, "\"X-Kcc-Customer\"", 1},
    {"unknown path", "GET /nowhere HTTP/1.1\r\nHost: e\r\n\r\n", 0,
     "\"not_found\"", 1},
    {"plain service",
     "POST /print/x HTTP/1.1\r\nHost: e\r\nContent-Length: 2\r\n\r\nhi", 0,
     "\"accepted\":\"hi\"", 1},
    {"garbage", "\x01\x02\xff\xfe garbage\r\n\r\n", 0, NULL, 0},
    {"truncated head", "POST /v1/completions HTTP/1.1\r\nContent-Len", 0, NULL,
     0},
    {"truncated body",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" VALID_LENGTH_FIELD
     "\r\n{\"mo",
     0, NULL, 0},
    {"head too large", "GET /v1/models HTTP/1.1\r\nX-Long: ", 200000, NULL, 0},
    {"body too large",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: "
     "9000000\r\n\r\n",
     100000, NULL, 0},
    {"negative length",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: "
     "-5\r\n\r\n",
     0, NULL, 0},
};

static int
connect_with_timeouts(const char *address)
{
    struct timeval timeout = {SOCKET_TIMEOUT_S, 0};
    struct sockaddr_in target = {.sin_family = AF_INET};
    char host[KC_ADDRESS_MAX];
    uint16_t port;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(KcAddress_Parse(address, host, &port), ==, 0);
    target.sin_port = htons(port);
    inet_pton(AF_INET, host, &target.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&target, sizeof(target)),
                    ==, 0);
    return fd;
}

static int
count_occurrences(const char *text, const char *part)
{
    int count = 0;

    while ((text = strstr(text, part)) != NULL) {
        text++;
        count++;
    }
    return count;
}

/* Reads until the expected text has arrived expected_count times, the peer
 * closes the connection, or nothing arrives for SOCKET_TIMEOUT_S.  The caller
 * frees the answer. */
static GString *
read_answer(int fd, const char *expected, int expected_count)
{
    GString *answer = g_string_new("");
    char bytes[4096];

    while (expected == NULL ||
           count_occurrences(answer->str, expected) < expected_count) {
        ssize_t received = read(fd, bytes, sizeof(bytes));

        if (received <= 0) {
            break;
        }
        g_string_append_len(answer, bytes, received);
    }
    return answer;
}

static void
run_request_case(const char *address, size_t i)
{
    int fd = connect_with_timeouts(address);
    char *padding = g_strnfill(request_cases[i].padding_bytes, 'x');
    GString *answer;

    g_test_message("%s", request_cases[i].name);
    send(fd, request_cases[i].bytes, strlen(request_cases[i].bytes),
         MSG_NOSIGNAL);
    send(fd, padding, request_cases[i].padding_bytes, MSG_NOSIGNAL);
    if (request_cases[i].expected == NULL) {
        /* No answer is required; the entry must keep running. */
        shutdown(fd, SHUT_WR);
    }
    answer = read_answer(fd, request_cases[i].expected,
                         request_cases[i].expected_count);
    if (request_cases[i].expected != NULL) {
        g_assert_cmpint(
            count_occurrences(answer->str, request_cases[i].expected), >=,
            request_cases[i].expected_count);
    }
    g_string_free(answer, TRUE);
    g_free(padding);
    close(fd);
}

static void
test_requests(void)
{
    EntryClusterOptions options = {.entries = 1,
                                   .model_agents = 1,
                                   .plain_agents = 1,
                                   .entry_settings =
                                       "[timeouts]\nread_ms = 2000\n"};
    EntryCluster *cluster = EntryCluster_Start(&options);
    const char *address =
        EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENTRY, 0);

    for (size_t i = 0; i < G_N_ELEMENTS(request_cases); i++) {
        run_request_case(address, i);
        run_request_case(address, 0); /* a valid request is still served */
    }
    EntryCluster_SendSignal(cluster, ENTRY_CLUSTER_ENTRY, 0, SIGTERM);
    g_assert_cmpint(EntryCluster_WaitForExit(cluster, ENTRY_CLUSTER_ENTRY, 0),
                    ==, 0);
    EntryCluster_Stop(cluster);
}

/* The entry closes the connection of a caller that does not complete its
 * request within read_ms, but not while an answer takes longer than that. */
static const struct {
    const char *name;
    const char *bytes;
    bool expects_answer;
} slow_cases[] = {
    {"truncated request line", "POST /v1/comp", false},
    {"truncated body",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" VALID_LENGTH_FIELD
     "\r\n{\"mo",
     false},
    {"long answer", VALID_REQUEST, true},
};

static void
test_slow_callers(void)
{
    EntryClusterOptions options = {.entries = 1,
                                   .model_agents = 1,
                                   .plain_agents = 1,
                                   .engine_knobs = "token_ms=400",
                                   .entry_settings =
                                       "[timeouts]\nread_ms = 300\n"};
    EntryCluster *cluster = EntryCluster_Start(&options);

    for (size_t i = 0; i < G_N_ELEMENTS(slow_cases); i++) {
        int fd = connect_with_timeouts(
            EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENTRY, 0));
        GString *answer;

        g_test_message("%s", slow_cases[i].name);
        send(fd, slow_cases[i].bytes, strlen(slow_cases[i].bytes),
             MSG_NOSIGNAL);
        /* Reads until the entry closes the connection. */
        answer = read_answer(fd, "never", 1);
        g_assert_cmpint(strstr(answer->str, "\"finish_reason\":\"stop\"") !=
                            NULL,
                        ==, slow_cases[i].expects_answer);
        g_string_free(answer, TRUE);
        g_assert_cmpint(recv(fd, &(char){0}, 1, 0), ==, 0);
        close(fd);
    }
    EntryCluster_Stop(cluster);
}

/* Invalid bytes on a link.  The agent closes that connection only: a stream of
 * another one runs to its end. */
static const struct {
    const char *name;
    const char *bytes;
    size_t size;
} bad_frame_cases[] = {
    {"empty frame", "\0\0\0\0", 4},
    {"oversized frame", "\x7f\xff\xff\xff", 4},
    {"not msgpack", "\0\0\0\x02\xc1\xc1", 6},
    {"unknown type", "\0\0\0\x05\x94\x7f\0\0\0", 9},
    {"message before hello", "\0\0\0\x05\x94\x0f\0\0\0", 9},
    {"HTTP", "GET / HTTP/1.1\r\n\r\n", 18},
};

static void
test_bad_frames(void)
{
    EntryClusterOptions options = {.entries = 1,
                                   .model_agents = 1,
                                   .plain_agents = 1,
                                   .engine_knobs = "token_ms=100"};
    EntryCluster *cluster = EntryCluster_Start(&options);
    const char *entry =
        EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENTRY, 0);

    for (size_t i = 0; i < G_N_ELEMENTS(bad_frame_cases); i++) {
        int stream = connect_with_timeouts(entry);
        int fd = connect_with_timeouts(
            EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_AGENT, 0));
        GString *answer;

        g_test_message("%s", bad_frame_cases[i].name);
        send(stream, VALID_REQUEST, strlen(VALID_REQUEST), MSG_NOSIGNAL);
        send(fd, bad_frame_cases[i].bytes, bad_frame_cases[i].size,
             MSG_NOSIGNAL);
        answer = read_answer(fd, "never", 1); /* until the agent closes it */
        g_string_free(answer, TRUE);
        close(fd);
        answer = read_answer(stream, "\"finish_reason\":\"stop\"", 1);
        g_assert_nonnull(strstr(answer->str, "\"finish_reason\":\"stop\""));
        g_string_free(answer, TRUE);
        close(stream);
    }
    EntryCluster_Stop(cluster);
}

/* Commands of kcc against running daemons, in this order: the second call
 * with a key needs the first, and the last one drains agent-0. */
static const struct {
    const char *name;
    const char *arguments[6];
    int status;
    const char *expected; /* in the output */
} command_cases[] = {
    {"status", {"status"}, 0, "in force"},
    {"get", {"get", "capacity"}, 0, "slots = 8"},
    {"call", {"call", "--model", "a3@2", "hello"}, 0, "a3@2/"},
    {"call, streamed",
     {"call", "--model", "a3", "--stream", "hello"},
     0,
     "[DONE]"},
    {"call to an unknown model",
     {"call", "--model", "zz", "hello"},
     1,
     "unknown_model"},
    {"plain call",
     {"call", "--path", "/print/x", "--key", "k1", "hello"},
     0,
     "accepted"},
    {"plain call with a key used before",
     {"call", "--path", "/print/x", "--key", "k1", "hello"},
     1,
     "\"earlier_call\":\"answered\""},
    {"timeline", {"timeline", "--adapter", "a3"}, 0, "first_byte"},
    {"timeline of a generation",
     {"timeline", "--generation", "1"},
     0,
     "adopt"},
    {"timeline in trace event format",
     {"timeline", "--json"},
     0,
     "\"traceEvents\""},
    {"timeline of an unknown adapter", {"timeline", "--adapter", "yy"}, 1, ""},
    {"explain an adapter", {"explain", "--adapter", "a3"}, 0, "a3@2 is ready"},
    {"explain an adapter that is not loaded",
     {"explain", "--adapter", "a9"},
     1,
     "loaded nowhere"},
    {"drain an unknown process", {"drain", "nobody"}, 1, ""},
    {"drain", {"drain", "agent-0"}, 0, "draining"},
};

static void
run_command(EntryCluster *cluster, size_t i)
{
    static char output[65536];
    const char *arguments[10] = {NULL};
    int count = 0;
    int status;

    for (int j = 0; j < 6 && command_cases[i].arguments[j] != NULL; j++) {
        arguments[count++] = command_cases[i].arguments[j];
    }
    if (g_strcmp0(arguments[0], "call") == 0) {
        arguments[count++] = "--entry";
        arguments[count++] =
            EntryCluster_GetAddress(cluster, ENTRY_CLUSTER_ENTRY, 0);
    }
    arguments[count] = NULL;
    status = EntryCluster_RunKcc(cluster, arguments, output, sizeof(output));
    g_test_message("%s: %d", command_cases[i].name, status);
    g_assert_cmpint(status, ==, command_cases[i].status);
    g_assert_nonnull(strstr(output, command_cases[i].expected));
}

static void
test_commands(void)
{
    EntryClusterOptions options = {
        .entries = 1, .model_agents = 1, .plain_agents = 1};
    EntryCluster *cluster = EntryCluster_Start(&options);

    for (size_t i = 0; i < G_N_ELEMENTS(command_cases); i++) {
        run_command(cluster, i);
    }
    /* The drained agent exits with status 0 without a signal. */
    g_assert_cmpint(EntryCluster_WaitForExit(cluster, ENTRY_CLUSTER_AGENT, 0),
                    ==, 0);
    EntryCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/callers/requests", test_requests);
    g_test_add_func("/callers/slow", test_slow_callers);
    g_test_add_func("/callers/bad_frames", test_bad_frames);
    g_test_add_func("/callers/commands", test_commands);
    return g_test_run();
}
