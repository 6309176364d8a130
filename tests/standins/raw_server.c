/*
 * HTTP server of the stand-ins for the users' platform.
 */
#include "raw_server.h"

#include <event2/http.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../programs/connection/socket.h"

#define HEAD_BYTES_MAX 65536
#define SILENCE_TIMEOUT (10 * KC_SECOND)

static RawKnob *
find_knob(const RawServer *server, const char *name)
{
    RawKnob *knob = server->options->knobs;

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
RawServer_GetKnob(const RawServer *server, const char *name)
{
    return find_knob(server, name)->value;
}

void
RawServer_SetKnob(RawServer *server, const char *name, int64_t value)
{
    find_knob(server, name)->value = value;
}

size_t
RawServer_DrawNumber(RawServer *server, size_t limit)
{
    server->random_state =
        server->random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (size_t)((server->random_state >> 33) % limit);
}

bool
RawServer_DrawFault(RawServer *server, const char *knob)
{
    return (int64_t)RawServer_DrawNumber(server, 100) <
           RawServer_GetKnob(server, knob);
}

/* ---- answers and queries ------------------------------------------------- */

void
RawConnection_Write(RawConnection *connection, const char *bytes, size_t size)
{
    evbuffer_add(KcHttpConnection_Output(connection->http_connection), bytes,
                 size);
}

/* Writes the next bytes of an endless answer. */
static void
continue_endless(RawConnection *connection)
{
    const EndlessPattern *pattern = connection->endless;
    KcBuffer bytes = {0};

    Endless_AppendFiller(pattern, &connection->endless_counter, &bytes);
    RawConnection_Write(connection, KcBuffer_Data(&bytes),
                        KcBuffer_Size(&bytes));
    KcBuffer_Clear(&bytes);
    if (pattern->interval > 0) {
        KcTimers_Set(connection->server->loop->timers,
                     &connection->endless_timer,
                     KcLoop_Now() + pattern->interval);
    }
}

static void
on_endless_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    continue_endless(timer->owner);
}

/* What was written has been sent. */
static void
on_output_sent(void *owner)
{
    RawConnection *connection = owner;

    if (connection->endless != NULL && connection->endless->interval == 0) {
        continue_endless(connection);
    }
}

void
RawConnection_SendEndless(RawConnection *connection,
                          const EndlessPattern *pattern)
{
    KcBuffer bytes = {0};

    connection->endless = pattern;
    Endless_AppendStart(
        pattern, RawConnection_FindHeader(connection, "Attempt-Id"), &bytes);
    RawConnection_Write(connection, KcBuffer_Data(&bytes),
                        KcBuffer_Size(&bytes));
    KcBuffer_Clear(&bytes);
    continue_endless(connection);
}

bool
RawConnection_DrawEndless(RawConnection *connection, const char *knob)
{
    RawServer *server = connection->server;
    size_t number;

    if (!RawServer_DrawFault(server, knob)) {
        return false;
    }
    number = (size_t)RawServer_GetKnob(server, "endless_kind");
    if (number == 0) {
        number = 1 + RawServer_DrawNumber(server, Endless_PatternCount());
    }
    RawConnection_SendEndless(connection, Endless_Pattern(number));
    return true;
}

/* Time after an answer at which its connection rests. */
#define STRAY_DELAY (20 * KC_MS)

static void
write_stray(RawConnection *connection)
{
    RawConnection_Write(connection, KcBuffer_Data(&connection->stray),
                        KcBuffer_Size(&connection->stray));
    KcBuffer_Clear(&connection->stray);
}

static void
on_stray_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    write_stray(timer->owner);
}

void
RawConnection_WriteStray(RawConnection *connection, const char *text,
                         RawMoment moment)
{
    KcBuffer_Append(&connection->stray, text, strlen(text));
    connection->is_stray_due = moment == RAW_WHEN_DUE;
    if (moment == RAW_AT_ONCE) {
        write_stray(connection);
    }
    else if (moment == RAW_AT_REST) {
        KcTimers_Set(connection->server->loop->timers,
                     &connection->stray_timer, KcLoop_Now() + STRAY_DELAY);
    }
}

void
RawConnection_ReadNextRequest(RawConnection *connection)
{
    KcBuffer_DropFront(&connection->body, KcBuffer_Size(&connection->body));
    connection->is_kept = true;
    connection->message = NULL;
    connection->request_state = NULL;
    KcHttpConnection_ReadNextMessage(connection->http_connection);
}

void
RawConnection_Reply(RawConnection *connection, int status, const char *headers,
                    const char *body)
{
    evbuffer_add_printf(KcHttpConnection_Output(connection->http_connection),
                        "HTTP/1.1 %d -\r\n%sContent-Length: %zu\r\n\r\n%s",
                        status, headers, strlen(body), body);
    RawConnection_ReadNextRequest(connection);
}

/* Frees a connection, but not its HTTP connection. */
static void
free_connection(RawConnection *connection)
{
    RawServer *server = connection->server;

    if (connection->request_state != NULL &&
        server->options->on_connection_lost != NULL) {
        server->options->on_connection_lost(connection);
    }
    KcTimers_Clear(server->loop->timers, &connection->timer);
    KcTimers_Clear(server->loop->timers, &connection->endless_timer);
    KcTimers_Clear(server->loop->timers, &connection->stray_timer);
    KcBuffer_Clear(&connection->stray);
    TAILQ_REMOVE(&server->connections, connection, link);
    KcBuffer_Clear(&connection->body);
    free(connection);
}

void
RawConnection_CloseWhenSent(RawConnection *connection)
{
    KcHttpConnection_CloseWhenSent(connection->http_connection);
}

void
RawConnection_Reset(RawConnection *connection)
{
    KcHttpConnection *http_connection = connection->http_connection;

    free_connection(connection);
    KcHttpConnection_Reset(http_connection);
}

const char *
RawConnection_FindHeader(const RawConnection *connection, const char *name)
{
    const char *value = KcHttpMessage_FindField(connection->message, name);

    return value != NULL ? value : "";
}

static const char *
find_query(const RawConnection *connection, const char *name)
{
    const char *cursor = strchr(connection->message->target, '?');
    size_t length = strlen(name);

    while (cursor != NULL) {
        cursor++;
        if (strncmp(cursor, name, length) == 0 && cursor[length] == '=') {
            return cursor + length + 1;
        }
        cursor = strchr(cursor, '&');
    }
    return NULL;
}

int64_t
RawConnection_FindQueryNumber(const RawConnection *connection,
                              const char *name, int64_t default_value)
{
    const char *value = find_query(connection, name);

    return value != NULL ? strtoll(value, NULL, 10) : default_value;
}

void
RawConnection_CopyQueryText(const RawConnection *connection, const char *name,
                            char *text, size_t size)
{
    const char *value = find_query(connection, name);
    char *encoded =
        value != NULL ? strndup(value, strcspn(value, "&#")) : strdup("");
    char *decoded = evhttp_uridecode(encoded, 1, NULL);

    KcText_Copy(text, decoded, size);
    free(decoded);
    free(encoded);
}

/* ---- requests ------------------------------------------------------------ */

static void
set_knobs(RawConnection *connection)
{
    RawServer *server = connection->server;

    for (RawKnob *knob = server->options->knobs; knob->name != NULL; knob++) {
        knob->value =
            RawConnection_FindQueryNumber(connection, knob->name, knob->value);
    }
    RawConnection_Reply(connection, 200, "", "{}");
}

static void
reply_state(RawConnection *connection)
{
    RawServer *server = connection->server;
    json_t *state = json_object();
    char *text;

    for (RawKnob *knob = server->options->knobs; knob->name != NULL; knob++) {
        json_object_set_new(state, knob->name, json_integer(knob->value));
    }
    server->options->add_state(state);
    text = json_dumps(state, JSON_COMPACT);
    RawConnection_Reply(connection, 200, "", text);
    free(text);
    json_decref(state);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    RawConnection *connection = owner;

    connection->message = message;
    if (connection->server->options->on_request_head != NULL) {
        connection->server->options->on_request_head(connection);
    }
}

static void
on_body(void *owner, KcBytes bytes)
{
    RawConnection *connection = owner;

    if (!connection->is_answered) {
        KcBuffer_Append(&connection->body, bytes.data, bytes.size);
    }
}

static void
on_message_end(void *owner)
{
    RawConnection *connection = owner;
    const char *target;

    if (connection->is_answered) {
        connection->is_answered = false;
        RawConnection_ReadNextRequest(connection);
        return;
    }
    target = connection->message->target;
    KcBuffer_Append(&connection->body, "", 1);
    /* What was to come at rest does not: the connection rests no more. */
    KcTimers_Clear(connection->server->loop->timers, &connection->stray_timer);
    if (connection->is_stray_due) {
        connection->is_stray_due = false;
        write_stray(connection);
    }
    KcBuffer_Clear(&connection->stray);
    if (strncmp(target, "/standin/set", 12) == 0) {
        set_knobs(connection);
    }
    else if (strncmp(target, "/standin/state", 14) == 0) {
        reply_state(connection);
    }
    else {
        connection->server->options->on_request(connection);
    }
}

static void
on_failed(void *owner, int code)
{
    KcHttpConnection *http_connection =
        ((RawConnection *)owner)->http_connection;

    (void)code;
    free_connection(owner);
    KcHttpConnection_Close(http_connection);
}

static const KcHttpConnectionOps http_connection_ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_message_end = on_message_end,
    .on_output_sent = on_output_sent,
    .on_failed = on_failed};

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    RawServer *server = context;
    RawConnection *connection = KcMem_New(sizeof(*connection));
    KcHttpConnectionOptions options = {.loop = server->loop,
                                       .ops = &http_connection_ops,
                                       .owner = connection,
                                       .head_bytes_max = HEAD_BYTES_MAX,
                                       .silence_timeout = SILENCE_TIMEOUT};

    (void)listener;
    (void)address;
    (void)size;
    connection->server = server;
    connection->http_connection = KcHttpConnection_Accept(&options, fd);
    if (connection->http_connection == NULL) {
        free(connection);
        return;
    }
    KcTimer_Init(&connection->timer, server->options->on_timer, connection);
    KcTimer_Init(&connection->endless_timer, on_endless_timer, connection);
    KcTimer_Init(&connection->stray_timer, on_stray_timer, connection);
    TAILQ_INSERT_TAIL(&server->connections, connection, link);
}

static void
on_signal(evutil_socket_t number, short what, void *context)
{
    (void)number;
    (void)what;
    KcLoop_Stop(((RawServer *)context)->loop);
}

void
RawServer_Init(RawServer *server, const RawServerOptions *options,
               const char *address, uint64_t seed)
{
    memset(server, 0, sizeof(*server));
    server->loop = KcLoop_Create();
    server->options = options;
    server->random_state = seed;
    TAILQ_INIT(&server->connections);
    server->listener =
        KcSocket_Listen(server->loop->base, address, on_accept, server);
    if (server->listener == NULL) {
        fprintf(stderr, "cannot listen on %s\n", address);
        exit(2);
    }
}

void
RawServer_Run(RawServer *server)
{
    struct event *sigterm_event =
        evsignal_new(server->loop->base, SIGTERM, on_signal, server);
    RawConnection *connection;

    signal(SIGPIPE, SIG_IGN);
    evsignal_add(sigterm_event, NULL);
    KcLoop_Run(server->loop);
    while ((connection = TAILQ_FIRST(&server->connections)) != NULL) {
        KcHttpConnection *http_connection = connection->http_connection;

        free_connection(connection);
        KcHttpConnection_Close(http_connection);
    }
    event_free(sigterm_event);
    evconnlistener_free(server->listener);
    KcLoop_Free(server->loop);
}
