/*
 * Starts gateways and keepers with stand-ins of the platform's store and
 * workers as processes, each machine with a loopback address of its own.
 */
#ifndef KCC_GATEWAY_CLUSTER_H
#define KCC_GATEWAY_CLUSTER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* A process is named by its role and its number in that role, from 0. */
typedef enum GatewayClusterRole {
    GATEWAY_CLUSTER_STORE,
    GATEWAY_CLUSTER_LLM_WORKER, /* a model worker; its machine also runs a
                                   keeper */
    GATEWAY_CLUSTER_KEEPER,     /* of the model worker with the same number */
    GATEWAY_CLUSTER_PLAIN_WORKER, /* a plain worker */
    GATEWAY_CLUSTER_GATEWAY,
    GATEWAY_CLUSTER_ROLE_COUNT
} GatewayClusterRole;

typedef struct GatewayClusterOptions {
    uint8_t network_octet; /* machines have the address
                              127.NETWORK.ROLE.NUMBER+1 */
    int llm_workers;       /* numbers of processes */
    int plain_workers;
    int gateways;
    uint64_t seed;           /* of the stand-ins' random faults */
    const char *deadly_part; /* id of the part of a prompt on which model
                              * workers end; NULL: none */
    int unsafe_attempts_max; /* of routes whose requests run at most once;
                              * 0: 1 */
    const char *customers;   /* of version 1, as for
                              * GatewayCluster_SetCustomers() */
    int config_ms;           /* setting of the gateways; 0: the default */
    bool has_proxies;        /* the store and the workers are reached through
                              * GATEWAY_CLUSTER_PROXY_PORT, where the caller runs a
                              * proxy */
    int memory_mb;           /* setting of the gateways; 0: the default */
    int revoke_ms;           /* setting of the gateways; 0: the default */
} GatewayClusterOptions;

/* Port of the store, the workers and, for callers, the gateways. */
#define GATEWAY_CLUSTER_HTTP_PORT 9100
/* Port of the proxies of the store and of the workers. */
#define GATEWAY_CLUSTER_PROXY_PORT 9200
/* Port of the administration of gateways and keepers. */
#define GATEWAY_CLUSTER_ADMIN_PORT 9102
/* Port at which a keeper accepts gateways, on its worker's machine. */
#define GATEWAY_CLUSTER_KEEPER_PORT 9103
/* A gateway sends a leaving worker no new request after this time. */
#define GATEWAY_CLUSTER_LEAVE_MS 3000

typedef struct GatewayCluster GatewayCluster;

/*
 * Reserves a network_octet from first to last that no other process has
 * reserved, until this process ends.  Exits when there is none.
 */
uint8_t GatewayCluster_ReserveNetwork(uint8_t first, uint8_t last);

/*
 * Starts every process, writes configuration version 1, waits until the
 * stand-ins answer and, without proxies, until the gateways are ready; prints
 * the gateways that are not after 10 s.
 * The caller ends it with GatewayCluster_Stop().
 */
GatewayCluster *GatewayCluster_Start(const GatewayClusterOptions *options);
/* Kills every process, removes the directory and frees the cluster. */
void GatewayCluster_Stop(GatewayCluster *cluster);

/* HTTP address "host:port" of a process; valid while the cluster exists. */
const char *GatewayCluster_GetAddress(const GatewayCluster *cluster,
                                      GatewayClusterRole role, int number);
/* Process id; 0 before its start and after GatewayCluster_WaitForExit(). */
pid_t GatewayCluster_GetPid(const GatewayCluster *cluster,
                            GatewayClusterRole role, int number);
/* Sends a signal to a process, if it runs. */
void GatewayCluster_SendSignal(GatewayCluster *cluster,
                               GatewayClusterRole role, int number,
                               int signal);
/* Waits for a process to end.  Returns its exit status; -1 when a signal
 * ended it or when it did not run. */
int GatewayCluster_WaitForExit(GatewayCluster *cluster,
                               GatewayClusterRole role, int number);
/* Has a process ended by itself?  It is still to be waited for. */
bool GatewayCluster_HasExited(const GatewayCluster *cluster,
                              GatewayClusterRole role, int number);
/* Starts a process again after GatewayCluster_WaitForExit(). */
void GatewayCluster_RestartProcess(GatewayCluster *cluster,
                                   GatewayClusterRole role, int number);
/* Closes, in a child process, all descriptors but the standard ones: as long
 * as it has a socket of its parent, no close of that one reaches the peer. */
void GatewayCluster_CloseInherited(void);
/* Waits until a gateway reports that it is ready; false after 10 s. */
bool GatewayCluster_WaitUntilReady(GatewayCluster *cluster, int number);

/* Directory with the output of each process, in ROLE-NUMBER.log. */
const char *GatewayCluster_GetDirectory(const GatewayCluster *cluster);

/* Reads the output of a process so far.  Returns text that the caller frees
 * with free(), or NULL when there is none. */
char *GatewayCluster_ReadLog(const GatewayCluster *cluster,
                             GatewayClusterRole role, int number);

/* Sets a knob of a stand-in, "NAME=VALUE". */
void GatewayCluster_SetKnob(GatewayCluster *cluster, GatewayClusterRole role,
                            int number, const char *knob);
/* Reads the state of a stand-in as JSON; NULL when it did not answer.  The
 * caller drops the reference. */
json_t *GatewayCluster_ReadState(GatewayCluster *cluster,
                                 GatewayClusterRole role, int number);

/* What a configuration bounds for callers. */
typedef struct GatewayClusterLimits {
    int body_bytes_max;
    int header_timeout_ms;
    int idle_timeout_ms;
} GatewayClusterLimits;

/* The limits of GatewayCluster_WriteConfig(). */
extern const GatewayClusterLimits GatewayCluster_UsualLimits;

/* The configurations that are written from now on have these customers, a
 * list in JSON that must stay valid, and a route /open/ that needs no key;
 * NULL: neither. */
void GatewayCluster_SetCustomers(GatewayCluster *cluster,
                                 const char *customers);

/*
 * Writes the routing configuration with this version to the store: host h
 * with the routes /safe/, /unsafe/, /stream/, /resume/ and, when
 * has_extra_route is set, /extra/.
 */
void GatewayCluster_WriteConfig(GatewayCluster *cluster, int version,
                                bool has_extra_route);
void GatewayCluster_WriteLimits(GatewayCluster *cluster, int version,
                                bool has_extra_route,
                                const GatewayClusterLimits *limits);
/* Announces a version of an adapter of model m in the store. */
void GatewayCluster_AnnounceVersion(GatewayCluster *cluster,
                                    const char *adapter, int version);

/* Writes an object to the store whose value is a text as it is, also if that
 * is not valid JSON. */
void GatewayCluster_WriteRawObject(GatewayCluster *cluster,
                                   const char *collection, const char *name,
                                   const char *value);

/* Deletes an object of the store, if there is one. */
void GatewayCluster_DeleteObject(GatewayCluster *cluster,
                                 const char *collection, const char *name);
/* Makes a copy of the store. */
void GatewayCluster_CopyStore(GatewayCluster *cluster);
/* The store is away for so long, if not 0, and comes back from the copy. */
void GatewayCluster_RestoreStore(GatewayCluster *cluster, int away_ms);

/* Connects to "host:port".  Returns a socket that the caller closes, or -1. */
int GatewayCluster_Connect(const char *address);

/*
 * Sends bytes on a new connection and reads until the peer closes it, the
 * answer is complete by its Content-Length (unless the bytes ask for
 * "Connection: close"), answer_size is used up, or nothing arrives for
 * timeout_ms.  Returns the number of bytes read, without the NUL that ends
 * them, or -1 when the connection failed.
 */
int GatewayCluster_Exchange(const char *address, const char *bytes,
                            size_t size, char *answer, size_t answer_size,
                            int timeout_ms);
/* The status of such an answer; 0: there is none. */
int GatewayCluster_ReadStatus(const char *answer);

#define GATEWAY_CLUSTER_ADDRESS_SIZE 128
/* Formats the address of a process's port. */
void GatewayCluster_FormatAddress(const GatewayCluster *cluster,
                                  GatewayClusterRole role, int number,
                                  int port,
                                  char address[GATEWAY_CLUSTER_ADDRESS_SIZE]);
/* Reads a page of the administration of a gateway or a keeper, with further
 * header lines; returns the status, as GatewayCluster_ReadStatus(). */
int GatewayCluster_ReadPage(const GatewayCluster *cluster,
                            GatewayClusterRole role, int number,
                            const char *path, const char *headers, char *page,
                            size_t page_size);

#endif
