/*
 * How much memory callers' requests and their answers may take.
 */
#ifndef KCC_MEMORY_H
#define KCC_MEMORY_H

#include "settings.h"

/*
 * Returns the bytes of requests that a process may hold which has so much
 * memory, 0 if that is unknown, on a machine with machine_bytes.
 */
size_t KcMemory_RequestBytesMax(double memory_megabytes,
                                int64_t machine_bytes);
/* The same of answers that callers have not taken yet. */
size_t KcMemory_AnswerBytesMax(double memory_megabytes, int64_t machine_bytes);
/* Return the bytes of requests and of answers that this process may hold. */
size_t KcMemory_LimitRequests(const KcSettings *settings);
size_t KcMemory_LimitAnswers(const KcSettings *settings);

#endif
