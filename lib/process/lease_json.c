/*
 * JSON encoding of lease objects.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_process.h"

size_t
KcLeaseValue_Encode(const KcLeaseValue *value, char *text, size_t size)
{
    json_t *root = json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:s, s:s, s:s, s:b}", "holder",
        value->holder, "token", value->token, "fence",
        (json_int_t)value->fence, "generation", (json_int_t)value->generation,
        "confirmed_us", (json_int_t)value->confirmed_us, "renewed_us",
        (json_int_t)value->renewed_us, "ttl_us", (json_int_t)value->ttl_us,
        "role", value->role, "datacentre", value->datacentre, "admin",
        value->admin, "leaving", (int)value->leaving);
    size_t length = json_dumpb(root, text, size, JSON_COMPACT);

    json_decref(root);
    return length <= size ? length : 0;
}

/* Copies a string member, "" when it is missing. */
static void
copy_string(json_t *root, const char *key, char *target, size_t size)
{
    const char *text = json_string_value(json_object_get(root, key));

    KcName_Copy(target, text != NULL ? text : "", size);
}

static int64_t
get_integer(json_t *root, const char *key)
{
    return json_integer_value(json_object_get(root, key));
}

int
KcLeaseValue_Decode(KcBytes bytes, KcLeaseValue *value)
{
    json_t *root = json_loadb(bytes.data, bytes.size, 0, NULL);
    int code = KC_ERR_PARSE;

    memset(value, 0, sizeof(*value));
    copy_string(root, "holder", value->holder, sizeof(value->holder));
    copy_string(root, "token", value->token, sizeof(value->token));
    copy_string(root, "role", value->role, sizeof(value->role));
    copy_string(root, "datacentre", value->datacentre,
                sizeof(value->datacentre));
    copy_string(root, "admin", value->admin, sizeof(value->admin));
    value->fence = (uint64_t)get_integer(root, "fence");
    value->generation = (uint64_t)get_integer(root, "generation");
    value->confirmed_us = get_integer(root, "confirmed_us");
    value->renewed_us = get_integer(root, "renewed_us");
    value->ttl_us = get_integer(root, "ttl_us");
    value->leaving = json_is_true(json_object_get(root, "leaving"));
    if (value->fence > 0 && value->holder[0] != '\0') {
        code = 0;
    }
    json_decref(root);
    return code;
}
