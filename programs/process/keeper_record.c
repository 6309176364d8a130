/*
 * A keeper's record of what its engine can hold, as JSON.
 */
#include "keeper_record.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../request/json_text.h"

void
KcKeeperRecord_Init(KcKeeperRecord *record, const char *service,
                    const char *address)
{
    KcText_Copy(record->service, service, sizeof(record->service));
    KcText_Copy(record->address, address, sizeof(record->address));
    record->health_path[0] = '\0';
    KcEngineCapacity_Init(&record->engine);
}

void
KcKeeperRecord_Clear(KcKeeperRecord *record)
{
    KcEngineCapacity_Clear(&record->engine);
}

void
KcKeeperRecord_Set(KcKeeperRecord *record, const char *health_path,
                   const KcEngineCapacity *engine)
{
    KcEngineCapacity_Clear(&record->engine);
    KcEngineCapacity_Copy(&record->engine, engine);
    KcText_Copy(record->health_path, health_path, sizeof(record->health_path));
}

static json_t *
encode_engine(const KcEngineCapacity *engine)
{
    const KcEngineModel *model;
    json_t *models = json_array();

    TAILQ_FOREACH (model, &engine->models, link) {
        json_array_append_new(
            models, json_pack("{s:s, s:f, s:f}", "name", model->name,
                              "weights_mb", model->weights_megabytes,
                              "adapter_mb", model->adapter_megabytes));
    }
    return json_pack("{s:f, s:I, s:I, s:I, s:o}", "memory_mb",
                     engine->memory_megabytes, "adapter_slots",
                     (json_int_t)engine->adapter_slots, "concurrency",
                     (json_int_t)engine->concurrency_max, "kv_tokens",
                     (json_int_t)engine->kv_cache_tokens, "models", models);
}

char *
KcKeeperRecord_Encode(const KcKeeperRecord *record, uint64_t incarnation)
{
    char digits[2 * sizeof(incarnation) + 1];
    json_t *root;
    char *text;

    snprintf(digits, sizeof(digits), "%016" PRIx64, incarnation);
    root = json_pack("{s:s}", "incarnation", digits);
    if (record->engine.is_configured) {
        json_object_set_new(root, "service", json_string(record->service));
        json_object_set_new(root, "address", json_string(record->address));
        json_object_set_new(root, "health_path",
                            json_string(record->health_path));
        json_object_set_new(root, "engine", encode_engine(&record->engine));
    }
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

/* Reads a number of megabytes; false if it is none. */
static bool
read_megabytes(const json_t *object, const char *key, double *megabytes)
{
    const json_t *value = json_object_get(object, key);

    *megabytes = json_number_value(value);
    return json_is_number(value) && isfinite(*megabytes) && *megabytes >= 0;
}

/* Reads a count; false if it is none. */
static bool
read_count(const json_t *object, const char *key, int64_t count_max,
           int64_t *count)
{
    const json_t *value = json_object_get(object, key);

    *count = json_integer_value(value);
    return json_is_integer(value) && *count >= 0 && *count <= count_max;
}

static bool
read_models(const json_t *models, KcEngineCapacity *engine)
{
    const json_t *model;
    size_t index;

    json_array_foreach (models, index, model) {
        char name[KC_NAME_MAX];
        double weights_megabytes;
        double adapter_megabytes;

        if (KcJsonText_CopyMember(model, "name", name, sizeof(name)) != 0 ||
            !read_megabytes(model, "weights_mb", &weights_megabytes) ||
            !read_megabytes(model, "adapter_mb", &adapter_megabytes)) {
            return false;
        }
        KcEngineCapacity_AddModel(engine, name, weights_megabytes,
                                  adapter_megabytes);
    }
    return json_is_array(models);
}

static bool
read_engine(const json_t *json, KcEngineCapacity *engine)
{
    int64_t adapter_slots;
    int64_t concurrency_max;
    int64_t kv_cache_tokens;

    if (!read_megabytes(json, "memory_mb", &engine->memory_megabytes) ||
        !read_count(json, "adapter_slots", UINT32_MAX, &adapter_slots) ||
        !read_count(json, "concurrency", UINT32_MAX, &concurrency_max) ||
        !read_count(json, "kv_tokens", INT64_MAX, &kv_cache_tokens) ||
        !read_models(json_object_get(json, "models"), engine)) {
        return false;
    }
    engine->is_configured = true;
    engine->adapter_slots = (uint32_t)adapter_slots;
    engine->concurrency_max = (uint32_t)concurrency_max;
    engine->kv_cache_tokens = (uint64_t)kv_cache_tokens;
    return true;
}

int
KcKeeperRecord_Decode(KcBytes text, KcKeeperRecord *record)
{
    json_t *root = json_loadb(text.data, text.size, 0, NULL);
    int code = 0;

    KcKeeperRecord_Init(record, "", "");
    if (KcJsonText_CopyMember(root, "service", record->service,
                              sizeof(record->service)) != 0 ||
        KcJsonText_CopyMember(root, "address", record->address,
                              sizeof(record->address)) != 0 ||
        KcJsonText_CopyMember(root, "health_path", record->health_path,
                              sizeof(record->health_path)) != 0 ||
        !read_engine(json_object_get(root, "engine"), &record->engine)) {
        code = KC_ERR_PARSE;
    }
    json_decref(root);
    return code;
}

bool
KcKeeperRecord_Tells(const KcKeeperRecord *record, const char *health_path,
                     const KcEngineCapacity *engine)
{
    KcKeeperRecord other;
    char *text = KcKeeperRecord_Encode(record, 0);
    char *other_text;
    bool is_equal;

    KcKeeperRecord_Init(&other, record->service, record->address);
    KcKeeperRecord_Set(&other, health_path, engine);
    other_text = KcKeeperRecord_Encode(&other, 0);
    is_equal = strcmp(text, other_text) == 0 &&
               strcmp(record->health_path, health_path) == 0;
    KcKeeperRecord_Clear(&other);
    free(text);
    free(other_text);
    return is_equal;
}
