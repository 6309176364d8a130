/*
 * Tests the order in which the event loop runs timers and reads sockets, and
 * its end.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/process/loop.h"

typedef struct Fixture {
    KcLoop *loop;
    GString *trace;
    int sockets[2];
} Fixture;

/* Bytes that have arrived and a timer that is due when the loop is run. */
static const struct {
    const char *name;
    KcTime blocked; /* from the time at which the timer was due */
    bool has_bytes;
    const char *trace;
} cases[] = {
    {"what arrived is read before a timer that had to wait", 100 * KC_MS, true,
     "read; timer; "},
    {"a loop stops at once when nothing else happens", 100 * KC_MS, false,
     "timer; "},
};

static void
on_readable(evutil_socket_t fd, short what, void *context)
{
    Fixture *fixture = context;
    char byte;

    (void)what;
    g_assert_cmpint(recv(fd, &byte, 1, 0), ==, 1);
    g_string_append(fixture->trace, "read; ");
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    Fixture *fixture = timer->owner;

    g_assert_cmpint(now, >=, timer->due_at);
    g_string_append(fixture->trace, "timer; ");
    KcLoop_Stop(fixture->loop);
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.loop = KcLoop_Create(), .trace = g_string_new("")};
    KcTime due_at = KcLoop_Now() + 5 * KC_MS;
    struct event *readable;
    KcTimer timer;

    g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, fixture.sockets), ==,
                    0);
    readable = event_new(fixture.loop->base, fixture.sockets[0],
                         EV_READ | EV_PERSIST, on_readable, &fixture);
    event_add(readable, NULL);
    KcTimer_Init(&timer, on_timer, &fixture);
    KcTimers_Set(fixture.loop->timers, &timer, due_at);
    if (cases[index].has_bytes) {
        g_assert_cmpint(send(fixture.sockets[1], "x", 1, 0), ==, 1);
    }
    while (KcLoop_Now() < due_at + cases[index].blocked) {
        g_usleep(1000);
    }
    KcLoop_Run(fixture.loop);
    g_assert_cmpstr(fixture.trace->str, ==, cases[index].trace);
    event_free(readable);
    close(fixture.sockets[0]);
    close(fixture.sockets[1]);
    KcLoop_Free(fixture.loop);
    g_string_free(fixture.trace, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/loop/%s", cases[i].name);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_case);
        g_free(path);
    }
    return g_test_run();
}
