/*
 * Runs the fuzzer's operations from fixed seeds, the same each time.
 *
 *   fuzz-seeds SEED OPERATIONS     runs inputs drawn from the seed until that
 *                                  many operations were applied
 *   fuzz-seeds --input FILE        runs and traces one input
 *
 * Prints one line of totals.  Exit status 1 with a finding; the input that
 * led to it is written to finding.bin.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operations.h"

/* Operations of one input, at the most. */
#define INPUT_OPERATIONS 160
#define INPUT_SIZE (4 + 3 * INPUT_OPERATIONS)

static uint64_t
draw(uint64_t *state)
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
    result = Fuzz_Trace(data, size);
    printf("%s\n", result.finding != NULL ? result.finding : "no finding");
    return result.finding != NULL;
}

static int
run_seed(uint64_t seed, uint64_t wanted)
{
    uint64_t state = seed * 0x9e3779b97f4a7c15ULL | 1;
    uint64_t operations = 0;
    uint64_t inputs = 0;
    uint64_t ended = 0;
    uint64_t answered = 0;

    while (operations < wanted) {
        uint8_t data[INPUT_SIZE];
        size_t size = 4 + 3 * (20 + draw(&state) % (INPUT_OPERATIONS - 20));
        FuzzResult result;

        for (size_t i = 0; i < size; i++) {
            data[i] = (uint8_t)(draw(&state) >> 24);
        }
        result = Fuzz_Run(data, size);
        operations += result.operations;
        ended += result.ended;
        answered += result.answered;
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
           (unsigned long long)operations, (unsigned long long)ended,
           (unsigned long long)answered);
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
