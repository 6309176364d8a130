/*
 * Reads INI texts, for the document and the settings: inih parses the syntax,
 * this file adds line numbers and problems.
 */
#include <ctype.h>
#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_version.h"

/* Longest line that inih reads without truncating it. */
#define LINE_BYTES_MAX (INI_MAX_LINE - 2)

/* A key that was read, to find keys given twice. */
typedef struct SeenKey {
    UT_hash_handle hh; /* by name */
    int line;
    char name[]; /* section, newline, key */
} SeenKey;

/* State of one KcIni_Read(). */
typedef struct Reader {
    const char *file;
    const char *next; /* start of the next line */
    const char *end;
    int line; /* number of the last line read */
    bool overlong;
    KcIniVisit visit;
    void *context;
    KcProblemList *problems;
    size_t problem_count;
    SeenKey *seen_keys; /* uthash by name */
} Reader;

void
KcProblem_Add(KcProblemList *list, const char *file, int line, const char *key,
              const char *format, ...)
{
    KcProblem *problem = KcMem_New(sizeof(*problem));
    va_list args;

    KcName_Copy(problem->file, file, sizeof(problem->file));
    KcName_Copy(problem->key, key, sizeof(problem->key));
    problem->line = line;
    va_start(args, format);
    vsnprintf(problem->text, sizeof(problem->text), format, args);
    va_end(args);
    TAILQ_INSERT_TAIL(list, problem, link);
}

void
KcProblem_Clear(KcProblemList *list)
{
    KcProblem *problem;

    while ((problem = TAILQ_FIRST(list)) != NULL) {
        TAILQ_REMOVE(list, problem, link);
        free(problem);
    }
}

/* Copies the next line for inih and counts it; an overlong line is reported
 * and read as an empty one. */
static char *
read_line(char *to, int size, void *stream)
{
    Reader *reader = stream;
    size_t length;
    const char *newline;

    if (reader->next >= reader->end) {
        return NULL;
    }
    newline = memchr(reader->next, '\n', (size_t)(reader->end - reader->next));
    length =
        (size_t)((newline != NULL ? newline + 1 : reader->end) - reader->next);
    reader->line++;
    if (length > LINE_BYTES_MAX || length >= (size_t)size) {
        KcProblem_Add(reader->problems, reader->file, reader->line, "",
                      "the line is longer than %d bytes", LINE_BYTES_MAX);
        reader->problem_count++;
        reader->next += length;
        to[0] = '\0';
        return to;
    }
    memcpy(to, reader->next, length);
    to[length] = '\0';
    if (strlen(to) != length) {
        KcProblem_Add(reader->problems, reader->file, reader->line, "",
                      "the line contains a NUL byte");
        reader->problem_count++;
    }
    reader->next += length;
    return to;
}

/* Records a key; returns the line where it was given before, or 0. */
static int
add_seen_key(Reader *reader, const char *section, const char *key)
{
    char name[KC_NAME_MAX * 4];
    SeenKey *seen;
    size_t length;

    length = (size_t)snprintf(name, sizeof(name), "%s\n%s", section, key);
    HASH_FIND_STR(reader->seen_keys, name, seen);
    if (seen != NULL) {
        return seen->line;
    }
    seen = KcMem_New(sizeof(*seen) + length + 1);
    seen->line = reader->line;
    memcpy(seen->name, name, length + 1);
    HASH_ADD_KEYPTR(hh, reader->seen_keys, seen->name, length, seen);
    return 0;
}

/* Called by inih for each key: checks its length and that it is new, then
 * calls the visitor.  Returns 1, as 0 is an error to inih. */
static int
on_key(void *user, const char *section, const char *key, const char *value)
{
    Reader *reader = user;
    KcIniItem item = {reader->file, reader->line, section, key, value};
    char key_text[KC_NAME_MAX * 2];
    int earlier_line;

    snprintf(key_text, sizeof(key_text), "[%.60s] %.60s", section, key);
    if (strlen(section) >= KC_NAME_MAX || strlen(key) >= KC_NAME_MAX) {
        KcProblem_Add(reader->problems, reader->file, reader->line, key_text,
                      "the name is longer than %d bytes", KC_NAME_MAX - 1);
        reader->problem_count++;
        return 1;
    }
    earlier_line = add_seen_key(reader, section, key);
    if (earlier_line != 0) {
        KcProblem_Add(reader->problems, reader->file, reader->line, key_text,
                      "the key was given before on line %d", earlier_line);
        reader->problem_count++;
        return 1;
    }
    reader->visit(reader->context, &item, reader->problems);
    return 1;
}

static void
free_seen_keys(Reader *reader)
{
    SeenKey *seen;
    SeenKey *next;

    HASH_ITER(hh, reader->seen_keys, seen, next)
    {
        HASH_DEL(reader->seen_keys, seen);
        free(seen);
    }
}

int
KcIni_Read(const char *file, const char *text, size_t size, KcIniVisit visit,
           void *context, KcProblemList *list)
{
    Reader reader = {.file = file,
                     .next = text,
                     .end = text + size,
                     .visit = visit,
                     .context = context,
                     .problems = list};
    KcProblem *last = TAILQ_LAST(list, KcProblemList);
    int bad_line;

    bad_line = ini_parse_stream(read_line, &reader, on_key, &reader);
    if (bad_line > 0) {
        KcProblem_Add(list, file, bad_line, "",
                      "neither a [section], a key = value nor a comment");
    }
    free_seen_keys(&reader);
    return TAILQ_LAST(list, KcProblemList) == last ? 0 : KC_ERR_PARSE;
}

int
KcIni_Number(const char *text, int64_t low, int64_t high, int64_t *value)
{
    char *end;
    long long number;

    errno = 0;
    number = strtoll(text, &end, 10);
    if (errno != 0 || end == text || *end != '\0' ||
        isspace((unsigned char)*text)) {
        return KC_ERR_PARSE;
    }
    if (number < low || number > high) {
        return KC_ERR_INVALID;
    }
    *value = number;
    return 0;
}

int
KcIni_Bool(const char *text, bool *value)
{
    if (strcmp(text, "yes") == 0) {
        *value = true;
        return 0;
    }
    if (strcmp(text, "no") == 0) {
        *value = false;
        return 0;
    }
    return KC_ERR_PARSE;
}
