/*
 * Steps of gateway_steps.c on customers and their keys:
 *
 *   config VERSION CUSTOMER...   a configuration with customers, as
 *                     NAME:KEYS[:PRIORITY[:RATE]]; each key is a letter, and
 *                     "-" a customer that can't be read; RATE is its quota in
 *                     requests a second, and its burst
 *   request ... key=K            the caller names itself by a key
 *   age MS            so long ago the configuration was certain to be the
 *                     newest; -1: it never was
 *
 * Route /k/ is safe and needs no key; the priority of all routes is 7.
 *
 * Trace: "1>a c 7" an attempt in the name of customer c with priority 7, "-"
 * for no one's, where there are customers.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway_steps_internal.h"

static KcKeyDigest
make_digest(char key)
{
    KcKeyDigest digest = {{(uint8_t)key}};

    return digest;
}

void
GatewaySteps_AddCustomers(KcRouting *routing, char **words)
{
    for (; *words != NULL; words++) {
        char **fields = g_strsplit(*words, ":", 4);

        routing->has_customers = true;
        if (strcmp(*words, "-") != 0) {
            KcRoutedCustomer *customer =
                KcRouting_AddCustomer(routing, fields[0]);

            for (const char *key = fields[1]; *key != '\0'; key++) {
                KcKeyDigest digest = make_digest(*key);

                KcRouting_AddKey(routing, customer, &digest);
            }
            customer->has_priority = fields[2] != NULL;
            customer->priority =
                fields[2] != NULL ? (uint32_t)atoi(fields[2]) : 0;
            customer->rate_per_s =
                fields[2] != NULL && fields[3] != NULL ? atoi(fields[3]) : 0;
            customer->burst = customer->rate_per_s;
        }
        g_strfreev(fields);
    }
}

bool
GatewaySteps_TakeKey(KcForwardCall *call, const char *word)
{
    if (!g_str_has_prefix(word, "key=")) {
        return false;
    }
    call->has_key = true;
    call->key_digest = make_digest(word[strlen("key=")]);
    return true;
}

void
GatewaySteps_Age(Fixture *fixture, char **words)
{
    int age_ms = atoi(words[1]);

    fixture->configuration_age = age_ms < 0 ? KC_NEVER : age_ms * KC_MS;
}
