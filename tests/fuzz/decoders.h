/*
 * The fuzzer of decoders: feeds the bytes of an input to each decoder of a
 * table and checks what it makes of them.
 */
#ifndef KCC_DECODERS_H
#define KCC_DECODERS_H

#include <stddef.h>
#include <stdint.h>

/* Runs an input through every decoder.  Returns the finding, NULL if there is
 * none; static text. */
const char *Decoders_Run(const uint8_t *data, size_t size);

/* ---- for the decoders ----------------------------------------------------- */

/* What is not read yet of an input. */
typedef struct FuzzInput {
    const uint8_t *data;
    size_t size;
} FuzzInput;

/* The next byte; 0 after the last. */
uint8_t FuzzInput_Take(FuzzInput *input);
/* The next byte, below limit. */
uint8_t FuzzInput_TakeBelow(FuzzInput *input, uint8_t limit);
/* The next four bytes; in half of the cases a small number. */
uint32_t FuzzInput_TakeNumber(FuzzInput *input);

/* Each reads some of the input and returns a finding or NULL. */
const char *Decoders_RunCustomers(FuzzInput *input);
const char *Decoders_RunLoad(FuzzInput *input);
const char *Decoders_RunRows(FuzzInput *input);
const char *Decoders_RunQuotaMessages(FuzzInput *input);
const char *Decoders_RunFeed(FuzzInput *input);

#endif
