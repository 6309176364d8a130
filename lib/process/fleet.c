/*
 * The backend servers known to an entry, by service, and hints at which of
 * them an adapter is loaded.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "kcc_process.h"

void
KcFleet_Init(KcFleet *fleet, uint32_t hint_max)
{
    memset(fleet, 0, sizeof(*fleet));
    TAILQ_INIT(&fleet->backends);
    TAILQ_INIT(&fleet->pools);
    TAILQ_INIT(&fleet->hint_list);
    fleet->hint_max = hint_max;
}

KcBackend *
KcFleet_Find(const KcFleet *fleet, const char *name)
{
    KcBackend *backend;

    HASH_FIND_STR(fleet->by_name, name, backend);
    return backend;
}

KcPool *
KcFleet_Pool(const KcFleet *fleet, const char *service)
{
    KcPool *pool;

    TAILQ_FOREACH (pool, &fleet->pools, link) {
        if (strcmp(pool->service, service) == 0) {
            return pool;
        }
    }
    return NULL;
}

static KcPool *
find_or_add_pool(KcFleet *fleet, const char *service)
{
    KcPool *pool = KcFleet_Pool(fleet, service);

    if (pool == NULL) {
        pool = KcMem_New(sizeof(*pool));
        KcName_Copy(pool->service, service, KC_NAME_MAX);
        TAILQ_INSERT_TAIL(&fleet->pools, pool, link);
    }
    return pool;
}

static void
add_to_pool(KcPool *pool, KcBackend *backend)
{
    if (pool->count == pool->backend_capacity) {
        pool->backend_capacity =
            pool->backend_capacity > 0 ? pool->backend_capacity * 2 : 16;
        pool->backends = KcMem_Grow(pool->backends, pool->backend_capacity *
                                                        sizeof(KcBackend *));
    }
    backend->pool = pool;
    backend->pool_index = pool->count;
    pool->backends[pool->count++] = backend;
    pool->epoch++;
}

static void
remove_from_pool(KcPool *pool, KcBackend *backend)
{
    KcBackend *last = pool->backends[pool->count - 1];

    pool->backends[backend->pool_index] = last;
    last->pool_index = backend->pool_index;
    pool->count--;
    pool->epoch++;
}

static void
remove_from_hints(KcFleet *fleet, KcBackend *backend)
{
    KcAdapterHint *hint;

    TAILQ_FOREACH (hint, &fleet->hint_list, link) {
        for (int i = 0; i < 4; i++) {
            if (hint->holders[i] == backend) {
                hint->holders[i] = NULL;
            }
        }
    }
}

static void
remove_backend(KcFleet *fleet, KcBackend *backend)
{
    assert(backend->connection == NULL);
    assert(TAILQ_EMPTY(&backend->attempt_list));
    remove_from_hints(fleet, backend);
    remove_from_pool(backend->pool, backend);
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(fleet->by_name, backend);
    TAILQ_REMOVE(&fleet->backends, backend, link);
    free(backend);
}

static KcBackend *
add_backend(KcFleet *fleet, const KcInstance *instance)
{
    KcBackend *backend = KcMem_New(sizeof(*backend));

    KcName_Copy(backend->name, instance->name, KC_NAME_MAX);
    KcName_Copy(backend->service, instance->service, KC_NAME_MAX);
    backend->hash = XXH3_64bits(backend->name, strlen(backend->name));
    TAILQ_INIT(&backend->attempt_list);
    HASH_ADD_STR(fleet->by_name, name, backend);
    TAILQ_INSERT_TAIL(&fleet->backends, backend, link);
    add_to_pool(find_or_add_pool(fleet, instance->service), backend);
    return backend;
}

/* Updates data centre and region; a new region changes the candidates. */
static void
update_location(KcBackend *backend, const KcInstance *instance,
                const KcDocument *document)
{
    KcDatacentre *datacentre = NULL;
    const char *region = "";

    if (document != NULL) {
        datacentre = KcDocument_Datacentre(document, instance->datacentre);
    }
    if (datacentre != NULL) {
        region = datacentre->region;
    }
    KcName_Copy(backend->datacentre, instance->datacentre, KC_NAME_MAX);
    if (strcmp(backend->region, region) != 0) {
        KcName_Copy(backend->region, region, KC_NAME_MAX);
        backend->pool->epoch++;
    }
}

/* Adds or updates a backend server from one line of the instance list. */
static void
update_backend(KcFleet *fleet, const KcInstance *instance,
               const KcDocument *document)
{
    KcBackend *backend = KcFleet_Find(fleet, instance->name);

    if (backend == NULL) {
        backend = add_backend(fleet, instance);
    }
    if (strcmp(backend->address, instance->address) != 0) {
        /* Failures of an instance do not count for its replacement. */
        KcName_Copy(backend->address, instance->address, KC_ADDRESS_MAX);
        backend->suspect_until = 0;
        backend->failures = 0;
        backend->leaving = false;
    }
    update_location(backend, instance, document);
    backend->listed = true;
    /* That an agent is leaving by its own message is in suspect_until. */
    backend->leaving = instance->leaving;
}

void
KcFleet_Update(KcFleet *fleet, const KcInstance *instances, size_t count,
               const KcDocument *document,
               void (*on_remove)(void *context, KcBackend *backend),
               void *context)
{
    KcBackend *backend;
    KcBackend *next;

    TAILQ_FOREACH (backend, &fleet->backends, link) {
        backend->listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        update_backend(fleet, &instances[i], document);
    }
    TAILQ_FOREACH_SAFE (backend, &fleet->backends, link, next) {
        if (!backend->listed && !backend->connecting &&
            TAILQ_EMPTY(&backend->attempt_list)) {
            on_remove(context, backend);
            remove_backend(fleet, backend);
        }
    }
}

static void
clear_hints(KcFleet *fleet)
{
    KcAdapterHint *hint;

    while ((hint = TAILQ_FIRST(&fleet->hint_list)) != NULL) {
        TAILQ_REMOVE(&fleet->hint_list, hint, link);
        /* NOLINTNEXTLINE: within the macro of the hash */
        HASH_DEL(fleet->hints, hint);
        free(hint);
    }
}

void
KcFleet_Clear(KcFleet *fleet)
{
    KcBackend *backend;
    KcPool *pool;

    clear_hints(fleet);
    while ((backend = TAILQ_FIRST(&fleet->backends)) != NULL) {
        remove_backend(fleet, backend);
    }
    while ((pool = TAILQ_FIRST(&fleet->pools)) != NULL) {
        TAILQ_REMOVE(&fleet->pools, pool, link);
        free(pool->backends);
        free(pool->buckets);
        free(pool);
    }
}

/* Finds a hint or adds it, if needed in place of the least recently used. */
static KcAdapterHint *
find_or_add_hint(KcFleet *fleet, uint64_t key)
{
    KcAdapterHint *hint;

    HASH_FIND(hh, fleet->hints, &key, sizeof(key), hint);
    if (hint != NULL) {
        TAILQ_REMOVE(&fleet->hint_list, hint, link);
        TAILQ_INSERT_TAIL(&fleet->hint_list, hint, link);
        return hint;
    }
    if (fleet->hint_count == fleet->hint_max) {
        hint = TAILQ_FIRST(&fleet->hint_list);
        TAILQ_REMOVE(&fleet->hint_list, hint, link);
        HASH_DEL(fleet->hints, hint);
        free(hint);
        fleet->hint_count--;
    }
    hint = KcMem_New(sizeof(*hint));
    hint->key = key;
    HASH_ADD(hh, fleet->hints, key, sizeof(hint->key), hint);
    TAILQ_INSERT_TAIL(&fleet->hint_list, hint, link);
    fleet->hint_count++;
    return hint;
}

void
KcFleet_Learn(KcFleet *fleet, uint64_t key, KcBackend *backend, bool is_loaded,
              KcTime now)
{
    KcAdapterHint *hint = find_or_add_hint(fleet, key);
    int oldest = 0;

    for (int i = 0; i < 4; i++) {
        if (hint->holders[i] == backend) {
            hint->holders[i] = is_loaded ? backend : NULL;
            hint->reported_at[i] = now;
            return;
        }
        if (hint->holders[i] == NULL) {
            hint->reported_at[i] = 0;
        }
        if (hint->reported_at[i] < hint->reported_at[oldest]) {
            oldest = i;
        }
    }
    if (is_loaded) {
        hint->holders[oldest] = backend;
        hint->reported_at[oldest] = now;
    }
}
