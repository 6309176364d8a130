/*
 * An HTTP server in a test's own loop that sends prepared answers.
 */
#ifndef KCC_TEST_CANNED_SERVER_H
#define KCC_TEST_CANNED_SERVER_H

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

#include "../programs/process/loop.h"

typedef struct CannedServer {
    KcLoop *loop;
    char address[KC_ADDRESS_MAX];
    const char *const *answers; /* bodies not sent yet, see json_cases.h; NULL
                                 * follows the last */
    GString *targets;  /* of the requests so far, separated by blanks */
    bool sends_copies; /* of the last answer on a connection, before the next
                        * one there */
    GString *last_answer;                /* with its head */
    struct bufferevent *last_connection; /* with that answer; only compared */
    struct evconnlistener *listener;
} CannedServer;

/* Listens at an address of its own.  Each request gets the next answer, with
 * the status that it begins with, as "202 {}", or 200; one behind the last
 * stops the loop. */
void CannedServer_Start(CannedServer *server, KcLoop *loop,
                        const char *const *answers);
/* Stops listening, when its callers have closed their connections. */
void CannedServer_Stop(CannedServer *server);

#endif
