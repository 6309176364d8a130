/*
 * The 64-bit mixing function used for rendezvous hashing.
 */
#ifndef KCC_HASH_INTERNAL_H
#define KCC_HASH_INTERNAL_H

#include <stdint.h>

/* Mixes all bits of x into each bit of the result (finaliser of splitmix64).
 */
static inline uint64_t
mix64(uint64_t x)
{
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    x ^= x >> 31;
    return x;
}

#endif
