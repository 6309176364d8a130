/*
 * State shared by the calls to model engines and to plain services.
 */
#ifndef KCC_BACKEND_CALL_INTERNAL_H
#define KCC_BACKEND_CALL_INTERNAL_H

#include "backend_call.h"
#include "http_call.h"

TAILQ_HEAD(KcOrderList, Order);

struct KcBackendHttpClient {
    KcLoop *loop;
    const KcSettings *settings;
    KcAgent *agent;
    struct KcOrderList orders; /* outstanding loads and unloads */
    KcHttpCall *announcement;  /* of a fencing number, in progress; or NULL */
    uint64_t announced_fence;  /* the number in announcement */
    KcHttpCall *inspection;    /* of the engine, in progress; or NULL */
    KcTime inspection_started_at;
};

/* The HTTP call for one work. */
typedef struct KcBackendCall {
    KcBackendHttpClient *client;
    KcWork *work;
    KcHttpCall *http_call;
    int http_status;
    bool stream_ended; /* the engine has sent the [DONE] event */
    uint64_t token_count;
    char finish_reason[32];
    KcTimer bad_body_timer; /* reports from the loop a body that is not a JSON
                               object */
    KcBuffer partial_line;  /* received part of an incomplete line */
} KcBackendCall;

/* Creates the call of a work and stores it as work->backend_call. */
KcBackendCall *KcBackendCall_Create(KcBackendHttpClient *client, KcWork *work);
/* Frees the call but not its HTTP call. */
void KcBackendCall_Free(KcBackendCall *call);

/*
 * Frees the call and reports the end of its work to the agent. ran is false
 * when the backend server certainly did not run the request.
 */
void KcBackendCall_End(KcBackendCall *call, int code, bool ran,
                       const char *finish_reason);

/*
 * Send a work to a model engine (engine_call.c) or to a plain service
 * (service_call.c). The end is reported by KcBackendCall_End().
 */
void KcEngineCall_Start(KcBackendHttpClient *client, KcWork *work);
void KcServiceCall_Start(KcBackendHttpClient *client, KcWork *work);

#endif
