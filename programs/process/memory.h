/*
 * How much memory callers' requests may take.
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
/* Returns the bytes of requests that this process may hold. */
size_t KcMemory_LimitRequests(const KcSettings *settings);

#endif
