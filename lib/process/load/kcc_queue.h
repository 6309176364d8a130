/*
 * Decisions about requests that wait for a server of one service: their order,
 * until when they wait, and when a caller that is refused comes back.
 *
 * State in, decision out: nothing here calls the gateway, knows a socket or
 * reads a clock.  Part 1 is the order, part 2 the turns of customers, part 3
 * how fast the queue is worked off, part 4 what is refused.
 */
#ifndef KCC_QUEUE_H
#define KCC_QUEUE_H

#include <uthash.h>

#include "kcc_types.h"

/* ---- Part 1: order (queue_order.c) --------------------------------------- */

/* A request that waits, as the order sees it. */
typedef struct KcQueued {
    uint32_t urgency; /* 0 is the most urgent */
    bool is_begun;    /* its caller has a part of its answer, or may get one:
                       * before the others of its urgency */
    double turn;      /* of its customer, see KcTurns_Take(); 0: it has none */
    KcTime arrived_at;
    KcTime in_time_until; /* an answer that begins later is late */
    KcTime deadline;      /* an answer that begins later is worth nothing */
} KcQueued;

/*
 * Is the request served before the other one?  By urgency; then those that can
 * still be in time before those that can't, by their customers' turns, and by
 * the time that they have.  first_byte: until the answer begins, once sent.
 */
bool KcQueued_IsBefore(const KcQueued *queued, const KcQueued *other,
                       KcTime first_byte, KcTime now);

/* Can its answer still begin in time, if it is sent now? */
bool KcQueued_IsInTime(const KcQueued *queued, KcTime first_byte, KcTime now);

/* ---- Part 2: turns of customers (queue_turns.c) -------------------------- */

/* A customer with requests that wait, or that were served while others wait.
 */
typedef struct KcTurn {
    UT_hash_handle hh; /* KcTurns.by_customer, by name */
    char customer[KC_NAME_MAX];
    double end; /* when its last request is served, in turns */
} KcTurn;

/*
 * Fair shares of customers in a queue, by the work of their requests
 * (start-time fair queueing).  A turn counts work: of a customer's request it
 * is the end of the one before, but not before the turn that is being served,
 * so that what a customer doesn't use goes to the others.  Zeroed: no one
 * waits.
 */
typedef struct KcTurns {
    double now;       /* the turn being served */
    double mean_work; /* of the requests that state it; 0: none did */
    KcTurn *by_customer;
} KcTurns;

/* The turn of a request that joins the queue, in steps of a few requests'
 * work. work: in tokens, 0 if it states none, which counts as the mean. */
double KcTurns_Take(KcTurns *turns, const char *customer, uint64_t work);
/* The turn that KcTurns_Take() would return; changes nothing. */
double KcTurns_Foresee(const KcTurns *turns, const char *customer,
                       uint64_t work);
/* A request with that turn was served. */
void KcTurns_NoteServed(KcTurns *turns, double turn);
/* A request left the queue unserved: its customer doesn't pay for it. */
void KcTurns_GiveBack(KcTurns *turns, const char *customer, uint64_t work);
/* The queue is empty: past use is forgotten, and the memory freed. */
void KcTurns_Clear(KcTurns *turns);

/* ---- Part 3: the pace of a queue (queue_pace.c) -------------------------- */

/* How fast a queue is worked off; zeroed: it is empty, and nothing is known.
 */
typedef struct KcQueuePace {
    KcTime begun_at;       /* since when requests wait; 0: none does */
    double served;         /* requests sent since, the older ones fading */
    KcTime served_at;      /* when served was last brought up to date */
    KcTime first_byte;     /* mean time from a send to its first byte; 0:
                            * unknown */
    KcTime last_return_at; /* the last caller that was refused comes back */
    KcTime load_time; /* mean time until an adapter is loaded; 0: unknown */
} KcQueuePace;

/* The first request waits, or none waits any more. */
void KcQueuePace_Begin(KcQueuePace *pace, KcTime now);
void KcQueuePace_End(KcQueuePace *pace);
/* A request that waited was sent. */
void KcQueuePace_NoteServed(KcQueuePace *pace, KcTime now);
/* An answer began so long after its request was sent. */
void KcQueuePace_NoteFirstByte(KcQueuePace *pace, KcTime duration);
/* An adapter was loaded so long after it was asked for. */
void KcQueuePace_NoteLoad(KcQueuePace *pace, KcTime duration);
/* Until the request at that place, 0 for the first one, is sent; KC_NEVER:
 * none was sent lately, which tells nothing. */
KcTime KcQueuePace_ExpectedWait(const KcQueuePace *pace, uint32_t place,
                                KcTime now);

/* True when enough were sent to refuse a request for the wait expected. */
bool KcQueuePace_IsSure(const KcQueuePace *pace, KcTime now);

/* ---- Part 4: refusal (refusal.c) ----------------------------------------- */

typedef enum KcWaitVerdict {
    KC_WAIT_ON = 0,   /* it waits, until the time given */
    KC_WAIT_TOO_LONG, /* its turn comes after its deadline */
    KC_WAIT_ENDED     /* it waited for what its objective allows, and nothing
                       * tells that its turn comes */
} KcWaitVerdict;

/* A request that found no server. */
typedef struct KcWaitInput {
    const KcQueued *queued;
    KcTime objective;
    uint32_t place; /* requests that are served before it */
    const KcQueuePace *pace;
} KcWaitInput;

typedef struct KcWaitDecision {
    KcWaitVerdict verdict;
    KcTime until; /* when to decide again, as its place changes or its wait
                   * may end; valid with KC_WAIT_ON */
    KcTime expected_wait; /* KC_NEVER: unknown */
} KcWaitDecision;

/*
 * Decides whether the request waits.  One that can be answered before its
 * deadline, in time or late, waits as long as the queue is worked off and the
 * caller has time left to come back; one that can't is refused at once.
 */
void KcWait_Decide(const KcWaitInput *input, KcTime now,
                   KcWaitDecision *decision);
/* Returns "none" for KC_WAIT_ON, or "too_long" or "no_room"; for logs. */
const char *KcWaitVerdict_Name(KcWaitVerdict verdict);

/* How long a request with that objective waits whatever is known. */
KcTime KcWait_Min(KcTime objective);

/*
 * When a caller that is refused comes back best: when those that wait have
 * been served, and one by one behind those that were refused before.
 * waiting: requests in the queue; time_left: until the caller's deadline, of
 * which a third is the most.
 */
KcTime KcQueuePace_RetryAfter(KcQueuePace *pace, uint32_t waiting,
                              KcTime time_left, KcTime now);
/* The same for a caller whose adapter is being loaded for its return. */
KcTime KcQueuePace_RetryAfterLoad(const KcQueuePace *pace, KcTime time_left);
/* The same when nothing is known. */
#define KC_RETRY_AFTER_DEFAULT (400 * KC_MS)

#endif
