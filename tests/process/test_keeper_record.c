/*
 * Tests of a process's own record in the object API, of which an earlier
 * process has left one or not, and of what a keeper writes there.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../../programs/process/keeper_record.h"
#include "../../programs/process/loop.h"
#include "../../programs/process/own_record.h"
#include "../json_cases.h"
#include "../steps.h"

/* ---- the record and the calls for it --------------------------------------
 */

/* A fake object API: calls wait for a step of the case. */
typedef struct Fixture {
    KcTimers *timers;
    KcOwnRecord record;
    KcObjectCallback on_done; /* of the outstanding call; NULL: none */
    void *done_context;
    GString *trace;
} Fixture;

static void
fake_get(void *objects, const char *name, KcObjectCallback done, void *context)
{
    Fixture *fixture = objects;

    g_assert_cmpstr(name, ==, "records/me");
    g_assert_null(fixture->on_done);
    fixture->on_done = done;
    fixture->done_context = context;
    g_string_append(fixture->trace, "get ");
}

static void
fake_put(void *objects, const char *name, KcBytes value, uint64_t expected,
         KcObjectCallback done, void *context)
{
    Fixture *fixture = objects;

    g_assert_cmpstr(name, ==, "records/me");
    g_assert_null(fixture->on_done);
    fixture->on_done = done;
    fixture->done_context = context;
    g_string_append_printf(fixture->trace, "%s:%.*s ",
                           expected == KC_OBJECT_ABSENT ? "create" : "replace",
                           (int)value.size, value.data);
}

static const KcObjectOps fake_object_ops = {fake_get, fake_put, NULL};

static void
on_found(void *context, KcBytes value)
{
    Fixture *fixture = context;

    g_string_append_printf(fixture->trace, "found:%.*s ", (int)value.size,
                           value.data);
}

/* As a keeper does that takes over what it has found. */
static void
on_found_change(void *context, KcBytes value)
{
    on_found(context, value);
    KcOwnRecord_Change(&((Fixture *)context)->record, "taken");
}

static void
on_written(void *context, KcRevision revision)
{
    g_string_append_printf(((Fixture *)context)->trace, "written:%d.%d ",
                           (int)revision.era, (int)revision.number);
}

static void
answer(Fixture *fixture, int code, uint64_t version, const char *value)
{
    KcObjectReply reply = {.code = code,
                           .version = version,
                           .value = {value, strlen(value)},
                           .era = 4};
    KcObjectCallback on_done = fixture->on_done;

    g_assert_nonnull(on_done);
    fixture->on_done = NULL;
    on_done(fixture->done_context, &reply);
}

/* Steps: f: not found, v: an earlier value, r: written, x: conflict, d: the
 * store is down, t: the timer fires, c: the value is changed, l: the store
 * may have lost the record. */
static void
run_step(Fixture *fixture, char step)
{
    switch (step) {
    case 'f':
        answer(fixture, KC_ERR_NOT_FOUND, 0, "");
        break;
    case 'v':
        answer(fixture, 0, 3, "old");
        break;
    case 'r':
        answer(fixture, 0, 7, "");
        break;
    case 'x':
        answer(fixture, KC_ERR_CONFLICT, 0, "");
        break;
    case 'd':
        answer(fixture, KC_ERR_OBJECT_API_UNAVAILABLE, 0, "");
        break;
    case 't':
        KcTimers_Run(fixture->timers, KcLoop_Now() + 10 * KC_SECOND);
        break;
    case 'l':
        KcOwnRecord_Renew(&fixture->record);
        break;
    case 'c':
        KcOwnRecord_Change(&fixture->record, "changed");
        break;
    default:
        g_assert_not_reached();
    }
}

static const struct {
    const char *name;
    void (*on_found)(void *context, KcBytes value);
    const char *steps;
    const char *trace;
} record_cases[] = {
    {"not read, none left", NULL, "r", "create:new written:4.7 "},
    {"not read, one left", NULL, "xr", "create:new replace:new written:4.7 "},
    {"none left", on_found, "fr", "get found: create:new written:4.7 "},
    {"one left", on_found, "vr", "get found:old replace:new written:4.7 "},
    {"one left, and taken over", on_found_change, "vr",
     "get found:old replace:taken written:4.7 "},
    {"can't be read", on_found, "dxr",
     "get found: create:new replace:new written:4.7 "},
    {"changed after it is written", on_found, "frcr",
     "get found: create:new written:4.7 replace:changed written:4.7 "},
    {"changed while it is read", on_found, "cfr",
     "get found: create:changed written:4.7 "},
    {"changed while it is written", on_found, "fcrr",
     "get found: create:new written:4.7 replace:changed written:4.7 "},
    {"lost after it is written", NULL, "rlr",
     "create:new written:4.7 create:new written:4.7 "},
    {"not lost after it is written", NULL, "rlxr",
     "create:new written:4.7 create:new replace:new written:4.7 "},
    {"lost while it is written", NULL, "lrr",
     "create:new written:4.7 create:new written:4.7 "},
    {"lost twice", NULL, "rllrr",
     "create:new written:4.7 create:new written:4.7 create:new written:4.7 "},
    {"lost while it is changed", NULL, "rclrr",
     "create:new written:4.7 replace:changed written:4.7 create:changed "
     "written:4.7 "},
    {"lost while it is changed, and missed", NULL, "rcdltr",
     "create:new written:4.7 replace:changed create:changed written:4.7 "},
    {"lost and changed", NULL, "rlcrr",
     "create:new written:4.7 create:new written:4.7 replace:changed "
     "written:4.7 "},
    {"lost while the store is down", NULL, "dltr",
     "create:new create:new written:4.7 "},
    {"lost while it is read", on_found, "lfr",
     "get found: create:new written:4.7 "},
    {"changed while the store is down", on_found, "fdctxr",
     "get found: create:new create:changed replace:changed written:4.7 "},
};

static void
test_record(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.timers = KcTimers_Create(KcLoop_Now()),
                       .trace = g_string_new("")};
    KcOwnRecordOptions options = {.object_ops = &fake_object_ops,
                                  .object_context = &fixture,
                                  .timers = fixture.timers,
                                  .collection = "records",
                                  .name = "me",
                                  .on_found = record_cases[index].on_found,
                                  .on_written = on_written,
                                  .context = &fixture};

    KcOwnRecord_Write(&fixture.record, &options, "new");
    for (const char *step = record_cases[index].steps; *step != '\0'; step++) {
        run_step(&fixture, *step);
    }
    g_assert_cmpstr(fixture.trace->str, ==, record_cases[index].trace);
    g_assert_null(fixture.on_done);
    KcOwnRecord_Clear(&fixture.record);
    KcTimers_Free(fixture.timers);
    g_string_free(fixture.trace, TRUE);
}

/* ---- what a keeper writes -------------------------------------------------
 */

#define RECORD(engine)                                                        \
    "{'service':'s','address':'127.0.0.1:1','health_path':'/h','engine':{"    \
    "'memory_mb':75000.5," engine "}}"
#define COUNTS "'adapter_slots':16,'concurrency':64,'kv_tokens':243576,"
#define MODEL(name) "{'name':'" name "','weights_mb':72700,'adapter_mb':66.5}"

static const struct {
    const char *name;
    const char *text; /* as in json_cases.h */
    bool is_sound;
} text_cases[] = {
    {"one model", RECORD(COUNTS "'models':[" MODEL("m0") "]"), true},
    {"two models", RECORD(COUNTS "'models':[" MODEL("m0") "," MODEL("m1") "]"),
     true},
    {"no model", RECORD(COUNTS "'models':[]"), true},
    {"more than is known", RECORD(COUNTS "'models':[],'x':DEEP_OBJECT"),
     false},
    {"of an earlier version", "{'incarnation':'0123456789abcdef'}", false},
    {"no models", RECORD(COUNTS "'x':0"), false},
    {"a model that is none", RECORD(COUNTS "'models':[5]"), false},
    {"a long name", RECORD(COUNTS "'models':[" MODEL("LONG") "]"), false},
    {"no counts", RECORD("'models':[]"), false},
    {"a negative count",
     RECORD("'adapter_slots':-1,'concurrency':64,'kv_tokens':1,'models':[]"),
     false},
    {"a count that is none",
     RECORD("'adapter_slots':1.5,'concurrency':64,'kv_tokens':1,'models':[]"),
     false},
    {"an array", "[]", false},
    {"cut off", "{'service':'s'", false},
    {"nothing", "", false},
};

static void
test_text(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char *text = JsonCases_Expand(text_cases[index].text);
    KcKeeperRecord record;
    KcKeeperRecord copy;
    char *written;
    int code = KcKeeperRecord_Decode((KcBytes){text, strlen(text)}, &record);

    g_assert_cmpint(code, ==, text_cases[index].is_sound ? 0 : KC_ERR_PARSE);
    if (code == 0) {
        g_assert_cmpstr(record.service, ==, "s");
        g_assert_cmpstr(record.address, ==, "127.0.0.1:1");
        g_assert_cmpuint(record.engine.adapter_slots, ==, 16);
        written = KcKeeperRecord_Encode(&record, 1);
        g_assert_cmpint(
            KcKeeperRecord_Decode((KcBytes){written, strlen(written)}, &copy),
            ==, 0);
        g_assert_true(
            KcKeeperRecord_Tells(&record, copy.health_path, &copy.engine));
        copy.engine.adapter_slots--;
        g_assert_false(
            KcKeeperRecord_Tells(&record, copy.health_path, &copy.engine));
        g_assert_false(
            KcKeeperRecord_Tells(&record, "/other", &record.engine));
        KcKeeperRecord_Clear(&copy);
        free(written);
    }
    KcKeeperRecord_Clear(&record);
    g_free(text);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/own-record", record_cases, G_N_ELEMENTS(record_cases),
                   sizeof(record_cases[0]), test_record);
    Steps_AddCases("/keeper-record", text_cases, G_N_ELEMENTS(text_cases),
                   sizeof(text_cases[0]), test_text);
    return g_test_run();
}
