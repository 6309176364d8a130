/*
 * Reads, validates and writes the document in the object API.
 */
#include "stored_document.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../process/objects_http.h"
#include "client.h"

#define OBJECT_PATH_SIZE (KC_OBJECT_NAME_MAX + 32)

void
KcStoredDocument_Clear(KcStoredDocument *stored)
{
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        free(stored->text[i]);
    }
    memset(stored, 0, sizeof(*stored));
}

static int
get_object(const char *object_api_address, const char *name,
           KcAnswerText *response)
{
    char path[OBJECT_PATH_SIZE];

    snprintf(path, sizeof(path), "/v1/objects/%s", name);
    KcClient_Get(object_api_address, path, response);
    return KcObjects_Code(response->status);
}

/* Fetches one part, verifies its hash and appends it to a section's text. */
static int
read_part(const char *object_api_address, KcStoredDocument *stored,
          int section, const char *hash)
{
    char name[KC_OBJECT_NAME_MAX];
    char actual[KC_HASH_TEXT_SIZE];
    KcAnswerText response;
    size_t size;
    int code;

    snprintf(name, sizeof(name), "%s%s", KC_OBJECT_PARTS, hash);
    code = get_object(object_api_address, name, &response);
    size = KcBuffer_Size(&response.body);
    if (code == 0) {
        KcHash_Compute(KcBuffer_Data(&response.body), size, actual);
        code = strcmp(actual, hash) == 0 ? 0 : KC_ERR_PARSE;
    }
    if (code == 0) {
        stored->text[section] = KcMem_Realloc(
            stored->text[section], stored->size[section] + size + 1);
        memcpy(stored->text[section] + stored->size[section],
               KcBuffer_Data(&response.body), size);
        stored->size[section] += size;
        stored->text[section][stored->size[section]] = '\0';
    }
    KcAnswerText_Clear(&response);
    return code;
}

static int
read_sections(const char *object_api_address, KcStoredDocument *stored,
              KcError *err)
{
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        stored->text[i] = KcMem_New(1);
        for (uint32_t j = 0; j < stored->head.part_count[i]; j++) {
            int code = read_part(object_api_address, stored, i,
                                 stored->head.part_hash[i][j]);

            if (code != 0) {
                return KcError_Set(err, code, "read part", object_api_address);
            }
        }
    }
    return 0;
}

int
KcStoredDocument_Read(const char *object_api_address, KcStoredDocument *stored,
                      KcError *err)
{
    KcAnswerText response;
    int code;

    memset(stored, 0, sizeof(*stored));
    code = get_object(object_api_address, KC_OBJECT_HEAD, &response);
    if (code == 0) {
        stored->head_version = KcObjects_Version(response.etag);
        code = KcHead_Decode(KcBuffer_Data(&response.body),
                             KcBuffer_Size(&response.body), &stored->head);
    }
    else if (code == KC_ERR_NOT_FOUND) {
        code = 0;
    }
    KcAnswerText_Clear(&response);
    if (code != 0) {
        return KcError_Set(err, code, "read head", object_api_address);
    }
    return read_sections(object_api_address, stored, err);
}

/* Divides a section into parts and records their hashes in the head. */
static void
set_part_hashes(KcStoredDocument *stored, int section)
{
    const char *text = stored->text[section];
    size_t bytes_left = stored->size[section];
    uint32_t count = 0;

    while (bytes_left > 0 && count < KC_SECTION_PARTS_MAX) {
        size_t size = KcHead_PartSize(text, bytes_left);

        if (size == 0) {
            break;
        }
        KcHash_Compute(text, size, stored->head.part_hash[section][count++]);
        text += size;
        bytes_left -= size;
    }
    stored->head.part_count[section] = count;
}

void
KcStoredDocument_SetSection(KcStoredDocument *stored, KcSection section,
                            const char *text, size_t size, const char *author)
{
    free(stored->text[section]);
    stored->text[section] = KcMem_New(size + 1);
    memcpy(stored->text[section], text, size);
    stored->size[section] = size;
    set_part_hashes(stored, section);
    KcText_Copy(stored->head.author[section], author, KC_NAME_MAX);
    stored->head.changed_generation[section] = stored->head.generation + 1;
}

int
KcStoredDocument_Validate(const KcStoredDocument *stored,
                          KcProblemList *problems)
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
put_object(const char *object_api_address, const char *name, KcBytes value,
           uint64_t expected_version)
{
    char path[OBJECT_PATH_SIZE];
    char if_match[32];
    KcHttpCallOptions options = {.address = object_api_address,
                                 .method = "PUT",
                                 .path = path,
                                 .body = value};
    KcAnswerText response;
    int code;

    snprintf(path, sizeof(path), "/v1/objects/%s", name);
    snprintf(if_match, sizeof(if_match), "\"%" PRIu64 "\"", expected_version);
    if (expected_version == KC_OBJECT_ABSENT) {
        options.headers[0] = (KcHttpRequestHeader){"If-None-Match", "*"};
    }
    else {
        options.headers[0] = (KcHttpRequestHeader){"If-Match", if_match};
    }
    KcClient_Call(&options, &response);
    code = KcObjects_Code(response.status);
    KcAnswerText_Clear(&response);
    return code;
}

/*
 * Stores the parts of a section.  A part is named by the hash of its content,
 * so one that already exists (KC_ERR_CONFLICT) is identical.
 */
static int
write_parts(const char *object_api_address, const KcStoredDocument *stored,
            int section)
{
    const char *text = stored->text[section];
    size_t bytes_left = stored->size[section];

    for (uint32_t i = 0; i < stored->head.part_count[section]; i++) {
        char name[KC_OBJECT_NAME_MAX];
        size_t size = KcHead_PartSize(text, bytes_left);
        int code;

        snprintf(name, sizeof(name), "%s%s", KC_OBJECT_PARTS,
                 stored->head.part_hash[section][i]);
        code = put_object(object_api_address, name, (KcBytes){text, size},
                          KC_OBJECT_ABSENT);
        if (code != 0 && code != KC_ERR_CONFLICT) {
            return code;
        }
        text += size;
        bytes_left -= size;
    }
    return bytes_left == 0 ? 0 : KC_ERR_TOO_LARGE;
}

int
KcStoredDocument_Write(const char *object_api_address,
                       KcStoredDocument *stored, KcError *err)
{
    char *json;
    int code;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        if (stored->head.changed_generation[i] !=
            stored->head.generation + 1) {
            continue;
        }
        code = write_parts(object_api_address, stored, i);
        if (code != 0) {
            return KcError_Set(err, code, "write part", object_api_address);
        }
    }
    stored->head.generation++;
    json = KcHead_Encode(&stored->head);
    code = put_object(object_api_address, KC_OBJECT_HEAD,
                      (KcBytes){json, strlen(json)}, stored->head_version);
    free(json);
    return KcError_Set(err, code, "write head", object_api_address);
}
