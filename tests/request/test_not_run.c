/*
 * Tests what a gateway takes as proof that a request has not run.  A caller
 * sends requests over real sockets; each case is what their server sends in
 * place of its answers, or beside them, and what the caller is told.
 */
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "../../programs/connection/socket.h"
#include "../../programs/process/platform.h"
#include "../../programs/request/gateway_front_end.h"
#include "../gateway_stubs.h"
#include "../loopback.h"
#include "../steps.h"

/* Longest duration of a case. */
#define GUARD_TIMEOUT (8 * KC_SECOND)
#define REQUEST_TIMEOUT (3 * KC_SECOND)
#define ANSWER_DELAY (20 * KC_MS)
/* From an answer to the next request, if the connection is to rest between. */
#define REST_TIME (40 * KC_MS)
#define REQUESTS 3

/* When the server sends the bytes beside its answers. */
typedef enum Moment {
    NEVER = 0,
    AT_ONCE,  /* with its first answer */
    AT_REST,  /* on the idle connection after its first answer */
    CROSSING, /* just before the gateway sends it the next request */
    WHEN_DUE  /* where its next answer on that connection is due */
} Moment;

/* In place of bytes: the server resets the connection before any byte of the
 * next request is sent on it. */
#define RESET_UNSENT "reset"
/* In place of bytes: the next request has a body, and the server resets the
 * connection when the first part of it has come. */
#define RESET_BEGUN "reset behind a part"
#define LONG_BODY 131072
/* In place of bytes: the server closes the connection. */
#define CLOSED "close"

#define HEAD(status) "HTTP/1.1 " status " -\r\n"
#define ID(id) "Attempt-Id: " id "\r\n"
#define NOT_RUN "Not-Executed: 1\r\n"
#define SEAL "Server-Seal: s\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"
#define KEPT "Keep-Alive: timeout=10\r\n"
#define STREAM                                                                \
    SEAL "Content-Type: text/event-stream\r\nTransfer-Encoding: "             \
         "chunked\r\n\r\n"
#define EVENT "f\r\nid: 0\ndata: x\n\n\r\n0\r\n\r\n"

#define UNSAFE "POST /u/x"
#define STREAMED "POST /t/x"
#define BODILESS "HEAD /u/x"

/* The requests have the ids 1, 2 and 3. */
static const struct {
    const char *name;
    const char *request;
    const char *first; /* the first answer; NULL: that of a run */
    bool is_first_run; /* whether the first request runs all the same */
    Moment moment;
    const char *beside;
    /* Of each request the status of its answer, "other" if it has the body of
     * another one, and its runs. */
    const char *outcome;
    uint64_t strays; /* answers on connections with a request to which they do
                      * not belong */
} cases[] = {
    {"answers of runs", UNSAFE, NULL, true, NEVER, NULL,
     "200 1; 200 1; 200 1; ", 0},
    {"streams of runs", STREAMED, NULL, true, NEVER, NULL,
     "200 1; 200 1; 200 1; ", 0},
    {"answers of runs without a body", BODILESS, NULL, true, NEVER, NULL,
     "200 1; 200 1; 200 1; ", 0},
    /* the server's own answers */
    {"refused with 503", UNSAFE, HEAD("503") ID("1") NOT_RUN EMPTY, false,
     NEVER, NULL, "503 0; 200 1; 200 1; ", 0},
    {"refused with 429", UNSAFE, HEAD("429") ID("1") NOT_RUN EMPTY, false,
     NEVER, NULL, "503 0; 200 1; 200 1; ", 0},
    {"refused with 421", UNSAFE, HEAD("421") ID("1") NOT_RUN EMPTY, false,
     NEVER, NULL, "503 0; 200 1; 200 1; ", 0},
    {"503 without a promise", UNSAFE, HEAD("503") ID("1") EMPTY, true, NEVER,
     NULL, "502 1; 200 1; 200 1; ", 0},
    {"429 without a promise", UNSAFE, HEAD("429") ID("1") EMPTY, true, NEVER,
     NULL, "502 1; 200 1; 200 1; ", 0},
    {"408 with a promise", UNSAFE, HEAD("408") ID("1") NOT_RUN EMPTY, true,
     NEVER, NULL, "502 1; 200 1; 200 1; ", 0},
    {"500 with a promise", UNSAFE, HEAD("500") ID("1") SEAL NOT_RUN EMPTY,
     true, NEVER, NULL, "500 1; 200 1; 200 1; ", 0},
    {"504 with a promise", UNSAFE, HEAD("504") ID("1") SEAL NOT_RUN EMPTY,
     true, NEVER, NULL, "504 1; 200 1; 200 1; ", 0},
    {"200 with a promise", UNSAFE, HEAD("200") ID("1") SEAL NOT_RUN EMPTY,
     true, NEVER, NULL, "200 1; 200 1; 200 1; ", 0},
    {"refusal that is cut off", UNSAFE,
     HEAD("503") ID("1") NOT_RUN "Connection: close\r\nContent-Length: "
                                 "9\r\n\r\nabc",
     true, NEVER, NULL, "502 1; 200 1; 200 1; ", 0},
    {"refusal with two ids", UNSAFE, HEAD("503") ID("1") ID("2") NOT_RUN EMPTY,
     true, NEVER, NULL, "504 1; 200 1; 200 1; ", 1},
    /* answers without an id belong to no request */
    {"503 without an id, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("503") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"503 without an id, at rest", UNSAFE, NULL, true, AT_REST,
     HEAD("503") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 0},
    {"503 without an id, at once", UNSAFE, NULL, true, AT_ONCE,
     HEAD("503") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 0},
    {"429 without an id, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("429") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"421 without an id, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("421") EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"421 without an id, at rest", UNSAFE, NULL, true, AT_REST,
     HEAD("421") EMPTY, "200 1; 200 1; 200 1; ", 0},
    {"400 without an id, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("400") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"503 without an id or a promise, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("503") EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"200 without an id, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("200") EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"200 without an id, at once", UNSAFE, NULL, true, AT_ONCE,
     HEAD("200") EMPTY, "200 1; 200 1; 200 1; ", 0},
    {"503 without an id before a stream", STREAMED, NULL, true, WHEN_DUE,
     HEAD("503") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"421 without an id before a stream", STREAMED, NULL, true, WHEN_DUE,
     HEAD("421") EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"stream without an id, when due", STREAMED, NULL, true, WHEN_DUE,
     HEAD("200") STREAM EVENT, "200 1; 200 1; 200 1; ", 1},
    {"503 without an id, crossing the request", UNSAFE, NULL, true, CROSSING,
     HEAD("503") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 0},
    {"503 without an id or a length, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("503") NOT_RUN "\r\n", "200 1; 504 1; 200 1; ", 1},
    {"503 without an id before an answer without a body", BODILESS, NULL, true,
     WHEN_DUE, HEAD("503") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"interim answer before one without a body", BODILESS, NULL, true,
     WHEN_DUE, HEAD("103") "\r\n", "200 1; 200 1; 200 1; ", 0},
    /* answers with the id of another request */
    {"503 with another id, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("503") ID("1") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"421 with another id, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("421") ID("1") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"503 with another id, at rest", UNSAFE, NULL, true, AT_REST,
     HEAD("503") ID("1") NOT_RUN EMPTY, "200 1; 200 1; 200 1; ", 0},
    {"200 with another id, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("200") ID("1") SEAL EMPTY, "200 1; 200 1; 200 1; ", 1},
    {"stream with another id, when due", STREAMED, NULL, true, WHEN_DUE,
     HEAD("200") ID("1") STREAM EVENT, "200 1; 200 1; 200 1; ", 1},
    /* the beginning of an answer, whose head goes on with that of the next */
    {"refusal that is cut off in a value, when due", UNSAFE, NULL, true,
     WHEN_DUE, HEAD("503") NOT_RUN "Server-Load: 1,0", "200 1; 502 1; 200 1; ",
     0},
    {"200 that is cut off in a value, when due", UNSAFE, NULL, true, WHEN_DUE,
     HEAD("200") SEAL "Server-Load: 1,0", "200 1; 502 1; 200 1; ", 0},
    {"refusal that is cut off in a name, when due", UNSAFE, NULL, true,
     WHEN_DUE, HEAD("503") NOT_RUN "Server-Lo", "200 1; 502 1; 200 1; ", 0},
    {"refusal that is cut off behind a line, when due", UNSAFE, NULL, true,
     WHEN_DUE, HEAD("503") NOT_RUN, "200 1; 502 1; 200 1; ", 0},
    {"421 that is cut off in its status line, when due", UNSAFE, NULL, true,
     WHEN_DUE, "HTTP/1.1 421 Mis", "200 1; 502 1; 200 1; ", 0},
    {"404 that is cut off in its status line, when due", UNSAFE, NULL, true,
     WHEN_DUE, "HTTP/1.1 404 Not", "200 1; 502 1; 200 1; ", 0},
    {"503 that is cut off in its status line, when due", UNSAFE, NULL, true,
     WHEN_DUE, "HTTP/1.1 503 Serv", "200 1; 502 1; 200 1; ", 0},
    {"refusal that is cut off in a value, and another one, when due", UNSAFE,
     NULL, true, WHEN_DUE, HEAD("503") NOT_RUN "Server-Load: 1,0HTTP/1.1 50",
     "200 1; 502 1; 200 1; ", 0},
    /* answers to an earlier attempt of the same request */
    {"refusal of an earlier attempt, when due", STREAMED,
     HEAD("503") ID("1") NOT_RUN KEPT "Retry-After: 1\r\n" EMPTY, false,
     WHEN_DUE, HEAD("503") ID("1") NOT_RUN KEPT EMPTY, "200 1; 200 1; 200 1; ",
     0},
    {"421 of an earlier attempt, when due", STREAMED,
     HEAD("503") ID("1") NOT_RUN KEPT "Retry-After: 1\r\n" EMPTY, false,
     WHEN_DUE, HEAD("421") ID("1") NOT_RUN KEPT EMPTY, "200 1; 200 1; 200 1; ",
     0},
    /* a connection that ends before the request is sent on it */
    {"unsafe request that is not sent", UNSAFE, NULL, true, WHEN_DUE,
     RESET_UNSENT, "200 1; 503 0; 200 1; ", 0},
    {"stream that is not sent", STREAMED, NULL, true, WHEN_DUE, RESET_UNSENT,
     "200 1; 503 0; 200 1; ", 0},
    {"unsafe request of which a part is sent", UNSAFE, NULL, true, WHEN_DUE,
     RESET_BEGUN, "200 1; 502 1; 200 1; ", 0},
    {"unsafe request that crosses a close", UNSAFE, NULL, true, CROSSING,
     CLOSED, "200 1; 200 1; 200 1; ", 0},
    {"unsafe request that crosses bytes that are no answer", UNSAFE, NULL,
     true, CROSSING, "x\r\n\r\n", "200 1; 200 1; 200 1; ", 0},
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
    /* the server */
    struct evconnlistener *server;
    /* NULL: reset */
    struct bufferevent *server_connections[2 * REQUESTS];
    int accepted;
    struct bufferevent *first_connection; /* of the first answer */
    bool has_answered;
    bool has_sent_beside;
    struct bufferevent *answering; /* gets an answer when the timer is due */
    int answering_id;
    KcTimer answer_timer;
    KcTimer beside_timer;
    int runs[REQUESTS + 1]; /* by id */
    /* the caller */
    struct bufferevent *caller;
    int request_id; /* of the request that waits for its answer */
    GString *received;
    GString *outcome;
    KcTimer request_timer;
} Fixture;

/* ---- the server ----------------------------------------------------------- */

static void
send_text(struct bufferevent *bev, const char *text)
{
    bufferevent_write(bev, text, strlen(text));
}

static bool
is_beside(const Fixture *fixture, const char *event)
{
    return cases[fixture->index].beside != NULL &&
           strcmp(cases[fixture->index].beside, event) == 0;
}

static void
send_beside(Fixture *fixture)
{
    if (!fixture->has_sent_beside) {
        fixture->has_sent_beside = true;
        send_text(fixture->first_connection, cases[fixture->index].beside);
    }
}

static void
reset_first_connection(Fixture *fixture)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};

    if (!fixture->has_sent_beside) {
        fixture->has_sent_beside = true;
        setsockopt(bufferevent_getfd(fixture->first_connection), SOL_SOCKET,
                   SO_LINGER, &reset, sizeof(reset));
        bufferevent_free(fixture->first_connection);
        g_assert_true(fixture->first_connection ==
                      fixture->server_connections[0]);
        fixture->server_connections[0] = NULL;
        fixture->first_connection = NULL;
    }
}

/* Answers a request that runs; the answer to an unsafe one has its id as body.
 */
static void
send_answer(Fixture *fixture, struct bufferevent *bev, int id)
{
    struct evbuffer *out = bufferevent_get_output(bev);

    evbuffer_add_printf(out, HEAD("200") KEPT ID("%d") SEAL, id);
    if (strcmp(cases[fixture->index].request, STREAMED) == 0) {
        evbuffer_add_printf(out, STREAM EVENT);
    }
    else if (strcmp(cases[fixture->index].request, BODILESS) == 0) {
        evbuffer_add_printf(out, "Content-Length: 1\r\n\r\n");
    }
    else {
        evbuffer_add_printf(out, "Content-Length: 1\r\n\r\n%d", id);
    }
}

static void
send_first(Fixture *fixture, struct bufferevent *bev, int id)
{
    const char *first = cases[fixture->index].first;

    fixture->first_connection = bev;
    if (first == NULL) {
        send_answer(fixture, bev, id);
    }
    else {
        send_text(bev, first);
    }
    if (cases[fixture->index].moment == AT_ONCE) {
        send_beside(fixture);
    }
    if (cases[fixture->index].moment == AT_REST) {
        KcTimers_Set(fixture->loop->timers, &fixture->beside_timer,
                     KcLoop_Now() + REST_TIME / 2);
    }
}

static void
on_answer_timer(KcTimer *timer, KcTime now)
{
    Fixture *fixture = timer->owner;
    struct bufferevent *bev = fixture->answering;

    (void)now;
    fixture->answering = NULL;
    if (!fixture->has_answered) {
        fixture->has_answered = true;
        send_first(fixture, bev, fixture->answering_id);
        return;
    }
    send_answer(fixture, bev, fixture->answering_id);
}

static void
on_beside_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    send_beside(timer->owner);
}

static void
on_server_read(struct bufferevent *bev, void *context)
{
    Fixture *fixture = context;
    struct evbuffer *input = bufferevent_get_input(bev);
    size_t size = evbuffer_get_length(input);
    char *text = g_strndup((const char *)evbuffer_pullup(input, -1), size);
    const char *id = strstr(text, "Attempt-Id: ");

    evbuffer_drain(input, size);
    g_assert_nonnull(id);
    fixture->answering = bev;
    fixture->answering_id = atoi(id + strlen("Attempt-Id: "));
    fixture->runs[fixture->answering_id] +=
        fixture->has_answered || cases[fixture->index].is_first_run ? 1 : 0;
    g_free(text);
    if (bev == fixture->first_connection && is_beside(fixture, RESET_BEGUN)) {
        reset_first_connection(fixture);
        return;
    }
    if (bev == fixture->first_connection &&
        cases[fixture->index].moment == WHEN_DUE) {
        send_beside(fixture);
    }
    KcTimers_Set(fixture->loop->timers, &fixture->answer_timer,
                 KcLoop_Now() + ANSWER_DELAY);
}

static void
on_server_sent(struct bufferevent *bev, void *context)
{
    const char *first = cases[((Fixture *)context)->index].first;

    if (first != NULL && strstr(first, "close") != NULL &&
        bev == ((Fixture *)context)->first_connection) {
        shutdown(bufferevent_getfd(bev), SHUT_WR);
    }
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
    bufferevent_setcb(bev, on_server_read, on_server_sent, NULL, fixture);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

/* ---- the gateway ---------------------------------------------------------- */

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
        .limits = {.body_bytes_max = 65536,
                   .skipped_bytes_max = 65536,
                   .skipped_max = 4,
                   .unnumbered_events_max = 4,
                   .pool = &fixture->intake_pool},
        .request_head =
            KcGatewayFrontEnd_RequestHead(attempt->forward->caller),
        .request_body =
            KcGatewayFrontEnd_RequestBody(attempt->forward->caller)};
    void *handle = KcHttpAttempt_Start(&options, attempt, params);

    if (is_beside(fixture, RESET_UNSENT) && fixture->has_answered) {
        reset_first_connection(fixture);
    }
    return handle;
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
    rule->latency_objective = KC_SECOND;
    rule->attempts_max = 2;
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
    KcGateway_SetGatewayCount(fixture->gateway, 1, KcLoop_Now());
    fixture->pool = KcHttpConnectionPool_Create(fixture->loop);
    add_rule(routing, "/u/", KC_REQUEST_KIND_UNSAFE);
    add_rule(routing, "/t/", KC_REQUEST_KIND_STREAM);
    routing->limits = (KcCallerLimits){.header_bytes_max = 16384,
                                       .body_bytes_max = LONG_BODY,
                                       .header_timeout = KC_SECOND,
                                       .idle_timeout = 10 * KC_SECOND};
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    KcGateway_SetRouting(fixture->gateway, routing);
    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "w", KC_NAME_MAX);
    KcText_Copy(info.service, "s", KC_NAME_MAX);
    KcText_Copy(info.address, server_address, KC_ADDRESS_MAX);
    info.concurrency_max = 8;
    KcGateway_OnServerRecord(fixture->gateway, &info, (KcRevision){0, 1},
                             KcLoop_Now());
    KcServerInfo_Clear(&info);
}

/* ---- the caller ----------------------------------------------------------- */

/* Sends the bytes, or a close, ahead of those that wait to be sent. */
static void
send_at_once(struct bufferevent *bev, const char *text)
{
    evutil_socket_t fd = bufferevent_getfd(bev);

    if (strcmp(text, CLOSED) == 0) {
        g_assert_cmpint(shutdown(fd, SHUT_WR), ==, 0);
    }
    else {
        g_assert_cmpint(send(fd, text, strlen(text), 0), ==, strlen(text));
    }
}

/* Of a request that crosses bytes the gateway handles the request first. */
static void
send_request(Fixture *fixture)
{
    bool is_second = ++fixture->request_id == 2;
    size_t size = is_second && is_beside(fixture, RESET_BEGUN) ? LONG_BODY : 0;
    char *body = g_malloc0(size + 1);
    char *head = g_strdup_printf(
        "%s HTTP/1.1\r\nHost: h\r\n" ID("%d") "Content-Length: %zu\r\n\r\n",
        cases[fixture->index].request, fixture->request_id, size);

    if (is_second && cases[fixture->index].moment == CROSSING) {
        send_at_once(fixture->caller, head);
        send_at_once(fixture->first_connection, cases[fixture->index].beside);
    }
    else {
        send_text(fixture->caller, head);
        bufferevent_write(fixture->caller, body, size);
    }
    g_free(head);
    g_free(body);
}

static void
on_request_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    send_request(timer->owner);
}

/* The length of the answer at the beginning of text; 0: not complete. */
static size_t
find_answer_end(const char *text)
{
    const char *body = strstr(text, "\r\n\r\n");
    const char *length = strstr(text, "Content-Length: ");
    const char *end;

    if (body == NULL) {
        return 0;
    }
    if (strstr(text, "Transfer-Encoding: chunked") != NULL) {
        end = strstr(body, "0\r\n\r\n");
        return end != NULL ? (size_t)(end - text) + 5 : 0;
    }
    g_assert_nonnull(length);
    end = body + 4 + strtoul(length + strlen("Content-Length: "), NULL, 10);
    return strlen(text) >= (size_t)(end - text) ? (size_t)(end - text) : 0;
}

static void
record_answer(Fixture *fixture, size_t size)
{
    const char *text = fixture->received->str;
    const char *body = strstr(text, "\r\n\r\n") + 4;
    int status = atoi(text + strlen("HTTP/1.1 "));
    bool is_run = status == 200 && cases[fixture->index].first == NULL;
    bool is_other = is_run &&
                    strcmp(cases[fixture->index].request, UNSAFE) == 0 &&
                    atoi(body) != fixture->request_id;

    g_string_append_printf(fixture->outcome, "%d%s %d; ", status,
                           is_other ? " other" : "",
                           fixture->runs[fixture->request_id]);
    g_string_erase(fixture->received, 0, (gssize)size);
}

static void
on_caller_read(struct bufferevent *bev, void *context)
{
    Fixture *fixture = context;
    struct evbuffer *input = bufferevent_get_input(bev);
    size_t size = evbuffer_get_length(input);

    g_string_append_len(fixture->received,
                        (const char *)evbuffer_pullup(input, -1),
                        (gssize)size);
    evbuffer_drain(input, size);
    size = find_answer_end(fixture->received->str);
    if (size == 0) {
        return;
    }
    record_answer(fixture, size);
    if (fixture->request_id == REQUESTS) {
        KcLoop_Stop(fixture->loop);
    }
    else if (cases[fixture->index].moment == AT_REST) {
        KcTimers_Set(fixture->loop->timers, &fixture->request_timer,
                     KcLoop_Now() + REST_TIME);
    }
    else {
        send_request(fixture);
    }
}

static void
connect_caller(Fixture *fixture, const char *address)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);

    g_assert_cmpint(
        evutil_parse_sockaddr_port(address, (struct sockaddr *)&remote, &size),
        ==, 0);
    fixture->caller =
        bufferevent_socket_new(fixture->loop->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->caller, on_caller_read, NULL, NULL, fixture);
    bufferevent_enable(fixture->caller, EV_READ | EV_WRITE);
    bufferevent_socket_connect(fixture->caller, (struct sockaddr *)&remote,
                               size);
}

/* ---- running a case ------------------------------------------------------- */

static void
on_guard(KcTimer *timer, KcTime now)
{
    (void)now;
    g_error("an answer is missing after: %s",
            ((Fixture *)timer->owner)->outcome->str);
}

static void
init_timers(Fixture *fixture)
{
    KcTimer_Init(&fixture->guard, on_guard, fixture);
    KcTimer_Init(&fixture->answer_timer, on_answer_timer, fixture);
    KcTimer_Init(&fixture->beside_timer, on_beside_timer, fixture);
    KcTimer_Init(&fixture->request_timer, on_request_timer, fixture);
    KcTimers_Set(fixture->loop->timers, &fixture->guard,
                 KcLoop_Now() + GUARD_TIMEOUT);
}

static void
clear_timers(Fixture *fixture)
{
    KcTimer *timers[] = {&fixture->guard, &fixture->answer_timer,
                         &fixture->beside_timer, &fixture->request_timer};

    for (size_t i = 0; i < G_N_ELEMENTS(timers); i++) {
        KcTimers_Clear(fixture->loop->timers, timers[i]);
    }
}

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.index = GPOINTER_TO_SIZE(data),
                       .loop = KcLoop_Create(),
                       .received = g_string_new(""),
                       .outcome = g_string_new(""),
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

    Loopback_AssignAddress(server_address, sizeof(server_address));
    Loopback_AssignAddress(address, sizeof(address));
    fixture.server = KcSocket_Listen(fixture.loop->base, server_address,
                                     on_accept, &fixture);
    g_assert_nonnull(fixture.server);
    create_gateway(&fixture, server_address);
    options.gateway = fixture.gateway;
    fixture.front_end = KcGatewayFrontEnd_Create(&options);
    g_assert_nonnull(fixture.front_end);
    init_timers(&fixture);
    connect_caller(&fixture, address);
    send_request(&fixture);
    KcLoop_Run(fixture.loop);
    g_assert_cmpstr(fixture.outcome->str, ==, cases[fixture.index].outcome);
    g_assert_cmpuint(fixture.counters.values[KC_COUNT_STRAY_REPLIES], ==,
                     cases[fixture.index].strays);
    clear_timers(&fixture);
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
    evconnlistener_free(fixture.server);
    KcLoop_Free(fixture.loop);
    g_string_free(fixture.received, TRUE);
    g_string_free(fixture.outcome, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/not run", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
