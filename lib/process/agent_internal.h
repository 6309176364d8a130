/*
 * The agent's state, shared by the files that implement it.
 */
#ifndef KCC_AGENT_INTERNAL_H
#define KCC_AGENT_INTERNAL_H

#include "kcc_agent.h"

/*
 * High-water mark of the works of one entry process that ran and whose
 * records were dropped since.  An attempt without a record may have run when
 * its sequence is not above it.
 */
typedef struct KcWatermark {
    UT_hash_handle hh;
    uint64_t nonce;    /* of the entry process, see KcRequestId */
    uint64_t sequence; /* highest of its requests */
    char entry_name[KC_NAME_MAX];
} KcWatermark;

struct KcAgent {
    KcAgentOptions options;
    KcSync *sync;
    KcLease *lease;
    KcDocument *document; /* NULL until one is in force */
    KcService *service;   /* in document; NULL when it has no such service */
    KcResidency residency;
    bool has_residency; /* residency and load_pace are initialised */
    KcPace load_pace;
    struct KcLinkList links;
    KcWork *works;           /* uthash by key */
    KcCustomerShare *shares; /* uthash by customer */
    KcWorkList awaiting_document_works;
    KcWorkList queued_works;
    KcWorkList running_works;
    KcWorkList ended_works;
    uint32_t queued_count;
    uint32_t running_count;
    uint32_t awaited_model_count; /* not loaded, with waiting works */
    KcWatermark *watermarks;      /* uthash by nonce */
    uint32_t watermark_count;
    bool watermarks_incomplete; /* one could not be added: any attempt without
                                 * a record may have run */
    uint64_t load_sequence;     /* number of the last load ordered */
    char engine_epoch[64];      /* changes when the engine restarts, "" until
                                 * the first inspection */
    bool engine_inspected;      /* an inspection succeeded under this lease */
    bool inspection_pending;
    uint64_t announced_fence; /* last one that the engine accepted */
    KcTime fence_announced_at;
    KcTime inspection_sent_at;
    KcTime order_ended_at; /* end of the last load or eviction */
    bool leaving;
    KcTime leave_wait_until; /* limit of the wait for the entries' LEAVING */
    KcTimer inspection_timer;
    KcTimer schedule_timer;
};

/* agent_work.c ---------------------------------------------------------- */

/* Handles PROPOSE on a new stream: admits the attempt or refuses it. */
void KcAgentWork_OnPropose(KcAgent *agent, KcStream *stream, const KcMsg *msg,
                           KcTime now);

/* Handles RESUME: attaches an earlier attempt to a new stream. */
void KcAgentWork_OnResume(KcAgent *agent, KcStream *stream, const KcMsg *msg,
                          KcTime now);

/* Handles CANCEL and CREDIT; work is NULL when it no longer exists. */
void KcAgentWork_OnCancel(KcAgent *agent, KcWork *work, KcTime now);
void KcAgentWork_OnCredit(KcAgent *agent, KcWork *work, const KcMsg *msg,
                          KcTime now);

/*
 * Keeps a work whose connection was lost, for a limited time; a running one
 * that may not be repeated is kept until it ends.
 */
void KcAgentWork_Detach(KcAgent *agent, KcWork *work, KcTime now);

/* Admits or refuses the works that need not wait for a document any more. */
void KcAgentWork_DecideAwaitingDocument(KcAgent *agent, KcTime now);

/* Sends REFUSE for a work that has not run, and frees it. */
void KcAgentWork_Refuse(KcAgent *agent, KcWork *work, int code, KcTime now);

/* Ends a running work: unpins its slot, keeps its answer and record. */
void KcAgentWork_End(KcAgent *agent, KcWork *work, int code, bool ran,
                     const char *finish_reason, KcTime now);

/* Refuses a work that the backend server rejected without running it. */
void KcAgentWork_OnBackendRefused(KcAgent *agent, KcWork *work, int code,
                                  KcTime now);

/*
 * Queues a started work that did not run again, up to a few times; then
 * refuses it.
 */
void KcAgentWork_Requeue(KcAgent *agent, KcWork *work, KcTime now);

/* Drops the works of an entry's earlier processes, which can't resume. */
void KcAgentWork_AbandonEarlier(KcAgent *agent, const char *entry_name,
                                uint64_t incarnation, KcTime now);

/* Frees a work in any state; cancels it at the backend server if running. */
void KcAgentWork_Forget(KcAgent *agent, KcWork *work, KcTime now);

/* agent_answer.c -------------------------------------------------------- */

/* Sends a message on the stream of a work, which must have one. */
void KcAgentAnswer_Send(KcWork *work, KcMsg *msg);

/* Sends ADMIT, or END with the result, on the stream of a work. */
void KcAgentAnswer_SendAdmit(KcAgent *agent, KcWork *work);
void KcAgentAnswer_SendEnd(KcAgent *agent, KcWork *work);

/*
 * Pauses reading from the backend server while the window is full, else
 * resumes it.  A call that may not be repeated is read to its end even when
 * its entry is not connected.
 */
void KcAgentAnswer_UpdateReadingPaused(KcAgent *agent, KcWork *work);

/* Sends what is left of a work's answer, within the window, and its end. */
void KcAgentAnswer_SendPending(KcAgent *agent, KcWork *work, KcTime now);

/* agent_schedule.c ------------------------------------------------------ */

/* Initialises the timer of the schedule. */
void KcAgentSchedule_Init(KcAgent *agent);
/* Starts works and orders loads and evictions as far as possible now. */
void KcAgentSchedule_Run(KcAgent *agent, KcTime now);

/* Adds a work to the end of the queue, or removes it. */
void KcAgentSchedule_Enqueue(KcAgent *agent, KcWork *work, KcTime now);
void KcAgentSchedule_Dequeue(KcAgent *agent, KcWork *work);

/*
 * Fills in the load report for a reply; without a work, which may be NULL, no
 * adapter is reported as loaded.
 */
void KcAgentSchedule_FillLoad(const KcAgent *agent, const KcWork *work,
                              KcAgentLoad *load);

/* Expected time until a work that arrives now is started. */
KcTime KcAgentSchedule_ExpectedWait(const KcAgent *agent);

/* agent_engine.c -------------------------------------------------------- */

/* Sets up the slots and the pace of loads, or adapts them to a document. */
void KcAgentEngine_ConfigureSlots(KcAgent *agent, KcTime now);

/* Orders the load of a model into an empty slot. */
void KcAgentEngine_LoadAdapter(KcAgent *agent, KcSlot *slot,
                               KcModelState *model, KcTime now);

/* Orders the eviction of a slot's adapter. */
void KcAgentEngine_EvictAdapter(KcAgent *agent, KcSlot *slot, KcTime now);

/* Starts to inspect the engine at regular intervals. */
void KcAgentEngine_StartInspections(KcAgent *agent, KcTime now);

/* Sends the engine the fencing number of the lease, if it checks it. */
void KcAgentEngine_AnnounceFence(KcAgent *agent);

/* Inspects the engine now unless an inspection is in progress. */
void KcAgentEngine_Inspect(KcAgent *agent, KcTime now);

/* agent.c ---------------------------------------------------------------- */

/* Records an event; work and subject may be NULL. */
void KcAgent_RecordEvent(KcAgent *agent, KcEventType type, const KcWork *work,
                         const char *subject, int64_t detail, KcTime now);

#endif
