/*
 * Core types shared by all modules of libkcc: times, error codes, request
 * ids, adapter versions, names.
 *
 * Points in time and durations are KcTime and are passed in by the caller;
 * plain integers carry their unit in the name.  Functions that can fail
 * return 0 or a negative KcErrorCode.
 */
#ifndef KCC_TYPES_H
#define KCC_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/* A point in time on a monotonic clock, or a duration, in microseconds. */
typedef int64_t KcTime;

#define KC_MS ((KcTime)1000)
#define KC_SECOND ((KcTime)1000000)
#define KC_NEVER INT64_MAX /* later than any other time */

/* Size of the longest name of an adapter, instance, service or customer,
 * including the NUL. */
#define KC_NAME_MAX 64

/* Size of the longest host:port text, including the NUL. */
#define KC_ADDRESS_MAX 64

/* Versions of one adapter that a document may list. */
#define KC_ADAPTER_VERSIONS_MAX 8

/* TAILQ_FOREACH_SAFE is not in the C library's sys/queue.h. */
#ifndef TAILQ_FOREACH_SAFE
#define TAILQ_FOREACH_SAFE(var, head, field, next)                            \
    for ((var) = TAILQ_FIRST(head);                                           \
         (var) != NULL && ((next) = TAILQ_NEXT(var, field), 1);               \
         (var) = (next))
#endif

/* Error codes.  Zero is success; KcError_Name() returns their names. */
typedef enum KcErrorCode {
    KC_OK = 0,
    KC_ERR_NOMEM = -1,           /* out of memory */
    KC_ERR_INVALID = -2,         /* a value is not allowed */
    KC_ERR_PARSE = -3,           /* text or bytes cannot be decoded */
    KC_ERR_PROTOCOL = -4,        /* a message breaks the rules of the link */
    KC_ERR_TOO_LARGE = -5,       /* a size limit was exceeded */
    KC_ERR_UNKNOWN_MODEL = -6,   /* adapter not in the document */
    KC_ERR_VERSION_RETIRED = -7, /* adapter version has been retired */
    KC_ERR_NO_DOCUMENT = -8,     /* no document has been accepted yet */
    KC_ERR_DOCUMENT_BEHIND = -9, /* a newer document must be fetched first */
    KC_ERR_BUSY = -10,           /* queue full or wait longer than deadline */
    KC_ERR_LEAVING = -11,        /* planned stop: no new work is taken */
    KC_ERR_NO_BACKEND = -12,     /* no backend server is available */
    KC_ERR_LIMIT_EXCEEDED = -13, /* customer's rate or concurrency limit */
    KC_ERR_DEADLINE_EXCEEDED = -14, /* the deadline passed */
    KC_ERR_CANCELLED = -15,         /* cancelled by the caller */
    KC_ERR_PEER_LOST = -16,         /* peer or engine lost; may have run */
    KC_ERR_LOAD_FAILED = -17,       /* the adapter could not be loaded */
    KC_ERR_WRONG_MODEL = -18,       /* the answer names another adapter */
    KC_ERR_DUPLICATE = -19,         /* the idempotency key was used before */
    KC_ERR_CONFLICT = -20,          /* the object changed before the update */
    KC_ERR_OBJECT_API_UNAVAILABLE = -21, /* the object API did not answer */
    KC_ERR_NOT_FOUND = -22,              /* no such object */
    KC_ERR_NO_LEASE = -23,    /* no lease is held, so no orders are given */
    KC_ERR_STALE_FENCE = -24, /* an engine refused an old fencing number */
    KC_ERR_BACKEND = -25,     /* the backend server reported a failure */
    /* the service requires an Idempotency-Key */
    KC_ERR_IDEMPOTENCY_KEY_REQUIRED = -26,
    KC_ERR_UNKNOWN_WORK = -27,    /* the agent never received this attempt */
    KC_ERR_BLOCKED = -28,         /* a part of the prompt ends servers */
    KC_ERR_UNKNOWN_MESSAGE = -29, /* a message of a newer version's type */
    KC_ERR_UNKNOWN_KEY = -30,     /* no customer has the request's key */
    KC_ERR_UNCONFIRMED = -31,     /* the configuration may be out of date */
    KC_ERR_RANGE_END = -32        /* one below the last code; not an error */
} KcErrorCode;

/* An error with the step that failed and the peer it concerns. */
typedef struct KcError {
    int code;               /* KcErrorCode */
    const char *step;       /* static text, e.g. "claim" */
    char peer[KC_NAME_MAX]; /* name of the peer or item; "" for none */
} KcError;

/* What is certain about a finished request. */
typedef enum KcOutcome {
    KC_OUTCOME_NONE = 0, /* still in progress */
    KC_OUTCOME_ANSWERED, /* the whole answer was delivered */
    KC_OUTCOME_NOT_RUN,  /* no attempt ran */
    KC_OUTCOME_UNKNOWN   /* an attempt may have run */
} KcOutcome;

/* Identifies a request across all processes. */
typedef struct KcRequestId {
    uint64_t nonce;    /* of the entry */
    uint64_t sequence; /* number of the request at that entry */
} KcRequestId;

/* Size of a request id as hexadecimal text, including the NUL. */
#define KC_REQUEST_ID_TEXT_SIZE 33

/* One version of one adapter, the unit that engines load. */
typedef struct KcAdapterRef {
    char adapter[KC_NAME_MAX];
    uint32_t version;
} KcAdapterRef;

/*
 * Returns the name of an error code, e.g. "not_found", as a static string;
 * "unknown_error" for any other number.
 */
const char *KcError_Name(int code);

/*
 * Fills err, which may be NULL, and returns code, for use in return
 * statements.  step must be static text.
 */
int KcError_Set(KcError *err, int code, const char *step, const char *peer);

/* Size of "adapter@version" as text, including the NUL. */
#define KC_ADAPTER_REF_TEXT_SIZE (KC_NAME_MAX + 12)

/* Writes "adapter@version" into text. */
void KcAdapterRef_Format(const KcAdapterRef *ref,
                         char text[KC_ADAPTER_REF_TEXT_SIZE]);

/* Returns "answered", "not_run", "unknown" or "none". */
const char *KcOutcome_Name(KcOutcome outcome);

/* Writes id as 32 hexadecimal digits into text. */
void KcRequestId_Format(const KcRequestId *id,
                        char text[KC_REQUEST_ID_TEXT_SIZE]);

/* Returns true if both ids are the same. */
bool KcRequestId_Equal(const KcRequestId *a, const KcRequestId *b);

/* Copies at most size - 1 bytes of a string and terminates the copy. */
void KcText_Copy(char *to, const char *from, size_t size);

/*
 * Checks that a name is 1 to KC_NAME_MAX - 1 characters from
 * [A-Za-z0-9._-].  Returns 0 or KC_ERR_INVALID.
 */
int KcName_Check(const char *name);

/*
 * Allocates size zeroed bytes; the caller frees them.  Never returns NULL:
 * without memory the process aborts, and others take over its work as after
 * any failure.
 */
void *KcMem_New(size_t size);

/* Like realloc(), but never returns NULL: aborts as KcMem_New() does. */
void *KcMem_Realloc(void *old, size_t size);

#endif
