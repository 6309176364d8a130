/*
 * Tests of the decoders of the platform's records: valid records, and the
 * field that is reported for each kind of invalid one.
 */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "../../programs/process/platform.h"

/* ---- backend servers ---------------------------------------------------- */

#define SERVER_FIELDS                                                         \
    "'service':'s','address':'10.0.0.1:80','zone':'z','slots':8,"             \
    "'state':'ready'"

static const struct {
    const char *name;
    const char *json;
    const char *invalid_field; /* step of the error; NULL: valid */
    int replica_count;         /* models and adapters */
} server_cases[] = {
    {"plain", "{" SERVER_FIELDS "}", NULL, 0},
    {"with models",
     "{" SERVER_FIELDS ",'models':[{'name':'m','version':1,"
     "'adapters':['a1@3','a2']}],'born':17}",
     NULL, 3},
    {"unknown fields", "{" SERVER_FIELDS ",'new':{'x':[1]}}", NULL, 0},
    {"no service",
     "{'address':'1.2.3.4:5','zone':'z','slots':1,"
     "'state':'ready'}",
     "service", 0},
    {"address without a port",
     "{'service':'s','address':'1.2.3.4','zone':'z','slots':1,"
     "'state':'ready'}",
     "address", 0},
    {"address of a wrong type",
     "{'service':'s','address':7,'zone':'z','slots':1,'state':'ready'}",
     "address", 0},
    {"unknown state",
     "{'service':'s','address':'1.2.3.4:5','zone':'z','slots':1,"
     "'state':'busy'}",
     "state", 0},
    {"no slots",
     "{'service':'s','address':'1.2.3.4:5','zone':'z',"
     "'state':'ready'}",
     "slots", 0},
    {"slots of a wrong type",
     "{'service':'s','address':'1.2.3.4:5','zone':'z','slots':'8',"
     "'state':'ready'}",
     "slots", 0},
    {"born not a whole number", "{" SERVER_FIELDS ",'born':1.5}", "born", 0},
    {"models not a list", "{" SERVER_FIELDS ",'models':5}", "models", 0},
    {"model without a name", "{" SERVER_FIELDS ",'models':[{'version':1}]}",
     "models", 0},
    {"version of a model beyond its range",
     "{" SERVER_FIELDS ",'models':[{'name':'m','version':4294967297}]}",
     "models", 0},
    {"version of a model not a whole number",
     "{" SERVER_FIELDS ",'models':[{'name':'m','version':1.5}]}", "models", 0},
    {"negative version of a model",
     "{" SERVER_FIELDS ",'models':[{'name':'m','version':-1}]}", "models", 0},
    {"adapters whose versions can't be read",
     "{" SERVER_FIELDS ",'models':[{'name':'m','adapters':['a1@4294967297',"
     "'a2@99999999999999999999','a3@-1','a4@x','a5@','a6@1x','a7@4294967295']}"
     "]}",
     NULL, 2},
    {"slots beyond their range",
     "{'service':'s','address':'1.2.3.4:5','zone':'z','slots':4294967297,"
     "'state':'ready'}",
     "slots", 0},
    {"not an object", "[1,2]", "service", 0},
    {"null", "null", "service", 0},
    {"cannot be decoded", NULL, "value", 0},
};

/* Parses JSON that is written with single quotes; NULL stands for a value that
 * can't be decoded. */
static json_t *
parse(const char *text)
{
    char *copy;
    json_t *json;

    if (text == NULL) {
        return NULL;
    }
    copy = g_strdelimit(g_strdup(text), "'", '"');
    json = json_loads(copy, JSON_DECODE_ANY, NULL);
    g_assert_nonnull(json);
    g_free(copy);
    return json;
}

static void
test_servers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(server_cases); i++) {
        json_t *json = parse(server_cases[i].json);
        KcFeedItem item = {.name = "i-1", .revision = {0, 1}, .body = json};
        KcServerInfo info;
        KcError error = {0};
        const KcReplicaInfo *replica;
        int count = 0;
        int code;

        g_test_message("%s", server_cases[i].name);
        KcServerInfo_Init(&info);
        code = KcPlatform_Current.read_server(&item, &info, &error);
        g_assert_cmpint(code, ==,
                        server_cases[i].invalid_field != NULL ? KC_ERR_PARSE
                                                              : 0);
        g_assert_cmpstr(error.step, ==, server_cases[i].invalid_field);
        TAILQ_FOREACH (replica, &info.replicas, link) {
            count++;
        }
        if (code == 0) {
            g_assert_cmpint(count, ==, server_cases[i].replica_count);
        }
        KcServerInfo_Clear(&info);
        json_decref(json);
    }
}

/* A server's name is sent in a header. */
static const struct {
    const char *name;
    int code;
} server_name_cases[] = {
    {"a", 0},
    {"a b&c=d+e#f%g", 0},
    {"\xc3\xa9", 0},
    {"", KC_ERR_PARSE},
    {"a\r\nX: y", KC_ERR_PARSE},
    {"a\nb", KC_ERR_PARSE},
    {"a\x7f", KC_ERR_PARSE},
    {"0123456789012345678901234567890123456789012345678901234567890123",
     KC_ERR_PARSE},
};

static void
test_server_names(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(server_name_cases); i++) {
        json_t *json = parse("{" SERVER_FIELDS "}");
        KcFeedItem item = {.name = server_name_cases[i].name,
                           .revision = {0, 1},
                           .body = json};
        KcServerInfo info;
        KcError error = {0};

        g_test_message("%s", server_name_cases[i].name);
        KcServerInfo_Init(&info);
        g_assert_cmpint(KcPlatform_Current.read_server(&item, &info, &error),
                        ==, server_name_cases[i].code);
        KcServerInfo_Clear(&info);
        json_decref(json);
    }
}

/* ---- the configuration -------------------------------------------------- */

#define ROUTE_FIELDS                                                          \
    "'name':'r','host':'h','path_prefix':'/a/','kind':'safe',"                \
    "'timeout_ms':1000,'goal_ms':200,'max_attempts':2,'priority':1"

static const struct {
    const char *name;
    const char *json;
    const char *invalid_field; /* step of the error; NULL: valid */
    const char *invalid_peer;  /* route or service named in the error */
} configuration_cases[] = {
    {"route to one service",
     "{'version':3,'routes':[{" ROUTE_FIELDS ",'service':'s'}]}", NULL, NULL},
    {"route split between services",
     "{'version':3,'routes':[{" ROUTE_FIELDS
     ",'split':[{'service':'s','weight':90},"
     "{'service':'t','weight':0.5}]}]}",
     NULL, NULL},
    {"service with an engine",
     "{'version':3,'routes':[],'services':[{'name':'s','conn_limit':5,"
     "'engine':{'slots':4,'adapter_slots':3,'mb':10,'models':[{'name':'m',"
     "'mb':5,'adapter_mb':1}]}}]}",
     NULL, NULL},
    {"cannot be decoded", NULL, "value", ""},
    {"no version", "{'routes':[]}", "version", ""},
    {"version of a wrong type", "{'version':'3','routes':[]}", "version", ""},
    {"unknown kind",
     "{'version':3,'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
     "'kind':'odd'}]}",
     "kind", "r"},
    {"no host",
     "{'version':3,'routes':[{'name':'r','path_prefix':'/a/','kind':'safe'}]}",
     "host", "r"},
    {"prefix without slashes",
     "{'version':3,'routes':[{'name':'r','host':'h','path_prefix':'a',"
     "'kind':'safe','timeout_ms':5,'service':'s'}]}",
     "route", "r"},
    {"no service", "{'version':3,'routes':[{" ROUTE_FIELDS "}]}", "route",
     "r"},
    {"negative timeout",
     "{'version':3,'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
     "'kind':'safe','timeout_ms':-5,'service':'s'}]}",
     "number", "r"},
    {"limits of a wrong type",
     "{'version':3,'routes':[],'limits':{'max_body_bytes':'many'}}", "limits",
     ""},
};

static void
test_configurations(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(configuration_cases); i++) {
        json_t *json = parse(configuration_cases[i].json);
        KcError error = {0};
        KcRouting *routing = KcPlatform_Current.read_routing(json, &error);

        g_test_message("%s", configuration_cases[i].name);
        g_assert_cmpstr(error.step, ==, configuration_cases[i].invalid_field);
        if (configuration_cases[i].invalid_field != NULL) {
            g_assert_null(routing);
            g_assert_cmpstr(error.peer, ==,
                            configuration_cases[i].invalid_peer);
        }
        else {
            g_assert_cmpint(routing->version, ==, 3);
        }
        KcRouting_Release(routing);
        json_decref(json);
    }
}

/* After which silence the callers of a stream leave it. */
static const struct {
    int latency_objective_ms;
    int event_interval_max_ms; /* 0: not given */
    int caller_silence_timeout_ms;
} silence_cases[] = {
    {100, 0, 2000},   {1000, 0, 4000},    {800, 400, 3200},
    {600, 400, 3200}, {1000, 1000, 8000},
};

static void
test_caller_silence(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(silence_cases); i++) {
        char *text = g_strdup_printf(
            "{'version':3,'routes':[{'name':'r','host':'h','path_prefix':"
            "'/a/','kind':'streaming','timeout_ms':9000,'goal_ms':%d,"
            "'gap_goal_ms':%d,'service':'s'}]}",
            silence_cases[i].latency_objective_ms,
            silence_cases[i].event_interval_max_ms);
        json_t *json = parse(text);
        KcError error = {0};
        KcRouting *routing = KcPlatform_Current.read_routing(json, &error);

        g_assert_nonnull(routing);
        g_assert_cmpint(
            KcRouting_FindRule(routing, "h", "/a/")->caller_silence_timeout,
            ==, silence_cases[i].caller_silence_timeout_ms * KC_MS);
        KcRouting_Release(routing);
        json_decref(json);
        g_free(text);
    }
}

/* A number that is larger than its field counts as the largest. */
static const char *const large_numbers[] = {"4294967297", "1e18", "1e300"};

static void
test_large_numbers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(large_numbers); i++) {
        char *text = g_strdup_printf(
            "{'version':3,'limits':{'max_header_bytes':%1$s,"
            "'max_body_bytes':%1$s,'header_timeout_ms':%1$s,"
            "'idle_timeout_ms':%1$s},'services':[{'name':'s','conn_limit':%1$"
            "s,"
            "'engine':{'slots':%1$s,'adapter_slots':%1$s,'kv_capacity':%1$s}}]"
            ","
            "'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
            "'kind':'streaming','timeout_ms':%1$s,'goal_ms':%1$s,"
            "'gap_goal_ms':%1$s,'priority':%1$s,'max_attempts':%1$s,"
            "'split':[{'service':'s','weight':%1$s},"
            "{'service':'t','weight':%1$s}]}]}",
            large_numbers[i]);
        json_t *json = parse(text);
        KcError error = {0};
        KcRouting *routing = KcPlatform_Current.read_routing(json, &error);
        const KcRouteRule *rule;
        const KcEngineCapacity *engine;

        g_test_message("%s", large_numbers[i]);
        g_assert_nonnull(routing);
        rule = KcRouting_FindRule(routing, "h", "/a/");
        engine = &KcRouting_FindService(routing, "s")->engine;
        g_assert_cmpint(rule->request_timeout, >=, 4294967297 * KC_MS);
        g_assert_cmpint(rule->latency_objective, >=, 4294967297 * KC_MS);
        g_assert_cmpint(rule->caller_silence_timeout, >,
                        rule->latency_objective);
        g_assert_cmpuint(rule->priority, ==, UINT32_MAX);
        g_assert_cmpuint(rule->attempts_max, ==, UINT32_MAX);
        g_assert_cmpuint(rule->weight_sum, ==, 2 * (uint64_t)UINT32_MAX);
        g_assert_cmpuint(KcRouting_FindService(routing, "s")->connections_max,
                         ==, UINT32_MAX);
        g_assert_cmpuint(engine->adapter_slots, ==, 100000);
        g_assert_cmpuint(engine->concurrency_max, ==, UINT32_MAX);
        g_assert_cmpuint(engine->kv_cache_tokens, >=, 4294967297);
        g_assert_cmpuint(routing->limits.header_bytes_max, >=, 4294967297);
        g_assert_cmpuint(routing->limits.body_bytes_max, >=, 4294967297);
        g_assert_cmpint(routing->limits.header_timeout, >=,
                        4294967297 * KC_MS);
        g_assert_cmpint(routing->limits.idle_timeout, >=, 4294967297 * KC_MS);
        KcRouting_Release(routing);
        json_decref(json);
        g_free(text);
    }
}

/* ---- customers ------------------------------------------------------------ */

/* Customers are listed as "NAME KEYS [UNIT PLAIN_COST RATE BURST [PRIORITY]]",
 * each key that it holds as the letter that it begins with. */
#define CUSTOMER(name, keys) "{'name':'" name "','keys':[" keys "]}"
#define PLAIN_TERMS " requests 1 0 0; "
#define WITH(field) "[{'name':'a','keys':['x']," field "}]"
#define LONG_NAME                                                             \
    "0123456789012345678901234567890123456789012345678901234567890123"

static const struct {
    const char *name;
    const char *json;      /* of the customers */
    const char *customers; /* NULL: the configuration is not valid */
    int unread_customers;
    int unread_keys;
    bool needs_no_key;
} customer_cases[] = {
    /* none */
    {"null", "null", "", 0, 0, true},
    {"empty list", "[]", "", 0, 0, true},
    /* sound */
    {"one", "[" CUSTOMER("a", "'x'") "]", "a x" PLAIN_TERMS, 0, 0, false},
    {"two", "[" CUSTOMER("a", "'x','y'") "," CUSTOMER("b", "'z'") "]",
     "a xy" PLAIN_TERMS "b z" PLAIN_TERMS, 0, 0, false},
    {"all fields",
     WITH("'priority':1,'unit':'tokens','plain_tokens':200,"
          "'rate_per_s':412485.5,'burst':7"),
     "a x tokens 200 412485.5 7 1; ", 0, 0, false},
    {"priority 0", WITH("'priority':0"), "a x requests 1 0 0 0; ", 0, 0,
     false},
    {"unit requests", WITH("'unit':'requests','rate_per_s':3"),
     "a x requests 1 3 0; ", 0, 0, false},
    {"null fields",
     WITH("'priority':null,'unit':null,'plain_tokens':null,"
          "'rate_per_s':null,'burst':null"),
     "a x" PLAIN_TERMS, 0, 0, false},
    {"unknown fields", WITH("'new':{'x':[1]}"), "a x" PLAIN_TERMS, 0, 0,
     false},
    {"no keys", "[{'name':'a'}]", "a " PLAIN_TERMS, 0, 0, false},
    {"keys null", "[{'name':'a','keys':null}]", "a " PLAIN_TERMS, 0, 0, false},
    {"numbers beyond their range",
     WITH("'priority':1e18,'plain_tokens':1e300,'rate_per_s':1e300,"
          "'burst':1e300"),
     "a x requests 1000000000000000 1e+15 1e+15 4294967295; ", 0, 0, false},
    /* lists of another type */
    {"an object", "{'a':1}", NULL, 0, 0, false},
    {"a text", "'a'", NULL, 0, 0, false},
    {"a number", "5", NULL, 0, 0, false},
    {"true", "true", NULL, 0, 0, false},
    /* customers that can't be read */
    {"entries of another type", "['a',5,null,[],{}," CUSTOMER("b", "'z'") "]",
     "b z" PLAIN_TERMS, 5, 0, false},
    {"none that can be read", "[7]", "", 1, 0, false},
    {"no name", "[{'keys':['x']}," CUSTOMER("b", "'z'") "]", "b z" PLAIN_TERMS,
     1, 0, false},
    {"name of another type",
     "[{'name':7,'keys':['x']}," CUSTOMER("b", "'z'") "]", "b z" PLAIN_TERMS,
     1, 0, false},
    {"empty name", "[" CUSTOMER("", "'x'") "," CUSTOMER("b", "'z'") "]",
     "b z" PLAIN_TERMS, 1, 0, false},
    {"name too long", "[" CUSTOMER(LONG_NAME, "'x'") "]", "", 1, 0, false},
    {"name with a line end", "[" CUSTOMER("a\\r\\nX: y", "'x'") "]", "", 1, 0,
     false},
    {"name with a blank behind", "[" CUSTOMER("a ", "'x'") "]", "", 1, 0,
     false},
    {"keys of another type", "[{'name':'a','keys':'x'}]", "", 1, 0, false},
    {"priority of another type", WITH("'priority':'1'"), "", 1, 0, false},
    {"negative priority", WITH("'priority':-1"), "", 1, 0, false},
    {"rate of another type", WITH("'rate_per_s':'9'"), "", 1, 0, false},
    {"negative rate", WITH("'rate_per_s':-1"), "", 1, 0, false},
    {"burst of another type", WITH("'burst':[]"), "", 1, 0, false},
    {"plain tokens of another type", WITH("'plain_tokens':true"), "", 1, 0,
     false},
    {"unknown unit", WITH("'unit':'bytes'"), "", 1, 0, false},
    {"unit of another type", WITH("'unit':1"), "", 1, 0, false},
    /* keys that can't be read */
    {"keys of other types",
     "[" CUSTOMER("a", "7,null,['x'],{'x':1},true,'x'") "]", "a x" PLAIN_TERMS,
     0, 5, false},
    {"empty key", "[" CUSTOMER("a", "'','x'") "]", "a x" PLAIN_TERMS, 0, 1,
     false},
    {"key with a line end", "[" CUSTOMER("a", "'x\\n','y'") "]",
     "a y" PLAIN_TERMS, 0, 1, false},
    {"keys with blanks around them", "[" CUSTOMER("a", "' x','x\\t','y'") "]",
     "a y" PLAIN_TERMS, 0, 2, false},
    /* twice */
    {"a key twice", "[" CUSTOMER("a", "'x','x'") "]", "a x" PLAIN_TERMS, 0, 0,
     false},
    {"a key of two customers",
     "[" CUSTOMER("a", "'x','y'") "," CUSTOMER("b", "'x','z'") "]",
     "a y" PLAIN_TERMS "b z" PLAIN_TERMS, 0, 1, false},
    {"a name twice",
     "[{'name':'a','keys':['x'],'rate_per_s':5},"
     "{'name':'a','keys':['y'],'rate_per_s':6}]",
     "a xy requests 1 6 0; ", 0, 0, false},
    {"a name twice, the second can't be read",
     "[{'name':'a','keys':['x'],'rate_per_s':5},"
     "{'name':'a','keys':['y'],'rate_per_s':'6'}]",
     "a x requests 1 5 0; ", 1, 0, false},
};

static void
append_customer(GString *text, const KcRouting *routing,
                const KcRoutedCustomer *customer)
{
    g_string_append_printf(text, "%s ", customer->name);
    for (const char *key = "xyz"; *key != '\0'; key++) {
        GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
        KcKeyDigest digest;
        gsize size = sizeof(digest.bytes);

        g_checksum_update(checksum, (const guchar *)key, 1);
        g_checksum_get_digest(checksum, digest.bytes, &size);
        g_checksum_free(checksum);
        if (KcRouting_FindCustomer(routing, &digest) == customer) {
            g_string_append_c(text, *key);
        }
    }
    g_string_append_printf(text, " %s %" G_GUINT64_FORMAT " %.10g %.10g",
                           KcQuotaUnit_Name(customer->unit),
                           customer->plain_cost, customer->rate_per_s,
                           customer->burst);
    if (customer->has_priority) {
        g_string_append_printf(text, " %u", customer->priority);
    }
    g_string_append(text, "; ");
}

static KcRouting *
read_customers(const char *customers, KcError *error)
{
    char *text = g_strdup_printf("{'version':3,'routes':[{" ROUTE_FIELDS
                                 ",'service':'s'}],"
                                 "'tenants':%s}",
                                 customers);
    json_t *json = parse(text);
    KcRouting *routing = KcPlatform_Current.read_routing(json, error);

    json_decref(json);
    g_free(text);
    return routing;
}

static void
test_customers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(customer_cases); i++) {
        KcError error = {0};
        KcRouting *routing = read_customers(customer_cases[i].json, &error);
        GString *text = g_string_new("");
        const KcRoutedCustomer *customer;

        g_test_message("%s", customer_cases[i].name);
        if (customer_cases[i].customers == NULL) {
            g_assert_null(routing);
            g_assert_cmpstr(error.step, ==, "tenants");
        }
        else {
            g_assert_nonnull(routing);
            TAILQ_FOREACH (customer, &routing->customer_list, link) {
                append_customer(text, routing, customer);
            }
            g_assert_cmpstr(text->str, ==, customer_cases[i].customers);
            g_assert_cmpint(routing->unread_customers, ==,
                            customer_cases[i].unread_customers);
            g_assert_cmpint(routing->unread_keys, ==,
                            customer_cases[i].unread_keys);
            g_assert_cmpint(routing->has_customers, ==,
                            !customer_cases[i].needs_no_key);
        }
        g_string_free(text, TRUE);
        KcRouting_Release(routing);
    }
}

/* The longest key, and one that is longer. */
static void
test_long_keys(void)
{
    for (size_t size = 1024; size <= 1025; size++) {
        char *key = g_strnfill(size, 'k');
        char *list = g_strdup_printf("[" CUSTOMER("a", "'%s'") "]", key);
        KcError error = {0};
        KcRouting *routing = read_customers(list, &error);

        g_assert_nonnull(routing);
        g_assert_cmpuint(routing->unread_keys, ==, size - 1024);
        g_assert_cmpuint(TAILQ_FIRST(&routing->customer_list)->key_count, ==,
                         1025 - size);
        KcRouting_Release(routing);
        g_free(list);
        g_free(key);
    }
}

/* Only true makes a route one that needs no key. */
static const struct {
    const char *field;
    bool keyless;
} keyless_cases[] = {
    {"", false},
    {",'keyless':true", true},
    {",'keyless':false", false},
    {",'keyless':null", false},
    {",'keyless':1", false},
    {",'keyless':'true'", false},
};

static void
test_keyless(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(keyless_cases); i++) {
        char *text = g_strdup_printf("{'version':3,'routes':[{" ROUTE_FIELDS
                                     ",'service':'s'%s}]}",
                                     keyless_cases[i].field);
        json_t *json = parse(text);
        KcError error = {0};
        KcRouting *routing = KcPlatform_Current.read_routing(json, &error);

        g_assert_nonnull(routing);
        g_assert_cmpint(KcRouting_FindRule(routing, "h", "/a/")->keyless, ==,
                        keyless_cases[i].keyless);
        KcRouting_Release(routing);
        json_decref(json);
        g_free(text);
    }
}

/* Random pieces of JSON as customers: whatever can be parsed is decoded, and
 * the sound customer behind it holds its key. */
#define RANDOM_ROUNDS 20000

static void
test_random_customers(void)
{
    static const char *const pieces[] = {"{",           "}",
                                         "[",           "]",
                                         ",",           ":",
                                         "'name'",      "'keys'",
                                         "'x'",         "'b'",
                                         "'unit'",      "'tokens'",
                                         "'priority'",  "1",
                                         "-1",          "1e300",
                                         "null",        "true",
                                         "''",          "' '",
                                         "'burst'",     "'rate_per_s'",
                                         "{'name':'a'", "'keys':",
                                         "['x','y']"};
    GRand *random = g_rand_new_with_seed(52);
    int decoded_count = 0;

    for (int round = 0; round < RANDOM_ROUNDS; round++) {
        GString *list = g_string_new("[");
        json_t *json;
        int count = g_rand_int_range(random, 1, 12);

        for (int i = 0; i < count; i++) {
            g_string_append(
                list,
                pieces[g_rand_int_range(random, 0, G_N_ELEMENTS(pieces))]);
        }
        g_string_append(list, "," CUSTOMER("sound", "'z'") "]");
        g_strdelimit(list->str, "'", '"');
        json = json_loads(list->str, 0, NULL);
        if (json != NULL) {
            json_t *config = json_pack("{s:i, s:[], s:o}", "version", 1,
                                       "routes", "tenants", json);
            KcError error = {0};
            KcRouting *routing =
                KcPlatform_Current.read_routing(config, &error);
            GString *sound = g_string_new("");

            g_assert_nonnull(routing);
            g_assert_true(routing->has_customers);
            append_customer(
                sound, routing,
                TAILQ_LAST(&routing->customer_list, KcRoutedCustomerList));
            g_assert_cmpstr(sound->str, ==, "sound z" PLAIN_TERMS);
            g_string_free(sound, TRUE);
            KcRouting_Release(routing);
            json_decref(config);
            decoded_count++;
        }
        g_string_free(list, TRUE);
    }
    g_assert_cmpint(decoded_count, >, 100);
    g_rand_free(random);
}

/* ---- announced versions ------------------------------------------------- */

static const struct {
    const char *json;
    const char *invalid_field; /* step of the error; NULL: valid */
} version_cases[] = {
    {"{'model':'m','adapter':'a','version':2}", NULL},
    {"{'model':'m','version':2}", NULL},
    {"{'adapter':'a','version':2}", "model"},
    {"{'model':'m','adapter':'a'}", "version"},
    {"{'model':'m','adapter':'a','version':0}", "version"},
    {"{'model':'m','adapter':'a','version':'2'}", "version"},
    {"{'model':'m','adapter':'a','version':4294967295}", NULL},
    {"{'model':'m','adapter':'a','version':4294967297}", "version"},
    {"{'model':'m','adapter':'a','version':1e300}", "version"},
    {NULL, "value"},
};

static void
test_versions(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(version_cases); i++) {
        json_t *json = parse(version_cases[i].json);
        KcReplicaInfo version;
        KcError error = {0};
        int code = KcPlatform_Current.read_version(json, &version, &error);

        g_assert_cmpint(code, ==,
                        version_cases[i].invalid_field != NULL ? KC_ERR_PARSE
                                                               : 0);
        g_assert_cmpstr(error.step, ==, version_cases[i].invalid_field);
        json_decref(json);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/records/servers", test_servers);
    g_test_add_func("/records/server_names", test_server_names);
    g_test_add_func("/records/configurations", test_configurations);
    g_test_add_func("/records/caller_silence", test_caller_silence);
    g_test_add_func("/records/large_numbers", test_large_numbers);
    g_test_add_func("/records/customers", test_customers);
    g_test_add_func("/records/long_keys", test_long_keys);
    g_test_add_func("/records/keyless", test_keyless);
    g_test_add_func("/records/random_customers", test_random_customers);
    g_test_add_func("/records/versions", test_versions);
    return g_test_run();
}
