/*
 * Stand-ins for the scripts of the second review: the platform's store, a
 * worker, a proxy, and the processes of the system under test.
 *
 * All addresses are loopback addresses. What is sent, answered and run is
 * appended to record.txt of the case, one line each, with milliseconds since
 * the case began.
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_ADDRESS_SIZE 32
#define LAB_TEXT_SIZE 512
/* Interval at which workers write their entries. */
#define LAB_BEAT_MS 1200

/* ---- general ------------------------------------------------------------- */

/* Opens the record of the case and makes its temporary folder. */
void Lab_Begin(const char *record_path);
/* Ends all processes that were started and removes the folder. */
void Lab_End(void);
/* Ends the case as one that couldn't run. */
_Noreturn void Lab_GiveUp(const char *reason);
void Lab_Record(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t Lab_Now(void); /* ms since the case began */
void Lab_Sleep(int64_t duration_ms);
/* False with TROUBLE=0: the case runs without its disruption. */
bool Lab_HasTrouble(void);
/* Writes host:port with a port that is free. */
void Lab_TakeAddress(const char *host, char address[LAB_ADDRESS_SIZE]);

/* ---- the system's processes ---------------------------------------------- */

typedef struct LabProcess {
    pid_t pid; /* 0: does not run */
    char name[LAB_TEXT_SIZE];
    char settings_path[LAB_TEXT_SIZE];
} LabProcess;

/* Starts the command of the deploy file with a settings file. */
void Lab_StartDaemon(LabProcess *process, const char *name,
                     const char *settings);
void Lab_Restart(LabProcess *process);
/* Sends the signal and waits for the end of the process. */
void Lab_Stop(LabProcess *process, int signal_number);

/* ---- the platform's store ------------------------------------------------ */

void Store_Start(char address[LAB_ADDRESS_SIZE]);
/* Answers to calls with is_stale=1 are so old; watches only. */
void Store_SetLag(int64_t lag_ms);
/* Creates or replaces an object. Takes the reference to spec. */
void Store_Write(const char *kind, const char *name, json_t *spec);
int64_t Store_Revision(void);
/* When the last watch of the servers that may not lag was answered. */
int64_t Store_CurrentWatchAt(void);
/* Keeps a copy; comes back from it after being away for a while, in a new
 * era. */
void Store_Copy(void);
void Store_Restore(int64_t away_ms);

/* ---- workers ------------------------------------------------------------- */

typedef struct LabWorker {
    LabProcess process;
    char id[32];
    char service[32];
    char address[LAB_ADDRESS_SIZE];        /* at which it listens */
    char record_address[LAB_ADDRESS_SIZE]; /* in its entry */
    bool has_model;
    int adapter_count; /* that it holds as it starts, PREFIX0, PREFIX1, ... */
    char adapter_prefix[8];
    /* The answer to a report comes twice, at most once in so many answers; 0:
     * never. */
    int repeat_interval;
} LabWorker;

/* Starts a worker as a process; it writes its entry to the store. */
void Worker_Start(LabWorker *worker, const char *store_address);
/* The main function of that process. */
int Worker_Main(int argc, char **argv);

/* ---- a proxy ------------------------------------------------------------- */

void Proxy_Start(const char *target, char address[LAB_ADDRESS_SIZE]);
/* While it is held, bytes, closes and new connections wait. */
void Proxy_Hold(bool is_held);

/* ---- clients ------------------------------------------------------------- */

typedef struct LabAnswer {
    int status;       /* 0: none */
    bool is_complete; /* by its length or last chunk */
    bool has_seal;
    size_t body_size;
    char body[8192];
} LabAnswer;

/* Sends a request with an Attempt-Id, and further lines that end with CRLF,
 * and reads the answer. */
void Client_Call(const char *address, const char *method, const char *path,
                 const char *attempt_id, const char *lines, LabAnswer *answer);

#endif
