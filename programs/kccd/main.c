/*
 * kccd: the daemon; runs one process in the role that its settings name.
 */
#include <argp.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "../process/log.h"
#include "../process/platform.h"
#include "../process/role.h"
#include "../process/settings.h"

const char *argp_program_version = "kccd " KCC_VERSION;
static const char program_doc[] =
    "Runs one process of kingcupcrank, in the role and with the "
    "settings given in FILE.";

/* Exit status for settings that are not valid. */
#define EXIT_INVALID_SETTINGS 2

/*
 * Memory blocks of at least this size are mapped one by one: they grow without
 * being copied, only the part in use takes memory, and a freed block leaves no
 * hole. By default glibc raises this size whenever such a block is freed.
 */
#define MAPPED_BLOCK_BYTES_MIN (64 * 1024)

#define KEY_REFERENCE 0x100
#define KEY_PLATFORM 0x101

static const struct argp_option options[] = {
    {"check", 'c', NULL, 0, "Check the settings and exit", 0},
    {"reference", KEY_REFERENCE, NULL, 0,
     "Print the reference of all settings and exit", 0},
    {"platform", KEY_PLATFORM, NULL, 0,
     "Read the settings file that the platform wrote, instead of FILE", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

typedef struct Arguments {
    const char *settings_path;
    bool check_only;
    bool print_reference;
} Arguments;

static error_t
/* NOLINTNEXTLINE(readability-non-const-parameter): the type is argp's */
parse_option(int key, char *arg, struct argp_state *state)
{
    Arguments *arguments = state->input;

    switch (key) {
    case 'c':
        arguments->check_only = true;
        return 0;
    case KEY_REFERENCE:
        arguments->print_reference = true;
        return 0;
    case KEY_PLATFORM:
        arguments->settings_path = KcPlatform_Current.get_settings_path();
        return 0;
    case ARGP_KEY_ARG:
        if (arguments->settings_path != NULL) {
            argp_usage(state);
        }
        arguments->settings_path = arg;
        return 0;
    case ARGP_KEY_END:
        if (arguments->settings_path == NULL && !arguments->print_reference) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {options, parse_option, "FILE", program_doc,
                                 NULL,    NULL,         NULL};

static int (*const role_runners[KC_ROLE_COUNT])(const KcSettings *settings) = {
    [KC_ROLE_ENTRY] = KcEntryRole_Run,
    [KC_ROLE_AGENT] = KcAgentRole_Run,
    [KC_ROLE_GATEWAY] = KcGatewayRole_Run,
    [KC_ROLE_KEEPER] = KcKeeperRole_Run,
};

static int
run_role(const KcSettings *settings)
{
    int status;

    if (KcLog_Open(settings->name,
                   (KcLogLevel)KcLog_FindLevel(settings->log_level)) != 0) {
        fprintf(stderr, "kccd: cannot open the log\n");
        return 1;
    }
    status = role_runners[settings->role](settings);
    KcLog_Close();
    return status;
}

int
main(int argc, char **argv)
{
    Arguments arguments = {NULL, false, false};
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcSettings settings;
    int status;

    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES_MIN);
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.print_reference) {
        KcSettings_PrintReference(stdout);
        return 0;
    }
    if (KcSettings_Read(arguments.settings_path, &settings, &problems) != 0) {
        KcProblemList_Print(stderr, &problems);
        KcProblemList_Clear(&problems);
        KcSettings_Clear(&settings);
        return EXIT_INVALID_SETTINGS;
    }
    if (arguments.check_only) {
        printf("%s: ok\n", arguments.settings_path);
        KcSettings_Clear(&settings);
        return 0;
    }
    status = run_role(&settings);
    KcSettings_Clear(&settings);
    return status;
}
