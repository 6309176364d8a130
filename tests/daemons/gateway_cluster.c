/*
 * Starts, signals and ends the processes of a gateway cluster, writes their
 * settings, and exchanges HTTP messages with them.
 */
#include "gateway_cluster.h"

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

#define READY_PORT 9101 /* of a gateway's readiness probe */
#define TEXT_SIZE 128
#define HOST_SIZE 64
#define PROCESSES_PER_ROLE_MAX 64
#define READY_TIMEOUT_MS 10000
#define PAGE_TIMEOUT_MS 3000

typedef struct Process {
    pid_t pid;                                  /* 0 when it does not run */
    char address[GATEWAY_CLUSTER_ADDRESS_SIZE]; /* of HTTP */
    char settings_path[TEXT_SIZE];              /* "" for stand-ins */
} Process;

struct GatewayCluster {
    GatewayClusterOptions options;
    char directory[TEXT_SIZE];
    const char *customers; /* see GatewayCluster_SetCustomers() */
    Process processes[GATEWAY_CLUSTER_ROLE_COUNT][PROCESSES_PER_ROLE_MAX];
};

static Process *
get_process(const GatewayCluster *cluster, GatewayClusterRole role, int number)
{
    return (Process *)&cluster->processes[role][number];
}

const char *
GatewayCluster_GetDirectory(const GatewayCluster *cluster)
{
    return cluster->directory;
}

static void
format_log_path(const GatewayCluster *cluster, GatewayClusterRole role,
                int number, char path[TEXT_SIZE * 2])
{
    snprintf(path, TEXT_SIZE * 2, "%s/%d-%d.log", cluster->directory,
             (int)role, number);
}

char *
GatewayCluster_ReadLog(const GatewayCluster *cluster, GatewayClusterRole role,
                       int number)
{
    char path[TEXT_SIZE * 2];
    char *text = NULL;
    size_t size = 0;
    FILE *file;

    format_log_path(cluster, role, number, path);
    file = fopen(path, "r");
    if (file == NULL) {
        return NULL;
    }
    /* A log holds no NUL, so that this reads all of it. */
    if (getdelim(&text, &size, '\0', file) < 0) {
        free(text);
        text = strdup("");
    }
    fclose(file);
    return text;
}

const char *
GatewayCluster_GetAddress(const GatewayCluster *cluster,
                          GatewayClusterRole role, int number)
{
    return get_process(cluster, role, number)->address;
}

pid_t
GatewayCluster_GetPid(const GatewayCluster *cluster, GatewayClusterRole role,
                      int number)
{
    return get_process(cluster, role, number)->pid;
}

static const char *
get_build_directory(void)
{
    const char *directory = getenv("BUILD");

    return directory != NULL ? directory : "build/plain";
}

static void
sleep_ms(int duration_ms)
{
    struct timespec duration = {duration_ms / 1000,
                                (duration_ms % 1000) * 1000000L};

    nanosleep(&duration, NULL);
}

/* ---- addresses ------------------------------------------------------------ */

static void
format_host(const GatewayCluster *cluster, GatewayClusterRole role, int number,
            char host[HOST_SIZE])
{
    /* A keeper runs on the machine of its worker. */
    snprintf(host, HOST_SIZE, "127.%d.%d.%d", cluster->options.network_octet,
             role == GATEWAY_CLUSTER_KEEPER ? GATEWAY_CLUSTER_LLM_WORKER
                                            : role,
             number + 1);
}

void
GatewayCluster_FormatAddress(const GatewayCluster *cluster,
                             GatewayClusterRole role, int number, int port,
                             char address[GATEWAY_CLUSTER_ADDRESS_SIZE])
{
    char host[HOST_SIZE];

    format_host(cluster, role, number, host);
    snprintf(address, GATEWAY_CLUSTER_ADDRESS_SIZE, "%s:%d", host, port);
}

/* ---- HTTP exchanges ------------------------------------------------------ */

int
GatewayCluster_Connect(const char *address)
{
    char host[HOST_SIZE];
    struct sockaddr_in target = {.sin_family = AF_INET};
    const char *colon = strrchr(address, ':');
    int fd;

    snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
    inet_pton(AF_INET, host, &target.sin_addr);
    target.sin_port = htons((uint16_t)atoi(colon + 1));
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&target, sizeof(target)) != 0) {
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

/* True when an answer has a Content-Length and a body of that length.  False
 * for an answer in chunks. */
static bool
is_answer_complete(const char *answer)
{
    const char *end = strstr(answer, "\r\n\r\n");
    const char *length = strstr(answer, "Content-Length: ");

    return end != NULL && length != NULL && length < end &&
           strlen(end + 4) >= strtoul(length + 16, NULL, 10);
}

int
GatewayCluster_Exchange(const char *address, const char *bytes, size_t size,
                        char *answer, size_t answer_size, int timeout_ms)
{
    int fd = GatewayCluster_Connect(address);
    size_t answer_length = 0;
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    bool reads_until_close;

    answer[0] = '\0';
    if (fd < 0) {
        return -1;
    }
    write_all(fd, bytes, size);
    reads_until_close = memmem(bytes, size, "Connection: close", 17) != NULL;
    while (answer_length + 1 < answer_size &&
           poll(&poll_fd, 1, timeout_ms) > 0) {
        ssize_t received = recv(fd, answer + answer_length,
                                answer_size - answer_length - 1, 0);

        if (received <= 0) {
            break;
        }
        answer_length += (size_t)received;
        answer[answer_length] = '\0';
        if (!reads_until_close && is_answer_complete(answer)) {
            break;
        }
    }
    close(fd);
    return (int)answer_length;
}

int
GatewayCluster_ReadStatus(const char *answer)
{
    return strlen(answer) > 12 ? atoi(answer + 9) : 0;
}

int
GatewayCluster_ReadPage(const GatewayCluster *cluster, GatewayClusterRole role,
                        int number, const char *path, const char *headers,
                        char *page, size_t page_size)
{
    char address[GATEWAY_CLUSTER_ADDRESS_SIZE];
    char request[8192];
    int size = snprintf(request, sizeof(request),
                        "GET %s HTTP/1.1\r\nHost: a\r\n%s"
                        "Connection: close\r\n\r\n",
                        path, headers);

    GatewayCluster_FormatAddress(cluster, role, number,
                                 GATEWAY_CLUSTER_ADMIN_PORT, address);
    GatewayCluster_Exchange(address, request, (size_t)size, page, page_size,
                            PAGE_TIMEOUT_MS);
    return GatewayCluster_ReadStatus(page);
}

/* Sends a request; returns the status of the answer, 0 when none came in
 * 2 s. */
static int
call_http(const char *address, const char *method, const char *path,
          const char *body, char *answer, size_t answer_size)
{
    char request[8192];
    int size = snprintf(request, sizeof(request),
                        "%s %s HTTP/1.1\r\nHost: s\r\nX-Standin: 1\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, path, strlen(body), body);

    GatewayCluster_Exchange(address, request, (size_t)size, answer,
                            answer_size, 2000);
    return GatewayCluster_ReadStatus(answer);
}

void
GatewayCluster_SetKnob(GatewayCluster *cluster, GatewayClusterRole role,
                       int number, const char *knob)
{
    char path[TEXT_SIZE];
    char answer[512];

    snprintf(path, sizeof(path), "/standin/set?%s", knob);
    call_http(GatewayCluster_GetAddress(cluster, role, number), "POST", path,
              "", answer, sizeof(answer));
}

json_t *
GatewayCluster_ReadState(GatewayCluster *cluster, GatewayClusterRole role,
                         int number)
{
    static char answer[4 * 1024 * 1024];
    const char *body;

    call_http(GatewayCluster_GetAddress(cluster, role, number), "GET",
              "/standin/state", "", answer, sizeof(answer));
    body = strstr(answer, "\r\n\r\n");
    return body != NULL ? json_loads(body + 4, 0, NULL) : NULL;
}

/* Replaces an object in the store, or creates it.  Takes the reference to
 * spec. */
static void
write_object(GatewayCluster *cluster, const char *collection, const char *name,
             json_t *spec)
{
    json_t *object =
        json_pack("{s:{s:s}, s:o}", "meta", "name", name, "spec", spec);
    char *text = json_dumps(object, JSON_COMPACT);
    char path[TEXT_SIZE];
    char answer[8192];

    snprintf(path, sizeof(path), "/objects/%s/%s", collection, name);
    if (call_http(GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_STORE, 0),
                  "PUT", path, text, answer, sizeof(answer)) == 404) {
        snprintf(path, sizeof(path), "/objects/%s", collection);
        call_http(GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_STORE, 0),
                  "POST", path, text, answer, sizeof(answer));
    }
    free(text);
    json_decref(object);
}

static json_t *
make_route(const char *prefix, const char *kind, const char *service,
           int attempts_max, bool is_resumable)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b}",
                     "name", prefix, "host", "h", "path_prefix", prefix,
                     "kind", kind, "timeout_ms", 4000, "goal_ms", 1000,
                     "priority", 1, "service", service, "max_attempts",
                     attempts_max, "sticky", 0, "resumable",
                     (int)is_resumable);
}

const GatewayClusterLimits GatewayCluster_UsualLimits = {
    .body_bytes_max = 65536,
    .header_timeout_ms = 1000,
    .idle_timeout_ms = 3000};

void
GatewayCluster_SetCustomers(GatewayCluster *cluster, const char *customers)
{
    cluster->customers = customers;
}

/* Adds the customers, and the route that needs no key. */
static void
add_customers(const GatewayCluster *cluster, json_t *config)
{
    json_t *route = make_route("/open/", "safe", "plain", 2, false);

    json_object_set_new(route, "keyless", json_true());
    json_array_append_new(json_object_get(config, "routes"), route);
    json_object_set_new(config, "tenants",
                        json_loads(cluster->customers, 0, NULL));
}

void
GatewayCluster_WriteConfig(GatewayCluster *cluster, int version,
                           bool has_extra_route)
{
    GatewayCluster_WriteLimits(cluster, version, has_extra_route,
                               &GatewayCluster_UsualLimits);
}

void
GatewayCluster_WriteLimits(GatewayCluster *cluster, int version,
                           bool has_extra_route,
                           const GatewayClusterLimits *limits)
{
    int unsafe_attempts_max = cluster->options.unsafe_attempts_max > 0
                                  ? cluster->options.unsafe_attempts_max
                                  : 1;
    json_t *routes = json_pack(
        "[o, o, o, o]", make_route("/safe/", "safe", "plain", 2, false),
        make_route("/unsafe/", "unsafe", "plain", unsafe_attempts_max, false),
        make_route("/stream/", "streaming", "llm", unsafe_attempts_max, false),
        make_route("/resume/", "streaming", "llm", 2, true));
    json_t *services = json_pack(
        "[{s:s, s:s, s:i, s:{s:i, s:i, s:i, s:i, s:[{s:s, s:i, s:i}]}}, "
        "{s:s, s:s, s:i}]",
        "name", "llm", "health_path", "/health", "conn_limit", 100, "engine",
        "slots", 8, "kv_capacity", 100000, "adapter_slots", 15, "mb", 1000,
        "models", "name", "m", "mb", 100, "adapter_mb", 1, "name", "plain",
        "health_path", "/health", "conn_limit", 100);
    json_t *config;

    if (has_extra_route) {
        json_array_append_new(
            routes, make_route("/extra/", "safe", "plain", 2, false));
    }
    config = json_pack(
        "{s:i, s:o, s:o, s:{s:i, s:i, s:i, s:i}}", "version", version,
        "routes", routes, "services", services, "limits", "max_header_bytes",
        4096, "max_body_bytes", limits->body_bytes_max, "header_timeout_ms",
        limits->header_timeout_ms, "idle_timeout_ms", limits->idle_timeout_ms);
    if (cluster->customers != NULL) {
        add_customers(cluster, config);
    }
    write_object(cluster, "config", "main", config);
}

void
GatewayCluster_AnnounceVersion(GatewayCluster *cluster, const char *adapter,
                               int version)
{
    char name[TEXT_SIZE];

    snprintf(name, sizeof(name), "m.%s", adapter);
    write_object(cluster, "versions", name,
                 json_pack("{s:s, s:s, s:i}", "model", "m", "adapter", adapter,
                           "version", version));
}

void
GatewayCluster_WriteRawObject(GatewayCluster *cluster, const char *collection,
                              const char *name, const char *value)
{
    char path[TEXT_SIZE];
    char answer[512];

    snprintf(path, sizeof(path), "/raw/%s/%s", collection, name);
    call_http(GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_STORE, 0),
              "PUT", path, value, answer, sizeof(answer));
}

static void
call_store(GatewayCluster *cluster, const char *method, const char *path)
{
    char answer[512];

    call_http(GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_STORE, 0),
              method, path, "", answer, sizeof(answer));
}

void
GatewayCluster_DeleteObject(GatewayCluster *cluster, const char *collection,
                            const char *name)
{
    char path[TEXT_SIZE];

    snprintf(path, sizeof(path), "/objects/%s/%s", collection, name);
    call_store(cluster, "DELETE", path);
}

void
GatewayCluster_CopyStore(GatewayCluster *cluster)
{
    call_store(cluster, "PUT", "/copy");
}

void
GatewayCluster_RestoreStore(GatewayCluster *cluster, int away_ms)
{
    char path[TEXT_SIZE];

    snprintf(path, sizeof(path), "/restore?away_ms=%d", away_ms);
    call_store(cluster, "PUT", path);
}

/* ---- processes ----------------------------------------------------------- */

void
GatewayCluster_CloseInherited(void)
{
    close_range(STDERR_FILENO + 1, ~0U, 0);
}

static void
spawn_process(GatewayCluster *cluster, GatewayClusterRole role, int number,
              const char *const *arguments)
{
    Process *process = get_process(cluster, role, number);
    char log_path[TEXT_SIZE * 2];
    char program[TEXT_SIZE * 2];
    pid_t test = getpid();

    snprintf(program, sizeof(program), "%s/%s", get_build_directory(),
             arguments[0]);
    format_log_path(cluster, role, number, log_path);
    process->pid = fork();
    if (process->pid == 0) {
        int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

        /* Ends with the test, also when the test crashes. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != test) {
            _exit(127); /* it has crashed already */
        }
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        GatewayCluster_CloseInherited();
        execv(program, (char *const *)arguments);
        _exit(127);
    }
}

static void
format_store_address(const GatewayCluster *cluster,
                     char address[GATEWAY_CLUSTER_ADDRESS_SIZE])
{
    GatewayCluster_FormatAddress(cluster, GATEWAY_CLUSTER_STORE, 0,
                                 cluster->options.has_proxies
                                     ? GATEWAY_CLUSTER_PROXY_PORT
                                     : GATEWAY_CLUSTER_HTTP_PORT,
                                 address);
}

/* Machines alternate between two zones of one region. */
static const char *
get_zone(int number)
{
    return number % 2 == 0 ? "a" : "b";
}

static void
write_settings_file(GatewayCluster *cluster, GatewayClusterRole role,
                    int number)
{
    Process *process = get_process(cluster, role, number);
    bool is_gateway = role == GATEWAY_CLUSTER_GATEWAY;
    char host[HOST_SIZE];
    char store_address[GATEWAY_CLUSTER_ADDRESS_SIZE];
    FILE *file;

    format_host(cluster, role, number, host);
    format_store_address(cluster, store_address);
    snprintf(process->settings_path, sizeof(process->settings_path),
             "%.80s/%d-%d.ini", cluster->directory, (int)role, number);
    file = fopen(process->settings_path, "w");
    fprintf(file,
            "[process]\nrole = %s\nname = %s-%d\ndatacentre = %s\n"
            "grace_s = 5\n[platform]\nobjects = %s\nwatch_ms = 1500\n"
            "[regions]\na = north\nb = north\n[listen]\nadmin = %s:%d\n",
            is_gateway ? "gateway" : "keeper",
            is_gateway ? "gateway" : "keeper", number, get_zone(number),
            store_address, host, GATEWAY_CLUSTER_ADMIN_PORT);
    if (is_gateway) {
        fprintf(file,
                "callers = %s:%d\nready = %s:%d\nready_path = /ready\n"
                "[platform]\nleave_ms = %d\n"
                "[keeper]\nport = %d\n[retry]\nshare = 0.2\nburst = 20\n",
                host, GATEWAY_CLUSTER_HTTP_PORT, host, READY_PORT,
                GATEWAY_CLUSTER_LEAVE_MS, GATEWAY_CLUSTER_KEEPER_PORT);
        if (cluster->options.config_ms != 0) {
            fprintf(file, "[platform]\nconfig_ms = %d\n",
                    cluster->options.config_ms);
        }
        if (cluster->options.memory_mb != 0) {
            fprintf(file, "[limits]\nmemory_mb = %d\n",
                    cluster->options.memory_mb);
        }
        if (cluster->options.revoke_ms != 0) {
            fprintf(file, "[customers]\nrevoke_ms = %d\n",
                    cluster->options.revoke_ms);
        }
    }
    else {
        fprintf(file,
                "links = %s:%d\n[backend]\naddress = %s:%d\n"
                "service = llm\n",
                host, GATEWAY_CLUSTER_KEEPER_PORT, host,
                GATEWAY_CLUSTER_HTTP_PORT);
    }
    fclose(file);
}

static void
start_standin(GatewayCluster *cluster, GatewayClusterRole role, int number)
{
    Process *process = get_process(cluster, role, number);
    char store_address[GATEWAY_CLUSTER_ADDRESS_SIZE];
    char seed[TEXT_SIZE];
    char id[TEXT_SIZE];
    char record_address[GATEWAY_CLUSTER_ADDRESS_SIZE];
    const char *arguments[] = {
        "standin-worker",
        process->address,
        store_address,
        id,
        role == GATEWAY_CLUSTER_LLM_WORKER ? "llm" : "plain",
        get_zone(number),
        role == GATEWAY_CLUSTER_LLM_WORKER ? "llm" : "plain",
        seed,
        record_address,
        cluster->options.deadly_part, /* or the end */
        NULL};
    const char *store_arguments[] = {"standin-store", process->address, seed,
                                     NULL};

    GatewayCluster_FormatAddress(cluster, GATEWAY_CLUSTER_STORE, 0,
                                 GATEWAY_CLUSTER_HTTP_PORT, store_address);
    GatewayCluster_FormatAddress(cluster, role, number,
                                 cluster->options.has_proxies
                                     ? GATEWAY_CLUSTER_PROXY_PORT
                                     : GATEWAY_CLUSTER_HTTP_PORT,
                                 record_address);
    snprintf(seed, sizeof(seed), "%llu",
             (unsigned long long)cluster->options.seed + (uint64_t)number);
    snprintf(id, sizeof(id), "%s-%d",
             role == GATEWAY_CLUSTER_LLM_WORKER ? "llm" : "plain", number);
    spawn_process(cluster, role, number,
                  role == GATEWAY_CLUSTER_STORE ? store_arguments : arguments);
}

static void
start_process(GatewayCluster *cluster, GatewayClusterRole role, int number)
{
    Process *process = get_process(cluster, role, number);

    GatewayCluster_FormatAddress(cluster, role, number,
                                 GATEWAY_CLUSTER_HTTP_PORT, process->address);
    if (role == GATEWAY_CLUSTER_GATEWAY || role == GATEWAY_CLUSTER_KEEPER) {
        const char *arguments[] = {"kccd", process->settings_path, NULL};

        write_settings_file(cluster, role, number);
        spawn_process(cluster, role, number, arguments);
    }
    else {
        start_standin(cluster, role, number);
    }
}

void
GatewayCluster_SendSignal(GatewayCluster *cluster, GatewayClusterRole role,
                          int number, int signal)
{
    pid_t pid = GatewayCluster_GetPid(cluster, role, number);

    if (pid > 0) {
        kill(pid, signal);
    }
}

int
GatewayCluster_WaitForExit(GatewayCluster *cluster, GatewayClusterRole role,
                           int number)
{
    Process *process = get_process(cluster, role, number);
    int status = 0;

    if (process->pid <= 0) {
        return -1;
    }
    waitpid(process->pid, &status, 0);
    process->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool
GatewayCluster_HasExited(const GatewayCluster *cluster,
                         GatewayClusterRole role, int number)
{
    siginfo_t info = {.si_pid = 0};
    pid_t pid = GatewayCluster_GetPid(cluster, role, number);

    return pid > 0 &&
           waitid(P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == pid && info.si_code == CLD_EXITED;
}

void
GatewayCluster_RestartProcess(GatewayCluster *cluster, GatewayClusterRole role,
                              int number)
{
    start_process(cluster, role, number);
}

bool
GatewayCluster_WaitUntilReady(GatewayCluster *cluster, int number)
{
    char address[GATEWAY_CLUSTER_ADDRESS_SIZE];
    char answer[512];

    GatewayCluster_FormatAddress(cluster, GATEWAY_CLUSTER_GATEWAY, number,
                                 READY_PORT, address);
    for (int i = 0; i < READY_TIMEOUT_MS / 50; i++) {
        if (call_http(address, "GET", "/ready", "", answer, sizeof(answer)) ==
            200) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

/* Waits until a stand-in answers, so that its knobs can be set. */
static void
wait_for_standin(GatewayCluster *cluster, GatewayClusterRole role, int number)
{
    char answer[512];

    for (int i = 0; i < READY_TIMEOUT_MS / 20; i++) {
        if (call_http(GatewayCluster_GetAddress(cluster, role, number), "GET",
                      "/standin/state", "", answer, sizeof(answer)) == 200) {
            return;
        }
        sleep_ms(20);
    }
}

uint8_t
GatewayCluster_ReserveNetwork(uint8_t first, uint8_t last)
{
    int count = last - first + 1;

    for (int i = 0; i < count; i++) {
        uint8_t octet = (uint8_t)(first + (getpid() + i) % count);
        struct sockaddr_in address = {
            .sin_family = AF_INET,
            .sin_port = htons(GATEWAY_CLUSTER_HTTP_PORT),
            /* No process of a cluster has this address. */
            .sin_addr.s_addr = htonl(0x7f00ff01U | (uint32_t)octet << 16)};
        /* Stays open: it is the reservation. */
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
            listen(fd, 1) == 0) {
            return octet;
        }
        close(fd);
    }
    fprintf(stderr, "no free network from 127.%d to 127.%d\n", first, last);
    exit(1);
}

GatewayCluster *
GatewayCluster_Start(const GatewayClusterOptions *options)
{
    static const GatewayClusterRole start_order[] = {
        GATEWAY_CLUSTER_LLM_WORKER, GATEWAY_CLUSTER_PLAIN_WORKER,
        GATEWAY_CLUSTER_KEEPER, GATEWAY_CLUSTER_GATEWAY};
    GatewayCluster *cluster = calloc(1, sizeof(*cluster));
    const int counts[GATEWAY_CLUSTER_ROLE_COUNT] = {
        [GATEWAY_CLUSTER_LLM_WORKER] = options->llm_workers,
        [GATEWAY_CLUSTER_KEEPER] = options->llm_workers,
        [GATEWAY_CLUSTER_PLAIN_WORKER] = options->plain_workers,
        [GATEWAY_CLUSTER_GATEWAY] = options->gateways};

    signal(SIGPIPE, SIG_IGN);
    cluster->options = *options;
    cluster->customers = options->customers;
    snprintf(cluster->directory, sizeof(cluster->directory),
             "/tmp/kcc-test-XXXXXX");
    if (mkdtemp(cluster->directory) == NULL) {
        perror("mkdtemp");
        exit(1);
    }
    start_process(cluster, GATEWAY_CLUSTER_STORE, 0);
    wait_for_standin(cluster, GATEWAY_CLUSTER_STORE, 0);
    GatewayCluster_WriteConfig(cluster, 1, false);
    for (size_t i = 0; i < sizeof(start_order) / sizeof(start_order[0]); i++) {
        for (int number = 0; number < counts[start_order[i]]; number++) {
            start_process(cluster, start_order[i], number);
        }
    }
    for (int number = 0; number < options->llm_workers; number++) {
        wait_for_standin(cluster, GATEWAY_CLUSTER_LLM_WORKER, number);
    }
    for (int number = 0; number < options->plain_workers; number++) {
        wait_for_standin(cluster, GATEWAY_CLUSTER_PLAIN_WORKER, number);
    }
    for (int number = 0; !options->has_proxies && number < options->gateways;
         number++) {
        if (!GatewayCluster_WaitUntilReady(cluster, number)) {
            fprintf(stderr, "gateway %d is not ready, see %s\n", number,
                    cluster->directory);
        }
    }
    return cluster;
}

void
GatewayCluster_Stop(GatewayCluster *cluster)
{
    char log_path[TEXT_SIZE * 2];

    for (int role = GATEWAY_CLUSTER_ROLE_COUNT - 1; role >= 0; role--) {
        for (int number = 0; number < PROCESSES_PER_ROLE_MAX; number++) {
            Process *process =
                get_process(cluster, (GatewayClusterRole)role, number);

            if (process->pid > 0) {
                kill(process->pid, SIGKILL);
                waitpid(process->pid, NULL, 0);
            }
            if (process->settings_path[0] != '\0') {
                unlink(process->settings_path);
            }
            format_log_path(cluster, (GatewayClusterRole)role, number,
                            log_path);
            unlink(log_path);
        }
    }
    rmdir(cluster->directory);
    free(cluster);
}
