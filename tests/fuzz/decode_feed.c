/*
 * Eras and revisions in the answers of a store, at two feeds of a group:
 * whatever the store says, a feed is certain of nothing later than the last
 * call that was answered and may not lag, and takes no answer of an era that
 * is over.
 */
#include <kcc.h>

#include "decoders.h"

#define FEEDS 2
#define STEPS_MAX 40
#define ITEMS_MAX 3

/* Kinds of calls; a watch or a list, and a check, may be outstanding. */
typedef enum CallKind {
    CALL_NONE,
    CALL_LIST,
    CALL_WATCH,
    CALL_CHECK
} CallKind;

typedef struct StoreCall {
    CallKind kind;
    bool may_lag;
    KcTime sent_at;
} StoreCall;

typedef struct FeedRun {
    KcTimers *timers;
    KcTime now;
    KcFeedGroup group;
    KcFeed *feeds[FEEDS];
    StoreCall calls[FEEDS][2];
    uint64_t era;          /* the latest that was named */
    KcTime strong_sent_at; /* of calls that may not lag and were answered */
    const char *finding;
} FeedRun;

/* ---- the store ------------------------------------------------------------ */

static void
note_call(FeedRun *run, const KcFeed *feed, CallKind kind, bool may_lag)
{
    for (int i = 0; i < FEEDS; i++) {
        StoreCall *call = &run->calls[i][kind == CALL_CHECK];

        if (run->feeds[i] == feed) {
            if (call->kind != CALL_NONE) {
                run->finding = "two calls of a kind at once";
            }
            *call = (StoreCall){kind, may_lag, run->now};
        }
    }
}

static void
request_list(void *store, KcFeed *feed, const char *collection,
             const char *after, bool may_lag)
{
    (void)collection;
    (void)after;
    note_call(store, feed, CALL_LIST, may_lag);
}

static void
request_watch(void *store, KcFeed *feed, const char *collection,
              uint64_t revision, KcTime timeout, bool may_lag)
{
    (void)collection;
    (void)revision;
    (void)timeout;
    note_call(store, feed, CALL_WATCH, may_lag);
}

static void
request_check(void *store, KcFeed *feed, const char *collection,
              uint64_t revision, bool may_lag)
{
    (void)collection;
    (void)revision;
    note_call(store, feed, CALL_CHECK, may_lag);
}

static void
cancel_calls(void *store, KcFeed *feed)
{
    FeedRun *run = store;

    for (int i = 0; i < FEEDS; i++) {
        if (run->feeds[i] == feed) {
            run->calls[i][0].kind = CALL_NONE;
            run->calls[i][1].kind = CALL_NONE;
        }
    }
}

static void
on_item(void *context, const KcFeedItem *item, KcTime now)
{
    FeedRun *run = context;

    if (item->changed_after > now) {
        run->finding = "a change in the future";
    }
}

static void
on_store_status(void *context, int code, KcTime now)
{
    (void)context;
    (void)code;
    (void)now;
}

/* ---- steps ----------------------------------------------------------------- */

/* An era as a text, as the header has it. */
static uint64_t
take_era(FuzzInput *input)
{
    static const char *const texts[] = {"1",
                                        "1",
                                        "1",
                                        "2",
                                        "2",
                                        "3",
                                        "9",
                                        "",
                                        "0",
                                        "-1",
                                        "x",
                                        "1x",
                                        " 1",
                                        "9223372036854775807",
                                        "9223372036854775808",
                                        "1e3"};
    int64_t era = 0;

    /* As the store's client does. */
    return KcIni_ParseNumber(texts[FuzzInput_TakeBelow(
                                 input, sizeof(texts) / sizeof(texts[0]))],
                             0, INT64_MAX, &era) == 0
               ? (uint64_t)era
               : 0;
}

static void
fail_call(FeedRun *run, KcFeed *feed, CallKind kind, int code)
{
    if (kind == CALL_CHECK) {
        KcFeed_OnCheckFailure(feed, code, run->now);
    }
    else {
        KcFeed_OnFailure(feed, code, run->now);
    }
}

static void
end_call(FeedRun *run, KcFeed *feed, CallKind kind, FuzzInput *input)
{
    uint32_t count = FuzzInput_TakeBelow(input, ITEMS_MAX);
    uint64_t revision = FuzzInput_TakeNumber(input);

    for (uint32_t i = 0; i < count; i++) {
        KcFeedItem item = {.name = i == 0 ? "a" : "b",
                           .revision.number = FuzzInput_TakeNumber(input),
                           .deleted = FuzzInput_TakeBelow(input, 4) == 0};

        KcFeed_OnItem(feed, &item, run->now);
    }
    switch (kind) {
    case CALL_LIST:
        KcFeed_OnPageEnd(feed, FuzzInput_TakeBelow(input, 4) == 0 ? "b" : "",
                         revision, run->now);
        break;
    case CALL_WATCH:
        KcFeed_OnWatchEnd(feed, revision, run->now);
        break;
    default:
        KcFeed_OnCheckEnd(feed, count, revision, run->now);
        break;
    }
}

static void
answer_call(FeedRun *run, FuzzInput *input)
{
    int number = FuzzInput_TakeBelow(input, FEEDS);
    KcFeed *feed = run->feeds[number];
    StoreCall *call = &run->calls[number][FuzzInput_TakeBelow(input, 2)];
    StoreCall asked = *call;
    uint64_t era = take_era(input);
    int code;

    if (asked.kind == CALL_NONE) {
        return;
    }
    code = KcFeed_OnEra(feed, era, run->now);
    if (code == 0 && era < run->era) {
        run->finding = "an answer of an era that is over";
    }
    run->era = era > run->era ? era : run->era;
    call->kind = CALL_NONE;
    if (code != 0) {
        fail_call(run, feed, asked.kind, code);
        return;
    }
    if (!asked.may_lag && asked.sent_at > run->strong_sent_at) {
        run->strong_sent_at = asked.sent_at;
    }
    end_call(run, feed, asked.kind, input);
}

static void
lose_call(FeedRun *run, FuzzInput *input)
{
    int number = FuzzInput_TakeBelow(input, FEEDS);
    StoreCall *call = &run->calls[number][FuzzInput_TakeBelow(input, 2)];
    CallKind kind = call->kind;

    if (kind != CALL_NONE) {
        call->kind = CALL_NONE;
        fail_call(run, run->feeds[number], kind,
                  FuzzInput_TakeBelow(input, 2) == 0
                      ? KC_ERR_NOT_FOUND
                      : KC_ERR_OBJECT_API_UNAVAILABLE);
    }
}

static void
pass_time(FeedRun *run, FuzzInput *input)
{
    run->now += FuzzInput_Take(input) * 8 * KC_MS;
    KcTimers_Run(run->timers, run->now);
}

static void
tell_news(FeedRun *run, FuzzInput *input)
{
    KcFeed_OnNews(run->feeds[FuzzInput_TakeBelow(input, FEEDS)], run->now);
}

static void
list_again(FeedRun *run, FuzzInput *input)
{
    KcFeed_Relist(run->feeds[FuzzInput_TakeBelow(input, FEEDS)], run->now);
}

static void (*const steps[])(FeedRun *run, FuzzInput *input) = {
    answer_call, answer_call, answer_call, answer_call, lose_call,
    pass_time,   pass_time,   pass_time,   tell_news,   list_again};

/* ---- runs ------------------------------------------------------------------ */

static void
begin_run(FeedRun *run)
{
    run->now = KC_SECOND;
    run->timers = KcTimers_Create(run->now);
    KcFeedGroup_Init(&run->group, &(KcFeedGroupOptions){
                                      .restored_relist_delay = 3 * KC_SECOND});
    for (int i = 0; i < FEEDS; i++) {
        static const KcFeedOps ops = {request_list, request_watch,
                                      cancel_calls, request_check};
        KcFeedOptions options = {.ops = &ops,
                                 .store = run,
                                 .timers = run->timers,
                                 .collection = i == 0 ? "a" : "b",
                                 .retry_delay = 200 * KC_MS,
                                 .retry_delay_max = 500 * KC_MS,
                                 .watch_timeout = 2500 * KC_MS,
                                 .current_watch_timeout = 150 * KC_MS,
                                 .watch_delay = i * 500 * KC_MS,
                                 .lag_timeout = i * 2 * KC_SECOND,
                                 .group = &run->group,
                                 .check_timeout = 2700 * KC_MS,
                                 .check_interval = 1500 * KC_MS,
                                 .on_item = on_item,
                                 .on_store_status = on_store_status,
                                 .context = run,
                                 .certain_timeout = (1 - i) * KC_SECOND};

        run->feeds[i] = KcFeed_Create(&options);
        KcFeed_Start(run->feeds[i], run->now);
    }
}

static void
check_certainty(FeedRun *run)
{
    for (int i = 0; i < FEEDS; i++) {
        KcTime age = KcFeed_CertainAge(run->feeds[i], run->now);

        if (age != KC_NEVER && (run->strong_sent_at == 0 ||
                                run->now - age > run->strong_sent_at)) {
            run->finding = "certain of more than an answer has shown";
        }
    }
}

const char *
Decoders_RunFeed(FuzzInput *input)
{
    FeedRun run = {.now = 0};

    begin_run(&run);
    for (int i = 0; i < STEPS_MAX && input->size > 0 && run.finding == NULL;
         i++) {
        steps[FuzzInput_TakeBelow(input, sizeof(steps) / sizeof(steps[0]))](
            &run, input);
        check_certainty(&run);
    }
    for (int i = 0; i < FEEDS; i++) {
        KcFeed_Free(run.feeds[i]);
    }
    KcTimers_Free(run.timers);
    return run.finding;
}
