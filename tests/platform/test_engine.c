/*
 * Tests of the client of a worker's reports: what it takes of a report, parts
 * of which come from others than the worker, such as the ids of requests.
 */
#include <glib.h>
#include <string.h>

#include "../../programs/process/platform.h"
#include "../canned_server.h"
#include "../steps.h"

/* Reports are written as in json_cases.h. */
#define FIELDS                                                                \
    "'sequence':2,'busy':true,'born':7,'models':[{'name':'m','version':3,"    \
    "'adapters':['a@2']}]"

/* A report is described by its sequence, "busy" or "free", start time and
 * number of models and adapters; NULL: it is not valid. */
static const struct {
    const char *name;
    const char *report;
    const char *description;
} cases[] = {
    {"sound", "{" FIELDS "}", "2 busy 7 2"},
    {"nested runs", "{" FIELDS ",'runs':DEEP}", "2 busy 7 2"},
    {"run of an id that is no UTF-8", "{" FIELDS ",'runs':[['\xff',1,1,1]]}",
     "2 busy 7 2"},
    {"number beyond 64 bits in a field that is not used",
     "{'kv_total':123456789012345678901234567890," FIELDS "}", "2 busy 7 2"},
    {"a negative start time", "{'sequence':2,'born':-7,'models':[]}",
     "2 free 0 0"},
    {"a start time that no clock shows",
     "{'sequence':2,'born':9223372036854775807,'models':[]}", "2 free 0 0"},
    {"nested models", "{'sequence':2,'models':DEEP}", NULL},
    {"model without a name", "{'sequence':2,'models':[{'version':3}]}", NULL},
    {"version beyond its range",
     "{'sequence':2,'models':[{'name':'m','version':4294967299}]}", NULL},
    {"sequence beyond 64 bits", "{'sequence':123456789012345678901234567890}",
     NULL},
    {"no sequence", "{'models':[]}", NULL},
    {"cut off", "{" FIELDS, NULL},
    {"no JSON", "busy", NULL},
};

typedef struct Fixture {
    KcLoop *loop;
    CannedServer server;
    KcCounters counters;
    char *description; /* of the report */
    bool has_order_result;
    KcOrderResult order_result;
} Fixture;

static void
on_report(void *context, const KcEngineReport *report)
{
    Fixture *fixture = context;
    const KcReplicaInfo *replica;
    int count = 0;

    if (report != NULL) {
        TAILQ_FOREACH (replica, &report->info.replicas, link) {
            count++;
        }
        fixture->description =
            g_strdup_printf("%d %s %d %d", (int)report->sequence,
                            report->base_model_busy ? "busy" : "free",
                            (int)report->info.started_at_ms, count);
    }
    KcLoop_Stop(fixture->loop);
}

static void
on_order_result(void *context, KcOrderResult result)
{
    Fixture *fixture = context;

    fixture->has_order_result = true;
    fixture->order_result = result;
    KcLoop_Stop(fixture->loop);
}

static void
on_gone(void *context)
{
    (void)context;
    g_assert_not_reached();
}

static void
test_report(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    const char *answers[] = {cases[index].report, NULL};
    Fixture fixture = {.loop = KcLoop_Create()};
    KcEngineOptions options = {.loop = fixture.loop,
                               .address = fixture.server.address,
                               .keeper_name = "k",
                               .call_timeout = KC_SECOND,
                               .counters = &fixture.counters,
                               .on_order_result = on_order_result,
                               .on_report = on_report,
                               .on_gone = on_gone,
                               .context = &fixture};
    KcEngineClient *engine;

    CannedServer_Start(&fixture.server, fixture.loop, answers);
    engine = KcPlatform_Current.open_engine(&options);
    KcPlatform_Current.request_report(engine);
    KcLoop_Run(fixture.loop);
    g_assert_cmpstr(fixture.description, ==, cases[index].description);
    KcPlatform_Current.close_engine(engine);
    CannedServer_Stop(&fixture.server);
    KcLoop_Free(fixture.loop);
    g_free(fixture.description);
}

/* ---- orders -------------------------------------------------------------- */

/* By then the timeout of an order is long past, that of other calls is not. */
#define GUARD_TIME (1 * KC_SECOND)

static void
on_guard(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(timer->owner);
}

/* An order that is not answered holds up the next ones only for its own time.
 */
static void
test_order_without_answer(void)
{
    const char *answers[] = {"{}", NULL}; /* to the health check only */
    Fixture fixture = {.loop = KcLoop_Create()};
    KcOrder order = {.model = "m", .adapter = "a"};
    KcTimer guard;
    KcEngineOptions options = {.loop = fixture.loop,
                               .address = fixture.server.address,
                               .keeper_name = "k",
                               .call_timeout = 60 * KC_SECOND,
                               .order_timeout = 20 * KC_MS,
                               .counters = &fixture.counters,
                               .on_order_result = on_order_result,
                               .on_report = on_report,
                               .on_gone = on_gone,
                               .context = &fixture};
    KcEngineClient *engine;

    CannedServer_Start(&fixture.server, fixture.loop, answers);
    engine = KcPlatform_Current.open_engine(&options);
    KcPlatform_Current.set_health_path(engine, "/health");
    KcPlatform_Current.send_order(engine, &order);
    KcLoop_Run(fixture.loop); /* until the order has arrived */
    KcTimer_Init(&guard, on_guard, fixture.loop);
    KcTimers_Set(fixture.loop->timers, &guard, KcLoop_Now() + GUARD_TIME);
    fixture.loop->stop_requested = false;
    KcLoop_Run(fixture.loop);
    g_assert_true(fixture.has_order_result);
    g_assert_cmpint(fixture.order_result, ==, KC_ORDER_UNKNOWN);
    KcTimers_Clear(fixture.loop->timers, &guard);
    KcPlatform_Current.close_engine(engine);
    CannedServer_Stop(&fixture.server);
    KcLoop_Free(fixture.loop);
}

#define REPORT "{" FIELDS "}"

/* Guards against a worker that is ordered beyond its places, as a copy of an
 * earlier answer counted as that to an order.  Calls are o, an order, and r, a
 * request for a report; the first order is preceded by a health check.  On
 * each connection the worker sends each answer once more, as the next one is
 * due. */
static const struct {
    const char *name;
    const char *calls;
    const char *answers[6];
    KcOrderResult results[3]; /* of the orders */
} copy_cases[] = {
    {"of a health check", "o", {"{}", "202 "}, {KC_ORDER_ACCEPTED}},
    {"of a report", "ro", {REPORT, "{}", "202 "}, {KC_ORDER_ACCEPTED}},
    {"of an order that was done",
     "oo",
     {"{}", "200 ", "202 "},
     {KC_ORDER_DONE, KC_ORDER_ACCEPTED}},
    {"of an order that was refused",
     "oo",
     {"{}", "409 ", "202 "},
     {KC_ORDER_REFUSED, KC_ORDER_ACCEPTED}},
    {"of several orders",
     "ooo",
     {"{}", "202 ", "409 ", "200 "},
     {KC_ORDER_ACCEPTED, KC_ORDER_REFUSED, KC_ORDER_DONE}},
};

static void
test_copies(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.loop = KcLoop_Create()};
    KcOrder order = {.model = "m", .adapter = "a"};
    KcEngineOptions options = {.loop = fixture.loop,
                               .address = fixture.server.address,
                               .keeper_name = "k",
                               .call_timeout = KC_SECOND,
                               .counters = &fixture.counters,
                               .on_order_result = on_order_result,
                               .on_report = on_report,
                               .on_gone = on_gone,
                               .context = &fixture};
    KcEngineClient *engine;
    int order_count = 0;

    CannedServer_Start(&fixture.server, fixture.loop,
                       copy_cases[index].answers);
    fixture.server.sends_copies = true;
    engine = KcPlatform_Current.open_engine(&options);
    KcPlatform_Current.set_health_path(engine, "/health");
    for (const char *call = copy_cases[index].calls; *call != '\0'; call++) {
        fixture.loop->stop_requested = false;
        fixture.has_order_result = false;
        if (*call == 'r') {
            KcPlatform_Current.request_report(engine);
            KcLoop_Run(fixture.loop);
            g_clear_pointer(&fixture.description, g_free);
            continue;
        }
        KcPlatform_Current.send_order(engine, &order);
        KcLoop_Run(fixture.loop);
        g_assert_true(fixture.has_order_result);
        g_assert_cmpint(fixture.order_result, ==,
                        copy_cases[index].results[order_count++]);
    }
    KcPlatform_Current.close_engine(engine);
    CannedServer_Stop(&fixture.server);
    KcLoop_Free(fixture.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/engine/report", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_report);
    g_test_add_func("/engine/order without an answer",
                    test_order_without_answer);
    Steps_AddCases("/engine/copy", copy_cases, G_N_ELEMENTS(copy_cases),
                   sizeof(copy_cases[0]), test_copies);
    return g_test_run();
}
