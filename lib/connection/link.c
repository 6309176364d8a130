/*
 * Links: opening and closing streams, and checking which side sends which
 * message, on which stream, in which order.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "message_table_internal.h"

void
KcMsg_InitHello(KcMsg *msg, const char *name, uint64_t incarnation)
{
    memset(msg, 0, sizeof(*msg));
    msg->type = KC_MSG_HELLO;
    KcText_Copy(msg->u.hello.name, name, KC_NAME_MAX);
    msg->u.hello.incarnation = incarnation;
    msg->u.hello.protocol_version = KC_PROTOCOL_VERSION;
}

KcLink *
KcLink_Create(const KcLinkOps *ops, void *transport, bool initiator,
              KcTime now)
{
    KcLink *link = KcMem_New(sizeof(*link));

    link->ops = ops;
    link->transport = transport;
    link->initiator = initiator;
    link->became_idle_at = now;
    link->last_received_at = now;
    TAILQ_INIT(&link->stream_list);
    return link;
}

static void
free_stream(KcStream *stream)
{
    KcLink *link = stream->parent;

    HASH_DEL(link->streams, stream);
    TAILQ_REMOVE(&link->stream_list, stream, link);
    free(stream);
}

void
KcLink_Free(KcLink *link)
{
    KcStream *stream;

    while ((stream = TAILQ_FIRST(&link->stream_list)) != NULL) {
        assert(stream->owner == NULL);
        free_stream(stream);
    }
    free(link);
}

static KcStream *
add_stream(KcLink *link, uint32_t id, void *owner, uint64_t next_offset)
{
    KcStream *stream = KcMem_New(sizeof(*stream));

    assert(id > link->last_stream_id);
    link->last_stream_id = id;
    stream->id = id;
    stream->parent = link;
    stream->owner = owner;
    stream->next_offset = next_offset;
    HASH_ADD(hh, link->streams, id, sizeof(stream->id), stream);
    TAILQ_INSERT_TAIL(&link->stream_list, stream, link);
    return stream;
}

KcStream *
KcLink_OpenStream(KcLink *link, void *owner, uint64_t next_offset)
{
    assert(link->initiator);
    return add_stream(link, link->last_stream_id + 1, owner, next_offset);
}

void
KcLink_CloseStream(KcStream *stream, KcTime now)
{
    KcLink *link = stream->parent;

    free_stream(stream);
    if (TAILQ_EMPTY(&link->stream_list)) {
        link->became_idle_at = now;
    }
}

void
KcLink_Send(KcLink *link, KcMsg *msg)
{
    if (link->stamp != NULL) {
        link->stamp(link->stamp_context, msg);
    }
    link->ops->send(link->transport, msg);
}

static int
set_protocol_error(const KcLink *link, KcError *err, const char *step)
{
    return KcError_Set(err, KC_ERR_PROTOCOL, step, link->peer_name);
}

/* Handles the peer's HELLO, which it sends once, before any other message. */
static int
receive_hello(KcLink *link, const KcMsg *msg, KcError *err)
{
    const KcMsgHello *hello = &msg->u.hello;

    if (link->hello_received || msg->stream_id != 0) {
        return set_protocol_error(link, err, "hello twice");
    }
    if (hello->protocol_version != KC_PROTOCOL_VERSION) {
        return set_protocol_error(link, err, "protocol version");
    }
    if (KcName_Check(hello->name) != 0) {
        return set_protocol_error(link, err, "peer name");
    }
    KcText_Copy(link->peer_name, hello->name, KC_NAME_MAX);
    link->peer_incarnation = hello->incarnation;
    link->hello_received = true;
    return 0;
}

/* Opens the stream of a PROPOSE or RESUME, which must not follow LEAVING. */
static int
receive_stream_open(KcLink *link, const KcMsg *msg, KcStream **stream,
                    KcError *err)
{
    if (link->initiator) {
        return set_protocol_error(link, err, "stream opened by acceptor");
    }
    if (link->peer_leaving) {
        return set_protocol_error(link, err, "stream opened after leaving");
    }
    if (msg->stream_id <= link->last_stream_id) {
        return set_protocol_error(link, err, "stream id not increasing");
    }
    *stream = add_stream(link, msg->stream_id, NULL, 0);
    return 0;
}

/* Checks the order of the agent's messages within one stream. */
static int
receive_answer(KcLink *link, const KcMsg *msg, KcStream *stream, KcError *err)
{
    if (stream->ended) {
        return set_protocol_error(link, err,
                                  "message after the end of a stream");
    }
    if (msg->type == KC_MSG_DATA) {
        if (msg->u.data.offset != stream->next_offset) {
            return set_protocol_error(link, err, "data out of order");
        }
        stream->next_offset += msg->u.data.bytes.size;
    }
    if (msg->type == KC_MSG_END && msg->u.end.code == 0 &&
        msg->u.end.offset != stream->next_offset) {
        return set_protocol_error(link, err, "end before the last byte");
    }
    stream->ended = msg->type == KC_MSG_END || msg->type == KC_MSG_REFUSE;
    return 0;
}

/* Finds the stream of a message that doesn't open one; NULL when it has been
 * closed. */
static int
receive_on_stream(KcLink *link, const KcMsg *msg, KcStream **stream,
                  KcError *err)
{
    bool from_initiator = KcMsg_Layouts[msg->type].rule == KC_RULE_INITIATOR;

    if (from_initiator == link->initiator) {
        return set_protocol_error(link, err, "message from the wrong side");
    }
    if (msg->stream_id == 0 || msg->stream_id > link->last_stream_id) {
        return set_protocol_error(link, err, "message on an unopened stream");
    }
    HASH_FIND(hh, link->streams, &msg->stream_id, sizeof(msg->stream_id),
              *stream);
    if (*stream == NULL || from_initiator) {
        return 0;
    }
    return receive_answer(link, msg, *stream, err);
}

/* Notes what any message tells of the peer. */
static void
note_message(KcLink *link, const KcMsg *msg, KcTime now)
{
    link->last_received_at = now;
    if (msg->generation > link->peer_generation) {
        link->peer_generation = msg->generation;
    }
}

int
KcLink_Skip(KcLink *link, const KcMsg *msg, bool *is_first, KcTime now,
            KcError *err)
{
    if (!link->hello_received) {
        return set_protocol_error(link, err, "message before hello");
    }
    note_message(link, msg, now);
    *is_first = !link->has_skipped;
    link->has_skipped = true;
    return 0;
}

int
KcLink_Receive(KcLink *link, const KcMsg *msg, KcStream **stream, KcTime now,
               KcError *err)
{
    *stream = NULL;
    note_message(link, msg, now);
    if (msg->type == KC_MSG_HELLO) {
        return receive_hello(link, msg, err);
    }
    if (!link->hello_received) {
        return set_protocol_error(link, err, "message before hello");
    }
    switch (KcMsg_Layouts[msg->type].rule) {
    case KC_RULE_OPENS_STREAM:
        return receive_stream_open(link, msg, stream, err);
    case KC_RULE_INITIATOR:
    case KC_RULE_ACCEPTOR:
        return receive_on_stream(link, msg, stream, err);
    case KC_RULE_CONNECTION:
        break;
    }
    if (msg->stream_id != 0) {
        return set_protocol_error(link, err, "stream not zero");
    }
    link->peer_leaving = link->peer_leaving || msg->type == KC_MSG_LEAVING;
    return 0;
}
