/*
 * One HTTP/1.1 connection, of a caller or to a backend server, read strictly
 * with http_parser.
 *
 * Each message is reported by head, body and end; then the connection stops
 * reading until KcHttpPeer_Next(), so that what follows a message is never
 * taken for a part of it.
 */
#ifndef KCC_HTTP_PEER_H
#define KCC_HTTP_PEER_H

#include <event2/buffer.h>

#include "../process/loop.h"
#include "http_message.h"

typedef struct KcHttpPeer KcHttpPeer;

/* What happens on a connection.  Each call may close it. */
typedef struct KcHttpPeerOps {
    void (*connected)(void *owner); /* connecting side; may be NULL */
    void (*begins)(void *owner);    /* first byte of a head; may be NULL */
    void (*head)(void *owner, const KcHttpMessage *message);
    void (*body)(void *owner, KcBytes bytes);
    void (*end)(void *owner);
    /*
     * The connection is over: KC_ERR_LOST, KC_ERR_PARSE for bytes that are
     * no message, KC_ERR_TOO_LARGE for a head above its bound.
     */
    void (*failed)(void *owner, int code);
    /* Everything written has left; may be NULL. */
    void (*drained)(void *owner);
} KcHttpPeerOps;

typedef struct KcHttpPeerOptions {
    KcLoop *loop;
    const KcHttpPeerOps *ops;
    void *owner;
    size_t header_max; /* bytes of a head */
    KcTime silence;    /* unanswered keep-alive probes end it after this */
} KcHttpPeerOptions;

/* A connection that a listener accepted: it reads requests. */
KcHttpPeer *KcHttpPeer_Accept(const KcHttpPeerOptions *options,
                              evutil_socket_t fd);

/*
 * Connects and reads responses.  Returns NULL when the address is not valid
 * or there is no socket to be had.
 */
KcHttpPeer *KcHttpPeer_Connect(const KcHttpPeerOptions *options,
                               const char *address);

/* Ends a connection; nothing is reported for it afterwards. */
void KcHttpPeer_Close(KcHttpPeer *connection);
/*
 * As KcHttpPeer_Close(), by a reset: what the other side has not read of it
 * yet, it shall not read.
 */
void KcHttpPeer_Reset(KcHttpPeer *connection);
/* As KcHttpPeer_Close(), when everything written has left. */
void KcHttpPeer_CloseWhenSent(KcHttpPeer *connection);

/* Reads the next message. */
void KcHttpPeer_Next(KcHttpPeer *connection);
/* The next message is the response to a HEAD request: it has no body. */
void KcHttpConnection_ExpectNoBody(KcHttpPeer *connection);
/* Changes the owner and what it is told, as when a connection is pooled. */
void KcHttpConnection_SetOwner(KcHttpPeer *connection,
                               const KcHttpPeerOps *ops, void *owner);

/* Bytes to be written go here. */
struct evbuffer *KcHttpPeer_Output(KcHttpPeer *connection);
/* Bytes written that have not left yet. */
size_t KcHttpConnection_UnsentBytes(const KcHttpPeer *connection);
/* Bytes received that have not been read as a message yet. */
size_t KcHttpConnection_UnparsedBytes(const KcHttpPeer *connection);
/* Pauses or resumes reading. */
void KcHttpConnection_SetReadPaused(KcHttpPeer *connection, bool paused);

#endif
