/*
 * One part of prompts crashes each worker that begins to answer on it, and one
 * worker crashes for another reason.  Are sound requests with the same first
 * part still served?
 */
#include "../common/harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define WORKER_PORT 8505
#define WORKERS 5
#define STABLE_WINDOW_MS 4000
#define REQUESTS_MAX 2000
/* A worker that has crashed is back after so long. */
#define DOWN_MS 3000
/* Sound requests on the part come at this interval, others on another part. */
#define SOUND_INTERVAL_MS 800
#define OTHER_INTERVAL_MS 90
#define FIRST_EVENT_MS 150
/* Parts of prompts, but the last one. */
#define SOUND_PARTS "f1:155"
#define DEADLY_PARTS "f1:155,dead:100"
#define OTHER_PARTS "f2:155"

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"history\","
    "\"host\":\"h.example\",\"path_prefix\":\"/stream/\","
    "\"kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":1000,"
    "\"gap_goal_ms\":400,\"priority\":2,\"service\":\"alarm-llm\","
    "\"max_attempts\":1,\"sticky\":true,\"resumable\":false}],"
    "\"services\":[{\"name\":\"alarm-llm\",\"health_path\":\"/health\","
    "\"conn_limit\":610,\"engine\":{\"slots\":128,\"kv_capacity\":152003,"
    "\"adapter_slots\":17,\"mb\":35700.0,\"models\":[{\"name\":\"m0\","
    "\"mb\":34300.0,\"load_s\":2.7,\"adapters\":3000,\"adapter_mb\":40.0}],"
    "\"loads_per_s\":2.9}}],\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000}}";

typedef struct Request {
    char id[ID_SIZE];
    char prompt[64];
    int64_t sent_at_ms;
    Answer answer;
    bool has_begun; /* at a worker */
} Request;

static char front[ADDRESS_SIZE];
static const char *folder;
static pid_t workers[WORKERS + 1];
static int incarnations[WORKERS + 1];
static Request requests[REQUESTS_MAX];
static atomic_int request_count;
static atomic_bool is_over;

/* ---- workers ------------------------------------------------------------- */

static void
format_worker(int number, char address[ADDRESS_SIZE], char id[ID_SIZE],
              char log_path[256])
{
    Harness_FormatAddress(address, 2, number, WORKER_PORT);
    snprintf(id, ID_SIZE, "i-worker-%d-%d", number, incarnations[number]);
    snprintf(log_path, 256, "%.200s/worker-%d.log", folder, number);
}

/* Starts a worker, which is empty unless it is the first time. */
static void
start_worker(int number)
{
    char address[ADDRESS_SIZE];
    char id[ID_SIZE];
    char log_path[256];
    char first[32];
    bool is_first = incarnations[number]++ == 0;
    const char *arguments[] = {"review-worker",
                               address,
                               id,
                               log_path,
                               "model=m0",
                               is_first ? "held=1" : "held=0",
                               first,
                               "events=5",
                               Harness_HasTrouble() ? "deadly=dead"
                                                    : "slots=17",
                               NULL};

    format_worker(number, address, id, log_path);
    snprintf(first, sizeof(first), "work_ms=%d", FIRST_EVENT_MS);
    workers[number] = Harness_StartStandin(arguments);
    Harness_PutWorker(id, "alarm-llm", address, "ready",
                      is_first ? "[{\"name\":\"m0\",\"version\":1,"
                                 "\"adapters\":[]}]"
                               : "[]");
}

/* Starts workers that have ended again, under a new id. */
static void *
supervise(void *argument)
{
    int64_t ended_at_ms[WORKERS + 1] = {0};

    (void)argument;
    while (!is_over) {
        for (int i = 1; i <= WORKERS; i++) {
            siginfo_t info = {.si_pid = 0};

            if (ended_at_ms[i] == 0 &&
                waitid(P_PID, (id_t)workers[i], &info,
                       WEXITED | WNOHANG | WNOWAIT) == 0 &&
                info.si_pid == workers[i]) {
                ended_at_ms[i] = Harness_NowMs();
                Harness_Record("worker %d has crashed", i);
            }
            if (ended_at_ms[i] != 0 &&
                Harness_NowMs() - ended_at_ms[i] >= DOWN_MS) {
                char address[ADDRESS_SIZE];
                char id[ID_SIZE];
                char log_path[256];

                format_worker(i, address, id, log_path);
                Harness_Kill(workers[i]);
                Harness_DeleteObject("servers", id);
                start_worker(i);
                ended_at_ms[i] = 0;
            }
        }
        Harness_SleepMs(10);
    }
    return NULL;
}

/* ---- clients ------------------------------------------------------------- */

static void *
run_request(void *argument)
{
    Request *request = argument;
    char text[512];
    int fd = Harness_Connect(front);
    int size = snprintf(text, sizeof(text),
                        "POST /stream/chat HTTP/1.1\r\nHost: h.example\r\n"
                        "Attempt-Id: %s\r\nModel: m0\r\n"
                        "Token-Count: 646,70\r\nPrompt-Prefix: %s\r\n"
                        "Deadline-Ms: 8000\r\nConnection: close\r\n"
                        "Content-Length: 0\r\n\r\n",
                        request->id, request->prompt);

    Harness_Write(fd, text, (size_t)size);
    Harness_ReadAnswer(fd, false, 9000, &request->answer);
    close(fd);
    return NULL;
}

/* Sends a request whose prompt begins with the given parts; copies its id to
 * id, unless that is NULL. */
static void
send_request(const char *kind, const char *parts, char id[ID_SIZE])
{
    pthread_t thread;
    int number = request_count++;
    Request *request = &requests[number];

    snprintf(request->id, sizeof(request->id), "%s-%d", kind, number);
    snprintf(request->prompt, sizeof(request->prompt), "%s,%x:491", parts,
             0xa0000 + number);
    if (id != NULL) {
        snprintf(id, ID_SIZE, "%s", request->id);
    }
    request->sent_at_ms = Harness_NowMs();
    pthread_create(&thread, NULL, run_request, request);
    pthread_detach(thread);
}

static void kill_worker_of(const char *id);

static void *
send_others(void *argument)
{
    (void)argument;
    while (!is_over) {
        send_request("other", OTHER_PARTS, NULL);
        Harness_SleepMs(OTHER_INTERVAL_MS);
    }
    return NULL;
}

/* Sends sound requests; with a deadly one to every second of them. */
static void
send_sound(int count, bool with_deadly)
{
    for (int i = 0; i < count; i++) {
        send_request("sound", SOUND_PARTS, NULL);
        if (with_deadly && i % 2 == 0) {
            send_request("deadly", DEADLY_PARTS, NULL);
        }
        Harness_SleepMs(SOUND_INTERVAL_MS);
    }
}

/* Three deadly requests end a worker each; then a worker that runs a sound one
 * crashes for another reason. */
static void
make_trouble(void)
{
    char id[ID_SIZE];

    for (int i = 0; i < 3; i++) {
        send_request("deadly", DEADLY_PARTS, NULL);
        Harness_SleepMs(300);
    }
    Harness_SleepMs(200);
    send_request("sound", SOUND_PARTS, id);
    if (Harness_HasTrouble()) {
        kill_worker_of(id);
    }
}

/* Kills the worker that runs a request, before it has begun to answer. */
static void
kill_worker_of(const char *id)
{
    char line[512];

    for (int try = 0; try < 50; try++) {
        for (int i = 1; i <= WORKERS; i++) {
            char address[ADDRESS_SIZE];
            char worker_id[ID_SIZE];
            char log_path[256];
            char pattern[64];
            bool is_here = false;
            FILE *file;

            format_worker(i, address, worker_id, log_path);
            snprintf(pattern, sizeof(pattern), "run %s ", id);
            file = fopen(log_path, "r");
            while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
                is_here =
                    is_here || strncmp(line, pattern, strlen(pattern)) == 0;
            }
            if (file != NULL) {
                fclose(file);
            }
            if (is_here) {
                Harness_Record("worker %d crashes for another reason, "
                               "before it answers %s",
                               i, id);
                kill(workers[i], SIGKILL);
                return;
            }
        }
        Harness_SleepMs(2);
    }
    Harness_Fail("no worker runs the request");
}

/* ---- the rule ------------------------------------------------------------ */

static void
note_runs(void)
{
    for (int i = 1; i <= WORKERS; i++) {
        char path[256];
        char line[512];
        FILE *file;

        snprintf(path, sizeof(path), "%.200s/worker-%d.log", folder, i);
        file = fopen(path, "r");
        if (file == NULL) {
            Harness_Fail("a worker has no log");
        }
        while (fgets(line, sizeof(line), file) != NULL) {
            char id[64];

            if (sscanf(line, "run %63s", id) != 1) {
                continue;
            }
            for (int j = 0; j < request_count; j++) {
                if (strcmp(requests[j].id, id) == 0) {
                    requests[j].has_begun = true;
                }
            }
        }
        fclose(file);
        remove(path);
    }
}

/* Counts sound requests that were sent in a span, and those that began. */
static void
count_sound(int64_t from_ms, int64_t until_ms, int *sent, int *begun)
{
    *sent = 0;
    *begun = 0;
    for (int i = 0; i < request_count; i++) {
        const Request *request = &requests[i];

        if (strncmp(request->id, "sound", 5) == 0 &&
            request->sent_at_ms >= from_ms && request->sent_at_ms < until_ms) {
            (*sent)++;
            *begun += request->has_begun ? 1 : 0;
        }
    }
}

int
main(int argc, char **argv)
{
    pthread_t supervisor;
    pthread_t others;
    int64_t trouble_from_ms;
    int64_t last_crash_ms;
    int64_t judged_from_ms;
    int sent_before;
    int begun_before;
    int sent_after;
    int begun_after;

    Harness_Begin(argc, argv);
    folder = argv[1];
    for (int i = 1; i <= WORKERS; i++) {
        char path[256];

        snprintf(path, sizeof(path), "%.200s/worker-%d.log", folder, i);
        remove(path);
    }
    Harness_StartStore(configuration);
    for (int i = 1; i <= WORKERS; i++) {
        char address[ADDRESS_SIZE];

        start_worker(i);
        Harness_FormatAddress(address, 2, i, WORKER_PORT);
        Harness_StartKeeper(i, address, "alarm-llm");
    }
    Harness_StartGateway(1, front);
    Harness_SleepMs(STABLE_WINDOW_MS + 500);
    pthread_create(&supervisor, NULL, supervise, NULL);
    pthread_create(&others, NULL, send_others, NULL);
    send_sound(22, false);
    trouble_from_ms = Harness_NowMs();
    make_trouble();
    last_crash_ms = Harness_NowMs();
    while (Harness_NowMs() < last_crash_ms + 2 * STABLE_WINDOW_MS) {
        send_sound(2, true);
    }
    judged_from_ms = Harness_NowMs();
    send_sound(24, true);
    is_over = true;
    pthread_join(supervisor, NULL);
    pthread_join(others, NULL);
    Harness_SleepMs(1500);
    note_runs();
    for (int i = 0; i < request_count; i++) {
        if (strncmp(requests[i].id, "other", 5) != 0) {
            Harness_Record("%s, sent at %.3f, %s: status %d", requests[i].id,
                           (double)requests[i].sent_at_ms / 1000,
                           requests[i].has_begun ? "begun" : "not begun",
                           requests[i].answer.status);
        }
    }
    count_sound(0, trouble_from_ms, &sent_before, &begun_before);
    count_sound(judged_from_ms, INT64_MAX, &sent_after, &begun_after);
    Harness_Record("sound requests that began: %d of %d before, %d of %d from "
                   "8 s after the last crash on",
                   begun_before, sent_before, begun_after, sent_after);
    Harness_End(sent_before >= 20 && sent_after >= 20 &&
                        begun_after * sent_before * 2 <
                            begun_before * sent_after
                    ? RULE_BROKEN
                    : RULE_HELD);
}
