/*
 * A worker of the platform: a plain one whose answers end with their
 * connection, or one with adapters that takes orders.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lab.h"
#include "net.h"

/* Places for adapters, as on the sheet. */
#define PLACES 15
#define HALF_BYTES 400
/* Pause in the middle of an answer. */
#define ANSWER_PAUSE_MS 300
#define SLOW_EVENTS 14
#define SLOW_EVENT_MS 300

static const char *id;
static const char *service;
static const char *record_address;
static const char *store_address;
static bool has_model;
static int64_t born;
static int64_t sequence;
typedef struct Adapter {
    char name[64];
    int runs;
    bool is_leaving; /* goes when its runs have ended */
} Adapter;

static Adapter adapters[PLACES];
static int adapter_count;
/* Answers, all and when the last one was sent twice; 0: none is. */
static int answer_count;
static int repeat_interval;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

void Lab_Join(void);

static json_t *
list_models(void)
{
    json_t *names = json_array();

    if (!has_model) {
        json_decref(names);
        return json_array();
    }
    for (int i = 0; i < adapter_count; i++) {
        json_array_append_new(names, json_sprintf("%s@1", adapters[i].name));
    }
    return json_pack("[{s:s, s:i, s:o}]", "name", "m", "version", 1,
                     "adapters", names);
}

static void
write_entry(void)
{
    char path[128];
    json_t *object = json_pack(
        "{s:{s:s}, s:{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:o, s:I, s:I}}",
        "meta", "name", id, "spec", "service", service, "address",
        record_address, "zone", "zone-a", "version", "v1", "slots", 8, "state",
        "ready", "cold_left_ms", 0, "models", list_models(), "sequence",
        (json_int_t)sequence, "born", (json_int_t)born);
    char *text = json_dumps(object, JSON_COMPACT);

    snprintf(path, sizeof(path), "/objects/servers/%s", id);
    if (Net_Call(store_address, "PUT", path, "", text) == 404) {
        Net_Call(store_address, "POST", "/objects/servers", "", text);
    }
    free(text);
    json_decref(object);
}

/* ---- orders -------------------------------------------------------------- */

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

static void
load(const char *name)
{
    if (find_adapter(name) != NULL) {
        return;
    }
    if (adapter_count == PLACES) {
        Lab_Record("worker %s holds %d adapters, is ordered to load %s, and "
                   "crashes",
                   id, PLACES, name);
        _exit(1);
    }
    memset(&adapters[adapter_count], 0, sizeof(adapters[0]));
    snprintf(adapters[adapter_count++].name, sizeof(adapters[0].name), "%s",
             name);
}

static void
drop_unused(Adapter *adapter)
{
    if (adapter->is_leaving && adapter->runs == 0) {
        *adapter = adapters[--adapter_count];
    }
}

/* Returns the status of the answer: an adapter in use goes later. */
static int
unload(const char *name)
{
    Adapter *adapter = find_adapter(name);

    if (adapter == NULL) {
        return 200;
    }
    adapter->is_leaving = true;
    if (adapter->runs > 0) {
        return 202;
    }
    drop_unused(adapter);
    return 200;
}

/* Counts a run of the model's adapter, or its end. */
static void
count_run(const char *model, int change)
{
    const char *slash = strchr(model, '/');
    Adapter *adapter;

    pthread_mutex_lock(&mutex);
    adapter = slash != NULL ? find_adapter(slash + 1) : NULL;
    if (adapter != NULL) {
        adapter->runs += change;
        drop_unused(adapter);
    }
    pthread_mutex_unlock(&mutex);
}

/* Returns the status of the answer. */
static int
carry_out(const json_t *order)
{
    const char *operation =
        json_string_value(json_object_get(order, "op_code"));
    const char *adapter = json_string_value(json_object_get(order, "adapter"));
    const json_t *expected = json_object_get(order, "expect");

    if (operation == NULL) {
        return 400;
    }
    if (json_is_integer(expected) &&
        json_integer_value(expected) != sequence) {
        return 409;
    }
    sequence++;
    if (strcmp(operation, "unload") == 0) {
        return unload(adapter != NULL ? adapter : "");
    }
    if (adapter == NULL) {
        has_model = true;
    }
    else {
        load(adapter);
    }
    return 202;
}

/* The last answer on a connection, if it was 200 to a call that is no
 * request. */
typedef struct LastAnswer {
    char lines[128];
    char *body; /* NULL: it was another */
} LastAnswer;

/* A faulty worker sends an answer a second time, where the next one on its
 * connection is due: before that to an order to unload an adapter in use. Not
 * more often than one in repeat_interval answers. */
static void
repeat_answer(int fd, const char *operation, const char *name,
              const LastAnswer *last)
{
    const Adapter *adapter = find_adapter(name);

    if (repeat_interval == 0 || answer_count < repeat_interval ||
        last->body == NULL || strcmp(operation, "unload") != 0 ||
        adapter == NULL || adapter->runs == 0) {
        return;
    }
    Lab_Record("worker %s sends its last answer again, after %d answers", id,
               answer_count);
    answer_count = 0;
    Net_Reply(fd, 200, last->lines, last->body);
}

static void
take_order(int fd, const NetRequest *request, const LastAnswer *last)
{
    json_t *order = json_loads(request->body, 0, NULL);
    const char *operation =
        json_string_value(json_object_get(order, "op_code"));
    const char *adapter = json_string_value(json_object_get(order, "adapter"));
    const char *holder = json_string_value(json_object_get(order, "holder"));
    long long fence =
        (long long)json_integer_value(json_object_get(order, "fence_token"));
    long long expected =
        (long long)json_integer_value(json_object_get(order, "expect"));
    char instance[64] = "";
    int status;

    Net_FindHeader(request->head, "Expect-Instance", instance, 64);
    pthread_mutex_lock(&mutex);
    if (instance[0] != '\0' && strcmp(instance, id) != 0) {
        status = 421;
    }
    else {
        repeat_answer(fd, operation != NULL ? operation : "",
                      adapter != NULL ? adapter : "", last);
        status = carry_out(order);
    }
    Lab_Record("order at %s %s adapter=%s expect=%lld holder=%s fence=%lld "
               "status=%d adapters=%d",
               id, operation != NULL ? operation : "-",
               adapter != NULL ? adapter : "-", expected,
               holder != NULL ? holder : "-", fence, status, adapter_count);
    pthread_mutex_unlock(&mutex);
    json_decref(order);
    Net_Reply(fd, status, "", "{}");
    write_entry();
}

static void
send_report(int fd, LastAnswer *last)
{
    json_t *json;

    pthread_mutex_lock(&mutex);
    json = json_pack("{s:s, s:o, s:[], s:b, s:I, s:I, s:s}", "stage", "both",
                     "models", list_models(), "coming", "busy", 0, "sequence",
                     (json_int_t)sequence, "born", (json_int_t)born, "state",
                     "ready");
    pthread_mutex_unlock(&mutex);
    snprintf(last->lines, sizeof(last->lines),
             "Content-Type: application/json\r\n");
    last->body = json_dumps(json, JSON_COMPACT);
    Net_Reply(fd, 200, last->lines, last->body);
    json_decref(json);
}

/* ---- requests ------------------------------------------------------------ */

/* Sends an answer without a length, in two halves. */
static void
answer_unframed(int fd, const char *attempt_id)
{
    char text[512 + HALF_BYTES];
    char half[HALF_BYTES + 1];
    int size;

    memset(half, 'a', HALF_BYTES);
    half[HALF_BYTES] = '\0';
    size = snprintf(text, sizeof(text),
                    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                    "Server-Seal: seal.%s.%s\r\n\r\n%s",
                    attempt_id, id, attempt_id, half);
    Net_SendAll(fd, text, (size_t)size);
    Lab_Record("worker %s has sent %d of %d body bytes of %s", id, HALF_BYTES,
               2 * HALF_BYTES, attempt_id);
    Lab_Sleep(ANSWER_PAUSE_MS);
    memset(half, 'b', HALF_BYTES);
    Net_SendAll(fd, half, HALF_BYTES);
    Lab_Record("worker %s has sent all body bytes of %s", id, attempt_id);
}

/* Answers with a length; the answer to HEAD has no body. */
static bool
answer_lookup(int fd, const NetRequest *request, const char *attempt_id)
{
    char text[512];
    char body[2 * HALF_BYTES + 1];
    int size = snprintf(text, sizeof(text),
                        "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                        "Server-Seal: seal.%s.%s\r\nContent-Length: %d\r\n"
                        "\r\n",
                        attempt_id, id, attempt_id, 2 * HALF_BYTES);

    memset(body, 'a', 2 * HALF_BYTES);
    return Net_SendAll(fd, text, (size_t)size) &&
           (strcmp(request->method, "HEAD") == 0 ||
            Net_SendAll(fd, body, 2 * HALF_BYTES));
}

/* Sends a stream of several seconds. */
static bool
answer_slowly(int fd, const char *attempt_id)
{
    char text[256];
    int size = snprintf(text, sizeof(text),
                        "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                        "Server-Seal: seal.%s.%s\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        attempt_id, id, attempt_id);
    bool is_sent = Net_SendAll(fd, text, (size_t)size);

    for (int i = 1; is_sent && i <= SLOW_EVENTS; i++) {
        char event[64];
        int event_size =
            snprintf(event, sizeof(event), "id: %d\ndata: x\n\n", i);

        size = snprintf(text, sizeof(text), "%x\r\n%s\r\n", event_size, event);
        is_sent = Net_SendAll(fd, text, (size_t)size);
        Lab_Sleep(SLOW_EVENT_MS);
    }
    return is_sent && Net_SendAll(fd, "0\r\n\r\n", 5);
}

/* Is the model loaded, or its adapter? */
static bool
holds_model(const char *model)
{
    const char *slash = strchr(model, '/');
    bool is_held = false;

    pthread_mutex_lock(&mutex);
    is_held = slash == NULL && has_model;
    for (int i = 0; slash != NULL && i < adapter_count; i++) {
        is_held = is_held || strcmp(adapters[i].name, slash + 1) == 0;
    }
    pthread_mutex_unlock(&mutex);
    return is_held;
}

/* Returns whether the connection goes on. */
static bool
take_request(int fd, const NetRequest *request)
{
    char attempt_id[64] = "";
    char instance[64] = "";
    char model[64] = "";
    char tenant[64];
    char key[64];
    char lines[256];

    Net_FindHeader(request->head, "Attempt-Id", attempt_id, 64);
    Net_FindHeader(request->head, "Expect-Instance", instance, 64);
    Net_FindHeader(request->head, "Model", model, 64);
    if ((instance[0] != '\0' && strcmp(instance, id) != 0) ||
        (model[0] != '\0' && !holds_model(model))) {
        Lab_Record("worker %s rejects %s", id, attempt_id);
        snprintf(lines, sizeof(lines), "Attempt-Id: %s\r\nNot-Executed: 1\r\n",
                 attempt_id);
        return Net_Reply(fd, 421, lines, "");
    }
    Lab_Record("worker %s runs %s", id, attempt_id);
    if (Net_FindHeader(request->head, "Tenant-Name", tenant, 64)) {
        Lab_Record("worker %s got %s of tenant %s", id, attempt_id, tenant);
    }
    if (Net_FindHeader(request->head, "Credential", key, 64)) {
        Lab_Record("worker %s got %s with key %s", id, attempt_id, key);
    }
    if (strncmp(request->path, "/status/", strlen("/status/")) == 0) {
        return answer_lookup(fd, request, attempt_id);
    }
    if (model[0] == '\0') {
        answer_unframed(fd, attempt_id);
        return false;
    }
    if (strcmp(request->path, "/memo/slow") == 0) {
        bool is_sent;

        count_run(model, 1);
        is_sent = answer_slowly(fd, attempt_id);
        count_run(model, -1);
        return is_sent;
    }
    if (strchr(model, '/') == NULL) {
        Lab_Sleep(ANSWER_PAUSE_MS);
    }
    snprintf(lines, sizeof(lines),
             "Attempt-Id: %s\r\nServer-Seal: seal.%s.%s\r\n"
             "Content-Type: text/event-stream\r\n",
             attempt_id, id, attempt_id);
    return Net_Reply(fd, 200, lines, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
}

static void
answer_health(int fd, LastAnswer *last)
{
    Lab_Record("worker %s is asked for its health", id);
    snprintf(last->lines, sizeof(last->lines), "Instance-Id: %s\r\n", id);
    last->body = strdup("");
    Net_Reply(fd, 200, last->lines, last->body);
}

static void
serve(int fd)
{
    NetRequest *request = malloc(sizeof(*request));
    LastAnswer last = {.body = NULL};
    bool goes_on = true;

    while (goes_on && Net_ReadRequest(fd, request)) {
        LastAnswer before = last;

        last.body = NULL;
        __atomic_add_fetch(&answer_count, 1, __ATOMIC_RELAXED);
        if (strcmp(request->path, "/report") == 0) {
            send_report(fd, &last);
        }
        else if (strcmp(request->path, "/order") == 0) {
            take_order(fd, request, &before);
        }
        else if (strcmp(request->path, "/health") == 0) {
            answer_health(fd, &last);
        }
        else {
            goes_on = take_request(fd, request);
        }
        free(before.body);
    }
    free(last.body);
    free(request);
    close(fd);
}

int
Worker_Main(int argc, char **argv)
{
    struct timespec now;

    if (argc < 11) {
        return 2;
    }
    Lab_Join();
    clock_gettime(CLOCK_REALTIME, &now);
    born = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    id = argv[2];
    service = argv[3];
    record_address = argv[5];
    store_address = argv[6];
    has_model = argv[7][0] == '1';
    while (adapter_count < atoi(argv[8]) && adapter_count < PLACES) {
        char name[64];

        snprintf(name, sizeof(name), "%s%d", argv[9], adapter_count);
        load(name);
    }
    repeat_interval = atoi(argv[10]);
    Net_Serve(argv[4], serve);
    for (;;) {
        write_entry();
        Lab_Sleep(LAB_BEAT_MS);
    }
}
