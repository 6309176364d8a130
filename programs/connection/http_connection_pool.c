/*
 * A pool of idle connections to one server, most recently used first.
 */
#include "http_connection_pool.h"

#include <stdlib.h>

/*
 * Idle connections kept per pool; above it the least recently used is closed.
 */
#define IDLE_CONNECTIONS_MAX 16
/*
 * How long a connection with bytes that belong to no request is kept, to read
 * the head that they may be part of.
 */
#define SPOILED_TIMEOUT (100 * KC_MS)

typedef struct IdleConnection {
    TAILQ_ENTRY(IdleConnection) link;
    KcHttpConnectionPool *pool;
    KcHttpConnection *connection;
    KcTime released_at;
    bool is_spoiled; /* has received bytes, and is not given out again */
    KcTimer idle_timer;
} IdleConnection;

struct KcHttpConnectionPool {
    KcLoop *loop;
    void (*on_head)(void *context, const KcHttpMessage *message);
    void *context; /* of on_head */
    uint32_t idle_count;
    uint32_t idle_max;
    TAILQ_HEAD(IdleConnectionList, IdleConnection) idle_connections;
};

static void
remove_idle_connection(IdleConnection *idle)
{
    KcHttpConnectionPool *pool = idle->pool;

    KcTimers_Clear(pool->loop->timers, &idle->idle_timer);
    TAILQ_REMOVE(&pool->idle_connections, idle, link);
    pool->idle_count--;
    free(idle);
}

static void
close_idle_connection(IdleConnection *idle)
{
    KcHttpConnection *connection = idle->connection;

    remove_idle_connection(idle);
    KcHttpConnection_Close(connection);
}

/*
 * An idle connection ended, or received bytes although no request is
 * outstanding.
 */
static void
on_failed(void *owner, int code)
{
    (void)code;
    close_idle_connection(owner);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    IdleConnection *idle = owner;
    KcHttpConnectionPool *pool = idle->pool;

    if (pool->on_head != NULL) {
        pool->on_head(pool->context, message);
    }
    close_idle_connection(idle);
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

static const KcHttpConnectionOps idle_ops = {.on_head = on_head,
                                             .on_body = on_body,
                                             .on_message_end = on_end,
                                             .on_failed = on_failed};

static void
on_idle_timeout(KcTimer *timer, KcTime now)
{
    (void)now;
    close_idle_connection(timer->owner);
}

KcHttpConnectionPool *
KcHttpConnectionPool_Create(KcLoop *loop)
{
    KcHttpConnectionPool *pool = KcMem_New(sizeof(*pool));

    pool->loop = loop;
    pool->idle_max = IDLE_CONNECTIONS_MAX;
    TAILQ_INIT(&pool->idle_connections);
    return pool;
}

void
KcHttpConnectionPool_SetHeadCallback(
    KcHttpConnectionPool *pool,
    void (*callback)(void *context, const KcHttpMessage *message),
    void *context)
{
    pool->on_head = callback;
    pool->context = context;
}

/* Closes the least recently used ones beyond the maximum. */
static void
close_surplus(KcHttpConnectionPool *pool, uint32_t idle_max)
{
    while (pool->idle_count > idle_max) {
        close_idle_connection(
            TAILQ_LAST(&pool->idle_connections, IdleConnectionList));
    }
}

void
KcHttpConnectionPool_SetIdleMax(KcHttpConnectionPool *pool, uint32_t idle_max)
{
    pool->idle_max =
        idle_max < IDLE_CONNECTIONS_MAX ? idle_max : IDLE_CONNECTIONS_MAX;
}

void
KcHttpConnectionPool_MakeRoom(KcHttpConnectionPool *pool)
{
    uint32_t kept = pool->idle_count > 0 ? pool->idle_count - 1 : 0;

    close_surplus(pool, kept < pool->idle_max ? kept : pool->idle_max);
}

void
KcHttpConnectionPool_CloseAll(KcHttpConnectionPool *pool)
{
    close_surplus(pool, 0);
}

void
KcHttpConnectionPool_Free(KcHttpConnectionPool *pool)
{
    KcHttpConnectionPool_CloseAll(pool);
    free(pool);
}

/* Is it about to be closed, though its timer or its input may not have been
 * handled yet? */
static bool
is_over(const IdleConnection *idle, KcTime now)
{
    return now >= idle->idle_timer.due_at ||
           KcHttpConnection_HasInput(idle->connection);
}

KcHttpConnection *
KcHttpConnectionPool_Take(KcHttpConnectionPool *pool, KcTime idle_age_max)
{
    KcTime now = KcLoop_Now();
    IdleConnection *idle;
    KcHttpConnection *connection;

    TAILQ_FOREACH (idle, &pool->idle_connections, link) {
        /* Spoiled ones are at the end of the list. */
        if (idle->is_spoiled || now - idle->released_at > idle_age_max) {
            return NULL;
        }
        if (!is_over(idle, now)) {
            connection = idle->connection;
            remove_idle_connection(idle);
            return connection;
        }
    }
    return NULL;
}

void
KcHttpConnectionPool_Put(KcHttpConnectionPool *pool,
                         KcHttpConnection *connection, KcTime idle_timeout)
{
    IdleConnection *idle;

    /*
     * After a request that was not sent completely, the server would read the
     * next one as its rest. Received bytes belong to no request, and only a
     * head callback has a use for them.
     */
    if (KcHttpConnection_UnsentBytes(connection) > 0 ||
        (KcHttpConnection_UnparsedBytes(connection) > 0 &&
         pool->on_head == NULL)) {
        KcHttpConnection_Close(connection);
        return;
    }
    idle = KcMem_New(sizeof(*idle));
    idle->pool = pool;
    idle->connection = connection;
    idle->released_at = KcLoop_Now();
    idle->is_spoiled = KcHttpConnection_UnparsedBytes(connection) > 0;
    KcTimer_Init(&idle->idle_timer, on_idle_timeout, idle);
    KcTimers_Set(pool->loop->timers, &idle->idle_timer,
                 idle->released_at +
                     (idle->is_spoiled ? SPOILED_TIMEOUT : idle_timeout));
    if (idle->is_spoiled) {
        TAILQ_INSERT_TAIL(&pool->idle_connections, idle, link);
    }
    else {
        TAILQ_INSERT_HEAD(&pool->idle_connections, idle, link);
    }
    pool->idle_count++;
    KcHttpConnection_SetOwner(connection, &idle_ops, idle);
    KcHttpConnection_ReadNextMessage(connection);
    /* The end of a response may come with the bytes that led to a pause. */
    KcHttpConnection_SetReadPaused(connection, false);
    close_surplus(pool, pool->idle_max);
}
