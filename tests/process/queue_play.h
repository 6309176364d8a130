/*
 * A play of the queue of one service, without network.
 *
 * The service has SLOTS places; a request holds one for its work, and its
 * answer begins at the end.  An answer is worth 1 within the objective,
 * counted from the caller's first attempt, and LATE_WORTH up to its deadline.
 * A caller that is refused comes back once, after the time that it was told,
 * but after a third of its time left at the most.
 */
#ifndef KCC_TEST_QUEUE_PLAY_H
#define KCC_TEST_QUEUE_PLAY_H

#include <kcc.h>

#define SLOTS 10
#define LATE_WORTH 0.3
#define REQUESTS_MAX 8192
#define CUSTOMERS 16
#define URGENCIES 2

typedef enum QueueState {
    STATE_AWAY = 0, /* not arrived yet, or coming back */
    STATE_QUEUED,
    STATE_RUNNING,
    STATE_ENDED
} QueueState;

typedef struct QueueRequest {
    TAILQ_ENTRY(QueueRequest) link; /* QueuePlay.queue */
    QueueState state;
    KcQueued queued;
    KcTime objective;
    KcTime first_at; /* of its first attempt */
    KcTime due_at;   /* arrives, decides again, or ends its run */
    KcTime work;
    int customer;
    int attempts;
    double worth;
} QueueRequest;

TAILQ_HEAD(QueueRequestList, QueueRequest);

typedef struct QueuePlay {
    const struct QueuePolicy *policy;
    KcTime now;
    struct QueueRequestList queue;
    uint32_t length;
    uint32_t running;
    uint32_t slots;
    bool is_down; /* no place can be used */
    KcQueuePace pace;
    KcTurns turns;
    QueueRequest requests[REQUESTS_MAX];
    uint32_t request_count;
    uint64_t random;
} QueuePlay;

/* ---- policies ------------------------------------------------------------ */

typedef struct QueuePolicy {
    const char *name;
    bool (*is_before)(const QueuePlay *play, const QueueRequest *a,
                      const QueueRequest *b);
    /* False if the request is refused; sets due_at otherwise. */
    bool (*may_wait)(QueuePlay *play, QueueRequest *request, uint32_t place);
    KcTime (*retry_after)(QueuePlay *play, const QueueRequest *request);
    bool has_customers; /* are there any in the configuration? */
} QueuePolicy;

extern const QueuePolicy QueuePlay_Policies[];
/* Positions there. */
enum {
    FCFS = 0,
    FIXED,
    EIGHTH,
    CONSTANT,
    KCC,
    LATENESS,
    SHORTEST,
    PLAIN,
    POLICY_COUNT
};

/* ---- loads --------------------------------------------------------------- */

/* Requests of one kind and customer: COUNT at each INTERVAL. */
typedef struct QueueStream {
    int customer; /* -1: each of the customers by turns */
    uint32_t urgency;
    KcTime from;
    KcTime until;
    KcTime interval;
    int count;
    KcTime work;
    KcTime objective;
    KcTime deadline;
    int large_every; /* each so many has LARGE_FACTOR times the work; 0: none
                      */
} QueueStream;

/* Requests at so long an interval come together. */
#define CLUMP_INTERVAL (500 * KC_MS)

typedef struct QueueLoad {
    const char *name;
    uint32_t slots;
    KcTime down_from; /* no place can be used meanwhile */
    KcTime down_until;
    QueueStream streams[6];
} QueueLoad;

#define MS KC_MS

/* ---- the play ------------------------------------------------------------ */

/* Adds the requests of a load to a play that has not begun. */
void QueuePlay_AddLoad(QueuePlay *play, const QueueLoad *load);
/* Plays a load; the result is to be freed with g_free(). */
QueuePlay *QueuePlay_Run(const QueuePolicy *policy, const QueueLoad *load);

#endif
