/*
 * Tests of the readers of answers against servers that send without end: each
 * reader ends its call by itself, with the error of the limit that was
 * exceeded.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../programs/kcc/blocking_http.h"
#include "../../programs/process/platform.h"
#include "../../programs/request/http_attempt.h"
#include "../standins/raw_server.h"
#include "../gateway_stubs.h"
#include "../loopback.h"

/* Progress of calls, and the deadline of requests. */
#define CALL_TIMEOUT (400 * KC_MS)
/* By then each call must have ended by itself. */
#define GUARD_TIMEOUT (30 * KC_SECOND)
#define EVENTS_MAX 10
/* Limits of the answer of an attempt. */
#define BODY_BYTES_MAX 100000

/* ---- the server, in a process of its own --------------------------------- */

static RawServer server;
static size_t pattern_number;
/* Differs between test processes that run at the same time. */
static char server_address[KC_ADDRESS_MAX];

static void
on_request(RawConnection *connection)
{
    RawConnection_SendEndless(connection, Endless_Pattern(pattern_number));
}

static void
add_state(json_t *state)
{
    (void)state;
}

static pid_t
start_server(size_t number)
{
    static RawKnob no_knobs[] = {{NULL, 0}};
    static const RawServerOptions options = {
        .knobs = no_knobs, .on_request = on_request, .add_state = add_state};
    int ready[2];
    char byte = 0;
    pid_t pid;

    g_assert_cmpint(pipe(ready), ==, 0);
    pid = fork();
    g_assert_cmpint(pid, >=, 0);
    if (pid == 0) {
        /* A test that fails ends without stop_server(). */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        pattern_number = number;
        RawServer_Init(&server, &options, server_address, 1);
        if (write(ready[1], &byte, 1) != 1) {
            _exit(1);
        }
        RawServer_Run(&server);
        _exit(0);
    }
    g_assert_cmpint(read(ready[0], &byte, 1), ==, 1);
    close(ready[0]);
    close(ready[1]);
    return pid;
}

static void
stop_server(pid_t pid)
{
    kill(pid, SIGKILL);
    g_assert_cmpint(waitpid(pid, NULL, 0), ==, pid);
}

/* Of the gateway's answers. */
static KcIntakePool pool = {.kept_bytes_max = BODY_BYTES_MAX};

/* ---- readers ------------------------------------------------------------- */

/* A call in progress. */
typedef struct Reading {
    KcLoop *loop;
    KcCounters counters;
    int code;            /* error of the call; 1: not ended */
    int parts;           /* of the answer that the gateway passed on */
    bool has_pool_bytes; /* the answer counted as kept when the call ended */
} Reading;

static void
end_reading(Reading *reading, int code)
{
    g_assert_cmpint(reading->code, ==, 1);
    reading->code = code;
    reading->has_pool_bytes = pool.kept_bytes > 0;
    KcLoop_Stop(reading->loop);
}

static void
on_guard(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(((Reading *)timer->owner)->loop);
}

static void
run_loop(Reading *reading)
{
    KcTimer guard;

    KcTimer_Init(&guard, on_guard, reading);
    KcTimers_Set(reading->loop->timers, &guard, KcLoop_Now() + GUARD_TIMEOUT);
    KcLoop_Run(reading->loop);
    KcTimers_Clear(reading->loop->timers, &guard);
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
on_report(void *context, const KcEngineReport *report)
{
    g_assert_null(report);
    end_reading(context, KC_ERR_PEER_LOST);
}

/* A keeper that requests its engine's report. */
static void
read_report(Reading *reading)
{
    KcEngineOptions options = {.loop = reading->loop,
                               .address = server_address,
                               .keeper_name = "k",
                               .call_timeout = CALL_TIMEOUT,
                               .counters = &reading->counters,
                               .on_order_result = on_order_result,
                               .on_report = on_report,
                               .on_gone = on_gone,
                               .context = reading};
    KcEngineClient *engine = KcPlatform_Current.open_engine(&options);

    KcPlatform_Current.request_report(engine);
    run_loop(reading);
    KcPlatform_Current.close_engine(engine);
}

static void
on_object(void *context, const KcObjectReply *reply)
{
    end_reading(context, reply->code);
}

/* A process that reads an object of the store. */
static void
read_object(Reading *reading)
{
    KcStoreOptions options = {.loop = reading->loop,
                              .address = server_address,
                              .call_timeout = CALL_TIMEOUT,
                              .counters = &reading->counters};
    KcStore *store = KcPlatform_Current.open_store(&options);

    KcPlatform_Current.object_ops->get(store, "things/a", on_object, reading);
    run_loop(reading);
    KcPlatform_Current.close_store(store);
}

static void
on_store_status(void *context, int code, KcTime now)
{
    (void)now;
    end_reading(context, code);
}

static void
on_item(void *context, const KcFeedItem *item, KcTime now)
{
    (void)context;
    (void)item;
    (void)now;
    g_assert_not_reached();
}

/* A gateway that lists a collection of the store. */
static void
read_collection(Reading *reading)
{
    KcStoreOptions options = {.loop = reading->loop,
                              .address = server_address,
                              .call_timeout = CALL_TIMEOUT,
                              .counters = &reading->counters};
    KcStore *store = KcPlatform_Current.open_store(&options);
    KcFeedOptions feed_options = {.ops = KcPlatform_Current.feed_ops,
                                  .store = store,
                                  .timers = reading->loop->timers,
                                  .collection = "things",
                                  .retry_delay = KC_SECOND,
                                  .retry_delay_max = KC_SECOND,
                                  .watch_timeout = KC_SECOND,
                                  .on_item = on_item,
                                  .on_store_status = on_store_status,
                                  .context = reading};
    KcFeed *feed = KcFeed_Create(&feed_options);

    KcFeed_Start(feed, KcLoop_Now());
    run_loop(reading);
    KcFeed_Free(feed);
    KcPlatform_Current.close_store(store);
}

/* The command line. */
static void
read_by_command_line(Reading *reading)
{
    KcHttpCallOptions options = {.address = server_address,
                                 .method = "GET",
                                 .path = "/",
                                 .progress_timeout = CALL_TIMEOUT};
    KcHttpResponse response;

    KcBlockingHttp_Call(&options, &response);
    reading->code = response.status == 0 ? KC_ERR_PEER_LOST : 0;
    KcHttpResponse_Clear(&response);
}

static void
on_call_done(void *context, int code, bool sent)
{
    g_assert_true(sent);
    end_reading(context, code);
}

/* An agent that reads the answer of a plain service or an engine. */
static void
read_service_answer(Reading *reading)
{
    static const KcHttpCallOps ops = {.on_done = on_call_done};
    KcHttpCallOptions options = {.loop = reading->loop,
                                 .address = server_address,
                                 .method = "POST",
                                 .path = "/",
                                 .progress_timeout = CALL_TIMEOUT,
                                 .limits = {.body_bytes_max = BODY_BYTES_MAX},
                                 .ops = &ops,
                                 .context = reading};

    g_assert_nonnull(KcHttpCall_Start(&options));
    run_loop(reading);
}

/* ---- the gateway as a reader ---------------------------------------------- */

static Reading *gateway_reading;
static KcHttpConnectionPool *connection_pool;

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    static const KcHttpMessage request_head = {
        .method = "GET",
        .target = "/r/x",
        .fields = {{"Host", "h"}, {"Attempt-Id", "this-request"}},
        .field_count = 2};
    KcHttpAttemptOptions options = {
        .loop = gateway_reading->loop,
        .dialect = KcPlatform_Current.dialect,
        .pool = connection_pool,
        .connect_timeout = CALL_TIMEOUT,
        .silence_timeout = 3 * KC_SECOND,
        .head_bytes_max = 65536,
        .limits = {.body_bytes_max = BODY_BYTES_MAX,
                   .skipped_bytes_max = BODY_BYTES_MAX,
                   .skipped_max = 4,
                   .unnumbered_events_max = 100,
                   .pool = &pool},
        .request_head = &request_head};

    (void)context;
    return KcHttpAttempt_Start(&options, attempt, params);
}

static const char *
region_of(void *context, const char *datacentre)
{
    (void)context;
    (void)datacentre;
    return "";
}

static void
on_data(void *caller, KcBytes bytes)
{
    (void)bytes;
    ((Reading *)caller)->parts++;
}

static void
on_end(void *caller)
{
    (void)caller;
    g_assert_not_reached();
}

static void
on_broken(void *caller, const KcError *error)
{
    end_reading(caller, error->code);
}

static void
on_refusal(void *caller, const KcForwardRefusal *refusal)
{
    g_assert_true(refusal->may_have_run);
    end_reading(caller, refusal->error.code);
}

static const KcForwardOps forward_ops = {GatewayStubs_IgnoreBegin, on_data,
                                         on_end, on_broken, on_refusal};

static KcRouting *
create_routing(void)
{
    KcRouting *routing = KcRouting_Create(1);
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", "/r/");
    KcError error;

    KcText_Copy(rule->name, "r", KC_NAME_MAX);
    rule->kind = KC_REQUEST_KIND_STREAM;
    rule->request_timeout = 3 * CALL_TIMEOUT;
    rule->latency_objective = CALL_TIMEOUT;
    rule->attempts_max = 1;
    KcRouting_AddTarget(rule, "s", 100);
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    return routing;
}

static void
add_server(KcGateway *gateway)
{
    KcServerInfo info;

    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "w", KC_NAME_MAX);
    KcText_Copy(info.service, "s", KC_NAME_MAX);
    KcText_Copy(info.address, server_address, KC_ADDRESS_MAX);
    info.concurrency_max = 8;
    KcGateway_OnServerRecord(gateway, &info, (KcRevision){0, 1}, KcLoop_Now());
    KcServerInfo_Clear(&info);
}

/* A gateway that reads a worker's answer. */
static void
read_worker_answer(Reading *reading)
{
    static const KcGatewayOps ops = {
        GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
        .cancel_attempt = GatewayStubs_CancelHttp,
        .record_notice = GatewayStubs_RecordNotice};
    KcForwardCall call = {.id = "this-request",
                          .host = "h",
                          .path = "/r/x",
                          .model = "",
                          .adapter = "",
                          .answer_events_max = EVENTS_MAX};
    KcGatewayOptions options;
    KcGateway *gateway;
    KcForward *forward;

    KcGatewayOptions_Init(&options);
    options.ops = &ops;
    options.timers = reading->loop->timers;
    options.counters = &reading->counters;
    options.datacentre = "d";
    options.region_of = region_of;
    options.seed = 1;
    gateway_reading = reading;
    connection_pool = KcHttpConnectionPool_Create(reading->loop);
    gateway = KcGateway_Create(&options);
    KcGateway_SetRouting(gateway, create_routing());
    add_server(gateway);
    KcGateway_Submit(gateway, &call, &forward_ops, reading, &forward,
                     KcLoop_Now());
    g_assert_nonnull(forward);
    run_loop(reading);
    g_assert_cmpuint(KcGateway_CountInFlight(gateway), ==, 0);
    g_assert_cmpuint(pool.kept_bytes, ==, 0);
    KcGateway_Free(gateway);
    KcHttpConnectionPool_Free(connection_pool);
}

/* ---- cases ---------------------------------------------------------------- */

static const struct {
    const char *name;
    void (*read)(Reading *reading);
} readers[] = {
    {"report", read_report},
    {"object", read_object},
    {"collection", read_collection},
    {"command line", read_by_command_line},
    {"service answer", read_service_answer},
    {"worker answer", read_worker_answer},
};

enum { SERVICE_ANSWER = 4, WORKER_ANSWER = 5 };

/* Errors of two readers, which report them exactly. */
static const struct {
    const char *pattern;
    int service_code;
    int worker_code;
    bool is_kept; /* the worker's answer is in memory when it is cut off, and
                   * counts in the pool until it is freed */
} cases[] = {
    {"head", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"reason", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"nothing", KC_ERR_PEER_LOST, KC_ERR_DEADLINE_EXCEEDED, false},
    {"blank lines", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"fields", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"interim", KC_ERR_PROTOCOL, KC_ERR_PROTOCOL, false},
    {"interim with fields", KC_ERR_PROTOCOL, KC_ERR_PROTOCOL, false},
    {"length", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"none", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, true},
    {"chunks", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, true},
    {"one chunk", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, true},
    {"extension", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"extensions", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, true},
    {"trailer", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"trailers", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"slow length", KC_ERR_DEADLINE_EXCEEDED, KC_ERR_DEADLINE_EXCEEDED, true},
    {"slow head", KC_ERR_PEER_LOST, KC_ERR_DEADLINE_EXCEEDED, false},
    {"late answer", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"late length", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, false},
    {"late answers", 0, KC_ERR_PROTOCOL, false},
    {"event", KC_ERR_TOO_LARGE, KC_ERR_TOO_LARGE, true},
    {"comments", KC_ERR_TOO_LARGE, KC_ERR_PROTOCOL, false},
    {"events", KC_ERR_TOO_LARGE, KC_ERR_PROTOCOL, false},
};

static void
check_code(size_t reader, size_t index, int code)
{
    g_test_message("%s, %s: %d", readers[reader].name, cases[index].pattern,
                   code);
    if (reader == SERVICE_ANSWER) {
        g_assert_cmpint(code, ==, cases[index].service_code);
    }
    else if (reader == WORKER_ANSWER) {
        g_assert_cmpint(code, ==, cases[index].worker_code);
    }
    else if (cases[index].service_code != 0) {
        g_assert_cmpint(code, <, 0);
    }
}

static void
test_endless(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    size_t number = Endless_FindPattern(cases[index].pattern);
    pid_t pid;

    g_assert_cmpuint(number, >, 0);
    pid = start_server(number);
    for (size_t i = 0; i < G_N_ELEMENTS(readers); i++) {
        Reading reading = {.loop = KcLoop_Create(), .code = 1};

        readers[i].read(&reading);
        KcLoop_Free(reading.loop);
        check_code(i, index, reading.code);
        if (i == WORKER_ANSWER && cases[index].is_kept) {
            g_assert_true(reading.has_pool_bytes);
        }
        if (strcmp(cases[index].pattern, "events") == 0) {
            g_assert_cmpint(reading.parts, <=, EVENTS_MAX);
        }
    }
    stop_server(pid);
}

static void
test_all_patterns_listed(void)
{
    g_assert_cmpuint(G_N_ELEMENTS(cases), ==, Endless_PatternCount());
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Loopback_AssignAddress(server_address, sizeof(server_address));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/endless/%s", cases[i].pattern);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_endless);
        g_free(path);
    }
    g_test_add_func("/endless/all_patterns", test_all_patterns_listed);
    return g_test_run();
}
