/*
 * Tests of HTTP calls.  One that cannot be started: the callback gets no
 * answer (status 0) exactly once, and only after KcHttpCall_Fetch() has
 * returned.  One whose reading is paused: it and the next call on its
 * connection get the whole answer.  Which answers of a server are none.
 */
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "../../programs/connection/socket.h"
#include "../../programs/request/http_call.h"
#include "../loopback.h"
#include "../steps.h"

typedef struct CallRecord {
    KcLoop *loop;
    bool fetch_returned;
    int callback_count;
} CallRecord;

static void
on_answer(void *context, int status, const char *etag, KcBytes body)
{
    CallRecord *record = context;

    g_assert_true(record->fetch_returned);
    g_assert_cmpint(status, ==, 0);
    g_assert_cmpstr(etag, ==, "");
    g_assert_cmpuint(body.size, ==, 0);
    record->callback_count++;
    KcLoop_Stop(record->loop);
}

static const struct {
    const char *name;
    const char *method;
    const char *address;
    bool cancelled;
    int callback_count;
} cases[] = {
    {"invalid address", "GET", "nowhere", false, 1},
    {"invalid port", "GET", "127.0.0.1:0x", false, 1},
    {"invalid method", "G T", "127.0.0.1:9", false, 1},
    {"cancelled before the callback", "GET", "nowhere", true, 0},
};

static void
stop_loop(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(timer->owner);
}

static void
test_not_started(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CallRecord record = {.loop = KcLoop_Create()};
        KcHttpCallOptions options = {.loop = record.loop,
                                     .address = cases[i].address,
                                     .method = cases[i].method,
                                     .path = "/",
                                     .progress_timeout = KC_SECOND};
        KcHttpCall *call;
        KcTimer timer;

        g_test_message("%s", cases[i].name);
        call = KcHttpCall_Fetch(&options, on_answer, &record);
        g_assert_nonnull(call);
        record.fetch_returned = true;
        if (cases[i].cancelled) {
            KcHttpCall_Cancel(call);
        }
        KcTimer_Init(&timer, stop_loop, record.loop);
        KcTimers_Set(record.loop->timers, &timer, KcLoop_Now() + 200 * KC_MS);
        KcLoop_Run(record.loop);
        KcTimers_Clear(record.loop->timers, &timer);
        g_assert_cmpint(record.callback_count, ==, cases[i].callback_count);
        KcLoop_Free(record.loop);
    }
}

/* ---- paused reading ------------------------------------------------------ */

#define ANSWER "HTTP/1.1 200 -\r\nContent-Length: 3\r\n\r\nabc"
#define ANSWER_SIZE (sizeof(ANSWER) - 1)
#define REST_DELAY (20 * KC_MS)
#define PROGRESS_TIMEOUT (300 * KC_MS)
#define CALL_COUNT 2

/* A server with one connection, and calls to it, one after the other. */
typedef struct PauseFixture {
    size_t index; /* of the case */
    KcLoop *loop;
    KcHttpConnectionPool *pool;
    char address[32];
    struct evconnlistener *listener;
    struct bufferevent *server;
    KcTimer rest_timer; /* sends the rest of the answer */
    KcHttpCall *call;
    KcTimer resume_timer;
    size_t body_size; /* of the present call */
    int done_count;
} PauseFixture;

static const struct {
    const char *name;
    size_t first_size;  /* bytes of the answer sent before the others */
    KcTime paused_time; /* from the first byte of the body on; 0: not paused;
                         * KC_NEVER: until the call ends */
} pause_cases[] = {
    {"no pause", ANSWER_SIZE, 0},
    {"a pause that the end of the answer does not end", ANSWER_SIZE, KC_NEVER},
    {"a pause shorter than the timeout", ANSWER_SIZE - 2, 100 * KC_MS},
    {"a pause longer than the timeout", ANSWER_SIZE - 2, 600 * KC_MS},
};

static void
on_request(struct bufferevent *bev, void *context)
{
    PauseFixture *fixture = context;
    struct evbuffer *input = bufferevent_get_input(bev);

    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_write(bev, ANSWER, pause_cases[fixture->index].first_size);
    KcTimers_Set(fixture->loop->timers, &fixture->rest_timer,
                 KcLoop_Now() + REST_DELAY);
}

static void
on_rest_timer(KcTimer *timer, KcTime now)
{
    PauseFixture *fixture = timer->owner;
    size_t first_size = pause_cases[fixture->index].first_size;

    (void)now;
    bufferevent_write(fixture->server, ANSWER + first_size,
                      ANSWER_SIZE - first_size);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    PauseFixture *fixture = context;

    (void)listener;
    (void)address;
    (void)size;
    g_assert_null(fixture->server);
    fixture->server =
        bufferevent_socket_new(fixture->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->server, on_request, NULL, NULL, fixture);
    bufferevent_enable(fixture->server, EV_READ | EV_WRITE);
}

static void
on_resume_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    KcHttpCall_SetReadPaused(((PauseFixture *)timer->owner)->call, false);
}

static void
on_data(void *context, KcBytes bytes)
{
    PauseFixture *fixture = context;
    KcTime paused_time = pause_cases[fixture->index].paused_time;

    if (fixture->body_size == 0 && paused_time > 0) {
        KcHttpCall_SetReadPaused(fixture->call, true);
        KcTimers_Set(fixture->loop->timers, &fixture->resume_timer,
                     paused_time == KC_NEVER ? KC_NEVER
                                             : KcLoop_Now() + paused_time);
    }
    fixture->body_size += bytes.size;
}

static void start_call(PauseFixture *fixture);

static void
on_done(void *context, int code, bool sent)
{
    PauseFixture *fixture = context;

    g_assert_true(sent);
    g_assert_cmpint(code, ==, 0);
    g_assert_cmpuint(fixture->body_size, ==, 3);
    if (++fixture->done_count == CALL_COUNT) {
        KcLoop_Stop(fixture->loop);
        return;
    }
    start_call(fixture);
}

static void
start_call(PauseFixture *fixture)
{
    static const KcHttpCallOps ops = {.on_data = on_data, .on_done = on_done};
    KcHttpCallOptions options = {.loop = fixture->loop,
                                 .address = fixture->address,
                                 .method = "GET",
                                 .path = "/",
                                 .progress_timeout = PROGRESS_TIMEOUT,
                                 .pool = fixture->pool,
                                 .ops = &ops,
                                 .context = fixture};

    fixture->body_size = 0;
    fixture->call = KcHttpCall_Start(&options);
    g_assert_nonnull(fixture->call);
}

static void
test_paused(gconstpointer data)
{
    PauseFixture fixture = {.index = GPOINTER_TO_SIZE(data),
                            .loop = KcLoop_Create()};

    fixture.pool = KcHttpConnectionPool_Create(fixture.loop);
    KcTimer_Init(&fixture.rest_timer, on_rest_timer, &fixture);
    KcTimer_Init(&fixture.resume_timer, on_resume_timer, &fixture);
    Loopback_AssignAddress(fixture.address, sizeof(fixture.address));
    fixture.listener = KcSocket_Listen(fixture.loop->base, fixture.address,
                                       on_accept, &fixture);
    g_assert_nonnull(fixture.listener);
    start_call(&fixture);
    KcLoop_Run(fixture.loop);
    KcTimers_Clear(fixture.loop->timers, &fixture.rest_timer);
    KcTimers_Clear(fixture.loop->timers, &fixture.resume_timer);
    bufferevent_free(fixture.server);
    evconnlistener_free(fixture.listener);
    KcHttpConnectionPool_Free(fixture.pool);
    KcLoop_Free(fixture.loop);
}

/* ---- answers ------------------------------------------------------------- */

#define HEAD "HTTP/1.1 200 -\r\n"
#define LENGTH "Content-Length: 3\r\n"
/* More than the kernel holds on both sides while the server doesn't read. */
#define LONG_UPLOAD 8000000

/* What the server does with its connection after its bytes. */
typedef enum ServerEnd { CLOSES = 0, RESETS, STAYS } ServerEnd;

static const struct {
    const char *name;
    size_t body_bytes; /* of the request */
    const char *bytes;
    ServerEnd end;
    int code; /* of the call */
} answer_cases[] = {
    {"length", 0, HEAD LENGTH "\r\nabc", STAYS, 0},
    {"closed", 0, HEAD "\r\nabc", CLOSES, 0},
    {"reset", 0, HEAD "\r\nabc", RESETS, KC_ERR_PEER_LOST},
    {"status 000", 0, "HTTP/1.1 000 -\r\n" LENGTH "\r\nabc", STAYS,
     KC_ERR_PARSE},
    {"status 000, an answer behind it", 0,
     "HTTP/1.1 000 -\r\n\r\n" HEAD LENGTH "\r\nabc", STAYS, KC_ERR_PARSE},
    {"status 600", 0, "HTTP/1.1 600 -\r\n" LENGTH "\r\nabc", STAYS,
     KC_ERR_PARSE},
    {"blank in the name of a field", 0, HEAD "A b: c\r\n" LENGTH "\r\nabc",
     STAYS, KC_ERR_PARSE},
    {"control byte in the name of a field", 0,
     HEAD "A\001b: c\r\n" LENGTH "\r\nabc", STAYS, KC_ERR_PARSE},
    {"upload, length", LONG_UPLOAD, HEAD LENGTH "\r\nabc", STAYS, 0},
    {"upload, closed", LONG_UPLOAD, HEAD "\r\nabc", CLOSES, KC_ERR_PEER_LOST},
    {"upload, reset", LONG_UPLOAD, HEAD "\r\nabc", RESETS, KC_ERR_PEER_LOST},
};

/* A server with one connection, and a call to it. */
typedef struct AnswerFixture {
    size_t index; /* of the case */
    KcLoop *loop;
    struct bufferevent *server;
    int status;
    int code; /* 1: not ended */
} AnswerFixture;

static void
on_answer_sent(struct bufferevent *bev, void *context)
{
    AnswerFixture *fixture = context;
    struct linger reset = {.l_onoff = 1, .l_linger = 0};

    switch (answer_cases[fixture->index].end) {
    case CLOSES:
        shutdown(bufferevent_getfd(bev), SHUT_WR);
        break;
    case RESETS:
        setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
        bufferevent_free(bev);
        fixture->server = NULL;
        break;
    case STAYS:
        break;
    }
}

static void
on_answer_request(struct bufferevent *bev, void *context)
{
    const char *bytes = answer_cases[((AnswerFixture *)context)->index].bytes;

    bufferevent_disable(bev, EV_READ);
    bufferevent_setcb(bev, NULL, on_answer_sent, NULL, context);
    bufferevent_write(bev, bytes, strlen(bytes));
}

static void
on_answer_accept(struct evconnlistener *listener, evutil_socket_t fd,
                 struct sockaddr *address, int size, void *context)
{
    AnswerFixture *fixture = context;

    (void)listener;
    (void)address;
    (void)size;
    g_assert_null(fixture->server);
    fixture->server =
        bufferevent_socket_new(fixture->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->server, on_answer_request, NULL, NULL, fixture);
    bufferevent_enable(fixture->server, EV_READ | EV_WRITE);
}

static void
on_answer_head(void *context, const KcHttpResponseHead *head)
{
    ((AnswerFixture *)context)->status = head->status;
}

static void
on_answer_done(void *context, int code, bool sent)
{
    AnswerFixture *fixture = context;

    g_assert_true(sent);
    fixture->code = code;
    KcLoop_Stop(fixture->loop);
}

static void
test_answer(gconstpointer data)
{
    static const KcHttpCallOps ops = {.on_head = on_answer_head,
                                      .on_done = on_answer_done};
    AnswerFixture fixture = {
        .index = GPOINTER_TO_SIZE(data), .loop = KcLoop_Create(), .code = 1};
    size_t body_bytes = answer_cases[fixture.index].body_bytes;
    char *body = g_malloc0(body_bytes);
    char address[KC_ADDRESS_MAX];
    struct evconnlistener *listener;
    KcHttpCallOptions options = {.loop = fixture.loop,
                                 .address = address,
                                 .method = "POST",
                                 .path = "/",
                                 .body = {body, body_bytes},
                                 .progress_timeout = KC_SECOND,
                                 .ops = &ops,
                                 .context = &fixture};

    Loopback_AssignAddress(address, sizeof(address));
    listener = KcSocket_Listen(fixture.loop->base, address, on_answer_accept,
                               &fixture);
    g_assert_nonnull(listener);
    g_assert_nonnull(KcHttpCall_Start(&options));
    KcLoop_Run(fixture.loop);
    g_assert_cmpint(fixture.code, ==, answer_cases[fixture.index].code);
    if (fixture.code == 0) {
        g_assert_cmpint(fixture.status, ==, 200);
    }
    if (fixture.server != NULL) {
        bufferevent_free(fixture.server);
    }
    evconnlistener_free(listener);
    KcLoop_Free(fixture.loop);
    g_free(body);
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http_call/not_started", test_not_started);
    Steps_AddCases("/http_call", pause_cases, G_N_ELEMENTS(pause_cases),
                   sizeof(pause_cases[0]), test_paused);
    Steps_AddCases("/http_call/answer", answer_cases,
                   G_N_ELEMENTS(answer_cases), sizeof(answer_cases[0]),
                   test_answer);
    return g_test_run();
}
