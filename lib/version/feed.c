/*
 * Feeds: list a collection of the store, then watch it for changes.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "feed_internal.h"

static bool
is_list_due(const KcFeed *feed, KcTime now)
{
    const KcFeedOptions *options = &feed->options;

    if (feed->relist_at != 0 && now >= feed->relist_at) {
        return true;
    }
    return options->relist_interval > 0 && feed->has_list &&
           now - feed->listed_at >= options->relist_interval;
}

void
KcFeed_StartCall(KcFeed *feed, KcTime now)
{
    const KcFeedOptions *options = &feed->options;

    feed->called_at = now;
    feed->call_may_lag = now < feed->lag_until && feed->relist_at == 0;
    if (is_list_due(feed, now)) {
        feed->needs_list = true;
    }
    if (feed->needs_list) {
        feed->state = FEED_LISTING;
        if (feed->page_after == NULL) {
            feed->list_called_at = now;
            feed->list_may_lag = false;
            if (options->on_list_begin != NULL) {
                options->on_list_begin(options->context);
            }
        }
        feed->list_may_lag = feed->list_may_lag || feed->call_may_lag;
        options->ops->list(options->store, feed, options->collection,
                           feed->page_after != NULL ? feed->page_after : "",
                           feed->call_may_lag);
    }
    else {
        KcTime timeout =
            feed->call_may_lag || options->current_watch_timeout == 0
                ? options->watch_timeout
                : options->current_watch_timeout;

        if (feed->relist_at != 0 && timeout > feed->relist_at - now) {
            timeout = feed->relist_at - now;
        }
        feed->state = FEED_WATCHING;
        options->ops->watch(options->store, feed, options->collection,
                            feed->watch_revision, timeout, feed->call_may_lag);
        if (feed->call_may_lag) {
            KcTimers_Set(options->timers, &feed->timer, feed->lag_until);
        }
        KcFeedCheck_Schedule(feed, now);
    }
}

/* Copies where the next page begins; "": it is the first. */
static void
set_page_after(KcFeed *feed, const char *after)
{
    size_t size = strlen(after) + 1;

    free(feed->page_after);
    feed->page_after = NULL;
    if (after[0] != '\0') {
        feed->page_after = KcMem_New(size);
        memcpy(feed->page_after, after, size);
    }
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcFeed *feed = timer->owner;

    if (feed->state == FEED_WATCHING) {
        /* A lagging copy might never report what the store knows. */
        feed->options.ops->cancel(feed->options.store, feed);
    }
    KcFeed_StartCall(feed, now);
}

KcFeed *
KcFeed_Create(const KcFeedOptions *options)
{
    KcFeed *feed = KcMem_New(sizeof(*feed));

    feed->options = *options;
    feed->needs_list = true;
    feed->retry_delay = options->retry_delay;
    KcTimer_Init(&feed->timer, on_timer, feed);
    KcFeedCheck_Init(feed);
    return feed;
}

void
KcFeed_Free(KcFeed *feed)
{
    KcTimers_Clear(feed->options.timers, &feed->timer);
    if (feed->state != FEED_IDLE) {
        feed->options.ops->cancel(feed->options.store, feed);
    }
    KcFeedCheck_Clear(feed);
    free(feed->page_after);
    free(feed);
}

void
KcFeed_Start(KcFeed *feed, KcTime now)
{
    /* What a new process has read before it knows every change may lag. */
    feed->lag_until = now + feed->options.lag_timeout;
    feed->current_at = now;
    feed->checked_at = now;
    KcFeed_StartCall(feed, now);
}

void
KcFeed_SetIntervals(KcFeed *feed, KcTime watch_delay, KcTime relist_interval)
{
    feed->options.watch_delay = watch_delay;
    feed->options.relist_interval = relist_interval;
}

void
KcFeed_Hurry(KcFeed *feed, KcTime min_interval, KcTime now)
{
    KcTime due_at = feed->called_at + min_interval;

    if (feed->state != FEED_IDLE || feed->needs_list ||
        feed->timer.due_at <= due_at) {
        return; /* a call is outstanding, or due soon, or to be retried */
    }
    KcTimers_Set(feed->options.timers, &feed->timer,
                 due_at > now ? due_at : now);
}

void
KcFeed_Relist(KcFeed *feed, KcTime now)
{
    if (feed->state != FEED_WATCHING) {
        return;
    }
    (void)KcFeedCheck_Stop(feed);
    feed->options.ops->cancel(feed->options.store, feed);
    KcTimers_Clear(feed->options.timers, &feed->timer);
    feed->needs_list = true;
    feed->lag_until = 0;
    KcFeed_StartCall(feed, now);
}

/* Ends a call that the store answered.  The state is idle before the owner is
 * notified, as the owner may call KcFeed_Relist(). */
static void
on_call_answered(KcFeed *feed, KcTime now)
{
    if (KcFeedCheck_Stop(feed)) {
        feed->options.ops->cancel(feed->options.store, feed);
    }
    feed->state = FEED_IDLE;
    feed->retry_delay = feed->options.retry_delay;
    KcTimers_Clear(feed->options.timers, &feed->timer);
    if (!feed->call_may_lag) {
        feed->lag_until = now + feed->options.lag_timeout;
    }
    if (feed->store_unavailable) {
        feed->store_unavailable = false;
        feed->options.on_store_status(feed->options.context, 0, now);
    }
}

/* Starts the next call after a delay, immediately if it is not positive, and
 * at the latest when calls may not lag any more. */
static void
schedule_call(KcFeed *feed, KcTime delay, KcTime now)
{
    feed->state = FEED_IDLE;
    if (feed->lag_until > now && now + delay > feed->lag_until) {
        delay = feed->lag_until - now;
    }
    if (delay > 0) {
        KcTimers_Set(feed->options.timers, &feed->timer, now + delay);
    }
    else {
        KcFeed_StartCall(feed, now);
    }
}

void
KcFeed_OnItem(KcFeed *feed, const KcFeedItem *item, KcTime now)
{
    KcFeedItem dated = *item;

    assert(feed->state != FEED_IDLE);
    dated.changed_after = feed->has_list ? feed->current_at : 0;
    dated.revision.era =
        feed->state == FEED_LISTING ? feed->list_era : feed->era;
    feed->options.on_item(feed->options.context, &dated, now);
}

/* The list is complete. */
static void
note_listed_era(KcFeed *feed, KcTime now)
{
    if (feed->has_list && feed->era != feed->list_era) {
        feed->relist_at =
            now + feed->options.group->options.restored_relist_delay;
    }
    else if (now >= feed->relist_at) {
        feed->relist_at = 0;
    }
    feed->era = feed->list_era;
}

void
KcFeed_OnPageEnd(KcFeed *feed, const char *after, uint64_t revision,
                 KcTime now)
{
    assert(feed->state == FEED_LISTING);
    on_call_answered(feed, now);
    if (feed->page_after == NULL || revision < feed->list_revision) {
        feed->list_revision = revision;
    }
    set_page_after(feed, after);
    if (feed->page_after != NULL) {
        schedule_call(feed, 0, now);
        return;
    }
    /* The watch begins at the earliest page's revision, so that it reports
     * what changed while later pages were read, and what a lagging copy
     * missed. */
    feed->watch_revision = feed->list_revision;
    note_listed_era(feed, now);
    feed->needs_list = false;
    feed->has_list = true;
    feed->listed_at = now;
    KcFeedCheck_OnAnswer(feed, feed->list_revision, feed->list_may_lag,
                         feed->list_called_at, feed->list_called_at, now);
    if (feed->options.on_list_end != NULL) {
        feed->options.on_list_end(feed->options.context, now);
    }
    schedule_call(feed, feed->options.watch_delay, now);
}

void
KcFeed_OnWatchEnd(KcFeed *feed, uint64_t revision, KcTime now)
{
    assert(feed->state == FEED_WATCHING);
    on_call_answered(feed, now);
    if (revision > feed->watch_revision) {
        feed->watch_revision = revision;
    }
    KcFeedCheck_OnAnswer(feed, revision, feed->call_may_lag, feed->called_at,
                         now, now);
    schedule_call(feed, feed->options.watch_delay, now);
}

void
KcFeed_OnFailure(KcFeed *feed, int code, KcTime now)
{
    assert(feed->state != FEED_IDLE);
    /* A failed list starts again at its first page, as the pages read so far
     * may be out of date.  A failed watch is followed by a list, too: a list
     * is answered immediately, while a watch that the store will never answer
     * looks like one without changes. */
    if (KcFeedCheck_Stop(feed)) {
        feed->options.ops->cancel(feed->options.store, feed);
    }
    feed->state = FEED_IDLE;
    set_page_after(feed, "");
    feed->needs_list = true;
    feed->lag_until = 0;
    if (code == KC_ERR_NOT_FOUND) {
        on_call_answered(feed, now);
        feed->lag_until = 0;
        schedule_call(feed, feed->options.watch_delay, now);
        return;
    }
    KcTimers_Clear(feed->options.timers, &feed->timer);
    if (!feed->store_unavailable) {
        feed->store_unavailable = true;
        feed->options.on_store_status(feed->options.context, code, now);
    }
    schedule_call(feed, feed->called_at + feed->retry_delay - now, now);
    feed->retry_delay *= 2;
    if (feed->retry_delay > feed->options.retry_delay_max) {
        feed->retry_delay = feed->options.retry_delay_max;
    }
}
