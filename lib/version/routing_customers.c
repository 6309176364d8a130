/*
 * The customers of a routing configuration, and their keys.
 */
#include <stdlib.h>
#include <string.h>

#include "kcc_routing.h"
#include "routing_internal.h"

KcRoutedCustomer *
KcRouting_AddCustomer(KcRouting *routing, const char *name)
{
    KcRoutedCustomer *customer;

    HASH_FIND_STR(routing->customers, name, customer);
    if (customer == NULL) {
        customer = KcMem_New(sizeof(*customer));
        KcText_Copy(customer->name, name, KC_NAME_MAX);
        HASH_ADD_STR(routing->customers, name, customer);
        TAILQ_INSERT_TAIL(&routing->customer_list, customer, link);
    }
    return customer;
}

static bool
are_equal(const KcKeyDigest *a, const KcKeyDigest *b)
{
    unsigned difference = 0;

    for (size_t i = 0; i < KC_KEY_DIGEST_BYTES; i++) {
        difference |= (unsigned)(a->bytes[i] ^ b->bytes[i]);
    }
    return difference == 0;
}

static KcCustomerKey *
find_key(const KcRouting *routing, const KcKeyDigest *digest)
{
    KcCustomerKey *key;

    HASH_FIND(hh, routing->keys, digest, sizeof(*digest), key);
    return key != NULL && are_equal(&key->digest, digest) ? key : NULL;
}

int
KcRouting_AddKey(KcRouting *routing, KcRoutedCustomer *customer,
                 const KcKeyDigest *digest)
{
    KcCustomerKey *key = find_key(routing, digest);

    if (key != NULL && key->customer != customer) {
        key->customer = NULL;
        return KC_ERR_CONFLICT;
    }
    if (key == NULL) {
        key = KcMem_New(sizeof(*key));
        key->digest = *digest;
        key->customer = customer;
        HASH_ADD(hh, routing->keys, digest, sizeof(*digest), key);
        customer->key_count++;
    }
    return 0;
}

const KcRoutedCustomer *
KcRouting_FindCustomerByName(const KcRouting *routing, const char *name)
{
    KcRoutedCustomer *customer;

    HASH_FIND_STR(routing->customers, name, customer);
    return customer;
}

const KcRoutedCustomer *
KcRouting_FindCustomer(const KcRouting *routing, const KcKeyDigest *digest)
{
    const KcCustomerKey *key = find_key(routing, digest);

    return key != NULL ? key->customer : NULL;
}

void
KcRouting_ClearCustomers(KcRouting *routing)
{
    KcCustomerKey *key;
    KcCustomerKey *next_key;
    KcRoutedCustomer *customer;

    HASH_ITER(hh, routing->keys, key, next_key)
    {
        HASH_DEL(routing->keys, key);
        free(key);
    }
    HASH_CLEAR(hh, routing->customers);
    while ((customer = TAILQ_FIRST(&routing->customer_list)) != NULL) {
        TAILQ_REMOVE(&routing->customer_list, customer, link);
        free(customer);
    }
}
