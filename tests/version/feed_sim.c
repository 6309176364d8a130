/*
 * Simulated store of the tests of feeds.
 */
#include "feed_sim.h"

#include <glib.h>
#include <string.h>

#define CALL_TIMEOUT (2 * KC_SECOND)
#define WATCH_ANSWER_MARGIN (700 * KC_MS)
/* Of the configuration, if its certainty counts. */
#define CERTAIN_RETRY_DELAY_MAX (300 * KC_MS)

static const char *const names[COLLECTION_COUNT] = {"config", "servers",
                                                    "versions"};

/* Kinds of calls. */
enum { CALL_NONE, CALL_LIST, CALL_WATCH, CALL_CHECK };

/* ---- calls --------------------------------------------------------------- */

static bool
is_in_trouble(const FeedSim *sim)
{
    return sim->now >= sim->trouble->begins_at &&
           sim->now < sim->trouble->ends_at;
}

/* Will a call that begins now never be answered? */
static bool
is_lost(const FeedSim *sim)
{
    const FeedTrouble *trouble = sim->trouble;

    return is_in_trouble(sim) &&
           (trouble->is_silent ||
            (trouble->lost_every != 0 &&
             sim->troubled_calls % trouble->lost_every == 0));
}

static void
start_call(FeedSim *sim, KcFeed *feed, int kind, uint64_t revision,
           KcTime timeout, bool may_lag)
{
    for (int i = 0; i < COLLECTION_COUNT; i++) {
        FeedSimCall *call = &sim->feeds[i].calls[kind == CALL_CHECK];

        /* The first list is requested before the feed is known. */
        if (sim->feeds[i].feed != feed && sim->feeds[i].feed != NULL) {
            continue;
        }
        g_assert_cmpint(call->kind, ==, CALL_NONE);
        sim->troubled_calls += is_in_trouble(sim) ? 1 : 0;
        *call = (FeedSimCall){.kind = kind,
                              .may_lag = may_lag,
                              .dead = is_lost(sim),
                              .revision = revision,
                              .started_at = sim->now,
                              .timeout = timeout};
        sim->strong_calls += may_lag ? 0 : 1;
        sim->lagging_calls += may_lag ? 1 : 0;
        return;
    }
    g_assert_not_reached();
}

static void
request_list(void *store, KcFeed *feed, const char *collection,
             const char *after, bool may_lag)
{
    (void)collection;
    (void)after;
    start_call(store, feed, CALL_LIST, 0, CALL_TIMEOUT, may_lag);
}

static void
request_watch(void *store, KcFeed *feed, const char *collection,
              uint64_t revision, KcTime timeout, bool may_lag)
{
    (void)collection;
    start_call(store, feed, CALL_WATCH, revision, timeout, may_lag);
}

static void
request_check(void *store, KcFeed *feed, const char *collection,
              uint64_t revision, bool may_lag)
{
    (void)collection;
    start_call(store, feed, CALL_CHECK, revision, CALL_TIMEOUT, may_lag);
}

static void
cancel_calls(void *store, KcFeed *feed)
{
    FeedSim *sim = store;

    for (int i = 0; i < COLLECTION_COUNT; i++) {
        if (sim->feeds[i].feed == feed) {
            memset(sim->feeds[i].calls, 0, sizeof(sim->feeds[i].calls));
        }
    }
}

static const KcFeedOps feed_ops = {request_list, request_watch, cancel_calls,
                                   request_check};

/* ---- the feeds' callbacks ------------------------------------------------ */

static void
on_item(void *context, const KcFeedItem *item, KcTime now)
{
    FeedSimFeed *feed = context;
    FeedSim *sim = feed->sim;
    int serial = sim->writes[item->revision.number].serial;

    sim->known_serial[feed->collection] =
        MAX(sim->known_serial[feed->collection], serial);
    if (sim->change_revision != 0 && sim->known_at == 0 &&
        sim->writes[sim->change_revision].collection == feed->collection &&
        item->revision.number >= sim->change_revision) {
        g_assert_cmpint(item->changed_after, <=,
                        sim->writes[item->revision.number].at);
        sim->known_at = now;
    }
}

/* As in a gateway: the other feeds list again. */
static void
on_store_status(void *context, int code, KcTime now)
{
    FeedSim *sim = ((FeedSimFeed *)context)->sim;

    (void)code;
    for (int i = 0; i < COLLECTION_COUNT; i++) {
        if (sim->feeds[i].feed != NULL) {
            KcFeed_Relist(sim->feeds[i].feed, now);
        }
    }
}

static void
on_watch_dead(void *context, const char *collection)
{
    FeedSimFeed *feed = context;

    g_assert_cmpstr(collection, ==, names[feed->collection]);
    feed->sim->dead_reports++;
}

/* ---- the store ----------------------------------------------------------- */

void
FeedSim_Write(FeedSim *sim, int collection)
{
    sim->revision++;
    g_assert_cmpuint(sim->revision, <, FEED_SIM_REVISIONS_MAX);
    sim->writes[sim->revision].collection = collection;
    sim->writes[sim->revision].at = sim->now;
    sim->writes[sim->revision].serial = ++sim->serial;
}

/* The revision that a call is answered from. */
static uint64_t
visible_revision(const FeedSim *sim, const FeedSimCall *call)
{
    uint64_t revision = sim->revision;
    KcTime read_at = sim->now - sim->trouble->answer_delay -
                     (call->may_lag ? sim->trouble->lag : 0);

    while (revision > 1 && sim->writes[revision].at > read_at) {
        revision--;
    }
    return revision;
}

/* Passes the last change of the collection after a revision.  Returns whether
 * there is one. */
static bool
pass_change(FeedSimFeed *feed, uint64_t after, uint64_t until)
{
    FeedSim *sim = feed->sim;
    KcFeedItem item = {.name = "main", .body = ""};

    for (uint64_t revision = until; revision > after; revision--) {
        if (sim->writes[revision].collection == feed->collection) {
            item.revision.number = revision;
            KcFeed_OnItem(feed->feed, &item, sim->now);
            return true;
        }
    }
    return false;
}

static bool
has_change(const FeedSimFeed *feed, uint64_t after, uint64_t until)
{
    for (uint64_t revision = until; revision > after; revision--) {
        if (feed->sim->writes[revision].collection == feed->collection) {
            return true;
        }
    }
    return false;
}

static void
fail_call(FeedSimFeed *feed, FeedSimCall *call, int code)
{
    bool is_check = call->kind == CALL_CHECK;

    call->kind = CALL_NONE;
    if (is_check) {
        KcFeed_OnCheckFailure(feed->feed, code, feed->sim->now);
    }
    else {
        KcFeed_OnFailure(feed->feed, code, feed->sim->now);
    }
}

/* A copy that lags may still be of the store before it was restored. */
static uint64_t
answered_era(const FeedSim *sim, const FeedSimCall *call)
{
    return call->may_lag && sim->was_restored &&
                   sim->now < sim->trouble->ends_at + sim->trouble->lag
               ? sim->era - 1
               : sim->era;
}

/* Answers a call if it is time. */
static void
serve_call(FeedSimFeed *feed, FeedSimCall *call)
{
    FeedSim *sim = feed->sim;
    KcTime age = sim->now - call->started_at;
    FeedSimCall asked = *call;
    uint64_t revision;
    KcTime latency = sim->trouble->slow_latency != 0 && is_in_trouble(sim)
                         ? sim->trouble->slow_latency
                         : sim->trouble->latency;
    int code;

    if (asked.dead) {
        if (age >= MAX(CALL_TIMEOUT, asked.timeout + (asked.kind == CALL_WATCH
                                                          ? WATCH_ANSWER_MARGIN
                                                          : 0))) {
            fail_call(feed, call, KC_ERR_OBJECT_API_UNAVAILABLE);
        }
        return;
    }
    if (sim->trouble->is_away && is_in_trouble(sim)) {
        fail_call(feed, call, KC_ERR_OBJECT_API_UNAVAILABLE);
        return;
    }
    if (age < latency) {
        return;
    }
    /* A watch from before the store was restored waits on. */
    if (asked.revision > sim->revision &&
        asked.started_at >= sim->trouble->ends_at) {
        fail_call(feed, call, KC_ERR_NOT_FOUND);
        return;
    }
    revision = visible_revision(sim, call);
    if (asked.kind == CALL_WATCH && age < asked.timeout + latency &&
        !has_change(feed, asked.revision, revision)) {
        return;
    }
    code = KcFeed_OnEra(feed->feed, answered_era(sim, &asked), sim->now);
    if (code != 0) {
        fail_call(feed, call, code);
        return;
    }
    call->kind = CALL_NONE;
    if (asked.kind == CALL_LIST) {
        pass_change(feed, 0, revision);
        KcFeed_OnPageEnd(feed->feed, "", revision, sim->now);
    }
    else if (asked.kind == CALL_WATCH) {
        pass_change(feed, asked.revision, revision);
        KcFeed_OnWatchEnd(feed->feed, revision, sim->now);
    }
    else {
        KcFeed_OnCheckEnd(feed->feed,
                          pass_change(feed, asked.revision, revision) ? 1 : 0,
                          revision, sim->now);
    }
}

/* The store has lost what it acknowledged since its copy was made. */
static void
restore_copy(FeedSim *sim)
{
    KcTime copied_at = sim->trouble->begins_at - sim->trouble->copy_age;

    while (sim->revision > COLLECTION_COUNT &&
           sim->writes[sim->revision].at > copied_at) {
        sim->revision--;
    }
    sim->era++;
    sim->was_restored = true;
}

/* ---- runs ---------------------------------------------------------------- */

/* The feeds of a gateway. */
static void
start_feeds(FeedSim *sim, const FeedSimOptions *sim_options)
{
    static const struct {
        KcTime watch_timeout;
        KcTime current_watch_timeout;
        KcTime watch_delay;
        KcTime lag_timeout;
        KcTime promise;
    } rows[COLLECTION_COUNT] = {
        [ROUTING] = {30 * KC_SECOND, 0, 0, 0, 3 * KC_SECOND},
        [SERVERS] = {2500 * KC_MS, 150 * KC_MS, 900 * KC_MS, 2250 * KC_MS,
                     3 * KC_SECOND},
        [VERSIONS] = {30 * KC_SECOND, 0, 500 * KC_MS, 0, 5 * KC_SECOND},
    };

    KcFeedGroup_Init(&sim->group, &(KcFeedGroupOptions){
                                      .restored_relist_delay = 3 * KC_SECOND});
    for (int i = 0; i < COLLECTION_COUNT; i++) {
        KcFeedOptions options = {
            .ops = &feed_ops,
            .store = sim,
            .timers = sim->timers,
            .collection = names[i],
            .retry_delay = 200 * KC_MS,
            .retry_delay_max = i == ROUTING && sim_options->certain_timeout > 0
                                   ? CERTAIN_RETRY_DELAY_MAX
                                   : 500 * KC_MS,
            .watch_timeout = rows[i].watch_timeout,
            .current_watch_timeout =
                sim_options->has_checks ? rows[i].current_watch_timeout : 0,
            .watch_delay = rows[i].watch_delay,
            .lag_timeout = rows[i].lag_timeout,
            .group = &sim->group,
            .check_timeout =
                sim_options->has_checks ? rows[i].promise * 90 / 100 : 0,
            .behind_timeout = i == VERSIONS ? rows[i].promise * 60 / 100 : 0,
            .check_interval = rows[i].promise * 50 / 100,
            .on_item = on_item,
            .on_store_status = on_store_status,
            .on_watch_dead = on_watch_dead,
            .context = &sim->feeds[i],
            .certain_timeout =
                i == ROUTING ? sim_options->certain_timeout : 0};

        sim->feeds[i].sim = sim;
        sim->feeds[i].collection = i;
        sim->feeds[i].feed = KcFeed_Create(&options);
        KcFeed_Start(sim->feeds[i].feed, sim->now);
    }
}

bool
FeedSim_KillWatches(FeedSim *sim)
{
    const FeedSimCall *servers_call = &sim->feeds[SERVERS].calls[0];

    if (sim->trouble->waits_for_strong &&
        (servers_call->kind != CALL_WATCH || servers_call->may_lag)) {
        return false;
    }
    for (int i = 0; i < COLLECTION_COUNT; i++) {
        FeedSimCall *call = &sim->feeds[i].calls[0];

        if (((sim->trouble->dead_watches >> i) & 1) != 0 &&
            call->kind == CALL_WATCH) {
            call->dead = true;
        }
    }
    return true;
}

void
FeedSim_Begin(FeedSim *sim, const FeedTrouble *trouble,
              const FeedSimOptions *options)
{
    memset(sim, 0, sizeof(*sim));
    sim->trouble = trouble;
    sim->now = KC_SECOND;
    sim->era = 1;
    sim->timers = KcTimers_Create(sim->now);
    for (int i = 0; i < COLLECTION_COUNT; i++) {
        FeedSim_Write(sim, i);
    }
    start_feeds(sim, options);
}

void
FeedSim_Step(FeedSim *sim)
{
    const FeedTrouble *trouble = sim->trouble;
    bool is_frozen = trouble->is_frozen && is_in_trouble(sim);

    if (trouble->copy_age != 0 && !sim->was_restored &&
        sim->now >= trouble->ends_at) {
        restore_copy(sim);
    }
    for (int i = 0; i < COLLECTION_COUNT && !is_frozen; i++) {
        for (int j = 0; j < 2; j++) {
            if (sim->feeds[i].calls[j].kind != CALL_NONE) {
                serve_call(&sim->feeds[i], &sim->feeds[i].calls[j]);
            }
        }
    }
    if (!is_frozen) {
        KcTimers_Run(sim->timers, sim->now);
    }
    sim->now += KC_MS;
    if (trouble->write_interval != 0 &&
        sim->now % trouble->write_interval == 0) {
        FeedSim_Write(sim, SERVERS);
    }
}

void
FeedSim_End(FeedSim *sim)
{
    for (int i = 0; i < COLLECTION_COUNT; i++) {
        KcFeed_Free(sim->feeds[i].feed);
    }
    KcTimers_Free(sim->timers);
}
