/*
 * A server for stand-ins of the platform.
 */
#include "raw.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../programs/connection/socket.h"

#define HEAD_MAX 65536
#define SILENCE (10 * KC_SECOND)

static RawKnob *
find_knob(const Raw *raw, const char *name)
{
    RawKnob *knob = raw->options->knobs;

    while (knob->name != NULL && strcmp(knob->name, name) != 0) {
        knob++;
    }
    if (knob->name == NULL) {
        fprintf(stderr, "no knob %s\n", name);
        exit(2);
    }
    return knob;
}

int64_t
Raw_Knob(const Raw *raw, const char *name)
{
    return find_knob(raw, name)->value;
}

void
Raw_SetKnob(Raw *raw, const char *name, int64_t value)
{
    find_knob(raw, name)->value = value;
}

bool
Raw_Chance(Raw *raw, const char *knob)
{
    raw->random =
        raw->random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (int64_t)((raw->random >> 33) % 100) < Raw_Knob(raw, knob);
}

/* ---- answers ------------------------------------------------------------- */

void
Raw_Write(RawConnection *connection, const char *bytes, size_t size)
{
    evbuffer_add(KcHttpConnection_Output(connection->peer), bytes, size);
}

void
Raw_Next(RawConnection *connection)
{
    KcBuffer_DropFront(&connection->body, KcBuffer_Size(&connection->body));
    connection->message = NULL;
    connection->owner = NULL;
    KcHttpConnection_ReadNextMessage(connection->peer);
}

void
Raw_Reply(RawConnection *connection, int status, const char *headers,
          const char *body)
{
    evbuffer_add_printf(KcHttpConnection_Output(connection->peer),
                        "HTTP/1.1 %d -\r\n%sContent-Length: %zu\r\n\r\n%s",
                        status, headers, strlen(body), body);
    Raw_Next(connection);
}

static void
dispose(RawConnection *connection)
{
    Raw *raw = connection->raw;

    if (connection->owner != NULL && raw->options->gone != NULL) {
        raw->options->gone(connection);
    }
    KcTimers_Clear(raw->loop->timers, &connection->timer);
    TAILQ_REMOVE(&raw->connections, connection, link);
    KcBuffer_Clear(&connection->body);
    free(connection);
}

void
Raw_Close(RawConnection *connection)
{
    KcHttpConnection_CloseWhenSent(connection->peer);
}

void
Raw_Reset(RawConnection *connection)
{
    KcHttpConnection *peer = connection->peer;

    dispose(connection);
    KcHttpConnection_Reset(peer);
}

const char *
Raw_Header(const RawConnection *connection, const char *name)
{
    const char *value = KcHttpMessage_FindField(connection->message, name);

    return value != NULL ? value : "";
}

static const char *
find_query(const RawConnection *connection, const char *name)
{
    const char *at = strchr(connection->message->target, '?');
    size_t length = strlen(name);

    while (at != NULL) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            return at + length + 1;
        }
        at = strchr(at, '&');
    }
    return NULL;
}

int64_t
Raw_Query(const RawConnection *connection, const char *name, int64_t initial)
{
    const char *value = find_query(connection, name);

    return value != NULL ? strtoll(value, NULL, 10) : initial;
}

void
Raw_QueryText(const RawConnection *connection, const char *name, char *text,
              size_t size)
{
    const char *value = find_query(connection, name);
    size_t length = value != NULL ? strcspn(value, "&") : 0;

    KcText_Copy(text, length > 0 ? value : "",
                length + 1 < size ? length + 1 : size);
}

/* ---- requests ------------------------------------------------------------ */

static void
set_knob(RawConnection *connection)
{
    Raw *raw = connection->raw;

    for (RawKnob *knob = raw->options->knobs; knob->name != NULL; knob++) {
        knob->value = Raw_Query(connection, knob->name, knob->value);
    }
    Raw_Reply(connection, 200, "", "{}");
}

static void
tell_state(RawConnection *connection)
{
    Raw *raw = connection->raw;
    json_t *state = json_object();
    char *text;

    for (RawKnob *knob = raw->options->knobs; knob->name != NULL; knob++) {
        json_object_set_new(state, knob->name, json_integer(knob->value));
    }
    raw->options->state(state);
    text = json_dumps(state, JSON_COMPACT);
    Raw_Reply(connection, 200, "", text);
    free(text);
    json_decref(state);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    ((RawConnection *)owner)->message = message;
}

static void
on_body(void *owner, KcBytes bytes)
{
    KcBuffer_Append(&((RawConnection *)owner)->body, bytes.data, bytes.size);
}

static void
on_end(void *owner)
{
    RawConnection *connection = owner;
    const char *target = connection->message->target;

    KcBuffer_Append(&connection->body, "", 1);
    if (strncmp(target, "/standin/set", 12) == 0) {
        set_knob(connection);
    }
    else if (strncmp(target, "/standin/state", 14) == 0) {
        tell_state(connection);
    }
    else {
        connection->raw->options->request(connection);
    }
}

static void
on_failed(void *owner, int code)
{
    KcHttpConnection *peer = ((RawConnection *)owner)->peer;

    (void)code;
    dispose(owner);
    KcHttpConnection_Close(peer);
}

static const KcHttpConnectionOps peer_ops = {.on_head = on_head,
                                             .on_body = on_body,
                                             .on_message_end = on_end,
                                             .on_failed = on_failed};

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    Raw *raw = context;
    RawConnection *connection = KcMem_New(sizeof(*connection));
    KcHttpConnectionOptions options = {.loop = raw->loop,
                                       .ops = &peer_ops,
                                       .owner = connection,
                                       .head_bytes_max = HEAD_MAX,
                                       .silence_timeout = SILENCE};

    (void)listener;
    (void)address;
    (void)size;
    connection->raw = raw;
    connection->peer = KcHttpConnection_Accept(&options, fd);
    if (connection->peer == NULL) {
        free(connection);
        return;
    }
    KcTimer_Init(&connection->timer, raw->options->timer, connection);
    TAILQ_INSERT_TAIL(&raw->connections, connection, link);
}

static void
on_signal(evutil_socket_t number, short what, void *context)
{
    (void)number;
    (void)what;
    KcLoop_Stop(((Raw *)context)->loop);
}

void
Raw_Init(Raw *raw, const RawOptions *options, const char *address,
         uint64_t seed)
{
    memset(raw, 0, sizeof(*raw));
    raw->loop = KcLoop_Create();
    raw->options = options;
    raw->random = seed;
    TAILQ_INIT(&raw->connections);
    raw->listener = KcSocket_Listen(raw->loop->base, address, on_accept, raw);
    if (raw->listener == NULL) {
        fprintf(stderr, "cannot listen on %s\n", address);
        exit(2);
    }
}

void
Raw_Run(Raw *raw)
{
    struct event *stop =
        evsignal_new(raw->loop->base, SIGTERM, on_signal, raw);
    RawConnection *connection;

    signal(SIGPIPE, SIG_IGN);
    evsignal_add(stop, NULL);
    KcLoop_Run(raw->loop);
    while ((connection = TAILQ_FIRST(&raw->connections)) != NULL) {
        KcHttpConnection *peer = connection->peer;

        dispose(connection);
        KcHttpConnection_Close(peer);
    }
    event_free(stop);
    evconnlistener_free(raw->listener);
    KcLoop_Free(raw->loop);
}
