/*
 * Tests of kcc explain with a gateway as a process: what it prints for a
 * request, and that nothing is sent or counted.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "gateway_cluster.h"

#define KNOWN_TIMEOUT (10 * G_USEC_PER_SEC)
#define KEY "kone-5wa5xwyhks8nbk"
#define CUSTOMERS                                                             \
    "[{\"name\":\"first\",\"keys\":[\"" KEY "\"],\"rate_per_s\":6000,"        \
    "\"burst\":6000},"                                                        \
    "{\"name\":\"small\",\"keys\":[\"key-of-small\"],\"rate_per_s\":1,"       \
    "\"burst\":0,\"unit\":\"tokens\"}]"

#define SAFE "--host h --path /safe/x --customer first"
#define STREAM "--host h --path /stream/x --customer first"

/* Commands on the gateway's address, "KEEPER" in front: on the keeper's. */
static const struct {
    const char *name;
    const char *arguments;
    int status;
    const char *expected; /* in the output, each line a pattern */
} cases[] = {
    {"a request", SAFE, 0,
     "sent at once to *\n*route * to service *\ncustomer first, cost 1 "
     "requests, *may spend*\n*chosen"},
    {"a stream for a base model", STREAM " --model m", 0,
     "sent at once to *\n*loaded*chosen"},
    {"an adapter that is nowhere", STREAM " --model m --adapter a77", 0,
     "waits for its adapter, whose load is requested at *\n*absent*chosen: "
     "loads the adapter"},
    {"tokens", SAFE " --prompt-tokens 10 --answer-tokens 20 --hint-tokens 5",
     0, "sent at once to "},
    {"parts", STREAM " --model m --parts 1f,2e", 0, "sent at once to "},
    {"as JSON", SAFE " --json", 0, "\"result\":\"send\"*\"may_spend\":"},
    {"no route", "--host h --path /none", 0,
     "refused: not_found by the step \"route\", may come back after"},
    {"no such customer", "--host h --path /safe/x --customer nobody", 0,
     "refused: unknown_key by the step \"customer\""},
    {"no customer", "--host h --path /safe/x", 0,
     "refused: unknown_key by the step \"key\""},
    {"no customer on an open route", "--host h --path /open/x", 0,
     "sent at once to "},
    {"a customer without room",
     "--host h --path /safe/x --customer small --prompt-tokens 500", 0,
     "refused: limit_exceeded by the step \"quota\"*customer small, cost 500 "
     "tokens"},
    {"a host with odd characters", "--host 'h&x= +' --path /safe/x", 0,
     "refused: not_found"},
    {"no path", "--host h", 1, "kcc: host and path are needed"},
    {"parts that can't be read", SAFE " --parts xyz", 1,
     "kcc: parts are hexadecimal"},
    {"tokens that are no number", SAFE " --prompt-tokens -1", 1,
     "kcc: prompt_tokens is no number"},
    {"a keeper", "KEEPER" SAFE, 1, "kcc: no gateway answers at "},
};

static GatewayCluster *cluster;
static uint8_t network_octet;

static char *
admin_address(GatewayClusterRole role)
{
    const char *address = GatewayCluster_GetAddress(cluster, role, 0);

    return g_strdup_printf("%.*s:%d", (int)strcspn(address, ":"), address,
                           GATEWAY_CLUSTER_ADMIN_PORT);
}

/* Reads a page of the gateway's administration. */
static char *
read_page(const char *path)
{
    static char page[1024 * 1024];
    char *address = admin_address(GATEWAY_CLUSTER_GATEWAY);
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", path);

    page[0] = '\0';
    GatewayCluster_Exchange(address, request, strlen(request), page,
                            sizeof(page), 3000);
    g_free(request);
    g_free(address);
    return page;
}

/* Runs kcc explain; returns what it prints. */
static char *
explain(const char *arguments, int *status)
{
    bool is_keeper = g_str_has_prefix(arguments, "KEEPER");
    char *address = admin_address(is_keeper ? GATEWAY_CLUSTER_LLM_WORKER
                                            : GATEWAY_CLUSTER_GATEWAY);
    char *line =
        g_strdup_printf("%s/kcc explain %s %s 2>&1", g_getenv("BUILD"),
                        address, arguments + (is_keeper ? 6 : 0));
    GString *output = g_string_new("");
    FILE *command = popen(line, "r");
    int character;

    while ((character = fgetc(command)) != EOF) {
        g_string_append_c(output, (char)character);
    }
    *status = WEXITSTATUS(pclose(command));
    g_free(line);
    g_free(address);
    return g_string_free(output, FALSE);
}

/* Waits until the gateway knows the quota and would send what both workers
 * serve. */
static void
wait_until_known(void)
{
    static const char *const arguments[] = {SAFE, STREAM " --model m"};
    gint64 started_at = g_get_monotonic_time();

    for (size_t i = 0; i < G_N_ELEMENTS(arguments); i++) {
        bool is_known = false;

        while (!is_known &&
               g_get_monotonic_time() < started_at + KNOWN_TIMEOUT) {
            int status;
            char *output = explain(arguments[i], &status);

            is_known = g_str_has_prefix(output, "sent at once") &&
                       strstr(output, "may spend") != NULL;
            g_free(output);
        }
        g_assert_true(is_known);
    }
}

static void
check_case(size_t index)
{
    char *pattern = g_strdup_printf("*%s*", cases[index].expected);
    int status;
    char *output = explain(cases[index].arguments, &status);

    g_test_message("%s: %d %s", cases[index].name, status, output);
    g_assert_cmpint(status, ==, cases[index].status);
    g_assert_true(g_pattern_match_simple(pattern, output));
    g_assert_null(strstr(output, KEY));
    g_free(output);
    g_free(pattern);
}

/* The gateway has counted no request, and has none in progress. */
static void
check_nothing_sent(void)
{
    char *log;

    g_assert_nonnull(
        strstr(read_page("/metrics"), "\nkcc_requests_total 0\n"));
    g_assert_nonnull(
        strstr(read_page("/metrics"), "\nkcc_attempts_total 0\n"));
    g_assert_nonnull(strstr(read_page("/metrics"),
                            "kcc_customer_admitted_total{customer=\"first\"} "
                            "0\n"));
    g_assert_nonnull(strstr(read_page("/debug/state"), "\"in_flight\":0"));
    log = GatewayCluster_ReadLog(cluster, GATEWAY_CLUSTER_GATEWAY, 0);
    g_assert_null(strstr(log, "a77"));
    free(log);
}

static void
test_explain(void)
{
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = 1,
                                     .plain_workers = 1,
                                     .gateways = 1,
                                     .customers = CUSTOMERS,
                                     .seed = 7};

    cluster = GatewayCluster_Start(&options);
    wait_until_known();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_case(i);
    }
    check_nothing_sent();
    /* A key has no place in the question, and isn't repeated. */
    g_assert_nonnull(
        strstr(read_page("/explain?host=h&path=/safe/x&key=" KEY), " 400 "));
    g_assert_null(
        strstr(read_page("/explain?host=h&path=/safe/x&key=" KEY), KEY));
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_add_func("/daemons/explain", test_explain);
    return g_test_run();
}
