/*
 * Tests of the intake of an answer: what is cut off, why, and at which limit.
 *
 * Limits: body 100 bytes, skipped bodies 50 bytes, 2 skipped answers, 3
 * events, 2 comments, 1 s.  A pool of 64 KiB is shared by answers A and B;
 * each may keep 16 KiB beyond it.
 *
 * Steps, separated by semicolons, each for the answer A unless it begins with
 * "b":
 *   head LENGTH, skiphead LENGTH, body BYTES, skipbody BYTES
 *   event, comment, keep KIB, bkeep KIB, end, bend
 *   time MS                 since the start
 *
 * Trace: "STEP VALUE/LIMIT UNIT" of what is cut off; nothing else is traced.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>

#include <kcc.h>

#include "../steps.h"

#define KIB 1024

typedef struct Fixture {
    KcIntakePool pool;
    KcIntake answer_a;
    KcIntake answer_b;
    GString *trace;
} Fixture;

static void
trace_cut(Fixture *fixture, const KcIntake *intake, int code)
{
    if (code == 0) {
        return;
    }
    g_assert_cmpint(code, <, 0);
    g_string_append_printf(fixture->trace, "%s %" PRIu64 "/%" PRIu64 " %s; ",
                           intake->cut_step, intake->cut_value,
                           intake->cut_limit, intake->cut_unit);
}

static void
step_head(Fixture *fixture, char **words)
{
    bool is_skipped = words[0][0] == 's';

    trace_cut(fixture, &fixture->answer_a,
              KcIntake_AddHead(&fixture->answer_a,
                               strtoull(words[1], NULL, 10), is_skipped));
}

static void
step_body(Fixture *fixture, char **words)
{
    bool is_skipped = words[0][0] == 's';

    trace_cut(fixture, &fixture->answer_a,
              KcIntake_AddBody(&fixture->answer_a,
                               strtoull(words[1], NULL, 10), is_skipped));
}

static void
step_event(Fixture *fixture, char **words)
{
    bool has_id = words[0][0] == 'e';

    trace_cut(fixture, &fixture->answer_a,
              KcIntake_AddEvent(&fixture->answer_a, has_id));
}

static KcIntake *
find_answer(Fixture *fixture, char **words)
{
    return words[0][0] == 'b' ? &fixture->answer_b : &fixture->answer_a;
}

static void
step_keep(Fixture *fixture, char **words)
{
    KcIntake *intake = find_answer(fixture, words);

    trace_cut(fixture, intake,
              KcIntake_Keep(intake, (size_t)atoi(words[1]) * KIB));
}

static void
step_end(Fixture *fixture, char **words)
{
    KcIntake_End(find_answer(fixture, words));
}

static void
step_time(Fixture *fixture, char **words)
{
    trace_cut(fixture, &fixture->answer_a,
              KcIntake_CheckTime(&fixture->answer_a,
                                 KC_SECOND + atoi(words[1]) * KC_MS));
}

static const StepHandler step_handlers[] = {
    {"head", step_head},     {"skiphead", step_head}, {"body", step_body},
    {"skipbody", step_body}, {"event", step_event},   {"comment", step_event},
    {"keep", step_keep},     {"bkeep", step_keep},    {"end", step_end},
    {"bend", step_end},      {"time", step_time},
};

static const struct {
    const char *name;
    const char *steps;
    const char *trace;
} cases[] = {
    {"an answer within the limits",
     "head 100;body 60;body 40;event;event;event;comment;comment;time 999",
     ""},
    {"a stated length above the limit", "head 101",
     "answer length 101/100 bytes; "},
    {"a body above the limit in parts", "head 0;body 60;body 41",
     "answer body 101/100 bytes; "},
    {"a skipped answer's length", "skiphead 51",
     "answer length 51/50 bytes; "},
    {"bodies of skipped answers add up",
     "skiphead 0;skipbody 30;skiphead 0;skipbody 21",
     "skipped body 51/50 bytes; "},
    {"skipped bodies leave the answer its limit",
     "skiphead 50;skipbody 50;head 100;body 100", ""},
    {"too many skipped answers", "skiphead 0;skiphead 0;skiphead 0",
     "skipped answers 3/2 answers; "},
    {"too many events", "event;event;event;event",
     "stream events 4/3 events; "},
    {"too many comments", "comment;comment;comment",
     "stream comments 3/2 events; "},
    {"the time is not restarted", "body 1;time 999;body 1;time 1000",
     "answer time 1000/1000 ms; "},
    {"one answer may keep as much as it leaves, and a part", "keep 40;keep 41",
     "answers kept 41984/39936 bytes; "},
    {"two answers share the pool", "keep 26;bkeep 27;bkeep 28",
     "answers kept 28672/26624 bytes; "},
    {"an answer finds room beside a large one", "keep 40;bkeep 20;bkeep 21",
     "answers kept 21504/19456 bytes; "},
    {"the memory of an ended answer is free",
     "keep 40;end;bkeep 40;bend;keep 40", ""},
    {"an answer may end twice", "keep 40;end;end;bkeep 40", ""},
};

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.pool = {.kept_bytes_max = (size_t)64 * KIB}};
    KcIntakeLimits limits = {.body_bytes_max = 100,
                             .skipped_bytes_max = 50,
                             .skipped_max = 2,
                             .events_max = 3,
                             .unnumbered_events_max = 2,
                             .timeout = KC_SECOND,
                             .pool = &fixture.pool};

    fixture.trace = g_string_new("");
    KcIntake_Begin(&fixture.answer_a, &limits, KC_SECOND);
    KcIntake_Begin(&fixture.answer_b, &limits, KC_SECOND);
    Steps_Run(&fixture, step_handlers, G_N_ELEMENTS(step_handlers),
              cases[index].steps);
    g_assert_cmpstr(fixture.trace->str, ==, cases[index].trace);
    KcIntake_End(&fixture.answer_a);
    KcIntake_End(&fixture.answer_b);
    g_assert_cmpuint(fixture.pool.kept_bytes, ==, 0);
    g_string_free(fixture.trace, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/intake", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
