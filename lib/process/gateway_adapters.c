/*
 * What a gateway knows of adapters and of the servers that hold them.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway_internal.h"

/* Adapters that are remembered beyond those in use; bounds the memory. */
#define ADAPTERS_MAX 20000
/* An older version goes on serving for so long after a newer one was
 * announced, while that is being loaded; half of the platform's bound. */
#define VERSION_SWITCH (2500 * KC_MS)
/* A count of uses is forgotten after so long without one. */
#define USES_AGE (10 * KC_SECOND)

/* ---- counts of uses ------------------------------------------------------ */

double
KcUseCount_Value(const KcUseCount *count, KcTime now)
{
    KcTime age = now - count->at;

    if (age >= USES_AGE) {
        return 0;
    }
    return count->value * (1.0 - (double)age / USES_AGE);
}

void
KcUseCount_Add(KcUseCount *count, KcTime now)
{
    count->value = KcUseCount_Value(count, now) + 1.0;
    count->at = now;
}

/* ---- adapters ------------------------------------------------------------ */

static bool
adapter_idle(const KcAdapterState *adapter)
{
    return TAILQ_EMPTY(&adapter->holdings) && TAILQ_EMPTY(&adapter->waiting) &&
           adapter->newest == 0;
}

static void
free_adapter(KcGateway *gateway, KcAdapterState *adapter)
{
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(gateway->adapters, adapter);
    TAILQ_REMOVE(&gateway->adapter_list, adapter, link);
    gateway->adapter_count--;
    free(adapter);
}

/* Forgets the least recently used adapter that nothing refers to. */
static void
make_room(KcGateway *gateway)
{
    KcAdapterState *adapter;
    int looked = 0;

    if (gateway->adapter_count < ADAPTERS_MAX) {
        return;
    }
    TAILQ_FOREACH (adapter, &gateway->adapter_list, link) {
        if (adapter_idle(adapter)) {
            free_adapter(gateway, adapter);
            return;
        }
        if (++looked == 64) {
            return; /* bounded work; the next one looks on */
        }
    }
}

KcAdapterState *
KcGateway_Adapter(KcGateway *gateway, const char *model, const char *name)
{
    char key[KC_ADAPTER_KEY_MAX];
    KcAdapterState *adapter;

    snprintf(key, sizeof(key), "%.63s/%.62s", model, name);
    HASH_FIND_STR(gateway->adapters, key, adapter);
    if (adapter != NULL) {
        TAILQ_REMOVE(&gateway->adapter_list, adapter, link);
        TAILQ_INSERT_TAIL(&gateway->adapter_list, adapter, link);
        return adapter;
    }
    make_room(gateway);
    adapter = KcMem_New(sizeof(*adapter));
    KcText_Copy(adapter->key, key, sizeof(adapter->key));
    KcText_Copy(adapter->model, model, KC_NAME_MAX);
    KcText_Copy(adapter->name, name, KC_NAME_MAX);
    adapter->hash = XXH3_64bits(key, strlen(key));
    adapter->wanted_at = -KC_SECOND;
    TAILQ_INIT(&adapter->holdings);
    TAILQ_INIT(&adapter->waiting);
    HASH_ADD_STR(gateway->adapters, key, adapter);
    TAILQ_INSERT_TAIL(&gateway->adapter_list, adapter, link);
    gateway->adapter_count++;
    return adapter;
}

/* Once the newest version is loaded anywhere, the older ones serve no more. */
static void
note_held_version(KcAdapterState *adapter)
{
    const KcReplica *holding;

    TAILQ_FOREACH (holding, &adapter->holdings, of_adapter) {
        if (!holding->coming && !holding->gone &&
            holding->version >= adapter->newest) {
            adapter->required = adapter->newest;
        }
    }
}

void
KcGateway_OnVersionAnnounced(KcGateway *gateway, const char *model,
                             const char *adapter_name, uint32_t version,
                             KcTime now)
{
    KcAdapterState *adapter = KcGateway_Adapter(gateway, model, adapter_name);

    if (version > adapter->newest) {
        adapter->newest = version;
        adapter->newest_at = now;
        note_held_version(adapter);
    }
}

/* ---- holdings ------------------------------------------------------------ */

bool
KcHolding_Usable(const KcReplica *holding, KcTime now)
{
    const KcAdapterState *adapter = holding->adapter;
    bool must_be_newest = now - adapter->newest_at >= VERSION_SWITCH;

    return !holding->coming && !holding->gone &&
           holding->version >=
               (must_be_newest ? adapter->newest : adapter->required);
}

static KcReplica *
find_holding(const KcServer *server, const KcAdapterState *adapter)
{
    KcReplica *holding;

    TAILQ_FOREACH (holding, &adapter->holdings, of_adapter) {
        if (holding->server == server) {
            return holding;
        }
    }
    return NULL;
}

static void
mark_untold(KcGateway *gateway, KcReplica *holding)
{
    if (!holding->is_untold) {
        holding->is_untold = true;
        TAILQ_INSERT_TAIL(&gateway->untold, holding, untold);
    }
}

static void
free_holding(KcGateway *gateway, KcReplica *holding)
{
    assert(holding->in_flight == 0);
    if (holding->is_untold) {
        TAILQ_REMOVE(&gateway->untold, holding, untold);
    }
    TAILQ_REMOVE(&holding->server->holdings, holding, of_server);
    TAILQ_REMOVE(&holding->adapter->holdings, holding, of_adapter);
    free(holding);
}

void
KcHolding_Drop(KcGateway *gateway, KcReplica *holding)
{
    if (holding->in_flight > 0) {
        holding->gone = true;
        return;
    }
    free_holding(gateway, holding);
}

void
KcHolding_Begin(KcGateway *gateway, KcReplica *holding)
{
    holding->in_flight++;
    holding->unreported_uses++;
    mark_untold(gateway, holding);
}

void
KcHolding_End(KcGateway *gateway, KcReplica *holding)
{
    assert(holding->in_flight > 0);
    holding->in_flight--;
    mark_untold(gateway, holding);
    if (holding->in_flight == 0 && holding->gone) {
        free_holding(gateway, holding);
    }
}

void
KcGateway_ReportUses(KcGateway *gateway,
                     void (*tell)(void *context, KcReplica *holding),
                     void *context)
{
    KcReplica *holding;

    while ((holding = TAILQ_FIRST(&gateway->untold)) != NULL) {
        TAILQ_REMOVE(&gateway->untold, holding, untold);
        holding->is_untold = false;
        tell(context, holding);
        holding->unreported_uses = 0;
    }
}

/* Sets what a server holds of an adapter. */
static void
set_holding(KcServer *server, KcAdapterState *adapter, uint32_t version,
            bool coming)
{
    KcReplica *holding = find_holding(server, adapter);

    if (holding == NULL) {
        holding = KcMem_New(sizeof(*holding));
        holding->server = server;
        holding->adapter = adapter;
        TAILQ_INSERT_TAIL(&server->holdings, holding, of_server);
        TAILQ_INSERT_TAIL(&adapter->holdings, holding, of_adapter);
    }
    holding->version = version;
    holding->coming = coming;
    holding->gone = false;
    note_held_version(adapter);
}

void
KcHolding_Expect(KcServer *server, KcAdapterState *adapter)
{
    set_holding(server, adapter, adapter->newest, true);
}

void
KcServer_DropHeld(KcGateway *gateway, KcServer *server, bool with_models)
{
    KcReplica *holding;
    KcReplica *next;

    TAILQ_FOREACH_SAFE (holding, &server->holdings, of_server, next) {
        if (with_models || holding->adapter->name[0] != '\0') {
            KcHolding_Drop(gateway, holding);
        }
    }
}

/*
 * Takes over what a record says that its server holds.  Records lag: where
 * the keeper is heard, its word on adapters goes first.
 */
void
KcServer_SetHeld(KcGateway *gateway, KcServer *server,
                 const KcServerInfo *info, KcTime now)
{
    const KcReplicaInfo *held;
    KcReplica *holding;
    KcReplica *next;

    TAILQ_FOREACH_SAFE (holding, &server->holdings, of_server, next) {
        /* What the keeper was asked for stays until it has answered. */
        if (!holding->coming &&
            (!server->keeper || holding->adapter->name[0] == '\0')) {
            KcHolding_Drop(gateway, holding);
        }
    }
    TAILQ_FOREACH (held, &info->replicas, link) {
        KcAdapterState *adapter;

        if (server->keeper && held->adapter[0] != '\0') {
            continue;
        }
        adapter = KcGateway_Adapter(gateway, held->model, held->adapter);
        set_holding(server, adapter, held->version, held->loading);
        if (!held->loading) {
            KcGateway_DispatchWaiting(adapter, NULL, now);
        }
    }
}

void
KcGateway_OnKeeperReport(KcGateway *gateway, KcServer *server,
                         const char *model, const char *name, uint32_t version,
                         KcHeldState state, KcTime now)
{
    KcAdapterState *adapter;
    KcReplica *holding;

    server->keeper = true;
    if (state == KC_HELD_SERVER_LEAVING) {
        server->told_leaving = true;
        return;
    }
    if (state == KC_HELD_SERVER_RESTARTED) {
        server->told_leaving = false;
        KcServer_DropHeld(gateway, server, false);
        return;
    }
    adapter = KcGateway_Adapter(gateway, model, name);
    if (state == KC_HELD_NOT_LOADED) {
        holding = find_holding(server, adapter);
        if (holding != NULL) {
            KcHolding_Drop(gateway, holding);
        }
    }
    else {
        set_holding(server, adapter, version, state == KC_HELD_LOADING);
    }
    if (state != KC_HELD_LOADING) {
        KcGateway_DispatchWaiting(
            adapter, state == KC_HELD_NOT_LOADED ? server : NULL, now);
    }
}

static KcReplica *
first_lost(const KcServer *server)
{
    KcReplica *holding;

    TAILQ_FOREACH (holding, &server->holdings, of_server) {
        if (holding->lost) {
            return holding;
        }
    }
    return NULL;
}

void
KcGateway_OnKeeperLost(KcGateway *gateway, KcServer *server, KcTime now)
{
    KcReplica *holding;

    server->keeper = false;
    /* What was on its way will not be told of any more.  Marked first: those
     * that waited may ask the same keeper again, on a new connection. */
    TAILQ_FOREACH (holding, &server->holdings, of_server) {
        holding->lost = holding->coming;
    }
    while ((holding = first_lost(server)) != NULL) {
        KcAdapterState *adapter = holding->adapter;

        holding->lost = false;
        KcHolding_Drop(gateway, holding);
        KcGateway_DispatchWaiting(adapter, server, now);
    }
}

void
KcGateway_ClearAdapters(KcGateway *gateway)
{
    KcAdapterState *adapter;

    while ((adapter = TAILQ_FIRST(&gateway->adapter_list)) != NULL) {
        free_adapter(gateway, adapter);
    }
}
