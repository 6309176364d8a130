/*
 * The order of the requests that wait for a server of one service.
 */
#include "kcc_queue.h"

bool
KcQueued_IsInTime(const KcQueued *queued, KcTime first_byte, KcTime now)
{
    return now + first_byte <= queued->in_time_until;
}

bool
KcQueued_IsBefore(const KcQueued *queued, const KcQueued *other,
                  KcTime first_byte, KcTime now)
{
    bool is_in_time = KcQueued_IsInTime(queued, first_byte, now);

    if (queued->urgency != other->urgency) {
        return queued->urgency < other->urgency;
    }
    if (queued->is_begun != other->is_begun) {
        return queued->is_begun;
    }
    if (is_in_time != KcQueued_IsInTime(other, first_byte, now)) {
        return is_in_time;
    }
    if (queued->turn != other->turn) {
        return queued->turn < other->turn;
    }
    if (is_in_time && queued->in_time_until != other->in_time_until) {
        return queued->in_time_until < other->in_time_until;
    }
    return queued->arrived_at < other->arrived_at;
}
