/*
 * Test cases written as text steps, "name word word;name word", and the
 * registration of case tables as GLib tests.
 */
#ifndef KCC_TEST_STEPS_H
#define KCC_TEST_STEPS_H

#include <glib.h>

/* State that the steps of a case work on; each test program defines it. */
struct Fixture;

/* The function that runs the steps of one name. */
typedef struct StepHandler {
    const char *name;
    /* words[0] is the step's name; NULL follows the last word. */
    void (*run)(struct Fixture *fixture, char **words);
} StepHandler;

/* Runs the steps of a text in order; an unknown step name aborts the test. */
void Steps_Run(struct Fixture *fixture, const StepHandler *handlers,
               size_t handler_count, const char *text);

/*
 * Adds a test "PATH/NAME" for each row of a table.  A row begins with its name
 * as a const char *; row_size is in bytes.  The function is passed the row's
 * index as its data, see GPOINTER_TO_SIZE().
 */
void Steps_AddCases(const char *path, const void *rows, size_t row_count,
                    size_t row_size, GTestDataFunc function);

#endif
