/*
 * One HTTP/1.1 connection over a bufferevent and http_parser.
 *
 * http_parser checks lengths and chunks strictly. Invalid or ambiguous input
 * that it lets pass is rejected here: characters of header names and values, a
 * second Host header, transfer encodings other than chunked, statuses out of
 * their range.
 */
#include "http_connection.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "leave_watch.h"
#include "lingering_close.h"
#include "output_watch.h"
#include "socket.h"

/*
 * Received bytes that are buffered at most while parsing is stopped, as during
 * the handling of a request.
 */
#define READ_AHEAD_BYTES_MAX 16384

/*
 * Bytes of framing that a response may have for each byte of its body: enough
 * for chunks of a single byte.
 */
#define FRAMING_BYTES_PER_BODY_BYTE 8

/* Offsets in head_text of one header; value is 0 when the header has none. */
typedef struct FieldOffsets {
    size_t name;
    size_t value;
} FieldOffsets;

struct KcHttpConnection {
    KcDeferredFree deferred_free;
    KcHttpConnectionOptions options;
    struct bufferevent *bev;
    http_parser parser;
    KcBuffer head_text; /* target or reason phrase, names and values, each
                           NUL-terminated */
    FieldOffsets field_offsets[KC_HTTP_MESSAGE_FIELDS_MAX];
    size_t field_count;
    bool in_field_value; /* the parser reports a value, not a name */
    bool head_complete;  /* fields of a trailer follow, which are dropped */
    size_t target;       /* unused */
    size_t head_bytes;
    size_t parsed_bytes; /* for the present owner */
    size_t body_bytes;   /* of these */
    KcHttpMessage message;
    int callback_error;   /* KcErrorCode of the callback that failed, or 0 */
    bool message_started; /* a byte of the current message has been parsed */
    bool message_ended;   /* no parsing until ReadNextMessage() is called */
    bool expect_no_body;  /* the owner's request is HEAD */
    bool is_parsing;      /* parse_input() is on the stack */
    bool is_closed; /* freed by the loop when its callbacks have returned */
    bool read_paused;
    bool was_refused;     /* see KcHttpConnection_WasRefused() */
    bool close_when_sent; /* the connection belongs to closing */
    KcLingeringClose closing;
    KcOutputWatch output_watch;
    KcLeaveWatch leave_watch;    /* of an accepted connection */
    bool end_of_stream_received; /* the peer has shut down its sending side */
};

/* ---- parser callbacks ---------------------------------------------------- */

/*
 * Makes a callback stop the parser with this error. Returns the value to be
 * returned to the parser.
 */
static int
fail_parsing(KcHttpConnection *connection, int code)
{
    connection->callback_error = code;
    return 1;
}

/*
 * Counts bytes of the head against the limit and rejects a NUL, which is never
 * valid there. Returns 0, or 1 to stop the parser.
 */
static int
check_head_bytes(KcHttpConnection *connection, const char *text, size_t size)
{
    connection->head_bytes += size;
    if (connection->head_bytes > connection->options.head_bytes_max) {
        return fail_parsing(connection, KC_ERR_TOO_LARGE);
    }
    if (memchr(text, '\0', size) != NULL) {
        return fail_parsing(connection, KC_ERR_PARSE);
    }
    return 0;
}

static int
on_message_begin(http_parser *parser)
{
    KcHttpConnection *connection = parser->data;

    KcBuffer_DropFront(&connection->head_text,
                       KcBuffer_Size(&connection->head_text));
    connection->field_count = 0;
    connection->in_field_value = false;
    connection->head_complete = false;
    connection->head_bytes = 0;
    connection->message_started = true;
    if (connection->options.ops->on_message_begin != NULL) {
        connection->options.ops->on_message_begin(connection->options.owner);
    }
    return connection->is_closed ? 1 : 0;
}

/* Takes the target of a request, or the reason phrase of a response. */
static int
on_start_line_text(http_parser *parser, const char *text, size_t size)
{
    KcHttpConnection *connection = parser->data;

    if (check_head_bytes(connection, text, size) != 0) {
        return 1;
    }
    KcBuffer_Append(&connection->head_text, text, size);
    return 0;
}

static int
on_field_name(http_parser *parser, const char *text, size_t size)
{
    KcHttpConnection *connection = parser->data;

    if (check_head_bytes(connection, text, size) != 0) {
        return 1;
    }
    if (connection->head_complete) {
        return 0; /* message points into head_text */
    }
    if (connection->in_field_value || connection->field_count == 0) {
        if (connection->field_count == KC_HTTP_MESSAGE_FIELDS_MAX) {
            return fail_parsing(connection, KC_ERR_TOO_LARGE);
        }
        KcBuffer_Append(&connection->head_text, "", 1);
        connection->field_offsets[connection->field_count++] =
            (FieldOffsets){KcBuffer_Size(&connection->head_text), 0};
        connection->in_field_value = false;
    }
    KcBuffer_Append(&connection->head_text, text, size);
    return 0;
}

static int
on_field_value(http_parser *parser, const char *text, size_t size)
{
    KcHttpConnection *connection = parser->data;

    if (check_head_bytes(connection, text, size) != 0 ||
        connection->field_count == 0) {
        return 1;
    }
    if (connection->head_complete) {
        return 0;
    }
    if (!connection->in_field_value) {
        KcBuffer_Append(&connection->head_text, "", 1);
        connection->field_offsets[connection->field_count - 1].value =
            KcBuffer_Size(&connection->head_text);
        connection->in_field_value = true;
    }
    KcBuffer_Append(&connection->head_text, text, size);
    return 0;
}

/*
 * Returns whether a text of a response shows that its head was cut off there,
 * so that it has taken the head of the next response for its rest.
 */
static bool
is_cut_off(const KcHttpConnection *connection, const char *text)
{
    return connection->parser.type == HTTP_RESPONSE &&
           KcHttpText_HoldsStatusLine(text);
}

/* Fills in the message from head_text. Returns 0 or KC_ERR_PARSE. */
static int
build_message(KcHttpConnection *connection)
{
    KcHttpMessage *message = &connection->message;
    const char *text;
    int host_count = 0;

    KcBuffer_Append(&connection->head_text, "", 1);
    text = KcBuffer_Data(&connection->head_text);
    memset(message, 0, offsetof(KcHttpMessage, fields));
    message->field_count = connection->field_count;
    message->target = text;
    message->head_bytes = connection->head_bytes;
    if (is_cut_off(connection, message->target)) {
        return KC_ERR_PARSE;
    }
    for (size_t i = 0; i < connection->field_count; i++) {
        KcHttpField *field = &message->fields[i];

        field->name = text + connection->field_offsets[i].name;
        field->value = connection->field_offsets[i].value != 0
                           ? text + connection->field_offsets[i].value
                           : "";
        if (!KcHttpField_HasValidCharacters(field) ||
            is_cut_off(connection, field->value)) {
            return KC_ERR_PARSE;
        }
        host_count += strcasecmp(field->name, "Host") == 0 ? 1 : 0;
        if (strcasecmp(field->name, "Transfer-Encoding") == 0 &&
            strcasecmp(field->value, "chunked") != 0) {
            return KC_ERR_PARSE;
        }
    }
    if (connection->parser.type == HTTP_REQUEST && host_count > 1) {
        return KC_ERR_PARSE;
    }
    return 0;
}

/* Range of the statuses of HTTP. */
#define STATUS_MIN 100
#define STATUS_MAX 599

/* Return values of on_headers_complete(), defined by http_parser. */
#define HEADERS_STOP_PARSING (-1)
#define HEADERS_SKIP_BODY 1

static int
on_headers_complete(http_parser *parser)
{
    KcHttpConnection *connection = parser->data;
    KcHttpMessage *message = &connection->message;
    int code = build_message(connection);

    connection->head_complete = true;
    if (code != 0) {
        connection->callback_error = code;
        return HEADERS_STOP_PARSING;
    }
    message->is_before_http_1_1 =
        parser->http_major < 1 ||
        (parser->http_major == 1 && parser->http_minor < 1);
    message->keep_alive = http_should_keep_alive(parser) != 0;
    message->chunked = (parser->flags & F_CHUNKED) != 0;
    message->has_content_length = (parser->flags & F_CONTENTLENGTH) != 0;
    message->content_length =
        message->has_content_length ? parser->content_length : 0;
    if (parser->type == HTTP_REQUEST) {
        message->method = http_method_str((enum http_method)parser->method);
        if (parser->upgrade) {
            /* Protocol upgrades are not supported. */
            connection->callback_error = KC_ERR_PARSE;
            return HEADERS_STOP_PARSING;
        }
    }
    else {
        message->status = parser->status_code;
        if (message->status < STATUS_MIN || message->status > STATUS_MAX) {
            connection->callback_error = KC_ERR_PARSE;
            return HEADERS_STOP_PARSING;
        }
    }
    connection->options.ops->on_head(connection->options.owner, message);
    if (connection->is_closed) {
        return HEADERS_STOP_PARSING;
    }
    return connection->expect_no_body ? HEADERS_SKIP_BODY : 0;
}

static int
on_body(http_parser *parser, const char *text, size_t size)
{
    KcHttpConnection *connection = parser->data;

    connection->body_bytes += size;
    connection->options.ops->on_body(connection->options.owner,
                                     (KcBytes){text, size});
    return connection->is_closed ? 1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    KcHttpConnection *connection = parser->data;

    connection->message_ended = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_start_line_text,
    .on_status = on_start_line_text,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* ---- the input ---------------------------------------------------------------- */

static void
on_input_changed(struct evbuffer *input, const struct evbuffer_cb_info *change,
                 void *context)
{
    (void)input;
    KcIntakePool_Adjust(context, change->n_added, change->n_deleted);
}

static void
begin_count(KcHttpConnection *connection)
{
    KcIntakePool *pool = connection->options.input_pool;

    if (pool != NULL) {
        evbuffer_add_cb(bufferevent_get_input(connection->bev),
                        on_input_changed, pool);
    }
}

/* The parser may still be in the input, which therefore is not drained. */
static void
end_count(KcHttpConnection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bev);
    KcIntakePool *pool = connection->options.input_pool;

    if (pool != NULL) {
        evbuffer_remove_cb(input, on_input_changed, pool);
        KcIntakePool_Adjust(pool, 0, evbuffer_get_length(input));
    }
}

/* ---- closing and parsing ------------------------------------------------- */

static void
free_connection(KcDeferredFree *deferred_free)
{
    KcHttpConnection *connection = (KcHttpConnection *)deferred_free;

    KcBuffer_Clear(&connection->head_text);
    free(connection);
}

void
KcHttpConnection_Close(KcHttpConnection *connection)
{
    if (connection->is_closed) {
        return;
    }
    connection->is_closed = true;
    KcLingeringClose_Clear(&connection->closing);
    KcOutputWatch_Clear(&connection->output_watch);
    KcLeaveWatch_Clear(&connection->leave_watch);
    end_count(connection);
    bufferevent_free(connection->bev);
    connection->bev = NULL;
    KcLoop_DeferFree(connection->options.loop, &connection->deferred_free);
}

void
KcHttpConnection_Reset(KcHttpConnection *connection)
{
    struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};

    if (!connection->is_closed) {
        setsockopt(bufferevent_getfd(connection->bev), SOL_SOCKET, SO_LINGER,
                   &reset_on_close, sizeof(reset_on_close));
        KcHttpConnection_Close(connection);
    }
}

static void
report_failed(KcHttpConnection *connection, int code)
{
    if (!connection->is_closed) {
        connection->options.ops->on_failed(connection->options.owner, code);
    }
}

/*
 * Returns whether a response has more around its body than its limit. The
 * parser limits only single parts, such as one head or one chunk's extension.
 */
static bool
has_excessive_framing(const KcHttpConnection *connection)
{
    return connection->parser.type == HTTP_RESPONSE &&
           KcHttpConnection_FramingBytes(connection) >
               connection->options.head_bytes_max +
                   FRAMING_BYTES_PER_BODY_BYTE * connection->body_bytes;
}

/*
 * Parses the first contiguous extent of the input. Returns false when parsing
 * must stop for now: end of a message, error, closed, no input.
 */
static bool
parse_extent(KcHttpConnection *connection, struct evbuffer *input)
{
    struct evbuffer_iovec extent;
    enum http_errno parser_error;
    size_t parsed_bytes;

    if (evbuffer_peek(input, -1, NULL, &extent, 1) < 1 ||
        extent.iov_len == 0) {
        return false;
    }
    parsed_bytes = http_parser_execute(&connection->parser, &parser_settings,
                                       extent.iov_base, extent.iov_len);
    if (connection->is_closed) {
        return false;
    }
    parser_error = HTTP_PARSER_ERRNO(&connection->parser);
    evbuffer_drain(input, parsed_bytes);
    connection->parsed_bytes += parsed_bytes;
    if (connection->close_when_sent) {
        return false;
    }
    if (has_excessive_framing(connection)) {
        report_failed(connection, KC_ERR_TOO_LARGE);
        return false;
    }
    if (parser_error == HPE_PAUSED) {
        connection->options.ops->on_message_end(connection->options.owner);
        return false;
    }
    if (parser_error != HPE_OK) {
        report_failed(connection, connection->callback_error != 0
                                      ? connection->callback_error
                                      : KC_ERR_PARSE);
        return false;
    }
    return true;
}

static void
parse_input(KcHttpConnection *connection)
{
    if (connection->is_parsing || connection->is_closed) {
        return;
    }
    connection->is_parsing = true;
    while (!connection->is_closed && !connection->message_ended &&
           !connection->read_paused && !connection->close_when_sent &&
           parse_extent(connection, bufferevent_get_input(connection->bev))) {
        continue;
    }
    connection->is_parsing = false;
    if (!connection->is_closed && connection->close_when_sent) {
        KcLingeringClose_DropInput(&connection->closing);
    }
}

static void
on_read(struct bufferevent *bev, void *context)
{
    KcHttpConnection *connection = context;

    (void)bev;
    if (connection->message_ended) {
        /*
         * After a request these bytes belong to the next one and stay
         * buffered. After a response they are an error, as no request is
         * outstanding.
         */
        if (connection->parser.type == HTTP_RESPONSE) {
            report_failed(connection, KC_ERR_PROTOCOL);
        }
        else {
            KcLeaveWatch_OnRead(&connection->leave_watch);
        }
        return;
    }
    parse_input(connection);
}

static void
on_write(struct bufferevent *bev, void *context)
{
    KcHttpConnection *connection = context;

    (void)bev;
    if (connection->options.ops->on_output_sent != NULL) {
        connection->options.ops->on_output_sent(connection->options.owner);
    }
}

/*
 * Handles an orderly shutdown by the peer. It completes a response that has
 * neither Content-Length nor chunked encoding, if the peer has taken the whole
 * request before; anything else is a lost connection.
 */
static void
on_end_of_stream(KcHttpConnection *connection)
{
    connection->end_of_stream_received = true;
    parse_input(connection);
    if (!connection->is_closed && !connection->message_ended &&
        connection->message_started && KcHttpConnection_IsIntact(connection)) {
        http_parser_execute(&connection->parser, &parser_settings, NULL, 0);
        if (!connection->is_closed && connection->message_ended) {
            connection->message.keep_alive = false;
            connection->message.ends_with_connection = true;
            connection->options.ops->on_message_end(connection->options.owner);
            if (connection->is_closed || connection->message_ended) {
                return;
            }
            /* The owner awaits another message, which can't come. */
        }
    }
    report_failed(connection, KC_ERR_PEER_LOST);
}

static void
on_connection_event(struct bufferevent *bev, short events, void *context)
{
    KcHttpConnection *connection = context;

    (void)bev;
    if (events & BEV_EVENT_CONNECTED) {
        if (connection->options.ops->on_connected != NULL) {
            connection->options.ops->on_connected(connection->options.owner);
        }
    }
    else if ((events & BEV_EVENT_EOF) && !(events & BEV_EVENT_ERROR)) {
        on_end_of_stream(connection);
    }
    else {
        connection->was_refused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
        report_failed(connection, KC_ERR_PEER_LOST);
    }
}

/* ---- opening and the public functions ------------------------------------ */

static KcHttpConnection *
create_connection(const KcHttpConnectionOptions *options, evutil_socket_t fd,
                  enum http_parser_type type)
{
    KcHttpConnection *connection = KcMem_New(sizeof(*connection));

    connection->options = *options;
    connection->deferred_free.free_owner = free_connection;
    connection->bev =
        bufferevent_socket_new(options->loop->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (connection->bev == NULL) {
        free(connection);
        return NULL;
    }
    http_parser_init(&connection->parser, type);
    connection->parser.data = connection;
    bufferevent_setcb(connection->bev, on_read, on_write, on_connection_event,
                      connection);
    bufferevent_setwatermark(connection->bev, EV_READ, 0,
                             READ_AHEAD_BYTES_MAX);
    begin_count(connection);
    return connection;
}

static void
on_peer_lost(void *owner)
{
    report_failed(owner, KC_ERR_PEER_LOST);
}

KcHttpConnection *
KcHttpConnection_Accept(const KcHttpConnectionOptions *options,
                        evutil_socket_t fd)
{
    KcHttpConnection *connection =
        create_connection(options, fd, HTTP_REQUEST);
    KcLeaveWatchOptions leave_watch_options = {.loop = options->loop,
                                               .input_bytes_max =
                                                   READ_AHEAD_BYTES_MAX,
                                               .on_left = on_peer_lost,
                                               .owner = connection};

    if (connection == NULL) {
        evutil_closesocket(fd);
        return NULL;
    }
    KcSocket_SetConnectionOptions(fd, options->silence_timeout);
    leave_watch_options.bev = connection->bev;
    KcLeaveWatch_Init(&connection->leave_watch, &leave_watch_options);
    if (options->stall_timeout > 0) {
        KcOutputWatchOptions watch_options = {
            .loop = options->loop,
            .bev = connection->bev,
            .silence_timeout = options->silence_timeout,
            .stall_timeout = options->stall_timeout,
            .on_lost = on_peer_lost,
            .owner = connection};

        KcOutputWatch_Begin(&connection->output_watch, &watch_options);
    }
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    return connection;
}

KcHttpConnection *
KcHttpConnection_Connect(const KcHttpConnectionOptions *options,
                         const char *address)
{
    struct sockaddr_storage remote;
    int size = sizeof(remote);
    evutil_socket_t fd;
    KcHttpConnection *connection;

    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&remote,
                                   &size) != 0) {
        return NULL;
    }
    fd = socket(remote.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                0);
    if (fd < 0) {
        return NULL;
    }
    connection = create_connection(options, fd, HTTP_RESPONSE);
    if (connection == NULL) {
        evutil_closesocket(fd);
        return NULL;
    }
    KcSocket_SetConnectionOptions(fd, options->silence_timeout);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(connection->bev, (struct sockaddr *)&remote,
                                   size) != 0) {
        KcHttpConnection_Close(connection);
        return NULL;
    }
    return connection;
}

static void
on_closing_end(void *owner)
{
    KcHttpConnection *connection = owner;

    report_failed(connection, KC_ERR_PEER_LOST);
    KcHttpConnection_Close(connection);
}

void
KcHttpConnection_CloseWhenSent(KcHttpConnection *connection)
{
    if (connection->is_closed || connection->close_when_sent) {
        return;
    }
    connection->close_when_sent = true;
    KcLingeringClose_Begin(&connection->closing, connection->options.loop,
                           connection->bev, on_closing_end, connection);
    if (!connection->is_parsing) {
        KcLingeringClose_DropInput(&connection->closing);
    }
}

void
KcHttpConnection_ReadNextMessage(KcHttpConnection *connection)
{
    if (connection->is_closed || connection->close_when_sent ||
        !connection->message_ended) {
        return;
    }
    connection->message_ended = false;
    connection->message_started = false;
    http_parser_init(&connection->parser,
                     (enum http_parser_type)connection->parser.type);
    connection->parser.data = connection;
    if (KcHttpConnection_UnparsedBytes(connection) > 0) {
        /*
         * Triggered from the loop and not called here: pipelined requests
         * would otherwise recurse once per request.
         */
        bufferevent_trigger(connection->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
}

void
KcHttpConnection_SetHeadBytesMax(KcHttpConnection *connection,
                                 size_t head_bytes_max)
{
    connection->options.head_bytes_max = head_bytes_max;
}

void
KcHttpConnection_ExpectNoBody(KcHttpConnection *connection)
{
    connection->expect_no_body = true;
}

void
KcHttpConnection_SetOwner(KcHttpConnection *connection,
                          const KcHttpConnectionOps *ops, void *owner)
{
    connection->options.ops = ops;
    connection->options.owner = owner;
    connection->expect_no_body = false;
    connection->parsed_bytes = 0;
    connection->body_bytes = 0;
}

struct evbuffer *
KcHttpConnection_Output(KcHttpConnection *connection)
{
    return bufferevent_get_output(connection->bev);
}

bool
KcHttpConnection_IsOutputTaken(const KcHttpConnection *connection)
{
    return KcHttpConnection_UnsentBytes(connection) == 0 &&
           (connection->options.stall_timeout == 0 ||
            KcOutputWatch_IsTaken(&connection->output_watch));
}

size_t
KcHttpConnection_UnsentBytes(const KcHttpConnection *connection)
{
    return evbuffer_get_length(bufferevent_get_output(connection->bev));
}

size_t
KcHttpConnection_FramingBytes(const KcHttpConnection *connection)
{
    return connection->parsed_bytes > connection->body_bytes
               ? connection->parsed_bytes - connection->body_bytes
               : 0;
}

size_t
KcHttpConnection_UnreadBytes(const KcHttpConnection *connection)
{
    int kernel_bytes = 0;

    if (connection->is_closed) {
        return 0;
    }
    if (ioctl(bufferevent_getfd(connection->bev), FIONREAD, &kernel_bytes) !=
        0) {
        kernel_bytes = 0;
    }
    return KcHttpConnection_UnparsedBytes(connection) + (size_t)kernel_bytes;
}

bool
KcHttpConnection_HasInput(const KcHttpConnection *connection)
{
    char byte;

    return KcHttpConnection_UnparsedBytes(connection) > 0 ||
           recv(bufferevent_getfd(connection->bev), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           errno != EAGAIN;
}

bool
KcHttpConnection_HasInputEnded(const KcHttpConnection *connection)
{
    return connection->end_of_stream_received;
}

bool
KcHttpConnection_IsIntact(const KcHttpConnection *connection)
{
    return KcHttpConnection_UnsentBytes(connection) == 0 &&
           KcSocket_IsIntact(bufferevent_getfd(connection->bev));
}

size_t
KcHttpConnection_UnparsedBytes(const KcHttpConnection *connection)
{
    return evbuffer_get_length(bufferevent_get_input(connection->bev));
}

void
KcHttpConnection_SetReadPaused(KcHttpConnection *connection, bool paused)
{
    if (connection->is_closed || connection->close_when_sent ||
        connection->read_paused == paused) {
        return;
    }
    connection->read_paused = paused;
    if (paused) {
        bufferevent_disable(connection->bev, EV_READ);
    }
    else {
        bufferevent_enable(connection->bev, EV_READ);
        if (KcHttpConnection_UnparsedBytes(connection) > 0) {
            bufferevent_trigger(connection->bev, EV_READ,
                                BEV_OPT_DEFER_CALLBACKS);
        }
    }
}

bool
KcHttpConnection_WasRefused(const KcHttpConnection *connection)
{
    return connection->was_refused;
}
