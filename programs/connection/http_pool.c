/*
 * Idle connections to one backend server, the last used first.
 */
#include "http_pool.h"

#include <stdlib.h>

/* Idle connections kept for one server. */
#define IDLE_MAX 16

typedef struct Idle {
    TAILQ_ENTRY(Idle) link;
    KcHttpPool *pool;
    KcHttpPeer *peer;
    KcTime since;
    KcTimer timer;
} Idle;

struct KcHttpPool {
    KcLoop *loop;
    uint32_t count;
    TAILQ_HEAD(IdleList, Idle) idle;
};

static void
drop(Idle *idle)
{
    KcHttpPool *pool = idle->pool;

    KcTimers_Clear(pool->loop->timers, &idle->timer);
    TAILQ_REMOVE(&pool->idle, idle, link);
    pool->count--;
    free(idle);
}

static void
close_idle(Idle *idle)
{
    KcHttpPeer *peer = idle->peer;

    drop(idle);
    KcHttpPeer_Close(peer);
}

/* An idle connection ended, or carries bytes that belong to no request. */
static void
on_failed(void *owner, int code)
{
    (void)code;
    close_idle(owner);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    (void)message;
    close_idle(owner);
}

static void
on_body(void *owner, KcBytes bytes)
{
    (void)owner;
    (void)bytes;
}

static void
on_end(void *owner)
{
    (void)owner;
}

static const KcHttpPeerOps idle_ops = {
    .head = on_head, .body = on_body, .end = on_end, .failed = on_failed};

static void
on_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    close_idle(timer->owner);
}

KcHttpPool *
KcHttpPool_Create(KcLoop *loop)
{
    KcHttpPool *pool = KcMem_New(sizeof(*pool));

    pool->loop = loop;
    TAILQ_INIT(&pool->idle);
    return pool;
}

void
KcHttpPool_CloseAll(KcHttpPool *pool)
{
    Idle *idle;

    while ((idle = TAILQ_FIRST(&pool->idle)) != NULL) {
        close_idle(idle);
    }
}

void
KcHttpPool_Free(KcHttpPool *pool)
{
    KcHttpPool_CloseAll(pool);
    free(pool);
}

KcHttpPeer *
KcHttpPool_Take(KcHttpPool *pool, KcTime idle_max)
{
    Idle *idle = TAILQ_FIRST(&pool->idle);
    KcHttpPeer *peer;

    if (idle == NULL || KcLoop_Now() - idle->since > idle_max) {
        return NULL;
    }
    peer = idle->peer;
    drop(idle);
    return peer;
}

void
KcHttpPool_Put(KcHttpPool *pool, KcHttpPeer *peer, KcTime keep)
{
    Idle *idle;

    /* With a request that has not left whole, the server would take the
     * next one for its rest. */
    if (KcHttpPeer_Pending(peer) > 0 || KcHttpPeer_Unread(peer) > 0) {
        KcHttpPeer_Close(peer);
        return;
    }
    idle = KcMem_New(sizeof(*idle));
    idle->pool = pool;
    idle->peer = peer;
    idle->since = KcLoop_Now();
    KcTimer_Init(&idle->timer, on_timer, idle);
    KcTimers_Set(pool->loop->timers, &idle->timer, idle->since + keep);
    TAILQ_INSERT_HEAD(&pool->idle, idle, link);
    pool->count++;
    KcHttpPeer_SetOwner(peer, &idle_ops, idle);
    KcHttpPeer_Next(peer);
    if (pool->count > IDLE_MAX) {
        close_idle(TAILQ_LAST(&pool->idle, IdleList));
    }
}
