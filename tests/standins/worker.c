/*
 * Stand-in for a worker of the users' platform: plain requests and streams,
 * orders and reports, its own record in the store, and injected faults.  It
 * counts the runs of each Attempt-Id, so that tests can check that no attempt
 * ran twice, and that none ran that was reported as not run.
 *
 *   standin-worker ADDRESS STORE ID SERVICE ZONE KIND
 *                  [SEED [RECORD_ADDRESS [DEADLY_PART]]]
 *
 * KIND is plain or llm.  RECORD_ADDRESS is the address in its record, such as
 * that of a proxy; ADDRESS if absent.  DEADLY_PART is the value of knob deadly
 * in hexadecimal.
 *
 * Lines on standard output, which are complete even after the process was
 * killed; TIME is KcLoop_Now(), so that it can be compared with that of other
 * processes on the machine:
 *
 *   start TIME
 *   arrival ATTEMPT_ID TIME       a request, before it is looked at
 *   run ATTEMPT_ID                follows the arrival, if the request runs
 *   leaving ATTEMPT_ID TIME       answered with "Server-Leaving: 1"
 *   wait ATTEMPT_ID TIME SECONDS  answered 503 with "Retry-After: SECONDS"
 *   notice ATTEMPT_ID TIME        answered with a line of raw_notices
 *   customer ATTEMPT_ID NAME      after the arrival, if it has a Tenant-Name
 *   key ATTEMPT_ID                after the arrival, if it has a Credential
 *   header ATTEMPT_ID NAME: VALUE a header of any call, with knob headers
 *   deadly ATTEMPT_ID TIME        the process ends, as it was to begin an
 *                                 answer on the part of knob deadly
 *
 * A request's header Answer-Bytes gives the padding of its answer, or of each
 * event of it.
 *
 * Gateways don't bind their connections to an address of their own: the id
 * tells through which one a request came.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../../programs/request/http_call.h"
#include "raw_server.h"

#define STREAM_EVENTS 10
#define NOTICE_SIZE 128 /* of the lines that tell the worker's state */
#define ADAPTERS_MAX 15

/* Number of runs with one Attempt-Id. */
typedef struct Run {
    UT_hash_handle hh;
    char attempt_id[KC_CALLER_ID_MAX];
    int64_t count;
} Run;

/* An adapter of model m, the only one, loaded or loading. */
typedef struct Adapter {
    TAILQ_ENTRY(Adapter) link;
    char name[KC_NAME_MAX];
    int64_t version;
    KcTime loaded_at; /* in the future while it is loading */
} Adapter;

/* The request state of a connection whose request is running. */
typedef struct Job {
    int64_t next_event;
    bool is_stream;
    bool is_deadly;        /* its prompt has the part of knob deadly */
    bool is_unframed;      /* its answer ends with the connection */
    int64_t padding_bytes; /* of the answer, or of each event */
    char attempt_id[KC_CALLER_ID_MAX];
} Job;

static RawServer server;
static const char *address;
static const char *record_address;
static const char *store_address;
static const char *instance_id;
static const char *service;
static const char *zone;
static bool is_llm;
static bool has_model;
static int64_t order_sequence; /* orders executed so far */
static int64_t started_at_ms;  /* wall clock */
static Run *runs;
static int64_t run_count;
static int64_t repeated_run_count;
static int64_t running_count;
static int64_t overload_count; /* loads beyond ADAPTERS_MAX adapters */
/* Requests are turned away until then, by the knob retry_after; 0: not yet. */
static KcTime wait_until;
static TAILQ_HEAD(, Adapter) adapters = TAILQ_HEAD_INITIALIZER(adapters);

/* Percentages are drawn once for a plain request; those of reset, truncate,
 * garbage and mute are drawn for each event of a stream. */
static RawKnob knobs[] = {
    {"record_held", 0},  /* 1: its record is not written meanwhile */
    {"work_ms", 5},      /* time to an answer, or between two events */
    {"load_ms", 30},     /* time to load an adapter */
    {"places", 8},       /* concurrency limit; requests beyond it aren't run */
    {"error", 0},        /* percent run and answered by a failure */
    {"error_status", 0}, /* of it; 0: 500 */
    {"refuse", 0},       /* percent answered 503 and not run */
    {"reset", 0},        /* percent run, then the connection is reset */
    {"truncate", 0},     /* percent cut off in the middle of the answer */
    {"garbage", 0},      /* percent run and answered by invalid bytes */
    {"extra", 0},        /* percent of plain requests answered twice */
    {"stray", 0},        /* percent of answers with a row of strays behind */
    {"mute", 0},         /* percent run and never answered */
    {"early", 0},       /* percent of requests with a body refused before it */
    {"idle_race", 0},   /* percent of requests on a kept connection reset */
    {"late_orders", 0}, /* percent of orders executed but not answered */
    {"draining", 0},    /* 1: record and health check say draining */
    {"leaving", 0},     /* 1: all answers have "Server-Leaving: 1" */
    /* Seconds for which requests are answered 503 with Retry-After, from the
     * first one on; then 0 by itself. */
    {"retry_after", 0},
    {"raw_notice", 0},     /* number of a row of raw_notices; 0: none */
    {"endless", 0},        /* percent run and answered by bytes without end */
    {"endless_report", 0}, /* the same for reports, orders and health */
    {"endless_kind", 0},   /* pattern of endless.c; 0: any */
    /* Id of a part in Prompt-Prefix: the process ends when it begins to answer
     * on it; 0: none. */
    {"deadly", 0},
    {"headers", 0}, /* 1: the headers of all calls are printed */
    /* Percent of answers without a length or chunks, which end with their
     * connection; unframed_end is the number of a row of unframed_ends. */
    {"unframed", 0},
    {"unframed_end", 0},
    {NULL, 0},
};

/* Header lines that a caller should ignore; knob raw_notice. */
static const struct {
    const char *lines;
    bool turns_away; /* with 503 */
} raw_notices[] = {
    {"", false},
    {"Server-Leaving: 0\r\n", false},
    {"Server-Leaving: yes\r\n", false},
    {"Server-Leaving:\r\n", false},
    {"Server-Leaving: 11\r\n", false},
    {"Retry-After: 3600\r\n", false}, /* not in a 503 */
    {"Retry-After: -5\r\n", true},
    {"Retry-After:\r\n", true},
    {"Retry-After: 3600.5\r\n", true},
    {"Retry-After: soon\r\n", true},
    {"Retry-After: 3600 s\r\n", true},
    {"Retry-After: Wed, 21 Oct 2065 07:28:00 GMT\r\n", true},
    {"Retry-After: 3600\r\nRetry-After: 7200\r\n", true},
};

/* Answers to no request, with the place of a line that gives an id. */
static const char *const strays[] = {
    "HTTP/1.1 200 -\r\n%sContent-Length: 5\r\n\r\nstray",
    "HTTP/1.1 503 -\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 -\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    /* the beginning of a stream */
    "HTTP/1.1 200 -\r\n%sContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: x\n\n\r\n",
    /* cut off: in a name, in a value, in the body */
    "HTTP/1.1 503 -\r\n%sNot-Executed: 1\r\nServer-Lo",
    "HTTP/1.1 503 -\r\n%sNot-Executed: 1\r\nServer-Load: ",
    "HTTP/1.1 200 -\r\n%sContent-Length: 40\r\n\r\nstray",
};

#define STRAY_SIZE_MAX 256

/* ---- the record in the store --------------------------------------------- */

/* Lists the adapters that are loading, or those that are loaded. */
static json_t *
list_adapters(bool loading)
{
    json_t *list = json_array();
    const Adapter *adapter;
    KcTime now = KcLoop_Now();

    TAILQ_FOREACH (adapter, &adapters, link) {
        if ((adapter->loaded_at > now) == loading) {
            json_array_append_new(
                list, json_sprintf("%s%s@%" PRId64, loading ? "m/" : "",
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

/* The result is ignored: the record is written again at the next interval. */
static void
on_record_written(void *context, int status, const char *etag, KcBytes body)
{
    (void)context;
    (void)status;
    (void)etag;
    (void)body;
}

/* Creates (POST) or replaces (PUT) the worker's record. */
static void
write_record(const char *method)
{
    bool create = strcmp(method, "POST") == 0;
    json_t *object = json_pack(
        "{s:{s:s}, s:{s:s, s:s, s:s, s:s, s:I, s:s, s:i, s:o, s:I, s:I}}",
        "meta", "name", instance_id, "spec", "service", service, "address",
        record_address, "zone", zone, "version", "v1", "slots",
        (json_int_t)RawServer_GetKnob(&server, "places"), "state",
        RawServer_GetKnob(&server, "draining") != 0 ? "draining" : "ready",
        "cold_left_ms", 0, "models", list_models(), "sequence",
        (json_int_t)order_sequence, "born", (json_int_t)started_at_ms);
    char *text = json_dumps(object, JSON_COMPACT);
    char path[KC_OBJECT_NAME_MAX];
    KcHttpCallOptions options = {.loop = server.loop,
                                 .address = store_address,
                                 .method = method,
                                 .path = path,
                                 .progress_timeout = 1 * KC_SECOND,
                                 .body = {text, strlen(text)}};

    options.headers[0] = (KcHttpRequestHeader){"X-Standin", "1"};
    snprintf(path, sizeof(path),
             create ? "/objects/servers" : "/objects/servers/%s", instance_id);
    KcHttpCall_Fetch(&options, on_record_written, NULL);
    free(text);
    json_decref(object);
}

#define RECORD_INTERVAL (300 * KC_MS)

static KcTimer record_timer;

static void
on_record_due(KcTimer *timer, KcTime now)
{
    if (RawServer_GetKnob(&server, "record_held") == 0) {
        write_record("POST"); /* refused when the record exists */
        write_record("PUT");
    }
    KcTimers_Set(server.loop->timers, timer, now + RECORD_INTERVAL);
}

/* ---- the state of the worker in its answers ------------------------------ */

/* Time left for which requests are turned away with Retry-After. */
static KcTime
get_wait_left(void)
{
    KcTime now = KcLoop_Now();
    int64_t seconds = RawServer_GetKnob(&server, "retry_after");

    if (seconds == 0) {
        wait_until = 0;
        return 0;
    }
    if (wait_until == 0) {
        wait_until = now + seconds * KC_SECOND;
    }
    if (now >= wait_until) {
        RawServer_SetKnob(&server, "retry_after", 0);
        wait_until = 0;
        return 0;
    }
    return wait_until - now;
}

static bool
has_raw_notice(void)
{
    return RawServer_GetKnob(&server, "raw_notice") != 0;
}

/* The row of raw_notices for the present answers; the first is empty. */
static size_t
get_raw_notice(void)
{
    return (size_t)RawServer_GetKnob(&server, "raw_notice") %
           (sizeof(raw_notices) / sizeof(raw_notices[0]));
}

/* Writes the header lines of an answer that tell the worker's state, and logs
 * them; attempt_id is that of the request, "" for other calls.  wait_left is
 * that of a request that is turned away, else 0. */
static void
tell_state(char text[NOTICE_SIZE], const char *attempt_id, KcTime wait_left)
{
    bool is_leaving = RawServer_GetKnob(&server, "leaving") != 0;
    int64_t seconds = (wait_left + KC_SECOND - 1) / KC_SECOND;
    KcTime now = KcLoop_Now();
    int size = snprintf(text, NOTICE_SIZE, "%s%s",
                        is_leaving ? "Server-Leaving: 1\r\n" : "",
                        raw_notices[get_raw_notice()].lines);

    if (seconds > 0) {
        snprintf(text + size, NOTICE_SIZE - (size_t)size,
                 "Retry-After: %" PRId64 "\r\n", seconds);
    }
    if (attempt_id[0] == '\0') {
        return;
    }
    if (is_leaving) {
        printf("leaving %s %" PRId64 "\n", attempt_id, now);
    }
    if (seconds > 0) {
        printf("wait %s %" PRId64 " %" PRId64 "\n", attempt_id, now, seconds);
    }
    if (has_raw_notice()) {
        printf("notice %s %" PRId64 "\n", attempt_id, now);
    }
    fflush(stdout);
}

/* Replies to a call that is no request. */
static void
reply_own_call(RawConnection *connection, int status, const char *headers,
               const char *body)
{
    char lines[2 * NOTICE_SIZE];
    char notice[NOTICE_SIZE];

    tell_state(notice, "", 0);
    snprintf(lines, sizeof(lines), "%s%s", headers, notice);
    RawConnection_Reply(connection, status, lines, body);
}

/* ---- requests ------------------------------------------------------------ */

static void
count_run(const char *attempt_id)
{
    Run *run;

    run_count++;
    printf("run %s\n", attempt_id);
    fflush(stdout);
    HASH_FIND_STR(runs, attempt_id, run);
    if (run == NULL) {
        run = KcMem_New(sizeof(*run));
        KcText_Copy(run->attempt_id, attempt_id, sizeof(run->attempt_id));
        HASH_ADD_STR(runs, attempt_id, run);
    }
    repeated_run_count += ++run->count > 1 ? 1 : 0;
}

/* Writes the head of an answer; further_lines ends with the empty line. */
static void
write_head(RawConnection *connection, const Job *job, int status,
           const char *further_lines)
{
    char text[512];
    char notice[NOTICE_SIZE];
    int size;

    tell_state(notice, job->attempt_id, 0);
    size =
        snprintf(text, sizeof(text),
                 "HTTP/1.1 %d -\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\n"
                 "Server-Load: %" PRId64 ",0,%" PRId64 "\r\n%s%s",
                 status, job->attempt_id, instance_id, running_count,
                 RawServer_GetKnob(&server, "places"), notice, further_lines);
    RawConnection_Write(connection, text, (size_t)size);
}

static void
free_job(RawConnection *connection)
{
    KcTimers_Clear(server.loop->timers, &connection->timer);
    free(connection->request_state);
    connection->request_state = NULL;
    running_count--;
}

static void
write_padding(RawConnection *connection, int64_t size)
{
    char padding[16384];
    const int64_t part_max = sizeof(padding);

    memset(padding, '.', sizeof(padding));
    while (size > 0) {
        int64_t part = size < part_max ? size : part_max;

        RawConnection_Write(connection, padding, (size_t)part);
        size -= part;
    }
}

/* How an answer without framing ends. */
static const struct {
    const char *last_bytes; /* in place of the rest */
    bool is_reset;
    bool is_early; /* in the middle of the answer, or after half of the events
                    */
} unframed_ends[] = {
    {"", false, false},                /* as it should */
    {"", true, true},                  /* the worker is lost */
    {"id: 5\ndata: pie", false, true}, /* it closes inside an event */
};

static size_t
get_unframed_end(void)
{
    return (size_t)RawServer_GetKnob(&server, "unframed_end") %
           (sizeof(unframed_ends) / sizeof(unframed_ends[0]));
}

/* Ends an answer without framing. */
static void
end_unframed(RawConnection *connection)
{
    const char *last_bytes = unframed_ends[get_unframed_end()].last_bytes;

    RawConnection_Write(connection, last_bytes, strlen(last_bytes));
    free_job(connection);
    if (unframed_ends[get_unframed_end()].is_reset) {
        RawConnection_Reset(connection);
    }
    else {
        RawConnection_CloseWhenSent(connection);
    }
}

/* After an answer by knob stray, writes an answer to no request: without an
 * id, with another one, or with that of the request that was answered. */
static void
draw_stray(RawConnection *connection, const char *attempt_id)
{
    char id_lines[3][KC_CALLER_ID_MAX + 16] = {"", "Attempt-Id: another\r\n"};
    char text[STRAY_SIZE_MAX];

    if (!RawServer_DrawFault(&server, "stray")) {
        return;
    }
    snprintf(id_lines[2], sizeof(id_lines[2]), "Attempt-Id: %.*s\r\n",
             KC_CALLER_ID_MAX - 1, attempt_id);
    snprintf(text, sizeof(text),
             strays[RawServer_DrawNumber(&server,
                                         sizeof(strays) / sizeof(strays[0]))],
             id_lines[RawServer_DrawNumber(&server, 3)]);
    RawConnection_WriteStray(
        connection, text,
        (RawMoment)RawServer_DrawNumber(&server, RAW_MOMENT_COUNT));
}

/* 200, or by knob error a failure of a request that has run. */
static int
draw_status(void)
{
    int error_status = (int)RawServer_GetKnob(&server, "error_status");

    if (!RawServer_DrawFault(&server, "error")) {
        return 200;
    }
    return error_status != 0 ? error_status : 500;
}

/* Answers by a body with a length. */
static void
answer_plain(RawConnection *connection, const Job *job, int status)
{
    char body[128];
    char further_lines[64];
    int size = snprintf(body, sizeof(body), "answer %s of %s", job->attempt_id,
                        instance_id);

    if (job->is_unframed) {
        write_head(connection, job, status, "\r\n");
        RawConnection_Write(connection, body,
                            (size_t)(unframed_ends[get_unframed_end()].is_early
                                         ? size / 2
                                         : size));
        end_unframed(connection);
        return;
    }
    if (RawServer_DrawFault(&server, "truncate")) {
        snprintf(further_lines, sizeof(further_lines),
                 "Content-Length: %" PRId64 "\r\n\r\n",
                 size + job->padding_bytes + 9);
        write_head(connection, job, status, further_lines);
        RawConnection_Write(connection, body, (size_t)size);
        free_job(connection);
        RawConnection_CloseWhenSent(connection);
        return;
    }
    snprintf(further_lines, sizeof(further_lines),
             "Content-Length: %" PRId64 "\r\n\r\n", size + job->padding_bytes);
    for (int i = RawServer_DrawFault(&server, "extra") ? 2 : 1; i > 0; i--) {
        write_head(connection, job, status, further_lines);
        RawConnection_Write(connection, body, (size_t)size);
        write_padding(connection, job->padding_bytes);
    }
    draw_stray(connection, job->attempt_id);
    free_job(connection);
    RawConnection_ReadNextRequest(connection);
}

/* Writes an event of a stream, as one HTTP chunk unless it is not framed. */
static void
write_event(RawConnection *connection, const Job *job)
{
    char event[128];
    char chunk[160];
    int size =
        snprintf(event, sizeof(event), "id: %" PRId64 "\ndata: piece %" PRId64,
                 job->next_event, job->next_event);
    int start_size =
        snprintf(chunk, sizeof(chunk), "%" PRIx64 "\r\n%s",
                 (uint64_t)(size + job->padding_bytes + 2), event);

    if (job->is_unframed) {
        RawConnection_Write(connection, event, (size_t)size);
    }
    else {
        RawConnection_Write(connection, chunk, (size_t)start_size);
    }
    write_padding(connection, job->padding_bytes);
    RawConnection_Write(connection, "\n\n\r\n", job->is_unframed ? 2 : 4);
}

/* Writes the next event of a stream, or its end. */
static void
continue_stream(RawConnection *connection, Job *job, KcTime now)
{
    if (job->is_unframed && job->next_event >= STREAM_EVENTS / 2 &&
        unframed_ends[get_unframed_end()].is_early) {
        end_unframed(connection);
        return;
    }
    if (job->next_event < STREAM_EVENTS) {
        write_event(connection, job);
        job->next_event++;
        if (RawServer_DrawFault(&server, "truncate")) {
            RawConnection_Write(connection, "20\r\nid: ", 8);
            free_job(connection);
            RawConnection_CloseWhenSent(connection);
            return;
        }
        KcTimers_Set(server.loop->timers, &connection->timer,
                     now + RawServer_GetKnob(&server, "work_ms") * KC_MS);
        return;
    }
    if (job->is_unframed) {
        end_unframed(connection);
        return;
    }
    RawConnection_Write(connection, "0\r\n\r\n", 5);
    draw_stray(connection, job->attempt_id);
    free_job(connection);
    RawConnection_ReadNextRequest(connection);
}

static void
on_job_timer(KcTimer *timer, KcTime now)
{
    RawConnection *connection = timer->owner;
    Job *job = connection->request_state;

    if (job->is_deadly) {
        printf("deadly %s %" PRId64 "\n", job->attempt_id, now);
        fflush(stdout);
        _exit(1);
    }
    if (RawServer_DrawFault(&server, "mute")) {
        return;
    }
    if (RawServer_DrawFault(&server, "reset")) {
        RawConnection_Reset(connection);
        return;
    }
    if (RawServer_DrawFault(&server, "garbage")) {
        RawConnection_Write(connection, "spoilt\r\n\r\n", 10);
        free_job(connection);
        RawConnection_CloseWhenSent(connection);
        return;
    }
    if (connection->head_sent == 0) {
        int status = draw_status();

        if (!job->is_stream || status != 200) {
            answer_plain(connection, job, status);
            return;
        }
    }
    if (job->next_event >= 0 && connection->head_sent == 0) {
        connection->head_sent = 1;
        write_head(connection, job, 200,
                   job->is_unframed ? "Content-Type: text/event-stream\r\n\r\n"
                                    : "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n");
    }
    continue_stream(connection, job, now);
}

static void
on_connection_lost(RawConnection *connection)
{
    free_job(connection);
}

/* True when a request's model, "m" or "m/adapter", is loaded; always for a
 * plain worker. */
static bool
is_model_loaded(const char *model)
{
    const Adapter *adapter;
    const char *slash = strchr(model, '/');

    if (!is_llm || slash == NULL) {
        return !is_llm || has_model;
    }
    TAILQ_FOREACH (adapter, &adapters, link) {
        if (strcmp(adapter->name, slash + 1) == 0 &&
            adapter->loaded_at <= KcLoop_Now()) {
            return true;
        }
    }
    return false;
}

/* True when the request's prompt has the part of knob deadly. */
static bool
is_prompt_deadly(const RawConnection *connection)
{
    int64_t deadly = RawServer_GetKnob(&server, "deadly");
    const char *part = RawConnection_FindHeader(connection, "Prompt-Prefix");

    while (deadly != 0 && *part != '\0') {
        if ((int64_t)strtoull(part, NULL, 16) == deadly) {
            return true;
        }
        part += strcspn(part, ",");
        part += *part == ',' ? 1 : 0;
    }
    return false;
}

/* wait_left: see tell_state(). */
static void
reply_not_run(RawConnection *connection, int status, KcTime wait_left)
{
    char id[KC_CALLER_ID_MAX];
    char lines[2 * NOTICE_SIZE + KC_CALLER_ID_MAX];
    char notice[NOTICE_SIZE];

    KcText_Copy(id, RawConnection_FindHeader(connection, "Attempt-Id"),
                sizeof(id));
    tell_state(notice, id, wait_left);
    snprintf(lines, sizeof(lines), "Attempt-Id: %s\r\nNot-Executed: 1\r\n%s",
             id, notice);
    RawConnection_Reply(connection, status, lines, "");
    draw_stray(connection, id);
}

static void
log_arrival(const RawConnection *connection)
{
    const char *id = RawConnection_FindHeader(connection, "Attempt-Id");
    const char *customer = RawConnection_FindHeader(connection, "Tenant-Name");

    printf("arrival %s %" PRId64 "\n", id, KcLoop_Now());
    if (customer[0] != '\0') {
        printf("customer %s %s\n", id, customer);
    }
    if (RawConnection_FindHeader(connection, "Credential")[0] != '\0') {
        printf("key %s\n", id);
    }
    fflush(stdout);
}

static void
start_job(RawConnection *connection)
{
    const char *expected_instance =
        RawConnection_FindHeader(connection, "Expect-Instance");
    const char *last_event_id =
        RawConnection_FindHeader(connection, "Last-Event-Id");
    KcTime wait_left = get_wait_left();
    Job *job;

    log_arrival(connection);
    if ((expected_instance[0] != '\0' &&
         strcmp(expected_instance, instance_id) != 0) ||
        !is_model_loaded(RawConnection_FindHeader(connection, "Model"))) {
        reply_not_run(connection, 421, 0);
        return;
    }
    if (running_count >= RawServer_GetKnob(&server, "places") ||
        RawServer_DrawFault(&server, "refuse") || wait_left > 0 ||
        raw_notices[get_raw_notice()].turns_away) {
        reply_not_run(connection, 503, wait_left);
        return;
    }
    if (RawServer_GetKnob(&server, "endless") > 0 &&
        RawConnection_DrawEndless(connection, "endless")) {
        count_run(RawConnection_FindHeader(connection, "Attempt-Id"));
        return;
    }
    job = KcMem_New(sizeof(*job));
    KcText_Copy(job->attempt_id,
                RawConnection_FindHeader(connection, "Attempt-Id"),
                sizeof(job->attempt_id));
    job->is_stream = is_llm;
    job->is_deadly = is_prompt_deadly(connection);
    job->is_unframed = RawServer_DrawFault(&server, "unframed");
    job->padding_bytes = strtoll(
        RawConnection_FindHeader(connection, "Answer-Bytes"), NULL, 10);
    job->next_event =
        last_event_id[0] != '\0' ? strtoll(last_event_id, NULL, 10) + 1 : 0;
    connection->request_state = job;
    connection->head_sent = 0;
    running_count++;
    count_run(job->attempt_id);
    KcTimers_Set(server.loop->timers, &connection->timer,
                 KcLoop_Now() + RawServer_GetKnob(&server, "work_ms") * KC_MS);
}

/* ---- orders and reports -------------------------------------------------- */

static void
reply_report(RawConnection *connection)
{
    json_t *json = json_pack(
        "{s:s, s:o, s:o, s:b, s:I, s:I, s:I}", "stage", "both", "models",
        list_models(), "coming", list_adapters(true), "busy", 0, "sequence",
        (json_int_t)order_sequence, "born", (json_int_t)started_at_ms,
        "active", (json_int_t)running_count);
    char *text = json_dumps(json, JSON_COMPACT);

    reply_own_call(connection, 200, "Content-Type: application/json\r\n",
                   text);
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

/* Loads an adapter, or the model when name is NULL.  Returns the status. */
static int
load_adapter(const char *name, int64_t version)
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
    adapter->loaded_at =
        KcLoop_Now() + RawServer_GetKnob(&server, "load_ms") * KC_MS;
    TAILQ_FOREACH (adapter, &adapters, link) {
        count++;
    }
    overload_count += count > ADAPTERS_MAX ? 1 : 0;
    return 202;
}

static int
unload_adapter(const char *name)
{
    Adapter *adapter = name != NULL ? find_adapter(name) : NULL;

    if (adapter != NULL) {
        TAILQ_REMOVE(&adapters, adapter, link);
        free(adapter);
    }
    return 200;
}

/* Executes an order unless its fields or its expected sequence don't fit.
 * Returns the status of the answer. */
static int
execute_order(const json_t *order)
{
    const char *op_code = json_string_value(json_object_get(order, "op_code"));
    const char *name = json_string_value(json_object_get(order, "adapter"));
    const json_t *expected_sequence = json_object_get(order, "expect");

    if (op_code == NULL || json_object_get(order, "holder") == NULL ||
        json_object_get(order, "fence_token") == NULL) {
        return 400;
    }
    if (json_is_integer(expected_sequence) &&
        json_integer_value(expected_sequence) != order_sequence) {
        return 409;
    }
    order_sequence++;
    return strcmp(op_code, "load") == 0
               ? load_adapter(name, json_integer_value(
                                        json_object_get(order, "version")))
               : unload_adapter(name);
}

static void
on_order(RawConnection *connection)
{
    const char *expected_instance =
        RawConnection_FindHeader(connection, "Expect-Instance");
    json_t *order = json_loads(KcBuffer_Data(&connection->body), 0, NULL);
    bool reply_lost = RawServer_DrawFault(&server, "late_orders");
    int status = expected_instance[0] != '\0' &&
                         strcmp(expected_instance, instance_id) != 0
                     ? 421
                     : execute_order(order);

    json_decref(order);
    if (!reply_lost) {
        reply_own_call(connection, status, "", "{}");
    }
}

static void
on_health(RawConnection *connection)
{
    char headers[128];

    snprintf(headers, sizeof(headers), "Instance-Id: %s\r\n", instance_id);
    reply_own_call(connection,
                   RawServer_GetKnob(&server, "draining") != 0 ? 503 : 200,
                   headers, "");
}

/* Is it a call to the worker itself, not a request? */
static bool
is_own_call(const char *target)
{
    return strcmp(target, "/report") == 0 || strcmp(target, "/order") == 0 ||
           strcmp(target, "/health") == 0;
}

static bool
has_body(const RawConnection *connection)
{
    return strtoll(RawConnection_FindHeader(connection, "Content-Length"),
                   NULL, 10) > 0 ||
           RawConnection_FindHeader(connection, "Transfer-Encoding")[0] !=
               '\0';
}

static void
on_request_head(RawConnection *connection)
{
    const char *target = connection->message->target;

    if (is_own_call(target) || strncmp(target, "/standin/", 9) == 0) {
        return;
    }
    if (connection->is_kept && RawServer_DrawFault(&server, "idle_race")) {
        RawConnection_Reset(connection);
    }
    else if (has_body(connection) && RawServer_DrawFault(&server, "early")) {
        log_arrival(connection);
        reply_not_run(connection, 503, 0);
        connection->is_answered = true;
    }
}

static void
log_headers(const RawConnection *connection)
{
    const KcHttpMessage *message = connection->message;
    const char *attempt_id =
        RawConnection_FindHeader(connection, "Attempt-Id");

    for (size_t i = 0; i < message->field_count; i++) {
        printf("header %s %s: %s\n", attempt_id[0] != '\0' ? attempt_id : "-",
               message->fields[i].name, message->fields[i].value);
    }
    fflush(stdout);
}

static void
on_request(RawConnection *connection)
{
    const char *target = connection->message->target;

    if (RawServer_GetKnob(&server, "headers") > 0) {
        log_headers(connection);
    }
    if (is_own_call(target) &&
        RawServer_GetKnob(&server, "endless_report") > 0 &&
        RawConnection_DrawEndless(connection, "endless_report")) {
        return;
    }
    if (strcmp(target, "/report") == 0) {
        reply_report(connection);
    }
    else if (strcmp(target, "/order") == 0) {
        on_order(connection);
    }
    else if (strcmp(target, "/health") == 0) {
        on_health(connection);
    }
    else {
        start_job(connection);
    }
}

static void
add_state(json_t *state)
{
    json_t *runs_by_attempt = json_object();
    Run *run;
    Run *next;

    HASH_ITER(hh, runs, run, next)
    {
        json_object_set_new(runs_by_attempt, run->attempt_id,
                            json_integer(run->count));
    }
    json_object_set_new(state, "runs", json_integer(run_count));
    json_object_set_new(state, "twice", json_integer(repeated_run_count));
    json_object_set_new(state, "running", json_integer(running_count));
    json_object_set_new(state, "overloads", json_integer(overload_count));
    json_object_set_new(state, "sequence", json_integer(order_sequence));
    json_object_set_new(state, "ran", runs_by_attempt);
}

static const RawServerOptions server_options = {
    .knobs = knobs,
    .on_request = on_request,
    .on_connection_lost = on_connection_lost,
    .add_state = add_state,
    .on_timer = on_job_timer,
    .on_request_head = on_request_head};

int
main(int argc, char **argv)
{
    if (argc < 7) {
        fprintf(stderr, "standin-worker ADDRESS STORE ID SERVICE ZONE KIND "
                        "[SEED [RECORD_ADDRESS [DEADLY_PART]]]\n");
        return 2;
    }
    address = argv[1];
    record_address = argc > 8 ? argv[8] : address;
    store_address = argv[2];
    instance_id = argv[3];
    service = argv[4];
    zone = argv[5];
    is_llm = strcmp(argv[6], "llm") == 0;
    has_model = is_llm;
    RawServer_Init(&server, &server_options, address,
                   argc > 7 ? strtoull(argv[7], NULL, 10) : 1);
    if (argc > 9) {
        RawServer_SetKnob(&server, "deadly",
                          (int64_t)strtoull(argv[9], NULL, 16));
    }
    printf("start %" PRId64 "\n", KcLoop_Now());
    fflush(stdout);
    started_at_ms = (KcLoop_Now() + server.loop->wall_offset) / KC_MS;
    KcTimer_Init(&record_timer, on_record_due, NULL);
    KcTimers_Set(server.loop->timers, &record_timer, KcLoop_Now());
    RawServer_Run(&server);
    return 0;
}
