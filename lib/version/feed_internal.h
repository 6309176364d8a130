/*
 * State of a feed.  feed.c lists and watches, feed_check.c checks watches,
 * certainty.c tells how old what the feed knows may be.
 */
#ifndef KCC_FEED_INTERNAL_H
#define KCC_FEED_INTERNAL_H

#include "kcc_feed.h"

typedef enum FeedState {
    FEED_IDLE = 0, /* no list or watch outstanding */
    FEED_LISTING,
    FEED_WATCHING
} FeedState;

struct KcFeed {
    KcFeedOptions options;
    FeedState state;
    char *page_after;       /* where the next page begins; NULL: the first */
    bool needs_list;        /* the next call is a list */
    bool has_list;          /* a list was completed at least once */
    bool store_unavailable; /* the last call had no valid answer */
    bool call_may_lag; /* the last call may be answered by a lagging copy */
    KcTime lag_until;  /* calls may lag until then */
    uint64_t watch_revision; /* each change up to it is known */
    uint64_t list_revision;  /* earliest of the pages of the list */
    KcTime list_called_at;   /* start of the call for the first page */
    bool list_may_lag;       /* one of its pages may be of a lagging copy */
    KcTime listed_at;        /* end of the last complete list */
    KcTime called_at;        /* start of the last list or watch */
    KcTime retry_delay;      /* after the next failure */
    KcTimer timer;           /* starts the next call */

    TAILQ_ENTRY(KcFeed) group_link;
    KcTime current_at;   /* each change up to then is known */
    KcTime news_at;      /* last news of a change; 0: never */
    KcTime checked_at;   /* start of the last check, or of the feed */
    bool is_checking;    /* a check is outstanding */
    bool check_may_lag;  /* the last check may be answered by a lagging copy */
    KcTimer check_timer; /* starts the next check */

    KcTime certain_at; /* each change acknowledged before is known; 0: never */
    uint64_t era;      /* of watch_revision */
    uint64_t list_era; /* of the pages of the list */
    KcTime relist_at;  /* when the store that was restored is listed once more,
                        * see KcFeedGroupOptions; no call lags until then; 0:
                        * it is not */
};

/* Starts the next list or watch. */
void KcFeed_StartCall(KcFeed *feed, KcTime now);

/* ---- checks (feed_check.c) ----------------------------------------------- */

/* Enters the feed into its group. */
void KcFeedCheck_Init(KcFeed *feed);
/* Takes the feed out of its group. */
void KcFeedCheck_Clear(KcFeed *feed);
/* Plans the next check of the watch in progress. */
void KcFeedCheck_Schedule(KcFeed *feed, KcTime now);
/* The watch ends: it is not checked any more.  Returns true when a check is
 * outstanding, which the caller cancels. */
bool KcFeedCheck_Stop(KcFeed *feed);
/* A list or watch that was sent at a time was answered completely; the store
 * had the revision at another. */
void KcFeedCheck_OnAnswer(KcFeed *feed, uint64_t revision, bool may_lag,
                          KcTime sent_at, KcTime at, KcTime now);

/* ---- certainty (certainty.c) --------------------------------------------- */

/*
 * Takes an answer that may not lag to a call of any feed of the group: each
 * change acknowledged before sent_at has that revision or an earlier one.
 */
void KcFeedCertainty_OnAnswer(KcFeed *feed, uint64_t revision, KcTime sent_at);
/* The feed knows more changes than before. */
void KcFeedCertainty_Update(KcFeed *feed);

#endif
