/*
 * A feed follows one collection of the object API without missing a change:
 * it lists the collection page by page, then watches it from the revision of
 * the list.  It lists again when the history that a watch needs has been
 * discarded.
 */
#ifndef KCC_FEED_H
#define KCC_FEED_H

#include "kcc_request.h"
#include "kcc_revision.h"
#include "kcc_types.h"

typedef struct KcFeed KcFeed;
typedef struct KcFeedGroup KcFeedGroup;
TAILQ_HEAD(KcFeedList, KcFeed);

typedef struct KcFeedGroupOptions {
    /* An answer was the first of a later era: the store was restored from a
     * copy.  Not called for the first era that is seen.  May be NULL. */
    void (*on_restored)(void *context, uint64_t era, uint64_t previous_era,
                        KcTime now);
    void *context;
    /* After its first list of a later era each feed lists once more when so
     * much time has passed: others write again what the store has lost, and
     * until then what it holds may be older than what was known before. */
    KcTime restored_relist_delay;
} KcFeedGroupOptions;

/*
 * The feeds of one store.  The store counts the changes of all collections by
 * one revision, so that an answer to one feed tells the others that there is
 * something they may have missed, or that there is not.
 */
struct KcFeedGroup {
    KcFeedGroupOptions options;
    struct KcFeedList feeds;
    uint64_t seen_revision;    /* highest of any answer */
    uint64_t current_revision; /* highest of answers that did not lag */
    KcTime current_at;         /* time at which the store had it */
    KcTime current_shown_at;   /* when the answer that shows it came */
    KcTime current_sent_at;    /* a call was sent then whose answer, which did
                                * not lag, has shown no later revision */
    uint64_t era;              /* latest of any answer, see KcFeed_OnEra() */
};

/* Copies the options. */
void KcFeedGroup_Init(KcFeedGroup *group, const KcFeedGroupOptions *options);

/*
 * Calls to the store.  A feed has one list or watch outstanding at a time, and
 * beside a watch at most one check; the store ends a list or watch with
 * exactly one of KcFeed_OnPageEnd(), KcFeed_OnWatchEnd() and
 * KcFeed_OnFailure(), and a check with KcFeed_OnCheckEnd() or
 * KcFeed_OnCheckFailure().
 */
typedef struct KcFeedOps {
    /* Requests a page of objects.  after: as it was given to
     * KcFeed_OnPageEnd() with the page before, "" for the first page.
     * may_lag: the answer may be from a copy that lags behind, which is
     * cheaper. */
    void (*list)(void *store, KcFeed *feed, const char *collection,
                 const char *after, bool may_lag);
    /* Requests the changes after a revision: the store answers as soon as
     * there is one, or without events when the timeout has passed. */
    void (*watch)(void *store, KcFeed *feed, const char *collection,
                  uint64_t revision, KcTime timeout, bool may_lag);
    /* Cancels the outstanding calls; the store doesn't answer them any more.
     */
    void (*cancel)(void *store, KcFeed *feed);
    /* Requests the changes after a revision as a watch does, but the answer
     * comes at once. */
    void (*check)(void *store, KcFeed *feed, const char *collection,
                  uint64_t revision, bool may_lag);
} KcFeedOps;

/* One object of the collection, or the deletion of one. */
typedef struct KcFeedItem {
    const char *name;
    KcRevision revision; /* the feed sets its era */
    bool deleted;
    /* Decoded value, in the store's own type; borrowed for the call.  NULL
     * when it can't be decoded; of a deletion it may be NULL, too. */
    const void *body;
    /* Set by the feed: the object changed after this, when the feed last knew
     * each change.  0: at any time before. */
    KcTime changed_after;
} KcFeedItem;

typedef struct KcFeedOptions {
    const KcFeedOps *ops;
    void *store; /* first argument of ops */
    KcTimers *timers;
    const char *collection; /* name of the collection; static text */
    KcTime retry_delay; /* from the start of a failed call to the next call;
                           doubles each time */
    KcTime retry_delay_max; /* largest value of retry_delay */
    KcTime watch_timeout;   /* a watch without changes ends after this time */
    /* The same for a watch that may not lag, which then ends the time in which
     * calls may; 0: watch_timeout. */
    KcTime current_watch_timeout;
    KcTime watch_delay; /* delay before the next watch, to batch changes */
    /* So long after an answer that did not lag, or after the start, a call
     * begins that may not lag; calls before it may.  The feed knows each
     * change within this time and that of a call.  0: no call may lag. */
    KcTime lag_timeout;
    KcTime relist_interval; /* age at which a list is read again; 0: never */
    KcFeedGroup *group;     /* of all feeds of this store; NULL: none */
    /* A watch is checked when nothing has shown for so long that the feed
     * knows each change; 0: never.  Needs a group. */
    KcTime check_timeout;
    /* The same when an answer that did not lag has shown a later revision of
     * the store, and a check that may lag has not found it since; 0:
     * check_timeout. */
    KcTime behind_timeout;
    /* Least interval between checks that may lag, which are made when the
     * store has a later revision than the feed. */
    KcTime check_interval;
    /* A list begins: objects that it doesn't contain no longer exist when it
     * has ended.  May be NULL. */
    void (*on_list_begin)(void *context);
    /* Called for each listed object and each change. */
    void (*on_item)(void *context, const KcFeedItem *item, KcTime now);
    /* The last page of a list was received.  May be NULL. */
    void (*on_list_end)(void *context, KcTime now);
    /* Calls began to fail (code is negative), or succeed again (0). */
    void (*on_store_status)(void *context, int code, KcTime now);
    /* A check found changes that the watch had not reported; the watch was
     * replaced.  May be NULL. */
    void (*on_watch_dead)(void *context, const char *collection);
    void *context;
    /* Checks keep KcFeed_CertainAge() under this and the time of a call, as
     * long as the store answers; 0: they don't.  Needs check_timeout. */
    KcTime certain_timeout;
} KcFeedOptions;

/* Creates a feed; the options are copied. */
KcFeed *KcFeed_Create(const KcFeedOptions *options);
/* Cancels the outstanding call and frees the feed. */
void KcFeed_Free(KcFeed *feed);
/* Makes the first call, a list. */
void KcFeed_Start(KcFeed *feed, KcTime now);

/* Changes the delay before a watch and the age at which a list is read
 * again; both hold from the next call on. */
void KcFeed_SetIntervals(KcFeed *feed, KcTime watch_delay,
                         KcTime relist_interval);

/* Makes the next watch at once instead of after its delay, but not sooner than
 * min_interval after the last call: what was read may be out of date. */
void KcFeed_Hurry(KcFeed *feed, KcTime min_interval, KcTime now);

/* Replaces a watch in progress by a list, which is answered at once: another
 * feed found the store lost or regained. */
void KcFeed_Relist(KcFeed *feed, KcTime now);

/* Another process knows a change that this feed does not: unless the watch
 * reports it first, a check that may not lag comes soon. */
void KcFeed_OnNews(KcFeed *feed, KcTime now);

/*
 * Returns how long ago the feed was certain to know each change that the store
 * had acknowledged; KC_NEVER: it never was.  Counted from the moment at which
 * a call that may not lag was sent, never from its answer.
 */
KcTime KcFeed_CertainAge(const KcFeed *feed, KcTime now);

/* ---- answers of the store ----------------------------------------------- */

/*
 * Called for each answer before its items: the era of the store's history, 0
 * when it names none.  A store that was restored from a copy is in a later
 * era, and gives out revisions of earlier ones again.  Returns 0, or the error
 * by which the call is to be ended instead: KC_ERR_NOT_FOUND when its
 * revisions are of another history than what the feed knows, and
 * KC_ERR_OBJECT_API_UNAVAILABLE for a list of an earlier era than one seen.
 */
int KcFeed_OnEra(KcFeed *feed, uint64_t era, KcTime now);

/* One object of a page, or one event of a watch or check. */
void KcFeed_OnItem(KcFeed *feed, const KcFeedItem *item, KcTime now);

/* The page ended.  after: where the next page begins, in a form of the
 * store's own and of any length, "" when this was the last; it is copied.
 * revision: of the store when it read the page. */
void KcFeed_OnPageEnd(KcFeed *feed, const char *after, uint64_t revision,
                      KcTime now);

/* The watch ended, with or without events.  revision: the next watch begins
 * after it. */
void KcFeed_OnWatchEnd(KcFeed *feed, uint64_t revision, KcTime now);

/* The check ended.  change_count: of the items passed before.  revision: of
 * the store when it answered. */
void KcFeed_OnCheckEnd(KcFeed *feed, uint32_t change_count, uint64_t revision,
                       KcTime now);
/* The check failed; the codes are those of KcFeed_OnFailure(). */
void KcFeed_OnCheckFailure(KcFeed *feed, int code, KcTime now);

/* The list or watch failed: KC_ERR_NOT_FOUND when the history of a watch has
 * been discarded, else the store counts as lost. */
void KcFeed_OnFailure(KcFeed *feed, int code, KcTime now);

#endif
