/*
 * Which of the requests that wait are refused.
 */
#include "kcc_queue.h"

/* A request waits for its objective divided by this, but at least WAIT_MIN,
 * whatever is known. */
#define WAIT_DIVISOR 8
#define WAIT_MIN (20 * KC_MS)
/* The wait that is expected may be wrong by this factor. */
#define WAIT_ERROR 2
/* A request that is refused after more than its time divided by this would
 * come back too late elsewhere. */
#define RETURN_DIVISOR 2

KcTime
KcWait_Min(KcTime objective)
{
    KcTime wait = objective / WAIT_DIVISOR;

    return wait > WAIT_MIN ? wait : WAIT_MIN;
}

void
KcWait_Decide(const KcWaitInput *input, KcTime now, KcWaitDecision *decision)
{
    const KcQueued *queued = input->queued;
    KcTime expected = KcQueuePace_ExpectedWait(input->pace, input->place, now);
    KcTime until = queued->arrived_at + KcWait_Min(input->objective);
    KcTime prolonged;
    KcTime late_at;
    KcTime latest = queued->arrived_at +
                    (queued->deadline - queued->arrived_at) / RETURN_DIVISOR;

    *decision =
        (KcWaitDecision){.verdict = KC_WAIT_ON, .expected_wait = expected};
    if (expected != KC_NEVER) {
        if (KcQueuePace_IsSure(input->pace, now) &&
            now + expected / WAIT_ERROR + input->pace->first_byte >=
                queued->deadline) {
            decision->verdict = KC_WAIT_TOO_LONG;
            return;
        }
        prolonged = expected * WAIT_ERROR;
        prolonged = now + (prolonged > WAIT_MIN ? prolonged : WAIT_MIN);
        prolonged = prolonged < latest ? prolonged : latest;
        until = until > prolonged ? until : prolonged;
    }
    if (until <= now) {
        decision->verdict = KC_WAIT_ENDED;
    }
    late_at = queued->in_time_until - input->pace->first_byte + 1;
    decision->until = late_at > now && late_at < until ? late_at : until;
}

const char *
KcWaitVerdict_Name(KcWaitVerdict verdict)
{
    static const char *const names[] = {[KC_WAIT_ON] = "none",
                                        [KC_WAIT_TOO_LONG] = "too_long",
                                        [KC_WAIT_ENDED] = "no_room"};

    return names[verdict];
}
