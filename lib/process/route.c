/*
 * Routing: the choice of a backend server for a request.
 *
 * Adapters are hashed into buckets.  The candidates of a bucket are the
 * backend servers of highest weight by rendezvous hashing, in this region and
 * in the others.  They are computed when a bucket is first used after a
 * change of the pool, so the cost of a choice depends on the number of
 * candidates, not on the size of the fleet.
 */
#include <assert.h>
#include <string.h>
#include <xxhash.h>

#include "hash_internal.h"
#include "kcc_process.h"

#define BUCKET_COUNT 16384
/* The weight at which a cost counts once. */
#define WEIGHT_UNIT 50
/* The wait for a load counts by this part at an adapter's home, which often
 * holds it already; see expected_stall(). */
#define HOME_STALL_DIVISOR 3
/* Load times that a copy of an adapter elsewhere costs for each adapter that
 * requests wait for there. */
#define WAITING_LOAD_FACTOR 8

uint64_t
KcRoute_Key(const KcModelRef *model)
{
    return XXH3_64bits_withSeed(model->adapter, strlen(model->adapter),
                                model->version);
}

/* Inserts an index into a list kept in descending order of weight.  Returns
 * the new count, at most max. */
static uint8_t
insert_ranked(uint16_t *list, uint64_t *weights, uint8_t count, uint8_t max,
              uint16_t backend_index, uint64_t weight)
{
    int position = count;

    if (count == max && weight <= weights[max - 1]) {
        return count;
    }
    if (count == max) {
        position = max - 1;
    }
    else {
        count++;
    }
    while (position > 0 && weights[position - 1] < weight) {
        weights[position] = weights[position - 1];
        list[position] = list[position - 1];
        position--;
    }
    weights[position] = weight;
    list[position] = backend_index;
    return count;
}

/* Computes the candidates of a bucket from all backends of the pool. */
static void
fill_bucket(const KcFleet *fleet, const KcPool *pool, uint64_t index,
            KcRouteBucket *bucket)
{
    uint64_t local_weights[KC_ROUTE_LOCAL_MAX] = {0};
    uint64_t remote_weights[KC_ROUTE_REMOTE_MAX] = {0};

    bucket->local_count = 0;
    bucket->remote_count = 0;
    for (uint32_t i = 0; i < pool->count; i++) {
        const KcBackend *backend = pool->backends[i];
        uint64_t weight =
            mix64(backend->hash ^ (index * 0x9e3779b97f4a7c15ULL));

        if (strcmp(backend->region, fleet->region) == 0) {
            bucket->local_count = insert_ranked(
                bucket->local_indexes, local_weights, bucket->local_count,
                KC_ROUTE_LOCAL_MAX, (uint16_t)i, weight);
        }
        else {
            bucket->remote_count = insert_ranked(
                bucket->remote_indexes, remote_weights, bucket->remote_count,
                KC_ROUTE_REMOTE_MAX, (uint16_t)i, weight);
        }
    }
    bucket->home_is_remote =
        bucket->remote_count > 0 &&
        (bucket->local_count == 0 || remote_weights[0] > local_weights[0]);
    bucket->pool_epoch = pool->epoch;
}

static KcRouteBucket *
find_bucket(const KcFleet *fleet, KcPool *pool, uint64_t key)
{
    uint64_t index = key & (BUCKET_COUNT - 1);

    if (pool->buckets == NULL) {
        pool->buckets = KcMem_New(BUCKET_COUNT * sizeof(pool->buckets[0]));
    }
    if (pool->buckets[index].pool_epoch != pool->epoch) {
        fill_bucket(fleet, pool, index, &pool->buckets[index]);
    }
    return &pool->buckets[index];
}

/* May an attempt be sent to the backend server? */
static bool
is_usable(const KcRouteQuery *query, const KcBackend *backend, KcTime now)
{
    if (backend->leaving || !backend->listed || backend->suspect_until > now) {
        return false;
    }
    if (backend->connection != NULL && backend->connection->leaving) {
        return false;
    }
    for (uint32_t i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == backend) {
            return false;
        }
    }
    return true;
}

/* Requests at a backend server: those of its last report, which counts less
 * with age, plus the attempts of this entry since. */
static int64_t
expected_calls(const KcRouteOptions *options, const KcBackend *backend,
               KcTime now)
{
    int64_t reported_calls =
        (int64_t)backend->load.queued + (int64_t)backend->load.running;
    KcTime report_age = now - backend->load_at;

    if (report_age >= options->knowledge) {
        reported_calls = 0;
    }
    else {
        reported_calls = reported_calls * (options->knowledge - report_age) /
                         options->knowledge;
    }
    if (reported_calls < backend->attempts) {
        reported_calls = backend->attempts;
    }
    return reported_calls + backend->sent;
}

/* Expected wait until the backend server runs fewer requests than its
 * concurrency limit. */
static KcTime
expected_wait(const KcRouteOptions *options, const KcBackend *backend,
              KcTime now)
{
    int64_t excess_calls =
        expected_calls(options, backend, now) - options->batch + 1;

    if (excess_calls <= 0) {
        return 0;
    }
    return excess_calls * options->service / options->batch;
}

static bool
is_known_holder(const KcAdapterHint *hint, const KcBackend *backend)
{
    if (hint == NULL) {
        return false;
    }
    for (int i = 0; i < 4; i++) {
        if (hint->holders[i] == backend) {
            return true;
        }
    }
    return false;
}

/*
 * Expected wait for the adapter at a backend server; none at a known holder.
 * Entries without a hint all choose the same home for an adapter, so the home
 * is the most likely to hold it.  Elsewhere a further copy takes a slot from
 * adapters that requests wait for there, which costs them loads in turn; the
 * cost grows with their number, so that under overload every adapter stays at
 * its home.
 */
static KcTime
expected_stall(const KcRouteQuery *query, const KcAdapterHint *hint,
               const KcBackend *backend, bool is_home)
{
    KcTime load_time = query->options->load;
    KcTime loads_awaited = (KcTime)backend->load.loading;

    if (!query->needs_adapter || is_known_holder(hint, backend)) {
        return 0;
    }
    if (is_home) {
        return load_time * (1 + loads_awaited) / HOME_STALL_DIVISOR;
    }
    return load_time * (1 + loads_awaited * WAITING_LOAD_FACTOR);
}

/* Chooses the cheapest of a list of candidates, if cheaper than *choice. */
static void
choose_cheapest(const KcRouteQuery *query, const KcAdapterHint *hint,
                const uint16_t *candidates, uint8_t count, bool has_home,
                bool remote, KcTime now, KcRouteChoice *choice)
{
    const KcRouteOptions *options = query->options;
    KcTime region_cost = remote ? options->remote : 0;

    for (uint8_t i = 0; i < count; i++) {
        KcBackend *backend = query->pool->backends[candidates[i]];
        KcTime cost = region_cost + i * options->spread;

        if (!is_usable(query, backend, now)) {
            continue;
        }
        cost += expected_wait(options, backend, now) * options->batch_weight /
                WEIGHT_UNIT;
        cost += expected_stall(query, hint, backend, has_home && i == 0) *
                options->stall_weight / WEIGHT_UNIT;
        if (choice->backend == NULL || cost < choice->cost) {
            choice->backend = backend;
            choice->cost = cost;
            choice->remote = remote;
        }
    }
}

/* Chooses any usable backend server of the pool, preferably of the entry's
 * region: for when no candidate is usable. */
static void
choose_any_usable(const KcRouteQuery *query, KcTime now, KcRouteChoice *choice)
{
    const KcPool *pool = query->pool;

    for (uint32_t i = 0; i < pool->count; i++) {
        KcBackend *backend = pool->backends[(query->key + i) % pool->count];
        bool remote = strcmp(backend->region, query->fleet->region) != 0;

        if (!is_usable(query, backend, now) ||
            (remote && !query->remote_allowed)) {
            continue;
        }
        choice->backend = backend;
        choice->cost = remote ? query->options->remote : 0;
        choice->remote = remote;
        if (!remote) {
            return;
        }
    }
}

static void
pick_kcc(const KcRouteQuery *query, KcTime now, KcRouteChoice *choice)
{
    KcRouteBucket *bucket = find_bucket(query->fleet, query->pool, query->key);
    KcAdapterHint *hint = NULL;

    if (query->needs_adapter) {
        HASH_FIND(hh, query->fleet->hints, &query->key, sizeof(query->key),
                  hint);
    }
    choose_cheapest(query, hint, bucket->local_indexes, bucket->local_count,
                    !bucket->home_is_remote, false, now, choice);
    if (query->remote_allowed) {
        choose_cheapest(query, hint, bucket->remote_indexes,
                        bucket->remote_count, bucket->home_is_remote, true,
                        now, choice);
    }
    if (choice->backend == NULL) {
        choose_any_usable(query, now, choice);
    }
}

/* ---- baseline policies, for comparison ----------------------------------- */

static void
set_choice(KcRouteChoice *choice, const KcRouteQuery *query,
           KcBackend *backend)
{
    choice->backend = backend;
    choice->cost = 0;
    choice->remote = strcmp(backend->region, query->fleet->region) != 0;
}

static void
pick_random(const KcRouteQuery *query, KcTime now, KcRouteChoice *choice)
{
    const KcPool *pool = query->pool;

    for (uint32_t i = 0; i < pool->count; i++) {
        KcBackend *backend = pool->backends[(query->random + i) % pool->count];

        if (is_usable(query, backend, now)) {
            set_choice(choice, query, backend);
            return;
        }
    }
}

/* The backend server with the fewest requests in the whole pool; this costs
 * time in proportion to the pool, as a database query for it would. */
static void
pick_least_loaded(const KcRouteQuery *query, KcTime now, KcRouteChoice *choice)
{
    const KcPool *pool = query->pool;
    int64_t least_calls = INT64_MAX;

    for (uint32_t i = 0; i < pool->count; i++) {
        KcBackend *backend = pool->backends[(query->random + i) % pool->count];
        int64_t calls = expected_calls(query->options, backend, now);

        if (is_usable(query, backend, now) && calls < least_calls) {
            least_calls = calls;
            set_choice(choice, query, backend);
        }
    }
}

/* The usable candidate of this region with the highest rendezvous weight,
 * else any usable backend server. */
static void
pick_hash(const KcRouteQuery *query, KcTime now, KcRouteChoice *choice)
{
    KcRouteBucket *bucket = find_bucket(query->fleet, query->pool, query->key);

    for (uint8_t i = 0; i < bucket->local_count; i++) {
        KcBackend *backend = query->pool->backends[bucket->local_indexes[i]];

        if (is_usable(query, backend, now)) {
            set_choice(choice, query, backend);
            return;
        }
    }
    choose_any_usable(query, now, choice);
}

/* As pick_hash(), but skips backend servers above 1.25 times the mean load. */
static void
pick_bounded_hash(const KcRouteQuery *query, KcTime now, KcRouteChoice *choice)
{
    KcRouteBucket *bucket = find_bucket(query->fleet, query->pool, query->key);
    int64_t total = 1;
    int64_t bound;

    assert(query->pool->count > 0);

    for (uint32_t i = 0; i < query->pool->count; i++) {
        total += expected_calls(query->options, query->pool->backends[i], now);
    }
    bound = (total * 5 / 4 + query->pool->count - 1) / query->pool->count;
    for (uint8_t i = 0; i < bucket->local_count; i++) {
        KcBackend *backend = query->pool->backends[bucket->local_indexes[i]];

        if (is_usable(query, backend, now) &&
            expected_calls(query->options, backend, now) < bound) {
            set_choice(choice, query, backend);
            return;
        }
    }
    pick_hash(query, now, choice);
}

static const KcRoutePolicy policies[] = {
    {"kcc", pick_kcc},
    {"random", pick_random},
    {"least_loaded", pick_least_loaded},
    {"hash", pick_hash},
    {"bounded_hash", pick_bounded_hash},
};

#define POLICY_COUNT (sizeof(policies) / sizeof(policies[0]))

const KcRoutePolicy *
KcRoute_PolicyAt(size_t index)
{
    return index < POLICY_COUNT ? &policies[index] : NULL;
}

const KcRoutePolicy *
KcRoute_Policy(const char *name)
{
    for (size_t i = 0; i < POLICY_COUNT; i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}
