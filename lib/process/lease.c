/*
 * A lease object with a fencing number.
 *
 * The fencing number grows by one with every change of holder.  Whether a
 * lease has lapsed is measured by how long its object has not changed, on
 * the monotonic clock of whoever wants it, so wall clocks decide nothing.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_process.h"

/* A process that did not run for this long must confirm its lease. */
#define PROCESS_PAUSE_MAX (2 * KC_SECOND)
/* How often a running process is noted to be awake. */
#define AWAKE_CHECK_INTERVAL (500 * KC_MS)

struct KcLease {
    KcLeaseOptions options;
    char name[KC_OBJECT_NAME_MAX];
    char token[KC_REQUEST_ID_TEXT];
    uint64_t fence;                /* 0 while not held */
    uint64_t version;              /* of the object as last seen */
    KcTime held_until;             /* counted from when the renewal was sent */
    KcTime write_sent_at;          /* the outstanding write was sent then */
    uint64_t write_fence;          /* and with this number */
    uint64_t other_holder_version; /* another's lease, seen unchanged since */
    KcTime other_holder_seen_at;
    KcTime last_awake_at;      /* last time this process was seen running */
    bool held_before;          /* by this process */
    bool paused_since_renewal; /* paused since the last confirmed renewal */
    bool call_pending;         /* a call is outstanding */
    bool freed;
    bool leaving;
    uint64_t generation; /* to be confirmed */
    int64_t confirmed_us;
    uint64_t written_generation;
    bool written_leaving;
    uint64_t jitter_state;
    KcTimer timer; /* next call */
    KcTimer awake_timer;
};

static void read_lease(KcLease *lease);
static void schedule_write(KcLease *lease, KcTime within, KcTime now);

static uint64_t
next_random(KcLease *lease)
{
    /* xorshift: only jitter depends on it. */
    lease->jitter_state ^= lease->jitter_state << 13;
    lease->jitter_state ^= lease->jitter_state >> 7;
    lease->jitter_state ^= lease->jitter_state << 17;
    return lease->jitter_state;
}

static KcTime
add_jitter(KcLease *lease, KcTime delay)
{
    return delay - (KcTime)(next_random(lease) % (uint64_t)(delay / 4 + 1));
}

static void
schedule_call(KcLease *lease, KcTime delay, KcTime now)
{
    KcTimers_Set(lease->options.timers, &lease->timer, now + delay);
}

static void
set_fence(KcLease *lease, uint64_t fence, KcTime now)
{
    KcEventInfo info = {.generation = lease->generation,
                        .detail = (int64_t)fence,
                        .subject = lease->options.name};

    if (lease->fence == fence) {
        return;
    }
    lease->fence = fence;
    lease->held_before = true;
    KcEvents_Add(lease->options.events, KC_EVENT_LEASE, now, &info);
    lease->options.changed(lease->options.context, fence, now);
}

/* Notes that the process runs now, and whether it was paused. */
static void
record_awake(KcLease *lease, KcTime now)
{
    if (now - lease->last_awake_at > PROCESS_PAUSE_MAX) {
        lease->paused_since_renewal = true;
    }
    lease->last_awake_at = now;
}

static void
on_awake_timer(KcTimer *timer, KcTime now)
{
    KcLease *lease = timer->owner;

    record_awake(lease, now);
    KcTimers_Set(lease->options.timers, timer, now + AWAKE_CHECK_INTERVAL);
}

static bool
finish_call(KcLease *lease)
{
    lease->call_pending = false;
    if (lease->freed) {
        free(lease);
        return false;
    }
    return true;
}

static void
on_lease_written(void *context, const KcObjectReply *reply)
{
    KcLease *lease = context;
    KcTime now;

    if (!finish_call(lease)) {
        return;
    }
    now = lease->options.clock(lease->options.clock_context);
    record_awake(lease, now);
    if (reply->code == 0) {
        lease->version = reply->version;
        lease->held_until = lease->write_sent_at + lease->options.ttl;
        lease->paused_since_renewal = false;
        set_fence(lease, lease->write_fence, now);
        schedule_call(lease, add_jitter(lease, lease->options.renew), now);
        if (lease->generation != lease->written_generation ||
            lease->leaving != lease->written_leaving) {
            schedule_write(lease, lease->options.confirm_spread, now);
        }
    }
    else if (reply->code == KC_ERR_CONFLICT) {
        read_lease(lease);
    }
    else {
        schedule_call(lease, add_jitter(lease, lease->options.renew / 4), now);
    }
}

static void
write_lease(KcLease *lease, uint64_t fence, uint64_t expected, KcTime now)
{
    const KcLeaseOptions *options = &lease->options;
    KcLeaseValue value = {.fence = fence,
                          .generation = lease->generation,
                          .confirmed_us = lease->confirmed_us,
                          .renewed_us = now + options->wall_offset,
                          .ttl_us = options->ttl,
                          .leaving = lease->leaving};
    char text[768];
    KcBytes bytes = {text, 0};

    KcName_Copy(value.holder, options->holder, sizeof(value.holder));
    KcName_Copy(value.token, lease->token, sizeof(value.token));
    KcName_Copy(value.role, options->role, sizeof(value.role));
    KcName_Copy(value.datacentre, options->datacentre,
                sizeof(value.datacentre));
    KcName_Copy(value.admin, options->admin, sizeof(value.admin));
    bytes.size = KcLeaseValue_Encode(&value, text, sizeof(text));
    assert(bytes.size > 0);
    lease->write_sent_at = now;
    lease->write_fence = fence;
    lease->written_generation = lease->generation;
    lease->written_leaving = lease->leaving;
    lease->call_pending = true;
    options->object_ops->put(options->objects, lease->name, bytes, expected,
                             on_lease_written, lease);
}

/* Another process holds the lease: wait until it has lapsed. */
static void
wait_for_other_holder(KcLease *lease, const KcLeaseValue *value, KcTime now)
{
    KcTime lapse_time = value->ttl_us + lease->options.margin;

    set_fence(lease, 0, now);
    /*
     * A process that starts: an earlier one of this very instance is gone,
     * since the address it listened on is ours.  Should it be frozen on
     * another machine instead, its orders carry the older number; and having
     * held the lease, it waits like any other when it thaws.
     */
    if (!lease->held_before &&
        strcmp(value->holder, lease->options.holder) == 0) {
        write_lease(lease, value->fence + 1, lease->version, now);
        return;
    }
    if (lease->other_holder_version != lease->version) {
        lease->other_holder_version = lease->version;
        lease->other_holder_seen_at = now;
    }
    if (now - lease->other_holder_seen_at >= lapse_time) {
        write_lease(lease, value->fence + 1, lease->version, now);
        return;
    }
    schedule_call(lease, add_jitter(lease, lease->options.renew / 2), now);
}

static void
on_lease_read(void *context, const KcObjectReply *reply)
{
    KcLease *lease = context;
    KcTime now;
    KcLeaseValue value;

    if (!finish_call(lease)) {
        return;
    }
    now = lease->options.clock(lease->options.clock_context);
    record_awake(lease, now);
    if (reply->code == KC_ERR_NOT_FOUND) {
        write_lease(lease, lease->fence + 1, KC_OBJECT_ABSENT, now);
        return;
    }
    if (reply->code != 0 || KcLeaseValue_Decode(reply->value, &value) != 0) {
        schedule_call(lease, add_jitter(lease, lease->options.renew / 4), now);
        return;
    }
    lease->version = reply->version;
    if (strcmp(value.token, lease->token) == 0) {
        write_lease(lease, value.fence, lease->version, now);
    }
    else {
        wait_for_other_holder(lease, &value, now);
    }
}

static void
read_lease(KcLease *lease)
{
    lease->call_pending = true;
    lease->options.object_ops->get(lease->options.objects, lease->name,
                                   on_lease_read, lease);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcLease *lease = timer->owner;

    record_awake(lease, now);
    if (lease->call_pending) {
        return;
    }
    if (lease->fence != 0) {
        write_lease(lease, lease->fence, lease->version, now);
    }
    else {
        read_lease(lease);
    }
}

KcLease *
KcLease_Create(const KcLeaseOptions *options)
{
    KcLease *lease = KcMem_New(sizeof(*lease));

    lease->options = *options;
    lease->jitter_state = options->seed | 1;
    KcRequestId_Format(options->token, lease->token);
    snprintf(lease->name, sizeof(lease->name), "%s%s", KC_OBJECT_LEASES,
             options->name);
    KcTimer_Init(&lease->timer, on_timer, lease);
    KcTimer_Init(&lease->awake_timer, on_awake_timer, lease);
    return lease;
}

void
KcLease_Free(KcLease *lease)
{
    KcTimers_Clear(lease->options.timers, &lease->timer);
    KcTimers_Clear(lease->options.timers, &lease->awake_timer);
    lease->freed = true;
    if (!lease->call_pending) {
        free(lease);
    }
}

void
KcLease_Start(KcLease *lease, KcTime now)
{
    lease->last_awake_at = now;
    KcTimers_Set(lease->options.timers, &lease->awake_timer,
                 now + AWAKE_CHECK_INTERVAL);
    read_lease(lease);
}

/* Moves the next write forward, within the given time. */
static void
schedule_write(KcLease *lease, KcTime within, KcTime now)
{
    KcTime delay = (KcTime)(next_random(lease) % (uint64_t)(within + 1));

    if (lease->fence == 0 || lease->call_pending) {
        return; /* the outstanding call is followed by another */
    }
    if (!lease->timer.set || lease->timer.due > now + delay) {
        schedule_call(lease, delay, now);
    }
}

void
KcLease_Confirm(KcLease *lease, uint64_t generation, KcTime now)
{
    lease->generation = generation;
    lease->confirmed_us = now + lease->options.wall_offset;
    schedule_write(lease, lease->options.confirm_spread, now);
}

void
KcLease_Leave(KcLease *lease, KcTime now)
{
    lease->leaving = true;
    schedule_write(lease, 0, now);
}

uint64_t
KcLease_Fence(const KcLease *lease)
{
    return lease->fence;
}

bool
KcLease_MayOrder(const KcLease *lease, KcTime now)
{
    if (lease->fence == 0) {
        return false;
    }
    if (now < lease->held_until - lease->options.margin) {
        return true;
    }
    return !lease->paused_since_renewal &&
           now - lease->last_awake_at <= PROCESS_PAUSE_MAX;
}
