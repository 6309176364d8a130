/*
 * Tests of the keeper against a scripted engine: the orders that it gives and
 * the reports that it sends to gateways, for sequences of engine answers,
 * losses and restarts.
 *
 * Steps, separated by semicolons:
 *   capacity N          the engine takes N adapters and 2 models of 100 MB
 *   fence N             the keeper gets its fencing number
 *   report SEQUENCE STARTED_AT REPLICA... [busy] [leaving]
 *                       the engine's report: m is the base model, a@1 adapter
 *                       a of version 1, +a@1 one being loaded; busy: with a
 *                       base model
 *   noreport            the request for a report gets no answer
 *   gone                nothing accepts connections at the engine's address
 *   accepted, done, refused, unknown   the result of the order
 *   loadrequest ADAPTER VERSION, usage ADAPTER USES IN_FLIGHT [GATEWAY],
 *   gatewaylost         what the one gateway sends, or this one, and the end
 *                       of its link
 *   lost GATEWAY STARTED_AT PART [AGE]  a gateway, from 0 on, asks whether
 * this instance has ended with this part, and an attempt that began AGE ms
 * before, 20 if not given disconnect GATEWAY  its link ends; connect GATEWAY
 *   news GATEWAY KIND PART EPOCH [INSTANCE]  a gateway's news of a part
 *   wait MS
 *
 * Trace: "?" a request for a report, "L a@0 #3" and "U a #3" orders to load
 * and unload with their sequence number, "a=loaded" and so on reports to
 * gateways; "ended 1 7 to 0" the answer that instance 1 has ended with part 7,
 * "end 7 to 0", "end 7 but 0" news of a part to a gateway or to all others.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"

#define GATEWAY_COUNT 3

typedef struct Fixture {
    KcTimers *timers;
    KcCounters counters;
    KcKeeper *keeper;
    GString *trace;
    KcTime now;
    bool report_outstanding; /* a requested report has not arrived */
    bool order_outstanding;  /* an order has no result yet */
    KcLink links[GATEWAY_COUNT];
} Fixture;

static void
send_order(void *context, const KcOrder *order)
{
    Fixture *fixture = context;

    g_assert_false(fixture->order_outstanding || fixture->report_outstanding);
    fixture->order_outstanding = true;
    g_string_append_printf(fixture->trace, "%s %s", order->unload ? "U" : "L",
                           order->adapter[0] != '\0' ? order->adapter
                                                     : order->model);
    if (!order->unload) {
        g_string_append_printf(fixture->trace, "@%u", order->version);
    }
    g_string_append_printf(fixture->trace, " #%" PRIu64 "; ", order->sequence);
}

static void
request_report(void *context)
{
    Fixture *fixture = context;

    g_assert_false(fixture->order_outstanding || fixture->report_outstanding);
    fixture->report_outstanding = true;
    g_string_append(fixture->trace, "?; ");
}

static void
notify_gateways(void *context, KcLink *link, const char *model,
                const char *adapter, uint32_t version, KcHeldState state)
{
    static const char *const state_names[KC_HELD_STATE_COUNT] = {
        "not_loaded", "loading", "loaded", "restarted", "leaving"};
    Fixture *fixture = context;

    (void)link;
    (void)version;
    g_string_append_printf(fixture->trace, "%s=%s; ",
                           adapter[0] != '\0' ? adapter : model,
                           state_names[state]);
}

static void
log_decision(void *context, const KcKeeperLogEntry *entry)
{
    (void)context;
    g_assert_cmpint(entry->slots_in_use, <=, entry->slot_count + 1);
}

static void
log_engine(void *context, KcEngineNews news, int64_t started_at_ms)
{
    (void)context;
    (void)started_at_ms;
    g_assert_cmpint(news, <=, KC_ENGINE_ENDED);
}

static void
confirm_end(void *context, KcLink *link, const KcServerEnd *end)
{
    Fixture *fixture = context;

    g_assert_cmpuint(end->part_count, ==, 1);
    g_string_append_printf(fixture->trace, "ended %d %d to %d; ",
                           (int)end->started_at_ms, (int)end->parts[0],
                           (int)(link - fixture->links));
}

static void
send_suspect(void *context, KcLink *link, const KcLink *except,
             const KcSuspectNews *news)
{
    static const char *const kind_names[KC_SUSPECT_NEWS_KIND_COUNT] = {
        "end", "cleared", "blocked", "ask", "try"};
    Fixture *fixture = context;

    g_string_append_printf(fixture->trace, "%s %d", kind_names[news->kind],
                           (int)news->part);
    if (link != NULL) {
        g_string_append_printf(fixture->trace, " to %d",
                               (int)(link - fixture->links));
    }
    if (except != NULL) {
        g_string_append_printf(fixture->trace, " but %d",
                               (int)(except - fixture->links));
    }
    g_string_append(fixture->trace, "; ");
}

static void
log_suspect(void *context, KcSuspectStep step, const KcSuspect *suspect,
            bool is_own)
{
    (void)context;
    (void)is_own;
    g_assert_nonnull(KcSuspectStep_Name(step));
    g_assert_cmpuint(suspect->part, !=, 0);
}

static const KcKeeperOps keeper_ops = {.send_order = send_order,
                                       .request_report = request_report,
                                       .notify_gateways = notify_gateways,
                                       .log_decision = log_decision,
                                       .log_engine = log_engine,
                                       .confirm_end = confirm_end,
                                       .send_suspect = send_suspect,
                                       .log_suspect = log_suspect};

/* ---- steps -------------------------------------------------------------- */

static void
step_capacity(Fixture *fixture, char **words)
{
    KcEngineCapacity capacity;

    KcEngineCapacity_Init(&capacity);
    capacity.is_configured = true;
    capacity.adapter_slots = (uint32_t)atoi(words[1]);
    capacity.memory_megabytes = 250;
    KcEngineCapacity_AddModel(&capacity, "m", 100, 1);
    KcEngineCapacity_AddModel(&capacity, "n", 100, 1);
    KcKeeper_SetCapacity(fixture->keeper, &capacity, fixture->now);
    KcEngineCapacity_Clear(&capacity);
}

static void
step_fence(Fixture *fixture, char **words)
{
    KcKeeper_SetFence(fixture->keeper, (uint64_t)atoi(words[1]), fixture->now);
}

static void
step_report(Fixture *fixture, char **words)
{
    KcEngineReport report = {.sequence = (uint64_t)atoi(words[1])};

    if (!fixture->report_outstanding) {
        g_error("no report was requested: %s", fixture->trace->str);
    }
    fixture->report_outstanding = false;
    KcServerInfo_Init(&report.info);
    report.info.started_at_ms = atoi(words[2]);
    for (char **word = words + 3; *word != NULL; word++) {
        bool loading = (*word)[0] == '+';
        char **parts = g_strsplit(*word + (loading ? 1 : 0), "@", 2);

        if (strcmp(*word, "leaving") == 0) {
            report.leaving = true;
        }
        else if (strcmp(*word, "busy") == 0) {
            report.base_model_busy = true;
        }
        else if (parts[1] == NULL) {
            KcServerInfo_AddReplica(&report.info, parts[0], "", 1, loading);
        }
        else {
            KcServerInfo_AddReplica(&report.info, "m", parts[0],
                                    (uint32_t)atoi(parts[1]), loading);
        }
        g_strfreev(parts);
    }
    KcKeeper_OnReport(fixture->keeper, &report, fixture->now);
    KcServerInfo_Clear(&report.info);
}

static void
step_no_report(Fixture *fixture, char **words)
{
    (void)words;
    g_assert_true(fixture->report_outstanding);
    fixture->report_outstanding = false;
    KcKeeper_OnReport(fixture->keeper, NULL, fixture->now);
}

static void
step_gone(Fixture *fixture, char **words)
{
    (void)words;
    g_assert_true(fixture->report_outstanding);
    fixture->report_outstanding = false;
    KcKeeper_OnEngineGone(fixture->keeper, fixture->now);
}

static KcLink *
find_link(Fixture *fixture, char **words)
{
    g_assert_cmpint(atoi(words[1]), <, GATEWAY_COUNT);
    return &fixture->links[atoi(words[1])];
}

static void
step_lost(Fixture *fixture, char **words)
{
    uint64_t part = (uint64_t)atoi(words[3]);
    KcServerEnd end = {.started_at_ms = atoi(words[2]),
                       .age = words[4] != NULL ? atoi(words[4]) * KC_MS
                                               : 20 * KC_MS,
                       .parts = &part,
                       .part_count = 1};

    KcKeeper_OnLostAttempt(fixture->keeper, find_link(fixture, words), &end,
                           fixture->now);
}

static void
step_connect(Fixture *fixture, char **words)
{
    KcKeeper_OnGatewayConnected(fixture->keeper, find_link(fixture, words),
                                fixture->now);
}

static void
step_disconnect(Fixture *fixture, char **words)
{
    KcKeeper_OnGatewayLost(fixture->keeper, find_link(fixture, words),
                           fixture->now);
}

static void
step_news(Fixture *fixture, char **words)
{
    static const char *const kind_names[KC_SUSPECT_NEWS_KIND_COUNT] = {
        "end", "cleared", "blocked", "ask", "try"};
    KcSuspectNews news = {.kind = KC_SUSPECT_NEWS_END,
                          .part = (uint64_t)atoi(words[3]),
                          .epoch = (uint32_t)atoi(words[4])};

    if (words[5] != NULL) {
        news.instance = (uint64_t)atoi(words[5]);
    }
    while (strcmp(kind_names[news.kind], words[2]) != 0) {
        news.kind++;
    }
    KcKeeper_OnSuspectNews(fixture->keeper, find_link(fixture, words), &news,
                           fixture->now);
}

static void
finish_order(Fixture *fixture, KcOrderResult result)
{
    if (!fixture->order_outstanding) {
        g_error("no order was given: %s", fixture->trace->str);
    }
    fixture->order_outstanding = false;
    KcKeeper_OnOrderResult(fixture->keeper, result, fixture->now);
}

static void
step_accepted(Fixture *fixture, char **words)
{
    (void)words;
    finish_order(fixture, KC_ORDER_ACCEPTED);
}

static void
step_done(Fixture *fixture, char **words)
{
    (void)words;
    finish_order(fixture, KC_ORDER_DONE);
}

static void
step_refused(Fixture *fixture, char **words)
{
    (void)words;
    finish_order(fixture, KC_ORDER_REFUSED);
}

static void
step_unknown(Fixture *fixture, char **words)
{
    (void)words;
    finish_order(fixture, KC_ORDER_UNKNOWN);
}

static void
step_load_request(Fixture *fixture, char **words)
{
    KcKeeper_OnLoadRequest(fixture->keeper, "m", words[1],
                           (uint32_t)atoi(words[2]), 0, fixture->now);
}

static void
step_usage(Fixture *fixture, char **words)
{
    KcLink *link =
        words[4] != NULL ? &fixture->links[atoi(words[4])] : (KcLink *)fixture;

    KcKeeper_OnUsage(fixture->keeper, link, "m", words[1],
                     (uint32_t)strtoul(words[2], NULL, 10),
                     (uint32_t)strtoul(words[3], NULL, 10), fixture->now);
}

static void
step_gateway_lost(Fixture *fixture, char **words)
{
    (void)words;
    KcKeeper_OnGatewayLost(fixture->keeper, (KcLink *)fixture, fixture->now);
}

static void
step_wait(Fixture *fixture, char **words)
{
    fixture->now += atoi(words[1]) * KC_MS;
    KcTimers_Run(fixture->timers, fixture->now);
}

static const StepHandler step_handlers[] = {
    {"capacity", step_capacity},
    {"fence", step_fence},
    {"report", step_report},
    {"noreport", step_no_report},
    {"accepted", step_accepted},
    {"done", step_done},
    {"refused", step_refused},
    {"unknown", step_unknown},
    {"loadrequest", step_load_request},
    {"usage", step_usage},
    {"gone", step_gone},
    {"lost", step_lost},
    {"connect", step_connect},
    {"disconnect", step_disconnect},
    {"news", step_news},
    {"gatewaylost", step_gateway_lost},
    {"wait", step_wait},
};

/* ---- cases -------------------------------------------------------------- */

/* A keeper that may give orders; its engine has a base model and two slots. */
#define READY "report 0 1 m;capacity 2;report 0 1 m;fence 5"
#define READY_TRACE "?; =restarted; m=loaded; ?; "
#define LOAD_A READY ";loadrequest a 0;accepted;wait 40;report 1 1 m a@1"
#define LOAD_A_TRACE READY_TRACE "a=loading; L a@0 #0; ?; a=loaded; "
#define LOAD_AB LOAD_A ";loadrequest b 0;accepted;wait 40;report 2 1 m a@1 b@1"
#define LOAD_AB_TRACE LOAD_A_TRACE "b=loading; L b@0 #1; ?; b=loaded; "

static const struct {
    const char *name;
    const char *steps;
    const char *trace;
} cases[] = {
    {"load", LOAD_A, LOAD_A_TRACE},
    {"no order without a fencing number",
     "report 0 1 m;capacity 2;report 0 1 m;loadrequest a 0", READY_TRACE},
    {"no order before the engine's first report",
     "capacity 2;fence 5;loadrequest a 0", "?; "},
    {"no order before the capacity is known",
     "report 0 1 m;fence 5;loadrequest a 0", "?; =restarted; m=loaded; "},
    {"adapters loaded before the capacity is known fill slots",
     "report 0 1 m a@1 b@1 c@1;fence 5;capacity 2;"
     "report 0 1 m a@1 b@1 c@1;loadrequest d 0",
     "?; =restarted; m=loaded; a=loaded; b=loaded; c=loaded; ?; "
     "a=not_loaded; U a #0; d=loading; "},
    {"the least used adapter is evicted",
     LOAD_AB
     ";usage b 5 0;wait 2000;report 2 1 m a@1 b@1;loadrequest c 0;done",
     LOAD_AB_TRACE "?; a=not_loaded; U a #2; c=loading; L c@0 #3; "},
    {"an adapter in use is not evicted",
     LOAD_AB ";usage a 1 1;usage b 1 1;wait 2000;report 2 1 m a@1 b@1;"
             "loadrequest c 0;usage a 0 0;wait 40;report 2 1 m a@1 b@1",
     LOAD_AB_TRACE "?; c=loading; ?; a=not_loaded; U a #2; "},
    {"an adapter in use by a lost gateway may be evicted",
     LOAD_AB ";usage a 9 1;usage b 1 1;gatewaylost;wait 2000;"
             "report 2 1 m a@1 b@1;loadrequest c 0",
     LOAD_AB_TRACE "?; b=not_loaded; U b #2; c=loading; "},
    {"as many uses as a number holds are counted at once",
     LOAD_AB ";usage b 4294967295 0;wait 2000;report 2 1 m a@1 b@1;"
             "loadrequest c 0;done",
     LOAD_AB_TRACE "?; a=not_loaded; U a #2; c=loading; L c@0 #3; "},
    {"an adapter in use by gateways with 2^31 requests each is not evicted",
     LOAD_AB ";usage a 1 2147483648 0;usage a 1 2147483648 1;usage b 1 1;"
             "wait 2000;report 2 1 m a@1 b@1;loadrequest c 0",
     LOAD_AB_TRACE "?; c=loading; "},
    {"an adapter in use by gateways with 2^32 requests together is not "
     "evicted",
     LOAD_AB ";usage a 1 4294967295 0;usage a 1 1 1;usage b 1 1;"
             "wait 2000;report 2 1 m a@1 b@1;loadrequest c 0",
     LOAD_AB_TRACE "?; c=loading; "},
    {"an adapter just loaded is not evicted",
     LOAD_AB ";loadrequest c 0;wait 40;report 2 1 m a@1 b@1;wait 400;"
             "report 2 1 m a@1 b@1",
     LOAD_AB_TRACE "c=loading; ?; ?; a=not_loaded; U a #2; "},
    {"a load request for a loaded adapter is answered at once",
     LOAD_A ";loadrequest a 1", LOAD_A_TRACE "a=loaded; "},
    {"an adapter that is requested again is looked up in a report",
     LOAD_A ";wait 100;loadrequest a 1;report 1 1 m a@1",
     LOAD_A_TRACE "?; a=loaded; "},
    {"an adapter of an engine that restarted is not said to be loaded",
     LOAD_A ";wait 100;loadrequest a 0;wait 4;loadrequest a 0;report 0 2 m;"
            "accepted;wait 40;report 1 2 m a@1",
     LOAD_A_TRACE "?; =restarted; a=loading; L a@0 #0; ?; a=loaded; "},
    {"an adapter that the engine no longer lists is not said to be loaded",
     LOAD_A ";wait 100;loadrequest a 0;report 1 1 m;accepted",
     LOAD_A_TRACE "?; a=not_loaded; a=loading; L a@0 #1; "},
    {"reports for adapters that are requested again are few",
     LOAD_A ";wait 100;loadrequest a 0;report 1 1 m a@1;wait 4;"
            "loadrequest a 0;wait 4;loadrequest a 0;wait 40;report 1 1 m a@1",
     LOAD_A_TRACE "?; a=loaded; ?; a=loaded; "},
    {"load requests in quick succession do not put off a report",
     LOAD_AB ";usage a 1 1;usage b 1 1;loadrequest c 0;wait 30;"
             "loadrequest d 0;wait 15;report 2 1 m a@1 b@1",
     LOAD_AB_TRACE "c=loading; d=loading; ?; "},
    {"the next report is timed from the last one",
     LOAD_A ";wait 400;lost 0 1 7;report 1 1 m a@1;wait 450;wait 55",
     LOAD_A_TRACE "?; ?; "},
    {"a base model that is requested again is looked up in a report",
     READY ";wait 100;loadrequest  0;report 0 1 m",
     READY_TRACE "?; m=loaded; "},
    {"a newer version replaces the older one without an unload",
     LOAD_A ";loadrequest a 2;accepted;wait 40;report 2 1 m a@2",
     LOAD_A_TRACE "a=loading; L a@2 #1; ?; a=loaded; "},
    {"a newer version needs a free slot",
     LOAD_AB
     ";usage a 9 0;wait 2000;report 2 1 m a@1 b@1;loadrequest a 2;done",
     LOAD_AB_TRACE "?; b=not_loaded; U b #2; a=loading; L a@2 #3; "},
    {"a refused load is reported to gateways",
     READY ";loadrequest a 0;refused;report 0 1 m",
     READY_TRACE "a=loading; L a@0 #0; a=not_loaded; ?; "},
    {"an order without an answer is looked up in a report",
     READY ";loadrequest a 0;unknown;report 1 1 m a@1",
     READY_TRACE "a=loading; L a@0 #0; ?; a=loaded; "},
    {"an order without an answer is repeated if not carried out",
     READY ";loadrequest a 0;unknown;report 0 1 m;accepted;wait 40;"
           "report 1 1 m +a@1",
     READY_TRACE "a=loading; L a@0 #0; ?; L a@0 #0; ?; "},
    {"an order carried out late fills its slot",
     READY ";loadrequest a 0;wait 500;unknown;report 0 1 m;wait 300;"
           "loadrequest b 0;unknown;report 1 1 m +a@1;accepted;wait 40;"
           "report 2 1 m a@1 b@1;loadrequest c 0",
     READY_TRACE
     "a=loading; L a@0 #0; ?; a=not_loaded; b=loading; L b@0 #0; ?; "
     "a=loading; L b@0 #1; ?; b=loaded; a=loaded; c=loading; "},
    {"an unload without an answer is looked up in a report",
     LOAD_AB ";wait 2000;report 2 1 m a@1 b@1;loadrequest c 0;unknown;"
             "report 3 1 m b@1",
     LOAD_AB_TRACE "?; a=not_loaded; U a #2; c=loading; ?; L c@0 #3; "},
    {"an engine that restarted empty gets its base model again",
     LOAD_A ";wait 1000;report 0 2;accepted;wait 40;report 1 2 busy;wait 40;"
            "report 1 2 m",
     LOAD_A_TRACE "?; =restarted; m=not_loaded; L m@0 #0; ?; ?; m=loaded; "},
    {"a base model is not ordered twice",
     LOAD_A ";wait 1000;report 0 2;unknown;report 1 2 busy;loadrequest a 0",
     LOAD_A_TRACE "?; =restarted; m=not_loaded; L m@0 #0; ?; a=loading; "},
    {"a model that does not fit is refused",
     READY ";loadrequest a 0;accepted;wait 40;report 1 1 m n a@1;"
           "loadrequest b 0;accepted",
     READY_TRACE "a=loading; L a@0 #0; ?; n=loaded; a=loaded; b=loading; "
                 "L b@0 #1; "},
    {"load requests expire",
     LOAD_AB
     ";usage a 1 1;usage b 1 1;loadrequest c 0;wait 1500;report 2 1 m a@1 b@1",
     LOAD_AB_TRACE "c=loading; ?; c=not_loaded; "},
    {"a refused order is not repeated at once",
     READY ";loadrequest a 0;refused;report 0 1 m;loadrequest a 0;wait 100",
     READY_TRACE "a=loading; L a@0 #0; a=not_loaded; ?; a=loading; ?; "},
    {"no order is given while a report is unanswered",
     LOAD_A ";wait 1000;noreport;loadrequest b 0;wait 100",
     LOAD_A_TRACE "?; ?; "},
    {"an engine that leaves is reported to gateways",
     LOAD_A
     ";wait 1000;report 1 1 m a@1 leaving;wait 500;report 1 1 m a@1 leaving",
     LOAD_A_TRACE "?; =leaving; ?; "},
    {"a lost adapter is reported to gateways",
     LOAD_A ";wait 1000;report 1 1 m", LOAD_A_TRACE "?; a=not_loaded; "},
    {"a changed version is reported to gateways",
     LOAD_A ";wait 1000;report 2 1 m a@3", LOAD_A_TRACE "?; a=loaded; "},
    /* ends of the engine */
    {"an engine that is gone has ended", READY ";lost 0 1 7;lost 1 1 8;gone",
     READY_TRACE "?; ended 1 7 to 0; ended 1 8 to 1; "},
    {"an attempt that began when the engine was gone is no evidence",
     READY ";lost 0 1 7;gone;wait 100;lost 0 1 8 99;lost 1 1 9 101;gone",
     READY_TRACE "?; ended 1 7 to 0; ?; ended 1 9 to 1; "},
    {"an engine that was started again has ended",
     READY ";lost 0 1 7;noreport;wait 100;noreport;wait 100;report 0 2 m",
     READY_TRACE "?; ?; ?; =restarted; ended 1 7 to 0; "},
    {"an engine that reports has lost a connection only",
     READY ";lost 0 1 7;report 0 1 m;wait 500;gone", READY_TRACE "?; ?; "},
    {"an engine that is silent may be frozen",
     READY ";lost 0 1 7;noreport;wait 100;noreport;wait 100;report 0 1 m;"
           "wait 500;gone",
     READY_TRACE "?; ?; ?; ?; "},
    {"an engine that was leaving did not end on its own",
     READY ";wait 500;report 0 1 m leaving;lost 0 1 7;gone;wait 100;"
           "report 0 2 m;lost 0 1 8;report 0 2 m",
     READY_TRACE "?; =leaving; ?; ?; =restarted; ?; "},
    {"the next instance may end on its own",
     READY ";wait 500;report 0 1 m leaving;wait 500;report 0 2 m;lost 0 2 7;"
           "gone",
     READY_TRACE "?; =leaving; ?; =restarted; ?; ended 2 7 to 0; "},
    {"the end of an earlier instance is answered by the next report",
     READY ";wait 500;report 0 2 m;lost 0 1 7;report 0 2 m",
     READY_TRACE "?; =restarted; ?; ended 1 7 to 0; "},
    {"the instance is the keeper's, as gateways learn late of a restart",
     READY ";wait 500;report 0 2 m;lost 0 1 7;gone",
     READY_TRACE "?; =restarted; ?; ended 2 7 to 0; "},
    {"an instance that never reported may end", READY ";lost 0 3 7;gone",
     READY_TRACE "?; ended 3 7 to 0; "},
    {"a question that stays open is dropped",
     READY ";lost 0 1 7;noreport;wait 100;noreport;wait 9900;noreport;"
           "wait 100;gone",
     READY_TRACE "?; ?; ?; ?; "},
    {"a gateway that is gone gets no answer",
     READY ";lost 0 1 7;disconnect 0;gone", READY_TRACE "?; "},
    /* news of parts */
    {"news of a gateway goes to the others once",
     READY ";news 0 end 7 0 1;news 1 end 7 0 1", READY_TRACE "end 7 but 0; "},
    {"a gateway that connects is told of blocked parts",
     READY ";news 0 end 7 0 1;news 1 blocked 7 0;connect 2",
     READY_TRACE "end 7 but 0; blocked 7 but 1; =restarted; m=loaded; "
                 "blocked 7 to 2; "},
    {"a gateway that connects is told of the evidence",
     READY ";news 0 end 7 0 1;news 1 end 7 0 2;connect 2",
     READY_TRACE "end 7 but 0; end 7 but 1; =restarted; m=loaded; end 7 to 2; "
                 "end 7 to 2; "},
    {"evidence of an earlier epoch is answered with the later one",
     READY ";news 0 end 7 0 1;news 1 cleared 7 1;news 0 end 7 0 2",
     READY_TRACE "end 7 but 0; cleared 7 but 1; cleared 7 to 0; "},
    {"one gateway at a time may try a part",
     READY ";news 0 blocked 7 0;news 1 ask 7 0;wait 60000;report 0 1 m;"
           "news 1 ask 7 0;news 0 ask 7 0",
     READY_TRACE "blocked 7 but 0; ?; blocked 7; try 7 to 1; "},
    {"a part of which nothing is known is not tried",
     READY ";wait 60000;report 0 1 m;news 1 ask 7 0", READY_TRACE "?; "},
    {"an earlier block is not tried",
     READY ";news 0 blocked 7 1;wait 60000;report 0 1 m;news 1 ask 7 0",
     READY_TRACE "blocked 7 but 0; ?; "},
};

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.now = KC_SECOND};
    KcKeeperOptions options;

    fixture.trace = g_string_new("");
    fixture.timers = KcTimers_Create(fixture.now);
    KcKeeperOptions_Init(&options);
    options.ops = &keeper_ops;
    options.context = &fixture;
    options.timers = fixture.timers;
    options.counters = &fixture.counters;
    fixture.keeper = KcKeeper_Create(&options);
    KcKeeper_Start(fixture.keeper, fixture.now);
    Steps_Run(&fixture, step_handlers, G_N_ELEMENTS(step_handlers),
              cases[index].steps);
    g_assert_cmpstr(fixture.trace->str, ==, cases[index].trace);
    KcKeeper_Free(fixture.keeper);
    KcTimers_Free(fixture.timers);
    g_string_free(fixture.trace, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/keeper", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
