/*
 * Tests of quotas: the bucket of one gateway by steps, costs, the choice of
 * the hub, messages that are wrong.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

#include "../foresight.h"
#include "../steps.h"

#define STEPS_MAX 10
#define HUB 7
#define HUB_INCARNATION 70

/* ---- steps ---------------------------------------------------------------- */

typedef enum StepKind {
    STEP_END = 0,
    STEP_LIMIT,   /* the customer's rate and burst become a and b */
    STEP_UNIT,    /* the unit becomes a */
    STEP_REMOVE,  /* the customer is removed */
    STEP_COUNT,   /* a gateways are listed */
    STEP_TAKE,    /* a requests of b units; c of them pass */
    STEP_BACK,    /* a requests of b units did not run */
    STEP_WAIT,    /* a ms */
    STEP_TOTALS,  /* a report is answered: a gateways, others have used b in
                   * all and all ask for c units a second */
    STEP_OTHER,   /* the same, from a hub that has begun anew */
    STEP_DELAY,   /* the next answer comes a ms after its report */
    STEP_RETRY,   /* a refused request of a units: it may come back in b to c
                   * ms */
    STEP_EARLY,   /* a reports were requested before their time */
    STEP_LIMITED, /* a: 1 if the customer is limited after a review */
} StepKind;

typedef struct Step {
    StepKind kind;
    int64_t a;
    int64_t b;
    int64_t c;
} Step;

/* One gateway.  Rate and burst are 1,000; without an excess the promise allows
 * nothing beyond the quota. */
static const struct {
    const char *name;
    double excess;
    Step steps[STEPS_MAX];
} cases[] = {
    {"a gateway that has begun has an empty bucket",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_TAKE, 20, 1, 0},
      {STEP_WAIT, 500, 0, 0},
      {STEP_TAKE, 20, 100, 5}}},
    {"no more than the burst is saved up",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 30, 100, 10},
      {STEP_WAIT, 1000, 0, 0},
      {STEP_TAKE, 30, 100, 10}}},
    {"the excess is spent once",
     0.1,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 300, 10, 127},
      {STEP_WAIT, 1000, 0, 0},
      {STEP_TAKE, 300, 10, 100}}},
    {"alone it has the part of one gateway",
     0,
     {{STEP_COUNT, 10, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 30, 10, 10},
      {STEP_WAIT, 1000, 0, 0},
      {STEP_TAKE, 30, 10, 10}}},
    {"an unknown number of gateways is taken to be large",
     0,
     {{STEP_WAIT, 60000, 0, 0}, {STEP_TAKE, 300, 1, 16}}},
    {"what did not run comes back",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 30, 100, 10},
      {STEP_BACK, 4, 100, 0},
      {STEP_TAKE, 30, 100, 4}}},
    {"what comes back does not go beyond the burst",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 10, 100, 10},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_BACK, 10, 100, 0},
      {STEP_WAIT, 1, 0, 0},
      {STEP_TAKE, 30, 100, 10}}},
    {"a limit lowered in the middle of a burst",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 5, 100, 5},
      {STEP_LIMIT, 100, 200, 0},
      {STEP_TAKE, 30, 100, 2},
      {STEP_WAIT, 1000, 0, 0},
      {STEP_TAKE, 30, 100, 1}}},
    {"a limit raised is not there at once",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 30, 100, 10},
      {STEP_LIMIT, 2000, 2000, 0},
      {STEP_TAKE, 30, 100, 0},
      {STEP_WAIT, 500, 0, 0},
      {STEP_TAKE, 30, 100, 10}}},
    {"another unit begins with an empty bucket",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_UNIT, KC_QUOTA_REQUESTS, 0, 0},
      {STEP_TAKE, 5, 1, 0},
      {STEP_WAIT, 100, 0, 0},
      {STEP_TAKE, 200, 1, 100}}},
    {"a limit of none refuses nothing",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_LIMIT, 0, 0, 0},
      {STEP_TAKE, 99, 100000, 99}}},
    {"a customer that is removed and comes back has used what it has",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 30, 100, 10},
      {STEP_REMOVE, 0, 0, 0},
      {STEP_WAIT, 100, 0, 0},
      {STEP_LIMIT, 1000, 1000, 0},
      {STEP_TAKE, 30, 100, 1}}},
    {"what is spent in advance is paid back",
     1,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 9, 1200, 3},
      {STEP_WAIT, 1000, 0, 0},
      {STEP_TAKE, 9, 1200, 1},
      {STEP_WAIT, 1200, 0, 0},
      {STEP_TAKE, 9, 1200, 1}}},
    {"one of more than a window never passes",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 3, 9001, 0},
      {STEP_RETRY, 9001, 0, 0},
      {STEP_TAKE, 30, 100, 10}}},
    {"what others use is taken off",
     0,
     {{STEP_COUNT, 2, 0, 0},
      {STEP_TOTALS, 2, 0, 0},
      {STEP_WAIT, 500, 0, 0},
      {STEP_TOTALS, 2, 0, 0},
      {STEP_WAIT, 500, 0, 0},
      {STEP_TOTALS, 2, 0, 0},
      {STEP_WAIT, 500, 0, 0},
      {STEP_TOTALS, 2, 900, 100}, /* 600 are left, half of it here */
      {STEP_TAKE, 90, 10, 30}}},
    {"a customer asked for nowhere is shared evenly",
     0,
     {{STEP_COUNT, 4, 0, 0},
      {STEP_TOTALS, 4, 0, 0},
      {STEP_WAIT, 500, 0, 0},
      {STEP_TAKE, 1, 10, 1},
      {STEP_LIMITED, 0, 0, 0},
      {STEP_WAIT, 11000, 0, 0}, /* it is no longer told of */
      {STEP_TOTALS, 4, 0, 0},
      {STEP_WAIT, 1000, 0, 0},
      {STEP_TOTALS, 4, 0, 0},
      {STEP_TAKE, 90, 10, 50}}}, /* half of it, as without pressure */
    {"an answer that is read after the lease has ended says nothing",
     0,
     {{STEP_COUNT, 2, 0, 0},
      {STEP_WAIT, 10000, 0, 0},
      {STEP_TOTALS, 2, 0, 0},
      {STEP_WAIT, 500, 0, 0},
      {STEP_DELAY, 3000, 0, 0},
      {STEP_TOTALS, 2, 0, 0},
      {STEP_TAKE, 5, 10, 5},
      {STEP_WAIT, 250, 0, 0},
      {STEP_TOTALS, 2, 0, 0}, /* it joins again */
      {STEP_TAKE, 5, 10, 5}}},
    {"a report is requested once a grant is half spent",
     0,
     {{STEP_COUNT, 2, 0, 0},
      {STEP_TOTALS, 2, 0, 0},
      {STEP_WAIT, 500, 0, 0},
      {STEP_TOTALS, 2, 0, 100}, /* 500 are left, half of it here */
      {STEP_TAKE, 12, 10, 12},
      {STEP_EARLY, 0, 0, 0},
      {STEP_TAKE, 1, 10, 1},
      {STEP_EARLY, 1, 0, 0},
      {STEP_TAKE, 9, 10, 9},
      {STEP_EARLY, 1, 0, 0}}},
    {"use before it heard of the hub is not",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TOTALS, 1, 5000, 0},
      {STEP_TAKE, 30, 100, 10}}},
    {"nor is that of a hub that has begun anew",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TOTALS, 1, 0, 0},
      {STEP_OTHER, 1, 5000, 0},
      {STEP_TAKE, 30, 100, 10}}},
    {"a refused request is told when there is room",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 10, 100, 10},
      {STEP_RETRY, 1000, 250, 400},
      {STEP_RETRY, 1000, 1250, 1400},
      {STEP_RETRY, 1000, 2250, 2400}}},
    {"a customer is limited until 5 s after its last refused request",
     0,
     {{STEP_COUNT, 1, 0, 0},
      {STEP_WAIT, 60000, 0, 0},
      {STEP_TAKE, 10, 100, 10},
      {STEP_LIMITED, 0, 0, 0},
      {STEP_TAKE, 1, 100, 0},
      {STEP_LIMITED, 1, 0, 0},
      {STEP_WAIT, 4900, 0, 0},
      {STEP_LIMITED, 1, 0, 0},
      {STEP_WAIT, 200, 0, 0},
      {STEP_LIMITED, 0, 0, 0}}},
};

typedef struct Fixture {
    KcQuotas *quotas;
    KcRouting *routing;
    KcRoutedCustomer *customer;
    uint64_t version;
    uint64_t incarnation;
    KcTime now;
    uint32_t logged;
    uint32_t requested;
    KcTime answer_delay; /* of the next answer */
} Fixture;

static void
count_record(void *context, const KcQuotaState *state)
{
    (void)state;
    ((Fixture *)context)->logged++;
}

static void
count_request(void *context)
{
    ((Fixture *)context)->requested++;
}

static const KcQuotaOps quota_ops = {count_record, count_request};

static void
set_customer(Fixture *fixture, double rate, double burst, KcQuotaUnit unit)
{
    KcRouting *routing = KcRouting_Create(++fixture->version);

    KcRouting_Release(fixture->routing);
    fixture->routing = routing;
    fixture->customer = KcRouting_AddCustomer(routing, "c");
    fixture->customer->rate_per_s = rate;
    fixture->customer->burst = burst;
    fixture->customer->unit = unit;
    KcQuotas_SetCustomers(fixture->quotas, routing, fixture->now);
}

static void
remove_customer(Fixture *fixture)
{
    KcRouting *routing = KcRouting_Create(++fixture->version);

    KcQuotas_SetCustomers(fixture->quotas, routing, fixture->now);
    KcRouting_Release(routing);
}

static int64_t
take(Fixture *fixture, int64_t count, int64_t cost)
{
    int64_t passed = 0;
    KcTime retry_after;

    for (int64_t i = 0; i < count; i++) {
        passed += Foresight_TakeQuota(fixture->quotas, fixture->customer,
                                      (uint64_t)cost, &retry_after,
                                      fixture->now) == 0;
    }
    return passed;
}

static void
answer_report(Fixture *fixture, const Step *step)
{
    KcQuotaRow row = {.customer = KcQuota_HashCustomer("c"),
                      .used = step->b,
                      .asked_rate = (double)step->c};
    KcBuffer rows = {0};
    KcMsg report;
    KcMsg answer = {.type = KC_MSG_TOTALS};

    g_assert_true(
        KcQuotas_WriteReport(fixture->quotas, HUB, &report, fixture->now));
    fixture->now += fixture->answer_delay;
    fixture->answer_delay = 0;
    KcQuotaRow_Append(&row, &rows);
    answer.u.totals =
        (KcMsgTotals){.sequence = report.u.usage.sequence,
                      .joined = 1,
                      .group_size = (uint32_t)step->a,
                      .rows = {KcBuffer_Data(&rows), KcBuffer_Size(&rows)}};
    g_assert_cmpint(KcQuotas_OnTotals(fixture->quotas, HUB,
                                      fixture->incarnation, &answer,
                                      fixture->now),
                    ==, 0);
    KcBuffer_Clear(&rows);
}

static void
check_retry(Fixture *fixture, const Step *step)
{
    KcTime retry_after;

    g_assert_cmpint(Foresight_TakeQuota(fixture->quotas, fixture->customer,
                                        (uint64_t)step->a, &retry_after,
                                        fixture->now),
                    ==, KC_ERR_LIMIT_EXCEEDED);
    g_assert_cmpint(retry_after, >=, step->b * KC_MS);
    g_assert_cmpint(retry_after, <=, step->c * KC_MS);
}

static void
store_limited(void *context, const KcQuotaState *state)
{
    *(bool *)context = state->is_limited;
}

static void
play_step(Fixture *fixture, const Step *step)
{
    bool is_limited = false;

    switch (step->kind) {
    case STEP_LIMIT:
        set_customer(fixture, (double)step->a, (double)step->b,
                     KC_QUOTA_TOKENS);
        break;
    case STEP_UNIT:
        set_customer(fixture, 1000, 1000, (KcQuotaUnit)step->a);
        break;
    case STEP_REMOVE:
        remove_customer(fixture);
        break;
    case STEP_COUNT:
        KcQuotas_SetGatewayCount(fixture->quotas, (uint32_t)step->a,
                                 fixture->now);
        break;
    case STEP_TAKE:
        g_assert_cmpint(take(fixture, step->a, step->b), ==, step->c);
        break;
    case STEP_BACK:
        for (int64_t i = 0; i < step->a; i++) {
            KcQuotas_GiveBack(fixture->quotas, fixture->customer,
                              (uint64_t)step->b, fixture->now);
        }
        break;
    case STEP_WAIT:
        fixture->now += step->a * KC_MS;
        break;
    case STEP_OTHER:
        fixture->incarnation++;
        answer_report(fixture, step);
        break;
    case STEP_TOTALS:
        answer_report(fixture, step);
        break;
    case STEP_DELAY:
        fixture->answer_delay = step->a * KC_MS;
        break;
    case STEP_RETRY:
        check_retry(fixture, step);
        break;
    case STEP_EARLY:
        g_assert_cmpuint(fixture->requested, ==, step->a);
        break;
    case STEP_LIMITED:
        KcQuotas_Review(fixture->quotas, fixture->now);
        KcQuotas_Visit(fixture->quotas, store_limited, &is_limited,
                       fixture->now);
        g_assert_cmpint(is_limited, ==, step->a);
        break;
    default:
        g_assert_not_reached();
    }
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.incarnation = HUB_INCARNATION, .now = KC_SECOND};
    KcQuotaOptions options;

    KcQuotaOptions_Init(&options);
    options.excess = cases[index].excess;
    options.ops = &quota_ops;
    options.context = &fixture;
    options.seed = 1;
    fixture.quotas = KcQuotas_Create(&options);
    fixture.routing = KcRouting_Create(0);
    set_customer(&fixture, 1000, 1000, KC_QUOTA_TOKENS);
    for (int i = 0; i < STEPS_MAX && cases[index].steps[i].kind != STEP_END;
         i++) {
        play_step(&fixture, &cases[index].steps[i]);
    }
    KcQuotas_Free(fixture.quotas);
    KcRouting_Release(fixture.routing);
}

/* ---- costs ---------------------------------------------------------------- */

static const struct {
    KcQuotaUnit unit;
    bool states_tokens;
    uint64_t tokens;
    uint64_t cost;
} cost_cases[] = {
    {KC_QUOTA_REQUESTS, true, 500, 1},  {KC_QUOTA_REQUESTS, false, 0, 1},
    {KC_QUOTA_TOKENS, true, 500, 500},  {KC_QUOTA_TOKENS, true, 0, 0},
    {KC_QUOTA_TOKENS, false, 500, 200},
};

static void
test_costs(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cost_cases); i++) {
        KcRoutedCustomer customer = {.unit = cost_cases[i].unit,
                                     .plain_cost = 200};

        g_assert_cmpuint(KcQuota_Cost(&customer, cost_cases[i].states_tokens,
                                      cost_cases[i].tokens),
                         ==, cost_cases[i].cost);
    }
}

/* ---- choice of the hub ---------------------------------------------------- */

/* The hub of each report, one a second of which none is answered; '-': none.
 */
static const struct {
    const char *reachable;
    const char *chosen;
} choice_cases[] = {
    {"abc", "abc---abc"}, /* each is avoided for 5 s */
    {"a", "a-----a"},
    {"", "---"},
};

static void
test_choice(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
        Fixture fixture = {.now = KC_SECOND};
        uint64_t hubs[KC_QUOTA_HUBS_MAX];
        uint32_t count = (uint32_t)strlen(choice_cases[i].reachable);
        KcQuotaOptions options;
        KcMsg msg;

        KcQuotaOptions_Init(&options);
        fixture.quotas = KcQuotas_Create(&options);
        fixture.routing = KcRouting_Create(0);
        set_customer(&fixture, 1000, 1000, KC_QUOTA_TOKENS);
        for (uint32_t j = 0; j < count; j++) {
            hubs[j] = (uint64_t)choice_cases[i].reachable[j];
        }
        for (const char *c = choice_cases[i].chosen; *c != '\0'; c++) {
            uint64_t hub =
                KcQuotas_ChooseHub(fixture.quotas, hubs, count, fixture.now);

            g_assert_cmpuint(hub, ==, *c == '-' ? 0 : (uint64_t)*c);
            if (hub != 0) {
                g_assert_true(KcQuotas_WriteReport(fixture.quotas, hub, &msg,
                                                   fixture.now));
            }
            fixture.now += KC_SECOND;
        }
        KcQuotas_Free(fixture.quotas);
        KcRouting_Release(fixture.routing);
    }
}

/* ---- messages that are wrong ---------------------------------------------- */

/* Random rows and fields harm neither side, and leave the promise: with any
 * answers no more passes than the quota and what may be spent beyond it. */
static void
test_random_messages(void)
{
    KcQuotaHub *hub = KcQuotaHub_Create();
    GRand *random = g_rand_new_with_seed(1);
    Fixture fixture = {.now = KC_SECOND};
    KcQuotaOptions options;
    char bytes[60];

    KcQuotaOptions_Init(&options);
    fixture.quotas = KcQuotas_Create(&options);
    fixture.routing = KcRouting_Create(0);
    set_customer(&fixture, 1000, 1000, KC_QUOTA_TOKENS);
    for (int i = 0; i < 20000; i++) {
        uint64_t id = KcQuota_HashCustomer("c");
        KcMsg report;
        KcMsg answer;
        KcMsg random_msg = {.type = KC_MSG_USAGE};

        for (size_t j = 0; j < sizeof(bytes); j++) {
            bytes[j] = (char)g_rand_int(random);
        }
        for (int j = 0; g_rand_boolean(random) && j < 8; j++) {
            bytes[j] = (char)(id >> (8 * (7 - j)));
        }
        random_msg.u.usage = (KcMsgUsage){
            .sequence = g_rand_int(random),
            .joined = (uint32_t)g_rand_int_range(random, 0, 3),
            .gateway_count = g_rand_int(random),
            .lease_ms = g_rand_int(random),
            .is_leaving = g_rand_int_range(random, 0, 9) == 0,
            .rows = {bytes, (size_t)g_rand_int_range(random, 0, 61)}};
        KcQuotaHub_OnReport(hub, g_rand_boolean(random) ? "a" : "b",
                            (uint64_t)g_rand_int_range(random, 0, 2),
                            &random_msg, &answer, fixture.now);
        if (KcQuotas_WriteReport(fixture.quotas, HUB, &report, fixture.now) ||
            g_rand_boolean(random)) {
            answer = (KcMsg){.type = KC_MSG_TOTALS};
            answer.u.totals = (KcMsgTotals){
                .sequence = report.u.usage.sequence,
                .joined = (uint32_t)g_rand_int_range(random, 0, 3),
                .group_size = g_rand_int(random),
                .gateway_count = g_rand_int(random),
                .rows = {bytes, (size_t)g_rand_int_range(random, 0, 61)}};
            KcQuotas_OnTotals(fixture.quotas, HUB, 1, &answer, fixture.now);
        }
        KcQuotas_Review(fixture.quotas, fixture.now);
        g_assert_cmpint(KcQuotas_Interval(fixture.quotas), <=, 3 * KC_SECOND);
        g_assert_cmpint(take(&fixture, 3, 100), <=, 3);
        fixture.now += g_rand_int_range(random, 0, 200) * KC_MS;
    }
    KcQuotas_Free(fixture.quotas);
    KcRouting_Release(fixture.routing);
    KcQuotaHub_Free(hub);
    g_rand_free(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/quota", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    g_test_add_func("/quota/costs", test_costs);
    g_test_add_func("/quota/choice", test_choice);
    g_test_add_func("/quota/random messages", test_random_messages);
    return g_test_run();
}
