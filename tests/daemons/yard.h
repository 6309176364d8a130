/*
 * Gateways, keepers and the platform's stand-ins as real processes, each
 * machine at a loopback address of its own.
 */
#ifndef KCC_YARD_H
#define KCC_YARD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

typedef enum YardRole {
    YARD_STORE,
    YARD_LLM,    /* a model worker, with a keeper beside it */
    YARD_KEEPER, /* of the model worker of the same number */
    YARD_PLAIN,  /* a plain worker */
    YARD_GATEWAY,
    YARD_ROLE_COUNT
} YardRole;

typedef struct YardOptions {
    uint8_t network; /* machines are 127.NETWORK.ROLE.NUMBER */
    int llm;
    int plain;
    int gateways;
    uint64_t seed;
    bool proxies; /* store and workers are reached through YARD_PROXY_PORT of
                   * their machine, where the caller has a proxy */
} YardOptions;

/* Where the store and workers listen, and where their proxies do. */
#define YARD_PORT 9100
#define YARD_PROXY_PORT 9200
/* Where keepers listen for gateways, on the machine of their worker. */
#define YARD_KEEPER_PORT 9103

typedef struct Yard Yard;

/* Starts everything and, without proxies, waits for the gateways. */
Yard *Yard_Start(const YardOptions *options);
/* Ends every process and forgets the yard. */
void Yard_Stop(Yard *yard);

/* "address:port" at which a process is spoken to. */
const char *Yard_Address(const Yard *yard, YardRole role, int number);
pid_t Yard_Pid(const Yard *yard, YardRole role, int number);
void Yard_Signal(Yard *yard, YardRole role, int number, int signal);
/* Waits for the end of a process; its exit status, -1 for a signal. */
int Yard_Wait(Yard *yard, YardRole role, int number);
void Yard_Restart(Yard *yard, YardRole role, int number);
/* Waits until a gateway says that it is ready; false after 10 s. */
bool Yard_AwaitReady(Yard *yard, int number);

/* Folder with the output of each process, ROLE-NUMBER.log. */
const char *Yard_Folder(const Yard *yard);

/* Sets a knob of a stand-in, "NAME=VALUE". */
void Yard_Set(Yard *yard, YardRole role, int number, const char *knob);
/* State of a stand-in; the caller drops the reference. */
json_t *Yard_State(Yard *yard, YardRole role, int number);

/*
 * Writes a configuration of this version: host h with routes /safe/,
 * /unsafe/, /stream/, /resume/, and /extra/ when extra is set.
 */
void Yard_Configure(Yard *yard, int version, bool extra);
/* Announces a version of an adapter of model m. */
void Yard_Announce(Yard *yard, const char *adapter, int version);

/* A connected socket, or -1. */
int Yard_Connect(const char *address);

/*
 * Sends bytes and reads until the other side closes, an answer of known
 * length is whole, or the time is over.  Returns the number of bytes read,
 * which end with a NUL, or -1 when there was no connection.
 */
int Yard_Exchange(const char *address, const char *bytes, size_t size,
                  char *answer, size_t room, int milliseconds);

#endif
