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
typedef enum YardRole {
    YARD_STORE,
    YARD_LLM,    /* a model worker; its machine also runs a keeper */
    YARD_KEEPER, /* of the model worker with the same number */
    YARD_PLAIN,  /* a plain worker */
    YARD_GATEWAY,
    YARD_ROLE_COUNT
} YardRole;

typedef struct YardOptions {
    uint8_t network; /* machines have the address 127.NETWORK.ROLE.NUMBER+1 */
    int llm;         /* numbers of processes */
    int plain;
    int gateways;
    uint64_t seed; /* of the stand-ins' random faults */
    bool proxies;  /* the store and the workers are reached through
                    * YARD_PROXY_PORT, where the caller runs a proxy */
} YardOptions;

/* Port of the store, the workers and, for callers, the gateways. */
#define YARD_PORT 9100
/* Port of the proxies of the store and of the workers. */
#define YARD_PROXY_PORT 9200
/* Port at which a keeper accepts gateways, on its worker's machine. */
#define YARD_KEEPER_PORT 9103

typedef struct Yard Yard;

/*
 * Starts every process, writes configuration version 1 and, without proxies,
 * waits until the gateways are ready; prints those that are not after 10 s.
 * The caller ends it with Yard_Stop().
 */
Yard *Yard_Start(const YardOptions *options);
/* Kills every process, removes the directory and frees the cluster. */
void Yard_Stop(Yard *cluster);

/* HTTP address "host:port" of a process; valid while the cluster exists. */
const char *Yard_Address(const Yard *cluster, YardRole role, int number);
/* Process id; 0 before its start and after Yard_Wait(). */
pid_t Yard_Pid(const Yard *cluster, YardRole role, int number);
/* Sends a signal to a process, if it runs. */
void Yard_Signal(Yard *cluster, YardRole role, int number, int signal);
/* Waits for a process to end.  Returns its exit status; -1 when a signal
 * ended it or when it did not run. */
int Yard_Wait(Yard *cluster, YardRole role, int number);
/* Starts a process again after Yard_Wait(). */
void Yard_Restart(Yard *cluster, YardRole role, int number);
/* Waits until a gateway reports that it is ready; false after 10 s. */
bool Yard_AwaitReady(Yard *cluster, int number);

/* Directory with the output of each process, in ROLE-NUMBER.log. */
const char *Yard_Folder(const Yard *cluster);

/* Sets a knob of a stand-in, "NAME=VALUE". */
void Yard_Set(Yard *cluster, YardRole role, int number, const char *knob);
/* Reads the state of a stand-in as JSON; NULL when it did not answer.  The
 * caller drops the reference. */
json_t *Yard_State(Yard *cluster, YardRole role, int number);

/*
 * Writes the routing configuration with this version to the store: host h
 * with the routes /safe/, /unsafe/, /stream/, /resume/ and, when
 * has_extra_route is set, /extra/.
 */
void Yard_Configure(Yard *cluster, int version, bool has_extra_route);
/* Announces a version of an adapter of model m in the store. */
void Yard_Announce(Yard *cluster, const char *adapter, int version);

/* Connects to "host:port".  Returns a socket that the caller closes, or -1. */
int Yard_Connect(const char *address);

/*
 * Sends bytes on a new connection and reads until the peer closes it, the
 * answer is complete by its Content-Length (unless the bytes ask for
 * "Connection: close"), answer_size is used up, or nothing arrives for
 * timeout_ms.  Returns the number of bytes read, without the NUL that ends
 * them, or -1 when the connection failed.
 */
int Yard_Exchange(const char *address, const char *bytes, size_t size,
                  char *answer, size_t answer_size, int timeout_ms);

#endif
