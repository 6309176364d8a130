/*
 * Looks up the headers of a message and checks their characters.
 */
#include "http_message.h"

#include <string.h>
#include <strings.h>

static bool
is_token(const char *name)
{
    static const char punctuation[] = "!#$%&'*+-.^_`|~";

    if (*name == '\0') {
        return false;
    }
    for (; *name != '\0'; name++) {
        bool alphanumeric = (*name >= 'a' && *name <= 'z') ||
                            (*name >= 'A' && *name <= 'Z') ||
                            (*name >= '0' && *name <= '9');

        if (!alphanumeric && strchr(punctuation, *name) == NULL) {
            return false;
        }
    }
    return true;
}

static bool
is_field_value(const char *value)
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
KcHttpField_HasValidCharacters(const KcHttpField *field)
{
    return is_token(field->name) && is_field_value(field->value);
}

bool
KcHttpField_HoldsStatusLine(const KcHttpField *field)
{
    static const char digits[] = "0123456789";
    const char *version = strstr(field->value, "HTTP/1.");
    const char *status;

    if (version == NULL) {
        return false;
    }
    status = version + strlen("HTTP/1.");
    if (strspn(status, digits) != 1 || status[1] != ' ') {
        return false;
    }
    status += 2;
    return strspn(status, digits) == 3 &&
           (status[3] == ' ' || status[3] == '\0');
}

const char *
KcHttpMessage_FindField(const KcHttpMessage *message, const char *name)
{
    for (size_t i = 0; i < message->field_count; i++) {
        if (strcasecmp(message->fields[i].name, name) == 0) {
            return message->fields[i].value;
        }
    }
    return NULL;
}

/*
 * Returns whether token is an element of a list separated by commas or blanks.
 */
static bool
list_has_token(const char *list, const char *token)
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
KcHttpMessage_FieldHasToken(const KcHttpMessage *message, const char *name,
                            const char *token)
{
    for (size_t i = 0; i < message->field_count; i++) {
        if (strcasecmp(message->fields[i].name, name) == 0 &&
            list_has_token(message->fields[i].value, token)) {
            return true;
        }
    }
    return false;
}
