/*
 * Blocking sockets and HTTP messages of the review's stand-ins.
 */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>

typedef struct NetRequest {
    char method[16];
    char path[512];
    char head[16384];
    char body[65536];
} NetRequest;

/* Returns a descriptor, or -1. */
int Net_Connect(const char *address);
bool Net_SendAll(int fd, const char *bytes, size_t size);
/* A later close resets the connection. */
void Net_ResetOnClose(int fd);
void Net_StartThread(void *(*run)(void *context), void *context);
/* Serves each connection to the address in a thread of its own. */
void Net_Serve(const char *address, void (*serve)(int fd));
/* Copies the value of a header. Returns false when there is none. */
bool Net_FindHeader(const char *head, const char *name, char *value,
                    size_t size);
/* Reads a request with a length or without a body. Returns false at the end of
 * the connection. */
bool Net_ReadRequest(int fd, NetRequest *request);
/* Writes an answer with a length; lines end with CRLF. */
bool Net_Reply(int fd, int status, const char *lines, const char *body);
/* Sends a call with a body and further header lines, "" for none; returns the
 * status, 0 when none came. */
int Net_Call(const char *address, const char *method, const char *path,
             const char *lines, const char *body);

#endif
