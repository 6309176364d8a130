/*
 * Expands the JSON of test cases.
 */
#include "json_cases.h"

/* More than the JSON library's 2048; the text is small enough for the requests
 * of gateway_cluster.c. */
#define DEEP_LEVELS 3000
#define LONG_NAME_LENGTH 1000

/* Replaces a word by nested values. */
static void
replace_nested(GString *text, const char *word, const char *open,
               const char *close)
{
    GString *nested = g_string_new("1");

    for (int i = 0; i < DEEP_LEVELS; i++) {
        g_string_prepend(nested, open);
        g_string_append(nested, close);
    }
    g_string_replace(text, word, nested->str, 0);
    g_string_free(nested, TRUE);
}

char *
JsonCases_Expand(const char *text)
{
    GString *expanded = g_string_new(text);
    char *name = g_strnfill(LONG_NAME_LENGTH, 'n');

    replace_nested(expanded, "DEEP_OBJECT", "{'a':", "}");
    replace_nested(expanded, "DEEP", "[", "]");
    g_string_replace(expanded, "LONG", name, 0);
    g_free(name);
    g_strdelimit(expanded->str, "'", '"');
    return g_string_free(expanded, FALSE);
}
