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
        KcFeedItem item = {.name = "i-1", .revision = 1, .body = json};
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
        KcFeedItem item = {
            .name = server_name_cases[i].name, .revision = 1, .body = json};
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
    g_test_add_func("/records/versions", test_versions);
    return g_test_run();
}
