/*
 * The object API over HTTP.
 *
 *   GET  /v1/objects/NAME                       the value; ETag: its version
 *   GET  /v1/objects/NAME?above=V&wait_ms=T     as soon as its version is
 *                                               above V, or after T
 *   PUT  /v1/objects/NAME  If-Match: V          conditional update
 *   PUT  /v1/objects/NAME  If-None-Match: *     create if absent
 *   GET  /v1/list?prefix=P                      {"objects": [{"name",
 *                                               "version", "value"}]}
 *
 * 404 means absent, 409 or 412 a lost race; anything else, and no answer,
 * means that a put may have taken effect.
 */
#ifndef KCC_OBJECTS_HTTP_H
#define KCC_OBJECTS_HTTP_H

#include "../request/http_call.h"
#include "loop.h"

typedef struct KcObjects KcObjects;

typedef struct KcObjectsOptions {
    KcLoop *loop;
    const char *address;
    KcTime timeout; /* of a get or put */
    KcTime watch;   /* longest wait of one watch */
    KcCounters *counters;
} KcObjectsOptions;

KcObjects *KcObjects_Create(const KcObjectsOptions *options);

/*
 * Frees it.  Calls still outstanding are answered
 * KC_ERR_OBJECT_API_UNAVAILABLE, so that whoever was freed while waiting lets
 * go of its memory.
 */
void KcObjects_Free(KcObjects *objects);

/* The seam's table for this implementation. */
extern const KcObjectOps KcObjects_Http;

/* What a status says of a call: 0 or a KC_ERR_ number. */
int KcObjects_Code(int status);

/* Parses an ETag such as "17" with its quotes. */
uint64_t KcObjects_Version(const char *etag);

#endif
