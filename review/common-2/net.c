/*
 * Blocking sockets and HTTP messages of the review's stand-ins.
 */
#include "net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

static struct sockaddr_in
parse_address(const char *address)
{
    struct sockaddr_in parsed = {.sin_family = AF_INET};
    const char *colon = strchr(address, ':');
    char host[32];

    snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
    inet_pton(AF_INET, host, &parsed.sin_addr);
    parsed.sin_port = htons((unsigned short)atoi(colon + 1));
    return parsed;
}

int
Net_Connect(const char *address)
{
    struct sockaddr_in target = parse_address(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;

    if (connect(fd, (struct sockaddr *)&target, sizeof(target)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return fd;
}

bool
Net_SendAll(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
    return true;
}

void
Net_ResetOnClose(int fd)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void
Net_StartThread(void *(*run)(void *context), void *context)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, context) != 0) {
        fprintf(stderr, "no thread\n");
        exit(2);
    }
    pthread_detach(thread);
}

/* ---- servers ------------------------------------------------------------- */

typedef struct Listener {
    int fd; /* of the listener, or of one connection */
    void (*serve)(int fd);
} Listener;

static void *
run_connection(void *context)
{
    Listener connection = *(Listener *)context;

    free(context);
    connection.serve(connection.fd);
    return NULL;
}

static void *
run_listener(void *context)
{
    const Listener *listener = context;

    for (;;) {
        struct sockaddr_in remote;
        socklen_t size = sizeof(remote);
        int fd = accept4(listener->fd, (struct sockaddr *)&remote, &size,
                         SOCK_CLOEXEC);
        int enabled = 1;
        Listener *connection;

        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        connection = malloc(sizeof(*connection));
        *connection = (Listener){fd, listener->serve};
        Net_StartThread(run_connection, connection);
    }
    return NULL;
}

void
Net_Serve(const char *address, void (*serve)(int fd))
{
    struct sockaddr_in local = parse_address(address);
    Listener *listener = malloc(sizeof(*listener));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (bind(fd, (struct sockaddr *)&local, sizeof(local)) != 0 ||
        listen(fd, SOMAXCONN) != 0) {
        fprintf(stderr, "cannot listen on %s\n", address);
        exit(2);
    }
    *listener = (Listener){fd, serve};
    Net_StartThread(run_listener, listener);
}

/* ---- messages ------------------------------------------------------------ */

bool
Net_FindHeader(const char *head, const char *name, char *value, size_t size)
{
    const char *line = strstr(head, "\r\n");
    size_t length = strlen(name);

    while (line != NULL && line[2] != '\r' && line[2] != '\0') {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            line += length + 1;
            line += strspn(line, " ");
            snprintf(value, size, "%.*s", (int)strcspn(line, "\r"), line);
            return true;
        }
        line = strstr(line, "\r\n");
    }
    return false;
}

static bool
read_exactly(int fd, char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t received = recv(fd, bytes, size, 0);

        if (received <= 0) {
            return false;
        }
        bytes += received;
        size -= (size_t)received;
    }
    return true;
}

static bool
read_head(int fd, char *head, size_t head_size)
{
    size_t size = 0;

    while (size + 1 < head_size) {
        if (!read_exactly(fd, head + size, 1)) {
            return false;
        }
        head[++size] = '\0';
        if (size >= 4 && memcmp(head + size - 4, "\r\n\r\n", 4) == 0) {
            return true;
        }
    }
    return false;
}

bool
Net_ReadRequest(int fd, NetRequest *request)
{
    char value[32] = "0";
    size_t length;

    if (!read_head(fd, request->head, sizeof(request->head)) ||
        sscanf(request->head, "%15s %511s", request->method, request->path) !=
            2) {
        return false;
    }
    Net_FindHeader(request->head, "Content-Length", value, sizeof(value));
    length = strtoul(value, NULL, 10);
    if (length >= sizeof(request->body)) {
        return false;
    }
    request->body[length] = '\0';
    return read_exactly(fd, request->body, length);
}

bool
Net_Reply(int fd, int status, const char *lines, const char *body)
{
    size_t length = strlen(body);
    char *text = malloc(length + 2048);
    int size = snprintf(text, length + 2048,
                        "HTTP/1.1 %d -\r\n%sContent-Length: %zu\r\n\r\n%s",
                        status, lines, length, body);
    bool is_sent = Net_SendAll(fd, text, (size_t)size);

    free(text);
    return is_sent;
}

int
Net_Call(const char *address, const char *method, const char *path,
         const char *lines, const char *body)
{
    char text[4096];
    char head[16384];
    int fd = Net_Connect(address);
    int status = 0;
    int size = snprintf(text, sizeof(text),
                        "%s %s HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
                        "Content-Type: application/json\r\n%s"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, path, lines, strlen(body), body);

    if (fd < 0) {
        return 0;
    }
    if (Net_SendAll(fd, text, (size_t)size) &&
        read_head(fd, head, sizeof(head))) {
        status = atoi(head + strlen("HTTP/1.1 "));
    }
    close(fd);
    return status;
}
