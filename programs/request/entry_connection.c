/*
 * Callers' connections of an entry: their limit and that of their headers.
 */
#include "entry_connection.h"

#include <stdlib.h>

/* Time that a connection above the limit has to send a request. */
#define EXCESS_REQUEST_TIMEOUT_S 1

typedef struct CallerConnection {
    KcEntryConnections *connections;
    bool is_admitted; /* within the limit */
} CallerConnection;

/* Rejects a request whose headers exceed the limit, as each header arrives. */
static evhtp_res
on_header(evhtp_request_t *http, evhtp_header_t *header, void *context)
{
    const CallerConnection *caller = context;
    size_t header_bytes = 0;
    evhtp_header_t *received;

    (void)header;
    TAILQ_FOREACH (received, http->headers_in, next) {
        header_bytes += received->klen + received->vlen;
    }
    return header_bytes > caller->connections->header_bytes_max
               ? EVHTP_RES_ENTOOLARGE
               : EVHTP_RES_OK;
}

/* The request is refused once it is complete, unless there is room by now. */
static evhtp_res
on_headers(evhtp_request_t *http, evhtp_headers_t *headers, void *context)
{
    CallerConnection *caller = context;

    (void)headers;
    if (caller->is_admitted) {
        return EVHTP_RES_OK;
    }
    evhtp_connection_set_timeouts(http->conn,
                                  &caller->connections->read_timeout,
                                  &caller->connections->write_timeout);
    caller->is_admitted = KcConnectionLimit_Admit(&caller->connections->limit);
    if (!caller->is_admitted) {
        http->cb = caller->connections->refuse;
        http->cbarg = caller->connections->context;
    }
    return EVHTP_RES_OK;
}

static evhtp_res
on_connection_end(evhtp_connection_t *connection, void *context)
{
    CallerConnection *caller = context;

    (void)connection;
    KcConnectionLimit_Remove(&caller->connections->limit, caller->is_admitted);
    free(caller);
    return EVHTP_RES_OK;
}

evhtp_res
KcEntryConnections_OnAccept(evhtp_connection_t *connection, void *context)
{
    static const struct timeval excess_timeout = {
        .tv_sec = EXCESS_REQUEST_TIMEOUT_S};
    KcEntryConnections *connections = context;
    CallerConnection *caller = KcMem_New(sizeof(*caller));

    caller->connections = connections;
    caller->is_admitted = KcConnectionLimit_Add(&connections->limit);
    if (!caller->is_admitted) {
        evhtp_connection_set_timeouts(connection, &excess_timeout,
                                      &excess_timeout);
    }
    evhtp_connection_set_hook(connection, evhtp_hook_on_header,
                              (evhtp_hook)on_header, caller);
    evhtp_connection_set_hook(connection, evhtp_hook_on_headers,
                              (evhtp_hook)on_headers, caller);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              (evhtp_hook)on_connection_end, caller);
    return EVHTP_RES_OK;
}
