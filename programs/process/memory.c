/*
 * How much memory callers' requests and their answers may take.
 */
#include "memory.h"

#include <unistd.h>

#define MEGABYTE 1000000
/*
 * Percentage of the memory. The rest is for what each connection may hold
 * beside it, for answers and for the process itself.
 */
#define REQUESTS_PERCENT 75
/* Percentage of the memory for answers that callers have not taken. */
#define ANSWERS_PERCENT 10
/* When nothing is known of the memory that the process may use. */
#define DEFAULT_REQUEST_BYTES_MAX (192 * MEGABYTE)
#define DEFAULT_ANSWER_BYTES_MAX (32 * MEGABYTE)

/* A part of the memory that the process may use; if that is unknown, of the
 * machine's, and at most default_max. */
static size_t
part_of_memory(double memory_megabytes, int64_t machine_bytes, int percent,
               size_t default_max)
{
    int64_t part = machine_bytes / 100 * percent;

    if (memory_megabytes > 0) {
        return (size_t)(memory_megabytes * MEGABYTE * percent / 100);
    }
    return part > 0 && (size_t)part < default_max ? (size_t)part : default_max;
}

size_t
KcMemory_RequestBytesMax(double memory_megabytes, int64_t machine_bytes)
{
    return part_of_memory(memory_megabytes, machine_bytes, REQUESTS_PERCENT,
                          DEFAULT_REQUEST_BYTES_MAX);
}

size_t
KcMemory_AnswerBytesMax(double memory_megabytes, int64_t machine_bytes)
{
    return part_of_memory(memory_megabytes, machine_bytes, ANSWERS_PERCENT,
                          DEFAULT_ANSWER_BYTES_MAX);
}

static int64_t
machine_memory(void)
{
    return (int64_t)sysconf(_SC_PHYS_PAGES) * sysconf(_SC_PAGESIZE);
}

size_t
KcMemory_LimitRequests(const KcSettings *settings)
{
    return KcMemory_RequestBytesMax(settings->memory_megabytes,
                                    machine_memory());
}

size_t
KcMemory_LimitAnswers(const KcSettings *settings)
{
    return KcMemory_AnswerBytesMax(settings->memory_megabytes,
                                   machine_memory());
}
