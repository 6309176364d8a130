/*
 * A collection of objects in the object API, followed without gaps: listed
 * page by page, then watched from the revision of the list; listed anew when
 * the history that the watch needs is gone.
 */
#ifndef KCC_FEED_H
#define KCC_FEED_H

#include "kcc_request.h"
#include "kcc_types.h"

typedef struct KcFeed KcFeed;

/* Outward calls; each is answered by exactly one KcFeed_On function. */
typedef struct KcFeedOps {
    /* Asks for the page after a name ("" for the first). */
    void (*list)(void *store, KcFeed *feed, const char *kind,
                 const char *after);
    /* Asks for what changed after a revision, as soon as something does, or
     * for an empty answer after the wait. */
    void (*watch)(void *store, KcFeed *feed, const char *kind,
                  uint64_t revision, KcTime wait);
    /* Withdraws the outstanding call; it is not answered then. */
    void (*cancel)(void *store, KcFeed *feed);
} KcFeedOps;

/* One object; body is whatever the decoder of its kind understands. */
typedef struct KcFeedItem {
    const char *name;
    uint64_t revision;
    bool deleted;
    const void *body; /* borrowed for the call; NULL when deleted */
} KcFeedItem;

typedef struct KcFeedOptions {
    const KcFeedOps *ops;
    void *store;
    KcTimers *timers;
    const char *collection; /* static text */
    KcTime retry_delay;     /* from a call that fails to the next; doubles */
    KcTime retry_delay_max; /* up to this */
    KcTime watch_timeout;   /* longest wait of one watch */
    KcTime
        watch_delay; /* delay between two watches, to take changes together */
    KcTime
        relist_interval; /* the list is read anew after this time; 0: never */
    /* A list begins: what it does not tell of is gone when it has ended; may
     * be NULL. */
    void (*on_list_begin)(void *context);
    /* An object is as item says; called for each listed object, too. */
    void (*on_item)(void *context, const KcFeedItem *item, KcTime now);
    /* A whole list has been told; may be NULL. */
    void (*on_list_end)(void *context, KcTime now);
    /* The store was lost (code negative) or regained (0). */
    void (*on_store_status)(void *context, int code, KcTime now);
    void *context;
} KcFeedOptions;

KcFeed *KcFeed_Create(const KcFeedOptions *options);
void KcFeed_Free(KcFeed *feed);
void KcFeed_Start(KcFeed *feed, KcTime now);

/* Changes the delay between two calls, and the age at which a list is read
 * anew, from the next call on. */
void KcFeed_SetIntervals(KcFeed *feed, KcTime gather, KcTime relist);

/* Lists at once instead of going on to wait: the store was lost or is back,
 * as another feed found out. */
void KcFeed_Relist(KcFeed *feed, KcTime now);

/* ---- answers of the store ----------------------------------------------- */

/* One object of a page, or one event of a watch. */
void KcFeed_OnItem(KcFeed *feed, const KcFeedItem *item, KcTime now);

/* The page ended.  after: name to go on from, "" when it was the last. */
void KcFeed_OnPageEnd(KcFeed *feed, const char *after, uint64_t revision,
                      KcTime now);

/* The watch ended, with or without events before. */
void KcFeed_OnWatchEnd(KcFeed *feed, uint64_t revision, KcTime now);

/* The call failed: KC_ERR_NOT_FOUND when the history is gone. */
void KcFeed_OnFailure(KcFeed *feed, int code, KcTime now);

#endif
