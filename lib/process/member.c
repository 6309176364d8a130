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
    options->lease_renew = 5 * KC_SECOND;
    options->confirm_spread = 4 * KC_SECOND;
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
                          .on_adopt = ops->adopt,
                          .find_peer = ops->peer,
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
                            .admin =
                                options->admin != NULL ? options->admin : "",
                            .token = &token,
                            .ttl = options->lease_ttl,
                            .margin = options->lease_expiry_margin,
                            .renew = options->lease_renew,
                            .confirm_spread = options->confirm_spread,
                            .wall_offset = options->wall_offset,
                            .seed = options->incarnation,
                            .clock = options->clock,
                            .clock_context = options->clock_context,
                            .changed = ops->lease_changed,
                            .context = context};

    return KcLease_Create(&lease);
}
