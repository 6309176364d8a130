/*
 * Processes, the record, clients and the proxy of the review's scripts.
 */
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

#define PROCESSES_MAX 64
/* A case has no more than 120 s; this one ends itself before. */
#define CASE_SECONDS_MAX 110

static int record_fd = -1;
static int64_t begun_at;
static char folder[LAB_TEXT_SIZE];
static LabProcess *processes[PROCESSES_MAX];
static int process_count;

/* ---- general ------------------------------------------------------------- */

int64_t
Lab_Now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000 - begun_at;
}

void
Lab_Sleep(int64_t duration_ms)
{
    struct timespec duration = {duration_ms / 1000,
                                (duration_ms % 1000) * 1000000L};

    if (duration_ms > 0) {
        nanosleep(&duration, NULL);
    }
}

bool
Lab_HasTrouble(void)
{
    const char *trouble = getenv("TROUBLE");

    return trouble == NULL || strcmp(trouble, "0") != 0;
}

void
Lab_Record(const char *format, ...)
{
    char line[1024];
    int size = snprintf(line, sizeof(line), "%7lld ", (long long)Lab_Now());
    va_list arguments;

    va_start(arguments, format);
    size += vsnprintf(line + size, sizeof(line) - (size_t)size - 1, format,
                      arguments);
    va_end(arguments);
    size = size < (int)sizeof(line) - 2 ? size : (int)sizeof(line) - 2;
    line[size++] = '\n';
    if (write(record_fd, line, (size_t)size) != size) {
        _exit(2);
    }
}

/* Workers are processes of their own, and write to the same record. */
void
Lab_Join(void)
{
    const char *begun_text = getenv("LAB_BEGUN_AT");
    const char *record_path = getenv("LAB_RECORD");

    if (begun_text == NULL || record_path == NULL) {
        _exit(2);
    }
    begun_at = strtoll(begun_text, NULL, 10);
    record_fd = open(record_path, O_WRONLY | O_APPEND | O_CLOEXEC);
}

static void
on_alarm(int signal_number)
{
    (void)signal_number;
    for (int i = 0; i < process_count; i++) {
        if (processes[i]->pid > 0) {
            kill(processes[i]->pid, SIGKILL);
        }
    }
    _exit(2);
}

void
Lab_Begin(const char *record_path)
{
    const char *parent = getenv("TMPDIR");
    char text[32];

    begun_at = Lab_Now();
    snprintf(text, sizeof(text), "%lld", (long long)begun_at);
    setenv("LAB_BEGUN_AT", text, 1);
    setenv("LAB_RECORD", record_path, 1);
    record_fd =
        open(record_path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
             0644);
    snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
             parent != NULL ? parent : "/tmp");
    if (record_fd < 0 || mkdtemp(folder) == NULL) {
        fprintf(stderr, "no record or no temporary folder\n");
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_alarm);
    signal(SIGTERM, on_alarm);
    signal(SIGINT, on_alarm);
    alarm(CASE_SECONDS_MAX);
}

void
Lab_End(void)
{
    char command[LAB_TEXT_SIZE * 2];

    for (int i = 0; i < process_count; i++) {
        Lab_Stop(processes[i], SIGKILL);
    }
    snprintf(command, sizeof(command), "rm -r '%s'", folder);
    if (getenv("LAB_KEEP") == NULL && system(command) != 0) {
        fprintf(stderr, "the temporary folder stays: %s\n", folder);
    }
}

_Noreturn void
Lab_GiveUp(const char *reason)
{
    Lab_Record("could not run: %s", reason);
    fprintf(stderr, "could not run: %s\n", reason);
    Lab_End();
    exit(2);
}

void
Lab_TakeAddress(const char *host, char address[LAB_ADDRESS_SIZE])
{
    struct sockaddr_in local = {.sin_family = AF_INET};
    socklen_t size = sizeof(local);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    inet_pton(AF_INET, host, &local.sin_addr);
    if (bind(fd, (struct sockaddr *)&local, size) != 0 ||
        getsockname(fd, (struct sockaddr *)&local, &size) != 0) {
        Lab_GiveUp("no free port");
    }
    snprintf(address, LAB_ADDRESS_SIZE, "%s:%d", host, ntohs(local.sin_port));
    close(fd);
}

/* ---- processes ----------------------------------------------------------- */

static void
start(LabProcess *process, char *const arguments[])
{
    char log_path[LAB_TEXT_SIZE * 3];
    int log_fd;

    snprintf(log_path, sizeof(log_path), "%s/%s.log", folder, process->name);
    process->pid = fork();
    if (process->pid < 0) {
        Lab_GiveUp("no process");
    }
    if (process->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        log_fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log_fd, STDOUT_FILENO);
        dup2(log_fd, STDERR_FILENO);
        setenv("KINGCUPCRANK_BOOT", process->settings_path, 1);
        execv(arguments[0], arguments);
        _exit(127);
    }
    for (int i = 0; i < process_count; i++) {
        if (processes[i] == process) {
            return;
        }
    }
    processes[process_count++] = process;
}

void
Lab_Restart(LabProcess *process)
{
    char *arguments[] = {"target/kccd", "--platform", NULL};

    start(process, arguments);
    Lab_Record("start %s pid=%d", process->name, (int)process->pid);
}

void
Lab_StartDaemon(LabProcess *process, const char *name, const char *settings)
{
    FILE *file;

    snprintf(process->name, sizeof(process->name), "%s", name);
    snprintf(process->settings_path, sizeof(process->settings_path),
             "%.200s/%.100s.ini", folder, name);
    file = fopen(process->settings_path, "w");
    if (file == NULL || fputs(settings, file) < 0 || fclose(file) != 0) {
        Lab_GiveUp("no settings file");
    }
    if (access("target/kccd", X_OK) != 0) {
        Lab_GiveUp("target/kccd is not built");
    }
    Lab_Restart(process);
}

void
Lab_Stop(LabProcess *process, int signal_number)
{
    if (process->pid <= 0) {
        return;
    }
    Lab_Record("signal %d to %s pid=%d", signal_number, process->name,
               (int)process->pid);
    kill(process->pid, signal_number);
    waitpid(process->pid, NULL, 0);
    process->pid = 0;
}

/* ---- workers ------------------------------------------------------------- */

void
Worker_Start(LabWorker *worker, const char *store_address)
{
    char adapter_count[16];
    char repeat_interval[16];
    char *arguments[] = {"/proc/self/exe",
                         "worker",
                         worker->id,
                         worker->service,
                         worker->address,
                         worker->record_address,
                         (char *)store_address,
                         worker->has_model ? "1" : "0",
                         adapter_count,
                         worker->adapter_prefix,
                         repeat_interval,
                         NULL};

    snprintf(adapter_count, sizeof(adapter_count), "%d",
             worker->adapter_count);
    snprintf(repeat_interval, sizeof(repeat_interval), "%d",
             worker->repeat_interval);
    snprintf(worker->process.name, sizeof(worker->process.name), "worker-%s",
             worker->id);
    start(&worker->process, arguments);
    Lab_Record("start worker %s pid=%d", worker->id, (int)worker->process.pid);
}

/* ---- the proxy ----------------------------------------------------------- */

static char proxy_target[LAB_ADDRESS_SIZE];
static pthread_mutex_t proxy_mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t proxy_released = PTHREAD_COND_INITIALIZER;
static bool proxy_is_held;

typedef struct Pump {
    int from;
    int to;
} Pump;

static void
await_release(void)
{
    pthread_mutex_lock(&proxy_mutex);
    while (proxy_is_held) {
        pthread_cond_wait(&proxy_released, &proxy_mutex);
    }
    pthread_mutex_unlock(&proxy_mutex);
}

static void *
run_pump(void *context)
{
    Pump pump = *(Pump *)context;
    char bytes[16384];
    ssize_t size;

    free(context);
    do {
        size = recv(pump.from, bytes, sizeof(bytes), 0);
        await_release();
    } while (size > 0 && Net_SendAll(pump.to, bytes, (size_t)size));
    if (size < 0) {
        Net_ResetOnClose(pump.to);
        shutdown(pump.to, SHUT_RDWR);
        return NULL;
    }
    shutdown(pump.to, SHUT_WR);
    return NULL;
}

static void
start_pump(int from, int to)
{
    Pump *pump = malloc(sizeof(*pump));

    *pump = (Pump){from, to};
    Net_StartThread(run_pump, pump);
}

/* Descriptors stay open until the case ends, as both pumps use them. */
static void
serve_proxy(int fd)
{
    int upstream;

    await_release();
    upstream = Net_Connect(proxy_target);
    if (upstream < 0) {
        Net_ResetOnClose(fd);
        close(fd);
        return;
    }
    start_pump(fd, upstream);
    start_pump(upstream, fd);
}

void
Proxy_Start(const char *target, char address[LAB_ADDRESS_SIZE])
{
    snprintf(proxy_target, sizeof(proxy_target), "%s", target);
    Lab_TakeAddress("127.0.0.1", address);
    Net_Serve(address, serve_proxy);
}

void
Proxy_Hold(bool is_held)
{
    Lab_Record("%s between gateway and worker",
               is_held ? "cut" : "end of the cut");
    pthread_mutex_lock(&proxy_mutex);
    proxy_is_held = is_held;
    pthread_cond_broadcast(&proxy_released);
    pthread_mutex_unlock(&proxy_mutex);
}

/* ---- clients ------------------------------------------------------------- */

/* Joins the chunks of a body. Returns whether the last one is there. */
static bool
join_chunks(char *body, size_t *size)
{
    char *from = body;
    char *to = body;
    char *end = body + *size;

    while (from < end) {
        char *line_end = memchr(from, '\n', (size_t)(end - from));
        size_t length = strtoul(from, NULL, 16);

        if (line_end == NULL) {
            break;
        }
        if (length == 0) {
            *size = (size_t)(to - body);
            return true;
        }
        from = line_end + 1;
        length = length < (size_t)(end - from) ? length : (size_t)(end - from);
        memmove(to, from, length);
        to += length;
        from += length + 2;
    }
    *size = (size_t)(to - body);
    return false;
}

static void
parse_answer(char *text, size_t size, LabAnswer *answer)
{
    char *end = strstr(text, "\r\n\r\n");
    char value[64];

    if (end == NULL || strncmp(text, "HTTP/1.1 ", 9) != 0) {
        return;
    }
    answer->status = atoi(text + 9);
    answer->has_seal = Net_FindHeader(text, "Server-Seal", value, 64);
    answer->body_size = size - (size_t)(end + 4 - text);
    if (answer->body_size > sizeof(answer->body)) {
        answer->body_size = sizeof(answer->body);
    }
    memcpy(answer->body, end + 4, answer->body_size);
    if (Net_FindHeader(text, "Content-Length", value, 64)) {
        answer->is_complete = answer->body_size == strtoul(value, NULL, 10);
    }
    else if (Net_FindHeader(text, "Transfer-Encoding", value, 64)) {
        answer->is_complete = join_chunks(answer->body, &answer->body_size);
    }
}

void
Client_Call(const char *address, const char *method, const char *path,
            const char *attempt_id, const char *lines, LabAnswer *answer)
{
    char request[1024];
    char text[16384];
    size_t size = 0;
    ssize_t received;
    int fd = Net_Connect(address);
    int length = snprintf(request, sizeof(request),
                          "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
                          "Attempt-Id: %s\r\nConnection: close\r\n%s\r\n",
                          method, path, attempt_id, lines);

    memset(answer, 0, sizeof(*answer));
    Lab_Record("client sends %s %s %s", method, path, attempt_id);
    if (fd < 0) {
        Lab_Record("client %s: no connection", attempt_id);
        return;
    }
    Net_SendAll(fd, request, (size_t)length);
    while (size < sizeof(text) - 1 &&
           (received = recv(fd, text + size, sizeof(text) - 1 - size, 0)) >
               0) {
        size += (size_t)received;
    }
    close(fd);
    text[size] = '\0';
    parse_answer(text, size, answer);
    Lab_Record("client gets %s status=%d seal=%d complete=%d body_bytes=%zu",
               attempt_id, answer->status, (int)answer->has_seal,
               (int)answer->is_complete, answer->body_size);
}
