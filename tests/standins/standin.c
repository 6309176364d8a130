/*
 * Common code of the stand-ins: command line, HTTP server, knobs and replies.
 */
#include "standin.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 1024

static const struct argp_option argp_options[] = {
    {"listen", 'l', "ADDRESS", 0, "Address to serve", 0},
    {"set", 's', "NAME=VALUE", 0, "Set a knob", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

typedef struct CommandLine {
    Standin *standin;
    const char *listen_address;
} CommandLine;

/* Sets a knob from the text of a number.  Returns 0, or a negative error
 * number when there is no such knob or the text is no number. */
static int
set_knob(Standin *standin, const char *name, const char *text)
{
    StandinKnob *knob = standin->options->knobs;
    int code;

    for (; knob->name != NULL; knob++) {
        if (strcmp(knob->name, name) != 0) {
            continue;
        }
        code = KcIni_ParseNumber(text, INT64_MIN, INT64_MAX, &knob->value);
        if (code == 0 && standin->http != NULL &&
            standin->options->on_knob_set != NULL) {
            standin->options->on_knob_set(knob);
        }
        return code;
    }
    return KC_ERR_NOT_FOUND;
}

static error_t
parse_argument(int key, char *arg, struct argp_state *state)
{
    CommandLine *command_line = state->input;
    char *equals;

    switch (key) {
    case 'l':
        command_line->listen_address = arg;
        return 0;
    case 's':
        equals = strchr(arg, '=');
        if (equals == NULL) {
            argp_error(state, "expected NAME=VALUE");
            return EINVAL;
        }
        *equals = '\0';
        if (set_knob(command_line->standin, arg, equals + 1) != 0) {
            argp_error(state, "no such knob or not a number: %s", arg);
        }
        return 0;
    case ARGP_KEY_ARG:
        command_line->standin->file_path = arg;
        return 0;
    case ARGP_KEY_END:
        if (command_line->listen_address == NULL) {
            argp_error(state, "--listen is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {argp_options, parse_argument, "[FILE]", NULL,
                                 NULL,         NULL,           NULL};

void
Standin_ReplyText(evhtp_request_t *http, evhtp_res status, const char *text)
{
    evbuffer_add(http->buffer_out, text, strlen(text));
    evhtp_send_reply(http, status);
}

void
Standin_ReplyJson(evhtp_request_t *http, evhtp_res status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    evhtp_headers_add_header(
        http->headers_out,
        evhtp_header_new("Content-Type", "application/json", 0, 0));
    Standin_ReplyText(http, status, text);
    free(text);
    json_decref(json);
}

void
Standin_DropConnection(evhtp_request_t *http)
{
    /* evhtp closes the connection when it reads the end of its input. */
    struct bufferevent *bev = evhtp_request_get_bev(http);

    shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

json_t *
Standin_ParseBody(evhtp_request_t *http)
{
    size_t size = evbuffer_get_length(http->buffer_in);
    const char *data = (const char *)evbuffer_pullup(http->buffer_in, -1);

    return json_loadb(data != NULL ? data : "", size, 0, NULL);
}

const char *
Standin_FindQueryValue(evhtp_request_t *http, const char *name)
{
    if (http->uri->query == NULL) {
        return NULL;
    }
    return evhtp_kv_find(http->uri->query, name);
}

static int
set_from_query(evhtp_kv_t *kv, void *context)
{
    return set_knob(context, kv->key, kv->val != NULL ? kv->val : "");
}

static void
on_set_request(evhtp_request_t *http, void *context)
{
    int code = KC_ERR_INVALID;

    if (http->uri->query != NULL) {
        code = evhtp_kvs_for_each(http->uri->query, set_from_query, context);
    }
    Standin_ReplyText(http, code == 0 ? EVHTP_RES_OK : EVHTP_RES_BADREQ,
                      code == 0 ? "ok\n" : KcError_Name(code));
}

static void
on_state_request(evhtp_request_t *http, void *context)
{
    Standin *standin = context;
    json_t *state = json_object();
    json_t *knobs = json_object();

    for (StandinKnob *knob = standin->options->knobs; knob->name != NULL;
         knob++) {
        json_object_set_new(knobs, knob->name, json_integer(knob->value));
    }
    json_object_set_new(state, "knobs", knobs);
    json_object_set_new(state, "bytes_in", json_integer(standin->bytes_in));
    json_object_set_new(state, "bytes_out", json_integer(standin->bytes_out));
    standin->options->add_state(state);
    Standin_ReplyJson(http, EVHTP_RES_OK, state);
}

static void
count_added_bytes(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
                  void *context)
{
    (void)buffer;
    *(int64_t *)context += (int64_t)info->n_added;
}

/* Counts the bytes that a new connection receives and sends. */
static evhtp_res
on_accept(evhtp_connection_t *connection, void *context)
{
    Standin *standin = context;
    struct bufferevent *bev = evhtp_connection_get_bev(connection);

    evbuffer_add_cb(bufferevent_get_input(bev), count_added_bytes,
                    &standin->bytes_in);
    evbuffer_add_cb(bufferevent_get_output(bev), count_added_bytes,
                    &standin->bytes_out);
    return EVHTP_RES_OK;
}

void
Standin_Init(Standin *standin, const StandinOptions *options, int argc,
             char **argv)
{
    CommandLine command_line = {standin, NULL};
    char host[KC_ADDRESS_MAX];
    uint16_t port;

    memset(standin, 0, sizeof(*standin));
    standin->options = options;
    argp_parse(&argp, argc, argv, 0, NULL, &command_line);
    standin->loop = KcLoop_Create();
    standin->http = evhtp_new(standin->loop->base, NULL);
    evhtp_set_post_accept_cb(standin->http, on_accept, standin);
    evhtp_set_cb(standin->http, "/standin/set", on_set_request, standin);
    evhtp_set_cb(standin->http, "/standin/state", on_state_request, standin);
    if (KcAddress_Parse(command_line.listen_address, host, &port) != 0 ||
        evhtp_bind_socket(standin->http, host, port, LISTEN_BACKLOG) != 0) {
        fprintf(stderr, "%s: cannot listen on %s\n", options->program_name,
                command_line.listen_address);
        exit(1);
    }
}

static void
on_signal(evutil_socket_t number, short what, void *context)
{
    (void)number;
    (void)what;
    KcLoop_Stop(context);
}

int
Standin_Run(Standin *standin)
{
    static const int signals[2] = {SIGTERM, SIGINT};
    struct event *events[2];

    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < 2; i++) {
        events[i] = evsignal_new(standin->loop->base, signals[i], on_signal,
                                 standin->loop);
        evsignal_add(events[i], NULL);
    }
    KcLoop_Run(standin->loop);
    for (int i = 0; i < 2; i++) {
        event_free(events[i]);
    }
    evhtp_unbind_socket(standin->http);
    evhtp_free(standin->http);
    KcLoop_Free(standin->loop);
    return 0;
}

static StandinKnob *
find_knob(const Standin *standin, const char *name)
{
    StandinKnob *knob = standin->options->knobs;

    while (knob->name != NULL && strcmp(knob->name, name) != 0) {
        knob++;
    }
    if (knob->name == NULL) {
        abort();
    }
    return knob;
}

int64_t
Standin_GetKnob(const Standin *standin, const char *name)
{
    return find_knob(standin, name)->value;
}

bool
Standin_TakeFault(const Standin *standin, const char *name)
{
    StandinKnob *knob = find_knob(standin, name);

    if (knob->value == 0) {
        return false;
    }
    if (knob->value > 0) {
        knob->value--;
    }
    return true;
}
