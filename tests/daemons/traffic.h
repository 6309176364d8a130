/*
 * Sends HTTP calls to the entries of a cluster and checks every answer
 * against the expected text and the stand-ins' counts of executions.
 */
#ifndef KCC_TRAFFIC_H
#define KCC_TRAFFIC_H

#include "entry_cluster.h"

typedef struct TrafficCall {
    TAILQ_ENTRY(TrafficCall) link;
    struct Traffic *traffic;
    bool is_plain; /* to the plain service, not to a model */
    bool is_stream;
    char model[KC_ADAPTER_REF_TEXT_SIZE];
    char text[64]; /* prompt or body, unique to the call */
    char idempotency_key[64];
    int status;       /* of HTTP; 0 before an answer */
    bool is_complete; /* the HTTP answer arrived to its end */
    bool has_ended;
    KcHttpCall *http_call; /* NULL once it has ended */
    KcBuffer body;         /* of the answer; ends with a NUL at the end */
} TrafficCall;

TAILQ_HEAD(TrafficCallList, TrafficCall);

typedef struct Traffic {
    KcLoop *loop;
    Fleet *cluster;
    struct TrafficCallList calls;
    uint32_t call_count;
    uint32_t round_count; /* of Traffic_Run() */
    uint32_t calls_in_progress;
    uint32_t tokens_per_answer;
} Traffic;

/* Numbers of calls by result. */
typedef struct TrafficResult {
    uint32_t answered;
    uint32_t not_run;          /* error with the outcome not_run */
    uint32_t unknown;          /* error with the outcome unknown */
    uint32_t lost_connections; /* to the entry, during a call */
    uint32_t violations; /* wrong answers and executions, evictions in use */
} TrafficResult;

/* Sends to the entries of a cluster, which must outlive the traffic. */
void Traffic_Init(Traffic *traffic, Fleet *cluster,
                  uint32_t tokens_per_answer);
/* Frees the calls, which must have ended. */
void Traffic_Clear(Traffic *traffic);

/* Sends a completion to an entry.  The traffic owns the returned call. */
TrafficCall *Traffic_CallModel(Traffic *traffic, uint32_t entry,
                               uint32_t adapter, uint32_t version,
                               bool is_stream);
/* Sends a call to the plain service; without a key when that is NULL. */
void Traffic_CallPlain(Traffic *traffic, uint32_t entry,
                       const char *idempotency_key);

/* Sends model and plain calls to two entries every 20 ms for a time. */
void Traffic_Run(Traffic *traffic, int duration_ms);

/* Waits until every call has ended; fails the test after 70 s. */
void Traffic_WaitUntilDone(Traffic *traffic);

/*
 * Checks every call by its answer and by what the two engines and the two
 * plain services counted.  Prints each violation.
 */
TrafficResult Traffic_CheckCalls(Traffic *traffic);

#endif
