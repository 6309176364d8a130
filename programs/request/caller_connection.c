/*
 * A caller's connection to a gateway: its requests and answers.
 */
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../process/log.h"
#include "gateway_front_end_internal.h"

/* Unsent bytes above which the caller's next request is not read, until all
 * are sent. */
#define UNSENT_BYTES_MAX (256 * 1024)
/*
 * Percentage of the idle timeout for which callers are told that they may
 * leave a connection idle: a request that they send then does not cross the
 * close.
 */
#define IDLE_TIME_PERCENT 80
/*
 * Time that a connection above the limit has to send a request, which is
 * refused.
 */
#define EXCESS_REQUEST_TIMEOUT (1 * KC_SECOND)
/* Callers that are refused for want of room are asked to come back after this.
 */
#define BUSY_RETRY_AFTER (400 * KC_MS)
/*
 * Shortest time that a connection which is accepted or idle during a planned
 * stop has to send a request.
 */
#define LEAVING_REQUEST_TIMEOUT (1 * KC_SECOND)

/* Names of the states in the log. */
static const char *const state_names[] = {
    [CONNECTION_IDLE] = "idle",
    [CONNECTION_READING_HEAD] = "reading head",
    [CONNECTION_READING_BODY] = "reading body",
    [CONNECTION_SUBMITTED] = "submitted",
    [CONNECTION_CLOSING] = "closing"};

static const KcCallerLimits *
current_limits(const KcGatewayFrontEnd *front_end)
{
    const KcRouting *routing =
        KcGateway_GetRouting(front_end->options.gateway);

    return routing != NULL ? &routing->limits
                           : &front_end->options.initial_limits;
}

const KcHttpMessage *
KcGatewayFrontEnd_RequestHead(const void *caller)
{
    return ((const KcCallerConnection *)caller)->request_head;
}

KcRequestBody *
KcGatewayFrontEnd_RequestBody(const void *caller)
{
    return ((const KcCallerConnection *)caller)->request_body;
}

static void
release_body(KcCallerConnection *connection)
{
    KcRequestBody_Release(connection->request_body);
    connection->request_body = NULL;
}

/* ---- connections and their timers ---------------------------------------- */

/*
 * Counts and logs the end of a connection by which its caller may miss an
 * answer: with bytes that were not read or not sent, or inside a request.
 */
static void
record_end(const KcCallerConnection *connection)
{
    KcCounters *counters = connection->front_end->options.counters;
    size_t unread = KcHttpConnection_UnreadBytes(connection->http_connection);
    size_t unsent = KcHttpConnection_UnsentBytes(connection->http_connection);
    KcLogFields fields = {.step = state_names[connection->state]};

    KcCounters_Add(counters, KC_COUNT_UNREAD_CLOSES, unread > 0 ? 1 : 0);
    KcCounters_Add(counters, KC_COUNT_UNSENT_CLOSES, unsent > 0 ? 1 : 0);
    if (unread > 0 || unsent > 0 ||
        connection->state == CONNECTION_READING_HEAD ||
        connection->state == CONNECTION_READING_BODY) {
        KcLog_Write(KC_LOG_INFO, &fields,
                    "connection of a caller ends, unread_bytes=%zu "
                    "unsent_bytes=%zu",
                    unread, unsent);
    }
}

static void
on_output_changed(struct evbuffer *output,
                  const struct evbuffer_cb_info *change, void *context)
{
    KcCallerConnection *connection = context;
    KcGatewayFrontEnd *front_end = connection->front_end;

    KcOutputPool_Update(&front_end->output_pool, &connection->output_share,
                        evbuffer_get_length(output), change->n_deleted > 0);
    if (change->n_added > 0 &&
        KcOutputPool_FindExcess(&front_end->output_pool) != NULL) {
        KcTimers_Set(front_end->options.loop->timers, &front_end->excess_timer,
                     KcLoop_Now());
    }
}

void
KcCallerConnection_EndSlow(KcOutputShare *share, KcTime now)
{
    KcCallerConnection *connection =
        (KcCallerConnection *)((char *)share -
                               offsetof(KcCallerConnection, output_share));
    KcGatewayFrontEnd *front_end = connection->front_end;
    KcForward *forward = connection->forward;
    KcLogFields fields = {.step = "output", .code = KC_ERR_BUSY};

    KcCounters_Add(front_end->options.counters, KC_COUNT_SLOW_CALLERS, 1);
    KcLog_Write(KC_LOG_WARN, &fields,
                "unsent answers take too much memory, unsent_bytes=%zu of "
                "%zu, limit=%zu",
                share->bytes, front_end->output_pool.bytes,
                front_end->output_pool.bytes_max);
    if (forward != NULL) {
        connection->forward = NULL;
        KcForward_Abandon(forward, now);
    }
    KcCallerConnection_Free(connection);
}

void
KcCallerConnection_Free(KcCallerConnection *connection)
{
    KcGatewayFrontEnd *front_end = connection->front_end;

    record_end(connection);
    evbuffer_remove_cb(KcHttpConnection_Output(connection->http_connection),
                       on_output_changed, connection);
    KcOutputPool_Update(&front_end->output_pool, &connection->output_share, 0,
                        false);
    KcTimers_Clear(front_end->options.loop->timers, &connection->timer);
    TAILQ_REMOVE(&front_end->connections, connection, link);
    KcConnectionLimit_Remove(&front_end->connection_limit,
                             connection->is_admitted);
    release_body(connection);
    KcHttpConnection_Close(connection->http_connection);
    free(connection);
}

/*
 * Decides until when a request must be received. One that begins late in a
 * planned stop gets some time all the same, as it may come in several parts.
 */
static void
limit_receipt(KcCallerConnection *connection)
{
    KcTime late_until = KcLoop_Now() + LEAVING_REQUEST_TIMEOUT;
    KcTime receive_until = connection->front_end->receive_until;

    connection->receive_until =
        late_until > receive_until ? late_until : receive_until;
}

/* Limits the time for the next part of a request. */
static void
start_receipt_timer(KcCallerConnection *connection, KcTime delay)
{
    KcTime due_at = KcLoop_Now() + delay;

    KcTimers_Set(
        connection->front_end->options.loop->timers, &connection->timer,
        due_at < connection->receive_until ? due_at
                                           : connection->receive_until);
}

/* Takes the limits in force for the next request. */
static void
take_limits(KcCallerConnection *connection)
{
    connection->limits = *current_limits(connection->front_end);
    KcHttpConnection_SetHeadBytesMax(connection->http_connection,
                                     connection->limits.header_bytes_max);
}

/*
 * Closes the connection when its output is sent. The HTTP connection sets the
 * time limits.
 */
static void
close_when_sent(KcCallerConnection *connection)
{
    connection->state = CONNECTION_CLOSING;
    KcTimers_Clear(connection->front_end->options.loop->timers,
                   &connection->timer);
    KcHttpConnection_CloseWhenSent(connection->http_connection);
}

static void
write_refusal(KcCallerConnection *connection, const KcForwardRefusal *refusal,
              KcTime idle_time)
{
    const KcHttpMessage *request = connection->request_head;
    bool has_body = request == NULL || strcmp(request->method, "HEAD") != 0;

    connection->front_end->options.dialect->write_refusal(
        KcHttpConnection_Output(connection->http_connection), refusal,
        has_body, idle_time);
}

/*
 * Answers with an error before the request is complete, and closes the
 * connection.
 */
static void
refuse_early(KcCallerConnection *connection, int code, const char *step)
{
    KcForwardRefusal refusal = {.error = {.code = code, .step = step},
                                .retry_after = code == KC_ERR_BUSY ||
                                                       !connection->is_admitted
                                                   ? BUSY_RETRY_AFTER
                                                   : 0};
    KcLogFields fields = {.step = step, .code = code};

    KcCounters_Add(connection->front_end->options.counters,
                   KC_COUNT_EARLY_REFUSALS, 1);
    KcLog_Write(KC_LOG_INFO, &fields,
                "request refused while it was received, body_bytes=%zu",
                KcRequestBody_Size(connection->request_body));
    release_body(connection);
    write_refusal(connection, &refusal, 0);
    close_when_sent(connection);
}

/* Refuses a request of which so many body bytes cannot be held. */
static void
refuse_for_memory(KcCallerConnection *connection, size_t body_bytes)
{
    const KcGatewayFrontEndOptions *options = &connection->front_end->options;
    KcLogFields fields = {.step = "memory", .code = KC_ERR_BUSY};

    KcCounters_Add(options->counters, KC_COUNT_MEMORY_REFUSALS, 1);
    KcLog_Write(KC_LOG_INFO, &fields,
                "no memory for a request, needed_bytes=%zu held_bytes=%zu "
                "limit=%zu",
                body_bytes, options->request_pool->kept_bytes,
                options->request_pool->kept_bytes_max);
    refuse_early(connection, KC_ERR_BUSY, "memory");
}

/*
 * Handles a failed connection: abandons its request. Input that is invalid or
 * too large is answered with an error before the connection is closed.
 */
static void
on_failed(void *owner, int code)
{
    KcCallerConnection *connection = owner;
    KcForward *forward = connection->forward;

    if (forward != NULL) {
        connection->forward = NULL;
        KcForward_Abandon(forward, KcLoop_Now());
    }
    if ((code == KC_ERR_PARSE || code == KC_ERR_TOO_LARGE) &&
        connection->state < CONNECTION_SUBMITTED) {
        refuse_early(connection, code, "read");
        return;
    }
    if (connection->state != CONNECTION_CLOSING &&
        KcHttpConnection_HasInputEnded(connection->http_connection) &&
        KcHttpConnection_UnsentBytes(connection->http_connection) > 0) {
        /* A caller that has closed answers the next bytes with a reset. */
        close_when_sent(connection);
        return;
    }
    KcCallerConnection_Free(connection);
}

/* Returns whether the connection is within the limit, by now. */
static bool
is_admitted(KcCallerConnection *connection)
{
    connection->is_admitted =
        connection->is_admitted ||
        KcConnectionLimit_Admit(&connection->front_end->connection_limit);
    return connection->is_admitted;
}

static void
wait_for_request(KcCallerConnection *connection)
{
    KcGatewayFrontEnd *front_end = connection->front_end;
    KcTime promised_timeout = connection->idle_time * 100 / IDLE_TIME_PERCENT;
    KcTime idle_timeout;
    KcTime close_at;

    take_limits(connection);
    idle_timeout = connection->limits.idle_timeout;
    close_at =
        KcLoop_Now() +
        (promised_timeout > idle_timeout ? promised_timeout : idle_timeout);
    if (front_end->is_leaving) {
        /*
         * A caller may connect to a stopping gateway because it reaches no
         * other one, so it gets enough time to send one request.
         */
        close_at = KcLoop_Now() + LEAVING_REQUEST_TIMEOUT;
        close_at = close_at > front_end->idle_until ? close_at
                                                    : front_end->idle_until;
    }
    if (!is_admitted(connection)) {
        close_at = KcLoop_Now() + EXCESS_REQUEST_TIMEOUT;
    }
    connection->state = CONNECTION_IDLE;
    KcTimers_Set(front_end->options.loop->timers, &connection->timer,
                 close_at);
}

/*
 * Closes an idle connection. In a planned stop a request that crosses the
 * close is answered in advance (RFC 9110, 15.5.9): its caller knows that it
 * did not run.
 */
static void
close_idle(KcCallerConnection *connection)
{
    KcGatewayFrontEnd *front_end = connection->front_end;
    KcForwardRefusal refusal = {
        .error = {.code = KC_ERR_LEAVING, .step = "await request"}};

    KcCounters_Add(front_end->options.counters, KC_COUNT_IDLE_CLOSES, 1);
    if (!front_end->is_leaving) {
        KcCallerConnection_Free(connection);
        return;
    }
    write_refusal(connection, &refusal, 0);
    close_when_sent(connection);
}

/* Ends the wait for a request, or for the rest of one. */
static void
end_receipt(KcCallerConnection *connection)
{
    if (connection->state == CONNECTION_IDLE) {
        close_idle(connection);
        return;
    }
    refuse_early(connection, KC_ERR_DEADLINE_EXCEEDED, "read request");
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcCallerConnection *connection = timer->owner;

    (void)now;
    switch (connection->state) {
    case CONNECTION_READING_HEAD:
    case CONNECTION_READING_BODY:
        end_receipt(connection);
        break;
    case CONNECTION_IDLE:
        if (!KcHttpConnection_IsOutputTaken(connection->http_connection) ||
            (!connection->is_admitted && is_admitted(connection))) {
            wait_for_request(connection);
            break;
        }
        end_receipt(connection);
        break;
    case CONNECTION_SUBMITTED:
    case CONNECTION_CLOSING:
        KcCallerConnection_Free(connection);
        break;
    }
}

/* ---- the answer ---------------------------------------------------------- */

/* Prepares the connection for its next request, or closes it. */
static void
finish_answer(KcCallerConnection *connection)
{
    release_body(connection);
    connection->request_head = NULL;
    if (connection->close_after_answer) {
        close_when_sent(connection);
        return;
    }
    wait_for_request(connection);
    if (KcHttpConnection_UnsentBytes(connection->http_connection) <=
        UNSENT_BYTES_MAX) {
        KcHttpConnection_ReadNextMessage(connection->http_connection);
    }
}

/*
 * Decides whether the connection is closed after the answer, as it also is
 * when its idle timeout is too short to be announced in seconds, or how long
 * the caller may leave it idle.
 */
static void
decide_idle_time(KcCallerConnection *connection)
{
    KcTime idle_time = current_limits(connection->front_end)->idle_timeout *
                       IDLE_TIME_PERCENT / 100;

    connection->idle_time = idle_time - idle_time % KC_SECOND;
    connection->close_after_answer = connection->front_end->is_leaving ||
                                     !connection->request_head->keep_alive ||
                                     connection->idle_time == 0;
    if (connection->close_after_answer) {
        connection->idle_time = 0;
    }
}

static void
on_answer_begin(void *caller, const void *head, bool stream)
{
    KcCallerConnection *connection = caller;
    struct evbuffer *out =
        KcHttpConnection_Output(connection->http_connection);

    if (!connection->forward->rule->resumable) {
        release_body(connection); /* no other server gets the request */
    }
    decide_idle_time(connection);
    connection->answer_is_chunked = stream;
    connection->front_end->options.dialect->write_answer_head(
        out, head, connection->idle_time);
    if (stream) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
    }
}

/* Pauses or resumes the answer that has begun, which has the only attempt. */
static void
set_reply_read_paused(KcForward *forward, bool paused)
{
    const KcForwardAttempt *attempt = TAILQ_FIRST(&forward->attempts);

    if (attempt != NULL && forward->read_paused != paused) {
        KcHttpAttempt_SetReadPaused(attempt->handle, paused);
        KcForward_SetReadPaused(forward, paused, KcLoop_Now());
    }
}

static void
on_answer_data(void *caller, KcBytes bytes)
{
    KcCallerConnection *connection = caller;
    struct evbuffer *out =
        KcHttpConnection_Output(connection->http_connection);

    if (!connection->answer_is_chunked) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", bytes.size);
        evbuffer_add(out, bytes.data, bytes.size);
        return;
    }
    if (bytes.size == 0) {
        return; /* an empty chunk would end the answer */
    }
    evbuffer_add_printf(out, "%zx\r\n", bytes.size);
    evbuffer_add(out, bytes.data, bytes.size);
    evbuffer_add(out, "\r\n", 2);
    if (KcHttpConnection_UnsentBytes(connection->http_connection) >
        KcOutputPool_PauseBytes(&connection->front_end->output_pool)) {
        set_reply_read_paused(connection->forward, true);
    }
}

static void
on_output_sent(void *owner)
{
    KcCallerConnection *connection = owner;

    if (connection->state == CONNECTION_IDLE) {
        wait_for_request(connection); /* idle from now on */
        KcHttpConnection_ReadNextMessage(connection->http_connection);
    }
    if (connection->forward != NULL) {
        set_reply_read_paused(connection->forward, false);
    }
}

static void
on_answer_end(void *caller)
{
    KcCallerConnection *connection = caller;

    connection->forward = NULL;
    if (connection->answer_is_chunked) {
        evbuffer_add(KcHttpConnection_Output(connection->http_connection),
                     "0\r\n\r\n", 5);
    }
    finish_answer(connection);
}

/*
 * Handles an answer that ends early. The last chunk is left out, so that the
 * caller sees that the answer is incomplete.
 */
static void
on_answer_broken(void *caller, const KcError *error)
{
    KcCallerConnection *connection = caller;

    (void)error;
    connection->forward = NULL;
    connection->close_after_answer = true;
    finish_answer(connection);
}

/* Logs a request that was refused before the gateway took it. */
static void
log_refusal(const KcCallerConnection *connection, const KcError *error)
{
    const KcRouting *routing =
        KcGateway_GetRouting(connection->front_end->options.gateway);
    KcLogFields fields = {.caller_request_id = connection->request_id,
                          .generation = routing != NULL ? routing->version : 0,
                          .peer = error->peer,
                          .step = error->step,
                          .code = error->code};

    KcLog_Write(KC_LOG_INFO, &fields, "not run, as it was not taken");
}

static void
on_refused(void *caller, const KcForwardRefusal *refusal)
{
    KcCallerConnection *connection = caller;

    if (connection->forward == NULL) {
        log_refusal(connection, &refusal->error);
    }
    connection->forward = NULL;
    decide_idle_time(connection);
    write_refusal(connection, refusal, connection->idle_time);
    finish_answer(connection);
}

static const KcForwardOps forward_ops = {on_answer_begin, on_answer_data,
                                         on_answer_end, on_answer_broken,
                                         on_refused};

/* ---- the request --------------------------------------------------------- */

static void
on_message_begin(void *owner)
{
    KcCallerConnection *connection = owner;

    connection->state = CONNECTION_READING_HEAD;
    take_limits(connection);
    limit_receipt(connection);
    start_receipt_timer(connection, connection->limits.header_timeout);
}

/* Begins a body; refuses the request when there is no memory for it. */
static void
begin_body(KcCallerConnection *connection, const KcHttpMessage *message)
{
    connection->request_body = KcRequestBody_Create(
        connection->front_end->options.request_pool, message->head_bytes,
        (size_t)message->content_length);
    if (connection->request_body == NULL) {
        refuse_for_memory(connection, (size_t)message->content_length);
        return;
    }
    if (KcHttpMessage_FieldHasToken(message, "Expect", "100-continue")) {
        evbuffer_add_printf(
            KcHttpConnection_Output(connection->http_connection),
            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    connection->state = CONNECTION_READING_BODY;
    start_receipt_timer(connection, connection->limits.idle_timeout);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    KcCallerConnection *connection = owner;
    const char *host = KcHttpMessage_FindField(message, "Host");

    connection->request_head = message;
    if (!is_admitted(connection)) {
        KcCounters_Add(connection->front_end->options.counters,
                       KC_COUNT_EXCESS_CALLERS, 1);
        refuse_early(connection, KC_ERR_BUSY, "connections");
        return;
    }
    if (message->is_before_http_1_1 || host == NULL || host[0] == '\0') {
        refuse_early(connection, KC_ERR_PARSE, "Host");
        return;
    }
    if (message->has_content_length &&
        message->content_length > connection->limits.body_bytes_max) {
        refuse_early(connection, KC_ERR_TOO_LARGE, "body");
        return;
    }
    begin_body(connection, message);
}

static void
on_body(void *owner, KcBytes bytes)
{
    KcCallerConnection *connection = owner;

    if (connection->state == CONNECTION_CLOSING) {
        return;
    }
    if (KcRequestBody_Size(connection->request_body) + bytes.size >
        connection->limits.body_bytes_max) {
        refuse_early(connection, KC_ERR_TOO_LARGE, "body");
        return;
    }
    if (KcRequestBody_Append(connection->request_body, bytes) != 0) {
        refuse_for_memory(connection,
                          KcRequestBody_Size(connection->request_body) +
                              bytes.size);
        return;
    }
    start_receipt_timer(connection, connection->limits.idle_timeout);
}

static void
on_message_end(void *owner)
{
    KcCallerConnection *connection = owner;
    KcGatewayFrontEnd *front_end = connection->front_end;
    KcForwardCall call;
    KcCallNames names;
    KcForwardRefusal refusal = {.retry_after = 0};

    if (connection->state == CONNECTION_CLOSING) {
        return;
    }
    connection->state = CONNECTION_SUBMITTED;
    KcTimers_Clear(front_end->options.loop->timers, &connection->timer);
    memset(&call, 0, sizeof(call));
    if (front_end->options.dialect->parse_caller_request(
            connection->request_head, &call, &names, &refusal.error) != 0) {
        connection->request_id = call.id;
        on_refused(connection, &refusal);
        return;
    }
    connection->request_id = call.id;
    KcGateway_Submit(front_end->options.gateway, &call, &forward_ops,
                     connection, &connection->forward, KcLoop_Now());
}

static const KcHttpConnectionOps connection_ops = {
    .on_message_begin = on_message_begin,
    .on_head = on_head,
    .on_body = on_body,
    .on_message_end = on_message_end,
    .on_failed = on_failed,
    .on_output_sent = on_output_sent};

/* ---- begin, planned stop -------------------------------------------------- */

void
KcCallerConnection_Accept(KcGatewayFrontEnd *front_end, evutil_socket_t fd)
{
    KcHttpConnectionOptions options = {
        .loop = front_end->options.loop,
        .ops = &connection_ops,
        .head_bytes_max = current_limits(front_end)->header_bytes_max,
        .input_pool = front_end->options.request_pool,
        .silence_timeout = front_end->options.silence_timeout,
        .stall_timeout = front_end->options.stall_timeout};
    KcCallerConnection *connection = KcMem_New(sizeof(*connection));

    options.owner = connection;
    connection->front_end = front_end;
    connection->http_connection = KcHttpConnection_Accept(&options, fd);
    if (connection->http_connection == NULL) {
        free(connection);
        return;
    }
    evbuffer_add_cb(KcHttpConnection_Output(connection->http_connection),
                    on_output_changed, connection);
    KcTimer_Init(&connection->timer, on_timer, connection);
    TAILQ_INSERT_TAIL(&front_end->connections, connection, link);
    connection->is_admitted =
        KcConnectionLimit_Add(&front_end->connection_limit);
    wait_for_request(connection);
}

void
KcCallerConnection_Drain(KcCallerConnection *connection)
{
    if (connection->state == CONNECTION_IDLE) {
        wait_for_request(connection);
    }
    else if (connection->state < CONNECTION_SUBMITTED) {
        limit_receipt(connection);
        if (connection->timer.due_at > connection->receive_until) {
            KcTimers_Set(connection->front_end->options.loop->timers,
                         &connection->timer, connection->receive_until);
        }
    }
}

void
KcCallerConnection_EndIntake(KcCallerConnection *connection)
{
    if (KcHttpConnection_UnsentBytes(connection->http_connection) > 0) {
        KcHttpConnection_SetReadPaused(connection->http_connection, true);
    }
    else if (connection->state < CONNECTION_SUBMITTED &&
             KcHttpConnection_UnreadBytes(connection->http_connection) == 0) {
        end_receipt(connection);
    }
}

bool
KcCallerConnection_IsQuiet(const KcCallerConnection *connection)
{
    return connection->state == CONNECTION_IDLE &&
           KcHttpConnection_UnsentBytes(connection->http_connection) == 0;
}
