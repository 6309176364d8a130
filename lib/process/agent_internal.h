/*
 * The agent's state, shared by the files that implement it.
 */
#ifndef KCC_AGENT_INTERNAL_H
#define KCC_AGENT_INTERNAL_H

#include "kcc_agent.h"

/*
 * The highest sequence of one entry process whose works were forgotten
 * after they ran.  An attempt up to it may have run although no record of
 * it is left.
 */
typedef struct KcHorizon {
    UT_hash_handle hh;
    uint64_t nonce;
    uint64_t sequence;
    char entry[KC_NAME_MAX]; /* whose process it was */
} KcHorizon;

struct KcAgent {
    KcAgentOptions options;
    KcSync *sync;
    KcLease *lease;
    KcDocument *document; /* NULL until one is in force */
    KcService *service;   /* of document; NULL when it is not in it */
    KcResidency residency;
    bool resident_ready; /* residency has been set up */
    KcPace pace;
    struct KcLinkList links;
    KcWork *works; /* uthash by key */
    KcCustomerShare *shares;
    KcWorkList held;
    KcWorkList queue;
    KcWorkList running;
    KcWorkList ended;
    uint32_t queued_count;
    uint32_t running_count;
    uint32_t wanted_count; /* models waited for that are not ready */
    KcHorizon *horizons;
    uint32_t horizon_count;
    bool horizon_lost; /* a record was dropped: nothing can be excluded */
    uint64_t load_sequence;
    char epoch[64]; /* of the engine, "" before it was first seen */
    bool inspected; /* the engine has been looked at with this lease */
    bool inspecting;
    uint64_t announced; /* fencing number that the engine has seen */
    KcTime announced_at;
    KcTime inspect_asked;
    KcTime order_ended; /* last time at which a load or eviction ended */
    bool draining;
    KcTime leave_until; /* the entries' echoes are waited for until then */
    KcTimer inspect_timer;
    KcTimer pump_timer;
};

/* agent_work.c ---------------------------------------------------------- */

/* Admits a proposal on a new stream, or refuses it. */
void KcAgentWork_Propose(KcAgent *agent, KcStream *stream, const KcMsg *msg,
                         KcTime now);

/* Attaches an earlier attempt to a new stream. */
void KcAgentWork_Resume(KcAgent *agent, KcStream *stream, const KcMsg *msg,
                        KcTime now);
void KcAgentWork_Cancel(KcAgent *agent, KcWork *work, KcTime now);
void KcAgentWork_Credit(KcAgent *agent, KcWork *work, const KcMsg *msg,
                        KcTime now);

/* The connection of a work was lost. */
void KcAgentWork_Detach(KcAgent *agent, KcWork *work, KcTime now);

/* Decides on works that waited for a document. */
void KcAgentWork_RetryHeld(KcAgent *agent, KcTime now);

/* Refuses a work that has not run, and forgets it. */
void KcAgentWork_Refuse(KcAgent *agent, KcWork *work, int code, KcTime now);

/* Ends a running work and releases its place and pin. */
void KcAgentWork_End(KcAgent *agent, KcWork *work, int code, bool ran,
                     const char *finish, KcTime now);

/* Refuses a work that the backend server would not run. */
void KcAgentWork_Reject(KcAgent *agent, KcWork *work, int code, KcTime now);

/* Puts a work that did not run back into the queue. */
void KcAgentWork_Requeue(KcAgent *agent, KcWork *work, KcTime now);

/* An entry has been started anew: its earlier works are nobody's. */
void KcAgentWork_AbandonOf(KcAgent *agent, const char *entry,
                           uint64_t incarnation, KcTime now);

/* Forgets a work in whatever state; cancels it at the backend server. */
void KcAgentWork_Forget(KcAgent *agent, KcWork *work, KcTime now);

/* agent_answer.c -------------------------------------------------------- */

/* Sends a message on the stream of a work, which must have one. */
void KcAgentAnswer_Send(KcWork *work, KcMsg *msg);
void KcAgentAnswer_Admit(KcAgent *agent, KcWork *work);
void KcAgentAnswer_End(KcAgent *agent, KcWork *work);

/*
 * Pauses reading from the backend server while the entry lags behind.  A
 * call not to be repeated runs to its end even if nobody reads its answer.
 */
void KcAgentAnswer_Throttle(KcAgent *agent, KcWork *work);

/* Sends as much of a work's answer as its entry has room for. */
void KcAgentAnswer_Flush(KcAgent *agent, KcWork *work, KcTime now);

/* agent_schedule.c ------------------------------------------------------ */

/* Starts and loads whatever can be started and loaded now. */
void KcAgentSchedule_Pump(KcAgent *agent, KcTime now);
void KcAgentSchedule_Init(KcAgent *agent);

/* Puts a work at the end of the queue. */
void KcAgentSchedule_Enqueue(KcAgent *agent, KcWork *work, KcTime now);
void KcAgentSchedule_Dequeue(KcAgent *agent, KcWork *work);

/* Load of this agent as seen by a work. */
void KcAgentSchedule_Load(const KcAgent *agent, const KcWork *work,
                          KcAgentLoad *load);

/* Expected time until a work that arrives now would start. */
KcTime KcAgentSchedule_Wait(const KcAgent *agent);

/* agent_engine.c -------------------------------------------------------- */

/* Sets up or adapts the slots to the document. */
void KcAgentEngine_Configure(KcAgent *agent, KcTime now);

/* Orders a load into a slot, or the eviction that must come first. */
void KcAgentEngine_Load(KcAgent *agent, KcSlot *slot, KcModelState *model,
                        KcTime now);
void KcAgentEngine_Evict(KcAgent *agent, KcSlot *slot, KcTime now);

/* Begins to look at the engine at regular times. */
void KcAgentEngine_Start(KcAgent *agent, KcTime now);

/* Shows the engine the fencing number of the lease. */
void KcAgentEngine_Announce(KcAgent *agent);

/* Looks at the engine now, e.g. after taking the lease. */
void KcAgentEngine_Inspect(KcAgent *agent, KcTime now);

/* agent.c ---------------------------------------------------------------- */

/* Records an event; work may be NULL. */
void KcAgent_Event(KcAgent *agent, KcEventType type, const KcWork *work,
                   const char *subject, int64_t detail, KcTime now);

#endif
