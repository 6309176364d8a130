/*
 * What all stand-ins share: an HTTP server, knobs that are set on the command
 * line or while it runs, and counters to be read by tests.
 *
 *   POST /standin/set?NAME=VALUE   sets a knob
 *   GET  /standin/state            knobs and counters as JSON
 */
#ifndef KCC_STANDIN_H
#define KCC_STANDIN_H

#include <evhtp.h>
#include <jansson.h>

#include "../../programs/process/loop.h"

/* A number that tests may set; faults are knobs that are 0 when off. */
typedef struct StandinKnob {
    const char *name;
    int64_t value;
    const char *help;
} StandinKnob;

typedef struct StandinOptions {
    const char *name;   /* of the program */
    StandinKnob *knobs; /* ends with a row without a name */
    /* Adds counters to the state. */
    void (*state)(json_t *state);
    /* A knob was set while the stand-in runs; may be NULL. */
    void (*changed)(const StandinKnob *knob);
} StandinOptions;

typedef struct Standin {
    KcLoop *loop;
    evhtp_t *http;
    const StandinOptions *options;
    const char *file; /* argument after the options, NULL if none */
    int64_t bytes_in; /* of all connections, headers included */
    int64_t bytes_out;
} Standin;

/*
 * Reads the command line (--listen ADDRESS, --set NAME=VALUE) and binds the
 * address; paths are added by the caller before Standin_Run().  Exits with
 * a message when the command line is wrong.
 */
void Standin_Init(Standin *standin, const StandinOptions *options, int argc,
                  char **argv);

/* Serves until SIGTERM or SIGINT.  Returns the exit status. */
int Standin_Run(Standin *standin);

/* Value of a knob; the name must exist. */
int64_t Standin_Knob(const Standin *standin, const char *name);

/* Takes one from a knob that counts faults still to come; false at 0. */
bool Standin_TakeFault(const Standin *standin, const char *name);

/* Replies with JSON, dropping the reference. */
void Standin_ReplyJson(evhtp_request_t *http, evhtp_res status, json_t *json);

/* Replies with a short text. */
void Standin_ReplyText(evhtp_request_t *http, evhtp_res status,
                       const char *text);

/* Closes the connection of a request without an answer. */
void Standin_Drop(evhtp_request_t *http);

/* Body of a request as JSON, NULL when it is none. */
json_t *Standin_Body(evhtp_request_t *http);

/* Value of a query argument, NULL when absent. */
const char *Standin_Query(evhtp_request_t *http, const char *name);

#endif
