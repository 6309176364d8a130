/*
 * Log lines about answers that were cut off because a limit was exceeded.
 */
#ifndef KCC_INTAKE_LOG_H
#define KCC_INTAKE_LOG_H

#include <kcc.h>

/* Logs why an intake cut off the answer of a peer, by its cut fields. */
void KcIntakeLog_Write(const KcIntake *intake, const char *peer, int code);

/*
 * Logs that an answer was cut off because a part of it that no intake counts
 * is too large. step is static text.
 */
void KcIntakeLog_WriteBytes(const char *step, size_t bytes, size_t limit,
                            const char *peer);

#endif
