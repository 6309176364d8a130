/*
 * State of a case of gateway_steps.c, and functions shared by its files:
 * gateway_steps.c has the steps, gateway_steps_calls.c what requests are made
 * of, gateway_steps_parts.c those on parts of prompts,
 * gateway_steps_customers.c those on customers,
 * gateway_steps_explain.c that on foreseen requests, gateway_steps_trace.c the
 * calls that the gateway makes.
 */
#ifndef KCC_GATEWAY_STEPS_INTERNAL_H
#define KCC_GATEWAY_STEPS_INTERNAL_H

#include <glib.h>

#include <kcc.h>

#include "../steps.h"

#define REQUEST_COUNT_MAX 100

typedef struct Fixture Fixture;

/* A caller with its one request. */
typedef struct Caller {
    Fixture *fixture;
    int number;
    KcForward *forward;       /* NULL once the request has ended */
    KcForwardRefusal refusal; /* of a request that was refused */
} Caller;

struct Fixture {
    KcTimers *timers;
    KcCounters counters;
    KcGateway *gateway;
    GString *trace;
    KcTime now;
    KcTime configuration_age;
    KcRevision revision; /* of the last record */
    Caller callers[REQUEST_COUNT_MAX];
    bool foresees;             /* each request is foreseen first */
    bool traces_checks;        /* checks of servers are traced */
    bool is_checking;          /* a check is unanswered */
    bool is_connecting;        /* attempts are not sent at their start */
    char no_keeper_server[16]; /* its keeper is unreachable */
    char no_send_server[16];   /* no attempt can be sent to it */
};

/* Trace what the gateway does.  The context is the Fixture, a caller the
 * Caller. */
extern const KcGatewayOps GatewaySteps_Ops;
extern const KcForwardOps GatewaySteps_CallerOps;

/* Reads the words of "request N PATH ..." and passes the call on; takes words
 * away. */
void GatewaySteps_WithCall(Fixture *fixture, char **words,
                           void (*use)(Fixture *fixture, int number,
                                       const KcForwardCall *call));
/* Reads "1,2" into ids of parts; returns their number. */
uint32_t GatewaySteps_ReadParts(const char *text,
                                uint64_t parts[KC_PROMPT_PARTS_MAX]);
/* Adds the customers of a configuration step. */
void GatewaySteps_AddCustomers(KcRouting *routing, char **words);
/* Takes the key from "key=K"; false when the word is another one. */
bool GatewaySteps_TakeKey(KcForwardCall *call, const char *word);
/* Sets the age of the configuration. */
void GatewaySteps_Age(Fixture *fixture, char **words);
/* Traces what is foreseen of a call. */
void GatewaySteps_Explain(Fixture *fixture, int number,
                          const KcForwardCall *call);
/* Steps on parts. */
void GatewaySteps_Ended(Fixture *fixture, char **words);
void GatewaySteps_News(Fixture *fixture, char **words);

#endif
