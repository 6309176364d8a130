/*
 * Tests what callers see of a gateway that is stopped as planned: each request
 * is answered or refused, and the caller can read it. A case is a text of
 * steps of one caller, which uses a real socket, and of the stop. When the
 * stop is done the connections are closed as by the end of the process.
 */
#include <errno.h>
#include <fcntl.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/process/gateway_stop.h"
#include "../../programs/process/platform.h"
#include "../../programs/process/role.h"
#include "../gateway_stubs.h"
#include "../steps.h"

/* Bounds the duration when a step does not end. */
#define GUARD_TIMEOUT (20 * KC_SECOND)
#define POLL_INTERVAL (2 * KC_MS)

typedef struct Caller {
    int fd;
    GString *received;  /* not yet taken by a step */
    int received_error; /* of recv(), 0 at the end of the stream, or -1 */
} Caller;

typedef struct Fixture {
    KcRoleCommon common;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end; /* NULL: the process has ended */
    KcGatewayStop stop;
    KcTime stopped_at;
    char address[32];
    Caller callers[2];
    Caller *caller;            /* that makes the steps */
    KcForwardAttempt *attempt; /* at the backend server; NULL: none */
    const char *last_text;     /* see step_last(); NULL: none */
} Fixture;

/* ---- the gateway and its backend server ----------------------------------- */

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    (void)params;
    KcForwardAttempt_OnSent(attempt);
    ((Fixture *)context)->attempt = attempt;
    return context;
}

static void
cancel_attempt(void *context, void *handle)
{
    (void)handle;
    ((Fixture *)context)->attempt = NULL;
}

static const KcGatewayOps gateway_ops = {
    GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .record_notice = GatewayStubs_RecordNotice};

static void
add_server(Fixture *fixture)
{
    KcServerInfo info;

    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "w", KC_NAME_MAX);
    KcText_Copy(info.service, "s", KC_NAME_MAX);
    KcText_Copy(info.address, "127.0.0.1:1", KC_ADDRESS_MAX);
    info.concurrency_max = 8;
    KcGateway_OnServerRecord(fixture->gateway, &info, (KcRevision){0, 1},
                             KcLoop_Now());
    KcServerInfo_Clear(&info);
}

static void
set_routing(Fixture *fixture)
{
    KcRouting *routing = KcRouting_Create(1);
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", "/x/");
    KcError error;

    KcText_Copy(rule->name, "x", KC_NAME_MAX);
    rule->kind = KC_REQUEST_KIND_SAFE;
    rule->request_timeout = 60 * KC_SECOND;
    rule->latency_objective = 60 * KC_SECOND;
    rule->attempts_max = 1;
    KcRouting_AddTarget(rule, "s", 1);
    KcRouting_AddService(routing, "s");
    routing->limits = (KcCallerLimits){.header_bytes_max = 2000,
                                       .body_bytes_max = 1000,
                                       .header_timeout = 10 * KC_SECOND,
                                       .idle_timeout = 10 * KC_SECOND};
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    KcGateway_SetRouting(fixture->gateway, routing);
}

static void
create_front_end(Fixture *fixture)
{
    KcGatewayFrontEndOptions options = {.loop = fixture->common.loop,
                                        .address = fixture->address,
                                        .gateway = fixture->gateway,
                                        .dialect = KcPlatform_Current.dialect,
                                        .counters = &fixture->common.counters,
                                        .connections_max = 2,
                                        .silence_timeout = 3 * KC_SECOND,
                                        .stall_timeout = 15 * KC_SECOND};

    for (int port = 24000; port < 25000 && fixture->front_end == NULL;
         port++) {
        snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%d",
                 port);
        fixture->front_end = KcGatewayFrontEnd_Create(&options);
    }
    g_assert_nonnull(fixture->front_end);
}

/* ---- the role --------------------------------------------------------------- */

static void
begin_drain(void *role)
{
    Fixture *fixture = role;
    KcGatewayStopOptions options;

    KcGatewayStopOptions_Init(&options);
    options.gateway = fixture->gateway;
    options.front_end = fixture->front_end;
    options.idle_close_delay = 500 * KC_MS;
    options.refusal_delay = 500 * KC_MS;
    options.duration_min = 0;
    fixture->common.answer_time = options.answer_time;
    fixture->stopped_at = KcLoop_Now();
    KcGatewayStop_Begin(&fixture->stop, &options,
                        fixture->common.drain_timeout, fixture->stopped_at);
}

static int connect_caller(Fixture *fixture);
static void send_text(Fixture *fixture, const char *name);

static bool
is_drained(void *role)
{
    Fixture *fixture = role;
    bool result = KcGatewayStop_IsDone(&fixture->stop, KcLoop_Now());

    if (result && fixture->last_text != NULL) {
        g_assert_cmpint(connect_caller(fixture), ==, 0);
        send_text(fixture, fixture->last_text);
        fixture->last_text = NULL;
    }
    return result;
}

static void
end_intake(void *role)
{
    KcGatewayStop_EndIntake(&((Fixture *)role)->stop, KcLoop_Now());
}

static const KcRoleOps role_ops = {.begin_drain = begin_drain,
                                   .is_drained = is_drained,
                                   .end_intake = end_intake};

static void
end_process(Fixture *fixture)
{
    KcRoleCommon *common = &fixture->common;

    if (fixture->front_end == NULL) {
        return;
    }
    KcGateway_Abort(fixture->gateway, KcLoop_Now());
    KcGatewayFrontEnd_Free(fixture->front_end);
    fixture->front_end = NULL;
    KcGateway_Free(fixture->gateway);
    for (int i = 0; i < 2; i++) {
        event_free(common->stop_signals[i]);
    }
    KcTimers_Clear(common->loop->timers, &common->drain_timer);
    KcLoop_Free(common->loop); /* closes the sockets */
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
    KcLoop *loop = fixture->common.loop;
    KcTimer timer;

    if (fixture->front_end == NULL) {
        g_usleep((gulong)duration);
        return;
    }
    KcTimer_Init(&timer, stop_loop, loop);
    KcTimers_Set(loop->timers, &timer, KcLoop_Now() + duration);
    loop->stop_requested = false;
    KcLoop_Run(loop);
    KcTimers_Clear(loop->timers, &timer);
    if (fixture->common.draining && !fixture->common.drain_timer.is_set) {
        end_process(fixture);
    }
}

/* ---- steps ------------------------------------------------------------------ */

/* caller INDEX: makes the steps from now on. */
static void
step_caller(Fixture *fixture, char **words)
{
    fixture->caller = &fixture->callers[atoi(words[1])];
}

/* Returns 0 or the error. */
static int
connect_caller(Fixture *fixture)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);

    g_assert_cmpint(evutil_parse_sockaddr_port(
                        fixture->address, (struct sockaddr *)&remote, &size),
                    ==, 0);
    fixture->caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fixture->caller->fd, (struct sockaddr *)&remote,
                (socklen_t)size) != 0) {
        return errno;
    }
    fcntl(fixture->caller->fd, F_SETFL, O_NONBLOCK);
    return 0;
}

/* connect: the caller connects. */
static void
step_connect(Fixture *fixture, char **words)
{
    (void)words;
    g_assert_cmpint(connect_caller(fixture), ==, 0);
    run_loop(fixture, 20 * KC_MS);
}

/* no-connection: the caller is told that it can't connect. */
static void
step_no_connection(Fixture *fixture, char **words)
{
    (void)words;
    g_assert_cmpint(connect_caller(fixture), ==, ECONNREFUSED);
}

/* Sends all bytes. Returns 0 or the error. */
static int
send_all(Fixture *fixture, const char *bytes, size_t size)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;

    while (size > 0) {
        ssize_t sent = send(fixture->caller->fd, bytes, size, MSG_NOSIGNAL);

        if (sent < 0 && errno != EAGAIN) {
            return errno;
        }
        if (sent > 0) {
            bytes += sent;
            size -= (size_t)sent;
        }
        else {
            run_loop(fixture, POLL_INTERVAL);
            g_assert_cmpint(KcLoop_Now(), <, guard_at);
        }
    }
    return 0;
}

/* Requests, or parts of them, that the step "send" knows by name. */
static const struct {
    const char *name;
    const char *text;
} texts[] = {
    {"get", "GET /x/a HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"half-a-head", "GET /x/a HTTP/1.1\r\nHos"},
    {"half-a-short-head", "GET /x/a HTTP/1.1\r\nDeadline-Ms: 300\r\nHos"},
    {"rest-of-head", "t: h\r\n\r\n"},
    {"large-post", "POST /x/a HTTP/1.1\r\nHost: h\r\n"
                   "Content-Length: 1000000\r\n\r\n"},
    {"post", "POST /x/a HTTP/1.1\r\nHost: h\r\n"
             "Content-Length: 1000\r\n\r\n"},
    {"no-request", "what is this?\r\n\r\n"},
};

static void
send_text(Fixture *fixture, const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        if (strcmp(name, texts[i].name) == 0) {
            g_assert_cmpint(
                send_all(fixture, texts[i].text, strlen(texts[i].text)), ==,
                0);
            return;
        }
    }
    g_error("no text %s", name);
}

/* send TEXT */
static void
step_send(Fixture *fixture, char **words)
{
    send_text(fixture, words[1]);
}

/* last get|half-a-head: the caller connects and sends this when it has been
 * decided that the stop ends. */
static void
step_last(Fixture *fixture, char **words)
{
    fixture->last_text = strcmp(words[1], "get") == 0 ? "get" : "half-a-head";
}

/* filler BYTES: the caller sends so many bytes. */
static void
step_filler(Fixture *fixture, char **words)
{
    size_t size = (size_t)atoll(words[1]);
    char *bytes = g_malloc0(size);

    g_assert_cmpint(send_all(fixture, bytes, size), ==, 0);
    g_free(bytes);
}

/* wait MS */
static void
step_wait(Fixture *fixture, char **words)
{
    run_loop(fixture, atoi(words[1]) * KC_MS);
}

/* freeze MS: the process does nothing. */
static void
step_freeze(Fixture *fixture, char **words)
{
    (void)fixture;
    g_usleep((gulong)(atoi(words[1]) * KC_MS));
}

/* stop MS: a planned stop begins that lasts so long at most. */
static void
step_stop(Fixture *fixture, char **words)
{
    fixture->common.drain_timeout = atoi(words[1]) * KC_MS;
    KcRoleCommon_BeginDrain(&fixture->common);
}

/* answer: the server answers the request. */
static void
step_answer(Fixture *fixture, char **words)
{
    static const KcHttpMessage head = {.status = 200};
    KcForwardAttempt *attempt = fixture->attempt;
    KcReply reply = {.status = 200, .head = &head, .body = {"b", 1}};

    (void)words;
    g_assert_nonnull(attempt);
    fixture->attempt = NULL;
    KcForwardAttempt_OnReply(attempt, &reply, KcLoop_Now());
}

/* Receives what has arrived. */
static void
receive(Fixture *fixture)
{
    char bytes[16384];
    ssize_t size;

    while (fixture->caller->received_error < 0) {
        size = recv(fixture->caller->fd, bytes, sizeof(bytes), 0);
        if (size > 0) {
            g_string_append_len(fixture->caller->received, bytes, size);
        }
        else if (size == 0 || errno != EAGAIN) {
            fixture->caller->received_error = size == 0 ? 0 : errno;
        }
        else {
            return;
        }
    }
}

/* read STATUS: the caller reads the last answer and the end of the stream. */
static void
step_read(Fixture *fixture, char **words)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;

    while (receive(fixture), fixture->caller->received_error < 0) {
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, guard_at);
    }
    g_assert_cmpint(fixture->caller->received_error, ==, 0);
    g_assert_true(
        g_str_has_prefix(fixture->caller->received->str, "HTTP/1.1 "));
    g_assert_cmpint(atoi(fixture->caller->received->str + strlen("HTTP/1.1 ")),
                    ==, atoi(words[1]));
}

/* close: the caller closes. */
static void
step_close(Fixture *fixture, char **words)
{
    (void)words;
    close(fixture->caller->fd);
    fixture->caller->fd = -1;
}

/* ends FROM TO: the process ends so many ms after the stop began. */
static void
step_ends(Fixture *fixture, char **words)
{
    while (fixture->front_end != NULL) {
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now() - fixture->stopped_at, <,
                        atoi(words[2]) * KC_MS);
    }
    g_assert_cmpint(KcLoop_Now() - fixture->stopped_at, >=,
                    atoi(words[1]) * KC_MS);
}

static const StepHandler handlers[] = {
    {"last", step_last},
    {"caller", step_caller},
    {"no-connection", step_no_connection},
    {"connect", step_connect},
    {"send", step_send},
    {"filler", step_filler},
    {"wait", step_wait},
    {"freeze", step_freeze},
    {"stop", step_stop},
    {"answer", step_answer},
    {"read", step_read},
    {"close", step_close},
    {"ends", step_ends},
};

/* ---- cases -------------------------------------------------------------------- */

static const struct {
    const char *name;
    const char *steps;
} cases[] = {
    {"a body is sent on after its refusal",
     "connect;stop 8000;send large-post;wait 200;filler 50000;wait 200;"
     "filler 50000;wait 200;filler 50000;read 413;close;ends 0 2000"},
    {"a request that was refused before the stop is sent on",
     "connect;send large-post;wait 50;stop 8000;wait 200;filler 50000;wait "
     "200;filler 50000;read 413;close;ends 0 2000"},
    {"bytes that are no request are sent on after their refusal",
     "connect;stop 8000;send no-request;wait 200;filler 50000;wait 200;"
     "filler 50000;read 400;close;ends 0 2000"},
    {"a last answer is followed by a further request",
     "connect;send get;wait 20;stop 8000;answer;wait 200;send get;wait 200;"
     "send get;read 200;close;ends 0 2000"},
    {"a body that is not received by the end is refused early enough",
     "connect;stop 3000;send post;wait 700;filler 10;wait 700;filler 10;"
     "wait 1000;filler 10;wait 400;filler 10;wait 50;filler 10;read 503;"
     "close;ends 0 3200"},
    {"a head that is not received by the end is refused early enough",
     "connect;send half-a-head;stop 3000;wait 2770;send rest-of-head;wait 50;"
     "send get;wait 30;send get;read 503;close;ends 0 3200"},
    {"an incomplete request is refused before the last answers are due",
     "connect;send post;caller 1;connect;send get;wait 20;stop 3000;wait 2000;"
     "caller 0;read 503;close;caller 1;wait 100;answer;read 200;close;ends 0 "
     "3200"},
    {"a head that begins late is refused early enough",
     "connect;send get;wait 20;stop 2000;wait 1500;caller 1;connect;"
     "send half-a-head;wait 250;send rest-of-head;wait 30;send get;wait 30;"
     "send get;read 503;close;caller 0;read 502;close;ends 0 2200"},
    {"a request that begins when the last answers are given is not taken",
     "connect;send get;wait 20;stop 1000;wait 750;caller 1;no-connection;"
     "caller 0;read 502;close;ends 0 1200"},
    {"a request that runs until the end has another one behind it",
     "connect;send get;wait 20;stop 1000;send half-a-head;wait 800;"
     "send rest-of-head;wait 50;send get;wait 50;send get;read 502;close;"
     "ends 0 1200"},
    {"a request that crosses the close of an idle connection is refused",
     "connect;caller 1;connect;send get;wait 20;stop 8000;wait 1200;caller 0;"
     "send get;read 408;close;caller 1;answer;read 200;close;ends 0 3000"},
    {"a request that crosses the last close of a stop is refused",
     "connect;stop 8000;wait 200;send get;read 408;close;ends 0 2000"},
    {"a request on a connection that is not accepted yet is refused",
     "last get;stop 8000;wait 200;read 503;close;ends 0 2000"},
    {"a part of a request on a connection that is not accepted yet is refused",
     "last half-a-head;stop 8000;wait 200;send rest-of-head;wait 20;read 503;"
     "close;ends 0 2000"},
    {"a request that begins late and comes in two parts is taken",
     "connect;send get;wait 20;stop 4000;wait 2900;caller 1;connect;"
     "send half-a-short-head;wait 50;send rest-of-head;wait 50;answer;"
     "read 200;close;caller 0;read 502;close;ends 0 4200"},
    {"a refused caller that never closes does not hold the stop",
     "connect;stop 8000;send no-request;ends 1900 3000;read 400"},
    {"a refused caller that never closes does not hold a short stop",
     "connect;stop 1000;send no-request;ends 900 1300;read 400"},
    {"what runs at the end of a stop is answered after a freeze beyond it",
     "connect;send get;wait 20;stop 1000;wait 100;freeze 1200;wait 100;"
     "send get;wait 50;send get;read 502;close;ends 1300 1700"},
    {"what is answered late in a stop has its time to arrive",
     "connect;send get;wait 20;stop 1000;wait 100;freeze 850;wait 150;"
     "send get;wait 50;send get;read 502;close;ends 1100 1350"},
    {"a request that is not complete is refused after a freeze beyond the "
     "stop",
     "connect;send half-a-head;stop 1000;wait 100;freeze 1200;wait 100;"
     "send rest-of-head;wait 50;send get;read 503;close;ends 1300 1700"},
    {"a request that arrives in a freeze beyond the stop is refused",
     "connect;stop 1000;wait 20;freeze 1200;send get;wait 100;send get;"
     "read 503;close;ends 1300 1700"},
    {"an answer that arrives in a freeze beyond the stop is passed on",
     "connect;send get;wait 20;stop 1000;wait 100;freeze 1200;answer;wait 100;"
     "send get;read 200;close;ends 1300 1700"},
    {"a caller without a request does not hold the stop",
     "connect;stop 8000;ends 0 3000;read 408"},
};

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.stopped_at = 0};
    KcRoleCommon *common = &fixture.common;
    KcGatewayOptions options;

    for (size_t i = 0; i < G_N_ELEMENTS(fixture.callers); i++) {
        fixture.callers[i] = (Caller){
            .fd = -1, .received = g_string_new(NULL), .received_error = -1};
    }
    fixture.caller = &fixture.callers[0];
    common->loop = KcLoop_Create();
    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = &fixture;
    options.timers = common->loop->timers;
    options.counters = &common->counters;
    options.datacentre = "here";
    options.region_of = GatewayStubs_FindRegion;
    fixture.gateway = KcGateway_Create(&options);
    add_server(&fixture);
    set_routing(&fixture);
    create_front_end(&fixture);
    KcRoleCommon_HandleSignals(common, &role_ops, &fixture);
    Steps_Run(&fixture, handlers, G_N_ELEMENTS(handlers),
              cases[GPOINTER_TO_SIZE(data)].steps);
    end_process(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(fixture.callers); i++) {
        if (fixture.callers[i].fd >= 0) {
            close(fixture.callers[i].fd);
        }
        g_string_free(fixture.callers[i].received, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/stop closes", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    return g_test_run();
}
