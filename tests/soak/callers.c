/*
 * Callers, their connections, and the habits by which they send requests and
 * read answers.
 */
#include "callers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../programs/connection/http_connection.h"
#include "deadly.h"
#include "faults.h"
#include "history.h"
#include "keys.h"
#include "soak.h"

#define CALLERS_MAX 256
/* From the end of the request, without the time in which the caller itself
 * does not read. */
#define CALL_TIMEOUT (6 * KC_SECOND)
/* A body that every configuration allows. */
#define SMALL_BODY_BYTES 4096
/* A body that no configuration allows. */
#define EXCESSIVE_BODY_BYTES (192 * 1024)
#define EXCESSIVE_BODY_PIECES 16
/* More than the kernel takes from a gateway whose caller does not read. */
#define LONG_ANSWER_BYTES (1024 * 1024)
#define LONG_EVENT_BYTES (320 * 1024)
/* Of a request and its repeats, and the least that a repeat needs. */
#define REQUEST_TIME_MIN (800 * KC_MS)
#define REQUEST_TIME_MAX (3 * KC_SECOND)
#define REPEAT_TIME_MIN (100 * KC_MS)
/* Every fourth caller repeats at once and more often. */
#define HASTY_CALLERS 4
#define HASTY_REPEATS_MAX 6
#define REPEATS_MAX 2
/* Callers stay below this part of a time limit. */
#define USED_LIMIT_PERCENT 50

typedef struct Caller {
    int number;
    KcHttpConnection *connection; /* NULL between connections */
    KcTime connected_at;          /* when the connection was begun */
    KcTimer timer;                /* ends the call or begins the next one */
    KcTimer habit_timer;          /* the habit's next step */
    Call *call;                   /* in progress, or NULL */
    int gateway;
    bool is_last_call; /* the gateway closes the connection */
    KcTime idle_until; /* for which the gateway keeps it, as it said */
    KcBuffer request;  /* what is not sent yet */
    int pieces_left;   /* in which it is sent */
    /* The request of the call, also between the call and its repeat; NULL:
     * none. */
    const struct CallKind *kind;
    KcTime give_up_at;
    int repeat_count;
    KcTime retry_after; /* as the answer said */
} Caller;

static struct {
    CallersOptions options;
    Caller callers[CALLERS_MAX];
    int call_count;
    bool ended; /* no more calls begin */
} all;

typedef struct CallKind {
    const char *path;
    const char *method;
    bool is_repeatable;
    bool is_stream;
} CallKind;

static const CallKind call_kinds[] = {
    {"/safe/x", "GET", true, false},
    {"/unsafe/x", "POST", false, false},
    {"/stream/x", "POST", false, true},
    {"/resume/x", "POST", true, true},
};

static void
set_timer(KcTimer *timer, KcTime delay)
{
    KcTimers_Set(all.options.loop->timers, timer, KcLoop_Now() + delay);
}

static KcTime
draw_delay(KcTime max)
{
    return (KcTime)Soak_DrawBelow((uint64_t)(max / KC_MS) + 1) * KC_MS;
}

/* ---- requests ------------------------------------------------------------ */

/* Writes a request with a body of so many bytes, chunked or with a length. */
static void
write_request(Caller *caller, const CallKind *kind, size_t body_bytes,
              size_t answer_bytes)
{
    bool is_chunked = body_bytes > 0 && Soak_DrawBelow(2) == 0;
    KcBuffer *request = &caller->request;
    char prompt[DEADLY_PROMPT_SIZE];
    char text[640];
    int size;

    Deadly_WritePrompt(caller->call, prompt);
    size = snprintf(
        text, sizeof(text),
        "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
        "Credential: %s\r\nTenant-Name: forged\r\n"
        "Deadline-Ms: %" PRId64 "\r\n"
        "Token-Count: 20,%d\r\nAnswer-Bytes: %zu\r\n%s%s%d\r\n",
        kind->method, kind->path, caller->call->id, caller->call->key,
        caller->call->time_limit / KC_MS, KEYS_CALL_TOKENS - 20, answer_bytes,
        prompt,
        kind->is_stream ? "Model: m/a" : "X: ", (int)Soak_DrawBelow(40));

    KcBuffer_DropFront(request, KcBuffer_Size(request));
    KcBuffer_Append(request, text, (size_t)size);
    size = is_chunked ? snprintf(text, sizeof(text),
                                 "Transfer-Encoding: chunked\r\n\r\n%zx\r\n",
                                 body_bytes)
                      : snprintf(text, sizeof(text),
                                 "Content-Length: %zu\r\n\r\n", body_bytes);
    KcBuffer_Append(request, text, (size_t)size);
    for (size_t i = 0; i < body_bytes; i++) {
        KcBuffer_Append(request, "b", 1);
    }
    if (is_chunked) {
        KcBuffer_Append(request, "\r\n0\r\n\r\n", 7);
    }
}

/* Sends the next bytes of the request. */
static void
send_bytes(Caller *caller, size_t size)
{
    evbuffer_add(KcHttpConnection_Output(caller->connection),
                 KcBuffer_Data(&caller->request), size);
    KcBuffer_DropFront(&caller->request, size);
    if (KcBuffer_Size(&caller->request) == 0) {
        caller->call->sent_at = KcLoop_Now();
        set_timer(&caller->timer, CALL_TIMEOUT);
    }
}

static void
send_piece(Caller *caller)
{
    send_bytes(caller,
               KcBuffer_Size(&caller->request) / (size_t)caller->pieces_left);
    caller->pieces_left--;
}

/* ---- habits -------------------------------------------------------------- */

static void
send_at_once(Caller *caller, const CallKind *kind)
{
    write_request(caller, kind, 0, 0);
    send_bytes(caller, KcBuffer_Size(&caller->request));
}

static void
send_body_at_once(Caller *caller, const CallKind *kind)
{
    write_request(caller, kind, Soak_DrawBelow(SMALL_BODY_BYTES) + 1, 0);
    send_bytes(caller, KcBuffer_Size(&caller->request));
}

/* Below the limits of every configuration up to now. */
static KcTime
draw_piece_delay(int timeout_ms)
{
    return draw_delay(timeout_ms * KC_MS * USED_LIMIT_PERCENT / 100);
}

static void
begin_trickle(Caller *caller, const CallKind *kind)
{
    const GatewayClusterLimits *limits = Faults_GetLimits();

    write_request(caller, kind,
                  Soak_DrawBelow((uint64_t)limits->body_bytes_max) + 1, 0);
    caller->pieces_left = 2 + (int)Soak_DrawBelow(4);
    /* The head in two pieces. */
    send_bytes(caller, 20);
    set_timer(&caller->habit_timer,
              draw_piece_delay(limits->header_timeout_ms));
    caller->call->limits = *limits;
}

static void
continue_trickle(Caller *caller)
{
    send_piece(caller);
    if (caller->pieces_left > 0) {
        set_timer(&caller->habit_timer,
                  draw_piece_delay(caller->call->limits.idle_timeout_ms));
    }
}

/* Sends all of a body above the limit before it reads. */
static void
begin_excess(Caller *caller, const CallKind *kind)
{
    caller->call->is_excessive = true;
    write_request(caller, kind, EXCESSIVE_BODY_BYTES, 0);
    caller->pieces_left = EXCESSIVE_BODY_PIECES;
    KcHttpConnection_SetReadPaused(caller->connection, true);
    set_timer(&caller->habit_timer, 0);
}

static void
continue_excess(Caller *caller)
{
    send_piece(caller);
    if (caller->pieces_left > 0) {
        set_timer(&caller->habit_timer, draw_delay(50 * KC_MS));
    }
    else {
        KcHttpConnection_SetReadPaused(caller->connection, false);
    }
}

/* Reads nothing for a while, a plain answer that the gateway has also until
 * after its deadline. */
static void
stop_reading(Caller *caller, const CallKind *kind)
{
    KcTime pause_max = kind->is_stream ? KC_SECOND : 5 * KC_SECOND;

    caller->call->stops_reading = true;
    write_request(caller, kind, 0,
                  kind->is_stream ? LONG_EVENT_BYTES : LONG_ANSWER_BYTES);
    send_bytes(caller, KcBuffer_Size(&caller->request));
    KcHttpConnection_SetReadPaused(caller->connection, true);
    set_timer(&caller->habit_timer, draw_delay(pause_max));
}

static void
read_on(Caller *caller)
{
    KcHttpConnection_SetReadPaused(caller->connection, false);
    set_timer(&caller->timer, CALL_TIMEOUT);
}

/* What callers do besides sending a request and reading its answer. */
static const struct CallHabit {
    const char *name;
    int share_percent;
    void (*begin)(Caller *caller, const CallKind *kind);
    void (*on_timer)(Caller *caller); /* the next step */
} call_habits[] = {
    {"sends at once", 65, send_at_once, NULL},
    {"sends a body at once", 20, send_body_at_once, NULL},
    {"trickles", 8, begin_trickle, continue_trickle},
    {"sends too much", 3, begin_excess, continue_excess},
    {"stops reading", 4, stop_reading, read_on},
};

static const struct CallHabit *
draw_habit(void)
{
    const struct CallHabit *habit = call_habits;
    int number = (int)Soak_DrawBelow(100);

    while (number >= habit->share_percent) {
        number -= habit->share_percent;
        habit++;
    }
    return habit;
}

/* ---- calls --------------------------------------------------------------- */

static bool
is_hasty(const Caller *caller)
{
    return caller->number % HASTY_CALLERS == 0;
}

/* May a request be sent again after this call?  One that may run once only
 * after a promise that it has not run, or if the gateway can't have read it,
 * as it was not sent whole. */
static bool
may_repeat(const Caller *caller)
{
    const Call *call = caller->call;
    bool is_safe = call->is_repeatable && !call->is_stream;
    bool has_failed = call->status != 200 || !call->is_complete;
    bool is_unread = call->status == 0 && call->sent_at == KC_NEVER;

    return !all.ended && !call->is_excessive && !call->is_abandoned &&
           (Soak_PromisesNotRun(call) || is_unread ||
            (is_safe && has_failed)) &&
           caller->repeat_count <
               (is_hasty(caller) ? HASTY_REPEATS_MAX : REPEATS_MAX) &&
           call->ended_at + REPEAT_TIME_MIN < caller->give_up_at;
}

/* Retry-After, up to a third of the time left, unless the caller is hasty. */
static KcTime
find_repeat_delay(const Caller *caller)
{
    KcTime delay_max = (caller->give_up_at - KcLoop_Now()) / 3;

    if (is_hasty(caller)) {
        return 0;
    }
    if (caller->retry_after == 0) {
        return draw_delay(60 * KC_MS);
    }
    return caller->retry_after < delay_max ? caller->retry_after : delay_max;
}

static void
end_call(Caller *caller, bool keep_connection)
{
    KcTime delay = draw_delay(60 * KC_MS);

    if (caller->call != NULL) {
        caller->call->ended_at = KcLoop_Now();
        if (may_repeat(caller)) {
            caller->repeat_count++;
            delay = find_repeat_delay(caller);
            keep_connection = false;
        }
        else {
            caller->kind = NULL;
        }
        Soak_CheckBody(caller->call);
        caller->call = NULL;
    }
    KcTimers_Clear(all.options.loop->timers, &caller->habit_timer);
    if (!keep_connection && caller->connection != NULL) {
        KcHttpConnection_Close(caller->connection);
        caller->connection = NULL;
    }
    set_timer(&caller->timer, delay);
}

/* Draws the next request unless one is to be repeated. */
static void
choose_request(Caller *caller, KcTime now)
{
    if (caller->kind != NULL && now + REPEAT_TIME_MIN < caller->give_up_at) {
        return;
    }
    caller->kind = &call_kinds[Soak_DrawBelow(sizeof(call_kinds) /
                                              sizeof(call_kinds[0]))];
    caller->give_up_at = now + REQUEST_TIME_MIN +
                         draw_delay(REQUEST_TIME_MAX - REQUEST_TIME_MIN);
    caller->repeat_count = 0;
}

static void
begin_call(Caller *caller)
{
    const CallKind *kind;
    Call *call = KcMem_New(sizeof(*call));

    choose_request(caller, KcLoop_Now());
    kind = caller->kind;
    caller->retry_after = 0;

    call->began_at = KcLoop_Now();
    Keys_Choose(call, caller->number, all.call_count, call->began_at);
    snprintf(call->id, sizeof(call->id), "c%d-%d", caller->number,
             all.call_count++);
    call->gateway = caller->gateway;
    call->connected_at = caller->connected_at;
    call->time_limit = caller->give_up_at - call->began_at;
    call->sent_at = KC_NEVER;
    call->ended_at = KC_NEVER;
    call->is_repeatable = kind->is_repeatable;
    call->is_stream = kind->is_stream;
    call->habit = draw_habit();
    Soak_AddCall(call);
    caller->call = call;
    KcTimers_Clear(all.options.loop->timers, &caller->timer);
    call->habit->begin(caller, kind);
}

static void
on_habit_timer(KcTimer *timer, KcTime now)
{
    Caller *caller = timer->owner;

    (void)now;
    caller->call->habit->on_timer(caller);
}

static void
on_connected(void *owner)
{
    begin_call(owner);
}

/* Time for which the gateway keeps the connection after its answer. */
static KcTime
find_idle_time(const KcHttpMessage *message)
{
    const char *value = KcHttpMessage_FindField(message, "Keep-Alive");
    int64_t seconds = 0;

    if (value != NULL) {
        sscanf(value, "timeout=%" SCNd64, &seconds);
    }
    return seconds * KC_SECOND;
}

static KcTime
find_retry_after(const KcHttpMessage *message)
{
    const char *value = KcHttpMessage_FindField(message, "Retry-After");

    return value != NULL ? (KcTime)(strtod(value, NULL) * KC_SECOND) : 0;
}

/* Is it the refusal in advance of a gateway that stops, after which it closes
 * the connection (RFC 9110, 15.5.9)? */
static bool
is_refusal_in_advance(const Caller *caller, const KcHttpMessage *message)
{
    return message->status == 408 && !message->keep_alive &&
           History_Find(DISTURBANCE_STOP, GATEWAY_CLUSTER_GATEWAY,
                        caller->gateway, caller->connected_at,
                        KcLoop_Now()) != NULL;
}

static void
on_head(void *owner, const KcHttpMessage *message)
{
    Caller *caller = owner;
    const char *id = KcHttpMessage_FindField(message, "Attempt-Id");
    const char *server_seal = KcHttpMessage_FindField(message, "Server-Seal");

    if (caller->call == NULL) {
        if (!is_refusal_in_advance(caller, message)) {
            Soak_ReportViolation("an answer that nobody asked for", NULL);
        }
        caller->is_last_call = true;
        return;
    }
    caller->is_last_call =
        !message->keep_alive || KcBuffer_Size(&caller->request) > 0;
    /* The gateway may have written the answer long before it is read. */
    caller->idle_until = caller->call->began_at + find_idle_time(message);
    caller->call->answered_at = KcLoop_Now();
    caller->call->status = message->status;
    caller->retry_after = find_retry_after(message);
    caller->call->is_misattributed =
        id != NULL && strcmp(id, caller->call->id) != 0;
    KcText_Copy(caller->call->server_seal,
                server_seal != NULL ? server_seal : "",
                sizeof(caller->call->server_seal));
}

static void
on_body(void *owner, KcBytes bytes)
{
    Caller *caller = owner;

    if (caller->call != NULL) {
        KcBuffer_Append(&caller->call->body, bytes.data, bytes.size);
    }
}

static void
on_end(void *owner)
{
    Caller *caller = owner;

    if (caller->call != NULL) {
        caller->call->is_complete = true;
    }
    KcHttpConnection_ReadNextMessage(caller->connection);
    end_call(caller, !caller->is_last_call);
}

static void
on_failed(void *owner, int code)
{
    Caller *caller = owner;

    if (caller->call != NULL) {
        caller->call->failure = code;
    }
    end_call(caller, false);
}

static const KcHttpConnectionOps caller_ops = {.on_connected = on_connected,
                                               .on_head = on_head,
                                               .on_body = on_body,
                                               .on_message_end = on_end,
                                               .on_failed = on_failed};

static void
connect_caller(Caller *caller)
{
    KcHttpConnectionOptions options = {.loop = all.options.loop,
                                       .ops = &caller_ops,
                                       .owner = caller,
                                       .head_bytes_max = 16384,
                                       .silence_timeout = CALL_TIMEOUT};

    caller->connected_at = KcLoop_Now();
    caller->gateway = (int)Soak_DrawBelow((uint64_t)all.options.gateways);
    caller->connection = KcHttpConnection_Connect(
        &options,
        GatewayCluster_GetAddress(all.options.cluster, GATEWAY_CLUSTER_GATEWAY,
                                  caller->gateway));
    set_timer(&caller->timer, CALL_TIMEOUT);
}

static void
on_caller_timer(KcTimer *timer, KcTime now)
{
    Caller *caller = timer->owner;

    if (caller->call != NULL ||
        (caller->connection != NULL &&
         (Soak_DrawBelow(8) == 0 || now > caller->idle_until))) {
        if (caller->call != NULL) {
            caller->call->is_abandoned = true;
        }
        end_call(caller, false); /* the caller disconnects */
    }
    else if (all.ended) {
        return;
    }
    else if (caller->connection == NULL) {
        connect_caller(caller);
    }
    else {
        begin_call(caller);
    }
}

const char *
Callers_GetHabitName(const struct CallHabit *habit)
{
    return habit->name;
}

/* ---- start and end ------------------------------------------------------- */

void
Callers_Start(const CallersOptions *options)
{
    all.options = *options;
    if (all.options.callers > CALLERS_MAX) {
        all.options.callers = CALLERS_MAX;
    }
    for (int i = 0; i < all.options.callers; i++) {
        Caller *caller = &all.callers[i];

        caller->number = i;
        KcTimer_Init(&caller->timer, on_caller_timer, caller);
        KcTimer_Init(&caller->habit_timer, on_habit_timer, caller);
    }
    Callers_Resume(options->begin_at);
}

void
Callers_Resume(KcTime begin_at)
{
    all.ended = false;
    for (int i = 0; i < all.options.callers; i++) {
        KcTimers_Set(all.options.loop->timers, &all.callers[i].timer,
                     begin_at + i * 10 * KC_MS);
    }
}

void
Callers_EndCalls(void)
{
    all.ended = true;
}

bool
Callers_HaveCalls(void)
{
    for (int i = 0; i < all.options.callers; i++) {
        if (all.callers[i].call != NULL) {
            return true;
        }
    }
    return false;
}

void
Callers_Close(void)
{
    for (int i = 0; i < all.options.callers; i++) {
        Caller *caller = &all.callers[i];

        KcTimers_Clear(all.options.loop->timers, &caller->timer);
        KcTimers_Clear(all.options.loop->timers, &caller->habit_timer);
        KcBuffer_Clear(&caller->request);
        if (caller->connection != NULL) {
            KcHttpConnection_Close(caller->connection);
        }
    }
}
