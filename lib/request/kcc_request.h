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
    KcTime due_at;
    bool is_set; /* false in zeroed memory */
    /* Called when due; the timer has been cleared and may be set again. */
    void (*on_due)(struct KcTimer *timer, KcTime now);
    void *owner; /* for on_due */
} KcTimer;

/* Creates an empty wheel; the caller frees it by KcTimers_Free(). */
KcTimers *KcTimers_Create(KcTime now);

/* Frees the wheel and no timers; they must not be set or cleared any more. */
void KcTimers_Free(KcTimers *timers);

/* Initialises a timer, which is not set yet. */
void KcTimer_Init(KcTimer *timer, void (*on_due)(KcTimer *, KcTime),
                  void *owner);

/* Sets or moves a timer; KC_NEVER clears it. */
void KcTimers_Set(KcTimers *timers, KcTimer *timer, KcTime due_at);

/* Clears a timer; does nothing when it is not set. */
void KcTimers_Clear(KcTimers *timers, KcTimer *timer);

/* Clears every timer that is due and calls its on_due. */
void KcTimers_Run(KcTimers *timers, KcTime now);

/* Returns the latest time by which KcTimers_Run() must be called, KC_NEVER
 * when there is none.  May be earlier than any timer is due. */
KcTime KcTimers_NextDue(const KcTimers *timers);

/* A growing queue of bytes; empty in zeroed memory. */
typedef struct KcBuffer {
    char *data;
    size_t start; /* offset of the first byte */
    size_t end;   /* offset one past the last byte */
    size_t capacity;
} KcBuffer;

/* Makes room for so many more bytes. */
void KcBuffer_Reserve(KcBuffer *buffer, size_t size);
/* Appends a copy of the bytes. */
void KcBuffer_Append(KcBuffer *buffer, const void *data, size_t size);
/* Removes bytes from the front; size is at most KcBuffer_Size(). */
void KcBuffer_DropFront(KcBuffer *buffer, size_t size);
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
    /* An empty buffer has no memory. */
    return buffer->data != NULL ? buffer->data + buffer->start : NULL;
}

/* ---- Part 2: the interface to the object API ---------------------------- */

/* Expected version of a put that creates the object: it must not exist. */
#define KC_OBJECT_ABSENT 0
/* Expected version of an unconditional put. */
#define KC_OBJECT_ANY UINT64_MAX

/* Longest name of an object, with its NUL. */
#define KC_OBJECT_NAME_MAX 192

/* Reply of the object API. */
typedef struct KcObjectReply {
    /*
     * 0, KC_ERR_CONFLICT, KC_ERR_NOT_FOUND, or KC_ERR_OBJECT_API_UNAVAILABLE:
     * no answer, and a put may have taken effect or may still do so.
     */
    int code;
    uint64_t version; /* of the object; valid with code 0 */
    KcBytes value;    /* of a get or watch; borrowed for the call */
    uint64_t era;     /* of the version, see KcRevision; 0: the API names none
                       */
} KcObjectReply;

typedef void (*KcObjectCallback)(void *context, const KcObjectReply *reply);

/* Calls to the object API.  done is called exactly once for each, and never
 * before the call returns. */
typedef struct KcObjectOps {
    void (*get)(void *objects, const char *name, KcObjectCallback done,
                void *context);
    void (*put)(void *objects, const char *name, KcBytes value,
                uint64_t expected_version, KcObjectCallback done,
                void *context);
    /* Replies once the version is above seen_version, or after a while with
     * the old one. */
    void (*watch)(void *objects, const char *name, uint64_t seen_version,
                  KcObjectCallback done, void *context);
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
    char token[KC_REQUEST_ID_TEXT_SIZE]; /* id of the request that wrote it */
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
typedef struct KcClaimResult {
    /* 0 (granted), KC_ERR_DUPLICATE or KC_ERR_OBJECT_API_UNAVAILABLE */
    int code;
    KcClaimMark mark; /* of the earlier call, with KC_ERR_DUPLICATE */
} KcClaimResult;

/* Options of a claim; strings are borrowed for KcClaim_Start(). */
typedef struct KcClaimOptions {
    const KcObjectOps *ops;
    void *objects; /* first argument of ops */
    KcTimers *timers;
    const char *service;
    const char *customer;
    const char *key;          /* Idempotency-Key as the caller gave it */
    const KcRequestId *token; /* the request that claims */
    KcTime claim_until;       /* when an undecided claim fails */
    KcTime retry_delay;       /* delay before a call is retried */
    KcTime record_timeout;    /* limits KcClaim_End()'s tries to record */
    KcTime (*clock)(void *clock_context); /* time of replies */
    void *clock_context; /* must outlive the claim, unlike context */
    /* Called at most once, and not after KcClaim_End(). */
    void (*on_result)(void *context, const KcClaimResult *result, KcTime now);
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

/* Drops every claim of a list, also those whose mark is not recorded.  One
 * that waits for a reply of the object API is freed when that arrives. */
void KcClaim_DiscardAll(KcClaimList *list);

/* ---- Part 4: retries ---------------------------------------------------- */

/* A token bucket that limits retries to a share of the requests. */
typedef struct KcRetryBudget {
    int64_t millitokens;             /* saved up, in thousandths of a retry */
    int64_t millitokens_per_request; /* added by each request */
    int64_t millitokens_max;         /* saved up at the most */
} KcRetryBudget;

/* Sets up a full budget: percent retries are allowed per 100 requests, and at
 * most burst retries are saved up. */
void KcRetryBudget_Init(KcRetryBudget *budget, int64_t percent, int64_t burst);

/* Adds the share of one new request. */
void KcRetryBudget_Deposit(KcRetryBudget *budget);

/* True when KcRetryBudget_Take() would succeed. */
bool KcRetryBudget_CanTake(const KcRetryBudget *budget);

/* Takes one retry; returns false when there is none left. */
bool KcRetryBudget_Take(KcRetryBudget *budget);

/* How an attempt without a complete answer ended. */
typedef enum KcAttemptEnd {
    KC_ATTEMPT_NEVER_SENT, /* no byte of it was sent */
    KC_ATTEMPT_REFUSED,    /* the peer reported that it did not run */
    KC_ATTEMPT_FAILED,     /* it ran and failed */
    KC_ATTEMPT_LOST        /* unknown whether it ran */
} KcAttemptEnd;

/* Returns false when an attempt that ended so has not run, and never will. */
bool KcAttemptEnd_MayHaveRun(KcAttemptEnd end);

/* Input of KcRetry_Decide(): the attempt that ended, and its request. */
typedef struct KcRetryInput {
    KcAttemptEnd end;
    int code; /* KcErrorCode of the attempt */
    bool repeatable;
    bool may_have_run;      /* an earlier attempt may have run */
    bool cancelled;         /* the deadline passed or the caller has gone */
    bool can_continue;      /* a partial answer can be continued elsewhere */
    bool part_delivered;    /* the caller has part of the answer */
    bool charge_refusals;   /* a refused attempt takes from the budget, too */
    uint32_t attempt_count; /* that count towards attempts_max */
    uint32_t attempts_max;
} KcRetryInput;

typedef enum KcRetryDecision {
    KC_RETRY_NEXT,    /* make another attempt */
    KC_RETRY_NOT_RUN, /* fail the request: no attempt ran */
    KC_RETRY_UNKNOWN  /* fail the request: an attempt may have run */
} KcRetryDecision;

/*
 * Decides what follows an attempt without a complete answer; takes from the
 * budget when the next attempt is to be charged to it.  A request that may not
 * be repeated is never sent again once an attempt may have run.
 */
KcRetryDecision KcRetry_Decide(const KcRetryInput *input,
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
    const char *model; /* "adapter@version" or "adapter"; not for plain */
    const char *customer;
    uint32_t priority;           /* 0 to KC_PRIORITY_MAX (most urgent) */
    KcTime timeout;              /* duration; 0: the service's default */
    const char *idempotency_key; /* NULL when absent */
    const char *method;
    const char *path;
    const char *content_type;
    KcBytes body;
} KcCall;

/* How a request ended; pointers are valid during KcCallerOps' last call. */
typedef struct KcResult {
    KcRequestId id;
    KcOutcome outcome;
    KcError error;            /* code 0 when answered */
    KcTime retry_after;       /* 0: no hint */
    bool is_duplicate;        /* the idempotency key was used before */
    KcClaimMark earlier_mark; /* state of the earlier call, when a duplicate */
    const char *finish_reason; /* an engine's finish reason, "" when none */
    uint64_t tokens;           /* of the answer */
    const KcAdapterRef *model;
} KcResult;

/* Reports of an entry to the caller of a request. */
typedef struct KcCallerOps {
    /* The answer begins; called once, before the first data. */
    void (*on_started)(void *caller, KcRequest *request,
                       const KcMsgStarted *head);
    /* A piece of the answer; the caller confirms it by
     * KcEntry_AcknowledgeConsumed(). */
    void (*on_data)(void *caller, KcRequest *request, KcBytes bytes,
                    uint64_t tokens);
    /* The request ended; its pointer is not valid afterwards. */
    void (*on_finished)(void *caller, const KcResult *result);
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
    bool answer_started;  /* its STARTED message was accepted */
    KcTime resume_until;  /* lost when not resumed by then */
    KcTimer timer;
} KcAttempt;

/* One request at an entry, which owns and frees it. */
struct KcRequest {
    TAILQ_ENTRY(KcRequest) link; /* KcEntry.requests */
    struct KcEntry *entry;
    KcRequestId id;
    KcDocument *document; /* version that decides it; holds a reference */
    const KcService *service;
    KcAdapterRef model; /* adapter "" for a plain service */
    uint64_t route_key; /* for rendezvous hashing: KcRoute_MakeKey(), or for a
                         * plain service a number of the request */
    struct KcCustomer *customer;
    char customer_name[KC_NAME_MAX];
    uint32_t priority;
    bool repeatable;
    KcTime arrived_at;
    KcTime deadline; /* the answer must have begun by then */
    char method[16];
    char path[256];
    char content_type[KC_NAME_MAX];
    KcBuffer body;
    const KcCallerOps *caller_ops;
    void *caller; /* NULL when the caller has gone */
    KcClaim *claim;
    KcAttempt attempt;
    uint32_t attempt_count; /* made so far */
    struct KcBackend *tried_backends[KC_ATTEMPTS_MAX];
    uint32_t tried_count;
    bool may_have_run;   /* an earlier attempt may have run */
    bool cancelled;      /* the deadline passed or the caller has gone */
    bool answer_started; /* the caller has the head of the answer */
    bool finished;       /* ended; freed when no call uses it any more */
    uint32_t
        active_call_count;   /* calls in progress that still use the request */
    KcBuffer delivered_text; /* a model's answer so far, to be continued */
    uint64_t delivered_bytes; /* bytes of the answer passed to the caller */
    uint64_t consumed_bytes;  /* bytes that the caller confirmed */
    uint64_t credited_bytes;  /* bytes that the agent takes as confirmed; a new
                               * attempt starts with all delivered ones */
    uint64_t tokens;          /* of the answer so far */
    char finish_reason[32];   /* an engine's finish reason, "" when none */
    KcError error;            /* of the last attempt that failed, or why the
                               * request ended without an answer */
    KcTime retry_after;       /* hint to the caller; 0: none */
    KcTimer deadline_timer;   /* at the deadline */
};

TAILQ_HEAD(KcRequestList, KcRequest);

/* ---- Part 6: the agent's work ------------------------------------------- */

typedef enum KcWorkState {
    KC_WORK_AWAITING_DOCUMENT = 0, /* waits for a newer document */
    KC_WORK_QUEUED,  /* waits for its adapter or for free capacity */
    KC_WORK_RUNNING, /* at the backend server */
    KC_WORK_ENDED    /* kept for its answer and as a record that it ran */
} KcWorkState;

/* Identifies an attempt at an agent. */
typedef struct KcWorkKey {
    KcRequestId request;
    uint64_t attempt;
} KcWorkKey;

/* One customer's share of an agent, for fairness among customers. */
typedef struct KcCustomerShare {
    UT_hash_handle hh; /* by customer */
    char customer[KC_NAME_MAX];
    uint32_t running;    /* its works in state RUNNING */
    uint32_t work_count; /* works that refer to this share */
} KcCustomerShare;

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
    KcAdapterRef model;     /* adapter "" for a plain service */
    KcCustomerShare *share; /* of its customer */
    uint32_t priority;
    bool repeatable;
    KcTime arrived_at;
    bool adapter_missed; /* its adapter was not loaded when it was queued */
    KcTime stall;        /* how long it waited for its adapter to be loaded */
    uint32_t requeue_count; /* times it was put back into the queue */
    /* Its adapter while QUEUED, else NULL. */
    struct KcModelState *awaited_model;
    KcTime deadline;     /* the answer must have begun by then */
    uint64_t generation; /* document that its entry decided by */
    char method[16];
    char path[256];
    char content_type[KC_NAME_MAX];
    KcBuffer body;
    KcBuffer delivered_text; /* by earlier attempts; to be continued */
    struct KcSlot *slot;     /* its adapter's, pinned while RUNNING; or NULL */
    void *backend_call;      /* the program's call to the backend server */
    bool reading_paused;     /* reading from the backend server is paused */
    bool answer_started;     /* the backend server's answer has begun */
    bool started_sent;       /* STARTED was sent to the entry */
    KcMsgStarted started_msg; /* contents of STARTED */
    KcBuffer answer;        /* answer bytes that the entry has not confirmed */
    uint64_t acked_offset;  /* offset of the first byte not confirmed */
    uint64_t sent_offset;   /* offset of the next byte to send */
    uint64_t tokens;        /* of the answer so far */
    int end_code;           /* KcErrorCode, valid when ENDED */
    bool has_run;           /* the backend server may have run it: set at its
                             * start, cleared if it did not run */
    bool end_sent;          /* END was sent to the entry */
    char finish_reason[32]; /* an engine's finish reason, "" when none */
    KcTimer timer;          /* wait for a document, deadline or retention */
} KcWork;

TAILQ_HEAD(KcWorkList, KcWork);
typedef struct KcWorkList KcWorkList;

/* Creates a work from a proposal, which it copies; the caller owns it. */
KcWork *KcWork_Create(const KcMsgPropose *propose, uint64_t generation,
                      KcTime now);

/* Frees a work, which must be in no list and have no slot or stream. */
void KcWork_Free(KcWork *work);

/* Returns the offset one past the last byte of the answer so far. */
uint64_t KcWork_EndOffset(const KcWork *work);

/* Returns the number of bytes sent and not yet confirmed by the entry. */
uint64_t KcWork_UnackedBytes(const KcWork *work);

/* Drops the answer up to offset, which the entry confirmed; an offset that was
 * confirmed before or never sent is ignored. */
void KcWork_Acknowledge(KcWork *work, uint64_t offset);

/* Weights of the order of waiting works. */
typedef struct KcUrgencyOptions {
    int64_t priority_step_ms; /* added for each priority level */
    int64_t share_step_ms;    /* subtracted for each work in
                                 KcCustomerShare.running */
} KcUrgencyOptions;

/*
 * Returns the urgency of a waiting work in milliseconds; the highest goes
 * first.  It grows with the time waited, so no work waits for ever.
 */
int64_t KcWork_Urgency(const KcWork *work, const KcUrgencyOptions *options,
                       KcTime now);

#endif
