/*
 * How long work takes at a server, as a percentage of what is usual.
 */
#include "kcc_load.h"

void
KcSpeed_NoteTold(KcSpeed *speed, uint32_t percent, KcTime now)
{
    if (percent == 0) {
        return;
    }
    speed->told_percent = percent;
    speed->told_at = now;
}

bool
KcSpeed_IsTold(const KcSpeed *speed)
{
    return speed->told_at != 0;
}
