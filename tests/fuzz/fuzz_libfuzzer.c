/*
 * Entry point for libFuzzer; aborts on a finding.
 */
#include <stdio.h>
#include <stdlib.h>

#include "operations.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    FuzzResult result = Fuzz_Run(data, size);

    if (result.finding != NULL) {
        fprintf(stderr, "finding: %s\n", result.finding);
        abort();
    }
    return 0;
}
