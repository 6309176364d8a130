/*
 * Interface for the platform's HTTP conventions: which headers, statuses and
 * bodies callers and backend servers use. The gateway calls it, platform/
 * implements it.
 *
 * A reply comes from a backend server, an answer goes to a caller.
 */
#ifndef KCC_DIALECT_H
#define KCC_DIALECT_H

#include <event2/buffer.h>

#include "../connection/http_connection.h"

/*
 * Names and ids that a KcForwardCall points to; must live until the call has
 * been submitted.
 */
typedef struct KcCallNames {
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
    uint64_t parts[KC_PROMPT_PARTS_MAX];
} KcCallNames;

/* What the gateway needs from the head of a backend server's reply. */
typedef struct KcReplyHead {
    const char *request_id; /* that it names; borrowed from the message; NULL:
                               none */
    bool matches_request;   /* the reply has the id of the request */
    bool not_run; /* the server states that it did not run the request; only
                     with matches_request */
    bool is_misdirected;   /* not the server, model or version addressed */
    bool is_stream;        /* the body is a stream of server-sent events */
    bool must_not_forward; /* the reply must not be passed on to the caller */
    bool has_load;
    /* Load of the server, valid with has_load. */
    uint32_t running_requests; /* requests that run */
    uint32_t waiting_requests; /* requests in the server's queue */
    uint32_t concurrency_max;  /* concurrency limit of the server */
    uint32_t work_percent; /* how long work takes there now, in percent of what
                              is usual; 0: not told */
    KcServerNotice notice; /* its value that was not read is borrowed from the
                              message; started_at_ms is left 0 */
    KcTime keep_alive_timeout; /* how long the server keeps an idle connection;
                                  0: unknown */
} KcReplyHead;

/* Parsers and writers that a platform implements. */
typedef struct KcHttpDialect {
    /*
     * Parses a caller's request. Strings in call point into message and names.
     * Returns 0, or KC_ERR_INVALID with the name of the invalid header as the
     * step of err.
     */
    int (*parse_caller_request)(const KcHttpMessage *message,
                                KcForwardCall *call, KcCallNames *names,
                                KcError *err);
    /*
     * Writes the head of the request to a backend server, up to and with the
     * empty line.
     */
    void (*write_request_head)(struct evbuffer *out,
                               const KcHttpMessage *message, size_t body_size,
                               const KcAttemptParams *params);
    /* Parses the head of a reply on a connection that has carried the request
     * last; request is NULL for one that waits for no reply. */
    void (*parse_reply_head)(const KcHttpMessage *message,
                             const KcHttpMessage *request, KcReplyHead *head);
    /*
     * Writes status line and headers of an answer from the reply's head,
     * without Content-Length or Transfer-Encoding and without the empty line.
     * idle_time is how long the caller may leave the connection idle after
     * the answer, in whole seconds; with 0 it is closed.
     */
    void (*write_answer_head)(struct evbuffer *out, const KcHttpMessage *reply,
                              KcTime idle_time);
    /* Writes a complete error answer of our own, in place of a backend
     * server's reply; one to HEAD has no body.  idle_time as above. */
    void (*write_refusal)(struct evbuffer *out,
                          const KcForwardRefusal *refusal, bool has_body,
                          KcTime idle_time);
    /* Header by which a server states its id, in some of its answers. */
    const char *server_id_header;
    /* Returns when the server started, by the body of its report, as in
     * KcServerIdentity. */
    int64_t (*parse_start_time)(KcBytes body);
} KcHttpDialect;

#endif
