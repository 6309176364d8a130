/*
 * Intake of one answer: its limits of bytes, messages, memory and time.
 */
#include <assert.h>

#include "kcc_intake.h"

/* Each answer may keep so much even when the pool is exhausted, so that
 * servers in trouble cannot stop the small answers of others. */
#define UNPOOLED_BYTES ((size_t)16 * 1024)

void
KcIntakePool_Adjust(KcIntakePool *pool, size_t added_bytes,
                    size_t removed_bytes)
{
    pool->kept_bytes += added_bytes;
    assert(pool->kept_bytes >= removed_bytes);
    pool->kept_bytes -= removed_bytes;
}

void
KcIntake_Begin(KcIntake *intake, const KcIntakeLimits *limits, KcTime now)
{
    *intake = (KcIntake){.limits = *limits, .ends_at = KC_NEVER};
    if (limits->timeout > 0) {
        intake->ends_at = now + limits->timeout;
    }
}

/* Notes why the answer is cut off; returns the code. */
static int
cut(KcIntake *intake, int code, const char *step, const char *unit,
    uint64_t value, uint64_t limit)
{
    intake->cut_step = step;
    intake->cut_unit = unit;
    intake->cut_value = value;
    intake->cut_limit = limit;
    return code;
}

int
KcIntake_AddHead(KcIntake *intake, uint64_t length, bool is_skipped)
{
    size_t limit = is_skipped ? intake->limits.skipped_bytes_max
                              : intake->limits.body_bytes_max;

    if (is_skipped && ++intake->skipped_count > intake->limits.skipped_max) {
        return cut(intake, KC_ERR_PROTOCOL, "skipped answers", "answers",
                   intake->skipped_count, intake->limits.skipped_max);
    }
    if (length > limit) {
        return cut(intake, KC_ERR_TOO_LARGE, "answer length", "bytes", length,
                   limit);
    }
    return 0;
}

int
KcIntake_AddBody(KcIntake *intake, size_t bytes, bool is_skipped)
{
    size_t *total = is_skipped ? &intake->skipped_bytes : &intake->body_bytes;
    size_t limit = is_skipped ? intake->limits.skipped_bytes_max
                              : intake->limits.body_bytes_max;

    *total += bytes;
    if (*total > limit) {
        return cut(intake, KC_ERR_TOO_LARGE,
                   is_skipped ? "skipped body" : "answer body", "bytes",
                   *total, limit);
    }
    return 0;
}

int
KcIntake_AddEvent(KcIntake *intake, bool has_id)
{
    const KcIntakeLimits *limits = &intake->limits;

    if (has_id) {
        intake->event_count++;
        if (limits->events_max > 0 &&
            intake->event_count > limits->events_max) {
            return cut(intake, KC_ERR_PROTOCOL, "stream events", "events",
                       intake->event_count, limits->events_max);
        }
        return 0;
    }
    intake->unnumbered_event_count++;
    if (limits->unnumbered_events_max > 0 &&
        intake->unnumbered_event_count > limits->unnumbered_events_max) {
        return cut(intake, KC_ERR_PROTOCOL, "stream comments", "events",
                   intake->unnumbered_event_count,
                   limits->unnumbered_events_max);
    }
    return 0;
}

int
KcIntake_Keep(KcIntake *intake, size_t kept_bytes)
{
    KcIntakePool *pool = intake->limits.pool;
    size_t limit;

    if (pool == NULL) {
        intake->kept_bytes = kept_bytes;
        return 0;
    }
    assert(pool->kept_bytes >= intake->kept_bytes);
    pool->kept_bytes += kept_bytes - intake->kept_bytes;
    intake->kept_bytes = kept_bytes;
    limit = UNPOOLED_BYTES + (pool->kept_bytes < pool->kept_bytes_max
                                  ? pool->kept_bytes_max - pool->kept_bytes
                                  : 0);
    if (kept_bytes > limit) {
        return cut(intake, KC_ERR_TOO_LARGE, "answers kept", "bytes",
                   kept_bytes, limit);
    }
    return 0;
}

int
KcIntake_CheckTime(KcIntake *intake, KcTime now)
{
    if (now < intake->ends_at) {
        return 0;
    }
    return cut(
        intake, KC_ERR_DEADLINE_EXCEEDED, "answer time", "ms",
        (uint64_t)((now - intake->ends_at + intake->limits.timeout) / KC_MS),
        (uint64_t)(intake->limits.timeout / KC_MS));
}

void
KcIntake_End(KcIntake *intake)
{
    if (intake->limits.pool != NULL) {
        assert(intake->limits.pool->kept_bytes >= intake->kept_bytes);
        intake->limits.pool->kept_bytes -= intake->kept_bytes;
    }
    intake->kept_bytes = 0;
}
