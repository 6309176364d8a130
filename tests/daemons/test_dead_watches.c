/*
 * Tests that a gateway knows a change though the connection of its watch is
 * dead, with real processes.  A watch of these collections lasts 30 s.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../steps.h"
#include "gateway_cluster.h"

/* Twice the longest promise of a change, for a busy machine. */
#define KNOWN_TIMEOUT (10 * G_USEC_PER_SEC)

static GatewayCluster *cluster;
static uint8_t network_octet;

static void
write_config(int version)
{
    GatewayCluster_WriteConfig(cluster, version, false);
}

static void
announce_version(int version)
{
    GatewayCluster_AnnounceVersion(cluster, "a1", version);
}

/* Changes 2 and 3 of a collection; the watch begun after 2 is dead. */
static const struct {
    const char *name;
    const char *knob;
    void (*change)(int number);
    const char *log_format; /* of the gateway, with the change's number */
    int gateways;
    int config_ms; /* 0: the default; else no check comes in time */
} cases[] = {
    {"configuration", "dead_watch=1", write_config,
     "generation=%d step=\"routing\" msg=\"configuration read", 1, 0},
    {"version", "dead_watch=2", announce_version,
     "msg=\"version %d is announced", 1, 0},
    {"configuration that another gateway knows", "dead_watch=1", write_config,
     "generation=%d step=\"routing\" msg=\"configuration read", 2, 60000},
};

static bool
is_known_by(size_t index, int gateway, int number)
{
    char line[256];
    char *log =
        GatewayCluster_ReadLog(cluster, GATEWAY_CLUSTER_GATEWAY, gateway);
    bool is_found;

    snprintf(line, sizeof(line), cases[index].log_format, number);
    g_assert_nonnull(log);
    is_found = strstr(log, line) != NULL;
    free(log);
    return is_found;
}

static bool
is_known(size_t index, int number)
{
    bool by_all = true;

    for (int i = 0; i < cases[index].gateways; i++) {
        by_all = by_all && is_known_by(index, i, number);
    }
    return by_all;
}

static void
wait_until_known(size_t index, int number)
{
    gint64 started_at = g_get_monotonic_time();

    while (!is_known(index, number) &&
           g_get_monotonic_time() < started_at + KNOWN_TIMEOUT) {
        g_usleep(10000);
    }
    g_test_message("change %d: %d ms", number,
                   (int)((g_get_monotonic_time() - started_at) / 1000));
    g_assert_true(is_known(index, number));
}

/* Waits until the watch that is dead has begun. */
static void
wait_for_dead_watch(void)
{
    bool has_begun = false;

    for (int i = 0; i < 500 && !has_begun; i++) {
        json_t *state =
            GatewayCluster_ReadState(cluster, GATEWAY_CLUSTER_STORE, 0);

        has_begun =
            json_integer_value(json_object_get(state, "dead_watch")) == 0;
        json_decref(state);
        g_usleep(10000);
    }
    g_assert_true(has_begun);
}

static void
test_dead_watch(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = 1,
                                     .plain_workers = 1,
                                     .gateways = cases[index].gateways,
                                     .config_ms = cases[index].config_ms,
                                     .seed = 7};

    cluster = GatewayCluster_Start(&options);
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0,
                           cases[index].knob);
    cases[index].change(2);
    wait_for_dead_watch();
    cases[index].change(3);
    wait_until_known(index, 3);
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/dead_watches", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_dead_watch);
    return g_test_run();
}
