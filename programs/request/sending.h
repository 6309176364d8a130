/*
 * One attempt of a gateway to serve a caller's request at a backend server
 * over HTTP: gets a connection, writes the request, parses the reply.
 */
#ifndef KCC_SENDING_H
#define KCC_SENDING_H

#include "../connection/http_pool.h"
#include "dialect.h"

typedef struct KcHttpAttempt KcHttpAttempt;

typedef struct KcSendingOptions {
    KcLoop *loop;
    const KcDialect *dialect;
    KcHttpPool *pool; /* of connections to the server */
    KcTime connect_timeout;
    KcTime silence;    /* see KcSocket_SetConnectionOptions() */
    size_t header_max; /* bytes of the head of a reply */
    size_t reply_max;  /* bytes of the body of a reply that is not a stream */
    /* Head and body of the caller's request; must outlive the attempt. */
    const KcHttpMessage *message;
    KcBytes body;
} KcSendingOptions;

/*
 * Starts an attempt. Progress is reported to forward, never before this
 * returns. The attempt is over, and its pointer not valid, after
 * KcForward_OnReply(), KcForward_OnEnd() or KcForward_OnFailed(). Returns NULL
 * when no connection can be opened.
 */
KcHttpAttempt *KcSending_Start(const KcSendingOptions *options,
                               KcForward *forward, const KcSend *parameters);

/* Cancels the attempt and resets its connection; nothing more is reported. */
void KcSending_Cancel(KcHttpAttempt *attempt);

/* Pauses or resumes reading the reply, for backpressure on the server. */
void KcHttpAttempt_SetReadPaused(KcHttpAttempt *attempt, bool paused);

#endif
