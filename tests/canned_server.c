/*
 * Sends prepared answers to HTTP requests.
 */
#include "canned_server.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "../programs/connection/socket.h"
#include "json_cases.h"
#include "loopback.h"

/* Sends an answer, and before it a copy of the last one if it is asked to. */
static void
send_answer(CannedServer *server, struct bufferevent *bev, const char *text)
{
    struct evbuffer *output = bufferevent_get_output(bev);
    char *end;
    int status = (int)strtol(text, &end, 10);
    const char *body = status > 0 ? end + 1 : text;

    if (server->sends_copies && server->last_connection == bev) {
        evbuffer_add(output, server->last_answer->str,
                     server->last_answer->len);
    }
    g_string_printf(server->last_answer,
                    "HTTP/1.1 %d -\r\nInstance-Id: canned\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    status > 0 ? status : 200, strlen(body), body);
    evbuffer_add(output, server->last_answer->str, server->last_answer->len);
    server->last_connection = bev;
}

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
    send_answer(server, bev, answer);
    g_free(answer);
}

static void
on_event(struct bufferevent *bev, short events, void *context)
{
    CannedServer *server = context;

    (void)events;
    if (server->last_connection == bev) {
        server->last_connection = NULL;
    }
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
    *server = (CannedServer){.loop = loop,
                             .answers = answers,
                             .targets = g_string_new(""),
                             .last_answer = g_string_new("")};
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
    g_string_free(server->last_answer, TRUE);
}
