/*
 * The gateway's open connections to the store go silent, and then a new
 * version of an adapter is announced.  How long do requests run on the old
 * one?
 *
 * The gateway reaches the store through a proxy of this program.  The proxy
 * makes all open connections silent at one moment, while new ones work, and
 * answers calls with is_stale as of some seconds ago.
 */
#include "../common/harness.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <arpa/inet.h>

#define WORKER_PORT 8505
#define PROXY_PORT 8143
#define WORKERS 2
#define VERSION_MS 5000
/* How old the data of a call with is_stale may be. */
#define STALE_MS 3000
#define REQUEST_INTERVAL_MS 50
#define TRAFFIC_MS 11000
/* Request before which the connections go silent; two later the version is
 * announced. */
#define SILENT_AT 32

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"summary\","
    "\"host\":\"h.example\",\"path_prefix\":\"/chat/\","
    "\"kind\":\"unsafe\",\"timeout_ms\":10000,\"goal_ms\":1000,"
    "\"priority\":0,\"service\":\"alarm-llm\","
    "\"max_attempts\":1,\"sticky\":true,\"resumable\":false}],"
    "\"services\":[{\"name\":\"alarm-llm\",\"health_path\":\"/health\","
    "\"conn_limit\":610,\"engine\":{\"slots\":128,\"kv_capacity\":152003,"
    "\"adapter_slots\":17,\"mb\":35700.0,\"models\":[{\"name\":\"m0\","
    "\"mb\":34300.0,\"load_s\":2.7,\"adapters\":3000,\"adapter_mb\":40.0}],"
    "\"loads_per_s\":2.9}}],\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000}}";

static char front[ADDRESS_SIZE];
static char proxy[ADDRESS_SIZE];
static atomic_int era; /* connections of earlier ones are silent */
static atomic_llong announced_at_ms; /* wall clock; 0: not yet */
static atomic_int last_revision;     /* before the announcement */

static long long
read_wall_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* ---- the proxy of the store ---------------------------------------------- */

/* Time for which calls with is_stale still show what was before the
 * announcement. */
static long long
stale_time_left(void)
{
    long long at_ms = announced_at_ms;

    return at_ms == 0 ? 0 : at_ms + STALE_MS - read_wall_ms();
}

/* Answers a watch with is_stale as the copy does that does not know of the
 * announcement yet. */
static void
answer_stale(int client, const char *head)
{
    const char *wait = strstr(head, "wait_ms=");
    long long wait_ms = wait != NULL ? atoll(wait + 8) : 0;
    char body[64];
    char text[256];
    int size;

    Harness_SleepMs(
        (int)(wait_ms < stale_time_left() ? wait_ms : stale_time_left()));
    snprintf(body, sizeof(body), "{\"events\":[],\"at\":%d}",
             (int)last_revision);
    size = snprintf(text, sizeof(text),
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                    strlen(body), body);
    Harness_Write(client, text, (size_t)size);
}

/* Passes bytes on between two sockets until one ends or this era is over. */
static void
relay(int client, int store, int own_era)
{
    struct pollfd sides[2] = {{.fd = client, .events = POLLIN},
                              {.fd = store, .events = POLLIN}};
    char bytes[65536];

    for (;;) {
        poll(sides, 2, 20);
        if (own_era != era) {
            Harness_SleepMs(120000); /* silent for good */
            return;
        }
        for (int i = 0; i < 2; i++) {
            ssize_t size;

            if ((sides[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
                continue;
            }
            size = recv(sides[i].fd, bytes, sizeof(bytes), 0);
            if (size <= 0 ||
                !Harness_Write(sides[1 - i].fd, bytes, (size_t)size)) {
                return;
            }
        }
    }
}

static void *
serve_store_call(void *argument)
{
    int client = (int)(long)argument;
    int own_era = era;
    char head[4096];
    ssize_t size = recv(client, head, sizeof(head) - 1, 0);
    int store;

    if (size > 0) {
        head[size] = '\0';
        head[strcspn(head, "\r")] = '\0';
        Harness_Record("store call: %s", head);
        if (strstr(head, "is_stale=1") != NULL && stale_time_left() > 0 &&
            strstr(head, "watch=") != NULL) {
            answer_stale(client, head);
        }
        else {
            head[strlen(head)] = '\r';
            store = Harness_Connect(Harness_StoreAddress());
            Harness_Write(store, head, (size_t)size);
            relay(client, store, own_era);
            close(store);
        }
    }
    close(client);
    return NULL;
}

static void *
run_proxy(void *argument)
{
    int listener = (int)(long)argument;

    int fd;

    while ((fd = accept(listener, NULL, NULL)) >= 0) {
        pthread_t thread;

        pthread_create(&thread, NULL, serve_store_call, (void *)(long)fd);
        pthread_detach(thread);
    }
    return NULL;
}

static void
start_proxy(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(PROXY_PORT)};
    char host[ADDRESS_SIZE];
    pthread_t thread;
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    Harness_FormatAddress(proxy, 0, 2, PROXY_PORT);
    snprintf(host, sizeof(host), "%.*s", (int)strcspn(proxy, ":"), proxy);
    inet_pton(AF_INET, host, &address.sin_addr);
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, 64) != 0) {
        Harness_Fail("the proxy does not start");
    }
    pthread_create(&thread, NULL, run_proxy, (void *)(long)listener);
    Harness_SetStoreAddress(proxy);
}

/* The store's revision, from a list. */
static int
read_revision(void)
{
    static const char request[] = "GET /objects/versions HTTP/1.1\r\n"
                                  "Host: store\r\nX-Standin: 1\r\n"
                                  "Connection: close\r\n\r\n";
    Answer answer;
    const char *at;
    int fd = Harness_Connect(Harness_StoreAddress());

    Harness_Write(fd, request, strlen(request));
    Harness_ReadAnswer(fd, false, 2000, &answer);
    close(fd);
    at = strstr(answer.body, "\"at\":");
    return at != NULL ? atoi(at + 5) : 0;
}

/* ---- workers and clients ------------------------------------------------- */

static void
start_worker(int number, const char *folder)
{
    char address[ADDRESS_SIZE];
    char id[ID_SIZE];
    char log_path[256];
    const char *arguments[] = {"review-worker", address,       id,
                               log_path,        "model=m0",    "adapter=a1",
                               "work_ms=20",    "load_ms=250", NULL};

    Harness_FormatAddress(address, 2, number, WORKER_PORT);
    snprintf(id, sizeof(id), "i-worker-%d", number);
    snprintf(log_path, sizeof(log_path), "%s/worker-%d.log", folder, number);
    remove(log_path);
    Harness_StartStandin(arguments);
    Harness_PutWorker(id, "alarm-llm", address, "ready",
                      "[{\"name\":\"m0\",\"version\":1,"
                      "\"adapters\":[\"a1@1\"]}]");
    Harness_StartKeeper(number, address, "alarm-llm");
}

static void *
send_request(void *argument)
{
    char request[256];
    Answer answer;
    int fd = Harness_Connect(front);
    int size = snprintf(request, sizeof(request),
                        "POST /chat/x HTTP/1.1\r\nHost: h.example\r\n"
                        "Attempt-Id: attempt-%ld\r\nModel: m0/a1\r\n"
                        "Token-Count: 646,70\r\nDeadline-Ms: 10000\r\n"
                        "Connection: close\r\nContent-Length: 0\r\n\r\n",
                        (long)argument);

    Harness_Write(fd, request, (size_t)size);
    Harness_ReadAnswer(fd, false, 11000, &answer);
    close(fd);
    return NULL;
}

/* Copies the runs after the announcement to the record; returns the number of
 * those on the old version that began too late. */
static int
judge(const char *folder)
{
    int late = 0;

    for (int i = 1; i <= WORKERS; i++) {
        char path[256];
        char line[512];
        FILE *file;

        snprintf(path, sizeof(path), "%s/worker-%d.log", folder, i);
        file = fopen(path, "r");
        if (file == NULL) {
            Harness_Fail("a worker has no log");
        }
        while (fgets(line, sizeof(line), file) != NULL) {
            char id[64];
            int version;
            long long at_ms;
            bool is_late;

            if (sscanf(line, "run %63s %*s version %d at_ms %lld", id,
                       &version, &at_ms) != 3 ||
                at_ms < announced_at_ms) {
                continue;
            }
            is_late = version < 2 && at_ms > announced_at_ms + VERSION_MS;
            late += is_late ? 1 : 0;
            Harness_Record("worker %d runs %s on version %d, %lld ms after "
                           "the announcement%s",
                           i, id, version, at_ms - announced_at_ms,
                           is_late ? "  <- VERSION" : "");
        }
        fclose(file);
        remove(path);
    }
    return late;
}

int
main(int argc, char **argv)
{
    pthread_t clients[TRAFFIC_MS / REQUEST_INTERVAL_MS];
    int count = TRAFFIC_MS / REQUEST_INTERVAL_MS;
    int late;

    Harness_Begin(argc, argv);
    Harness_StartStore(configuration);
    start_proxy();
    for (int i = 1; i <= WORKERS; i++) {
        start_worker(i, argv[1]);
    }
    Harness_StartGateway(1, front);
    Harness_SleepMs(6000); /* in touch for stable_window_ms */
    for (long i = 0; i < count; i++) {
        if (i == SILENT_AT && Harness_HasTrouble()) {
            era++;
            Harness_Record("open connections to the store go silent");
        }
        if (i == SILENT_AT + 2) {
            last_revision = read_revision();
            announced_at_ms = read_wall_ms() + 1;
            Harness_PutObject("versions", "m0.a1",
                              "{\"model\":\"m0\",\"adapter\":\"a1\","
                              "\"version\":2}");
            announced_at_ms = read_wall_ms();
            Harness_Record("version 2 of the adapter is acknowledged");
        }
        pthread_create(&clients[i], NULL, send_request, (void *)i);
        Harness_SleepMs(REQUEST_INTERVAL_MS);
    }
    for (int i = 0; i < count; i++) {
        pthread_join(clients[i], NULL);
    }
    late = judge(argv[1]);
    Harness_Record("%d requests began on the old version later than %d ms "
                   "after the newer one",
                   late, VERSION_MS);
    Harness_End(late > 0 ? RULE_BROKEN : RULE_HELD);
}
