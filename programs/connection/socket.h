/*
 * Options that every connection of ours has.
 */
#ifndef KCC_SOCKET_H
#define KCC_SOCKET_H

#include <event2/util.h>

#include <kcc.h>

/*
 * Sends at once, and lets the kernel end a connection whose other side has
 * fallen silent for about the given time, by keep-alive probes and by the
 * age of unacknowledged bytes.
 */
void KcSocket_Prepare(evutil_socket_t fd, KcTime silence);

#endif
