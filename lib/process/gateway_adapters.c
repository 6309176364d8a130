/*
 * The adapters that a gateway knows, their versions, and their replicas at
 * backend servers.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway_internal.h"

/* From this number on, each new adapter replaces one that nothing refers to;
 * bounds the memory. */
#define ADAPTERS_MAX 20000
/* Adapters visited to find one that nothing refers to; bounds the work. */
#define UNREFERENCED_SCAN_MAX 64
/*
 * While a newer version is loaded, older ones may serve for the first of these
 * shares of version_timeout since this gateway knows of it, and for the second
 * one since it may have been announced: requests wait at servers before they
 * begin.
 */
#define OLD_VERSION_KNOWN_PERCENT 50
#define OLD_VERSION_PERCENT 70
/* A use count fades to 0 in this time. */
#define USE_COUNT_FADE_TIME (10 * KC_SECOND)
/* A load that was asked for before this tells nothing of how long loads take.
 */
#define LOAD_TIME_MAX (4 * KC_SECOND)

/* ---- counts of uses ------------------------------------------------------ */

double
KcUseCount_Value(const KcUseCount *count, KcTime now)
{
    KcTime age = now - count->updated_at;

    if (age >= USE_COUNT_FADE_TIME) {
        return 0;
    }
    return count->value * (1.0 - (double)age / USE_COUNT_FADE_TIME);
}

void
KcUseCount_Add(KcUseCount *count, KcTime now)
{
    count->value = KcUseCount_Value(count, now) + 1.0;
    count->updated_at = now;
}

/* ---- adapters ------------------------------------------------------------ */

static bool
is_unreferenced(const KcAdapterState *adapter)
{
    return TAILQ_EMPTY(&adapter->replicas) &&
           TAILQ_EMPTY(&adapter->waiting_requests) &&
           adapter->newest_version == 0;
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

/* Makes room for a new adapter: frees the least recently used one that nothing
 * refers to, if there are too many. */
static void
forget_one_adapter(KcGateway *gateway)
{
    KcAdapterState *adapter;
    int visited = 0;

    if (gateway->adapter_count < ADAPTERS_MAX) {
        return;
    }
    TAILQ_FOREACH (adapter, &gateway->adapter_list, link) {
        if (is_unreferenced(adapter)) {
            free_adapter(gateway, adapter);
            return;
        }
        if (++visited == UNREFERENCED_SCAN_MAX) {
            return;
        }
    }
}

static void
format_key(char key[KC_ADAPTER_KEY_MAX], const char *model, const char *name)
{
    snprintf(key, KC_ADAPTER_KEY_MAX, "%.63s/%.62s", model, name);
}

void
KcAdapterState_Init(KcAdapterState *adapter, const char *model,
                    const char *name)
{
    *adapter = (KcAdapterState){.load_requested_at = -KC_SECOND};
    format_key(adapter->key, model, name);
    KcText_Copy(adapter->model, model, KC_NAME_MAX);
    KcText_Copy(adapter->name, name, KC_NAME_MAX);
    adapter->hash = XXH3_64bits(adapter->key, strlen(adapter->key));
    TAILQ_INIT(&adapter->replicas);
    TAILQ_INIT(&adapter->waiting_requests);
}

KcAdapterState *
KcGateway_FindAdapter(const KcGateway *gateway, const char *model,
                      const char *name)
{
    char key[KC_ADAPTER_KEY_MAX];
    KcAdapterState *adapter;

    format_key(key, model, name);
    HASH_FIND_STR(gateway->adapters, key, adapter);
    return adapter;
}

KcAdapterState *
KcGateway_GetAdapter(KcGateway *gateway, const char *model, const char *name)
{
    KcAdapterState *adapter = KcGateway_FindAdapter(gateway, model, name);

    if (adapter != NULL) {
        TAILQ_REMOVE(&gateway->adapter_list, adapter, link);
        TAILQ_INSERT_TAIL(&gateway->adapter_list, adapter, link);
        return adapter;
    }
    forget_one_adapter(gateway);
    adapter = KcMem_New(sizeof(*adapter));
    KcAdapterState_Init(adapter, model, name);
    HASH_ADD_STR(gateway->adapters, key, adapter);
    TAILQ_INSERT_TAIL(&gateway->adapter_list, adapter, link);
    gateway->adapter_count++;
    return adapter;
}

/* Once the newest version is loaded at any server, older ones may no longer
 * serve. */
static void
update_version_min(KcAdapterState *adapter)
{
    const KcReplica *replica;

    TAILQ_FOREACH (replica, &adapter->replicas, adapter_link) {
        if (!replica->loading && !replica->dropped &&
            replica->version >= adapter->newest_version) {
            adapter->version_min = adapter->newest_version;
        }
    }
}

/* The lowest version that may serve a request. */
static uint32_t
lowest_version(const KcAdapterState *adapter, KcTime now)
{
    if (now >= adapter->older_until) {
        return adapter->newest_version;
    }
    if (now >= adapter->older_than_previous_until &&
        adapter->previous_version > adapter->version_min) {
        return adapter->previous_version;
    }
    return adapter->version_min;
}

/* A newer version is about to be announced, which doesn't prolong the time of
 * those that are older than the present one.  Of several times that are not
 * past yet the first one counts for all. */
static void
keep_previous_version(KcAdapterState *adapter, KcTime now)
{
    adapter->version_min = lowest_version(adapter, now);
    if (now >= adapter->older_than_previous_until) {
        adapter->older_than_previous_until = adapter->older_until;
    }
    adapter->previous_version = adapter->newest_version;
}

/* Until when older versions may serve. */
static KcTime
older_until(KcTime timeout, KcTime announced_after, KcTime now)
{
    KcTime by_knowledge = now + timeout * OLD_VERSION_KNOWN_PERCENT / 100;
    KcTime by_announcement =
        announced_after + timeout * OLD_VERSION_PERCENT / 100;

    return by_knowledge < by_announcement ? by_knowledge : by_announcement;
}

void
KcGateway_OnVersionAnnounced(KcGateway *gateway, const char *model,
                             const char *adapter_name, uint32_t version,
                             KcTime announced_after, KcTime now)
{
    KcAdapterState *adapter =
        KcGateway_GetAdapter(gateway, model, adapter_name);

    if (version > adapter->newest_version) {
        keep_previous_version(adapter, now);
        adapter->newest_version = version;
        memset(adapter->holders, 0, sizeof(adapter->holders));
        adapter->older_until = older_until(gateway->options.version_timeout,
                                           announced_after, now);
        update_version_min(adapter);
    }
}

/* ---- replicas ------------------------------------------------------------ */

bool
KcReplica_IsOutdated(const KcReplica *replica, KcTime now)
{
    return replica->version < lowest_version(replica->adapter, now);
}

bool
KcReplica_IsUsable(const KcReplica *replica, KcTime now)
{
    return !replica->loading && !replica->dropped &&
           !KcReplica_IsOutdated(replica, now);
}

static KcReplica *
find_replica(const KcServer *server, const KcAdapterState *adapter)
{
    KcReplica *replica;

    TAILQ_FOREACH (replica, &adapter->replicas, adapter_link) {
        if (replica->server == server) {
            return replica;
        }
    }
    return NULL;
}

static void
mark_unreported(KcGateway *gateway, KcReplica *replica)
{
    if (!replica->is_unreported) {
        replica->is_unreported = true;
        TAILQ_INSERT_TAIL(&gateway->unreported, replica, unreported_link);
    }
}

static void
free_replica(KcGateway *gateway, KcReplica *replica)
{
    assert(replica->in_flight == 0);
    if (replica->is_unreported) {
        TAILQ_REMOVE(&gateway->unreported, replica, unreported_link);
    }
    TAILQ_REMOVE(&replica->server->replicas, replica, server_link);
    TAILQ_REMOVE(&replica->adapter->replicas, replica, adapter_link);
    free(replica);
}

void
KcReplica_Drop(KcGateway *gateway, KcReplica *replica)
{
    if (replica->in_flight > 0) {
        replica->dropped = true;
        return;
    }
    free_replica(gateway, replica);
}

void
KcReplica_BeginUse(KcGateway *gateway, KcReplica *replica)
{
    replica->in_flight++;
    replica->unreported_uses++;
    mark_unreported(gateway, replica);
}

void
KcReplica_EndUse(KcGateway *gateway, KcReplica *replica)
{
    assert(replica->in_flight > 0);
    replica->in_flight--;
    mark_unreported(gateway, replica);
    if (replica->in_flight == 0 && replica->dropped) {
        free_replica(gateway, replica);
    }
}

void
KcGateway_ReportUses(KcGateway *gateway,
                     void (*report)(void *context, KcReplica *replica),
                     void *context)
{
    KcReplica *replica;

    while ((replica = TAILQ_FIRST(&gateway->unreported)) != NULL) {
        TAILQ_REMOVE(&gateway->unreported, replica, unreported_link);
        replica->is_unreported = false;
        report(context, replica);
        replica->unreported_uses = 0;
    }
}

static void
note_holder(KcAdapterState *adapter, uint64_t server)
{
    uint64_t previous = server;

    for (int i = 0; i < KC_HOLDERS_MAX; i++) {
        uint64_t holder = adapter->holders[i];

        adapter->holders[i] = previous;
        if (holder == server) {
            return;
        }
        previous = holder;
    }
}

bool
KcAdapter_WasHeldBy(const KcAdapterState *adapter, const KcServer *server)
{
    for (int i = 0; i < KC_HOLDERS_MAX; i++) {
        if (adapter->holders[i] == server->id_hash) {
            return true;
        }
    }
    return false;
}

/* Adds or updates the replica of an adapter at a server. */
static void
set_replica(KcServer *server, KcAdapterState *adapter, uint32_t version,
            bool loading)
{
    KcReplica *replica = find_replica(server, adapter);

    if (replica == NULL) {
        replica = KcMem_New(sizeof(*replica));
        replica->server = server;
        replica->adapter = adapter;
        TAILQ_INSERT_TAIL(&server->replicas, replica, server_link);
        TAILQ_INSERT_TAIL(&adapter->replicas, replica, adapter_link);
    }
    replica->version = version;
    replica->loading = loading;
    replica->dropped = false;
    if (!loading && version >= adapter->newest_version) {
        note_holder(adapter, server->id_hash);
    }
    update_version_min(adapter);
}

void
KcReplica_AddLoading(KcServer *server, KcAdapterState *adapter)
{
    set_replica(server, adapter, adapter->newest_version, true);
}

void
KcServer_DropReplicas(KcGateway *gateway, KcServer *server, bool with_models)
{
    KcReplica *replica;
    KcReplica *next;

    if (with_models) {
        server->held_revision = (KcRevision){0};
    }
    TAILQ_FOREACH_SAFE (replica, &server->replicas, server_link, next) {
        if (with_models || replica->adapter->name[0] != '\0') {
            KcReplica_Drop(gateway, replica);
        }
    }
}

void
KcServer_SetReplicas(KcGateway *gateway, KcServer *server,
                     const KcServerInfo *info, KcTime now)
{
    const KcReplicaInfo *replica_info;
    KcReplica *replica;
    KcReplica *next;

    if (KcRevision_Compare(server->held_revision, server->record_revision) ==
        0) {
        return; /* an answer or the keeper may have said otherwise since */
    }
    server->held_revision = server->record_revision;
    TAILQ_FOREACH_SAFE (replica, &server->replicas, server_link, next) {
        /* A replica that was requested stays until the keeper answers. */
        if (!replica->loading && (!server->has_keeper_reports ||
                                  replica->adapter->name[0] == '\0')) {
            KcReplica_Drop(gateway, replica);
        }
    }
    TAILQ_FOREACH (replica_info, &info->replicas, link) {
        KcAdapterState *adapter;

        if (server->has_keeper_reports && replica_info->adapter[0] != '\0') {
            continue;
        }
        adapter = KcGateway_GetAdapter(gateway, replica_info->model,
                                       replica_info->adapter);
        set_replica(server, adapter, replica_info->version,
                    replica_info->loading);
        if (!replica_info->loading) {
            KcGateway_DispatchForAdapter(adapter, NULL, now);
        }
    }
}

/* Notes how long a load took that this gateway has asked for lately. */
static void
note_load(KcServer *server, const KcAdapterState *adapter, KcHeldState state,
          KcTime now)
{
    const KcReplica *replica = find_replica(server, adapter);
    KcTime duration = now - adapter->load_requested_at;

    if (state == KC_HELD_LOADED && replica != NULL && replica->loading &&
        duration < LOAD_TIME_MAX) {
        KcQueuePace_NoteLoad(&server->pool->pace, duration);
    }
}

void
KcGateway_OnKeeperReport(KcGateway *gateway, KcServer *server,
                         const char *model, const char *name, uint32_t version,
                         KcHeldState state, KcTime now)
{
    KcAdapterState *adapter;
    KcReplica *replica;

    server->has_keeper_reports = true;
    if (state == KC_HELD_SERVER_LEAVING) {
        server->leaving_by_keeper = true;
        return;
    }
    if (state == KC_HELD_SERVER_RESTARTED) {
        server->leaving_by_keeper = false;
        KcServer_DropReplicas(gateway, server, false);
        return;
    }
    adapter = KcGateway_GetAdapter(gateway, model, name);
    if (state == KC_HELD_NOT_LOADED) {
        replica = find_replica(server, adapter);
        if (replica != NULL) {
            KcReplica_Drop(gateway, replica);
        }
    }
    else {
        note_load(server, adapter, state, now);
        set_replica(server, adapter, version, state == KC_HELD_LOADING);
    }
    if (state != KC_HELD_LOADING) {
        KcGateway_DispatchForAdapter(
            adapter, state == KC_HELD_NOT_LOADED ? server : NULL, now);
    }
}

/* Finds a replica that must still be dropped, as its keeper was lost while it
 * was loading; NULL: none. */
static KcReplica *
find_replica_of_lost_keeper(const KcServer *server)
{
    KcReplica *replica;

    TAILQ_FOREACH (replica, &server->replicas, server_link) {
        if (replica->keeper_lost) {
            return replica;
        }
    }
    return NULL;
}

void
KcGateway_OnKeeperLost(KcGateway *gateway, KcServer *server, KcTime now)
{
    KcReplica *replica;

    server->has_keeper_reports = false;
    /* The results of loads in progress will not be reported.  They are marked
     * first, as waiting requests that are dispatched may send load requests
     * to the same keeper on a new connection. */
    TAILQ_FOREACH (replica, &server->replicas, server_link) {
        replica->keeper_lost = replica->loading;
    }
    while ((replica = find_replica_of_lost_keeper(server)) != NULL) {
        KcAdapterState *adapter = replica->adapter;

        replica->keeper_lost = false;
        KcReplica_Drop(gateway, replica);
        KcGateway_DispatchForAdapter(adapter, server, now);
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
