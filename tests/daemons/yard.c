/*
 * Gateways, keepers and the platform's stand-ins as real processes.
 */
#include "yard.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORT YARD_PORT
#define READY_PORT 9101
#define ADMIN_PORT 9102
#define TEXT 128
#define HOST 64
#define PER_ROLE 64
#define READY_WAIT 10000 /* ms */

typedef struct Process {
    pid_t pid;
    char address[TEXT];
    char settings[TEXT];
} Process;

struct Yard {
    YardOptions options;
    char folder[TEXT];
    Process processes[YARD_ROLE_COUNT][PER_ROLE];
};

static Process *
process_of(const Yard *yard, YardRole role, int number)
{
    return (Process *)&yard->processes[role][number];
}

const char *
Yard_Folder(const Yard *yard)
{
    return yard->folder;
}

const char *
Yard_Address(const Yard *yard, YardRole role, int number)
{
    return process_of(yard, role, number)->address;
}

pid_t
Yard_Pid(const Yard *yard, YardRole role, int number)
{
    return process_of(yard, role, number)->pid;
}

static const char *
build_folder(void)
{
    const char *folder = getenv("BUILD");

    return folder != NULL ? folder : "build/plain";
}

static void
pause_ms(int milliseconds)
{
    struct timespec time = {milliseconds / 1000,
                            (milliseconds % 1000) * 1000000L};

    nanosleep(&time, NULL);
}

/* ---- exchanges ----------------------------------------------------------- */

int
Yard_Connect(const char *address)
{
    char host[HOST];
    struct sockaddr_in to = {.sin_family = AF_INET};
    const char *colon = strrchr(address, ':');
    int fd;

    snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
    inet_pton(AF_INET, host, &to.sin_addr);
    to.sin_port = htons((uint16_t)atoi(colon + 1));
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
write_all(int fd, const char *bytes, size_t size)
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

/* Is an answer with a Content-Length, and only that, whole? */
static bool
is_whole(const char *answer)
{
    const char *end = strstr(answer, "\r\n\r\n");
    const char *length = strstr(answer, "Content-Length: ");

    return end != NULL && length != NULL && length < end &&
           strlen(end + 4) >= strtoul(length + 16, NULL, 10);
}

int
Yard_Exchange(const char *address, const char *bytes, size_t size,
              char *answer, size_t room, int milliseconds)
{
    int fd = Yard_Connect(address);
    size_t used = 0;
    struct pollfd wait = {.fd = fd, .events = POLLIN};
    bool until_close;

    answer[0] = '\0';
    if (fd < 0) {
        return -1;
    }
    write_all(fd, bytes, size);
    until_close = memmem(bytes, size, "Connection: close", 17) != NULL;
    while (used + 1 < room && poll(&wait, 1, milliseconds) > 0) {
        ssize_t got = recv(fd, answer + used, room - used - 1, 0);

        if (got <= 0) {
            break;
        }
        used += (size_t)got;
        answer[used] = '\0';
        if (!until_close && is_whole(answer)) {
            break;
        }
    }
    close(fd);
    return (int)used;
}

static int
call(const char *address, const char *method, const char *path,
     const char *body, char *answer, size_t room)
{
    char request[8192];
    int size = snprintf(request, sizeof(request),
                        "%s %s HTTP/1.1\r\nHost: s\r\nX-Standin: 1\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, path, strlen(body), body);

    Yard_Exchange(address, request, (size_t)size, answer, room, 2000);
    return strlen(answer) > 12 ? atoi(answer + 9) : 0;
}

void
Yard_Set(Yard *yard, YardRole role, int number, const char *knob)
{
    char path[TEXT];
    char answer[512];

    snprintf(path, sizeof(path), "/standin/set?%s", knob);
    call(Yard_Address(yard, role, number), "POST", path, "", answer,
         sizeof(answer));
}

json_t *
Yard_State(Yard *yard, YardRole role, int number)
{
    static char answer[4 * 1024 * 1024];
    const char *body;

    call(Yard_Address(yard, role, number), "GET", "/standin/state", "", answer,
         sizeof(answer));
    body = strstr(answer, "\r\n\r\n");
    return body != NULL ? json_loads(body + 4, 0, NULL) : NULL;
}

/* Creates an object, or replaces it. */
static void
write_object(Yard *yard, const char *kind, const char *name, json_t *spec)
{
    json_t *object =
        json_pack("{s:{s:s}, s:o}", "meta", "name", name, "spec", spec);
    char *text = json_dumps(object, JSON_COMPACT);
    char path[TEXT];
    char answer[8192];

    snprintf(path, sizeof(path), "/objects/%s/%s", kind, name);
    if (call(Yard_Address(yard, YARD_STORE, 0), "PUT", path, text, answer,
             sizeof(answer)) == 404) {
        snprintf(path, sizeof(path), "/objects/%s", kind);
        call(Yard_Address(yard, YARD_STORE, 0), "POST", path, text, answer,
             sizeof(answer));
    }
    free(text);
    json_decref(object);
}

static json_t *
route(const char *prefix, const char *kind, const char *service, int attempts,
      bool resumable)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b}",
                     "name", prefix, "host", "h", "path_prefix", prefix,
                     "kind", kind, "timeout_ms", 4000, "goal_ms", 1000,
                     "priority", 1, "service", service, "max_attempts",
                     attempts, "sticky", 0, "resumable", (int)resumable);
}

void
Yard_Configure(Yard *yard, int version, bool extra)
{
    json_t *routes =
        json_pack("[o, o, o, o]", route("/safe/", "safe", "plain", 2, false),
                  route("/unsafe/", "unsafe", "plain", 1, false),
                  route("/stream/", "streaming", "llm", 1, false),
                  route("/resume/", "streaming", "llm", 2, true));
    json_t *services = json_pack(
        "[{s:s, s:s, s:i, s:{s:i, s:i, s:i, s:i, s:[{s:s, s:i, s:i}]}}, "
        "{s:s, s:s, s:i}]",
        "name", "llm", "health_path", "/health", "conn_limit", 100, "engine",
        "slots", 8, "kv_capacity", 100000, "adapter_slots", 15, "mb", 1000,
        "models", "name", "m", "mb", 100, "adapter_mb", 1, "name", "plain",
        "health_path", "/health", "conn_limit", 100);

    if (extra) {
        json_array_append_new(routes,
                              route("/extra/", "safe", "plain", 2, false));
    }
    write_object(yard, "config", "main",
                 json_pack("{s:i, s:o, s:o, s:{s:i, s:i, s:i, s:i}}",
                           "version", version, "routes", routes, "services",
                           services, "limits", "max_header_bytes", 4096,
                           "max_body_bytes", 65536, "header_timeout_ms", 1000,
                           "idle_timeout_ms", 3000));
}

void
Yard_Announce(Yard *yard, const char *adapter, int version)
{
    char name[TEXT];

    snprintf(name, sizeof(name), "m.%s", adapter);
    write_object(yard, "versions", name,
                 json_pack("{s:s, s:s, s:i}", "model", "m", "adapter", adapter,
                           "version", version));
}

/* ---- processes ----------------------------------------------------------- */

static void
spawn(Yard *yard, YardRole role, int number, const char *const *words)
{
    Process *process = process_of(yard, role, number);
    char log[TEXT * 2];
    char program[TEXT * 2];

    snprintf(program, sizeof(program), "%s/%s", build_folder(), words[0]);
    snprintf(log, sizeof(log), "%s/%d-%d.log", yard->folder, (int)role,
             number);
    process->pid = fork();
    if (process->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

        /* No process outlives the test that started it. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execv(program, (char *const *)words);
        _exit(127);
    }
}

static void
host_of(const Yard *yard, YardRole role, int number, char host[HOST])
{
    /* A keeper stands on the machine of its worker. */
    snprintf(host, HOST, "127.%d.%d.%d", yard->options.network,
             role == YARD_KEEPER ? YARD_LLM : role, number + 1);
}

static void
store_address(const Yard *yard, char address[TEXT])
{
    char host[HOST];

    host_of(yard, YARD_STORE, 0, host);
    snprintf(address, TEXT, "%s:%d", host,
             yard->options.proxies ? YARD_PROXY_PORT : PORT);
}

static const char *
zone_of(int number)
{
    return number % 2 == 0 ? "a" : "b";
}

static void
write_settings(Yard *yard, YardRole role, int number)
{
    Process *process = process_of(yard, role, number);
    bool gateway = role == YARD_GATEWAY;
    char host[HOST];
    char store[HOST * 2];
    FILE *file;

    host_of(yard, role, number, host);
    store_address(yard, store);
    snprintf(process->settings, sizeof(process->settings), "%.80s/%d-%d.ini",
             yard->folder, (int)role, number);
    file = fopen(process->settings, "w");
    fprintf(file,
            "[process]\nrole = %s\nname = %s-%d\ndatacentre = %s\n"
            "grace_s = 5\n[platform]\nobjects = %s\nwatch_ms = 1500\n"
            "[regions]\na = north\nb = north\n[listen]\nadmin = %s:%d\n",
            gateway ? "gateway" : "keeper", gateway ? "gateway" : "keeper",
            number, zone_of(number), store, host, ADMIN_PORT);
    if (gateway) {
        fprintf(file,
                "callers = %s:%d\nready = %s:%d\nready_path = /ready\n"
                "[keeper]\nport = %d\n[retry]\nshare = 0.2\nburst = 20\n",
                host, PORT, host, READY_PORT, YARD_KEEPER_PORT);
    }
    else {
        fprintf(file,
                "links = %s:%d\n[backend]\naddress = %s:%d\n"
                "service = llm\n",
                host, YARD_KEEPER_PORT, host, PORT);
    }
    fclose(file);
}

static void
start_standin(Yard *yard, YardRole role, int number)
{
    Process *process = process_of(yard, role, number);
    char store[HOST * 2];
    char seed[TEXT];
    char id[TEXT];
    char told[TEXT];
    char host[HOST];
    const char *words[] = {"standin-worker",
                           process->address,
                           store,
                           id,
                           role == YARD_LLM ? "llm" : "plain",
                           zone_of(number),
                           role == YARD_LLM ? "llm" : "plain",
                           seed,
                           told,
                           NULL};
    const char *store_words[] = {"standin-store", process->address, seed,
                                 NULL};

    host_of(yard, YARD_STORE, 0, host);
    snprintf(store, sizeof(store), "%s:%d", host, PORT);
    host_of(yard, role, number, host);
    snprintf(told, sizeof(told), "%s:%d", host,
             yard->options.proxies ? YARD_PROXY_PORT : PORT);
    snprintf(seed, sizeof(seed), "%llu",
             (unsigned long long)yard->options.seed + (uint64_t)number);
    snprintf(id, sizeof(id), "%s-%d", role == YARD_LLM ? "llm" : "plain",
             number);
    spawn(yard, role, number, role == YARD_STORE ? store_words : words);
}

static void
start(Yard *yard, YardRole role, int number)
{
    Process *process = process_of(yard, role, number);
    char host[HOST];

    host_of(yard, role, number, host);
    snprintf(process->address, sizeof(process->address), "%s:%d", host, PORT);
    if (role == YARD_GATEWAY || role == YARD_KEEPER) {
        const char *words[] = {"kccd", process->settings, NULL};

        write_settings(yard, role, number);
        spawn(yard, role, number, words);
    }
    else {
        start_standin(yard, role, number);
    }
}

void
Yard_Signal(Yard *yard, YardRole role, int number, int signal)
{
    pid_t pid = Yard_Pid(yard, role, number);

    if (pid > 0) {
        kill(pid, signal);
    }
}

int
Yard_Wait(Yard *yard, YardRole role, int number)
{
    Process *process = process_of(yard, role, number);
    int status = 0;

    if (process->pid <= 0) {
        return -1;
    }
    waitpid(process->pid, &status, 0);
    process->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void
Yard_Restart(Yard *yard, YardRole role, int number)
{
    start(yard, role, number);
}

bool
Yard_AwaitReady(Yard *yard, int number)
{
    char address[TEXT];
    char host[HOST];
    char answer[512];

    host_of(yard, YARD_GATEWAY, number, host);
    snprintf(address, sizeof(address), "%s:%d", host, READY_PORT);
    for (int i = 0; i < READY_WAIT / 50; i++) {
        if (call(address, "GET", "/ready", "", answer, sizeof(answer)) ==
            200) {
            return true;
        }
        pause_ms(50);
    }
    return false;
}

static void
await_store(Yard *yard)
{
    char answer[512];

    for (int i = 0; i < READY_WAIT / 20; i++) {
        if (call(Yard_Address(yard, YARD_STORE, 0), "GET", "/standin/state",
                 "", answer, sizeof(answer)) == 200) {
            return;
        }
        pause_ms(20);
    }
}

Yard *
Yard_Start(const YardOptions *options)
{
    static const YardRole order[] = {YARD_LLM, YARD_PLAIN, YARD_KEEPER,
                                     YARD_GATEWAY};
    Yard *yard = calloc(1, sizeof(*yard));
    const int counts[YARD_ROLE_COUNT] = {[YARD_LLM] = options->llm,
                                         [YARD_KEEPER] = options->llm,
                                         [YARD_PLAIN] = options->plain,
                                         [YARD_GATEWAY] = options->gateways};

    signal(SIGPIPE, SIG_IGN);
    yard->options = *options;
    snprintf(yard->folder, sizeof(yard->folder), "/tmp/kcc-yard-XXXXXX");
    if (mkdtemp(yard->folder) == NULL) {
        perror("mkdtemp");
        exit(1);
    }
    start(yard, YARD_STORE, 0);
    await_store(yard);
    Yard_Configure(yard, 1, false);
    for (size_t i = 0; i < sizeof(order) / sizeof(order[0]); i++) {
        for (int number = 0; number < counts[order[i]]; number++) {
            start(yard, order[i], number);
        }
    }
    for (int number = 0; !options->proxies && number < options->gateways;
         number++) {
        if (!Yard_AwaitReady(yard, number)) {
            fprintf(stderr, "gateway %d is not ready, see %s\n", number,
                    yard->folder);
        }
    }
    return yard;
}

void
Yard_Stop(Yard *yard)
{
    char command[TEXT * 2];

    for (int role = YARD_ROLE_COUNT - 1; role >= 0; role--) {
        for (int number = 0; number < PER_ROLE; number++) {
            Process *process = process_of(yard, (YardRole)role, number);

            if (process->pid > 0) {
                kill(process->pid, SIGKILL);
                waitpid(process->pid, NULL, 0);
            }
            if (process->settings[0] != '\0') {
                unlink(process->settings);
            }
            snprintf(command, sizeof(command), "%s/%d-%d.log", yard->folder,
                     role, number);
            unlink(command);
        }
    }
    rmdir(yard->folder);
    free(yard);
}
