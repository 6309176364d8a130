/*
 * Entry point for libFuzzer; aborts on a finding.
 */
#include <stdio.h>
#include <stdlib.h>

#include "decoders.h"
#include "operations.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const char *finding = Fuzz_Run(data, size).finding;

    if (finding == NULL) {
        finding = Decoders_Run(data, size);
    }
    if (finding != NULL) {
        fprintf(stderr, "finding: %s\n", finding);
        abort();
    }
    return 0;
}
