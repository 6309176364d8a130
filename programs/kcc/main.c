/*
 * kcc: the command line of operators and callers.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

const char *argp_program_version = "kcc " KCC_VERSION;

static const KcCommand commands[] = {
    {"check", "DIR", "Check the sections in DIR as a whole", 1, 1, false,
     KcCommand_Check},
    {"apply", "SECTION FILE | --all DIR",
     "Put a section into force, unless another edit came between", 1, 2, true,
     KcCommand_Apply},
    {"diff", "SECTION FILE", "Show how a file differs from the section", 2, 2,
     true, KcCommand_Diff},
    {"get", "SECTION", "Print a section", 1, 1, true, KcCommand_Get},
    {"status", "", "Show which processes have which generation", 0, 0, true,
     KcCommand_Status},
    {"drain", "PROCESS", "Begin a planned stop of a process", 1, 1, true,
     KcCommand_Drain},
    {"timeline", "", "Show events of all processes in causal order", 0, 0,
     true, KcCommand_Timeline},
    {"explain", "",
     "Say why a request went where it went (--request), or "
     "where an adapter is (--adapter)",
     0, 0, true, KcCommand_Explain},
    {"call", "[TEXT]", "Send a request to an entry", 0, 1, false,
     KcCommand_Call},
    {"capacity", "FILE", "Work out loads at a size from measured slopes", 1, 1,
     false, KcCommand_Capacity},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

/* Options without a letter of their own. */
enum {
    KEY_REQUEST = 0x100,
    KEY_ADAPTER,
    KEY_PROCESS,
    KEY_GENERATION,
    KEY_MODEL,
    KEY_PATH,
    KEY_KEY,
    KEY_CUSTOMER,
    KEY_PRIORITY,
    KEY_AUTHOR,
    KEY_BASE,
    KEY_STREAM,
    KEY_JSON,
    KEY_ALL
};

static const struct argp_option options[] = {
    {"objects", 'o', "ADDRESS", 0, "Object API (or $KCC_OBJECTS)", 0},
    {"entry", 'e', "ADDRESS", 0, "Callers' address of an entry, for call", 0},
    {"request", KEY_REQUEST, "ID", 0, "Only this request", 0},
    {"adapter", KEY_ADAPTER, "NAME", 0, "Only this adapter", 0},
    {"process", KEY_PROCESS, "NAME", 0, "Only this process", 0},
    {"generation", KEY_GENERATION, "N", 0, "Only this generation", 0},
    {"model", KEY_MODEL, "ADAPTER[@VERSION]", 0, "Model to call", 0},
    {"path", KEY_PATH, "PATH", 0, "Path of a plain service to call", 0},
    {"key", KEY_KEY, "TEXT", 0, "Idempotency-Key of a call", 0},
    {"customer", KEY_CUSTOMER, "NAME", 0, "Customer of a call", 0},
    {"priority", KEY_PRIORITY, "0-9", 0, "Priority of a call", 0},
    {"author", KEY_AUTHOR, "NAME", 0, "Who applies (default $USER)", 0},
    {"base", KEY_BASE, "N", 0,
     "Apply only if the section last changed in generation N", 0},
    {"stream", KEY_STREAM, NULL, 0, "Stream the answer of a call", 0},
    {"json", KEY_JSON, NULL, 0, "Time line as trace-event JSON", 0},
    {"all", KEY_ALL, NULL, 0, "Apply every section in a directory", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

/* Options whose argument is kept as it is. */
static const struct {
    int key;
    size_t offset;
} texts[] = {
    {'o', offsetof(KcArguments, objects)},
    {'e', offsetof(KcArguments, entry)},
    {KEY_REQUEST, offsetof(KcArguments, request)},
    {KEY_ADAPTER, offsetof(KcArguments, adapter)},
    {KEY_PROCESS, offsetof(KcArguments, process)},
    {KEY_GENERATION, offsetof(KcArguments, generation)},
    {KEY_MODEL, offsetof(KcArguments, model)},
    {KEY_PATH, offsetof(KcArguments, path)},
    {KEY_KEY, offsetof(KcArguments, key)},
    {KEY_CUSTOMER, offsetof(KcArguments, customer)},
    {KEY_PRIORITY, offsetof(KcArguments, priority)},
    {KEY_AUTHOR, offsetof(KcArguments, author)},
    {KEY_BASE, offsetof(KcArguments, base)},
};

/* The command line while it is read. */
typedef struct Line {
    KcArguments arguments;
    const char *command;
} Line;

static bool
/* NOLINTNEXTLINE(readability-non-const-parameter): the type is argp's */
keep_text(Line *line, int key, char *arg)
{
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        if (texts[i].key == key) {
            *(const char **)((char *)&line->arguments + texts[i].offset) = arg;
            return true;
        }
    }
    return false;
}

static error_t
/* NOLINTNEXTLINE(readability-non-const-parameter): the type is argp's */
keep_word(Line *line, char *arg, struct argp_state *state)
{
    KcArguments *arguments = &line->arguments;

    if (line->command == NULL) {
        line->command = arg;
    }
    else if (arguments->word_count == KC_WORDS_MAX) {
        argp_error(state, "too many arguments");
    }
    else {
        arguments->words[arguments->word_count++] = arg;
    }
    return 0;
}

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    Line *line = state->input;

    if (keep_text(line, key, arg)) {
        return 0;
    }
    switch (key) {
    case KEY_STREAM:
        line->arguments.stream = true;
        return 0;
    case KEY_JSON:
        line->arguments.json = true;
        return 0;
    case KEY_ALL:
        line->arguments.all = true;
        return 0;
    case ARGP_KEY_ARG:
        return keep_word(line, arg, state);
    case ARGP_KEY_END:
        if (line->command == NULL) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Lists the commands behind the options in the help. */
static char *
help_filter(int key, const char *text, void *input)
{
    char *help = NULL;
    size_t size = 0;
    FILE *out;

    (void)input;
    if (key != ARGP_KEY_HELP_POST_DOC) {
        return (char *)text;
    }
    out = open_memstream(&help, &size);
    fprintf(out, "Commands:\n");
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        fprintf(out, "  %-9s %-24s  %s\n", commands[i].name, commands[i].words,
                commands[i].help);
    }
    fclose(out);
    return help;
}

static const struct argp argp = {
    options,
    parse,
    "COMMAND [ARGUMENT...]",
    "Operates kingcupcrank.\v ",
    NULL,
    help_filter,
    NULL,
};

static const KcCommand *
find_command(const char *name)
{
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

int
KcCommand_Fail(const KcError *err)
{
    fprintf(stderr, "kcc: %s: %s%s%s\n", err->step, KcError_Name(err->code),
            err->peer[0] != '\0' ? " at " : "", err->peer);
    return KC_EXIT_FAILED;
}

int
main(int argc, char **argv)
{
    Line line;
    const KcCommand *command;

    memset(&line, 0, sizeof(line));
    line.arguments.objects = getenv("KCC_OBJECTS");
    line.arguments.author = getenv("USER");
    argp_parse(&argp, argc, argv, 0, NULL, &line);
    command = find_command(line.command);
    if (command == NULL) {
        fprintf(stderr, "kcc: no such command: %s (see kcc --help)\n",
                line.command);
        return KC_EXIT_USAGE;
    }
    if (line.arguments.word_count < command->words_min ||
        line.arguments.word_count > command->words_max) {
        fprintf(stderr, "usage: kcc %s %s\n", command->name, command->words);
        return KC_EXIT_USAGE;
    }
    if (command->needs_objects && line.arguments.objects == NULL) {
        fprintf(stderr, "kcc: %s needs --objects ADDRESS or $KCC_OBJECTS\n",
                command->name);
        return KC_EXIT_USAGE;
    }
    return command->run(&line.arguments);
}
