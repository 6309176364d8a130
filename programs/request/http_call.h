/*
 * HTTP client for one request of our own: to the object API, the instance
 * list, an engine or a plain service.
 */
#ifndef KCC_HTTP_CALL_H
#define KCC_HTTP_CALL_H

#include "../connection/http_pool.h"

typedef struct KcHttpCall KcHttpCall;

/* The head of a response. Strings are valid during the callback. */
typedef struct KcHttpHead {
    int status;
    const char *content_type;   /* "" when absent */
    const char *reported_value; /* ETag or the reported header; "" if absent */
} KcHttpHead;

/* Callbacks of a call. on_head and on_data may be NULL. */
typedef struct KcHttpOps {
    void (*on_head)(void *context, const KcHttpHead *head);
    void (*on_data)(void *context, KcBytes bytes);
    /*
     * The call has ended and its pointer is not valid afterwards. code is 0
     * when the response is complete, else KC_ERR_PARSE or KC_ERR_LOST. sent is
     * false when no byte of the request was passed to a connection.
     */
    void (*on_done)(void *context, int code, bool sent);
    /*
     * The cancelled call is being freed, after any callback on the stack has
     * returned; last use of context. May be NULL.
     */
    void (*on_cancelled)(void *context);
} KcHttpOps;

/* A request header. */
typedef struct KcHttpHeader {
    const char *name;
    const char *value; /* NULL: the header is not sent */
} KcHttpHeader;

/* Largest number of request headers of one call. */
#define KC_HTTP_CALL_HEADERS_MAX 6

typedef struct KcHttpOptions {
    KcLoop *loop;
    const char *address; /* "address:port" */
    const char *method;
    const char *path;
    KcHttpHeader headers[KC_HTTP_CALL_HEADERS_MAX];
    const char *report; /* response header to report; static; NULL: ETag */
    KcBytes body;
    KcTime timeout;   /* without progress */
    KcTime connect;   /* for connecting; 0: the limit without progress */
    KcHttpPool *pool; /* of address; NULL: opens a connection of its own */
    const KcHttpOps *ops;
    void *context;
} KcHttpOptions;

/*
 * Starts a call. Copies options with all strings but the name of the reported
 * header; loop and pool must outlive the call. Returns NULL when the address
 * or the method is invalid or no socket can be opened; on_done is not called
 * then. The call frees itself after on_done or KcHttpCall_Cancel().
 */
KcHttpCall *KcHttpCall_Start(const KcHttpOptions *options);

/* Ends a call; only on_cancelled is called for it afterwards. */
void KcHttpCall_Cancel(KcHttpCall *call);

/* Pauses or resumes reading the response, for backpressure on the server. */
void KcHttpCall_Throttle(KcHttpCall *call, bool paused);

/*
 * Called with the complete response; status is 0 when there was none.
 * reported_value and body are valid during the callback.
 */
typedef void (*KcHttpWhole)(void *context, int status,
                            const char *reported_value, KcBytes body);

/*
 * Starts a call that collects the response; options->ops and context are not
 * used. Never returns NULL: a call that cannot be started is reported like one
 * without a response. on_done is never called before this returns.
 */
KcHttpCall *KcHttpCall_Fetch(const KcHttpOptions *options, KcHttpWhole on_done,
                             void *context);

#endif
