/*
 * Tests what becomes of requests around a planned stop of a gateway: each is
 * served, refused while another gateway can still serve it, or answered when
 * the stop ends.
 *
 * Routes: /s/ safe, /u/ unsafe, /t/ a stream, all with a request timeout of
 * 10 s.  There is one backend server, whose streams have one event.
 */
#include <glib.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"
#include "../gateway_stubs.h"

/* Times after the start of the stop. */
#define REFUSE_AT_MS 2800
#define END_AT_MS 7400
#define PROCESS_END_MS 7700
/* The stop begins this long after the test. */
#define STOP_AT (2 * KC_SECOND)
#define EVENT_DELAY (100 * KC_MS)
#define STEP_DURATION (10 * KC_MS)

#define REQUEST_COUNT_MAX 2

typedef struct Fixture Fixture;

/* A caller with its one request. */
typedef struct Caller {
    Fixture *fixture;
    KcForward *forward;        /* NULL: the request has ended */
    KcForwardAttempt *attempt; /* the newest */
    KcTime started_at;         /* of the attempt in progress; 0: none */
    bool has_begun;            /* the attempt's stream has */
} Caller;

struct Fixture {
    KcTimers *timers;
    KcCounters counters;
    KcGateway *gateway;
    KcTime now;
    Caller callers[REQUEST_COUNT_MAX];
    bool is_connected; /* to the server */
    GString *outcome;
};

#define NOT_CONNECTED (-1)

/* One request, or several at once; times from the start of the stop. */
static const struct {
    const char *name;
    const char *path;
    int sent_ms;
    int timeout_ms;    /* the caller's; 0: none */
    int work_ms;       /* NOT_CONNECTED: the request can't be sent */
    int closed_ms;     /* the server takes no requests until then; 0: open */
    int request_count; /* 0 is taken as 1 */
    const char *outcome;
} cases[] = {
    {"a request sent before", "/u/", -500, 2000, 1000, 0, 0, "200 at 500"},
    {"a request sent before that is not done in time", "/u/", -1500, 0, 9500,
     0, 0, "unknown leaving at 7400"},
    {"a safe one is not sent again then", "/s/", -1500, 0, 9500, 0, 0,
     "unknown leaving at 7400"},
    {"one that has not been sent yet", "/u/", -1500, 0, NOT_CONNECTED, 0, 0,
     "not run leaving at 7400"},
    {"one that waits for its server", "/u/", 500, 9000, 50, 8500, 0,
     "not run leaving at 7400"},
    {"one that waits for another at its server", "/u/", 500, 9000, 2000, 7000,
     2, "unknown leaving at 7400; not run leaving at 7400"},
    {"a request that callers send until they know", "/u/", 2700, 0, 50, 0, 0,
     "200 at 2750"},
    {"a late request whose time ends before the stop", "/u/", 3500, 3800, 3500,
     0, 0, "200 at 7000"},
    {"it ends at its deadline as ever", "/u/", 3500, 3800, 5000, 0, 0,
     "unknown deadline_exceeded at 7300"},
    {"a late request whose time may outlast the stop", "/u/", 3500, 4000, 50,
     0, 0, "not run leaving at 3500"},
    {"a late request with the time of its route", "/s/", 2900, 0, 4900, 0, 0,
     "not run leaving at 2900"},
    {"a short request shortly before the end", "/u/", 7000, 300, 100, 0, 0,
     "200 at 7100"},
    {"a request after the end", "/u/", 7500, 100, 50, 0, 0,
     "not run leaving at 7500"},
    {"a stream sent before that is not done in time", "/t/", 100, 0, 9500, 0,
     0, "begun, broken at 7400"},
    {"a late stream", "/t/", 2800, 1000, 500, 0, 0, "not run leaving at 2800"},
};

/* ---- calls made by the gateway ------------------------------------------ */

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    Caller *caller = attempt->forward->caller;

    (void)params;
    if (caller->fixture->is_connected) {
        KcForwardAttempt_OnSent(attempt);
    }
    caller->attempt = attempt;
    caller->started_at = ((Fixture *)context)->now;
    return caller;
}

static void
cancel_attempt(void *context, void *handle)
{
    (void)context;
    ((Caller *)handle)->started_at = 0;
}

static const KcGatewayOps gateway_ops = {
    GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .record_notice = GatewayStubs_RecordNotice};

static int
time_after_stop(const Fixture *fixture)
{
    return (int)((fixture->now - STOP_AT) / KC_MS);
}

static void
on_answer_begin(void *caller, const void *head, bool stream)
{
    (void)head;
    if (stream) {
        g_string_append(((Caller *)caller)->fixture->outcome, "begun, ");
    }
}

static void
on_data(void *caller, KcBytes bytes)
{
    (void)caller;
    (void)bytes;
}

static void
end_caller(Caller *caller, const char *what)
{
    Fixture *fixture = caller->fixture;
    bool is_last = caller == &fixture->callers[REQUEST_COUNT_MAX - 1];

    caller->forward = NULL;
    g_string_append_printf(fixture->outcome, "%s%s at %d", is_last ? "; " : "",
                           what, time_after_stop(fixture));
}

static void
on_end(void *caller)
{
    end_caller(caller, "200");
}

static void
on_broken(void *caller, const KcError *error)
{
    (void)error;
    end_caller(caller, "broken");
}

static void
on_refusal(void *caller, const KcForwardRefusal *refusal)
{
    char *what =
        g_strdup_printf("%s %s", refusal->may_have_run ? "unknown" : "not run",
                        KcError_Name(refusal->error.code));

    end_caller(caller, what);
    g_free(what);
}

static const KcForwardOps caller_ops = {on_answer_begin, on_data, on_end,
                                        on_broken, on_refusal};

/* ---- the case ------------------------------------------------------------ */

static void
add_rule(KcRouting *routing, const char *prefix, KcRequestKind kind)
{
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", prefix);

    KcText_Copy(rule->name, prefix, KC_NAME_MAX);
    rule->kind = kind;
    rule->request_timeout = 10 * KC_SECOND;
    rule->latency_objective = 1 * KC_SECOND;
    rule->attempts_max = 2;
    KcRouting_AddTarget(rule, "plain", 1);
}

static void
set_up(Fixture *fixture, int closed_ms)
{
    KcRouting *routing = KcRouting_Create(1);
    KcServerNotice notice = {.retry_after = closed_ms * KC_MS};
    KcGatewayOptions options;
    KcServerInfo info;

    fixture->now = STEP_DURATION;
    fixture->outcome = g_string_new("");
    for (int i = 0; i < REQUEST_COUNT_MAX; i++) {
        fixture->callers[i].fixture = fixture;
    }
    fixture->timers = KcTimers_Create(fixture->now);
    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = fixture;
    options.timers = fixture->timers;
    options.counters = &fixture->counters;
    options.datacentre = "here";
    options.region_of = GatewayStubs_FindRegion;
    fixture->gateway = KcGateway_Create(&options);
    KcRouting_AddService(routing, "plain");
    add_rule(routing, "/s/", KC_REQUEST_KIND_SAFE);
    add_rule(routing, "/u/", KC_REQUEST_KIND_UNSAFE);
    add_rule(routing, "/t/", KC_REQUEST_KIND_STREAM);
    KcGateway_SetRouting(fixture->gateway, routing);
    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "a", KC_NAME_MAX);
    KcText_Copy(info.service, "plain", KC_NAME_MAX);
    KcText_Copy(info.address, "127.0.0.1:1", KC_ADDRESS_MAX);
    KcText_Copy(info.datacentre, "here", KC_NAME_MAX);
    info.concurrency_max = 4;
    KcGateway_OnServerRecord(fixture->gateway, &info, (KcRevision){0, 1},
                             fixture->now);
    KcServerInfo_Clear(&info);
    if (closed_ms > 0) {
        notice.retry_after += STOP_AT;
        KcGateway_OnServerNotice(fixture->gateway,
                                 KcGateway_FindServer(fixture->gateway, "a"),
                                 &notice, "0", fixture->now);
    }
}

/* Reports what the server has sent by now. */
static void
run_server(Caller *caller, bool is_stream, KcTime work_time)
{
    KcReply reply = {.status = 200, .head = caller};
    KcTime now = caller->fixture->now;
    KcTime elapsed = now - caller->started_at;

    if (caller->forward == NULL || caller->started_at == 0) {
        return;
    }
    if (is_stream && !caller->has_begun && elapsed >= EVENT_DELAY) {
        caller->has_begun = true;
        KcForwardAttempt_OnStreamBegin(caller->attempt, &reply, now);
        KcForwardAttempt_OnStreamEvent(caller->attempt, true, 1,
                                       (KcBytes){"1", 1}, now);
    }
    if (elapsed < work_time) {
        return;
    }
    if (is_stream) {
        KcForwardAttempt_OnStreamEnd(caller->attempt, now);
    }
    else {
        KcForwardAttempt_OnReply(caller->attempt, &reply, now);
    }
}

static void
submit(Fixture *fixture, const KcForwardCall *call, int request_count)
{
    for (int i = 0; i < request_count; i++) {
        Caller *caller = &fixture->callers[i];

        KcGateway_Submit(fixture->gateway, call, &caller_ops, caller,
                         &caller->forward, fixture->now);
    }
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.is_connected = cases[index].work_ms != NOT_CONNECTED};
    KcForwardCall call = {.id = "1",
                          .host = "h",
                          .path = cases[index].path,
                          .model = "",
                          .adapter = "",
                          .timeout = cases[index].timeout_ms * KC_MS};
    int request_count =
        cases[index].request_count > 0 ? cases[index].request_count : 1;
    bool is_stream = strcmp(cases[index].path, "/t/") == 0;

    set_up(&fixture, cases[index].closed_ms);
    while (time_after_stop(&fixture) < PROCESS_END_MS) {
        fixture.now += STEP_DURATION;
        if (time_after_stop(&fixture) == 0) {
            KcGateway_Drain(fixture.gateway, STOP_AT + REFUSE_AT_MS * KC_MS,
                            STOP_AT + END_AT_MS * KC_MS);
        }
        KcTimers_Run(fixture.timers, fixture.now);
        if (time_after_stop(&fixture) == cases[index].sent_ms) {
            submit(&fixture, &call, request_count);
        }
        for (int i = 0; i < request_count && fixture.is_connected; i++) {
            run_server(&fixture.callers[i], is_stream,
                       cases[index].work_ms * KC_MS);
        }
    }
    g_assert_cmpstr(fixture.outcome->str, ==, cases[index].outcome);
    g_assert_cmpuint(KcGateway_CountInFlight(fixture.gateway), ==, 0);
    KcGateway_Free(fixture.gateway);
    KcTimers_Free(fixture.timers);
    g_string_free(fixture.outcome, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/gateway stop", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    return g_test_run();
}
