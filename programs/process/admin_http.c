/*
 * HTTP server for administrators: metrics, health, state and planned stop.
 */
#include "admin_http.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <evhtp.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "../connection/accept_pause.h"
#include "log.h"

#define LISTEN_BACKLOG 64

struct KcAdminServer {
    KcAdminServerOptions options;
    evhtp_t *http;
    KcAcceptPause accept_pause;
};

static void
reply_text(evhtp_request_t *http, evhtp_res status, const char *type,
           const char *text)
{
    evhtp_headers_add_header(http->headers_out,
                             evhtp_header_new("Content-Type", type, 0, 1));
    evbuffer_add(http->buffer_out, text, strlen(text));
    evhtp_send_reply(http, status);
}

static void
reply_json(evhtp_request_t *http, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    reply_text(http, EVHTP_RES_OK, "application/json", text);
    free(text);
    json_decref(json);
}

static void
on_metrics(evhtp_request_t *http, void *context)
{
    KcAdminServer *admin_server = context;
    const KcAdminServerOps *ops = admin_server->options.ops;
    char *text = KcCounters_Format(admin_server->options.counters);
    KcBuffer own = {0};

    evbuffer_add_printf(http->buffer_out,
                        "# TYPE kcc_log_dropped_total counter\n"
                        "kcc_log_dropped_total %" PRIu64 "\n",
                        KcLog_DroppedCount());
    if (ops->format_metrics != NULL) {
        ops->format_metrics(admin_server->options.context, &own);
        evbuffer_add(http->buffer_out, KcBuffer_Data(&own),
                     KcBuffer_Size(&own));
        KcBuffer_Clear(&own);
    }
    reply_text(http, EVHTP_RES_OK, "text/plain; version=0.0.4", text);
    free(text);
}

static void
on_healthz(evhtp_request_t *http, void *context)
{
    (void)context;
    reply_text(http, EVHTP_RES_OK, "text/plain", "ok\n");
}

static void
on_readyz(evhtp_request_t *http, void *context)
{
    KcAdminServer *admin_server = context;
    int code =
        admin_server->options.ops->check_ready(admin_server->options.context);

    if (code == 0) {
        reply_text(http, EVHTP_RES_OK, "text/plain", "ready\n");
    }
    else {
        reply_text(http, EVHTP_RES_SERVUNAVAIL, "text/plain",
                   KcError_Name(code));
    }
}

static json_t *
encode_event(const KcEvent *event)
{
    char id[KC_REQUEST_ID_TEXT_SIZE];
    json_t *json = json_pack(
        "{s:I, s:s, s:I, s:I, s:s, s:s}", "clock", (json_int_t)event->clock,
        "type", KcEventType_Name(event->type), "generation",
        (json_int_t)event->generation, "detail", (json_int_t)event->detail,
        "peer", event->peer, "subject", event->subject);

    if (event->request.nonce != 0 || event->request.sequence != 0) {
        KcRequestId_Format(&event->request, id);
        json_object_set_new(json, "request", json_string(id));
    }
    return json;
}

static void
on_events(evhtp_request_t *http, void *context)
{
    KcAdminServer *admin_server = context;
    const KcEvents *events = admin_server->options.events;
    json_t *list = json_array();

    for (size_t i = 0; i < KcEvents_Count(events); i++) {
        json_array_append_new(list, encode_event(KcEvents_At(events, i)));
    }
    reply_json(http, json_pack("{s:s, s:o}", "process",
                               admin_server->options.settings->name, "events",
                               list));
}

static void
on_state(evhtp_request_t *http, void *context)
{
    KcAdminServer *admin_server = context;
    const KcSettings *settings = admin_server->options.settings;
    void *role = admin_server->options.context;
    int code = admin_server->options.ops->check_ready(role);
    json_t *state =
        json_pack("{s:s, s:s, s:s, s:I, s:s}", "process", settings->name,
                  "role", KcSettings_RoleName(settings), "datacentre",
                  settings->datacentre, "generation",
                  (json_int_t)admin_server->options.ops->get_generation(role),
                  "ready", code == 0 ? "yes" : KcError_Name(code));

    admin_server->options.ops->add_state(role, state);
    reply_json(http, state);
}

static void
on_drain(evhtp_request_t *http, void *context)
{
    KcAdminServer *admin_server = context;

    if (evhtp_request_get_method(http) != htp_method_POST) {
        reply_text(http, EVHTP_RES_METHNALLOWED, "text/plain", "use POST\n");
        return;
    }
    admin_server->options.ops->begin_drain(admin_server->options.context);
    reply_text(http, EVHTP_RES_OK, "text/plain", "draining\n");
}

static void
on_unblock(evhtp_request_t *http, void *context)
{
    KcAdminServer *admin_server = context;
    const KcAdminServerOps *ops = admin_server->options.ops;
    const char *text = evhtp_kv_find(http->uri->query, "part");
    char *end = NULL;
    uint64_t part = text != NULL ? strtoull(text, &end, 16) : 0;

    if (evhtp_request_get_method(http) != htp_method_POST) {
        reply_text(http, EVHTP_RES_METHNALLOWED, "text/plain", "use POST\n");
    }
    else if (text == NULL || end == text || *end != '\0') {
        reply_text(http, EVHTP_RES_BADREQ, "text/plain",
                   "use ?part= with hexadecimal digits\n");
    }
    else if (ops->clear_part == NULL ||
             !ops->clear_part(admin_server->options.context, part)) {
        reply_text(http, EVHTP_RES_NOTFOUND, "text/plain",
                   "nothing is held against the part\n");
    }
    else {
        reply_text(http, EVHTP_RES_OK, "text/plain", "cleared\n");
    }
}

/* The fields of a query, decoded; NULL if it can't be read. */
static json_t *
read_query(const evhtp_request_t *http)
{
    const char *text = (const char *)http->uri->query_raw;
    json_t *fields = json_object();
    struct evkeyvalq query;
    const struct evkeyval *field;
    int code = 0;

    TAILQ_INIT(&query);
    if (text != NULL) {
        code = evhttp_parse_query_str(text, &query);
    }
    TAILQ_FOREACH (field, &query, next) {
        code |=
            json_object_set_new(fields, field->key, json_string(field->value));
    }
    evhttp_clear_headers(&query);
    if (code != 0) {
        json_decref(fields);
        return NULL;
    }
    return fields;
}

/* Finds the key that comes with a question; NULL: none.  Returns false if it
 * comes more than once. */
static bool
find_key(const evhtp_request_t *http, const char **key)
{
    const evhtp_kv_t *header;

    *key = NULL;
    TAILQ_FOREACH (header, http->headers_in, next) {
        if (strcasecmp(header->key, KC_HEADER_EXPLAIN_KEY) == 0) {
            if (*key != NULL) {
                return false;
            }
            *key = header->val;
        }
    }
    return true;
}

static json_t *
explain(const KcAdminServer *admin_server, const evhtp_request_t *http,
        const char **problem)
{
    json_t *fields = read_query(http);
    const char *key;
    json_t *answer = NULL;

    if (fields == NULL) {
        *problem = "the query can't be read";
    }
    else if (!find_key(http, &key)) {
        *problem = "the key is given twice";
    }
    else {
        answer = admin_server->options.ops->explain(
            admin_server->options.context, fields, key, problem);
    }
    json_decref(fields);
    return answer;
}

static void
on_explain(evhtp_request_t *http, void *context)
{
    KcAdminServer *admin_server = context;
    const char *problem;
    json_t *answer;

    if (evhtp_request_get_method(http) != htp_method_GET) {
        reply_text(http, EVHTP_RES_METHNALLOWED, "text/plain", "use GET\n");
    }
    else if (admin_server->options.ops->explain == NULL) {
        reply_text(http, EVHTP_RES_NOTFOUND, "text/plain",
                   "only gateways explain\n");
    }
    else {
        answer = explain(admin_server, http, &problem);
        if (answer != NULL) {
            reply_json(http, answer);
        }
        else {
            reply_text(http, EVHTP_RES_BADREQ, "text/plain", problem);
        }
    }
}

static void
on_accept_error(struct evconnlistener *listener, void *context)
{
    (void)listener;
    KcAcceptPause_OnError(((evhtp_t *)context)->arg);
}

KcAdminServer *
KcAdminServer_Create(const KcAdminServerOptions *options)
{
    KcAdminServer *admin_server = KcMem_New(sizeof(*admin_server));
    char host[KC_ADDRESS_MAX];
    uint16_t port;

    admin_server->options = *options;
    admin_server->http =
        evhtp_new(options->loop->base, &admin_server->accept_pause);
    evhtp_set_cb(admin_server->http, "/metrics", on_metrics, admin_server);
    evhtp_set_cb(admin_server->http, "/healthz", on_healthz, admin_server);
    evhtp_set_cb(admin_server->http, "/readyz", on_readyz, admin_server);
    evhtp_set_cb(admin_server->http, "/debug/events", on_events, admin_server);
    evhtp_set_cb(admin_server->http, "/debug/state", on_state, admin_server);
    evhtp_set_cb(admin_server->http, "/explain", on_explain, admin_server);
    evhtp_set_cb(admin_server->http, "/admin/drain", on_drain, admin_server);
    evhtp_set_cb(admin_server->http, "/admin/unblock", on_unblock,
                 admin_server);
    if (options->ready_path != NULL) {
        evhtp_set_cb(admin_server->http, options->ready_path, on_readyz,
                     admin_server);
    }
    if (KcAddress_Parse(options->address, host, &port) != 0 ||
        evhtp_bind_socket(admin_server->http, host, port, LISTEN_BACKLOG) !=
            0) {
        KcAdminServer_Free(admin_server);
        return NULL;
    }
    KcAcceptPause_Init(&admin_server->accept_pause, options->loop,
                       admin_server->http->server, options->counters);
    evconnlistener_set_error_cb(admin_server->http->server, on_accept_error);
    return admin_server;
}

void
KcAdminServer_Free(KcAdminServer *admin_server)
{
    KcAcceptPause_Clear(&admin_server->accept_pause);
    evhtp_unbind_socket(admin_server->http);
    evhtp_free(admin_server->http);
    free(admin_server);
}
