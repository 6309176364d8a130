/*
 * Lists the processes that hold a lease and fetches their debug pages.
 */
#ifndef KCC_PROCESSES_H
#define KCC_PROCESSES_H

#include <jansson.h>

#include <kcc.h>

/* A process, as described by its lease in the object API. */
typedef struct KcProcess {
    TAILQ_ENTRY(KcProcess) link;
    KcLeaseValue lease;
} KcProcess;

TAILQ_HEAD(KcProcessList, KcProcess);
typedef struct KcProcessList KcProcessList;

/*
 * Fills list with one process per lease, lapsed ones too.  Returns 0, or
 * KC_ERR_OBJECT_API_UNAVAILABLE with err filled and an empty list.
 */
int KcProcessList_Fetch(const char *object_api_address, KcProcessList *list,
                        KcError *err);
/* Frees all processes of the list. */
void KcProcessList_Clear(KcProcessList *list);

/* Returns whether the lease was renewed within its TTL, by the local clock. */
bool KcProcess_HasLiveLease(const KcProcess *process);

/*
 * Fetches a JSON page from the admin address of a process.  Returns a new
 * reference, or NULL when there is no valid answer.
 */
json_t *KcProcess_FetchJson(const KcProcess *process, const char *path);

#endif
