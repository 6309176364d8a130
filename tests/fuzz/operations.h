/*
 * The operations that the fuzzer, and tables of cases, apply to a world.
 */
#ifndef KCC_OPERATIONS_H
#define KCC_OPERATIONS_H

#include "../world/oracle.h"
#include "../world/world.h"

/* Result of a run. */
typedef struct FuzzResult {
    const char *finding;        /* NULL when every promise held */
    uint32_t operations;        /* applied */
    uint32_t requests_answered; /* requests answered whole */
    uint32_t requests_ended;    /* requests that ended in any way */
} FuzzResult;

/*
 * Runs an input: its first bytes choose the world, the others are operations
 * of three bytes each.  The world is then healed and brought to rest.
 */
FuzzResult Fuzz_Run(const uint8_t *data, size_t size);

/* As Fuzz_Run(), printing each operation and event to standard output. */
FuzzResult Fuzz_RunTraced(const uint8_t *data, size_t size);

#endif
