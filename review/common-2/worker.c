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
static int late_expect; /* see LabWorker; 0 once it has come */
static char adapters[PLACES][64];
static int adapter_count;
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
        json_array_append_new(names, json_sprintf("%s@1", adapters[i]));
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

static void
load(const char *adapter)
{
    for (int i = 0; i < adapter_count; i++) {
        if (strcmp(adapters[i], adapter) == 0) {
            return;
        }
    }
    if (adapter_count == PLACES) {
        Lab_Record("worker %s holds %d adapters, is ordered to load %s, and "
                   "crashes",
                   id, PLACES, adapter);
        _exit(1);
    }
    snprintf(adapters[adapter_count++], sizeof(adapters[0]), "%s", adapter);
}

static void
unload(const char *adapter)
{
    for (int i = 0; i < adapter_count; i++) {
        if (strcmp(adapters[i], adapter) == 0) {
            memcpy(adapters[i], adapters[--adapter_count],
                   sizeof(adapters[0]));
        }
    }
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
        unload(adapter != NULL ? adapter : "");
        return 200;
    }
    if (adapter == NULL) {
        has_model = true;
    }
    else {
        load(adapter);
    }
    return 202;
}

/* Is this the order that is carried out late? It is written to a file. */
static bool
is_late(const json_t *order, const char *text)
{
    FILE *file;

    if (late_expect == 0 ||
        json_integer_value(json_object_get(order, "expect")) != late_expect ||
        strstr(text, "unload") != NULL) {
        return false;
    }
    late_expect = 0;
    file = fopen(Lab_LateOrderPath(), "w");
    if (file != NULL) {
        fputs(text, file);
        fclose(file);
    }
    return true;
}

static void
take_order(int fd, const NetRequest *request)
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
    if (is_late(order, request->body)) {
        status = 0;
    }
    else if (instance[0] != '\0' && strcmp(instance, id) != 0) {
        status = 421;
    }
    else {
        status = carry_out(order);
    }
    Lab_Record("order at %s %s adapter=%s expect=%lld holder=%s fence=%lld "
               "status=%d adapters=%d",
               id, operation != NULL ? operation : "-",
               adapter != NULL ? adapter : "-", expected,
               holder != NULL ? holder : "-", fence, status, adapter_count);
    pthread_mutex_unlock(&mutex);
    json_decref(order);
    if (status != 0) {
        Net_Reply(fd, status, "", "{}");
        write_entry();
    }
}

static void
send_report(int fd)
{
    char *text;
    json_t *json;

    pthread_mutex_lock(&mutex);
    json = json_pack("{s:s, s:o, s:[], s:b, s:I, s:I, s:s}", "stage", "both",
                     "models", list_models(), "coming", "busy", 0, "sequence",
                     (json_int_t)sequence, "born", (json_int_t)born, "state",
                     "ready");
    pthread_mutex_unlock(&mutex);
    text = json_dumps(json, JSON_COMPACT);
    Net_Reply(fd, 200, "Content-Type: application/json\r\n", text);
    free(text);
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
        is_held = is_held || strcmp(adapters[i], slash + 1) == 0;
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
        return answer_slowly(fd, attempt_id);
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
serve(int fd)
{
    NetRequest *request = malloc(sizeof(*request));
    char line[128];
    bool goes_on = true;

    snprintf(line, sizeof(line), "Instance-Id: %s\r\n", id);
    while (goes_on && Net_ReadRequest(fd, request)) {
        if (strcmp(request->path, "/report") == 0) {
            send_report(fd);
        }
        else if (strcmp(request->path, "/order") == 0) {
            take_order(fd, request);
        }
        else if (strcmp(request->path, "/health") == 0) {
            Lab_Record("worker %s is asked for its health", id);
            Net_Reply(fd, 200, line, "");
        }
        else {
            goes_on = take_request(fd, request);
        }
    }
    free(request);
    close(fd);
}

int
Worker_Main(int argc, char **argv)
{
    struct timespec now;

    if (argc < 10) {
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
        snprintf(adapters[adapter_count], sizeof(adapters[0]), "i%d",
                 adapter_count);
        adapter_count++;
    }
    late_expect = atoi(argv[9]);
    Net_Serve(argv[4], serve);
    for (;;) {
        write_entry();
        Lab_Sleep(LAB_BEAT_MS);
    }
}
