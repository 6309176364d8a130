/*
 * Socket options common to all TCP connections, and listening sockets.
 */
#ifndef KCC_SOCKET_H
#define KCC_SOCKET_H

#include <event2/listener.h>
#include <event2/util.h>

#include <kcc.h>

/*
 * Disables Nagle's algorithm, and lets the kernel end a connection whose peer
 * has not answered for about silence_timeout: by keep-alive probes when idle,
 * by TCP_USER_TIMEOUT when sent bytes are not acknowledged. Errors are
 * ignored.
 */
void KcSocket_SetConnectionOptions(evutil_socket_t fd, KcTime silence_timeout);

/*
 * Listens at "address:port" and calls on_accept for each connection. Returns
 * NULL when the address is invalid or cannot be bound. The caller frees the
 * listener with evconnlistener_free().
 */
struct evconnlistener *KcSocket_Listen(struct event_base *base,
                                       const char *address,
                                       evconnlistener_cb on_accept,
                                       void *context);

/*
 * Limits what the kernel holds of the input of each connection that the
 * listener accepts. Errors are ignored.
 */
void KcSocket_SetReceiveBuffer(struct evconnlistener *listener, int bytes);
/* The same of the output. */
void KcSocket_SetSendBuffer(struct evconnlistener *listener, int bytes);

/*
 * Returns whether the peer's kernel has acknowledged all that was sent and the
 * connection has no pending error, such as a reset. Where the kernel doesn't
 * tell, this is taken for granted.
 */
bool KcSocket_IsIntact(evutil_socket_t fd);

#endif
