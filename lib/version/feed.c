/*
 * A collection of objects, listed and watched.
 */
#include <assert.h>
#include <stdlib.h>

#include "kcc_feed.h"

typedef enum FeedState {
    FEED_IDLE = 0, /* waits for its timer */
    FEED_LISTING,
    FEED_WATCHING
} FeedState;

struct KcFeed {
    KcFeedOptions options;
    FeedState state;
    char after[KC_OBJECT_NAME_MAX]; /* next page begins after it */
    bool must_list;
    bool listed;
    bool lost;
    uint64_t revision; /* next watch begins after it */
    uint64_t first;    /* revision of the first page of a list */
    KcTime listed_at;
    KcTime called_at;
    KcTime delay; /* between a call that fails and the next */
    KcTimer timer;
};

static void
call(KcFeed *feed, KcTime now)
{
    const KcFeedOptions *options = &feed->options;

    feed->called_at = now;
    if (options->relist_interval > 0 && feed->listed &&
        now - feed->listed_at >= options->relist_interval) {
        feed->must_list = true;
    }
    if (feed->must_list) {
        feed->state = FEED_LISTING;
        if (feed->after[0] == '\0' && options->on_list_begin != NULL) {
            options->on_list_begin(options->context);
        }
        options->ops->list(options->store, feed, options->collection,
                           feed->after);
    }
    else {
        feed->state = FEED_WATCHING;
        options->ops->watch(options->store, feed, options->collection,
                            feed->revision, options->watch_timeout);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    call(timer->owner, now);
}

KcFeed *
KcFeed_Create(const KcFeedOptions *options)
{
    KcFeed *feed = KcMem_New(sizeof(*feed));

    feed->options = *options;
    feed->must_list = true;
    feed->delay = options->retry_delay;
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
    call(feed, now);
}

void
KcFeed_SetIntervals(KcFeed *feed, KcTime gather, KcTime relist)
{
    feed->options.watch_delay = gather;
    feed->options.relist_interval = relist;
}

void
KcFeed_Relist(KcFeed *feed, KcTime now)
{
    if (feed->state != FEED_WATCHING) {
        return;
    }
    feed->options.ops->cancel(feed->options.store, feed);
    feed->must_list = true;
    call(feed, now);
}

/* The call is over; what is told of it may poke the feed. */
static void
heard(KcFeed *feed, KcTime now)
{
    feed->state = FEED_IDLE;
    feed->delay = feed->options.retry_delay;
    if (feed->lost) {
        feed->lost = false;
        feed->options.on_store_status(feed->options.context, 0, now);
    }
}

/* The next call follows after a delay, or at once. */
static void
go_on(KcFeed *feed, KcTime delay, KcTime now)
{
    feed->state = FEED_IDLE;
    if (delay > 0) {
        KcTimers_Set(feed->options.timers, &feed->timer, now + delay);
    }
    else {
        call(feed, now);
    }
}

void
KcFeed_OnItem(KcFeed *feed, const KcFeedItem *item, KcTime now)
{
    assert(feed->state != FEED_IDLE);
    feed->options.on_item(feed->options.context, item, now);
}

void
KcFeed_OnPageEnd(KcFeed *feed, const char *after, uint64_t revision,
                 KcTime now)
{
    assert(feed->state == FEED_LISTING);
    heard(feed, now);
    if (feed->after[0] == '\0') {
        feed->first = revision;
    }
    KcText_Copy(feed->after, after, sizeof(feed->after));
    if (after[0] != '\0') {
        go_on(feed, 0, now);
        return;
    }
    /* What changed while later pages were read is watched from the first. */
    feed->revision = feed->first;
    feed->must_list = false;
    feed->listed = true;
    feed->listed_at = now;
    if (feed->options.on_list_end != NULL) {
        feed->options.on_list_end(feed->options.context, now);
    }
    go_on(feed, feed->options.watch_delay, now);
}

void
KcFeed_OnWatchEnd(KcFeed *feed, uint64_t revision, KcTime now)
{
    assert(feed->state == FEED_WATCHING);
    heard(feed, now);
    if (revision > feed->revision) {
        feed->revision = revision;
    }
    go_on(feed, feed->options.watch_delay, now);
}

void
KcFeed_OnFailure(KcFeed *feed, int code, KcTime now)
{
    assert(feed->state != FEED_IDLE);
    /* A list that broke off begins again: its first pages may be old.  After
     * a failure a list is asked for, since it is answered at once, while a
     * watch that is never answered looks like one that has nothing to tell. */
    feed->state = FEED_IDLE;
    feed->after[0] = '\0';
    feed->must_list = true;
    if (code == KC_ERR_NOT_FOUND) {
        heard(feed, now);
        go_on(feed, feed->options.watch_delay, now);
        return;
    }
    if (!feed->lost) {
        feed->lost = true;
        feed->options.on_store_status(feed->options.context, code, now);
    }
    go_on(feed, feed->called_at + feed->delay - now, now);
    feed->delay *= 2;
    if (feed->delay > feed->options.retry_delay_max) {
        feed->delay = feed->options.retry_delay_max;
    }
}
