/*
 * One HTTP/1.1 connection, accepted from a caller or opened to a server,
 * parsed strictly by http_parser.
 *
 * Each message is reported by head, body and end. The connection then parses
 * nothing until KcHttpConnection_ReadNextMessage(), so that bytes after a
 * message are never taken for a part of it.
 */
#ifndef KCC_HTTP_CONNECTION_H
#define KCC_HTTP_CONNECTION_H

#include <event2/buffer.h>

#include "../process/loop.h"
#include "http_message.h"

typedef struct KcHttpConnection KcHttpConnection;

/* Callbacks to the owner of a connection. Each of them may close it. */
typedef struct KcHttpConnectionOps {
    /* The connection is established (connecting side only); may be NULL. */
    void (*on_connected)(void *owner);
    /* The first byte of a message has arrived; may be NULL. */
    void (*on_message_begin)(void *owner);
    /* The head of a message is complete. */
    void (*on_head)(void *owner, const KcHttpMessage *message);
    /* A part of the body without its framing; valid during the call. */
    void (*on_body)(void *owner, KcBytes bytes);
    /* The message is complete; KcHttpConnection_ReadNextMessage() is needed to
     * go on. */
    void (*on_message_end)(void *owner);
    /*
     * The connection cannot be used further: KC_ERR_PEER_LOST when it ended,
     * KC_ERR_PARSE for bytes that are not a valid message, KC_ERR_TOO_LARGE
     * for a head, or framing around a response's body, above its limit,
     * KC_ERR_PROTOCOL for bytes after a response.
     * The owner still has to close it.
     */
    void (*on_failed)(void *owner, int code);
    /* The output buffer has been passed to the kernel; may be NULL. */
    void (*on_output_sent)(void *owner);
} KcHttpConnectionOps;

typedef struct KcHttpConnectionOptions {
    KcLoop *loop;
    const KcHttpConnectionOps *ops;
    void *owner;
    size_t head_bytes_max;    /* bytes of target, header names and values; of
                                 responses also of all that is not body */
    KcIntakePool *input_pool; /* counts received bytes that are not parsed;
                                 must outlive the connection; NULL: none */
    KcTime silence_timeout;   /* see KcSocket_SetConnectionOptions() */
    KcTime stall_timeout;     /* longest time in which an accepted connection's
                                 peer takes no output; 0: not limited */
} KcHttpConnectionOptions;

/*
 * Takes over an accepted socket and reads requests from it. Returns NULL, with
 * the socket closed, when libevent cannot use it.
 */
KcHttpConnection *
KcHttpConnection_Accept(const KcHttpConnectionOptions *options,
                        evutil_socket_t fd);

/*
 * Connects to "address:port" and reads responses. Returns NULL when the
 * address is not valid or no socket can be opened or connected; a later
 * failure is reported to the owner.
 */
KcHttpConnection *
KcHttpConnection_Connect(const KcHttpConnectionOptions *options,
                         const char *address);

/* Closes and frees a connection; no callback is called for it afterwards. */
void KcHttpConnection_Close(KcHttpConnection *connection);
/*
 * Like KcHttpConnection_Close(), with a TCP reset, so that the peer discards
 * data that it has not read yet.
 */
void KcHttpConnection_Reset(KcHttpConnection *connection);
/*
 * Reads no further message, and closes the connection in stages, see
 * lingering_close.h. Reports KC_ERR_PEER_LOST to the owner just before
 * closing, from the loop.
 */
void KcHttpConnection_CloseWhenSent(KcHttpConnection *connection);

/*
 * Lets the connection parse the next message; no effect before the end of the
 * present one.
 */
void KcHttpConnection_ReadNextMessage(KcHttpConnection *connection);
/* Changes KcHttpConnectionOptions.head_bytes_max, from this message on. */
void KcHttpConnection_SetHeadBytesMax(KcHttpConnection *connection,
                                      size_t head_bytes_max);
/*
 * Announces that the next message is the response to a HEAD request, which has
 * no body whatever its headers say.
 */
void KcHttpConnection_ExpectNoBody(KcHttpConnection *connection);
/*
 * Gives the connection another owner with its own callbacks, for example when
 * it enters or leaves a pool. The framing of responses is counted anew.
 */
void KcHttpConnection_SetOwner(KcHttpConnection *connection,
                               const KcHttpConnectionOps *ops, void *owner);

/*
 * Returns the output buffer, which the connection owns. Bytes added to it are
 * sent.
 */
struct evbuffer *KcHttpConnection_Output(KcHttpConnection *connection);
/* Returns whether the peer has acknowledged all output, as far as known. */
bool KcHttpConnection_IsOutputTaken(const KcHttpConnection *connection);
/* Returns the number of output bytes not yet passed to the kernel. */
size_t KcHttpConnection_UnsentBytes(const KcHttpConnection *connection);
/*
 * Returns the number of bytes received for the present owner that were not
 * body: heads, interim responses, framing of chunks, trailers.
 */
size_t KcHttpConnection_FramingBytes(const KcHttpConnection *connection);
/*
 * Returns the number of bytes that have arrived and were not parsed, with
 * those that the kernel holds; 0 for a closed connection.
 */
size_t KcHttpConnection_UnreadBytes(const KcHttpConnection *connection);
/* Returns whether bytes, or the end of the stream, have arrived that were not
 * parsed. */
bool KcHttpConnection_HasInput(const KcHttpConnection *connection);
/* Returns whether the peer has ended its stream; it may still read. */
bool KcHttpConnection_HasInputEnded(const KcHttpConnection *connection);
/*
 * Returns whether the peer has taken all output and has not reset the
 * connection, as far as known: after the end of its stream, whether that was
 * the end of an answer to all that was sent.
 */
bool KcHttpConnection_IsIntact(const KcHttpConnection *connection);
/* Returns the number of received bytes not yet parsed. */
size_t KcHttpConnection_UnparsedBytes(const KcHttpConnection *connection);
/* Returns whether the connection could not be made, as nothing accepts any at
 * the address. */
bool KcHttpConnection_WasRefused(const KcHttpConnection *connection);
/*
 * Pauses or resumes reading from the connection, for backpressure on the peer.
 */
void KcHttpConnection_SetReadPaused(KcHttpConnection *connection, bool paused);

#endif
