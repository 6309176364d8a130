/*
 * kcc: parses the command line and runs the command.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

const char *argp_program_version = "kcc " KCC_VERSION;

static const KcCommand commands[] = {
    {"check", "DIR", "Validate all sections in DIR together", 1, 1, false,
     KcCommand_Check},
    {"apply", "SECTION FILE | --all DIR",
     "Store a section, unless edited meanwhile", 1, 2, true, KcCommand_Apply},
    {"diff", "SECTION FILE", "Show how a file differs from the section", 2, 2,
     true, KcCommand_Diff},
    {"get", "SECTION", "Print a section", 1, 1, true, KcCommand_Get},
    {"status", "", "Show each process and its generation", 0, 0, true,
     KcCommand_Status},
    {"drain", "PROCESS", "Begin a planned stop of a process", 1, 1, true,
     KcCommand_Drain},
    {"timeline", "", "Show events of all processes in causal order", 0, 0,
     true, KcCommand_Timeline},
    {"explain", "[ADMIN-ADDRESS]",
     "Show how a request was routed (--request), or which agents "
     "hold an adapter (--adapter); or where a gateway would send a request "
     "now, and why (--host, --path)",
     0, 1, false, KcCommand_Explain},
    {"call", "[TEXT]", "Send a request to an entry", 0, 1, false,
     KcCommand_Call},
    {"capacity", "FILE", "Compute a fleet's load from its size", 1, 1, false,
     KcCommand_Capacity},
    {"parts", "ADMIN-ADDRESS",
     "Show the prompt parts that a gateway or keeper blocks or suspects", 1, 1,
     false, KcCommand_Parts},
    {"customers", "ADMIN-ADDRESS",
     "Show the customers of a gateway, their use and quotas", 1, 1, false,
     KcCommand_Customers},
    {"unblock", "ADMIN-ADDRESS PART", "Clear a blocked or suspected part", 2,
     2, false, KcCommand_Unblock},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

/* Keys of the options that have no short form. */
enum {
    KEY_REQUEST = 0x100,
    KEY_ADAPTER,
    KEY_PROCESS,
    KEY_GENERATION,
    KEY_MODEL,
    KEY_PATH,
    KEY_IDEMPOTENCY_KEY,
    KEY_CUSTOMER,
    KEY_KEY_FILE,
    KEY_PRIORITY,
    KEY_AUTHOR,
    KEY_BASE,
    KEY_STREAM,
    KEY_JSON,
    KEY_ALL,
    KEY_HOST,
    KEY_PARTS,
    KEY_PROMPT_TOKENS,
    KEY_ANSWER_TOKENS,
    KEY_HINT_TOKENS,
    KEY_TIMEOUT_MS
};

static const struct argp_option options[] = {
    {"objects", 'o', "ADDRESS", 0, "Object API (or $KCC_OBJECTS)", 0},
    {"entry", 'e', "ADDRESS", 0,
     "Address on which an entry serves callers, for call", 0},
    {"request", KEY_REQUEST, "ID", 0, "Only this request", 0},
    {"adapter", KEY_ADAPTER, "NAME", 0, "Only this adapter", 0},
    {"process", KEY_PROCESS, "NAME", 0, "Only this process", 0},
    {"generation", KEY_GENERATION, "N", 0, "Only this generation", 0},
    {"model", KEY_MODEL, "ADAPTER[@VERSION]", 0,
     "Model to call; base model of a request to explain", 0},
    {"path", KEY_PATH, "PATH", 0,
     "Path of a plain service to call, or of a request to explain", 0},
    {"host", KEY_HOST, "HOST", 0, "Host of a request to explain", 0},
    {"parts", KEY_PARTS, "PART,...", 0, "Prompt parts of such a request", 0},
    {"prompt-tokens", KEY_PROMPT_TOKENS, "N", 0, "Tokens of its prompt", 0},
    {"answer-tokens", KEY_ANSWER_TOKENS, "N", 0,
     "Tokens of its answer at the most", 0},
    {"hint-tokens", KEY_HINT_TOKENS, "N", 0,
     "Tokens of its answer as expected", 0},
    {"timeout-ms", KEY_TIMEOUT_MS, "MS", 0, "Time that its caller gives it",
     0},
    {"key", KEY_IDEMPOTENCY_KEY, "TEXT", 0, "Idempotency-Key of a call", 0},
    {"customer", KEY_CUSTOMER, "NAME", 0,
     "Customer of a call, or of a request to explain", 0},
    {"key-file", KEY_KEY_FILE, "FILE", 0,
     "Key of the customer of a request to explain: the first line of FILE", 0},
    {"priority", KEY_PRIORITY, "0-9", 0, "Priority of a call", 0},
    {"author", KEY_AUTHOR, "NAME", 0,
     "Author recorded by apply (default $USER)", 0},
    {"base", KEY_BASE, "N", 0,
     "Apply only if the section last changed in generation N", 0},
    {"stream", KEY_STREAM, NULL, 0, "Stream the answer of a call", 0},
    {"json", KEY_JSON, NULL, 0,
     "Print the time line as trace-event JSON, or an explanation as JSON", 0},
    {"all", KEY_ALL, NULL, 0, "Apply every section in a directory", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

/* Options whose argument is stored as a string, and the field it goes to. */
static const struct {
    int key;
    size_t offset;
} text_options[] = {
    {'o', offsetof(KcArguments, object_api_address)},
    {'e', offsetof(KcArguments, entry_address)},
    {KEY_REQUEST, offsetof(KcArguments, request_id)},
    {KEY_ADAPTER, offsetof(KcArguments, adapter_name)},
    {KEY_PROCESS, offsetof(KcArguments, process_name)},
    {KEY_GENERATION, offsetof(KcArguments, generation)},
    {KEY_MODEL, offsetof(KcArguments, model)},
    {KEY_PATH, offsetof(KcArguments, path)},
    {KEY_IDEMPOTENCY_KEY, offsetof(KcArguments, idempotency_key)},
    {KEY_CUSTOMER, offsetof(KcArguments, customer)},
    {KEY_KEY_FILE, offsetof(KcArguments, key_file)},
    {KEY_PRIORITY, offsetof(KcArguments, priority)},
    {KEY_AUTHOR, offsetof(KcArguments, author)},
    {KEY_BASE, offsetof(KcArguments, base_generation)},
    {KEY_HOST, offsetof(KcArguments, host)},
    {KEY_PARTS, offsetof(KcArguments, parts)},
    {KEY_PROMPT_TOKENS, offsetof(KcArguments, prompt_tokens)},
    {KEY_ANSWER_TOKENS, offsetof(KcArguments, answer_tokens)},
    {KEY_HINT_TOKENS, offsetof(KcArguments, hint_tokens)},
    {KEY_TIMEOUT_MS, offsetof(KcArguments, timeout_ms)},
};

/* The command line during parsing. */
typedef struct CommandLine {
    KcArguments arguments;
    const char *command_name;
} CommandLine;

static bool
/* NOLINTNEXTLINE(readability-non-const-parameter): the type is argp's */
store_text_option(CommandLine *command_line, int key, char *arg)
{
    for (size_t i = 0; i < sizeof(text_options) / sizeof(text_options[0]);
         i++) {
        if (text_options[i].key == key) {
            *(const char **)((char *)&command_line->arguments +
                             text_options[i].offset) = arg;
            return true;
        }
    }
    return false;
}

static error_t
/* NOLINTNEXTLINE(readability-non-const-parameter): the type is argp's */
store_operand(CommandLine *command_line, char *arg, struct argp_state *state)
{
    KcArguments *arguments = &command_line->arguments;

    if (command_line->command_name == NULL) {
        command_line->command_name = arg;
    }
    else if (arguments->operand_count == KC_OPERANDS_MAX) {
        argp_error(state, "too many arguments");
    }
    else {
        arguments->operands[arguments->operand_count++] = arg;
    }
    return 0;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    CommandLine *command_line = state->input;

    if (store_text_option(command_line, key, arg)) {
        return 0;
    }
    switch (key) {
    case KEY_STREAM:
        command_line->arguments.stream = true;
        return 0;
    case KEY_JSON:
        command_line->arguments.json = true;
        return 0;
    case KEY_ALL:
        command_line->arguments.all_sections = true;
        return 0;
    case ARGP_KEY_ARG:
        return store_operand(command_line, arg, state);
    case ARGP_KEY_END:
        if (command_line->command_name == NULL) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Help filter of argp: adds the commands below the list of options. */
static char *
append_command_list(int key, const char *text, void *input)
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
        fprintf(out, "  %-9s %-24s  %s\n", commands[i].name,
                commands[i].operands_usage, commands[i].help);
    }
    fclose(out);
    return help;
}

static const struct argp argp = {
    options,
    parse_option,
    "COMMAND [ARGUMENT...]",
    "Operates kingcupcrank.\v ",
    NULL,
    append_command_list,
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
KcCommand_ReportError(const KcError *err)
{
    fprintf(stderr, "kcc: %s: %s%s%s\n", err->step, KcError_Name(err->code),
            err->peer[0] != '\0' ? " at " : "", err->peer);
    return KC_EXIT_FAILED;
}

int
KcCommand_ReportNoObjects(const char *command_name)
{
    fprintf(stderr, "kcc: %s needs --objects ADDRESS or $KCC_OBJECTS\n",
            command_name);
    return KC_EXIT_USAGE;
}

int
main(int argc, char **argv)
{
    CommandLine command_line;
    const KcCommand *command;

    memset(&command_line, 0, sizeof(command_line));
    command_line.arguments.object_api_address = getenv("KCC_OBJECTS");
    command_line.arguments.author = getenv("USER");
    argp_parse(&argp, argc, argv, 0, NULL, &command_line);
    command = find_command(command_line.command_name);
    if (command == NULL) {
        fprintf(stderr, "kcc: no such command: %s (see kcc --help)\n",
                command_line.command_name);
        return KC_EXIT_USAGE;
    }
    if (command_line.arguments.operand_count < command->operands_min ||
        command_line.arguments.operand_count > command->operands_max) {
        fprintf(stderr, "usage: kcc %s %s\n", command->name,
                command->operands_usage);
        return KC_EXIT_USAGE;
    }
    if (command->needs_object_api &&
        command_line.arguments.object_api_address == NULL) {
        return KcCommand_ReportNoObjects(command->name);
    }
    return command->run(&command_line.arguments);
}
