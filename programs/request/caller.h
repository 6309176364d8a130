/*
 * HTTP front end of an entry, with libevhtp.
 *
 * Serves /v1/completions, /v1/chat/completions and /v1/models. Any other path
 * is looked up among the plain services of the document.
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

/*
 * Listens at the callers' address of the settings. Returns NULL when it is
 * invalid or cannot be bound.
 */
KcFront *KcFront_Create(const KcFrontOptions *options);
void KcFront_Free(KcFront *front_end);

/* Request headers. */
#define KC_HEADER_CUSTOMER "X-Kcc-Customer"
#define KC_HEADER_PRIORITY "X-Kcc-Priority"
#define KC_HEADER_DEADLINE_MS "X-Kcc-Deadline-Ms"
#define KC_HEADER_KEY "Idempotency-Key"

/*
 * Response headers. The request id and the model are left out while they are
 * not known, the outcome at the start of a stream.
 */
#define KC_HEADER_REQUEST_ID "X-Kcc-Request-Id"
#define KC_HEADER_OUTCOME "X-Kcc-Outcome"
#define KC_HEADER_MODEL "X-Kcc-Model"

/* Longest value of the Idempotency-Key header. */
#define KC_IDEMPOTENCY_KEY_BYTES_MAX 256

#endif
