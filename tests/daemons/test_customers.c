/*
 * Tests customers and their keys with a gateway as a process: in whose name a
 * worker gets each request, however the key is sent, what changes of the
 * configuration do, and that no key is in anything that a process puts out.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../steps.h"
#include "gateway_cluster.h"

/* Longer than any change may take to be in force, for a busy machine. */
#define KNOWN_TIMEOUT (10 * G_USEC_PER_SEC)
#define ANSWER_SIZE 8192

/* Keys of customers, and one that no configuration holds. */
#define KEY_1 "kone-5wa5xwyhks8nbk"
#define KEY_2 "ktwo-cuyj8pjbvk9m68"
#define KEY_3 "kthree-9m2b7qzt41ws"
#define KEY_UNKNOWN "kfour-u3yx6d0vnfp8"
/* What each of them contains and nothing else. */
static const char *const key_marks[] = {"5wa5xwyhks8nbk", "cuyj8pjbvk9m68",
                                        "9m2b7qzt41ws", "u3yx6d0vnfp8"};

#define CUSTOMERS                                                             \
    "[{\"name\":\"first\",\"keys\":[\"" KEY_1 "\",\"" KEY_2 "\"]},"           \
    "{\"name\":\"odd\",\"keys\":7},7,"                                        \
    "{\"name\":\"second\",\"keys\":[5,\"" KEY_3 "\"],\"priority\":3}]"
#define CUSTOMERS_WITHOUT_KEY_1                                               \
    "[{\"name\":\"first\",\"keys\":[\"" KEY_2 "\"]},"                         \
    "{\"name\":\"second\",\"keys\":[\"" KEY_3 "\"]}]"

static GatewayCluster *cluster;
static uint8_t network_octet;

#define HEAD(method, path) method " " path " HTTP/1.1\r\nHost: h\r\n"
#define GET HEAD("GET", "/safe/x")
#define POST HEAD("POST", "/unsafe/x")
#define KEY(key) "Credential: " key "\r\n"
#define FIRST KEY(KEY_1)
#define END "Connection: close\r\n\r\n"
#define INNER                                                                 \
    "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: inner\r\n"                \
    "Tenant-Name: second\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

/* A request, whose id is "ID" in the text, and what becomes of it. */
static const struct {
    const char *name;
    const char *request;
    int status;
    const char *customer; /* that the worker gets, once; NULL: none, or the
                           * request does not reach it */
} cases[] = {
    {"a key", GET "Attempt-Id: ID\r\n" FIRST END, 200, "first"},
    {"the other key of the customer", GET "Attempt-Id: ID\r\n" KEY(KEY_2) END,
     200, "first"},
    {"a customer behind odd ones", GET "Attempt-Id: ID\r\n" KEY(KEY_3) END,
     200, "second"},
    {"an unknown key", GET "Attempt-Id: ID\r\n" KEY(KEY_UNKNOWN) END, 401,
     NULL},
    {"no key", GET "Attempt-Id: ID\r\n" END, 401, NULL},
    {"an empty key", GET "Attempt-Id: ID\r\n" KEY("") END, 401, NULL},
    {"a part of a key", GET "Attempt-Id: ID\r\n" KEY("kone-5wa5xwyhks8nb") END,
     401, NULL},
    {"a key in capitals",
     GET "Attempt-Id: ID\r\n" KEY("KONE-5WA5XWYHKS8NBK") END, 401, NULL},
    {"a header in lower case",
     GET "Attempt-Id: ID\r\ncredential: " KEY_1 "\r\n" END, 200, "first"},
    {"blanks around a key",
     GET "Attempt-Id: ID\r\nCredential: \t " KEY_1 " \t\r\n" END, 200,
     "first"},
    {"two keys", GET "Attempt-Id: ID\r\n" FIRST KEY(KEY_3) END, 401, NULL},
    {"a key twice", GET "Attempt-Id: ID\r\n" FIRST FIRST END, 401, NULL},
    {"a blank before the colon",
     GET "Attempt-Id: ID\r\nCredential : " KEY_1 "\r\n" END, 400, NULL},
    /* the name */
    {"a name beside a key",
     GET "Attempt-Id: ID\r\nTenant-Name: second\r\n" FIRST END, 200, "first"},
    {"names beside a key",
     GET "Attempt-Id: ID\r\ntenant-name: second\r\n" FIRST
         "TENANT-NAME: odd\r\n" END,
     200, "first"},
    {"a name without a key",
     GET "Attempt-Id: ID\r\nTenant-Name: first\r\n" END, 401, NULL},
    {"a name and a key of one connection",
     GET "Attempt-Id: ID\r\nTenant-Name: second\r\n" FIRST
         "Connection: close, Tenant-Name, Credential\r\n\r\n",
     200, "first"},
    /* a route that needs no key */
    {"no key on an open route",
     HEAD("GET", "/open/x") "Attempt-Id: ID\r\n" END, 200, NULL},
    {"a key on an open route",
     HEAD("GET", "/open/x") "Attempt-Id: ID\r\n" FIRST END, 200, NULL},
    {"an unknown key and a name on an open route",
     HEAD("GET", "/open/x") "Attempt-Id: ID\r\nTenant-Name: first\r\n" KEY(
         KEY_UNKNOWN) END,
     200, NULL},
    /* bodies */
    {"a request in a body, with a key",
     POST "Attempt-Id: ID\r\n" FIRST "Content-Length: 73\r\n" END INNER, 200,
     "first"},
    {"a request in a body, without a key",
     POST "Attempt-Id: ID\r\nContent-Length: 73\r\n" END INNER, 401, NULL},
    {"a request in a chunk",
     POST "Attempt-Id: ID\r\n" FIRST CHUNKED END "49\r\n" INNER
          "\r\n0\r\n\r\n",
     200, "first"},
    {"a key in a trailer",
     POST "Attempt-Id: ID\r\n" CHUNKED "Trailer: Credential\r\n" END
          "1\r\nx\r\n0\r\n" FIRST "\r\n",
     401, NULL},
    {"a name and another key in a trailer",
     POST "Attempt-Id: ID\r\n" FIRST CHUNKED END
          "1\r\nx\r\n0\r\nTenant-Name: second\r\n" KEY(KEY_3) "\r\n",
     200, "first"},
    {"a length beside chunks",
     POST "Attempt-Id: ID\r\n" FIRST CHUNKED "Content-Length: 4\r\n" END
          "0\r\n\r\n" INNER,
     400, NULL},
    /* streams */
    {"a stream",
     HEAD("GET", "/stream/x") "Attempt-Id: ID\r\nModel: m\r\n" FIRST END, 200,
     "first"},
    {"a stream without a key",
     HEAD("GET", "/stream/x") "Attempt-Id: ID\r\nModel: m\r\n" END, 401, NULL},
};

/* ---- what processes put out ----------------------------------------------- */

static void
assert_no_key(const char *source, const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(key_marks); i++) {
        if (strstr(text, key_marks[i]) != NULL) {
            g_error("%s holds key %zu", source, i + 1);
        }
    }
}

/* Reads the log of a process, which on a busy machine may not have begun. */
static char *
read_log(GatewayClusterRole role)
{
    gint64 started_at = g_get_monotonic_time();
    char *log = GatewayCluster_ReadLog(cluster, role, 0);

    while (log == NULL &&
           g_get_monotonic_time() < started_at + KNOWN_TIMEOUT) {
        g_usleep(10000);
        log = GatewayCluster_ReadLog(cluster, role, 0);
    }
    g_assert_nonnull(log);
    return log;
}

/* The logs of all processes, joined. */
static char *
read_logs(void)
{
    static const GatewayClusterRole roles[] = {
        GATEWAY_CLUSTER_STORE, GATEWAY_CLUSTER_LLM_WORKER,
        GATEWAY_CLUSTER_KEEPER, GATEWAY_CLUSTER_PLAIN_WORKER,
        GATEWAY_CLUSTER_GATEWAY};
    GString *logs = g_string_new("");

    for (size_t i = 0; i < G_N_ELEMENTS(roles); i++) {
        char *log = read_log(roles[i]);

        g_string_append(logs, log);
        free(log);
    }
    return g_string_free(logs, FALSE);
}

static void
wait_for_version(int version)
{
    char *line = g_strdup_printf(
        "generation=%d step=\"routing\" msg=\"configuration read", version);
    gint64 started_at = g_get_monotonic_time();
    bool is_found = false;

    while (!is_found && g_get_monotonic_time() < started_at + KNOWN_TIMEOUT) {
        char *log;

        g_usleep(10000);
        log = GatewayCluster_ReadLog(cluster, GATEWAY_CLUSTER_GATEWAY, 0);
        is_found = strstr(log, line) != NULL;
        free(log);
    }
    g_assert_true(is_found);
    g_free(line);
}

static void
set_customers(int version, const char *customers)
{
    GatewayCluster_SetCustomers(cluster, customers);
    GatewayCluster_WriteConfig(cluster, version, false);
    wait_for_version(version);
}

/* Headers with this beginning that the workers got with a request. */
static int
count_headers(const char *id, const char *header)
{
    char *line = g_strdup_printf("header %s %s", id, header);
    char *logs = read_logs();
    char *lower_logs = g_ascii_strdown(logs, -1);
    char *lower_line = g_ascii_strdown(line, -1);
    int count = 0;

    for (const char *at = lower_logs; (at = strstr(at, lower_line)) != NULL;
         at++) {
        count++;
    }
    g_free(lower_line);
    g_free(lower_logs);
    g_free(logs);
    g_free(line);
    return count;
}

static void
exchange(GatewayClusterRole role, const char *request, char *answer)
{
    const char *address = GatewayCluster_GetAddress(cluster, role, 0);

    GatewayCluster_Exchange(address, request, strlen(request), answer,
                            ANSWER_SIZE, 3000);
}

/* Reads a page of the administration of the gateway or the keeper. */
static void
check_page(GatewayClusterRole role, const char *path)
{
    static char page[1024 * 1024];

    g_assert_cmpint(GatewayCluster_ReadPage(cluster, role, 0, path, "", page,
                                            sizeof(page)),
                    ==, 200);
    assert_no_key(path, page);
}

/* What the store holds of the system's own records. */
static void
check_records(const char *collection)
{
    char *request = g_strdup_printf(
        "GET /objects/%s HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n",
        collection);
    char answer[ANSWER_SIZE];

    exchange(GATEWAY_CLUSTER_STORE, request, answer);
    g_assert_cmpint(GatewayCluster_ReadStatus(answer), ==, 200);
    assert_no_key(collection, answer);
    g_free(request);
}

/* ---- cases ---------------------------------------------------------------- */

/* Sends a request until it is answered by 200. */
static void
wait_for_answer(const char *request)
{
    gint64 started_at = g_get_monotonic_time();
    char answer[ANSWER_SIZE];

    do {
        g_usleep(20000);
        exchange(GATEWAY_CLUSTER_GATEWAY, request, answer);
    } while (GatewayCluster_ReadStatus(answer) != 200 &&
             g_get_monotonic_time() < started_at + KNOWN_TIMEOUT);
    g_assert_cmpint(GatewayCluster_ReadStatus(answer), ==, 200);
}

/* Waits until both workers serve. */
static void
start_cluster(void)
{
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = 1,
                                     .plain_workers = 1,
                                     .gateways = 1,
                                     .seed = 7};

    cluster = GatewayCluster_Start(&options);
    wait_for_answer(GET "Attempt-Id: plain\r\n" END);
    wait_for_answer(HEAD("GET", "/stream/x") "Attempt-Id: llm\r\n"
                                             "Model: m\r\n" END);
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_PLAIN_WORKER, 0,
                           "headers=1");
    GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_LLM_WORKER, 0,
                           "headers=1");
}

/* Sends a request of the table under an id of its own. */
static int
send_case(size_t index, const char *id, char *answer)
{
    char **parts = g_strsplit(cases[index].request, "Attempt-Id: ID", 2);
    char *request =
        g_strdup_printf("%sAttempt-Id: %s%s", parts[0], id, parts[1]);

    exchange(GATEWAY_CLUSTER_GATEWAY, request, answer);
    g_free(request);
    g_strfreev(parts);
    return GatewayCluster_ReadStatus(answer);
}

static void
check_case(size_t index)
{
    const char *customer = cases[index].customer;
    char *id = g_strdup_printf("case-%zu.", index);
    char answer[ANSWER_SIZE];
    int status = send_case(index, id, answer);

    g_test_message("%s: %d", cases[index].name, status);
    g_assert_cmpint(status, ==, cases[index].status);
    assert_no_key("the answer", answer);
    g_assert_cmpint(count_headers(id, "Attempt-Id: "), ==, status == 200);
    g_assert_cmpint(count_headers(id, "Tenant-Name: "), ==, customer != NULL);
    g_assert_cmpint(count_headers(id, "Credential: "), ==, 0);
    if (customer != NULL) {
        char *header = g_strdup_printf("Tenant-Name: %s\n", customer);

        g_assert_cmpint(count_headers(id, header), ==, 1);
        g_free(header);
    }
    g_free(id);
}

/* The gateway's log tells what became of a request, and in whose name. */
static void
check_log(size_t index)
{
    const char *customer = cases[index].customer;
    char *id = g_strdup_printf("id=case-%zu. ", index);
    char *log = read_log(GATEWAY_CLUSTER_GATEWAY);
    const char *line = strstr(log, id);

    if (cases[index].status == 400) {
        g_assert_null(line); /* it has not been received */
    }
    else {
        char *text = g_strndup(line, strcspn(line, "\n"));
        char *field = g_strdup_printf(" customer=%s", customer);

        g_assert_cmpint(strstr(text, "error=unknown_key") != NULL, ==,
                        cases[index].status == 401);
        g_assert_cmpint(strstr(text, "msg=\"not run") != NULL, ==,
                        cases[index].status == 401);
        g_assert_cmpint(strstr(text, " customer=") != NULL, ==,
                        customer != NULL);
        g_assert_cmpint(strstr(text, field) != NULL, ==, customer != NULL);
        g_free(field);
        g_free(text);
    }
    free(log);
    g_free(id);
}

/* All requests, and then whatever processes have put out. */
static void
test_keys(void)
{
    char *logs;

    start_cluster();
    set_customers(2, CUSTOMERS);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_case(i);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_log(i);
    }
    g_assert_cmpint(count_headers("inner", ""), ==, 0);
    logs = read_logs();
    assert_no_key("a log", logs);
    g_assert_nonnull(strstr(logs, "2 customers and 1 keys can't be read"));
    g_free(logs);
    check_page(GATEWAY_CLUSTER_GATEWAY, "/metrics");
    check_page(GATEWAY_CLUSTER_GATEWAY, "/debug/state");
    check_page(GATEWAY_CLUSTER_GATEWAY, "/debug/events");
    check_page(GATEWAY_CLUSTER_LLM_WORKER, "/debug/state");
    check_records("kcc-gateways");
    check_records("kcc-keepers");
    check_records("servers");
    GatewayCluster_Stop(cluster);
}

/* Each request on a connection is asked for its key. */
static void
test_connection(void)
{
    char answer[ANSWER_SIZE];
    GString *statuses = g_string_new("");

    start_cluster();
    set_customers(2, CUSTOMERS);
    exchange(GATEWAY_CLUSTER_GATEWAY,
             GET "Attempt-Id: kept-1\r\n" FIRST "\r\n" GET
                 "Attempt-Id: kept-2\r\n\r\n" GET
                 "Attempt-Id: kept-3\r\n" KEY(KEY_3) END,
             answer);
    for (const char *at = answer; (at = strstr(at, "HTTP/1.1 ")) != NULL;
         at++) {
        g_string_append_printf(statuses, "%d ", GatewayCluster_ReadStatus(at));
    }
    g_assert_cmpstr(statuses->str, ==, "200 401 200 ");
    g_string_free(statuses, TRUE);
    g_assert_cmpint(count_headers("kept-1", "Tenant-Name: first"), ==, 1);
    g_assert_cmpint(count_headers("kept-2", ""), ==, 0);
    g_assert_cmpint(count_headers("kept-3", "Tenant-Name: second"), ==, 1);
    GatewayCluster_Stop(cluster);
}

/* Statuses of requests with the keys 1 to 3 and without one, and the customers
 * that the worker got; "" for none. */
typedef struct Expectation {
    int statuses[4];
    const char *customers[4];
    int key_count; /* keys that the worker got */
} Expectation;

static void
check_keys(int version, const Expectation *expectation)
{
    static const char *const headers[] = {KEY(KEY_1), KEY(KEY_2), KEY(KEY_3),
                                          ""};

    for (int i = 0; i < 4; i++) {
        char *id = g_strdup_printf("v%d-%d", version, i + 1);
        char *request =
            g_strdup_printf(GET "Attempt-Id: %s\r\n%s" END, id, headers[i]);
        char *name =
            g_strdup_printf("Tenant-Name: %s\n", expectation->customers[i]);
        char answer[ANSWER_SIZE];

        exchange(GATEWAY_CLUSTER_GATEWAY, request, answer);
        g_test_message("%s", id);
        g_assert_cmpint(GatewayCluster_ReadStatus(answer), ==,
                        expectation->statuses[i]);
        g_assert_cmpint(count_headers(id, "Tenant-Name: "), ==,
                        expectation->customers[i][0] != '\0');
        g_assert_cmpint(count_headers(id, name), ==,
                        expectation->customers[i][0] != '\0');
        g_assert_cmpint(count_headers(id, "Credential: "), ==,
                        i < expectation->key_count);
        g_free(name);
        g_free(request);
        g_free(id);
    }
}

/* Customers come, one loses a key, a key moves, none can be read, a list is
 * not valid, they go. */
static void
test_changes(void)
{
    static const struct {
        const char *customers; /* NULL: none */
        Expectation expectation;
    } versions[] = {
        {NULL, {{200, 200, 200, 200}, {"", "", "", ""}, 3}},
        {CUSTOMERS,
         {{200, 200, 200, 401}, {"first", "first", "second", ""}, 0}},
        {CUSTOMERS_WITHOUT_KEY_1,
         {{401, 200, 200, 401}, {"", "first", "second", ""}, 0}},
        {"[{\"name\":\"second\",\"keys\":[\"" KEY_2 "\"]}]",
         {{401, 200, 401, 401}, {"", "second", "", ""}, 0}},
        {"[7]", {{401, 401, 401, 401}, {"", "", "", ""}, 0}},
        {"[]", {{200, 200, 200, 200}, {"", "", "", ""}, 3}},
        {CUSTOMERS,
         {{200, 200, 200, 401}, {"first", "first", "second", ""}, 0}},
        {NULL, {{200, 200, 200, 200}, {"", "", "", ""}, 3}},
    };

    start_cluster();
    for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
        set_customers((int)i + 2, versions[i].customers);
        check_keys((int)i + 2, &versions[i].expectation);
    }
    GatewayCluster_Stop(cluster);
}

int
main(int argc, char **argv)
{
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/customers/keys", test_keys);
    g_test_add_func("/customers/connection", test_connection);
    g_test_add_func("/customers/changes", test_changes);
    return g_test_run();
}
