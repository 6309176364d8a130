/*
 * Tests of the client of the platform's store: what it delivers of answers
 * that hold entries of other writers, and what it requests next.  Each case is
 * the bytes of the answers of a server.
 */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "../../programs/process/platform.h"
#include "../canned_server.h"
#include "../json_cases.h"
#include "../steps.h"

/* Longest duration of a case. */
#define GUARD_TIMEOUT (5 * KC_SECOND)
#define ANSWERS_MAX 3 /* with the NULL behind them */

/* Answers are written as in json_cases.h. */
#define ITEM(name, spec)                                                      \
    "{'meta':{'name':'" name "','revision':3},'spec':" spec "}"
#define SOUND(name) ITEM(name, "{'a':1}")
#define PAGE(items) "{'items':[" items "],'has_more':false,'at':7}"
#define FULL_PAGE(items) "{'items':[" items "],'has_more':true,'at':7}"
#define EVENT(object) "{'object':" object ",'deleted':false}"
#define DELETION(object) "{'object':" object ",'deleted':true}"
#define EVENTS(events) "{'events':[" events "],'at':9}"

#define LIST "/objects/servers"
#define AFTER(name) LIST "?after=" name
#define WATCH_7 LIST "?watch=7&wait_ms=1000"
#define WATCH_9 LIST "?watch=9&wait_ms=1000"

/* Items are NAME@REVISION with "=" and the value of "a", "?" without a value
 * that can be decoded, or "-" for a deletion. */
static const struct {
    const char *name;
    const char *answers[ANSWERS_MAX];
    const char *items;
    const char *targets; /* of the requests, also of that after the answers */
} feed_cases[] = {
    {"sound page",
     {PAGE(SOUND("v") "," SOUND("w"))},
     "v@3=1 w@3=1",
     LIST " " WATCH_7},
    {"empty page", {PAGE("")}, "", LIST " " WATCH_7},
    {"blanks between all parts",
     {" { 'items' : [ { 'meta' : { 'name' : 'v' , 'revision' : 3 } ,\n"
      " 'spec' : { 'a' : 1 } } ] , 'has_more' : false , 'at' : 7 } \n"},
     "v@3=1",
     LIST " " WATCH_7},
    {"brackets and quotes in texts",
     {PAGE(ITEM("v", "{'b':'}]\\\\\\\"{','a':1}") "," SOUND("w"))},
     "v@3=1 w@3=1",
     LIST " " WATCH_7},
    /* values that the JSON library rejects */
    {"nested arrays",
     {PAGE(ITEM("odd", "DEEP") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"nested objects",
     {PAGE(ITEM("odd", "DEEP_OBJECT") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"a nested field among sound ones",
     {PAGE(ITEM("odd", "{'a':1,'b':DEEP}") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"an integer beyond 64 bits",
     {PAGE(
         ITEM("odd", "{'a':123456789012345678901234567890}") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"a number beyond a double",
     {PAGE(ITEM("odd", "{'a':1e999}") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"not a number",
     {PAGE(ITEM("odd", "{'a':NaN}") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"bytes that are no UTF-8",
     {PAGE(ITEM("odd", "{'a':'\xff\xfe'}") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"half of a surrogate pair",
     {PAGE(ITEM("odd", "{'a':'\\ud800'}") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"a NUL in a text",
     {PAGE(ITEM("odd", "{'a':'\\u0000'}") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"a line break in a text",
     {PAGE(ITEM("odd", "{'a':'\n'}") "," SOUND("w"))},
     "odd@3? w@3=1",
     LIST " " WATCH_7},
    {"last of its page",
     {FULL_PAGE(SOUND("v") "," ITEM("odd", "DEEP")), PAGE(SOUND("w"))},
     "v@3=1 odd@3? w@3=1",
     LIST " " AFTER("odd") " " WATCH_7},
    /* parts that are not the value */
    {"nested finalizers and status",
     {PAGE("{'meta':{'name':'v','finalizers':DEEP,'revision':3},"
           "'status':DEEP,'spec':{'a':1}}")},
     "v@3=1",
     LIST " " WATCH_7},
    {"a revision beyond 64 bits",
     {PAGE("{'meta':{'name':'v','revision':123456789012345678901},"
           "'spec':{'a':1}}," SOUND("w"))},
     "v@0=1 w@3=1",
     LIST " " WATCH_7},
    {"no name",
     {PAGE("{'meta':{'revision':3},'spec':{'a':1}}," SOUND("w"))},
     "w@3=1",
     LIST " " WATCH_7},
    {"a name of another type",
     {PAGE("{'meta':{'name':DEEP,'revision':3},'spec':{'a':1}}," SOUND("w"))},
     "w@3=1",
     LIST " " WATCH_7},
    {"a number as name, last of its page",
     {FULL_PAGE(SOUND("v") ",{'meta':{'name':5,'revision':3},'spec':{}}"),
      PAGE(SOUND("w"))},
     "v@3=1 w@3=1",
     LIST " " AFTER("v") " " WATCH_7},
    {"a name that is no UTF-8, last of its page",
     {FULL_PAGE(SOUND("v") "," SOUND("\xff")), PAGE(SOUND("w"))},
     "v@3=1 w@3=1",
     LIST " " AFTER("v") " " WATCH_7},
    {"a name with a NUL names no other",
     {FULL_PAGE(SOUND("v\\u0000x")), PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " AFTER("v%00x") " " WATCH_7},
    {"items that are no objects",
     {PAGE("5,'x',[],null," SOUND("w"))},
     "w@3=1",
     LIST " " WATCH_7},
    /* names in requests */
    {"a name with delimiters",
     {FULL_PAGE(SOUND("a&b=c d+e#f%g/h?i")), PAGE(SOUND("w"))},
     "a&b=c d+e#f%g/h?i@3=1 w@3=1",
     LIST " " AFTER("a%26b%3Dc%20d%2Be%23f%25g%2Fh%3Fi") " " WATCH_7},
    {"a name that is not ASCII",
     {FULL_PAGE(SOUND("\xc3\xa9")), PAGE(SOUND("w"))},
     "\xc3\xa9@3=1 w@3=1",
     LIST " " AFTER("%C3%A9") " " WATCH_7},
    {"a name with a line break",
     {FULL_PAGE(SOUND("a\\r\\nb")), PAGE(SOUND("w"))},
     "a\r\nb@3=1 w@3=1",
     LIST " " AFTER("a%0D%0Ab") " " WATCH_7},
    {"a long name",
     {FULL_PAGE(SOUND("LONG")), PAGE(SOUND("w"))},
     "LONG@3=1 w@3=1",
     LIST " " AFTER("LONG") " " WATCH_7},
    /* Guards against a watch that begins behind all changes. */
    {"a page at a negative revision",
     {"{'items':[" SOUND("v") "],'has_more':false,'at':-1}", PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
    {"a watch at a negative revision",
     {PAGE(""), "{'events':[" EVENT(SOUND("v")) "],'at':-1}"},
     "",
     LIST " " WATCH_7 " " LIST},
    /* events */
    {"a nested value in an event",
     {PAGE(""), EVENTS(EVENT(ITEM("odd", "DEEP")) "," EVENT(SOUND("w")))},
     "odd@3? w@3=1",
     LIST " " WATCH_7 " " WATCH_9},
    {"the deletion of a nested value",
     {PAGE(""), EVENTS(DELETION(ITEM("odd", "DEEP")) "," EVENT(SOUND("w")))},
     "odd@3- w@3=1",
     LIST " " WATCH_7 " " WATCH_9},
    {"a nested event",
     {PAGE(""), EVENTS("DEEP," EVENT(SOUND("w")))},
     "w@3=1",
     LIST " " WATCH_7 " " WATCH_9},
    /* answers that are not whole, which the feed requests again */
    {"cut off inside an item",
     {"{'items':[" SOUND("w") ",{'meta':", PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
    {"cut off after the items",
     {"{'items':[" SOUND("w") "]", PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
    {"no revision",
     {"{'items':[" SOUND("w") "],'has_more':false}", PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
    {"no items",
     {"{'at':7,'has_more':false}", PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
    {"no JSON",
     {"busy", PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
    {"a comma behind the last item",
     {PAGE(SOUND("v") ","), PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
    {"a comma behind the last member",
     {"{'items':[" SOUND("v") "],'at':7,}", PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
    {"more to come after no name",
     {FULL_PAGE("{'meta':{}}"), PAGE(SOUND("w"))},
     "w@3=1",
     LIST " " LIST " " WATCH_7},
};

typedef struct Fixture {
    KcLoop *loop;
    CannedServer server;
    KcCounters counters;
    KcStore *store;
    GString *items;
    KcTimer guard;
} Fixture;

static void
on_guard(KcTimer *timer, KcTime now)
{
    (void)timer;
    (void)now;
    g_error("the last request did not come");
}

static void
start_fixture(Fixture *fixture, const char *const *answers)
{
    KcStoreOptions options = {.call_timeout = KC_SECOND};

    *fixture = (Fixture){.loop = KcLoop_Create(), .items = g_string_new("")};
    CannedServer_Start(&fixture->server, fixture->loop, answers);
    options.loop = fixture->loop;
    options.address = fixture->server.address;
    options.counters = &fixture->counters;
    fixture->store = KcPlatform_Current.open_store(&options);
    KcTimer_Init(&fixture->guard, on_guard, fixture);
    KcTimers_Set(fixture->loop->timers, &fixture->guard,
                 KcLoop_Now() + GUARD_TIMEOUT);
}

static void
end_fixture(Fixture *fixture)
{
    KcTimers_Clear(fixture->loop->timers, &fixture->guard);
    KcPlatform_Current.close_store(fixture->store);
    CannedServer_Stop(&fixture->server);
    KcLoop_Free(fixture->loop);
    g_string_free(fixture->items, TRUE);
}

/* ---- feeds ---------------------------------------------------------------- */

static void
on_item(void *context, const KcFeedItem *item, KcTime now)
{
    GString *items = ((Fixture *)context)->items;

    (void)now;
    g_string_append_printf(items, "%s%s@%d", items->len > 0 ? " " : "",
                           item->name, (int)item->revision.number);
    if (item->deleted) {
        g_string_append(items, "-");
    }
    else if (item->body == NULL) {
        g_string_append(items, "?");
    }
    else {
        g_string_append_printf(
            items, "=%d",
            (int)json_integer_value(json_object_get(item->body, "a")));
    }
}

static void
on_store_status(void *context, int code, KcTime now)
{
    (void)context;
    (void)code;
    (void)now;
}

static void
test_feed(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture;
    KcFeedOptions options = {.ops = KcPlatform_Current.feed_ops,
                             .collection = "servers",
                             .retry_delay = 10 * KC_MS,
                             .retry_delay_max = 10 * KC_MS,
                             .watch_timeout = KC_SECOND,
                             .on_item = on_item,
                             .on_store_status = on_store_status,
                             .context = &fixture};
    KcFeed *feed;
    char *items = JsonCases_Expand(feed_cases[index].items);
    char *targets = JsonCases_Expand(feed_cases[index].targets);

    start_fixture(&fixture, feed_cases[index].answers);
    options.store = fixture.store;
    options.timers = fixture.loop->timers;
    feed = KcFeed_Create(&options);
    KcFeed_Start(feed, KcLoop_Now());
    KcLoop_Run(fixture.loop);
    g_assert_cmpstr(fixture.items->str, ==, items);
    g_assert_cmpstr(fixture.server.targets->str, ==, targets);
    KcFeed_Free(feed);
    end_fixture(&fixture);
    g_free(items);
    g_free(targets);
}

/* ---- single objects ------------------------------------------------------- */

static const struct {
    const char *name;
    const char *object;
    const char *target;
    const char *answer;
    const char *value;
    int code;
    int version;
} object_cases[] = {
    {"sound", "gateways/g", "/objects/gateways/g", SOUND("g"), "{'a':1}", 0,
     3},
    {"a name with delimiters", "gateways/a&b c#d%e/f?g",
     "/objects/gateways/a%26b%20c%23d%25e%2Ff%3Fg", SOUND("g"), "{'a':1}", 0,
     3},
    {"a nested value", "gateways/g", "/objects/gateways/g", ITEM("g", "DEEP"),
     "", 0, 3},
    {"nested finalizers", "gateways/g", "/objects/gateways/g",
     "{'meta':{'revision':3,'finalizers':DEEP},'spec':{'a':1}}", "{'a':1}", 0,
     3},
    {"no JSON", "gateways/g", "/objects/gateways/g", "busy", "",
     KC_ERR_OBJECT_API_UNAVAILABLE, 0},
};

static void
on_object(void *context, const KcObjectReply *reply)
{
    Fixture *fixture = context;

    g_string_append_len(fixture->items, reply->value.data,
                        (gssize)reply->value.size);
    g_string_append_printf(fixture->items, " %d %d", reply->code,
                           (int)reply->version);
    KcLoop_Stop(fixture->loop);
}

static void
test_object(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    const char *answers[ANSWERS_MAX] = {object_cases[index].answer};
    Fixture fixture;
    char *value = JsonCases_Expand(object_cases[index].value);
    char *reply = g_strdup_printf("%s %d %d", value, object_cases[index].code,
                                  object_cases[index].version);

    start_fixture(&fixture, answers);
    KcPlatform_Current.object_ops->get(
        fixture.store, object_cases[index].object, on_object, &fixture);
    KcLoop_Run(fixture.loop);
    g_assert_cmpstr(fixture.server.targets->str, ==,
                    object_cases[index].target);
    g_assert_cmpstr(fixture.items->str, ==, reply);
    end_fixture(&fixture);
    g_free(value);
    g_free(reply);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/store/feed", feed_cases, G_N_ELEMENTS(feed_cases),
                   sizeof(feed_cases[0]), test_feed);
    Steps_AddCases("/store/object", object_cases, G_N_ELEMENTS(object_cases),
                   sizeof(object_cases[0]), test_object);
    return g_test_run();
}
