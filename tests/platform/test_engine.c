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
    (void)context;
    (void)result;
    g_assert_not_reached();
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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/engine/report", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_report);
    return g_test_run();
}
