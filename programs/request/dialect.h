/*
 * How requests and answers are spelled by callers and backend servers: the
 * seam between the gateway and whichever platform it stands on.
 */
#ifndef KCC_DIALECT_H
#define KCC_DIALECT_H

#include <event2/buffer.h>

#include "../connection/http_peer.h"

/* Copies of what a call names, for as long as the call is submitted. */
typedef struct KcCallText {
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
} KcCallText;

/* What the head of a backend server's answer says. */
typedef struct KcReplyHead {
    bool ours;    /* the answer belongs to the request */
    bool not_run; /* the server did not run the request */
    bool other_server;
    bool stream;   /* its body is a series of events */
    bool unusable; /* must not be passed on as it is */
    bool has_load;
    uint32_t running; /* valid with has_load, as the next two */
    uint32_t waiting;
    uint32_t places;
    KcTime keep; /* the connection may be idle so long; 0: not told */
} KcReplyHead;

typedef struct KcDialect {
    /*
     * Reads what a caller's request asks.  Returns 0, or KC_ERR_INVALID
     * with the header at fault as the step of err.
     */
    int (*parse_caller_request)(const KcHttpMessage *message,
                                KcForwardCall *call, KcCallText *names,
                                KcError *err);
    /* Writes the head of the request for a backend server. */
    void (*write_request_head)(struct evbuffer *out,
                               const KcHttpMessage *message, size_t body_size,
                               const KcSend *send);
    /* Reads the head of an answer to the request with this id. */
    void (*parse_reply_head)(const KcHttpMessage *message, const char *id,
                             KcReplyHead *head);
    /* Writes status and headers of an answer, but for its framing. */
    void (*write_answer_head)(struct evbuffer *out, const KcHttpMessage *reply,
                              bool close);
    /* Writes a whole answer of our own. */
    void (*write_refusal)(struct evbuffer *out,
                          const KcForwardRefusal *refusal, bool close);
} KcDialect;

#endif
