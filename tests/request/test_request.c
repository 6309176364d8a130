/*
 * Tests of what lives for a request: timers, buffers, retries, claims, the
 * order of waiting work.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

/* ---- timers ------------------------------------------------------------- */

static const struct {
    KcTime due;
    KcTime run; /* the wheel is run at this time */
    bool fires;
} timer_cases[] = {
    {10 * KC_MS, 9 * KC_MS, false},
    {10 * KC_MS, 12 * KC_MS, true},
    {8 * KC_MS, 8 * KC_MS, true},
    {60 * KC_SECOND, 59 * KC_SECOND, false},
    {60 * KC_SECOND, 60 * KC_SECOND, true},
    {10 * KC_MS, 3600 * KC_SECOND, true}, /* after a long pause */
    {0, 4 * KC_MS, true},                 /* overdue when it is set */
    {KC_NEVER, 3600 * KC_SECOND, false},
};

static void
count_fire(KcTimer *timer, KcTime now)
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

        KcTimer_Init(&timer, count_fire, &fired);
        KcTimers_Set(timers, &timer, timer_cases[i].due);
        KcTimers_Run(timers, timer_cases[i].run);
        g_assert_cmpint(fired, ==, timer_cases[i].fires);
        KcTimers_Run(timers, timer_cases[i].run + 4 * KC_MS);
        g_assert_cmpint(fired, <=, 1);
        KcTimers_Free(timers);
    }
}

/* Running at KcTimers_NextDue() misses no timer, whatever its distance. */
static void
test_timers_next(void)
{
    for (KcTime due = KC_MS; due < 40 * KC_SECOND; due = due * 3 / 2) {
        KcTimers *timers = KcTimers_Create(0);
        KcTimer timer;
        int fired = 0;
        KcTime now = 0;

        KcTimer_Init(&timer, count_fire, &fired);
        KcTimers_Set(timers, &timer, due);
        while (fired == 0) {
            now = KcTimers_NextDue(timers);
            g_assert_cmpint(now, !=, KC_NEVER);
            KcTimers_Run(timers, now);
        }
        g_assert_cmpint(now, >=, due);
        g_assert_cmpint(now, <=, due + 8 * KC_MS);
        g_assert_cmpint(KcTimers_NextDue(timers), ==, KC_NEVER);
        KcTimers_Free(timers);
    }
}

/* ---- retries ------------------------------------------------------------ */

static const struct {
    const char *name;
    KcRetryInput input;
    int64_t budget; /* retries that the budget allows */
    KcRetryDecision verdict;
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
    {"cancelled, fate unknown",
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
                        retry_cases[i].verdict);
    }
}

/* Ten percent of requests earn one retry in ten. */
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
    KcTime waited[2];
    uint32_t running[2]; /* calls of each one's customer */
    int first;
} order_cases[] = {
    {"longer wait", {4, 4}, {50 * KC_MS, 10 * KC_MS}, {0, 0}, 0},
    {"higher priority", {4, 5}, {50 * KC_MS, 10 * KC_MS}, {0, 0}, 1},
    {"priority is outweighed by waiting",
     {4, 9},
     {5100 * KC_MS, 10 * KC_MS},
     {0, 0},
     0},
    {"customer with less running", {4, 4}, {400 * KC_MS, 0}, {1, 0}, 1},
    {"a burst does not starve another",
     {4, 4},
     {4 * KC_SECOND, 0},
     {16, 0},
     1},
    {"nobody waits for ever", {0, 9}, {60 * KC_SECOND, 0}, {8, 0}, 0},
};

static void
test_order(void)
{
    KcUrgencyOptions options = {1000, 500};

    for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
        int64_t urgency[2];

        for (int j = 0; j < 2; j++) {
            KcCustomerShare share = {.running = order_cases[i].running[j]};
            KcWork work = {.priority = order_cases[i].priority[j],
                           .arrived_at =
                               100 * KC_SECOND - order_cases[i].waited[j],
                           .share = &share};

            urgency[j] = KcWork_Urgency(&work, &options, 100 * KC_SECOND);
        }
        g_test_message("%s", order_cases[i].name);
        g_assert_cmpint(urgency[order_cases[i].first], >,
                        urgency[1 - order_cases[i].first]);
    }
}

/* ---- claims ------------------------------------------------------------- */

#define SCRIPT_MAX 8

/* What the object API does with one call. */
typedef enum Reply {
    REPLY_END = 0, /* no more calls are expected */
    REPLY_NORMAL,
    REPLY_OUTAGE, /* no answer and no effect */
    REPLY_LOST    /* an effect without an answer */
} Reply;

/* The object as it is before the claim. */
typedef enum Before {
    BEFORE_ABSENT = 0,
    BEFORE_CLAIMED,
    BEFORE_DONE,
    BEFORE_RELEASED,
    BEFORE_GARBAGE
} Before;

static const struct {
    const char *name;
    Before before;
    Reply script[SCRIPT_MAX];
    int verdict;
    KcClaimMark earlier;
} claim_cases[] = {
    {"free key", BEFORE_ABSENT, {REPLY_NORMAL}, 0, 0},
    {"reply lost after the write",
     BEFORE_ABSENT,
     {REPLY_LOST, REPLY_NORMAL},
     0,
     0},
    {"outage, then back",
     BEFORE_ABSENT,
     {REPLY_OUTAGE, REPLY_OUTAGE, REPLY_NORMAL, REPLY_NORMAL},
     0,
     0},
    {"outage throughout",
     BEFORE_ABSENT,
     {REPLY_OUTAGE},
     KC_ERR_OBJECT_API_UNAVAILABLE,
     0},
    {"running elsewhere",
     BEFORE_CLAIMED,
     {REPLY_NORMAL, REPLY_NORMAL},
     KC_ERR_DUPLICATE,
     KC_CLAIM_CLAIMED},
    {"answered before",
     BEFORE_DONE,
     {REPLY_NORMAL, REPLY_NORMAL},
     KC_ERR_DUPLICATE,
     KC_CLAIM_DONE},
    {"released before",
     BEFORE_RELEASED,
     {REPLY_NORMAL, REPLY_NORMAL, REPLY_NORMAL},
     0,
     0},
    {"released before, reply of the takeover lost",
     BEFORE_RELEASED,
     {REPLY_NORMAL, REPLY_NORMAL, REPLY_LOST, REPLY_NORMAL},
     0,
     0},
    {"unreadable object",
     BEFORE_GARBAGE,
     {REPLY_NORMAL, REPLY_NORMAL},
     KC_ERR_DUPLICATE,
     KC_CLAIM_UNKNOWN},
};

/* A fake object API with one object, which follows a script. */
typedef struct Script {
    const Reply *replies;
    int next;
    uint64_t version; /* 0: absent */
    char value[256];
    size_t size;
    KcObjectCallback done; /* the call that waits for its answer */
    void *context;
    KcObjectReply reply;
    int verdict; /* 1: none yet */
    KcClaimMark earlier;
    KcTime now;
} Script;

static Reply
next_reply(Script *script)
{
    Reply reply = script->replies[script->next];

    /* An outage at the end of a script goes on. */
    if (reply == REPLY_END && script->next > 0 &&
        script->replies[script->next - 1] == REPLY_OUTAGE) {
        return REPLY_OUTAGE;
    }
    if (reply != REPLY_END) {
        script->next++;
    }
    return reply == REPLY_END ? REPLY_NORMAL : reply;
}

static void
script_get(void *objects, const char *name, KcObjectCallback done,
           void *context)
{
    Script *script = objects;

    (void)name;
    g_assert_null(script->done);
    script->done = done;
    script->context = context;
    script->reply.code = script->version == 0 ? KC_ERR_NOT_FOUND : 0;
    script->reply.version = script->version;
    script->reply.value = (KcBytes){script->value, script->size};
    if (next_reply(script) != REPLY_NORMAL) {
        script->reply.code = KC_ERR_OBJECT_API_UNAVAILABLE;
    }
}

static void
script_put(void *objects, const char *name, KcBytes value, uint64_t expected,
           KcObjectCallback done, void *context)
{
    Script *script = objects;
    Reply reply = next_reply(script);

    (void)name;
    g_assert_null(script->done);
    script->done = done;
    script->context = context;
    script->reply.code = 0;
    if (reply == REPLY_OUTAGE) {
        script->reply.code = KC_ERR_OBJECT_API_UNAVAILABLE;
        return;
    }
    if (expected != script->version) {
        script->reply.code = KC_ERR_CONFLICT;
        return;
    }
    memcpy(script->value, value.data, value.size);
    script->size = value.size;
    script->version += 1;
    script->reply.version = script->version;
    if (reply == REPLY_LOST) {
        script->reply.code = KC_ERR_OBJECT_API_UNAVAILABLE;
    }
}

static const KcObjectOps script_ops = {script_get, script_put, NULL};

static KcTime
script_clock(void *context)
{
    return ((Script *)context)->now;
}

static void
script_verdict(void *context, const KcClaimResult *verdict, KcTime now)
{
    Script *script = context;

    (void)now;
    script->verdict = verdict->code;
    script->earlier = verdict->mark;
}

/* Answers calls and lets time pass until nothing more happens. */
static void
play(Script *script, KcTimers *timers)
{
    for (int i = 0; i < 200; i++) {
        KcObjectCallback done = script->done;

        script->now += 20 * KC_MS;
        KcTimers_Run(timers, script->now);
        if (done != NULL) {
            KcObjectReply reply = script->reply;

            script->done = NULL;
            done(script->context, &reply);
        }
    }
}

static void
set_before(Script *script, Before before)
{
    static const KcClaimMark marks[] = {
        [BEFORE_CLAIMED] = KC_CLAIM_CLAIMED,
        [BEFORE_DONE] = KC_CLAIM_DONE,
        [BEFORE_RELEASED] = KC_CLAIM_RELEASED,
    };
    KcClaimValue value = {.token = "another"};

    if (before == BEFORE_ABSENT) {
        return;
    }
    script->version = 3;
    if (before == BEFORE_GARBAGE) {
        strcpy(script->value, "{");
        script->size = 1;
        return;
    }
    value.mark = marks[before];
    script->size =
        KcClaimValue_Encode(&value, script->value, sizeof(script->value));
}

static void
start_claim(Script *script, KcTimers *timers, KcClaimList *list,
            KcClaim **claim)
{
    static const KcRequestId token = {5, 6};
    KcClaimOptions options = {.ops = &script_ops,
                              .objects = script,
                              .timers = timers,
                              .service = "print",
                              .customer = "c",
                              .key = "k",
                              .token = &token,
                              .give_up_at = 1 * KC_SECOND,
                              .retry_delay = 100 * KC_MS,
                              .record_timeout = 2 * KC_SECOND,
                              .clock = script_clock,
                              .clock_context = script,
                              .on_result = script_verdict,
                              .context = script,
                              .list = list};

    *claim = KcClaim_Start(&options, 0);
}

static void
test_claims(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(claim_cases); i++) {
        Script script = {.replies = claim_cases[i].script, .verdict = 1};
        KcTimers *timers = KcTimers_Create(0);
        KcClaimList list = TAILQ_HEAD_INITIALIZER(list);
        KcClaim *claim;

        g_test_message("%s", claim_cases[i].name);
        set_before(&script, claim_cases[i].before);
        start_claim(&script, timers, &list, &claim);
        play(&script, timers);
        g_assert_cmpint(script.verdict, ==, claim_cases[i].verdict);
        if (script.verdict == KC_ERR_DUPLICATE) {
            g_assert_cmpint(script.earlier, ==, claim_cases[i].earlier);
        }
        KcClaim_End(claim, KC_CLAIM_RELEASED, script.now);
        play(&script, timers);
        g_assert_true(TAILQ_EMPTY(&list));
        KcTimers_Free(timers);
    }
}

/* Marks recorded after the call, under trouble. */
static const struct {
    const char *name;
    KcClaimMark mark;
    Reply script[SCRIPT_MAX];
    KcClaimMark found; /* in the object afterwards */
} settle_cases[] = {
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
test_settling(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(settle_cases); i++) {
        Script script = {.replies = settle_cases[i].script, .verdict = 1};
        KcTimers *timers = KcTimers_Create(0);
        KcClaimList list = TAILQ_HEAD_INITIALIZER(list);
        KcClaim *claim;
        KcClaimValue value;

        g_test_message("%s", settle_cases[i].name);
        start_claim(&script, timers, &list, &claim);
        play(&script, timers);
        g_assert_cmpint(script.verdict, ==, 0);
        KcClaim_End(claim, settle_cases[i].mark, script.now);
        play(&script, timers);
        g_assert_true(TAILQ_EMPTY(&list));
        g_assert_cmpint(
            KcClaimValue_Decode((KcBytes){script.value, script.size}, &value),
            ==, 0);
        g_assert_cmpint(value.mark, ==, settle_cases[i].found);
        KcTimers_Free(timers);
    }
}

/* A claim that is dropped while it waits lets go of its memory later. */
static void
test_discard(void)
{
    static const Reply replies[SCRIPT_MAX] = {REPLY_NORMAL};
    Script script = {.replies = replies, .verdict = 1};
    KcTimers *timers = KcTimers_Create(0);
    KcClaimList list = TAILQ_HEAD_INITIALIZER(list);
    KcClaim *claim;

    start_claim(&script, timers, &list, &claim);
    KcClaim_DiscardAll(&list);
    play(&script, timers);
    g_assert_cmpint(script.verdict, ==, 1);
    KcTimers_Free(timers);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/request/timers", test_timers);
    g_test_add_func("/request/timers_next", test_timers_next);
    g_test_add_func("/request/retries", test_retries);
    g_test_add_func("/request/retry_budget", test_retry_budget);
    g_test_add_func("/request/order", test_order);
    g_test_add_func("/request/claims", test_claims);
    g_test_add_func("/request/settling", test_settling);
    g_test_add_func("/request/discard", test_discard);
    return g_test_run();
}
