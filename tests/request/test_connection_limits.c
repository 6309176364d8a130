/*
 * Tests listeners at the limits of connections and descriptors: no caller is
 * closed without a word, and the loop does not spin.  A case is a text of
 * steps of several callers with real sockets.  The gateway has no
 * configuration and refuses every request, with another step than
 * "connections".
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/connection/tcp.h"
#include "../../programs/process/admin_http.h"
#include "../../programs/process/descriptors.h"
#include "../../programs/process/platform.h"
#include "../../programs/request/entry_front_end.h"
#include "../../programs/request/gateway_front_end.h"
#include "../steps.h"
#include "../gateway_stubs.h"
#include "../loopback.h"

/* Bounds the duration when a step does not end. */
#define GUARD_TIMEOUT (10 * KC_SECOND)
#define POLL_INTERVAL (2 * KC_MS)
#define CALLERS_MAX 100

typedef struct Fixture {
    KcLoop *loop;
    KcCounters counters;
    KcGateway *gateway;
    KcSettings settings; /* of an entry */
    const struct ListenerKind *kind;
    void *listener;
    char address[32];
    int callers[CALLERS_MAX];
    int caller_count;
    int other_descriptors; /* open in the process before the first caller */
    struct rlimit descriptor_limit; /* before it was lowered */
} Fixture;

static int iteration_count;

static void
count_iteration(void)
{
    iteration_count++;
}

static void
stop_loop(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(timer->owner);
}

static void
run_loop(Fixture *fixture, KcTime duration)
{
    KcTimer timer;

    KcTimer_Init(&timer, stop_loop, fixture->loop);
    KcTimers_Set(fixture->loop->timers, &timer, KcLoop_Now() + duration);
    fixture->loop->stop_requested = false;
    KcLoop_Run(fixture->loop);
}

static int
count_descriptors(void)
{
    int count = 0;

    for (int fd = 0; fd < 1024; fd++) {
        count += fcntl(fd, F_GETFD) >= 0 ? 1 : 0;
    }
    return count;
}

/* ---- listeners -------------------------------------------------------------- */

static void *
create_gateway_front_end(Fixture *fixture, uint32_t connections_max)
{
    KcGatewayFrontEndOptions options = {
        .loop = fixture->loop,
        .address = fixture->address,
        .gateway = fixture->gateway,
        .dialect = KcPlatform_Current.dialect,
        .counters = &fixture->counters,
        .connections_max = connections_max,
        .initial_limits = {.header_bytes_max = 1000,
                           .body_bytes_max = 1000,
                           .header_timeout = KC_SECOND * 60,
                           .idle_timeout = KC_SECOND * 60},
        .silence_timeout = KC_SECOND * 60,
        .stall_timeout = KC_SECOND * 60};

    return KcGatewayFrontEnd_Create(&options);
}

static void *
create_entry_front_end(Fixture *fixture, uint32_t connections_max)
{
    KcEntryFrontEndOptions options = {.loop = fixture->loop,
                                      .settings = &fixture->settings,
                                      .counters = &fixture->counters,
                                      .connections_max = connections_max};

    fixture->settings.header_bytes_max = 1000;
    fixture->settings.body_bytes_max = 1000;
    fixture->settings.read_timeout_ms = 60000;
    fixture->settings.write_timeout_ms = 60000;
    KcText_Copy(fixture->settings.callers_address, fixture->address,
                KC_ADDRESS_MAX);
    return KcEntryFrontEnd_Create(&options);
}

static void *
create_admin_server(Fixture *fixture, uint32_t connections_max)
{
    KcAdminServerOptions options = {.loop = fixture->loop,
                                    .settings = &fixture->settings,
                                    .address = fixture->address,
                                    .counters = &fixture->counters};

    (void)connections_max;
    return KcAdminServer_Create(&options);
}

static void
ignore_link(void *context, KcLink *link)
{
    (void)context;
    (void)link;
}

static void
free_link(void *context, void *peer_context, KcLink *link, int code)
{
    (void)context;
    (void)peer_context;
    (void)code;
    KcLink_Free(link);
}

static void *
create_tcp_listener(Fixture *fixture, uint32_t connections_max)
{
    static const KcTcpOps ops = {.on_closed = free_link};
    KcTcpOptions options = {
        .loop = fixture->loop, .counters = &fixture->counters, .ops = &ops};

    (void)connections_max;
    return KcTcpListener_Create(&options, fixture->address, ignore_link);
}

static void
free_gateway_front_end(void *listener)
{
    KcGatewayFrontEnd_Free(listener);
}

static void
free_entry_front_end(void *listener)
{
    KcEntryFrontEnd_Free(listener);
}

static void
free_admin_server(void *listener)
{
    KcAdminServer_Free(listener);
}

static void
free_tcp_listener(void *listener)
{
    KcTcpListener_Free(listener);
}

static const struct ListenerKind {
    const char *name;
    void *(*create)(Fixture *fixture, uint32_t connections_max);
    void (*free)(void *listener);
    const char *request; /* that is refused, as is any with the listener */
    const char *answer;  /* begin of the answer to it */
} listener_kinds[] = {
    {"gateway", create_gateway_front_end, free_gateway_front_end,
     "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 503 "},
    {"entry", create_entry_front_end, free_entry_front_end,
     "TRACE /x HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400 "},
    {"admin", create_admin_server, free_admin_server, NULL, NULL},
    {"links", create_tcp_listener, free_tcp_listener, NULL, NULL},
};

/* ---- steps ------------------------------------------------------------------ */

/* listen KIND COUNT: a listener for so many connections is created. */
static void
step_listen(Fixture *fixture, char **words)
{
    Loopback_AssignAddress(fixture->address, sizeof(fixture->address));
    for (size_t i = 0; i < G_N_ELEMENTS(listener_kinds); i++) {
        if (strcmp(words[1], listener_kinds[i].name) == 0) {
            fixture->kind = &listener_kinds[i];
        }
    }
    fixture->listener =
        fixture->kind->create(fixture, (uint32_t)atoi(words[2]));
    g_assert_nonnull(fixture->listener);
    fixture->other_descriptors = count_descriptors();
}

/* connect COUNT: so many callers connect. */
static void
step_connect(Fixture *fixture, char **words)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);

    g_assert_cmpint(evutil_parse_sockaddr_port(
                        fixture->address, (struct sockaddr *)&remote, &size),
                    ==, 0);
    for (int i = atoi(words[1]); i > 0; i--) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        g_assert_cmpint(
            connect(fd, (struct sockaddr *)&remote, (socklen_t)size), ==, 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        g_assert_cmpint(fixture->caller_count, <, CALLERS_MAX);
        fixture->callers[fixture->caller_count++] = fd;
    }
}

/* open yes|no: the gateway's front end accepts connections, or not. */
static void
step_open(Fixture *fixture, char **words)
{
    KcGatewayFrontEnd_SetOpen(fixture->listener, strcmp(words[1], "yes") == 0);
}

/* send CALLER: this caller sends a request. */
static void
step_send(Fixture *fixture, char **words)
{
    const char *request = fixture->kind->request;

    g_assert_cmpint(send(fixture->callers[atoi(words[1])], request,
                         strlen(request), MSG_NOSIGNAL),
                    ==, strlen(request));
}

/* close FROM TO: these callers close. */
static void
step_close(Fixture *fixture, char **words)
{
    for (int i = atoi(words[1]); i <= atoi(words[2]); i++) {
        close(fixture->callers[i]);
        fixture->callers[i] = -1;
    }
}

/* wait MS */
static void
step_wait(Fixture *fixture, char **words)
{
    run_loop(fixture, atoi(words[1]) * KC_MS);
}

/*
 * Receives from a caller until its text ends with a body, or the stream ends
 * if that is awaited. Returns the text, to be freed with g_free().
 */
static char *
receive(Fixture *fixture, int caller, bool until_end)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;
    GString *text = g_string_new(NULL);
    char bytes[4096];

    for (;;) {
        ssize_t size = recv(fixture->callers[caller], bytes, sizeof(bytes), 0);

        if (size == 0) {
            break;
        }
        if (size > 0) {
            g_string_append_len(text, bytes, size);
            continue;
        }
        g_assert_cmpint(errno, ==, EAGAIN);
        if (!until_end && strchr(text->str, '}') != NULL) {
            break;
        }
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, guard_at);
    }
    return g_string_free(text, FALSE);
}

/* served CALLER: the gateway itself has refused the caller's request. */
static void
step_served(Fixture *fixture, char **words)
{
    char *text = receive(fixture, atoi(words[1]), false);

    g_assert_cmpint(strncmp(text, fixture->kind->answer, 13), ==, 0);
    g_assert_null(strstr(text, "\"step\":\"connections\""));
    g_assert_null(strstr(text, "Connection: close\r\n"));
    g_free(text);
}

/* refused CALLER: the front end has refused the caller's connection. */
static void
step_refused(Fixture *fixture, char **words)
{
    char *text = receive(fixture, atoi(words[1]), true);

    g_assert_cmpint(strncmp(text, "HTTP/1.1 503 ", 13), ==, 0);
    g_assert_nonnull(strstr(text, "\"step\":\"connections\""));
    g_assert_nonnull(strstr(text, "Retry-After: "));
    g_assert_nonnull(strstr(text, "Connection: close\r\n"));
    g_free(text);
}

/* accepted COUNT: the front end holds so many connections. */
static void
step_accepted(Fixture *fixture, char **words)
{
    int count = count_descriptors() - fixture->other_descriptors;

    for (int i = 0; i < fixture->caller_count; i++) {
        count -= fixture->callers[i] >= 0 ? 1 : 0;
    }
    g_assert_cmpint(count, ==, atoi(words[1]));
}

/* exhaust: the process can open no further descriptor. */
static void
step_exhaust(Fixture *fixture, char **words)
{
    int first_free = dup(STDIN_FILENO);
    struct rlimit limit;

    (void)words;
    g_assert_cmpint(first_free, >=, 0);
    close(first_free);
    g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &fixture->descriptor_limit), ==,
                    0);
    limit = fixture->descriptor_limit;
    limit.rlim_cur = (rlim_t)first_free;
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
}

/* restore: the process can open descriptors again. */
static void
step_restore(Fixture *fixture, char **words)
{
    (void)words;
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &fixture->descriptor_limit), ==,
                    0);
}

/* iterations MAX MS: in this time the loop makes at most so many iterations.
 */
static void
step_iterations(Fixture *fixture, char **words)
{
    iteration_count = 0;
    run_loop(fixture, atoi(words[2]) * KC_MS);
    g_assert_cmpint(iteration_count, <=, atoi(words[1]));
}

static const StepHandler handlers[] = {
    {"listen", step_listen},     {"connect", step_connect},
    {"open", step_open},         {"send", step_send},
    {"close", step_close},       {"wait", step_wait},
    {"served", step_served},     {"refused", step_refused},
    {"accepted", step_accepted}, {"exhaust", step_exhaust},
    {"restore", step_restore},   {"iterations", step_iterations},
};

/* ---- cases -------------------------------------------------------------------- */

static const struct {
    const char *name;
    const char *steps;
} cases[] = {
    {"the loop spins while callers can't be accepted",
     "listen gateway 10;connect 2;exhaust;iterations 50 500;restore;send 1;"
     "served 1"},
    {"callers that come before a gateway opens are served then",
     "listen gateway 10;open no;connect 2;send 0;wait 50;accepted 0;open yes;"
     "served 0;send 1;served 1"},
    {"a caller above the limit is closed without a word",
     "listen gateway 1;connect 1;wait 20;connect 1;send 1;refused 1;send 0;"
     "served 0"},
    {"a caller above the limit is refused though there is room",
     "listen gateway 1;connect 1;wait 20;connect 1;wait 20;close 0 0;wait 20;"
     "send 1;served 1"},
    {"callers above the limit take all descriptors",
     "listen gateway 2;connect 90;wait 50;accepted 34;iterations 50 200;"
     "close 0 88;wait 100;send 89;served 89"},
    {"idle callers above the limit hold up the others",
     "listen gateway 1;connect 34;wait 50;accepted 33;wait 1100;send 33;"
     "refused 33"},
    {"a caller that waits for room is closed",
     "listen gateway 1;connect 2;wait 50;close 0 0;wait 1100;send 1;"
     "served 1"},
    {"a caller of an entry above the limit is closed without a word",
     "listen entry 1;connect 1;wait 20;connect 1;send 1;refused 1;send 0;"
     "served 0"},
    {"a caller of an entry is refused though there is room",
     "listen entry 1;connect 1;wait 20;connect 1;wait 20;close 0 0;wait 20;"
     "send 1;served 1"},
    {"callers of an entry above the limit take all descriptors",
     "listen entry 2;connect 90;wait 50;accepted 34;iterations 50 200;"
     "close 0 88;wait 100;send 89;served 89"},
    {"idle callers of an entry above the limit hold up the others",
     "listen entry 1;connect 34;wait 50;accepted 33;wait 1100;send 33;"
     "refused 33"},
    {"an entry spins while callers can't be accepted",
     "listen entry 10;connect 2;exhaust;iterations 50 500;restore;wait 200;"
     "accepted 2"},
    {"the loop spins while administrators can't be accepted",
     "listen admin 10;connect 2;exhaust;iterations 50 500;restore;wait 200;"
     "accepted 2"},
    {"the loop spins while links can't be accepted",
     "listen links 10;connect 2;exhaust;iterations 50 500;restore;wait 200;"
     "accepted 2"},
};

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.loop = KcLoop_Create()};
    KcGatewayOptions options;

    fixture.loop->on_iteration_end = count_iteration;
    KcGatewayOptions_Init(&options);
    options.timers = fixture.loop->timers;
    options.counters = &fixture.counters;
    options.datacentre = "here";
    options.region_of = GatewayStubs_FindRegion;
    fixture.gateway = KcGateway_Create(&options);
    Steps_Run(&fixture, handlers, G_N_ELEMENTS(handlers),
              cases[GPOINTER_TO_SIZE(data)].steps);
    for (int i = 0; i < fixture.caller_count; i++) {
        if (fixture.callers[i] >= 0) {
            close(fixture.callers[i]);
        }
    }
    run_loop(&fixture, 20 * KC_MS);
    fixture.kind->free(fixture.listener);
    KcGateway_Free(fixture.gateway);
    KcLoop_Free(fixture.loop);
}

/* The settings and RLIMIT_NOFILE, and the callers' connections at once. */
static const struct {
    const char *name;
    int64_t connections_max;
    int64_t descriptors_max;
    rlim_t own_limit;
    int64_t expected;
} connection_cases[] = {
    {"the limit of the process", 0, 0, 1024, 576},
    {"a lower number of descriptors", 0, 512, 1024, 192},
    {"a higher number of descriptors", 0, 4100, 1024, 576},
    {"fewer connections", 100, 0, 1024, 100},
    {"more connections", 24000, 0, 1024, 576},
    {"few descriptors", 0, 64, 1024, 24},
    {"hardly a descriptor", 0, 1, 1024, 1},
};

static void
test_connections(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcSettings settings = {
        .connections_max = connection_cases[index].connections_max,
        .descriptors_max = connection_cases[index].descriptors_max};
    struct rlimit before;
    struct rlimit limit;

    g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &before), ==, 0);
    limit = before;
    limit.rlim_cur = connection_cases[index].own_limit;
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
    g_assert_cmpint(KcDescriptors_LimitConnections(&settings), ==,
                    connection_cases[index].expected);
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &before), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/connection limits", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    Steps_AddCases("/connection limits/descriptors", connection_cases,
                   G_N_ELEMENTS(connection_cases), sizeof(connection_cases[0]),
                   test_connections);
    return g_test_run();
}
