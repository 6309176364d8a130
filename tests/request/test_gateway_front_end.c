/*
 * Tests when a gateway's front end is quiet, so that a planned stop ends
 * without cutting off a caller.  The gateway has no configuration and refuses
 * every request.
 */
#include <event2/bufferevent.h>
#include <event2/buffer.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "../../programs/request/gateway_front_end.h"
#include "../gateway_stubs.h"
#include "../loopback.h"

/* Bounds the duration when a step does not end. */
#define GUARD_TIMEOUT (10 * KC_SECOND)
#define CHECK_INTERVAL (5 * KC_MS)
/* Of a planned stop. */
#define STOP_DURATION (200 * KC_MS)
/* More answers than the sockets' buffers hold. */
#define MANY_REQUESTS 40000

#define HEAD "POST /x HTTP/1.1\r\nHost: h\r\n"

typedef struct Fixture {
    KcLoop *loop;
    KcCounters counters;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    struct bufferevent *caller;
    bool is_quiet; /* awaited */
    KcTime since;  /* the front end has been as awaited; 0: it is not */
} Fixture;

/* What a caller sends, and whether the front end is quiet then. */
static const struct {
    const char *name;
    const char *request;
    int request_count;
    bool caller_reads;
    bool is_quiet;
    int stop_ms; /* when a planned stop begins, after the caller connects; -1:
                  * before; 0: never */
} cases[] = {
    {"an idle connection", "", 1, true, true, 0},
    {"a head that is being received", "POST /x HT", 1, true, false, 0},
    {"a body that is being received", HEAD "Content-Length: 9\r\n\r\nabc", 1,
     true, false, 0},
    {"an answer that was sent", HEAD "\r\n", 1, true, true, 0},
    {"answers that their caller does not read", HEAD "\r\n", MANY_REQUESTS,
     false, false, 0},
    {"answers that their caller reads", HEAD "\r\n", MANY_REQUESTS, true, true,
     0},
    {"a head that is being received when a stop ends", "POST /x HT", 1, true,
     true, -1},
    {"a head that is being received when a stop begins", "POST /x HT", 1, true,
     true, 100},
    {"a body that is being received when a stop ends",
     HEAD "Content-Length: 9\r\n\r\nabc", 1, true, true, -1},
};

/* Stops the loop when the front end has been as awaited for a while. */
static void
on_check_timer(KcTimer *timer, KcTime now)
{
    Fixture *fixture = timer->owner;
    bool is_sent =
        evbuffer_get_length(bufferevent_get_output(fixture->caller)) == 0 ||
        !fixture->is_quiet;

    if (KcGatewayFrontEnd_IsQuiet(fixture->front_end) != fixture->is_quiet ||
        !is_sent) {
        fixture->since = 0;
    }
    else if (fixture->since == 0) {
        fixture->since = now;
    }
    else if (now - fixture->since >= 20 * CHECK_INTERVAL) {
        KcLoop_Stop(fixture->loop);
    }
    KcTimers_Set(fixture->loop->timers, timer, now + CHECK_INTERVAL);
}

static void
on_guard_timer(KcTimer *timer, KcTime now)
{
    (void)timer;
    (void)now;
    g_error("the front end is not as awaited");
}

static void
on_stop_timer(KcTimer *timer, KcTime now)
{
    Fixture *fixture = timer->owner;

    KcGatewayFrontEnd_Drain(fixture->front_end, now, now + STOP_DURATION);
}

static void
on_read(struct bufferevent *bev, void *context)
{
    struct evbuffer *input = bufferevent_get_input(bev);

    (void)context;
    evbuffer_drain(input, evbuffer_get_length(input));
}

static void
connect_caller(Fixture *fixture, const char *address, bool reads)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);

    g_assert_cmpint(
        evutil_parse_sockaddr_port(address, (struct sockaddr *)&remote, &size),
        ==, 0);
    fixture->caller =
        bufferevent_socket_new(fixture->loop->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->caller, on_read, NULL, NULL, NULL);
    g_assert_cmpint(bufferevent_socket_connect(
                        fixture->caller, (struct sockaddr *)&remote, size),
                    ==, 0);
    bufferevent_enable(fixture->caller, reads ? EV_READ | EV_WRITE : EV_WRITE);
    if (!reads) {
        bufferevent_disable(fixture->caller, EV_READ);
    }
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.loop = KcLoop_Create(),
                       .is_quiet = cases[index].is_quiet};
    char address[32];
    KcTimer check_timer;
    KcTimer guard_timer;
    KcTimer stop_timer;

    fixture.gateway =
        GatewayStubs_CreateGateway(fixture.loop, &fixture.counters);
    Loopback_AssignAddress(address, sizeof(address));
    fixture.front_end = GatewayStubs_CreateFrontEnd(
        fixture.loop, fixture.gateway, &fixture.counters, address);
    g_assert_nonnull(fixture.front_end);
    g_assert_true(KcGatewayFrontEnd_IsQuiet(fixture.front_end));
    KcTimer_Init(&stop_timer, on_stop_timer, &fixture);
    if (cases[index].stop_ms > 0) {
        KcTimers_Set(fixture.loop->timers, &stop_timer,
                     KcLoop_Now() + cases[index].stop_ms * KC_MS);
    }
    else if (cases[index].stop_ms < 0) {
        on_stop_timer(&stop_timer, KcLoop_Now());
    }
    connect_caller(&fixture, address, cases[index].caller_reads);
    for (int i = 0; i < cases[index].request_count; i++) {
        evbuffer_add(bufferevent_get_output(fixture.caller),
                     cases[index].request, strlen(cases[index].request));
    }
    KcTimer_Init(&check_timer, on_check_timer, &fixture);
    KcTimer_Init(&guard_timer, on_guard_timer, &fixture);
    KcTimers_Set(fixture.loop->timers, &check_timer, KcLoop_Now());
    KcTimers_Set(fixture.loop->timers, &guard_timer,
                 KcLoop_Now() + GUARD_TIMEOUT);
    KcLoop_Run(fixture.loop);
    bufferevent_free(fixture.caller);
    KcTimers_Clear(fixture.loop->timers, &check_timer);
    KcTimers_Clear(fixture.loop->timers, &guard_timer);
    KcTimers_Clear(fixture.loop->timers, &stop_timer);
    KcGatewayFrontEnd_Free(fixture.front_end);
    KcGateway_Free(fixture.gateway);
    KcLoop_Free(fixture.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/front end/%s", cases[i].name);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_case);
        g_free(path);
    }
    return g_test_run();
}
