/*
 * A part of prompts that ends each model worker that begins an answer on it:
 * which calls have it, and the rules for what it may cost the others.
 */
#ifndef KCC_DEADLY_H
#define KCC_DEADLY_H

#include "../../programs/process/loop.h"
#include "../daemons/gateway_cluster.h"
#include "soak.h"

/* Id of the part, as the model workers know it. */
#define DEADLY_PART "dead5eed"
/* Size of the header line of a prompt. */
#define DEADLY_PROMPT_SIZE 96

/* From now on the prompts of streams have parts, and from begin_at on some of
 * them have the deadly one.  Workers that end are started again. */
void Deadly_Start(KcLoop *loop, KcTime begin_at);
/* Writes the header line of a call's prompt; "" for one without parts. */
void Deadly_WritePrompt(Call *call, char line[DEADLY_PROMPT_SIZE]);

/* Reads the ends of the workers, and what reached them later, from their logs;
 * notes the ends in the history. */
void Deadly_ReadLogs(const GatewayCluster *cluster);
/* Counts a call that has ended.  The logs must have been read. */
void Deadly_CountCall(const Call *call);
/* Reports violations, and prints how often the rules applied. */
void Deadly_Check(void);

#endif
