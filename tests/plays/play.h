/*
 * Plays: several real gateways in virtual time, with fakes of their callers,
 * backend servers, keepers and store, and an oracle that checks each step.
 *
 * A play is a row of a table, PlayPlan; its troubles strike at random times or
 * at given ones.  Everything is driven by one wheel of timers, and a seed
 * decides all that is random, so that a seed always gives the same play.
 */
#ifndef KCC_TEST_PLAY_H
#define KCC_TEST_PLAY_H

#include <stdio.h>

#include <kcc.h>

#define PLAY_GATEWAYS_MAX 8
#define PLAY_SERVERS_MAX 12
#define PLAY_TROUBLES_MAX 8
/* Adapters of model "m", named a0, a1, ... */
#define PLAY_ADAPTER_COUNT 6
/* A server that pauses for no longer is sound. */
#define PLAY_SOUND_PAUSE_MAX (1500 * KC_MS)

typedef struct Play Play;
typedef struct PlayGateway PlayGateway;
typedef struct PlayServer PlayServer;
typedef struct PlayCaller PlayCaller;
typedef struct PlayAttempt PlayAttempt;
typedef struct PlayMessage PlayMessage;

/* ---- plans --------------------------------------------------------------- */

/* Something that happens once or again and again in a play. */
typedef struct PlayTrouble {
    void (*strike)(Play *play, KcTime now);
    KcTime first_at; /* after the start; 0: at random within the interval */
    KcTime interval; /* mean time between strikes; 0: strikes once */
} PlayTrouble;

typedef struct PlayPlan {
    const char *name;
    unsigned gateway_count;
    unsigned model_server_count; /* of services "llm" and "alt" in turn */
    unsigned plain_server_count; /* of service "plain" */
    unsigned slots;              /* requests that a server runs at once */
    unsigned queue_max;          /* requests that wait at a server */
    KcTime request_interval; /* mean time between requests of all callers */
    KcTime duration;         /* requests arrive for so long */
    PlayTrouble troubles[PLAY_TROUBLES_MAX + 1]; /* ends with a zero row */
} PlayPlan;

/* What the oracle checks. */
typedef enum PlayPromise {
    PLAY_ENDS = 0, /* one end of each request, and nothing for it afterwards */
    PLAY_ORDER,    /* a stream's events in order, each once */
    PLAY_RUNS,     /* at most once where it must; never if refused as not run;
                    * one attempt at a time */
    PLAY_KEPT,     /* no gateway ends an answer while its server is sound,
                    * before the route's timeout or the caller's leaving */
    PLAY_PROMISE_COUNT
} PlayPromise;

/* Plays a plan; trace, when not NULL, gets a line for each step.  Returns NULL
 * or how the promise was first broken, valid until the next call. */
const char *Play_Run(const PlayPlan *plan, PlayPromise promise, uint64_t seed,
                     FILE *trace);

/* ---- messages ------------------------------------------------------------ */

/* A message on its way, delivered in order with the others of its pipe. */
struct PlayMessage {
    TAILQ_ENTRY(PlayMessage) link;
    void (*deliver)(PlayMessage *message, KcTime now);
    KcTime due_at;
    PlayGateway *gateway;
    PlayServer *server;
    PlayAttempt *attempt;
    KcRouting *routing; /* a reference; NULL: none */
    uint64_t number;    /* event id, status, revision or adapter */
    uint32_t held;      /* adapters held, one bit each */
    uint32_t running;   /* the server's load, with the head of an answer */
    uint32_t waiting;
    KcHeldState state;
    bool is_deleted;
    bool is_head;
    bool is_last;
};

TAILQ_HEAD(PlayMessageList, PlayMessage);

typedef struct PlayPipe {
    Play *play;
    const KcTime *stopped_until; /* nothing is delivered before */
    struct PlayMessageList messages;
    KcTimer timer;
} PlayPipe;

void PlayPipe_Init(PlayPipe *pipe, Play *play, const KcTime *stopped_until);
/* Sends a copy of the message, which takes the delay. */
void PlayPipe_Send(PlayPipe *pipe, const PlayMessage *message, KcTime delay);
void PlayPipe_Clear(PlayPipe *pipe);

/* ---- the parts of a play ------------------------------------------------- */

struct PlayGateway {
    Play *play;
    unsigned number;
    KcGateway *gateway;
    KcCounters counters;
    const char *datacentre;
    PlayPipe news;    /* from the store */
    PlayPipe reports; /* from keepers */
    KcTime store_away_until;
};

TAILQ_HEAD(PlayAttemptList, PlayAttempt);

struct PlayServer {
    Play *play;
    unsigned number;
    char id[8];
    char address[24];
    const char *service;
    const char *datacentre;
    bool is_engine;
    uint32_t held; /* adapters, one bit each */
    uint32_t loading;
    unsigned slots;
    unsigned foreign_count; /* slots taken by others' requests */
    unsigned running_count;
    unsigned waiting_count;
    KcTime event_interval;
    KcTime paused_until;
    KcTime last_byte_at[PLAY_GATEWAYS_MAX]; /* that each gateway had of it */
    struct PlayAttemptList waiting;
    KcTimer load_timer;
    KcTimer foreign_timer;
    /* its record in the store */
    uint64_t revision;
    bool has_record;
    bool is_deleted; /* without a record: it counts as deleted */
    KcTime record_back_at;
};

typedef enum PlayAttemptState {
    PLAY_ATTEMPT_ON_ITS_WAY = 0,
    PLAY_ATTEMPT_WAITING, /* in the server's queue */
    PLAY_ATTEMPT_RUNNING,
    PLAY_ATTEMPT_OVER /* at the server */
} PlayAttemptState;

/* An attempt, kept until the end of the play. */
struct PlayAttempt {
    TAILQ_ENTRY(PlayAttempt) link;        /* PlayCaller.attempts */
    TAILQ_ENTRY(PlayAttempt) server_link; /* PlayServer.waiting */
    PlayCaller *caller;
    PlayServer *server;
    KcForward *forward;
    PlayAttemptState state;
    PlayPipe requests; /* to the server */
    PlayPipe answers;  /* from it */
    KcTimer step_timer;
    uint64_t next_event_id;
    KcTime sent_at;
    bool has_run;
    bool is_ended;       /* its whole answer was read */
    KcTime cancelled_at; /* by the gateway; 0: not */
    KcTime silence;      /* of the server towards the gateway at that time */
};

typedef struct PlayRoute {
    const char *path;
    KcRequestKind kind;
    bool resumable;
} PlayRoute;

struct PlayCaller {
    TAILQ_ENTRY(PlayCaller) link; /* Play.callers */
    PlayGateway *gateway;
    unsigned number;
    char id[12];
    const PlayRoute *route;
    KcForward *forward; /* NULL once the request has ended */
    unsigned adapter;
    uint64_t event_count; /* of the whole stream */
    KcTime service_time;  /* of a whole answer */
    KcTime submitted_at;
    KcTime deadline;
    KcTime patience_until; /* leaves at the latest */
    KcTimer leave_timer;
    unsigned end_count;
    bool has_left;
    bool has_begun;
    const char *error_step; /* where it failed */
    bool is_not_run;        /* it was refused as not run */
    uint64_t last_event_id;
    struct PlayAttemptList attempts;
};

TAILQ_HEAD(PlayCallerList, PlayCaller);

typedef struct PlayTroubleTimer {
    Play *play;
    const PlayTrouble *trouble;
    KcTimer timer;
} PlayTroubleTimer;

struct Play {
    const PlayPlan *plan;
    FILE *trace;
    uint64_t random_state;
    KcTimers *timers;
    KcTime now;
    KcTime started_at;
    uint64_t routing_version;
    KcRouting *routing; /* the newest */
    PlayGateway gateways[PLAY_GATEWAYS_MAX];
    PlayServer servers[PLAY_SERVERS_MAX];
    unsigned server_count;
    unsigned caller_count;
    struct PlayCallerList callers;
    KcTimer request_timer;
    KcTimer beat_timer;
    PlayTroubleTimer trouble_timers[PLAY_TROUBLES_MAX];
    char findings[PLAY_PROMISE_COUNT][512]; /* first of each; "": none */
};

/* ---- play.c -------------------------------------------------------------- */

/* A random number from 0 to limit - 1. */
uint64_t Play_Random(Play *play, uint64_t limit);
/* A random time from low to high. */
KcTime Play_RandomTime(Play *play, KcTime low, KcTime high);
void Play_Trace(Play *play, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* ---- caller.c ------------------------------------------------------------ */

/* Builds a routing configuration with random limits. */
KcRouting *Play_CreateRouting(Play *play);
void Play_SubmitRequest(Play *play, KcTime now);
void PlayCaller_Free(PlayCaller *caller);

/* ---- gateway.c ----------------------------------------------------------- */

void PlayGateway_Init(Play *play, unsigned number);
void PlayGateway_Free(PlayGateway *gateway);
/* The attempt's part of an answer has reached the gateway. */
void PlayGateway_OnAnswer(PlayMessage *message, KcTime now);
KcTime Play_Latency(const PlayGateway *gateway, const PlayServer *server);

/* ---- server.c ------------------------------------------------------------ */

void PlayServer_Init(Play *play, unsigned number);
void PlayServer_OnRequest(PlayMessage *message, KcTime now);
void PlayServer_OnCancel(PlayMessage *message, KcTime now);
/* An order of a keeper; the keepers' reports follow. */
void PlayServer_Load(PlayServer *server, unsigned adapter, KcTime now);
void PlayServer_Unload(PlayServer *server, unsigned adapter);
void PlayServer_Pause(PlayServer *server, KcTime duration, KcTime now);
void PlayServer_Fill(PlayServer *server, KcTime duration, KcTime now);

/* ---- store.c ------------------------------------------------------------- */

/* Sends a server's present record to all gateways, or that it is missing. */
void PlayStore_SendRecord(PlayServer *server);
/* Sends its last record again, or one shortly before it. */
void PlayStore_SendOldRecord(PlayServer *server);
/* Sends a complete list to a gateway, as it is when it arrives. */
void PlayStore_SendList(PlayGateway *gateway, KcTime delay);
/* Sends the newest routing configuration. */
void PlayStore_SendRouting(PlayGateway *gateway, KcTime delay);
/* A keeper's report to one gateway, or to all with NULL. */
void PlayStore_SendReport(PlayServer *server, PlayGateway *gateway,
                          unsigned adapter, KcHeldState state);

/* ---- oracle.c ------------------------------------------------------------ */

void Oracle_Break(Play *play, PlayPromise promise, const PlayCaller *caller,
                  const char *problem);
void Oracle_OnStart(const PlayAttempt *attempt);
void Oracle_OnRun(const PlayAttempt *attempt);
void Oracle_OnData(PlayCaller *caller, uint64_t event_id);
/* A request has ended: completely, or with a failure. */
void Oracle_OnAnswered(const PlayCaller *caller);
void Oracle_OnFailed(PlayCaller *caller, bool may_have_run);
/* A request has ended, or its caller has left. */
void Oracle_OnClosed(const PlayCaller *caller);
/* Checks all at the end of a play. */
void Oracle_CheckEnd(Play *play);

/* ---- troubles.c ---------------------------------------------------------- */

void Trouble_Pause(Play *play, KcTime now);
void Trouble_Fill(Play *play, KcTime now);
void Trouble_Unload(Play *play, KcTime now);
void Trouble_Configure(Play *play, KcTime now);
void Trouble_LoseRecord(Play *play, KcTime now);
void Trouble_StopStore(Play *play, KcTime now);
void Trouble_OldNews(Play *play, KcTime now);

#endif
