/*
 * A pool of idle connections to one server, kept open between requests.
 */
#ifndef KCC_HTTP_POOL_H
#define KCC_HTTP_POOL_H

#include "http_peer.h"

typedef struct KcHttpPool KcHttpPool;

KcHttpPool *KcHttpPool_Create(KcLoop *loop);
void KcHttpPool_Free(KcHttpPool *pool);

/*
 * Takes the most recently used connection out of the pool, if it has been idle
 * for at most idle_age_max. The caller then owns it and must set itself as its
 * owner with KcHttpConnection_SetOwner(). Returns NULL when there is none.
 */
KcHttpPeer *KcHttpConnectionPool_Take(KcHttpPool *pool, KcTime idle_age_max);

/*
 * Puts a connection into the pool after a complete response. The pool owns it
 * then and closes it after idle_timeout. Closes it at once when it has unsent
 * or unparsed bytes.
 */
void KcHttpConnectionPool_Put(KcHttpPool *pool, KcHttpPeer *connection,
                              KcTime idle_timeout);

/* Closes all idle connections; the pool stays usable. */
void KcHttpPool_CloseAll(KcHttpPool *pool);

#endif
