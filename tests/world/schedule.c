/*
 * Virtual time: runs the scheduled events and the timers of every process.
 */
#include <stdlib.h>

#include "world_internal.h"

static bool
is_before(const WorldEvent *a, const WorldEvent *b)
{
    return a->due_at != b->due_at ? a->due_at < b->due_at
                                  : a->sequence < b->sequence;
}

static void
swap_events(WorldEvent *a, WorldEvent *b)
{
    WorldEvent saved = *a;

    *a = *b;
    *b = saved;
}

void
WorldSchedule_Add(World *world, KcTime due_at, WorldNode *node,
                  void (*on_due)(void *context),
                  void (*on_drop)(void *context), void *context)
{
    size_t i = world->event_count++;

    if (world->event_count > world->event_capacity) {
        world->event_capacity = world->event_capacity * 2 + 64;
        world->event_heap =
            KcMem_Realloc(world->event_heap, world->event_capacity *
                                                 sizeof(world->event_heap[0]));
    }
    world->event_heap[i] =
        (WorldEvent){.due_at = due_at > world->now ? due_at : world->now,
                     .sequence = world->next_event_sequence++,
                     .node = node,
                     .incarnation = node != NULL ? node->incarnation : 0,
                     .on_due = on_due,
                     .on_drop = on_drop,
                     .context = context};
    while (i > 0 &&
           is_before(&world->event_heap[i], &world->event_heap[(i - 1) / 2])) {
        swap_events(&world->event_heap[i], &world->event_heap[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
}

static WorldEvent
pop_event(World *world)
{
    WorldEvent top = world->event_heap[0];
    size_t i = 0;

    world->event_heap[0] = world->event_heap[--world->event_count];
    for (;;) {
        size_t child = 2 * i + 1;

        if (child >= world->event_count) {
            return top;
        }
        if (child + 1 < world->event_count &&
            is_before(&world->event_heap[child + 1],
                      &world->event_heap[child])) {
            child++;
        }
        if (!is_before(&world->event_heap[child], &world->event_heap[i])) {
            return top;
        }
        swap_events(&world->event_heap[child], &world->event_heap[i]);
        i = child;
    }
}

static void
discard_event(const WorldEvent *event)
{
    if (event->on_drop != NULL) {
        event->on_drop(event->context);
    }
}

/* Runs an event that is due, queues it while its process is paused, or
 * discards it if the process has ended or restarted. */
static void
dispatch_event(const WorldEvent *event)
{
    WorldNode *node = event->node;
    WorldBacklogEvent *backlog;

    if (node == NULL) {
        event->on_due(event->context);
        return;
    }
    if (!node->alive || node->incarnation != event->incarnation) {
        discard_event(event);
        return;
    }
    if (node->paused) {
        backlog = KcMem_New(sizeof(*backlog));
        backlog->event = *event;
        TAILQ_INSERT_TAIL(&node->backlog, backlog, link);
        return;
    }
    event->on_due(event->context);
}

/* The time of the next event or timer, or KC_NEVER. */
static KcTime
find_next_time(const World *world)
{
    KcTime next =
        world->event_count > 0 ? world->event_heap[0].due_at : KC_NEVER;

    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *node = &world->nodes[i];
        KcTime due;

        if (!node->alive || node->paused) {
            continue;
        }
        due = KcTimers_NextDue(node->timers);
        if (due < next) {
            next = due;
        }
    }
    return next;
}

/* Ends a process whose planned stop is complete. */
static void
end_if_drained(WorldNode *node)
{
    bool drained;

    if (!node->alive || node->paused || !node->leaving) {
        return;
    }
    drained = node->entry != NULL ? KcEntry_IsDrained(node->entry)
                                  : KcAgent_IsDrained(node->agent);
    if (drained) {
        World_Kill(node);
    }
}

static void
run_timers(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        WorldNode *node = &world->nodes[i];

        if (node->alive && !node->paused) {
            KcTimers_Run(node->timers, world->now);
            end_if_drained(node);
        }
    }
}

void
World_Advance(World *world, KcTime duration)
{
    KcTime until = world->now + duration;

    for (;;) {
        KcTime next = find_next_time(world);

        if (next > until) {
            break;
        }
        if (next > world->now) {
            world->now = next;
        }
        run_timers(world);
        while (world->event_count > 0 &&
               world->event_heap[0].due_at <= world->now) {
            WorldEvent event = pop_event(world);

            dispatch_event(&event);
        }
    }
    world->now = until;
}

void
World_Resume(WorldNode *node)
{
    WorldBacklogEvent *backlog;

    if (!node->paused) {
        return;
    }
    node->paused = false;
    while ((backlog = TAILQ_FIRST(&node->backlog)) != NULL) {
        TAILQ_REMOVE(&node->backlog, backlog, link);
        dispatch_event(&backlog->event);
        free(backlog);
    }
}

void
WorldSchedule_DropBacklog(WorldNode *node)
{
    WorldBacklogEvent *backlog;

    while ((backlog = TAILQ_FIRST(&node->backlog)) != NULL) {
        TAILQ_REMOVE(&node->backlog, backlog, link);
        discard_event(&backlog->event);
        free(backlog);
    }
}

void
WorldSchedule_Clear(World *world)
{
    for (size_t i = 0; i < world->event_count; i++) {
        discard_event(&world->event_heap[i]);
    }
    free(world->event_heap);
}
