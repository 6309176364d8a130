/*
 * The fault soak: injects random faults into gateways, keepers and stand-ins
 * that run as processes, and checks every call by its answer and by the
 * workers' logs of what they ran.
 *
 *   soak SEED [SECONDS [WORKERS]]
 *
 * Prints the seed, each fault, each violation and the verdict.  Exit status: 0
 * without violations, 1 with some, 2 when a proxy cannot listen.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../programs/connection/http_connection.h"
#include "../daemons/gateway_cluster.h"
#include "faults.h"
#include "history.h"
#include "rules.h"
#include "soak.h"

#define CLIENT_COUNT 24
#define EVENTS_PER_STREAM 10              /* as the workers send them */
#define PRINTED_BYTES_MAX 400             /* of an answer with wrong bytes */
#define RECOVERY_TIMEOUT (12 * KC_SECOND) /* recover_s of the platform */
#define CALL_TIMEOUT (6 * KC_SECOND)

/* ---- random numbers ------------------------------------------------------ */

static uint64_t random_state;

uint64_t
Soak_DrawBelow(uint64_t limit)
{
    random_state =
        random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (random_state >> 33) % limit;
}

/* ---- the run ------------------------------------------------------------- */

typedef struct Client {
    int number;
    KcHttpConnection *connection; /* NULL between connections */
    KcTimer timer;                /* ends the call or begins the next one */
    KcTime deadline;
    struct Call *call; /* in progress, or NULL */
    int gateway;
} Client;

typedef struct Soak {
    KcLoop *loop;
    GatewayCluster *cluster;
    GatewayClusterOptions options;
    Client clients[CLIENT_COUNT];
    Call *calls;
    int call_count;
    bool faults_ended; /* clients begin no more calls */
    int violation_count;
} Soak;

static Soak soak;

Call *
Soak_FindCall(const char *id)
{
    Call *call;

    HASH_FIND_STR(soak.calls, id, call);
    return call;
}

void
Soak_ReportViolation(const char *violation, const Call *call)
{
    soak.violation_count++;
    printf("BROKEN %s: request %s status %d runs %d whole %d\n", violation,
           call != NULL ? call->id : "", call != NULL ? call->status : 0,
           call != NULL ? call->run_count : 0,
           call != NULL ? call->is_complete : 0);
}

/* ---- callers ------------------------------------------------------------- */

static const struct {
    const char *path;
    const char *method;
    bool is_repeatable;
    bool is_stream;
} call_kinds[] = {
    {"/safe/x", "GET", true, false},
    {"/unsafe/x", "POST", false, false},
    {"/stream/x", "POST", false, true},
    {"/resume/x", "POST", true, true},
};

static void begin_call(Client *client);

static void
end_call(Client *client, bool keep_connection)
{
    KcTime pause = (KcTime)Soak_DrawBelow(60) * KC_MS;

    if (client->call != NULL) {
        client->call->ended_at = KcLoop_Now();
        client->call = NULL;
    }
    if (!keep_connection && client->connection != NULL) {
        KcHttpConnection_Close(client->connection);
        client->connection = NULL;
    }
    KcTimers_Set(soak.loop->timers, &client->timer, KcLoop_Now() + pause);
}

static void
on_connected(void *owner)
{
    begin_call(owner);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    Client *client = owner;
    const char *id = KcHttpMessage_FindField(message, "Attempt-Id");
    const char *server_seal = KcHttpMessage_FindField(message, "Server-Seal");

    if (client->call == NULL) {
        Soak_ReportViolation("an answer that nobody asked for", NULL);
        return;
    }
    client->call->answered_at = KcLoop_Now();
    client->call->status = message->status;
    client->call->is_misattributed =
        id != NULL && strcmp(id, client->call->id) != 0;
    KcText_Copy(client->call->server_seal,
                server_seal != NULL ? server_seal : "",
                sizeof(client->call->server_seal));
}

static void
on_body(void *owner, KcBytes bytes)
{
    Client *client = owner;

    if (client->call != NULL) {
        KcBuffer_Append(&client->call->body, bytes.data, bytes.size);
    }
}

static void
on_end(void *owner)
{
    Client *client = owner;

    if (client->call != NULL) {
        client->call->is_complete = true;
    }
    /* Kept until the gateway closes it or the client's timer does. */
    KcHttpConnection_ReadNextMessage(client->connection);
    end_call(client, true);
}

static void
on_failed(void *owner, int code)
{
    (void)code;
    end_call(owner, false);
}

static const KcHttpConnectionOps client_ops = {.on_connected = on_connected,
                                               .on_head = on_head,
                                               .on_body = on_body,
                                               .on_message_end = on_end,
                                               .on_failed = on_failed};

static void
connect_client(Client *client)
{
    KcHttpConnectionOptions options = {.loop = soak.loop,
                                       .ops = &client_ops,
                                       .owner = client,
                                       .head_bytes_max = 16384,
                                       .silence_timeout = CALL_TIMEOUT};

    client->gateway = (int)Soak_DrawBelow((uint64_t)soak.options.gateways);
    client->connection = KcHttpConnection_Connect(
        &options, GatewayCluster_GetAddress(
                      soak.cluster, GATEWAY_CLUSTER_GATEWAY, client->gateway));
    client->deadline = KcLoop_Now() + CALL_TIMEOUT;
    KcTimers_Set(soak.loop->timers, &client->timer, client->deadline);
}

static void
begin_call(Client *client)
{
    size_t kind_index =
        Soak_DrawBelow(sizeof(call_kinds) / sizeof(call_kinds[0]));
    Call *call = KcMem_New(sizeof(*call));

    snprintf(call->id, sizeof(call->id), "c%d-%d", client->number,
             soak.call_count++);
    call->gateway = client->gateway;
    call->sent_at = KcLoop_Now();
    call->ended_at = KC_NEVER;
    call->is_repeatable = call_kinds[kind_index].is_repeatable;
    call->is_stream = call_kinds[kind_index].is_stream;
    HASH_ADD_STR(soak.calls, id, call);
    client->call = call;
    client->deadline = KcLoop_Now() + CALL_TIMEOUT;
    KcTimers_Set(soak.loop->timers, &client->timer, client->deadline);
    evbuffer_add_printf(
        KcHttpConnection_Output(client->connection),
        "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\n"
        "Token-Count: 20,20\r\n%s%d%sContent-Length: 0\r\n\r\n",
        call_kinds[kind_index].method, call_kinds[kind_index].path, call->id,
        call->is_stream ? "Model: m/a" : "X: ", (int)Soak_DrawBelow(40),
        "\r\n");
}

static void
on_client_timer(KcTimer *timer, KcTime now)
{
    Client *client = timer->owner;

    (void)now;
    if (client->call != NULL ||
        (client->connection != NULL && Soak_DrawBelow(8) == 0)) {
        if (client->call != NULL) {
            client->call->is_abandoned = true;
        }
        end_call(client, false); /* the caller disconnects */
    }
    else if (soak.faults_ended) {
        return;
    }
    else if (client->connection == NULL) {
        connect_client(client);
    }
    else {
        begin_call(client);
    }
}

/* ---- checks -------------------------------------------------------------- */

int
Soak_CountProcesses(GatewayClusterRole role)
{
    switch (role) {
    case GATEWAY_CLUSTER_LLM_WORKER:
    case GATEWAY_CLUSTER_KEEPER:
        return soak.options.llm_workers;
    case GATEWAY_CLUSTER_PLAIN_WORKER:
        return soak.options.plain_workers;
    case GATEWAY_CLUSTER_GATEWAY:
        return soak.options.gateways;
    default:
        return 1;
    }
}

/* Checks the logs of the workers of a role, which also counts their runs. */
static void
check_workers(GatewayClusterRole role, RuleCounts *counts)
{
    for (int i = 0; i < Soak_CountProcesses(role); i++) {
        char path[256];

        snprintf(path, sizeof(path), "%s/%d-%d.log",
                 GatewayCluster_GetDirectory(soak.cluster), (int)role, i);
        Rules_CheckWorker(path, role, i, counts);
    }
}

/* A complete stream has each event once and in order. */
/* Comments of a stream belong to no event, and may be passed on. */
static const char *
skip_comments(const char *unread)
{
    while (unread != NULL && *unread == ':') {
        unread = strchr(unread, '\n');
        unread = unread != NULL ? unread + strspn(unread, "\n") : NULL;
    }
    return unread;
}

static bool
is_stream_correct(const Call *call)
{
    const char *unread = KcBuffer_Data(&call->body);

    for (int i = 0; i < EVENTS_PER_STREAM; i++) {
        char event[64];

        unread = skip_comments(unread);
        snprintf(event, sizeof(event), "id: %d\ndata: piece %d\n\n", i, i);
        if (unread == NULL || strncmp(unread, event, strlen(event)) != 0) {
            return false;
        }
        unread += strlen(event);
    }
    return *skip_comments(unread) == '\0';
}

static bool
is_plain_answer_correct(const Call *call)
{
    char body[128];

    snprintf(body, sizeof(body), "answer %s of %s", call->id,
             call->server_seal);
    return call->server_seal[0] != '\0' &&
           strcmp(KcBuffer_Data(&call->body), body) == 0;
}

static void
check_call(Call *call)
{
    bool claims_not_run = call->status == 408 || call->status == 421 ||
                          call->status == 429 || call->status == 503;

    KcBuffer_Append(&call->body, "", 1);
    if (!call->is_repeatable && call->run_count > 1) {
        Soak_ReportViolation("at most once", call);
    }
    if (call->is_repeatable && call->run_count > 2) {
        Soak_ReportViolation("more workers than allowed", call);
    }
    if (claims_not_run && !call->is_repeatable && call->run_count > 0) {
        Soak_ReportViolation("said not to run", call);
    }
    if (call->is_misattributed) {
        Soak_ReportViolation("another request's answer", call);
    }
    if (call->status == 404 || call->status == 400) {
        Soak_ReportViolation("denied", call);
    }
    if (call->status == 200 && call->is_complete &&
        !(call->is_stream ? is_stream_correct(call)
                          : is_plain_answer_correct(call))) {
        Soak_ReportViolation("wrong bytes", call);
        printf("%zu bytes: %.*s\n", KcBuffer_Size(&call->body) - 1,
               PRINTED_BYTES_MAX, KcBuffer_Data(&call->body));
    }
}

static void
check_calls(void)
{
    Call *call;
    Call *next;
    int outcome_counts[3] = {0, 0, 0};
    RuleCounts rule_counts = {0};

    for (int i = 0; i < soak.options.llm_workers; i++) {
        json_t *state = GatewayCluster_ReadState(
            soak.cluster, GATEWAY_CLUSTER_LLM_WORKER, i);

        if (json_integer_value(json_object_get(state, "overloads")) > 0) {
            Soak_ReportViolation("ordered beyond its places", NULL);
        }
        json_decref(state);
    }
    check_workers(GATEWAY_CLUSTER_LLM_WORKER, &rule_counts);
    check_workers(GATEWAY_CLUSTER_PLAIN_WORKER, &rule_counts);
    HASH_ITER(hh, soak.calls, call, next)
    {
        check_call(call);
        outcome_counts[call->status == 200 && call->is_complete ? 0
                       : call->status == 0                      ? 2
                                                                : 1]++;
        HASH_DEL(soak.calls, call);
        KcBuffer_Clear(&call->body);
        free(call);
    }
    printf("%d answered, %d other answers, %d without; "
           "%d workers left, %d waits, %d held by a pause\n",
           outcome_counts[0], outcome_counts[1], outcome_counts[2],
           rule_counts.leavings, rule_counts.waits, rule_counts.pauses);
}

/* Waits until a gateway serves every route of the newest configuration; false
 * after RECOVERY_TIMEOUT.  Runs in a child process, as it blocks and the
 * parent must run the proxies. */
static bool
has_recovered(int gateway)
{
    static const char *const paths[] = {"/safe/x", "/unsafe/x", "/stream/x",
                                        "/resume/x", "/extra/x"};
    KcTime give_up_at = KcLoop_Now() + RECOVERY_TIMEOUT;
    int served_paths = 0;

    while (served_paths < 5 && KcLoop_Now() < give_up_at) {
        char request[512];
        char answer[8192];
        int expected = served_paths < 4 || Faults_HasExtraRoute() ? 200 : 404;
        int size =
            snprintf(request, sizeof(request),
                     "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r%d-%" PRId64
                     "\r\nModel: m/a1\r\nContent-Length: 0\r\n"
                     "Connection: close\r\n\r\n",
                     paths[served_paths], gateway, KcLoop_Now());

        GatewayCluster_Exchange(
            GatewayCluster_GetAddress(soak.cluster, GATEWAY_CLUSTER_GATEWAY,
                                      gateway),
            request, (size_t)size, answer, sizeof(answer), 1000);
        if (strlen(answer) > 12 && atoi(answer + 9) == expected) {
            served_paths++;
        }
        else {
            printf("gateway %d, %s: %.12s\n", gateway, paths[served_paths],
                   answer);
        }
    }
    return served_paths == 5;
}

/* Runs has_recovered() in a child process, and the proxies meanwhile. */
static void
check_recovery(void)
{
    pid_t child;
    int status = 0;

    fflush(stdout);
    child = fork();
    if (child == 0) {
        bool all_recovered = true;

        for (int gateway = 0; gateway < soak.options.gateways; gateway++) {
            all_recovered = has_recovered(gateway) && all_recovered;
        }
        fflush(stdout);
        _exit(all_recovered ? 0 : 1);
    }
    while (waitpid(child, &status, WNOHANG) == 0) {
        KcTimers_Run(soak.loop->timers, KcLoop_Now());
        event_base_loop(soak.loop->base, EVLOOP_NONBLOCK);
        usleep(2000);
    }
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        Soak_ReportViolation("not recovered", NULL);
    }
}

/* ---- set-up -------------------------------------------------------------- */

static void
set_up(uint64_t seed, int seconds, int workers)
{
    FaultsOptions faults_options;

    soak.options = (GatewayClusterOptions){
        .network_octet = GatewayCluster_ReserveNetwork(60, 119),
        .llm_workers = workers,
        .plain_workers = workers,
        .gateways = workers > 4 ? workers / 2 : 2,
        .seed = seed,
        .has_proxies = true};
    soak.loop = KcLoop_Create();
    soak.cluster = GatewayCluster_Start(&soak.options);
    faults_options =
        (FaultsOptions){.loop = soak.loop,
                        .cluster = soak.cluster,
                        .cluster_options = &soak.options,
                        .begin_at = KcLoop_Now() + 2 * KC_SECOND,
                        .end_at = KcLoop_Now() + (seconds + 2) * KC_SECOND};
    Faults_Start(&faults_options);
    for (int i = 0; i < CLIENT_COUNT; i++) {
        Client *client = &soak.clients[i];

        client->number = i;
        KcTimer_Init(&client->timer, on_client_timer, client);
        KcTimers_Set(soak.loop->timers, &client->timer,
                     KcLoop_Now() + KC_SECOND + i * 10 * KC_MS);
    }
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    int seconds = argc > 2 ? atoi(argv[2]) : 10;
    int workers = argc > 3 ? atoi(argv[3]) : 2;

    printf("seed %" PRIu64 ", %d s, %d workers of a kind\n", seed, seconds,
           workers);
    random_state = seed * 2654435761u + 1;
    set_up(seed, seconds, workers);
    KcLoop_Run(soak.loop);
    soak.faults_ended = true;
    Faults_EndAll();
    check_recovery();
    for (int i = 0; i < CLIENT_COUNT; i++) {
        KcTimers_Clear(soak.loop->timers, &soak.clients[i].timer);
        if (soak.clients[i].connection != NULL) {
            KcHttpConnection_Close(soak.clients[i].connection);
        }
    }
    check_calls();
    Faults_FreeProxies();
    History_Clear();
    if (soak.violation_count > 0) {
        printf("the processes' output: %s\n",
               GatewayCluster_GetDirectory(soak.cluster));
    }
    printf("seed %" PRIu64 ": %s\n", seed,
           soak.violation_count > 0 ? "BROKEN" : "clean");
    if (soak.violation_count == 0) {
        GatewayCluster_Stop(soak.cluster);
    }
    KcLoop_Free(soak.loop);
    return soak.violation_count > 0 ? 1 : 0;
}
