/*
 * Customers of the soak, their quotas, and the keys by which its callers name
 * themselves.
 */
#ifndef KCC_SOAK_KEYS_H
#define KCC_SOAK_KEYS_H

#include "soak.h"

/* A key that every configuration holds. */
#define KEYS_LASTING "lasting-key-1"
/* Tokens that each call states. */
#define KEYS_CALL_TOKENS 40

/* A customer of every configuration. */
typedef struct Customer {
    const char *name;
    const char *key; /* that every configuration holds */
    int rate_per_s;  /* of its quota, in units; 0: it has none */
    int burst;
    const char *unit;
    int call_units; /* that a call counts */
} Customer;

/* Returns a customer by position, NULL after the last. */
const Customer *Keys_GetCustomer(size_t index);

/* The customers of a configuration, in JSON; every second version takes one
 * key away.  The text is valid until the next call. */
const char *Keys_GetCustomers(int version);

/* Until then, half of the callers are those of one customer, whose quota is
 * far below what they send. */
void Keys_Heat(const Customer *customer, KcTime until);
/* Returns a customer with such a quota by position, NULL after the last. */
const Customer *Keys_GetHotCustomer(size_t index);
bool Keys_IsHot(const Customer *customer);

/* Chooses the key of a call that begins now, without a random draw: most have
 * one that every configuration holds, some one that is taken away at times, or
 * an unknown one. */
void Keys_Choose(Call *call, int caller_number, int call_number, KcTime now);

/* Checks the end of a call, with the customer that its workers got. */
void Keys_CheckCall(const Call *call);

#endif
