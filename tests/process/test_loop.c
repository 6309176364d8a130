/*
 * Tests the order in which the event loop runs timers and reads sockets, and
 * its end.
 */
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/process/loop.h"

#define SOCKETS_MAX 200
#define TIMERS_MAX 2

typedef struct Fixture Fixture;

/* A pair of sockets; what is sent on [1] can be read on [0]. */
typedef struct Pair {
    Fixture *fixture;
    int sockets[2];
    struct event *readable;
} Pair;

struct Fixture {
    KcLoop *loop;
    size_t index; /* of the case */
    GString *trace;
    int reads;
    KcTime due_at; /* of the first timer */
    int timers_run;
    KcTime sent_at; /* the bytes that the first read caused; KC_NEVER: none */
    Pair pairs[SOCKETS_MAX];
    KcTimer timers[TIMERS_MAX];
};

/* Bytes that have arrived and timers that are due when the loop is run. */
static const struct {
    const char *name;
    KcTime blocked;    /* from the time at which the first timer was due */
    int sockets;       /* with a byte to read */
    KcTime read_delay; /* the first read lasts so long after that time, and
                        * causes a byte to arrive at one socket more */
    bool is_endless;   /* the bytes are never read */
    bool is_repeated;  /* a callback asks each time to be called again */
    int timers;        /* due one after the other; the last stops the loop */
    int reads;         /* before that; negative: any number */
    const char *trace;
} cases[] = {
    {"what arrived is read before a timer that had to wait", 100 * KC_MS, 1, 0,
     false, false, 1, 1, "read; timer; "},
    {"a loop stops at once when nothing else happens", 100 * KC_MS, 0, 0,
     false, false, 1, 0, "timer; "},
    {"what arrived is read before a timer that is late by a millisecond",
     1 * KC_MS, 1, 0, false, false, 1, 1, "read; timer; "},
    {"what arrived at many sockets is read before a timer that had to wait",
     100 * KC_MS, SOCKETS_MAX, 0, false, false, 1, SOCKETS_MAX,
     "read; timer; "},
    {"what arrived during a long read is read before a timer due meanwhile", 0,
     1, 50 * KC_MS, false, false, 1, 2, "read; timer; "},
    {"a timer is not given a time by which something unread has arrived",
     100 * KC_MS, 1, 150 * KC_MS, false, false, 1, 1, "read; timer; read; "},
    {"timers that had to wait run in the order in which they were due",
     100 * KC_MS, 1, 0, false, false, 2, 1, "read; timer; timer; "},
    {"a socket that is always readable does not keep a loop from its end",
     100 * KC_MS, 1, 0, true, false, 1, 1, "read; timer; read; "},
    {"sockets that are always readable keep no timer from running", 0,
     SOCKETS_MAX, 0, true, false, 2, -1, "read; timer; read; timer; read; "},
    {"a callback that is always called again keeps no timer from running", 0,
     0, 0, false, true, 2, -1, "read; timer; read; timer; read; "},
};

static void
send_byte(const Pair *pair)
{
    g_assert_cmpint(send(pair->sockets[1], "x", 1, 0), ==, 1);
}

static void
wait_until(KcTime until)
{
    while (KcLoop_Now() < until) {
        g_usleep(1000);
    }
}

static void
note_read(Fixture *fixture)
{
    if (!g_str_has_suffix(fixture->trace->str, "read; ")) {
        g_string_append(fixture->trace, "read; ");
    }
}

/*
 * Asks to be called again, as for the next of many requests at once, until all
 * timers have run.
 */
static void
on_repeat(struct bufferevent *bev, void *context)
{
    Fixture *fixture = context;

    note_read(fixture);
    if (fixture->timers_run < cases[fixture->index].timers) {
        bufferevent_trigger(bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
}

static void
on_readable(evutil_socket_t fd, short what, void *context)
{
    Pair *pair = context;
    Fixture *fixture = pair->fixture;
    char byte;

    (void)what;
    if (!cases[fixture->index].is_endless) {
        g_assert_cmpint(recv(fd, &byte, 1, 0), ==, 1);
    }
    note_read(fixture);
    if (fixture->reads++ == 0 && cases[fixture->index].read_delay > 0) {
        wait_until(fixture->due_at + cases[fixture->index].read_delay);
        fixture->sent_at = KcLoop_Now();
        send_byte(pair + 1);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    Fixture *fixture = timer->owner;

    g_assert_cmpint(now, >=, timer->due_at);
    g_assert_true(timer == &fixture->timers[fixture->timers_run]);
    g_string_append(fixture->trace, "timer; ");
    if (cases[fixture->index].reads >= 0) {
        g_assert_cmpint(fixture->reads, ==, cases[fixture->index].reads);
    }
    if (fixture->reads <= cases[fixture->index].sockets) {
        g_assert_cmpint(now, <=, fixture->sent_at);
    }
    if (++fixture->timers_run == cases[fixture->index].timers) {
        KcLoop_Stop(fixture->loop);
    }
}

static void
open_pair(Fixture *fixture, Pair *pair)
{
    pair->fixture = fixture;
    g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, pair->sockets), ==, 0);
    pair->readable = event_new(fixture->loop->base, pair->sockets[0],
                               EV_READ | EV_PERSIST, on_readable, pair);
    event_add(pair->readable, NULL);
}

static void
close_pair(Pair *pair)
{
    event_free(pair->readable);
    close(pair->sockets[0]);
    close(pair->sockets[1]);
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    int sockets = cases[index].sockets;
    /* One more that has nothing to read at first. */
    int pairs = sockets < SOCKETS_MAX ? sockets + 1 : sockets;
    Fixture fixture = {.loop = KcLoop_Create(),
                       .index = index,
                       .sent_at = KC_NEVER,
                       .trace = g_string_new("")};
    struct bufferevent *repeated =
        bufferevent_socket_new(fixture.loop->base, -1, 0);

    bufferevent_setcb(repeated, on_repeat, NULL, NULL, &fixture);
    if (cases[index].is_repeated) {
        bufferevent_trigger(repeated, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
    for (int i = 0; i < pairs; i++) {
        open_pair(&fixture, &fixture.pairs[i]);
        if (i < sockets) {
            send_byte(&fixture.pairs[i]);
        }
    }
    fixture.due_at = KcLoop_Now() + 5 * KC_MS;
    for (int i = 0; i < cases[index].timers; i++) {
        KcTimer_Init(&fixture.timers[i], on_timer, &fixture);
        KcTimers_Set(fixture.loop->timers, &fixture.timers[i],
                     fixture.due_at + i * 20 * KC_MS);
    }
    if (cases[index].blocked > 0) {
        wait_until(fixture.due_at + cases[index].blocked);
    }
    KcLoop_Run(fixture.loop);
    g_assert_cmpstr(fixture.trace->str, ==, cases[index].trace);
    for (int i = 0; i < pairs; i++) {
        close_pair(&fixture.pairs[i]);
    }
    bufferevent_free(repeated);
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
