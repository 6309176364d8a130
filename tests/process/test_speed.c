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

/* ---- speed --------------------------------------------------------------- */

#define READINGS_MAX 4

/* What a server tells, after so many ms each; percent 0 is nothing told.  Then
 * what is expected so long after the last. */
static const struct {
    const char *name;
    struct {
        int after_ms;
        uint32_t percent;
    } readings[READINGS_MAX];
    int after_ms;
    bool is_told;
    uint32_t percent;
} speed_cases[] = {
    {"nothing told", {{0, 0}}, 0, false, 100},
    {"a fresh reading counts in full", {{0, 250}}, 0, true, 250},
    {"the only reading is all that is known", {{0, 250}}, 60000, true, 250},
    {"a change counts in full at once", {{0, 100}, {10, 250}}, 0, true, 250},
    {"half of it after half its time", {{0, 100}, {1, 300}}, 300, true, 200},
    {"nothing beyond the mean at its end",
     {{0, 100}, {1, 300}},
     600,
     true,
     100},
    {"many readings of one moment count once in the mean",
     {{0, 100}, {1, 300}, {0, 300}, {0, 300}},
     600,
     true,
     100},
    {"readings that stay become the mean",
     {{0, 100}, {2000, 200}, {2000, 200}, {2000, 200}},
     600,
     true,
     188},
    {"a reading after a long time is the mean",
     {{0, 100}, {4000, 300}},
     5000,
     true,
     300},
    {"a server that is fast for good", {{0, 55}, {500, 55}}, 5000, true, 55},
    {"a reading that is nothing changes nothing",
     {{0, 120}, {100, 0}},
     100,
     true,
     120},
};

static void
test_speed(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcSpeed speed = {.told_at = 0};
    KcTime now = KC_SECOND;

    for (int i = 0; i < READINGS_MAX; i++) {
        now += speed_cases[index].readings[i].after_ms * KC_MS;
        KcSpeed_NoteTold(&speed, speed_cases[index].readings[i].percent, now);
    }
    now += speed_cases[index].after_ms * KC_MS;
    g_assert_cmpint(KcSpeed_IsTold(&speed), ==, speed_cases[index].is_told);
    g_assert_cmpuint(KcSpeed_Percent(&speed, now), ==,
                     speed_cases[index].percent);
}

/* ---- placing ------------------------------------------------------------- */

static const struct {
    const char *name;
    uint32_t percent; /* 0: never told */
    KcPlacingWork work;
    KcTime cost;
} placing_cases[] = {
    {"a server that never told its speed", 0, {60000, 40000}, 0},
    {"one that is as fast as usual", 100, {60000, 40000}, 0},
    {"a slow one adds to the request and to what is there",
     250,
     {60000, 40000},
     150000},
    {"a fast one takes away", 55, {60000, 40000}, -45000},
    {"without work", 250, {0, 0}, 0},
};

static void
test_placing(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcSpeed speed = {.told_at = 0};

    KcSpeed_NoteTold(&speed, placing_cases[index].percent, KC_SECOND);
    g_assert_cmpint(
        KcPlacing_SpeedCost(&speed, &placing_cases[index].work, KC_SECOND), ==,
        placing_cases[index].cost);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/speed/connections", connection_cases,
                   G_N_ELEMENTS(connection_cases), sizeof(connection_cases[0]),
                   test_connections);
    Steps_AddCases("/speed/estimate", speed_cases, G_N_ELEMENTS(speed_cases),
                   sizeof(speed_cases[0]), test_speed);
    Steps_AddCases("/speed/placing", placing_cases,
                   G_N_ELEMENTS(placing_cases), sizeof(placing_cases[0]),
                   test_placing);
    return g_test_run();
}
