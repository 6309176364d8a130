/*
 * kccd: the daemon, as an entry or as an agent.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "../process/log.h"
#include "../process/platform.h"
#include "../process/role.h"
#include "../process/settings.h"

const char *argp_program_version = "kccd " KCC_VERSION;
static const char doc[] =
    "Runs one process of kingcupcrank, an entry or an agent, as the settings "
    "FILE says.";

/* Exit status for settings that are not valid. */
#define EXIT_SETTINGS 2

#define KEY_REFERENCE 0x100
#define KEY_PLATFORM 0x101

static const struct argp_option options[] = {
    {"check", 'c', NULL, 0, "Only check the settings", 0},
    {"reference", KEY_REFERENCE, NULL, 0, "Print the reference of settings",
     0},
    {"platform", KEY_PLATFORM, NULL, 0,
     "Take the settings from where the platform put them", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

typedef struct Arguments {
    const char *file;
    bool check;
    bool reference;
} Arguments;

static error_t
/* NOLINTNEXTLINE(readability-non-const-parameter): the type is argp's */
parse(int key, char *arg, struct argp_state *state)
{
    Arguments *arguments = state->input;

    switch (key) {
    case 'c':
        arguments->check = true;
        return 0;
    case KEY_REFERENCE:
        arguments->reference = true;
        return 0;
    case KEY_PLATFORM:
        arguments->file = KcPlatform_Current.get_settings_path();
        return 0;
    case ARGP_KEY_ARG:
        if (arguments->file != NULL) {
            argp_usage(state);
        }
        arguments->file = arg;
        return 0;
    case ARGP_KEY_END:
        if (arguments->file == NULL && !arguments->reference) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {options, parse, "FILE", doc,
                                 NULL,    NULL,  NULL};

static int (*const roles[KC_ROLE_COUNT])(const KcSettings *settings) = {
    [KC_ROLE_ENTRY] = KcEntryRole_Run,
    [KC_ROLE_AGENT] = KcAgentRole_Run,
    [KC_ROLE_GATEWAY] = KcGatewayRole_Run,
    [KC_ROLE_KEEPER] = KcKeeperRole_Run,
};

static int
run(const KcSettings *settings)
{
    int status;

    if (KcLog_Open(settings->name,
                   (KcLogLevel)KcLog_FindLevel(settings->log_level)) != 0) {
        fprintf(stderr, "kccd: cannot open the log\n");
        return 1;
    }
    status = roles[settings->role](settings);
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

    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.reference) {
        KcSettings_PrintReference(stdout);
        return 0;
    }
    if (KcSettings_Read(arguments.file, &settings, &problems) != 0) {
        KcProblemList_Print(stderr, &problems);
        KcProblemList_Clear(&problems);
        KcSettings_Clear(&settings);
        return EXIT_SETTINGS;
    }
    if (arguments.check) {
        printf("%s: ok\n", arguments.file);
        KcSettings_Clear(&settings);
        return 0;
    }
    status = run(&settings);
    KcSettings_Clear(&settings);
    return status;
}
