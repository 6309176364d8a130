/*
 * Parts of prompts that end the backend servers that answer them: the
 * evidence, the decision to block a part, and the way back.
 *
 * Gateways and keepers each hold a KcSuspects per service and tell each other
 * its changes as KcSuspectNews.  News may arrive late, more than once and in
 * any order: whoever has received the same news is in the same state, except
 * for parts that were dropped for want of room.
 *
 * A part is suspected when a server has ended on its own with an attempt
 * on it that had no answer yet.  An answer that begins clears it: its epoch
 * rises, and evidence of an earlier epoch is void.  A part is blocked when it
 * has enough ends and other prompts are answered meanwhile: for all prompts
 * with it, or if another part could be the cause instead, only for those with
 * both.  It is cleared, too, when parts that are blocked later explain its
 * ends.  Ends at the same moment, as of a whole rack, count once.
 */
#ifndef KCC_SUSPECTS_H
#define KCC_SUSPECTS_H

#include <uthash.h>

#include "kcc_forward.h"
#include "kcc_process.h"
#include "kcc_types.h"

/* Ends of servers that are remembered of one part. */
#define KC_SUSPECT_ENDS_MAX 16
/* Companions that are remembered of one part. */
#define KC_SUSPECT_COMPANIONS_MAX 8
/* Requests that may try a blocked part, in all. */
#define KC_SUSPECT_TRIALS_MAX 3

typedef enum KcSuspectState {
    KC_SUSPECT_CLEAR = 0, /* answered since, or never suspected */
    KC_SUSPECT_SUSPECTED,
    KC_SUSPECT_BLOCKED,
    KC_SUSPECT_STATE_COUNT
} KcSuspectState;

/* The end of a server. */
typedef struct KcSuspectEnd {
    uint64_t instance; /* see KcSuspects_HashInstance() */
    KcTime at;
} KcSuspectEnd;

/* One part of prompts. */
typedef struct KcSuspect {
    UT_hash_handle hh;           /* KcSuspects.table, by part */
    TAILQ_ENTRY(KcSuspect) link; /* KcSuspects.lists */
    uint64_t part;
    KcSuspectState state;
    uint32_t epoch;  /* number of times that it was cleared of evidence */
    KcTime begun_at; /* last answer that began on it here; 0: none */
    KcSuspectEnd ends[KC_SUSPECT_ENDS_MAX]; /* the latest ones */
    uint32_t end_count;
    /* Of a blocked part: those that could be the cause instead, as it has not
     * enough ends without them. */
    uint64_t companions[KC_SUSPECT_COMPANIONS_MAX];
    uint32_t companion_count;
    bool is_witnessed;       /* an end of this epoch was seen here */
    uint64_t answers_before; /* KcSuspects.answer_count at its first end */
    KcTime blocked_at;       /* when it was blocked, or last tried */
    uint32_t trial_count;    /* since it was blocked */
    KcTime asked_at; /* when this process last asked to try it; 0: never */
    bool may_try;    /* this process may send one request with it */
} KcSuspect;

TAILQ_HEAD(KcSuspectList, KcSuspect);

typedef enum KcSuspectNewsKind {
    KC_SUSPECT_NEWS_END = 0, /* a server ended on the part */
    KC_SUSPECT_NEWS_CLEARED, /* an answer began on it, or others explain its
                              * ends */
    KC_SUSPECT_NEWS_BLOCKED, /* it is blocked, and was tried so many times */
    KC_SUSPECT_NEWS_ASK,     /* gateway to keeper: may I try it? */
    KC_SUSPECT_NEWS_TRY,     /* keeper to gateway: send one request */
    KC_SUSPECT_NEWS_KIND_COUNT
} KcSuspectNewsKind;

/* A change that one process tells others; companions are borrowed. */
typedef struct KcSuspectNews {
    KcSuspectNewsKind kind;
    uint64_t part;
    uint32_t epoch;
    uint64_t instance;    /* of END */
    KcTime age;           /* since the end, the block or the last trial */
    uint32_t trial_count; /* of BLOCKED */
    const uint64_t *companions; /* of BLOCKED */
    uint32_t companion_count;
} KcSuspectNews;

/* An attempt that was lost with an instance of a server; parts are those of
 * its prompt that may be the cause, borrowed. */
typedef struct KcServerEnd {
    int64_t started_at_ms; /* start of the instance, wall clock */
    KcTime age;            /* since the attempt began */
    const uint64_t *parts;
    uint32_t part_count;
} KcServerEnd;

/* Turn news into a message, which borrows from companions, and back; the
 * latter returns 0 or KC_ERR_PROTOCOL. */
void KcSuspectNews_ToMsg(const KcSuspectNews *news, KcMsg *msg,
                         char companions[KC_PROMPT_PARTS_MAX * KC_PART_BYTES]);
int KcSuspectNews_FromMsg(const KcMsg *msg, KcSuspectNews *news,
                          uint64_t companions[KC_PROMPT_PARTS_MAX]);

/* The same of a lost attempt, as a LOST or ENDED. */
void KcServerEnd_ToMsg(const KcServerEnd *end, KcMsgType type, KcMsg *msg,
                       char parts[KC_PROMPT_PARTS_MAX * KC_PART_BYTES]);
int KcServerEnd_FromMsg(const KcMsg *msg, KcServerEnd *end,
                        uint64_t parts[KC_PROMPT_PARTS_MAX]);

/* Size of ids of parts as text; a longer list is cut. */
#define KC_PARTS_TEXT_SIZE 256

/* Writes ids of parts in hexadecimal, separated by commas. */
void KcParts_Format(const uint64_t *parts, uint32_t count,
                    char text[KC_PARTS_TEXT_SIZE]);

/* A step for the log. */
typedef enum KcSuspectStep {
    KC_SUSPECT_STEP_SUSPECTED = 0, /* its first end */
    KC_SUSPECT_STEP_BLOCKED,
    KC_SUSPECT_STEP_TRIED,   /* a process may send one request */
    KC_SUSPECT_STEP_CLEARED, /* it was suspected or blocked */
    KC_SUSPECT_STEP_COUNT
} KcSuspectStep;

/* Calls to the owner; part of a change, so they must not change the parts. */
typedef struct KcSuspectOps {
    /* Tells the other processes of a change that began here. */
    void (*publish)(void *context, const KcSuspectNews *news);
    /* A part is blocked from now on, or in more prompts than before.  May be
     * NULL. */
    void (*on_blocked)(void *context, const KcSuspect *suspect, KcTime now);
    /* For the log; before a part's evidence is dropped.  is_own: by what this
     * process has seen, not by news of another one. */
    void (*record)(void *context, KcSuspectStep step, const KcSuspect *suspect,
                   bool is_own);
} KcSuspectOps;

typedef struct KcSuspectOptions {
    const KcSuspectOps *ops;
    void *context;
    KcCounters *counters;
    uint32_t ends_to_block; /* 1 to KC_SUSPECT_ENDS_MAX */
    uint32_t answers_min;   /* answers to other prompts that must be seen since
                             * the first end */
    uint32_t parts_max;     /* parts that are remembered */
    KcTime evidence_timeout; /* an end counts for this long */
    KcTime trial_delay;      /* from the block to the first trial; each further
                              * one takes KC_SUSPECT_DELAY_FACTOR as long */
} KcSuspectOptions;

#define KC_SUSPECT_DELAY_FACTOR 5

/* Fills in the defaults; the rest is zero. */
void KcSuspectOptions_Init(KcSuspectOptions *options);

typedef struct KcSuspects {
    KcSuspectOptions options;
    KcSuspect *table;
    /* By state, the least recently used first. */
    struct KcSuspectList lists[KC_SUSPECT_STATE_COUNT];
    uint64_t answer_count; /* answers that began here */
} KcSuspects;

void KcSuspects_Init(KcSuspects *suspects, const KcSuspectOptions *options);
void KcSuspects_Clear(KcSuspects *suspects);

/* Identifies an instance of a server to all processes. */
uint64_t KcSuspects_HashInstance(const char *server_id, int64_t started_at_ms);

/* NULL: nothing is known of the part. */
KcSuspect *KcSuspects_Find(const KcSuspects *suspects, uint64_t part);

/* An answer has begun on a prompt with these parts. */
void KcSuspects_NoteAnswer(KcSuspects *suspects, const uint64_t *parts,
                           uint32_t count, KcTime now);

/*
 * Copies those of the parts on which no answer has begun since then, as far as
 * this process has seen; returns their number.
 */
uint32_t KcSuspects_SelectUnanswered(const KcSuspects *suspects,
                                     const uint64_t *parts, uint32_t count,
                                     KcTime since, uint64_t *unanswered);

/* A server has ended on its own with an attempt that was not answered. */
void KcSuspects_NoteEnd(KcSuspects *suspects, uint64_t instance,
                        const KcServerEnd *end, KcTime now);

/* Blocks the parts that are to be, and reviews the companions and the ends of
 * those that are.  To be called a little after evidence has come, as that of
 * one end comes in several pieces.  Returns whether a part
 * has enough ends and is not blocked, so that this is to be called again: the
 * more other prompts are answered, the less probable is it that it is sound.
 */
bool KcSuspects_Review(KcSuspects *suspects, KcTime now);

/*
 * The part for which a prompt with these parts must not be sent: blocked, with
 * all its companions in the prompt too.  A companion alone doesn't block, as
 * it may be sound.  A prompt that tries a part is not blocked by that, nor by
 * its companions; tried is NULL for others.  NULL: none blocks it.
 */
KcSuspect *KcSuspects_FindBlocked(const KcSuspects *suspects,
                                  const uint64_t *parts, uint32_t count,
                                  const KcSuspect *tried);

/* Returns "suspected", "blocked", "tried" or "cleared"; static text. */
const char *KcSuspectStep_Name(KcSuspectStep step);

typedef enum KcSuspectReceipt {
    KC_SUSPECT_KNOWN = 0, /* nothing has changed */
    KC_SUSPECT_NEW,       /* to be told to others */
    KC_SUSPECT_VOID       /* of an earlier epoch; the sender should be told */
} KcSuspectReceipt;

/* Takes END, CLEARED or BLOCKED from another process. */
KcSuspectReceipt KcSuspects_Receive(KcSuspects *suspects,
                                    const KcSuspectNews *news, KcTime now);
/* The answer to evidence that is void: the epoch of a part that is known. */
KcSuspectNews KcSuspects_DescribeCleared(const KcSuspects *suspects,
                                         uint64_t part);

/* Is a trial of a blocked part due? */
bool KcSuspects_IsTrialDue(const KcSuspects *suspects,
                           const KcSuspect *suspect, KcTime now);
/* Counts a trial of a blocked part, which another process will make. */
void KcSuspects_GrantTrial(KcSuspects *suspects, KcSuspect *suspect,
                           KcTime now);

/* Clears a part by order of an administrator; false: nothing was held against
 * it. */
bool KcSuspects_ClearPart(KcSuspects *suspects, uint64_t part, KcTime now);

/* Calls tell, which must not change the parts, for all that is held against
 * them.  Of what was cleared meanwhile the other process is told when it
 * answers with evidence that is void. */
void KcSuspects_TellAll(const KcSuspects *suspects,
                        void (*tell)(void *context, const KcSuspectNews *news),
                        void *context, KcTime now);

/* Number of parts in this state. */
uint32_t KcSuspects_Count(const KcSuspects *suspects, KcSuspectState state);

#endif
