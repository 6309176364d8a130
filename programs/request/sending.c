/*
 * One attempt of a gateway to serve a caller's request at a backend server
 * over HTTP.
 */
#include "sending.h"

#include <stdlib.h>
#include <string.h>

#include "event_stream.h"

/*
 * How long a connection stays in the pool when the server does not say how
 * long it keeps idle connections.
 */
#define DEFAULT_IDLE_TIMEOUT (400 * KC_MS)
/*
 * A pooled connection is used for this part of the time that the server
 * announces in Keep-Alive, so that it is not closed by the server just then.
 */
#define KEEP_ALIVE_USED_PERCENT 50
/*
 * A request that must not be repeated gets only a pooled connection used this
 * recently: no idle timeout of a server has closed it yet.
 */
#define FRESH_IDLE_AGE_MAX (50 * KC_MS)
/* Interim replies and replies to earlier requests that one attempt skips. */
#define SKIPPED_REPLIES_MAX 4

struct KcHttpAttempt {
    KcRetired retired;
    KcSendingOptions options;
    KcForward *forward;
    KcSend parameters;
    KcHttpPeer *connection;
    KcTimer connect_timer; /* limits connecting */
    bool request_written;  /* the request was given to the connection */
    bool skip_reply;       /* interim, or the reply to an earlier request */
    uint32_t skipped_replies;
    bool is_finished;
    const KcHttpMessage *reply_message; /* owned by connection */
    KcReplyHead reply_head;
    KcBuffer reply_body;
    KcEventStream event_stream;
};

static void
free_attempt(KcRetired *retired)
{
    KcHttpAttempt *attempt = (KcHttpAttempt *)retired;

    KcBuffer_Clear(&attempt->reply_body);
    KcEventStream_Clear(&attempt->event_stream);
    free(attempt);
}

/*
 * Ends the attempt; nothing more is reported. The loop frees it after the
 * present round, as callbacks may still use it.
 */
static void
finish_attempt(KcHttpAttempt *attempt)
{
    attempt->is_finished = true;
    KcTimers_Clear(attempt->options.loop->timers, &attempt->connect_timer);
    KcLoop_Retire(attempt->options.loop, &attempt->retired);
}

void
KcSending_Cancel(KcHttpAttempt *attempt)
{
    if (attempt->is_finished) {
        return;
    }
    KcHttpPeer_Reset(attempt->connection);
    finish_attempt(attempt);
}

void
KcHttpAttempt_SetReadPaused(KcHttpAttempt *attempt, bool paused)
{
    if (!attempt->is_finished) {
        KcHttpConnection_SetReadPaused(attempt->connection, paused);
    }
}

/* Closes the connection and reports that the attempt failed. */
static void
fail_attempt(KcHttpAttempt *attempt, KcAttemptEnd end, int code)
{
    KcForward *forward = attempt->forward;

    KcHttpPeer_Close(attempt->connection);
    finish_attempt(attempt);
    KcForward_OnFailed(forward, end, code, KcLoop_Now());
}

/* ---- the reply ----------------------------------------------------------- */

static void
on_head(void *owner, const KcHttpMessage *message)
{
    KcHttpAttempt *attempt = owner;
    KcReplyHead *reply = &attempt->reply_head;
    KcReply stream_reply = {.status = message->status, .head = message};
    KcTime now = KcLoop_Now();

    attempt->options.dialect->parse_reply_head(message, attempt->forward->id,
                                               reply);
    attempt->skip_reply = message->status < 200 || !reply->ours;
    if (attempt->skip_reply) {
        return;
    }
    attempt->reply_message = message;
    if (reply->has_load) {
        KcGateway_OnLoad(attempt->parameters.server, reply->running,
                         reply->waiting, reply->places, now);
    }
    if (reply->unusable) {
        fail_attempt(attempt, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL);
        return;
    }
    if (reply->stream) {
        KcForward_OnBegin(attempt->forward, &stream_reply, now);
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
        KcForward_OnEvent(attempt->forward, event.has_id, event.id,
                          event.bytes, KcLoop_Now());
    }
    if (!attempt->is_finished && code < 0) {
        fail_attempt(attempt, KC_ATTEMPT_LOST, code);
    }
}

static void
on_body(void *owner, KcBytes bytes)
{
    KcHttpAttempt *attempt = owner;

    if (attempt->skip_reply) {
        return;
    }
    if (attempt->reply_head.stream) {
        KcEventStream_Append(&attempt->event_stream, bytes);
        forward_events(attempt);
        return;
    }
    KcBuffer_Append(&attempt->reply_body, bytes.data, bytes.size);
    if (KcBuffer_Size(&attempt->reply_body) > attempt->options.reply_max) {
        fail_attempt(attempt, KC_ATTEMPT_LOST, KC_ERR_TOO_LARGE);
    }
}

/*
 * Puts the connection into the pool, or closes it when the server does not
 * keep it open.
 */
static void
release_connection(KcHttpAttempt *attempt)
{
    KcTime idle_timeout =
        attempt->reply_head.keep > 0
            ? attempt->reply_head.keep * KEEP_ALIVE_USED_PERCENT / 100
            : DEFAULT_IDLE_TIMEOUT;

    if (attempt->reply_message->keep_alive) {
        KcHttpConnectionPool_Put(attempt->options.pool, attempt->connection,
                                 idle_timeout);
    }
    else {
        KcHttpPeer_Close(attempt->connection);
    }
}

static void
end_stream(KcHttpAttempt *attempt)
{
    KcForward *forward = attempt->forward;

    if (KcEventStream_IncompleteBytes(&attempt->event_stream) > 0) {
        fail_attempt(attempt, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL);
        return;
    }
    finish_attempt(attempt);
    release_connection(attempt);
    KcForward_OnEnd(forward, KcLoop_Now());
}

static void
on_end(void *owner)
{
    KcHttpAttempt *attempt = owner;
    KcForward *forward = attempt->forward;
    KcReply reply = {.head = attempt->reply_message};

    if (attempt->skip_reply) {
        /* A late reply to an earlier request, or an interim one. */
        if (++attempt->skipped_replies > SKIPPED_REPLIES_MAX) {
            fail_attempt(attempt, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL);
            return;
        }
        KcHttpPeer_Next(attempt->connection);
        return;
    }
    if (attempt->reply_head.stream) {
        end_stream(attempt);
        return;
    }
    reply.status = attempt->reply_message->status;
    reply.not_run = attempt->reply_head.not_run;
    reply.other_server = attempt->reply_head.other_server;
    reply.body = (KcBytes){KcBuffer_Data(&attempt->reply_body),
                           KcBuffer_Size(&attempt->reply_body)};
    finish_attempt(attempt);
    release_connection(attempt);
    KcForward_OnReply(forward, &reply, KcLoop_Now());
}

static void
on_failed(void *owner, int code)
{
    KcHttpAttempt *attempt = owner;

    fail_attempt(attempt,
                 attempt->request_written ? KC_ATTEMPT_LOST
                                          : KC_ATTEMPT_NEVER_SENT,
                 code);
}

/* ---- the request --------------------------------------------------------- */

static void
write_request(KcHttpAttempt *attempt)
{
    struct evbuffer *out = KcHttpPeer_Output(attempt->connection);
    const KcSendingOptions *options = &attempt->options;
    KcSend parameters = attempt->parameters;

    attempt->request_written = true;
    parameters.left = attempt->forward->give_up - KcLoop_Now();
    if (strcmp(options->message->method, "HEAD") == 0) {
        KcHttpConnection_ExpectNoBody(attempt->connection);
    }
    options->dialect->write_request_head(out, options->message,
                                         options->body.size, &parameters);
    evbuffer_add(out, options->body.data, options->body.size);
}

static void
on_connected(void *owner)
{
    KcHttpAttempt *attempt = owner;

    KcTimers_Clear(attempt->options.loop->timers, &attempt->connect_timer);
    write_request(attempt);
}

static void
on_connect_timeout(KcTimer *timer, KcTime now)
{
    (void)now;
    fail_attempt(timer->owner, KC_ATTEMPT_NEVER_SENT, KC_ERR_LOST);
}

static const KcHttpPeerOps connection_ops = {.connected = on_connected,
                                             .head = on_head,
                                             .body = on_body,
                                             .end = on_end,
                                             .failed = on_failed};

static KcHttpPeer *
connect_to_server(KcHttpAttempt *attempt)
{
    const KcSendingOptions *options = &attempt->options;
    KcHttpPeerOptions connection_options = {.loop = options->loop,
                                            .ops = &connection_ops,
                                            .owner = attempt,
                                            .header_max = options->header_max,
                                            .silence = options->silence};

    KcTimers_Set(options->loop->timers, &attempt->connect_timer,
                 KcLoop_Now() + options->connect_timeout);
    return KcHttpPeer_Connect(&connection_options,
                              attempt->parameters.server->address);
}

KcHttpAttempt *
KcSending_Start(const KcSendingOptions *options, KcForward *forward,
                const KcSend *parameters)
{
    KcHttpAttempt *attempt = KcMem_New(sizeof(*attempt));

    attempt->options = *options;
    attempt->forward = forward;
    attempt->parameters = *parameters;
    attempt->retired.take_down = free_attempt;
    KcTimer_Init(&attempt->connect_timer, on_connect_timeout, attempt);
    attempt->connection = KcHttpConnectionPool_Take(
        options->pool, parameters->fresh ? FRESH_IDLE_AGE_MAX : KC_NEVER);
    if (attempt->connection != NULL) {
        KcHttpConnection_SetOwner(attempt->connection, &connection_ops,
                                  attempt);
        write_request(attempt);
        return attempt;
    }
    attempt->connection = connect_to_server(attempt);
    if (attempt->connection == NULL) {
        finish_attempt(attempt);
        return NULL;
    }
    return attempt;
}
