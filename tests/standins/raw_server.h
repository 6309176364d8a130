/*
 * HTTP server of the stand-ins for the users' platform.  It reads whole
 * requests; a stand-in may write any bytes as an answer, also invalid ones, to
 * inject faults.
 *
 *   POST /standin/set?NAME=VALUE   sets a knob
 *   GET  /standin/state            knobs and counters as JSON
 */
#ifndef KCC_RAW_SERVER_H
#define KCC_RAW_SERVER_H

#include <jansson.h>

#include "../../programs/connection/http_connection.h"
#include "endless.h"

/* A number that tests may set.  A knob that injects a fault is 0 when off. */
typedef struct RawKnob {
    const char *name;
    int64_t value;
} RawKnob;

/* One connection and the request that is being handled on it. */
typedef struct RawConnection {
    TAILQ_ENTRY(RawConnection) link;
    struct RawServer *server;
    KcHttpConnection *http_connection;
    const KcHttpMessage *message; /* head of the request */
    KcBuffer body;
    KcTimer timer; /* for the stand-in's use, calls on_timer */
    /* The stand-in's state of the request; NULL between requests. */
    void *request_state;
    uint32_t head_sent; /* 1: the stand-in has sent the answer's head */
    /* Sent until the caller closes; NULL: none. */
    const EndlessPattern *endless;
    uint64_t endless_counter;
    KcTimer endless_timer;
    /* Bytes that belong to no request, and when they are written. */
    KcBuffer stray;
    bool is_answered;  /* before its request was whole; the rest is dropped */
    bool is_kept;      /* it has carried a request before */
    bool is_stray_due; /* with the next request; else when the timer is due */
    KcTimer stray_timer;
} RawConnection;

/* When bytes that belong to no request are written. */
typedef enum RawMoment {
    RAW_AT_ONCE = 0, /* behind the answer */
    RAW_AT_REST,     /* some time after it */
    RAW_WHEN_DUE,    /* when the next request has come, before its answer */
    RAW_MOMENT_COUNT
} RawMoment;

typedef struct RawServerOptions {
    RawKnob *knobs; /* the last row has a NULL name */
    /* A whole request was received; connection->body ends with a NUL. */
    void (*on_request)(RawConnection *connection);
    /* A connection whose request_state is set ends; frees that state. */
    void (*on_connection_lost)(RawConnection *connection);
    /* Adds the counters to the JSON object of /standin/state. */
    void (*add_state)(json_t *state);
    /* connection->timer is due; timer->owner is the connection. */
    void (*on_timer)(KcTimer *timer, KcTime now);
    /* The head of a request was received; may answer it or reset the
     * connection, but not both.  NULL: none. */
    void (*on_request_head)(RawConnection *connection);
} RawServerOptions;

typedef struct RawServer {
    KcLoop *loop;
    const RawServerOptions *options;
    struct evconnlistener *listener;
    TAILQ_HEAD(, RawConnection) connections;
    uint64_t random_state; /* of the generator that draws faults */
} RawServer;

/* Listens on address; exits with a message when that fails. */
void RawServer_Init(RawServer *server, const RawServerOptions *options,
                    const char *address, uint64_t seed);
/* Serves until SIGTERM, then closes all connections and frees the loop. */
void RawServer_Run(RawServer *server);

/* Draws a number below limit. */
size_t RawServer_DrawNumber(RawServer *server, size_t limit);
/* Reads or sets a knob; exits with a message when there is none of this
 * name. */
int64_t RawServer_GetKnob(const RawServer *server, const char *name);
void RawServer_SetKnob(RawServer *server, const char *name, int64_t value);
/* True with the probability that a knob gives in percent. */
bool RawServer_DrawFault(RawServer *server, const char *knob);

/* Writes a whole answer and reads the next request.  headers holds complete
 * lines with CRLF, or "". */
void RawConnection_Reply(RawConnection *connection, int status,
                         const char *headers, const char *body);
/* Answers by bytes that end only when the caller closes the connection.  The
 * request state must be NULL. */
void RawConnection_SendEndless(RawConnection *connection,
                               const EndlessPattern *pattern);
/* If the knob `knob` (percent) draws it, answers by the pattern whose number
 * the knob "endless_kind" gives, by any one when that is 0, and returns
 * true. */
bool RawConnection_DrawEndless(RawConnection *connection, const char *knob);
/* Writes bytes that belong to no request, after an answer that is written. */
void RawConnection_WriteStray(RawConnection *connection, const char *text,
                              RawMoment moment);
/* Writes bytes to the connection unchanged. */
void RawConnection_Write(RawConnection *connection, const char *bytes,
                         size_t size);
/* Ends the current request, whose answer is written, and reads the next. */
void RawConnection_ReadNextRequest(RawConnection *connection);
/* Closes the connection once what was written is sent. */
void RawConnection_CloseWhenSent(RawConnection *connection);
/* Resets the connection (TCP RST) and frees it. */
void RawConnection_Reset(RawConnection *connection);

/* Returns a header of the request, "" when absent. */
const char *RawConnection_FindHeader(const RawConnection *connection,
                                     const char *name);
/* Returns a number of the query, or the default value when absent. */
int64_t RawConnection_FindQueryNumber(const RawConnection *connection,
                                      const char *name, int64_t default_value);
/* Copies a decoded text of the query into a buffer, "" when absent. */
void RawConnection_CopyQueryText(const RawConnection *connection,
                                 const char *name, char *text, size_t size);

#endif
