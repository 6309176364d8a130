/*
 * The order of the requests that wait for a server of one service.
 */
#include "kcc_queue.h"

bool
KcQueued_IsBefore(const KcQueued *queued, const KcQueued *other)
{
    if (queued->urgency != other->urgency) {
        return queued->urgency < other->urgency;
    }
    return queued->arrived_at < other->arrived_at;
}
