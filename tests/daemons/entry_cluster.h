/*
 * Starts entries and agents with stand-ins for the object API, the instance
 * list, the engines and the plain services, as processes on 127.0.0.1.
 */
#ifndef KCC_ENTRY_CLUSTER_H
#define KCC_ENTRY_CLUSTER_H

#include <jansson.h>
#include <sys/types.h>

#include "../../programs/process/loop.h"
#include "../../programs/request/http_call.h"

typedef struct EntryCluster EntryCluster;

/* A process is named by its role and its number in that role, from 0. */
typedef enum EntryClusterRole {
    ENTRY_CLUSTER_OBJECT_API,
    ENTRY_CLUSTER_INSTANCE_LIST,
    ENTRY_CLUSTER_ENGINE,        /* one for each model agent */
    ENTRY_CLUSTER_PLAIN_SERVICE, /* one for each plain agent */
    ENTRY_CLUSTER_AGENT,         /* model agents, then plain agents */
    ENTRY_CLUSTER_ENTRY,
    ENTRY_CLUSTER_ROLE_COUNT
} EntryClusterRole;

typedef struct EntryClusterOptions {
    uint32_t entries;
    uint32_t model_agents;
    uint32_t plain_agents;
    const char *agent_settings; /* added to each agent's settings, or NULL */
    const char *entry_settings; /* added to each entry's settings, or NULL */
    const char *engine_knobs;   /* "NAME=VALUE", or NULL */
    const char *service_knobs;  /* "NAME=VALUE", or NULL */
    /* Keys of [lease]; NULL: a lease of 6 s.  When set, entries also poll the
     * instance list every 2 s, not every 100 ms. */
    const char *lease_settings;
    const char
        *capacity_section;  /* capacity.ini of the document; NULL: a default */
    uint32_t adapter_count; /* named a0, a1, ...; 0: a default */
} EntryClusterOptions;

/*
 * Starts every process, applies the document and waits until it is in force.
 * Fails the test when that takes more than 30 s.  The caller ends the cluster
 * with EntryCluster_Stop().
 */
EntryCluster *EntryCluster_Start(const EntryClusterOptions *options);

/* Ends every process, stopped ones too, by SIGTERM; frees the cluster. */
void EntryCluster_Stop(EntryCluster *cluster);

/*
 * "host:port" of a process, valid while the cluster exists: of HTTP, for an
 * entry that of its callers, for an agent that of its links.
 */
const char *EntryCluster_GetAddress(const EntryCluster *cluster,
                                    EntryClusterRole role, uint32_t number);

/* Process id; 0 after EntryCluster_WaitForExit(). */
pid_t EntryCluster_GetPid(const EntryCluster *cluster, EntryClusterRole role,
                          uint32_t number);

/* Sends a signal to a running process. */
void EntryCluster_SendSignal(EntryCluster *cluster, EntryClusterRole role,
                             uint32_t number, int signal);

/* Starts a process again after EntryCluster_WaitForExit(). */
void EntryCluster_RestartProcess(EntryCluster *cluster, EntryClusterRole role,
                                 uint32_t number);

/*
 * Waits for a process to end.  Returns its exit status, -1 when a signal
 * ended it, or -2 when it was killed because it still ran after 30 s.
 */
int EntryCluster_WaitForExit(EntryCluster *cluster, EntryClusterRole role,
                             uint32_t number);

/* Waits until an entry or agent reports that it is ready; fails the test
 * after 30 s. */
void EntryCluster_WaitUntilReady(EntryCluster *cluster, EntryClusterRole role,
                                 uint32_t number);

/* Sets a knob of a stand-in, "NAME=VALUE". */
void EntryCluster_SetKnob(EntryCluster *cluster, EntryClusterRole role,
                          uint32_t number, const char *knob);

/* Reads the state of a stand-in as JSON; the caller drops the reference. */
json_t *EntryCluster_ReadState(EntryCluster *cluster, EntryClusterRole role,
                               uint32_t number);

/*
 * Runs kcc with arguments that end with NULL, and copies its standard output
 * to output unless that is NULL.  Returns its exit status, or -1 when a
 * signal ended it.
 */
int EntryCluster_RunKcc(EntryCluster *cluster, const char *const *arguments,
                        char *output, size_t size);

/* Runs the event loop of the test for a time. */
void EntryCluster_RunLoop(KcLoop *loop, int duration_ms);

#endif
