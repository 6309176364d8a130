/*
 * Rows of the messages about quotas, as bytes.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "kcc_quota.h"

/* Customer and use of 8 bytes each, rate of 4, most significant byte first. */
#define ROW_BYTES 20
#define RATE_STEPS_PER_UNIT 16.0

static void
write_integer(char *bytes, int size, uint64_t value)
{
    for (int i = size - 1; i >= 0; i--) {
        bytes[i] = (char)(value & 0xff);
        value >>= 8;
    }
}

static uint64_t
read_integer(const char *bytes, int size)
{
    uint64_t value = 0;

    for (int i = 0; i < size; i++) {
        value = value << 8 | (unsigned char)bytes[i];
    }
    return value;
}

uint64_t
KcQuota_HashCustomer(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

void
KcQuotaRow_Append(const KcQuotaRow *row, KcBuffer *bytes)
{
    double steps =
        row->asked_rate > 0 ? ceil(row->asked_rate * RATE_STEPS_PER_UNIT) : 0;
    char encoded[ROW_BYTES];

    write_integer(encoded, 8, row->customer);
    write_integer(encoded + 8, 8, (uint64_t)row->used);
    write_integer(encoded + 16, 4,
                  steps < UINT32_MAX ? (uint32_t)steps : UINT32_MAX);
    KcBuffer_Append(bytes, encoded, sizeof(encoded));
}

int64_t
KcQuotaRow_Count(KcBytes bytes)
{
    return bytes.size % ROW_BYTES == 0 ? (int64_t)(bytes.size / ROW_BYTES)
                                       : -1;
}

void
KcQuotaRow_Read(KcBytes bytes, int64_t index, KcQuotaRow *row)
{
    const char *encoded = bytes.data + index * ROW_BYTES;

    row->customer = read_integer(encoded, 8);
    row->used = (int64_t)read_integer(encoded + 8, 8);
    row->asked_rate =
        (double)read_integer(encoded + 16, 4) / RATE_STEPS_PER_UNIT;
}
