/*
 * Tests of kcc explain with a gateway as a process: what it prints for a
 * request, and that nothing is sent or counted.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../../programs/process/admin_http.h"
#include "gateway_cluster.h"

#define KNOWN_TIMEOUT (10 * G_USEC_PER_SEC)
#define KEY "kone-5wa5xwyhks8nbk"
#define KEY_OF_SMALL "ksmall-q8zt2m5cvx0w"
#define KEY_UNKNOWN "kfour-u3yx6d0vnfp8"
#define KEY_NEW "knew-7hd3ba90rjs2"
#define CUSTOMERS                                                             \
    "[{\"name\":\"first\",\"keys\":[\"" KEY "\"],\"rate_per_s\":6000,"        \
    "\"burst\":6000},"                                                        \
    "{\"name\":\"small\",\"keys\":[\"" KEY_OF_SMALL "\"],\"rate_per_s\":1,"   \
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
    {"no key file", "--host h --path /safe/x --key-file /none/at/all", 1,
     "kcc: /none/at/all: No such file or directory"},
    {"a directory as a key file", "--host h --path /safe/x --key-file /", 1,
     "kcc: /: it can't be read"},
    {"a keeper", "KEEPER" SAFE, 1, "kcc: no gateway answers at "},
};

/* None of them, nor its digest, may be put out. */
static const char *const keys[] = {KEY, KEY_OF_SMALL, KEY_UNKNOWN, KEY_NEW};

#define CUSTOMERS_LATER "[{\"name\":\"first\",\"keys\":[\"" KEY_NEW "\"]}]"

#define KEYED "--host h --path /safe/x"
#define KEY_HEADER(key) KC_HEADER_EXPLAIN_KEY ": " key "\r\n"
#define FOUR(text) text text text text
/* As long as a key may be. */
#define LONGEST FOUR(FOUR(FOUR(FOUR(FOUR("k")))))
#define CONTENT(text) text, sizeof(text) - 1
#define UNKNOWN "refused: unknown_key by the step \"key\""
#define BAD_CHARACTERS "kcc: */key: the key has characters that no header can"

/* Commands with "--key-file FILE" behind the arguments. */
static const struct {
    const char *name;
    const char *content; /* of the file */
    size_t size;
    const char *arguments;
    int status;
    const char *expected; /* in the output, a pattern */
} key_cases[] = {
    {"a key", CONTENT(KEY "\n"), KEYED, 0,
     "sent at once to *\ncustomer first, cost 1 requests, *may spend*chosen"},
    {"as JSON", CONTENT(KEY "\n"), KEYED " --json", 0,
     "\"result\":\"send\"*\"name\":\"first\""},
    {"a line without an end", CONTENT(KEY), KEYED, 0, "customer first, "},
    {"a line with the other end", CONTENT(KEY "\r\n"), KEYED, 0,
     "customer first, "},
    {"further lines", CONTENT(KEY "\n" KEY_UNKNOWN "\n\001"), KEYED, 0,
     "customer first, "},
    {"blanks around", CONTENT(" " KEY "\t \n"), KEYED, 0, "customer first, "},
    {"the key of another customer, without room", CONTENT(KEY_OF_SMALL "\n"),
     KEYED " --prompt-tokens 500", 0,
     "refused: limit_exceeded by the step \"quota\"*customer small, cost 500"},
    {"an unknown key", CONTENT(KEY_UNKNOWN "\n"), KEYED, 0, UNKNOWN},
    {"an unknown key on an open route", CONTENT(KEY_UNKNOWN "\n"),
     "--host h --path /open/x", 0, "sent at once to "},
    {"the longest key", CONTENT(LONGEST "\r\n"), KEYED, 0, UNKNOWN},
    {"a key that is too long", CONTENT(LONGEST "k"), KEYED, 1,
     "kcc: */key: the key is too long"},
    {"one that is far too long", CONTENT(FOUR(LONGEST) "\n"), KEYED, 1,
     "kcc: */key: the key is too long"},
    {"an empty file", CONTENT(""), KEYED, 1,
     "kcc: */key: its first line is empty"},
    {"an empty first line", CONTENT("\r\n" KEY "\n"), KEYED, 1,
     "kcc: */key: its first line is empty"},
    {"a line of blanks", CONTENT(" \t\n"), KEYED, 1,
     "kcc: the key is empty or too long"},
    {"a control character", CONTENT(KEY "\001\n"), KEYED, 1, BAD_CHARACTERS},
    {"a header behind the key", CONTENT(KEY "\rHost: x\n"), KEYED, 1,
     BAD_CHARACTERS},
    {"a NUL", CONTENT(KEY "\0x\n"), KEYED, 1, BAD_CHARACTERS},
    {"a customer, too", CONTENT(KEY "\n"), SAFE, 2,
     "kcc: explain takes --customer or --key-file"},
};

static GatewayCluster *cluster;
static uint8_t network_octet;
static char *directory; /* with the key file */

/* Fails if a key or a digest is in the text. */
static void
assert_no_key(const char *source, const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        char *digest =
            g_compute_checksum_for_string(G_CHECKSUM_SHA256, keys[i], -1);

        if (strstr(text, keys[i]) != NULL || strstr(text, digest) != NULL) {
            g_error("%s holds key %zu", source, i + 1);
        }
        g_free(digest);
    }
}

/* Reads a page of the gateway's administration, with further headers in the
 * request. */
static char *
read_page_with(const char *path, const char *headers)
{
    static char page[1024 * 1024];

    GatewayCluster_ReadPage(cluster, GATEWAY_CLUSTER_GATEWAY, 0, path, headers,
                            page, sizeof(page));
    assert_no_key(path, page);
    return page;
}

static char *
read_page(const char *path)
{
    return read_page_with(path, "");
}

/* Runs kcc explain; returns what it prints. */
static char *
explain(const char *arguments, int *status)
{
    bool is_keeper = g_str_has_prefix(arguments, "KEEPER");
    char address[GATEWAY_CLUSTER_ADDRESS_SIZE];
    GString *output = g_string_new("");
    char *line;
    FILE *command;
    int character;

    GatewayCluster_FormatAddress(
        cluster, is_keeper ? GATEWAY_CLUSTER_KEEPER : GATEWAY_CLUSTER_GATEWAY,
        0, GATEWAY_CLUSTER_ADMIN_PORT, address);
    line = g_strdup_printf("%s/kcc explain %s %s 2>&1", g_getenv("BUILD"),
                           address, arguments + (is_keeper ? 6 : 0));
    command = popen(line, "r");

    while ((character = fgetc(command)) != EOF) {
        g_string_append_c(output, (char)character);
    }
    *status = WEXITSTATUS(pclose(command));
    g_free(line);
    assert_no_key(arguments, output->str);
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
check_command(const char *name, const char *arguments, int expected_status,
              const char *expected)
{
    char *pattern = g_strdup_printf("*%s*", expected);
    int status;
    char *output = explain(arguments, &status);

    g_test_message("%s: %d %s", name, status, output);
    g_assert_cmpint(status, ==, expected_status);
    g_assert_true(g_pattern_match_simple(pattern, output));
    g_free(output);
    g_free(pattern);
}

/* Writes the key file; returns the arguments with it. */
static char *
write_key_file(const char *arguments, const char *content, size_t size)
{
    char *file = g_build_filename(directory, "key", NULL);
    char *with_file = g_strdup_printf("%s --key-file %s", arguments, file);

    g_assert_true(g_file_set_contents(file, content, (gssize)size, NULL));
    g_free(file);
    return with_file;
}

static void
check_key_case(size_t index)
{
    char *arguments =
        write_key_file(key_cases[index].arguments, key_cases[index].content,
                       key_cases[index].size);

    check_command(key_cases[index].name, arguments, key_cases[index].status,
                  key_cases[index].expected);
    g_free(arguments);
}

/* With the next configuration a key goes and another one comes. */
static void
check_changed_keys(void)
{
    gint64 started_at = g_get_monotonic_time();
    char *arguments = write_key_file(KEYED, KEY, strlen(KEY));
    bool is_gone = false;

    GatewayCluster_SetCustomers(cluster, CUSTOMERS_LATER);
    GatewayCluster_WriteConfig(cluster, 2, false);
    while (!is_gone && g_get_monotonic_time() < started_at + KNOWN_TIMEOUT) {
        int status;
        char *output = explain(arguments, &status);

        is_gone = g_str_has_prefix(output, UNKNOWN);
        g_free(output);
    }
    g_assert_true(is_gone);
    g_free(arguments);
    arguments = write_key_file(KEYED, KEY_NEW, strlen(KEY_NEW));
    check_command("a new key", arguments, 0, "customer first, ");
    g_free(arguments);
}

/* What kcc does not send, as text of the answer. */
static const struct {
    const char *path;
    const char *headers;
    const char *expected;
} odd_questions[] = {
    {"/explain?host=h&path=/safe/x&key=" KEY, "", " 400 *a key is no field"},
    {"/explain?host=h&path=/safe/x", KEY_HEADER(KEY) KEY_HEADER(KEY),
     " 400 *the key is given twice"},
    {"/explain?host=h&path=/safe/x&customer=first", KEY_HEADER(KEY),
     " 400 *a request has a customer or a key"},
    {"/explain?host=h&path=/safe/x", KEY_HEADER(LONGEST "k"),
     " 400 *the key is empty or too long"},
    {"/explain?host=h&path=/safe/x", KEY_HEADER(""),
     " 400 *the key is empty or too long"},
    {"/explain?host=h&path=/safe/x", KEY_HEADER(KEY), " 200 *\"send\""},
};

static void
check_odd_question(size_t index)
{
    char *pattern = g_strdup_printf("*%s*", odd_questions[index].expected);
    char *path = g_strdup(odd_questions[index].path);
    const char *page = read_page_with(path, odd_questions[index].headers);

    g_test_message("%zu: %s", index, page);
    g_assert_true(g_pattern_match_simple(pattern, page));
    g_free(path);
    g_free(pattern);
}

static void
remove_directory(void)
{
    char *file = g_build_filename(directory, "key", NULL);

    g_assert_cmpint(g_unlink(file), ==, 0);
    g_assert_cmpint(g_rmdir(directory), ==, 0);
    g_free(file);
    g_clear_pointer(&directory, g_free);
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

/* No process has put out a key; read_page() looks for itself. */
static void
check_no_key_put_out(void)
{
    static const GatewayClusterRole roles[] = {
        GATEWAY_CLUSTER_STORE, GATEWAY_CLUSTER_LLM_WORKER,
        GATEWAY_CLUSTER_KEEPER, GATEWAY_CLUSTER_PLAIN_WORKER,
        GATEWAY_CLUSTER_GATEWAY};

    for (size_t i = 0; i < G_N_ELEMENTS(roles); i++) {
        char *log = GatewayCluster_ReadLog(cluster, roles[i], 0);

        g_assert_nonnull(log);
        assert_no_key("a log", log);
        free(log);
    }
    read_page("/metrics");
    read_page("/debug/state");
    read_page("/debug/events");
    read_page("/explain?host=h&path=/safe/x&customer=first");
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

    directory = g_dir_make_tmp("kcc-explain-XXXXXX", NULL);
    cluster = GatewayCluster_Start(&options);
    wait_until_known();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_command(cases[i].name, cases[i].arguments, cases[i].status,
                      cases[i].expected);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(key_cases); i++) {
        check_key_case(i);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(odd_questions); i++) {
        check_odd_question(i);
    }
    check_nothing_sent();
    check_changed_keys();
    check_nothing_sent();
    check_no_key_put_out();
    GatewayCluster_Stop(cluster);
    remove_directory();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    g_test_add_func("/daemons/explain", test_explain);
    return g_test_run();
}
