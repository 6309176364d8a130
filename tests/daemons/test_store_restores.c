/*
 * Tests that a gateway goes on serving what the store had acknowledged, when
 * the store comes back from a copy that lacks it and it is written again by
 * lower revisions, with real processes: a route that was added, and the only
 * server of its service.  Gateways' own records are there again, too.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../steps.h"
#include "gateway_cluster.h"

/* In steady state so long after the store's return. */
#define SETTLING_MS 4000
#define REQUESTS 20
#define REQUEST_INTERVAL_MS 100
#define KNOWN_TIMEOUT_MS 10000
/* What the operator has lost is written again after this time. */
#define REWRITE_DELAY_MS 500
#define GATEWAYS 2
#define PATH "/extra/x"

/* What happens beside a restore. */
typedef enum Company {
    ALONE = 0,
    KILLED_GATEWAY, /* each time another one */
    KILLED_SERVER   /* it is back under its id */
} Company;

static const struct {
    const char *name;
    int away_ms;          /* 0: calls that wait go on */
    int register_ms;      /* after its return the server registers again */
    int changes_lost;     /* beside those that the test needs */
    int restores;         /* in series, from the same copy */
    int restore_interval; /* ms */
    Company company;
} cases[] = {
    {"the store is away for a moment", 150, 1900, 0, 1, 0, ALONE},
    {"the store is never seen away", 0, 1900, 3, 1, 0, ALONE},
    {"the store is away for longer, and lost much", 2500, 1000, 40, 1, 0,
     ALONE},
    {"three restores in series", 150, 1900, 3, 3, 400, ALONE},
    {"restores before the server has registered again", 150, 500, 3, 3, 0,
     ALONE},
    {"a gateway is killed", 150, 1900, 3, 1, 0, KILLED_GATEWAY},
    {"the server is killed", 150, 1000, 3, 1, 0, KILLED_SERVER},
    {"restores in series, gateways are killed", 300, 1900, 8, 2, 2500,
     KILLED_GATEWAY},
};

static GatewayCluster *cluster;
static uint8_t network_octet;
static int request_count;

static void
sleep_ms(int duration)
{
    g_usleep((gulong)duration * 1000);
}

static bool
is_served(int gateway)
{
    char request[256];
    char answer[4096];
    int size = snprintf(request, sizeof(request),
                        "GET " PATH " HTTP/1.1\r\nHost: h\r\n"
                        "Attempt-Id: r%d\r\nConnection: close\r\n\r\n",
                        ++request_count);

    GatewayCluster_Exchange(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, gateway),
        request, (size_t)size, answer, sizeof(answer), 3000);
    return GatewayCluster_ReadStatus(answer) == 200;
}

static bool
is_served_by_all(void)
{
    bool by_all = true;

    for (int i = 0; i < GATEWAYS; i++) {
        by_all = is_served(i) && by_all;
    }
    return by_all;
}

static void
kill_process(GatewayClusterRole role, int number)
{
    GatewayCluster_SendSignal(cluster, role, number, SIGKILL);
    GatewayCluster_WaitForExit(cluster, role, number);
}

static void
start_server(void)
{
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_PLAIN_WORKER, 0);
}

/* Has the store the record of a gateway? */
static bool
has_gateway_record(int gateway)
{
    char request[256];
    char answer[4096];
    int size = snprintf(request, sizeof(request),
                        "GET /objects/kcc-gateways/gateway-%d HTTP/1.1\r\n"
                        "Host: s\r\n\r\n",
                        gateway);

    GatewayCluster_Exchange(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_STORE, 0), request,
        (size_t)size, answer, sizeof(answer), 3000);
    return GatewayCluster_ReadStatus(answer) == 200;
}

/* Makes a copy, and the changes that it lacks. */
static void
make_changes(size_t index)
{
    kill_process(GATEWAY_CLUSTER_PLAIN_WORKER, 0);
    GatewayCluster_DeleteObject(cluster, "servers", "plain-0");
    GatewayCluster_DeleteObject(cluster, "kcc-gateways", "gateway-1");
    GatewayCluster_CopyStore(cluster);
    kill_process(GATEWAY_CLUSTER_GATEWAY, 1);
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_GATEWAY, 1);
    for (int i = 0; i < cases[index].changes_lost; i++) {
        GatewayCluster_AnnounceVersion(cluster, "a1", 2 + i);
    }
    GatewayCluster_WriteConfig(cluster, 2, false);
    GatewayCluster_WriteConfig(cluster, 3, true);
    start_server();
    for (int waited = 0; !is_served_by_all() || !has_gateway_record(1);
         waited += 100) {
        g_assert_cmpint(waited, <, KNOWN_TIMEOUT_MS);
        sleep_ms(100);
    }
}

static void
hold_record(bool is_held)
{
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_PLAIN_WORKER, 0,
                           is_held ? "record_held=1" : "record_held=0");
}

static void
restore_store(size_t index, int number)
{
    hold_record(true);
    GatewayCluster_RestoreStore(cluster, cases[index].away_ms);
    switch (cases[index].company) {
    case ALONE:
        break;
    case KILLED_GATEWAY:
        kill_process(GATEWAY_CLUSTER_GATEWAY, number % GATEWAYS);
        GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_GATEWAY,
                                      number % GATEWAYS);
        break;
    case KILLED_SERVER:
        kill_process(GATEWAY_CLUSTER_PLAIN_WORKER, 0);
        start_server();
        break;
    }
    sleep_ms(cases[index].away_ms + REWRITE_DELAY_MS);
    GatewayCluster_WriteConfig(cluster, 3, true);
    sleep_ms(cases[index].register_ms - REWRITE_DELAY_MS);
    hold_record(false);
}

static void
test_restore(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = 1,
                                     .plain_workers = 1,
                                     .gateways = GATEWAYS,
                                     .seed = 7};
    int served = 0;

    cluster = GatewayCluster_Start(&options);
    make_changes(index);
    for (int i = 0; i < cases[index].restores; i++) {
        if (i > 0) {
            sleep_ms(cases[index].restore_interval);
        }
        restore_store(index, i);
    }
    sleep_ms(SETTLING_MS - cases[index].register_ms);
    for (int i = 0; i < REQUESTS; i++) {
        served += is_served(i % GATEWAYS) ? 1 : 0;
        sleep_ms(REQUEST_INTERVAL_MS);
    }
    g_assert_cmpint(served, ==, REQUESTS);
    for (int i = 0; i < GATEWAYS; i++) {
        g_assert_true(has_gateway_record(i));
    }
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/store_restores", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_restore);
    return g_test_run();
}
