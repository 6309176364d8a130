/*
 * Options that every connection of ours has, and listening.
 */
#ifndef KCC_SOCKET_H
#define KCC_SOCKET_H

#include <event2/listener.h>
#include <event2/util.h>

#include <kcc.h>

/*
 * Sends at once, and lets the kernel end a connection whose other side has
 * fallen silent for about the given time, by keep-alive probes and by the
 * age of unacknowledged bytes.
 */
void KcSocket_SetConnectionOptions(evutil_socket_t fd, KcTime silence_timeout);

/*
 * Listens at "address:port".  Returns NULL when the address is invalid or
 * cannot be bound.
 */
struct evconnlistener *KcSocket_Listen(struct event_base *base,
                                       const char *address,
                                       evconnlistener_cb on_accept,
                                       void *context);

#endif
