/*
 * Benchmark of a gateway process against stand-ins of workers: plain requests,
 * and events of streams, per second and per core.
 *
 *   bench-platform [SECONDS]
 *
 * Prints one JSON object a line.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../../programs/connection/http_connection.h"
#include "../daemons/gateway_cluster.h"

#define CLIENT_COUNT 32

typedef struct Bench Bench;

/* A connection to the gateway, with one request at a time. */
typedef struct Client {
    Bench *bench;
    KcHttpConnection *http_connection; /* NULL after it failed */
    int number;
} Client;

/* What the clients send and what is counted. */
static const struct {
    const char *name;
    const char *request;
    const char *counted_text; /* in bodies; NULL counts answers */
} scenarios[] = {
    {"plain", "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b%d-%d\r\n\r\n",
     NULL},
    {"stream",
     "POST /stream/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b%d-%d\r\n"
     "Model: m/a1\r\nContent-Length: 0\r\n\r\n",
     "data: "},
};

struct Bench {
    KcLoop *loop;
    Client clients[CLIENT_COUNT];
    size_t scenario; /* index in scenarios */
    int sent_count;
    int64_t result_count; /* answers, or texts found in them */
    int64_t failed_count;
    KcTimer end_timer;
};

static void
send_request(Client *client)
{
    evbuffer_add_printf(KcHttpConnection_Output(client->http_connection),
                        scenarios[client->bench->scenario].request,
                        client->number, client->bench->sent_count++);
}

static void
on_connected(void *owner)
{
    send_request(owner);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    Bench *bench = ((Client *)owner)->bench;

    if (message->status != 200) {
        bench->failed_count++;
    }
    else if (scenarios[bench->scenario].counted_text == NULL) {
        bench->result_count++;
    }
}

static void
on_body(void *owner, KcBytes bytes)
{
    Bench *bench = ((Client *)owner)->bench;
    const char *counted_text = scenarios[bench->scenario].counted_text;
    const char *found = bytes.data;
    const char *body_end = bytes.data + bytes.size;

    while (counted_text != NULL &&
           (found = memmem(found, (size_t)(body_end - found), counted_text,
                           strlen(counted_text))) != NULL) {
        bench->result_count++;
        found += strlen(counted_text);
    }
}

static void
on_message_end(void *owner)
{
    KcHttpConnection_ReadNextMessage(((Client *)owner)->http_connection);
    send_request(owner);
}

static void
on_failed(void *owner, int code)
{
    Client *client = owner;

    (void)code;
    client->bench->failed_count++;
    KcHttpConnection_Close(client->http_connection);
    client->http_connection = NULL;
}

static const KcHttpConnectionOps http_connection_ops = {
    .on_connected = on_connected,
    .on_head = on_head,
    .on_body = on_body,
    .on_message_end = on_message_end,
    .on_failed = on_failed};

/* Returns the processor time of a process in seconds, 0 on failure. */
static double
read_cpu_seconds(pid_t pid)
{
    char path[64];
    unsigned long user = 0;
    unsigned long system = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    file = fopen(path, "r");
    if (file == NULL ||
        fscanf(file,
               "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
               &user, &system) != 2) {
        fprintf(stderr, "cannot read %s\n", path);
    }
    if (file != NULL) {
        fclose(file);
    }
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static void
on_end_due(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(((Bench *)timer->owner)->loop);
}

static void
run_scenario(GatewayCluster *cluster, size_t scenario, int seconds)
{
    Bench bench = {.loop = KcLoop_Create(), .scenario = scenario};
    pid_t gateway = GatewayCluster_GetPid(cluster, GATEWAY_CLUSTER_GATEWAY, 0);
    double cpu_seconds;

    for (int i = 0; i < CLIENT_COUNT; i++) {
        KcHttpConnectionOptions options = {.loop = bench.loop,
                                           .ops = &http_connection_ops,
                                           .owner = &bench.clients[i],
                                           .head_bytes_max = 16384,
                                           .silence_timeout = 10 * KC_SECOND};

        bench.clients[i].bench = &bench;
        bench.clients[i].number = (int)scenario * CLIENT_COUNT + i;
        bench.clients[i].http_connection = KcHttpConnection_Connect(
            &options,
            GatewayCluster_GetAddress(cluster, GATEWAY_CLUSTER_GATEWAY, 0));
    }
    KcTimer_Init(&bench.end_timer, on_end_due, &bench);
    KcTimers_Set(bench.loop->timers, &bench.end_timer,
                 KcLoop_Now() + seconds * KC_SECOND);
    cpu_seconds = read_cpu_seconds(gateway);
    KcLoop_Run(bench.loop);
    cpu_seconds = read_cpu_seconds(gateway) - cpu_seconds;
    printf("{\"bench\":\"platform\",\"scenario\":\"%s\",\"clients\":%d,"
           "\"per_s\":%.0f,\"cores\":%.3f,\"per_s_and_core\":%.0f,"
           "\"failed\":%" PRId64 "}\n",
           scenarios[scenario].name, CLIENT_COUNT,
           (double)bench.result_count / seconds, cpu_seconds / seconds,
           cpu_seconds > 0 ? (double)bench.result_count / cpu_seconds : 0,
           bench.failed_count);
    for (int i = 0; i < CLIENT_COUNT; i++) {
        if (bench.clients[i].http_connection != NULL) {
            KcHttpConnection_Close(bench.clients[i].http_connection);
        }
    }
    KcLoop_Free(bench.loop);
}

int
main(int argc, char **argv)
{
    GatewayClusterOptions options = {.network_octet =
                                         GatewayCluster_ReserveNetwork(42, 59),
                                     .llm_workers = 2,
                                     .plain_workers = 2,
                                     .gateways = 1,
                                     .seed = 1};
    int seconds = argc > 1 ? atoi(argv[1]) : 5;
    GatewayCluster *cluster = GatewayCluster_Start(&options);

    for (int i = 0; i < 2; i++) {
        GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_LLM_WORKER, i,
                               "places=64&work_ms=1");
        GatewayCluster_SetKnob(cluster, GATEWAY_CLUSTER_PLAIN_WORKER, i,
                               "places=64&work_ms=1");
    }
    sleep(2); /* until the gateway has read the workers' records */
    for (size_t scenario = 0;
         scenario < sizeof(scenarios) / sizeof(scenarios[0]); scenario++) {
        run_scenario(cluster, scenario, seconds);
    }
    GatewayCluster_Stop(cluster);
    return 0;
}
