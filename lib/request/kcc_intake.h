/*
 * Intake: how much of one answer a process reads from a server, for how long,
 * and how much memory the answers take that it keeps until they are complete.
 * The memory of callers' requests is limited in the same way.
 *
 * A server in trouble may send without end.  The reader of an answer reports
 * to its intake what arrives, and closes the connection when the intake cuts
 * the answer off.
 */
#ifndef KCC_INTAKE_H
#define KCC_INTAKE_H

#include "kcc_types.h"

/* Memory of the answers, or of the requests, that a process keeps; zeroed
 * memory but for the limit. */
typedef struct KcIntakePool {
    size_t kept_bytes_max; /* by all answers together, beyond a small part
                            * that each may keep */
    size_t kept_bytes;     /* kept at present */
} KcIntakePool;

/* Bytes that belong to no message yet, as they were not parsed, are kept in
 * addition, or no longer. */
void KcIntakePool_Adjust(KcIntakePool *pool, size_t added_bytes,
                         size_t removed_bytes);

typedef struct KcIntakeLimits {
    size_t body_bytes_max;    /* of the answer */
    size_t skipped_bytes_max; /* of bodies that are not the answer's */
    uint32_t skipped_max;     /* interim answers, and those to earlier
                               * requests */
    uint64_t events_max;      /* numbered events of a stream; 0: no limit */
    uint32_t unnumbered_events_max; /* comments, and events without id; 0: no
                                     * limit */
    KcTime timeout;     /* from the start until the answer is complete,
                         * however much arrives; 0: none */
    KcIntakePool *pool; /* NULL: body_bytes_max alone limits memory */
} KcIntakeLimits;

/* Reading of one answer. */
typedef struct KcIntake {
    KcIntakeLimits limits;
    KcTime ends_at; /* KC_NEVER without a timeout */
    size_t body_bytes;
    size_t skipped_bytes;
    uint32_t skipped_count;
    uint64_t event_count;            /* numbered */
    uint32_t unnumbered_event_count; /* comments too */
    size_t kept_bytes;               /* this answer's part of the pool */
    /* Set when the answer is cut off, for the log. */
    const char *cut_step; /* static text */
    const char *cut_unit; /* static text: bytes, answers, events or ms */
    uint64_t cut_value;   /* what was reached, in the unit */
    uint64_t cut_limit;
} KcIntake;

/* Begins an answer; the limits are copied. */
void KcIntake_Begin(KcIntake *intake, const KcIntakeLimits *limits,
                    KcTime now);

/*
 * The head of a message has arrived; is_skipped: it is interim, or answers an
 * earlier request.  length is 0 when the head states none.  Returns 0, or
 * KC_ERR_TOO_LARGE or KC_ERR_PROTOCOL when the answer must be cut off.
 */
int KcIntake_AddHead(KcIntake *intake, uint64_t length, bool is_skipped);

/* Bytes of a body have arrived.  Returns as KcIntake_AddHead(). */
int KcIntake_AddBody(KcIntake *intake, size_t bytes, bool is_skipped);

/* A whole event of a stream has arrived.  Returns as KcIntake_AddHead(). */
int KcIntake_AddEvent(KcIntake *intake, bool has_id);

/*
 * The reader keeps so many bytes of the answer in memory now.  Returns 0, or
 * KC_ERR_TOO_LARGE when they are more than all answers together, this one
 * included, leave of the pool, and a small part beyond: many large answers
 * share the pool evenly, and a small one always finds room.
 */
int KcIntake_Keep(KcIntake *intake, size_t kept_bytes);

/* Returns 0, or KC_ERR_DEADLINE_EXCEEDED when the answer must be cut off. */
int KcIntake_CheckTime(KcIntake *intake, KcTime now);

/* Ends the answer and returns its part of the pool; may be called again. */
void KcIntake_End(KcIntake *intake);

#endif
