/*
 * A simulated store and the feeds of a gateway, for tests of what the feeds
 * know and when.  Time goes on in steps of a millisecond.
 */
#ifndef KCC_TEST_FEED_SIM_H
#define KCC_TEST_FEED_SIM_H

#include <kcc.h>

#define FEED_SIM_REVISIONS_MAX 4096

enum { ROUTING, SERVERS, VERSIONS, COLLECTION_COUNT };

/* An outstanding call. */
typedef struct FeedSimCall {
    int kind; /* 0: none */
    bool may_lag;
    bool dead;
    uint64_t revision;
    KcTime started_at;
    KcTime timeout;
} FeedSimCall;

/* What goes wrong.  Its time is from begins_at to ends_at. */
typedef struct FeedTrouble {
    KcTime latency;        /* of each answer */
    KcTime lag;            /* of the copy that answers calls that may lag */
    KcTime write_interval; /* of the servers' records; 0: none */
    KcTime begins_at;
    KcTime ends_at;
    unsigned dead_watches; /* bits: the watches in progress in the middle of
                            * that time are never answered */
    bool waits_for_strong; /* they die when that of the servers may not lag */
    bool is_silent;        /* nor is any call that begins in that time */
    KcTime news_delay; /* another process tells of the change; 0: none does */
    bool is_away;      /* each call of that time fails at once */
    KcTime answer_delay; /* part of latency, after the store has read */
    KcTime slow_latency; /* in place of latency in that time; 0: latency */
    int lost_every;      /* one in so many calls that begin in that time is
                          * never answered; 0: none */
    bool is_frozen;      /* the process doesn't run in that time */
    KcTime copy_age;     /* the store comes back from a copy that was so old
                          * when that time began; 0: it doesn't */
} FeedTrouble;

/* The simulated store, and the feeds of a gateway. */
typedef struct FeedSim {
    const FeedTrouble *trouble;
    KcTimers *timers;
    KcTime now;
    uint64_t revision;
    struct {
        int collection;
        KcTime at;
        int serial; /* counts the changes; unlike revisions never given twice */
    } writes[FEED_SIM_REVISIONS_MAX];
    int serial;                         /* of the last change */
    uint64_t era;                       /* of the store */
    bool was_restored;                  /* from its copy */
    int known_serial[COLLECTION_COUNT]; /* latest change that a feed passed */
    int troubled_calls;                 /* begun in the trouble's time */
    KcFeedGroup group;
    struct FeedSimFeed {
        struct FeedSim *sim;
        int collection;
        KcFeed *feed;
        FeedSimCall calls[2]; /* a list or watch, and a check */
    } feeds[COLLECTION_COUNT];
    uint64_t change_revision; /* 0: not made yet */
    KcTime known_at;          /* the change; 0: not yet */
    int strong_calls;
    int lagging_calls;
    int dead_reports;
} FeedSim;

typedef struct FeedSimFeed FeedSimFeed;

/* How the feeds are set up. */
typedef struct FeedSimOptions {
    bool has_checks;
    KcTime certain_timeout; /* of the configuration, see KcFeedOptions */
} FeedSimOptions;

/* Writes a record of each collection and starts the feeds, at 1 s. */
void FeedSim_Begin(FeedSim *sim, const FeedTrouble *trouble,
                   const FeedSimOptions *options);
/* A record of a collection changes. */
void FeedSim_Write(FeedSim *sim, int collection);
/* Lets the store and the feeds work, and a millisecond pass. */
void FeedSim_Step(FeedSim *sim);
void FeedSim_End(FeedSim *sim);
/* Kills the watches that the trouble names; false until there is one. */
bool FeedSim_KillWatches(FeedSim *sim);

#endif
