/*
 * What lives for one request: the entry's request and its attempts, the
 * agent's work, the at-most-once claim, and the decisions on retries and on
 * the order of waiting work.
 *
 * Part 1 is timers and byte buffers, part 2 the object API seam, part 3 the
 * claim, part 4 retries, part 5 the entry's request, part 6 the agent's work
 * and its order.
 */
#ifndef KCC_REQUEST_H
#define KCC_REQUEST_H

#include <uthash.h>

#include "kcc_connection.h"
#include "kcc_types.h"
#include "kcc_version.h"

/* ---- Part 1: timers and buffers ----------------------------------------- */

typedef struct KcTimers KcTimers;

/* A timer, embedded in what it belongs to. */
typedef struct KcTimer {
    LIST_ENTRY(KcTimer) link;
    KcTime due;
    bool set; /* false in zeroed memory */
    void (*fire)(struct KcTimer *timer, KcTime now);
    void *owner;
} KcTimer;

KcTimers *KcTimers_Create(KcTime now);

/* Frees the wheel; timers still set are left to their owners. */
void KcTimers_Free(KcTimers *timers);

/* Prepares a timer that is not set. */
void KcTimer_Init(KcTimer *timer, void (*fire)(KcTimer *, KcTime),
                  void *owner);

/* Sets or moves a timer. */
void KcTimers_Set(KcTimers *timers, KcTimer *timer, KcTime due);

/* Clears a timer; one that is not set is left alone. */
void KcTimers_Clear(KcTimers *timers, KcTimer *timer);

/* Fires every timer that is due. */
void KcTimers_Run(KcTimers *timers, KcTime now);

/* Latest time by which KcTimers_Run() must be called, KC_NEVER if none. */
KcTime KcTimers_Next(const KcTimers *timers);

/* A growing queue of bytes. */
typedef struct KcBuffer {
    char *data;
    size_t start; /* first byte still held */
    size_t end;   /* one past the last byte */
    size_t capacity;
} KcBuffer;

void KcBuffer_Append(KcBuffer *buffer, const void *data, size_t size);
void KcBuffer_Drop(KcBuffer *buffer, size_t size);
void KcBuffer_Clear(KcBuffer *buffer);

static inline size_t
KcBuffer_Size(const KcBuffer *buffer)
{
    return buffer->end - buffer->start;
}

static inline const char *
KcBuffer_Data(const KcBuffer *buffer)
{
    return buffer->data + buffer->start;
}

/* ---- Part 2: the object API seam ---------------------------------------- */

/* Expected version of a put: the object must not exist. */
#define KC_OBJECT_ABSENT 0
/* Expected version of a put: any, including absent. */
#define KC_OBJECT_ANY UINT64_MAX

/* Longest name of an object, with its NUL. */
#define KC_OBJECT_NAME_MAX 192

/* Answer of the object API. */
typedef struct KcObjectReply {
    /*
     * 0, KC_ERR_CONFLICT, KC_ERR_NOT_FOUND, or KC_ERR_UNAVAILABLE: no
     * answer, and a put may have taken effect or may still do so.
     */
    int code;
    uint64_t version;
    KcBytes value; /* borrowed for the call */
} KcObjectReply;

typedef void (*KcObjectDone)(void *context, const KcObjectReply *reply);

/* The object API; done is called exactly once, never before returning. */
typedef struct KcObjectOps {
    void (*get)(void *objects, const char *name, KcObjectDone done,
                void *context);
    void (*put)(void *objects, const char *name, KcBytes value,
                uint64_t expected, KcObjectDone done, void *context);
    /* Answers once the version is above seen, or with the old one. */
    void (*watch)(void *objects, const char *name, uint64_t seen,
                  KcObjectDone done, void *context);
} KcObjectOps;

/* ---- Part 3: the at-most-once claim ------------------------------------- */

/* What a claim object says about the call that holds it. */
typedef enum KcClaimMark {
    KC_CLAIM_CLAIMED = 0, /* may be running */
    KC_CLAIM_DONE,        /* ran and was answered */
    KC_CLAIM_RELEASED,    /* did not run; the key may be used again */
    KC_CLAIM_UNKNOWN      /* may have run; no answer was delivered */
} KcClaimMark;

/* A decoded claim object. */
typedef struct KcClaimValue {
    char token[KC_REQUEST_ID_TEXT];
    KcClaimMark mark;
} KcClaimValue;

/* Encodes a claim object as JSON into text; returns its size. */
size_t KcClaimValue_Encode(const KcClaimValue *value, char *text, size_t size);

/* Decodes a claim object.  Returns 0 or KC_ERR_PARSE. */
int KcClaimValue_Decode(KcBytes bytes, KcClaimValue *value);

typedef struct KcClaim KcClaim;

/* Claims that are not settled yet; owned by whoever starts them. */
TAILQ_HEAD(KcClaimList, KcClaim);
typedef struct KcClaimList KcClaimList;

/* Verdict of a claim. */
typedef struct KcClaimVerdict {
    int code;         /* 0, KC_ERR_DUPLICATE or KC_ERR_UNAVAILABLE */
    KcClaimMark mark; /* of the earlier call, when a duplicate */
} KcClaimVerdict;

/* Options of a claim. */
typedef struct KcClaimOptions {
    const KcObjectOps *ops;
    void *objects;
    KcTimers *timers;
    const char *service;
    const char *customer;
    const char *key;          /* Idempotency-Key as the caller gave it */
    const KcRequestId *token; /* the request that claims */
    KcTime give_up;           /* time at which the claim fails */
    KcTime retry;             /* delay between tries */
    KcTime settle;            /* how long the mark is tried after that */
    KcTime (*clock)(void *clock_context); /* for late replies */
    void *clock_context; /* outlives the claim, unlike context */
    void (*verdict)(void *context, const KcClaimVerdict *verdict, KcTime now);
    void *context;     /* used until KcClaim_End() */
    KcClaimList *list; /* holds the claim until it is settled */
} KcClaimOptions;

/*
 * Starts to claim a key before a call that may not be repeated.  Exactly
 * one of two concurrent claims for the same key, service and customer is
 * granted; a reply that is lost is made good by reading the object back.
 */
KcClaim *KcClaim_Start(const KcClaimOptions *options, KcTime now);

/*
 * Ends the claim with what became of the call.  The claim records it in the
 * object API, retrying for a while, and frees itself.  May be called before
 * the verdict, which is then not given.
 */
void KcClaim_End(KcClaim *claim, KcClaimMark mark, KcTime now);

/* Drops every claim of a list, settled or not. */
void KcClaim_DiscardAll(KcClaimList *list);

/* ---- Part 4: retries ---------------------------------------------------- */

/* Share of requests that may be retried, as a token bucket. */
typedef struct KcRetryBudget {
    int64_t tokens;                  /* in thousandths of a retry */
    int64_t millitokens_per_request; /* thousandths added by each request */
    int64_t millitokens_max;         /* thousandths held at the most */
} KcRetryBudget;

/* Sets up a full budget. */
void KcRetryBudget_Init(KcRetryBudget *budget, int64_t percent, int64_t burst);

/* Credits the budget for one new request. */
void KcRetryBudget_Deposit(KcRetryBudget *budget);

/* True when a retry could be taken. */
bool KcRetryBudget_CanTake(const KcRetryBudget *budget);

/* Takes one retry; false when the budget is spent. */
bool KcRetryBudget_Take(KcRetryBudget *budget);

/* How an attempt ended. */
typedef enum KcAttemptEnd {
    KC_ATTEMPT_NEVER_SENT, /* no connection was made */
    KC_ATTEMPT_REFUSED,    /* the agent said that it did not run */
    KC_ATTEMPT_FAILED,     /* it ran and failed */
    KC_ATTEMPT_LOST        /* its fate is unknown */
} KcAttemptEnd;

/* What is known when an attempt has ended without a whole answer. */
typedef struct KcRetryInput {
    KcAttemptEnd end;
    int code; /* KcErrorCode of the attempt */
    bool repeatable;
    bool may_have_run;    /* an earlier attempt may have run */
    bool cancelled;       /* the caller is gone or the deadline passed */
    bool continues;       /* a partial answer can be continued elsewhere */
    bool part_delivered;  /* the caller has part of the answer */
    bool charge_refusals; /* a refused attempt takes from the budget, too */
    uint32_t attempts;    /* made so far */
    uint32_t attempts_max;
} KcRetryInput;

typedef enum KcRetryVerdict {
    KC_RETRY_NEXT,    /* propose to the next candidate */
    KC_RETRY_NOT_RUN, /* finish: no attempt ran */
    KC_RETRY_UNKNOWN  /* finish: an attempt may have run */
} KcRetryVerdict;

/*
 * Decides what follows an attempt without a whole answer.  A call that may
 * not be repeated is never sent again once an attempt may have run.
 */
KcRetryVerdict KcRetry_Decide(const KcRetryInput *input,
                              KcRetryBudget *budget);

/* ---- Part 5: the entry's request ---------------------------------------- */

struct KcBackend;
struct KcEntry;
struct KcCustomer;
typedef struct KcRequest KcRequest;

/* Attempts an entry makes for one request at the most. */
#define KC_ATTEMPTS_MAX 8

/* What a caller asks.  All text is borrowed for the call. */
typedef struct KcCall {
    bool plain;        /* a plain service, found by path */
    const char *model; /* "adapter@version" or "adapter" */
    const char *customer;
    uint32_t priority;
    KcTime deadline; /* duration; 0: the service's default */
    const char *key; /* Idempotency-Key, NULL when absent */
    const char *method;
    const char *path;
    const char *content_type;
    KcBytes body;
} KcCall;

/* How a request ended. */
typedef struct KcResult {
    KcRequestId id;
    KcOutcome outcome;
    KcError error;       /* code 0 when answered */
    KcTime retry_after;  /* 0: no hint */
    bool duplicate;      /* the key was used before */
    KcClaimMark earlier; /* what became of the earlier call */
    const char *finish;  /* finish reason of an engine */
    uint64_t tokens;
    const KcModelRef *model;
} KcResult;

/* The caller's side of a request. */
typedef struct KcCallerOps {
    /* The answer begins; called once, before the first data. */
    void (*started)(void *caller, KcRequest *request,
                    const KcMsgStarted *head);
    /* A piece of the answer; the caller reports it by KcEntry_Consumed(). */
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

/* One attempt at serving a request; a request has one at a time. */
typedef struct KcAttempt {
    TAILQ_ENTRY(KcAttempt) link; /* KcBackend.attempt_list */
    KcAttemptState state;
    KcRequest *request;
    struct KcBackend *backend;
    KcStream *stream; /* NULL while there is no connection */
    uint32_t number;
    uint64_t incarnation; /* of the agent it was sent to */
    bool remote;          /* in another region */
    bool started;         /* its STARTED was accepted */
    KcTime resume_until;
    KcTimer timer;
} KcAttempt;

/* One request at an entry. */
struct KcRequest {
    TAILQ_ENTRY(KcRequest) link; /* KcEntry.requests */
    struct KcEntry *entry;
    KcRequestId id;
    KcDocument *document; /* the version it was decided with */
    const KcService *service;
    KcModelRef model; /* adapter "" for a plain service */
    uint64_t route_key;
    struct KcCustomer *customer;
    char customer_name[KC_NAME_MAX];
    uint32_t priority;
    bool repeatable;
    KcTime arrived;
    KcTime deadline; /* the answer must have begun */
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
    bool may_have_run; /* an earlier attempt may have run */
    bool cancelled;    /* the deadline passed or the caller has gone */
    bool started;      /* the caller was told that the answer begins */
    bool finished;
    uint32_t held;      /* not freed while above zero */
    KcBuffer delivered; /* text of a model's answer */
    uint64_t offset;    /* bytes delivered to the caller */
    uint64_t consumed;  /* bytes the caller has taken */
    uint64_t credited;  /* bytes the agent knows to be taken */
    uint64_t tokens;
    char finish[32];
    KcError error;
    KcTime retry_after;
    KcTimer timer; /* deadline */
};

TAILQ_HEAD(KcRequestList, KcRequest);

/* ---- Part 6: the agent's work ------------------------------------------- */

typedef enum KcWorkState {
    KC_WORK_HELD = 0, /* waits for a newer document */
    KC_WORK_QUEUED,   /* waits for its adapter or a place */
    KC_WORK_RUNNING,  /* at the backend server */
    KC_WORK_ENDED     /* kept until its answer is delivered */
} KcWorkState;

/* Identifies an attempt at an agent. */
typedef struct KcWorkKey {
    KcRequestId request;
    uint64_t attempt;
} KcWorkKey;

/* Running calls of one customer at an agent. */
typedef struct KcShare {
    UT_hash_handle hh;
    char customer[KC_NAME_MAX];
    uint32_t running;
    uint32_t works; /* works that refer to it */
} KcShare;

/* One attempt at the agent. */
typedef struct KcWork {
    UT_hash_handle hh; /* by key */
    TAILQ_ENTRY(KcWork) link;
    KcWorkKey key;
    KcWorkState state;
    void *agent;
    KcStream *stream;        /* NULL while its entry is not connected */
    char entry[KC_NAME_MAX]; /* the entry that proposed it */
    bool orphan; /* its entry has been started anew: nobody will ask */
    char service[KC_NAME_MAX];
    KcModelRef model; /* adapter "" for a plain service */
    KcShare *share;
    uint32_t priority;
    bool repeatable;
    KcTime arrived;
    bool missed;       /* its adapter was not loaded when it arrived */
    KcTime stall;      /* time it waited for its adapter to be loaded */
    uint32_t requeued; /* times it was put back into the queue */
    struct KcModelState *waits_for; /* counted there while it waits */
    KcTime deadline;                /* the answer must have begun */
    uint64_t generation;            /* document that its entry decided with */
    char method[16];
    char path[256];
    char content_type[KC_NAME_MAX];
    KcBuffer body;
    KcBuffer delivered;  /* text to continue from */
    struct KcSlot *slot; /* pinned while running, model services */
    void *call;          /* the program's call to the backend server */
    bool throttled;      /* reading from the backend server is paused */
    bool started;        /* the backend server's answer has begun */
    bool started_sent;
    KcMsgStarted head; /* what STARTED says */
    KcBuffer out;      /* answer bytes not yet consumed by the entry */
    uint64_t acked;    /* offset of the first byte in out */
    uint64_t sent;     /* offset of the next byte to send */
    uint64_t tokens;   /* tokens received */
    int end_code;
    bool ran;
    bool end_sent;
    char finish[32];
    KcTimer timer;
} KcWork;

TAILQ_HEAD(KcWorkList, KcWork);
typedef struct KcWorkList KcWorkList;

/* Copies a proposal into a new work. */
KcWork *KcWork_Create(const KcMsgPropose *propose, uint64_t generation,
                      KcTime now);

/* Frees a work; it must be in no list and hold no pin. */
void KcWork_Free(KcWork *work);

/* Offset one past the last byte received from the backend server. */
uint64_t KcWork_Total(const KcWork *work);

/* Bytes sent and not yet consumed. */
uint64_t KcWork_Unacked(const KcWork *work);

/* Records that the entry consumed the answer up to offset. */
void KcWork_Acknowledge(KcWork *work, uint64_t offset);

/* Weights of the order of waiting work; durations in milliseconds. */
typedef struct KcOrderOptions {
    int64_t priority_step_ms; /* wait that one priority level outweighs */
    int64_t share_step_ms;    /* wait that one running call costs */
} KcOrderOptions;

/*
 * Urgency of a waiting work in milliseconds; the highest goes first.  It
 * grows with the time waited, so no work waits for ever.
 */
int64_t KcOrder_Urgency(const KcWork *work, const KcOrderOptions *options,
                        KcTime now);

#endif
