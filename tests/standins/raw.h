/*
 * A server for stand-ins of the platform that must also misbehave: requests
 * are read whole, answers are written byte by byte as the stand-in wants.
 *
 *   POST /standin/set?NAME=VALUE   sets a knob
 *   GET  /standin/state            knobs and counters as JSON
 */
#ifndef KCC_RAW_H
#define KCC_RAW_H

#include <jansson.h>

#include "../../programs/connection/http_connection.h"

/* A number that tests may set; faults are knobs that are 0 when off. */
typedef struct RawKnob {
    const char *name;
    int64_t value;
} RawKnob;

/* One connection with the request on it. */
typedef struct RawConnection {
    TAILQ_ENTRY(RawConnection) link;
    struct Raw *raw;
    KcHttpConnection *peer;
    const KcHttpMessage *message;
    KcBuffer body;
    KcTimer timer; /* for the stand-in */
    void *owner;   /* of the stand-in; told by options->gone */
    uint32_t number;
} RawConnection;

typedef struct RawOptions {
    RawKnob *knobs; /* ends with a row without a name */
    /* A whole request has arrived. */
    void (*request)(RawConnection *connection);
    /* A connection with an owner ended. */
    void (*gone)(RawConnection *connection);
    void (*state)(json_t *state);
    void (*timer)(KcTimer *timer, KcTime now);
} RawOptions;

typedef struct Raw {
    KcLoop *loop;
    const RawOptions *options;
    struct evconnlistener *listener;
    TAILQ_HEAD(, RawConnection) connections;
    uint64_t random; /* state of the random numbers */
} Raw;

/* Listens; exits with a message when that fails. */
void Raw_Init(Raw *raw, const RawOptions *options, const char *address,
              uint64_t seed);
/* Serves until SIGTERM. */
void Raw_Run(Raw *raw);

int64_t Raw_Knob(const Raw *raw, const char *name);
void Raw_SetKnob(Raw *raw, const char *name, int64_t value);
/* True with the probability of a knob, in percent. */
bool Raw_Chance(Raw *raw, const char *knob);

/* Writes a whole answer; headers is lines with their ends, or "". */
void Raw_Reply(RawConnection *connection, int status, const char *headers,
               const char *body);
/* Writes bytes as they are. */
void Raw_Write(RawConnection *connection, const char *bytes, size_t size);
/* The answer is over: the next request may be read. */
void Raw_Next(RawConnection *connection);
void Raw_Close(RawConnection *connection);
void Raw_Reset(RawConnection *connection);

/* A header of the request, "" when absent. */
const char *Raw_Header(const RawConnection *connection, const char *name);
/* A number of the query, or the default. */
int64_t Raw_Query(const RawConnection *connection, const char *name,
                  int64_t initial);
/* A text of the query into a buffer; "" when absent. */
void Raw_QueryText(const RawConnection *connection, const char *name,
                   char *text, size_t size);

#endif
