/*
 * Tests the end of a planned stop of a gateway: what has arrived when it is
 * decided is refused, and what arrives later is refused in advance, so that
 * callers may send it elsewhere. Nothing is taken by a process that ends.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/process/platform.h"
#include "../../programs/process/role.h"
#include "../../programs/request/gateway_front_end.h"
#include "../gateway_stubs.h"
#include "../loopback.h"

#define REQUEST "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

/* When a caller sends. */
typedef enum Moment {
    WHEN_DECIDED, /* that the stop ends */
    AFTER_INTAKE  /* has ended */
} Moment;

/* A caller, and what it receives; the gateway has no configuration. */
static const struct {
    const char *name;
    const char *sent_before;
    Moment moment;
    const char *sent_then;
    bool connects_then;
    bool is_overdue; /* the stop has taken all its time */
    uint64_t requests_taken;
    const char *answer; /* the beginning of the last one */
} cases[] = {
    {"a request on a kept connection is refused", REQUEST, WHEN_DECIDED,
     REQUEST, false, false, 2, "HTTP/1.1 503"},
    {"a request on a connection without any is refused", "", WHEN_DECIDED,
     REQUEST, false, false, 1, "HTTP/1.1 503"},
    {"the rest of a request is refused at the last moment",
     "GET /x HTTP/1.1\r\nHo", WHEN_DECIDED, "st: h\r\n\r\n", false, true, 1,
     "HTTP/1.1 503"},
    {"a request on a new connection is refused", "", WHEN_DECIDED, REQUEST,
     true, false, 1, "HTTP/1.1 503"},
    {"a connection that is established then is refused a request", "",
     WHEN_DECIDED, "", true, false, 0, "HTTP/1.1 408"},
    {"a request on a kept connection is refused after the intake", REQUEST,
     AFTER_INTAKE, REQUEST, false, false, 1, "HTTP/1.1 408"},
    {"a request on a connection without any is refused after the intake", "",
     AFTER_INTAKE, REQUEST, false, false, 0, "HTTP/1.1 408"},
    {"a request that is not complete is refused after the intake",
     "GET /x HTTP/1.1\r\nHo", AFTER_INTAKE, "st: h\r\n\r\n", false, true, 0,
     "HTTP/1.1 503"},
};

typedef struct Fixture {
    KcRoleCommon common;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    char address[32];
    size_t index;
    int caller;
    bool has_sent;     /* at its moment */
    GString *received; /* by the caller, before the stop is decided */
    KcTimer stop_timer;
} Fixture;

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
    size_t size = strlen(text);

    /* The connection may have been closed. */
    if (send(fixture->caller, text, size, MSG_NOSIGNAL) < 0) {
        g_test_message("not sent");
    }
}

/* Adds what has arrived. */
static void
receive(Fixture *fixture)
{
    char bytes[4096];
    ssize_t size;

    while ((size = recv(fixture->caller, bytes, sizeof(bytes), MSG_DONTWAIT)) >
           0) {
        g_string_append_len(fixture->received, bytes, size);
    }
}

/* ---- the role ------------------------------------------------------------ */

static void
begin_drain(void *role)
{
    Fixture *fixture = role;

    KcGatewayFrontEnd_Drain(fixture->front_end, KC_NEVER, KC_NEVER);
}

static void
send_then(Fixture *fixture, Moment moment)
{
    if (cases[fixture->index].moment != moment || fixture->has_sent) {
        return;
    }
    fixture->has_sent = true;
    receive(fixture);
    g_string_truncate(fixture->received, 0);
    if (cases[fixture->index].connects_then) {
        close(fixture->caller);
        connect_caller(fixture);
    }
    send_text(fixture, cases[fixture->index].sent_then);
}

static bool
is_drained(void *role)
{
    Fixture *fixture = role;

    send_then(fixture, WHEN_DECIDED);
    return !cases[fixture->index].is_overdue;
}

static void
end_intake(void *role)
{
    Fixture *fixture = role;

    KcGateway_Drain(fixture->gateway, KcLoop_Now(), KcLoop_Now());
    KcGatewayFrontEnd_EndIntake(fixture->front_end);
    send_then(fixture, AFTER_INTAKE);
}

static const KcRoleOps role_ops = {.begin_drain = begin_drain,
                                   .is_drained = is_drained,
                                   .end_intake = end_intake};

static void
on_stop_timer(KcTimer *timer, KcTime now)
{
    Fixture *fixture = timer->owner;

    (void)now;
    KcRoleCommon_BeginDrain(&fixture->common);
}

/* ---- the case ------------------------------------------------------------ */

static void
create_front_end(Fixture *fixture)
{
    KcGatewayFrontEndOptions options = {
        .loop = fixture->common.loop,
        .address = fixture->address,
        .gateway = fixture->gateway,
        .dialect = KcPlatform_Current.dialect,
        .counters = &fixture->common.counters,
        .connections_max = 2,
        .initial_limits = {.header_bytes_max = 1000,
                           .body_bytes_max = 1000,
                           .header_timeout = KC_SECOND * 60,
                           .idle_timeout = KC_SECOND * 60},
        .silence_timeout = KC_SECOND * 60,
        .stall_timeout = KC_SECOND * 60};

    Loopback_AssignAddress(fixture->address, sizeof(fixture->address));
    fixture->front_end = KcGatewayFrontEnd_Create(&options);
    g_assert_nonnull(fixture->front_end);
}

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.index = GPOINTER_TO_SIZE(data),
                       .received = g_string_new(NULL)};
    KcRoleCommon *common = &fixture.common;
    KcTimers *timers;
    KcGatewayOptions options;

    common->loop = KcLoop_Create();
    common->drain_timeout =
        cases[fixture.index].is_overdue ? 0 : KC_SECOND * 60;
    timers = common->loop->timers;
    KcGatewayOptions_Init(&options);
    options.timers = timers;
    options.counters = &common->counters;
    options.datacentre = "here";
    options.region_of = GatewayStubs_FindRegion;
    fixture.gateway = KcGateway_Create(&options);
    create_front_end(&fixture);
    KcRoleCommon_HandleSignals(common, &role_ops, &fixture);
    connect_caller(&fixture);
    send_text(&fixture, cases[fixture.index].sent_before);
    KcTimer_Init(&fixture.stop_timer, on_stop_timer, &fixture);
    KcTimers_Set(timers, &fixture.stop_timer, KcLoop_Now() + 100 * KC_MS);
    KcLoop_Run(common->loop);
    g_assert_cmpuint(common->counters.values[KC_COUNT_REQUESTS], ==,
                     cases[fixture.index].requests_taken);
    receive(&fixture);
    g_assert_true(
        g_str_has_prefix(fixture.received->str, cases[fixture.index].answer));
    g_string_free(fixture.received, TRUE);
    close(fixture.caller);
    KcGatewayFrontEnd_Free(fixture.front_end);
    KcGateway_Free(fixture.gateway);
    for (int i = 0; i < 2; i++) {
        event_free(common->stop_signals[i]);
    }
    KcLoop_Free(common->loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/stop end/%s", cases[i].name);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_case);
        g_free(path);
    }
    return g_test_run();
}
