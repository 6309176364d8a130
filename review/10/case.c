/*
 * Case 10: a route to a new service is added, and seconds later the store
 * comes back from a copy from before. The new workers write their entries
 * again, but gateways drop these for good, as their revisions are lower than
 * before.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../common-2/lab.h"
#include "../common-2/net.h"

#define WORKERS_PER_SERVICE 2
/* Requests on each route in steady state, one each 500 ms. */
#define REQUESTS 50
#define REQUEST_INTERVAL_MS 500
/* In touch from stable_window_ms after the store's return; some more. */
#define SETTLING_MS 8000
#define AWAY_MS 150
#define FIRST_PATH "/status/1"
#define LATER_PATH "/status/archive/1"

static char store_address[LAB_ADDRESS_SIZE];
static char callers_address[LAB_ADDRESS_SIZE];
static LabProcess gateway;
static LabWorker first_workers[WORKERS_PER_SERVICE];
static LabWorker later_workers[WORKERS_PER_SERVICE];
static int request_count;

static json_t *
make_route(const char *name, const char *prefix, const char *service)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i}", "name",
                     name, "host", "shop.example", "path_prefix", prefix,
                     "kind", "safe", "timeout_ms", 2000, "goal_ms", 200,
                     "priority", 2, "service", service, "max_attempts", 2);
}

static json_t *
make_service(const char *name)
{
    return json_pack("{s:s, s:s, s:i}", "name", name, "health_path", "/health",
                     "conn_limit", 110);
}

static void
write_config(int version, bool has_later_route)
{
    json_t *routes =
        json_pack("[o]", make_route("status", "/status/", "desk"));
    json_t *services =
        json_pack("[o, o]", make_service("desk"), make_service("archive"));

    if (has_later_route) {
        json_array_append_new(
            routes, make_route("archive", "/status/archive/", "archive"));
    }
    Store_Write("config", "main",
                json_pack("{s:i, s:o, s:o, s:{s:i, s:i, s:i, s:i}}", "version",
                          version, "routes", routes, "services", services,
                          "limits", "max_header_bytes", 16384,
                          "max_body_bytes", 1048576, "header_timeout_ms",
                          10000, "idle_timeout_ms", 60000));
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
start_workers(LabWorker workers[WORKERS_PER_SERVICE], const char *service)
{
    for (int i = 0; i < WORKERS_PER_SERVICE; i++) {
        LabWorker *worker = &workers[i];

        snprintf(worker->id, sizeof(worker->id), "%s-%d", service, i + 1);
        snprintf(worker->service, sizeof(worker->service), "%s", service);
        Lab_TakeAddress("127.0.0.1", worker->address);
        memcpy(worker->record_address, worker->address, LAB_ADDRESS_SIZE);
        Worker_Start(worker, store_address);
    }
}

/* Is a request on the route served? */
static bool
is_served(const char *path)
{
    char attempt_id[32];
    LabAnswer answer;

    snprintf(attempt_id, sizeof(attempt_id), "attempt-%d", ++request_count);
    Client_Call(callers_address, "GET", path, attempt_id,
                "Deadline-Ms: 2000\r\n", &answer);
    return answer.status == 200 && answer.is_complete;
}

int
main(int argc, char **argv)
{
    int64_t started_at;
    int first_served = 0;
    int later_served = 0;
    bool is_broken;

    if (argc > 1 && strcmp(argv[1], "worker") == 0) {
        return Worker_Main(argc, argv);
    }
    Lab_Begin(argc > 1 ? argv[1] : "record.txt");
    Store_Start(store_address);
    write_config(3, false);
    start_workers(first_workers, "desk");
    start_gateway();
    Lab_Sleep(3000);

    Store_Copy();
    write_config(4, false);
    write_config(5, true);
    started_at = Lab_Now();
    start_workers(later_workers, "archive");
    Lab_Sleep(2500);
    if (!is_served(FIRST_PATH) || !is_served(LATER_PATH)) {
        Lab_GiveUp("the routes are not served before the disruption");
    }
    if (Lab_HasTrouble()) {
        /* The new workers' next write comes a second after the return. */
        Lab_Sleep(started_at + 3 * LAB_BEAT_MS + 200 - AWAY_MS - Lab_Now());
        Store_Restore(AWAY_MS);
        Lab_Sleep(1500);
        write_config(5, true); /* the operator writes it again */
    }
    Lab_Sleep(SETTLING_MS);
    for (int i = 0; i < REQUESTS; i++) {
        first_served += is_served(FIRST_PATH) ? 1 : 0;
        later_served += is_served(LATER_PATH) ? 1 : 0;
        Lab_Sleep(REQUEST_INTERVAL_MS);
    }
    is_broken = later_served * 4 < first_served;
    Lab_Record("rule CONFIG: served %d of %d on the first route, %d of %d on "
               "the one added later: %s",
               first_served, REQUESTS, later_served, REQUESTS,
               is_broken ? "BROKEN" : "held");
    Lab_End();
    return is_broken ? 1 : 0;
}
