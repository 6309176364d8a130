/*
 * What suspects.c and suspects_review.c share.
 */
#ifndef KCC_SUSPECTS_INTERNAL_H
#define KCC_SUSPECTS_INTERNAL_H

#include "kcc_suspects.h"

/* Is the end of this instance held against the part? */
bool KcSuspect_HasEnd(const KcSuspect *suspect, uint64_t instance);
/* Could the other part be the cause instead of this one, which is blocked? */
bool KcSuspect_HasCompanion(const KcSuspect *suspect, uint64_t part);

/* Blocks the part, with the companions that it has, and tells the owner;
 * is_own as for KcSuspectOps.record. */
void KcSuspects_Block(KcSuspects *suspects, KcSuspect *suspect,
                      KcTime blocked_at, bool is_own, KcTime now);
/* Drops the evidence against the part, and tells the other processes. */
void KcSuspects_ClearEvidence(KcSuspects *suspects, KcSuspect *suspect,
                              KcTime now);
/* Tells the owner that the part is blocked, or in more prompts than before. */
void KcSuspects_ReportBlocked(const KcSuspects *suspects,
                              const KcSuspect *suspect, KcTime now);
/* Tells the other processes. */
void KcSuspects_Publish(const KcSuspects *suspects, const KcSuspect *suspect,
                        KcSuspectNewsKind kind, KcTime now);

#endif
