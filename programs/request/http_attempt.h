/*
 * One attempt of a gateway to serve a caller's request at a backend server
 * over HTTP: gets a connection, writes the request, parses the reply.
 */
#ifndef KCC_HTTP_ATTEMPT_H
#define KCC_HTTP_ATTEMPT_H

#include "../connection/http_connection_pool.h"
#include "dialect.h"
#include "request_body.h"

typedef struct KcHttpAttempt KcHttpAttempt;

/* Reports when the instance of a server that is registered now has started,
 * ms; 0: unknown. */
typedef void (*KcStartCallback)(void *context, int64_t started_at_ms);

/* Reads of the records that servers have in the store. */
typedef struct KcStartReaderOps {
    /* Reads the record as it is from now on; calls done once, never before it
     * returns. */
    void *(*begin)(void *reader, const struct KcServer *server,
                   KcStartCallback done, void *done_context);
    /* Ends a read that begin() returned; done is not called any more. */
    void (*cancel)(void *reader, void *read);
} KcStartReaderOps;

typedef struct KcHttpAttemptOptions {
    KcLoop *loop;
    const KcHttpDialect *dialect;
    KcHttpConnectionPool *pool; /* of connections to the server */
    KcTime connect_timeout;
    KcTime silence_timeout; /* see KcSocket_SetConnectionOptions() */
    size_t head_bytes_max;  /* bytes of replies that are not body */
    /* Where the server tells who it is: its id in a header, or the time of
     * its start in the body; "": nowhere.  Must outlive the attempt. */
    const char *identity_path;
    /* For a server that tells its id only. */
    const KcStartReaderOps *start_reader_ops;
    void *start_reader; /* first argument of these */
    /*
     * Limits of a reply. The body's is that of a reply that is not a stream;
     * the request's deadline limits the time, its parameters the events.
     */
    KcIntakeLimits limits;
    /* Head and body of the caller's request. The head must outlive the
     * attempt, the body must live until a reply begins; it may be NULL. */
    const KcHttpMessage *request_head;
    KcRequestBody *request_body;
} KcHttpAttemptOptions;

/*
 * Starts an attempt. Progress is reported to forwarded, never before this
 * returns. The attempt is over, and its pointer not valid, after
 * KcForwardAttempt_OnReply(), KcForwardAttempt_OnStreamEnd() or
 * KcForwardAttempt_OnFailed().
 * Returns NULL when no connection can be opened.
 */
KcHttpAttempt *KcHttpAttempt_Start(const KcHttpAttemptOptions *options,
                                   KcForwardAttempt *forwarded,
                                   const KcAttemptParams *params);

/* Cancels the attempt and resets its connection; nothing more is reported. */
void KcHttpAttempt_Cancel(KcHttpAttempt *attempt);

/* Pauses or resumes reading the reply, for backpressure on the server. */
void KcHttpAttempt_SetReadPaused(KcHttpAttempt *attempt, bool paused);

#endif
