/*
 * The callers' side of an entry: HTTP/1.1 by libevhtp.
 *
 * /v1/completions, /v1/chat/completions and /v1/models; any other path is
 * looked up among the plain services of the document.
 */
#ifndef KCC_CALLER_H
#define KCC_CALLER_H

#include "../process/loop.h"
#include "../process/settings.h"

typedef struct KcFront KcFront;

typedef struct KcFrontOptions {
    KcLoop *loop;
    const KcSettings *settings;
    KcEntry *entry;
} KcFrontOptions;

/* Listens for callers.  NULL when the address cannot be bound. */
KcFront *KcFront_Create(const KcFrontOptions *options);
void KcFront_Free(KcFront *front_end);

/* Headers that callers may send. */
#define KC_HEADER_CUSTOMER "X-Kcc-Customer"
#define KC_HEADER_PRIORITY "X-Kcc-Priority"
#define KC_HEADER_DEADLINE_MS "X-Kcc-Deadline-Ms"
#define KC_HEADER_KEY "Idempotency-Key"

/* Headers of every answer. */
#define KC_HEADER_REQUEST_ID "X-Kcc-Request-Id"
#define KC_HEADER_OUTCOME "X-Kcc-Outcome"
#define KC_HEADER_MODEL "X-Kcc-Model"

/* Longest Idempotency-Key in bytes. */
#define KC_IDEMPOTENCY_KEY_BYTES_MAX 256

#endif
