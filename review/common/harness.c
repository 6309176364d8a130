/*
 * See harness.h.
 */
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROCESSES_MAX 64
#define PATH_SIZE 256
#define STORE_PORT 8142
#define FRONT_PORT 8149
#define READY_PORT 8141
#define LINKS_PORT 7380
#define ADMIN_PORT 7395
#define READY_TIMEOUT_MS 10000

static bool has_trouble;
static int network;
static int reservation = -1;
static char directory[PATH_SIZE];
static char store_address[ADDRESS_SIZE];
static char used_store_address[ADDRESS_SIZE];
static FILE *record_file;
static int64_t begun_at_ms;
static pid_t processes[PROCESSES_MAX];
static int process_count;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
read_clock_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
Harness_NowMs(void)
{
    return read_clock_ms() - begun_at_ms;
}

void
Harness_SleepMs(int duration_ms)
{
    struct timespec duration = {duration_ms / 1000,
                                (duration_ms % 1000) * 1000000L};

    while (nanosleep(&duration, &duration) != 0 && errno == EINTR) {
        continue;
    }
}

void
Harness_Record(const char *format, ...)
{
    char line[1024];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%7.3f %s\n", (double)Harness_NowMs() / 1000, line);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

/* Reserves a network that no other run uses. */
static void
reserve_network(void)
{
    for (int i = 0; i < 200; i++) {
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons(STORE_PORT)};

        network = 30 + ((int)getpid() + i) % 200;
        address.sin_addr.s_addr = htonl(0x7f00ff01U | (uint32_t)network << 16);
        reservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (bind(reservation, (struct sockaddr *)&address, sizeof(address)) ==
                0 &&
            listen(reservation, 1) == 0) {
            return;
        }
        close(reservation);
    }
    Harness_Fail("no free network");
}

void
Harness_Begin(int argc, char **argv)
{
    char path[PATH_SIZE];

    signal(SIGPIPE, SIG_IGN);
    begun_at_ms = read_clock_ms();
    if (argc != 3) {
        fprintf(stderr, "%s FOLDER on|off\n", argv[0]);
        exit(CASE_NOT_RUN);
    }
    has_trouble = strcmp(argv[2], "off") != 0;
    snprintf(path, sizeof(path), "%s/record.txt", argv[1]);
    record_file = fopen(path, "w");
    if (record_file == NULL) {
        perror(path);
        exit(CASE_NOT_RUN);
    }
    reserve_network();
    snprintf(directory, sizeof(directory), "/tmp/kcc-review-XXXXXX");
    if (mkdtemp(directory) == NULL) {
        Harness_Fail("no temporary folder");
    }
    Harness_Record("trouble %s", Harness_HasTrouble() ? "on" : "off");
}

bool
Harness_HasTrouble(void)
{
    return has_trouble;
}

void
Harness_End(int status)
{
    char command[PATH_SIZE + 16];

    for (int i = 0; i < process_count; i++) {
        if (processes[i] > 0) {
            kill(processes[i], SIGKILL);
            waitpid(processes[i], NULL, 0);
        }
    }
    Harness_Record("exit %d: %s", status,
                   status == RULE_HELD     ? "the rule held"
                   : status == RULE_BROKEN ? "the rule was broken"
                                           : "the case could not run");
    fclose(record_file);
    if (getenv("KEEP_LOGS") == NULL && directory[0] != '\0') {
        snprintf(command, sizeof(command), "rm -rf %s", directory);
        if (system(command) != 0) {
            perror(directory);
        }
    }
    exit(status);
}

void
Harness_Fail(const char *reason)
{
    Harness_Record("not run: %s", reason);
    Harness_End(CASE_NOT_RUN);
}

void
Harness_FormatAddress(char address[ADDRESS_SIZE], int subnet, int host,
                      int port)
{
    snprintf(address, ADDRESS_SIZE, "127.%d.%d.%d:%d", network, subnet, host,
             port);
}

/* ---- processes ----------------------------------------------------------- */

static pid_t
start_process(const char *const *arguments, const char *settings_path)
{
    char log_path[PATH_SIZE + 32];
    pid_t parent = getpid();
    pid_t pid;

    if (process_count == PROCESSES_MAX) {
        Harness_Fail("too many processes");
    }
    snprintf(log_path, sizeof(log_path), "%s/%d.log", directory,
             process_count);
    pid = fork();
    if (pid == 0) {
        int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        if (settings_path != NULL) {
            setenv("KINGCUPCRANK_BOOT", settings_path, 1);
        }
        execv(arguments[0], (char *const *)arguments);
        _exit(127);
    }
    processes[process_count++] = pid;
    return pid;
}

pid_t
Harness_StartStandin(const char *const *arguments)
{
    const char *build = getenv("REVIEW_BUILD");
    char program[PATH_SIZE];
    const char *full_arguments[32] = {program};

    snprintf(program, sizeof(program), "%s/%s",
             build != NULL ? build : "review/build", arguments[0]);
    for (int i = 1; i < 31 && arguments[i] != NULL; i++) {
        full_arguments[i] = arguments[i];
    }
    return start_process(full_arguments, NULL);
}

void
Harness_Kill(pid_t pid)
{
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
    for (int i = 0; i < process_count; i++) {
        if (processes[i] == pid) {
            processes[i] = 0;
        }
    }
}

/* A placeholder of a settings template. */
typedef struct Field {
    const char *name;
    const char *value;
} Field;

/* Writes a template's text; "{{#zones}}" to "{{/zones}}" is given by value. */
static void
fill_template(const char *template_path, const char *path, const Field *fields)
{
    char text[16384];
    FILE *file = fopen(template_path, "r");
    const char *position = text;
    size_t size;

    if (file == NULL) {
        Harness_Fail("a settings template is missing");
    }
    size = fread(text, 1, sizeof(text) - 1, file);
    text[size] = '\0';
    fclose(file);
    file = fopen(path, "w");
    while (*position != '\0') {
        const char *start = strstr(position, "{{");
        const char *end = start != NULL ? strstr(start, "}}") : NULL;
        const Field *field = fields;

        if (end == NULL) {
            fputs(position, file);
            break;
        }
        fwrite(position, 1, (size_t)(start - position), file);
        start += 2;
        while (field->name != NULL &&
               (strlen(field->name) != (size_t)(end - start) ||
                strncmp(field->name, start, (size_t)(end - start)) != 0)) {
            field++;
        }
        if (field->name == NULL) {
            Harness_Fail("a settings template has an unknown placeholder");
        }
        fputs(field->value, file);
        position = end + 2;
        if (strcmp(field->name, "#zones") == 0) {
            position = strstr(end, "{{/zones}}") + strlen("{{/zones}}");
        }
    }
    fclose(file);
}

static void
store_call(const char *method, const char *kind, const char *name,
           const char *body, Answer *answer)
{
    static char request[65536];
    int fd = Harness_Connect(store_address);
    int size = snprintf(request, sizeof(request),
                        "%s /objects/%s%s%s HTTP/1.1\r\nHost: store\r\n"
                        "X-Standin: 1\r\nConnection: close\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, kind, name[0] != '\0' ? "/" : "", name,
                        strlen(body), body);

    memset(answer, 0, sizeof(*answer));
    if (fd >= 0) {
        Harness_Write(fd, request, (size_t)size);
        Harness_ReadAnswer(fd, false, 2000, answer);
        close(fd);
    }
}

void
Harness_PutObject(const char *kind, const char *name, const char *spec)
{
    static char body[32768];
    Answer answer;

    snprintf(body, sizeof(body), "{\"meta\":{\"name\":\"%s\"},\"spec\":%s}",
             name, spec);
    store_call("PUT", kind, name, body, &answer);
    if (answer.status == 404) {
        store_call("POST", kind, "", body, &answer);
    }
    if (answer.status / 100 != 2) {
        Harness_Fail("the store refuses an object");
    }
}

void
Harness_DeleteObject(const char *kind, const char *name)
{
    Answer answer;

    store_call("DELETE", kind, name, "", &answer);
}

void
Harness_PutWorker(const char *id, const char *service, const char *address,
                  const char *state, const char *models)
{
    char spec[2048];
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    snprintf(spec, sizeof(spec),
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\","
             "\"version\":\"v1\",\"slots\":32,\"state\":\"%s\","
             "\"cold_left_ms\":0,\"sequence\":0,\"models\":%s,"
             "\"born\":%lld}",
             service, address, state, models,
             (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000);
    Harness_PutObject("servers", id, spec);
}

void
Harness_SetStoreAddress(const char *address)
{
    snprintf(used_store_address, sizeof(used_store_address), "%s", address);
}

const char *
Harness_StoreAddress(void)
{
    return store_address;
}

void
Harness_StartStore(const char *configuration)
{
    const char *arguments[] = {"standin-store", store_address, NULL};

    Harness_FormatAddress(store_address, 0, 1, STORE_PORT);
    Harness_SetStoreAddress(store_address);
    Harness_StartStandin(arguments);
    for (int i = 0; i < READY_TIMEOUT_MS / 20; i++) {
        int fd = Harness_Connect(store_address);

        if (fd >= 0) {
            close(fd);
            Harness_PutObject("config", "main", configuration);
            return;
        }
        Harness_SleepMs(20);
    }
    Harness_Fail("the store does not start");
}

static pid_t
start_role(const char *template_path, const char *node, const char *host,
           const char *worker_address, const char *service)
{
    const char *arguments[] = {"target/kccd", "--platform", NULL};
    char front[ADDRESS_SIZE + 8];
    char ready[ADDRESS_SIZE + 8];
    char links_port[8];
    char admin_port[8];
    char path[PATH_SIZE + 64];
    const Field fields[] = {{"node", node},
                            {"zone", "a"},
                            {"ip", host},
                            {"listen.front", front},
                            {"listen.ready", ready},
                            {"inner_ports.0", links_port},
                            {"inner_ports.1", admin_port},
                            {"platform.address", used_store_address},
                            {"bounds.grace_s", "8"},
                            {"bounds.drain_ms", "3000"},
                            {"bounds.config_ms", "3000"},
                            {"bounds.version_ms", "5000"},
                            {"bounds.budget_ratio", "0.2"},
                            {"bounds.budget_extra", "52"},
                            {"limits.max_fds", "4100"},
                            {"app", worker_address},
                            {"service", service},
                            {"#zones", "\na = north\n"},
                            {NULL, NULL}};

    snprintf(front, sizeof(front), "%s:%d", host, FRONT_PORT);
    snprintf(ready, sizeof(ready), "%s:%d", host, READY_PORT);
    snprintf(links_port, sizeof(links_port), "%d", LINKS_PORT);
    snprintf(admin_port, sizeof(admin_port), "%d", ADMIN_PORT);
    snprintf(path, sizeof(path), "%s/%s.ini", directory, node);
    fill_template(template_path, path, fields);
    return start_process(arguments, path);
}

static bool
is_ready(const char *address)
{
    static const char request[] = "GET /ready HTTP/1.1\r\nHost: ready\r\n"
                                  "Connection: close\r\n\r\n";
    Answer answer = {.status = 0};
    int fd = Harness_Connect(address);

    if (fd >= 0) {
        Harness_Write(fd, request, strlen(request));
        Harness_ReadAnswer(fd, false, 1000, &answer);
        close(fd);
    }
    return answer.status == 200;
}

pid_t
Harness_StartGateway(int number, char front_address[ADDRESS_SIZE])
{
    char node[ID_SIZE];
    char host[ADDRESS_SIZE];
    char ready[ADDRESS_SIZE];
    pid_t pid;

    snprintf(node, sizeof(node), "front-a-%d", number);
    snprintf(host, sizeof(host), "127.%d.1.%d", network, number);
    Harness_FormatAddress(front_address, 1, number, FRONT_PORT);
    Harness_FormatAddress(ready, 1, number, READY_PORT);
    pid = start_role("deploy/entry.ini", node, host, "", "");
    for (int i = 0; i < READY_TIMEOUT_MS / 50; i++) {
        if (is_ready(ready)) {
            return pid;
        }
        Harness_SleepMs(50);
    }
    Harness_Fail("a gateway is not ready");
}

pid_t
Harness_StartKeeper(int number, const char *worker_address,
                    const char *service)
{
    char node[ID_SIZE];
    char host[ADDRESS_SIZE];

    snprintf(node, sizeof(node), "side-a-%d", number);
    snprintf(host, sizeof(host), "%.*s", (int)strcspn(worker_address, ":"),
             worker_address);
    return start_role("deploy/agent.ini", node, host, worker_address, service);
}

/* ---- HTTP ---------------------------------------------------------------- */

int
Harness_Connect(const char *address)
{
    char host[ADDRESS_SIZE];
    struct sockaddr_in target = {.sin_family = AF_INET};
    const char *colon = strrchr(address, ':');
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
    inet_pton(AF_INET, host, &target.sin_addr);
    target.sin_port = htons((uint16_t)atoi(colon + 1));
    if (connect(fd, (struct sockaddr *)&target, sizeof(target)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
Harness_Write(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t written = send(fd, bytes, size, MSG_NOSIGNAL);

        if (written <= 0) {
            return false;
        }
        bytes += written;
        size -= (size_t)written;
    }
    return true;
}

/* Reads one byte; false at the end, an error or the deadline. */
static bool
read_byte(int fd, int64_t deadline_ms, char *byte)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    int64_t left = deadline_ms - read_clock_ms();

    return left > 0 && poll(&poll_fd, 1, (int)left) > 0 &&
           recv(fd, byte, 1, 0) == 1;
}

/* Reads a line without its end; false when it is not complete. */
static bool
read_line(int fd, int64_t deadline_ms, char *line, size_t line_size)
{
    size_t size = 0;
    char byte;

    while (read_byte(fd, deadline_ms, &byte)) {
        if (byte == '\n') {
            size -= size > 0 && line[size - 1] == '\r' ? 1 : 0;
            line[size] = '\0';
            return true;
        }
        if (size + 1 < line_size) {
            line[size++] = byte;
        }
    }
    line[size] = '\0';
    return false;
}

/* Reads bytes of the body; false when some are missing. */
static bool
read_body(int fd, int64_t deadline_ms, size_t size, Answer *answer)
{
    char byte;

    for (size_t i = 0; i < size; i++) {
        if (!read_byte(fd, deadline_ms, &byte)) {
            return false;
        }
        if (answer->body_size + 1 < sizeof(answer->body)) {
            answer->body[answer->body_size] = byte;
        }
        answer->body_size++;
    }
    return true;
}

static bool
read_chunks(int fd, int64_t deadline_ms, Answer *answer)
{
    char line[128];

    while (read_line(fd, deadline_ms, line, sizeof(line))) {
        size_t size = strtoul(line, NULL, 16);

        if (size == 0) {
            return read_line(fd, deadline_ms, line, sizeof(line));
        }
        if (!read_body(fd, deadline_ms, size, answer) ||
            !read_line(fd, deadline_ms, line, sizeof(line))) {
            return false;
        }
    }
    return false;
}

static int
count_events(const char *text)
{
    int count = 0;

    while ((text = strstr(text, "id: ")) != NULL) {
        count++;
        text++;
    }
    return count;
}

void
Harness_ReadAnswer(int fd, bool has_no_body, int timeout_ms, Answer *answer)
{
    int64_t deadline_ms = read_clock_ms() + timeout_ms;
    char line[1024];
    size_t length = 0;
    bool is_chunked = false;
    bool has_length = false;

    memset(answer, 0, sizeof(*answer));
    if (!read_line(fd, deadline_ms, line, sizeof(line))) {
        return;
    }
    if (strncmp(line, "HTTP/1.1 ", 9) != 0) {
        answer->status = -1; /* no answer in the protocol */
        snprintf(answer->body, sizeof(answer->body), "%s", line);
        return;
    }
    answer->status = atoi(line + 9);
    answer->keeps_open = true;
    for (;;) {
        if (!read_line(fd, deadline_ms, line, sizeof(line))) {
            return;
        }
        if (line[0] == '\0') {
            break;
        }
        if (strncasecmp(line, "Content-Length:", 15) == 0) {
            length = strtoul(line + 15, NULL, 10);
            has_length = true;
        }
        else if (strncasecmp(line, "Transfer-Encoding:", 18) == 0) {
            is_chunked = true;
        }
        else if (strncasecmp(line, "Server-Seal:", 12) == 0) {
            answer->has_seal = true;
        }
        else if (strcasecmp(line, "Connection: close") == 0) {
            answer->keeps_open = false;
        }
        else if (strncasecmp(line, "Attempt-Id: ", 12) == 0) {
            snprintf(answer->id, sizeof(answer->id), "%.31s", line + 12);
        }
    }
    if (has_no_body) {
        answer->is_complete = true;
    }
    else if (is_chunked) {
        answer->is_complete = read_chunks(fd, deadline_ms, answer);
    }
    else {
        answer->is_complete =
            has_length && read_body(fd, deadline_ms, length, answer);
    }
    answer->event_count = count_events(answer->body);
}
