/*
 * Tests timers of a gateway's front end that are due while the process is kept
 * from its loop: what a caller has sent by then counts.  The gateway has no
 * configuration and refuses every request.
 */
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/util.h>

#include "../../programs/process/platform.h"
#include "../../programs/request/gateway_front_end.h"
#include "../gateway_stubs.h"
#include "../loopback.h"

#define STEP_TIMEOUT (20 * KC_MS)
/* Timers of the front end: none is due within a few steps. */
#define SHORT_TIMEOUT (300 * KC_MS)
/* Long enough for a connection to be kept after an answer. */
#define KEPT_TIMEOUT (1300 * KC_MS)
/* The process is blocked until so long after these. */
#define BLOCKED_TIMEOUT (100 * KC_MS)
/* By then an answer must have arrived. */
#define ANSWER_TIMEOUT (10 * KC_SECOND)

#define HEAD "POST /x HTTP/1.1\r\nHost: h\r\n"
#define CLOSE_FIELD "Connection: close\r\n"
/* In the refusal of a whole request; one cut off has another error. */
#define REFUSED "\"error\":\"no_document\""

typedef struct Fixture {
    KcLoop *loop;
    KcCounters counters;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    char address[32];
    int caller;
    char answer[4096];
    size_t answer_size;
} Fixture;

/* What a caller sends before the process is blocked, during it and after. */
static const struct {
    const char *name;
    KcTime header_timeout;
    KcTime idle_timeout;
    const char *sent_before;
    const char *sent_meanwhile;
    const char *sent_after;
    bool is_leaving;  /* a planned stop begins before the process is blocked */
    int answer_count; /* all of them refusals */
} cases[] = {
    {"a request at a new connection is answered, not reset", KC_SECOND * 60,
     SHORT_TIMEOUT, "", HEAD CLOSE_FIELD "\r\n", "", false, 1},
    {"a request at a kept connection is answered, not reset", KC_SECOND * 60,
     KEPT_TIMEOUT, HEAD "\r\n", HEAD CLOSE_FIELD "\r\n", "", false, 2},
    {"a request during a planned stop is answered, not reset", KC_SECOND * 60,
     SHORT_TIMEOUT, "", HEAD CLOSE_FIELD "\r\n", "", true, 1},
    {"a part of a head starts its timer", KC_SECOND * 60, SHORT_TIMEOUT, "",
     "POST /x HT", "TP/1.1\r\nHost: h\r\n" CLOSE_FIELD "\r\n", false, 1},
    {"the rest of a head ends its timer", SHORT_TIMEOUT, KC_SECOND * 60,
     "POST /x HT", "TP/1.1\r\nHost: h\r\n" CLOSE_FIELD "\r\n", "", false, 1},
    {"the rest of a body ends its timer", KC_SECOND * 60, SHORT_TIMEOUT,
     HEAD CLOSE_FIELD "Content-Length: 3\r\n\r\na", "bc", "", false, 1},
    {"a part of a body restarts its timer", KC_SECOND * 60, SHORT_TIMEOUT,
     HEAD CLOSE_FIELD "Content-Length: 3\r\n\r\na", "b", "c", false, 1},
};

static void
create_front_end(Fixture *fixture, size_t index)
{
    KcGatewayOptions options;
    KcGatewayFrontEndOptions front_end_options = {
        .loop = fixture->loop,
        .address = fixture->address,
        .dialect = KcPlatform_Current.dialect,
        .counters = &fixture->counters,
        .connections_max = 1,
        .initial_limits = {.header_bytes_max = 1000,
                           .body_bytes_max = 1000,
                           .header_timeout = cases[index].header_timeout,
                           .idle_timeout = cases[index].idle_timeout},
        .silence_timeout = KC_SECOND * 60};

    KcGatewayOptions_Init(&options);
    options.timers = fixture->loop->timers;
    options.counters = &fixture->counters;
    options.datacentre = "here";
    options.region_of = GatewayStubs_FindRegion;
    fixture->gateway = KcGateway_Create(&options);
    front_end_options.gateway = fixture->gateway;
    Loopback_AssignAddress(fixture->address, sizeof(fixture->address));
    fixture->front_end = KcGatewayFrontEnd_Create(&front_end_options);
    g_assert_nonnull(fixture->front_end);
}

static void
connect_caller(Fixture *fixture)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);

    g_assert_cmpint(evutil_parse_sockaddr_port(
                        fixture->address, (struct sockaddr *)&remote, &size),
                    ==, 0);
    fixture->caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        connect(fixture->caller, (struct sockaddr *)&remote, (socklen_t)size),
        ==, 0);
}

static void
send_text(const Fixture *fixture, const char *text)
{
    /* Fails when the front end has closed; the answers tell then. */
    send(fixture->caller, text, strlen(text), MSG_NOSIGNAL);
}

static void
on_step_end(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(timer->owner);
}

/* Runs the loop long enough for the front end to handle what was sent. */
static void
run_step(Fixture *fixture)
{
    KcTimer timer;

    KcTimer_Init(&timer, on_step_end, fixture->loop);
    KcTimers_Set(fixture->loop->timers, &timer, KcLoop_Now() + STEP_TIMEOUT);
    fixture->loop->stop_requested = false;
    KcLoop_Run(fixture->loop);
}

/* Reads answers until the front end closes. */
static void
read_answers(Fixture *fixture)
{
    KcTime give_up_at = KcLoop_Now() + ANSWER_TIMEOUT;
    ssize_t size;

    while (KcLoop_Now() < give_up_at) {
        run_step(fixture);
        size = recv(fixture->caller, fixture->answer + fixture->answer_size,
                    sizeof(fixture->answer) - 1 - fixture->answer_size,
                    MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            g_assert_cmpint(size, ==, 0); /* not reset */
            return;
        }
        fixture->answer_size += size > 0 ? (size_t)size : 0;
    }
}

static int
count_refusals(const char *answer)
{
    int count = 0;

    while ((answer = strstr(answer, REFUSED)) != NULL) {
        count++;
        answer += strlen(REFUSED);
    }
    return count;
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcTime due_after = cases[index].idle_timeout < cases[index].header_timeout
                           ? cases[index].idle_timeout
                           : cases[index].header_timeout;
    Fixture fixture = {.loop = KcLoop_Create()};

    create_front_end(&fixture, index);
    connect_caller(&fixture);
    send_text(&fixture, cases[index].sent_before);
    run_step(&fixture);
    run_step(&fixture);
    if (cases[index].is_leaving) {
        KcGatewayFrontEnd_Drain(fixture.front_end, KcLoop_Now(), KC_NEVER);
        due_after = KC_SECOND;
    }
    g_usleep((gulong)(due_after + BLOCKED_TIMEOUT));
    send_text(&fixture, cases[index].sent_meanwhile);
    run_step(&fixture);
    send_text(&fixture, cases[index].sent_after);
    read_answers(&fixture);
    g_test_message("%s", fixture.answer);
    g_assert_cmpint(count_refusals(fixture.answer), ==,
                    cases[index].answer_count);
    close(fixture.caller);
    KcGatewayFrontEnd_Free(fixture.front_end);
    KcGateway_Free(fixture.gateway);
    KcLoop_Free(fixture.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/late timers/%s", cases[i].name);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_case);
        g_free(path);
    }
    return g_test_run();
}
