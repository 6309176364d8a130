/*
 * Tests with real processes that a key which was taken away runs no request
 * once the promised time is over, at a gateway that can't learn of it, and
 * that other keys are accepted again when it can.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "../steps.h"
#include "gateway_cluster.h"

#define REVOKE_MS 3000
/* Longer than any change may take to be in force, for a busy machine. */
#define KNOWN_TIMEOUT (10 * G_USEC_PER_SEC)
/* How long the gateway can't learn of the change, from its acknowledgement. */
#define CUT_TIME ((REVOKE_MS + 2000) * G_TIME_SPAN_MILLISECOND)
#define REQUEST_INTERVAL (20 * G_TIME_SPAN_MILLISECOND)

#define UNKNOWN_KEY "kxxx-1d8gq0w2n7yb5t"
#define TAKEN_KEY "kone-5wa5xwyhks8nbk"
#define OTHER_KEY "ktwo-cuyj8pjbvk9m68"
#define CUSTOMERS                                                             \
    "[{\"name\":\"first\",\"keys\":[\"" TAKEN_KEY "\",\"" OTHER_KEY "\"]}]"
#define CUSTOMERS_AFTER "[{\"name\":\"first\",\"keys\":[\"" OTHER_KEY "\"]}]"

static GatewayCluster *cluster;
static uint8_t network_octet;

/* What keeps the gateway from the change, and whether it knows the key. */
static const struct {
    const char *name;
    const char *knob; /* of the store; NULL: the gateway stands still */
    const char *end_knob;
    bool is_key_known; /* or it knows no customers at all */
} cases[] = {
    {"calls reach the store, no answer comes back", "silent=100", "silent=0",
     true},
    {"the store turns the gateway away", "busy=100", "busy=0", true},
    {"connections to the store are reset", "reset=100", "reset=0", true},
    {"the gateway stands still", NULL, NULL, true},
    {"the key comes and goes while no answer comes back", "silent=100",
     "silent=0", false},
    {"the key comes and goes while the gateway stands still", NULL, NULL,
     false},
};

/* Sends a request with a key; 0: no answer. */
static int
send_request(const char *key)
{
    char answer[4096];
    char *request = g_strdup_printf(
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: r%08x\r\n"
        "Credential: %s\r\nConnection: close\r\n\r\n",
        g_random_int(), key);
    int size = GatewayCluster_Exchange(
        GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0),
        request, strlen(request), answer, sizeof(answer), 3000);
    int status = size > 0 ? GatewayCluster_ReadStatus(answer) : 0;

    g_free(request);
    return status;
}

static void
wait_for_status(const char *key, int status)
{
    gint64 started_at = g_get_monotonic_time();

    while (send_request(key) != status) {
        g_assert_cmpint(g_get_monotonic_time() - started_at, <, KNOWN_TIMEOUT);
        g_usleep(REQUEST_INTERVAL);
    }
}

/* Waits until the watch that is dead has begun. */
static void
wait_for_dead_watch(void)
{
    json_int_t number = 1;

    for (int i = 0; i < 500 && number != 0; i++) {
        json_t *state =
            GatewayCluster_ReadState(cluster, GATEWAY_CLUSTER_STORE, 0);

        number = json_integer_value(json_object_get(state, "dead_watch"));
        json_decref(state);
        g_usleep(10000);
    }
    g_assert_cmpint(number, ==, 0);
}

static void
write_customers(int version, const char *customers)
{
    GatewayCluster_SetCustomers(cluster, customers);
    GatewayCluster_WriteConfig(cluster, version, false);
}

/* Keeps the gateway from all that the store knows from now on. */
static void
begin_cut(size_t index)
{
    if (cases[index].knob == NULL) {
        GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 0,
                                  SIGSTOP);
        return;
    }
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0,
                           cases[index].knob);
}

static void
end_cut(size_t index)
{
    if (cases[index].knob != NULL) {
        GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0,
                               cases[index].end_knob);
    }
}

/* Sends requests with the key that was taken away; the last are refused. */
static void
check_refused(gint64 acknowledged_at)
{
    int status = 0;

    while (g_get_monotonic_time() < acknowledged_at + CUT_TIME) {
        gint64 sent_at = g_get_monotonic_time();

        status = send_request(TAKEN_KEY);
        if (sent_at >= acknowledged_at + REVOKE_MS * 1000) {
            g_assert_cmpint(status, !=, 200);
        }
        g_usleep(REQUEST_INTERVAL);
    }
    g_assert_cmpint(status, ==, 503);
    g_assert_cmpint(send_request(OTHER_KEY), ==, 503);
}

static void
test_revocation(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = 1,
                                     .plain_workers = 1,
                                     .gateways = 1,
                                     .revoke_ms = REVOKE_MS,
                                     .seed = 7};
    gint64 acknowledged_at;

    cluster = GatewayCluster_Start(&options);
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_STORE, 0, "dead_watch=1");
    /* The configuration's watch ends, and its next one is dead. */
    write_customers(2, cases[index].is_key_known ? CUSTOMERS : NULL);
    wait_for_dead_watch();
    /* Without customers every key passes. */
    wait_for_status(UNKNOWN_KEY, cases[index].is_key_known ? 401 : 200);
    wait_for_status(TAKEN_KEY, 200);
    begin_cut(index);
    write_customers(3, CUSTOMERS);
    write_customers(4, CUSTOMERS_AFTER);
    acknowledged_at = g_get_monotonic_time();
    if (cases[index].knob != NULL) {
        check_refused(acknowledged_at);
    }
    else {
        g_usleep(CUT_TIME);
        GatewayCluster_SendSignal(cluster, GATEWAY_CLUSTER_GATEWAY, 0,
                                  SIGCONT);
        g_assert_cmpint(send_request(TAKEN_KEY), !=, 200);
    }
    end_cut(index);
    wait_for_status(OTHER_KEY, 200);
    g_assert_cmpint(send_request(TAKEN_KEY), ==, 401);
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/revocation", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_revocation);
    return g_test_run();
}
