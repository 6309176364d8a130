/*
 * The administrators' side of a process, by libevhtp:
 *
 *   GET  /metrics          counters for scrapers
 *   GET  /healthz          200 while the process runs
 *   GET  /readyz           200 while it serves, else 503 and why
 *   GET  /debug/events     the event ring as JSON
 *   GET  /debug/state      what the process knows, as JSON
 *   POST /admin/drain      begins a planned stop
 */
#ifndef KCC_ADMIN_HTTP_H
#define KCC_ADMIN_HTTP_H

#include <jansson.h>

#include "loop.h"
#include "settings.h"

typedef struct KcAdmin KcAdmin;

/* What differs between the roles. */
typedef struct KcAdminOps {
    /* Why the process does not serve, 0 when it does. */
    int (*ready)(void *context);
    uint64_t (*generation)(void *context);
    /* Adds what the role knows to the state. */
    void (*state)(void *context, json_t *state);
    void (*drain)(void *context);
} KcAdminOps;

typedef struct KcAdminOptions {
    KcLoop *loop;
    const KcSettings *settings;
    const char *address;
    const char *ready_path; /* as well as /readyz */
    const KcCounters *counters;
    const KcEvents *events;
    const KcAdminOps *ops;
    void *context;
} KcAdminOptions;

/* Listens for administrators.  NULL when the address cannot be bound. */
KcAdmin *KcAdmin_Create(const KcAdminOptions *options);
void KcAdmin_Free(KcAdmin *admin);

#endif
