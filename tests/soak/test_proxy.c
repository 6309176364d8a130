/*
 * Tests that the proxies of the soak lose no bytes by themselves, and pass no
 * end on behind bytes that they drop: a server sends some and closes.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/connection/socket.h"
#include "../loopback.h"
#include "../steps.h"
#include "proxy.h"

#define CONNECTIONS 200

typedef struct Fixture {
    KcLoop *loop;
    size_t index;
    struct evconnlistener *listener;
    Proxy *proxy;
    struct sockaddr_storage proxy_address;
    int proxy_address_size;
    struct bufferevent *caller;
    int connections;
} Fixture;

static const struct {
    const char *name;
    ProxyMode mode;
    const char *bytes; /* sent at once */
    const char *last_bytes;
    bool is_dropped; /* the caller gets a reset in place of all this */
} cases[] = {
    {"bytes before an end", PROXY_PASS, "id: 0\ndata: piece 0\n\n", "", false},
    {"bytes in two pieces", PROXY_PASS, "id: 0\ndata: piece 0\n\n",
     "id: 1\ndata: pie", false},
    {"delayed bytes", PROXY_DELAY, "id: 0\ndata: piece 0\n\n",
     "id: 1\ndata: pie", false},
    {"an end behind dropped bytes", PROXY_SILENT_FROM_TARGET,
     "id: 0\ndata: piece 0\n\n", "", true},
};

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    const char *bytes = cases[((Fixture *)context)->index].bytes;
    const char *last_bytes = cases[((Fixture *)context)->index].last_bytes;

    (void)listener;
    (void)address;
    (void)size;
    g_assert_cmpint(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==,
                    strlen(bytes));
    g_assert_cmpint(send(fd, last_bytes, strlen(last_bytes), MSG_NOSIGNAL), ==,
                    strlen(last_bytes));
    close(fd);
}

static void connect_caller(Fixture *fixture);

static void
on_caller_event(struct bufferevent *bev, short events, void *context)
{
    Fixture *fixture = context;

    if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))) {
        return;
    }
    g_assert_cmpint((events & BEV_EVENT_ERROR) != 0, ==,
                    cases[fixture->index].is_dropped);
    g_assert_cmpuint(evbuffer_get_length(bufferevent_get_input(bev)), ==,
                     cases[fixture->index].is_dropped
                         ? 0
                         : strlen(cases[fixture->index].bytes) +
                               strlen(cases[fixture->index].last_bytes));
    bufferevent_free(bev);
    if (++fixture->connections == CONNECTIONS) {
        KcLoop_Stop(fixture->loop);
        return;
    }
    connect_caller(fixture);
}

static void
connect_caller(Fixture *fixture)
{
    fixture->caller =
        bufferevent_socket_new(fixture->loop->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->caller, NULL, NULL, on_caller_event, fixture);
    bufferevent_enable(fixture->caller, EV_READ | EV_WRITE);
    g_assert_cmpint(
        bufferevent_socket_connect(fixture->caller,
                                   (struct sockaddr *)&fixture->proxy_address,
                                   fixture->proxy_address_size),
        ==, 0);
}

static void
test_bytes_pass(gconstpointer data)
{
    Fixture fixture = {.loop = KcLoop_Create(),
                       .index = GPOINTER_TO_SIZE(data),
                       .proxy_address_size = sizeof(fixture.proxy_address)};
    char target[32];
    char address[32];

    Loopback_AssignAddress(target, sizeof(target));
    Loopback_AssignAddress(address, sizeof(address));
    fixture.listener =
        KcSocket_Listen(fixture.loop->base, target, on_accept, &fixture);
    g_assert_nonnull(fixture.listener);
    fixture.proxy = Proxy_Create(fixture.loop, address, target);
    g_assert_nonnull(fixture.proxy);
    Proxy_SetMode(fixture.proxy, cases[fixture.index].mode);
    g_assert_cmpint(evutil_parse_sockaddr_port(
                        address, (struct sockaddr *)&fixture.proxy_address,
                        &fixture.proxy_address_size),
                    ==, 0);
    connect_caller(&fixture);
    KcLoop_Run(fixture.loop);
    evconnlistener_free(fixture.listener);
    Proxy_Free(fixture.proxy);
    KcLoop_Free(fixture.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/proxy", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_bytes_pass);
    return g_test_run();
}
