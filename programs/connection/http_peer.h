/*
 * One HTTP/1.1 connection, accepted from a caller or opened to a server,
 * parsed strictly by http_parser.
 *
 * Each message is reported by head, body and end. The connection then parses
 * nothing until KcHttpPeer_Next(), so that bytes after a message are never
 * taken for a part of it.
 */
#ifndef KCC_HTTP_PEER_H
#define KCC_HTTP_PEER_H

#include <event2/buffer.h>

#include "../process/loop.h"
#include "http_message.h"

typedef struct KcHttpPeer KcHttpPeer;

/* Callbacks to the owner of a connection. Each of them may close it. */
typedef struct KcHttpPeerOps {
    /* The connection is established (connecting side only); may be NULL. */
    void (*connected)(void *owner);
    /* The first byte of a message has arrived; may be NULL. */
    void (*begins)(void *owner);
    /* The head of a message is complete. */
    void (*head)(void *owner, const KcHttpMessage *message);
    /* A part of the body without its framing; valid during the call. */
    void (*body)(void *owner, KcBytes bytes);
    /* The message is complete; KcHttpPeer_Next() is needed to go on. */
    void (*end)(void *owner);
    /*
     * The connection cannot be used further: KC_ERR_LOST when it ended,
     * KC_ERR_PARSE for bytes that are not a valid message, KC_ERR_TOO_LARGE
     * for a head above its limit, KC_ERR_PROTOCOL for bytes after a response.
     * The owner still has to close it.
     */
    void (*failed)(void *owner, int code);
    /* The output buffer has been passed to the kernel; may be NULL. */
    void (*drained)(void *owner);
} KcHttpPeerOps;

typedef struct KcHttpPeerOptions {
    KcLoop *loop;
    const KcHttpPeerOps *ops;
    void *owner;
    size_t header_max; /* bytes of target, header names and values */
    KcTime silence;    /* see KcSocket_SetConnectionOptions() */
} KcHttpPeerOptions;

/*
 * Takes over an accepted socket and reads requests from it. Returns NULL, with
 * the socket closed, when libevent cannot use it.
 */
KcHttpPeer *KcHttpPeer_Accept(const KcHttpPeerOptions *options,
                              evutil_socket_t fd);

/*
 * Connects to "address:port" and reads responses. Returns NULL when the
 * address is not valid or no socket can be opened or connected; a later
 * failure is reported to the owner.
 */
KcHttpPeer *KcHttpPeer_Connect(const KcHttpPeerOptions *options,
                               const char *address);

/* Closes and frees a connection; no callback is called for it afterwards. */
void KcHttpPeer_Close(KcHttpPeer *connection);
/*
 * Like KcHttpPeer_Close(), with a TCP reset, so that the peer discards data
 * that it has not read yet.
 */
void KcHttpPeer_Reset(KcHttpPeer *connection);
/*
 * Stops reading and closes the connection when all output has been passed to
 * the kernel. Reports KC_ERR_LOST to the owner just before closing, at once
 * when no output is left.
 */
void KcHttpPeer_CloseWhenSent(KcHttpPeer *connection);

/*
 * Lets the connection parse the next message; no effect before the end of the
 * present one.
 */
void KcHttpPeer_Next(KcHttpPeer *connection);
/*
 * Announces that the next message is the response to a HEAD request, which has
 * no body whatever its headers say.
 */
void KcHttpConnection_ExpectNoBody(KcHttpPeer *connection);
/*
 * Gives the connection another owner with its own callbacks, for example when
 * it enters or leaves a pool.
 */
void KcHttpConnection_SetOwner(KcHttpPeer *connection,
                               const KcHttpPeerOps *ops, void *owner);

/*
 * Returns the output buffer, which the connection owns. Bytes added to it are
 * sent.
 */
struct evbuffer *KcHttpPeer_Output(KcHttpPeer *connection);
/* Returns the number of output bytes not yet passed to the kernel. */
size_t KcHttpConnection_UnsentBytes(const KcHttpPeer *connection);
/* Returns the number of received bytes not yet parsed. */
size_t KcHttpConnection_UnparsedBytes(const KcHttpPeer *connection);
/*
 * Pauses or resumes reading from the connection, for backpressure on the peer.
 */
void KcHttpConnection_SetReadPaused(KcHttpPeer *connection, bool paused);

#endif
