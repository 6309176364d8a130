/*
 * A pool of idle connections to one server, most recently used first.
 */
#include "http_pool.h"

#include <stdlib.h>

/*
 * Idle connections kept per pool; above it the least recently used is closed.
 */
#define IDLE_CONNECTIONS_MAX 16

typedef struct IdleConnection {
    TAILQ_ENTRY(IdleConnection) link;
    KcHttpPool *pool;
    KcHttpPeer *connection;
    KcTime released_at;
    KcTimer idle_timer;
} IdleConnection;

struct KcHttpPool {
    KcLoop *loop;
    uint32_t idle_count;
    TAILQ_HEAD(IdleConnectionList, IdleConnection) idle_connections;
};

static void
remove_idle(IdleConnection *idle)
{
    KcHttpPool *pool = idle->pool;

    KcTimers_Clear(pool->loop->timers, &idle->idle_timer);
    TAILQ_REMOVE(&pool->idle_connections, idle, link);
    pool->idle_count--;
    free(idle);
}

static void
close_idle(IdleConnection *idle)
{
    KcHttpPeer *connection = idle->connection;

    remove_idle(idle);
    KcHttpPeer_Close(connection);
}

/*
 * An idle connection ended, or received bytes although no request is
 * outstanding.
 */
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
on_idle_timeout(KcTimer *timer, KcTime now)
{
    (void)now;
    close_idle(timer->owner);
}

KcHttpPool *
KcHttpPool_Create(KcLoop *loop)
{
    KcHttpPool *pool = KcMem_New(sizeof(*pool));

    pool->loop = loop;
    TAILQ_INIT(&pool->idle_connections);
    return pool;
}

void
KcHttpPool_CloseAll(KcHttpPool *pool)
{
    IdleConnection *idle;

    while ((idle = TAILQ_FIRST(&pool->idle_connections)) != NULL) {
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
KcHttpConnectionPool_Take(KcHttpPool *pool, KcTime idle_age_max)
{
    IdleConnection *idle = TAILQ_FIRST(&pool->idle_connections);
    KcHttpPeer *connection;

    if (idle == NULL || KcLoop_Now() - idle->released_at > idle_age_max) {
        return NULL;
    }
    connection = idle->connection;
    remove_idle(idle);
    return connection;
}

void
KcHttpConnectionPool_Put(KcHttpPool *pool, KcHttpPeer *connection,
                         KcTime idle_timeout)
{
    IdleConnection *idle;

    /*
     * The server would read the next request as the rest of one that was not
     * sent completely.
     */
    if (KcHttpConnection_UnsentBytes(connection) > 0 ||
        KcHttpConnection_UnparsedBytes(connection) > 0) {
        KcHttpPeer_Close(connection);
        return;
    }
    idle = KcMem_New(sizeof(*idle));
    idle->pool = pool;
    idle->connection = connection;
    idle->released_at = KcLoop_Now();
    KcTimer_Init(&idle->idle_timer, on_idle_timeout, idle);
    KcTimers_Set(pool->loop->timers, &idle->idle_timer,
                 idle->released_at + idle_timeout);
    TAILQ_INSERT_HEAD(&pool->idle_connections, idle, link);
    pool->idle_count++;
    KcHttpConnection_SetOwner(connection, &idle_ops, idle);
    KcHttpPeer_Next(connection);
    if (pool->idle_count > IDLE_CONNECTIONS_MAX) {
        close_idle(TAILQ_LAST(&pool->idle_connections, IdleConnectionList));
    }
}
