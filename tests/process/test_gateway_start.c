/*
 * Tests of when a gateway that has started accepts callers' connections.
 */
#include <glib.h>

#include <kcc.h>

#include "../gateway_stubs.h"
#include "../steps.h"

#define START (100 * KC_SECOND)
/* A caller takes what was not read for a third of its deadline as lost. */
#define SHORTEST_DEADLINE (2 * KC_SECOND)

static const struct {
    const char *name;
    bool has_routing;
    bool has_servers;
    int64_t age_ms;
    bool is_open;
} cases[] = {
    {"at its start", false, false, 0, false},
    {"no configuration", false, true, 100, false},
    {"no servers", true, false, 100, false},
    {"both, at once", true, true, 0, true},
    {"both", true, true, 100, true},
    {"nothing for too long", false, false, 650, true},
    {"no servers for too long", true, false, 650, true},
    {"long after its start", false, false, 60000, true},
};

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcTime now = START + cases[index].age_ms * KC_MS;
    KcTime opens_at;
    KcGatewayOptions options;
    KcGateway *gateway;

    KcGatewayOptions_Init(&options);
    options.timers = KcTimers_Create(START);
    options.datacentre = "a";
    options.region_of = GatewayStubs_FindRegion;
    gateway = KcGateway_Create(&options);
    if (cases[index].has_routing) {
        KcGateway_SetRouting(gateway, KcRouting_Create(1));
    }
    if (cases[index].has_servers) {
        KcGateway_BeginServerList(gateway);
        KcGateway_EndServerList(gateway, START);
    }
    opens_at = KcGateway_OpensAt(gateway, START, now);
    g_assert_cmpint(opens_at, >=, now);
    g_assert_cmpint(opens_at == now, ==, cases[index].is_open);
    g_assert_true(cases[index].is_open ||
                  opens_at - START < SHORTEST_DEADLINE / 3);
    KcGateway_Free(gateway);
    KcTimers_Free(options.timers);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/gateway-start", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    return g_test_run();
}
