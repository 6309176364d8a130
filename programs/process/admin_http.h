/*
 * HTTP server for administrators, on libevhtp:
 *
 *   GET  /metrics          counters in the Prometheus text format
 *   GET  /healthz          200 while the process runs
 *   GET  /readyz           200 while it can serve requests, else 503 and the
 *                          error name
 *   GET  /debug/events     the event ring as JSON
 *   GET  /debug/state      state of the process as JSON
 *   GET  /explain?host=&path=...  what would become of a request, as JSON; see
 *                          explain_json.h and KC_HEADER_EXPLAIN_KEY
 *   POST /admin/drain      begins a planned stop
 *   POST /admin/unblock?part=HEX  clears a part of prompts, see
 * suspects_json.h
 */
#ifndef KCC_ADMIN_HTTP_H
#define KCC_ADMIN_HTTP_H

#include <jansson.h>

#include "loop.h"
#include "settings.h"

/* Of GET /explain: the key of the request's customer, which has no place in
 * the URL. */
#define KC_HEADER_EXPLAIN_KEY "X-Kcc-Explain-Key"

typedef struct KcAdminServer KcAdminServer;

/* Functions that each role implements. */
typedef struct KcAdminServerOps {
    /* Returns 0, or the error for which the process serves no requests. */
    int (*check_ready)(void *context);
    /* Returns the generation of the configuration in force, 0: none. */
    uint64_t (*get_generation)(void *context);
    /* Adds the role's fields to the JSON of /debug/state. */
    void (*add_state)(void *context, json_t *state);
    void (*begin_drain)(void *context);
    /* Clears a part of prompts; false when nothing is held against it.  NULL
     * where no parts are known. */
    bool (*clear_part)(void *context, uint64_t part);
    /* Adds the role's own lines to the metrics; may be NULL. */
    void (*format_metrics)(void *context, KcBuffer *text);
    /* Returns what would become of the request that an object of texts
     * describes, with the key, NULL: none; or NULL, with *problem, static
     * text, on what is wrong.  NULL where no requests are forwarded. */
    json_t *(*explain)(void *context, const json_t *fields, const char *key,
                       const char **problem);
} KcAdminServerOps;

typedef struct KcAdminServerOptions {
    KcLoop *loop;
    const KcSettings *settings;
    const char *address;    /* "address:port" to listen on */
    const char *ready_path; /* second path for /readyz; NULL: none */
    KcCounters *counters;
    const KcEvents *events;
    const KcAdminServerOps *ops;
    void *context; /* first argument of the ops */
} KcAdminServerOptions;

/*
 * Listens on the address. What the options point to must outlive the server.
 * Returns NULL when the address cannot be bound.
 */
KcAdminServer *KcAdminServer_Create(const KcAdminServerOptions *options);
void KcAdminServer_Free(KcAdminServer *admin_server);

#endif
