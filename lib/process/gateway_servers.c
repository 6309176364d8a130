/*
 * What a gateway knows of backend servers and of the adapters they hold.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway_internal.h"

/* Adapters that are remembered beyond those in use; bounds the memory. */
#define ADAPTERS_MAX 20000
/* Servers that stay missing are looked for this often. */
#define SWEEP_INTERVAL (250 * KC_MS)
/* A server is left alone after a failure: doubles from first to last. */
#define SUSPECT_FIRST (100 * KC_MS)
#define SUSPECT_LAST (2 * KC_SECOND)
/* Weight of the newest sending in aged shares and times. */
#define AGING 0.1
/* The same for times to the first byte, which tell of load. */
#define FIRST_AGING 0.2
/* An older version goes on serving for so long after a newer one was
 * announced, while that is being loaded; half of the platform's bound. */
#define VERSION_SWITCH (2500 * KC_MS)
/* The aged count of an adapter's uses halves in this time. */
#define RATE_HALF_LIFE (5 * KC_SECOND)

/* ---- what a server says -------------------------------------------------- */

void
KcServerInfo_Init(KcServerInfo *info)
{
    memset(info, 0, sizeof(*info));
    TAILQ_INIT(&info->held);
}

void
KcServerInfo_AddHeld(KcServerInfo *info, const char *model,
                     const char *adapter, uint32_t version, bool coming)
{
    KcHeldInfo *held = KcMem_New(sizeof(*held));

    KcName_Copy(held->model, model, KC_NAME_MAX);
    KcName_Copy(held->adapter, adapter, KC_NAME_MAX);
    held->version = version;
    held->coming = coming;
    TAILQ_INSERT_TAIL(&info->held, held, link);
}

void
KcServerInfo_Clear(KcServerInfo *info)
{
    KcHeldInfo *held;

    while ((held = TAILQ_FIRST(&info->held)) != NULL) {
        TAILQ_REMOVE(&info->held, held, link);
        free(held);
    }
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
KcGateway_Adapter(KcGateway *gateway, const char *model, const char *name,
                  KcTime now)
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
    KcName_Copy(adapter->key, key, sizeof(adapter->key));
    KcName_Copy(adapter->model, model, KC_NAME_MAX);
    KcName_Copy(adapter->name, name, KC_NAME_MAX);
    adapter->hash = XXH3_64bits(key, strlen(key));
    adapter->rate_at = now;
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
    const KcHolding *holding;

    TAILQ_FOREACH (holding, &adapter->holdings, of_adapter) {
        if (!holding->coming && !holding->gone &&
            holding->version >= adapter->newest) {
            adapter->required = adapter->newest;
        }
    }
}

void
KcGateway_OnVersion(KcGateway *gateway, const char *model,
                    const char *adapter_name, uint32_t version, KcTime now)
{
    KcAdapterState *adapter =
        KcGateway_Adapter(gateway, model, adapter_name, now);

    if (version > adapter->newest) {
        adapter->newest = version;
        adapter->newest_at = now;
        note_held_version(adapter);
    }
}

/* ---- holdings ------------------------------------------------------------ */

bool
KcHolding_Usable(const KcHolding *holding, KcTime now)
{
    const KcAdapterState *adapter = holding->adapter;
    bool must_be_newest = now - adapter->newest_at >= VERSION_SWITCH;

    return !holding->coming && !holding->gone &&
           holding->version >=
               (must_be_newest ? adapter->newest : adapter->required);
}

static KcHolding *
find_holding(const KcServer *server, const KcAdapterState *adapter)
{
    KcHolding *holding;

    TAILQ_FOREACH (holding, &adapter->holdings, of_adapter) {
        if (holding->server == server) {
            return holding;
        }
    }
    return NULL;
}

static void
mark_untold(KcGateway *gateway, KcHolding *holding)
{
    if (!holding->is_untold) {
        holding->is_untold = true;
        TAILQ_INSERT_TAIL(&gateway->untold, holding, untold);
    }
}

static void
free_holding(KcGateway *gateway, KcHolding *holding)
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
KcHolding_Drop(KcGateway *gateway, KcHolding *holding)
{
    if (holding->in_flight > 0) {
        holding->gone = true;
        return;
    }
    free_holding(gateway, holding);
}

void
KcHolding_Begin(KcGateway *gateway, KcHolding *holding, KcTime now)
{
    KcAdapterState *adapter = holding->adapter;
    KcTime age = now - adapter->rate_at;

    holding->in_flight++;
    holding->uses++;
    mark_untold(gateway, holding);
    adapter->rate =
        age >= 2 * RATE_HALF_LIFE
            ? 0
            : adapter->rate * (1.0 - (double)age / (2.0 * RATE_HALF_LIFE));
    adapter->rate += 1.0;
    adapter->rate_at = now;
}

void
KcHolding_End(KcGateway *gateway, KcHolding *holding)
{
    assert(holding->in_flight > 0);
    holding->in_flight--;
    mark_untold(gateway, holding);
    if (holding->in_flight == 0 && holding->gone) {
        free_holding(gateway, holding);
    }
}

void
KcGateway_TellUses(KcGateway *gateway,
                   void (*tell)(void *context, KcHolding *holding),
                   void *context)
{
    KcHolding *holding;

    while ((holding = TAILQ_FIRST(&gateway->untold)) != NULL) {
        TAILQ_REMOVE(&gateway->untold, holding, untold);
        holding->is_untold = false;
        tell(context, holding);
        holding->uses = 0;
    }
}

/* Sets what a server holds of an adapter. */
static void
set_holding(KcServer *server, KcAdapterState *adapter, uint32_t version,
            bool coming)
{
    KcHolding *holding = find_holding(server, adapter);

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

static void
drop_all(KcGateway *gateway, KcServer *server, bool with_models)
{
    KcHolding *holding;
    KcHolding *next;

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
static void
set_held(KcGateway *gateway, KcServer *server, const KcServerInfo *info,
         KcTime now)
{
    const KcHeldInfo *held;
    KcHolding *holding;
    KcHolding *next;

    TAILQ_FOREACH_SAFE (holding, &server->holdings, of_server, next) {
        /* What the keeper was asked for stays until it has answered. */
        if (!holding->coming &&
            (!server->keeper || holding->adapter->name[0] == '\0')) {
            KcHolding_Drop(gateway, holding);
        }
    }
    TAILQ_FOREACH (held, &info->held, link) {
        KcAdapterState *adapter;

        if (server->keeper && held->adapter[0] != '\0') {
            continue;
        }
        adapter = KcGateway_Adapter(gateway, held->model, held->adapter, now);
        set_holding(server, adapter, held->version, held->coming);
        if (!held->coming) {
            KcGateway_DispatchWaiting(adapter, NULL, now);
        }
    }
}

void
KcGateway_OnHeld(KcGateway *gateway, KcServer *server, const char *model,
                 const char *name, uint32_t version, KcHeldState state,
                 KcTime now)
{
    KcAdapterState *adapter;
    KcHolding *holding;

    server->keeper = true;
    if (state == KC_HELD_LEAVING) {
        server->told_leaving = true;
        return;
    }
    if (state == KC_HELD_NOTHING) {
        server->told_leaving = false;
        drop_all(gateway, server, false);
        return;
    }
    adapter = KcGateway_Adapter(gateway, model, name, now);
    if (state == KC_HELD_GONE) {
        holding = find_holding(server, adapter);
        if (holding != NULL) {
            KcHolding_Drop(gateway, holding);
        }
    }
    else {
        set_holding(server, adapter, version, state == KC_HELD_COMING);
    }
    if (state != KC_HELD_COMING) {
        KcGateway_DispatchWaiting(adapter,
                                  state == KC_HELD_GONE ? server : NULL, now);
    }
}

static KcHolding *
first_lost(const KcServer *server)
{
    KcHolding *holding;

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
    KcHolding *holding;

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

/* ---- servers ------------------------------------------------------------- */

KcServerPool *
KcGateway_Pool(KcGateway *gateway, const char *service)
{
    KcServerPool *pool;

    HASH_FIND_STR(gateway->pools, service, pool);
    if (pool == NULL) {
        pool = KcMem_New(sizeof(*pool));
        KcName_Copy(pool->service, service, KC_NAME_MAX);
        pool->gateway = gateway;
        TAILQ_INIT(&pool->servers);
        TAILQ_INIT(&pool->queue);
        KcRetryBudget_Init(
            &pool->budget, gateway->options.retry_percent,
            gateway->options.retry_burst /
                (gateway->gateways > 0 ? gateway->gateways : 1));
        /* An earlier process of this gateway may have spent its part. */
        pool->budget.tokens /= 2;
        HASH_ADD_STR(gateway->pools, service, pool);
    }
    return pool;
}

KcServer *
KcGateway_Server(const KcGateway *gateway, const char *id)
{
    KcServer *server;

    HASH_FIND_STR(gateway->servers, id, server);
    return server;
}

static KcDistance
distance_to(const KcGateway *gateway, const char *datacentre)
{
    const KcGatewayOptions *options = &gateway->options;

    if (strcmp(datacentre, gateway->datacentre) == 0) {
        return KC_DISTANCE_DATACENTRE;
    }
    if (strcmp(options->region_of(options->context, datacentre),
               gateway->region) == 0) {
        return KC_DISTANCE_REGION;
    }
    return KC_DISTANCE_REMOTE;
}

static KcServer *
add_server(KcGateway *gateway, const KcServerInfo *info)
{
    KcServer *server = KcMem_New(sizeof(*server));

    KcName_Copy(server->id, info->id, KC_NAME_MAX);
    server->hash = XXH3_64bits(info->id, strlen(info->id));
    server->pool = KcGateway_Pool(gateway, info->service);
    TAILQ_INIT(&server->holdings);
    HASH_ADD_STR(gateway->servers, id, server);
    TAILQ_INSERT_TAIL(&server->pool->servers, server, link);
    return server;
}

/* The server is another one than before under the same id. */
static void
renew_server(KcGateway *gateway, KcServer *server)
{
    drop_all(gateway, server, true);
    server->keeper = false;
    server->told_leaving = false;
    server->others = 0;
    server->load_at = 0;
    server->failures = 0;
    server->failure_share = 0;
    server->slow = 0;
    server->suspect_until = 0;
    gateway->options.ops->forget(gateway->options.context, server);
}

void
KcGateway_OnServer(KcGateway *gateway, const KcServerInfo *info,
                   uint64_t revision, KcTime now)
{
    KcServer *server = KcGateway_Server(gateway, info->id);

    if (server != NULL) {
        server->epoch = gateway->list_epoch;
    }
    if (server != NULL && revision < server->revision) {
        return;
    }
    if (server == NULL) {
        server = add_server(gateway, info);
        server->epoch = gateway->list_epoch;
    }
    else if (strcmp(server->address, info->address) != 0 ||
             server->born != info->born) {
        renew_server(gateway, server);
    }
    if (strcmp(server->pool->service, info->service) != 0) {
        TAILQ_REMOVE(&server->pool->servers, server, link);
        server->pool = KcGateway_Pool(gateway, info->service);
        TAILQ_INSERT_TAIL(&server->pool->servers, server, link);
    }
    server->revision = revision;
    server->born = info->born;
    KcName_Copy(server->address, info->address, KC_ADDRESS_MAX);
    KcName_Copy(server->datacentre, info->datacentre, KC_NAME_MAX);
    server->distance = distance_to(gateway, info->datacentre);
    server->places = info->places > 0 ? info->places : 1;
    server->leaving = info->leaving;
    server->gone_at = 0;
    set_held(gateway, server, info, now);
    KcGateway_DispatchQueue(server->pool, now);
}

void
KcGateway_OnServerGone(KcGateway *gateway, const char *id, bool sure,
                       KcTime now)
{
    KcServer *server = KcGateway_Server(gateway, id);

    if (server == NULL) {
        return;
    }
    server->leaving = server->leaving || sure;
    if (server->gone_at != 0) {
        return;
    }
    server->gone_at = now;
    if (!gateway->sweep.set) {
        KcTimers_Set(gateway->options.timers, &gateway->sweep,
                     now + SWEEP_INTERVAL);
    }
}

static void
free_server(KcGateway *gateway, KcServer *server)
{
    drop_all(gateway, server, true);
    gateway->options.ops->forget(gateway->options.context, server);
    assert(TAILQ_EMPTY(&server->holdings));
    /* NOLINTNEXTLINE: within the macro of the hash */
    HASH_DEL(gateway->servers, server);
    TAILQ_REMOVE(&server->pool->servers, server, link);
    free(server);
}

/* Does a request still refer to the server? */
static bool
referred_to(const KcGateway *gateway, const KcServer *server)
{
    const KcForward *forward;

    TAILQ_FOREACH (forward, &gateway->forwards, link) {
        if (forward->server == server) {
            return true;
        }
        for (uint32_t i = 0; i < forward->tried_count; i++) {
            if (forward->tried[i] == server) {
                return true;
            }
        }
    }
    return false;
}

static void
on_sweep(KcTimer *timer, KcTime now)
{
    KcGateway *gateway = timer->owner;
    KcServer *server;
    KcServer *next;
    bool again = false;

    HASH_ITER(hh, gateway->servers, server, next)
    {
        if (server->gone_at == 0) {
            continue;
        }
        again = true;
        if (now - server->gone_at < gateway->options.missing) {
            continue;
        }
        server->leaving = true;
        if (!referred_to(gateway, server)) {
            free_server(gateway, server);
        }
    }
    if (again) {
        KcTimers_Set(gateway->options.timers, timer, now + SWEEP_INTERVAL);
    }
}

void
KcGateway_ServersBegin(KcGateway *gateway)
{
    gateway->list_epoch++;
}

void
KcGateway_ServersEnd(KcGateway *gateway, KcTime now)
{
    KcServer *server;
    KcServer *next;

    gateway->listed = true;
    HASH_ITER(hh, gateway->servers, server, next)
    {
        if (server->epoch != gateway->list_epoch) {
            KcGateway_OnServerGone(gateway, server->id, false, now);
        }
    }
}

void
KcGateway_EachServer(KcGateway *gateway,
                     void (*visit)(void *context, KcServer *server),
                     void *context)
{
    KcServer *server;
    KcServer *next;

    HASH_ITER(hh, gateway->servers, server, next)
    {
        visit(context, server);
    }
}

/* ---- how servers do ------------------------------------------------------ */

void
KcGateway_OnLoad(KcServer *server, uint32_t running, uint32_t waiting,
                 uint32_t places, KcTime now)
{
    uint32_t total = running + waiting;

    server->others = total > server->in_flight ? total - server->in_flight : 0;
    server->load_at = now;
    if (places > 0) {
        server->places = places;
    }
}

void
KcServer_NoteSuccess(KcServer *server)
{
    server->failures = 0;
    server->suspect_until = 0;
    server->failure_share *= 1.0 - AGING;
}

void
KcServer_NoteFirst(KcServer *server, KcTime took, KcTime now)
{
    server->slow += (KcTime)((double)(took - server->slow) * FIRST_AGING);
    server->slow_at = now;
}

void
KcServer_NoteFailure(KcServer *server, KcAttemptEnd end, KcTime now)
{
    KcTime delay = SUSPECT_FIRST;

    if (end == KC_ATTEMPT_REFUSED) {
        return;
    }
    server->failure_share += (1.0 - server->failure_share) * AGING;
    server->failed_at = now;
    if (end == KC_ATTEMPT_FAILED) {
        return; /* it answers, if not well */
    }
    for (uint32_t i = 0; i < server->failures && delay < SUSPECT_LAST; i++) {
        delay *= 2;
    }
    server->failures++;
    server->suspect_until =
        now + (delay < SUSPECT_LAST ? delay : SUSPECT_LAST);
}

/* ---- life ---------------------------------------------------------------- */

void
KcGateway_InitServers(KcGateway *gateway)
{
    TAILQ_INIT(&gateway->adapter_list);
    TAILQ_INIT(&gateway->untold);
    KcTimer_Init(&gateway->sweep, on_sweep, gateway);
}

void
KcGateway_ClearServers(KcGateway *gateway)
{
    KcServer *server;
    KcServer *next_server;
    KcServerPool *pool;
    KcServerPool *next_pool;
    KcAdapterState *adapter;

    KcTimers_Clear(gateway->options.timers, &gateway->sweep);
    HASH_ITER(hh, gateway->servers, server, next_server)
    {
        free_server(gateway, server);
    }
    HASH_ITER(hh, gateway->pools, pool, next_pool)
    {
        HASH_DEL(gateway->pools, pool);
        free(pool);
    }
    while ((adapter = TAILQ_FIRST(&gateway->adapter_list)) != NULL) {
        free_adapter(gateway, adapter);
    }
}
