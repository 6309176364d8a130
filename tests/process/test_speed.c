/*
 * Tables of cases for the decisions by the speed of servers, and the parts of
 * what servers share among gateways.
 */
#include <glib.h>

#include <kcc.h>

#include "../steps.h"

/* ---- connections --------------------------------------------------------- */

static const struct {
    const char *name;
    uint32_t connections_max;
    uint32_t gateway_count;
    uint32_t in_flight;
    uint32_t part;
    uint32_t idle_max;
} connection_cases[] = {
    {"without a limit", 0, 21, 3, UINT32_MAX, UINT32_MAX - 3},
    {"one gateway leaves a fifth", 100, 1, 0, 80, 80},
    {"the number of gateways is not known", 100, 0, 30, 80, 50},
    {"each gateway has its part", 190, 21, 2, 7, 5},
    {"requests use up the part", 190, 21, 7, 7, 0},
    {"requests beyond the part", 190, 21, 9, 7, 0},
    {"more gateways than connections", 16, 340, 0, 1, 1},
    {"the largest limit", UINT32_MAX, 1, 0, 3435973836, 3435973836},
};

static void
test_connections(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    uint32_t part = KcConnections_Part(connection_cases[index].connections_max,
                                       connection_cases[index].gateway_count);

    g_assert_cmpuint(part, ==, connection_cases[index].part);
    g_assert_cmpuint(
        KcConnections_IdleMax(part, connection_cases[index].in_flight), ==,
        connection_cases[index].idle_max);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/speed/connections", connection_cases,
                   G_N_ELEMENTS(connection_cases), sizeof(connection_cases[0]),
                   test_connections);
    return g_test_run();
}
