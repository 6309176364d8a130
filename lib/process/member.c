/*
 * What entries and agents have in common: default options, and the creation
 * of their lease and document watch.
 */
#include <string.h>

#include "kcc_process.h"

void
KcMemberOptions_Init(KcMemberOptions *options)
{
    memset(options, 0, sizeof(*options));
    options->lease_ttl = 15 * KC_SECOND;
    options->lease_expiry_margin = 3 * KC_SECOND;
    options->lease_renew_interval = 5 * KC_SECOND;
    options->confirm_delay_max = 4 * KC_SECOND;
    options->sync_retry_delay = 500 * KC_MS;
}

KcTime
KcMember_Now(const KcMemberOptions *options)
{
    return options->clock(options->clock_context);
}

KcSync *
KcMember_CreateSync(const KcMemberOptions *options, const KcMemberOps *ops,
                    void *context)
{
    KcSyncOptions sync = {.object_ops = options->object_ops,
                          .objects = options->objects,
                          .timers = options->timers,
                          .events = options->events,
                          .counters = options->counters,
                          .retry_delay = options->sync_retry_delay,
                          .clock = options->clock,
                          .clock_context = options->clock_context,
                          .on_adopt = ops->on_adopt,
                          .find_peer = ops->find_peer,
                          .context = context};

    return KcSync_Create(&sync);
}

KcLease *
KcMember_CreateLease(const KcMemberOptions *options, const KcMemberOps *ops,
                     void *context)
{
    KcRequestId token = {options->incarnation, 0};
    KcLeaseOptions lease = {.object_ops = options->object_ops,
                            .objects = options->objects,
                            .timers = options->timers,
                            .events = options->events,
                            .name = options->name,
                            .holder = options->name,
                            .role = ops->role,
                            .datacentre = options->datacentre,
                            .admin_address = options->admin_address != NULL
                                                 ? options->admin_address
                                                 : "",
                            .process_token = &token,
                            .ttl = options->lease_ttl,
                            .expiry_margin = options->lease_expiry_margin,
                            .renew_interval = options->lease_renew_interval,
                            .confirm_delay_max = options->confirm_delay_max,
                            .wall_offset = options->wall_offset,
                            .jitter_seed = options->incarnation,
                            .clock = options->clock,
                            .clock_context = options->clock_context,
                            .on_changed = ops->on_lease_changed,
                            .context = context};

    return KcLease_Create(&lease);
}
