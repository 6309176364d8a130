/*
 * Parts of prompts that are suspected or blocked: evidence, news of other
 * processes, and which prompts a blocked part refuses.  suspects_review.c
 * decides which parts are blocked.
 */
#include "suspects_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ENDS_TO_BLOCK_DEFAULT 3
#define ANSWERS_MIN_DEFAULT 2
#define PARTS_MAX_DEFAULT 10000
#define EVIDENCE_TIMEOUT_DEFAULT (600 * KC_SECOND)
#define TRIAL_DELAY_DEFAULT (60 * KC_SECOND)

void
KcSuspectOptions_Init(KcSuspectOptions *options)
{
    *options = (KcSuspectOptions){.ends_to_block = ENDS_TO_BLOCK_DEFAULT,
                                  .answers_min = ANSWERS_MIN_DEFAULT,
                                  .parts_max = PARTS_MAX_DEFAULT,
                                  .evidence_timeout = EVIDENCE_TIMEOUT_DEFAULT,
                                  .trial_delay = TRIAL_DELAY_DEFAULT};
}

uint64_t
KcSuspects_HashInstance(const char *server_id, int64_t started_at_ms)
{
    return XXH3_64bits_withSeed(server_id, strlen(server_id),
                                (uint64_t)started_at_ms);
}

/* ---- the table ----------------------------------------------------------- */

void
KcSuspects_Init(KcSuspects *suspects, const KcSuspectOptions *options)
{
    *suspects = (KcSuspects){.options = *options};
    for (int state = 0; state < KC_SUSPECT_STATE_COUNT; state++) {
        TAILQ_INIT(&suspects->lists[state]);
    }
}

static void
free_suspect(KcSuspects *suspects, KcSuspect *suspect)
{
    TAILQ_REMOVE(&suspects->lists[suspect->state], suspect, link);
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(suspects->table, suspect);
    free(suspect);
}

void
KcSuspects_Clear(KcSuspects *suspects)
{
    for (int state = 0; state < KC_SUSPECT_STATE_COUNT; state++) {
        KcSuspect *suspect;

        while ((suspect = TAILQ_FIRST(&suspects->lists[state])) != NULL) {
            free_suspect(suspects, suspect);
        }
    }
}

KcSuspect *
KcSuspects_Find(const KcSuspects *suspects, uint64_t part)
{
    KcSuspect *suspect;

    HASH_FIND(hh, suspects->table, &part, sizeof(part), suspect);
    return suspect;
}

/* Moves a part to the end of the list of a state. */
static void
set_state(KcSuspects *suspects, KcSuspect *suspect, KcSuspectState state)
{
    TAILQ_REMOVE(&suspects->lists[suspect->state], suspect, link);
    suspect->state = state;
    TAILQ_INSERT_TAIL(&suspects->lists[state], suspect, link);
}

/* Makes room for one part: of those of the lowest state, which say least, the
 * one that was used least recently goes. */
static void
make_room(KcSuspects *suspects)
{
    for (int state = 0;
         HASH_COUNT(suspects->table) >= suspects->options.parts_max &&
         state < KC_SUSPECT_STATE_COUNT;
         state++) {
        if (!TAILQ_EMPTY(&suspects->lists[state])) {
            free_suspect(suspects, TAILQ_FIRST(&suspects->lists[state]));
        }
    }
}

static KcSuspect *
find_or_add(KcSuspects *suspects, uint64_t part)
{
    KcSuspect *suspect = KcSuspects_Find(suspects, part);

    if (suspect != NULL) {
        return suspect;
    }
    make_room(suspects);
    suspect = KcMem_New(sizeof(*suspect));
    suspect->part = part;
    HASH_ADD(hh, suspects->table, part, sizeof(suspect->part), suspect);
    TAILQ_INSERT_TAIL(&suspects->lists[KC_SUSPECT_CLEAR], suspect, link);
    return suspect;
}

uint32_t
KcSuspects_Count(const KcSuspects *suspects, KcSuspectState state)
{
    const KcSuspect *suspect;
    uint32_t count = 0;

    TAILQ_FOREACH (suspect, &suspects->lists[state], link) {
        count++;
    }
    return count;
}

static bool
contains(const uint64_t *parts, uint32_t count, uint64_t part)
{
    for (uint32_t i = 0; i < count; i++) {
        if (parts[i] == part) {
            return true;
        }
    }
    return false;
}

/* ---- steps --------------------------------------------------------------- */

static void
record(const KcSuspects *suspects, KcSuspectStep step,
       const KcSuspect *suspect, bool is_own)
{
    static const KcCounter step_counters[KC_SUSPECT_STEP_COUNT] = {
        [KC_SUSPECT_STEP_SUSPECTED] = KC_COUNT_PARTS_SUSPECTED,
        [KC_SUSPECT_STEP_BLOCKED] = KC_COUNT_PARTS_BLOCKED,
        [KC_SUSPECT_STEP_TRIED] = KC_COUNT_PARTS_TRIED,
        [KC_SUSPECT_STEP_CLEARED] = KC_COUNT_PARTS_CLEARED};

    KcCounters_Add(suspects->options.counters, step_counters[step], 1);
    suspects->options.ops->record(suspects->options.context, step, suspect,
                                  is_own);
}

static KcSuspectNews
describe(const KcSuspect *suspect, KcSuspectNewsKind kind, KcTime now)
{
    return (KcSuspectNews){.kind = kind,
                           .part = suspect->part,
                           .epoch = suspect->epoch,
                           .age = now - suspect->blocked_at,
                           .trial_count = suspect->trial_count,
                           .companions = suspect->companions,
                           .companion_count = suspect->companion_count};
}

void
KcSuspects_Publish(const KcSuspects *suspects, const KcSuspect *suspect,
                   KcSuspectNewsKind kind, KcTime now)
{
    KcSuspectNews news = describe(suspect, kind, now);

    suspects->options.ops->publish(suspects->options.context, &news);
}

void
KcSuspects_ReportBlocked(const KcSuspects *suspects, const KcSuspect *suspect,
                         KcTime now)
{
    if (suspects->options.ops->on_blocked != NULL) {
        suspects->options.ops->on_blocked(suspects->options.context, suspect,
                                          now);
    }
}

bool
KcSuspect_HasCompanion(const KcSuspect *suspect, uint64_t part)
{
    return contains(suspect->companions, suspect->companion_count, part);
}

/* Returns whether the part was a companion. */
static bool
drop_companion(KcSuspect *suspect, uint64_t part)
{
    uint32_t old_count = suspect->companion_count;
    uint32_t kept = 0;

    for (uint32_t i = 0; i < suspect->companion_count; i++) {
        if (suspect->companions[i] != part) {
            suspect->companions[kept++] = suspect->companions[i];
        }
    }
    suspect->companion_count = kept;
    return kept < old_count;
}

/* A cleared part excuses no other one any more.  It leaves their lists, as the
 * table may forget that it was cleared. */
static void
drop_cleared_companion(KcSuspects *suspects, const KcSuspect *cleared,
                       KcTime now)
{
    KcSuspect *suspect;

    TAILQ_FOREACH (suspect, &suspects->lists[KC_SUSPECT_BLOCKED], link) {
        if (drop_companion(suspect, cleared->part)) {
            KcSuspects_ReportBlocked(suspects, suspect, now);
        }
    }
}

/* Drops the evidence of earlier epochs. */
static void
begin_epoch(KcSuspects *suspects, KcSuspect *suspect, uint32_t epoch,
            bool is_own, KcTime now)
{
    if (suspect->state != KC_SUSPECT_CLEAR) {
        record(suspects, KC_SUSPECT_STEP_CLEARED, suspect, is_own);
    }
    suspect->epoch = epoch;
    suspect->end_count = 0;
    suspect->companion_count = 0;
    suspect->trial_count = 0;
    suspect->blocked_at = 0;
    suspect->may_try = false;
    set_state(suspects, suspect, KC_SUSPECT_CLEAR);
    drop_cleared_companion(suspects, suspect, now);
}

void
KcSuspects_ClearEvidence(KcSuspects *suspects, KcSuspect *suspect, KcTime now)
{
    begin_epoch(suspects, suspect, suspect->epoch + 1, true, now);
    KcSuspects_Publish(suspects, suspect, KC_SUSPECT_NEWS_CLEARED, now);
}

void
KcSuspects_Block(KcSuspects *suspects, KcSuspect *suspect, KcTime blocked_at,
                 bool is_own, KcTime now)
{
    suspect->blocked_at = blocked_at;
    set_state(suspects, suspect, KC_SUSPECT_BLOCKED);
    record(suspects, KC_SUSPECT_STEP_BLOCKED, suspect, is_own);
    KcSuspects_ReportBlocked(suspects, suspect, now);
}

/* ---- evidence ------------------------------------------------------------ */

bool
KcSuspect_HasEnd(const KcSuspect *suspect, uint64_t instance)
{
    for (uint32_t i = 0; i < suspect->end_count; i++) {
        if (suspect->ends[i].instance == instance) {
            return true;
        }
    }
    return false;
}

/* Adds an end; false when it is known.  The oldest one gives way. */
static bool
add_end(KcSuspect *suspect, const KcSuspectEnd *end)
{
    KcSuspectEnd *place = &suspect->ends[0];

    if (KcSuspect_HasEnd(suspect, end->instance)) {
        return false;
    }
    if (suspect->end_count < KC_SUSPECT_ENDS_MAX) {
        place = &suspect->ends[suspect->end_count++];
    }
    else {
        for (uint32_t i = 1; i < suspect->end_count; i++) {
            if (suspect->ends[i].at < place->at) {
                place = &suspect->ends[i];
            }
        }
    }
    *place = *end;
    return true;
}

/* Takes an end as evidence; false when it is known. */
static bool
take_end(KcSuspects *suspects, KcSuspect *suspect, const KcSuspectEnd *end,
         bool is_own)
{
    bool is_new = add_end(suspect, end);

    if (suspect->state == KC_SUSPECT_CLEAR) {
        suspect->answers_before = suspects->answer_count;
        set_state(suspects, suspect, KC_SUSPECT_SUSPECTED);
        record(suspects, KC_SUSPECT_STEP_SUSPECTED, suspect, is_own);
    }
    return is_new;
}

void
KcSuspects_NoteAnswer(KcSuspects *suspects, const uint64_t *parts,
                      uint32_t count, KcTime now)
{
    suspects->answer_count++;
    for (uint32_t i = 0; i < count; i++) {
        KcSuspect *suspect = find_or_add(suspects, parts[i]);

        suspect->begun_at = now;
        if (suspect->state == KC_SUSPECT_CLEAR) {
            set_state(suspects, suspect, KC_SUSPECT_CLEAR);
        }
        else {
            KcSuspects_ClearEvidence(suspects, suspect, now);
        }
    }
}

uint32_t
KcSuspects_SelectUnanswered(const KcSuspects *suspects, const uint64_t *parts,
                            uint32_t count, KcTime since, uint64_t *unanswered)
{
    uint32_t unanswered_count = 0;

    for (uint32_t i = 0; i < count; i++) {
        const KcSuspect *suspect = KcSuspects_Find(suspects, parts[i]);

        if (suspect == NULL || suspect->begun_at == 0 ||
            suspect->begun_at < since) {
            unanswered[unanswered_count++] = parts[i];
        }
    }
    return unanswered_count;
}

void
KcSuspects_NoteEnd(KcSuspects *suspects, uint64_t instance,
                   const KcServerEnd *server_end, KcTime now)
{
    KcSuspectEnd end = {.instance = instance, .at = now};

    for (uint32_t i = 0; i < server_end->part_count; i++) {
        KcSuspect *suspect = find_or_add(suspects, server_end->parts[i]);
        KcSuspectNews news = {.kind = KC_SUSPECT_NEWS_END,
                              .part = suspect->part,
                              .epoch = suspect->epoch,
                              .instance = instance};

        if (take_end(suspects, suspect, &end, true)) {
            suspects->options.ops->publish(suspects->options.context, &news);
        }
    }
}

/* Has an answer begun here on the part, after what the news tell? */
static bool
was_answered_since(const KcSuspect *suspect, const KcSuspectNews *news,
                   KcTime now)
{
    return suspect->begun_at != 0 && suspect->begun_at > now - news->age;
}

/* Takes the companions of news of a block; returns whether these are fewer.
 * Of one that this process doesn't know the evidence is still to come. */
static bool
take_companions(const KcSuspects *suspects, KcSuspect *suspect,
                const KcSuspectNews *news, KcTime now)
{
    uint32_t old_count = suspect->companion_count;

    suspect->companion_count = 0;
    for (uint32_t i = 0; i < news->companion_count &&
                         suspect->companion_count < KC_SUSPECT_COMPANIONS_MAX;
         i++) {
        const KcSuspect *companion =
            KcSuspects_Find(suspects, news->companions[i]);

        if (companion == NULL || companion->state != KC_SUSPECT_CLEAR ||
            (companion->epoch == 0 &&
             !was_answered_since(companion, news, now))) {
            suspect->companions[suspect->companion_count++] =
                news->companions[i];
        }
    }
    return suspect->companion_count < old_count;
}

KcSuspectNews
KcSuspects_DescribeCleared(const KcSuspects *suspects, uint64_t part)
{
    return (KcSuspectNews){.kind = KC_SUSPECT_NEWS_CLEARED,
                           .part = part,
                           .epoch = KcSuspects_Find(suspects, part)->epoch};
}

static uint32_t
count_trials(const KcSuspectNews *news)
{
    return news->trial_count < KC_SUSPECT_TRIALS_MAX ? news->trial_count
                                                     : KC_SUSPECT_TRIALS_MAX;
}

KcSuspectReceipt
KcSuspects_Receive(KcSuspects *suspects, const KcSuspectNews *news, KcTime now)
{
    KcSuspect *suspect = find_or_add(suspects, news->part);
    KcSuspectEnd end = {.instance = news->instance, .at = now - news->age};
    bool is_new = news->epoch > suspect->epoch;

    if (news->epoch < suspect->epoch) {
        return KC_SUSPECT_VOID;
    }
    if (is_new) {
        begin_epoch(suspects, suspect, news->epoch, false, now);
    }
    switch (news->kind) {
    case KC_SUSPECT_NEWS_END:
        if (was_answered_since(suspect, news, now)) {
            KcSuspects_ClearEvidence(suspects, suspect, now);
            return KC_SUSPECT_KNOWN;
        }
        is_new = take_end(suspects, suspect, &end, false) || is_new;
        break;
    case KC_SUSPECT_NEWS_BLOCKED:
        if (suspect->state != KC_SUSPECT_BLOCKED) {
            if (was_answered_since(suspect, news, now)) {
                KcSuspects_ClearEvidence(suspects, suspect, now);
                return KC_SUSPECT_KNOWN;
            }
            take_companions(suspects, suspect, news, now);
            suspect->trial_count = count_trials(news);
            KcSuspects_Block(suspects, suspect, now - news->age, false, now);
            is_new = true;
            break;
        }
        if (news->companion_count < suspect->companion_count &&
            take_companions(suspects, suspect, news, now)) {
            KcSuspects_ReportBlocked(suspects, suspect, now);
            is_new = true;
        }
        if (count_trials(news) > suspect->trial_count) {
            suspect->trial_count = count_trials(news);
            suspect->blocked_at = now - news->age;
            is_new = true;
        }
        break;
    case KC_SUSPECT_NEWS_CLEARED:
    case KC_SUSPECT_NEWS_ASK:
    case KC_SUSPECT_NEWS_TRY:
    case KC_SUSPECT_NEWS_KIND_COUNT:
        break;
    }
    return is_new ? KC_SUSPECT_NEW : KC_SUSPECT_KNOWN;
}

/* ---- the decision -------------------------------------------------------- */

/* Are all companions that could be the cause instead in the prompt too? */
static bool
has_companions(const KcSuspect *suspect, const uint64_t *parts, uint32_t count)
{
    for (uint32_t i = 0; i < suspect->companion_count; i++) {
        if (!contains(parts, count, suspect->companions[i])) {
            return false;
        }
    }
    return true;
}

/* Is the part that is tried, or may not be the cause if that one is. */
static bool
is_tried(const KcSuspect *suspect, const KcSuspect *tried)
{
    return tried != NULL &&
           (suspect == tried || KcSuspect_HasCompanion(suspect, tried->part));
}

KcSuspect *
KcSuspects_FindBlocked(const KcSuspects *suspects, const uint64_t *parts,
                       uint32_t count, const KcSuspect *tried)
{
    if (TAILQ_EMPTY(&suspects->lists[KC_SUSPECT_BLOCKED])) {
        return NULL;
    }
    for (uint32_t i = 0; i < count; i++) {
        KcSuspect *suspect = KcSuspects_Find(suspects, parts[i]);

        if (suspect != NULL && suspect->state == KC_SUSPECT_BLOCKED &&
            !is_tried(suspect, tried) &&
            has_companions(suspect, parts, count)) {
            return suspect;
        }
    }
    return NULL;
}

/* ---- the way back -------------------------------------------------------- */

bool
KcSuspects_IsTrialDue(const KcSuspects *suspects, const KcSuspect *suspect,
                      KcTime now)
{
    KcTime delay = suspects->options.trial_delay;

    for (uint32_t i = 0; i < suspect->trial_count; i++) {
        delay *= KC_SUSPECT_DELAY_FACTOR;
    }
    return suspect->state == KC_SUSPECT_BLOCKED &&
           suspect->trial_count < KC_SUSPECT_TRIALS_MAX &&
           now - suspect->blocked_at >= delay;
}

void
KcSuspects_GrantTrial(KcSuspects *suspects, KcSuspect *suspect, KcTime now)
{
    suspect->trial_count++;
    suspect->blocked_at = now;
    record(suspects, KC_SUSPECT_STEP_TRIED, suspect, true);
    KcSuspects_Publish(suspects, suspect, KC_SUSPECT_NEWS_BLOCKED, now);
}

bool
KcSuspects_ClearPart(KcSuspects *suspects, uint64_t part, KcTime now)
{
    KcSuspect *suspect = KcSuspects_Find(suspects, part);

    if (suspect == NULL || suspect->state == KC_SUSPECT_CLEAR) {
        return false;
    }
    KcSuspects_ClearEvidence(suspects, suspect, now);
    return true;
}

/* ---- for a process that has just connected ------------------------------- */

void
KcSuspects_TellAll(const KcSuspects *suspects,
                   void (*tell)(void *context, const KcSuspectNews *news),
                   void *context, KcTime now)
{
    const KcSuspect *suspect;
    KcSuspectNews news;

    TAILQ_FOREACH (suspect, &suspects->lists[KC_SUSPECT_SUSPECTED], link) {
        for (uint32_t i = 0; i < suspect->end_count; i++) {
            news = describe(suspect, KC_SUSPECT_NEWS_END, now);
            news.companion_count = 0;
            news.instance = suspect->ends[i].instance;
            news.age = now - suspect->ends[i].at;
            tell(context, &news);
        }
    }
    TAILQ_FOREACH (suspect, &suspects->lists[KC_SUSPECT_BLOCKED], link) {
        news = describe(suspect, KC_SUSPECT_NEWS_BLOCKED, now);
        tell(context, &news);
    }
}

/* ---- names --------------------------------------------------------------- */

const char *
KcSuspectStep_Name(KcSuspectStep step)
{
    static const char *const names[KC_SUSPECT_STEP_COUNT] = {
        "suspected", "blocked", "tried", "cleared"};

    return names[step];
}
