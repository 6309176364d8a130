/*
 * HTTP front end of an entry, with libevhtp.
 *
 * Serves /v1/completions, /v1/chat/completions and /v1/models. Any other path
 * is looked up among the plain services of the document.
 */
#ifndef KCC_ENTRY_FRONT_END_H
#define KCC_ENTRY_FRONT_END_H

#include "../process/loop.h"
#include "../process/settings.h"

typedef struct KcEntryFrontEnd KcEntryFrontEnd;

typedef struct KcEntryFrontEndOptions {
    KcLoop *loop;
    const KcSettings *settings;
    KcEntry *entry;
    KcCounters *counters;
    int64_t connections_max;
} KcEntryFrontEndOptions;

/*
 * Listens at the callers' address of the settings. Returns NULL when it is
 * invalid or cannot be bound.
 */
KcEntryFrontEnd *KcEntryFrontEnd_Create(const KcEntryFrontEndOptions *options);
void KcEntryFrontEnd_Free(KcEntryFrontEnd *front_end);

/* Request headers. */
#define KC_HEADER_CUSTOMER "X-Kcc-Customer"
#define KC_HEADER_PRIORITY "X-Kcc-Priority"
#define KC_HEADER_DEADLINE_MS "X-Kcc-Deadline-Ms"
#define KC_HEADER_IDEMPOTENCY_KEY "Idempotency-Key"

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
