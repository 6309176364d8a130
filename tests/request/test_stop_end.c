/*
 * Tests the end of a planned stop of a gateway: requests that arrive in the
 * moment in which it is decided are left unread, so that their callers may
 * send them elsewhere, and are not taken by a process that ends.
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

#define REQUEST "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

/* A caller, and what it does when the stop is decided. */
static const struct {
    const char *name;
    const char *sent_before;
    bool connects_then;
    const char *sent_then;
    bool is_overdue; /* the stop has taken all its time */
    uint64_t requests_taken;
} cases[] = {
    {"a request on a kept connection is not taken", REQUEST, false, REQUEST,
     false, 1},
    {"a request on a connection without any is not taken", "", false, REQUEST,
     false, 0},
    {"a request on a new connection is not taken", "", true, REQUEST, false,
     0},
    {"the rest of a request is not taken at the last moment",
     "GET /x HTTP/1.1\r\nHo", false, "st: h\r\n\r\n", true, 0},
};

typedef struct Fixture {
    KcRoleCommon common;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    char address[32];
    size_t index;
    int caller;
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

    g_assert_cmpint(send(fixture->caller, text, size, MSG_NOSIGNAL), ==, size);
}

/* ---- the role ------------------------------------------------------------ */

static void
begin_drain(void *role)
{
    Fixture *fixture = role;

    KcGatewayFrontEnd_Drain(fixture->front_end, KC_NEVER, KC_NEVER);
}

/* Decides that the stop ends; the caller sends before anything is done. */
static bool
is_drained(void *role)
{
    Fixture *fixture = role;

    if (cases[fixture->index].connects_then) {
        close(fixture->caller);
        connect_caller(fixture);
    }
    send_text(fixture, cases[fixture->index].sent_then);
    return !cases[fixture->index].is_overdue;
}

static void
end_intake(void *role)
{
    KcGatewayFrontEnd_EndIntake(((Fixture *)role)->front_end);
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

    for (int port = 25000; port < 26000 && fixture->front_end == NULL;
         port++) {
        snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%d",
                 port);
        fixture->front_end = KcGatewayFrontEnd_Create(&options);
    }
    g_assert_nonnull(fixture->front_end);
}

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.index = GPOINTER_TO_SIZE(data)};
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
