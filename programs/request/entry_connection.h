/*
 * Callers' connections of an entry: their limit and that of their headers.
 */
#ifndef KCC_ENTRY_CONNECTION_H
#define KCC_ENTRY_CONNECTION_H

#include <evhtp.h>

#include "../connection/connection_limit.h"

typedef struct KcEntryConnections {
    KcConnectionLimit limit;
    size_t header_bytes_max; /* of a request */
    struct timeval read_timeout;
    struct timeval write_timeout;
    /* Answers a request on a connection above the limit, and ends this. */
    evhtp_callback_cb refuse;
    void *context; /* second argument of refuse */
} KcEntryConnections;

/* A post_accept callback; its context is a KcEntryConnections. */
evhtp_res KcEntryConnections_OnAccept(evhtp_connection_t *connection,
                                      void *context);

#endif
