/*
 * Tests the statuses of requests of the model API that failed.
 */
#include <glib.h>

#include "../../programs/request/answer.h"
#include "../steps.h"

static const struct {
    const char *name;
    int code;
    KcOutcome outcome;
    int status;
} cases[] = {
    {"refused", KC_ERR_BUSY, KC_OUTCOME_NOT_RUN, 503},
    {"above a limit", KC_ERR_LIMIT_EXCEEDED, KC_OUTCOME_NOT_RUN, 429},
    {"refused at a planned stop", KC_ERR_LEAVING, KC_OUTCOME_NOT_RUN, 503},
    {"refused after an attempt that may have run", KC_ERR_BUSY,
     KC_OUTCOME_UNKNOWN, 502},
    {"cut off by a planned stop", KC_ERR_LEAVING, KC_OUTCOME_UNKNOWN, 502},
    {"key used before", KC_ERR_DUPLICATE, KC_OUTCOME_UNKNOWN, 409},
    {"deadline passed, unknown", KC_ERR_DEADLINE_EXCEEDED, KC_OUTCOME_UNKNOWN,
     504},
    {"lost", KC_ERR_PEER_LOST, KC_OUTCOME_UNKNOWN, 502},
};

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcResult result = {.outcome = cases[index].outcome,
                       .error = {.code = cases[index].code}};

    g_assert_cmpint(KcAnswer_HttpStatus(&result), ==, cases[index].status);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/answer", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
