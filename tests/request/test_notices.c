/*
 * Tests of what a gateway's attempts take from answers beside the answer: each
 * case is the bytes of a worker, and what the gateway learns from them.
 */
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "../../programs/connection/socket.h"
#include "../../programs/process/platform.h"
#include "../../programs/request/http_attempt.h"
#include "../gateway_stubs.h"
#include "../loopback.h"

#define REQUEST_TIMEOUT (400 * KC_MS)
/* From the end of the request to the later bytes, and to the end of a case. */
#define LATER_DELAY (20 * KC_MS)
#define END_DELAY (60 * KC_MS)
/* Of a request whose answer comes before all of it was sent. */
#define LARGE_BODY_BYTES ((size_t)16 * 1024 * 1024)

typedef enum Manner {
    AT_ONCE = 0, /* the answer follows the request */
    UNREAD,      /* it is sent, and the request is not read */
    LATER,       /* what follows it is sent when the connection is idle */
    NOT_WRITTEN, /* a notice comes while the connection is being made */
} Manner;

#define LEAVING "Server-Leaving: 1\r\n"
#define WAIT "Retry-After: 3\r\n"
#define NOT_RUN "Not-Executed: 1\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"
#define ID "Attempt-Id: this\r\n"
#define OK "HTTP/1.1 200 -\r\n" ID

/* Trace: "leaving", "closed SECONDS", "unread HEADER=VALUE", then "end",
 * "refused" or "broken", as what the caller gets. */
static const struct {
    const char *name;
    Manner manner;
    const char *answer;
    const char *later; /* sent afterwards; NULL: nothing */
    const char *trace;
} cases[] = {
    {"without headers", AT_ONCE, OK EMPTY, NULL, "end; "},
    {"whole answer", AT_ONCE, OK LEAVING EMPTY, NULL, "leaving; end; "},
    {"stream", AT_ONCE,
     OK LEAVING "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"
                "id: 0\ndata: x\n\n",
     NULL, "leaving; end; "},
    {"404", AT_ONCE, "HTTP/1.1 404 -\r\n" ID LEAVING EMPTY, NULL,
     "leaving; end; "},
    {"421", AT_ONCE, "HTTP/1.1 421 -\r\n" ID LEAVING NOT_RUN EMPTY, NULL,
     "leaving; refused; "},
    {"500", AT_ONCE, "HTTP/1.1 500 -\r\n" ID LEAVING EMPTY, NULL,
     "leaving; end; "},
    {"503 of a server that leaves", AT_ONCE,
     "HTTP/1.1 503 -\r\n" ID LEAVING NOT_RUN EMPTY, NULL,
     "leaving; refused; "},
    {"503 with both", AT_ONCE,
     "HTTP/1.1 503 -\r\n" ID LEAVING WAIT NOT_RUN EMPTY, NULL,
     "leaving; closed 3; refused; "},
    {"503", AT_ONCE, "HTTP/1.1 503 -\r\n" ID WAIT NOT_RUN EMPTY, NULL,
     "closed 3; refused; "},
    {"503 without a promise", AT_ONCE, "HTTP/1.1 503 -\r\n" ID WAIT EMPTY,
     NULL, "closed 3; refused; "},
    {"wait with another status", AT_ONCE, OK WAIT EMPTY, NULL, "end; "},
    {"value that is not readable", AT_ONCE,
     "HTTP/1.1 503 -\r\n" ID "Retry-After: soon\r\n" NOT_RUN EMPTY, NULL,
     "unread Retry-After=soon; refused; "},
    {"interim answer", AT_ONCE, "HTTP/1.1 103 -\r\n" LEAVING "\r\n" OK EMPTY,
     NULL, "leaving; end; "},
    {"late answer to another request", AT_ONCE,
     "HTTP/1.1 503 -\r\nAttempt-Id: other\r\n" WAIT NOT_RUN EMPTY OK EMPTY,
     NULL, "closed 3; end; "},
    {"answer without an id", AT_ONCE,
     "HTTP/1.1 503 -\r\n" WAIT NOT_RUN EMPTY OK EMPTY, NULL,
     "closed 3; end; "},
    {"answer that is cut off", AT_ONCE,
     OK LEAVING "Content-Length: 9\r\nConnection: close\r\n\r\nabc", NULL,
     "leaving; refused; "},
    {"answer behind the answer", AT_ONCE, OK EMPTY OK LEAVING EMPTY, NULL,
     "end; leaving; "},
    {"answer on an idle connection", LATER, OK EMPTY, OK LEAVING EMPTY,
     "end; leaving; "},
    {"503 on an idle connection", LATER, OK EMPTY,
     "HTTP/1.1 503 -\r\n" WAIT EMPTY, "end; closed 3; "},
    {"no answer on an idle connection", LATER, OK EMPTY, "x\r\n\r\n", "end; "},
    {"answer before the request was sent", UNREAD,
     "HTTP/1.1 503 -\r\n" ID WAIT NOT_RUN EMPTY, NULL, "closed 3; refused; "},
    {"request that is not written yet", NOT_WRITTEN, OK EMPTY, NULL,
     "leaving; refused; "},
};

/* ---- state of a case ------------------------------------------------------ */

typedef struct Fixture {
    size_t index;
    KcLoop *loop;
    KcCounters counters;
    GString *trace;
    KcGateway *gateway;
    KcHttpConnectionPool *pool;
    KcIntakePool intake_pool;
    KcTimer timer;
    bool is_later_sent;
    struct bufferevent *worker; /* its one connection; NULL: none yet */
    size_t received_bytes;      /* by the worker */
} Fixture;

static KcRequestBody *large_body;

/* ---- the worker ------------------------------------------------------------ */

static void
send_text(Fixture *fixture, const char *text)
{
    if (text != NULL) {
        bufferevent_write(fixture->worker, text, strlen(text));
    }
}

static void
on_worker_read(struct bufferevent *bev, void *context)
{
    Fixture *fixture = context;
    struct evbuffer *input = bufferevent_get_input(bev);

    fixture->received_bytes += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    send_text(fixture, cases[fixture->index].answer);
    if (strstr(cases[fixture->index].answer, "close") != NULL) {
        shutdown(bufferevent_getfd(bev), SHUT_RD);
    }
}

static void
on_worker_sent(struct bufferevent *bev, void *context)
{
    Fixture *fixture = context;

    if (strstr(cases[fixture->index].answer, "close") != NULL) {
        shutdown(bufferevent_getfd(bev), SHUT_WR);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    Fixture *fixture = context;

    (void)listener;
    (void)address;
    (void)size;
    g_assert_null(fixture->worker);
    fixture->worker =
        bufferevent_socket_new(fixture->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->worker, on_worker_read, on_worker_sent, NULL,
                      fixture);
    bufferevent_enable(fixture->worker, EV_WRITE);
    if (cases[fixture->index].manner == UNREAD) {
        bufferevent_disable(fixture->worker, EV_READ);
        send_text(fixture, cases[fixture->index].answer);
    }
    else {
        bufferevent_enable(fixture->worker, EV_READ);
    }
}

/* ---- the gateway ----------------------------------------------------------- */

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    static const KcHttpMessage request_head = {
        .method = "POST",
        .target = "/r/x",
        .fields = {{"Host", "h"}, {"Attempt-Id", "this"}},
        .field_count = 2};
    Fixture *fixture = context;
    KcHttpAttemptOptions options = {.loop = fixture->loop,
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
                                    .request_head = &request_head};

    if (cases[fixture->index].manner == UNREAD) {
        options.request_body = large_body;
    }
    return KcHttpAttempt_Start(&options, attempt, params);
}

static void
record_notice(void *context, const KcNoticeRecord *record)
{
    GString *trace = ((Fixture *)context)->trace;

    switch (record->kind) {
    case KC_NOTICE_LEAVING:
        g_string_append(trace, "leaving; ");
        break;
    case KC_NOTICE_CLOSED:
        g_string_append_printf(trace, "closed %d; ",
                               (int)(record->duration / KC_SECOND));
        break;
    case KC_NOTICE_OPEN:
        g_string_append(trace, "open; ");
        break;
    case KC_NOTICE_UNREAD:
        g_string_append_printf(trace, "unread %s=%s; ",
                               record->notice->unread_name,
                               record->notice->unread_value);
        break;
    }
}

static const KcGatewayOps gateway_ops = {
    GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
    .cancel_attempt = GatewayStubs_CancelHttp, .record_notice = record_notice};

static const char *
region_of(void *context, const char *datacentre)
{
    (void)context;
    (void)datacentre;
    return "";
}

/* ---- the caller ------------------------------------------------------------ */

static void
finish_request(Fixture *fixture, const char *result)
{
    g_string_append(fixture->trace, result);
    KcTimers_Set(fixture->loop->timers, &fixture->timer,
                 KcLoop_Now() + LATER_DELAY);
}

static void
on_end(void *caller)
{
    finish_request(caller, "end; ");
}

static void
on_broken(void *caller, const KcError *error)
{
    (void)error;
    finish_request(caller, "broken; ");
}

static void
on_refusal(void *caller, const KcForwardRefusal *refusal)
{
    (void)refusal;
    finish_request(caller, "refused; ");
}

static const KcForwardOps forward_ops = {GatewayStubs_IgnoreBegin,
                                         GatewayStubs_IgnoreData, on_end,
                                         on_broken, on_refusal};

/* ---- running a case -------------------------------------------------------- */

static void
on_timer(KcTimer *timer, KcTime now)
{
    Fixture *fixture = timer->owner;

    if (fixture->is_later_sent) {
        KcLoop_Stop(fixture->loop);
        return;
    }
    fixture->is_later_sent = true;
    send_text(fixture, cases[fixture->index].later);
    KcTimers_Set(fixture->loop->timers, timer, now + END_DELAY);
}

/* As the program does for the connections of its pool. */
static void
on_idle_head(void *context, const KcHttpMessage *message)
{
    Fixture *fixture = context;
    KcReplyHead head;

    KcPlatform_Current.dialect->parse_reply_head(message, NULL, &head);
    KcGateway_OnServerNotice(fixture->gateway,
                             KcGateway_FindServer(fixture->gateway, "w"),
                             &head.notice, "", KcLoop_Now());
}

static KcRouting *
create_routing(void)
{
    KcRouting *routing = KcRouting_Create(1);
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", "/r/");
    KcError error;

    KcText_Copy(rule->name, "r", KC_NAME_MAX);
    rule->kind = KC_REQUEST_KIND_STREAM;
    rule->request_timeout = REQUEST_TIMEOUT;
    rule->latency_objective = REQUEST_TIMEOUT;
    rule->attempts_max = 1;
    KcRouting_AddTarget(rule, "s", 100);
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    return routing;
}

static void
create_gateway(Fixture *fixture, const char *address)
{
    KcGatewayOptions options;
    KcServerInfo info;

    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = fixture;
    options.timers = fixture->loop->timers;
    options.counters = &fixture->counters;
    options.datacentre = "d";
    options.region_of = region_of;
    options.retry_burst = 80;
    fixture->gateway = KcGateway_Create(&options);
    fixture->pool = KcHttpConnectionPool_Create(fixture->loop);
    KcHttpConnectionPool_SetHeadCallback(fixture->pool, on_idle_head, fixture);
    KcGateway_SetRouting(fixture->gateway, create_routing());
    KcServerInfo_Init(&info);
    KcText_Copy(info.id, "w", KC_NAME_MAX);
    KcText_Copy(info.service, "s", KC_NAME_MAX);
    KcText_Copy(info.address, address, KC_ADDRESS_MAX);
    info.concurrency_max = 8;
    info.started_at_ms = 5;
    KcGateway_OnServerRecord(fixture->gateway, &info, (KcRevision){0, 1},
                             KcLoop_Now());
    KcServerInfo_Clear(&info);
}

static void
submit_request(Fixture *fixture)
{
    KcForwardCall call = {
        .id = "this", .host = "h", .path = "/r/x", .model = "", .adapter = ""};
    KcServerNotice notice = {.is_leaving = true};
    KcForward *forward;

    KcGateway_Submit(fixture->gateway, &call, &forward_ops, fixture, &forward,
                     KcLoop_Now());
    if (cases[fixture->index].manner == NOT_WRITTEN) {
        KcGateway_OnServerNotice(fixture->gateway,
                                 KcGateway_FindServer(fixture->gateway, "w"),
                                 &notice, "", KcLoop_Now());
    }
}

static void
test_case(gconstpointer data)
{
    Fixture fixture = {.index = GPOINTER_TO_SIZE(data),
                       .loop = KcLoop_Create(),
                       .trace = g_string_new(""),
                       .intake_pool = {.kept_bytes_max = 65536}};
    struct evconnlistener *listener;
    char address[KC_ADDRESS_MAX];

    Loopback_AssignAddress(address, sizeof(address));
    listener =
        KcSocket_Listen(fixture.loop->base, address, on_accept, &fixture);
    g_assert_nonnull(listener);
    KcTimer_Init(&fixture.timer, on_timer, &fixture);
    create_gateway(&fixture, address);
    submit_request(&fixture);
    KcLoop_Run(fixture.loop);
    g_assert_cmpstr(fixture.trace->str, ==, cases[fixture.index].trace);
    if (cases[fixture.index].manner == NOT_WRITTEN) {
        g_assert_cmpuint(fixture.received_bytes, ==, 0);
    }
    KcGateway_Free(fixture.gateway);
    KcHttpConnectionPool_Free(fixture.pool);
    bufferevent_free(fixture.worker);
    evconnlistener_free(listener);
    KcLoop_Free(fixture.loop);
    g_string_free(fixture.trace, TRUE);
}

int
main(int argc, char **argv)
{
    char *bytes = g_malloc0(LARGE_BODY_BYTES);
    int status;

    g_test_init(&argc, &argv, NULL);
    large_body = KcRequestBody_Create(NULL, 0, LARGE_BODY_BYTES);
    KcRequestBody_Append(large_body, (KcBytes){bytes, LARGE_BODY_BYTES});
    g_free(bytes);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/notices/%s", cases[i].name);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_case);
        g_free(path);
    }
    status = g_test_run();
    KcRequestBody_Release(large_body);
    return status;
}
