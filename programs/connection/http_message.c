/*
 * Headers of a message: looking for them, and what they may be made of.
 */
#include "http_message.h"

#include <string.h>
#include <strings.h>

static bool
is_token(const char *name)
{
    static const char others[] = "!#$%&'*+-.^_`|~";

    if (*name == '\0') {
        return false;
    }
    for (; *name != '\0'; name++) {
        bool letter = (*name >= 'a' && *name <= 'z') ||
                      (*name >= 'A' && *name <= 'Z') ||
                      (*name >= '0' && *name <= '9');

        if (!letter && strchr(others, *name) == NULL) {
            return false;
        }
    }
    return true;
}

static bool
is_value(const char *value)
{
    for (; *value != '\0'; value++) {
        if ((unsigned char)*value < ' ' && *value != '\t') {
            return false;
        }
        if (*value == 0x7f) {
            return false;
        }
    }
    return true;
}

bool
KcHttpField_IsValid(const KcHttpField *field)
{
    return is_token(field->name) && is_value(field->value);
}

const char *
KcHttpMessage_Find(const KcHttpMessage *message, const char *name)
{
    for (size_t i = 0; i < message->field_count; i++) {
        if (strcasecmp(message->fields[i].name, name) == 0) {
            return message->fields[i].value;
        }
    }
    return NULL;
}

/* Is token an element of a comma-separated list? */
static bool
list_has(const char *list, const char *token)
{
    size_t length = strlen(token);

    while (*list != '\0') {
        size_t size;

        list += strspn(list, " \t,");
        size = strcspn(list, " \t,");
        if (size == length && strncasecmp(list, token, length) == 0) {
            return true;
        }
        list += size;
    }
    return false;
}

bool
KcHttpMessage_Lists(const KcHttpMessage *message, const char *name,
                    const char *token)
{
    for (size_t i = 0; i < message->field_count; i++) {
        if (strcasecmp(message->fields[i].name, name) == 0 &&
            list_has(message->fields[i].value, token)) {
            return true;
        }
    }
    return false;
}
