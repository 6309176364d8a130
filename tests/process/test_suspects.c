/*
 * Tests of the evidence against parts of prompts: which part is blocked, for
 * which prompts, and what processes make of each other's news.
 *
 * Processes are a, b and c, each told what the others publish unless it is cut
 * off.  Parts are single letters, prompts words of them, instances of servers
 * numbers.  Three ends block a part, if there were six answers on other
 * prompts since the first one; evidence counts for 600 s, trials are due after
 * 60 s, 300 s and 1500 s, six parts are remembered.
 *
 * Steps, separated by semicolons:
 *   end P INSTANCE PROMPT   a server ended with an attempt on the prompt, as
 *                           process P learns from its keeper
 *   rack P INSTANCE PROMPT  the same of one that ended at the moment of the
 * last one answer P PROMPT         P sees an answer on the prompt begin others
 * P ANSWERS        P sees so many answers on other prompts begin review P
 * traces whether P has a part to decide on later unanswered P SECONDS PROMPT
 * traces the parts of the prompt on which P has seen no answer for so long cut
 * P, join P           P is cut off; it is back, and all tell each other what
 * they know restart P               P forgets everything blocks P PROMPT
 * traces for which part P blocks the prompt, "-": none try P PART PROMPT the
 * same for a prompt that tries the part due P PART, grant P PART, clear P PART
 * told P PART N           P is told that the part was blocked again after N
 *                         trials, and traces how many it knows of
 * wait SECONDS
 *
 * Trace: "a!x" part x is blocked at a, "a?x" suspected, "a+x" cleared, "a~x"
 * tried; "x" and "-" for blocks, the parts for unanswered, "yes" and "no" for
 * due and clear.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"

#define PROCESSES 3
#define PROMPT_SIZE 8
#define PARTS_MAX 6

typedef struct Process {
    struct Fixture *fixture;
    char name;
    bool is_cut;
    KcSuspects suspects;
} Process;

typedef struct Fixture {
    KcTime now;
    KcCounters counters;
    GString *trace;
    Process processes[PROCESSES];
} Fixture;

/* ---- processes ----------------------------------------------------------- */

static void receive(Process *process, const KcSuspectNews *news);

static void
publish(void *context, const KcSuspectNews *news)
{
    Process *sender = context;

    for (int i = 0; i < PROCESSES && !sender->is_cut; i++) {
        Process *process = &sender->fixture->processes[i];

        if (process != sender && !process->is_cut) {
            receive(process, news);
        }
    }
}

static void
receive(Process *process, const KcSuspectNews *news)
{
    KcSuspects *suspects = &process->suspects;
    KcSuspectNews cleared = {.kind = KC_SUSPECT_NEWS_CLEARED,
                             .part = news->part};

    if (KcSuspects_Receive(suspects, news, process->fixture->now) ==
        KC_SUSPECT_VOID) {
        cleared.epoch = KcSuspects_Find(suspects, news->part)->epoch;
        publish(process, &cleared);
    }
}

static void
record(void *context, KcSuspectStep step, const KcSuspect *suspect,
       bool is_own)
{
    static const char signs[KC_SUSPECT_STEP_COUNT] = {'?', '!', '~', '+'};
    Process *process = context;

    (void)is_own;
    g_string_append_printf(process->fixture->trace, "%c%c%c; ", process->name,
                           signs[step], (char)suspect->part);
}

static const KcSuspectOps suspect_ops = {publish, NULL, record};

static void
init_process(Process *process)
{
    KcSuspectOptions options;

    KcSuspectOptions_Init(&options);
    options.ops = &suspect_ops;
    options.context = process;
    options.counters = &process->fixture->counters;
    options.parts_max = PARTS_MAX;
    KcSuspects_Init(&process->suspects, &options);
}

static Process *
find_process(Fixture *fixture, char **words)
{
    return &fixture->processes[words[1][0] - 'a'];
}

/* Turns a word into the ids of its letters; returns their number. */
static uint32_t
read_prompt(const char *word, uint64_t parts[PROMPT_SIZE])
{
    uint32_t count = 0;

    for (; word[count] != '\0'; count++) {
        parts[count] = (uint64_t)word[count];
    }
    return count;
}

/* ---- steps --------------------------------------------------------------- */

static void
note_end(Fixture *fixture, char **words)
{
    uint64_t parts[PROMPT_SIZE];
    KcServerEnd end = {.parts = parts};

    end.part_count = read_prompt(words[3], parts);
    KcSuspects_NoteEnd(&find_process(fixture, words)->suspects,
                       (uint64_t)atoi(words[2]), &end, fixture->now);
}

static void
step_end(Fixture *fixture, char **words)
{
    fixture->now += 200 * KC_MS;
    note_end(fixture, words);
}

static void
step_rack(Fixture *fixture, char **words)
{
    fixture->now += 10 * KC_MS;
    note_end(fixture, words);
}

static void
step_answer(Fixture *fixture, char **words)
{
    uint64_t parts[PROMPT_SIZE];
    uint32_t count = read_prompt(words[2], parts);

    KcSuspects_NoteAnswer(&find_process(fixture, words)->suspects, parts,
                          count, fixture->now);
}

static void
step_others(Fixture *fixture, char **words)
{
    KcSuspects *suspects = &find_process(fixture, words)->suspects;

    for (int i = 0; i < atoi(words[2]); i++) {
        KcSuspects_NoteAnswer(suspects, NULL, 0, fixture->now);
    }
}

static void
step_review(Fixture *fixture, char **words)
{
    bool is_any_left = KcSuspects_Review(
        &find_process(fixture, words)->suspects, fixture->now);

    g_string_append(fixture->trace, is_any_left ? "yes; " : "no; ");
}

static void
step_unanswered(Fixture *fixture, char **words)
{
    uint64_t parts[PROMPT_SIZE];
    uint64_t unanswered[PROMPT_SIZE];
    uint32_t count = read_prompt(words[3], parts);

    count = KcSuspects_SelectUnanswered(
        &find_process(fixture, words)->suspects, parts, count,
        fixture->now - atoi(words[2]) * KC_SECOND, unanswered);
    for (uint32_t i = 0; i < count; i++) {
        g_string_append_c(fixture->trace, (char)unanswered[i]);
    }
    g_string_append(fixture->trace, "; ");
}

static void
step_cut(Fixture *fixture, char **words)
{
    find_process(fixture, words)->is_cut = true;
}

/* News on the way, with the companions that they borrow. */
typedef struct Letter {
    KcSuspectNews news;
    uint64_t companions[KC_PROMPT_PARTS_MAX];
} Letter;

static void
write_letter(void *context, const KcSuspectNews *news)
{
    Letter letter = {.news = *news};

    if (news->companion_count > 0) {
        memcpy(letter.companions, news->companions,
               news->companion_count * sizeof(news->companions[0]));
    }
    g_array_append_val((GArray *)context, letter);
}

static void
step_join(Fixture *fixture, char **words)
{
    find_process(fixture, words)->is_cut = false;
    for (int i = 0; i < PROCESSES; i++) {
        Process *process = &fixture->processes[i];
        GArray *letters = g_array_new(FALSE, FALSE, sizeof(Letter));

        KcSuspects_TellAll(&process->suspects, write_letter, letters,
                           fixture->now);
        for (guint j = 0; j < letters->len; j++) {
            Letter *letter = &g_array_index(letters, Letter, j);

            letter->news.companions = letter->companions;
            publish(process, &letter->news);
        }
        g_array_free(letters, TRUE);
    }
}

static void
step_restart(Fixture *fixture, char **words)
{
    Process *process = find_process(fixture, words);

    KcSuspects_Clear(&process->suspects);
    init_process(process);
}

static void
trace_blocked(Fixture *fixture, const KcSuspects *suspects, const char *prompt,
              const KcSuspect *tried)
{
    uint64_t parts[PROMPT_SIZE];
    uint32_t count = read_prompt(prompt, parts);
    const KcSuspect *blocked =
        KcSuspects_FindBlocked(suspects, parts, count, tried);

    g_string_append_printf(fixture->trace, "%c; ",
                           blocked != NULL ? (char)blocked->part : '-');
}

static void
step_blocks(Fixture *fixture, char **words)
{
    trace_blocked(fixture, &find_process(fixture, words)->suspects, words[2],
                  NULL);
}

static void
step_try(Fixture *fixture, char **words)
{
    const KcSuspects *suspects = &find_process(fixture, words)->suspects;

    trace_blocked(fixture, suspects, words[3],
                  KcSuspects_Find(suspects, (uint64_t)words[2][0]));
}

static KcSuspect *
find_suspect(Fixture *fixture, char **words)
{
    KcSuspect *suspect = KcSuspects_Find(
        &find_process(fixture, words)->suspects, (uint64_t)words[2][0]);

    g_assert_nonnull(suspect);
    return suspect;
}

static void
step_due(Fixture *fixture, char **words)
{
    bool is_due =
        KcSuspects_IsTrialDue(&find_process(fixture, words)->suspects,
                              find_suspect(fixture, words), fixture->now);

    g_string_append(fixture->trace, is_due ? "yes; " : "no; ");
}

static void
step_grant(Fixture *fixture, char **words)
{
    KcSuspects_GrantTrial(&find_process(fixture, words)->suspects,
                          find_suspect(fixture, words), fixture->now);
}

static void
step_clear(Fixture *fixture, char **words)
{
    bool was_held =
        KcSuspects_ClearPart(&find_process(fixture, words)->suspects,
                             (uint64_t)words[2][0], fixture->now);

    g_string_append(fixture->trace, was_held ? "yes; " : "no; ");
}

static void
step_told(Fixture *fixture, char **words)
{
    KcSuspect *suspect = find_suspect(fixture, words);
    KcSuspectNews news = {.kind = KC_SUSPECT_NEWS_BLOCKED,
                          .part = suspect->part,
                          .epoch = suspect->epoch,
                          .trial_count =
                              (uint32_t)strtoul(words[3], NULL, 10)};

    receive(find_process(fixture, words), &news);
    g_string_append_printf(fixture->trace, "%u; ", suspect->trial_count);
}

static void
step_wait(Fixture *fixture, char **words)
{
    fixture->now += atoi(words[1]) * KC_SECOND;
}

static const StepHandler step_handlers[] = {
    {"end", step_end},         {"rack", step_rack},
    {"answer", step_answer},   {"others", step_others},
    {"review", step_review},   {"unanswered", step_unanswered},
    {"cut", step_cut},         {"join", step_join},
    {"restart", step_restart}, {"blocks", step_blocks},
    {"try", step_try},         {"due", step_due},
    {"grant", step_grant},     {"clear", step_clear},
    {"told", step_told},       {"wait", step_wait},
};

/* ---- cases --------------------------------------------------------------- */

#define BLOCK_X "end a 1 x;end a 2 x;end a 3 x;others a 2;review a;"
#define BLOCKED_X "a?x; b?x; c?x; a!x; b!x; c!x; no; "
/* s and x are in the same three ends. */
#define BLOCK_SX "end a 1 sx;end a 2 sx;end a 3 sx;others a 2;review a;"
#define BLOCKED_SX                                                            \
    "a?s; b?s; c?s; a?x; b?x; c?x; a!s; b!s; c!s; a!x; b!x; c!x; no; "

static const struct {
    const char *name;
    const char *steps;
    const char *trace;
} cases[] = {
    /* evidence */
    {"three ends block a part at every process",
     BLOCK_X "blocks a x;blocks b yx;blocks c y", BLOCKED_X "x; x; -; "},
    {"ends that different processes see count together",
     "end a 1 x;end b 2 x;end c 3 x;others b 2;review b;blocks a x;blocks c x",
     "a?x; b?x; c?x; b!x; a!x; c!x; no; x; x; "},
    {"two ends don't block",
     "end a 1 x;end b 2 x;others a 9;review a;blocks a x",
     "a?x; b?x; c?x; no; -; "},
    {"one end counts once, whoever sees it",
     "end a 1 x;end b 1 x;end c 1 x;end a 1 x;others a 9;review a;blocks a x",
     "a?x; b?x; c?x; no; -; "},
    {"no part is blocked while other prompts are not answered, either",
     "end a 1 x;end a 2 x;end a 3 x;others a 1;review a;blocks a x;"
     "others a 1;review a;blocks a x",
     "a?x; b?x; c?x; yes; -; a!x; b!x; c!x; no; x; "},
    {"answers to other prompts before the first end say nothing",
     "others a 9;end a 1 x;end a 2 x;end a 3 x;review a;blocks a x",
     "a?x; b?x; c?x; yes; -; "},
    {"an answer between the ends clears the part everywhere",
     "end a 1 x;end a 2 x;wait 1;answer b x;end a 3 x;others a 9;review a;"
     "blocks a x",
     "a?x; b?x; c?x; b+x; a+x; c+x; a?x; b?x; c?x; no; -; "},
    {"an answer before the ends clears nothing",
     "answer a x;wait 1;" BLOCK_X "blocks a x", BLOCKED_X "x; "},
    {"an answer after the end, before its news, voids them",
     "cut b;end a 1 x;wait 1;answer b x;wait 1;join b",
     "a?x; c?x; a+x; c+x; "},
    {"a part turns deadly after it was cleared",
     "end a 1 x;wait 1;answer a x;wait 1;end a 2 x;end a 3 x;end a 4 x;"
     "others a 2;review a;blocks b x",
     "a?x; b?x; c?x; a+x; b+x; c+x; a?x; b?x; c?x; a!x; b!x; c!x; no; x; "},
    {"ends at one moment count once",
     "end a 1 x;rack a 2 x;rack b 3 x;rack a 4 x;others a 9;review a;"
     "blocks a x;end a 5 x;end a 6 x;review a;blocks a x",
     "a?x; b?x; c?x; no; -; a!x; b!x; c!x; no; x; "},
    {"ends of long ago don't count",
     "end a 1 x;end a 2 x;wait 600;end a 3 x;others a 9;review a;blocks a x;"
     "end a 4 x;end a 5 x;review a;blocks a x",
     "a?x; b?x; c?x; no; -; a!x; b!x; c!x; no; x; "},
    {"parts that were answered since are not the cause",
     "answer a xy;wait 5;answer a y;wait 1;unanswered a 2 xyz;"
     "unanswered a 10 xyz;unanswered b 10 xyz",
     "xz; z; xyz; "},
    /* companions */
    {"parts that are always together are blocked together only",
     BLOCK_SX "blocks a sx;blocks a s;blocks b x;blocks c sx",
     BLOCKED_SX "s; -; -; s; "},
    {"a sound part of another's prompts is cleared by its own answer",
     BLOCK_SX "wait 1;answer a s;blocks a xy;blocks b sx;blocks b s",
     BLOCKED_SX "a+s; b+s; c+s; x; x; -; "},
    /* Guards against a sound part that is blocked for one crash beside a
     * deadly part. */
    {"fewer than three ends without the companion may have other causes",
     BLOCK_SX "end a 4 s;review a;blocks a s;blocks b sy;blocks b sx;"
              "end b 5 s;review b;blocks a s;blocks b sy;blocks c sx",
     BLOCKED_SX "no; -; -; s; no; -; -; s; "},
    {"three ends without the companion show which one it is",
     BLOCK_SX "end a 4 x;end b 5 x;end a 6 x;review a;blocks a x;blocks b xy;"
              "blocks b s",
     BLOCKED_SX "a+s; b+s; c+s; no; x; x; -; "},
    {"further ends at one moment count once, too",
     BLOCK_SX "end a 4 s;rack a 5 s;rack b 6 s;rack c 7 s;review a;blocks a s",
     BLOCKED_SX "no; -; "},
    {"the same if the other causes come first",
     "end a 1 s;end b 2 s;end a 3 sx;end a 4 sx;end a 5 sx;others a 8;"
     "review a;blocks a s;blocks b sy;blocks c sx;blocks a x",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!s; b!s; c!s; a!x; b!x; c!x; no; -; -; "
     "s; -; "},
    {"the same if they come between",
     "end a 1 sx;end a 2 s;end b 3 sx;end b 4 s;end a 5 sx;others a 8;"
     "review a;blocks a s;blocks b sy;blocks c sx",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!s; b!s; c!s; a!x; b!x; c!x; no; -; -; "
     "s; "},
    {"the evidence of one end comes in pieces, that of the sound part first",
     BLOCK_SX "end b 4 s;end b 5 s;end b 6 s;end a 4 sx;end a 5 sx;"
              "end a 6 sx;review b;blocks b s;blocks a s",
     BLOCKED_SX "no; -; -; "},
    {"the evidence of the deadly part comes after the block",
     "end a 1 s;end a 2 s;end a 3 s;others a 8;review a;blocks a s;end b 3 x;"
     "review a;blocks a s;blocks a sx;review b;blocks b s",
     "a?s; b?s; c?s; a!s; b!s; c!s; no; s; b?x; a?x; c?x; no; -; s; no; -; "},
    {"a part whose ends another one explains is not blocked",
     "end a 1 sx;end a 2 sx;end a 3 sx;end a 4 x;end a 5 x;end a 6 x;"
     "others a 8;review a;blocks a s;blocks a x;blocks a sx",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!x; b!x; c!x; no; -; x; x; "},
    {"a part whose ends another one explains is blocked only beside it",
     "end a 1 sx;end a 2 sx;end a 3 sx;rack a 4 x;others a 2;review a;"
     "blocks a s;blocks b sy;blocks a sx",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!s; b!s; c!s; a!x; b!x; c!x; no; -; -; "
     "s; "},
    {"a companion that was cleared and forgotten excuses nothing",
     BLOCK_SX "wait 1;answer a s;wait 1;answer a tuvw;wait 1;answer a 1234;"
              "blocks a x;blocks a xy",
     BLOCKED_SX "a+s; b+s; c+s; x; x; "},
    {"a part of all prompts that were lost is not blocked for the sound ones",
     "end a 1 sx;end a 1 sy;end a 2 sx;end a 2 sz;end a 3 sx;end a 4 sx;"
     "others a 2;review a;blocks a s;blocks a sy;blocks a sx",
     "a?s; b?s; c?s; a?x; b?x; c?x; a?y; b?y; c?y; a?z; b?z; c?z; a!s; b!s; "
     "c!s; a!x; b!x; c!x; no; -; -; s; "},
    {"parts beside it that change are no companions",
     "end a 1 sx;end a 2 tx;end a 3 ux;others a 2;review a;blocks a x;"
     "blocks b sux;end a 4 x;review a;blocks a x;blocks b sux;blocks a stu",
     "a?s; b?s; c?s; a?x; b?x; c?x; a?t; b?t; c?t; a?u; b?u; c?u; a!x; b!x; "
     "c!x; no; -; -; no; x; x; -; "},
    {"answers on the parts beside it show that it is the cause",
     "end a 1 sx;end a 2 tx;end a 3 ux;others a 2;review a;blocks a x;wait 1;"
     "answer a s;answer b t;answer c u;blocks a x;blocks b x;blocks c x",
     "a?s; b?s; c?s; a?x; b?x; c?x; a?t; b?t; c?t; a?u; b?u; c?u; a!x; b!x; "
     "c!x; no; -; a+s; b+s; c+s; b+t; a+t; c+t; c+u; a+u; b+u; x; x; x; "},
    {"two other crashes before a deadly part, which is always beside it",
     "end a 1 s;end b 2 s;end a 3 sx;others a 2;review a;blocks a s;blocks b "
     "sy;blocks b sx",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!s; b!s; c!s; no; -; -; s; "},
    {"the same if one of them comes between",
     "end a 1 sx;end b 2 s;end a 3 sx;others a 2;review a;blocks a s;blocks b "
     "sy;blocks b sx",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!s; b!s; c!s; no; -; -; s; "},
    {"two deadly parts",
     BLOCK_X "end b 4 y;end b 5 y;end b 6 y;others b 2;review b;blocks c x;"
             "blocks c y;blocks c z",
     BLOCKED_X "b?y; a?y; c?y; b!y; a!y; c!y; no; x; y; -; "},
    {"ends that a blocked part explains don't count against others",
     "end a 1 sx;end a 2 sx;end a 3 x;end a 4 x;end a 5 x;end a 6 s;"
     "others a 9;review a;blocks a x;blocks a s;end a 7 s;end a 8 s;review a;"
     "blocks a s",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!x; b!x; c!x; no; x; -; a!s; b!s; c!s; "
     "no; s; "},
    {"ends that either of two parts may explain block both together",
     "end a 1 sx;end a 2 sx;end a 3 x;end a 4 x;end a 5 s;others a 9;review a;"
     "blocks a x;blocks a s;blocks a sx;end a 6 s;end a 7 s;review a;"
     "blocks a s;blocks a x",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!x; b!x; c!x; a!s; b!s; c!s; no; -; -; "
     "s; a+x; b+x; c+x; no; s; -; "},
    /* Guards against a sound part that stays blocked for the crashes of
     * others, when the deadly part shows later. */
    {"a part is cleared if another one turns out to explain its ends",
     "end a 1 s;end a 2 sx;end a 3 s;others a 8;review a;blocks a s;"
     "end a 4 x;end a 5 x;review a;blocks a s;end b 6 x;review a;blocks a s;"
     "blocks b sy;blocks b x",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!s; b!s; c!s; no; -; "
     "a!x; b!x; c!x; no; -; a+s; b+s; c+s; no; -; -; x; "},
    {"a part that has three further ends is not cleared",
     "end a 1 s;end a 2 sx;end a 3 s;end a 4 s;others a 8;review a;"
     "end a 5 x;end a 6 x;end b 7 x;review a;blocks a s;blocks b x",
     "a?s; b?s; c?s; a?x; b?x; c?x; a!s; b!s; c!s; no; "
     "a!x; b!x; c!x; no; s; x; "},
    {"a block is not given up as its evidence grows old",
     BLOCK_X "wait 700;end a 4 s;review a;blocks a x;blocks b x",
     BLOCKED_X "a?s; b?s; c?s; no; x; x; "},
    /* processes that miss news */
    {"one that was cut off learns of the block",
     "cut c;" BLOCK_X "blocks c x;join c;blocks c x",
     "a?x; b?x; a!x; b!x; no; -; c!x; x; "},
    {"one that was cut off learns of the companions",
     "cut c;" BLOCK_SX "join c;blocks c x;blocks c s;blocks c sx",
     "a?s; b?s; a?x; b?x; a!s; b!s; a!x; b!x; no; c!s; c!x; -; -; s; "},
    {"one that was cut off adds its evidence",
     "end a 1 x;cut b;end b 2 x;end a 3 x;join b;others c 2;review c;"
     "blocks b x;blocks c x",
     "a?x; b?x; c?x; c!x; a!x; b!x; no; x; x; "},
    {"one that restarts learns of the block and of the trials",
     BLOCK_X "wait 60;grant b x;restart a;join a;blocks a x;due a x;wait 299;"
             "due a x;wait 1;due a x",
     BLOCKED_X "b~x; a!x; x; no; no; yes; "},
    {"evidence that another one has cleared is void",
     "end a 1 x;end a 2 x;cut c;wait 1;answer a x;join c;end c 3 x;"
     "others c 9;review c;blocks c x;blocks a x",
     "a?x; b?x; c?x; a+x; b+x; c+x; c?x; a?x; b?x; no; -; -; "},
    {"an answer after the block, before its news, voids it",
     "cut c;" BLOCK_X "wait 1;answer c x;wait 1;join c;blocks a x;blocks b x;"
     "blocks c x",
     "a?x; b?x; a!x; b!x; no; a+x; b+x; -; -; -; "},
    {"a block that another one has cleared is void",
     BLOCK_X "cut c;clear a x;blocks c x;join c;blocks c x;blocks a x",
     BLOCKED_X "a+x; b+x; yes; x; c+x; -; -; "},
    /* the way back */
    {"trials are due ever more rarely, and three in all",
     BLOCK_X "wait 59;due a x;wait 1;due a x;grant a x;due b x;wait 299;"
             "due b x;wait 1;due b x;grant b x;wait 1499;due a x;wait 1;"
             "due a x;grant a x;wait 100000;due a x;due c x",
     BLOCKED_X "no; yes; a~x; no; no; yes; b~x; no; yes; a~x; no; no; "},
    {"a trial that is answered clears the part everywhere",
     BLOCK_X "wait 60;grant b x;answer a x;blocks a x;blocks b x;blocks c x",
     BLOCKED_X "b~x; a+x; b+x; c+x; -; -; -; "},
    {"a trial that ends a server leaves the part blocked",
     BLOCK_X "wait 60;grant b x;wait 1;end a 4 x;blocks a x;blocks c x",
     BLOCKED_X "b~x; x; x; "},
    {"only the prompt that tries the part passes",
     BLOCK_X "wait 60;try a x x;try a x yx;blocks a x", BLOCKED_X "-; -; x; "},
    {"a prompt that tries a part passes its companions",
     BLOCK_SX "try a x sx;try a s sx", BLOCKED_SX "-; -; "},
    {"trials beyond the last one count as the last one",
     BLOCK_X "told b x 1;told b x 4294967295;told b x 2;wait 9000;due b x",
     BLOCKED_X "1; 3; 3; no; "},
    {"a prompt that tries a part is blocked for another",
     BLOCK_X "end b 4 y;end b 5 y;end b 6 y;others b 2;review b;try a x xy",
     BLOCKED_X "b?y; a?y; c?y; b!y; a!y; c!y; no; y; "},
    {"an administrator clears a part",
     BLOCK_X "clear b x;clear b x;clear b z;blocks a x",
     BLOCKED_X "b+x; a+x; c+x; yes; no; no; -; "},
    /* room */
    {"parts that were answered give way first, and blocked ones last",
     BLOCK_X "end a 4 s;answer a tuvwyz;answer a 1234;blocks a x;"
             "unanswered a 100 s;clear a s",
     BLOCKED_X "a?s; b?s; c?s; x; s; a+s; b+s; c+s; yes; "},
    {"of those the least recently answered gives way",
     "answer a tuvwyz;wait 1;answer a t;wait 1;answer a 1;"
     "unanswered a 100 tu",
     "u; "},
};

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    Fixture fixture = {.now = 1000 * KC_SECOND, .trace = g_string_new("")};

    for (int i = 0; i < PROCESSES; i++) {
        fixture.processes[i].fixture = &fixture;
        fixture.processes[i].name = (char)('a' + i);
        init_process(&fixture.processes[i]);
    }
    Steps_Run(&fixture, step_handlers, G_N_ELEMENTS(step_handlers),
              cases[index].steps);
    g_assert_cmpstr(fixture.trace->str, ==, cases[index].trace);
    for (int i = 0; i < PROCESSES; i++) {
        KcSuspects_Clear(&fixture.processes[i].suspects);
    }
    g_string_free(fixture.trace, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/suspects", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
