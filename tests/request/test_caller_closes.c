/*
 * Tests how a gateway's front end ends its callers' connections: no caller
 * loses a refusal or an answer, and none holds a connection for longer than
 * the limits.  A case is a text of steps of one caller, which uses a real
 * socket; the one backend server answers when the case says so.
 */
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/connection/lingering_close.h"
#include "../../programs/process/platform.h"
#include "../../programs/request/gateway_front_end.h"
#include "../steps.h"
#include "../gateway_stubs.h"
#include "../loopback.h"

/* Bounds the duration when a step does not end. */
#define GUARD_TIMEOUT (20 * KC_SECOND)
#define POLL_INTERVAL (2 * KC_MS)
/* Bytes that the buffers of two sockets hold at most. */
#define SOCKET_BUFFER_BYTES_MAX (16 * 1024 * 1024)

typedef struct Fixture {
    KcLoop *loop;
    KcCounters counters;
    KcGateway *gateway;
    KcGatewayFrontEnd *front_end;
    KcTime silence_timeout; /* of the front end */
    KcTime stall_timeout;
    char address[32];
    int caller;         /* its socket */
    GString *received;  /* not yet taken by a step */
    int received_error; /* of recv(), 0 at the end of the stream, or -1 */
    KcForwardAttempt *attempt; /* at the backend server; NULL: none */
    KcTime answered_at;
    int filling_count; /* answers of step_fill() */
} Fixture;

/* ---- the gateway and its backend server ----------------------------------- */

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    const KcHttpMessage *head =
        KcGatewayFrontEnd_RequestHead(attempt->forward->caller);

    (void)params;
    g_assert_cmpstr(head->target, ==, "/x/a");
    g_assert_cmpstr(KcHttpMessage_FindField(head, "Host"), ==, "h");
    ((Fixture *)context)->attempt = attempt;
    return context;
}

static void
cancel_attempt(void *context, void *handle)
{
    (void)handle;
    ((Fixture *)context)->attempt = NULL;
}

static const KcGatewayOps gateway_ops = {
    GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .record_notice = GatewayStubs_RecordNotice};

static void
add_server(Fixture *fixture)
{
    KcServerInfo info;

    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "w", KC_NAME_MAX);
    KcText_Copy(info.service, "s", KC_NAME_MAX);
    KcText_Copy(info.address, "127.0.0.1:1", KC_ADDRESS_MAX);
    info.concurrency_max = 8;
    KcGateway_OnServerRecord(fixture->gateway, &info, (KcRevision){0, 1},
                             KcLoop_Now());
    KcServerInfo_Clear(&info);
}

static void
stop_loop(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(timer->owner);
}

static void
run_loop(Fixture *fixture, KcTime duration)
{
    KcTimer timer;

    KcTimer_Init(&timer, stop_loop, fixture->loop);
    KcTimers_Set(fixture->loop->timers, &timer, KcLoop_Now() + duration);
    fixture->loop->stop_requested = false;
    KcLoop_Run(fixture->loop);
}

/* ---- steps ------------------------------------------------------------------ */

/* config VERSION [body=BYTES] [head=BYTES] [head_ms=MS] [idle_ms=MS]: a
 * configuration with these limits comes into force. */
static void
step_config(Fixture *fixture, char **words)
{
    KcRouting *routing = KcRouting_Create((uint64_t)atoi(words[1]));
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", "/x/");
    KcError error;
    long long number;

    KcText_Copy(rule->name, "x", KC_NAME_MAX);
    rule->kind = KC_REQUEST_KIND_SAFE;
    rule->request_timeout = 60 * KC_SECOND;
    rule->latency_objective = 60 * KC_SECOND;
    rule->attempts_max = 1;
    KcRouting_AddTarget(rule, "s", 1);
    KcRouting_AddService(routing, "s");
    routing->limits = (KcCallerLimits){.header_bytes_max = 2000,
                                       .body_bytes_max = 1000,
                                       .header_timeout = 10 * KC_SECOND,
                                       .idle_timeout = 10 * KC_SECOND};
    for (char **word = words + 2; *word != NULL; word++) {
        number = atoll(strchr(*word, '=') + 1);
        if (strncmp(*word, "body=", 5) == 0) {
            routing->limits.body_bytes_max = (size_t)number;
        }
        else if (strncmp(*word, "head=", 5) == 0) {
            routing->limits.header_bytes_max = (size_t)number;
        }
        else if (strncmp(*word, "head_ms=", 8) == 0) {
            routing->limits.header_timeout = number * KC_MS;
        }
        else if (strncmp(*word, "idle_ms=", 8) == 0) {
            routing->limits.idle_timeout = number * KC_MS;
        }
        else {
            g_error("no limit %s", *word);
        }
    }
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    KcGateway_SetRouting(fixture->gateway, routing);
}

/* timeouts SILENCE STALL: of the front end, in ms. */
static void
step_timeouts(Fixture *fixture, char **words)
{
    fixture->silence_timeout = atoi(words[1]) * KC_MS;
    fixture->stall_timeout = atoi(words[2]) * KC_MS;
}

static void
create_front_end(Fixture *fixture)
{
    KcGatewayFrontEndOptions options = {
        .loop = fixture->loop,
        .address = fixture->address,
        .gateway = fixture->gateway,
        .dialect = KcPlatform_Current.dialect,
        .counters = &fixture->counters,
        .connections_max = 1,
        .silence_timeout = fixture->silence_timeout,
        .stall_timeout = fixture->stall_timeout};

    Loopback_AssignAddress(fixture->address, sizeof(fixture->address));
    fixture->front_end = KcGatewayFrontEnd_Create(&options);
    g_assert_nonnull(fixture->front_end);
}

/* connect [BYTES]: the caller connects, with a receive buffer of BYTES. */
static void
step_connect(Fixture *fixture, char **words)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);
    int receive_bytes = words[1] != NULL ? atoi(words[1]) : 0;

    if (fixture->front_end == NULL) {
        create_front_end(fixture);
    }
    g_assert_cmpint(evutil_parse_sockaddr_port(
                        fixture->address, (struct sockaddr *)&remote, &size),
                    ==, 0);
    if (fixture->caller >= 0) {
        close(fixture->caller);
    }
    fixture->caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(fixture->caller, >=, 0);
    if (receive_bytes > 0) {
        setsockopt(fixture->caller, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    }
    g_assert_cmpint(
        connect(fixture->caller, (struct sockaddr *)&remote, (socklen_t)size),
        ==, 0);
    fcntl(fixture->caller, F_SETFL, O_NONBLOCK);
    g_string_truncate(fixture->received, 0);
    fixture->received_error = -1;
}

/* Sends all bytes. Returns 0 or the error. */
static int
send_all(Fixture *fixture, const char *bytes, size_t size)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;

    while (size > 0) {
        ssize_t sent = send(fixture->caller, bytes, size, MSG_NOSIGNAL);

        if (sent < 0 && errno != EAGAIN) {
            return errno;
        }
        if (sent > 0) {
            bytes += sent;
            size -= (size_t)sent;
        }
        else {
            run_loop(fixture, POLL_INTERVAL);
            g_assert_cmpint(KcLoop_Now(), <, guard_at);
        }
    }
    return 0;
}

/* Requests, or parts of them, that the step "send" knows by name. */
static const struct {
    const char *name;
    const char *text;
} texts[] = {
    {"get", "GET /x/a HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"get-and-close",
     "GET /x/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
    {"half-a-head", "GET /x/a HTTP/1.1\r\nHos"},
    {"rest-of-head", "t: h\r\n\r\n"},
    {"half-a-post", "POST /x/a HTTP/1.1\r\nHost: h\r\nContent-Len"},
    {"rest-of-post", "gth: 900\r\n\r\n"},
    {"no-request", "what is this?\r\n\r\n"},
    {"no-host", "POST /x/a HTTP/1.1\r\nContent-Length: 9\r\n\r\n"},
    {"chunked", "POST /x/a HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"},
    {"bad-chunk", "POST /x/a HTTP/1.1\r\nHost: h\r\n"
                  "Transfer-Encoding: chunked\r\n\r\nno size\r\n"},
    {"no-host-bad-chunk",
     "POST /x/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n"},
};

/* send TEXT; or send post BYTES, the head of a request with such a body; or
 * send head BYTES, a request whose head has about so many bytes. */
static void
step_send(Fixture *fixture, char **words)
{
    char head[8192];
    const char *text = NULL;

    if (strcmp(words[1], "post") == 0) {
        snprintf(head, sizeof(head),
                 "POST /x/a HTTP/1.1\r\nHost: h\r\nContent-Length: %s\r\n\r\n",
                 words[2]);
        text = head;
    }
    if (strcmp(words[1], "head") == 0) {
        snprintf(head, sizeof(head),
                 "GET /x/a HTTP/1.1\r\nHost: h\r\nFiller: %0*d\r\n\r\n",
                 atoi(words[2]), 0);
        text = head;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        if (strcmp(words[1], texts[i].name) == 0) {
            text = texts[i].text;
        }
    }
    g_assert_nonnull(text);
    g_assert_cmpint(send_all(fixture, text, strlen(text)), ==, 0);
}

/* filler BYTES: the caller sends so many bytes. */
static void
step_filler(Fixture *fixture, char **words)
{
    size_t size = (size_t)atoll(words[1]);
    char *bytes = g_malloc(size);

    memset(bytes, 'x', size);
    g_assert_cmpint(send_all(fixture, bytes, size), ==, 0);
    g_free(bytes);
}

/* wait MS */
static void
step_wait(Fixture *fixture, char **words)
{
    run_loop(fixture, atoi(words[1]) * KC_MS);
}

/* answer BYTES: the server answers the request with such a body. */
static void
step_answer(Fixture *fixture, char **words)
{
    static const KcHttpMessage head = {.status = 200};
    size_t size = (size_t)atoll(words[1]);
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;
    char *body = g_malloc(size);
    KcForwardAttempt *attempt;
    KcReply reply = {.status = 200, .head = &head, .body = {body, size}};

    while (fixture->attempt == NULL) {
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, guard_at);
    }
    memset(body, 'b', size);
    attempt = fixture->attempt;
    fixture->attempt = NULL;
    fixture->answered_at = KcLoop_Now();
    KcForwardAttempt_OnReply(attempt, &reply, fixture->answered_at);
    g_free(body);
}

/* Receives what has arrived. */
static void
receive(Fixture *fixture)
{
    char bytes[16384];
    ssize_t size;

    while (fixture->received_error < 0) {
        size = recv(fixture->caller, bytes, sizeof(bytes), 0);
        if (size > 0) {
            g_string_append_len(fixture->received, bytes, size);
        }
        else if (size == 0 || errno != EAGAIN) {
            fixture->received_error = size == 0 ? 0 : errno;
        }
        else {
            return;
        }
    }
}

/* Returns the bytes of the first answer, or 0 while it is not complete. */
static size_t
complete_answer_bytes(const Fixture *fixture)
{
    const char *head_end = strstr(fixture->received->str, "\r\n\r\n");
    const char *length = strstr(fixture->received->str, "Content-Length: ");
    size_t size;

    if (head_end == NULL) {
        return 0;
    }
    g_assert_nonnull(length);
    size = (size_t)(head_end + 4 - fixture->received->str) +
           (size_t)atoll(length + strlen("Content-Length: "));
    return fixture->received->len >= size ? size : 0;
}

/* read STATUS: the caller reads one whole answer. */
static void
step_read(Fixture *fixture, char **words)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;
    size_t size;

    for (;;) {
        receive(fixture);
        size = complete_answer_bytes(fixture);
        if (size > 0) {
            break;
        }
        if (fixture->received_error >= 0) {
            g_error("%zu bytes of an answer, then %s", fixture->received->len,
                    fixture->received_error == 0
                        ? "the end"
                        : strerror(fixture->received_error));
        }
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, guard_at);
    }
    g_assert_cmpint(atoi(fixture->received->str + strlen("HTTP/1.1 ")), ==,
                    atoi(words[1]));
    g_string_erase(fixture->received, 0, (gssize)size);
}

/* end MS: within this time the caller reads the end of the stream. */
static void
step_end(Fixture *fixture, char **words)
{
    KcTime end_at = KcLoop_Now() + atoi(words[1]) * KC_MS;

    while (fixture->received_error < 0) {
        receive(fixture);
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, end_at);
    }
    g_assert_cmpint(fixture->received_error, ==, 0);
    g_assert_cmpuint(fixture->received->len, ==, 0);
}

/* open MS: for this time the stream does not end, and nothing arrives. */
static void
step_open(Fixture *fixture, char **words)
{
    run_loop(fixture, atoi(words[1]) * KC_MS);
    receive(fixture);
    g_assert_cmpint(fixture->received_error, ==, -1);
    g_assert_cmpuint(fixture->received->len, ==, 0);
}

/* flood: the caller sends until it is cut off. */
static void
step_flood(Fixture *fixture, char **words)
{
    char bytes[16384] = {0};
    size_t sent = 0;

    (void)words;
    while (sent < KC_LINGERING_BYTES_MAX + 2 * SOCKET_BUFFER_BYTES_MAX &&
           send_all(fixture, bytes, sizeof(bytes)) == 0) {
        sent += sizeof(bytes);
    }
    g_assert_cmpuint(sent, >=, KC_LINGERING_BYTES_MAX / 2);
    g_assert_cmpuint(sent, <,
                     KC_LINGERING_BYTES_MAX + SOCKET_BUFFER_BYTES_MAX);
}

/* trickle FROM TO: the caller sends single bytes until it is cut off, after
 * FROM to TO ms. */
static void
step_trickle(Fixture *fixture, char **words)
{
    KcTime begun_at = KcLoop_Now();

    while (send_all(fixture, "x", 1) == 0) {
        run_loop(fixture, 10 * KC_MS);
        g_assert_cmpint(KcLoop_Now() - begun_at, <, GUARD_TIMEOUT);
    }
    g_assert_cmpint(KcLoop_Now() - begun_at, >=, atoi(words[1]) * KC_MS);
    g_assert_cmpint(KcLoop_Now() - begun_at, <=, atoi(words[2]) * KC_MS);
}

/* cut: from now on nothing reaches the caller, nor its kernel. */
static void
step_cut(Fixture *fixture, char **words)
{
    struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {1, &drop_all};

    (void)words;
    g_assert_cmpint(setsockopt(fixture->caller, SOL_SOCKET, SO_ATTACH_FILTER,
                               &program, sizeof(program)),
                    ==, 0);
}

/* sip COUNT BYTES MS: the caller reads so many bytes every MS. */
static void
step_sip(Fixture *fixture, char **words)
{
    size_t size = (size_t)atoi(words[2]);
    char *bytes = g_malloc(size);

    for (int i = atoi(words[1]); i > 0; i--) {
        ssize_t received;

        run_loop(fixture, atoi(words[3]) * KC_MS);
        received = recv(fixture->caller, bytes, size, 0);
        g_assert_cmpint(received, >, 0);
        g_string_append_len(fixture->received, bytes, received);
    }
    g_free(bytes);
}

/* dropped FROM TO: the answer that the caller does not read is given up FROM
 * to TO ms after it was written. */
static void
step_dropped(Fixture *fixture, char **words)
{
    KcTime begun_at = fixture->answered_at;

    do {
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now() - begun_at, <, GUARD_TIMEOUT);
    } while (!KcGatewayFrontEnd_IsQuiet(fixture->front_end));
    g_assert_cmpint(KcLoop_Now() - begun_at, >=, atoi(words[1]) * KC_MS);
    g_assert_cmpint(KcLoop_Now() - begun_at, <=, atoi(words[2]) * KC_MS);
}

/* trailer BYTES: the caller ends a chunked body with a trailer of this size.
 */
static void
step_trailer(Fixture *fixture, char **words)
{
    char trailer[8192];

    snprintf(trailer, sizeof(trailer), "1\r\nx\r\n0\r\nChecksum: %0*d\r\n\r\n",
             atoi(words[1]), 0);
    g_assert_cmpint(send_all(fixture, trailer, strlen(trailer)), ==, 0);
}

/* pipeline COUNT BYTES MAX: the caller sends COUNT requests and reads nothing;
 * the server answers each with BYTES.  At most MAX bytes of answers are asked
 * of the server. */
static void
step_pipeline(Fixture *fixture, char **words)
{
    static const char request[] = "GET /x/a HTTP/1.1\r\nHost: h\r\n\r\n";
    char *answer[] = {(char *)"answer", words[2], NULL};
    long long taken = 0;

    for (int i = atoi(words[1]); i > 0; i--) {
        g_assert_cmpint(send_all(fixture, request, strlen(request)), ==, 0);
    }
    for (int waited = 0; waited < 100 && taken < 1000000000; waited++) {
        run_loop(fixture, POLL_INTERVAL);
        if (fixture->attempt != NULL) {
            step_answer(fixture, answer);
            taken += atoll(words[2]);
            waited = 0;
        }
    }
    g_test_message("%lld bytes of answers were taken", taken);
    g_assert_cmpint(taken, <=, atoll(words[3]));
}

/* fill: answers are made until the kernel does not take all of the last. */
static void
step_fill(Fixture *fixture, char **words)
{
    char *send[] = {(char *)"send", (char *)"get", NULL};
    char *answer[] = {(char *)"answer", (char *)"200000", NULL};

    (void)words;
    do {
        step_send(fixture, send);
        step_answer(fixture, answer);
        run_loop(fixture, 20 * KC_MS);
        fixture->filling_count++;
    } while (KcGatewayFrontEnd_IsQuiet(fixture->front_end));
}

/* read-filled: the caller receives the answers of step_fill(). */
static void
step_read_filled(Fixture *fixture, char **words)
{
    char *read[] = {(char *)"read", (char *)"200", NULL};

    (void)words;
    for (; fixture->filling_count > 0; fixture->filling_count--) {
        step_read(fixture, read);
    }
}

/* busy: a planned stop may not end now. */
static void
step_busy(Fixture *fixture, char **words)
{
    (void)words;
    g_assert_false(KcGatewayFrontEnd_IsQuiet(fixture->front_end));
}

/* leave close|reset: the caller closes, or resets the connection. */
static void
step_leave(Fixture *fixture, char **words)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};

    if (strcmp(words[1], "reset") == 0) {
        setsockopt(fixture->caller, SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
    }
    close(fixture->caller);
    fixture->caller = -1;
}

/* half-close: the caller ends its stream and goes on reading. */
static void
step_half_close(Fixture *fixture, char **words)
{
    (void)words;
    g_assert_cmpint(shutdown(fixture->caller, SHUT_WR), ==, 0);
}

/* gone: the server is told that the caller has left. */
static void
step_gone(Fixture *fixture, char **words)
{
    KcTime guard_at = KcLoop_Now() + GUARD_TIMEOUT;

    (void)words;
    g_assert_nonnull(fixture->attempt);
    while (fixture->attempt != NULL) {
        run_loop(fixture, POLL_INTERVAL);
        g_assert_cmpint(KcLoop_Now(), <, guard_at);
    }
}

/* quiet: a planned stop may end now. */
static void
step_quiet(Fixture *fixture, char **words)
{
    (void)words;
    g_assert_true(KcGatewayFrontEnd_IsQuiet(fixture->front_end));
}

static const StepHandler handlers[] = {
    {"config", step_config},
    {"connect", step_connect},
    {"send", step_send},
    {"filler", step_filler},
    {"wait", step_wait},
    {"read", step_read},
    {"answer", step_answer},
    {"end", step_end},
    {"open", step_open},
    {"trickle", step_trickle},
    {"flood", step_flood},
    {"quiet", step_quiet},
    {"timeouts", step_timeouts},
    {"cut", step_cut},
    {"sip", step_sip},
    {"dropped", step_dropped},
    {"trailer", step_trailer},
    {"pipeline", step_pipeline},
    {"leave", step_leave},
    {"gone", step_gone},
    {"half-close", step_half_close},
    {"busy", step_busy},
    {"fill", step_fill},
    {"read-filled", step_read_filled},
};

/* ---- cases -------------------------------------------------------------------- */

static const struct {
    const char *name;
    const char *steps;
} cases[] = {
    {"a body above the limit is sent on after its refusal",
     "connect;send post 100000;wait 50;filler 50000;wait 50;filler 50000;"
     "wait 50;read 413;end 1000"},
    {"a chunked body that is invalid is sent on after its refusal",
     "connect;send bad-chunk;wait 50;filler 50000;wait 50;filler 50000;"
     "wait 50;read 400;end 1000"},
    {"a refused head with an invalid chunk",
     "connect;send no-host-bad-chunk;wait 50;filler 50;wait 50;filler 50;"
     "wait 50;read 400;end 1000"},
    {"a head that is invalid is sent on after its refusal",
     "connect;send no-request;wait 50;filler 50000;wait 50;filler 50000;"
     "wait 50;read 400;end 1000"},
    {"a refused head with a part of its body",
     "connect;send no-host;filler 5;wait 50;filler 4;wait 50;send get;wait 50;"
     "read 400;end 1000"},
    {"a head that came too late is sent on after its refusal",
     "config 1 head_ms=200;connect;send half-a-head;wait 300;filler 5000;"
     "wait 50;filler 5000;wait 50;read 503;end 1000"},
    {"a body that came too late is sent on after its refusal",
     "config 1 idle_ms=1300;connect;send post 100;wait 1400;filler 50;wait 50;"
     "filler 50;wait 50;read 503;end 1000"},
    {"a further request behind the last answer",
     "connect;send get-and-close;send get;answer 100;wait 50;send get;wait 50;"
     "send get;wait 50;read 200;end 1000"},
    {"a caller that sends before it reads the last answer",
     "connect 4096;send get-and-close;answer 4000000;filler 4000000;"
     "read 200;end 1000"},
    {"a refused caller that never stops sending",
     "connect;send no-request;wait 20;flood"},
    {"a refused caller that never closes",
     "connect;send no-request;wait 20;read 400;end 500;trickle 1000 3000"},
    {"the limit of a body is lowered while it is received",
     "connect;send post 900;wait 50;filler 400;wait 50;config 1 body=500;"
     "filler 500;answer 10;read 200"},
    {"the limit of a body is lowered before its length is received",
     "connect;send half-a-post;wait 50;config 1 body=500;send rest-of-post;"
     "filler 900;answer 10;read 200"},
    {"the idle timeout is lowered while a body is received",
     "connect;send post 900;wait 50;config 1 idle_ms=200;filler 400;wait 400;"
     "filler 500;answer 10;read 200"},
    {"the time for a head is lowered while it is received",
     "connect;send half-a-head;wait 50;config 1 head_ms=100;wait 200;"
     "send rest-of-head;answer 10;read 200"},
    {"the limit of a body is lowered for the next request",
     "connect;send post 900;filler 900;answer 10;read 200;config 1 body=500;"
     "send post 900;read 413;end 1000"},
    {"the limit of a head is raised for the next request",
     "connect;send get;answer 10;read 200;config 1 head=5000;send head 4000;"
     "answer 10;read 200"},
    {"the limit of a head is lowered for the next request",
     "connect;send get;answer 10;read 200;config 1 head=500;send head 1000;"
     "read 431;end 1000"},
    {"the last answer is taken for longer than a short idle timeout",
     "connect 4096;send get;config 1 idle_ms=300;answer 16000000;wait 1000;"
     "read 200;end 1000"},
    {"the last answer is taken for longer than the idle timeout",
     "config 1 idle_ms=1300;connect 4096;send get-and-close;answer 16000000;"
     "wait 1800;read 200;end 1000"},
    {"a connection whose answer is being taken is not idle",
     "config 1 idle_ms=1300;connect 4096;send get;answer 16000000;wait 1800;"
     "read 200;wait 1000;send get;answer 10;read 200"},
    {"the idle time begins when the answer was taken",
     "config 1 idle_ms=1300;connect 4096;send get;answer 16000000;wait 900;"
     "read 200;open 800;send get;answer 10;read 200"},
    {"an answer that is taken slowly",
     "timeouts 3000 1000;connect 4096;send get;answer 16000000;sip 30 50000 "
     "100;read 200"},
    {"an answer that only the kernel holds is taken slowly",
     "timeouts 3000 1000;connect 4096;send get;answer 1500000;"
     "sip 40 4000 50;read 200;send get;answer 10;read 200"},
    {"the last answer is taken slowly",
     "timeouts 3000 1000;connect 4096;send get-and-close;answer 16000000;sip "
     "30 50000 100;"
     "read 200;end 1000"},
    {"an answer of which nothing is taken",
     "timeouts 3000 1000;connect 4096;send get;answer 16000000;dropped 1000 "
     "2000"},
    {"a last answer of which nothing is taken",
     "timeouts 3000 1000;connect 4096;send get-and-close;answer "
     "16000000;dropped 1000 2000"},
    {"a caller that reads nothing for longer than a lost peer is silent",
     "timeouts 1000 10000;connect 4096;send get;answer 16000000;wait 3500;"
     "read 200;send get;answer 10;read 200"},
    {"a caller that reads nothing of a last answer for as long",
     "timeouts 1000 10000;connect 4096;send get-and-close;answer 16000000;"
     "wait 3500;read 200;end 1000"},
    {"a caller that is cut off while it takes an answer",
     "timeouts 1000 10000;connect;send get;wait 50;cut;answer 16000000;"
     "dropped 1000 3000"},
    {"a caller that is cut off and reads nothing",
     "timeouts 1000 10000;connect 4096;send get;answer 16000000;wait 500;cut;"
     "dropped 700 4500"},
    {"a planned stop waits for a refused caller until it closes",
     "connect;send no-request;wait 50;busy;read 400;end 500;busy;leave "
     "close;wait 50;quiet"},
    {"a planned stop does not wait for a refused caller that stays",
     "connect;send no-request;wait 50;busy;read 400;end 500;wait 2000;quiet"},
    {"a short trailer behind a chunked body",
     "connect;send chunked;wait 20;trailer 20;answer 10;read 200"},
    {"a long trailer behind a chunked body",
     "connect;send chunked;wait 20;trailer 1500;answer 10;read 200"},
    {"a caller that ends its stream loses what is unsent of an answer",
     "connect 4096;send get;answer 16000000;wait 50;half-close;wait 50;"
     "read 200;end 1000"},
    {"a caller that ends its stream loses what is unsent of the last answer",
     "connect 4096;send get-and-close;answer 16000000;wait 50;half-close;"
     "wait 50;read 200;end 1000"},
    {"a caller that ended its stream and reads nothing holds its answer",
     "timeouts 3000 1000;connect 4096;send get;answer 16000000;wait 50;"
     "half-close;dropped 1000 2000"},
    {"a caller that closed holds its answer",
     "connect 4096;send get;answer 16000000;wait 50;leave close;dropped 0 "
     "2000"},
    {"a caller that ends its stream during its request is not noticed",
     "connect;send get;wait 50;half-close;gone;end 1000"},
    {"a caller that ends its stream inside a request loses an answer before "
     "it",
     "connect 4096;fill;send half-a-head;wait 30;half-close;wait 30;"
     "read-filled;end 1000"},
    {"a caller that ends its stream during a request loses an answer before "
     "it",
     "connect 4096;fill;send get;wait 30;half-close;gone;read-filled;"
     "end 1000"},
    {"a caller that leaves is not noticed",
     "connect;send get;wait 50;leave close;gone"},
    {"a caller that leaves many bytes behind is not noticed",
     "connect;send get;wait 50;filler 100000;wait 50;leave close;gone"},
    {"a caller that resets after many bytes is not noticed",
     "connect;send get;wait 50;filler 100000;wait 50;leave reset;gone"},
    {"a caller that sends many bytes ahead is taken for one that has left",
     "connect;send get;wait 50;filler 100000;wait 500;answer 10;read 200;"
     "read 400;end 1000"},
    {"a caller that sends requests and reads no answer",
     "connect 4096;pipeline 200 1000000 32000000"},
};

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.loop = KcLoop_Create(),
                       .silence_timeout = 3 * KC_SECOND,
                       .stall_timeout = 3 * KC_SECOND,
                       .caller = -1,
                       .received = g_string_new(NULL)};
    KcGatewayOptions options;

    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = &fixture;
    options.timers = fixture.loop->timers;
    options.counters = &fixture.counters;
    options.datacentre = "here";
    options.region_of = GatewayStubs_FindRegion;
    options.seed = 1;
    fixture.gateway = KcGateway_Create(&options);
    add_server(&fixture);
    Steps_Run(&fixture, handlers, 1, "config 0");
    Steps_Run(&fixture, handlers, G_N_ELEMENTS(handlers),
              cases[GPOINTER_TO_SIZE(data)].steps);
    close(fixture.caller);
    run_loop(&fixture, 50 * KC_MS);
    g_assert_cmpuint(KcGateway_CountInFlight(fixture.gateway), ==, 0);
    KcGatewayFrontEnd_Free(fixture.front_end);
    KcGateway_Free(fixture.gateway);
    KcLoop_Free(fixture.loop);
    g_string_free(fixture.received, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/caller closes", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    return g_test_run();
}
