/*
 * Runs test cases written as text steps, and registers case tables as tests.
 */
#include "steps.h"

#include <string.h>

static void
run_step(struct Fixture *fixture, const StepHandler *handlers,
         size_t handler_count, const char *text)
{
    char **words = g_strsplit(text, " ", -1);

    for (size_t i = 0; i < handler_count; i++) {
        if (strcmp(handlers[i].name, words[0]) == 0) {
            handlers[i].run(fixture, words);
            g_strfreev(words);
            return;
        }
    }
    g_error("no step %s", words[0]);
}

void
Steps_Run(struct Fixture *fixture, const StepHandler *handlers,
          size_t handler_count, const char *text)
{
    char **texts = g_strsplit(text, ";", -1);

    for (char **step = texts; *step != NULL; step++) {
        run_step(fixture, handlers, handler_count, *step);
    }
    g_strfreev(texts);
}

void
Steps_AddCases(const char *path, const void *rows, size_t row_count,
               size_t row_size, GTestDataFunc function)
{
    for (size_t i = 0; i < row_count; i++) {
        const char *name =
            *(const char *const *)((const char *)rows + i * row_size);
        char *test_path = g_strdup_printf("%s/%s", path, name);

        g_test_add_data_func(test_path, GSIZE_TO_POINTER(i), function);
        g_free(test_path);
    }
}
