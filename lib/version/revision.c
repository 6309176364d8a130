#include "kcc_revision.h"

/* Bits of a number: the era, then the revision. */
#define ERA_BITS 23
#define REVISION_BITS 40

int
KcRevision_Compare(KcRevision a, KcRevision b)
{
    if (a.era != b.era) {
        return a.era < b.era ? -1 : 1;
    }
    return a.number == b.number ? 0 : (a.number < b.number ? -1 : 1);
}

/* The largest number that has so many bits, if value has more. */
static uint64_t
limit_bits(uint64_t value, int bits)
{
    uint64_t maximum = ((uint64_t)1 << bits) - 1;

    return value < maximum ? value : maximum;
}

uint64_t
KcRevision_ToNumber(KcRevision revision)
{
    return limit_bits(revision.era, ERA_BITS) << REVISION_BITS |
           limit_bits(revision.number, REVISION_BITS);
}
