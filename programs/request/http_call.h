/*
 * HTTP client for one request of our own: to the object API, the instance
 * list, an engine or a plain service.
 */
#ifndef KCC_HTTP_CALL_H
#define KCC_HTTP_CALL_H

#include "../connection/http_connection_pool.h"

typedef struct KcHttpCall KcHttpCall;

/* The head of a response. Strings are valid during the callback. */
typedef struct KcHttpResponseHead {
    int status;
    const char *content_type;   /* "" when absent */
    const char *reported_value; /* ETag or the reported header; "" if absent */
    const KcHttpMessage *message;
} KcHttpResponseHead;

/* Callbacks of a call. on_head and on_data may be NULL. */
typedef struct KcHttpCallOps {
    void (*on_head)(void *context, const KcHttpResponseHead *head);
    void (*on_data)(void *context, KcBytes bytes);
    /*
     * The call has ended and its pointer is not valid afterwards. code is 0
     * when the response is complete, KC_ERR_PARSE, KC_ERR_PEER_LOST, or the
     * error of a response that was cut off: KC_ERR_TOO_LARGE,
     * KC_ERR_PROTOCOL or KC_ERR_DEADLINE_EXCEEDED, which is logged.
     * sent is false when no byte of the request was passed to a connection.
     */
    void (*on_done)(void *context, int code, bool sent);
    /*
     * The cancelled call is being freed, after any callback on the stack has
     * returned; last use of context. May be NULL.
     */
    void (*on_cancelled)(void *context);
    /* Nothing accepts connections at the address; on_done follows.  May be
     * NULL. */
    void (*on_refused)(void *context);
} KcHttpCallOps;

/* Default of limits.timeout, in progress_timeouts. */
#define KC_HTTP_CALL_TIMEOUT_FACTOR 4

/* A request header. */
typedef struct KcHttpRequestHeader {
    const char *name;
    const char *value; /* NULL: the header is not sent */
} KcHttpRequestHeader;

/* Largest number of request headers of one call. */
#define KC_HTTP_CALL_HEADERS_MAX 6

typedef struct KcHttpCallOptions {
    KcLoop *loop;
    const char *address; /* "address:port" */
    const char *method;
    const char *path;
    KcHttpRequestHeader headers[KC_HTTP_CALL_HEADERS_MAX];
    /* Response header to report; static text; NULL: ETag. */
    const char *reported_field;
    KcBytes body;
    KcTime progress_timeout; /* longest time without progress */
    KcTime connect_timeout;  /* 0: as progress_timeout */
    /*
     * Limits of the response. Zero fields have defaults; that of the timeout
     * is KC_HTTP_CALL_TIMEOUT_FACTOR times progress_timeout.
     */
    KcIntakeLimits limits;
    /* Connections to address; NULL: the call opens one of its own. */
    KcHttpConnectionPool *pool;
    bool needs_new_connection;  /* which goes to the pool afterwards */
    KcTime pooled_idle_timeout; /* of its connection there; 0: 4 s */
    const KcHttpCallOps *ops;
    void *context;
} KcHttpCallOptions;

/*
 * Starts a call. Copies options with all strings but the name of the reported
 * header; loop and pool must outlive the call. Returns NULL when the address
 * or the method is invalid or no socket can be opened; on_done is not called
 * then. The call frees itself after on_done or KcHttpCall_Cancel().
 */
KcHttpCall *KcHttpCall_Start(const KcHttpCallOptions *options);

/* Ends a call; only on_cancelled is called for it afterwards. */
void KcHttpCall_Cancel(KcHttpCall *call);

/* Pauses or resumes reading the response, for backpressure on the server. */
void KcHttpCall_SetReadPaused(KcHttpCall *call, bool paused);

/* Status of a fetch when nothing accepts connections at the address. */
#define KC_FETCH_REFUSED (-1)

/*
 * Called with the complete response; status is 0 or KC_FETCH_REFUSED when
 * there was none. reported_value and body are valid during the callback.
 */
typedef void (*KcHttpFetchCallback)(void *context, int status,
                                    const char *reported_value, KcBytes body);

/*
 * Starts a call that collects the response; options->ops and context are not
 * used. Never returns NULL: a call that cannot be started is reported like one
 * without a response. on_done is never called before this returns.
 */
KcHttpCall *KcHttpCall_Fetch(const KcHttpCallOptions *options,
                             KcHttpFetchCallback on_done, void *context);

#endif
