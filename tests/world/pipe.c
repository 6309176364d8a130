/*
 * Links in memory.  Each message is encoded when it is sent and decoded when
 * it arrives, in order, after the latency between the two processes.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "world_internal.h"

#define CONNECT_TIMEOUT (1 * KC_SECOND)

typedef enum PipeStep {
    STEP_MESSAGE, /* bytes arrive */
    STEP_CLOSED,  /* the other side has closed */
    STEP_ACCEPT   /* a new connection arrives at the agent */
} PipeStep;

struct WorldParcel {
    TAILQ_ENTRY(WorldParcel) link;
    WorldPipe *pipe;
    int side; /* to which it is delivered */
    PipeStep step;
    char *bytes;
    size_t size;
};

static void
drop_parcel(void *context)
{
    WorldParcel *parcel = context;

    free(parcel->bytes);
    free(parcel);
}

static void deliver(void *context);

/* Puts a parcel on its way, behind those sent before it. */
static void
send_parcel(WorldPipe *pipe, int side, PipeStep step, const char *bytes,
            size_t size)
{
    World *world = pipe->world;
    WorldParcel *parcel = KcMem_New(sizeof(*parcel));
    KcTime at = world->now + World_Latency(pipe->node[0], pipe->node[1]);

    if (at < pipe->last[side]) {
        at = pipe->last[side];
    }
    pipe->last[side] = at;
    parcel->pipe = pipe;
    parcel->side = side;
    parcel->step = step;
    if (size > 0) {
        parcel->bytes = KcMem_New(size);
        memcpy(parcel->bytes, bytes, size);
        parcel->size = size;
    }
    WorldSchedule_Add(world, at, pipe->node[side], deliver, drop_parcel,
                      parcel);
}

/* ---- the transport of a link -------------------------------------------- */

static void
send_message(void *transport, const KcMsg *msg)
{
    WorldSide *sender = transport;
    WorldPipe *pipe = sender->pipe;
    int side = sender->index;
    KcBytes bytes;

    if (!pipe->open[side] || pipe->cut ||
        KcEncoder_Encode(pipe->encoder, msg, &bytes) != 0) {
        return;
    }
    send_parcel(pipe, 1 - side, STEP_MESSAGE, bytes.data, bytes.size);
}

static void
close_transport(void *transport)
{
    WorldSide *sender = transport;
    WorldPipe *pipe = sender->pipe;
    int side = sender->index;

    pipe->open[side] = false;
    pipe->end[side] = NULL;
    if (!pipe->cut) {
        send_parcel(pipe, 1 - side, STEP_CLOSED, NULL, 0);
    }
}

static const KcLinkOps link_ops = {send_message, close_transport};

static KcBackend *
backend_of(WorldPipe *pipe)
{
    const KcFleet *fleet = KcEntry_Fleet(pipe->node[0]->entry);

    return KcFleet_FindBackend(fleet, pipe->backend);
}

/* ---- ends of a connection ----------------------------------------------- */

static void
entry_closed(WorldPipe *pipe, int code)
{
    WorldNode *node = pipe->node[0];
    KcBackend *backend = backend_of(pipe);
    KcLink *link = pipe->end[0];

    pipe->open[0] = false;
    pipe->end[0] = NULL;
    if (pipe->ready) {
        KcEntry_OnLinkLost(node->entry, backend, code, node->world->now);
    }
    else {
        KcLink_Free(link);
        KcEntry_OnConnectFailed(node->entry, backend, node->world->now);
    }
}

static void
agent_closed(WorldPipe *pipe, int code)
{
    WorldNode *node = pipe->node[1];
    KcLink *link = pipe->end[1];

    pipe->open[1] = false;
    pipe->end[1] = NULL;
    KcAgent_OnLinkLost(node->agent, link, code, node->world->now);
}

static void
side_closed(WorldPipe *pipe, int side, int code)
{
    if (!pipe->open[side] || pipe->end[side] == NULL) {
        return;
    }
    if (side == 0) {
        entry_closed(pipe, code);
    }
    else {
        agent_closed(pipe, code);
    }
}

static void
accept_connection(WorldPipe *pipe)
{
    WorldNode *node = pipe->node[1];

    pipe->open[1] = true;
    pipe->end[1] =
        KcLink_Create(&link_ops, &pipe->sides[1], false, node->world->now);
    KcAgent_OnConnected(node->agent, pipe->end[1], node->world->now);
}

/* ---- messages ----------------------------------------------------------- */

/* The agent's HELLO makes the connection ready at the entry. */
static void
receive_hello(WorldPipe *pipe, const KcMsg *msg)
{
    WorldNode *node = pipe->node[0];
    KcStream *stream;
    KcError error;

    if (KcLink_Receive(pipe->end[0], msg, &stream, node->world->now, &error) !=
        0) {
        entry_closed(pipe, KC_ERR_PROTOCOL);
        return;
    }
    pipe->ready = true;
    KcEntry_OnConnected(node->entry, backend_of(pipe), pipe->end[0],
                        node->world->now);
}

static void
receive(WorldPipe *pipe, int side, const WorldParcel *parcel)
{
    WorldNode *node = pipe->node[side];
    KcMsg msg;
    int code;

    code = KcDecoder_Decode(pipe->decoder, parcel->bytes + 4, parcel->size - 4,
                            &msg);
    assert(code == 0);
    if (side == 1) {
        KcAgent_OnMessage(node->agent, pipe->end[1], &msg, node->world->now);
    }
    else if (pipe->ready) {
        KcEntry_OnMessage(node->entry, backend_of(pipe), &msg,
                          node->world->now);
    }
    else {
        receive_hello(pipe, &msg);
    }
}

/* What a parcel does when it has arrived. */
static void
take_parcel(WorldParcel *parcel)
{
    WorldPipe *pipe = parcel->pipe;

    if (parcel->step == STEP_ACCEPT && !pipe->cut) {
        accept_connection(pipe);
    }
    else if (parcel->step == STEP_CLOSED) {
        side_closed(pipe, parcel->side, KC_ERR_PEER_LOST);
    }
    else if (pipe->open[parcel->side] && !pipe->cut) {
        receive(pipe, parcel->side, parcel);
    }
    drop_parcel(parcel);
}

static bool
is_stalled(const WorldPipe *pipe)
{
    return (pipe->stalled || pipe->stuck) && !pipe->cut;
}

static void
deliver(void *context)
{
    WorldParcel *parcel = context;
    WorldPipe *pipe = parcel->pipe;

    /* Nothing overtakes what arrived before it. */
    if (is_stalled(pipe) || !TAILQ_EMPTY(&pipe->held[parcel->side])) {
        TAILQ_INSERT_TAIL(&pipe->held[parcel->side], parcel, link);
        return;
    }
    take_parcel(parcel);
}

/* Delivers what arrived at one side while the pipe was stalled. */
static void
deliver_held(void *context)
{
    WorldSide *side = context;
    WorldPipe *pipe = side->pipe;
    struct WorldParcelList *held = &pipe->held[side->index];
    WorldParcel *parcel;

    while (!is_stalled(pipe) && (parcel = TAILQ_FIRST(held)) != NULL) {
        TAILQ_REMOVE(held, parcel, link);
        take_parcel(parcel);
    }
}

static void
release_held(WorldPipe *pipe)
{
    for (int side = 0; side < 2; side++) {
        if (!TAILQ_EMPTY(&pipe->held[side])) {
            WorldSchedule_Add(pipe->world, pipe->world->now, pipe->node[side],
                              deliver_held, NULL, &pipe->sides[side]);
        }
    }
}

/* ---- connecting --------------------------------------------------------- */

static void
connect_timeout(void *context)
{
    WorldPipe *pipe = context;

    if (!pipe->ready && pipe->open[0]) {
        pipe->cut = true;
        side_closed(pipe, 0, KC_ERR_PEER_LOST);
        side_closed(pipe, 1, KC_ERR_PEER_LOST);
    }
}

static bool
pair_is_stalled(const World *world, const WorldNode *entry,
                const WorldNode *agent)
{
    const WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &world->pipes, link) {
        if (pipe->node[0] == entry && pipe->node[1] == agent &&
            pipe->stalled) {
            return true;
        }
    }
    return false;
}

static WorldNode *
node_at(World *world, const char *address)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        if (strcmp(world->nodes[i].address, address) == 0) {
            return &world->nodes[i];
        }
    }
    return NULL;
}

void
WorldPipe_Connect(WorldNode *entry, KcBackend *backend)
{
    World *world = entry->world;
    WorldPipe *pipe = KcMem_New(sizeof(*pipe));
    KcMsg hello;

    pipe->world = world;
    TAILQ_INIT(&pipe->held[0]);
    TAILQ_INIT(&pipe->held[1]);
    pipe->sides[0] = (WorldSide){pipe, 0};
    pipe->sides[1] = (WorldSide){pipe, 1};
    pipe->node[0] = entry;
    pipe->node[1] = node_at(world, backend->address);
    assert(pipe->node[1] != NULL);
    KcText_Copy(pipe->backend, backend->name, KC_NAME_MAX);
    pipe->stalled = pair_is_stalled(world, entry, pipe->node[1]);
    pipe->encoder = KcEncoder_Create();
    pipe->decoder = KcDecoder_Create();
    pipe->open[0] = true;
    pipe->end[0] = KcLink_Create(&link_ops, &pipe->sides[0], true, world->now);
    TAILQ_INSERT_TAIL(&world->pipes, pipe, link);
    WorldSchedule_Add(world, world->now + CONNECT_TIMEOUT, entry,
                      connect_timeout, NULL, pipe);
    if (!pipe->node[1]->alive) {
        send_parcel(pipe, 0, STEP_CLOSED, NULL, 0); /* refused */
        return;
    }
    send_parcel(pipe, 1, STEP_ACCEPT, NULL, 0);
    KcEntry_FillHello(entry->entry, &hello);
    send_message(&pipe->sides[0], &hello);
}

/* ---- faults and endings ------------------------------------------------- */

static void
cut_now(void *context)
{
    WorldParcel *parcel = context;

    side_closed(parcel->pipe, parcel->side, KC_ERR_PEER_LOST);
    free(parcel);
}

static void
free_cut(void *context)
{
    free(context);
}

/* Breaks a connection; each side notices as its process runs. */
static void
cut_pipe(WorldPipe *pipe)
{
    if (pipe->cut) {
        return;
    }
    pipe->cut = true;
    release_held(pipe);
    for (int side = 0; side < 2; side++) {
        WorldParcel *parcel = KcMem_New(sizeof(*parcel));

        parcel->pipe = pipe;
        parcel->side = side;
        WorldSchedule_Add(pipe->world, pipe->world->now, pipe->node[side],
                          cut_now, free_cut, parcel);
    }
}

void
World_Cut(WorldNode *entry, WorldNode *agent)
{
    WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &entry->world->pipes, link) {
        if (pipe->node[0] == entry && pipe->node[1] == agent) {
            cut_pipe(pipe);
        }
    }
}

void
World_Stall(WorldNode *entry, WorldNode *agent, bool stalled)
{
    WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &entry->world->pipes, link) {
        if (pipe->node[0] == entry && pipe->node[1] == agent) {
            pipe->stalled = stalled;
            pipe->stuck = pipe->stuck && stalled;
            release_held(pipe);
        }
    }
}

void
World_Stick(WorldNode *entry, WorldNode *agent)
{
    WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &entry->world->pipes, link) {
        if (pipe->node[0] == entry && pipe->node[1] == agent) {
            pipe->stuck = true;
        }
    }
}

void
WorldPipe_NodeGone(WorldNode *node)
{
    WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &node->world->pipes, link) {
        for (int side = 0; side < 2; side++) {
            if (pipe->node[side] != node) {
                continue;
            }
            if (side == 0 && pipe->open[0] && !pipe->ready) {
                KcLink_Free(pipe->end[0]);
            }
            pipe->open[side] = false;
            pipe->end[side] = NULL;
            if (!pipe->cut) {
                /* What it had sent still arrives before the end. */
                send_parcel(pipe, 1 - side, STEP_CLOSED, NULL, 0);
            }
        }
    }
}

static void
drop_held(WorldPipe *pipe)
{
    WorldParcel *parcel;

    for (int side = 0; side < 2; side++) {
        while ((parcel = TAILQ_FIRST(&pipe->held[side])) != NULL) {
            TAILQ_REMOVE(&pipe->held[side], parcel, link);
            drop_parcel(parcel);
        }
    }
}

void
WorldPipe_FreeAll(World *world)
{
    WorldPipe *pipe;

    while ((pipe = TAILQ_FIRST(&world->pipes)) != NULL) {
        TAILQ_REMOVE(&world->pipes, pipe, link);
        drop_held(pipe);
        KcEncoder_Free(pipe->encoder);
        KcDecoder_Free(pipe->decoder);
        free(pipe);
    }
}
