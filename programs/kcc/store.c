/*
 * The document as stored in the object API.
 */
#include "store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../process/objects_http.h"
#include "client.h"

#define PATH_SIZE (KC_OBJECT_NAME_MAX + 32)

void
KcStored_Clear(KcStored *stored)
{
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        free(stored->text[i]);
    }
    memset(stored, 0, sizeof(*stored));
}

static int
get_object(const char *objects, const char *name, KcHttpResponse *answer)
{
    char path[PATH_SIZE];

    snprintf(path, sizeof(path), "/v1/objects/%s", name);
    KcBlockingHttp_Get(objects, path, answer);
    return KcObjectClient_StatusToError(answer->status);
}

/* Appends one part to a section, checking its hash. */
static int
read_part(const char *objects, KcStored *stored, int section, const char *hash)
{
    char name[KC_OBJECT_NAME_MAX];
    char actual[KC_HASH_TEXT_SIZE];
    KcHttpResponse answer;
    size_t size;
    int code;

    snprintf(name, sizeof(name), "%s%s", KC_OBJECT_PARTS, hash);
    code = get_object(objects, name, &answer);
    size = KcBuffer_Size(&answer.body);
    if (code == 0) {
        KcHash_Compute(KcBuffer_Data(&answer.body), size, actual);
        code = strcmp(actual, hash) == 0 ? 0 : KC_ERR_PARSE;
    }
    if (code == 0) {
        stored->text[section] = KcMem_Realloc(
            stored->text[section], stored->size[section] + size + 1);
        memcpy(stored->text[section] + stored->size[section],
               KcBuffer_Data(&answer.body), size);
        stored->size[section] += size;
        stored->text[section][stored->size[section]] = '\0';
    }
    KcHttpResponse_Clear(&answer);
    return code;
}

static int
read_sections(const char *objects, KcStored *stored, KcError *err)
{
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        stored->text[i] = KcMem_New(1);
        for (uint32_t j = 0; j < stored->head.part_count[i]; j++) {
            int code =
                read_part(objects, stored, i, stored->head.part_hash[i][j]);

            if (code != 0) {
                return KcError_Set(err, code, "read part", objects);
            }
        }
    }
    return 0;
}

int
KcStore_Read(const char *objects, KcStored *stored, KcError *err)
{
    KcHttpResponse answer;
    int code;

    memset(stored, 0, sizeof(*stored));
    code = get_object(objects, KC_OBJECT_HEAD, &answer);
    if (code == 0) {
        stored->version = KcObjectClient_ParseVersion(answer.etag);
        code = KcHead_Decode(KcBuffer_Data(&answer.body),
                             KcBuffer_Size(&answer.body), &stored->head);
    }
    else if (code == KC_ERR_NOT_FOUND) {
        code = 0;
    }
    KcHttpResponse_Clear(&answer);
    if (code != 0) {
        return KcError_Set(err, code, "read head", objects);
    }
    return read_sections(objects, stored, err);
}

/* Divides a section into parts and names them in the head. */
static void
name_parts(KcStored *stored, int section)
{
    const char *text = stored->text[section];
    size_t left = stored->size[section];
    uint32_t count = 0;

    while (left > 0 && count < KC_SECTION_PARTS_MAX) {
        size_t size = KcHead_PartSize(text, left);

        if (size == 0) {
            break;
        }
        KcHash_Compute(text, size, stored->head.part_hash[section][count++]);
        text += size;
        left -= size;
    }
    stored->head.part_count[section] = count;
}

void
KcStored_Set(KcStored *stored, KcSection section, const char *text,
             size_t size, const char *author)
{
    free(stored->text[section]);
    stored->text[section] = KcMem_New(size + 1);
    memcpy(stored->text[section], text, size);
    stored->size[section] = size;
    name_parts(stored, section);
    KcText_Copy(stored->head.author[section], author, KC_NAME_MAX);
    stored->head.changed_generation[section] = stored->head.generation + 1;
}

int
KcStored_Check(const KcStored *stored, KcProblemList *problems)
{
    KcSectionTexts texts;
    KcDocument *document;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        texts.text[i] = stored->text[i];
        texts.size[i] = stored->size[i];
    }
    document = KcDocument_Parse(&texts, stored->head.generation + 1, problems);
    if (document == NULL) {
        return KC_ERR_INVALID;
    }
    KcDocument_Release(document);
    return 0;
}

static int
put_object(const char *objects, const char *name, KcBytes value,
           uint64_t expected)
{
    char path[PATH_SIZE];
    char match[32];
    KcHttpCallOptions options = {
        .address = objects, .method = "PUT", .path = path, .body = value};
    KcHttpResponse answer;
    int code;

    snprintf(path, sizeof(path), "/v1/objects/%s", name);
    snprintf(match, sizeof(match), "\"%" PRIu64 "\"", expected);
    if (expected == KC_OBJECT_ABSENT) {
        options.headers[0] = (KcHttpRequestHeader){"If-None-Match", "*"};
    }
    else {
        options.headers[0] = (KcHttpRequestHeader){"If-Match", match};
    }
    KcBlockingHttp_Call(&options, &answer);
    code = KcObjectClient_StatusToError(answer.status);
    KcHttpResponse_Clear(&answer);
    return code;
}

/* Stores the parts of a section; one that is there already is the same. */
static int
write_parts(const char *objects, const KcStored *stored, int section)
{
    const char *text = stored->text[section];
    size_t left = stored->size[section];

    for (uint32_t i = 0; i < stored->head.part_count[section]; i++) {
        char name[KC_OBJECT_NAME_MAX];
        size_t size = KcHead_PartSize(text, left);
        int code;

        snprintf(name, sizeof(name), "%s%s", KC_OBJECT_PARTS,
                 stored->head.part_hash[section][i]);
        code =
            put_object(objects, name, (KcBytes){text, size}, KC_OBJECT_ABSENT);
        if (code != 0 && code != KC_ERR_CONFLICT) {
            return code;
        }
        text += size;
        left -= size;
    }
    return left == 0 ? 0 : KC_ERR_TOO_LARGE;
}

int
KcStore_Write(const char *objects, KcStored *stored, KcError *err)
{
    char *json;
    int code;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        if (stored->head.changed_generation[i] !=
            stored->head.generation + 1) {
            continue;
        }
        code = write_parts(objects, stored, i);
        if (code != 0) {
            return KcError_Set(err, code, "write part", objects);
        }
    }
    stored->head.generation++;
    json = KcHead_Encode(&stored->head);
    code = put_object(objects, KC_OBJECT_HEAD, (KcBytes){json, strlen(json)},
                      stored->version);
    free(json);
    return KcError_Set(err, code, "write head", objects);
}
