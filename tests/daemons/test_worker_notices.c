/*
 * Tests gateways as processes against workers that say in the heads of their
 * answers that they leave, or that they take no requests for a while: what
 * reaches the workers afterwards, and what callers receive.
 *
 * Attempt-Ids begin with the gateway that a request is sent to, "gGATEWAY-",
 * so that the workers' logs tell through which gateway a request came.
 */
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/process/loop.h"
#include "../steps.h"
#include "gateway_cluster.h"

#define ANSWER_SIZE 65536
#define ANSWER_TIMEOUT_MS 10000
/* Until something is seen that is bound to happen: tries, and pauses between
 * them. */
#define TRIES_MAX 600
#define TRY_INTERVAL_MS 50
/* Pause between the requests that are to miss a worker. */
#define SEND_INTERVAL_MS 20

typedef struct Fixture {
    GatewayCluster *cluster;
    int sequence; /* of the latest request */
    char id[32];  /* of the latest request */
    char answer[ANSWER_SIZE];
    /* A stream that is being read while other requests are sent, or -1. */
    int stream;
    /* Records of a worker that gateway 0 had read when it was restarted. */
    int ready_records;
    /* When the answer came that taught a gateway that all workers wait. */
    KcTime learnt_at;
    /* Sizes of the workers' logs when the case began. */
    long log_offsets[GATEWAY_CLUSTER_ROLE_COUNT][2];
} Fixture;

/* ---- requests ------------------------------------------------------------ */

static const struct {
    const char *name;
    GatewayClusterRole role;
    const char *request_line;
} call_kinds[] = {
    {"safe", GATEWAY_CLUSTER_PLAIN_WORKER, "GET /safe/x"},
    {"unsafe", GATEWAY_CLUSTER_PLAIN_WORKER, "POST /unsafe/x"},
    {"stream", GATEWAY_CLUSTER_LLM_WORKER, "POST /stream/x"},
    {"resume", GATEWAY_CLUSTER_LLM_WORKER, "POST /resume/x"},
};

static size_t
find_kind(const char *name)
{
    size_t kind = 0;

    while (strcmp(call_kinds[kind].name, name) != 0) {
        kind++;
        g_assert_cmpint(kind, <, G_N_ELEMENTS(call_kinds));
    }
    return kind;
}

/* Writes a request with a new id into text; returns its size. */
static size_t
format_request(Fixture *fixture, int gateway, size_t kind, int deadline_ms,
               char text[512])
{
    snprintf(fixture->id, sizeof(fixture->id), "g%d-%d", gateway,
             ++fixture->sequence);
    return (size_t)snprintf(
        text, 512,
        "%s HTTP/1.1\r\nHost: h\r\nModel: m\r\nAttempt-Id: %s\r\n"
        "Token-Count: 10,10\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n"
        "Connection: close\r\n\r\n",
        call_kinds[kind].request_line, fixture->id, deadline_ms);
}

/* Deadline of a request that may wait; the routes allow no more. */
#define DEADLINE_MS 4000

/* Sends a request and reads the whole answer.  Returns its status. */
static int
call(Fixture *fixture, int gateway, size_t kind, int deadline_ms)
{
    char request[512];
    size_t size = format_request(fixture, gateway, kind, deadline_ms, request);

    GatewayCluster_Exchange(
        GatewayCluster_GetAddress(fixture->cluster, GATEWAY_CLUSTER_GATEWAY,
                                  gateway),
        request, size, fixture->answer, ANSWER_SIZE, ANSWER_TIMEOUT_MS);
    return GatewayCluster_ReadStatus(fixture->answer);
}

static bool
is_answered(const Fixture *fixture, size_t kind, int status)
{
    return status == 200 &&
           (call_kinds[kind].role == GATEWAY_CLUSTER_PLAIN_WORKER ||
            g_str_has_suffix(fixture->answer, "0\r\n\r\n"));
}

/* ---- logs ---------------------------------------------------------------- */

/* A line of a worker's log about a request, see ../standins/worker.c. */
typedef struct LogLine {
    char event[16];
    char id[32];
    KcTime at;
    int64_t seconds;
} LogLine;

/* Reads the output of a process since the case began.  The caller frees it. */
static char *
read_log(const Fixture *fixture, GatewayClusterRole role, int number,
         long offset)
{
    char *text = GatewayCluster_ReadLog(fixture->cluster, role, number);
    char *part;

    g_assert_nonnull(text);
    part = g_strdup(text + offset);
    free(text);
    return part;
}

/* Reads the lines of a worker about the requests of one gateway.  The caller
 * frees the array. */
static GArray *
read_worker_log(const Fixture *fixture, GatewayClusterRole role, int number,
                int gateway)
{
    GArray *lines = g_array_new(FALSE, TRUE, sizeof(LogLine));
    char *text =
        read_log(fixture, role, number, fixture->log_offsets[role][number]);
    char **texts = g_strsplit(text, "\n", -1);
    char prefix[16];

    snprintf(prefix, sizeof(prefix), "g%d-", gateway);
    for (char **line_text = texts; *line_text != NULL; line_text++) {
        LogLine line = {.at = 0};

        if (sscanf(*line_text, "%15s %31s %" SCNd64 " %" SCNd64, line.event,
                   line.id, &line.at, &line.seconds) >= 2 &&
            g_str_has_prefix(line.id, prefix)) {
            g_array_append_val(lines, line);
        }
    }
    g_strfreev(texts);
    g_free(text);
    return lines;
}

/* Index of the next line with this event, from a start on; -1: none. */
static int
find_event(const GArray *lines, const char *event, int start)
{
    for (int i = start; i < (int)lines->len; i++) {
        if (strcmp(g_array_index(lines, LogLine, i).event, event) == 0) {
            return i;
        }
    }
    return -1;
}

static int
count_events(const Fixture *fixture, GatewayClusterRole role, int number,
             int gateway, const char *event)
{
    GArray *lines = read_worker_log(fixture, role, number, gateway);
    int count = 0;

    for (int i = find_event(lines, event, 0); i >= 0;
         i = find_event(lines, event, i + 1)) {
        count++;
    }
    g_array_free(lines, TRUE);
    return count;
}

/* ---- steps --------------------------------------------------------------- */

/* The words of a step name a worker as "plain 0" or "llm 0". */
static GatewayClusterRole
get_role(char **words)
{
    return strcmp(words[0], "plain") == 0 ? GATEWAY_CLUSTER_PLAIN_WORKER
                                          : GATEWAY_CLUSTER_LLM_WORKER;
}

/* knob ROLE NUMBER KNOBS */
static void
step_knob(Fixture *fixture, char **words)
{
    GatewayCluster_SetKnob(fixture->cluster, get_role(words + 1),
                           atoi(words[2]), words[3]);
}

/* store stop|continue */
static void
step_store(Fixture *fixture, char **words)
{
    GatewayCluster_SendSignal(fixture->cluster, GATEWAY_CLUSTER_STORE, 0,
                              strcmp(words[1], "stop") == 0 ? SIGSTOP
                                                            : SIGCONT);
}

/* until GATEWAY KIND ROLE NUMBER EVENT: sends requests until the worker has
 * logged one more such event for one of them. */
static void
step_until(Fixture *fixture, char **words)
{
    int gateway = atoi(words[1]);
    size_t kind = find_kind(words[2]);
    GatewayClusterRole role = get_role(words + 3);
    int number = atoi(words[4]);
    int count = count_events(fixture, role, number, gateway, words[5]);

    for (int i = 0; i < TRIES_MAX; i++) {
        call(fixture, gateway, kind, DEADLINE_MS);
        if (count_events(fixture, role, number, gateway, words[5]) > count) {
            return;
        }
        g_usleep(TRY_INTERVAL_MS * 1000);
    }
    g_error("no %s at %s %s: %s", words[5], words[3], words[4],
            fixture->answer);
}

/* served GATEWAY KIND COUNT: sends requests, which must all be answered. */
static void
step_served(Fixture *fixture, char **words)
{
    int gateway = atoi(words[1]);
    size_t kind = find_kind(words[2]);

    for (int i = atoi(words[3]); i > 0; i--) {
        int status = call(fixture, gateway, kind, DEADLINE_MS);

        if (!is_answered(fixture, kind, status)) {
            g_error("request %s: %s", fixture->id, fixture->answer);
        }
        g_usleep(SEND_INTERVAL_MS * 1000);
    }
}

/* sent GATEWAY KIND COUNT: sends requests, whatever the answers are. */
static void
step_sent(Fixture *fixture, char **words)
{
    for (int i = atoi(words[3]); i > 0; i--) {
        call(fixture, atoi(words[1]), find_kind(words[2]), DEADLINE_MS);
        g_usleep(SEND_INTERVAL_MS * 1000);
    }
}

/* shunned GATEWAY ROLE NUMBER EVENT: nothing of the gateway reached the worker
 * after the first such answer, or before the time that it gave. */
static void
step_shunned(Fixture *fixture, char **words)
{
    GArray *lines = read_worker_log(fixture, get_role(words + 2),
                                    atoi(words[3]), atoi(words[1]));
    int first = find_event(lines, words[4], 0);
    int arrival;

    g_assert_cmpint(first, >=, 0);
    arrival = find_event(lines, "arrival", first);
    if (arrival >= 0) {
        const LogLine *said = &g_array_index(lines, LogLine, first);
        const LogLine *arrived = &g_array_index(lines, LogLine, arrival);

        if (said->seconds == 0 ||
            arrived->at < said->at + said->seconds * KC_SECOND) {
            g_error("%s arrived after the answer to %s", arrived->id,
                    said->id);
        }
    }
    g_array_free(lines, TRUE);
}

/* waited GATEWAY ROLE NUMBER: the gateway sent the worker nothing for the time
 * that its first answer with Retry-After gave, and something later. */
static void
step_waited(Fixture *fixture, char **words)
{
    GArray *lines = read_worker_log(fixture, get_role(words + 2),
                                    atoi(words[3]), atoi(words[1]));
    int first = find_event(lines, "wait", 0);
    int arrival;
    const LogLine *wait;

    g_assert_cmpint(first, >=, 0);
    wait = &g_array_index(lines, LogLine, first);
    arrival = find_event(lines, "arrival", first);
    g_assert_cmpint(arrival, >=, 0);
    g_assert_cmpint(g_array_index(lines, LogLine, arrival).at - wait->at, >=,
                    wait->seconds * KC_SECOND);
    g_array_free(lines, TRUE);
}

/* Number of times that a gateway has read of a worker that it is ready. */
static int
count_ready_records(const Fixture *fixture, int gateway, char **worker_words)
{
    char *peer =
        g_strdup_printf("peer=%s-%s ", worker_words[0], worker_words[1]);
    char *text = read_log(fixture, GATEWAY_CLUSTER_GATEWAY, gateway, 0);
    char **lines = g_strsplit(text, "\n", -1);
    int count = 0;

    for (char **line = lines; *line != NULL; line++) {
        if (strstr(*line, peer) != NULL &&
            strstr(*line, "server is ready") != NULL) {
            count++;
        }
    }
    g_strfreev(lines);
    g_free(text);
    g_free(peer);
    return count;
}

/* restart ROLE NUMBER: another instance under the same id. */
static void
step_restart(Fixture *fixture, char **words)
{
    GatewayClusterRole role = get_role(words + 1);
    int number = atoi(words[2]);
    json_t *state = NULL;

    fixture->ready_records = count_ready_records(fixture, 0, words + 1);
    GatewayCluster_SendSignal(fixture->cluster, role, number, SIGKILL);
    GatewayCluster_WaitForExit(fixture->cluster, role, number);
    GatewayCluster_RestartProcess(fixture->cluster, role, number);
    for (int i = 0; i < TRIES_MAX && state == NULL; i++) {
        g_usleep(TRY_INTERVAL_MS * 1000);
        state = GatewayCluster_ReadState(fixture->cluster, role, number);
    }
    g_assert_nonnull(state);
    json_decref(state);
}

/* known GATEWAY ROLE NUMBER: waits until the gateway has read the record of
 * the instance that was started last. */
static void
step_known(Fixture *fixture, char **words)
{
    int gateway = atoi(words[1]);

    for (int i = 0; i < TRIES_MAX; i++) {
        if (count_ready_records(fixture, gateway, words + 2) >
            fixture->ready_records) {
            return;
        }
        g_usleep(TRY_INTERVAL_MS * 1000);
    }
    g_error("%s %s is not known again", words[2], words[3]);
}

/* open GATEWAY KIND: begins a stream and reads its first bytes. */
static void
step_open(Fixture *fixture, char **words)
{
    int gateway = atoi(words[1]);
    char request[512];
    size_t size = format_request(fixture, gateway, find_kind(words[2]),
                                 DEADLINE_MS, request);
    char status[16] = "";

    fixture->stream = GatewayCluster_Connect(GatewayCluster_GetAddress(
        fixture->cluster, GATEWAY_CLUSTER_GATEWAY, gateway));
    g_assert_cmpint(send(fixture->stream, request, size, MSG_NOSIGNAL), ==,
                    (ssize_t)size);
    g_assert_cmpint(recv(fixture->stream, status, 12, MSG_WAITALL), ==, 12);
    g_assert_cmpstr(status, ==, "HTTP/1.1 200");
}

/* running: the stream that was opened is not complete yet. */
static void
step_running(Fixture *fixture, char **words)
{
    ssize_t received = recv(fixture->stream, fixture->answer, ANSWER_SIZE - 1,
                            MSG_PEEK | MSG_DONTWAIT);

    (void)words;
    g_assert_cmpint(received, !=, 0);
    fixture->answer[received > 0 ? received : 0] = '\0';
    g_assert_false(g_str_has_suffix(fixture->answer, "0\r\n\r\n"));
}

/* complete ROLE NUMBER: the rest of the stream arrives, from this worker. */
static void
step_complete(Fixture *fixture, char **words)
{
    size_t length = 0;
    ssize_t received;
    char seal[64];

    while ((received = recv(fixture->stream, fixture->answer + length,
                            ANSWER_SIZE - 1 - length, 0)) > 0) {
        length += (size_t)received;
    }
    fixture->answer[length] = '\0';
    close(fixture->stream);
    fixture->stream = -1;
    snprintf(seal, sizeof(seal), "Server-Seal: %s-%s\r\n", words[1], words[2]);
    g_assert_nonnull(strstr(fixture->answer, seal));
    g_assert_nonnull(strstr(fixture->answer, "data: piece 9\n"));
    g_assert_true(g_str_has_suffix(fixture->answer, "0\r\n\r\n"));
}

/* The value of Retry-After in an answer, -1 when there is none. */
static double
find_retry_after(const char *answer)
{
    const char *value = strstr(answer, "\r\nRetry-After: ");
    const char *end = strstr(answer, "\r\n\r\n");

    return value != NULL && value < end ? strtod(value + 15, NULL) : -1;
}

/* refused GATEWAY KIND COUNT: requests with little time are refused with a
 * positive Retry-After. */
#define SHORT_DEADLINE_MS 600

static void
step_refused(Fixture *fixture, char **words)
{
    for (int i = atoi(words[3]); i > 0; i--) {
        int status = call(fixture, atoi(words[1]), find_kind(words[2]),
                          SHORT_DEADLINE_MS);

        g_test_message("%s", fixture->answer);
        g_assert_cmpint(status, ==, 503);
        g_assert_cmpfloat(find_retry_after(fixture->answer), >, 0);
    }
}

/* learnt: notes the time at which the latest answer came. */
static void
step_learnt(Fixture *fixture, char **words)
{
    (void)words;
    fixture->learnt_at = KcLoop_Now();
}

/* refused_in_time GATEWAY KIND COUNT SECONDS: as refused, and each Retry-After
 * is at most what is left of a wait that the gateway has learnt before
 * `learnt`. */
static void
step_refused_in_time(Fixture *fixture, char **words)
{
    for (int i = atoi(words[3]); i > 0; i--) {
        KcTime sent_at = KcLoop_Now();
        char *refused_words[] = {words[0], words[1], words[2], "1", NULL};
        double left;

        step_refused(fixture, refused_words);
        left = (double)(fixture->learnt_at + atoi(words[4]) * KC_SECOND -
                        sent_at) /
               KC_SECOND;
        /* The header has milliseconds. */
        g_assert_cmpfloat(find_retry_after(fixture->answer), <=,
                          left + 0.0005);
        g_usleep(SEND_INTERVAL_MS * 1000);
    }
}

/* logged GATEWAY ROLE NUMBER HEADER EVENT: the gateway has logged the header,
 * with the worker, once for each such answer at the most. */
static void
step_logged(Fixture *fixture, char **words)
{
    int gateway = atoi(words[1]);
    GatewayClusterRole role = get_role(words + 2);
    int number = atoi(words[3]);
    const char *address =
        GatewayCluster_GetAddress(fixture->cluster, role, number);
    char *worker_id = g_strdup_printf("%s-%d", words[2], number);
    char *text = read_log(fixture, GATEWAY_CLUSTER_GATEWAY, gateway, 0);
    char **lines = g_strsplit(text, "\n", -1);
    int count = 0;

    for (char **line = lines; *line != NULL; line++) {
        if (strstr(*line, words[4]) != NULL &&
            (strstr(*line, address) != NULL ||
             strstr(*line, worker_id) != NULL)) {
            count++;
        }
    }
    g_assert_cmpint(count, >=, 1);
    g_assert_cmpint(count, <=,
                    count_events(fixture, role, number, gateway, words[5]));
    g_strfreev(lines);
    g_free(text);
    g_free(worker_id);
}

static const StepHandler step_handlers[] = {
    {"knob", step_knob},       {"store", step_store},
    {"until", step_until},     {"served", step_served},
    {"sent", step_sent},       {"shunned", step_shunned},
    {"waited", step_waited},   {"restart", step_restart},
    {"known", step_known},     {"open", step_open},
    {"running", step_running}, {"complete", step_complete},
    {"refused", step_refused}, {"learnt", step_learnt},
    {"logged", step_logged},   {"refused_in_time", step_refused_in_time},
};

/* ---- cases --------------------------------------------------------------- */

static uint8_t network_octet; /* of the cluster of each case */

/* Starts a cluster in which the gateways have sent requests to each worker. */
static Fixture *
start_fixture(void)
{
    static const char warm_up[] =
        "knob plain 0 refuse=100;knob llm 0 refuse=100;"
        "until 0 safe plain 1 run;until 0 resume llm 1 run;"
        "knob plain 0 refuse=0;knob llm 0 refuse=0;"
        "until 0 safe plain 0 run;until 0 resume llm 0 run";
    GatewayClusterOptions options = {.network_octet = network_octet,
                                     .llm_workers = 2,
                                     .plain_workers = 2,
                                     .gateways = 1,
                                     .seed = 7};
    Fixture *fixture = g_new0(Fixture, 1);

    fixture->stream = -1;
    fixture->cluster = GatewayCluster_Start(&options);
    Steps_Run(fixture, step_handlers, G_N_ELEMENTS(step_handlers), warm_up);
    for (int role = 0; role < GATEWAY_CLUSTER_ROLE_COUNT; role++) {
        for (int number = 0; number < 2; number++) {
            if (role == GATEWAY_CLUSTER_LLM_WORKER ||
                role == GATEWAY_CLUSTER_PLAIN_WORKER) {
                char *text =
                    read_log(fixture, (GatewayClusterRole)role, number, 0);

                fixture->log_offsets[role][number] = (long)strlen(text);
                g_free(text);
            }
        }
    }
    return fixture;
}

static void
run_case(const char *steps)
{
    Fixture *fixture = start_fixture();

    Steps_Run(fixture, step_handlers, G_N_ELEMENTS(step_handlers), steps);
    GatewayCluster_Stop(fixture->cluster);
    g_free(fixture);
}

/* Gateway 0 and the workers with number 0 are in one zone: it prefers them. */
static const struct {
    const char *name;
    const char *steps;
} cases[] = {
    {"leaving by a whole answer, store frozen",
     "store stop;knob plain 0 leaving=1;until 0 safe plain 0 leaving;"
     "served 0 safe 20;served 0 unsafe 20;shunned 0 plain 0 leaving"},
    {"leaving by a whole answer, records go on saying ready",
     "knob plain 0 leaving=1;until 0 safe plain 0 leaving;"
     "served 0 safe 10;knob plain 0 places=9;served 0 safe 60;"
     "knob plain 0 places=10;served 0 unsafe 60;shunned 0 plain 0 leaving"},
    {"leaving by a whole answer, the frozen store comes back",
     "store stop;knob plain 0 leaving=1;until 0 safe plain 0 leaving;"
     "served 0 safe 10;store continue;served 0 safe 60;"
     "shunned 0 plain 0 leaving"},
    {"leaving by status 500",
     "store stop;knob plain 0 leaving=1&error=100;"
     "until 0 safe plain 0 leaving;knob plain 0 error=0;"
     "knob plain 1 refuse=100;sent 0 safe 20;sent 0 unsafe 20;"
     "shunned 0 plain 0 leaving"},
    {"leaving by a refusal",
     "store stop;knob plain 0 leaving=1&refuse=100;"
     "until 0 safe plain 0 leaving;knob plain 0 refuse=0;"
     "served 0 unsafe 20;shunned 0 plain 0 leaving"},
    {"leaving by the head of a stream, which goes on to its end",
     "store stop;knob llm 0 leaving=1&work_ms=200;open 0 resume;"
     "served 0 resume 3;served 0 stream 3;running;complete llm 0;"
     "served 0 stream 10;shunned 0 llm 0 leaving"},
    {"leaving by a refusal beside a stream, which goes on to its end",
     "store stop;knob llm 0 work_ms=200;open 0 stream;"
     "knob llm 0 leaving=1&places=1;until 0 resume llm 0 leaving;"
     "served 0 stream 3;running;complete llm 0;served 0 stream 10;"
     "shunned 0 llm 0 leaving"},
    {"leaving by header and record",
     "knob llm 0 leaving=1&draining=1&work_ms=200;open 0 stream;"
     "served 0 resume 3;running;complete llm 0;served 0 stream 20;"
     "shunned 0 llm 0 leaving"},
    {"all workers leave",
     "store stop;knob plain 0 leaving=1;knob plain 1 leaving=1;"
     "until 0 safe plain 0 leaving;until 0 safe plain 1 leaving;"
     "refused 0 safe 5;refused 0 unsafe 5;"
     "shunned 0 plain 0 leaving;shunned 0 plain 1 leaving"},
    {"another instance follows the one that left",
     "knob plain 0 leaving=1;until 0 safe plain 0 leaving;served 0 safe 10;"
     "shunned 0 plain 0 leaving;restart plain 0;until 0 safe plain 0 run"},
    {"another instance follows the engine that left",
     "knob llm 0 leaving=1;until 0 resume llm 0 leaving;"
     "served 0 stream 10;shunned 0 llm 0 leaving;restart llm 0;"
     "until 0 resume llm 0 run"},
    {"leaving before the record of the instance is known",
     "store stop;restart plain 0;knob plain 0 leaving=1;"
     "until 0 safe plain 0 leaving;store continue;known 0 plain 0;"
     "served 0 safe 20;served 0 unsafe 20;shunned 0 plain 0 leaving"},
    {"one worker waits",
     "knob plain 0 retry_after=3;until 0 safe plain 0 wait;"
     "served 0 safe 20;served 0 unsafe 20;until 0 safe plain 0 run;"
     "waited 0 plain 0"},
    {"one engine waits",
     "knob llm 0 retry_after=3;until 0 resume llm 0 wait;"
     "served 0 resume 10;served 0 stream 10;until 0 resume llm 0 run;"
     "waited 0 llm 0"},
    {"one worker waits, store frozen",
     "store stop;knob plain 0 retry_after=2;until 0 safe plain 0 wait;"
     "served 0 unsafe 20;until 0 safe plain 0 run;waited 0 plain 0"},
    {"one worker waits before the record of the instance is known",
     "store stop;restart plain 0;knob plain 0 retry_after=30;"
     "until 0 safe plain 0 wait;store continue;known 0 plain 0;"
     "served 0 safe 20;served 0 unsafe 20;shunned 0 plain 0 wait"},
    {"all workers wait longer than a request can",
     "knob plain 0 retry_after=30;knob plain 1 retry_after=30;"
     "until 0 safe plain 1 wait;learnt;"
     "refused_in_time 0 safe 20 30;refused_in_time 0 unsafe 20 30;"
     "shunned 0 plain 0 wait;shunned 0 plain 1 wait"},
    {"all workers wait for less than a request can",
     "knob plain 0 retry_after=1;knob plain 1 retry_after=1;"
     "until 0 safe plain 1 wait;served 0 safe 1;served 0 unsafe 5;"
     "until 0 safe plain 0 run;waited 0 plain 0"},
};

static void
test_case(gconstpointer data)
{
    run_case(cases[GPOINTER_TO_SIZE(data)].steps);
}

/* Values that can't be read are ignored: the worker gets further requests, and
 * callers their answers. */
static const struct {
    const char *name;
    int raw_notice;     /* row in ../standins/worker.c */
    const char *header; /* logged; NULL: none is */
} value_cases[] = {
    {"Server-Leaving 0", 1, "Server-Leaving"},
    {"Server-Leaving yes", 2, "Server-Leaving"},
    {"Server-Leaving empty", 3, "Server-Leaving"},
    {"Server-Leaving 11", 4, "Server-Leaving"},
    {"Retry-After beside status 200", 5, NULL},
    {"Retry-After negative", 6, "Retry-After"},
    {"Retry-After empty", 7, "Retry-After"},
    {"Retry-After fractional", 8, "Retry-After"},
    {"Retry-After a word", 9, "Retry-After"},
    {"Retry-After with a unit", 10, "Retry-After"},
    {"Retry-After a date", 11, "Retry-After"},
    {"Retry-After twice", 12, "Retry-After"},
};

static void
test_value(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char steps[512];

    snprintf(steps, sizeof(steps),
             "knob plain 0 raw_notice=%d;until 0 safe plain 0 notice;"
             "until 0 safe plain 0 notice;until 0 safe plain 0 notice;"
             "knob plain 0 raw_notice=0;until 0 safe plain 0 run;"
             "served 0 unsafe 5",
             value_cases[index].raw_notice);
    if (value_cases[index].header != NULL) {
        snprintf(steps + strlen(steps), sizeof(steps) - strlen(steps),
                 ";logged 0 plain 0 %s notice", value_cases[index].header);
    }
    run_case(steps);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    network_octet = GatewayCluster_ReserveNetwork(128, 227);
    Steps_AddCases("/notices/case", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_case);
    Steps_AddCases("/notices/value", value_cases, G_N_ELEMENTS(value_cases),
                   sizeof(value_cases[0]), test_value);
    return g_test_run();
}
