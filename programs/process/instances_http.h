/*
 * Polls the platform's instance list over HTTP:
 *
 *   GET /v1/instances   [{"name", "service", "datacentre", "address",
 *                         "state": "live" or "leaving"}]
 *
 * The list has an ETag, so that an unchanged list costs one short answer.
 */
#ifndef KCC_INSTANCES_HTTP_H
#define KCC_INSTANCES_HTTP_H

#include "../request/http_call.h"
#include "loop.h"

/* Service name of the entries in the list. */
#define KC_ENTRY_SERVICE_NAME "kcc-entry"

typedef struct KcInstancePoller KcInstancePoller;

typedef struct KcInstancePollerOptions {
    KcLoop *loop;
    const char *address; /* "address:port"; copied */
    KcTime poll_interval;
    KcTime call_timeout;
    /*
     * The list has changed. instances, valid during the call, are the backend
     * servers; entry_count is the number of entries that are not leaving.
     */
    void (*on_changed)(void *context, const KcInstance *instances,
                       size_t instance_count, uint32_t entry_count);
    void *context;
} KcInstancePollerOptions;

/* Starts the first poll at once. */
KcInstancePoller *
KcInstancePoller_Create(const KcInstancePollerOptions *options);
void KcInstancePoller_Free(KcInstancePoller *poller);

/*
 * Decodes a list; elements that are not valid are left out. Returns the number
 * of backend servers and sets *instances, an array that the caller frees, and
 * *entry_count, the number of entries that are not leaving. Returns
 * KC_ERR_PARSE when the text is no JSON array.
 */
int KcInstanceList_Decode(KcBytes bytes, KcInstance **instances,
                          uint32_t *entry_count);

#endif
