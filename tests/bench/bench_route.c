/*
 * Instructions of one routing decision, to be run under callgrind:
 *
 *   bench-route WORKERS ADAPTERS DECISIONS
 *
 * The decisions are made in bench_decisions(); a run with twice as many shows
 * by the difference what one costs, set-up and first use excluded.
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

static void
forget(void *context, KcBackend *backend)
{
    (void)context;
    (void)backend;
}

static void
fill(KcFleet *fleet, uint32_t workers)
{
    KcInstance *list = KcMem_New(workers * sizeof(*list));

    for (uint32_t i = 0; i < workers; i++) {
        snprintf(list[i].name, KC_NAME_MAX, "worker-%u", i);
        KcText_Copy(list[i].service, "llm", KC_NAME_MAX);
        snprintf(list[i].address, KC_ADDRESS_MAX, "127.0.0.1:%u", i + 1);
    }
    KcFleet_Update(fleet, list, workers, NULL, forget, NULL);
    for (uint32_t i = 0; i < workers; i++) {
        KcText_Copy(KcFleet_FindBackend(fleet, list[i].name)->region,
                    i % 3 == 0 ? "here" : "there", KC_NAME_MAX);
    }
    free(list);
}

static uint64_t
key_of(uint32_t adapter)
{
    KcAdapterRef ref = {.version = 2};

    snprintf(ref.adapter, KC_NAME_MAX, "adapter-%u", adapter);
    return KcRoute_MakeKey(&ref);
}

/* Makes decisions over all adapters in turn, learning as an entry does. */
static uint32_t
bench_decisions(KcFleet *fleet, const uint64_t *keys, uint32_t adapters,
                uint32_t decisions)
{
    const KcRoutePolicy *policy = KcRoute_FindPolicy("kcc");
    uint32_t remote = 0;

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
        remote += choice.remote;
    }
    return remote;
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
    uint32_t remote;

    for (uint32_t i = 0; i < adapters; i++) {
        keys[i] = key_of(i);
    }
    KcFleet_Init(&fleet, 16384);
    KcText_Copy(fleet.entry_region, "here", KC_NAME_MAX);
    fill(&fleet, workers);
    /* First use fills every bucket. */
    bench_decisions(&fleet, keys, adapters, 2 * adapters + 20000);
    remote = bench_decisions(&fleet, keys, adapters, decisions);
    printf("remote %u\n", remote);
    KcFleet_Clear(&fleet);
    free(keys);
    return 0;
}
