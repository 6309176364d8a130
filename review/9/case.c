/*
 * Case 9: while the workers of a service are down, a lookup by HEAD on a kept
 * connection is refused with a body, which the client reads as the beginning
 * of its next answer.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../common-2/lab.h"
#include "../common-2/net.h"

#define ROUNDS 5
#define WORKERS 3
#define ANSWER_TIMEOUT_S 3

static char store_address[LAB_ADDRESS_SIZE];
static char callers_address[LAB_ADDRESS_SIZE];
static LabProcess gateway;
static LabWorker workers[WORKERS];

static void
write_config(void)
{
    Store_Write(
        "config", "main",
        json_pack("{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i}], "
                  "s:[{s:s, s:s, s:i}], s:{s:i, s:i, s:i, s:i}}",
                  "version", 3, "routes", "name", "status", "host",
                  "shop.example", "path_prefix", "/status/", "kind", "safe",
                  "timeout_ms", 2000, "goal_ms", 200, "priority", 2, "service",
                  "desk", "max_attempts", 2, "services", "name", "desk",
                  "health_path", "/health", "conn_limit", 110, "limits",
                  "max_header_bytes", 16384, "max_body_bytes", 1048576,
                  "header_timeout_ms", 10000, "idle_timeout_ms", 60000));
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
             "[keeper]\nport = 7380\n[regions]\nzone-a = region-a\n",
             callers_address, ready, admin, store_address);
    Lab_StartDaemon(&gateway, "gateway", text);
}

static void
start_workers(void)
{
    for (int i = 0; i < WORKERS; i++) {
        Worker_Start(&workers[i], store_address);
    }
}

/* ---- a client on one connection ------------------------------------------ */

/* Reads to the end of a head, and the body that its length tells unless the
 * request was HEAD. Returns the status, 0 for what is no answer. */
static int
read_answer(int fd, bool is_head_request, const char *attempt_id)
{
    char head[4096] = "";
    char value[32] = "0";
    char id[64] = "";
    size_t size = 0;
    size_t length;
    char byte;

    while (size + 1 < sizeof(head) && recv(fd, &byte, 1, 0) == 1) {
        head[size++] = byte;
        head[size] = '\0';
        if (size >= 4 && strcmp(head + size - 4, "\r\n\r\n") == 0) {
            break;
        }
    }
    if (strncmp(head, "HTTP/1.1 ", 9) != 0) {
        Lab_Record("client gets for %s bytes that are no answer: %.60s",
                   attempt_id, head);
        return 0;
    }
    Net_FindHeader(head, "Content-Length", value, sizeof(value));
    Net_FindHeader(head, "Attempt-Id", id, sizeof(id));
    Lab_Record("client gets for %s status=%d Content-Length=%s Attempt-Id=%s",
               attempt_id, atoi(head + 9), value, id);
    length = is_head_request ? 0 : strtoul(value, NULL, 10);
    while (length > 0 && recv(fd, &byte, 1, 0) == 1) {
        length--;
    }
    return length == 0 ? atoi(head + 9) : 0;
}

/* Returns the status of the answer. */
static int
call(int fd, const char *method, const char *attempt_id)
{
    char text[256];
    int size = snprintf(text, sizeof(text),
                        "%s /status/1 HTTP/1.1\r\nHost: shop.example\r\n"
                        "Attempt-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n",
                        method, attempt_id);

    Lab_Record("client sends %s /status/1 %s", method, attempt_id);
    Net_SendAll(fd, text, (size_t)size);
    return read_answer(fd, strcmp(method, "HEAD") == 0, attempt_id);
}

/* Returns whether the client got bytes that are no answer. */
static bool
play_round(int number)
{
    struct timeval timeout = {.tv_sec = ANSWER_TIMEOUT_S};
    int fd = Net_Connect(callers_address);
    char attempt_id[32];
    int first_status;
    int status;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (Lab_HasTrouble()) {
        for (int i = 0; i < WORKERS; i++) {
            Lab_Stop(&workers[i].process, SIGKILL);
        }
    }
    Lab_Sleep(200);
    snprintf(attempt_id, sizeof(attempt_id), "lookup-%d", number);
    first_status = call(fd, "HEAD", attempt_id);
    if (Lab_HasTrouble()) {
        start_workers();
        Lab_Sleep(4000);
    }
    snprintf(attempt_id, sizeof(attempt_id), "read-%d", number);
    status = call(fd, "GET", attempt_id);
    close(fd);
    Lab_Record("round %d: %s", number, status == 0 ? "BROKEN" : "held");
    if (first_status == 0 || (!Lab_HasTrouble() && status != 200)) {
        Lab_GiveUp("no answer to the first request, or none without trouble");
    }
    return status == 0;
}

int
main(int argc, char **argv)
{
    int broken_count = 0;

    if (argc > 1 && strcmp(argv[1], "worker") == 0) {
        return Worker_Main(argc, argv);
    }
    Lab_Begin(argc > 1 ? argv[1] : "record.txt");
    Store_Start(store_address);
    write_config();
    for (int i = 0; i < WORKERS; i++) {
        snprintf(workers[i].id, sizeof(workers[i].id), "w-%d", i + 1);
        snprintf(workers[i].service, sizeof(workers[i].service), "desk");
        Lab_TakeAddress("127.0.0.1", workers[i].address);
        memcpy(workers[i].record_address, workers[i].address,
               LAB_ADDRESS_SIZE);
    }
    start_workers();
    Lab_Sleep(300);
    start_gateway();
    Lab_Sleep(3000);
    for (int i = 1; i <= ROUNDS; i++) {
        broken_count += play_round(i) ? 1 : 0;
    }
    Lab_Record("rule MIXED broken in %d of %d rounds", broken_count, ROUNDS);
    Lab_End();
    return broken_count > 0 ? 1 : 0;
}
