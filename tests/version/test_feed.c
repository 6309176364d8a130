/*
 * Tests of feeds: lists in pages, watches, lost history, failures, pokes; and
 * of the routing configuration that one of them brings.
 *
 * Steps: page NAME... [more], watched REV NAME... (-NAME is deleted), gone
 * (the history), fail, poke, wait MS.  Trace: "L(after)" and "W(rev)" calls,
 * "x" withdrawn, "begins", "+name", "-name", "listed", "lost", "back".
 */
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"

typedef struct Script {
    KcTimers *timers;
    KcFeed *feed;
    GString *trace;
    KcTime now;
    bool poke_within; /* the feed is poked from within contact */
} Script;

static void
on_list(void *store, KcFeed *feed, const char *kind, const char *after)
{
    (void)feed;
    g_assert_cmpstr(kind, ==, "things");
    g_string_append_printf(((Script *)store)->trace, "L(%s) ", after);
}

static void
on_watch(void *store, KcFeed *feed, const char *kind, uint64_t revision,
         KcTime wait)
{
    (void)feed;
    (void)kind;
    g_assert_cmpint(wait, ==, KC_SECOND);
    g_string_append_printf(((Script *)store)->trace, "W(%" PRIu64 ") ",
                           revision);
}

static void
on_cancel(void *store, KcFeed *feed)
{
    (void)feed;
    g_string_append(((Script *)store)->trace, "x ");
}

static const KcFeedOps ops = {on_list, on_watch, on_cancel};

static void
on_begins(void *context)
{
    g_string_append(((Script *)context)->trace, "begins ");
}

static void
on_item(void *context, const KcFeedItem *item, KcTime now)
{
    (void)now;
    g_string_append_printf(((Script *)context)->trace, "%s%s ",
                           item->deleted ? "-" : "+", item->name);
}

static void
on_listed(void *context, KcTime now)
{
    (void)now;
    g_string_append(((Script *)context)->trace, "listed ");
}

static void
on_contact(void *context, int code, KcTime now)
{
    Script *script = context;

    g_string_append(script->trace, code == 0 ? "back " : "lost ");
    if (script->poke_within) {
        KcFeed_Relist(script->feed, now);
    }
}

/* ---- steps --------------------------------------------------------------- */

static void
tell_items(Script *script, char **words)
{
    for (; *words != NULL && strcmp(*words, "more") != 0; words++) {
        bool deleted = **words == '-';
        KcFeedItem item = {.name = *words + (deleted ? 1 : 0),
                           .revision = 1,
                           .deleted = deleted};

        KcFeed_OnItem(script->feed, &item, script->now);
    }
}

static void
step_page(Script *script, char **words)
{
    guint count = g_strv_length(words);
    bool more = strcmp(words[count - 1], "more") == 0;

    tell_items(script, words + 1);
    KcFeed_OnPageEnd(script->feed, more ? words[count - 2] : "", 5,
                     script->now);
}

static void
step_watched(Script *script, char **words)
{
    tell_items(script, words + 2);
    KcFeed_OnWatchEnd(script->feed, (uint64_t)atoi(words[1]), script->now);
}

static void
step_gone(Script *script, char **words)
{
    (void)words;
    KcFeed_OnFailure(script->feed, KC_ERR_NOT_FOUND, script->now);
}

static void
step_fail(Script *script, char **words)
{
    (void)words;
    KcFeed_OnFailure(script->feed, KC_ERR_OBJECT_API_UNAVAILABLE, script->now);
}

static void
step_poke(Script *script, char **words)
{
    (void)words;
    KcFeed_Relist(script->feed, script->now);
}

static void
step_within(Script *script, char **words)
{
    (void)words;
    script->poke_within = true;
}

static void
step_wait(Script *script, char **words)
{
    script->now += atoi(words[1]) * KC_MS;
    KcTimers_Run(script->timers, script->now);
}

static const Step steps[] = {
    {"page", step_page}, {"watched", step_watched}, {"gone", step_gone},
    {"fail", step_fail}, {"poke", step_poke},       {"within", step_within},
    {"wait", step_wait},
};

static const struct {
    const char *name;
    const char *steps;
    const char *trace;
} cases[] = {
    {"list and watch", "page a b;wait 20;watched 7 c -a;wait 20",
     "begins L() +a +b listed W(5) +c -a W(7) "},
    {"pages", "page a b more;page c;wait 20",
     "begins L() +a +b L(b) +c listed W(5) "},
    {"an empty watch", "page a;wait 20;watched 5;wait 20",
     "begins L() +a listed W(5) W(5) "},
    {"a lost history is listed anew", "page a;wait 20;gone;wait 20;page b",
     "begins L() +a listed W(5) begins L() +b listed "},
    {"a failure is told once, and followed by a list",
     "page a;wait 20;fail;wait 200;fail;wait 400;page a;wait 20",
     "begins L() +a listed W(5) lost begins L() begins L() +a back listed "
     "W(5) "},
    {"at once after one that was long without an answer",
     "page a;wait 20;wait 300;fail;page a",
     "begins L() +a listed W(5) lost begins L() +a back listed "},
    {"failures in a row are retried ever later, up to a bound",
     "fail;wait 200;fail;wait 390;wait 10;fail;wait 490;wait 10;fail;"
     "wait 500;page a;wait 20;fail;wait 200",
     "begins L() lost begins L() begins L() begins L() begins L() +a back "
     "listed W(5) lost begins L() "},
    {"a list that breaks off begins again", "page a more;fail;wait 200;page a",
     "begins L() +a L(a) lost begins L() +a back listed "},
    {"a poke asks at once", "page a;wait 20;poke;page a",
     "begins L() +a listed W(5) x begins L() +a listed "},
    {"a poke while listing or waiting changes nothing",
     "poke;page a;poke;wait 20", "begins L() +a listed W(5) "},
    {"a poke from within a failure asks once",
     "within;page a;wait 20;fail;wait 200;page a;wait 20",
     "begins L() +a listed W(5) lost begins L() +a back listed W(5) "},
};

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Script script = {.now = KC_SECOND};
    KcFeedOptions options = {.ops = &ops,
                             .store = &script,
                             .collection = "things",
                             .retry_delay = 200 * KC_MS,
                             .retry_delay_max = 500 * KC_MS,
                             .watch_timeout = KC_SECOND,
                             .watch_delay = 20 * KC_MS,
                             .on_list_begin = on_begins,
                             .on_item = on_item,
                             .on_list_end = on_listed,
                             .on_store_status = on_contact,
                             .context = &script};

    script.trace = g_string_new("");
    script.timers = KcTimers_Create(script.now);
    options.timers = script.timers;
    script.feed = KcFeed_Create(&options);
    KcFeed_Start(script.feed, script.now);
    Steps_Run(&script, steps, G_N_ELEMENTS(steps), cases[index].steps);
    g_assert_cmpstr(script.trace->str, ==, cases[index].trace);
    KcFeed_Free(script.feed);
    KcTimers_Free(script.timers);
    g_string_free(script.trace, TRUE);
}

/* ---- the routing configuration ------------------------------------------- */

static const struct {
    const char *host;
    const char *path;
    const char *rule; /* NULL: none */
} routes[] = {
    {"h", "/a/x", "a"},  {"h", "/a/b/x", "ab"},   {"H:80", "/a/b/", "ab"},
    {"h", "/a/b", "a"},  {"h", "/c/x", "root"},   {"h", "x", NULL},
    {"g", "/a/x", NULL}, {"h", "/a/?q=/b/", "a"}, {"", "/a/x", NULL},
};

static void
test_routes(void)
{
    static const struct {
        const char *prefix;
        const char *name;
    } rules[] = {{"/a/", "a"}, {"/", "root"}, {"/a/b/", "ab"}};
    KcRouting *routing = KcRouting_Create(1);
    KcError error;

    for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
        KcRouteRule *rule = KcRouting_AddRule(routing, "H", rules[i].prefix);

        KcText_Copy(rule->name, rules[i].name, KC_NAME_MAX);
        rule->request_timeout = KC_SECOND;
        rule->attempts_max = 1;
        KcRouting_AddTarget(rule, "s", 90);
        KcRouting_AddTarget(rule, "t", 10);
    }
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        const KcRouteRule *rule =
            KcRouting_FindRule(routing, routes[i].host, routes[i].path);

        g_assert_cmpstr(rule != NULL ? rule->name : NULL, ==, routes[i].rule);
    }
    g_assert_cmpstr(
        KcRouting_ChooseTarget(KcRouting_FindRule(routing, "h", "/a/"), 89)
            ->service,
        ==, "s");
    g_assert_cmpstr(
        KcRouting_ChooseTarget(KcRouting_FindRule(routing, "h", "/a/"), 90)
            ->service,
        ==, "t");
    KcRouting_AddRule(routing, "h", "/bad");
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, KC_ERR_INVALID);
    KcRouting_Release(routing);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/feed", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    g_test_add_func("/routing/find", test_routes);
    return g_test_run();
}
