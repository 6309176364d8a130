/*
 * Output pool: how much of the answers a process holds for callers that read
 * slowly, and who gives way when that is too much.
 *
 * A connection reports its unsent bytes.  Its share of the pool decides when
 * the server of a stream is no longer read; when the pool is exceeded all the
 * same, as whole answers can't be held back, the caller that has taken nothing
 * for longest loses its connection.
 */
#ifndef KCC_OUTPUT_POOL_H
#define KCC_OUTPUT_POOL_H

#include "kcc_types.h"

/* The part of one connection; embedded in it, zeroed memory. */
typedef struct KcOutputShare {
    TAILQ_ENTRY(KcOutputShare) link; /* while bytes is above 0 */
    size_t bytes;                    /* unsent */
} KcOutputShare;

/* Those that took nothing for longest come first. */
TAILQ_HEAD(KcOutputShareList, KcOutputShare);

typedef struct KcOutputPool {
    size_t bytes_max; /* 0: no limit */
    size_t bytes;     /* of all shares */
    struct KcOutputShareList shares;
} KcOutputPool;

void KcOutputPool_Init(KcOutputPool *pool, size_t bytes_max);

/* So many bytes of a connection are unsent now; has_progress: the caller has
 * taken some since the last call.  0 ends the share. */
void KcOutputPool_Update(KcOutputPool *pool, KcOutputShare *share,
                         size_t bytes, bool has_progress);

/* Unsent bytes above which the server of a stream is not read until the caller
 * has taken them: less when little of the pool is left. */
size_t KcOutputPool_PauseBytes(const KcOutputPool *pool);

/* The share to be ended as the pool is exceeded; NULL: it is not. */
KcOutputShare *KcOutputPool_FindExcess(const KcOutputPool *pool);

#endif
