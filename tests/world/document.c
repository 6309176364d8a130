/*
 * Writes the configuration document of a simulation, and edits it as operators
 * do.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world_internal.h"

static void
append_format(KcBuffer *buffer, const char *format, ...)
{
    char text[256];
    va_list args;
    int length;

    va_start(args, format);
    length = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    KcBuffer_Append(buffer, text, (size_t)length);
}

static void
write_regions(const World *world, KcBuffer *text)
{
    for (uint32_t i = 0; i < world->options.regions; i++) {
        append_format(text, "[region r%u]\ndatacentres = dc-%u\n", i, i);
    }
    append_format(text, "[link]\nbytes_per_s = 3750000\n");
}

static void
write_services(const World *world, KcBuffer *text)
{
    (void)world;
    append_format(text, "[service model]\nkind = model\nbase_model = base\n");
    append_format(text, "[service plain]\nkind = plain\npath = /plain\n"
                        "repeatable = no\n");
}

static void
write_capacity(const World *world, KcBuffer *text)
{
    const WorldOptions *options = &world->options;

    append_format(text,
                  "[service model]\nslots = %u\nbatch = %u\nqueue_max = %u\n",
                  options->slots, options->batch, options->queue_max);
    append_format(text,
                  "load_ms = %lld\nservice_ms = %lld\ndeadline_ms = %lld\n",
                  (long long)(options->load_time / KC_MS),
                  (long long)(options->service_time / KC_MS),
                  (long long)(options->deadline / KC_MS));
    append_format(
        text, "stall_weight = %u\nbatch_weight = %u\nrare_stall_ms = %lld\n",
        options->stall_weight, options->batch_weight,
        (long long)(options->rare_stall / KC_MS));
    append_format(text, "loads_per_minute = %u\n", options->loads_per_minute);
    append_format(text, "[service plain]\nbatch = 4\nqueue_max = 16\n"
                        "service_ms = 20\ndeadline_ms = 10000\n");
}

static void
write_adapters(const World *world, KcBuffer *text)
{
    append_format(text, "[adapters]\n");
    for (uint32_t i = 0; i < world->options.adapters; i++) {
        append_format(text, "a%u = model 1 2*\n", i);
    }
}

static void
write_retirements(const World *world, KcBuffer *text)
{
    append_format(text, "[retired]\n");
    for (uint32_t i = 0; i < world->options.adapters; i++) {
        if (world->retired_adapters[i]) {
            append_format(text, "a%u = 1\n", i);
        }
    }
}

static void
write_limits(const World *world, KcBuffer *text)
{
    (void)world;
    append_format(text, "[customer *]\nrate_per_s = 100000\nburst = 100000\n"
                        "in_flight = 10000\n");
}

static void (*const section_writers[KC_SECTION_COUNT])(const World *world,
                                                       KcBuffer *text) = {
    [KC_SECTION_ADAPTERS] = write_adapters,
    [KC_SECTION_CAPACITY] = write_capacity,
    [KC_SECTION_REGIONS] = write_regions,
    [KC_SECTION_RETIREMENTS] = write_retirements,
    [KC_SECTION_SERVICES] = write_services,
    [KC_SECTION_LIMITS] = write_limits,
};

/* Stores the parts of a section and lists their hashes in the head. */
static void
store_section(World *world, KcHead *head, int section, const KcBuffer *text)
{
    const char *data = KcBuffer_Data(text);
    size_t bytes_left = KcBuffer_Size(text);
    uint32_t count = 0;

    while (bytes_left > 0) {
        size_t size = KcHead_PartSize(data, bytes_left);
        char name[KC_OBJECT_NAME_MAX];
        char *hash = head->part_hash[section][count++];

        KcHash_Compute(data, size, hash);
        snprintf(name, sizeof(name), "%s%s", KC_OBJECT_PARTS, hash);
        WorldStore_Put(world, name, (KcBytes){data, size}, KC_OBJECT_ANY);
        data += size;
        bytes_left -= size;
    }
    head->part_count[section] = count;
}

int
WorldDocument_Write(World *world, uint64_t expected_version)
{
    KcHead *head = KcMem_New(sizeof(*head));
    char *json;
    int code;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        KcBuffer text = {0};

        section_writers[i](world, &text);
        store_section(world, head, i, &text);
        KcBuffer_Clear(&text);
    }
    head->generation = world->accepted_generation + 1;
    json = KcHead_Encode(head);
    code = WorldStore_Put(world, KC_OBJECT_HEAD, (KcBytes){json, strlen(json)},
                          expected_version);
    if (code == 0) {
        world->accepted_generation++;
        world->previous_head_version = expected_version;
    }
    free(json);
    free(head);
    return code;
}

int
World_EditRetirement(World *world, uint32_t adapter, bool retired, bool stale)
{
    WorldObject *head = WorldStore_Find(world, KC_OBJECT_HEAD);
    bool was_retired = world->retired_adapters[adapter];
    int code;

    if (world->store.outage) {
        return KC_ERR_OBJECT_API_UNAVAILABLE;
    }
    world->retired_adapters[adapter] = retired;
    code = WorldDocument_Write(world, stale ? world->previous_head_version
                                            : head->version);
    if (code != 0) {
        world->retired_adapters[adapter] = was_retired;
    }
    return code;
}
