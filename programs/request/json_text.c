/*
 * Splits JSON text into members and elements.
 *
 * A position is a pointer into the text; functions that skip something return
 * the position behind it, or NULL when the text doesn't have it there.
 */
#include "json_text.h"

#include <string.h>

static const char *
skip_blanks(const char *at, const char *end)
{
    while (at < end &&
           (*at == ' ' || *at == '\t' || *at == '\r' || *at == '\n')) {
        at++;
    }
    return at;
}

static const char *
skip_character(const char *at, const char *end, char character)
{
    return at < end && *at == character ? at + 1 : NULL;
}

static const char *
skip_string(const char *at, const char *end)
{
    at = skip_character(at, end, '"');
    while (at != NULL && at < end && *at != '"') {
        at += *at == '\\' && at + 1 < end ? 2 : 1;
    }
    return at != NULL ? skip_character(at, end, '"') : NULL;
}

/* Skips an object or array with all that it contains. */
static const char *
skip_brackets(const char *at, const char *end)
{
    size_t depth = 0;

    while (at < end) {
        switch (*at) {
        case '{':
        case '[':
            depth++;
            break;
        case '}':
        case ']':
            if (--depth == 0) {
                return at + 1;
            }
            break;
        case '"':
            at = skip_string(at, end);
            if (at == NULL) {
                return NULL;
            }
            continue;
        default:
            break;
        }
        at++;
    }
    return NULL;
}

/* Skips a number, a literal, or what stands in its place. */
static const char *
skip_scalar(const char *at, const char *end)
{
    const char *start = at;

    while (at < end && strchr(",]}:\"[{ \t\r\n", *at) == NULL) {
        at++;
    }
    return at > start ? at : NULL;
}

static const char *
skip_value(const char *at, const char *end)
{
    if (at == end) {
        return NULL;
    }
    switch (*at) {
    case '"':
        return skip_string(at, end);
    case '{':
    case '[':
        return skip_brackets(at, end);
    default:
        return skip_scalar(at, end);
    }
}

/* Skips the bracket that opens an object or array, with the blanks around it.
 */
static const char *
skip_opening(const char *at, const char *end, char bracket)
{
    at = skip_character(skip_blanks(at, end), end, bracket);
    return at != NULL ? skip_blanks(at, end) : NULL;
}

/* Skips what stands between an item of an object or array and the next one, or
 * between the last one and the closing bracket. */
static const char *
skip_separator(const char *at, const char *end, char bracket)
{
    const char *next;

    at = skip_blanks(at, end);
    if (skip_character(at, end, bracket) != NULL) {
        return at;
    }
    next = skip_character(at, end, ',');
    if (next == NULL) {
        return NULL;
    }
    next = skip_blanks(next, end);
    return skip_character(next, end, bracket) == NULL ? next : NULL;
}

static KcBytes
bytes_between(const char *start, const char *end)
{
    return (KcBytes){start, (size_t)(end - start)};
}

/* Returns the position of the first character of a text. */
static const char *
start_of(KcBytes text)
{
    return text.size > 0 ? text.data : "";
}

/* ---- objects ------------------------------------------------------------- */

/* Sets the value of the member whose name, with its quotes, is key. */
static void
set_member(KcJsonMember *members, size_t count, KcBytes key, KcBytes value)
{
    for (size_t i = 0; i < count; i++) {
        if (strlen(members[i].name) == key.size - 2 &&
            memcmp(members[i].name, key.data + 1, key.size - 2) == 0) {
            members[i].value = value;
        }
    }
}

/* Takes one member.  Returns the position behind it, or NULL. */
static const char *
take_member(const char *at, const char *end, KcJsonMember *members,
            size_t count)
{
    const char *key_start = at;
    const char *key_end = skip_string(at, end);
    const char *value_start;

    if (key_end == NULL) {
        return NULL;
    }
    at = skip_character(skip_blanks(key_end, end), end, ':');
    if (at == NULL) {
        return NULL;
    }
    value_start = skip_blanks(at, end);
    at = skip_value(value_start, end);
    if (at != NULL) {
        set_member(members, count, bytes_between(key_start, key_end),
                   bytes_between(value_start, at));
    }
    return at;
}

int
KcJsonText_FindMembers(KcBytes text, KcJsonMember *members, size_t count)
{
    const char *at = start_of(text);
    const char *end = at + text.size;

    for (size_t i = 0; i < count; i++) {
        members[i].value = (KcBytes){NULL, 0};
    }
    at = skip_opening(at, end, '{');
    while (at != NULL && skip_character(at, end, '}') == NULL) {
        at = take_member(at, end, members, count);
        at = at != NULL ? skip_separator(at, end, '}') : NULL;
    }
    return at != NULL && skip_blanks(at + 1, end) == end ? 0 : KC_ERR_PARSE;
}

/* ---- arrays -------------------------------------------------------------- */

int
KcJsonText_BeginArray(KcBytes *rest)
{
    const char *end = start_of(*rest) + rest->size;
    const char *at = skip_opening(start_of(*rest), end, '[');

    if (at == NULL) {
        return KC_ERR_PARSE;
    }
    *rest = bytes_between(at, end);
    return 0;
}

int
KcJsonText_TakeElement(KcBytes *rest, KcBytes *element)
{
    const char *start = start_of(*rest);
    const char *end = start + rest->size;
    const char *at;

    if (skip_character(start, end, ']') != NULL) {
        return skip_blanks(start + 1, end) == end ? 0 : KC_ERR_PARSE;
    }
    at = skip_value(start, end);
    if (at == NULL) {
        return KC_ERR_PARSE;
    }
    *element = bytes_between(start, at);
    at = skip_separator(at, end, ']');
    if (at == NULL) {
        return KC_ERR_PARSE;
    }
    *rest = bytes_between(at, end);
    return 1;
}

/* ---- values -------------------------------------------------------------- */

json_t *
KcJsonText_Decode(KcBytes text, size_t flags)
{
    return text.size > 0 ? json_loadb(text.data, text.size,
                                      JSON_DECODE_ANY | flags, NULL)
                         : NULL;
}

int
KcJsonText_DecodeInteger(KcBytes text, int64_t *number)
{
    json_t *value = KcJsonText_Decode(text, 0);
    int code = json_is_integer(value) ? 0 : KC_ERR_PARSE;

    if (code == 0) {
        *number = json_integer_value(value);
    }
    json_decref(value);
    return code;
}

json_t *
KcJsonText_DecodeMembers(KcBytes text, KcJsonMember *members, size_t count)
{
    json_t *object;

    if (KcJsonText_FindMembers(text, members, count) != 0) {
        return NULL;
    }
    object = json_object();
    for (size_t i = 0; i < count; i++) {
        if (members[i].value.size > 0 &&
            json_object_set_new(object, members[i].name,
                                KcJsonText_Decode(members[i].value, 0)) != 0) {
            json_decref(object);
            return NULL;
        }
    }
    return object;
}

int
KcJsonText_CopyMember(const json_t *object, const char *name, char *text,
                      size_t size)
{
    const char *value = json_string_value(json_object_get(object, name));

    if (value == NULL || strlen(value) >= size) {
        return KC_ERR_PARSE;
    }
    KcText_Copy(text, value, size);
    return 0;
}
