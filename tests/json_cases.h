/*
 * JSON of test cases, in short form.
 */
#ifndef KCC_TEST_JSON_CASES_H
#define KCC_TEST_JSON_CASES_H

#include <glib.h>

/*
 * Expands a text: single quotes stand for double ones, DEEP and DEEP_OBJECT
 * for arrays and objects nested deeper than the JSON library decodes, LONG for
 * the characters of a name longer than any buffer for one.  The caller frees
 * it with g_free().
 */
char *JsonCases_Expand(const char *text);

#endif
