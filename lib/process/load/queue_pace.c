/*
 * How fast the queue of a service is worked off.
 */
#include <math.h>

#include "kcc_queue.h"

/* A request that was sent counts for about this long. */
#define FADE_TIME (1 * KC_SECOND)
/* So many requests tell whether the queue moves, and how fast it does. */
#define SERVED_MIN 1.0
#define SERVED_SURE 4.0
/* An answer counts for this part of the mean time to the first byte, and a
 * load for the same of the mean time of a load. */
#define MEAN_DIVISOR 10
/* A load that takes longer than the mean by this part still ends before the
 * return. */
#define LOAD_MARGIN_DIVISOR 4

/* The requests sent lately, as of now. */
static double
served_by(const KcQueuePace *pace, KcTime now)
{
    return pace->served *
           exp(-(double)(now - pace->served_at) / (double)FADE_TIME);
}

void
KcQueuePace_Begin(KcQueuePace *pace, KcTime now)
{
    if (pace->begun_at == 0) {
        pace->begun_at = now;
        pace->served_at = now;
        pace->served = 0;
    }
}

void
KcQueuePace_End(KcQueuePace *pace)
{
    pace->begun_at = 0;
}

void
KcQueuePace_NoteServed(KcQueuePace *pace, KcTime now)
{
    if (pace->begun_at != 0) {
        pace->served = served_by(pace, now) + 1;
        pace->served_at = now;
    }
}

/* The mean with one more duration; 0: there was none. */
static KcTime
mean_with(KcTime mean, KcTime duration)
{
    return mean == 0 ? duration : mean + (duration - mean) / MEAN_DIVISOR;
}

void
KcQueuePace_NoteFirstByte(KcQueuePace *pace, KcTime duration)
{
    pace->first_byte = mean_with(pace->first_byte, duration);
}

void
KcQueuePace_NoteLoad(KcQueuePace *pace, KcTime duration)
{
    pace->load_time = mean_with(pace->load_time, duration);
}

/* The part of FADE_TIME, as weighted, that the queue has lasted. */
static double
seen_by(const KcQueuePace *pace, KcTime now)
{
    return 1 - exp(-(double)(now - pace->begun_at) / (double)FADE_TIME);
}

/* Were so many requests sent while the queue lasted, or in FADE_TIME? */
static bool
has_served(const KcQueuePace *pace, double count, KcTime now)
{
    return pace->begun_at != 0 && now > pace->begun_at &&
           served_by(pace, now) >= count * seen_by(pace, now) &&
           pace->served >= count;
}

bool
KcQueuePace_IsSure(const KcQueuePace *pace, KcTime now)
{
    return has_served(pace, SERVED_SURE, now);
}

/* Mean time between requests that are sent; KC_NEVER: unknown. */
static KcTime
service_interval(const KcQueuePace *pace, KcTime now)
{
    return has_served(pace, SERVED_MIN, now)
               ? (KcTime)(seen_by(pace, now) * (double)FADE_TIME /
                          served_by(pace, now))
               : KC_NEVER;
}

KcTime
KcQueuePace_ExpectedWait(const KcQueuePace *pace, uint32_t place, KcTime now)
{
    KcTime interval = service_interval(pace, now);

    return interval != KC_NEVER ? interval * ((KcTime)place + 1) : KC_NEVER;
}

KcTime
KcQueuePace_RetryAfter(KcQueuePace *pace, uint32_t waiting, KcTime time_left,
                       KcTime now)
{
    KcTime interval = service_interval(pace, now);
    KcTime latest = now + time_left / 3;
    KcTime return_at;

    if (interval == KC_NEVER) {
        return_at = now + KC_RETRY_AFTER_DEFAULT;
        return (return_at < latest ? return_at : latest) - now;
    }
    return_at = now + interval * ((KcTime)waiting + 1);
    if (return_at < pace->last_return_at + interval) {
        return_at = pace->last_return_at + interval;
    }
    if (return_at > latest) {
        return latest - now;
    }
    pace->last_return_at = return_at;
    return return_at - now;
}

KcTime
KcQueuePace_RetryAfterLoad(const KcQueuePace *pace, KcTime time_left)
{
    KcTime delay =
        pace->load_time == 0
            ? KC_RETRY_AFTER_DEFAULT
            : pace->load_time + pace->load_time / LOAD_MARGIN_DIVISOR;

    return delay < time_left / 3 ? delay : time_left / 3;
}
