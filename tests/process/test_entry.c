/*
 * Tests of the entry against an agent that follows a script: what each
 * sequence of replies means to the caller.
 */
#include <glib.h>
#include <string.h>

#include <kcc.h>

#include "../world/world_internal.h"

#define STEPS_MAX 8

/* One thing that happens at the agent. */
typedef enum StepKind {
    STEP_END = 0,
    STEP_ADMIT,
    STEP_REFUSE,  /* with code */
    STEP_STARTED, /* by the adapter that was asked for */
    STEP_STARTED_BY_ANOTHER,
    STEP_STARTED_BY_OLDER, /* another version */
    STEP_DATA,             /* four bytes */
    STEP_DONE,             /* END, whole */
    STEP_FAILED,           /* END with code, after it ran */
    STEP_UNRUN,            /* END with code, not run */
    STEP_LOSE_LINK,
    STEP_WAIT, /* code: milliseconds */
} StepKind;

typedef struct Step {
    StepKind kind;
    int code;
} Step;

static const struct {
    const char *name;
    bool plain; /* may not be repeated; else a model call */
    Step steps[STEPS_MAX];
    KcOutcome outcome;
    int code;
    const char *received;
    uint32_t proposals; /* sent in all */
} cases[] = {
    {"answered",
     false,
     {{STEP_ADMIT, 0},
      {STEP_STARTED, 0},
      {STEP_DATA, 0},
      {STEP_DATA, 0},
      {STEP_DONE, 0}},
     KC_OUTCOME_ANSWERED,
     0,
     "abcdabcd",
     1},
    {"answered without admission",
     false,
     {{STEP_STARTED, 0}, {STEP_DATA, 0}, {STEP_DONE, 0}},
     KC_OUTCOME_ANSWERED,
     0,
     "abcd",
     1},
    {"started by another adapter",
     false,
     {{STEP_ADMIT, 0}, {STEP_STARTED_BY_ANOTHER, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_WRONG_MODEL,
     "",
     1},
    {"started by an older version",
     false,
     {{STEP_ADMIT, 0}, {STEP_STARTED_BY_OLDER, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_WRONG_MODEL,
     "",
     1},
    {"data before the start",
     false,
     {{STEP_ADMIT, 0}, {STEP_DATA, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_PROTOCOL,
     "",
     1},
    {"end before the start",
     false,
     {{STEP_ADMIT, 0}, {STEP_DONE, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_PROTOCOL,
     "",
     1},
    {"refused",
     false,
     {{STEP_REFUSE, KC_ERR_BUSY}},
     KC_OUTCOME_NOT_RUN,
     KC_ERR_BUSY,
     "",
     1},
    {"refused after admission",
     true,
     {{STEP_ADMIT, 0}, {STEP_REFUSE, KC_ERR_LEAVING}},
     KC_OUTCOME_NOT_RUN,
     KC_ERR_LEAVING,
     "",
     1},
    {"not run by the service",
     true,
     {{STEP_ADMIT, 0}, {STEP_UNRUN, KC_ERR_BACKEND}},
     KC_OUTCOME_NOT_RUN,
     KC_ERR_BACKEND,
     "",
     1},
    {"failed while it ran",
     true,
     {{STEP_ADMIT, 0}, {STEP_FAILED, KC_ERR_PEER_LOST}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_PEER_LOST,
     "",
     1},
    {"cut in the middle",
     false,
     {{STEP_STARTED, 0}, {STEP_DATA, 0}, {STEP_FAILED, KC_ERR_PEER_LOST}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_PEER_LOST,
     "abcd",
     1},
    {"connection lost for good",
     true,
     {{STEP_ADMIT, 0}, {STEP_LOSE_LINK, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1},
    {"withdrawn at the deadline, not run",
     false,
     {{STEP_ADMIT, 0}, {STEP_WAIT, 5000}, {STEP_REFUSE, KC_ERR_CANCELLED}},
     KC_OUTCOME_NOT_RUN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1},
    {"withdrawn at the deadline, already begun",
     false,
     {{STEP_ADMIT, 0},
      {STEP_WAIT, 5000},
      {STEP_STARTED, 0},
      {STEP_DATA, 0},
      {STEP_FAILED, KC_ERR_CANCELLED}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1},
    {"withdrawn at the deadline, already whole",
     false,
     {{STEP_ADMIT, 0},
      {STEP_WAIT, 5000},
      {STEP_STARTED, 0},
      {STEP_DATA, 0},
      {STEP_DONE, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1},
    {"deadline while waiting, no reply",
     true,
     {{STEP_ADMIT, 0}, {STEP_WAIT, 5600}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1},
};

/* The agent that follows the script, and the caller. */
typedef struct Play {
    World *world; /* only for its object API and clock */
    WorldNode node;
    KcEntry *entry;
    KcLink *link;
    uint32_t stream; /* of the last proposal */
    uint64_t offset;
    uint32_t proposals;
    bool pinged; /* the entry waits for an answer to its PING */
    KcBuffer received;
    bool finished;
    KcOutcome outcome;
    int code;
    KcRequest *request;
} Play;

static void
play_send(void *transport, const KcMsg *msg)
{
    Play *play = transport;

    if (msg->type == KC_MSG_PROPOSE) {
        play->stream = msg->stream_id;
        play->offset = msg->u.propose.offset;
        play->proposals++;
    }
    if (msg->type == KC_MSG_PING) {
        play->pinged = true;
    }
}

static void
play_close(void *transport)
{
    ((Play *)transport)->link = NULL;
}

static const KcLinkOps play_link = {play_send, play_close};

/* The test itself accepts the first connection; no other comes about. */
static void
play_connect(void *context, KcBackend *backend)
{
    (void)context;
    (void)backend;
}

static const KcEntryOps play_ops = {play_connect};

static void
on_started(void *caller, KcRequest *request, const KcMsgStarted *head)
{
    (void)caller;
    (void)request;
    (void)head;
}

static void
on_data(void *caller, KcRequest *request, KcBytes bytes, uint64_t tokens)
{
    Play *play = caller;

    (void)request;
    (void)tokens;
    KcBuffer_Append(&play->received, bytes.data, bytes.size);
}

static void
on_finished(void *caller, const KcResult *result)
{
    Play *play = caller;

    g_assert_false(play->finished);
    play->finished = true;
    play->outcome = result->outcome;
    play->code = result->error.code;
}

static const KcCallerOps caller_ops = {on_started, on_data, on_finished};

static KcTime
play_clock(void *context)
{
    return ((WorldNode *)context)->world->now;
}

/* Lets time pass for the entry alone; PING is answered. */
static void
play_time(Play *play, KcTime duration)
{
    KcTime until = play->world->now + duration;
    KcMsg pong = {.type = KC_MSG_PONG};

    while (play->world->now < until) {
        play->world->now += 4 * KC_MS;
        KcTimers_Run(play->node.timers, play->world->now);
        if (play->pinged && play->link != NULL) {
            KcEntry_OnMessage(play->entry, play->link->owner, &pong,
                              play->world->now);
        }
        play->pinged = false;
    }
}

static void
create_entry(Play *play)
{
    KcEntryOptions options;
    KcInstance instances[2] = {
        {"m1", "model", "dc-0", "127.0.0.1:1", false},
        {"p1", "plain", "dc-0", "127.0.0.1:2", false},
    };

    KcEntryOptions_Init(&options);
    options.member.name = "e1";
    options.member.datacentre = "dc-0";
    options.member.incarnation = 7;
    options.member.object_ops = &WorldStore_Ops;
    options.member.objects = &play->node;
    options.member.timers = play->node.timers;
    options.member.events = play->node.events;
    options.member.counters = &play->node.counters;
    options.member.clock = play_clock;
    options.member.clock_context = &play->node;
    options.ops = &play_ops;
    options.ops_context = &play->node;
    options.attempts_max = 1;
    play->entry = KcEntry_Create(&options);
    KcEntry_Start(play->entry, play->world->now);
    KcEntry_OnInstances(play->entry, instances, 2, 1, play->world->now);
}

/* A world without processes serves as the object API. */
static void
begin_play(Play *play)
{
    WorldOptions options;

    memset(play, 0, sizeof(*play));
    WorldOptions_Init(&options);
    options.entries = 0;
    options.model_agents = 0;
    options.plain_agents = 0;
    options.deadline = 5 * KC_SECOND;
    play->world = World_Create(&options);
    play->node.world = play->world;
    play->node.alive = true;
    TAILQ_INIT(&play->node.backlog);
    play->node.timers = KcTimers_Create(play->world->now);
    play->node.events = KcEvents_Create(16, 0);
    create_entry(play);
    World_Advance(play->world, 100 * KC_MS); /* the document arrives */
    KcTimers_Run(play->node.timers, play->world->now);
    g_assert_cmpint(KcEntry_CheckReady(play->entry), ==, 0);
}

static void
end_play(Play *play)
{
    KcEntry_AbortRequests(play->entry, play->world->now);
    KcEntry_Free(play->entry);
    WorldStore_NodeGone(&play->node);
    KcTimers_Free(play->node.timers);
    KcEvents_Free(play->node.events);
    KcBuffer_Clear(&play->received);
    World_Free(play->world);
}

static KcBackend *
backend_of(Play *play, bool plain)
{
    return KcFleet_FindBackend(KcEntry_Fleet(play->entry),
                               plain ? "p1" : "m1");
}

/* The agent accepts the connection that the entry asked for. */
static void
accept_connection(Play *play, bool plain)
{
    KcMsg hello = {.type = KC_MSG_HELLO,
                   .u.hello = {"agent", 5, KC_PROTOCOL_VERSION}};
    KcStream *stream;
    KcError error;

    play->link = KcLink_Create(&play_link, play, true, play->world->now);
    g_assert_cmpint(
        KcLink_Receive(play->link, &hello, &stream, play->world->now, &error),
        ==, 0);
    KcEntry_OnConnected(play->entry, backend_of(play, plain), play->link,
                        play->world->now);
}

static void
submit(Play *play, bool plain)
{
    KcCall call = {.plain = plain,
                   .model = "a0@2",
                   .customer = "c",
                   .method = "POST",
                   .path = plain ? "/plain/do" : "/v1/completions",
                   .content_type = "text/plain",
                   .timeout = 5 * KC_SECOND};

    play->request = KcEntry_Submit(play->entry, &call, &caller_ops, play,
                                   play->world->now);
    g_assert_nonnull(play->request);
    accept_connection(play, plain);
}

static void
fill_started(KcMsg *msg, StepKind kind, bool plain)
{
    msg->type = KC_MSG_STARTED;
    msg->u.started.http_status = 200;
    if (plain) {
        return;
    }
    KcText_Copy(msg->u.started.adapter,
                kind == STEP_STARTED_BY_ANOTHER ? "a1" : "a0", KC_NAME_MAX);
    msg->u.started.version = kind == STEP_STARTED_BY_OLDER ? 1 : 2;
}

static void
fill_end(KcMsg *msg, const Play *play, int code, bool ran)
{
    msg->type = KC_MSG_END;
    msg->u.end.code = code;
    msg->u.end.reached_backend = ran;
    msg->u.end.offset = play->offset;
}

/* Takes one step.  False when it was not a message. */
static bool
fill_message(Play *play, const Step *step, bool plain, KcMsg *msg)
{
    memset(msg, 0, sizeof(*msg));
    msg->stream_id = play->stream;
    switch (step->kind) {
    case STEP_ADMIT:
        msg->type = KC_MSG_ADMIT;
        return true;
    case STEP_REFUSE:
        msg->type = KC_MSG_REFUSE;
        msg->u.refuse.code = step->code;
        return true;
    case STEP_STARTED:
    case STEP_STARTED_BY_ANOTHER:
    case STEP_STARTED_BY_OLDER:
        fill_started(msg, step->kind, plain);
        return true;
    case STEP_DATA:
        msg->type = KC_MSG_DATA;
        msg->u.data.offset = play->offset;
        msg->u.data.bytes = (KcBytes){"abcd", 4};
        play->offset += 4;
        return true;
    case STEP_DONE:
        fill_end(msg, play, 0, true);
        return true;
    case STEP_FAILED:
        fill_end(msg, play, step->code, true);
        return true;
    case STEP_UNRUN:
        fill_end(msg, play, step->code, false);
        return true;
    default:
        return false;
    }
}

static void
take_step(Play *play, const Step *step, bool plain)
{
    KcMsg msg;

    if (step->kind == STEP_WAIT) {
        play_time(play, step->code * KC_MS);
    }
    else if (step->kind == STEP_LOSE_LINK) {
        play->link = NULL;
        KcEntry_OnLinkLost(play->entry, backend_of(play, plain),
                           KC_ERR_PEER_LOST, play->world->now);
    }
    else if (fill_message(play, step, plain, &msg)) {
        KcEntry_OnMessage(play->entry, backend_of(play, plain), &msg,
                          play->world->now);
    }
}

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Play play;

        g_test_message("%s", cases[i].name);
        begin_play(&play);
        submit(&play, cases[i].plain);
        for (int j = 0; j < STEPS_MAX && !play.finished; j++) {
            take_step(&play, &cases[i].steps[j], cases[i].plain);
        }
        if (!play.finished) {
            play_time(&play, 30 * KC_SECOND);
        }
        g_assert_true(play.finished);
        g_assert_cmpint(play.outcome, ==, cases[i].outcome);
        g_assert_cmpint(play.code, ==, cases[i].code);
        g_assert_cmpmem(KcBuffer_Data(&play.received),
                        KcBuffer_Size(&play.received), cases[i].received,
                        strlen(cases[i].received));
        g_assert_cmpuint(play.proposals, ==, cases[i].proposals);
        end_play(&play);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/entry/cases", test_cases);
    return g_test_run();
}
