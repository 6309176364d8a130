/*
 * Options, exit statuses and commands of kcc.  main.c has the table of
 * commands.
 */
#ifndef KCC_COMMAND_H
#define KCC_COMMAND_H

#include <jansson.h>
#include <kcc.h>

#define KC_OPERANDS_MAX 8

/* Options and operands of the command line, as the help in main.c describes
 * them.  Texts that were not given are NULL. */
typedef struct KcArguments {
    const char *object_api_address;
    const char *entry_address; /* on which an entry serves callers */
    const char *request_id;
    const char *adapter_name;
    const char *process_name;
    const char *generation;
    const char *model;
    const char *path;
    const char *idempotency_key;
    const char *customer;
    const char *key_file;
    const char *priority;
    const char *author;
    const char *base_generation;
    const char *host;
    const char *parts;
    const char *prompt_tokens;
    const char *answer_tokens;
    const char *hint_tokens;
    const char *timeout_ms;
    bool stream;
    bool json;
    bool all_sections;
    const char *operands[KC_OPERANDS_MAX]; /* arguments after the command */
    int operand_count;
} KcArguments;

/* Exit statuses. */
#define KC_EXIT_OK 0
#define KC_EXIT_FAILED 1   /* the operation failed or the input is not valid */
#define KC_EXIT_USAGE 2    /* the command line is not valid */
#define KC_EXIT_CONFLICT 3 /* another edit of the section was stored first */

/* A row of the table of commands. */
typedef struct KcCommand {
    const char *name;
    const char *operands_usage; /* shown in the help and in usage errors */
    const char *help;
    int operands_min;
    int operands_max;
    bool needs_object_api;
    /* Returns one of the exit statuses. */
    int (*run)(const KcArguments *arguments);
} KcCommand;

/* Each runs one command and returns one of the exit statuses. */
int KcCommand_Check(const KcArguments *arguments);
int KcCommand_Apply(const KcArguments *arguments);
int KcCommand_Diff(const KcArguments *arguments);
int KcCommand_Get(const KcArguments *arguments);
int KcCommand_Status(const KcArguments *arguments);
int KcCommand_Drain(const KcArguments *arguments);
int KcCommand_Timeline(const KcArguments *arguments);
int KcCommand_Explain(const KcArguments *arguments);
int KcCommand_ExplainRequest(const KcArguments *arguments);
int KcCommand_Call(const KcArguments *arguments);
int KcCommand_Capacity(const KcArguments *arguments);
int KcCommand_Parts(const KcArguments *arguments);
int KcCommand_Customers(const KcArguments *arguments);
int KcCommand_Unblock(const KcArguments *arguments);

/* parts_commands.c: prints each item of a list of the state of the process at
 * address; who is named when it has no such list.  Returns an exit status. */
int KcCommand_PrintStateList(const char *address, const char *key,
                             const char *who,
                             void (*print_item)(const json_t *item));

/* Says that the command needs the object API; returns KC_EXIT_USAGE. */
int KcCommand_ReportNoObjects(const char *command_name);
/* Prints the step, name and peer of err to stderr, returns KC_EXIT_FAILED. */
int KcCommand_ReportError(const KcError *err);

#endif
