/*
 * What lives for one request: the entry's request and its attempts, the
 * agent's work, the at-most-once claim, and the decisions on retries and on
 * the order of waiting work.
 *
 * Part 1 is timers and byte buffers, part 2 the interface to the object API,
 * part 3 the claim, part 4 retries, part 5 the entry's request, part 6 the
 * agent's work and its order.
 */
#ifndef KCC_REQUEST_H
#define KCC_REQUEST_H

#include <uthash.h>

#include "kcc_connection.h"
#include "kcc_types.h"
#include "kcc_version.h"

/* ---- Part 1: timers and buffers ----------------------------------------- */

/* A timer wheel with a resolution of 1 ms. */
typedef struct KcTimers KcTimers;

/* One timer; embedded in its owner, which must clear it before it is freed. */
typedef struct KcTimer {
    LIST_ENTRY(KcTimer) link;
    KcTime due;
    bool set; /* false in zeroed memory */
    /* Called when due; the timer has been cleared and may be set again. */
    void (*fire)(struct KcTimer *timer, KcTime now);
    void *owner;
} KcTimer;

/* Creates an empty wheel; the caller frees it by KcTimers_Free(). */
KcTimers *KcTimers_Create(KcTime now);

/* Frees the wheel and no timers; they must not be set or cleared any more. */
void KcTimers_Free(KcTimers *timers);

/* Initialises a timer, which is not set yet. */
void KcTimer_Init(KcTimer *timer, void (*fire)(KcTimer *, KcTime),
                  void *owner);

/* Sets or moves a timer; KC_NEVER clears it. */
void KcTimers_Set(KcTimers *timers, KcTimer *timer, KcTime due);

/* Clears a timer; does nothing when it is not set. */
void KcTimers_Clear(KcTimers *timers, KcTimer *timer);

/* Fires every timer that is due. */
void KcTimers_Run(KcTimers *timers, KcTime now);

/* Returns the latest time by which KcTimers_Run() must be called, KC_NEVER
 * when there is none.  May be earlier than any timer is due. */
KcTime KcTimers_Next(const KcTimers *timers);

/* A growing queue of bytes; empty in zeroed memory. */
typedef struct KcBuffer {
    char *data;
    size_t start; /* offset of the first byte */
    size_t end;   /* offset one past the last byte */
    size_t capacity;
} KcBuffer;

/* Appends a copy of the bytes. */
void KcBuffer_Append(KcBuffer *buffer, const void *data, size_t size);
/* Removes bytes from the front; size is at most KcBuffer_Size(). */
void KcBuffer_Drop(KcBuffer *buffer, size_t size);
/* Frees the memory; the buffer is empty and may be used again. */
void KcBuffer_Clear(KcBuffer *buffer);

/* Returns the number of bytes in the buffer. */
static inline size_t
KcBuffer_Size(const KcBuffer *buffer)
{
    return buffer->end - buffer->start;
}

/* Returns the bytes, valid until the buffer is changed. */
static inline const char *
KcBuffer_Data(const KcBuffer *buffer)
{
    return buffer->data + buffer->start;
}

/* ---- Part 2: the interface to the object API ---------------------------- */

/* Expected version of a put: the object must not exist. */
#define KC_OBJECT_ABSENT 0
/* Expected version of a put: any, including absent. */
#define KC_OBJECT_ANY UINT64_MAX

/* Longest name of an object, with its NUL. */
#define KC_OBJECT_NAME_MAX 192

/* Reply of the object API. */
typedef struct KcObjectReply {
    /*
     * 0, KC_ERR_CONFLICT, KC_ERR_NOT_FOUND, or KC_ERR_UNAVAILABLE: no
     * answer, and a put may have taken effect or may still do so.
     */
    int code;
    uint64_t version; /* of the object; valid with code 0 */
    KcBytes value;    /* of a get or watch; borrowed for the call */
} KcObjectReply;

typedef void (*KcObjectDone)(void *context, const KcObjectReply *reply);

/* Calls to the object API.  done is called exactly once for each, and never
 * before the call returns. */
typedef struct KcObjectOps {
    void (*get)(void *objects, const char *name, KcObjectDone done,
                void *context);
    void (*put)(void *objects, const char *name, KcBytes value,
                uint64_t expected_version, KcObjectDone done, void *context);
    /* Replies once the version is above seen_version, or after a while with
     * the old one. */
    void (*watch)(void *objects, const char *name, uint64_t seen_version,
                  KcObjectDone done, void *context);
} KcObjectOps;

/* ---- Part 3: the at-most-once claim ------------------------------------- */

/* State of the call that holds a claim, as recorded in the claim object. */
typedef enum KcClaimMark {
    KC_CLAIM_CLAIMED = 0, /* may be running */
    KC_CLAIM_DONE,        /* ran and was answered */
    KC_CLAIM_RELEASED,    /* did not run; the key may be used again */
    KC_CLAIM_UNKNOWN      /* may have run; no answer was delivered */
} KcClaimMark;

/* A decoded claim object. */
typedef struct KcClaimValue {
    char token[KC_REQUEST_ID_TEXT]; /* id of the request that wrote it */
    KcClaimMark mark;
} KcClaimValue;

/* Encodes a claim object as JSON into text of the given size; returns the
 * length of the JSON without its NUL. */
size_t KcClaimValue_Encode(const KcClaimValue *value, char *text, size_t size);

/* Decodes a claim object.  Returns 0 or KC_ERR_PARSE; value may be partly
 * written then. */
int KcClaimValue_Decode(KcBytes bytes, KcClaimValue *value);

typedef struct KcClaim KcClaim;

/* Claims whose final mark is not recorded yet. */
TAILQ_HEAD(KcClaimList, KcClaim);
typedef struct KcClaimList KcClaimList;

/* Result of an attempt to claim a key. */
typedef struct KcClaimVerdict {
    int code;         /* 0: granted; KC_ERR_DUPLICATE or KC_ERR_UNAVAILABLE */
    KcClaimMark mark; /* of the earlier call, with KC_ERR_DUPLICATE */
} KcClaimVerdict;

/* Options of a claim; strings are borrowed for KcClaim_Start(). */
typedef struct KcClaimOptions {
    const KcObjectOps *ops;
    void *objects;
    KcTimers *timers;
    const char *service;
    const char *customer;
    const char *key;          /* Idempotency-Key as the caller gave it */
    const KcRequestId *token; /* the request that claims */
    KcTime give_up;           /* when an undecided claim fails */
    KcTime retry;             /* delay before a call is retried */
    KcTime settle; /* how long KcClaim_End() tries to record the mark */
    KcTime (*clock)(void *clock_context); /* time of replies */
    void *clock_context; /* must outlive the claim, unlike context */
    /* Called at most once, and not after KcClaim_End(). */
    void (*verdict)(void *context, const KcClaimVerdict *result, KcTime now);
    void *context;
    KcClaimList *list; /* contains the claim until its mark is recorded */
} KcClaimOptions;

/*
 * Starts to claim a key before a call that may not be repeated.  At most one
 * of the claims for the same key, service and customer is granted at a time.
 * After a lost reply the object is read back.  The caller must end the claim
 * by KcClaim_End() or KcClaim_DiscardAll(), which free it.
 */
KcClaim *KcClaim_Start(const KcClaimOptions *options, KcTime now);

/*
 * Ends the claim: records the mark, which says how the call ended, in the
 * claim object, retrying for a while, and then frees the claim.  May be called
 * before the result, which is then not reported.
 */
void KcClaim_End(KcClaim *claim, KcClaimMark mark, KcTime now);

/* Frees every claim of a list, also those whose mark is not recorded. */
void KcClaim_DiscardAll(KcClaimList *list);

/* ---- Part 4: retries ---------------------------------------------------- */

/* A token bucket that limits retries to a share of the requests. */
typedef struct KcRetryBudget {
    int64_t tokens;                  /* thousandths of a retry held */
    int64_t millitokens_per_request; /* added by each request */
    int64_t millitokens_max;         /* held at the most */
} KcRetryBudget;

/* Sets up a full budget: each request adds percent of a retry, and at most
 * burst retries are held. */
void KcRetryBudget_Init(KcRetryBudget *budget, int64_t percent, int64_t burst);

/* Adds the share of one new request. */
void KcRetryBudget_Deposit(KcRetryBudget *budget);

/* True when KcRetryBudget_Take() would succeed. */
bool KcRetryBudget_CanTake(const KcRetryBudget *budget);

/* Takes one retry; returns false when there is none left. */
bool KcRetryBudget_Take(KcRetryBudget *budget);

/* How an attempt without a complete answer ended. */
typedef enum KcAttemptEnd {
    KC_ATTEMPT_NEVER_SENT, /* no connection was made */
    KC_ATTEMPT_REFUSED,    /* the peer reported that it did not run */
    KC_ATTEMPT_FAILED,     /* it ran and failed */
    KC_ATTEMPT_LOST        /* unknown whether it ran */
} KcAttemptEnd;

/* Input of KcRetry_Decide(): the attempt that ended, and its request. */
typedef struct KcRetryInput {
    KcAttemptEnd end;
    int code; /* KcErrorCode of the attempt */
    bool repeatable;
    bool may_have_run;    /* an earlier attempt may have run */
    bool cancelled;       /* the caller is gone or the deadline passed */
    bool continues;       /* a partial answer can be continued elsewhere */
    bool part_delivered;  /* the caller has part of the answer */
    bool charge_refusals; /* a refused attempt takes from the budget, too */
    uint32_t attempts;    /* that count towards attempts_max */
    uint32_t attempts_max;
} KcRetryInput;

typedef enum KcRetryVerdict {
    KC_RETRY_NEXT,    /* make another attempt */
    KC_RETRY_NOT_RUN, /* fail the request: no attempt ran */
    KC_RETRY_UNKNOWN  /* fail the request: an attempt may have run */
} KcRetryVerdict;

/*
 * Decides what follows an attempt without a complete answer; takes from the
 * budget when the next attempt is to be charged to it.  A request that may not
 * be repeated is never sent again once an attempt may have run.
 */
KcRetryVerdict KcRetry_Decide(const KcRetryInput *input,
                              KcRetryBudget *budget);

/* ---- Part 5: the entry's request ---------------------------------------- */

struct KcBackend;
struct KcEntry;
struct KcCustomer;
typedef struct KcRequest KcRequest;

/* Most attempts that an entry makes for one request. */
#define KC_ATTEMPTS_MAX 8

/* A caller's request as submitted to an entry, which copies the text. */
typedef struct KcCall {
    bool plain;        /* to a plain service, found by path */
    const char *model; /* "adapter@version" or "adapter" */
    const char *customer;
    uint32_t priority; /* the highest is the most urgent */
    KcTime deadline;   /* duration; 0: the service's default */
    const char *key;   /* Idempotency-Key, NULL when absent */
    const char *method;
    const char *path;
    const char *content_type;
    KcBytes body;
} KcCall;

/* How a request ended; pointers are valid during KcCallerOps' last call. */
typedef struct KcResult {
    KcRequestId id;
    KcOutcome outcome;
    KcError error;       /* code 0 when answered */
    KcTime retry_after;  /* 0: no hint */
    bool duplicate;      /* the idempotency key was used before */
    KcClaimMark earlier; /* state of the earlier call, when a duplicate */
    const char *finish;  /* an engine's finish reason, "" when none */
    uint64_t tokens;     /* of the answer */
    const KcModelRef *model;
} KcResult;

/* Reports of an entry to the caller of a request. */
typedef struct KcCallerOps {
    /* The answer begins; called once, before the first data. */
    void (*started)(void *caller, KcRequest *request,
                    const KcMsgStarted *head);
    /* A piece of the answer; the caller confirms it by KcEntry_Consumed(). */
    void (*data)(void *caller, KcRequest *request, KcBytes bytes,
                 uint64_t tokens);
    /* The request ended; its pointer is not valid afterwards. */
    void (*finished)(void *caller, const KcResult *result);
} KcCallerOps;

typedef enum KcAttemptState {
    KC_ATTEMPT_IDLE = 0,   /* no attempt in progress */
    KC_ATTEMPT_CONNECTING, /* waits for a connection, never sent */
    KC_ATTEMPT_PROPOSED,   /* sent, no reply yet */
    KC_ATTEMPT_ADMITTED,   /* queued or running at the agent */
    KC_ATTEMPT_RESUMING    /* its connection was lost after it was sent */
} KcAttemptState;

/* One attempt of an entry to serve a request; a request has one at a time. */
typedef struct KcAttempt {
    TAILQ_ENTRY(KcAttempt) link; /* KcBackend.attempt_list */
    KcAttemptState state;
    KcRequest *request;
    struct KcBackend *backend;
    KcStream *stream;     /* NULL while there is no connection */
    uint32_t number;      /* 1 for the request's first attempt */
    uint64_t incarnation; /* of the agent that it was sent to */
    bool remote;          /* the agent is in another region */
    bool started;         /* its STARTED message was accepted */
    KcTime resume_until;  /* lost when not resumed by then */
    KcTimer timer;
} KcAttempt;

/* One request at an entry, which owns and frees it. */
struct KcRequest {
    TAILQ_ENTRY(KcRequest) link; /* KcEntry.requests */
    struct KcEntry *entry;
    KcRequestId id;
    KcDocument *document; /* the version it is decided by */
    const KcService *service;
    KcModelRef model;   /* adapter "" for a plain service */
    uint64_t route_key; /* for rendezvous hashing of the backend servers */
    struct KcCustomer *customer;
    char customer_name[KC_NAME_MAX];
    uint32_t priority;
    bool repeatable;
    KcTime arrived;
    KcTime deadline; /* the answer must have begun by then */
    char method[16];
    char path[256];
    char content_type[KC_NAME_MAX];
    KcBuffer body;
    const KcCallerOps *caller_ops;
    void *caller; /* NULL when the caller has gone */
    KcClaim *claim;
    KcAttempt attempt;
    uint32_t attempts; /* made so far */
    struct KcBackend *tried[KC_ATTEMPTS_MAX];
    uint32_t tried_count;
    bool may_have_run;  /* an earlier attempt may have run */
    bool cancelled;     /* the deadline passed or the caller has gone */
    bool started;       /* the caller has the head of the answer */
    bool finished;      /* ended; freed when no call uses it any more */
    uint32_t held;      /* calls in progress that still use the request */
    KcBuffer delivered; /* a model's answer so far, to continue it elsewhere */
    uint64_t offset;    /* bytes of the answer passed to the caller */
    uint64_t consumed;  /* bytes that the caller confirmed */
    uint64_t credited;  /* bytes confirmed to the agent */
    uint64_t tokens;    /* of the answer so far */
    char finish[32];    /* an engine's finish reason */
    KcError error;      /* of the last attempt that failed */
    KcTime retry_after; /* hint to the caller; 0: none */
    KcTimer timer;      /* at the deadline */
};

TAILQ_HEAD(KcRequestList, KcRequest);

/* ---- Part 6: the agent's work ------------------------------------------- */

typedef enum KcWorkState {
    KC_WORK_HELD = 0, /* waits for a newer document */
    KC_WORK_QUEUED,   /* waits for its adapter or for free capacity */
    KC_WORK_RUNNING,  /* at the backend server */
    KC_WORK_ENDED     /* kept until its answer is delivered */
} KcWorkState;

/* Identifies an attempt at an agent. */
typedef struct KcWorkKey {
    KcRequestId request;
    uint64_t attempt;
} KcWorkKey;

/* One customer's share of an agent, for fairness among customers. */
typedef struct KcShare {
    UT_hash_handle hh; /* by customer */
    char customer[KC_NAME_MAX];
    uint32_t running; /* its works in state RUNNING */
    uint32_t works;   /* works that refer to this share */
} KcShare;

/* A work: one attempt at the agent, with its answer. */
typedef struct KcWork {
    UT_hash_handle hh;        /* by key */
    TAILQ_ENTRY(KcWork) link; /* KcAgent's list for its state */
    KcWorkKey key;
    KcWorkState state;
    void *agent;             /* KcAgent */
    KcStream *stream;        /* NULL while its entry is not connected */
    char entry[KC_NAME_MAX]; /* the entry that proposed it */
    bool orphan;             /* its entry restarted and will not resume it */
    char service[KC_NAME_MAX];
    KcModelRef model; /* adapter "" for a plain service */
    KcShare *share;   /* of its customer */
    uint32_t priority;
    bool repeatable;
    KcTime arrived;
    bool missed;       /* its adapter was not loaded when it was queued */
    KcTime stall;      /* how long it waited for its adapter to be loaded */
    uint32_t requeued; /* times it was put back into the queue */
    struct KcModelState *waits_for; /* its adapter while QUEUED, else NULL */
    KcTime deadline;                /* the answer must have begun by then */
    uint64_t generation;            /* document that its entry decided by */
    char method[16];
    char path[256];
    char content_type[KC_NAME_MAX];
    KcBuffer body;
    KcBuffer delivered;  /* answer so far of earlier attempts, to continue */
    struct KcSlot *slot; /* its adapter's, pinned while RUNNING; or NULL */
    void *call;          /* the program's call to the backend server */
    bool throttled;      /* reading from the backend server is paused */
    bool started;        /* the backend server's answer has begun */
    bool started_sent;   /* STARTED was sent to the entry */
    KcMsgStarted head;   /* contents of STARTED */
    KcBuffer out;        /* answer bytes that the entry has not confirmed */
    uint64_t acked;      /* offset of the first byte not confirmed */
    uint64_t sent;       /* offset of the next byte to send */
    uint64_t tokens;     /* of the answer so far */
    int end_code;        /* KcErrorCode, valid when ENDED */
    bool ran;            /* was given to the backend server */
    bool end_sent;       /* END was sent to the entry */
    char finish[32];     /* an engine's finish reason */
    KcTimer timer;       /* wait for a document, deadline or retention */
} KcWork;

TAILQ_HEAD(KcWorkList, KcWork);
typedef struct KcWorkList KcWorkList;

/* Creates a work from a proposal, which it copies; the caller owns it. */
KcWork *KcWork_Create(const KcMsgPropose *propose, uint64_t generation,
                      KcTime now);

/* Frees a work, which must be in no list and have no slot or stream. */
void KcWork_Free(KcWork *work);

/* Returns the offset one past the last byte of the answer so far. */
uint64_t KcWork_Total(const KcWork *work);

/* Returns the number of bytes sent and not yet confirmed by the entry. */
uint64_t KcWork_Unacked(const KcWork *work);

/* Drops the answer up to offset, which the entry confirmed; an offset that was
 * confirmed before or never sent is ignored. */
void KcWork_Acknowledge(KcWork *work, uint64_t offset);

/* Weights of the order of waiting works. */
typedef struct KcOrderOptions {
    int64_t priority_step_ms; /* added for each priority level */
    int64_t share_step_ms;    /* subtracted for each work in KcShare.running */
} KcOrderOptions;

/*
 * Returns the urgency of a waiting work in milliseconds; the highest goes
 * first.  It grows with the time waited, so no work waits for ever.
 */
int64_t KcOrder_Urgency(const KcWork *work, const KcOrderOptions *options,
                        KcTime now);

#endif
