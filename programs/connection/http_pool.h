/*
 * Connections to one backend server that are kept open between requests.
 */
#ifndef KCC_HTTP_POOL_H
#define KCC_HTTP_POOL_H

#include "http_peer.h"

typedef struct KcHttpPool KcHttpPool;

KcHttpPool *KcHttpPool_Create(KcLoop *loop);
void KcHttpPool_Free(KcHttpPool *pool);

/*
 * Takes the connection that was used last, if it has been idle for less
 * than idle_age_max.  NULL when there is none.
 */
KcHttpPeer *KcHttpConnectionPool_Take(KcHttpPool *pool, KcTime idle_age_max);

/*
 * Keeps a connection whose last answer is whole, for the given time; closes
 * it when bytes are still on their way, in or out.
 */
void KcHttpConnectionPool_Put(KcHttpPool *pool, KcHttpPeer *connection,
                              KcTime idle_timeout);

/* Closes every connection. */
void KcHttpPool_CloseAll(KcHttpPool *pool);

#endif
