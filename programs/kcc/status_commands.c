/*
 * kcc status and drain.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "client.h"
#include "command.h"
#include "processes.h"
#include "store.h"

static void
format_time(int64_t wall_us, char *text, size_t size)
{
    time_t seconds = (time_t)(wall_us / KC_SECOND);
    struct tm utc;

    gmtime_r(&seconds, &utc);
    strftime(text, size, "%Y-%m-%dT%H:%M:%SZ", &utc);
}

static const char *
state_of(const KcListed *listed)
{
    if (!KcProcesses_Alive(listed)) {
        return "lapsed";
    }
    return listed->lease.leaving ? "leaving" : "live";
}

static void
print_process(const KcListed *listed)
{
    const KcLeaseValue *lease = &listed->lease;
    char confirmed[32] = "-";

    if (lease->generation > 0) {
        format_time(lease->confirmed_at_us, confirmed, sizeof(confirmed));
    }
    printf("%-24s %-6s %-14s %-8s generation %" PRIu64 " confirmed %s\n",
           lease->holder, lease->role, lease->datacentre, state_of(listed),
           lease->generation, confirmed);
}

/* Prints the processes; returns how many live ones lack the generation. */
static int
print_processes(const KcListedList *list, uint64_t generation)
{
    const KcListed *listed;
    int missing = 0;

    TAILQ_FOREACH (listed, list, link) {
        print_process(listed);
        if (KcProcesses_Alive(listed) &&
            listed->lease.generation < generation) {
            missing++;
        }
    }
    return missing;
}

static void
print_missing(const KcListedList *list, uint64_t generation)
{
    const KcListed *listed;

    TAILQ_FOREACH (listed, list, link) {
        if (KcProcesses_Alive(listed) &&
            listed->lease.generation < generation) {
            printf("not confirmed by %s (has %" PRIu64 ")\n",
                   listed->lease.holder, listed->lease.generation);
        }
    }
}

int
KcCommand_Status(const KcArguments *arguments)
{
    KcListedList list;
    KcStored stored;
    KcError err;
    int missing;
    bool empty;

    if (KcStore_Read(arguments->objects, &stored, &err) != 0) {
        KcStored_Clear(&stored);
        return KcCommand_Fail(&err);
    }
    if (KcProcesses_List(arguments->objects, &list, &err) != 0) {
        KcStored_Clear(&stored);
        return KcCommand_Fail(&err);
    }
    missing = print_processes(&list, stored.head.generation);
    empty = TAILQ_EMPTY(&list) || stored.head.generation == 0;
    if (empty) {
        printf("generation %" PRIu64 ": nothing is in force\n",
               stored.head.generation);
    }
    else if (missing == 0) {
        printf("generation %" PRIu64 ": in force\n", stored.head.generation);
    }
    else {
        printf("generation %" PRIu64 ": accepted, not yet in force\n",
               stored.head.generation);
        print_missing(&list, stored.head.generation);
    }
    KcProcesses_Clear(&list);
    KcStored_Clear(&stored);
    return empty || missing > 0 ? KC_EXIT_FAILED : KC_EXIT_OK;
}

static const KcListed *
find_process(const KcListedList *list, const char *name)
{
    const KcListed *listed;

    TAILQ_FOREACH (listed, list, link) {
        if (strcmp(listed->lease.holder, name) == 0) {
            return listed;
        }
    }
    return NULL;
}

int
KcCommand_Drain(const KcArguments *arguments)
{
    const KcListed *listed;
    KcListedList list;
    KcHttpResponse answer;
    KcError err;
    int status = KC_EXIT_FAILED;

    if (KcProcesses_List(arguments->objects, &list, &err) != 0) {
        return KcCommand_Fail(&err);
    }
    listed = find_process(&list, arguments->words[0]);
    if (listed == NULL) {
        fprintf(stderr, "kcc: no process %s holds a lease\n",
                arguments->words[0]);
    }
    else {
        KcHttpCallOptions options = {.address = listed->lease.admin_address,
                                     .method = "POST",
                                     .path = "/admin/drain"};

        KcBlockingHttp_Call(&options, &answer);
        status = answer.status == 200 ? KC_EXIT_OK : KC_EXIT_FAILED;
        printf("%s: %s\n", arguments->words[0],
               status == KC_EXIT_OK ? "draining" : "does not answer");
        KcHttpResponse_Clear(&answer);
    }
    KcProcesses_Clear(&list);
    return status;
}
