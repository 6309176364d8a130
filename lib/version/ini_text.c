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

/* A key that has been read; finds keys that are given twice. */
typedef struct SeenKey {
    UT_hash_handle hh; /* by name */
    int line_number;
    char name[]; /* section, newline, key */
} SeenKey;

/* State of one KcIni_Read(). */
typedef struct Reader {
    const char *file;
    const char *next_line; /* start of the next line */
    const char *text_end;
    int line_number; /* number of the last line read */
    bool overlong;
    KcIniVisit visit;
    void *context;
    KcProblemList *problems;
    size_t problem_count;
    SeenKey *seen_keys; /* uthash by name */
} Reader;

void
KcProblemList_Add(KcProblemList *list, const char *file, int line,
                  const char *key, const char *format, ...)
{
    KcProblem *problem = KcMem_New(sizeof(*problem));
    va_list args;

    KcText_Copy(problem->file, file, sizeof(problem->file));
    KcText_Copy(problem->key, key, sizeof(problem->key));
    problem->line = line;
    va_start(args, format);
    vsnprintf(problem->message, sizeof(problem->message), format, args);
    va_end(args);
    TAILQ_INSERT_TAIL(list, problem, link);
}

void
KcProblemList_Clear(KcProblemList *list)
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
read_line(char *line_text, int size, void *stream)
{
    Reader *reader = stream;
    size_t length;
    const char *newline;

    if (reader->next_line >= reader->text_end) {
        return NULL;
    }
    newline = memchr(reader->next_line, '\n',
                     (size_t)(reader->text_end - reader->next_line));
    length = (size_t)((newline != NULL ? newline + 1 : reader->text_end) -
                      reader->next_line);
    reader->line_number++;
    if (length > LINE_BYTES_MAX || length >= (size_t)size) {
        KcProblemList_Add(reader->problems, reader->file, reader->line_number,
                          "", "the line is longer than %d bytes",
                          LINE_BYTES_MAX);
        reader->problem_count++;
        reader->next_line += length;
        line_text[0] = '\0';
        return line_text;
    }
    memcpy(line_text, reader->next_line, length);
    line_text[length] = '\0';
    if (strlen(line_text) != length) {
        KcProblemList_Add(reader->problems, reader->file, reader->line_number,
                          "", "the line contains a NUL byte");
        reader->problem_count++;
    }
    reader->next_line += length;
    return line_text;
}

/* Records a key; returns the line where it was given before, or 0. */
static int
add_seen_key(Reader *reader, const char *section, const char *key)
{
    char name[KC_NAME_MAX * 4];
    SeenKey *seen_key;
    size_t length;

    length = (size_t)snprintf(name, sizeof(name), "%s\n%s", section, key);
    HASH_FIND_STR(reader->seen_keys, name, seen_key);
    if (seen_key != NULL) {
        return seen_key->line_number;
    }
    seen_key = KcMem_New(sizeof(*seen_key) + length + 1);
    seen_key->line_number = reader->line_number;
    memcpy(seen_key->name, name, length + 1);
    HASH_ADD_KEYPTR(hh, reader->seen_keys, seen_key->name, length, seen_key);
    return 0;
}

/* Called by inih for each key: checks its length and that it is given once,
 * then calls the visitor.  Returns 1, as 0 means an error to inih. */
static int
on_key(void *reader_context, const char *section, const char *key,
       const char *value)
{
    Reader *reader = reader_context;
    KcIniItem item = {reader->file, reader->line_number, section, key, value};
    char key_text[KC_NAME_MAX * 2];
    int earlier_line;

    snprintf(key_text, sizeof(key_text), "[%.60s] %.60s", section, key);
    if (strlen(section) >= KC_NAME_MAX || strlen(key) >= KC_NAME_MAX) {
        KcProblemList_Add(reader->problems, reader->file, reader->line_number,
                          key_text, "the name is longer than %d bytes",
                          KC_NAME_MAX - 1);
        reader->problem_count++;
        return 1;
    }
    earlier_line = add_seen_key(reader, section, key);
    if (earlier_line != 0) {
        KcProblemList_Add(reader->problems, reader->file, reader->line_number,
                          key_text, "the key was given before on line %d",
                          earlier_line);
        reader->problem_count++;
        return 1;
    }
    reader->visit(reader->context, &item, reader->problems);
    return 1;
}

static void
free_seen_keys(Reader *reader)
{
    SeenKey *seen_key;
    SeenKey *next;

    HASH_ITER(hh, reader->seen_keys, seen_key, next)
    {
        HASH_DEL(reader->seen_keys, seen_key);
        free(seen_key);
    }
}

int
KcIni_Read(const char *file, const char *text, size_t size, KcIniVisit visit,
           void *context, KcProblemList *list)
{
    Reader reader = {.file = file,
                     .next_line = text,
                     .text_end = text + size,
                     .visit = visit,
                     .context = context,
                     .problems = list};
    KcProblem *last_problem = TAILQ_LAST(list, KcProblemList);
    int bad_line;

    bad_line = ini_parse_stream(read_line, &reader, on_key, &reader);
    if (bad_line > 0) {
        KcProblemList_Add(list, file, bad_line, "",
                          "neither a [section], a key = value nor a comment");
    }
    free_seen_keys(&reader);
    return TAILQ_LAST(list, KcProblemList) == last_problem ? 0 : KC_ERR_PARSE;
}

int
KcIni_ParseNumber(const char *text, int64_t low, int64_t high, int64_t *value)
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
KcIni_ParseBool(const char *text, bool *value)
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
