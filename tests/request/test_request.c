/*
 * Tests of timers, retry decisions and budgets, the order of waiting work, and
 * claims of idempotency keys.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

/* ---- timers ------------------------------------------------------------- */

static const struct {
    KcTime due_at;
    KcTime run_at; /* time passed to KcTimers_Run() */
    bool fires;
} timer_cases[] = {
    {10 * KC_MS, 9 * KC_MS, false},
    {10 * KC_MS, 12 * KC_MS, true},
    {8 * KC_MS, 8 * KC_MS, true},
    {60 * KC_SECOND, 59 * KC_SECOND, false},
    {60 * KC_SECOND, 60 * KC_SECOND, true},
    {10 * KC_MS, 3600 * KC_SECOND, true}, /* the process was paused */
    {0, 4 * KC_MS, true},                 /* overdue when it is set */
    {KC_NEVER, 3600 * KC_SECOND, false},
};

static void
count_firing(KcTimer *timer, KcTime now)
{
    (void)now;
    (*(int *)timer->owner)++;
}

static void
test_timers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(timer_cases); i++) {
        KcTimers *timers = KcTimers_Create(0);
        KcTimer timer;
        int fired = 0;

        KcTimer_Init(&timer, count_firing, &fired);
        KcTimers_Set(timers, &timer, timer_cases[i].due_at);
        KcTimers_Run(timers, timer_cases[i].run_at);
        g_assert_cmpint(fired, ==, timer_cases[i].fires);
        KcTimers_Run(timers, timer_cases[i].run_at + 4 * KC_MS);
        g_assert_cmpint(fired, <=, 1);
        KcTimers_Free(timers);
    }
}

/* KcTimers_NextDue() leads to each timer, however far ahead it is due. */
static void
test_timers_next_due(void)
{
    for (KcTime due_at = KC_MS; due_at < 40 * KC_SECOND;
         due_at = due_at * 3 / 2) {
        KcTimers *timers = KcTimers_Create(0);
        KcTimer timer;
        int fired = 0;
        KcTime now = 0;

        KcTimer_Init(&timer, count_firing, &fired);
        KcTimers_Set(timers, &timer, due_at);
        while (fired == 0) {
            now = KcTimers_NextDue(timers);
            g_assert_cmpint(now, !=, KC_NEVER);
            KcTimers_Run(timers, now);
        }
        g_assert_cmpint(now, >=, due_at);
        g_assert_cmpint(now, <=, due_at + 8 * KC_MS);
        g_assert_cmpint(KcTimers_NextDue(timers), ==, KC_NEVER);
        KcTimers_Free(timers);
    }
}

/* ---- retries ------------------------------------------------------------ */

static const struct {
    const char *name;
    KcRetryInput input;
    int64_t budget; /* retries that the budget allows */
    KcRetryDecision decision;
} retry_cases[] = {
    {"refused, more candidates",
     {.end = KC_ATTEMPT_REFUSED, .attempt_count = 1, .attempts_max = 4},
     0,
     KC_RETRY_NEXT},
    {"refused too often",
     {.end = KC_ATTEMPT_REFUSED, .attempt_count = 4, .attempts_max = 4},
     9,
     KC_RETRY_NOT_RUN},
    {"never sent",
     {.end = KC_ATTEMPT_NEVER_SENT, .attempt_count = 1, .attempts_max = 4},
     0,
     KC_RETRY_NEXT},
    {"lost, repeatable",
     {.end = KC_ATTEMPT_LOST,
      .repeatable = true,
      .attempt_count = 1,
      .attempts_max = 4},
     1,
     KC_RETRY_NEXT},
    {"lost, repeatable, budget spent",
     {.end = KC_ATTEMPT_LOST,
      .repeatable = true,
      .attempt_count = 1,
      .attempts_max = 4},
     0,
     KC_RETRY_UNKNOWN},
    {"lost, not repeatable",
     {.end = KC_ATTEMPT_LOST, .attempt_count = 1, .attempts_max = 4},
     9,
     KC_RETRY_UNKNOWN},
    {"failed, not repeatable",
     {.end = KC_ATTEMPT_FAILED, .attempt_count = 1, .attempts_max = 4},
     9,
     KC_RETRY_UNKNOWN},
    {"refused after one that may have run, not repeatable",
     {.end = KC_ATTEMPT_REFUSED,
      .may_have_run = true,
      .attempt_count = 2,
      .attempts_max = 4},
     9,
     KC_RETRY_UNKNOWN},
    {"refused after one that may have run, at the end",
     {.end = KC_ATTEMPT_REFUSED,
      .may_have_run = true,
      .repeatable = true,
      .attempt_count = 4,
      .attempts_max = 4},
     9,
     KC_RETRY_UNKNOWN},
    {"cancelled before it ran",
     {.end = KC_ATTEMPT_REFUSED,
      .cancelled = true,
      .attempt_count = 1,
      .attempts_max = 4},
     9,
     KC_RETRY_NOT_RUN},
    {"cancelled, may have run",
     {.end = KC_ATTEMPT_LOST,
      .cancelled = true,
      .repeatable = true,
      .attempt_count = 1,
      .attempts_max = 4},
     9,
     KC_RETRY_UNKNOWN},
    {"part delivered, can be continued",
     {.end = KC_ATTEMPT_FAILED,
      .repeatable = true,
      .part_delivered = true,
      .can_continue = true,
      .attempt_count = 1,
      .attempts_max = 4},
     1,
     KC_RETRY_NEXT},
    {"part delivered, cannot be continued",
     {.end = KC_ATTEMPT_FAILED,
      .repeatable = true,
      .part_delivered = true,
      .attempt_count = 1,
      .attempts_max = 4},
     9,
     KC_RETRY_UNKNOWN},
    {"retired everywhere",
     {.end = KC_ATTEMPT_REFUSED,
      .code = KC_ERR_VERSION_RETIRED,
      .attempt_count = 1,
      .attempts_max = 4},
     9,
     KC_RETRY_NOT_RUN},
};

static void
test_retries(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(retry_cases); i++) {
        KcRetryBudget budget;

        KcRetryBudget_Init(&budget, 20, retry_cases[i].budget);
        g_test_message("%s", retry_cases[i].name);
        g_assert_cmpint(KcRetry_Decide(&retry_cases[i].input, &budget), ==,
                        retry_cases[i].decision);
    }
}

/* A budget of 10 % allows one retry for ten requests. */
static void
test_retry_budget(void)
{
    KcRetryBudget budget;
    int taken = 0;

    KcRetryBudget_Init(&budget, 10, 2);
    for (int i = 0; i < 100; i++) {
        KcRetryBudget_Deposit(&budget);
        taken += KcRetryBudget_Take(&budget) ? 1 : 0;
    }
    g_assert_cmpint(taken, >=, 10);
    g_assert_cmpint(taken, <=, 12);
}

/* ---- order -------------------------------------------------------------- */

static const struct {
    const char *name;
    uint32_t priority[2];
    KcTime wait_time[2];
    uint32_t running[2]; /* running calls of each one's customer */
    int first;           /* index of the more urgent one */
} urgency_cases[] = {
    {"the longer wait is first", {4, 4}, {50 * KC_MS, 10 * KC_MS}, {0, 0}, 0},
    {"the higher priority is first",
     {4, 5},
     {50 * KC_MS, 10 * KC_MS},
     {0, 0},
     1},
    {"priority is outweighed by waiting",
     {4, 9},
     {5100 * KC_MS, 10 * KC_MS},
     {0, 0},
     0},
    {"the customer with fewer running calls is first",
     {4, 4},
     {400 * KC_MS, 0},
     {1, 0},
     1},
    {"a customer's burst does not starve another customer",
     {4, 4},
     {4 * KC_SECOND, 0},
     {16, 0},
     1},
    {"the lowest priority is not starved",
     {0, 9},
     {60 * KC_SECOND, 0},
     {8, 0},
     0},
};

static void
test_urgency(void)
{
    KcUrgencyOptions options = {1000, 500};

    for (size_t i = 0; i < G_N_ELEMENTS(urgency_cases); i++) {
        int64_t urgency[2];

        for (int j = 0; j < 2; j++) {
            KcCustomerShare share = {.running = urgency_cases[i].running[j]};
            KcWork work = {.priority = urgency_cases[i].priority[j],
                           .arrived_at =
                               100 * KC_SECOND - urgency_cases[i].wait_time[j],
                           .share = &share};

            urgency[j] = KcWork_Urgency(&work, &options, 100 * KC_SECOND);
        }
        g_test_message("%s", urgency_cases[i].name);
        g_assert_cmpint(urgency[urgency_cases[i].first], >,
                        urgency[1 - urgency_cases[i].first]);
    }
}

/* ---- claims ------------------------------------------------------------- */

#define REPLY_COUNT_MAX 8

/* How the fake object API answers one call. */
typedef enum Reply {
    REPLY_END = 0, /* no more calls are expected */
    REPLY_NORMAL,
    REPLY_OUTAGE, /* no effect and no answer */
    REPLY_LOST    /* effect, but no answer */
} Reply;

/* The claim object before the test claims it. */
typedef enum InitialObject {
    INITIAL_ABSENT = 0,
    INITIAL_CLAIMED,
    INITIAL_DONE,
    INITIAL_RELEASED,
    INITIAL_GARBAGE
} InitialObject;

static const struct {
    const char *name;
    InitialObject initial;
    Reply replies[REPLY_COUNT_MAX];
    int result;               /* error number, 0: claimed */
    KcClaimMark earlier_mark; /* of a duplicate */
} claim_cases[] = {
    {"free key", INITIAL_ABSENT, {REPLY_NORMAL}, 0, 0},
    {"reply lost after the write",
     INITIAL_ABSENT,
     {REPLY_LOST, REPLY_NORMAL},
     0,
     0},
    {"outage that ends",
     INITIAL_ABSENT,
     {REPLY_OUTAGE, REPLY_OUTAGE, REPLY_NORMAL, REPLY_NORMAL},
     0,
     0},
    {"outage that does not end",
     INITIAL_ABSENT,
     {REPLY_OUTAGE},
     KC_ERR_OBJECT_API_UNAVAILABLE,
     0},
    {"claimed by a call in progress",
     INITIAL_CLAIMED,
     {REPLY_NORMAL, REPLY_NORMAL},
     KC_ERR_DUPLICATE,
     KC_CLAIM_CLAIMED},
    {"claimed by an answered call",
     INITIAL_DONE,
     {REPLY_NORMAL, REPLY_NORMAL},
     KC_ERR_DUPLICATE,
     KC_CLAIM_DONE},
    {"claim released",
     INITIAL_RELEASED,
     {REPLY_NORMAL, REPLY_NORMAL, REPLY_NORMAL},
     0,
     0},
    {"claim released, reply to the new claim lost",
     INITIAL_RELEASED,
     {REPLY_NORMAL, REPLY_NORMAL, REPLY_LOST, REPLY_NORMAL},
     0,
     0},
    {"unreadable object",
     INITIAL_GARBAGE,
     {REPLY_NORMAL, REPLY_NORMAL},
     KC_ERR_DUPLICATE,
     KC_CLAIM_UNKNOWN},
};

/* A fake object API with one object and scripted replies. */
typedef struct FakeObjectApi {
    const Reply *replies;
    int next_index;   /* of replies */
    uint64_t version; /* 0: absent */
    char value[256];
    size_t size;
    KcObjectCallback callback; /* of the outstanding call; NULL: none */
    void *context;
    KcObjectReply reply;
    int result; /* of the claim; 1: none yet */
    KcClaimMark earlier_mark;
    KcTime now;
} FakeObjectApi;

static Reply
take_reply(FakeObjectApi *api)
{
    Reply reply = api->replies[api->next_index];

    /* An outage that is the last reply does not end. */
    if (reply == REPLY_END && api->next_index > 0 &&
        api->replies[api->next_index - 1] == REPLY_OUTAGE) {
        return REPLY_OUTAGE;
    }
    if (reply != REPLY_END) {
        api->next_index++;
    }
    return reply == REPLY_END ? REPLY_NORMAL : reply;
}

static void
fake_get(void *objects, const char *name, KcObjectCallback callback,
         void *context)
{
    FakeObjectApi *api = objects;

    (void)name;
    g_assert_null(api->callback);
    api->callback = callback;
    api->context = context;
    api->reply.code = api->version == 0 ? KC_ERR_NOT_FOUND : 0;
    api->reply.version = api->version;
    api->reply.value = (KcBytes){api->value, api->size};
    if (take_reply(api) != REPLY_NORMAL) {
        api->reply.code = KC_ERR_OBJECT_API_UNAVAILABLE;
    }
}

static void
fake_put(void *objects, const char *name, KcBytes value, uint64_t expected,
         KcObjectCallback callback, void *context)
{
    FakeObjectApi *api = objects;
    Reply reply = take_reply(api);

    (void)name;
    g_assert_null(api->callback);
    api->callback = callback;
    api->context = context;
    api->reply.code = 0;
    if (reply == REPLY_OUTAGE) {
        api->reply.code = KC_ERR_OBJECT_API_UNAVAILABLE;
        return;
    }
    if (expected != api->version) {
        api->reply.code = KC_ERR_CONFLICT;
        return;
    }
    memcpy(api->value, value.data, value.size);
    api->size = value.size;
    api->version += 1;
    api->reply.version = api->version;
    if (reply == REPLY_LOST) {
        api->reply.code = KC_ERR_OBJECT_API_UNAVAILABLE;
    }
}

static const KcObjectOps fake_object_ops = {fake_get, fake_put, NULL};

static KcTime
read_fake_clock(void *context)
{
    return ((FakeObjectApi *)context)->now;
}

static void
on_claim_result(void *context, const KcClaimResult *claim_result, KcTime now)
{
    FakeObjectApi *api = context;

    (void)now;
    api->result = claim_result->code;
    api->earlier_mark = claim_result->mark;
}

/* Answers calls for 4 s, after which nothing more happens. */
static void
answer_calls(FakeObjectApi *api, KcTimers *timers)
{
    for (int i = 0; i < 200; i++) {
        KcObjectCallback callback = api->callback;

        api->now += 20 * KC_MS;
        KcTimers_Run(timers, api->now);
        if (callback != NULL) {
            KcObjectReply reply = api->reply;

            api->callback = NULL;
            callback(api->context, &reply);
        }
    }
}

static void
set_initial_object(FakeObjectApi *api, InitialObject initial)
{
    static const KcClaimMark marks[] = {
        [INITIAL_CLAIMED] = KC_CLAIM_CLAIMED,
        [INITIAL_DONE] = KC_CLAIM_DONE,
        [INITIAL_RELEASED] = KC_CLAIM_RELEASED,
    };
    KcClaimValue value = {.token = "another"};

    if (initial == INITIAL_ABSENT) {
        return;
    }
    api->version = 3;
    if (initial == INITIAL_GARBAGE) {
        strcpy(api->value, "{");
        api->size = 1;
        return;
    }
    value.mark = marks[initial];
    api->size = KcClaimValue_Encode(&value, api->value, sizeof(api->value));
}

static void
start_claim(FakeObjectApi *api, KcTimers *timers, KcClaimList *list,
            KcClaim **claim)
{
    static const KcRequestId token = {5, 6};
    KcClaimOptions options = {.ops = &fake_object_ops,
                              .objects = api,
                              .timers = timers,
                              .service = "print",
                              .customer = "c",
                              .key = "k",
                              .token = &token,
                              .give_up_at = 1 * KC_SECOND,
                              .retry_delay = 100 * KC_MS,
                              .record_timeout = 2 * KC_SECOND,
                              .clock = read_fake_clock,
                              .clock_context = api,
                              .on_result = on_claim_result,
                              .context = api,
                              .list = list};

    *claim = KcClaim_Start(&options, 0);
}

static void
test_claims(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(claim_cases); i++) {
        FakeObjectApi api = {.replies = claim_cases[i].replies, .result = 1};
        KcTimers *timers = KcTimers_Create(0);
        KcClaimList list = TAILQ_HEAD_INITIALIZER(list);
        KcClaim *claim;

        g_test_message("%s", claim_cases[i].name);
        set_initial_object(&api, claim_cases[i].initial);
        start_claim(&api, timers, &list, &claim);
        answer_calls(&api, timers);
        g_assert_cmpint(api.result, ==, claim_cases[i].result);
        if (api.result == KC_ERR_DUPLICATE) {
            g_assert_cmpint(api.earlier_mark, ==, claim_cases[i].earlier_mark);
        }
        KcClaim_End(claim, KC_CLAIM_RELEASED, api.now);
        answer_calls(&api, timers);
        g_assert_true(TAILQ_EMPTY(&list));
        KcTimers_Free(timers);
    }
}

/* Marks that are written when a claim ends, despite lost replies. */
static const struct {
    const char *name;
    KcClaimMark mark;
    Reply replies[REPLY_COUNT_MAX];
    KcClaimMark stored_mark; /* in the object afterwards */
} mark_cases[] = {
    {"answered", KC_CLAIM_DONE, {REPLY_NORMAL, REPLY_NORMAL}, KC_CLAIM_DONE},
    {"released",
     KC_CLAIM_RELEASED,
     {REPLY_NORMAL, REPLY_NORMAL},
     KC_CLAIM_RELEASED},
    {"reply lost",
     KC_CLAIM_DONE,
     {REPLY_NORMAL, REPLY_LOST, REPLY_NORMAL},
     KC_CLAIM_DONE},
    {"outage at first",
     KC_CLAIM_UNKNOWN,
     {REPLY_NORMAL, REPLY_OUTAGE, REPLY_OUTAGE, REPLY_NORMAL, REPLY_NORMAL},
     KC_CLAIM_UNKNOWN},
};

static void
test_claim_marks(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(mark_cases); i++) {
        FakeObjectApi api = {.replies = mark_cases[i].replies, .result = 1};
        KcTimers *timers = KcTimers_Create(0);
        KcClaimList list = TAILQ_HEAD_INITIALIZER(list);
        KcClaim *claim;
        KcClaimValue value;

        g_test_message("%s", mark_cases[i].name);
        start_claim(&api, timers, &list, &claim);
        answer_calls(&api, timers);
        g_assert_cmpint(api.result, ==, 0);
        KcClaim_End(claim, mark_cases[i].mark, api.now);
        answer_calls(&api, timers);
        g_assert_true(TAILQ_EMPTY(&list));
        g_assert_cmpint(
            KcClaimValue_Decode((KcBytes){api.value, api.size}, &value), ==,
            0);
        g_assert_cmpint(value.mark, ==, mark_cases[i].stored_mark);
        KcTimers_Free(timers);
    }
}

/* A claim discarded during a call gives no result and frees its memory when
 * the call is answered. */
static void
test_claim_discard(void)
{
    static const Reply replies[REPLY_COUNT_MAX] = {REPLY_NORMAL};
    FakeObjectApi api = {.replies = replies, .result = 1};
    KcTimers *timers = KcTimers_Create(0);
    KcClaimList list = TAILQ_HEAD_INITIALIZER(list);
    KcClaim *claim;

    start_claim(&api, timers, &list, &claim);
    KcClaim_DiscardAll(&list);
    answer_calls(&api, timers);
    g_assert_cmpint(api.result, ==, 1);
    KcTimers_Free(timers);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/request/timers", test_timers);
    g_test_add_func("/request/timers_next_due", test_timers_next_due);
    g_test_add_func("/request/retries", test_retries);
    g_test_add_func("/request/retry_budget", test_retry_budget);
    g_test_add_func("/request/urgency", test_urgency);
    g_test_add_func("/request/claims", test_claims);
    g_test_add_func("/request/claim_marks", test_claim_marks);
    g_test_add_func("/request/claim_discard", test_claim_discard);
    return g_test_run();
}
