/*
 * Tests of the keeper against a scripted engine: what it orders and what it
 * tells, for each sequence of answers, losses and restarts.
 *
 * Steps, separated by semicolons:
 *   cap N               the engine takes N adapters and 2 models of 100 MB
 *   fence N             the keeper gets its fencing number
 *   rep SEQ BORN ITEM...  a report: m is the base model, a@1 an adapter,
 *                       +a@1 one on its way, busy as it says
 *   norep               the report has no answer
 *   acc, holds, refused, unknown   how the order ended
 *   want NAME VERSION, used NAME USES INFLIGHT, lost   what a gateway says
 *   wait MS
 * What the keeper does: "?" a report, "L a@0 #3" and "U a #3" orders with the
 * engine's sequence, "a=loaded" and so on what gateways are told.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"

typedef struct Script {
    KcTimers *timers;
    KcCounters counters;
    KcKeeper *keeper;
    GString *trace;
    KcTime now;
    bool asking;
    bool ordering;
} Script;

static void
on_order(void *context, const KcOrder *order)
{
    Script *script = context;

    g_assert_false(script->ordering || script->asking);
    script->ordering = true;
    g_string_append_printf(script->trace, "%s %s", order->unload ? "U" : "L",
                           order->adapter[0] != '\0' ? order->adapter
                                                     : order->model);
    if (!order->unload) {
        g_string_append_printf(script->trace, "@%u", order->version);
    }
    g_string_append_printf(script->trace, " #%" PRIu64 "; ", order->sequence);
}

static void
on_report(void *context)
{
    Script *script = context;

    g_assert_false(script->ordering || script->asking);
    script->asking = true;
    g_string_append(script->trace, "?; ");
}

static void
on_tell(void *context, KcLink *link, const char *model, const char *adapter,
        uint32_t version, KcHeldState state)
{
    static const char *const names[KC_HELD_STATE_COUNT] = {
        "gone", "coming", "loaded", "nothing", "leaving"};
    Script *script = context;

    (void)link;
    (void)version;
    g_string_append_printf(script->trace, "%s=%s; ",
                           adapter[0] != '\0' ? adapter : model, names[state]);
}

static void
on_record(void *context, const KcKeeperLogEntry *record)
{
    (void)context;
    g_assert_cmpint(record->slots_in_use, <=, record->slot_count + 1);
}

static const KcKeeperOps ops = {on_order, on_report, on_tell, on_record};

/* ---- steps --------------------------------------------------------------- */

static void
step_capacity(Script *script, char **words)
{
    KcEngineCapacity capacity;

    KcEngineCapacity_Init(&capacity);
    capacity.is_configured = true;
    capacity.adapter_slots = (uint32_t)atoi(words[1]);
    capacity.memory_megabytes = 250;
    KcEngineCapacity_AddModel(&capacity, "m", 100, 1);
    KcEngineCapacity_AddModel(&capacity, "n", 100, 1);
    KcKeeper_SetCapacity(script->keeper, &capacity, script->now);
    KcEngineCapacity_Clear(&capacity);
}

static void
step_fence(Script *script, char **words)
{
    KcKeeper_SetFence(script->keeper, (uint64_t)atoi(words[1]), script->now);
}

static void
step_report(Script *script, char **words)
{
    KcEngineReport report = {.sequence = (uint64_t)atoi(words[1])};

    if (!script->asking) {
        g_error("no question: %s", script->trace->str);
    }
    script->asking = false;
    KcServerInfo_Init(&report.info);
    report.info.started_at_ms = atoi(words[2]);
    for (char **word = words + 3; *word != NULL; word++) {
        bool coming = (*word)[0] == '+';
        char **parts = g_strsplit(*word + (coming ? 1 : 0), "@", 2);

        if (strcmp(*word, "leaving") == 0) {
            report.leaving = true;
        }
        else if (strcmp(*word, "busy") == 0) {
            report.base_model_busy = true;
        }
        else if (parts[1] == NULL) {
            KcServerInfo_AddReplica(&report.info, parts[0], "", 1, coming);
        }
        else {
            KcServerInfo_AddReplica(&report.info, "m", parts[0],
                                    (uint32_t)atoi(parts[1]), coming);
        }
        g_strfreev(parts);
    }
    KcKeeper_OnReport(script->keeper, &report, script->now);
    KcServerInfo_Clear(&report.info);
}

static void
step_no_report(Script *script, char **words)
{
    (void)words;
    g_assert_true(script->asking);
    script->asking = false;
    KcKeeper_OnReport(script->keeper, NULL, script->now);
}

static void
end_order(Script *script, KcOrderResult end)
{
    if (!script->ordering) {
        g_error("no order: %s", script->trace->str);
    }
    script->ordering = false;
    KcKeeper_OnOrderResult(script->keeper, end, script->now);
}

static void
step_accepted(Script *script, char **words)
{
    (void)words;
    end_order(script, KC_ORDER_ACCEPTED);
}

static void
step_holds(Script *script, char **words)
{
    (void)words;
    end_order(script, KC_ORDER_DONE);
}

static void
step_refused(Script *script, char **words)
{
    (void)words;
    end_order(script, KC_ORDER_REFUSED);
}

static void
step_unknown(Script *script, char **words)
{
    (void)words;
    end_order(script, KC_ORDER_UNKNOWN);
}

static void
step_want(Script *script, char **words)
{
    KcKeeper_OnLoadRequest(script->keeper, "m", words[1],
                           (uint32_t)atoi(words[2]), 0, script->now);
}

static void
step_used(Script *script, char **words)
{
    KcKeeper_OnUsage(script->keeper, (KcLink *)script, "m", words[1],
                     (uint32_t)atoi(words[2]), (uint32_t)atoi(words[3]),
                     script->now);
}

static void
step_lost(Script *script, char **words)
{
    (void)words;
    KcKeeper_OnGatewayLost(script->keeper, (KcLink *)script, script->now);
}

static void
step_wait(Script *script, char **words)
{
    script->now += atoi(words[1]) * KC_MS;
    KcTimers_Run(script->timers, script->now);
}

static const Step steps[] = {
    {"cap", step_capacity},    {"fence", step_fence},
    {"rep", step_report},      {"norep", step_no_report},
    {"acc", step_accepted},    {"holds", step_holds},
    {"refused", step_refused}, {"unknown", step_unknown},
    {"want", step_want},       {"used", step_used},
    {"lost", step_lost},       {"wait", step_wait},
};

/* ---- cases --------------------------------------------------------------- */

/* A keeper that may order, of an engine with a base model and two places. */
#define READY "rep 0 1 m;cap 2;rep 0 1 m;fence 5"
#define READY_TRACE "?; =nothing; m=loaded; ?; "
#define LOAD_A READY ";want a 0;acc;wait 40;rep 1 1 m a@1"
#define LOAD_A_TRACE READY_TRACE "a=coming; L a@0 #0; ?; a=loaded; "
#define LOAD_AB LOAD_A ";want b 0;acc;wait 40;rep 2 1 m a@1 b@1"
#define LOAD_AB_TRACE LOAD_A_TRACE "b=coming; L b@0 #1; ?; b=loaded; "

static const struct {
    const char *name;
    const char *steps;
    const char *trace;
} cases[] = {
    {"load", LOAD_A, LOAD_A_TRACE},
    {"no order without a fencing number", "rep 0 1 m;cap 2;rep 0 1 m;want a 0",
     READY_TRACE},
    {"no order before the engine was asked", "cap 2;fence 5;want a 0", "?; "},
    {"no order before the capacity is known", "rep 0 1 m;fence 5;want a 0",
     "?; =nothing; m=loaded; "},
    {"what is held when the capacity is learnt takes places",
     "rep 0 1 m a@1 b@1 c@1;fence 5;cap 2;rep 0 1 m a@1 b@1 c@1;want d 0",
     "?; =nothing; m=loaded; a=loaded; b=loaded; c=loaded; ?; a=gone; "
     "U a #0; "},
    {"evicts the least used",
     LOAD_AB ";used b 5 0;wait 2000;rep 2 1 m a@1 b@1;want c 0;holds",
     LOAD_AB_TRACE "?; a=gone; U a #2; c=coming; L c@0 #3; "},
    {"never evicts an adapter in use",
     LOAD_AB ";used a 1 1;used b 1 1;wait 2000;rep 2 1 m a@1 b@1;want c 0;"
             "used a 0 0;wait 40;rep 2 1 m a@1 b@1",
     LOAD_AB_TRACE "?; ?; a=gone; U a #2; "},
    {"an adapter of a lost gateway may go",
     LOAD_AB ";used a 9 1;used b 1 1;lost;wait 2000;rep 2 1 m a@1 b@1;"
             "want c 0",
     LOAD_AB_TRACE "?; b=gone; U b #2; "},
    {"keeps what was loaded just now",
     LOAD_AB ";want c 0;wait 40;rep 2 1 m a@1 b@1;wait 400;rep 2 1 m a@1 b@1",
     LOAD_AB_TRACE "?; ?; a=gone; U a #2; "},
    {"a held adapter is told at once", LOAD_A ";want a 1",
     LOAD_A_TRACE "a=loaded; "},
    {"a newer version replaces in place",
     LOAD_A ";want a 2;acc;wait 40;rep 2 1 m a@2",
     LOAD_A_TRACE "a=coming; L a@2 #1; ?; a=loaded; "},
    {"a replacement needs a further place",
     LOAD_AB ";used a 9 0;wait 2000;rep 2 1 m a@1 b@1;want a 2;holds",
     LOAD_AB_TRACE "?; b=gone; U b #2; a=coming; L a@2 #3; "},
    {"a refused load is told", READY ";want a 0;refused;rep 0 1 m",
     READY_TRACE "a=coming; L a@0 #0; a=gone; ?; "},
    {"an order without an answer is looked up",
     READY ";want a 0;unknown;rep 1 1 m a@1",
     READY_TRACE "a=coming; L a@0 #0; ?; a=loaded; "},
    {"and given again when it was not carried out",
     READY ";want a 0;unknown;rep 0 1 m;acc;wait 40;rep 1 1 m +a@1",
     READY_TRACE "a=coming; L a@0 #0; ?; L a@0 #0; ?; "},
    {"a late order takes its place",
     READY ";want a 0;wait 500;unknown;rep 0 1 m;wait 300;want b 0;unknown;"
           "rep 1 1 m +a@1;acc;wait 40;rep 2 1 m a@1 b@1;want c 0",
     READY_TRACE "a=coming; L a@0 #0; ?; a=gone; b=coming; L b@0 #0; ?; "
                 "a=coming; L b@0 #1; ?; b=loaded; a=loaded; "},
    {"an unload without an answer is looked up",
     LOAD_AB ";wait 2000;rep 2 1 m a@1 b@1;want c 0;unknown;rep 3 1 m b@1",
     LOAD_AB_TRACE "?; a=gone; U a #2; ?; c=coming; L c@0 #3; "},
    {"an engine that restarted empty gets its base model again",
     LOAD_A ";wait 1000;rep 0 2;acc;wait 40;rep 1 2 busy;wait 40;rep 1 2 m",
     LOAD_A_TRACE "?; =nothing; m=gone; L m@0 #0; ?; ?; m=loaded; "},
    {"a base model is not ordered twice",
     LOAD_A ";wait 1000;rep 0 2;unknown;rep 1 2 busy;want a 0",
     LOAD_A_TRACE "?; =nothing; m=gone; L m@0 #0; ?; "},
    {"a model that does not fit is refused",
     READY ";want a 0;acc;wait 40;rep 1 1 m n a@1;want b 0;acc",
     READY_TRACE "a=coming; L a@0 #0; ?; n=loaded; a=loaded; b=coming; "
                 "L b@0 #1; "},
    {"wants expire",
     LOAD_AB ";used a 1 1;used b 1 1;want c 0;wait 1500;rep 2 1 m a@1 b@1",
     LOAD_AB_TRACE "?; c=gone; "},
    {"a refusal is not answered by the same order at once",
     READY ";want a 0;refused;rep 0 1 m;want a 0;wait 100",
     READY_TRACE "a=coming; L a@0 #0; a=gone; ?; ?; "},
    {"no answer stops orders", LOAD_A ";wait 1000;norep;want b 0;wait 100",
     LOAD_A_TRACE "?; ?; "},
    {"an engine that leaves is told",
     LOAD_A ";wait 1000;rep 1 1 m a@1 leaving;wait 500;rep 1 1 m a@1 leaving",
     LOAD_A_TRACE "?; =leaving; ?; "},
    {"a lost adapter is told", LOAD_A ";wait 1000;rep 1 1 m",
     LOAD_A_TRACE "?; a=gone; "},
    {"a version that changed is told", LOAD_A ";wait 1000;rep 2 1 m a@3",
     LOAD_A_TRACE "?; a=loaded; "},
};

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Script script = {.now = KC_SECOND};
    KcKeeperOptions options;

    script.trace = g_string_new("");
    script.timers = KcTimers_Create(script.now);
    KcKeeperOptions_Init(&options);
    options.ops = &ops;
    options.context = &script;
    options.timers = script.timers;
    options.counters = &script.counters;
    script.keeper = KcKeeper_Create(&options);
    KcKeeper_Start(script.keeper, script.now);
    Steps_Run(&script, steps, G_N_ELEMENTS(steps), cases[index].steps);
    g_assert_cmpstr(script.trace->str, ==, cases[index].trace);
    KcKeeper_Free(script.keeper);
    KcTimers_Free(script.timers);
    g_string_free(script.trace, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/keeper", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
