/*
 * State shared by the two kinds of calls to a backend server.
 */
#ifndef KCC_BACKEND_CALL_INTERNAL_H
#define KCC_BACKEND_CALL_INTERNAL_H

#include "backend_call.h"
#include "http_call.h"

TAILQ_HEAD(KcOrderList, Order);

struct KcBackendHttp {
    KcLoop *loop;
    const KcSettings *settings;
    KcAgent *agent;
    struct KcOrderList orders;
    KcHttpCall *announcement; /* NULL when none is outstanding */
    uint64_t announced_fence; /* the number it shows */
    KcHttpCall *inspection;   /* NULL when none is outstanding */
    KcTime inspection_started_at;
};

/* One work at the backend server. */
typedef struct KcBackendCall {
    KcBackendHttp *client;
    KcWork *work;
    KcHttpCall *http_call;
    int http_status;
    bool stream_ended; /* an engine sent its finish reason */
    uint64_t token_count;
    char finish_reason[32];
    KcTimer bad_body_timer; /* reports a body that cannot be sent */
    KcBuffer partial_line;  /* bytes of an incomplete server-sent event */
} KcBackendCall;

KcBackendCall *KcBackendCall_Create(KcBackendHttp *client, KcWork *work);
void KcBackendCall_Free(KcBackendCall *call);

/* Frees the call and reports its end. */
void KcBackendCall_End(KcBackendCall *call, int code, bool ran,
                       const char *finish_reason);

/* engine_call.c and service_call.c: send a work. */
void KcEngineCall_Start(KcBackendHttp *client, KcWork *work);
void KcServiceCall_Start(KcBackendHttp *client, KcWork *work);

#endif
