/*
 * Second attempts against slow answers.
 */
#include <math.h>

#include "kcc_second_attempts.h"

/* The counts are halved when there are so many: about so many answers decide.
 */
#define DURATIONS_MAX 1024
/* Durations up to this fall into the first bucket. */
#define DURATION_UNIT KC_MS
/* At so many percent of what the servers run at once, a second attempt would
 * delay the requests of others by about as much as it gains. */
#define MEAN_LOAD_MAX_PERCENT 50
/* The share of so many requests may be saved up for second attempts. */
#define SAVED_REQUESTS 200
/* Weight of the latest request in mean_tokens. */
#define TOKENS_WEIGHT 0.02
/* Answers beyond the quantile that must have been seen. */
#define SLOW_ANSWERS_MIN 2

/* ---- recent durations ------------------------------------------------------ */

/* End of a bucket. */
static KcTime
bucket_end(uint32_t bucket)
{
    KcTime octave = DURATION_UNIT << (bucket / KC_DURATION_STEPS);

    return octave +
           octave * (bucket % KC_DURATION_STEPS + 1) / KC_DURATION_STEPS;
}

void
KcDurations_Add(KcDurations *durations, KcTime duration)
{
    uint32_t bucket = 0;

    while (bucket < KC_DURATION_BUCKETS - 1 && duration > bucket_end(bucket)) {
        bucket++;
    }
    if (durations->total >= DURATIONS_MAX) {
        durations->total = 0;
        for (uint32_t i = 0; i < KC_DURATION_BUCKETS; i++) {
            durations->counts[i] /= 2;
            durations->total += durations->counts[i];
        }
    }
    durations->counts[bucket]++;
    durations->total++;
}

KcTime
KcDurations_Quantile(const KcDurations *durations, double fraction,
                     uint32_t count_min)
{
    double wanted = fraction * durations->total;
    uint32_t count = 0;
    uint32_t bucket = 0;

    if (durations->total < count_min || durations->total == 0) {
        return KC_NEVER;
    }
    for (;; bucket++) {
        count += durations->counts[bucket];
        if (count >= wanted || bucket == KC_DURATION_BUCKETS - 1) {
            return bucket_end(bucket);
        }
    }
}

/* ---- the limit ------------------------------------------------------------- */

static double
request_credit_max(const KcSecondAttempts *second)
{
    double saved = second->extra_fraction * SAVED_REQUESTS;

    /* A small limit allows an attempt now and then. */
    return second->extra_fraction > 0 && saved < 1 ? 1 : saved;
}

static void
cap_credit(KcSecondAttempts *second)
{
    double maximum = request_credit_max(second);

    second->request_credit = fmin(second->request_credit, maximum);
    second->token_credit =
        fmin(second->token_credit, maximum * second->mean_tokens);
}

void
KcSecondAttempts_SetLimit(KcSecondAttempts *second, double extra_fraction)
{
    second->extra_fraction = extra_fraction;
    cap_credit(second);
}

void
KcSecondAttempts_NoteRequest(KcSecondAttempts *second, uint64_t tokens)
{
    second->mean_tokens +=
        ((double)tokens - second->mean_tokens) * TOKENS_WEIGHT;
    second->request_credit += second->extra_fraction;
    second->token_credit += second->extra_fraction * (double)tokens;
    cap_credit(second);
}

void
KcSecondAttempts_Take(KcSecondAttempts *second, uint64_t tokens)
{
    second->request_credit -= 1;
    second->token_credit -= (double)tokens;
}

/* ---- the decision ---------------------------------------------------------- */

/* Class of requests that take about as long: each has four times the tokens of
 * the one before. */
static uint32_t
size_class(uint64_t tokens)
{
    uint32_t class = 0;

    while (tokens > 0 && class < KC_SIZE_CLASSES - 1) {
        tokens /= 4;
        class ++;
    }
    return class;
}

void
KcSecondAttempts_NoteAnswer(KcSecondAttempts *second, uint64_t tokens,
                            KcTime duration)
{
    if (second->extra_fraction > 0) {
        KcDurations_Add(&second->durations[size_class(tokens)], duration);
    }
}

KcTime
KcSecondAttempts_Delay(const KcSecondAttempts *second, uint64_t tokens)
{
    if (second->extra_fraction <= 0) {
        return KC_NEVER;
    }
    /* As many requests are slow as the limit allows. */
    return KcDurations_Quantile(
        &second->durations[size_class(tokens)], 1 - second->extra_fraction,
        (uint32_t)(SLOW_ANSWERS_MIN / second->extra_fraction));
}

KcSecondVerdict
KcSecondAttempts_Decide(const KcSecondAttempts *second,
                        const KcSecondInput *input)
{
    if (!input->has_budget) {
        return KC_SECOND_NO_BUDGET;
    }
    if (input->has_queue ||
        input->mean_load * 100 >
            input->concurrency_max * MEAN_LOAD_MAX_PERCENT) {
        return KC_SECOND_LOADED;
    }
    /* A large request may take more than is saved up: later ones repay it. */
    if (second->request_credit < 1 || second->token_credit < 0) {
        return KC_SECOND_LIMITED;
    }
    return KC_SECOND_MADE;
}
