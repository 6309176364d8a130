/*
 * The commands of kcc: rows of a table in main.c.
 */
#ifndef KCC_COMMAND_H
#define KCC_COMMAND_H

#include <kcc.h>

#define KC_WORDS_MAX 8

/* What was given on the command line. */
typedef struct KcArguments {
    const char *objects; /* address of the object API */
    const char *entry;   /* callers' address of an entry */
    const char *request;
    const char *adapter;
    const char *process;
    const char *generation;
    const char *model;
    const char *path;
    const char *key;
    const char *customer;
    const char *priority;
    const char *author;
    const char *base;
    bool stream;
    bool json;
    bool all;
    const char *words[KC_WORDS_MAX]; /* arguments after the command */
    int word_count;
} KcArguments;

/* Exit statuses. */
#define KC_EXIT_OK 0
#define KC_EXIT_FAILED 1   /* the operation failed or found a mistake */
#define KC_EXIT_USAGE 2    /* the command line cannot be understood */
#define KC_EXIT_CONFLICT 3 /* another edit came between */

/* One command. */
typedef struct KcCommand {
    const char *name;
    const char *words; /* its arguments, for the help */
    const char *help;
    int words_min;
    int words_max;
    bool needs_objects;
    int (*run)(const KcArguments *arguments);
} KcCommand;

int KcCommand_Check(const KcArguments *arguments);
int KcCommand_Apply(const KcArguments *arguments);
int KcCommand_Diff(const KcArguments *arguments);
int KcCommand_Get(const KcArguments *arguments);
int KcCommand_Status(const KcArguments *arguments);
int KcCommand_Drain(const KcArguments *arguments);
int KcCommand_Timeline(const KcArguments *arguments);
int KcCommand_Explain(const KcArguments *arguments);
int KcCommand_Call(const KcArguments *arguments);
int KcCommand_Capacity(const KcArguments *arguments);

/* Prints an error with its step and peer; returns KC_EXIT_FAILED. */
int KcCommand_Fail(const KcError *err);

#endif
