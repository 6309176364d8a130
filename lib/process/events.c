/*
 * The ring buffer of events, and the hybrid logical clock that orders them.
 */
#include <assert.h>
#include <stdlib.h>

#include "kcc_process.h"

struct KcEvents {
    int64_t wall_offset; /* wall clock minus monotonic clock */
    uint64_t clock;      /* the last value of the hybrid logical clock */
    size_t capacity;
    size_t count;
    size_t next_index; /* in ring, of the next event */
    KcEvent ring[];
};

static const char *const event_names[KC_EVENT_MAX] = {
    [KC_EVENT_REQUEST] = "request",
    [KC_EVENT_CLAIM] = "claim",
    [KC_EVENT_PICK] = "pick",
    [KC_EVENT_PROPOSE] = "propose",
    [KC_EVENT_RESUME] = "resume",
    [KC_EVENT_ADMIT] = "admit",
    [KC_EVENT_REFUSE] = "refuse",
    [KC_EVENT_LOAD] = "load",
    [KC_EVENT_LOADED] = "loaded",
    [KC_EVENT_EVICT] = "evict",
    [KC_EVENT_START] = "start",
    [KC_EVENT_FIRST_BYTE] = "first_byte",
    [KC_EVENT_END] = "end",
    [KC_EVENT_FINISH] = "finish",
    [KC_EVENT_LINK_UP] = "link_up",
    [KC_EVENT_LINK_LOST] = "link_lost",
    [KC_EVENT_ADOPT] = "adopt",
    [KC_EVENT_REJECT] = "reject",
    [KC_EVENT_LEASE] = "lease",
    [KC_EVENT_LEAVING] = "leaving",
    [KC_EVENT_RESTARTED] = "engine_restarted",
};

const char *
KcEventType_Name(KcEventType type)
{
    assert(type < KC_EVENT_MAX);
    return event_names[type];
}

KcEvents *
KcEvents_Create(size_t capacity, int64_t wall_offset)
{
    KcEvents *events =
        KcMem_New(sizeof(*events) + capacity * sizeof(events->ring[0]));

    assert(capacity > 0);
    events->wall_offset = wall_offset;
    events->capacity = capacity;
    return events;
}

void
KcEvents_Free(KcEvents *events)
{
    free(events);
}

uint64_t
KcEvents_Clock(KcEvents *events, KcTime now)
{
    uint64_t wall_clock = (uint64_t)(now + events->wall_offset)
                          << KC_CLOCK_SHIFT;

    events->clock =
        wall_clock > events->clock ? wall_clock : events->clock + 1;
    return events->clock;
}

void
KcEvents_Observe(KcEvents *events, uint64_t clock, KcTime now)
{
    (void)now;
    if (clock > events->clock) {
        events->clock = clock;
    }
}

void
KcEvents_Add(KcEvents *events, KcEventType type, KcTime now,
             const KcEventInfo *info)
{
    KcEvent *event = &events->ring[events->next_index];
    static const KcRequestId no_request;

    event->clock = KcEvents_Clock(events, now);
    event->type = type;
    event->request = info->request != NULL ? *info->request : no_request;
    event->generation = info->generation;
    event->detail = info->detail;
    KcName_Copy(event->peer, info->peer != NULL ? info->peer : "",
                sizeof(event->peer));
    KcName_Copy(event->subject, info->subject != NULL ? info->subject : "",
                sizeof(event->subject));
    events->next_index = (events->next_index + 1) % events->capacity;
    if (events->count < events->capacity) {
        events->count++;
    }
}

size_t
KcEvents_Count(const KcEvents *events)
{
    return events->count;
}

const KcEvent *
KcEvents_At(const KcEvents *events, size_t index)
{
    size_t oldest = (events->next_index + events->capacity - events->count) %
                    events->capacity;

    assert(index < events->count);
    return &events->ring[(oldest + index) % events->capacity];
}
