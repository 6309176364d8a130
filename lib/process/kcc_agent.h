/*
 * The agent controls one backend server: it admits or refuses proposed
 * attempts, orders adapters to be loaded and evicted, and keeps answers
 * until their entry has received them.
 */
#ifndef KCC_AGENT_H
#define KCC_AGENT_H

#include "kcc_process.h"
#include "kcc_residency.h"

typedef struct KcAgent KcAgent;

/* One entry of an engine's list of adapters. */
typedef struct KcEngineAdapter {
    char name[KC_ENGINE_NAME_MAX];
    uint32_t active_calls; /* calls that the adapter is serving */
} KcEngineAdapter;

/* Calls of an agent to its backend server, made by the program. */
typedef struct KcBackendOps {
    /*
     * Sends a work to the backend server.  KcAgent_OnWorkStarted(),
     * KcAgent_OnWorkData() and KcAgent_OnWorkEnded() report on it, never
     * before this call has returned.
     */
    void (*start)(void *backend, KcWork *work);
    /* Stops a work; nothing more is reported for it. */
    void (*cancel)(void *backend, KcWork *work);
    /* Pauses or resumes reading the answer of a work. */
    void (*set_paused)(void *backend, KcWork *work, bool paused);
    /* Loads the slot's adapter; answered by KcAgent_OnAdapterLoaded(). */
    void (*load)(void *backend, KcSlot *slot);
    /* Evicts the slot's adapter; answered by KcAgent_OnAdapterEvicted(). */
    void (*evict)(void *backend, KcSlot *slot, uint64_t fence);
    /* Evicts an adapter that no slot tracks; no result is reported. */
    void (*evict_untracked)(void *backend, const char *name, uint64_t fence);
    /*
     * Sends the engine a fencing number, so that it refuses orders with a
     * lower one; answered by KcAgent_OnFenceAnnounced().
     */
    void (*announce_fence)(void *backend, uint64_t fence);
    /* Lists the engine's adapters; answered by KcAgent_OnEngineInspected(). */
    void (*inspect_engine)(void *backend);
} KcBackendOps;

/* Options of an agent; durations in microseconds. */
typedef struct KcAgentOptions {
    KcMemberOptions member;
    const char *service_name; /* the service of the backend server */
    const KcBackendOps *ops;
    void *backend;                       /* first argument of the ops */
    const KcVictimPolicy *victim_policy; /* chooses the slot to evict */
    bool engine_checks_fence; /* the engine refuses orders with an old fence */
    uint32_t agents_per_store;    /* number of agents that share the weight
                                   * store's load rate */
    KcTime document_wait_timeout; /* longest wait for a newer document */
    /* A work whose connection is lost is kept this long; one that may not be
     * repeated runs on if started, and is kept for retain_timeout when ended.
     */
    KcTime detach_timeout;
    KcTime retain_timeout; /* the record of an ended work is kept this long */
    KcTime inspect_interval; /* from one engine inspection to the next */
    uint64_t window_bytes;   /* reading an answer pauses when so many of its
                              * bytes are not consumed yet */
    KcUrgencyOptions queue_order; /* which waiting work goes first */
    uint32_t load_failures_max;   /* failures in a row at which works for the
                                   * model are refused until the next try */
} KcAgentOptions;

/* Fills in the defaults of durations and limits; the rest is zero. */
void KcAgentOptions_Init(KcAgentOptions *options);

/* Creates an agent, to be freed by KcAgent_Free(); options are copied. */
KcAgent *KcAgent_Create(const KcAgentOptions *options);

/* Frees the agent, its links and works; cancels the running works. */
void KcAgent_Free(KcAgent *agent);

/* Starts to watch the document, acquire the lease, inspect the engine. */
void KcAgent_Start(KcAgent *agent, KcTime now);

/* Takes ownership of the link of a new connection and sends HELLO. */
void KcAgent_OnConnected(KcAgent *agent, KcLink *link, KcTime now);

/* Handles a lost connection and frees its link; code is a KcErrorCode. */
void KcAgent_OnLinkLost(KcAgent *agent, KcLink *link, int code, KcTime now);

/* Handles a received message; may close and free the link. */
void KcAgent_OnMessage(KcAgent *agent, KcLink *link, const KcMsg *msg,
                       KcTime now);

/*
 * The backend server's answer has begun.  model is the engine's name of the
 * adapter that answers; a name other than that of the work's slot ends the
 * work with KC_ERR_WRONG_MODEL.  status is the HTTP status.
 */
void KcAgent_OnWorkStarted(KcAgent *agent, KcWork *work, const char *model,
                           uint32_t status, const char *content_type,
                           KcTime now);

/*
 * A piece of the answer; the bytes are copied.  tokens counts those of the
 * answer so far, including what an earlier attempt delivered.
 */
void KcAgent_OnWorkData(KcAgent *agent, KcWork *work, KcBytes bytes,
                        uint64_t tokens, KcTime now);

/*
 * A work ended.  code is 0 when the answer is complete.  has_run is false only
 * when the backend server certainly did not run the call; a work whose answer
 * has not begun is then queued again a few times, or refused.  finish_reason
 * is the engine's, "" or NULL when there is none.
 */
void KcAgent_OnWorkEnded(KcAgent *agent, KcWork *work, int code, bool has_run,
                         const char *finish_reason, KcTime now);

/* A load or an eviction ended; code is 0 or a KcErrorCode. */
void KcAgent_OnAdapterLoaded(KcAgent *agent, KcSlot *slot, int code,
                             KcTime now);
void KcAgent_OnAdapterEvicted(KcAgent *agent, KcSlot *slot, int code,
                              KcTime now);

/* The engine accepted a fencing number (code 0) or refused it. */
void KcAgent_OnFenceAnnounced(KcAgent *agent, uint64_t fence, int code,
                              KcTime now);

/*
 * Result of an inspection: the adapters that the engine holds, borrowed for
 * the call.  code is 0 or a KcErrorCode, epoch changes when the engine
 * restarts, sent_at is the time at which the inspection was sent.
 */
void KcAgent_OnEngineInspected(KcAgent *agent, int code, const char *epoch,
                               const KcEngineAdapter *adapters, size_t count,
                               KcTime sent_at, KcTime now);

/* Starts a planned stop; a second call has no effect. */
void KcAgent_Drain(KcAgent *agent, KcTime now);

/*
 * True when a planned stop is complete: no work is waiting or running,
 * answers are delivered, and every entry has confirmed that no proposal is
 * on its way.  Entries that don't reply are waited for only a limited time.
 */
bool KcAgent_IsDrained(const KcAgent *agent);

/* Returns 0 when works are admitted, else the KcErrorCode of the reason. */
int KcAgent_CheckReady(const KcAgent *agent, KcTime now);

/* Generation of the document in force, 0 when there is none. */
uint64_t KcAgent_Generation(const KcAgent *agent);

/* Fencing number of the lease, 0 while it is not held. */
uint64_t KcAgent_Fence(const KcAgent *agent);

/* Number of works at the backend server. */
uint32_t KcAgent_RunningCount(const KcAgent *agent);

/* Number of works that wait for their adapter or for free capacity. */
uint32_t KcAgent_QueuedCount(const KcAgent *agent);

/* The engine's slots and models; owned by the agent. */
const KcResidency *KcAgent_Residency(const KcAgent *agent);

#endif
