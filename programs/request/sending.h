/*
 * One sending of a caller's request to a backend server: the connection, the
 * request's bytes, the answer.
 */
#ifndef KCC_SENDING_H
#define KCC_SENDING_H

#include "../connection/http_pool.h"
#include "dialect.h"

typedef struct KcHttpAttempt KcHttpAttempt;

typedef struct KcSendingOptions {
    KcLoop *loop;
    const KcDialect *dialect;
    KcHttpPool *pool; /* of the server */
    KcTime connect_timeout;
    KcTime silence; /* a silent connection is noticed after it */
    size_t header_max;
    size_t reply_max;             /* bytes of an answer that is no stream */
    const KcHttpMessage *message; /* the caller's request; outlives it */
    KcBytes body;
} KcSendingOptions;

/*
 * Starts it.  What happens is reported to the forward, never before this
 * returns; the sending is over after OnReply, OnEnd and OnFailed.  NULL
 * when there is no connection to be had.
 */
KcHttpAttempt *KcSending_Start(const KcSendingOptions *options,
                               KcForward *forward, const KcSend *parameters);

/* Ends it, with its connection; nothing more is reported. */
void KcSending_Cancel(KcHttpAttempt *attempt);

/* Pauses or resumes reading the answer. */
void KcHttpAttempt_SetReadPaused(KcHttpAttempt *attempt, bool paused);

#endif
