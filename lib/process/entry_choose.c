/*
 * What an entry asks the routing policy for one request.
 */
#include <string.h>

#include "entry_internal.h"

/* A load report counts for nothing after this time. */
#define KNOWLEDGE_MAX (5 * KC_SECOND)
/* Share of a load that each rank away from home costs. */
#define SPREAD_DIVISOR 4

static void
fill_route_options(const KcRequest *request, KcRouteOptions *options)
{
    const KcService *service = request->service;

    options->load_time = service->load_ms * KC_MS;
    options->service_time = service->service_ms * KC_MS;
    options->concurrency_max = (uint32_t)service->concurrency_max;
    options->remote_cost = request->entry->options.remote_cost;
    options->load_report_age_max = KNOWLEDGE_MAX;
    options->stall_weight = service->stall_weight;
    options->batch_weight = service->batch_weight;
    options->rank_cost = options->load_time / SPREAD_DIVISOR;
}

static uint64_t
draw(KcEntry *entry)
{
    entry->random ^= entry->random << 13;
    entry->random ^= entry->random >> 7;
    entry->random ^= entry->random << 17;
    return entry->random;
}

void
KcEntryChoose_Backend(KcRequest *request, KcTime now, KcRouteChoice *choice)
{
    KcEntry *entry = request->entry;
    KcRouteOptions options;
    KcRouteQuery query = {
        .fleet = &entry->fleet,
        .pool = KcFleet_FindPool(&entry->fleet, request->service->name),
        .key = request->route_key,
        .needs_adapter = request->service->kind == KC_SERVICE_MODEL,
        .tried = request->tried_backends,
        .tried_count = request->tried_count,
        .random = draw(entry),
        .options = &options};

    memset(choice, 0, sizeof(*choice));
    if (query.pool == NULL || query.pool->count == 0) {
        return;
    }
    fill_route_options(request, &options);
    query.remote_allowed = KcByteBudget_Allows(&entry->remote, now);
    entry->options.route_policy->pick(&query, now, choice);
}
