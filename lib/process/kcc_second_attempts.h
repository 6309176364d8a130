/*
 * Second attempts against slow answers: whether a request that waits longer
 * than its service usually takes is sent to a second server, within a limit of
 * the operator.
 *
 * Part 1 is a distribution of recent durations, part 2 the decision.  Neither
 * knows a request, a server or a clock.
 */
#ifndef KCC_SECOND_ATTEMPTS_H
#define KCC_SECOND_ATTEMPTS_H

#include "kcc_types.h"

/* ---- Part 1: recent durations --------------------------------------------- */

/* Buckets for each doubling of a duration, so that a quantile is at most a
 * quarter above the true one. */
#define KC_DURATION_STEPS 4
/* From 1 ms to 64 s. */
#define KC_DURATION_BUCKETS (16 * KC_DURATION_STEPS)

/* A histogram in which later durations replace earlier ones little by little.
 */
typedef struct KcDurations {
    uint32_t counts[KC_DURATION_BUCKETS];
    uint32_t total;
} KcDurations;

void KcDurations_Add(KcDurations *durations, KcTime duration);
/* The duration that this fraction of them doesn't exceed, rounded up to the
 * end of its bucket; KC_NEVER when there are fewer than count_min. */
KcTime KcDurations_Quantile(const KcDurations *durations, double fraction,
                            uint32_t count_min);

/* ---- Part 2: the decision ------------------------------------------------- */

/* Requests of one class have a similar size. */
#define KC_SIZE_CLASSES 10

/* What the operator allows, for the requests of one service and gateway. */
typedef struct KcSecondAttempts {
    double extra_fraction; /* second attempts, of all requests, and their
                            * tokens, of the tokens of all; 0: none */
    double request_credit; /* second attempts that may be made now */
    double token_credit;   /* tokens that they may have; negative: repaid by
                            * later requests */
    double mean_tokens;    /* of recent requests */
    KcDurations durations[KC_SIZE_CLASSES]; /* of answers, until they begin */
} KcSecondAttempts;

/* Sets the limit; what is saved up stays within it. */
void KcSecondAttempts_SetLimit(KcSecondAttempts *second,
                               double extra_fraction);

/* Counts a new request of the service. */
void KcSecondAttempts_NoteRequest(KcSecondAttempts *second, uint64_t tokens);
/* Records the time from a request's attempt, the first of those side by side,
 * to the beginning of its answer. */
void KcSecondAttempts_NoteAnswer(KcSecondAttempts *second, uint64_t tokens,
                                 KcTime duration);

/* How long a request waits for its answer to begin before it counts as slow;
 * KC_NEVER without a limit, or before enough answers were seen. */
KcTime KcSecondAttempts_Delay(const KcSecondAttempts *second, uint64_t tokens);

/* Why a slow request is sent to a second server, or not. */
typedef enum KcSecondVerdict {
    KC_SECOND_MADE = 0,
    KC_SECOND_LIMITED,    /* beyond the operator's limit */
    KC_SECOND_LOADED,     /* the servers are loaded: it would slow others */
    KC_SECOND_NOT_SOONER, /* no second server that would begin sooner */
    KC_SECOND_NO_BUDGET,  /* of retries, or of the route's attempts */
    KC_SECOND_OVER_QUOTA, /* its customer has no room for it */
    KC_SECOND_VERDICT_COUNT
} KcSecondVerdict;

/* What the decision rests on. */
typedef struct KcSecondInput {
    uint64_t mean_load;       /* requests per server, of all gateways */
    uint64_t concurrency_max; /* requests that a server runs at once */
    bool has_queue;           /* requests of the service wait for a place */
    bool has_budget;          /* it may be repeated once more */
} KcSecondInput;

/* May a slow request be sent to a second server?  MADE: yes, if there is a
 * suitable one. */
KcSecondVerdict KcSecondAttempts_Decide(const KcSecondAttempts *second,
                                        const KcSecondInput *input);
/* Takes a second attempt that was made from the limit. */
void KcSecondAttempts_Take(KcSecondAttempts *second, uint64_t tokens);

#endif
