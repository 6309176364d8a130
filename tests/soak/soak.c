/*
 * The fault soak: real gateways, keepers and stand-ins on one machine, random
 * faults from outside, promises checked from what callers and workers see.
 *
 *   soak SEED [SECONDS [WORKERS]]
 *
 * Prints the seed, each fault, and the verdict.  Exit status 0: every promise
 * was kept.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../programs/connection/http_connection.h"
#include "../daemons/yard.h"
#include "proxy.h"

#define CLIENTS 24
#define EVENTS 10 /* of a whole stream */
#define PROXIES_MAX 64
#define FAULTS_MAX 256
#define RECOVERY (12 * KC_SECOND) /* the platform's recover_s */
#define CALLER_WAIT (6 * KC_SECOND)

/* ---- random numbers ------------------------------------------------------ */

static uint64_t random_state;

static uint64_t
draw(uint64_t below)
{
    random_state =
        random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (random_state >> 33) % below;
}

/* ---- the run ------------------------------------------------------------- */

typedef struct Client {
    int number;
    KcHttpConnection *peer; /* NULL while it waits */
    KcTimer timer;
    KcTime give_up;
    struct Call *call;
    int gateway;
} Client;

/* What a caller asked, and what it got. */
typedef struct Call {
    UT_hash_handle hh;
    char id[32];
    bool repeatable;
    bool stream;
    int status; /* 0: no answer */
    bool whole;
    bool wrong; /* bytes of another answer */
    KcBuffer body;
    char seal[64];
    int runs; /* read from the workers' output */
} Call;

typedef struct Soak {
    KcLoop *loop;
    Yard *yard;
    YardOptions options;
    Client clients[CLIENTS];
    Proxy *proxies[PROXIES_MAX];
    int proxy_count;
    Call *calls;
    int call_count;
    bool ending; /* faults are over */
    KcTime end;
    KcTimer fault_timer;
    int version; /* of the configuration */
    bool extra;
    int adapter_version;
    int failures;
} Soak;

static Soak soak;

static void
fail(const char *what, const Call *call)
{
    soak.failures++;
    printf("BROKEN %s: request %s status %d runs %d whole %d\n", what,
           call != NULL ? call->id : "", call != NULL ? call->status : 0,
           call != NULL ? call->runs : 0, call != NULL ? call->whole : 0);
}

/* ---- callers ------------------------------------------------------------- */

static const struct {
    const char *path;
    const char *method;
    bool repeatable;
    bool stream;
} kinds[] = {
    {"/safe/x", "GET", true, false},
    {"/unsafe/x", "POST", false, false},
    {"/stream/x", "POST", false, true},
    {"/resume/x", "POST", true, true},
};

static void begin_call(Client *client);

static void
end_call(Client *client, bool keep)
{
    KcTime pause = (KcTime)draw(60) * KC_MS;

    client->call = NULL;
    if (!keep && client->peer != NULL) {
        KcHttpConnection_Close(client->peer);
        client->peer = NULL;
    }
    KcTimers_Set(soak.loop->timers, &client->timer, KcLoop_Now() + pause);
}

static void
on_connected(void *owner)
{
    begin_call(owner);
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    Client *client = owner;
    const char *id = KcHttpMessage_FindField(message, "Attempt-Id");
    const char *seal = KcHttpMessage_FindField(message, "Server-Seal");

    if (client->call == NULL) {
        fail("an answer that nobody asked for", NULL);
        return;
    }
    client->call->status = message->status;
    client->call->wrong = id != NULL && strcmp(id, client->call->id) != 0;
    KcText_Copy(client->call->seal, seal != NULL ? seal : "",
                sizeof(client->call->seal));
}

static void
on_body(void *owner, KcBytes bytes)
{
    Client *client = owner;

    if (client->call != NULL) {
        KcBuffer_Append(&client->call->body, bytes.data, bytes.size);
    }
}

static void
on_end(void *owner)
{
    Client *client = owner;

    if (client->call != NULL) {
        client->call->whole = true;
    }
    /* The connection is kept until the process closes it. */
    KcHttpConnection_ReadNextMessage(client->peer);
    end_call(client, true);
}

static void
on_failed(void *owner, int code)
{
    (void)code;
    end_call(owner, false);
}

static const KcHttpConnectionOps client_ops = {.on_connected = on_connected,
                                               .on_head = on_head,
                                               .on_body = on_body,
                                               .on_message_end = on_end,
                                               .on_failed = on_failed};

static void
connect_client(Client *client)
{
    KcHttpConnectionOptions options = {.loop = soak.loop,
                                       .ops = &client_ops,
                                       .owner = client,
                                       .head_bytes_max = 16384,
                                       .silence_timeout = CALLER_WAIT};

    client->gateway = (int)draw((uint64_t)soak.options.gateways);
    client->peer = KcHttpConnection_Connect(
        &options, Yard_Address(soak.yard, YARD_GATEWAY, client->gateway));
    client->give_up = KcLoop_Now() + CALLER_WAIT;
    KcTimers_Set(soak.loop->timers, &client->timer, client->give_up);
}

static void
begin_call(Client *client)
{
    size_t kind = draw(sizeof(kinds) / sizeof(kinds[0]));
    Call *call = KcMem_New(sizeof(*call));

    snprintf(call->id, sizeof(call->id), "c%d-%d", client->number,
             soak.call_count++);
    call->repeatable = kinds[kind].repeatable;
    call->stream = kinds[kind].stream;
    HASH_ADD_STR(soak.calls, id, call);
    client->call = call;
    client->give_up = KcLoop_Now() + CALLER_WAIT;
    KcTimers_Set(soak.loop->timers, &client->timer, client->give_up);
    evbuffer_add_printf(
        KcHttpConnection_Output(client->peer),
        "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\n"
        "Token-Count: 20,20\r\n%s%d%sContent-Length: 0\r\n\r\n",
        kinds[kind].method, kinds[kind].path, call->id,
        call->stream ? "Model: m/a" : "X: ", (int)draw(40), "\r\n");
}

static void
on_client_timer(KcTimer *timer, KcTime now)
{
    Client *client = timer->owner;

    (void)now;
    if (client->call != NULL || (client->peer != NULL && draw(8) == 0)) {
        end_call(client, false); /* it leaves */
    }
    else if (soak.ending) {
        return;
    }
    else if (client->peer == NULL) {
        connect_client(client);
    }
    else {
        begin_call(client);
    }
}

/* ---- faults -------------------------------------------------------------- */

/* Something that is to be undone later. */
typedef struct Heal {
    TAILQ_ENTRY(Heal) link;
    KcTimer timer;
    YardRole role;
    int number;
    const char *knob;
    Proxy *proxy;
    int signal;   /* to be sent */
    bool restart; /* after its end */
} Heal;

static TAILQ_HEAD(HealList, Heal) heals = TAILQ_HEAD_INITIALIZER(heals);

static void
carry_out(Heal *heal)
{
    TAILQ_REMOVE(&heals, heal, link);
    KcTimers_Clear(soak.loop->timers, &heal->timer);
    if (heal->signal != 0) {
        Yard_Signal(soak.yard, heal->role, heal->number, heal->signal);
    }
    if (heal->knob != NULL) {
        Yard_Set(soak.yard, heal->role, heal->number, heal->knob);
    }
    if (heal->proxy != NULL) {
        Proxy_SetMode(heal->proxy, PROXY_PASS);
    }
    if (heal->restart) {
        Yard_Signal(soak.yard, heal->role, heal->number, SIGKILL);
        Yard_Wait(soak.yard, heal->role, heal->number);
        Yard_Restart(soak.yard, heal->role, heal->number);
    }
    free(heal);
}

static void
on_heal(KcTimer *timer, KcTime now)
{
    (void)now;
    carry_out(timer->owner);
}

static Heal *
plan_heal(YardRole role, int number, KcTime delay)
{
    Heal *heal = KcMem_New(sizeof(*heal));

    heal->role = role;
    heal->number = number;
    KcTimer_Init(&heal->timer, on_heal, heal);
    TAILQ_INSERT_TAIL(&heals, heal, link);
    KcTimers_Set(soak.loop->timers, &heal->timer, KcLoop_Now() + delay);
    return heal;
}

static int
count_of(YardRole role)
{
    switch (role) {
    case YARD_LLM:
    case YARD_KEEPER:
        return soak.options.llm;
    case YARD_PLAIN:
        return soak.options.plain;
    case YARD_GATEWAY:
        return soak.options.gateways;
    default:
        return 1;
    }
}

static const char *const role_names[YARD_ROLE_COUNT] = {
    "store", "model worker", "keeper", "plain worker", "gateway"};

static KcTime
fault_time(void)
{
    return (KcTime)(200 + draw(2000)) * KC_MS;
}

static void
say(const char *fault, YardRole role, int number)
{
    printf("%7.3f %s: %s %d\n",
           (double)(KcLoop_Now() % (1000 * KC_SECOND)) / KC_SECOND, fault,
           role_names[role], number);
}

static YardRole
any_process(void)
{
    static const YardRole roles[] = {YARD_LLM, YARD_KEEPER, YARD_PLAIN,
                                     YARD_GATEWAY};

    return roles[draw(4)];
}

static void
kill_one(void)
{
    YardRole role = any_process();
    int number = (int)draw((uint64_t)count_of(role));

    say("kill", role, number);
    Yard_Signal(soak.yard, role, number, SIGKILL);
    plan_heal(role, number, fault_time())->restart = true;
}

static void
stop_one(void)
{
    int number = (int)draw((uint64_t)soak.options.gateways);

    say("stop", YARD_GATEWAY, number);
    Yard_Signal(soak.yard, YARD_GATEWAY, number, SIGTERM);
    plan_heal(YARD_GATEWAY, number, 5500 * KC_MS)->restart = true;
}

/* Stand-ins are not frozen: their knobs must answer. */
static void
freeze_one(void)
{
    YardRole role = draw(2) == 0 ? YARD_KEEPER : YARD_GATEWAY;
    int number = (int)draw((uint64_t)count_of(role));

    say("freeze", role, number);
    Yard_Signal(soak.yard, role, number, SIGSTOP);
    plan_heal(role, number, fault_time())->signal = SIGCONT;
}

static void
hang_up_one(void)
{
    YardRole role = draw(2) == 0 ? YARD_KEEPER : YARD_GATEWAY;
    int number = (int)draw((uint64_t)count_of(role));

    say("hang up", role, number);
    Yard_Signal(soak.yard, role, number, SIGHUP);
}

/* Knobs with their healed values. */
static const struct {
    YardRole role;
    const char *fault;
    const char *heal;
} knob_faults[] = {
    {YARD_STORE, "busy=80", "busy=0"},
    {YARD_STORE, "many=80", "many=0"},
    {YARD_STORE, "silent=100", "silent=0"},
    {YARD_STORE, "reset=80", "reset=0"},
    {YARD_STORE, "lost=60", "lost=0"},
    {YARD_STORE, "forget=1", "forget=0"},
    {YARD_LLM, "refuse=60", "refuse=0"},
    {YARD_LLM, "reset=20", "reset=0"},
    {YARD_LLM, "truncate=20", "truncate=0"},
    {YARD_LLM, "garbage=20", "garbage=0"},
    {YARD_LLM, "mute=30", "mute=0"},
    {YARD_LLM, "late_orders=50", "late_orders=0"},
    {YARD_LLM, "load_ms=400", "load_ms=30"},
    {YARD_LLM, "draining=1", "draining=0"},
    {YARD_PLAIN, "refuse=60", "refuse=0"},
    {YARD_PLAIN, "error=50", "error=0"},
    {YARD_PLAIN, "reset=50", "reset=0"},
    {YARD_PLAIN, "truncate=50", "truncate=0"},
    {YARD_PLAIN, "garbage=50", "garbage=0"},
    {YARD_PLAIN, "extra=60", "extra=0"},
    {YARD_PLAIN, "mute=50", "mute=0"},
};

static void
turn_knob(void)
{
    size_t index = draw(sizeof(knob_faults) / sizeof(knob_faults[0]));
    YardRole role = knob_faults[index].role;
    int number = (int)draw((uint64_t)count_of(role));

    say(knob_faults[index].fault, role, number);
    Yard_Set(soak.yard, role, number, knob_faults[index].fault);
    plan_heal(role, number, fault_time())->knob = knob_faults[index].heal;
}

static void
disturb_proxy(void)
{
    Proxy *proxy = soak.proxies[draw((uint64_t)soak.proxy_count)];
    ProxyMode mode = (ProxyMode)(1 + draw(PROXY_MODE_COUNT - 1));

    say(ProxyMode_Name(mode), YARD_STORE, 0);
    Proxy_SetMode(proxy, mode);
    plan_heal(YARD_STORE, 0, fault_time())->proxy = proxy;
}

static void
configure(void)
{
    soak.extra = !soak.extra;
    printf("        configuration %d\n", ++soak.version);
    Yard_Configure(soak.yard, soak.version, soak.extra);
}

static void
announce(void)
{
    char adapter[16];

    snprintf(adapter, sizeof(adapter), "a%d", (int)draw(40));
    Yard_Announce(soak.yard, adapter, ++soak.adapter_version);
}

static void (*const faults[])(void) = {
    kill_one,  kill_one,      stop_one,  freeze_one, hang_up_one,
    turn_knob, turn_knob,     turn_knob, turn_knob,  disturb_proxy,
    configure, disturb_proxy, announce,
};

static void
on_fault(KcTimer *timer, KcTime now)
{
    if (now >= soak.end) {
        KcLoop_Stop(soak.loop);
        return;
    }
    faults[draw(sizeof(faults) / sizeof(faults[0]))]();
    /* Some come in series. */
    KcTimers_Set(soak.loop->timers, timer,
                 now + (KcTime)(draw(3) == 0 ? 20 : 100 + draw(700)) * KC_MS);
}

/* ---- judgement ----------------------------------------------------------- */

static void
read_runs(YardRole role, int number)
{
    char path[256];
    char line[256];
    FILE *file;

    snprintf(path, sizeof(path), "%s/%d-%d.log", Yard_Folder(soak.yard),
             (int)role, number);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        Call *call;

        line[strcspn(line, "\n")] = '\0';
        if (strncmp(line, "run ", 4) != 0) {
            continue;
        }
        HASH_FIND_STR(soak.calls, line + 4, call);
        if (call != NULL) {
            call->runs++;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
}

/* A whole stream has each piece once and in order. */
static bool
stream_is_right(const Call *call)
{
    const char *at = KcBuffer_Data(&call->body);

    for (int i = 0; i < EVENTS; i++) {
        char piece[64];

        snprintf(piece, sizeof(piece), "id: %d\ndata: piece %d\n\n", i, i);
        if (at == NULL || strncmp(at, piece, strlen(piece)) != 0) {
            return false;
        }
        at += strlen(piece);
    }
    return *at == '\0';
}

static bool
plain_is_right(const Call *call)
{
    char body[128];

    snprintf(body, sizeof(body), "answer %s of %s", call->id, call->seal);
    return call->seal[0] != '\0' &&
           strcmp(KcBuffer_Data(&call->body), body) == 0;
}

static void
judge(Call *call)
{
    bool promise = call->status == 408 || call->status == 421 ||
                   call->status == 429 || call->status == 503;

    KcBuffer_Append(&call->body, "", 1);
    if (!call->repeatable && call->runs > 1) {
        fail("at most once", call);
    }
    if (call->repeatable && call->runs > 2) {
        fail("more workers than allowed", call);
    }
    if (promise && !call->repeatable && call->runs > 0) {
        fail("said not to run", call);
    }
    if (call->wrong) {
        fail("another request's answer", call);
    }
    if (call->status == 404 || call->status == 400) {
        fail("denied", call);
    }
    if (call->status == 200 && call->whole &&
        !(call->stream ? stream_is_right(call) : plain_is_right(call))) {
        fail("wrong bytes", call);
    }
}

static void
judge_all(void)
{
    Call *call;
    Call *next;
    int counts[3] = {0, 0, 0};

    for (int i = 0; i < soak.options.llm; i++) {
        json_t *state = Yard_State(soak.yard, YARD_LLM, i);

        if (json_integer_value(json_object_get(state, "overloads")) > 0) {
            fail("ordered beyond its places", NULL);
        }
        json_decref(state);
        read_runs(YARD_LLM, i);
    }
    for (int i = 0; i < soak.options.plain; i++) {
        read_runs(YARD_PLAIN, i);
    }
    HASH_ITER(hh, soak.calls, call, next)
    {
        judge(call);
        counts[call->status == 200 && call->whole ? 0
               : call->status == 0                ? 2
                                                  : 1]++;
        HASH_DEL(soak.calls, call);
        KcBuffer_Clear(&call->body);
        free(call);
    }
    printf("%d answered, %d other answers, %d without\n", counts[0], counts[1],
           counts[2]);
}

/* Does a gateway serve everything again, by the newest configuration?  In a
 * process of its own, while this one runs the proxies. */
static bool
recovers(int gateway)
{
    static const char *const paths[] = {"/safe/x", "/unsafe/x", "/stream/x",
                                        "/resume/x", "/extra/x"};
    KcTime until = KcLoop_Now() + RECOVERY;
    int served = 0;

    while (served < 5 && KcLoop_Now() < until) {
        char request[512];
        char answer[8192];
        int expected = served < 4 || soak.extra ? 200 : 404;
        int size =
            snprintf(request, sizeof(request),
                     "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r%d-%" PRId64
                     "\r\nModel: m/a1\r\nContent-Length: 0\r\n"
                     "Connection: close\r\n\r\n",
                     paths[served], gateway, KcLoop_Now());

        Yard_Exchange(Yard_Address(soak.yard, YARD_GATEWAY, gateway), request,
                      (size_t)size, answer, sizeof(answer), 1000);
        if (strlen(answer) > 12 && atoi(answer + 9) == expected) {
            served++;
        }
        else {
            printf("gateway %d, %s: %.12s\n", gateway, paths[served], answer);
        }
    }
    return served == 5;
}

static void
check_recovery(void)
{
    pid_t child;
    int status = 0;

    fflush(stdout);
    child = fork();
    if (child == 0) {
        bool all = true;

        for (int gateway = 0; gateway < soak.options.gateways; gateway++) {
            all = recovers(gateway) && all;
        }
        fflush(stdout);
        _exit(all ? 0 : 1);
    }
    while (waitpid(child, &status, WNOHANG) == 0) {
        KcTimers_Run(soak.loop->timers, KcLoop_Now());
        event_base_loop(soak.loop->base, EVLOOP_NONBLOCK);
        usleep(2000);
    }
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        fail("not recovered", NULL);
    }
}

/* ---- set-up -------------------------------------------------------------- */

static void
add_proxy(YardRole role, int number)
{
    const char *target = Yard_Address(soak.yard, role, number);
    char listen[128];
    const char *colon = strrchr(target, ':');

    snprintf(listen, sizeof(listen), "%.*s:%d", (int)(colon - target), target,
             YARD_PROXY_PORT);
    soak.proxies[soak.proxy_count] = Proxy_Create(soak.loop, listen, target);
    if (soak.proxies[soak.proxy_count] == NULL) {
        fprintf(stderr, "cannot listen on %s\n", listen);
        exit(2);
    }
    soak.proxy_count++;
}

static void
set_up(uint64_t seed, int workers)
{
    soak.options = (YardOptions){.network = (uint8_t)(60 + seed % 60),
                                 .llm = workers,
                                 .plain = workers,
                                 .gateways = workers > 4 ? workers / 2 : 2,
                                 .seed = seed,
                                 .proxies = true};
    soak.loop = KcLoop_Create();
    soak.yard = Yard_Start(&soak.options);
    soak.version = 1;
    soak.adapter_version = 1;
    add_proxy(YARD_STORE, 0);
    for (int i = 0; i < workers && i < 20; i++) {
        add_proxy(YARD_LLM, i);
        add_proxy(YARD_PLAIN, i);
    }
    for (int i = 0; i < CLIENTS; i++) {
        Client *client = &soak.clients[i];

        client->number = i;
        KcTimer_Init(&client->timer, on_client_timer, client);
        KcTimers_Set(soak.loop->timers, &client->timer,
                     KcLoop_Now() + KC_SECOND + i * 10 * KC_MS);
    }
    KcTimer_Init(&soak.fault_timer, on_fault, NULL);
    KcTimers_Set(soak.loop->timers, &soak.fault_timer,
                 KcLoop_Now() + 2 * KC_SECOND);
}

static void
finish_faults(void)
{
    Heal *heal;

    soak.ending = true;
    while ((heal = TAILQ_FIRST(&heals)) != NULL) {
        carry_out(heal);
    }
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    int seconds = argc > 2 ? atoi(argv[2]) : 10;
    int workers = argc > 3 ? atoi(argv[3]) : 2;

    printf("seed %" PRIu64 ", %d s, %d workers of a kind\n", seed, seconds,
           workers);
    random_state = seed * 2654435761u + 1;
    set_up(seed, workers);
    soak.end = KcLoop_Now() + (seconds + 2) * KC_SECOND;
    KcLoop_Run(soak.loop);
    finish_faults();
    check_recovery();
    for (int i = 0; i < CLIENTS; i++) {
        KcTimers_Clear(soak.loop->timers, &soak.clients[i].timer);
        if (soak.clients[i].peer != NULL) {
            KcHttpConnection_Close(soak.clients[i].peer);
        }
    }
    judge_all();
    for (int i = 0; i < soak.proxy_count; i++) {
        Proxy_Free(soak.proxies[i]);
    }
    if (soak.failures > 0) {
        printf("the processes' output: %s\n", Yard_Folder(soak.yard));
    }
    printf("seed %" PRIu64 ": %s\n", seed,
           soak.failures > 0 ? "BROKEN" : "clean");
    if (soak.failures == 0) {
        Yard_Stop(soak.yard);
    }
    KcLoop_Free(soak.loop);
    return soak.failures > 0 ? 1 : 0;
}
