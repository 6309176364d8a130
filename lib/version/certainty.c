/*
 * Certainty of a feed: up to which moment it knows each change that the store
 * had acknowledged.  An answer that may not lag shows each change acknowledged
 * before its call was sent; when the answer was made is not known.  The feeds
 * of a group share what such an answer shows, as one revision counts the
 * changes of all collections.
 */
#include "feed_internal.h"

/* Each change acknowledged before sent_at has that revision or an earlier one;
 * is that all known? */
static void
take_proof(KcFeed *feed, uint64_t revision, KcTime sent_at)
{
    if (feed->has_list && feed->watch_revision >= revision &&
        feed->certain_at < sent_at) {
        feed->certain_at = sent_at;
    }
}

void
KcFeedCertainty_Update(KcFeed *feed)
{
    const KcFeedGroup *group = feed->options.group;

    if (group != NULL && feed->era == group->era) {
        take_proof(feed, group->current_revision, group->current_sent_at);
    }
}

void
KcFeedCertainty_OnAnswer(KcFeed *feed, uint64_t revision, KcTime sent_at)
{
    const KcFeedGroup *group = feed->options.group;
    KcFeed *member;

    if (group == NULL) {
        take_proof(feed, revision, sent_at);
        return;
    }
    TAILQ_FOREACH (member, &group->feeds, group_link) {
        if (member->era == group->era) {
            take_proof(member, revision, sent_at);
        }
    }
}

KcTime
KcFeed_CertainAge(const KcFeed *feed, KcTime now)
{
    return feed->certain_at != 0 ? now - feed->certain_at : KC_NEVER;
}

/* What earlier answers have shown is of another history. */
static void
begin_era(KcFeedGroup *group, uint64_t era, KcTime now)
{
    uint64_t previous_era = group->era;

    group->era = era;
    group->seen_revision = 0;
    group->current_revision = 0;
    group->current_sent_at = 0;
    if (previous_era != 0 && group->options.on_restored != NULL) {
        group->options.on_restored(group->options.context, era, previous_era,
                                   now);
    }
}

int
KcFeed_OnEra(KcFeed *feed, uint64_t era, KcTime now)
{
    KcFeedGroup *group = feed->options.group;
    bool is_listing = feed->state == FEED_LISTING;

    if (group == NULL) {
        return 0;
    }
    if (era < group->era) {
        return is_listing ? KC_ERR_OBJECT_API_UNAVAILABLE : KC_ERR_NOT_FOUND;
    }
    if (era > group->era) {
        begin_era(group, era, now);
    }
    if (is_listing && feed->page_after == NULL) {
        feed->list_era = era;
    }
    return era == (is_listing ? feed->list_era : feed->era) ? 0
                                                            : KC_ERR_NOT_FOUND;
}
