/*
 * The stateful fuzzer: decodes an input into operations, applies them to a
 * simulation and checks the promises of the service.
 */
#ifndef KCC_OPERATIONS_H
#define KCC_OPERATIONS_H

#include "../world/oracle.h"
#include "../world/world.h"

/* Result of running one input. */
typedef struct FuzzResult {
    const char *finding;        /* NULL if every promise held; static text */
    uint32_t operations;        /* operations applied */
    uint32_t requests_answered; /* with outcome answered */
    uint32_t requests_ended;    /* with any outcome */
} FuzzResult;

/*
 * Runs an input: its first four bytes choose the options of the simulation,
 * the others are operations of three bytes each.  Then all faults end, and the
 * promises are checked again after a time for recovery.
 */
FuzzResult Fuzz_Run(const uint8_t *data, size_t size);

/* As Fuzz_Run(), printing each operation and event to standard output. */
FuzzResult Fuzz_RunTraced(const uint8_t *data, size_t size);

#endif
