/*
 * One HTTP/1.1 connection.
 *
 * http_parser is strict on lengths and chunks; what it lets pass is checked
 * here: names and values of headers, a second Host, encodings other than
 * chunked.
 */
#include "http_peer.h"

#include <event2/bufferevent.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "socket.h"

/* Bytes read ahead of what was parsed, while a request is being served. */
#define READ_AHEAD 65536

/* Where a header lies in the text of the head. */
typedef struct FieldPlace {
    size_t name;
    size_t value;
} FieldPlace;

struct KcHttpPeer {
    KcRetired retired;
    KcHttpPeerOptions options;
    struct bufferevent *bev;
    http_parser parser;
    KcBuffer text; /* target, names and values, each with its NUL */
    FieldPlace places[KC_HTTP_FIELDS_MAX];
    size_t field_count;
    bool in_value; /* the last header callback was for a value */
    size_t target;
    size_t head_size;
    KcHttpMessage message;
    int error;    /* why the parser was stopped by a callback */
    bool started; /* bytes of a message have arrived */
    bool ended;   /* a message has ended; KcHttpPeer_Next() is awaited */
    bool no_body; /* the next response has none */
    bool reading; /* within read_input() */
    bool closed;  /* freed when nothing of it is on the stack */
    bool paused;
    bool close_when_sent;
    bool ended_by_peer; /* the peer sent its end of stream */
};

/* ---- parser callbacks ---------------------------------------------------- */

/* Stops the parser with an error of ours. */
static int
stop(KcHttpPeer *peer, int code)
{
    peer->error = code;
    return 1;
}

/* Counts bytes of the head; a NUL in it is never valid. */
static int
count_head(KcHttpPeer *peer, const char *at, size_t size)
{
    peer->head_size += size;
    if (peer->head_size > peer->options.header_max) {
        return stop(peer, KC_ERR_TOO_LARGE);
    }
    if (memchr(at, '\0', size) != NULL) {
        return stop(peer, KC_ERR_PARSE);
    }
    return 0;
}

static int
on_message_begin(http_parser *parser)
{
    KcHttpPeer *peer = parser->data;

    KcBuffer_Drop(&peer->text, KcBuffer_Size(&peer->text));
    peer->field_count = 0;
    peer->in_value = false;
    peer->head_size = 0;
    peer->started = true;
    if (peer->options.ops->begins != NULL) {
        peer->options.ops->begins(peer->options.owner);
    }
    return peer->closed ? 1 : 0;
}

static int
on_url(http_parser *parser, const char *at, size_t size)
{
    KcHttpPeer *peer = parser->data;

    if (count_head(peer, at, size) != 0) {
        return 1;
    }
    KcBuffer_Append(&peer->text, at, size);
    return 0;
}

static int
on_field(http_parser *parser, const char *at, size_t size)
{
    KcHttpPeer *peer = parser->data;

    if (count_head(peer, at, size) != 0) {
        return 1;
    }
    if (peer->in_value || peer->field_count == 0) {
        if (peer->field_count == KC_HTTP_FIELDS_MAX) {
            return stop(peer, KC_ERR_TOO_LARGE);
        }
        KcBuffer_Append(&peer->text, "", 1);
        peer->places[peer->field_count++] =
            (FieldPlace){KcBuffer_Size(&peer->text), 0};
        peer->in_value = false;
    }
    KcBuffer_Append(&peer->text, at, size);
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t size)
{
    KcHttpPeer *peer = parser->data;

    if (count_head(peer, at, size) != 0 || peer->field_count == 0) {
        return 1;
    }
    if (!peer->in_value) {
        KcBuffer_Append(&peer->text, "", 1);
        peer->places[peer->field_count - 1].value = KcBuffer_Size(&peer->text);
        peer->in_value = true;
    }
    KcBuffer_Append(&peer->text, at, size);
    return 0;
}

/* Fills in the message from the text of its head.  Returns 0 or an error. */
static int
build_message(KcHttpPeer *peer)
{
    KcHttpMessage *message = &peer->message;
    const char *text;
    int hosts = 0;

    KcBuffer_Append(&peer->text, "", 1);
    text = KcBuffer_Data(&peer->text);
    memset(message, 0, offsetof(KcHttpMessage, fields));
    message->field_count = peer->field_count;
    message->target = text;
    message->head_size = peer->head_size;
    for (size_t i = 0; i < peer->field_count; i++) {
        KcHttpField *field = &message->fields[i];

        field->name = text + peer->places[i].name;
        field->value =
            peer->places[i].value != 0 ? text + peer->places[i].value : "";
        if (!KcHttpField_IsValid(field)) {
            return KC_ERR_PARSE;
        }
        hosts += strcasecmp(field->name, "Host") == 0 ? 1 : 0;
        if (strcasecmp(field->name, "Transfer-Encoding") == 0 &&
            strcasecmp(field->value, "chunked") != 0) {
            return KC_ERR_PARSE;
        }
    }
    if (peer->parser.type == HTTP_REQUEST && hosts > 1) {
        return KC_ERR_PARSE;
    }
    return 0;
}

/* What the parser takes from on_headers_complete(). */
#define HEADERS_STOP (-1)
#define HEADERS_NO_BODY 1

static int
on_headers_complete(http_parser *parser)
{
    KcHttpPeer *peer = parser->data;
    KcHttpMessage *message = &peer->message;
    int code = build_message(peer);

    if (code != 0) {
        peer->error = code;
        return HEADERS_STOP;
    }
    message->old = parser->http_major < 1 ||
                   (parser->http_major == 1 && parser->http_minor < 1);
    message->keep_alive = http_should_keep_alive(parser) != 0;
    message->chunked = (parser->flags & F_CHUNKED) != 0;
    message->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    message->length = message->has_length ? parser->content_length : 0;
    if (parser->type == HTTP_REQUEST) {
        message->method = http_method_str((enum http_method)parser->method);
        if (parser->upgrade) {
            peer->error = KC_ERR_PARSE; /* no other protocol is spoken */
            return HEADERS_STOP;
        }
    }
    else {
        message->status = parser->status_code;
    }
    peer->options.ops->head(peer->options.owner, message);
    if (peer->closed) {
        return HEADERS_STOP;
    }
    return peer->no_body ? HEADERS_NO_BODY : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t size)
{
    KcHttpPeer *peer = parser->data;

    peer->options.ops->body(peer->options.owner, (KcBytes){at, size});
    return peer->closed ? 1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    KcHttpPeer *peer = parser->data;

    peer->ended = true;
    peer->no_body = false;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* ---- reading ------------------------------------------------------------- */

static void
take_down(KcRetired *retired)
{
    KcHttpPeer *peer = (KcHttpPeer *)retired;

    KcBuffer_Clear(&peer->text);
    free(peer);
}

void
KcHttpPeer_Close(KcHttpPeer *peer)
{
    if (peer->closed) {
        return;
    }
    peer->closed = true;
    bufferevent_free(peer->bev);
    peer->bev = NULL;
    KcLoop_Retire(peer->options.loop, &peer->retired);
}

void
KcHttpPeer_Reset(KcHttpPeer *peer)
{
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};

    if (!peer->closed) {
        setsockopt(bufferevent_getfd(peer->bev), SOL_SOCKET, SO_LINGER,
                   &at_once, sizeof(at_once));
        KcHttpPeer_Close(peer);
    }
}

static void
fail(KcHttpPeer *peer, int code)
{
    if (!peer->closed) {
        peer->options.ops->failed(peer->options.owner, code);
    }
}

/* Parses one contiguous piece.  False when no more may be parsed now. */
static bool
parse_piece(KcHttpPeer *peer, struct evbuffer *input)
{
    struct evbuffer_iovec piece;
    enum http_errno number;
    size_t used;

    if (evbuffer_peek(input, -1, NULL, &piece, 1) < 1 || piece.iov_len == 0) {
        return false;
    }
    used = http_parser_execute(&peer->parser, &parser_settings, piece.iov_base,
                               piece.iov_len);
    if (peer->closed) {
        return false;
    }
    number = HTTP_PARSER_ERRNO(&peer->parser);
    evbuffer_drain(input, used);
    if (number == HPE_PAUSED) {
        peer->options.ops->end(peer->options.owner);
        return false;
    }
    if (number != HPE_OK) {
        fail(peer, peer->error != 0 ? peer->error : KC_ERR_PARSE);
        return false;
    }
    return true;
}

static void
read_input(KcHttpPeer *peer)
{
    if (peer->reading || peer->closed) {
        return;
    }
    peer->reading = true;
    while (!peer->closed && !peer->ended && !peer->paused &&
           !peer->close_when_sent &&
           parse_piece(peer, bufferevent_get_input(peer->bev))) {
        continue;
    }
    peer->reading = false;
}

static void
on_read(struct bufferevent *bev, void *context)
{
    KcHttpPeer *peer = context;

    (void)bev;
    if (peer->ended) {
        /* Bytes after a message: the owner decides what they are. */
        if (peer->parser.type == HTTP_RESPONSE) {
            fail(peer, KC_ERR_PROTOCOL);
        }
        return;
    }
    read_input(peer);
}

static void
on_write(struct bufferevent *bev, void *context)
{
    KcHttpPeer *peer = context;

    (void)bev;
    if (peer->close_when_sent) {
        fail(peer, KC_ERR_LOST);
        KcHttpPeer_Close(peer);
    }
    else if (peer->options.ops->drained != NULL) {
        peer->options.ops->drained(peer->options.owner);
    }
}

/* The peer ended its stream in good order: a response without a length may
 * be whole by that. */
static void
on_end_of_stream(KcHttpPeer *peer)
{
    peer->ended_by_peer = true;
    read_input(peer);
    if (!peer->closed && !peer->ended && peer->started) {
        http_parser_execute(&peer->parser, &parser_settings, NULL, 0);
        if (!peer->closed && peer->ended) {
            peer->message.keep_alive = false;
            peer->options.ops->end(peer->options.owner);
            return;
        }
    }
    fail(peer, KC_ERR_LOST);
}

static void
on_event(struct bufferevent *bev, short events, void *context)
{
    KcHttpPeer *peer = context;

    (void)bev;
    if (events & BEV_EVENT_CONNECTED) {
        if (peer->options.ops->connected != NULL) {
            peer->options.ops->connected(peer->options.owner);
        }
    }
    else if ((events & BEV_EVENT_EOF) && !(events & BEV_EVENT_ERROR)) {
        on_end_of_stream(peer);
    }
    else {
        fail(peer, KC_ERR_LOST);
    }
}

/* ---- life ---------------------------------------------------------------- */

static KcHttpPeer *
create(const KcHttpPeerOptions *options, evutil_socket_t fd,
       enum http_parser_type type)
{
    KcHttpPeer *peer = KcMem_New(sizeof(*peer));

    peer->options = *options;
    peer->retired.take_down = take_down;
    peer->bev =
        bufferevent_socket_new(options->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (peer->bev == NULL) {
        free(peer);
        return NULL;
    }
    http_parser_init(&peer->parser, type);
    peer->parser.data = peer;
    bufferevent_setcb(peer->bev, on_read, on_write, on_event, peer);
    bufferevent_setwatermark(peer->bev, EV_READ, 0, READ_AHEAD);
    return peer;
}

KcHttpPeer *
KcHttpPeer_Accept(const KcHttpPeerOptions *options, evutil_socket_t fd)
{
    KcHttpPeer *peer = create(options, fd, HTTP_REQUEST);

    if (peer == NULL) {
        evutil_closesocket(fd);
        return NULL;
    }
    KcSocket_Prepare(fd, options->silence);
    bufferevent_enable(peer->bev, EV_READ | EV_WRITE);
    return peer;
}

KcHttpPeer *
KcHttpPeer_Connect(const KcHttpPeerOptions *options, const char *address)
{
    struct sockaddr_storage to;
    int size = sizeof(to);
    evutil_socket_t fd;
    KcHttpPeer *peer;

    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&to, &size) !=
        0) {
        return NULL;
    }
    fd = socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    peer = create(options, fd, HTTP_RESPONSE);
    if (peer == NULL) {
        evutil_closesocket(fd);
        return NULL;
    }
    KcSocket_Prepare(fd, options->silence);
    bufferevent_enable(peer->bev, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(peer->bev, (struct sockaddr *)&to, size) !=
        0) {
        KcHttpPeer_Close(peer);
        return NULL;
    }
    return peer;
}

void
KcHttpPeer_CloseWhenSent(KcHttpPeer *peer)
{
    if (KcHttpPeer_Pending(peer) == 0) {
        fail(peer, KC_ERR_LOST);
        KcHttpPeer_Close(peer);
        return;
    }
    peer->close_when_sent = true;
    bufferevent_disable(peer->bev, EV_READ);
}

void
KcHttpPeer_Next(KcHttpPeer *peer)
{
    if (peer->closed || !peer->ended) {
        return;
    }
    peer->ended = false;
    peer->started = false;
    http_parser_init(&peer->parser, (enum http_parser_type)peer->parser.type);
    peer->parser.data = peer;
    if (KcHttpPeer_Unread(peer) > 0) {
        /* From the loop, so that a row of requests is no recursion. */
        bufferevent_trigger(peer->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
}

void
KcHttpPeer_ExpectNoBody(KcHttpPeer *peer)
{
    peer->no_body = true;
}

void
KcHttpPeer_SetOwner(KcHttpPeer *peer, const KcHttpPeerOps *ops, void *owner)
{
    peer->options.ops = ops;
    peer->options.owner = owner;
}

struct evbuffer *
KcHttpPeer_Output(KcHttpPeer *peer)
{
    return bufferevent_get_output(peer->bev);
}

size_t
KcHttpPeer_Pending(const KcHttpPeer *peer)
{
    return evbuffer_get_length(bufferevent_get_output(peer->bev));
}

size_t
KcHttpPeer_Unread(const KcHttpPeer *peer)
{
    return evbuffer_get_length(bufferevent_get_input(peer->bev));
}

void
KcHttpPeer_Pause(KcHttpPeer *peer, bool paused)
{
    if (peer->closed || peer->paused == paused) {
        return;
    }
    peer->paused = paused;
    if (paused) {
        bufferevent_disable(peer->bev, EV_READ);
    }
    else {
        bufferevent_enable(peer->bev, EV_READ);
        bufferevent_trigger(peer->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
}
