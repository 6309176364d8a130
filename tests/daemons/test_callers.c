/*
 * What callers may send to an entry: bytes on a connection, and what comes
 * back.  After each the entry must still serve.
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

#include "fleet.h"

#define WAIT_S 10
#define JSON "Content-Type: application/json\r\n"
#define GOOD_BODY "{\"model\":\"a0@2\",\"prompt\":\"hello\",\"max_tokens\":3}"
#define GOOD_LENGTH "Content-Length: 48\r\n"
#define GOOD                                                                  \
    "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON GOOD_LENGTH           \
    "\r\n" GOOD_BODY

_Static_assert(sizeof(GOOD_BODY) - 1 == 48, "the length that is sent");

static const struct {
    const char *name;
    const char *bytes;
    size_t padding;       /* bytes of 'x' sent after them */
    const char *expected; /* in what comes back; NULL: anything */
    int times;            /* it must come this often */
} cases[] = {
    {"completion", GOOD, 0, "\"text_completion\"", 1},
    {"two at once on one connection", GOOD GOOD, 0, "\"text_completion\"", 1},
    {"HTTP/1.0",
     "POST /v1/completions HTTP/1.0\r\n" JSON GOOD_LENGTH "\r\n" GOOD_BODY, 0,
     "\"text_completion\"", 1},
    {"chat, streamed",
     "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n" JSON
     "Content-Length: 98\r\n\r\n"
     "{\"model\":\"a1\",\"stream\":true,\"max_tokens\":3,"
     "\"messages\":[{\"role\":\"user\",\"content\":\"hello there\"}]}  ",
     0, "data: [DONE]", 1},
    {"models", "GET /v1/models HTTP/1.1\r\nHost: e\r\n\r\n", 0, "\"a0@2\"", 1},
    {"unknown model",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON
     "Content-Length: 31\r\n\r\n{\"model\":\"zz\",\"prompt\":\"hello\"}",
     0, "\"unknown_model\"", 1},
    {"not JSON",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON
     "Content-Length: 5\r\n\r\n{{{{{",
     0, "\"parse_error\"", 1},
    {"no model",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON
     "Content-Length: 2\r\n\r\n{}",
     0, "\"step\":\"model\"", 1},
    {"two choices",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" JSON
     "Content-Length: 28\r\n\r\n{\"model\":\"a0\",\"n\":2,\"x\":123}",
     0, "\"step\":\"n\"", 1},
    {"wrong method", "GET /v1/completions HTTP/1.1\r\nHost: e\r\n\r\n", 0,
     "\"step\":\"method\"", 1},
    {"priority out of range",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\nX-Kcc-Priority: "
     "11\r\n" JSON GOOD_LENGTH "\r\n" GOOD_BODY,
     0, "\"X-Kcc-Priority\"", 1},
    {"bad customer",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\nX-Kcc-Customer: a "
     "b\r\n" JSON GOOD_LENGTH "\r\n" GOOD_BODY,
     0, "\"X-Kcc-Customer\"", 1},
    {"unknown path", "GET /nowhere HTTP/1.1\r\nHost: e\r\n\r\n", 0,
     "\"not_found\"", 1},
    {"plain service",
     "POST /print/x HTTP/1.1\r\nHost: e\r\nContent-Length: 2\r\n\r\nhi", 0,
     "\"accepted\":\"hi\"", 1},
    {"garbage", "\x01\x02\xff\xfe garbage\r\n\r\n", 0, NULL, 0},
    {"half a request", "POST /v1/completions HTTP/1.1\r\nContent-Len", 0, NULL,
     0},
    {"half a body",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" GOOD_LENGTH "\r\n{\"mo", 0,
     NULL, 0},
    {"headers too large", "GET /v1/models HTTP/1.1\r\nX-Long: ", 200000, NULL,
     0},
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
connect_to(const char *address)
{
    struct timeval wait = {WAIT_S, 0};
    struct sockaddr_in to = {.sin_family = AF_INET};
    char host[KC_ADDRESS_MAX];
    uint16_t port;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(KcAddress_Parse(address, host, &port), ==, 0);
    to.sin_port = htons(port);
    inet_pton(AF_INET, host, &to.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
    return fd;
}

static int
count_of(const char *text, const char *wanted)
{
    int count = 0;

    while ((text = strstr(text, wanted)) != NULL) {
        text++;
        count++;
    }
    return count;
}

/* Reads until what is wanted has come often enough, or nothing more does. */
static GString *
read_answer(int fd, const char *expected, int times)
{
    GString *answer = g_string_new("");
    char bytes[4096];

    while (expected == NULL || count_of(answer->str, expected) < times) {
        ssize_t got = read(fd, bytes, sizeof(bytes));

        if (got <= 0) {
            break;
        }
        g_string_append_len(answer, bytes, got);
    }
    return answer;
}

static void
run_case(const char *address, size_t i)
{
    int fd = connect_to(address);
    char *padding = g_strnfill(cases[i].padding, 'x');
    GString *answer;

    g_test_message("%s", cases[i].name);
    send(fd, cases[i].bytes, strlen(cases[i].bytes), MSG_NOSIGNAL);
    send(fd, padding, cases[i].padding, MSG_NOSIGNAL);
    if (cases[i].expected == NULL) {
        /* Nothing need come back; the entry must outlive it. */
        shutdown(fd, SHUT_WR);
    }
    answer = read_answer(fd, cases[i].expected, cases[i].times);
    if (cases[i].expected != NULL) {
        g_assert_cmpint(count_of(answer->str, cases[i].expected), >=,
                        cases[i].times);
    }
    g_string_free(answer, TRUE);
    g_free(padding);
    close(fd);
}

static void
test_cases(void)
{
    FleetOptions options = {.port = 22200,
                            .entries = 1,
                            .model_agents = 1,
                            .plain_agents = 1,
                            .entry_settings = "[timeouts]\nread_ms = 2000\n"};
    Fleet *fleet = Fleet_Start(&options);
    const char *address = Fleet_Address(fleet, FLEET_ENTRY, 0);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        run_case(address, i);
        run_case(address, 0); /* it still serves */
    }
    Fleet_Signal(fleet, FLEET_ENTRY, 0, SIGTERM);
    g_assert_cmpint(Fleet_Wait(fleet, FLEET_ENTRY, 0), ==, 0);
    Fleet_Stop(fleet);
}

/* Whoever does not finish its request in time loses its connection; whoever
 * waits for a long answer does not. */
static const struct {
    const char *name;
    const char *bytes;
    bool answered;
} slow_cases[] = {
    {"half a request line", "POST /v1/comp", false},
    {"half a body",
     "POST /v1/completions HTTP/1.1\r\nHost: e\r\n" GOOD_LENGTH "\r\n{\"mo",
     false},
    {"long answer", GOOD, true},
};

static void
test_slow_callers(void)
{
    FleetOptions options = {.port = 22300,
                            .entries = 1,
                            .model_agents = 1,
                            .plain_agents = 1,
                            .engine_knobs = "token_ms=400",
                            .entry_settings = "[timeouts]\nread_ms = 300\n"};
    Fleet *fleet = Fleet_Start(&options);

    for (size_t i = 0; i < G_N_ELEMENTS(slow_cases); i++) {
        int fd = connect_to(Fleet_Address(fleet, FLEET_ENTRY, 0));
        GString *answer;

        g_test_message("%s", slow_cases[i].name);
        send(fd, slow_cases[i].bytes, strlen(slow_cases[i].bytes),
             MSG_NOSIGNAL);
        /* Ends when the entry closes the connection, or not at all. */
        answer = read_answer(fd, "never", 1);
        g_assert_cmpint(strstr(answer->str, "\"finish_reason\":\"stop\"") !=
                            NULL,
                        ==, slow_cases[i].answered);
        g_string_free(answer, TRUE);
        g_assert_cmpint(recv(fd, &(char){0}, 1, 0), ==, 0);
        close(fd);
    }
    Fleet_Stop(fleet);
}

/* Bytes that no entry sends: the agent ends that connection and no other. */
static const struct {
    const char *name;
    const char *bytes;
    size_t size;
} frame_cases[] = {
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
    FleetOptions options = {.port = 22400,
                            .entries = 1,
                            .model_agents = 1,
                            .plain_agents = 1,
                            .engine_knobs = "token_ms=100"};
    Fleet *fleet = Fleet_Start(&options);
    const char *entry = Fleet_Address(fleet, FLEET_ENTRY, 0);

    for (size_t i = 0; i < G_N_ELEMENTS(frame_cases); i++) {
        int stream = connect_to(entry);
        int fd = connect_to(Fleet_Address(fleet, FLEET_AGENT, 0));
        GString *answer;

        g_test_message("%s", frame_cases[i].name);
        send(stream, GOOD, strlen(GOOD), MSG_NOSIGNAL);
        send(fd, frame_cases[i].bytes, frame_cases[i].size, MSG_NOSIGNAL);
        answer = read_answer(fd, "never", 1); /* until it is closed */
        g_string_free(answer, TRUE);
        close(fd);
        answer = read_answer(stream, "\"finish_reason\":\"stop\"", 1);
        g_assert_nonnull(strstr(answer->str, "\"finish_reason\":\"stop\""));
        g_string_free(answer, TRUE);
        close(stream);
    }
    Fleet_Stop(fleet);
}

/* The operators' commands against a running service. */
static const struct {
    const char *name;
    const char *arguments[6];
    int status;
    const char *expected; /* in what is printed */
} command_cases[] = {
    {"status", {"status"}, 0, "in force"},
    {"get", {"get", "capacity"}, 0, "slots = 8"},
    {"call", {"call", "--model", "a3@2", "hello"}, 0, "a3@2/"},
    {"call, streamed",
     {"call", "--model", "a3", "--stream", "hello"},
     0,
     "[DONE]"},
    {"call of nothing",
     {"call", "--model", "zz", "hello"},
     1,
     "unknown_model"},
    {"plain call",
     {"call", "--path", "/print/x", "--key", "k1", "hello"},
     0,
     "accepted"},
    {"the same key",
     {"call", "--path", "/print/x", "--key", "k1", "hello"},
     1,
     "\"earlier_call\":\"answered\""},
    {"time line", {"timeline", "--adapter", "a3"}, 0, "first_byte"},
    {"time line of a generation",
     {"timeline", "--generation", "1"},
     0,
     "adopt"},
    {"time line for viewers", {"timeline", "--json"}, 0, "\"traceEvents\""},
    {"time line of nothing", {"timeline", "--adapter", "yy"}, 1, ""},
    {"explain an adapter", {"explain", "--adapter", "a3"}, 0, "a3@2 is ready"},
    {"explain one that is nowhere",
     {"explain", "--adapter", "a9"},
     1,
     "loaded nowhere"},
    {"drain nobody", {"drain", "nobody"}, 1, ""},
    {"drain", {"drain", "agent-0"}, 0, "draining"},
};

static void
run_command(Fleet *fleet, size_t i)
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
        arguments[count++] = Fleet_Address(fleet, FLEET_ENTRY, 0);
    }
    arguments[count] = NULL;
    status = Fleet_Kcc(fleet, arguments, output, sizeof(output));
    g_test_message("%s: %d", command_cases[i].name, status);
    g_assert_cmpint(status, ==, command_cases[i].status);
    g_assert_nonnull(strstr(output, command_cases[i].expected));
}

static void
test_commands(void)
{
    FleetOptions options = {
        .port = 22500, .entries = 1, .model_agents = 1, .plain_agents = 1};
    Fleet *fleet = Fleet_Start(&options);

    for (size_t i = 0; i < G_N_ELEMENTS(command_cases); i++) {
        run_command(fleet, i);
    }
    /* What was drained ends by itself, cleanly. */
    g_assert_cmpint(Fleet_Wait(fleet, FLEET_AGENT, 0), ==, 0);
    Fleet_Stop(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/callers/cases", test_cases);
    g_test_add_func("/callers/slow", test_slow_callers);
    g_test_add_func("/callers/bad_frames", test_bad_frames);
    g_test_add_func("/callers/commands", test_commands);
    return g_test_run();
}
