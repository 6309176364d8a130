/*
 * Feeds: list a collection of the store, then watch it for changes.
 */
#include <assert.h>
#include <stdlib.h>

#include "kcc_feed.h"

typedef enum FeedState {
    FEED_IDLE = 0, /* no call outstanding */
    FEED_LISTING,
    FEED_WATCHING
} FeedState;

struct KcFeed {
    KcFeedOptions options;
    FeedState state;
    char page_after[KC_OBJECT_NAME_MAX]; /* next page begins after this name;
                                          * "" for the first */
    bool needs_list;                     /* the next call is a list */
    bool has_list;          /* a list was completed at least once */
    bool store_lost;        /* the last call failed */
    uint64_t revision;      /* the next watch begins after it */
    uint64_t list_revision; /* of the first page of the list */
    KcTime listed_at;       /* end of the last complete list */
    KcTime called_at;       /* start of the last call */
    KcTime retry_delay;     /* after the next failure */
    KcTimer timer;          /* starts the next call */
};

/* Starts the next list or watch. */
static void
start_call(KcFeed *feed, KcTime now)
{
    const KcFeedOptions *options = &feed->options;

    feed->called_at = now;
    if (options->relist > 0 && feed->has_list &&
        now - feed->listed_at >= options->relist) {
        feed->needs_list = true;
    }
    if (feed->needs_list) {
        feed->state = FEED_LISTING;
        if (feed->page_after[0] == '\0' && options->begins != NULL) {
            options->begins(options->context);
        }
        options->ops->list(options->store, feed, options->kind,
                           feed->page_after);
    }
    else {
        feed->state = FEED_WATCHING;
        options->ops->watch(options->store, feed, options->kind,
                            feed->revision, options->wait);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    start_call(timer->owner, now);
}

KcFeed *
KcFeed_Create(const KcFeedOptions *options)
{
    KcFeed *feed = KcMem_New(sizeof(*feed));

    feed->options = *options;
    feed->needs_list = true;
    feed->retry_delay = options->retry;
    KcTimer_Init(&feed->timer, on_timer, feed);
    return feed;
}

void
KcFeed_Free(KcFeed *feed)
{
    KcTimers_Clear(feed->options.timers, &feed->timer);
    if (feed->state != FEED_IDLE) {
        feed->options.ops->cancel(feed->options.store, feed);
    }
    free(feed);
}

void
KcFeed_Start(KcFeed *feed, KcTime now)
{
    start_call(feed, now);
}

void
KcFeed_SetPace(KcFeed *feed, KcTime watch_delay, KcTime relist_interval)
{
    feed->options.gather = watch_delay;
    feed->options.relist = relist_interval;
}

void
KcFeed_Poke(KcFeed *feed, KcTime now)
{
    if (feed->state != FEED_WATCHING) {
        return;
    }
    feed->options.ops->cancel(feed->options.store, feed);
    feed->needs_list = true;
    start_call(feed, now);
}

/* Ends a call that the store answered.  The state is idle before the owner is
 * notified, as the owner may call KcFeed_Poke(). */
static void
on_call_answered(KcFeed *feed, KcTime now)
{
    feed->state = FEED_IDLE;
    feed->retry_delay = feed->options.retry;
    if (feed->store_lost) {
        feed->store_lost = false;
        feed->options.contact(feed->options.context, 0, now);
    }
}

/* Starts the next call after a delay; at once when it isn't positive. */
static void
schedule_call(KcFeed *feed, KcTime delay, KcTime now)
{
    feed->state = FEED_IDLE;
    if (delay > 0) {
        KcTimers_Set(feed->options.timers, &feed->timer, now + delay);
    }
    else {
        start_call(feed, now);
    }
}

void
KcFeed_OnItem(KcFeed *feed, const KcFeedItem *item, KcTime now)
{
    assert(feed->state != FEED_IDLE);
    feed->options.item(feed->options.context, item, now);
}

void
KcFeed_OnPage(KcFeed *feed, const char *after, uint64_t revision, KcTime now)
{
    assert(feed->state == FEED_LISTING);
    on_call_answered(feed, now);
    if (feed->page_after[0] == '\0') {
        feed->list_revision = revision;
    }
    KcName_Copy(feed->page_after, after, sizeof(feed->page_after));
    if (after[0] != '\0') {
        schedule_call(feed, 0, now);
        return;
    }
    /* The watch begins at the first page's revision, so that it reports what
     * changed while later pages were read. */
    feed->revision = feed->list_revision;
    feed->needs_list = false;
    feed->has_list = true;
    feed->listed_at = now;
    if (feed->options.listed != NULL) {
        feed->options.listed(feed->options.context, now);
    }
    schedule_call(feed, feed->options.gather, now);
}

void
KcFeed_OnWatched(KcFeed *feed, uint64_t revision, KcTime now)
{
    assert(feed->state == FEED_WATCHING);
    on_call_answered(feed, now);
    if (revision > feed->revision) {
        feed->revision = revision;
    }
    schedule_call(feed, feed->options.gather, now);
}

void
KcFeed_OnFailed(KcFeed *feed, int code, KcTime now)
{
    assert(feed->state != FEED_IDLE);
    /* A list that failed starts again at its first page, which may be out of
     * date.  A failed watch is followed by a list, too: a list is answered
     * at once, while a watch that the store will never answer looks the
     * same as one without changes. */
    feed->state = FEED_IDLE;
    feed->page_after[0] = '\0';
    feed->needs_list = true;
    if (code == KC_ERR_NOT_FOUND) {
        on_call_answered(feed, now);
        schedule_call(feed, feed->options.gather, now);
        return;
    }
    if (!feed->store_lost) {
        feed->store_lost = true;
        feed->options.contact(feed->options.context, code, now);
    }
    schedule_call(feed, feed->called_at + feed->retry_delay - now, now);
    feed->retry_delay *= 2;
    if (feed->retry_delay > feed->options.retry_max) {
        feed->retry_delay = feed->options.retry_max;
    }
}
