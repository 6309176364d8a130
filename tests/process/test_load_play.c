/*
 * A play of servers of uneven and changing speed, and of callers that send to
 * them by several gateways: which part of the requests is answered within its
 * objective, by the way in which servers are chosen.
 *
 * A server runs SLOTS requests at once and the others in turn; while its speed
 * is P percent, work takes P percent of its usual time.  With each answer it
 * tells the answering gateway its load and, if the way of choosing has a use
 * for it, its speed.  Time goes on in steps of 1 ms.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include <kcc.h>

#include "../gateway_stubs.h"
#include "../steps.h"

#define SERVERS 6
#define SLOTS 6
#define GATEWAYS 10
#define STEP (1 * KC_MS)
#define PLAY_TIME (20 * KC_SECOND)
/* After the last request, until all are answered or refused. */
#define END_TIME (5 * KC_SECOND)
/* A server's speed is drawn anew at this interval. */
#define NOISE_INTERVAL (600 * KC_MS)
#define SEED 7

typedef struct Play Play;

/* A request at a server. */
typedef struct Work {
    TAILQ_ENTRY(Work) link;
    Play *play;
    int gateway;
    int server;
    KcForward *forward;        /* NULL: chosen without a gateway */
    KcForwardAttempt *attempt; /* NULL: not at a server */
    KcTime arrived_at;
    double left; /* of its work at the usual speed, us */
} Work;

TAILQ_HEAD(WorkList, Work);

typedef struct Server {
    struct WorkList works; /* the first SLOTS run */
    int count;
    uint32_t steady_percent;
    uint32_t percent; /* now */
    KcTime drawn_at;
} Server;

/* A way of choosing servers. */
typedef struct Policy {
    const char *name;
    bool is_speed_told;
    /* The server for a request, negative for none; NULL: a gateway chooses. */
    int (*choose)(Play *play, int gateway);
} Policy;

/* What callers send, and what the servers are. */
typedef struct Load {
    const char *name;
    int requests_a_second;
    int work_ms;
    int objective_ms;
    uint32_t steady_percents[SERVERS];
    int noise_percent;    /* of the time in which a server is slowed down */
    uint32_t noise_times; /* how much longer work takes then, in percent */
} Load;

struct Play {
    const Load *load;
    const Policy *policy;
    GRand *random; /* of the load, the same for each policy */
    GRand *choices;
    KcTimers *timers;
    KcCounters counters;
    KcGateway *gateways[GATEWAYS];
    Server servers[SERVERS];
    /* Without a gateway's own choice: requests at each server, as its last
     * answer told, and those sent since. */
    int known_counts[GATEWAYS][SERVERS];
    KcTime now;
    int sent;
    int in_time;
};

/* ---- servers ------------------------------------------------------------- */

static void
arrive(Play *play, Work *work, int server)
{
    work->server = server;
    TAILQ_INSERT_TAIL(&play->servers[server].works, work, link);
    play->servers[server].count++;
}

static void
draw_speed(Play *play, Server *server)
{
    bool is_slowed =
        g_rand_int_range(play->random, 0, 100) < play->load->noise_percent;

    server->drawn_at = play->now;
    server->percent = server->steady_percent *
                      (is_slowed ? play->load->noise_times : 100) / 100;
}

/* Takes the work out of its server, and counts it. */
static void
leave(Work *work)
{
    Play *play = work->play;
    Server *server = &play->servers[work->server];

    TAILQ_REMOVE(&server->works, work, link);
    server->count--;
    if (play->now - work->arrived_at <= play->load->objective_ms * KC_MS) {
        play->in_time++;
    }
}

static void
answer(Work *work)
{
    Play *play = work->play;
    const Server *server = &play->servers[work->server];
    KcForwardAttempt *attempt = work->attempt;
    KcReply reply = {.status = 200};

    leave(work);
    if (attempt == NULL) {
        play->known_counts[work->gateway][work->server] = server->count;
        g_free(work);
        return;
    }
    KcGateway_OnLoadReport(
        attempt->server, (uint32_t)MIN(server->count, SLOTS),
        (uint32_t)(server->count - MIN(server->count, SLOTS)), SLOTS,
        play->now);
    if (play->policy->is_speed_told) {
        KcSpeed_NoteTold(&attempt->server->speed, server->percent, play->now);
    }
    KcForwardAttempt_OnReply(attempt, &reply, play->now);
}

static void
run_server(Play *play, Server *server)
{
    Work *work;
    Work *next;
    int running = 0;

    if (play->now - server->drawn_at >= NOISE_INTERVAL) {
        draw_speed(play, server);
    }
    TAILQ_FOREACH (work, &server->works, link) {
        if (running++ < SLOTS) {
            work->left -= (double)STEP * 100 / server->percent;
        }
    }
    TAILQ_FOREACH_SAFE (work, &server->works, link, next) {
        if (work->left <= 0) {
            answer(work);
        }
    }
}

/* ---- gateways ------------------------------------------------------------ */

static const char *
find_region(void *context, const char *datacentre)
{
    (void)context;
    (void)datacentre;
    return "north";
}

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    Work *work = attempt->forward->caller;

    KcForwardAttempt_OnSent(attempt);
    work->attempt = attempt;
    arrive(context, work, atoi(params->server->id));
    return work;
}

static void
cancel_attempt(void *context, void *handle)
{
    Work *work = handle;
    Server *server = &work->play->servers[work->server];

    (void)context;
    TAILQ_REMOVE(&server->works, work, link);
    server->count--;
    work->attempt = NULL;
}

static const KcGatewayOps gateway_ops = {
    GATEWAY_STUBS_OPS, .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .record_notice = GatewayStubs_RecordNotice};

static void
on_end(void *caller)
{
    g_free(caller);
}

static void
on_broken(void *caller, const KcError *error)
{
    (void)error;
    g_free(caller);
}

static void
on_refusal(void *caller, const KcForwardRefusal *refusal)
{
    (void)refusal;
    g_free(caller);
}

static const KcForwardOps caller_ops = {.on_begin = GatewayStubs_IgnoreBegin,
                                        .on_data = GatewayStubs_IgnoreData,
                                        .on_end = on_end,
                                        .on_broken = on_broken,
                                        .on_refusal = on_refusal};

static KcRouting *
create_routing(const Load *load)
{
    KcRouting *routing = KcRouting_Create(1);
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", "/u/");
    KcError error;

    KcRouting_AddService(routing, "plain");
    KcText_Copy(rule->name, "u", KC_NAME_MAX);
    rule->kind = KC_REQUEST_KIND_UNSAFE;
    rule->request_timeout = 4 * KC_SECOND;
    rule->latency_objective = load->objective_ms * KC_MS;
    rule->attempts_max = 1;
    KcRouting_AddTarget(rule, "plain", 1);
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    return routing;
}

static KcGateway *
create_gateway(Play *play, int number)
{
    KcGatewayOptions options;
    KcGateway *gateway;

    KcGatewayOptions_Init(&options);
    options.ops = &gateway_ops;
    options.context = play;
    options.timers = play->timers;
    options.counters = &play->counters;
    options.datacentre = "here";
    options.region_of = find_region;
    options.seed = (uint64_t)number + 1;
    gateway = KcGateway_Create(&options);
    KcGateway_SetRouting(gateway, create_routing(play->load));
    KcGateway_SetGatewayCount(gateway, GATEWAYS, play->now);
    KcGateway_BeginServerList(gateway);
    for (int i = 0; i < SERVERS; i++) {
        KcServerInfo info;

        KcServerInfo_Init(&info);
        snprintf(info.id, sizeof(info.id), "%d", i);
        KcText_Copy(info.service, "plain", KC_NAME_MAX);
        snprintf(info.address, sizeof(info.address), "127.0.0.1:%d", i + 1);
        KcText_Copy(info.datacentre, "here", KC_NAME_MAX);
        info.concurrency_max = SLOTS;
        KcGateway_OnServerRecord(gateway, &info, (KcRevision){0, 1},
                                 play->now);
        KcServerInfo_Clear(&info);
    }
    KcGateway_EndServerList(gateway, play->now);
    return gateway;
}

/* ---- ways of choosing ---------------------------------------------------- */

/* The shorter queue of two servers, as the gateway knows it. */
static int
choose_random_of_two(Play *play, int gateway)
{
    int first = g_rand_int_range(play->choices, 0, SERVERS);
    int second = g_rand_int_range(play->choices, 0, SERVERS);

    return play->known_counts[gateway][first] <=
                   play->known_counts[gateway][second]
               ? first
               : second;
}

/* The server that has run the request first, if its speed stays; none if that
 * is too late: no gateway can know that. */
static int
choose_best(Play *play, int gateway)
{
    int best = 0;
    double earliest = 0;

    (void)gateway;
    for (int i = 0; i < SERVERS; i++) {
        const Server *server = &play->servers[i];
        const Work *work;
        double before = 0;
        double end;

        TAILQ_FOREACH (work, &server->works, link) {
            before += work->left;
        }
        end = (server->count < SLOTS ? 0 : before / SLOTS) +
              play->load->work_ms * (double)KC_MS;
        end *= server->percent;
        if (i == 0 || end < earliest) {
            best = i;
            earliest = end;
        }
    }
    return earliest > play->load->objective_ms * (double)KC_MS * 100 ? -1
                                                                     : best;
}

static const Policy random_of_two = {"random of two", false,
                                     choose_random_of_two};
static const Policy by_load = {"gateway, speed not told", false, NULL};
static const Policy by_speed = {"gateway, speed told", true, NULL};
static const Policy best_possible = {"best possible", true, choose_best};

/* ---- the play ------------------------------------------------------------ */

static void
send_request(Play *play)
{
    KcForwardCall call = {
        .id = "1", .host = "h", .path = "/u/x", .model = "", .adapter = ""};
    Work *work = g_new0(Work, 1);

    work->play = play;
    work->arrived_at = play->now;
    work->gateway = g_rand_int_range(play->random, 0, GATEWAYS);
    work->left = play->load->work_ms * (double)KC_MS *
                 g_rand_double_range(play->random, 0.5, 1.5);
    play->sent++;
    if (play->policy->choose != NULL) {
        int server = play->policy->choose(play, work->gateway);

        if (server < 0) {
            g_free(work);
            return;
        }
        play->known_counts[work->gateway][server]++;
        arrive(play, work, server);
        return;
    }
    KcGateway_Submit(play->gateways[work->gateway], &call, &caller_ops, work,
                     &work->forward, play->now);
}

/* Returns the part of the requests that was answered in time, in 1,000. */
static int
run_play(const Load *load, const Policy *policy)
{
    Play play = {.load = load,
                 .policy = policy,
                 .random = g_rand_new_with_seed(SEED),
                 .choices = g_rand_new_with_seed(SEED),
                 .now = KC_SECOND};
    KcTime end = play.now + PLAY_TIME;

    play.timers = KcTimers_Create(play.now);
    for (int i = 0; i < SERVERS; i++) {
        TAILQ_INIT(&play.servers[i].works);
        play.servers[i].steady_percent = load->steady_percents[i];
        draw_speed(&play, &play.servers[i]);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        play.gateways[i] = create_gateway(&play, i);
    }
    for (; play.now < end + END_TIME; play.now += STEP) {
        KcTimers_Run(play.timers, play.now);
        for (int i = 0; i < SERVERS; i++) {
            run_server(&play, &play.servers[i]);
        }
        if (play.now < end &&
            g_rand_int_range(play.random, 0, 1000) < load->requests_a_second) {
            send_request(&play);
        }
    }
    for (int i = 0; i < GATEWAYS; i++) {
        g_assert_cmpuint(KcGateway_CountInFlight(play.gateways[i]), ==, 0);
        KcGateway_Free(play.gateways[i]);
    }
    KcTimers_Free(play.timers);
    g_rand_free(play.random);
    g_rand_free(play.choices);
    g_test_message("%s: %s: %d of 1,000 in time", load->name, policy->name,
                   play.in_time * 1000 / play.sent);
    return play.in_time * 1000 / play.sent;
}

/* ---- cases --------------------------------------------------------------- */

#define EVEN                                                                  \
    {                                                                         \
        100, 100, 100, 100, 100, 100                                          \
    }
#define UNEVEN                                                                \
    {                                                                         \
        55, 120, 120, 120, 55, 120                                            \
    }

static const Load loads[] = {
    {"even servers", 450, 60, 120, EVEN, 0, 100},
    {"uneven servers", 480, 60, 120, UNEVEN, 0, 100},
    {"servers that are slowed down by turns", 400, 60, 150, EVEN, 15, 250},
    {"uneven servers that are slowed down", 400, 60, 150, UNEVEN, 15, 250},
    {"servers that are slowed down, more work than they do", 550, 60, 200,
     EVEN, 15, 250},
    {"few requests", 60, 60, 120, EVEN, 15, 250},
    {"short work", 600, 15, 40, UNEVEN, 15, 250},
};

/* What is told of the speed never makes the service worse, and it is better
 * than one that knows the queues only. */
static void
test_load(gconstpointer data)
{
    const Load *load = &loads[GPOINTER_TO_SIZE(data)];
    bool is_even = load->noise_percent == 0 && load->steady_percents[0] == 100;
    int random = run_play(load, &random_of_two);
    int untold = run_play(load, &by_load);
    int told = run_play(load, &by_speed);
    int best = run_play(load, &best_possible);

    g_assert_cmpint(told, >=, untold);
    g_assert_cmpint(told, >=, random);
    g_assert_cmpint(best, >=, told);
    if (!is_even) {
        g_assert_cmpint(told, >, untold);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/load play", loads, G_N_ELEMENTS(loads), sizeof(loads[0]),
                   test_load);
    return g_test_run();
}
