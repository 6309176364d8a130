/*
 * Look-ups in a document, and its reference count.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_version.h"

static const char *const section_names[KC_SECTION_COUNT] = {
    "adapters", "capacity", "regions", "retirements", "services", "limits",
};

const char *
KcSection_Name(KcSection section)
{
    assert(section < KC_SECTION_COUNT);
    return section_names[section];
}

int
KcSection_Find(const char *name)
{
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        if (strcmp(section_names[i], name) == 0) {
            return i;
        }
    }
    return KC_ERR_NOT_FOUND;
}

KcDocument *
KcDocument_Retain(KcDocument *document)
{
    assert(document->references > 0);
    document->references++;
    return document;
}

static void
free_lists(KcDocument *document)
{
    KcService *service;
    KcDatacentre *datacentre;
    KcLimit *limit;

    while ((service = TAILQ_FIRST(&document->services)) != NULL) {
        TAILQ_REMOVE(&document->services, service, link);
        free(service);
    }
    while ((datacentre = TAILQ_FIRST(&document->datacentres)) != NULL) {
        TAILQ_REMOVE(&document->datacentres, datacentre, link);
        free(datacentre);
    }
    while ((limit = TAILQ_FIRST(&document->limits)) != NULL) {
        TAILQ_REMOVE(&document->limits, limit, link);
        free(limit);
    }
}

void
KcDocument_Release(KcDocument *document)
{
    KcAdapter *adapter;
    KcAdapter *next;

    if (document == NULL) {
        return;
    }
    assert(document->references > 0);
    if (--document->references > 0) {
        return;
    }
    HASH_ITER(hh, document->adapters, adapter, next)
    {
        HASH_DEL(document->adapters, adapter);
        free(adapter);
    }
    free_lists(document);
    free(document);
}

KcAdapter *
KcDocument_Adapter(const KcDocument *document, const char *name)
{
    KcAdapter *adapter;

    HASH_FIND_STR(document->adapters, name, adapter);
    return adapter;
}

KcService *
KcDocument_Service(const KcDocument *document, const char *name)
{
    KcService *service;

    TAILQ_FOREACH (service, &document->services, link) {
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

KcDatacentre *
KcDocument_Datacentre(const KcDocument *document, const char *name)
{
    KcDatacentre *datacentre;

    TAILQ_FOREACH (datacentre, &document->datacentres, link) {
        if (strcmp(datacentre->name, name) == 0) {
            return datacentre;
        }
    }
    return NULL;
}

KcService *
KcDocument_ServiceByPath(const KcDocument *document, const char *path)
{
    KcService *service;

    TAILQ_FOREACH (service, &document->services, link) {
        size_t length = strlen(service->path);

        if (service->kind != KC_SERVICE_PLAIN) {
            continue;
        }
        if (strncmp(path, service->path, length) == 0 &&
            (path[length] == '\0' || path[length] == '/')) {
            return service;
        }
    }
    return NULL;
}

KcLimit *
KcDocument_Limit(const KcDocument *document, const char *customer)
{
    KcLimit *limit;
    KcLimit *fallback = NULL;

    TAILQ_FOREACH (limit, &document->limits, link) {
        if (strcmp(limit->customer, customer) == 0) {
            return limit;
        }
        if (strcmp(limit->customer, "*") == 0) {
            fallback = limit;
        }
    }
    return fallback;
}

/* Splits "adapter@version"; *version is 0 when none is given.  Returns 0 or
 * KC_ERR_UNKNOWN_MODEL. */
static int
split_model(const char *model, char adapter[KC_NAME_MAX], uint32_t *version)
{
    const char *at_sign = strrchr(model, '@');
    size_t length =
        at_sign != NULL ? (size_t)(at_sign - model) : strlen(model);
    int64_t number = 0;

    if (length == 0 || length >= KC_NAME_MAX) {
        return KC_ERR_UNKNOWN_MODEL;
    }
    if (at_sign != NULL &&
        KcIni_Number(at_sign + 1, 1, UINT32_MAX, &number) != 0) {
        return KC_ERR_UNKNOWN_MODEL;
    }
    memcpy(adapter, model, length);
    adapter[length] = '\0';
    *version = (uint32_t)number;
    return 0;
}

int
KcDocument_Resolve(const KcDocument *document, const char *model,
                   KcModelRef *ref, KcService **service)
{
    KcAdapter *adapter;
    uint32_t version;
    int code = split_model(model, ref->adapter, &version);

    if (code != 0) {
        return code;
    }
    adapter = KcDocument_Adapter(document, ref->adapter);
    if (adapter == NULL) {
        return KC_ERR_UNKNOWN_MODEL;
    }
    if (version == 0) {
        version = adapter->default_version;
    }
    for (int i = 0; i < adapter->version_count; i++) {
        if (adapter->versions[i] != version) {
            continue;
        }
        if (adapter->retired[i]) {
            return KC_ERR_RETIRED;
        }
        ref->version = version;
        *service = adapter->service;
        return 0;
    }
    return KC_ERR_UNKNOWN_MODEL;
}
