/*
 * TCP transport of links: length-prefixed msgpack frames over bufferevents.
 */
#ifndef KCC_TCP_H
#define KCC_TCP_H

#include <event2/event.h>

#include "../process/loop.h"

typedef struct KcTcp KcTcp;

/* What happens on a connection. */
typedef struct KcTcpOps {
    /* Both HELLO messages were exchanged (connecting side only). */
    void (*on_ready)(void *context, void *peer_context, KcLink *link);
    /* A message after that; it may close the connection. */
    void (*on_message)(void *context, KcLink *link, const KcMsg *msg);
    /*
     * The connection ended by itself.  The transport is freed; the link is
     * the callee's to free, and NULL when ready was not called.
     */
    void (*on_closed)(void *context, void *peer_context, KcLink *link,
                      int code);
} KcTcpOps;

typedef struct KcTcpOptions {
    KcLoop *loop;
    KcCounters *counters;
    const KcTcpOps *ops;
    void *context;
} KcTcpOptions;

/*
 * Connects, sends hello and waits for the peer's.  Reported by ready or
 * closed with the given peer, never before returning.
 */
KcTcp *KcTcp_Connect(const KcTcpOptions *options, void *peer_context,
                     const char *address, const KcMsg *hello,
                     KcTime setup_timeout);

/* Ends a connection; nothing is reported for it afterwards. */
void KcTcp_Close(KcTcp *tcp);

typedef struct KcTcpListener KcTcpListener;

/*
 * Listens for connections.  accepted is called with the link of each; the
 * messages follow by options->ops.  Returns NULL when the address cannot be
 * bound: it is also the lock that keeps a second agent from the slot.
 */
KcTcpListener *KcTcp_Listen(const KcTcpOptions *options, const char *address,
                            void (*on_accepted)(void *context, KcLink *link));
void KcTcpListener_Free(KcTcpListener *listener);

#endif
