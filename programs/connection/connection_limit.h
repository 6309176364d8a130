/*
 * Limits the connections that a listener accepts. Some more than the limit
 * are accepted, so that they can be refused by an answer; beyond these,
 * connections wait in the kernel.
 */
#ifndef KCC_CONNECTION_LIMIT_H
#define KCC_CONNECTION_LIMIT_H

#include "accept_pause.h"

/* Connections that may be accepted above the limit at once. */
#define KC_EXCESS_CONNECTIONS_MAX 32

typedef struct KcConnectionLimit {
    KcAcceptPause *accept_pause; /* of the listener */
    int64_t connections_max;
    int64_t admitted_count;
    int64_t excess_count;
} KcConnectionLimit;

/*
 * Counts a connection that was accepted. Returns whether it is admitted; one
 * that is not is to be refused when it sends a request.
 */
bool KcConnectionLimit_Add(KcConnectionLimit *limit);
/*
 * Admits a connection that was not, if there is room by now. Returns whether
 * it is admitted.
 */
bool KcConnectionLimit_Admit(KcConnectionLimit *limit);
/* Counts the end of a connection. */
void KcConnectionLimit_Remove(KcConnectionLimit *limit, bool was_admitted);

#endif
