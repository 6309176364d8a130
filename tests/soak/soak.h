/*
 * What the parts of the soak share: its random numbers, its processes and its
 * calls.
 */
#ifndef KCC_SOAK_H
#define KCC_SOAK_H

#include <kcc.h>

#include "../daemons/gateway_cluster.h"

/* The next number of the seeded sequence, from 0 to limit - 1.  A seed replays
 * the same faults only while the order of draws stays the same. */
uint64_t Soak_DrawBelow(uint64_t limit);

/* Number of processes in a role. */
int Soak_CountProcesses(GatewayClusterRole role);

/* A call and its answer.  Times are those of KcLoop_Now(). */
typedef struct Call {
    UT_hash_handle hh;
    char id[32]; /* its Attempt-Id */
    int gateway; /* number of the gateway that it was sent to */
    bool is_repeatable;
    bool is_stream;
    bool is_excessive;     /* its body is above the limit */
    bool stops_reading;    /* its answer may have come long before its end */
    bool has_parts;        /* its prompt has parts */
    bool is_deadly;        /* one of them is the deadly one */
    bool has_arrived_late; /* at a worker, see deadly.c */
    const char *key;       /* by which it names its customer */
    const struct Customer *customer; /* that has the key at least at times;
                                      * NULL: none */
    bool is_key_lasting;             /* every configuration has it */
    bool is_named; /* a worker got it in the customer's name */
    const struct CallHabit *habit;
    GatewayClusterLimits limits; /* at its beginning, if its body trickles */
    KcTime connected_at;         /* when its connection was begun */
    KcTime began_at;
    KcTime time_limit;  /* as its request says */
    KcTime sent_at;     /* all of it; KC_NEVER: not yet */
    KcTime answered_at; /* the answer's head came; 0: none did */
    KcTime ended_at;    /* the answer was complete or broken off */
    bool is_abandoned;  /* the client closed the connection */
    int status;         /* of HTTP; 0 before an answer */
    bool is_complete;
    int failure;           /* KcErrorCode of its connection, or 0 */
    bool is_misattributed; /* the answer names another request */
    KcBuffer body;
    char server_seal[64]; /* id of the worker that answered */
    int run_count;        /* counted in the workers' logs */
    KcTime ran_at;        /* it first arrived where it ran */
} Call;

/* Adds a call; it belongs to the soak. */
void Soak_AddCall(Call *call);
/* Checks the bytes of a call's answer, which has ended, and drops them. */
void Soak_CheckBody(Call *call);
/* Has it been answered with a status that promises that it has not run and
 * never will? */
bool Soak_PromisesNotRun(const Call *call);
/* Returns the call with this Attempt-Id, or NULL. */
Call *Soak_FindCall(const char *id);

/* Prints and counts a violation; call may be NULL. */
void Soak_ReportViolation(const char *violation, const Call *call);

#endif
