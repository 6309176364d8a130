/*
 * One HTTP request of our own as a client: to the object API, the instance
 * list, an engine or a plain service.
 */
#ifndef KCC_HTTP_CALL_H
#define KCC_HTTP_CALL_H

#include "../connection/http_pool.h"

typedef struct KcHttpCall KcHttpCall;

/* What the answer's head says.  Text is borrowed for the call. */
typedef struct KcHttpHead {
    int status;
    const char *content_type; /* "" when absent */
    const char *etag;         /* or the header asked for; "" when absent */
} KcHttpHead;

/* Progress of a call.  head and data may be NULL. */
typedef struct KcHttpOps {
    void (*on_head)(void *context, const KcHttpHead *head);
    void (*on_data)(void *context, KcBytes bytes);
    /*
     * The call ended; its pointer is not valid afterwards.  code 0: the
     * answer is whole.  sent is false when no byte of the request left.
     */
    void (*on_done)(void *context, int code, bool sent);
    /* The call was cancelled and is over; may be NULL. */
    void (*on_cancelled)(void *context);
} KcHttpOps;

/* One header to send. */
typedef struct KcHttpHeader {
    const char *name;
    const char *value; /* NULL: left out */
} KcHttpHeader;

#define KC_HTTP_CALL_HEADERS_MAX 6

typedef struct KcHttpOptions {
    KcLoop *loop;
    const char *address; /* "address:port" */
    const char *method;
    const char *path;
    KcHttpHeader headers[KC_HTTP_CALL_HEADERS_MAX];
    const char *report; /* header reported in place of ETag; NULL: ETag */
    KcBytes body;
    KcTime timeout;   /* without progress */
    KcTime connect;   /* for connecting; 0: timeout */
    KcHttpPool *pool; /* connections to address; NULL: one for this call */
    const KcHttpOps *ops;
    void *context;
} KcHttpOptions;

/*
 * Starts a call.  Returns NULL when it cannot be started, for a bad address
 * or method; done is not called then.
 */
KcHttpCall *KcHttpCall_Start(const KcHttpOptions *options);

/* Ends a call; nothing is reported for it afterwards. */
void KcHttpCall_Cancel(KcHttpCall *call);

/* Pauses or resumes reading the answer. */
void KcHttpCall_Throttle(KcHttpCall *call, bool paused);

/* Called with the whole answer: status 0 when there was none. */
typedef void (*KcHttpWhole)(void *context, int status, const char *etag,
                            KcBytes body);

/*
 * Starts a call whose answer is collected; options->ops is not used.  One
 * that cannot be started is reported like one that has no answer, never
 * before the return.
 */
KcHttpCall *KcHttpCall_Fetch(const KcHttpOptions *options, KcHttpWhole on_done,
                             void *context);

#endif
