/*
 * A stand-in for a worker of the platform: plain requests and streams, orders
 * and reports, its own record in the store, and the ways in which it fails.
 * It remembers every request that it ran, for tests that ask whether one ran
 * twice, or after it was said not to run.
 *
 *   standin-worker ADDRESS STORE ID SERVICE ZONE KIND [SEED [TOLD]]
 * KIND is plain or llm; TOLD is the address that its record gives.  Each run
 * is a line "run REQUEST" on standard output, which outlives the process.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../programs/request/http_call.h"
#include "raw.h"

#define EVENTS 10 /* of a stream */
#define ADAPTERS_MAX 15

/* A request that was run. */
typedef struct Run {
    UT_hash_handle hh;
    char id[KC_CALLER_ID_MAX];
    int64_t count;
} Run;

/* An adapter of the one model, m. */
typedef struct Adapter {
    TAILQ_ENTRY(Adapter) link;
    char name[KC_NAME_MAX];
    int64_t version;
    KcTime ready_at;
} Adapter;

/* The request that a connection is busy with. */
typedef struct Job {
    int64_t next; /* event */
    bool stream;
    char id[KC_CALLER_ID_MAX];
} Job;

static Raw raw;
static const char *address;
static const char *told; /* address in the record */
static const char *store;
static const char *id;
static const char *service;
static const char *zone;
static bool llm;
static bool has_model;
static int64_t sequence;
static int64_t born;
static Run *runs;
static int64_t run_count;
static int64_t twice;
static int64_t running;
static int64_t overloads;
static TAILQ_HEAD(, Adapter) adapters = TAILQ_HEAD_INITIALIZER(adapters);

static RawKnob knobs[] = {
    {"work_ms", 5},     /* time to an answer, or between two events */
    {"load_ms", 30},    /* time to load an adapter */
    {"places", 8},      /* requests at once; more are not run */
    {"error", 0},       /* percent answered 500, having run */
    {"refuse", 0},      /* percent not run, 503 */
    {"reset", 0},       /* percent reset after they ran */
    {"truncate", 0},    /* percent cut in the middle */
    {"garbage", 0},     /* percent answered by bytes that are no answer */
    {"extra", 0},       /* percent answered twice */
    {"mute", 0},        /* percent never answered */
    {"late_orders", 0}, /* percent of orders carried out unanswered */
    {"draining", 0},    /* the record says so */
    {NULL, 0},
};

/* ---- the record in the store --------------------------------------------- */

static json_t *
list_adapters(bool coming)
{
    json_t *list = json_array();
    const Adapter *adapter;
    KcTime now = KcLoop_Now();

    TAILQ_FOREACH (adapter, &adapters, link) {
        if ((adapter->ready_at > now) == coming) {
            json_array_append_new(
                list, json_sprintf("%s%s@%" PRId64, coming ? "m/" : "",
                                   adapter->name, adapter->version));
        }
    }
    return list;
}

static json_t *
list_models(void)
{
    json_t *models = json_array();

    if (has_model) {
        json_array_append_new(models, json_pack("{s:s, s:i, s:o}", "name", "m",
                                                "version", 1, "adapters",
                                                list_adapters(false)));
    }
    return models;
}

static void
on_written(void *context, int status, const char *etag, KcBytes body)
{
    (void)context;
    (void)status;
    (void)etag;
    (void)body;
}

static void
write_record(const char *method)
{
    bool create = strcmp(method, "POST") == 0;
    json_t *object = json_pack(
        "{s:{s:s}, s:{s:s, s:s, s:s, s:s, s:I, s:s, s:i, s:o, s:I, s:I}}",
        "meta", "name", id, "spec", "service", service, "address", told,
        "zone", zone, "version", "v1", "slots",
        (json_int_t)Raw_Knob(&raw, "places"), "state",
        Raw_Knob(&raw, "draining") != 0 ? "draining" : "ready", "cold_left_ms",
        0, "models", list_models(), "sequence", (json_int_t)sequence, "born",
        (json_int_t)born);
    char *text = json_dumps(object, JSON_COMPACT);
    char path[KC_OBJECT_NAME_MAX];
    KcHttpCallOptions options = {.loop = raw.loop,
                                 .address = store,
                                 .method = method,
                                 .path = path,
                                 .progress_timeout = 1 * KC_SECOND,
                                 .body = {text, strlen(text)}};

    options.headers[0] = (KcHttpRequestHeader){"X-Standin", "1"};
    snprintf(path, sizeof(path),
             create ? "/objects/servers" : "/objects/servers/%s", id);
    KcHttpCall_Fetch(&options, on_written, NULL);
    free(text);
    json_decref(object);
}

#define BEAT (300 * KC_MS)

static KcTimer beat_timer;

static void
on_beat(KcTimer *timer, KcTime now)
{
    write_record("POST"); /* creates it where it is missing */
    write_record("PUT");
    KcTimers_Set(raw.loop->timers, timer, now + BEAT);
}

/* ---- requests ------------------------------------------------------------ */

static void
note_run(const char *request)
{
    Run *run;

    run_count++;
    printf("run %s\n", request);
    fflush(stdout);
    HASH_FIND_STR(runs, request, run);
    if (run == NULL) {
        run = KcMem_New(sizeof(*run));
        KcText_Copy(run->id, request, sizeof(run->id));
        HASH_ADD_STR(runs, id, run);
    }
    twice += ++run->count > 1 ? 1 : 0;
}

static void
head(RawConnection *connection, const Job *job, int status, const char *rest)
{
    char text[512];
    int size =
        snprintf(text, sizeof(text),
                 "HTTP/1.1 %d -\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\n"
                 "Server-Load: %" PRId64 ",0,%" PRId64 "\r\n%s",
                 status, job->id, id, running, Raw_Knob(&raw, "places"), rest);

    Raw_Write(connection, text, (size_t)size);
}

static void
free_job(RawConnection *connection)
{
    KcTimers_Clear(raw.loop->timers, &connection->timer);
    free(connection->owner);
    connection->owner = NULL;
    running--;
}

static void
end_plain(RawConnection *connection, const Job *job)
{
    char body[128];
    char rest[64];
    int status = Raw_Chance(&raw, "error") ? 500 : 200;
    int size = snprintf(body, sizeof(body), "answer %s of %s", job->id, id);

    if (Raw_Chance(&raw, "truncate")) {
        snprintf(rest, sizeof(rest), "Content-Length: %d\r\n\r\n", size + 9);
        head(connection, job, status, rest);
        Raw_Write(connection, body, (size_t)size);
        free_job(connection);
        Raw_Close(connection);
        return;
    }
    snprintf(rest, sizeof(rest), "Content-Length: %d\r\n\r\n", size);
    for (int i = Raw_Chance(&raw, "extra") ? 2 : 1; i > 0; i--) {
        head(connection, job, status, rest);
        Raw_Write(connection, body, (size_t)size);
    }
    free_job(connection);
    Raw_Next(connection);
}

static void
write_event(RawConnection *connection, int64_t number)
{
    char event[128];
    char chunk[160];
    int size = snprintf(event, sizeof(event),
                        "id: %" PRId64 "\ndata: piece %" PRId64 "\n\n", number,
                        number);
    int total =
        snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", (unsigned)size, event);

    Raw_Write(connection, chunk, (size_t)total);
}

static void
go_on_stream(RawConnection *connection, Job *job, KcTime now)
{
    if (job->next < EVENTS) {
        write_event(connection, job->next++);
        if (Raw_Chance(&raw, "truncate")) {
            Raw_Write(connection, "20\r\nid: ", 8);
            free_job(connection);
            Raw_Close(connection);
            return;
        }
        KcTimers_Set(raw.loop->timers, &connection->timer,
                     now + Raw_Knob(&raw, "work_ms") * KC_MS);
        return;
    }
    Raw_Write(connection, "0\r\n\r\n", 5);
    free_job(connection);
    Raw_Next(connection);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    RawConnection *connection = timer->owner;
    Job *job = connection->owner;

    if (Raw_Chance(&raw, "mute")) {
        return;
    }
    if (Raw_Chance(&raw, "reset")) {
        Raw_Reset(connection);
        return;
    }
    if (Raw_Chance(&raw, "garbage")) {
        Raw_Write(connection, "spoilt\r\n\r\n", 10);
        free_job(connection);
        Raw_Close(connection);
        return;
    }
    if (!job->stream) {
        end_plain(connection, job);
        return;
    }
    if (job->next >= 0 && connection->number == 0) {
        connection->number = 1;
        head(connection, job, 200,
             "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
    }
    go_on_stream(connection, job, now);
}

static void
gone(RawConnection *connection)
{
    free_job(connection);
}

/* Is what the request names here?  "m" or "m/adapter". */
static bool
is_held(const char *model)
{
    const Adapter *adapter;
    const char *slash = strchr(model, '/');

    if (!llm || slash == NULL) {
        return !llm || has_model;
    }
    TAILQ_FOREACH (adapter, &adapters, link) {
        if (strcmp(adapter->name, slash + 1) == 0 &&
            adapter->ready_at <= KcLoop_Now()) {
            return true;
        }
    }
    return false;
}

static void
not_run(RawConnection *connection, int status)
{
    Raw_Reply(connection, status, "Not-Executed: 1\r\n", "");
}

static void
begin(RawConnection *connection)
{
    const char *expected = Raw_Header(connection, "Expect-Instance");
    const char *resume = Raw_Header(connection, "Last-Event-Id");
    Job *job;

    if ((expected[0] != '\0' && strcmp(expected, id) != 0) ||
        !is_held(Raw_Header(connection, "Model"))) {
        not_run(connection, 421);
        return;
    }
    if (running >= Raw_Knob(&raw, "places") || Raw_Chance(&raw, "refuse")) {
        not_run(connection, 503);
        return;
    }
    job = KcMem_New(sizeof(*job));
    KcText_Copy(job->id, Raw_Header(connection, "Attempt-Id"),
                sizeof(job->id));
    job->stream = llm;
    job->next = resume[0] != '\0' ? strtoll(resume, NULL, 10) + 1 : 0;
    connection->owner = job;
    connection->number = 0;
    running++;
    note_run(job->id);
    KcTimers_Set(raw.loop->timers, &connection->timer,
                 KcLoop_Now() + Raw_Knob(&raw, "work_ms") * KC_MS);
}

/* ---- orders and reports -------------------------------------------------- */

static void
report(RawConnection *connection)
{
    json_t *json =
        json_pack("{s:s, s:o, s:o, s:b, s:I, s:I, s:I}", "stage", "both",
                  "models", list_models(), "coming", list_adapters(true),
                  "busy", 0, "sequence", (json_int_t)sequence, "born",
                  (json_int_t)born, "active", (json_int_t)running);
    char *text = json_dumps(json, JSON_COMPACT);

    Raw_Reply(connection, 200, "Content-Type: application/json\r\n", text);
    free(text);
    json_decref(json);
}

static Adapter *
find_adapter(const char *name)
{
    Adapter *adapter;

    TAILQ_FOREACH (adapter, &adapters, link) {
        if (strcmp(adapter->name, name) == 0) {
            return adapter;
        }
    }
    return NULL;
}

static int
load(const char *name, int64_t version)
{
    Adapter *adapter;
    int count = 0;

    if (name == NULL) {
        has_model = true;
        return 202;
    }
    adapter = find_adapter(name);
    if (adapter == NULL) {
        adapter = KcMem_New(sizeof(*adapter));
        KcText_Copy(adapter->name, name, KC_NAME_MAX);
        TAILQ_INSERT_TAIL(&adapters, adapter, link);
    }
    adapter->version = version > 0 ? version : 1;
    adapter->ready_at = KcLoop_Now() + Raw_Knob(&raw, "load_ms") * KC_MS;
    TAILQ_FOREACH (adapter, &adapters, link) {
        count++;
    }
    overloads += count > ADAPTERS_MAX ? 1 : 0;
    return 202;
}

static int
unload(const char *name)
{
    Adapter *adapter = name != NULL ? find_adapter(name) : NULL;

    if (adapter != NULL) {
        TAILQ_REMOVE(&adapters, adapter, link);
        free(adapter);
    }
    return 200;
}

static int
carry_out(const json_t *order)
{
    const char *code = json_string_value(json_object_get(order, "op_code"));
    const char *name = json_string_value(json_object_get(order, "adapter"));
    const json_t *expect = json_object_get(order, "expect");

    if (code == NULL || json_object_get(order, "holder") == NULL ||
        json_object_get(order, "fence_token") == NULL) {
        return 400;
    }
    if (json_is_integer(expect) && json_integer_value(expect) != sequence) {
        return 409;
    }
    sequence++;
    return strcmp(code, "load") == 0
               ? load(name,
                      json_integer_value(json_object_get(order, "version")))
               : unload(name);
}

static void
on_order(RawConnection *connection)
{
    const char *expected = Raw_Header(connection, "Expect-Instance");
    json_t *order = json_loads(KcBuffer_Data(&connection->body), 0, NULL);
    bool lost = Raw_Chance(&raw, "late_orders");
    int status = expected[0] != '\0' && strcmp(expected, id) != 0
                     ? 421
                     : carry_out(order);

    json_decref(order);
    if (!lost) {
        Raw_Reply(connection, status, "", "{}");
    }
}

static void
on_health(RawConnection *connection)
{
    char headers[128];

    snprintf(headers, sizeof(headers), "Instance-Id: %s\r\n", id);
    Raw_Reply(connection, Raw_Knob(&raw, "draining") != 0 ? 503 : 200, headers,
              "");
}

static void
on_request(RawConnection *connection)
{
    const char *target = connection->message->target;

    if (strcmp(target, "/report") == 0) {
        report(connection);
    }
    else if (strcmp(target, "/order") == 0) {
        on_order(connection);
    }
    else if (strcmp(target, "/health") == 0) {
        on_health(connection);
    }
    else {
        begin(connection);
    }
}

static void
add_state(json_t *state)
{
    json_t *list = json_object();
    Run *run;
    Run *next;

    HASH_ITER(hh, runs, run, next)
    {
        json_object_set_new(list, run->id, json_integer(run->count));
    }
    json_object_set_new(state, "runs", json_integer(run_count));
    json_object_set_new(state, "twice", json_integer(twice));
    json_object_set_new(state, "running", json_integer(running));
    json_object_set_new(state, "overloads", json_integer(overloads));
    json_object_set_new(state, "sequence", json_integer(sequence));
    json_object_set_new(state, "ran", list);
}

static const RawOptions options = {knobs, on_request, gone, add_state,
                                   on_timer};

int
main(int argc, char **argv)
{
    if (argc < 7) {
        fprintf(stderr, "standin-worker ADDRESS STORE ID SERVICE ZONE KIND "
                        "[SEED [TOLD]]\n");
        return 2;
    }
    address = argv[1];
    told = argc > 8 ? argv[8] : address;
    store = argv[2];
    id = argv[3];
    service = argv[4];
    zone = argv[5];
    llm = strcmp(argv[6], "llm") == 0;
    has_model = llm;
    Raw_Init(&raw, &options, address,
             argc > 7 ? strtoull(argv[7], NULL, 10) : 1);
    born = (KcLoop_Now() + raw.loop->wall_offset) / KC_MS;
    KcTimer_Init(&beat_timer, on_beat, NULL);
    KcTimers_Set(raw.loop->timers, &beat_timer, KcLoop_Now());
    Raw_Run(&raw);
    return 0;
}
