/*
 * Gateways and keepers as processes between raw sockets and the platform's
 * stand-ins: what callers get for each thing they may send, and for each way
 * in which workers and the store fail.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "kcc.h"
#include "../steps.h"
#include "yard.h"

#define ROOM 65536
#define ANSWER_MS 3000

static Yard *yard;
static char answer[ROOM];

/* Sends text to a gateway; answer has what came back. */
static void
send_text(int gateway, const char *text, size_t size)
{
    Yard_Exchange(Yard_Address(yard, YARD_GATEWAY, gateway), text, size,
                  answer, sizeof(answer), ANSWER_MS);
}

static int
count(const char *text, const char *part)
{
    int found = 0;

    for (const char *at = strstr(text, part); at != NULL;
         at = strstr(at + 1, part)) {
        found++;
    }
    return found;
}

/* ---- what callers may send ----------------------------------------------- */

#define GET "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
#define POST "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
#define CLOSE "Connection: close\r\n\r\n"

/* Sent as it is, but for %s: an id of the case's own. */
static const struct {
    const char *name;
    const char *request;
    const char *begins; /* the answer; "" for none */
    int answers;        /* heads of answers */
    const char *has;    /* in the answer, NULL: anything */
} raw_cases[] = {
    {"get", GET CLOSE, "HTTP/1.1 200", 1, "Server-Seal: plain-"},
    {"post with a length", POST "Content-Length: 3\r\n" CLOSE "abc",
     "HTTP/1.1 200", 1, NULL},
    {"post in chunks",
     POST "Transfer-Encoding: chunked\r\n" CLOSE "3\r\nabc\r\n0\r\n\r\n",
     "HTTP/1.1 200", 1, NULL},
    {"chunk extensions and trailers",
     POST "Transfer-Encoding: chunked\r\n" CLOSE
          "3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n",
     "HTTP/1.1 200", 1, NULL},
    {"two pipelined requests", GET "\r\n" GET CLOSE, "HTTP/1.1 200", 2, NULL},
    {"a request within a body",
     POST "Content-Length: 33\r\n" CLOSE
          "GET /safe/y HTTP/1.1\r\nHost: h\r\n\r\n",
     "HTTP/1.1 200", 1, NULL},
    {"length and chunks",
     POST "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" CLOSE
          "3\r\nabc\r\n0\r\n\r\n",
     "HTTP/1.1 400", 1, NULL},
    {"two lengths",
     POST "Content-Length: 3\r\nContent-Length: 4\r\n" CLOSE "abcd",
     "HTTP/1.1 400", 1, NULL},
    {"the same length twice",
     POST "Content-Length: 3\r\nContent-Length: 3\r\n" CLOSE "abc",
     "HTTP/1.1 400", 1, NULL},
    {"a negative length", POST "Content-Length: -3\r\n" CLOSE "abc",
     "HTTP/1.1 400", 1, NULL},
    {"a length with a sign", POST "Content-Length: +3\r\n" CLOSE "abc",
     "HTTP/1.1 400", 1, NULL},
    {"an odd chunk size",
     POST "Transfer-Encoding: chunked\r\n" CLOSE "g\r\nabc\r\n0\r\n\r\n",
     "HTTP/1.1 400", 1, NULL},
    {"another encoding", POST "Transfer-Encoding: gzip, chunked\r\n" CLOSE,
     "HTTP/1.1 400", 1, NULL},
    {"an encoding that ends in chunked",
     POST "Transfer-Encoding: xchunked\r\n" CLOSE, "HTTP/1.1 400", 1, NULL},
    {"no host", "GET /safe/x HTTP/1.1\r\nA: %s\r\n" CLOSE, "HTTP/1.1 400", 1,
     NULL},
    {"two hosts", GET "Host: i\r\n" CLOSE, "HTTP/1.1 400", 1, NULL},
    {"a space before the colon", GET "Content-Length : 3\r\n" CLOSE,
     "HTTP/1.1 400", 1, NULL},
    {"a control character in a value", GET "A: b\001c\r\n" CLOSE,
     "HTTP/1.1 400", 1, NULL},
    {"an unknown method",
     "FROB /safe/x HTTP/1.1\r\nHost: h\r\nA: %s\r\n" CLOSE, "HTTP/1.1 400", 1,
     NULL},
    {"no HTTP at all", "hello %s\r\n\r\n", "HTTP/1.1 400", 1, NULL},
    {"an older version", "GET /safe/x HTTP/1.0\r\nHost: h\r\nA: %s\r\n\r\n",
     "HTTP/1.1 400", 1, NULL},
    {"no such route", "GET /none/x HTTP/1.1\r\nHost: h\r\nA: %s\r\n" CLOSE,
     "HTTP/1.1 404", 1, NULL},
    {"no such host", "GET /safe/x HTTP/1.1\r\nHost: g\r\nA: %s\r\n" CLOSE,
     "HTTP/1.1 404", 1, NULL},
    {"a body above the limit", POST "Content-Length: 70000\r\n" CLOSE,
     "HTTP/1.1 413", 1, NULL},
    {"a bad token count", GET "Token-Count: 5;6\r\n" CLOSE, "HTTP/1.1 400", 1,
     "Token-Count"},
    {"a bad deadline", GET "Deadline-Ms: soon\r\n" CLOSE, "HTTP/1.1 400", 1,
     "Deadline-Ms"},
    {"a slow head", "GET /safe/x HTTP/1.1\r\nHost: %s", "HTTP/1.1 503", 1,
     NULL},
    {"headers of the system's own go no further",
     GET "Expect-Instance: nobody\r\nHold: 5\r\nKv-From: x\r\n" CLOSE,
     "HTTP/1.1 200", 1, NULL},
    {"a host with a port",
     "GET /safe/x HTTP/1.1\r\nHost: H:80\r\nAttempt-Id: %s\r\n" CLOSE,
     "HTTP/1.1 200", 1, NULL},
};

static void
test_raw(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char id[32];
    char request[4096];
    int size;

    snprintf(id, sizeof(id), "raw%zu", index);
    size =
        snprintf(request, sizeof(request), raw_cases[index].request, id, id);
    send_text(0, request, (size_t)size);
    g_test_message("%s", answer);
    g_assert_true(strncmp(answer, raw_cases[index].begins,
                          strlen(raw_cases[index].begins)) == 0);
    g_assert_cmpint(count(answer, "HTTP/1.1 "), ==, raw_cases[index].answers);
    if (raw_cases[index].has != NULL) {
        g_assert_nonnull(strstr(answer, raw_cases[index].has));
    }
}

static void
test_large_head(void)
{
    GString *request = g_string_new("GET /safe/x HTTP/1.1\r\nHost: h\r\n");

    for (int i = 0; i < 40; i++) {
        g_string_append_printf(request, "X-%d: %0200d\r\n", i, i);
    }
    g_string_append(request, "\r\n");
    send_text(0, request->str, request->len);
    g_assert_true(strncmp(answer, "HTTP/1.1 431", 12) == 0);
    g_string_free(request, TRUE);
}

static void
test_nul_in_head(void)
{
    static const char request[] =
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nA: b\0c\r\n" CLOSE;

    send_text(0, request, sizeof(request) - 1);
    g_assert_true(strncmp(answer, "HTTP/1.1 400", 12) == 0);
}

/* ---- workers that fail --------------------------------------------------- */

#define STREAM                                                                \
    "POST /stream/x HTTP/1.1\r\nHost: h\r\nModel: m/a1\r\nAttempt-Id: %s\r\n" \
    "Token-Count: 10,10\r\nContent-Length: 0\r\n" CLOSE
#define RESUME                                                                \
    "POST /resume/x HTTP/1.1\r\nHost: h\r\nModel: m/a1\r\nAttempt-Id: %s\r\n" \
    "Token-Count: 10,10\r\nContent-Length: 0\r\n" CLOSE

/* What becomes of one request while every worker of a kind has this fault. */
static const struct {
    const char *name;
    YardRole role;
    const char *fault;
    const char *heal;
    const char *request;
    const char *begins;
    const char *ends; /* of the answer */
    int most_runs;    /* of the request, over all workers */
    int least_runs;
} fault_cases[] = {
    {"a stream", YARD_LLM, "work_ms=2", "work_ms=5", STREAM, "HTTP/1.1 200",
     "0\r\n\r\n", 1, 1},
    {"refused and then not run", YARD_PLAIN, "refuse=100", "refuse=0",
     POST "Content-Length: 0\r\n" CLOSE, "HTTP/1.1 503", NULL, 0, 0},
    {"an unsafe request is reset", YARD_PLAIN, "reset=100", "reset=0",
     POST "Content-Length: 0\r\n" CLOSE, "HTTP/1.1 502", NULL, 1, 1},
    {"a safe request is reset", YARD_PLAIN, "reset=100", "reset=0", GET CLOSE,
     "HTTP/1.1 502", NULL, 2, 1}, /* a kept connection may have gone */
    {"an unsafe answer is cut", YARD_PLAIN, "truncate=100", "truncate=0",
     POST "Content-Length: 0\r\n" CLOSE, "HTTP/1.1 502", NULL, 1, 1},
    {"an unsafe answer is garbage", YARD_PLAIN, "garbage=100", "garbage=0",
     POST "Content-Length: 0\r\n" CLOSE, "HTTP/1.1 502", NULL, 1, 1},
    {"a failure is passed on", YARD_PLAIN, "error=100", "error=0",
     POST "Content-Length: 0\r\n" CLOSE, "HTTP/1.1 500", NULL, 1, 1},
    {"an answer comes twice", YARD_PLAIN, "extra=100", "extra=0",
     POST "Content-Length: 0\r\n" CLOSE, "HTTP/1.1 200", NULL, 1, 1},
    {"an unsafe request is never answered", YARD_PLAIN, "mute=100", "mute=0",
     POST "Deadline-Ms: 500\r\nContent-Length: 0\r\n" CLOSE, "HTTP/1.1 504",
     NULL, 1, 1},
    {"a stream is cut", YARD_LLM, "truncate=30", "truncate=0", STREAM,
     "HTTP/1.1 200", "\n\n\r\n", 1, 1},
    {"orders are carried out unanswered", YARD_LLM, "late_orders=60",
     "late_orders=0",
     "POST /stream/x HTTP/1.1\r\nHost: h\r\nModel: m/a7\r\nAttempt-Id: %s\r\n"
     "Content-Length: 0\r\n" CLOSE,
     "HTTP/1.1 200", "0\r\n\r\n", 1, 1},
};

static void
set_all(YardRole role, const char *knob)
{
    for (int i = 0; i < 2; i++) {
        Yard_Set(yard, role, i, knob);
    }
}

/* How often the workers of a role ran a request. */
static int
runs_of(YardRole role, const char *id)
{
    int total = 0;

    for (int i = 0; i < 2; i++) {
        json_t *state = Yard_State(yard, role, i);

        total += (int)json_integer_value(
            json_object_get(json_object_get(state, "ran"), id));
        json_decref(state);
    }
    return total;
}

static void
test_fault(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    YardRole role = fault_cases[index].role;
    char id[32];
    char request[1024];
    int size;

    snprintf(id, sizeof(id), "fault%zu", index);
    size = snprintf(request, sizeof(request), fault_cases[index].request, id);
    set_all(role, fault_cases[index].fault);
    send_text(0, request, (size_t)size);
    set_all(role, fault_cases[index].heal);
    g_test_message("%s", answer);
    g_assert_true(strncmp(answer, fault_cases[index].begins,
                          strlen(fault_cases[index].begins)) == 0);
    if (fault_cases[index].ends != NULL) {
        g_assert_true(g_str_has_suffix(answer, fault_cases[index].ends));
    }
    g_assert_cmpint(runs_of(role, id), <=, fault_cases[index].most_runs);
    g_assert_cmpint(runs_of(role, id), >=, fault_cases[index].least_runs);
}

/* A worker that breaks streams off: they go on at the other, whole. */
static void
test_resume(void)
{
    char request[1024];
    int size = snprintf(request, sizeof(request), RESUME, "resume1");

    /* Both hold the adapter. */
    Yard_Set(yard, YARD_LLM, 0, "truncate=25");
    Yard_Set(yard, YARD_LLM, 1, "truncate=0");
    for (int i = 0; i < 5; i++) {
        send_text(0, request, (size_t)size);
        g_assert_true(strncmp(answer, "HTTP/1.1 200", 12) == 0 ||
                      strncmp(answer, "HTTP/1.1 502", 12) == 0);
        for (int event = 0; event < 9; event++) {
            char piece[32];

            snprintf(piece, sizeof(piece), "data: piece %d\n", event);
            g_assert_cmpint(count(answer, piece), <=, 1);
        }
        if (g_str_has_suffix(answer, "0\r\n\r\n")) {
            g_assert_cmpint(count(answer, "data: piece "), ==, 10);
        }
    }
    Yard_Set(yard, YARD_LLM, 0, "truncate=0");
}

/* ---- the store ----------------------------------------------------------- */

#define EXTRA "GET /extra/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: e\r\n" CLOSE

/* A configuration comes into force whatever ails the store meanwhile. */
static const struct {
    const char *name;
    const char *fault;
    const char *heal;
} store_cases[] = {
    {"healthy", "busy=0", "busy=0"},
    {"busy", "busy=70", "busy=0"},
    {"too many", "many=70", "many=0"},
    {"resets", "reset=70", "reset=0"},
    {"calls lost", "drop=40", "drop=0"},
    {"history lost", "forget=1", "forget=0"},
    {"small pages", "page=2", "page=50"},
};

/* Looks every 50 ms for 16 s, the bound for a configuration. */
static bool
await_extra(const char *begins)
{
    for (int i = 0; i < 320; i++) {
        send_text(0, EXTRA, strlen(EXTRA));
        if (strncmp(answer, begins, strlen(begins)) == 0) {
            return true;
        }
        g_usleep(50000);
    }
    return false;
}

static void
test_store(gconstpointer data)
{
    static int version = 10;
    size_t index = GPOINTER_TO_SIZE(data);

    Yard_Set(yard, YARD_STORE, 0, store_cases[index].fault);
    Yard_Configure(yard, version++, true);
    g_assert_true(await_extra("HTTP/1.1 200"));
    Yard_Configure(yard, version++, false);
    g_assert_true(await_extra("HTTP/1.1 404"));
    Yard_Set(yard, YARD_STORE, 0, store_cases[index].heal);
}

/* An announced version is served, and the older one no more. */
static void
test_version(void)
{
    static const char request[] =
        "POST /stream/x HTTP/1.1\r\nHost: h\r\nModel: m/a1\r\n"
        "Attempt-Id: v\r\nContent-Length: 0\r\n" CLOSE;
    bool switched = false;

    Yard_Announce(yard, "a1", 2);
    for (int i = 0; i < 100 && !switched; i++) {
        json_t *state;
        char *text;

        send_text(0, request, sizeof(request) - 1);
        g_assert_true(strncmp(answer, "HTTP/1.1 200", 12) == 0);
        state = Yard_State(yard, YARD_LLM, 0);
        text = json_dumps(state, 0);
        free(text);
        json_decref(state);
        for (int worker = 0; worker < 2; worker++) {
            char report[8192];
            static const char ask[] =
                "GET /report HTTP/1.1\r\nHost: w\r\n\r\n";

            Yard_Exchange(Yard_Address(yard, YARD_LLM, worker), ask,
                          sizeof(ask) - 1, report, sizeof(report), 1000);
            switched = switched || strstr(report, "a1@2") != NULL;
        }
        g_usleep(50000);
    }
    g_assert_true(switched);
}

/* ---- processes ----------------------------------------------------------- */

static void
serves(int gateway)
{
    static const char request[] = GET CLOSE;

    for (int i = 0; i < 100; i++) {
        send_text(gateway, request, sizeof(request) - 1);
        if (strncmp(answer, "HTTP/1.1 200", 12) == 0) {
            return;
        }
        g_usleep(50000);
    }
    g_error("not served: %s", answer);
}

static void
test_gateway_stops(void)
{
    serves(1);
    Yard_Signal(yard, YARD_GATEWAY, 1, SIGTERM);
    Yard_Signal(yard, YARD_GATEWAY, 1, SIGTERM);
    g_usleep(200000);
    serves(1); /* who still connects is served, for a while */
    g_assert_nonnull(strstr(answer, "Connection: close"));
    g_assert_cmpint(Yard_Wait(yard, YARD_GATEWAY, 1), ==, 0);
    Yard_Restart(yard, YARD_GATEWAY, 1);
    g_assert_true(Yard_AwaitReady(yard, 1));
    serves(1);
}

/* SIGHUP means that the settings may have changed: nothing ends by it. */
static void
test_hang_up(void)
{
    for (int i = 0; i < 2; i++) {
        Yard_Signal(yard, YARD_GATEWAY, i, SIGHUP);
        Yard_Signal(yard, YARD_KEEPER, i, SIGHUP);
    }
    g_usleep(200000);
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(kill(Yard_Pid(yard, YARD_KEEPER, i), 0), ==, 0);
        g_assert_cmpint(waitpid(Yard_Pid(yard, YARD_KEEPER, i), NULL, WNOHANG),
                        ==, 0);
        serves(i);
    }
}

static void
send_message(int fd, KcEncoder *encoder, const KcMsg *msg)
{
    KcBytes bytes;

    g_assert_cmpint(KcEncoder_Encode(encoder, msg, &bytes), ==, 0);
    g_assert_cmpint(send(fd, bytes.data, bytes.size, MSG_NOSIGNAL), ==,
                    (ssize_t)bytes.size);
}

/* An adapter of a gateway of ours is in use, as far as it says. */
static void
send_used(int fd, KcEncoder *encoder, int number)
{
    KcMsg want = {.type = KC_MSG_WANT, .u.want = {.model = "m"}};
    KcMsg used = {.type = KC_MSG_USED,
                  .u.used = {.model = "m", .uses = 1, .in_flight = 1}};

    snprintf(want.u.want.adapter, KC_NAME_MAX, "g%d", number);
    snprintf(used.u.used.adapter, KC_NAME_MAX, "g%d", number);
    send_message(fd, encoder, &want);
    g_usleep(100000);
    send_message(fd, encoder, &used);
}

/*
 * A gateway that uses every adapter that the worker takes is lost while
 * another is wanted: its adapters can be evicted then, and the keeper tells
 * the gateways that are left.
 */
static void
test_gateway_lost(void)
{
    KcEncoder *encoder = KcEncoder_Create();
    KcMsg hello = {.type = KC_MSG_HELLO,
                   .u.hello = {.name = "lost",
                               .incarnation = 1,
                               .protocol_version = KC_PROTOCOL_VERSION}};
    char address[64];
    int fd;

    snprintf(address, sizeof(address), "%s", Yard_Address(yard, YARD_LLM, 0));
    sprintf(strrchr(address, ':'), ":%d", YARD_KEEPER_PORT);
    fd = Yard_Connect(address);
    g_assert_cmpint(fd, >=, 0);
    send_message(fd, encoder, &hello);
    for (int i = 0; i < 16; i++) {
        send_used(fd, encoder, i);
    }
    g_usleep(600000);
    close(fd);
    g_usleep(300000);
    g_assert_cmpint(waitpid(Yard_Pid(yard, YARD_KEEPER, 0), NULL, WNOHANG), ==,
                    0);
    KcEncoder_Free(encoder);
}

/* The fencing number that the keeper took last, 0 for none. */
static long
last_fence(void)
{
    static const char words[] = "fencing number ";
    char *path =
        g_strdup_printf("%s/%d-0.log", Yard_Folder(yard), YARD_KEEPER);
    char *text = NULL;
    const char *found;
    long fence = 0;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    found = g_strrstr(text, words);
    if (found != NULL) {
        fence = strtol(found + strlen(words), NULL, 10);
    }
    g_free(text);
    g_free(path);
    return fence;
}

/* Streams go on without it; the next one takes a higher fencing number. */
static void
test_keeper_killed(void)
{
    long fence = last_fence();
    char request[1024];
    int size;

    g_assert_cmpint(fence, >, 0);

    Yard_Signal(yard, YARD_KEEPER, 0, SIGKILL);
    Yard_Wait(yard, YARD_KEEPER, 0);
    size = snprintf(request, sizeof(request), STREAM, "kk1");
    send_text(0, request, (size_t)size);
    g_assert_true(g_str_has_suffix(answer, "0\r\n\r\n"));
    Yard_Restart(yard, YARD_KEEPER, 0);
    for (int i = 0; i < 100 && last_fence() == fence; i++) {
        g_usleep(50000);
    }
    g_assert_cmpint(last_fence(), >, fence);
}

static void
test_worker_restarts(void)
{
    char request[1024];
    int size;
    bool whole = false;

    Yard_Signal(yard, YARD_LLM, 0, SIGKILL);
    Yard_Signal(yard, YARD_LLM, 1, SIGKILL);
    Yard_Wait(yard, YARD_LLM, 0);
    Yard_Wait(yard, YARD_LLM, 1);
    Yard_Restart(yard, YARD_LLM, 0);
    Yard_Restart(yard, YARD_LLM, 1);
    for (int i = 0; i < 100 && !whole; i++) {
        char id[32];

        snprintf(id, sizeof(id), "wr%d", i);
        size = snprintf(request, sizeof(request), STREAM, id);
        send_text(0, request, (size_t)size);
        whole = g_str_has_suffix(answer, "0\r\n\r\n");
        g_usleep(50000);
    }
    g_assert_true(whole);
}

/* At the end: no worker was ordered beyond its places. */
static void
test_no_overload(void)
{
    for (int i = 0; i < 2; i++) {
        json_t *state = Yard_State(yard, YARD_LLM, i);

        g_assert_cmpint(
            json_integer_value(json_object_get(state, "overloads")), ==, 0);
        json_decref(state);
    }
}

/* Waits until each gateway has found workers for both services. */
static void
warm_up(void)
{
    for (int gateway = 0; gateway < 2; gateway++) {
        bool whole = false;

        serves(gateway);
        for (int i = 0; i < 100 && !whole; i++) {
            char request[1024];
            char id[32];
            int size;

            snprintf(id, sizeof(id), "warm%d-%d", gateway, i);
            size = snprintf(request, sizeof(request), STREAM, id);
            send_text(gateway, request, (size_t)size);
            whole = g_str_has_suffix(answer, "0\r\n\r\n");
            g_usleep(20000);
        }
        g_assert_true(whole);
    }
}

int
main(int argc, char **argv)
{
    /* Two runs at once on a machine are apart. */
    YardOptions options = {.network = (uint8_t)(128 + getpid() % 100),
                           .llm = 2,
                           .plain = 2,
                           .gateways = 2,
                           .seed = 7};
    int status;

    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/platform/raw", raw_cases, G_N_ELEMENTS(raw_cases),
                   sizeof(raw_cases[0]), test_raw);
    g_test_add_func("/platform/raw/a large head", test_large_head);
    g_test_add_func("/platform/raw/NUL in a head", test_nul_in_head);
    Steps_AddCases("/platform/fault", fault_cases, G_N_ELEMENTS(fault_cases),
                   sizeof(fault_cases[0]), test_fault);
    g_test_add_func("/platform/resume", test_resume);
    Steps_AddCases("/platform/store", store_cases, G_N_ELEMENTS(store_cases),
                   sizeof(store_cases[0]), test_store);
    g_test_add_func("/platform/version", test_version);
    g_test_add_func("/platform/gateway stops", test_gateway_stops);
    g_test_add_func("/platform/hang up", test_hang_up);
    g_test_add_func("/platform/gateway lost", test_gateway_lost);
    g_test_add_func("/platform/keeper killed", test_keeper_killed);
    g_test_add_func("/platform/worker restarts", test_worker_restarts);
    g_test_add_func("/platform/no overload", test_no_overload);
    yard = Yard_Start(&options);
    warm_up();
    status = g_test_run();
    Yard_Stop(yard);
    return status;
}
