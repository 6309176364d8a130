/*
 * In-memory connections between entries and agents.  Messages are encoded when
 * sent and decoded on arrival, in order, after the latency between the two
 * processes.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "world_internal.h"

#define CONNECT_TIMEOUT (1 * KC_SECOND)

typedef enum PacketKind {
    PACKET_MESSAGE, /* an encoded message */
    PACKET_CLOSE,   /* the other side has closed */
    PACKET_CONNECT  /* a new connection, to the agent */
} PacketKind;

struct WorldPacket {
    TAILQ_ENTRY(WorldPacket) link;
    WorldPipe *pipe;
    int receiver; /* side that it is delivered to */
    PacketKind kind;
    char *bytes;
    size_t size;
};

static void
free_packet(void *context)
{
    WorldPacket *packet = context;

    free(packet->bytes);
    free(packet);
}

static void on_packet_arrived(void *context);

/* Schedules a packet's arrival at a side, after those already sent to it. */
static void
send_packet(WorldPipe *pipe, int side, PacketKind kind, const char *bytes,
            size_t size)
{
    World *world = pipe->world;
    WorldPacket *packet = KcMem_New(sizeof(*packet));
    KcTime arrival_at =
        world->now + World_Latency(pipe->nodes[0], pipe->nodes[1]);

    if (arrival_at < pipe->last_delivery_at[side]) {
        arrival_at = pipe->last_delivery_at[side];
    }
    pipe->last_delivery_at[side] = arrival_at;
    packet->pipe = pipe;
    packet->receiver = side;
    packet->kind = kind;
    if (size > 0) {
        packet->bytes = KcMem_New(size);
        memcpy(packet->bytes, bytes, size);
        packet->size = size;
    }
    WorldSchedule_Add(world, arrival_at, pipe->nodes[side], on_packet_arrived,
                      free_packet, packet);
}

/* ---- the transport of a link -------------------------------------------- */

/* Encodes a message and sends it to the other side, unless closed or cut. */
static void
send_message(void *transport, const KcMsg *msg)
{
    WorldPipeSide *sender = transport;
    WorldPipe *pipe = sender->pipe;
    int side = sender->index;
    KcBytes bytes;

    if (!pipe->is_open[side] || pipe->is_cut ||
        KcEncoder_Encode(pipe->encoder, msg, &bytes) != 0) {
        return;
    }
    send_packet(pipe, 1 - side, PACKET_MESSAGE, bytes.data, bytes.size);
}

static void
close_side(void *transport)
{
    WorldPipeSide *sender = transport;
    WorldPipe *pipe = sender->pipe;
    int side = sender->index;

    pipe->is_open[side] = false;
    pipe->links[side] = NULL;
    if (!pipe->is_cut) {
        send_packet(pipe, 1 - side, PACKET_CLOSE, NULL, 0);
    }
}

static const KcLinkOps link_ops = {send_message, close_side};

static KcBackend *
find_backend(WorldPipe *pipe)
{
    const KcFleet *fleet = KcEntry_Fleet(pipe->nodes[0]->entry);

    return KcFleet_FindBackend(fleet, pipe->backend_name);
}

/* ---- opening and closing a side ----------------------------------------- */

static void
on_entry_side_closed(WorldPipe *pipe, int code)
{
    WorldNode *node = pipe->nodes[0];
    KcBackend *backend = find_backend(pipe);
    KcLink *link = pipe->links[0];

    pipe->is_open[0] = false;
    pipe->links[0] = NULL;
    if (pipe->hello_received) {
        KcEntry_OnLinkLost(node->entry, backend, code, node->world->now);
    }
    else {
        KcLink_Free(link);
        KcEntry_OnConnectFailed(node->entry, backend, node->world->now);
    }
}

static void
on_agent_side_closed(WorldPipe *pipe, int code)
{
    WorldNode *node = pipe->nodes[1];
    KcLink *link = pipe->links[1];

    pipe->is_open[1] = false;
    pipe->links[1] = NULL;
    KcAgent_OnLinkLost(node->agent, link, code, node->world->now);
}

static void
on_side_closed(WorldPipe *pipe, int side, int code)
{
    if (!pipe->is_open[side] || pipe->links[side] == NULL) {
        return;
    }
    if (side == 0) {
        on_entry_side_closed(pipe, code);
    }
    else {
        on_agent_side_closed(pipe, code);
    }
}

static void
accept_connection(WorldPipe *pipe)
{
    WorldNode *node = pipe->nodes[1];

    pipe->is_open[1] = true;
    pipe->links[1] =
        KcLink_Create(&link_ops, &pipe->sides[1], false, node->world->now);
    KcAgent_OnConnected(node->agent, pipe->links[1], node->world->now);
}

/* ---- messages ----------------------------------------------------------- */

/* The entry uses the connection from the agent's HELLO on. */
static void
receive_hello(WorldPipe *pipe, const KcMsg *msg)
{
    WorldNode *node = pipe->nodes[0];
    KcStream *stream;
    KcError error;

    if (KcLink_Receive(pipe->links[0], msg, &stream, node->world->now,
                       &error) != 0) {
        on_entry_side_closed(pipe, KC_ERR_PROTOCOL);
        return;
    }
    pipe->hello_received = true;
    KcEntry_OnConnected(node->entry, find_backend(pipe), pipe->links[0],
                        node->world->now);
}

static void
receive_message(WorldPipe *pipe, int side, const WorldPacket *packet)
{
    WorldNode *node = pipe->nodes[side];
    KcMsg msg;
    int code;

    /* Without the length at the start of the frame. */
    code = KcDecoder_Decode(pipe->decoder, packet->bytes + 4, packet->size - 4,
                            &msg);
    assert(code == 0);
    if (side == 1) {
        KcAgent_OnMessage(node->agent, pipe->links[1], &msg, node->world->now);
    }
    else if (pipe->hello_received) {
        KcEntry_OnMessage(node->entry, find_backend(pipe), &msg,
                          node->world->now);
    }
    else {
        receive_hello(pipe, &msg);
    }
}

/* Handles a packet that has arrived and is not held up. */
static void
process_packet(WorldPacket *packet)
{
    WorldPipe *pipe = packet->pipe;

    if (packet->kind == PACKET_CONNECT && !pipe->is_cut) {
        accept_connection(pipe);
    }
    else if (packet->kind == PACKET_CLOSE) {
        on_side_closed(pipe, packet->receiver, KC_ERR_PEER_LOST);
    }
    else if (pipe->is_open[packet->receiver] && !pipe->is_cut) {
        receive_message(pipe, packet->receiver, packet);
    }
    free_packet(packet);
}

static bool
is_stalled(const WorldPipe *pipe)
{
    return (pipe->pair_stalled || pipe->connection_stalled) && !pipe->is_cut;
}

static void
on_packet_arrived(void *context)
{
    WorldPacket *packet = context;
    WorldPipe *pipe = packet->pipe;

    /* Keep the order of packets. */
    if (is_stalled(pipe) ||
        !TAILQ_EMPTY(&pipe->stalled_packets[packet->receiver])) {
        TAILQ_INSERT_TAIL(&pipe->stalled_packets[packet->receiver], packet,
                          link);
        return;
    }
    process_packet(packet);
}

/* Handles the packets that arrived at a side during a stall. */
static void
deliver_stalled(void *context)
{
    WorldPipeSide *side = context;
    WorldPipe *pipe = side->pipe;
    struct WorldPacketList *packets = &pipe->stalled_packets[side->index];
    WorldPacket *packet;

    while (!is_stalled(pipe) && (packet = TAILQ_FIRST(packets)) != NULL) {
        TAILQ_REMOVE(packets, packet, link);
        process_packet(packet);
    }
}

/* Schedules the stalled packets of both sides; called after a stall. */
static void
schedule_stalled(WorldPipe *pipe)
{
    for (int side = 0; side < 2; side++) {
        if (!TAILQ_EMPTY(&pipe->stalled_packets[side])) {
            WorldSchedule_Add(pipe->world, pipe->world->now, pipe->nodes[side],
                              deliver_stalled, NULL, &pipe->sides[side]);
        }
    }
}

/* ---- connecting --------------------------------------------------------- */

static void
on_connect_timeout(void *context)
{
    WorldPipe *pipe = context;

    if (!pipe->hello_received && pipe->is_open[0]) {
        pipe->is_cut = true;
        on_side_closed(pipe, 0, KC_ERR_PEER_LOST);
        on_side_closed(pipe, 1, KC_ERR_PEER_LOST);
    }
}

static bool
is_pair_stalled(const World *world, const WorldNode *entry,
                const WorldNode *agent)
{
    const WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &world->pipes, link) {
        if (pipe->nodes[0] == entry && pipe->nodes[1] == agent &&
            pipe->pair_stalled) {
            return true;
        }
    }
    return false;
}

static WorldNode *
find_node_by_address(World *world, const char *address)
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
    TAILQ_INIT(&pipe->stalled_packets[0]);
    TAILQ_INIT(&pipe->stalled_packets[1]);
    pipe->sides[0] = (WorldPipeSide){pipe, 0};
    pipe->sides[1] = (WorldPipeSide){pipe, 1};
    pipe->nodes[0] = entry;
    pipe->nodes[1] = find_node_by_address(world, backend->address);
    assert(pipe->nodes[1] != NULL);
    KcText_Copy(pipe->backend_name, backend->name, KC_NAME_MAX);
    pipe->pair_stalled = is_pair_stalled(world, entry, pipe->nodes[1]);
    pipe->encoder = KcEncoder_Create();
    pipe->decoder = KcDecoder_Create();
    pipe->is_open[0] = true;
    pipe->links[0] =
        KcLink_Create(&link_ops, &pipe->sides[0], true, world->now);
    TAILQ_INSERT_TAIL(&world->pipes, pipe, link);
    WorldSchedule_Add(world, world->now + CONNECT_TIMEOUT, entry,
                      on_connect_timeout, NULL, pipe);
    if (!pipe->nodes[1]->alive) {
        send_packet(pipe, 0, PACKET_CLOSE, NULL, 0); /* refused */
        return;
    }
    send_packet(pipe, 1, PACKET_CONNECT, NULL, 0);
    KcEntry_FillHello(entry->entry, &hello);
    send_message(&pipe->sides[0], &hello);
}

/* ---- faults and freeing ------------------------------------------------- */

static void
on_cut(void *context)
{
    WorldPacket *packet = context;

    on_side_closed(packet->pipe, packet->receiver, KC_ERR_PEER_LOST);
    free(packet);
}

static void
free_cut_packet(void *context)
{
    free(context);
}

/* Breaks a connection; a paused process notices after it resumes. */
static void
cut_pipe(WorldPipe *pipe)
{
    if (pipe->is_cut) {
        return;
    }
    pipe->is_cut = true;
    schedule_stalled(pipe);
    for (int side = 0; side < 2; side++) {
        WorldPacket *packet = KcMem_New(sizeof(*packet));

        packet->pipe = pipe;
        packet->receiver = side;
        WorldSchedule_Add(pipe->world, pipe->world->now, pipe->nodes[side],
                          on_cut, free_cut_packet, packet);
    }
}

void
World_CutConnections(WorldNode *entry, WorldNode *agent)
{
    WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &entry->world->pipes, link) {
        if (pipe->nodes[0] == entry && pipe->nodes[1] == agent) {
            cut_pipe(pipe);
        }
    }
}

void
World_SetStalled(WorldNode *entry, WorldNode *agent, bool stalled)
{
    WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &entry->world->pipes, link) {
        if (pipe->nodes[0] == entry && pipe->nodes[1] == agent) {
            pipe->pair_stalled = stalled;
            pipe->connection_stalled = pipe->connection_stalled && stalled;
            schedule_stalled(pipe);
        }
    }
}

void
World_StallOpenConnections(WorldNode *entry, WorldNode *agent)
{
    WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &entry->world->pipes, link) {
        if (pipe->nodes[0] == entry && pipe->nodes[1] == agent) {
            pipe->connection_stalled = true;
        }
    }
}

void
WorldPipe_OnNodeEnded(WorldNode *node)
{
    WorldPipe *pipe;

    TAILQ_FOREACH (pipe, &node->world->pipes, link) {
        for (int side = 0; side < 2; side++) {
            if (pipe->nodes[side] != node) {
                continue;
            }
            if (side == 0 && pipe->is_open[0] && !pipe->hello_received) {
                KcLink_Free(pipe->links[0]);
            }
            pipe->is_open[side] = false;
            pipe->links[side] = NULL;
            if (!pipe->is_cut) {
                /* Arrives after everything that the process had sent. */
                send_packet(pipe, 1 - side, PACKET_CLOSE, NULL, 0);
            }
        }
    }
}

static void
free_stalled(WorldPipe *pipe)
{
    WorldPacket *packet;

    for (int side = 0; side < 2; side++) {
        while ((packet = TAILQ_FIRST(&pipe->stalled_packets[side])) != NULL) {
            TAILQ_REMOVE(&pipe->stalled_packets[side], packet, link);
            free_packet(packet);
        }
    }
}

void
WorldPipe_FreeAll(World *world)
{
    WorldPipe *pipe;

    while ((pipe = TAILQ_FIRST(&world->pipes)) != NULL) {
        TAILQ_REMOVE(&world->pipes, pipe, link);
        free_stalled(pipe);
        KcEncoder_Free(pipe->encoder);
        KcDecoder_Free(pipe->decoder);
        free(pipe);
    }
}
