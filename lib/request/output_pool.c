/*
 * Unsent answers of a process.
 */
#include "kcc_output_pool.h"

#include <assert.h>

/* Limits of KcOutputPool_PauseBytes().  Even when the pool is used up, events
 * of a stream whose caller reads are not held back one by one. */
#define PAUSE_BYTES_MIN ((size_t)16 * 1024)
#define PAUSE_BYTES_MAX ((size_t)256 * 1024)
/* Part of the unused pool that one stream may fill. */
#define PAUSE_DIVISOR 16

void
KcOutputPool_Init(KcOutputPool *pool, size_t bytes_max)
{
    *pool = (KcOutputPool){.bytes_max = bytes_max};
    TAILQ_INIT(&pool->shares);
}

void
KcOutputPool_Update(KcOutputPool *pool, KcOutputShare *share, size_t bytes,
                    bool has_progress)
{
    size_t bytes_before = share->bytes;

    assert(pool->bytes >= bytes_before);
    pool->bytes += bytes - bytes_before;
    share->bytes = bytes;
    if (bytes_before > 0 && (bytes == 0 || has_progress)) {
        TAILQ_REMOVE(&pool->shares, share, link);
    }
    if (bytes > 0 && (bytes_before == 0 || has_progress)) {
        TAILQ_INSERT_TAIL(&pool->shares, share, link);
    }
}

size_t
KcOutputPool_PauseBytes(const KcOutputPool *pool)
{
    size_t unused =
        pool->bytes < pool->bytes_max ? pool->bytes_max - pool->bytes : 0;
    size_t pause_bytes = unused / PAUSE_DIVISOR;

    if (pool->bytes_max == 0 || pause_bytes > PAUSE_BYTES_MAX) {
        return PAUSE_BYTES_MAX;
    }
    return pause_bytes > PAUSE_BYTES_MIN ? pause_bytes : PAUSE_BYTES_MIN;
}

KcOutputShare *
KcOutputPool_FindExcess(const KcOutputPool *pool)
{
    KcOutputShare *share;

    if (pool->bytes_max == 0 || pool->bytes <= pool->bytes_max) {
        return NULL;
    }
    /* The end of a small one gains little. */
    TAILQ_FOREACH (share, &pool->shares, link) {
        if (share->bytes > PAUSE_BYTES_MIN) {
            return share;
        }
    }
    return TAILQ_FIRST(&pool->shares);
}
