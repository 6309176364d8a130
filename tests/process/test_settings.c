/*
 * Tests of the settings file: every mistake is reported with file, line and
 * key, and the defaults hold.
 */
#include <glib.h>
#include <string.h>

#include "../../programs/process/objects_http.h"
#include "../../programs/process/settings.h"

#define ENTRY                                                                 \
    "[process]\nrole = entry\nname = e1\ndatacentre = d\n"                    \
    "[listen]\ncallers = 127.0.0.1:1\nadmin = 127.0.0.1:2\n"                  \
    "[platform]\nobjects = 127.0.0.1:3\ninstances = 127.0.0.1:4\n"

#define AGENT                                                                 \
    "[process]\nrole = agent\nname = a1\ndatacentre = d\n"                    \
    "[listen]\nlinks = 127.0.0.1:1\nadmin = 127.0.0.1:2\n"                    \
    "[platform]\nobjects = 127.0.0.1:3\n"                                     \
    "[backend]\naddress = 127.0.0.1:5\nservice = llm\n"

#define GATEWAY                                                               \
    "[process]\nrole = gateway\nname = g1\ndatacentre = d\n"                  \
    "[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n"                  \
    "admin = 127.0.0.1:3\n[platform]\nobjects = 127.0.0.1:4\n"                \
    "[keeper]\nport = 5\n"

static const struct {
    const char *name;
    const char *text;
    int problem_count;
    int line;        /* of the first problem; 0: of no line */
    const char *key; /* of the first problem */
    const char *message_part;
} cases[] = {
    {"entry", ENTRY, 0, 0, NULL, NULL},
    {"agent", AGENT, 0, 0, NULL, NULL},
    {"unknown key", ENTRY "[limits]\nbody = 5\n", 1, 12, "[limits] body",
     "unknown key"},
    {"unknown section", ENTRY "[limit]\nbody_max = 5\n", 1, 12,
     "[limit] body_max", "unknown key"},
    {"not a number", ENTRY "[limits]\nbody_max = big\n", 1, 12,
     "[limits] body_max", "whole number"},
    {"out of range", ENTRY "[route]\nattempts_max = 99\n", 1, 12,
     "[route] attempts_max", "from 1 to 8"},
    {"unknown choice", ENTRY "[route]\npolicy = rand\n", 1, 12,
     "[route] policy", "one of: kcc random"},
    {"section named twice", ENTRY "[process]\n", 0, 0, NULL, NULL},
    {"setting of the other role", ENTRY "[backend]\nfencing = no\n", 1, 12,
     "[backend] fencing", "does not apply to role entry"},
    {"key twice", ENTRY "[process]\nname = e2\n", 1, 12, "[process] name",
     "before on line 3"},
    {"flag neither yes nor no", AGENT "fencing = true\n", 1, 13,
     "[backend] fencing", "yes or no"},
    {"lease renewed too late",
     ENTRY "[lease]\nttl_ms = 3000\nrenew_ms = 2000\n", 1, 0,
     "[lease] renew_ms", "a third"},
    {"gateway", GATEWAY, 0, 0, NULL, NULL},
    {"bounds of the platform with a fraction",
     GATEWAY "[retry]\nburst = 44.7\n[platform]\nleave_ms = 2500.5\n", 0, 0,
     NULL, NULL},
    {"burst below its range", GATEWAY "[retry]\nburst = -0.5\n", 1, 14,
     "[retry] burst", "from 0 to"},
    {"few connections of a gateway",
     GATEWAY "[limits]\nconnections_max = 1000\n", 0, 0, NULL, NULL},
    {"few connections of an entry", ENTRY "[limits]\nconnections_max = 1000\n",
     1, 0, "[limits] requests_max", "connections_max"},
    {"few connections of an entry for all its requests",
     ENTRY "[limits]\nrequests_max = 900\nconnections_max = 1000\n", 0, 0,
     NULL, NULL},
    {"more connections than descriptors",
     GATEWAY "[limits]\nconnections_max = 24000\ndescriptors_max = 4100\n", 1,
     0, "[limits] connections_max", "2883"},
    {"as many connections as descriptors allow",
     GATEWAY "[limits]\nconnections_max = 2883\ndescriptors_max = 4100\n", 0,
     0, NULL, NULL},
    {"two choices", "[process]\nrole = entry agent\n", 7, 2, "[process] role",
     "one of: entry agent"},
    {"empty file", "", 7, 0, "[process] role", "must be given"},
    {"bad name", "[process]\nname = a b\n", 7, 2, "[process] name",
     "letters, digits"},
    {"port out of range", "[listen]\nadmin = 127.0.0.1:70000\n", 7, 2,
     "[listen] admin", "address:port"},
};

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
        KcSettings settings;
        KcProblem *problem;
        int count = 0;
        int code =
            KcSettings_Parse("file.ini", cases[i].text, strlen(cases[i].text),
                             &settings, &problems);

        g_test_message("%s", cases[i].name);
        TAILQ_FOREACH (problem, &problems, link) {
            count++;
        }
        g_assert_cmpint(count, ==, cases[i].problem_count);
        g_assert_cmpint(code, ==, count > 0 ? KC_ERR_INVALID : 0);
        problem = TAILQ_FIRST(&problems);
        if (problem != NULL) {
            g_assert_cmpstr(problem->file, ==, "file.ini");
            g_assert_cmpint(problem->line, ==, cases[i].line);
            g_assert_cmpstr(problem->key, ==, cases[i].key);
            g_assert_nonnull(strstr(problem->message, cases[i].message_part));
        }
        KcProblemList_Clear(&problems);
    }
}

static void
test_defaults(void)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcSettings settings;

    KcSettings_Parse("f", AGENT, strlen(AGENT), &settings, &problems);
    g_assert_cmpint(settings.role, ==, KC_ROLE_AGENT);
    g_assert_cmpstr(settings.service_name, ==, "llm");
    g_assert_true(settings.engine_checks_fence);
    g_assert_cmpint(settings.window_bytes, ==, 65536);
}

/* Time after which a change is in force everywhere. */
#define CHANGE_TIMEOUT_MS 16000

static void
test_dead_watch_outlasts_change(void)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcSettings settings;

    KcSettings_Parse("f", ENTRY, strlen(ENTRY), &settings, &problems);
    /* The head and the parts are read when the watch has failed. */
    g_assert_cmpint(settings.watch_timeout_ms +
                        KC_OBJECT_WATCH_MARGIN / KC_MS +
                        2 * settings.object_timeout_ms,
                    <=, CHANGE_TIMEOUT_MS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/settings/cases", test_cases);
    g_test_add_func("/settings/defaults", test_defaults);
    g_test_add_func("/settings/dead watch of the head outlasts a change",
                    test_dead_watch_outlasts_change);
    return g_test_run();
}
