/*
 * Stand-in for a worker: answers requests, streams for paths that begin with
 * /stream/, and misbehaves as told.
 *
 *   review-worker ADDRESS ID LOG [OPTION=NUMBER...]
 *
 * Options: work_ms, time to an answer, or between two events; events of a
 * stream; unframed, 1: streams have no length and end with their connection;
 * stray, N: after each Nth answer come bytes that belong to no request, at the
 * point where the next answer of the connection is due; 0: never.
 *
 * LOG gets a line "run ATTEMPT_ID PATH" when a request begins to run, and
 * "done ATTEMPT_ID" when its answer was written whole.
 */
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <signal.h>

static const char *instance_id;
static int log_fd;
static int work_ms = 15;
static int event_count = 10;
static int is_unframed;
static int stray_interval;
static atomic_int answer_count;

typedef struct Request {
    char method[16];
    char path[256];
    char id[64];
    char expected_instance[64];
    size_t length;
} Request;

static void
write_log(const char *format, ...)
{
    char line[512];
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    if (write(log_fd, line, (size_t)size) != size) {
        _exit(1);
    }
}

static void
sleep_ms(int duration_ms)
{
    struct timespec duration = {duration_ms / 1000,
                                (duration_ms % 1000) * 1000000L};

    nanosleep(&duration, NULL);
}

static int
send_all(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);

        if (sent <= 0) {
            return -1;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
    return 0;
}

static int
send_text(int fd, const char *text)
{
    return send_all(fd, text, strlen(text));
}

/* Reads one request with its body.  Returns 0, or -1 at the end. */
static int
read_request(FILE *input, Request *request)
{
    char line[4096];
    char byte[4096];

    memset(request, 0, sizeof(*request));
    if (fgets(line, sizeof(line), input) == NULL ||
        sscanf(line, "%15s %255s", request->method, request->path) != 2) {
        return -1;
    }
    while (fgets(line, sizeof(line), input) != NULL &&
           strcmp(line, "\r\n") != 0) {
        line[strcspn(line, "\r\n")] = '\0';
        if (strncasecmp(line, "Attempt-Id: ", 12) == 0) {
            snprintf(request->id, sizeof(request->id), "%.63s", line + 12);
        }
        else if (strncasecmp(line, "Expect-Instance: ", 17) == 0) {
            snprintf(request->expected_instance,
                     sizeof(request->expected_instance), "%.63s", line + 17);
        }
        else if (strncasecmp(line, "Content-Length: ", 16) == 0) {
            request->length = strtoul(line + 16, NULL, 10);
        }
    }
    for (size_t left = request->length; left > 0;) {
        size_t part = left < sizeof(byte) ? left : sizeof(byte);
        size_t size = fread(byte, 1, part, input);

        if (size == 0) {
            return -1;
        }
        left -= size;
    }
    return 0;
}

static int
answer_stream(int fd, const Request *request)
{
    char text[512];

    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\n"
             "Content-Type: text/event-stream\r\n%s\r\n",
             request->id, instance_id, request->id,
             is_unframed ? "" : "Transfer-Encoding: chunked\r\n");
    if (send_text(fd, text) != 0) {
        return -1;
    }
    for (int i = 0; i < event_count; i++) {
        char event[64];

        sleep_ms(work_ms);
        snprintf(event, sizeof(event), "id: %d\ndata: piece %d\n\n", i, i);
        if (is_unframed) {
            snprintf(text, sizeof(text), "%s", event);
        }
        else {
            snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(event),
                     event);
        }
        if (send_text(fd, text) != 0) {
            return -1;
        }
        write_log("event %s %d\n", request->id, i);
    }
    return is_unframed ? -1 : send_text(fd, "0\r\n\r\n");
}

static int
answer_plain(int fd, const Request *request)
{
    char body[128];
    char text[512];

    sleep_ms(work_ms);
    snprintf(body, sizeof(body), "answer to %s", request->id);
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\n"
             "Keep-Alive: timeout=10\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             request->id, instance_id, request->id, strlen(body),
             strcmp(request->method, "HEAD") == 0 ? "" : body);
    return send_text(fd, text);
}

static int
answer_misdirected(int fd, const Request *request)
{
    char text[256];

    snprintf(text, sizeof(text),
             "HTTP/1.1 421 -\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
             "Content-Length: 0\r\n\r\n",
             request->id);
    return send_text(fd, text);
}

static void *
serve_connection(void *argument)
{
    int fd = (int)(long)argument;
    FILE *input = fdopen(dup(fd), "r");
    Request request;
    int code = 0;
    bool has_stray = false;

    while (code == 0 && read_request(input, &request) == 0) {
        if (has_stray) {
            /* Left over from the request before: it has no id and no seal. */
            send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
                          "stray\n");
            write_log("stray before %s\n", request.id);
        }
        if (request.expected_instance[0] != '\0' &&
            strcmp(request.expected_instance, instance_id) != 0) {
            code = answer_misdirected(fd, &request);
            continue;
        }
        write_log("run %s %s\n", request.id, request.path);
        code = strncmp(request.path, "/stream/", 8) == 0
                   ? answer_stream(fd, &request)
                   : answer_plain(fd, &request);
        write_log("done %s\n", request.id);
        has_stray = stray_interval > 0 && ++answer_count % stray_interval == 0;
    }
    fclose(input);
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    char host[64];
    const char *colon = argc > 3 ? strrchr(argv[1], ':') : NULL;
    int one = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);

    if (colon == NULL) {
        fprintf(stderr, "review-worker ADDRESS ID LOG [OPTION=NUMBER...]\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    instance_id = argv[2];
    log_fd = open(argv[3], O_WRONLY | O_CREAT | O_APPEND, 0600);
    for (int i = 4; i < argc; i++) {
        sscanf(argv[i], "work_ms=%d", &work_ms);
        sscanf(argv[i], "events=%d", &event_count);
        sscanf(argv[i], "unframed=%d", &is_unframed);
        sscanf(argv[i], "stray=%d", &stray_interval);
    }
    snprintf(host, sizeof(host), "%.*s", (int)(colon - argv[1]), argv[1]);
    inet_pton(AF_INET, host, &address.sin_addr);
    address.sin_port = htons((uint16_t)atoi(colon + 1));
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, 256) != 0) {
        perror(argv[1]);
        return 1;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        pthread_t thread;

        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        if (pthread_create(&thread, NULL, serve_connection,
                           (void *)(long)fd) != 0) {
            close(fd);
            continue;
        }
        pthread_detach(thread);
    }
}
