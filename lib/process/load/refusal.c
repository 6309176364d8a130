/*
 * Which of the requests that wait are refused, and when their callers come
 * back.
 */
#include "kcc_queue.h"

/* A request waits for its objective divided by this, but at least WAIT_MIN. */
#define WAIT_DIVISOR 8
#define WAIT_MIN (20 * KC_MS)
/* Until a caller comes back, when nothing is known. */
#define RETRY_AFTER_DEFAULT (400 * KC_MS)

KcTime
KcRefusal_WaitMin(KcTime objective)
{
    KcTime wait = objective / WAIT_DIVISOR;

    return wait > WAIT_MIN ? wait : WAIT_MIN;
}

KcTime
KcRefusal_RetryAfter(void)
{
    return RETRY_AFTER_DEFAULT;
}
