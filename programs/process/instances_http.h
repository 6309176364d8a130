/*
 * The platform's instance list over HTTP:
 *
 *   GET /v1/instances   [{"name", "service", "datacentre", "address",
 *                         "state": "live" or "leaving"}]
 *
 * The list has an ETag; an unchanged list costs one short answer.
 */
#ifndef KCC_INSTANCES_HTTP_H
#define KCC_INSTANCES_HTTP_H

#include "../request/http_call.h"
#include "loop.h"

/* Service name under which the list shows the entries themselves. */
#define KC_ENTRY_SERVICE "kcc-entry"

typedef struct KcInstances KcInstances;

typedef struct KcInstancesOptions {
    KcLoop *loop;
    const char *address;
    KcTime interval;
    KcTime timeout;
    /* A changed list; entries are counted and not part of it. */
    void (*changed)(void *context, const KcInstance *instances, size_t count,
                    uint32_t entries);
    void *context;
} KcInstancesOptions;

/* Starts to poll the list. */
KcInstances *KcInstances_Create(const KcInstancesOptions *options);
void KcInstances_Free(KcInstances *instances);

/*
 * Decodes a list.  Returns the number of instances with *list set, to be
 * freed by the caller, or KC_ERR_PARSE.
 */
int KcInstances_Decode(KcBytes bytes, KcInstance **list, uint32_t *entries);

#endif
