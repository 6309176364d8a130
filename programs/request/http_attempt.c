/*
 * One attempt of a gateway to serve a caller's request at a backend server
 * over HTTP.
 */
#include "http_attempt.h"

#include <stdlib.h>
#include <string.h>

#include "../process/log.h"
#include "event_stream.h"
#include "http_call.h"
#include "intake_log.h"

/*
 * How long a connection stays in the pool when the server does not say how
 * long it keeps idle connections.
 */
#define DEFAULT_IDLE_TIMEOUT (400 * KC_MS)
/*
 * Percentage of the idle time announced in Keep-Alive for which a connection
 * stays in the pool. A longer stay would risk that the server closes it while
 * a request is being sent.
 */
#define KEEP_ALIVE_USED_PERCENT 50
/*
 * Longest idle time of a pooled connection that is used for a request that
 * must not be repeated: one used so recently has not been closed by an idle
 * timeout.
 */
#define FRESH_IDLE_AGE_MAX (50 * KC_MS)
/* How long a server may take to tell who it is; a pause of a sound server
 * lasts at most about this long. */
#define IDENTITY_TIMEOUT (2 * KC_SECOND)
/* Largest answer to that. */
#define IDENTITY_BYTES_MAX ((size_t)1024 * 1024)

struct KcHttpAttempt {
    KcDeferredFree deferred_free;
    KcHttpAttemptOptions options;
    KcForwardAttempt *forwarded; /* reported to */
    KcAttemptParams parameters;
    KcHttpConnection *connection;
    KcHttpCall *identity_call;    /* after the end of the reply; NULL: none */
    void *start_read;             /* after that call; NULL: none */
    int64_t server_started_at_ms; /* as known when the attempt started */
    KcTimer connect_timer;        /* limits connecting */
    size_t request_bytes;         /* given to the connection; 0: none yet */
    bool skip_reply; /* interim, or the reply to an earlier request */
    bool is_finished;
    KcIntake intake;                    /* of the reply */
    const KcHttpMessage *reply_message; /* owned by connection */
    KcReplyHead reply_head;
    KcBuffer reply_body;
    KcEventStream event_stream;
};

static void
free_attempt(KcDeferredFree *deferred_free)
{
    KcHttpAttempt *attempt = (KcHttpAttempt *)deferred_free;

    KcBuffer_Clear(&attempt->reply_body);
    KcEventStream_Clear(&attempt->event_stream);
    /* Not before: what the reply takes of the pool is in memory until now. */
    KcIntake_End(&attempt->intake);
    free(attempt);
}

/*
 * Ends the attempt; nothing more is reported. The loop frees it after the
 * current iteration, as callbacks may still use it.
 */
static void
finish_attempt(KcHttpAttempt *attempt)
{
    attempt->is_finished = true;
    if (attempt->identity_call != NULL) {
        KcHttpCall_Cancel(attempt->identity_call);
    }
    if (attempt->start_read != NULL) {
        attempt->options.start_reader_ops->cancel(
            attempt->options.start_reader, attempt->start_read);
    }
    KcTimers_Clear(attempt->options.loop->timers, &attempt->connect_timer);
    KcLoop_DeferFree(attempt->options.loop, &attempt->deferred_free);
}

void
KcHttpAttempt_Cancel(KcHttpAttempt *attempt)
{
    if (attempt->is_finished) {
        return;
    }
    KcHttpConnection_Reset(attempt->connection);
    finish_attempt(attempt);
}

void
KcHttpAttempt_SetReadPaused(KcHttpAttempt *attempt, bool paused)
{
    if (!attempt->is_finished && attempt->identity_call == NULL &&
        attempt->start_read == NULL) {
        KcHttpConnection_SetReadPaused(attempt->connection, paused);
    }
}

/* Closes the connection and reports that the attempt failed. */
static void
fail_attempt(KcHttpAttempt *attempt, KcAttemptEnd end, int code)
{
    KcForwardAttempt *forwarded = attempt->forwarded;

    KcHttpConnection_Close(attempt->connection);
    finish_attempt(attempt);
    KcForwardAttempt_OnFailed(forwarded, end, code, KcLoop_Now());
}

/* Fails the attempt, as its reply exceeds a limit. */
static void
cut_off(KcHttpAttempt *attempt, int code)
{
    KcIntakeLog_Write(&attempt->intake, attempt->parameters.server->id, code);
    fail_attempt(attempt, KC_ATTEMPT_LOST, code);
}

/* ---- the reply ----------------------------------------------------------- */

/* Reports what the server says of itself, whichever request the reply is to.
 */
static void
report_notice(KcHttpAttempt *attempt, KcTime now)
{
    KcServerNotice notice = attempt->reply_head.notice;

    notice.started_at_ms = attempt->server_started_at_ms;
    KcGateway_OnServerNotice(attempt->forwarded->forward->gateway,
                             attempt->parameters.server, &notice,
                             attempt->forwarded->forward->id, now);
}

/* Counts and logs a reply that is not to this request. */
static void
record_stray(const KcHttpAttempt *attempt, int status)
{
    const KcForward *forward = attempt->forwarded->forward;
    const char *id = attempt->reply_head.request_id;
    KcLogFields fields = {.caller_request_id = forward->id,
                          .peer = attempt->parameters.server->id,
                          .step = "answer"};

    KcForwardAttempt_OnStrayReply(attempt->forwarded);
    KcLog_Write(KC_LOG_WARN, &fields,
                "reply to another request skipped, status=%d id='%.*s'",
                status, KC_CALLER_ID_MAX, id != NULL ? id : "");
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    KcHttpAttempt *attempt = owner;
    KcReplyHead *reply = &attempt->reply_head;
    KcReply stream_reply = {.status = message->status, .head = message};
    KcTime now = KcLoop_Now();
    uint64_t length =
        strcmp(attempt->options.request_head->method, "HEAD") == 0
            ? 0
            : message->content_length;
    int code;

    attempt->options.dialect->parse_reply_head(
        message, attempt->options.request_head, reply);
    attempt->skip_reply = message->status < 200 || !reply->matches_request;
    if (attempt->skip_reply && message->status >= 200) {
        record_stray(attempt, message->status);
    }
    report_notice(attempt, now);
    code = KcIntake_AddHead(&attempt->intake, reply->is_stream ? 0 : length,
                            attempt->skip_reply);
    if (code != 0) {
        cut_off(attempt, code);
        return;
    }
    if (attempt->skip_reply) {
        return;
    }
    attempt->reply_message = message;
    if (reply->has_load) {
        KcGateway_OnLoadReport(
            attempt->parameters.server, reply->running_requests,
            reply->waiting_requests, reply->concurrency_max, now);
        KcSpeed_NoteTold(&attempt->parameters.server->speed,
                         reply->work_percent, now);
    }
    if (reply->must_not_forward) {
        fail_attempt(attempt, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL);
        return;
    }
    if (reply->is_stream) {
        KcForwardAttempt_OnStreamBegin(attempt->forwarded, &stream_reply, now);
    }
}

/* Notes how much of the reply is kept. */
static void
keep(KcHttpAttempt *attempt, size_t bytes)
{
    int code = KcIntake_Keep(&attempt->intake, bytes);

    if (code != 0) {
        cut_off(attempt, code);
    }
}

static void
forward_events(KcHttpAttempt *attempt)
{
    KcStreamEvent event;
    int code = 0;

    while (!attempt->is_finished &&
           (code = KcEventStream_TakeEvent(&attempt->event_stream, &event)) >
               0) {
        code = KcIntake_AddEvent(&attempt->intake, event.has_id);
        if (code != 0) {
            cut_off(attempt, code);
            return;
        }
        KcForwardAttempt_OnStreamEvent(attempt->forwarded, event.has_id,
                                       event.id, event.bytes, KcLoop_Now());
    }
    if (attempt->is_finished || code == 0) {
        return;
    }
    if (code == KC_ERR_TOO_LARGE) {
        KcIntakeLog_WriteBytes(
            "stream event",
            KcEventStream_IncompleteBytes(&attempt->event_stream),
            KC_STREAM_EVENT_BYTES_MAX, attempt->parameters.server->id);
    }
    fail_attempt(attempt, KC_ATTEMPT_LOST, code);
}

static void
on_body(void *owner, KcBytes bytes)
{
    KcHttpAttempt *attempt = owner;
    bool is_stream = !attempt->skip_reply && attempt->reply_head.is_stream;
    int code = is_stream ? 0
                         : KcIntake_AddBody(&attempt->intake, bytes.size,
                                            attempt->skip_reply);

    if (code != 0) {
        cut_off(attempt, code);
        return;
    }
    if (attempt->skip_reply) {
        return;
    }
    if (is_stream) {
        KcEventStream_Append(&attempt->event_stream, bytes);
        forward_events(attempt);
        if (!attempt->is_finished) {
            keep(attempt,
                 KcEventStream_IncompleteBytes(&attempt->event_stream));
        }
        return;
    }
    KcBuffer_Append(&attempt->reply_body, bytes.data, bytes.size);
    keep(attempt, KcBuffer_Size(&attempt->reply_body));
}

/*
 * Puts the connection into the pool, or closes it when the server does not
 * keep it open.
 */
static void
release_connection(KcHttpAttempt *attempt)
{
    KcTime idle_timeout = attempt->reply_head.keep_alive_timeout > 0
                              ? attempt->reply_head.keep_alive_timeout *
                                    KEEP_ALIVE_USED_PERCENT / 100
                              : DEFAULT_IDLE_TIMEOUT;

    if (attempt->reply_message->keep_alive) {
        KcHttpConnectionPool_Put(attempt->options.pool, attempt->connection,
                                 idle_timeout);
    }
    else {
        KcHttpConnection_Close(attempt->connection);
    }
}

/* Reports the end of the reply. */
static void
report_end(KcHttpAttempt *attempt)
{
    KcForwardAttempt *forwarded = attempt->forwarded;
    KcReply reply = {.head = attempt->reply_message};

    if (attempt->reply_head.is_stream) {
        finish_attempt(attempt);
        release_connection(attempt);
        KcForwardAttempt_OnStreamEnd(forwarded, KcLoop_Now());
        return;
    }
    reply.status = attempt->reply_message->status;
    reply.not_run = attempt->reply_head.not_run;
    reply.is_misdirected = attempt->reply_head.is_misdirected;
    reply.body = (KcBytes){KcBuffer_Data(&attempt->reply_body),
                           KcBuffer_Size(&attempt->reply_body)};
    finish_attempt(attempt);
    release_connection(attempt);
    KcForwardAttempt_OnReply(forwarded, &reply, KcLoop_Now());
}

static void request_identity(KcHttpAttempt *attempt);

static void
on_end(void *owner)
{
    KcHttpAttempt *attempt = owner;
    bool is_unframed;

    if (attempt->skip_reply) {
        /* A late reply to an earlier request, or an interim one. */
        KcHttpConnection_ReadNextMessage(attempt->connection);
        return;
    }
    is_unframed = attempt->reply_message->ends_with_connection;
    if (attempt->reply_head.is_stream &&
        (KcEventStream_IncompleteBytes(&attempt->event_stream) > 0 ||
         (is_unframed && !attempt->forwarded->has_first_event))) {
        fail_attempt(attempt, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL);
        return;
    }
    if (is_unframed) {
        request_identity(attempt);
        return;
    }
    report_end(attempt);
}

/* How an attempt ends whose connection ends: what the kernel has not taken
 * can't arrive. */
static KcAttemptEnd
end_without_reply(const KcHttpAttempt *attempt)
{
    size_t unsent_bytes = KcHttpConnection_UnsentBytes(attempt->connection);

    return unsent_bytes == attempt->request_bytes ? KC_ATTEMPT_NEVER_SENT
                                                  : KC_ATTEMPT_LOST;
}

static void
on_failed(void *owner, int code)
{
    KcHttpAttempt *attempt = owner;
    KcAttemptEnd end;

    if (code == KC_ERR_TOO_LARGE) {
        KcIntakeLog_WriteBytes(
            "answer head", KcHttpConnection_FramingBytes(attempt->connection),
            attempt->options.head_bytes_max, attempt->parameters.server->id);
    }
    end = end_without_reply(attempt);
    /* What the server sent is no answer to a request that was not sent. */
    fail_attempt(attempt, end,
                 end == KC_ATTEMPT_NEVER_SENT ? KC_ERR_PEER_LOST : code);
}

/* ---- the request --------------------------------------------------------- */

static void
write_request(KcHttpAttempt *attempt)
{
    struct evbuffer *out = KcHttpConnection_Output(attempt->connection);
    const KcHttpAttemptOptions *options = &attempt->options;
    KcAttemptParams parameters = attempt->parameters;

    KcForwardAttempt_OnSent(attempt->forwarded);
    parameters.time_left =
        attempt->forwarded->forward->deadline - KcLoop_Now();
    if (strcmp(options->request_head->method, "HEAD") == 0) {
        KcHttpConnection_ExpectNoBody(attempt->connection);
    }
    options->dialect->write_request_head(
        out, options->request_head, KcRequestBody_Size(options->request_body),
        &parameters);
    KcRequestBody_AddTo(options->request_body, out);
    attempt->request_bytes = KcHttpConnection_UnsentBytes(attempt->connection);
}

static void
on_connected(void *owner)
{
    KcHttpAttempt *attempt = owner;
    int code = KcForwardAttempt_CheckSend(attempt->forwarded, KcLoop_Now());

    KcTimers_Clear(attempt->options.loop->timers, &attempt->connect_timer);
    if (code != 0) {
        fail_attempt(attempt, KC_ATTEMPT_NEVER_SENT, code);
        return;
    }
    write_request(attempt);
}

static void
on_connect_timeout(KcTimer *timer, KcTime now)
{
    KcHttpAttempt *attempt = timer->owner;

    (void)now;
    fail_attempt(attempt, end_without_reply(attempt), KC_ERR_PEER_LOST);
}

static const KcHttpConnectionOps connection_ops = {.on_connected =
                                                       on_connected,
                                                   .on_head = on_head,
                                                   .on_body = on_body,
                                                   .on_message_end = on_end,
                                                   .on_failed = on_failed};

static KcHttpConnection *
connect_to_server(KcHttpAttempt *attempt)
{
    const KcHttpAttemptOptions *options = &attempt->options;
    KcHttpConnectionOptions connection_options = {
        .loop = options->loop,
        .ops = &connection_ops,
        .owner = attempt,
        .head_bytes_max = options->head_bytes_max,
        .silence_timeout = options->silence_timeout};

    KcTimers_Set(options->loop->timers, &attempt->connect_timer,
                 KcLoop_Now() + options->connect_timeout);
    return KcHttpConnection_Connect(&connection_options,
                                    attempt->parameters.server->address);
}

/* ---- replies that end with their connection ------------------------------ */

/* Ends the attempt by who the server is. */
static void
judge_identity(KcHttpAttempt *attempt, const KcServerIdentity *identity)
{
    /* A reset behind the end of the reply is reported by nothing else. */
    if (!KcForwardAttempt_IsFrom(attempt->forwarded, identity) ||
        !KcHttpConnection_IsIntact(attempt->connection)) {
        fail_attempt(attempt, KC_ATTEMPT_LOST, KC_ERR_PEER_LOST);
        return;
    }
    report_end(attempt);
}

static void
on_start(void *context, int64_t started_at_ms)
{
    KcHttpAttempt *attempt = context;
    KcServerIdentity identity = {.id = attempt->parameters.server->id,
                                 .started_at_ms = started_at_ms};

    attempt->start_read = NULL;
    judge_identity(attempt, &identity);
}

static void
on_identity(void *context, int status, const char *id, KcBytes body)
{
    KcHttpAttempt *attempt = context;
    const KcHttpAttemptOptions *options = &attempt->options;
    KcServerIdentity identity = {.id = status > 0 ? id : ""};

    attempt->identity_call = NULL;
    if (status == 200) {
        identity.started_at_ms = options->dialect->parse_start_time(body);
    }
    if (options->start_reader_ops != NULL &&
        KcForwardAttempt_NeedsStart(attempt->forwarded, &identity)) {
        /* Not before: a server registers as it starts, and answers after. */
        attempt->start_read = options->start_reader_ops->begin(
            options->start_reader, attempt->parameters.server, on_start,
            attempt);
        return;
    }
    judge_identity(attempt, &identity);
}

/* The connections of a server that crashes end in the same way as a reply that
 * has no other framing.  That something else accepts connections there proves
 * nothing: it may be a later instance, or a proxy. */
static void
request_identity(KcHttpAttempt *attempt)
{
    const KcHttpAttemptOptions *options = &attempt->options;
    KcHttpCallOptions call_options = {
        .loop = options->loop,
        .address = attempt->parameters.server->address,
        .method = "GET",
        .path = options->identity_path,
        .reported_field = options->dialect->server_id_header,
        .progress_timeout = IDENTITY_TIMEOUT,
        .connect_timeout = options->connect_timeout,
        .limits = {.body_bytes_max = IDENTITY_BYTES_MAX,
                   .timeout = IDENTITY_TIMEOUT},
        .pool = options->pool,
        .needs_new_connection = true,
        .pooled_idle_timeout = DEFAULT_IDLE_TIMEOUT};

    if (options->identity_path[0] == '\0') {
        fail_attempt(attempt, KC_ATTEMPT_LOST, KC_ERR_PEER_LOST);
        return;
    }
    KcForwardAttempt_OnUnframedEnd(attempt->forwarded, KcLoop_Now());
    attempt->identity_call =
        KcHttpCall_Fetch(&call_options, on_identity, attempt);
}

KcHttpAttempt *
KcHttpAttempt_Start(const KcHttpAttemptOptions *options,
                    KcForwardAttempt *forwarded, const KcAttemptParams *params)
{
    KcHttpAttempt *attempt = KcMem_New(sizeof(*attempt));

    attempt->options = *options;
    attempt->forwarded = forwarded;
    attempt->parameters = *params;
    attempt->server_started_at_ms = params->server->started_at_ms;
    attempt->options.limits.events_max = params->events_max;
    KcIntake_Begin(&attempt->intake, &attempt->options.limits, KcLoop_Now());
    attempt->deferred_free.free_owner = free_attempt;
    KcTimer_Init(&attempt->connect_timer, on_connect_timeout, attempt);
    if (!params->needs_new_connection) {
        attempt->connection = KcHttpConnectionPool_Take(
            options->pool,
            params->needs_fresh_connection ? FRESH_IDLE_AGE_MAX : KC_NEVER);
    }
    if (attempt->connection != NULL) {
        KcHttpConnection_SetOwner(attempt->connection, &connection_ops,
                                  attempt);
        write_request(attempt);
        return attempt;
    }
    KcHttpConnectionPool_MakeRoom(options->pool);
    attempt->connection = connect_to_server(attempt);
    if (attempt->connection == NULL) {
        finish_attempt(attempt);
        return NULL;
    }
    return attempt;
}
