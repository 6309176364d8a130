/*
 * One sending of a caller's request to a backend server.
 */
#include "sending.h"

#include <stdlib.h>
#include <string.h>

#include "event_stream.h"

/* A kept connection is used again only this long after its last answer,
 * where the server does not say how long it keeps it. */
#define KEEP_UNTOLD (400 * KC_MS)
/* Part of the time that a server says it keeps an idle connection. */
#define KEEP_PERCENT 50
/* For requests that may not be repeated: a connection used so recently has
 * not been closed by an idle timeout. */
#define KEEP_FRESH (50 * KC_MS)
/* Answers to earlier requests that are passed over on one connection. */
#define FOREIGN_MAX 4

struct KcSending {
    KcRetired retired;
    KcSendingOptions options;
    KcForward *forward;
    KcSend send;
    KcHttpPeer *peer;
    KcTimer timer; /* for connecting */
    bool written;  /* the request has been given to the connection */
    bool foreign;  /* the present answer belongs to another request */
    uint32_t foreign_count;
    bool over;
    const KcHttpMessage *head; /* of the answer */
    KcReplyHead reply;
    KcBuffer body;
    KcEventStream events;
};

static void
take_down(KcRetired *retired)
{
    KcSending *sending = (KcSending *)retired;

    KcBuffer_Clear(&sending->body);
    KcEventStream_Clear(&sending->events);
    free(sending);
}

/* Nothing is reported any more; the memory stays for this round. */
static void
finish(KcSending *sending)
{
    sending->over = true;
    KcTimers_Clear(sending->options.loop->timers, &sending->timer);
    KcLoop_Retire(sending->options.loop, &sending->retired);
}

void
KcSending_Cancel(KcSending *sending)
{
    if (sending->over) {
        return;
    }
    KcHttpPeer_Reset(sending->peer);
    finish(sending);
}

void
KcSending_Throttle(KcSending *sending, bool paused)
{
    if (!sending->over) {
        KcHttpPeer_Pause(sending->peer, paused);
    }
}

/* The connection is of no more use. */
static void
fail(KcSending *sending, KcAttemptEnd end, int code)
{
    KcForward *forward = sending->forward;

    KcHttpPeer_Close(sending->peer);
    finish(sending);
    KcForward_OnFailed(forward, end, code, KcLoop_Now());
}

/* ---- the answer ---------------------------------------------------------- */

static void
on_head(void *owner, const KcHttpMessage *message)
{
    KcSending *sending = owner;
    KcReplyHead *reply = &sending->reply;
    KcReply begin = {.status = message->status, .head = message};
    KcTime now = KcLoop_Now();

    sending->options.dialect->read_reply(message, sending->forward->id, reply);
    sending->foreign = message->status < 200 || !reply->ours;
    if (sending->foreign) {
        return;
    }
    sending->head = message;
    if (reply->has_load) {
        KcGateway_OnLoad(sending->send.server, reply->running, reply->waiting,
                         reply->places, now);
    }
    if (reply->unusable) {
        fail(sending, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL);
        return;
    }
    if (reply->stream) {
        KcForward_OnBegin(sending->forward, &begin, now);
    }
}

static void
pass_events(KcSending *sending)
{
    KcStreamEvent event;
    int code = 0;

    while (!sending->over &&
           (code = KcEventStream_Take(&sending->events, &event)) > 0) {
        KcForward_OnEvent(sending->forward, event.has_id, event.id,
                          event.bytes, KcLoop_Now());
    }
    if (!sending->over && code < 0) {
        fail(sending, KC_ATTEMPT_LOST, code);
    }
}

static void
on_body(void *owner, KcBytes bytes)
{
    KcSending *sending = owner;

    if (sending->foreign) {
        return;
    }
    if (sending->reply.stream) {
        KcEventStream_Add(&sending->events, bytes);
        pass_events(sending);
        return;
    }
    KcBuffer_Append(&sending->body, bytes.data, bytes.size);
    if (KcBuffer_Size(&sending->body) > sending->options.reply_max) {
        fail(sending, KC_ATTEMPT_LOST, KC_ERR_TOO_LARGE);
    }
}

/* Keeps the connection for another request, or closes it. */
static void
give_back(KcSending *sending)
{
    KcTime keep = sending->reply.keep > 0
                      ? sending->reply.keep * KEEP_PERCENT / 100
                      : KEEP_UNTOLD;

    if (sending->head->keep_alive) {
        KcHttpPool_Put(sending->options.pool, sending->peer, keep);
    }
    else {
        KcHttpPeer_Close(sending->peer);
    }
}

static void
end_stream(KcSending *sending)
{
    KcForward *forward = sending->forward;

    if (KcEventStream_Rest(&sending->events) > 0) {
        fail(sending, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL);
        return;
    }
    finish(sending);
    give_back(sending);
    KcForward_OnEnd(forward, KcLoop_Now());
}

static void
on_end(void *owner)
{
    KcSending *sending = owner;
    KcForward *forward = sending->forward;
    KcReply reply = {.head = sending->head};

    if (sending->foreign) {
        /* A late answer to an earlier request, or an interim one. */
        if (++sending->foreign_count > FOREIGN_MAX) {
            fail(sending, KC_ATTEMPT_LOST, KC_ERR_PROTOCOL);
            return;
        }
        KcHttpPeer_Next(sending->peer);
        return;
    }
    if (sending->reply.stream) {
        end_stream(sending);
        return;
    }
    reply.status = sending->head->status;
    reply.not_run = sending->reply.not_run;
    reply.other_server = sending->reply.other_server;
    reply.body = (KcBytes){KcBuffer_Data(&sending->body),
                           KcBuffer_Size(&sending->body)};
    finish(sending);
    give_back(sending);
    KcForward_OnReply(forward, &reply, KcLoop_Now());
}

static void
on_failed(void *owner, int code)
{
    KcSending *sending = owner;

    fail(sending, sending->written ? KC_ATTEMPT_LOST : KC_ATTEMPT_NEVER_SENT,
         code);
}

/* ---- the request --------------------------------------------------------- */

static void
write_request(KcSending *sending)
{
    struct evbuffer *out = KcHttpPeer_Output(sending->peer);
    const KcSendingOptions *options = &sending->options;
    KcSend send = sending->send;

    sending->written = true;
    send.left = sending->forward->give_up - KcLoop_Now();
    if (strcmp(options->message->method, "HEAD") == 0) {
        KcHttpPeer_ExpectNoBody(sending->peer);
    }
    options->dialect->write_request(out, options->message, options->body.size,
                                    &send);
    evbuffer_add(out, options->body.data, options->body.size);
}

static void
on_connected(void *owner)
{
    KcSending *sending = owner;

    KcTimers_Clear(sending->options.loop->timers, &sending->timer);
    write_request(sending);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    fail(timer->owner, KC_ATTEMPT_NEVER_SENT, KC_ERR_LOST);
}

static const KcHttpPeerOps peer_ops = {.connected = on_connected,
                                       .head = on_head,
                                       .body = on_body,
                                       .end = on_end,
                                       .failed = on_failed};

static KcHttpPeer *
connect_server(KcSending *sending)
{
    const KcSendingOptions *options = &sending->options;
    KcHttpPeerOptions peer = {.loop = options->loop,
                              .ops = &peer_ops,
                              .owner = sending,
                              .header_max = options->header_max,
                              .silence = options->silence};

    KcTimers_Set(options->loop->timers, &sending->timer,
                 KcLoop_Now() + options->connect_timeout);
    return KcHttpPeer_Connect(&peer, sending->send.server->address);
}

KcSending *
KcSending_Start(const KcSendingOptions *options, KcForward *forward,
                const KcSend *send)
{
    KcSending *sending = KcMem_New(sizeof(*sending));

    sending->options = *options;
    sending->forward = forward;
    sending->send = *send;
    sending->retired.take_down = take_down;
    KcTimer_Init(&sending->timer, on_timer, sending);
    sending->peer =
        KcHttpPool_Take(options->pool, send->fresh ? KEEP_FRESH : KC_NEVER);
    if (sending->peer != NULL) {
        KcHttpPeer_SetOwner(sending->peer, &peer_ops, sending);
        write_request(sending);
        return sending;
    }
    sending->peer = connect_server(sending);
    if (sending->peer == NULL) {
        finish(sending);
        return NULL;
    }
    return sending;
}
