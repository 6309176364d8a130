/*
 * Case 9: a few clients state no limit of their output by the largest number
 * of 64 bits. The gateway ends by an assertion, and the requests of all its
 * other clients are lost.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../common-2/lab.h"
#include "../common-2/net.h"

#define WORKERS 2
#define USUAL_CLIENTS 8
#define UNLIMITED_CLIENTS 6
#define USUAL_TOKENS "491,70"
#define UNLIMITED_TOKENS "491,9223372036854775807"
/* The rule allows so many. */
#define LOST_MAX 3

static char store_address[LAB_ADDRESS_SIZE];
static char callers_address[LAB_ADDRESS_SIZE];
static LabProcess gateway;
static LabProcess keepers[WORKERS];
static LabWorker workers[WORKERS];
static int keeper_port;
static bool is_over;

static void
write_config(void)
{
    Store_Write(
        "config", "main",
        json_pack(
            "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:s, s:i}], "
            "s:[{s:s, s:s, s:i, s:{s:i, s:i, s:i, s:i, s:[{s:s, s:i, s:i}]}}],"
            " s:{s:i, s:i, s:i, s:i}}",
            "version", 3, "routes", "name", "memo", "host", "shop.example",
            "path_prefix", "/memo/", "kind", "streaming", "timeout_ms", 6000,
            "goal_ms", 800, "gap_goal_ms", 400, "priority", 0, "service",
            "llm", "max_attempts", 1, "services", "name", "llm", "health_path",
            "/health", "conn_limit", 240, "engine", "slots", 32, "kv_capacity",
            215273, "adapter_slots", 15, "mb", 75000, "models", "name", "m",
            "mb", 72700, "adapter_mb", 40, "limits", "max_header_bytes", 16384,
            "max_body_bytes", 1048576, "header_timeout_ms", 10000,
            "idle_timeout_ms", 60000));
}

/* Settings by deploy/entry.ini. */
static void
start_gateway(void)
{
    char text[2048];
    char ready[LAB_ADDRESS_SIZE];
    char admin[LAB_ADDRESS_SIZE];

    Lab_TakeAddress("127.0.0.1", callers_address);
    Lab_TakeAddress("127.0.0.1", ready);
    Lab_TakeAddress("127.0.0.1", admin);
    snprintf(text, sizeof(text),
             "[process]\nrole = gateway\nname = front-a-1\n"
             "datacentre = zone-a\ngrace_s = 8\n[listen]\ncallers = %s\n"
             "ready = %s\nready_path = /ready\nadmin = %s\n[platform]\n"
             "objects = %s\nwatch_ms = 2500\nleave_ms = 3000\n"
             "config_ms = 3000\nversion_ms = 5000\n[limits]\n"
             "descriptors_max = 4100\n[retry]\nshare = 0.2\nburst = 56\n"
             "[keeper]\nport = %d\n[regions]\nzone-a = region-a\n",
             callers_address, ready, admin, store_address, keeper_port);
    Lab_StartDaemon(&gateway, "gateway", text);
}

/* Settings by deploy/agent.ini. */
static void
start_side(int number)
{
    LabWorker *worker = &workers[number];
    char host[32];
    char admin[LAB_ADDRESS_SIZE];
    char name[32];
    char text[1024];

    snprintf(host, sizeof(host), "127.0.10.%d", number + 1);
    snprintf(worker->id, sizeof(worker->id), "w-%d", number + 1);
    snprintf(worker->service, sizeof(worker->service), "llm");
    Lab_TakeAddress(host, worker->address);
    memcpy(worker->record_address, worker->address, LAB_ADDRESS_SIZE);
    worker->has_model = true;
    Worker_Start(worker, store_address);
    Lab_TakeAddress(host, admin);
    snprintf(name, sizeof(name), "side-a-%d", number + 1);
    snprintf(text, sizeof(text),
             "[process]\nrole = keeper\nname = %s\ndatacentre = zone-a\n"
             "grace_s = 8\n[listen]\nlinks = %s:%d\nadmin = %s\n[platform]\n"
             "objects = %s\nwatch_ms = 2500\n[backend]\naddress = %s\n"
             "service = llm\n",
             name, host, keeper_port, admin, store_address, worker->address);
    Lab_StartDaemon(&keepers[number], name, text);
}

/* ---- clients ------------------------------------------------------------- */

typedef struct Client {
    char name[32];
    const char *tokens;
    int requests_max;
    int answers;
    char lost_id[64]; /* sent on a kept connection, which then closed */
} Client;

/* Reads the answer to one request, whose stream has a last chunk. Returns
 * false when the connection ends before. */
static bool
read_answer(int fd)
{
    char text[8192] = "";
    size_t size = 0;
    ssize_t received;

    while (size + 1 < sizeof(text) &&
           (received = recv(fd, text + size, sizeof(text) - 1 - size, 0)) >
               0) {
        const char *head_end;
        char value[32];

        size += (size_t)received;
        text[size] = '\0';
        head_end = strstr(text, "\r\n\r\n");
        if (head_end == NULL) {
            continue;
        }
        if (Net_FindHeader(text, "Content-Length", value, sizeof(value))
                ? strlen(head_end + 4) >= strtoul(value, NULL, 10)
                : strstr(head_end, "\r\n0\r\n\r\n") != NULL) {
            return true;
        }
    }
    return false;
}

static void *
run_client(void *context)
{
    Client *client = context;
    int fd = Net_Connect(callers_address);

    for (int i = 0; i < client->requests_max &&
                    !__atomic_load_n(&is_over, __ATOMIC_ACQUIRE);
         i++) {
        char id[64];
        char text[512];
        int size;

        snprintf(id, sizeof(id), "%s-%d", client->name, i);
        size = snprintf(text, sizeof(text),
                        "POST /memo/1 HTTP/1.1\r\nHost: shop.example\r\n"
                        "Attempt-Id: %s\r\nModel: m\r\nToken-Count: %s\r\n"
                        "Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n",
                        id, client->tokens);
        if (!Net_SendAll(fd, text, (size_t)size)) {
            break;
        }
        if (!read_answer(fd)) {
            Lab_Record("client %s: closed without an answer to %s, after %d "
                       "answers",
                       client->name, id, client->answers);
            if (client->answers > 0) {
                snprintf(client->lost_id, sizeof(client->lost_id), "%s", id);
            }
            break;
        }
        client->answers++;
    }
    close(fd);
    return NULL;
}

/* Has a worker recorded that it ran the request? */
static bool
has_run(const char *id)
{
    char line[1024];
    char run[128];
    bool is_found = false;
    FILE *file = fopen(getenv("LAB_RECORD"), "r");

    snprintf(run, sizeof(run), " runs %s\n", id);
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        is_found = is_found || strstr(line, run) != NULL;
    }
    if (file != NULL) {
        fclose(file);
    }
    return is_found;
}

/* Notes when the gateway's process ends by itself. */
static void
watch_gateway(int64_t duration_ms)
{
    for (int64_t waited = 0; waited < duration_ms; waited += 20) {
        int status;

        if (gateway.pid > 0 &&
            waitpid(gateway.pid, &status, WNOHANG) == gateway.pid) {
            Lab_Record("gateway pid=%d ended by itself, signal=%d",
                       (int)gateway.pid,
                       WIFSIGNALED(status) ? WTERMSIG(status) : 0);
            gateway.pid = 0;
        }
        Lab_Sleep(20);
    }
}

int
main(int argc, char **argv)
{
    static Client usual[USUAL_CLIENTS];
    static Client unlimited[UNLIMITED_CLIENTS];
    char address[LAB_ADDRESS_SIZE];
    int lost_count = 0;

    if (argc > 1 && strcmp(argv[1], "worker") == 0) {
        return Worker_Main(argc, argv);
    }
    Lab_Begin(argc > 1 ? argv[1] : "record.txt");
    Store_Start(store_address);
    write_config();
    Lab_TakeAddress("127.0.10.1", address);
    keeper_port = atoi(strchr(address, ':') + 1);
    for (int i = 0; i < WORKERS; i++) {
        start_side(i);
    }
    start_gateway();
    Lab_Sleep(6000);
    for (int i = 0; i < USUAL_CLIENTS; i++) {
        snprintf(usual[i].name, sizeof(usual[i].name), "usual-%d", i + 1);
        usual[i].tokens = USUAL_TOKENS;
        usual[i].requests_max = 1000;
        Net_StartThread(run_client, &usual[i]);
    }
    watch_gateway(2000);
    for (int i = 0; i < UNLIMITED_CLIENTS; i++) {
        snprintf(unlimited[i].name, sizeof(unlimited[i].name), "unlimited-%d",
                 i + 1);
        unlimited[i].tokens =
            Lab_HasTrouble() ? UNLIMITED_TOKENS : USUAL_TOKENS;
        unlimited[i].requests_max = 1;
        Net_StartThread(run_client, &unlimited[i]);
    }
    watch_gateway(3000);
    __atomic_store_n(&is_over, true, __ATOMIC_RELEASE);
    watch_gateway(1000);
    for (int i = 0; i < USUAL_CLIENTS; i++) {
        if (usual[i].answers == 0) {
            Lab_GiveUp("a usual client got no answer");
        }
        lost_count += usual[i].lost_id[0] != '\0' && has_run(usual[i].lost_id);
    }
    Lab_Record("rule LOST: %d requests of usual clients on kept connections "
               "were passed on and not answered, %d allowed: %s",
               lost_count, LOST_MAX,
               lost_count > LOST_MAX ? "BROKEN" : "held");
    Lab_End();
    return lost_count > LOST_MAX ? 1 : 0;
}
