/*
 * Virtual time: a heap of events, and the timers of every process.
 */
#include <stdlib.h>

#include "world_internal.h"

static bool
before(const WorldEvent *a, const WorldEvent *b)
{
    return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
swap(WorldEvent *a, WorldEvent *b)
{
    WorldEvent kept = *a;

    *a = *b;
    *b = kept;
}

void
WorldSchedule_Add(World *world, KcTime at, WorldNode *node,
                  void (*run)(void *context), void (*drop)(void *context),
                  void *context)
{
    size_t i = world->heap_count++;

    if (world->heap_count > world->heap_capacity) {
        world->heap_capacity = world->heap_capacity * 2 + 64;
        world->heap = KcMem_Realloc(world->heap, world->heap_capacity *
                                                     sizeof(world->heap[0]));
    }
    world->heap[i] =
        (WorldEvent){.at = at > world->now ? at : world->now,
                     .order = world->event_order++,
                     .node = node,
                     .incarnation = node != NULL ? node->incarnation : 0,
                     .run = run,
                     .drop = drop,
                     .context = context};
    while (i > 0 && before(&world->heap[i], &world->heap[(i - 1) / 2])) {
        swap(&world->heap[i], &world->heap[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
}

static WorldEvent
pop(World *world)
{
    WorldEvent top = world->heap[0];
    size_t i = 0;

    world->heap[0] = world->heap[--world->heap_count];
    for (;;) {
        size_t child = 2 * i + 1;

        if (child >= world->heap_count) {
            return top;
        }
        if (child + 1 < world->heap_count &&
            before(&world->heap[child + 1], &world->heap[child])) {
            child++;
        }
        if (!before(&world->heap[child], &world->heap[i])) {
            return top;
        }
        swap(&world->heap[child], &world->heap[i]);
        i = child;
    }
}

static void
drop_event(const WorldEvent *event)
{
    if (event->drop != NULL) {
        event->drop(event->context);
    }
}

/* Runs an event, keeps it for a frozen process, or drops it. */
static void
dispatch(const WorldEvent *event)
{
    WorldNode *node = event->node;
    WorldBacklog *backlog;

    if (node == NULL) {
        event->run(event->context);
        return;
    }
    if (!node->alive || node->incarnation != event->incarnation) {
        drop_event(event);
        return;
    }
    if (node->paused) {
        backlog = KcMem_New(sizeof(*backlog));
        backlog->event = *event;
        TAILQ_INSERT_TAIL(&node->backlog, backlog, link);
        return;
    }
    event->run(event->context);
}

/* The next time at which anything happens. */
static KcTime
next_time(const World *world)
{
    KcTime next = world->heap_count > 0 ? world->heap[0].at : KC_NEVER;

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

/* Ends a process that has drained. */
static void
finish_drained(WorldNode *node)
{
    bool drained;

    if (!node->alive || node->paused || !node->draining) {
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
            finish_drained(node);
        }
    }
}

void
World_Advance(World *world, KcTime duration)
{
    KcTime until = world->now + duration;

    for (;;) {
        KcTime next = next_time(world);

        if (next > until) {
            break;
        }
        if (next > world->now) {
            world->now = next;
        }
        run_timers(world);
        while (world->heap_count > 0 && world->heap[0].at <= world->now) {
            WorldEvent event = pop(world);

            dispatch(&event);
        }
    }
    world->now = until;
}

void
World_Resume(WorldNode *node)
{
    WorldBacklog *backlog;

    if (!node->paused) {
        return;
    }
    node->paused = false;
    while ((backlog = TAILQ_FIRST(&node->backlog)) != NULL) {
        TAILQ_REMOVE(&node->backlog, backlog, link);
        dispatch(&backlog->event);
        free(backlog);
    }
}

void
WorldSchedule_DropBacklog(WorldNode *node)
{
    WorldBacklog *backlog;

    while ((backlog = TAILQ_FIRST(&node->backlog)) != NULL) {
        TAILQ_REMOVE(&node->backlog, backlog, link);
        drop_event(&backlog->event);
        free(backlog);
    }
}

void
WorldSchedule_Clear(World *world)
{
    for (size_t i = 0; i < world->heap_count; i++) {
        drop_event(&world->heap[i]);
    }
    free(world->heap);
}
