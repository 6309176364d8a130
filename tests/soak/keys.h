/*
 * Customers of the soak, and the keys by which its callers name themselves.
 */
#ifndef KCC_SOAK_KEYS_H
#define KCC_SOAK_KEYS_H

#include "soak.h"

/* A key that every configuration holds. */
#define KEYS_LASTING "lasting-key-1"

/* The customers of a configuration, in JSON; every second version takes one
 * key away. */
const char *Keys_GetCustomers(int version);

/* Chooses the key of a call, without a random draw: most have one that every
 * configuration holds, some one that is taken away at times, or an unknown
 * one. */
void Keys_Choose(Call *call, int caller_number, int call_number);

/* Checks the end of a call, with the customer that its workers got. */
void Keys_CheckCall(const Call *call);

#endif
