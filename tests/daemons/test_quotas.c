/*
 * Tests of quotas with real processes: three gateways share a customer's quota
 * over keepers, and what a worker turned away is given back.
 */
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../steps.h"
#include "gateway_cluster.h"

#define GATEWAYS 3
#define RATE 60 /* requests a second, and burst */
#define EXCESS 0.1
#define WINDOW_S 8 /* of the promise; all requests come within one */
#define SHARED_TIMEOUT (20 * G_USEC_PER_SEC)
#define CUSTOMERS                                                             \
    "[{\"name\":\"c1\",\"keys\":[\"key-of-c1\"],\"rate_per_s\":60,"           \
    "\"burst\":60},"                                                          \
    "{\"name\":\"c2\",\"keys\":[\"key-of-c2\"],\"rate_per_s\":60,"            \
    "\"burst\":60}]"

static const struct {
    const char *name;
    int gateways_asked; /* one after the other */
    bool is_hub_killed; /* while requests are sent */
    const char *knob;   /* of the worker; NULL: none */
    int passed_status;
    bool is_free; /* nothing is refused, as all comes back */
    int ask_s;
} cases[] = {
    {"a quota over all gateways", GATEWAYS, false, NULL, 200, false, WINDOW_S},
    {"one gateway may spend all of it", 1, false, NULL, 200, false, WINDOW_S},
    {"the keepers end", GATEWAYS, true, NULL, 200, false, WINDOW_S},
    {"what was turned away comes back", 1, false, "refuse=100", 503, true, 2},
};

static GatewayCluster *cluster;
static uint8_t network_octet;

static int
send_to_route(int gateway, const char *path, const char *key)
{
    static int count;
    char request[256];
    char answer[4096];
    int size = snprintf(request, sizeof(request),
                        "POST %s HTTP/1.1\r\nHost: h\r\n"
                        "Attempt-Id: r%d\r\nCredential: %s\r\n"
                        "Content-Length: 0\r\nConnection: close\r\n\r\n",
                        path, count++, key);

    GatewayCluster_Exchange(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, gateway),
        request, (size_t)size, answer, sizeof(answer), 3000);
    return GatewayCluster_ReadStatus(answer);
}

static int
send_request(int gateway, const char *key)
{
    return send_to_route(gateway, "/unsafe/x", key);
}

/* The number of gateways with which one shares the quotas, by its state. */
static int
count_group(int gateway)
{
    char answer[16384] = "";
    const char *body;
    json_t *state;
    int count = 0;

    GatewayCluster_ReadPage(cluster, GATEWAY_CLUSTER_GATEWAY, gateway,
                            "/debug/state", "", answer, sizeof(answer));
    body = strstr(answer, "\r\n\r\n");
    state = body != NULL ? json_loads(body, 0, NULL) : NULL;
    count = (int)json_integer_value(json_object_get(
        json_array_get(json_object_get(state, "customers"), 0), "gateways"));
    json_decref(state);
    return count;
}

static void
wait_until_shared(void)
{
    gint64 give_up_at = g_get_monotonic_time() + SHARED_TIMEOUT;

    for (int i = 0; i < GATEWAYS; i++) {
        while (count_group(i) != GATEWAYS) {
            g_assert_cmpint(g_get_monotonic_time(), <, give_up_at);
            g_usleep(20000);
        }
    }
}

/* Until each gateway knows the worker, by a route that takes from no quota. */
static void
wait_until_served(void)
{
    gint64 give_up_at = g_get_monotonic_time() + SHARED_TIMEOUT;

    for (int i = 0; i < GATEWAYS; i++) {
        while (send_to_route(i, "/open/x", "none") != 200) {
            g_assert_cmpint(g_get_monotonic_time(), <, give_up_at);
            g_usleep(20000);
        }
    }
}

static void
kill_keepers(void)
{
    for (int i = 0; i < GATEWAYS; i++) {
        GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_KEEPER, i, SIGKILL);
        GatewayCluster_WaitForExit(cluster, GATEWAY_CLUSTER_KEEPER, i);
    }
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = GATEWAYS,
                                     .plain_workers = 1,
                                     .gateways = GATEWAYS,
                                     .seed = 11};
    gint64 started_at;
    gint64 ask_time;
    double seconds;
    int asked = 0;
    int passed = 0;
    int refused = 0;
    bool is_killed = false;

    cluster = GatewayCluster_Start(&options);
    GatewayCluster_SetCustomers(cluster, CUSTOMERS);
    GatewayCluster_WriteConfig(cluster, 2, false);
    wait_until_served();
    wait_until_shared();
    if (cases[index].knob != NULL) {
        GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_PLAIN_WORKER, 0,
                               cases[index].knob);
    }
    ask_time = cases[index].ask_s * G_USEC_PER_SEC;
    started_at = g_get_monotonic_time();
    while (g_get_monotonic_time() < started_at + ask_time) {
        int status =
            send_request(asked++ % cases[index].gateways_asked, "key-of-c1");

        passed += status == cases[index].passed_status;
        refused += status == 429;
        if (cases[index].is_hub_killed && !is_killed &&
            g_get_monotonic_time() > started_at + ask_time / 4) {
            kill_keepers();
            is_killed = true;
        }
    }
    seconds = (double)(g_get_monotonic_time() - started_at) / G_USEC_PER_SEC;
    g_test_message("%.2f s: asked %d, passed %d, refused %d", seconds, asked,
                   passed, refused);
    g_assert_cmpint(passed + refused, ==, asked);
    if (cases[index].is_free) {
        g_assert_cmpint(refused, ==, 0);
    }
    else {
        g_assert_cmpfloat(passed, <=,
                          (RATE * fmax(seconds, WINDOW_S) + RATE) *
                              (1 + EXCESS));
        /* More than the parts of the gateways that are asked. */
        g_assert_cmpfloat(
            passed, >,
            RATE * seconds *
                (cases[index].gateways_asked == 1 ? 1.0 / GATEWAYS : 0.5));
    }
    /* Another customer has its own quota. */
    g_assert_cmpint(send_request(0, "key-of-c2"), ==,
                    cases[index].passed_status);
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/quotas", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
