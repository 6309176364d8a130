/*
 * Runs the roles of the deploy file as processes on loopback addresses, beside
 * the project's store stand-in, for the scripts of the review.
 *
 * Each run has a network 127.N of its own and a temporary folder; every
 * process that it starts ends with it.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define ADDRESS_SIZE 32
#define ID_SIZE 32

/* Exit statuses of a case. */
#define RULE_HELD 0
#define RULE_BROKEN 1
#define CASE_NOT_RUN 2

/* Opens FOLDER/record.txt; argv is that of main(): FOLDER, and "on" or "off"
 * for the disruption, as run.sh has it from TROUBLE. */
void Harness_Begin(int argc, char **argv);
/* False when the case runs without its disruption. */
bool Harness_HasTrouble(void);
/* Ends all processes, removes the temporary folder, and exits. */
void Harness_End(int status) __attribute__((noreturn));
/* Ends the case as one that could not run. */
void Harness_Fail(const char *reason) __attribute__((noreturn));

/* Adds a line to the record, with the time since the beginning. */
void Harness_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

int64_t Harness_NowMs(void); /* since the beginning */
void Harness_SleepMs(int duration_ms);

/* Writes 127.N.SUBNET.HOST:PORT. */
void Harness_FormatAddress(char address[ADDRESS_SIZE], int subnet, int host,
                           int port);

/* ---- processes ----------------------------------------------------------- */

/* Starts a program of the review's build folder; arguments end with NULL. */
pid_t Harness_StartStandin(const char *const *arguments);
void Harness_Kill(pid_t pid);

/* Starts the store and writes the configuration, a JSON object. */
void Harness_StartStore(const char *configuration);
/* The address that the roles use for the store; the store's if not set. */
void Harness_SetStoreAddress(const char *address);
const char *Harness_StoreAddress(void);

/* Starts the role `entry` on machine number, and waits until it is ready. */
pid_t Harness_StartGateway(int number, char front_address[ADDRESS_SIZE]);
/* Starts the role `agent` beside the worker, on machine number. */
pid_t Harness_StartKeeper(int number, const char *worker_address,
                          const char *service);

/* Creates or replaces an object of the store, as another client of it. */
void Harness_PutObject(const char *kind, const char *name, const char *spec);
void Harness_DeleteObject(const char *kind, const char *name);
/* Writes a worker's entry; models is a JSON list. */
void Harness_PutWorker(const char *id, const char *service,
                       const char *address, const char *state,
                       const char *models);

/* ---- HTTP ---------------------------------------------------------------- */

int Harness_Connect(const char *address);
bool Harness_Write(int fd, const char *bytes, size_t size);

/* An answer as a client sees it. */
typedef struct Answer {
    int status;       /* 0: none */
    bool is_complete; /* by its framing */
    bool has_seal;    /* a Server-Seal */
    bool keeps_open;  /* the connection stays open */
    char id[ID_SIZE]; /* Attempt-Id */
    char body[4096];  /* its beginning */
    size_t body_size; /* in all */
    int event_count;  /* of a stream */
} Answer;

/* Reads an answer; bytes that follow it stay in the connection.  has_no_body:
 * the request was HEAD. */
void Harness_ReadAnswer(int fd, bool has_no_body, int timeout_ms,
                        Answer *answer);

#endif
