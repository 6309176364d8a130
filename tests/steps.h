/*
 * Cases that are written as steps: "name word word;name word", and tables of
 * cases as tests of GLib.
 */
#ifndef KCC_TEST_STEPS_H
#define KCC_TEST_STEPS_H

#include <glib.h>

/* What the steps of a case work on; each test has its own. */
struct Script;

typedef struct Step {
    const char *name;
    /* words[0] is the name; NULL follows the last word. */
    void (*run)(struct Script *script, char **words);
} Step;

/* Runs each step of the text; an unknown one fails the test. */
void Steps_Run(struct Script *script, const Step *steps, size_t count,
               const char *text);

/*
 * Adds a test for each row of a table whose rows begin with their name.  The
 * function is given the number of the row.
 */
void Steps_AddCases(const char *path, const void *rows, size_t count,
                    size_t size, GTestDataFunc function);

#endif
