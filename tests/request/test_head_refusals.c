/*
 * Tests that the refusal of a HEAD request has no body, which its caller would
 * take for the beginning of its next answer.  The gateway has no configuration
 * and refuses every request.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../programs/request/gateway_front_end.h"
#include "../gateway_stubs.h"
#include "../loopback.h"
#include "../steps.h"

/* Bounds the duration of a case. */
#define GUARD_TIMEOUT (5 * KC_SECOND)

#define REQUEST(method) method " /x HTTP/1.1\r\nHost: h\r\n\r\n"
#define LAST(method)                                                          \
    method " /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

/* What a caller sends on one connection, and the answers as it reads them:
 * their statuses, with "+" behind those that have a body. */
static const struct {
    const char *name;
    const char *requests;
    const char *answers;
} cases[] = {
    {"GET", LAST("GET"), "503+ "},
    {"POST", LAST("POST"), "503+ "},
    {"HEAD", LAST("HEAD"), "503 "},
    {"HEAD, then GET", REQUEST("HEAD") LAST("GET"), "503 503+ "},
    {"GET, then HEAD", REQUEST("GET") LAST("HEAD"), "503+ 503 "},
    {"HEAD three times", REQUEST("HEAD") REQUEST("HEAD") LAST("HEAD"),
     "503 503 503 "},
    {"HEAD with a body that is too long",
     "HEAD /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "413 "},
    {"HEAD without a host", "HEAD /x HTTP/1.1\r\n\r\n", "400 "},
};

typedef struct Fixture {
    KcLoop *loop;
    KcCounters counters;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    struct bufferevent *caller;
    GString *received;
} Fixture;

static void
on_read(struct bufferevent *bev, void *context)
{
    struct evbuffer *input = bufferevent_get_input(bev);
    size_t size = evbuffer_get_length(input);

    g_string_append_len(((Fixture *)context)->received,
                        (const char *)evbuffer_pullup(input, -1),
                        (gssize)size);
    evbuffer_drain(input, size);
}

static void
on_event(struct bufferevent *bev, short events, void *context)
{
    if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        on_read(bev, context);
        KcLoop_Stop(((Fixture *)context)->loop);
    }
}

static void
on_guard(KcTimer *timer, KcTime now)
{
    (void)timer;
    (void)now;
    g_error("the gateway does not close the connection");
}

/* Reads the answers to the requests, in their order. */
static char *
describe_answers(const char *requests, const char *received)
{
    GString *answers = g_string_new("");

    while (*received != '\0') {
        const char *body = strstr(received, "\r\n\r\n");
        const char *length = strstr(received, "Content-Length: ");
        bool is_head = g_str_has_prefix(requests, "HEAD");

        g_assert_true(g_str_has_prefix(received, "HTTP/1.1 "));
        g_assert_nonnull(body);
        g_assert_nonnull(length);
        g_string_append_printf(answers, "%d%s ", atoi(received + 9),
                               is_head ? "" : "+");
        received = body + 4;
        if (!is_head) {
            g_assert_cmpint(atoi(length + 16), >, 0);
            g_assert_cmpint(atoi(length + 16), <=, strlen(received));
            received += atoi(length + 16);
        }
        requests = strstr(requests, "\r\n\r\n") + 4;
    }
    return g_string_free(answers, FALSE);
}

static void
connect_caller(Fixture *fixture, const char *address, const char *requests)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);

    g_assert_cmpint(
        evutil_parse_sockaddr_port(address, (struct sockaddr *)&remote, &size),
        ==, 0);
    fixture->caller =
        bufferevent_socket_new(fixture->loop->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->caller, on_read, NULL, on_event, fixture);
    bufferevent_enable(fixture->caller, EV_READ | EV_WRITE);
    bufferevent_socket_connect(fixture->caller, (struct sockaddr *)&remote,
                               size);
    evbuffer_add(bufferevent_get_output(fixture->caller), requests,
                 strlen(requests));
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.loop = KcLoop_Create(), .received = g_string_new("")};
    char address[32];
    char *answers;
    KcTimer guard;

    fixture.gateway =
        GatewayStubs_CreateGateway(fixture.loop, &fixture.counters);
    Loopback_AssignAddress(address, sizeof(address));
    fixture.front_end = GatewayStubs_CreateFrontEnd(
        fixture.loop, fixture.gateway, &fixture.counters, address);
    g_assert_nonnull(fixture.front_end);
    connect_caller(&fixture, address, cases[index].requests);
    KcTimer_Init(&guard, on_guard, &fixture);
    KcTimers_Set(fixture.loop->timers, &guard, KcLoop_Now() + GUARD_TIMEOUT);
    KcLoop_Run(fixture.loop);
    answers = describe_answers(cases[index].requests, fixture.received->str);
    g_assert_cmpstr(answers, ==, cases[index].answers);
    g_free(answers);
    g_string_free(fixture.received, TRUE);
    bufferevent_free(fixture.caller);
    KcTimers_Clear(fixture.loop->timers, &guard);
    KcGatewayFrontEnd_Free(fixture.front_end);
    KcGateway_Free(fixture.gateway);
    KcLoop_Free(fixture.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/head refusals", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    return g_test_run();
}
