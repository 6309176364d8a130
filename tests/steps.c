/*
 * Cases that are written as steps.
 */
#include "steps.h"

#include <string.h>

static void
run_step(struct Script *script, const Step *steps, size_t count,
         const char *text)
{
    char **words = g_strsplit(text, " ", -1);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(steps[i].name, words[0]) == 0) {
            steps[i].run(script, words);
            g_strfreev(words);
            return;
        }
    }
    g_error("no step %s", words[0]);
}

void
Steps_Run(struct Script *script, const Step *steps, size_t count,
          const char *text)
{
    char **texts = g_strsplit(text, ";", -1);

    for (char **at = texts; *at != NULL; at++) {
        run_step(script, steps, count, *at);
    }
    g_strfreev(texts);
}

void
Steps_AddCases(const char *path, const void *rows, size_t count, size_t size,
               GTestDataFunc function)
{
    for (size_t i = 0; i < count; i++) {
        const char *name =
            *(const char *const *)((const char *)rows + i * size);
        char *whole = g_strdup_printf("%s/%s", path, name);

        g_test_add_data_func(whole, GSIZE_TO_POINTER(i), function);
        g_free(whole);
    }
}
