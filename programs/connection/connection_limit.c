/*
 * Limits the connections that a listener accepts.
 */
#include "connection_limit.h"

static void
update_pause(KcConnectionLimit *limit)
{
    KcAcceptPause_SetHeld(limit->accept_pause,
                          limit->admitted_count >= limit->connections_max &&
                              limit->excess_count >=
                                  KC_EXCESS_CONNECTIONS_MAX);
}

bool
KcConnectionLimit_Add(KcConnectionLimit *limit)
{
    bool is_admitted = limit->admitted_count < limit->connections_max;

    if (is_admitted) {
        limit->admitted_count++;
    }
    else {
        limit->excess_count++;
    }
    update_pause(limit);
    return is_admitted;
}

bool
KcConnectionLimit_Admit(KcConnectionLimit *limit)
{
    if (limit->admitted_count >= limit->connections_max) {
        return false;
    }
    limit->admitted_count++;
    limit->excess_count--;
    update_pause(limit);
    return true;
}

void
KcConnectionLimit_Remove(KcConnectionLimit *limit, bool was_admitted)
{
    if (was_admitted) {
        limit->admitted_count--;
    }
    else {
        limit->excess_count--;
    }
    update_pause(limit);
}
