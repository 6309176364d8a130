/*
 * How long work takes at a server, as a percentage of what is usual.
 *
 * A server shares its machine with others, so that what it tells changes many
 * times a second.  The last reading says less the older it is; what stays is
 * the mean of the readings, as some servers are slow for good.
 */
#include "kcc_load.h"

/* A reading says nothing beyond the mean at this age. */
#define READING_FADE_TIME (600 * KC_MS)
/* A reading counts in the mean by its distance from the one before, and in
 * full after this time, so that many readings of one moment count once. */
#define MEAN_TIME (4 * KC_SECOND)

void
KcSpeed_NoteTold(KcSpeed *speed, uint32_t percent, KcTime now)
{
    KcTime distance = now - speed->told_at;

    if (percent == 0) {
        return;
    }
    if (speed->told_at == 0 || distance >= MEAN_TIME) {
        speed->steady_percent = percent;
    }
    else {
        speed->steady_percent += (percent - speed->steady_percent) *
                                 (double)distance / (double)MEAN_TIME;
    }
    speed->told_percent = percent;
    speed->told_at = now;
}

bool
KcSpeed_IsTold(const KcSpeed *speed)
{
    return speed->told_at != 0;
}

uint32_t
KcSpeed_Percent(const KcSpeed *speed, KcTime now)
{
    KcTime age = now - speed->told_at;
    double last;

    if (!KcSpeed_IsTold(speed)) {
        return KC_SPEED_USUAL_PERCENT;
    }
    last = speed->told_percent - speed->steady_percent;
    if (age >= READING_FADE_TIME) {
        last = 0;
    }
    else {
        last -= last * (double)age / (double)READING_FADE_TIME;
    }
    return (uint32_t)(speed->steady_percent + last + 0.5);
}
