/*
 * Tests how much of its callers' requests a gateway keeps in memory.  A case
 * is a text of steps of several callers with real sockets; the one backend
 * server takes and answers a request when the case says so.  Sizes are in KiB.
 */
#include <errno.h>
#include <fcntl.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/process/memory.h"
#include "../../programs/process/platform.h"
#include "../../programs/request/gateway_front_end.h"
#include "../gateway_stubs.h"
#include "../loopback.h"
#include "../steps.h"

/* Bounds the duration when a step does not end. */
#define GUARD_TIMEOUT (10 * KC_SECOND)
#define POLL_INTERVAL (2 * KC_MS)
#define KIB 1024
#define CALLERS_MAX 32
/* Of each socket that is not read, so that little is left to the kernel. */
#define SOCKET_BUFFER_BYTES 65536

typedef struct Fixture {
    KcLoop *loop;
    KcCounters counters;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    KcHttpConnectionPool *pool;
    KcIntakePool intake_pool;
    KcIntakePool request_pool;
    char address[KC_ADDRESS_MAX];
    char server_address[KC_ADDRESS_MAX];
    int server; /* listens */
    int server_connections[CALLERS_MAX];
    int server_connection_count;
    int callers[CALLERS_MAX];
    int caller_count;
    size_t allocated_bytes; /* at the start */
} Fixture;

static size_t
count_allocated_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
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

/* ---- the gateway ---------------------------------------------------------- */

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    Fixture *fixture = context;
    KcHttpAttemptOptions options = {
        .loop = fixture->loop,
        .dialect = KcPlatform_Current.dialect,
        .pool = fixture->pool,
        .connect_timeout = KC_SECOND,
        .silence_timeout = 60 * KC_SECOND,
        .head_bytes_max = 65536,
        .limits = {.body_bytes_max = 65536, .pool = &fixture->intake_pool},
        .request_head =
            KcGatewayFrontEnd_RequestHead(attempt->forward->caller),
        .request_body =
            KcGatewayFrontEnd_RequestBody(attempt->forward->caller)};

    return KcHttpAttempt_Start(&options, attempt, params);
}

static const KcGatewayOps gateway_ops = {
    GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
    .cancel_attempt = GatewayStubs_CancelHttp,
    .record_notice = GatewayStubs_RecordNotice};

static void
add_rule(KcRouting *routing, const char *prefix, bool is_resumable)
{
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", prefix);

    KcText_Copy(rule->name, prefix, KC_NAME_MAX);
    rule->kind = KC_REQUEST_KIND_STREAM;
    rule->resumable = is_resumable;
    rule->request_timeout = 60 * KC_SECOND;
    rule->latency_objective = 60 * KC_SECOND;
    rule->event_interval_max = 60 * KC_SECOND;
    rule->attempts_max = 1;
    KcRouting_AddTarget(rule, "s", 100);
}

static void
create_gateway(Fixture *fixture)
{
    KcRouting *routing = KcRouting_Create(1);
    KcGatewayOptions options;
    KcServerInfo info;
    KcError error;

    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = fixture;
    options.timers = fixture->loop->timers;
    options.counters = &fixture->counters;
    options.datacentre = "d";
    options.region_of = GatewayStubs_FindRegion;
    fixture->gateway = KcGateway_Create(&options);
    fixture->pool = KcHttpConnectionPool_Create(fixture->loop);
    add_rule(routing, "/once/", false);
    add_rule(routing, "/again/", true);
    routing->limits = (KcCallerLimits){.header_bytes_max = 16384,
                                       .body_bytes_max = 16384 * KIB,
                                       .header_timeout = 60 * KC_SECOND,
                                       .idle_timeout = 60 * KC_SECOND};
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    KcGateway_SetRouting(fixture->gateway, routing);
    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "w", KC_NAME_MAX);
    KcText_Copy(info.service, "s", KC_NAME_MAX);
    KcText_Copy(info.address, fixture->server_address, KC_ADDRESS_MAX);
    info.concurrency_max = CALLERS_MAX;
    KcGateway_OnServerRecord(fixture->gateway, &info, (KcRevision){0, 1},
                             KcLoop_Now());
    KcServerInfo_Clear(&info);
}

static void
create_front_end(Fixture *fixture)
{
    KcGatewayFrontEndOptions options = {.loop = fixture->loop,
                                        .address = fixture->address,
                                        .gateway = fixture->gateway,
                                        .dialect = KcPlatform_Current.dialect,
                                        .counters = &fixture->counters,
                                        .connections_max = CALLERS_MAX,
                                        .request_pool = &fixture->request_pool,
                                        .silence_timeout = 60 * KC_SECOND,
                                        .stall_timeout = 60 * KC_SECOND};

    fixture->front_end = KcGatewayFrontEnd_Create(&options);
    g_assert_nonnull(fixture->front_end);
}

/* ---- the callers ---------------------------------------------------------- */

static struct sockaddr_storage
parse_address(const char *address)
{
    struct sockaddr_storage parsed;
    int size = sizeof(parsed);

    g_assert_cmpint(
        evutil_parse_sockaddr_port(address, (struct sockaddr *)&parsed, &size),
        ==, 0);
    return parsed;
}

/* connect COUNT: so many callers connect. */
static void
step_connect(Fixture *fixture, char **words)
{
    struct sockaddr_storage remote = parse_address(fixture->address);
    int buffer_bytes = SOCKET_BUFFER_BYTES;

    for (int i = atoi(words[1]); i > 0; i--) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
                   sizeof(buffer_bytes));
        g_assert_cmpint(connect(fd, (struct sockaddr *)&remote,
                                sizeof(struct sockaddr_in)),
                        ==, 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        g_assert_cmpint(fixture->caller_count, <, CALLERS_MAX);
        fixture->callers[fixture->caller_count++] = fd;
    }
    run_loop(fixture, 10 * KC_MS);
}

static void
send_all(Fixture *fixture, int fd, const char *bytes, size_t size)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;

    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);

        if (sent > 0) {
            bytes += sent;
            size -= (size_t)sent;
            continue;
        }
        g_assert_cmpint(errno, ==, EAGAIN);
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, guard_at);
    }
}

/* ahead CALLER KIB: it can send at most so much that is not read. */
static void
step_ahead(Fixture *fixture, char **words)
{
    static const char bytes[KIB];
    KcTime blocked_at = KcLoop_Now();
    size_t sent_bytes = 0;

    while (KcLoop_Now() - blocked_at < 300 * KC_MS) {
        ssize_t size = send(fixture->callers[atoi(words[1])], bytes,
                            sizeof(bytes), MSG_NOSIGNAL);

        if (size > 0) {
            sent_bytes += (size_t)size;
            blocked_at = KcLoop_Now();
        }
        else {
            run_loop(fixture, POLL_INTERVAL);
        }
    }
    g_assert_cmpuint(sent_bytes, <=, (size_t)atoi(words[2]) * KIB);
}

/* head CALLER PREFIX [KIB]: the head of a request with such a body, or in
 * chunks. */
static void
step_head(Fixture *fixture, char **words)
{
    char head[256];
    int size;

    if (words[3] != NULL) {
        size = snprintf(
            head, sizeof(head),
            "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
            words[2], atoi(words[3]) * KIB);
    }
    else {
        size = snprintf(head, sizeof(head),
                        "POST %s HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        words[2]);
    }
    send_all(fixture, fixture->callers[atoi(words[1])], head, (size_t)size);
    run_loop(fixture, 20 * KC_MS);
}

/* body CALLER KIB: a part of a body. */
static void
step_body(Fixture *fixture, char **words)
{
    size_t size = (size_t)atoi(words[2]) * KIB;
    char *bytes = calloc(1, size);

    send_all(fixture, fixture->callers[atoi(words[1])], bytes, size);
    free(bytes);
    run_loop(fixture, 20 * KC_MS);
}

/* chunk CALLER KIB: a chunk of a body; the last one has 0. */
static void
step_chunk(Fixture *fixture, char **words)
{
    int fd = fixture->callers[atoi(words[1])];
    char text[32];
    int size = snprintf(text, sizeof(text), "%x\r\n", atoi(words[2]) * KIB);

    send_all(fixture, fd, text, (size_t)size);
    if (atoi(words[2]) > 0) {
        step_body(fixture, words);
    }
    send_all(fixture, fd, "\r\n", 2);
    run_loop(fixture, 20 * KC_MS);
}

/* leave CALLER: it closes its connection. */
static void
step_leave(Fixture *fixture, char **words)
{
    close(fixture->callers[atoi(words[1])]);
    fixture->callers[atoi(words[1])] = -1;
    run_loop(fixture, 50 * KC_MS);
}

/* Receives until the text has this end; returns it, to be freed with g_free().
 * With NULL until the stream ends. */
static char *
receive(Fixture *fixture, int caller, const char *end)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;
    GString *text = g_string_new(NULL);
    char bytes[4096];

    while (end == NULL || !g_str_has_suffix(text->str, end)) {
        ssize_t size = recv(fixture->callers[caller], bytes, sizeof(bytes), 0);

        if (size == 0) {
            g_assert_null(end);
            break;
        }
        if (size > 0) {
            g_string_append_len(text, bytes, size);
            continue;
        }
        g_assert_cmpint(errno, ==, EAGAIN);
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, guard_at);
    }
    return g_string_free(text, FALSE);
}

/* answered CALLER: it reads the whole answer of the server. */
static void
step_answered(Fixture *fixture, char **words)
{
    char *text = receive(fixture, atoi(words[1]), "answer");

    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 200 "));
    g_free(text);
}

/* refused CALLER: it reads a refusal for want of memory, and the end. */
static void
step_refused(Fixture *fixture, char **words)
{
    char *text = receive(fixture, atoi(words[1]), NULL);

    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503 "));
    g_assert_nonnull(strstr(text, "\"step\":\"memory\""));
    g_assert_nonnull(strstr(text, "\"run\":\"no\""));
    g_assert_nonnull(strstr(text, "Retry-After: "));
    g_assert_nonnull(strstr(text, "Connection: close\r\n"));
    g_free(text);
}

/* refusals COUNT: so many requests were refused for want of memory. */
static void
step_refusals(Fixture *fixture, char **words)
{
    g_assert_cmpuint(fixture->counters.values[KC_COUNT_MEMORY_REFUSALS], ==,
                     (uint64_t)atoi(words[1]));
}

/* streamed CALLER: it reads an event of a stream. */
static void
step_streamed(Fixture *fixture, char **words)
{
    char *text = receive(fixture, atoi(words[1]), "\n\n\r\n");

    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 200 "));
    g_free(text);
}

/* ---- the server ----------------------------------------------------------- */

static void
listen_as_server(Fixture *fixture)
{
    struct sockaddr_storage local = parse_address(fixture->server_address);
    int buffer_bytes = SOCKET_BUFFER_BYTES;

    fixture->server =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    setsockopt(fixture->server, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    g_assert_cmpint(bind(fixture->server, (struct sockaddr *)&local,
                         sizeof(struct sockaddr_in)),
                    ==, 0);
    g_assert_cmpint(listen(fixture->server, CALLERS_MAX), ==, 0);
}

/* take KIB: the server gets the next request, which has such a body, on a new
 * connection. */
static void
step_take(Fixture *fixture, char **words)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;
    size_t left = 0;
    GString *head = g_string_new(NULL);
    char bytes[65536];
    int fd;

    while ((fd = accept4(fixture->server, NULL, NULL,
                         SOCK_CLOEXEC | SOCK_NONBLOCK)) < 0) {
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, guard_at);
    }
    fixture->server_connections[fixture->server_connection_count++] = fd;
    left = (size_t)atoi(words[1]) * KIB;
    while (strstr(head->str, "\r\n\r\n") == NULL || left > 0) {
        ssize_t size = recv(fd, bytes, sizeof(bytes), 0);

        if (size < 0) {
            g_assert_cmpint(errno, ==, EAGAIN);
            run_loop(fixture, POLL_INTERVAL);
            g_assert_cmpint(KcLoop_Now(), <, guard_at);
            continue;
        }
        g_assert_cmpint(size, >, 0);
        if (strstr(head->str, "\r\n\r\n") == NULL) {
            const char *end;

            g_string_append_len(head, bytes, size);
            end = strstr(head->str, "\r\n\r\n");
            size = end != NULL ? size - (end + 4 - head->str) : 0;
        }
        g_assert_cmpuint((size_t)size, <=, left);
        left -= (size_t)size;
    }
    g_string_free(head, TRUE);
    run_loop(fixture, 20 * KC_MS);
}

/* answer CONNECTION: the server answers the request that it took. */
static void
step_answer(Fixture *fixture, char **words)
{
    static const char text[] =
        "HTTP/1.1 200 -\r\nConnection: close\r\nContent-Length: 6\r\n\r\n"
        "answer";

    send_all(fixture, fixture->server_connections[atoi(words[1])], text,
             strlen(text));
}

/* event CONNECTION: the server begins a stream and sends an event. */
static void
step_event(Fixture *fixture, char **words)
{
    static const char text[] =
        "HTTP/1.1 200 -\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n";

    send_all(fixture, fixture->server_connections[atoi(words[1])], text,
             strlen(text));
}

/* ---- other steps ---------------------------------------------------------- */

/* limit KIB: of all requests together. */
static void
step_limit(Fixture *fixture, char **words)
{
    fixture->request_pool.kept_bytes_max = (size_t)atoi(words[1]) * KIB;
}

/* wait MS */
static void
step_wait(Fixture *fixture, char **words)
{
    run_loop(fixture, atoi(words[1]) * KC_MS);
}

/* kept KIB: the requests take so much of their pool, and less than 1 KiB more
 * for all heads. */
static void
step_kept(Fixture *fixture, char **words)
{
    g_assert_cmpuint(fixture->request_pool.kept_bytes / KIB, ==,
                     (size_t)atoi(words[1]));
}

/* allocated KIB: the process has allocated at most so much more than at the
 * start. */
static void
step_allocated(Fixture *fixture, char **words)
{
    g_assert_cmpuint(count_allocated_bytes(), <=,
                     fixture->allocated_bytes + (size_t)atoi(words[1]) * KIB);
}

static const StepHandler handlers[] = {
    {"limit", step_limit},         {"connect", step_connect},
    {"head", step_head},           {"body", step_body},
    {"chunk", step_chunk},         {"ahead", step_ahead},
    {"leave", step_leave},         {"answered", step_answered},
    {"refused", step_refused},     {"refusals", step_refusals},
    {"streamed", step_streamed},   {"take", step_take},
    {"answer", step_answer},       {"event", step_event},
    {"wait", step_wait},           {"kept", step_kept},
    {"allocated", step_allocated},
};

/* ---- cases ------------------------------------------------------------------ */

/* With a limit of 1024 KiB unless a case sets another. */
static const struct {
    const char *name;
    const char *steps;
} cases[] = {
    {"the body is copied for the server",
     "limit 65536;"
     "connect 1;head 0 /once/ 8192;body 0 8192;wait 50;allocated 9216;"
     "take 8192;answer 0;answered 0"},
    {"an idle connection keeps the last body",
     "limit 65536;"
     "connect 1;head 0 /once/ 4096;body 0 4096;take 4096;answer 0;"
     "answered 0;wait 20;allocated 1024"},
    {"the body of a caller that left is kept",
     "limit 65536;connect 1;head 0 /once/ 8192;body 0 8192;wait 50;leave 0;"
     "allocated 1024;kept 0"},
    {"large requests exceed the memory",
     "connect 4;head 0 /once/ 300;head 1 /once/ 300;kept 600;"
     "head 2 /once/ 300;refused 2;refusals 1;kept 600;body 0 300;take 300;"
     "answer 0;answered 0;kept 300;head 3 /once/ 300;body 3 300;take 300;"
     "answer 1;answered 3;body 1 300;take 300;answer 2;answered 1;kept 0;"
     "refusals 1"},
    {"a refused caller that goes on sending gets a reset",
     "connect 3;head 0 /once/ 300;head 1 /once/ 300;head 2 /once/ 300;"
     "body 2 300;refused 2;kept 600"},
    {"a chunked request exceeds the memory",
     "connect 3;head 0 /once/ 300;head 1 /once/;chunk 1 300;kept 600;"
     "chunk 1 100;refused 1;refusals 1;kept 300;body 0 300;take 300;"
     "answer 0;answered 0;kept 0"},
    {"large requests leave no room for small ones",
     "connect 4;head 0 /once/ 300;head 1 /once/ 300;head 2 /once/ 300;"
     "refused 2;head 3 /once/ 100;body 3 100;take 100;answer 0;answered 3;"
     "refusals 1"},
    {"small requests are refused when all memory is taken",
     "connect 14;head 0 /once/ 500;head 1 /once/ 250;head 2 /once/ 120;"
     "head 3 /once/ 60;head 4 /once/ 40;head 5 /once/ 25;head 6 /once/ 15;"
     "head 7 /once/ 15;head 8 /once/ 15;head 9 /once/ 15;refusals 0;"
     "head 10 /once/ 30;refused 10;body 9 15;take 15;answer 0;answered 9"},
    {"memory is not given back by callers that leave",
     "connect 4;head 0 /once/ 300;body 0 100;head 1 /once/;chunk 1 200;"
     "kept 500;leave 0;kept 200;leave 1;kept 0;head 2 /once/ 400;body 2 400;"
     "wait 20;leave 2;kept 0;refusals 0"},
    {"bytes ahead of the next request are not counted",
     "connect 2;head 0 /once/ 100;body 0 100;wait 50;body 0 60;wait 100;"
     "kept 116;leave 0;wait 200;kept 0;head 1 /once/ 100;body 1 50;kept 100"},
    {"the kernel holds much of the next request",
     "limit 65536;connect 1;head 0 /once/ 16384;body 0 16384;wait 50;"
     "ahead 0 700"},
    {"a stream holds a body that is not sent again",
     "connect 1;head 0 /once/ 100;body 0 100;take 100;kept 100;event 0;"
     "streamed 0;kept 0"},
    {"a stream that may be resumed loses its body",
     "connect 1;head 0 /again/ 100;body 0 100;take 100;event 0;streamed 0;"
     "kept 100"},
    {"the memory of a body that is being sent is not counted",
     "limit 65536;connect 1;head 0 /once/ 8192;body 0 8192;wait 50;kept 8192;"
     "take 8192;kept 8192;answer 0;answered 0;kept 0"},
};

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.loop = KcLoop_Create(),
                       .intake_pool = {.kept_bytes_max = 65536},
                       .request_pool = {.kept_bytes_max = 1024 * KIB}};

    Loopback_AssignAddress(fixture.address, sizeof(fixture.address));
    Loopback_AssignAddress(fixture.server_address,
                           sizeof(fixture.server_address));
    listen_as_server(&fixture);
    create_gateway(&fixture);
    create_front_end(&fixture);
    fixture.allocated_bytes = count_allocated_bytes();
    Steps_Run(&fixture, handlers, G_N_ELEMENTS(handlers),
              cases[GPOINTER_TO_SIZE(data)].steps);
    for (int i = 0; i < fixture.caller_count; i++) {
        if (fixture.callers[i] >= 0) {
            close(fixture.callers[i]);
        }
    }
    run_loop(&fixture, 50 * KC_MS);
    KcGateway_Abort(fixture.gateway, KcLoop_Now());
    KcGatewayFrontEnd_Free(fixture.front_end);
    KcGateway_Free(fixture.gateway);
    KcHttpConnectionPool_Free(fixture.pool);
    for (int i = 0; i < fixture.server_connection_count; i++) {
        close(fixture.server_connections[i]);
    }
    close(fixture.server);
    KcLoop_Free(fixture.loop);
    g_assert_cmpuint(fixture.request_pool.kept_bytes, ==, 0);
}

/* The memory of the process and of the machine, in MB, and of requests. */
static const struct {
    const char *name;
    double memory_megabytes;
    int64_t machine_megabytes;
    size_t expected_megabytes;
} limit_cases[] = {
    {"nothing is known", 0, 0, 192},
    {"a large machine", 0, 64000, 192},
    {"a small machine", 0, 160, 120},
    {"a limit of the process", 260, 64000, 195},
    {"a small limit of the process", 160, 64000, 120},
    {"a large limit of the process", 1000, 160, 750},
};

static void
test_limit(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);

    g_assert_cmpuint(KcMemory_RequestBytesMax(
                         limit_cases[index].memory_megabytes,
                         limit_cases[index].machine_megabytes * 1000000),
                     ==, limit_cases[index].expected_megabytes * 1000000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/request memory", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    Steps_AddCases("/request memory/limit", limit_cases,
                   G_N_ELEMENTS(limit_cases), sizeof(limit_cases[0]),
                   test_limit);
    return g_test_run();
}
