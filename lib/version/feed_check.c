/*
 * Checks of watches.  A watch whose connection is dead cannot be told from one
 * without changes, and may last for long.  What the answers to the other feeds
 * of the store show of its revision tells whether there may be a change that
 * the watch has not reported; a check asks for it.
 */
#include <assert.h>

#include "feed_internal.h"

/* A later revision than the feed's may be of a change that its watch is about
 * to report. */
#define CHECK_DELAY (100 * KC_MS)

void
KcFeedGroup_Init(KcFeedGroup *group, const KcFeedGroupOptions *options)
{
    *group = (KcFeedGroup){.options = *options};
    TAILQ_INIT(&group->feeds);
}

/* Time by which a check that may lag must be answered. */
#define LAGGING_ANSWER_TIME (150 * KC_MS)

/* Time in which a check that may lag should show what an answer to another
 * feed has shown. */
#define LAGGING_CHECK_TIME (CHECK_DELAY + 2 * LAGGING_ANSWER_TIME)

/* Time at which a check must not lag any more, as a check that may has not
 * found what the store is known to have. */
static KcTime
behind_deadline(const KcFeed *feed)
{
    KcTime deadline = feed->current_at + feed->options.behind_timeout;
    KcTime shown_at = feed->options.group->current_shown_at;

    return deadline > shown_at + LAGGING_CHECK_TIME
               ? deadline
               : shown_at + LAGGING_CHECK_TIME;
}

/* Time at which a check must not lag any more. */
static KcTime
check_deadline(const KcFeed *feed)
{
    KcTime deadline = feed->current_at + feed->options.check_timeout;

    if (feed->options.behind_timeout > 0 &&
        feed->watch_revision < feed->options.group->current_revision &&
        deadline > behind_deadline(feed)) {
        deadline = behind_deadline(feed);
    }
    if (feed->options.certain_timeout > 0 &&
        deadline > feed->certain_at + feed->options.certain_timeout) {
        deadline = feed->certain_at + feed->options.certain_timeout;
    }
    if (feed->news_at > feed->current_at &&
        deadline > feed->news_at + CHECK_DELAY) {
        deadline = feed->news_at + CHECK_DELAY;
    }
    return deadline;
}

/* Time of the next check that may lag; the deadline if none has a use. */
static KcTime
lagging_check_at(const KcFeed *feed, KcTime now)
{
    const KcFeedGroup *group = feed->options.group;
    KcTime last_at = check_deadline(feed) - LAGGING_ANSWER_TIME;
    KcTime first_at = now + CHECK_DELAY;
    KcTime due_at = feed->checked_at + feed->options.check_interval;

    if (feed->watch_revision >= group->seen_revision) {
        return check_deadline(feed);
    }
    /* A check moves the deadline if the feed is behind an answer that did not
     * lag. */
    if (due_at > last_at && feed->watch_revision < group->current_revision) {
        due_at = last_at;
    }
    due_at = due_at > first_at ? due_at : first_at;
    if (feed->check_timer.is_set && feed->check_timer.due_at < due_at) {
        due_at = feed->check_timer.due_at;
    }
    return due_at <= last_at ? due_at : check_deadline(feed);
}

static void
on_check_timer(KcTimer *timer, KcTime now)
{
    KcFeed *feed = timer->owner;
    const KcFeedOptions *options = &feed->options;

    feed->is_checking = true;
    feed->check_may_lag = now < check_deadline(feed);
    feed->checked_at = now;
    options->ops->check(options->store, feed, options->collection,
                        feed->watch_revision, feed->check_may_lag);
}

void
KcFeedCheck_Init(KcFeed *feed)
{
    assert(feed->options.group != NULL || feed->options.check_timeout == 0);
    KcTimer_Init(&feed->check_timer, on_check_timer, feed);
    if (feed->options.group != NULL) {
        TAILQ_INSERT_TAIL(&feed->options.group->feeds, feed, group_link);
    }
}

void
KcFeedCheck_Clear(KcFeed *feed)
{
    KcTimers_Clear(feed->options.timers, &feed->check_timer);
    if (feed->options.group != NULL) {
        TAILQ_REMOVE(&feed->options.group->feeds, feed, group_link);
    }
}

void
KcFeedCheck_Schedule(KcFeed *feed, KcTime now)
{
    const KcFeedOptions *options = &feed->options;
    KcTime due_at;

    /* A watch that may lag ends when the timeout of the lag has passed. */
    if (options->check_timeout == 0 || feed->state != FEED_WATCHING ||
        feed->call_may_lag) {
        return;
    }
    if (feed->era == options->group->era &&
        feed->watch_revision >= options->group->current_revision &&
        feed->current_at < options->group->current_at) {
        feed->current_at = options->group->current_at;
    }
    if (feed->is_checking) {
        return; /* the next one is planned when it ends */
    }
    due_at = lagging_check_at(feed, now);
    KcTimers_Set(options->timers, &feed->check_timer,
                 due_at > now ? due_at : now);
}

void
KcFeed_OnNews(KcFeed *feed, KcTime now)
{
    feed->news_at = now;
    KcFeedCheck_Schedule(feed, now);
}

bool
KcFeedCheck_Stop(KcFeed *feed)
{
    bool was_checking = feed->is_checking;

    KcTimers_Clear(feed->options.timers, &feed->check_timer);
    feed->is_checking = false;
    return was_checking;
}

/* Notes what an answer shows of the store, and lets the other feeds plan their
 * checks by it. */
static void
note_revision(KcFeed *feed, uint64_t revision, bool may_lag, KcTime sent_at,
              KcTime at, KcTime now)
{
    KcFeedGroup *group = feed->options.group;
    KcFeed *member;

    if (!may_lag) {
        KcFeedCertainty_OnAnswer(feed, revision, sent_at);
    }
    if (group == NULL) {
        return;
    }
    if (revision > group->seen_revision) {
        group->seen_revision = revision;
    }
    if (!may_lag && revision >= group->current_revision) {
        group->current_revision = revision;
        group->current_at = at > group->current_at ? at : group->current_at;
        group->current_shown_at = now;
        if (sent_at > group->current_sent_at) {
            group->current_sent_at = sent_at;
        }
    }
    KcFeedCertainty_Update(feed);
    TAILQ_FOREACH (member, &group->feeds, group_link) {
        KcFeedCheck_Schedule(member, now);
    }
}

void
KcFeedCheck_OnAnswer(KcFeed *feed, uint64_t revision, bool may_lag,
                     KcTime sent_at, KcTime at, KcTime now)
{
    if (!may_lag) {
        feed->current_at = at;
    }
    note_revision(feed, revision, may_lag, sent_at, at, now);
}

void
KcFeed_OnCheckEnd(KcFeed *feed, uint32_t change_count, uint64_t revision,
                  KcTime now)
{
    const KcFeedOptions *options = &feed->options;

    assert(feed->state == FEED_WATCHING && feed->is_checking);
    feed->is_checking = false;
    if (revision > feed->watch_revision) {
        feed->watch_revision = revision;
    }
    if (!feed->check_may_lag) {
        feed->current_at = feed->checked_at;
        feed->lag_until = feed->checked_at + options->lag_timeout;
    }
    if (change_count > 0) {
        KcTimers_Clear(options->timers, &feed->check_timer);
        options->ops->cancel(options->store, feed);
        if (options->on_watch_dead != NULL) {
            options->on_watch_dead(options->context, options->collection);
        }
        KcFeed_StartCall(feed, now);
    }
    note_revision(feed, revision, feed->check_may_lag, feed->checked_at,
                  feed->checked_at, now);
}

void
KcFeed_OnCheckFailure(KcFeed *feed, int code, KcTime now)
{
    assert(feed->state == FEED_WATCHING && feed->is_checking);
    feed->is_checking = false;
    if (feed->check_may_lag && code != KC_ERR_NOT_FOUND) {
        KcFeedCheck_Schedule(feed, now);
        return;
    }
    feed->options.ops->cancel(feed->options.store, feed);
    KcFeed_OnFailure(feed, code, now);
}
