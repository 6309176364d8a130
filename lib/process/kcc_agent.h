/*
 * The agent: the authority on one backend server.  It admits or refuses
 * proposals, orders adapters to be loaded and evicted, and keeps answers
 * until their entry has them.
 */
#ifndef KCC_AGENT_H
#define KCC_AGENT_H

#include "kcc_process.h"
#include "kcc_residency.h"

typedef struct KcAgent KcAgent;

/* One adapter as an engine lists it. */
typedef struct KcEngineAdapter {
    char name[KC_ENGINE_NAME_MAX];
    uint32_t active_calls; /* calls it is serving */
} KcEngineAdapter;

/* The backend server seam. */
typedef struct KcBackendOps {
    /*
     * Sends a work to the backend server.  Answered by
     * KcAgent_OnWorkStarted(), KcAgent_OnWorkData() and KcAgent_OnWorkEnded(),
     * never before returning.
     */
    void (*start)(void *backend, KcWork *work);
    /* Stops a work; nothing is reported for it afterwards. */
    void (*cancel)(void *backend, KcWork *work);
    /* Pauses or resumes reading the answer of a work. */
    void (*set_paused)(void *backend, KcWork *work, bool paused);
    /* Orders a load; answered by KcAgent_OnAdapterLoaded(). */
    void (*load)(void *backend, KcSlot *slot);
    /* Orders an eviction; answered by KcAgent_OnAdapterEvicted(). */
    void (*evict)(void *backend, KcSlot *slot, uint64_t fence);
    /* Evicts an adapter that is in no slot; not answered. */
    void (*evict_untracked)(void *backend, const char *name, uint64_t fence);
    /*
     * Shows the engine a fencing number, so that it refuses older ones;
     * answered by KcAgent_OnFenceAnnounced().
     */
    void (*announce_fence)(void *backend, uint64_t fence);
    /* Asks for the adapters held; answered by KcAgent_OnEngineInspected(). */
    void (*inspect_engine)(void *backend);
} KcBackendOps;

/* Options of an agent; durations in microseconds. */
typedef struct KcAgentOptions {
    KcMemberOptions member;
    const char *service_name;
    const KcBackendOps *ops;
    void *backend;
    const KcVictimPolicy *victim_policy;
    bool engine_checks_fence;  /* the engine refuses old fencing numbers */
    uint32_t agents_per_store; /* agents that share the weight store's rate */
    KcTime hold_timeout;       /* wait for a newer document */
    KcTime detach_timeout;     /* kept for a lost connection to come back */
    KcTime retain_timeout;     /* record of an ended work is kept */
    KcTime inspect_interval;   /* interval of looking at the engine */
    uint64_t window_bytes;     /* bytes an entry may lag behind */
    KcUrgencyOptions queue_order;
    uint32_t load_failures_max; /* after which a model is refused */
} KcAgentOptions;

void KcAgentOptions_Init(KcAgentOptions *options);

KcAgent *KcAgent_Create(const KcAgentOptions *options);

/* Frees the agent with its links and works; running works are cancelled. */
void KcAgent_Free(KcAgent *agent);

/* Begins to watch the document, take the lease and look at the engine. */
void KcAgent_Start(KcAgent *agent, KcTime now);

/* A new connection: the agent sends HELLO and owns the link. */
void KcAgent_OnConnected(KcAgent *agent, KcLink *link, KcTime now);

/* A connection was lost; the link is freed here. */
void KcAgent_OnLinkLost(KcAgent *agent, KcLink *link, int code, KcTime now);

/* A message arrived; it may close and free the link. */
void KcAgent_OnMessage(KcAgent *agent, KcLink *link, const KcMsg *msg,
                       KcTime now);

/* What the backend server reported; see KcBackendOps. */
void KcAgent_OnWorkStarted(KcAgent *agent, KcWork *work, const char *model,
                           uint32_t status, const char *content_type,
                           KcTime now);
void KcAgent_OnWorkData(KcAgent *agent, KcWork *work, KcBytes bytes,
                        uint64_t tokens, KcTime now);

/*
 * A work ended.  code 0: the answer is whole.  ran is false only when the
 * backend server certainly did not run the call.
 */
void KcAgent_OnWorkEnded(KcAgent *agent, KcWork *work, int code, bool ran,
                         const char *finish, KcTime now);
void KcAgent_OnAdapterLoaded(KcAgent *agent, KcSlot *slot, int code,
                             KcTime now);
void KcAgent_OnAdapterEvicted(KcAgent *agent, KcSlot *slot, int code,
                              KcTime now);

/* The engine has seen a fencing number (code 0), or refused it. */
void KcAgent_OnFenceAnnounced(KcAgent *agent, uint64_t fence, int code,
                              KcTime now);

/*
 * What the engine holds.  epoch changes when the engine restarts; asked is
 * the time at which the question was sent.
 */
void KcAgent_OnEngineInspected(KcAgent *agent, int code, const char *epoch,
                               const KcEngineAdapter *adapters, size_t count,
                               KcTime asked, KcTime now);

/* Begins a planned stop; asking twice changes nothing. */
void KcAgent_Drain(KcAgent *agent, KcTime now);

/* True when every answer has been delivered. */
bool KcAgent_IsDrained(const KcAgent *agent);

/* Why no work is admitted now, 0 when it is. */
int KcAgent_CheckReady(const KcAgent *agent, KcTime now);

uint64_t KcAgent_Generation(const KcAgent *agent);
uint64_t KcAgent_Fence(const KcAgent *agent);
uint32_t KcAgent_RunningCount(const KcAgent *agent);
uint32_t KcAgent_QueuedCount(const KcAgent *agent);
const KcResidency *KcAgent_Residency(const KcAgent *agent);

#endif
