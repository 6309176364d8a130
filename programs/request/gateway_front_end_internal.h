/*
 * State of the HTTP front end of a gateway. gateway_front_end.c listens and
 * stops, caller_connection.c serves one caller.
 */
#ifndef KCC_GATEWAY_FRONT_END_INTERNAL_H
#define KCC_GATEWAY_FRONT_END_INTERNAL_H

#include "../connection/connection_limit.h"
#include "../connection/http_connection.h"
#include "gateway_front_end.h"

typedef struct KcCallerConnection KcCallerConnection;

struct KcGatewayFrontEnd {
    KcGatewayFrontEndOptions options;
    struct evconnlistener *listener;
    KcAcceptPause accept_pause;
    KcConnectionLimit connection_limit;
    bool is_leaving;
    KcTime idle_until;    /* when leaving, idle connections are closed then */
    KcTime receive_until; /* requests must have been received by then */
    TAILQ_HEAD(, KcCallerConnection) connections;
};

typedef enum ConnectionState {
    CONNECTION_IDLE = 0,     /* no byte of a request has arrived */
    CONNECTION_READING_HEAD, /* the head is being received */
    CONNECTION_READING_BODY, /* the body is being received */
    CONNECTION_SUBMITTED,    /* the request was submitted to the gateway */
    CONNECTION_CLOSING       /* the last output is sent, then it is closed */
} ConnectionState;

/* A caller's connection and its current request. */
struct KcCallerConnection {
    TAILQ_ENTRY(KcCallerConnection) link;
    KcGatewayFrontEnd *front_end;
    KcHttpConnection *http_connection;
    bool is_admitted; /* within the limit of connections */
    ConnectionState state;
    KcTimer timer;         /* ends a state that lasts too long */
    KcCallerLimits limits; /* of the request, from its first byte to its end */
    const KcHttpMessage *request_head;
    const char *request_id; /* its caller's, while it is being submitted */
    KcRequestBody *request_body; /* from the end of the head; NULL: none */
    KcForward *forward;
    bool answer_is_chunked; /* a stream, sent with chunked encoding */
    bool close_after_answer;
    KcTime idle_time;     /* promised with the last answer; 0: none */
    KcTime receive_until; /* in a planned stop, for the present request */
};

/*
 * Serves a connection that was accepted; fd belongs to it. The front end lists
 * it until it has ended.
 */
void KcCallerConnection_Accept(KcGatewayFrontEnd *front_end,
                               evutil_socket_t fd);
/* Closes the connection at once. */
void KcCallerConnection_Free(KcCallerConnection *connection);
/* Applies the times of the planned stop that the front end has begun. */
void KcCallerConnection_Drain(KcCallerConnection *connection);
/*
 * Refuses what is not received completely or not begun, as the intake of the
 * front end ends. What has arrived is still read.
 */
void KcCallerConnection_EndIntake(KcCallerConnection *connection);
/*
 * Returns whether nothing is received or sent, and the connection is not being
 * closed.
 */
bool KcCallerConnection_IsQuiet(const KcCallerConnection *connection);

#endif
