/*
 * Options that every connection of ours has, and listening.
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

struct evconnlistener *
KcSocket_Listen(struct event_base *base, const char *address,
                evconnlistener_cb accepted, void *context)
{
    struct sockaddr_storage at;
    int size = sizeof(at);

    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&at, &size) !=
        0) {
        return NULL;
    }
    return evconnlistener_new_bind(
        base, accepted, context,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        SOMAXCONN, (struct sockaddr *)&at, size);
}
