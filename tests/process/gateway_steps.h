/*
 * Cases of a gateway that are written as steps; gateway_steps.c describes
 * them.
 */
#ifndef KCC_GATEWAY_STEPS_H
#define KCC_GATEWAY_STEPS_H

#include <stddef.h>

/* Two servers of a plain service, and two of one with an engine. */
#define PLAIN "config 1;server a plain 4;server b plain 4 at=near;"
#define LLM "config 1;server a llm 4 m x@1;server b llm 4 at=near m;"

/* A case of a table. */
typedef struct GatewayCase {
    const char *name;
    const char *steps;
    const char *trace; /* of all that happens */
} GatewayCase;

/* The main function of a program with such a table.  Runs the steps of each
 * case with a new gateway and checks the trace; and again with each request
 * foreseen, which must come true and change nothing. */
int GatewaySteps_Main(int argc, char **argv, const char *path,
                      const GatewayCase *cases, size_t count);

#endif
