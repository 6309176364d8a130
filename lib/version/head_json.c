/*
 * JSON encoding and decoding of the head.
 */
#include <jansson.h>
#include <string.h>

#include "kcc_version.h"

char *
KcHead_Encode(const KcHead *head)
{
    json_t *sections = json_object();
    json_t *root;
    char *text;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        json_t *parts = json_array();

        for (uint32_t j = 0; j < head->part_count[i]; j++) {
            json_array_append_new(parts, json_string(head->part[i][j]));
        }
        json_object_set_new(
            sections, KcSection_Name((KcSection)i),
            json_pack("{s:s, s:I, s:o}", "author", head->author[i], "changed",
                      (json_int_t)head->changed[i], "parts", parts));
    }
    root = json_pack("{s:I, s:o}", "generation", (json_int_t)head->generation,
                     "sections", sections);
    text = json_dumps(root, JSON_INDENT(1));
    json_decref(root);
    return text;
}

/* Decodes one section of the head.  Returns 0 or KC_ERR_PARSE. */
static int
decode_section(json_t *object, KcHead *head, int section)
{
    json_t *parts = json_object_get(object, "parts");
    size_t count = json_array_size(parts);
    const char *author = json_string_value(json_object_get(object, "author"));

    if (!json_is_array(parts) || count > KC_SECTION_PARTS_MAX) {
        return KC_ERR_PARSE;
    }
    for (size_t i = 0; i < count; i++) {
        const char *hash = json_string_value(json_array_get(parts, i));

        if (hash == NULL || strlen(hash) != KC_HASH_TEXT - 1) {
            return KC_ERR_PARSE;
        }
        KcName_Copy(head->part[section][i], hash, KC_HASH_TEXT);
    }
    head->part_count[section] = (uint32_t)count;
    KcName_Copy(head->author[section], author != NULL ? author : "",
                KC_NAME_MAX);
    head->changed[section] =
        (uint64_t)json_integer_value(json_object_get(object, "changed"));
    return 0;
}

int
KcHead_Decode(const char *text, size_t size, KcHead *head)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    json_t *sections = json_object_get(root, "sections");
    json_int_t generation =
        json_integer_value(json_object_get(root, "generation"));
    int code = generation > 0 ? 0 : KC_ERR_PARSE;

    memset(head, 0, sizeof(*head));
    head->generation = (uint64_t)generation;
    for (int i = 0; i < KC_SECTION_COUNT && code == 0; i++) {
        const char *name = KcSection_Name((KcSection)i);

        code = decode_section(json_object_get(sections, name), head, i);
    }
    json_decref(root);
    return code;
}
