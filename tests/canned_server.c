/*
 * Sends prepared answers to HTTP requests.
 */
#include "canned_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "../programs/connection/socket.h"
#include "json_cases.h"
#include "loopback.h"

/* Notes the target of a request, and sends the next answer. */
static void
on_request(struct bufferevent *bev, void *context)
{
    CannedServer *server = context;
    struct evbuffer *input = bufferevent_get_input(bev);
    const char *target;
    char *answer;

    if (evbuffer_search(input, "\r\n\r\n", 4, NULL).pos < 0) {
        return;
    }
    evbuffer_add(input, "", 1);
    target = strchr((const char *)evbuffer_pullup(input, -1), ' ') + 1;
    g_string_append_printf(
        server->targets, "%s%.*s", server->targets->len > 0 ? " " : "",
        (int)(strstr(target, " HTTP/1.1") - target), target);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (*server->answers == NULL) {
        KcLoop_Stop(server->loop);
        return;
    }
    answer = JsonCases_Expand(*server->answers++);
    evbuffer_add_printf(bufferevent_get_output(bev),
                        "HTTP/1.1 200 -\r\nInstance-Id: canned\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        strlen(answer), answer);
    g_free(answer);
}

static void
on_event(struct bufferevent *bev, short events, void *context)
{
    (void)events;
    (void)context;
    bufferevent_free(bev);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    CannedServer *server = context;
    struct bufferevent *bev =
        bufferevent_socket_new(server->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);

    (void)listener;
    (void)address;
    (void)size;
    bufferevent_setcb(bev, on_request, NULL, on_event, server);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

void
CannedServer_Start(CannedServer *server, KcLoop *loop,
                   const char *const *answers)
{
    *server = (CannedServer){
        .loop = loop, .answers = answers, .targets = g_string_new("")};
    Loopback_AssignAddress(server->address, sizeof(server->address));
    server->listener =
        KcSocket_Listen(loop->base, server->address, on_accept, server);
    g_assert_nonnull(server->listener);
}

void
CannedServer_Stop(CannedServer *server)
{
    evconnlistener_free(server->listener);
    g_string_free(server->targets, TRUE);
}
