/*
 * Options that every connection of ours has.
 */
#include "socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Keep-alive probes without an answer that end a connection. */
#define PROBES 2

void
KcSocket_Prepare(evutil_socket_t fd, KcTime silence)
{
    int on = 1;
    int probes = PROBES;
    int interval = (int)(silence / (PROBES + 1) / KC_SECOND);
    unsigned int unsent = (unsigned int)(silence / KC_MS);

    interval = interval > 0 ? interval : 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unsent, sizeof(unsent));
}
