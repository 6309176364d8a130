/*
 * Tests answers of backend servers that have neither a length nor chunks and
 * end with their connection: when they are complete, and what the caller gets;
 * and heads that are none of an answer.
 * Each case is the bytes of a server and how it ends, and the answer to the
 * caller, read from a socket.
 */
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/connection/socket.h"
#include "../../programs/process/platform.h"
#include "../../programs/request/gateway_front_end.h"
#include "../gateway_stubs.h"
#include "../loopback.h"
#include "../steps.h"

/* Longest duration of a case. */
#define GUARD_TIMEOUT (5 * KC_SECOND)
#define REQUEST_TIMEOUT (1500 * KC_MS)
/* How long the gateway stands still in some cases. */
#define PAUSE (700 * KC_MS)

/* How the server goes on after its bytes. */
typedef enum ServerEnd {
    CLOSES = 0,         /* its connection, and takes others */
    RESETS,             /* its connection, and takes others */
    CRASHES,            /* its connections close, and it takes no others */
    STAYS,              /* nothing is closed */
    CLOSES_THEN_RESETS, /* its connection, before the rest is read */
    RESETS_LATE         /* its connection, closed before, when it is asked who
                         * it is */
} ServerEnd;

#define OK "HTTP/1.1 200 -\r\nAttempt-Id: this\r\n"
#define STREAM OK "Content-Type: text/event-stream\r\n\r\n"
#define EVENT_0 "id: 0\ndata: x\n\n"
#define EVENT_1 "id: 1\ndata: y\n\n"
/* Heads up to a status or a field, with the answer behind it. */
#define STATUS(status)                                                        \
    "HTTP/1.1 " status " -\r\nAttempt-Id: this\r\nContent-Length: 3\r\n"      \
    "\r\nabc"
#define FIELD(field) OK field "\r\nContent-Length: 3\r\n\r\nabc"
#define IDENTITY_PATH "/health"
#define STARTED_AT_MS 7
/* In place of the start time in the server's record. */
#define UNREADABLE (-1) /* the record can't be read */
#define UNANSWERED (-2) /* the store doesn't answer */
#define ID "HTTP/1.1 200 -\r\nInstance-Id: w\r\nContent-Length: 0\r\n\r\n"
#define START(time)                                                           \
    "HTTP/1.1 200 -\r\nContent-Length: 10\r\n\r\n{\"born\":" time "}"
#define GET "GET /s/x HTTP/1.1\r\n"
#define POST "POST /t/x HTTP/1.1\r\nContent-Length: 0\r\n"
/* Requests of which the server reads just the first bytes: more than the
 * kernel holds on both sides, than the server's side holds, and less. */
#define UPLOAD_BYTES_MAX 8000000
#define LONG_UPLOAD "POST /s/x HTTP/1.1\r\nContent-Length: 8000000\r\n"
#define UPLOAD "POST /s/x HTTP/1.1\r\nContent-Length: 1000000\r\n"
#define SHORT_UPLOAD "POST /s/x HTTP/1.1\r\nContent-Length: 40000\r\n"
#define STREAM_UPLOAD "POST /t/x HTTP/1.1\r\nContent-Length: 8000000\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define CHUNKED_UPLOAD "POST /s/x HTTP/1.1\r\n" CHUNKED
#define CHUNKED_STREAM_UPLOAD "POST /t/x HTTP/1.1\r\n" CHUNKED

/* The answer to the caller: status, "length", "chunks" or "cut" (chunks whose
 * end is missing), and the body; connections that the server accepted, and
 * those of them that the gateway keeps for later requests. */
static const struct {
    const char *name;
    const char *request; /* without its last lines */
    const char *bytes;
    ServerEnd end;
    const char *answer;
    int accepted;
    int kept;
    /* What the server answers when it is asked who it is; NULL: ID, "": its
     * connection ends. */
    const char *identity;
    bool has_pause; /* of the gateway, before the server's end */
    /* The start time in the server's record; 0: STARTED_AT_MS. */
    int registered_at_ms;
} cases[] = {
    /* whole answers */
    {"whole", GET, OK "\r\nabc", CLOSES, "200 length abc", 2, 1, NULL, false,
     0},
    {"empty", GET, OK "\r\n", CLOSES, "200 length ", 2, 1, NULL, false, 0},
    {"says keep-alive", GET, OK "Connection: keep-alive\r\n\r\nabc", CLOSES,
     "200 length abc", 2, 1, NULL, false, 0},
    {"HTTP/1.0", GET, "HTTP/1.0 200 -\r\nAttempt-Id: this\r\n\r\nabc", CLOSES,
     "200 length abc", 2, 1, NULL, false, 0},
    {"error", GET, "HTTP/1.1 500 -\r\nAttempt-Id: this\r\n\r\nabc", CLOSES,
     "500 length abc", 2, 1, NULL, false, 0},
    {"error without an id", GET, "HTTP/1.1 500 -\r\n\r\nabc", CLOSES,
     "502 length ", 1, 0, NULL, false, 0},
    {"reset", GET, OK "\r\nabc", RESETS, "502 length ", 1, 0, NULL, false, 0},
    {"crash", GET, OK "\r\nabc", CRASHES, "502 length ", 1, 0, NULL, false, 0},
    {"with a length, crash behind it", GET, OK "Content-Length: 3\r\n\r\nabc",
     CRASHES, "200 length abc", 1, 0, NULL, false, 0},
    {"with a length, closed before it", GET, OK "Content-Length: 4\r\n\r\nabc",
     CLOSES, "502 length ", 1, 0, NULL, false, 0},
    {"in chunks, closed before the last one", GET,
     OK "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", CLOSES,
     "502 length ", 1, 0, NULL, false, 0},
    {"closed before the end of the head", GET, OK, CLOSES, "502 length ", 1, 0,
     NULL, false, 0},
    {"closed before the first byte", GET, "", CLOSES, "502 length ", 1, 0,
     NULL, false, 0},
    /* who is at the address after the end */
    {"its start", GET, OK "\r\nabc", CLOSES, "200 length abc", 2, 1,
     START("7"), false, 0},
    {"its id in an error", GET, OK "\r\nabc", CLOSES, "200 length abc", 2, 1,
     "HTTP/1.1 503 -\r\nInstance-Id: w\r\nContent-Length: 0\r\n\r\n", false,
     0},
    {"another id", GET, OK "\r\nabc", CLOSES, "502 length ", 2, 1,
     "HTTP/1.1 200 -\r\nInstance-Id: v\r\nContent-Length: 0\r\n\r\n", false,
     0},
    {"a later start", GET, OK "\r\nabc", CLOSES, "502 length ", 2, 1,
     START("8"), false, 0},
    {"a later start under its id", GET, OK "\r\nabc", CLOSES, "502 length ", 2,
     1,
     "HTTP/1.1 200 -\r\nInstance-Id: w\r\nContent-Length: 10\r\n\r\n"
     "{\"born\":8}",
     false, 0},
    {"no one it names", GET, OK "\r\nabc", CLOSES, "502 length ", 2, 1,
     "HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n", false, 0},
    {"a proxy without a server", GET, OK "\r\nabc", CLOSES, "502 length ", 2,
     0, "", false, 0},
    {"one that says nothing", GET, OK "\r\nabc", CLOSES, "504 length ", 2, 0,
     "HTTP/1.1 103 -\r\n\r\n", false, 0},
    {"its start after a pause", GET, OK "\r\nabc", CLOSES, "200 length abc", 2,
     1, START("7"), true, 0},
    {"its id after a pause", GET, OK "\r\nabc", CLOSES, "200 length abc", 2, 1,
     ID, true, 0},
    /* Guards against a part of an answer that a crash behind a cut leaves, and
     * that passes as whole when another instance answers under the id. */
    {"its id, a later start is registered", GET, OK "\r\nabc", CLOSES,
     "502 length ", 2, 1, ID, false, 8},
    {"its id, an earlier start is registered", GET, OK "\r\nabc", CLOSES,
     "502 length ", 2, 1, ID, false, 6},
    {"its id, its record can't be read", GET, OK "\r\nabc", CLOSES,
     "502 length ", 2, 1, ID, false, UNREADABLE},
    {"its id, a later start is registered after a pause", GET, OK "\r\nabc",
     CLOSES, "502 length ", 2, 1, ID, true, 8},
    {"its id, the record takes too long", GET, OK "\r\nabc", CLOSES,
     "504 length ", 2, 0, ID, false, UNANSWERED},
    {"its start, its record can't be read", GET, OK "\r\nabc", CLOSES,
     "200 length abc", 2, 1, START("7"), false, UNREADABLE},
    {"stream, its id, a later start is registered", POST, STREAM EVENT_0,
     CLOSES, "200 cut " EVENT_0, 2, 1, ID, false, 8},
    {"stream, its id, its record can't be read", POST, STREAM EVENT_0, CLOSES,
     "200 cut " EVENT_0, 2, 1, ID, false, UNREADABLE},
    {"nothing more comes", GET, OK "\r\nabc", STAYS, "504 length ", 1, 0, NULL,
     false, 0},
    /* without a body */
    {"HEAD", "HEAD /s/x HTTP/1.1\r\n", OK "\r\n", STAYS, "200 length ", 1, 0,
     NULL, false, 0},
    {"204", GET, "HTTP/1.1 204 -\r\nAttempt-Id: this\r\n\r\n", STAYS,
     "204 length ", 1, 1, NULL, false, 0},
    {"304", GET, "HTTP/1.1 304 -\r\nAttempt-Id: this\r\n\r\n", STAYS,
     "304 length ", 1, 1, NULL, false, 0},
    {"interim before", GET, "HTTP/1.1 103 -\r\n\r\n" OK "\r\nabc", CLOSES,
     "200 length abc", 2, 1, NULL, false, 0},
    {"late answer to another request", GET,
     "HTTP/1.1 200 -\r\nAttempt-Id: other\r\n\r\nabc", CLOSES, "502 length ",
     1, 0, NULL, false, 0},
    /* streams */
    {"stream", POST, STREAM EVENT_0 EVENT_1, CLOSES,
     "200 chunks " EVENT_0 EVENT_1, 2, 1, NULL, false, 0},
    {"stream, reset between events", POST, STREAM EVENT_0, RESETS,
     "200 cut " EVENT_0, 1, 0, NULL, false, 0},
    {"stream, crash between events", POST, STREAM EVENT_0, CRASHES,
     "200 cut " EVENT_0, 1, 0, NULL, false, 0},
    {"stream, a later start after a pause", POST, STREAM EVENT_0, CLOSES,
     "200 cut " EVENT_0, 2, 1, START("8"), true, 0},
    {"stream, another id after a pause", POST, STREAM EVENT_0, CLOSES,
     "200 cut " EVENT_0, 2, 1,
     "HTTP/1.1 200 -\r\nInstance-Id: v\r\nContent-Length: 0\r\n\r\n", true, 0},
    {"stream, a proxy without a server", POST, STREAM EVENT_0, CLOSES,
     "200 cut " EVENT_0, 2, 0, "", false, 0},
    {"stream, closed inside an event", POST, STREAM EVENT_0 "id: 1\ndata:",
     CLOSES, "200 cut " EVENT_0, 1, 0, NULL, false, 0},
    {"stream, closed inside the first event", POST, STREAM "id: 0\ndata: x\n",
     CLOSES, "502 length ", 1, 0, NULL, false, 0},
    {"stream, closed before an event", POST, STREAM, CLOSES, "502 length ", 1,
     0, NULL, false, 0},
    {"stream in chunks, crash behind it", POST,
     OK "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        "\r\nf\r\n" EVENT_0 "\r\n0\r\n\r\n",
     CRASHES, "200 chunks " EVENT_0, 1, 0, NULL, false, 0},
    /* answered before the request was read */
    {"long upload, closed", LONG_UPLOAD, OK "\r\nabc", CLOSES, "502 length ",
     1, 0, NULL, false, 0},
    {"long upload, closed before a pause", LONG_UPLOAD, OK "\r\nabc", CLOSES,
     "502 length ", 1, 0, START("7"), true, 0},
    {"long upload, reset", LONG_UPLOAD, OK "\r\nabc", RESETS, "502 length ", 1,
     0, NULL, false, 0},
    {"long upload, reset before a pause", LONG_UPLOAD, OK "\r\nabc", RESETS,
     "502 length ", 1, 0, START("7"), true, 0},
    {"long upload, closed and reset", LONG_UPLOAD, OK "\r\nabc",
     CLOSES_THEN_RESETS, "502 length ", 1, 0, NULL, false, 0},
    {"upload, closed", UPLOAD, OK "\r\nabc", CLOSES, "502 length ", 1, 0, NULL,
     false, 0},
    {"upload, closed and reset", UPLOAD, OK "\r\nabc", CLOSES_THEN_RESETS,
     "502 length ", 1, 0, NULL, false, 0},
    {"short upload, reset", SHORT_UPLOAD, OK "\r\nabc", RESETS, "502 length ",
     1, 0, NULL, false, 0},
    {"short upload, closed and reset", SHORT_UPLOAD, OK "\r\nabc",
     CLOSES_THEN_RESETS, "502 length ", 1, 0, NULL, false, 0},
    {"short upload, closed and reset before a pause", SHORT_UPLOAD,
     OK "\r\nabc", CLOSES_THEN_RESETS, "502 length ", 1, 0, START("7"), true,
     0},
    {"short upload, closed and reset late", SHORT_UPLOAD, OK "\r\nabc",
     RESETS_LATE, "502 length ", 2, 1, NULL, false, 0},
    {"closed and reset late", GET, OK "\r\nabc", RESETS_LATE, "502 length ", 2,
     1, NULL, false, 0},
    {"stream of a long upload, closed", STREAM_UPLOAD, STREAM EVENT_0, CLOSES,
     "200 cut " EVENT_0, 1, 0, NULL, false, 0},
    {"stream of a long upload, reset", STREAM_UPLOAD, STREAM EVENT_0, RESETS,
     "502 length ", 1, 0, NULL, false, 0},
    {"stream of a long upload, closed and reset", STREAM_UPLOAD,
     STREAM EVENT_0, CLOSES_THEN_RESETS, "502 length ", 1, 0, NULL, false, 0},
    {"upload in chunks, closed", CHUNKED_UPLOAD, OK "\r\nabc", CLOSES,
     "502 length ", 1, 0, NULL, false, 0},
    {"upload in chunks, reset", CHUNKED_UPLOAD, OK "\r\nabc", RESETS,
     "502 length ", 1, 0, NULL, false, 0},
    {"upload in chunks, reset before a pause", CHUNKED_UPLOAD, OK "\r\nabc",
     RESETS, "502 length ", 1, 0, START("7"), true, 0},
    {"upload in chunks, closed and reset", CHUNKED_UPLOAD, OK "\r\nabc",
     CLOSES_THEN_RESETS, "502 length ", 1, 0, NULL, false, 0},
    {"stream of an upload in chunks, closed", CHUNKED_STREAM_UPLOAD,
     STREAM EVENT_0, CLOSES, "200 cut " EVENT_0, 1, 0, NULL, false, 0},
    {"stream of an upload in chunks, reset", CHUNKED_STREAM_UPLOAD,
     STREAM EVENT_0, RESETS, "502 length ", 1, 0, NULL, false, 0},
    {"long upload, with a length", LONG_UPLOAD,
     OK "Content-Length: 3\r\nConnection: close\r\n\r\nabc", CLOSES,
     "200 length abc", 1, 0, NULL, false, 0},
    /* heads that are none of an answer */
    {"status 000", GET, STATUS("000"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 001", GET, STATUS("001"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 099", GET, STATUS("099"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 600", GET, STATUS("600"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 999", GET, STATUS("999"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 2", GET, STATUS("2"), STAYS, "502 length ", 1, 0, NULL, false, 0},
    {"status 20", GET, STATUS("20"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 00", GET, STATUS("00"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 0", GET, STATUS("0"), STAYS, "502 length ", 1, 0, NULL, false, 0},
    {"status 1000", GET, STATUS("1000"), STAYS, "502 length ", 1, 0, NULL,
     false, 0},
    {"status 2000", GET, STATUS("2000"), STAYS, "502 length ", 1, 0, NULL,
     false, 0},
    {"status 20x", GET, STATUS("20x"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 2xx", GET, STATUS("2xx"), STAYS, "502 length ", 1, 0, NULL, false,
     0},
    {"status 200x", GET, STATUS("200x"), STAYS, "502 length ", 1, 0, NULL,
     false, 0},
    {"status -200", GET, STATUS("-200"), STAYS, "502 length ", 1, 0, NULL,
     false, 0},
    {"no status", GET, STATUS(""), STAYS, "502 length ", 1, 0, NULL, false, 0},
    {"no status and no reason", GET,
     "HTTP/1.1\r\nAttempt-Id: this\r\nContent-Length: 3\r\n\r\nabc", STAYS,
     "502 length ", 1, 0, NULL, false, 0},
    {"status 000 without a length", GET,
     "HTTP/1.1 000 -\r\nAttempt-Id: this\r\n\r\nabc", CLOSES, "502 length ", 1,
     0, NULL, false, 0},
    {"status 000 to a long upload", LONG_UPLOAD, STATUS("000"), RESETS,
     "502 length ", 1, 0, NULL, false, 0},
    {"status 000 of a stream of a long upload", STREAM_UPLOAD,
     "HTTP/1.1 000 -\r\nAttempt-Id: this\r\n"
     "Content-Type: text/event-stream\r\n\r\n" EVENT_0,
     CLOSES, "502 length ", 1, 0, NULL, false, 0},
    {"status 000, an answer behind it", GET,
     "HTTP/1.1 000 -\r\n\r\n" STATUS("200"), STAYS, "502 length ", 1, 0, NULL,
     false, 0},
    {"status 000 of a stream", POST,
     "HTTP/1.1 000 -\r\nAttempt-Id: this\r\n"
     "Content-Type: text/event-stream\r\n\r\n" EVENT_0,
     CLOSES, "502 length ", 1, 0, NULL, false, 0},
    {"status 199", GET, "HTTP/1.1 199 -\r\n\r\n" STATUS("200"), STAYS,
     "200 length abc", 1, 1, NULL, false, 0},
    {"status 599", GET, STATUS("599"), STAYS, "599 length abc", 1, 1, NULL,
     false, 0},
    {"blank in the name of a field", GET, FIELD("A b: c"), STAYS,
     "502 length ", 1, 0, NULL, false, 0},
    {"blank behind the name of a field", GET, FIELD("A : c"), STAYS,
     "502 length ", 1, 0, NULL, false, 0},
    {"tab in the name of a field", GET, FIELD("A\tb: c"), STAYS, "502 length ",
     1, 0, NULL, false, 0},
    {"control byte in the name of a field", GET, FIELD("A\001b: c"), STAYS,
     "502 length ", 1, 0, NULL, false, 0},
    {"DEL in the name of a field", GET, FIELD("A\177b: c"), STAYS,
     "502 length ", 1, 0, NULL, false, 0},
    {"byte above 127 in the name of a field", GET, FIELD("A\xe9: c"), STAYS,
     "502 length ", 1, 0, NULL, false, 0},
    {"no name of a field", GET, FIELD(": c"), STAYS, "502 length ", 1, 0, NULL,
     false, 0},
    {"no colon in a field", GET, FIELD("Ab"), STAYS, "502 length ", 1, 0, NULL,
     false, 0},
    {"blank in the name of the length", GET,
     OK "Content Length: 1\r\nContent-Length: 3\r\n\r\nabc", STAYS,
     "502 length ", 1, 0, NULL, false, 0},
    {"control byte in the name of a field of a stream", POST,
     OK "Content-Type: text/event-stream\r\nA\001b: c\r\n\r\n" EVENT_0, CLOSES,
     "502 length ", 1, 0, NULL, false, 0},
    {"blank in the name of a field of an interim answer", GET,
     "HTTP/1.1 103 -\r\nA b: c\r\n\r\n" STATUS("200"), STAYS, "502 length ", 1,
     0, NULL, false, 0},
    /* callers */
    {"caller of HTTP/1.0", "GET /s/x HTTP/1.0\r\n", OK "\r\nabc", CLOSES,
     "400 length ", 0, 0, NULL, false, 0},
};

typedef struct Fixture {
    size_t index;
    KcLoop *loop;
    KcCounters counters;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    KcHttpConnectionPool *pool;
    KcIntakePool intake_pool;
    KcTimer guard;
    KcTimer start_timer; /* ends a read of the server's record */
    KcStartCallback start_done;
    void *start_done_context;
    struct evconnlistener *server; /* NULL: it has crashed */
    struct bufferevent *server_connections[4];
    int accepted;
    struct bufferevent *caller;
    GString *received; /* by the caller */
} Fixture;

static bool
is_chunked_upload(const Fixture *fixture)
{
    return strstr(cases[fixture->index].request, CHUNKED) != NULL;
}

/* Length of the body of a case's request. */
static size_t
upload_bytes(const Fixture *fixture)
{
    const char *length =
        strstr(cases[fixture->index].request, "Content-Length: ");

    if (is_chunked_upload(fixture)) {
        return UPLOAD_BYTES_MAX;
    }
    return length != NULL ? strtoul(length + 16, NULL, 10) : 0;
}

/* ---- the server ----------------------------------------------------------- */

static void
reset_connection(Fixture *fixture)
{
    struct bufferevent *bev = fixture->server_connections[0];
    struct linger reset = {.l_onoff = 1, .l_linger = 0};

    setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
               sizeof(reset));
    bufferevent_free(bev);
    fixture->server_connections[0] = NULL;
}

static void
on_server_sent(struct bufferevent *bev, void *context)
{
    Fixture *fixture = context;

    if (cases[fixture->index].has_pause) {
        g_usleep(PAUSE);
    }
    switch (cases[fixture->index].end) {
    case CRASHES:
        evconnlistener_free(fixture->server);
        fixture->server = NULL;
        /* fall through */
    case CLOSES:
    case RESETS_LATE:
        shutdown(bufferevent_getfd(bev), SHUT_WR);
        break;
    case CLOSES_THEN_RESETS:
        shutdown(bufferevent_getfd(bev), SHUT_WR);
        reset_connection(fixture);
        return;
    case RESETS:
        reset_connection(fixture);
        return;
    case STAYS:
        break;
    }
    bufferevent_setcb(bev, NULL, NULL, NULL, NULL);
}

static void
tell_identity(Fixture *fixture, struct bufferevent *bev)
{
    const char *identity = cases[fixture->index].identity;

    if (cases[fixture->index].end == RESETS_LATE) {
        reset_connection(fixture);
    }
    if (identity != NULL && identity[0] == '\0') {
        shutdown(bufferevent_getfd(bev), SHUT_WR);
        return;
    }
    identity = identity != NULL ? identity : ID;
    bufferevent_write(bev, identity, strlen(identity));
}

static void
on_server_read(struct bufferevent *bev, void *context)
{
    const char *bytes = cases[((Fixture *)context)->index].bytes;
    struct evbuffer *input = bufferevent_get_input(bev);
    bool is_identity =
        evbuffer_search(input, IDENTITY_PATH, strlen(IDENTITY_PATH), NULL)
            .pos >= 0;

    evbuffer_drain(input, evbuffer_get_length(input));
    if (is_identity) {
        tell_identity(context, bev);
        return;
    }
    if (upload_bytes(context) > 0) {
        bufferevent_disable(bev, EV_READ);
    }
    bufferevent_setcb(bev, NULL, on_server_sent, NULL, context);
    if (bytes[0] == '\0') {
        on_server_sent(bev, context);
        return;
    }
    bufferevent_write(bev, bytes, strlen(bytes));
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    Fixture *fixture = context;
    struct bufferevent *bev =
        bufferevent_socket_new(fixture->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);

    (void)listener;
    (void)address;
    (void)size;
    g_assert_cmpuint(fixture->accepted, <,
                     G_N_ELEMENTS(fixture->server_connections));
    fixture->server_connections[fixture->accepted++] = bev;
    bufferevent_setcb(bev, on_server_read, NULL, NULL, fixture);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

/* ---- the gateway ---------------------------------------------------------- */

static void
on_start_timer(KcTimer *timer, KcTime now)
{
    Fixture *fixture = timer->owner;
    int started_at_ms = cases[fixture->index].registered_at_ms;

    (void)now;
    if (started_at_ms == 0) {
        started_at_ms = STARTED_AT_MS;
    }
    fixture->start_done(fixture->start_done_context,
                        started_at_ms == UNREADABLE ? 0 : started_at_ms);
}

static void *
begin_start_read(void *reader, const KcServer *server, KcStartCallback done,
                 void *done_context)
{
    Fixture *fixture = reader;

    g_assert_cmpstr(server->id, ==, "w");
    fixture->start_done = done;
    fixture->start_done_context = done_context;
    if (cases[fixture->index].registered_at_ms != UNANSWERED) {
        KcTimers_Set(fixture->loop->timers, &fixture->start_timer,
                     KcLoop_Now());
    }
    return &fixture->start_timer;
}

static void
cancel_start_read(void *reader, void *read)
{
    KcTimers_Clear(((Fixture *)reader)->loop->timers, read);
}

static const KcStartReaderOps start_reader_ops = {begin_start_read,
                                                  cancel_start_read};

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    Fixture *fixture = context;
    KcHttpAttemptOptions options = {
        .loop = fixture->loop,
        .dialect = KcPlatform_Current.dialect,
        .pool = fixture->pool,
        .connect_timeout = KC_SECOND,
        .silence_timeout = KC_SECOND,
        .head_bytes_max = 65536,
        .identity_path = IDENTITY_PATH,
        .start_reader_ops = &start_reader_ops,
        .start_reader = fixture,
        .limits = {.body_bytes_max = 65536,
                   .skipped_bytes_max = 65536,
                   .skipped_max = 4,
                   .unnumbered_events_max = 4,
                   .pool = &fixture->intake_pool},
        .request_head =
            KcGatewayFrontEnd_RequestHead(attempt->forward->caller),
        .request_body =
            KcGatewayFrontEnd_RequestBody(attempt->forward->caller)};

    return KcHttpAttempt_Start(&options, attempt, params);
}

static const KcGatewayOps gateway_ops = {
    GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
    .cancel_attempt = GatewayStubs_CancelHttp,
    .record_notice = GatewayStubs_RecordNotice};

static void
add_rule(KcRouting *routing, const char *prefix, KcRequestKind kind)
{
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", prefix);

    KcText_Copy(rule->name, prefix, KC_NAME_MAX);
    rule->kind = kind;
    rule->request_timeout = REQUEST_TIMEOUT;
    rule->latency_objective = REQUEST_TIMEOUT;
    rule->attempts_max = 1;
    KcRouting_AddTarget(rule, "s", 100);
}

static void
create_gateway(Fixture *fixture, const char *server_address)
{
    KcRouting *routing = KcRouting_Create(1);
    KcGatewayOptions options;
    KcServerInfo info;
    KcError error;

    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = fixture;
    options.timers = fixture->loop->timers;
    options.counters = &fixture->counters;
    options.datacentre = "d";
    options.region_of = GatewayStubs_FindRegion;
    fixture->gateway = KcGateway_Create(&options);
    fixture->pool = KcHttpConnectionPool_Create(fixture->loop);
    add_rule(routing, "/s/", KC_REQUEST_KIND_UNSAFE);
    add_rule(routing, "/t/", KC_REQUEST_KIND_STREAM);
    routing->limits = (KcCallerLimits){.header_bytes_max = 16384,
                                       .body_bytes_max = UPLOAD_BYTES_MAX,
                                       .header_timeout = KC_SECOND,
                                       .idle_timeout = 10 * KC_SECOND};
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    KcGateway_SetRouting(fixture->gateway, routing);
    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "w", KC_NAME_MAX);
    KcText_Copy(info.service, "s", KC_NAME_MAX);
    KcText_Copy(info.address, server_address, KC_ADDRESS_MAX);
    info.concurrency_max = 8;
    info.started_at_ms = STARTED_AT_MS;
    KcGateway_OnServerRecord(fixture->gateway, &info, (KcRevision){0, 1},
                             KcLoop_Now());
    KcServerInfo_Clear(&info);
}

/* ---- the caller ----------------------------------------------------------- */

static void
on_caller_read(struct bufferevent *bev, void *context)
{
    struct evbuffer *input = bufferevent_get_input(bev);
    size_t size = evbuffer_get_length(input);

    g_string_append_len(((Fixture *)context)->received,
                        (const char *)evbuffer_pullup(input, -1),
                        (gssize)size);
    evbuffer_drain(input, size);
}

static void
on_caller_event(struct bufferevent *bev, short events, void *context)
{
    if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        on_caller_read(bev, context);
        KcLoop_Stop(((Fixture *)context)->loop);
    }
}

static void
send_request(Fixture *fixture, const char *address)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);
    char *body;

    g_assert_cmpint(
        evutil_parse_sockaddr_port(address, (struct sockaddr *)&remote, &size),
        ==, 0);
    fixture->caller =
        bufferevent_socket_new(fixture->loop->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->caller, on_caller_read, NULL, on_caller_event,
                      fixture);
    bufferevent_enable(fixture->caller, EV_READ | EV_WRITE);
    bufferevent_socket_connect(fixture->caller, (struct sockaddr *)&remote,
                               size);
    evbuffer_add_printf(
        bufferevent_get_output(fixture->caller),
        "%sHost: h\r\nAttempt-Id: this\r\nConnection: close\r\n\r\n",
        cases[fixture->index].request);
    body = g_malloc0(upload_bytes(fixture));
    if (is_chunked_upload(fixture)) {
        evbuffer_add_printf(bufferevent_get_output(fixture->caller), "%zx\r\n",
                            upload_bytes(fixture));
    }
    evbuffer_add(bufferevent_get_output(fixture->caller), body,
                 upload_bytes(fixture));
    if (is_chunked_upload(fixture)) {
        evbuffer_add_printf(bufferevent_get_output(fixture->caller),
                            "\r\n0\r\n\r\n");
    }
    g_free(body);
}

/* The body of an answer in chunks; *is_complete: with its end. */
static char *
join_chunks(const char *body, bool *is_complete)
{
    GString *joined = g_string_new("");
    char *rest = NULL;
    unsigned long size;

    *is_complete = false;
    while ((size = strtoul(body, &rest, 16)) > 0) {
        body = strstr(rest, "\r\n") + 2;
        g_string_append_len(joined, body, (gssize)size);
        body += size + 2;
    }
    *is_complete = strcmp(body, "0\r\n\r\n") == 0;
    return g_string_free(joined, FALSE);
}

/* Describes what the caller received as in the table; of our own errors
 * without the body. */
static char *
describe_answer(const char *received)
{
    const char *body = strstr(received, "\r\n\r\n");
    int status = strlen(received) > 9 ? atoi(received + 9) : 0;
    bool is_chunked = strstr(received, "Transfer-Encoding: chunked") != NULL;
    bool is_own = strstr(received, "{\"error\"") != NULL;
    bool is_complete = true;
    char *joined;
    char *text;

    g_assert_nonnull(body);
    body += 4;
    joined = is_chunked ? join_chunks(body, &is_complete) : g_strdup(body);
    if (!is_chunked) {
        const char *length = strstr(received, "Content-Length: ");

        g_assert_nonnull(length);
        g_assert_cmpuint(strlen(body), ==, strtoul(length + 16, NULL, 10));
    }
    text = g_strdup_printf("%d %s %s", status,
                           !is_chunked   ? "length"
                           : is_complete ? "chunks"
                                         : "cut",
                           is_own ? "" : joined);
    g_free(joined);
    return text;
}

/* ---- running a case ------------------------------------------------------- */

static void
on_guard(KcTimer *timer, KcTime now)
{
    (void)timer;
    (void)now;
    g_error("the caller got no end");
}

static int
count_kept(Fixture *fixture)
{
    KcHttpConnection *connection;
    int count = 0;

    while ((connection = KcHttpConnectionPool_Take(fixture->pool, KC_NEVER)) !=
           NULL) {
        KcHttpConnection_Close(connection);
        count++;
    }
    return count;
}

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.index = GPOINTER_TO_SIZE(data),
                       .loop = KcLoop_Create(),
                       .received = g_string_new(""),
                       .intake_pool = {.kept_bytes_max = 65536}};
    char server_address[KC_ADDRESS_MAX];
    char address[KC_ADDRESS_MAX];
    KcGatewayFrontEndOptions options = {.loop = fixture.loop,
                                        .address = address,
                                        .dialect = KcPlatform_Current.dialect,
                                        .counters = &fixture.counters,
                                        .connections_max = 10,
                                        .silence_timeout = KC_SECOND,
                                        .stall_timeout = KC_SECOND};
    char *answer;

    Loopback_AssignAddress(server_address, sizeof(server_address));
    Loopback_AssignAddress(address, sizeof(address));
    fixture.server = KcSocket_Listen(fixture.loop->base, server_address,
                                     on_accept, &fixture);
    g_assert_nonnull(fixture.server);
    create_gateway(&fixture, server_address);
    options.gateway = fixture.gateway;
    fixture.front_end = KcGatewayFrontEnd_Create(&options);
    g_assert_nonnull(fixture.front_end);
    KcTimer_Init(&fixture.guard, on_guard, &fixture);
    KcTimer_Init(&fixture.start_timer, on_start_timer, &fixture);
    KcTimers_Set(fixture.loop->timers, &fixture.guard,
                 KcLoop_Now() + GUARD_TIMEOUT);
    send_request(&fixture, address);
    KcLoop_Run(fixture.loop);
    answer = describe_answer(fixture.received->str);
    g_assert_cmpstr(answer, ==, cases[fixture.index].answer);
    g_assert_cmpint(fixture.accepted, ==, cases[fixture.index].accepted);
    g_assert_cmpint(count_kept(&fixture), ==, cases[fixture.index].kept);
    g_free(answer);
    KcTimers_Clear(fixture.loop->timers, &fixture.guard);
    bufferevent_free(fixture.caller);
    KcGateway_Abort(fixture.gateway, KcLoop_Now());
    KcGatewayFrontEnd_Free(fixture.front_end);
    KcGateway_Free(fixture.gateway);
    KcHttpConnectionPool_Free(fixture.pool);
    for (int i = 0; i < fixture.accepted; i++) {
        if (fixture.server_connections[i] != NULL) {
            bufferevent_free(fixture.server_connections[i]);
        }
    }
    if (fixture.server != NULL) {
        evconnlistener_free(fixture.server);
    }
    KcLoop_Free(fixture.loop);
    g_string_free(fixture.received, TRUE);
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/unframed", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
