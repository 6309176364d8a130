/*
 * kcc check, apply, diff and get: the operators' document.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../process/settings.h"
#include "command.h"
#include "store.h"

/* An edit of another section that came between is built upon this often. */
#define APPLY_TRIES 8

/* ---- differences -------------------------------------------------------- */

/* How often a line occurs in one text and not in the other. */
typedef struct LineCount {
    UT_hash_handle hh;
    int count;
    char text[];
} LineCount;

/* Calls visit for each line of a text, without its end. */
static void
each_line(const char *text, void (*visit)(void *context, const char *line),
          void *context)
{
    char *copy = strdup(text);
    char *rest = copy;
    char *line;

    while ((line = strsep(&rest, "\n")) != NULL) {
        if (rest != NULL || *line != '\0') {
            visit(context, line);
        }
    }
    free(copy);
}

static LineCount *
count_of(LineCount **counts, const char *line)
{
    LineCount *count;

    HASH_FIND_STR(*counts, line, count);
    if (count == NULL) {
        count = KcMem_New(sizeof(*count) + strlen(line) + 1);
        memcpy(count->text, line, strlen(line) + 1);
        HASH_ADD_KEYPTR(hh, *counts, count->text, strlen(line), count);
    }
    return count;
}

static void
count_line(void *context, const char *line)
{
    count_of(context, line)->count++;
}

/* State of printing the lines that one text has beyond the other. */
typedef struct Printing {
    LineCount *counts;
    char mark;
    int printed;
} Printing;

static void
print_surplus(void *context, const char *line)
{
    Printing *printing = context;
    LineCount *count = count_of(&printing->counts, line);

    if (count->count > 0) {
        count->count--;
        return;
    }
    printf("%c %s\n", printing->mark, line);
    printing->printed++;
}

static int
print_one_side(const char *from, const char *to, char mark)
{
    Printing printing = {NULL, mark, 0};
    LineCount *count;
    LineCount *next;

    each_line(from, count_line, &printing.counts);
    each_line(to, print_surplus, &printing);
    HASH_ITER(hh, printing.counts, count, next)
    {
        HASH_DEL(printing.counts, count);
        free(count);
    }
    return printing.printed;
}

/* Prints lines that only one of two texts has; returns their number. */
static int
print_difference(const char *before, const char *after)
{
    int removed = print_one_side(after, before, '-');

    return removed + print_one_side(before, after, '+');
}

/* ---- reading ------------------------------------------------------------ */

static int
find_section(const char *name)
{
    int section = KcSection_Find(name);

    if (section < 0) {
        fprintf(stderr, "kcc: no such section: %s (expected", name);
        for (int i = 0; i < KC_SECTION_COUNT; i++) {
            fprintf(stderr, " %s", KcSection_Name((KcSection)i));
        }
        fprintf(stderr, ")\n");
    }
    return section;
}

static char *
read_file(const char *path, size_t *size)
{
    char *text = KcFile_Read(path, size);

    if (text == NULL) {
        fprintf(stderr, "kcc: cannot read %s\n", path);
    }
    return text;
}

/* Sets every section from DIR/SECTION.ini.  Returns an exit status. */
static int
read_directory(const char *directory, KcStored *stored, const char *author)
{
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        char path[4096];
        size_t size;
        char *text;

        snprintf(path, sizeof(path), "%s/%s.ini", directory,
                 KcSection_Name((KcSection)i));
        text = read_file(path, &size);
        if (text == NULL) {
            return KC_EXIT_FAILED;
        }
        KcStored_Set(stored, (KcSection)i, text, size, author);
        free(text);
    }
    return KC_EXIT_OK;
}

/* Prints what is wrong with a combination.  Returns an exit status. */
static int
check_stored(const KcStored *stored)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    int code = KcStored_Check(stored, &problems);

    KcProblemList_Print(stderr, &problems);
    KcProblemList_Clear(&problems);
    return code == 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
}

/* ---- commands ----------------------------------------------------------- */

int
KcCommand_Check(const KcArguments *arguments)
{
    KcStored stored;
    int status;

    memset(&stored, 0, sizeof(stored));
    status = read_directory(arguments->words[0], &stored, "");
    if (status == KC_EXIT_OK) {
        status = check_stored(&stored);
    }
    if (status == KC_EXIT_OK) {
        printf("%s: ok\n", arguments->words[0]);
    }
    KcStored_Clear(&stored);
    return status;
}

int
KcCommand_Get(const KcArguments *arguments)
{
    int section = find_section(arguments->words[0]);
    KcStored stored;
    KcError err;

    if (section < 0) {
        return KC_EXIT_USAGE;
    }
    if (KcStore_Read(arguments->objects, &stored, &err) != 0) {
        KcStored_Clear(&stored);
        return KcCommand_Fail(&err);
    }
    fprintf(
        stderr,
        "# %s: generation %" PRIu64 ", last changed in %" PRIu64 " by %s\n",
        arguments->words[0], stored.head.generation,
        stored.head.changed_generation[section], stored.head.author[section]);
    fwrite(stored.text[section], 1, stored.size[section], stdout);
    KcStored_Clear(&stored);
    return KC_EXIT_OK;
}

int
KcCommand_Diff(const KcArguments *arguments)
{
    int section = find_section(arguments->words[0]);
    KcStored stored;
    KcError err;
    size_t size;
    char *text;
    int lines;

    if (section < 0) {
        return KC_EXIT_USAGE;
    }
    text = read_file(arguments->words[1], &size);
    if (text == NULL) {
        return KC_EXIT_FAILED;
    }
    if (KcStore_Read(arguments->objects, &stored, &err) != 0) {
        free(text);
        KcStored_Clear(&stored);
        return KcCommand_Fail(&err);
    }
    lines = print_difference(stored.text[section], text);
    free(text);
    KcStored_Clear(&stored);
    return lines == 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
}

/* ---- apply -------------------------------------------------------------- */

/* One apply: the wanted text, and the section it was based on. */
typedef struct Apply {
    const KcArguments *arguments;
    int section;
    char *text;
    size_t size;
    char *base; /* text of the section as first read, NULL before */
    uint64_t base_changed;
    int last_code; /* of the last write */
} Apply;

/* Another edit of the same section came between. */
static int
report_race(const Apply *apply, const KcStored *stored)
{
    int section = apply->section;

    fprintf(stderr,
            "kcc: not applied: %s changed section %s in generation %" PRIu64
            " (yours is based on %" PRIu64 ")\n",
            stored->head.author[section], KcSection_Name((KcSection)section),
            stored->head.changed_generation[section], apply->base_changed);
    if (apply->base != NULL) {
        printf("What that edit changed:\n");
        print_difference(apply->base, stored->text[section]);
    }
    printf("How your file differs from it:\n");
    print_difference(stored->text[section], apply->text);
    return KC_EXIT_CONFLICT;
}

/* One try.  Returns an exit status, or -1 to try again. */
static int
try_apply(Apply *apply, KcStored *stored)
{
    const KcArguments *arguments = apply->arguments;
    uint64_t changed = stored->head.changed_generation[apply->section];
    KcError err;
    int code;

    if (apply->base == NULL) {
        if (arguments->base == NULL) {
            apply->base_changed = changed;
        }
        apply->base = strdup(stored->text[apply->section]);
    }
    if (changed != apply->base_changed) {
        return report_race(apply, stored);
    }
    KcStored_Set(stored, (KcSection)apply->section, apply->text, apply->size,
                 arguments->author);
    if (check_stored(stored) != KC_EXIT_OK) {
        fprintf(stderr,
                "kcc: not applied: the combination of generation "
                "%" PRIu64 " with your section is not valid\n",
                stored->head.generation);
        return KC_EXIT_FAILED;
    }
    code = KcStore_Write(arguments->objects, stored, &err);
    /* Without an answer it may have been accepted: that is looked up. */
    if (code == KC_ERR_CONFLICT || code == KC_ERR_OBJECT_API_UNAVAILABLE) {
        apply->last_code = code;
        return -1;
    }
    if (code != 0) {
        return KcCommand_Fail(&err);
    }
    printf("accepted: section %s, generation %" PRIu64 "\n",
           KcSection_Name((KcSection)apply->section), stored->head.generation);
    return KC_EXIT_OK;
}

/*
 * A write whose reply was lost may have been accepted: then the head names
 * our text, changed by us.
 */
static bool
was_accepted(const Apply *apply, const KcStored *stored)
{
    return apply->base != NULL &&
           stored->head.changed_generation[apply->section] !=
               apply->base_changed &&
           strcmp(stored->text[apply->section], apply->text) == 0 &&
           strcmp(stored->head.author[apply->section],
                  apply->arguments->author) == 0;
}

static int
apply_section(Apply *apply)
{
    int status = -1;

    for (int i = 0; i < APPLY_TRIES && status < 0; i++) {
        KcStored stored;
        KcError err;

        if (KcStore_Read(apply->arguments->objects, &stored, &err) != 0) {
            KcStored_Clear(&stored);
            return KcCommand_Fail(&err);
        }
        if (was_accepted(apply, &stored)) {
            printf("accepted: section %s, generation %" PRIu64 "\n",
                   KcSection_Name((KcSection)apply->section),
                   stored.head.changed_generation[apply->section]);
            status = KC_EXIT_OK;
        }
        else {
            status = try_apply(apply, &stored);
        }
        KcStored_Clear(&stored);
    }
    if (status < 0) {
        fprintf(stderr, "kcc: %s\n",
                apply->last_code == KC_ERR_CONFLICT
                    ? "not applied: other edits keep coming"
                    : "the object API does not answer: see kcc status for "
                      "whether it was applied");
        status = apply->last_code == KC_ERR_CONFLICT ? KC_EXIT_CONFLICT
                                                     : KC_EXIT_FAILED;
    }
    return status;
}

static int
apply_directory(const KcArguments *arguments)
{
    KcStored stored;
    KcError err;
    int status;

    if (KcStore_Read(arguments->objects, &stored, &err) != 0) {
        KcStored_Clear(&stored);
        return KcCommand_Fail(&err);
    }
    status = read_directory(arguments->words[0], &stored, arguments->author);
    if (status == KC_EXIT_OK) {
        status = check_stored(&stored);
    }
    if (status == KC_EXIT_OK) {
        if (KcStore_Write(arguments->objects, &stored, &err) != 0) {
            status = KcCommand_Fail(&err);
        }
        else {
            printf("accepted: all sections, generation %" PRIu64 "\n",
                   stored.head.generation);
        }
    }
    KcStored_Clear(&stored);
    return status;
}

int
KcCommand_Apply(const KcArguments *arguments)
{
    KcArguments named = *arguments;
    Apply apply = {.arguments = &named};
    int64_t base = 0;
    int status;

    if (named.author == NULL) {
        named.author = "unnamed";
    }
    if (arguments->all) {
        return apply_directory(&named);
    }
    if (arguments->word_count != 2) {
        fprintf(stderr, "usage: kcc apply SECTION FILE | --all DIR\n");
        return KC_EXIT_USAGE;
    }
    if (arguments->base != NULL &&
        KcIni_ParseNumber(arguments->base, 0, INT64_MAX, &base) != 0) {
        fprintf(stderr, "kcc: --base expects a generation\n");
        return KC_EXIT_USAGE;
    }
    apply.base_changed = (uint64_t)base;
    apply.section = find_section(arguments->words[0]);
    if (apply.section < 0) {
        return KC_EXIT_USAGE;
    }
    apply.text = read_file(arguments->words[1], &apply.size);
    if (apply.text == NULL) {
        return KC_EXIT_FAILED;
    }
    status = apply_section(&apply);
    free(apply.text);
    free(apply.base);
    return status;
}
