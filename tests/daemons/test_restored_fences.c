/*
 * Tests that the fencing numbers of a keeper's processes rise, with real ones,
 * while the store comes back from a copy and gives its revisions out again: a
 * worker that checks fences would refuse all orders of a lower one.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "../steps.h"
#include "gateway_cluster.h"

#define FENCE_TIMEOUT_MS 10000

/* When the keeper is killed and started again. */
typedef enum Kill {
    NEVER = 0,
    BEFORE, /* the store goes away */
    DURING, /* it is away */
    AFTER   /* it is back */
} Kill;

static const struct {
    const char *name;
    bool is_copy_without; /* the copy was made before its first record */
    int changes_lost;     /* by others */
    int starts_lost;      /* of the keeper */
    int away_ms;          /* 0: calls that wait go on */
    int restores;         /* in series, from the same copy */
    Kill kill;            /* at each of them */
} cases[] = {
    {"killed after a restore", false, 0, 3, 500, 1, AFTER},
    {"killed after a restore that is not seen", false, 10, 1, 0, 1, AFTER},
    {"killed while the store is away", false, 10, 1, 1500, 1, DURING},
    {"killed before a restore", false, 3, 1, 500, 1, BEFORE},
    {"the copy has no record of it", true, 3, 2, 500, 1, AFTER},
    {"never restarted", false, 3, 1, 500, 2, NEVER},
    {"killed after each of several restores", false, 20, 1, 300, 3, AFTER},
    {"killed during each of several restores", true, 20, 2, 1000, 3, DURING},
};

static GatewayCluster *cluster;
static uint8_t network_octet;

/* Counts the fencing numbers in the keeper's log, which must rise. */
static int
count_fences(void)
{
    static const char fence_log_text[] = "fencing number ";
    char *text = GatewayCluster_ReadLog(cluster, GATEWAY_CLUSTER_KEEPER, 0);
    const char *match = text;
    uint64_t last_fence = 0;
    int count = 0;

    while (match != NULL && (match = strstr(match, fence_log_text)) != NULL) {
        uint64_t fence;

        match += strlen(fence_log_text);
        fence = strtoull(match, NULL, 10);
        g_assert_cmpuint(fence, >, last_fence);
        last_fence = fence;
        count++;
    }
    free(text);
    return count;
}

static void
wait_for_fences(int count)
{
    for (int waited = 0; count_fences() < count; waited += 50) {
        g_assert_cmpint(waited, <, FENCE_TIMEOUT_MS);
        g_usleep(50000);
    }
}

static void
restart_keeper(void)
{
    GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_KEEPER, 0, SIGKILL);
    GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_KEEPER, 0);
    GatewayCluster_RestartProcess(cluster, GATEWAY_CLUSTER_KEEPER, 0);
}

/* Restarts the keeper and waits until it has its fencing number. */
static void
renew_keeper(void)
{
    int count = count_fences();

    restart_keeper();
    wait_for_fences(count + 1);
}

static void
restore_store(size_t index)
{
    int count = count_fences();

    if (cases[index].kill == BEFORE) {
        restart_keeper();
    }
    GatewayCluster_RestoreStore(cluster, cases[index].away_ms);
    if (cases[index].kill == DURING) {
        restart_keeper();
    }
    g_usleep((gulong)cases[index].away_ms * 1000);
    if (cases[index].kill == AFTER) {
        restart_keeper();
    }
    if (cases[index].kill != NEVER) {
        wait_for_fences(count + 1);
    }
}

static void
test_fences(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = 1,
                                     .plain_workers = 1,
                                     .gateways = 1,
                                     .seed = 7};

    cluster = GatewayCluster_Start(&options);
    wait_for_fences(1);
    if (cases[index].is_copy_without) {
        GatewayCluster_DeleteObject(cluster, "kcc-keepers", "keeper-0");
    }
    GatewayCluster_CopyStore(cluster);
    for (int i = 0; i < cases[index].changes_lost; i++) {
        GatewayCluster_AnnounceVersion(cluster, "a1", 2 + i);
    }
    for (int i = 0; i < cases[index].starts_lost; i++) {
        renew_keeper();
    }
    for (int i = 0; i < cases[index].restores; i++) {
        restore_store(index);
    }
    renew_keeper();
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/restored_fences", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_fences);
    return g_test_run();
}
