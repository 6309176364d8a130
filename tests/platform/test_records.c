/*
 * Tests of the decoders of the platform's records: good ones, and for each
 * field what is wrong with it.
 */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "../../programs/process/platform.h"

/* ---- workers ------------------------------------------------------------- */

#define WORKER                                                                \
    "'service':'s','address':'10.0.0.1:80','zone':'z','slots':8,"             \
    "'state':'ready'"

static const struct {
    const char *name;
    const char *json;
    const char *fault; /* field; NULL: none */
    int held;          /* models and adapters */
} servers[] = {
    {"plain", "{" WORKER "}", NULL, 0},
    {"with models",
     "{" WORKER ",'models':[{'name':'m','version':1,"
     "'adapters':['a1@3','a2']}],'born':17}",
     NULL, 3},
    {"fields that are not known", "{" WORKER ",'new':{'x':[1]}}", NULL, 0},
    {"no service",
     "{'address':'1.2.3.4:5','zone':'z','slots':1,"
     "'state':'ready'}",
     "service", 0},
    {"an address without a port",
     "{'service':'s','address':'1.2.3.4','zone':'z','slots':1,"
     "'state':'ready'}",
     "address", 0},
    {"an address of another type",
     "{'service':'s','address':7,'zone':'z','slots':1,'state':'ready'}",
     "address", 0},
    {"a state that is not known",
     "{'service':'s','address':'1.2.3.4:5','zone':'z','slots':1,"
     "'state':'busy'}",
     "state", 0},
    {"no slots",
     "{'service':'s','address':'1.2.3.4:5','zone':'z',"
     "'state':'ready'}",
     "slots", 0},
    {"slots of another type",
     "{'service':'s','address':'1.2.3.4:5','zone':'z','slots':'8',"
     "'state':'ready'}",
     "slots", 0},
    {"born that is no whole number", "{" WORKER ",'born':1.5}", "born", 0},
    {"models that are no list", "{" WORKER ",'models':5}", "models", 0},
    {"a model without a name", "{" WORKER ",'models':[{'version':1}]}",
     "models", 0},
    {"no object at all", "[1,2]", "service", 0},
    {"null", "null", "service", 0},
};

/* Cases are written with single quotes. */
static json_t *
parse(const char *text)
{
    char *copy = g_strdelimit(g_strdup(text), "'", '"');
    json_t *json = json_loads(copy, JSON_DECODE_ANY, NULL);

    g_assert_nonnull(json);
    g_free(copy);
    return json;
}

static void
test_servers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        json_t *json = parse(servers[i].json);
        KcFeedItem item = {.name = "i-1", .revision = 1, .body = json};
        KcServerInfo info;
        KcError error = {0};
        const KcReplicaInfo *held;
        int count = 0;
        int code;

        g_test_message("%s", servers[i].name);
        KcServerInfo_Init(&info);
        code = KcPlatform_Current.read_server(&item, &info, &error);
        g_assert_cmpint(code, ==, servers[i].fault != NULL ? KC_ERR_PARSE : 0);
        g_assert_cmpstr(error.step, ==, servers[i].fault);
        TAILQ_FOREACH (held, &info.replicas, link) {
            count++;
        }
        if (code == 0) {
            g_assert_cmpint(count, ==, servers[i].held);
        }
        KcServerInfo_Clear(&info);
        json_decref(json);
    }
}

/* ---- the configuration --------------------------------------------------- */

#define ROUTE                                                                 \
    "'name':'r','host':'h','path_prefix':'/a/','kind':'safe',"                \
    "'timeout_ms':1000,'goal_ms':200,'max_attempts':2,'priority':1"

static const struct {
    const char *name;
    const char *json;
    const char *fault;
    const char *peer; /* name of the route or service at fault */
} configurations[] = {
    {"a route", "{'version':3,'routes':[{" ROUTE ",'service':'s'}]}", NULL,
     NULL},
    {"a split route",
     "{'version':3,'routes':[{" ROUTE ",'split':[{'service':'s','weight':90},"
     "{'service':'t','weight':0.5}]}]}",
     NULL, NULL},
    {"an engine",
     "{'version':3,'routes':[],'services':[{'name':'s','conn_limit':5,"
     "'engine':{'slots':4,'adapter_slots':3,'mb':10,'models':[{'name':'m',"
     "'mb':5,'adapter_mb':1}]}}]}",
     NULL, NULL},
    {"no version", "{'routes':[]}", "version", ""},
    {"a version of another type", "{'version':'3','routes':[]}", "version",
     ""},
    {"a kind that is not known",
     "{'version':3,'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
     "'kind':'odd'}]}",
     "kind", "r"},
    {"no host",
     "{'version':3,'routes':[{'name':'r','path_prefix':'/a/','kind':'safe'}]}",
     "host", "r"},
    {"a prefix without slashes",
     "{'version':3,'routes':[{'name':'r','host':'h','path_prefix':'a',"
     "'kind':'safe','timeout_ms':5,'service':'s'}]}",
     "route", "r"},
    {"no service", "{'version':3,'routes':[{" ROUTE "}]}", "route", "r"},
    {"a negative time-out",
     "{'version':3,'routes':[{'name':'r','host':'h','path_prefix':'/a/',"
     "'kind':'safe','timeout_ms':-5,'service':'s'}]}",
     "number", "r"},
    {"limits of another type",
     "{'version':3,'routes':[],'limits':{'max_body_bytes':'many'}}", "limits",
     ""},
};

static void
test_configurations(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(configurations); i++) {
        json_t *json = parse(configurations[i].json);
        KcError error = {0};
        KcRouting *routing = KcPlatform_Current.read_routing(json, &error);

        g_test_message("%s", configurations[i].name);
        g_assert_cmpstr(error.step, ==, configurations[i].fault);
        if (configurations[i].fault != NULL) {
            g_assert_null(routing);
            g_assert_cmpstr(error.peer, ==, configurations[i].peer);
        }
        else {
            g_assert_cmpint(routing->version, ==, 3);
        }
        KcRouting_Release(routing);
        json_decref(json);
    }
}

/* When the callers of a stream leave it. */
static const struct {
    int objective; /* ms */
    int pause;     /* ms; 0: not given */
    int leaves;    /* ms */
} patience[] = {
    {100, 0, 2000},   {1000, 0, 4000},    {800, 400, 3200},
    {600, 400, 3200}, {1000, 1000, 8000},
};

static void
test_patience(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(patience); i++) {
        char *text = g_strdup_printf(
            "{'version':3,'routes':[{'name':'r','host':'h','path_prefix':"
            "'/a/','kind':'streaming','timeout_ms':9000,'goal_ms':%d,"
            "'gap_goal_ms':%d,'service':'s'}]}",
            patience[i].objective, patience[i].pause);
        json_t *json = parse(text);
        KcError error = {0};
        KcRouting *routing = KcPlatform_Current.read_routing(json, &error);

        g_assert_nonnull(routing);
        g_assert_cmpint(
            KcRouting_FindRule(routing, "h", "/a/")->caller_silence_timeout,
            ==, patience[i].leaves * KC_MS);
        KcRouting_Release(routing);
        json_decref(json);
        g_free(text);
    }
}

/* ---- announced versions -------------------------------------------------- */

static const struct {
    const char *json;
    const char *fault;
} versions[] = {
    {"{'model':'m','adapter':'a','version':2}", NULL},
    {"{'model':'m','version':2}", NULL},
    {"{'adapter':'a','version':2}", "model"},
    {"{'model':'m','adapter':'a'}", "version"},
    {"{'model':'m','adapter':'a','version':0}", "version"},
    {"{'model':'m','adapter':'a','version':'2'}", "version"},
};

static void
test_versions(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
        json_t *json = parse(versions[i].json);
        KcReplicaInfo version;
        KcError error = {0};
        int code = KcPlatform_Current.read_version(json, &version, &error);

        g_assert_cmpint(code, ==,
                        versions[i].fault != NULL ? KC_ERR_PARSE : 0);
        g_assert_cmpstr(error.step, ==, versions[i].fault);
        json_decref(json);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/records/servers", test_servers);
    g_test_add_func("/records/configurations", test_configurations);
    g_test_add_func("/records/patience", test_patience);
    g_test_add_func("/records/versions", test_versions);
    return g_test_run();
}
