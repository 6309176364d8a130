/*
 * What the speed of a server adds to the cost of placing a request there.
 */
#include "kcc_load.h"

KcTime
KcPlacing_SpeedCost(const KcSpeed *speed, const KcPlacingWork *work,
                    KcTime now)
{
    KcTime more = (KcTime)KcSpeed_Percent(speed, now) - KC_SPEED_USUAL_PERCENT;

    return (work->own + work->others) * more / KC_SPEED_USUAL_PERCENT;
}
