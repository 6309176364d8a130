/*
 * Sets socket options and opens listening sockets.
 */
#include "socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Unanswered keep-alive probes after which the kernel ends a connection. */
#define UNANSWERED_PROBES_MAX 2

void
KcSocket_SetConnectionOptions(evutil_socket_t fd, KcTime silence_timeout)
{
    int enabled = 1;
    int probe_count = UNANSWERED_PROBES_MAX;
    int probe_interval_s =
        (int)(silence_timeout / (UNANSWERED_PROBES_MAX + 1) / KC_SECOND);
    unsigned int unacknowledged_ms_max =
        (unsigned int)(silence_timeout / KC_MS);

    probe_interval_s = probe_interval_s > 0 ? probe_interval_s : 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s,
               sizeof(probe_interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s,
               sizeof(probe_interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probe_count,
               sizeof(probe_count));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms_max,
               sizeof(unacknowledged_ms_max));
}

struct evconnlistener *
KcSocket_Listen(struct event_base *base, const char *address,
                evconnlistener_cb on_accept, void *context)
{
    struct sockaddr_storage local;
    int size = sizeof(local);

    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&local,
                                   &size) != 0) {
        return NULL;
    }
    return evconnlistener_new_bind(
        base, on_accept, context,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        SOMAXCONN, (struct sockaddr *)&local, size);
}

void
KcSocket_SetReceiveBuffer(struct evconnlistener *listener, int bytes)
{
    setsockopt(evconnlistener_get_fd(listener), SOL_SOCKET, SO_RCVBUF, &bytes,
               sizeof(bytes));
}

void
KcSocket_SetSendBuffer(struct evconnlistener *listener, int bytes)
{
    setsockopt(evconnlistener_get_fd(listener), SOL_SOCKET, SO_SNDBUF, &bytes,
               sizeof(bytes));
}

bool
KcSocket_IsIntact(evutil_socket_t fd)
{
    int error = 0;
    int untaken_bytes = 0;
    socklen_t size = sizeof(error);

    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error != 0) {
        return false;
    }
    return ioctl(fd, SIOCOUTQ, &untaken_bytes) != 0 || untaken_bytes == 0;
}
