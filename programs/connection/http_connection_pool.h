/*
 * A pool of idle connections to one server, kept open between requests.
 */
#ifndef KCC_HTTP_CONNECTION_POOL_H
#define KCC_HTTP_CONNECTION_POOL_H

#include "http_connection.h"

typedef struct KcHttpConnectionPool KcHttpConnectionPool;

KcHttpConnectionPool *KcHttpConnectionPool_Create(KcLoop *loop);
void KcHttpConnectionPool_Free(KcHttpConnectionPool *pool);

/*
 * Sets a function that is called for each head of a response that arrives on
 * an idle connection, where no request is outstanding; the connection is
 * closed afterwards. May be NULL. The function must not use the pool.
 */
void KcHttpConnectionPool_SetHeadCallback(
    KcHttpConnectionPool *pool,
    void (*callback)(void *context, const KcHttpMessage *message),
    void *context);

/*
 * Takes the most recently used connection whose idle time is not over, and on
 * which nothing has arrived since it was put into the pool, out of the pool,
 * if it has been idle for at most idle_age_max. The caller then owns it and
 * must set itself as its owner with KcHttpConnection_SetOwner(). Returns NULL
 * when there is none.
 */
KcHttpConnection *KcHttpConnectionPool_Take(KcHttpConnectionPool *pool,
                                            KcTime idle_age_max);

/*
 * Puts a connection into the pool after a complete response. The pool owns it
 * then and closes it after idle_timeout. Closes it at once when it has unsent
 * bytes, and once the head of the response that they belong to was read when
 * it has unparsed ones.
 */
void KcHttpConnectionPool_Put(KcHttpConnectionPool *pool,
                              KcHttpConnection *connection,
                              KcTime idle_timeout);

/* Sets how many idle connections are kept at most when one is put into the
 * pool; the pool's own limit holds besides. */
void KcHttpConnectionPool_SetIdleMax(KcHttpConnectionPool *pool,
                                     uint32_t idle_max);
/* Before a new connection is opened: closes the least recently used one, so
 * that connections which are never taken don't add up, and those beyond the
 * maximum. */
void KcHttpConnectionPool_MakeRoom(KcHttpConnectionPool *pool);

/* Closes all idle connections; the pool stays usable. */
void KcHttpConnectionPool_CloseAll(KcHttpConnectionPool *pool);

#endif
