/*
 * Tests of HTTP calls that cannot be started: the callback gets no answer
 * (status 0) exactly once, and only after KcHttpCall_Fetch() has returned.
 */
#include <glib.h>
#include <string.h>

#include "../../programs/request/http_call.h"

typedef struct CallRecord {
    KcLoop *loop;
    bool fetch_returned;
    int callback_count;
} CallRecord;

static void
on_answer(void *context, int status, const char *etag, KcBytes body)
{
    CallRecord *record = context;

    g_assert_true(record->fetch_returned);
    g_assert_cmpint(status, ==, 0);
    g_assert_cmpstr(etag, ==, "");
    g_assert_cmpuint(body.size, ==, 0);
    record->callback_count++;
    KcLoop_Stop(record->loop);
}

static const struct {
    const char *name;
    const char *method;
    const char *address;
    bool cancelled;
    int callback_count;
} cases[] = {
    {"invalid address", "GET", "nowhere", false, 1},
    {"invalid port", "GET", "127.0.0.1:0x", false, 1},
    {"invalid method", "G T", "127.0.0.1:9", false, 1},
    {"cancelled before the callback", "GET", "nowhere", true, 0},
};

static void
stop_loop(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(timer->owner);
}

static void
test_not_started(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CallRecord record = {.loop = KcLoop_Create()};
        KcHttpCallOptions options = {.loop = record.loop,
                                     .address = cases[i].address,
                                     .method = cases[i].method,
                                     .path = "/",
                                     .progress_timeout = KC_SECOND};
        KcHttpCall *call;
        KcTimer timer;

        g_test_message("%s", cases[i].name);
        call = KcHttpCall_Fetch(&options, on_answer, &record);
        g_assert_nonnull(call);
        record.fetch_returned = true;
        if (cases[i].cancelled) {
            KcHttpCall_Cancel(call);
        }
        KcTimer_Init(&timer, stop_loop, record.loop);
        KcTimers_Set(record.loop->timers, &timer, KcLoop_Now() + 200 * KC_MS);
        KcLoop_Run(record.loop);
        KcTimers_Clear(record.loop->timers, &timer);
        g_assert_cmpint(record.callback_count, ==, cases[i].callback_count);
        KcLoop_Free(record.loop);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http_call/not_started", test_not_started);
    return g_test_run();
}
