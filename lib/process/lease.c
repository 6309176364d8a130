/*
 * A lease with a fencing number, stored in one object of the object API.
 *
 * The fencing number grows by one with every change of holder.  Whether a
 * lease has lapsed is measured by how long its object has not changed, on
 * the monotonic clock of the process that would take it, so differences
 * between wall clocks do not matter.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_process.h"

/* A process that was paused for longer must renew its lease before it gives
 * orders after the lease's end. */
#define PROCESS_PAUSE_MAX (2 * KC_SECOND)
/* Interval at which the process records that it is running. */
#define AWAKE_CHECK_INTERVAL (500 * KC_MS)

struct KcLease {
    KcLeaseOptions options;
    char object_name[KC_OBJECT_NAME_MAX];
    char process_token[KC_REQUEST_ID_TEXT_SIZE]; /* random per process start */
    uint64_t fence;                              /* 0 while not held */
    uint64_t object_version; /* of the lease object as last seen */
    KcTime held_until;       /* when the last renewal was sent, plus ttl */
    KcTime write_sent_at;    /* of the outstanding write */
    uint64_t write_fence;    /* fence in the outstanding write */
    uint64_t other_holder_version; /* object_version under another holder */
    KcTime other_holder_seen_at;   /* first time that version was seen */
    KcTime last_awake_at;          /* last time this process was running */
    bool held_before;              /* this process has held the lease */
    bool paused_since_renewal;     /* longer than PROCESS_PAUSE_MAX */
    bool paused_since_write;       /* the same since write_sent_at */
    bool call_pending;             /* a read or write is outstanding */
    bool freed;                    /* memory is freed when that call ends */
    bool leaving;
    uint64_t generation;     /* of the document in force, for the next write */
    int64_t confirmed_at_us; /* when it came into force, us since 1970 */
    uint64_t written_generation; /* generation in the last write */
    bool written_leaving;        /* leaving in the last write */
    uint64_t jitter_state;
    KcTimer call_timer;  /* next read or write */
    KcTimer awake_timer; /* every AWAKE_CHECK_INTERVAL */
};

static void read_lease(KcLease *lease);
static void schedule_write(KcLease *lease, KcTime delay_max, KcTime now);

static uint64_t
next_random(KcLease *lease)
{
    /* xorshift suffices for jitter. */
    lease->jitter_state ^= lease->jitter_state << 13;
    lease->jitter_state ^= lease->jitter_state >> 7;
    lease->jitter_state ^= lease->jitter_state << 17;
    return lease->jitter_state;
}

/* Shortens a delay at random by up to a quarter. */
static KcTime
shorten_randomly(KcLease *lease, KcTime delay)
{
    return delay - (KcTime)(next_random(lease) % (uint64_t)(delay / 4 + 1));
}

static void
schedule_call(KcLease *lease, KcTime delay, KcTime now)
{
    KcTimers_Set(lease->options.timers, &lease->call_timer, now + delay);
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

/* Records that the process is running now, and whether it was paused. */
static void
record_awake(KcLease *lease, KcTime now)
{
    if (now - lease->last_awake_at > PROCESS_PAUSE_MAX) {
        lease->paused_since_renewal = true;
        lease->paused_since_write = true;
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

/* Ends the outstanding call.  False: the lease was freed meanwhile. */
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
        lease->object_version = reply->version;
        lease->held_until = lease->write_sent_at + lease->options.ttl;
        /* Says nothing of the time after it was sent. */
        lease->paused_since_renewal = lease->paused_since_write;
        set_fence(lease, lease->write_fence, now);
        schedule_call(
            lease,
            lease->paused_since_write
                ? 0
                : shorten_randomly(lease, lease->options.renew_interval),
            now);
        if (lease->generation != lease->written_generation ||
            lease->leaving != lease->written_leaving) {
            schedule_write(lease, lease->options.confirm_delay_max, now);
        }
    }
    else if (reply->code == KC_ERR_CONFLICT) {
        read_lease(lease);
    }
    else {
        schedule_call(
            lease, shorten_randomly(lease, lease->options.renew_interval / 4),
            now);
    }
}

static void
write_lease(KcLease *lease, uint64_t fence, uint64_t expected_version,
            KcTime now)
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
    KcText_Copy(value.process_token, lease->process_token,
                sizeof(value.process_token));
    KcText_Copy(value.role, options->role, sizeof(value.role));
    KcText_Copy(value.datacentre, options->datacentre,
                sizeof(value.datacentre));
    KcText_Copy(value.admin_address, options->admin_address,
                sizeof(value.admin_address));
    bytes.size = KcLeaseValue_Encode(&value, text, sizeof(text));
    assert(bytes.size > 0);
    lease->write_sent_at = now;
    lease->paused_since_write = false;
    lease->write_fence = fence;
    lease->written_generation = lease->generation;
    lease->written_leaving = lease->leaving;
    lease->call_pending = true;
    options->object_ops->put(options->objects, lease->object_name, bytes,
                             expected_version, on_lease_written, lease);
}

/* Handles a lease that another process holds: takes it over once it has
 * lapsed, else reads it again later. */
static void
wait_for_other_holder(KcLease *lease, const KcLeaseValue *value, KcTime now)
{
    KcTime lapse_timeout = value->ttl_us + lease->options.expiry_margin;

    set_fence(lease, 0, now);
    /*
     * This process has just started and the holder is an earlier process of
     * the same instance.  That one has ended, since this one listens on its
     * address.  If it is only paused on another machine, its orders carry the
     * lower fencing number; and when it resumes it waits for the lease to
     * lapse, as it has held it before.
     */
    if (!lease->held_before &&
        strcmp(value->holder, lease->options.holder) == 0) {
        write_lease(lease, value->fence + 1, lease->object_version, now);
        return;
    }
    if (lease->other_holder_version != lease->object_version) {
        lease->other_holder_version = lease->object_version;
        lease->other_holder_seen_at = now;
    }
    if (now - lease->other_holder_seen_at >= lapse_timeout) {
        write_lease(lease, value->fence + 1, lease->object_version, now);
        return;
    }
    schedule_call(lease,
                  shorten_randomly(lease, lease->options.renew_interval / 2),
                  now);
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
        schedule_call(
            lease, shorten_randomly(lease, lease->options.renew_interval / 4),
            now);
        return;
    }
    lease->object_version = reply->version;
    if (strcmp(value.process_token, lease->process_token) == 0) {
        write_lease(lease, value.fence, lease->object_version, now);
    }
    else {
        wait_for_other_holder(lease, &value, now);
    }
}

static void
read_lease(KcLease *lease)
{
    lease->call_pending = true;
    lease->options.object_ops->get(lease->options.objects, lease->object_name,
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
        write_lease(lease, lease->fence, lease->object_version, now);
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
    lease->jitter_state = options->jitter_seed | 1;
    KcRequestId_Format(options->process_token, lease->process_token);
    snprintf(lease->object_name, sizeof(lease->object_name), "%s%s",
             KC_OBJECT_LEASES, options->name);
    KcTimer_Init(&lease->call_timer, on_timer, lease);
    KcTimer_Init(&lease->awake_timer, on_awake_timer, lease);
    return lease;
}

void
KcLease_Free(KcLease *lease)
{
    KcTimers_Clear(lease->options.timers, &lease->call_timer);
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

/* Moves the next write to a random time within the given delay, unless it is
 * due earlier. */
static void
schedule_write(KcLease *lease, KcTime delay_max, KcTime now)
{
    KcTime delay = (KcTime)(next_random(lease) % (uint64_t)(delay_max + 1));

    if (lease->fence == 0 || lease->call_pending) {
        return; /* the end of the outstanding call schedules a write */
    }
    if (!lease->call_timer.is_set || lease->call_timer.due_at > now + delay) {
        schedule_call(lease, delay, now);
    }
}

void
KcLease_ConfirmGeneration(KcLease *lease, uint64_t generation, KcTime now)
{
    lease->generation = generation;
    lease->confirmed_at_us = now + lease->options.wall_offset;
    schedule_write(lease, lease->options.confirm_delay_max, now);
}

void
KcLease_AnnounceLeaving(KcLease *lease, KcTime now)
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
    if (now < lease->held_until - lease->options.expiry_margin) {
        return true;
    }
    return !lease->paused_since_renewal &&
           now - lease->last_awake_at <= PROCESS_PAUSE_MAX;
}
