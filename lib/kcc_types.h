/*
 * Core types shared by every package of libkcc.
 *
 * Times are microseconds on a monotonic clock and are always passed in by the
 * caller.  Byte counts are size_t or uint64_t, durations carry their unit in
 * the name.  Functions that can fail return 0 or a negative KcErrorCode.
 */
#ifndef KCC_TYPES_H
#define KCC_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/* Microseconds on a monotonic clock. */
typedef int64_t KcTime;

#define KC_MS ((KcTime)1000)
#define KC_SECOND ((KcTime)1000000)
#define KC_NEVER INT64_MAX

/* Longest name of an adapter, instance, service or customer, with its NUL. */
#define KC_NAME_MAX 64

/* Longest host:port text, with its NUL. */
#define KC_ADDRESS_MAX 64

/* Versions an adapter may list at one time. */
#define KC_ADAPTER_VERSIONS_MAX 8

/* TAILQ_FOREACH_SAFE is not in the C library's sys/queue.h. */
#ifndef TAILQ_FOREACH_SAFE
#define TAILQ_FOREACH_SAFE(var, head, field, next)                            \
    for ((var) = TAILQ_FIRST(head);                                           \
         (var) != NULL && ((next) = TAILQ_NEXT(var, field), 1);               \
         (var) = (next))
#endif

/* Error numbers.  Zero is success; each has a name, see KcError_Name(). */
typedef enum KcErrorCode {
    KC_OK = 0,
    KC_ERR_NOMEM = -1,
    KC_ERR_INVALID = -2,         /* a value is outside its range */
    KC_ERR_PARSE = -3,           /* text or bytes that cannot be decoded */
    KC_ERR_PROTOCOL = -4,        /* a frame that breaks the link's rules */
    KC_ERR_TOO_LARGE = -5,       /* a size limit was exceeded */
    KC_ERR_UNKNOWN_MODEL = -6,   /* adapter not in the document */
    KC_ERR_VERSION_RETIRED = -7, /* adapter version has been retired */
    KC_ERR_NO_DOCUMENT = -8,     /* no accepted document is known yet */
    KC_ERR_DOCUMENT_BEHIND = -9, /* a newer generation must be fetched first */
    KC_ERR_BUSY = -10,           /* queue full or wait longer than deadline */
    KC_ERR_LEAVING = -11,        /* backend server takes no new work */
    KC_ERR_NO_BACKEND = -12,     /* no backend server is available */
    KC_ERR_LIMIT_EXCEEDED = -13, /* customer's rate or concurrency limit */
    KC_ERR_DEADLINE_EXCEEDED = -14, /* the deadline passed */
    KC_ERR_CANCELLED = -15,         /* withdrawn by the caller */
    KC_ERR_PEER_LOST = -16,         /* peer or engine lost, fate unknown */
    KC_ERR_LOAD_FAILED = -17,       /* the adapter could not be loaded */
    KC_ERR_WRONG_MODEL = -18,       /* the answer names another adapter */
    KC_ERR_DUPLICATE = -19,         /* the idempotency key was used before */
    KC_ERR_CONFLICT = -20,          /* a conditional update lost the race */
    KC_ERR_OBJECT_API_UNAVAILABLE = -21, /* the object API did not answer */
    KC_ERR_NOT_FOUND = -22,              /* no such object */
    KC_ERR_NO_LEASE = -23,    /* the agent holds no lease for its orders */
    KC_ERR_STALE_FENCE = -24, /* an engine refused an old fencing number */
    KC_ERR_BACKEND = -25,     /* the backend server reported a failure */
    KC_ERR_IDEMPOTENCY_KEY_REQUIRED =
        -26,                   /* the service wants an Idempotency-Key */
    KC_ERR_UNKNOWN_WORK = -27, /* the agent never saw this attempt */
    KC_ERR_RANGE_END = -28     /* one past the last; not an error */
} KcErrorCode;

/* An error with the step at which it arose and the peer it concerns. */
typedef struct KcError {
    int code;               /* KcErrorCode */
    const char *step;       /* static text, e.g. "claim" */
    char peer[KC_NAME_MAX]; /* instance name, "" when none is involved */
} KcError;

/* What can be said for certain about a finished request. */
typedef enum KcOutcome {
    KC_OUTCOME_NONE = 0, /* still in progress */
    KC_OUTCOME_ANSWERED, /* the whole answer was delivered */
    KC_OUTCOME_NOT_RUN,  /* no attempt ran */
    KC_OUTCOME_UNKNOWN   /* an attempt may have run */
} KcOutcome;

/* Names one request across all processes: entry's nonce and a sequence. */
typedef struct KcRequestId {
    uint64_t nonce;
    uint64_t sequence;
} KcRequestId;

/* Length of a request id as hexadecimal text, with its NUL. */
#define KC_REQUEST_ID_TEXT_SIZE 33

/* One version of one adapter, the unit that engines load. */
typedef struct KcAdapterRef {
    char adapter[KC_NAME_MAX];
    uint32_t version;
} KcAdapterRef;

/*
 * Names an error number in lower case, e.g. "not_found".
 * Returns a static string, "unknown_error" for a number that is not ours.
 */
const char *KcError_Name(int code);

/*
 * Fills err and returns code, so that a caller can write
 * return KcError_Set(err, KC_ERR_PEER_LOST, "resume", name).  err may be NULL.
 */
int KcError_Set(KcError *err, int code, const char *step, const char *peer);

/* Size of "adapter@version" as text, with its NUL. */
#define KC_ADAPTER_REF_TEXT_SIZE (KC_NAME_MAX + 12)

/* Writes "adapter@version" into text. */
void KcAdapterRef_Format(const KcAdapterRef *ref,
                         char text[KC_ADAPTER_REF_TEXT_SIZE]);

/* Names an outcome: "answered", "not_run", "unknown" or "none". */
const char *KcOutcome_Name(KcOutcome outcome);

/* Writes id as 32 hexadecimal digits into text. */
void KcRequestId_Format(const KcRequestId *id,
                        char text[KC_REQUEST_ID_TEXT_SIZE]);

/* Returns true when both ids name the same request. */
bool KcRequestId_Equal(const KcRequestId *a, const KcRequestId *b);

/* Copies a name, truncating at size - 1; always terminates. */
void KcText_Copy(char *to, const char *from, size_t size);

/*
 * Checks that a name is 1 to KC_NAME_MAX - 1 characters from
 * [A-Za-z0-9._-].  Returns 0 or KC_ERR_INVALID.
 */
int KcName_Check(const char *name);

/*
 * Allocates size zeroed bytes and never returns NULL: a process without
 * memory stops, and its work is resumed elsewhere as after any failure.
 */
void *KcMem_New(size_t size);

/* Grows an allocation in place of realloc(); never returns NULL. */
void *KcMem_Realloc(void *old, size_t size);

#endif
