/*
 * Ends of the engine, and news of the prompts that may be their cause.
 *
 * A gateway that lost an attempt asks whether the engine has ended.  That is
 * certain when nothing accepts connections at its address, or when a later
 * instance reports.  An engine that was leaving did not end on its own.
 */
#include <stdlib.h>
#include <string.h>

#include "keeper_internal.h"

/* Questions that are remembered; the oldest one gives way. */
#define LOST_ATTEMPTS_MAX 256
/* A question is dropped when it is not certain for so long what became of the
 * engine. */
#define LOST_ATTEMPT_TIMEOUT (10 * KC_SECOND)

static void
free_lost_attempt(KcKeeper *keeper, KcLostAttempt *lost)
{
    TAILQ_REMOVE(&keeper->lost_attempts, lost, link);
    keeper->lost_attempt_count--;
    free(lost);
}

void
KcKeeper_DropLostAttempts(KcKeeper *keeper, const KcLink *gateway)
{
    KcLostAttempt *lost;
    KcLostAttempt *next;

    TAILQ_FOREACH_SAFE (lost, &keeper->lost_attempts, link, next) {
        if (gateway == NULL || lost->gateway == gateway) {
            free_lost_attempt(keeper, lost);
        }
    }
}

void
KcKeeper_OnLostAttempt(KcKeeper *keeper, KcLink *link, const KcServerEnd *end,
                       KcTime now)
{
    KcLostAttempt *lost = KcMem_New(sizeof(*lost));

    lost->gateway = link;
    lost->started_at_ms = end->started_at_ms;
    lost->reported_started_at_ms = keeper->engine_started_at_ms;
    lost->part_count = end->part_count < KC_PROMPT_PARTS_MAX
                           ? end->part_count
                           : KC_PROMPT_PARTS_MAX;
    memcpy(lost->parts, end->parts, lost->part_count * sizeof(lost->parts[0]));
    lost->asked_at = now;
    lost->attempt_began_at = now - end->age;
    TAILQ_INSERT_TAIL(&keeper->lost_attempts, lost, link);
    if (++keeper->lost_attempt_count > LOST_ATTEMPTS_MAX) {
        free_lost_attempt(keeper, TAILQ_FIRST(&keeper->lost_attempts));
    }
    KcKeeper_RequestReport(keeper, now);
}

/* The instance that has ended, by the start time that is known best: gateways
 * learn late of a restart.  0: none has. */
static int64_t
find_ended_instance(const KcKeeper *keeper, const KcLostAttempt *lost,
                    bool is_gone)
{
    int64_t known_ms = lost->started_at_ms > lost->reported_started_at_ms
                           ? lost->started_at_ms
                           : lost->reported_started_at_ms;

    if (is_gone || known_ms < keeper->engine_started_at_ms) {
        return known_ms;
    }
    return lost->started_at_ms < keeper->engine_started_at_ms
               ? lost->started_at_ms
               : 0;
}

/* Was the attempt sent to an engine that had ended before? */
static bool
began_afterwards(const KcKeeper *keeper, const KcLostAttempt *lost)
{
    return keeper->gone_at != 0 && lost->attempt_began_at >= keeper->gone_at;
}

static void
confirm(KcKeeper *keeper, const KcLostAttempt *lost, int64_t started_at_ms)
{
    const KcKeeperOptions *options = &keeper->options;
    KcServerEnd end = {.started_at_ms = started_at_ms,
                       .parts = lost->parts,
                       .part_count = lost->part_count};

    if (started_at_ms > keeper->ended_started_at_ms) {
        keeper->ended_started_at_ms = started_at_ms;
        KcCounters_Add(options->counters, KC_COUNT_ENGINE_ENDS, 1);
        options->ops->log_engine(options->context, KC_ENGINE_ENDED,
                                 started_at_ms);
    }
    options->ops->confirm_end(options->context, lost->gateway, &end);
}

void
KcKeeper_AnswerLostAttempts(KcKeeper *keeper, bool is_gone, KcTime now)
{
    KcLostAttempt *lost;
    KcLostAttempt *next;

    TAILQ_FOREACH_SAFE (lost, &keeper->lost_attempts, link, next) {
        int64_t ended_ms = find_ended_instance(keeper, lost, is_gone);

        if (ended_ms != 0 && ended_ms != keeper->left_started_at_ms &&
            !began_afterwards(keeper, lost)) {
            confirm(keeper, lost, ended_ms);
        }
        if (ended_ms != 0 || keeper->engine_state_known ||
            now - lost->asked_at >= LOST_ATTEMPT_TIMEOUT) {
            free_lost_attempt(keeper, lost);
        }
    }
}

void
KcKeeper_OnEngineGone(KcKeeper *keeper, KcTime now)
{
    if (keeper->gone_at == 0) {
        keeper->gone_at = now;
    }
    KcKeeper_AnswerLostAttempts(keeper, true, now);
    KcKeeper_OnReport(keeper, NULL, now);
}

/* ---- news of parts ------------------------------------------------------- */

static void
publish(void *context, const KcSuspectNews *news)
{
    KcKeeper *keeper = context;

    keeper->options.ops->send_suspect(keeper->options.context, NULL, NULL,
                                      news);
}

static void
record(void *context, KcSuspectStep step, const KcSuspect *suspect,
       bool is_own)
{
    KcKeeper *keeper = context;

    keeper->options.ops->log_suspect(keeper->options.context, step, suspect,
                                     is_own);
}

static const KcSuspectOps suspect_ops = {publish, NULL, record};

void
KcKeeper_InitSuspects(KcKeeper *keeper)
{
    KcSuspectOptions options = keeper->options.suspects;

    options.ops = &suspect_ops;
    options.context = keeper;
    options.counters = keeper->options.counters;
    KcSuspects_Init(&keeper->suspects, &options);
}

KcSuspects *
KcKeeper_GetSuspects(KcKeeper *keeper)
{
    return &keeper->suspects;
}

/* Lets the gateway try the part, unless it is too early or it was tried often
 * enough: each grant puts off the next one, so one gateway tries at a time. */
static void
on_trial_asked(KcKeeper *keeper, KcLink *link, const KcSuspectNews *news,
               KcTime now)
{
    KcSuspect *suspect = KcSuspects_Find(&keeper->suspects, news->part);
    KcSuspectNews granted = *news;

    if (suspect == NULL || suspect->epoch != news->epoch ||
        !KcSuspects_IsTrialDue(&keeper->suspects, suspect, now)) {
        return;
    }
    KcSuspects_GrantTrial(&keeper->suspects, suspect, now);
    granted.kind = KC_SUSPECT_NEWS_TRY;
    keeper->options.ops->send_suspect(keeper->options.context, link, NULL,
                                      &granted);
}

void
KcKeeper_OnSuspectNews(KcKeeper *keeper, KcLink *link,
                       const KcSuspectNews *news, KcTime now)
{
    const KcKeeperOptions *options = &keeper->options;
    KcSuspectNews cleared;

    if (news->kind == KC_SUSPECT_NEWS_ASK) {
        on_trial_asked(keeper, link, news, now);
        return;
    }
    switch (KcSuspects_Receive(&keeper->suspects, news, now)) {
    case KC_SUSPECT_NEW:
        options->ops->send_suspect(options->context, NULL, link, news);
        break;
    case KC_SUSPECT_VOID:
        cleared = KcSuspects_DescribeCleared(&keeper->suspects, news->part);
        options->ops->send_suspect(options->context, link, NULL, &cleared);
        break;
    case KC_SUSPECT_KNOWN:
        break;
    }
}
