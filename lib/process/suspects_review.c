/*
 * The decision to block a part of prompts, by the ends of servers that it and
 * other parts explain.
 */
#include <string.h>

#include "suspects_internal.h"

/* Ends that are not further apart may have one cause, as the loss of a rack.
 */
#define MOMENT (100 * KC_MS)

/* ---- ends that count ----------------------------------------------------- */

/* Were enough other prompts answered since the first end?  If not, the servers
 * may end by something that has nothing to do with a prompt, or the part is in
 * all prompts. */
static bool
has_contrast(const KcSuspects *suspects, const KcSuspect *suspect)
{
    return suspects->answer_count - suspect->answers_before >=
           suspects->options.answers_min;
}

/* Is another part, which is blocked, the cause of this end?  Not one that is
 * blocked only together with this one. */
static bool
is_explained(const KcSuspects *suspects, const KcSuspect *suspect,
             const KcSuspectEnd *end)
{
    const KcSuspect *blocked;

    TAILQ_FOREACH (blocked, &suspects->lists[KC_SUSPECT_BLOCKED], link) {
        if (blocked != suspect && KcSuspect_HasEnd(blocked, end->instance) &&
            !KcSuspect_HasCompanion(blocked, suspect->part)) {
            return true;
        }
    }
    return false;
}

/* Which ends count against a part; zero: those that no blocked part explains.
 */
typedef struct EndFilter {
    const KcSuspect *without; /* not those with this part; NULL: all */
    bool with_explained;      /* also those that a blocked part explains */
} EndFilter;

/* The first end after a time that counts against a part; NULL: none. */
static const KcSuspectEnd *
find_end_after(const KcSuspects *suspects, const KcSuspect *suspect,
               const EndFilter *filter, KcTime after, KcTime now)
{
    const KcSuspectEnd *first = NULL;

    for (uint32_t i = 0; i < suspect->end_count; i++) {
        const KcSuspectEnd *end = &suspect->ends[i];

        if (end->at > after && (first == NULL || end->at < first->at) &&
            now - end->at < suspects->options.evidence_timeout &&
            (filter->without == NULL ||
             !KcSuspect_HasEnd(filter->without, end->instance)) &&
            (filter->with_explained ||
             !is_explained(suspects, suspect, end))) {
            first = end;
        }
    }
    return first;
}

/* Number of ends that count. */
static uint32_t
count_ends(const KcSuspects *suspects, const KcSuspect *suspect,
           const EndFilter *filter, KcTime now)
{
    const KcSuspectEnd *end =
        find_end_after(suspects, suspect, filter, INT64_MIN, now);
    uint32_t count = 0;

    while (end != NULL) {
        count++;
        end = find_end_after(suspects, suspect, filter, end->at + MOMENT, now);
    }
    return count;
}

/* Are there enough ends to block a part?  Fewer may have causes that have
 * nothing to do with prompts. */
static bool
has_enough_ends(const KcSuspects *suspects, const KcSuspect *suspect,
                const EndFilter *filter, KcTime now)
{
    uint32_t enough = suspects->options.ends_to_block;

    return suspect->end_count >= enough &&
           count_ends(suspects, suspect, filter, now) >= enough;
}

/* ---- companions ---------------------------------------------------------- */

/* Number of ends with both parts. */
static uint32_t
count_shared_ends(const KcSuspect *suspect, const KcSuspect *other)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < other->end_count; i++) {
        count += KcSuspect_HasEnd(suspect, other->ends[i].instance) ? 1 : 0;
    }
    return count;
}

/* Adds a companion; if there are too many, those that explain least go. */
static void
add_companion(const KcSuspects *suspects, KcSuspect *suspect,
              const KcSuspect *added)
{
    uint32_t place = suspect->companion_count;
    uint32_t shared = count_shared_ends(suspect, added);

    while (place > 0 &&
           count_shared_ends(
               suspect,
               KcSuspects_Find(suspects, suspect->companions[place - 1])) <
               shared) {
        place--;
    }
    if (place == KC_SUSPECT_COMPANIONS_MAX) {
        return;
    }
    if (suspect->companion_count < KC_SUSPECT_COMPANIONS_MAX) {
        suspect->companion_count++;
    }
    memmove(&suspect->companions[place + 1], &suspect->companions[place],
            (suspect->companion_count - place - 1) *
                sizeof(suspect->companions[0]));
    suspect->companions[place] = added->part;
}

/* Finds the parts that could be the cause instead of this one: its companions.
 */
static void
find_companions(const KcSuspects *suspects, KcSuspect *suspect, KcTime now)
{
    suspect->companion_count = 0;
    for (int state = KC_SUSPECT_SUSPECTED; state <= KC_SUSPECT_BLOCKED;
         state++) {
        const KcSuspect *other;

        TAILQ_FOREACH (other, &suspects->lists[state], link) {
            EndFilter filter = {.without = other};

            if (other != suspect && count_shared_ends(suspect, other) > 0 &&
                !has_enough_ends(suspects, suspect, &filter, now)) {
                add_companion(suspects, suspect, other);
            }
        }
    }
}

/* Has this process the evidence for a block, whatever else explains it? */
static bool
has_evidence(const KcSuspects *suspects, const KcSuspect *suspect, KcTime now)
{
    EndFilter filter = {.with_explained = true};

    return has_enough_ends(suspects, suspect, &filter, now);
}

/* Finds the companions of a blocked part again, by the evidence that has come
 * since.  Those that another process has named stay while there is none. */
static void
review_companions(KcSuspects *suspects, KcSuspect *suspect, KcTime now)
{
    uint64_t before[KC_SUSPECT_COMPANIONS_MAX];
    uint32_t before_count = suspect->companion_count;
    bool has_lost_one = false;

    if (!has_evidence(suspects, suspect, now)) {
        return;
    }
    memcpy(before, suspect->companions, sizeof(before));
    find_companions(suspects, suspect, now);
    for (uint32_t i = 0; i < before_count; i++) {
        uint64_t part = before[i];

        if (KcSuspects_Find(suspects, part) == NULL &&
            suspect->companion_count < KC_SUSPECT_COMPANIONS_MAX) {
            suspect->companions[suspect->companion_count++] = part;
        }
        has_lost_one = has_lost_one || !KcSuspect_HasCompanion(suspect, part);
    }
    if (has_lost_one) {
        KcSuspects_ReportBlocked(suspects, suspect, now);
        KcSuspects_Publish(suspects, suspect, KC_SUSPECT_NEWS_BLOCKED, now);
    }
}

/* Do parts that were blocked since explain so many ends of a blocked part that
 * not enough are left? */
static bool
is_block_explained(const KcSuspects *suspects, const KcSuspect *suspect,
                   KcTime now)
{
    EndFilter filter = {.without = NULL};

    return has_evidence(suspects, suspect, now) &&
           !has_enough_ends(suspects, suspect, &filter, now);
}

/* ---- the review ---------------------------------------------------------- */

/* The suspected part with the most ends of those that are to be blocked; NULL:
 * none.  *is_any_left is set when one has enough ends and is not to be. */
static KcSuspect *
find_worst(KcSuspects *suspects, bool *is_any_left, KcTime now)
{
    KcSuspect *suspect;
    KcSuspect *worst = NULL;
    uint32_t most = 0;

    *is_any_left = false;
    TAILQ_FOREACH (suspect, &suspects->lists[KC_SUSPECT_SUSPECTED], link) {
        EndFilter filter = {.without = NULL};
        uint32_t end_count = count_ends(suspects, suspect, &filter, now);

        if (end_count < suspects->options.ends_to_block || end_count <= most) {
            continue;
        }
        if (!has_contrast(suspects, suspect)) {
            *is_any_left = true;
            continue;
        }
        most = end_count;
        worst = suspect;
    }
    return worst;
}

bool
KcSuspects_Review(KcSuspects *suspects, KcTime now)
{
    KcSuspect *suspect;
    KcSuspect *next;
    KcSuspect *worst;
    bool is_any_left;

    TAILQ_FOREACH (suspect, &suspects->lists[KC_SUSPECT_BLOCKED], link) {
        review_companions(suspects, suspect, now);
    }
    while ((worst = find_worst(suspects, &is_any_left, now)) != NULL) {
        find_companions(suspects, worst, now);
        KcSuspects_Block(suspects, worst, now, true, now);
        KcSuspects_Publish(suspects, worst, KC_SUSPECT_NEWS_BLOCKED, now);
    }
    TAILQ_FOREACH_SAFE (suspect, &suspects->lists[KC_SUSPECT_BLOCKED], link,
                        next) {
        if (is_block_explained(suspects, suspect, now)) {
            KcSuspects_ClearEvidence(suspects, suspect, now);
        }
    }
    return is_any_left;
}
