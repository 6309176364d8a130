/*
 * TCP transport of links between our processes: length-prefixed msgpack frames
 * over bufferevents.
 */
#ifndef KCC_TCP_H
#define KCC_TCP_H

#include <event2/event.h>

#include "../process/loop.h"

typedef struct KcTcpConnection KcTcpConnection;

/* Callbacks to the owner of a connection. */
typedef struct KcTcpOps {
    /*
     * Both HELLO messages were exchanged. Called on the connecting side only.
     * The link is the owner's from now on.
     */
    void (*on_ready)(void *context, void *peer_context, KcLink *link);
    /*
     * A message has arrived: on the connecting side any after the peer's
     * HELLO, on the accepting side any, HELLO included. The callback may close
     * the connection.
     */
    void (*on_message)(void *context, KcLink *link, const KcMsg *msg);
    /*
     * The first message of a type that this version does not know was skipped;
     * later ones on the link are skipped without a report. Must not close the
     * connection.
     */
    void (*on_skipped)(void *context, KcLink *link, int type);
    /*
     * The connection ended without KcTcpConnection_Close(). The transport is
     * already freed. The callback must free the link, which is NULL when
     * on_ready was still to be called. peer_context is NULL on the accepting
     * side. code is KC_ERR_PEER_LOST, KC_ERR_PROTOCOL, KC_ERR_PARSE or
     * KC_ERR_TOO_LARGE.
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
 * Connects to "address:port", sends hello and waits for the peer's HELLO. The
 * result is reported by on_ready, or by on_closed at the latest after
 * setup_timeout; both get peer_context, and neither is called before the
 * function returns. Never returns NULL: an address that is not valid is
 * reported by on_closed.
 */
KcTcpConnection *KcTcpConnection_Connect(const KcTcpOptions *options,
                                         void *peer_context,
                                         const char *address,
                                         const KcMsg *hello,
                                         KcTime setup_timeout);

/*
 * Closes and frees a connection; no callback is called for it afterwards. The
 * owner frees a link that it got from on_ready or on_accepted.
 */
void KcTcpConnection_Close(KcTcpConnection *tcp);

typedef struct KcTcpListener KcTcpListener;

/*
 * Listens at "address:port". on_accepted is called with the link of each new
 * connection; its messages and its end are reported by options->ops. Returns
 * NULL when the address cannot be bound, as when another process listens
 * there: an agent relies on this to keep a second agent off its slot.
 */
KcTcpListener *
KcTcpListener_Create(const KcTcpOptions *options, const char *address,
                     void (*on_accepted)(void *context, KcLink *link));
void KcTcpListener_Free(KcTcpListener *listener);

#endif
