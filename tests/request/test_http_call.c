/*
 * Tests of calls that cannot be started: they are reported like one that has
 * no answer, once, and never before the call returned.
 */
#include <glib.h>
#include <string.h>

#include "../../programs/request/http_call.h"

typedef struct Reported {
    KcLoop *loop;
    bool returned;
    int times;
} Reported;

static void
on_answer(void *context, int status, const char *etag, KcBytes body)
{
    Reported *reported = context;

    g_assert_true(reported->returned);
    g_assert_cmpint(status, ==, 0);
    g_assert_cmpstr(etag, ==, "");
    g_assert_cmpuint(body.size, ==, 0);
    reported->times++;
    KcLoop_Stop(reported->loop);
}

static const struct {
    const char *name;
    const char *method;
    const char *address;
    bool cancelled;
    int times;
} cases[] = {
    {"an address that is none", "GET", "nowhere", false, 1},
    {"a port that is none", "GET", "127.0.0.1:0x", false, 1},
    {"a method that is none", "G T", "127.0.0.1:9", false, 1},
    {"cancelled before it was reported", "GET", "nowhere", true, 0},
};

static void
stop(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(timer->owner);
}

static void
test_not_started(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Reported reported = {.loop = KcLoop_Create()};
        KcHttpCallOptions options = {.loop = reported.loop,
                                     .address = cases[i].address,
                                     .method = cases[i].method,
                                     .path = "/",
                                     .progress_timeout = KC_SECOND};
        KcHttpCall *call;
        KcTimer timer;

        g_test_message("%s", cases[i].name);
        call = KcHttpCall_Fetch(&options, on_answer, &reported);
        g_assert_nonnull(call);
        reported.returned = true;
        if (cases[i].cancelled) {
            KcHttpCall_Cancel(call);
        }
        KcTimer_Init(&timer, stop, reported.loop);
        KcTimers_Set(reported.loop->timers, &timer,
                     KcLoop_Now() + 200 * KC_MS);
        KcLoop_Run(reported.loop);
        KcTimers_Clear(reported.loop->timers, &timer);
        g_assert_cmpint(reported.times, ==, cases[i].times);
        KcLoop_Free(reported.loop);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http call/not started", test_not_started);
    return g_test_run();
}
