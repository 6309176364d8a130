/*
 * Client of the object API over HTTP.
 *
 *   GET  /v1/objects/NAME                       the value; ETag: its version
 *   GET  /v1/objects/NAME?above=V&wait_ms=T     as soon as its version is
 *                                               above V, or after T
 *   PUT  /v1/objects/NAME  If-Match: V          conditional update
 *   PUT  /v1/objects/NAME  If-None-Match: *     create if absent
 *   GET  /v1/list?prefix=P                      {"objects": [{"name",
 *                                               "version", "value"}]}
 *
 * Status 404 means that the object does not exist, 409 or 412 that another
 * writer was first. After any other failure a PUT may have taken effect.
 */
#ifndef KCC_OBJECTS_HTTP_H
#define KCC_OBJECTS_HTTP_H

#include "../request/http_call.h"
#include "loop.h"

typedef struct KcObjectClient KcObjectClient;

/* Time for the answer to arrive after the longest wait of a watch. */
#define KC_OBJECT_WATCH_MARGIN (2 * KC_SECOND)

typedef struct KcObjectClientOptions {
    KcLoop *loop;
    const char *address;  /* "address:port"; copied */
    KcTime call_timeout;  /* of a get or put */
    KcTime watch_timeout; /* longest wait of one watch */
    KcCounters *counters;
} KcObjectClientOptions;

KcObjectClient *KcObjectClient_Create(const KcObjectClientOptions *options);

/*
 * Cancels all calls and frees the client. The callback of each outstanding
 * call gets KC_ERR_OBJECT_API_UNAVAILABLE, so that an owner that was freed
 * during its call can free its memory.
 */
void KcObjectClient_Free(KcObjectClient *client);

/* The functions of the client; their context is a KcObjectClient. */
extern const KcObjectOps KcObjectClient_Ops;

/* Returns the KcErrorCode of a call that ended with this HTTP status, or 0. */
int KcObjectClient_StatusToError(int status);

/* Parses an ETag, a decimal number in quotes such as "17". */
uint64_t KcObjectClient_ParseVersion(const char *etag);

#endif
