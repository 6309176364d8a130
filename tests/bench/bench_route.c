/*
 * Makes routing decisions under callgrind, to count instructions per decision.
 *
 *   bench-route [WORKERS [ADAPTERS [DECISIONS]]]
 *
 * The difference between two runs with different DECISIONS leaves out set-up
 * and the first choice in each bucket of adapters; see route.sh.
 */
#include <stdio.h>
#include <stdlib.h>

#include <kcc.h>

static const KcRouteOptions options = {.load_time = 250 * KC_MS,
                                       .service_time = 1000 * KC_MS,
                                       .concurrency_max = 8,
                                       .remote_cost = 60 * KC_MS,
                                       .load_report_age_max = 5 * KC_SECOND,
                                       .stall_weight = 50,
                                       .batch_weight = 50,
                                       .rank_cost = 60 * KC_MS};

/* Called for each removed backend server; they have no connection here. */
static void
on_backend_removed(void *context, KcBackend *backend)
{
    (void)context;
    (void)backend;
}

/* Adds workers, a third of them in the region of the entry. */
static void
add_workers(KcFleet *fleet, uint32_t workers)
{
    KcInstance *instances = KcMem_New(workers * sizeof(*instances));

    for (uint32_t i = 0; i < workers; i++) {
        snprintf(instances[i].name, KC_NAME_MAX, "worker-%u", i);
        KcText_Copy(instances[i].service, "llm", KC_NAME_MAX);
        snprintf(instances[i].address, KC_ADDRESS_MAX, "127.0.0.1:%u", i + 1);
    }
    KcFleet_Update(fleet, instances, workers, NULL, on_backend_removed, NULL);
    for (uint32_t i = 0; i < workers; i++) {
        KcText_Copy(KcFleet_FindBackend(fleet, instances[i].name)->region,
                    i % 3 == 0 ? "here" : "there", KC_NAME_MAX);
    }
    free(instances);
}

static uint64_t
make_adapter_key(uint32_t adapter)
{
    KcAdapterRef ref = {.version = 2};

    snprintf(ref.adapter, KC_NAME_MAX, "adapter-%u", adapter);
    return KcRoute_MakeKey(&ref);
}

/* Chooses for all adapters in turn and records the chosen worker as a holder,
 * as an entry does.  Returns the number of choices in another region. */
static uint32_t
make_decisions(KcFleet *fleet, const uint64_t *keys, uint32_t adapters,
               uint32_t decisions)
{
    const KcRoutePolicy *policy = KcRoute_FindPolicy("kcc");
    uint32_t remote_count = 0;

    if (adapters == 0) {
        return 0;
    }
    for (uint32_t i = 0; i < decisions; i++) {
        KcRouteChoice choice = {0};
        KcRouteQuery query = {.fleet = fleet,
                              .pool = KcFleet_FindPool(fleet, "llm"),
                              .key = keys[(uint64_t)i * 7919 % adapters],
                              .needs_adapter = true,
                              .remote_allowed = true,
                              .options = &options};

        policy->pick(&query, (KcTime)i, &choice);
        KcFleet_RecordHolder(fleet, query.key, choice.backend, true,
                             (KcTime)i);
        remote_count += choice.remote;
    }
    return remote_count;
}

int
main(int argc, char **argv)
{
    uint32_t workers = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 600;
    uint32_t adapters = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1000;
    uint32_t decisions =
        argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 100000;
    uint64_t *keys = KcMem_New(adapters * sizeof(*keys));
    KcFleet fleet;
    uint32_t remote_count;

    for (uint32_t i = 0; i < adapters; i++) {
        keys[i] = make_adapter_key(i);
    }
    KcFleet_Init(&fleet, 16384);
    KcText_Copy(fleet.entry_region, "here", KC_NAME_MAX);
    add_workers(&fleet, workers);
    /* The first choice in each bucket of adapters costs more. */
    make_decisions(&fleet, keys, adapters, 2 * adapters + 20000);
    remote_count = make_decisions(&fleet, keys, adapters, decisions);
    printf("remote %u\n", remote_count);
    KcFleet_Clear(&fleet);
    free(keys);
    return 0;
}
