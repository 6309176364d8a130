/*
 * Tests of the transport of links over real sockets: what either end makes of
 * the bytes that its peer sends, and when it gives a connection up.
 *
 * Steps, separated by semicolons; all but the last two send bytes:
 *   hello, want ADAPTER     messages that both versions know
 *   otherhello              the hello of another version of the protocol
 *   unknown TYPE            a message of a type of a newer version
 *   longer ADAPTER          a want with a further field of a newer version
 *   shorter ADAPTER         a want without its last field
 *   garbage, half, endless  a frame that is no msgpack, half a message, a
 * frame above the largest size close                   the peer closes the
 * connection silent                  it sends nothing more
 *
 * Trace: "ready" on the connecting side, "hello", "want ADAPTER", "denied" a
 * message that breaks the rules of the link, "skip TYPE" a message of an
 * unknown type that is reported, "closed CODE", and at the end the messages
 * skipped and the protocol errors, if any.
 */
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include <kcc.h>

#include "../../programs/connection/tcp.h"
#include "../steps.h"

/* Within which a connection must be ready. */
#define SETUP_TIMEOUT (200 * KC_MS)
/* A connection that is not closed is watched for this long after the last
 * step. */
#define REST_TIME (50 * KC_MS)

typedef struct Fixture {
    KcLoop *loop;
    KcCounters counters;
    KcEncoder *encoder;
    GString *trace;
    GByteArray *bytes; /* that the peer sends */
    bool peer_closes;
    struct evconnlistener *peer_listener;
    struct bufferevent *peer;
    KcTcpListener *listener;
    KcLink *link;
    KcTimer rest_timer;
} Fixture;

/* ---- steps --------------------------------------------------------------- */

/* Appends a frame; cut: bytes of its end that are left out. */
static void
append_frame(Fixture *fixture, const void *payload, size_t size, size_t cut)
{
    const unsigned char prefix[4] = {0, 0, (unsigned char)(size >> 8),
                                     (unsigned char)size};

    g_byte_array_append(fixture->bytes, prefix, sizeof(prefix));
    g_byte_array_append(fixture->bytes, payload, (guint)(size - cut));
}

static void
step_hello(Fixture *fixture, char **words)
{
    KcMsg hello;
    KcBytes bytes;

    (void)words;
    KcMsg_InitHello(&hello, "peer", 1);
    KcEncoder_Encode(fixture->encoder, &hello, &bytes);
    g_byte_array_append(fixture->bytes, (const guint8 *)bytes.data,
                        (guint)bytes.size);
}

static void
step_other_hello(Fixture *fixture, char **words)
{
    KcMsg hello;
    KcBytes bytes;

    (void)words;
    KcMsg_InitHello(&hello, "peer", 1);
    hello.u.hello.protocol_version++;
    KcEncoder_Encode(fixture->encoder, &hello, &bytes);
    g_byte_array_append(fixture->bytes, (const guint8 *)bytes.data,
                        (guint)bytes.size);
}

/* Encodes a want without its length, with room for a further field. */
static size_t
encode_want(Fixture *fixture, const char *adapter, unsigned char payload[256])
{
    KcMsg want = {.type = KC_MSG_WANT, .u.want = {.model = "m"}};
    KcBytes bytes;

    KcText_Copy(want.u.want.adapter, adapter, KC_NAME_MAX);
    KcEncoder_Encode(fixture->encoder, &want, &bytes);
    memcpy(payload, bytes.data + 4, bytes.size - 4);
    g_assert_cmpint(payload[0], ==, 0x98); /* an array of 8 */
    return bytes.size - 4;
}

static void
step_want(Fixture *fixture, char **words)
{
    unsigned char payload[256];
    size_t size = encode_want(fixture, words[1], payload);

    append_frame(fixture, payload, size, 0);
}

static void
step_longer(Fixture *fixture, char **words)
{
    unsigned char payload[256];
    size_t size = encode_want(fixture, words[1], payload);

    payload[0] = 0x99;
    payload[size] = 0x05;
    append_frame(fixture, payload, size + 1, 0);
}

static void
step_shorter(Fixture *fixture, char **words)
{
    unsigned char payload[256];
    size_t size = encode_want(fixture, words[1], payload);

    payload[0] = 0x97;
    g_assert_cmpint(payload[size - 1], ==, 0x00); /* the priority */
    append_frame(fixture, payload, size - 1, 0);
}

static void
step_unknown(Fixture *fixture, char **words)
{
    const unsigned char payload[] = {
        0x96, 0xcc, (unsigned char)atoi(words[1]), 0, 0, 0, 0xa1, 'x', 0xc0};

    append_frame(fixture, payload, sizeof(payload), 0);
}

static void
step_garbage(Fixture *fixture, char **words)
{
    (void)words;
    append_frame(fixture, "\xc1\xc1\xc1", 3, 0);
}

static void
step_half(Fixture *fixture, char **words)
{
    unsigned char payload[256];
    size_t size = encode_want(fixture, "half", payload);

    (void)words;
    append_frame(fixture, payload, size, size / 2);
}

static void
step_endless(Fixture *fixture, char **words)
{
    (void)words;
    g_byte_array_append(fixture->bytes, (const guint8 *)"\xff\xff\xff\xff", 4);
}

static void
step_close(Fixture *fixture, char **words)
{
    (void)words;
    fixture->peer_closes = true;
}

static void
step_silent(Fixture *fixture, char **words)
{
    (void)fixture;
    (void)words;
}

static const StepHandler step_handlers[] = {
    {"hello", step_hello},
    {"want", step_want},
    {"unknown", step_unknown},
    {"longer", step_longer},
    {"shorter", step_shorter},
    {"garbage", step_garbage},
    {"half", step_half},
    {"endless", step_endless},
    {"otherhello", step_other_hello},
    {"close", step_close},
    {"silent", step_silent},
};

/* ---- the tested end ------------------------------------------------------ */

static void
on_rest_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(((Fixture *)timer->owner)->loop);
}

/* Ends the case when nothing more happens. */
static void
start_rest(Fixture *fixture)
{
    KcTimers_Set(fixture->loop->timers, &fixture->rest_timer,
                 KcLoop_Now() + REST_TIME);
}

static void
on_ready(void *context, void *peer_context, KcLink *link)
{
    Fixture *fixture = context;

    g_assert_true(peer_context == fixture);
    fixture->link = link;
    g_string_append(fixture->trace, "ready; ");
    start_rest(fixture);
}

static void
on_message(void *context, KcLink *link, const KcMsg *msg)
{
    Fixture *fixture = context;
    KcStream *stream;
    KcError error;

    start_rest(fixture);
    if (KcLink_Receive(link, msg, &stream, KcLoop_Now(), &error) != 0) {
        g_string_append(fixture->trace, "denied; ");
        return;
    }
    if (msg->type == KC_MSG_HELLO) {
        g_string_append(fixture->trace, "hello; ");
        return;
    }
    g_assert_cmpint(msg->type, ==, KC_MSG_WANT);
    g_string_append_printf(fixture->trace, "want %s; ", msg->u.want.adapter);
}

static void
on_closed(void *context, void *peer_context, KcLink *link, int code)
{
    Fixture *fixture = context;

    (void)peer_context;
    g_assert_true(link == fixture->link);
    if (link != NULL) {
        KcLink_Free(link);
        fixture->link = NULL;
    }
    g_string_append_printf(fixture->trace, "closed %s; ", KcError_Name(code));
    KcLoop_Stop(fixture->loop);
}

static void
on_skipped(void *context, KcLink *link, int type)
{
    Fixture *fixture = context;

    g_assert_true(link == fixture->link);
    g_string_append_printf(fixture->trace, "skip %d; ", type);
    start_rest(fixture);
}

static const KcTcpOps tcp_ops = {on_ready, on_message, on_skipped, on_closed};

static void
on_accepted(void *context, KcLink *link)
{
    ((Fixture *)context)->link = link;
    start_rest(context);
}

/* ---- the peer ------------------------------------------------------------ */

static void
on_peer_sent(struct bufferevent *bev, void *context)
{
    Fixture *fixture = context;

    if (fixture->peer_closes) {
        bufferevent_free(bev);
        fixture->peer = NULL;
    }
}

static void
start_peer(Fixture *fixture, evutil_socket_t fd)
{
    fixture->peer =
        bufferevent_socket_new(fixture->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->peer, NULL, on_peer_sent, NULL, fixture);
    bufferevent_enable(fixture->peer, EV_READ | EV_WRITE);
    bufferevent_write(fixture->peer, fixture->bytes->data,
                      fixture->bytes->len);
}

static void
on_peer_accept(struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *address, int size, void *context)
{
    (void)listener;
    (void)address;
    (void)size;
    start_peer(context, fd);
}

/* ---- cases --------------------------------------------------------------- */

typedef struct Case {
    const char *name;
    const char *steps;
    const char *connecting_trace;
    const char *accepting_trace;
} Case;

static const Case cases[] = {
    {"known messages", "hello;want a;want b", "ready; want a; want b; ",
     "hello; want a; want b; "},
    {"a peer that says nothing is given up", "silent", "closed peer_lost; ",
     ""},
    {"a peer that stops within its first message is given up", "half",
     "closed peer_lost; ", ""},
    {"a peer that closes at once", "close", "closed peer_lost; ",
     "closed peer_lost; "},
    {"another message before the hello", "want a",
     "closed protocol_error; errors 1; ", "denied; "},
    {"the hello of another version of the protocol", "otherhello;hello",
     "closed protocol_error; errors 1; ", "denied; hello; "},
    {"a message of an unknown type", "hello;unknown 200",
     "ready; skip 200; skipped 1; ", "hello; skip 200; skipped 1; "},
    {"messages of unknown types between known ones",
     "hello;want a;unknown 200;unknown 201;want b;unknown 200;want c",
     "ready; want a; skip 200; want b; want c; skipped 3; ",
     "hello; want a; skip 200; want b; want c; skipped 3; "},
    {"a message of an unknown type before the hello", "unknown 200;hello",
     "closed protocol_error; errors 1; ", "closed protocol_error; errors 1; "},
    {"a further field of a newer version", "hello;longer a;want b",
     "ready; want a; want b; ", "hello; want a; want b; "},
    {"half a message, then the end", "hello;want a;half;close",
     "ready; want a; closed peer_lost; ", "hello; want a; closed peer_lost; "},
    {"a message without its last field", "hello;shorter a;want b",
     "ready; closed parse_error; errors 1; ",
     "hello; closed parse_error; errors 1; "},
    {"a frame that is no message", "hello;garbage;want b",
     "ready; closed parse_error; errors 1; ",
     "hello; closed parse_error; errors 1; "},
    {"a frame above the largest size", "hello;endless",
     "ready; closed too_large; errors 1; ",
     "hello; closed too_large; errors 1; "},
};

/* Listens at a port that the kernel chooses. */
static struct evconnlistener *
listen_anywhere(Fixture *fixture, char address[KC_ADDRESS_MAX])
{
    struct sockaddr_in local = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(local);
    struct evconnlistener *listener = evconnlistener_new_bind(
        fixture->loop->base, on_peer_accept, fixture, LEV_OPT_CLOSE_ON_FREE, 1,
        (struct sockaddr *)&local, sizeof(local));

    g_assert_nonnull(listener);
    getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&local,
                &size);
    snprintf(address, KC_ADDRESS_MAX, "127.0.0.1:%d", ntohs(local.sin_port));
    return listener;
}

static void
connect_to_peer(Fixture *fixture)
{
    KcTcpOptions options = {fixture->loop, &fixture->counters, &tcp_ops,
                            fixture};
    char address[KC_ADDRESS_MAX];
    KcMsg hello;

    fixture->peer_listener = listen_anywhere(fixture, address);
    KcMsg_InitHello(&hello, "tested", 2);
    KcTcpConnection_Connect(&options, fixture, address, &hello, SETUP_TIMEOUT);
}

static void
accept_peer(Fixture *fixture)
{
    KcTcpOptions options = {fixture->loop, &fixture->counters, &tcp_ops,
                            fixture};
    char address[KC_ADDRESS_MAX];
    struct sockaddr_storage remote;
    int size = sizeof(remote);
    evutil_socket_t fd;

    while (fixture->listener == NULL) {
        /* Another program may take the port in between. */
        evconnlistener_free(listen_anywhere(fixture, address));
        fixture->listener =
            KcTcpListener_Create(&options, address, on_accepted);
    }
    evutil_parse_sockaddr_port(address, (struct sockaddr *)&remote, &size);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&remote, (socklen_t)size),
                    ==, 0);
    evutil_make_socket_nonblocking(fd);
    start_peer(fixture, fd);
}

static void
append_counter(Fixture *fixture, KcCounter counter, const char *name)
{
    if (fixture->counters.values[counter] != 0) {
        g_string_append_printf(fixture->trace, "%s %d; ", name,
                               (int)fixture->counters.values[counter]);
    }
}

static void
run_case(const Case *test_case, void (*connect_ends)(Fixture *fixture),
         const char *trace)
{
    Fixture fixture = {.loop = KcLoop_Create(),
                       .encoder = KcEncoder_Create(),
                       .trace = g_string_new(""),
                       .bytes = g_byte_array_new()};

    KcTimer_Init(&fixture.rest_timer, on_rest_timer, &fixture);
    Steps_Run(&fixture, step_handlers, G_N_ELEMENTS(step_handlers),
              test_case->steps);
    connect_ends(&fixture);
    KcLoop_Run(fixture.loop);
    append_counter(&fixture, KC_COUNT_MESSAGES_SKIPPED, "skipped");
    append_counter(&fixture, KC_COUNT_PROTOCOL_ERRORS, "errors");
    g_assert_cmpstr(fixture.trace->str, ==, trace);
    KcTimers_Clear(fixture.loop->timers, &fixture.rest_timer);
    if (fixture.link != NULL) {
        fixture.link->ops->close(fixture.link->transport);
        KcLink_Free(fixture.link);
    }
    if (fixture.peer != NULL) {
        bufferevent_free(fixture.peer);
    }
    if (fixture.peer_listener != NULL) {
        evconnlistener_free(fixture.peer_listener);
    }
    if (fixture.listener != NULL) {
        KcTcpListener_Free(fixture.listener);
    }
    KcLoop_Free(fixture.loop);
    KcEncoder_Free(fixture.encoder);
    g_string_free(fixture.trace, TRUE);
    g_byte_array_free(fixture.bytes, TRUE);
}

static void
test_connecting(gconstpointer data)
{
    const Case *test_case = &cases[GPOINTER_TO_SIZE(data)];

    run_case(test_case, connect_to_peer, test_case->connecting_trace);
}

static void
test_accepting(gconstpointer data)
{
    const Case *test_case = &cases[GPOINTER_TO_SIZE(data)];

    run_case(test_case, accept_peer, test_case->accepting_trace);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/tcp/connecting", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_connecting);
    Steps_AddCases("/tcp/accepting", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_accepting);
    return g_test_run();
}
