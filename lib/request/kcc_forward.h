/*
 * A caller's request that is passed on unchanged to a backend server, as a
 * gateway decides on it.
 *
 * Part 1 is what the front end says, part 2 what the gateway tells it, part
 * 3 what the sending side reports, part 4 the request itself.
 */
#ifndef KCC_FORWARD_H
#define KCC_FORWARD_H

#include "kcc_request.h"
#include "kcc_routing.h"
#include "kcc_types.h"

struct KcGateway;
struct KcServer;
struct KcAdapterState;
typedef struct KcForward KcForward;

/* Longest name that a caller gives its attempt, with its NUL. */
#define KC_CALLER_ID_MAX 72

/* ---- Part 1: what a caller asks ------------------------------------------ */

/* Text is borrowed for the call of KcGateway_Submit(). */
typedef struct KcForwardCall {
    const char *id; /* the caller's name for this attempt, for logs */
    const char *host;
    const char *path;
    const char *model;          /* "" when none is named */
    const char *adapter;        /* "" when none is named */
    uint64_t prompt_tokens;     /* of the prompt; 0 when unknown */
    uint64_t answer_tokens_max; /* at the most; 0 when unknown */
    KcTime timeout;             /* duration; 0: none */
    bool has_last_event;        /* the caller goes on after last_event */
    uint64_t last_event_id;     /* valid when resumes */
} KcForwardCall;

/* ---- Part 2: what the caller is told ------------------------------------- */

/* An answer of our own, in place of a backend server's. */
typedef struct KcForwardRefusal {
    KcError error;
    bool may_have_run;  /* false promises: it has not run and never will */
    KcTime retry_after; /* 0: no hint */
} KcForwardRefusal;

/*
 * The caller's side.  The last call for a request is one of end, broken and
 * refuse; its pointer is not valid afterwards.
 */
typedef struct KcForwardOps {
    /* The answer begins; head is the sending side's, borrowed. */
    void (*begin)(void *caller, const void *head, bool stream);
    /* Bytes of the answer's body: of a stream, whole events. */
    void (*data)(void *caller, KcBytes bytes);
    /* The answer is whole. */
    void (*end)(void *caller);
    /* The answer has begun and will not be completed. */
    void (*broken)(void *caller, const KcError *error);
    /* There is no answer of a backend server. */
    void (*refuse)(void *caller, const KcForwardRefusal *refusal);
} KcForwardOps;

/* ---- Part 3: what the sending side reports ------------------------------- */

/* What one sending is to say. */
typedef struct KcAttemptParams {
    struct KcServer *server;
    KcTime time_left;  /* until the request is given up */
    uint32_t priority; /* 0 is the most urgent */
    bool has_last_event;
    uint64_t last_event_id; /* valid when resumes */
    uint32_t version;       /* of the adapter that must be loaded; 0: any */
    bool needs_fresh_connection; /* on a connection that was not used before */
} KcAttemptParams;

/* The head of a backend server's answer. */
typedef struct KcReply {
    int status;
    bool not_run;        /* the server says that it did not run the request */
    bool is_misdirected; /* not the server, model or version that was meant */
    const void *head;    /* passed to the caller's begin; borrowed */
    KcBytes body;        /* the whole body; empty for a stream */
} KcReply;

/* An answer that is not a stream has arrived whole. */
void KcForward_OnReply(KcForward *forward, const KcReply *reply, KcTime now);

/* A stream's answer begins. */
void KcForward_OnStreamBegin(KcForward *forward, const KcReply *reply,
                             KcTime now);

/* One whole event of the stream; has_id is false for comments. */
void KcForward_OnStreamEvent(KcForward *forward, bool has_id, uint64_t id,
                             KcBytes bytes, KcTime now);

/* The stream has ended whole. */
void KcForward_OnStreamEnd(KcForward *forward, KcTime now);

/* The sending failed; end says what is known of its fate. */
void KcForward_OnAttemptFailed(KcForward *forward, KcAttemptEnd end, int code,
                               KcTime now);

/* The caller has gone: nothing more is told, the pointer is not valid. */
void KcForward_Abandon(KcForward *forward, KcTime now);

/* ---- Part 4: the request ------------------------------------------------- */

typedef enum KcForwardState {
    KC_FORWARD_QUEUED = 0, /* waits for a place */
    KC_FORWARD_LOADING,    /* waits for its adapter */
    KC_FORWARD_SENT,       /* at a backend server, no answer yet */
    KC_FORWARD_STREAMING   /* its stream has begun */
} KcForwardState;

/* Backend servers that one request is sent to at the most. */
#define KC_FORWARD_TRIED_MAX 6

struct KcForward {
    TAILQ_ENTRY(KcForward) link;    /* KcGateway.forwards */
    TAILQ_ENTRY(KcForward) waiting; /* of its service or its adapter */
    struct KcGateway *gateway;
    const KcForwardOps *ops;
    void *caller;
    KcForwardState state;
    KcRouting *routing; /* the version it was decided with */
    const KcRouteRule *rule;
    struct KcServerPool *pool;
    struct KcAdapterState *adapter; /* NULL when the request names none */
    char id[KC_CALLER_ID_MAX];
    KcTime arrived_at;
    KcTime deadline; /* the caller has its final answer by then */
    uint64_t tokens;
    bool repeatable;
    bool in_list;              /* linked by waiting */
    struct KcServer *server;   /* of the sending in progress, or that loads */
    struct KcReplica *holding; /* of its adapter there, counted as used */
    void *attempt;             /* of the sending side */
    KcTime sent_at;            /* last */
    KcTime first_sent_at;      /* 0: never */
    uint32_t attempt_count;
    uint32_t possible_runs; /* sendings that may have run */
    struct KcServer *tried[KC_FORWARD_TRIED_MAX];
    uint32_t tried_count;
    bool heard; /* bytes of the present sending's answer have come */
    bool may_have_run;
    bool begun;       /* the caller has the head of an answer */
    const void *head; /* of the stream that is being received */
    bool has_event;
    uint64_t last_event; /* passed on to the caller, valid with has_event */
    KcTime first_event_at;
    KcTime told_at;      /* last event passed on; the arrival before it */
    KcTime choose_until; /* refused when it has no place by then */
    KcError error;       /* of the last sending that failed */
    KcTimer timer;
};

TAILQ_HEAD(KcForwardList, KcForward);

#endif
