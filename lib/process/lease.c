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
#define PAUSE_MAX (2 * KC_SECOND)
/* How often a running process is noted to be awake. */
#define AWAKE_INTERVAL (500 * KC_MS)

struct KcLease {
    KcLeaseOptions options;
    char name[KC_OBJECT_NAME_MAX];
    char token[KC_REQUEST_ID_TEXT_SIZE];
    uint64_t fence;         /* 0 while not held */
    uint64_t version;       /* of the object as last seen */
    KcTime held_until;      /* counted from when the renewal was sent */
    KcTime sent_at;         /* the outstanding write was sent then */
    uint64_t sent_fence;    /* and with this number */
    uint64_t other_version; /* another's lease, seen unchanged since */
    KcTime other_since;
    KcTime awake_at;  /* last time this process was seen running */
    bool held_before; /* by this process */
    bool doubtful;    /* paused since the last confirmed renewal */
    bool calling;     /* a call is outstanding */
    bool freed;
    bool leaving;
    uint64_t generation; /* to be confirmed */
    int64_t confirmed_at_us;
    uint64_t written_generation;
    bool written_leaving;
    uint64_t random;
    KcTimer timer; /* next call */
    KcTimer awake_timer;
};

static void read_lease(KcLease *lease);
static void write_soon(KcLease *lease, KcTime within, KcTime now);

static uint64_t
draw(KcLease *lease)
{
    /* xorshift: only jitter depends on it. */
    lease->random ^= lease->random << 13;
    lease->random ^= lease->random >> 7;
    lease->random ^= lease->random << 17;
    return lease->random;
}

static KcTime
jittered(KcLease *lease, KcTime delay)
{
    return delay - (KcTime)(draw(lease) % (uint64_t)(delay / 4 + 1));
}

static void
call_later(KcLease *lease, KcTime delay, KcTime now)
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
    lease->options.on_changed(lease->options.context, fence, now);
}

/* Notes that the process runs now, and whether it was paused. */
static void
note_awake(KcLease *lease, KcTime now)
{
    if (now - lease->awake_at > PAUSE_MAX) {
        lease->doubtful = true;
    }
    lease->awake_at = now;
}

static void
on_awake(KcTimer *timer, KcTime now)
{
    KcLease *lease = timer->owner;

    note_awake(lease, now);
    KcTimers_Set(lease->options.timers, timer, now + AWAKE_INTERVAL);
}

static bool
end_call(KcLease *lease)
{
    lease->calling = false;
    if (lease->freed) {
        free(lease);
        return false;
    }
    return true;
}

static void
on_written(void *context, const KcObjectReply *reply)
{
    KcLease *lease = context;
    KcTime now;

    if (!end_call(lease)) {
        return;
    }
    now = lease->options.clock(lease->options.clock_context);
    note_awake(lease, now);
    if (reply->code == 0) {
        lease->version = reply->version;
        lease->held_until = lease->sent_at + lease->options.ttl;
        lease->doubtful = false;
        set_fence(lease, lease->sent_fence, now);
        call_later(lease, jittered(lease, lease->options.renew_interval), now);
        if (lease->generation != lease->written_generation ||
            lease->leaving != lease->written_leaving) {
            write_soon(lease, lease->options.confirm_delay_max, now);
        }
    }
    else if (reply->code == KC_ERR_CONFLICT) {
        read_lease(lease);
    }
    else {
        call_later(lease, jittered(lease, lease->options.renew_interval / 4),
                   now);
    }
}

static void
write_lease(KcLease *lease, uint64_t fence, uint64_t expected, KcTime now)
{
    const KcLeaseOptions *options = &lease->options;
    KcLeaseValue value = {.fence = fence,
                          .generation = lease->generation,
                          .confirmed_at_us = lease->confirmed_at_us,
                          .renewed_at_us = now + options->wall_offset,
                          .ttl_us = options->ttl,
                          .leaving = lease->leaving};
    char text[768];
    KcBytes bytes = {text, 0};

    KcText_Copy(value.holder, options->holder, sizeof(value.holder));
    KcText_Copy(value.process_token, lease->token,
                sizeof(value.process_token));
    KcText_Copy(value.role, options->role, sizeof(value.role));
    KcText_Copy(value.datacentre, options->datacentre,
                sizeof(value.datacentre));
    KcText_Copy(value.admin_address, options->admin_address,
                sizeof(value.admin_address));
    bytes.size = KcLeaseValue_Encode(&value, text, sizeof(text));
    assert(bytes.size > 0);
    lease->sent_at = now;
    lease->sent_fence = fence;
    lease->written_generation = lease->generation;
    lease->written_leaving = lease->leaving;
    lease->calling = true;
    options->object_ops->put(options->objects, lease->name, bytes, expected,
                             on_written, lease);
}

/* Another process holds the lease: wait until it has lapsed. */
static void
await_other(KcLease *lease, const KcLeaseValue *value, KcTime now)
{
    KcTime lapse = value->ttl_us + lease->options.expiry_margin;

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
    if (lease->other_version != lease->version) {
        lease->other_version = lease->version;
        lease->other_since = now;
    }
    if (now - lease->other_since >= lapse) {
        write_lease(lease, value->fence + 1, lease->version, now);
        return;
    }
    call_later(lease, jittered(lease, lease->options.renew_interval / 2), now);
}

static void
on_read(void *context, const KcObjectReply *reply)
{
    KcLease *lease = context;
    KcTime now;
    KcLeaseValue value;

    if (!end_call(lease)) {
        return;
    }
    now = lease->options.clock(lease->options.clock_context);
    note_awake(lease, now);
    if (reply->code == KC_ERR_NOT_FOUND) {
        write_lease(lease, lease->fence + 1, KC_OBJECT_ABSENT, now);
        return;
    }
    if (reply->code != 0 || KcLeaseValue_Decode(reply->value, &value) != 0) {
        call_later(lease, jittered(lease, lease->options.renew_interval / 4),
                   now);
        return;
    }
    lease->version = reply->version;
    if (strcmp(value.process_token, lease->token) == 0) {
        write_lease(lease, value.fence, lease->version, now);
    }
    else {
        await_other(lease, &value, now);
    }
}

static void
read_lease(KcLease *lease)
{
    lease->calling = true;
    lease->options.object_ops->get(lease->options.objects, lease->name,
                                   on_read, lease);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    KcLease *lease = timer->owner;

    note_awake(lease, now);
    if (lease->calling) {
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
    lease->random = options->jitter_seed | 1;
    KcRequestId_Format(options->process_token, lease->token);
    snprintf(lease->name, sizeof(lease->name), "%s%s", KC_OBJECT_LEASES,
             options->name);
    KcTimer_Init(&lease->timer, on_timer, lease);
    KcTimer_Init(&lease->awake_timer, on_awake, lease);
    return lease;
}

void
KcLease_Free(KcLease *lease)
{
    KcTimers_Clear(lease->options.timers, &lease->timer);
    KcTimers_Clear(lease->options.timers, &lease->awake_timer);
    lease->freed = true;
    if (!lease->calling) {
        free(lease);
    }
}

void
KcLease_Start(KcLease *lease, KcTime now)
{
    lease->awake_at = now;
    KcTimers_Set(lease->options.timers, &lease->awake_timer,
                 now + AWAKE_INTERVAL);
    read_lease(lease);
}

/* Moves the next write forward, within the given time. */
static void
write_soon(KcLease *lease, KcTime within, KcTime now)
{
    KcTime delay = (KcTime)(draw(lease) % (uint64_t)(within + 1));

    if (lease->fence == 0 || lease->calling) {
        return; /* the outstanding call is followed by another */
    }
    if (!lease->timer.is_set || lease->timer.due_at > now + delay) {
        call_later(lease, delay, now);
    }
}

void
KcLease_ConfirmGeneration(KcLease *lease, uint64_t generation, KcTime now)
{
    lease->generation = generation;
    lease->confirmed_at_us = now + lease->options.wall_offset;
    write_soon(lease, lease->options.confirm_delay_max, now);
}

void
KcLease_AnnounceLeaving(KcLease *lease, KcTime now)
{
    lease->leaving = true;
    write_soon(lease, 0, now);
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
    if (now < lease->held_until - lease->options.expiry_margin) {
        return true;
    }
    return !lease->doubtful && now - lease->awake_at <= PAUSE_MAX;
}
