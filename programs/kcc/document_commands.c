/*
 * kcc check, apply, diff and get: validate, store and show the sections of the
 * document.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../process/settings.h"
#include "command.h"
#include "stored_document.h"

/* Attempts to store an edit.  Each time another edit is stored first, the
 * section is set in the newer document and stored again. */
#define APPLY_ATTEMPTS_MAX 8

/* ---- differences -------------------------------------------------------- */

/* How often a line occurs in a text, less the occurrences already matched. */
typedef struct LineCount {
    UT_hash_handle hh;
    int count;
    char text[];
} LineCount;

/* Calls visit for each line of a text, without the line end. */
static void
visit_lines(const char *text, void (*visit)(void *context, const char *line),
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
find_or_add_count(LineCount **counts, const char *line)
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
    find_or_add_count(context, line)->count++;
}

/* State of print_surplus_lines(). */
typedef struct SurplusPrinter {
    LineCount *counts;
    char prefix;
    int printed_count;
} SurplusPrinter;

static void
print_line_if_surplus(void *context, const char *line)
{
    SurplusPrinter *printer = context;
    LineCount *count = find_or_add_count(&printer->counts, line);

    if (count->count > 0) {
        count->count--;
        return;
    }
    printf("%c %s\n", printer->prefix, line);
    printer->printed_count++;
}

/*
 * Prints the lines of text that reference does not have, each after prefix.
 * Returns how many.
 */
static int
print_surplus_lines(const char *reference, const char *text, char prefix)
{
    SurplusPrinter printer = {NULL, prefix, 0};
    LineCount *count;
    LineCount *next;

    visit_lines(reference, count_line, &printer.counts);
    visit_lines(text, print_line_if_surplus, &printer);
    HASH_ITER(hh, printer.counts, count, next)
    {
        HASH_DEL(printer.counts, count);
        free(count);
    }
    return printer.printed_count;
}

/*
 * Prints the lines that only one of two texts has, in order but without
 * context.  Returns how many.
 */
static int
print_difference(const char *before, const char *after)
{
    int removed = print_surplus_lines(after, before, '-');

    return removed + print_surplus_lines(before, after, '+');
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
read_directory(const char *directory, KcStoredDocument *stored,
               const char *author)
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
        KcStoredDocument_SetSection(stored, (KcSection)i, text, size, author);
        free(text);
    }
    return KC_EXIT_OK;
}

/* Validates all sections together and prints the problems.  Returns an exit
 * status. */
static int
validate_and_print_problems(const KcStoredDocument *stored)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    int code = KcStoredDocument_Validate(stored, &problems);

    KcProblem_Print(stderr, &problems);
    KcProblemList_Clear(&problems);
    return code == 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
}

/* ---- commands ----------------------------------------------------------- */

int
KcCommand_Check(const KcArguments *arguments)
{
    KcStoredDocument stored;
    int status;

    memset(&stored, 0, sizeof(stored));
    status = read_directory(arguments->operands[0], &stored, "");
    if (status == KC_EXIT_OK) {
        status = validate_and_print_problems(&stored);
    }
    if (status == KC_EXIT_OK) {
        printf("%s: ok\n", arguments->operands[0]);
    }
    KcStoredDocument_Clear(&stored);
    return status;
}

int
KcCommand_Get(const KcArguments *arguments)
{
    int section = find_section(arguments->operands[0]);
    KcStoredDocument stored;
    KcError err;

    if (section < 0) {
        return KC_EXIT_USAGE;
    }
    if (KcStoredDocument_Read(arguments->object_api_address, &stored, &err) !=
        0) {
        KcStoredDocument_Clear(&stored);
        return KcCommand_ReportError(&err);
    }
    fprintf(
        stderr,
        "# %s: generation %" PRIu64 ", last changed in %" PRIu64 " by %s\n",
        arguments->operands[0], stored.head.generation,
        stored.head.changed_generation[section], stored.head.author[section]);
    fwrite(stored.text[section], 1, stored.size[section], stdout);
    KcStoredDocument_Clear(&stored);
    return KC_EXIT_OK;
}

int
KcCommand_Diff(const KcArguments *arguments)
{
    int section = find_section(arguments->operands[0]);
    KcStoredDocument stored;
    KcError err;
    size_t size;
    char *text;
    int lines;

    if (section < 0) {
        return KC_EXIT_USAGE;
    }
    text = read_file(arguments->operands[1], &size);
    if (text == NULL) {
        return KC_EXIT_FAILED;
    }
    if (KcStoredDocument_Read(arguments->object_api_address, &stored, &err) !=
        0) {
        free(text);
        KcStoredDocument_Clear(&stored);
        return KcCommand_ReportError(&err);
    }
    lines = print_difference(stored.text[section], text);
    free(text);
    KcStoredDocument_Clear(&stored);
    return lines == 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
}

/* ---- apply -------------------------------------------------------------- */

/* An apply in progress: the new text of a section and what it is based on. */
typedef struct Apply {
    const KcArguments *arguments;
    int section;
    char *text;
    size_t size;
    char *base_text; /* text of the section as first read, NULL until then */
    uint64_t base_generation;
    int last_write_code; /* error number of the last failed write */
} Apply;

/* Reports that another edit of the same section was stored first. */
static int
report_conflict(const Apply *apply, const KcStoredDocument *stored)
{
    int section = apply->section;

    fprintf(stderr,
            "kcc: not applied: %s changed section %s in generation %" PRIu64
            " (yours is based on %" PRIu64 ")\n",
            stored->head.author[section], KcSection_Name((KcSection)section),
            stored->head.changed_generation[section], apply->base_generation);
    if (apply->base_text != NULL) {
        printf("Changes made by that edit:\n");
        print_difference(apply->base_text, stored->text[section]);
    }
    printf("Differences between that edit and your file:\n");
    print_difference(stored->text[section], apply->text);
    return KC_EXIT_CONFLICT;
}

/* Tries once to store the edit.  Returns an exit status, or -1 to retry. */
static int
try_apply(Apply *apply, KcStoredDocument *stored)
{
    const KcArguments *arguments = apply->arguments;
    uint64_t changed_generation =
        stored->head.changed_generation[apply->section];
    KcError err;
    int code;

    if (apply->base_text == NULL) {
        if (arguments->base_generation == NULL) {
            apply->base_generation = changed_generation;
        }
        apply->base_text = strdup(stored->text[apply->section]);
    }
    if (changed_generation != apply->base_generation) {
        return report_conflict(apply, stored);
    }
    KcStoredDocument_SetSection(stored, (KcSection)apply->section, apply->text,
                                apply->size, arguments->author);
    if (validate_and_print_problems(stored) != KC_EXIT_OK) {
        fprintf(stderr,
                "kcc: not applied: the document of generation %" PRIu64
                " with your section in it is not valid\n",
                stored->head.generation);
        return KC_EXIT_FAILED;
    }
    code = KcStoredDocument_Write(arguments->object_api_address, stored, &err);
    /* Without an answer the write may have been accepted; the next attempt
     * finds out with was_accepted(). */
    if (code == KC_ERR_CONFLICT || code == KC_ERR_OBJECT_API_UNAVAILABLE) {
        apply->last_write_code = code;
        return -1;
    }
    if (code != 0) {
        return KcCommand_ReportError(&err);
    }
    printf("accepted: section %s, generation %" PRIu64 "\n",
           KcSection_Name((KcSection)apply->section), stored->head.generation);
    return KC_EXIT_OK;
}

/*
 * Returns whether an earlier write whose reply was lost was accepted: the
 * section then has our text, a newer generation and our author.
 */
static bool
was_accepted(const Apply *apply, const KcStoredDocument *stored)
{
    return apply->base_text != NULL &&
           stored->head.changed_generation[apply->section] !=
               apply->base_generation &&
           strcmp(stored->text[apply->section], apply->text) == 0 &&
           strcmp(stored->head.author[apply->section],
                  apply->arguments->author) == 0;
}

static int
apply_section(Apply *apply)
{
    int status = -1;

    for (int i = 0; i < APPLY_ATTEMPTS_MAX && status < 0; i++) {
        KcStoredDocument stored;
        KcError err;

        if (KcStoredDocument_Read(apply->arguments->object_api_address,
                                  &stored, &err) != 0) {
            KcStoredDocument_Clear(&stored);
            return KcCommand_ReportError(&err);
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
        KcStoredDocument_Clear(&stored);
    }
    if (status < 0) {
        fprintf(stderr, "kcc: %s\n",
                apply->last_write_code == KC_ERR_CONFLICT
                    ? "not applied: in every attempt another edit was stored "
                      "first"
                    : "the object API does not answer; kcc status shows "
                      "whether the edit was applied");
        status = apply->last_write_code == KC_ERR_CONFLICT ? KC_EXIT_CONFLICT
                                                           : KC_EXIT_FAILED;
    }
    return status;
}

static int
apply_directory(const KcArguments *arguments)
{
    KcStoredDocument stored;
    KcError err;
    int status;

    if (KcStoredDocument_Read(arguments->object_api_address, &stored, &err) !=
        0) {
        KcStoredDocument_Clear(&stored);
        return KcCommand_ReportError(&err);
    }
    status =
        read_directory(arguments->operands[0], &stored, arguments->author);
    if (status == KC_EXIT_OK) {
        status = validate_and_print_problems(&stored);
    }
    if (status == KC_EXIT_OK) {
        if (KcStoredDocument_Write(arguments->object_api_address, &stored,
                                   &err) != 0) {
            status = KcCommand_ReportError(&err);
        }
        else {
            printf("accepted: all sections, generation %" PRIu64 "\n",
                   stored.head.generation);
        }
    }
    KcStoredDocument_Clear(&stored);
    return status;
}

int
KcCommand_Apply(const KcArguments *arguments)
{
    KcArguments with_author = *arguments;
    Apply apply = {.arguments = &with_author};
    int64_t base_generation = 0;
    int status;

    if (with_author.author == NULL) {
        with_author.author = "unnamed";
    }
    if (arguments->all_sections) {
        return apply_directory(&with_author);
    }
    if (arguments->operand_count != 2) {
        fprintf(stderr, "usage: kcc apply SECTION FILE | --all DIR\n");
        return KC_EXIT_USAGE;
    }
    if (arguments->base_generation != NULL &&
        KcIni_ParseNumber(arguments->base_generation, 0, INT64_MAX,
                          &base_generation) != 0) {
        fprintf(stderr, "kcc: --base expects a generation\n");
        return KC_EXIT_USAGE;
    }
    apply.base_generation = (uint64_t)base_generation;
    apply.section = find_section(arguments->operands[0]);
    if (apply.section < 0) {
        return KC_EXIT_USAGE;
    }
    apply.text = read_file(arguments->operands[1], &apply.size);
    if (apply.text == NULL) {
        return KC_EXIT_FAILED;
    }
    status = apply_section(&apply);
    free(apply.text);
    free(apply.base_text);
    return status;
}
