/*
 * Tests of the decoder of the platform's instance list: an element that is not
 * valid hides no other.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../../programs/process/instances_http.h"
#include "../json_cases.h"

/* Lists are written as in json_cases.h. */
#define INSTANCE(name, service)                                               \
    "{'name':'" name "','service':'" service "','datacentre':'d',"            \
    "'address':'127.0.0.1:1','state':'ready'}"

static const struct {
    const char *name;
    const char *list;
    const char *names; /* of the instances; NULL: the list is not valid */
    uint32_t entry_count;
} cases[] = {
    {"empty", "[]", "", 0},
    {"sound",
     "[" INSTANCE("v", "s") "," INSTANCE(
         "e", KC_ENTRY_SERVICE_NAME) "," INSTANCE("w", "s") "]",
     "v w ", 1},
    {"missing field", "[{'name':'v'}," INSTANCE("w", "s") "]", "w ", 0},
    {"no objects", "[5,null,[]," INSTANCE("w", "s") "]", "w ", 0},
    {"nested element", "[DEEP," INSTANCE("w", "s") "]", "w ", 0},
    {"nested field", "[{'name':'v','x':DEEP}," INSTANCE("w", "s") "]", "w ",
     0},
    {"number beyond 64 bits",
     "[{'name':123456789012345678901234567890}," INSTANCE("w", "s") "]", "w ",
     0},
    {"bytes that are no UTF-8", "[{'name':'\xff'}," INSTANCE("w", "s") "]",
     "w ", 0},
    {"no list", "{'items':[]}", NULL, 0},
    {"cut off", "[" INSTANCE("w", "s"), NULL, 0},
    {"no JSON", "busy", NULL, 0},
    {"nothing", "", NULL, 0},
};

static void
test_decode(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *list = JsonCases_Expand(cases[i].list);
        GString *names = g_string_new("");
        KcInstance *instances = NULL;
        uint32_t entry_count = 0;
        int count = KcInstanceList_Decode((KcBytes){list, strlen(list)},
                                          &instances, &entry_count);

        g_test_message("%s", cases[i].name);
        for (int j = 0; j < count; j++) {
            g_string_append_printf(names, "%s ", instances[j].name);
        }
        if (cases[i].names == NULL) {
            g_assert_cmpint(count, ==, KC_ERR_PARSE);
            g_assert_null(instances);
        }
        else {
            g_assert_cmpstr(names->str, ==, cases[i].names);
            g_assert_cmpuint(entry_count, ==, cases[i].entry_count);
            g_assert_nonnull(instances);
            free(instances);
        }
        g_string_free(names, TRUE);
        g_free(list);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/instances/decode", test_decode);
    return g_test_run();
}
