/*
 * Case 9: an order to load is left unanswered and carried out 8 s later. Its
 * worker has crashed meanwhile and is back under its id; it is full again, and
 * at the same number of orders. It is ordered to load one more, and crashes.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common-2/lab.h"
#include "../common-2/net.h"

/* Places for adapters, as on the sheet; one is free as the worker starts. */
#define PLACES 15
/* The number of orders after which a worker that restarted empty is full: one
 * for the model, one for each adapter. */
#define FULL_SEQUENCE (PLACES + 1)
/* An order may be carried out 2 to 12 s late. */
#define LATE_MS 8000
#define STREAMS 3
#define TRIES_MAX 20

static char store_address[LAB_ADDRESS_SIZE];
static char callers_address[LAB_ADDRESS_SIZE];
static int keeper_port;
static LabProcess gateway;
static LabProcess keeper;
static LabWorker worker = {.id = "w-1",
                           .service = "llm",
                           .has_model = true,
                           .adapter_count = PLACES - 1};
static int request_count;

static void
write_config(void)
{
    Store_Write(
        "config", "main",
        json_pack(
            "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:s, s:i}], "
            "s:[{s:s, s:s, s:i, s:{s:i, s:i, s:i, s:i, s:[{s:s, s:i, s:i}]}}],"
            " s:{s:i, s:i, s:i, s:i}}",
            "version", 3, "routes", "name", "memo", "host", "shop.example",
            "path_prefix", "/memo/", "kind", "streaming", "timeout_ms", 6000,
            "goal_ms", 800, "gap_goal_ms", 400, "priority", 0, "service",
            "llm", "max_attempts", 1, "services", "name", "llm", "health_path",
            "/health", "conn_limit", 240, "engine", "slots", 32, "kv_capacity",
            215273, "adapter_slots", 15, "mb", 75000, "models", "name", "m",
            "mb", 72700, "adapter_mb", 40, "limits", "max_header_bytes", 16384,
            "max_body_bytes", 1048576, "header_timeout_ms", 10000,
            "idle_timeout_ms", 60000));
}

/* Settings by deploy/entry.ini. */
static void
start_gateway(void)
{
    char text[2048];
    char ready[LAB_ADDRESS_SIZE];
    char admin[LAB_ADDRESS_SIZE];

    Lab_TakeAddress("127.0.0.1", callers_address);
    Lab_TakeAddress("127.0.0.1", ready);
    Lab_TakeAddress("127.0.0.1", admin);
    snprintf(text, sizeof(text),
             "[process]\nrole = gateway\nname = front-a-1\n"
             "datacentre = zone-a\ngrace_s = 8\n[listen]\ncallers = %s\n"
             "ready = %s\nready_path = /ready\nadmin = %s\n[platform]\n"
             "objects = %s\nwatch_ms = 2500\nleave_ms = 3000\n"
             "config_ms = 3000\nversion_ms = 5000\n[limits]\n"
             "descriptors_max = 4100\n[retry]\nshare = 0.2\nburst = 56\n"
             "[keeper]\nport = %d\n[regions]\nzone-a = region-a\n",
             callers_address, ready, admin, store_address, keeper_port);
    Lab_StartDaemon(&gateway, "gateway", text);
}

/* Settings by deploy/agent.ini. */
static void
start_side(void)
{
    char admin[LAB_ADDRESS_SIZE];
    char text[1024];

    Lab_TakeAddress("127.0.9.1", worker.address);
    memcpy(worker.record_address, worker.address, LAB_ADDRESS_SIZE);
    worker.late_expect = Lab_HasTrouble() ? FULL_SEQUENCE : 0;
    Worker_Start(&worker, store_address);
    Lab_TakeAddress("127.0.9.1", admin);
    snprintf(text, sizeof(text),
             "[process]\nrole = keeper\nname = side-a-1\ndatacentre = zone-a\n"
             "grace_s = 8\n[listen]\nlinks = 127.0.9.1:%d\nadmin = %s\n"
             "[platform]\nobjects = %s\nwatch_ms = 2500\n[backend]\n"
             "address = %s\nservice = llm\n",
             keeper_port, admin, store_address, worker.address);
    Lab_StartDaemon(&keeper, "side-a-1", text);
}

/* The worker is killed, and starts again under its id, with nothing. */
static void
restart_worker(void)
{
    Lab_Stop(&worker.process, SIGKILL);
    Lab_Sleep(500);
    worker.has_model = false;
    worker.adapter_count = 0;
    worker.late_expect = 0;
    Worker_Start(&worker, store_address);
}

/* Asks for an adapter until it is served; clients come back after refusals. */
static void
use_adapter(const char *adapter)
{
    for (int i = 0; i < TRIES_MAX; i++) {
        char attempt_id[32];
        char lines[128];
        LabAnswer answer;

        snprintf(attempt_id, sizeof(attempt_id), "attempt-%d",
                 ++request_count);
        snprintf(lines, sizeof(lines),
                 "Deadline-Ms: 6000\r\nModel: m/%s\r\nToken-Count: 491,70\r\n"
                 "Content-Length: 0\r\n",
                 adapter);
        Client_Call(callers_address, "POST", "/memo/1", attempt_id, lines,
                    &answer);
        if (answer.status == 200) {
            return;
        }
        Lab_Sleep(200);
    }
    Lab_GiveUp("an adapter is not served");
}

static void
use_adapters(const char *prefix, int count)
{
    for (int i = 1; i <= count; i++) {
        char name[32];

        snprintf(name, sizeof(name), "%s%d", prefix, i);
        use_adapter(name);
    }
}

/* ---- streams that last for some seconds ---------------------------------- */

typedef struct Stream {
    char attempt_id[32];
    LabAnswer answer;
} Stream;

static void *
run_stream(void *context)
{
    Stream *stream = context;

    Client_Call(callers_address, "POST", "/memo/slow", stream->attempt_id,
                "Deadline-Ms: 6000\r\nModel: m/c1\r\nToken-Count: 491,70\r\n"
                "Content-Length: 0\r\n",
                &stream->answer);
    return NULL;
}

/* ---- the late order ------------------------------------------------------ */

static bool
read_late_order(char *text, int size)
{
    FILE *file = fopen(Lab_LateOrderPath(), "r");
    bool is_read = false;

    if (file != NULL) {
        is_read = fgets(text, size, file) != NULL;
        fclose(file);
    }
    return is_read;
}

static void
carry_out_late_order(void)
{
    char text[1024] = "";
    char lines[128];

    if (!read_late_order(text, sizeof(text))) {
        Lab_GiveUp("no order was left unanswered");
    }
    Lab_Record("the unanswered order arrives: %s", text);
    snprintf(lines, sizeof(lines), "Expect-Instance: %s\r\n", worker.id);
    Net_Call(worker.address, "POST", "/order", lines, text);
}

/* Counts the lines of the record with a text. */
static int
count_lines(const char *text)
{
    char line[1024];
    int count = 0;
    FILE *file = fopen(getenv("LAB_RECORD"), "r");

    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        count += strstr(line, text) != NULL;
    }
    if (file != NULL) {
        fclose(file);
    }
    return count;
}

int
main(int argc, char **argv)
{
    static Stream streams[STREAMS];
    char address[LAB_ADDRESS_SIZE];
    int64_t late_at;
    int cut_count = 0;
    int crash_count;

    if (argc > 1 && strcmp(argv[1], "worker") == 0) {
        return Worker_Main(argc, argv);
    }
    Lab_Begin(argc > 1 ? argv[1] : "record.txt");
    Store_Start(store_address);
    write_config();
    Lab_TakeAddress("127.0.9.1", address);
    keeper_port = atoi(strchr(address, ':') + 1);
    start_side();
    start_gateway();
    Lab_Sleep(5000);
    /* One load, then an eviction and a load for each: up to FULL_SEQUENCE. */
    use_adapters("b", FULL_SEQUENCE / 2 + 1);
    late_at = Lab_Now() + LATE_MS;
    if (Lab_HasTrouble()) {
        restart_worker();
        Lab_Sleep(1500);
        use_adapters("c", PLACES);
    }
    else {
        use_adapter("c1");
    }
    Lab_Sleep(late_at - 1500 - Lab_Now());
    for (int i = 0; i < STREAMS; i++) {
        snprintf(streams[i].attempt_id, sizeof(streams[i].attempt_id),
                 "stream-%d", i + 1);
        Net_StartThread(run_stream, &streams[i]);
    }
    Lab_Sleep(1500);
    if (Lab_HasTrouble()) {
        carry_out_late_order();
    }
    Lab_Sleep(5000);
    for (int i = 0; i < STREAMS; i++) {
        cut_count +=
            streams[i].answer.status == 200 && !streams[i].answer.is_complete;
    }
    crash_count = count_lines(", and crashes");
    Lab_Record("rule LIMIT: ordered beyond its places %d times, %d of %d "
               "streams cut off: %s",
               crash_count, cut_count, STREAMS,
               crash_count > 0 ? "BROKEN" : "held");
    Lab_End();
    return crash_count > 0 ? 1 : 0;
}
