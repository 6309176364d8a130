/*
 * Tests which idle connections a pool gives for the next request when the
 * process was kept from its loop: their timers are not run then, and what
 * their server did is not read.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/connection/http_connection_pool.h"
#include "../loopback.h"
#include "../steps.h"

#define CONNECTIONS_MAX 3
#define BLOCKED_TIME (100 * KC_MS)
#define SHORT_TIMEOUT (50 * KC_MS)
#define LONG_TIMEOUT (60 * KC_SECOND)

/* What the server does with the newest connection. */
typedef enum ServerAction {
    SERVER_KEEPS,
    SERVER_ENDS,
    SERVER_RESETS,
    SERVER_SENDS
} ServerAction;

static const struct {
    const char *name;
    KcTime timeouts[CONNECTIONS_MAX]; /* the newest last; 0: no connection */
    ServerAction action;
    int taken; /* index of the connection; negative: none */
} cases[] = {
    {"an idle connection", {LONG_TIMEOUT}, SERVER_KEEPS, 0},
    {"a connection is not taken once its idle time is over",
     {SHORT_TIMEOUT},
     SERVER_KEEPS,
     -1},
    {"an older connection with a longer idle time is taken",
     {LONG_TIMEOUT, SHORT_TIMEOUT},
     SERVER_KEEPS,
     0},
    {"a connection that its server has ended is not taken",
     {LONG_TIMEOUT},
     SERVER_ENDS,
     -1},
    {"a connection that its server has reset is not taken",
     {LONG_TIMEOUT},
     SERVER_RESETS,
     -1},
    {"a connection with bytes that belong to no request is not taken",
     {LONG_TIMEOUT},
     SERVER_SENDS,
     -1},
    {"an older connection is taken when the server has ended the newest",
     {LONG_TIMEOUT, LONG_TIMEOUT},
     SERVER_ENDS,
     0},
};

typedef struct Fixture {
    KcLoop *loop;
    char address[32];
    int listening;
    int accepted; /* the newest */
    KcHttpConnectionPool *pool;
    KcHttpConnection *connections[CONNECTIONS_MAX];
} Fixture;

static void
on_connected(void *owner)
{
    KcLoop_Stop(((Fixture *)owner)->loop);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    (void)owner;
    (void)message;
}

static void
on_body(void *owner, KcBytes bytes)
{
    (void)owner;
    (void)bytes;
}

static void
on_end(void *owner)
{
    (void)owner;
}

static void
on_failed(void *owner, int code)
{
    (void)owner;
    g_error("connection failed: %d", code);
}

static const KcHttpConnectionOps connection_ops = {.on_connected =
                                                       on_connected,
                                                   .on_head = on_head,
                                                   .on_body = on_body,
                                                   .on_message_end = on_end,
                                                   .on_failed = on_failed};

static void
listen_for_connections(Fixture *fixture)
{
    struct sockaddr_in local = {.sin_family = AF_INET};
    char host[16] = "";
    int port = 0;

    Loopback_AssignAddress(fixture->address, sizeof(fixture->address));
    g_assert_cmpint(sscanf(fixture->address, "%15[^:]:%d", host, &port), ==,
                    2);
    inet_pton(AF_INET, host, &local.sin_addr);
    local.sin_port = htons((uint16_t)port);
    fixture->listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(fixture->listening, (struct sockaddr *)&local, sizeof(local)), ==,
        0);
    g_assert_cmpint(listen(fixture->listening, CONNECTIONS_MAX), ==, 0);
}

/* Connects and puts the connection into the pool. */
static KcHttpConnection *
add_connection(Fixture *fixture, KcTime idle_timeout)
{
    KcHttpConnectionOptions options = {.loop = fixture->loop,
                                       .ops = &connection_ops,
                                       .owner = fixture,
                                       .head_bytes_max = 1000,
                                       .silence_timeout = 60 * KC_SECOND};
    KcHttpConnection *connection =
        KcHttpConnection_Connect(&options, fixture->address);

    g_assert_nonnull(connection);
    fixture->loop->stop_requested = false;
    KcLoop_Run(fixture->loop);
    fixture->accepted = accept(fixture->listening, NULL, NULL);
    g_assert_cmpint(fixture->accepted, >=, 0);
    KcHttpConnectionPool_Put(fixture->pool, connection, idle_timeout);
    return connection;
}

static void
run_server(const Fixture *fixture, ServerAction action)
{
    struct linger reset = {.l_onoff = 1};

    switch (action) {
    case SERVER_KEEPS:
        break;
    case SERVER_RESETS:
        setsockopt(fixture->accepted, SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
        close(fixture->accepted);
        break;
    case SERVER_ENDS:
        shutdown(fixture->accepted, SHUT_WR);
        break;
    case SERVER_SENDS:
        g_assert_cmpint(send(fixture->accepted, "HTTP/1.1 408 ", 13, 0), ==,
                        13);
        break;
    }
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.loop = KcLoop_Create()};
    KcHttpConnection *taken;

    fixture.pool = KcHttpConnectionPool_Create(fixture.loop);
    listen_for_connections(&fixture);
    for (int i = 0; i < CONNECTIONS_MAX && cases[index].timeouts[i] > 0; i++) {
        fixture.connections[i] =
            add_connection(&fixture, cases[index].timeouts[i]);
    }
    run_server(&fixture, cases[index].action);
    g_usleep((gulong)BLOCKED_TIME);
    taken = KcHttpConnectionPool_Take(fixture.pool, KC_NEVER);
    if (cases[index].taken < 0) {
        g_assert_null(taken);
    }
    else {
        g_assert_true(taken == fixture.connections[cases[index].taken]);
        KcHttpConnection_Close(taken);
    }
    KcHttpConnectionPool_Free(fixture.pool);
    close(fixture.listening);
    KcLoop_Free(fixture.loop);
}

/* ---- room ---------------------------------------------------------------- */

/* Connections are put into the pool one after the other; then a new one is to
 * be opened, if is_opening. */
static const struct {
    const char *name;
    uint32_t idle_max; /* 0: not set */
    int put_count;
    bool is_opening;
    int kept; /* how many can be taken, the newest first */
} room_cases[] = {
    {"without a limit all are kept", 0, 3, false, 3},
    {"a new one replaces the least recently used", 0, 3, true, 2},
    {"a new one replaces the only one", 0, 1, true, 0},
    {"a new one when there is none", 0, 0, true, 0},
    {"what exceeds the limit is closed", 2, 3, false, 2},
    {"a new one within the limit replaces one too", 3, 3, true, 2},
    {"a new one beyond the limit", 1, 3, true, 0},
};

static void
test_room(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.loop = KcLoop_Create()};

    fixture.pool = KcHttpConnectionPool_Create(fixture.loop);
    listen_for_connections(&fixture);
    if (room_cases[index].idle_max > 0) {
        KcHttpConnectionPool_SetIdleMax(fixture.pool,
                                        room_cases[index].idle_max);
    }
    for (int i = 0; i < room_cases[index].put_count; i++) {
        fixture.connections[i] = add_connection(&fixture, LONG_TIMEOUT);
    }
    if (room_cases[index].is_opening) {
        KcHttpConnectionPool_MakeRoom(fixture.pool);
    }
    for (int i = 0; i < room_cases[index].kept; i++) {
        KcHttpConnection *taken =
            KcHttpConnectionPool_Take(fixture.pool, KC_NEVER);

        g_assert_true(
            taken == fixture.connections[room_cases[index].put_count - 1 - i]);
        KcHttpConnection_Close(taken);
    }
    g_assert_null(KcHttpConnectionPool_Take(fixture.pool, KC_NEVER));
    KcHttpConnectionPool_Free(fixture.pool);
    close(fixture.listening);
    KcLoop_Free(fixture.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/pool", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    Steps_AddCases("/pool/room", room_cases, G_N_ELEMENTS(room_cases),
                   sizeof(room_cases[0]), test_room);
    return g_test_run();
}
