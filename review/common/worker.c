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
 * With model=NAME it is a model worker that takes orders and gives reports: it
 * holds the model from its start unless held=0, and the adapters that are
 * given by adapter=NAME, in version 1; load_ms is the time to load an adapter,
 * and it has slots=N for them.
 *
 * With deadly=ID, the process ends as it begins to write an answer on that
 * part of a prompt.
 *
 * LOG gets a line "run ATTEMPT_ID PATH version V at_ms T" when a request
 * begins to run, and "done ATTEMPT_ID" when its answer was written whole.
 */
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
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

#define ADAPTERS_MAX 64

/* An adapter of a model worker; coming_version replaces version, which is 0
 * for one that was not there before, at coming_at_ms. */
typedef struct Adapter {
    char name[64];
    int version;
    int coming_version; /* 0: none */
    int64_t coming_at_ms;
} Adapter;

static char model_name[64]; /* "": no model worker */
static int has_model = 1;
static int64_t model_coming_at_ms; /* 0: not being loaded */
static Adapter adapters[ADAPTERS_MAX];
static int adapter_count;
static int adapter_slots = 17;
static int sequence;
static char deadly_part[64]; /* "": none */
static int load_ms = 250;
static int model_load_ms = 800;
static int64_t born_ms;
static pthread_mutex_t state_lock = PTHREAD_MUTEX_INITIALIZER;

typedef struct Request {
    char method[16];
    char path[256];
    char id[64];
    char expected_instance[64];
    char model[128];
    char prompt[256]; /* Prompt-Prefix */
    int version;      /* Expect-Version; 0: none */
    size_t length;
    char body[512]; /* its beginning */
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
        else if (strncasecmp(line, "Model: ", 7) == 0) {
            snprintf(request->model, sizeof(request->model), "%.127s",
                     line + 7);
        }
        else if (strncasecmp(line, "Prompt-Prefix: ", 15) == 0) {
            snprintf(request->prompt, sizeof(request->prompt), "%.255s",
                     line + 15);
        }
        else if (strncasecmp(line, "Expect-Version: ", 16) == 0) {
            request->version = atoi(line + 16);
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
        if (left == request->length && size < sizeof(request->body)) {
            memcpy(request->body, byte, size);
        }
        left -= size;
    }
    return 0;
}

/* The process ends as it begins to write an answer on the deadly part. */
static void
end_if_deadly(const Request *request)
{
    if (deadly_part[0] != '\0' &&
        strstr(request->prompt, deadly_part) != NULL) {
        write_log("deadly %s\n", request->id);
        _exit(1);
    }
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
    if (event_count == 0 || send_text(fd, text) != 0) {
        return -1;
    }
    for (int i = 0; i < event_count; i++) {
        char event[64];

        sleep_ms(work_ms);
        end_if_deadly(request);
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

/* ---- a model worker ------------------------------------------------------ */

static int64_t
read_wall_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Loads that are over take effect; the lock is held. */
static void
finish_loads(void)
{
    int64_t now_ms = read_wall_ms();

    if (model_coming_at_ms != 0 && now_ms >= model_coming_at_ms) {
        has_model = 1;
        model_coming_at_ms = 0;
        write_log("loaded %s\n", model_name);
    }
    for (int i = 0; i < adapter_count; i++) {
        Adapter *adapter = &adapters[i];

        if (adapter->coming_version != 0 && now_ms >= adapter->coming_at_ms) {
            adapter->version = adapter->coming_version;
            adapter->coming_version = 0;
            write_log("loaded %s@%d\n", adapter->name, adapter->version);
        }
    }
}

static Adapter *
find_adapter(const char *name)
{
    for (int i = 0; i < adapter_count; i++) {
        if (strcmp(adapters[i].name, name) == 0) {
            return &adapters[i];
        }
    }
    return NULL;
}

static int
send_json(int fd, int status, const char *body)
{
    char text[1024];

    snprintf(text, sizeof(text),
             "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
             "Instance-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
             status, instance_id, strlen(body), body);
    return send_text(fd, text);
}

/* Appends "text", after a comma if the list is not empty. */
static void
append_to_list(char *list, size_t list_size, const char *text)
{
    size_t used = strlen(list);

    snprintf(list + used, list_size - used, "%s\"%s\"", used > 0 ? "," : "",
             text);
}

static int
answer_report(int fd)
{
    char body[8192];
    char held[3072] = "";
    char coming[3072] = "";
    char models[3328] = "";
    char text[160];

    pthread_mutex_lock(&state_lock);
    finish_loads();
    for (int i = 0; i < adapter_count; i++) {
        const Adapter *adapter = &adapters[i];

        if (adapter->version > 0) {
            snprintf(text, sizeof(text), "%.63s@%d", adapter->name,
                     adapter->version);
            append_to_list(held, sizeof(held), text);
        }
        if (adapter->coming_version > 0) {
            snprintf(text, sizeof(text), "%.63s/%.63s@%d", model_name,
                     adapter->name, adapter->coming_version);
            append_to_list(coming, sizeof(coming), text);
        }
    }
    if (has_model) {
        snprintf(models, sizeof(models),
                 "{\"name\":\"%s\",\"version\":1,\"adapters\":[%s]}",
                 model_name, held);
    }
    snprintf(body, sizeof(body),
             "{\"stage\":\"both\",\"models\":[%s],\"coming\":[%s],"
             "\"busy\":%s,\"sequence\":%d,\"queued\":0,\"active\":0,"
             "\"kv_used\":0,\"kv_total\":150000,\"handles\":0,"
             "\"born\":%lld}",
             models, coming, model_coming_at_ms != 0 ? "true" : "false",
             sequence, (long long)born_ms);
    pthread_mutex_unlock(&state_lock);
    return send_json(fd, 200, body);
}

/* Copies the text of a field of an order; "" if it has none. */
static void
read_field(const Request *request, const char *name, char value[64])
{
    char key[32];
    const char *field;

    snprintf(key, sizeof(key), "\"%s\":\"", name);
    field = strstr(request->body, key);
    value[0] = '\0';
    if (field != NULL) {
        field += strlen(key);
        snprintf(value, 64, "%.*s", (int)strcspn(field, "\""), field);
    }
}

/* Carries out an order for an adapter; the lock is held.  A worker that is
 * ordered to load more than it has slots crashes. */
static int
order_adapter(const char *name, bool unload, int version)
{
    Adapter *adapter = find_adapter(name);

    if (unload) {
        if (adapter != NULL) {
            *adapter = adapters[--adapter_count];
        }
        return 200;
    }
    if (adapter == NULL) {
        if (adapter_count >= adapter_slots) {
            write_log("overloaded by %s, %d adapters in %d slots\n", name,
                      adapter_count + 1, adapter_slots);
            _exit(1);
        }
        adapter = &adapters[adapter_count++];
        memset(adapter, 0, sizeof(*adapter));
        snprintf(adapter->name, sizeof(adapter->name), "%s", name);
    }
    adapter->coming_version = version;
    adapter->coming_at_ms = read_wall_ms() + load_ms;
    return 202;
}

static int
answer_order(int fd, const Request *request)
{
    const char *expected = strstr(request->body, "\"expect\":");
    const char *version = strstr(request->body, "\"version\":");
    bool unload = strstr(request->body, "\"op_code\":\"unload\"") != NULL;
    char name[64];
    int status = 202;

    read_field(request, "adapter", name);
    pthread_mutex_lock(&state_lock);
    finish_loads();
    if (strcmp(request->expected_instance, instance_id) != 0) {
        status = 421;
    }
    else if (expected != NULL && atoi(expected + 9) != sequence) {
        status = 409;
    }
    else if (name[0] != '\0') {
        status = order_adapter(name, unload,
                               version != NULL ? atoi(version + 10) : 1);
    }
    else if (unload || model_coming_at_ms != 0) {
        status = unload ? 400 : 409;
    }
    else {
        model_coming_at_ms = read_wall_ms() + model_load_ms;
    }
    sequence += status / 100 == 2 ? 1 : 0;
    write_log("order %d sequence %d %s\n", status, sequence, request->body);
    pthread_mutex_unlock(&state_lock);
    return send_json(fd, status, "{}");
}

/* Does the worker hold what the request names?  Notes the version. */
static bool
holds_model(const Request *request, int *version)
{
    const char *slash = strchr(request->model, '/');
    const Adapter *adapter;
    bool holds;

    pthread_mutex_lock(&state_lock);
    finish_loads();
    adapter = slash != NULL ? find_adapter(slash + 1) : NULL;
    if (slash == NULL) {
        holds = has_model && strcmp(request->model, model_name) == 0;
    }
    else {
        holds =
            has_model && adapter != NULL && adapter->version > 0 &&
            (request->version == 0 || request->version == adapter->version);
    }
    *version = adapter != NULL ? adapter->version : 1;
    pthread_mutex_unlock(&state_lock);
    return holds;
}

/* Answers what is no client's request; false when it is one. */
static bool
answer_call(int fd, const Request *request, int *code)
{
    if (strcmp(request->path, "/report") == 0) {
        *code = answer_report(fd);
        return true;
    }
    if (strcmp(request->path, "/order") == 0) {
        *code = answer_order(fd, request);
        return true;
    }
    if (strcmp(request->path, "/health") == 0) {
        *code = send_json(fd, 200, "{}");
        return true;
    }
    return false;
}

static void *
serve_connection(void *argument)
{
    int fd = (int)(long)argument;
    FILE *input = fdopen(dup(fd), "r");
    Request request;
    int code = 0;
    bool has_stray = false;
    int version = 0;

    while (code == 0 && read_request(input, &request) == 0) {
        if (has_stray) {
            /* Left over from the request before: it has no id and no seal. */
            send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
                          "stray\n");
            write_log("stray before %s\n", request.id);
        }
        if (answer_call(fd, &request, &code)) {
            continue;
        }
        if ((request.expected_instance[0] != '\0' &&
             strcmp(request.expected_instance, instance_id) != 0) ||
            (model_name[0] != '\0' && !holds_model(&request, &version))) {
            code = answer_misdirected(fd, &request);
            continue;
        }
        write_log("run %s %s version %d at_ms %lld\n", request.id,
                  request.path, version, (long long)read_wall_ms());
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
    born_ms = read_wall_ms();
    log_fd = open(argv[3], O_WRONLY | O_CREAT | O_APPEND, 0600);
    for (int i = 4; i < argc; i++) {
        sscanf(argv[i], "work_ms=%d", &work_ms);
        sscanf(argv[i], "events=%d", &event_count);
        sscanf(argv[i], "unframed=%d", &is_unframed);
        sscanf(argv[i], "model=%63s", model_name);
        sscanf(argv[i], "deadly=%63s", deadly_part);
        sscanf(argv[i], "held=%d", &has_model);
        sscanf(argv[i], "slots=%d", &adapter_slots);
        sscanf(argv[i], "load_ms=%d", &load_ms);
        if (sscanf(argv[i], "adapter=%63s", adapters[adapter_count].name) ==
            1) {
            adapters[adapter_count++].version = 1;
        }
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
