/*
 * Builds the routing query for a request and runs the routing policy.
 */
#include <string.h>

#include "entry_internal.h"

/* Load reports older than this are ignored. */
#define LOAD_REPORT_AGE_MAX (5 * KC_SECOND)
/*
 * Each rank further from an adapter's home, its preferred backend server,
 * costs the load time divided by this.
 */
#define RANK_COST_DIVISOR 4

static void
fill_route_options(const KcRequest *request, KcRouteOptions *options)
{
    const KcService *service = request->service;

    options->load = service->load_ms * KC_MS;
    options->service = service->service_ms * KC_MS;
    options->batch = (uint32_t)service->batch;
    options->remote = request->entry->options.remote_cost;
    options->knowledge = LOAD_REPORT_AGE_MAX;
    options->stall_weight = service->stall_weight;
    options->batch_weight = service->batch_weight;
    options->spread = options->load / RANK_COST_DIVISOR;
}

/* xorshift64 */
static uint64_t
next_random(KcEntry *entry)
{
    entry->random_state ^= entry->random_state << 13;
    entry->random_state ^= entry->random_state >> 7;
    entry->random_state ^= entry->random_state << 17;
    return entry->random_state;
}

void
KcEntryChoose_Backend(KcRequest *request, KcTime now, KcRouteChoice *choice)
{
    KcEntry *entry = request->entry;
    KcRouteOptions options;
    KcRouteQuery query = {
        .fleet = &entry->fleet,
        .pool = KcFleet_Pool(&entry->fleet, request->service->name),
        .key = request->route_key,
        .needs_adapter = request->service->kind == KC_SERVICE_MODEL,
        .tried = request->tried,
        .tried_count = request->tried_count,
        .random = next_random(entry),
        .options = &options};

    memset(choice, 0, sizeof(*choice));
    if (query.pool == NULL || query.pool->count == 0) {
        return;
    }
    fill_route_options(request, &options);
    query.remote_allowed = KcByteBudget_Allows(&entry->remote_budget, now);
    entry->options.policy->pick(&query, now, choice);
}
