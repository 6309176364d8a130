/*
 * HTTP front end of a gateway: its listening socket, and planned stops.
 */
#include <stdlib.h>
#include <sys/socket.h>

#include "../connection/socket.h"
#include "gateway_front_end_internal.h"

/*
 * What the kernel holds of a caller's input. By itself it holds some MB of a
 * connection that has carried a large request.
 */
#define RECEIVE_BUFFER_BYTES (128 * 1024)
/* The same of its output, which by itself grows to some MB for a caller that
 * reads slowly. */
#define SEND_BUFFER_BYTES (128 * 1024)

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    (void)listener;
    (void)address;
    (void)size;
    KcCallerConnection_Accept(context, fd);
}

static void
on_accept_error(struct evconnlistener *listener, void *context)
{
    (void)listener;
    KcAcceptPause_OnError(&((KcGatewayFrontEnd *)context)->accept_pause);
}

static void
close_listener(KcGatewayFrontEnd *front_end)
{
    if (front_end->listener != NULL) {
        KcAcceptPause_Clear(&front_end->accept_pause);
        evconnlistener_free(front_end->listener);
        front_end->listener = NULL;
    }
}

/* Accepts the connections that the kernel has established so far. */
static void
accept_waiting(KcGatewayFrontEnd *front_end)
{
    evutil_socket_t listening = evconnlistener_get_fd(front_end->listener);
    struct sockaddr_storage remote;
    struct sockaddr *address = (struct sockaddr *)&remote;
    socklen_t size = sizeof(remote);
    evutil_socket_t fd;

    while ((fd = accept4(listening, address, &size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        on_accept(front_end->listener, fd, address, (int)size, front_end);
        size = sizeof(remote);
    }
}

/* Not done where bytes are added: a request is being answered there. */
static void
on_excess_timer(KcTimer *timer, KcTime now)
{
    KcGatewayFrontEnd *front_end = timer->owner;
    KcOutputShare *share;

    while ((share = KcOutputPool_FindExcess(&front_end->output_pool)) !=
           NULL) {
        KcCallerConnection_EndSlow(share, now);
    }
}

KcGatewayFrontEnd *
KcGatewayFrontEnd_Create(const KcGatewayFrontEndOptions *options)
{
    KcGatewayFrontEnd *front_end = KcMem_New(sizeof(*front_end));

    front_end->options = *options;
    front_end->receive_until = KC_NEVER;
    front_end->connection_limit =
        (KcConnectionLimit){.accept_pause = &front_end->accept_pause,
                            .connections_max = options->connections_max};
    TAILQ_INIT(&front_end->connections);
    KcOutputPool_Init(&front_end->output_pool, options->unsent_bytes_max);
    KcTimer_Init(&front_end->excess_timer, on_excess_timer, front_end);
    front_end->listener = KcSocket_Listen(
        options->loop->base, options->address, on_accept, front_end);
    if (front_end->listener == NULL) {
        free(front_end);
        return NULL;
    }
    KcSocket_SetReceiveBuffer(front_end->listener, RECEIVE_BUFFER_BYTES);
    KcSocket_SetSendBuffer(front_end->listener, SEND_BUFFER_BYTES);
    KcAcceptPause_Init(&front_end->accept_pause, options->loop,
                       front_end->listener, options->counters);
    evconnlistener_set_error_cb(front_end->listener, on_accept_error);
    return front_end;
}

void
KcGatewayFrontEnd_SetOpen(KcGatewayFrontEnd *front_end, bool is_open)
{
    KcAcceptPause_SetHeld(&front_end->accept_pause, !is_open);
}

void
KcGatewayFrontEnd_Free(KcGatewayFrontEnd *front_end)
{
    KcCallerConnection *connection;

    while ((connection = TAILQ_FIRST(&front_end->connections)) != NULL) {
        KcCallerConnection_Free(connection);
    }
    close_listener(front_end);
    KcTimers_Clear(front_end->options.loop->timers, &front_end->excess_timer);
    free(front_end);
}

void
KcGatewayFrontEnd_Drain(KcGatewayFrontEnd *front_end, KcTime idle_until,
                        KcTime receive_until)
{
    KcCallerConnection *connection;

    front_end->is_leaving = true;
    front_end->idle_until = idle_until;
    front_end->receive_until = receive_until;
    TAILQ_FOREACH (connection, &front_end->connections, link) {
        KcCallerConnection_Drain(connection);
    }
}

void
KcGatewayFrontEnd_EndIntake(KcGatewayFrontEnd *front_end)
{
    KcCallerConnection *connection;
    KcCallerConnection *next;

    if (front_end->listener != NULL) {
        accept_waiting(front_end);
    }
    close_listener(front_end);
    TAILQ_FOREACH_SAFE (connection, &front_end->connections, link, next) {
        KcCallerConnection_EndIntake(connection);
    }
}

bool
KcGatewayFrontEnd_IsQuiet(const KcGatewayFrontEnd *front_end)
{
    const KcCallerConnection *connection;

    TAILQ_FOREACH (connection, &front_end->connections, link) {
        if (front_end->listener == NULL ||
            !KcCallerConnection_IsQuiet(connection)) {
            return false;
        }
    }
    return true;
}

size_t
KcGatewayFrontEnd_UnsentBytes(const KcGatewayFrontEnd *front_end)
{
    return front_end->output_pool.bytes;
}
