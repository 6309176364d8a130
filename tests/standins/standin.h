/*
 * Common code of the stand-ins for the object API, the instance list, the
 * engine and a plain service: an HTTP server, knobs that are set on the
 * command line or while it runs, and counters that tests read.
 *
 *   POST /standin/set?NAME=VALUE   sets a knob
 *   GET  /standin/state            knobs and counters as JSON
 */
#ifndef KCC_STANDIN_H
#define KCC_STANDIN_H

#include <evhtp.h>
#include <jansson.h>

#include "../../programs/process/loop.h"

/* A number that tests may set.  A knob that injects a fault is 0 when off. */
typedef struct StandinKnob {
    const char *name;
    int64_t value;
    const char *help;
} StandinKnob;

typedef struct StandinOptions {
    const char *program_name;
    StandinKnob *knobs; /* the last row has a NULL name */
    /* Adds the counters to the JSON object of /standin/state. */
    void (*add_state)(json_t *state);
    /* A knob was set over HTTP, not on the command line; may be NULL. */
    void (*on_knob_set)(const StandinKnob *knob);
} StandinOptions;

typedef struct Standin {
    KcLoop *loop;
    evhtp_t *http;
    const StandinOptions *options;
    const char *file_path; /* argument FILE, NULL if absent */
    /* Bytes received and sent on all connections, headers included. */
    int64_t bytes_in;
    int64_t bytes_out;
} Standin;

/*
 * Reads the command line (--listen ADDRESS, --set NAME=VALUE, FILE) and binds
 * the address.  The caller adds its paths to standin->http before
 * Standin_Run().  Exits with a message when the command line is wrong or the
 * address can't be bound.
 */
void Standin_Init(Standin *standin, const StandinOptions *options, int argc,
                  char **argv);

/* Serves until SIGTERM or SIGINT, then frees loop and server.  Returns the
 * exit status. */
int Standin_Run(Standin *standin);

/* Returns the value of a knob.  Aborts when there is none of this name. */
int64_t Standin_GetKnob(const Standin *standin, const char *name);

/*
 * Decides whether to inject a fault whose knob holds the number of times that
 * it still happens: false at 0, otherwise true, and a positive number is
 * decremented.  A negative number means always.
 */
bool Standin_TakeFault(const Standin *standin, const char *name);

/* Replies with JSON and drops the caller's reference to it. */
void Standin_ReplyJson(evhtp_request_t *http, evhtp_res status, json_t *json);

/* Replies with a text. */
void Standin_ReplyText(evhtp_request_t *http, evhtp_res status,
                       const char *text);

/* Closes the connection of a request without answering. */
void Standin_DropConnection(evhtp_request_t *http);

/* Returns the body of a request as JSON, NULL when it isn't valid; the caller
 * drops the reference. */
json_t *Standin_ParseBody(evhtp_request_t *http);

/* Returns the value of a query argument, NULL when absent; it belongs to the
 * request. */
const char *Standin_FindQueryValue(evhtp_request_t *http, const char *name);

#endif
