/*
 * kcc status and drain: the state of all processes, and planned stops.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "client.h"
#include "command.h"
#include "processes.h"
#include "stored_document.h"

static void
format_utc(int64_t wall_us, char *text, size_t size)
{
    time_t seconds = (time_t)(wall_us / KC_SECOND);
    struct tm utc;

    gmtime_r(&seconds, &utc);
    strftime(text, size, "%Y-%m-%dT%H:%M:%SZ", &utc);
}

static const char *
lease_state(const KcProcess *process)
{
    if (!KcProcess_HasLiveLease(process)) {
        return "lapsed";
    }
    return process->lease.leaving ? "leaving" : "live";
}

static void
print_process(const KcProcess *process)
{
    const KcLeaseValue *lease = &process->lease;
    char confirmed[32] = "-";

    if (lease->generation > 0) {
        format_utc(lease->confirmed_at_us, confirmed, sizeof(confirmed));
    }
    printf("%-24s %-6s %-14s %-8s generation %" PRIu64 " confirmed %s\n",
           lease->holder, lease->role, lease->datacentre, lease_state(process),
           lease->generation, confirmed);
}

/*
 * Prints the processes.  Returns how many live ones have not confirmed the
 * generation.
 */
static int
print_processes(const KcProcessList *list, uint64_t generation)
{
    const KcProcess *process;
    int unconfirmed_count = 0;

    TAILQ_FOREACH (process, list, link) {
        print_process(process);
        if (KcProcess_HasLiveLease(process) &&
            process->lease.generation < generation) {
            unconfirmed_count++;
        }
    }
    return unconfirmed_count;
}

static void
print_unconfirmed(const KcProcessList *list, uint64_t generation)
{
    const KcProcess *process;

    TAILQ_FOREACH (process, list, link) {
        if (KcProcess_HasLiveLease(process) &&
            process->lease.generation < generation) {
            printf("not confirmed by %s (has %" PRIu64 ")\n",
                   process->lease.holder, process->lease.generation);
        }
    }
}

int
KcCommand_Status(const KcArguments *arguments)
{
    KcProcessList list;
    KcStoredDocument stored;
    KcError err;
    int unconfirmed_count;
    bool nothing_in_force;

    if (KcStoredDocument_Read(arguments->object_api_address, &stored, &err) !=
        0) {
        KcStoredDocument_Clear(&stored);
        return KcCommand_ReportError(&err);
    }
    if (KcProcessList_Fetch(arguments->object_api_address, &list, &err) != 0) {
        KcStoredDocument_Clear(&stored);
        return KcCommand_ReportError(&err);
    }
    unconfirmed_count = print_processes(&list, stored.head.generation);
    nothing_in_force = TAILQ_EMPTY(&list) || stored.head.generation == 0;
    if (nothing_in_force) {
        printf("generation %" PRIu64 ": nothing is in force\n",
               stored.head.generation);
    }
    else if (unconfirmed_count == 0) {
        printf("generation %" PRIu64 ": in force\n", stored.head.generation);
    }
    else {
        printf("generation %" PRIu64 ": accepted, not yet in force\n",
               stored.head.generation);
        print_unconfirmed(&list, stored.head.generation);
    }
    KcProcessList_Clear(&list);
    KcStoredDocument_Clear(&stored);
    return nothing_in_force || unconfirmed_count > 0 ? KC_EXIT_FAILED
                                                     : KC_EXIT_OK;
}

static const KcProcess *
find_process(const KcProcessList *list, const char *name)
{
    const KcProcess *process;

    TAILQ_FOREACH (process, list, link) {
        if (strcmp(process->lease.holder, name) == 0) {
            return process;
        }
    }
    return NULL;
}

int
KcCommand_Drain(const KcArguments *arguments)
{
    const KcProcess *process;
    KcProcessList list;
    KcAnswerText response;
    KcError err;
    int status = KC_EXIT_FAILED;

    if (KcProcessList_Fetch(arguments->object_api_address, &list, &err) != 0) {
        return KcCommand_ReportError(&err);
    }
    process = find_process(&list, arguments->operands[0]);
    if (process == NULL) {
        fprintf(stderr, "kcc: no process %s holds a lease\n",
                arguments->operands[0]);
    }
    else {
        KcHttpCallOptions options = {.address = process->lease.admin_address,
                                     .method = "POST",
                                     .path = "/admin/drain"};

        KcClient_Call(&options, &response);
        status = response.status == 200 ? KC_EXIT_OK : KC_EXIT_FAILED;
        printf("%s: %s\n", arguments->operands[0],
               status == KC_EXIT_OK ? "draining" : "does not answer");
        KcAnswerText_Clear(&response);
    }
    KcProcessList_Clear(&list);
    return status;
}
