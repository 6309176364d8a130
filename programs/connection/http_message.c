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

/* Returns whether text goes on with a status line behind "HTTP/1.". */
static bool
is_status_line(const char *text)
{
    static const char digits[] = "0123456789";

    if (strspn(text, digits) != 1 || text[1] != ' ') {
        return false;
    }
    text += 2;
    return strspn(text, digits) == 3 && (text[3] == ' ' || text[3] == '\0');
}

bool
KcHttpText_HoldsStatusLine(const char *text)
{
    static const char version[] = "HTTP/1.";

    while ((text = strstr(text, version)) != NULL) {
        text += strlen(version);
        if (is_status_line(text)) {
            return true;
        }
    }
    return false;
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
