/*
 * How much memory callers' requests may take.
 */
#include "memory.h"

#include <unistd.h>

#define MEGABYTE 1000000
/*
 * Percentage of the memory. The rest is for what each connection may hold
 * beside it, for answers and for the process itself.
 */
#define REQUESTS_PERCENT 75
/* When nothing is known of the memory that the process may use. */
#define DEFAULT_REQUEST_BYTES_MAX (192 * MEGABYTE)

size_t
KcMemory_RequestBytesMax(double memory_megabytes, int64_t machine_bytes)
{
    int64_t bytes_max = machine_bytes / 100 * REQUESTS_PERCENT;

    if (memory_megabytes > 0) {
        return (size_t)(memory_megabytes * MEGABYTE * REQUESTS_PERCENT / 100);
    }
    return (size_t)(bytes_max > 0 && bytes_max < DEFAULT_REQUEST_BYTES_MAX
                        ? bytes_max
                        : DEFAULT_REQUEST_BYTES_MAX);
}

size_t
KcMemory_LimitRequests(const KcSettings *settings)
{
    int64_t machine_bytes =
        (int64_t)sysconf(_SC_PHYS_PAGES) * sysconf(_SC_PAGESIZE);

    return KcMemory_RequestBytesMax(settings->memory_megabytes, machine_bytes);
}
