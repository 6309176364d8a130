/*
 * Runs the fuzzer on reproducible inputs.
 *
 *   fuzz-seeds SEED OPERATIONS     runs inputs generated from the seed until
 *                                  that many operations were applied
 *   fuzz-seeds --input FILE        runs and traces one input
 *
 * Each input also goes through the decoders.  Prints one line of totals.  Exit
 * status 1 with a finding, 2 with wrong usage; the input that led to a finding
 * is written to finding.bin.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decoders.h"
#include "operations.h"

#define INPUT_OPERATIONS_MAX 160
/* operations.c reads a header of 4 bytes, then 3 bytes an operation. */
#define INPUT_BYTES_MAX (4 + 3 * INPUT_OPERATIONS_MAX)

static uint64_t
draw_random(uint64_t *state)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return *state;
}

static void
save_input(const uint8_t *data, size_t size)
{
    FILE *file = fopen("finding.bin", "wb");

    if (file != NULL) {
        fwrite(data, 1, size, file);
        fclose(file);
    }
}

static int
run_file(const char *path)
{
    static uint8_t data[1 << 20];
    FILE *file = fopen(path, "rb");
    FuzzResult result;
    size_t size;

    if (file == NULL) {
        fprintf(stderr, "fuzz-seeds: cannot read %s\n", path);
        return 2;
    }
    size = fread(data, 1, sizeof(data), file);
    fclose(file);
    result = Fuzz_RunTraced(data, size);
    if (result.finding == NULL) {
        result.finding = Decoders_Run(data, size);
    }
    printf("%s\n", result.finding != NULL ? result.finding : "no finding");
    return result.finding != NULL;
}

static int
run_seed(uint64_t seed, uint64_t operations_min)
{
    uint64_t state = seed * 0x9e3779b97f4a7c15ULL | 1;
    uint64_t operations = 0;
    uint64_t inputs = 0;
    uint64_t requests_ended = 0;
    uint64_t requests_answered = 0;

    while (operations < operations_min) {
        uint8_t data[INPUT_BYTES_MAX];
        size_t size =
            4 + 3 * (20 + draw_random(&state) % (INPUT_OPERATIONS_MAX - 20));
        FuzzResult result;

        for (size_t i = 0; i < size; i++) {
            data[i] = (uint8_t)(draw_random(&state) >> 24);
        }
        result = Fuzz_Run(data, size);
        if (result.finding == NULL) {
            result.finding = Decoders_Run(data, size);
        }
        operations += result.operations;
        requests_ended += result.requests_ended;
        requests_answered += result.requests_answered;
        inputs++;
        if (result.finding != NULL) {
            save_input(data, size);
            printf("finding: seed %llu, input %llu: %s\n",
                   (unsigned long long)seed, (unsigned long long)inputs,
                   result.finding);
            return 1;
        }
    }
    printf("fuzz: seed %llu, %llu inputs, %llu operations, %llu requests "
           "ended, %llu answered, no finding\n",
           (unsigned long long)seed, (unsigned long long)inputs,
           (unsigned long long)operations, (unsigned long long)requests_ended,
           (unsigned long long)requests_answered);
    return 0;
}

int
main(int argc, char **argv)
{
    if (argc == 3 && strcmp(argv[1], "--input") == 0) {
        return run_file(argv[2]);
    }
    if (argc != 3) {
        fprintf(stderr, "usage: fuzz-seeds SEED OPERATIONS | --input FILE\n");
        return 2;
    }
    return run_seed(strtoull(argv[1], NULL, 10), strtoull(argv[2], NULL, 10));
}
