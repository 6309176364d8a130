/*
 * A running load of callers over HTTP, each of which knows what it must get.
 */
#ifndef KCC_LOAD_H
#define KCC_LOAD_H

#include "fleet.h"

/* One call. */
typedef struct LoadCall {
    TAILQ_ENTRY(LoadCall) link;
    struct Load *load;
    bool plain;
    bool stream;
    char model[KC_ADAPTER_REF_TEXT_SIZE];
    char text[64]; /* prompt or body, unique to the call */
    char key[64];
    int status; /* 0: no answer */
    bool whole; /* the HTTP answer was whole */
    bool ended;
    KcHttpCall *http; /* NULL once it has ended */
    KcBuffer body;
} LoadCall;

TAILQ_HEAD(LoadCallList, LoadCall);

typedef struct Load {
    KcLoop *loop;
    Fleet *fleet;
    struct LoadCallList calls;
    uint32_t count;
    uint32_t rounds; /* of Load_Run() */
    uint32_t in_progress;
    uint32_t tokens; /* of an answer */
} Load;

/* What became of all calls. */
typedef struct LoadResult {
    uint32_t answered;
    uint32_t not_run;
    uint32_t unknown;
    uint32_t lost;  /* the connection to the entry broke */
    uint32_t wrong; /* anything that must not be */
} LoadResult;

void Load_Init(Load *load, Fleet *fleet, uint32_t tokens);
void Load_Clear(Load *load);

/* Sends a call to an entry. */
LoadCall *Load_CallModel(Load *load, uint32_t entry, uint32_t adapter,
                         uint32_t version, bool stream);
void Load_CallPlain(Load *load, uint32_t entry, const char *key);

/* Sends calls at intervals for a time. */
void Load_Run(Load *load, int milliseconds);

/* Waits until every call has ended. */
void Load_Finish(Load *load);

/*
 * Judges every call by what it got and by what the engines and services
 * counted.  Each fault is printed.
 */
LoadResult Load_Judge(Load *load);

#endif
