/*
 * Requests with a part that servers have ended on go to servers one at a time:
 * one that ends its server, or is answered, says as much of it as many.
 */
#include "gateway_internal.h"

/* An attempt that has no answer yet holds others back for this long: its
 * server may be silent, and the part sound. */
#define HOLD_MAX (1 * KC_SECOND)
/* Ends after which a part is held; many parts have one by chance. */
#define HOLD_ENDS_MIN 2

/* Ends that a suspected part has; 0: too few to hold requests with it. */
static uint32_t
count_ends(const KcServerPool *pool, uint64_t part)
{
    const KcSuspect *suspect = KcSuspects_Find(&pool->suspects, part);

    return suspect != NULL && suspect->state == KC_SUSPECT_SUSPECTED &&
                   suspect->end_count >= HOLD_ENDS_MIN
               ? suspect->end_count
               : 0;
}

/* The most ends of one part of the request's prompt; 0 as above. */
static uint32_t
count_most_ends(const KcForward *forward)
{
    uint32_t most = 0;

    if (TAILQ_EMPTY(&forward->pool->suspects.lists[KC_SUSPECT_SUSPECTED])) {
        return 0;
    }
    for (uint32_t i = 0; i < forward->part_count; i++) {
        uint32_t ends = count_ends(forward->pool, forward->parts[i]);

        most = ends > most ? ends : most;
    }
    return most;
}

bool
KcForward_IsSuspected(const KcForward *forward)
{
    return count_most_ends(forward) > 0;
}

static bool
has_part(const KcForward *forward, uint64_t part)
{
    for (uint32_t i = 0; i < forward->part_count; i++) {
        if (forward->parts[i] == part) {
            return true;
        }
    }
    return false;
}

/* Has a prompt all parts with the most ends of the other one?  If not, it
 * tells which of them is the cause. */
static bool
has_worst_parts(const KcForward *forward, const KcForward *other)
{
    uint32_t most = count_most_ends(other);

    for (uint32_t i = 0; i < other->part_count && most > 0; i++) {
        if (count_ends(other->pool, other->parts[i]) == most &&
            !has_part(forward, other->parts[i])) {
            return false;
        }
    }
    return most > 0;
}

/* Until when the attempts of a request hold others back; 0: not at all. */
static KcTime
find_hold_end(const KcForward *forward)
{
    const KcForwardAttempt *attempt;
    KcTime end = 0;

    TAILQ_FOREACH (attempt, &forward->attempts, link) {
        if (attempt->has_first_event) {
            return 0;
        }
        if (attempt->started_at + HOLD_MAX > end) {
            end = attempt->started_at + HOLD_MAX;
        }
    }
    return end;
}

KcTime
KcForward_HeldUntil(const KcForward *forward)
{
    const KcForward *other;
    KcTime until = 0;

    if (KcForward_IsKept(forward) || !KcForward_IsSuspected(forward)) {
        return 0;
    }
    TAILQ_FOREACH (other, &forward->gateway->forwards, link) {
        KcTime end = find_hold_end(other);

        if (other != forward && other->pool == forward->pool && end > until &&
            has_worst_parts(forward, other)) {
            until = end;
        }
    }
    return until;
}
