/*
 * The processes that hold a lease, as the object API lists them.
 */
#ifndef KCC_PROCESSES_H
#define KCC_PROCESSES_H

#include <jansson.h>

#include <kcc.h>

/* One process. */
typedef struct KcListed {
    TAILQ_ENTRY(KcListed) link;
    KcLeaseValue lease;
} KcListed;

TAILQ_HEAD(KcListedList, KcListed);
typedef struct KcListedList KcListedList;

/* Lists every lease.  Returns 0 or a negative error number. */
int KcProcesses_List(const char *objects, KcListedList *list, KcError *err);
void KcProcesses_Clear(KcListedList *list);

/* Has the lease been renewed within its life, by this machine's clock? */
bool KcProcesses_Alive(const KcListed *listed);

/*
 * Asks one process for a JSON page.  Returns NULL when it does not answer;
 * the caller drops the reference.
 */
json_t *KcProcesses_Ask(const KcListed *listed, const char *path);

#endif
