/*
 * What a gateway costs: plain requests and streams' events a second and core,
 * through a real gateway against the worker stand-ins.
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

#define CLIENTS 32

typedef struct Bench Bench;

typedef struct Client {
    Bench *bench;
    KcHttpConnection *peer;
    int number;
} Client;

/* One kind of load. */
static const struct {
    const char *name;
    const char *request;
    const char *counted; /* in the body; NULL: answers */
} loads[] = {
    {"plain", "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b%d-%d\r\n\r\n",
     NULL},
    {"stream",
     "POST /stream/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b%d-%d\r\n"
     "Model: m/a1\r\nContent-Length: 0\r\n\r\n",
     "data: "},
};

struct Bench {
    KcLoop *loop;
    Client clients[CLIENTS];
    size_t load;
    int sent;
    int64_t counted;
    int64_t failed;
    KcTimer end;
};

static void
send_request(Client *client)
{
    evbuffer_add_printf(KcHttpConnection_Output(client->peer),
                        loads[client->bench->load].request, client->number,
                        client->bench->sent++);
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
        bench->failed++;
    }
    else if (loads[bench->load].counted == NULL) {
        bench->counted++;
    }
}

static void
on_body(void *owner, KcBytes bytes)
{
    Bench *bench = ((Client *)owner)->bench;
    const char *part = loads[bench->load].counted;
    const char *at = bytes.data;
    const char *end = bytes.data + bytes.size;

    while (part != NULL &&
           (at = memmem(at, (size_t)(end - at), part, strlen(part))) != NULL) {
        bench->counted++;
        at += strlen(part);
    }
}

static void
on_end(void *owner)
{
    KcHttpConnection_ReadNextMessage(((Client *)owner)->peer);
    send_request(owner);
}

static void
on_failed(void *owner, int code)
{
    Client *client = owner;

    (void)code;
    client->bench->failed++;
    KcHttpConnection_Close(client->peer);
    client->peer = NULL;
}

static const KcHttpConnectionOps ops = {.on_connected = on_connected,
                                        .on_head = on_head,
                                        .on_body = on_body,
                                        .on_message_end = on_end,
                                        .on_failed = on_failed};

/* Processor time of a process in seconds. */
static double
cpu_of(pid_t pid)
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
on_time(KcTimer *timer, KcTime now)
{
    (void)now;
    KcLoop_Stop(((Bench *)timer->owner)->loop);
}

static void
run(Yard *yard, size_t load, int seconds)
{
    Bench bench = {.loop = KcLoop_Create(), .load = load};
    pid_t gateway = Yard_Pid(yard, YARD_GATEWAY, 0);
    double cpu;

    for (int i = 0; i < CLIENTS; i++) {
        KcHttpConnectionOptions options = {.loop = bench.loop,
                                           .ops = &ops,
                                           .owner = &bench.clients[i],
                                           .head_bytes_max = 16384,
                                           .silence_timeout = 10 * KC_SECOND};

        bench.clients[i].bench = &bench;
        bench.clients[i].number = (int)load * CLIENTS + i;
        bench.clients[i].peer = KcHttpConnection_Connect(
            &options, Yard_Address(yard, YARD_GATEWAY, 0));
    }
    KcTimer_Init(&bench.end, on_time, &bench);
    KcTimers_Set(bench.loop->timers, &bench.end,
                 KcLoop_Now() + seconds * KC_SECOND);
    cpu = cpu_of(gateway);
    KcLoop_Run(bench.loop);
    cpu = cpu_of(gateway) - cpu;
    printf("{\"bench\":\"platform\",\"scenario\":\"%s\",\"clients\":%d,"
           "\"per_s\":%.0f,\"cores\":%.3f,\"per_s_and_core\":%.0f,"
           "\"failed\":%" PRId64 "}\n",
           loads[load].name, CLIENTS, (double)bench.counted / seconds,
           cpu / seconds, cpu > 0 ? (double)bench.counted / cpu : 0,
           bench.failed);
    for (int i = 0; i < CLIENTS; i++) {
        if (bench.clients[i].peer != NULL) {
            KcHttpConnection_Close(bench.clients[i].peer);
        }
    }
    KcLoop_Free(bench.loop);
}

int
main(int argc, char **argv)
{
    YardOptions options = {
        .network = 42, .llm = 2, .plain = 2, .gateways = 1, .seed = 1};
    int seconds = argc > 1 ? atoi(argv[1]) : 5;
    Yard *yard = Yard_Start(&options);

    for (int i = 0; i < 2; i++) {
        Yard_Set(yard, YARD_LLM, i, "places=64&work_ms=1");
        Yard_Set(yard, YARD_PLAIN, i, "places=64&work_ms=1");
    }
    sleep(2); /* the workers' records are read */
    for (size_t load = 0; load < sizeof(loads) / sizeof(loads[0]); load++) {
        run(yard, load, seconds);
    }
    Yard_Stop(yard);
    return 0;
}
