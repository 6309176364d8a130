/*
 * Tests of the queue of a gateway with customers: in which order requests that
 * wait are sent.
 *
 * One server runs two requests, which are there from the start.  Then requests
 * come, each a letter: its customer, a to c, or k for one that needs no key;
 * capitals have eight times the tokens.  Customer c is more urgent than the
 * route.  A dash is 60 ms without arrivals, a dot 10 ms and an answer.  At
 * last the server answers one request after the other every millisecond.
 * Trace: the letters in the order in which they are sent, and in brackets the
 * requests that were refused.
 */
#include <glib.h>
#include <string.h>

#include <kcc.h>

#include "../foresight.h"
#include "../gateway_stubs.h"
#include "../steps.h"

#define TOKENS 100
#define LARGE_FACTOR 8
#define REQUESTS_MAX 64
#define PAUSE (60 * KC_MS)
#define ANSWER_INTERVAL (10 * KC_MS)

typedef struct Case {
    const char *name;
    bool has_customers;
    const char *arrivals;
    const char *trace;
} Case;

static const Case cases[] = {
    {"without customers by arrival", false, "aaaaaaaabk", "aaaaaaaabk"},
    {"one that sends much takes nothing from another one", true,
     "aaaaaaaaaaaab", "aaaabaaaaaaaa"},
    {"nor from those that need no key", true, "aaaaaaaaaaaak",
     "aaaakaaaaaaaa"},
    {"like customers by arrival", true, "abababab", "abababab"},
    {"tokens count", true, "bbbbAAAAAAbbbb", "bbbbAbbbbAAAAA"},
    {"the customer's urgency goes before the route's", true, "aabbcc",
     "ccaabb"},
    {"an urgent customer's share is its own", true, "aaaaaabcccccccc",
     "ccccccccaaaabaa"},
    {"those that need no key are one customer", true, "kkkkkkkkkkkka",
     "kkkkakkkkkkkk"},
    {"a queue that moves is waited for", false, "aaaaaaaaaaaa.......",
     "aaaaaaaaaaaa"},
    {"an eighth of the objective while nothing is known", true, "aaaaaaaa-ab",
     "ab[aaaaaaaa]"},
};

typedef struct QueueFixture {
    KcTime now;
    KcGateway *gateway;
    KcTimers *timers;
    KcCounters counters;
    GQueue running; /* of KcForwardAttempt */
    GString *sent;
    GString *refused;
} QueueFixture;

typedef struct QueueCaller {
    QueueFixture *fixture;
    char letter;
} QueueCaller;

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    QueueFixture *fixture = context;
    const QueueCaller *caller = attempt->forward->caller;

    (void)params;
    g_string_append_c(fixture->sent, caller->letter);
    g_queue_push_tail(&fixture->running, attempt);
    return attempt;
}

static void
cancel_attempt(void *context, void *handle)
{
    QueueFixture *fixture = context;

    g_queue_remove(&fixture->running, handle);
}

static KcTime
configuration_age(void *context)
{
    (void)context;
    return 0;
}

static const KcGatewayOps gateway_ops = {
    GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .record_notice = GatewayStubs_RecordNotice,
    .configuration_age = configuration_age};

static void
on_end(void *caller)
{
    (void)caller;
}

static void
on_broken(void *caller, const KcError *error)
{
    (void)caller;
    (void)error;
}

static void
on_refusal(void *context, const KcForwardRefusal *refusal)
{
    QueueCaller *caller = context;

    g_assert_false(refusal->may_have_run);
    g_string_append_c(caller->fixture->refused, caller->letter);
}

static const KcForwardOps forward_ops = {.on_begin = GatewayStubs_IgnoreBegin,
                                         .on_data = GatewayStubs_IgnoreData,
                                         .on_end = on_end,
                                         .on_broken = on_broken,
                                         .on_refusal = on_refusal};

static KcKeyDigest
digest_of(char letter)
{
    KcKeyDigest digest = {.bytes = {(uint8_t)letter}};

    return digest;
}

static void
add_rule(KcRouting *routing, const char *prefix, bool keyless)
{
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", prefix);

    rule->kind = KC_REQUEST_KIND_UNSAFE;
    rule->request_timeout = 4 * KC_SECOND;
    rule->latency_objective = 400 * KC_MS;
    rule->priority = 1;
    rule->attempts_max = 1;
    rule->keyless = keyless;
    KcRouting_AddTarget(rule, "plain", 1);
}

static void
set_routing(KcGateway *gateway, bool has_customers)
{
    KcRouting *routing = KcRouting_Create(1);
    KcError error;

    KcRouting_AddService(routing, "plain");
    add_rule(routing, "/u/", false);
    add_rule(routing, "/k/", true);
    routing->has_customers = has_customers;
    for (const char *letter = "abc"; has_customers && *letter; letter++) {
        char name[] = {*letter, '\0'};
        KcRoutedCustomer *customer = KcRouting_AddCustomer(routing, name);
        KcKeyDigest digest = digest_of(*letter);

        customer->has_priority = *letter == 'c';
        g_assert_cmpint(KcRouting_AddKey(routing, customer, &digest), ==, 0);
    }
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    KcGateway_SetRouting(gateway, routing);
}

static void
add_server(QueueFixture *fixture)
{
    KcServerInfo info;

    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "s", KC_NAME_MAX);
    KcText_Copy(info.service, "plain", KC_NAME_MAX);
    KcText_Copy(info.address, "127.0.0.1:1", KC_ADDRESS_MAX);
    KcText_Copy(info.datacentre, "here", KC_NAME_MAX);
    info.concurrency_max = 1; /* and one more, as for each server */
    KcGateway_OnServerRecord(fixture->gateway, &info, (KcRevision){0, 1},
                             fixture->now);
    KcServerInfo_Clear(&info);
}

static void
submit(QueueFixture *fixture, QueueCaller *caller, char letter)
{
    char small = g_ascii_tolower(letter);
    KcForwardCall call = {.id = "",
                          .host = "h",
                          .path = small == 'k' ? "/k/x" : "/u/x",
                          .model = "",
                          .adapter = "",
                          .prompt_tokens = TOKENS,
                          .has_key = true,
                          .key_digest = digest_of(small)};
    KcForward *forward;
    Foresight foresight;

    if (letter != small) {
        call.prompt_tokens *= LARGE_FACTOR;
    }
    *caller = (QueueCaller){.fixture = fixture, .letter = letter};
    Foresight_Begin(&foresight, fixture->gateway, &call, fixture->now);
    KcGateway_Submit(fixture->gateway, &call, &forward_ops, caller, &forward,
                     fixture->now);
    Foresight_Check(&foresight, forward, NULL, fixture->now);
    Foresight_Clear(&foresight);
}

/* Lets time pass, and the server answer the first request that it runs; false
 * if it runs none. */
static bool
answer(QueueFixture *fixture, KcTime duration)
{
    KcReply reply = {.status = 200};
    KcForwardAttempt *attempt = g_queue_pop_head(&fixture->running);

    fixture->now += duration;
    if (attempt != NULL) {
        KcForwardAttempt_OnReply(attempt, &reply, fixture->now);
    }
    KcTimers_Run(fixture->timers, fixture->now);
    return attempt != NULL;
}

static void
pass_time(QueueFixture *fixture, KcTime duration)
{
    fixture->now += duration;
    KcTimers_Run(fixture->timers, fixture->now);
}

static void
test_case(gconstpointer data)
{
    const Case *test = &cases[GPOINTER_TO_SIZE(data)];
    QueueFixture fixture = {.now = KC_SECOND,
                            .sent = g_string_new(""),
                            .refused = g_string_new("")};
    QueueCaller callers[REQUESTS_MAX];
    QueueCaller *caller = callers;
    KcGatewayOptions options;

    fixture.timers = KcTimers_Create(fixture.now);
    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = &fixture;
    options.timers = fixture.timers;
    options.counters = &fixture.counters;
    options.datacentre = "here";
    options.region_of = GatewayStubs_FindRegion;
    fixture.gateway = KcGateway_Create(&options);
    set_routing(fixture.gateway, test->has_customers);
    add_server(&fixture);
    submit(&fixture, caller++, 'b');
    submit(&fixture, caller++, 'b');
    g_string_truncate(fixture.sent, 0);
    for (const char *letter = test->arrivals; *letter != '\0'; letter++) {
        if (*letter == '-') {
            pass_time(&fixture, PAUSE);
        }
        else if (*letter == '.') {
            answer(&fixture, ANSWER_INTERVAL);
        }
        else {
            submit(&fixture, caller++, *letter);
        }
    }
    while (answer(&fixture, KC_MS)) {
    }
    if (fixture.refused->len > 0) {
        g_string_append_printf(fixture.sent, "[%s]", fixture.refused->str);
    }
    g_assert_cmpstr(fixture.sent->str, ==, test->trace);
    KcGateway_Abort(fixture.gateway, fixture.now);
    KcGateway_Free(fixture.gateway);
    KcTimers_Free(fixture.timers);
    g_string_free(fixture.sent, TRUE);
    g_string_free(fixture.refused, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/gateway queue", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    return g_test_run();
}
