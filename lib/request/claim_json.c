/*
 * Encodes and decodes claim objects as JSON.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "kcc_request.h"

static const char *const mark_names[] = {
    [KC_CLAIM_CLAIMED] = "claimed",
    [KC_CLAIM_DONE] = "done",
    [KC_CLAIM_RELEASED] = "released",
    [KC_CLAIM_UNKNOWN] = "unknown",
};

#define MARK_COUNT (sizeof(mark_names) / sizeof(mark_names[0]))

size_t
KcClaimValue_Encode(const KcClaimValue *value, char *text, size_t size)
{
    return (size_t)snprintf(text, size, "{\"token\":\"%s\",\"mark\":\"%s\"}",
                            value->token, mark_names[value->mark]);
}

int
KcClaimValue_Decode(KcBytes bytes, KcClaimValue *value)
{
    json_t *root = json_loadb(bytes.data, bytes.size, 0, NULL);
    const char *token = json_string_value(json_object_get(root, "token"));
    const char *mark = json_string_value(json_object_get(root, "mark"));
    int code = KC_ERR_PARSE;

    if (token != NULL && mark != NULL) {
        KcName_Copy(value->token, token, sizeof(value->token));
        for (size_t i = 0; i < MARK_COUNT; i++) {
            if (strcmp(mark_names[i], mark) == 0) {
                value->mark = (KcClaimMark)i;
                code = 0;
            }
        }
    }
    json_decref(root);
    return code;
}
